"""The roster: the cost of a start, daemons that start together, and rows of daemons that are gone."""

import msgspec
import pytest

from bayglade import roster
from bayglade.exceptions import HistoryGone, PlatformUnavailable
from bayglade.ids import HallName, MemberId
from bayglade.roster import MemberRow, Roster, apply_rows, join, mark_gone
from bayglade.rows import Changes, Row, Transaction, TransactionResult

TABLE = "members"
ME = MemberId("a")
ROW = MemberRow("10.0.0.1:7000", HallName("h"))


class Rows:
    """A table that counts calls and can let another daemon write just before a transaction."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.calls = 0
        self.failures = 0
        self.others: list[dict[str, object]] = []

    def put(self, key: str, value: msgspec.Raw) -> None:
        self.version += 1
        self.rows[key] = Row(self.version, value)

    def snapshot(self, table: str) -> Changes:
        self._call()
        return Changes({key: row.value for key, row in self.rows.items()}, self.version)

    def changes(self, table: str, after: int, wait: float) -> Changes:
        raise AssertionError("no table is followed in this test")

    def read(self, keys: list[str]) -> dict[str, Row]:
        self._call()
        return {key: self.rows[key] for key in keys if key in self.rows}

    def transact(self, transaction: Transaction) -> TransactionResult:
        self._call()
        for key, value in (self.others.pop() if self.others else {}).items():
            self.put(key, msgspec.Raw(msgspec.json.encode(value)))
        for condition in transaction.conditions:
            found = self.rows.get(condition.key)
            if (found.version if found is not None else 0) != condition.version:
                return TransactionResult(False, [condition.key])
        for write in transaction.writes:
            self.put(write.key, write.value)
        return TransactionResult(True)

    def _call(self) -> None:
        self.calls += 1
        if self.failures:
            self.failures -= 1
            raise PlatformUnavailable("no answer", step="read", peer="store")


def members(table: Rows) -> Roster:
    return apply_rows({key: row.value for key, row in table.rows.items()}, Roster())


def test_a_first_start_writes_the_row_and_the_secret() -> None:
    table = Rows()
    joined = join(table, TABLE, ME, ROW)
    assert joined == members(table)
    assert joined.members == {ME: ROW}
    assert joined.secret
    assert table.calls == 2


def test_a_start_with_an_existing_row_costs_one_read_and_no_write() -> None:
    table = Rows()
    first = join(table, TABLE, ME, ROW)
    before = table.calls
    assert join(table, TABLE, ME, ROW) == first
    assert table.calls - before == 1


def test_daemons_that_start_together_agree_on_one_secret() -> None:
    table = Rows()
    table.others = [{roster.SECRET_KEY: "theirs", "members/b": {"address": "x:1", "hall": "h"}}]
    joined = join(table, TABLE, ME, ROW)
    assert joined.secret == b"theirs"
    assert joined.members.keys() == {ME, "b"}


def test_a_row_of_an_earlier_address_is_replaced() -> None:
    table = Rows()
    join(table, TABLE, ME, MemberRow("10.0.0.9:7000", HallName("h")))
    assert join(table, TABLE, ME, ROW).members == {ME: ROW}
    assert members(table).members == {ME: ROW}


def test_joining_retries_until_the_table_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(roster.eventlet, "sleep", lambda seconds: None)
    table = Rows()
    table.failures = 3
    assert join(table, TABLE, ME, ROW).members == {ME: ROW}


def test_joining_retries_when_the_store_is_restored_meanwhile(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(roster.eventlet, "sleep", lambda seconds: None)
    table = Rows()
    snapshot, failures = table.snapshot, [HistoryGone("restored between two pages")]

    def restored_once(name: str) -> Changes:
        if failures:
            raise failures.pop()
        return snapshot(name)

    monkeypatch.setattr(table, "snapshot", restored_once)
    assert join(table, TABLE, ME, ROW).members == {ME: ROW}


def test_a_daemon_marked_gone_leaves_the_roster_and_can_rejoin() -> None:
    table = Rows()
    join(table, TABLE, ME, ROW)
    mark_gone(table, ME)
    assert members(table).members == {}
    before = table.calls
    mark_gone(table, ME)
    mark_gone(table, MemberId("never there"))
    assert table.calls - before == 2
    assert join(table, TABLE, ME, ROW).members == {ME: ROW}


def test_a_daemon_that_restarted_meanwhile_is_not_marked_gone() -> None:
    table = Rows()
    join(table, TABLE, ME, ROW)
    table.others = [{"members/a": {"address": "10.0.0.2:7000", "hall": "h"}}]
    mark_gone(table, ME)
    assert members(table).members[ME].address == "10.0.0.2:7000"


def test_roster_changes_are_applied_and_malformed_rows_ignored() -> None:
    before = Roster({ME: ROW, MemberId("b"): ROW}, b"s")
    rows: dict[str, msgspec.Raw | None] = {
        "members/b": None,
        "members/c": msgspec.Raw(b'{"address":"x:1","hall":"h"}'),
        "members/d": msgspec.Raw(b"{"),
    }
    after = apply_rows(rows, before)
    assert after.members.keys() == {ME, "c"}
    assert after.secret == b"s"
