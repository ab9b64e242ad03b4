"""Feeds: follow a table of the platform, and know how old the knowledge is.

A feed reads the table whole, then waits for changes. It starts anew when the
history it needs is gone, or the store was restored from an older copy: changes are
ordered by position, which is the version in an epoch of the store. ``known_at`` is a
time before which everything that was acknowledged is known here: the time just before
the last answered call was sent, or, when its whole wait passed without a change, the
end of that wait.

While another daemon tells of the table (see :mod:`bayglade.fanout`) and what it
tells is fresh, a feed makes no calls of its own.
"""

import random
from collections.abc import Callable, Iterable
from functools import partial

import eventlet
import msgspec
from eventlet.event import Event

from bayglade.clock import now
from bayglade.epochs import StoreHistory
from bayglade.exceptions import HistoryGone, PlatformUnavailable
from bayglade.freshness import rest_after
from bayglade.ids import UNKNOWN_EPOCH
from bayglade.logs import event, rate_limited
from bayglade.rows import ChangeFeed, Changes, Position, was_restored

FIRST_PAUSE = 0.05
MAX_PAUSE = 0.4
"""Seconds between calls that fail: short against the bounds on updates, long for a store in trouble."""

OTHERS_PAUSE = 4.0
OTHERS_MAX_PAUSE = 10.0
"""The same while another feed, which looks more often, finds the store lost too."""

PAUSE_SPREAD = 0.3
"""Part by which these pauses vary: daemons that lost the store together must not call it together."""

TURNED_AWAY_SECONDS = 4.0
"""For how long after a failed call a daemon leaves it to others to read the store, if they can."""

START_REST = 1.0
"""Seconds after the first reading of a table in which another daemon may begin to tell of it. Without
this, daemons that start together all follow the table until they have found each other."""

OLDEST_OF_WAIT = 1.3
"""Age that knowledge reaches at most while the store answers, in waits: after a change that
came late in its wait the next call waits for less."""
LEAST_WAIT = 0.1

DROPPED_LINES_PER_SECOND = 2.0
"""Log lines a second on updates that are not taken in: a daemon that is behind is told again and again."""

MAX_REMOVED = 1000
"""Removed rows that are remembered, so that others can be told of them."""

NOWHERE = Position(UNKNOWN_EPOCH, 0)
"""Before all that a store ever told."""

Rows = dict[str, msgspec.Raw | None]
"""Rows by key; nothing for one that was removed."""

Apply = Callable[[Changes, bool], None]
"""Takes changes in; the flag tells that they are the whole table."""


