"""Totals: every daemon learns what all others have in flight, also if not all hear from all."""

import pytest

from bayglade import totals
from bayglade.entries.wire import Heartbeat, ServerLoad
from bayglade.ids import BackendId, HallName, MemberId, Revision, ServerKey
from bayglade.readers import Ranking, needed_streams, plan_readers
from bayglade.totals import REPORT_MAX_AGE_SECONDS, STARTUP_SECONDS, LoadTotals

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


def make_totals() -> dict[MemberId, LoadTotals]:
    """Return the totals of daemons that started some time ago."""
    daemons = {name: LoadTotals(name) for name in HALLS}
    for name, daemon in daemons.items():
        daemon.started_at -= STARTUP_SECONDS
        daemon.assign(HALLS, PLANS[name].hall_readers)
    return daemons


def exchange_heartbeats(
    daemons: dict[MemberId, LoadTotals], own: dict[MemberId, list[ServerLoad]], count: int
) -> None:
    """Have daemons send heartbeats on their streams."""
    order = Ranking(HALLS)
    for _ in range(count):
        for name, daemon in daemons.items():
            daemon.update_sums(own[name])
        for name, daemon in daemons.items():
            for other in needed_streams(name, order, PLANS[name]) & daemons.keys():
                sums = daemon.for_member(other)
                message = beat(loads=sums.own, hall_loads=sums.hall, all_loads=sums.everywhere)
                daemons[other].merge_heartbeat(name, message)


def test_every_daemon_learns_the_sum_over_all_halls() -> None:
    daemons = make_totals()
    own = {name: loads(**{f"{HALLS[name]}-head": 3}) for name in HALLS}
    exchange_heartbeats(daemons, own, 3)
    for name, daemon in daemons.items():
        counts = {f"{hall}-head": 30 - (3 if HALLS[name] == hall else 0) for hall in "ab"}
        assert daemon.other_daemons(own[name]) == by_server(counts)


def test_the_other_reader_suffices_if_one_is_lost() -> None:
    daemons = make_totals()
    own = {name: loads(h=1) for name in HALLS}
    del daemons[readers("a")[0]]
    follower = next(name for name in HALLS if HALLS[name] == "a" and name not in readers("a"))
    exchange_heartbeats(daemons, own, 3)
    assert daemons[follower].other_daemons(own[follower]) == by_server({"h": 18})


def test_only_readers_get_sums_of_single_daemons() -> None:
    daemons = make_totals()
    own = {name: loads(h=1) for name in HALLS}
    exchange_heartbeats(daemons, own, 1)
    first, second = readers("a")
    follower = next(name for name in HALLS if HALLS[name] == "a" and name not in readers("a"))
    assert daemons[first].for_member(second).own
    sums = daemons[first].for_member(follower)
    assert not sums.own
    assert sums.everywhere
    other_hall = daemons[first].for_member(readers("b")[0])
    assert other_hall.hall
    assert not other_hall.everywhere


def test_a_started_daemon_assumes_its_peers_to_be_as_busy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # All daemons restart at once after a power loss, and clients come back with them.
    at = 100.0
    monkeypatch.setattr(totals, "now", lambda: at)
    follower = next(name for name in HALLS if HALLS[name] == "a" and name not in readers("a"))
    daemon = LoadTotals(follower)
    assert daemon.other_daemons(loads(h=2)) == {}
    daemon.assign(HALLS, PLANS[follower].hall_readers)
    assert daemon.other_daemons(loads(h=2)) == by_server({"h": 18})
    at += STARTUP_SECONDS
    assert daemon.other_daemons(loads(h=2)) == {}


def test_few_daemons_add_up_what_they_receive(monkeypatch: pytest.MonkeyPatch) -> None:
    at = 100.0
    monkeypatch.setattr(totals, "now", lambda: at)
    daemon = LoadTotals(MemberId("d0"))
    daemon.started_at -= STARTUP_SECONDS
    daemon.assign({MemberId(f"d{n}"): HallName("h") for n in range(3)}, {})
    daemon.merge_heartbeat(MemberId("d1"), beat(loads=loads(x=2, y=1)))
    at += 1.0
    daemon.merge_heartbeat(MemberId("d2"), beat(loads=loads(x=3)))
    assert daemon.other_daemons(loads(x=9)) == by_server({"x": 5, "y": 1})
    at += REPORT_MAX_AGE_SECONDS - 0.5
    assert daemon.other_daemons([]) == by_server({"x": 3})
