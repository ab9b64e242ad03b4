"""Pathfinding: ways through all layers of a model over what servers hold; plain functions.

The search is a shortest path over layers. Each request gets a way of its own:
what is under way on a server counts, so that requests spread over all servers
that hold a layer. See ``docs/design/placement.md``.
"""

from collections.abc import Callable, Iterable, Sequence

from bayglade.engines.wire import Stage
from bayglade.ids import HallName
from bayglade.models import Route
from bayglade.pipelines import Demand, Pipeline
from bayglade.reservations import Reservation
from bayglade.servers import Server

HOP_MS = 0.25
"""Cost of one more stage inside a hall: about the delay between two hosts there."""
MOST_USE = 0.95
"""Part of a server's KV cache that requests are sent to fill. What it holds of each differs from the
expected mean."""
CROWDING_POWER = 4
"""A stage costs as much more as its cache is full, by this power: little up to two thirds, five times
as much at the most. Requests go round it before it has to turn them away."""

Taken = Callable[[Server], float]
"""Returns what all daemons have in the KV cache of a server: tokens times layers."""
CostOf = Callable[[Server], float]
ReadingCost = Callable[[Server, int, int], float]
"""Returns what it costs a token more that a server has something to read through the layers from one to
another before it goes on."""
StageCosts = Callable[[int], tuple[float, float]]
CrossingCost = Callable[[HallName, HallName], float]
"""Returns the milliseconds that a hop to another hall adds to each token."""


class Path(Reservation):
    """One way through all layers for one request, with what it costs a token in milliseconds."""

    __slots__ = ("cost", "demand", "hall", "route", "use")

    def __init__(
        self, route: Route, servers: tuple[Server, ...], cost: float, demand: Demand, use: float
    ) -> None:
        super().__init__(servers)
        self.route = route
        self.cost = cost
        self.demand = demand
        self.hall = servers[0].facts.hall
        self.use = use
        """Part of the KV cache of its fullest stage that is taken, this request included."""

    def __repr__(self) -> str:
        return f"<Path {self.cost:.1f} ms {self.route!r}>"

    def text(self) -> str:
        """Write the stages in short."""
        return " ".join(f"{s.backend}[{s.first},{s.last})" for s in self.route.stages)

    def take(self, before: Sequence[Server] = ()) -> None:
        """Count the request on all servers of the path, and take it out of their limits.

        :param before: servers that run the request already.
        """
        self._count(1.0)
        super().take(before)

    def release(self) -> None:
        """Count the request no longer; if it did not go out, its servers may take another in its place."""
        self._count(-1.0)
        super().release()

    def _count(self, sign: float) -> None:
        for server, stage in zip(self.servers, self.route.stages, strict=True):
            server.cached += sign * self.demand.cached * (stage.last - stage.first)
        self.servers[0].in_flight += int(sign)


class Search:
    """What a search goes by: the model, the request, and what is under way on the servers.

    :param pipeline: facts of the model.
    :param demand: the request.
    :param taken: what all daemons have in the cache of a server.
    :param crossing: cost of a hop to another hall; none crosses when left out.
    :param limited: whether full servers are left out.
    :param crowding: whether a stage costs more the fuller its cache is.
    :param begin_ms: returns what a server costs a token more as the first stage.
    :param factor: returns by how much the cost of a server is taken higher than reckoned.
    :param reading: cost of what a stage has to read first: prompts of others, or the request anew.
    """

    __slots__ = (
        "begin_ms",
        "crossing",
        "crowding",
        "demand",
        "factor",
        "limited",
        "pipeline",
        "reading",
        "taken",
        "usual_cached",
    )

    def __init__(
        self,
        pipeline: Pipeline,
        demand: Demand,
        taken: Taken,
        crossing: CrossingCost | None = None,
        limited: bool = True,
        crowding: bool = True,
        begin_ms: CostOf | None = None,
        factor: CostOf | None = None,
        reading: ReadingCost | None = None,
    ) -> None:
        self.pipeline = pipeline
        self.demand = demand
        self.taken = taken
        self.crossing = crossing
        self.limited = limited
        self.crowding = crowding
        self.begin_ms = begin_ms
        self.factor = factor
        self.reading = reading
        self.usual_cached = pipeline.typical_request().cached

    def hop_ms(self, one: HallName | None, other: HallName) -> float:
        """Return the cost of handing a token on; nothing before the first stage."""
        if one is None:
            return 0.0
        if one == other:
            return HOP_MS
        return HOP_MS + self.crossing(one, other) if self.crossing is not None else float("inf")


class _Reach:
    """The cheapest known way to a layer: its last stage and the way before it."""

    __slots__ = ("before", "cost", "first", "last", "server", "use")

    def __init__(
        self, cost: float, server: Server | None, first: int, last: int, before: "_Reach | None", use: float
    ) -> None:
        self.cost = cost
        self.server = server
        self.first = first
        self.last = last
        self.before = before
        self.use = use


def by_hall(servers: Iterable[Server]) -> dict[HallName, list[Server]]:
    """Group servers by their data hall."""
    halls: dict[HallName, list[Server]] = {}
    for server in servers:
        halls.setdefault(server.facts.hall, []).append(server)
    return halls


def find_path(servers: Iterable[Server], search: Search) -> Path | None:
    """Find the cheapest path over some servers.

    :param servers: the servers that may be used.
    :param search: the request and what is under way.
    :return: the path, or nothing when they do not hold all layers or have no room.
    """
    return _path(_search(servers, search, _Reach(0.0, None, 0, 0, None, 0.0)), search)


