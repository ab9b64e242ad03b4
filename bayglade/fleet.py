"""The fleet: all backend servers that the platform lists, with the state that this daemon keeps of them."""

import math
from collections.abc import Callable, Iterable, Mapping, Set

import msgspec

from bayglade.clock import now
from bayglade.ids import UNKNOWN_INCARNATION, BackendId, Incarnation, ServerKey, ServiceName
from bayglade.logs import event
from bayglade.rate_limits import RateLimits
from bayglade.servers import Server, ServerFacts
from bayglade.tombstones import Tombstones

SUSPECT_SECONDS = 1.0
"""Seconds for which a plain server that failed gets no requests; doubled at each consecutive failure."""
MAX_SUSPECT_SECONDS = 8.0
MAX_SUSPECT_FRACTION = 0.5
"""Largest fraction of a service's servers that may be suspect at once, so that a common cause does not
exclude all of them."""
MIN_PACE_CHANGE = 0.2
"""Smaller changes of a server's pace are ignored as noise."""
LAPSE_GRACE_SECONDS = 1.9
"""Seconds after an outage of the store in which a missing entry may come back. The users require that no
more requests go to a removed server two seconds after the store's return."""

DEFAULT_EXPIRY_SECONDS = 4.6
"""Three heartbeats of a server, and one second until the removal of its entry is known."""

MAX_KNOWN_INCARNATIONS = 10_000
"""Number of servers, including removed ones, whose newest incarnation is remembered: several times the
size of the largest fleet."""


