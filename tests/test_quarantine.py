"""Requests under which servers ended: what counts as an end, what clears it, and how daemons agree."""

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import quarantine as quarantine_module
from bayglade import stops
from bayglade.calls import Call, CallHead
from bayglade.entries.wire import Crash
from bayglade.evidence import MANY_SECONDS, MOST_ENDS, STOP_SECONDS, SUSPECT_SECONDS
from bayglade.exceptions import RequestStopped
from bayglade.fingerprints import fingerprint_of
from bayglade.ids import BackendId, Fingerprint, GroupPath, Incarnation, RequestId, ServerKey, ServiceName
from bayglade.quarantine import (
    FRESH_SECONDS,
    MANY_ENDED,
    MAX_SUSPECTS,
    UNSURE_SECONDS,
    WORD_SECONDS,
    WRITE_SECONDS,
    Quarantine,
)
from bayglade.roster import Roster, apply_rows
from bayglade.rows import Row
from tests.test_roster import Rows

KEY = b"key"


class Clock:
    """Time as a test sets it."""

    def __init__(self) -> None:
        self.at = 1000.0

    def __call__(self) -> float:
        return self.at


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    made = Clock()
    monkeypatch.setattr(quarantine_module, "now", made)
    return made


def make() -> Quarantine:
    return Quarantine(KEY, random.Random(1))


def call(body: bytes = b"question", **changes: Any) -> Call:
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


def start(number: int) -> ServerKey:
    return ServerKey(BackendId(f"i-{number}"), Incarnation(number + 1))


def end_under(quarantine: Quarantine, asked: Call, numbers: range) -> None:
    for number in numbers:
        quarantine.broke_off(asked, start(number), None)
        quarantine.server_ended(start(number))


def test_three_ends_stop_a_request_and_it_says_so() -> None:
    quarantine, asked = make(), call()
    end_under(quarantine, asked, range(MOST_ENDS - 1))
    quarantine.check(asked)
    end_under(quarantine, asked, range(MOST_ENDS - 1, MOST_ENDS))
    with pytest.raises(RequestStopped, match="3 servers ended") as caught:
        quarantine.check(call(head=CallHead(id=RequestId("another"), host="SITE.example")))
    assert caught.value.retry_after is not None
    quarantine.check(call(b"another question"))


@pytest.mark.parametrize(
    "changes",
    [{"group": GroupPath("other")}, {"target": b"/y"}, {"method": "GET"}, {"body": b""}, {"group": None}],
)
def test_what_is_asked_names_a_request(changes: dict[str, Any]) -> None:
    assert fingerprint_of(call(**changes), KEY) != fingerprint_of(call(), KEY)


def test_parts_do_not_run_into_each_other() -> None:
    assert fingerprint_of(call(b"bc", target=b"/a"), KEY) != fingerprint_of(call(b"c", target=b"/ab"), KEY)


def test_the_name_tells_nothing_without_the_key() -> None:
    assert fingerprint_of(call(), KEY) != fingerprint_of(call(), b"another key")


def test_one_start_counts_once_whoever_tells() -> None:
    quarantine, asked = make(), call()
    name = quarantine.name(asked)
    for _ in range(5):
        quarantine.broke_off(asked, start(1), None)
        quarantine.server_ended(start(1))
        quarantine.hear([Crash(name, *start(1))], [])
    assert quarantine.evidence[name].ends == {start(1)}


def test_a_later_start_of_the_same_server_counts_anew() -> None:
    quarantine, asked = make(), call()
    for born in range(MOST_ENDS):
        again = ServerKey(BackendId("i"), Incarnation(born + 1))
        quarantine.broke_off(asked, again, None)
        quarantine.server_ended(again)
    assert quarantine.holds(asked)


def test_a_break_alone_is_no_end() -> None:
    quarantine, asked = make(), call()
    for number in range(10):
        quarantine.broke_off(asked, start(number), None)
        quarantine.server_lives(start(number), float("inf"))
        quarantine.server_ended(start(number))
    assert not quarantine.evidence


def test_an_answer_to_an_earlier_question_says_nothing_of_a_break(clock: Clock) -> None:
    quarantine, asked = make(), call()
    asked_at = clock.at
    clock.at += 0.01
    quarantine.broke_off(asked, start(1), None)
    quarantine.server_lives(start(1), asked_at)
    quarantine.server_ended(start(1))
    assert quarantine.evidence


def test_an_end_long_after_the_break_is_another_matter(clock: Clock) -> None:
    quarantine, asked = make(), call()
    quarantine.broke_off(asked, start(1), None)
    clock.at += UNSURE_SECONDS + 0.1
    quarantine.tidy()
    quarantine.server_ended(start(1))
    assert not quarantine.evidence


