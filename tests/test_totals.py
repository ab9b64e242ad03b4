"""Totals: every daemon comes to know what all others have under way, also where not all hear all."""

import pytest

from bayglade import totals
from bayglade.entries.wire import Heartbeat, ServerLoad
from bayglade.ids import BackendId, HallName, MemberId, Revision, ServerKey
from bayglade.readers import Ranking, needed_streams, plan_readers
from bayglade.totals import FRESH_SECONDS, UNHEARD_SECONDS, Totals

HALLS = {MemberId(f"{hall}{n:02}"): HallName(hall) for hall in "ab" for n in range(10)}


def beat(**lists: list[ServerLoad]) -> Heartbeat:
    return Heartbeat(revision=Revision(1), draining=False, usage=[], leaving=[], held=[], **lists)


def loads(**counts: int) -> list[ServerLoad]:
    return [ServerLoad(BackendId(head), count, 100 * count) for head, count in counts.items()]


def by_server(counts: dict[str, int]) -> dict[ServerKey, ServerLoad]:
    return {load.key: load for load in loads(**counts)}


PLANS = {name: plan_readers(name, Ranking(HALLS), (), ()) for name in HALLS}


def readers(hall: str) -> tuple[MemberId, ...]:
    return next(iter(PLANS.values())).hall_readers[HallName(hall)]


def assigned() -> dict[MemberId, Totals]:
    """Return the totals of daemons that started some time ago."""
    everybody = {name: Totals(name) for name in HALLS}
    for name, each in everybody.items():
        each.started_at -= UNHEARD_SECONDS
        each.assign(HALLS, PLANS[name].hall_readers)
    return everybody


def rounds(everybody: dict[MemberId, Totals], own: dict[MemberId, list[ServerLoad]], count: int) -> None:
    """Let daemons beat to whom they have streams."""
    order = Ranking(HALLS)
    for _ in range(count):
        for name, each in everybody.items():
            each.add_up(own[name])
        for name, each in everybody.items():
            for other in needed_streams(name, order, PLANS[name]) & everybody.keys():
                sums = each.for_member(other)
                message = beat(loads=sums.own, hall_loads=sums.hall, all_loads=sums.everywhere)
                everybody[other].hear(name, message)


def test_everybody_learns_the_sum_over_all_halls() -> None:
    everybody = assigned()
    own = {name: loads(**{f"{HALLS[name]}-head": 3}) for name in HALLS}
    rounds(everybody, own, 3)
    for name, each in everybody.items():
        counts = {f"{hall}-head": 30 - (3 if HALLS[name] == hall else 0) for hall in "ab"}
        assert each.elsewhere(own[name]) == by_server(counts)


def test_a_lost_reader_leaves_the_other_one() -> None:
    everybody = assigned()
    own = {name: loads(h=1) for name in HALLS}
    del everybody[readers("a")[0]]
    follower = next(name for name in HALLS if HALLS[name] == "a" and name not in readers("a"))
    rounds(everybody, own, 3)
    assert everybody[follower].elsewhere(own[follower]) == by_server({"h": 18})


def test_only_readers_are_told_sums_of_single_daemons() -> None:
    everybody = assigned()
    own = {name: loads(h=1) for name in HALLS}
    rounds(everybody, own, 1)
    first, second = readers("a")
    follower = next(name for name in HALLS if HALLS[name] == "a" and name not in readers("a"))
    assert everybody[first].for_member(second).own
    told = everybody[first].for_member(follower)
    assert not told.own
    assert told.everywhere
    abroad = everybody[first].for_member(readers("b")[0])
    assert abroad.hall
    assert not abroad.everywhere


def test_a_daemon_that_has_heard_nobody_takes_its_neighbours_to_be_as_busy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # All daemons are back at once after a loss of power, and callers with them.
    at = 100.0
    monkeypatch.setattr(totals, "now", lambda: at)
    follower = next(name for name in HALLS if HALLS[name] == "a" and name not in readers("a"))
    each = Totals(follower)
    assert each.elsewhere(loads(h=2)) == {}
    each.assign(HALLS, PLANS[follower].hall_readers)
    assert each.elsewhere(loads(h=2)) == by_server({"h": 18})
    at += UNHEARD_SECONDS
    assert each.elsewhere(loads(h=2)) == {}


def test_few_daemons_add_up_what_they_hear(monkeypatch: pytest.MonkeyPatch) -> None:
    at = 100.0
    monkeypatch.setattr(totals, "now", lambda: at)
    each = Totals(MemberId("d0"))
    each.started_at -= UNHEARD_SECONDS
    each.assign({MemberId(f"d{n}"): HallName("h") for n in range(3)}, {})
    each.hear(MemberId("d1"), beat(loads=loads(x=2, y=1)))
    at += 1.0
    each.hear(MemberId("d2"), beat(loads=loads(x=3)))
    assert each.elsewhere(loads(x=9)) == by_server({"x": 5, "y": 1})
    at += FRESH_SECONDS - 0.5
    assert each.elsewhere([]) == by_server({"x": 3})
