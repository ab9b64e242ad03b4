"""The fleet: backend servers as the platform lists them and as calls find them."""

import math
from collections.abc import Callable, Iterable, Mapping

import msgspec

from bayglade.clock import now
from bayglade.ids import UNKNOWN_INCARNATION, BackendId, Incarnation, ServerKey, ServiceName
from bayglade.logs import event
from bayglade.rate_limits import RateLimits
from bayglade.servers import Server, ServerFacts
from bayglade.tombstones import Tombstones

SUSPECT_SECONDS = 1.0
"""First time that a server which failed gets nothing; doubled at each failure in a row."""
MAX_SUSPECT_SECONDS = 8.0
MAX_SUSPECT_PART = 0.5
"""Part of a service's servers that may be suspect at once: a common cause must not take all."""
PACE_STEP = 0.2
"""Changes of a server's pace below this are noise."""
LAPSE_GRACE = 1.9
"""Seconds after the store's return in which a missing entry may come back: the users say two,
and work that goes to a server that is gone must end by then."""

DEFAULT_EXPIRY_SECONDS = 4.6
"""Three heartbeats of a server, and a second for the removal of its entry to be known."""

MAX_KNOWN_STARTS = 10_000
"""Servers whose newest start is remembered, those that are gone among them: several times as many as
the largest fleet has."""


