"""Limits of servers shared by many daemons: never exceeded, and fully used, whichever daemons are lost.

The limits and quotas are the product's own code; servers, streams between daemons and the detection of
lost daemons are simulated, in virtual time.
"""

import random
from collections.abc import Callable, Sequence

import eventlet
import pytest

from bayglade import fleet as fleet_module
from bayglade import quotas, rate_limits
from bayglade.entries.wire import Findings, LimitNotice, Message, QuotaReply, QuotaRequest, QuotaReturn
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, MemberId
from bayglade.quotas import GRANT_SECONDS, Quotas, choose_owner
from bayglade.servers import Server
from standins.limit_sharing import allowed, worst_window
from standins.virtual_time import now, run_virtually
from tests.server_rows import facts_of

SERVER = BackendId("s")
LATENCY_SECONDS = 0.001
DETECTION_SECONDS = 1.8
"""Time after which a daemon is known to be lost."""

NOTICE_SECONDS = 0.5
POLL_SECONDS = 0.06
"""Interval at which a daemon looks for a request that it may send."""

ANSWER_SECONDS = 0.05
MESH_SIZE = 16


class Backend:
    """The server: the requests that reached it, and the limit that its responses name."""

    def __init__(self, rate: float | None) -> None:
        self.rate = rate
        self.arrived: list[tuple[float, Daemon]] = []


class Daemon:
    """One daemon, which knows limits, requests and grants tokens, and has clients."""

    def __init__(self, name: str, site: "Site") -> None:
        self.name = MemberId(name)
        self.site = site
        self.fleet = Fleet()
        self.fleet.apply_changes([facts_of(layers=None, kind=None)], [], outage=False)
        self.limits = self.fleet.rate_limits
        self.limits.me = self.name
        self.limits.on_update = self._broadcast
        self.quotas = Quotas(
            self.limits,
            self.name,
            self._owner_of,
            self._next_hop,
            lambda to, message: site.deliver(self, to, message),
            lambda service: self.serve(),
            random.Random(name),
        )
        self.callers: list[float] = []
        self.served = 0
        self.limit_seen_at: float | None = None
        """When it first received a response that names a limit."""

        self.alive = True
        self.frozen_until = 0.0

    @property
    def server(self) -> Server:
        return self.fleet.servers[SERVER]

    def serve(self) -> None:
        """Send what clients wait for, as far as the limit allows."""
        if not self.alive or now() < self.frozen_until:
            return
        self.callers = [until for until in self.callers if until > now()]
        while self.callers:
            throttle = self.server.throttle
            self.limits.request_tokens([self.server])
            if throttle is not None and not throttle.take(now()):
                return
            self.callers.pop(0)
            self.send()

    def send(self) -> None:
        """Send a request to the server and process its response."""
        at, backend = now(), self.site.backend
        backend.arrived.append((at, self))
        self.served += 1
        rate = backend.rate
        eventlet.spawn_after(ANSWER_SECONDS, self._answered, at, rate)

    def receive(self, sender: MemberId, message: Message) -> None:
        if not self.alive:
            return
        if now() < self.frozen_until:
            eventlet.spawn_after(self.frozen_until - now() + LATENCY_SECONDS, self.receive, sender, message)
            return
        if isinstance(message, Findings):
            new = self.limits.merge_notices(message.limits)
            if new and self.name in self.site.readers():
                self.site.broadcast(self, Findings(limits=new), but=sender)
        elif isinstance(message, QuotaRequest):
            self.quotas.handle_request(sender, message)
        elif isinstance(message, QuotaReply):
            self.quotas.handle_reply(sender, message)
        elif isinstance(message, QuotaReturn):
            self.quotas.handle_return(sender, message)

    def _answered(self, sent_at: float, rate: float | None) -> None:
        if not self.alive:
            return
        if rate is not None and self.limit_seen_at is None:
            self.limit_seen_at = now()
        self.limits.note_answer(self.server, rate, sent_at, "an answer")

    def _broadcast(self, notices: list[LimitNotice]) -> None:
        self.site.broadcast(self, Findings(limits=notices))

    def _owner_of(self, server: Server) -> MemberId | None:
        return choose_owner(server.facts.key, self.site.readers(self) or self.site.names(self))

    def _next_hop(self, member: MemberId) -> MemberId | None:
        readers = self.site.readers(self)
        known = self.site.streams(self.name)
        return next((name for name in (member, *readers) if name in known), None)


