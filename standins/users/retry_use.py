"""How much of the bound on retries the daemons of a site use together, from what servers saw."""

import bisect
from collections.abc import Sequence
from typing import NamedTuple


class RetryBound(NamedTuple):
    """The bound on retries to one service, over all daemons and in every window."""

    fraction: float
    """Retries allowed for each request of the window, of the one before or of the one half before,
    whichever has most."""

    floor: float
    """Retries allowed in addition."""

    window: float
    """Seconds."""


class RetryUse(NamedTuple):
    """The retries in one window, and how many the bound allows there."""

    retries: int
    allowed: float
    since: float
    """Monotonic time at which the window begins."""

    @property
    def fraction(self) -> float:
        """Return the retries as a fraction of those that are allowed."""
        return self.retries / self.allowed if self.allowed else float(self.retries > 0)


def worst_retry_use(
    arrivals: Sequence[tuple[str, float]], requests: Sequence[float], bound: RetryBound
) -> RetryUse:
    """Return the use of the bound in the window that uses most of it.

    :param arrivals: request ids at the servers of the service, with monotonic times; run or not.
    :param requests: when callers sent the requests for the service, arrived or not.
    :param bound: the bound.
    """
    seen: set[str] = set()
    retries = []
    for request, at in sorted(arrivals, key=lambda arrival: arrival[1]):
        if request in seen:
            retries.append(at)
        seen.add(request)
    sent = sorted(requests)
    worst = RetryUse(0, bound.floor, 0.0)
    for first, since in enumerate(retries):
        count = bisect.bisect_right(retries, since + bound.window) - first
        most = max(
            _count(sent, since - early * bound.window, since + (1.0 - early) * bound.window)
            for early in (0.0, 0.5, 1.0)
        )
        use = RetryUse(count, bound.floor + bound.fraction * most, since)
        worst = max(worst, use, key=lambda each: each.fraction)
    return worst


def _count(times: Sequence[float], since: float, until: float) -> int:
    return bisect.bisect_right(times, until) - bisect.bisect_left(times, since)
