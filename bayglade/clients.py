"""Bounds on what all clients of a listener together make this process keep: bytes and connections.

The limits of a single connection leave their sum open, which grows with the number of clients. Here the
sum is bounded. When bytes are short, the client that has held most for longest without completing anything
loses its place; when connections are short, idle ones are closed first. Small requests may fill a part of
the memory that large ones can't. See ``docs/design/client_limits.md``.
"""

import os
import resource
from collections import Counter
from collections.abc import Callable
from enum import Enum
from heapq import nsmallest

import eventlet
import greenlet
import msgspec

from bayglade.clock import now
from bayglade.exceptions import AnswersFull, BaygladeError, HostFull
from bayglade.logs import rate_limited
from bayglade.metrics import Metrics
from bayglade.sockets import ReadTurns

MB = 1024 * 1024
CALLERS_REQUEST_FRACTION = 0.12
"""Fraction of the memory for requests of callers. ``docs/CAPACITY.md`` lists what the rest is for."""
FORWARDED_REQUEST_FRACTION = 0.05
CALLERS_ANSWER_FRACTION = 0.10
FORWARDED_ANSWER_FRACTION = 0.03
MIN_LARGEST_REQUESTS = 4
"""Requests of the greatest size for which there is always memory: one is served, others are received."""
MIN_LARGEST_ANSWERS = 2
SMALL_REQUEST_BYTES = 16 * 1024
SERVING_FRACTION = 0.75
"""Fraction of the memory for requests that those in service may take; the rest is for reception."""
LARGE_SERVING_FRACTION = 0.5
"""The same for requests larger than ``SMALL_REQUEST_BYTES``."""
RELIEF_FRACTION = 7 / 8
"""Fraction of a bound to which clients are removed at once, so that not every read removes one."""
FILE_DESCRIPTORS = 200
"""Descriptors that are left for files."""
MIN_SOCKETS = 256
CALLERS_SOCKET_FRACTION = 0.45
"""Fraction of the sockets for connections of callers. What is not named here is for connections to servers,
to the store and between daemons."""
FORWARDED_SOCKET_FRACTION = 0.15
HANDSHAKE_SOCKET_FRACTION = 0.1
"""The same for connections to the port of other daemons that have not shown yet that they are from one."""
INTERNAL_CONNECTIONS = 32
INTERNAL_BYTES = MB
RETRY_AFTER_SECONDS = 0.5
"""Retry-After of a refused request, before jitter. What holds the memory is removed when more is needed,
and a retry mostly reaches another daemon."""
LOG_LINES_PER_SECOND = 2.0

log_removed = rate_limited(LOG_LINES_PER_SECOND)


class ClientState(Enum):
    """What a connection of a client is doing."""

    IDLE = "idle"
    """No byte of a request has arrived."""

    RECEIVING = "receiving"
    SERVING = "serving"
    SENDING = "sending"
    """An answer waits until the client reads."""

    CLOSING = "closing"
    """The request was rejected, and the rest of it is being discarded."""


WAITING_STATES = ((ClientState.IDLE, ClientState.CLOSING), (ClientState.RECEIVING,))
"""States in which a connection may be closed in favour of another one, in this order."""


class ClientRemoved(ConnectionAbortedError):
    """Raised in the task of a connection that is closed in favour of others."""


class ConnectionEnded(ConnectionAbortedError):
    """Raised in the task of a connection that is closed in order, with no request on it."""


class ClientLimits(msgspec.Struct, frozen=True):
    """Bounds on all clients of one listener."""

    connections: int
    request_bytes: int
    answer_bytes: int


INTERNAL_LIMITS = ClientLimits(INTERNAL_CONNECTIONS, INTERNAL_BYTES, INTERNAL_BYTES)


