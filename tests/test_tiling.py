"""Tiling and paths: all layers once and in order, inside memory, also when servers are lost."""

import time
from collections.abc import Sequence

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import paths as paths_module
from bayglade.fleet import Fleet, Server, ServerFacts
from bayglade.ids import BackendId, HallName, ModelName, ServiceName
from bayglade.pathfinding import MAX_PATHS, Path, find_path, find_paths, hall_paths
from bayglade.paths import Paths
from bayglade.pipelines import Accelerator, Pipeline
from bayglade.tiling import Span, fill, groups, mend, missing, tile

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


def placed(listed: list[ServerFacts], model: Pipeline) -> list[Server]:
    spans = tile(listed, model)
    return [
        Server(msgspec.structs.replace(f, first=spans[f.id].first, last=spans[f.id].last))
        for f in listed
        if f.id in spans
    ]


HALLS = {
    "one quick hall": {"a": {"big": 3, "middle": 3, "small": 5}},
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
def test_every_hall_that_can_holds_the_model(name: str) -> None:
    model = pipeline()
    listed = servers(**HALLS[name])
    held = placed(listed, model)
    paths = find_paths(held, model)
    assert paths
    for path in paths:
        stages = path.route.stages
        assert [s.first for s in stages] == [0, *(s.last for s in stages[:-1])]
        assert stages[-1].last == model.layers
        assert len({s.backend for s in stages}) == len(stages)
    able = [g for g in groups(listed, model) if len({f.hall for f in g}) == 1]
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
    spans = tile(listed, model)
    for facts in listed:
        span = spans.get(facts.id, Span(0, 0))
        assert 0 <= span.first <= span.last <= layers
        assert facts.accelerator is not None
        assert model.free_mb(facts.accelerator, span.length) > 0 or span.length == 0


def test_a_card_that_cannot_hold_a_layer_is_left_out() -> None:
    model = pipeline(8, 15_000.0)
    listed = servers(a={"big": 4, "middle": 2, "small": 3})
    spans = tile(listed, model)
    assert not any("small" in backend for backend in spans)


def test_most_servers_can_be_lost_without_losing_a_layer() -> None:
    model = pipeline()
    for kinds in ({"big": 3, "middle": 3, "small": 5}, {"big": 1, "middle": 5, "small": 8}):
        held = placed(servers(a=kinds), model)
        spared = [s for s in held if find_path([o for o in held if o is not s], model)]
        assert len(spared) >= len(held) / 2


def test_an_empty_server_goes_where_layers_are_missing() -> None:
    model = pipeline()
    held = [s.facts for s in placed(servers(a={"big": 3, "middle": 3, "small": 5}), model)]
    lost = next(f for f in held if f.id == "a-middle-0")
    rest = [f for f in held if f is not lost]
    empty = msgspec.structs.replace(lost, id=BackendId("a-middle-new"), first=0, last=0)
    spans = fill(rest, [empty], model)
    filled = msgspec.structs.replace(empty, first=spans[empty.id].first, last=spans[empty.id].last)
    assert missing([*rest, filled], model.layers) == 0


@pytest.mark.parametrize(("count", "limit"), [(200, 0.3), (1000, 2.0)])
def test_large_fleets_are_laid_out_in_bounded_time(count: int, limit: float) -> None:
    model = pipeline()
    each = count // 50
    halls = {f"h{n}": {"big": each, "middle": 2 * each, "small": 2 * each} for n in range(10)}
    began = time.process_time()
    held = placed(servers(**halls), model)
    paths = find_paths(held, model)
    assert time.process_time() - began < limit
    assert len({path.hall for path in paths}) == 10


@pytest.mark.parametrize(
    "kinds", [{"big": 3, "middle": 3, "small": 5}, {"big": 1, "middle": 5, "small": 8}]
)
def test_any_one_loss_is_mended_by_moving_few_servers(kinds: dict[str, int]) -> None:
    model = pipeline()
    held = [s.facts for s in placed(servers(a=kinds), model)]
    for lost in held:
        rest = [f for f in held if f is not lost]
        spans = mend(rest, model)
        after = [
            msgspec.structs.replace(f, first=spans[f.id].first, last=spans[f.id].last)
            if f.id in spans
            else f
            for f in rest
        ]
        assert missing(after, model.layers) == 0
        assert len(spans) <= 3


def test_mending_leaves_servers_alone_whose_layers_nobody_else_holds() -> None:
    model = pipeline()
    held = [s.facts for s in placed(servers(a={"big": 1, "middle": 5, "small": 8}), model)]
    rest = [f for f in held if f.id != "a-big-0"]
    spans = mend(rest, model)
    for facts in rest:
        others = [f for f in rest if f is not facts]
        if missing(others, model.layers) > missing(rest, model.layers) and facts.id in spans:
            assert spans[facts.id].first <= facts.first
            assert spans[facts.id].last >= facts.last


def test_nothing_is_mended_where_nothing_is_missing() -> None:
    model = pipeline()
    held = [s.facts for s in placed(servers(a={"big": 3, "middle": 3, "small": 5}), model)]
    assert mend(held, model) == {}


def test_only_the_hall_that_changed_is_searched_again(monkeypatch: pytest.MonkeyPatch) -> None:
    model = pipeline()
    fleet = Fleet()
    held = placed(
        servers(a={"big": 3, "middle": 3, "small": 5}, b={"big": 1, "middle": 5, "small": 8}), model
    )
    fleet.take([server.facts for server in held], [], outage=False)
    searched: list[str] = []

    def search(found: Sequence[Server], _: Pipeline) -> list[Path]:
        searched.append(found[0].facts.hall)
        return hall_paths(found, model)

    monkeypatch.setattr(paths_module, "hall_paths", search)
    paths = Paths(fleet, HallName("a"))
    assert len(paths.all(SERVICE, model)) == 2
    paths.all(SERVICE, model)
    assert sorted(searched) == ["a", "b"]
    fleet.suspect(fleet.servers[BackendId("b-small-0")], "silent")
    paths.all(SERVICE, model)
    assert sorted(searched) == ["a", "b", "b"]


def test_a_path_of_the_own_hall_is_taken_while_it_has_room() -> None:
    model = pipeline()
    fleet = Fleet()
    held = placed(
        servers(a={"big": 3, "middle": 3, "small": 5}, b={"big": 1, "middle": 5, "small": 8}), model
    )
    fleet.take([server.facts for server in held], [], outage=False)
    paths = Paths(fleet, HallName("b"))
    own = paths.choose(SERVICE, model)
    assert own is not None
    assert own.hall == "b"
    # Full by what other daemons tell: the quicker hall takes it.
    paths.elsewhere = lambda: {own.servers[0].facts.id: int(own.capacity) + 1}
    other = paths.choose(SERVICE, model)
    assert other is not None
    assert other.hall == "a"


def test_a_detour_keeps_the_first_stage_and_the_hall() -> None:
    model = pipeline()
    fleet = Fleet()
    held = placed(
        servers(a={"big": 3, "middle": 3, "small": 5}, b={"big": 1, "middle": 5, "small": 8}), model
    )
    fleet.take([server.facts for server in held], [], outage=False)
    paths = Paths(fleet, HallName("a"))
    path = paths.choose(SERVICE, model)
    assert path is not None
    for server in path.servers[1:]:
        detour = paths.detour(path, SERVICE, model, frozenset({server.facts.id}))
        if detour is None:
            # Nobody else in this hall holds its layers: no stage of another hall steps in.
            continue
        assert detour.route.stages[0] == path.route.stages[0]
        assert {s.facts.hall for s in detour.servers} == {"a"}
        assert server not in detour.servers
    assert paths.detour(path, SERVICE, model, frozenset({path.servers[0].facts.id})) is None


def holding(spans: Sequence[tuple[int, int]], kind: str = "big") -> list[Server]:
    """Return servers of one hall that hold these layers."""
    listed = servers(a={kind: len(spans)})
    return [
        Server(msgspec.structs.replace(facts, first=first, last=last))
        for facts, (first, last) in zip(listed, spans, strict=True)
    ]


def tiles(path: Path, layers: int) -> bool:
    ends = [0, *(stage.last for stage in path.route.stages)]
    return [stage.first for stage in path.route.stages] == ends[:-1] and ends[-1] == layers


def test_a_hall_has_as_many_paths_as_its_layers_have_holders() -> None:
    # The cheapest path by far takes both quick servers, but the slow ones alone do not hold layers 3 to 5.
    quick = holding([(0, 6), (3, 12)])
    slow = holding([(0, 3), (6, 12)], "middle")
    model = pipeline(layers=12)
    paths = hall_paths([*quick, *slow], model)
    assert len(paths) == 2
    used = [server.facts.id for path in paths for server in path.servers]
    assert len(used) == len(set(used))
    assert all(tiles(path, 12) for path in paths)


span_lists = st.lists(st.tuples(st.integers(0, 11), st.integers(1, 12)), max_size=12)


@given(span_lists, span_lists)
def test_paths_of_a_hall_share_no_server_and_reach_the_bound(
    quick: list[tuple[int, int]], slow: list[tuple[int, int]]
) -> None:
    model = pipeline(layers=12)
    found = [
        server
        for kind, spans in (("big", quick), ("middle", slow))
        for server in holding([(first, min(12, first + length)) for first, length in spans], kind)
    ]
    paths = hall_paths(found, model)
    used = [server.facts.id for path in paths for server in path.servers]
    assert len(used) == len(set(used))
    assert all(tiles(path, 12) for path in paths)
    holders = [sum(s.facts.first <= n < s.facts.last for s in found) for n in range(12)]
    assert len(paths) == min(MAX_PATHS, *holders)


def test_an_empty_server_goes_where_fewest_hold() -> None:
    model = pipeline(layers=60)
    held = [server.facts for server in holding([(0, 60)] * 3 + [(0, 30)])]
    empty = servers(b={"small": 1})[0]
    span = fill(held, [empty], model)[empty.id]
    assert span.first >= 30


def test_several_chains_of_a_hall_hold_few_layers_a_server_and_many_requests() -> None:
    model = msgspec.structs.replace(pipeline(), typical_prompt=770, typical_answer=140)
    held = placed(servers(a={"big": 4, "middle": 9, "small": 14}), model)
    paths = hall_paths(held, model)
    assert len(paths) >= 2
    for path in paths:
        rooms = [
            model.room(s.facts.accelerator or "", s.facts.held, stage.last - stage.first)
            for s, stage in zip(path.servers, path.route.stages, strict=True)
        ]
        # Pairs would leave less than the wanted room on the quick ones.
        assert min(rooms) > 1.5 * model.token_capacity
        assert path.capacity <= 96


def test_a_server_that_comes_back_holds_no_more_than_its_kind_does() -> None:
    model = pipeline()
    held = placed(servers(a={"big": 4, "middle": 9, "small": 14}), model)
    lost = held[0].facts
    length = lost.held
    empty = msgspec.structs.replace(lost, id=BackendId("new"), first=0, last=0)
    span = fill([s.facts for s in held[1:]], [empty], model)[empty.id]
    assert span.length <= length
