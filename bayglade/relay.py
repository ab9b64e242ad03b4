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
from bayglade.mechanisms import DisabledMechanisms, Mechanism
from bayglade.metrics import Metrics
from bayglade.paths import Paths
from bayglade.quarantine import Quarantine
from bayglade.retries import RetryBudget, spread_retry_after
from bayglade.servers import Server
from bayglade.stall_timeouts import StallTimeouts
from bayglade.upstream import Links
from bayglade.wait_queues import WaitQueues

MAX_UNREACHED = 4
"""Servers that may turn out unreachable before a call is given up: nothing was sent to them."""
NO_ROUTE_SECONDS = 0.5
MAX_SENDINGS = 8
"""Sendings of one call, those included that a full server turned away."""
LATE_SECONDS = 0.1
"""A wait that ends so much too late shows that this daemon was stopped, or is far too busy."""
FULL_SECONDS = 0.3
"""When to come back: about the time in which a place becomes free."""


class Peers:
    """What the relay works with: the servers, the ways to them and what guards their use."""

    def __init__(
        self,
        fleet: Fleet,
        paths: Paths,
        links: Links,
        dialect: Dialect,
        control: Control,
        diagnosis: Diagnosis,
        check: Callable[[Call], None],
        wait_queues: WaitQueues,
        quarantine: Quarantine,
        new_budget: Callable[[], RetryBudget],
        metrics: Metrics,
        rng: random.Random,
        without: DisabledMechanisms = frozenset(),
    ) -> None:
        self.fleet = fleet
        self.paths = paths
        self.links = links
        self.dialect = dialect
        self.control = control
        self.diagnosis = diagnosis
        self.check = check
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
        return f"<Peers {self.fleet!r}>"

    def budget(self, service: str) -> RetryBudget:
        """Return the budget for sending calls of a service again."""
        if service not in self.budgets:
            self.budgets[service] = self.new_budget()
        return self.budgets[service]


