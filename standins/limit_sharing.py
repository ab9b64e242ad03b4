"""Simulation of daemons that share the rate limit of one server, by policy and load."""

import hashlib
import random
from collections.abc import Mapping, Sequence
from enum import Enum

import msgspec

from bayglade.buckets import Bucket
from bayglade.ids import HallName, MemberId
from bayglade.rate_limits import USED_FRACTION

STEP = 0.01
"""Simulated seconds in a step."""
WAIT_SECONDS = 1.5
"""How long a request waits for its daemon's share before it is given up."""
LIST_SECONDS = 2.0
"""Time within which every daemon learns that another one joined or left."""
PULSE_SECONDS = 5.0
FLOOD_FACTOR = 4.0
"""Requests of a flood, as a multiple of the limit."""
CHURN_SECONDS = 1.0
WINDOW_SECONDS = 4.0
WINDOW_FACTOR = 1.5
WINDOW_EXTRA = 5.0
"""Requests that a server tolerates in a window: a multiple of its limit, plus a constant."""
HOLDERS_FRACTION = 0.75
"""Fraction used of the largest allowed number of sharing daemons, as their lists differ during changes."""


class Way(Enum):
    """Policy by which daemons share a limit."""

    ALONE = "each keeps the limit for itself"
    EVEN = "an equal part for each daemon"
    HOLDERS = "equal parts for a few daemons"
    LOANS = "one daemon grants each request"


class Demand(Enum):
    """Pattern in which requests arrive at the daemons."""

    FLOOD = "requests far beyond the limit arrive at all daemons"
    THIN = "requests at the limit, spread over all daemons"
    PULSES = "after a pause, a request arrives at each daemon at once"
    FEW = "requests far beyond the limit arrive at a tenth of the daemons"


class Result(msgspec.Struct, frozen=True):
    """Outcome of a simulation."""

    worst: int
    """Largest number of requests that reached the server in one window."""

    used: float
    """Requests sent, as a fraction of those that were offered and within the limit."""


class Share:
    """A share of a limit: a token bucket."""

    def __init__(self) -> None:
        self.rate = 0.0
        self.bucket = Bucket(0.0, 0.0, 0.0)

    def set_rate(self, rate: float, at: float) -> None:
        """Change the rate of the share; a bucket that had no rate before starts empty."""
        if self.rate:
            self.bucket.refill(self.rate, at)
        else:
            self.bucket = Bucket(rate, at, 0.0)
        self.rate = rate

    def take(self, at: float) -> bool:
        """Take a token for one request; return whether there was one."""
        self.bucket.refill(self.rate, at)
        if not self.rate or self.bucket.wait_for(1.0, self.rate) > 0:
            return False
        self.bucket.level -= 1.0
        return True


def allowed(rate: float) -> float:
    """Return how many requests a server with a limit tolerates in a window."""
    return WINDOW_SECONDS * WINDOW_FACTOR * rate + WINDOW_EXTRA


def holders_of(rate: float, hall: HallName, daemons: Mapping[MemberId, HallName]) -> Sequence[MemberId]:
    """Choose the few daemons that share a limit: those in the server's data hall first, then by hash.

    Their number is bounded, as each may have saved up one token, and all may be spent in the same second.
    """
    most = max(1, int(HOLDERS_FRACTION * (allowed(rate) - WINDOW_SECONDS * USED_FRACTION * rate)))
    return sorted(daemons, key=lambda member: (daemons[member] != hall, _rank(member)))[:most]


def _rank(member: MemberId) -> bytes:
    return hashlib.blake2b(member.encode(), digest_size=8).digest()


class _Daemon:
    def __init__(self, name: MemberId) -> None:
        self.name = name
        self.waiting: list[float] = []
        self.share = Share()


class Simulation:
    """One server, and the daemons that send to it.

    :param way: policy by which they share its limit.
    :param demand: arrival pattern of requests.
    :param rate: the limit, in requests a second.
    :param daemons: number of daemons.
    :param halls: number of data halls that they are spread over; the server is in the first.
    :param churn: whether daemons are replaced continually, which the others learn at different times.
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
        """Pending updates of lists of daemons: arrival time, receiver and list."""

        self.created = daemons
        self.offered = 0
        self.sent: list[float] = []

    def run(self, seconds: float) -> Result:
        """Simulate some seconds."""
        if self.way is Way.LOANS:
            self.pool.set_rate(USED_FRACTION * self.rate, 0.0)
        for daemon in self.daemons:
            self._assign(daemon, dict(self.hall_of), 0.0)
        for step in range(int(seconds / STEP)):
            self._step(step * STEP)
        possible = min(self.rate * seconds, float(self.offered))
        return Result(worst_window(self.sent), len(self.sent) / possible if possible else 0.0)

    def _step(self, at: float) -> None:
        if self.churn and _every(at, CHURN_SECONDS):
            self._replace(at)
        while self.lists and self.lists[0][0] <= at:
            _, daemon, known = self.lists.pop(0)
            self._assign(daemon, known, at)
        for daemon in self._arrivals(at):
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

    def _arrivals(self, at: float) -> Sequence[_Daemon]:
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
        """Replace a random daemon by a new one."""
        gone = self.rng.randrange(len(self.daemons))
        name = MemberId(f"d{self.created}")
        self.created += 1
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
    """Return the largest number of requests in any window.

    :param times: arrival times, in order.
    """
    worst = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_SECONDS:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
