"""Many daemons in virtual time, each following three tables of one store and relaying them to the others.

Feeds and fan-out are the production code. The store, the streams between daemons and the detection
of silent daemons are simulated, with faults.
"""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial

import eventlet
import msgspec
import pytest

from bayglade import epochs, fanout, feeds, readers
from bayglade.entries.wire import Poll, StoreUnreachable, Updates
from bayglade.epochs import StoreHistory
from bayglade.exceptions import HistoryGone, PlatformUnavailable
from bayglade.fanout import Fanout
from bayglade.feeds import Feed, link_feeds
from bayglade.freshness import answer_timeout, batch_delay, poll_wait
from bayglade.ids import UNKNOWN_EPOCH, HallName, MemberId, StoreEpoch
from bayglade.readers import (
    LOST_AFTER_SECONDS,
    LostDaemons,
    Ranking,
    ReaderPlan,
    needed_streams,
    plan_readers,
)
from bayglade.rows import Changes, Position, encode_value
from standins.virtual_time import now

BOUND = 2.0
"""Seconds within which a leaving server must be known, unless a fleet sets another bound."""

TABLES = ("document", "servers", "members")
ROSTER_BOUND = 10.0
ROUND_TRIP = 0.004
STREAM_SECONDS = 0.001
CHECK_INTERVAL = 0.5
"""Interval of a daemon's check for silent daemons, as in production."""

CallFault = Callable[[MemberId, str], float | None]
"""Decides a daemon's call for a table: None for an answer, else the seconds after which it fails. A time
longer than an answer may take stands for silence."""

SILENCE = 1e9


class Store:
    """A store whose calls fail as configured, and that can be restored from an older backup.

    :param answer_limit: seconds for which callers wait for an answer beyond the wait they request.
    """

    def __init__(self, answer_limit: float) -> None:
        self.answer_limit = answer_limit
        self.versions = dict.fromkeys(TABLES, 1)
        self.call_fault: CallFault = lambda member, table: None
        self.history_starts_at = 0
        self.silent_before = 0.0
        """Calls sent before this time are never answered, although later ones are."""

        self.silent_tables = frozenset(TABLES)
        self.answer_seconds = ROUND_TRIP
        self.calls: Counter[tuple[MemberId, str]] = Counter()
        self.epoch = UNKNOWN_EPOCH
        """The epoch named in all answers."""

        self.restores = 0
        self.restores_at_write: dict[tuple[str, int], int] = {}
        """The number of restores before each version of a table was written."""

    def write(self, table: str) -> None:
        """Write the row of a table again."""
        self.versions[table] += 1
        self.restores_at_write[table, self.versions[table]] = self.restores

    def value(self, table: str) -> msgspec.Raw:
        """Return the row of a table; it differs for each write even where a version is assigned again."""
        version = self.versions[table]
        return encode_value([self.restores_at_write.get((table, version), 0), version])

    def restore(self, lost: int) -> None:
        """Return to the state before some writes; calls in progress are never answered."""
        self.versions = {table: max(1, version - lost) for table, version in self.versions.items()}
        self.restores += 1
        if self.epoch != UNKNOWN_EPOCH:
            self.epoch = StoreEpoch(self.epoch + 1)


class Client:
    """A client of the store for one daemon."""

    def __init__(self, store: Store, member: MemberId) -> None:
        self.store = store
        self.member = member

    def snapshot(self, table: str) -> Changes:
        return self._call(table, 0, 0.0)

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        if not self.store.history_starts_at <= after.version <= self.store.versions[table]:
            eventlet.sleep(self.store.answer_seconds)
            raise HistoryGone("gone", step="read", peer="store")
        return self._call(table, after.version, wait)

    def _call(self, table: str, after: int, wait: float) -> Changes:
        self.store.calls[self.member, table] += 1
        sent, until = now(), now() + wait
        limit, restores = wait + self.store.answer_limit, self.store.restores
        while (fails := self._fails(table, sent)) is None and self.store.versions[table] <= after:
            if now() >= until:
                break
            eventlet.sleep(min(0.02, until - now()))
            if self.store.restores != restores:
                raise PlatformUnavailable("the connection broke", step="read", peer="store")
        if fails is not None:
            eventlet.sleep(max(0.0, min(fails, sent + limit - now())))
            raise PlatformUnavailable("no answer", step="read", peer="store")
        version, value, epoch = self.store.versions[table], self.store.value(table), self.store.epoch
        eventlet.sleep(self.store.answer_seconds)
        return Changes({"row": value} if version > after else {}, version, epoch)

    def _fails(self, table: str, sent: float) -> float | None:
        if sent < self.store.silent_before <= now() and table in self.store.silent_tables:
            return SILENCE
        return self.store.call_fault(self.member, table)


