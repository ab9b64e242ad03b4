"""The HTTP server for callers and operators, based on eventlet's WSGI server.

By default, eventlet has no timeout for request heads and accepts the first of
two ``Content-Length`` headers. The protocol class here adds the timeout and
rejects requests with duplicates of such headers.
"""

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import eventlet
import eventlet.wsgi

BAD_REQUEST_RESPONSE = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
IDLE_TIMEOUT = 60.0
SOCKET_TIMEOUT = 60.0
SINGLE_HEADERS = ("content-length", "transfer-encoding", "host", "authorization", "idempotency-key")


class _NullLog:
    """Discards the output of the WSGI server; requests are logged elsewhere."""

    def write(self, _: str) -> None:
        """Discard a line."""


def create_protocol_class(header_timeout: float, max_waiting: int) -> type[eventlet.wsgi.HttpProtocol]:
    """Create a protocol class that limits the time of request heads, and the connections without one.

    :param header_timeout: maximum seconds from the first to the last byte of a head.
    :param max_waiting: maximum number of connections without a complete head; the oldest is closed first.
    :return: the class, for the WSGI server.
    """
    waiting: dict[eventlet.wsgi.HttpProtocol, None] = {}

    class GuardedProtocol(eventlet.wsgi.HttpProtocol):
        """eventlet's HTTP protocol with a timeout for request heads and a check for duplicate headers."""

        def _read_request_line(self) -> Any:
            waiting[self] = None
            if len(waiting) > max_waiting:
                next(iter(waiting))._shut_down()
            if not self._wait_for_request():
                return ""
            self.guard = eventlet.spawn_after(header_timeout, self._shut_down)
            return super()._read_request_line()

        def _wait_for_request(self) -> bool:
            """Wait for the first byte of the next request, at most for the idle timeout."""
            try:
                self.connection.settimeout(IDLE_TIMEOUT)
                return bool(self.rfile.peek(1))
            except (OSError, ValueError):
                return False

        def _shut_down(self) -> None:
            waiting.pop(self, None)
            with suppress(OSError):
                self.connection.shutdown(socket.SHUT_RDWR)

        def parse_request(self) -> bool:
            try:
                good = super().parse_request()
            finally:
                self.guard.cancel()
                waiting.pop(self, None)
            if good and self._has_duplicate_headers():
                self.wfile.write(BAD_REQUEST_RESPONSE)
                self.close_connection = True
                return False
            return bool(good)

        def handle_one_request(self) -> None:
            try:
                super().handle_one_request()
            finally:
                waiting.pop(self, None)
                if getattr(self, "guard", None) is not None:
                    self.guard.cancel()

        def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
            """Answer a malformed head with a plain 400 response that does not echo the request."""
            self.wfile.write(BAD_REQUEST_RESPONSE)
            self.close_connection = True

        def _has_duplicate_headers(self) -> bool:
            return any(len(self.headers.get_all(name, ())) > 1 for name in SINGLE_HEADERS)

    return GuardedProtocol


def serve(
    sock: socket.socket,
    application: Callable[..., Any],
    max_requests: int,
    max_waiting: int,
    header_timeout: float,
) -> None:
    """Serve until the calling green thread is killed, then wait for responses in flight.

    :param sock: the listening socket.
    :param application: the WSGI application.
    :param max_requests: maximum number of requests at once.
    :param max_waiting: maximum number of connections without a complete head.
    :param header_timeout: maximum seconds for the head of a request.
    """
    with suppress(eventlet.greenlet.GreenletExit):
        eventlet.wsgi.server(
            sock,
            application,
            log=_NullLog(),
            log_output=False,
            debug=False,
            custom_pool=eventlet.GreenPool(max_requests + max_waiting + 1),
            protocol=create_protocol_class(header_timeout, max_waiting),
            keepalive=IDLE_TIMEOUT,
            socket_timeout=SOCKET_TIMEOUT,
        )
