"""Layouts, repair and paths: paths cover all layers once and in order, servers stay within their memory,
and the loss of servers is tolerated."""

import time
from collections.abc import Sequence

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade.ids import BackendId, HallName, ModelName, ServiceName
from bayglade.pathfinding import Path, Search, find_path, group_by_hall
from bayglade.pipelines import Accelerator, Pipeline
from bayglade.repair import count_missing, fill_empty, repair
from bayglade.servers import Server, ServerFacts
from bayglade.tiling import Span, group_servers, tile_fleet

SERVICE = ServiceName("s")
KINDS = {"big": (36000.0, 3.0), "middle": (21600.0, 16.0), "small": (14400.0, 15.0)}


def pipeline(layers: int = 80, layer_mb: float = 1750.0) -> Pipeline:
    accelerators = {
        name: Accelerator(memory_mb=memory, step_factor=factor, read_factor=factor)
        for name, (memory, factor) in KINDS.items()
    }
    return Pipeline(
        model=ModelName("m"),
        layers=layers,
        layer_mb=layer_mb,
        token_mb=0.9,
        token_capacity=50_000,
        step_ms=0.85,
        read_ms=0.004,
        load_seconds=14.0,
        loads_at_once=6,
        accelerators=accelerators,
    )


def servers(**halls: dict[str, int]) -> list[ServerFacts]:
    return [
        ServerFacts(
            id=BackendId(f"{hall}-{kind}-{number}"),
            service=SERVICE,
            address=f"{hall}-{kind}-{number}:1",
            hall=HallName(hall),
            slots=96,
            accelerator=kind,
        )
        for hall, kinds in halls.items()
        for kind, count in kinds.items()
        for number in range(count)
    ]


def search(model: Pipeline) -> Search:
    """Return a search for a request of typical size that counts only what the servers' caches hold."""
    return Search(model, model.typical_request(), lambda server: server.cached)


def paths_of(held: Sequence[Server], model: Pipeline) -> list[Path]:
    """Return the path of each hall, and one across the halls that have no path of their own."""
    halls = group_by_hall(held)
    found = {hall: find_path(each, search(model)) for hall, each in halls.items()}
    others = [server for hall, each in halls.items() if found[hall] is None for server in each]
    over = Search(model, model.typical_request(), lambda server: server.cached, lambda one, other: 1.0)
    paths = [path for path in found.values() if path is not None]
    mixed = find_path(others, over)
    return [*paths, mixed] if mixed is not None else paths


def servers_holding(spans: Sequence[tuple[int, int]], kind: str = "big") -> list[Server]:
    """Return servers of one hall that hold these layers."""
    listed = servers(a={kind: len(spans)})
    return [
        Server(msgspec.structs.replace(facts, first=first, last=last))
        for facts, (first, last) in zip(listed, spans, strict=True)
    ]


def place_servers(listed: list[ServerFacts], model: Pipeline) -> list[Server]:
    spans = tile_fleet(listed, model)
    return [
        Server(msgspec.structs.replace(f, first=spans[f.id].first, last=spans[f.id].last))
        for f in listed
        if f.id in spans
    ]


HALLS = {
    "one fast hall": {"a": {"big": 3, "middle": 3, "small": 5}},
    "slow hall": {"a": {"big": 1, "middle": 5, "small": 8}},
    "three halls": {
        "a": {"big": 3, "middle": 3, "small": 5},
        "b": {"big": 1, "middle": 5, "small": 8},
        "c": {"big": 1, "middle": 7, "small": 5},
    },
    "several chains": {"a": {"big": 4, "middle": 22, "small": 14}},
    "too small halls": {"a": {"middle": 5}, "b": {"middle": 5}, "c": {"big": 6}},
    "just enough": {"a": {"small": 12}},
}


@pytest.mark.parametrize("name", HALLS)
def test_every_hall_with_enough_memory_holds_the_model(name: str) -> None:
    model = pipeline()
    listed = servers(**HALLS[name])
    held = place_servers(listed, model)
    paths = paths_of(held, model)
    assert paths
    for path in paths:
        stages = path.route.stages
        assert [s.first for s in stages] == [0, *(s.last for s in stages[:-1])]
        assert stages[-1].last == model.layers
        assert len({s.backend for s in stages}) == len(stages)
    able = [g for g in group_servers(listed, model) if len({f.hall for f in g}) == 1]
    assert len({p.hall for p in paths if len({s.facts.hall for s in p.servers}) == 1}) >= len(able)


