"""Listing: how the platform's list of backend servers gets into the fleet, row by row."""

from collections.abc import Callable

import eventlet
import msgspec

from bayglade import logs
from bayglade.clock import now
from bayglade.exceptions import InvalidSettings
from bayglade.feeds import Feed
from bayglade.fleet import LAPSE_GRACE_SECONDS, Fleet
from bayglade.ids import BackendId
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.rows import Changes, Position, was_restored
from bayglade.servers import ServerFacts

RETRY_SECONDS = 1.0
"""Seconds between looks at entries that lapsed while the store stays away."""
STRANGE_LINES_PER_SECOND = 5.0
"""Log lines a second on entries that no server wrote; anybody may write any number of them."""

Decode = Callable[[str, msgspec.Raw], ServerFacts]
"""Reads the row of a server; raises InvalidSettings when no server wrote it so."""


class Listing:
    """Takes rows of servers into a fleet.

    :param fleet: the servers.
    :param decode: reads a row.
    :param bound: seconds within which word of a leaving server must be known.
    :param metrics: counts what is strange.
    """

    def __init__(self, fleet: Fleet, decode: Decode, bound: float, metrics: Metrics) -> None:
        self.fleet = fleet
        self.decode = decode
        self.bound = bound
        self.metrics = metrics
        self.tell_strange = logs.limited(STRANGE_LINES_PER_SECOND)
        self.feed: Feed
        """Whoever brings the rows; set once it is made."""

        self.position: Position | None = None
        """Up to where the list was taken in."""

        self.behind = False
        """Whether the list is older than its bound, though the store answers."""

    def __repr__(self) -> str:
        return f"<Listing of {self.fleet!r}>"

    def apply_changes(self, changes: Changes, whole: bool) -> None:
        """Take in rows.

        :param changes: rows that changed; nothing for those that were removed.
        :param whole: whether they are the whole list.
        """
        listed: list[ServerFacts] = []
        gone: list[BackendId] = []
        strange: dict[BackendId, str] = {}
        for key, value in changes.rows.items():
            if value is None:
                gone.append(BackendId(key))
                continue
            try:
                listed.append(self.decode(key, value))
            except InvalidSettings as error:
                strange[BackendId(key)] = error.message
                self.metrics.count("strange_server_rows")
                self.tell_strange(
                    "WARNING", "entry is not the server's own", peer=key, reason=error.message
                )
        outage = self._grace_left() > 0
        before, self.position = self.position, changes.position
        if whole:
            self.fleet.apply_snapshot(listed, outage, strange, was_restored(before, changes.position))
        else:
            self.fleet.apply_changes(listed, gone, outage, strange)
        if self.fleet.lapsed:
            eventlet.spawn_after(max(0.0, self._grace_left()), self._drop_lapsed)

    def tell_behind(self, settings_age: float) -> None:
        """Log when the list gets too old while the store answers for the settings, and when that is over:
        calls may go to servers that have said they leave.

        :param settings_age: seconds since the settings were surely the newest.
        """
        age = self.feed.age()
        behind = age > self.bound and settings_age <= self.bound
        if behind != self.behind:
            self.behind = behind
            level, text = ("WARNING", "servers behind") if behind else ("INFO", "servers caught up")
            event(level, text, age=round(age, 2), bound=self.bound, position=self.feed.position)

    def _grace_left(self) -> float:
        """Return for how long entries that lapsed in an outage may still come back."""
        return self.feed.recovered_at + LAPSE_GRACE_SECONDS - now()

    def _drop_lapsed(self) -> None:
        # The store may be lost again by now, and then back later.
        if self.feed.failing_since is None and self._grace_left() <= 0:
            self.fleet.drop_lapsed()
        elif self.fleet.lapsed:
            eventlet.spawn_after(max(RETRY_SECONDS, self._grace_left()), self._drop_lapsed)
