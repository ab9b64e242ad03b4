"""Calls through a gateway: malformed input, failing servers, and the response that the caller gets."""

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
        # All cases share one daemon, so they would otherwise exhaust each other's retry budget.
        daemon = site.start(retry_floor=1000)
        site.wait_placed()
        wait_for("all layers are known", lambda: ask(daemon.callers, "/stream/x").status == 200)
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
def test_malformed_input_is_rejected_and_reaches_no_server(
    site: UsersSite, daemon: Daemon, name: str
) -> None:
    data, status = BAD[name]
    answer = read_answer("bad", exchange(daemon.callers, data))
    assert answer.status == status
    assert answer.whole
    assert site.runs("bad") == 0
    assert ask(daemon.callers, "/once/x").status == 200


ONCE = {
    # fault of the server: status for the caller, number of executions
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
def test_a_non_repeatable_call_runs_at_most_once(site: UsersSite, daemon: Daemon, fault: str) -> None:
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
def test_a_repeatable_call_is_retried_on_another_server(
    site: UsersSite, daemon: Daemon, fault: str
) -> None:
    first, second = site.of(PLAIN)
    # The server that is chosen first fails; the other one serves the call.
    for replica in (first, second):
        replica.faults.set(fault, 1)
    answers = [ask(daemon.callers, "/safe/x") for _ in range(3)]
    assert {answer.status for answer in answers[2:]} == {200}
    assert all(site.runs(answer.request) <= 2 for answer in answers)
    recover(site, daemon)


def test_a_refusal_after_an_attempt_that_may_have_run_leaves_the_outcome_unknown(
    site: UsersSite, daemon: Daemon
) -> None:
    def refused_last() -> Answer | None:
        # The server tried first is random; newly listed servers have no recorded failures.
        recover(site, daemon)
        first, second = site.of(PLAIN)
        first.faults.set("cut")
        second.faults.set("refuse")
        answer = ask(daemon.callers, "/safe/x")
        failed = [line for line in daemon.lines("attempt failed") if line["request"] == answer.request]
        return answer if [line["peer"] for line in failed] == [first.id, second.id] else None

    refused = wait_for("one attempt is cut off, the next one refused", refused_last)
    assert refused.status == 502
    assert b'"outcome":"unknown"' in refused.body
    recover(site, daemon)


def test_a_server_whose_address_belongs_to_another_one_gets_no_more_requests(
    site: UsersSite, daemon: Daemon
) -> None:
    first, _ = site.of(PLAIN)
    first.faults.set("elsewhere")

    def refused() -> list[dict[str, Any]]:
        # The server may still be suspect for some seconds because of an earlier case.
        ask(daemon.callers, "/safe/x")
        return [line for line in daemon.lines("server leaving") if line["peer"] == first.id]

    wait_for("the server was tried", refused)
    for _ in range(6):
        ask(daemon.callers, "/safe/x")
    assert len(refused()) == 1
    assert ask(daemon.callers, "/once/x").status == 200
    recover(site, daemon)


def recover(site: UsersSite, daemon: Daemon) -> None:
    """Wait until all servers are used again, so that each case starts in the same state."""
    for replica in site.replicas:
        replica.faults.clear()
    # A server whose address belongs to another one stays excluded: register it again under a new id.
    for replica in site.of(PLAIN):
        site.store.drop("servers", replica.id)
        replica.id += "n"
        replica.register()
    known = {replica.id for replica in site.of(PLAIN)}
    wait_for(
        "the servers are listed again",
        lambda: known <= {line["peer"] for line in daemon.lines("server listed")},
    )


def test_a_request_is_forwarded_unchanged_except_for_router_headers(
    site: UsersSite, daemon: Daemon
) -> None:
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


def test_a_persistent_connection_serves_consecutive_requests(site: UsersSite, daemon: Daemon) -> None:
    data = b"".join(request_bytes("/once/x", f"kept-{n}", "POST", b"body") for n in range(3))
    host, _, port = daemon.callers.rpartition(":")
    answer = b""
    # Keep the connection open until all are answered: requests of a caller that left need not run.
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


def test_a_stream_is_relayed_event_by_event_across_all_layers(site: UsersSite, daemon: Daemon) -> None:
    answer = ask(daemon.callers, "/stream/x")
    assert answer.whole
    assert answer.events == list(range(1, EVENTS + 1))
    assert site.wrong_paths == []


def test_a_caller_resumes_after_its_last_event_id(daemon: Daemon) -> None:
    answer = ask(daemon.callers, "/stream/x", Last_Event_Id="7")
    assert answer.events == list(range(8, EVENTS + 1))


@pytest.mark.parametrize("fault", ["reset", "partial", "refuse", "elsewhere"])
def test_a_stream_continues_on_another_server_within_the_same_response(
    site: UsersSite, daemon: Daemon, fault: str
) -> None:
    for replica in site.of(MODEL):
        replica.faults.set(fault, 1)
    answer = ask(daemon.callers, "/stream/x")
    for replica in site.of(MODEL):
        replica.faults.clear()
    # Two attempts are allowed and each server fails once, so the stream may be incomplete, but must not
    # look complete then.
    assert answer.events == list(range(1, len(answer.events) + 1))
    assert not answer.whole or answer.status >= 500 or len(answer.events) == EVENTS
    assert site.wrong_paths == []
    if fault == "elsewhere":
        for replica in site.of(MODEL):
            site.store.drop("servers", replica.id)
            replica.id += "n"
            replica.register()
        wait_for("streams are served again", lambda: ask(daemon.callers, "/stream/x").events)


def test_a_stream_cut_off_by_one_server_is_complete(site: UsersSite, daemon: Daemon) -> None:
    before = {replica.id: sum(replica.ran.values()) for replica in site.of(MODEL)}
    first = ask(daemon.callers, "/stream/x")
    assert first.events
    head = next(r for r in site.of(MODEL) if sum(r.ran.values()) > before[r.id])
    head.faults.set("reset", 1)
    # Paths of about equal cost are taken by chance, so the next stream may begin at another first stage.
    for _ in range(50):
        answer = ask(daemon.callers, "/stream/x")
        if not head.faults.left["reset"]:
            break
    assert not head.faults.left["reset"]
    assert answer.whole
    assert answer.events == list(range(1, EVENTS + 1))
    assert answer.headers["x-response-seal"] == f"seal-of-{head.id}"
