"""What goes wrong at a stand-in, by name."""

from collections import Counter


class Faults:
    """What goes wrong at a server or at the store, by name, for so many requests."""

    def __init__(self) -> None:
        self.left: Counter[str] = Counter()

    def set(self, name: str, times: int = 1_000_000) -> None:
        """Have something go wrong."""
        self.left[name] = times

    def clear(self) -> None:
        """Have all go well again."""
        self.left.clear()

    def take(self, name: str) -> bool:
        """Tell whether this goes wrong now, and use it up."""
        if self.left[name] <= 0:
            return False
        self.left[name] -= 1
        return True
