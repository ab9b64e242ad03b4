"""A leaving server must be known to be leaving within the bound, whatever the store did before.

In an incident the store was unavailable for seven seconds. When it recovered, the feed of the
operator's document got an answer within 0.5 s and woke the feed of servers. That feed was in a call
sent during the outage, so the wake-up was lost: the call timed out, and the feed then backed off
for 4 s more because another feed was probing the store. For 5.7 s after the recovery no daemon
learned about servers. One that left in that time received requests for more than two seconds.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial

import eventlet
import pytest

from bayglade import feeds
from bayglade.exceptions import PlatformUnavailable
from bayglade.feeds import Feed, link_feeds
from bayglade.freshness import poll_wait
from bayglade.ids import UNKNOWN_EPOCH, MemberId, StoreEpoch
from bayglade.readers import READER_COUNT
from bayglade.rows import Changes, Position, encode_value
from standins.virtual_time import START, now, run_virtually
from tests import fleets
from tests.fleets import ROSTER_BOUND, SILENCE, Fleet

BOUND = 2.0
"""Seconds within which a leaving server must be known, as configured in the incident."""
ANSWER_SECONDS = 1.0
"""Seconds for which a call waits for an answer beyond the wait it requests."""
ROUND_TRIP = 0.004
LEAVES_AFTER_SECONDS = 2.53
"""Seconds between the store's recovery and the server's leaving in the incident."""

SECONDS_AWAY = (1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 6.77, 8.0, 9.0, 10.0, 12.0, 15.0)
SEEDS = 8
DOCUMENT, SERVERS, MEMBERS = "document", "servers", "members"
WAITS = {DOCUMENT: 0.8, SERVERS: 8.0, MEMBERS: 20.0}


class Store:
    """A store in virtual time that answers no call while it is away; times count from the start."""

    def __init__(self, away_from: float, away_until: float) -> None:
        self.away_from = START + away_from
        self.away_until = START + away_until
        self.versions = dict.fromkeys(WAITS, 1)

    def away(self) -> bool:
        return self.away_from <= now() < self.away_until

    def snapshot(self, table: str) -> Changes:
        return self.changes(table, Position(UNKNOWN_EPOCH, 0), 0.0)

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        sent, silent = now(), self.away()
        while not silent and self.versions[table] <= after.version and now() < sent + wait:
            eventlet.sleep(0.01)
            # A call in progress when the store goes away is never answered.
            silent = self.away()
        if silent:
            eventlet.sleep(sent + wait + ANSWER_SECONDS - now())
            raise PlatformUnavailable("no answer", step="read", peer="store")
        eventlet.sleep(ROUND_TRIP)
        version = self.versions[table]
        rows = {"row": encode_value(version)} if version > after.version else {}
        return Changes(rows, version)


def known_after(seconds_away: float, seed: int) -> float:
    """Return how many seconds after a server left a daemon knows it, if the store was away before."""
    store = Store(away_from=5.0, away_until=5.0 + seconds_away)
    linked = [Feed(store, table, wait, lambda *_: None) for table, wait in WAITS.items()]
    link_feeds(linked)
    for number, feed in enumerate(linked):
        feed.rng = random.Random(100 * seed + number)
        feed.start()
    eventlet.sleep(5.0 + seconds_away + LEAVES_AFTER_SECONDS)
    store.versions[SERVERS] += 1
    left = now()
    while linked[1].position != Position(UNKNOWN_EPOCH, store.versions[SERVERS]):
        eventlet.sleep(0.01)
    return round(now() - left, 2)


def test_a_server_that_leaves_after_an_outage_is_known_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(feeds, "now", now)
    found = {
        (seconds, seed): run_virtually(partial(known_after, seconds, seed))
        for seconds in SECONDS_AWAY
        for seed in range(SEEDS)
    }
    assert {case: after for case, after in found.items() if after > BOUND} == {}


RECOVERY_SECONDS = 3.0
"""Seconds within which a daemon that was affected by a fault must be up to date again."""

FAULT_AT = 6.0
NEVER_SECONDS = 30.0
"""A change that is not known after so many seconds never will be."""

LEAVES_AFTER = (0.05, 0.6, 1.3, 2.5)
"""Seconds between the end of a fault and the server's leaving."""

