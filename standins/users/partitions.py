"""Runs a gateway whose links to all backend servers can be cut: ``python -m standins.users.partitions``.

The environment names a file whose first line is a :class:`Partition`. Its second line lists the ports of
other daemons, to which links stay, its third one those of suspended hosts: connects to them hang, and what
is sent on open connections waits there. The product runs unchanged above the sockets of its connection
pools.
"""

import os
import signal
import socket
from enum import Enum
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import eventlet

FILE_VARIABLE = "STANDIN_PARTITION"
POLL_SECONDS = 0.01


class Partition(Enum):
    """How the links of a daemon to backend servers fail."""

    NONE = "none"
    SILENT = "silent"
    """Nothing passes, and connects hang."""

    RESET = "reset"
    """Open connections are reset, and so are connects."""

    REFUSED = "refused"
    """Open connections work, and connects are refused."""


class PartitionFile:
    """The state of the links, as a file that another process may rewrite at any time."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def __repr__(self) -> str:
        return f"<PartitionFile {self.path}>"

    def write(self, partition: Partition, reachable_ports: list[int], suspended_ports: list[int]) -> None:
        """Replace the state.

        :param partition: how links fail.
        :param reachable_ports: ports to which they don't, those of other daemons.
        :param suspended_ports: those of them that belong to suspended hosts.
        """
        lists = (" ".join(map(str, ports)) for ports in (reachable_ports, suspended_ports))
        text = "\n".join([partition.value, *lists, ""])
        beside = self.path.with_suffix(".new")
        beside.write_text(text, encoding="utf-8")
        beside.replace(self.path)

    def read(self, port: int) -> Partition:
        """Return how links to a port fail."""
        value, ports, _ = self.path.read_text(encoding="utf-8").splitlines()
        return Partition.NONE if str(port) in ports.split() else Partition(value)

    def is_suspended(self, port: int) -> bool:
        """Return whether a port belongs to a suspended host."""
        return str(port) in self.path.read_text(encoding="utf-8").splitlines()[2].split()


def patch_pools(file: PartitionFile) -> None:
    """Replace the sockets of connection pools by ones that can be cut."""
    from eventlet.greenio import GreenSocket

    from bayglade import upstream
    from bayglade.clock import now
    from bayglade.sockets import is_idle, receive

    class CuttableSocket(GreenSocket):
        """A socket that stays broken once bytes were lost on it."""

        port = 0
        broken = False

        def connect(self, address: tuple[str, int]) -> None:
            self.port = address[1]
            partition = file.read(self.port)
            if partition is Partition.SILENT or file.is_suspended(self.port):
                eventlet.sleep(self.gettimeout())
                raise TimeoutError("timed out")
            if partition is Partition.RESET:
                raise ConnectionResetError("connection reset by peer")
            if partition is Partition.REFUSED:
                raise ConnectionRefusedError("connection refused")
            super().connect(address)

        def sendall(self, data: bytes, flags: int = 0) -> None:
            if not self.check():
                self.broken = True
                return
            super().sendall(data, flags)

        def check(self) -> bool:
            """Return whether bytes pass.

            :raises ConnectionResetError: if the connection is reset.
            """
            partition = file.read(self.port)
            if partition is Partition.RESET:
                self.close()
                raise ConnectionResetError("connection reset by peer")
            return partition is not Partition.SILENT and not self.broken

    def receive_unless_cut(sock: CuttableSocket, deadline: float) -> bytes:
        while True:
            if sock.check():
                try:
                    return receive(sock, min(deadline, now() + POLL_SECONDS))
                except TimeoutError:
                    pass
            else:
                eventlet.sleep(POLL_SECONDS)
            if now() >= deadline:
                raise TimeoutError("nothing received before the deadline")

    def is_idle_unless_reset(sock: CuttableSocket) -> bool:
        return file.read(sock.port) is not Partition.RESET and is_idle(sock)

    patched: Any = upstream
    patched.socket = SimpleNamespace(**{**vars(socket), "socket": CuttableSocket})
    patched.receive, patched.is_idle = receive_unless_cut, is_idle_unless_reset


def main() -> None:
    """Run a gateway as ``python -m bayglade gateway`` does."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    eventlet.monkey_patch()
    patch_pools(PartitionFile(Path(os.environ[FILE_VARIABLE])))
    from bayglade.cli import run_gateway

    raise SystemExit(run_gateway())


if __name__ == "__main__":
    main()
