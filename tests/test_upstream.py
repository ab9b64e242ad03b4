"""Idle connections are not reused after another connection fell silent.

Open connections to several servers fell silent for good while streams ran on them. Each stream was resent
after 1.2 s on an idle connection to another server, which was silent too. After another 1.2 s no time was
left, and the stream was cut.
"""

import socket
import threading
from collections.abc import Iterator

import pytest
from eventlet.green import socket as green_socket

from bayglade import upstream
from bayglade.ids import BackendId, RequestId
from bayglade.upstream import ConnectionPool

SERVER, OTHER = BackendId("i-1"), BackendId("i-2")


@pytest.fixture
def address(monkeypatch: pytest.MonkeyPatch) -> Iterator[str]:
    # The program uses green sockets only.
    monkeypatch.setattr(upstream, "socket", green_socket)
    listening = socket.create_server(("127.0.0.1", 0))
    taken: list[socket.socket] = []

    def accept() -> None:
        while True:
            try:
                taken.append(listening.accept()[0])
            except OSError:
                return

    threading.Thread(target=accept, daemon=True).start()
    yield f"127.0.0.1:{listening.getsockname()[1]}"
    listening.close()
    for sock in taken:
        sock.close()


def test_connections_idle_since_before_one_fell_silent_are_not_reused(
    address: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    at = 100.0
    monkeypatch.setattr(upstream, "now", lambda: at)
    pool = ConnectionPool()
    old, late = pool.acquire(SERVER, address), pool.acquire(OTHER, address)
    pool.release(SERVER, old, None)
    at = 102.0
    pool.release(OTHER, late, None)
    # A third connection last received data at 101 s, and is found silent only now.
    at = 103.0
    pool.distrust_before(101.0)
    assert not pool.has_idle(SERVER)
    assert pool.has_idle(OTHER)
    assert pool.acquire(OTHER, address) is late
    fresh = pool.acquire(SERVER, address)
    assert fresh is not old
    assert pool.opened == 3


def test_an_earlier_time_does_not_restore_trust(address: str, monkeypatch: pytest.MonkeyPatch) -> None:
    at = 100.0
    monkeypatch.setattr(upstream, "now", lambda: at)
    pool = ConnectionPool()
    pool.release(SERVER, pool.acquire(SERVER, address), None)
    pool.distrust_before(101.0)
    pool.distrust_before(99.0)
    assert not pool.has_idle(SERVER)


def test_a_request_is_not_sent_again_on_the_connection_of_its_last_sending(address: str) -> None:
    # A refusal that came a second time was taken for the answer to the second sending: it ran twice.
    pool, once = ConnectionPool(), RequestId("once")
    first = pool.acquire(SERVER, address, request=once)
    pool.release(SERVER, first, None)
    second = pool.acquire(SERVER, address, request=once)
    assert second is not first
    # Another request may use it: it tells the second answer by its id.
    assert pool.acquire(SERVER, address, request=RequestId("other")) is first
    pool.release(SERVER, first, None)
    assert pool.acquire(SERVER, address, request=once) is first