def test_a_break_that_is_noticed_after_the_end_counts(clock: Clock) -> None:
    quarantine, asked = make(), call()
    quarantine.server_ended(start(1))
    clock.at += 0.1
    quarantine.broke_off(asked, start(1), None)
    assert quarantine.evidence[quarantine.name(asked)].ends == {start(1)}


def test_a_server_that_had_ended_before_did_not_end_under_a_request(clock: Clock) -> None:
    """Half of all servers ended within 0.1 s. A harmless stream was cut by two first stages; 0.15 s after
    its third stage had refused a connection it was sent on over that stage, stood still for 0.8 s, and was
    held back for an hour:

        899.689  server not reached  i-0-2  ECONNREFUSED
        900.604  server not reached  i-0-2  ECONNREFUSED
        900.612  request stopped  servers ended  i-0-0 i-0-2 i-1-0
    """
    quarantine, asked = make(), call()
    end_under(quarantine, asked, range(MOST_ENDS - 1))
    last = start(MOST_ENDS)
    quarantine.server_ended(last)
    clock.at += 0.15
    sent_at = clock.at
    clock.at += 0.8
    # Its address refuses once more: that is no later end.
    quarantine.server_ended(last)
    quarantine.broke_off(asked, last, None, sent_at)
    assert not quarantine.holds(asked)
    quarantine.broke_off(asked, start(MOST_ENDS + 1), None, sent_at)
    quarantine.server_ended(start(MOST_ENDS + 1))
    assert quarantine.holds(asked)


def test_a_stream_that_ran_for_a_while_did_not_end_its_server(clock: Clock) -> None:
    quarantine, asked = make(), call()
    quarantine.broke_off(asked, start(1), clock.at - FRESH_SECONDS - 0.01)
    quarantine.server_ended(start(1))
    assert not quarantine.evidence
    quarantine.broke_off(asked, start(2), clock.at - FRESH_SECONDS / 2)
    quarantine.server_ended(start(2))
    assert quarantine.evidence


def test_a_whole_answer_clears_a_request_everywhere() -> None:
    here, there, asked = make(), make(), call()
    told: list[tuple[list[Crash], list[Fingerprint]]] = []
    here.on_news = lambda crashes, cleared: told.append((crashes, cleared))
    end_under(here, asked, range(2))
    there.hear([Crash(here.name(asked), *start(n)) for n in range(2)], [])
    here.answered(asked)
    assert there.hear(*told[-1]) == ([], [here.name(asked)])
    # Late word of the same ends changes nothing, and new ones count from none.
    there.hear([Crash(here.name(asked), *start(n)) for n in range(2)], [])
    end_under(there, asked, range(2, 4))
    assert not there.holds(asked)
    end_under(there, asked, range(4, 5))
    assert there.holds(asked)


def test_ends_are_forgotten_in_time(clock: Clock) -> None:
    quarantine, asked = make(), call()
    end_under(quarantine, asked, range(2))
    clock.at += SUSPECT_SECONDS + 0.1
    quarantine.tidy()
    assert not quarantine.evidence


def test_memory_is_bounded_and_stops_stay() -> None:
    quarantine, asked = make(), call()
    end_under(quarantine, asked, range(MOST_ENDS))
    for number in range(MAX_SUSPECTS * 2):
        end_under(quarantine, call(b"%d" % number), range(number + 10, number + 11))
    assert len(quarantine.evidence) == MAX_SUSPECTS
    assert quarantine.holds(asked)


def test_a_table_full_of_stops_makes_room_for_the_newest(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quarantine_module, "MAX_SUSPECTS", 2)
    quarantine = make()
    for number in range(4):
        end_under(quarantine, call(b"%d" % number), range(10 * number, 10 * number + MOST_ENDS))
    assert [quarantine.holds(call(b"%d" % number)) for number in range(4)] == [False, False, True, True]


def test_a_stop_that_the_store_did_not_take_lasts_as_long(clock: Clock) -> None:
    quarantine, asked = stopped(clock)
    clock.at += STOP_SECONDS - 1.0
    quarantine.tidy()
    assert quarantine.holds(asked)
    clock.at += 2.0
    quarantine.tidy()
    assert not quarantine.holds(asked)


def test_nothing_is_worked_out_while_nothing_is_known(monkeypatch: pytest.MonkeyPatch) -> None:
    quarantine, asked = make(), call()

    def fail(*_: object) -> Fingerprint:
        raise AssertionError("a calm daemon names no request")

    monkeypatch.setattr(quarantine_module, "fingerprint_of", fail)
    quarantine.check(asked)
    quarantine.sent(asked, BackendId("i"))
    quarantine.answered(asked)
    assert quarantine.gather_seconds(asked) == 0.0
    assert not quarantine.suspects(asked)


