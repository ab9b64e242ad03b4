"""Stall timeouts: how long a stream may stand still before it is looked into.

A look asks several servers, and each question is paid for. What is usual
depends on servers and load, so it is learned from the streams of this daemon.
"""

LEAST_TIMEOUT = 0.06
"""Seconds; less than this is within what an entry host itself may be late."""
FIRST_OF_AIM = (0.2, 0.5)
"""Least and most patience for the first event, as parts of the aim: with the most, as much time is
left to begin anew elsewhere."""
GAP_OF_AIM = (0.25, 0.75)
"""The same for later events, as parts of the longest good pause: a stream that has to be moved is
late in any case, so a later look costs little."""
DEVIATIONS = 4.0
"""Mean deviations above the mean that still are usual."""
WEIGHT = 0.02
"""Weight of the newest event in what is usual."""


class Usual:
    """What is usual of one kind of waiting, in seconds."""

    __slots__ = ("deviation", "mean")

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0

    def __repr__(self) -> str:
        return f"<Usual {self.mean:.3f} s, give or take {self.deviation:.3f}>"

    def learn(self, seconds: float) -> None:
        """Take in one wait."""
        error = seconds - self.mean
        self.mean += WEIGHT * error
        self.deviation += WEIGHT * (abs(error) - self.deviation)

    def bound(self) -> float:
        """Return the longest wait that still is usual."""
        return self.mean + DEVIATIONS * self.deviation


class StallTimeouts:
    """How patient a daemon is with its streams.

    :param learns: whether it goes by what is usual, or always by the least.
    """

    def __init__(self, learns: bool = True) -> None:
        self.learns = learns
        self.firsts = Usual()
        self.gaps = Usual()

    def __repr__(self) -> str:
        return f"<StallTimeouts {self.firsts!r} {self.gaps!r}>"

    def first(self, aim: float) -> float:
        """Return the patience with a stream that has no event yet.

        :param aim: seconds to the first event of a good answer.
        """
        return self._within(self.firsts, FIRST_OF_AIM, aim)

    def gap(self, aim: float) -> float:
        """Return the patience with a stream that has begun.

        :param aim: the longest pause of a good answer, in seconds.
        """
        return self._within(self.gaps, GAP_OF_AIM, aim)

    def note(self, seconds: float, begun: bool) -> None:
        """Take in how long an event was waited for."""
        (self.gaps if begun else self.firsts).learn(seconds)

    def _within(self, usual: Usual, parts: tuple[float, float], aim: float) -> float:
        least, most = (max(LEAST_TIMEOUT, part * aim) for part in parts)
        return min(most, max(least, usual.bound())) if self.learns else least
