"""Callers: threads that send requests on persistent connections and record the outcome of each."""

import http.client
import itertools
import random
import threading
import time
from collections.abc import Callable
from contextlib import suppress

from soak.records import Journal, Kind, Record
from standins.users import HOST_NAME

ANSWER_SECONDS = 6.0
"""Read timeout of a caller; the longest route timeout of the stand-in is 5 s."""
DEADLINE_SECONDS = 4.0
PRESSED_TOKEN_COUNTS = "44,12"
"""Tokens of the prompt and of the answer, for which :func:`with_urgencies` leaves little memory."""
COMMON_PART = "aa01"
"""Id of the part that all prompts share."""
REQUESTS_PER_CONNECTION = 12
PAUSE_SECONDS = 0.05
OLD_KEY_FRACTION = 0.25
HANG_UP_EVERY = 11
"""The caller hangs up in the middle of every n-th request, if that is a stream."""
METHODS = {Kind.STREAM: "POST", Kind.REPEATABLE: "GET", Kind.ONCE: "POST"}

_numbers = itertools.count(1)

ChooseDaemon = Callable[[], tuple[str, str] | None]
"""Picks a daemon as a load balancer does; returns its name with its incarnation, and its address."""


def _last_event(record: Record) -> int:
    """Return the last whole event of a stream; 0 if there is none."""
    if record.kind is not Kind.STREAM or record.status != 200:
        return 0
    whole = record.body[: record.body.rfind(b"\n\n") + 2]
    return int(whole.rpartition(b"id: ")[2].partition(b"\n")[0] or 0)


class Callers:
    """A pool of callers, each in a thread of its own.

    :param journal: receives a record of each request.
    :param choose: picks a daemon for each new connection.
    :param keys: returns the keys that are valid now.
    :param old_keys: returns revoked keys, which callers go on using now and then.
    :param seed: seed of their random choices.
    """

    def __init__(
        self,
        journal: Journal,
        choose: ChooseDaemon,
        keys: Callable[[], list[str]],
        old_keys: Callable[[], list[str]],
        seed: int,
    ) -> None:
        self.journal = journal
        self.choose = choose
        self.keys = keys
        self.old_keys = old_keys
        self.seed = seed
        self.resume_streams = False
        """Whether they take up streams whose connections break."""

        self.stopping = threading.Event()
        self.threads: list[threading.Thread] = []

    def __repr__(self) -> str:
        return f"<Callers {len(self.threads)}>"

    def start(self, count: int) -> None:
        """Start a number of callers."""
        for number in range(count):
            rng = random.Random(f"{self.seed}/{number}")
            self.threads.append(threading.Thread(target=self._run, args=(rng,), daemon=True))
            self.threads[-1].start()

    def stop(self) -> None:
        """Have all callers end after their requests in flight."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(2 * ANSWER_SECONDS)

    def send(
        self,
        connection: http.client.HTTPConnection,
        daemon: str,
        kind: Kind,
        key: str,
        urgency: int | None = None,
        deadline: float = DEADLINE_SECONDS,
        after: int = 0,
    ) -> Record:
        """Send one request and read its answer to the end.

        :param connection: a new or reused connection.
        :param daemon: name and incarnation of the daemon it leads to.
        :param kind: kind of the request.
        :param key: the caller's key.
        :param urgency: urgency on the wire, for a stream to the route of that urgency.
        :param deadline: seconds that the caller states as the time left.
        :param after: the event after which a stream is taken up.
        :return: the outcome, which is added to the journal as well.
        """
        record = Record(f"q{self.seed}-{next(_numbers)}", kind, key, daemon, time.monotonic())
        record.urgency, record.deadline, record.after = urgency, deadline, after
        self.journal.records.append(record)
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": record.request,
            "X-Key": key,
            "X-Deadline-Ms": str(round(1000 * deadline)),
            "X-Token-Counts": "20,24" if urgency is None else PRESSED_TOKEN_COUNTS,
        }
        if kind is Kind.STREAM:
            headers["X-Prompt-Prefix"] = f"{COMMON_PART}:10,{record.request}:10"
        if after:
            headers["Last-Event-Id"] = str(after)
        body = b"some words" if METHODS[kind] == "POST" else None
        if urgency is not None:
            # Equal requests would be held back as ones that crash servers when several servers crash.
            body = f"some words of {record.request}".encode()
        try:
            connection.request(
                METHODS[kind], f"/{kind.value}{'' if urgency is None else urgency}/x", body, headers
            )
            answer = connection.getresponse()
            record.status = answer.status
            if told := answer.headers.get("Retry-After"):
                record.retry_after = float(told)
            if self.hangs_up(record):
                answer.read(1)
                record.error = "left"
                connection.close()
            else:
                record.body = answer.read()
                record.whole = True
        except TimeoutError:
            record.error = "silent"
        except (OSError, http.client.HTTPException) as error:
            record.error = "cut"
            if isinstance(error, http.client.IncompleteRead):
                record.body = error.partial
        record.ended_at = time.monotonic()
        return record

    def _take_up(self, key: str, after: int) -> None:
        """Take up a stream whose connection broke, at any daemon."""
        chosen = self.choose()
        if chosen is None:
            return
        daemon, address = chosen
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_SECONDS)
        self.send(connection, daemon, Kind.STREAM, key, after=after)
        with suppress(OSError):
            connection.close()

    def hangs_up(self, record: Record) -> bool:
        """Return whether the caller hangs up in the middle of this answer."""
        number = int(record.request.rpartition("-")[2])
        return record.kind is Kind.STREAM and number % HANG_UP_EVERY == 0

    def _run(self, rng: random.Random) -> None:
        while not self.stopping.is_set():
            chosen = self.choose()
            if chosen is None:
                time.sleep(PAUSE_SECONDS)
                continue
            self._use_connection(rng, *chosen)

    def _use_connection(self, rng: random.Random, daemon: str, address: str) -> None:
        """Send requests on one connection until it closes."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_SECONDS)
        # Without this http.client would silently reconnect and send a request again.
        connection.auto_open = 0
        try:
            connection.connect()
        except OSError:
            time.sleep(PAUSE_SECONDS)
            return
        for _ in range(REQUESTS_PER_CONNECTION):
            old = self.old_keys()
            current = self.keys()
            keys = old if old and (not current or rng.random() < OLD_KEY_FRACTION) else current
            kind, key = rng.choice(list(Kind)), rng.choice(keys)
            record = self.send(connection, daemon, kind, key)
            if self.resume_streams and record.error == "cut" and (last := _last_event(record)):
                self._take_up(key, last)
            if self.stopping.is_set() or not record.whole or connection.sock is None:
                break
            time.sleep(PAUSE_SECONDS * rng.random())
        with suppress(OSError):
            connection.close()
