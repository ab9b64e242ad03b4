"""Diagnosis: which stages are asked, how often, and what others are told."""

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
    ASKED_BY_TURNS,
    FRESH_SECONDS,
    KEPT_ANSWER_SECONDS,
    MANY_SILENT,
    Diagnosis,
    Finding,
)
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, HallName, RequestId, ServiceName
from bayglade.models import Route
from bayglade.relay import Attempts
from bayglade.runs import MAX_LOOK_SECONDS, Run
from bayglade.servers import Server, ServerFacts
from tests import virtual_time

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
    """Stages that answer or do not, as told."""

    def __init__(self, silent: set[str]) -> None:
        self.silent = silent
        self.asked: list[str] = []
        self.stalled: dict[RequestId, str] = {}
        self.held = (ALIVE.first, ALIVE.last)
        self.silent_when_kept: set[str] = set()
        """Those that answer on new connections only, for as long as an answer may take."""

    def report(
        self, backend: BackendId, address: str, timeout: float, anew: bool = False
    ) -> StageReport | None:
        self.asked.append(backend)
        if backend in self.silent_when_kept and not anew:
            eventlet.sleep(timeout)
            return None
        if backend in self.silent:
            return None
        first, last = self.held
        return msgspec.structs.replace(ALIVE, stalled=self.stalled, first=first, last=last)

    def reroute(self, backend: BackendId, address: str, request: RequestId, route: Route) -> RerouteOutcome:
        raise AssertionError("no stream is moved here")


def diagnose(silent: set[str], count: int = 4) -> tuple[Diagnosis, Stages, list[Server]]:
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


def test_a_stage_that_answers_again_is_told_of_once() -> None:
    diagnosis, stages, servers = diagnose({"s1"})
    told: list[str] = []
    diagnosis.on_back = lambda server: told.append(server.facts.id)
    assert diagnosis.examine(servers) == {"s1"}
    diagnosis.findings.clear()
    stages.silent.clear()
    diagnosis.look_again([servers[1]])
    diagnosis.look_again([servers[1]])
    assert told == ["s1"]
    assert not servers[1].suspect


def test_a_stage_that_stays_silent_is_not_told_of() -> None:
    diagnosis, _, servers = diagnose({"s1"})
    told: list[str] = []
    diagnosis.on_back = lambda server: told.append(server.facts.id)
    diagnosis.examine(servers)
    diagnosis.findings.clear()
    diagnosis.look_again([servers[1]])
    assert told == []
    assert servers[1].suspect


