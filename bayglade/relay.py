"""Attempts at relaying a call to backend servers, and the record of their outcomes.

This module decides whether a call may be sent again, and whether an error may
promise that it did not run. Buffered answers are in
:mod:`bayglade.wholes`, streams in :mod:`bayglade.streams`.
"""

import random
from collections.abc import Callable

import eventlet

from bayglade.admission_levels import admit_everything
from bayglade.calls import Call, Dialect
from bayglade.clock import now
from bayglade.control import Control
from bayglade.diagnosis import Diagnosis
from bayglade.exceptions import (
    BackendError,
    BackendRefused,
    BackendUnreachable,
    BaygladeError,
    DeadlinePassed,
    NoRoute,
    Outcome,
    Overloaded,
    RequestStopped,
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
from bayglade.retries import RetryBudget, jittered_retry_after
from bayglade.room_forecast import CapacityEstimates, retry_after
from bayglade.servers import Server
from bayglade.service_reports import ServiceReports
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
        new_budget: Callable[[], RetryBudget],
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
        self.wait_queues = wait_queues
        self.quarantine = quarantine
        self.new_budget = new_budget
        """Creates the retry budget of a service: this daemon's part of the bound on all daemons."""

        self.admission = admit_everything(metrics)
        """Whether new calls are admitted, by urgency."""

        self.reachability = Reachability(fleet, lambda server: True, metrics, rng)
        self.forwarding = forwarding_off(self.reachability.is_isolated, metrics, rng)
        """Both are replaced by the daemon, on whose other parts they depend."""

        self.budgets: dict[str, RetryBudget] = {}
        self.borrow: Callable[[str, RetryBudget], None] = lambda service, budget: None
        """Borrows retries from other daemons for an exhausted budget."""

        self.capacity = CapacityEstimates()
        """What this daemon knows of its running streams and of the completion rates."""

        self.reports = reports if reports is not None else ServiceReports()
        """Demand by service and urgency, at this daemon and at all others."""

        self.refusals = refusals if refusals is not None else Refusals()
        """The requests that this daemon refused."""

    def __repr__(self) -> str:
        return f"<RelayContext {self.fleet!r}>"

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = self.new_budget()
        return self.budgets[service]


class Attempts:
    """The attempts at one call, and their outcome so far."""

    __slots__ = (
        "admission_asked",
        "by_forecast",
        "call",
        "failure",
        "last_sent_at",
        "layers_missing",
        "may_have_run",
        "seconds_until_room",
        "send_count",
        "stop_error",
        "tried",
        "unreachable_count",
        "used_servers",
    )

    def __init__(self, call: Call) -> None:
        self.call = call
        self.send_count = 0
        self.last_sent_at = float("-inf")
        """When the call was sent last, in monotonic seconds."""

        self.unreachable_count = 0
        self.tried: set[BackendId] = set()
        self.used_servers: list[Server] = []
        """Servers that the call was sent to, without duplicates."""

        self.failure: BackendError | None = None
        self.seconds_until_room: float | None = None
        """Expected seconds until there is room; None unless the call found no room."""

        self.admission_asked = False
        """Whether admission was asked for the call."""

        self.by_forecast = False
        """Whether that time comes from the forecast over all daemons."""

        self.layers_missing = False
        """Whether the call found no room because layers are still being loaded."""

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

    def acquire_send(self, context: RelayContext, begun: bool = False) -> bool:
        """Return whether the call may be sent once more; a retry is charged to the retry budget.

        :param begun: whether its caller already has a part of the answer.
        """
        if not self.can_continue(begun) or self.check_stopped(context):
            return False
        if self.send_count == 0:
            return True
        budget = context.retry_budget(self.call.service)
        if budget.acquire():
            self.log_charge(context)
            return True
        if Mechanism.LENDING not in context.without:
            context.borrow(self.call.service, budget)
            if budget.acquire():
                self.log_charge(context)
                return not self.check_stopped(context)
        self.log_budget_spent(context)
        return False

    def log_charge(self, context: RelayContext) -> None:
        """Log that a retry was charged: to which part of the bound, and by which division."""
        budget = context.retry_budget(self.call.service)
        event(
            "INFO",
            "retry charged",
            request=self.call.head.id,
            budget=budget,
            to=budget.charged_to,
            parts=context.diagnosis.count_daemons(),
            counting=round(now() - budget.created_at, 1),
        )
        context.metrics.count(f"retries_charged_{budget.charged_to}")

    def log_budget_spent(self, context: RelayContext) -> None:
        """Log that the retry budget has no retry left for the call."""
        budget = context.retry_budget(self.call.service)
        event("INFO", "retry budget spent", request=self.call.head.id, budget=budget)
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
        if self.send_count >= MAX_SENDS or context.quarantine.is_stopped(self.call):
            return False
        return self.has_retry_budget(context)

    def has_retry_budget(self, context: RelayContext) -> bool:
        """Return whether the retry budget has a retry left, without charging it."""
        budget = context.retry_budget(self.call.service)
        if not budget.available() and Mechanism.LENDING not in context.without:
            context.borrow(self.call.service, budget)
        return budget.available()

    def allowed_servers(self) -> frozenset[BackendId] | None:
        """Return the servers to which the call may still be sent, or None if any server is allowed.

        The number of servers that one call may be sent to is bounded. Servers that have terminated
        or started to leave since do not count; one that is only unreachable at the moment does.
        """
        at = now()
        alive = frozenset(server.facts.id for server in self.used_servers if server.counts_as_used(at))
        return alive if len(alive) >= self.call.endpoint.max_attempts else None

    def note_sent(self, server: Server) -> None:
        """Record that the call was sent to a server."""
        self.send_count += 1
        self.last_sent_at = now()
        self.tried.add(server.facts.id)
        if server not in self.used_servers:
            self.used_servers.append(server)

    def note_failure(self, error: BackendError) -> bool:
        """Record a failed attempt, and return whether another one may follow."""
        self.failure = error
        if isinstance(error, BackendUnreachable):
            self.unreachable_count += 1
        if error.outcome is Outcome.NOT_RUN:
            return True
        self.may_have_run = True
        return not self.call.at_most_once

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

    def _retry_after(self, seconds: float, rng: random.Random) -> float:
        if self.by_forecast:
            return retry_after(seconds, self.call.seconds_left(), rng)
        return jittered_retry_after(seconds, rng)

    def outcome(self) -> Outcome:
        """Return the combined outcome of all sends."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


def start_attempts(context: RelayContext, call: Call) -> Attempts:
    """Return the attempts at a call, including those of the daemon that forwarded it."""
    attempts = Attempts(call)
    servers = context.fleet.servers
    attempts.used_servers = [servers[backend] for backend in call.earlier_servers if backend in servers]
    if not call.earlier_servers and not context.forwarding.is_needed(call):
        # Otherwise another daemon counts the request.
        context.retry_budget(call.service).note_request()
    return attempts


def forward(
    context: RelayContext, call: Call, attempts: Attempts, last_event: int | None
) -> tuple[ForwardedExchange, Message]:
    """Forward a call to another daemon, counting it as sent.

    :raises BaygladeError: as :func:`bayglade.forwarding.forward_call` does.
    """
    servers = [server.facts.id for server in attempts.used_servers]
    attempts.send_count += 1
    return forward_call(context.forwarding, call, servers, last_event)


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
