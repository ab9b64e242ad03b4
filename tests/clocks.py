"""A clock for tests of decisions that go by the time."""

START = 100.0
"""Time at which it stands first, in seconds."""


class ManualClock:
    """A clock that moves only as told."""

    def __init__(self) -> None:
        self.at = START

    def now(self) -> float:
        return self.at
