"""The API for callers: malformed input is rejected without affecting other requests."""

import socket
from collections.abc import Iterator

import msgspec
import pytest

from standins.world import CALLER_KEY, World, backend, usual_tree
from tests import callers

VALID_BODY = msgspec.json.encode({"model": "guide", "prompt": "p", "max_tokens": 3})
AUTH = f"Authorization: Bearer {CALLER_KEY}\r\n"
MAX_BODY = 4096


@pytest.fixture(scope="module")
def small() -> Iterator[World]:
    with World() as world:
        world.start_platform()
        engine = world.start_engine("e1", 0, 8, step_ms=1)
        service = world.start_service("s1")
        tree = usual_tree(
            {"e1": backend(engine, 0, 8)},
            {
                "tiles": {"servers": {"s1": service.address}},
                "check-ins": {"servers": {"s1": service.address}, "repeatable": False},
            },
            8,
        )
        world.wait_up()
        world.cli("settings", "init", str(world.write_settings(tree)), "-p", world.platform)
        daemon = world.start_daemon("d1", max_body_bytes=MAX_BODY, header_timeout=0.5, body_timeout=0.5)
        world.wait_ready(daemon)
        yield world


def exchange(world: World, content: bytes, shut: bool = True) -> bytes:
    """Send raw bytes and read until the daemon closes the connection."""
    host, _, port = world.processes["d1"].address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(content)
        if shut:
            sock.shutdown(socket.SHUT_WR)
        answer = b""
        while chunk := sock.recv(65536):
            answer += chunk
        return answer


def head(extra: str = "", length: int | None = len(VALID_BODY), path: str = "/v1/completions") -> bytes:
    lengths = "" if length is None else f"Content-Length: {length}\r\n"
    text = f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{AUTH}{lengths}{extra}\r\n"
    return text.encode()


MALFORMED_REQUESTS = [
    ("two lengths", head("Content-Length: 5\r\n") + VALID_BODY, b"400"),
    ("same length twice", head(f"Content-Length: {len(VALID_BODY)}\r\n") + VALID_BODY, b"400"),
    ("length and chunks", head("Transfer-Encoding: chunked\r\n") + VALID_BODY, b"400"),
    ("negative length", head(length=-1) + VALID_BODY, b"400"),
    ("length that is no number", head("Content-Length: x\r\n", None) + VALID_BODY, b"400"),
    ("odd transfer encoding", head("Transfer-Encoding: gzip, chunked\r\n", None), b"400"),
    ("doubled key", head(AUTH) + VALID_BODY, b"400"),
    ("body cut short", head(length=len(VALID_BODY) + 9) + VALID_BODY, b"400"),
    ("body above the limit", head(length=MAX_BODY + 1) + b"x" * (MAX_BODY + 1), b"413"),
    (
        "chunks above the limit",
        head("Transfer-Encoding: chunked\r\n", None) + b"1400\r\n" + b"x" * 5120 + b"\r\n0\r\n\r\n",
        b"413",
    ),
    ("broken chunk", head("Transfer-Encoding: chunked\r\n", None) + b"zz\r\nabc", b"400"),
    ("header too large", head("X-Big: " + "x" * 70000 + "\r\n") + VALID_BODY, b"400"),
    ("line that is no request", b"nonsense\r\n\r\n", b"400"),
]


@pytest.mark.parametrize(
    ("name", "content", "status"), MALFORMED_REQUESTS, ids=[row[0] for row in MALFORMED_REQUESTS]
)
def test_malformed_bytes_are_rejected_and_the_connection_is_closed(small, name, content, status):
    # Bytes after a malformed request must not be parsed as another request.
    answer = exchange(small, content + head() + VALID_BODY)
    assert answer.split(b" ")[1] == status, answer[:200]
    assert answer.count(b"HTTP/1.") == 1, answer


@pytest.mark.parametrize(
    "content",
    [b"POST /v1/comp", head() + VALID_BODY[:5]],
    ids=["head", "body"],
)
def test_a_sender_that_stalls_is_timed_out(small, content):
    answer = exchange(small, content, shut=False)
    assert answer == b"" or answer.split(b" ")[1] == b"400"


