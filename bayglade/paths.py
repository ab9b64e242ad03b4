"""Paths: which way through the model a request takes.

A path inside the caller's data hall comes first. When that hall is short of
room or slow, the others are compared with it; only where no hall has a whole
way, stages of several halls make up one. See :mod:`bayglade.pathfinding`.
"""

import math
import random
from bisect import bisect_left
from collections.abc import Callable

from bayglade.clock import now
from bayglade.entries.wire import ServerLoad
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, HallName, ServerKey, ServiceName
from bayglade.mechanisms import Mechanism, Without
from bayglade.pathfinding import CostOf, Path, PrefillCost, Search, find_detour, find_path, group_by_hall
from bayglade.pipelines import Demand, Pipeline
from bayglade.pipes import Pipes
from bayglade.servers import SLOW_PACE, Server

SPILL_CACHE_USE = 0.75
"""How full the fullest stage of the own hall may be before other halls are compared with it."""
REMOTE_COST_FACTOR = 2.0
"""How many times as costly the own hall must be before another one is taken, and a hall before a way
over several: what is known of the others is a second old, and all daemons would move to the same one."""
COLD_FIRST_STAGE_MS = 2.0
"""What a first stage to which no connection rests costs more. Each new connection is paid for, and
by cost alone a daemon goes round all first stages of its hall: nearly a new one a request."""
COST_JITTER = 0.15
"""Part by which costs vary by chance: what is known of other daemons is seconds old, and without this
all of them find the same server the best one and fill it at once."""
WAIT_TOKENS = 8
"""Tokens over which a wait is set against the time of a token when stages are chosen: a wait makes an
answer late, a slower token does not, so fewer than most answers have."""
NO_LOAD = ServerLoad(BackendId(""), 0, 0)


