"""Leases: exclusive rights that one daemon at a time holds, each with an epoch that only grows.

A lease is a row in the platform's store. The holder renews it by rewriting the
row; another daemon takes it over only after it has seen the row unchanged, on
its own clock, for the whole duration and a margin. Clocks of different daemons
are never compared. The holder counts the duration from before it sent the
write, so that it stops before another daemon can begin.

A store that was restored from an older copy may show the row as it was before
the current holder took the lease, so nobody else takes it until that holder
must have stopped.
"""

from enum import Enum

import msgspec

from bayglade.clock import now
from bayglade.decoding import Count, decode_json
from bayglade.epochs import StoreHistory
from bayglade.exceptions import InvalidSettings, PlatformAnswerLost
from bayglade.ids import UNKNOWN_EPOCH, MemberId, StoreEpoch
from bayglade.logs import event
from bayglade.rows import ABSENT, Condition, Position, Row, RowStore, Transaction, Write, encode_value

DURATION = 6.0
TAKEOVER_MARGIN = 2.0
RENEW_AFTER = 2.0
EPOCHS_SKIPPED_AFTER_RESTORE = 100
"""How far the epoch jumps ahead after the store was restored: more epochs than may have been given out
since the copy was made."""


class LeaseRow(msgspec.Struct, frozen=True):
    """A lease as stored in the platform's table."""

    holder: MemberId
    epoch: Count
    released: bool = False
    written_in: StoreEpoch = UNKNOWN_EPOCH
    """The store's epoch when the row was written. It is lower than the store's current epoch if the row
    comes from an older copy."""


class LeaseState(Enum):
    """Whether this daemon may act under a lease."""

    FREE = "free"
    HELD = "held"
    HELD_BY_OTHER = "others"


class Lease:
    """One lease as seen by one daemon; times are monotonic seconds."""

    def __init__(
        self,
        platform: RowStore,
        name: str,
        member: MemberId,
        duration: float = DURATION,
        margin: float = TAKEOVER_MARGIN,
        history: StoreHistory | None = None,
    ) -> None:
        self.platform = platform
        self.key = f"leases/{name}"
        self.member = member
        self.duration = duration
        self.margin = margin
        self.epoch = 0
        self.history = history if history is not None else StoreHistory()
        self.highest_epoch = 0
        """The highest lease epoch seen in the row."""

        self.condition = Condition(self.key, ABSENT)
        """Holds while the row is as this daemon last read or wrote it."""

        self.store_epoch = UNKNOWN_EPOCH
        """The store's epoch when this daemon last took or renewed the lease."""

        self.valid_until = 0.0
        self.seen: Position | None = None
        self.seen_at = 0.0
        self.seen_invalid = False
        """Whether the row has been invalid since it was seen."""

    def __repr__(self) -> str:
        return f"<Lease {self.key} {self.state().value} epoch={self.epoch}>"

    def state(self) -> LeaseState:
        """Return whether this daemon holds the lease now, and if not, whether another one may."""
        if now() < self.valid_until:
            return LeaseState.HELD
        known = self.seen is not None and self.seen.version > ABSENT
        return LeaseState.HELD_BY_OTHER if known else LeaseState.FREE

    def seconds_left(self) -> float:
        """Return how long this daemon may still act under the lease; not positive if it may not."""
        return self.valid_until - now()

    def acquire_or_renew(self) -> bool:
        """Acquire the lease if it is free, or renew it if renewal is due.

        :return: whether this daemon holds it.
        :raises PlatformUnavailable: when the store does not answer.
        """
        current = self.store_epoch == self.history.epoch
        if current and self.seconds_left() > max(self.duration - RENEW_AFTER, self.duration / 2):
            return True
        row = self.platform.read([self.key]).get(self.key)
        found = self._decode(row.value) if row is not None else None
        condition = row.condition(self.key) if row is not None else Condition(self.key, ABSENT)
        self.highest_epoch = max(self.highest_epoch, self.epoch, found.epoch if found is not None else 0)
        lost = self._may_be_lost(row, found)
        if self._is_own(found) and (not lost or self.seconds_left() > 0):
            return self._write(condition, self.epoch)
        if lost and self.seconds_left() > 0:
            # Other daemons that read the row must see who holds the lease.
            return self._write(condition, self.epoch)
        free = row is None or (found is not None and found.released)
        if (free and not lost) or self._expired(row, found):
            unknown = lost or (found is None and self.history.restored_at is not None)
            return self._write(
                condition, self.highest_epoch + (EPOCHS_SKIPPED_AFTER_RESTORE if unknown else 1)
            )
        return False

    def _is_own(self, found: LeaseRow | None) -> bool:
        """Tell whether the row names this daemon as the holder, with the epoch that it holds."""
        return found is not None and found.holder == self.member and found.epoch == self.epoch > 0

    def _may_be_lost(self, row: Row | None, found: LeaseRow | None) -> bool:
        """Tell whether a write of the row may have been lost when the store was restored."""
        restored_at = self.history.restored_at
        if restored_at is not None and now() - restored_at <= self.duration + self.margin:
            return True
        return row is not None and found is not None and UNKNOWN_EPOCH < found.written_in < row.epoch

    def _decode(self, value: msgspec.Raw) -> LeaseRow | None:
        """Decode the row; ``None`` if it is invalid.

        An invalid row is treated as a lease of an unknown holder, which has to expire.
        """
        try:
            return decode_json(value, LeaseRow, "the row of a lease", "lease")
        except InvalidSettings as error:
            event("WARNING", "lease makes no sense", key=self.key, error=error.message)
            return None

    def release(self) -> None:
        """Release the lease, so that another daemon need not wait until it expires.

        :raises PlatformUnavailable: when the store does not answer; the lease then expires by itself.
        """
        if self.state() is not LeaseState.HELD:
            return
        self.valid_until = 0.0
        self._transact(self.epoch, released=True)

    def _expired(self, row: Row | None, found: LeaseRow | None) -> bool:
        """Tell whether the row has been seen unchanged for longer than the lease lasts.

        A row that is invalid renews no lease, however often another writer changes it.
        """
        position = row.position if row is not None else Position(self.history.epoch, ABSENT)
        is_invalid = row is not None and found is None
        if position != self.seen and not (is_invalid and self.seen_invalid):
            self.seen, self.seen_at, self.seen_invalid = position, now(), is_invalid
            return False
        return now() - self.seen_at > self.duration + self.margin

    def _write(self, condition: Condition, epoch: int) -> bool:
        asked = now()
        self.condition = condition
        try:
            won = self._transact(epoch)
        except PlatformAnswerLost:
            # The next read of the row shows whether the write took effect.
            self.epoch = epoch
            return False
        if won:
            self.epoch = epoch
            self.valid_until = asked + self.duration
            self.store_epoch = self.history.epoch
        return won

    def _transact(self, epoch: int, released: bool = False) -> bool:
        row = LeaseRow(self.member, epoch, released, self.history.epoch)
        won = self.platform.transact(
            Transaction([self.condition], [Write(self.key, encode_value(row))])
        ).committed
        if won:
            self.condition = msgspec.structs.replace(self.condition, version=self.condition.version + 1)
        return won