INVALID_REQUESTS = [
    ("no key", {}, {"key": ""}, 401, "unauthenticated"),
    ("false key", {}, {"key": "wrong"}, 401, "unauthenticated"),
    ("an operator's key", {}, {"key": "operator-key"}, 401, "unauthenticated"),
    ("unknown model", {"model": "other"}, {}, 404, "not_found"),
    ("no tokens", {"max_tokens": 0}, {}, 400, "invalid_request"),
    ("too many tokens", {"max_tokens": 10**9}, {}, 400, "invalid_request"),
    ("wrong type", {"prompt": 7}, {}, 400, "invalid_request"),
    ("missing field", {"prompt": None}, {}, 400, "invalid_request"),
    ("deadline that is no number", {}, {"Bayglade_Deadline": "soon"}, 400, "invalid_request"),
    ("deadline in the past", {}, {"Bayglade_Deadline": "-1"}, 400, "invalid_request"),
    ("repeatable that is no word", {}, {"Bayglade_Repeatable": "maybe"}, 400, "invalid_request"),
    ("not repeatable without a key", {}, {"Bayglade_Repeatable": "no"}, 400, "invalid_request"),
    ("key too long", {}, {"Idempotency_Key": "k" * 201}, 400, "invalid_request"),
]


@pytest.mark.parametrize(
    ("name", "change", "options", "status", "code"), INVALID_REQUESTS, ids=[a[0] for a in INVALID_REQUESTS]
)
def test_an_invalid_request_is_rejected_as_not_run(small, name, change, options, status, code):
    body = {**msgspec.json.decode(VALID_BODY), **change}
    found, answer = callers.call(small.processes["d1"].address, "/v1/completions", body, **options)
    assert (found, answer["error"]["code"]) == (status, code)
    assert answer["error"]["outcome"] == "not_run"


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff\xfe", b"[" * 2000], ids=range(5))
def test_a_body_that_is_not_a_json_object_is_rejected(small, body):
    found, answer = callers.call(small.processes["d1"].address, "/v1/completions", body)
    assert (found, answer["error"]["code"]) == (400, "invalid_request")


UNKNOWN_ENDPOINTS = [
    ("GET", "/v1/completions", 405),
    ("POST", "/v1/models", 405),
    ("GET", "/nowhere", 404),
    ("POST", "/services/nothing/x", 404),
    ("TRACE", "/services/tiles/run/x", 405),
]


@pytest.mark.parametrize(("method", "path", "status"), UNKNOWN_ENDPOINTS)
def test_an_unknown_path_or_method_is_rejected(small, method, path, status):
    found, answer = callers.call(small.processes["d1"].address, path, b"", method=method)
    assert found == status and answer["error"]["outcome"] == "not_run"


def test_a_chat_completion_has_its_own_response_format(small):
    body = {"model": "guide", "messages": [{"role": "user", "content": "x"}], "max_tokens": 3}
    status, answer = callers.call(small.processes["d1"].address, "/v1/chat/completions", body)
    assert status == 200 and answer["object"] == "chat.completion"
    assert answer["choices"][0]["message"]["content"].count(".") == 3


def test_internal_headers_of_a_caller_do_not_reach_a_service(small):
    found, _ = callers.call(
        small.processes["d1"].address, "/services/tiles/run/x", b"", Bayglade_Group="kines"
    )
    assert found == 200
    seen = small.get(small.processes["s1"].address, "/standin/headers")
    assert seen["HTTP_BAYGLADE_GROUP"] == "khangai/gates"
    assert "HTTP_AUTHORIZATION" not in seen


def test_idempotency_keys_are_separate_per_group(small):
    path, address = "/services/check-ins/run/x", small.processes["d1"].address
    first = callers.call(address, path, {"n": 1}, Idempotency_Key="same")
    second = callers.call(address, path, {"n": 2}, "plateau-key", Idempotency_Key="same")
    assert (first[0], second[0]) == (200, 200)
    assert first[1]["run"] != second[1]["run"]


def test_a_disconnecting_caller_cancels_its_request(small):
    stream = callers.stream(small.processes["d1"].address, 4000)
    stream.wait_tokens(5)
    stream.response.close()
    address = small.processes["e1"].address
    callers.wait_for("the engine is idle", lambda: small.get(address, "/v1/load")["running"] == 0)
    assert len(small.record("e1")) < 3000


def test_valid_requests_are_still_served_afterwards(small):
    assert callers.complete(small.processes["d1"].address)[0] == 200
