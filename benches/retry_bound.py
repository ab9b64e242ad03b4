"""Compares ways to divide the bound on retries among daemons, on the same failures and seeds.

Daemons want retries all the time, in virtual time. For each way: the largest use of the bound in any
window, which must not exceed 1, and the use while only one data hall wants any.

Run it with ``python -m benches.retry_bound``.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum
from importlib import import_module
from typing import Any

from bayglade.clock import DecayingSum
from bayglade.ids import HallName
from bayglade.retry_parts import NO_PART, Part

retry_site = import_module("tests.retry_site")
retry_sites = import_module("tests.test_retry_sites")
virtual_time = import_module("tests.virtual_time")
clock = import_module("bayglade.clock")
eventlet = import_module("eventlet")

SEEDS = range(1, 6)
SIZES = {"9": (9, 3, 202.0, 31.0), "81": (81, 3, 346.0, 120.0)}
LIVE_SECONDS = 3.0
"""Silence after which a daemon no longer counts as live."""
FIRST_FRACTION = 0.85
"""Fraction of the bound that daemons used together when they divided it by the live ones."""


class Way(Enum):
    """A way to divide the bound."""

    LIVE = "by the daemons heard lately, counting from nothing after a start, without loans"
    ROSTER = "by the roster, counting from nothing after a start, without loans"
    SETTLED = "by the roster as known lately, little after a start, without loans"
    LENT = "the same, with loans"


class WindowLedger:
    """A sliding window of retries, and a decaying sum of requests."""

    def __init__(self, floor: Callable[[], float]) -> None:
        self.floor = floor
        self.requests = DecayingSum(retry_site.WINDOW)
        self.retries: deque[float] = deque()

    def note_request(self) -> None:
        """Count a request."""
        self.requests.add(1.0, virtual_time.now())

    def request_credit(self) -> float:
        """Return nothing: requests earn no credit that could go elsewhere."""
        return 0.0

    def acquire(self) -> "WindowLedger | None":
        """Take a retry, if one is left."""
        at = virtual_time.now()
        while self.retries and self.retries[0] <= at - retry_site.WINDOW:
            self.retries.popleft()
        allowed = self.floor() + FIRST_FRACTION * retry_site.FRACTION * self.requests.read(at)
        if len(self.retries) + 1 > allowed:
            return None
        self.retries.append(at)
        return self

    def commit(self) -> bool:
        """Return true: it was counted already."""
        return True


def divide(site: Any, way: Way) -> None:
    """Have all processes of a site divide the bound in a way, those that start later too."""

    def prepare(daemon: Any) -> None:
        if way is not Way.LENT:
            daemon.lending.lenders = list
        if way is Way.SETTLED:
            daemon.lending.is_follower = lambda: False
        if way in (Way.LIVE, Way.ROSTER):
            daemon.ledger = WindowLedger(lambda: FIRST_FRACTION * site.floor * part_of(daemon).own)
            daemon.lending.is_follower = lambda: False

    def part_of(daemon: Any) -> Part:
        if way is Way.ROSTER:
            return Part(1.0 / len(daemon.ranking.halls), 0.0) if daemon.ranking.halls else NO_PART
        at = virtual_time.now()
        side = site.side.get(daemon.member, 0)
        heard = [
            other
            for other, beat in site.beats.items()
            if at - beat < LIVE_SECONDS and site.side.get(other, 0) == side
        ]
        return Part(1.0 / max(1, len(heard)), 0.0)

    def beat() -> None:
        while True:
            at = virtual_time.now()
            site.beats.update((member, at) for member, daemon in site.daemons.items() if daemon.runs)
            eventlet.sleep(1.0)

    site.beats = {}
    site.on_start = prepare
    for daemon in site.daemons.values():
        prepare(daemon)
    eventlet.spawn_n(beat)


def play(way: Way, size: tuple[int, int, float, float], events: Callable[[Any], None], seed: int) -> float:
    """Return the largest use of the bound while something happens to the daemons."""

    def run() -> float:
        site = retry_site.RetrySite(*size, seed=seed)
        divide(site, way)
        eventlet.sleep(retry_sites.START_SECONDS)
        site.demanding = True
        eventlet.sleep(2.0)
        events(site)
        eventlet.sleep(5.0)
        return float(site.use().fraction)

    return float(virtual_time.run_virtually(run))


def play_one_hall(way: Way, size: tuple[int, int, float, float], seed: int) -> float:
    """Return the use of the bound while the daemons of one hall alone want retries."""

    def run() -> float:
        site = retry_site.RetrySite(*size, seed=seed)
        divide(site, way)
        site.troubled = {HallName("h0")}
        eventlet.sleep(retry_sites.START_SECONDS + 15.0)
        site.demanding = True
        eventlet.sleep(10.0)
        return float(site.use().fraction)

    return float(virtual_time.run_virtually(run))


def main() -> None:
    """Print a table for each size: the worst and the mean use over all seeds, by event and way."""
    for module in (*retry_site.MODULES, clock):
        module.now = virtual_time.now
    for label, size in SIZES.items():
        print(f"\n{label} daemons; largest use over {len(SEEDS)} seeds, and its mean")
        print("event".ljust(48), *(way.name.rjust(14) for way in Way))
        for events, name in zip(retry_sites.EVENTS, retry_sites.NAMES, strict=True):
            row = [[play(way, size, events, seed) for seed in SEEDS] for way in Way]
            print(
                name.ljust(48), *(f"{max(u):.2f} {sum(u) / len(u):.2f}".rjust(14) for u in row), flush=True
            )
        row = [[play_one_hall(way, size, seed) for seed in SEEDS] for way in Way]
        cells = (f"{min(u):.2f} {sum(u) / len(u):.2f}".rjust(14) for u in row)
        print("one hall alone (smallest, mean)".ljust(48), *cells, flush=True)


if __name__ == "__main__":
    main()