@pytest.mark.parametrize(("daemons", "slowest"), [(1, 0.5), (8, 0.5), (64, 4.0)])
def test_many_daemons_ask_suspect_stages_less_often_each(
    daemons: int, slowest: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    diagnosis, _, _ = diagnose(set())
    diagnosis.daemons = lambda: daemons
    pauses: list[float] = []

    def sleep(seconds: float) -> None:
        pauses.append(seconds)
        if len(pauses) > 20:
            raise InterruptedError

    monkeypatch.setattr("bayglade.diagnosis.eventlet.sleep", sleep)
    with pytest.raises(InterruptedError):
        diagnosis.recheck()
    assert max(pauses) <= slowest
    assert min(pauses) >= slowest / 2


class Path:
    """As much of a path as is looked at here."""

    def __init__(self, servers: list[Server]) -> None:
        self.servers = servers


class Peers:
    """As much of the relay's peers as is looked at here."""

    def __init__(self, diagnosis: Diagnosis) -> None:
        self.diagnosis = diagnosis


CALL: Any = SimpleNamespace(head=SimpleNamespace(id=RequestId("r")))


def test_looks_ask_the_first_stage_and_all_others_by_turns() -> None:
    diagnosis, stages, servers = diagnose(set(), 8)
    for _ in range(4):
        before = len(stages.asked)
        for finding in diagnosis.findings.values():
            finding.asked_at -= FRESH_SECONDS
        assert diagnosis.look(servers, RequestId("r")) == frozenset()
        assert len(stages.asked) == before + 1 + ASKED_BY_TURNS
    assert stages.asked.count("s0") == 4
    assert set(stages.asked) == {server.facts.id for server in servers}


def test_a_stage_that_the_first_one_names_is_asked_at_once() -> None:
    diagnosis, stages, servers = diagnose({"s7"}, 8)
    # Asked last of all, if it were by turns.
    diagnosis.findings[servers[7].facts.id] = Finding(ALIVE)
    diagnosis.findings[servers[7].facts.id].asked_at -= FRESH_SECONDS
    stages.stalled = {RequestId("r"): servers[7].facts.address}
    assert diagnosis.look(servers, RequestId("r")) == {"s7"}
    assert servers[7].suspect


def test_a_slow_stage_is_asked_again_until_it_is_quick(monkeypatch: pytest.MonkeyPatch) -> None:
    diagnosis, stages, servers = diagnose(set())
    diagnosis.fleet.update_pace(servers[2], 12.0)
    rounds = iter(range(3))

    def sleep(seconds: float) -> None:
        if next(rounds, None) is None:
            raise InterruptedError

    monkeypatch.setattr("bayglade.diagnosis.eventlet.sleep", sleep)
    with pytest.raises(InterruptedError):
        diagnosis.recheck()
    assert stages.asked == ["s2"]
    assert servers[2].pace == 1.0


def test_stages_that_answer_are_asked_less_and_less(monkeypatch: pytest.MonkeyPatch) -> None:
    diagnosis, stages, servers = diagnose(set())
    run = Run(Path(servers), Attempts(CALL))  # type: ignore[arg-type]
    at = 100.0
    monkeypatch.setattr(runs, "now", lambda: at)
    looks = []
    for step in range(40):
        at = 100.0 + step * PATIENCE
        before = len(stages.asked)
        diagnosis.findings.clear()
        assert runs.dead_stages(Peers(diagnosis), CALL, run, PATIENCE) == frozenset()  # type: ignore[arg-type]
        if len(stages.asked) > before:
            looks.append(step)
    assert looks[:3] == [0, 1, 3]
    assert len(looks) <= 4 + 40 * PATIENCE / MAX_LOOK_SECONDS
    run.moved_on()
    before = len(stages.asked)
    diagnosis.findings.clear()
    runs.dead_stages(Peers(diagnosis), CALL, run, PATIENCE)  # type: ignore[arg-type]
    assert len(stages.asked) == before + 1 + ASKED_BY_TURNS


def test_a_stage_that_others_found_dead_is_noticed_without_a_question() -> None:
    diagnosis, stages, servers = diagnose(set())
    run = Run(Path(servers), Attempts(CALL))  # type: ignore[arg-type]
    run.look_at = float("inf")
    servers[2].suspect = True
    assert runs.dead_stages(Peers(diagnosis), CALL, run, PATIENCE) == {"s2"}  # type: ignore[arg-type]
    assert stages.asked == []


def test_many_silent_stages_of_several_looks_are_a_fault_of_this_side() -> None:
    diagnosis, _, servers = diagnose({f"s{n}" for n in range(8)}, 8)
    for server in servers:
        diagnosis.look([server], RequestId("r"))
    suspects = [server for server in servers if server.suspect]
    # The first ones could as well have ended themselves.
    assert len(suspects) < MANY_SILENT


def test_stages_that_refuse_connections_are_known_to_be_dead_at_once() -> None:
    """Half of the stages ended at once; those behind the first were found dead 0.9 s later.

    899.689  server not reached  i-0-2  ECONNREFUSED
    899.690  stages silent  silent 1  of 2  outcome own fault
    900.604  server not reached  i-0-2  ECONNREFUSED
    900.608  server suspect  i-0-2
    """
    diagnosis, _, servers = diagnose({f"s{n}" for n in range(4)}, 8)
    for server in servers[:4]:
        server.connection_refused = True
    diagnosis.examine(servers[6:])
    for server in servers[:4]:
        assert diagnosis.look([server, servers[7]], RequestId("r")) == {server.facts.id}
    assert [server.suspect for server in servers] == [True] * 4 + [False] * 4


def test_a_daemon_to_which_nobody_answers_may_be_cut_off_itself() -> None:
    diagnosis, _, servers = diagnose({f"s{n}" for n in range(8)}, 8)
    for server in servers:
        server.connection_refused = True
    assert diagnosis.examine(servers) == frozenset()
    assert not any(server.suspect for server in servers)


def test_silent_stages_among_many_that_answer_are_suspect() -> None:
    diagnosis, _, servers = diagnose({"s1", "s4", "s7"}, 12)
    for server in servers:
        diagnosis.look([server], RequestId("r"))
    assert {server.facts.id for server in servers if server.suspect} == {"s1", "s4", "s7"}


def test_a_stage_that_is_silent_on_a_kept_connection_is_asked_on_a_new_one() -> None:
    diagnosis, stages, servers = diagnose(set(), 4)
    kept: set[str] = {servers[1].facts.id}
    dropped: list[BackendId] = []

    diagnosis.rests = kept.__contains__
    diagnosis.drop = dropped.append
    stages.silent_when_kept = kept
    assert diagnosis.examine(servers) == frozenset()
    assert dropped == [servers[1].facts.id]
    assert not servers[1].suspect


@pytest.mark.parametrize(
    ("still_for", "queued", "stalled", "silent"),
    [
        (runs.SILENT_SECONDS + 0.1, 0, False, True),
        (runs.SILENT_SECONDS - 0.1, 0, False, False),
        (runs.SILENT_SECONDS + 0.1, 3, False, False),
        (runs.SILENT_SECONDS + 0.1, 0, True, False),
    ],
    ids=["nothing explains it", "too early", "requests queue there", "a stage behind is waited for"],
)
def test_a_stream_that_nothing_holds_up_has_a_silent_connection(
    still_for: float, queued: int, stalled: bool, silent: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    diagnosis, _, servers = diagnose(set())
    run = Run(Path(servers), Attempts(CALL))  # type: ignore[arg-type]
    waits_for = {CALL.head.id: servers[2].facts.address} if stalled else {}
    report = msgspec.structs.replace(ALIVE, queued=queued, stalled=waits_for)
    diagnosis.findings[servers[0].facts.id] = Finding(report)
    monkeypatch.setattr(runs, "now", lambda: run.event_at + still_for)
    assert runs.connection_silent(Peers(diagnosis), CALL, run) is silent  # type: ignore[arg-type]


def test_a_server_that_comes_back_without_its_layers_stays_suspect_until_its_row_says_so() -> None:
    diagnosis, stages, servers = diagnose({"s1"})
    server = servers[1]
    diagnosis.examine(servers)
    stages.silent.clear()
    stages.held = (0, 0)
    diagnosis.findings.clear()
    diagnosis.look_again([server])
    assert server.suspect
    empty = msgspec.structs.replace(server.facts, first=0, last=0)
    diagnosis.fleet.apply_changes([empty], [], False)
    assert not server.suspect
    assert not server.facts.layer_count


class Connections:
    """A server that answers on the connections that are named, after some seconds."""

    def __init__(self, **after: float) -> None:
        self.after = after
        """Seconds until an answer on each kind of connection; negative where it breaks then."""

        self.asked: list[str] = []

    def report(
        self, backend: BackendId, address: str, timeout: float, anew: bool = False
    ) -> StageReport | None:
        name = "new" if anew else "kept"
        self.asked.append(name)
        seconds = self.after.get(name, timeout)
        eventlet.sleep(min(timeout, abs(seconds)))
        return ALIVE if 0 < seconds < timeout else None


@pytest.mark.parametrize(
    ("after", "alive", "asked", "distrusted"),
    [
        ({"kept": 0.002}, True, ["kept"], False),
        ({"kept": 0.05}, True, ["kept", "new"], False),
        ({"new": 0.002}, True, ["kept", "new"], True),
        ({}, False, ["kept", "new"], False),
        ({"kept": -0.001, "new": 0.002}, True, ["kept", "new"], False),
    ],
    ids=["answers", "slow", "kept one silent", "dark", "kept one broken"],
)
def test_a_server_is_asked_on_a_new_connection_beside_one_that_rested(
    after: dict[str, float],
    alive: bool,
    asked: list[str],
    distrusted: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Asked one after the other, dark first stages were found 0.12 s later than others.
    monkeypatch.setattr("bayglade.diagnosis.now", virtual_time.now)
    control = Connections(**after)
    told: list[float] = []

    def examine() -> tuple[bool, float]:
        diagnosis, _, servers = diagnose(set())
        diagnosis.control = control  # type: ignore[assignment]
        diagnosis.rests = lambda backend: True
        diagnosis.distrust = told.append
        return not diagnosis.examine([servers[0]]), virtual_time.now() - virtual_time.START

    found, seconds = virtual_time.run_virtually(examine)
    assert found is alive
    assert control.asked == asked
    assert bool(told) is distrusted
    assert seconds < KEPT_ANSWER_SECONDS + ANSWER_SECONDS + 0.001
