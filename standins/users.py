"""A stand-in for the users' platform: metadata store, backend servers, and what runs between them.

All of it lives in threads of one process. Faults are set from outside, on the
store or on single servers; every run of a request on a server is recorded, so
that a test can count them.
"""

import base64
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, Self
from urllib.parse import parse_qs, urlsplit

import msgspec

from standins.world import STOP_TIMEOUT, free_port, wait_for

HOST = "127.0.0.1"
LAYERS = 12
EVENTS = 12
EVENT_SECONDS = 0.02
KEY = "a-key"
GROUP = "clinic"
MODEL, PLAIN = "model-service", "plain-service"
HOST_NAME = "site.example"


class Faults:
    """What goes wrong at a server or at the store, by name, for so many requests."""

    def __init__(self) -> None:
        self.left: Counter[str] = Counter()

    def set(self, name: str, times: int = 1_000_000) -> None:
        """Have something go wrong."""
        self.left[name] = times

    def clear(self) -> None:
        """Have all go well again."""
        self.left.clear()

    def take(self, name: str) -> bool:
        """Tell whether this goes wrong now, and use it up."""
        if self.left[name] <= 0:
            return False
        self.left[name] -= 1
        return True


class Handler(BaseHTTPRequestHandler):
    """Requests of one connection; what is served is up to the server's ``site``."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_: Any) -> None:
        """Say nothing: tests look at what came of requests."""

    def do_GET(self) -> None:
        """Serve a GET."""
        length = int(self.headers.get("Content-Length") or 0)
        self.server.site.serve(self, self.rfile.read(length))  # type: ignore[attr-defined]

    do_POST = do_PUT = do_DELETE = do_GET

    def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Send a whole answer."""
        self.send_response_only(status)
        for name, value in {**(headers or {}), "Content-Length": str(len(body))}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def json(self, value: Any, status: int = 200) -> None:
        """Send a whole answer in JSON."""
        self.answer(status, msgspec.json.encode(value), {"Content-Type": "application/json"})

    def reset(self) -> None:
        """Reset the connection."""
        self.wfile.flush()
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close_connection = True
        self.connection.close()


class Server(ThreadingHTTPServer):
    """A listening server of the stand-in."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, site: Any, port: int | None = None) -> None:
        super().__init__((HOST, port or free_port()), Handler)
        self.site = site
        self.connections: list[socket.socket] = []
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Remember the connection, so that it can be ended from outside."""
        self.connections.append(request)
        super().process_request(request, client_address)

    def end(self) -> None:
        """End at once, with all connections."""
        self.shutdown()
        self.server_close()
        for connection in self.connections:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, *_: Any) -> None:
        """Pass over connections that broke: faults break them on purpose."""

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"{HOST}:{self.server_address[1]}"


