"""Adaptive timeouts after which a stalled stream is investigated.

An investigation probes several servers, and each probe is billed. Usual delays
depend on the servers and their load, so they are learned from this daemon's streams.
"""

MIN_TIMEOUT = 0.06
"""In seconds. A shorter delay may be due to the entry host itself."""
FIRST_EVENT_FRACTIONS = (0.2, 0.5)
"""Least and greatest timeout for the first event, as fractions of the latency objective. The greatest
leaves as much time again for another attempt elsewhere."""
GAP_FRACTIONS = (0.25, 0.75)
"""The same for later events, as fractions of the longest pause allowed between them. A stream that has to
be moved exceeds that in any case, so a later investigation costs little."""
MAX_DEVIATIONS = 4.0
"""Number of mean deviations above the mean that are still considered usual."""
SMOOTHING = 0.02
"""Weight of the latest delay in the moving averages."""


class WaitEstimate:
    """Moving averages of one kind of delay and its mean deviation, in seconds."""

    __slots__ = ("deviation", "mean")

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0

    def __repr__(self) -> str:
        return f"<WaitEstimate {self.mean:.3f} s, deviation {self.deviation:.3f}>"

    def update(self, seconds: float) -> None:
        """Update the averages with one delay."""
        error = seconds - self.mean
        self.mean += SMOOTHING * error
        self.deviation += SMOOTHING * (abs(error) - self.deviation)

    def upper_bound(self) -> float:
        """Return the longest delay that is still considered usual."""
        return self.mean + MAX_DEVIATIONS * self.deviation


class StallTimeouts:
    """The stall timeouts of one daemon's streams.

    :param adaptive: whether they follow the measured delays; otherwise they are always the least.
    """

    def __init__(self, adaptive: bool = True) -> None:
        self.adaptive = adaptive
        self.first_events = WaitEstimate()
        self.gaps = WaitEstimate()

    def __repr__(self) -> str:
        return f"<StallTimeouts {self.first_events!r} {self.gaps!r}>"

    def first_event_timeout(self, aim: float) -> float:
        """Return the timeout of a stream that has no event yet.

        :param aim: the latency objective for the first event, in seconds.
        """
        return self._clamp(self.first_events, FIRST_EVENT_FRACTIONS, aim)

    def gap_timeout(self, aim: float) -> float:
        """Return the timeout of a stream that has begun.

        :param aim: the longest pause allowed between events, in seconds.
        """
        return self._clamp(self.gaps, GAP_FRACTIONS, aim)

    def record(self, seconds: float, begun: bool) -> None:
        """Record the delay of an event."""
        (self.gaps if begun else self.first_events).update(seconds)

    def _clamp(self, estimate: WaitEstimate, fractions: tuple[float, float], aim: float) -> float:
        lowest, highest = (max(MIN_TIMEOUT, fraction * aim) for fraction in fractions)
        return min(highest, max(lowest, estimate.upper_bound())) if self.adaptive else lowest