class Daemon:
    """One daemon: its feeds, its fan-out, and its choice of readers."""

    def __init__(self, name: MemberId, fleet: "Fleet") -> None:
        self.name = name
        self.fleet = fleet
        client = Client(fleet.store, name)
        bounds = dict(zip(TABLES, (fleet.bound, fleet.bound, ROSTER_BOUND), strict=True))
        history = StoreHistory()
        self.applied: dict[str, msgspec.Raw | None] = {}
        """The row of each table as last applied."""

        self.feeds = {
            table: Feed(
                client,
                table,
                poll_wait(bound),
                partial(self.apply, table),
                batch_delay(bound),
                history,
            )
            for table, bound in bounds.items()
        }
        self.fanout = Fanout(self.feeds, self.feeds["document"], self.send, "x:1")
        self.fanout.set_sources((name,))
        link_feeds(self.feeds.values())
        self.lost_daemons = LostDaemons()
        self.plan = ReaderPlan(readers.Role.SITE_READER)
        self.heard: dict[MemberId, float] = {}
        self.streams: dict[MemberId, float] = {}
        self.checking: eventlet.greenthread.GreenThread | None = None

    def apply(self, table: str, changes: Changes, whole: bool) -> None:
        for value in changes.rows.values():
            self.applied[table] = value

    def known(self, table: str) -> int | None:
        """Return the version of the local copy of a table."""
        position = self.feeds[table].position
        return position.version if position is not None else None

    def start(self) -> None:
        for feed in self.feeds.values():
            feed.rng = random.Random(self.fleet.rng.random())
            feed.start()
        self.checking = eventlet.spawn(self.run_checks)

    def stop(self) -> None:
        for task in (self.checking, *(feed.task for feed in self.feeds.values())):
            if task is not None:
                task.kill()

    def send(self, member: MemberId, message: object) -> None:
        if self.name not in self.fleet.muted and member in self.streams:
            eventlet.spawn_after(STREAM_SECONDS, self.fleet.daemons[member].receive, self.name, message)

    def receive(self, sender: MemberId, message: object) -> None:
        if self.name in self.fleet.muted:
            return
        self.heard[sender] = now()
        if isinstance(message, Poll):
            self.streams.setdefault(sender, now())
            self.fanout.receive_poll(sender, message)
        elif isinstance(message, Updates):
            self.fanout.receive_updates(sender, message)
        elif isinstance(message, StoreUnreachable):
            self.fanout.receive_store_unreachable(sender, message)

    def run_checks(self) -> None:
        eventlet.sleep(self.fleet.rng.random() * CHECK_INTERVAL)
        rounds = 0
        while True:
            rounds += 1
            self.check()
            if rounds % 2:
                for member in self.streams:
                    self.send(member, "heartbeat")
            eventlet.sleep(CHECK_INTERVAL)

    def check(self) -> None:
        oldest = now() - LOST_AFTER_SECONDS
        silent = [m for m, since in self.streams.items() if max(since, self.heard.get(m, 0.0)) < oldest]
        self.lost_daemons.update(silent, self.heard)
        cut_off = self.fanout.without_store(self.name)
        plan = plan_readers(self.name, self.fleet.ranking, self.lost_daemons.since, cut_off)
        if plan != self.plan:
            self.plan = plan
            self.fanout.set_sources(plan.sources)
        wanted = needed_streams(self.name, self.fleet.ranking, plan) | self.fanout.pending_polls.keys()
        # Sorted, so that a seed always gives the same run.
        self.streams = {member: self.streams.get(member, now()) for member in sorted(wanted)}
        self.fanout.poll_sources()


class Fleet:
    """Daemons and their store.

    :param daemons: the number of daemons.
    :param halls: the number of data halls.
    :param seed: seed of all random numbers.
    :param bound: seconds within which changes of servers and documents must be known.
    """

    def __init__(self, daemons: int, halls: int, seed: int, bound: float = BOUND) -> None:
        self.rng = random.Random(seed)
        self.bound = bound
        self.store = Store(answer_timeout(bound))
        self.muted: set[MemberId] = set()
        """Daemons that send and receive nothing although they run."""

        names = {MemberId(f"front-{n}"): HallName(f"h{n % halls}") for n in range(daemons)}
        self.ranking = Ranking(names)
        self.daemons = {name: Daemon(name, self) for name in self.ranking.ranked}

    def start(self) -> None:
        for daemon in self.daemons.values():
            daemon.start()

    def live(self) -> list[Daemon]:
        """List the daemons that are not muted."""
        return [daemon for name, daemon in self.daemons.items() if name not in self.muted]

    def restart(self, name: MemberId) -> None:
        """Restart a daemon with no state."""
        self.daemons[name].stop()
        self.daemons[name] = Daemon(name, self)
        self.daemons[name].start()

    def announce_leave(self) -> float:
        """Announce that a server leaves; return when."""
        self.store.write("servers")
        return now()

    def unaware(self) -> list[MemberId]:
        """List the daemons that are not muted and don't know yet that the last server leaves."""
        value = self.store.value("servers")
        return [d.name for d in self.live() if d.applied.get("servers") != value]


def patch_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the production modules that a fleet uses read virtual time."""
    for module in (epochs, fanout, feeds, readers):
        monkeypatch.setattr(module, "now", now)
