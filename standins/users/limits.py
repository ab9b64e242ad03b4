"""What a server that names a limit may get: the promise, checked from what servers saw."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from standins.users.replica import LimitNamed, Replica

WINDOW_SECONDS = 4.0
FACTOR = 1.5
EXTRA = 5
"""Requests that may come beside one and a half times the limit."""

TOLD_SECONDS = 0.5
"""How long after an answer its daemon is taken to know of the limit."""


class Excess(NamedTuple):
    """A window in which a server got more than it may."""

    until: float
    got: int
    allowed: float


def allowed(rate: float) -> float:
    """Return how many requests may come in a window.

    :param rate: the limit, in requests a second.
    """
    return FACTOR * WINDOW_SECONDS * rate + EXTRA


def excesses(server: Replica, daemon_of: Mapping[str, str], since: float = 0.0) -> list[Excess]:
    """List the windows in which a server got more than the limit that held through them.

    Only daemons count that had passed on an answer with the limit, by which all are bound together.

    :param server: the server.
    :param daemon_of: the daemon that was asked, by request.
    :param since: nothing counts before this time, in monotonic seconds.
    """
    born = server.limits_named[-1].born if server.limits_named else 0
    named = [limit for limit in server.limits_named if limit.born == born]
    told: dict[str, float] = {}
    for limit in named:
        told.setdefault(daemon_of[limit.request], limit.at + TOLD_SECONDS)
    counted = [
        at for request, at in server.arrived if at >= max(since, told.get(daemon_of[request], float("inf")))
    ]
    return list(_windows(counted, lambda since, until: _rate(named, since, until)))


def _windows(times: list[float], rate: Callable[[float, float], float]) -> Iterable[Excess]:
    first = 0
    for last, until in enumerate(times):
        while times[first] <= until - WINDOW_SECONDS:
            first += 1
        got, most = last - first + 1, allowed(rate(until - WINDOW_SECONDS, until))
        if got > most:
            yield Excess(until, got, most)


def _rate(named: list[LimitNamed], since: float, until: float) -> float:
    """Return the highest limit that held in a time."""
    before = [limit.rate for limit in named if limit.at <= since][-1:]
    within = [limit.rate for limit in named if since < limit.at <= until]
    return max(before + within)
