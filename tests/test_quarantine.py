"""Requests that crash servers: what counts as a crash, what clears a request, and how daemons agree."""

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import quarantine as quarantine_module
from bayglade import stops
from bayglade import suspects as suspects_module
from bayglade.calls import Call, CallHead
from bayglade.entries.wire import Crash
from bayglade.evidence import COMMON_CAUSE_SECONDS, CRASHES_TO_STOP, STOP_SECONDS, SUSPECT_SECONDS
from bayglade.exceptions import RequestStopped
from bayglade.fingerprints import fingerprint_of
from bayglade.ids import BackendId, Fingerprint, GroupPath, Incarnation, RequestId, ServerKey, ServiceName
from bayglade.interruptions import UNCONFIRMED_SECONDS
from bayglade.quarantine import MASS_CRASH_COUNT, SUSPECT_RUN_SECONDS, Quarantine
from bayglade.roster import Roster, apply_rows
from bayglade.rows import Row
from bayglade.stored_stops import WRITE_SPREAD_SECONDS
from bayglade.suspects import ANSWER_GRACE_SECONDS, MAX_SUSPECTS
from tests.test_roster import Rows

KEY = b"key"


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.at = 1000.0

    def __call__(self) -> float:
        return self.at


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    made = Clock()
    for module in (quarantine_module, suspects_module):
        monkeypatch.setattr(module, "now", made)
    return made


def make_quarantine() -> Quarantine:
    return Quarantine(KEY, random.Random(1))


def make_call(body: bytes = b"question", **changes: Any) -> Call:
    values: dict[str, Any] = {
        "head": CallHead(id=RequestId("r"), host="site.example"),
        "endpoint": None,
        "service": ServiceName("s"),
        "group": GroupPath("clinic"),
        "priority": 0,
        "arrived": 0.0,
        "deadline": 1e9,
        "method": "POST",
        "target": b"/x",
        "headers": [],
        "body": body,
        **changes,
    }
    return Call(**values)


def server_key(number: int) -> ServerKey:
    return ServerKey(BackendId(f"i-{number}"), Incarnation(number + 1))


def crash_servers(quarantine: Quarantine, request: Call, numbers: range) -> None:
    for number in numbers:
        quarantine.note_interrupted(request, server_key(number), None)
        quarantine.server_ended(server_key(number))


def test_three_crashes_stop_a_request_with_an_error() -> None:
    quarantine, request = make_quarantine(), make_call()
    crash_servers(quarantine, request, range(CRASHES_TO_STOP - 1))
    quarantine.check(request)
    crash_servers(quarantine, request, range(CRASHES_TO_STOP - 1, CRASHES_TO_STOP))
    with pytest.raises(RequestStopped, match="3 servers ended") as caught:
        quarantine.check(make_call(head=CallHead(id=RequestId("another"), host="SITE.example")))
    assert caught.value.retry_after is not None
    quarantine.check(make_call(b"another question"))


@pytest.mark.parametrize(
    "changes",
    [{"group": GroupPath("other")}, {"target": b"/y"}, {"method": "GET"}, {"body": b""}, {"group": None}],
)
def test_fingerprint_depends_on_all_content(changes: dict[str, Any]) -> None:
    assert fingerprint_of(make_call(**changes), KEY) != fingerprint_of(make_call(), KEY)


def test_fingerprint_separates_target_and_body() -> None:
    assert fingerprint_of(make_call(b"bc", target=b"/a"), KEY) != fingerprint_of(
        make_call(b"c", target=b"/ab"), KEY
    )


def test_fingerprint_depends_on_the_key() -> None:
    assert fingerprint_of(make_call(), KEY) != fingerprint_of(make_call(), b"another key")


def test_an_incarnation_counts_once_whoever_reports_it() -> None:
    quarantine, request = make_quarantine(), make_call()
    name = quarantine.fingerprint_for(request)
    for _ in range(5):
        quarantine.note_interrupted(request, server_key(1), None)
        quarantine.server_ended(server_key(1))
        quarantine.merge_crashes([Crash(name, *server_key(1))], [])
    assert quarantine.suspects.evidence[name].crashed_on == {server_key(1)}


