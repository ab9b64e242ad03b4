"""Paths: those that one daemon uses, and which of them a request takes.

A path inside one data hall is cheapest by far: every hop to another hall takes
the pipe between them for each token. So paths are sought hall by hall, and only
when no hall holds the whole model over all halls together; see
:mod:`bayglade.pathfinding`.
"""

from collections.abc import Callable, Iterable

import eventlet

from bayglade.clock import now
from bayglade.fleet import Fleet, Server
from bayglade.ids import BackendId, HallName, ServiceName
from bayglade.logs import event
from bayglade.pathfinding import (
    FULL_USE,
    Path,
    by_hall,
    find_detour,
    find_path,
    hall_paths,
    mixed_path,
)
from bayglade.pipelines import Pipeline


class Paths:
    """The paths of one daemon, sought anew when the fleet has changed."""

    def __init__(self, fleet: Fleet, hall: HallName) -> None:
        self.fleet = fleet
        self.hall = hall
        self.known: dict[ServiceName, list[Path]] = {}
        self.halls: dict[tuple[ServiceName, HallName], tuple[object, list[Path]]] = {}
        """Paths of each hall, with what they were found for."""

        self.valid: tuple[int, int] = (-1, -1)
        self.elsewhere: Callable[[], dict[BackendId, int]] = dict
        """Returns the requests that other daemons have under way, by first stage."""

    def __repr__(self) -> str:
        return f"<Paths {self.known!r}>"

    def choose(
        self,
        service: ServiceName,
        pipeline: Pipeline,
        without: frozenset[BackendId] = frozenset(),
        heads: frozenset[BackendId] | None = None,
    ) -> Path | None:
        """Choose a path for one request.

        :param service: the service whose servers hold the model.
        :param pipeline: facts of the model.
        :param without: servers not to use.
        :param heads: the only servers that may be the first stage; any when left out.
        :return: the path, or nothing when there is none.
        """
        paths = self.all(service, pipeline)
        fitting = [
            path
            for path in paths
            if without.isdisjoint(s.facts.id for s in path.servers)
            and (heads is None or path.servers[0].facts.id in heads)
        ]
        if fitting:
            loads = self.elsewhere()
            return min(fitting, key=lambda p: p.score(self.hall, loads.get(p.servers[0].facts.id, 0)))
        if not without or heads is not None:
            return None
        usable = [s for s in self.fleet.usable(service) if s.facts.id not in without]
        return find_path(usable, pipeline)

    def full(self, path: Path) -> bool:
        """Tell whether a path holds more requests than fit, by its stages or by all daemons."""
        elsewhere = self.elsewhere().get(path.servers[0].facts.id, 0)
        return path.short(now()) or path.used(elsewhere) >= FULL_USE

    def all(self, service: ServiceName, pipeline: Pipeline) -> list[Path]:
        """List the paths of a service that are worth using now."""
        usable = self.fleet.usable(service)
        # Suspicion ends by time alone, which changes the number of usable servers.
        valid = (self.fleet.changed, len(usable))
        if valid != self.valid:
            self.known.clear()
            self.valid = valid
        if service not in self.known:
            self.known[service] = self._find(service, usable, pipeline)
        return self.known[service]

    def _find(self, service: ServiceName, usable: list[Server], pipeline: Pipeline) -> list[Path]:
        """Find the paths anew, hall by hall, only where something has changed."""
        paths: list[Path] = []
        for hall, servers in by_hall(usable).items():
            # Servers are compared by identity: those of an earlier listing are other objects.
            mark = (pipeline, [(server, server.facts, server.pace) for server in servers])
            if self.halls.get((service, hall), (None, []))[0] != mark:
                found = hall_paths(servers, pipeline)
                self.halls[service, hall] = (mark, found)
                _tell(found)
                # A hall takes some ten milliseconds: streams pass events in between.
                eventlet.sleep(0)
            paths += self.halls[service, hall][1]
        mixed = mixed_path(usable, paths, pipeline)
        if mixed is not None:
            _tell([mixed])
            paths.append(mixed)
        return sorted(paths, key=lambda path: path.cost)

    def detour(
        self, path: Path, service: ServiceName, pipeline: Pipeline, without: frozenset[BackendId]
    ) -> Path | None:
        """Find a path with the same first stage that avoids some servers.

        :param path: the path that a request is on.
        :param service: the service whose servers hold the model.
        :param pipeline: facts of the model.
        :param without: servers to avoid.
        :return: the path, or nothing when the halls of the path have none.
        """
        head = path.servers[0]
        if head.facts.id in without:
            return None
        usable = [s for s in self.fleet.usable(service) if s.facts.id not in without and s is not head]
        # A detour over another hall moves all tokens so far through the pipe between them,
        # which takes longer than reading them anew on a path of that hall.
        halls = {server.facts.hall for server in path.servers}
        here = [s for s in usable if s.facts.hall in halls]
        return find_detour(path, here, pipeline)


def _tell(paths: Iterable[Path]) -> None:
    for path in paths:
        event(
            "INFO",
            "path found",
            path=path.number,
            hall=path.hall,
            cost_ms=round(path.cost, 1),
            capacity=round(path.capacity),
            route=path.text(),
        )