class PathSelector:
    """The paths of one daemon's requests."""

    def __init__(
        self,
        fleet: Fleet,
        hall: HallName,
        without: Without = frozenset(),
        rng: random.Random | None = None,
    ) -> None:
        self.rng = rng
        self.has_idle_connection: Callable[[BackendId], bool] = lambda backend: True
        """Tells whether a connection to a server rests here."""

        self.fleet = fleet
        self.hall = hall
        self.without = without
        self.pipes = Pipes()
        self.remote_loads: Callable[[], dict[ServerKey, ServerLoad]] = dict
        """Returns what other daemons have under way on servers."""

        self.daemon_count: Callable[[], int] = lambda: 1
        """Returns how many daemons the hall has, whose callers come as those of this one do."""

    def __repr__(self) -> str:
        return f"<Paths in {self.hall}>"

    def choose(
        self,
        service: ServiceName,
        pipeline: Pipeline,
        demand: Demand,
        excluded: frozenset[BackendId] = frozenset(),
        first_stages: frozenset[BackendId] | None = None,
    ) -> Path | None:
        """Choose a path for one request, with room on all its servers.

        :param service: the service whose servers hold the model.
        :param pipeline: facts of the model.
        :param demand: the request.
        :param without: servers not to use.
        :param heads: the only servers that may be the first stage; any when left out.
        :return: the path, not taken yet; nothing when there is none with room.
        """
        loads = self.remote_loads()
        at = now()
        self._request_quota(service)
        usable = [
            s
            for s in self.fleet.usable(service)
            if s.facts.id not in excluded
            and s.short_until <= at
            and _has_room_as_first(s, loads.get(s.facts.key, NO_LOAD), first_stages)
        ]
        search = self._search_for(pipeline, demand, loads)
        halls = group_by_hall(usable)
        own = find_path(halls.pop(self.hall, []), search)
        if own is not None and not self._needs_comparison(own):
            return own
        others = [path for servers in halls.values() if (path := find_path(servers, search)) is not None]
        whole = _prefer_near(own, min(others, key=lambda path: path.cost, default=None))
        if whole is None or any(s.pace > SLOW_PACE for s in whole.servers):
            return _prefer_near(whole, self._find_across_halls(usable, search))
        return whole

    def _request_quota(self, service: ServiceName) -> None:
        """Have requests lent to the servers that name a limit, those of the own hall before others."""
        at = now()
        limited = [s for s in self.fleet.of(service) if s.throttle is not None and s.sound(at)]
        near = [server for server in limited if server.facts.hall == self.hall]
        self.fleet.rate_limits.want(near or limited)

    def _needs_comparison(self, own: Path) -> bool:
        """Tell whether other halls are compared with a path of the own one."""
        if Mechanism.SPILL in self.without:
            return False
        return own.cache_use > SPILL_CACHE_USE or any(s.pace > SLOW_PACE for s in own.servers)

    def take(self, path: Path, pipeline: Pipeline, previous: Path | None = None) -> None:
        """Count a request on the servers of its path and on the pipes that it crosses.

        :param path: a path that was found just now; released when the request leaves it.
        :param pipeline: facts of the model.
        :param before: the path that a running request leaves for it.
        """
        path.take(previous.servers if previous is not None else ())
        self.pipes.sends((server.facts.hall for server in path.servers), pipeline, path.demand)

    def seconds_until_covered(
        self,
        service: ServiceName,
        pipeline: Pipeline,
        excluded: frozenset[BackendId] = frozenset(),
        first_stages: frozenset[BackendId] | None = None,
    ) -> float | None:
        """Tell when servers that may be used hold all layers, whether or not they have room.

        :param service: the service whose servers hold the model.
        :param pipeline: facts of the model.
        :param without: servers not to use.
        :param heads: the only servers that may be the first stage; any when left out.
        :return: seconds until enough servers take requests again that do not now for their rests and
            limits; nothing when that alone does not help.
        """
        at = now()
        servers = [
            server
            for server in self.fleet.sound(service)
            if server.facts.id not in excluded and _allowed_as_first(server, first_stages)
        ]

        opens = {server.facts.id: server.opens_at(at) for server in servers}

        def covers(when: float) -> bool:
            return (
                find_path([s for s in servers if opens[s.facts.id] <= when], _coverage_search(pipeline))
                is not None
            )

        if covers(at):
            return 0.0
        openings = sorted({when for when in opens.values() if at < when < math.inf})
        index = bisect_left(openings, True, key=covers)
        return openings[index] - at if index < len(openings) else None

    def typical_by_hall(self, service: ServiceName, pipeline: Pipeline) -> list[Path]:
        """List the path that a usual request would take in each hall now, cheapest first."""
        search = Search(
            pipeline, pipeline.usual(), _total_cache_load(self.remote_loads()), enforce_capacity=False
        )
        found = [
            find_path(servers, search) for servers in group_by_hall(self.fleet.usable(service)).values()
        ]
        return sorted((path for path in found if path is not None), key=lambda path: path.cost)

    def detour(
        self,
        path: Path,
        service: ServiceName,
        pipeline: Pipeline,
        excluded: frozenset[BackendId],
        across_halls: bool = False,
    ) -> Path | None:
        """Find a path with the same first stage that avoids some servers.

        :param path: the path that a request is on.
        :param service: the service whose servers hold the model.
        :param pipeline: facts of the model.
        :param without: servers to avoid.
        :param across: whether stages of other halls may step in; all tokens so far cross the pipe then.
        :return: the path, not taken yet; nothing when there is none with room.
        """
        head = path.servers[0]
        if head.facts.id in excluded:
            return None
        at = now()
        self._request_quota(service)
        usable = [
            s
            for s in self.fleet.sound(service)
            # A stage that takes nothing new goes on with what it runs.
            if s.facts.id not in excluded and s is not head and (s.opens_at(at) <= at or s in path.servers)
        ]
        search = self._search_for(pipeline, path.demand, self.remote_loads())
        search.prefill_cost = _replay_cost(path, search, excluded)
        halls = {server.facts.hall for server in path.servers}
        within_halls = find_detour(path, [s for s in usable if s.facts.hall in halls], search)
        return within_halls or (self._find_across_halls(usable, search, path) if across_halls else None)

    def _search_for(self, pipeline: Pipeline, demand: Demand, loads: dict[ServerKey, ServerLoad]) -> Search:
        """Return a search that goes by what is under way here and at other daemons."""
        return Search(
            pipeline,
            demand,
            _total_cache_load(loads),
            crowding=Mechanism.CROWDING not in self.without,
            first_stage_ms=self._first_stage_ms(pipeline, demand),
            cost_factor=None if Mechanism.CHANCE in self.without else self._jitter,
        )

    def _first_stage_ms(self, pipeline: Pipeline, demand: Demand) -> CostOf:
        """Return what a server costs a token more as the first stage: a new connection, and prompts that
        wait to be read there.

        After a loss of power of all, callers come back within some tenths of a second; their prompts would
        all wait at the quickest first stage of a hall, past their aim. Other daemons are taken to have as
        much to read as this one, but for one request, as requests usually come one by one.
        """

        def begin_ms(server: Server) -> float:
            cold = Mechanism.WARM not in self.without and not self.has_idle_connection(server.facts.id)
            ahead = max(0, server.unread - 1) * self.daemon_count()
            kind = server.facts.accelerator or ""
            prefill_ms = pipeline.reading_time(kind, demand.prompt, server.facts.held) if ahead else 0.0
            return (COLD_FIRST_STAGE_MS if cold else 0.0) + ahead * prefill_ms / WAIT_TOKENS

        return begin_ms

    def _jitter(self, server: Server) -> float:
        return 1.0 if self.rng is None else self.rng.uniform(1.0, 1.0 + COST_JITTER)

    def _find_across_halls(
        self, usable: list[Server], search: Search, path: Path | None = None
    ) -> Path | None:
        """Find a path over several halls, or such a way behind the first stage of a path."""
        if Mechanism.CROSSING in self.without:
            return None
        pipeline, demand = search.pipeline, search.demand

        def crossing(one: HallName, other: HallName) -> float:
            return self.pipes.crossing_ms(one, other, pipeline, demand)

        wide = Search(
            pipeline,
            demand,
            search.cache_load,
            crossing,
            search.enforce_capacity,
            search.crowding,
            search.first_stage_ms,
            search.cost_factor,
        )
        wide.prefill_cost = search.prefill_cost
        return find_path(usable, wide) if path is None else find_detour(path, usable, wide)


