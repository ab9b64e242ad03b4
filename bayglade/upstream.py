"""Connection pool for backend servers: idle connections are checked before reuse by one call at a time."""

import socket
from collections import deque
from collections.abc import Callable

import eventlet

from bayglade.clock import now
from bayglade.config import parse_address
from bayglade.exceptions import (
    AnswerTooLarge,
    BackendError,
    BackendSilent,
    BackendUnreachable,
    BackendUnwilling,
    InvalidMessage,
)
from bayglade.http1 import Message, MessageParser, parts_to_send
from bayglade.ids import BackendId, RequestId
from bayglade.logs import event
from bayglade.sockets import is_idle, receive

CONNECT_SECONDS = 0.4
"""A connect takes about two milliseconds on the users' links; a lost packet adds at least 0.2 s."""
USER_TIMEOUT_MS = 2000
"""The kernel closes a connection after this time without an acknowledgement."""
DEFAULT_IDLE_SECONDS = 20.0
"""How long an idle connection is kept if the server does not say."""
IDLE_MARGIN = 0.5
"""How long before the server's keep-alive timeout an idle connection is no longer used."""
MAX_IDLE_AT_MOST_ONCE = 1.0
"""Greatest idle time of a connection for a call that must not be repeated. If the server had closed it in
the meantime, it would be unknown whether the call ran."""
MAX_STALE_ANSWERS = 2
"""Bound on the answers to earlier calls that are discarded before the answer to this one."""
MAX_INTERIM_ANSWERS = 20
"""Bound on the interim responses before an answer. A server sends one or two; another daemon one for each
of its sends."""
MAX_CONTROL_BYTES = 1024 * 1024
"""Size limit of a server's report, and of an error of another daemon."""


HoldBytes = Callable[[int], None]


def hold_freely(size: int) -> None:
    """Keep any number of bytes."""


class PooledConnection:
    """One connection to a backend server; times are monotonic seconds."""

    __slots__ = ("expires_at", "last_request", "reader", "sock", "used_at")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.last_request: RequestId | None = None
        """The request that was sent last, if it may run only once. A second answer to it may still arrive,
        and would be taken for the answer to its next sending."""

        self.reader = MessageParser(True)
        self.used_at = now()
        self.expires_at = self.used_at + DEFAULT_IDLE_SECONDS

    def __repr__(self) -> str:
        return f"<PooledConnection idle={now() - self.used_at:.1f}>"

    def is_clean(self) -> bool:
        """Return whether nothing arrived while the connection was idle: neither an end nor stray bytes."""
        return is_idle(self.sock)


