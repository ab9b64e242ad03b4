"""Totals: every daemon comes to know what all others have under way, also where not all hear all."""

import pytest

from bayglade import totals
from bayglade.entries.wire import Heartbeat, ServerLoad
from bayglade.fanout import readers_of
from bayglade.ids import BackendId, HallName, MemberId, Revision
from bayglade.totals import FRESH_SECONDS, Totals

HALLS = {MemberId(f"{hall}{n:02}"): HallName(hall) for hall in "ab" for n in range(10)}


def beat(**lists: list[ServerLoad]) -> Heartbeat:
    return Heartbeat(revision=Revision(1), draining=False, usage=[], leaving=[], held=[], **lists)


def loads(**counts: int) -> list[ServerLoad]:
    return [ServerLoad(BackendId(head), count, 100 * count) for head, count in counts.items()]


def by_server(counts: dict[str, int]) -> dict[BackendId, ServerLoad]:
    return {load.backend: load for load in loads(**counts)}


def rounds(everybody: dict[MemberId, Totals], own: dict[MemberId, list[ServerLoad]], count: int) -> None:
    """Let daemons beat to whom they have streams."""
    readers = {name for names in readers_of(HALLS).values() for name in names}
    for _ in range(count):
        beats = {}
        for name, each in everybody.items():
            sums = (each.hall_sum(own[name]), each.everywhere(own[name])) if each.reading() else ([], [])
            beats[name] = beat(loads=own[name], hall_loads=sums[0], all_loads=sums[1])
        for name, message in beats.items():
            for other in everybody:
                near = HALLS[name] == HALLS[other] and (name in readers or other in readers)
                if name != other and (near or {name, other} <= readers):
                    everybody[other].hear(name, message)


def test_everybody_learns_the_sum_over_all_halls() -> None:
    everybody = {name: Totals(name) for name in HALLS}
    for each in everybody.values():
        each.assign(HALLS)
    own = {name: loads(**{f"{HALLS[name]}-head": 3}) for name in HALLS}
    rounds(everybody, own, 3)
    for name, each in everybody.items():
        counts = {f"{hall}-head": 30 - (3 if HALLS[name] == hall else 0) for hall in "ab"}
        assert each.elsewhere(own[name]) == by_server(counts)


def test_a_lost_reader_leaves_the_other_one() -> None:
    everybody = {name: Totals(name) for name in HALLS}
    for each in everybody.values():
        each.assign(HALLS)
    own = {name: loads(h=1) for name in HALLS}
    del everybody[MemberId("a00")]
    rounds(everybody, own, 3)
    assert everybody[MemberId("a05")].elsewhere(own[MemberId("a05")]) == by_server({"h": 18})


def test_few_daemons_add_up_what_they_hear(monkeypatch: pytest.MonkeyPatch) -> None:
    at = 100.0
    monkeypatch.setattr(totals, "now", lambda: at)
    each = Totals(MemberId("d0"))
    each.assign({MemberId(f"d{n}"): HallName("h") for n in range(3)})
    each.hear(MemberId("d1"), beat(loads=loads(x=2, y=1)))
    at += 1.0
    each.hear(MemberId("d2"), beat(loads=loads(x=3)))
    assert each.elsewhere(loads(x=9)) == by_server({"x": 5, "y": 1})
    at += FRESH_SECONDS - 0.5
    assert each.elsewhere([]) == by_server({"x": 3})
