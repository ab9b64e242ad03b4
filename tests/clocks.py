"""A manual clock for tests of time-dependent decisions."""

START = 100.0
"""Its initial time, in seconds."""


class ManualClock:
    """A clock that advances only when told to."""

    def __init__(self) -> None:
        self.at = START

    def now(self) -> float:
        return self.at
