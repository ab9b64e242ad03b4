"""A site of the users' platform: the store, the backend servers and the daemons under test."""

import shutil
import tempfile
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple, Self

from standins.users.configuration import KEY, LAYERS, MODEL, configuration
from standins.users.daemon import Daemon, false_if_unreachable
from standins.users.replica import Replica, read_path
from standins.users.store import MetadataStore, RowKey
from standins.world import release_ports, reserved_ports, wait_for

CRASH_DELAY_SECONDS = 0.03
"""Time from the start of a request that crashes its server to the crash."""


class ServerCrash(NamedTuple):
    """The crash of a server while it ran a request."""

    body: bytes
    server: str
    born: int
    at: float
    request: str = ""
    """Id of the request that was sent or rerouted there."""


class UsersSite:
    """A site: the store, the backend servers and the daemons under test.

    :param halls: number of data halls with model servers.
    :param stages: number of model servers in each hall.
    :param plain: number of servers of the plain service, all in the first hall.
    :param front: puts a proxy in front of an address, and returns the address of the proxy.
    :param partitionable: whether the links of each daemon to the servers can be cut.
    """

    def __init__(
        self,
        halls: int = 1,
        stages: int = 4,
        plain: int = 2,
        front: Callable[[str], str] = lambda address: address,
        partitionable: bool = False,
    ) -> None:
        self.ports_before = reserved_ports()
        self.store = MetadataStore()
        self.front = front
        """Returns the address at which daemons reach a server that listens at another."""

        self.partitionable = partitionable
        self.replicas: list[Replica] = []
        self.leaving: list[Replica] = []
        """Servers that are leaving or gone."""

        self.daemons: list[Daemon] = []
        self.wrong_paths: list[str] = []
        """Paths that did not run every layer once and in order."""

        self.deadly: set[bytes] = set()
        """Bodies of requests that crash each server which starts to run them."""

        self.deadly_parts: set[str] = set()
        """Ids of prompt parts that crash each server which starts to run a request with one of them."""

        self.deadly_requests: dict[str, bytes] = {}
        """Bodies of the crashing requests that were sent, by request id."""

        self.deadly_stage = 0
        """Index of the stage that a crashing request crashes."""

        self.down_seconds = 0.5
        """Seconds until a crashed server restarts."""

        self.crashes: list[ServerCrash] = []
        self.stopped = False
        self.folder = Path(tempfile.mkdtemp(prefix="bayglade-"))
        self.version = 0
        self.stream_weights: dict[str, float] = {}
        """The services that share the route of streams; empty if it leads to the model."""

        self.client_limits: dict[str, float] = {}
        """Limits on clients in which this configuration and all later ones differ from the usual one."""

        self.configuration: dict[str, Any] = {}
        """The configuration that the operator wrote last."""

        self.lost_rows: dict[RowKey, bytes | None] = {}
        """Rows that the store lost in a restore and nobody has rewritten yet."""

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
        """Return all backend servers, including those that have left."""
        return [*self.replicas, *self.leaving]

    def add(self, replica: Replica) -> None:
        """Add a backend server."""
        self.replicas.append(replica)

    def of(self, service: str) -> list[Replica]:
        """List the backend servers of a service."""
        return [r for r in self.replicas if bool(r.kind) == (service == MODEL)]

    def runs(self, request: str) -> int:
        """Count the runs of a request on all servers."""
        return sum(replica.ran[request] for replica in self.every_replica)

    def configure(self, keys: tuple[str, ...] = (KEY,), version: int | None = None, **changes: Any) -> None:
        """Write a configuration as the operator does; ``changes`` apply to every route."""
        self.version = version if version is not None else self.version + 3
        self.configuration = configuration(self.version, keys, changes)
        self.configuration["limits"] |= self.client_limits
        if self.stream_weights:
            route = next(route for route in self.configuration["routes"] if route["kind"] == "stream")
            del route["service"]
            route["split"] = [{"service": n, "weight": w} for n, w in self.stream_weights.items()]
        self.store.put("op", "config", self.configuration)

    def share_streams(self, weights: dict[str, float]) -> None:
        """Have services share the route of streams, in this configuration and all later ones.

        :param weights: the weight of each service.
        """
        self.stream_weights = weights
        self.configure()

    def restore_store(self, version: int, away: float = 0.05) -> None:
        """Take the store down for a moment and restore it from a copy of an earlier version.

        :param version: the newest version in the copy.
        :param away: seconds for which it resets all calls.
        """
        self.store.faults.set("reset")
        time.sleep(away)
        self.lost_rows |= self.store.restore(version)
        self.store.faults.left["reset"] = 0

    def rewrite_lost_rows(self) -> None:
        """Have the operator and the servers rewrite the rows that the store lost in a restore."""
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

    def crash_under(self, request: str, body: bytes, server: Replica, path: str | None) -> None:
        """Crash a server while it runs a request.

        :param request: id of the request.
        :param body: body of the request.
        :param server: the server that it was sent to.
        :param path: its path, for a stream; the stage ``deadly_stage`` of it crashes.
        """
        if path is not None:
            address = read_path(path)[self.deadly_stage][0]
            server = next((r for r in self.replicas if r.address == address), server)
        self.crashes.append(ServerCrash(body, server.id, server.born, time.monotonic(), request))
        time.sleep(CRASH_DELAY_SECONDS)
        server.crash(self.down_seconds)

    def crash_rerouted(self, request: str, server: Replica, path: str) -> None:
        """Crash another stage when a crashing request is rerouted to it."""
        body = self.deadly_requests.get(request)
        if body is not None and self.deadly_stage != 0:
            arguments = (request, body, server, path)
            threading.Thread(target=self.crash_under, args=arguments, daemon=True).start()

    def wait_placed(self) -> None:
        """Wait until the servers of each hall hold all layers, and all daemons know which.

        Daemons serve streams as soon as they know one holder of each layer. Without knowing a second one,
        they have no server on which to continue a stream whose stage crashes; nor do they resume one before
        they have their part of the bound on retries.
        """
        wait_for("all layers are held", self._placed)
        for daemon in self.daemons:
            wait_for("the daemon knows the layers of all servers", partial(_knows_stages, daemon))
            if daemon.settings["first_start"]:
                wait_for("the daemon may send retries", partial(_has_retry_part, daemon))

    def check_path(self, path: list[tuple[str, int, int]], began: float) -> None:
        """Record a path that does not run every layer once and in order, on servers that hold them.

        :param path: the stages.
        :param began: when the request got the path; layers released since then still run for it.
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
        """Return whether all servers of a path hold their layers now."""
        at = time.monotonic()
        by_address = {replica.address: replica for replica in self.every_replica}
        return all(
            address in by_address and by_address[address].runs_layers(first, last, at)
            for address, first, last in path
        )

    def stop(self) -> None:
        """Stop all daemons, servers and the store, and remove the folder."""
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


def _has_retry_part(daemon: Daemon) -> bool:
    """Return whether a daemon has its part of the bound on retries; true if it has exited."""
    return daemon.popen.poll() is not None or false_if_unreachable(daemon.has_retry_part)


def _knows_stages(daemon: Daemon) -> bool:
    """Return whether a daemon knows the layers of all servers; true if it has exited."""
    return daemon.popen.poll() is not None or false_if_unreachable(daemon.knows_stages)
