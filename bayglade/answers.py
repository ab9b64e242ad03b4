"""Counts of recent answers by request content.

A request that is answered again and again doesn't crash servers by itself. While no server crashes, the
only work per answer is a lookup by content; fingerprints are computed when they are first needed.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

from bayglade.calls import Call
from bayglade.fingerprints import RequestContent, fingerprint_of_content, part_fingerprint, request_content
from bayglade.ids import Fingerprint, PromptPartId, ServiceName

PROVEN_ANSWERS = 5
"""Answers after which a request is taken not to crash servers by itself."""
PROVEN_SECONDS = 600.0
"""How long that holds after the last answer: as long as crashes count."""
MAX_ANSWERS = 512
MAX_COUNTED_PARTS = 4096
MAX_CONTENT_BYTES = 4_000_000
"""Maximum total size of the contents kept to compute fingerprints from."""


class AnswerCount:
    """How often one request was answered, and when it was answered last, in monotonic seconds."""

    __slots__ = ("answered_at", "count", "fingerprint")

    def __init__(self) -> None:
        self.count = 0
        self.answered_at = float("-inf")
        self.fingerprint: Fingerprint | None = None
        """Computed when it is first needed."""

    def __repr__(self) -> str:
        return f"<Answered {self.count} times>"


class Answers:
    """The requests that one daemon saw answered recently, bounded in number and size."""

    def __init__(self) -> None:
        self.answered: OrderedDict[RequestContent, AnswerCount] = OrderedDict()
        """By content, the one answered last at the end."""

        self.content_bytes = 0
        """Total size of the contents kept."""

        self.by_fingerprint: dict[Fingerprint, AnswerCount] = {}
        self.not_fingerprinted: dict[RequestContent, AnswerCount] = {}

    def __repr__(self) -> str:
        return f"<Answers to {len(self.answered)} requests>"

    def note(self, call: Call, at: float) -> None:
        """Record a complete answer.

        :param call: the request.
        :param at: the time now, in monotonic seconds.
        """
        content = request_content(call)
        entry = self.answered.get(content)
        if entry is None:
            entry = self.answered[content] = self.not_fingerprinted[content] = AnswerCount()
            self.content_bytes += content.size()
        if at - entry.answered_at > PROVEN_SECONDS:
            entry.count = 0
        entry.count += 1
        entry.answered_at = at
        self.answered.move_to_end(content)
        while len(self.answered) > MAX_ANSWERS or self.content_bytes > MAX_CONTENT_BYTES:
            self._forget_oldest()

    def last_answered_at(self, fingerprint: Fingerprint, key: bytes) -> float:
        """Return when a request was last answered; minus infinity if that isn't known.

        :param fingerprint: the request.
        :param key: key of fingerprints.
        """
        entry = self._find(fingerprint, key)
        return entry.answered_at if entry is not None else float("-inf")

    def proven(self, fingerprint: Fingerprint, key: bytes, at: float) -> bool:
        """Tell whether a request was answered many times recently.

        :param fingerprint: the request.
        :param key: key of fingerprints.
        :param at: the time now, in monotonic seconds.
        """
        entry = self._find(fingerprint, key)
        if entry is None or at - entry.answered_at > PROVEN_SECONDS:
            return False
        return entry.count >= PROVEN_ANSWERS

    def forget_fingerprints(self) -> None:
        """Drop all fingerprints, as their key has changed."""
        self.by_fingerprint = {}
        self.not_fingerprinted = dict(self.answered)

    def _find(self, fingerprint: Fingerprint, key: bytes) -> AnswerCount | None:
        pending, self.not_fingerprinted = self.not_fingerprinted, {}
        for content, entry in pending.items():
            entry.fingerprint = fingerprint_of_content(content, key)
            self.by_fingerprint[entry.fingerprint] = entry
        return self.by_fingerprint.get(fingerprint)

    def _forget_oldest(self) -> None:
        content, entry = self.answered.popitem(last=False)
        self.content_bytes -= content.size()
        if self.not_fingerprinted.pop(content, None) is None and entry.fingerprint is not None:
            del self.by_fingerprint[entry.fingerprint]


class AnsweredPrompt(NamedTuple):
    """The shared parts of a prompt that was answered, and when, in monotonic seconds."""

    service: ServiceName
    parts: tuple[PromptPartId, ...]
    at: float


class PartAnswers:
    """How often the parts of prompts were answered recently at one daemon, bounded in number.

    Like :class:`Answers`, it computes fingerprints only once they are needed.
    """

    def __init__(self) -> None:
        self.pending: deque[AnsweredPrompt] = deque(maxlen=MAX_ANSWERS)
        """Answered prompts whose parts are not counted yet."""

        self.counts: OrderedDict[Fingerprint, AnswerCount] = OrderedDict()
        """By part, the one answered last at the end."""

    def __repr__(self) -> str:
        return f"<PartAnswers {len(self.counts)} parts, {len(self.pending)} prompts pending>"

    def note(self, call: Call, at: float) -> None:
        """Record a complete answer.

        :param call: the request.
        :param at: the time now, in monotonic seconds.
        """
        if call.head.shared_parts:
            self.pending.append(AnsweredPrompt(call.service, call.head.shared_parts, at))

    def proven(self, fingerprint: Fingerprint, key: bytes, at: float) -> bool:
        """Tell whether prompts with a part were answered many times recently.

        :param fingerprint: the part.
        :param key: key of fingerprints.
        :param at: the time now, in monotonic seconds.
        """
        while self.pending:
            self._count(self.pending.popleft(), key)
        entry = self.counts.get(fingerprint)
        if entry is None or at - entry.answered_at > PROVEN_SECONDS:
            return False
        return entry.count >= PROVEN_ANSWERS

    def forget_fingerprints(self) -> None:
        """Drop all counts, as the key of fingerprints has changed."""
        self.counts.clear()

    def _count(self, prompt: AnsweredPrompt, key: bytes) -> None:
        for part in prompt.parts:
            fingerprint = part_fingerprint(prompt.service, part, key)
            entry = self.counts.setdefault(fingerprint, AnswerCount())
            if prompt.at - entry.answered_at > PROVEN_SECONDS:
                entry.count = 0
            entry.count += 1
            entry.answered_at = prompt.at
            self.counts.move_to_end(fingerprint)
        while len(self.counts) > MAX_COUNTED_PARTS:
            self.counts.popitem(last=False)
