"""Stall timeouts: how long a stream may stand still before it is looked into.

A look asks several servers, and each question is paid for. What is usual
depends on servers and load, so it is learned from the streams of this daemon.
"""

MIN_TIMEOUT = 0.06
"""Seconds; less than this is within what an entry host itself may be late."""
FIRST_EVENT_FRACTIONS = (0.2, 0.5)
"""Least and most patience for the first event, as parts of the aim: with the most, as much time is
left to begin anew elsewhere."""
GAP_FRACTIONS = (0.25, 0.75)
"""The same for later events, as parts of the longest good pause: a stream that has to be moved is
late in any case, so a later look costs little."""
MAX_DEVIATIONS = 4.0
"""Mean deviations above the mean that still are usual."""
SMOOTHING = 0.02
"""Weight of the newest event in what is usual."""


class WaitEstimate:
    """What is usual of one kind of waiting, in seconds."""

    __slots__ = ("deviation", "mean")

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0

    def __repr__(self) -> str:
        return f"<Usual {self.mean:.3f} s, give or take {self.deviation:.3f}>"

    def update(self, seconds: float) -> None:
        """Take in one wait."""
        error = seconds - self.mean
        self.mean += SMOOTHING * error
        self.deviation += SMOOTHING * (abs(error) - self.deviation)

    def upper_bound(self) -> float:
        """Return the longest wait that still is usual."""
        return self.mean + MAX_DEVIATIONS * self.deviation


class StallTimeouts:
    """How patient a daemon is with its streams.

    :param learns: whether it goes by what is usual, or always by the least.
    """

    def __init__(self, adaptive: bool = True) -> None:
        self.adaptive = adaptive
        self.first_events = WaitEstimate()
        self.gaps = WaitEstimate()

    def __repr__(self) -> str:
        return f"<StallTimeouts {self.first_events!r} {self.gaps!r}>"

    def first_event_timeout(self, aim: float) -> float:
        """Return the patience with a stream that has no event yet.

        :param aim: seconds to the first event of a good answer.
        """
        return self._clamp(self.first_events, FIRST_EVENT_FRACTIONS, aim)

    def gap_timeout(self, aim: float) -> float:
        """Return the patience with a stream that has begun.

        :param aim: the longest pause of a good answer, in seconds.
        """
        return self._clamp(self.gaps, GAP_FRACTIONS, aim)

    def record(self, seconds: float, begun: bool) -> None:
        """Take in how long an event was waited for."""
        (self.gaps if begun else self.first_events).update(seconds)

    def _clamp(self, estimate: WaitEstimate, fractions: tuple[float, float], aim: float) -> float:
        lowest, most = (max(MIN_TIMEOUT, part * aim) for part in fractions)
        return min(most, max(lowest, estimate.upper_bound())) if self.adaptive else lowest