class Site:
    """The daemons in front of one server, and the streams between them."""

    def __init__(self, count: int, rate: float | None) -> None:
        self.rng = random.Random(count)
        self.backend = Backend(rate)
        self.daemons: dict[MemberId, Daemon] = {}
        self.lost_at: dict[MemberId, float] = {}
        self.messages = 0
        self.created = 0
        for _ in range(count):
            self.add()

    def add(self) -> Daemon:
        daemon = Daemon(f"d{self.created}", self)
        self.created += 1
        for other in self.daemons.values():
            # A daemon that joins gets the limits known to others.
            if (known := other.limits.snapshot()) and other.name in self.readers() | self.streams(
                daemon.name
            ):
                eventlet.spawn_after(LATENCY_SECONDS, daemon.receive, other.name, Findings(limits=known))
        self.daemons[daemon.name] = daemon
        return daemon

    def owner(self) -> Daemon:
        """Return the daemon that owns the limit."""
        viewer = next(daemon for daemon in self.daemons.values() if daemon.alive)
        name = viewer._owner_of(viewer.server)
        assert name is not None
        return self.daemons[name]

    def kill(self, daemon: Daemon) -> None:
        daemon.alive = False
        self.lost_at[daemon.name] = now()

    def names(self, viewer: Daemon | None = None) -> list[MemberId]:
        """List the daemons considered live."""
        return [
            name
            for name in self.daemons
            if now() - self.lost_at.get(name, float("inf")) < DETECTION_SECONDS
        ]

    def readers(self, viewer: Daemon | None = None) -> set[MemberId]:
        """Return the readers of a large site; none in a small one."""
        return set(sorted(self.names())[:2]) if len(self.daemons) > MESH_SIZE else set()

    def streams(self, name: MemberId) -> set[MemberId]:
        readers = self.readers()
        if not readers or name in readers:
            return set(self.daemons) - {name}
        return readers

    def deliver(self, sender: Daemon, to: MemberId, message: Message) -> None:
        self.messages += 1
        if to in self.daemons and sender.alive and to in self.streams(sender.name):
            eventlet.spawn_after(LATENCY_SECONDS, self.daemons[to].receive, sender.name, message)

    def broadcast(self, sender: Daemon, findings: Findings, but: MemberId | None = None) -> None:
        for name in self.streams(sender.name):
            if name != but:
                self.deliver(sender, name, findings)

    def run(self, seconds: float, callers_per_second: float, some: Sequence[Daemon] = ()) -> None:
        """Have clients send requests to all daemons, or to some, for a while."""
        until = now() + seconds
        due = now()
        while now() < until:
            eventlet.sleep(POLL_SECONDS)
            while due < now():
                due += self.rng.expovariate(callers_per_second)
                live = [d for d in (some or list(self.daemons.values())) if d.alive]
                self.rng.choice(live).callers.append(now() + 1.5)
            for daemon in list(self.daemons.values()):
                daemon.serve()

    def max_in_window(self, since: float = 0.0, excused: Sequence[Daemon] = ()) -> int:
        """Return the most requests in any window, of daemons that saw a response name the limit."""
        times = [
            at
            for at, daemon in self.backend.arrived
            if daemon not in excused
            and daemon.limit_seen_at is not None
            and at >= max(since, daemon.limit_seen_at + NOTICE_SECONDS)
        ]
        return worst_window(times)

    def received(self, since: float) -> int:
        return sum(1 for at, _ in self.backend.arrived if at >= since)


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (quotas, rate_limits, fleet_module):
        monkeypatch.setattr(module, "now", now)


def run_scenario(scenario: Callable[[], None]) -> None:
    run_virtually(scenario)


