"""Epochs of the store: the epoch in answers, and the log lines about rejected updates."""

from collections.abc import Iterator

import eventlet
import pytest

from bayglade import feeds
from bayglade.config import parse_address
from bayglade.entries.wire import Poll
from bayglade.epochs import StoreHistory
from bayglade.exceptions import HistoryGone, PlatformUnavailable
from bayglade.fanout import Fanout
from bayglade.feeds import Feed
from bayglade.ids import UNKNOWN_EPOCH, MemberId, StoreEpoch
from bayglade.platform import Store
from bayglade.rows import Changes, Condition, Position, Transaction, Write, encode_value
from standins.users.store import MetadataStore

ROW = {"key": encode_value(1)}


@pytest.fixture
def stored() -> Iterator[MetadataStore]:
    made = MetadataStore()
    made.put("op", "config", 1)
    yield made
    made.server.end()


def test_the_epoch_is_read_from_every_answer_of_the_store(stored: MetadataStore) -> None:
    told: list[StoreEpoch] = []
    client = Store(parse_address(stored.server.address), on_epoch=told.append)
    client.snapshot("op")
    stored.epoch = 2
    client.changes("op", Position(UNKNOWN_EPOCH, 0), 0.0)
    stored.epoch = 3
    conflict = Transaction([Condition("members/a", 7)], [Write("members/a", encode_value(1))])
    assert not client.transact(conflict).committed
    stored.epoch = 4
    stored.faults.set("busy", 1)
    with pytest.raises(PlatformUnavailable):
        client.snapshot("op")
    assert told == [1, 2, 3, 4]


@pytest.mark.parametrize("value", [None, "", "-1", "two", "1.5", "1" * 19, "1" * 5000])
def test_a_malformed_epoch_counts_as_unknown(stored: MetadataStore, value: str | None) -> None:
    told: list[StoreEpoch] = []
    stored.epoch = value  # type: ignore[assignment]
    Store(parse_address(stored.server.address), on_epoch=told.append).snapshot("op")
    assert told == [UNKNOWN_EPOCH]


