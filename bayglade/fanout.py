"""Fan-out: how daemons relay the platform's tables to each other.

A few daemons follow the store. The others long-poll these, or poll daemons that do (see
:mod:`bayglade.readers`), and receive changes as they happen. Each polls two daemons, so losing one,
or its access to the store, delays nobody. A daemon that receives too little reads the store itself.

The age of an update never depends on another daemon's clock: the daemon that answers reports how
long the poll was pending and how old its own copy was when it answered, and the daemon that polled
counts from when it sent the poll. Over two hops the ages add up. Each table has an age of its own:
that one is fresh says nothing about another.
"""

import zlib
from collections.abc import Callable, Container, Mapping

import eventlet
import msgspec

from bayglade.clock import now
from bayglade.decoding import reading
from bayglade.entries.wire import Message, Poll, StoreUnreachable, TableUpdate, Updates
from bayglade.exceptions import InvalidSettings, PeerError
from bayglade.feeds import INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, ORIGIN, Feed
from bayglade.ids import MemberId
from bayglade.rows import Changes, Position

FOLLOWER_INITIAL_RETRY_DELAY = 0.8
FOLLOWER_MAX_RETRY_DELAY = 5.0
"""First and longest delay between calls to a failing store, for a daemon that polls others. Each call costs
money, and the readers, which call more often, report when the store has recovered."""
POLL_TIMEOUT = 1.0
"""A poll without an answer is repeated after this time: the stream that carried it may have broken."""
MIN_POLL_INTERVAL = 0.1
"""Minimum time between two polls of one reader: a daemon that rejects an update would otherwise be sent it
again at once."""
MIN_FRESHER_FRACTION = 0.3
"""Fraction of a table's wait by which a table must have become fresher to be relayed for that alone. A
daemon that polls two readers hears about each table twice in a wait, and would relay all of it."""
COALESCE_SECONDS = 0.03
"""Seconds for which answers without changes are collected before others are told how fresh the tables are:
those for several tables arrive within milliseconds of each other."""
MAX_TABLE_BYTES = 32 * 1024 * 1024
"""Size limit of a table that another daemon relays, after decompression."""
COMPRESSION_LEVEL = 1
"""Compression level of zlib; a document of 2,000 routes takes some milliseconds."""

Send = Callable[[MemberId, Message], None]
"""Sends a message to another daemon."""


class SentPoll:
    """A poll that this daemon has sent and that is unanswered; the time is monotonic."""

    __slots__ = ("at", "number")

    def __init__(self, number: int) -> None:
        self.number = number
        self.at = now()

    def __repr__(self) -> str:
        return f"<SentPoll {self.number}>"


class PendingPoll:
    """A poll of another daemon that is pending here until there are updates; the time is monotonic."""

    __slots__ = ("poll", "since")

    def __init__(self, poll: Poll) -> None:
        self.poll = poll
        self.since = now()

    def __repr__(self) -> str:
        return f"<PendingPoll {self.poll.number}>"


