"""Helpers for tests that send requests to a gateway."""

import itertools
from dataclasses import dataclass, field

from standins.users import HOST_NAME, KEY, exchange

_numbers = itertools.count(1)


@dataclass
class Answer:
    """The response to a request."""

    request: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    """Whether the response is complete according to its framing."""

    @property
    def events(self) -> list[int]:
        """Return the ids of the received events of a stream."""
        return [int(line[4:]) for line in self.body.split(b"\n") if line.startswith(b"id: ")]


def request_bytes(path: str, request: str, method: str = "GET", body: bytes = b"", **headers: str) -> bytes:
    """Encode a request; underscores in header names become hyphens, an empty value omits the header."""
    found = {"Host": HOST_NAME, "X-Request-Id": request, "X-Key": KEY, "X-Deadline-Ms": "4000"}
    if body:
        found["Content-Length"] = str(len(body))
    found |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in found.items() if v), "", ""]
    return "\r\n".join(lines).encode() + body


def ask(address: str, path: str, method: str = "GET", body: bytes = b"", **headers: str) -> Answer:
    """Send a request on a new connection and read the complete response."""
    request = f"request-{next(_numbers)}"
    return read_answer(request, exchange(address, request_bytes(path, request, method, body, **headers)))


def read_answer(request: str, data: bytes) -> Answer:
    """Parse a response from all bytes received on a connection."""
    head, end, rest = data.partition(b"\r\n\r\n")
    if not end:
        return Answer(request)
    first, *lines = head.decode().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    answer = Answer(request, int(first.split()[1]), headers)
    if "content-length" in headers:
        answer.body = rest
        answer.whole = len(rest) == int(headers["content-length"])
        return answer
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16)
        answer.body += rest[:length]
        answer.whole = length == 0
        rest = rest[length + 2 :]
    return answer
