"""Invalid entries of other writers: they are rejected, and affect no other entry.

Guards against decoders that accept invalid entries. Of eleven invalid entries for a server in use, ten left
it in use with its old or with nonsensical values, and the eleventh removed it for good, even after its own
entry was back.
"""

import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bayglade.entries.wire import FrameAuthenticator, decode_hello
from bayglade.exceptions import InvalidSettings, PeerError
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, MemberId
from bayglade.leases import Lease
from bayglade.platform import decode_document, decode_report, decode_server
from bayglade.roster import MEMBER_PREFIX, SECRET_KEY, MemberRow, Roster, apply_rows, join
from bayglade.rows import Changes, Condition, Row, Transaction, TransactionResult, encode_value
from standins.users import configuration
from tests.server_rows import facts_of, packed, server_row, without

INVALID_ENTRIES = {
    "not JSON": b"\xff\x00not json",
    "empty": b"",
    "truncated": b'{"service": "model"',
    "invalid UTF-8": b'{"service": "\xff"}',
    "nested too deep": b"[" * 100_000,
    "a list": b"[]",
    **{f"no {name}": without(name) for name in server_row() if name not in ("kind", "layers", "born")},
    "service a number": server_row(service=7),
    "service empty": server_row(service=""),
    "zone a list": server_row(zone=[]),
    "zone empty": server_row(zone=""),
    "slots as text": server_row(slots="8"),
    "slots negative": server_row(slots=-1),
    "slots zero": server_row(slots=0),
    "slots a fraction": server_row(slots=8.5),
    "seq as text": server_row(seq="1"),
    "seq negative": server_row(seq=-1),
    "cold start time as text": server_row(coldLeftMs="0"),
    "version a number": server_row(version=1),
    "born as text": server_row(born="1788000000000"),
    "born a fraction": server_row(born=1_788_000_000_000.5),
    "born true": server_row(born=True),
    "born null": server_row(born=None),
    "born zero": server_row(born=0),
    "born out of range": server_row(born=2**70),
    "address null": server_row(addr=None),
    "address empty": server_row(addr=""),
    "address without port": server_row(addr="10.0.0.1"),
    "address a host name": server_row(addr="host:8080"),
    "address out of range": server_row(addr="10.0.0.999:8080"),
    "port zero": server_row(addr="10.0.0.1:0"),
    "port out of range": server_row(addr="10.0.0.1:70000"),
    "port of non-ASCII digits": server_row(addr="10.0.0.1:\uff18080"),
    "state unknown": server_row(state="resting"),
    "state a number": server_row(state=1),
    "layers negative": server_row(layers={"from": -1, "targetVersion": 4, "version": 1}),
    "layers reversed": server_row(layers={"from": 4, "targetVersion": 0, "version": 1}),
    "layers as text": server_row(layers={"from": "0", "targetVersion": "4", "version": 1}),
    "layers a number": server_row(layers=4),
    "layers without an end": server_row(layers={"from": 0, "version": 1}),
    "kind a number": server_row(kind=4),
}


def encode_entry(invalid: object) -> msgspec.Raw:
    return msgspec.Raw(invalid) if isinstance(invalid, bytes) else packed(invalid)


@pytest.mark.parametrize("name", INVALID_ENTRIES)
def test_an_invalid_entry_is_rejected(name: str) -> None:
    with pytest.raises(InvalidSettings):
        decode_server("s", encode_entry(INVALID_ENTRIES[name]))


def two_servers() -> Fleet:
    fleet = Fleet()
    fleet.apply_changes([facts_of("s"), facts_of("other")], [], outage=False)
    return fleet


def usable_ids(fleet: Fleet) -> set[str]:
    return {server.facts.id for server in fleet.usable(facts_of().service)}


def test_a_server_with_an_invalid_entry_gets_no_requests_until_it_is_valid_again() -> None:
    fleet = two_servers()
    server = fleet.servers[BackendId("s")]
    fleet.apply_changes([], [], outage=False, invalid={BackendId("s"): "slots as text"})
    assert usable_ids(fleet) == {"other"}
    # Requests that run there may finish.
    assert not server.leaving
    assert not server.suspect
    fleet.apply_changes([facts_of("s")], [], outage=False)
    assert usable_ids(fleet) == {"s", "other"}
    assert fleet.servers[BackendId("s")] is server


def test_an_invalid_entry_in_a_snapshot_does_not_remove_its_server() -> None:
    fleet = two_servers()
    server = fleet.servers[BackendId("s")]
    fleet.apply_snapshot([facts_of("other")], outage=False, invalid={BackendId("s"): "cannot be read"})
    assert usable_ids(fleet) == {"other"}
    assert fleet.servers[BackendId("s")] is server


def test_an_invalid_entry_of_an_unknown_server_adds_no_server() -> None:
    fleet = two_servers()
    fleet.apply_changes([], [], outage=False, invalid={BackendId("new"): "cannot be read"})
    assert set(fleet.servers) == {"s", "other"}


def test_an_entry_that_no_longer_names_its_start_is_invalid() -> None:
    fleet = two_servers()
    fleet.apply_changes([decode_server("s", packed(without("born")))], [], outage=False)
    assert usable_ids(fleet) == {"other"}


def test_an_entry_without_a_start_is_valid_if_the_server_never_named_one() -> None:
    fleet = Fleet()
    fleet.apply_changes([decode_server("s", packed(without("born")))], [], outage=False)
    assert usable_ids(fleet) == {"s"}


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)
"""Arbitrary JSON values."""


