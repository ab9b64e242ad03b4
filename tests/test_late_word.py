"""Evidence against a request outlives the daemon that saw it, and reaches daemons that were away.

Eight servers crashed under one request, four of them after it should have been stopped. Soaks that
killed and froze daemons beside an unreliable store showed it (seeds 1003 and 1012 of the focused acts).
After four crashes, one daemon was frozen and the other killed, while the store was unavailable, so that
no row reports of new server incarnations. Both then sent the request again: the one 24 ms after it woke,
the other once it had restarted.

The causes: interruptions were known only to the daemon that had sent the request, until the crash was
confirmed; a daemon that woke while it waited for reports went on before it had read any; and a daemon
that joined got no evidence.
"""

import random
from types import SimpleNamespace
from typing import Any

import eventlet
import pytest

from bayglade import quarantine as quarantine_module
from bayglade import suspects as suspects_module
from bayglade.config import parse_address
from bayglade.entries import membership as membership_module
from bayglade.entries.membership import Member, Membership
from bayglade.entries.wire import Crash, Findings
from bayglade.evidence import CRASHES_TO_STOP
from bayglade.fingerprints import fingerprint_of
from bayglade.ids import MemberId
from bayglade.interruptions import MAX_SEEN, UNCONFIRMED_SECONDS
from bayglade.quarantine import Quarantine
from bayglade.suspects import MAX_SHARED_ON_JOIN
from tests.test_quarantine import KEY, Clock, crash_servers, make_call, make_quarantine, server_key


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    made = Clock()
    for module in (quarantine_module, suspects_module):
        monkeypatch.setattr(module, "now", made)
    return made


def interruptions_of(quarantine: Quarantine, numbers: range) -> list[Crash]:
    """Interrupt a request on some servers; return what the daemon reports."""
    reports: list[Crash] = []
    quarantine.on_interrupted = reports.append
    for number in numbers:
        quarantine.note_interrupted(make_call(), server_key(number), None)
    return reports


def test_interruptions_at_a_lost_daemon_count_once_the_crashes_are_confirmed(clock: Clock) -> None:
    gone, left = make_quarantine(), make_quarantine()
    assert left.merge_interruptions(interruptions_of(gone, range(CRASHES_TO_STOP)))
    clock.at += 3.0
    for number in range(CRASHES_TO_STOP):
        assert not left.is_stopped(make_call())
        left.server_ended(server_key(number))
    assert left.is_stopped(make_call())


def test_reported_interruptions_count_if_the_crash_is_already_known(clock: Clock) -> None:
    sender, knowing = make_quarantine(), make_quarantine()
    for number in range(CRASHES_TO_STOP):
        knowing.server_ended(server_key(number))
    knowing.merge_interruptions(interruptions_of(sender, range(CRASHES_TO_STOP)))
    assert knowing.is_stopped(make_call())


def test_a_reported_interruption_alone_does_not_count(clock: Clock) -> None:
    sender, other = make_quarantine(), make_quarantine()
    other.merge_interruptions(interruptions_of(sender, range(CRASHES_TO_STOP)))
    assert not other.is_stopped(make_call())
    clock.at += 0.1
    for number in range(CRASHES_TO_STOP):
        other.server_alive(server_key(number), clock.at)
        other.server_ended(server_key(number))
    assert not other.is_stopped(make_call())


def test_an_answer_clears_interruptions_reported_by_others(clock: Clock) -> None:
    sender, other = make_quarantine(), make_quarantine()
    other.merge_interruptions(interruptions_of(sender, range(CRASHES_TO_STOP)))
    clock.at += 0.1
    other.note_answered(make_call())
    for number in range(CRASHES_TO_STOP):
        other.server_ended(server_key(number))
    assert not other.is_stopped(make_call())


def test_reported_interruptions_expire(clock: Clock) -> None:
    sender, other = make_quarantine(), make_quarantine()
    reports = interruptions_of(sender, range(CRASHES_TO_STOP))
    other.merge_interruptions(reports)
    clock.at += UNCONFIRMED_SECONDS + 0.1
    other.tidy()
    for number in range(CRASHES_TO_STOP):
        other.server_ended(server_key(number))
    assert not other.is_stopped(make_call())
    assert not other.interruptions.remote
    assert not other.interruptions.seen


