"""Pathfinding: ways through all layers of a model over what servers hold; plain functions.

The search is a shortest path over layers; see ``docs/design/placement.md``.
"""

from collections.abc import Iterable, Sequence
from itertools import count

from bayglade.clock import now
from bayglade.engines.wire import Stage
from bayglade.fleet import Server
from bayglade.ids import HallName
from bayglade.models import Route
from bayglade.pipelines import Pipeline

HOP_MS = 0.25
"""Cost of one more stage inside a hall: about the delay between two hosts there."""
CROSSING_MS = 20.0
"""Cost of a hop to another hall: measured, a path over all halls takes 10 to 30 times as long."""
ABROAD_MS = 25.0
"""Cost of running a whole request in another hall: enough that halls of unequal speed keep to
their own callers while they can, so that no hall gets the requests of all."""
PRESSURE_MS = 4.0
"""Cost of a stage whose free memory holds half of the tokens that it should."""
FULL_COST = 3.0
"""How many times as costly a path counts that is full by what all daemons tell."""
FULL_USE = 1.15
"""Part of the usual requests that fit from which on a path counts as full: what runs is on average
half-way through its answer, and takes that much less than a whole request."""
LEAST_REQUEST = 100.0
"""Tokens that a request takes at least, where the operator does not say what is usual."""
MAX_PATHS = 4
"""Paths that are kept for each hall."""


_numbers = count(1)


class Path:
    """One way through all layers, with what it costs a token; times are milliseconds."""

    __slots__ = ("capacity", "cost", "hall", "number", "route", "servers")

    def __init__(
        self, route: Route, servers: tuple[Server, ...], cost: float, capacity: float = float("inf")
    ) -> None:
        self.route = route
        self.servers = servers
        self.cost = cost
        self.hall = servers[0].facts.hall
        self.number = next(_numbers)
        """Names the path in logs, where its stages would fill the line of each request."""

        self.capacity = capacity
        """Requests of the usual size that fit at once."""

    def __repr__(self) -> str:
        return f"<Path {self.cost:.1f} ms {self.route!r}>"

    def text(self) -> str:
        """Write the stages in short."""
        return " ".join(f"{s.backend}[{s.first},{s.last})" for s in self.route.stages)

    def used(self, elsewhere: int) -> float:
        """Return which part of what fits is under way.

        :param elsewhere: requests that other daemons have under way here.
        """
        return (self.servers[0].in_flight + elsewhere) / self.capacity

    def short(self, at: float) -> bool:
        """Tell whether a stage turned requests away just now."""
        return any(server.short_until > at for server in self.servers)

    def score(self, own: HallName, elsewhere: int) -> float:
        """Return what one more request here costs.

        :param own: the daemon's hall.
        :param elsewhere: requests that other daemons have under way here.
        """
        used = FULL_USE if self.short(now()) else self.used(elsewhere)
        cost = self.cost + (ABROAD_MS if self.hall != own else 0.0)
        return cost * (1.0 + used) * (FULL_COST if used >= 1.0 else 1.0)


class _Reach:
    """The cheapest known way to a layer: its last stage and the way before it."""

    __slots__ = ("before", "cost", "first", "last", "server")

    def __init__(
        self, cost: float, server: Server | None, first: int, last: int, before: "_Reach | None"
    ) -> None:
        self.cost = cost
        self.server = server
        self.first = first
        self.last = last
        self.before = before


def hall_paths(servers: Sequence[Server], pipeline: Pipeline) -> list[Path]:
    """Find the paths inside one hall, no two over the same server.

    :param servers: the servers of the hall that may be used.
    :param pipeline: facts of the model.
    :return: paths, cheapest first; none when they do not hold all layers.
    """
    paths: list[Path] = []
    left = list(servers)
    while len(paths) < MAX_PATHS:
        path = find_path(left, pipeline)
        if path is None:
            break
        paths.append(path)
        left = [server for server in left if server not in path.servers]
    if len(paths) >= _most_paths(servers, pipeline):
        return paths
    # The cheapest paths took servers that others cannot do without.
    found = [find_path(group, pipeline) for group in _disjoint_groups(servers, pipeline)]
    return sorted((path for path in found if path is not None), key=lambda path: path.cost)


