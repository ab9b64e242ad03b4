"""Attempts at relaying a call to backend servers, and the record of their outcomes.

This module decides whether a call may be sent again, and whether an error may
promise that it did not run. Buffered answers are in
:mod:`bayglade.wholes`, streams in :mod:`bayglade.streams`.
"""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial

import eventlet

from bayglade.admission_levels import admit_everything
from bayglade.calls import Call, Dialect
from bayglade.clock import now
from bayglade.config import DEFAULT_MAX_ANSWER_BYTES
from bayglade.control import Control
from bayglade.diagnosis import Diagnosis
from bayglade.disconnects import ServiceEnded
from bayglade.exceptions import (
    BackendError,
    BackendRefused,
    BackendUnreachable,
    BackendUnwilling,
    BaygladeError,
    DeadlinePassed,
    Isolated,
    NoRoute,
    Outcome,
    Overloaded,
    PeerRefused,
    RequestStopped,
    StoppedMidway,
    Stopping,
)
from bayglade.fleet import Fleet
from bayglade.forwarding import ForwardedExchange, forward_call, forwarding_off
from bayglade.http1 import Message
from bayglade.ids import BackendId, Fingerprint
from bayglade.logs import event
from bayglade.mechanisms import DisabledMechanisms, Mechanism
from bayglade.metrics import Metrics
from bayglade.paths import PathSelector
from bayglade.quarantine import Quarantine
from bayglade.reachability import Reachability
from bayglade.refusals import Refusals
from bayglade.retries import jittered_retry_after, retry_elsewhere
from bayglade.retry_ledger import Charge, ChargeSource, RetryBound, RetryLedger
from bayglade.retry_parts import PartOf, whole_bound
from bayglade.room_forecast import CapacityEstimates, retry_after
from bayglade.servers import Server
from bayglade.service_reports import ServiceReports
from bayglade.sse import DEFAULT_MAX_EVENT_BYTES
from bayglade.stall_timeouts import StallTimeouts
from bayglade.upstream import ConnectionPool
from bayglade.wait_queues import WaitQueues

MAX_UNREACHABLE = 4
"""Unreachable servers after which a call is given up; nothing was sent to any of them."""
NO_ROUTE_RETRY_AFTER = 0.5
"""Retry-After in seconds, before jitter, if no server can run a request."""
MAX_SENDS = 8
"""Bound on how often one call is sent, including sends that a full server rejected."""
SUSPENSION_SECONDS = 0.1
"""A sleep that overruns by this much shows that the daemon was suspended or is badly overloaded."""
FULL_RETRY_AFTER = 0.3
"""Least Retry-After in seconds, before jitter, if all servers are full: about the time until a place is
free."""


class RelayContext:
    """The collaborators of a relay: the servers, the paths and connections to them, and the safeguards."""

    def __init__(
        self,
        fleet: Fleet,
        paths: PathSelector,
        pool: ConnectionPool,
        dialect: Dialect,
        control: Control,
        diagnosis: Diagnosis,
        check_authorization: Callable[[Call], None],
        wait_queues: WaitQueues,
        quarantine: Quarantine,
        retry_bound: RetryBound,
        metrics: Metrics,
        rng: random.Random,
        without: DisabledMechanisms = frozenset(),
        reports: ServiceReports | None = None,
        refusals: Refusals | None = None,
    ) -> None:
        self.fleet = fleet
        self.paths = paths
        self.pool = pool
        self.dialect = dialect
        self.control = control
        self.diagnosis = diagnosis
        self.check_authorization = check_authorization
        """Raises CutOff if the call may no longer be sent, Unauthenticated if its key was revoked."""

        self.metrics = metrics
        self.rng = rng
        self.without = without
        self.stall_timeouts = StallTimeouts(Mechanism.PATIENCE not in without)
        self.plain_stall_timeouts = StallTimeouts(Mechanism.PATIENCE not in without)
        """The same for streams of plain services, whose delays tell nothing about those of a model."""

        self.wait_queues = wait_queues
        self.quarantine = quarantine
        self.retry_bound = retry_bound
        """The bound on the retries of all daemons together, to each service."""

        self.retry_part: PartOf = whole_bound
        """Returns this daemon's part of that bound."""

        self.admission = admit_everything(metrics)
        """Whether new calls are admitted, by urgency."""

        self.reachability = Reachability(fleet, lambda server: True, metrics, rng)
        self.forwarding = forwarding_off(self.reachability.is_isolated, metrics, rng)
        """Both are replaced by the daemon, on whose other parts they depend."""

        self.retry_ledgers: dict[str, RetryLedger] = {}
        self.borrow: Callable[[str, RetryLedger], None] = lambda service, ledger: None
        """Borrows retries from other daemons if this one has none left."""

        self.note_request: Callable[[str], None] = lambda service: self.retry_ledger(service).note_request()
        """Counts a request of a caller, by which retries are allowed."""

        self.max_answer_bytes = DEFAULT_MAX_ANSWER_BYTES
        """Size limit of an answer that is read as a whole."""

        self.max_event_bytes = DEFAULT_MAX_EVENT_BYTES
        """Size limit of an event of a stream."""

        self.capacity = CapacityEstimates()
        """What this daemon knows of its running streams and of the completion rates."""

        self.reports = reports if reports is not None else ServiceReports()
        """Demand by service and urgency, at this daemon and at all others."""

        self.refusals = refusals if refusals is not None else Refusals()
        """The requests that this daemon refused."""

    def __repr__(self) -> str:
        return f"<RelayContext {self.fleet!r}>"

    def retry_ledger(self, service: str) -> RetryLedger:
        """Return the retries of this daemon to a service."""
        if service not in self.retry_ledgers:
            self.retry_ledgers[service] = RetryLedger(self.retry_bound, lambda: self.retry_part())
        return self.retry_ledgers[service]


