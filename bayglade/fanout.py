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
from bayglade.entries.wire import Message, Poll, TableUpdate, Unable, Updates
from bayglade.exceptions import PeerError
from bayglade.feeds import INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, ORIGIN, Feed
from bayglade.ids import MemberId
from bayglade.rows import Changes, Position

FOLLOWER_FIRST_PAUSE = 0.8
FOLLOWER_PAUSE = 5.0
"""First and longest delay between calls to a failing store, for a daemon that polls others. Each call costs
money, and the readers, which call more often, report when the store has recovered."""
ASK_AGAIN_SECONDS = 1.0
"""A poll without an answer is repeated after this time: the stream that carried it may have broken."""
LEAST_ASK_SECONDS = 0.1
"""Minimum time between two polls of one reader: a daemon that rejects an update would otherwise be sent it
again at once."""
LEAST_TELL_PART = 0.3
"""Fraction of a table's wait by which a table must have become fresher to be relayed for that alone. A
daemon that polls two readers hears about each table twice in a wait, and would relay all of it."""
GATHER_SECONDS = 0.03
"""Seconds for which answers without changes are collected before others are told how fresh the tables are:
those for several tables arrive within milliseconds of each other."""
PACK_LEVEL = 1
"""Compression level of zlib; a document of 2,000 routes takes some milliseconds."""

Push = Callable[[MemberId, Message], None]
"""Sends a message to another daemon."""


class Asked:
    """A poll that this daemon has sent and that is unanswered; the time is monotonic."""

    __slots__ = ("at", "number")

    def __init__(self, number: int) -> None:
        self.number = number
        self.at = now()

    def __repr__(self) -> str:
        return f"<Asked {self.number}>"


class Waiting:
    """A poll of another daemon that is pending here until there are updates; the time is monotonic."""

    __slots__ = ("poll", "since")

    def __init__(self, poll: Poll) -> None:
        self.poll = poll
        self.since = now()

    def __repr__(self) -> str:
        return f"<Waiting {self.poll.number}>"


