"""Layout steps: repeated losses of servers never make an order give up a layer's last serving holder, and
the site gets back a holder of every layer soon after a loss."""

import random
from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import fleet as fleet_module
from bayglade import loading
from bayglade.control import OrderOutcome, StageReport
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, HallName, Incarnation
from bayglade.layout_capacity import MAX_LOADS_FACTOR, MIN_CAPACITY_SECONDS
from bayglade.layout_steps import (
    GROUP_HOLD_SECONDS,
    LayoutState,
    PendingOrder,
    count_loads,
    gained_layers,
    next_steps,
    safe_steps,
    seconds_until_covered,
    serving_spans,
)
from bayglade.loading import Loader
from bayglade.metrics import create_metrics
from bayglade.pipelines import Accelerator, Pipeline
from bayglade.servers import ServerFacts
from bayglade.tiling import Span, Spans, tile_fleet
from tests.test_tiling import SERVICE, pipeline, servers

TICK = 0.1
CHECK_TICKS = 4
DETECTION_SECONDS = 0.3
"""Seconds from a crash until the daemon regards the server as suspect."""
RESTART_SECONDS = 3.0
UNCOVERED_LIMIT = 2.0
"""Longest time without a complete model, in seconds, apart from the time of loading the missing layers."""
SITE: dict[str, dict[str, int]] = {
    "a": {"big": 1, "middle": 4, "small": 4},
    "b": {"big": 1, "middle": 4, "small": 4},
    "c": {"big": 1, "middle": 4, "small": 3},
}
"""Kinds in the proportions of the herbaria deployment. A hall that loses four servers cannot hold the
model."""


class Engine:
    """A backend server that gives layers up at once and serves new ones when they are loaded."""

    def __init__(self, facts: ServerFacts) -> None:
        self.facts = facts
        self.alive = True
        self.orders = 0
        self.target: Span | None = None
        self.seconds_left = 0.0

    def serving(self) -> range:
        """Return the layers that it runs for new requests."""
        held = Span(self.facts.first, self.facts.last)
        kept = self.target or held
        return range(max(held.first, kept.first), min(held.last, kept.last)) if self.alive else range(0)


