"""Token buckets, whose rate may change at each use."""

import math

BURST_SECONDS = 1.0


class Bucket:
    """A token bucket that holds what flows in one second, and one token at least.

    :param rate: tokens a second.
    :param at: the time now, in monotonic seconds.
    :param level: tokens in it at first; it is full when left out.
    """

    __slots__ = ("at", "level")

    def __init__(self, rate: float, at: float, level: float | None = None) -> None:
        self.level = capacity(rate) if level is None else level
        self.at = at

    def __repr__(self) -> str:
        return f"<Bucket {self.level:.1f}>"

    def refill(self, rate: float, at: float) -> None:
        """Let in what has flowed since the last use."""
        self.level = min(capacity(rate), self.level + rate * (at - self.at))
        self.at = at

    def put_back(self, amount: float, rate: float) -> None:
        """Put back what was taken and not used."""
        self.level = min(capacity(rate), self.level + amount)

    def wait_for(self, amount: float, rate: float) -> float:
        """Return seconds until an amount is there: zero when it is there now, infinity at a rate of zero.

        An amount above the burst may pass when the bucket is full and leaves a
        debt behind.
        """
        missing = min(amount, capacity(rate)) - self.level
        if missing <= 0:
            return 0.0
        return missing / rate if rate > 0 else math.inf


def capacity(rate: float) -> float:
    """Return how many tokens a bucket holds at most."""
    return max(1.0, rate * BURST_SECONDS)