def _most_paths(servers: Sequence[Server], pipeline: Pipeline) -> int:
    """Return how many paths there can be without a common server: the least times a layer is held."""
    holders = [0] * pipeline.layers
    for server in _fitting(servers, pipeline):
        for layer in range(server.facts.first, min(server.facts.last, pipeline.layers)):
            holders[layer] += 1
    return min(MAX_PATHS, *holders)


def _disjoint_groups(servers: Sequence[Server], pipeline: Pipeline) -> list[list[Server]]:
    """Divide servers into as many groups as can each hold all layers.

    The group that has come least far takes the free server that brings it
    furthest, until all have come to the last layer; that finds the largest
    number of groups, since a stage may run any part of what its server holds.
    Servers that are left over join the group of one that holds the same layers.
    """
    free = sorted(_fitting(servers, pipeline), key=lambda s: (-s.facts.last, s.facts.first, s.facts.id))
    groups: list[list[Server]] = [[] for _ in range(_most_paths(servers, pipeline))]
    ends = [0] * len(groups)
    while groups and min(ends) < pipeline.layers:
        last = min(ends)
        at = ends.index(last)
        taken = next((s for s in free if s.facts.first <= last < s.facts.last), None)
        if taken is None:
            # Not to be had: the number of groups is the least number of holders of a layer.
            return []
        free.remove(taken)
        groups[at].append(taken)
        ends[at] = taken.facts.last
    for server in free:
        span = (server.facts.first, server.facts.last)
        twins = [g for g in groups if any((s.facts.first, s.facts.last) == span for s in g)]
        min(twins or groups, key=len).append(server)
    return groups


def mixed_path(servers: Sequence[Server], paths: Sequence[Path], pipeline: Pipeline) -> Path | None:
    """Find a path over halls that do not hold the model alone.

    :param servers: all servers that may be used.
    :param paths: the paths inside halls.
    :param pipeline: facts of the model.
    :return: the path, or nothing.
    """
    served = {path.hall for path in paths}
    others = [server for server in servers if server.facts.hall not in served]
    return find_path(others, pipeline) or (None if paths else find_path(servers, pipeline))


def find_paths(servers: Sequence[Server], pipeline: Pipeline) -> list[Path]:
    """Find the paths of a fleet: those inside each hall, and one over halls that have none.

    :param servers: the servers that may be used.
    :param pipeline: facts of the model.
    :return: paths, cheapest first.
    """
    paths = [path for hall in by_hall(servers).values() for path in hall_paths(hall, pipeline)]
    mixed = mixed_path(servers, paths, pipeline)
    return sorted([*paths, mixed] if mixed is not None else paths, key=lambda path: path.cost)


def by_hall(servers: Iterable[Server]) -> dict[HallName, list[Server]]:
    """Group servers by their data hall."""
    halls: dict[HallName, list[Server]] = {}
    for server in servers:
        halls.setdefault(server.facts.hall, []).append(server)
    return halls


def find_path(servers: Iterable[Server], pipeline: Pipeline) -> Path | None:
    """Find the cheapest path over some servers.

    :param servers: the servers that may be used.
    :param pipeline: facts of the model.
    :return: the path, or nothing when they do not hold all layers.
    """
    reach = _search(servers, pipeline, _Reach(0.0, None, 0, 0, None))
    return _path(reach, pipeline) if reach is not None else None


def find_detour(path: Path, servers: Iterable[Server], pipeline: Pipeline) -> Path | None:
    """Find another way behind the first stage of a path.

    :param path: the path; its first stage stays as it is.
    :param servers: the servers that may be used behind it.
    :param pipeline: facts of the model.
    :return: the path, or nothing when they do not hold the other layers.
    """
    stage = path.route.stages[0]
    start = _Reach(0.0, path.servers[0], stage.first, stage.last, None)
    rest = _search(servers, pipeline, start)
    return _path(rest, pipeline) if rest is not None else None


