"""Diagnosis: which stages are probed, how often, and what is reported to other daemons."""

import random
from types import SimpleNamespace
from typing import Any

import eventlet
import msgspec
import pytest

from bayglade import runs
from bayglade.control import RerouteOutcome, StageReport
from bayglade.diagnosis import (
    ANSWER_SECONDS,
    IDLE_ANSWER_SECONDS,
    LOCAL_FAULT_SILENT,
    REUSE_SECONDS,
    STAGES_PER_PROBE,
    Diagnosis,
    ProbeResult,
)
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, HallName, RequestId, ServiceName
from bayglade.models import Route
from bayglade.relay import Attempts
from bayglade.runs import MAX_PROBE_INTERVAL, Run
from bayglade.servers import Server, ServerFacts
from standins import virtual_time

PATIENCE = 0.1
ALIVE = StageReport(
    orders_taken=0,
    loading=False,
    first=0,
    last=4,
    running=0,
    queued=0,
    cache_used=0,
    cache_total=1,
    pace=1.0,
    stalled={},
)


class Stages:
    """Stages that answer or stay silent as the test sets it."""

    def __init__(self, silent: set[str]) -> None:
        self.silent = silent
        self.asked: list[str] = []
        self.stalled: dict[RequestId, str] = {}
        self.held = (ALIVE.first, ALIVE.last)
        self.silent_when_idle: set[str] = set()
        """Stages that stay silent on idle connections until the time limit, and answer on new ones."""

    def report(
        self, backend: BackendId, address: str, timeout: float, anew: bool = False
    ) -> StageReport | None:
        self.asked.append(backend)
        if backend in self.silent_when_idle and not anew:
            eventlet.sleep(timeout)
            return None
        if backend in self.silent:
            return None
        first, last = self.held
        return msgspec.structs.replace(ALIVE, stalled=self.stalled, first=first, last=last)

    def reroute(self, backend: BackendId, address: str, request: RequestId, route: Route) -> RerouteOutcome:
        raise AssertionError("no stream is rerouted in these tests")


def make_diagnosis(silent: set[str], count: int = 4) -> tuple[Diagnosis, Stages, list[Server]]:
    fleet = Fleet()
    facts = [
        ServerFacts(
            id=BackendId(f"s{n}"),
            service=ServiceName("model"),
            address=f"10.0.0.{n}:1",
            hall=HallName("h"),
            slots=8,
            first=0,
            last=4,
        )
        for n in range(count)
    ]
    fleet.apply_changes(facts, [], False)
    stages = Stages(silent)
    return Diagnosis(fleet, stages, random.Random(1)), stages, list(fleet.servers.values())  # type: ignore[arg-type]


def test_a_recovered_stage_is_reported_once() -> None:
    diagnosis, stages, servers = make_diagnosis({"s1"})
    reported: list[str] = []
    diagnosis.on_back = lambda server: reported.append(server.facts.id)
    assert diagnosis.probe(servers) == {"s1"}
    diagnosis.results.clear()
    stages.silent.clear()
    diagnosis.probe_suspects([servers[1]])
    diagnosis.probe_suspects([servers[1]])
    assert reported == ["s1"]
    assert not servers[1].suspect


def test_a_stage_that_stays_silent_is_not_reported_back() -> None:
    diagnosis, _, servers = make_diagnosis({"s1"})
    reported: list[str] = []
    diagnosis.on_back = lambda server: reported.append(server.facts.id)
    diagnosis.probe(servers)
    diagnosis.results.clear()
    diagnosis.probe_suspects([servers[1]])
    assert reported == []
    assert servers[1].suspect


