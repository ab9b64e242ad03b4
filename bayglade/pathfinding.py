"""Shortest-path search for the chain of servers that runs a request through all layers of a model.

The search is a dynamic program over layer boundaries. The current load of each
server is part of its cost, so requests spread over all servers that hold the
same layers. All functions are pure. See ``docs/design/placement.md``.
"""

from collections.abc import Callable, Iterable, Sequence

from bayglade.engines.wire import Stage
from bayglade.ids import HallName
from bayglade.models import Route
from bayglade.pipelines import Demand, Pipeline
from bayglade.reservations import Reservation
from bayglade.servers import Server

HOP_MS = 0.25
"""Cost of one more stage in the same data hall: about the network delay between two hosts there."""
MAX_CACHE_USE = 0.95
"""Fraction of a server's KV cache that may be filled. The rest is a margin, because the actual size of a
request differs from the expected one."""
CROWDING_EXPONENT = 4
"""The cost of a stage grows with its cache use to this power: hardly up to two thirds, about fivefold at
``MAX_CACHE_USE``. This diverts requests from a server before it has to reject them."""

CacheLoadOf = Callable[[Server], float]
"""Returns the KV cache of a server that all daemons together have in use, in tokens times layers."""
CostOf = Callable[[Server], float]
"""Returns a cost of a server in milliseconds per token, or a factor on it."""
PrefillCost = Callable[[Server, int, int], float]
"""Returns the extra cost per token if a server first has to prefill (read the prompt) through the layers
from the first to the second number."""
StageCosts = Callable[[int], tuple[float, float]]
"""Returns the cost and the cache use of a stage that runs a number of layers."""
CrossingMs = Callable[[HallName, HallName], float]
"""Returns the milliseconds that a hop between two data halls adds to each token."""


class Path(Reservation):
    """A chain of stages through all layers for one request; its cost is in milliseconds per token.

    The path to a server of a plain service has an empty route.
    """

    __slots__ = ("cache_use", "cost", "demand", "hall", "route")

    def __init__(
        self, route: Route, servers: tuple[Server, ...], cost: float, demand: Demand, cache_use: float
    ) -> None:
        super().__init__(servers)
        self.route = route
        self.cost = cost
        self.demand = demand
        self.hall = servers[0].facts.hall
        self.cache_use = cache_use
        """Fraction of the KV cache in use at the fullest stage, this request included."""

    def __repr__(self) -> str:
        return f"<Path {self.cost:.1f} ms {self.route!r}>"

    def describe(self) -> str:
        """Return the stages as short text for logs."""
        return " ".join(f"{s.backend}[{s.first},{s.last})" for s in self.route.stages)

    def take(self, before: Sequence[Server] = ()) -> None:
        """Count the request on all servers of the path, and charge their rate limits.

        :param before: servers that already run the request.
        """
        self._count(1.0)
        super().take(before)

    def release(self) -> None:
        """Stop counting the request. If it was never sent, the charge on the rate limits is returned."""
        self._count(-1.0)
        super().release()

    def _count(self, sign: float) -> None:
        for server, stage in zip(self.servers, self.route.stages, strict=bool(self.route.stages)):
            server.cached += sign * self.demand.cached * (stage.last - stage.first)
        self.servers[0].in_flight += int(sign)


