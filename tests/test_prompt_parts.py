"""Parts of prompts that crash servers: which are stopped, what clears them, and how daemons agree."""

import itertools
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import quarantine as quarantine_module
from bayglade import stops
from bayglade import suspects as suspects_module
from bayglade.answers import MAX_ANSWERS, MAX_COUNTED_PARTS, PROVEN_ANSWERS, PartAnswers
from bayglade.attribution import CRASHES_TO_STOP_PROVEN_PART
from bayglade.calls import Call, CallHead
from bayglade.entries.wire import Crash, SoundPart
from bayglade.evidence import CRASHES_TO_STOP, Subject
from bayglade.exceptions import RequestStopped
from bayglade.fingerprints import part_fingerprint
from bayglade.ids import Fingerprint, PromptPartId, RequestId, ServerKey, ServiceName
from bayglade.part_trials import BACKOFF, GRACE_SECONDS, INTERVAL_SECONDS, TURN_SECONDS
from bayglade.quarantine import Quarantine
from bayglade.suspects import ANSWER_GRACE_SECONDS
from tests.test_quarantine import KEY, Clock, make_call, make_quarantine, server_key, stop_rows, write_stops
from tests.test_roster import Rows

COMMON, CRASHING, SOUND = "aa", "dead", "bb"
_servers = itertools.count(1000)
_bodies = itertools.count(1)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    made = Clock()
    for module in (quarantine_module, suspects_module):
        monkeypatch.setattr(module, "now", made)
    return made


def make_prompt(*parts: str) -> Call:
    """Return a request that is unlike all others, with these shared parts in its prompt."""
    shared = tuple(PromptPartId(part) for part in parts)
    head = CallHead(id=RequestId("r"), host="site.example", shared_parts=shared)
    return make_call(b"%d" % next(_bodies), head=head)


def name_of(part: str) -> Fingerprint:
    return part_fingerprint(ServiceName("s"), PromptPartId(part), KEY)


def crash(daemon: Quarantine, clock: Clock, *calls: Call, gap: float = 0.6) -> None:
    """Have a server crash under calls that were just sent to it."""
    clock.at += gap
    key, sent_at = server_key(next(_servers)), clock.at
    clock.at += 0.1
    for call in calls:
        daemon.note_interrupted(call, key, None, sent_at)
    daemon.server_ended(key)


def run(daemon: Quarantine, clock: Clock, *parts: str) -> None:
    """Have a server run a request for long enough to show that it does not crash."""
    begun_at = clock.at
    clock.at += 0.5
    daemon.note_sound(make_prompt(*parts), begun_at)


def connect(*daemons: Quarantine) -> None:
    """Have daemons tell each other at once what they find, and forward what is new."""
    for daemon in daemons:

        def tell(crashes: Any, cleared: Any, sender: Quarantine = daemon) -> None:
            for other in daemons:
                if other is not sender and (crashes or cleared):
                    tell(*other.merge_crashes(crashes, cleared), other)

        def tell_sound(reports: list[SoundPart], sender: Quarantine = daemon) -> None:
            for other in daemons:
                if other is not sender and reports:
                    tell_sound(other.merge_sound(reports), other)

        daemon.on_update, daemon.suspects.on_sound = tell, tell_sound


def answer_repeatedly(daemon: Quarantine, *parts: str) -> None:
    for _ in range(PROVEN_ANSWERS):
        daemon.note_answered(make_prompt(*parts))


def refused(daemon: Quarantine, *parts: str) -> bool:
    return daemon.is_stopped(make_prompt(*parts))


def test_different_requests_that_crash_servers_stop_the_part_that_they_share(clock: Clock) -> None:
    daemon = make_quarantine()
    for number in range(CRASHES_TO_STOP):
        assert not refused(daemon, COMMON, CRASHING)
        crash(daemon, clock, make_prompt(COMMON, CRASHING, f"c{number}"))
        run(daemon, clock, COMMON, SOUND)
    with pytest.raises(RequestStopped, match="3 servers ended when they ran requests with a part"):
        daemon.check(make_prompt(CRASHING))
    assert not refused(daemon, COMMON, SOUND)