def stage_cost(server: Server, pipeline: Pipeline, layers: int) -> float:
    """Return the milliseconds a token takes on a stage, dearer where memory is short.

    :param server: the server.
    :param pipeline: facts of the model.
    :param layers: how many of its layers the stage runs.
    """
    facts = server.facts
    assert facts.accelerator is not None
    kind = pipeline.accelerators[facts.accelerator]
    time = pipeline.step_ms * kind.step_factor * server.pace * layers / pipeline.layers
    room = pipeline.room(facts.accelerator, facts.held, layers)
    if room <= 0:
        return float("inf")
    shortage = max(0.0, pipeline.token_capacity / room - 1.0)
    return time + PRESSURE_MS * shortage * shortage


def _search(servers: Iterable[Server], pipeline: Pipeline, start: _Reach) -> _Reach | None:
    """Find the cheapest way from a start to the last layer.

    Servers are taken in the order of their last layers, so that no way comes
    back to a server that it has left.
    """
    fitting = _fitting(servers, pipeline)
    fitting.sort(key=lambda s: (s.facts.last, s.facts.first, s.facts.id))
    reached: dict[int, dict[HallName | None, _Reach]] = {}
    hall = start.server.facts.hall if start.server is not None else None
    reached[start.last] = {hall: start}
    for server in fitting:
        _extend(reached, server, pipeline)
    ends = reached.get(pipeline.layers, {})
    return min(ends.values(), key=lambda reach: reach.cost, default=None)


def _fitting(servers: Iterable[Server], pipeline: Pipeline) -> list[Server]:
    """Return the servers that hold layers, on kinds of accelerators that are known."""
    return [s for s in servers if s.facts.held > 0 and s.facts.accelerator in pipeline.accelerators]


def _extend(reached: dict[int, dict[HallName | None, _Reach]], server: Server, pipeline: Pipeline) -> None:
    """Extend the known ways by one stage on a server."""
    facts = server.facts
    costs = [stage_cost(server, pipeline, n) for n in range(1, facts.held + 1)]
    found: list[_Reach] = []
    for position in range(facts.first, facts.last):
        ways = reached.get(position)
        if not ways:
            continue
        cost, before = min(
            ((way.cost + _hop(hall, facts.hall), way) for hall, way in ways.items()),
            key=lambda entry: entry[0],
        )
        found.extend(
            _Reach(cost + costs[end - position - 1], server, position, end, before)
            for end in range(position + 1, facts.last + 1)
        )
    for reach in found:
        ways = reached.setdefault(reach.last, {})
        known = ways.get(facts.hall)
        if known is None or reach.cost < known.cost:
            ways[facts.hall] = reach


def _hop(one: HallName | None, other: HallName) -> float:
    if one is None:
        return 0.0
    return HOP_MS if one == other else CROSSING_MS


def _path(reach: _Reach, pipeline: Pipeline) -> Path:
    cost = reach.cost
    stages: list[Stage] = []
    servers: list[Server] = []
    room = float("inf")
    step: _Reach | None = reach
    while step is not None and step.server is not None:
        facts = step.server.facts
        stages.append(Stage(facts.id, facts.address, step.first, step.last))
        servers.append(step.server)
        room = min(room, pipeline.room(facts.accelerator or "", facts.held, step.last - step.first))
        step = step.before
    usual = max(LEAST_REQUEST, float(pipeline.typical_prompt + pipeline.typical_answer))
    route = Route(tuple(reversed(stages)))
    # The first stage takes no more requests than it has slots for.
    capacity = min(room / usual, float(servers[-1].facts.slots))
    return Path(route, tuple(reversed(servers)), cost, max(1.0, capacity))