@pytest.mark.parametrize(("daemons", "slowest"), [(1, 0.5), (8, 0.5), (64, 4.0)])
def test_many_daemons_each_probe_suspect_stages_less_often(
    daemons: int, slowest: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    diagnosis, _, _ = make_diagnosis(set())
    diagnosis.count_daemons = lambda: daemons
    pauses: list[float] = []

    def sleep(seconds: float) -> None:
        pauses.append(seconds)
        if len(pauses) > 20:
            raise InterruptedError

    monkeypatch.setattr("bayglade.diagnosis.eventlet.sleep", sleep)
    with pytest.raises(InterruptedError):
        diagnosis.recheck_forever()
    assert max(pauses) <= slowest
    assert min(pauses) >= slowest / 2


class Path:
    """The part of a path that is needed here."""

    def __init__(self, servers: list[Server]) -> None:
        self.servers = servers


class Peers:
    """The part of the relay's peers that is needed here."""

    def __init__(self, diagnosis: Diagnosis) -> None:
        self.diagnosis = diagnosis


CALL: Any = SimpleNamespace(head=SimpleNamespace(id=RequestId("r")), sent_before=False)


def test_probes_ask_the_first_stage_and_the_others_in_rotation() -> None:
    diagnosis, stages, servers = make_diagnosis(set(), 8)
    for _ in range(4):
        before = len(stages.asked)
        for result in diagnosis.results.values():
            result.asked_at -= REUSE_SECONDS
        assert diagnosis.diagnose(servers, RequestId("r")) == frozenset()
        assert len(stages.asked) == before + 1 + STAGES_PER_PROBE
    assert stages.asked.count("s0") == 4
    assert set(stages.asked) == {server.facts.id for server in servers}


def test_a_stage_named_by_the_first_is_probed_at_once() -> None:
    diagnosis, stages, servers = make_diagnosis({"s7"}, 8)
    # In rotation alone it would be probed last.
    diagnosis.results[servers[7].facts.id] = ProbeResult(ALIVE)
    diagnosis.results[servers[7].facts.id].asked_at -= REUSE_SECONDS
    stages.stalled = {RequestId("r"): servers[7].facts.address}
    assert diagnosis.diagnose(servers, RequestId("r")) == {"s7"}
    assert servers[7].suspect


def test_a_slow_stage_is_probed_until_it_recovers(monkeypatch: pytest.MonkeyPatch) -> None:
    diagnosis, stages, servers = make_diagnosis(set())
    diagnosis.fleet.update_pace(servers[2], 12.0)
    rounds = iter(range(3))

    def sleep(seconds: float) -> None:
        if next(rounds, None) is None:
            raise InterruptedError

    monkeypatch.setattr("bayglade.diagnosis.eventlet.sleep", sleep)
    with pytest.raises(InterruptedError):
        diagnosis.recheck_forever()
    assert stages.asked == ["s2"]
    assert servers[2].pace == 1.0


def test_stages_that_answer_are_probed_less_and_less_often(monkeypatch: pytest.MonkeyPatch) -> None:
    diagnosis, stages, servers = make_diagnosis(set())
    run = Run(Path(servers), Attempts(CALL))  # type: ignore[arg-type]
    at = 100.0
    monkeypatch.setattr(runs, "now", lambda: at)
    probed_at = []
    for step in range(40):
        at = 100.0 + step * PATIENCE
        before = len(stages.asked)
        diagnosis.results.clear()
        assert runs.find_dead_stages(Peers(diagnosis), CALL, run, PATIENCE) == frozenset()  # type: ignore[arg-type]
        if len(stages.asked) > before:
            probed_at.append(step)
    assert probed_at[:3] == [0, 1, 3]
    assert len(probed_at) <= 4 + 40 * PATIENCE / MAX_PROBE_INTERVAL
    run.note_event()
    before = len(stages.asked)
    diagnosis.results.clear()
    runs.find_dead_stages(Peers(diagnosis), CALL, run, PATIENCE)  # type: ignore[arg-type]
    assert len(stages.asked) == before + 1 + STAGES_PER_PROBE


def test_a_stage_found_dead_by_others_is_noticed_without_a_probe() -> None:
    diagnosis, stages, servers = make_diagnosis(set())
    run = Run(Path(servers), Attempts(CALL))  # type: ignore[arg-type]
    run.next_probe_at = float("inf")
    servers[2].suspect = True
    assert runs.find_dead_stages(Peers(diagnosis), CALL, run, PATIENCE) == {"s2"}  # type: ignore[arg-type]
    assert stages.asked == []


def test_many_silent_stages_in_several_probes_are_a_local_fault() -> None:
    diagnosis, _, servers = make_diagnosis({f"s{n}" for n in range(8)}, 8)
    for server in servers:
        diagnosis.diagnose([server], RequestId("r"))
    suspects = [server for server in servers if server.suspect]
    # The first ones could just as well have ended themselves.
    assert len(suspects) < LOCAL_FAULT_SILENT


def test_stages_that_refuse_connections_are_found_dead_at_once() -> None:
    """A refused connection proves that a stage is dead, even if few stages were probed.

    Half of the stages ended at once, and those behind the first were found dead only 0.9 s later. A
    first probe with one silent stage of two was taken for a local fault, though the stage refused
    connections.
    """
    diagnosis, _, servers = make_diagnosis({f"s{n}" for n in range(4)}, 8)
    for server in servers[:4]:
        server.connection_refused = True
    diagnosis.probe(servers[6:])
    for server in servers[:4]:
        assert diagnosis.diagnose([server, servers[7]], RequestId("r")) == {server.facts.id}
    assert [server.suspect for server in servers] == [True] * 4 + [False] * 4


def test_a_daemon_that_gets_no_answer_may_be_cut_off_itself() -> None:
    diagnosis, _, servers = make_diagnosis({f"s{n}" for n in range(8)}, 8)
    for server in servers:
        server.connection_refused = True
    assert diagnosis.probe(servers) == frozenset()
    assert not any(server.suspect for server in servers)


def test_silent_stages_among_many_that_answer_are_suspect() -> None:
    diagnosis, _, servers = make_diagnosis({"s1", "s4", "s7"}, 12)
    for server in servers:
        diagnosis.diagnose([server], RequestId("r"))
    assert {server.facts.id for server in servers if server.suspect} == {"s1", "s4", "s7"}


def test_a_stage_silent_on_an_idle_connection_is_probed_on_a_new_one() -> None:
    diagnosis, stages, servers = make_diagnosis(set(), 4)
    idle: set[str] = {servers[1].facts.id}
    dropped: list[BackendId] = []

    diagnosis.has_idle = idle.__contains__
    diagnosis.close_idle = dropped.append
    stages.silent_when_idle = idle
    assert diagnosis.probe(servers) == frozenset()
    assert dropped == [servers[1].facts.id]
    assert not servers[1].suspect


@pytest.mark.parametrize(
    ("stalled_for", "queued", "stalled", "silent"),
    [
        (runs.SILENT_CONNECTION_SECONDS + 0.1, 0, False, True),
        (runs.SILENT_CONNECTION_SECONDS - 0.1, 0, False, False),
        (runs.SILENT_CONNECTION_SECONDS + 0.1, 3, False, False),
        (runs.SILENT_CONNECTION_SECONDS + 0.1, 0, True, False),
    ],
    ids=["nothing explains it", "too early", "requests queue there", "it waits for a later stage"],
)
def test_a_stream_stalled_for_no_known_reason_has_a_silent_connection(
    stalled_for: float, queued: int, stalled: bool, silent: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    diagnosis, _, servers = make_diagnosis(set())
    run = Run(Path(servers), Attempts(CALL))  # type: ignore[arg-type]
    waits_for = {CALL.head.id: servers[2].facts.address} if stalled else {}
    report = msgspec.structs.replace(ALIVE, queued=queued, stalled=waits_for)
    diagnosis.results[servers[0].facts.id] = ProbeResult(report)
    monkeypatch.setattr(runs, "now", lambda: run.last_event_at + stalled_for)
    assert runs.is_connection_silent(Peers(diagnosis), CALL, run) is silent  # type: ignore[arg-type]


def test_a_server_that_returns_without_its_layers_stays_suspect_until_its_row_changes() -> None:
    diagnosis, stages, servers = make_diagnosis({"s1"})
    server = servers[1]
    diagnosis.probe(servers)
    stages.silent.clear()
    stages.held = (0, 0)
    diagnosis.results.clear()
    diagnosis.probe_suspects([server])
    assert server.suspect
    empty = msgspec.structs.replace(server.facts, first=0, last=0)
    diagnosis.fleet.apply_changes([empty], [], False)
    assert not server.suspect
    assert not server.facts.layer_count


class Connections:
    """A server that answers on each kind of connection after a given delay, or not at all."""

    def __init__(self, **after: float) -> None:
        self.after = after
        """Seconds until an answer on each kind of connection; negative if it breaks then."""

        self.asked: list[str] = []

    def report(
        self, backend: BackendId, address: str, timeout: float, anew: bool = False
    ) -> StageReport | None:
        name = "new" if anew else "idle"
        self.asked.append(name)
        seconds = self.after.get(name, timeout)
        eventlet.sleep(min(timeout, abs(seconds)))
        return ALIVE if 0 < seconds < timeout else None


@pytest.mark.parametrize(
    ("after", "alive", "asked", "distrusted"),
    [
        ({"idle": 0.002}, True, ["idle"], False),
        ({"idle": 0.05}, True, ["idle", "new"], False),
        ({"new": 0.002}, True, ["idle", "new"], True),
        ({}, False, ["idle", "new"], False),
        ({"idle": -0.001, "new": 0.002}, True, ["idle", "new"], False),
    ],
    ids=["answers", "slow", "idle one silent", "dead", "idle one broken"],
)
def test_a_server_is_probed_on_a_new_connection_besides_an_idle_one(
    after: dict[str, float],
    alive: bool,
    asked: list[str],
    distrusted: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # When connections were tried one after the other, dead first stages were found 0.12 s later than
    # others.
    monkeypatch.setattr("bayglade.diagnosis.now", virtual_time.now)
    control = Connections(**after)
    reported: list[float] = []

    def probe() -> tuple[bool, float]:
        diagnosis, _, servers = make_diagnosis(set())
        diagnosis.control = control  # type: ignore[assignment]
        diagnosis.has_idle = lambda backend: True
        diagnosis.distrust_idle = reported.append
        return not diagnosis.probe([servers[0]]), virtual_time.now() - virtual_time.START

    found, seconds = virtual_time.run_virtually(probe)
    assert found is alive
    assert control.asked == asked
    assert bool(reported) is distrusted
    assert seconds < IDLE_ANSWER_SECONDS + ANSWER_SECONDS + 0.001
