"""Stand-in for the users' backend servers."""

import threading
import time
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from standins.users.configuration import EVENT_SECONDS, EVENTS, MODEL, PLAIN
from standins.users.faults import Faults
from standins.users.web import Handler, Server

if TYPE_CHECKING:
    from standins.users.site import UsersSite


class RetryAfterSent(NamedTuple):
    """A request that was refused with ``Retry-After``."""

    request: str
    at: float
    """Monotonic time of the answer."""

    seconds: float


class LimitChange(NamedTuple):
    """From a time on, answers announce this rate limit, or none if it is empty."""

    at: float
    value: str


class LimitAnnounced(NamedTuple):
    """An answer that announced a rate limit."""

    request: str
    at: float
    """Monotonic time of the answer."""

    rate: float
    born: int
    """The incarnation of the server that announced it."""


ENDLESS_HEADS = {
    "endless_status": (b"HTTP/1.1 200 ", b"x"),
    "endless_header": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x"),
    "endless_headers": (b"HTTP/1.1 200 OK\r\n", b"X-More: x\r\n"),
    "endless_interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
}
ENDLESS_BODIES = {
    "endless_body": (b"", b"40\r\n" + b"x" * 64 + b"\r\n"),
    "endless_chunk_size": (b"", b"0"),
    "endless_chunk_extension": (b"40;", b"x"),
    "endless_trailers": (b"0\r\n", b"X-More: x\r\n"),
}
ENDLESS = {**ENDLESS_HEADS, **ENDLESS_BODIES}
"""Faults of answers that never end: how each begins, and what it repeats. Bodies are sent in chunks."""
ENDLESS_PIECE_BYTES = 16 * 1024
ENDLESS_PAUSE_SECONDS = 0.001
"""Pause after each piece, without which the other servers of this process would hardly run."""
ENDLESS_SLOW_PAUSE_SECONDS = 0.02
STREAM_PREFIX = "/stream/"
LONG_SUFFIX = "/long"
SILENT_SECONDS = 3.0
SLOW_SECONDS = 0.4
"""How long a slow plain answer takes, longer than the latency objective of its route."""


