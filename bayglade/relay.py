"""The relay: sends calls to backend servers, and keeps count of what came of each.

What may be sent again, and when a refusal may promise that nothing ran, is
decided here. Whole answers are in :mod:`bayglade.wholes`, streams in
:mod:`bayglade.streams`.
"""

import random
from collections.abc import Callable

import eventlet

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
from bayglade.ids import BackendId, Fingerprint
from bayglade.logs import event
from bayglade.mechanisms import Mechanism, Without
from bayglade.metrics import Metrics
from bayglade.paths import PathSelector
from bayglade.quarantine import Quarantine
from bayglade.retries import RetryBudget, jittered_retry_after
from bayglade.servers import Server
from bayglade.stall_timeouts import StallTimeouts
from bayglade.upstream import ConnectionPool
from bayglade.wait_queues import WaitQueues

MAX_UNREACHABLE = 4
"""Servers that may turn out unreachable before a call is given up: nothing was sent to them."""
NO_ROUTE_RETRY_AFTER = 0.5
MAX_SENDS = 8
"""Sendings of one call, those included that a full server turned away."""
SUSPENSION_SECONDS = 0.1
"""A wait that ends so much too late shows that this daemon was stopped, or is far too busy."""
FULL_RETRY_AFTER = 0.3
"""When to come back: about the time in which a place becomes free."""


class RelayContext:
    """What the relay works with: the servers, the ways to them and what guards their use."""

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
        without: Without = frozenset(),
    ) -> None:
        self.fleet = fleet
        self.paths = paths
        self.pool = pool
        self.dialect = dialect
        self.control = control
        self.diagnosis = diagnosis
        self.check_authorization = check_authorization
        """Raises CutOff when the call may no longer be sent."""

        self.metrics = metrics
        self.rng = rng
        self.without = without
        self.stall_timeouts = StallTimeouts(Mechanism.PATIENCE not in without)
        self.wait_queues = wait_queues
        self.quarantine = quarantine
        self.new_budget = new_budget
        """Makes the budget of a service, this daemon's part of the bound on all of them."""

        self.budgets: dict[str, RetryBudget] = {}
        self.borrow: Callable[[str, RetryBudget], None] = lambda service, budget: None
        """Borrows for a budget that is spent."""

    def __repr__(self) -> str:
        return f"<RelayContext {self.fleet!r}>"

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the budget for sending calls of a service again."""
        if service not in self.budgets:
            self.budgets[service] = self.new_budget()
        return self.budgets[service]


class Attempts:
    """What has come of one call so far."""

    __slots__ = (
        "call",
        "failure",
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
        self.unreachable_count = 0
        self.tried: set[BackendId] = set()
        self.used_servers: list[Server] = []
        """Servers that the call was sent to, each once."""

        self.failure: BackendError | None = None
        self.seconds_until_room: float | None = None
        """Seconds until there may be room; nothing unless the call found none."""

        self.may_have_run = False
        """Whether one of the sendings may have run."""

        self.stop_error: RequestStopped | None = None
        """Set when the call must not be sent any more."""

    def __repr__(self) -> str:
        return f"<Attempts {self.send_count} sent, {self.unreachable_count} unreached>"

    def can_continue(self, begun: bool = False) -> bool:
        """Tell whether there is time left for the call, and reason to try.

        :param begun: whether its caller has a part of the answer: then only time ends it.
        """
        return self.call.seconds_left() > 0 and (begun or not self.exhausted())

    def exhausted(self) -> bool:
        """Tell whether a call that has got nothing yet was tried often enough."""
        return self.unreachable_count > MAX_UNREACHABLE or self.send_count >= MAX_SENDS

    def acquire_send(self, context: RelayContext, begun: bool = False) -> bool:
        """Tell whether the call may be sent once more, and take that from the budget.

        :param begun: whether its caller has a part of the answer.
        """
        if not self.can_continue(begun) or self.check_stopped(context):
            return False
        budget = context.retry_budget(self.call.service)
        if self.send_count == 0 or budget.acquire():
            return True
        if Mechanism.LENDING not in context.without:
            context.borrow(self.call.service, budget)
            if budget.acquire():
                return not self.check_stopped(context)
        self.log_budget_spent(context)
        return False

    def log_budget_spent(self, context: RelayContext) -> None:
        """Log that the budget has no repeat left for the call."""
        budget = context.retry_budget(self.call.service)
        event("INFO", "retry budget spent", request=self.call.head.id, budget=budget)
        context.metrics.count("retry_budget_spent")

    def check_stopped(self, context: RelayContext) -> bool:
        """Tell whether servers ended under the call, here or elsewhere, so that it goes nowhere more."""
        try:
            context.quarantine.check(self.call)
        except RequestStopped as error:
            self.stop_error = error
            return True
        return False

    def can_retry(self, context: RelayContext) -> bool:
        """Tell whether the call could be sent once more, without taking that from the budget."""
        if self.send_count >= MAX_SENDS or context.quarantine.holds(self.call):
            return False
        return self.has_retry_budget(context)

    def has_retry_budget(self, context: RelayContext) -> bool:
        """Tell whether the budget has a repeat left, without taking it."""
        budget = context.retry_budget(self.call.service)
        if not budget.available() and Mechanism.LENDING not in context.without:
            context.borrow(self.call.service, budget)
        return budget.available()

    def allowed_servers(self) -> frozenset[BackendId] | None:
        """Return the servers to which the call may still go; nothing when any may be new.

        Servers that have ended meanwhile do not count towards the bound on servers
        that one call may be sent to; one that is out of reach just now does.
        """
        at = now()
        alive = frozenset(head.facts.id for head in self.used_servers if not head.ended(at))
        return alive if len(alive) >= self.call.endpoint.max_attempts else None

    def note_sent(self, server: Server) -> None:
        """Count a sending to a server."""
        self.send_count += 1
        self.tried.add(server.facts.id)
        if server not in self.used_servers:
            self.used_servers.append(server)

    def note_failure(self, error: BackendError) -> bool:
        """Take in the end of an attempt; tell whether another may follow."""
        self.failure = error
        if isinstance(error, BackendUnreachable):
            self.unreachable_count += 1
        if error.outcome is Outcome.NOT_RUN:
            return True
        self.may_have_run = True
        return not self.call.at_most_once

    def final_error(self, rng: random.Random) -> BaygladeError:
        """Return what the caller is told when no attempt brought an answer.

        Only a call of which no sending can have run is refused with a status
        that promises so.
        """
        if self.call.seconds_left() <= 0:
            return DeadlinePassed("no whole answer in time", step="relay", outcome=self.outcome())
        if self.may_have_run:
            # The last failure alone may be a refusal, which says nothing of the sendings before.
            last = f": {self.failure.message}" if self.failure is not None else ""
            return BackendError(f"no whole answer{last}", step="relay")
        if self.stop_error is not None:
            return self.stop_error
        if isinstance(self.failure, BackendRefused) or self.seconds_until_room is not None:
            again = jittered_retry_after(max(FULL_RETRY_AFTER, self.seconds_until_room or 0.0), rng)
            return Overloaded("the servers are full", step="relay", retry_after=again)
        again = jittered_retry_after(NO_ROUTE_RETRY_AFTER, rng)
        return NoRoute("no server can run this now", step="relay", retry_after=again)

    def outcome(self) -> Outcome:
        """Tell what is known of all sendings together."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


