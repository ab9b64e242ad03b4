"""A daemon under test, and helpers to query it."""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import msgspec

from standins.users.configuration import MODEL
from standins.users.partitions import FILE_VARIABLE, Partition, PartitionFile
from standins.users.web import HOST
from standins.world import STOP_TIMEOUT, free_port, wait_for

if TYPE_CHECKING:
    from standins.users.site import UsersSite

ROSTER_SECONDS = 3.0
"""Time within which daemons know a change of the roster; short, so that they soon have their part of the
bound on retries."""


class Daemon:
    """A daemon under test, running as a process of its own.

    :param site: the site whose store it uses.
    :param name: its member id.
    :param hall: the data hall it runs in.
    :param settings: fields of the settings file that differ from the defaults.
    :param file: stem of its settings and log files, if not the name.
    """

    def __init__(
        self, site: "UsersSite", name: str, hall: str, settings: dict[str, Any], file: str = ""
    ) -> None:
        self.site = site
        self.callers = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        self.metrics = f"{HOST}:{free_port()}"
        self.settings = {
            "member": name,
            "hall": hall,
            "callers": self.callers,
            "ready": self.ready,
            "metrics": self.metrics,
            "store": site.store.server.address,
            "peer_ports": f"{free_port()},{free_port()}",
            "roster_seconds": ROSTER_SECONDS,
            "first_start": True,
            **settings,
        }
        self.callers, self.ready = self.settings["callers"], self.settings["ready"]
        self.metrics = self.settings["metrics"]
        self.file = site.folder / f"{file or name}.yaml"
        self.log = site.folder / f"{file or name}.log"
        self.write()
        self.links = PartitionFile(site.folder / f"{file or name}.links")
        self.partitioned = Partition.NONE
        self.spared: list[str] = []
        self.suspended = False
        self.partition(Partition.NONE)
        command = ["standins.users.partitions"] if site.partitionable else ["bayglade", "gateway"]
        self.popen = subprocess.Popen(
            [sys.executable, "-m", *command],
            env={
                **os.environ,
                "BAYGLADE_NODE_FILE": str(self.file),
                FILE_VARIABLE: str(self.links.path),
            },
            stdout=self.log.open("wb"),
            stderr=subprocess.STDOUT,
        )

    def write(self) -> None:
        """Rewrite the settings file."""
        self.file.write_text(msgspec.json.encode(self.settings).decode(), encoding="utf-8")

    def partition(self, partition: Partition, spared: Iterable[str] = ()) -> None:
        """Cut or restore its links to the backend servers; the site must be partitionable.

        :param partition: how the links fail.
        :param spared: addresses of servers to which they don't.
        """
        self.partitioned, self.spared = partition, list(spared)
        others = self.site.daemons
        ports = [port for daemon in others for port in daemon.ports]
        ports += [int(address.rpartition(":")[2]) for address in self.spared]
        self.links.write(partition, ports, [port for d in others if d.suspended for port in d.ports])

    @property
    def ports(self) -> list[int]:
        """Return the ports at which other daemons reach it."""
        return [int(port) for port in self.settings["peer_ports"].split(",")]

    def suspend(self) -> None:
        """Suspend its host: the process stops, and connects of other daemons hang."""
        self._set_suspended(True)
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """End the suspension of its host; what was sent to it meanwhile is read now."""
        self.signal(signal.SIGCONT)
        self._set_suspended(False)

    def _set_suspended(self, suspended: bool) -> None:
        self.suspended = suspended
        for daemon in self.site.daemons:
            daemon.partition(daemon.partitioned, daemon.spared)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return the log entries of an event."""
        found = []
        # The text after the last newline is a line that is still being written.
        for line in self.log.read_bytes().split(b"\n")[:-1]:
            if line.startswith(b"{"):
                entry = msgspec.json.decode(line)
                if entry["event"] == event:
                    found.append(entry)
        return found

    def beliefs(self) -> Any:
        """Return the daemon's current view of settings, servers and peers."""
        answer = exchange(self.metrics, b"GET /beliefs HTTP/1.1\r\nHost: x\r\n\r\n")
        return msgspec.json.decode(answer.partition(b"\r\n\r\n")[2])

    def knows_stages(self) -> bool:
        """Return whether the daemon knows the layers that each model server holds."""
        return all(server["last"] > 0 for server in self.beliefs()["servers"] if server["service"] == MODEL)

    def has_retry_part(self) -> bool:
        """Return whether the daemon has its part of the bound on retries."""
        return bool(self.beliefs()["retry_part"])

    def is_ready(self) -> bool:
        """Return whether the readiness check, which the load balancer uses, succeeds."""
        return exchange(self.ready, b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n").startswith(
            b"HTTP/1.1 200"
        )

    def wait_ready(self) -> None:
        """Wait until the daemon is ready."""
        wait_for("the daemon is ready", lambda: false_if_unreachable(self.is_ready))

    def stop(self) -> None:
        """Kill the daemon."""
        self.popen.kill()
        self.popen.wait(STOP_TIMEOUT)


def exchange(address: str, data: bytes, seconds: float = 5.0) -> bytes:
    """Send bytes on a new connection; read until it closes or one HTTP answer is complete."""
    host, _, port = address.rpartition(":")
    answer = b""
    with socket.create_connection((host, int(port)), timeout=seconds) as sock:
        sock.sendall(data)
        while not is_complete(answer):
            piece = sock.recv(65536)
            if not piece:
                break
            answer += piece
    return answer


def false_if_unreachable(check: Callable[[], bool]) -> bool:
    """Return the result of a check, or false if it fails with a connection error."""
    try:
        return check()
    except OSError:
        return False


def is_complete(answer: bytes) -> bool:
    """Return whether bytes are one whole HTTP answer with a length or in chunks."""
    head, end, body = answer.partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return body.endswith(b"0\r\n\r\n") and b"transfer-encoding" in head.lower()
