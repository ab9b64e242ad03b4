"""Stand-in for a plain service: records the requests it ran.

Faults are set with ``POST /standin/faults``: ``delay`` waits before running,
``refuse`` refuses without running, ``cut`` runs and then closes the connection.
"""

import socket
from typing import Any

import eventlet
import msgspec

from standins import web


class Faults(msgspec.Struct):
    """The faults that are active."""

    delay: float = 0.0
    refuse: bool = False
    cut: bool = False


class Service:
    """A service that records its runs."""

    def __init__(self) -> None:
        self.runs: list[list[str]] = []
        self.begun = 0
        self.headers: dict[str, str] = {}
        self.faults = Faults()

    def run(self, body: bytes, environ: dict[str, Any]) -> tuple[int, Any]:
        """Run one request."""
        if self.faults.refuse:
            return 503, {}
        self.begun += 1
        self.headers = {name: str(value) for name, value in environ.items() if name.isupper()}
        if self.faults.delay:
            eventlet.sleep(self.faults.delay)
        self.runs.append([environ["PATH_INFO"], body.decode(errors="replace")])
        if self.faults.cut:
            environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
        return 200, {"run": len(self.runs), "path": environ["PATH_INFO"]}

    def set_faults(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Replace the faults."""
        self.faults = msgspec.json.decode(body, type=Faults)
        return 200, {}


def main() -> None:
    """Run the stand-in."""
    arguments = web.parser(__doc__ or "").parse_args()
    service = Service()
    site = web.Site()
    site.handlers = {
        "GET /run/": service.run,
        "POST /run/": service.run,
        "POST /standin/faults": service.set_faults,
        "GET /standin/headers": lambda *_: (200, service.headers),
        "GET /standin/begun": lambda *_: (200, service.begun),
        "GET /standin/runs": lambda *_: (200, service.runs),
    }
    web.serve(site, arguments.listen)


if __name__ == "__main__":
    main()