SIZES = ((1, 1), (6, 3), (23, 5))
"""Numbers of daemons and halls; in the last, daemons poll daemons that poll others."""

Fault = Callable[[Fleet], Iterator[float]]
"""Applies a fault to a fleet, and yields the seconds for which it lasts."""


def store_unavailable(fleet: Fleet, after: float, seconds: float, *tables: str) -> Iterator[float]:
    fleet.store.call_fault = lambda member, table: after if not tables or table in tables else None
    yield seconds
    fleet.store.call_fault = lambda member, table: None


def store_refuses_some(fleet: Fleet, after: float, seconds: float, places: slice) -> Iterator[float]:
    refused = set(fleet.ranking.ranked[places])
    fleet.store.call_fault = lambda member, table: after if member in refused else None
    yield seconds
    fleet.store.call_fault = lambda member, table: None


def connections_go_silent(fleet: Fleet, *tables: str) -> Iterator[float]:
    fleet.store.silent_before = now()
    fleet.store.silent_tables = frozenset(tables or fleets.TABLES)
    yield 0.0


def history_gone(fleet: Fleet) -> Iterator[float]:
    fleet.store.versions = dict.fromkeys(fleet.store.versions, 50)
    fleet.store.history_starts_at = 50
    yield 0.0


def store_restored(
    fleet: Fleet, away: float, lost: int, times: int = 1, epochs: bool = True
) -> Iterator[float]:
    if epochs:
        fleet.store.epoch = StoreEpoch(1)
    for _ in range(lost):
        for table in fleets.TABLES:
            fleet.store.write(table)
    yield 2.5
    for _ in range(times):
        yield from store_unavailable(fleet, 0.01, away)
        fleet.store.restore(lost)


def store_slow(fleet: Fleet) -> Iterator[float]:
    fleet.store.answer_seconds = 0.3
    yield 5.0
    fleet.store.answer_seconds = fleets.ROUND_TRIP


FAULTS: dict[str, Fault] = {
    **{
        f"silent for {s} s": partial(store_unavailable, after=SILENCE, seconds=s)
        for s in (0.5, 2.0, 4.3, 6.77)
    },
    **{
        f"refuses for {s} s": partial(store_unavailable, after=0.01, seconds=s)
        for s in (0.1, 0.6, 3.0, 7.0)
    },
    **{
        f"servers silent for {s} s": partial(
            lambda fleet, seconds: store_unavailable(fleet, SILENCE, seconds, "servers"), seconds=s
        )
        for s in (1.0, 2.5, 6.0, 12.0)
    },
    **{
        f"servers refused for {s} s": partial(
            lambda fleet, seconds: store_unavailable(fleet, 0.01, seconds, "servers"), seconds=s
        )
        for s in (0.02, 0.1, 0.5, 5.0, 12.0)
    },
    "document refused": lambda fleet: store_unavailable(fleet, 0.01, 5.0, "document"),
    "members refused": lambda fleet: store_unavailable(fleet, 0.01, 5.0, "members"),
    "some refused": partial(store_refuses_some, after=0.01, seconds=6.0, places=slice(0, 2)),
    "some not answered": partial(store_refuses_some, after=SILENCE, seconds=6.0, places=slice(1, 9)),
    "all connections silent": connections_go_silent,
    "connections of servers silent": lambda fleet: connections_go_silent(fleet, "servers"),
    "connections of documents silent": lambda fleet: connections_go_silent(fleet, "document"),
    "history gone": history_gone,
    "slow": store_slow,
    **{
        f"restored after {s} s, {lost} writes lost": partial(store_restored, away=s, lost=lost)
        for s in (0.0, 0.05, 0.5, 2.5)
        for lost in (1, 12)
    },
    "restored twice": partial(store_restored, away=0.3, lost=6, times=2),
    "restored, and does not say so": partial(store_restored, away=0.5, lost=12, epochs=False),
}


def known_after_fault(fault: Fault, size: tuple[int, int], leaves_after: float, seed: int) -> float:
    """Return how many seconds too late the last daemon learns that a server leaves after a fault."""
    fleet = Fleet(*size, seed)
    fleet.start()
    eventlet.sleep(FAULT_AT + fleet.rng.random())
    for seconds in fault(fleet):
        eventlet.sleep(seconds)
    over = now()
    eventlet.sleep(leaves_after)
    left = fleet.announce_leave()
    while fleet.unaware() and now() < left + NEVER_SECONDS:
        eventlet.sleep(0.01)
    return round(now() - max(left + BOUND, over + RECOVERY_SECONDS), 2)


