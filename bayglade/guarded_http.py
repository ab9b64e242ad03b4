"""Connection pools of urllib3 whose answers are bounded.

Where a peer sends bytes as fast as they are read, a green socket never lets other tasks run, so that no
timeout ends the read; and the parsers of the standard library keep or skip some of the bytes without a
bound.
"""

import io
import math
from typing import TYPE_CHECKING, Any

import eventlet
import urllib3
from urllib3.connection import HTTPConnection

from bayglade.clock import now
from bayglade.config import Address

if TYPE_CHECKING:
    from _typeshed import WriteableBuffer

READS_PER_TURN = 16
"""Reads in a row before other tasks run."""


class GuardedReader(io.RawIOBase):
    """Reads one answer, up to a number of bytes and of seconds after its first byte.

    :param raw: the unbuffered file of the connection.
    :param max_bytes: size limit of the answer with its head and framing.
    :param max_seconds: greatest time from its first byte to its last.
    """

    def __init__(self, raw: io.RawIOBase, max_bytes: float, max_seconds: float) -> None:
        super().__init__()
        self.raw = raw
        self.left_bytes = max_bytes
        self.max_seconds = max_seconds
        self.until = math.inf
        self.reads = 0

    def readable(self) -> bool:
        """Return true: it only reads."""
        return True

    def readinto(self, buffer: "WriteableBuffer") -> int | None:
        """Read available bytes.

        :param buffer: where they are put.
        :return: their number; 0 at the end of the connection.
        :raises TimeoutError: if the answer takes too long.
        :raises OSError: if it is too long, or the connection broke.
        """
        self.reads += 1
        if self.reads % READS_PER_TURN == 0:
            eventlet.sleep(0)
        if now() >= self.until:
            raise TimeoutError("the answer takes too long")
        size = self.raw.readinto(buffer)
        if self.until == math.inf:
            self.until = now() + self.max_seconds
        self.left_bytes -= size or 0
        if self.left_bytes < 0:
            raise OSError("the answer exceeds the size limit")
        return size

    def close(self) -> None:
        """Close the file; the connection closes with the last file on it."""
        self.raw.close()
        super().close()


class GuardedSocket:
    """A socket whose files for reading are guarded; all else goes to the socket itself."""

    def __init__(self, sock: Any, max_bytes: float, max_seconds: float) -> None:
        self.sock = sock
        self.max_bytes = max_bytes
        self.max_seconds = max_seconds

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)

    def makefile(self, mode: str, *_: Any, **__: Any) -> io.BufferedReader:
        """Return a buffered file that reads one answer."""
        raw = self.sock.makefile(mode, buffering=0)
        return io.BufferedReader(GuardedReader(raw, self.max_bytes, self.max_seconds))


def create_pool(
    address: Address,
    size: int,
    max_bytes: float,
    max_seconds: float = math.inf,
    timeout: urllib3.Timeout | None = None,
) -> urllib3.HTTPConnectionPool:
    """Create a connection pool that retries nothing.

    :param address: the peer.
    :param size: connections that are kept.
    :param max_bytes: size limit of an answer with its head and framing.
    :param max_seconds: greatest time from the first byte of an answer to its last.
    :param timeout: the default timeouts of requests.
    """

    class GuardedConnection(HTTPConnection):
        """A connection with these bounds."""

        def connect(self) -> None:
            super().connect()
            self.sock = GuardedSocket(self.sock, max_bytes, max_seconds)

    class GuardedPool(urllib3.HTTPConnectionPool):
        """A pool of such connections."""

        ConnectionCls = GuardedConnection

    return GuardedPool(
        address.host,
        address.port,
        maxsize=size,
        retries=False,
        timeout=timeout if timeout is not None else urllib3.Timeout.DEFAULT_TIMEOUT,
    )
