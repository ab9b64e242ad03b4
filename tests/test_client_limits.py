"""Bounds on what all clients together make a daemon keep: the account, turns, and how requests are cut."""

import io
import itertools
import socket
from collections.abc import Iterator
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

import eventlet
import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from bayglade import clients, listener
from bayglade.answers import MAX_CONTENT_BYTES, Answers
from bayglade.clients import ClientLimits, ClientRemoved, Clients, ClientState
from bayglade.exceptions import AnswersFull, BackendError, HostFull, Outcome
from bayglade.gateway import REFUSING_STATUSES
from bayglade.http1 import Message
from bayglade.listener import Connection
from bayglade.metrics import Metrics
from bayglade.relay import Attempts
from bayglade.responses import BoundedLines
from bayglade.settings import CallerLimits
from bayglade.sockets import ReadTurns, wait_readable
from standins.users import PLAIN, Daemon, UsersSite, exchange
from standins.world import wait_for
from tests.gateway_callers import read_answer, request_bytes

KB = 1024
_numbers = itertools.count(1)
REQUEST_BYTES = 1000 * KB
ANSWER_BYTES = 800 * KB
CONNECTIONS = 8
LIMITS = CallerLimits(head_bytes=4 * KB, body_bytes=64 * KB)


@pytest.fixture
def removed(monkeypatch: pytest.MonkeyPatch) -> list[Any]:
    tasks: list[Any] = []
    monkeypatch.setattr(clients.eventlet, "kill", lambda task, error: tasks.append(task))
    return tasks


def make_clients(request_bytes: int = REQUEST_BYTES) -> Clients:
    return Clients(
        "callers",
        lambda: ClientLimits(CONNECTIONS, request_bytes, ANSWER_BYTES),
        ReadTurns(),
        Metrics(None),
    )


def receiving(all_clients: Clients, name: str, size: int, seconds: float) -> clients.Client:
    """Add a client that has been sending a request for some seconds."""
    client = all_clients.add(name)
    client.task = name
    client.enter(ClientState.RECEIVING)
    client.since -= seconds
    client.hold_request(size)
    return client


def test_who_has_held_most_for_longest_makes_room(removed: list[Any]) -> None:
    all_clients = make_clients()
    receiving(all_clients, "long but small", 10 * KB, 10.0)
    receiving(all_clients, "large but new", 500 * KB, 0.1)
    receiving(all_clients, "large and long", 400 * KB, 5.0)
    receiving(all_clients, "asking", 200 * KB, 0.0)
    assert removed == ["large and long"]
    assert all_clients.request_bytes == 710 * KB


def test_a_client_that_has_held_most_itself_is_refused(removed: list[Any]) -> None:
    all_clients = make_clients()
    receiving(all_clients, "small", 10 * KB, 1.0)
    greedy = receiving(all_clients, "greedy", 900 * KB, 10.0)
    with pytest.raises(HostFull) as refusal:
        greedy.hold_request(1100 * KB)
    assert removed == []
    assert refusal.value.retry_after
    assert all_clients.request_bytes == 10 * KB


def test_large_requests_leave_room_in_service_for_small_ones() -> None:
    all_clients = make_clients()
    for name in ("a", "b"):
        receiving(all_clients, name, 240 * KB, 1.0).begin_service()
    with pytest.raises(HostFull):
        receiving(all_clients, "large", 240 * KB, 1.0).begin_service()
    receiving(all_clients, "small", 10 * KB, 1.0).begin_service()


def sending(all_clients: Clients, name: str, size: int, seconds: float) -> clients.Client:
    """Add a client that has not read its answer for some seconds."""
    client = receiving(all_clients, name, KB, 0.0)
    client.begin_service()
    client.hold_answer(size)
    client.enter(ClientState.SENDING)
    client.since -= seconds
    return client


def test_who_has_not_read_most_for_longest_makes_room_for_answers(removed: list[Any]) -> None:
    all_clients = make_clients()
    sending(all_clients, "long but small", 10 * KB, 10.0)
    sending(all_clients, "large and long", 500 * KB, 5.0)
    sending(all_clients, "large but new", 200 * KB, 0.1)
    arriving = receiving(all_clients, "arriving", KB, 0.0)
    arriving.begin_service()
    arriving.hold_answer(300 * KB)
    assert removed == ["large and long"]
    assert all_clients.answer_bytes == 510 * KB


def test_an_answer_is_given_up_if_no_memory_waits_for_readers(removed: list[Any]) -> None:
    all_clients = make_clients()
    arriving = [receiving(all_clients, name, KB, 0.0) for name in ("first", "second")]
    for client in arriving:
        client.begin_service()
    arriving[0].hold_answer(700 * KB)
    with pytest.raises(AnswersFull) as failure:
        arriving[1].hold_answer(200 * KB)
    assert removed == []
    assert failure.value.outcome is Outcome.UNKNOWN
    assert failure.value.status not in REFUSING_STATUSES


