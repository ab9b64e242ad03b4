"""HTTP server for callers: accepts connections, reads requests and passes each to a handler.

Each connection is served by a green thread of its own. Handlers only get requests that are complete and
within the limits; malformed, truncated or slow ones are rejected here.
"""

import socket
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING

import eventlet
import msgspec
from eventlet.hubs import trampoline

from bayglade.clients import Client, ClientRemoved, Clients, ClientState, ConnectionEnded
from bayglade.clock import now
from bayglade.exceptions import BaygladeError, HeadTooLarge, SlowHead
from bayglade.http1 import Headers, Message, MessageParser, encode_head, parts_to_send
from bayglade.logs import event, rate_limited
from bayglade.responses import JSON_TYPE, OUTCOME_HEADER, SENT_HEADER, error_body
from bayglade.settings import CallerLimits
from bayglade.sockets import READ_BYTES, ReadTurns, receive, wait_readable

if TYPE_CHECKING:
    from eventlet.greenio import GreenSocket

LISTEN_BACKLOG = 1024
RECEIVE_BUFFER_BYTES = 16 * 1024
"""Receive buffer of each connection of a client. Bytes that wait there count as memory of the process."""
SEND_BUFFER_BYTES = 64 * 1024
"""Send buffer of each connection of a client."""
SEND_TIMEOUT = 10.0
"""Timeout of sending to a caller that doesn't read."""
FREE_READS = 4
"""Reads of one request before it takes turns with others; most requests need one or two."""
FREE_READ_BYTES = 16 * 1024
CHUNKED_READ_BYTES = 8 * 1024
"""Bytes read in one turn from a body in chunks: each chunk costs a call of the parser, and one byte of
content is enough for a chunk."""
LINGER_SECONDS = 0.5
"""How long to read and discard the rest of a rejected request: closing the connection with unread bytes
would reset it, and the caller could lose the response."""
CLOSE_SECONDS = 0.1
"""The same for an idle connection when the daemon exits, on which a request may be on its way."""
REJECTIONS_LOGGED_PER_SECOND = 10.0
ACCEPT_RETRY_SECONDS = 0.05
ACCEPTS_PER_TURN = 32
"""Connections that are accepted in a row before other tasks run."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Connection:
    """A caller's connection, as passed to the handler."""

    __slots__ = (
        "ahead",
        "answer_until",
        "check_head",
        "client",
        "close_after_response",
        "limits",
        "limits_in_force",
        "note_rejected",
        "parser",
        "peer_headers",
        "replace_rejection",
        "response_started",
        "send_seconds",
        "sock",
        "turns",
    )

    def __init__(self, sock: "GreenSocket", client: Client, limits: CallerLimits, turns: ReadTurns) -> None:
        self.peer_headers: Headers = []
        """Added to each response where the other side is a daemon, which is also told the outcome of
        errors."""

        self.check_head: Callable[[Message], None] | None = None
        """Called with each request before its body is read. Raises BaygladeError if it is not to be."""

        self.note_rejected: Callable[[Message, BaygladeError], None] | None = None
        """Called with each request that is rejected before the handler gets it, if its head is known."""

        self.replace_rejection: Callable[[BaygladeError], BaygladeError] = lambda error: error
        """Returns the error that the caller gets in place of one for which its request is rejected."""

        self.sock = sock
        self.client = client
        self.limits = limits
        """The limits as of the last bytes that were read."""

        self.limits_in_force: Callable[[], CallerLimits] = lambda: limits
        """Returns the limits in force."""

        self.turns = turns
        self.parser = MessageParser(False, limits.head_bytes, limits.body_bytes)
        self.ahead = b""
        """Bytes of later requests, which are parsed once it is their turn."""

        self.close_after_response = False
        """Whether the connection closes after the next response."""
        self.response_started = False
        """Whether any byte of the current response was sent."""

        self.answer_until = 0.0
        """The deadline of the current request, in monotonic seconds; until then its answer may be read."""

        self.send_seconds = SEND_TIMEOUT
        """Timeout of each wait for the caller to read."""

    def __repr__(self) -> str:
        return f"<Connection closing={self.close_after_response}>"

    def send(self, data: bytes | memoryview) -> None:
        """Send bytes of the response.

        :param data: the bytes.
        :raises OSError: if the caller is gone or doesn't read.
        """
        self.response_started = True
        try:
            sent = self.sock.fd.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self._send_rest(memoryview(data)[sent:])

    def _send_rest(self, data: memoryview) -> None:
        """Send bytes as the caller reads: until the deadline of its request, with bounded pauses."""
        until = max(self.answer_until, now() + self.send_seconds)
        state, raw = self.client.state, self.sock.fd
        self.client.enter(ClientState.SENDING)
        while data:
            left = min(self.send_seconds, until - now())
            if left <= 0:
                raise TimeoutError("the caller reads too slowly")
            trampoline(raw, write=True, timeout=left, timeout_exc=TimeoutError)
            with suppress(BlockingIOError):
                data = data[raw.send(data) :]
        self.client.enter(state)

    def send_response(self, status: int, headers: Headers, content: bytes) -> None:
        """Send a complete response.

        :param status: the HTTP status.
        :param headers: the headers, without Content-Length and Connection.
        :param content: the body.
        :raises OSError: if the caller is gone or doesn't read.
        """
        head = self.response_head(status, [*headers, ("Content-Length", str(len(content)))])
        for part in parts_to_send(head, content):
            self.send(part)

    def response_head(self, status: int, headers: Headers) -> bytes:
        """Encode the head of a response, adding ``Connection: close`` if it is the last.

        :param status: the HTTP status.
        :param headers: all other headers.
        :return: the encoded head.
        """
        if self.close_after_response:
            headers = [*headers, ("Connection", "close")]
        return encode_head(f"HTTP/1.1 {status} {reason_phrase(status)}", [*headers, *self.peer_headers])

    def send_error(self, error: BaygladeError, request: str = "") -> None:
        """Send an error response.

        :param error: the error.
        :param request: the request's id, if known.
        :raises OSError: if the caller is gone or doesn't read.
        """
        headers = [("Content-Type", JSON_TYPE)]
        if error.retry_after is not None:
            headers.append(("Retry-After", f"{error.retry_after:.3f}"))
        if self.peer_headers:
            headers.append((OUTCOME_HEADER, error.outcome.value))
            headers.append((SENT_HEADER, "1" if error.sent else "0"))
        self.send_response(error.status, headers, msgspec.json.encode(error_body(error, request)))

    def next_request(self) -> Message | None:
        """Wait for the next complete request.

        :return: the request, or ``None`` if the caller closed the connection or the idle timeout passed.
        :raises InvalidMessage: if the bytes received aren't a valid request.
        :raises HostFull: if there is no memory for it; nothing was run.
        :raises BaygladeError: if its body is not to be read.
        """
        started = bool(self.ahead)
        self._update_limits()
        deadline = now() + (self.limits.head_seconds if started else self.limits.idle_seconds)
        self.client.enter(ClientState.RECEIVING if started else ClientState.IDLE)
        self._parse(b"")
        reads, head_done = 0, False
        while not self._is_complete():
            more = self._read_in_turn(deadline) if reads >= FREE_READS else self._read(deadline, started)
            if not more:
                return None
            reads += 1
            if not started:
                # The timeout of a request starts with its first byte.
                started, deadline = True, now() + self.limits.head_seconds
                self.client.enter(ClientState.RECEIVING)
            head_done = head_done or self._begin_body()
        self.client.begin_service()
        return self.parser.messages.popleft()

    def discard_request(self) -> None:
        """Keep nothing that was received; no further request can be read."""
        self.parser.discard()
        self.ahead = b""
        self.client.let_go()

    def _update_limits(self) -> None:
        """Apply the limits in force, which may have changed since the connection was accepted."""
        limits = self.limits_in_force()
        if limits is not self.limits:
            self.limits = limits
            self.parser.max_head_bytes, self.parser.max_body_bytes = limits.head_bytes, limits.body_bytes

    def _is_complete(self) -> bool:
        return bool(self.parser.messages) and self.parser.messages[0].complete

    def _read(self, deadline: float, started: bool) -> bool:
        """Read and parse once; return whether the connection goes on."""
        began, idle_seconds = now(), self.limits.idle_seconds
        while True:
            try:
                data = receive(self.sock, deadline, FREE_READ_BYTES)
                break
            except TimeoutError:
                if started:
                    raise _slow_head() from None
            self._update_limits()
            if self.limits.idle_seconds <= idle_seconds:
                return False
            idle_seconds = self.limits.idle_seconds
            deadline = began + idle_seconds
        self._parse(data)
        return bool(data)

    def _read_in_turn(self, deadline: float) -> bool:
        """Read and parse once, after other tasks; return whether the connection goes on."""
        messages = self.parser.messages
        size = CHUNKED_READ_BYTES if messages and messages[0].chunked else READ_BYTES
        try:
            wait_readable(self.sock, deadline)
        except TimeoutError:
            raise _slow_head() from None
        with self.turns.turn():
            try:
                data = receive(self.sock, now(), size)
            except TimeoutError:
                # Not readable after all.
                return True
            self._parse(data)
        return bool(data)

    def _parse(self, data: bytes) -> None:
        """Parse received bytes up to the end of a request, and keep the rest."""
        self._update_limits()
        data, start = self.ahead + data, 0
        self.ahead = b""
        while start < len(data) and not self._is_complete():
            end = self.parser.end_of_part(data, start)
            self.parser.feed(data[start:end])
            start = end
        self.ahead = data[start:]
        self.client.hold_request(self.parser.kept_bytes() + len(self.ahead))

    def _begin_body(self) -> bool:
        """Check the head of an incomplete request; return whether it is there.

        Send ``100 Continue`` if the caller waits for it before sending the body (RFC 9110, 10.1.1).
        """
        message = self.parser.messages[0] if self.parser.messages else None
        if message is None or message.complete or not message.head_complete:
            return False
        if self.check_head is not None:
            self.check_head(message)
        if not message.buffer and message.header("expect") is not None:
            message.headers = [(n, v) for n, v in message.headers if n.lower() != "expect"]
            self.sock.sendall(CONTINUE)
        return True


