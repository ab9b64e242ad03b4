"""Epochs: how this daemon tells apart the histories of the platform's store before and after a restore."""

from collections.abc import Callable

import eventlet

from bayglade.clock import now
from bayglade.exceptions import PlatformAnswerLost
from bayglade.ids import UNKNOWN_EPOCH, StoreEpoch
from bayglade.logs import event
from bayglade.rows import (
    ABSENT,
    Changes,
    Position,
    Row,
    Table,
    Transaction,
    TransactionResult,
)


class StoreHistory:
    """The newest epoch of the store that this daemon knows of; times are monotonic seconds."""

    def __init__(self) -> None:
        self.epoch = UNKNOWN_EPOCH
        self.restored_at: float | None = None
        """When the store was found to have been restored; None if it was not since this daemon started."""

        self.on_restored: list[Callable[[], None]] = []
        """Called when the store was restored, each in a task of its own."""

    def __repr__(self) -> str:
        return f"<StoreHistory epoch={self.epoch}>"

    def observe(self, epoch: StoreEpoch) -> None:
        """Record the epoch that an answer or another daemon names.

        :param epoch: the epoch; ignored unless it is newer.
        """
        if epoch <= self.epoch:
            return
        before, self.epoch = self.epoch, epoch
        if before == UNKNOWN_EPOCH:
            event("INFO", "store epoch", epoch=epoch)
            return
        event("WARNING", "store restored", before=before, epoch=epoch)
        self.restored_at = now()
        for callback in self.on_restored:
            eventlet.spawn_n(callback)


class EpochGuardedTable:
    """A store whose writes are rejected when their conditions were read in an earlier epoch.

    A version that was assigned again after a restore may belong to another write than the one that was
    read.

    :param table: the store.
    :param history: the newest known epoch of the store.
    """

    def __init__(self, table: Table, history: StoreHistory) -> None:
        self.table = table
        self.history = history

    def __repr__(self) -> str:
        return f"<EpochGuardedTable {self.table!r}>"

    def snapshot(self, table: str) -> Changes:
        """Read a snapshot of a table; see :class:`bayglade.rows.ChangeFeed`."""
        return self.table.snapshot(table)

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        """Wait for changes; see :class:`bayglade.rows.ChangeFeed`."""
        return self.table.changes(table, after, wait)

    def read(self, keys: list[str]) -> dict[str, Row]:
        """Read rows; see :class:`bayglade.rows.RowStore`."""
        return self.table.read(keys)

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Write rows; see :class:`bayglade.rows.RowStore`.

        :raises PlatformAnswerLost: also when the store was restored while the write was in progress.
        """
        read_in = [c.epoch for c in transaction.conditions if c.version != ABSENT]
        epochs = {epoch for epoch in read_in if epoch != UNKNOWN_EPOCH}
        if epochs and min(epochs) < self.history.epoch:
            keys = [condition.key for condition in transaction.conditions]
            event("INFO", "write withheld", keys=keys, read_in=min(epochs), epoch=self.history.epoch)
            return TransactionResult(False, keys, self.history.epoch)
        result = self.table.transact(transaction)
        if epochs and result.epoch != UNKNOWN_EPOCH and epochs != {result.epoch}:
            raise PlatformAnswerLost(
                "the store was restored while the write was in progress", step="transact", peer="store"
            )
        return result
