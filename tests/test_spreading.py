"""Findings of stages: passed on, believed when enough daemons made them, looked into by few."""

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
from tests.test_diagnosis import Stages, diagnose

OTHER = MemberId("other")


def finding(finder: str) -> Finding:
    return Finding(BackendId("s"), MemberId(finder))


def test_what_enough_daemons_found_is_believed_for_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    at = 100.0
    monkeypatch.setattr(reports, "now", lambda: at)
    heard = HeardFindings()
    assert heard.add([finding("a")]) == [finding("a")]
    assert heard.add([finding("a")]) == []
    assert not heard.is_believed(BackendId("s"))
    for n in range(FINDERS_TO_BELIEVE):
        heard.add([finding(f"b{n}")])
    assert heard.is_believed(BackendId("s"))
    at += FINDING_SECONDS + 0.1
    assert not heard.is_believed(BackendId("s"))
    assert heard.add([finding("a")]) == [finding("a")]


def test_findings_beyond_those_believed_are_not_passed_on() -> None:
    heard = HeardFindings()
    passed = [n for n in range(20) if heard.add([finding(f"d{n}")])]
    assert len(passed) == MAX_FORWARDED


def spread(
    silent: set[str], daemons: int, passes_on: bool = True
) -> tuple[Spreading, list[Findings], Stages]:
    told: list[Findings] = []
    diagnosis, stages, _ = diagnose(silent)
    made = Spreading(
        MemberId("me"),
        diagnosis.fleet,
        diagnosis,
        lambda findings, but: told.append(findings),
        lambda: passes_on,
        lambda: daemons,
        random.Random(1),
        Quarantine(b"key", random.Random(1)),
    )
    return made, told, stages


def dead(backend: str, finder: str) -> Findings:
    return Findings(dead=[Finding(BackendId(backend), MemberId(finder))])


def test_what_one_daemon_found_is_passed_on_once_and_believed_from_two() -> None:
    made, told, _ = spread(set(), 10_000)
    server = made.fleet.servers[BackendId("s1")]
    made.heard(OTHER, dead("s1", "a"))
    made.heard(OTHER, dead("s1", "a"))
    assert told == [dead("s1", "a")]
    assert not server.suspect
    made.heard(OTHER, dead("s1", "b"))
    assert server.suspect


def test_a_follower_passes_nothing_on() -> None:
    made, told, _ = spread(set(), 10, passes_on=False)
    made.heard(OTHER, dead("s1", "a"))
    assert told == []


@pytest.mark.parametrize(("daemons", "looks"), [(PROBING_DAEMONS, 200), (10 * PROBING_DAEMONS, 20)])
def test_few_of_many_daemons_look_for_themselves(
    daemons: int, looks: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    made, _, _ = spread(set(), daemons)
    asked: list[object] = []
    monkeypatch.setattr(spreading.eventlet, "spawn_n", lambda act, servers: asked.append(servers))
    for _ in range(200):
        made.dead.server_restarted(BackendId("s1"))
        made.heard(OTHER, dead("s1", "a"))
    assert looks / 2 <= len(asked) <= looks * 2


def test_that_a_stage_answers_again_is_believed_at_once() -> None:
    made, told, _ = spread({"s1"}, 10)
    server = made.fleet.servers[BackendId("s1")]
    made.diagnosis.examine(list(made.fleet.servers.values()))
    assert server.suspect
    assert [(finding.backend, finding.finder) for finding in told[0].dead] == [("s1", "me")]
    assert len(told) == 1
    back = Findings(back=[Finding(server.facts.id, OTHER)])
    made.heard(OTHER, back)
    assert not server.suspect
    assert told[-1] == back


def test_a_stage_that_went_silent_once_more_is_told_of_again() -> None:
    made, told, stages = spread({"s1"}, 10)
    servers = list(made.fleet.servers.values())
    for _ in range(2):
        stages.silent = {"s1"}
        made.diagnosis.findings.clear()
        made.diagnosis.examine(servers)
        stages.silent = set()
        made.diagnosis.findings.clear()
        made.diagnosis.look_again(servers)
    assert [bool(findings.dead) for findings in told] == [True, False, True, False]


@pytest.mark.parametrize("seed", range(5))
def test_contrary_words_of_one_stage_die_out(seed: int) -> None:
    rng = random.Random(seed)
    names = [MemberId(f"d{n}") for n in range(9)]
    daemons: dict[MemberId, Spreading] = {}
    waiting: list[tuple[MemberId, MemberId, Findings]] = []
    for name in names:
        daemons[name], _, _ = spread(set(), len(names))
        daemons[name].me = name
        daemons[name].diagnosis.examine = lambda servers: frozenset()  # type: ignore[method-assign]
        daemons[name].tell = lambda found, but, me=name: waiting.extend(  # type: ignore[misc]
            (me, other, found) for other in names if other not in (me, but)
        )
    for finder in names[:2]:
        daemons[finder].tell(dead("s1", finder), None)
    for finder in names[7:]:
        daemons[finder].tell(Findings(back=[Finding(BackendId("s1"), finder)]), None)
    told = 0
    while waiting and told < 20_000:
        sender, to, found = waiting.pop(rng.randrange(len(waiting)))
        daemons[to].heard(sender, found)
        told += 1
    # Each of the four words goes once from each daemon to each other one at most, as little besides.
    assert told <= 4 * len(names) * len(names)