class Replay:
    """A site in memory whose loader always holds the lease; time advances in ticks."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        halls: dict[str, dict[str, int]],
        empty: bool,
        model: Pipeline | None = None,
        row_seconds: float = 0.0,
    ) -> None:
        self.at = 100.0
        for module in (loading, fleet_module):
            monkeypatch.setattr(module, "now", lambda: self.at)
        self.model = model or msgspec.structs.replace(pipeline(), loads_at_once=16)
        self.row_seconds = row_seconds
        """Seconds from a change of a server until its row shows it."""

        listed = [msgspec.structs.replace(f, incarnation=Incarnation(1)) for f in servers(**halls)]
        spans = {} if empty else tile_fleet(listed, self.model)
        listed = [
            msgspec.structs.replace(f, first=spans[f.id].first, last=spans[f.id].last)
            if f.id in spans
            else f
            for f in listed
        ]
        self.engines = {facts.id: Engine(facts) for facts in listed}
        self.fleet = Fleet()
        self.fleet.apply_changes(listed, [], outage=False)
        self.fleet.last_added_at = 0.0
        self.has_lease = True
        self.loader = self.new_loader()
        self.due: list[tuple[float, BackendId, str]] = []
        self.rows: list[tuple[float, ServerFacts]] = []
        self.ticks = 0
        self.orders: list[BackendId] = []
        self.ignored_orders = 0
        """How many orders get an answer but are not carried out."""

        self.longest_load = 0.0
        """Longest load of an order that brought a layer without a holder, in seconds."""

        self.steps_seen: Callable[[], None] = lambda: None
        self.uncovered: list[float] = []
        """The lengths of the periods in which some layer had no holder, in seconds."""

        self.lost_by_orders: list[set[int]] = []

    def new_loader(self) -> Loader:
        """Create the loader of a daemon that knows nothing of earlier orders."""
        lease: Any = SimpleNamespace(
            acquire_or_renew=lambda: self.has_lease,
            seconds_left=lambda: 9.0 if self.has_lease else 0.0,
            release=lambda: None,
        )
        control: Any = SimpleNamespace(report=self._report, place=self._place)
        metrics: Any = create_metrics(None, "d")  # type: ignore[arg-type]
        models = {SERVICE: self.model}
        return Loader(self.fleet, control, lease, lambda: models, metrics, random.Random(1))

    def holders(self) -> list[int]:
        """Count the servers that run each layer."""
        counts = [0] * self.model.layers
        for engine in self.engines.values():
            for layer in engine.serving():
                counts[layer] += 1
        return counts

    def crash(self, backends: Sequence[BackendId], back: bool) -> None:
        """Let servers crash; they come back empty after ``RESTART_SECONDS`` if ``back``."""
        for backend in backends:
            self.engines[backend].alive = False
            self.due.append((self.at + DETECTION_SECONDS, backend, "suspect"))
            if back:
                self.due.append((self.at + RESTART_SECONDS, backend, "restart"))

    def run(self, seconds: float) -> None:
        """Advance the time."""
        for _ in range(round(seconds / TICK)):
            self.at += TICK
            self.ticks += 1
            self._apply_due()
            self._load()
            self._apply_rows()
            if self.ticks % CHECK_TICKS == 0:
                before = self._served()
                self.loader.step()
                if lost := before - self._served():
                    self.lost_by_orders.append(lost)
                self.steps_seen()
            if self.covered():
                self.uncovered.append(0.0)
            elif self.uncovered:
                self.uncovered[-1] += TICK

    def covered(self) -> bool:
        """Tell whether every layer has a holder."""
        return 0 not in self.holders()

    def _served(self) -> set[int]:
        return {layer for layer, count in enumerate(self.holders()) if count}

    def _apply_due(self) -> None:
        due = [event for event in self.due if event[0] <= self.at + 1e-6]
        self.due = [event for event in self.due if event not in due]
        for _, backend, what in due:
            engine = self.engines[backend]
            if what == "suspect":
                self.fleet.mark_suspect(self.fleet.servers[backend], "crashed")
                continue
            again = Incarnation(engine.facts.incarnation + 1)
            facts = msgspec.structs.replace(engine.facts, first=0, last=0, incarnation=again)
            self.engines[backend] = Engine(facts)
            self.rows.append((self.at + self.row_seconds, facts))

    def _load(self) -> None:
        loads = [e for e in self.engines.values() if e.alive and e.target is not None]
        for engine in loads:
            engine.seconds_left -= TICK / max(1.0, len(loads) / self.model.loads_at_once)
            if engine.seconds_left <= 0 and engine.target is not None:
                facts = msgspec.structs.replace(
                    engine.facts, first=engine.target.first, last=engine.target.last
                )
                engine.facts, engine.target = facts, None
                self.rows.append((self.at + self.row_seconds, facts))

    def _apply_rows(self) -> None:
        shown = [facts for at, facts in self.rows if at <= self.at + 1e-6]
        self.rows = [row for row in self.rows if row[0] > self.at + 1e-6]
        for facts in shown:
            self.fleet.apply_changes([facts], [], outage=False)

    def _report(self, backend: BackendId, *_: object) -> StageReport | None:
        engine = self.engines[backend]
        if not engine.alive:
            return None
        return StageReport(
            orders_taken=engine.orders,
            loading=engine.target is not None,
            first=engine.facts.first,
            last=engine.facts.last,
            incarnation=engine.facts.incarnation,
        )

    def _place(self, backend: BackendId, address: str, first: int, last: int, after: int) -> OrderOutcome:
        engine = self.engines[backend]
        assert engine.alive and engine.target is None and after == engine.orders
        held = range(engine.facts.first, engine.facts.last)
        gained = sum(layer not in held for layer in range(first, last))
        engine.orders += 1
        if self.ignored_orders:
            self.ignored_orders -= 1
            return OrderOutcome.UNKNOWN
        engine.target = Span(first, last)
        engine.seconds_left = self.model.load_seconds * gained / self.model.layers
        if not self._served().issuperset(range(first, last)):
            self.longest_load = max(self.longest_load, engine.seconds_left)
        self.orders.append(backend)
        return OrderOutcome.TAKEN


def some_of(site: Replay, halls: Sequence[str], rng: random.Random) -> list[BackendId]:
    """Choose four running servers of some halls."""
    running = [i for i, engine in site.engines.items() if engine.alive and engine.facts.hall in halls]
    return rng.sample(running, 4)


@pytest.mark.parametrize("back", [True, False], ids=["restarting", "gone"])
@pytest.mark.parametrize("last_loss", [0.0, 1.2, 4.0])
@pytest.mark.parametrize("seed", range(8))
def test_repeated_losses_leave_the_model_complete_in_the_site(
    monkeypatch: pytest.MonkeyPatch, seed: int, last_loss: float, back: bool
) -> None:
    """A hall laid out anew at once gave up all its layers, and the next loss left the model incomplete
    everywhere for ten seconds."""
    rng = random.Random(seed)
    halls = rng.sample(sorted(SITE), 3)
    site = Replay(monkeypatch, SITE, empty=False)
    site.run(1.0)
    site.crash(some_of(site, halls[:1], rng), back)
    site.run(7.5)
    site.crash(some_of(site, halls[1:2], rng), back)
    site.run(last_loss)
    site.crash(some_of(site, halls, rng), back)
    site.run(25.0)
    assert site.lost_by_orders == []
    assert max(site.uncovered) <= UNCOVERED_LIMIT + site.longest_load
    assert site.covered()


@pytest.mark.parametrize("seed", range(8))
def test_a_new_lease_holder_takes_no_last_holder(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    """A daemon that takes the lease over does not know which servers load by orders of its predecessor."""
    rng = random.Random(seed)
    site = Replay(monkeypatch, SITE, empty=False)
    for hall in "abc":
        site.crash(some_of(site, hall, rng), back=True)
        for _ in range(5):
            site.run(1.2)
            site.loader = site.new_loader()
    site.run(20.0)
    assert site.lost_by_orders == []
    assert site.covered()


def test_no_layout_changes_where_nothing_is_missing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Orders in a complete site would interrupt streams for nothing."""
    site = Replay(monkeypatch, SITE, empty=False)
    site.run(30.0)
    assert site.orders == []


