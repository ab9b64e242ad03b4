"""Bounds on the bytes that all clients of a listener together make this process keep.

The limits of a single connection leave their sum open, which grows with the number of clients. Here the
sum is bounded. When bytes are short, the client that has held most for longest without completing anything
loses its place. Small requests may fill a part of the memory that large ones can't. See
``docs/design/client_limits.md``.
"""

import os
from collections import Counter
from collections.abc import Callable
from enum import Enum

import eventlet
import greenlet
import msgspec

from bayglade.clock import now
from bayglade.exceptions import HostFull
from bayglade.logs import rate_limited
from bayglade.metrics import Metrics
from bayglade.sockets import ReadTurns

MB = 1024 * 1024
CALLERS_REQUEST_FRACTION = 0.12
"""Fraction of the memory for requests of callers. ``docs/CAPACITY.md`` lists what the rest is for."""
FORWARDED_REQUEST_FRACTION = 0.05
MIN_LARGEST_REQUESTS = 4
"""Requests of the greatest size for which there is always memory: one is served, others are received."""
SMALL_REQUEST_BYTES = 16 * 1024
SERVING_FRACTION = 0.75
"""Fraction of the memory for requests that those in service may take; the rest is for reception."""
LARGE_SERVING_FRACTION = 0.5
"""The same for requests larger than ``SMALL_REQUEST_BYTES``."""
RELIEF_FRACTION = 7 / 8
"""Fraction of a bound to which clients are removed at once, so that not every read removes one."""
INTERNAL_BYTES = MB
RETRY_AFTER_SECONDS = 0.5
LOG_LINES_PER_SECOND = 2.0

log_removed = rate_limited(LOG_LINES_PER_SECOND)


class ClientState(Enum):
    """What a connection of a client is doing."""

    IDLE = "idle"
    """No byte of a request has arrived."""

    RECEIVING = "receiving"
    SERVING = "serving"
    CLOSING = "closing"
    """The request was rejected, and the rest of it is being discarded."""


class ClientLimits(msgspec.Struct, frozen=True):
    """Bounds on all clients of one listener."""

    request_bytes: int


class Client:
    """One connection of a client, with what it makes this process keep."""

    __slots__ = ("address", "clients", "request_bytes", "since", "state", "task")

    def __init__(self, clients: "Clients", address: str) -> None:
        self.clients = clients
        self.address = address
        self.state = ClientState.IDLE
        self.since = now()
        """When the state was entered, in monotonic seconds."""

        self.request_bytes = 0
        self.task: greenlet.greenlet = eventlet.getcurrent()

    def __repr__(self) -> str:
        return f"<Client {self.address} {self.state.value} {self.request_bytes} bytes>"

    def enter(self, state: ClientState) -> None:
        """Record what the connection does from now on."""
        if state is not self.state:
            self.state = state
            self.since = now()

    def hold_request(self, size: int) -> None:
        """Record how many bytes are kept of the request that is being received.

        :param size: all of them, in bytes.
        :raises HostFull: if this client has to make room.
        """
        clients = self.clients
        clients.request_bytes += size - self.request_bytes
        self.request_bytes = size
        if clients.request_bytes > clients.limits().request_bytes:
            clients.make_request_room(self)

    def begin_service(self) -> None:
        """Record that the request is complete.

        :raises HostFull: if the requests in service leave no memory for it; it must not be served.
        """
        clients = self.clients
        if not clients.has_service_room(self.request_bytes):
            raise clients.refusal()
        clients.serving_bytes += self.request_bytes
        self.enter(ClientState.SERVING)

    def let_go(self) -> None:
        """Record that nothing is kept of the request any more."""
        clients = self.clients
        if self.state is ClientState.SERVING:
            clients.serving_bytes -= self.request_bytes
        clients.request_bytes -= self.request_bytes
        self.request_bytes = 0


