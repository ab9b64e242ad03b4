"""Word of servers that end under a question outlives the daemon that saw them, and reaches who was away.

Eight servers ended under one question, four of them late. Soaks of kills and freezes of daemons beside an
unsteady store made it come (seeds 1003 and 1012 of the focused acts):

    1681.645  i-1-2, then i-0-2, i-0-1 and i-1-1 end under it, sent by d1 and d2
    1682.786  d2 is frozen, 1683.076  d1 is killed; the store is silent, so no row tells of new starts
    1686.134  d2, awake for 24 ms, sends it to i-0-0
    1687.049  d1, started anew, sends it to i-1-0 and i-0-0
    1687.409  d2 can read the store again: request stopped

What broke off was known to the daemon that had sent it only, until the end was sure; a daemon that woke in
its wait for word went on before it had read any; and one that joined was told nothing.
"""

import random
from types import SimpleNamespace
from typing import Any

import eventlet
import pytest

from bayglade import quarantine as quarantine_module
from bayglade.config import parse_address
from bayglade.entries import membership as membership_module
from bayglade.entries.membership import Member, Membership
from bayglade.entries.wire import Crash, Findings
from bayglade.evidence import CRASHES_TO_STOP
from bayglade.fingerprints import fingerprint_of
from bayglade.ids import MemberId
from bayglade.quarantine import MAX_SHARED_ON_JOIN, MAX_SUSPECTS, UNCONFIRMED_SECONDS, Quarantine
from tests.test_quarantine import KEY, Clock, call, end_under, make, start


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    made = Clock()
    monkeypatch.setattr(quarantine_module, "now", made)
    return made


def breaks_of(quarantine: Quarantine, numbers: range) -> list[Crash]:
    """Break a question off on some servers; return what the daemon tells of it."""
    told: list[Crash] = []
    quarantine.on_interrupted = told.append
    for number in numbers:
        quarantine.note_interrupted(call(), start(number), None)
    return told


def test_what_broke_off_at_a_daemon_that_ended_counts_once_the_ends_are_sure(clock: Clock) -> None:
    gone, left = make(), make()
    assert left.merge_interruptions(breaks_of(gone, range(CRASHES_TO_STOP)))
    clock.at += 3.0
    for number in range(CRASHES_TO_STOP):
        assert not left.is_stopped(call())
        left.server_ended(start(number))
    assert left.is_stopped(call())


def test_what_broke_off_counts_when_the_end_was_known_before(clock: Clock) -> None:
    sender, knowing = make(), make()
    for number in range(CRASHES_TO_STOP):
        knowing.server_ended(start(number))
    knowing.merge_interruptions(breaks_of(sender, range(CRASHES_TO_STOP)))
    assert knowing.is_stopped(call())


def test_a_break_alone_counts_for_nothing(clock: Clock) -> None:
    sender, other = make(), make()
    other.merge_interruptions(breaks_of(sender, range(CRASHES_TO_STOP)))
    assert not other.is_stopped(call())
    clock.at += 0.1
    for number in range(CRASHES_TO_STOP):
        other.server_alive(start(number), clock.at)
        other.server_ended(start(number))
    assert not other.is_stopped(call())


def test_an_answer_after_the_break_clears_what_others_told(clock: Clock) -> None:
    sender, other = make(), make()
    other.merge_interruptions(breaks_of(sender, range(CRASHES_TO_STOP)))
    clock.at += 0.1
    other.note_answered(call())
    for number in range(CRASHES_TO_STOP):
        other.server_ended(start(number))
    assert not other.is_stopped(call())


def test_breaks_are_forgotten_in_time(clock: Clock) -> None:
    sender, other = make(), make()
    told = breaks_of(sender, range(CRASHES_TO_STOP))
    other.merge_interruptions(told)
    clock.at += UNCONFIRMED_SECONDS + 0.1
    other.tidy()
    for number in range(CRASHES_TO_STOP):
        other.server_ended(start(number))
    assert not other.is_stopped(call())
    assert not other.remote_unconfirmed
    assert not other.seen_interruptions