# Such an error formed a cycle with its traceback, which kept what was received until a garbage collection.
def test_a_failed_attempt_keeps_nothing_of_its_answer() -> None:
    attempts = Attempts(SimpleNamespace(sent_before=False, at_most_once=False))

    def fail(body: bytes) -> None:
        raise BackendError(f"no answer for {len(body)} bytes", step="test")

    try:
        fail(bytes(KB))
    except BackendError as error:
        attempts.note_failure(error)
    assert attempts.failure is not None
    assert attempts.failure.__traceback__ is None


def test_idle_connections_are_closed_first_and_never_one_in_service(removed: list[Any]) -> None:
    all_clients = make_clients()
    for number in range(3):
        receiving(all_clients, f"served {number}", KB, 9.0).begin_service()
    for number in range(4):
        receiving(all_clients, f"receiving {number}", KB, 9.0 - number)
    idle = all_clients.add("idle")
    idle.task = "idle"
    for number in range(5):
        receiving(all_clients, f"new {number}", KB, 0.0).begin_service()
    with pytest.raises(ClientRemoved):
        all_clients.add("one more")
    assert removed == ["idle", *(f"receiving {number}" for number in range(4))]
    assert len(all_clients.members) == CONNECTIONS


def test_nothing_is_accounted_for_clients_that_are_gone(removed: list[Any]) -> None:
    all_clients = make_clients()
    served = receiving(all_clients, "served", 100 * KB, 1.0)
    served.begin_service()
    unfinished = receiving(all_clients, "unfinished", 100 * KB, 1.0)
    for client in (served, unfinished):
        all_clients.discard(client)
    assert (all_clients.request_bytes, all_clients.serving_bytes, all_clients.members) == (0, 0, set())


# A refused request that is not in service was taken off what is, once its response was sent.
def test_only_requests_in_service_are_taken_off_them() -> None:
    all_clients = make_clients()
    receiving(all_clients, "served", 100 * KB, 1.0).begin_service()
    refused = receiving(all_clients, "refused", 50 * KB, 1.0)
    refused.enter(ClientState.SENDING)
    all_clients.discard(refused)
    assert all_clients.serving_bytes == 100 * KB


def test_one_request_of_the_greatest_size_fits_on_a_small_host() -> None:
    largest = 4 * KB * KB
    limits = clients.client_limits(8, 10.0, 0.1, 0.1, largest, largest)
    assert limits.request_bytes * clients.LARGE_SERVING_FRACTION >= largest
    assert limits.answer_bytes >= largest


# A task that is ended while it waits for its turn, as one is whose client has to make room.
def test_turns_go_on_when_a_task_is_ended_in_its_turn() -> None:
    turns, done = ReadTurns(), []

    def read(name: str) -> None:
        with turns.turn():
            done.append(name)

    tasks = [eventlet.spawn(read, name) for name in ("first", "second", "third")]
    eventlet.sleep(0)
    tasks[0].kill()
    tasks[1].kill()
    tasks[2].wait()
    assert done == ["third"]


def test_waiting_for_bytes_ends_at_its_deadline_though_bytes_are_there() -> None:
    listening = eventlet.listen(("127.0.0.1", 0))
    near = eventlet.connect(listening.getsockname())
    far, _ = listening.accept()
    near.sendall(b"x")
    with pytest.raises(TimeoutError):
        wait_readable(far, 0.0)
    for sock in (listening, near, far):
        sock.close()


def in_chunks(body: bytes, sizes: list[int]) -> bytes:
    found, at = b"", 0
    for size in sizes:
        if piece := body[at : at + size]:
            found += b"%x\r\n%b\r\n" % (len(piece), piece)
            at += size
    return (
        found + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body[at:]), body[at:])
        if body[at:]
        else found + b"0\r\n\r\n"
    )


@strategies.composite
def requests(draw: Any) -> tuple[bytes, bytes]:
    """Draw a request as it is sent, and its body; bodies look like ends of heads and of chunks."""
    body = draw(
        strategies.lists(strategies.sampled_from([b"\r\n", b"\r\n\r\n", b"x", b"0\r\n"]), max_size=30)
    )
    joined = b"".join(body)
    framing = draw(strategies.sampled_from(["none", "length", "chunks"]))
    if framing == "none":
        return b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", b""
    if framing == "length":
        return b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (len(joined), joined), joined
    sizes = draw(strategies.lists(strategies.integers(1, 5), max_size=60))
    return b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + in_chunks(joined, sizes), joined