def test_one_request_does_not_stop_the_parts_of_its_prompt(clock: Clock) -> None:
    daemon, call = make_quarantine(), make_prompt(COMMON, SOUND)
    for _ in range(CRASHES_TO_STOP):
        crash(daemon, clock, call)
    assert daemon.is_stopped(call)
    assert not refused(daemon, COMMON, SOUND)


def test_a_run_that_began_before_a_crash_does_not_clear_a_part(clock: Clock) -> None:
    daemon = make_quarantine()
    begun_at = clock.at
    clock.at += 0.1
    for _ in range(CRASHES_TO_STOP):
        crash(daemon, clock, make_prompt(CRASHING))
    daemon.note_sound(make_prompt(CRASHING), begun_at)
    assert refused(daemon, CRASHING)


def test_a_part_that_was_answered_before_needs_one_more_crash(clock: Clock) -> None:
    daemon = make_quarantine()
    answer_repeatedly(daemon, COMMON, CRASHING)
    for _ in range(CRASHES_TO_STOP_PROVEN_PART):
        assert not refused(daemon, COMMON, CRASHING)
        crash(daemon, clock, make_prompt(COMMON, CRASHING))
        run(daemon, clock, COMMON, SOUND)
    assert refused(daemon, COMMON, CRASHING)


def test_a_crash_that_may_stop_a_part_answered_before_delays_the_next_attempt(clock: Clock) -> None:
    daemon = make_quarantine()
    answer_repeatedly(daemon, COMMON, CRASHING)
    for _ in range(CRASHES_TO_STOP_PROVEN_PART - 1):
        crash(daemon, clock, make_prompt(COMMON, CRASHING))
    call, key = make_prompt(COMMON, CRASHING), server_key(next(_servers))
    assert daemon.resend_delay(call) == 0.0
    daemon.note_interrupted(call, key, None, clock.at)
    assert daemon.resend_delay(call) > 0.0


def test_parts_that_cannot_be_told_apart_are_refused_together_only(clock: Clock) -> None:
    daemon = make_quarantine()
    for _ in range(CRASHES_TO_STOP):
        crash(daemon, clock, make_prompt(COMMON, CRASHING, SOUND))
    assert refused(daemon, SOUND, COMMON, CRASHING)
    assert not refused(daemon, COMMON, SOUND)
    crash(daemon, clock, make_prompt(CRASHING))
    assert refused(daemon, CRASHING)
    assert not refused(daemon, COMMON, SOUND)


def test_two_parts_that_crash_servers_are_told_from_what_they_share(clock: Clock) -> None:
    daemon = make_quarantine()
    for number in range(2 * CRASHES_TO_STOP):
        crash(daemon, clock, make_prompt(COMMON, ("dead", "deaf")[number % 2]))
        run(daemon, clock, COMMON)
    assert refused(daemon, COMMON, "dead")
    assert refused(daemon, COMMON, "deaf")
    assert not refused(daemon, COMMON, SOUND)


def test_requests_interrupted_beside_a_crashing_part_are_not_stopped(clock: Clock) -> None:
    daemon, beside = make_quarantine(), make_prompt(COMMON, SOUND)
    for _ in range(CRASHES_TO_STOP + 1):
        crash(
            daemon, clock, make_prompt(COMMON, CRASHING), beside, make_prompt(COMMON), make_prompt(COMMON)
        )
        if not refused(daemon, CRASHING):
            run(daemon, clock, COMMON)
    assert refused(daemon, COMMON, CRASHING)
    assert not refused(daemon, COMMON, SOUND)
    crash(daemon, clock, make_prompt(COMMON, CRASHING))
    assert not daemon.is_stopped(beside)


def test_servers_that_crash_together_stop_no_part(clock: Clock) -> None:
    daemon = make_quarantine()
    sent_at, keys = clock.at, [server_key(next(_servers)) for _ in range(20)]
    clock.at += 0.1
    for number, key in enumerate(keys):
        clock.at += 0.05
        daemon.note_interrupted(make_prompt(COMMON, f"c{number}"), key, None, sent_at)
        daemon.server_ended(key)
    assert not refused(daemon, COMMON)


