"""Epochs of the store: what answers name, and what the log says of changes that are not taken in."""

from collections.abc import Iterator

import pytest

from bayglade import feeds
from bayglade.config import parse_address
from bayglade.exceptions import PlatformUnavailable
from bayglade.feeds import Feed
from bayglade.ids import UNKNOWN_EPOCH, StoreEpoch
from bayglade.platform import Store
from bayglade.rows import Condition, Position, Transaction, Write, raw
from standins.users.store import MetadataStore

ROW = {"key": raw(1)}


@pytest.fixture
def stored() -> Iterator[MetadataStore]:
    made = MetadataStore()
    made.put("op", "config", 1)
    yield made
    made.server.end()


def test_every_answer_of_the_store_tells_its_epoch(stored: MetadataStore) -> None:
    told: list[StoreEpoch] = []
    client = Store(parse_address(stored.server.address), on_epoch=told.append)
    client.snapshot("op")
    stored.epoch = 2
    client.changes("op", Position(UNKNOWN_EPOCH, 0), 0.0)
    stored.epoch = 3
    conflict = Transaction([Condition("members/a", 7)], [Write("members/a", raw(1))])
    assert not client.transact(conflict).committed
    stored.epoch = 4
    stored.faults.set("busy", 1)
    with pytest.raises(PlatformUnavailable):
        client.snapshot("op")
    assert told == [1, 2, 3, 4]


@pytest.mark.parametrize("value", [None, "", "-1", "two", "1.5"])
def test_an_epoch_that_makes_no_sense_is_none(stored: MetadataStore, value: str | None) -> None:
    told: list[StoreEpoch] = []
    stored.epoch = value  # type: ignore[assignment]
    Store(parse_address(stored.server.address), on_epoch=told.append).snapshot("op")
    assert told == [UNKNOWN_EPOCH]


def test_an_update_that_is_not_taken_in_leaves_a_line(
    stored: MetadataStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[tuple[object, ...]] = []
    monkeypatch.setattr(
        feeds, "limited", lambda rate: lambda *words, **fields: lines.append((*words, fields))
    )
    stored.epoch = None
    client = Store(parse_address(stored.server.address))
    for _ in range(4):
        stored.put("op", "config", 1)
    feed = Feed(client, "op", 1.0, lambda changes, whole: None)
    feed._step()
    stored.restore(2)
    other = Feed(client, "op", 1.0, lambda changes, whole: None)
    other._step()
    feed.hear(other.since(None)[0], None, known_at=1.0)
    assert [line[:2] for line in lines] == [("INFO", "update dropped")]