class Client:
    """One connection of a client, with what it makes this process keep."""

    __slots__ = (
        "address",
        "answer_bytes",
        "clients",
        "request_bytes",
        "serving_bytes",
        "since",
        "state",
        "task",
    )

    def __init__(self, clients: "Clients", address: str) -> None:
        self.clients = clients
        self.address = address
        self.state = ClientState.IDLE
        self.since = now()
        """When the state was entered, in monotonic seconds."""

        self.request_bytes = 0
        self.serving_bytes = 0
        """Bytes of the request once it is in service, else 0."""

        self.answer_bytes = 0
        self.task: greenlet.greenlet = eventlet.getcurrent()

    def __repr__(self) -> str:
        return f"<Client {self.address} {self.state.value} {self.held_bytes()} bytes>"

    def held_bytes(self) -> int:
        """Return the bytes that are kept for this client."""
        return self.request_bytes + self.answer_bytes

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
        self.serving_bytes = self.request_bytes
        self.enter(ClientState.SERVING)

    def hold_answer(self, size: int) -> None:
        """Record how many bytes are kept of the answer.

        :param size: all of them, in bytes.
        :raises AnswersFull: if there is no memory for them.
        """
        clients = self.clients
        clients.answer_bytes += size - self.answer_bytes
        self.answer_bytes = size
        if clients.answer_bytes > clients.limits().answer_bytes:
            clients.make_answer_room(self)

    def let_go(self) -> None:
        """Record that nothing is kept of the request and its answer any more."""
        clients = self.clients
        clients.serving_bytes -= self.serving_bytes
        clients.request_bytes -= self.request_bytes
        clients.answer_bytes -= self.answer_bytes
        self.serving_bytes = self.request_bytes = self.answer_bytes = 0


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

        self.answer_bytes = 0

    def __repr__(self) -> str:
        return f"<Clients {self.name} {len(self.members)}, {self.request_bytes + self.answer_bytes} bytes>"

    def add(self, address: str) -> Client:
        """Add the connection that the current task serves, and close others if there are too many.

        :param address: the address of the client.
        :raises ClientRemoved: if all others are inside a request that is complete.
        """
        bound = self.limits().connections
        if len(self.members) >= bound:
            self._close_waiting(max(1, len(self.members) - int(RELIEF_FRACTION * bound)))
        if len(self.members) >= bound:
            self.metrics.count(f"clients_{self.name}_not_accepted")
            raise ClientRemoved("too many connections")
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
        """Return whether a complete request of a size may be served.

        Clients that don't read the answers to requests in service make room for it.
        """
        fraction = SERVING_FRACTION if size <= SMALL_REQUEST_BYTES else LARGE_SERVING_FRACTION
        bound = fraction * self.limits().request_bytes
        while self.serving_bytes + size > bound:
            client = self._heaviest(ClientState.SENDING, lambda member: member.serving_bytes)
            if client is None:
                return False
            self._remove(client, ClientRemoved("the answer was not read"))
        return True

    def make_request_room(self, asking: Client) -> None:
        """Remove clients whose requests are incomplete until the bytes of requests fit.

        :param asking: the client that received bytes.
        :raises HostFull: if it is this one that has to make room.
        """
        bound = RELIEF_FRACTION * self.limits().request_bytes
        while self.request_bytes > bound:
            client = self._heaviest(ClientState.RECEIVING, lambda member: member.request_bytes)
            if client is asking or client is None:
                self._note_removed(asking)
                asking.let_go()
                raise self.refusal()
            self._remove(client, self.refusal())

    def make_answer_room(self, asking: Client) -> None:
        """Remove clients that don't read their answers until the bytes of answers fit.

        :param asking: the client whose answer arrives.
        :raises AnswersFull: if that is not enough.
        """
        bound = self.limits().answer_bytes
        while self.answer_bytes > bound:
            client = self._heaviest(ClientState.SENDING, lambda member: member.answer_bytes)
            if client is None:
                self._note_removed(asking)
                raise AnswersFull("too many bytes of answers are kept", step="answer", peer="caller")
            self._remove(client, ClientRemoved("the answer was not read"))

    def refuse_incomplete(self, refusal: Callable[[], BaygladeError]) -> None:
        """Refuse all requests that are still being received.

        :param refusal: creates the error for one of them.
        """
        for member in [member for member in self.members if member.state is ClientState.RECEIVING]:
            member.enter(ClientState.CLOSING)
            eventlet.kill(member.task, refusal())

    def close_idle(self) -> None:
        """Close all connections on which no request is in service."""
        for member in [member for member in self.members if member.state is ClientState.IDLE]:
            member.enter(ClientState.CLOSING)
            eventlet.kill(member.task, ConnectionEnded("this daemon exits"))

    def update_gauges(self) -> None:
        """Set the gauges of the connections and bytes."""
        states = Counter(member.state for member in self.members)
        for state in ClientState:
            self.metrics.gauge(f"clients_{self.name}_{state.value}", states[state])
        self.metrics.gauge(f"clients_{self.name}_request_bytes", self.request_bytes)
        self.metrics.gauge(f"clients_{self.name}_serving_bytes", self.serving_bytes)
        self.metrics.gauge(f"clients_{self.name}_answer_bytes", self.answer_bytes)

    def _heaviest(self, state: ClientState, size: Callable[[Client], int]) -> Client | None:
        """Return the client that has held most for longest, of those in a state that hold anything."""
        at = now()
        holding = (member for member in self.members if member.state is state and size(member) > 0)
        return max(holding, key=lambda member: size(member) * (at - member.since), default=None)

    def _close_waiting(self, count: int) -> None:
        """Close connections without a request, or else with an incomplete one; the oldest first."""
        for states in WAITING_STATES:
            waiting = [member for member in self.members if member.state in states]
            for member in nsmallest(count, waiting, key=lambda member: member.since):
                self.members.discard(member)
                self._remove(member, ClientRemoved("too many connections"))
            if waiting:
                return

    def _remove(self, client: Client, error: Exception) -> None:
        """End what a connection is doing, by an error in its task."""
        self._note_removed(client)
        client.let_go()
        client.enter(ClientState.CLOSING)
        eventlet.kill(client.task, error)

    def _note_removed(self, client: Client) -> None:
        self.metrics.count(f"clients_{self.name}_removed_{client.state.value}")
        log_removed(
            "WARNING",
            "client removed",
            listener=self.name,
            client=client.address,
            state=client.state.value,
            bytes=client.held_bytes(),
            seconds=round(now() - client.since, 3),
        )