log_rejected = rate_limited(REJECTIONS_LOGGED_PER_SECOND)
log_not_accepted = rate_limited(1.0)


def _slow_head() -> SlowHead:
    return SlowHead("the request was not received in time", step="read", peer="caller")


Handler = Callable[[Connection, Message], None]
Prepare = Callable[[Connection], None]


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def listen(host: str, port: int, for_clients: bool = False) -> socket.socket:
    """Open a listening socket.

    :param host: an IP address.
    :param port: the port.
    :param for_clients: whether to limit the buffers of each connection, which the kernel otherwise enlarges
        on busy ones.
    :return: the socket.
    :raises OSError: if the address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if for_clients:
        limit_buffers(sock)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


def limit_buffers(listening: socket.socket) -> None:
    """Limit the buffers of the connections that a socket accepts, which inherit them."""
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def serve(
    listening: socket.socket,
    clients: Clients,
    limits: Callable[[], CallerLimits],
    handler: Handler,
    prepare: Prepare = lambda connection: None,
) -> None:
    """Accept connections until the socket is closed, serving each in a green thread.

    :param listening: the listening socket.
    :param clients: the clients of this listener.
    :param limits: returns the limits in force.
    :param handler: serves a request.
    :param prepare: called with each new connection.
    """
    accepted = 0
    while True:
        try:
            sock, address = listening.accept()
        except OSError as error:
            if listening.fileno() < 0:
                return
            # Out of file descriptors, most likely; retry, as connections in use will free theirs.
            log_not_accepted("ERROR", "cannot accept a connection", error=repr(error))
            eventlet.sleep(ACCEPT_RETRY_SECONDS)
            continue
        eventlet.spawn_n(_serve_connection, sock, address[0], clients, limits, handler, prepare)
        accepted += 1
        if accepted % ACCEPTS_PER_TURN == 0:
            eventlet.sleep(0)


def _serve_connection(
    sock: "GreenSocket",
    address: str,
    clients: Clients,
    limits: Callable[[], CallerLimits],
    handler: Handler,
    prepare: Prepare,
) -> None:
    try:
        client = clients.add(address)
    except ClientRemoved:
        sock.close()
        return
    connection = Connection(sock, client, limits(), clients.turns)
    connection.limits_in_force = limits
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        prepare(connection)
        while _serve_request(connection, handler):
            pass
    except ConnectionEnded:
        with suppress(OSError):
            _close_in_order(connection, CLOSE_SECONDS)
    except OSError as error:
        event("DEBUG", "connection to caller failed", error=repr(error))
    finally:
        connection.discard_request()
        clients.discard(client)
        sock.close()


def _serve_request(connection: Connection, handler: Handler) -> bool:
    """Serve a request; return whether another one may follow on the connection."""
    rejection: BaygladeError | None = None
    message = None
    try:
        message = connection.next_request()
    except BaygladeError as error:
        # Its traceback refers to what was received; so may that of the error that was handled meanwhile.
        rejection = error.with_traceback(None)
        rejection.__context__ = None
    if rejection is not None:
        _reject(connection, rejection)
    if message is None:
        return False
    connection.response_started, connection.answer_until = False, 0.0
    connection.close_after_response = connection.close_after_response or not message.keep_alive
    connection.sock.settimeout(SEND_TIMEOUT)
    handler(connection, message)
    connection.client.let_go()
    return not connection.close_after_response


def _reject(connection: Connection, error: BaygladeError) -> None:
    """Reject a request that was not read completely, and close the connection."""
    _note_rejection(connection, error)
    connection.client.enter(ClientState.CLOSING)
    connection.discard_request()
    connection.close_after_response = True
    connection.send_seconds = LINGER_SECONDS
    connection.send_error(connection.replace_rejection(error))
    _close_in_order(connection, LINGER_SECONDS)


def _note_rejection(connection: Connection, error: BaygladeError) -> None:
    """Log and record a rejection; the request itself must not be kept while the connection closes."""
    log_rejected("INFO", "bad request", error=repr(error), large=isinstance(error, HeadTooLarge))
    message = connection.parser.messages[0] if connection.parser.messages else None
    if message is not None and message.head_complete and connection.note_rejected is not None:
        connection.note_rejected(message, error)


def _close_in_order(connection: Connection, seconds: float) -> None:
    """Tell the caller that nothing more comes, and discard what it still sends, for a while.

    :param seconds: how long.
    :raises OSError: if the connection is broken.
    """
    connection.sock.shutdown(socket.SHUT_WR)
    deadline = now() + seconds
    with suppress(TimeoutError):
        while True:
            wait_readable(connection.sock, deadline)
            if not receive(connection.sock, deadline):
                return
