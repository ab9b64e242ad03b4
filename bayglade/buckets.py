"""Token buckets whose rate may change with each use."""

import math

BURST_SECONDS = 1.0


class Bucket:
    """A token bucket with a burst of one second's tokens, and of at least one token.

    :param rate: tokens per second.
    :param at: the time now, in monotonic seconds.
    :param level: initial tokens; full if omitted.
    """

    __slots__ = ("at", "level")

    def __init__(self, rate: float, at: float, level: float | None = None) -> None:
        self.level = capacity(rate) if level is None else level
        self.at = at

    def __repr__(self) -> str:
        return f"<Bucket {self.level:.1f}>"

    def refill(self, rate: float, at: float) -> None:
        """Add the tokens accumulated since the last use."""
        self.level = min(capacity(rate), self.level + rate * (at - self.at))
        self.at = at

    def put_back(self, amount: float, rate: float) -> None:
        """Return tokens that were taken and not used."""
        self.level = min(capacity(rate), self.level + amount)

    def wait_for(self, amount: float, rate: float) -> float:
        """Return seconds until an amount is available: zero if it is now, infinity at a rate of zero.

        An amount above the burst is allowed when the bucket is full, and leaves its level negative.
        """
        missing = min(amount, capacity(rate)) - self.level
        if missing <= 0:
            return 0.0
        return missing / rate if rate > 0 else math.inf


def capacity(rate: float) -> float:
    """Return the maximum number of tokens in a bucket."""
    return max(1.0, rate * BURST_SECONDS)
