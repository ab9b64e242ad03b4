"""Rows of daemons that a restored store has lost: who counts as there, and what is written again."""

import random
import time
from collections.abc import Iterator

import msgspec
import pytest

from bayglade.ids import HallName, MemberId
from bayglade.lost_rows import WRITES_PER_SECOND, recover, write_delay
from bayglade.roster import MEMBER_PREFIX, SECRET_KEY, MemberRow, Roster, join
from standins.users import Daemon, UsersSite
from standins.world import wait_for
from tests.test_roster import Rows

A, B, C = MemberId("a"), MemberId("b"), MemberId("c")
ROW = MemberRow("10.0.0.1:7000", HallName("h"))
TABLE = "bayglade-members"


def test_a_daemon_whose_row_is_lost_stays() -> None:
    before = Roster({A: ROW, B: ROW}, b"s")
    assert recover(before, Roster({A: ROW}, b"s"), {}).members == {A: ROW, B: ROW}


def test_a_daemon_whose_row_is_lost_and_that_is_silent_goes() -> None:
    before = Roster({A: ROW, B: ROW}, b"s")
    assert recover(before, Roster({A: ROW}, b"s"), {B}).members == {A: ROW}


def test_a_daemon_that_was_taken_out_since_the_copy_stays_out() -> None:
    before = Roster({A: ROW}, b"s", marked=frozenset({B}))
    after = recover(before, Roster({A: ROW, B: ROW}, b"s"), {})
    assert after.members == {A: ROW}
    assert after.marked == {B}


def test_a_daemon_that_the_copy_says_is_gone_stays_so() -> None:
    before = Roster({A: ROW, B: ROW}, b"s")
    assert recover(before, Roster({A: ROW}, b"s", marked=frozenset({B})), {}).members == {A: ROW}


def test_rows_are_written_again_at_a_bounded_rate() -> None:
    rng = random.Random(1)
    delays = sorted(write_delay(440, rng) for _ in range(440))
    most = max(sum(at <= delay < at + 1.0 for delay in delays) for at in delays)
    assert most <= 1.3 * WRITES_PER_SECOND
    assert write_delay(0, rng) == 0.0


def test_the_secret_that_streams_have_is_written_again_and_no_new_one() -> None:
    table = Rows()
    assert join(table, TABLE, A, ROW, b"in use").secret == b"in use"
    assert table.rows[SECRET_KEY].value == msgspec.Raw(b'"in use"')


def test_the_secret_that_streams_have_replaces_one_that_was_made_since() -> None:
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
        wait_for("it hears the others", lambda d=daemon: len(d.beliefs()["members"]) == count - 1)
    return daemons


def test_all_rows_that_a_restored_store_has_lost_are_written_again(site: UsersSite) -> None:
    copied = site.store.version
    daemons = start(site, 4)
    secret = site.store.rows[TABLE, SECRET_KEY][1]
    names = {(TABLE, MEMBER_PREFIX + daemon.settings["member"]) for daemon in daemons}
    site.restore_store(copied)
    site.rewrite_lost_rows()
    wait_for("their rows are there again", lambda: names <= site.store.rows.keys())
    assert site.store.rows[TABLE, SECRET_KEY][1] == secret
    joined = site.start("hall-0", retry_floor=1000.0)
    wait_for(
        "all hear each other", lambda: all(len(d.beliefs()["members"]) == 4 for d in [*daemons, joined])
    )


def test_a_secret_that_was_made_on_a_restored_store_gives_way(site: UsersSite) -> None:
    copied = site.store.version
    daemons = start(site, 3)
    secret = site.store.rows[TABLE, SECRET_KEY][1]
    site.restore_store(copied)
    site.store.put(TABLE, SECRET_KEY, "made on the restored store")
    site.rewrite_lost_rows()
    wait_for("the secret is the earlier one", lambda: site.store.rows[TABLE, SECRET_KEY][1] == secret)
    time.sleep(1.0)
    assert all(len(daemon.beliefs()["members"]) == 2 for daemon in daemons)
