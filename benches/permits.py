"""Processor time and bytes of permits for forwarded calls, and of the look at a caller's connection.

Run it with ``python -m benches.permits``. Both sides of the exchange are the production code, in one
process and on loopback, so that a daemon's part is about half of the time.
"""

import random
import statistics
import time
from types import SimpleNamespace
from typing import Any

import eventlet
from loguru import logger

from bayglade.entries.forwards import (
    PERMIT,
    PERMIT_STATUS,
    SERVER_HEADER,
    ForwardedCall,
    encode_forwarded,
)
from bayglade.exceptions import BackendError
from bayglade.forwarded_calls import obtain_permit
from bayglade.forwarding import ForwardedExchange, forwarding_off
from bayglade.http1 import encode_head
from bayglade.ids import BackendId, MemberId, RequestId, Revision
from bayglade.listener import Connection
from bayglade.metrics import Metrics
from bayglade.settings import CallerLimits
from bayglade.sockets import is_closed
from bayglade.upstream import ConnectionPool, Exchange, PooledConnection

SERVER = BackendId("i-0123456789")
CALLS = 500
ROUNDS = 5


def connected_sockets() -> tuple[Any, Any]:
    """Return both ends of a connection on loopback, as green sockets."""
    listening = eventlet.listen(("127.0.0.1", 0))
    near = eventlet.connect(listening.getsockname())
    far, _ = listening.accept()
    listening.close()
    return near, far


def ask(far: Any, call: Any, permits: int) -> None:
    """Ask for permits, then close the connection."""
    connection = Connection(far, CallerLimits())
    for _ in range(permits):
        obtain_permit(connection, call, SERVER)
    far.close()


def forward_once(permits: int) -> None:
    """Give as many permits as are asked for, until the other side closes."""
    call: Any = SimpleNamespace(
        head=SimpleNamespace(id=RequestId("r")), deadline=time.monotonic() + 1e6, seconds_left=lambda: 10.0
    )
    near, far = connected_sockets()
    forwarding = forwarding_off(lambda service: True, Metrics(None), random.Random(1))
    exchange = Exchange(ConnectionPool(), SERVER, PooledConnection(near))
    forwarded = ForwardedExchange(forwarding, MemberId("d1"), exchange, call)
    task = eventlet.spawn(ask, far, call, permits)
    try:
        forwarded.read_head()
    except BackendError:
        # The other side has closed the connection.
        near.close()
    task.wait()


def processor_ms(permits: int) -> float:
    """Return the processor time of a forwarded call with some permits, in milliseconds."""
    began = time.process_time()
    for _ in range(CALLS):
        forward_once(permits)
    return (time.process_time() - began) / CALLS * 1000


def header_bytes(servers: int) -> int:
    """Return the size of the header of a call that was sent to some servers before."""
    header = ForwardedCall(
        MemberId("front-hall-a-1"), RequestId("0" * 16), 12.345678, Revision(123456), [SERVER] * servers, 42
    )
    return len(encode_forwarded(header, b"secret"))


def main() -> None:
    """Print the slopes."""
    logger.remove()
    slopes = [(processor_ms(9) - processor_ms(1)) / 8 for _ in range(ROUNDS)]
    question = encode_head(f"HTTP/1.1 {PERMIT_STATUS} Processing", [(SERVER_HEADER, SERVER)])
    near, far = connected_sockets()
    began = time.process_time()
    for _ in range(10_000):
        is_closed(near)
    look_us = (time.process_time() - began) / 10_000 * 1e6
    far.close()
    print(
        f"permit, both sides: {statistics.median(slopes):.3f} ms ({min(slopes):.3f} to {max(slopes):.3f})"
    )
    print(f"question {len(question)} bytes, permit {PERMIT.size} bytes")
    print(f"header with 0, 1, 2, 8 servers: {[header_bytes(n) for n in (0, 1, 2, 8)]} bytes")
    print(f"look at a caller's connection: {look_us:.1f} us")


if __name__ == "__main__":
    main()
