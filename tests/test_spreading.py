"""Findings about stages: how they are forwarded, believed and verified."""

import random

import pytest

from bayglade import reports, spreading
from bayglade.entries.wire import Finding, Findings
from bayglade.ids import BackendId, MemberId
from bayglade.quarantine import Quarantine
from bayglade.reports import (
    FINDERS_TO_BELIEVE,
    FINDING_SECONDS,
    MAX_FORWARDED,
    PROBING_DAEMONS,
    HeardFindings,
)
from bayglade.spreading import Spreading
from tests.test_diagnosis import Stages, make_diagnosis

OTHER = MemberId("other")


def finding(finder: str) -> Finding:
    return Finding(BackendId("s"), MemberId(finder))


def test_a_finding_of_enough_daemons_is_believed_for_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    at = 100.0
    monkeypatch.setattr(reports, "now", lambda: at)
    received = HeardFindings()
    assert received.add([finding("a")]) == [finding("a")]
    assert received.add([finding("a")]) == []
    assert not received.is_believed(BackendId("s"))
    for n in range(FINDERS_TO_BELIEVE):
        received.add([finding(f"b{n}")])
    assert received.is_believed(BackendId("s"))
    at += FINDING_SECONDS + 0.1
    assert not received.is_believed(BackendId("s"))
    assert received.add([finding("a")]) == [finding("a")]


def test_findings_beyond_those_needed_are_not_forwarded() -> None:
    received = HeardFindings()
    forwarded = [n for n in range(20) if received.add([finding(f"d{n}")])]
    assert len(forwarded) == MAX_FORWARDED


def make_spreading(
    silent: set[str], daemons: int, forwards: bool = True
) -> tuple[Spreading, list[Findings], Stages]:
    sent: list[Findings] = []
    diagnosis, stages, _ = make_diagnosis(silent)
    made = Spreading(
        MemberId("me"),
        diagnosis.fleet,
        diagnosis,
        lambda findings, but: sent.append(findings),
        lambda: forwards,
        lambda: daemons,
        random.Random(1),
        Quarantine(b"key", random.Random(1)),
    )
    return made, sent, stages


def dead(backend: str, finder: str) -> Findings:
    return Findings(dead=[Finding(BackendId(backend), MemberId(finder))])


def test_a_finding_is_forwarded_once_and_believed_from_two_daemons() -> None:
    made, sent, _ = make_spreading(set(), 10_000)
    server = made.fleet.servers[BackendId("s1")]
    made.merge_findings(OTHER, dead("s1", "a"))
    made.merge_findings(OTHER, dead("s1", "a"))
    assert sent == [dead("s1", "a")]
    assert not server.suspect
    made.merge_findings(OTHER, dead("s1", "b"))
    assert server.suspect


def test_a_follower_forwards_nothing() -> None:
    made, sent, _ = make_spreading(set(), 10, forwards=False)
    made.merge_findings(OTHER, dead("s1", "a"))
    assert sent == []


@pytest.mark.parametrize(("daemons", "probes"), [(PROBING_DAEMONS, 200), (10 * PROBING_DAEMONS, 20)])
def test_few_of_many_daemons_probe_for_themselves(
    daemons: int, probes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    made, _, _ = make_spreading(set(), daemons)
    probed: list[object] = []
    monkeypatch.setattr(spreading.eventlet, "spawn_n", lambda act, servers: probed.append(servers))
    for _ in range(200):
        made.dead.server_restarted(BackendId("s1"))
        made.merge_findings(OTHER, dead("s1", "a"))
    assert probes / 2 <= len(probed) <= probes * 2


def test_a_recovery_is_believed_at_once() -> None:
    made, sent, _ = make_spreading({"s1"}, 10)
    server = made.fleet.servers[BackendId("s1")]
    made.diagnosis.probe(list(made.fleet.servers.values()))
    assert server.suspect
    assert [(finding.backend, finding.finder) for finding in sent[0].dead] == [("s1", "me")]
    assert len(sent) == 1
    back = Findings(back=[Finding(server.facts.id, OTHER)])
    made.merge_findings(OTHER, back)
    assert not server.suspect
    assert sent[-1] == back


def test_a_stage_that_falls_silent_again_is_reported_again() -> None:
    made, sent, stages = make_spreading({"s1"}, 10)
    servers = list(made.fleet.servers.values())
    for _ in range(2):
        stages.silent = {"s1"}
        made.diagnosis.results.clear()
        made.diagnosis.probe(servers)
        stages.silent = set()
        made.diagnosis.results.clear()
        made.diagnosis.probe_suspects(servers)
    assert [bool(findings.dead) for findings in sent] == [True, False, True, False]


@pytest.mark.parametrize("seed", range(5))
def test_contradicting_findings_do_not_circulate_forever(seed: int) -> None:
    rng = random.Random(seed)
    names = [MemberId(f"d{n}") for n in range(9)]
    daemons: dict[MemberId, Spreading] = {}
    in_transit: list[tuple[MemberId, MemberId, Findings]] = []
    for name in names:
        daemons[name], _, _ = make_spreading(set(), len(names))
        daemons[name].me = name
        daemons[name].diagnosis.probe = lambda servers: frozenset()  # type: ignore[method-assign]
        daemons[name].broadcast = lambda found, but, me=name: in_transit.extend(  # type: ignore[misc]
            (me, other, found) for other in names if other not in (me, but)
        )
    for finder in names[:2]:
        daemons[finder].broadcast(dead("s1", finder), None)
    for finder in names[7:]:
        daemons[finder].broadcast(Findings(back=[Finding(BackendId("s1"), finder)]), None)
    delivered = 0
    while in_transit and delivered < 20_000:
        sender, to, found = in_transit.pop(rng.randrange(len(in_transit)))
        daemons[to].merge_findings(sender, found)
        delivered += 1
    # Each of the four findings goes from each daemon to each other one once at most; little else is
    # sent.
    assert delivered <= 4 * len(names) * len(names)
