"""A site of the users: the store, its backend servers, and the daemons under test."""

import shutil
import tempfile
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple, Self

from standins.users.configuration import KEY, LAYERS, MODEL, configuration
from standins.users.daemon import Daemon, quietly
from standins.users.replica import Replica, read_path
from standins.users.store import MetadataStore, RowKey
from standins.world import release_ports, reserved_ports, wait_for

BEGIN_SECONDS = 0.03
"""Time from when a server begins to run a request that ends it to its end."""


class Ending(NamedTuple):
    """A server that ended under a request."""

    body: bytes
    server: str
    born: int
    at: float
    request: str = ""
    """The request that was sent there, or moved there."""


class UsersSite:
    """A site: the store, its backend servers, and the daemons under test."""

    def __init__(
        self,
        halls: int = 1,
        stages: int = 4,
        plain: int = 2,
        front: Callable[[str], str] = lambda address: address,
    ) -> None:
        self.ports_before = reserved_ports()
        self.store = MetadataStore()
        self.front = front
        """Puts something before the address of a server, and returns where it is reached then."""

        self.replicas: list[Replica] = []
        self.leaving: list[Replica] = []
        """Servers that are on their way out or gone."""

        self.daemons: list[Daemon] = []
        self.wrong_paths: list[str] = []
        self.deadly: set[bytes] = set()
        """Bodies of requests that end each server which begins to run them."""

        self.deadly_requests: dict[str, bytes] = {}
        """Bodies of such requests, by id."""

        self.deadly_stage = 0
        """Which stage of its path such a request ends."""

        self.down_seconds = 0.5
        """How long a server that ended under a request is away."""

        self.ends: list[Ending] = []
        self.stopped = False
        self.folder = Path(tempfile.mkdtemp(prefix="bayglade-"))
        self.version = 0
        self.configuration: dict[str, Any] = {}
        """What the operator wrote last."""

        self.lost_rows: dict[RowKey, bytes | None] = {}
        """Rows that a restored store has lost and nobody has written again."""

        for hall in range(halls):
            for number in range(stages):
                self.replicas.append(Replica(self, f"{hall}-{number}", f"hall-{hall}", "card"))
        for number in range(plain):
            self.replicas.append(Replica(self, f"plain-{number}", "hall-0", None))
        self.configure()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def every_replica(self) -> list[Replica]:
        """Return all backend servers there ever were."""
        return [*self.replicas, *self.leaving]

    def add(self, replica: Replica) -> None:
        """Have a backend server come."""
        self.replicas.append(replica)

    def of(self, service: str) -> list[Replica]:
        """List the backend servers of a service."""
        return [r for r in self.replicas if bool(r.kind) == (service == MODEL)]

    def runs(self, request: str) -> int:
        """Count the runs of a request on all servers."""
        return sum(replica.ran[request] for replica in self.every_replica)

    def configure(self, keys: tuple[str, ...] = (KEY,), version: int | None = None, **changes: Any) -> None:
        """Write a configuration as the operator does; ``changes`` go into every route."""
        self.version = version if version is not None else self.version + 3
        self.configuration = configuration(self.version, keys, changes)
        self.store.put("op", "config", self.configuration)

    def restore_store(self, version: int, away: float = 0.05) -> None:
        """Have the store be away for a moment and come back as a copy of an earlier version.

        :param version: the newest version in the copy.
        :param away: for how long it resets all calls, in seconds.
        """
        self.store.faults.set("reset")
        time.sleep(away)
        self.lost_rows |= self.store.restore(version)
        self.store.faults.left["reset"] = 0

    def write_again(self) -> None:
        """Have the operator and the servers write what a restored store has lost."""
        lost, self.lost_rows = self.lost_rows, {}
        if ("op", "config") in lost:
            self.store.put("op", "config", self.configuration)
        servers = {replica.id: replica for replica in self.every_replica}
        for (table, key), value in lost.items():
            if table == "servers" and value is None:
                self.store.drop(table, key)
            elif table == "servers":
                servers[key].register()

    def start(self, hall: str = "hall-0", **settings: Any) -> "Daemon":
        """Start a daemon and wait until it is ready."""
        daemon = Daemon(self, f"d{len(self.daemons)}", hall, settings)
        self.daemons.append(daemon)
        daemon.wait_ready()
        return daemon

    def end_under(self, request: str, body: bytes, server: Replica, path: str | None) -> None:
        """Have a server end under a request that it has begun to run.

        :param request: its id.
        :param body: the body of the request.
        :param server: the server that was sent it.
        :param path: the stages that it takes, for a stream.
        """
        if path is not None:
            address = read_path(path)[self.deadly_stage][0]
            server = next((r for r in self.replicas if r.address == address), server)
        self.ends.append(Ending(body, server.id, server.born, time.monotonic(), request))
        time.sleep(BEGIN_SECONDS)
        server.crash(self.down_seconds)

    def moved(self, request: str, server: Replica, path: str) -> None:
        """Have another stage end when such a request is moved to it."""
        body = self.deadly_requests.get(request)
        if body is not None and self.deadly_stage != 0:
            arguments = (request, body, server, path)
            threading.Thread(target=self.end_under, args=arguments, daemon=True).start()

    def wait_placed(self) -> None:
        """Wait until the servers of each hall hold all layers, and the daemons know it of each server.

        Streams are served as soon as a daemon knows one holder of each layer: with no other one known, a
        stream whose stage ends has nowhere to go on.
        """
        wait_for("all layers are held", self._placed)
        for daemon in self.daemons:
            wait_for("it knows what all stages hold", partial(_knows_stages, daemon))

    def check_path(self, path: list[tuple[str, int, int]], began: float) -> None:
        """Note a path that does not run every layer once and in order, on servers that hold them.

        :param path: the stages.
        :param began: when the request came to it: layers given up since are still run for it.
        """
        by_address = {replica.address: replica for replica in self.every_replica}
        position = 0
        for address, first, last in path:
            if first != position or not by_address[address].runs_layers(first, last, began):
                self.wrong_paths.append(str(path))
            position = last
        if position != LAYERS:
            self.wrong_paths.append(f"{path} ends early")

    def holds(self, path: list[tuple[str, int, int]]) -> bool:
        """Tell whether all servers of a path hold their layers at this moment."""
        at = time.monotonic()
        by_address = {replica.address: replica for replica in self.every_replica}
        return all(
            address in by_address and by_address[address].runs_layers(first, last, at)
            for address, first, last in path
        )

    def stop(self) -> None:
        """End all that was started here."""
        self.stopped = True
        for daemon in self.daemons:
            daemon.stop()
        for replica in self.every_replica:
            replica.server.end()
        self.store.server.end()
        release_ports(self.ports_before)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _placed(self) -> bool:
        for hall in {r.hall for r in self.of(MODEL)}:
            layers = {n for r in self.of(MODEL) if r.hall == hall for n in range(*r.held)}
            if len(layers) < LAYERS:
                return False
        return True


def _knows_stages(daemon: Daemon) -> bool:
    """Tell whether a daemon, unless it has ended, knows what all stages hold."""
    return daemon.popen.poll() is not None or quietly(daemon.knows_stages)