class ConnectionPool:
    """The idle connections to backend servers."""

    def __init__(self) -> None:
        self.idle: dict[BackendId, deque[PooledConnection]] = {}
        self.opened = 0
        self.on_refused: Callable[[BackendId, str], None] = lambda backend, address: None
        """Called for each server at whose address a connect is refused: nothing listens there."""

        self.on_connect: Callable[[BackendId, OSError | None], None] = lambda backend, error: None
        """Called after each connect with its error; None if it succeeded."""

        self.trusted_from = 0.0
        """Connections that were last used before this time are not reused."""

    def __repr__(self) -> str:
        return f"<ConnectionPool {sum(len(kept) for kept in self.idle.values())} idle>"

    def has_idle(self, backend: BackendId) -> bool:
        """Return whether there is a usable idle connection to a server."""
        connections = self.idle.get(backend)
        return connections is not None and len(connections) > 0 and self._usable(connections[-1])

    def acquire(
        self,
        backend: BackendId,
        address: str,
        max_idle: float = DEFAULT_IDLE_SECONDS,
        connect_seconds: float = CONNECT_SECONDS,
        request: RequestId | None = None,
    ) -> PooledConnection:
        """Return an idle connection, or open one.

        :param backend: the server.
        :param address: the address that it listens on.
        :param max_idle: greatest idle time of the connection, in seconds; 0 opens a new one.
        :param connect_seconds: timeout of the connect.
        :param request: the request that is to be sent.
        :return: the connection; not one on which that request was the last.
        :raises BackendUnreachable: if none can be opened.
        :raises BackendUnwilling: if this process has no descriptor left for one.
        """
        connections = self.idle.get(backend)
        set_aside: list[PooledConnection] = []
        try:
            while connections and max_idle > 0:
                connection = connections.pop()
                if request is not None and connection.last_request == request:
                    set_aside.append(connection)
                elif self._usable(connection) and self._is_fresh(connection, max_idle):
                    connection.last_request = request
                    return connection
                else:
                    connection.sock.close()
        finally:
            if connections is not None:
                connections.extend(reversed(set_aside))
        connection = self._open(backend, address, connect_seconds)
        connection.last_request = request
        return connection

    def probe(self, backend: BackendId, address: str) -> bool:
        """Return whether anything listens for a server; the connection goes to the pool.

        :param backend: the server.
        :param address: the address that it listens on.
        :return: whether a connection could be opened.
        """
        try:
            connection = self._open(backend, address, CONNECT_SECONDS)
        except (BackendUnreachable, BackendUnwilling) as error:
            event("INFO", "server not reached", peer=backend, error=repr(error))
            return False
        self.release(backend, connection, None)
        return True

    def release(self, backend: BackendId, connection: PooledConnection, keep_seconds: float | None) -> None:
        """Return a connection to the pool after a complete answer.

        :param backend: the server.
        :param connection: the connection.
        :param keep_seconds: the keep-alive timeout of the server, if it named one.
        """
        connection.used_at = now()
        seconds = DEFAULT_IDLE_SECONDS if keep_seconds is None else keep_seconds - IDLE_MARGIN
        connection.expires_at = connection.used_at + seconds
        self.idle.setdefault(backend, deque()).append(connection)

    def distrust_before(self, before: float) -> None:
        """Stop using connections that have been idle since before a time, after another one fell silent.

        What silences a connection without closing it, such as a middlebox that lost its state, affects
        others as well. A stream resent on another silent connection would run out of time.

        :param before: when the silent connection last received data, in monotonic seconds.
        """
        self.trusted_from = max(self.trusted_from, before)

    def _is_fresh(self, connection: PooledConnection, max_idle: float) -> bool:
        return now() - connection.used_at < max_idle and connection.is_clean()

    def _usable(self, connection: PooledConnection) -> bool:
        return now() < connection.expires_at and connection.used_at > self.trusted_from

    def close_idle(self, backend: BackendId) -> None:
        """Close all idle connections to a server, after one of them was silent."""
        for connection in self.idle.pop(backend, ()):
            connection.sock.close()

    def prune(self, backends: set[BackendId]) -> None:
        """Close idle connections to servers that are gone, and expired ones.

        :param backends: the servers to keep.
        """
        at = now()
        for backend in list(self.idle):
            connections = self.idle[backend]
            kept = deque(c for c in connections if backend in backends and at < c.expires_at)
            for connection in connections:
                if connection not in kept:
                    connection.sock.close()
            if kept:
                self.idle[backend] = kept
            else:
                del self.idle[backend]

    def _open(self, backend: BackendId, address: str, seconds: float) -> PooledConnection:
        where = parse_address(address)
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            # Out of file descriptors: this says nothing about the server.
            raise BackendUnwilling(f"no socket: {error}", step="connect", peer=backend) from error
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            sock.settimeout(seconds)
            sock.connect((where.host, where.port))
        except ValueError as error:
            # The address cannot be encoded, as one that another writer left.
            sock.close()
            raise BackendUnreachable(f"no address: {error}", step="connect", peer=backend) from error
        except OSError as error:
            sock.close()
            self.on_connect(backend, error)
            if isinstance(error, ConnectionRefusedError):
                self.on_refused(backend, address)
            raise BackendUnreachable(f"cannot connect: {error}", step="connect", peer=backend) from error
        except BaseException:
            sock.close()
            raise
        self.opened += 1
        self.on_connect(backend, None)
        return PooledConnection(sock)


