"""Records which parts of prompts servers have run without crashing, while others are suspected."""

from collections import OrderedDict
from collections.abc import Iterable

from bayglade.entries.wire import SoundPart
from bayglade.ids import Fingerprint

MAX_PARTS = 4096


class SoundParts:
    """When a server last began to write an answer to a prompt with a part, and did not crash.

    Times are in monotonic seconds; the number of parts is bounded.
    """

    def __init__(self) -> None:
        self.begun_at: OrderedDict[Fingerprint, float] = OrderedDict()
        """By part, the one recorded last at the end."""

    def __repr__(self) -> str:
        return f"<SoundParts {len(self.begun_at)}>"

    def note(self, part: Fingerprint, begun_at: float) -> None:
        """Record a run of a part."""
        if begun_at <= self.last(part):
            return
        self.begun_at[part] = begun_at
        self.begun_at.move_to_end(part)
        if len(self.begun_at) > MAX_PARTS:
            self.begun_at.popitem(last=False)

    def last(self, part: Fingerprint) -> float:
        """Return when the last run of a part began; minus infinity if none is known."""
        return self.begun_at.get(part, float("-inf"))

    def reports(self, parts: Iterable[Fingerprint], at: float) -> list[SoundPart]:
        """Return reports of the runs of those parts that are known, as of a time."""
        return [
            SoundPart(part, round(at - self.begun_at[part], 3)) for part in parts if part in self.begun_at
        ]

    def expire(self, before: float) -> None:
        """Forget runs that began before a time."""
        for part in [part for part, begun_at in self.begun_at.items() if begun_at < before]:
            del self.begun_at[part]

    def clear(self) -> None:
        """Forget all runs."""
        self.begun_at.clear()