def test_a_rejected_update_is_logged(stored: MetadataStore, monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[tuple[object, ...]] = []
    monkeypatch.setattr(
        feeds, "rate_limited", lambda rate: lambda *words, **fields: lines.append((*words, fields))
    )
    stored.epoch = None
    client = Store(parse_address(stored.server.address))
    for _ in range(4):
        stored.put("op", "config", 1)
    feed = Feed(client, "op", 1.0, lambda changes, whole: None)
    feed._poll()
    stored.restore(2)
    other = Feed(client, "op", 1.0, lambda changes, whole: None)
    other._poll()
    feed.receive(other.changes_since(None)[0], None, known_at=1.0, recovered_at=feed.confirmed_at + 1.0)
    assert [line[:2] for line in lines] == [("INFO", "update dropped")]


def known_feed(epoch: int, version: int) -> Feed:
    """Return a feed whose local copy is at a position."""
    feed = Feed(None, "t", 1.0, lambda changes, whole: None)  # type: ignore[arg-type]
    feed.receive(Changes(ROW, version, StoreEpoch(epoch)), None, known_at=1.0)
    return feed


@pytest.mark.parametrize(
    ("changes", "after"),
    [
        (Changes(ROW, 20, StoreEpoch(1)), None),
        (Changes(ROW, 20, StoreEpoch(2)), Position(StoreEpoch(2), 11)),
        (Changes(ROW, 20, StoreEpoch(2)), Position(StoreEpoch(1), 5)),
    ],
    ids=["earlier epoch", "gap", "change of an earlier epoch"],
)
def test_a_rejected_update_makes_a_table_no_fresher(changes: Changes, after: Position | None) -> None:
    feed = known_feed(2, 10)
    feed.receive(changes, after, known_at=50.0, recovered_at=40.0)
    assert (feed.position, feed.known_at, feed.relayed_known_at) == (Position(StoreEpoch(2), 10), 1.0, 1.0)
    assert feed.recovered_at == 0.0
    assert feed.dropped == 1


@pytest.mark.parametrize("epoch", [2, UNKNOWN_EPOCH])
@pytest.mark.parametrize("after", [None, 8])
def test_an_update_that_is_already_known_makes_a_table_fresher(epoch: int, after: int | None) -> None:
    # A reader that took its snapshot earlier relays the table at a lower version until something changes.
    feed = known_feed(epoch, 10)
    told = Changes({}, 9, StoreEpoch(epoch))
    feed.receive(told, None if after is None else Position(StoreEpoch(epoch), after), known_at=50.0)
    assert (feed.position, feed.known_at, feed.relayed_known_at) == (
        Position(StoreEpoch(epoch), 10),
        50.0,
        50.0,
    )
    assert feed.dropped == 0


def test_an_earlier_position_after_an_outage_makes_a_table_no_fresher() -> None:
    feed = known_feed(UNKNOWN_EPOCH, 10)
    feed.receive(Changes(ROW, 9), None, known_at=50.0, recovered_at=feed.confirmed_at + 1.0)
    assert (feed.known_at, feed.dropped) == (1.0, 1)


def test_a_position_confirmed_after_an_outage_is_in_the_history() -> None:
    feed = Feed(Answers(Changes(ROW, 10), Changes({}, 10)), "t", 1.0, lambda changes, whole: None)
    feed._poll()
    back_at = feed.confirmed_at + 0.001
    eventlet.sleep(0.01)
    feed._poll()
    feed.receive(Changes({}, 9), None, known_at=feed.known_at + 50.0, recovered_at=back_at)
    assert feed.dropped == 0


def test_an_update_of_a_later_epoch_is_applied_at_a_lower_version() -> None:
    feed = known_feed(2, 10)
    feed.receive(Changes(ROW, 4, StoreEpoch(3)), None, known_at=50.0)
    assert (feed.position, feed.known_at) == (Position(StoreEpoch(3), 4), 50.0)


def test_a_poll_from_a_later_epoch_makes_a_reader_take_a_snapshot() -> None:
    feed = known_feed(2, 10)
    fanout = Fanout({"t": feed}, feed, lambda member, message: None, "x:1")
    fanout.receive_poll(MemberId("d5"), Poll(1, {"t": Position(StoreEpoch(3), 1)}, "x:2"))
    assert not feed.is_current()
    assert MemberId("d5") in fanout.pending_polls


def test_an_answer_of_an_earlier_epoch_counts_as_failed(stored: MetadataStore) -> None:
    history = StoreHistory()
    client = Store(parse_address(stored.server.address), on_epoch=history.observe)
    feed = Feed(client, "op", 1.0, lambda changes, whole: None, history=history)
    history.observe(StoreEpoch(5))
    with pytest.raises(PlatformUnavailable):
        feed._poll()
    assert feed.known_at == 0.0


class Answers:
    """A store that returns the given answers one after the other."""

    def __init__(self, *answers: Changes | HistoryGone) -> None:
        self.answers = list(answers)

    def snapshot(self, table: str) -> Changes:
        answer = self.answers.pop(0)
        if isinstance(answer, HistoryGone):
            raise answer
        return answer

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        return self.snapshot(table)


@pytest.mark.parametrize("gone", [False, True], ids=["changes", "whole"])
def test_an_answer_at_an_earlier_position_of_the_epoch_counts_as_failed(gone: bool) -> None:
    late = Changes(ROW, 9, StoreEpoch(2))
    store = Answers(Changes(ROW, 10, StoreEpoch(2)), *[HistoryGone("gone")] * gone, late)
    feed = Feed(store, "t", 1.0, lambda changes, whole: None)
    feed._poll()
    known_at = feed.known_at
    if gone:
        with pytest.raises(HistoryGone):
            feed._poll()
        feed.history_gone_after, feed.position = feed.position, None
    with pytest.raises(PlatformUnavailable):
        feed._poll()
    assert feed.known_at == known_at


def test_without_epochs_an_answer_at_an_earlier_position_causes_a_snapshot() -> None:
    store = Answers(Changes(ROW, 10), Changes(ROW, 9), Changes(ROW, 8))
    feed = Feed(store, "t", 1.0, lambda changes, whole: None)
    feed._poll()
    with pytest.raises(HistoryGone):
        feed._poll()
    feed.history_gone_after, feed.position = feed.position, None
    feed._poll()
    assert feed.position == Position(UNKNOWN_EPOCH, 8)
