"""Callers: each keeps its connection until it is gone, and writes down what came of each request."""

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
"""How long a caller waits for more of an answer; the stand-in's longest route takes 5 s."""
REQUESTS_A_CONNECTION = 12
PAUSE_SECONDS = 0.05
OLD_KEY_PART = 0.25
LEAVE_EVERY = 11
"""Of so many requests one is left by its caller when it is a stream."""
METHODS = {Kind.STREAM: "POST", Kind.REPEATABLE: "GET", Kind.ONCE: "POST"}

_numbers = itertools.count(1)

Choose = Callable[[], tuple[str, str] | None]
"""Returns a daemon's name with its incarnation and its address, as a balancer would."""


class Callers:
    """Some callers, each in a thread of its own.

    :param journal: takes what they see.
    :param choose: the balancer.
    :param keys: returns the keys that callers may use now.
    :param old_keys: returns keys that were taken away, which some callers still use.
    :param seed: of their choices.
    """

    def __init__(
        self,
        journal: Journal,
        choose: Choose,
        keys: Callable[[], list[str]],
        old_keys: Callable[[], list[str]],
        seed: int,
    ) -> None:
        self.journal = journal
        self.choose = choose
        self.keys = keys
        self.old_keys = old_keys
        self.seed = seed
        self.stopping = threading.Event()
        self.threads: list[threading.Thread] = []

    def __repr__(self) -> str:
        return f"<Callers {len(self.threads)}>"

    def start(self, count: int) -> None:
        """Start callers."""
        for number in range(count):
            rng = random.Random(f"{self.seed}/{number}")
            self.threads.append(threading.Thread(target=self._run, args=(rng,), daemon=True))
            self.threads[-1].start()

    def stop(self) -> None:
        """Have all callers end after their requests under way."""
        self.stopping.set()
        for thread in self.threads:
            thread.join(2 * ANSWER_SECONDS)

    def ask(self, connection: http.client.HTTPConnection, daemon: str, kind: Kind, key: str) -> Record:
        """Send one request and read its answer to the end.

        :param connection: kept or new.
        :param daemon: whom it leads to.
        :param kind: what is asked.
        :param key: the caller's key.
        :return: what came of it; it is in the journal too.
        """
        record = Record(f"q{self.seed}-{next(_numbers)}", kind, key, daemon, time.monotonic())
        self.journal.records.append(record)
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": record.request,
            "X-Key": key,
            "X-Deadline-Ms": "4000",
            "X-Token-Counts": "20,24",
        }
        body = b"some words" if METHODS[kind] == "POST" else None
        try:
            connection.request(METHODS[kind], f"/{kind.value}/x", body, headers)
            answer = connection.getresponse()
            record.status = answer.status
            if self.leaves(record):
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

    def leaves(self, record: Record) -> bool:
        """Tell whether the caller hangs up in the middle of this answer."""
        number = int(record.request.rpartition("-")[2])
        return record.kind is Kind.STREAM and number % LEAVE_EVERY == 0

    def _run(self, rng: random.Random) -> None:
        while not self.stopping.is_set():
            chosen = self.choose()
            if chosen is None:
                time.sleep(PAUSE_SECONDS)
                continue
            self._use(rng, *chosen)

    def _use(self, rng: random.Random, daemon: str, address: str) -> None:
        """Send requests on one connection until it ends."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_SECONDS)
        # A request that found the connection closed is the caller's to send anew, not the library's.
        connection.auto_open = 0
        try:
            connection.connect()
        except OSError:
            time.sleep(PAUSE_SECONDS)
            return
        for _ in range(REQUESTS_A_CONNECTION):
            old = self.old_keys()
            keys = old if old and rng.random() < OLD_KEY_PART else self.keys()
            kind, key = rng.choice(list(Kind)), rng.choice(keys)
            record = self.ask(connection, daemon, kind, key)
            if self.stopping.is_set() or not record.whole or connection.sock is None:
                break
            time.sleep(PAUSE_SECONDS * rng.random())
        with suppress(OSError):
            connection.close()
