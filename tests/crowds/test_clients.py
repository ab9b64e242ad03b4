"""Crowds of clients that don't behave, at the ports of a daemon on the users' platform.

Only what does not depend on speed is checked: the process lives, its memory with the bytes that it has
not read stays within that of its host, its descriptors within their limit, and an ordinary request is
answered.
"""

import signal
from collections.abc import Iterator
from typing import Any

import psutil
import pytest

from standins.crowds import Crowd
from standins.users import HOST_NAME, Daemon, UsersSite, exchange
from standins.users.configuration import KEY
from standins.world import STOP_TIMEOUT, wait_for
from tests.crowds.bounds import (
    BODY_BYTES,
    CLIENTS,
    DESCRIPTORS,
    FILE_DESCRIPTORS,
    MACHINE_MB,
    SILENT_CLIENTS,
    watched,
)
from tests.gateway_callers import ask, read_answer
from tests.test_partitioned_daemons import isolate

HEAD_BYTES = 16 * 1024
SECONDS = 30.0
"""Time limits on requests and idle connections: longer than any crowd stays."""
TINY_FIELD_CLIENTS = 500
FEW_CLIENTS = 20
LONG_ANSWER_BYTES = 4 * BODY_BYTES
"""More than the kernel buffers for a connection."""

READERS = 100
SHORT_ANSWER_BYTES = 16 * 1024
INCOMPLETE = ["bodies", "slow_bodies", "large_chunks", "small_chunks"]


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=4, plain=2, partitionable=True) as made:
        configure(made)
        yield made


def configure(site: UsersSite, **limits: Any) -> None:
    """Set limits on clients that end no crowd before it is judged."""
    site.configure(timeoutMs=SECONDS * 1000)
    document = site.configuration
    document["version"] = site.version = site.version + 1
    document["limits"] = {
        "maxHeaderBytes": HEAD_BYTES,
        "maxBodyBytes": BODY_BYTES,
        "headerTimeoutMs": SECONDS * 1000,
        "idleTimeoutMs": SECONDS * 1000,
        **limits,
    }
    site.store.put("op", "config", document)


def start(site: UsersSite, **settings: Any) -> Daemon:
    usual = {"memory_mb": MACHINE_MB, "max_answer_bytes": BODY_BYTES, "key_trust_ms": 60_000}
    daemon = site.start(**{**usual, "retry_floor": 1000.0, **settings})
    wait_for("calls are served", lambda: is_served(daemon))
    return daemon


def is_served(daemon: Daemon, path: str = "/safe/x") -> bool:
    """Return whether one ordinary request is answered."""
    try:
        answer = ask(daemon.callers, path)
    except OSError:
        return False
    return answer.status == 200 and answer.whole


def port(address: str) -> int:
    return int(address.rpartition(":")[2])


def own_ports(daemon: Daemon) -> list[int]:
    return [port(daemon.callers), port(daemon.ready), port(daemon.metrics), *daemon.ports]


def server_ports(site: UsersSite) -> list[int]:
    return [port(replica.address) for replica in site.replicas]


def judge(site: UsersSite, daemon: Daemon, crowd: Crowd, beside: bool = True) -> None:
    """Check what must hold beside a crowd, and after it has left."""
    with watched(daemon.popen.pid, own_ports(daemon), server_ports(site)):
        crowd.wait_settled()
        if beside:
            assert is_served(daemon)
        crowd.leave()
        assert is_served(daemon)
        assert daemon.is_ready()


@pytest.mark.parametrize("kind", INCOMPLETE)
def test_bodies_that_never_end_fit_into_memory(site: UsersSite, kind: str) -> None:
    daemon = start(site)
    with Crowd(daemon.callers, kind, CLIENTS, bytes=BODY_BYTES) as crowd:
        judge(site, daemon, crowd)


@pytest.mark.parametrize("options", [{"path": "/nowhere/x"}, {"key": "unknown"}], ids=["route", "key"])
def test_bodies_that_would_be_refused_fit_into_memory(site: UsersSite, options: dict[str, str]) -> None:
    daemon = start(site)
    with Crowd(daemon.callers, "bodies", CLIENTS, bytes=BODY_BYTES, **options) as crowd:
        judge(site, daemon, crowd)


@pytest.mark.parametrize("name", ["forwarded", "ready", "metrics"])
def test_bodies_at_the_other_ports_fit_into_memory(site: UsersSite, name: str) -> None:
    daemon = start(site)
    addresses = {
        "ready": daemon.ready,
        "metrics": daemon.metrics,
        "forwarded": f"127.0.0.1:{daemon.ports[1]}",
    }
    with Crowd(addresses[name], "bodies", CLIENTS, bytes=BODY_BYTES) as crowd:
        judge(site, daemon, crowd)


def test_complete_bodies_that_servers_do_not_take_fit_into_memory(site: UsersSite) -> None:
    daemon = start(site)
    for server in site.replicas:
        server.faults.set("mute")
    with (
        Crowd(daemon.callers, "whole_bodies", CLIENTS, bytes=BODY_BYTES, path="/once/x") as crowd,
        watched(daemon.popen.pid, own_ports(daemon), server_ports(site)),
    ):
        crowd.wait_settled()
        for server in site.replicas:
            server.faults.clear()
        assert is_served(daemon)
        crowd.leave()
        assert is_served(daemon)


@pytest.mark.parametrize("kind", ["unread_answers", "slow_answers"])
def test_long_answers_that_are_not_read_fit_into_memory(site: UsersSite, kind: str) -> None:
    daemon = start(site, max_answer_bytes=LONG_ANSWER_BYTES)
    for server in site.replicas:
        server.long_answer_bytes = LONG_ANSWER_BYTES
    with Crowd(daemon.callers, kind, READERS, path="/safe/long") as crowd:
        judge(site, daemon, crowd)


