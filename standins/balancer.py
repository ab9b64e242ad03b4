"""Stand-in for the platform's load balancer: forwards each connection to a ready daemon.

It polls ``/readyz`` of every daemon and forwards bytes in both directions without
parsing them.
"""

import eventlet

eventlet.monkey_patch()

import socket  # noqa: E402

import urllib3  # noqa: E402

from standins import web  # noqa: E402

CHECK_INTERVAL = 0.1
CHECK_TIMEOUT = 0.5
READ_BYTES = 64 * 1024


class Balancer:
    """Forwards connections to the ready daemons in turn."""

    def __init__(self, daemons: list[str]) -> None:
        self.daemons = daemons
        self.ready: list[str] = []
        self.turn = 0
        self.http = urllib3.PoolManager(retries=False)

    def poll(self) -> None:
        """Poll the readiness of all daemons, forever."""
        while True:
            self.ready = [daemon for daemon in self.daemons if self._is_ready(daemon)]
            eventlet.sleep(CHECK_INTERVAL)

    def _is_ready(self, daemon: str) -> bool:
        try:
            url = f"http://{daemon}/readyz"
            headers = {"Connection": "close"}
            return self.http.request("GET", url, timeout=CHECK_TIMEOUT, headers=headers).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def connect(self) -> socket.socket | None:
        """Connect to the next ready daemon; return None if there is none."""
        for _ in range(len(self.ready)):
            self.turn += 1
            host, _, port = self.ready[self.turn % len(self.ready)].rpartition(":")
            try:
                return socket.create_connection((host, int(port)), timeout=1.0)
            except OSError:
                continue
        return None

    def serve(self, caller: socket.socket) -> None:
        """Forward bytes between a caller and a daemon until both directions have ended."""
        daemon = self.connect()
        if daemon is None:
            caller.close()
            return
        daemon.settimeout(None)
        back = eventlet.spawn(_forward, daemon, caller)
        _forward(caller, daemon)
        back.wait()
        daemon.close()
        caller.close()


def _forward(source: socket.socket, target: socket.socket) -> None:
    try:
        while content := source.recv(READ_BYTES):
            target.sendall(content)
        target.shutdown(socket.SHUT_WR)
    except OSError:
        source.close()
        target.close()


def main() -> None:
    """Run the stand-in."""
    parser = web.parser(__doc__ or "")
    parser.add_argument("daemons", nargs="+", help="addresses of the daemons")
    arguments = parser.parse_args()
    balancer = Balancer(arguments.daemons)
    host, _, port = arguments.listen.rpartition(":")
    eventlet.spawn_n(balancer.poll)
    eventlet.serve(
        eventlet.listen((host, int(port)), reuse_port=False), lambda sock, _: balancer.serve(sock), 4096
    )


if __name__ == "__main__":
    main()