def test_servers_whose_crashes_are_noticed_one_after_the_other_stop_no_part(clock: Clock) -> None:
    """Half of all servers crashed in 0.1 s, and requests that had been cut were sent on to some of them."""
    daemon = make_quarantine()
    for _ in range(CRASHES_TO_STOP + 2):
        crash(daemon, clock, make_prompt(COMMON, SOUND), make_prompt(COMMON, SOUND), gap=0.0)
    assert not refused(daemon, COMMON, SOUND)


def test_the_parts_of_another_service_are_not_stopped(clock: Clock) -> None:
    daemon = make_quarantine()
    for _ in range(CRASHES_TO_STOP):
        crash(daemon, clock, make_prompt(CRASHING))
    call = make_prompt(CRASHING)
    call.service = ServiceName("other")
    assert not daemon.is_stopped(call)


def test_a_run_at_another_daemon_clears_a_part(clock: Clock) -> None:
    here, there = make_quarantine(), make_quarantine()
    connect(here, there)
    for _ in range(CRASHES_TO_STOP):
        crash(here, clock, make_prompt(COMMON, CRASHING))
    assert refused(there, COMMON, CRASHING)
    run(there, clock, COMMON, CRASHING)
    assert not refused(here, COMMON, CRASHING)
    assert not refused(there, COMMON, CRASHING)


def test_a_crash_reported_late_does_not_count_against_a_part_that_has_run_since(clock: Clock) -> None:
    here, there = make_quarantine(), make_quarantine()
    crash(here, clock, make_prompt("other"))
    run(here, clock, COMMON)
    sent: list[SoundPart] = []
    here.suspects.on_sound = sent.extend
    late = [
        Crash(Fingerprint(f"{number}"), *server_key(number), 4.0 - number, (name_of(COMMON),), 0.05)
        for number in range(CRASHES_TO_STOP)
    ]
    there.merge_crashes(late, [])
    assert refused(there, COMMON)
    here.merge_crashes(late, [])
    assert not refused(here, COMMON)
    there.merge_sound(sent)
    assert not refused(there, COMMON)


def test_a_joining_daemon_learns_of_crashes_and_of_what_has_run_since(clock: Clock) -> None:
    here, new = make_quarantine(), make_quarantine()
    for _ in range(CRASHES_TO_STOP):
        crash(here, clock, make_prompt(COMMON, CRASHING))
    run(here, clock, COMMON)
    crashes, proven = here.suspects.snapshot()
    new.merge_sound(here.suspects.snapshot_sound(crashes))
    new.suspects.merge_proven(proven)
    new.merge_crashes(crashes, [])
    assert refused(new, CRASHING)
    assert not refused(new, COMMON)


def test_a_stop_of_a_part_outlasts_all_daemons(clock: Clock) -> None:
    daemon, store, again = make_quarantine(), Rows(), make_quarantine()
    for _ in range(CRASHES_TO_STOP):
        crash(daemon, clock, make_prompt(COMMON, CRASHING))
        run(daemon, clock, COMMON)
    clock.at += ANSWER_GRACE_SECONDS
    write_stops(daemon, store)
    again.suspects.merge_stored(stops.read_stops(stop_rows(store)), True)
    assert refused(again, CRASHING)
    assert not refused(again, COMMON)
    crash(again, clock, make_prompt("other"))
    assert refused(again, CRASHING)
    run(again, clock, CRASHING)
    assert not refused(again, CRASHING)
    assert again.suspects.take_lifts() == [name_of(CRASHING)]
    # Another daemon that does not know yet writes its row once more.
    again.suspects.merge_stored(stops.read_stops(stop_rows(store)), True)
    assert not refused(again, CRASHING)
    assert again.suspects.take_lifts() == [name_of(CRASHING)]


def stopped_daemon(clock: Clock) -> Quarantine:
    daemon = make_quarantine()
    for _ in range(CRASHES_TO_STOP):
        crash(daemon, clock, make_prompt(CRASHING))
    return daemon


