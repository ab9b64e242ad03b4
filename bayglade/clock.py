"""The clock for all timeouts and ages, and sums with exponential decay."""

import math
import time

import eventlet

MIN_SUSPENSION_SECONDS = 0.1
"""Smallest change of the clocks' offset, in seconds, that counts as a suspension. The clocks are read one
after the other, which alone changes the offset by microseconds."""


def now() -> float:
    """Return the seconds of a monotonic clock that also counts while the host is suspended.

    :func:`time.monotonic` stops during a suspension, so keys, settings, leases and servers would look as
    fresh after it as before.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boottime_timers() -> None:
    """Make the event loop's timers use :func:`now`; call it before the first timer is created."""
    eventlet.hubs.get_hub().clock = now


class SuspensionDetector:
    """Detects suspensions of the host by the offset of :func:`now` from :func:`time.monotonic`."""

    def __init__(self) -> None:
        self.offset = now() - time.monotonic()

    def __repr__(self) -> str:
        return f"<SuspensionDetector {self.offset:.1f}>"

    def suspended_seconds(self) -> float:
        """Return how many seconds the host was suspended since the last call."""
        before, self.offset = self.offset, now() - time.monotonic()
        seconds = self.offset - before
        return seconds if seconds >= MIN_SUSPENSION_SECONDS else 0.0


class DecayingSum:
    """A sum that decays exponentially.

    :param tau: time constant in seconds; the sum decays to 1/e in this time.
    """

    __slots__ = ("created_at", "tau", "updated_at", "value")

    def __init__(self, tau: float) -> None:
        self.tau = tau
        self.value = 0.0
        self.updated_at = now()
        self.created_at = self.updated_at

    def __repr__(self) -> str:
        return f"<DecayingSum {self.value:.3g} tau={self.tau}>"

    def add(self, amount: float, at: float) -> None:
        """Add an amount at the given time."""
        self.value = self.read(at) + amount
        self.updated_at = at

    def read(self, at: float) -> float:
        """Return the decayed sum at the given time."""
        return self.value * math.exp(-max(0.0, at - self.updated_at) / self.tau)

    def rate(self, at: float) -> float:
        """Return the rate per second that the sum stands for.

        A sum created recently covers only part of its time constant; without the correction for that, the
        rate would be too low.
        """
        seen = 1.0 - math.exp(-max(1e-3, at - self.created_at) / self.tau)
        return self.read(at) / (self.tau * seen)