class Scripted:
    """A connection whose reads return given pieces of what its client sends."""

    def __init__(self, data: bytes, cuts: list[int], monkeypatch: pytest.MonkeyPatch) -> None:
        edges = [0, *sorted({cut % len(data) for cut in cuts} - {0}), len(data)] if data else [0]
        self.reads: Iterator[bytes] = iter([data[a:b] for a, b in itertools.pairwise(edges)])
        monkeypatch.setattr(listener, "receive", lambda *_: next(self.reads, b""))
        monkeypatch.setattr(listener, "wait_readable", lambda *_: None)
        self.clients = make_clients()
        sock: Any = None
        self.connection = Connection(sock, self.clients.add("client"), LIMITS, self.clients.turns)

    def next_request(self) -> Message | None:
        message = self.connection.next_request()
        if message is not None:
            kept = len(message.buffer) + len(self.connection.ahead)
            assert kept <= self.clients.request_bytes
            self.connection.client.let_go()
        # Requests that were sent ahead are kept as they came.
        assert len(self.connection.parser.messages) == 0
        return message


@hypothesis.given(
    strategies.lists(requests(), max_size=4), strategies.lists(strategies.integers(0, 10_000))
)
def test_requests_are_read_alike_however_they_are_cut(
    sent: list[tuple[bytes, bytes]], cuts: list[int]
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        scripted = Scripted(b"".join(data for data, _ in sent), cuts, patch)
        for _, body in sent:
            message = scripted.next_request()
            assert message is not None
            assert message.take_body() == body
        assert scripted.next_request() is None


@hypothesis.given(strategies.integers(1, 3), strategies.lists(strategies.integers(0, 200_000), max_size=20))
def test_what_is_kept_of_tiny_chunks_is_accounted(size: int, cuts: list[int]) -> None:
    data = (
        b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"%x\r\n%b\r\n" % (size, b"x" * size) * 2000
    )
    with pytest.MonkeyPatch.context() as patch:
        scripted = Scripted(data, cuts, patch)
        assert scripted.connection.next_request() is None
        message = scripted.connection.parser.messages[0]
        assert len(message.pieces) == 0
        assert message.buffer.__alloc__() <= scripted.clients.request_bytes <= 3 * size * 2000 + 4 * KB


# Bodies that no daemon sent took the place of forwarded ones until they were complete, or too late.
@pytest.mark.parametrize("field", ["X-Other: x", "Bayglade-Forwarded: x", "Bayglade-Settings-Request: x"])
def test_no_body_is_read_at_the_port_of_daemons_that_no_daemon_sends(field: str) -> None:
    with UsersSite(halls=1, stages=1) as site:
        daemon = site.start()
        head = f"POST /safe/x HTTP/1.1\r\nHost: x\r\n{field}\r\nContent-Length: 1000\r\n\r\n"
        answer = exchange(f"127.0.0.1:{daemon.ports[1]}", head.encode())
        assert read_answer("", answer).status == 500


# The line of a chunk's size was read to its end, however long it was.
def test_a_line_without_end_is_given_up() -> None:
    lines = BoundedLines(io.BytesIO(b"5\r\nhello\r\n" + b"0" * 100_000))
    assert lines.readline() == b"5\r\n"
    assert lines.read(7) == b"hello\r\n"
    with pytest.raises(OSError, match="exceeds"):
        lines.readline()


def test_an_operator_learns_why_a_request_found_no_memory() -> None:
    with UsersSite(halls=1, stages=1, plain=2) as site:
        # Memory for four requests of the greatest size, and three quarters of it for those in service.
        daemon = site.start(memory_mb=0.001)
        for server in site.of(PLAIN):
            server.faults.set("mute")
        calls = [ClientCall(daemon, bytes(9_000)) for _ in range(6)]
        refused = wait_for("one is refused", lambda: [call for call in calls if call.refused()])[0]
        assert b"host_full" in refused.answer
        told = exchange(
            daemon.metrics, f"GET /refusals/{refused.request} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        )
        assert msgspec.json.decode(told.partition(b"\r\n\r\n")[2])["code"] == "host_full"
        for call in calls:
            call.sock.close()
        assert b"clients_callers_refused_total" in exchange(
            daemon.metrics, b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
        )


class ClientCall:
    """A request with a body, whose answer is read as far as it is there."""

    def __init__(self, daemon: Daemon, body: bytes) -> None:
        self.request = f"call-{next(_numbers)}"
        host, _, port = daemon.callers.partition(":")
        self.sock = socket.create_connection((host, int(port)))
        self.sock.sendall(request_bytes("/once/x", self.request, "POST", body))
        self.sock.setblocking(False)
        self.answer = b""

    def refused(self) -> bool:
        with suppress(BlockingIOError):
            self.answer += self.sock.recv(65536)
        return self.answer.startswith(b"HTTP/1.1 503")


# Only bodies were counted of what is remembered of answered requests; a target may be as long as a head.
def test_what_is_remembered_of_answered_requests_is_bounded_with_their_targets() -> None:
    remembered = Answers()
    for number in range(400):
        target = b"/%d" % number + b"x" * 15_000
        head = SimpleNamespace(host="site", shared_parts=())
        call: Any = SimpleNamespace(group=None, method="GET", head=head, target=target, body=b"")
        remembered.note(call, 1.0)
    assert sum(len(content.target) for content in remembered.answered) <= MAX_CONTENT_BYTES
