"""Compares ways to divide the bound on retries among daemons, on the same failures and seeds.

Daemons want retries all the time, in virtual time. For each way: the largest use of the bound in any
window, which must not exceed 1, and the use while only one data hall wants any.

Run it with ``python -m benches.retry_bound``; with ``costs`` it measures messages and decisions instead.
"""

import sys
import timeit
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Any

import eventlet

from bayglade import clock
from bayglade.clock import DecayingSum
from bayglade.entries import wire
from bayglade.ids import MemberId
from bayglade.retry_ledger import RetryBound, RetryLedger
from bayglade.retry_parts import NO_PART, Part, RetryParts
from standins import retry_site, virtual_time
from standins.retry_failures import (
    CREDIT_SECONDS,
    FAILURES,
    SIZES,
    START_SECONDS,
    one_hall,
    play_failures,
    play_local_trouble,
)
from standins.retry_site import RetryDaemon, RetrySite, SiteSize

SEEDS = range(1, 6)
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

    def take_unused_loans(self) -> list[Any]:
        """Return nothing: it has no loans."""
        return []

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


def divide(site: RetrySite, way: Way) -> None:
    """Have all processes of a site divide the bound in a way, those that start later too."""
    beats: dict[MemberId, float] = {}

    def prepare(daemon: Any) -> None:
        if way is not Way.LENT:
            daemon.lending.lenders = list
        if way is Way.SETTLED:
            daemon.lending.is_follower = lambda: False
        if way in (Way.LIVE, Way.ROSTER):
            daemon.ledger = WindowLedger(lambda: FIRST_FRACTION * site.floor * part_of(daemon).own)
            daemon.lending.is_follower = lambda: False

    def part_of(daemon: RetryDaemon) -> Part:
        if way is Way.ROSTER:
            return Part(1.0 / len(daemon.ranking.halls), 0.0) if daemon.ranking.halls else NO_PART
        at = virtual_time.now()
        side = site.side.get(daemon.member, 0)
        heard = [
            other
            for other, beat in beats.items()
            if at - beat < LIVE_SECONDS and site.side.get(other, 0) == side
        ]
        return Part(1.0 / max(1, len(heard)), 0.0)

    def beat() -> None:
        while True:
            at = virtual_time.now()
            beats.update((member, at) for member, daemon in site.daemons.items() if daemon.runs)
            eventlet.sleep(1.0)

    site.on_start = prepare
    for daemon in site.daemons.values():
        prepare(daemon)
    eventlet.spawn_n(beat)


def print_costs() -> None:
    """Print sizes of messages, times of decisions, and the messages while one hall wants retries."""
    member = MemberId("front-hall-a-100")
    messages = (
        wire.BorrowRequest(12345, "wayfind-llm", 4.0),
        wire.BorrowReply(12345, 4.0, member, 2**47),
        wire.BorrowReturn("wayfind-llm", member, 2**47, 2.0),
        wire.CreditDeposit("wayfind-llm", 2.35, 0.51),
    )
    for message in messages:
        print(type(message).__name__, len(wire.FrameAuthenticator(b"key").seal(message)), "bytes sealed")
    for count in (0, 60, 300):
        parts = RetryParts(member, 10.0, 10.0, first_start=True)
        daemons = {MemberId(f"d{number}") for number in range(440)} | {member}
        parts.started_at -= 60.0
        parts.observe(parts.started_at, daemons, daemons)
        parts.member_since = parts.lender_since = parts.started_at
        parts.known_at = parts.started_at + 60.0
        ledger = RetryLedger(RetryBound(0.2, 440.0 * (count + 10), 10.0), parts.current)
        for _ in range(count):
            if (charge := ledger.acquire()) is not None:
                charge.commit()

        def hold(ledger: RetryLedger = ledger) -> None:
            if (charge := ledger.acquire()) is not None:
                charge.release()

        seconds = min(timeit.repeat(hold, number=2000, repeat=5)) / 2000
        print(f"{count} retries in the window: hold and release {1e6 * seconds:.1f} µs")
    seconds = min(timeit.repeat(lambda: parts.observe(0.0, daemons, daemons), number=2000, repeat=5)) / 2000
    print(f"observe a roster of {len(daemons)}: {1e6 * seconds:.1f} µs")
    for size in SIZES:
        sent, busiest, retries = count_messages(size)
        print(f"{size.daemons} daemons, one hall alone, 10 s: {sent.total()} messages")
        print(f"  {busiest} at the busiest daemon")
        print(f"  {dict(sent)}, {retries} retries")


def count_messages(size: SiteSize) -> tuple[Counter[str], int, int]:
    """Count the messages about retries while the daemons of one hall alone want any for 10 s.

    :return: messages by type, those received by the busiest daemon, and the retries that were sent.
    """

    def run() -> tuple[Counter[str], int, int]:
        site = RetrySite(size)
        one_hall(site)
        eventlet.sleep(START_SECONDS + CREDIT_SECONDS)
        sent: Counter[str] = Counter()
        received: Counter[MemberId] = Counter()

        def count(to: MemberId, message: wire.Message) -> None:
            sent[type(message).__name__] += 1
            received[to] += 1

        site.on_message = count
        site.demanding = True
        eventlet.sleep(10.0)
        return sent, max(received.values()), len(site.retries)

    found: tuple[Counter[str], int, int] = virtual_time.run_virtually(run)
    return found


def main() -> None:
    """Print a table for each size: the worst and the mean use over all seeds, by event and way."""
    if sys.argv[1:] == ["costs"]:
        print_costs()
        return
    for size in SIZES[:2]:
        print(f"\n{size.daemons} daemons; largest use over {len(SEEDS)} seeds, and its mean")
        print("event".ljust(48), *(way.name.rjust(14) for way in Way))
        for failures in FAILURES:
            row = [
                [
                    play_failures(size, failures, seed, prepare=partial(divide, way=way)).fraction
                    for seed in SEEDS
                ]
                for way in Way
            ]
            cells = (f"{max(u):.2f} {sum(u) / len(u):.2f}".rjust(14) for u in row)
            print(failures.__name__.ljust(48), *cells, flush=True)
        row = [
            [play_local_trouble(size, one_hall, seed, partial(divide, way=way)).fraction for seed in SEEDS]
            for way in Way
        ]
        cells = (f"{min(u):.2f} {sum(u) / len(u):.2f}".rjust(14) for u in row)
        print("one hall alone (smallest, mean)".ljust(48), *cells, flush=True)


if __name__ == "__main__":
    for module in (*retry_site.MODULES, clock):
        vars(module)["now"] = virtual_time.now
    main()
