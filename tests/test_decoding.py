"""Decoders of the store's tables against invalid entries: a typed error, or a value that can be passed on.

Guards against errors of other types, which end the task that reads a table, and against values that make an
error later, when they are encoded for a server or another daemon.
"""

import base64
import json
import random
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bayglade.callers.api import _stored_response
from bayglade.claims import _decode_row
from bayglade.decoding import MAX_INTEGER, decode_each
from bayglade.engines import wire
from bayglade.engines.client import Engines
from bayglade.entries.forwards import ForwardedCall, _seal, decode_sealed
from bayglade.entries.wire import FrameAuthenticator, ServerLoad, decode_hello
from bayglade.exceptions import (
    BackendError,
    ClaimUnresolved,
    InvalidSettings,
    PeerError,
    PlatformUnavailable,
)
from bayglade.fanout import decode_rows, encode_rows
from bayglade.feeds import Feed
from bayglade.http1 import encode_head
from bayglade.ids import BackendId, MemberId
from bayglade.leases import Lease
from bayglade.platform import decode_document, decode_report, decode_server
from bayglade.roster import MEMBER_PREFIX, STOP_PREFIX, MemberRow, Roster, apply_rows
from bayglade.rows import Changes, Row
from bayglade.servers import ServerFacts
from bayglade.services.wire import ServiceAnswer
from bayglade.stops import read_stops
from bayglade.table.client import _decode_host
from bayglade.tasks import keep_running
from standins.invalid_entries import NO_IDS, draw_unreadable, invalid_values
from tests.server_rows import server_row
from tests.test_foreign_entries import JSON_VALUES, FakeTable

INVALID_VALUES = invalid_values(server_row())


def assert_can_be_passed_on(facts: ServerFacts) -> None:
    """Encode facts as they go to servers, to other daemons and into the log."""
    encode_head("GET / HTTP/1.1", [("X-Expect-Instance", facts.id), ("Host", facts.address)])
    msgspec.msgpack.encode(ServerLoad(facts.id, facts.write_count, facts.slots, facts.incarnation))
    msgspec.json.encode(facts)
    assert max(facts.slots, facts.last, facts.write_count, facts.weights_version) <= MAX_INTEGER
    assert float(facts.slots) * facts.last < float("inf")


@pytest.mark.parametrize("number", range(len(INVALID_VALUES)))
def test_an_invalid_value_is_rejected_or_can_be_passed_on(number: int) -> None:
    try:
        facts = decode_server("s", msgspec.Raw(INVALID_VALUES[number]))
    except InvalidSettings:
        return
    assert_can_be_passed_on(facts)


@pytest.mark.parametrize("key", NO_IDS)
def test_a_key_that_cannot_be_sent_in_a_header_names_no_server(key: str) -> None:
    with pytest.raises(InvalidSettings):
        decode_server(key, msgspec.Raw(json.dumps(server_row()).encode()))


@seed(80)
@settings(max_examples=400, deadline=None, database=None)
@given(
    st.text(max_size=210),
    st.sampled_from(sorted(server_row())),
    JSON_VALUES | st.integers() | st.text(max_size=40),
)
def test_generated_entries_are_rejected_or_can_be_passed_on(key: str, name: str, value: object) -> None:
    row = json.dumps({**server_row(), name: value}).encode()
    try:
        facts = decode_server(key, msgspec.Raw(row))
    except InvalidSettings:
        return
    assert_can_be_passed_on(facts)


@pytest.mark.parametrize("number", range(0, len(INVALID_VALUES), 3))
def test_other_decoders_raise_errors_of_known_types(number: int) -> None:
    value = msgspec.Raw(INVALID_VALUES[number])
    with pytest.raises(InvalidSettings):
        decode_document(value)
    decode_report(bytes(value))
    assert Lease(FakeTable(), "placement", MemberId("d"), 2.5, 0.7)._decode(value) is None
    assert _decode_row(Row(1, value)) is None
    assert decode_each({"0": value}, _decode_host).found == {}
    assert read_stops({STOP_PREFIX + "f": value}) == {}
    good = MEMBER_PREFIX + "good"
    row = MemberRow("10.0.0.1:7000", server_row()["zone"])
    roster = apply_rows(
        {MEMBER_PREFIX + "invalid": value, good: msgspec.Raw(msgspec.json.encode(row))}, Roster()
    )
    assert roster.members == {MemberId("good"): row}


@pytest.mark.parametrize(
    "row",
    [
        {"address": "10.0.0.1:" + "9" * 5000, "hall": "h"},
        {"address": "10.0.0.1:7000", "hall": "h", "forwards": "10.0.0.1:" + "9" * 5000},
        {"address": "10.0.0.1:7000", "hall": "h", "forwards": "nowhere"},
    ],
)
def test_a_daemons_row_with_an_unreadable_address_is_ignored(row: dict[str, str]) -> None:
    assert (
        apply_rows({MEMBER_PREFIX + "invalid": msgspec.Raw(json.dumps(row).encode())}, Roster()).members
        == {}
    )


def test_incarnations_of_a_stop_are_within_bounds() -> None:
    row = json.dumps({"ends": [["s", 2**64]]}).encode()
    assert read_stops({STOP_PREFIX + "f": msgspec.Raw(row)}) == {}