class Attempts:
    """The attempts at one call, and their outcome so far."""

    __slots__ = (
        "admission_asked",
        "by_forecast",
        "call",
        "charge",
        "charged_to",
        "failure",
        "last_sent_at",
        "layers_missing",
        "may_have_run",
        "resumable",
        "seconds_until_room",
        "send_count",
        "sent",
        "stop_error",
        "tried",
        "unknown_servers",
        "unreachable_count",
        "used_servers",
    )

    def __init__(self, call: Call) -> None:
        self.call = call
        self.sent = call.sent_before
        """Whether the call may have reached a server: its next send is a retry."""

        self.charge: Charge | None = None
        """The retry that is held for the next send."""

        self.charged_to: ChargeSource | None = None
        """What the last send was charged to; None if it was the first."""

        self.send_count = 0
        self.last_sent_at = float("-inf")
        """When the call was sent last, in monotonic seconds."""

        self.unreachable_count = 0
        self.tried: set[BackendId] = set()
        self.used_servers: list[Server] = []
        """Servers that the call was sent to, here or by other daemons, without duplicates."""

        self.unknown_servers: set[BackendId] = set()
        """Servers that other daemons sent the call to and that this one does not know."""

        self.failure: BackendError | None = None
        self.seconds_until_room: float | None = None
        """Expected seconds until there is room; None unless the call found no room."""

        self.admission_asked = False
        """Whether admission was asked for the call."""

        self.by_forecast = False
        """Whether that time comes from the forecast over all daemons."""

        self.layers_missing = False
        """Whether the call found no room because layers are still being loaded."""

        self.resumable = True
        """Whether it is known where the answer goes on, as far as its caller has it."""

        self.may_have_run = False
        """Whether the call may have run on a server that it was sent to."""

        self.stop_error: RequestStopped | None = None
        """Set if the call must not be sent any more."""

    def __repr__(self) -> str:
        return f"<Attempts {self.send_count} sent, {self.unreachable_count} unreachable>"

    def clear_expected(self) -> None:
        """Forget the expected time until there is room, before a place is sought anew."""
        self.seconds_until_room = None
        self.by_forecast = self.layers_missing = False

    def can_continue(self, begun: bool = False) -> bool:
        """Return whether the call has time left and is worth another attempt.

        :param begun: whether its caller already has a part of the answer; then only the deadline ends it.
        """
        return self.call.seconds_left() > 0 and (begun or not self.exhausted())

    def exhausted(self) -> bool:
        """Return whether the bounds on attempts are reached; they apply until the answer has begun."""
        return self.unreachable_count > MAX_UNREACHABLE or self.send_count >= MAX_SENDS

    def may_send(self, context: RelayContext, begun: bool = False) -> bool:
        """Return whether the call may be sent once more, as far as its own bounds go.

        :param begun: whether its caller already has a part of the answer.
        """
        return self.can_continue(begun) and not self.check_stopped(context)

    def hold_retry(self, context: RelayContext) -> bool:
        """Hold a retry for the next send, unless it is the first one; return false if there is none."""
        if not self.sent or self.charge is not None:
            return True
        ledger = context.retry_ledger(self.call.service)
        self.charge = ledger.acquire()
        if self.charge is None and Mechanism.LENDING not in context.without:
            context.borrow(self.call.service, ledger)
            self.charge = ledger.acquire()
        if self.charge is None:
            self.log_retries_spent(context)
        return self.charge is not None

    def begin_send(self, context: RelayContext, server: Server) -> None:
        """Charge the retry that is held, just before the bytes of the call leave.

        :raises BackendUnwilling: if the retry may no longer be sent; nothing was sent.
        """
        if self.sent:
            charge, self.charge = self.charge, None
            if charge is None or not charge.commit():
                raise BackendUnwilling("no retry is left", step="send", peer=server.facts.id)
            context.metrics.count(f"retries_charged_{charge.source.value}")
            self.charged_to = charge.source
        self.sent = True
        self.note_sent(server)

    def release_retry(self) -> None:
        """Give back the retry that is held."""
        if self.charge is not None:
            self.charge.release()
            self.charge = None

    def log_retries_spent(self, context: RelayContext) -> None:
        """Log that there is no retry left for the call."""
        ledger = context.retry_ledger(self.call.service)
        event("INFO", "retry budget spent", request=self.call.head.id, budget=ledger)
        context.metrics.count("retry_budget_spent")

    def check_stopped(self, context: RelayContext) -> bool:
        """Return whether the call must not be sent again because servers crashed under it anywhere."""
        try:
            context.quarantine.check(self.call)
        except RequestStopped as error:
            self.stop_error = error
            return True
        return False

    def can_retry(self, context: RelayContext) -> bool:
        """Return whether the call may be sent once more, without charging the retry budget."""
        if self.send_count >= MAX_SENDS or not self.resumable or context.quarantine.is_stopped(self.call):
            return False
        return self.has_retry_budget(context)

    def has_retry_budget(self, context: RelayContext) -> bool:
        """Return whether there is a retry left, without holding it."""
        ledger = context.retry_ledger(self.call.service)
        if self.charge is not None or ledger.available():
            return True
        if Mechanism.LENDING not in context.without:
            context.borrow(self.call.service, ledger)
        return ledger.available()

    def allowed_servers(self) -> frozenset[BackendId] | None:
        """Return the servers to which the call may still be sent, or None if any server is allowed.

        The number of servers that one call may be sent to is bounded. Servers that have terminated
        or started to leave since do not count; one that is only unreachable at the moment does.
        """
        at = now()
        alive = frozenset(server.facts.id for server in self.used_servers if server.counts_as_used(at))
        alive |= self.unknown_servers
        return alive if len(alive) >= self.call.endpoint.max_attempts else None

    def used_ids(self) -> list[BackendId]:
        """Return the servers that the call may have been sent to, here or by other daemons."""
        return [*(server.facts.id for server in self.used_servers), *sorted(self.unknown_servers)]

    def note_used_elsewhere(self, context: RelayContext, backend: BackendId) -> None:
        """Record that another daemon may have sent the call to a server."""
        server = context.fleet.servers.get(backend)
        if server is None:
            self.unknown_servers.add(backend)
        elif server not in self.used_servers:
            self.used_servers.append(server)

    def not_counted(self) -> dict[BackendId, str]:
        """Return the servers that the call was sent to and that no longer count, each with the reason."""
        at = now()
        reasons = ((server.facts.id, server.not_counted(at)) for server in self.used_servers)
        return {backend: reason for backend, reason in reasons if reason is not None}

    def note_sent(self, server: Server) -> None:
        """Record that the call is sent to a server."""
        self.send_count += 1
        self.last_sent_at = now()
        self.tried.add(server.facts.id)
        if server not in self.used_servers:
            self.used_servers.append(server)

    def note_failure(self, error: BackendError) -> bool:
        """Record a failed attempt, and return whether another one may follow."""
        # Its traceback refers to the call's body, and to itself through these attempts.
        self.failure = error.with_traceback(None)
        if isinstance(error, BackendUnreachable):
            self.unreachable_count += 1
        if error.outcome is Outcome.NOT_RUN:
            return True
        self.may_have_run = True
        return self.resumable and not self.call.at_most_once

    def final_error(self, rng: random.Random) -> BaygladeError:
        """Return the error for the caller if no attempt succeeded.

        Only if no server can have run the call is it an error that promises so.
        """
        if self.call.seconds_left() <= 0:
            return DeadlinePassed("no complete answer in time", step="relay", outcome=self.outcome())
        if self.may_have_run:
            # The last failure may be a rejection, which says nothing about the earlier sends.
            last = f": {self.failure.message}" if self.failure is not None else ""
            return BackendError(f"no complete answer{last}", step="relay")
        if self.stop_error is not None:
            return self.stop_error
        found_full = isinstance(self.failure, BackendRefused) or self.seconds_until_room is not None
        if found_full and not self.layers_missing:
            again = self._retry_after(max(FULL_RETRY_AFTER, self.seconds_until_room or 0.0), rng)
            return Overloaded("all servers are full", step="relay", retry_after=again)
        again = self._retry_after(self.seconds_until_room or NO_ROUTE_RETRY_AFTER, rng)
        return NoRoute("no server can run this request now", step="relay", retry_after=again)

    def exit_error(self, rng: random.Random) -> BaygladeError:
        """Return the error for the caller if the daemon exits before there is an answer."""
        if self.sent or self.may_have_run or self.used_ids():
            error: BaygladeError = StoppedMidway("this daemon exits", step="relay")
        else:
            error = Stopping("this daemon exits", step="relay", retry_after=retry_elsewhere(rng))
        error.sent = self.sent
        return error

    def _retry_after(self, seconds: float, rng: random.Random) -> float:
        if self.by_forecast:
            return retry_after(seconds, self.call.seconds_left(), rng)
        return jittered_retry_after(seconds, rng)

    def outcome(self) -> Outcome:
        """Return the combined outcome of all sends."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


@contextmanager
def attempts_at(context: RelayContext, call: Call) -> Iterator[Attempts]:
    """Begin the attempts at a call; at their end, give back what they hold.

    An error that is raised tells whether the call may have reached a server.
    """
    attempts = Attempts(call)
    for backend in call.earlier_servers:
        attempts.note_used_elsewhere(context, backend)
    if not call.forwarded:
        # Otherwise the daemon that received it from the caller counts the request.
        context.note_request(call.service)
    try:
        yield attempts
    except ServiceEnded:
        raise attempts.exit_error(context.rng) from None
    except BaygladeError as error:
        error.sent = attempts.sent
        if attempts.allowed_servers() is not None:
            context.metrics.count("calls_failed_at_server_bound")
        raise
    finally:
        attempts.release_retry()


def forward(
    context: RelayContext, call: Call, attempts: Attempts, last_event: int | None
) -> tuple[ForwardedExchange, Message]:
    """Forward a call to another daemon, counting it as sent.

    The other daemon charges the retry, if it is one, when it sends the call to a server.

    :raises BaygladeError: as :func:`bayglade.forwarding.forward_call` does.
    """
    attempts.send_count += 1
    note_permitted = partial(attempts.note_used_elsewhere, context)
    try:
        exchange, message = forward_call(
            context.forwarding, call, attempts.used_ids(), last_event, attempts.sent, note_permitted
        )
    except (Isolated, PeerRefused) as error:
        attempts.sent = error.sent
        raise
    except BackendError as error:
        attempts.sent = attempts.sent or error.outcome is not Outcome.NOT_RUN
        raise
    attempts.sent = True
    return exchange, message


def await_crash_reports(context: RelayContext, call: Call) -> None:
    """Before a retry, wait for reports of whether the call's servers crashed, if these could stop it.

    A server that was probed just as it crashed may only have closed the probe's connection, so servers
    whose state is not certain are probed once more.
    """
    seconds = context.quarantine.resend_delay(call)
    if seconds <= 0:
        return
    for start in context.quarantine.unconfirmed_servers(call):
        if (server := context.fleet.find_current(start)) is not None:
            eventlet.spawn_n(probe_server, context, server)
    _wait_for_reports(min(seconds, max(0.0, call.seconds_left())))


def _wait_for_reports(seconds: float) -> None:
    """Sleep while reports of other daemons arrive; sleep again if this daemon was suspended meanwhile.

    After a suspension the daemon would otherwise go on before it has read the reports sent in that time.
    """
    since = now()
    eventlet.sleep(seconds)
    if now() - since > seconds + SUSPENSION_SECONDS:
        eventlet.sleep(seconds)


def probe_server(context: RelayContext, server: Server) -> None:
    """Probe whether nothing listens any more at the address of a server that broke off a call.

    A successful connection proves nothing: it may reach a proxy or a restarted server.
    """
    context.pool.probe(server.facts.id, server.facts.address)


def request_fingerprint(context: RelayContext, call: Call, error: BackendError) -> Fingerprint | None:
    """Return the fingerprint, for the log, of a request that may have run on a server which broke off.

    Request ids change with each attempt of the caller. Without the fingerprint, one request that fails
    again and again looks the same in the log as many that fail once.
    """
    if error.outcome is Outcome.NOT_RUN:
        return None
    return context.quarantine.fingerprint_for(call)


def request_parts(context: RelayContext, call: Call, error: BackendError) -> tuple[Fingerprint, ...] | None:
    """Return the fingerprints, for the log, of the shared parts of a prompt that may have run.

    Without them, requests that fail for one part of their prompts have nothing in common in the log.
    """
    if error.outcome is Outcome.NOT_RUN:
        return None
    return context.quarantine.part_fingerprints_for(call) or None
