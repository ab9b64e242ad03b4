"""Demand by three urgencies above what the model servers can run, and the guarantees that hold then."""

import http.client
import random
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

from soak.callers import ANSWER_SECONDS, DEADLINE_SECONDS, PAUSE_SECONDS, Callers
from soak.checks import NOT_RUN, SLACK_SECONDS
from soak.records import Journal, Kind, Record
from soak.site import SoakSite
from standins.users import LAYERS, MODEL, with_urgencies

URGENCIES = (0, 1, 2)
"""Urgencies on the wire; 0 is the most urgent."""
CALLERS_PER_URGENCY = 8
"""Together three times as many as the streams that two halls of six servers run at once."""
MAX_UNCOVERED_SECONDS = 2.0
"""How long the model may be complete nowhere. The servers of the stand-in load at once, so nothing is
added for the time that loading takes."""
SAMPLE_SECONDS = 0.02
MIN_ASKED = 50
"""Attempts of an urgency from which on its served part is compared."""
MIN_SERVED_PART = 0.25
"""Least served part of an urgency, as a part of the served part of all."""
HONOURED_PART = 1 / 3
"""Callers honour a ``Retry-After`` up to this part of the time left."""
RETRY_SLACK_SECONDS = 0.2
SERVER_LAYERS = 7
"""Layers for which a server of the stand-in has memory beside the configured cache."""


def write_configuration(site: SoakSite) -> None:
    """Write the configuration with a route for each urgency."""
    site.version += 3
    site.configuration = {**with_urgencies(site.configuration, URGENCIES), "version": site.version}
    site.store.put("op", "config", site.configuration)


