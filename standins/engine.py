"""Stand-in for a model engine that holds a range of layers.

The engine of the first stage drives the others, with one step for each token and stage.
Engines record every run of layers, so that tests need not rely on what the router
reports. Faults are set with ``POST /standin/faults``.
"""

import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import eventlet
import msgspec

eventlet.monkey_patch()

import urllib3  # noqa: E402
from eventlet.semaphore import Semaphore  # noqa: E402

from bayglade.engines import wire  # noqa: E402
from bayglade.ids import BackendId, Version  # noqa: E402
from standins import web  # noqa: E402
from standins.engine_tokens import token_text  # noqa: E402

STEP_TIMEOUT = 1.0


class Step(msgspec.Struct):
    """The work of one stage on one token."""

    request: str
    attempt: int
    index: int
    first: int
    last: int


class Faults(msgspec.Struct):
    """The faults that are active."""

    token_delay: float = 0.0
    refuse: bool = False
    silent: bool = False
    cut_after: int = -1
    repeat_frames: bool = False
    stray_frames: bool = False


class Engine:
    """One engine."""

    def __init__(self, arguments: Any) -> None:
        self.id = BackendId(arguments.id)
        self.first, self.last = arguments.first, arguments.last
        self.version = arguments.version
        self.step_seconds = arguments.step_ms / 1000
        self.slots = arguments.slots
        self.slot_semaphore = Semaphore(arguments.slots)
        self.waiting = 0
        self.leaving = False
        self.loading = False
        self.load_seconds = arguments.load_ms / 1000
        self.checks_orders = not arguments.unchecked
        self.epoch = 0
        self.orders: list[list[Any]] = []
        self.fences: dict[str, int] = {}
        # A file, so that the record of a killed engine is complete up to its last step.
        self.record = Path(arguments.record).open("ab", buffering=0)  # noqa: SIM115
        self.faults = Faults()
        self.http = urllib3.PoolManager(retries=False, maxsize=256)

    def generate(self, body: bytes, start_response: web.StartResponse) -> Iterable[bytes]:
        """Run an attempt as its first stage, and stream its frames."""
        order = msgspec.json.decode(body, type=wire.Generate)
        wrong = self.loading or order.version != self.version
        if self.faults.refuse or self.leaving or wrong:
            start_response("503 Refused", [("Content-Length", "0")])
            return []
        self.fences[order.request] = max(order.attempt, self.fences.get(order.request, 0))
        start_response("200 OK", [("Content-Type", "application/x-ndjson")])
        return self._frames(order)

    def _frames(self, order: wire.Generate) -> Iterator[bytes]:
        self.waiting += 1
        try:
            self.slot_semaphore.acquire()
        finally:
            self.waiting -= 1
        try:
            for index in range(len(order.committed), order.max_tokens):
                error = self._token(order, index)
                if error is not None:
                    yield msgspec.json.encode(error) + b"\n"
                    return
                yield from self._token_frames(order, index)
            end = wire.EndFrame(order.request, order.attempt, order.max_tokens, "length", self.load())
            yield msgspec.json.encode(end) + b"\n"
        finally:
            self.slot_semaphore.release()

    def _token_frames(self, order: wire.Generate, index: int) -> Iterator[bytes]:
        text = token_text(order.model, order.version, order.prompt, index)
        frame = wire.TokenFrame(order.request, order.attempt, index, text)
        line = msgspec.json.encode(frame) + b"\n"
        while self.faults.silent:
            eventlet.sleep(0.05)
        if self.faults.cut_after == index:
            raise ConnectionError("connection cut by the cut_after fault")
        if self.faults.stray_frames:
            stray = msgspec.structs.replace(frame, request="somebody-else", text="STRAY")
            yield msgspec.json.encode(stray) + b"\n"
            old = msgspec.structs.replace(frame, attempt=0, text="OLD")
            yield msgspec.json.encode(old) + b"\n"
        yield line
        if self.faults.repeat_frames:
            yield line

    def _token(self, order: wire.Generate, index: int) -> wire.ErrorFrame | None:
        if self.faults.token_delay:
            eventlet.sleep(self.faults.token_delay)
        for position, stage in enumerate(order.stages):
            step = Step(order.request, order.attempt, index, stage.first, stage.last)
            succeeded = self._run(step) if position == 0 else self._run_remote(stage, step)
            if not succeeded:
                return wire.ErrorFrame(order.request, order.attempt, "stage_failed", stage.backend)
        return None

    def _run(self, step: Step) -> bool:
        held = self.first <= step.first < step.last <= self.last
        if not held or step.attempt < self.fences.get(step.request, 0):
            return False
        self.fences[step.request] = step.attempt
        if self.step_seconds:
            eventlet.sleep(self.step_seconds)
        ended = time.monotonic()
        run = [step.request, step.attempt, step.index, step.first, step.last, ended]
        self.record.write(msgspec.json.encode(run) + b"\n")
        return True

    def _run_remote(self, stage: wire.Stage, step: Step) -> bool:
        url = f"http://{stage.address}/v1/step"
        try:
            response = self.http.request(
                "POST", url, body=msgspec.json.encode(step), timeout=STEP_TIMEOUT, retries=False
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def step(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Run one step as a later stage."""
        while self.faults.silent:
            eventlet.sleep(0.05)
        return (200, {}) if self._run(msgspec.json.decode(body, type=Step)) else (409, {})

    def cancel(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Fence an attempt: steps of it and of older attempts are refused from now on."""
        order = msgspec.json.decode(body, type=wire.Cancel)
        self.fences[order.request] = max(order.attempt + 1, self.fences.get(order.request, 0))
        return 200, {}

    def load(self) -> wire.Load:
        """Return the current load."""
        versions = [] if self.loading else [Version(self.version)]
        running = self.slots - self.slot_semaphore.counter
        return wire.Load(running, self.waiting, self.slots, self.leaving, versions, self.loading)

    def order(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Handle an order to hold a version: finish running requests, load the version, then serve it."""
        order = msgspec.json.decode(body, type=wire.HoldVersion)
        taken = order.epoch >= self.epoch or not self.checks_orders
        self.orders.append([order.epoch, order.version, taken, time.monotonic()])
        if not taken:
            return 409, {}
        self.epoch = max(self.epoch, order.epoch)
        if order.version != self.version and not self.loading:
            self.loading = True
            eventlet.spawn_n(self._load_version, order.version)
        return 200, {}

    def _load_version(self, version: str) -> None:
        while self.slot_semaphore.counter < self.slots:
            eventlet.sleep(0.01)
        eventlet.sleep(self.load_seconds)
        self.version, self.loading = version, False

    def set_faults(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Replace the faults."""
        self.faults = msgspec.json.decode(body, type=Faults)
        return 200, {}

    def leave(self, _: bytes, __: dict[str, Any]) -> tuple[int, Any]:
        """Start to leave: running streams finish, new requests are refused."""
        self.leaving = True
        return 200, {}


def main() -> None:
    """Run the stand-in."""
    parser = web.parser(__doc__ or "")
    parser.add_argument("--id", required=True)
    parser.add_argument("--first", type=int, required=True)
    parser.add_argument("--last", type=int, required=True)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--load-ms", type=float, default=300.0)
    parser.add_argument("--unchecked", action="store_true", help="accept orders of any epoch")
    parser.add_argument("--step-ms", type=float, default=1.0)
    parser.add_argument("--record", required=True, help="file in which to record the runs of layers")
    parser.add_argument("--slots", type=int, default=8)
    arguments = parser.parse_args()
    engine = Engine(arguments)
    started = time.monotonic()
    site = web.Site()
    site.streams = {f"POST {wire.GENERATE_PATH}": engine.generate}
    site.handlers = {
        "POST /v1/step": engine.step,
        f"POST {wire.CANCEL_PATH}": engine.cancel,
        f"GET {wire.LOAD_PATH}": lambda *_: (200, engine.load()),
        f"POST {wire.ORDER_PATH}": engine.order,
        "GET /standin/orders": lambda *_: (200, engine.orders),
        "POST /standin/faults": engine.set_faults,
        "POST /standin/leave": engine.leave,
        "GET /standin/age": lambda *_: (200, time.monotonic() - started),
    }
    web.serve(site, arguments.listen)


if __name__ == "__main__":
    main()