def is_trial(daemon: Quarantine) -> bool:
    call = make_prompt(CRASHING)
    try:
        daemon.check_arrival(call)
    except RequestStopped:
        return False
    assert not daemon.is_stopped(call)
    daemon.end_trial(call)
    assert daemon.is_stopped(call)
    return True


def test_a_stopped_part_is_tried_again_with_one_call(clock: Clock) -> None:
    daemon = stopped_daemon(clock)
    clock.at += INTERVAL_SECONDS - 0.1
    assert not is_trial(daemon)
    clock.at += 0.2
    assert is_trial(daemon)
    assert not is_trial(daemon)
    run(daemon, clock, CRASHING)
    assert not refused(daemon, CRASHING)


def test_a_trial_that_crashes_a_server_delays_the_next(clock: Clock) -> None:
    daemon = stopped_daemon(clock)
    clock.at += INTERVAL_SECONDS + GRACE_SECONDS
    assert is_trial(daemon)
    crash(daemon, clock, make_prompt(CRASHING))
    clock.at += INTERVAL_SECONDS * BACKOFF - 0.1
    assert not is_trial(daemon)
    clock.at += 0.2
    assert is_trial(daemon)


def test_one_daemon_at_a_time_tries_a_stopped_part(clock: Clock) -> None:
    daemon = stopped_daemon(clock)
    turns: list[str] = []
    daemon.has_turn = lambda turn: turns.append(turn) or len(turns) > 1  # type: ignore[func-returns-value]
    clock.at += INTERVAL_SECONDS + 0.1
    assert not is_trial(daemon)
    clock.at += TURN_SECONDS
    assert is_trial(daemon)
    assert len(set(turns)) == 2


def test_counts_of_answered_parts_are_bounded() -> None:
    answers, numbers = PartAnswers(), iter(range(3 * MAX_COUNTED_PARTS))
    for number in numbers:
        answers.note(make_prompt(f"{number}"), 1.0)
        if number % MAX_ANSWERS == 0:
            answers.proven(Fingerprint("x"), KEY, 1.0)
    assert len(answers.counts) <= MAX_COUNTED_PARTS
    assert len(answers.pending) <= MAX_ANSWERS


def test_nothing_is_computed_while_no_server_crashes(clock: Clock) -> None:
    daemon, call = make_quarantine(), make_prompt(COMMON, SOUND)
    daemon.check_arrival(call)
    daemon.note_answered(call)
    daemon.note_sound(call, clock.at)
    assert call.part_fingerprints is None
    assert call.fingerprint is None
    assert not daemon.suspects.part_answers.counts


@given(st.randoms(use_true_random=False), st.integers(0, 6))
def test_daemons_agree_in_whatever_order_reports_arrive(rng: random.Random, sound_after: int) -> None:
    with pytest.MonkeyPatch.context() as patch:
        clock = Clock()
        for module in (quarantine_module, suspects_module):
            patch.setattr(module, "now", clock)
        names = {part: name_of(part) for part in (COMMON, CRASHING, SOUND, "cc")}
        reports: list[Any] = []
        keys: list[ServerKey] = [server_key(number) for number in range(6)]
        for number, key in enumerate(keys):
            parts = (names[COMMON], names[CRASHING], names[("cc", SOUND)[number % 3 == 0]])
            reports.append(Crash(Fingerprint(f"{number // 2}"), *key, 6.0 - number, parts, 0.1))
            beside = (names[COMMON], names[SOUND])
            reports.append(Crash(Fingerprint(f"beside {number}"), *key, 6.0 - number, beside, 0.2))
        reports.append(SoundPart(names[COMMON], 6.5 - sound_after))
        verdicts = []
        for _ in range(3):
            daemon = Quarantine(KEY, random.Random(1))
            rng.shuffle(reports)
            for report in reports:
                if isinstance(report, Crash):
                    daemon.merge_crashes([report], [])
                else:
                    daemon.merge_sound([report])
            verdicts.append({name for name, _ in daemon.suspects.stopped()})
        assert verdicts[0] == verdicts[1] == verdicts[2]
        assert names[CRASHING] in verdicts[0]
        assert daemon.suspects.evidence[names[CRASHING]].subject is Subject.PROMPT_PART
