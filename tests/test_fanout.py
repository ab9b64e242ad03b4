"""Fan-out: who reads, how old an update is, and what happens when readers go silent."""

import time
from collections.abc import Iterator

import eventlet
import msgspec
import pytest

from bayglade import fanout, feeds
from bayglade.entries.wire import Poll, StoreUnreachable, Updates
from bayglade.exceptions import PeerError, PlatformUnavailable
from bayglade.fanout import FOLLOWER_MAX_RETRY_DELAY, MIN_FRESHER_FRACTION, Fanout, decode_rows, encode_rows
from bayglade.feeds import Feed, link_feeds
from bayglade.freshness import relay_validity
from bayglade.ids import UNKNOWN_EPOCH, MemberId
from bayglade.rows import Changes, Position

WAIT = 1.0
RELAY_VALID_SECONDS = relay_validity(WAIT)


def at(version: int) -> Position:
    """Return a position in a store that does not name its epoch."""
    return Position(UNKNOWN_EPOCH, version)


class Clock:
    """The clock of all daemons; it advances only when told to."""

    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        return self.at


class Table:
    """A table of the store that answers at once with everything that changed."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, msgspec.Raw | None]] = {}
        self.version = 0
        self.calls = 0
        self.lost = False

    def put(self, key: str, value: bytes | None) -> None:
        self.version += 1
        self.rows[key] = (self.version, None if value is None else msgspec.Raw(value))

    def snapshot(self, table: str) -> Changes:
        self._count_call()
        return Changes({k: v for k, (_, v) in self.rows.items() if v is not None}, self.version)

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        self._count_call()
        return Changes({k: v for k, (at, v) in self.rows.items() if at > after.version}, self.version)

    def _count_call(self) -> None:
        self.calls += 1
        if self.lost:
            raise PlatformUnavailable("no answer", step="read", peer="store")


class Daemon:
    """One daemon: a feed of one table, the rows applied, and its fan-out."""

    def __init__(self, table: Table) -> None:
        self.applied: dict[str, bytes | None] = {}
        self.outbox: list[tuple[MemberId, Poll | Updates | StoreUnreachable]] = []
        self.feed = Feed(table, "t", WAIT, self._apply)
        self.fanout = Fanout(
            {"t": self.feed}, self.feed, lambda m, message: self.outbox.append((m, message)), "x:1"
        )

    def _apply(self, changes: Changes, whole: bool) -> None:
        if whole:
            self.applied.clear()
        self.applied |= {k: None if v is None else bytes(v) for k, v in changes.rows.items()}

    def sent(self) -> Poll | Updates | StoreUnreachable:
        return self.outbox.pop(0)[1]


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    made = Clock()
    monkeypatch.setattr(feeds, "now", made.now)
    monkeypatch.setattr(fanout, "now", made.now)
    yield made


@pytest.fixture
def hall(clock: Clock) -> tuple[Table, Daemon, Daemon]:
    """Return a table, a reader that has read it, and a follower without any rows."""
    table = Table()
    reader, follower = Daemon(table), Daemon(table)
    reader.fanout.set_sources(())
    follower.fanout.set_sources((MemberId("d0"),))
    table.put("a", b"1")
    reader.feed._poll()
    return table, reader, follower


def exchange(reader: Daemon, follower: Daemon) -> None:
    """Deliver one poll and its answer."""
    follower.fanout.poll_sources()
    poll = follower.sent()
    assert isinstance(poll, Poll)
    reader.fanout.receive_poll(MemberId("d5"), poll)
    answer = reader.sent()
    assert isinstance(answer, Updates)
    follower.fanout.receive_updates(MemberId("d0"), answer)


def test_a_follower_gets_the_table_and_its_changes_without_a_store_call(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    table, reader, follower = hall
    exchange(reader, follower)
    assert follower.applied == {"a": b"1"}
    table.put("a", b"2")
    table.put("b", b"3")
    clock.at += 1.0
    follower.fanout.poll_sources()
    reader.fanout.receive_poll(MemberId("d5"), follower.sent())  # type: ignore[arg-type]
    assert reader.outbox == []
    reader.feed._poll()
    follower.fanout.receive_updates(MemberId("d0"), reader.sent())  # type: ignore[arg-type]
    assert follower.applied == {"a": b"2", "b": b"3"}
    assert table.calls == 2


def test_the_age_of_an_update_is_counted_from_the_poll(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    _, reader, follower = hall
    clock.at += 0.5
    follower.fanout.poll_sources()
    poll = follower.sent()
    clock.at += 3.0
    reader.fanout.receive_poll(MemberId("d5"), poll)  # type: ignore[arg-type]
    answer = reader.sent()
    clock.at += 4.0
    follower.fanout.receive_updates(MemberId("d0"), answer)  # type: ignore[arg-type]
    # The follower cannot know when within these 7 s the reader answered, so it counts from its poll and
    # adds the reported age of 3.5 s.
    assert follower.feed.age() == pytest.approx(7.0 + 3.5)
    assert follower.feed._seconds_to_call() <= 0


def test_an_answer_to_an_earlier_poll_is_ignored(hall: tuple[Table, Daemon, Daemon], clock: Clock) -> None:
    _, reader, follower = hall
    follower.fanout.poll_sources()
    reader.fanout.receive_poll(MemberId("d5"), follower.sent())  # type: ignore[arg-type]
    late = reader.sent()
    clock.at += 2.0
    follower.fanout.poll_sources()
    follower.fanout.receive_updates(MemberId("d0"), late)  # type: ignore[arg-type]
    assert follower.applied == {}


def test_a_reader_without_the_store_reports_it_and_answers_after_recovery(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    table, reader, follower = hall
    table.lost = True
    reader.feed._record_failure(PlatformUnavailable("no answer", step="read", peer="store"))
    follower.fanout.poll_sources()
    poll = follower.sent()
    reader.fanout.receive_poll(MemberId("d5"), poll)  # type: ignore[arg-type]
    refusal = reader.sent()
    assert isinstance(refusal, StoreUnreachable)
    follower.fanout.receive_store_unreachable(MemberId("d0"), refusal)
    assert follower.fanout.peers_without_store == {"d0"}
    reader.fanout.relay()
    assert reader.outbox == []
    table.lost = False
    reader.feed._poll()
    follower.fanout.receive_updates(MemberId("d0"), reader.sent())  # type: ignore[arg-type]
    assert follower.fanout.peers_without_store == set()
    assert follower.applied == {"a": b"1"}


def test_a_reader_that_loses_the_store_notifies_pending_polls(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    _, reader, follower = hall
    exchange(reader, follower)
    clock.at += 1.0
    follower.fanout.poll_sources()
    reader.fanout.receive_poll(MemberId("d5"), follower.sent())  # type: ignore[arg-type]
    assert reader.outbox == []
    reader.feed._record_failure(PlatformUnavailable("no answer", step="read", peer="store"))
    assert isinstance(reader.sent(), StoreUnreachable)
    assert MemberId("d5") in reader.fanout.pending_polls


def test_a_relayed_update_is_relayed_again_with_its_age(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    table, reader, middle = hall
    last = Daemon(table)
    last.fanout.set_sources((MemberId("d5"),))
    last.fanout.poll_sources()
    middle.fanout.receive_poll(MemberId("d9"), last.sent())  # type: ignore[arg-type]
    assert middle.outbox == []
    clock.at += 0.4
    middle.fanout.poll_sources()
    reader.fanout.receive_poll(MemberId("d5"), middle.sent())  # type: ignore[arg-type]
    middle.fanout.receive_updates(MemberId("d0"), reader.sent())  # type: ignore[arg-type]
    answer = next(message for member, message in middle.outbox if member == "d9")
    last.fanout.receive_updates(MemberId("d5"), answer)  # type: ignore[arg-type]
    assert last.applied == {"a": b"1"}
    # The reader read the table 0.4 s ago, and the poll of the last daemon was pending for as long.
    assert last.feed.age() == pytest.approx(0.4)
    assert table.calls == 1


def test_a_slightly_fresher_table_is_not_relayed_again(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    _, reader, follower = hall
    exchange(reader, follower)
    clock.at += MIN_FRESHER_FRACTION * WAIT / 2
    follower.fanout.poll_sources()
    clock.at += 1.0
    follower.fanout.poll_sources()
    reader.fanout.receive_poll(MemberId("d5"), follower.sent())  # type: ignore[arg-type]
    reader.feed.known_at += MIN_FRESHER_FRACTION * WAIT / 2
    reader.fanout.relay()
    assert reader.outbox == []
    reader.feed.known_at += MIN_FRESHER_FRACTION * WAIT
    reader.fanout.relay()
    assert isinstance(reader.sent(), Updates)


def test_a_follower_makes_no_calls_while_relayed_updates_are_fresh(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    _, reader, follower = hall
    assert follower.feed._seconds_to_call() <= 0
    exchange(reader, follower)
    assert follower.feed._seconds_to_call() == pytest.approx(RELAY_VALID_SECONDS)
    clock.at += RELAY_VALID_SECONDS
    assert follower.feed._seconds_to_call() <= 0


def test_a_daemon_that_the_store_refuses_continues_with_relayed_updates(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    _, reader, follower = hall
    exchange(reader, follower)
    clock.at += 1.0
    follower.feed.failing_since = clock.at
    reader.feed.store.put("a", b"2")  # type: ignore[attr-defined]
    reader.feed._poll()
    follower.fanout.poll_sources()
    reader.fanout.receive_poll(MemberId("d5"), follower.sent())  # type: ignore[arg-type]
    follower.fanout.receive_updates(MemberId("d0"), reader.sent())  # type: ignore[arg-type]
    assert follower.applied == {"a": b"2"}
    assert follower.feed.failing_since is None
    assert follower.feed._seconds_to_call() > 0
    # The reader never lost the store, so rows missing there were removed and did not expire in an outage.
    assert follower.feed.recovered_at == 0.0


def test_an_update_after_an_outage_reports_when_the_store_recovered(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    _, reader, follower = hall
    exchange(reader, follower)
    reader.feed.failing_since = follower.feed.failing_since = clock.at
    clock.at += 3.0
    reader.feed.store.put("a", None)  # type: ignore[attr-defined]
    reader.feed._poll()
    back_at = clock.at
    clock.at += 0.5
    follower.fanout.poll_sources()
    reader.fanout.receive_poll(MemberId("d5"), follower.sent())  # type: ignore[arg-type]
    follower.fanout.receive_updates(MemberId("d0"), reader.sent())  # type: ignore[arg-type]
    assert follower.applied == {"a": None}
    assert follower.feed.recovered_at == pytest.approx(back_at)


def test_a_store_answer_older_than_an_update_changes_nothing(
    hall: tuple[Table, Daemon, Daemon], clock: Clock
) -> None:
    table, reader, follower = hall
    exchange(reader, follower)
    stale = Changes({"a": msgspec.Raw(b"0")}, table.version)

    def update_meanwhile(*_: object) -> Changes:
        table.put("a", b"2")
        reader.feed._poll()
        follower.feed.receive(*reader.feed.changes_since(None)[:1], None, clock.at)
        return stale

    follower.feed.store = type("Stale", (), {"changes": update_meanwhile})()
    follower.feed._poll()
    assert follower.applied == {"a": b"2"}
    assert follower.feed.position == at(table.version)


def test_a_follower_that_is_too_far_behind_gets_a_snapshot(hall: tuple[Table, Daemon, Daemon]) -> None:
    table, reader, _ = hall
    table.put("a", None)
    reader.feed.position = None
    reader.feed._poll()
    changes, whole = reader.feed.changes_since(at(1))
    assert whole
    assert changes.rows == {}


def test_the_number_of_remembered_removed_rows_is_limited(hall: tuple[Table, Daemon, Daemon]) -> None:
    table, reader, _ = hall
    for n in range(feeds.MAX_REMOVED_ROWS + 10):
        table.put(f"k{n}", b"1")
        table.put(f"k{n}", None)
        reader.feed._poll()
    assert len(reader.feed.rows) <= feeds.MAX_REMOVED_ROWS + 1
    assert reader.feed.changes_since(at(1))[1]
    assert not reader.feed.changes_since(at(table.version - 1))[1]


def test_all_feeds_of_a_store_recheck_it_when_one_loses_it(
    hall: tuple[Table, Daemon, Daemon],
) -> None:
    _, reader, follower = hall
    started: list[Feed] = []
    for feed in (reader.feed, follower.feed):
        feed.task = object()  # type: ignore[assignment]
        feed.start = lambda feed=feed: started.append(feed)  # type: ignore[method-assign]
    link_feeds((reader.feed, follower.feed))
    reader.feed._record_failure(PlatformUnavailable("no answer", step="read", peer="store"))
    assert started == [follower.feed]
    assert follower.feed.failing_since is not None


def test_rows_are_encoded_and_decoded() -> None:
    rows = {"a": msgspec.Raw(b'{"x":1}'), "b": None}
    decoded = decode_rows(encode_rows(rows))
    assert {k: v if v is None else bytes(v) for k, v in decoded.items()} == {"a": b'{"x":1}', "b": None}
    assert decode_rows(encode_rows({})) == {}


@pytest.mark.parametrize("data", [b"x", encode_rows({"a": None})[:-2]], ids=["no zlib", "cut"])
def test_malformed_updates_raise_an_error(data: bytes) -> None:
    with pytest.raises(PeerError):
        decode_rows(data)


def test_a_follower_calls_a_lost_store_rarely_until_it_becomes_a_reader() -> None:
    table = Table()
    follower = Daemon(table)
    follower.fanout.set_sources((MemberId("d0"),))
    assert follower.feed.max_retry_delay == FOLLOWER_MAX_RETRY_DELAY
    started = time.monotonic()
    waiting = eventlet.spawn(follower.feed._wait_for_wake, 30.0)
    eventlet.sleep(0)
    follower.fanout.set_sources(())
    waiting.wait()
    assert time.monotonic() - started < 10.0
    assert follower.feed.max_retry_delay == feeds.MAX_RETRY_DELAY


def test_after_its_first_snapshot_a_daemon_waits_briefly_for_relays(clock: Clock) -> None:
    table = Table()
    daemon = Daemon(table)
    daemon.fanout.set_sources((MemberId("d0"),))
    assert daemon.feed._seconds_to_call() <= 0
    daemon.feed._poll()
    assert daemon.feed._seconds_to_call() == pytest.approx(feeds.SNAPSHOT_REST_SECONDS)
    daemon.fanout.set_sources(())
    assert daemon.feed._seconds_to_call() <= 0


def test_an_update_that_removes_its_sender_from_the_roster_is_applied(
    hall: tuple[Table, Daemon, Daemon],
) -> None:
    # This update ended the receiving task with a KeyError in ``receive_updates``, on three daemons at once:
    # applying it made the daemon forget the poll that the update answered.
    table, reader, follower = hall
    follower.feed.apply = lambda changes, whole: follower.fanout.forget(())
    exchange(reader, follower)
    assert follower.feed.position == at(table.version)
