"""A request that the caller is told was not run has in fact not run.

A table of faults lists what the caller is told, and the test compares it with what the server saw. The
servers are threads that break off at a set point of the exchange.
"""

import socket
import struct
import threading
from collections.abc import Callable, Iterator

import pytest

from standins.world import HOST, World, backend, free_port, usual_tree
from tests import callers

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
BODY = {"level": 3}

Behaviour = Callable[[socket.socket], bool]
"""Serves one connection; returns whether the request counts as run."""


class Fake:
    """A server on a fixed address with a configurable behaviour."""

    def __init__(self) -> None:
        self.address = f"{HOST}:{free_port()}"
        self.behaviour: Behaviour = answer_well
        self.runs = 0
        self.sock = socket.create_server((HOST, int(self.address.rpartition(":")[2])))
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        while True:
            connection, _ = self.sock.accept()
            with connection:
                self.runs += bool(self.behaviour(connection))


def read_head(sock: socket.socket) -> bytes:
    content = b""
    while b"\r\n\r\n" not in content and (chunk := sock.recv(65536)):
        content += chunk
    return content


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def answer_well(sock: socket.socket) -> bool:
    read_head(sock)
    sock.sendall(ANSWER)
    return True


def reset_at_once(sock: socket.socket) -> bool:
    reset(sock)
    return False


def reset_after_reading(sock: socket.socket) -> bool:
    read_head(sock)
    reset(sock)
    return True


def close_after_reading(sock: socket.socket) -> bool:
    read_head(sock)
    return True


def half_an_answer(sock: socket.socket) -> bool:
    read_head(sock)
    sock.sendall(ANSWER[:-1])
    return True


def nonsense(sock: socket.socket) -> bool:
    read_head(sock)
    sock.sendall(b"nonsense\r\n\r\n")
    return True


def silence(sock: socket.socket) -> bool:
    read_head(sock)
    sock.settimeout(10)
    sock.recv(1)
    return True


def answer_500(sock: socket.socket) -> bool:
    read_head(sock)
    sock.sendall(ANSWER.replace(b"200 OK", b"500 Bad"))
    return True


def answer_302(sock: socket.socket) -> bool:
    read_head(sock)
    sock.sendall(ANSWER.replace(b"200 OK", b"302 Found\r\nLocation: /run/again"))
    return True


TABLE = [
    (answer_well, 200, None),
    (answer_500, 500, None),
    (answer_302, 302, None),
    # The kernel decides whether the reset arrives before the first byte.
    (reset_at_once, 502, "not_run or unknown"),
    (reset_after_reading, 502, "unknown"),
    (close_after_reading, 502, "unknown"),
    (half_an_answer, 502, "unknown"),
    (nonsense, 502, "unknown"),
    (silence, 502, "unknown"),
]


@pytest.fixture(scope="module")
def fake() -> Fake:
    return Fake()


@pytest.fixture(scope="module")
def small(fake: Fake) -> Iterator[World]:
    with World() as world:
        world.start_platform()
        engine = world.start_engine("e1", 0, 8, step_ms=1)
        nobody = f"{HOST}:{free_port()}"
        tree = usual_tree(
            {"e1": backend(engine, 0, 8)},
            {
                "once": {"servers": {"f": fake.address}, "repeatable": False, "timeout_seconds": 0.5},
                "often": {"servers": {"f": fake.address}, "timeout_seconds": 0.5},
                "nobody": {"servers": {"n": nobody}, "repeatable": False},
            },
            8,
        )
        tree["root"]["groups"]["kines"]["groups"]["pikine"]["limits"] = {"in_flight": 0}
        world.wait_up()
        world.cli("settings", "init", str(world.write_settings(tree)), "-p", world.platform)
        world.wait_ready(world.start_daemon("d1"))
        yield world


@pytest.mark.parametrize("service", ["once", "often"])
@pytest.mark.parametrize(("behaviour", "status", "outcome"), TABLE, ids=[r[0].__name__ for r in TABLE])
def test_a_server_fault_is_reported_correctly(small, fake, service, behaviour, status, outcome):
    fake.behaviour, fake.runs = behaviour, 0
    key = f"{service}-{behaviour.__name__}"
    found, body = callers.call(
        small.processes["d1"].address, f"/services/{service}/run", BODY, Idempotency_Key=key
    )
    assert found == status, body
    if outcome is not None:
        assert body["error"]["outcome"] in outcome.split(" or ")
    callers.wait_for("the server counted", lambda: fake.runs or behaviour is reset_at_once)
    assert fake.runs <= 1


def engine_faults(world: World, **faults: object) -> None:
    world.post(world.processes["e1"].address, "/standin/faults", faults)


ENGINE_TABLE = [
    ("refuses", {"refuse": True}, {}, "not_run"),
    ("cuts before the first token", {"cut_after": 0}, {"Bayglade_Deadline": "2"}, "unknown"),
    ("is silent", {"silent": True}, {"Bayglade_Deadline": "1"}, "unknown"),
]


@pytest.mark.parametrize(
    ("name", "faults", "headers", "outcome"), ENGINE_TABLE, ids=[r[0] for r in ENGINE_TABLE]
)
def test_an_engine_fault_is_reported_correctly(small, name, faults, headers, outcome):
    before = len(small.record("e1"))
    engine_faults(small, **faults)
    try:
        status, body = callers.complete(small.processes["d1"].address, **headers)
    finally:
        engine_faults(small)
    assert status >= 500 and body["error"]["outcome"] == outcome, body
    if outcome == "not_run":
        assert len(small.record("e1")) == before


def test_a_short_deadline_of_one_caller_does_not_eject_a_server(small):
    address = small.processes["d1"].address
    # A good answer clears the failures that other cases of this table have caused.
    assert callers.complete(address, 1)[0] == 200
    engine_faults(small, token_delay=0.6)
    status, body = callers.complete(address, 1, Bayglade_Deadline="0.3")
    engine_faults(small)
    assert (status, body["error"]["code"]) == (504, "deadline_passed"), body
    _, states = callers.call(address, "/admin/v1/backends", b"", "operator-key", "GET")
    assert [(state["state"], state["failures"]) for state in states] == [("live", 0)]


REFUSALS = [
    ("nobody listens", "/services/nobody/run", "caller-key", 502),
    ("a limit is used up", "/services/once/run", "pikine-key", 429),
]


@pytest.mark.parametrize(("name", "path", "key", "status"), REFUSALS, ids=[r[0] for r in REFUSALS])
def test_a_rejected_request_was_not_run_and_may_be_sent_again(small, fake, name, path, key, status):
    fake.behaviour, fake.runs = answer_well, 0
    address = small.processes["d1"].address
    for _ in range(2):
        found, body = callers.call(address, path, BODY, key, Idempotency_Key=f"r-{name}")
        assert (found, body["error"]["outcome"]) == (status, "not_run"), body
    assert fake.runs == 0


def test_an_unavailable_table_is_reported_as_not_run(small, fake):
    fake.behaviour, fake.runs = answer_well, 0
    small.post(small.platform, "/standin/faults", {"out": True})
    address = small.processes["d1"].address
    found, body = callers.call(address, "/services/once/run", BODY, Idempotency_Key="out")
    small.post(small.platform, "/standin/faults", {})
    assert (found, body["error"]["outcome"], fake.runs) == (503, "not_run", 0)
    assert body["error"]["retry_after"] > 0