def await_crash_reports(context: RelayContext, call: Call) -> None:
    """Wait before a call is sent once more for word of whether its servers ended, if that would stop it.

    A server that was asked in the moment of its end may just have broken the question off: those of which
    nothing is sure are looked at once more.
    """
    seconds = context.quarantine.gather_seconds(call)
    if seconds <= 0:
        return
    for start in context.quarantine.unsure_of(call):
        if (server := context.fleet.current(start)) is not None:
            eventlet.spawn_n(probe_server, context, server)
    _wait_for_reports(min(seconds, max(0.0, call.seconds_left())))


def _wait_for_reports(seconds: float) -> None:
    """Wait for word of other daemons, for longer if this one did not run meanwhile.

    One that was stopped in this wait would go on before it reads what others told it in that time.
    """
    since = now()
    eventlet.sleep(seconds)
    if now() - since > seconds + SUSPENSION_SECONDS:
        eventlet.sleep(seconds)


def probe_server(context: RelayContext, server: Server) -> None:
    """Look whether nobody listens any more for a server that broke a call off.

    That somebody does says nothing: what stands before a server may, or a later start of it.
    """
    context.pool.probe(server.facts.id, server.facts.address)


def request_fingerprint(context: RelayContext, call: Call, error: BackendError) -> Fingerprint | None:
    """Return what names a request that may have run on a server which broke off, for the log.

    Ids are new with each try: without this, that one request comes again and again cannot be told from
    many that fail once.
    """
    if error.outcome is Outcome.NOT_RUN:
        return None
    return context.quarantine.name(call)
