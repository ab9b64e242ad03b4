"""A server that restarts under its id is a new server, without any state of its earlier incarnation.

Guards against two faults: a server that announced its leaving and then restarted under its id was never
used again, and orders, layers, requests and findings of the earlier incarnation were attributed to it.
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
from bayglade.loading import Loader, PendingOrder
from bayglade.metrics import create_metrics
from bayglade.platform import decode_report
from bayglade.quarantine import Quarantine
from bayglade.servers import Server
from bayglade.spreading import Spreading
from bayglade.tiling import Span
from bayglade.totals import LoadTotals
from bayglade.upstream import ConnectionPool
from tests.server_rows import BORN, facts_of
from tests.test_diagnosis import ALIVE, Stages
from tests.test_tiling import SERVICE, pipeline, servers

ID = BackendId("s")
LATER = BORN + 5000


def fleet_with_server(**changes: Any) -> Fleet:
    fleet = Fleet()
    fleet.apply_changes([facts_of(**changes)], [], outage=False)
    return fleet


def restart(fleet: Fleet, born: int = LATER, outage: bool = False, **changes: Any) -> Server:
    """Apply a row with another start time; unless changed, the server holds no layers."""
    fleet.apply_changes([facts_of(born=born, **{"layers": None, **changes})], [], outage)
    return fleet.servers[ID]


def test_a_server_that_left_and_restarts_is_used() -> None:
    fleet = fleet_with_server(state="draining")
    assert restart(fleet, layers={"from": 0, "targetVersion": 4, "version": 1}).usable(0.0)


def test_state_of_the_earlier_incarnation_is_discarded() -> None:
    fleet = fleet_with_server()
    before = fleet.servers[ID]
    before.in_flight, before.cached, before.failures, before.pace = 5, 900.0, 3, 12.0
    before.full_until = 1e9
    fleet.mark_suspect(before, "silent")
    after = restart(fleet)
    assert after is not before
    assert (after.in_flight, after.cached, after.failures, after.pace) == (0, 0.0, 0, 1.0)
    assert (after.suspect, after.full_until, after.facts.layer_count) == (False, 0.0, 0)


def test_the_earlier_incarnation_counts_as_ended() -> None:
    fleet = fleet_with_server()
    before = fleet.servers[ID]
    restart(fleet)
    assert before.suspect
    assert before.has_ended(0.0)


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("outage", [False, True])
def test_an_earlier_incarnation_never_replaces_a_later_one(whole: bool, outage: bool) -> None:
    fleet = fleet_with_server()
    after = restart(fleet)
    late = [facts_of(state="draining")]
    if whole:
        fleet.apply_snapshot(late, outage)
    else:
        fleet.apply_changes(late, [], outage)
    assert fleet.servers[ID] is after
    assert not after.leaving


def test_an_earlier_incarnation_does_not_return_after_the_later_one_was_removed() -> None:
    fleet = fleet_with_server()
    restart(fleet)
    fleet.apply_changes([], [ID], outage=False)
    fleet.apply_changes([facts_of()], [], outage=False)
    assert fleet.servers == {}
    assert restart(fleet, LATER + 1).usable(0.0)


def test_two_restarts_in_one_update_in_the_wrong_order() -> None:
    fleet = fleet_with_server()
    fleet.apply_changes([facts_of(born=LATER + 1), facts_of(born=LATER)], [], outage=False)
    assert fleet.servers[ID].facts.incarnation == LATER + 1


def test_an_entry_that_expired_in_an_outage_does_not_remove_the_later_incarnation() -> None:
    fleet = fleet_with_server()
    fleet.apply_changes([], [ID], outage=True)
    after = restart(fleet, outage=True)
    fleet.drop_lapsed()
    assert fleet.servers == {ID: after}


def test_a_report_names_its_incarnation() -> None:
    report = decode_report(b'{"seq": 3, "busy": false, "born": %d}' % LATER)
    assert report is not None
    assert report.incarnation == LATER
    assert decode_report(b'{"seq": 3, "born": "today"}') is None


class OtherIncarnation(Stages):
    """Stages that report another incarnation."""

    born = LATER

    def report(self, backend: BackendId, address: str, timeout: float) -> Any:
        return msgspec.structs.replace(ALIVE, incarnation=Incarnation(self.born), last=0)


def diagnosis_of(born: int) -> tuple[Fleet, Diagnosis, Server]:
    fleet, stages = fleet_with_server(), OtherIncarnation(set())
    stages.born = born
    return fleet, Diagnosis(fleet, stages, random.Random(1)), fleet.servers[ID]


def test_a_report_of_a_later_incarnation_ends_the_earlier_one() -> None:
    fleet, diagnosis, before = diagnosis_of(LATER)
    assert diagnosis.probe([before]) == {ID}
    after = fleet.servers[ID]
    assert (after.facts.incarnation, after.facts.layer_count) == (LATER, 0)
    assert before.has_ended(0.0)
    # The outdated row of the earlier incarnation changes nothing.
    fleet.apply_changes([facts_of()], [], outage=False)
    assert fleet.servers[ID] is after


def test_a_report_of_an_earlier_incarnation_is_ignored() -> None:
    fleet, diagnosis, before = diagnosis_of(BORN - 1)
    assert diagnosis.probe([before]) == {ID}
    assert fleet.servers[ID] is before


def test_a_late_report_of_the_earlier_incarnation_is_ignored() -> None:
    fleet = fleet_with_server()
    before = fleet.servers[ID]

    class Slow(Stages):
        def report(self, backend: BackendId, address: str, timeout: float) -> Any:
            restart(fleet)
            return msgspec.structs.replace(ALIVE, incarnation=Incarnation(BORN), pace=9.0)

    diagnosis = Diagnosis(fleet, Slow(set()), random.Random(1))
    assert diagnosis.probe([before]) == {ID}
    assert fleet.servers[ID].pace == 1.0
    assert not fleet.servers[ID].suspect


def spreading_of(fleet: Fleet) -> tuple[Spreading, Stages]:
    stages = OtherIncarnation(set())
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


def test_findings_about_an_earlier_incarnation_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = fleet_with_server()
    after = restart(fleet, layers={"from": 0, "targetVersion": 4, "version": 1})
    made, _ = spreading_of(fleet)
    monkeypatch.setattr("bayglade.spreading.eventlet.spawn_n", lambda *_: None)
    for finder in ("a", "b", "c"):
        made.merge_findings(MemberId("a"), dead(finder, BORN))
    assert not after.suspect
    for finder in ("a", "b"):
        made.merge_findings(MemberId("a"), dead(finder, LATER))
    assert after.suspect


def test_a_finding_about_a_later_incarnation_has_the_server_probed(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = fleet_with_server()
    before = fleet.servers[ID]
    made, _ = spreading_of(fleet)
    monkeypatch.setattr("bayglade.spreading.eventlet.spawn_n", lambda act, *args: act(*args))
    made.merge_findings(MemberId("a"), dead("a", LATER))
    assert fleet.servers[ID].facts.incarnation == LATER
    assert not fleet.servers[ID].suspect
    assert before.has_ended(0.0)


def test_loads_of_an_earlier_incarnation_do_not_count() -> None:
    totals = LoadTotals(MemberId("me"))
    totals.assign({MemberId(name): HallName("h") for name in ("me", "a", "b")}, {})
    for name, born, heads in (("a", BORN, 7), ("b", LATER, 2)):
        loads = [ServerLoad(ID, heads, 0, Incarnation(born))]
        beat = Heartbeat(revision=Revision(1), draining=False, usage=[], leaving=[], held=[], loads=loads)
        totals.merge_heartbeat(MemberId(name), beat)
    fleet = fleet_with_server()
    after = restart(fleet)
    assert totals.other_daemons([])[after.facts.key].heads == 2


def loader_of(fleet: Fleet, report: Any, monkeypatch: pytest.MonkeyPatch) -> tuple[Loader, list[Span]]:
    placed: list[Span] = []

    def place(backend: BackendId, address: str, first: int, last: int, after: int) -> OrderOutcome:
        placed.append(Span(first, last))
        return OrderOutcome.TAKEN

    monkeypatch.setattr(loading, "now", lambda: 100.0)
    control: Any = SimpleNamespace(report=report, place=place)
    lease: Any = SimpleNamespace(
        acquire_or_renew=lambda: True, seconds_left=lambda: 9.0, release=lambda: None
    )
    fleet.last_added_at = 0.0
    metrics: Any = create_metrics(None, "d")  # type: ignore[arg-type]
    model = {SERVICE: pipeline()}
    return Loader(fleet, control, lease, lambda: model, metrics, random.Random(1)), placed


def fleet_of_a_hall() -> tuple[Fleet, Server]:
    fleet = Fleet()
    facts = [msgspec.structs.replace(each, incarnation=Incarnation(BORN)) for each in servers(a={"big": 8})]
    fleet.apply_changes(facts, [], outage=False)
    return fleet, fleet.servers[facts[0].id]


def test_an_order_to_the_earlier_incarnation_is_not_pending(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet, server = fleet_of_a_hall()
    loader, _ = loader_of(fleet, lambda *_: None, monkeypatch)
    loader.pending_orders[server.facts.id] = PendingOrder(Span(0, 9), 99.0)
    facts = msgspec.structs.replace(server.facts, incarnation=Incarnation(LATER))
    fleet.apply_changes([facts], [], outage=False)
    assert loader._with_pending_order(facts, 100.0).layer_count == 0


def test_no_order_is_sent_if_the_report_is_of_another_incarnation(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet, server = fleet_of_a_hall()

    def report(*_: Any) -> Any:
        return msgspec.structs.replace(ALIVE, incarnation=Incarnation(LATER), first=0, last=0)

    loader, placed = loader_of(fleet, report, monkeypatch)
    loader._send_order(server.facts.id, Span(0, 9))
    assert placed == []
    assert fleet.servers[server.facts.id].facts.incarnation == LATER


def test_connections_to_the_earlier_incarnation_are_closed() -> None:
    fleet = fleet_with_server()
    links = ConnectionPool()
    fleet.on_restart.append(links.close_idle)
    closed: list[str] = []
    resting: Any = SimpleNamespace(sock=SimpleNamespace(close=lambda: closed.append("closed")))
    links.idle[ID] = deque([resting])
    restart(fleet)
    assert closed == ["closed"]