class MetadataStore:
    """Rows with versions, conditional transactions and feeds; faults: busy, silent, lost, forgotten.

    The first two with the name of a table after them harm calls for that table only.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self.version = 0
        self.changed = threading.Condition()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.server = Server(self)

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a server does."""
        with self.changed:
            self.version += 1
            self.rows[table, key] = (self.version, msgspec.json.encode(value))
            self.changed.notify_all()

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        with self.changed:
            self.version += 1
            self.rows[table, key] = (self.version, None)
            self.changed.notify_all()

    def serve(self, handler: Handler, body: bytes) -> None:
        """Serve one call."""
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls[url.path] += 1
        table = query.get("table", "")
        if self.faults.take("busy") or self.faults.take(f"busy {table}"):
            handler.json({}, 503)
        elif self.faults.take("silent") or self.faults.take(f"silent {table}"):
            time.sleep(5)
            handler.reset()
        elif url.path == "/api/rows-get":
            handler.json(self._get(query))
        elif url.path == "/api/rows-feed":
            self._feed(handler, query)
        else:
            self._transact(handler, msgspec.json.decode(body))

    def _get(self, query: dict[str, str]) -> Any:
        with self.changed:
            rows = [
                self._row(key)
                for key in sorted(self.rows)
                if key[0] == query["table"]
                and key[1] >= query.get("from", "")
                and self.rows[key][1] is not None
            ]
            limit = int(query.get("limit", 500))
            return {"rows": rows[:limit], "more": len(rows) > limit, "ver": self.version, "now_ms": 0}

    def _feed(self, handler: Handler, query: dict[str, str]) -> None:
        after, until = int(query["afterRev"]), time.monotonic() + int(query["waitMs"]) / 1000
        if self.faults.take("forgotten"):
            handler.json({}, 410)
            return
        with self.changed:
            while True:
                found = [k for k, (v, _) in self.rows.items() if k[0] == query["table"] and v > after]
                left = until - time.monotonic()
                if found or left <= 0:
                    break
                self.changed.wait(left)
            rows = [self._row(key) for key in sorted(found, key=lambda key: self.rows[key][0])]
            answer = {"rows": rows, "ver": self.version, "now_ms": 0}
        handler.json(answer)

    def _transact(self, handler: Handler, order: Any) -> None:
        with self.changed:
            expected = [(e["table"], e["key"], e["ver"]) for e in order["expectedRev"]]
            against = [(t, k) for t, k, v in expected if self.rows.get((t, k), (0, None))[0] != v]
            if not against:
                self.version += 1
                for put in order["put"]:
                    value = base64.b64decode(put["value"])
                    self.rows[put["table"], put["key"]] = (self.version, value)
                self.changed.notify_all()
        if self.faults.take("lost"):
            handler.reset()
        elif against:
            handler.json({"rows": [self._row(k) for k in against if k in self.rows], "ver": 0}, 412)
        else:
            handler.json({"ver": self.version, "now_ms": 0})

    def _row(self, key: tuple[str, str]) -> dict[str, Any]:
        version, value = self.rows[key]
        row: dict[str, Any] = {"table": key[0], "part": "", "key": key[1], "ver": version}
        if value is None:
            return {**row, "gone": True}
        return {**row, "value": base64.b64encode(value).decode()}