def test_requests_sent_ahead_without_end_fit_into_memory(site: UsersSite) -> None:
    daemon = start(site)
    for server in site.replicas:
        server.long_answer_bytes = SHORT_ANSWER_BYTES
    with Crowd(daemon.callers, "sent_ahead", CLIENTS, path="/safe/long") as crowd:
        judge(site, daemon, crowd)


def test_heads_of_tiny_fields_fit_into_memory(site: UsersSite) -> None:
    daemon = start(site)
    with Crowd(daemon.callers, "tiny_fields", TINY_FIELD_CLIENTS, bytes=HEAD_BYTES) as crowd:
        judge(site, daemon, crowd)


def test_bytes_after_a_rejected_request_do_not_keep_others_waiting(site: UsersSite) -> None:
    daemon = start(site)
    with Crowd(daemon.callers, "after_rejection", FEW_CLIENTS) as crowd:
        judge(site, daemon, crowd)


@pytest.mark.parametrize("name", ["callers", "forwarded", "ready", "metrics", "streams"])
def test_connections_do_not_use_up_the_descriptors(site: UsersSite, name: str) -> None:
    daemon = start(site, max_descriptors=DESCRIPTORS)
    process = psutil.Process(daemon.popen.pid)
    process.rlimit(psutil.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    addresses = {
        "callers": daemon.callers,
        "ready": daemon.ready,
        "metrics": daemon.metrics,
        "forwarded": f"127.0.0.1:{daemon.ports[1]}",
        "streams": f"127.0.0.1:{daemon.ports[0]}",
    }
    with (
        Crowd(addresses[name], "silent", SILENT_CLIENTS) as crowd,
        watched(daemon.popen.pid, own_ports(daemon), server_ports(site)) as watch,
    ):
        crowd.wait_settled()
        assert is_served(daemon)
        assert daemon.is_ready()
        assert daemon.beliefs()["member"] == daemon.settings["member"]
        crowd.leave()
        assert is_served(daemon)
    assert watch.peak_descriptors <= DESCRIPTORS - FILE_DESCRIPTORS


def test_a_second_and_a_third_crowd_do_not_add_to_the_first(site: UsersSite) -> None:
    daemon = start(site)
    for kind in ("bodies", "large_chunks", "bodies"):
        with Crowd(daemon.callers, kind, CLIENTS, bytes=BODY_BYTES) as crowd:
            judge(site, daemon, crowd)


def test_a_change_of_settings_amid_a_crowd_takes_effect(site: UsersSite) -> None:
    daemon = start(site)
    with (
        Crowd(daemon.callers, "bodies", CLIENTS, bytes=BODY_BYTES) as crowd,
        watched(daemon.popen.pid, own_ports(daemon), server_ports(site)),
    ):
        crowd.wait_settled()
        configure(site, maxBodyBytes=BODY_BYTES // 2)
        wait_for("the settings are in force", lambda: daemon.beliefs()["settings"] == site.version)
        with Crowd(daemon.callers, "bodies", CLIENTS, bytes=BODY_BYTES // 2) as second:
            second.wait_settled()
            assert is_served(daemon)


def test_a_daemon_stops_in_order_amid_a_crowd(site: UsersSite) -> None:
    daemon = start(site, grace_seconds=5.0)
    with Crowd(daemon.callers, "bodies", CLIENTS, bytes=BODY_BYTES) as crowd:
        with watched(daemon.popen.pid, own_ports(daemon), server_ports(site)):
            crowd.wait_settled()
            daemon.signal(signal.SIGTERM)
            wait_for("it drains", lambda: daemon.lines("stopping"))
            assert is_served(daemon)
        assert daemon.popen.wait(STOP_TIMEOUT) == 0


def test_bodies_of_forwarded_calls_fit_into_the_memory_of_both_daemons(site: UsersSite) -> None:
    isolated, helper = start(site), start(site)
    site.wait_placed()
    wait_for("it knows the other one", lambda: isolated.beliefs()["members"])
    isolate(isolated)
    for server in site.replicas:
        server.faults.set("mute")
    with (
        Crowd(isolated.callers, "whole_bodies", CLIENTS, bytes=BODY_BYTES, path="/once/x") as crowd,
        watched(isolated.popen.pid, own_ports(isolated), own_ports(helper)),
        watched(helper.popen.pid, own_ports(helper), server_ports(site)),
    ):
        crowd.wait_settled()
        for server in site.replicas:
            server.faults.clear()
        assert is_served(helper)
        crowd.leave()
        assert is_served(helper)
        wait_for("the isolated daemon serves", lambda: is_served(isolated))


@pytest.mark.parametrize("chunk_bytes", [1, 2, 64, 0], ids=["1", "2", "64", "length"])
def test_a_single_body_of_the_largest_size_is_served(site: UsersSite, chunk_bytes: int) -> None:
    daemon = start(site)
    fields = f"Host: {HOST_NAME}\r\nX-Request-Id: largest\r\nX-Key: {KEY}\r\nX-Deadline-Ms: 30000\r\n"
    framing = "Transfer-Encoding: chunked" if chunk_bytes else f"Content-Length: {BODY_BYTES}"
    body = bytes(BODY_BYTES)
    if chunk_bytes:
        body = (
            b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes)) * (BODY_BYTES // chunk_bytes) + b"0\r\n\r\n"
        )
    with watched(daemon.popen.pid, own_ports(daemon), server_ports(site)):
        sent = f"POST /safe/x HTTP/1.1\r\n{fields}{framing}\r\n\r\n".encode() + body
        answer = read_answer("largest", exchange(daemon.callers, sent, SECONDS))
        assert (answer.status, answer.whole) == (200, True)
        assert is_served(daemon)
