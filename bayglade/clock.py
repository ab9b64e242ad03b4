"""Time: one monotonic clock for all decisions, and averages that decay."""

import math
import time

now = time.monotonic
"""Seconds on the monotonic clock; it goes on while a process is stopped."""


class Decayed:
    """A sum that forgets exponentially.

    :param tau: seconds in which the sum falls to 1/e.
    """

    __slots__ = ("at", "began", "tau", "value")

    def __init__(self, tau: float) -> None:
        self.tau = tau
        self.value = 0.0
        self.at = now()
        self.began = self.at

    def __repr__(self) -> str:
        return f"<Decayed {self.value:.3g} tau={self.tau}>"

    def add(self, amount: float, at: float) -> None:
        """Add an amount at a time."""
        self.value = self.read(at) + amount
        self.at = at

    def read(self, at: float) -> float:
        """Return the sum as it stands at a time."""
        return self.value * math.exp(-max(0.0, at - self.at) / self.tau)

    def rate(self, at: float) -> float:
        """Return the amount a second that the sum stands for.

        A sum that began lately has not seen a whole time constant yet, which
        would make every rate look too low.
        """
        seen = 1.0 - math.exp(-max(1e-3, at - self.began) / self.tau)
        return self.read(at) / (self.tau * seen)
