"""A request that many clients send isn't stopped for crashes that another request causes.

If all clients send one request, it has just begun on each server that another request crashes. A soak
stopped such a request for an hour after reports of three crashes came late and at once, with no answer
between them. Then no server could answer it any more, so nothing cleared it.

Three causes are tested: answers before the crashes counted for nothing; answers at other daemons
weren't known; and three servers that crash at one moment under such a request, as when a rack fails,
were attributed to it.
"""

import itertools
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import quarantine as quarantine_module
from bayglade import stops
from bayglade import suspects as suspects_module
from bayglade.answers import MAX_ANSWERS, MAX_CONTENT_BYTES, PROVEN_ANSWERS, PROVEN_SECONDS, Answers
from bayglade.calls import Call
from bayglade.entries.wire import Crash
from bayglade.evidence import COMMON_CAUSE_SECONDS, CRASHES_TO_STOP
from bayglade.fingerprints import fingerprint_of
from bayglade.ids import Fingerprint
from bayglade.quarantine import Quarantine
from bayglade.suspects import ANSWER_GRACE_SECONDS
from tests.test_quarantine import (
    KEY,
    Clock,
    crash_servers,
    make_call,
    make_quarantine,
    server_key,
    stop_rows,
    write_stops,
)
from tests.test_roster import Rows

COMMON, CRASHING = b"what all ask", b"what ends servers"


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    made = Clock()
    for module in (quarantine_module, suspects_module):
        monkeypatch.setattr(module, "now", made)
    return made


def answer_repeatedly(quarantine: Quarantine, clock: Clock, times: int = 200, body: bytes = COMMON) -> None:
    for _ in range(times):
        quarantine.note_answered(make_call(body))
        clock.at += 0.05


def connect(*daemons: Quarantine) -> None:
    """Have daemons report all they find out to each other at once, and forward what is new."""
    for daemon in daemons:

        def send_update(
            crashes: list[Crash], cleared: list[Fingerprint], sender: Quarantine = daemon
        ) -> None:
            for other in daemons:
                if other is not sender and (crashes or cleared):
                    send_update(*other.merge_crashes(crashes, cleared), other)

        def send_proven(fingerprints: list[Fingerprint], sender: Quarantine = daemon) -> None:
            for other in daemons:
                if other is not sender and fingerprints:
                    send_proven(other.suspects.merge_proven(fingerprints), other)

        daemon.on_update, daemon.suspects.on_proven = send_update, send_proven


def confirm_crashes_late(
    quarantine: Quarantine, *bodies: bytes, count: int = CRASHES_TO_STOP, first: int = 0
) -> None:
    """Have servers interrupt requests, and report all their crashes late and at once."""
    numbers = range(first, first + count)
    for number, body in itertools.product(numbers, bodies):
        quarantine.note_interrupted(make_call(body), server_key(number), None)
    for number in numbers:
        quarantine.server_ended(server_key(number))


def test_it_is_not_stopped_with_a_crashing_request_beside_it(clock: Clock) -> None:
    here, there = make_quarantine(), make_quarantine()
    connect(here, there)
    answer_repeatedly(here, clock)
    confirm_crashes_late(here, COMMON, CRASHING)
    for daemon in (here, there):
        assert daemon.is_stopped(make_call(CRASHING))
        assert not daemon.is_stopped(make_call(COMMON))


def test_it_is_not_stopped_if_another_daemon_saw_its_answers(clock: Clock) -> None:
    here, there, third = make_quarantine(), make_quarantine(), make_quarantine()
    connect(here, there, third)
    answer_repeatedly(there, clock)
    confirm_crashes_late(here, COMMON, CRASHING)
    for daemon in (here, there, third):
        assert daemon.is_stopped(make_call(CRASHING))
        assert not daemon.is_stopped(make_call(COMMON))


def test_it_is_not_stopped_if_servers_crash_at_one_moment(clock: Clock) -> None:
    here, there = make_quarantine(), make_quarantine()
    connect(here, there)
    answer_repeatedly(here, clock)
    confirm_crashes_late(here, COMMON, count=2 * CRASHES_TO_STOP)
    assert not here.is_stopped(make_call(COMMON))
    assert not there.is_stopped(make_call(COMMON))


def test_an_answer_at_a_daemon_without_evidence_clears_later_reports(clock: Clock) -> None:
    here, there = make_quarantine(), make_quarantine()
    connect(here, there)
    for number in range(CRASHES_TO_STOP):
        here.note_interrupted(make_call(COMMON), server_key(number), None)
    clock.at += 1.0
    # The other daemon has no evidence against any request yet.
    there.note_answered(make_call(COMMON))
    clock.at += 1.0
    for number in range(CRASHES_TO_STOP):
        here.server_ended(server_key(number))
    assert not here.is_stopped(make_call(COMMON))
    assert not there.is_stopped(make_call(COMMON))


def test_a_proven_request_that_starts_to_crash_servers_is_stopped(clock: Clock) -> None:
    here, there = make_quarantine(), make_quarantine()
    connect(here, there)
    answer_repeatedly(here, clock)
    for number in range(CRASHES_TO_STOP):
        assert not here.is_stopped(make_call(COMMON))
        clock.at += COMMON_CAUSE_SECONDS + 0.1
        crash_servers(here, make_call(COMMON), range(number, number + 1))
    assert here.is_stopped(make_call(COMMON))
    assert there.is_stopped(make_call(COMMON))


def test_changing_harmless_requests_explain_nothing(clock: Clock) -> None:
    quarantine = make_quarantine()
    answer_repeatedly(quarantine, clock)
    for number in range(CRASHES_TO_STOP):
        clock.at += COMMON_CAUSE_SECONDS + 0.1
        confirm_crashes_late(quarantine, COMMON, b"beside it %d" % number, count=1, first=number)
    assert quarantine.is_stopped(make_call(COMMON))


