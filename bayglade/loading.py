"""Loading: orders the layers that backend servers should hold, one daemon at a time.

Every daemon sees what is missing; the one that gets the lease gives the orders,
and gives the lease back when nothing is missing. An order names the number of
orders that the server has taken, so that one from an old view is refused, and
what is wanted is always compared with what servers report, since an order
without an answer may be carried out later.
"""

import random
from collections.abc import Callable

import eventlet
import msgspec

from bayglade.clock import now
from bayglade.control import Control, OrderOutcome
from bayglade.exceptions import PlatformUnavailable
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, ServiceName
from bayglade.leases import Lease
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.pipelines import Pipeline
from bayglade.repair import count_missing, fill_empty, repair
from bayglade.servers import ServerFacts
from bayglade.tiling import Span, Spans, group_servers, tile_group

LEASE_NAME = "placement"
LEASE_SECONDS = 2.5
LEASE_MARGIN = 0.7
"""Short: the lease is held only while there is something to order."""
LOOK_SECONDS = 0.4
OTHERS_SECONDS = 1.0
"""Time between looks at a lease that another daemon has: each is a call of the store, paid for."""
OTHERS_BEGIN_SECONDS = 6.0
"""Something that has to be ordered for so long may be left by the daemons that try first: others try."""
OTHERS_AT_ONCE = 2
"""How many of these try at each look, on average: looks of all daemons at a lease that is not for them
would be a large part of all calls of the store."""
SETTLE_SECONDS = 1.5
"""An empty fleet is laid out once no server was listed for so long: the list fills slowly at a start."""
MEND_SECONDS = 0.8
"""Layers that are missing for this long are loaded elsewhere: a server that does not answer
may be back sooner, one that crashed comes back empty and seconds later."""
ORDER_SETTLE_SECONDS = 6.0
"""An order without effect is given again after this time: unanswered ones may be carried out late."""
ORDERS_AT_ONCE = 8
SEND_MARGIN = 0.3
"""Seconds of the lease that must be left when an order goes out."""
REPORT_SECONDS = 0.5


class Given(msgspec.Struct, frozen=True):
    """An order that was given lately."""

    span: Span
    at: float