def test_an_empty_fleet_is_ordered_in_one_step(monkeypatch: pytest.MonkeyPatch) -> None:
    """The limit of loads at once would leave part of an empty fleet for a later layout of its own."""
    site = Replay(monkeypatch, SITE, empty=True)
    site.run(0.5)
    assert len(site.orders) == 26
    site.run(10.0)
    assert site.covered() and len(site.orders) == 26


def test_a_small_loss_is_repaired_by_few_orders(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new layout for one lost server would load most layers of its hall again."""
    site = Replay(monkeypatch, {"a": {"big": 3, "middle": 3, "small": 5}}, empty=False)
    site.crash([BackendId("a-middle-0")], back=False)
    site.run(10.0)
    assert site.covered() and 0 < len(site.orders) <= 3


def test_coverage_names_the_time_of_the_last_load(monkeypatch: pytest.MonkeyPatch) -> None:
    """Callers who are told a wrong time return before the model is complete, or too late."""
    site = Replay(monkeypatch, SITE, empty=False)
    told: list[tuple[float, float | None, bool]] = []
    site.steps_seen = lambda: told.append(
        (site.at, site.loader.coverage.get(SERVICE, -1.0), site.covered())
    )
    site.crash([i for i in site.engines if "big" in i or "middle-1" in i], back=True)
    site.run(12.0)
    covered_at = next(at for at, _, covered in told[1:] if covered and at > told[0][0] + 1.0)
    forecasts = [(at, moment) for at, moment, covered in told if not covered and moment and moment > 0]
    assert forecasts
    assert all(abs(moment - covered_at) < 0.8 for at, moment in forecasts if at > covered_at - 1.0)
    assert all(moment in (0.0, -1.0) for at, moment, covered in told if at > covered_at + 0.5)


def test_coverage_is_empty_without_the_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two daemons that report coverage would contradict each other."""
    site = Replay(monkeypatch, SITE, empty=True)
    site.run(0.5)
    assert site.loader.coverage
    site.has_lease = False
    site.run(0.5)
    assert site.loader.coverage == {}


def test_coverage_is_told_for_a_while_after_it_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    """Daemons that heard no end of the missing layers went on telling callers when to return."""
    site = Replay(monkeypatch, {"a": {"big": 6}}, empty=False)
    site.crash([BackendId("a-big-2")], back=True)
    site.run(RESTART_SECONDS + 1.0)
    released: list[float] = []
    site.loader.lease.release = lambda: released.append(site.at)  # type: ignore[method-assign]
    told: list[tuple[float, float | None, int]] = []
    site.steps_seen = lambda: told.append(
        (site.at, site.loader.coverage.get(SERVICE, -1.0), len(site.loader.pending_orders))
    )
    site.run(12.0)
    assert site.covered() and any(orders for _, _, orders in told)
    covered = [at for at, moment, orders in told if moment == 0.0 and not orders]
    assert covered[-1] - covered[0] > 1.0
    assert released and released[0] > covered[-1]
    assert site.loader.coverage == {}


def test_an_order_that_is_not_carried_out_is_given_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """An order whose answer was lost may never have arrived; its layers would stay missing."""
    site = Replay(monkeypatch, {"a": {"big": 6}}, empty=False)
    site.ignored_orders = 1
    site.crash([BackendId("a-big-2")], back=True)
    site.run(RESTART_SECONDS + 12.0)
    assert site.covered()


def test_a_server_that_dies_while_loading_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    """No request goes to a server that loads from empty, so only its silence shows that it crashed."""
    site = Replay(monkeypatch, {"a": {"big": 6}}, empty=False)
    site.crash([BackendId("a-big-2")], back=True)
    site.run(RESTART_SECONDS + 1.0)
    order = site.loader.pending_orders[BackendId("a-big-2")]
    site.engines[BackendId("a-big-2")].alive = False
    site.run(1.0)
    assert site.loader.pending_orders.get(BackendId("a-big-2")) is not order
    site.run(10.0)
    assert site.covered()


SPANS = st.builds(lambda first, length: Span(first, first + length), st.integers(0, 9), st.integers(0, 3))
SERVER = st.tuples(SPANS, SPANS, st.none() | SPANS)


@given(st.lists(SERVER, min_size=1, max_size=9), st.integers(1, 4))
def test_a_step_never_gives_up_a_last_serving_holder(
    spans: list[tuple[Span, Span, Span | None]], at_once: int
) -> None:
    """Two changes that are safe one by one can together give up the last two holders of a layer."""
    model = msgspec.structs.replace(pipeline(layers=12), loads_at_once=at_once)
    named = {BackendId(f"s{n}"): each for n, each in enumerate(spans)}
    held = {backend: each[0] for backend, each in named.items()}
    wanted = {backend: each[1] for backend, each in named.items()}
    pending = {b: PendingOrder(each[2], 0.0) for b, each in named.items() if each[2] is not None}
    steps = safe_steps(held, wanted, pending, model)
    assert not steps.keys() & pending.keys()
    ordered = pending | {backend: PendingOrder(span, 0.0) for backend, span in steps.items()}
    assert served_by(held, pending) == served_by(held, ordered)
    loads = [b for b, span in steps.items() if gained_layers(held[b], span)]
    assert not loads or count_loads(held, ordered) <= MAX_LOADS_FACTOR * at_once
    lacking = set(range(12)) - served_by(held, pending)
    urgent = [b for b, order in ordered.items() if lacking.intersection(layers_of(order.span))]
    assert not steps.keys() & set(urgent) or len(urgent) <= at_once
    assert not lacking or not set(loads) - set(urgent) or count_loads(held, ordered) <= at_once


def layers_of(span: Span) -> range:
    return range(span.first, span.last)


def served_by(held: Spans, pending: dict[BackendId, PendingOrder]) -> set[int]:
    return {n for span in serving_spans(held, pending).values() for n in layers_of(span)}


def test_loads_of_a_rebuild_start_together() -> None:
    """Three rounds of three loads each waited a second or more for the rows of the servers in between."""
    model = msgspec.structs.replace(pipeline(layers=12), loads_at_once=2)
    named = [BackendId(f"s{n}") for n in range(10)]
    held = {backend: Span(0, 0) for backend in named} | {BackendId("all"): Span(0, 12)}
    wanted = {backend: Span(0, 6) for backend in named}
    assert len(safe_steps(held, wanted, {}, model)) == MAX_LOADS_FACTOR * 2


def test_layers_that_the_site_lacks_are_loaded_alone() -> None:
    """Spare holders that load beside the missing layers delay the first path of the site."""
    model = msgspec.structs.replace(pipeline(layers=12), loads_at_once=2)
    spare, lacking = [BackendId(f"s{n}") for n in range(6)], BackendId("t")
    held = {backend: Span(0, 0) for backend in [*spare, lacking]} | {BackendId("some"): Span(0, 6)}
    wanted = {backend: Span(0, 6) for backend in spare} | {lacking: Span(6, 12)}
    steps = safe_steps(held, wanted, {}, model)
    assert lacking in steps and len(steps) == 2
    loading = {backend: PendingOrder(Span(0, 6), 0.0) for backend in spare}
    assert safe_steps(held, wanted, loading, model) == {lacking: Span(6, 12)}


def test_time_until_coverage_counts_the_slowest_missing_layer() -> None:
    """A time that ignores loads beside it, or a layer that nothing brings, would be too short."""
    model = msgspec.structs.replace(pipeline(layers=10), load_seconds=10.0, loads_at_once=1)
    one, other = BackendId("one"), BackendId("other")
    held = {one: Span(0, 4), other: Span(0, 0)}
    load = {other: PendingOrder(Span(4, 10), 100.0)}
    assert seconds_until_covered(held, {}, model, 100.0) is None
    assert seconds_until_covered(held, load, model, 101.0) == pytest.approx(5.0)
    both = load | {one: PendingOrder(Span(0, 5), 100.0)}
    assert seconds_until_covered(held, both, model, 100.0) == pytest.approx(12.0)
    assert seconds_until_covered({one: Span(0, 10)}, {}, model, 100.0) == 0.0


def test_a_hall_with_a_short_loss_remains_a_group_of_its_own() -> None:
    """Joining the rest of the site for seconds would change the layout of another hall as well."""
    model = pipeline()
    listed = servers(a={"big": 6}, b={"big": 4})
    state = LayoutState()
    next_steps(state, listed, {}, model, 100.0, settled=False)
    short = [facts for facts in listed if facts.id not in ("a-big-0", "a-big-1")]
    next_steps(state, short, {}, model, 101.0, settled=False)
    assert HallName("a") in state.able_halls
    next_steps(state, short, {}, model, 101.0 + GROUP_HOLD_SECONDS, settled=False)
    assert HallName("a") not in state.able_halls


def tight_site(*held: tuple[int, int, int]) -> tuple[list[ServerFacts], Pipeline]:
    """Return servers of one hall, each with its first layer, its last one and the most that it can hold."""
    kinds = {
        f"k{most}": Accelerator(memory_mb=1000.0 * most + 1.0, step_factor=1.0, read_factor=1.0)
        for _, _, most in held
    }
    model = msgspec.structs.replace(
        pipeline(layers=10, layer_mb=1000.0), token_mb=1e-6, accelerators=kinds, loads_at_once=9
    )
    listed = [
        msgspec.structs.replace(facts, accelerator=f"k{most}", first=first, last=last)
        for facts, (first, last, most) in zip(servers(a={"s": len(held)}), held, strict=True)
    ]
    return listed, model


def steps_after_delay(listed: list[ServerFacts], model: Pipeline, state: LayoutState) -> list[Span | None]:
    next_steps(state, listed, {}, model, 100.0, settled=True)
    steps = next_steps(state, listed, {}, model, 101.0, settled=True)
    return [steps.get(facts.id) for facts in listed]


def test_servers_of_an_incomplete_site_move_without_waiting() -> None:
    """Where no request can run, waiting for safe steps one after the other only delays the first path."""
    listed, model = tight_site((0, 5, 6), (5, 8, 4))
    state = LayoutState()
    assert steps_after_delay(listed, model, state) == [Span(0, 6), Span(6, 10)]
    assert state.forced == {listed[1].id}


def test_only_holders_keep_their_layers_if_the_new_ones_fit_as_well() -> None:
    """Where memory allows, a server in a cycle of only holders need not give up any layer."""
    listed, model = tight_site((0, 3, 5), (3, 6, 5), (6, 8, 3))
    state = LayoutState()
    assert steps_after_delay(listed, model, state) == [Span(0, 4), Span(3, 8), Span(8, 10)]
    assert state.forced == {listed[2].id}


def test_an_order_waits_until_another_holder_confirms(monkeypatch: pytest.MonkeyPatch) -> None:
    """By its row a server may hold layers that it has just been ordered to give up by another daemon."""
    site = Replay(monkeypatch, {"a": {"big": 12}}, empty=False)
    mover, *others = list(site.engines)
    span = Span(site.engines[mover].facts.first, site.engines[mover].facts.last)
    wanted = {mover: Span(0, 1) if span.first else Span(79, 80)}
    held = site.loader._held(SERVICE, site.model)
    assert site.loader._confirmed(held, wanted, site.model, set()) == wanted
    for backend in others:
        site.engines[backend].target = Span(0, 1)
    assert site.loader._confirmed(held, wanted, site.model, set()) == {}


def test_confirmation_keeps_the_bound_of_loads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Layers that nobody was asked about counted as lacking, and only ``loads_at_once`` loads of a rebuild
    were ordered together."""
    model = msgspec.structs.replace(pipeline(), loads_at_once=2)
    site = Replay(monkeypatch, {"a": {"big": 12}, "b": {"big": 12}}, empty=False, model=model)
    held = site.loader._held(SERVICE, model)
    wanted = {
        backend: Span(span.first - 1, span.last - 1) if span.first else Span(1, span.last + 1)
        for backend, span in held.items()
        if backend.startswith("a")
    }
    steps = safe_steps(held, wanted, {}, model)
    assert len(steps) == MAX_LOADS_FACTOR * 2
    assert site.loader._confirmed(held, steps, model, set()) == steps


def test_the_lease_is_kept_while_orders_are_under_way(monkeypatch: pytest.MonkeyPatch) -> None:
    """A load takes longer than the lease lasts; another daemon would order without knowing of it."""
    site = Replay(monkeypatch, SITE, empty=True)
    site.run(0.5)
    renewed: list[float] = []
    site.loader.lease.acquire_or_renew = lambda: bool(renewed.append(site.at)) or True  # type: ignore
    site.run(2.0)
    assert site.loader.pending_orders and len(renewed) >= 4


def test_a_hall_waits_for_servers_rather_than_get_a_tiny_layout() -> None:
    """A hall rebuilt onto the servers left by a crash had room for seven requests and refused others."""
    model = msgspec.structs.replace(pipeline(), token_mb=0.656, loads_at_once=3)
    listed = servers(a={"big": 1, "middle": 4, "small": 4}, b={"big": 1, "middle": 4, "small": 4})
    spans = tile_fleet(listed, model)
    listed = [msgspec.structs.replace(f, first=spans[f.id].first, last=spans[f.id].last) for f in listed]
    left = [f for f in listed if f.id not in ("a-middle-0", "a-small-0")]
    alone = [f for f in left if f.hall == "a"]

    def orders(shown: list[ServerFacts], state: LayoutState, at: float) -> Spans:
        return next_steps(state, shown, {}, model, at, settled=True)

    for shown, waits in ((left, True), (alone, False)):
        state = LayoutState()
        orders(listed, state, 99.0)
        orders(shown, state, 100.0)
        assert bool(orders(shown, state, 102.0)) is not waits
        assert orders(shown, state, 100.0 + MIN_CAPACITY_SECONDS)
