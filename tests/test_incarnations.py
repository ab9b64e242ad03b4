"""A server that starts again under its id is a new server: nothing of the earlier start holds.

One that was listed, said that it leaves and started again under its id was never used again, an
order to the earlier start was reckoned as under way, and so were its layers, requests and findings.
"""

import random
from collections import deque
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from bayglade import loading
from bayglade.control import OrderOutcome
from bayglade.diagnosis import Diagnosis
from bayglade.entries.wire import Finding, Findings, Heartbeat, ServerLoad
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, HallName, Incarnation, MemberId, Revision
from bayglade.loading import Given, Loader
from bayglade.metrics import create_metrics
from bayglade.platform import decode_report
from bayglade.quarantine import Quarantine
from bayglade.servers import Server
from bayglade.spreading import Spreading
from bayglade.tiling import Span
from bayglade.totals import LoadTotals
from bayglade.upstream import Links
from tests.server_rows import BORN, facts_of
from tests.test_diagnosis import ALIVE, Stages
from tests.test_tiling import SERVICE, pipeline, servers

ID = BackendId("s")
LATER = BORN + 5000


def listed(**changes: Any) -> Fleet:
    fleet = Fleet()
    fleet.take([facts_of(**changes)], [], outage=False)
    return fleet


def again(fleet: Fleet, born: int = LATER, outage: bool = False, **changes: Any) -> Server:
    """Have the server's row say that it started at another time, by default empty."""
    fleet.take([facts_of(born=born, **{"layers": None, **changes})], [], outage)
    return fleet.servers[ID]


def test_a_server_that_left_and_starts_again_is_used() -> None:
    fleet = listed(state="draining")
    assert again(fleet, layers={"from": 0, "targetVersion": 4, "version": 1}).usable(0.0)


def test_nothing_known_of_the_earlier_start_holds() -> None:
    fleet = listed()
    before = fleet.servers[ID]
    before.in_flight, before.cached, before.failures, before.pace = 5, 900.0, 3, 12.0
    before.short_until = 1e9
    fleet.suspect(before, "silent")
    after = again(fleet)
    assert after is not before
    assert (after.in_flight, after.cached, after.failures, after.pace) == (0, 0.0, 0, 1.0)
    assert (after.suspect, after.short_until, after.facts.held) == (False, 0.0, 0)


def test_requests_on_the_earlier_start_are_on_a_dead_server() -> None:
    fleet = listed()
    before = fleet.servers[ID]
    again(fleet)
    assert before.suspect
    assert before.ended(0.0)


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("outage", [False, True])
def test_an_older_start_never_replaces_a_newer_one(whole: bool, outage: bool) -> None:
    fleet = listed()
    after = again(fleet)
    late = [facts_of(state="draining")]
    if whole:
        fleet.replace(late, outage)
    else:
        fleet.take(late, [], outage)
    assert fleet.servers[ID] is after
    assert not after.leaving


def test_an_older_start_does_not_come_back_after_the_newer_one_has_gone() -> None:
    fleet = listed()
    again(fleet)
    fleet.take([], [ID], outage=False)
    fleet.take([facts_of()], [], outage=False)
    assert fleet.servers == {}
    assert again(fleet, LATER + 1).usable(0.0)


def test_twice_in_a_row_and_both_rows_at_once() -> None:
    fleet = listed()
    fleet.take([facts_of(born=LATER + 1), facts_of(born=LATER)], [], outage=False)
    assert fleet.servers[ID].facts.incarnation == LATER + 1


def test_a_start_that_lapsed_in_an_outage_is_not_missed() -> None:
    fleet = listed()
    fleet.take([], [ID], outage=True)
    after = again(fleet, outage=True)
    fleet.drop_lapsed()
    assert fleet.servers == {ID: after}


def test_a_report_tells_its_start() -> None:
    report = decode_report(b'{"seq": 3, "busy": false, "born": %d}' % LATER)
    assert report is not None
    assert report.incarnation == LATER
    assert decode_report(b'{"seq": 3, "born": "today"}') is None


class AnotherStart(Stages):
    """Stages that say that they started at another time."""

    born = LATER

    def report(self, backend: BackendId, address: str, timeout: float) -> Any:
        return msgspec.structs.replace(ALIVE, incarnation=Incarnation(self.born), last=0)


def asked(born: int) -> tuple[Fleet, Diagnosis, Server]:
    fleet, stages = listed(), AnotherStart(set())
    stages.born = born
    return fleet, Diagnosis(fleet, stages, random.Random(1)), fleet.servers[ID]


def test_a_report_of_a_later_start_ends_the_earlier_one() -> None:
    fleet, diagnosis, before = asked(LATER)
    assert diagnosis.probe([before]) == {ID}
    after = fleet.servers[ID]
    assert (after.facts.incarnation, after.facts.held) == (LATER, 0)
    assert before.ended(0.0)
    # Its row, which is late, changes nothing.
    fleet.take([facts_of()], [], outage=False)
    assert fleet.servers[ID] is after


def test_a_report_of_an_earlier_start_is_none() -> None:
    fleet, diagnosis, before = asked(BORN - 1)
    assert diagnosis.probe([before]) == {ID}
    assert fleet.servers[ID] is before


