"""Calls through a gateway: bad input, faults of servers, and what the caller is told."""

import socket
from collections.abc import Iterator
from typing import Any

import pytest

from standins.users import EVENTS, KEY, MODEL, PLAIN, Daemon, UsersSite, exchange
from standins.world import wait_for
from tests.gateway_callers import Answer, ask, read_answer, request_bytes

HEAD = f"Host: site.example\r\nX-Request-Id: bad\r\nX-Key: {KEY}\r\n"


@pytest.fixture(scope="module")
def running() -> Iterator[tuple[UsersSite, Daemon]]:
    with UsersSite(halls=2) as site:
        # The cases share one daemon: each would take from the next one's budget for repeats.
        daemon = site.start(retry_floor=1000)
        site.wait_placed()
        wait_for("the daemon knows all layers", lambda: ask(daemon.callers, "/stream/x").status == 200)
        yield site, daemon


@pytest.fixture
def site(running: tuple[UsersSite, Daemon]) -> Iterator[UsersSite]:
    yield running[0]
    for replica in running[0].replicas:
        replica.faults.clear()


@pytest.fixture
def daemon(running: tuple[UsersSite, Daemon]) -> Daemon:
    return running[1]


BAD = {
    "no http": (b"hello\r\n\r\n", 400),
    "head too large": (f"GET /once/x HTTP/1.1\r\n{HEAD}X-Long: {'x' * 5000}\r\n\r\n".encode(), 431),
    "head without end": (f"GET /once/x HTTP/1.1\r\n{HEAD}".encode(), 408),
    "two lengths": (
        f"POST /once/x HTTP/1.1\r\n{HEAD}Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde".encode(),
        400,
    ),
    "both framings": (
        f"POST /once/x HTTP/1.1\r\n{HEAD}Content-Length: 3\r\n".encode()
        + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "odd framing": (
        f"POST /once/x HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n".encode(),
        400,
    ),
    "negative length": (f"POST /once/x HTTP/1.1\r\n{HEAD}Content-Length: -1\r\n\r\n".encode(), 400),
    "bad chunk": (
        f"POST /once/x HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n".encode(),
        400,
    ),
    "body too large": (f"POST /once/x HTTP/1.1\r\n{HEAD}Content-Length: 10001\r\n\r\n".encode(), 413),
    "chunked body too large": (
        f"POST /once/x HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n".encode()
        + b"1000\r\n"
        + b"x" * 4096
        + b"\r\n1000\r\n"
        + b"x" * 4096
        + b"\r\n1000\r\n"
        + b"x" * 4096
        + b"\r\n0\r\n\r\n",
        413,
    ),
    "short body": (f"POST /once/x HTTP/1.1\r\n{HEAD}Content-Length: 9\r\n\r\nabc".encode(), 408),
    "no id": (f"GET /once/x HTTP/1.1\r\nHost: site.example\r\nX-Key: {KEY}\r\n\r\n".encode(), 400),
    "odd deadline": (f"GET /once/x HTTP/1.1\r\n{HEAD}X-Deadline-Ms: soon\r\n\r\n".encode(), 400),
    "unknown host": (
        f"GET /once/x HTTP/1.1\r\nHost: other\r\nX-Request-Id: bad\r\nX-Key: {KEY}\r\n\r\n".encode(),
        404,
    ),
    "unknown path": (f"GET /none/x HTTP/1.1\r\n{HEAD}\r\n".encode(), 404),
    "key missing": (b"GET /once/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: bad\r\n\r\n", 401),
    "key unknown": (
        b"GET /once/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: bad\r\nX-Key: no\r\n\r\n",
        401,
    ),
}


@pytest.mark.parametrize("name", BAD)
def test_bad_input_gets_a_clear_answer_and_reaches_no_server(
    site: UsersSite, daemon: Daemon, name: str
) -> None:
    data, status = BAD[name]
    answer = read_answer("bad", exchange(daemon.callers, data))
    assert answer.status == status
    assert answer.whole
    assert site.runs("bad") == 0
    assert ask(daemon.callers, "/once/x").status == 200


ONCE = {
    # fault of the server: status for the caller, runs
    "": (200, 1),
    "unframed": (200, 1),
    "stray": (200, 1),
    "extra": (200, 1),
    "error": (500, 1),
    "cut": (502, 1),
    "reset": (502, 1),
    "unframed_reset": (502, 1),
    "garbage": (502, 1),
    "unsealed": (502, 1),
    "mute": (504, 1),
    "refuse": (503, 0),
    "elsewhere": (503, 0),
}


@pytest.mark.parametrize("fault", ONCE)
def test_a_call_that_may_not_be_repeated_runs_once_at_most(
    site: UsersSite, daemon: Daemon, fault: str
) -> None:
    status, runs = ONCE[fault]
    for replica in site.of(PLAIN):
        replica.faults.set(fault)
    answer = ask(daemon.callers, "/once/x", "POST", b"body", X_Deadline_Ms="1000")
    assert (answer.status, site.runs(answer.request)) == (status, runs)
    assert answer.whole
    if status == 200:
        assert answer.body == f"answer to {answer.request}".encode()
    assert ("retry-after" in answer.headers) == (status == 503)
    recover(site, daemon)


@pytest.mark.parametrize("fault", [f for f in ONCE if f != "elsewhere" and ONCE[f][0] != 200])
def test_a_repeatable_call_is_tried_at_another_server(site: UsersSite, daemon: Daemon, fault: str) -> None:
    first, second = site.of(PLAIN)
    # Whichever is taken first fails, the other one serves.
    for replica in (first, second):
        replica.faults.set(fault, 1)
    answers = [ask(daemon.callers, "/safe/x") for _ in range(3)]
    assert {answer.status for answer in answers[2:]} == {200}
    assert all(site.runs(answer.request) <= 2 for answer in answers)
    recover(site, daemon)


def test_a_refusal_after_a_sending_that_may_have_run_promises_nothing(
    site: UsersSite, daemon: Daemon
) -> None:
    def refused_last() -> Answer | None:
        # Which server is tried first is drawn; servers listed anew have no failures to their name.
        recover(site, daemon)
        first, second = site.of(PLAIN)
        first.faults.set("cut")
        second.faults.set("refuse")
        answer = ask(daemon.callers, "/safe/x")
        failed = [line for line in daemon.lines("attempt failed") if line["request"] == answer.request]
        return answer if [line["peer"] for line in failed] == [first.id, second.id] else None

    refused = wait_for("it is cut, then refused", refused_last)
    assert refused.status == 502
    assert b'"outcome":"unknown"' in refused.body
    recover(site, daemon)


def test_a_server_whose_address_another_one_has_gets_nothing_more(site: UsersSite, daemon: Daemon) -> None:
    first, _ = site.of(PLAIN)
    first.faults.set("elsewhere")

    def refused() -> list[dict[str, Any]]:
        # The case before may have left it suspect for some seconds.
        ask(daemon.callers, "/safe/x")
        return [line for line in daemon.lines("server leaving") if line["peer"] == first.id]

    wait_for("it was tried", refused)
    for _ in range(6):
        ask(daemon.callers, "/safe/x")
    assert len(refused()) == 1
    assert ask(daemon.callers, "/once/x").status == 200
    recover(site, daemon)


def recover(site: UsersSite, daemon: Daemon) -> None:
    """Wait until all servers are used again, so that the next case starts alike."""
    for replica in site.replicas:
        replica.faults.clear()
    # A server whose address another one has is gone for good: list it anew under a new id.
    for replica in site.of(PLAIN):
        site.store.drop("servers", replica.id)
        replica.id += "n"
        replica.register()
    known = {replica.id for replica in site.of(PLAIN)}
    wait_for(
        "the servers are listed anew",
        lambda: known <= {line["peer"] for line in daemon.lines("server listed")},
    )


def test_a_request_goes_on_unchanged_but_for_what_the_router_sets(site: UsersSite, daemon: Daemon) -> None:
    answer = ask(
        daemon.callers,
        "/once/a/b?c=%2F",
        "POST",
        b"body",
        X_Tenant="other",
        X_Own="kept",
        TE="x",
        Connection="TE",
    )
    assert answer.status == 200
    seen = next(h for r in site.of(PLAIN) for h in r.seen if h["x-request-id"] == answer.request)
    assert seen["x-own"] == "kept"
    assert seen["x-tenant"] == "clinic"
    assert "x-key" not in seen
    assert "te" not in seen
    assert 0 < int(seen["x-deadline-ms"]) <= 1500


def test_a_public_endpoint_needs_no_key(daemon: Daemon) -> None:
    assert ask(daemon.callers, "/open/x", X_Key="").status == 200


def test_a_kept_connection_serves_request_after_request(site: UsersSite, daemon: Daemon) -> None:
    data = b"".join(request_bytes("/once/x", f"kept-{n}", "POST", b"body") for n in range(3))
    host, _, port = daemon.callers.rpartition(":")
    answer = b""
    # The caller stays until all are answered: what it leaves behind is rightly not run.
    with socket.create_connection((host, int(port)), timeout=5) as kept:
        kept.sendall(data)
        while b"answer to kept-2" not in answer:
            piece = kept.recv(65536)
            assert piece, answer
            answer += piece
    assert [answer.index(f"answer to kept-{n}".encode()) for n in range(3)] == sorted(
        answer.index(f"answer to kept-{n}".encode()) for n in range(3)
    )
    assert [site.runs(f"kept-{n}") for n in range(3)] == [1, 1, 1]


def test_a_stream_passes_event_by_event_over_all_layers(site: UsersSite, daemon: Daemon) -> None:
    answer = ask(daemon.callers, "/stream/x")
    assert answer.whole
    assert answer.events == list(range(1, EVENTS + 1))
    assert site.wrong_paths == []


def test_a_caller_goes_on_after_its_last_event(daemon: Daemon) -> None:
    answer = ask(daemon.callers, "/stream/x", Last_Event_Id="7")
    assert answer.events == list(range(8, EVENTS + 1))


@pytest.mark.parametrize("fault", ["reset", "partial", "refuse", "elsewhere"])
def test_a_stream_goes_on_at_another_server_inside_the_same_answer(
    site: UsersSite, daemon: Daemon, fault: str
) -> None:
    for replica in site.of(MODEL):
        replica.faults.set(fault, 1)
    answer = ask(daemon.callers, "/stream/x")
    for replica in site.of(MODEL):
        replica.faults.clear()
    # Two sendings are allowed, and each server fails once: whole, or never complete in looks.
    assert answer.events == list(range(1, len(answer.events) + 1))
    assert not answer.whole or answer.status >= 500 or len(answer.events) == EVENTS
    assert site.wrong_paths == []
    if fault == "elsewhere":
        for replica in site.of(MODEL):
            site.store.drop("servers", replica.id)
            replica.id += "n"
            replica.register()
        wait_for("streams are served again", lambda: ask(daemon.callers, "/stream/x").events)


def test_a_stream_that_one_server_cuts_is_whole(site: UsersSite, daemon: Daemon) -> None:
    before = {replica.id: sum(replica.ran.values()) for replica in site.of(MODEL)}
    first = ask(daemon.callers, "/stream/x")
    assert first.events
    head = next(r for r in site.of(MODEL) if sum(r.ran.values()) > before[r.id])
    head.faults.set("reset", 1)
    answer = ask(daemon.callers, "/stream/x")
    assert answer.whole
    assert answer.events == list(range(1, EVENTS + 1))
    assert answer.headers["x-response-seal"] == f"seal-of-{head.id}"
