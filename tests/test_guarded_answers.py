"""Answers without end of peers that are read with urllib3: an error in time, while other tasks run.

Guards against a store, an engine or a service whose bytes are kept without a bound, or are skipped in a
loop that lets no other task run.
"""

import time
from collections.abc import Callable

import eventlet
import psutil
import pytest

from bayglade.config import parse_address
from bayglade.engines import wire
from bayglade.engines.client import Engines
from bayglade.exceptions import BaygladeError
from bayglade.ids import AttemptNumber, BackendId, ModelName, RequestId, Version
from bayglade.platform import Store
from bayglade.platform.store import PAGE_ROWS
from bayglade.services import client as services
from bayglade.services.client import create_services
from bayglade.services.wire import ServiceCall
from bayglade.table import client as table
from bayglade.table.client import Platform
from standins.users.store import MetadataStore
from standins.users.web import Handler, Server

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "status": (b"HTTP/1.1 200 ", b"x"),
    "header": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-More: x\r\n"),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "body": (CHUNKED, b"40\r\n" + b"x" * 64 + b"\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"40;", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: x\r\n"),
    "unframed body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
}
PIECE_BYTES = 64 * 1024
GIVEN_UP_SECONDS = 8.0
MAX_GROWTH_BYTES = 48 * 1024 * 1024
TICK_SECONDS = 0.05


class EndlessPeer:
    """Answers each request without end, as fast as it is read."""

    def __init__(self, begin: bytes, repeated: bytes) -> None:
        self.begin, self.piece = begin, repeated * (PIECE_BYTES // len(repeated))

    def serve(self, handler: Handler, body: bytes) -> None:
        handler.close_connection = True
        handler.wfile.write(self.begin)
        until = time.monotonic() + 4 * GIVEN_UP_SECONDS
        while time.monotonic() < until:
            handler.wfile.write(self.piece)


def stream_from_engine(address: str) -> None:
    message = wire.Generate(
        request=RequestId("r"),
        attempt=AttemptNumber(1),
        model=ModelName("m"),
        version=Version("v"),
        salt="",
        prompt="",
        committed=[],
        max_tokens=1,
        priority=0,
        stages=[wire.Stage(BackendId("i-1"), address, 0, 4)],
    )
    for _ in Engines().stream(message, 1.0):
        pass


def call_service(address: str) -> None:
    call = ServiceCall(method="GET", path="/", headers={}, body=b"")
    create_services().call(BackendId("i-1"), address, call, 1.0, True)


def load_engine(address: str) -> None:
    if Engines().load(address) is None:
        raise BaygladeError("no load")


READERS: dict[str, Callable[[str], object]] = {
    "store": lambda address: Store(parse_address(address)).snapshot("servers"),
    "table": lambda address: Platform(parse_address(address)).read(["k"]),
    "service": call_service,
    "engine's load": load_engine,
    "engine's stream": stream_from_engine,
}


@pytest.fixture(autouse=True)
def small_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("bayglade.platform.store.MAX_ANSWER_BYTES", 8_000_000)
    monkeypatch.setattr("bayglade.platform.store.MAX_ANSWER_SECONDS", 1.0)
    monkeypatch.setattr(table, "MAX_ANSWER_BYTES", 8_000_000)
    monkeypatch.setattr(table, "MAX_ANSWER_SECONDS", 1.0)
    monkeypatch.setattr(services, "MAX_FRAMED_BYTES", 8_000_000)
    monkeypatch.setattr(services, "DEFAULT_MAX_ANSWER_BYTES", 4_000_000)


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("endless", ENDLESS)
def test_an_answer_without_end_is_given_up_while_other_tasks_run(endless: str, reader: str) -> None:
    server = Server(EndlessPeer(*ENDLESS[endless]))
    ticks: list[float] = []

    def tick() -> None:
        while True:
            ticks.append(time.monotonic())
            eventlet.sleep(TICK_SECONDS)

    ticker = eventlet.spawn(tick)
    before, began = psutil.Process().memory_info().rss, time.monotonic()
    try:
        with pytest.raises(BaygladeError):
            READERS[reader](server.address)
        seconds = time.monotonic() - began
        eventlet.sleep(0)
        assert seconds < GIVEN_UP_SECONDS
        assert psutil.Process().memory_info().rss - before < MAX_GROWTH_BYTES
        pauses = [after - at for at, after in zip(ticks, [*ticks[1:], time.monotonic()], strict=True)]
        assert max(pauses) < 1.0
    finally:
        ticker.kill()
        server.end()


@pytest.mark.parametrize("key", ["b&limit=1", "b#c", "b%41", "b c+d", "b\u0438"])
def test_the_next_page_of_a_table_begins_after_any_key(key: str) -> None:
    # A page that ended with such a key was read again and again.
    stored = MetadataStore()
    try:
        keys = [*(f"a{number:03}" for number in range(PAGE_ROWS - 1)), key, "c"]
        for each in keys:
            stored.put("servers", each, 1)
        with eventlet.Timeout(GIVEN_UP_SECONDS):
            assert [*Store(parse_address(stored.server.address)).snapshot("servers").rows] == keys
    finally:
        stored.server.end()
