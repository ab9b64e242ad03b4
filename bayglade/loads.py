"""Load generator: sends requests at a fixed rate, whether or not answers arrive.

Arrivals are drawn from a seed and don't depend on answers (open loop), so a slow system doesn't slow
its own load. Latencies are recorded in histograms of known precision.
"""

import random
import uuid
from collections import Counter
from pathlib import Path

import eventlet
import msgspec
import urllib3
from hdrh.histogram import HdrHistogram

from bayglade.clock import now
from bayglade.config import parse_address
from bayglade.responses import OUTCOME_HEADER

MICROSECONDS = 1_000_000
MAX_MICROSECONDS = 600 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
POOL_SIZE = 2048
PERCENTILES = (50.0, 95.0, 99.0)
CHUNK_BYTES = 16 * 1024


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A load to generate: requests per second for a number of seconds, drawn from one seed."""

    addresses: list[str]
    key: str
    model: str
    rate: float
    seconds: float
    max_tokens: int
    prompt: str = "the way from gate 4 to gate 11"
    deadline: float = 10.0
    seed: int = 1
    trace: str | None = None
    """File for one line per request: when it was due, when it ended, and its outcome."""

    service: str | None = None
    """Call a plain service instead, given as ``NAME/PATH``, with a new idempotency key for each call."""


class Latencies(msgspec.Struct):
    """Percentiles of one latency, in milliseconds."""

    count: int
    p50: float
    p95: float
    p99: float
    highest: float


class Result(msgspec.Struct):
    """The result of a load."""

    sent: int
    good: int
    tokens: int
    seconds: float
    errors: dict[str, int]
    first_token: Latencies
    token_gap: Latencies
    whole: Latencies

    @property
    def tokens_per_second(self) -> float:
        """Tokens of complete and broken answers over the whole run."""
        return self.tokens / self.seconds


class _Recorder:
    """Records outcomes and latencies while a load runs."""

    def __init__(self) -> None:
        self.first_token = _histogram()
        self.token_gap = _histogram()
        self.whole = _histogram()
        self.errors: Counter[str] = Counter()
        self.good = 0
        self.tokens = 0
        self.trace: list[str] = []

    def record_end(self, due: float, outcome: str) -> None:
        """Record the end of one request."""
        if outcome == "good":
            self.good += 1
        else:
            self.errors[outcome] += 1
        self.trace.append(f"{due:.4f} {now():.4f} {outcome.replace(' ', '_')}")


def run(plan: Plan) -> Result:
    """Generate a load to its end.

    :param plan: what to send.
    :return: the result.
    """
    recorder = _Recorder()
    pools = [_connection_pool(address) for address in plan.addresses]
    rng = random.Random(plan.seed)
    tasks = []
    started = now()
    due = started
    while (due := due + rng.expovariate(plan.rate)) < started + plan.seconds:
        eventlet.sleep(max(0.0, due - now()))
        tasks.append(eventlet.spawn(_send, plan, rng.choice(pools), due, recorder))
    for task in tasks:
        task.wait()
    if plan.trace is not None:
        Path(plan.trace).write_text("\n".join(recorder.trace) + "\n", encoding="utf-8")
    return Result(
        sent=len(tasks),
        good=recorder.good,
        tokens=recorder.tokens,
        seconds=now() - started,
        errors=dict(recorder.errors),
        first_token=_latencies(recorder.first_token),
        token_gap=_latencies(recorder.token_gap),
        whole=_latencies(recorder.whole),
    )


def _send(plan: Plan, pool: urllib3.HTTPConnectionPool, due: float, recorder: _Recorder) -> None:
    """Send one request; its latencies count from when it was due."""
    headers = {"Authorization": f"Bearer {plan.key}", "Bayglade-Deadline": str(plan.deadline)}
    if plan.service is not None:
        headers["Idempotency-Key"] = uuid.uuid4().hex
    try:
        response = pool.urlopen(
            "POST",
            "/v1/completions" if plan.service is None else f"/services/{plan.service}",
            body=msgspec.json.encode(_body(plan)),
            headers=headers,
            timeout=urllib3.Timeout(connect=5.0, read=plan.deadline + 5.0),
            retries=False,
            redirect=False,
            preload_content=False,
        )
        if response.status != 200:
            outcome = response.headers.get(OUTCOME_HEADER, "")
            recorder.record_end(due, f"{response.status} {outcome}".strip())
            response.drain_conn()
            return
        if plan.service is None:
            _read_stream(response, due, recorder)
            return
        response.drain_conn()
        recorder.record_end(due, "good")
        _record(recorder.whole, now() - due)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        recorder.record_end(due, type(error).__name__)


def _read_stream(response: urllib3.BaseHTTPResponse, due: float, recorder: _Recorder) -> None:
    last = 0.0
    tail = b""
    for chunk in response.read_chunked(CHUNK_BYTES):
        at = now()
        events = chunk.count(b"data: ")
        tail = (tail + chunk)[-64:]
        if not last:
            _record(recorder.first_token, at - due)
        else:
            _record(recorder.token_gap, (at - last) / max(1, events))
        last = at
        recorder.tokens += events
    if tail.endswith(b"data: [DONE]\n\n"):
        # The end event and the [DONE] marker are no tokens.
        recorder.tokens -= 2
        recorder.record_end(due, "good")
        _record(recorder.whole, last - due)
    else:
        recorder.record_end(due, "ended by an error")


def _body(plan: Plan) -> dict[str, object]:
    return {"model": plan.model, "prompt": plan.prompt, "max_tokens": plan.max_tokens, "stream": True}


def _connection_pool(address: str) -> urllib3.HTTPConnectionPool:
    where = parse_address(address)
    return urllib3.HTTPConnectionPool(where.host, where.port, maxsize=POOL_SIZE, retries=False)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


def _record(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(max(1, int(seconds * MICROSECONDS)))


def _latencies(histogram: HdrHistogram) -> Latencies:
    p50, p95, p99 = (histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES)
    return Latencies(histogram.get_total_count(), p50, p95, p99, histogram.get_max_value() / 1000)
