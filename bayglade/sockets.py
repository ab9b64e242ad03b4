"""Reading from eventlet's green sockets with resets reported as errors.

eventlet's own ``recv`` returns an orderly end on a connection reset. A body that is delimited by the end of
its connection would then look complete although it was cut off.
"""

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import eventlet
from eventlet.hubs import trampoline
from eventlet.semaphore import Semaphore

from bayglade.clock import now

if TYPE_CHECKING:
    from eventlet.greenio import GreenSocket

READ_BYTES = 64 * 1024


class ReadTurns:
    """Lets connections with much to read take turns, so that other tasks run in between.

    A connection on which bytes arrive as fast as they are read would otherwise never let others run.
    """

    def __init__(self) -> None:
        self.semaphore = Semaphore()

    def __repr__(self) -> str:
        return f"<ReadTurns free={self.semaphore.counter}>"

    @contextmanager
    def turn(self) -> Iterator[None]:
        """Take a turn, after whatever became ready during the one before."""
        with self.semaphore:
            eventlet.sleep(0)
            yield


def wait_readable(sock: "GreenSocket", deadline: float) -> None:
    """Let other tasks run until bytes are there, or the end of the connection.

    :param sock: a green socket.
    :param deadline: when to give up, in seconds of :func:`bayglade.clock.now`.
    :raises TimeoutError: at the deadline, even if bytes are there.
    """
    left = deadline - now()
    if left <= 0:
        raise TimeoutError("the deadline has passed")
    trampoline(sock.fd, read=True, timeout=left, timeout_exc=TimeoutError)


def receive(sock: "GreenSocket", deadline: float, size: int = READ_BYTES) -> bytes:
    """Read available bytes, waiting for the first ones if necessary.

    :param sock: a green socket.
    :param deadline: when to give up, in seconds of :func:`bayglade.clock.now`.
    :param size: the greatest number of bytes to read.
    :return: the bytes; empty if the peer closed the connection.
    :raises TimeoutError: if nothing arrived before the deadline.
    :raises OSError: if the connection was reset.
    """
    raw: socket.socket = sock.fd
    while True:
        try:
            return raw.recv(size)
        except BlockingIOError:
            left = deadline - now()
            if left <= 0:
                raise TimeoutError("nothing received before the deadline") from None
            trampoline(raw, read=True, timeout=left, timeout_exc=TimeoutError)


def is_closed(sock: "GreenSocket") -> bool:
    """Return whether the other side closed or reset a connection and nothing that it sent is unread.

    :param sock: a green socket.
    """
    try:
        return not sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def is_idle(sock: "GreenSocket") -> bool:
    """Return whether nothing arrived on a connection, neither bytes nor its end.

    :param sock: a green socket.
    """
    try:
        sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
