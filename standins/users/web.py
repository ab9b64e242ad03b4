"""HTTP of the stand-ins: a thread for each connection, which faults may reset."""

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
    """Requests of one connection; what is served is up to the server's ``site``."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    extra: dict[str, str]
    """Headers of the answer that whoever serves the request adds."""

    def log_message(self, *_: Any) -> None:
        """Say nothing: tests look at what came of requests."""

    def do_GET(self) -> None:
        """Serve a GET."""
        self.extra = {}
        length = int(self.headers.get("Content-Length") or 0)
        self.server.site.serve(self, self.rfile.read(length))  # type: ignore[attr-defined]

    do_POST = do_PUT = do_DELETE = do_GET

    def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Send a whole answer."""
        self.send_response_only(status)
        for name, value in {**(headers or {}), **self.extra, "Content-Length": str(len(body))}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def json(self, value: Any, status: int = 200) -> None:
        """Send a whole answer in JSON."""
        self.answer(status, msgspec.json.encode(value), {"Content-Type": "application/json"})

    def reset(self) -> None:
        """Reset the connection."""
        self.wfile.flush()
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close_connection = True
        self.connection.close()


class Server(ThreadingHTTPServer):
    """A listening server of the stand-in."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, site: Any, port: int | None = None) -> None:
        super().__init__((HOST, port or free_port()), Handler)
        self.site = site
        self.connections: list[socket.socket] = []
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Remember the connection, so that it can be ended from outside."""
        self.connections.append(request)
        super().process_request(request, client_address)

    def end(self) -> None:
        """End at once, with all connections."""
        self.shutdown()
        self.server_close()
        for connection in self.connections:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, *_: Any) -> None:
        """Pass over connections that broke: faults break them on purpose."""

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"{HOST}:{self.server_address[1]}"
