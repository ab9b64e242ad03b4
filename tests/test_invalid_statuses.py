"""Servers that answer with a status that is none: callers never get it, and don't wait for another answer.

Guards against such statuses being passed on (600 and above), or taken for interim responses (below 100),
after which a call waited until its deadline.
"""

import time
from collections.abc import Iterator

import pytest

from bayglade.exceptions import BackendError, InvalidMessage
from bayglade.http1 import MessageParser
from bayglade.ids import BackendId
from bayglade.platform.calls import _keep_alive_seconds
from bayglade.services.client import create_services
from bayglade.services.wire import ServiceCall
from bayglade.sse import event_id
from standins.users import PLAIN, Daemon, UsersSite
from standins.users.web import Handler, Server
from standins.world import wait_for
from tests.gateway_callers import Answer, ask
from tests.test_endless_answers import faulty_server
from tests.test_partitioned_daemons import is_served

INVALID_STATUSES = ("000", "007", "099", "101", "600", "999")
AT_ONCE_SECONDS = 1.0
"""Less than the deadline of the calls, 4 s, and than the time-out of the plain route, 1.5 s."""


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=6) as made:
        yield made


def started(site: UsersSite) -> Daemon:
    daemon = site.start(key_trust_ms=60_000, retry_floor=1000.0)
    site.wait_placed()
    for path in ("/stream/x", "/safe/x"):
        wait_for("it serves", lambda path=path: is_served(ask(daemon.callers, path)))
    return daemon


def timed(daemon: Daemon, path: str) -> tuple[Answer, float]:
    began = time.monotonic()
    return ask(daemon.callers, path), time.monotonic() - began


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_callers_get_no_invalid_status_and_do_not_wait(site: UsersSite, status: str, path: str) -> None:
    daemon = started(site)
    for server in site.of(PLAIN):
        server.invalid_status = status
    answers = [timed(daemon, path) for _ in range(6)]
    assert {answer.status for answer, _ in answers} <= {502, 503, 504}
    assert max(seconds for _, seconds in answers) < AT_ONCE_SECONDS
    for answer, _ in answers:
        # It has run, so nothing may promise that it has not.
        assert answer.status == 502 or site.runs(answer.request) == 0


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_calls_are_served_beside_a_server_with_an_invalid_status(
    site: UsersSite, status: str, path: str
) -> None:
    daemon = started(site)
    invalid = faulty_server(site, path)
    invalid.invalid_status = status
    answers = [timed(daemon, path) for _ in range(8)]
    assert all(is_served(answer) for answer, _ in answers)
    assert max(seconds for _, seconds in answers) < AT_ONCE_SECONDS


@pytest.mark.parametrize("status", [0, 1, 50, 99, 101, 600, 700, 999])
def test_an_invalid_status_is_no_message(status: int) -> None:
    with pytest.raises(InvalidMessage):
        MessageParser(True).feed(b"HTTP/1.1 %03d x\r\nContent-Length: 0\r\n\r\n" % status)


@pytest.mark.parametrize("status", ["000", "101", "600", "999"])
def test_the_own_interface_passes_no_invalid_status_on(status: str) -> None:
    class Invalid:
        def serve(self, handler: Handler, body: bytes) -> None:
            handler.wfile.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n".encode())

    server = Server(Invalid())
    try:
        call = ServiceCall(method="GET", path="/x", headers={}, body=b"")
        with pytest.raises(BackendError):
            create_services().call(BackendId("s"), server.address, call, 1.0, fresh=True)
    finally:
        server.end()


def test_numbers_in_answers_that_cannot_be_converted_are_ignored() -> None:
    assert event_id(b"id: " + b"9" * 5000 + b"\ndata: x\n\n") is None
    assert event_id(b"id: 17\ndata: x\n\n") == 17
    assert _keep_alive_seconds("timeout=\u00b2") is None
    assert _keep_alive_seconds("timeout=5") == 5.0
