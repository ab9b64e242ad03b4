"""Connections of callers keep to the limits in force, not to those of when they were accepted.

Guards against the default limits on connections that a daemon accepted before it knew its first settings:
proper requests got 413 on them for good.
"""

import socket
import time
from collections.abc import Iterator

import pytest

from standins.users import Daemon, UsersSite
from standins.users.daemon import is_complete
from standins.world import wait_for
from tests.gateway_callers import Answer, read_answer, request_bytes

LARGE = b"x" * 2_000_000
"""Larger than the default limit, smaller than that of the settings."""


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=0, plain=2) as made:
        yield made


def start_without_settings(site: UsersSite) -> Daemon:
    site.store.drop("op", "config")
    daemon = Daemon(site, "d0", "hall-0", {})
    site.daemons.append(daemon)
    wait_for("it listens", lambda: daemon.lines("started"))
    return daemon


def connect(daemon: Daemon) -> socket.socket:
    host, _, port = daemon.callers.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


def ask_on(sock: socket.socket, request: str, body: bytes) -> Answer:
    sock.sendall(request_bytes("/once/x", request, "POST", body))
    data = b""
    while not is_complete(data) and (piece := sock.recv(65536)):
        data += piece
    return read_answer(request, data)


def test_a_connection_accepted_before_the_first_settings_gets_their_limits(site: UsersSite) -> None:
    daemon = start_without_settings(site)
    with connect(daemon) as sock:
        time.sleep(0.3)
        site.client_limits = {"maxBodyBytes": 4_194_304}
        site.configure()
        wait_for("the settings are in force", lambda: daemon.lines("settings in force"))
        daemon.wait_ready()
        assert ask_on(sock, "large", LARGE).status == 200


def test_a_large_request_before_the_first_settings_may_be_sent_again(site: UsersSite) -> None:
    daemon = start_without_settings(site)
    with connect(daemon) as sock:
        answer = ask_on(sock, "early", LARGE)
    assert answer.status == 503
    assert "retry-after" in answer.headers


@pytest.mark.parametrize("large_first", [True, False])
def test_a_changed_limit_holds_on_open_connections(site: UsersSite, large_first: bool) -> None:
    daemon = site.start()
    limits = [4_194_304, 1_000_000]
    for limit in limits if large_first else reversed(limits):
        with connect(daemon) as sock:
            time.sleep(0.1)
            site.client_limits = {"maxBodyBytes": limit}
            site.configure()
            wait_for(
                "the settings are in force",
                lambda: any(line["version"] == site.version for line in daemon.lines("settings in force")),
            )
            expected = 200 if limit > len(LARGE) else 413
            assert ask_on(sock, f"large-{limit}", LARGE).status == expected
