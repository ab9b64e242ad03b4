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
from bayglade.evidence import MOST_ENDS
from bayglade.fingerprints import fingerprint_of
from bayglade.ids import MemberId
from bayglade.quarantine import MAX_SUSPECTS, MAX_TOLD, UNSURE_SECONDS, Quarantine
from tests.test_quarantine import KEY, Clock, call, end_under, make, start


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    made = Clock()
    monkeypatch.setattr(quarantine_module, "now", made)
    return made


def breaks_of(quarantine: Quarantine, numbers: range) -> list[Crash]:
    """Break a question off on some servers; return what the daemon tells of it."""
    told: list[Crash] = []
    quarantine.on_break = told.append
    for number in numbers:
        quarantine.broke_off(call(), start(number), None)
    return told


def test_what_broke_off_at_a_daemon_that_ended_counts_once_the_ends_are_sure(clock: Clock) -> None:
    gone, left = make(), make()
    assert left.hear_breaks(breaks_of(gone, range(MOST_ENDS)))
    clock.at += 3.0
    for number in range(MOST_ENDS):
        assert not left.holds(call())
        left.server_ended(start(number))
    assert left.holds(call())


def test_what_broke_off_counts_when_the_end_was_known_before(clock: Clock) -> None:
    sender, knowing = make(), make()
    for number in range(MOST_ENDS):
        knowing.server_ended(start(number))
    knowing.hear_breaks(breaks_of(sender, range(MOST_ENDS)))
    assert knowing.holds(call())


def test_a_break_alone_counts_for_nothing(clock: Clock) -> None:
    sender, other = make(), make()
    other.hear_breaks(breaks_of(sender, range(MOST_ENDS)))
    assert not other.holds(call())
    clock.at += 0.1
    for number in range(MOST_ENDS):
        other.server_lives(start(number), clock.at)
        other.server_ended(start(number))
    assert not other.holds(call())


def test_an_answer_after_the_break_clears_what_others_told(clock: Clock) -> None:
    sender, other = make(), make()
    other.hear_breaks(breaks_of(sender, range(MOST_ENDS)))
    clock.at += 0.1
    other.answered(call())
    for number in range(MOST_ENDS):
        other.server_ended(start(number))
    assert not other.holds(call())


def test_breaks_are_forgotten_in_time(clock: Clock) -> None:
    sender, other = make(), make()
    told = breaks_of(sender, range(MOST_ENDS))
    other.hear_breaks(told)
    clock.at += UNSURE_SECONDS + 0.1
    other.tidy()
    for number in range(MOST_ENDS):
        other.server_ended(start(number))
    assert not other.holds(call())
    assert not other.told
    assert not other.heard


def test_words_of_breaks_die_out_whatever_comes_between(clock: Clock) -> None:
    daemons = [make() for _ in range(30)]
    rng = random.Random(1)
    waiting = [(daemons[0], breaks_of(make(), range(1)))]
    delivered = 0
    while waiting:
        to, breaks = waiting.pop(rng.randrange(len(waiting)))
        delivered += 1
        assert delivered < 2 * len(daemons) ** 2
        if fresh := to.hear_breaks(breaks):
            waiting += [(other, fresh) for other in daemons if other is not to]
        # A contrary word comes at the same time: the server lives.
        to.server_lives(start(0), clock.at + 1.0)


def test_word_of_breaks_is_bounded(clock: Clock) -> None:
    quarantine = make()
    for number in range(MAX_SUSPECTS + 10):
        name = fingerprint_of(call(b"%d" % number), KEY)
        quarantine.hear_breaks([Crash(name, *start(1))])
    assert len(quarantine.heard) == MAX_SUSPECTS
    old = Crash(fingerprint_of(call(), KEY), *start(2), UNSURE_SECONDS + 0.1)
    assert make().hear_breaks([old]) == []


def test_a_daemon_that_joins_is_told_what_is_held_back_and_what_is_proven(clock: Clock) -> None:
    here, new = make(), make()
    end_under(here, call(), range(MOST_ENDS))
    here.hear_proven([fingerprint_of(call(b"asked by all"), KEY)])
    end_under(here, call(b"asked by all"), range(MOST_ENDS))
    crashes, proven = here.known()
    new.hear_proven(proven)
    new.hear(crashes, [])
    assert new.holds(call())
    assert not new.holds(call(b"asked by all"))


def test_what_a_daemon_is_told_that_joins_is_bounded(clock: Clock) -> None:
    here = make()
    for number in range(2 * MAX_TOLD):
        end_under(here, call(b"%d" % number), range(number, number + 1))
    crashes, _ = here.known()
    assert len(crashes) == MAX_TOLD


def test_a_new_stream_to_a_daemon_begins_with_what_it_has_to_know(monkeypatch: pytest.MonkeyPatch) -> None:
    sent: list[Any] = []
    stream = SimpleNamespace(send=sent.append, sent_bytes=0, close=lambda: None)
    monkeypatch.setattr(membership_module.streams, "dial", lambda *_: stream)
    made: Any = Membership.__new__(Membership)
    made.me, made.secret, made.rng, made.bytes_out = MemberId("me"), b"s", random.Random(1), 0
    made._heartbeat = lambda member: "heartbeat"
    made.first_messages = lambda: [Findings(proven=[fingerprint_of(call(), KEY)])]
    task = eventlet.spawn(made._send, Member(MemberId("new"), parse_address("127.0.0.1:1")))
    eventlet.sleep(0)
    eventlet.sleep(0)
    task.kill()
    assert sent == [*made.first_messages(), "heartbeat"]


def test_an_answer_at_the_daemon_that_told_of_a_break_clears_it_everywhere(clock: Clock) -> None:
    sender, other, third = make(), make(), make()
    told: list[Any] = []
    sender.on_news = lambda crashes, cleared: told.append((crashes, cleared))
    fresh = other.hear_breaks(breaks_of(sender, range(MOST_ENDS)))
    third.hear_breaks(fresh)
    clock.at += 0.1
    sender.answered(call())
    passed_on = other.hear(*told[0])
    third.hear(*passed_on)
    for daemon in (sender, other, third):
        for number in range(MOST_ENDS):
            daemon.server_ended(start(number))
        assert not daemon.holds(call())
    # It is told once.
    sender.answered(call())
    assert len(told) == 1
