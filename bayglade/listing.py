"""Listing: applies the platform's list of backend servers to the fleet."""

from collections.abc import Callable

import eventlet
import msgspec

from bayglade import logs
from bayglade.clock import now
from bayglade.decoding import decode_each
from bayglade.feeds import Feed
from bayglade.fleet import LAPSE_GRACE_SECONDS, Fleet
from bayglade.ids import BackendId
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.rows import Changes, Position, was_restored
from bayglade.servers import ServerFacts

RETRY_SECONDS = 1.0
"""Seconds between checks of expired entries while the store is unavailable."""
INVALID_ENTRY_LOGS_PER_SECOND = 5.0
"""Maximum log lines per second about invalid entries, since other writers may write any number of them."""

Decode = Callable[[str, msgspec.Raw], ServerFacts]
"""Decodes the row of a server; raises InvalidSettings if the server can't have written it."""


class Listing:
    """Applies rows of the list to a fleet.

    :param fleet: the servers.
    :param decode: decodes a row.
    :param bound: seconds within which a daemon must learn that a server is leaving.
    :param metrics: counts invalid rows.
    """

    def __init__(self, fleet: Fleet, decode: Decode, bound: float, metrics: Metrics) -> None:
        self.fleet = fleet
        self.decode = decode
        self.bound = bound
        self.metrics = metrics
        self.log_invalid_entry = logs.rate_limited(INVALID_ENTRY_LOGS_PER_SECOND)
        self.feed: Feed
        """The feed that delivers the rows; set after creation."""

        self.position: Position | None = None
        """Position up to which the list has been applied."""

        self.stale = False
        """Whether the list is older than its bound although the store answers."""

    def __repr__(self) -> str:
        return f"<Listing of {self.fleet!r}>"

    def apply_changes(self, changes: Changes, whole: bool) -> None:
        """Apply rows to the fleet.

        :param changes: rows that changed; ``None`` for a row that was removed.
        :param whole: whether the rows are the whole list.
        """
        decoded = decode_each(changes.rows, self.decode)
        listed, gone = list(decoded.found.values()), [BackendId(key) for key in decoded.removed]
        invalid = {BackendId(key): reason for key, reason in decoded.invalid.items()}
        for backend, reason in invalid.items():
            self.metrics.count("strange_server_rows")
            self.log_invalid_entry("WARNING", "entry is not the server's own", peer=backend, reason=reason)
        outage = self._grace_left() > 0
        before, self.position = self.position, changes.position
        if whole:
            self.fleet.apply_snapshot(listed, outage, invalid, was_restored(before, changes.position))
        else:
            self.fleet.apply_changes(listed, gone, outage, invalid)
        if self.fleet.lapsed:
            eventlet.spawn_after(max(0.0, self._grace_left()), self._drop_lapsed)

    def log_staleness(self, settings_age: float) -> None:
        """Log when the list becomes stale while the settings do not, and when it is current again.

        While it is stale, calls may go to servers that have announced that they leave.

        :param settings_age: seconds since the settings were last known to be the newest.
        """
        age = self.feed.age()
        stale = age > self.bound and settings_age <= self.bound
        if stale != self.stale:
            self.stale = stale
            level, text = ("WARNING", "servers behind") if stale else ("INFO", "servers caught up")
            event(level, text, age=round(age, 2), bound=self.bound, position=self.feed.position)

    def _grace_left(self) -> float:
        """Return for how many seconds entries that expired in an outage may still come back."""
        return self.feed.recovered_at + LAPSE_GRACE_SECONDS - now()

    def _drop_lapsed(self) -> None:
        # The store may have become unavailable again, and the grace period then starts anew.
        if self.feed.failing_since is not None:
            if self.fleet.lapsed:
                eventlet.spawn_after(max(RETRY_SECONDS, self._grace_left()), self._drop_lapsed)
        elif (left := self._grace_left()) > 0:
            eventlet.spawn_after(left, self._drop_lapsed)
        else:
            self.fleet.drop_lapsed()
