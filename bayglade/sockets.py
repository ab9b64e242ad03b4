"""Reading from eventlet's green sockets with resets reported as errors.

eventlet's own ``recv`` returns an orderly end on a connection reset. A body that is delimited by the end of
its connection would then look complete although it was cut off.
"""

import socket
from typing import TYPE_CHECKING

from eventlet.hubs import trampoline

from bayglade.clock import now

if TYPE_CHECKING:
    from eventlet.greenio import GreenSocket

READ_BYTES = 64 * 1024


def receive(sock: "GreenSocket", deadline: float) -> bytes:
    """Read available bytes, waiting for the first ones if necessary.

    :param sock: a green socket.
    :param deadline: when to give up, in seconds of :func:`bayglade.clock.now`.
    :return: the bytes; empty if the peer closed the connection.
    :raises TimeoutError: if nothing arrived before the deadline.
    :raises OSError: if the connection was reset.
    """
    raw: socket.socket = sock.fd
    while True:
        try:
            return raw.recv(READ_BYTES)
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
