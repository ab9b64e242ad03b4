"""Faults of a stand-in, by name."""

from collections import Counter


class Faults:
    """Faults of a server or of the store: how many more requests each affects, by name."""

    def __init__(self) -> None:
        self.left: Counter[str] = Counter()

    def set(self, name: str, times: int = 1_000_000) -> None:
        """Enable a fault for a number of requests."""
        self.left[name] = times

    def clear(self) -> None:
        """Disable all faults."""
        self.left.clear()

    def take(self, name: str) -> bool:
        """Return whether a fault applies to this request, and count the request."""
        if self.left[name] <= 0:
            return False
        self.left[name] -= 1
        return True
