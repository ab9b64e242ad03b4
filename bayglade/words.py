"""Words: what servers that are no longer listed said of themselves.

A row may be gone for a moment and come back, and an older one may come back: what the server
itself said in its answers goes on to hold, for the start of it that said so.
"""

import msgspec

from bayglade.ids import ServerKey
from bayglade.servers import RateLimit, Server, Throttle

MAX_WORDS = 1000
"""Words that are kept: a several times as many servers as say anything at a time in a large fleet."""


class Word(msgspec.Struct, frozen=True):
    """What one start of a server said."""

    leaving: bool
    rest_until: float
    """In monotonic seconds."""

    rate_limit: RateLimit | None = None
    throttle: Throttle | None = None


class Words:
    """The words that are kept, by start of a server."""

    def __init__(self) -> None:
        self.known: dict[ServerKey, Word] = {}

    def __repr__(self) -> str:
        return f"<Words of {len(self.known)} servers>"

    def keep(self, server: Server, at: float) -> None:
        """Keep the word of a server that is no longer listed, if it said anything that holds."""
        if not server.leaving and not server.resting(at) and server.rate_limit is None:
            return
        self.known[server.facts.key] = Word(
            server.leaving, server.rest_until, server.rate_limit, server.throttle
        )
        if len(self.known) > MAX_WORDS:
            del self.known[next(iter(self.known))]

    def recall(self, server: Server) -> None:
        """Have a server that is listed again stand by the word of its present start."""
        word = self.known.pop(server.facts.key, None)
        if word is None:
            return
        server.leaving = server.leaving or word.leaving
        server.rest_until = word.rest_until
        server.rate_limit, server.throttle = word.rate_limit, word.throttle