class Replica:
    """A backend server: of the model when it has a kind, else of the plain service.

    Faults of answers: refuse, elsewhere, error, cut, reset, unframed, unframed_reset,
    stray, extra, garbage, unsealed, mute. Of streams also: stall (as a stage) and
    partial (ends inside an event).
    """

    def __init__(self, site: "UsersSite", name: str, hall: str, kind: str | None) -> None:
        self.site = site
        self.id = f"i-{name}"
        self.hall = hall
        self.kind = kind
        self.held = (0, 0)
        self.given_up: list[tuple[tuple[int, int], float]] = []
        """Layers that it held before, with when they were given up; what passes then goes on there."""

        self.orders = 0
        self.state = "ready"
        self.faults = Faults()
        self.ran: Counter[str] = Counter()
        """Runs by request id."""

        self.seen: list[dict[str, str]] = []
        """Headers of requests that ran, in lower case."""

        self.paths: dict[str, list[tuple[str, int, int]]] = {}
        self.path_since: dict[str, float] = {}
        """When each request came to its path, in monotonic seconds."""

        self.ran_at: list[tuple[str, float]] = []
        """Requests that ran, with the monotonic time at which they began."""

        self.server = Server(self)
        self.address = site.front(self.server.address)
        """Where daemons reach it."""

        self.register()

    def register(self) -> None:
        """Write the own row."""
        row: dict[str, Any] = {
            "service": MODEL if self.kind else PLAIN,
            "addr": self.address,
            "zone": self.hall,
            "slots": 8,
            "state": self.state,
        }
        if self.kind:
            row |= {"kind": self.kind, "layers": self._layers()}
        self.site.store.put("servers", self.id, row)

    def die(self) -> None:
        """End at once: the address refuses connections."""
        self.faults.set("stall")
        self.server.end()

    def serve(self, handler: Handler, body: bytes) -> None:
        """Serve one request."""
        if handler.path == "/api/report":
            handler.json(self._report())
        elif handler.path == "/api/order":
            self._order(handler, msgspec.json.decode(body))
        else:
            self._request(handler)

    def runs_layers(self, first: int, last: int, since: float) -> bool:
        """Tell whether it runs layers for a request that began at a time."""
        spans = [self.held, *(span for span, until in self.given_up if until > since)]
        return any(span[0] <= first < last <= span[1] for span in spans)

    def _layers(self) -> dict[str, int]:
        return {"from": self.held[0], "targetVersion": self.held[1], "version": 1}

    def _report(self) -> Any:
        return {"seq": self.orders, "busy": False, "layers": self._layers(), "pace": 1.0}

    def _order(self, handler: Handler, order: Any) -> None:
        if order["op"] == "repath":
            known = order["id"] in self.paths
            if known:
                self._take_path(order["id"], order["path"])
            handler.json({}, 200 if known else 404)
            return
        if order["expectedRev"] != self.orders:
            handler.json({}, 409)
            return
        self.orders += 1
        self.given_up.append((self.held, time.monotonic()))
        self.held = (order["from"], order["targetVersion"])
        handler.json({}, 202)
        self.register()

    def _request(self, handler: Handler) -> None:
        request = handler.headers["X-Request-Id"]
        expected = handler.headers["X-Expect-Instance"]
        if self.faults.take("elsewhere") or expected != self.id:
            handler.answer(421, b"", {"X-Request-Id": request, "X-Instance-Id": "i-other"})
            return
        if self.faults.take("refuse"):
            handler.answer(503, b"", {"X-Request-Id": request, "X-Not-Executed": "1"})
            return
        if self.kind and not self.site.holds(read_path(handler.headers["Path"])):
            handler.answer(421, b"", {"X-Request-Id": request, "X-Not-Executed": "1"})
            return
        self.ran[request] += 1
        self.ran_at.append((request, time.monotonic()))
        self.seen.append({name.lower(): value for name, value in handler.headers.items()})
        head = {"X-Request-Id": request, "X-Response-Seal": f"seal-of-{self.id}"}
        if self.kind:
            self._stream(handler, request, head)
        else:
            self._whole(handler, request, head)

    def _whole(self, handler: Handler, request: str, head: dict[str, str]) -> None:
        body = f"answer to {request}".encode()
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
            if self.faults.take("stray"):
                handler.answer(200, b"of another", {**head, "X-Request-Id": "another"})
            handler.answer(200, body, head)
            if self.faults.take("extra"):
                handler.answer(200, b"once more", head)

    def _stream(self, handler: Handler, request: str, head: dict[str, str]) -> None:
        after = int(handler.headers.get("Last-Event-Id") or 0)
        self._take_path(request, handler.headers["Path"])
        handler.wfile.write(_head(200, {**head, "Transfer-Encoding": "chunked"}))
        for number in range(after + 1, EVENTS + 1):
            while self._stalled(request):
                if self.faults.left["stall"] or handler.connection.fileno() < 0:
                    return
                time.sleep(0.01)
            self.site.check_path(self.paths[request], self.path_since[request])
            data = f"id: {number}\ndata: {request} {number} {time.monotonic():.6f}\n\n".encode()
            if self.faults.take("partial"):
                handler.wfile.write(b"%x\r\n%b\r\n" % (9, data[:9]))
                handler.reset()
                return
            if number > EVENTS // 2 and self.faults.take("reset"):
                handler.reset()
                return
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            time.sleep(EVENT_SECONDS)
        handler.wfile.write(b"0\r\n\r\n")

    def _take_path(self, request: str, path: str) -> None:
        self.path_since[request] = time.monotonic()
        self.paths[request] = read_path(path)

    def _stalled(self, request: str) -> bool:
        stages = [address for address, _, _ in self.paths[request]]
        return any(r.faults.left["stall"] for r in self.site.every_replica if r.address in stages)


