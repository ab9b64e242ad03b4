"""Rows of daemons lost in a restore of the store: who remains a member, and what is rewritten."""

import random
import time
from collections.abc import Callable, Iterator

import eventlet
import msgspec
import pytest

from bayglade.gateway import Gateway
from bayglade.ids import BackendId, HallName, Incarnation, MemberId, StoreEpoch
from bayglade.lost_rows import (
    REWRITE_GRACE_SECONDS,
    REWRITES_PER_SECOND,
    merge_restored,
    rewrite_delay,
)
from bayglade.roster import MEMBER_PREFIX, SECRET_KEY, STOP_PREFIX, MemberRow, Roster, join
from bayglade.rows import Changes, encode_value
from bayglade.stops import StopRow
from standins.users import Daemon, UsersSite
from standins.virtual_time import now, run_virtually
from standins.world import wait_for
from tests import starts
from tests.starts import Site
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


def known_after(
    monkeypatch: pytest.MonkeyPatch, prepare: Callable[[Site], None], receive: Callable[[Gateway], None]
) -> set[MemberId]:
    """Return the daemons that one of three knows after an event, in virtual time.

    :param prepare: called before they start.
    :param receive: the event, called with that daemon once they have started.
    """
    starts.patch_clock(monkeypatch)

    def run() -> set[MemberId]:
        site = Site(daemons=3, halls=2, known=True, spread=0.1)
        starts.patch_start(monkeypatch, site)
        site.store.put_document()
        prepare(site)
        site.start()
        eventlet.sleep(3.0)
        receive(site.gateways[0])
        return set(site.gateways[0].peering.roster.members)

    return run_virtually(run)


RESTORED = StoreEpoch(2)
ALL = {MemberId(f"front-{number}") for number in range(3)}


def relay_restored(gateway: Gateway, version: int, rows: dict[MemberId, MemberRow]) -> None:
    """Let a daemon receive the whole roster of a restored store, as another one relays it."""
    found = {MEMBER_PREFIX + member: encode_value(row) for member, row in rows.items()}
    gateway.peering.roster_feed.receive(Changes({**found}, version, RESTORED), None, now())


def test_a_relayed_roster_that_lacks_rewritten_rows_removes_no_daemon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def receive(gateway: Gateway) -> None:
        relay_restored(gateway, 1, {})
        eventlet.sleep(0.02)
        relay_restored(gateway, 2, {MemberId("front-1"): ROW})

    assert known_after(monkeypatch, lambda site: None, receive) == ALL


def test_a_daemon_that_is_not_in_a_relayed_roster_after_the_grace_time_is_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def receive(gateway: Gateway) -> None:
        relay_restored(gateway, 1, {})
        eventlet.sleep(REWRITE_GRACE_SECONDS + 1.0)
        relay_restored(gateway, 2, {MemberId("front-1"): ROW})

    known = known_after(monkeypatch, lambda site: None, receive)
    assert MemberId("front-1") in known
    assert MemberId("front-2") not in known


def test_a_relayed_stop_that_was_lifted_before_a_restore_is_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def receive(gateway: Gateway) -> None:
        suspects, feed = gateway.peers.quarantine.suspects, gateway.peering.roster_feed
        key, row = STOP_PREFIX + "lifted", encode_value(StopRow([(BackendId("s"), Incarnation(1))]))
        assert feed.position is not None
        at = feed.position.version
        feed.receive(Changes({key: row}, at + 1, starts.EPOCH), feed.position, now())
        feed.receive(Changes({key: None}, at + 2, starts.EPOCH), feed.position, now())
        for version in (1, 2):
            feed.receive(Changes({key: row}, version, RESTORED), None, now())
            assert suspects.stopped() == []

    known_after(monkeypatch, lambda site: None, receive)


def test_a_daemon_that_joined_before_a_restore_and_reads_the_roster_after_it_removes_no_daemon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def prepare(site: Site) -> None:
        monkeypatch.setattr(site.gateways[0].peering.roster_feed, "start", lambda: None)

    def receive(gateway: Gateway) -> None:
        relay_restored(gateway, 1, {MemberId("front-1"): ROW})

    assert known_after(monkeypatch, prepare, receive) == ALL


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