class Fleet:
    """All backend servers, by service.

    :param expiry: seconds after which the platform removes the entry of a server that does not write it.
    """

    def __init__(self, expiry: float = DEFAULT_EXPIRY_SECONDS) -> None:
        self.expiry = expiry
        self.servers: dict[BackendId, Server] = {}
        self.by_service: dict[ServiceName, list[Server]] = {}
        self.lapsed: set[BackendId] = set()
        self.starts: dict[BackendId, Incarnation] = {}
        """The newest start known of each server, also of those that are gone."""

        self.tombstones = Tombstones()
        self.rate_limits = RateLimits(self.servers)

        self.on_restart: list[Callable[[BackendId], None]] = []
        """Told of each server that started again under its id: what is known of it no longer holds."""

        self.on_ended: Callable[[ServerKey], None] = lambda start: None
        """Told of each start of a server that has ended, as a later one is there."""

        self.on_unlisted: Callable[[Server], None] = lambda server: None
        """Told of each server that is no longer listed and did not say that it leaves; it may serve on."""

        self.on_said_leaving: Callable[[Server], None] = lambda server: None
        """Told of each server that said in an answer that it leaves."""

        self.grown_at = 0.0
        """When a server was listed that was not known before."""

        self.changed = 0
        """Grows with each change that may make another path better."""

    def __repr__(self) -> str:
        return f"<Fleet {len(self.servers)} servers>"

    def of(self, service: ServiceName) -> list[Server]:
        """List the servers of a service."""
        return self.by_service.get(service, [])

    def usable(self, service: ServiceName) -> list[Server]:
        """List the servers of a service that may get new work."""
        at = now()
        return [server for server in self.of(service) if server.usable(at)]

    def sound(self, service: ServiceName) -> list[Server]:
        """List the servers of a service that may get new work, or could but for their rest or limit."""
        at = now()
        return [server for server in self.of(service) if server.sound(at)]

    def opens_in(self, service: ServiceName) -> float | None:
        """Return when the first server takes a request that takes none now for its rest or its limit.

        :return: seconds; nothing when that is not what keeps requests from servers.
        """
        at = now()
        ends = [server.opens_at(at) - at for server in self.sound(service)]
        return min((seconds for seconds in ends if 0.0 < seconds < math.inf), default=None)

    def take(
        self,
        listed: Iterable[ServerFacts],
        gone: Iterable[BackendId],
        outage: bool,
        strange: Mapping[BackendId, str] | None = None,
    ) -> None:
        """Take in news of the list.

        :param listed: servers that are new or changed.
        :param gone: entries that were removed.
        :param outage: whether the store was away just now, so that entries lapsed of themselves.
        :param strange: entries that no server wrote, with what is wrong: such an entry names no server
            to use, and what runs on the server whose entry it was may end there.
        """
        for backend, reason in (strange or {}).items():
            self._exclude(backend, reason)
        for facts in listed:
            self._list(facts)
        for backend in gone:
            self._unlist(backend, outage)
        self._rebuild()

    def replace(
        self,
        listed: Iterable[ServerFacts],
        outage: bool,
        strange: Mapping[BackendId, str] | None = None,
        restored: bool = False,
    ) -> None:
        """Take in the whole list.

        :param listed: all entries.
        :param outage: whether the store was away just now.
        :param strange: entries that no server wrote, with what is wrong.
        :param restored: whether the list is of a store that came back from an older copy.
        """
        entries = list(listed)
        for facts in entries if restored else ():
            self._add_unconfirmed(facts)
        missing = self.servers.keys() - {facts.id for facts in entries} - (strange or {}).keys()
        self.take(entries, missing, outage, strange)

    def reported(self, server: Server, incarnation: Incarnation, first: int, last: int) -> bool:
        """Take in which start of a server a report comes from, and what that holds.

        :param server: the server that was asked.
        :param incarnation: the start that answered.
        :param first: the first layer that it holds.
        :param last: the layer after the last.
        :return: whether the report is of the server that was asked. One of a later start ends what is
            known of the earlier one; one of an earlier start, or that comes when the server has
            started again, tells nothing.
        """
        current = self.servers.get(server.facts.id)
        if current is not None and current is not server:
            return False
        known = server.facts.incarnation
        if incarnation in (UNKNOWN_INCARNATION, known) or current is None:
            return True
        if incarnation < known:
            return False
        again = msgspec.structs.replace(
            server.facts, incarnation=incarnation, first=first, last=last, leaving=False
        )
        self._restart(server, again, "its report")
        self._rebuild()
        return False

    def current(self, key: ServerKey) -> Server | None:
        """Return a server if word of it is of its present start.

        :param key: the start that another daemon tells of.
        """
        server = self.servers.get(key.backend)
        return server if server is not None and server.facts.key == key else None

    def superseded(self, key: ServerKey) -> Server | None:
        """Return a server if word of it is of a later start than the one known here.

        :param key: the start that another daemon tells of.
        """
        server = self.servers.get(key.backend)
        return server if server is not None and server.facts.incarnation < key.incarnation else None

    def drop_lapsed(self) -> None:
        """Drop entries that lapsed in an outage and did not come back in time."""
        lapsed, self.lapsed = self.lapsed, set()
        for backend in lapsed:
            self._drop(backend)
        if lapsed:
            self._rebuild()

    def suspect(self, server: Server, reason: str) -> bool:
        """Give a server nothing for a while, unless too many are suspect already.

        :param server: the server that failed.
        :param reason: what was seen.
        :return: whether it is suspect now.
        """
        at = now()
        server.failures += 1
        peers = self.of(server.facts.service)
        others = sum(1 for peer in peers if not peer.sound(at) and peer is not server)
        if others + 1 > max(1.0, len(peers) * MAX_SUSPECT_PART):
            return False
        if server.facts.held:
            if not server.suspect:
                server.suspect_since = at
            server.suspect = True
        else:
            seconds = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * 2.0 ** (server.failures - 1))
            server.suspect_until = at + seconds
        self.changed += 1
        event("WARNING", "server suspect", peer=server.facts.id, reason=reason, failures=server.failures)
        return True

    def trust(self, server: Server, reason: str) -> None:
        """End the suspicion of a server."""
        server.suspect = False
        server.refused = False
        server.suspect_until = 0.0
        self.changed += 1
        event("INFO", "server trusted", peer=server.facts.id, reason=reason)

    def pace(self, server: Server, pace: float) -> None:
        """Note how slow a server says it is; a clear change makes other paths better."""
        if abs(pace - server.pace) > PACE_STEP:
            event("INFO", "server pace", peer=server.facts.id, before=server.pace, pace=pace)
            server.pace = pace
            self.changed += 1

    def mark_leaving(self, server: Server, reason: str) -> None:
        """Give a server nothing more: it said itself that it leaves, or another took its address."""
        if server.leaving:
            return
        server.leaving = True
        self.changed += 1
        event("INFO", "server leaving", peer=server.facts.id, reason=reason)

    def said_leaving(self, server: Server, source: str) -> None:
        """Give a server nothing more, and have others told: it said in an answer that it leaves.

        :param server: the start of the server that said so.
        :param source: which answer, for the log.
        """
        if not server.leaving:
            self.mark_leaving(server, source)
            self.on_said_leaving(server)

    def rest(self, server: Server, seconds: float) -> None:
        """Give a server nothing for as long as it asked for.

        A server that refuses has the least under way, and would be chosen again at once.

        :param server: the start of the server that asked.
        :param seconds: for how long, from now on. A shorter rest asked for later does not end one: the
            server may tell each caller another time, and each holds.
        """
        until = now() + seconds
        if until > server.rest_until:
            server.rest_until = until
            event("INFO", "server rests", peer=server.facts.id, seconds=seconds)

    def succeeded(self, server: Server) -> None:
        """Note a whole answer."""
        server.failures = 0
        server.refused = False

    def _list(self, facts: ServerFacts) -> None:
        newest = self.starts.get(facts.id, UNKNOWN_INCARNATION)
        if facts.incarnation == UNKNOWN_INCARNATION < newest:
            self._exclude(facts.id, "it does not say when it started, and did before")
            return
        if facts.incarnation < newest:
            event("INFO", "older entry ignored", peer=facts.id, start=facts.incarnation, newest=newest)
            return
        self.lapsed.discard(facts.id)
        server = self.servers.get(facts.id)
        if server is not None and server.facts.key == facts.key and facts.writes < server.facts.writes:
            # A store that came back from an older copy: what the server wrote since holds.
            event("INFO", "older entry ignored", peer=facts.id, writes=facts.writes)
            return
        if server is None:
            self._add(facts)
            event("INFO", "server listed", peer=facts.id, hall=facts.hall, service=facts.service)
            return
        if facts.incarnation > server.facts.incarnation:
            self._restart(server, facts, "its entry")
            return
        if server.excluded is not None:
            event("INFO", "server's own entry is back", peer=facts.id)
            server.excluded = None
        if facts.leaving and not server.leaving:
            event("INFO", "server leaving", peer=facts.id, reason="listed")
        # What said that it leaves comes back by a new start alone.
        server.leaving = server.leaving or facts.leaving
        if server.suspect and (facts.first, facts.last) != (server.facts.first, server.facts.last):
            # It writes its row itself, so it lives and holds what that says.
            self.trust(server, "its row has changed")
        if facts.writes > server.facts.writes:
            server.unconfirmed_until = 0.0
        server.facts = facts

    def _add_unconfirmed(self, facts: ServerFacts) -> None:
        """Use an entry of a server that was gone for nothing until it is known to be the server's own."""
        if facts.id in self.servers or facts.key not in self.tombstones.by_incarnation:
            return
        self._add(facts)
        self.servers[facts.id].unconfirmed_until = now() + self.expiry
        event("WARNING", "entry of a server that was gone is back", peer=facts.id, seconds=self.expiry)

    def _add(self, facts: ServerFacts) -> None:
        server = Server(facts)
        self.tombstones.restore(server)
        self.servers[facts.id] = server
        self.grown_at = now()
        if facts.incarnation == UNKNOWN_INCARNATION:
            return
        self.starts.pop(facts.id, None)
        self.starts[facts.id] = facts.incarnation
        if len(self.starts) > MAX_KNOWN_STARTS:
            gone = (backend for backend in self.starts if backend not in self.servers)
            self.starts.pop(next(gone, facts.id))

    def _restart(self, before: Server, facts: ServerFacts, source: str) -> None:
        """Put a server that started again in the place of its earlier start, which is dead."""
        # Requests there are moved or sent anew at once, and it counts no longer towards their bound.
        before.suspect, before.suspect_since = True, float("-inf")
        if not before.leaving:
            self.on_ended(before.facts.key)
        self._add(facts)
        self.changed += 1
        event(
            "INFO",
            "server started again",
            peer=facts.id,
            before=before.facts.incarnation,
            start=facts.incarnation,
            source=source,
        )
        for forget in self.on_restart:
            forget(facts.id)

    def _exclude(self, backend: BackendId, reason: str) -> None:
        """Use a server for nothing new until its own entry is back."""
        server = self.servers.get(backend)
        if server is not None and server.excluded is None:
            server.excluded, server.excluded_at = reason, now()
            self.changed += 1
            event("WARNING", "server excluded", peer=backend, reason=reason)

    def _unlist(self, backend: BackendId, outage: bool) -> None:
        server = self.servers.get(backend)
        if server is None:
            return
        if outage and not server.leaving:
            self.lapsed.add(backend)
            event("INFO", "server lapsed", peer=backend)
            return
        self._drop(backend)

    def _drop(self, backend: BackendId) -> None:
        server = self.servers.pop(backend, None)
        if server is not None:
            self.tombstones.remember(server, now())
            if not server.leaving:
                self.on_unlisted(server)
            server.leaving = True
            event("INFO", "server gone", peer=backend)

    def _rebuild(self) -> None:
        self.changed += 1
        self.by_service = {}
        for server in self.servers.values():
            self.by_service.setdefault(server.facts.service, []).append(server)
