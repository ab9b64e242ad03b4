"""Records of requests as callers saw them, and of injected faults; times are monotonic seconds."""

from dataclasses import dataclass, field
from enum import Enum

PARTITION = "partition"
"""Name of the fault that cuts a daemon's links to all backend servers."""


class Kind(Enum):
    """Kind of a request; the value is the path prefix of its route."""

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
    """None if the connection closed, or the caller timed out, before the head of the answer."""

    whole: bool = False
    body: bytes = b""
    ended_at: float = 0.0
    error: str = ""
    after: int = 0
    """The event after which a stream is taken up; 0 for its beginning."""

    urgency: int | None = None
    """Urgency on the wire of a request to a route of its own urgency; 0 is the most urgent."""

    deadline: float = 4.0
    """Seconds that its caller stated as the time left, as of sending."""

    retry_after: float | None = None
    """Value of ``Retry-After`` in its answer, in seconds."""


@dataclass
class Fault:
    """One injected fault, and the span in which it may have effects."""

    name: str
    target: str
    at: float
    until: float
    planned: bool = False
    """Whether it is an operation that must not affect callers."""


@dataclass
class Journal:
    """Everything that a soak test did and observed."""

    records: list[Record] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    key_versions: dict[str, int] = field(default_factory=dict)
    """Version of the settings that added each key."""

    revoked: dict[str, float] = field(default_factory=dict)
    """When the store had accepted settings without the key, by key."""

    leaving: dict[str, float] = field(default_factory=dict)
    """When the store had accepted the row in which a server leaves, by the server's id."""

    stopped: dict[str, float] = field(default_factory=dict)
    """When a daemon was signalled to stop, by name and incarnation."""

    violations: list[str] = field(default_factory=list)
    """Violations found during the run."""

    def undisturbed(self, since: float, until: float) -> bool:
        """Return whether no unplanned fault was active in a span."""
        return not any(f.at <= until and f.until >= since for f in self.faults if not f.planned)
