"""Connections that rest to servers, when one of them was found silent.

Open connections of several servers fell silent for good while streams ran on them. Each stream was
sent anew after 1.2 s, onto a connection that had rested to another server and was silent too, and
after 1.2 s more there was no time left:

    attempt failed  peer i-0-0  "the connection is silent"
    sent            peer i-0-1  after 1
    attempt failed  peer i-0-1  "the connection is silent"
    request failed  "no whole answer: the connection is silent"  cut true
"""

import socket
import threading
from collections.abc import Iterator

import pytest
from eventlet.green import socket as green_socket

from bayglade import upstream
from bayglade.ids import BackendId
from bayglade.upstream import ConnectionPool

SERVER, OTHER = BackendId("i-1"), BackendId("i-2")


@pytest.fixture
def address(monkeypatch: pytest.MonkeyPatch) -> Iterator[str]:
    # The program's own sockets are all green.
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


def test_connections_not_heard_since_one_fell_silent_are_not_used(
    address: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    at = 100.0
    monkeypatch.setattr(upstream, "now", lambda: at)
    links = ConnectionPool()
    old, late = links.acquire(SERVER, address), links.acquire(OTHER, address)
    links.release(SERVER, old, None)
    at = 102.0
    links.release(OTHER, late, None)
    # A third one was heard last at 101 s and is found silent only now.
    at = 103.0
    links.distrust_before(101.0)
    assert not links.has_idle(SERVER)
    assert links.has_idle(OTHER)
    assert links.acquire(OTHER, address) is late
    fresh = links.acquire(SERVER, address)
    assert fresh is not old
    assert links.opened == 3


def test_what_was_once_distrusted_stays_so(address: str, monkeypatch: pytest.MonkeyPatch) -> None:
    at = 100.0
    monkeypatch.setattr(upstream, "now", lambda: at)
    links = ConnectionPool()
    links.release(SERVER, links.acquire(SERVER, address), None)
    links.distrust_before(101.0)
    links.distrust_before(99.0)
    assert not links.has_idle(SERVER)
