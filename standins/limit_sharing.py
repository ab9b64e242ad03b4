"""Daemons that share the rate limit of one server, in simulated time: ways of sharing it under given loads."""

import random
from collections.abc import Sequence
from enum import Enum

import msgspec

from bayglade.ids import BackendId, HallName, MemberId, ServiceName
from bayglade.rate_limits import USED_PART, share_of, sharing_order
from bayglade.servers import Server, ServerFacts, Throttle

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


class _Daemon:
    def __init__(self, name: MemberId) -> None:
        self.name = name
        self.waiting: list[float] = []
        self.throttle = Throttle()


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
        facts = ServerFacts(
            id=BackendId("s"), service=ServiceName("plain"), address="", hall=HallName("h0"), slots=8
        )
        self.server = Server(facts)
        self.pool = Throttle()
        self.lists: list[tuple[float, _Daemon, dict[MemberId, HallName]]] = []
        """Lists of daemons that are on their way, by when they arrive."""

        self.made = daemons
        self.offered = 0
        self.sent: list[float] = []

    def run(self, seconds: float) -> Result:
        """Play for some time."""
        if self.way is Way.LOANS:
            self.pool.set_rate(USED_PART * self.rate, 0.0)
        for daemon in self.daemons:
            self._assign(daemon, dict(self.hall_of), 0.0)
        for step in range(int(seconds / STEP)):
            self._step(step * STEP)
        could = min(self.rate * seconds, float(self.offered))
        return Result(_worst(self.sent), len(self.sent) / could if could else 0.0)

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
        throttle = self.pool if self.way is Way.LOANS else daemon.throttle
        while daemon.waiting and throttle.take(at):
            daemon.waiting.pop(0)
            self.sent.append(at)

    def _asked(self, at: float) -> Sequence[_Daemon]:
        if self.demand is Demand.PULSES:
            return self.daemons if _every(at, PULSE_SECONDS) else ()
        some = (
            self.daemons[: max(1, len(self.daemons) // 10)] if self.demand is Demand.FEW else self.daemons
        )
        factor = FLOOD_FACTOR if self.demand in (Demand.FLOOD, Demand.FEW) else 1.0
        return [self.rng.choice(some) for _ in range(_poisson(self.rng, factor * self.rate * STEP))]

    def _assign(self, daemon: _Daemon, known: dict[MemberId, HallName], at: float) -> None:
        rate = USED_PART * self.rate
        if self.way is Way.EVEN:
            rate /= len(known)
        if self.way is Way.HOLDERS:
            rate = share_of(self.rate, daemon.name, sharing_order(self.server, known), 0.0)
        daemon.throttle.set_rate(rate, at)

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


def _worst(times: Sequence[float], window: float = WINDOW_SECONDS) -> int:
    worst = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