class Fleet:
    """All backend servers, by id and by service.

    :param expiry: seconds after which the platform removes an entry that its server no longer renews.
    """

    def __init__(self, expiry: float = DEFAULT_EXPIRY_SECONDS) -> None:
        self.expiry = expiry
        self.servers: dict[BackendId, Server] = {}
        self.by_service: dict[ServiceName, list[Server]] = {}
        self.lapsed: set[BackendId] = set()
        self.newest_incarnations: dict[BackendId, Incarnation] = {}
        """The newest known incarnation of each server, including removed ones."""

        self.tombstones = Tombstones()
        self.rate_limits = RateLimits(self.servers)

        self.on_restart: list[Callable[[BackendId], None]] = []
        """Called with the id of each server that has restarted, to discard what was known about it."""

        self.on_ended: Callable[[ServerKey], None] = lambda start: None
        """Called with each incarnation of a server that has ended, because a later one exists."""

        self.on_unlisted: Callable[[Server], None] = lambda server: None
        """Called with each server that was removed from the list without announcing that it leaves. It may
        still be running."""

        self.on_leaving_announced: Callable[[Server], None] = lambda server: None
        """Called with each server that announced in an answer that it leaves."""

        self.is_isolated: Callable[[ServiceName], bool] = lambda service: False
        """Tells whether this daemon reaches no server of a service, so that failures are its own."""

        self.last_added_at = 0.0
        """When a server or a new incarnation of one was last added."""

        self.change_count = 0
        """Incremented at each change that may make another path better."""

    def __repr__(self) -> str:
        return f"<Fleet {len(self.servers)} servers>"

    def of_service(self, service: ServiceName) -> list[Server]:
        """List the servers of a service."""
        return self.by_service.get(service, [])

    def usable(self, service: ServiceName) -> list[Server]:
        """List the servers of a service that may get new requests now."""
        at = now()
        return [server for server in self.of_service(service) if server.usable(at)]

    def healthy(self, service: ServiceName) -> list[Server]:
        """List the servers of a service without a known fault, including those at rest or rate-limited."""
        at = now()
        return [server for server in self.of_service(service) if server.healthy(at)]

    def seconds_until_available(self, service: ServiceName) -> float | None:
        """Return the time until a server that is at rest or rate-limited takes a request again.

        :return: seconds until the first of them does; ``None`` if there is none.
        """
        at = now()
        ends = [server.available_at(at) - at for server in self.healthy(service)]
        return min((seconds for seconds in ends if 0.0 < seconds < math.inf), default=None)

    def apply_changes(
        self,
        listed: Iterable[ServerFacts],
        gone: Iterable[BackendId],
        outage: bool,
        invalid: Mapping[BackendId, str] | None = None,
    ) -> None:
        """Apply changes of the list.

        :param listed: entries that are new or changed.
        :param gone: entries that were removed.
        :param outage: whether the store has just been unavailable, so that entries may have expired
            although their servers are running.
        :param invalid: entries that cannot have been written by their server, with the reason. Their
            servers get no new requests, but finish those that they run.
        """
        for backend, reason in (invalid or {}).items():
            self._exclude(backend, reason)
        for facts in listed:
            self._apply_entry(facts)
        for backend in gone:
            self._entry_removed(backend, outage)
        self._rebuild()

    def apply_snapshot(
        self,
        listed: Iterable[ServerFacts],
        outage: bool,
        invalid: Mapping[BackendId, str] | None = None,
        restored: bool = False,
    ) -> None:
        """Replace the whole list.

        :param listed: all entries.
        :param outage: whether the store has just been unavailable.
        :param invalid: entries that cannot have been written by their server, with the reason.
        :param restored: whether the list comes from a store that was restored from an older copy.
        """
        entries = list(listed)
        for facts in entries if restored else ():
            self._add_unconfirmed(facts)
        missing = self.servers.keys() - {facts.id for facts in entries} - (invalid or {}).keys()
        self.apply_changes(entries, missing, outage, invalid)

    def accept_report(self, server: Server, incarnation: Incarnation, first: int, last: int) -> bool:
        """Check which incarnation of a server a report comes from.

        A report of a later incarnation replaces the server that was asked. A report of an earlier one,
        or one that arrives after the server was replaced, is to be ignored.

        :param server: the server that was asked.
        :param incarnation: the incarnation that answered.
        :param first: the first layer that it holds.
        :param last: the layer after the last one that it holds.
        :return: whether the report is about the server that was asked.
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
        self._replace_incarnation(server, again, "its report")
        self._rebuild()
        return False

    def find_current(self, key: ServerKey) -> Server | None:
        """Return a server if a key names its current incarnation.

        :param key: the server and the incarnation that another daemon reports on.
        """
        server = self.servers.get(key.backend)
        return server if server is not None and server.facts.key == key else None

    def find_superseded(self, key: ServerKey) -> Server | None:
        """Return a server if a key names a later incarnation than the one known here.

        :param key: the server and the incarnation that another daemon reports on.
        """
        server = self.servers.get(key.backend)
        return server if server is not None and server.facts.incarnation < key.incarnation else None

    def drop_lapsed(self) -> None:
        """Remove servers whose entries expired in an outage of the store and did not come back in time."""
        lapsed, self.lapsed = self.lapsed, set()
        for backend in lapsed:
            self._remove(backend)
        if lapsed:
            self._rebuild()

    def mark_suspect(self, server: Server, reason: str) -> bool:
        """Send a server no requests for a while, unless too many of its service are suspect already.

        :param server: the server that failed.
        :param reason: the failure, for the log.
        :return: whether the server is now suspect.
        """
        if self.is_isolated(server.facts.service):
            return False
        at = now()
        server.failures += 1
        peers = self.of_service(server.facts.service)
        others = sum(1 for peer in peers if not peer.healthy(at) and peer is not server)
        if others + 1 > max(1.0, len(peers) * MAX_SUSPECT_FRACTION):
            return False
        if server.facts.layer_count:
            if not server.suspect:
                server.suspect_since = at
            server.suspect = True
        else:
            seconds = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * 2.0 ** (server.failures - 1))
            server.suspect_until = at + seconds
        self.change_count += 1
        event("WARNING", "server suspect", peer=server.facts.id, reason=reason, failures=server.failures)
        return True

    def clear_suspicion(self, server: Server, reason: str) -> None:
        """Mark a server as no longer suspect."""
        server.suspect = False
        server.connection_refused = False
        server.suspect_until = 0.0
        self.change_count += 1
        event("INFO", "server trusted", peer=server.facts.id, reason=reason)

    def clear_recent_suspicions(self, service: ServiceName, since: float, failed: Set[BackendId]) -> None:
        """Trust servers again that became suspect because this daemon reached none of them.

        :param service: the service from which it is isolated.
        :param since: when the first connect failed, in monotonic seconds.
        :param failed: the servers that did not answer since.
        """
        at = now()
        for server in self.of_service(service):
            recent = server.suspect_since >= since if server.suspect else server.facts.id in failed
            if recent and not server.healthy(at):
                server.failures = 0
                self.clear_suspicion(server, "this daemon is isolated")
            if server.facts.id in failed:
                server.connection_refused = False

    def update_pace(self, server: Server, pace: float) -> None:
        """Store the pace that a server reports, if it has changed noticeably."""
        if abs(pace - server.pace) > MIN_PACE_CHANGE:
            event("INFO", "server pace", peer=server.facts.id, before=server.pace, pace=pace)
            server.pace = pace
            self.change_count += 1

    def mark_leaving(self, server: Server, reason: str) -> None:
        """Send a server no more requests, because it is leaving."""
        if server.leaving:
            return
        server.leaving = True
        self.change_count += 1
        event("INFO", "server leaving", peer=server.facts.id, reason=reason)

    def mark_replaced(self, server: Server) -> None:
        """Send a server no more requests, because another one has its address."""
        self.mark_leaving(server, "another server has its address")
        server.left = True

    def announce_leaving(self, server: Server, source: str) -> None:
        """Mark a server that announced in an answer that it leaves, and have other daemons told.

        :param server: the incarnation of the server that answered.
        :param source: the kind of answer, for the log.
        """
        if not server.leaving:
            self.mark_leaving(server, source)
            self.on_leaving_announced(server)

    def set_rest(self, server: Server, seconds: float) -> None:
        """Send a server no requests for as long as it asked for.

        Otherwise a server that refuses requests would be chosen again at once, since it has the fewest
        in flight.

        :param server: the incarnation of the server that asked.
        :param seconds: how long, from now on. A shorter rest asked for later does not shorten this one:
            the server may name a different time in each refusal, and each of them holds.
        """
        until = now() + seconds
        if until > server.rest_until:
            server.rest_until = until
            event("INFO", "server rests", peer=server.facts.id, seconds=seconds)

    def record_success(self, server: Server) -> None:
        """Record that a server sent a complete answer."""
        server.failures = 0
        server.connection_refused = False

    def _apply_entry(self, facts: ServerFacts) -> None:
        newest = self.newest_incarnations.get(facts.id, UNKNOWN_INCARNATION)
        if facts.incarnation == UNKNOWN_INCARNATION < newest:
            self._exclude(facts.id, "the entry no longer says when the server started")
            return
        if facts.incarnation < newest:
            event("INFO", "older entry ignored", peer=facts.id, start=facts.incarnation, newest=newest)
            return
        self.lapsed.discard(facts.id)
        server = self.servers.get(facts.id)
        if (
            server is not None
            and server.facts.key == facts.key
            and facts.write_count < server.facts.write_count
        ):
            # The store was restored from an older copy: what the server has written since then is valid.
            event("INFO", "older entry ignored", peer=facts.id, writes=facts.write_count)
            return
        if server is None:
            self._add(facts)
            event("INFO", "server listed", peer=facts.id, hall=facts.hall, service=facts.service)
            return
        if facts.incarnation > server.facts.incarnation:
            self._replace_incarnation(server, facts, "its entry")
            return
        if server.excluded is not None:
            event("INFO", "server's own entry is back", peer=facts.id)
            server.excluded = None
        if facts.leaving and not server.leaving:
            event("INFO", "server leaving", peer=facts.id, reason="listed")
        # Only a new incarnation makes a server that announced its leaving usable again.
        server.leaving = server.leaving or facts.leaving
        if server.suspect and (facts.first, facts.last) != (server.facts.first, server.facts.last):
            # The server itself writes the row, so it is running and holds the layers named there.
            self.clear_suspicion(server, "its row has changed")
        if facts.write_count > server.facts.write_count:
            server.unconfirmed_until = 0.0
        server.facts = facts

    def _add_unconfirmed(self, facts: ServerFacts) -> None:
        """Add a removed server whose entry is back, but don't use it until the entry is confirmed.

        The entry is confirmed when the server writes it again, or when the platform keeps it for the
        expiry time.
        """
        if facts.id in self.servers or facts.key not in self.tombstones.by_incarnation:
            return
        self._add(facts)
        self.servers[facts.id].unconfirmed_until = now() + self.expiry
        event("WARNING", "entry of a server that was gone is back", peer=facts.id, seconds=self.expiry)

    def _add(self, facts: ServerFacts) -> None:
        server = Server(facts)
        self.tombstones.restore(server)
        self.servers[facts.id] = server
        self.last_added_at = now()
        if facts.incarnation == UNKNOWN_INCARNATION:
            return
        self.newest_incarnations.pop(facts.id, None)
        self.newest_incarnations[facts.id] = facts.incarnation
        if len(self.newest_incarnations) > MAX_KNOWN_INCARNATIONS:
            gone = (backend for backend in self.newest_incarnations if backend not in self.servers)
            self.newest_incarnations.pop(next(gone, facts.id))

    def _replace_incarnation(self, before: Server, facts: ServerFacts, source: str) -> None:
        """Replace a server that has restarted by its new incarnation."""
        # A server that has long been suspect counts as ended: its requests are moved or sent again at once,
        # and it no longer counts towards the number of servers that a call may be sent to.
        before.suspect, before.suspect_since = True, float("-inf")
        if not before.leaving:
            self.on_ended(before.facts.key)
        self._add(facts)
        self.change_count += 1
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
        """Send a server no new requests until its entry is valid again."""
        server = self.servers.get(backend)
        if server is not None and server.excluded is None:
            server.excluded, server.excluded_at = reason, now()
            self.change_count += 1
            event("WARNING", "server excluded", peer=backend, reason=reason)

    def _entry_removed(self, backend: BackendId, outage: bool) -> None:
        server = self.servers.get(backend)
        if server is None:
            return
        if outage and not server.leaving:
            self.lapsed.add(backend)
            event("INFO", "server lapsed", peer=backend)
            return
        self._remove(backend)

    def _remove(self, backend: BackendId) -> None:
        server = self.servers.pop(backend, None)
        if server is not None:
            self.tombstones.remember(server, now())
            if not server.leaving:
                self.on_unlisted(server)
            # Some servers leave by removing only their entry, and continue to serve for a while.
            server.left = server.leaving
            server.leaving = True
            event("INFO", "server gone", peer=backend)

    def _rebuild(self) -> None:
        self.change_count += 1
        self.by_service = {}
        for server in self.servers.values():
            self.by_service.setdefault(server.facts.service, []).append(server)
