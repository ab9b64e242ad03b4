"""Open connections that go silent for good without a reset: each kind is detected by a timeout."""

import random
import socket
import threading
from contextlib import suppress

import pytest

from bayglade.config import Address
from bayglade.entries import membership, streams
from bayglade.entries.membership import ONE_WAY_SILENCE_SECONDS, Member, Membership
from bayglade.entries.wire import FrameAuthenticator, Heartbeat
from bayglade.exceptions import PlatformUnavailable
from bayglade.ids import MemberId, Revision
from bayglade.metrics import Metrics
from bayglade.platform import store
from bayglade.revisions import EMPTY
from bayglade.usage import Usage

IDLE_CONNECTIONS = 3
PAGE = b'{"rows":[],"ver":7,"more":false}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b" % (
    len(PAGE),
    PAGE,
)


class SilentStore:
    """A store whose connections answer one call each and accept further ones without answering."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self.sock.getsockname())
        self.all_open = threading.Barrier(IDLE_CONNECTIONS)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            connection.recv(4096)
            self.all_open.wait(10)
            connection.sendall(ANSWER)
            while connection.recv(4096):
                pass


def concurrent_calls(client: store.Store, count: int) -> list[int]:
    """Make calls concurrently; return the versions of those that were answered."""
    versions: list[int] = []

    def call() -> None:
        with suppress(PlatformUnavailable):
            versions.append(client.snapshot("t").version)

    threads = [threading.Thread(target=call) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return versions


def test_one_silent_connection_to_the_store_closes_all_idle_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store, "READ_TIMEOUT", 0.3)
    server = SilentStore()
    client = store.Store(server.address)
    # Several connections are idle at once, as with the feeds of a daemon.
    assert concurrent_calls(client, IDLE_CONNECTIONS) == [7] * IDLE_CONNECTIONS
    with pytest.raises(PlatformUnavailable):
        client.snapshot("t")
    assert concurrent_calls(client, IDLE_CONNECTIONS) == [7] * IDLE_CONNECTIONS
    server.sock.close()


class Settings:
    """Settings without any revision in force."""

    current = EMPTY

    def offer(self, *_: object) -> None:
        raise AssertionError("no settings are offered in this test")


def member_with_stream(monkeypatch: pytest.MonkeyPatch, stream_age: float) -> tuple[Membership, Member]:
    at = 100.0
    monkeypatch.setattr(membership, "now", lambda: at)
    me = Membership(
        MemberId("a"),
        b"s",
        Settings(),
        Usage(),
        Metrics(None),
        list,
        list,
        lambda m, b: None,
        random.Random(1),
    )
    other = Member(MemberId("b"), Address("127.0.0.1", 1))
    near, _ = socket.socketpair()
    other.stream = streams.OutStream(near, FrameAuthenticator(b"k" * 32))
    other.stream_since = at - stream_age
    me.members[other.id] = other
    return me, other


def heartbeat(heard_age: float) -> Heartbeat:
    return Heartbeat(
        revision=Revision(0), draining=False, usage=[], leaving=[], held=[], heard_age=heard_age
    )


@pytest.mark.parametrize(
    ("heard_age", "stream_age", "closed"),
    [
        (0.0, 60.0, False),
        (ONE_WAY_SILENCE_SECONDS - 0.5, 60.0, False),
        (ONE_WAY_SILENCE_SECONDS + 0.5, 60.0, True),
        (ONE_WAY_SILENCE_SECONDS + 0.5, 1.0, False),
    ],
    ids=["never heard", "heard lately", "not heard", "a new stream"],
)
def test_a_stream_on_which_the_peer_receives_nothing_is_closed(
    monkeypatch: pytest.MonkeyPatch, heard_age: float, stream_age: float, closed: bool
) -> None:
    me, other = member_with_stream(monkeypatch, stream_age)
    me._handle(other.id, heartbeat(heard_age))
    assert other.stream is not None
    assert other.stream.peer_receives_nothing is closed
    if closed:
        with pytest.raises(OSError, match="receives nothing"):
            other.stream.send(heartbeat(0.0))


def test_a_heartbeat_reports_how_long_ago_its_receiver_was_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    me, other = member_with_stream(monkeypatch, 60.0)
    me.last_heard[other.id] = 97.5
    assert me._heartbeat(other.id).heard_age == pytest.approx(2.5)
    assert me._heartbeat(MemberId("c")).heard_age == 0.0


def test_the_kernel_closes_a_stream_without_acknowledgements() -> None:
    secret = b"a secret"
    listening = socket.create_server(("127.0.0.1", 0))

    def accept() -> None:
        connection, _ = listening.accept()
        list(streams.accept(connection, secret).messages(5.0))

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    stream = streams.dial(Address(*listening.getsockname()), MemberId("a"), secret)
    timeout = stream.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    stream.close()
    thread.join(5)
    assert timeout == streams.USER_TIMEOUT_MS
