"""Client helpers for tests of the entry daemon: streams read in threads, completions and plain calls."""

import threading
from dataclasses import dataclass, field
from typing import Any

import msgspec
import urllib3

from standins.engine_tokens import token_text
from standins.world import CALLER_KEY, wait_for

HTTP = urllib3.PoolManager(maxsize=512, retries=False, timeout=urllib3.Timeout(connect=3, read=60))


@dataclass
class Stream:
    """A streamed completion and what was received of it."""

    prompt: str
    max_tokens: int
    status: int = 0
    tokens: list[str] = field(default_factory=list)
    error: dict[str, Any] | None = None
    complete: bool = False
    connection_lost: bool = False
    thread: threading.Thread | None = None
    response: urllib3.BaseHTTPResponse | None = None

    def is_correct(self, version: str = "v1") -> bool:
        """Return whether the received tokens are the first ones of the expected answer."""
        expected = [token_text("guide", version, self.prompt, index) for index in range(len(self.tokens))]
        return self.tokens == expected

    def is_correct_or_failed(self) -> bool:
        """Return whether the stream is complete and correct, or correct up to an explicit error."""
        if not self.is_correct():
            return False
        if self.complete:
            return len(self.tokens) == self.max_tokens and self.error is None
        return self.error is not None

    def wait(self) -> "Stream":
        """Wait until the stream has ended."""
        assert self.thread is not None
        self.thread.join(60)
        assert not self.thread.is_alive(), "the stream did not end"
        return self

    def wait_tokens(self, count: int) -> "Stream":
        """Wait until a number of tokens was received."""
        wait_for(
            f"{count} tokens received",
            lambda: len(self.tokens) >= count or self.error or self.connection_lost,
        )
        return self


def stream(
    address: str, max_tokens: int, prompt: str = "p", key: str = CALLER_KEY, **headers: str
) -> Stream:
    """Start a streamed completion in a thread."""
    made = Stream(prompt, max_tokens)
    made.thread = threading.Thread(target=_read, args=(made, address, key, headers), daemon=True)
    made.thread.start()
    return made


def complete(
    address: str, max_tokens: int = 4, prompt: str = "p", key: str = CALLER_KEY, **headers: str
) -> tuple[int, Any]:
    """Request a completion without streaming; return status and decoded body."""
    body = {"model": "guide", "prompt": prompt, "max_tokens": max_tokens}
    return call(address, "/v1/completions", body, key, **headers)


def call(
    address: str, path: str, body: Any, key: str = CALLER_KEY, method: str = "POST", **headers: str
) -> tuple[int, Any]:
    """Send a request; return status and decoded body."""
    response = HTTP.request(
        method,
        f"http://{address}{path}",
        body=body if isinstance(body, bytes) else msgspec.json.encode(body),
        headers=_headers(key, headers),
    )
    return response.status, msgspec.json.decode(response.data) if response.data else None


def _headers(key: str, extra: dict[str, str]) -> dict[str, str]:
    named = {name.replace("_", "-"): value for name, value in extra.items()}
    return {"Authorization": f"Bearer {key}", "Content-Type": "application/json", **named}


def _read(made: Stream, address: str, key: str, headers: dict[str, str]) -> None:
    body = {"model": "guide", "prompt": made.prompt, "max_tokens": made.max_tokens, "stream": True}
    try:
        response = HTTP.request(
            "POST",
            f"http://{address}/v1/completions",
            body=msgspec.json.encode(body),
            headers=_headers(key, headers),
            preload_content=False,
        )
        made.status, made.response = response.status, response
        if response.status != 200:
            made.error = msgspec.json.decode(response.data)["error"]
            return
        rest = b""
        for chunk in response.read_chunked():
            *events, rest = (rest + chunk).split(b"\n\n")
            for event in events:
                _add_event(made, event)
    except (urllib3.exceptions.HTTPError, OSError, AttributeError):
        made.connection_lost = True


def _add_event(made: Stream, event: bytes) -> None:
    if event.startswith(b"event: error\ndata: "):
        made.error = msgspec.json.decode(event.partition(b"data: ")[2])["error"]
        return
    data = event.removeprefix(b"data: ")
    if data == b"[DONE]":
        made.complete = True
        return
    choice = msgspec.json.decode(data)["choices"][0]
    if "text" in choice:
        made.tokens.append(choice["text"])


def assert_each_layer_ran_once(record: list[list[Any]], layers: int) -> None:
    """Assert by the engines' records that each layer ran once per token and in order.

    For each token, exactly one attempt ran all layers in order and none of them twice. A failed attempt may
    have run some of the layers for the token at which it failed.
    """
    runs: dict[tuple[str, int, int], list[tuple[float, int, int]]] = {}
    for request, attempt, index, first, last, ended in record:
        runs.setdefault((request, attempt, index), []).append((ended, first, last))
    whole: set[tuple[str, int]] = set()
    for (request, _, index), steps in sorted(runs.items()):
        done = [layer for _, first, last in sorted(steps) for layer in range(first, last)]
        assert done == list(range(len(done))), (request, index, done)
        if len(done) == layers:
            whole.add((request, index))
    indexes: dict[str, set[int]] = {}
    for request, index in whole:
        indexes.setdefault(request, set()).add(index)
    for request, found in indexes.items():
        assert found == set(range(len(found))), (request, sorted(found))