class Loader:
    """What one daemon knows of orders; times are monotonic seconds."""

    def __init__(
        self,
        fleet: Fleet,
        control: Control,
        lease: Lease,
        pipelines: Callable[[], dict[ServiceName, Pipeline]],
        metrics: Metrics,
        rng: random.Random,
        pairs: bool = True,
        first: Callable[[], bool] = lambda: True,
    ) -> None:
        self.fleet = fleet
        self.control = control
        self.lease = lease
        self.pipelines = pipelines
        self.metrics = metrics
        self.rng = rng
        self.pairs = pairs
        """Whether servers are paired where memory allows."""

        self.first = first
        """Tells whether this daemon is one of those that try for the lease at once."""

        self.daemons: Callable[[], int] = lambda: 1
        """Returns how many daemons look for what is missing."""

        self.given: dict[BackendId, Given] = {}
        fleet.on_restart.append(self._forget)
        self.missing_since: dict[str, float] = {}
        self.wanting_since: float | None = None
        """Since when there has been something to order."""

        self.whole_at: tuple[int, dict[ServiceName, Pipeline]] | None = None
        """State of the fleet, and the models, when nothing was missing or wanted."""

    def __repr__(self) -> str:
        return f"<Loader {self.lease!r} {len(self.given)} orders>"

    def _forget(self, backend: BackendId) -> None:
        self.given.pop(backend, None)

    def run(self) -> None:
        """Look for missing layers now and then, for ever."""
        pause = LOOK_SECONDS
        while True:
            eventlet.sleep(pause * self.rng.uniform(0.8, 1.2))
            pause = LOOK_SECONDS if self.first() else OTHERS_SECONDS
            try:
                if not self.step():
                    pause = OTHERS_SECONDS
            except PlatformUnavailable as error:
                event("INFO", "lease not kept", error=repr(error))

    def step(self) -> bool:
        """Order what is missing, if this daemon gets the lease.

        :return: false when something is missing and another daemon has the lease.
        :raises PlatformUnavailable: when the lease cannot be read or written.
        """
        pipelines = self.pipelines()
        state = (self.fleet.changed, pipelines)
        if state == self.whole_at:
            return True
        for service, pipeline in pipelines.items():
            wanted = self.wanted(service, pipeline)
            if not wanted:
                continue
            if not self._may_try() or not self.lease.keep():
                return False
            pool = eventlet.GreenPool(ORDERS_AT_ONCE)
            for backend, span in wanted.items():
                pool.spawn_n(self._order, backend, span)
            pool.waitall()
            return True
        self.wanting_since = None
        if not self.given:
            self.lease.release()
            if not self.missing_since and self._settled(now()):
                self.whole_at = state
        return True

    def _may_try(self) -> bool:
        """Tell whether to look at the lease: few daemons do so at once, each look is paid for."""
        at = now()
        if self.wanting_since is None:
            self.wanting_since = at
        if self.first() or self.lease.seconds_left() > 0:
            return True
        if at - self.wanting_since <= OTHERS_BEGIN_SECONDS:
            return False
        return self.rng.random() < OTHERS_AT_ONCE / max(1, self.daemons())

    def wanted(self, service: ServiceName, pipeline: Pipeline) -> Spans:
        """Work out the spans to be ordered now.

        :param service: a service whose servers hold a model.
        :param pipeline: facts of the model.
        :return: spans by server, without those under way.
        """
        at = now()
        servers = [s for s in self.fleet.of(service) if s.placed(at) and s.facts.last <= pipeline.layers]
        excluded = {s.facts.id for s in servers if s.excluded is not None}
        expected = [self._as_ordered(s.facts, at) for s in servers]
        wanted: Spans = {}
        for group in group_servers(expected, pipeline):
            wanted.update(self._wanted_of(group, pipeline, at))
        held = {facts.id: Span(facts.first, facts.last) for facts in expected}
        return {
            backend: span
            for backend, span in wanted.items()
            if held[backend] != span and backend not in excluded
        }

    def _wanted_of(self, group: list[ServerFacts], pipeline: Pipeline, at: float) -> Spans:
        empty = [facts for facts in group if not facts.held]
        holding = [facts for facts in group if facts.held]
        if not holding:
            return tile_group(group, pipeline, self.pairs) if self._settled(at) else {}
        spans = fill_empty(holding, empty, pipeline)
        filled = [
            msgspec.structs.replace(f, first=spans[f.id].first, last=spans[f.id].last)
            for f in empty
            if f.id in spans
        ]
        after = [*holding, *filled]
        name = min(facts.hall for facts in group)
        if not count_missing(after, pipeline.layers):
            self.missing_since.pop(name, None)
            return spans
        if name not in self.missing_since:
            self.missing_since[name] = at
            event("INFO", "layers missing", hall=name, count=count_missing(after, pipeline.layers))
        if at - self.missing_since[name] < MEND_SECONDS:
            return spans
        return spans | self._mended(group, after, pipeline)

    def _mended(self, group: list[ServerFacts], after: list[ServerFacts], pipeline: Pipeline) -> Spans:
        """Bring missing layers back with few changes, or lay the group out anew where that fails."""
        spans = repair(after, pipeline)
        changed = [
            msgspec.structs.replace(f, first=spans[f.id].first, last=spans[f.id].last)
            if f.id in spans
            else f
            for f in after
        ]
        if not count_missing(changed, pipeline.layers):
            return spans
        if any(facts.id in self.given for facts in group):
            # The layout would be reckoned from a state that is about to change.
            return {}
        return tile_group(group, pipeline, self.pairs)

    def _settled(self, at: float) -> bool:
        return at - self.fleet.grown_at > SETTLE_SECONDS

    def _as_ordered(self, facts: ServerFacts, at: float) -> ServerFacts:
        """Return what a server will hold once the order under way is done."""
        given = self.given.get(facts.id)
        if given is None:
            return facts
        if at - given.at > ORDER_SETTLE_SECONDS or (facts.first, facts.last) == (
            given.span.first,
            given.span.last,
        ):
            del self.given[facts.id]
            return facts
        return msgspec.structs.replace(facts, first=given.span.first, last=given.span.last)

    def _order(self, backend: BackendId, span: Span) -> None:
        server = self.fleet.servers.get(backend)
        if server is None:
            return
        address = server.facts.address
        report = self.control.report(backend, address, REPORT_SECONDS)
        if report is None:
            return
        if not self.fleet.reported(server, report.incarnation, report.first, report.last):
            event("INFO", "order withheld", peer=backend, start=report.incarnation)
            return
        if report.loading:
            return
        if (report.first, report.last) != (server.facts.first, server.facts.last):
            # Its row is late: what was wanted came from an old view.
            event("INFO", "order withheld", peer=backend, holds=[report.first, report.last])
            return
        # The last look before the send: a holder that was stopped must not act.
        if self.lease.seconds_left() < SEND_MARGIN:
            return
        outcome = self.control.place(backend, address, span.first, span.last, report.orders_taken)
        self.metrics.count(f"orders.{outcome.value}")
        event(
            "INFO",
            "order given",
            peer=backend,
            first=span.first,
            last=span.last,
            after=report.orders_taken,
            outcome=outcome.value,
        )
        if outcome is not OrderOutcome.REFUSED:
            self.given[backend] = Given(span, now())