def test_a_later_incarnation_of_a_server_counts_again() -> None:
    quarantine, request = make_quarantine(), make_call()
    for born in range(CRASHES_TO_STOP):
        again = ServerKey(BackendId("i"), Incarnation(born + 1))
        quarantine.note_interrupted(request, again, None)
        quarantine.server_ended(again)
    assert quarantine.is_stopped(request)


def test_an_interruption_alone_is_no_crash() -> None:
    quarantine, request = make_quarantine(), make_call()
    for number in range(10):
        quarantine.note_interrupted(request, server_key(number), None)
        quarantine.server_alive(server_key(number), float("inf"))
        quarantine.server_ended(server_key(number))
    assert not quarantine.suspects.evidence


def test_a_response_to_an_earlier_probe_does_not_clear_an_interruption(clock: Clock) -> None:
    quarantine, request = make_quarantine(), make_call()
    asked_at = clock.at
    clock.at += 0.01
    quarantine.note_interrupted(request, server_key(1), None)
    quarantine.server_alive(server_key(1), asked_at)
    quarantine.server_ended(server_key(1))
    assert quarantine.suspects.evidence


def test_a_crash_long_after_the_interruption_does_not_count(clock: Clock) -> None:
    quarantine, request = make_quarantine(), make_call()
    quarantine.note_interrupted(request, server_key(1), None)
    clock.at += UNCONFIRMED_SECONDS + 0.1
    quarantine.tidy()
    quarantine.server_ended(server_key(1))
    assert not quarantine.suspects.evidence


def test_an_interruption_noticed_after_the_crash_counts(clock: Clock) -> None:
    quarantine, request = make_quarantine(), make_call()
    quarantine.server_ended(server_key(1))
    clock.at += 0.1
    quarantine.note_interrupted(request, server_key(1), None)
    assert quarantine.suspects.evidence[quarantine.fingerprint_for(request)].crashed_on == {server_key(1)}


def test_a_crash_before_the_request_was_sent_does_not_count(clock: Clock) -> None:
    """A stream isn't stopped for a server that had ended before the stream was sent there.

    Half of all servers crashed within 0.1 s. A harmless stream was interrupted by two first stages. It
    was sent on over a third stage that had refused a connection 0.15 s before, stalled for 0.8 s, and
    was stopped for an hour as if that stage had crashed under it.
    """
    quarantine, request = make_quarantine(), make_call()
    crash_servers(quarantine, request, range(CRASHES_TO_STOP - 1))
    last = server_key(CRASHES_TO_STOP)
    quarantine.server_ended(last)
    clock.at += 0.15
    sent_at = clock.at
    clock.at += 0.8
    # The address refuses another connection: that is no later crash.
    quarantine.server_ended(last)
    quarantine.note_interrupted(request, last, None, sent_at)
    assert not quarantine.is_stopped(request)
    quarantine.note_interrupted(request, server_key(CRASHES_TO_STOP + 1), None, sent_at)
    quarantine.server_ended(server_key(CRASHES_TO_STOP + 1))
    assert quarantine.is_stopped(request)


def test_a_stream_that_ran_for_a_while_is_no_suspect(clock: Clock) -> None:
    quarantine, request = make_quarantine(), make_call()
    quarantine.note_interrupted(request, server_key(1), clock.at - SUSPECT_RUN_SECONDS - 0.01)
    quarantine.server_ended(server_key(1))
    assert not quarantine.suspects.evidence
    quarantine.note_interrupted(request, server_key(2), clock.at - SUSPECT_RUN_SECONDS / 2)
    quarantine.server_ended(server_key(2))
    assert quarantine.suspects.evidence


def test_a_complete_answer_clears_a_request_everywhere() -> None:
    here, there, request = make_quarantine(), make_quarantine(), make_call()
    reports: list[tuple[list[Crash], list[Fingerprint]]] = []
    here.on_update = lambda crashes, cleared: reports.append((crashes, cleared))
    crash_servers(here, request, range(2))
    there.merge_crashes([Crash(here.fingerprint_for(request), *server_key(n)) for n in range(2)], [])
    here.note_answered(request)
    assert there.merge_crashes(*reports[-1]) == ([], [here.fingerprint_for(request)])
    # Late reports of the same crashes change nothing, and new crashes are counted from zero.
    there.merge_crashes([Crash(here.fingerprint_for(request), *server_key(n)) for n in range(2)], [])
    crash_servers(there, request, range(2, 4))
    assert not there.is_stopped(request)
    crash_servers(there, request, range(4, 5))
    assert there.is_stopped(request)


