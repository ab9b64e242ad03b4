"""The listener: accepts connections, reads requests from them and hands each to a handler.

One task serves a connection. What a handler gets is whole and within the
limits: nothing of a request that is malformed, cut short or too slow goes on.
"""

import socket
from collections.abc import Callable
from http import HTTPStatus

import eventlet
import msgspec

from bayglade.clock import now
from bayglade.exceptions import BaygladeError, HeadTooLarge, InvalidMessage, SlowHead
from bayglade.heads import Headers, Message, Reader, write_head
from bayglade.logs import event
from bayglade.responses import JSON_TYPE, error_body
from bayglade.settings import CallerLimits
from bayglade.sockets import receive

BACKLOG = 1024
SEND_SECONDS = 10.0
"""How long a caller that does not read may hold up a send."""
LINGER_SECONDS = 0.5
"""How long bytes of a refused request are read away, so that the answer is not reset."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Connection:
    """A caller's connection, as its handler sees it."""

    __slots__ = ("closing", "limits", "reader", "sent", "sock")

    def __init__(self, sock: socket.socket, limits: CallerLimits) -> None:
        self.sock = sock
        self.limits = limits
        self.reader = Reader(False, limits.head_bytes, limits.body_bytes)
        self.closing = False
        """Set when the next answer should be the last."""
        self.sent = False
        """Whether a byte of the present answer was sent."""

    def __repr__(self) -> str:
        return f"<Connection closing={self.closing}>"

    def send(self, data: bytes) -> None:
        """Send bytes of the answer.

        :param data: the bytes.
        :raises OSError: when the caller is gone or does not read.
        """
        self.sent = True
        self.sock.sendall(data)

    def answer(self, status: int, headers: Headers, content: bytes) -> None:
        """Send a whole answer.

        :param status: the HTTP status.
        :param headers: without those of framing.
        :param content: the body.
        :raises OSError: when the caller is gone.
        """
        self.send(self.head(status, [*headers, ("Content-Length", str(len(content)))]) + content)

    def head(self, status: int, headers: Headers) -> bytes:
        """Write the head of an answer, with the word on the connection.

        :param status: the HTTP status.
        :param headers: all others.
        :return: the bytes.
        """
        if self.closing:
            headers = [*headers, ("Connection", "close")]
        return write_head(f"HTTP/1.1 {status} {reason(status)}", headers)

    def refuse(self, error: BaygladeError, request: str = "") -> None:
        """Answer with an error.

        :param error: what went wrong.
        :param request: the request's id, if known.
        :raises OSError: when the caller is gone.
        """
        headers = [("Content-Type", JSON_TYPE)]
        if error.retry_after is not None:
            headers.append(("Retry-After", f"{error.retry_after:.3f}"))
        self.answer(error.status, headers, msgspec.json.encode(error_body(error, request)))

    def next_request(self) -> Message | None:
        """Wait for the next whole request.

        :return: the request; nothing when the caller closed or stayed idle too long.
        :raises InvalidMessage: when what came is no proper request.
        """
        until = now() + self.limits.idle_seconds
        while True:
            message = self.reader.messages[0] if self.reader.messages else None
            if message is not None and message.complete:
                return self.reader.messages.popleft()
            if not self._receive(until, message):
                return None
            if message is None and self._begun():
                # The time for a request counts from its first byte.
                until = now() + self.limits.head_seconds
            self._continue()

    def _begun(self) -> bool:
        return bool(self.reader.messages) or self.reader.head_bytes > 0

    def _receive(self, until: float, message: Message | None) -> bool:
        try:
            data = receive(self.sock, until)
        except TimeoutError:
            if not self._begun():
                return False
            raise SlowHead("the request did not come in time", step="read", peer="caller") from None
        if not data:
            return False
        self.reader.feed(data)
        return True

    def _continue(self) -> None:
        """Ask for the body where the caller waits for that word (RFC 9110, 10.1.1)."""
        message = self.reader.messages[0] if self.reader.messages else None
        if message is None or message.complete or not message.head_done or message.pieces:
            return
        if message.header("expect") is not None:
            message.headers = [(n, v) for n, v in message.headers if n.lower() != "expect"]
            self.sock.sendall(CONTINUE)


Handler = Callable[[Connection, Message], None]


def reason(status: int) -> str:
    """Return the usual words for a status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def listen(host: str, port: int) -> socket.socket:
    """Open a listening socket.

    :param host: an IP number.
    :param port: the port.
    :return: the socket.
    :raises OSError: when the address cannot be had.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock


def serve(listening: socket.socket, limits: Callable[[], CallerLimits], handler: Handler) -> None:
    """Accept connections until the socket is closed, a task for each.

    :param listening: the socket.
    :param limits: returns the limits in force for new connections.
    :param handler: serves one request.
    """
    while True:
        try:
            sock, _ = listening.accept()
        except OSError as error:
            if listening.fileno() < 0:
                return
            # Out of descriptors: those in use will be given back.
            event("ERROR", "accept failed", error=repr(error))
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
        event("DEBUG", "caller gone", error=repr(error))
    finally:
        sock.close()


def _serve_request(connection: Connection, handler: Handler) -> bool:
    """Serve one request; tell whether another may follow."""
    try:
        message = connection.next_request()
    except InvalidMessage as error:
        _refuse_bad(connection, error)
        return False
    if message is None:
        return False
    connection.sent = False
    connection.closing = connection.closing or not message.keep_alive
    connection.sock.settimeout(SEND_SECONDS)
    handler(connection, message)
    return not connection.closing


def _refuse_bad(connection: Connection, error: InvalidMessage) -> None:
    """Answer a request that is not understood, then close: its end is unknown."""
    event("INFO", "bad request", error=repr(error), large=isinstance(error, HeadTooLarge))
    connection.closing = True
    connection.sock.settimeout(LINGER_SECONDS)
    connection.refuse(error)
    connection.sock.shutdown(socket.SHUT_WR)
    until = now() + LINGER_SECONDS
    while receive(connection.sock, until):
        pass
