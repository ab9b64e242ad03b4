"""Streams of a plain service: when the first event comes, and how many are whole if servers break them off.

``python -m benches.plain_streams`` prints both for streams that begin and for streams that are taken up.
"""

import socket
import statistics
import time
from typing import NamedTuple

from standins.users import EVENTS, PLAIN, Daemon, UsersSite
from standins.users.configuration import HOST_NAME, KEY
from standins.users.daemon import is_complete
from standins.world import wait_for

STREAMS = 40
EVENT_SECONDS = 0.05
AFTER = 5


class Watched(NamedTuple):
    """A stream as its caller saw it."""

    first_event_seconds: float | None
    events: list[int]
    whole: bool


def watch(daemon: Daemon, request: str, after: int) -> Watched:
    """Read a stream, after an event if it is not zero."""
    lines = ["GET /stream/x HTTP/1.1", f"Host: {HOST_NAME}", f"X-Request-Id: {request}", f"X-Key: {KEY}"]
    lines += [f"Last-Event-Id: {after}"] if after else []
    host, _, port = daemon.callers.rpartition(":")
    data, first, since = b"", None, time.monotonic()
    with socket.create_connection((host, int(port)), timeout=10.0) as sock:
        sock.sendall("\r\n".join([*lines, "", ""]).encode())
        while not is_complete(data) and (piece := sock.recv(65536)):
            data += piece
            if first is None and b"id: " in data:
                first = time.monotonic() - since
    events = [int(line[4:]) for line in data.split(b"\n") if line.startswith(b"id: ")]
    return Watched(first, events, is_complete(data) and data.startswith(b"HTTP/1.1 200"))


def measure(breaks: int, after: int) -> None:
    """Print what callers got of streams, of which servers break some off."""
    with UsersSite(halls=1, stages=0, plain=3) as site:
        site.share_streams({PLAIN: 1.0})
        for replica in site.replicas:
            replica.event_seconds = EVENT_SECONDS
            replica.faults.set("reset", breaks)
        daemon = site.start(retry_floor=1000.0)
        wait_for("it may send retries", daemon.has_retry_part)
        seen = [watch(daemon, f"{breaks}-{after}-{number}", after) for number in range(STREAMS)]
        due = list(range(after + 1, EVENTS + 1))
        firsts = [s.first_event_seconds for s in seen if s.first_event_seconds is not None]
        print(
            f"after event {after}, {3 * breaks} broken off: first event {statistics.median(firsts):.3f} s,",
            f"{sum(s.whole and s.events == due for s in seen)} of {STREAMS} whole and in order,",
            f"{sum(s.whole and s.events != due for s in seen)} whole with other events",
        )


def main() -> None:
    """Measure streams from their first event on and ones that are taken up, with and without breaks."""
    for after in (0, AFTER):
        for breaks in (0, 5):
            measure(breaks, after)


if __name__ == "__main__":
    main()