def test_crashes_expire(clock: Clock) -> None:
    quarantine, request = make_quarantine(), make_call()
    crash_servers(quarantine, request, range(2))
    clock.at += SUSPECT_SECONDS + 0.1
    quarantine.tidy()
    assert not quarantine.suspects.evidence


def test_memory_is_bounded_and_stops_are_kept() -> None:
    quarantine, request = make_quarantine(), make_call()
    crash_servers(quarantine, request, range(CRASHES_TO_STOP))
    for number in range(MAX_SUSPECTS * 2):
        crash_servers(quarantine, make_call(b"%d" % number), range(number + 10, number + 11))
    assert len(quarantine.suspects.evidence) == MAX_SUSPECTS
    assert quarantine.is_stopped(request)


def test_a_full_table_evicts_the_oldest_stops(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(suspects_module, "MAX_SUSPECTS", 2)
    quarantine = make_quarantine()
    for number in range(4):
        crash_servers(
            quarantine, make_call(b"%d" % number), range(10 * number, 10 * number + CRASHES_TO_STOP)
        )
    assert [quarantine.is_stopped(make_call(b"%d" % number)) for number in range(4)] == [
        False,
        False,
        True,
        True,
    ]


def test_a_stop_that_could_not_be_stored_lasts_as_long(clock: Clock) -> None:
    quarantine, request = stopped_quarantine(clock)
    clock.at += STOP_SECONDS - 1.0
    quarantine.tidy()
    assert quarantine.is_stopped(request)
    clock.at += 2.0
    quarantine.tidy()
    assert not quarantine.is_stopped(request)


def test_no_fingerprint_is_computed_without_evidence(monkeypatch: pytest.MonkeyPatch) -> None:
    quarantine, request = make_quarantine(), make_call()

    def fail(*_: object) -> Fingerprint:
        raise AssertionError("a daemon without evidence computes no fingerprint")

    monkeypatch.setattr(quarantine_module, "fingerprint_of", fail)
    quarantine.check(request)
    quarantine.note_sent(request, BackendId("i"))
    quarantine.note_answered(request)
    assert quarantine.resend_delay(request) == 0.0
    assert not quarantine.is_suspect(request)


@given(st.lists(st.integers(0, 5), max_size=12), st.randoms(use_true_random=False))
def test_daemons_agree_whatever_the_order_of_reports(numbers: list[int], rng: random.Random) -> None:
    name = fingerprint_of(make_call(), KEY)
    crashes = [Crash(name, *server_key(number)) for number in numbers]
    one, other = make_quarantine(), make_quarantine()
    one.merge_crashes(crashes, [])
    rng.shuffle(crashes)
    for crash in crashes:
        other.merge_crashes([crash], [])
    assert (
        one.is_stopped(make_call())
        == other.is_stopped(make_call())
        == (len(set(numbers)) >= CRASHES_TO_STOP)
    )


def test_reports_do_not_circulate_forever() -> None:
    daemons = [make_quarantine() for _ in range(30)]
    name = fingerprint_of(make_call(), KEY)
    waiting: list[tuple[Quarantine, list[Crash]]] = [(daemons[0], [Crash(name, *server_key(1))])]
    receivers = 0
    while waiting:
        to, crashes = waiting.pop()
        fresh, _ = to.merge_crashes(crashes, [])
        if fresh:
            receivers += 1
            waiting += [(other, fresh) for other in daemons if other is not to]
    assert receivers == len(daemons)


def test_suspects_are_isolated_from_each_other(clock: Clock) -> None:
    quarantine, one, other = make_quarantine(), make_call(b"one"), make_call(b"other")
    for request in (one, other):
        quarantine.note_interrupted(request, server_key(1), None)
    quarantine.note_sent(one, BackendId("i-2"))
    assert quarantine.servers_on_trial(other) == {"i-2"}
    assert quarantine.servers_on_trial(one) == frozenset()
    clock.at += 1.0
    assert quarantine.servers_on_trial(other) == frozenset()


def test_servers_that_crash_together_are_detected(clock: Clock) -> None:
    quarantine = make_quarantine()
    for number in range(MASS_CRASH_COUNT):
        assert not quarantine.mass_crash(make_call())
        quarantine.server_ended(server_key(number))
    assert quarantine.mass_crash(make_call())
    clock.at += COMMON_CAUSE_SECONDS + 0.01
    assert not quarantine.mass_crash(make_call())


def test_crashes_of_a_request_are_no_mass_crash_for_it() -> None:
    quarantine, request = make_quarantine(), make_call()
    crash_servers(quarantine, request, range(MASS_CRASH_COUNT))
    assert not quarantine.mass_crash(request)
    assert quarantine.mass_crash(make_call(b"another"))


def test_a_second_crash_delays_the_next_attempt() -> None:
    quarantine, request = make_quarantine(), make_call()
    quarantine.note_interrupted(request, server_key(1), None)
    assert quarantine.resend_delay(request) == 0.0
    quarantine.server_ended(server_key(1))
    quarantine.note_interrupted(request, server_key(2), None)
    assert quarantine.resend_delay(request) > 0.0


def stopped_quarantine(clock: Clock) -> tuple[Quarantine, Call]:
    quarantine, request = make_quarantine(), make_call()
    crash_servers(quarantine, request, range(CRASHES_TO_STOP))
    return quarantine, request


def answer_before_crash_reports(
    clock: Clock, answered: Quarantine, others: list[Quarantine]
) -> list[tuple[list[Crash], list[Fingerprint]]]:
    """Have one daemon answer a request that servers interrupted at the other daemons before."""
    reports: list[tuple[list[Crash], list[Fingerprint]]] = []
    answered.on_update = lambda crashes, cleared: reports.append((crashes, cleared))
    for number, other in enumerate(others):
        other.note_interrupted(make_call(), server_key(number), None)
    clock.at += 0.1
    answered.server_ended(server_key(9))
    answered.note_answered(make_call())
    return reports


def test_a_request_of_many_clients_is_cleared_by_one_answer(clock: Clock) -> None:
    daemons = [make_quarantine() for _ in range(4)]
    reports = answer_before_crash_reports(clock, daemons[0], daemons[1:])
    clock.at += 1.0
    # The crashes are reported late and all at once, after the answer.
    for number, daemon in enumerate(daemons[1:]):
        crashes_here: list[Crash] = []
        daemon.on_update = lambda crashes, cleared, crashes_here=crashes_here: crashes_here.extend(crashes)  # type: ignore[misc]
        daemon.server_ended(server_key(number))
        for other in daemons:
            if other is not daemon:
                other.merge_crashes(crashes_here, [])
    for crashes, cleared in reports:
        for daemon in daemons[1:]:
            daemon.merge_crashes(crashes, cleared)
    assert not any(daemon.is_stopped(make_call()) for daemon in daemons)


def test_an_answer_before_the_interruption_clears_nothing(clock: Clock) -> None:
    here = make_quarantine()
    here.server_ended(server_key(9))
    here.note_answered(make_call())
    clock.at += 1.0
    crash_servers(here, make_call(), range(CRASHES_TO_STOP))
    assert here.is_stopped(make_call())


def test_a_stop_disproved_by_an_answer_is_lifted(clock: Clock) -> None:
    (quarantine, request), store = stopped_quarantine(clock), Rows()
    clock.at += ANSWER_GRACE_SECONDS
    write_stops(quarantine, store)
    rows = stops.read_stops(stop_rows(store))
    quarantine.suspects.merge_stored(rows, False)
    quarantine.note_answered(request)
    assert quarantine.suspects.take_lifts() == [quarantine.fingerprint_for(request)]
    assert quarantine.suspects.take_lifts() == []
    # The row is read once more before it is removed.
    quarantine.suspects.merge_stored(rows, True)
    assert not quarantine.is_stopped(request)


def stop_rows(store: Rows) -> dict[str, msgspec.Raw | None]:
    return {key: row.value for key, row in store.rows.items()}


def write_stops(quarantine: Quarantine, store: Rows) -> None:
    for name, evidence in quarantine.suspects.unwritten():
        companions = quarantine.suspects.required_companions(evidence)
        stops.write_stop(store, name, evidence.crashed_on, evidence.subject, companions)


def test_a_stop_outlasts_all_daemons(clock: Clock) -> None:
    (quarantine, request), store = stopped_quarantine(clock), Rows()
    clock.at += ANSWER_GRACE_SECONDS
    write_stops(quarantine, store)
    again = make_quarantine()
    again.suspects.merge_stored(stops.read_stops(stop_rows(store)), True)
    assert again.is_stopped(request)
    assert again.suspects.unwritten() == []
    assert apply_rows(stop_rows(store), Roster()).members == {}


def test_one_daemon_writes_and_others_only_if_it_did_not(clock: Clock) -> None:
    quarantine, _ = stopped_quarantine(clock)
    assert quarantine.suspects.unwritten() == []
    clock.at += ANSWER_GRACE_SECONDS
    assert len(quarantine.suspects.unwritten()) == 1
    informed = make_quarantine()
    informed.merge_crashes(
        [Crash(fingerprint_of(make_call(), KEY), *server_key(n)) for n in range(CRASHES_TO_STOP)], []
    )
    assert informed.suspects.unwritten() == []
    clock.at += ANSWER_GRACE_SECONDS + WRITE_SPREAD_SECONDS
    assert len(informed.suspects.unwritten()) == 1


def test_removing_the_row_releases_the_request(clock: Clock) -> None:
    (quarantine, request), store = stopped_quarantine(clock), Rows()
    clock.at += ANSWER_GRACE_SECONDS
    write_stops(quarantine, store)
    quarantine.suspects.merge_stored(stops.read_stops(stop_rows(store)), False)
    assert quarantine.suspects.expired() == []
    clock.at += STOP_SECONDS + 1.0
    assert quarantine.suspects.expired() == [quarantine.fingerprint_for(request)]
    key = next(iter(store.rows))
    quarantine.suspects.merge_stored(stops.read_stops({key: None}), False)
    assert not quarantine.is_stopped(request)


@pytest.mark.parametrize("reread", [True, False])
def test_a_stop_not_written_yet_survives_a_full_read(clock: Clock, reread: bool) -> None:
    quarantine, request = stopped_quarantine(clock)
    if reread:
        quarantine.suspects.merge_stored({}, True)
    assert quarantine.is_stopped(request)


@pytest.mark.parametrize("value", [b"", b"[]", b'{"ends": 3}', b'{"ends": [["i"]]}', b"\xff"])
def test_an_invalid_row_stops_nothing(value: bytes) -> None:
    assert stops.read_stops({stops.STOP_PREFIX + "aa": msgspec.Raw(value)}) == {}


def test_a_stop_is_not_overwritten() -> None:
    store = Rows()
    stops.write_stop(store, Fingerprint("aa"), [server_key(1)])
    stops.write_stop(store, Fingerprint("aa"), [server_key(2)])
    row: Row = next(iter(store.rows.values()))
    assert b"i-1" in bytes(row.value)


def test_a_new_key_drops_all_evidence() -> None:
    quarantine, request = make_quarantine(), make_call()
    crash_servers(quarantine, request, range(CRASHES_TO_STOP))
    quarantine.use_key(b"of all daemons")
    assert not quarantine.is_stopped(make_call())


def stored_stop(quarantine: Quarantine, request: Call) -> dict[Fingerprint, stops.StopRow | None]:
    crash_servers(quarantine, request, range(CRASHES_TO_STOP))
    ends = [(key.backend, key.incarnation) for key in map(server_key, range(CRASHES_TO_STOP))]
    rows: dict[Fingerprint, stops.StopRow | None] = {
        quarantine.fingerprint_for(request): stops.StopRow(ends)
    }
    quarantine.suspects.merge_stored(rows, False)
    return rows


def test_a_stop_lost_by_a_restored_store_is_written_again(clock: Clock) -> None:
    quarantine, request = make_quarantine(), make_call()
    stored_stop(quarantine, request)
    quarantine.suspects.merge_stored({}, True, restored=True)
    with pytest.raises(RequestStopped):
        quarantine.check(request)
    clock.at += 5.0
    assert [name for name, _ in quarantine.suspects.unwritten()] == [quarantine.fingerprint_for(request)]


def test_a_lifted_stop_is_not_taken_from_a_restored_store(clock: Clock) -> None:
    quarantine, request = make_quarantine(), make_call()
    rows = stored_stop(quarantine, request)
    quarantine.suspects.merge_stored(dict.fromkeys(rows), False)
    quarantine.suspects.merge_stored(rows, True, restored=True)
    quarantine.check(request)
    assert quarantine.suspects.take_lifts() == list(rows)