def test_reported_interruptions_do_not_circulate_forever(clock: Clock) -> None:
    daemons = [make_quarantine() for _ in range(30)]
    rng = random.Random(1)
    waiting = [(daemons[0], interruptions_of(make_quarantine(), range(1)))]
    delivered = 0
    while waiting:
        to, interruptions = waiting.pop(rng.randrange(len(waiting)))
        delivered += 1
        assert delivered < 2 * len(daemons) ** 2
        if fresh := to.merge_interruptions(interruptions):
            waiting += [(other, fresh) for other in daemons if other is not to]
        # A contradicting report arrives at the same time: the server is alive.
        to.server_alive(server_key(0), clock.at + 1.0)


def test_reported_interruptions_are_bounded(clock: Clock) -> None:
    quarantine = make_quarantine()
    for number in range(MAX_SEEN + 10):
        name = fingerprint_of(make_call(b"%d" % number), KEY)
        quarantine.merge_interruptions([Crash(name, *server_key(1))])
    assert len(quarantine.interruptions.seen) == MAX_SEEN
    old = Crash(fingerprint_of(make_call(), KEY), *server_key(2), UNCONFIRMED_SECONDS + 0.1)
    assert make_quarantine().merge_interruptions([old]) == []


def test_a_joining_daemon_gets_stopped_and_proven_requests(clock: Clock) -> None:
    here, new = make_quarantine(), make_quarantine()
    crash_servers(here, make_call(), range(CRASHES_TO_STOP))
    here.suspects.merge_proven([fingerprint_of(make_call(b"asked by all"), KEY)])
    crash_servers(here, make_call(b"asked by all"), range(CRASHES_TO_STOP))
    crashes, proven = here.suspects.snapshot()
    new.suspects.merge_proven(proven)
    new.merge_crashes(crashes, [])
    assert new.is_stopped(make_call())
    assert not new.is_stopped(make_call(b"asked by all"))


def test_the_report_to_a_joining_daemon_is_bounded(clock: Clock) -> None:
    here = make_quarantine()
    for number in range(2 * MAX_SHARED_ON_JOIN):
        crash_servers(here, make_call(b"%d" % number), range(number, number + 1))
    crashes, _ = here.suspects.snapshot()
    assert len(crashes) == MAX_SHARED_ON_JOIN


def test_a_new_stream_begins_with_the_initial_findings(monkeypatch: pytest.MonkeyPatch) -> None:
    sent: list[Any] = []
    stream = SimpleNamespace(send=sent.append, sent_bytes=0, close=lambda: None)
    monkeypatch.setattr(membership_module.streams, "dial", lambda *_: stream)
    made: Any = Membership.__new__(Membership)
    made.me, made.secret, made.rng, made.bytes_out = MemberId("me"), b"s", random.Random(1), 0
    made._heartbeat = lambda member: "heartbeat"
    made.first_messages = lambda: [Findings(proven=[fingerprint_of(make_call(), KEY)])]
    task = eventlet.spawn(made._send, Member(MemberId("new"), parse_address("127.0.0.1:1")))
    eventlet.sleep(0)
    eventlet.sleep(0)
    task.kill()
    assert sent == [*made.first_messages(), "heartbeat"]


def test_an_answer_at_the_reporting_daemon_clears_an_interruption_everywhere(clock: Clock) -> None:
    sender, other, third = make_quarantine(), make_quarantine(), make_quarantine()
    reports: list[Any] = []
    sender.on_update = lambda crashes, cleared: reports.append((crashes, cleared))
    fresh = other.merge_interruptions(interruptions_of(sender, range(CRASHES_TO_STOP)))
    third.merge_interruptions(fresh)
    clock.at += 0.1
    sender.note_answered(make_call())
    forwarded = other.merge_crashes(*reports[0])
    third.merge_crashes(*forwarded)
    for daemon in (sender, other, third):
        for number in range(CRASHES_TO_STOP):
            daemon.server_ended(server_key(number))
        assert not daemon.is_stopped(make_call())
    # The answer is reported once.
    sender.note_answered(make_call())
    assert len(reports) == 1