class Clients:
    """All clients of one listener.

    :param name: the name of the listener, for logs and gauges.
    :param limits: returns the bounds in force.
    :param turns: the turns of all connections of this process that have much to read.
    :param metrics: receives gauges and counters.
    :param retry_after: returns the Retry-After of a refusal, in seconds.
    """

    def __init__(
        self,
        name: str,
        limits: Callable[[], ClientLimits],
        turns: ReadTurns,
        metrics: Metrics,
        retry_after: Callable[[], float] = lambda: RETRY_AFTER_SECONDS,
    ) -> None:
        self.name = name
        self.limits = limits
        self.turns = turns
        self.metrics = metrics
        self.retry_after = retry_after
        self.members: set[Client] = set()
        self.request_bytes = 0
        """Bytes of requests, received and in service."""

        self.serving_bytes = 0
        """Those of them that belong to requests in service."""

    def __repr__(self) -> str:
        return f"<Clients {self.name} {len(self.members)}, {self.request_bytes} bytes>"

    def add(self, address: str) -> Client:
        """Add the connection that the current task serves.

        :param address: the address of the client.
        """
        client = Client(self, address)
        self.members.add(client)
        return client

    def discard(self, client: Client) -> None:
        """Remove a connection that is closed."""
        client.let_go()
        self.members.discard(client)

    def refusal(self) -> HostFull:
        """Return the error for a request for which there is no memory."""
        self.metrics.count(f"clients_{self.name}_refused")
        return HostFull(
            "too many bytes of requests are kept",
            step="read",
            peer="caller",
            retry_after=self.retry_after(),
        )

    def has_service_room(self, size: int) -> bool:
        """Return whether a complete request of a size may be served."""
        fraction = SERVING_FRACTION if size <= SMALL_REQUEST_BYTES else LARGE_SERVING_FRACTION
        return self.serving_bytes + size <= fraction * self.limits().request_bytes

    def make_request_room(self, asking: Client) -> None:
        """Remove clients whose requests are incomplete until the bytes of requests fit.

        :param asking: the client that received bytes.
        :raises HostFull: if it is this one that has to make room.
        """
        bound = RELIEF_FRACTION * self.limits().request_bytes
        while self.request_bytes > bound:
            client = self._heaviest_unfinished()
            if client is asking or client is None:
                self._note_removed(asking)
                asking.let_go()
                raise self.refusal()
            self._remove(client)

    def update_gauges(self) -> None:
        """Set the gauges of the connections and bytes."""
        states = Counter(member.state for member in self.members)
        for state in ClientState:
            self.metrics.gauge(f"clients_{self.name}_{state.value}", states[state])
        self.metrics.gauge(f"clients_{self.name}_request_bytes", self.request_bytes)
        self.metrics.gauge(f"clients_{self.name}_serving_bytes", self.serving_bytes)

    def _heaviest_unfinished(self) -> Client | None:
        """Return the client that has held most for longest without completing its request."""
        at = now()
        receiving = (member for member in self.members if member.state is ClientState.RECEIVING)
        return max(receiving, key=lambda member: member.request_bytes * (at - member.since), default=None)

    def _remove(self, client: Client) -> None:
        """End the reception of a client's request, by an error in its task."""
        self._note_removed(client)
        client.let_go()
        client.enter(ClientState.CLOSING)
        eventlet.kill(client.task, self.refusal())

    def _note_removed(self, client: Client) -> None:
        log_removed(
            "WARNING",
            "client removed",
            listener=self.name,
            client=client.address,
            bytes=client.request_bytes,
            seconds=round(now() - client.since, 3),
        )


def client_limits(request_fraction: float, memory_mb: float, largest_request: int) -> ClientLimits:
    """Return the bounds of a listener.

    :param request_fraction: fraction of the memory for requests.
    :param memory_mb: memory of the host, in MB.
    :param largest_request: bytes of the largest request that a client may send.
    """
    return ClientLimits(max(int(request_fraction * memory_mb * MB), MIN_LARGEST_REQUESTS * largest_request))


def host_memory_mb(configured: float) -> float:
    """Return the memory that this process may use, in MB.

    :param configured: the memory in the settings; 0 for what the host has.
    """
    return configured or os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / MB