class Attempts:
    """What has come of one call so far."""

    __slots__ = ("call", "failure", "full_for", "heads", "sent", "stopped", "tried", "unknown", "unreached")

    def __init__(self, call: Call) -> None:
        self.call = call
        self.sent = 0
        self.unreached = 0
        self.tried: set[BackendId] = set()
        self.heads: list[Server] = []
        """Servers that the call was sent to, each once."""

        self.failure: BackendError | None = None
        self.full_for: float | None = None
        """Seconds until there may be room; nothing unless the call found none."""

        self.unknown = False
        """Whether one of the sendings may have run."""

        self.stopped: RequestStopped | None = None
        """Set when the call must not be sent any more."""

    def __repr__(self) -> str:
        return f"<Attempts {self.sent} sent, {self.unreached} unreached>"

    def open(self, begun: bool = False) -> bool:
        """Tell whether there is time left for the call, and reason to try.

        :param begun: whether its caller has a part of the answer: then only time ends it.
        """
        return self.call.seconds_left() > 0 and (begun or not self.exhausted())

    def exhausted(self) -> bool:
        """Tell whether a call that has got nothing yet was tried often enough."""
        return self.unreached > MAX_UNREACHED or self.sent >= MAX_SENDINGS

    def may_send(self, peers: Peers, begun: bool = False) -> bool:
        """Tell whether the call may be sent once more, and take that from the budget.

        :param begun: whether its caller has a part of the answer.
        """
        if not self.open(begun) or self.held(peers):
            return False
        budget = peers.budget(self.call.service)
        if self.sent == 0 or budget.retry():
            return True
        if Mechanism.LENDING not in peers.without:
            peers.borrow(self.call.service, budget)
            if budget.retry():
                return not self.held(peers)
        self.tell_spent(peers)
        return False

    def tell_spent(self, peers: Peers) -> None:
        """Log that the budget has no repeat left for the call."""
        budget = peers.budget(self.call.service)
        event("INFO", "retry budget spent", request=self.call.head.id, budget=budget)
        peers.metrics.count("retry_budget_spent")

    def held(self, peers: Peers) -> bool:
        """Tell whether servers ended under the call, here or elsewhere, so that it goes nowhere more."""
        try:
            peers.quarantine.check(self.call)
        except RequestStopped as error:
            self.stopped = error
            return True
        return False

    def may_repeat(self, peers: Peers) -> bool:
        """Tell whether the call could be sent once more, without taking that from the budget."""
        if self.sent >= MAX_SENDINGS or peers.quarantine.holds(self.call):
            return False
        return self.has_budget(peers)

    def has_budget(self, peers: Peers) -> bool:
        """Tell whether the budget has a repeat left, without taking it."""
        budget = peers.budget(self.call.service)
        if not budget.left() and Mechanism.LENDING not in peers.without:
            peers.borrow(self.call.service, budget)
        return budget.left()

    def only(self) -> frozenset[BackendId] | None:
        """Return the servers to which the call may still go; nothing when any may be new.

        Servers that have ended meanwhile do not count towards the bound on servers
        that one call may be sent to; one that is out of reach just now does.
        """
        at = now()
        alive = frozenset(head.facts.id for head in self.heads if not head.has_ended(at))
        return alive if len(alive) >= self.call.endpoint.max_attempts else None

    def note(self, server: Server) -> None:
        """Count a sending to a server."""
        self.sent += 1
        self.tried.add(server.facts.id)
        if server not in self.heads:
            self.heads.append(server)

    def failed(self, error: BackendError) -> bool:
        """Take in the end of an attempt; tell whether another may follow."""
        self.failure = error
        if isinstance(error, BackendUnreachable):
            self.unreached += 1
        if error.outcome is Outcome.NOT_RUN:
            return True
        self.unknown = True
        return not self.call.once

    def error(self, rng: random.Random) -> BaygladeError:
        """Return what the caller is told when no attempt brought an answer.

        Only a call of which no sending can have run is refused with a status
        that promises so.
        """
        if self.call.seconds_left() <= 0:
            return DeadlinePassed("no whole answer in time", step="relay", outcome=self.outcome())
        if self.unknown:
            # The last failure alone may be a refusal, which says nothing of the sendings before.
            last = f": {self.failure.message}" if self.failure is not None else ""
            return BackendError(f"no whole answer{last}", step="relay")
        if self.stopped is not None:
            return self.stopped
        if isinstance(self.failure, BackendRefused) or self.full_for is not None:
            again = spread_retry_after(max(FULL_SECONDS, self.full_for or 0.0), rng)
            return Overloaded("the servers are full", step="relay", retry_after=again)
        again = spread_retry_after(NO_ROUTE_SECONDS, rng)
        return NoRoute("no server can run this now", step="relay", retry_after=again)

    def outcome(self) -> Outcome:
        """Tell what is known of all sendings together."""
        return Outcome.UNKNOWN if self.unknown else Outcome.NOT_RUN


def await_word(peers: Peers, call: Call) -> None:
    """Wait before a call is sent once more for word of whether its servers ended, if that would stop it.

    A server that was asked in the moment of its end may just have broken the question off: those of which
    nothing is sure are looked at once more.
    """
    seconds = peers.quarantine.gather_seconds(call)
    if seconds <= 0:
        return
    for start in peers.quarantine.unsure_of(call):
        if (server := peers.fleet.find_current(start)) is not None:
            eventlet.spawn_n(look_at, peers, server)
    _gather(min(seconds, max(0.0, call.seconds_left())))


def _gather(seconds: float) -> None:
    """Wait for word of other daemons, for longer if this one did not run meanwhile.

    One that was stopped in this wait would go on before it reads what others told it in that time.
    """
    since = now()
    eventlet.sleep(seconds)
    if now() - since > seconds + LATE_SECONDS:
        eventlet.sleep(seconds)


def look_at(peers: Peers, server: Server) -> None:
    """Look whether nobody listens any more for a server that broke a call off.

    That somebody does says nothing: what stands before a server may, or a later start of it.
    """
    peers.links.probe(server.facts.id, server.facts.address)


def content_of(peers: Peers, call: Call, error: BackendError) -> Fingerprint | None:
    """Return what names a request that may have run on a server which broke off, for the log.

    Ids are new with each try: without this, that one request comes again and again cannot be told from
    many that fail once.
    """
    if error.outcome is Outcome.NOT_RUN:
        return None
    return peers.quarantine.name(call)
