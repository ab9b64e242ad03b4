"""Leases: one daemon at a time holds a right, with an epoch that only grows.

A lease is a row of the platform's table. Its holder writes the row anew to
renew it; another daemon takes it over only after it has seen the row unchanged
for the whole duration and a margin, on its own clock. No clock is compared
with another's. The holder counts its time from before the write was sent, so
that it stops before anybody else can begin.

A store that was restored from an older copy may show the row as it was before
somebody took the lease: nobody else takes it until that one must have stopped.
"""

from enum import Enum

import msgspec

from bayglade.clock import now
from bayglade.epochs import StoreHistory
from bayglade.exceptions import PlatformAnswerLost
from bayglade.ids import UNKNOWN_EPOCH, MemberId, StoreEpoch
from bayglade.logs import event
from bayglade.rows import ABSENT, Condition, Position, Row, RowStore, Transaction, Write, encode_value

DURATION = 6.0
MARGIN = 2.0
RENEW_AFTER = 2.0
LOST_EPOCHS = 100
"""Epochs that are left out after the store was restored: more than are handed out since a copy."""


class LeaseRow(msgspec.Struct, frozen=True):
    """A lease as it lies in the table."""

    holder: MemberId
    epoch: int
    released: bool = False
    written_in: StoreEpoch = UNKNOWN_EPOCH
    """The epoch of the store in which it was written; one of an older copy is below the store's."""


class LeaseState(Enum):
    """Whether this daemon may act under a lease."""

    FREE = "free"
    HELD = "held"
    OTHERS = "others"


class Lease:
    """One lease as one daemon sees it; times are monotonic seconds."""

    def __init__(
        self,
        platform: RowStore,
        name: str,
        me: MemberId,
        duration: float = DURATION,
        margin: float = MARGIN,
        history: StoreHistory | None = None,
    ) -> None:
        self.platform = platform
        self.key = f"leases/{name}"
        self.me = me
        self.duration = duration
        self.margin = margin
        self.epoch = 0
        self.history = history if history is not None else StoreHistory()
        self.highest = 0
        """The highest epoch seen in the row."""

        self.condition = Condition(self.key, ABSENT)
        """That the row is still as this daemon read or wrote it last."""

        self.held_in = UNKNOWN_EPOCH
        """The epoch of the store in which it was taken or renewed."""

        self.good_until = 0.0
        self.seen: Position | None = None
        self.seen_at = 0.0

    def __repr__(self) -> str:
        return f"<Lease {self.key} {self.state().value} epoch={self.epoch}>"

    def state(self) -> LeaseState:
        """Tell whether this daemon holds the lease at this moment."""
        if now() < self.good_until:
            return LeaseState.HELD
        known = self.seen is not None and self.seen.version > ABSENT
        return LeaseState.OTHERS if known else LeaseState.FREE

    def seconds_left(self) -> float:
        """Return how long the holder may still act; zero or less when it may not."""
        return self.good_until - now()

    def keep(self) -> bool:
        """Take the lease when it is free, renew it when it is due.

        :return: whether it is held.
        :raises PlatformUnavailable: when the table does not answer.
        """
        current = self.held_in == self.history.epoch
        if current and self.seconds_left() > max(self.duration - RENEW_AFTER, self.duration / 2):
            return True
        row = self.platform.read([self.key]).get(self.key)
        found = self._decoded(row.value) if row is not None else None
        condition = row.condition(self.key) if row is not None else Condition(self.key, ABSENT)
        self.highest = max(self.highest, self.epoch, found.epoch if found is not None else 0)
        lost = self._lost(row, found)
        if self._mine(found) and (not lost or self.seconds_left() > 0):
            return self._write(condition, self.epoch)
        if lost and self.seconds_left() > 0:
            # Whoever else reads the row has to see who holds the lease.
            return self._write(condition, self.epoch)
        free = row is None or (found is not None and found.released)
        if (free and not lost) or self._unchanged(row):
            unknown = lost or (found is None and self.history.restored_at is not None)
            return self._write(condition, self.highest + (LOST_EPOCHS if unknown else 1))
        return False

    def _mine(self, found: LeaseRow | None) -> bool:
        """Tell whether the row says that this daemon holds the lease."""
        return found is not None and found.holder == self.me and found.epoch == self.epoch > 0

    def _lost(self, row: Row | None, found: LeaseRow | None) -> bool:
        """Tell whether a write of the row may have been lost by a store that was restored."""
        restored_at = self.history.restored_at
        if restored_at is not None and now() - restored_at <= self.duration + self.margin:
            return True
        return row is not None and found is not None and UNKNOWN_EPOCH < found.written_in < row.epoch

    def _decoded(self, value: msgspec.Raw) -> LeaseRow | None:
        """Read the row; one that another writer left is a lease of nobody known, to be waited out."""
        try:
            return msgspec.json.decode(value, type=LeaseRow)
        except (msgspec.DecodeError, RecursionError) as error:
            event("WARNING", "lease makes no sense", key=self.key, error=str(error))
            return None

    def release(self) -> None:
        """Give the lease back, so that the next daemon need not wait for its end.

        :raises PlatformUnavailable: when the table does not answer; it then lapses.
        """
        if self.state() is not LeaseState.HELD:
            return
        self.good_until = 0.0
        self._transact(self.epoch, released=True)

    def _unchanged(self, row: Row | None) -> bool:
        """Tell whether the row has been seen the same for longer than it may last."""
        position = row.position if row is not None else Position(self.history.epoch, ABSENT)
        if position != self.seen:
            self.seen, self.seen_at = position, now()
            return False
        return now() - self.seen_at > self.duration + self.margin

    def _write(self, condition: Condition, epoch: int) -> bool:
        asked = now()
        self.condition = condition
        try:
            won = self._transact(epoch)
        except PlatformAnswerLost:
            # Whether it is held shows at the next read of the row.
            self.epoch = epoch
            return False
        if won:
            self.epoch = epoch
            self.good_until = asked + self.duration
            self.held_in = self.history.epoch
        return won

    def _transact(self, epoch: int, released: bool = False) -> bool:
        row = LeaseRow(self.me, epoch, released, self.history.epoch)
        won = self.platform.transact(
            Transaction([self.condition], [Write(self.key, encode_value(row))])
        ).committed
        if won:
            self.condition = msgspec.structs.replace(self.condition, version=self.condition.version + 1)
        return won