def test_a_request_with_few_answers_is_not_proven(clock: Clock) -> None:
    quarantine = make_quarantine()
    answer_repeatedly(quarantine, clock, PROVEN_ANSWERS - 1)
    confirm_crashes_late(quarantine, COMMON, CRASHING)
    assert quarantine.is_stopped(make_call(COMMON))


def test_old_answers_prove_nothing(clock: Clock) -> None:
    quarantine = make_quarantine()
    answer_repeatedly(quarantine, clock)
    clock.at += PROVEN_SECONDS + 1.0
    confirm_crashes_late(quarantine, COMMON, CRASHING)
    assert quarantine.is_stopped(make_call(COMMON))


def test_a_wrong_stop_in_the_store_is_lifted_by_a_daemon_with_proof(clock: Clock) -> None:
    store, uninformed, informed = Rows(), make_quarantine(), make_quarantine()
    confirm_crashes_late(uninformed, COMMON, CRASHING)
    assert uninformed.is_stopped(make_call(COMMON))
    clock.at += ANSWER_GRACE_SECONDS
    write_stops(uninformed, store)
    answer_repeatedly(informed, clock)
    informed.suspects.merge_stored(stops.read_stops(stop_rows(store)), True)
    assert informed.is_stopped(make_call(CRASHING))
    assert not informed.is_stopped(make_call(COMMON))
    assert informed.suspects.take_lifts() == [fingerprint_of(make_call(COMMON), KEY)]


@given(
    st.permutations([("crashes", n) for n in range(4)] + [("answers", n) for n in range(4)]),
    st.lists(st.integers(0, 2), min_size=4, max_size=4),
    st.integers(0, 2),
    st.randoms(use_true_random=False),
)
def test_daemons_reach_one_verdict_whatever_the_order_of_reports(
    steps: list[tuple[str, int]], begun_at: list[int], answering: int, rng: random.Random
) -> None:
    """Servers crash under one request, while a common one has just begun there at other daemons."""
    with pytest.MonkeyPatch.context() as patch:
        clock = Clock()
        for module in (quarantine_module, suspects_module):
            patch.setattr(module, "now", clock)
        daemons = [make_quarantine() for _ in range(3)]
        undelivered: list[tuple[Quarantine, str, list[Any]]] = []
        for daemon in daemons:

            def send_update(
                crashes: list[Crash], cleared: list[Fingerprint], me: Quarantine = daemon
            ) -> None:
                undelivered.extend(
                    (other, "update", [crashes, cleared]) for other in daemons if other is not me
                )

            def send_proven(fingerprints: list[Fingerprint], me: Quarantine = daemon) -> None:
                undelivered.extend(
                    (other, "proven", [fingerprints]) for other in daemons if other is not me
                )

            daemon.on_update, daemon.suspects.on_proven = send_update, send_proven
        answer_repeatedly(daemons[answering], clock, PROVEN_ANSWERS)
        for what, number in steps:
            clock.at += 0.3
            if what == "answers":
                # Not where it is stopped at the moment.
                if not daemons[answering].is_stopped(make_call(COMMON)):
                    daemons[answering].note_answered(make_call(COMMON))
            else:
                daemons[begun_at[number]].note_interrupted(make_call(COMMON), server_key(number), None)
                daemons[begun_at[number - 1]].note_interrupted(
                    make_call(CRASHING), server_key(number), None
                )
                for daemon in daemons:
                    daemon.server_ended(server_key(number))
            while undelivered and rng.random() < 0.5:
                deliver(undelivered, rng)
        while undelivered:
            deliver(undelivered, rng)
        for daemon in daemons:
            assert daemon.is_stopped(make_call(CRASHING))
            assert not daemon.is_stopped(make_call(COMMON))


def deliver(undelivered: list[tuple[Quarantine, str, list[Any]]], rng: random.Random) -> None:
    """Deliver one report in random order, and forward what is new in it to the others."""
    to, kind, report = undelivered.pop(rng.randrange(len(undelivered)))
    if kind == "proven":
        if fresh := to.suspects.merge_proven(*report):
            to.suspects.on_proven(fresh)
        return
    crashes, cleared = to.merge_crashes(*report)
    if crashes or cleared:
        to.on_update(crashes, cleared)


def answered_call(number: int, size: int = 1) -> Call:
    return make_call(b"%d" % number + b"x" * size)


def test_recorded_answers_are_bounded() -> None:
    answers = Answers()
    for number in range(2 * MAX_ANSWERS):
        answers.note(answered_call(number), float(number))
    assert len(answers.answered) == MAX_ANSWERS
    answers.proven(fingerprint_of(answered_call(0), KEY), KEY, 0.0)
    assert len(answers.by_fingerprint) == MAX_ANSWERS
    for number in range(8):
        answers.note(answered_call(number, MAX_CONTENT_BYTES // 4), 1e4 + number)
    assert answers.content_bytes <= MAX_CONTENT_BYTES
    assert len(answers.by_fingerprint) + len(answers.not_fingerprinted) == len(answers.answered)


def test_fingerprints_follow_the_key() -> None:
    answers = Answers()
    for at in range(PROVEN_ANSWERS):
        answers.note(make_call(), float(at))
    assert answers.proven(fingerprint_of(make_call(), KEY), KEY, 10.0)
    answers.forget_fingerprints()
    assert answers.proven(fingerprint_of(make_call(), b"another"), b"another", 10.0)
    assert not answers.proven(fingerprint_of(make_call(), KEY), b"another", 10.0)