def pack_message(value: object) -> bytes:
    try:
        return msgspec.msgpack.encode(value)
    except OverflowError:
        return b"\xc1"


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=60) | JSON_VALUES.map(msgspec.json.encode))
def test_decoders_reject_arbitrary_bytes(data: bytes) -> None:
    for decode in (
        lambda: decode_server("s", msgspec.Raw(data)),
        lambda: decode_document(msgspec.Raw(data)),
    ):
        with pytest.raises(InvalidSettings):
            decode()
    decode_report(data)
    apply_rows({MEMBER_PREFIX + "d": msgspec.Raw(data), SECRET_KEY: msgspec.Raw(data)}, Roster())


@seed(2)
@settings(max_examples=300, deadline=None, database=None)
@given(st.sampled_from(sorted(server_row())), JSON_VALUES)
def test_an_arbitrary_field_value_is_rejected_or_gives_a_valid_server(name: str, value: object) -> None:
    try:
        facts = decode_server("s", packed(server_row(**{name: value})))
    except InvalidSettings:
        return
    assert 0 <= facts.first <= facts.last
    assert facts.slots > 0
    assert facts.hall
    assert facts.incarnation >= 0


@seed(3)
@settings(max_examples=300, deadline=None, database=None)
@given(st.sampled_from(sorted(configuration(7, ("k",), {}))), JSON_VALUES)
def test_a_document_with_an_arbitrary_field_value_is_decoded_or_rejected(name: str, value: object) -> None:
    document = {**configuration(7, ("k",), {}), name: value}
    with_engine = configuration(7, ("k",), {})
    with_engine["services"][0]["engine"]["models"] = value
    for each in (document, with_engine):
        try:
            decode_document(packed(each))
        except InvalidSettings:
            continue


@seed(4)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=60) | JSON_VALUES.map(pack_message))
def test_peer_messages_of_arbitrary_bytes_are_rejected(data: bytes) -> None:
    sealer = FrameAuthenticator(b"k" * 32)
    for frame in ([b"", data], [sealer._digest(data), data], data, [data]):
        with pytest.raises(PeerError):
            FrameAuthenticator(b"k" * 32).open(frame)
        with pytest.raises(PeerError):
            decode_hello(frame)


class FakeTable:
    """An in-memory table with arbitrary rows."""

    def __init__(self, **values: bytes) -> None:
        self.rows = {key.replace("__", "/"): (1, msgspec.Raw(value)) for key, value in values.items()}

    def read(self, keys: list[str]) -> dict[str, Row]:
        return {key: Row(*self.rows[key]) for key in keys if key in self.rows}

    def transact(self, transaction: Transaction) -> TransactionResult:
        if any(self._version(c) != c.version for c in transaction.conditions):
            return TransactionResult(False)
        for write in transaction.writes:
            version = self.rows.get(write.key, (0, encode_value("")))[0] + 1
            self.rows[write.key] = (version, write.value)
        return TransactionResult(True)

    def snapshot(self, table: str) -> Changes:
        return Changes({key: value for key, (_, value) in self.rows.items()}, 1)

    def changes(self, table: str, after: int, wait: float) -> Changes:
        raise AssertionError("nobody follows this table")

    def _version(self, condition: Condition) -> int:
        return self.rows.get(condition.key, (0, encode_value("")))[0]


def test_an_invalid_lease_row_is_waited_out(monkeypatch: pytest.MonkeyPatch) -> None:
    at = 100.0
    monkeypatch.setattr("bayglade.leases.now", lambda: at)
    lease = Lease(FakeTable(leases__placement=b"\xff"), "placement", MemberId("d"), 2.5, 0.7)
    assert not lease.acquire_or_renew()
    at += 3.3
    assert lease.acquire_or_renew()
    assert lease.seconds_left() > 0


def test_an_invalid_lease_row_that_is_written_again_and_again_is_waited_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    at = 100.0
    monkeypatch.setattr("bayglade.leases.now", lambda: at)
    rows = FakeTable(leases__placement=b"\xff")
    lease = Lease(rows, "placement", MemberId("d"), 2.5, 0.7)
    for version in range(2, 10):
        assert not lease.acquire_or_renew()
        at += 0.45
        rows.rows["leases/placement"] = (version, msgspec.Raw(b"\xff%d" % version))
    assert lease.acquire_or_renew()


@pytest.mark.parametrize("invalid", [b"\xff", b"[]", b'{"address": "nowhere", "hall": "h"}'])
def test_a_daemon_overwrites_an_invalid_row_of_its_own(invalid: bytes) -> None:
    rows = FakeTable(members__d=invalid, **{SECRET_KEY.replace("/", "__"): b'"aa"'})
    row = MemberRow("10.0.0.1:7000", facts_of().hall)
    assert join(rows, "members", MemberId("d"), row).members == {MemberId("d"): row}


def test_an_invalid_secret_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("bayglade.roster.eventlet.sleep", lambda seconds: None)
    rows = FakeTable(**{SECRET_KEY.replace("/", "__"): b"17"})
    joined = join(rows, "members", MemberId("d"), MemberRow("10.0.0.1:7000", facts_of().hall))
    assert joined.secret is not None
    assert apply_rows(rows.snapshot("members").rows, Roster()).secret == joined.secret
