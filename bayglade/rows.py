"""Rows of the platform's table: what they are, and what is asked of whoever keeps them."""

from typing import Protocol

import msgspec

from bayglade.ids import UNKNOWN_EPOCH, StoreEpoch

ABSENT = 0
"""The version of a row that does not exist."""


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A point in the history of a store; versions alone cannot be compared across epochs."""

    epoch: StoreEpoch
    version: int


def was_restored(before: Position | None, after: Position) -> bool:
    """Tell whether a store came back from an older copy between two positions.

    :param before: up to where a table was known; nothing when it was not.
    :param after: up to where it was read whole since.
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
        """Return the point in the store's history at which it was written."""
        return Position(self.epoch, self.version)

    def condition(self, key: str) -> "Condition":
        """Return the condition that the row is still as it was read.

        :param key: its key.
        """
        return Condition(key, self.version, self.epoch)


class Condition(msgspec.Struct, frozen=True, omit_defaults=True):
    """Holds when the row has just this version."""

    key: str
    version: int
    epoch: StoreEpoch = UNKNOWN_EPOCH
    """The epoch of the store in which that version was read: it may stand for another row since."""


class Write(msgspec.Struct, frozen=True):
    """Sets the value of a row."""

    key: str
    value: msgspec.Raw


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together, when all conditions hold."""

    conditions: list[Condition]
    writes: list[Write]
    removes: list[str] = []
    """Keys of rows that are removed; each has a condition, which names its version."""


class TransactionResult(msgspec.Struct, frozen=True):
    """Whether a transaction took effect, and the rows that stood against it."""

    committed: bool
    conflicts: list[str] = []
    epoch: StoreEpoch = UNKNOWN_EPOCH
    """The epoch of the store that answered."""


class Changes(msgspec.Struct, frozen=True):
    """Rows of one table as of a version; a key without a value is a row that was removed."""

    rows: dict[str, msgspec.Raw | None]
    version: int
    epoch: StoreEpoch = UNKNOWN_EPOCH

    @property
    def position(self) -> Position:
        """Return the point in the store's history that they bring a table to."""
        return Position(self.epoch, self.version)


class RowStore(Protocol):
    """Whoever keeps the table's rows."""

    def read(self, keys: list[str]) -> dict[str, Row]:
        """Read the rows that exist among those asked for.

        :raises PlatformUnavailable: when the table does not answer.
        """

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Write rows together, when all conditions hold.

        :raises PlatformUnavailable: when nothing was written.
        :raises PlatformAnswerLost: when it may have taken effect.
        """


class ChangeFeed(Protocol):
    """Whoever tells of changes to the rows of a table."""

    def snapshot(self, table: str) -> Changes:
        """Read all rows of a table.

        :raises PlatformUnavailable: when the table does not answer.
        """

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        """Wait for rows that changed after a position.

        :param wait: seconds after which an empty answer comes.
        :raises HistoryGone: when that position is too old, or not in the store's history.
        :raises PlatformUnavailable: when the table does not answer.
        """


class Table(RowStore, ChangeFeed, Protocol):
    """Whoever keeps rows and tells of their changes."""


def raw(value: object) -> msgspec.Raw:
    """Encode a value as it lies in a row."""
    return msgspec.Raw(msgspec.json.encode(value))