class Search:
    """The inputs of a path search: the model, the request, and the load of the servers.

    :param pipeline: facts of the model.
    :param demand: the size of the request.
    :param cache_load: returns the KV cache in use on a server, by all daemons.
    :param crossing_ms: cost of a hop between data halls; if omitted, no path leaves its hall.
    :param enforce_capacity: whether servers without room are skipped.
    :param crowding: whether the cost of a stage grows with its cache use.
    :param first_stage_ms: returns the extra cost of a server as the first stage.
    :param cost_factor: returns a factor on the cost of a server.
    :param prefill_cost: returns the cost of what a stage has to prefill before it goes on.
    """

    __slots__ = (
        "cache_load",
        "cost_factor",
        "crossing_ms",
        "crowding",
        "demand",
        "enforce_capacity",
        "first_stage_ms",
        "pipeline",
        "prefill_cost",
        "typical_cached",
    )

    def __init__(
        self,
        pipeline: Pipeline,
        demand: Demand,
        cache_load: CacheLoadOf,
        crossing_ms: CrossingMs | None = None,
        enforce_capacity: bool = True,
        crowding: bool = True,
        first_stage_ms: CostOf | None = None,
        cost_factor: CostOf | None = None,
        prefill_cost: PrefillCost | None = None,
    ) -> None:
        self.pipeline = pipeline
        self.demand = demand
        self.cache_load = cache_load
        self.crossing_ms = crossing_ms
        self.enforce_capacity = enforce_capacity
        self.crowding = crowding
        self.first_stage_ms = first_stage_ms
        self.cost_factor = cost_factor
        self.prefill_cost = prefill_cost
        self.typical_cached = pipeline.typical_request().cached

    def hop_ms(self, one: HallName | None, other: HallName) -> float:
        """Return the cost of passing a token on to the next stage; zero before the first stage."""
        if one is None:
            return 0.0
        if one == other:
            return HOP_MS
        return HOP_MS + self.crossing_ms(one, other) if self.crossing_ms is not None else float("inf")


class _PartialPath:
    """The cheapest known path up to a layer: its last stage, and the partial path before that."""

    __slots__ = ("cache_use", "cost", "first", "last", "previous", "server")

    def __init__(
        self,
        cost: float,
        server: Server | None,
        first: int,
        last: int,
        previous: "_PartialPath | None",
        cache_use: float,
    ) -> None:
        self.cost = cost
        self.server = server
        self.first = first
        self.last = last
        self.previous = previous
        self.cache_use = cache_use


def group_by_hall(servers: Iterable[Server]) -> dict[HallName, list[Server]]:
    """Group servers by their data hall."""
    halls: dict[HallName, list[Server]] = {}
    for server in servers:
        halls.setdefault(server.facts.hall, []).append(server)
    return halls


def find_path(servers: Iterable[Server], search: Search) -> Path | None:
    """Find the cheapest path over the given servers.

    :param servers: the servers that may be used.
    :param search: the inputs of the search.
    :return: the path, or None if the servers lack a layer or have no room.
    """
    return _build_path(_search(servers, search, _PartialPath(0.0, None, 0, 0, None, 0.0)), search)


def find_detour(path: Path, servers: Iterable[Server], search: Search) -> Path | None:
    """Find another path behind the first stage of an existing path.

    :param path: the existing path; its first stage is kept.
    :param servers: the servers that may be used for the later stages.
    :param search: the inputs of the search.
    :return: the path, or None if the servers lack one of the other layers or have no room.
    """
    stage = path.route.stages[0]
    start = _PartialPath(0.0, path.servers[0], stage.first, stage.last, None, 0.0)
    # A kept stage can reuse its KV cache of the request only if its layers stay the same.
    bounds = [stage.last for stage in path.route.stages]
    return _build_path(_search(servers, search, start, bounds), search)


def stage_costs(server: Server, search: Search, cache_load: float) -> StageCosts:
    """Return the cost of a server as a stage, as a function of the number of layers that it runs.

    A server runs all its requests in one batch, so each request waits for the
    work of the whole batch.

    :param server: the server, of an accelerator kind that the model runs on.
    :param search: the inputs of the search.
    :param cache_load: the KV cache already in use there, in tokens times layers.
    :return: a function from a number of layers to the milliseconds per token and the resulting cache
        use. The cost is infinite if the request does not fit.
    """
    facts, pipeline = server.facts, search.pipeline
    accelerator = facts.accelerator or ""
    size = pipeline.cache_capacity(accelerator, facts.layer_count)
    kind = pipeline.accelerators[accelerator]
    active_requests = cache_load / search.typical_cached
    shared = kind.step_factor * pipeline.request_ms * active_requests
    shared += kind.read_factor * pipeline.prefill_ms_per_step * active_requests
    per_layer = kind.step_factor * pipeline.step_ms
    pace = server.pace / pipeline.layers
    cached = search.demand.cached
    memo: dict[int, tuple[float, float]] = {}

    def cost(layers: int) -> tuple[float, float]:
        cache_use = (cache_load + cached * layers) / size if size > 0 else float("inf")
        if cache_use > MAX_CACHE_USE:
            # A request larger than the whole cache may still run alone.
            if size <= 0 or (search.enforce_capacity and cache_load > 0):
                return float("inf"), cache_use
            cache_use = MAX_CACHE_USE
        time = (per_layer * layers + shared) * pace
        return time / (1.0 - cache_use**CROWDING_EXPONENT) if search.crowding else time, cache_use

    def costs(layers: int) -> tuple[float, float]:
        # Many of the spans between boundaries have the same length.
        found = memo.get(layers)
        if found is None:
            found = memo[layers] = cost(layers)
        return found

    return costs


