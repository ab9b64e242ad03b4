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
from bayglade.mechanisms import DisabledMechanisms, Mechanism
from bayglade.pathfinding import CostOf, Path, ReadingCost, Search, by_hall, find_detour, find_path
from bayglade.pipelines import Demand, Pipeline
from bayglade.pipes import Pipes
from bayglade.servers import SLOW_PACE, Server

SPILL_USE = 0.75
"""How full the fullest stage of the own hall may be before other halls are compared with it."""
ABROAD_FACTOR = 2.0
"""How many times as costly the own hall must be before another one is taken, and a hall before a way
over several: what is known of the others is a second old, and all daemons would move to the same one."""
COLD_BEGIN_MS = 2.0
"""What a first stage to which no connection rests costs more. Each new connection is paid for, and
by cost alone a daemon goes round all first stages of its hall: nearly a new one a request."""
CHANCE = 0.15
"""Part by which costs vary by chance: what is known of other daemons is seconds old, and without this
all of them find the same server the best one and fill it at once."""
PAUSE_TOKENS = 8
"""Tokens over which a wait is set against the time of a token when stages are chosen: a wait makes an
answer late, a slower token does not, so fewer than most answers have."""
NO_LOAD = ServerLoad(BackendId(""), 0, 0)


class Paths:
    """The paths of one daemon's requests."""

    def __init__(
        self,
        fleet: Fleet,
        hall: HallName,
        without: DisabledMechanisms = frozenset(),
        rng: random.Random | None = None,
    ) -> None:
        self.rng = rng
        self.warm: Callable[[BackendId], bool] = lambda backend: True
        """Tells whether a connection to a server rests here."""

        self.fleet = fleet
        self.hall = hall
        self.without = without
        self.pipes = Pipes()
        self.elsewhere: Callable[[], dict[ServerKey, ServerLoad]] = dict
        """Returns what other daemons have under way on servers."""

        self.daemons: Callable[[], int] = lambda: 1
        """Returns how many daemons the hall has, whose callers come as those of this one do."""

    def __repr__(self) -> str:
        return f"<Paths in {self.hall}>"

    def choose(
        self,
        service: ServiceName,
        pipeline: Pipeline,
        demand: Demand,
        without: frozenset[BackendId] = frozenset(),
        heads: frozenset[BackendId] | None = None,
    ) -> Path | None:
        """Choose a path for one request, with room on all its servers.

        :param service: the service whose servers hold the model.
        :param pipeline: facts of the model.
        :param demand: the request.
        :param without: servers not to use.
        :param heads: the only servers that may be the first stage; any when left out.
        :return: the path, not taken yet; nothing when there is none with room.
        """
        loads = self.elsewhere()
        at = now()
        self._want(service)
        usable = [
            s
            for s in self.fleet.usable(service)
            if s.facts.id not in without
            and s.full_until <= at
            and _may_begin(s, loads.get(s.facts.key, NO_LOAD), heads)
        ]
        search = self._search(pipeline, demand, loads)
        halls = by_hall(usable)
        own = find_path(halls.pop(self.hall, []), search)
        if own is not None and not self._compared(own):
            return own
        others = [path for servers in halls.values() if (path := find_path(servers, search)) is not None]
        whole = _cheapest(own, min(others, key=lambda path: path.cost, default=None))
        if whole is None or any(s.pace > SLOW_PACE for s in whole.servers):
            return _cheapest(whole, self._crossing(usable, search))
        return whole

    def _want(self, service: ServiceName) -> None:
        """Have requests lent to the servers that name a limit, those of the own hall before others."""
        at = now()
        limited = [s for s in self.fleet.of_service(service) if s.throttle is not None and s.healthy(at)]
        near = [server for server in limited if server.facts.hall == self.hall]
        self.fleet.rate_limits.want(near or limited)

    def _compared(self, own: Path) -> bool:
        """Tell whether other halls are compared with a path of the own one."""
        if Mechanism.SPILL in self.without:
            return False
        return own.use > SPILL_USE or any(s.pace > SLOW_PACE for s in own.servers)

    def take(self, path: Path, pipeline: Pipeline, before: Path | None = None) -> None:
        """Count a request on the servers of its path and on the pipes that it crosses.

        :param path: a path that was found just now; released when the request leaves it.
        :param pipeline: facts of the model.
        :param before: the path that a running request leaves for it.
        """
        path.take(before.servers if before is not None else ())
        self.pipes.record((server.facts.hall for server in path.servers), pipeline, path.demand)

    def covered_in(
        self,
        service: ServiceName,
        pipeline: Pipeline,
        without: frozenset[BackendId] = frozenset(),
        heads: frozenset[BackendId] | None = None,
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
            for server in self.fleet.healthy(service)
            if server.facts.id not in without and _may_lead(server, heads)
        ]

        opens = {server.facts.id: server.available_at(at) for server in servers}

        def covers(when: float) -> bool:
            return (
                find_path([s for s in servers if opens[s.facts.id] <= when], _unlimited(pipeline))
                is not None
            )

        if covers(at):
            return 0.0
        ends = sorted({when for when in opens.values() if at < when < math.inf})
        index = bisect_left(ends, True, key=covers)
        return ends[index] - at if index < len(ends) else None

    def of_halls(self, service: ServiceName, pipeline: Pipeline) -> list[Path]:
        """List the path that a usual request would take in each hall now, cheapest first."""
        search = Search(pipeline, pipeline.typical_request(), _taken(self.elsewhere()), limited=False)
        found = [find_path(servers, search) for servers in by_hall(self.fleet.usable(service)).values()]
        return sorted((path for path in found if path is not None), key=lambda path: path.cost)

    def detour(
        self,
        path: Path,
        service: ServiceName,
        pipeline: Pipeline,
        without: frozenset[BackendId],
        across: bool = False,
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
        if head.facts.id in without:
            return None
        at = now()
        self._want(service)
        usable = [
            s
            for s in self.fleet.healthy(service)
            # A stage that takes nothing new goes on with what it runs.
            if s.facts.id not in without
            and s is not head
            and (s.available_at(at) <= at or s in path.servers)
        ]
        search = self._search(pipeline, path.demand, self.elsewhere())
        search.reading = _reading(path, search, without)
        halls = {server.facts.hall for server in path.servers}
        here = find_detour(path, [s for s in usable if s.facts.hall in halls], search)
        return here or (self._crossing(usable, search, path) if across else None)

    def _search(self, pipeline: Pipeline, demand: Demand, loads: dict[ServerKey, ServerLoad]) -> Search:
        """Return a search that goes by what is under way here and at other daemons."""
        return Search(
            pipeline,
            demand,
            _taken(loads),
            crowding=Mechanism.CROWDING not in self.without,
            begin_ms=self._begin_ms(pipeline, demand),
            factor=None if Mechanism.CHANCE in self.without else self._chance,
        )

    def _begin_ms(self, pipeline: Pipeline, demand: Demand) -> CostOf:
        """Return what a server costs a token more as the first stage: a new connection, and prompts that
        wait to be read there.

        After a loss of power of all, callers come back within some tenths of a second; their prompts would
        all wait at the quickest first stage of a hall, past their aim. Other daemons are taken to have as
        much to read as this one, but for one request, as requests usually come one by one.
        """

        def begin_ms(server: Server) -> float:
            cold = Mechanism.WARM not in self.without and not self.warm(server.facts.id)
            ahead = max(0, server.unanswered - 1) * self.daemons()
            kind = server.facts.accelerator or ""
            reading = pipeline.prefill_ms(kind, demand.prompt, server.facts.layer_count) if ahead else 0.0
            return (COLD_BEGIN_MS if cold else 0.0) + ahead * reading / PAUSE_TOKENS

        return begin_ms

    def _chance(self, server: Server) -> float:
        return 1.0 if self.rng is None else self.rng.uniform(1.0, 1.0 + CHANCE)

    def _crossing(self, usable: list[Server], search: Search, path: Path | None = None) -> Path | None:
        """Find a path over several halls, or such a way behind the first stage of a path."""
        if Mechanism.CROSSING in self.without:
            return None
        pipeline, demand = search.pipeline, search.demand

        def crossing(one: HallName, other: HallName) -> float:
            return self.pipes.crossing_cost_ms(one, other, pipeline, demand)

        wide = Search(
            pipeline,
            demand,
            search.taken,
            crossing,
            search.limited,
            search.crowding,
            search.begin_ms,
            search.factor,
        )
        wide.reading = search.reading
        return find_path(usable, wide) if path is None else find_detour(path, usable, wide)


def _reading(path: Path, search: Search, without: frozenset[BackendId]) -> ReadingCost:
    """Return the cost of reading a running request's tokens anew, where a stage does not stay as it is.

    All requests on a lost stage move at once, and each server reads those of all that move to it. By the
    cost of a token alone all would move to the few quickest servers and read many more layers anew than
    were lost.
    """
    pipeline = search.pipeline
    kept = {
        server.facts.id: (stage.first, stage.last)
        for server, stage in zip(path.servers, path.route.stages, strict=True)
    }
    left = [server for server in path.servers if server.facts.id in without]
    moving = max(
        [
            1.0,
            *(
                search.taken(s) / (pipeline.typical_request().cached * max(1, s.facts.layer_count))
                for s in left
            ),
        ]
    )

    def reading(server: Server, first: int, last: int) -> float:
        if kept.get(server.facts.id) == (first, last):
            return 0.0
        kind = server.facts.accelerator or ""
        return moving * pipeline.prefill_ms(kind, path.demand.cached, last - first) / PAUSE_TOKENS

    return reading


def _cheapest(near: Path | None, far: Path | None) -> Path | None:
    """Return the near one of two paths, unless the far one is a good deal cheaper."""
    if near is None or far is None:
        return near or far
    return near if near.cost <= ABROAD_FACTOR * far.cost else far


def _taken(loads: dict[ServerKey, ServerLoad]) -> Callable[[Server], float]:
    def taken(server: Server) -> float:
        load = loads.get(server.facts.key)
        return server.cached + (load.cached if load is not None else 0.0)

    return taken


def _unlimited(pipeline: Pipeline) -> Search:
    """Return a search that looks at nothing but which layers are held."""
    return Search(
        pipeline, pipeline.typical_request(), lambda _: 0.0, lambda one, other: 0.0, limited=False
    )


def _may_begin(server: Server, load: ServerLoad, heads: frozenset[BackendId] | None) -> bool:
    """Tell whether a server may be used, given that it would be the first stage if it can be."""
    if server.facts.first > 0:
        return True
    return _may_lead(server, heads) and server.in_flight + load.heads < server.facts.slots


def _may_lead(server: Server, heads: frozenset[BackendId] | None) -> bool:
    """Tell whether a server is no first stage, or one that a request may be sent to."""
    return server.facts.first > 0 or heads is None or server.facts.id in heads
