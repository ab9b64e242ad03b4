"""Answers: which requests were answered lately, by what they ask.

What is answered again and again ends no server by itself. While no server ends, all that
is worked out of a request is whether the same one was answered before; names follow when
they are asked for.
"""

from collections import OrderedDict

from bayglade.calls import Call
from bayglade.fingerprints import Question, name_question, question_of
from bayglade.ids import Fingerprint

PROVEN_ANSWERS = 5
"""Answers after which a request is taken for one that ends no server by itself."""
PROVEN_SECONDS = 600.0
"""For how long that holds after its last answer: as long as ends count."""
MAX_ANSWERS = 512
MAX_BYTES = 4_000_000
"""Size of all bodies that are kept, from which names are worked out."""


class Answered:
    """How often one request was answered, and when it was last, in monotonic seconds."""

    __slots__ = ("at", "count", "name")

    def __init__(self) -> None:
        self.count = 0
        self.at = float("-inf")
        self.name: Fingerprint | None = None
        """Worked out when it is first needed."""

    def __repr__(self) -> str:
        return f"<Answered {self.count} times>"


class Answers:
    """The requests that one daemon saw answered lately, bounded in number and size."""

    def __init__(self) -> None:
        self.answered: OrderedDict[Question, Answered] = OrderedDict()
        """The one answered last at the end."""

        self.size = 0
        """Bytes of all bodies."""

        self.named: dict[Fingerprint, Answered] = {}
        self.unnamed: dict[Question, Answered] = {}

    def __repr__(self) -> str:
        return f"<Answers to {len(self.answered)} requests>"

    def note(self, call: Call, at: float) -> None:
        """Note a whole answer.

        :param call: the request.
        :param at: now, in monotonic seconds.
        """
        asked = question_of(call)
        entry = self.answered.get(asked)
        if entry is None:
            entry = self.answered[asked] = self.unnamed[asked] = Answered()
            self.size += len(asked.body)
        if at - entry.at > PROVEN_SECONDS:
            entry.count = 0
        entry.count += 1
        entry.at = at
        self.answered.move_to_end(asked)
        while len(self.answered) > MAX_ANSWERS or self.size > MAX_BYTES:
            self._forget_oldest()

    def last_at(self, name: Fingerprint, key: bytes) -> float:
        """Return when a request was answered last; long ago when that is not known.

        :param name: the request.
        :param key: key of fingerprints.
        """
        entry = self._find(name, key)
        return entry.at if entry is not None else float("-inf")

    def proven(self, name: Fingerprint, key: bytes, at: float) -> bool:
        """Tell whether a request was answered many times lately.

        :param name: the request.
        :param key: key of fingerprints.
        :param at: now, in monotonic seconds.
        """
        entry = self._find(name, key)
        if entry is None or at - entry.at > PROVEN_SECONDS:
            return False
        return entry.count >= PROVEN_ANSWERS

    def rename(self) -> None:
        """Forget the names, as the key of fingerprints has changed."""
        self.named = {}
        self.unnamed = dict(self.answered)

    def _find(self, name: Fingerprint, key: bytes) -> Answered | None:
        unnamed, self.unnamed = self.unnamed, {}
        for asked, entry in unnamed.items():
            entry.name = name_question(asked, key)
            self.named[entry.name] = entry
        return self.named.get(name)

    def _forget_oldest(self) -> None:
        asked, entry = self.answered.popitem(last=False)
        self.size -= len(asked.body)
        if self.unnamed.pop(asked, None) is None and entry.name is not None:
            del self.named[entry.name]