@given(
    st.dictionaries(
        st.sampled_from("abc"),
        st.dictionaries(st.sampled_from(sorted(KINDS)), st.integers(0, 9), min_size=1),
        min_size=1,
    ),
    st.sampled_from([12, 40, 80]),
)
def test_no_server_holds_more_than_its_memory(halls: dict[str, dict[str, int]], layers: int) -> None:
    model = pipeline(layers)
    listed = servers(**halls)
    spans = tile_fleet(listed, model)
    for facts in listed:
        span = spans.get(facts.id, Span(0, 0))
        assert 0 <= span.first <= span.last <= layers
        assert facts.accelerator is not None
        assert model.free_mb(facts.accelerator, span.length) > 0 or span.length == 0


def test_an_accelerator_too_small_for_a_layer_is_left_out() -> None:
    model = pipeline(8, 15_000.0)
    listed = servers(a={"big": 4, "middle": 2, "small": 3})
    spans = tile_fleet(listed, model)
    assert not any("small" in backend for backend in spans)


def test_most_servers_can_be_lost_without_losing_a_layer() -> None:
    model = pipeline()
    for kinds in ({"big": 3, "middle": 3, "small": 5}, {"big": 1, "middle": 5, "small": 8}):
        held = place_servers(servers(a=kinds), model)
        spared = [s for s in held if find_path([o for o in held if o is not s], search(model))]
        assert len(spared) >= len(held) / 2


def test_an_empty_server_goes_where_layers_are_missing() -> None:
    model = pipeline()
    held = [s.facts for s in place_servers(servers(a={"big": 3, "middle": 3, "small": 5}), model)]
    lost = next(f for f in held if f.id == "a-middle-0")
    rest = [f for f in held if f is not lost]
    empty = msgspec.structs.replace(lost, id=BackendId("a-middle-new"), first=0, last=0)
    spans = fill_empty(rest, [empty], model)
    filled = msgspec.structs.replace(empty, first=spans[empty.id].first, last=spans[empty.id].last)
    assert count_missing([*rest, filled], model.layers) == 0


@pytest.mark.parametrize(("count", "limit"), [(200, 0.3), (1000, 2.0)])
def test_large_fleets_are_laid_out_in_bounded_time(count: int, limit: float) -> None:
    model = pipeline()
    each = count // 50
    halls = {f"h{n}": {"big": each, "middle": 2 * each, "small": 2 * each} for n in range(10)}
    began = time.process_time()
    held = place_servers(servers(**halls), model)
    paths = paths_of(held, model)
    assert time.process_time() - began < limit
    assert len({path.hall for path in paths}) == 10


@pytest.mark.parametrize(
    "kinds", [{"big": 3, "middle": 3, "small": 5}, {"big": 1, "middle": 5, "small": 8}]
)
def test_any_single_loss_is_repaired_by_moving_few_servers(kinds: dict[str, int]) -> None:
    model = pipeline()
    held = [s.facts for s in place_servers(servers(a=kinds), model)]
    for lost in held:
        rest = [f for f in held if f is not lost]
        spans = repair(rest, model)
        after = [
            msgspec.structs.replace(f, first=spans[f.id].first, last=spans[f.id].last)
            if f.id in spans
            else f
            for f in rest
        ]
        assert count_missing(after, model.layers) == 0
        assert len(spans) <= 3


def test_repair_does_not_move_the_only_holders_of_a_layer() -> None:
    model = pipeline()
    held = [s.facts for s in place_servers(servers(a={"big": 1, "middle": 5, "small": 8}), model)]
    rest = [f for f in held if f.id != "a-big-0"]
    spans = repair(rest, model)
    for facts in rest:
        others = [f for f in rest if f is not facts]
        if count_missing(others, model.layers) > count_missing(rest, model.layers) and facts.id in spans:
            assert spans[facts.id].first <= facts.first
            assert spans[facts.id].last >= facts.last


def test_nothing_is_repaired_where_no_layer_is_missing() -> None:
    model = pipeline()
    held = [s.facts for s in place_servers(servers(a={"big": 3, "middle": 3, "small": 5}), model)]
    assert repair(held, model) == {}


def test_an_empty_server_goes_where_layers_have_fewest_holders() -> None:
    model = pipeline(layers=60)
    held = [server.facts for server in servers_holding([(0, 60)] * 3 + [(0, 30)])]
    empty = servers(b={"small": 1})[0]
    span = fill_empty(held, [empty], model)[empty.id]
    assert span.first >= 30