def create_internal_clients(name: str, turns: ReadTurns, metrics: Metrics) -> Clients:
    """Create the clients of a listener for small requests and answers, such as those for readiness.

    :param name: the name of the listener.
    :param turns: the turns of all connections of this process that have much to read.
    :param metrics: receives gauges and counters.
    """
    return Clients(name, lambda: INTERNAL_LIMITS, turns, metrics)


def client_limits(
    connections: int,
    memory_mb: float,
    request_fraction: float,
    answer_fraction: float,
    largest_request: int,
    largest_answer: int,
) -> ClientLimits:
    """Return the bounds of a listener.

    :param connections: the greatest number of connections.
    :param memory_mb: memory of the host, in MB.
    :param request_fraction: fraction of it for requests.
    :param answer_fraction: fraction of it for answers.
    :param largest_request: bytes of the largest request that a client may send.
    :param largest_answer: bytes of the largest answer that is read whole.
    """
    return ClientLimits(
        connections,
        max(int(request_fraction * memory_mb * MB), MIN_LARGEST_REQUESTS * largest_request),
        max(int(answer_fraction * memory_mb * MB), MIN_LARGEST_ANSWERS * largest_answer),
    )


def host_memory_mb(configured: float) -> float:
    """Return the memory that this process may use, in MB.

    :param configured: the memory in the settings; 0 for what the host has.
    """
    return configured or os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / MB


def host_sockets(configured: int) -> int:
    """Return the number of sockets that this process may open.

    :param configured: the descriptors in the settings; 0 for the limit of the process.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(MIN_SOCKETS, (configured or soft) - FILE_DESCRIPTORS)
