"""What callers saw, what servers ran, and what was done to whom and when; times are monotonic."""

from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """What a request asks for: the path prefix of its route."""

    STREAM = "stream"
    REPEATABLE = "safe"
    ONCE = "once"


@dataclass
class Record:
    """One request as its caller saw it."""

    request: str
    kind: Kind
    key: str
    daemon: str
    """The daemon's name and incarnation."""

    sent_at: float
    status: int | None = None
    """Nothing when the connection ended, or the caller gave up, before an answer."""

    whole: bool = False
    body: bytes = b""
    ended_at: float = 0.0
    error: str = ""


@dataclass
class Fault:
    """One thing that was done, and for how long its effect lasted."""

    name: str
    target: str
    at: float
    until: float
    planned: bool = False
    """Whether it is work that must harm nobody."""


@dataclass
class Journal:
    """All that a soak did and saw."""

    records: list[Record] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    key_versions: dict[str, int] = field(default_factory=dict)
    """Version of the settings that brought each key."""

    revoked: dict[str, float] = field(default_factory=dict)
    """When the store had taken the settings without the key."""

    leaving: dict[str, float] = field(default_factory=dict)
    """When the store had taken that a server leaves, by the server's id."""

    stopped: dict[str, float] = field(default_factory=dict)
    """When a daemon was told to stop, by name and incarnation."""

    broken: list[str] = field(default_factory=list)
    """What was found while it ran."""

    def calm(self, since: float, until: float) -> bool:
        """Tell whether nothing unplanned was done or lasted in a span."""
        return not any(f.at <= until and f.until >= since for f in self.faults if not f.planned)