class Exchange:
    """One call on a connection: the request is sent, then the answer is read in pieces."""

    __slots__ = (
        "answer",
        "backend",
        "connection",
        "dirty",
        "interim_answers",
        "pool",
        "sent_at",
        "stale_answers",
    )

    def __init__(self, pool: ConnectionPool, backend: BackendId, connection: PooledConnection) -> None:
        self.pool = pool
        self.backend = backend
        self.connection = connection
        self.answer: Message | None = None
        self.sent_at = 0.0
        """When the request was sent, in monotonic seconds."""

        self.stale_answers = 0
        """Answers to earlier calls that were discarded."""

        self.interim_answers = 0
        """Interim responses that were discarded."""

        self.dirty = False
        """Whether the connection cannot be reused because data of no or another call was read from it."""

    def __repr__(self) -> str:
        return f"<Exchange with {self.backend} {self.answer!r}>"

    def send(self, head: bytes, body: bytes, until: float) -> None:
        """Send the request.

        :param head: the encoded head.
        :param body: the body.
        :param until: when to give up, in monotonic seconds.
        :raises BackendError: if sending failed; parts of the request may have arrived.
        """
        self.sent_at = now()
        try:
            self.connection.sock.settimeout(max(0.001, until - self.sent_at))
            for part in parts_to_send(head, body):
                self.connection.sock.sendall(part)
        except OSError as error:
            raise self._broken_error(f"sending failed: {error}") from error

    def read_head(
        self,
        until: float,
        is_own: Callable[[Message], bool],
        on_interim: Callable[[Message], None] = lambda message: None,
    ) -> Message:
        """Wait for the head of the answer.

        :param until: when to give up, in monotonic seconds.
        :param is_own: returns whether an answer belongs to this call.
        :param on_interim: called with each interim response.
        :return: the answer; its body may be incomplete.
        :raises BackendSilent: if it did not arrive in time.
        :raises BackendError: if the connection broke, or its data is not a valid answer.
        """
        again = False
        while True:
            message = self._current_answer()
            if message is None:
                if not self.receive(until, again):
                    raise self._broken_error("the connection closed before an answer")
                again = True
            elif message.status >= 200 and is_own(message):
                self.answer = message
                self.dirty = self.stale_answers > 0
                return message
            else:
                self._skip(message, until, on_interim)

    def read_piece(self, until: float) -> bytes | None:
        """Wait for the next piece of the body.

        :param until: when to give up, in monotonic seconds.
        :return: the bytes, or None at the end of the answer.
        :raises BackendSilent: if nothing arrived in time; the caller may wait again.
        :raises BackendError: if the answer was truncated or is invalid.
        """
        answer = self.answer
        assert answer is not None
        again = False
        while True:
            if answer.pieces:
                data = b"".join(answer.pieces)
                answer.pieces.clear()
                return data
            if answer.complete:
                return None
            if not self.receive(until, again):
                if not answer.delimited_by_close:
                    raise self._broken_error("the answer was cut")
                answer.complete = True
                self.dirty = True
            again = True

    def read_body(self, until: float, max_bytes: int, hold: HoldBytes = hold_freely) -> bytes:
        """Read the whole body.

        :param until: when to give up, in monotonic seconds.
        :param max_bytes: size limit of the body.
        :param hold: called with the bytes read so far, before further ones are read.
        :return: the bytes.
        :raises BackendSilent: if it is not complete in time.
        :raises AnswerTooLarge: if it exceeds the limit.
        :raises BackendError: if the answer was truncated or is invalid.
        """

        def next_piece() -> bytes | None:
            piece = self.read_piece(until)
            if piece is not None and now() >= until and not self.is_complete():
                raise self._timeout_error()
            return piece

        return join_pieces(next_piece, max_bytes, self.backend, hold)

    def is_complete(self) -> bool:
        """Return whether the whole answer has arrived."""
        return self.answer is not None and self.answer.complete

    def close(self, keep_seconds: float | None = None) -> None:
        """Return the connection to the pool if the answer was read completely, otherwise close it.

        :param keep_seconds: the keep-alive timeout of the server, if it named one.
        """
        answer = self.answer
        whole = answer is not None and answer.complete and not answer.pieces
        clean = whole and not self.dirty and len(self.connection.reader.messages) == 1
        if clean and answer is not None and answer.keep_alive and self.connection.is_clean():
            self.connection.reader.messages.clear()
            self.pool.release(self.backend, self.connection, keep_seconds)
        else:
            self.connection.reader.discard()
            self.connection.sock.close()

    def receive(self, until: float, again: bool = False) -> bool:
        """Read once from the connection; return false if it was closed.

        :param until: when to give up, in monotonic seconds; what has arrived by then is read all the same.
        :param again: whether an earlier read brought nothing of use. This one then keeps to the time, and
            lets other tasks run: a server may send such bytes without end.
        """
        if again:
            if now() >= until:
                raise self._timeout_error()
            eventlet.sleep(0)
        try:
            data = receive(self.connection.sock, until)
        except TimeoutError as error:
            raise self._timeout_error() from error
        except OSError as error:
            raise self._broken_error(f"the connection broke: {error}") from error
        if not data:
            return False
        try:
            self.connection.reader.feed(data)
        except InvalidMessage as error:
            if self.answer is None or not self.answer.complete:
                raise self._broken_error(f"invalid HTTP answer: {error.message}") from error
            # Data after a complete answer belongs to no call.
            self.dirty = True
        return True

    def _current_answer(self) -> Message | None:
        messages = self.connection.reader.messages
        return messages[0] if messages and messages[0].head_complete else None

    def _skip(self, message: Message, until: float, on_interim: Callable[[Message], None]) -> None:
        """Discard an interim response, or an answer to an earlier call."""
        too_many = self.stale_answers >= MAX_STALE_ANSWERS or self.interim_answers >= MAX_INTERIM_ANSWERS
        if too_many or message.delimited_by_close:
            raise self._broken_error("received an answer to another call")
        again = False
        while not message.complete:
            message.pieces.clear()
            if not self.receive(until, again):
                raise self._broken_error("the connection closed inside an answer to another call")
            again = True
        self.connection.reader.messages.popleft()
        if message.status >= 200:
            self.stale_answers += 1
            return
        self.interim_answers += 1
        on_interim(message)

    def _timeout_error(self) -> BackendSilent:
        return BackendSilent("no answer in time", step="receive", peer=self.backend)

    def _broken_error(self, message: str) -> BackendError:
        return BackendError(message, step="receive", peer=self.backend)