class Feed:
    """One table as followed by one daemon; times are monotonic seconds.

    :param store: whoever tells of changes.
    :param table: the table's name.
    :param wait: seconds a call may wait for a change; bounds the age of what is known.
    :param apply: takes changes in.
    :param pause: seconds after changes in which more of them gather for one call.
    :param history: the newest epoch of the store; one of its own when left out.
    """

    def __init__(
        self,
        store: ChangeFeed,
        table: str,
        wait: float,
        apply: Apply,
        pause: float = 0.0,
        history: StoreHistory | None = None,
    ) -> None:
        self.store = store
        self.table = table
        self.wait = wait
        self.apply = apply
        self.pause = pause
        self.history = history if history is not None else StoreHistory()
        self.history.on_restored.append(self._store_restored)
        self.position: Position | None = None
        """Up to where the table is known; nothing when it has to be read whole."""

        self.confirmed_at = 0.0
        """When the position was last known to be in the store's history."""

        self.known_at = 0.0
        self.quiet = False
        """Whether the last own call waited to its end without a change."""

        self.asked_at = 0.0
        """When the last own call was sent."""

        self.failing_since: float | None = None
        self.lost_at = 0.0
        """When an own call of the store failed last, unless one was answered since."""

        self.recovered_at = 0.0
        """When the store was back after it was last lost here."""

        self.scout: Feed | None = None
        """The feed that looks most often whether a lost store is back; nothing when it is this one."""

        self.on_lost: Callable[[], None] | None = None
        """Told when the store stops answering here."""

        self.on_answer: Callable[[], None] | None = None
        """Told after each answer of the store."""

        self.on_failing: Callable[[], None] | None = None
        """Told as well when the store stops answering here."""

        self.rest_seconds = 0.0
        """For how long what another daemon told is fresh enough to make no call; 0 for never."""

        self.rests_until = 0.0
        """No call is made before this time, whatever was told."""

        self.first_pause = FIRST_PAUSE
        """Time before the first call after one that failed, in seconds; doubled up to the longest."""

        self.max_pause = MAX_PAUSE
        """Longest time between calls that fail, in seconds."""

        self.failures = 0
        """Calls in a row that failed."""

        self.on_regained: Callable[[], None] | None = None
        """Told when the store answers here again."""

        self.back = Event()
        """Sent when it is worth looking at once whether to call the store."""

        self.told_at = 0.0
        """A time up to which what another daemon told of the table was surely the newest."""

        self.rows: dict[str, tuple[Position, msgspec.Raw | None]] = {}
        """The table as known here, rows that were removed among them, by the position they came with."""

        self.complete_from = NOWHERE
        """The position from which on all rows that were removed are remembered."""

        self.gone_after: Position | None = None
        """The position after which the history was gone, until the table has been read anew."""

        self.dropped = 0
        """Updates that were not taken in."""

        self.tell_dropped = rate_limited(DROPPED_LINES_PER_SECOND)
        self.rng = random.Random()
        self.task: eventlet.greenthread.GreenThread | None = None

    def __repr__(self) -> str:
        return f"<Feed {self.table} position={self.position} age={self.age():.1f}>"

    def age(self) -> float:
        """Return the seconds since what is known here was surely the newest."""
        return now() - self.known_at

    def start(self) -> None:
        """Follow the table in a task of its own; a task that runs already is replaced."""
        if self.task is not None:
            self.task.kill()
        self.task = eventlet.spawn(self.run)

    def interrupt(self) -> None:
        """Start the present call anew: another feed found the store lost, and nobody tells of it."""
        if self.failing_since is None and self.task is not None and self._rest_left() <= 0:
            self.failing_since = now()
            self.start()

    def run(self) -> None:
        """Follow the table for ever."""
        while True:
            if (rest := self._rest_left()) > 0:
                self._wait(rest)
                continue
            try:
                self._step()
            except HistoryGone:
                event("WARNING", "history gone", table=self.table, position=self.position)
                self.gone_after, self.position = self.position, None
            except PlatformUnavailable as error:
                self._failed(error)
                self._pause()

    def _step(self) -> None:
        asked, wait = now(), 0.0
        self.asked_at = asked
        after = self.position if self.current() else None
        whole = after is None
        if after is None:
            changes = self._positioned(self.store.snapshot(self.table), self.gone_after)
        else:
            wait = self._next_wait()
            changes = self._positioned(self.store.changes(self.table, after, wait), after)
            if was_restored(after, changes.position):
                raise HistoryGone("the store was restored", step="read", peer="store")
        self.lost_at, self.failures, self.confirmed_at = 0.0, 0, asked
        if self.failing_since is not None:
            event("INFO", "store regained", table=self.table, out=round(now() - self.failing_since, 2))
            self.recovered_at = self._store_returned(self.failing_since)
            self.failing_since = None
            if self.on_regained is not None:
                self.on_regained()
        self.quiet = not whole and not changes.rows and now() - asked >= wait
        self.known_at = max(self.known_at, asked + wait if self.quiet else asked)
        if whole:
            self.rests_until = now() + START_REST if self.rest_seconds else 0.0
        taken = self._take(changes, whole)
        if self.on_answer is not None:
            self.on_answer()
        if taken:
            eventlet.sleep(self.pause)

    def hear(
        self,
        changes: Changes,
        after: Position | None,
        known_at: float,
        recovered_at: float = 0.0,
    ) -> None:
        """Take in what another daemon knows of the table.

        What tells of a history that is over, or leaves something out, makes nothing fresher. What is
        known here already does: a table that was read later is known at a later version, though
        nothing in it has changed.

        :param changes: rows that changed, as of the other's position.
        :param after: the position they changed after; nothing when it is the whole table.
        :param known_at: a time before which everything acknowledged is in it.
        :param recovered_at: when the store was back for whoever read it, if it was lost.
        """
        self.history.note(changes.epoch)
        if changes.epoch < self.history.epoch:
            self._dropped("earlier epoch", changes, after)
            return
        if after is not None and not self._follows(after, changes):
            self._dropped("gap", changes, after)
            return
        if self._may_be_restored(changes, recovered_at) or self._stale(changes, self.gone_after):
            self._dropped("older", changes, after)
            return
        # Entries that lapsed in an outage are judged by when the store came back.
        self.recovered_at = max(self.recovered_at, recovered_at)
        if self.failing_since is not None:
            event("INFO", "store told of", table=self.table, out=round(now() - self.failing_since, 2))
            self.failing_since = None
            # A pause after a call that failed may last longer than the word of others is enough.
            self.ask_now()
        self.known_at = max(self.known_at, known_at)
        self.told_at = max(self.told_at, known_at)
        self._take(changes, after is None)

    def rest(self, told: bool) -> None:
        """Set whether what other daemons tell is enough, for as long as the table's bound allows.

        :param told: whether others tell; else the store is followed.
        """
        seconds = rest_after(self.wait) if told else 0.0
        if seconds == self.rest_seconds:
            return
        self.rest_seconds = seconds
        if not seconds:
            self.rests_until = 0.0
            self.ask_now()

    def since(self, after: Position | None) -> tuple[Changes, bool]:
        """Return what changed after a position, or the whole table where that is not known.

        :param after: the position; nothing for the whole table.
        :return: rows, and whether they are the whole table.
        """
        position = self.position or NOWHERE
        if after is not None and after.epoch == position.epoch and after >= self.complete_from:
            changed: Rows = {key: value for key, (at, value) in self.rows.items() if at > after}
            return Changes(changed, position.version, position.epoch), False
        whole: Rows = {key: value for key, (_, value) in self.rows.items() if value is not None}
        return Changes(whole, position.version, position.epoch), True

    def current(self) -> bool:
        """Tell whether the table is known, and as of the newest epoch of the store."""
        return self.position is not None and self.position.epoch >= self.history.epoch

    def _positioned(self, changes: Changes, known: Position | None) -> Changes:
        """Return an answer of the store with its place in the store's history.

        :param changes: the answer.
        :param known: up to where the table was known when the store was asked.
        :raises PlatformUnavailable: when it is of a history that is over, or older than what was known: an
            old connection or a late answer.
        """
        if changes.epoch == UNKNOWN_EPOCH:
            changes = msgspec.structs.replace(changes, epoch=self.history.epoch)
        self.history.note(changes.epoch)
        if changes.epoch < self.history.epoch:
            self._dropped("earlier epoch", changes, None)
            raise PlatformUnavailable("the answer is of an earlier epoch", step="read", peer="store")
        if self._stale(changes, known):
            self._dropped("older", changes, None)
            raise PlatformUnavailable("the answer is older than what is known", step="read", peer="store")
        return changes

    def _stale(self, changes: Changes, known: Position | None) -> bool:
        """Tell whether changes bring a table to less than what was known; versions of one epoch only grow.

        A store that does not name its epoch may have been restored instead.
        """
        if known is None or changes.epoch == UNKNOWN_EPOCH:
            return False
        return changes.position < known

    def _may_be_restored(self, changes: Changes, recovered_at: float) -> bool:
        """Tell whether changes below what is known here may come from a store that was restored.

        Where it names no epoch, only that it was away since tells such changes from a table that was just
        read earlier.

        :param recovered_at: when the store was back for whoever read them.
        """
        if self.position is None or changes.position >= self.position:
            return False
        return changes.epoch == UNKNOWN_EPOCH and recovered_at > self.confirmed_at

    def _follows(self, after: Position, changes: Changes) -> bool:
        """Tell whether changes after a position leave nothing out that is not known here."""
        return self.position is not None and after.epoch == changes.epoch and after <= self.position

    def _store_restored(self) -> None:
        """Read the table anew at once, unless another daemon tells of it."""
        # A feed that has no position is reading the table already.
        behind = self.position is not None and not self.current()
        if self.task is not None and behind and self._rest_left() <= 0:
            self.start()

    def _take(self, changes: Changes, whole: bool) -> bool:
        """Take in rows, unless newer ones came another way meanwhile; tell whether there were any."""
        if self.position is not None and changes.position < self.position:
            return False
        if self.position == changes.position and (whole or not changes.rows):
            return False
        self._note_restored(changes)
        self.position, self.confirmed_at = changes.position, now()
        self._remember(changes, whole)
        if not whole and not changes.rows:
            return False
        self.apply(changes, whole)
        return True

    def _note_restored(self, changes: Changes) -> None:
        """Note that a table comes from a restored store: rows that the copy lacks may be written again."""
        before = self.position or self.gone_after
        self.gone_after = None
        if not was_restored(before, changes.position):
            return
        self.recovered_at = max(self.recovered_at, self.history.restored_at or now())
        known = {key: bytes(value) for key, (_, value) in self.rows.items() if value is not None}
        read = {key: bytes(value) for key, value in changes.rows.items() if value is not None}
        event(
            "WARNING",
            "table read anew",
            table=self.table,
            before=before,
            position=changes.position,
            missing=len(known.keys() - read.keys()),
            added=len(read.keys() - known.keys()),
            changed=sum(read[key] != known[key] for key in known.keys() & read.keys()),
        )

    def _dropped(self, reason: str, changes: Changes, after: Position | None) -> None:
        """Count and log an update that is not taken in."""
        self.dropped += 1
        self.tell_dropped(
            "INFO",
            "update dropped",
            table=self.table,
            reason=reason,
            position=changes.position,
            after=after,
            known=self.position,
            epoch=self.history.epoch,
            rows=len(changes.rows),
        )

    def _remember(self, changes: Changes, whole: bool) -> None:
        if whole:
            self.rows.clear()
            self.complete_from = changes.position
        self.rows.update((key, (changes.position, value)) for key, value in changes.rows.items())
        removed = sorted((at, key) for key, (at, value) in self.rows.items() if value is None)
        for at, key in removed[: max(0, len(removed) - MAX_REMOVED)]:
            del self.rows[key]
            self.complete_from = max(self.complete_from, at)

    def _rest_left(self) -> float:
        """Return for how long no call is needed, by what another daemon tells."""
        if self.position is None or not self.rest_seconds:
            return 0.0
        return max(self.rests_until, self.told_at + self.rest_seconds) - now()

    def ask_now(self) -> None:
        """Look again without more delay whether to call the store: it answers elsewhere."""
        if self.failing_since is not None:
            event("INFO", "feed woken", table=self.table)
        if not self.back.ready():
            self.back.send()

    def _store_returned(self, lost_at: float) -> float:
        """Return when the store was back, by whichever feed noticed first.

        :param lost_at: when this feed lost it.
        """
        if self.scout is not None and self.scout.recovered_at > lost_at:
            return self.scout.recovered_at
        return now()

    def _pause(self) -> None:
        """Wait after a call that failed, longer after each in a row."""
        lost = self._lost_everywhere()
        first, longest = (OTHERS_PAUSE, OTHERS_MAX_PAUSE) if lost else (self.first_pause, self.max_pause)
        seconds = min(longest, first * 2.0 ** (self.failures - 1))
        seconds *= self.rng.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
        # Which table is behind, and for how long still, cannot be told from the first failure.
        took = round(now() - self.asked_at, 2)
        event("INFO", "store call failed", table=self.table, took=took, pause=round(seconds, 2))
        if not lost:
            self._wait(seconds)
            return
        until = now() + seconds
        while self._lost_everywhere() and now() < until:
            # The scout wakes this feed, but for when another daemon tells the scout of the store: found
            # out so, a list of servers is not 4 to 10 s behind.
            self._wait(min(MAX_PAUSE, until - now()))

    def _lost_everywhere(self) -> bool:
        """Tell whether the scout finds the store lost too."""
        return self.scout is not None and self.scout.failing_since is not None

    def _wait(self, seconds: float) -> None:
        """Wait before the next call, less when it is worth looking sooner."""
        self.back = Event()
        with eventlet.Timeout(seconds, False):
            self.back.wait()

    def _next_wait(self) -> float:
        """Return how long the next call may wait for a change."""
        wait = min(self.wait, max(LEAST_WAIT, OLDEST_OF_WAIT * self.wait - self.age()))
        # At rest waits end at whole multiples on the clock, so that those of several tables end together
        # and one message tells of all, which wakes followers less often.
        left = self.wait - now() % self.wait
        return min(wait, left) if self.quiet and left >= LEAST_WAIT else wait

    def turned_away(self) -> bool:
        """Tell whether the store did not answer an own call lately, though others may tell of it."""
        return self.lost_at > 0 and now() - self.lost_at < TURNED_AWAY_SECONDS

    def _failed(self, error: PlatformUnavailable) -> None:
        self.lost_at, self.quiet = now(), False
        self.failures += 1
        if self.failing_since is None:
            self.failing_since = now()
            event("WARNING", "store lost", table=self.table, error=repr(error))
            if self.on_lost is not None:
                self.on_lost()
            if self.on_failing is not None:
                self.on_failing()


def look_together(feeds: Iterable[Feed]) -> None:
    """Have all feeds of one store look at it anew when one of them finds it lost, or back.

    :param feeds: the feeds; the first is the scout, which looks most often.
    """
    joined = list(feeds)

    def tell_others(lost: Feed) -> None:
        for feed in joined:
            if feed is not lost:
                feed.interrupt()

    def ask_others(regained: Feed) -> None:
        for feed in joined:
            if feed is not regained and feed.failing_since is not None:
                feed.ask_now()

    for feed in joined:
        feed.scout = joined[0] if feed is not joined[0] else None
        feed.on_lost = partial(tell_others, feed)
        feed.on_regained = partial(ask_others, feed)
