"""Fan-out of updates: who reads, how old an update is, and what happens when readers fall silent."""

import time
from collections.abc import Iterator

import eventlet
import msgspec
import pytest

from bayglade import fanout, feeds
from bayglade.entries.wire import Poll, Updates
from bayglade.exceptions import PeerError, PlatformUnavailable
from bayglade.fanout import FEW_DAEMONS, FOLLOWER_PAUSE, READERS, Fanout, pack, readers_of, unpack
from bayglade.feeds import Feed, look_together
from bayglade.ids import HallName, MemberId
from bayglade.rows import Changes

REST = 2.0


class Clock:
    """The clock of both daemons; it moves only as told."""

    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        return self.at


class Table:
    """A table of the store: answers at once with all that changed."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, msgspec.Raw | None]] = {}
        self.version = 0
        self.calls = 0
        self.lost = False

    def put(self, key: str, value: bytes | None) -> None:
        self.version += 1
        self.rows[key] = (self.version, None if value is None else msgspec.Raw(value))

    def snapshot(self, table: str) -> Changes:
        self._called()
        return Changes({k: v for k, (_, v) in self.rows.items() if v is not None}, self.version)

    def changes(self, table: str, after: int, wait: float) -> Changes:
        self._called()
        return Changes({k: v for k, (at, v) in self.rows.items() if at > after}, self.version)

    def _called(self) -> None:
        self.calls += 1
        if self.lost:
            raise PlatformUnavailable("no answer", step="read", peer="store")


class Daemon:
    """One daemon: a feed of one table, what it took in, and its part in passing updates on."""

    def __init__(self, table: Table) -> None:
        self.taken: dict[str, bytes | None] = {}
        self.outbox: list[tuple[MemberId, Poll | Updates]] = []
        self.feed = Feed(table, "t", 1.0, self._apply)
        self.fanout = Fanout(
            {"t": self.feed}, self.feed, lambda m, message: self.outbox.append((m, message))
        )

    def _apply(self, changes: Changes, whole: bool) -> None:
        if whole:
            self.taken.clear()
        self.taken |= {k: None if v is None else bytes(v) for k, v in changes.rows.items()}

    def sent(self) -> Poll | Updates:
        return self.outbox.pop(0)[1]


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    made = Clock()
    monkeypatch.setattr(feeds, "now", made.now)
    monkeypatch.setattr(fanout, "now", made.now)
    yield made


@pytest.fixture
def hall(clock: Clock) -> tuple[Table, Daemon, Daemon]:
    """Return a table, a reader that has read it, and a follower that knows nothing."""
    table = Table()
    reader, follower = Daemon(table), Daemon(table)
    daemons = {MemberId(f"d{n}"): HallName("h") for n in range(FEW_DAEMONS + 1)}
    reader.fanout.assign(MemberId("d0"), daemons)
    follower.fanout.assign(MemberId("d5"), daemons)
    follower.fanout.readers = [MemberId("d0")]
    follower.fanout.rest(REST)
    table.put("a", b"1")
    reader.feed._step()
    return table, reader, follower


def exchange(reader: Daemon, follower: Daemon) -> None:
    """Carry one question and its answer over."""
    follower.fanout.watch()
    ask = follower.sent()
    assert isinstance(ask, Poll)
    reader.fanout.heard_poll(MemberId("d5"), ask)
    answer = reader.sent()
    assert isinstance(answer, Updates)
    follower.fanout.heard_updates(MemberId("d0"), answer)


@pytest.mark.parametrize(
    ("count", "readers"), [(1, 0), (FEW_DAEMONS, 0), (FEW_DAEMONS + 1, READERS), (60, READERS)]
)
def test_only_halls_of_many_daemons_have_readers(count: int, readers: int) -> None:
    daemons = {MemberId(f"d{n:02}"): HallName("h") for n in range(count)}
    assert len(readers_of(daemons).get(HallName("h"), [])) == readers


def test_streams_for_updates_are_mutual() -> None:
    daemons = {MemberId(f"d{n}"): HallName(f"h{n % 2}") for n in range(20)}
    wanted = {name: Daemon(Table()).fanout.assign(name, daemons) for name in daemons}
    assert all(name in wanted[other] for name in daemons for other in wanted[name])
    readers = {name for names in readers_of(daemons).values() for name in names}
    for name in daemons:
        abroad = {other for other in wanted[name] if daemons[other] != daemons[name]}
        assert abroad == (readers - set(readers_of(daemons)[daemons[name]]) if name in readers else set())


def test_a_follower_learns_the_table_and_its_changes_without_a_call(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    table, reader, follower = hall
    exchange(reader, follower)
    assert follower.taken == {"a": b"1"}
    table.put("a", b"2")
    table.put("b", b"3")
    clock.at += 1.0
    follower.fanout.watch()
    reader.fanout.heard_poll(MemberId("d5"), follower.sent())  # type: ignore[arg-type]
    assert reader.outbox == []
    reader.feed._step()
    follower.fanout.heard_updates(MemberId("d0"), reader.sent())  # type: ignore[arg-type]
    assert follower.taken == {"a": b"2", "b": b"3"}
    assert table.calls == 2


def test_the_age_of_an_update_is_counted_from_the_question(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    _, reader, follower = hall
    clock.at += 0.5
    follower.fanout.watch()
    ask = follower.sent()
    clock.at += 3.0
    reader.fanout.heard_poll(MemberId("d5"), ask)  # type: ignore[arg-type]
    answer = reader.sent()
    clock.at += 4.0
    follower.fanout.heard_updates(MemberId("d0"), answer)  # type: ignore[arg-type]
    # Only the time between the question and the answer is known to have passed at the reader:
    # none, and its own knowledge was 3.5 seconds old.
    assert follower.feed.age() == pytest.approx(7.0 + 3.5)
    assert follower.feed._rest_left() <= 0


def test_an_answer_to_an_earlier_question_is_passed_over(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    _, reader, follower = hall
    follower.fanout.watch()
    reader.fanout.heard_poll(MemberId("d5"), follower.sent())  # type: ignore[arg-type]
    late = reader.sent()
    clock.at += 2.0
    follower.fanout.watch()
    follower.fanout.heard_updates(MemberId("d0"), late)  # type: ignore[arg-type]
    assert follower.taken == {}


def test_a_reader_without_the_store_tells_nothing(hall: tuple[Table, Daemon, Daemon], clock: Clock) -> None:
    _, reader, follower = hall
    reader.feed.failing_since = clock.at
    follower.fanout.watch()
    reader.fanout.heard_poll(MemberId("d5"), follower.sent())  # type: ignore[arg-type]
    reader.fanout.tell()
    assert reader.outbox == []


def test_a_follower_rests_while_it_is_told_and_no_longer(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    _, reader, follower = hall
    assert follower.feed._rest_left() <= 0
    exchange(reader, follower)
    assert follower.feed._rest_left() == pytest.approx(REST)
    clock.at += REST
    assert follower.feed._rest_left() <= 0


def test_updates_do_not_end_an_outage(hall: tuple[Table, Daemon, Daemon], clock: Clock) -> None:
    _, reader, follower = hall
    exchange(reader, follower)
    follower.feed.failing_since = clock.at
    reader.feed.store.put("a", None)  # type: ignore[attr-defined]
    reader.feed._step()
    clock.at += 1.0
    follower.fanout.watch()
    exchange_again = follower.sent()
    reader.fanout.heard_poll(MemberId("d5"), exchange_again)  # type: ignore[arg-type]
    follower.fanout.heard_updates(MemberId("d0"), reader.sent())  # type: ignore[arg-type]
    assert follower.taken == {"a": b"1"}
    assert follower.feed.back.ready()
    # What cannot be taken in is not asked for again at once.
    assert follower.outbox == []


def test_an_answer_of_the_store_older_than_an_update_changes_nothing(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    table, reader, follower = hall
    exchange(reader, follower)
    stale = Changes({"a": msgspec.Raw(b"0")}, 0)
    follower.feed.store = type("Stale", (), {"changes": lambda *_: stale})()
    follower.feed._step()
    assert follower.taken == {"a": b"1"}
    assert follower.feed.version == table.version


def test_a_follower_that_knows_too_little_gets_the_whole_table(hall: tuple[Table, Daemon, Daemon]) -> None:
    table, reader, _ = hall
    table.put("a", None)
    reader.feed.version = None
    reader.feed._step()
    changes, whole = reader.feed.since(1)
    assert whole
    assert changes.rows == {}


def test_removed_rows_are_forgotten_at_last(hall: tuple[Table, Daemon, Daemon]) -> None:
    table, reader, _ = hall
    for n in range(feeds.MAX_REMOVED + 10):
        table.put(f"k{n}", b"1")
        table.put(f"k{n}", None)
        reader.feed._step()
    assert len(reader.feed.rows) <= feeds.MAX_REMOVED + 1
    assert reader.feed.since(1)[1]
    assert not reader.feed.since(table.version - 1)[1]


def test_feeds_of_one_store_look_together_when_one_finds_it_lost(
    hall: tuple[Table, Daemon, Daemon],
) -> None:
    _, reader, follower = hall
    started: list[Feed] = []
    for feed in (reader.feed, follower.feed):
        feed.task = object()  # type: ignore[assignment]
        feed.start = lambda feed=feed: started.append(feed)  # type: ignore[method-assign]
    look_together((reader.feed, follower.feed))
    reader.feed._failed(PlatformUnavailable("no answer", step="read", peer="store"))
    assert started == [follower.feed]
    assert follower.feed.failing_since is not None


def test_rows_are_packed_and_unpacked() -> None:
    rows = {"a": msgspec.Raw(b'{"x":1}'), "b": None}
    unpacked = unpack(pack(rows))
    assert {k: v if v is None else bytes(v) for k, v in unpacked.items()} == {"a": b'{"x":1}', "b": None}
    assert unpack(pack({})) == {}


@pytest.mark.parametrize("data", [b"x", pack({"a": None})[:-2]], ids=["no zlib", "cut"])
def test_updates_that_make_no_sense_are_an_error(data: bytes) -> None:
    with pytest.raises(PeerError):
        unpack(data)


def test_a_follower_asks_a_lost_store_seldom_until_a_reader_has_an_answer() -> None:
    table = Table()
    follower = Daemon(table)
    follower.fanout.readers = [MemberId("d0")]
    follower.fanout.rest(REST)
    assert follower.feed.max_pause == FOLLOWER_PAUSE
    started = time.monotonic()
    waiting = eventlet.spawn(follower.feed._wait_for_store, 30.0)
    eventlet.sleep(0)
    follower.feed.failing_since = started
    follower.feed.hear(Changes({}, 1), None, started, started)
    waiting.wait()
    assert time.monotonic() - started < 10.0
    follower.fanout.readers = []
    follower.fanout.rest(REST)
    assert follower.feed.max_pause == feeds.MAX_PAUSE