def join_pieces(
    next_piece: Callable[[], bytes | None], max_bytes: int, peer: str, hold: HoldBytes = hold_freely
) -> bytes:
    """Read the pieces of a body to its end.

    :param next_piece: returns the next piece, or None at the end.
    :param max_bytes: size limit of the body.
    :param peer: who sends it.
    :param hold: called with the bytes read so far, before further ones are read.
    :raises AnswerTooLarge: if it exceeds the limit.
    """
    body = bytearray()
    while (piece := next_piece()) is not None:
        body += piece
        if len(body) > max_bytes:
            raise AnswerTooLarge(f"the answer exceeds {max_bytes} bytes", step="receive", peer=peer)
        hold(len(body))
    return bytes(body)


def open_exchange(
    pool: ConnectionPool,
    backend: BackendId,
    address: str,
    max_idle: float = DEFAULT_IDLE_SECONDS,
    connect_seconds: float = CONNECT_SECONDS,
    request: RequestId | None = None,
) -> Exchange:
    """Start an exchange on an idle or a new connection.

    :param pool: the connection pool.
    :param backend: the server.
    :param address: the address that it listens on.
    :param max_idle: greatest idle time of a pooled connection, in seconds.
    :param connect_seconds: timeout of the connect.
    :param request: the request that is to be sent, if it may run only once.
    :return: the exchange; nothing is sent yet.
    :raises BackendUnreachable: if the server cannot be reached.
    """
    connection = pool.acquire(backend, address, max_idle, connect_seconds, request)
    return Exchange(pool, backend, connection)
