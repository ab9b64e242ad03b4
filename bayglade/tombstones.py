"""Tombstones: the state kept of servers that are no longer listed.

The row of a server may disappear briefly and return, or an older row may return. What a server
announced in its own answers stays valid for that incarnation of it. The row of a server that is
gone may also return with an older version of the whole list.
"""

import msgspec

from bayglade.ids import ServerKey
from bayglade.servers import RateLimit, Server, Throttle

MAX_TOMBSTONES = 1000
"""Several times the number of servers that announce anything at one time in a large fleet."""


class Tombstone(msgspec.Struct, frozen=True):
    """What one incarnation of a server announced about itself."""

    leaving: bool
    rest_until: float
    """In monotonic seconds."""

    rate_limit: RateLimit | None = None
    throttle: Throttle | None = None


class Tombstones:
    """Remembers the announcements of servers that are no longer listed, by server incarnation."""

    def __init__(self) -> None:
        self.by_incarnation: dict[ServerKey, Tombstone] = {}

    def __repr__(self) -> str:
        return f"<Tombstones of {len(self.by_incarnation)} servers>"

    def remember(self, server: Server, at: float) -> None:
        """Remember what a server that is no longer listed announced."""
        rest_until = server.rest_until if server.resting(at) else 0.0
        self.by_incarnation[server.facts.key] = Tombstone(
            server.leaving, rest_until, server.rate_limit, server.throttle
        )
        if len(self.by_incarnation) > MAX_TOMBSTONES:
            del self.by_incarnation[next(iter(self.by_incarnation))]

    def restore(self, server: Server) -> bool:
        """Restore what a server that is listed again announced in its current incarnation.

        :return: whether this incarnation was listed before.
        """
        tombstone = self.by_incarnation.pop(server.facts.key, None)
        if tombstone is None:
            return False
        server.leaving = server.leaving or tombstone.leaving
        server.rest_until = tombstone.rest_until
        server.rate_limit, server.throttle = tombstone.rate_limit, tombstone.throttle
        return True
