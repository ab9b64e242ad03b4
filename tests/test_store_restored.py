"""A store restored from a backup some seconds old must not keep its changes from the daemons.

After a restore, readers took snapshots at versions below those that the other daemons knew. The
others rejected these updates until the versions had passed the old ones, although they counted as
fresh meanwhile. Rows that changed in between stayed wrong permanently.
"""

import time
from collections.abc import Iterator, Sequence

import pytest

from standins.users import KEY, PLAIN, Daemon, Replica, UsersSite
from standins.world import wait_for
from tests.gateway_callers import ask

DAEMONS = 5
"""Two of them read the store for the others."""

DRAIN_SECONDS = 2.0
CONFIG_SECONDS = 2.0
"""Configured bounds within which a leaving server and a change of the settings must be known."""

SETTLE_SECONDS = 1.5
"""Seconds for daemons to learn what was written before the store fails."""

LOST_WRITES = 6


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=2, stages=0, plain=4) as made:
        yield made


def start(site: UsersSite, count: int = DAEMONS) -> list[Daemon]:
    daemons = [site.start(f"hall-{n % 2}", retry_floor=1000.0) for n in range(count)]
    for daemon in daemons:
        wait_for("it hears from the others", lambda d=daemon: len(d.beliefs()["members"]) == count - 1)
    time.sleep(SETTLE_SECONDS)
    return daemons


def state_of(daemon: Daemon, server: Replica) -> str:
    """Return the state of a server as a daemon reports it."""
    states = {s["backend"]: s["state"] for s in daemon.beliefs()["servers"]}
    return str(states.get(server.id, "gone"))


def write_and_restore(site: UsersSite, daemons: Sequence[Daemon], away: float = 0.05) -> None:
    """Make some changes that all daemons know and that the restored store has lost."""
    backed_up = site.store.version
    for _ in range(LOST_WRITES):
        site.configure()
    wait_for(
        "all daemons know the settings",
        lambda: all(d.beliefs()["settings"] == site.version for d in daemons),
    )
    # Other tables reach these versions once their calls have been answered.
    time.sleep(SETTLE_SECONDS)
    site.restore_store(backed_up, away)


RESTORE_DELAYS = pytest.mark.parametrize("away", [0.05, 0.7])


@RESTORE_DELAYS
def test_a_server_that_leaves_after_a_restore_gets_no_more_requests(site: UsersSite, away: float) -> None:
    daemons = start(site)
    write_and_restore(site, daemons, away)
    time.sleep(0.3)
    leaving = site.of(PLAIN)[0]
    leaving.leave()
    told = time.monotonic()
    while time.monotonic() < told + DRAIN_SECONDS + 1.0:
        for daemon in daemons:
            ask(daemon.callers, "/safe/x")
    assert [at for _, at in leaving.arrived if at > told + DRAIN_SECONDS] == []
    assert {state_of(daemon, leaving) for daemon in daemons} == {"leaving"}


@RESTORE_DELAYS
def test_a_change_after_the_store_was_restored_is_in_force_in_time(site: UsersSite, away: float) -> None:
    daemons = start(site)
    write_and_restore(site, daemons, away)
    time.sleep(0.3)
    site.configure(("another-key",))
    acknowledged = time.monotonic()
    wait_for(
        "all daemons have the settings",
        lambda: all(daemon.beliefs()["settings"] == site.version for daemon in daemons),
    )
    assert time.monotonic() - acknowledged <= CONFIG_SECONDS
    assert {ask(daemon.callers, "/safe/x").status for daemon in daemons} == {401}


def test_a_row_that_is_removed_after_the_store_was_restored_is_gone_everywhere(site: UsersSite) -> None:
    daemons = start(site)
    write_and_restore(site, daemons)
    time.sleep(0.3)
    removed = site.of(PLAIN)[0]
    site.store.drop("servers", removed.id)
    time.sleep(DRAIN_SECONDS)
    site.rewrite_lost_rows()
    for _ in range(2 * LOST_WRITES):
        site.configure()
    time.sleep(SETTLE_SECONDS)
    assert {state_of(daemon, removed) for daemon in daemons} == {"gone"}


def test_a_server_removed_before_a_restore_gets_no_requests(site: UsersSite) -> None:
    daemons = start(site)
    gone = site.of(PLAIN)[0]
    backed_up = site.store.version
    site.store.drop("servers", gone.id)
    wait_for("all daemons know it", lambda: {state_of(daemon, gone) for daemon in daemons} == {"gone"})
    # Requests in progress have ended.
    time.sleep(0.2)
    before = len(gone.arrived)
    site.restore_store(backed_up)
    until = time.monotonic() + 2.0
    while time.monotonic() < until:
        for daemon in daemons:
            ask(daemon.callers, "/safe/x")
    assert gone.arrived[before:] == []


def test_a_daemon_whose_row_was_lost_in_a_restore_rewrites_it(site: UsersSite) -> None:
    start(site)
    backed_up = site.store.version
    joined = site.start("hall-1")
    wait_for("it hears from the others", lambda: len(joined.beliefs()["members"]) == DAEMONS)
    row = ("bayglade-members", f"members/{joined.settings['member']}")
    assert row in site.store.rows
    site.restore_store(backed_up)
    assert row not in site.store.rows
    wait_for("its row is rewritten", lambda: row in site.store.rows)


def test_a_daemon_started_after_a_restore_does_not_serve_with_older_settings(
    site: UsersSite,
) -> None:
    daemons = start(site)
    backed_up = site.store.version
    site.configure(("another-key",))
    wait_for(
        "all daemons know the settings",
        lambda: all(d.beliefs()["settings"] == site.version for d in daemons),
    )
    site.restore_store(backed_up)
    late = Daemon(site, "late", "hall-0", {})
    site.daemons.append(late)
    until = time.monotonic() + 4.0
    statuses = set()
    while time.monotonic() < until:
        try:
            statuses.add(ask(late.callers, "/safe/x", X_Key=KEY).status)
        except OSError:
            # It is not listening yet.
            time.sleep(0.01)
    assert statuses <= {401, 503}
    assert 401 in statuses


def test_a_daemon_started_alone_after_a_restore_serves_with_the_stored_settings(site: UsersSite) -> None:
    before = site.start("hall-0")
    before.stop()
    site.restore_store(site.store.version)
    daemon = site.start("hall-0")
    started, ready = (daemon.lines(event)[0]["steady"] for event in ("started", "readiness changed"))
    assert ready - started < 3.0
