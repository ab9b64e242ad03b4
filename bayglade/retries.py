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
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 60.0
"""Bounds on Retry-After times in seconds, before jitter."""


class RetryBudget:
    """Allows retries up to a fraction of recent requests, plus a small floor.

    Retries are counted in a sliding window. An exponentially decaying sum would
    allow twice as many within one window.

    :param fraction: allowed retries as a fraction of the recent requests.
    :param floor: retries allowed in addition; may change as daemons join and leave.
    :param window: seconds over which requests and retries are counted.
    """

    __slots__ = (
        "charged_to",
        "created_at",
        "floor",
        "fraction",
        "loan",
        "loan_expires",
        "requests",
        "retries",
        "window",
    )

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
        self.loan = 0
        """Retries lent by another daemon; they are counted against that daemon's budget."""

        self.loan_expires = 0.0
        self.charged_to = "own"
        """What the last retry was charged to: this daemon's own part, or a loan."""

        self.created_at = now()
        """When this daemon began to count; what an earlier process took is not known."""

    def __repr__(self) -> str:
        allowed = self.floor + self.fraction * self.requests.value
        return f"<RetryBudget {len(self.retries)} of {allowed:.1f} floor={self.floor:.1f}>"

    def note_request(self) -> None:
        """Count a request's first attempt."""
        self.requests.add(1.0, now())

    def acquire(self) -> bool:
        """Take one retry from the budget.

        :return: false if the budget is exhausted.
        """
        at = now()
        if not self._own_available(at):
            return self._use_loan(at)
        self.retries.append(at)
        self.charged_to = "own"
        return True

    def available(self) -> bool:
        """Return whether a retry could be taken now."""
        at = now()
        return self._own_available(at) or self._loan_available(at)

    def _own_available(self, at: float) -> bool:
        while self.retries and self.retries[0] <= at - self.window:
            self.retries.popleft()
        return len(self.retries) + 1.0 <= self.floor + self.fraction * self.requests.read(at)

    def _loan_available(self, at: float) -> bool:
        return self.loan > 0 and at < self.loan_expires

    def add_loan(self, amount: int, until: float) -> None:
        """Add a loan; what remains of an earlier loan that has not expired is kept.

        :param amount: number of retries.
        :param until: when the loan expires, in monotonic seconds.
        """
        left = self.loan if now() < self.loan_expires else 0
        self.loan = left + amount
        self.loan_expires = min(until, self.loan_expires) if left else until

    def _use_loan(self, at: float) -> bool:
        if not self._loan_available(at):
            return False
        self.loan -= 1
        self.charged_to = "loan"
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