@given(st.lists(st.integers(0, 5), max_size=12), st.randoms(use_true_random=False))
def test_daemons_agree_in_whatever_order_they_hear(numbers: list[int], rng: random.Random) -> None:
    name = fingerprint_of(call(), KEY)
    crashes = [Crash(name, *start(number)) for number in numbers]
    one, other = make(), make()
    one.hear(crashes, [])
    rng.shuffle(crashes)
    for crash in crashes:
        other.hear([crash], [])
    assert one.holds(call()) == other.holds(call()) == (len(set(numbers)) >= MOST_ENDS)


def test_words_die_out_among_daemons_that_all_tell_each_other() -> None:
    daemons = [make() for _ in range(30)]
    name = fingerprint_of(call(), KEY)
    waiting: list[tuple[Quarantine, list[Crash]]] = [(daemons[0], [Crash(name, *start(1))])]
    told = 0
    while waiting:
        to, crashes = waiting.pop()
        fresh, _ = to.hear(crashes, [])
        if fresh:
            told += 1
            waiting += [(other, fresh) for other in daemons if other is not to]
    assert told == len(daemons)


def test_suspects_are_kept_apart(clock: Clock) -> None:
    quarantine, one, other = make(), call(b"one"), call(b"other")
    for asked in (one, other):
        quarantine.broke_off(asked, start(1), None)
    quarantine.sent(one, BackendId("i-2"))
    assert quarantine.on_trial(other) == {"i-2"}
    assert quarantine.on_trial(one) == frozenset()
    clock.at += 1.0
    assert quarantine.on_trial(other) == frozenset()


def test_servers_that_end_together_show(clock: Clock) -> None:
    quarantine = make()
    for number in range(MANY_ENDED):
        assert not quarantine.many_ended(call())
        quarantine.server_ended(start(number))
    assert quarantine.many_ended(call())
    clock.at += MANY_SECONDS + 0.01
    assert not quarantine.many_ended(call())


def test_servers_that_ended_under_a_request_are_no_cause_of_their_own() -> None:
    quarantine, asked = make(), call()
    end_under(quarantine, asked, range(MANY_ENDED))
    assert not quarantine.many_ended(asked)
    assert quarantine.many_ended(call(b"another"))


def test_a_second_end_waits_for_word() -> None:
    quarantine, asked = make(), call()
    quarantine.broke_off(asked, start(1), None)
    assert quarantine.gather_seconds(asked) == 0.0
    quarantine.server_ended(start(1))
    quarantine.broke_off(asked, start(2), None)
    assert quarantine.gather_seconds(asked) > 0.0


def stopped(clock: Clock) -> tuple[Quarantine, Call]:
    quarantine, asked = make(), call()
    end_under(quarantine, asked, range(MOST_ENDS))
    return quarantine, asked


def asked_by_many(
    clock: Clock, answered: Quarantine, others: list[Quarantine]
) -> list[tuple[list[Crash], list[Fingerprint]]]:
    """Have one question of many callers be answered by one daemon after the others saw servers end."""
    told: list[tuple[list[Crash], list[Fingerprint]]] = []
    answered.on_news = lambda crashes, cleared: told.append((crashes, cleared))
    for number, other in enumerate(others):
        other.broke_off(call(), start(number), None)
    clock.at += 0.1
    answered.server_ended(start(9))
    answered.answered(call())
    return told


def test_a_question_of_many_callers_is_cleared_by_an_answer_to_one_of_them(clock: Clock) -> None:
    daemons = [make() for _ in range(4)]
    told = asked_by_many(clock, daemons[0], daemons[1:])
    clock.at += 1.0
    # Word of the ends comes late and all at once, after the answer.
    for number, daemon in enumerate(daemons[1:]):
        news: list[Crash] = []
        daemon.on_news = lambda crashes, cleared, news=news: news.extend(crashes)  # type: ignore[misc]
        daemon.server_ended(start(number))
        for other in daemons:
            if other is not daemon:
                other.hear(news, [])
    for crashes, cleared in told:
        for daemon in daemons[1:]:
            daemon.hear(crashes, cleared)
    assert not any(daemon.holds(call()) for daemon in daemons)


def test_an_answer_before_the_break_clears_nothing(clock: Clock) -> None:
    here = make()
    here.server_ended(start(9))
    here.answered(call())
    clock.at += 1.0
    end_under(here, call(), range(MOST_ENDS))
    assert here.holds(call())


