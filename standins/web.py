"""A minimal JSON server over eventlet's WSGI, shared by the stand-ins."""

import argparse
import signal
import socket
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
import eventlet.wsgi
import msgspec

StartResponse = Callable[..., Any]
Handler = Callable[[bytes, dict[str, Any]], tuple[int, Any]]
"""Takes the body and the WSGI environment; returns a status and a value to encode as JSON."""


class Site:
    """Routes ``METHOD /path`` to handlers; a path that ends in ``/`` matches all paths below it."""

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}
        self.streams: dict[str, Callable[[bytes, StartResponse], Iterable[bytes]]] = {}

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request (PEP 3333)."""
        body = environ["wsgi.input"].read()
        environ["eventlet.minimum_write_chunk_size"] = 0
        name = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
        if name in self.streams:
            return self.streams[name](body, start_response)
        handler = self.handlers.get(name) or self._by_prefix(name)
        status, answer = handler(body, environ) if handler else (404, {"error": name})
        content = answer if isinstance(answer, bytes) else msgspec.json.encode(answer)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
        start_response(f"{status} Status", headers)
        return [content]

    def _by_prefix(self, name: str) -> Handler | None:
        prefixes = [key for key in self.handlers if key.endswith("/") and name.startswith(key)]
        return self.handlers[prefixes[0]] if prefixes else None


def serve(site: Site, listen: str) -> None:
    """Serve until the process is terminated.

    :param site: the routes.
    :param listen: address as ``IP:port``.
    """
    host, _, port = listen.rpartition(":")
    sock = eventlet.listen((host, int(port)), backlog=1024, reuse_port=False)
    # Accepted connections inherit this; otherwise a token may wait for an acknowledgement.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGKILL))
    print(f"listening {listen}", flush=True)
    eventlet.wsgi.server(sock, site, log_output=False, debug=False, max_size=4096)


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the arguments that all stand-ins share."""
    made = argparse.ArgumentParser(description=description)
    made.add_argument("--listen", required=True, help="address as IP:port")
    return made