PartialPaths = dict[int, dict[HallName | None, _PartialPath]]
"""The cheapest partial paths to each layer, by the data hall in which they end."""


def _search(
    servers: Iterable[Server], search: Search, start: _PartialPath, bounds: Iterable[int] = ()
) -> _PartialPath | None:
    """Find the cheapest path from a start to the last layer.

    Servers are visited in the order of their last layers, so no path uses a
    server twice.
    """
    eligible = [s for s in servers if s.facts.layer_count > 0 and s.facts.fits(search.pipeline)]
    eligible.sort(key=lambda s: (s.facts.last, s.facts.first, s.facts.id))
    hall = start.server.facts.hall if start.server is not None else None
    partials: PartialPaths = {start.last: {hall: start}}
    # Stages meet only where the layers of some server begin or end. Requests spread over servers
    # that hold the same layers, so no span needs to be split further.
    ends = {bound for s in eligible for bound in (s.facts.first, s.facts.last)}
    boundaries = sorted(ends.union(bounds, {start.last}))
    for server in eligible:
        _extend(partials, server, boundaries, search)
    complete = partials.get(search.pipeline.layers, {})
    return min(complete.values(), key=lambda partial: partial.cost, default=None)


def _extend(partials: PartialPaths, server: Server, bounds: Sequence[int], search: Search) -> None:
    """Extend the known partial paths by one stage on a server."""
    facts = server.facts
    starts = [bound for bound in bounds if facts.first <= bound < facts.last and bound in partials]
    if not starts:
        return
    cache_load = search.cache_load(server)
    cost_factor = 1.0 if search.cost_factor is None else search.cost_factor(server)
    costs = stage_costs(server, search, cache_load)
    ends = [bound for bound in bounds if starts[0] < bound <= facts.last]
    extended: list[_PartialPath] = []
    for begin in starts:
        cost, previous = min(
            ((p.cost + search.hop_ms(hall, facts.hall), p) for hall, p in partials[begin].items()),
            key=lambda entry: entry[0],
        )
        if previous.server is None and search.first_stage_ms is not None:
            cost += search.first_stage_ms(server)
        for end in ends:
            if end <= begin:
                continue
            stage_cost, cache_use = costs(end - begin)
            stage_cost *= cost_factor
            if search.prefill_cost is not None:
                stage_cost += search.prefill_cost(server, begin, end)
            if cost + stage_cost < float("inf"):
                extended.append(
                    _PartialPath(
                        cost + stage_cost, server, begin, end, previous, max(cache_use, previous.cache_use)
                    )
                )
    for partial in extended:
        by_hall = partials.setdefault(partial.last, {})
        known = by_hall.get(facts.hall)
        if known is None or partial.cost < known.cost:
            by_hall[facts.hall] = partial


def _build_path(partial: _PartialPath | None, search: Search) -> Path | None:
    if partial is None:
        return None
    cost, cache_use = partial.cost, partial.cache_use
    stages: list[Stage] = []
    servers: list[Server] = []
    step: _PartialPath | None = partial
    while step is not None and step.server is not None:
        facts = step.server.facts
        stages.append(Stage(facts.id, facts.address, step.first, step.last))
        servers.append(step.server)
        step = step.previous
    return Path(Route(tuple(reversed(stages))), tuple(reversed(servers)), cost, search.demand, cache_use)
