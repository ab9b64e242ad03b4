"""Choice of the path of a request: which servers run which layers of the model.

A path inside the daemon's own data hall is preferred. Other halls are compared
only when that hall is nearly full or slow, and a path across several halls is
used only when no single hall can run all layers well. The search itself is in
:mod:`bayglade.pathfinding`.
"""

import math
import random
from bisect import bisect_left
from collections.abc import Callable

from bayglade.clock import now
from bayglade.entries.wire import ServerLoad
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, HallName, ServerKey, ServiceName
from bayglade.mechanisms import DisabledMechanisms, Mechanism
from bayglade.pathfinding import CostOf, Path, PrefillCost, Search, find_detour, find_path, group_by_hall
from bayglade.pipelines import Demand, Pipeline
from bayglade.pipes import Pipes
from bayglade.servers import SLOW_PACE, Server

SPILL_CACHE_USE = 0.75
"""Cache use of the own hall's fullest stage above which other halls are compared with it."""
REMOTE_COST_FACTOR = 2.0
"""The own hall must cost this many times as much before another one is used, and a single hall before a
path across several. Data about other halls is a second old, and without this margin all daemons would
move to the same hall at once."""
COLD_FIRST_STAGE_MS = 2.0
"""Extra cost of a first stage without an idle connection. Opening connections is billed, and by cost
alone a daemon would rotate over all first stages of its hall and open nearly one per request."""
COST_JITTER = 0.15
"""Random part of the cost of a server. Data about other daemons is seconds old; without jitter all daemons
would pick the same best server and fill it at once."""
WAIT_TOKENS = 8
"""Tokens over which a one-time wait is spread when it is compared with a cost per token. Fewer than most
answers have, because a wait can make an answer late and a somewhat slower token does not."""
NO_LOAD = ServerLoad(BackendId(""), 0, 0)
"""Stands for a server on which other daemons have put no load."""


