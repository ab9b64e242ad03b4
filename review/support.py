"""What the scripts of the cases share: a small deployment, a client and the record of a run."""

import os
import signal
import socket
import sys
import threading
import time
import traceback
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Any, TextIO

from standins.users import HOST_NAME, Daemon, UsersSite

BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit codes of a script."""

SETTINGS = {
    "grace_seconds": 8,
    "drain_ms": 2000,
    "server_heartbeat_ms": 1200,
    "config_ms": 2000,
    "key_trust_ms": 5000,
    "retry_fraction": 0.2,
    "retry_window_seconds": 10,
    "retry_floor": 202,
    "roster_seconds": 10.0,
    "link_mbps": 1000.0,
}
"""Settings as the template fills them in for a small deployment, with the bounds of khangai-maps."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ANSWER_SECONDS = 8.0


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def note(self, *words: object) -> None:
        """Write a line with the seconds since the start of the run."""
        with self.lock:
            text = " ".join(str(word) for word in words)
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


class Answer:
    """What a client got for one request."""

    def __init__(
        self, request: str, status: int, headers: Mapping[str, str], body: bytes, whole: bool
    ) -> None:
        self.request = request
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole
        """Whether the answer ended as the protocol says."""


class Client:
    """A client with one kept connection to a daemon, which it opens again if it was closed."""

    def __init__(self, address: str, record: Record) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.record = record
        self.sock: socket.socket | None = None
        self.rest = b""

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
        self.sock, self.rest = None, b""

    def ask(
        self,
        request: str,
        path: str,
        key: str | None = None,
        method: str = "POST",
        deadline_ms: int = 5000,
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a request and read its answer; status 0 if there was none."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}", f"X-Request-Id: {request}"]
        lines += [f"X-Deadline-Ms: {deadline_ms}"]
        lines += [f"X-Key: {key}"] if key is not None else []
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        body = b"some words" if method == "POST" else b""
        lines += [f"Content-Length: {len(body)}"] if method == "POST" else []
        data = "\r\n".join([*lines, "", ""]).encode() + body
        self.record.note("sent", request, method, path, f"key={key}")
        try:
            if self.sock is None:
                self.sock = socket.create_connection((self.host, self.port), timeout=ANSWER_SECONDS)
            self.sock.settimeout(ANSWER_SECONDS)
            self.sock.sendall(data)
            answer = self._read(request)
        except OSError as error:
            answer = Answer(request, 0, {}, repr(error).encode(), False)
        if not answer.whole or answer.headers.get("connection", "").lower() == "close":
            self.close()
        self.record.note("answered", request, answer.status, f"whole={answer.whole}", answer.body[:60])
        return answer

    def _read(self, request: str) -> Answer:
        while b"\r\n\r\n" not in self.rest:
            if not self._more():
                return Answer(request, 0, {}, b"closed", False)
        head, _, self.rest = self.rest.partition(b"\r\n\r\n")
        first, *fields = head.decode("latin-1").split("\r\n")
        headers = {n.strip().lower(): v.strip() for n, _, v in (f.partition(":") for f in fields)}
        status = int(first.split()[1])
        if "content-length" in headers:
            size = int(headers["content-length"])
            while len(self.rest) < size:
                if not self._more():
                    return Answer(request, status, headers, self.rest, False)
            body, self.rest = self.rest[:size], self.rest[size:]
            return Answer(request, status, headers, body, True)
        body = b""
        while True:
            while b"\r\n" not in self.rest:
                if not self._more():
                    return Answer(request, status, headers, body, False)
            line, _, self.rest = self.rest.partition(b"\r\n")
            size = int(line, 16)
            while len(self.rest) < size + 2:
                if not self._more():
                    return Answer(request, status, headers, body, False)
            body, self.rest = body + self.rest[:size], self.rest[size + 2 :]
            if not size:
                return Answer(request, status, headers, body, True)

    def _more(self) -> bool:
        assert self.sock is not None
        data = self.sock.recv(65536)
        self.rest += data
        return bool(data)


def start_daemons(site: UsersSite, count: int, halls: int = 1, **settings: Any) -> list[Daemon]:
    """Start daemons with the settings of a small deployment, and wait until they are ready."""
    return [site.start(f"hall-{n % halls}", **{**SETTINGS, **settings}) for n in range(count)]


@contextmanager
def ending(site: UsersSite) -> Iterator[UsersSite]:
    """Stop everything that a site started, whatever happens."""
    try:
        yield site
    finally:
        site.stop()


def _out_of_time(*_: object) -> None:
    """End the run as one that could not finish; everything that it started is stopped then."""
    raise TimeoutError("the case took too long")


def play(case: Callable[[Record], int], folder: Path) -> None:
    """Run a case, and exit with its outcome."""
    record = Record(folder / "record.txt")
    record.note("trouble" if TROUBLE else "no trouble")
    signal.signal(signal.SIGTERM, _out_of_time)
    try:
        outcome = case(record)
    except Exception:  # noqa: BLE001
        record.note(traceback.format_exc())
        traceback.print_exc()
        outcome = NOT_RUN
    record.note("outcome", outcome)
    print(
        {BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "the case could not run"}[outcome]
    )
    sys.stdout.flush()
    os._exit(outcome)
