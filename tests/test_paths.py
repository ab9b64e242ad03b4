"""Each request gets a path with room on every server; near servers are preferred."""

from collections.abc import Sequence

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import paths as paths_module
from bayglade.entries.wire import ServerLoad
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, HallName
from bayglade.pathfinding import MAX_CACHE_USE, Path, Search, find_path
from bayglade.paths import SPILL_CACHE_USE, PathSelector
from bayglade.pipelines import Demand, Pipeline
from bayglade.pipes import MAX_PIPE_USE, UNKNOWN_CROSSING_MS, Pipes
from bayglade.servers import Server
from tests.test_tiling import SERVICE, pipeline, place_servers, servers, servers_holding, three_speeds

TWO_HALLS = {"a": {"big": 3, "middle": 3, "small": 5}, "b": {"big": 1, "middle": 5, "small": 8}}
USUAL = Demand(770.0, 140.0)


def model_with_pipes() -> Pipeline:
    return msgspec.structs.replace(
        pipeline(),
        typical_prompt=770,
        typical_answer=140,
        request_ms=0.02,
        hop_mb=0.05,
        pipe_mbps=8000.0,
        delays={frozenset((HallName("a"), HallName("b"))): 0.3},
    )


class Site:
    """A fleet with servers, and the path selector of one daemon."""

    def __init__(self, hall: str, **halls: dict[str, int]) -> None:
        self.model = model_with_pipes()
        self.fleet = Fleet()
        held = place_servers(servers(**(halls or TWO_HALLS)), self.model)
        self.fleet.apply_changes([server.facts for server in held], [], outage=False)
        self.paths = PathSelector(self.fleet, HallName(hall))

    def choose(self, demand: Demand = USUAL, excluded: frozenset[BackendId] = frozenset()) -> Path | None:
        return self.paths.choose(SERVICE, self.model, demand, excluded)

    def serve(self, demand: Demand = USUAL) -> Path:
        path = self.choose(demand)
        assert path is not None
        self.paths.reserve(path, self.model)
        return path

    def use(self, server: Server) -> float:
        facts = server.facts
        return server.cached / self.model.cache_capacity(facts.accelerator or "", facts.layer_count)


def tiles(path: Path, layers: int) -> bool:
    ends = [0, *(stage.last for stage in path.route.stages)]
    return [stage.first for stage in path.route.stages] == ends[:-1] and ends[-1] == layers


def test_requests_spread_over_servers_that_hold_the_same_layers() -> None:
    site = Site("a", a={"big": 4, "middle": 9, "small": 14})
    # More requests than the chain of the fastest servers has room for.
    for _ in range(80):
        site.serve()
    holders = [s for s in site.fleet.of_service(SERVICE) if s.facts.layer_count]
    used = [s for s in holders if s.cached]
    assert len(used) == len(holders)
    for server in holders:
        twins = [
            s for s in holders if (s.facts.first, s.facts.last) == (server.facts.first, server.facts.last)
        ]
        uses = [site.use(s) for s in twins]
        assert max(uses) - min(uses) < 0.1


def test_a_request_takes_room_on_each_stage_and_gives_it_back() -> None:
    site = Site("a")
    path = site.serve()
    for server, stage in zip(path.servers, path.route.stages, strict=True):
        assert server.cached == USUAL.cached * (stage.last - stage.first)
    assert [s.in_flight for s in path.servers] == [1, *[0] * (len(path.servers) - 1)]
    path.release()
    assert all(s.cached == 0 and s.in_flight == 0 for s in site.fleet.of_service(SERVICE))


def test_no_server_is_filled_beyond_its_cache_and_a_full_fleet_has_no_path() -> None:
    site = Site("a")
    served = 0
    while (path := site.choose()) is not None:
        site.paths.reserve(path, site.model)
        served += 1
        assert served < 1000
    assert served > 100
    assert all(site.use(s) <= MAX_CACHE_USE for s in site.fleet.of_service(SERVICE) if s.facts.layer_count)
    assert site.paths.seconds_until_covered(SERVICE, site.model) == 0.0


def test_the_load_of_other_daemons_counts() -> None:
    site = Site("a")
    path = site.choose()
    assert path is not None
    crowded = path.servers[1]
    facts = crowded.facts
    full = site.model.cache_capacity(facts.accelerator or "", facts.layer_count)
    site.paths.remote_loads = lambda: {facts.key: ServerLoad(facts.id, 0, int(full))}
    other = site.choose()
    assert other is not None
    assert crowded not in other.servers