@pytest.mark.parametrize("count", [1, 8, 14, 64, 200])
@pytest.mark.parametrize("rate", [0.25, 1.0, 4.0, 16.0])
def test_a_limit_is_respected_and_used_by_the_daemons_with_clients(count: int, rate: float) -> None:
    def scenario() -> None:
        site = Site(count, rate)
        site.run(5.0, 4 * rate)
        since = now()
        site.run(30.0, 4 * rate)
        assert site.max_in_window() <= allowed(rate)
        assert site.received(since) >= 0.75 * rate * 30.0 - 1
        few = list(site.daemons.values())[: max(1, count // 10)]
        since = now()
        site.run(30.0, 4 * rate, few)
        assert site.max_in_window() <= allowed(rate)
        assert site.received(since) >= 0.75 * rate * 30.0 - 1

    run_scenario(scenario)


@pytest.mark.parametrize("count", [8, 200])
@pytest.mark.parametrize("rate", [1.0, 4.0])
def test_a_limit_holds_when_all_ask_at_once_after_a_pause(count: int, rate: float) -> None:
    def scenario() -> None:
        site = Site(count, rate)
        site.run(3.0, 4 * rate)
        for _ in range(4):
            eventlet.sleep(6.0)
            for daemon in site.daemons.values():
                daemon.callers.append(now() + 1.5)
            site.run(2.0, 0.001)
        assert site.max_in_window() <= allowed(rate)

    run_scenario(scenario)


@pytest.mark.parametrize("count", [8, 14, 200])
def test_a_limit_holds_while_owners_are_lost_and_daemons_join(count: int) -> None:
    def scenario() -> None:
        site = Site(count, 2.0)
        site.run(5.0, 8.0)
        for _ in range(4):
            site.kill(site.owner())
            site.run(1.0, 8.0)
            site.add()
            site.run(4.0, 8.0)
        since = now()
        site.run(10.0, 8.0)
        assert site.max_in_window() <= allowed(2.0)
        assert site.received(since) >= 0.7 * 2.0 * 10.0

    run_scenario(scenario)


@pytest.mark.parametrize("count", [8, 200])
def test_a_frozen_daemon_does_not_use_expired_tokens(count: int) -> None:
    def scenario() -> None:
        site = Site(count, 2.0)
        site.run(5.0, 8.0)
        for daemon in list(site.daemons.values())[: count // 2]:
            daemon.frozen_until = now() + 5.0
        site.run(12.0, 8.0)
        assert site.max_in_window() <= allowed(2.0)

    run_scenario(scenario)


@pytest.mark.parametrize("count", [2, 8, 200])
def test_the_end_of_a_limit_reaches_all_and_notices_end(count: int) -> None:
    def scenario() -> None:
        site = Site(count, 2.0)
        site.run(8.0, 8.0)
        assert all(daemon.server.throttle is not None for daemon in site.daemons.values())
        site.backend.rate = None
        site.run(3.0, 8.0)
        assert all(daemon.server.throttle is None for daemon in site.daemons.values())
        eventlet.sleep(2 * GRANT_SECONDS)
        before = site.messages
        eventlet.sleep(60.0)
        assert site.messages == before

    run_scenario(scenario)


@pytest.mark.parametrize("count", [2, 8, 200])
def test_a_change_of_a_limit_reaches_all(count: int) -> None:
    def scenario() -> None:
        site = Site(count, 8.0)
        site.run(6.0, 32.0)
        site.backend.rate = 1.0
        site.run(3.0, 32.0)
        since = now()
        site.run(10.0, 32.0)
        assert site.max_in_window(since) <= allowed(1.0)
        rates = {
            daemon.server.rate_limit and daemon.server.rate_limit.rate for daemon in site.daemons.values()
        }
        assert rates == {1.0}

    run_scenario(scenario)


def test_a_server_with_a_limit_of_zero_is_tried_rarely() -> None:
    def scenario() -> None:
        site = Site(8, 0.0)
        site.run(5.0, 8.0)
        since = now()
        site.run(200.0, 8.0)
        assert 1 <= site.received(since) <= 5
        site.backend.rate = None
        site.run(120.0, 8.0)
        assert all(daemon.server.throttle is None for daemon in site.daemons.values())

    run_scenario(scenario)


def test_messages_do_not_grow_with_refused_calls() -> None:
    def scenario() -> None:
        site = Site(8, 1.0)
        site.run(5.0, 4.0)
        before = site.messages
        site.run(20.0, 400.0)
        assert site.messages - before <= 20.0 * 8 * 8

    run_scenario(scenario)


def test_an_unused_token_is_returned() -> None:
    def scenario() -> None:
        site = Site(2, 1.0)
        site.run(5.0, 4.0)
        daemon, server = next((d, d.server) for d in site.daemons.values() if d is not site.owner())
        eventlet.sleep(3.0)
        daemon.limits.request_tokens([server])
        eventlet.sleep(0.1)
        assert server.usable(now())
        eventlet.sleep(GRANT_SECONDS)
        assert server.throttle is not None
        assert not server.usable(now())
        assert not server.throttle.take(now())
        # The owner has the token back, and grants it to the next daemon that asks.
        other = site.owner()
        other.limits.request_tokens([other.server])
        eventlet.sleep(0.1)
        assert other.server.usable(now())

    run_scenario(scenario)


def test_a_daemon_that_waits_for_a_token_goes_before_one_that_just_got_one() -> None:
    """Whoever asked first got the next token, and one of eight daemons none in five seconds."""

    def scenario() -> None:
        site = Site(3, 2.0)
        site.run(5.0, 8.0)
        owner = site.owner()
        waiting, served = (name for name in site.daemons if name != owner.name)
        owner.callers.clear()
        eventlet.sleep(3.0)
        while owner.quotas.grant(owner.server, served).granted:
            pass
        assert not owner.quotas.grant(owner.server, waiting).granted
        eventlet.sleep(0.3)
        assert not owner.quotas.grant(owner.server, served).granted
        assert owner.quotas.grant(owner.server, waiting).granted
        # One that does not ask again holds up nobody for long.
        assert not owner.quotas.grant(owner.server, waiting).granted
        eventlet.sleep(1.0)
        assert owner.quotas.grant(owner.server, served).granted

    run_scenario(scenario)


def test_a_token_that_arrives_after_a_suspension_is_not_used(monkeypatch: pytest.MonkeyPatch) -> None:
    at = 100.0
    monkeypatch.setattr(quotas, "now", lambda: at)
    monkeypatch.setattr(quotas.eventlet, "spawn_after", lambda *_: None)
    daemon = Site(1, 1.0).add()
    daemon.limits.note_answer(daemon.server, 1.0, at, "an answer")
    throttle = daemon.server.throttle
    assert throttle is not None

    def reply_late(*_: object) -> QuotaReply:
        nonlocal at
        at += GRANT_SECONDS + 0.1
        return QuotaReply(granted=True)

    monkeypatch.setattr(daemon.quotas, "_ask_owner", reply_late)
    daemon.quotas._fetch_token(daemon.server)
    assert not throttle.has_token(at)