class Replica:
    """A backend server: of the model if it has an accelerator kind, else of the plain service.

    Faults of plain answers: refuse, elsewhere (answers as another instance), error, cut, reset,
    unframed, unframed_reset, stray, extra, garbage, unsealed, mute, slow. Faults of streams: refuse,
    elsewhere, reset, stall (as a stage), silent (sends nothing more, half of the way), partial (resets the
    connection inside an event), unframed (ends with its connection) and unframed_partial (ends so inside an
    event). Faults of both: those of ENDLESS, until the caller closes the connection. The plain service
    answers streams too, on the path of streams.
    """

    def __init__(self, site: "UsersSite", name: str, hall: str, kind: str | None) -> None:
        self.site = site
        self.id = f"i-{name}"
        self.hall = hall
        self.kind = kind
        self.held = (0, 0)
        self.released_layers: list[tuple[tuple[int, int], float]] = []
        """Layers held before, with the time of their release; earlier requests still run there."""

        self.orders = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        """Start time in Unix milliseconds, which identifies the incarnation."""

        self.writes = 0
        self.faults = Faults()
        self.ran: Counter[str] = Counter()
        """Runs by request id."""

        self.events_sent: Counter[str] = Counter()
        """Events of streams that it sent, by request id."""

        self.seen: list[dict[str, str]] = []
        """Headers of requests that ran, in lower case."""

        self.paths: dict[str, list[tuple[str, int, int]]] = {}
        self.path_since: dict[str, float] = {}
        """When each request got its current path, in monotonic seconds."""

        self.ran_at: list[tuple[str, float]] = []
        """Requests that ran, with the monotonic times of their starts."""

        self.retry_after = ""
        """Value of ``Retry-After`` in refusals; no header if empty."""

        self.limit_changes: list[LimitChange] = []
        self.started: list[float] = []
        """Times of its restarts, in monotonic seconds."""

        self.limits_announced: list[LimitAnnounced] = []
        """The rate limits that its answers announced."""

        self.says_leaving = False
        """Whether its answers announce that it leaves; its row may say otherwise."""

        self.arrived: list[tuple[str, float]] = []
        """All requests that arrived, run or not, with monotonic times."""

        self.tried_paths: dict[str, str] = {}
        """The path that each request arrived with, run or not."""

        self.refused: list[tuple[str, float]] = []
        """Requests that it refused with 503, with the monotonic times of the answers."""

        self.retry_after_sent: list[RetryAfterSent] = []
        """Its refusals with ``Retry-After``."""

        self.said_leaving: list[tuple[str, float]] = []
        """Requests whose answers announced that it leaves, with monotonic times."""

        self.numbers_events = True
        """Whether the events of its streams carry numbers."""

        self.event_seconds = EVENT_SECONDS
        """Time between the events of its streams."""

        self.endless_slowly = False
        """Whether answers without end come in small pieces."""

        self.reports_without_end = ""
        """The fault of ENDLESS with which it answers questions for its report; empty for sound reports."""

        self.long_answer_bytes = 0
        """Size of the plain answers to requests whose path ends in LONG_SUFFIX."""

        self.endless_open = 0
        """Answers without end whose connection is open."""

        self.endless_sent = 0
        """Bytes of such answers that were sent."""

        self.invalid_status = ""
        """Three digits that stand in place of the status of all its answers; empty for the usual ones."""

        self.paused_stage: Replica | None = None
        """A later stage on whose behalf it refuses requests whose path includes that stage."""

        self.down = False
        """Whether it crashed and has not restarted yet."""

        self.server = Server(self)
        self.address = site.front(self.server.address)
        """Address at which daemons reach it."""

        self.register()

    @property
    def rate_limit(self) -> str:
        """Return the announced limit for all daemons together, in requests a second; empty for none."""
        return self.limit_changes[-1].value if self.limit_changes else ""

    @rate_limit.setter
    def rate_limit(self, value: str) -> None:
        self.limit_changes.append(LimitChange(time.monotonic(), value))

    @property
    def listens_at(self) -> str:
        """Return the address it listens on; daemons may reach it through a proxy at another address."""
        return self.server.address

    def register(self) -> None:
        """Write its row to the store."""
        self.writes += 1
        self.site.store.put("servers", self.id, self.row())

    def row(self) -> dict[str, Any]:
        """Return the content of its row."""
        row: dict[str, Any] = {
            "service": MODEL if self.kind else PLAIN,
            "addr": self.address,
            "zone": self.hall,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.writes,
            "born": self.born,
        }
        if self.kind:
            row |= {"kind": self.kind, "layers": self._layers()}
        return row

    def leave(self) -> None:
        """Announce in its row that it leaves."""
        self.state = "draining"
        self.register()

    def restart(self, told: bool = True) -> None:
        """Terminate at once and restart under the same id, with no layers and all counters at zero.

        :param told: whether to write the new row at once.
        """
        self.server.end()
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.started.append(time.monotonic())
        self.held, self.released_layers, self.orders, self.writes = (0, 0), [], 0, 0
        self.state = "ready"
        self.server = Server(self)
        self.address = self.site.front(self.server.address)
        if told:
            self.register()

    def crash(self, seconds: float) -> None:
        """Terminate at once, and restart under the same id after some seconds.

        :param seconds: for how long its address refuses connections.
        """
        if self.down:
            return
        self.down = True
        self.faults.set("stall")
        self.server.end()
        threading.Timer(seconds, self._restart_after_crash).start()

    def _restart_after_crash(self) -> None:
        if self.site.stopped:
            return
        self.faults.left["stall"] = 0
        self.restart()
        self.down = False

    def die(self) -> None:
        """Terminate at once and for good; the address refuses connections."""
        self.faults.set("stall")
        self.server.end()

    def serve(self, handler: Handler, body: bytes) -> None:
        """Serve one request."""
        if self.says_leaving:
            handler.extra["Server-Leaving"] = "1"
        if self.rate_limit:
            handler.extra["Server-Limit"] = self.rate_limit
        if self.invalid_status:
            self._answer_with_invalid_status(handler)
        elif handler.path == "/api/report" and self.reports_without_end:
            self._answer_without_end(handler, self.reports_without_end, {})
        elif handler.path == "/api/report":
            handler.json(self._report())
        elif handler.path == "/api/order":
            self._order(handler, msgspec.json.decode(body))
        else:
            self._request(handler, body)

    def runs_layers(self, first: int, last: int, since: float) -> bool:
        """Return whether it runs a range of layers for a request that got its path at a given time."""
        spans = [self.held, *(span for span, until in self.released_layers if until > since)]
        return any(span[0] <= first < last <= span[1] for span in spans)

    def _layers(self) -> dict[str, int]:
        return {"from": self.held[0], "targetVersion": self.held[1], "version": 1}

    def _report(self) -> Any:
        return {
            "seq": self.orders,
            "busy": False,
            "layers": self._layers(),
            "pace": 1.0,
            "born": self.born,
        }

    def _order(self, handler: Handler, order: Any) -> None:
        if handler.headers.get("X-Expect-Instance", self.id) != self.id:
            handler.json({}, 421)
            return
        if order["op"] == "repath":
            known = order["id"] in self.paths
            if known:
                self._set_path(order["id"], order["path"])
                self.site.crash_rerouted(order["id"], self, order["path"])
            handler.json({}, 200 if known else 404)
            return
        if order["expectedRev"] != self.orders:
            handler.json({}, 409)
            return
        self.orders += 1
        self.released_layers.append((self.held, time.monotonic()))
        self.held = (order["from"], order["targetVersion"])
        handler.json({}, 202)
        self.register()

    def _request(self, handler: Handler, body: bytes) -> None:
        request = handler.headers["X-Request-Id"]
        expected = handler.headers["X-Expect-Instance"]
        self.arrived.append((request, time.monotonic()))
        if self.says_leaving:
            self.said_leaving.append((request, time.monotonic()))
        if limit := handler.extra.get("Server-Limit"):
            self._record_limit(request, limit)
        self.tried_paths[request] = handler.headers.get("Path", "")
        if self.faults.take("elsewhere") or expected != self.id:
            handler.answer(421, b"", {"X-Request-Id": request, "X-Instance-Id": "i-other"})
            return
        if self.faults.take("refuse"):
            self._refuse(handler, request, {})
            return
        later = self.paused_stage
        if later is not None and later.address in self.tried_paths[request]:
            self._refuse(handler, request, {"At-Server": later.address})
            return
        if self.kind and not self.site.holds(read_path(handler.headers["Path"])):
            handler.answer(421, b"", {"X-Request-Id": request, "X-Not-Executed": "1"})
            return
        self.ran[request] += 1
        self.ran_at.append((request, time.monotonic()))
        self.seen.append({name.lower(): value for name, value in handler.headers.items()})
        head = {"X-Request-Id": request, "X-Response-Seal": f"seal-of-{self.id}"}
        parts = prompt_part_ids(handler.headers.get("X-Prompt-Prefix", ""))
        if body in self.site.deadly or not self.site.deadly_parts.isdisjoint(parts):
            self.site.deadly_requests[request] = body
            self.site.crash_under(request, body, self, handler.headers.get("Path"))
        for fault in ENDLESS:
            if self.faults.take(fault):
                self._answer_without_end(handler, fault, head)
                return
        if self.kind:
            self._set_path(request, handler.headers["Path"])
            self._stream(handler, request, head)
        else:
            self._plain(handler, request, head)

    def _answer_with_invalid_status(self, handler: Handler) -> None:
        """Answer a request, which has run, or a question with a status that is none."""
        request = handler.headers["X-Request-Id"]
        if request:
            self.arrived.append((request, time.monotonic()))
            self.ran[request] += 1
        head = {
            "X-Request-Id": request or "",
            "X-Response-Seal": f"seal-of-{self.id}",
            "Content-Length": "3",
        }
        handler.wfile.write(_head(0, head, self.invalid_status) + b"bad")

    def _answer_without_end(self, handler: Handler, fault: str, head: dict[str, str]) -> None:
        begin, repeated = ENDLESS[fault]
        if fault in ENDLESS_BODIES:
            begin = _head(200, {**head, "Transfer-Encoding": "chunked"}) + begin
        size = len(repeated) if self.endless_slowly else ENDLESS_PIECE_BYTES
        piece = repeated * max(1, size // len(repeated))
        pause = ENDLESS_SLOW_PAUSE_SECONDS if self.endless_slowly else ENDLESS_PAUSE_SECONDS
        self.endless_open += 1
        handler.close_connection = True
        try:
            handler.wfile.write(begin)
            while not self.site.stopped:
                handler.wfile.write(piece)
                self.endless_sent += len(piece)
                time.sleep(pause)
        finally:
            self.endless_open -= 1

    def _record_limit(self, request: str, limit: str) -> None:
        try:
            rate = float(limit)
        except ValueError:
            # A malformed limit, which daemons must ignore.
            return
        self.limits_announced.append(LimitAnnounced(request, time.monotonic(), rate, self.born))

    def _refuse(self, handler: Handler, request: str, headers: dict[str, str]) -> None:
        head = {"X-Request-Id": request, "X-Not-Executed": "1", **headers}
        if self.retry_after:
            head["Retry-After"] = self.retry_after
            self.retry_after_sent.append(RetryAfterSent(request, time.monotonic(), float(self.retry_after)))
        self.refused.append((request, time.monotonic()))
        handler.answer(503, b"", head)

    def _plain(self, handler: Handler, request: str, head: dict[str, str]) -> None:
        if handler.path.startswith(STREAM_PREFIX):
            self._stream(handler, request, {**head, "Content-Type": "text/event-stream"})
            return
        body = f"answer to {request}".encode()
        if handler.path.endswith(LONG_SUFFIX):
            body = body.ljust(self.long_answer_bytes)
        if self.faults.take("mute"):
            time.sleep(3)
            handler.reset()
        elif self.faults.take("garbage"):
            handler.wfile.write(b"no answer at all\r\n\r\n")
            handler.reset()
        elif self.faults.take("cut") or self.faults.take("reset"):
            handler.wfile.write(_head(200, {**head, "Content-Length": str(len(body))}) + body[:4])
            handler.reset()
        elif self.faults.take("unframed"):
            handler.wfile.write(_head(200, head) + body)
            handler.close_connection = True
        elif self.faults.take("unframed_reset"):
            handler.wfile.write(_head(200, head) + body[:4])
            time.sleep(0.05)
            handler.reset()
        elif self.faults.take("unsealed"):
            handler.answer(200, body, {"X-Request-Id": request})
        elif self.faults.take("error"):
            handler.answer(500, b"broken", head)
        else:
            if self.faults.take("slow"):
                time.sleep(SLOW_SECONDS)
            if self.faults.take("stray"):
                handler.answer(200, b"of another", {**head, "X-Request-Id": "another"})
            handler.answer(200, body, head)
            if self.faults.take("extra"):
                handler.answer(200, b"once more", head)

    def _stream(self, handler: Handler, request: str, head: dict[str, str]) -> None:
        after, born = int(handler.headers.get("Last-Event-Id") or 0), self.born
        breaks_off = self.faults.take("unframed_partial")
        if breaks_off or self.faults.take("unframed"):
            self._unframed_stream(handler, request, head, range(after + 1, EVENTS + 1), breaks_off)
            return
        handler.wfile.write(_head(200, {**head, **handler.extra, "Transfer-Encoding": "chunked"}))
        for number in range(after + 1, EVENTS + 1):
            while self._stalled(request):
                if self.faults.left["stall"] or self.born != born or handler.connection.fileno() < 0:
                    return
                time.sleep(0.01)
            if self.born != born:
                return
            self._check_path(request)
            data = f"data: {request} {number} {time.monotonic():.6f}\n\n".encode()
            if self.numbers_events:
                data = f"id: {number}\n".encode() + data
            if self.faults.take("partial"):
                handler.wfile.write(b"%x\r\n%b\r\n" % (9, data[:9]))
                handler.reset()
                return
            if number > EVENTS // 2 and self.faults.take("silent"):
                time.sleep(SILENT_SECONDS)
                handler.reset()
                return
            if number > EVENTS // 2 and self.faults.take("reset"):
                handler.reset()
                return
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            self.events_sent[request] += 1
            time.sleep(self.event_seconds)
        handler.wfile.write(b"0\r\n\r\n")

    def _unframed_stream(
        self, handler: Handler, request: str, head: dict[str, str], numbers: range, breaks_off: bool
    ) -> None:
        """Send a stream with neither a length nor chunks; it may end inside an event, half of the way."""
        handler.wfile.write(_head(200, {**head, **handler.extra}))
        for number in numbers:
            self._check_path(request)
            data = f"id: {number}\ndata: {request} {number} {time.monotonic():.6f}\n\n".encode()
            if breaks_off and number > EVENTS // 2:
                handler.wfile.write(data[:9])
                break
            handler.wfile.write(data)
            time.sleep(self.event_seconds)
        handler.close_connection = True

    def _set_path(self, request: str, path: str) -> None:
        self.path_since[request] = time.monotonic()
        self.paths[request] = read_path(path)

    def _check_path(self, request: str) -> None:
        if self.kind:
            self.site.check_path(self.paths[request], self.path_since[request])

    def _stalled(self, request: str) -> bool:
        by_address = {replica.address: replica for replica in self.site.every_replica}
        stages = [by_address.get(address) for address, _, _ in self.paths.get(request, ())]
        # A stage that restarted at another address has left its old one.
        return any(replica is None or replica.faults.left["stall"] for replica in stages)


def read_path(text: str) -> list[tuple[str, int, int]]:
    """Parse a path header into stages: address, first layer and end of the layers."""
    stages = []
    for part in text.split(","):
        address, _, layers = part.partition("=")
        first, _, last = layers.partition("-")
        stages.append((address, int(first), int(last)))
    return stages


def prompt_part_ids(text: str) -> list[str]:
    """Return the ids of the shared parts that a prompt header names; the last part is not shared."""
    return [part.partition(":")[0] for part in text.split(",")][:-1]


def _head(status: int, headers: dict[str, str], text: str = "") -> bytes:
    lines = [f"HTTP/1.1 {text or status} Status", *(f"{n}: {v}" for n, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode()
