"""Feeds: follow a table of the platform's store by long polling, and track how current the copy is.

A feed reads a snapshot of the table and then waits for changes. It reads the snapshot again when
the history it needs has been discarded, or when the store was restored from a backup. Changes are
ordered by position: an epoch of the store and a version within it. ``known_at`` is a time such that
every write acknowledged before it is known here: the time just before the last answered call was
sent or, if that call waited its full time without a change, the end of that wait.

An error that is no failure of the store, in a call or in what applies the rows, doesn't end a feed
either: it counts as stopped, and applies its whole copy again until that succeeds.

While another daemon relays the table (see :mod:`bayglade.fanout`) and what it relays is fresh, a
feed makes no calls of its own.
"""

import random
import traceback
from collections.abc import Callable, Iterable
from functools import partial

import eventlet
import msgspec
from eventlet.event import Event

from bayglade.clock import now
from bayglade.epochs import StoreHistory
from bayglade.exceptions import HistoryGone, PlatformUnavailable
from bayglade.freshness import relay_validity
from bayglade.ids import UNKNOWN_EPOCH
from bayglade.logs import event, rate_limited
from bayglade.rows import ChangeFeed, Changes, Position, was_restored

INITIAL_RETRY_DELAY = 0.05
MAX_RETRY_DELAY = 0.4
"""Seconds between failing calls: short against the bounds on updates, long for a degraded store."""

SECONDARY_RETRY_DELAY = 4.0
MAX_SECONDARY_RETRY_DELAY = 10.0
"""The same while the probe feed, which retries more often, finds the store unavailable too."""

RETRY_JITTER = 0.3
"""Fraction by which these delays vary, so that daemons that lost the store together don't retry
together."""

RECENT_FAILURE_SECONDS = 4.0
"""Seconds after a failed call during which a daemon leaves reading the store to others, if they can."""

SNAPSHOT_REST_SECONDS = 1.0
"""Seconds after a snapshot during which another daemon may begin to relay the table. Without this, daemons
that start together would all follow the table until they have found each other."""

MAX_AGE_IN_WAITS = 1.3
"""Highest age of a table while the store answers, in multiples of the wait: after a change that arrived
late in its wait, the next call waits for a shorter time."""
MIN_WAIT = 0.1

DROPPED_LOGS_PER_SECOND = 2.0
"""Limit on log lines about rejected updates: a daemon that lags receives the same ones repeatedly."""

STOPPED_LOGS_PER_SECOND = 0.2

MAX_REMOVED_ROWS = 1000
"""Removed rows that are kept, so that other daemons can be told of the removal."""

ORIGIN = Position(UNKNOWN_EPOCH, 0)
"""The position before all changes."""

Rows = dict[str, msgspec.Raw | None]
"""Rows by key; None for a removed row."""

Apply = Callable[[Changes, bool], None]
"""Applies changes; the flag says whether they are a snapshot of the whole table."""


