"""Tombstones: what is kept of servers that are no longer listed.

A row may be gone for a moment and come back, and an older one may come back: what the server
itself said in its answers goes on to hold, for the start of it that said so. The row of a
server that is gone may also come back with an older copy of the whole list.
"""

import msgspec

from bayglade.ids import ServerKey
from bayglade.servers import RateLimit, Server, Throttle

MAX_TOMBSTONES = 1000
"""Several times as many as there are servers that say anything at a time in a large fleet."""


class Tombstone(msgspec.Struct, frozen=True):
    """What one start of a server said."""

    leaving: bool
    rest_until: float
    """In monotonic seconds."""

    rate_limit: RateLimit | None = None
    throttle: Throttle | None = None


class Tombstones:
    """What is kept, by start of a server."""

    def __init__(self) -> None:
        self.known: dict[ServerKey, Tombstone] = {}

    def __repr__(self) -> str:
        return f"<Tombstones of {len(self.known)} servers>"

    def add(self, server: Server, at: float) -> None:
        """Keep what a server that is no longer listed said."""
        rest_until = server.rest_until if server.resting(at) else 0.0
        self.known[server.facts.key] = Tombstone(
            server.leaving, rest_until, server.rate_limit, server.throttle
        )
        if len(self.known) > MAX_TOMBSTONES:
            del self.known[next(iter(self.known))]

    def restore(self, server: Server) -> bool:
        """Give a server that is listed again what its present start said.

        :return: whether this start was listed before.
        """
        stone = self.known.pop(server.facts.key, None)
        if stone is None:
            return False
        server.leaving = server.leaving or stone.leaving
        server.rest_until = stone.rest_until
        server.rate_limit, server.throttle = stone.rate_limit, stone.throttle
        return True