def test_a_first_stage_takes_no_more_requests_than_it_has_slots() -> None:
    site = Site("a")
    path = site.choose()
    assert path is not None
    head = path.servers[0].facts
    site.paths.remote_loads = lambda: {head.key: ServerLoad(head.id, head.slots, 0)}
    other = site.choose()
    assert other is not None
    assert other.servers[0].facts.id != head.id


def test_a_path_in_the_own_hall_is_used_while_it_has_room() -> None:
    site = Site("b")
    halls = [site.serve().hall for _ in range(30)]
    assert set(halls) == {"b"}
    path = site.serve()
    while path.hall == "b":
        last, path = path, site.serve()
    assert path.hall == "a"
    assert last.cache_use > SPILL_CACHE_USE - 0.05


def test_other_halls_are_not_searched_while_the_own_one_has_room(monkeypatch: pytest.MonkeyPatch) -> None:
    site = Site("a")
    searched: list[set[HallName]] = []

    def find(found: Sequence[Server], search: Search) -> Path | None:
        searched.append({server.facts.hall for server in found})
        return find_path(found, search)

    monkeypatch.setattr(paths_module, "find_path", find)
    site.choose()
    assert searched == [{HallName("a")}]


def test_stages_of_another_hall_are_used_if_no_hall_has_all_layers() -> None:
    site = Site("a")
    whole = site.choose()
    assert whole is not None
    lost = [
        next(
            s
            for s in site.fleet.of_service(SERVICE)
            if s.facts.hall == hall and s.facts.first <= layer < s.facts.last
        )
        for hall, layer in (("a", 20), ("b", 60))
    ]
    twins = {
        s.facts.id
        for s in site.fleet.of_service(SERVICE)
        for gone in lost
        if s.facts.hall == gone.facts.hall
        and s.facts.first < gone.facts.last
        and s.facts.last > gone.facts.first
    }
    path = site.choose(excluded=frozenset(twins))
    assert path is not None
    assert tiles(path, site.model.layers)
    assert {s.facts.hall for s in path.servers} == {"a", "b"}
    assert not twins & {s.facts.id for s in path.servers}


def test_a_slow_server_is_bypassed_where_another_path_is_much_faster() -> None:
    site = Site("a")
    path = site.choose()
    assert path is not None
    slow = path.servers[2]
    site.fleet.update_pace(slow, 40.0)
    other = site.choose()
    assert other is not None
    assert slow not in other.servers


def test_a_detour_keeps_the_first_stage_and_stays_in_the_hall_if_possible() -> None:
    site = Site("a")
    path = site.choose()
    assert path is not None
    found = {"here": 0, "across": 0}
    for server in path.servers[1:]:
        without = frozenset({server.facts.id})
        here = site.paths.detour(path, SERVICE, site.model, without)
        detour = here or site.paths.detour(path, SERVICE, site.model, without, across_halls=True)
        assert detour is not None
        assert detour.route.stages[0] == path.route.stages[0]
        assert tiles(detour, site.model.layers)
        assert server not in detour.servers
        others = [
            s
            for s in site.fleet.of_service(SERVICE)
            if s.facts.hall == "a" and s is not server and s is not path.servers[0]
        ]
        held = {n for s in others for n in range(s.facts.first, s.facts.last)}
        able = held >= set(range(path.route.stages[0].last, site.model.layers))
        assert (here is not None) == able
        assert ({s.facts.hall for s in detour.servers} == {"a"}) == able
        found["here" if able else "across"] += 1
    assert all(found.values())
    assert site.paths.detour(path, SERVICE, site.model, frozenset({path.servers[0].facts.id})) is None


def test_a_busy_pipe_accepts_no_more_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    model = model_with_pipes()
    pipes = Pipes()
    one, other = HallName("a"), HallName("b")
    free = pipes.crossing_cost_ms(one, other, model, USUAL)
    assert free < UNKNOWN_CROSSING_MS
    pipes.daemons = lambda: 4
    sent = 0
    while pipes.crossing_cost_ms(one, other, model, USUAL) < float("inf"):
        pipes.record([one, one, other, other], model, USUAL)
        sent += 1
        assert sent < 1000
    assert pipes.use(frozenset((one, other)), model) >= MAX_PIPE_USE
    assert pipes.crossing_cost_ms(one, HallName("c"), model, USUAL) < float("inf")


