"""Leases: one daemon at a time holds a right, with an epoch that only grows.

A lease is a row of the platform's table. Its holder writes the row anew to
renew it; another daemon takes it over only after it has seen the row unchanged
for the whole duration and a margin, on its own clock. No clock is compared
with another's. The holder counts its time from before the write was sent, so
that it stops before anybody else can begin.
"""

from enum import Enum

import msgspec

from bayglade.clock import now
from bayglade.exceptions import PlatformAnswerLost
from bayglade.ids import MemberId
from bayglade.logs import event
from bayglade.rows import ABSENT, Condition, RowStore, Transaction, Write, raw

DURATION = 6.0
MARGIN = 2.0
RENEW_AFTER = 2.0


class LeaseRow(msgspec.Struct, frozen=True):
    """A lease as it lies in the table."""

    holder: MemberId
    epoch: int
    released: bool = False


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
    ) -> None:
        self.platform = platform
        self.key = f"leases/{name}"
        self.me = me
        self.duration = duration
        self.margin = margin
        self.epoch = 0
        self.version = ABSENT
        self.good_until = 0.0
        self.seen_version = -1
        self.seen_at = 0.0

    def __repr__(self) -> str:
        return f"<Lease {self.key} {self.state().value} epoch={self.epoch}>"

    def state(self) -> LeaseState:
        """Tell whether this daemon holds the lease at this moment."""
        if now() < self.good_until:
            return LeaseState.HELD
        return LeaseState.OTHERS if self.seen_version > 0 else LeaseState.FREE

    def seconds_left(self) -> float:
        """Return how long the holder may still act; zero or less when it may not."""
        return self.good_until - now()

    def keep(self) -> bool:
        """Take the lease when it is free, renew it when it is due.

        :return: whether it is held.
        :raises PlatformUnavailable: when the table does not answer.
        """
        if self.seconds_left() > max(self.duration - RENEW_AFTER, self.duration / 2):
            return True
        row = self.platform.read([self.key]).get(self.key)
        found = self._decoded(row.value) if row is not None else None
        version = row.version if row is not None else ABSENT
        if found is not None and found.holder == self.me and found.epoch == self.epoch and self.epoch:
            return self._write(version, LeaseRow(self.me, self.epoch))
        if row is None or (found is not None and found.released) or self._unchanged(version):
            before = found.epoch if found is not None else self.epoch
            return self._write(version, LeaseRow(self.me, before + 1))
        return False

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
        self._transact(LeaseRow(self.me, self.epoch, released=True))

    def _unchanged(self, version: int) -> bool:
        """Tell whether the row has been seen the same for longer than it may last."""
        if version != self.seen_version:
            self.seen_version, self.seen_at = version, now()
            return False
        return now() - self.seen_at > self.duration + self.margin

    def _write(self, version: int, row: LeaseRow) -> bool:
        asked = now()
        self.version = version
        try:
            won = self._transact(row)
        except PlatformAnswerLost:
            # Whether it is held shows at the next read of the row.
            self.epoch = row.epoch
            return False
        if won:
            self.epoch = row.epoch
            self.good_until = asked + self.duration
        return won

    def _transact(self, row: LeaseRow) -> bool:
        transaction = Transaction(
            conditions=[Condition(self.key, self.version)],
            writes=[Write(self.key, raw(row))],
        )
        won = self.platform.transact(transaction).committed
        self.version += won
        return won
