"""Time: one monotonic clock for all decisions, and averages that decay."""

import math
import time

import eventlet

LEAST_SUSPENSION = 0.1
"""Seconds by which the two clocks must part to be told: reading one after the other takes microseconds."""


def now() -> float:
    """Return the seconds on a clock that never goes back, and goes on while the host is suspended.

    The usual monotonic clock stands still then: keys, settings, leases and servers would look as fresh
    after a suspension as before it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def keep_timers() -> None:
    """Have the event loop's timers go by the same clock; called before the first of them is made."""
    eventlet.hubs.get_hub().clock = now


class Suspensions:
    """Notices that the host was suspended, as the two clocks have parted."""

    def __init__(self) -> None:
        self.apart = now() - time.monotonic()

    def __repr__(self) -> str:
        return f"<Suspensions {self.apart:.1f}>"

    def lately(self) -> float:
        """Return for how many seconds the host was suspended since the last call."""
        before, self.apart = self.apart, now() - time.monotonic()
        seconds = self.apart - before
        return seconds if seconds >= LEAST_SUSPENSION else 0.0


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
