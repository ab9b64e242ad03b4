"""Conditional writes and leases on a store that was restored from an older backup."""

import msgspec
import pytest

from bayglade import epochs, leases
from bayglade.epochs import EpochGuardedTable, StoreHistory
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
    encode_value,
)
from tests.clocks import ManualClock

DURATION, MARGIN = 2.5, 0.7
KEY = "a/row"


class Rows:
    """Rows of a store; a restore loses what was written since the backup."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, bytes]] = {}
        self.version = 0
        self.epoch = StoreEpoch(1)
        self.backup: tuple[int, dict[str, tuple[int, bytes]]] = (0, {})
        self.restores_during_write = False

    def put(self, key: str, value: object) -> None:
        self.version += 1
        self.rows[key] = (self.version, bytes(encode_value(value)))

    def back_up(self) -> None:
        self.backup = (self.version, dict(self.rows))

    def restore(self) -> None:
        self.version, self.rows = self.backup[0], dict(self.backup[1])
        self.epoch = StoreEpoch(self.epoch + 1)

    def snapshot(self, table: str) -> Changes:
        raise AssertionError("no table is followed in this test")

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        raise AssertionError("no table is followed in this test")

    def read(self, keys: list[str]) -> dict[str, Row]:
        found = {key: self.rows[key] for key in keys if key in self.rows}
        return {
            key: Row(version, msgspec.Raw(value), self.epoch) for key, (version, value) in found.items()
        }

    def transact(self, transaction: Transaction) -> TransactionResult:
        if self.restores_during_write:
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
        self.history.observe(rows.epoch)
        self.table = EpochGuardedTable(rows, self.history)
        self.lease = Lease(self.table, "placement", MemberId(name), DURATION, MARGIN, self.history)

    def keep(self) -> bool:
        self.history.observe(self.rows.epoch)
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
    rows.back_up()
    rows.put(KEY, "first")
    found = daemon.table.read([KEY])[KEY]
    rows.restore()
    rows.put(KEY, "another")
    daemon.history.observe(rows.epoch)
    wrong = Transaction([found.condition(KEY)], [Write(KEY, encode_value("mine"))])
    assert not daemon.table.transact(wrong).committed
    assert daemon.table.read([KEY])[KEY].value == encode_value("another")


def test_a_restore_during_a_write_counts_as_a_lost_answer(rows: Rows) -> None:
    daemon = Daemon(rows, "d1")
    rows.put(KEY, "first")
    rows.back_up()
    found = daemon.table.read([KEY])[KEY]
    rows.restores_during_write = True
    with pytest.raises(PlatformAnswerLost):
        daemon.table.transact(Transaction([found.condition(KEY)], [Write(KEY, encode_value("mine"))]))


def test_a_condition_read_after_the_store_was_restored_holds(rows: Rows) -> None:
    daemon = Daemon(rows, "d1")
    rows.put(KEY, "first")
    rows.back_up()
    rows.restore()
    daemon.history.observe(rows.epoch)
    found = daemon.table.read([KEY])[KEY]
    assert daemon.table.transact(
        Transaction([found.condition(KEY)], [Write(KEY, encode_value("mine"))])
    ).committed


def test_a_row_that_does_not_exist_may_be_written_in_any_epoch(rows: Rows) -> None:
    daemon = Daemon(rows, "d1")
    rows.restores_during_write = True
    assert daemon.table.transact(
        Transaction([Condition(KEY, ABSENT)], [Write(KEY, encode_value(1))])
    ).committed


@pytest.mark.parametrize("copied", ["no row", "another holder", "released"])
def test_no_daemon_acquires_a_lease_that_was_lost_in_a_restore(
    rows: Rows, clock: ManualClock, copied: str
) -> None:
    holder, other, late = Daemon(rows, "d1"), Daemon(rows, "d2"), Daemon(rows, "d3")
    if copied != "no row":
        assert other.keep()
        if copied == "released":
            other.lease.release()
    rows.back_up()
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


def test_the_holder_of_a_lost_lease_rewrites_and_keeps_it(rows: Rows, clock: ManualClock) -> None:
    holder, other = Daemon(rows, "d1"), Daemon(rows, "d2")
    rows.back_up()
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


def test_a_daemon_started_after_a_restore_waits_for_an_earlier_holder(
    rows: Rows, clock: ManualClock
) -> None:
    first, holder = Daemon(rows, "d1"), Daemon(rows, "d2")
    assert first.keep()
    first.lease.release()
    rows.back_up()
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
