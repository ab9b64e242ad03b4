"""Shared parts of the review's scripts: a small site on loopback addresses, raw clients and a record.

The store, the backend servers and the start of daemons are the project's stand-ins.
"""

import os
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Self

from standins.users import UsersSite
from standins.users.configuration import HOST_NAME, KEY
from standins.users.daemon import Daemon, false_if_unreachable, is_complete
from standins.world import wait_for

STORE_SECONDS = 0.004
"""Seconds that the store takes for an answer, by the sheet."""
CLIENT_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
"""The limits in the example of the configuration that ``fleetbench wire`` prints for the site."""
SETTINGS = {
    "grace_seconds": 8,
    "drain_ms": 2000,
    "server_heartbeat_ms": 1200,
    "config_ms": 2000,
    "key_trust_ms": 5000,
    "retry_fraction": 0.2,
    "retry_window_seconds": 10,
    "retry_floor": 202,
    "link_mbps": 1000.0,
    "memory_mb": 300,
    "max_descriptors": 4100,
    "roster_seconds": 10.0,
}
"""The settings of a daemon as the template of the deploy file gives them for the site; the roster's time is
the default, which the template does not set."""

FAILURES = (ArithmeticError, AttributeError, LookupError, OSError, RuntimeError, TypeError, ValueError)
"""Errors with which a case could not run; uncaught, they would end it with the status of a broken rule."""


class Record:
    """What was sent, answered and run, line by line with the time."""

    def __init__(self, path: Path) -> None:
        self.lines: list[str] = []
        self.path = path
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text: str) -> None:
        """Add a line."""
        with self.lock:
            self.lines.append(f"{time.monotonic() - self.began:8.3f}  {text}")

    def write(self) -> None:
        """Write the file."""
        with self.lock:
            self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class SmallSite(UsersSite):
    """A site whose store answers as fast as the sheet says, and whose configuration has its limits."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        serve = self.store.serve

        def serve_by_sheet(handler: Any, body: bytes) -> None:
            time.sleep(self.store_seconds)
            serve(handler, body)

        self.store_seconds = STORE_SECONDS
        self.store.serve = serve_by_sheet  # type: ignore[method-assign]
        self.client_limits = dict(CLIENT_LIMITS)
        self.configure()

    def __enter__(self) -> Self:
        return self

    def launch(self, name: str, hall: str = "hall-0", **settings: Any) -> Daemon:
        """Start a daemon with the settings of the sheet, without waiting for it."""
        daemon = Daemon(self, name, hall, {**SETTINGS, **settings})
        self.daemons = [known for known in self.daemons if known.settings["member"] != name]
        self.daemons.append(daemon)
        return daemon

    def relaunch(self, daemon: Daemon) -> Daemon:
        """Start a daemon that has ended once more, at the same addresses."""
        kept = {name: daemon.settings[name] for name in ("callers", "ready", "metrics", "peer_ports")}
        member, hall = daemon.settings["member"], daemon.settings["hall"]
        return self.launch(member, hall, first_start=False, **kept)


def kill(daemons: list[Daemon]) -> None:
    """Kill daemons at the same moment, and wait for their ends."""
    for daemon in daemons:
        os.kill(daemon.popen.pid, signal.SIGKILL)
    for daemon in daemons:
        daemon.popen.wait()


def wait_ready(daemons: list[Daemon]) -> None:
    """Wait until daemons are ready."""
    for daemon in daemons:
        wait_for("the daemon is ready", lambda d=daemon: false_if_unreachable(d.is_ready))


class Client:
    """A client that keeps its connection."""

    def __init__(self, name: str, address: str, record: Record) -> None:
        self.name = name
        self.address = address
        self.record = record
        self.sent = 0
        self.sock: socket.socket | None = None

    def connect(self) -> bool:
        """Open a connection; return whether it came up."""
        host, _, port = self.address.rpartition(":")
        try:
            self.sock = socket.create_connection((host, int(port)), timeout=1.0)
        except OSError:
            return False
        return True

    def request(self, method: str, path: str, body: bytes = b"", seconds: float = 3.0) -> int:
        """Send a request on the kept connection; return the status, 0 if there was no answer."""
        assert self.sock is not None
        self.sent += 1
        request = f"{self.name}-{self.sent}"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: {request}\r\n"
            f"X-Deadline-Ms: {int(seconds * 1000)}\r\nX-Key: {KEY}\r\n"
        )
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        sent_at = time.monotonic()
        answer = self._exchange(head.encode() + b"\r\n" + body, seconds)
        line, _, rest = answer.partition(b"\r\n\r\n")[0].decode("latin-1").partition("\r\n")
        status = int(line.split(" ")[1]) if line else 0
        seal = next(
            (h for h in rest.split("\r\n") if h.lower().startswith("x-response-seal")), "by the daemon"
        )
        took = time.monotonic() - sent_at
        self.record(f"{request} {method} {path} {len(body)} bytes: {status} after {took:.3f} s, {seal}")
        return status

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def _exchange(self, data: bytes, seconds: float) -> bytes:
        assert self.sock is not None
        answer, until = b"", time.monotonic() + seconds
        try:
            self.sock.settimeout(seconds)
            self.sock.sendall(data)
        except OSError:
            # The answer may be there nevertheless.
            pass
        try:
            while not is_complete(answer):
                self.sock.settimeout(max(0.001, until - time.monotonic()))
                piece = self.sock.recv(65536)
                if not piece:
                    break
                answer += piece
        except OSError:
            pass
        return answer if is_complete(answer) else b""


def at_once(actions: list[Callable[[], None]]) -> None:
    """Run actions in threads of their own, and wait for their ends."""
    threads = [threading.Thread(target=action, daemon=True) for action in actions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def play(main: Callable[[Record], int], path: Path) -> int:
    """Play a case, and write its record however it ends.

    :param main: plays it; returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
    :param path: the file of the record.
    :return: the exit status of the script.
    """
    record, code = Record(path), 2
    # Stopped by a signal, it ends its processes and leaves a record too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = main(record)
    except FAILURES as error:
        record(f"could not run: {error!r}")
    finally:
        record(f"exit {code}")
        record.write()
    return code
