"""Callers of a daemon that is stopped in calm: each request that was read gets an answer, which is true.

Guards against requests that were passed on late in the grace and cut without an answer at its end, and
against connections that are reset with a request unread.
"""

import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from bayglade.clock import now
from bayglade.config import GatewayConfig
from bayglade.exceptions import Stopping
from bayglade.gateway import Gateway
from bayglade.ids import HallName, MemberId
from standins.users import PLAIN, Daemon, UsersSite
from standins.world import wait_for
from tests.gateway_callers import Answer, read_answer, request_bytes

GRACE_SECONDS = 4.0
WORK_SECONDS = 3.0
"""Work of the slow requests: those that begin in the second half of the grace outlast it."""
CLIENTS = 12


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Iterator[UsersSite]:
    monkeypatch.setattr("standins.users.replica.SLOW_SECONDS", WORK_SECONDS)
    with UsersSite(halls=1, stages=2, plain=3) as made:
        yield made


class KeptCaller:
    """A caller that sends requests on a kept connection until the daemon closes it."""

    def __init__(self, daemon: Daemon, name: str, path: str, **headers: str) -> None:
        self.name, self.path, self.headers = name, path, headers
        host, _, port = daemon.callers.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=10)
        self.answers: list[Answer] = []
        self.cut: list[str] = []
        """Requests that were sent whole, and got no answer before the end of the connection."""

        self.resets = 0
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        number = 0
        while True:
            number += 1
            request = f"{self.name}-{number}"
            try:
                self.sock.sendall(request_bytes(self.path, request, "POST", b"body", **self.headers))
                data = self.sock.recv(65536)
            except OSError:
                self.resets += 1
                data = b""
            if not data:
                self.cut.append(request)
                return
            answer = read_answer(request, data)
            self.answers.append(answer)
            if answer.headers.get("connection") == "close":
                return


def stop_under_callers(site: UsersSite, path: str, **headers: str) -> list[KeptCaller]:
    daemon = site.start(grace_seconds=GRACE_SECONDS, key_trust_ms=60_000)
    callers = [KeptCaller(daemon, f"{path[1:5]}-{number}", path, **headers) for number in range(CLIENTS)]
    time.sleep(0.3)
    daemon.signal(signal.SIGTERM)
    for caller in callers:
        caller.thread.join(15)
    assert daemon.popen.wait(10) == 0
    return callers


@pytest.mark.parametrize("deadline", ["", "30000"], ids=["none", "longer than the grace"])
@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_slow_requests_get_true_answers_when_the_grace_ends(
    site: UsersSite, path: str, deadline: str
) -> None:
    site.configure(timeoutMs=20_000)
    for server in site.of(PLAIN):
        server.faults.set("slow")
    callers = stop_under_callers(site, path, X_Deadline_Ms=deadline)
    for caller in callers:
        ran_unanswered = [request for request in caller.cut if site.runs(request)]
        assert ran_unanswered == []
        assert caller.resets == 0
        for answer in caller.answers:
            assert answer.status in (200, 503, 504)
            assert answer.status != 503 or site.runs(answer.request) == 0


def test_a_daemon_that_exits_resets_no_connection(site: UsersSite) -> None:
    callers = stop_under_callers(site, "/once/x")
    assert [caller.resets for caller in callers] == [0] * CLIENTS
    assert all(not site.runs(request) for caller in callers for request in caller.cut)


def test_idle_connections_are_closed_in_order(site: UsersSite) -> None:
    daemon = site.start(grace_seconds=GRACE_SECONDS)
    host, _, port = daemon.callers.rpartition(":")
    idle = [socket.create_connection((host, int(port)), timeout=10) for _ in range(4)]
    time.sleep(0.2)
    daemon.signal(signal.SIGTERM)
    assert [sock.recv(1) for sock in idle] == [b""] * 4
    assert daemon.popen.wait(10) == 0


def test_a_request_that_arrives_slowly_through_the_grace_is_refused(site: UsersSite) -> None:
    site.client_limits = {"headerTimeoutMs": 60_000.0}
    site.configure()
    daemon = site.start(grace_seconds=GRACE_SECONDS)
    host, _, port = daemon.callers.rpartition(":")
    data = request_bytes("/once/x", "slow-body", "POST", b"b" * 100)
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(data[:-50])
        daemon.signal(signal.SIGTERM)
        wait_for("the daemon is stopping", lambda: daemon.lines("stopping"))
        for number in range(50, 0, -1):
            time.sleep(0.1)
            try:
                sock.sendall(data[-number:][:1])
            except OSError:
                break
            if daemon.popen.poll() is not None:
                break
        answer = read_answer("slow-body", sock.recv(65536))
    assert answer.status == 503
    assert site.runs("slow-body") == 0


def test_a_daemon_that_closes_its_connections_refuses_short_requests_too() -> None:
    config = GatewayConfig(
        member=MemberId("d0"),
        hall=HallName("hall-0"),
        callers="127.0.0.1:1",
        ready="127.0.0.1:2",
        metrics="127.0.0.1:3",
        store="127.0.0.1:4",
    )
    gateway = Gateway(config, Path("/nonexistent"))
    short: Any = SimpleNamespace(deadline=0.0)
    gateway.draining, gateway.draining_since = True, now()
    gateway._check_draining(short)
    gateway.closing = True
    with pytest.raises(Stopping):
        gateway._check_draining(short)