def test_words_of_breaks_die_out_whatever_comes_between(clock: Clock) -> None:
    daemons = [make() for _ in range(30)]
    rng = random.Random(1)
    waiting = [(daemons[0], breaks_of(make(), range(1)))]
    delivered = 0
    while waiting:
        to, breaks = waiting.pop(rng.randrange(len(waiting)))
        delivered += 1
        assert delivered < 2 * len(daemons) ** 2
        if fresh := to.merge_interruptions(breaks):
            waiting += [(other, fresh) for other in daemons if other is not to]
        # A contrary word comes at the same time: the server lives.
        to.server_alive(start(0), clock.at + 1.0)


def test_word_of_breaks_is_bounded(clock: Clock) -> None:
    quarantine = make()
    for number in range(MAX_SUSPECTS + 10):
        name = fingerprint_of(call(b"%d" % number), KEY)
        quarantine.merge_interruptions([Crash(name, *start(1))])
    assert len(quarantine.seen_interruptions) == MAX_SUSPECTS
    old = Crash(fingerprint_of(call(), KEY), *start(2), UNCONFIRMED_SECONDS + 0.1)
    assert make().merge_interruptions([old]) == []


def test_a_daemon_that_joins_is_told_what_is_held_back_and_what_is_proven(clock: Clock) -> None:
    here, new = make(), make()
    end_under(here, call(), range(CRASHES_TO_STOP))
    here.merge_proven([fingerprint_of(call(b"asked by all"), KEY)])
    end_under(here, call(b"asked by all"), range(CRASHES_TO_STOP))
    crashes, proven = here.snapshot()
    new.merge_proven(proven)
    new.merge_crashes(crashes, [])
    assert new.is_stopped(call())
    assert not new.is_stopped(call(b"asked by all"))


def test_what_a_daemon_is_told_that_joins_is_bounded(clock: Clock) -> None:
    here = make()
    for number in range(2 * MAX_SHARED_ON_JOIN):
        end_under(here, call(b"%d" % number), range(number, number + 1))
    crashes, _ = here.snapshot()
    assert len(crashes) == MAX_SHARED_ON_JOIN


def test_a_new_stream_to_a_daemon_begins_with_what_it_has_to_know(monkeypatch: pytest.MonkeyPatch) -> None:
    sent: list[Any] = []
    stream = SimpleNamespace(send=sent.append, sent_bytes=0, close=lambda: None)
    monkeypatch.setattr(membership_module.streams, "dial", lambda *_: stream)
    made: Any = Membership.__new__(Membership)
    made.me, made.secret, made.rng, made.bytes_out = MemberId("me"), b"s", random.Random(1), 0
    made._heartbeat = lambda member: "heartbeat"
    made.greet = lambda: [Findings(proven=[fingerprint_of(call(), KEY)])]
    task = eventlet.spawn(made._send, Member(MemberId("new"), parse_address("127.0.0.1:1")))
    eventlet.sleep(0)
    eventlet.sleep(0)
    task.kill()
    assert sent == [*made.greet(), "heartbeat"]


def test_an_answer_at_the_daemon_that_told_of_a_break_clears_it_everywhere(clock: Clock) -> None:
    sender, other, third = make(), make(), make()
    told: list[Any] = []
    sender.on_update = lambda crashes, cleared: told.append((crashes, cleared))
    fresh = other.merge_interruptions(breaks_of(sender, range(CRASHES_TO_STOP)))
    third.merge_interruptions(fresh)
    clock.at += 0.1
    sender.note_answered(call())
    passed_on = other.merge_crashes(*told[0])
    third.merge_crashes(*passed_on)
    for daemon in (sender, other, third):
        for number in range(CRASHES_TO_STOP):
            daemon.server_ended(start(number))
        assert not daemon.is_stopped(call())
    # It is told once.
    sender.note_answered(call())
    assert len(told) == 1
