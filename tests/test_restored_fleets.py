"""Many daemons in virtual time, and a store that is restored from backups amid random events."""

from collections.abc import Callable, Iterator

import eventlet
import hypothesis
import pytest
from hypothesis import strategies

from bayglade.ids import StoreEpoch
from bayglade.rows import Position
from standins.virtual_time import now, run_virtually
from tests import fleets
from tests.fleets import SILENCE, TABLES, Fleet

SIZES = ((6, 3), (23, 5))
LARGE = (200, 5)
SETTLE_SECONDS = 6.0
"""Seconds after the last fault in which all daemons that are not muted have the current rows again."""

CHECK_SECONDS = 0.1


class History:
    """The position of each table in the store over time."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.points: list[tuple[float, dict[str, Position]]] = []
        self.record()

    def record(self) -> None:
        store = self.fleet.store
        known = {table: Position(store.epoch, store.versions[table]) for table in TABLES}
        self.points.append((now(), known))

    def at(self, time: float, table: str) -> Position | None:
        """Return the position of a table at a time."""
        return next((known[table] for at, known in reversed(self.points) if at <= time), None)

    def too_fresh(self) -> list[str]:
        """List daemons that consider a table current as of a time when the store was already ahead."""
        found = []
        for daemon in self.fleet.live():
            for table, feed in daemon.feeds.items():
                least = self.at(feed.known_at, table)
                # A table that waits for a snapshot still has its earlier rows.
                known = feed.position or feed.history_gone_after
                if least is not None and (known is None or known < least):
                    found.append(f"{daemon.name} {table}: {known} at {feed.known_at}, not {least}")
        return found


Event = tuple[str, float, int]
"""The kind of event, its duration or delay in seconds, and its amount."""

EVENTS = strategies.tuples(
    strategies.sampled_from(["restored", "written", "readers silent", "some refused", "quiet"]),
    strategies.sampled_from([0.0, 0.05, 0.4, 1.2, 2.5]),
    strategies.integers(1, 9),
)


def play_event(fleet: Fleet, history: History, event: Event) -> Iterator[float]:
    """Apply an event to a fleet; yields the seconds for which it lasts."""
    kind, seconds, amount = event
    store = fleet.store
    if kind == "restored":
        store.call_fault = lambda member, table: 0.01
        yield seconds
        store.restore(amount)
        store.call_fault = lambda member, table: None
        history.record()
    elif kind == "written":
        for _ in range(amount):
            store.write(TABLES[amount % len(TABLES)])
        history.record()
        yield seconds
    elif kind == "readers silent":
        fleet.muted = set(fleet.ranking.ranked[: amount % 3])
        yield seconds
        fleet.muted = set()
    elif kind == "some refused":
        refused = set(fleet.ranking.ranked[amount % 4 : amount])
        store.call_fault = lambda member, table: SILENCE if member in refused else None
        yield seconds
        store.call_fault = lambda member, table: None
    else:
        yield seconds


def play_events(size: tuple[int, int], seed: int, events: list[Event]) -> list[str]:
    """Play events on a fleet; return the violations found."""
    fleet = Fleet(*size, seed)
    fleet.store.epoch = StoreEpoch(1)
    for table in TABLES:
        for _ in range(20):
            fleet.store.write(table)
    history = History(fleet)
    fleet.start()
    eventlet.sleep(3.0 + fleet.rng.random())
    wrong: list[str] = []
    for event in events:
        for seconds in play_event(fleet, history, event):
            until = now() + seconds
            while now() < until:
                eventlet.sleep(CHECK_SECONDS)
                wrong += history.too_fresh()
    fleet.store.write("servers")
    fleet.store.write("document")
    history.record()
    eventlet.sleep(SETTLE_SECONDS)
    wrong += history.too_fresh()
    for daemon in fleet.live():
        for table in ("servers", "document"):
            if daemon.applied.get(table) != fleet.store.value(table):
                wrong.append(f"{daemon.name} has {daemon.applied.get(table)!r} of {table}")
    return wrong


@pytest.fixture
def virtually(monkeypatch: pytest.MonkeyPatch) -> Callable[[Callable[[], list[str]]], list[str]]:
    fleets.patch_clock(monkeypatch)
    return run_virtually


@pytest.mark.parametrize("size", SIZES)
@hypothesis.settings(max_examples=60, suppress_health_check=list(hypothesis.HealthCheck))
@hypothesis.given(events=strategies.lists(EVENTS, max_size=8), seed=strategies.integers(0, 1000))
def test_all_daemons_converge_and_consider_no_old_rows_current(
    size: tuple[int, int],
    virtually: Callable[[Callable[[], list[str]]], list[str]],
    events: list[Event],
    seed: int,
) -> None:
    assert virtually(lambda: play_events(size, seed, events)) == []


def test_two_hundred_daemons_converge_after_repeated_restores(
    virtually: Callable[[Callable[[], list[str]]], list[str]],
) -> None:
    events = [("restored", 0.5, 4), ("restored", 0.4, 2), ("written", 0.4, 3), ("restored", 0.05, 9)]
    assert virtually(lambda: play_events(LARGE, 1, events)) == []


def calls_of_a_restore(size: tuple[int, int]) -> tuple[int, int]:
    """Return the number of calls in the second after a restore, and in an idle second before."""
    fleet = Fleet(*size, 1)
    fleet.store.epoch = StoreEpoch(1)
    fleet.start()
    eventlet.sleep(8.0)
    before = fleet.store.calls.total()
    eventlet.sleep(1.0)
    rest = fleet.store.calls.total() - before
    fleet.store.restore(1)
    before = fleet.store.calls.total()
    eventlet.sleep(1.0)
    return fleet.store.calls.total() - before, rest


def test_the_calls_caused_by_a_restore_do_not_grow_with_daemons(monkeypatch: pytest.MonkeyPatch) -> None:
    fleets.patch_clock(monkeypatch)
    made, rest = run_virtually(lambda: calls_of_a_restore(LARGE))
    # Two readers lose three calls each, and take snapshots of three tables.
    assert made - rest <= 2 * (3 + 3 + 3)