def test_a_stop_that_an_answer_shows_to_be_wrong_is_lifted(clock: Clock) -> None:
    (quarantine, asked), store = stopped(clock), Rows()
    clock.at += WORD_SECONDS
    written(quarantine, store)
    rows = stops.read_stops(stop_rows(store))
    quarantine.take_stored(rows, False)
    quarantine.answered(asked)
    assert quarantine.take_lifts() == [quarantine.name(asked)]
    assert quarantine.take_lifts() == []
    # The row is read once more before it is removed.
    quarantine.take_stored(rows, True)
    assert not quarantine.holds(asked)


def stop_rows(store: Rows) -> dict[str, msgspec.Raw | None]:
    return {key: row.value for key, row in store.rows.items()}


def written(quarantine: Quarantine, store: Rows) -> None:
    for name, evidence in quarantine.unwritten():
        stops.write_stop(store, name, evidence.ends)


def test_a_stop_outlasts_all_daemons(clock: Clock) -> None:
    (quarantine, asked), store = stopped(clock), Rows()
    clock.at += WORD_SECONDS
    written(quarantine, store)
    again = make()
    again.take_stored(stops.read_stops(stop_rows(store)), True)
    assert again.holds(asked)
    assert again.unwritten() == []
    assert apply_rows(stop_rows(store), Roster()).members == {}


def test_one_daemon_writes_and_others_only_if_it_did_not(clock: Clock) -> None:
    quarantine, _ = stopped(clock)
    assert quarantine.unwritten() == []
    clock.at += WORD_SECONDS
    assert len(quarantine.unwritten()) == 1
    told = make()
    told.hear([Crash(fingerprint_of(call(), KEY), *start(n)) for n in range(MOST_ENDS)], [])
    assert told.unwritten() == []
    clock.at += WORD_SECONDS + WRITE_SECONDS
    assert len(told.unwritten()) == 1


def test_a_row_that_is_removed_lets_the_request_go(clock: Clock) -> None:
    (quarantine, asked), store = stopped(clock), Rows()
    clock.at += WORD_SECONDS
    written(quarantine, store)
    quarantine.take_stored(stops.read_stops(stop_rows(store)), False)
    assert quarantine.expired() == []
    clock.at += STOP_SECONDS + 1.0
    assert quarantine.expired() == [quarantine.name(asked)]
    key = next(iter(store.rows))
    quarantine.take_stored(stops.read_stops({key: None}), False)
    assert not quarantine.holds(asked)


@pytest.mark.parametrize("reread", [True, False])
def test_a_stop_that_is_not_written_yet_stays_when_the_table_is_read_whole(
    clock: Clock, reread: bool
) -> None:
    quarantine, asked = stopped(clock)
    if reread:
        quarantine.take_stored({}, True)
    assert quarantine.holds(asked)


@pytest.mark.parametrize("value", [b"", b"[]", b'{"ends": 3}', b'{"ends": [["i"]]}', b"\xff"])
def test_a_row_that_makes_no_sense_stops_nothing(value: bytes) -> None:
    assert stops.read_stops({stops.STOP_PREFIX + "aa": msgspec.Raw(value)}) == {}


def test_a_stop_is_removed_only_as_it_was_read() -> None:
    store = Rows()
    stops.write_stop(store, Fingerprint("aa"), [start(1)])
    stops.write_stop(store, Fingerprint("aa"), [start(2)])
    row: Row = next(iter(store.rows.values()))
    assert b"i-1" in bytes(row.value)


def test_another_key_forgets_what_was_named_by_the_first() -> None:
    quarantine, asked = make(), call()
    end_under(quarantine, asked, range(MOST_ENDS))
    quarantine.use_key(b"of all daemons")
    assert not quarantine.holds(call())


def stored_stop(quarantine: Quarantine, asked: Call) -> dict[Fingerprint, list[ServerKey] | None]:
    end_under(quarantine, asked, range(MOST_ENDS))
    rows: dict[Fingerprint, list[ServerKey] | None] = {
        quarantine.name(asked): [start(number) for number in range(MOST_ENDS)]
    }
    quarantine.take_stored(rows, False)
    return rows


def test_a_stop_that_a_restored_store_has_lost_holds_and_is_written_again(clock: Clock) -> None:
    quarantine, asked = make(), call()
    stored_stop(quarantine, asked)
    quarantine.take_stored({}, True, restored=True)
    with pytest.raises(RequestStopped):
        quarantine.check(asked)
    clock.at += 5.0
    assert [name for name, _ in quarantine.unwritten()] == [quarantine.name(asked)]


def test_a_stop_that_was_lifted_is_not_taken_from_a_restored_store(clock: Clock) -> None:
    quarantine, asked = make(), call()
    rows = stored_stop(quarantine, asked)
    quarantine.take_stored(dict.fromkeys(rows), False)
    quarantine.take_stored(rows, True, restored=True)
    quarantine.check(asked)
    assert quarantine.take_lifts() == list(rows)