class Fanout:
    """Polls other daemons for updates of tables and relays updates to those that poll this one.

    :param feeds: the tables, by name.
    :param probe_feed: the feed whose answers show that this daemon reaches the store; of all feeds it
        retries a failing store most often.
    :param send: sends a message to another daemon.
    :param address: where this daemon accepts streams of others.
    """

    def __init__(self, feeds: Mapping[str, Feed], probe_feed: Feed, send: Send, address: str) -> None:
        self.feeds = feeds
        self.probe_feed = probe_feed
        self.send = send
        self.address = address
        self.sources: tuple[MemberId, ...] = ()
        """The daemons that this one polls; none when it follows the store."""

        self.last_poll_number = 0
        self.sent_polls: dict[MemberId, SentPoll] = {}
        self.pending_polls: dict[MemberId, PendingPoll] = {}
        self.polled_at: dict[MemberId, float] = {}
        """When each daemon last polled this one, in monotonic seconds."""

        self.relayed_known_at: dict[MemberId, dict[str, float]] = {}
        """By daemon that polled: for each table, the ``known_at`` of the last update sent to it."""

        self.peers_without_store: set[MemberId] = set()
        """Daemons polled by this one that get no answer from the store themselves."""

        self.relay_scheduled = False
        self.encoded_updates: dict[tuple[str, Position | None], TableUpdate] = {}
        """The encoded updates sent last, by table and the position they follow."""

        for feed in feeds.values():
            feed.on_answer = self._relay_changes
        self.probe_feed.on_failing = self.report_store_lost

    def __repr__(self) -> str:
        return f"<Fanout sources={self.sources} {len(self.pending_polls)} pending>"

    def set_sources(self, sources: tuple[MemberId, ...]) -> None:
        """Set the daemons to poll.

        :param sources: the daemons; none when this one follows the store.
        """
        self.sources = sources
        for feed in self.feeds.values():
            feed.rely_on_relays(bool(sources))
            feed.initial_retry_delay = FOLLOWER_INITIAL_RETRY_DELAY if sources else INITIAL_RETRY_DELAY
            feed.max_retry_delay = FOLLOWER_MAX_RETRY_DELAY if sources else MAX_RETRY_DELAY

    def poll_sources(self) -> None:
        """Poll sources that were not polled yet or have not answered for long; called often."""
        at = now()
        for source in self.sources:
            sent = self.sent_polls.get(source)
            if sent is None or at - sent.at >= POLL_TIMEOUT:
                self._send_poll(source)

    def relay(self) -> None:
        """Answer pending polls for which there is news."""
        for member in list(self.pending_polls):
            if self._has_news(member):
                self._answer(member)

    def _relay_changes(self) -> None:
        """Relay changes at once, and after a short delay tables that are merely fresher."""
        for member in list(self.pending_polls):
            if self._has_changes(member):
                self._answer(member)
        if not self.relay_scheduled:
            self.relay_scheduled = True
            eventlet.spawn_after(COALESCE_SECONDS, self._relay_coalesced)

    def _relay_coalesced(self) -> None:
        self.relay_scheduled = False
        self.relay()

    def report_store_lost(self) -> None:
        """Tell all daemons with a pending poll that the store does not answer."""
        for member, pending in self.pending_polls.items():
            self.send(member, StoreUnreachable(pending.poll.number))

    def receive_poll(self, member: MemberId, poll: Poll) -> None:
        """Register a poll; it is answered once there is news.

        :param member: the daemon that polls.
        :param poll: the poll.
        """
        self.pending_polls[member] = PendingPoll(poll)
        self.polled_at[member] = now()
        for position in poll.have.values():
            self.probe_feed.history.observe(position.epoch)
        if self.probe_feed.lost_at:
            self.send(member, StoreUnreachable(poll.number))
        if self._has_news(member):
            self._answer(member)

    def polling_members(self) -> set[MemberId]:
        """Return the daemons that poll this one; each needs a stream for its answers."""
        oldest = now() - 2 * POLL_TIMEOUT
        return {member for member, at in self.polled_at.items() if at >= oldest} | self.pending_polls.keys()

    def receive_store_unreachable(self, member: MemberId, message: StoreUnreachable) -> None:
        """Record that a daemon gets no answer from the store; it answers the poll once it has news."""
        if member in self.sent_polls:
            self.peers_without_store.add(member)

    def receive_updates(self, member: MemberId, updates: Updates) -> None:
        """Apply an answer to a poll, poll again, and relay what is new.

        :param member: the daemon that answered.
        :param updates: the answer.
        """
        if updates.store_unreachable:
            self.peers_without_store.add(member)
        else:
            self.peers_without_store.discard(member)
        sent = self.sent_polls.get(member)
        if sent is None or sent.number != updates.number:
            # This answers an earlier poll, so its age is unknown.
            return
        answered = sent.at + updates.waited
        for name, table in updates.tables.items():
            feed = self.feeds.get(name)
            if feed is not None:
                changes = Changes(decode_rows(table.rows), table.position.version, table.position.epoch)
                recovered = 0.0 if table.recovered_age is None else answered - table.recovered_age
                feed.receive(changes, table.after, answered - table.age, recovered)
        early = sent.at + MIN_POLL_INTERVAL - now()
        if member not in self.sources:
            # This update may just have shown that the daemon is gone.
            self.sent_polls.pop(member, None)
        elif early > 0:
            # The first poll after a start is answered at once. Without a pending poll, the changes that
            # follow would arrive only after the next periodic check.
            eventlet.spawn_after(early, self._poll_again, member, sent)
        else:
            self._send_poll(member)
        self.relay()

    def without_store(self, me: MemberId) -> set[MemberId]:
        """Return the daemons that get no answer from the store, as far as known here.

        :param me: this daemon; included if its own call failed recently.
        """
        return (
            self.peers_without_store | {me}
            if self.probe_feed.failed_recently()
            else self.peers_without_store
        )

    def forget(self, members: Container[MemberId]) -> None:
        """Drop the state of daemons that are gone.

        :param members: the daemons in the roster.
        """
        for known in (self.sent_polls, self.pending_polls, self.polled_at, self.relayed_known_at):
            for member in [member for member in known if member not in members]:
                del known[member]
        self.peers_without_store = {member for member in self.peers_without_store if member in members}

    def _poll_again(self, source: MemberId, answered: SentPoll) -> None:
        """Poll a source again, unless it is none any more or was polled meanwhile."""
        if source in self.sources and self.sent_polls.get(source) is answered:
            self._send_poll(source)

    def _send_poll(self, source: MemberId) -> None:
        self.last_poll_number += 1
        self.sent_polls[source] = SentPoll(self.last_poll_number)
        have = {name: feed.position for name, feed in self.feeds.items() if feed.position is not None}
        self.send(source, Poll(self.last_poll_number, have, self.address))

    def _relayable(self) -> dict[str, Feed]:
        """Return the tables that can be relayed.

        One whose store calls fail doesn't hold up the others: the daemons that poll for it read it from the
        store themselves after a while.
        """
        feeds = self.feeds.items()
        return {name: feed for name, feed in feeds if feed.failing_since is None and feed.is_current()}

    def _has_changes(self, member: MemberId) -> bool:
        """Return whether a table is newer here than in the copy of the daemon that polls."""
        have = self.pending_polls[member].poll.have
        relayable = self._relayable().items()
        return any((feed.position or ORIGIN) > have.get(name, ORIGIN) for name, feed in relayable)

    def _has_news(self, member: MemberId) -> bool:
        """Return whether a table is newer or notably fresher here than for the daemon that polls."""
        relayed = self.relayed_known_at.get(member, {})
        return self._has_changes(member) or any(
            feed.known_at - relayed.get(name, 0.0) >= MIN_FRESHER_FRACTION * feed.wait
            for name, feed in self._relayable().items()
        )

    def _answer(self, member: MemberId) -> None:
        pending, relayable = self.pending_polls.pop(member), self._relayable()
        self.relayed_known_at[member] = {name: feed.known_at for name, feed in relayable.items()}
        have = pending.poll.have
        tables = {name: self._table_update(name, feed, have.get(name)) for name, feed in relayable.items()}
        waited, store_unreachable = now() - pending.since, self.probe_feed.lost_at > 0
        self.send(member, Updates(pending.poll.number, waited, tables, store_unreachable))

    def _table_update(self, name: str, feed: Feed, have: Position | None) -> TableUpdate:
        """Return the update of one table; encoded once for all polls from the same position."""
        update = self.encoded_updates.get((name, have))
        if update is None or update.position != feed.position:
            changes, whole = feed.changes_since(have)
            update = TableUpdate(None if whole else have, changes.position, 0.0, encode_rows(changes.rows))
            if len(self.encoded_updates) > len(self.feeds) * 8:
                self.encoded_updates.clear()
            self.encoded_updates[name, have] = update
        recovered = now() - feed.recovered_at if feed.recovered_at else None
        return msgspec.structs.replace(update, age=feed.copy_age(), recovered_age=recovered)


def encode_rows(rows: Mapping[str, msgspec.Raw | None]) -> bytes:
    """Encode rows for another daemon; an empty mapping gives no bytes."""
    if not rows:
        return b""
    plain = {key: None if value is None else bytes(value) for key, value in rows.items()}
    return zlib.compress(msgspec.msgpack.encode(plain), COMPRESSION_LEVEL)


def decode_rows(data: bytes) -> dict[str, msgspec.Raw | None]:
    """Decode rows.

    :param data: rows encoded by another daemon.
    :return: rows by key.
    :raises PeerError: when the data is malformed.
    """
    if not data:
        return {}
    try:
        with reading("a table update", "update"):
            decompressor = zlib.decompressobj()
            content = decompressor.decompress(data, MAX_TABLE_BYTES)
            if not decompressor.eof:
                raise ValueError("it is truncated or exceeds the size limit")
            plain = msgspec.msgpack.decode(content, type=dict[str, bytes | None])
    except InvalidSettings as error:
        raise PeerError(error.message, step="update") from error
    return {key: None if value is None else msgspec.Raw(value) for key, value in plain.items()}
