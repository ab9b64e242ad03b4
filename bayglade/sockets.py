"""Reading from green sockets without losing how a connection ended.

eventlet's own ``recv`` turns a reset into an orderly end. A body that ends with
its connection would then look whole after a reset.
"""

import socket
from typing import TYPE_CHECKING

from eventlet.hubs import trampoline

from bayglade.clock import now

if TYPE_CHECKING:
    from eventlet.greenio import GreenSocket

READ_BYTES = 64 * 1024


def receive(sock: "GreenSocket", until: float) -> bytes:
    """Read what is there, or wait for it.

    :param sock: a green socket.
    :param until: when to give up, in monotonic seconds.
    :return: bytes; none at an orderly end of the connection.
    :raises TimeoutError: when nothing came in time.
    :raises OSError: when the connection was reset.
    """
    plain: socket.socket = sock.fd
    while True:
        try:
            return plain.recv(READ_BYTES)
        except BlockingIOError:
            left = until - now()
            if left <= 0:
                raise TimeoutError("nothing came in time") from None
            trampoline(plain, read=True, timeout=left, timeout_exc=TimeoutError)


def at_rest(sock: "GreenSocket") -> bool:
    """Tell whether nothing came in on a connection: neither bytes nor its end.

    :param sock: a green socket.
    """
    try:
        sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