def test_a_relayed_table_that_decompresses_to_too_much_is_rejected() -> None:
    rows = encode_rows({"k": msgspec.Raw(b"\0" * 40_000_000)})
    assert len(rows) < 1_000_000
    with pytest.raises(PeerError):
        decode_rows(rows)


class ListStore:
    """A store that answers each call with the next of several changes."""

    def __init__(self, *answers: Changes | Exception) -> None:
        self.answers = list(answers)

    def snapshot(self, table: str) -> Changes:
        return self.changes(table, None, 0.0)

    def changes(self, table: str, after: object, wait: float) -> Changes:
        if not self.answers:
            raise SystemExit
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def run_feed(monkeypatch: pytest.MonkeyPatch, apply, *answers: Changes | Exception) -> Feed:  # type: ignore[no-untyped-def]
    monkeypatch.setattr("bayglade.feeds.eventlet.sleep", lambda seconds: None)
    feed = Feed(ListStore(*answers), "t", 1.0, apply)  # type: ignore[arg-type]
    monkeypatch.setattr(feed, "_wait_for_wake", lambda seconds: None)
    with pytest.raises(SystemExit):
        feed.run()
    return feed


ONE, TWO = {"a": msgspec.Raw(b"1")}, {"b": msgspec.Raw(b"2")}


def test_a_feed_goes_on_after_its_rows_could_not_be_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    applied: list[tuple[set[str], bool]] = []

    def apply(changes: Changes, whole: bool) -> None:
        if not applied:
            applied.append((set(), whole))
            raise ValueError("a row that cannot be read")
        applied.append((set(changes.rows), whole))

    feed = run_feed(monkeypatch, apply, Changes(ONE, 1), Changes(TWO, 2), Changes({}, 3))
    # What was missed is applied as a whole.
    assert applied == [(set(), True), ({"a", "b"}, True)]
    assert feed.stopped_since is None
    assert feed.errors == 1


def test_a_stopped_feed_counts_as_old(monkeypatch: pytest.MonkeyPatch) -> None:
    def apply(changes: Changes, whole: bool) -> None:
        raise KeyError("always")

    feed = run_feed(monkeypatch, apply, Changes(ONE, 1), Changes({}, 2))
    assert feed.stopped_since is not None
    feed.stopped_since -= 5.0
    assert feed.age() >= 5.0
    assert feed.copy_age() < 5.0


@pytest.mark.parametrize(
    "error", [PlatformUnavailable("down"), RecursionError("deep"), OverflowError("large")]
)
def test_a_feed_goes_on_after_any_error_of_a_call(
    monkeypatch: pytest.MonkeyPatch, error: Exception
) -> None:
    applied: list[Changes] = []
    run_feed(monkeypatch, lambda changes, whole: applied.append(changes), error, Changes(ONE, 1))
    assert [set(changes.rows) for changes in applied] == [{"a"}]


def test_a_task_that_fails_is_started_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("bayglade.tasks.eventlet.sleep", lambda seconds: None)
    runs: list[int] = []

    def run() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise KeyError("a server that has left")

    counted: list[str] = []

    class Counts:
        def count(self, name: str) -> None:
            counted.append(name)

    keep_running("loader", run, Counts())  # type: ignore[arg-type]
    assert len(runs) == 3
    assert counted == ["task_failures_loader"] * 2


def test_drawn_entries_repeat_with_their_seed_and_are_unreadable() -> None:
    drawn = [
        [draw_unreadable(server_row(), "addr", random.Random(number)) for number in range(40)]
        for _ in range(2)
    ]
    assert drawn[0] == drawn[1]
    for key, value in drawn[0]:
        with pytest.raises(InvalidSettings):
            decode_server(key, msgspec.Raw(value))


DEEP_JSON = b'{"x":' + b"[" * 60_000
DEEP_MSGPACK = b"\x81\xa1x" + b"\x91" * 60_000


def test_a_frame_of_an_engine_that_is_nested_too_deep_is_malformed() -> None:
    engine = wire.Stage(BackendId("i-1"), "127.0.0.1:1", 0, 4)
    with pytest.raises(BackendError):
        Engines()._decode_frame(engine, DEEP_JSON)


def test_messages_of_daemons_that_are_nested_too_deep_are_malformed() -> None:
    sealer = FrameAuthenticator(b"k" * 32)
    with pytest.raises(PeerError):
        FrameAuthenticator(b"k" * 32).open([sealer._digest(DEEP_MSGPACK), DEEP_MSGPACK])
    with pytest.raises(PeerError):
        decode_hello([DEEP_MSGPACK])
    short = DEEP_MSGPACK[:2000]
    header = base64.urlsafe_b64encode(_seal(short, "name", b"secret") + short).decode()
    with pytest.raises(PeerError):
        decode_sealed(header, ForwardedCall, "name", b"secret")


@pytest.mark.parametrize("body", [DEEP_JSON, b"", b'{"choices": []}'])
def test_a_stored_completion_that_cannot_be_read_is_unresolved(body: bytes) -> None:
    writer = SimpleNamespace(params=SimpleNamespace(stream=True), request="r")
    with pytest.raises(ClaimUnresolved):
        _stored_response(writer, ServiceAnswer(status=200, headers={}, body=body))  # type: ignore[arg-type]
