"""Reachability: whether this daemon can open connections to the backend servers of a service.

To a daemon that is partitioned from all servers it looks as if all of them had ended, while other daemons
still reach them. Failed connects to several servers are therefore followed by a check of others. If none of
these answers, the daemon is isolated from the service until servers answer again. Its failures then say
nothing about the servers.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import eventlet
from eventlet.event import Event

from bayglade.clock import now
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, ServiceName
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.servers import Server

GAUGE_SECONDS = 5.0
"""The gauges count the servers to which connections were opened, or failed, within this time."""
EVIDENCE_SECONDS = 2.0
"""For how long a failure counts as evidence."""
FAILED_SERVERS = 2
"""Distinct servers that must fail before others are checked: one server alone may have ended."""
CHECKED_SERVERS = 3
"""Servers that a check asks, all at once."""
CHECK_INTERVAL = 1.0
"""Minimum interval between checks of a service, in seconds, as each opens connections."""
RETURN_INTERVAL = 0.3
"""Interval at which an isolated daemon asks servers, in seconds."""
RETURN_SERVERS = 2
"""Servers that it asks each time."""
RETURN_ROUNDS = 2
"""Consecutive rounds with an answer after which a daemon is no longer isolated. Without this hysteresis a
path that comes and goes would move all requests each time."""
JITTER = 0.2


class ServiceReach:
    """What is known about the reachability of one service; times are monotonic seconds."""

    __slots__ = ("check", "failed_at", "isolated_since", "next_check_at")

    def __init__(self) -> None:
        self.failed_at: dict[BackendId, float] = {}
        """When each server last failed, since the last success."""

        self.isolated_since: float | None = None
        self.next_check_at = 0.0
        self.check: Event | None = None
        """Set at the end of the check in progress, if there is one."""

    def __repr__(self) -> str:
        return f"<ServiceReach {len(self.failed_at)} failed, isolated since {self.isolated_since}>"


class Reachability:
    """The services that this daemon reaches, by the outcomes of its connects.

    :param fleet: the servers.
    :param answers: asks a server on a new connection; returns whether it answered.
    :param metrics: receives counters and gauges.
    :param rng: source of randomness.
    """

    def __init__(
        self, fleet: Fleet, answers: Callable[[Server], bool], metrics: Metrics, rng: random.Random
    ) -> None:
        self.fleet = fleet
        self.answers = answers
        self.metrics = metrics
        self.rng = rng
        self.services: dict[ServiceName, ServiceReach] = {}
        self.recent: deque[tuple[float, BackendId, bool]] = deque()
        """Time, server and success of recent connects, oldest first."""

        self.on_change: Callable[[], None] = lambda: None
        """Called when the daemon becomes isolated from a service, or is no longer."""

    def __repr__(self) -> str:
        return f"<Reachability isolated from {self.isolated_services()}>"

    def is_isolated(self, service: ServiceName) -> bool:
        """Return whether this daemon reaches no server of a service."""
        known = self.services.get(service)
        return known is not None and known.isolated_since is not None

    def isolated_services(self) -> list[ServiceName]:
        """List the services of which this daemon reaches no server."""
        return [service for service in self.services if self.is_isolated(service)]

    def note_connect(self, backend: BackendId, error: OSError | None) -> None:
        """Record the outcome of a connect.

        :param backend: the server.
        :param error: why it failed; None if it succeeded.
        """
        self.recent.append((now(), backend, error is None))
        if error is not None:
            self.metrics.count(f"connects_failed_{failure_kind(error)}")
            self.note_failure(backend)
        elif (server := self.fleet.servers.get(backend)) is not None:
            known = self.services.get(server.facts.service)
            if known is not None:
                known.failed_at.clear()

    def note_failure(self, backend: BackendId) -> None:
        """Record that a server did not answer, and check others if several have failed.

        :param backend: the server.
        """
        server = self.fleet.servers.get(backend)
        if server is None or server.leaving:
            return
        service, at = server.facts.service, now()
        known = self.services.setdefault(service, ServiceReach())
        known.failed_at[backend] = at
        for failed in [b for b, when in known.failed_at.items() if when < at - EVIDENCE_SECONDS]:
            del known.failed_at[failed]
        if known.check is not None or known.isolated_since is not None or at < known.next_check_at:
            return
        if len(known.failed_at) >= min(FAILED_SERVERS, len(self._candidates(service))):
            self._start_check(service, known)

    def check_services(self, services: Iterable[ServiceName]) -> None:
        """Check services that may be out of reach, because another service or another daemon was cut off.

        Without requests to a service, or with one that must not be repeated on a silent connection, the
        daemon would learn of it only seconds later.
        """
        for service in services:
            known = self.services.setdefault(service, ServiceReach())
            idle = known.check is None and known.isolated_since is None
            if idle and now() >= known.next_check_at and self._candidates(service):
                self._start_check(service, known)

    def await_check(self, service: ServiceName) -> None:
        """Wait for the check of a service that is in progress, if there is one."""
        known = self.services.get(service)
        if known is not None and known.check is not None:
            known.check.wait()

    def _start_check(self, service: ServiceName, known: ServiceReach) -> None:
        known.check = Event()
        eventlet.spawn_n(self._check, service, known, known.check)

    def update_gauges(self) -> None:
        """Update the numbers of servers that were reached and that were not reached."""
        oldest = now() - GAUGE_SECONDS
        while self.recent and self.recent[0][0] < oldest:
            self.recent.popleft()
        reached = {backend for _, backend, success in self.recent if success}
        failed = {backend for _, backend, success in self.recent if not success}
        self.metrics.gauge("servers_reached", len(reached))
        self.metrics.gauge("servers_not_reached", len(failed - reached))
        self.metrics.gauge("services_isolated", len(self.isolated_services()))

    def _candidates(self, service: ServiceName) -> list[Server]:
        return [server for server in self.fleet.of_service(service) if not server.leaving]

    def _check(self, service: ServiceName, known: ServiceReach, done: Event) -> None:
        """Ask servers that have not failed yet; if none answers, this daemon is isolated."""
        try:
            candidates = self._candidates(service)
            others = [server for server in candidates if server.facts.id not in known.failed_at]
            if not self._any_answers(self._sample(others or candidates, CHECKED_SERVERS)):
                self._isolate(service, known)
        finally:
            known.next_check_at = now() + CHECK_INTERVAL
            known.check = None
            done.send()

    def _isolate(self, service: ServiceName, known: ServiceReach) -> None:
        first = min(known.failed_at.values(), default=now())
        known.isolated_since = now()
        event(
            "WARNING",
            "service isolated",
            service=service,
            failed=len(known.failed_at),
            after=round(now() - first, 3),
        )
        self.metrics.count("isolations")
        self.fleet.clear_recent_suspicions(service, first, known.failed_at.keys())
        known.failed_at.clear()
        eventlet.spawn_n(self._await_return, service, known)
        self.check_services(self.fleet.by_service)
        self.on_change()

    def _await_return(self, service: ServiceName, known: ServiceReach) -> None:
        """Ask servers until some answer in consecutive rounds."""
        rounds = 0
        while rounds < RETURN_ROUNDS:
            eventlet.sleep(RETURN_INTERVAL * self.rng.uniform(1 - JITTER, 1 + JITTER))
            asked = self._sample(self._candidates(service), RETURN_SERVERS)
            rounds = rounds + 1 if self._any_answers(asked) else 0
        since, known.isolated_since = known.isolated_since, None
        known.failed_at.clear()
        event("INFO", "service reached again", service=service, after=round(now() - (since or now()), 3))
        self.on_change()

    def _sample(self, servers: Sequence[Server], count: int) -> list[Server]:
        return self.rng.sample(servers, min(count, len(servers)))

    def _any_answers(self, servers: Sequence[Server]) -> bool:
        """Ask servers at once; return whether one answers, without waiting for the others then."""
        answered = Event()
        waiting = len(servers)

        def ask(server: Server) -> None:
            nonlocal waiting
            answer = self.answers(server)
            waiting -= 1
            if (answer or not waiting) and not answered.ready():
                answered.send(answer)

        for server in servers:
            eventlet.spawn_n(ask, server)
        return bool(servers) and bool(answered.wait())


def failure_kind(error: OSError) -> str:
    """Return how a connect failed, as part of a metric's name."""
    if isinstance(error, TimeoutError):
        return "timeout"
    if isinstance(error, ConnectionRefusedError):
        return "refused"
    return "reset" if isinstance(error, ConnectionError) else "other"