def test_crossing_is_expensive_where_no_pipe_is_known() -> None:
    assert Pipes().crossing_cost_ms(HallName("a"), HallName("b"), pipeline(), USUAL) == UNKNOWN_CROSSING_MS


span_lists = st.lists(st.tuples(st.integers(0, 11), st.integers(1, 12)), max_size=12)


@given(span_lists, span_lists)
def test_requests_are_served_as_long_as_every_layer_has_room(
    quick: list[tuple[int, int]], slow: list[tuple[int, int]]
) -> None:
    model = pipeline(layers=12)
    found = [
        server
        for kind, spans in (("big", quick), ("middle", slow))
        for server in servers_holding([(first, min(12, first + length)) for first, length in spans], kind)
    ]
    demand = Demand(4000.0, 0.0)
    search = Search(model, demand, lambda server: server.cached)
    path = find_path(found, search)
    held = {layer for s in found for layer in range(s.facts.first, s.facts.last)}
    assert (path is not None) == (held == set(range(12)))
    served = 0
    while path is not None and served < 50:
        assert tiles(path, 12)
        path.take()
        served += 1
        path = find_path(found, search)
    for server in found:
        size = model.cache_capacity(server.facts.accelerator or "", server.facts.layer_count)
        assert server.cached <= MAX_CACHE_USE * size
    if path is None and served:
        # Some layer has no holder left with room for one more request on all layers of the holder.
        assert any(
            all(
                s.cached + demand.cached * s.facts.layer_count
                > MAX_CACHE_USE * model.cache_capacity(s.facts.accelerator or "", s.facts.layer_count)
                for s in found
                if s.facts.first <= layer < s.facts.last
            )
            for layer in range(12)
        )


def three_speeds_site() -> Site:
    site = Site("a")
    site.model = three_speeds()
    site.fleet = Fleet()
    held = place_servers(servers(a={"quick": 3, "fair": 14, "slow": 16}), site.model)
    site.fleet.apply_changes([server.facts for server in held], [], outage=False)
    site.paths = PathSelector(site.fleet, HallName("a"))
    return site


def on_a_slow_path(site: Site, count: int) -> list[Path]:
    """Run requests on a path with many stages, while a faster one with fewer stages is free again."""
    quick = frozenset(s.facts.id for s in site.fleet.of_service(SERVICE) if s.facts.accelerator == "quick")
    paths = []
    for _ in range(count):
        path = site.choose(excluded=quick)
        assert path is not None
        site.paths.reserve(path, site.model)
        paths.append(path)
    return paths


def test_requests_leave_a_lost_stage_with_few_layers_prefilled_again() -> None:
    # 39 streams of a hall lost one stage of 5 layers at once, and each prefilled 48 layers again.
    site = three_speeds_site()
    paths = on_a_slow_path(site, 40)
    lost = paths[0].servers[2]
    hit = [path for path in paths if lost in path.servers]
    assert len(hit) > 30
    for path in hit:
        moved = site.paths.detour(path, SERVICE, site.model, frozenset({lost.facts.id}))
        assert moved is not None
        kept = set(path.route.stages) & set(moved.route.stages)
        assert sum(stage.last - stage.first for stage in kept) >= 0.8 * site.model.layers


def test_a_single_request_leaves_a_lost_stage_for_a_faster_path() -> None:
    site = three_speeds_site()
    (path,) = on_a_slow_path(site, 1)
    moved = site.paths.detour(path, SERVICE, site.model, frozenset({path.servers[2].facts.id}))
    assert moved is not None
    assert moved.cost < path.cost


def test_prompts_that_arrive_all_at_once_are_spread_over_first_stages() -> None:
    # All daemons of a hall recover from a power loss at once, and four callers of each send a prompt.
    site = three_speeds_site()
    site.paths.daemon_count = lambda: 20
    firsts = []
    for _ in range(4):
        path = site.serve()
        path.servers[0].unanswered += 1
        firsts.append(path.servers[0].facts.accelerator)
    assert firsts[:2] == ["quick", "quick"]
    assert set(firsts) != {"quick"}


def test_a_single_prompt_being_read_does_not_divert_the_next() -> None:
    site = three_speeds_site()
    site.paths.daemon_count = lambda: 20
    first = site.serve().servers[0]
    first.unanswered = 1
    assert site.serve().servers[0] is first
