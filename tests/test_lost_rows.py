"""Rows of daemons lost in a restore of the store: who remains a member, and what is rewritten."""

import random
import time
from collections.abc import Iterator

import msgspec
import pytest

from bayglade.ids import HallName, MemberId
from bayglade.lost_rows import REWRITES_PER_SECOND, merge_restored, rewrite_delay
from bayglade.roster import MEMBER_PREFIX, SECRET_KEY, MemberRow, Roster, join
from standins.users import Daemon, UsersSite
from standins.world import wait_for
from tests.test_roster import Rows

A, B, C = MemberId("a"), MemberId("b"), MemberId("c")
ROW = MemberRow("10.0.0.1:7000", HallName("h"))
TABLE = "bayglade-members"


def test_a_daemon_whose_row_is_lost_stays_a_member() -> None:
    before = Roster({A: ROW, B: ROW}, b"s")
    assert merge_restored(before, Roster({A: ROW}, b"s"), {}).members == {A: ROW, B: ROW}


def test_a_silent_daemon_whose_row_is_lost_is_dropped() -> None:
    before = Roster({A: ROW, B: ROW}, b"s")
    assert merge_restored(before, Roster({A: ROW}, b"s"), {B}).members == {A: ROW}


def test_a_daemon_marked_gone_since_the_backup_stays_out() -> None:
    before = Roster({A: ROW}, b"s", marked_gone=frozenset({B}))
    after = merge_restored(before, Roster({A: ROW, B: ROW}, b"s"), {})
    assert after.members == {A: ROW}
    assert after.marked_gone == {B}


def test_a_daemon_marked_gone_in_the_backup_stays_out() -> None:
    before = Roster({A: ROW, B: ROW}, b"s")
    assert merge_restored(before, Roster({A: ROW}, b"s", marked_gone=frozenset({B})), {}).members == {
        A: ROW
    }


def test_lost_rows_are_rewritten_at_a_bounded_rate() -> None:
    rng = random.Random(1)
    delays = sorted(rewrite_delay(440, rng) for _ in range(440))
    most = max(sum(at <= delay < at + 1.0 for delay in delays) for at in delays)
    assert most <= 1.3 * REWRITES_PER_SECOND
    assert rewrite_delay(0, rng) == 0.0


def test_the_secret_in_use_is_rewritten_and_no_new_one_created() -> None:
    table = Rows()
    assert join(table, TABLE, A, ROW, b"in use").secret == b"in use"
    assert table.rows[SECRET_KEY].value == msgspec.Raw(b'"in use"')


def test_the_secret_in_use_replaces_a_newer_one() -> None:
    table = Rows()
    join(table, TABLE, A, ROW)
    assert join(table, TABLE, B, ROW, b"in use").secret == b"in use"
    assert table.rows[SECRET_KEY].value == msgspec.Raw(b'"in use"')


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=2, stages=0, plain=2) as made:
        yield made


def start(site: UsersSite, count: int) -> list[Daemon]:
    daemons = [site.start(f"hall-{n % 2}", retry_floor=1000.0) for n in range(count)]
    for daemon in daemons:
        wait_for("it hears from the others", lambda d=daemon: len(d.beliefs()["members"]) == count - 1)
    return daemons


def test_all_rows_lost_in_a_restore_are_rewritten(site: UsersSite) -> None:
    backed_up = site.store.version
    daemons = start(site, 4)
    secret = site.store.rows[TABLE, SECRET_KEY][1]
    names = {(TABLE, MEMBER_PREFIX + daemon.settings["member"]) for daemon in daemons}
    site.restore_store(backed_up)
    site.rewrite_lost_rows()
    wait_for("their rows are rewritten", lambda: names <= site.store.rows.keys())
    assert site.store.rows[TABLE, SECRET_KEY][1] == secret
    joined = site.start("hall-0", retry_floor=1000.0)
    wait_for(
        "all hear from each other",
        lambda: all(len(d.beliefs()["members"]) == 4 for d in [*daemons, joined]),
    )


def test_a_secret_created_after_a_restore_is_replaced(site: UsersSite) -> None:
    backed_up = site.store.version
    daemons = start(site, 3)
    secret = site.store.rows[TABLE, SECRET_KEY][1]
    site.restore_store(backed_up)
    site.store.put(TABLE, SECRET_KEY, "created on the restored store")
    site.rewrite_lost_rows()
    wait_for("the secret is the earlier one", lambda: site.store.rows[TABLE, SECRET_KEY][1] == secret)
    time.sleep(1.0)
    assert all(len(daemon.beliefs()["members"]) == 2 for daemon in daemons)
