"""Fan-out: what daemons of one data hall tell each other of the platform's tables.

Every call of the platform's store is paid for and draws on a rate that all
daemons share. In a hall of many daemons a few of them, its readers, follow the
store; the others ask the readers and get what changed, when it changed. Each
follower asks all readers of its hall, so that one that is lost or cut off from
the store delays nobody. A follower that hears too little reads the store itself.

How old an update is, is never taken from another daemon's clock: a reader tells
how long the question lay there and how old its knowledge was when it answered,
and the follower counts from when it asked.
"""

import zlib
from collections.abc import Callable, Mapping

import msgspec

from bayglade.clock import now
from bayglade.entries.wire import Message, Poll, TableUpdate, Updates
from bayglade.exceptions import PeerError
from bayglade.feeds import FIRST_PAUSE, MAX_PAUSE, Feed
from bayglade.ids import HallName, MemberId
from bayglade.logs import event
from bayglade.rows import Changes

FEW_DAEMONS = 6
"""In a hall of no more daemons than this all of them read the store."""
READERS = 2
"""Readers of a hall: the second serves while the first is lost."""
READER_WAIT_PART = 0.4
"""Part of the bound on word of leaving servers that a reader's call waits: its followers hear
from it that often at least."""
FOLLOWER_REST_PART = 0.7
"""Part of that bound after which a follower that heard nothing reads the store."""
FOLLOWER_FIRST_PAUSE = 0.4
FOLLOWER_PAUSE = 3.0
"""First and longest time between a follower's calls to a store that fails: each is paid for, and its
readers, who ask more often, tell when the store is back."""
ASK_AGAIN_SECONDS = 1.0
"""A question is repeated after this time: the stream it went on may have broken."""
LEAST_ASK_SECONDS = 0.1
"""Least time between two questions to one reader: a follower that cannot take in what it is told
would be told again at once."""
PACK_LEVEL = 1
"""Level of compression: a document of 2,000 routes takes some milliseconds."""

Push = Callable[[MemberId, Message], None]
"""Sends a message to another daemon."""


def readers_of(daemons: Mapping[MemberId, HallName]) -> dict[HallName, list[MemberId]]:
    """Choose the readers of each hall; all daemons come to the same result.

    :param daemons: all daemons with their halls.
    :return: the readers; halls of few daemons have none.
    """
    halls: dict[HallName, list[MemberId]] = {}
    for member, hall in daemons.items():
        halls.setdefault(hall, []).append(member)
    return {hall: sorted(names)[:READERS] for hall, names in halls.items() if len(names) > FEW_DAEMONS}


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
    """

    def __init__(self, feeds: Mapping[str, Feed], proof: Feed, push: Push) -> None:
        self.feeds = feeds
        self.proof = proof
        self.push = push
        self.readers: list[MemberId] = []
        """The readers that this daemon asks; none when it is one or its hall is small."""

        self.reading = False
        """Whether this daemon is a reader of its hall."""

        self.numbers = 0
        self.asked: dict[MemberId, Asked] = {}
        self.waiting: dict[MemberId, Waiting] = {}
        self.packed: dict[tuple[str, int | None], tuple[int, TableUpdate]] = {}
        """What was packed last, by table and the version asked from, with its own version."""

        for feed in feeds.values():
            feed.on_answer = self.tell

    def __repr__(self) -> str:
        return f"<Fanout reading={self.reading} readers={self.readers}>"

    def assign(self, me: MemberId, daemons: Mapping[MemberId, HallName]) -> set[MemberId]:
        """Take in who the daemons are.

        :param me: this daemon.
        :param daemons: all daemons with their halls.
        :return: the daemons to which this one needs a stream for updates.
        """
        hall = daemons.get(me)
        readers = readers_of(daemons).get(hall, []) if hall is not None else []
        reading, others = me in readers, [name for name in readers if name != me]
        if (reading, others) != (self.reading, self.readers):
            event("INFO", "readers chosen", reading=reading, readers=others)
        self.reading = reading
        self.readers = [] if reading else others
        if not reading:
            return set(self.readers)
        followers = {name for name, other in daemons.items() if other == hall}
        # Readers of all halls tell each other how many requests their halls have under way.
        all_readers = {name for names in readers_of(daemons).values() for name in names}
        return (followers | all_readers) - {me}

    def rest(self, seconds: float) -> None:
        """Set for how long updates from readers are enough, in seconds."""
        for feed in self.feeds.values():
            feed.rest_seconds = seconds if self.readers else 0.0
        self.proof.first_pause = FOLLOWER_FIRST_PAUSE if self.readers else FIRST_PAUSE
        self.proof.max_pause = FOLLOWER_PAUSE if self.readers else MAX_PAUSE

    def watch(self) -> None:
        """Ask readers that were not asked, or did not answer for long; called often."""
        at = now()
        for reader in self.readers:
            asked = self.asked.get(reader)
            if asked is None or at - asked.at >= ASK_AGAIN_SECONDS:
                self._ask(reader)

    def tell(self) -> None:
        """Answer all questions that wait here: the store has answered."""
        if not self.reading:
            return
        for member in list(self.waiting):
            self._answer(member)

    def heard_poll(self, member: MemberId, poll: Poll) -> None:
        """Take in a question; it waits until there is something to tell.

        :param member: who asks.
        :param poll: the question.
        """
        if not self.reading:
            return
        self.waiting[member] = Waiting(poll)
        if any((feed.version or 0) > poll.have.get(name, 0) for name, feed in self.feeds.items()):
            self._answer(member)

    def heard_updates(self, member: MemberId, updates: Updates) -> None:
        """Take in an answer, and ask again.

        :param member: the reader.
        :param updates: what it tells.
        """
        asked = self.asked.get(member)
        if asked is None or asked.number != updates.number:
            # The answer to an earlier question: how old it is, is not known.
            return
        answered = asked.at + updates.waited
        told_at = answered - updates.proof_age
        for name, table in updates.tables.items():
            feed = self.feeds.get(name)
            if feed is not None:
                changes = Changes(unpack(table.rows), table.version)
                feed.hear(changes, table.after, answered - table.age, told_at)
        if now() - asked.at < LEAST_ASK_SECONDS:
            # The next watch asks.
            del self.asked[member]
        else:
            self._ask(member)

    def _ask(self, reader: MemberId) -> None:
        self.numbers += 1
        self.asked[reader] = Asked(self.numbers)
        have = {name: feed.version for name, feed in self.feeds.items() if feed.version is not None}
        self.push(reader, Poll(self.numbers, have))

    def _answer(self, member: MemberId) -> None:
        if any(feed.failing_since is not None or feed.version is None for feed in self.feeds.values()):
            # The question keeps waiting; its sender reads the store itself after a while.
            return
        waiting = self.waiting.pop(member)
        have = waiting.poll.have
        tables = {name: self._table(name, feed, have.get(name)) for name, feed in self.feeds.items()}
        self.push(member, Updates(waiting.poll.number, now() - waiting.since, self.proof.age(), tables))

    def _table(self, name: str, feed: Feed, have: int | None) -> TableUpdate:
        """Return the update of one table; packed once for all that ask from one version."""
        version, packed = self.packed.get((name, have), (-1, None))
        if packed is None or version != feed.version:
            changes, whole = feed.since(have)
            packed = TableUpdate(None if whole else have, changes.version, 0.0, pack(changes.rows))
            if len(self.packed) > len(self.feeds) * 8:
                self.packed.clear()
            self.packed[name, have] = (changes.version, packed)
        return msgspec.structs.replace(packed, age=feed.age())


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
