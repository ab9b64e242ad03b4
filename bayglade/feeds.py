"""Feeds: follow a table of the platform, and know how old the knowledge is.

A feed reads the table whole, then waits for changes. It starts anew when the
history it needs is gone. ``known_at`` is a time before which everything that was
acknowledged is known here: the time just before the last answered call was sent,
or, when its whole wait passed without a change, the end of that wait.
"""

from collections.abc import Callable

import eventlet

from bayglade.clock import now
from bayglade.exceptions import HistoryGone, PlatformUnavailable
from bayglade.logs import event
from bayglade.rows import ChangeFeed, Changes

FIRST_PAUSE = 0.05
MAX_PAUSE = 0.4
"""Seconds between calls that fail: short against the bounds on news, long for a store in trouble."""

OLDEST_OF_WAIT = 1.3
"""Age that knowledge reaches at most while the store answers, in waits: after a change that
came late in its wait the next call waits for less."""
LEAST_WAIT = 0.1

Apply = Callable[[Changes, bool], None]
"""Takes changes in; the flag tells that they are the whole table."""


class Feed:
    """One table as followed by one daemon; times are monotonic seconds.

    :param store: whoever tells of changes.
    :param table: the table's name.
    :param wait: seconds a call may wait for a change; bounds the age of what is known.
    :param apply: takes changes in.
    :param pause: seconds after changes in which more of them gather for one call.
    """

    def __init__(
        self, store: ChangeFeed, table: str, wait: float, apply: Apply, pause: float = 0.0
    ) -> None:
        self.store = store
        self.table = table
        self.wait = wait
        self.apply = apply
        self.pause = pause
        self.version: int | None = None
        self.known_at = 0.0
        self.failing_since: float | None = None
        self.recovered_at = 0.0
        self.on_lost: Callable[[], None] | None = None
        """Told when the store stops answering here."""

        self.task: eventlet.greenthread.GreenThread | None = None

    def __repr__(self) -> str:
        return f"<Feed {self.table} version={self.version} age={self.age():.1f}>"

    def age(self) -> float:
        """Return the seconds since what is known here was surely the newest."""
        return now() - self.known_at

    def start(self) -> None:
        """Follow the table in a task of its own; a task that runs already is replaced."""
        if self.task is not None:
            self.task.kill()
        self.task = eventlet.spawn(self.run)

    def interrupt(self) -> None:
        """Start the present call anew: another feed found the store lost."""
        self.failing_since = self.failing_since or now()
        self.start()

    def run(self) -> None:
        """Follow the table for ever."""
        pause = FIRST_PAUSE
        while True:
            try:
                self._step()
            except HistoryGone:
                event("WARNING", "history gone", table=self.table, version=self.version)
                self.version = None
            except PlatformUnavailable as error:
                self._failed(error)
                eventlet.sleep(pause)
                pause = min(MAX_PAUSE, 2 * pause)
            else:
                pause = FIRST_PAUSE

    def _step(self) -> None:
        asked, wait = now(), 0.0
        whole = self.version is None
        if self.version is None:
            changes = self.store.snapshot(self.table)
        else:
            wait = self._next_wait()
            changes = self.store.changes(self.table, self.version, wait)
        if self.failing_since is not None:
            event("INFO", "store regained", table=self.table, out=round(now() - self.failing_since, 2))
            self.failing_since = None
            self.recovered_at = now()
        self.version = changes.version
        quiet = not whole and not changes.rows and now() - asked >= wait
        self.known_at = asked + wait if quiet else asked
        if whole or changes.rows:
            self.apply(changes, whole)
            eventlet.sleep(self.pause)

    def _next_wait(self) -> float:
        """Return how long the next call may wait for a change."""
        return min(self.wait, max(LEAST_WAIT, OLDEST_OF_WAIT * self.wait - self.age()))

    def _failed(self, error: PlatformUnavailable) -> None:
        if self.failing_since is None:
            self.failing_since = now()
            event("WARNING", "store lost", table=self.table, error=repr(error))
            if self.on_lost is not None:
                self.on_lost()
