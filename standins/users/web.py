"""HTTP servers of the stand-ins: one thread for each connection, which faults may reset."""

import socket
import struct
import threading
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import msgspec

from standins.world import free_port

HOST = "127.0.0.1"


class Handler(BaseHTTPRequestHandler):
    """Handler of one connection; passes requests to the ``serve`` method of the server's ``site``."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    extra: dict[str, str]
    """Further headers of the answer, set while the request is served."""

    def log_message(self, *_: Any) -> None:
        """Log nothing; tests check the outcomes of requests."""

    def do_GET(self) -> None:
        """Serve a request of any method."""
        self.extra = {}
        length = int(self.headers.get("Content-Length") or 0)
        self.server.site.serve(self, self.rfile.read(length))  # type: ignore[attr-defined]

    do_POST = do_PUT = do_DELETE = do_GET

    def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Send a complete answer."""
        self.send_response_only(status)
        for name, value in {**(headers or {}), **self.extra, "Content-Length": str(len(body))}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def json(self, value: Any, status: int = 200) -> None:
        """Send a complete answer in JSON."""
        self.answer(status, msgspec.json.encode(value), {"Content-Type": "application/json"})

    def reset(self) -> None:
        """Reset the connection."""
        self.wfile.flush()
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close_connection = True
        self.connection.close()


class Server(ThreadingHTTPServer):
    """A listening HTTP server of a stand-in."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, site: Any, port: int | None = None) -> None:
        super().__init__((HOST, port or free_port()), Handler)
        self.site = site
        self.connections: list[socket.socket] = []
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Keep the connection, so that :meth:`end` can close it."""
        self.connections.append(request)
        super().process_request(request, client_address)

    def end(self) -> None:
        """Close the listener and all connections at once."""
        self.shutdown()
        self.server_close()
        for connection in self.connections:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, *_: Any) -> None:
        """Ignore broken connections; faults break them on purpose."""

    @property
    def address(self) -> str:
        """Return the address it listens on."""
        return f"{HOST}:{self.server_address[1]}"