class UsersSite:
    """A site: the store, its backend servers, and the daemons under test."""

    def __init__(
        self,
        halls: int = 1,
        stages: int = 4,
        plain: int = 2,
        front: Callable[[str], str] = lambda address: address,
    ) -> None:
        self.store = MetadataStore()
        self.front = front
        """Puts something before the address of a server, and returns where it is reached then."""

        self.replicas: list[Replica] = []
        self.leaving: list[Replica] = []
        """Servers that are on their way out or gone."""

        self.daemons: list[Daemon] = []
        self.wrong_paths: list[str] = []
        self.folder = Path(tempfile.mkdtemp(prefix="bayglade-"))
        self.version = 0
        for hall in range(halls):
            for number in range(stages):
                self.replicas.append(Replica(self, f"{hall}-{number}", f"hall-{hall}", "card"))
        for number in range(plain):
            self.replicas.append(Replica(self, f"plain-{number}", "hall-0", None))
        self.configure()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def every_replica(self) -> list[Replica]:
        """Return all backend servers there ever were."""
        return [*self.replicas, *self.leaving]

    def add(self, replica: Replica) -> None:
        """Have a backend server come."""
        self.replicas.append(replica)

    def of(self, service: str) -> list[Replica]:
        """List the backend servers of a service."""
        return [r for r in self.replicas if bool(r.kind) == (service == MODEL)]

    def runs(self, request: str) -> int:
        """Count the runs of a request on all servers."""
        return sum(replica.ran[request] for replica in self.every_replica)

    def configure(self, keys: tuple[str, ...] = (KEY,), version: int | None = None, **changes: Any) -> None:
        """Write a configuration as the operator does; ``changes`` go into every route."""
        self.version = version if version is not None else self.version + 3
        self.store.put("op", "config", configuration(self.version, keys, changes))

    def start(self, hall: str = "hall-0", **settings: Any) -> "Daemon":
        """Start a daemon and wait until it is ready."""
        daemon = Daemon(self, f"d{len(self.daemons)}", hall, settings)
        self.daemons.append(daemon)
        daemon.wait_ready()
        return daemon

    def wait_placed(self) -> None:
        """Wait until the servers of each hall hold all layers."""
        wait_for("all layers are held", self._placed)

    def check_path(self, path: list[tuple[str, int, int]], began: float) -> None:
        """Note a path that does not run every layer once and in order, on servers that hold them.

        :param path: the stages.
        :param began: when the request came to it: layers given up since are still run for it.
        """
        by_address = {replica.address: replica for replica in self.every_replica}
        position = 0
        for address, first, last in path:
            if first != position or not by_address[address].runs_layers(first, last, began):
                self.wrong_paths.append(str(path))
            position = last
        if position != LAYERS:
            self.wrong_paths.append(f"{path} ends early")

    def holds(self, path: list[tuple[str, int, int]]) -> bool:
        """Tell whether all servers of a path hold their layers at this moment."""
        at = time.monotonic()
        by_address = {replica.address: replica for replica in self.every_replica}
        return all(by_address[address].runs_layers(first, last, at) for address, first, last in path)

    def stop(self) -> None:
        """End all that was started here."""
        for daemon in self.daemons:
            daemon.stop()
        for replica in self.every_replica:
            replica.server.end()
        self.store.server.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _placed(self) -> bool:
        for hall in {r.hall for r in self.of(MODEL)}:
            layers = {n for r in self.of(MODEL) if r.hall == hall for n in range(*r.held)}
            if len(layers) < LAYERS:
                return False
        return True


