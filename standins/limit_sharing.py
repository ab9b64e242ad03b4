"""Daemons that share the rate limit of one server, in simulated time: ways of sharing it under loads."""

import hashlib
import random
from collections.abc import Mapping, Sequence
from enum import Enum

import msgspec

from bayglade.buckets import Bucket
from bayglade.ids import HallName, MemberId
from bayglade.rate_limits import USED_FRACTION

STEP = 0.01
WAIT_SECONDS = 1.5
"""For how long a call waits for its daemon's share."""
LIST_SECONDS = 2.0
"""A daemon that comes or goes is known to each of the others after this time at most."""
PULSE_SECONDS = 5.0
FLOOD_FACTOR = 4.0
"""Calls of a flood, as a multiple of the limit."""
CHURN_SECONDS = 1.0
WINDOW_SECONDS = 4.0
WINDOW_FACTOR = 1.5
WINDOW_EXTRA = 5.0
"""What a server bears in a window: so many times its limit, and so many requests more."""
HOLDERS_PART = 0.75
"""Part of the most daemons that may share a limit: while daemons come and go, their lists differ."""


class Way(Enum):
    """How daemons share a limit."""

    ALONE = "each keeps the limit for itself"
    EVEN = "an even part for each daemon"
    HOLDERS = "even parts for a few daemons"
    LOANS = "one daemon lends each sending"


class Demand(Enum):
    """When callers come to the daemons."""

    FLOOD = "all daemons have callers all the time"
    THIN = "no more than the limit allows, spread over all daemons"
    PULSES = "after a silence each daemon has a caller at the same moment"
    FEW = "a tenth of the daemons have all callers"


class Result(msgspec.Struct, frozen=True):
    """What came of a simulation."""

    worst: int
    """The most requests that reached the server in one window."""

    used: float
    """Part of what the server could have taken, of the calls there were, that it got."""


class Share:
    """What a daemon may send: a token bucket of its own."""

    def __init__(self) -> None:
        self.rate = 0.0
        self.bucket = Bucket(0.0, 0.0, 0.0)

    def set_rate(self, rate: float, at: float) -> None:
        """Change the share; whoever gets one has saved nothing up."""
        if self.rate:
            self.bucket.refill(self.rate, at)
        else:
            self.bucket = Bucket(rate, at, 0.0)
        self.rate = rate

    def take(self, at: float) -> bool:
        """Take a request out of the share; tell whether there was one."""
        self.bucket.refill(self.rate, at)
        if not self.rate or self.bucket.wait_for(1.0, self.rate) > 0:
            return False
        self.bucket.level -= 1.0
        return True


def allowed(rate: float) -> float:
    """Return how many requests a server with a limit bears in a window."""
    return WINDOW_SECONDS * WINDOW_FACTOR * rate + WINDOW_EXTRA


def holders_of(rate: float, hall: HallName, daemons: Mapping[MemberId, HallName]) -> Sequence[MemberId]:
    """Choose the few daemons that share a limit, by hash, those of the server's hall first.

    Each may have saved one request up, and all of these may go out in the same second.
    """
    most = max(1, int(HOLDERS_PART * (allowed(rate) - WINDOW_SECONDS * USED_FRACTION * rate)))
    return sorted(daemons, key=lambda member: (daemons[member] != hall, _rank(member)))[:most]


def _rank(member: MemberId) -> bytes:
    return hashlib.blake2b(member.encode(), digest_size=8).digest()


class _Daemon:
    def __init__(self, name: MemberId) -> None:
        self.name = name
        self.waiting: list[float] = []
        self.share = Share()


