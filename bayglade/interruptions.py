"""Interruptions of requests by servers that may have crashed, until that is confirmed or refuted."""

from collections.abc import Set

import msgspec

from bayglade.entries.wire import Crash
from bayglade.ids import Fingerprint, ServerKey

UNCONFIRMED_SECONDS = 6.0
"""How long an interruption counts as a possible crash while the crash isn't confirmed. The entry of a
server that falls silent is removed after three missed heartbeats, 3.6 s on the users' platform."""
MAX_SEEN = 4096
"""Maximum number of reported interruptions that are known at a time."""


class Interruption(msgspec.Struct, frozen=True):
    """A request that a server broke off; times are in monotonic seconds."""

    at: float
    sent_at: float
    parts: tuple[Fingerprint, ...]

    def crash(self, fingerprint: Fingerprint, server_key: ServerKey, at: float) -> Crash:
        """Return the report that the server crashed, as of a time."""
        return Crash(
            fingerprint,
            *server_key,
            round(at - self.at, 3),
            self.parts,
            round(max(0.0, self.at - self.sent_at), 3),
        )


class CrashTimes(msgspec.Struct, frozen=True):
    """When a daemon first and last learned that a server incarnation has ended, in monotonic seconds."""

    first_at: float
    last_at: float


class Interrupted(msgspec.Struct, frozen=True):
    """The requests that an incarnation interrupted before it ended, by fingerprint."""

    own: dict[Fingerprint, Interruption]
    """Those that this daemon sent."""

    remote: dict[Fingerprint, Interruption]
    """Those that only other daemons sent."""


class Interruptions:
    """The requests that servers interrupted lately, and the servers that ended lately.

    Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self.own: dict[ServerKey, dict[Fingerprint, Interruption]] = {}
        """By server incarnation: requests that this daemon sent and that were interrupted there. It isn't
        known yet whether the server crashed."""

        self.remote: dict[ServerKey, dict[Fingerprint, Interruption]] = {}
        """The same for requests that other daemons sent. These daemons may be gone when the crash is
        confirmed."""

        self.seen: dict[tuple[Fingerprint, ServerKey], float] = {}
        """When each interruption reported by another daemon was first seen; each is forwarded once."""

        self.ended: dict[ServerKey, CrashTimes] = {}
        """Server incarnations that ended recently."""

    def __repr__(self) -> str:
        return f"<Interruptions at {len(self.own)} servers, and {len(self.remote)} at other daemons>"

    def __bool__(self) -> bool:
        """Return whether any interruption is unconfirmed."""
        return bool(self.own or self.remote)

    def clear(self) -> None:
        """Forget all interruptions; the servers that ended stay known."""
        for known in (self.own, self.remote, self.seen):
            known.clear()

    def add(self, server_key: ServerKey, fingerprint: Fingerprint, interruption: Interruption) -> None:
        """Add an interruption of a request that this daemon sent."""
        self.own.setdefault(server_key, {})[fingerprint] = interruption

    def add_remote(self, crash: Crash, at: float) -> None:
        """Add an interruption that another daemon reports, as of a time."""
        interrupted_at = at - crash.age
        interruption = Interruption(interrupted_at, interrupted_at - crash.ran, crash.parts)
        self.remote.setdefault(crash.key, {})[crash.fingerprint] = interruption

    def is_news(self, crash: Crash, at: float) -> bool:
        """Tell whether a reported interruption is new and recent, and take note of it.

        Each is forwarded only when new, so reports don't circulate forever.
        """
        mark = (crash.fingerprint, crash.key)
        if crash.age > UNCONFIRMED_SECONDS or mark in self.seen or len(self.seen) >= MAX_SEEN:
            return False
        self.seen[mark] = at
        return True

    def end(self, server_key: ServerKey, at: float) -> Interrupted:
        """Record that an incarnation has definitely ended; return what it had interrupted."""
        known = self.ended.get(server_key)
        self.ended[server_key] = CrashTimes(known.first_at if known is not None else at, at)
        own, remote = self.own.pop(server_key, {}), self.remote.pop(server_key, {})
        return Interrupted(own, {n: found for n, found in remote.items() if n not in own})

    def refute(self, server_key: ServerKey, asked_at: float) -> None:
        """Drop the interruptions by an incarnation that responded, except for later ones.

        :param server_key: the incarnation.
        :param asked_at: when the request to which it responded was sent.
        """
        for known in (self.own, self.remote):
            if (fingerprints := known.get(server_key)) is not None:
                known[server_key] = {n: found for n, found in fingerprints.items() if found.at > asked_at}

    def discard(self, fingerprint: Fingerprint) -> bool:
        """Drop the interruptions of a request; tell whether there were any."""
        found = [known.pop(fingerprint, None) for known in (*self.own.values(), *self.remote.values())]
        return any(interruption is not None for interruption in found)

    def servers_of(self, fingerprint: Fingerprint) -> list[ServerKey]:
        """List the incarnations that interrupted a request that this daemon sent."""
        return [server_key for server_key, fingerprints in self.own.items() if fingerprint in fingerprints]

    def count_ended(self, since: float, but: Set[ServerKey]) -> int:
        """Count the incarnations that ended since a time, except for some."""
        return sum(
            times.last_at >= since for server_key, times in self.ended.items() if server_key not in but
        )

    def expire(self, at: float) -> None:
        """Forget what is too old to matter, as of a time."""
        oldest = at - UNCONFIRMED_SECONDS
        self.ended = {key: times for key, times in self.ended.items() if times.last_at >= oldest}
        self.seen = {mark: since for mark, since in self.seen.items() if since >= oldest}
        for known in (self.own, self.remote):
            for server_key, fingerprints in list(known.items()):
                known[server_key] = {n: found for n, found in fingerprints.items() if found.at >= oldest}
                if not known[server_key]:
                    del known[server_key]
