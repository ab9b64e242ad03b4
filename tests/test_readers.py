"""Readers: which daemons follow the store and which they poll when some are silent or cut off from it."""

from collections import Counter
from collections.abc import Callable, Collection

import eventlet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bayglade import fanout, feeds, readers
from bayglade.ids import HallName, MemberId
from bayglade.readers import (
    MAX_PASSED_OVER,
    READER_COUNT,
    LostDaemons,
    Ranking,
    Role,
    needed_streams,
    plan_readers,
)
from standins.virtual_time import run_virtually
from tests import fleets
from tests.fleets import ROUND_TRIP, Fleet

DRAIN_SECONDS = 4.0
KEY_TRUST_SECONDS = 3.8
"""Age at which settings are no longer trusted with keys, for the configured bound of 5 s."""
STEP = 0.1


def fleet(daemons: int, halls: int) -> dict[MemberId, HallName]:
    return {MemberId(f"front-{n}"): HallName(f"h{n % halls}") for n in range(daemons)}


@pytest.mark.parametrize(("daemons", "halls"), [(1, 1), (3, 3), (7, 3), (23, 5), (195, 5), (440, 11)])
def test_few_follow_the_store_whatever_the_number_of_daemons(daemons: int, halls: int) -> None:
    ranking = Ranking(fleet(daemons, halls))
    plans = {name: plan_readers(name, ranking, (), ()) for name in ranking.ranked}
    roles = [plan.role for plan in plans.values()]
    assert roles.count(Role.SITE_READER) == min(READER_COUNT, daemons)
    assert daemons - roles.count(Role.FOLLOWER) <= READER_COUNT * halls
    assert all(len(plan.sources) <= READER_COUNT for plan in plans.values())


@given(
    st.integers(1, 60),
    st.integers(1, 6),
    st.sets(st.integers(0, 59), max_size=50),
    st.sets(st.integers(0, 59), max_size=50),
)
@settings(max_examples=100, deadline=None, derandomize=True)
def test_polls_never_form_a_cycle(
    daemons: int, halls: int, lost: set[int], without_store: set[int]
) -> None:
    ranking = Ranking(fleet(daemons, halls))
    place = {name: n for n, name in enumerate(ranking.ranked)}
    gone = {MemberId(f"front-{n}") for n in lost}
    refused = {MemberId(f"front-{n}") for n in without_store}
    for name in ranking.ranked:
        plan = plan_readers(name, ranking, gone - {name}, refused - {name})
        assert all(place[asked] < place[name] for asked in plan.sources)
        assert not gone & set(plan.sources)


def test_streams_are_mutual_while_all_have_the_same_view() -> None:
    ranking = Ranking(fleet(60, 4))
    plans = {name: plan_readers(name, ranking, (), ()) for name in ranking.ranked}
    wanted = {name: needed_streams(name, ranking, plans[name]) for name in ranking.ranked}
    assert all(name in wanted[other] for name in wanted for other in wanted[name])
    most = max(len(streams) for streams in wanted.values())
    assert most <= 60 / 4 + READER_COUNT * 4


def test_daemons_without_the_store_are_passed_over_as_readers() -> None:
    ranking = Ranking(fleet(30, 3))
    first = ranking.ranked[0]
    plan = plan_readers(ranking.ranked[20], ranking, (), {first})
    assert all(first not in names for names in plan.hall_readers.values())


def test_readers_stay_when_too_many_daemons_are_without_the_store() -> None:
    ranking = Ranking(fleet(30, 1))
    without_store = ranking.ranked[: READER_COUNT + MAX_PASSED_OVER]
    assert plan_readers(ranking.ranked[-1], ranking, (), without_store).sources == tuple(
        ranking.ranked[:READER_COUNT]
    )


def test_a_silent_daemon_becomes_eligible_again_once_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    at = 100.0
    monkeypatch.setattr(readers, "now", lambda: at)
    lost, member = LostDaemons(), MemberId("a")
    lost.update([member], {member: 90.0})
    assert member in lost.since
    at += 1.0
    lost.update([], {member: 90.0})
    assert member in lost.since
    lost.update([], {member: 100.5})
    assert member not in lost.since


DAEMONS, HALLS = 200, 5
SETTLED_SECONDS = 8.0
"""Seconds after the start in which daemons find each other."""

URGENT_TABLES = 2
"""Tables that followers may miss for a few seconds at most."""

CALLS_PER_SECOND = 4.0 * URGENT_TABLES
"""Two readers of the site with one call per table every 1.6 s, and as much again in reserve."""


def run_in_fleet(monkeypatch: pytest.MonkeyPatch, scenario: Callable[[Fleet], None]) -> None:
    """Run a scenario in virtual time, with many daemons that have settled."""
    fleets.patch_clock(monkeypatch)

    def run() -> None:
        fleet = Fleet(DAEMONS, HALLS, 1, DRAIN_SECONDS)
        fleet.start()
        eventlet.sleep(SETTLED_SECONDS)
        scenario(fleet)

    run_virtually(run)


def refuse(fleet: Fleet, members: Collection[MemberId]) -> None:
    """Make the store refuse the calls of these daemons only."""
    refused = set(members)
    fleet.store.call_fault = lambda member, table: ROUND_TRIP if member in refused else None