class Simulation:
    """One server, and the daemons before it.

    :param way: how they share its limit.
    :param demand: when callers come.
    :param rate: the limit, in requests a second.
    :param daemons: how many daemons there are.
    :param halls: over how many halls; the server is a plain one in the first.
    :param churn: whether daemons are replaced all the time, of which the others know at different times.
    """

    def __init__(
        self, way: Way, demand: Demand, rate: float, daemons: int, halls: int = 5, churn: bool = False
    ) -> None:
        self.way, self.demand, self.rate, self.churn, self.halls = way, demand, rate, churn, halls
        self.rng = random.Random(f"{way}{demand}{rate}{daemons}{churn}")
        self.daemons = [_Daemon(MemberId(f"d{n}")) for n in range(daemons)]
        self.hall_of = {daemon.name: HallName(f"h{n % halls}") for n, daemon in enumerate(self.daemons)}
        self.pool = Share()
        self.lists: list[tuple[float, _Daemon, dict[MemberId, HallName]]] = []
        """Lists of daemons that are on their way, by when they arrive."""

        self.made = daemons
        self.offered = 0
        self.sent: list[float] = []

    def run(self, seconds: float) -> Result:
        """Play for some time."""
        if self.way is Way.LOANS:
            self.pool.set_rate(USED_FRACTION * self.rate, 0.0)
        for daemon in self.daemons:
            self._assign(daemon, dict(self.hall_of), 0.0)
        for step in range(int(seconds / STEP)):
            self._step(step * STEP)
        could = min(self.rate * seconds, float(self.offered))
        return Result(worst_window(self.sent), len(self.sent) / could if could else 0.0)

    def _step(self, at: float) -> None:
        if self.churn and _every(at, CHURN_SECONDS):
            self._replace(at)
        while self.lists and self.lists[0][0] <= at:
            _, daemon, known = self.lists.pop(0)
            self._assign(daemon, known, at)
        for daemon in self._asked(at):
            self.offered += 1
            daemon.waiting.append(at)
        for daemon in self.daemons:
            if daemon.waiting:
                self._serve(daemon, at)

    def _serve(self, daemon: _Daemon, at: float) -> None:
        daemon.waiting = [since for since in daemon.waiting if at - since < WAIT_SECONDS]
        share = self.pool if self.way is Way.LOANS else daemon.share
        while daemon.waiting and share.take(at):
            daemon.waiting.pop(0)
            self.sent.append(at)

    def _asked(self, at: float) -> Sequence[_Daemon]:
        if self.demand is Demand.PULSES:
            return self.daemons if _every(at, PULSE_SECONDS) else ()
        few = self.daemons[: max(1, len(self.daemons) // 10)]
        some = few if self.demand is Demand.FEW else self.daemons
        factor = FLOOD_FACTOR if self.demand in (Demand.FLOOD, Demand.FEW) else 1.0
        return [self.rng.choice(some) for _ in range(_poisson(self.rng, factor * self.rate * STEP))]

    def _assign(self, daemon: _Daemon, known: dict[MemberId, HallName], at: float) -> None:
        rate = USED_FRACTION * self.rate
        if self.way is Way.EVEN:
            rate /= len(known)
        if self.way is Way.HOLDERS:
            holders = holders_of(self.rate, HallName("h0"), known)
            rate = rate / len(holders) if daemon.name in holders else 0.0
        daemon.share.set_rate(rate, at)

    def _replace(self, at: float) -> None:
        """Have one daemon go and another one come."""
        gone = self.rng.randrange(len(self.daemons))
        name = MemberId(f"d{self.made}")
        self.made += 1
        self.hall_of[name] = self.hall_of.pop(self.daemons[gone].name)
        self.daemons[gone] = _Daemon(name)
        for daemon in self.daemons:
            after = at + self.rng.uniform(0.0, LIST_SECONDS)
            self.lists.append((after, daemon, dict(self.hall_of)))
        self.lists.sort(key=lambda entry: entry[0])


def _every(at: float, seconds: float) -> bool:
    return at > 0 and round(at / STEP) % round(seconds / STEP) == 0


def _poisson(rng: random.Random, mean: float) -> int:
    count, left = 0, rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


def worst_window(times: Sequence[float]) -> int:
    """Return the most requests in any window.

    :param times: when they arrived, in order.
    """
    worst = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_SECONDS:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
