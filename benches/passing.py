"""Latency that a gateway adds to the events of a stream.

The stand-in servers write the time into each event; reader and servers use the
monotonic clock of one machine. ``python -m benches.passing [streams a second] [seconds]``
prints median and 99th percentile, directly from a server and through a gateway.
"""

import socket
import sys
import threading
import time

from hdrh.histogram import HdrHistogram

from standins.users import MODEL, Replica, UsersSite
from standins.world import wait_for
from tests.gateway_callers import ask, request_bytes

MAX_MICROSECONDS = 10_000_000
DIGITS = 3
READ_BYTES = 64 * 1024


def record_ages(address: str, data: bytes, found: HdrHistogram, lock: threading.Lock) -> None:
    """Read one stream and record_ages the age of each event on arrival."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(data)
        while piece := sock.recv(READ_BYTES):
            at = time.monotonic()
            for line in piece.split(b"\n"):
                if line.startswith(b"data: "):
                    age = at - float(line.rsplit(b" ", 1)[1])
                    with lock:
                        found.record_value(max(1, int(age * 1e6)))
            if piece.endswith(b"0\r\n\r\n"):
                return


def measure(address: str, requests: list[bytes], rate: float) -> HdrHistogram:
    """Send streams at a rate and return the ages of their events, in microseconds."""
    found, lock = HdrHistogram(1, MAX_MICROSECONDS, DIGITS), threading.Lock()
    threads = []
    for data in requests:
        thread = threading.Thread(target=record_ages, args=(address, data, found, lock))
        thread.start()
        threads.append(thread)
        time.sleep(1 / rate)
    for thread in threads:
        thread.join()
    return found


def direct_request(site: UsersSite, head: Replica, number: int) -> bytes:
    """Return a request as a gateway sends it to the first server of a path that another stream took."""
    path = next(iter(head.paths.values()))
    text = ",".join(f"{address}={first}-{last}" for address, first, last in path)
    return request_bytes("/stream/x", f"direct-{number}", Path=text, X_Expect_Instance=head.id)


def print_percentiles(name: str, found: HdrHistogram) -> None:
    """Print a line of results."""
    p50, p99 = (found.get_value_at_percentile(p) / 1000 for p in (50.0, 99.0))
    print(f"{name:<10} events {found.get_total_count():>6}  p50 {p50:.2f} ms  p99 {p99:.2f} ms")


def main() -> None:
    """Run the comparison."""
    rate = float(sys.argv[1]) if len(sys.argv) > 1 else 4.0
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 15.0
    count = int(rate * seconds)
    with UsersSite(halls=1, plain=0) as site:
        daemon = site.start()
        site.wait_placed()
        wait_for("streams are served", lambda: ask(daemon.callers, "/stream/x").events)
        head = next(replica for replica in site.of(MODEL) if replica.paths)
        print_percentiles(
            "direct", measure(head.address, [direct_request(site, head, n) for n in range(count)], rate)
        )
        through = [request_bytes("/stream/x", f"through-{n}") for n in range(count)]
        print_percentiles("gateway", measure(daemon.callers, through, rate))


if __name__ == "__main__":
    main()
