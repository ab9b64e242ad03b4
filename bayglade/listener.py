"""HTTP server for callers: accepts connections, reads requests and passes each to a handler.

Each connection is served by a green thread of its own. Handlers only get requests that are complete and
within the limits; malformed, truncated or slow ones are rejected here.
"""

import socket
from collections.abc import Callable
from http import HTTPStatus

import eventlet
import msgspec

from bayglade.clock import now
from bayglade.exceptions import BaygladeError, HeadTooLarge, InvalidMessage, SlowHead
from bayglade.http1 import Headers, Message, MessageParser, encode_head
from bayglade.logs import event
from bayglade.responses import JSON_TYPE, OUTCOME_HEADER, SENT_HEADER, error_body
from bayglade.settings import CallerLimits
from bayglade.sockets import receive

LISTEN_BACKLOG = 1024
SEND_TIMEOUT = 10.0
"""Timeout of sending to a caller that doesn't read."""
LINGER_SECONDS = 0.5
"""How long to read and discard the rest of a rejected request: closing the connection with unread bytes
would reset it, and the caller could lose the response."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Connection:
    """A caller's connection, as passed to the handler."""

    __slots__ = ("close_after_response", "limits", "parser", "peer_headers", "response_started", "sock")

    def __init__(self, sock: socket.socket, limits: CallerLimits) -> None:
        self.peer_headers: Headers = []
        """Added to each response where the other side is a daemon, which is also told the outcome of
        errors."""

        self.sock = sock
        self.limits = limits
        self.parser = MessageParser(False, limits.head_bytes, limits.body_bytes)
        self.close_after_response = False
        """Whether the connection closes after the next response."""
        self.response_started = False
        """Whether any byte of the current response was sent."""

    def __repr__(self) -> str:
        return f"<Connection closing={self.close_after_response}>"

    def send(self, data: bytes) -> None:
        """Send bytes of the response.

        :param data: the bytes.
        :raises OSError: if the caller is gone or doesn't read.
        """
        self.response_started = True
        self.sock.sendall(data)

    def send_response(self, status: int, headers: Headers, content: bytes) -> None:
        """Send a complete response.

        :param status: the HTTP status.
        :param headers: the headers, without Content-Length and Connection.
        :param content: the body.
        :raises OSError: if the caller is gone or doesn't read.
        """
        self.send(self.response_head(status, [*headers, ("Content-Length", str(len(content)))]) + content)

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
        """
        deadline = now() + self.limits.idle_seconds
        while True:
            message = self.parser.messages[0] if self.parser.messages else None
            if message is not None and message.complete:
                return self.parser.messages.popleft()
            if not self._receive(deadline, message):
                return None
            if message is None and self._request_started():
                # The timeout of a request starts with its first byte.
                deadline = now() + self.limits.head_seconds
            self._send_continue()

    def _request_started(self) -> bool:
        return bool(self.parser.messages) or self.parser.head_bytes > 0

    def _receive(self, deadline: float, message: Message | None) -> bool:
        try:
            data = receive(self.sock, deadline)
        except TimeoutError:
            if not self._request_started():
                return False
            raise SlowHead("the request was not received in time", step="read", peer="caller") from None
        if not data:
            return False
        self.parser.feed(data)
        return True

    def _send_continue(self) -> None:
        """Send ``100 Continue`` if the caller waits for it before sending the body (RFC 9110, 10.1.1)."""
        message = self.parser.messages[0] if self.parser.messages else None
        if message is None or message.complete or not message.head_complete or message.pieces:
            return
        if message.header("expect") is not None:
            message.headers = [(n, v) for n, v in message.headers if n.lower() != "expect"]
            self.sock.sendall(CONTINUE)


Handler = Callable[[Connection, Message], None]


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def listen(host: str, port: int) -> socket.socket:
    """Open a listening socket.

    :param host: an IP address.
    :param port: the port.
    :return: the socket.
    :raises OSError: if the address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


def serve(listening: socket.socket, limits: Callable[[], CallerLimits], handler: Handler) -> None:
    """Accept connections until the socket is closed, serving each in a green thread.

    :param listening: the listening socket.
    :param limits: returns the limits for new connections.
    :param handler: serves a request.
    """
    while True:
        try:
            sock, _ = listening.accept()
        except OSError as error:
            if listening.fileno() < 0:
                return
            # Out of file descriptors, most likely; retry, as connections in use will free theirs.
            event("ERROR", "cannot accept a connection", error=repr(error))
            eventlet.sleep(0.05)
            continue
        eventlet.spawn_n(_serve_connection, sock, limits(), handler)


def _serve_connection(sock: socket.socket, limits: CallerLimits, handler: Handler) -> None:
    connection = Connection(sock, limits)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while _serve_request(connection, handler):
            pass
    except OSError as error:
        event("DEBUG", "connection to caller failed", error=repr(error))
    finally:
        sock.close()


def _serve_request(connection: Connection, handler: Handler) -> bool:
    """Serve a request; return whether another one may follow on the connection."""
    try:
        message = connection.next_request()
    except InvalidMessage as error:
        _reject_malformed(connection, error)
        return False
    if message is None:
        return False
    connection.response_started = False
    connection.close_after_response = connection.close_after_response or not message.keep_alive
    connection.sock.settimeout(SEND_TIMEOUT)
    handler(connection, message)
    return not connection.close_after_response


def _reject_malformed(connection: Connection, error: InvalidMessage) -> None:
    """Reject a malformed request and close the connection, as the end of the request is unknown."""
    event("INFO", "bad request", error=repr(error), large=isinstance(error, HeadTooLarge))
    connection.close_after_response = True
    connection.sock.settimeout(LINGER_SECONDS)
    connection.send_error(error)
    connection.sock.shutdown(socket.SHUT_WR)
    deadline = now() + LINGER_SECONDS
    while receive(connection.sock, deadline):
        pass
