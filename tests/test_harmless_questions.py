"""A question that many callers ask alike is not held back for what ends servers beside it.

With all callers asking one question, it has just begun on each server that ends under another one. A soak
held it back for an hour once word of three such ends came late and at once, so that no answer lay between
them; nobody could answer it any more, so nothing cleared it. Two daemons without chance, 200 answers in 10
seconds and then three ends, before the mend:

    answers here, beside a deadly question   held back here and there
    answers at the other daemon              held back here and there
    three servers end at one moment          held back here and there
    one answer between the ends              not held back

Answers before the ends counted for nothing, those at other daemons were not known, and three servers that
end at one moment under such a question, as when a rack fails, were put down to it.
"""

import itertools
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import quarantine as quarantine_module
from bayglade import stops
from bayglade.answers import MAX_ANSWERS, MAX_BODY_BYTES, PROVEN_ANSWERS, PROVEN_SECONDS, Answers
from bayglade.calls import Call
from bayglade.entries.wire import Crash
from bayglade.evidence import COMMON_CAUSE_SECONDS, CRASHES_TO_STOP
from bayglade.fingerprints import fingerprint_of
from bayglade.ids import Fingerprint
from bayglade.quarantine import ANSWER_GRACE_SECONDS, Quarantine
from tests.test_quarantine import KEY, Clock, call, end_under, make, start, stop_rows, written
from tests.test_roster import Rows

ASKED, DEADLY = b"what all ask", b"what ends servers"


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    made = Clock()
    monkeypatch.setattr(quarantine_module, "now", made)
    return made


def answer_often(quarantine: Quarantine, clock: Clock, times: int = 200, body: bytes = ASKED) -> None:
    for _ in range(times):
        quarantine.note_answered(call(body))
        clock.at += 0.05


def join(*daemons: Quarantine) -> None:
    """Have daemons tell each other all they find out, at once, and pass on what is new to them."""
    for daemon in daemons:

        def tell(crashes: list[Crash], cleared: list[Fingerprint], teller: Quarantine = daemon) -> None:
            for other in daemons:
                if other is not teller and (crashes or cleared):
                    tell(*other.merge_crashes(crashes, cleared), other)

        def tell_proven(names: list[Fingerprint], teller: Quarantine = daemon) -> None:
            for other in daemons:
                if other is not teller and names:
                    tell_proven(other.merge_proven(names), other)

        daemon.on_update, daemon.on_proven = tell, tell_proven


def end_late(quarantine: Quarantine, *bodies: bytes, count: int = CRASHES_TO_STOP, first: int = 0) -> None:
    """Have servers break questions off, and word of their ends come late and at once."""
    numbers = range(first, first + count)
    for number, body in itertools.product(numbers, bodies):
        quarantine.note_interrupted(call(body), start(number), None)
    for number in numbers:
        quarantine.server_ended(start(number))


def test_it_is_not_held_back_with_a_deadly_one_beside_it(clock: Clock) -> None:
    here, there = make(), make()
    join(here, there)
    answer_often(here, clock)
    end_late(here, ASKED, DEADLY)
    for daemon in (here, there):
        assert daemon.is_stopped(call(DEADLY))
        assert not daemon.is_stopped(call(ASKED))


def test_it_is_not_held_back_when_its_answers_came_at_another_daemon(clock: Clock) -> None:
    here, there, third = make(), make(), make()
    join(here, there, third)
    answer_often(there, clock)
    end_late(here, ASKED, DEADLY)
    for daemon in (here, there, third):
        assert daemon.is_stopped(call(DEADLY))
        assert not daemon.is_stopped(call(ASKED))


def test_it_is_not_held_back_when_servers_end_at_one_moment(clock: Clock) -> None:
    here, there = make(), make()
    join(here, there)
    answer_often(here, clock)
    end_late(here, ASKED, count=2 * CRASHES_TO_STOP)
    assert not here.is_stopped(call(ASKED))
    assert not there.is_stopped(call(ASKED))


def test_an_answer_at_a_calm_daemon_clears_ends_of_which_word_comes_later(clock: Clock) -> None:
    here, there = make(), make()
    join(here, there)
    for number in range(CRASHES_TO_STOP):
        here.note_interrupted(call(ASKED), start(number), None)
    clock.at += 1.0
    # Nothing stands against any request there yet.
    there.note_answered(call(ASKED))
    clock.at += 1.0
    for number in range(CRASHES_TO_STOP):
        here.server_ended(start(number))
    assert not here.is_stopped(call(ASKED))
    assert not there.is_stopped(call(ASKED))


def test_one_that_begins_to_end_servers_by_itself_is_stopped(clock: Clock) -> None:
    here, there = make(), make()
    join(here, there)
    answer_often(here, clock)
    for number in range(CRASHES_TO_STOP):
        assert not here.is_stopped(call(ASKED))
        clock.at += COMMON_CAUSE_SECONDS + 0.1
        end_under(here, call(ASKED), range(number, number + 1))
    assert here.is_stopped(call(ASKED))
    assert there.is_stopped(call(ASKED))