class Feed:
    """The copy of one table that a daemon keeps; times are monotonic seconds.

    :param store: where changes are read.
    :param table: the table's name.
    :param wait: seconds a call may wait for a change; bounds the age of the copy.
    :param apply: applies changes.
    :param batch_delay: seconds to sleep after changes, so that one call returns several of them.
    :param history: the newest known epoch of the store, shared between feeds; a new one if left out.
    """

    def __init__(
        self,
        store: ChangeFeed,
        table: str,
        wait: float,
        apply: Apply,
        batch_delay: float = 0.0,
        history: StoreHistory | None = None,
    ) -> None:
        self.store = store
        self.table = table
        self.wait = wait
        self.apply = apply
        self.batch_delay = batch_delay
        self.history = history if history is not None else StoreHistory()
        self.history.on_restored.append(self._store_restored)
        self.position: Position | None = None
        """Position of the local copy; None when a snapshot is needed."""

        self.confirmed_at = 0.0
        """When the position was last known to be in the store's history."""

        self.known_at = 0.0
        """Every write acknowledged before this time is in the local copy."""

        self.idle = False
        """Whether the last own call waited its full time without a change."""

        self.called_at = 0.0
        """When the last own call was sent."""

        self.failing_since: float | None = None
        self.lost_at = 0.0
        """When an own call to the store last failed; 0 once one has been answered."""

        self.recovered_at = 0.0
        """When the store last recovered from an outage that this feed noticed or was told of."""

        self.min_outage = 0.0
        """Seconds without an answer of the store, to any daemon heard of, from which on this is an outage.
        A connection that broke, or a daemon that lost the store alone, is none."""

        self.probe_feed: Feed | None = None
        """The feed that retries a failing store most often; None when it is this one."""

        self.on_lost: Callable[[], None] | None = None
        """Called when the store stops answering here."""

        self.on_answer: Callable[[], None] | None = None
        """Called after each answer of the store."""

        self.on_failing: Callable[[], None] | None = None
        """A second callback for when the store stops answering here."""

        self.relay_valid_seconds = 0.0
        """Seconds for which relayed updates count as fresh enough to make no call; 0 for never."""

        self.no_call_before = 0.0
        """No call is made before this time, whatever was relayed."""

        self.initial_retry_delay = INITIAL_RETRY_DELAY
        """Delay after the first failed call, in seconds; doubled with each further failure up to the
        longest."""

        self.max_retry_delay = MAX_RETRY_DELAY
        """Longest delay between failing calls, in seconds."""

        self.failures = 0
        """Consecutive calls that failed."""

        self.on_recovered: Callable[[], None] | None = None
        """Called when the store answers here again."""

        self.wake_event = Event()
        """Interrupts a delay: there is a reason to reconsider at once whether to call the store."""

        self.relayed_known_at = 0.0
        """Every write acknowledged before this time is in what another daemon relayed."""

        self.rows: dict[str, tuple[Position, msgspec.Raw | None]] = {}
        """The local copy with the position that each row came with; removed rows are included."""

        self.removals_known_from = ORIGIN
        """All rows removed after this position are still remembered."""

        self.history_gone_after: Position | None = None
        """The position after which the store's history was gone; None once a snapshot has been read."""

        self.dropped = 0
        """Updates that were rejected."""

        self.stopped_since: float | None = None
        """Since when the local copy has not been applied, or not been read, because of an unexpected error;
        None while the feed works."""

        self.errors = 0
        """Unexpected errors so far."""

        self.log_dropped = rate_limited(DROPPED_LOGS_PER_SECOND)
        self.log_stopped = rate_limited(STOPPED_LOGS_PER_SECOND)
        self.rng = random.Random()
        self.task: eventlet.greenthread.GreenThread | None = None

    def __repr__(self) -> str:
        return f"<Feed {self.table} position={self.position} age={self.age():.1f}>"

    def age(self) -> float:
        """Return the seconds since what was applied was known to be current."""
        applied_at = self.known_at if self.stopped_since is None else min(self.known_at, self.stopped_since)
        return now() - applied_at

    def copy_age(self) -> float:
        """Return the seconds since the local copy, applied or not, was known to be current."""
        return now() - self.known_at

    def start(self) -> None:
        """Follow the table in a task of its own; a task that is already running is replaced."""
        if self.task is not None:
            self.task.kill()
        self.task = eventlet.spawn(self.run)

    def interrupt(self) -> None:
        """Restart the current call because another feed lost the store, unless the table is relayed."""
        if self.failing_since is None and self.task is not None and self._seconds_to_call() <= 0:
            self.failing_since = now()
            self.start()

    def run(self) -> None:
        """Follow the table forever."""
        while True:
            if (seconds := self._seconds_to_call()) > 0:
                self._wait_for_wake(seconds)
                continue
            try:
                self._poll()
            except HistoryGone:
                event("WARNING", "history gone", table=self.table, position=self.position)
                self.history_gone_after, self.position = self.position, None
            except PlatformUnavailable as error:
                self._record_failure(error)
                self._back_off()
            except Exception as error:  # noqa: BLE001 - no error may end the feed
                self._note_stopped(error)
                self._record_failure(error)
                self._back_off()

    def _poll(self) -> None:
        called, wait = now(), 0.0
        self.called_at = called
        after = self.position if self.is_current() else None
        is_snapshot = after is None
        if after is None:
            changes = self._check_answer(self.store.snapshot(self.table), self.history_gone_after)
        else:
            wait = self._next_wait()
            changes = self._check_answer(self.store.changes(self.table, after, wait), after)
            if was_restored(after, changes.position):
                raise HistoryGone("the store was restored", step="read", peer="store")
        self.lost_at, self.failures, self.confirmed_at = 0.0, 0, called
        if self.failing_since is not None:
            event("INFO", "store regained", table=self.table, out=round(now() - self.failing_since, 2))
            self._note_recovered(self._recovery_time(self.failing_since))
            self.failing_since = None
            if self.on_recovered is not None:
                self.on_recovered()
        self.idle = not is_snapshot and not changes.rows and now() - called >= wait
        self.known_at = max(self.known_at, called + wait if self.idle else called)
        if is_snapshot:
            self.no_call_before = now() + SNAPSHOT_REST_SECONDS if self.relay_valid_seconds else 0.0
        applied = self._apply_changes(changes, is_snapshot)
        if self.on_answer is not None:
            self.on_answer()
        if applied:
            eventlet.sleep(self.batch_delay)

    def receive(
        self,
        changes: Changes,
        after: Position | None,
        known_at: float,
        recovered_at: float = 0.0,
    ) -> None:
        """Apply what another daemon relays of the table.

        An update from a superseded epoch, or with a gap before it, doesn't make the local copy any fresher.
        One at an earlier position than the local copy does: a snapshot taken later has a later version even
        if no row has changed.

        :param changes: rows that changed, as of the sender's position.
        :param after: the position they changed after; None when they are a snapshot.
        :param known_at: a time such that they include every write acknowledged before it.
        :param recovered_at: when the store recovered for the daemon that read them, if it had been lost.
        """
        self.history.observe(changes.epoch)
        if changes.epoch < self.history.epoch:
            self._count_dropped("earlier epoch", changes, after)
            return
        if after is not None and not self._is_contiguous(after, changes):
            self._count_dropped("gap", changes, after)
            return
        if self._may_be_restored(changes, recovered_at) or self._is_stale(changes, self.history_gone_after):
            self._count_dropped("older", changes, after)
            return
        self._note_recovered(recovered_at)
        if self.failing_since is not None:
            event("INFO", "store told of", table=self.table, out=round(now() - self.failing_since, 2))
            self.failing_since = None
            # A retry delay after a failed call may last longer than relayed updates count as fresh.
            self.wake()
        self.known_at = max(self.known_at, known_at)
        self.relayed_known_at = max(self.relayed_known_at, known_at)
        self._apply_changes(changes, after is None)

    def rely_on_relays(self, relayed: bool) -> None:
        """Set whether to rely on updates that other daemons relay, for as long as the bound allows.

        :param relayed: whether others relay the table; if not, the feed follows the store.
        """
        seconds = relay_validity(self.wait) if relayed else 0.0
        if seconds == self.relay_valid_seconds:
            return
        self.relay_valid_seconds = seconds
        if not seconds:
            self.no_call_before = 0.0
            self.wake()

    def changes_since(self, after: Position | None) -> tuple[Changes, bool]:
        """Return the changes after a position, or a snapshot where they are not known.

        :param after: the position; None for a snapshot.
        :return: the rows, and whether they are a snapshot.
        """
        position = self.position or ORIGIN
        if after is not None and after.epoch == position.epoch and after >= self.removals_known_from:
            changed: Rows = {key: value for key, (at, value) in self.rows.items() if at > after}
            return Changes(changed, position.version, position.epoch), False
        snapshot: Rows = {key: value for key, (_, value) in self.rows.items() if value is not None}
        return Changes(snapshot, position.version, position.epoch), True

    def is_current(self) -> bool:
        """Return whether the table is known as of the newest epoch of the store."""
        return self.position is not None and self.position.epoch >= self.history.epoch

    def _check_answer(self, changes: Changes, known: Position | None) -> Changes:
        """Validate an answer of the store, and fill in its epoch where the store names none.

        :param changes: the answer.
        :param known: the position of the local copy when the store was called.
        :raises PlatformUnavailable: when the answer is from a superseded epoch or older than the local
            copy, as from an old connection or a late answer.
        """
        if changes.epoch == UNKNOWN_EPOCH:
            changes = msgspec.structs.replace(changes, epoch=self.history.epoch)
        self.history.observe(changes.epoch)
        if changes.epoch < self.history.epoch:
            self._count_dropped("earlier epoch", changes, None)
            raise PlatformUnavailable(
                "the answer is from an earlier epoch of the store", step="read", peer="store"
            )
        if self._is_stale(changes, known):
            self._count_dropped("older", changes, None)
            raise PlatformUnavailable("the answer is older than the local copy", step="read", peer="store")
        return changes

    def _is_stale(self, changes: Changes, known: Position | None) -> bool:
        """Return whether changes lead behind a known position; versions only grow within an epoch.

        A store that does not name its epoch may have been restored instead, so it is never judged stale.
        """
        if known is None or changes.epoch == UNKNOWN_EPOCH:
            return False
        return changes.position < known

    def _may_be_restored(self, changes: Changes, recovered_at: float) -> bool:
        """Return whether changes below the known position may come from a restored store.

        If the store names no epoch, only an outage since the last confirmation distinguishes them from a
        snapshot that was read earlier.

        :param recovered_at: when the store recovered for the daemon that read them.
        """
        if self.position is None or changes.position >= self.position:
            return False
        return changes.epoch == UNKNOWN_EPOCH and recovered_at > self.confirmed_at

    def _is_contiguous(self, after: Position, changes: Changes) -> bool:
        """Return whether no change is missing between the position known here and these changes."""
        return self.position is not None and after.epoch == changes.epoch and after <= self.position

    def _store_restored(self) -> None:
        """Read the whole table again at once, unless another daemon relays it."""
        # A feed without a position is reading the whole table already.
        behind = self.position is not None and not self.is_current()
        if self.task is not None and behind and self._seconds_to_call() <= 0:
            self.start()

    def _apply_changes(self, changes: Changes, is_snapshot: bool) -> bool:
        """Apply rows unless newer ones arrived another way meanwhile; return whether there were any."""
        if self.position is not None and changes.position < self.position:
            return False
        if self.position == changes.position and (is_snapshot or not changes.rows):
            self._apply_again()
            return False
        self._note_restored(changes)
        self.position, self.confirmed_at = changes.position, now()
        self._keep_rows(changes, is_snapshot)
        if self.stopped_since is not None:
            self._apply_again()
            return True
        if not is_snapshot and not changes.rows:
            return False
        self._apply(changes, is_snapshot)
        return True

    def _apply(self, changes: Changes, is_snapshot: bool) -> None:
        try:
            self.apply(changes, is_snapshot)
        except Exception as error:  # noqa: BLE001 - no error may end the feed
            self._note_stopped(error)
            return
        if self.stopped_since is not None:
            event("INFO", "feed resumed", table=self.table, after=round(now() - self.stopped_since, 2))
            self.stopped_since = None

    def _apply_again(self) -> None:
        """Apply the whole copy if an error has stopped the feed."""
        if self.stopped_since is not None:
            self._apply(*self.changes_since(None))

    def _note_stopped(self, error: Exception) -> None:
        """Record an error that is no failure of the store."""
        self.errors += 1
        if self.stopped_since is None:
            self.stopped_since = now()
        self.log_stopped(
            "ERROR", "feed stopped", table=self.table, error=repr(error), trace=traceback.format_exc()
        )

    def _note_restored(self, changes: Changes) -> None:
        """Log what differs after the store was restored; rows missing from the backup may be rewritten."""
        before = self.position or self.history_gone_after
        self.history_gone_after = None
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

    def _count_dropped(self, reason: str, changes: Changes, after: Position | None) -> None:
        """Count and log an update that was rejected."""
        self.dropped += 1
        self.log_dropped(
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

    def _keep_rows(self, changes: Changes, is_snapshot: bool) -> None:
        if is_snapshot:
            self.rows.clear()
            self.removals_known_from = changes.position
        self.rows.update((key, (changes.position, value)) for key, value in changes.rows.items())
        removed = sorted((at, key) for key, (at, value) in self.rows.items() if value is None)
        for at, key in removed[: max(0, len(removed) - MAX_REMOVED_ROWS)]:
            del self.rows[key]
            self.removals_known_from = max(self.removals_known_from, at)

    def _seconds_to_call(self) -> float:
        """Return for how many seconds updates relayed by other daemons make a call unnecessary."""
        if self.position is None or not self.relay_valid_seconds:
            return 0.0
        return max(self.no_call_before, self.relayed_known_at + self.relay_valid_seconds) - now()

    def wake(self) -> None:
        """Wake the feed so that it reconsiders at once whether to call the store."""
        if self.failing_since is not None:
            event("INFO", "feed woken", table=self.table)
        if not self.wake_event.ready():
            self.wake_event.send()

    def _recovery_time(self, lost_at: float) -> float:
        """Return when the store recovered, as seen by whichever feed noticed first.

        :param lost_at: when this feed lost the store.
        """
        if self.probe_feed is not None and self.probe_feed.recovered_at > lost_at:
            return self.probe_feed.recovered_at
        return now()

    def _note_recovered(self, recovered_at: float) -> None:
        """Record an outage of the store, by whose end entries that expired in it are judged.

        :param recovered_at: when it ended, as far as a feed or another daemon noticed one.
        """
        if recovered_at - self.known_at >= self.min_outage:
            self.recovered_at = max(self.recovered_at, recovered_at)

    def _back_off(self) -> None:
        """Back off after a failed call, exponentially and with jitter."""
        lost = self._probe_failing()
        first, longest = (
            (SECONDARY_RETRY_DELAY, MAX_SECONDARY_RETRY_DELAY)
            if lost
            else (self.initial_retry_delay, self.max_retry_delay)
        )
        seconds = min(longest, first * 2.0 ** (self.failures - 1))
        seconds *= self.rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        # Logged on every failure: the first one alone does not tell which table lags, or for how long.
        took = round(now() - self.called_at, 2)
        event("INFO", "store call failed", table=self.table, took=took, pause=round(seconds, 2))
        if not lost:
            self._wait_for_wake(seconds)
            return
        until = now() + seconds
        while self._probe_failing() and now() < until:
            # The probe feed wakes this one when its own call succeeds, but not when it recovers through a
            # relayed update. Polling its state keeps the server list from lagging by another 4 to 10 s.
            self._wait_for_wake(min(MAX_RETRY_DELAY, until - now()))

    def _probe_failing(self) -> bool:
        """Return whether the probe feed finds the store unavailable too."""
        return self.probe_feed is not None and self.probe_feed.failing_since is not None

    def _wait_for_wake(self, seconds: float) -> None:
        """Wait before the next call, or until woken."""
        self.wake_event = Event()
        with eventlet.Timeout(seconds, False):
            self.wake_event.wait()

    def _next_wait(self) -> float:
        """Return how long the next call may wait for a change, in seconds."""
        wait = min(self.wait, max(MIN_WAIT, MAX_AGE_IN_WAITS * self.wait - self.copy_age()))
        # While nothing changes, waits end at whole multiples of their length on the clock. Those of several
        # tables then end together and are relayed in one message, which wakes followers less often.
        left = self.wait - now() % self.wait
        return min(wait, left) if self.idle and left >= MIN_WAIT else wait

    def failed_recently(self) -> bool:
        """Return whether an own call to the store failed recently, even if others relay the table."""
        return self.lost_at > 0 and now() - self.lost_at < RECENT_FAILURE_SECONDS

    def _record_failure(self, error: Exception) -> None:
        self.lost_at, self.idle = now(), False
        self.failures += 1
        if self.failing_since is None:
            self.failing_since = now()
            event("WARNING", "store lost", table=self.table, error=repr(error))
            if self.on_lost is not None:
                self.on_lost()
            if self.on_failing is not None:
                self.on_failing()


def link_feeds(feeds: Iterable[Feed]) -> None:
    """Link all feeds of one store so that each rechecks it when one of them loses or regains it.

    :param feeds: the feeds; the first is the probe feed, which retries most often.
    """
    joined = list(feeds)

    def tell_others(lost: Feed) -> None:
        for feed in joined:
            if feed is not lost:
                feed.interrupt()

    def ask_others(regained: Feed) -> None:
        for feed in joined:
            if feed is not regained and feed.failing_since is not None:
                feed.wake()

    for feed in joined:
        feed.probe_feed = joined[0] if feed is not joined[0] else None
        feed.on_lost = partial(tell_others, feed)
        feed.on_recovered = partial(ask_others, feed)
