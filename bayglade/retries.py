"""Budgets for retries, and when callers should come back."""

import random
from collections import deque

from bayglade.clock import DecayingSum, now

BUDGET_WINDOW = 10.0
BUDGET_FRACTION = 0.1
BUDGET_FLOOR = 10.0
SPREAD = 0.5
FIRST_PAUSE = 0.1
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 60.0


class RetryBudget:
    """Allows retries up to a fraction of recent requests, plus a small floor.

    Retries are counted in a sliding window: a sum that decays would let twice
    as many through within one window.

    :param fraction: part of the recent requests.
    :param floor: retries that are allowed besides; may change as daemons come and go.
    :param window: seconds over which both are counted.
    """

    __slots__ = ("floor", "fraction", "loan", "loan_until", "requests", "retries", "window")

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
        """Retries that another daemon lent; they count there."""

        self.loan_until = 0.0

    def __repr__(self) -> str:
        return f"<RetryBudget {len(self.retries)} of {self.requests.value:.1f}>"

    def request(self) -> None:
        """Count a first try."""
        self.requests.add(1.0, now())

    def retry(self) -> bool:
        """Take one retry from the budget.

        :return: false when the budget is spent.
        """
        at = now()
        if not self._own_left(at):
            return self._use_loan(at)
        self.retries.append(at)
        return True

    def left(self) -> bool:
        """Tell whether a retry could be taken now."""
        at = now()
        return self._own_left(at) or self._loan_left(at)

    def _own_left(self, at: float) -> bool:
        while self.retries and self.retries[0] <= at - self.window:
            self.retries.popleft()
        return len(self.retries) + 1.0 <= self.floor + self.fraction * self.requests.read(at)

    def _loan_left(self, at: float) -> bool:
        return self.loan > 0 and at < self.loan_until

    def borrowed(self, amount: int, until: float) -> None:
        """Take in a loan; what was left of an earlier one that still holds is kept.

        :param amount: how many retries.
        :param until: when the loan ends, in monotonic seconds.
        """
        left = self.loan if now() < self.loan_until else 0
        self.loan = left + amount
        self.loan_until = min(until, self.loan_until) if left else until

    def _use_loan(self, at: float) -> bool:
        if not self._loan_left(at):
            return False
        self.loan -= 1
        return True


def retry_pause(attempt: int, rng: random.Random) -> float:
    """Return how long to wait before servers that failed are tried again.

    :param attempt: how many attempts have failed.
    :param rng: source of the spread.
    :return: seconds, doubling with each attempt, spread by half.
    """
    return FIRST_PAUSE * 2.0 ** (attempt - 1) * (1.0 - SPREAD * rng.random())


def spread_retry_after(seconds: float, rng: random.Random, least: float = MIN_RETRY_AFTER) -> float:
    """Spread the moments at which refused callers come back.

    :param seconds: when coming back would help at the earliest.
    :param rng: source of the spread.
    :param least: lower bound; small where another daemon can answer at once.
    :return: seconds, between the earliest and half as much again, within bounds.
    """
    base = min(max(seconds, least), MAX_RETRY_AFTER)
    return base * (1.0 + SPREAD * rng.random())
