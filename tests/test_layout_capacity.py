"""Token capacity of the layouts of a site while servers crash and come back."""

import random
from statistics import mean

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade.layout_capacity import LOW_CAPACITY_SECONDS, LowCapacity, layout_capacity
from bayglade.layout_steps import LayoutState, next_steps
from bayglade.servers import ServerFacts
from bayglade.tiling import Span, Spans, tile_group
from tests.test_layout_steps import CHECK_TICKS, RESTART_SECONDS, SITE, TICK, Replay, some_of
from tests.test_tiling import pipeline, servers

ROW_SECONDS = 1.0
LAST_LOSSES = (0.0, 1.2, 4.0)
LOSS_INTERVAL = 7.5
SETTLE_SECONDS = 40.0
MODEL = msgspec.structs.replace(
    pipeline(), token_mb=0.656, loads_at_once=3, typical_prompt=700, typical_answer=150
)
VISIBLE_SECONDS = ROW_SECONDS + TICK * CHECK_TICKS
HALL_LOAD_SECONDS = MODEL.load_seconds / MODEL.loads_at_once + VISIBLE_SECONDS
"""Time until all layers of a hall are loaded on servers that load together, and their rows show it."""
RESTORED_WITHIN = (
    RESTART_SECONDS + VISIBLE_SECONDS + HALL_LOAD_SECONDS + 2 * (LOW_CAPACITY_SECONDS + HALL_LOAD_SECONDS)
)
"""Seconds after the last loss: servers return and are filled, then the halls of the last two losses are
rebuilt in turn."""
MEAN_CAPACITY_BEFORE = 0.595
"""Mean of the same replays at commit ca75f10, which rebuilt halls onto the servers left by a crash and kept
that layout."""


def capacities(site: Replay) -> dict[str, float]:
    """Return the tokens that each hall has room for; 0.0 if it does not serve every layer.

    A server that loads keeps room for the layers that it will hold.
    """
    rooms = {hall: [0.0] * site.model.layers for hall in SITE}
    for engine in site.engines.values():
        facts = engine.facts
        held = engine.target.length if engine.target is not None else facts.layer_count
        if not engine.serving():
            continue
        assert facts.accelerator is not None
        room = site.model.token_room(facts.accelerator, held, held)
        for layer in engine.serving():
            rooms[facts.hall][layer] += room
    return {hall: min(each) for hall, each in rooms.items()}


class CapacityReplay(Replay):
    """The replay of a site with few loads at once and late rows, which records the capacity over time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__(monkeypatch, SITE, empty=False, model=MODEL, row_seconds=ROW_SECONDS)
        self.initial = capacities(self)
        self.seen: list[dict[str, float]] = []

    def covered(self) -> bool:
        self.seen.append(capacities(self))
        return super().covered()

    def integral(self) -> float:
        """Return the mean capacity over the replay, as a fraction of the initial one."""
        return sum(sum(each.values()) for each in self.seen) / len(self.seen) / sum(self.initial.values())

    def seconds_until_restored(self) -> float:
        """Return the time after which every hall has had half of its initial capacity until the end."""
        short = [
            n
            for n, each in enumerate(self.seen)
            if any(each[hall] < 0.5 * self.initial[hall] for hall in SITE)
        ]
        return TICK * (short[-1] + 1) if short else 0.0


def replay(monkeypatch: pytest.MonkeyPatch, seed: int, last_loss: float) -> tuple[CapacityReplay, float]:
    """Replay three losses of four servers, which come back.

    :return: the site, and the time of the last loss.
    """
    rng = random.Random(seed)
    halls = rng.sample(sorted(SITE), 3)
    site = CapacityReplay(monkeypatch)
    site.run(1.0)
    site.crash(some_of(site, halls[:1], rng), back=True)
    site.run(LOSS_INTERVAL)
    site.crash(some_of(site, halls[1:2], rng), back=True)
    site.run(last_loss)
    site.crash(some_of(site, halls, rng), back=True)
    site.run(SETTLE_SECONDS)
    return site, 1.0 + LOSS_INTERVAL + last_loss


def test_capacity_returns_after_losses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Halls that were rebuilt onto the servers left by a crash kept that capacity for good, and served few
    requests while they waited for each other."""
    means = []
    for last_loss in LAST_LOSSES:
        for seed in range(8):
            site, lost_at = replay(monkeypatch, seed, last_loss)
            assert site.lost_by_orders == []
            assert site.seconds_until_restored() - lost_at <= RESTORED_WITHIN, (seed, last_loss)
            means.append(site.integral())
            orders = len(site.orders)
            site.run(30.0)
            assert len(site.orders) == orders, "a restored layout changes again"
    assert mean(means) > MEAN_CAPACITY_BEFORE


HALLS = st.fixed_dictionaries(
    {"big": st.integers(0, 5), "middle": st.integers(0, 8), "small": st.integers(0, 8)}
)


def with_spans(listed: list[ServerFacts], spans: Spans) -> list[ServerFacts]:
    none = Span(0, 0)
    return [
        msgspec.structs.replace(f, first=spans.get(f.id, none).first, last=spans.get(f.id, none).last)
        for f in listed
    ]


@given(HALLS, st.booleans(), st.sampled_from([20_000, 50_000, 90_000]))
def test_a_fresh_layout_does_not_count_as_low(hall: dict[str, int], pair: bool, tokens: int) -> None:
    """A layout whose own successor is far larger would be rebuilt again and again."""
    model = msgspec.structs.replace(MODEL, token_capacity=tokens)
    listed = servers(a=hall)
    spans = tile_group(listed, model, pair) if listed else {}
    if spans:
        held = with_spans(listed, spans)
        assert layout_capacity(held, model) > 0
        assert not LowCapacity().check("a", held, model, pair)


def tiny_hall() -> list[ServerFacts]:
    """Return a whole hall, and one whose returned servers are spare holders of a layout without them."""
    returned = ("a-middle-0", "a-small-0")
    listed = servers(a={"big": 1, "middle": 4, "small": 4}, b={"big": 1, "middle": 4, "small": 4})
    spans = tile_group([f for f in listed if f.hall == "a" and f.id not in returned], MODEL)
    spans |= {f.id: Span(0, 6) for f in listed if f.id in returned}
    return with_spans(listed, spans | tile_group([f for f in listed if f.hall == "b"], MODEL))


def test_a_tiny_layout_is_rebuilt_once_its_servers_are_back() -> None:
    """A hall with room for seven requests refused nearly all others after its servers had returned."""
    listed, state = tiny_hall(), LayoutState()
    assert not next_steps(state, listed, {}, MODEL, 100.0, settled=True)
    assert not next_steps(state, listed, {}, MODEL, 101.0, settled=True)
    steps = next_steps(state, listed, {}, MODEL, 100.0 + LOW_CAPACITY_SECONDS, settled=True)
    assert steps and all(backend.startswith("a-") for backend in steps)


def test_a_tiny_layout_is_kept_while_another_hall_does_not_serve() -> None:
    """Giving up its layers would leave requests without any hall that serves."""
    listed, state = [f for f in tiny_hall() if f.id != "b-big-0"], LayoutState()
    for tick in range(6):
        steps = next_steps(state, listed, {}, MODEL, 100.0 + tick, settled=True)
        assert not any(backend.startswith("a-") for backend in steps)