class PathSelector:
    """Selects the paths of one daemon's requests."""

    def __init__(
        self,
        fleet: Fleet,
        hall: HallName,
        without: DisabledMechanisms = frozenset(),
        rng: random.Random | None = None,
    ) -> None:
        self.rng = rng
        self.has_idle_connection: Callable[[BackendId], bool] = lambda backend: True
        """Returns whether this daemon holds an idle connection to a server."""

        self.fleet = fleet
        self.hall = hall
        self.without = without
        self.pipes = Pipes()
        self.remote_loads: Callable[[], dict[ServerKey, ServerLoad]] = dict
        """Returns the load that other daemons have put on the servers."""

        self.daemon_count: Callable[[], int] = lambda: 1
        """Returns the number of daemons in this hall; they are assumed to receive similar traffic."""

    def __repr__(self) -> str:
        return f"<PathSelector in {self.hall}>"

    def choose(
        self,
        service: ServiceName,
        pipeline: Pipeline,
        demand: Demand,
        excluded: frozenset[BackendId] = frozenset(),
        first_stages: frozenset[BackendId] | None = None,
    ) -> Path | None:
        """Choose a path with room on all its servers.

        :param service: the service whose servers hold the model.
        :param pipeline: facts of the model.
        :param demand: the size of the request.
        :param excluded: servers that must not be used.
        :param first_stages: the only servers allowed as the first stage; any if omitted.
        :return: the path, not yet reserved, or None if there is none with room.
        """
        loads = self.remote_loads()
        at = now()
        self._request_quota(service)
        usable = [
            s
            for s in self.fleet.usable(service)
            if s.facts.id not in excluded
            and s.full_until <= at
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
        """Request quota for rate-limited servers; those of the own hall take precedence."""
        at = now()
        limited = [s for s in self.fleet.of_service(service) if s.throttle is not None and s.healthy(at)]
        near = [server for server in limited if server.facts.hall == self.hall]
        self.fleet.rate_limits.request_tokens(near or limited)

    def _needs_comparison(self, own: Path) -> bool:
        """Return whether other halls should be compared with a path of the own hall."""
        if Mechanism.SPILL in self.without:
            return False
        return own.cache_use > SPILL_CACHE_USE or any(s.pace > SLOW_PACE for s in own.servers)

    def reserve(self, path: Path, pipeline: Pipeline, previous: Path | None = None) -> None:
        """Reserve a path: count a request on its servers, and on the inter-hall pipes that it crosses.

        :param path: a path that was just found; the request releases it when it ends or moves.
        :param pipeline: facts of the model.
        :param previous: the path that a running request leaves for this one.
        """
        path.take(previous.servers if previous is not None else ())
        self.pipes.record((server.facts.hall for server in path.servers), pipeline, path.demand)

    def seconds_until_covered(
        self,
        service: ServiceName,
        pipeline: Pipeline,
        excluded: frozenset[BackendId] = frozenset(),
        first_stages: frozenset[BackendId] | None = None,
    ) -> float | None:
        """Return when the permitted servers cover all layers, whether or not they have room.

        :param service: the service whose servers hold the model.
        :param pipeline: facts of the model.
        :param excluded: servers that must not be used.
        :param first_stages: the only servers allowed as the first stage; any if omitted.
        :return: seconds until enough of the servers that pause or are rate-limited accept requests
            again; None if that alone is not enough.
        """
        at = now()
        servers = [
            server
            for server in self.fleet.healthy(service)
            if server.facts.id not in excluded and _allowed_as_first(server, first_stages)
        ]

        opens = {server.facts.id: server.available_at(at) for server in servers}

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
        """Return the path that a typical request would take in each hall now, cheapest first."""
        search = Search(
            pipeline,
            pipeline.typical_request(),
            _total_cache_load(self.remote_loads()),
            enforce_capacity=False,
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

        :param path: the current path of a request.
        :param service: the service whose servers hold the model.
        :param pipeline: facts of the model.
        :param excluded: servers to avoid.
        :param across_halls: whether stages of other halls may be used; all tokens so far are then
            transferred between halls.
        :return: the path, not yet reserved, or None if there is none with room.
        """
        head = path.servers[0]
        if head.facts.id in excluded:
            return None
        at = now()
        self._request_quota(service)
        usable = [
            s
            for s in self.fleet.healthy(service)
            # A stage that accepts no new requests still continues those that it runs.
            if s.facts.id not in excluded
            and s is not head
            and (s.available_at(at) <= at or s in path.servers)
        ]
        search = self._search_for(pipeline, path.demand, self.remote_loads())
        search.prefill_cost = _replay_cost(path, search, excluded)
        halls = {server.facts.hall for server in path.servers}
        within_halls = find_detour(path, [s for s in usable if s.facts.hall in halls], search)
        return within_halls or (self._find_across_halls(usable, search, path) if across_halls else None)

    def _search_for(self, pipeline: Pipeline, demand: Demand, loads: dict[ServerKey, ServerLoad]) -> Search:
        """Return the inputs of a search over the load of this and all other daemons."""
        return Search(
            pipeline,
            demand,
            _total_cache_load(loads),
            crowding=Mechanism.CROWDING not in self.without,
            first_stage_ms=self._first_stage_ms(pipeline, demand),
            cost_factor=None if Mechanism.CHANCE in self.without else self._jitter,
        )

    def _first_stage_ms(self, pipeline: Pipeline, demand: Demand) -> CostOf:
        """Return the extra cost of a server as the first stage: a new connection, and queued prefills.

        After a power loss of a whole site all callers come back within some tenths of a second. Without
        this cost their prompts would queue at the fastest first stage of a hall and miss their latency
        objective. Other daemons are assumed to have as many prompts queued there as this one, apart
        from one, because requests usually arrive one at a time.
        """

        def first_stage_ms(server: Server) -> float:
            cold = Mechanism.WARM not in self.without and not self.has_idle_connection(server.facts.id)
            ahead = max(0, server.unanswered - 1) * self.daemon_count()
            kind = server.facts.accelerator or ""
            prefill_time = (
                pipeline.prefill_ms(kind, demand.prompt, server.facts.layer_count) if ahead else 0.0
            )
            return (COLD_FIRST_STAGE_MS if cold else 0.0) + ahead * prefill_time / WAIT_TOKENS

        return first_stage_ms

    def _jitter(self, server: Server) -> float:
        return 1.0 if self.rng is None else self.rng.uniform(1.0, 1.0 + COST_JITTER)

    def _find_across_halls(
        self, usable: list[Server], search: Search, path: Path | None = None
    ) -> Path | None:
        """Find a path across several halls, or one behind the first stage of an existing path."""
        if Mechanism.CROSSING in self.without:
            return None
        pipeline, demand = search.pipeline, search.demand

        def pipe_ms(one: HallName, other: HallName) -> float:
            return self.pipes.crossing_cost_ms(one, other, pipeline, demand)

        wide = Search(
            pipeline,
            demand,
            search.cache_load,
            pipe_ms,
            search.enforce_capacity,
            search.crowding,
            search.first_stage_ms,
            search.cost_factor,
        )
        wide.prefill_cost = search.prefill_cost
        return find_path(usable, wide) if path is None else find_detour(path, usable, wide)


def _replay_cost(path: Path, search: Search, excluded: frozenset[BackendId]) -> PrefillCost:
    """Return the cost of prefilling a running request's tokens again, for stages that change.

    All requests on a lost stage move at once, and a server has to prefill every request that moves to it.
    By the cost per token alone, all would move to the few fastest servers and prefill many more layers
    than were lost.
    """
    pipeline = search.pipeline
    kept_spans = {
        server.facts.id: (stage.first, stage.last)
        for server, stage in zip(path.servers, path.route.stages, strict=True)
    }
    abandoned = [server for server in path.servers if server.facts.id in excluded]
    moving_requests = max(
        [
            1.0,
            *(
                search.cache_load(s) / (pipeline.typical_request().cached * max(1, s.facts.layer_count))
                for s in abandoned
            ),
        ]
    )

    def replay_cost(server: Server, first: int, last: int) -> float:
        if kept_spans.get(server.facts.id) == (first, last):
            return 0.0
        kind = server.facts.accelerator or ""
        return moving_requests * pipeline.prefill_ms(kind, path.demand.cached, last - first) / WAIT_TOKENS

    return replay_cost


def _prefer_near(near: Path | None, far: Path | None) -> Path | None:
    """Return the nearer of two paths, unless the farther one is much cheaper."""
    if near is None or far is None:
        return near or far
    return near if near.cost <= REMOTE_COST_FACTOR * far.cost else far


def _total_cache_load(loads: dict[ServerKey, ServerLoad]) -> Callable[[Server], float]:
    def total(server: Server) -> float:
        load = loads.get(server.facts.key)
        return server.cached + (load.cached if load is not None else 0.0)

    return total


def _coverage_search(pipeline: Pipeline) -> Search:
    """Return a search that considers only which layers are held, neither load nor cost."""
    return Search(
        pipeline, pipeline.typical_request(), lambda _: 0.0, lambda one, other: 0.0, enforce_capacity=False
    )


def _has_room_as_first(server: Server, load: ServerLoad, first_stages: frozenset[BackendId] | None) -> bool:
    """Return whether a server may be used; slots only count for servers that hold the first layer."""
    if server.facts.first > 0:
        return True
    return _allowed_as_first(server, first_stages) and server.in_flight + load.heads < server.facts.slots


def _allowed_as_first(server: Server, first_stages: frozenset[BackendId] | None) -> bool:
    """Return whether a server holds no first layer, or is allowed as the first stage."""
    return server.facts.first > 0 or first_stages is None or server.facts.id in first_stages
