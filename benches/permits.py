"""Processor time and bytes of permits for forwarded calls, and of the look at a caller's connection.

Run it with ``python -m benches.permits``. Both sides of the exchange are the production code, in one
process and on loopback, so that a daemon's part is about half of the time.
"""

import random
import statistics
import time
from functools import partial
from types import SimpleNamespace
from typing import Any

import eventlet
import eventlet.green.socket
import msgspec
from loguru import logger

from bayglade import upstream
from bayglade.clients import create_internal_clients
from bayglade.entries.forwards import (
    PERMIT,
    PERMIT_STATUS,
    SERVER_HEADER,
    SETTINGS_HEADER,
    ForwardedCall,
    encode_forwarded,
)
from bayglade.exceptions import BackendError
from bayglade.forwarded_calls import obtain_permit
from bayglade.forwarding import ForwardedExchange, forwarding_off
from bayglade.http1 import Message, encode_head
from bayglade.ids import BackendId, MemberId, RequestId, Revision
from bayglade.intake import Intake
from bayglade.listener import Connection, serve
from bayglade.metrics import Metrics
from bayglade.newer_settings import NewerSettings, serve_settings
from bayglade.platform import create_dialect, decode_document
from bayglade.settings import CallerLimits
from bayglade.sockets import ReadTurns, is_closed
from bayglade.upstream import ConnectionPool, Exchange, PooledConnection
from standins.users.configuration import configuration

SERVER = BackendId("i-0123456789")
CALLS = 500
ROUNDS = 5
FETCHES = 20


def connected_sockets() -> tuple[Any, Any]:
    """Return both ends of a connection on loopback, as green sockets."""
    listening = eventlet.listen(("127.0.0.1", 0))
    near = eventlet.connect(listening.getsockname())
    far, _ = listening.accept()
    listening.close()
    return near, far


def ask(far: Any, call: Any, permits: int) -> None:
    """Ask for permits, then close the connection."""
    clients = create_internal_clients("bench", ReadTurns(), Metrics(None))
    connection = Connection(far, clients.add(""), CallerLimits(), clients.turns)
    for _ in range(permits):
        obtain_permit(connection, call, SERVER)
    far.close()


def forward_once(permits: int) -> None:
    """Give as many permits as are asked for, until the other side closes."""
    call: Any = SimpleNamespace(
        head=SimpleNamespace(id=RequestId("r")),
        revision=123456,
        deadline=time.monotonic() + 1e6,
        seconds_left=lambda: 10.0,
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


def fetch_ms(routes: int) -> tuple[int, float]:
    """Return the size of a document, and the processor time of a fetch of it, in milliseconds."""
    document = configuration(1, ("k",), {})
    document["routes"] = [
        {**document["routes"][1], "name": f"r{n}", "pathPrefix": f"/r{n}/"} for n in range(routes)
    ]
    secret, rng = b"secret", random.Random(1)
    provider, asker = (Intake(create_dialect(), lambda: 0.0, 5.0, rng) for _ in range(2))
    asker.decode = decode_document
    listening = eventlet.listen(("127.0.0.1", 0))
    address = "{}:{}".format(*listening.getsockname())
    eventlet.spawn_n(serve, listening, CallerLimits, partial(provide, secret, provider))
    forwarding = forwarding_off(lambda service: False, Metrics(None), rng)
    forwarding.addresses = lambda: {MemberId("d1"): address}
    forwarding.secret = lambda: secret
    newer = NewerSettings(asker, forwarding, rng)
    seconds = 0.0
    for version in range(1, FETCHES + 1):
        row = msgspec.json.encode({**document, "version": version})
        provider.apply(*decode_document(msgspec.Raw(row)), row)
        began = time.process_time()
        newer.note(Revision(version), MemberId("d1"))
        while asker.version < version:
            eventlet.sleep(0.001)
        seconds += time.process_time() - began
    return len(row), seconds / FETCHES * 1000


def provide(secret: bytes, intake: Intake, connection: Connection, message: Message) -> None:
    """Answer a daemon that asks for settings."""
    serve_settings(connection, message, secret, intake)


def header_bytes(servers: int) -> int:
    """Return the size of the header of a call that was sent to some servers before."""
    header = ForwardedCall(
        MemberId("front-hall-a-1"), RequestId("0" * 16), 12.345678, Revision(123456), [SERVER] * servers, 42
    )
    return len(encode_forwarded(header, b"secret"))


def main() -> None:
    """Print the slopes."""
    logger.remove()
    # Connections of the pool have to be green here, as they are in a daemon.
    upstream.socket = eventlet.green.socket  # type: ignore[attr-defined]
    slopes = [(processor_ms(9) - processor_ms(1)) / 8 for _ in range(ROUNDS)]
    told = [(SERVER_HEADER, SERVER), (SETTINGS_HEADER, "123456")]
    question = encode_head(f"HTTP/1.1 {PERMIT_STATUS} Processing", told)
    near, far = connected_sockets()
    began = time.process_time()
    for _ in range(10_000):
        is_closed(near)
    look_us = (time.process_time() - began) / 10_000 * 1e6
    far.close()
    print(
        f"permit, both sides: {statistics.median(slopes):.3f} ms ({min(slopes):.3f} to {max(slopes):.3f})"
    )
    for routes in (8, 250, 700):
        size, milliseconds = fetch_ms(routes)
        print(f"fetch of settings, {size} bytes: {milliseconds:.2f} ms, both sides")
    print(f"question {len(question)} bytes, permit {PERMIT.size} bytes")
    print(f"header with 0, 1, 2, 8 servers: {[header_bytes(n) for n in (0, 1, 2, 8)]} bytes")
    print(f"look at a caller's connection: {look_us:.1f} us")


if __name__ == "__main__":
    main()