def test_an_answer_for_the_earlier_start_says_nothing_of_the_next() -> None:
    fleet = listed()
    before = fleet.servers[ID]

    class Slow(Stages):
        def report(self, backend: BackendId, address: str, timeout: float) -> Any:
            again(fleet)
            return msgspec.structs.replace(ALIVE, incarnation=Incarnation(BORN), pace=9.0)

    diagnosis = Diagnosis(fleet, Slow(set()), random.Random(1))
    assert diagnosis.probe([before]) == {ID}
    assert fleet.servers[ID].pace == 1.0
    assert not fleet.servers[ID].suspect


def spreading_of(fleet: Fleet) -> tuple[Spreading, Stages]:
    stages = AnotherStart(set())
    diagnosis = Diagnosis(fleet, stages, random.Random(1))
    told: list[Findings] = []
    made = Spreading(
        MemberId("me"),
        fleet,
        diagnosis,
        lambda findings, but: told.append(findings),
        lambda: True,
        lambda: 1,
        random.Random(1),
        Quarantine(b"key", random.Random(1)),
    )
    return made, stages


def dead(finder: str, born: int) -> Findings:
    return Findings(dead=[Finding(ID, MemberId(finder), Incarnation(born))])


def test_what_others_found_of_an_earlier_start_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = listed()
    after = again(fleet, layers={"from": 0, "targetVersion": 4, "version": 1})
    made, _ = spreading_of(fleet)
    monkeypatch.setattr("bayglade.spreading.eventlet.spawn_n", lambda *_: None)
    for finder in ("a", "b", "c"):
        made.merge_findings(MemberId("a"), dead(finder, BORN))
    assert not after.suspect
    for finder in ("a", "b"):
        made.merge_findings(MemberId("a"), dead(finder, LATER))
    assert after.suspect


def test_what_others_found_of_a_later_start_has_it_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = listed()
    before = fleet.servers[ID]
    made, _ = spreading_of(fleet)
    monkeypatch.setattr("bayglade.spreading.eventlet.spawn_n", lambda act, *args: act(*args))
    made.merge_findings(MemberId("a"), dead("a", LATER))
    assert fleet.servers[ID].facts.incarnation == LATER
    assert not fleet.servers[ID].suspect
    assert before.ended(0.0)


def test_loads_of_an_earlier_start_are_not_those_of_the_next() -> None:
    totals = LoadTotals(MemberId("me"))
    totals.assign({MemberId(name): HallName("h") for name in ("me", "a", "b")}, {})
    for name, born, heads in (("a", BORN, 7), ("b", LATER, 2)):
        loads = [ServerLoad(ID, heads, 0, Incarnation(born))]
        beat = Heartbeat(revision=Revision(1), draining=False, usage=[], leaving=[], held=[], loads=loads)
        totals.merge_heartbeat(MemberId(name), beat)
    fleet = listed()
    after = again(fleet)
    assert totals.other_daemons([])[after.facts.key].heads == 2


def loader_of(fleet: Fleet, report: Any, monkeypatch: pytest.MonkeyPatch) -> tuple[Loader, list[Span]]:
    placed: list[Span] = []

    def place(backend: BackendId, address: str, first: int, last: int, after: int) -> OrderOutcome:
        placed.append(Span(first, last))
        return OrderOutcome.TAKEN

    monkeypatch.setattr(loading, "now", lambda: 100.0)
    control: Any = SimpleNamespace(report=report, place=place)
    lease: Any = SimpleNamespace(keep=lambda: True, seconds_left=lambda: 9.0, release=lambda: None)
    fleet.grown_at = 0.0
    metrics: Any = create_metrics(None, "d")  # type: ignore[arg-type]
    model = {SERVICE: pipeline()}
    return Loader(fleet, control, lease, lambda: model, metrics, random.Random(1)), placed


def one_of_a_hall() -> tuple[Fleet, Server]:
    fleet = Fleet()
    facts = [msgspec.structs.replace(each, incarnation=Incarnation(BORN)) for each in servers(a={"big": 8})]
    fleet.take(facts, [], outage=False)
    return fleet, fleet.servers[facts[0].id]


def test_an_order_to_the_earlier_start_is_not_under_way(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet, server = one_of_a_hall()
    loader, _ = loader_of(fleet, lambda *_: None, monkeypatch)
    loader.given[server.facts.id] = Given(Span(0, 9), 99.0)
    facts = msgspec.structs.replace(server.facts, incarnation=Incarnation(LATER))
    fleet.take([facts], [], outage=False)
    assert loader._as_ordered(facts, 100.0).held == 0


def test_no_order_is_given_by_what_an_earlier_start_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet, server = one_of_a_hall()

    def report(*_: Any) -> Any:
        return msgspec.structs.replace(ALIVE, incarnation=Incarnation(LATER), first=0, last=0)

    loader, placed = loader_of(fleet, report, monkeypatch)
    loader._order(server.facts.id, Span(0, 9))
    assert placed == []
    assert fleet.servers[server.facts.id].facts.incarnation == LATER


def test_connections_to_the_earlier_start_are_closed() -> None:
    fleet = listed()
    links = Links()
    fleet.on_restart.append(links.drop)
    closed: list[str] = []
    resting: Any = SimpleNamespace(sock=SimpleNamespace(close=lambda: closed.append("closed")))
    links.idle[ID] = deque([resting])
    again(fleet)
    assert closed == ["closed"]