def requests_fitting_per_layer(held: Sequence[Server], model: Pipeline) -> list[float]:
    """Return for each layer how many requests of typical size fit on all of its holders."""
    rooms = [0.0] * model.layers
    for server in held:
        facts = server.facts
        for layer in range(facts.first, facts.last):
            rooms[layer] += (
                model.token_room(facts.accelerator or "", facts.layer_count, facts.layer_count)
                / model.typical_tokens
            )
    return rooms


def test_several_chains_of_a_hall_leave_room_for_many_requests() -> None:
    model = msgspec.structs.replace(pipeline(), typical_prompt=770, typical_answer=140)
    held = place_servers(servers(a={"big": 4, "middle": 9, "small": 14}), model)
    holders = [sum(s.facts.first <= layer < s.facts.last for s in held) for layer in range(model.layers)]
    assert min(holders) >= 2
    # With pairs, the fast servers would have less than the configured token capacity.
    assert (
        min(requests_fitting_per_layer(held, model)) > 2 * 1.5 * model.token_capacity / model.typical_tokens
    )


@pytest.mark.parametrize(
    "kinds",
    [
        {"big": 3, "middle": 3, "small": 5},
        {"big": 1, "middle": 5, "small": 8},
        {"big": 1, "middle": 10, "small": 4},
    ],
)
def test_no_layer_of_a_hall_has_much_less_room_than_memory_allows(kinds: dict[str, int]) -> None:
    model = msgspec.structs.replace(pipeline(), typical_prompt=770, typical_answer=140)
    held = place_servers(servers(a=kinds), model)
    memory = sum(model.accelerators[s.facts.accelerator or ""].memory_mb for s in held)
    # The memory left by one copy of all layers, if it could be divided evenly.
    ideal = (memory - model.layers * model.layer_mb) / model.token_mb / model.typical_tokens
    assert min(requests_fitting_per_layer(held, model)) >= 0.6 * min(ideal, 96.0)


def test_a_returning_server_holds_no_more_than_others_of_its_kind() -> None:
    model = pipeline()
    held = place_servers(servers(a={"big": 4, "middle": 9, "small": 14}), model)
    lost = held[0].facts
    length = lost.layer_count
    empty = msgspec.structs.replace(lost, id=BackendId("new"), first=0, last=0)
    span = fill_empty([s.facts for s in held[1:]], [empty], model)[empty.id]
    assert span.length <= length


THREE_SPEED_KINDS = {
    "quick": Accelerator(memory_mb=72_000, step_factor=2.4, read_factor=3.2),
    "fair": Accelerator(memory_mb=14_400, step_factor=5.3, read_factor=7.9),
    "slow": Accelerator(memory_mb=21_600, step_factor=16.0, read_factor=8.2),
}
TYPICAL_LOAD = 45
"""Concurrent requests of a hall: 40 per second with 228 tokens each, at about 5 ms per token."""


def three_speeds() -> Pipeline:
    return msgspec.structs.replace(
        pipeline(), accelerators=THREE_SPEED_KINDS, step_ms=1.02, typical_prompt=764, typical_answer=228
    )


@pytest.mark.parametrize(
    ("kinds", "most_ms"),
    [
        ({"quick": 4, "fair": 10, "slow": 11}, 6.0),
        ({"quick": 3, "fair": 14, "slow": 16}, 6.0),
        ({"quick": 2, "fair": 24, "slow": 9}, 8.0),
    ],
)
def test_typical_load_of_a_hall_stays_on_its_fastest_servers(kinds: dict[str, int], most_ms: float) -> None:
    # With fast and slow servers in the same chain, a token took 9 to 19 ms.
    model = three_speeds()
    held = place_servers(servers(a=kinds), model)
    for _ in range(TYPICAL_LOAD):
        path = find_path(held, search(model))
        assert path is not None
        path.take()
        assert path.cost < most_ms
        assert {s.facts.accelerator for s in path.servers} <= {"quick", "fair"}


def test_a_hall_that_loses_its_fastest_servers_still_holds_the_model() -> None:
    model = three_speeds()
    held = place_servers(servers(a={"quick": 3, "fair": 14, "slow": 16}), model)
    left = [server for server in held if server.facts.accelerator != "quick"]
    for _ in range(TYPICAL_LOAD):
        path = find_path(left, search(model))
        assert path is not None
        path.take()


def test_servers_of_the_same_speed_hold_equally_many_layers() -> None:
    model = three_speeds()
    held = place_servers(servers(a={"slow": 22}), model)
    lengths = {server.facts.layer_count for server in held}
    assert max(lengths) - min(lengths) <= 1
