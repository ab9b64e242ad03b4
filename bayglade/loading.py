"""Orders backend servers to load the layers that they should hold, from one daemon at a time.

Every daemon detects missing layers; the one that gets the lease sends the
orders, and releases the lease when nothing is missing. An order names the
number of orders that the server has accepted so far, so that the server can
refuse one that is based on outdated information. The desired layout is always
compared with what servers report, because an order without an answer may still
be carried out later. Which changes are ordered together is decided in
:mod:`bayglade.layout_steps`.
"""

import math
import random
from collections.abc import Callable

import eventlet
import msgspec

from bayglade.clock import now
from bayglade.control import Control, OrderOutcome
from bayglade.exceptions import PlatformUnavailable
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, HallName, ServiceName
from bayglade.layout_steps import (
    DEFAULT_LOAD_SECONDS,
    LayoutState,
    PendingOrder,
    count_loads,
    count_unserved,
    gained_layers,
    load_seconds,
    next_steps,
    relied_on,
    safe_steps,
    seconds_until_covered,
)
from bayglade.leases import Lease
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.pipelines import Pipeline
from bayglade.servers import Server, ServerFacts
from bayglade.tiling import Span, Spans

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
MAX_CONCURRENT_ORDERS = 8
SEND_MARGIN = 0.3
"""Seconds of the lease that must be left when an order is sent."""
REPORT_TIMEOUT = 0.5
SILENT_SECONDS = 3.0
"""For how long layouts do not count on a server that is empty or loading and did not answer. Few or no
requests go to it, so nothing else shows that it crashed; a crashed server is back after 3 s."""
COVERAGE_KEPT_SECONDS = 1.5
"""For how long coverage is told and the lease kept when nothing is left to order. Other daemons hear
of it by heartbeats up to 1 s apart, and would otherwise never hear that it returned. The lease lasts longer
without being renewed."""
LOADING_CHECK_AFTER = 0.3
"""Seconds after an order from which its server is asked whether it still runs."""


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

        self.is_isolated: Callable[[], bool] = lambda: False
        """Returns whether this daemon cannot reach the servers, so that another one has to give the
        orders."""

        self.pending_orders: dict[BackendId, PendingOrder] = {}
        fleet.on_restart.append(self._forget_order)
        self.layouts: dict[ServiceName, LayoutState] = {}
        self.coverage: dict[ServiceName, float | None] = {}
        """When every layer of a service's model is expected to have a holder: 0.0 while each has one,
        ``None`` if no order under way brings some layer. Empty while this daemon does not hold the
        lease."""

        self.silent_until: dict[BackendId, float] = {}
        """Until when servers that are empty or loading and did not answer are left out of layouts."""

        self.uncovered_since: dict[ServiceName, float] = {}
        self.work_since: float | None = None
        """When the current work was first seen; ``None`` while there is nothing to order."""

        self.idle_since: float | None = None
        """Since when nothing has been left to order while coverage is still told."""

        self.complete_state: tuple[int, dict[ServiceName, Pipeline]] | None = None
        """The fleet's change counter and the models when nothing was left to order. While they are
        unchanged, there is nothing to check before ``recheck_at``."""

        self.recheck_at = math.inf
        """When layouts next begin or cease to count on a server by themselves, as of that time."""

    def __repr__(self) -> str:
        return f"<Loader {self.lease!r} {len(self.pending_orders)} orders>"

    def _forget_order(self, backend: BackendId) -> None:
        self.pending_orders.pop(backend, None)
        self.silent_until.pop(backend, None)

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
        if self.is_isolated():
            self._leave_to_others()
            return False
        at = now()
        self._forget_failed_orders(at)
        self._check_loading(at)
        if self.lease.seconds_left() <= 0:
            self._forget_coverage()
        pipelines = self.pipelines()
        state = (self.fleet.change_count, pipelines)
        if state == self.complete_state and at < self.recheck_at:
            return True
        wanted = {service: self.wanted_spans(service, model) for service, model in pipelines.items()}
        wanted = {service: spans for service, spans in wanted.items() if spans}
        # The lease is kept while orders are under way: a daemon that took it over would not know them.
        if wanted or (self.pending_orders and self.lease.seconds_left() > 0):
            self.idle_since = None
            if not self._may_try_lease() or not self.lease.acquire_or_renew():
                self._forget_plans()
                return False
            self._log_plans()
            for service, spans in wanted.items():
                self._order(service, pipelines[service], spans)
            for service, pipeline in pipelines.items():
                self._update_coverage(service, pipeline)
            return True
        self.work_since = None
        if not self.pending_orders and not self._tells_coverage(pipelines, at):
            self._forget_coverage()
            self.lease.release()
            if not any(layout.unfinished() for layout in self.layouts.values()) and self._settled(at):
                self.complete_state, self.recheck_at = state, self._next_change_at(at)
        return True

    def _leave_to_others(self) -> None:
        """Give up the lease and all plans, because no order would arrive."""
        self.pending_orders.clear()
        self.silent_until.clear()
        self._forget_plans()
        self.work_since = None
        self.lease.release()

    def _tells_coverage(self, pipelines: dict[ServiceName, Pipeline], at: float) -> bool:
        """Update the coverage after the last work; return whether it is to be told for longer."""
        if not self.coverage or self.lease.seconds_left() <= 0:
            return False
        for service, pipeline in pipelines.items():
            self._update_coverage(service, pipeline)
        if self.idle_since is None:
            self.idle_since = at
        return at - self.idle_since < COVERAGE_KEPT_SECONDS

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
        listed, excluded = self._counted(service, pipeline, at)
        for facts in listed:
            self._with_pending_order(facts, at)
        return next_steps(
            self.layouts.setdefault(service, LayoutState()),
            listed,
            self.pending_orders,
            pipeline,
            at,
            self._settled(at),
            excluded,
            self.pair_servers,
        )

    def _counted(
        self, service: ServiceName, pipeline: Pipeline, at: float
    ) -> tuple[list[ServerFacts], set[BackendId]]:
        """List the servers that layouts count on, and those of them whose entries are invalid now."""
        servers = [
            s
            for s in self.fleet.of_service(service)
            if s.counts_for_layout(at)
            and s.facts.last <= pipeline.layers
            and self.silent_until.get(s.facts.id, 0.0) <= at
        ]
        return [s.facts for s in servers], {s.facts.id for s in servers if s.excluded is not None}

    def _next_change_at(self, at: float) -> float:
        """Return when layouts next begin or cease to count on a server by themselves."""
        times = [until for until in self.silent_until.values() if until > at]
        times += [server.layout_change_at(at) for server in self.fleet.servers.values()]
        return min(times, default=math.inf)

    def _held(self, service: ServiceName, pipeline: Pipeline) -> Spans:
        """Return the spans that the usable servers report."""
        listed, excluded = self._counted(service, pipeline, now())
        return {f.id: Span(f.first, f.last) for f in listed if f.id not in excluded}

    def _order(self, service: ServiceName, pipeline: Pipeline, wanted: Spans) -> None:
        """Send the orders of one step, after confirming the holders on which it relies."""
        layout = self.layouts[service]
        held = self._held(service, pipeline)
        steps = self._confirmed(held, wanted, pipeline, layout.forced)
        # Servers may have left the list while others were asked.
        steps = {backend: span for backend, span in steps.items() if backend in self.fleet.servers}
        if not steps:
            return
        halls: dict[HallName, int] = {}
        for backend in steps:
            hall = self.fleet.servers[backend].facts.hall
            halls[hall] = halls.get(hall, 0) + 1
        missing = count_unserved(held, self.pending_orders, pipeline)
        for hall, orders in halls.items():
            event("INFO", "layout step", service=service, hall=hall, orders=orders, missing=missing)
        self.metrics.count("layout.steps")
        gained = {backend: gained_layers(held[backend], span) for backend, span in steps.items()}
        loads = count_loads(held, self.pending_orders) + sum(layers > 0 for layers in gained.values())
        self._expect_slower_loads(held, loads, pipeline)
        pool = eventlet.GreenPool(MAX_CONCURRENT_ORDERS)
        for backend, span in steps.items():
            seconds = load_seconds(gained[backend], loads, pipeline)
            pool.spawn_n(self._send_order, backend, span, seconds)
        pool.waitall()

    def _expect_slower_loads(self, held: Spans, loads: int, pipeline: Pipeline) -> None:
        """Extend the expected times of loads under way, which share their rate with those that start now.

        Otherwise their orders would count as failed before the loads end.
        """
        for backend, order in list(self.pending_orders.items()):
            if backend in held:
                seconds = load_seconds(gained_layers(held[backend], order.span), loads, pipeline)
                if seconds > order.load_seconds:
                    self.pending_orders[backend] = msgspec.structs.replace(order, load_seconds=seconds)

    def _confirmed(self, held: Spans, wanted: Spans, pipeline: Pipeline, forced: set[BackendId]) -> Spans:
        """Return the steps that are still safe after asking other holders for their reports.

        Rows may be a second old, and a server that has just crashed is still listed.
        """
        steps = {b: span for b, span in wanted.items() if b in held}
        checked = {b: span for b, span in steps.items() if b not in forced and held[b].length}
        asked = relied_on(held, checked, self.pending_orders, pipeline)
        if not asked:
            return steps
        pool = eventlet.GreenPool(MAX_CONCURRENT_ORDERS)
        confirmed = set(pool.imap(self._confirmed_holder, sorted(asked)))
        safe = safe_steps(held, checked, self.pending_orders, pipeline, confirmed | checked.keys())
        withheld = checked.keys() - safe.keys()
        if withheld:
            event(
                "INFO",
                "layout step withheld",
                peers=sorted(withheld),
                unconfirmed=sorted(asked - confirmed),
            )
        return {b: span for b, span in steps.items() if b not in withheld}

    def _confirmed_holder(self, backend: BackendId) -> BackendId | None:
        """Ask a server for its report; return its id if it holds what its row names."""
        server = self.fleet.servers.get(backend)
        if server is None:
            return None
        facts = server.facts
        report = self.control.report(backend, facts.address, REPORT_TIMEOUT)
        if report is None or not self.fleet.accept_report(
            server, report.incarnation, report.first, report.last
        ):
            return None
        if report.leaving or (report.loading and backend not in self.pending_orders):
            return None
        return backend if (report.first, report.last) == (facts.first, facts.last) else None

    def _update_coverage(self, service: ServiceName, pipeline: Pipeline) -> None:
        """Compute when every layer has a holder again."""
        at = now()
        held = self._held(service, pipeline)
        seconds = seconds_until_covered(held, self.pending_orders, pipeline, at)
        self.coverage[service] = at + seconds if seconds else seconds
        missing = count_unserved(held, self.pending_orders, pipeline)
        self.metrics.gauge("layout.missing_layers", missing)
        self.metrics.gauge("layout.seconds_until_covered", -1.0 if seconds is None else seconds)
        if missing:
            self.uncovered_since.setdefault(service, at)
        elif service in self.uncovered_since:
            since = self.uncovered_since.pop(service)
            event("INFO", "site covered", service=service, after=round(at - since, 2))

    def _forget_coverage(self) -> None:
        if self.coverage:
            self.metrics.gauge("layout.missing_layers", 0)
            self.metrics.gauge("layout.seconds_until_covered", 0.0)
        self.coverage.clear()
        self.idle_since = None
        self.uncovered_since.clear()

    def _forget_plans(self) -> None:
        """Drop the plans of a daemon that does not give the orders; they would be outdated later."""
        self._forget_coverage()
        for layout in self.layouts.values():
            layout.plan = None

    def _check_loading(self, at: float) -> None:
        """Ask the servers that load whether they still run, and forget the orders of those that do not."""
        loading = [b for b, o in self.pending_orders.items() if at - o.sent_at >= LOADING_CHECK_AFTER]
        if not loading or self.lease.seconds_left() <= 0:
            return
        pool = eventlet.GreenPool(MAX_CONCURRENT_ORDERS)
        for backend in loading:
            pool.spawn_n(self._check_one_loading, backend)
        pool.waitall()

    def _check_one_loading(self, backend: BackendId) -> None:
        server = self.fleet.servers.get(backend)
        if server is None:
            return
        report = self.control.report(backend, server.facts.address, REPORT_TIMEOUT)
        if report is None:
            self._note_silent(server)
        else:
            # A report of a later incarnation replaces the server, which also forgets its order.
            self.fleet.accept_report(server, report.incarnation, report.first, report.last)

    def _note_silent(self, server: Server) -> None:
        backend = server.facts.id
        if server.facts.layer_count and backend not in self.pending_orders:
            # Requests go to it, so it becomes suspect by itself if it has crashed.
            return
        self._forget_order(backend)
        self.silent_until[backend] = now() + SILENT_SECONDS
        event("INFO", "server silent", peer=backend)

    def _log_plans(self) -> None:
        for service, layout in self.layouts.items():
            if layout.plan_change is not None:
                hall, reason = layout.plan_change
                event("INFO", "layout plan changed", service=service, reason=reason, hall=hall)

    def _forget_failed_orders(self, at: float) -> None:
        """Drop orders that had no effect in time, or whose servers are gone."""
        for backend, order in list(self.pending_orders.items()):
            if order.overdue(at) or backend not in self.fleet.servers:
                del self.pending_orders[backend]
                self.silent_until.pop(backend, None)
                event("INFO", "order failed", peer=backend, first=order.span.first, last=order.span.last)

    def _settled(self, at: float) -> bool:
        return at - self.fleet.last_added_at > LAYOUT_DELAY

    def _with_pending_order(self, facts: ServerFacts, at: float) -> ServerFacts:
        """Return the facts of a server as they will be once its pending order is carried out."""
        pending = self.pending_orders.get(facts.id)
        if pending is None:
            return facts
        if pending.overdue(at) or (facts.first, facts.last) == (
            pending.span.first,
            pending.span.last,
        ):
            del self.pending_orders[facts.id]
            return facts
        return msgspec.structs.replace(facts, first=pending.span.first, last=pending.span.last)

    def _send_order(self, backend: BackendId, span: Span, seconds: float = DEFAULT_LOAD_SECONDS) -> None:
        server = self.fleet.servers.get(backend)
        if server is None:
            return
        address = server.facts.address
        report = self.control.report(backend, address, REPORT_TIMEOUT)
        if report is None:
            self._note_silent(server)
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
            self.pending_orders[backend] = PendingOrder(span, now(), seconds)
