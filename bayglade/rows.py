"""Rows of the platform's table: their types, and the interface of a store that keeps them."""

from typing import Protocol

import msgspec

from bayglade.ids import UNKNOWN_EPOCH, StoreEpoch

ABSENT = 0
"""The version of a row that does not exist."""


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A point in the history of a store; versions are comparable only within one epoch."""

    epoch: StoreEpoch
    version: int


def was_restored(before: Position | None, after: Position) -> bool:
    """Return whether a store was restored from an older backup between two positions.

    :param before: the position up to which a table was known; None when it was not.
    :param after: the position of a later snapshot.
    """
    if before is None or before.epoch == UNKNOWN_EPOCH < after.epoch:
        return False
    return after.epoch > before.epoch or after < before


class Row(msgspec.Struct, frozen=True):
    """A row of the table: its version, which grows with each write, and its value."""

    version: int
    value: msgspec.Raw
    epoch: StoreEpoch = UNKNOWN_EPOCH

    @property
    def position(self) -> Position:
        """Return the point in the store's history at which the row was written."""
        return Position(self.epoch, self.version)

    def condition(self, key: str) -> "Condition":
        """Return the condition that the row has not changed since it was read.

        :param key: its key.
        """
        return Condition(key, self.version, self.epoch)


class Condition(msgspec.Struct, frozen=True, omit_defaults=True):
    """Requires that a row has exactly this version."""

    key: str
    version: int
    epoch: StoreEpoch = UNKNOWN_EPOCH
    """The epoch of the store in which the version was read; after a restore it may belong to another
    write."""


class Write(msgspec.Struct, frozen=True):
    """Sets the value of a row."""

    key: str
    value: msgspec.Raw


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are applied atomically if all conditions hold."""

    conditions: list[Condition]
    writes: list[Write]
    removes: list[str] = []
    """Keys of rows to remove; each needs a condition that names its version."""


class TransactionResult(msgspec.Struct, frozen=True):
    """Whether a transaction was committed, and the keys of the rows that conflicted."""

    committed: bool
    conflicts: list[str] = []
    epoch: StoreEpoch = UNKNOWN_EPOCH
    """The epoch of the store that answered."""


class Changes(msgspec.Struct, frozen=True):
    """Rows of one table as of a version; a key whose value is None is a removed row."""

    rows: dict[str, msgspec.Raw | None]
    version: int
    epoch: StoreEpoch = UNKNOWN_EPOCH

    @property
    def position(self) -> Position:
        """Return the point in the store's history that a table reaches with these changes."""
        return Position(self.epoch, self.version)


class RowStore(Protocol):
    """Reads and writes rows."""

    def read(self, keys: list[str]) -> dict[str, Row]:
        """Read those of the given rows that exist.

        :raises PlatformUnavailable: when the table does not answer.
        """

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Write rows atomically if all conditions hold.

        :raises PlatformUnavailable: when nothing was written.
        :raises PlatformAnswerLost: when the transaction may have been committed.
        """


class ChangeFeed(Protocol):
    """Reports changes to the rows of a table."""

    def snapshot(self, table: str) -> Changes:
        """Read all rows of a table.

        :raises PlatformUnavailable: when the table does not answer.
        """

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        """Wait for rows that changed after a position.

        :param wait: seconds after which an empty answer is returned.
        :raises HistoryGone: when that position is too old, or not in the store's history.
        :raises PlatformUnavailable: when the table does not answer.
        """


class Table(RowStore, ChangeFeed, Protocol):
    """A store that keeps rows and reports their changes."""


def encode_value(value: object) -> msgspec.Raw:
    """Encode a value as it is stored in a row."""
    return msgspec.Raw(msgspec.json.encode(value))