def test_harmless_ones_that_change_explain_nothing(clock: Clock) -> None:
    quarantine = make()
    answer_often(quarantine, clock)
    for number in range(CRASHES_TO_STOP):
        clock.at += COMMON_CAUSE_SECONDS + 0.1
        end_late(quarantine, ASKED, b"beside it %d" % number, count=1, first=number)
    assert quarantine.is_stopped(call(ASKED))


def test_one_that_was_answered_now_and_then_is_stopped_as_one_never_answered(clock: Clock) -> None:
    quarantine = make()
    answer_often(quarantine, clock, PROVEN_ANSWERS - 1)
    end_late(quarantine, ASKED, DEADLY)
    assert quarantine.is_stopped(call(ASKED))


def test_answers_of_long_ago_prove_nothing(clock: Clock) -> None:
    quarantine = make()
    answer_often(quarantine, clock)
    clock.at += PROVEN_SECONDS + 1.0
    end_late(quarantine, ASKED, DEADLY)
    assert quarantine.is_stopped(call(ASKED))


def test_a_wrong_stop_in_the_store_is_lifted_by_who_knows_better(clock: Clock) -> None:
    store, early, knowing = Rows(), make(), make()
    end_late(early, ASKED, DEADLY)
    assert early.is_stopped(call(ASKED))
    clock.at += ANSWER_GRACE_SECONDS
    written(early, store)
    answer_often(knowing, clock)
    knowing.merge_stored(stops.read_stops(stop_rows(store)), True)
    assert knowing.is_stopped(call(DEADLY))
    assert not knowing.is_stopped(call(ASKED))
    assert knowing.take_lifts() == [fingerprint_of(call(ASKED), KEY)]


@given(
    st.permutations([("ends", n) for n in range(4)] + [("answers", n) for n in range(4)]),
    st.lists(st.integers(0, 2), min_size=4, max_size=4),
    st.integers(0, 2),
    st.randoms(use_true_random=False),
)
def test_daemons_come_to_one_verdict_in_whatever_order_they_hear(
    moments: list[tuple[str, int]], begun_at: list[int], answering: int, rng: random.Random
) -> None:
    """Servers end under a deadly question, with one that all ask just begun there at other daemons."""
    with pytest.MonkeyPatch.context() as patch:
        clock = Clock()
        patch.setattr(quarantine_module, "now", clock)
        daemons = [make() for _ in range(3)]
        late: list[tuple[Quarantine, str, list[Any]]] = []
        for daemon in daemons:

            def tell(crashes: list[Crash], cleared: list[Fingerprint], me: Quarantine = daemon) -> None:
                late.extend((other, "news", [crashes, cleared]) for other in daemons if other is not me)

            def tell_proven(names: list[Fingerprint], me: Quarantine = daemon) -> None:
                late.extend((other, "proven", [names]) for other in daemons if other is not me)

            daemon.on_update, daemon.on_proven = tell, tell_proven
        answer_often(daemons[answering], clock, PROVEN_ANSWERS)
        for what, number in moments:
            clock.at += 0.3
            if what == "answers":
                # Not where it is held back for the moment.
                if not daemons[answering].is_stopped(call(ASKED)):
                    daemons[answering].note_answered(call(ASKED))
            else:
                daemons[begun_at[number]].note_interrupted(call(ASKED), start(number), None)
                daemons[begun_at[number - 1]].note_interrupted(call(DEADLY), start(number), None)
                for daemon in daemons:
                    daemon.server_ended(start(number))
            while late and rng.random() < 0.5:
                deliver(late, rng)
        while late:
            deliver(late, rng)
        for daemon in daemons:
            assert daemon.is_stopped(call(DEADLY))
            assert not daemon.is_stopped(call(ASKED))


def deliver(late: list[tuple[Quarantine, str, list[Any]]], rng: random.Random) -> None:
    """Have one word arrive, and what is new in it go on to the others."""
    to, kind, words = late.pop(rng.randrange(len(late)))
    if kind == "proven":
        if fresh := to.merge_proven(*words):
            to.on_proven(fresh)
        return
    crashes, cleared = to.merge_crashes(*words)
    if crashes or cleared:
        to.on_update(crashes, cleared)


def answered_call(number: int, size: int = 1) -> Call:
    return call(b"%d" % number + b"x" * size)


def test_what_is_kept_of_answers_is_bounded() -> None:
    answers = Answers()
    for number in range(2 * MAX_ANSWERS):
        answers.note(answered_call(number), float(number))
    assert len(answers.answered) == MAX_ANSWERS
    answers.proven(fingerprint_of(answered_call(0), KEY), KEY, 0.0)
    assert len(answers.by_fingerprint) == MAX_ANSWERS
    for number in range(8):
        answers.note(answered_call(number, MAX_BODY_BYTES // 4), 1e4 + number)
    assert answers.body_bytes <= MAX_BODY_BYTES
    assert len(answers.by_fingerprint) + len(answers.not_fingerprinted) == len(answers.answered)


def test_names_follow_the_key() -> None:
    answers = Answers()
    for at in range(PROVEN_ANSWERS):
        answers.note(call(), float(at))
    assert answers.proven(fingerprint_of(call(), KEY), KEY, 10.0)
    answers.forget_fingerprints()
    assert answers.proven(fingerprint_of(call(), b"another"), b"another", 10.0)
    assert not answers.proven(fingerprint_of(call(), KEY), b"another", 10.0)