class Daemon:
    """A daemon under test, as a process of its own."""

    def __init__(
        self, site: UsersSite, name: str, hall: str, settings: dict[str, Any], file: str = ""
    ) -> None:
        self.callers = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        self.metrics = f"{HOST}:{free_port()}"
        self.settings = {
            "member": name,
            "hall": hall,
            "callers": self.callers,
            "ready": self.ready,
            "metrics": self.metrics,
            "store": site.store.server.address,
            "peer_ports": f"{free_port()},0",
            **settings,
        }
        self.callers, self.ready = self.settings["callers"], self.settings["ready"]
        self.metrics = self.settings["metrics"]
        self.file = site.folder / f"{file or name}.yaml"
        self.log = site.folder / f"{file or name}.log"
        self.write()
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "bayglade", "gateway"],
            env={**os.environ, "BAYGLADE_NODE_FILE": str(self.file)},
            stdout=self.log.open("wb"),
            stderr=subprocess.STDOUT,
        )

    def write(self) -> None:
        """Write the settings file anew."""
        self.file.write_text(msgspec.json.encode(self.settings).decode(), encoding="utf-8")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of one kind of event."""
        found = []
        for line in self.log.read_bytes().splitlines():
            if line.startswith(b"{"):
                entry = msgspec.json.decode(line)
                if entry["event"] == event:
                    found.append(entry)
        return found

    def is_ready(self) -> bool:
        """Ask whether it is ready, as the balancer does."""
        return exchange(self.ready, b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n").startswith(
            b"HTTP/1.1 200"
        )

    def wait_ready(self) -> None:
        """Wait until it is ready."""
        wait_for("the daemon is ready", lambda: quietly(self.is_ready))

    def stop(self) -> None:
        """Kill it."""
        self.popen.kill()
        self.popen.wait(STOP_TIMEOUT)


def read_path(text: str) -> list[tuple[str, int, int]]:
    """Read a path as servers do."""
    stages = []
    for part in text.split(","):
        address, _, layers = part.partition("=")
        first, _, last = layers.partition("-")
        stages.append((address, int(first), int(last)))
    return stages


def exchange(address: str, data: bytes, seconds: float = 5.0) -> bytes:
    """Send bytes on a new connection and read until it ends or an answer with a length is whole."""
    host, _, port = address.rpartition(":")
    answer = b""
    with socket.create_connection((host, int(port)), timeout=seconds) as sock:
        sock.sendall(data)
        while not _whole(answer):
            piece = sock.recv(65536)
            if not piece:
                break
            answer += piece
    return answer


def quietly(check: Callable[[], bool]) -> bool:
    """Return what a check returns; false while nobody listens."""
    try:
        return check()
    except OSError:
        return False


def configuration(version: int, keys: tuple[str, ...], changes: dict[str, Any]) -> dict[str, Any]:
    """Make a configuration: a stream, a repeatable and a not repeatable route, and a public one."""
    common = {
        "host": HOST_NAME,
        "timeoutMs": 1500,
        "sloMs": 300,
        "priority": 1,
        "maxAttempts": 2,
        **changes,
    }
    stream = {"resumable": True, "gap_aim_ms": 200, "timeoutMs": 5000, **changes}
    engine = {
        "slots": 8,
        "kvCapacity": 1000,
        "kvTokenBytes": 12e6,
        "step_ms": 1.0,
        "read_per_s": 10000.0,
        "models": [{"name": "m", "load_s": 0.1}],
        "loads_at_once": 4,
        "layers": LAYERS,
        "layer_mb": 1000.0,
        "kinds": [{"name": "card", "mb": 14000.0, "pace": 1.0, "read_x": 1.0}],
    }
    return {
        "version": version,
        "routes": [
            {**common, "name": "s", "pathPrefix": "/stream/", "kind": "stream", "service": MODEL, **stream},
            {**common, "name": "r", "pathPrefix": "/safe/", "kind": "safe", "service": PLAIN},
            {**common, "name": "o", "pathPrefix": "/once/", "kind": "unsafe", "service": PLAIN},
            {
                **common,
                "name": "p",
                "pathPrefix": "/open/",
                "kind": "safe",
                "service": PLAIN,
                "public": True,
            },
        ],
        "services": [{"name": MODEL, "engine": engine}, {"name": PLAIN, "maxConns": 100}],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 10000,
            "headerTimeoutMs": 700,
            "idleTimeoutMs": 5000,
        },
        "tenants": [{"name": GROUP, "apiKeys": list(keys), "priority": 1}],
    }


def _head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", *(f"{n}: {v}" for n, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode()


def _whole(answer: bytes) -> bool:
    head, end, body = answer.partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return body.endswith(b"0\r\n\r\n") and b"transfer-encoding" in head.lower()
