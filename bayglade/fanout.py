"""Fan-out: what daemons tell each other of the platform's tables.

A few daemons follow the store; the others ask these, or ask daemons that ask
these (see :mod:`bayglade.readers`), and get what changed, when it changed. Each
asks two, so that one that is lost or cut off from the store delays nobody. A
daemon that hears too little reads the store itself.

How old an update is, is never taken from another daemon's clock: whoever answers
tells how long the question lay there and how old its knowledge was when it
answered, and the asker counts from when it asked. Over two steps the ages add up.
Each table has an age of its own: that one is fresh says nothing of another.
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
"""First and longest time between the calls of a daemon that asks others to a store that fails: each
is paid for, and its readers, who call more often, tell when the store is back."""
ASK_AGAIN_SECONDS = 1.0
"""A question is repeated after this time: the stream it went on may have broken."""
LEAST_ASK_SECONDS = 0.1
"""Least time between two questions to one reader: a daemon that cannot take in what it is told
would be told again at once."""
LEAST_TELL_PART = 0.3
"""Part of the wait of a table's calls by which it must be surely newer to be told for that alone. A
daemon that asks two readers hears of each table twice in a wait, and would pass on all of it."""
GATHER_SECONDS = 0.03
"""Time in which answers that bring nothing new gather before others are told how fresh the tables are:
those for several tables come within milliseconds."""
PACK_LEVEL = 1
"""Level of compression: a document of 2,000 routes takes some milliseconds."""

Push = Callable[[MemberId, Message], None]
"""Sends a message to another daemon."""


class Asked:
    """A question of this daemon that is under way; the time is monotonic."""

    __slots__ = ("at", "number")

    def __init__(self, number: int) -> None:
        self.number = number
        self.at = now()

    def __repr__(self) -> str:
        return f"<Asked {self.number}>"


class Waiting:
    """A question of another daemon that waits here for updates; the time is monotonic."""

    __slots__ = ("poll", "since")

    def __init__(self, poll: Poll) -> None:
        self.poll = poll
        self.since = now()

    def __repr__(self) -> str:
        return f"<Waiting {self.poll.number}>"


class Fanout:
    """Updates of tables, as one daemon polls for them and passes them on.

    :param feeds: the tables, by name.
    :param proof: the feed whose answers show that a reader reaches the store; of all feeds it
        looks most often whether a lost store is back.
    :param push: sends a message to another daemon.
    :param address: where this daemon takes streams of others.
    """

    def __init__(self, feeds: Mapping[str, Feed], proof: Feed, push: Push, address: str) -> None:
        self.feeds = feeds
        self.proof = proof
        self.push = push
        self.address = address
        self.asks: tuple[MemberId, ...] = ()
        """The readers that this daemon asks; none when it follows the store."""

        self.numbers = 0
        self.asked: dict[MemberId, Asked] = {}
        self.waiting: dict[MemberId, Waiting] = {}
        self.told: dict[MemberId, dict[str, float]] = {}
        """What each asker was told last: a time up to which each table was known, monotonic."""

        self.unable: set[MemberId] = set()
        """Daemons that were asked and get no answer of the store themselves."""

        self.telling = False
        """Whether others are about to be told."""

        self.packed: dict[tuple[str, Position | None], TableUpdate] = {}
        """What was packed last, by table and the position asked from."""

        for feed in feeds.values():
            feed.on_answer = self._tell_soon
        self.proof.on_failing = self.refuse

    def __repr__(self) -> str:
        return f"<Fanout asks={self.asks} {len(self.waiting)} waiting>"

    def assign(self, asks: tuple[MemberId, ...]) -> None:
        """Take in whom to ask.

        :param asks: the daemons; none when this one follows the store.
        """
        self.asks = asks
        for feed in self.feeds.values():
            feed.rely_on_relays(bool(asks))
            feed.initial_retry_delay = FOLLOWER_FIRST_PAUSE if asks else INITIAL_RETRY_DELAY
            feed.max_retry_delay = FOLLOWER_PAUSE if asks else MAX_RETRY_DELAY

    def watch(self) -> None:
        """Ask readers that were not asked, or did not answer for long; called often."""
        at = now()
        for reader in self.asks:
            asked = self.asked.get(reader)
            if asked is None or at - asked.at >= ASK_AGAIN_SECONDS:
                self._ask(reader)

    def tell(self) -> None:
        """Answer the questions that wait here, as far as there is something to tell."""
        for member in list(self.waiting):
            if self._news(member):
                self._answer(member)

    def _tell_soon(self) -> None:
        """Tell at once what changed, and a moment later what is only fresher."""
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
        """Tell all who wait here that the store does not answer."""
        for member, waiting in self.waiting.items():
            self.push(member, Unable(waiting.poll.number))

    def heard_poll(self, member: MemberId, poll: Poll) -> None:
        """Take in a question; it waits until there is something to tell.

        :param member: who asks.
        :param poll: the question.
        """
        self.waiting[member] = Waiting(poll)
        for position in poll.have.values():
            self.proof.history.note(position.epoch)
        if self.proof.lost_at:
            self.push(member, Unable(poll.number))
        if self._news(member):
            self._answer(member)

    def heard_unable(self, member: MemberId, message: Unable) -> None:
        """Take in that a daemon gets no answer of the store; it answers once it does."""
        if member in self.asked:
            self.unable.add(member)

    def heard_updates(self, member: MemberId, updates: Updates) -> None:
        """Take in an answer, ask again, and pass on what is new.

        :param member: the reader.
        :param updates: what it tells.
        """
        if updates.turned_away:
            self.unable.add(member)
        else:
            self.unable.discard(member)
        asked = self.asked.get(member)
        if asked is None or asked.number != updates.number:
            # The answer to an earlier question: how old it is, is not known.
            return
        answered = asked.at + updates.waited
        for name, table in updates.tables.items():
            feed = self.feeds.get(name)
            if feed is not None:
                changes = Changes(unpack(table.rows), table.position.version, table.position.epoch)
                recovered = 0.0 if table.recovered_age is None else answered - table.recovered_age
                feed.receive(changes, table.after, answered - table.age, recovered)
        if member not in self.asks or now() - asked.at < LEAST_ASK_SECONDS:
            # The next watch asks, if it is still one of those to be asked. The update may just have
            # told that this daemon is gone.
            self.asked.pop(member, None)
        else:
            self._ask(member)
        self.tell()

    def without_store(self, me: MemberId) -> set[MemberId]:
        """Return the daemons that get no answer of the store, as far as known here.

        :param me: this daemon; one of them when its own call failed lately.
        """
        return self.unable | {me} if self.proof.failed_recently() else self.unable

    def forget(self, members: Container[MemberId]) -> None:
        """Drop what is known of daemons that are gone.

        :param members: those that there are.
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
        """Return the tables of which there is something to tell. One that the store does not answer for
        holds up no other: its askers read the store themselves, for that table, after a while."""
        feeds = self.feeds.items()
        return {name: feed for name, feed in feeds if feed.failing_since is None and feed.is_current()}

    def _changed(self, member: MemberId) -> bool:
        """Tell whether a table is newer here than whoever waits has it."""
        have = self.waiting[member].poll.have
        known = self._known().items()
        return any((feed.position or ORIGIN) > have.get(name, ORIGIN) for name, feed in known)

    def _news(self, member: MemberId) -> bool:
        """Tell whether a table is newer here than whoever waits has it, or was surely the newest later."""
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
        """Return the update of one table; packed once for all that ask from one position."""
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
    """Pack rows for another daemon; nothing packs to nothing."""
    if not rows:
        return b""
    plain = {key: None if value is None else bytes(value) for key, value in rows.items()}
    return zlib.compress(msgspec.msgpack.encode(plain), PACK_LEVEL)


def unpack(data: bytes) -> dict[str, msgspec.Raw | None]:
    """Unpack rows.

    :param data: what another daemon packed.
    :return: rows by key.
    :raises PeerError: when it makes no sense.
    """
    if not data:
        return {}
    try:
        plain = msgspec.msgpack.decode(zlib.decompress(data), type=dict[str, bytes | None])
    except (zlib.error, msgspec.DecodeError) as error:
        raise PeerError(f"an update makes no sense: {error}", step="update") from error
    return {key: None if value is None else msgspec.Raw(value) for key, value in plain.items()}