def _replay_cost(path: Path, search: Search, excluded: frozenset[BackendId]) -> PrefillCost:
    """Return the cost of reading a running request's tokens anew, where a stage does not stay as it is.

    All requests on a lost stage move at once, and each server reads those of all that move to it. By the
    cost of a token alone all would move to the few quickest servers and read many more layers anew than
    were lost.
    """
    pipeline = search.pipeline
    kept_spans = {
        server.facts.id: (stage.first, stage.last)
        for server, stage in zip(path.servers, path.route.stages, strict=True)
    }
    abandoned = [server for server in path.servers if server.facts.id in excluded]
    moving_requests = max(
        [1.0, *(search.cache_load(s) / (pipeline.usual().cached * max(1, s.facts.held)) for s in abandoned)]
    )

    def reading(server: Server, first: int, last: int) -> float:
        if kept_spans.get(server.facts.id) == (first, last):
            return 0.0
        kind = server.facts.accelerator or ""
        return moving_requests * pipeline.reading_time(kind, path.demand.cached, last - first) / WAIT_TOKENS

    return reading


def _prefer_near(near: Path | None, far: Path | None) -> Path | None:
    """Return the near one of two paths, unless the far one is a good deal cheaper."""
    if near is None or far is None:
        return near or far
    return near if near.cost <= REMOTE_COST_FACTOR * far.cost else far


def _total_cache_load(loads: dict[ServerKey, ServerLoad]) -> Callable[[Server], float]:
    def taken(server: Server) -> float:
        load = loads.get(server.facts.key)
        return server.cached + (load.cached if load is not None else 0.0)

    return taken


def _coverage_search(pipeline: Pipeline) -> Search:
    """Return a search that looks at nothing but which layers are held."""
    return Search(pipeline, pipeline.usual(), lambda _: 0.0, lambda one, other: 0.0, enforce_capacity=False)


def _has_room_as_first(server: Server, load: ServerLoad, first_stages: frozenset[BackendId] | None) -> bool:
    """Tell whether a server may be used, given that it would be the first stage if it can be."""
    if server.facts.first > 0:
        return True
    return _allowed_as_first(server, first_stages) and server.in_flight + load.heads < server.facts.slots


def _allowed_as_first(server: Server, first_stages: frozenset[BackendId] | None) -> bool:
    """Tell whether a server is no first stage, or one that a request may be sent to."""
    return server.facts.first > 0 or first_stages is None or server.facts.id in first_stages