class PressedCallers:
    """Callers of each urgency that retry once after a refusal, on a new connection.

    :param pool: sends and records the requests.
    :param site: chooses the daemons.
    :param seed: seed of their pauses.
    """

    def __init__(self, pool: Callers, site: SoakSite, seed: int) -> None:
        self.pool = pool
        self.site = site
        self.seed = seed
        self.stopping = threading.Event()
        self.threads: list[threading.Thread] = []

    def __repr__(self) -> str:
        return f"<PressedCallers {len(self.threads)}>"

    def start(self) -> None:
        """Start the callers."""
        for urgency in URGENCIES:
            for number in range(CALLERS_PER_URGENCY):
                rng = random.Random(f"{self.seed}/{urgency}/{number}")
                thread = threading.Thread(target=self._run, args=(urgency, rng), daemon=True)
                self.threads.append(thread)
                thread.start()

    def stop(self) -> None:
        """Have all callers end after their requests in flight."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(2 * ANSWER_SECONDS)

    def _run(self, urgency: int, rng: random.Random) -> None:
        while not self.stopping.is_set():
            until = time.monotonic() + DEADLINE_SECONDS
            record = self._send(urgency, until)
            if record is not None and record.status in NOT_RUN:
                left = max(0.0, until - time.monotonic())
                self.stopping.wait(min(record.retry_after or 0.0, HONOURED_PART * left))
                if not self.stopping.is_set() and time.monotonic() < until:
                    self._send(urgency, until)
            self.stopping.wait(PAUSE_SECONDS * rng.random())

    def _send(self, urgency: int, until: float) -> Record | None:
        """Send a request that states the time left as its deadline; return None if no daemon accepts it."""
        chosen = self.site.choose_daemon()
        if chosen is None:
            return None
        daemon, address = chosen
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_SECONDS)
        # Without this http.client would silently reconnect and send a request again.
        connection.auto_open = 0
        try:
            connection.connect()
        except OSError:
            self.stopping.wait(PAUSE_SECONDS)
            return None
        left = max(0.001, until - time.monotonic())
        record = self.pool.send(connection, daemon, Kind.STREAM, self.site.keys[-1], urgency, left)
        with suppress(OSError):
            connection.close()
        return record


class CoverageWatch:
    """Measures how long the model is complete nowhere, by what the servers of the stand-in hold.

    :param held: returns the spans of layers of the servers that are alive.
    """

    def __init__(self, held: Callable[[], list[tuple[int, int]]]) -> None:
        self.held = held
        self.gaps: list[tuple[float, float]] = []
        """Spans in which some layer had no holder while servers enough for one path were alive."""

        self.since: float | None = None
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __repr__(self) -> str:
        return f"<CoverageWatch {len(self.gaps)} gaps>"

    def start(self) -> None:
        """Start measuring."""
        self.thread.start()

    def stop(self) -> None:
        """Stop measuring."""
        self.stopping.set()
        self.thread.join()
        self._end_gap(time.monotonic())

    def sample(self, at: float) -> None:
        """Take in what the servers hold at a time."""
        spans = self.held()
        layers = {layer for span in spans for layer in range(*span)}
        if len(layers) == LAYERS or len(spans) * SERVER_LAYERS < LAYERS:
            self._end_gap(at)
        elif self.since is None:
            self.since = at

    def longest(self) -> float:
        """Return the length of the longest gap, in seconds."""
        return max((until - since for since, until in self.gaps), default=0.0)

    def _run(self) -> None:
        while not self.stopping.wait(SAMPLE_SECONDS):
            self.sample(time.monotonic())

    def _end_gap(self, at: float) -> None:
        if self.since is not None:
            self.gaps.append((self.since, at))
        self.since = None


def watch_site(site: SoakSite) -> CoverageWatch:
    """Return a watch of the model servers of a site."""
    return CoverageWatch(lambda: [server.held for server in site.of(MODEL)])


def served_parts(records: Iterable[Record]) -> dict[int, tuple[int, int]]:
    """Count the attempts of each urgency, first ones and retries.

    :return: the attempts that were served and those that were made, by urgency.
    """
    counts: dict[int, tuple[int, int]] = {}
    for record in records:
        if record.urgency is not None:
            served, asked = counts.get(record.urgency, (0, 0))
            is_served = record.status == 200 and (record.whole or record.error == "left")
            counts[record.urgency] = (served + is_served, asked + 1)
    return counts


def check_pressure(journal: Journal, watch: CoverageWatch) -> list[str]:
    """Check the guarantees under pressure.

    :param journal: the requests as their callers saw them.
    :param watch: the gaps of coverage.
    :return: the violations, one line each.
    """
    return [
        *(
            f"coverage: the model was complete nowhere for {until - since:.2f} s, from {since:.2f}"
            for since, until in watch.gaps
            if until - since > MAX_UNCOVERED_SECONDS
        ),
        *_urgencies(served_parts(journal.records)),
        *_refusals(journal.records),
    ]


def _urgencies(counts: dict[int, tuple[int, int]]) -> Iterator[str]:
    """Check that the most urgent requests are served no less than the least urgent, and none too little."""
    parts = {urgency: served / asked for urgency, (served, asked) in counts.items() if asked >= MIN_ASKED}
    if len(parts) < 2:
        return
    first, last = min(parts), max(parts)
    if parts[first] < parts[last]:
        yield f"urgency: {parts[first]:.3f} of {first} served, {parts[last]:.3f} of {last}"
    of_all = sum(served for served, _ in counts.values()) / sum(asked for _, asked in counts.values())
    for urgency, part in parts.items():
        if part < MIN_SERVED_PART * of_all:
            yield f"urgency: {part:.3f} of {urgency} served, {of_all:.3f} of all"


def _refusals(records: Iterable[Record]) -> Iterator[str]:
    """Check what refused callers were told, and that no request was held longer than its deadline."""
    for record in records:
        if record.urgency is None:
            continue
        took = record.ended_at - record.sent_at
        if took > record.deadline + SLACK_SECONDS:
            yield f"held: {record.request} ended {took:.2f} s after it was sent, {record.deadline:.2f} due"
        if record.status not in NOT_RUN:
            continue
        most = HONOURED_PART * max(0.0, record.deadline - took) + RETRY_SLACK_SECONDS
        if record.retry_after is None or not 0 < record.retry_after <= most:
            told = record.retry_after
            yield f"retry: {record.request} got {record.status}, Retry-After {told}, at most {most:.2f}"