def find_detour(path: Path, servers: Iterable[Server], search: Search) -> Path | None:
    """Find another way behind the first stage of a path.

    :param path: the path; its first stage stays as it is.
    :param servers: the servers that may be used behind it.
    :param search: the request and what is under way.
    :return: the path, or nothing when they do not hold the other layers or have no room.
    """
    stage = path.route.stages[0]
    start = _Reach(0.0, path.servers[0], stage.first, stage.last, None, 0.0)
    # A stage that stays as it is keeps its memory of the request only with the same layers.
    bounds = [stage.last for stage in path.route.stages]
    return _path(_search(servers, search, start, bounds), search)


def stage_costs(server: Server, search: Search, taken: float) -> StageCosts:
    """Return what a server costs as a stage, by how many of its layers the stage runs.

    A pass of a server serves all its requests together, so each waits for the
    work of all of them.

    :param server: the server, of a kind that the model runs on.
    :param search: the request.
    :param taken: what is in its cache already, in tokens times layers.
    :return: takes a number of layers; returns the milliseconds a token takes there, and how full the
        cache is then. The cost is infinite when the request does not fit.
    """
    facts, pipeline = server.facts, search.pipeline
    accelerator = facts.accelerator or ""
    size = pipeline.cache_capacity(accelerator, facts.layer_count)
    kind = pipeline.accelerators[accelerator]
    passing = taken / search.usual_cached
    shared = kind.step_factor * pipeline.request_ms * passing
    shared += kind.read_factor * pipeline.prefill_ms_per_step * passing
    each = kind.step_factor * pipeline.step_ms
    pace = server.pace / pipeline.layers
    cached = search.demand.cached
    known: dict[int, tuple[float, float]] = {}

    def cost(layers: int) -> tuple[float, float]:
        use = (taken + cached * layers) / size if size > 0 else float("inf")
        if use > MOST_USE:
            # One that is larger than the whole cache may run alone.
            if size <= 0 or (search.limited and taken > 0):
                return float("inf"), use
            use = MOST_USE
        time = (each * layers + shared) * pace
        return time / (1.0 - use**CROWDING_POWER) if search.crowding else time, use

    def costs(layers: int) -> tuple[float, float]:
        # Stages meet at many bounds, and many of them are as long as others.
        found = known.get(layers)
        if found is None:
            found = known[layers] = cost(layers)
        return found

    return costs


Ways = dict[int, dict[HallName | None, _Reach]]
"""The cheapest ways to each layer, by the hall in which they end."""


def _search(
    servers: Iterable[Server], search: Search, start: _Reach, bounds: Iterable[int] = ()
) -> _Reach | None:
    """Find the cheapest way from a start to the last layer.

    Servers are taken in the order of their last layers, so that no way comes
    back to a server that it has left.
    """
    fitting = [s for s in servers if s.facts.layer_count > 0 and s.facts.fits(search.pipeline)]
    fitting.sort(key=lambda s: (s.facts.last, s.facts.first, s.facts.id))
    hall = start.server.facts.hall if start.server is not None else None
    ways: Ways = {start.last: {hall: start}}
    # Stages meet where some server's layers begin or end: requests spread over servers
    # that hold the same layers, so none of these has to be divided.
    ends = {bound for s in fitting for bound in (s.facts.first, s.facts.last)}
    meeting = sorted(ends.union(bounds, {start.last}))
    for server in fitting:
        _extend(ways, server, meeting, search)
    found = ways.get(search.pipeline.layers, {})
    return min(found.values(), key=lambda reach: reach.cost, default=None)


def _extend(ways: Ways, server: Server, bounds: Sequence[int], search: Search) -> None:
    """Extend the known ways by one stage on a server."""
    facts = server.facts
    begins = [bound for bound in bounds if facts.first <= bound < facts.last and bound in ways]
    if not begins:
        return
    taken = search.taken(server)
    factor = 1.0 if search.factor is None else search.factor(server)
    costs = stage_costs(server, search, taken)
    ends = [bound for bound in bounds if begins[0] < bound <= facts.last]
    found: list[_Reach] = []
    for begin in begins:
        cost, before = min(
            ((way.cost + search.hop_ms(hall, facts.hall), way) for hall, way in ways[begin].items()),
            key=lambda entry: entry[0],
        )
        if before.server is None and search.begin_ms is not None:
            cost += search.begin_ms(server)
        for end in ends:
            if end <= begin:
                continue
            more, use = costs(end - begin)
            more *= factor
            if search.reading is not None:
                more += search.reading(server, begin, end)
            if cost + more < float("inf"):
                found.append(_Reach(cost + more, server, begin, end, before, max(use, before.use)))
    for reach in found:
        here = ways.setdefault(reach.last, {})
        known = here.get(facts.hall)
        if known is None or reach.cost < known.cost:
            here[facts.hall] = reach


def _path(reach: _Reach | None, search: Search) -> Path | None:
    if reach is None:
        return None
    cost, use = reach.cost, reach.use
    stages: list[Stage] = []
    servers: list[Server] = []
    step: _Reach | None = reach
    while step is not None and step.server is not None:
        facts = step.server.facts
        stages.append(Stage(facts.id, facts.address, step.first, step.last))
        servers.append(step.server)
        step = step.before
    return Path(Route(tuple(reversed(stages))), tuple(reversed(servers)), cost, search.demand, use)