class Fanout:
    """Polls other daemons for updates of tables and relays updates to those that poll this one.

    :param feeds: the tables, by name.
    :param proof: the feed whose answers show that this daemon reaches the store; of all feeds it retries a
        failing store most often.
    :param push: sends a message to another daemon.
    :param address: where this daemon accepts streams of others.
    """

    def __init__(self, feeds: Mapping[str, Feed], proof: Feed, push: Push, address: str) -> None:
        self.feeds = feeds
        self.proof = proof
        self.push = push
        self.address = address
        self.asks: tuple[MemberId, ...] = ()
        """The daemons that this one polls; none when it follows the store."""

        self.numbers = 0
        self.asked: dict[MemberId, Asked] = {}
        self.waiting: dict[MemberId, Waiting] = {}
        self.told: dict[MemberId, dict[str, float]] = {}
        """By daemon that polled: for each table, the ``known_at`` of the last update sent to it."""

        self.unable: set[MemberId] = set()
        """Daemons polled by this one that get no answer from the store themselves."""

        self.telling = False
        """Whether a delayed relay is scheduled."""

        self.packed: dict[tuple[str, Position | None], TableUpdate] = {}
        """The encoded updates sent last, by table and the position they follow."""

        for feed in feeds.values():
            feed.on_answer = self._tell_soon
        self.proof.on_failing = self.refuse

    def __repr__(self) -> str:
        return f"<Fanout asks={self.asks} {len(self.waiting)} waiting>"

    def assign(self, asks: tuple[MemberId, ...]) -> None:
        """Set the daemons to poll.

        :param asks: the daemons; none when this one follows the store.
        """
        self.asks = asks
        for feed in self.feeds.values():
            feed.rely_on_relays(bool(asks))
            feed.initial_retry_delay = FOLLOWER_FIRST_PAUSE if asks else INITIAL_RETRY_DELAY
            feed.max_retry_delay = FOLLOWER_PAUSE if asks else MAX_RETRY_DELAY

    def watch(self) -> None:
        """Poll sources that were not polled yet or have not answered for long; called often."""
        at = now()
        for reader in self.asks:
            asked = self.asked.get(reader)
            if asked is None or at - asked.at >= ASK_AGAIN_SECONDS:
                self._ask(reader)

    def tell(self) -> None:
        """Answer pending polls for which there is news."""
        for member in list(self.waiting):
            if self._news(member):
                self._answer(member)

    def _tell_soon(self) -> None:
        """Relay changes at once, and after a short delay tables that are merely fresher."""
        for member in list(self.waiting):
            if self._changed(member):
                self._answer(member)
        if not self.telling:
            self.telling = True
            eventlet.spawn_after(GATHER_SECONDS, self._tell_gathered)

    def _tell_gathered(self) -> None:
        self.telling = False
        self.tell()

    def refuse(self) -> None:
        """Tell all daemons with a pending poll that the store does not answer."""
        for member, waiting in self.waiting.items():
            self.push(member, Unable(waiting.poll.number))

    def heard_poll(self, member: MemberId, poll: Poll) -> None:
        """Register a poll; it is answered once there is news.

        :param member: the daemon that polls.
        :param poll: the poll.
        """
        self.waiting[member] = Waiting(poll)
        for position in poll.have.values():
            self.proof.history.note(position.epoch)
        if self.proof.lost_at:
            self.push(member, Unable(poll.number))
        if self._news(member):
            self._answer(member)

    def heard_unable(self, member: MemberId, message: Unable) -> None:
        """Record that a daemon gets no answer from the store; it answers the poll once it has news."""
        if member in self.asked:
            self.unable.add(member)

    def heard_updates(self, member: MemberId, updates: Updates) -> None:
        """Apply an answer to a poll, poll again, and relay what is new.

        :param member: the daemon that answered.
        :param updates: the answer.
        """
        if updates.turned_away:
            self.unable.add(member)
        else:
            self.unable.discard(member)
        asked = self.asked.get(member)
        if asked is None or asked.number != updates.number:
            # This answers an earlier poll, so its age is unknown.
            return
        answered = asked.at + updates.waited
        for name, table in updates.tables.items():
            feed = self.feeds.get(name)
            if feed is not None:
                changes = Changes(unpack(table.rows), table.position.version, table.position.epoch)
                recovered = 0.0 if table.recovered_age is None else answered - table.recovered_age
                feed.receive(changes, table.after, answered - table.age, recovered)
        if member not in self.asks or now() - asked.at < LEAST_ASK_SECONDS:
            # The next periodic check polls it if it is still a source; this update may just have shown that
            # the daemon is gone.
            self.asked.pop(member, None)
        else:
            self._ask(member)
        self.tell()

    def without_store(self, me: MemberId) -> set[MemberId]:
        """Return the daemons that get no answer from the store, as far as known here.

        :param me: this daemon; included if its own call failed recently.
        """
        return self.unable | {me} if self.proof.failed_recently() else self.unable

    def forget(self, members: Container[MemberId]) -> None:
        """Drop the state of daemons that are gone.

        :param members: the daemons in the roster.
        """
        for known in (self.asked, self.waiting, self.told):
            for member in [member for member in known if member not in members]:
                del known[member]
        self.unable = {member for member in self.unable if member in members}

    def _ask(self, reader: MemberId) -> None:
        self.numbers += 1
        self.asked[reader] = Asked(self.numbers)
        have = {name: feed.position for name, feed in self.feeds.items() if feed.position is not None}
        self.push(reader, Poll(self.numbers, have, self.address))

    def _known(self) -> dict[str, Feed]:
        """Return the tables that can be relayed. One whose store calls fail doesn't hold up the others: the
        daemons that poll for it read it from the store themselves after a while."""
        feeds = self.feeds.items()
        return {name: feed for name, feed in feeds if feed.failing_since is None and feed.is_current()}

    def _changed(self, member: MemberId) -> bool:
        """Return whether a table is newer here than in the copy of the daemon that polls."""
        have = self.waiting[member].poll.have
        known = self._known().items()
        return any((feed.position or ORIGIN) > have.get(name, ORIGIN) for name, feed in known)

    def _news(self, member: MemberId) -> bool:
        """Return whether a table is newer here than in the copy of the daemon that polls, or much
        fresher."""
        told = self.told.get(member, {})
        return self._changed(member) or any(
            feed.known_at - told.get(name, 0.0) >= LEAST_TELL_PART * feed.wait
            for name, feed in self._known().items()
        )

    def _answer(self, member: MemberId) -> None:
        waiting, known = self.waiting.pop(member), self._known()
        self.told[member] = {name: feed.known_at for name, feed in known.items()}
        have = waiting.poll.have
        tables = {name: self._table(name, feed, have.get(name)) for name, feed in known.items()}
        waited, turned_away = now() - waiting.since, self.proof.lost_at > 0
        self.push(member, Updates(waiting.poll.number, waited, tables, turned_away))

    def _table(self, name: str, feed: Feed, have: Position | None) -> TableUpdate:
        """Return the update of one table; encoded once for all polls from the same position."""
        packed = self.packed.get((name, have))
        if packed is None or packed.position != feed.position:
            changes, whole = feed.changes_since(have)
            packed = TableUpdate(None if whole else have, changes.position, 0.0, pack(changes.rows))
            if len(self.packed) > len(self.feeds) * 8:
                self.packed.clear()
            self.packed[name, have] = packed
        recovered = now() - feed.recovered_at if feed.recovered_at else None
        return msgspec.structs.replace(packed, age=feed.age(), recovered_age=recovered)


def pack(rows: Mapping[str, msgspec.Raw | None]) -> bytes:
    """Encode rows for another daemon; an empty mapping gives no bytes."""
    if not rows:
        return b""
    plain = {key: None if value is None else bytes(value) for key, value in rows.items()}
    return zlib.compress(msgspec.msgpack.encode(plain), PACK_LEVEL)


def unpack(data: bytes) -> dict[str, msgspec.Raw | None]:
    """Decode rows.

    :param data: rows encoded by another daemon.
    :return: rows by key.
    :raises PeerError: when the data is malformed.
    """
    if not data:
        return {}
    try:
        plain = msgspec.msgpack.decode(zlib.decompress(data), type=dict[str, bytes | None])
    except (zlib.error, msgspec.DecodeError) as error:
        raise PeerError(f"malformed table update: {error}", step="update") from error
    return {key: None if value is None else msgspec.Raw(value) for key, value in plain.items()}
