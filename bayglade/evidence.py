"""Evidence against the suspects of server crashes.

A suspect is a request, by its content, or a part of prompts that requests share. All requests that had
just begun on a server when it crashed are suspects, and so are all shared parts of their prompts.
:mod:`bayglade.attribution` tells which of them to stop.
"""

from enum import Enum

from bayglade.ids import Fingerprint, ServerKey

SUSPECT_SECONDS = 600.0
"""How long crashes count after the last one."""
STOP_SECONDS = 3600.0
"""How long a request stays stopped; by then servers may run another version of the software or the
weights."""
CRASHES_TO_STOP = 3
"""Crashed server incarnations after which a request, or a part of prompts, is stopped, unless it is
proven."""
COMMON_CAUSE_SECONDS = 0.6
"""Crashes within this time may have one cause: a stage behind the first is found dead within about half
a second."""
MAX_REQUESTS_PER_CRASH = 64
"""Maximum number of requests with one part that are told apart in one crash."""


class Subject(Enum):
    """What is suspected."""

    REQUEST = "request"
    PROMPT_PART = "part"


class Evidence:
    """What is known against one suspect; times are in monotonic seconds."""

    __slots__ = (
        "confirmed_on",
        "crashed_on",
        "discounted",
        "failed_trials",
        "in_store",
        "interrupted_at",
        "last_crash_at",
        "parts",
        "proven",
        "requests",
        "sent_at",
        "stopped_at",
        "stored_companions",
        "subject",
        "trial_until",
        "write_at",
    )

    def __init__(self, at: float, subject: Subject = Subject.REQUEST) -> None:
        self.subject = subject
        self.crashed_on: set[ServerKey] = set()
        """Server incarnations that crashed when they had just begun to run the request, or one with the
        part."""

        self.interrupted_at: dict[ServerKey, float] = {}
        """When these servers interrupted it, where that is known."""

        self.sent_at: dict[ServerKey, float] = {}
        """When it was sent to these servers, where that is known; the last time for a part."""

        self.discounted: set[ServerKey] = set()
        """Crashed incarnations that no longer count, as it was answered since."""

        self.proven = False
        """Whether it was answered many times before, here or at another daemon."""

        self.parts: tuple[Fingerprint, ...] = ()
        """The shared parts of the prompt of a request."""

        self.requests: dict[ServerKey, set[Fingerprint]] = {}
        """By crashed incarnation, the requests with a part that it interrupted."""

        self.stored_companions: frozenset[Fingerprint] | None = None
        """The other parts without which a part is not refused, as found in the store."""

        self.confirmed_on: set[ServerKey] = set()
        """The crashed incarnations for which the store has a stop of a part."""

        self.last_crash_at = at
        self.stopped_at: float | None = None
        self.write_at = 0.0
        """When a stop is written to the store, unless another daemon has written it by then."""

        self.failed_trials = 0
        """How often servers crashed when a stopped part was tried again."""

        self.trial_until = float("-inf")
        """Until when this daemon waits for the outcome of a trial."""

        self.in_store = False

    def __repr__(self) -> str:
        return (
            f"<Evidence against a {self.subject.value} {len(self.crashed_on)} crashes"
            f" proven={self.proven} stopped_at={self.stopped_at}>"
        )

    def contents(self) -> set[Fingerprint]:
        """Return the requests with this part that servers interrupted in the crashes that count."""
        return set().union(*(self.requests.get(crash, ()) for crash in self.crashed_on))

    def note_request(self, crash: ServerKey, content: Fingerprint) -> None:
        """Record a request with this part that a crashed server interrupted, if that crash counts."""
        if crash not in self.crashed_on:
            return
        requests = self.requests.setdefault(crash, set())
        if len(requests) < MAX_REQUESTS_PER_CRASH:
            requests.add(content)

    def discount(self, crashes: set[ServerKey]) -> None:
        """Stop counting crashes."""
        self.crashed_on -= crashes
        self.discounted |= crashes
        for crash in crashes:
            self.requests.pop(crash, None)

    def expires_at(self) -> float:
        """Return when the evidence stops counting; a stop in the store counts until its row is removed."""
        if self.stopped_at is not None:
            return self.stopped_at + STOP_SECONDS
        return self.last_crash_at + SUSPECT_SECONDS
