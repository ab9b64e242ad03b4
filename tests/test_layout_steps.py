"""Layout steps: repeated losses of servers never make an order give up a layer's last serving holder, and
the site gets back a holder of every layer soon after a loss."""

import random
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from bayglade import fleet as fleet_module
from bayglade import loading
from bayglade.control import OrderOutcome, StageReport
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, Incarnation
from bayglade.loading import Loader
from bayglade.metrics import create_metrics
from bayglade.servers import ServerFacts
from bayglade.tiling import Span, tile_fleet
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
        self, monkeypatch: pytest.MonkeyPatch, halls: dict[str, dict[str, int]], empty: bool
    ) -> None:
        self.at = 100.0
        for module in (loading, fleet_module):
            monkeypatch.setattr(module, "now", lambda: self.at)
        self.model = msgspec.structs.replace(pipeline(), loads_at_once=16)
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
        lease: Any = SimpleNamespace(
            acquire_or_renew=lambda: True, seconds_left=lambda: 9.0, release=lambda: None
        )
        control: Any = SimpleNamespace(report=self._report, place=self._place)
        self.metrics: Any = create_metrics(None, "d")  # type: ignore[arg-type]
        self.loader = Loader(
            self.fleet, control, lease, lambda: {SERVICE: self.model}, self.metrics, random.Random(1)
        )
        self.due: list[tuple[float, BackendId, str]] = []
        self.ticks = 0
        self.orders = 0
        self.uncovered: list[float] = []
        """The lengths of the periods in which some layer had no holder, in seconds."""

        self.lost_by_orders: list[set[int]] = []

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
            if self.ticks % CHECK_TICKS == 0:
                before = self._served()
                self.loader.step()
                if lost := before - self._served():
                    self.lost_by_orders.append(lost)
            if 0 not in self.holders():
                self.uncovered.append(0.0)
            elif self.uncovered:
                self.uncovered[-1] += TICK

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
            self.fleet.apply_changes([facts], [], outage=False)

    def _load(self) -> None:
        loads = [e for e in self.engines.values() if e.alive and e.target is not None]
        for engine in loads:
            engine.seconds_left -= TICK / max(1.0, len(loads) / self.model.loads_at_once)
            if engine.seconds_left <= 0 and engine.target is not None:
                facts = msgspec.structs.replace(
                    engine.facts, first=engine.target.first, last=engine.target.last
                )
                engine.facts, engine.target = facts, None
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
        engine.target = Span(first, last)
        engine.seconds_left = self.model.load_seconds * gained / self.model.layers
        self.orders += 1
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
    longest_load = site.model.load_seconds * 20 / site.model.layers
    assert max(site.uncovered) <= UNCOVERED_LIMIT + longest_load
    assert 0 not in site.holders()
