"""Orders backend servers to load the layers that they should hold, from one daemon at a time.

Every daemon detects missing layers; the one that gets the lease sends the
orders, and releases the lease when nothing is missing. An order names the
number of orders that the server has accepted so far, so that the server can
refuse one that is based on outdated information. The desired layout is always
compared with what servers report, because an order without an answer may still
be carried out later.
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
"""Duration of the lease and the margin for taking it over. Both are short, because the lease is held only
while there is something to order."""
CHECK_INTERVAL = 0.4
SLOW_CHECK_INTERVAL = 1.0
"""Seconds between checks of a lease that another daemon holds. Each check is a store call, which is
charged for."""
FALLBACK_DELAY = 6.0
"""When something has been missing for this long, the daemons that try for the lease first may be unable to
order it, and other daemons try as well."""
FALLBACK_DAEMONS_PER_CHECK = 2
"""How many of the other daemons check the lease in each interval, on average. If all of them did, their
checks would be a large part of all store calls."""
LAYOUT_DELAY = 1.5
"""Seconds without a new server after which an empty fleet gets its layout. After a start, servers are
listed one by one."""
REPAIR_DELAY = 0.8
"""Seconds after which missing layers are loaded on other servers. A server that did not answer may be back
sooner; one that crashed takes seconds to restart and is then empty."""
ORDER_RETRY_SECONDS = 6.0
"""Seconds after which an order without visible effect is sent again. An order that got no answer may be
carried out late."""
MAX_CONCURRENT_ORDERS = 8
SEND_MARGIN = 0.3
"""Seconds of the lease that must be left when an order is sent."""
REPORT_TIMEOUT = 0.5


class PendingOrder(msgspec.Struct, frozen=True):
    """An order that was sent recently and whose effect is not visible yet."""

    span: Span
    sent_at: float


class Loader:
    """Detects missing layers and orders them while this daemon holds the lease.

    Times are monotonic seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        control: Control,
        lease: Lease,
        pipelines: Callable[[], dict[ServiceName, Pipeline]],
        metrics: Metrics,
        rng: random.Random,
        pair_servers: bool = True,
        tries_first: Callable[[], bool] = lambda: True,
    ) -> None:
        self.fleet = fleet
        self.control = control
        self.lease = lease
        self.pipelines = pipelines
        self.metrics = metrics
        self.rng = rng
        self.pair_servers = pair_servers
        """Whether to pair servers where memory allows."""

        self.tries_first = tries_first
        """Tells whether this daemon is one of those that try for the lease without a delay."""

        self.daemons: Callable[[], int] = lambda: 1
        """Returns how many daemons check for missing layers."""

        self.pending_orders: dict[BackendId, PendingOrder] = {}
        fleet.on_restart.append(self._forget_order)
        self.missing_since: dict[str, float] = {}
        self.work_since: float | None = None
        """When the current work was first seen; ``None`` while there is nothing to order."""

        self.complete_state: tuple[int, dict[ServiceName, Pipeline]] | None = None
        """The fleet's change counter and the models when nothing was left to order. While they are
        unchanged, there is nothing to check."""

    def __repr__(self) -> str:
        return f"<Loader {self.lease!r} {len(self.pending_orders)} orders>"

    def _forget_order(self, backend: BackendId) -> None:
        self.pending_orders.pop(backend, None)

    def run(self) -> None:
        """Check for missing layers periodically; never returns."""
        pause = CHECK_INTERVAL
        while True:
            eventlet.sleep(pause * self.rng.uniform(0.8, 1.2))
            pause = CHECK_INTERVAL if self.tries_first() else SLOW_CHECK_INTERVAL
            try:
                if not self.step():
                    pause = SLOW_CHECK_INTERVAL
            except PlatformUnavailable as error:
                event("INFO", "lease not kept", error=repr(error))

    def step(self) -> bool:
        """Order what is missing, if this daemon gets the lease.

        :return: false if something is missing and this daemon does not hold the lease.
        :raises PlatformUnavailable: when the lease cannot be read or written.
        """
        pipelines = self.pipelines()
        state = (self.fleet.change_count, pipelines)
        if state == self.complete_state:
            return True
        for service, pipeline in pipelines.items():
            wanted = self.wanted_spans(service, pipeline)
            if not wanted:
                continue
            if not self._may_try_lease() or not self.lease.acquire_or_renew():
                return False
            pool = eventlet.GreenPool(MAX_CONCURRENT_ORDERS)
            for backend, span in wanted.items():
                pool.spawn_n(self._send_order, backend, span)
            pool.waitall()
            return True
        self.work_since = None
        if not self.pending_orders:
            self.lease.release()
            if not self.missing_since and self._settled(now()):
                self.complete_state = state
        return True

    def _may_try_lease(self) -> bool:
        """Tell whether this daemon should check the lease now.

        Only a few daemons do so at a time, because each check is a store call, which is charged for.
        """
        at = now()
        if self.work_since is None:
            self.work_since = at
        if self.tries_first() or self.lease.seconds_left() > 0:
            return True
        if at - self.work_since <= FALLBACK_DELAY:
            return False
        return self.rng.random() < FALLBACK_DAEMONS_PER_CHECK / max(1, self.daemons())

    def wanted_spans(self, service: ServiceName, pipeline: Pipeline) -> Spans:
        """Compute the spans to order now.

        :param service: a service whose servers hold a model.
        :param pipeline: properties of the model.
        :return: spans by server, without those that are already ordered.
        """
        at = now()
        servers = [
            s
            for s in self.fleet.of_service(service)
            if s.counts_for_layout(at) and s.facts.last <= pipeline.layers
        ]
        excluded = {s.facts.id for s in servers if s.excluded is not None}
        expected = [self._with_pending_order(s.facts, at) for s in servers]
        wanted: Spans = {}
        for group in group_servers(expected, pipeline):
            wanted.update(self._wanted_in_group(group, pipeline, at))
        held = {facts.id: Span(facts.first, facts.last) for facts in expected}
        return {
            backend: span
            for backend, span in wanted.items()
            if held[backend] != span and backend not in excluded
        }

    def _wanted_in_group(self, group: list[ServerFacts], pipeline: Pipeline, at: float) -> Spans:
        empty = [facts for facts in group if not facts.layer_count]
        holding = [facts for facts in group if facts.layer_count]
        if not holding:
            return tile_group(group, pipeline, self.pair_servers) if self._settled(at) else {}
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
        if at - self.missing_since[name] < REPAIR_DELAY:
            return spans
        return spans | self._repaired(group, after, pipeline)

    def _repaired(self, group: list[ServerFacts], after: list[ServerFacts], pipeline: Pipeline) -> Spans:
        """Restore missing layers with few changes or, if that is not possible, with a new layout."""
        spans = repair(after, pipeline)
        changed = [
            msgspec.structs.replace(f, first=spans[f.id].first, last=spans[f.id].last)
            if f.id in spans
            else f
            for f in after
        ]
        if not count_missing(changed, pipeline.layers):
            return spans
        if any(facts.id in self.pending_orders for facts in group):
            # A new layout would be based on a state that is about to change.
            return {}
        return tile_group(group, pipeline, self.pair_servers)

    def _settled(self, at: float) -> bool:
        return at - self.fleet.last_added_at > LAYOUT_DELAY

    def _with_pending_order(self, facts: ServerFacts, at: float) -> ServerFacts:
        """Return the facts of a server as they will be once its pending order is carried out."""
        pending = self.pending_orders.get(facts.id)
        if pending is None:
            return facts
        if at - pending.sent_at > ORDER_RETRY_SECONDS or (facts.first, facts.last) == (
            pending.span.first,
            pending.span.last,
        ):
            del self.pending_orders[facts.id]
            return facts
        return msgspec.structs.replace(facts, first=pending.span.first, last=pending.span.last)

    def _send_order(self, backend: BackendId, span: Span) -> None:
        server = self.fleet.servers.get(backend)
        if server is None:
            return
        address = server.facts.address
        report = self.control.report(backend, address, REPORT_TIMEOUT)
        if report is None:
            return
        if not self.fleet.accept_report(server, report.incarnation, report.first, report.last):
            event("INFO", "order withheld", peer=backend, start=report.incarnation)
            return
        if report.loading:
            return
        if (report.first, report.last) != (server.facts.first, server.facts.last):
            # Its row in the store is outdated, and so is the span computed from it.
            event("INFO", "order withheld", peer=backend, holds=[report.first, report.last])
            return
        # Checked right before sending: a process that was suspended may have lost the lease meanwhile.
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
            self.pending_orders[backend] = PendingOrder(span, now())
