"""Retry budgets, retry delays, and Retry-After times for callers."""

import random
from collections import deque

from bayglade.clock import DecayingSum, now

BUDGET_WINDOW = 10.0
BUDGET_FRACTION = 0.1
BUDGET_FLOOR = 10.0
"""Defaults of :class:`RetryBudget`."""
JITTER = 0.5
"""Random part of delays and of Retry-After times."""
BASE_DELAY = 0.1
"""Delay before the first retry, in seconds and before jitter."""
RETRY_ELSEWHERE_SECONDS = 0.03
"""Retry-After in seconds where another daemon can answer at once; the retry then reaches another one."""
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 60.0
"""Bounds on Retry-After times in seconds, before jitter."""


class RetryBudget:
    """Allows retries of one daemon up to a fraction of recent requests, plus a small floor.

    Retries are counted in a sliding window. An exponentially decaying sum would
    allow twice as many within one window. A bound on the retries of all daemons together is kept by
    :mod:`bayglade.retry_ledger`.

    :param fraction: allowed retries as a fraction of the recent requests.
    :param floor: retries allowed in addition.
    :param window: seconds over which requests and retries are counted.
    """

    __slots__ = ("floor", "fraction", "requests", "retries", "window")

    def __init__(
        self,
        fraction: float = BUDGET_FRACTION,
        floor: float = BUDGET_FLOOR,
        window: float = BUDGET_WINDOW,
    ) -> None:
        self.fraction = fraction
        self.floor = floor
        self.window = window
        self.requests = DecayingSum(window)
        self.retries: deque[float] = deque()

    def __repr__(self) -> str:
        return f"<RetryBudget {len(self.retries)} of {self.requests.value:.1f}>"

    def note_request(self) -> None:
        """Count a request's first attempt."""
        self.requests.add(1.0, now())

    def acquire(self) -> bool:
        """Take one retry from the budget.

        :return: false if the budget is exhausted.
        """
        at = now()
        while self.retries and self.retries[0] <= at - self.window:
            self.retries.popleft()
        if len(self.retries) + 1.0 > self.floor + self.fraction * self.requests.read(at):
            return False
        self.retries.append(at)
        return True


def retry_delay(attempt: int, rng: random.Random) -> float:
    """Return the delay before servers that failed are tried again.

    :param attempt: number of failed attempts.
    :param rng: source of the jitter.
    :return: seconds, doubling with each attempt and reduced at random by up to half.
    """
    return BASE_DELAY * 2.0 ** (attempt - 1) * (1.0 - JITTER * rng.random())


def jittered_retry_after(seconds: float, rng: random.Random, minimum: float = MIN_RETRY_AFTER) -> float:
    """Add jitter to a Retry-After time, so that rejected callers do not return all at once.

    :param seconds: the earliest time at which a retry is useful, in seconds from now.
    :param rng: source of the jitter.
    :param minimum: lower bound; small if another daemon can answer at once.
    :return: seconds, from the earliest time up to half as much again, within bounds.
    """
    base = min(max(seconds, minimum), MAX_RETRY_AFTER)
    return base * (1.0 + JITTER * rng.random())


def retry_elsewhere(rng: random.Random) -> float:
    """Return the Retry-After time, in seconds, of a request that another daemon can serve at once.

    :param rng: source of the jitter.
    """
    return jittered_retry_after(RETRY_ELSEWHERE_SECONDS, rng, RETRY_ELSEWHERE_SECONDS)
