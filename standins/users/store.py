"""Stand-in for the users' metadata store, which can be restored from an older copy."""

import base64
import threading
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec

from standins.users.faults import Faults
from standins.users.web import Handler, Server

RowKey = tuple[str, str]
"""Table and key of a row."""

StoredRow = tuple[int, bytes | None]
"""Version and value of a row; the value is None after its removal."""


class Undo(NamedTuple):
    """A log record that undoes one write, for restores of earlier versions."""

    at: float
    """Time of the write, in monotonic seconds."""

    version: int
    """Version of the store before the write."""

    key: RowKey
    before: StoredRow | None


class MetadataStore:
    """Versioned rows with conditional transactions and change feeds.

    Faults: busy (answers 503), silent (hangs, then resets), reset, lost (applies a transaction but resets
    its connection) and forgotten (feeds answer 410). The first two, followed by a space and the name of a
    table, affect calls for that table only.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, StoredRow] = {}
        self.version = 0
        self.epoch: int | None = 1
        """Grows with each restore; None if answers do not carry it."""

        self.restores = 0
        self.undo: list[Undo] = []
        """Undo records of all writes, oldest first."""

        self.changed = threading.Condition()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.server = Server(self)

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as JSON, as the operator or a server does."""
        self.put_bytes(table, key, msgspec.json.encode(value))

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Write a row of arbitrary bytes."""
        with self.changed:
            self._write([((table, key), value)])

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        with self.changed:
            self._write([((table, key), None)])

    def version_before(self, seconds: float) -> int:
        """Return the version that the store had some seconds ago."""
        with self.changed:
            oldest = time.monotonic() - seconds
            return next((undo.version for undo in self.undo if undo.at > oldest), self.version)

    def restore(self, version: int) -> dict[RowKey, bytes | None]:
        """Restore the state at an earlier version; feed calls in flight get no answer.

        :param version: the newest version in the copy.
        :return: the lost values of the rows whose newest writes are lost; None for a removal.
        """
        with self.changed:
            lost: dict[RowKey, bytes | None] = {}
            while self.undo and self.undo[-1].version >= version:
                undo = self.undo.pop()
                lost.setdefault(undo.key, self.rows[undo.key][1])
                self.version = undo.version
                if undo.before is None:
                    del self.rows[undo.key]
                else:
                    self.rows[undo.key] = undo.before
            self.restores += 1
            if self.epoch is not None:
                self.epoch += 1
            self.changed.notify_all()
            return lost

    def serve(self, handler: Handler, body: bytes) -> None:
        """Serve one API call."""
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls[url.path] += 1
        if self.epoch is not None:
            handler.extra["Store-Era"] = str(self.epoch)
        table = query.get("table", "")
        if self.faults.take("busy") or self.faults.take(f"busy {table}"):
            handler.json({}, 503)
        elif self.faults.take("silent") or self.faults.take(f"silent {table}"):
            time.sleep(5)
            handler.reset()
        elif self.faults.take("reset"):
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
        if self.faults.take("forgotten") or after > self.version:
            handler.json({}, 410)
            return
        restores = self.restores
        with self.changed:
            while True:
                if self.restores != restores:
                    handler.reset()
                    return
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
            against = [(t, k) for t, k, v in expected if self._version(t, k) != v]
            if not against:
                puts = [((p["table"], p["key"]), base64.b64decode(p["value"])) for p in order["put"]]
                self._write([*puts, *(((r["table"], r["key"]), None) for r in order["remove"])])
        if self.faults.take("lost"):
            handler.reset()
        elif against:
            handler.json({"rows": [self._row(k) for k in against if k in self.rows], "ver": 0}, 412)
        else:
            handler.json({"ver": self.version, "now_ms": 0})

    def _write(self, writes: Sequence[tuple[RowKey, bytes | None]]) -> None:
        """Apply the writes of one transaction; the caller holds the lock."""
        before, at = self.version, time.monotonic()
        self.version += 1
        for key, value in writes:
            self.undo.append(Undo(at, before, key, self.rows.get(key)))
            self.rows[key] = (self.version, value)
        self.changed.notify_all()

    def _version(self, table: str, key: str) -> int:
        version, value = self.rows.get((table, key), (0, None))
        return version if value is not None else 0

    def _row(self, key: tuple[str, str]) -> dict[str, Any]:
        version, value = self.rows[key]
        row: dict[str, Any] = {"table": key[0], "part": "", "key": key[1], "ver": version}
        if value is None:
            return {**row, "gone": True}
        return {**row, "value": base64.b64encode(value).decode()}