def calls_within(fleet: Fleet, seconds: float) -> int:
    """Return the number of calls of the store while all tables stay fresh."""
    before = fleet.store.calls.total()
    assert_fresh(fleet, seconds)
    return fleet.store.calls.total() - before


def assert_fresh(fleet: Fleet, seconds: float) -> None:
    """Run for a while; check that a change made at the start is known everywhere and no copy gets too
    old."""
    fleet.store.versions["document"] += 1
    fleet.announce_leave()
    oldest = 0.0
    for _ in range(int(seconds / STEP)):
        eventlet.sleep(STEP)
        oldest = max(oldest, *(daemon.feeds["document"].age() for daemon in fleet.live()))
    assert fleet.unaware() == []
    version = fleet.store.versions["document"]
    assert [d.name for d in fleet.live() if d.known("document") != version] == []
    assert oldest < KEY_TRUST_SECONDS


def test_store_calls_do_not_grow_with_daemons(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(fleet: Fleet) -> None:
        assert calls_within(fleet, 10.0) <= 10.0 * CALLS_PER_SECOND
        roles = Counter(daemon.plan.role for daemon in fleet.live())
        assert roles[Role.SITE_READER] == READER_COUNT

    run_in_fleet(monkeypatch, scenario)


@pytest.mark.parametrize("places", [(0, 1), (0, 2), (1, 5), (3, 100), (0, 1, 2, 3)])
def test_tables_stay_fresh_when_any_readers_are_lost(
    places: tuple[int, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    def scenario(fleet: Fleet) -> None:
        halls = fleet.daemons[fleet.ranking.ranked[-1]].plan.hall_readers
        fleet.muted = {fleet.ranking.ranked[place] for place in places}
        # If both readers of the site or of a hall are lost at once, the daemons that poll them get no
        # updates until they notice.
        uninformed = sum(
            len(fleet.ranking.by_hall[h]) for h, names in halls.items() if fleet.muted >= set(names)
        )
        if {0, 1} <= set(places):
            uninformed = DAEMONS
        assert calls_within(fleet, 8.0) <= 8.0 * CALLS_PER_SECOND + URGENT_TABLES * uninformed

    run_in_fleet(monkeypatch, scenario)


def test_a_hall_that_loses_both_readers_gets_new_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(fleet: Fleet) -> None:
        hall = fleet.ranking.by_hall[HallName("h2")]
        fleet.muted = set(hall[:READER_COUNT])
        assert_fresh(fleet, 8.0)
        assert fleet.daemons[hall[-1]].plan.sources == tuple(hall[READER_COUNT : 2 * READER_COUNT])

    run_in_fleet(monkeypatch, scenario)


def test_daemons_that_the_store_refuses_get_updates_from_others(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(fleet: Fleet) -> None:
        refuse(fleet, fleet.ranking.ranked[:1] + fleet.ranking.ranked[10:80])
        assert_fresh(fleet, 10.0)
        refuse(fleet, ())
        assert_fresh(fleet, 5.0)

    run_in_fleet(monkeypatch, scenario)


def test_others_take_over_when_the_store_refuses_both_site_readers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(fleet: Fleet) -> None:
        refuse(fleet, fleet.ranking.ranked[:READER_COUNT])
        assert calls_within(fleet, 10.0) <= 10.0 * (
            2 * CALLS_PER_SECOND + READER_COUNT / feeds.MAX_RETRY_DELAY
        )

    run_in_fleet(monkeypatch, scenario)


def test_calls_to_a_lost_store_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(fleet: Fleet) -> None:
        refuse(fleet, fleet.ranking.ranked)
        before = fleet.store.calls.copy()
        eventlet.sleep(10.0)
        made = fleet.store.calls - before
        often = (READER_COUNT + MAX_PASSED_OVER) / feeds.MAX_RETRY_DELAY
        seldom = DAEMONS / fanout.FOLLOWER_MAX_RETRY_DELAY
        for table in fleets.TABLES:
            calls = sum(count for (_, asked), count in made.items() if asked == table)
            assert calls <= 10.0 * (often + seldom) + 3 * DAEMONS
        refuse(fleet, ())
        eventlet.sleep(2.0)
        assert_fresh(fleet, 5.0)

    run_in_fleet(monkeypatch, scenario)


def test_a_rolling_restart_keeps_all_daemons_up_to_date(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(fleet: Fleet) -> None:
        for name in fleet.ranking.ranked[:30]:
            fleet.muted = {name}
            eventlet.sleep(1.0)
            fleet.restart(name)
        fleet.muted = set()
        assert_fresh(fleet, 5.0)

    run_in_fleet(monkeypatch, scenario)


def test_daemons_with_fast_links_become_readers() -> None:
    halls = fleet(40, 2)
    fast = {name for n, name in enumerate(halls) if n % 5 == 0}
    ranking = Ranking(halls, {name: 100.0 if name in fast else 10.0 for name in halls})
    plan = plan_readers(ranking.ranked[-1], ranking, (), ())
    assert {name for names in plan.hall_readers.values() for name in names} <= fast