@pytest.mark.parametrize("name", FAULTS)
def test_every_daemon_knows_of_a_leaving_server_in_time_after(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleets.patch_clock(monkeypatch)
    late = {
        (size, after, seed): run_virtually(partial(known_after_fault, FAULTS[name], size, after, seed))
        for size in SIZES
        for after in LEAVES_AFTER
        for seed in range(2)
    }
    assert {case: seconds for case, seconds in late.items() if seconds > 0} == {}


def known_although_muted(places: tuple[int, ...], leaves_after: float, seed: int) -> float:
    """Return how many seconds after a server left all daemons know it, if some were muted just before."""
    fleet = Fleet(23, 5, seed)
    fleet.start()
    eventlet.sleep(FAULT_AT + fleet.rng.random())
    fleet.muted = {fleet.ranking.ranked[place] for place in places}
    eventlet.sleep(leaves_after)
    left = fleet.announce_leave()
    while fleet.unaware():
        eventlet.sleep(0.01)
    return round(now() - left, 2)


@pytest.mark.parametrize("places", [(0,), (1,), (0, 1), (2, 3), (0, 5), (0, 1, 2, 3)])
def test_every_daemon_knows_of_a_leaving_server_although_readers_go_silent(
    places: tuple[int, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    fleets.patch_clock(monkeypatch)
    found = {
        (after, seed): run_virtually(partial(known_although_muted, places, after, seed))
        for after in (0.01, 0.5, 1.0, 2.0)
        for seed in range(3)
    }
    assert {case: after for case, after in found.items() if after > BOUND} == {}


def refuse_readers(fleet: Fleet, table: str) -> list[MemberId]:
    """Make the store refuse one table to the readers of the site; return the other daemons."""
    refused = set(fleet.ranking.ranked[:READER_COUNT])
    fleet.store.call_fault = lambda member, asked: 0.01 if member in refused and asked == table else None
    return fleet.ranking.ranked[READER_COUNT:]


def known_by_others(seed: int) -> float:
    fleet = Fleet(23, 5, seed)
    fleet.start()
    eventlet.sleep(FAULT_AT)
    others = refuse_readers(fleet, "servers")
    eventlet.sleep(RECOVERY_SECONDS)
    left = fleet.announce_leave()
    while set(others) & set(fleet.unaware()):
        eventlet.sleep(0.01)
    return round(now() - left, 2)


@pytest.mark.parametrize("seed", range(3))
def test_a_table_that_its_readers_cannot_read_is_read_by_the_others(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The readers' other tables stay fresh all the while.
    fleets.patch_clock(monkeypatch)
    assert run_virtually(partial(known_by_others, seed)) <= BOUND


def calls_of_others(seed: int) -> int:
    fleet = Fleet(23, 5, seed)
    fleet.start()
    eventlet.sleep(FAULT_AT)
    others = refuse_readers(fleet, "members")
    before = fleet.store.calls.copy()
    eventlet.sleep(10.0)
    made = fleet.store.calls - before
    return sum(made[member, "servers"] for member in others)


@pytest.mark.parametrize("seed", range(3))
def test_a_table_that_a_reader_cannot_read_delays_no_other_table(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleets.patch_clock(monkeypatch)
    assert run_virtually(partial(calls_of_others, seed)) == 0


def test_idle_store_calls_do_not_grow_with_daemons(monkeypatch: pytest.MonkeyPatch) -> None:
    fleets.patch_clock(monkeypatch)

    def calls() -> Counter[tuple[MemberId, str]]:
        fleet = Fleet(23, 5, 1)
        fleet.start()
        eventlet.sleep(FAULT_AT)
        before = fleet.store.calls.copy()
        eventlet.sleep(20.0)
        return fleet.store.calls - before

    made = run_virtually(calls)
    # Two readers follow three tables; calls for two of these wait 0.8 s, those for the roster 4 s.
    assert len({member for member, _ in made}) == READER_COUNT
    assert made.total() <= READER_COUNT * (2 * 20.0 / poll_wait(BOUND) + 20.0 / poll_wait(ROSTER_BOUND) + 3)
