"""Conditional writes and leases on a store that came back from an older copy."""

import msgspec
import pytest

from bayglade import epochs, leases
from bayglade.epochs import GuardedTable, StoreHistory
from bayglade.exceptions import PlatformAnswerLost
from bayglade.ids import MemberId, StoreEpoch
from bayglade.leases import EPOCHS_SKIPPED_AFTER_RESTORE, Lease, LeaseState
from bayglade.rows import (
    ABSENT,
    Changes,
    Condition,
    Position,
    Row,
    Transaction,
    TransactionResult,
    Write,
    raw,
)
from tests.clocks import ManualClock

DURATION, MARGIN = 2.5, 0.7
KEY = "a/row"


class Rows:
    """Rows of a store; what was written since a copy is lost when it is restored."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, bytes]] = {}
        self.version = 0
        self.epoch = StoreEpoch(1)
        self.copy: tuple[int, dict[str, tuple[int, bytes]]] = (0, {})
        self.restores_in_a_write = False

    def put(self, key: str, value: object) -> None:
        self.version += 1
        self.rows[key] = (self.version, bytes(raw(value)))

    def keep_copy(self) -> None:
        self.copy = (self.version, dict(self.rows))

    def restore(self) -> None:
        self.version, self.rows = self.copy[0], dict(self.copy[1])
        self.epoch = StoreEpoch(self.epoch + 1)

    def snapshot(self, table: str) -> Changes:
        raise AssertionError("nothing is followed here")

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        raise AssertionError("nothing is followed here")

    def read(self, keys: list[str]) -> dict[str, Row]:
        found = {key: self.rows[key] for key in keys if key in self.rows}
        return {
            key: Row(version, msgspec.Raw(value), self.epoch) for key, (version, value) in found.items()
        }

    def transact(self, transaction: Transaction) -> TransactionResult:
        if self.restores_in_a_write:
            self.restore()
        against = [c.key for c in transaction.conditions if self.rows.get(c.key, (ABSENT,))[0] != c.version]
        if not against:
            self.version += 1
            for write in transaction.writes:
                self.rows[write.key] = (self.version, bytes(write.value))
        return TransactionResult(not against, against, self.epoch)


class Daemon:
    """One daemon's view of the store, and its lease."""

    def __init__(self, rows: Rows, name: str) -> None:
        self.rows = rows
        self.history = StoreHistory()
        self.history.note(rows.epoch)
        self.table = GuardedTable(rows, self.history)
        self.lease = Lease(self.table, "placement", MemberId(name), DURATION, MARGIN, self.history)

    def keep(self) -> bool:
        self.history.note(self.rows.epoch)
        return self.lease.acquire_or_renew()


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    made = ManualClock()
    monkeypatch.setattr(epochs, "now", made.now)
    monkeypatch.setattr(leases, "now", made.now)
    return made


@pytest.fixture
def rows(clock: ManualClock) -> Rows:
    return Rows()


def test_a_write_on_a_condition_of_an_earlier_epoch_is_withheld(rows: Rows) -> None:
    daemon = Daemon(rows, "d1")
    rows.keep_copy()
    rows.put(KEY, "first")
    found = daemon.table.read([KEY])[KEY]
    rows.restore()
    rows.put(KEY, "another")
    daemon.history.note(rows.epoch)
    wrong = Transaction([found.condition(KEY)], [Write(KEY, raw("mine"))])
    assert not daemon.table.transact(wrong).committed
    assert daemon.table.read([KEY])[KEY].value == raw("another")


def test_the_answer_to_a_write_under_way_while_the_store_is_restored_is_lost(rows: Rows) -> None:
    daemon = Daemon(rows, "d1")
    rows.put(KEY, "first")
    rows.keep_copy()
    found = daemon.table.read([KEY])[KEY]
    rows.restores_in_a_write = True
    with pytest.raises(PlatformAnswerLost):
        daemon.table.transact(Transaction([found.condition(KEY)], [Write(KEY, raw("mine"))]))


def test_a_condition_read_after_the_store_was_restored_holds(rows: Rows) -> None:
    daemon = Daemon(rows, "d1")
    rows.put(KEY, "first")
    rows.keep_copy()
    rows.restore()
    daemon.history.note(rows.epoch)
    found = daemon.table.read([KEY])[KEY]
    assert daemon.table.transact(Transaction([found.condition(KEY)], [Write(KEY, raw("mine"))])).committed


def test_a_row_that_does_not_exist_may_be_written_in_any_epoch(rows: Rows) -> None:
    daemon = Daemon(rows, "d1")
    rows.restores_in_a_write = True
    assert daemon.table.transact(Transaction([Condition(KEY, ABSENT)], [Write(KEY, raw(1))])).committed


@pytest.mark.parametrize("copied", ["no row", "another holder", "released"])
def test_nobody_takes_a_lease_that_a_restored_store_has_lost(
    rows: Rows, clock: ManualClock, copied: str
) -> None:
    holder, other, late = Daemon(rows, "d1"), Daemon(rows, "d2"), Daemon(rows, "d3")
    if copied != "no row":
        assert other.keep()
        if copied == "released":
            other.lease.release()
    rows.keep_copy()
    while not holder.keep():
        clock.at += 0.4
    rows.restore()
    held_until = clock.at + DURATION
    while clock.at < held_until:
        assert not other.keep()
        assert not late.keep()
        clock.at += 0.4
    assert holder.lease.state() is not LeaseState.HELD
    while not late.keep():
        clock.at += 0.4
    assert clock.at <= held_until + 2 * (DURATION + MARGIN)
    assert late.lease.epoch > holder.lease.epoch


def test_the_holder_of_a_lease_writes_it_again_and_keeps_it(rows: Rows, clock: ManualClock) -> None:
    holder, other = Daemon(rows, "d1"), Daemon(rows, "d2")
    rows.keep_copy()
    assert holder.keep()
    epoch = holder.lease.epoch
    rows.restore()
    clock.at += 0.4
    assert holder.keep()
    assert holder.lease.epoch == epoch
    for _ in range(20):
        clock.at += 0.4
        assert holder.keep()
        assert not other.keep()


def test_a_daemon_that_starts_on_a_restored_store_waits_for_an_earlier_holder(
    rows: Rows, clock: ManualClock
) -> None:
    first, holder = Daemon(rows, "d1"), Daemon(rows, "d2")
    assert first.keep()
    first.lease.release()
    rows.keep_copy()
    assert holder.keep()
    rows.restore()
    started = Daemon(rows, "d3")
    until = clock.at + DURATION
    while clock.at < until:
        assert not started.keep()
        clock.at += 0.4
    while not started.keep():
        clock.at += 0.4
    assert started.lease.epoch >= first.lease.epoch + EPOCHS_SKIPPED_AFTER_RESTORE
