"""Servers that send bytes without end: in a head, a body, the framing of a body, or an event."""

import threading
import time
from collections.abc import Iterator

import psutil
import pytest

from bayglade.exceptions import AnswerTooLarge
from bayglade.ids import BackendId
from bayglade.services import client
from bayglade.services.client import create_services
from bayglade.services.wire import ServiceCall
from bayglade.sse import EventSplitter
from standins.users import MODEL, PLAIN, Daemon, Replica, UsersSite
from standins.users.replica import ENDLESS
from standins.users.web import Handler, Server
from standins.world import wait_for
from tests.gateway_callers import ask
from tests.test_partitioned_daemons import Stream, is_served

CALLS = 12
"""Calls at once, some of which go to the server that answers without end."""
HOST_MB = 128
MAX_GROWTH_BYTES = 24 * 1024 * 1024
"""More than the limits on answers of all calls that the faulty server is sent at once."""


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=6, plain=3) as made:
        yield made


def started(site: UsersSite) -> Daemon:
    daemon = site.start(key_trust_ms=60_000, retry_floor=1000.0)
    site.wait_placed()
    for path in ("/stream/x", "/safe/x"):
        wait_for("it serves", lambda path=path: is_served(ask(daemon.callers, path)))
    return daemon


def faulty_server(site: UsersSite, path: str) -> Replica:
    if path == "/safe/x":
        return site.of(PLAIN)[0]
    return next(server for server in site.of(MODEL) if server.held[0] == 0)


@pytest.mark.parametrize("slowly", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("fault", ENDLESS)
@pytest.mark.parametrize("path", ["/stream/x", "/safe/x"])
def test_calls_are_served_beside_a_server_that_answers_without_end(
    site: UsersSite, path: str, fault: str, slowly: bool
) -> None:
    daemon = started(site)
    process = psutil.Process(daemon.popen.pid)
    before = process.memory_info().rss
    faulty = faulty_server(site, path)
    faulty.endless_slowly = slowly
    faulty.faults.set(fault)
    calls = [Stream(daemon, path) for _ in range(CALLS)]
    other = ask(daemon.callers, "/safe/x" if path == "/stream/x" else "/stream/x")
    answers = [call.result() for call in calls]
    growth = process.memory_info().rss - before
    faulty.faults.clear()
    assert is_served(other)
    assert [answer for answer in answers if not is_served(answer)] == []
    assert faulty.endless_sent > 0
    assert growth < MAX_GROWTH_BYTES
    wait_for("its connections are closed", lambda: faulty.endless_open == 0)


@pytest.mark.parametrize("fault", ["endless_header", "endless_interim", "endless_body", "endless_trailers"])
def test_a_pool_of_servers_that_all_answer_without_end_fits_into_memory(
    site: UsersSite, fault: str
) -> None:
    daemon = site.start(key_trust_ms=60_000, memory_mb=HOST_MB)
    site.wait_placed()
    process = psutil.Process(daemon.popen.pid)
    for server in site.replicas:
        server.reports_without_end = fault
        server.faults.set(fault)
    calls = [Stream(daemon, path) for _ in range(4 * CALLS) for path in ("/stream/x", "/safe/x")]
    readers = [threading.Thread(target=call.result, daemon=True) for call in calls]
    for reader in readers:
        reader.start()
    peak = 0
    while any(reader.is_alive() for reader in readers):
        peak = max(peak, process.memory_info().rss)
        time.sleep(0.02)
    assert peak < HOST_MB * 1024 * 1024
    for server in site.replicas:
        server.reports_without_end = ""
        server.faults.clear()
    for path in ("/stream/x", "/safe/x"):
        wait_for("it serves again", lambda path=path: is_served(ask(daemon.callers, path)))


def test_a_plain_service_of_the_own_interface_may_not_answer_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class Endless:
        def serve(self, handler: Handler, body: bytes) -> None:
            handler.send_response_only(200)
            handler.send_header("Transfer-Encoding", "chunked")
            handler.end_headers()
            while True:
                handler.wfile.write(b"400\r\n" + b"x" * 1024 + b"\r\n")

    monkeypatch.setattr(client, "DEFAULT_MAX_ANSWER_BYTES", 100_000)
    server = Server(Endless())
    call = ServiceCall(method="GET", path="/", headers={}, body=b"")
    with pytest.raises(AnswerTooLarge):
        create_services().call(BackendId("i-1"), server.address, call, 2.0, True)
    server.end()


@pytest.mark.parametrize("piece", [b"x" * 1000, b"data: x\n" * 100])
def test_an_event_without_end_is_given_up(piece: bytes) -> None:
    splitter = EventSplitter(max_event_bytes=10_000)
    with pytest.raises(AnswerTooLarge):
        for _ in range(100):
            splitter.feed(piece)


def test_a_long_sound_event_is_delivered_whole() -> None:
    splitter, event = EventSplitter(max_event_bytes=10_000), b"data: " + b"x" * 9_000 + b"\n\n"
    assert [*splitter.feed(event[:4000]), *splitter.feed(event[4000:])] == [event]
