"""Entries of other writers that cannot be read: the others hold, for daemons that start as well.

Guards against readers of the store that one entry ends: with a port of 5,000 digits in the list of servers,
no daemon that started served a request.
"""

import json
from collections.abc import Iterator

import pytest

from standins.users import MODEL, PLAIN, Daemon, UsersSite
from standins.world import wait_for
from tests.gateway_callers import ask

HUGE = 10**400
INVALID_ENTRIES = {
    "port of many digits": {"addr": "127.9.9.9:" + "9" * 5000},
    "address of no host": {"addr": "0.0.0.0:80"},
    "slots out of range": {"slots": HUGE},
}


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=4) as made:
        yield made


def restart(daemon: Daemon) -> Daemon:
    """Kill a daemon and start it again with the same settings."""
    daemon.stop()
    settings = {**daemon.settings, "first_start": False}
    again = Daemon(daemon.site, settings["member"], settings["hall"], settings, f"{daemon.file.stem}-again")
    daemon.site.daemons.append(again)
    return again


def is_served(daemon: Daemon, path: str) -> bool:
    answer = ask(daemon.callers, path)
    return answer.whole and answer.status == 200


@pytest.mark.parametrize("service", [PLAIN, MODEL])
@pytest.mark.parametrize("invalid", INVALID_ENTRIES)
def test_daemons_that_start_serve_beside_an_unreadable_entry(
    site: UsersSite, invalid: str, service: str
) -> None:
    daemons = [site.start() for _ in range(2)]
    site.wait_placed()
    entry = {**site.of(service)[0].row(), "addr": "127.9.9.9:8080", **INVALID_ENTRIES[invalid]}
    site.store.put_bytes("servers", "i-of-another", json.dumps(entry).encode())
    restarted = [restart(daemon) for daemon in daemons]
    for daemon in restarted:
        daemon.wait_ready()
        wait_for("streams are served", lambda daemon=daemon: is_served(daemon, "/stream/x"))
        assert all(is_served(daemon, path) for path in ("/safe/x", "/once/x", "/stream/x") * 4)
    site.of(PLAIN)[0].leave()
    for daemon in restarted:
        wait_for("a leaving server is noticed", lambda daemon=daemon: daemon.lines("server leaving"))


OWN_ROWS = {
    ("bayglade-members", "members/i-of-another"): {"address": "127.9.9.9:" + "9" * 5000, "hall": "hall-0"},
    ("bayglade-members", "members/#stopped/invalid"): {"ends": [["s", HUGE]]},
    ("bayglade-leases", "leases/placement"): {"holder": "d0", "epoch": HUGE},
}


def test_daemons_that_start_serve_beside_unreadable_rows_of_their_own(site: UsersSite) -> None:
    daemons = [site.start() for _ in range(2)]
    site.wait_placed()
    for (table, key), row in OWN_ROWS.items():
        site.store.put_bytes(table, key, json.dumps(row).encode())
    restarted = [restart(daemon) for daemon in daemons]
    for daemon in restarted:
        daemon.wait_ready()
        wait_for("streams are served", lambda daemon=daemon: is_served(daemon, "/stream/x"))
        others = {other.settings["member"] for other in restarted if other is not daemon}
        wait_for(
            "it hears the other",
            lambda daemon=daemon, others=others: others <= set(daemon.beliefs()["members"]),
        )
    site.of(MODEL)[0].restart()
    wait_for("its layers are loaded again", lambda: site.of(MODEL)[0].held != (0, 0))
