"""Stand-in for the platform: table service, object store and host list.

Faults are set with ``POST /standin/faults``: ``out`` refuses all requests, ``table_out``
those for the table, ``delay`` delays every answer, ``lose_answers`` answers the next
writes with an error after they took effect, and ``writes_per_second`` limits writes.
``POST /standin/save`` copies the table, and ``POST /standin/restore`` restores that copy.
"""

import time
from typing import Any

import eventlet
import msgspec

from bayglade import rows
from bayglade.table import wire
from standins import web


class Faults(msgspec.Struct):
    """The faults that are active."""

    out: bool = False
    table_out: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    writes_per_second: float = 0.0


class Table:
    """Rows, objects and hosts, held in memory."""

    def __init__(self) -> None:
        self.table: dict[str, rows.Row] = {}
        self.saved: dict[str, rows.Row] = {}
        self.objects: dict[str, bytes] = {}
        self.hosts: dict[str, wire.Host] = {}
        self.faults = Faults()
        self.writes = 0
        self.reads = 0
        self.next_write = 0.0

    def read(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Answer a read of several rows."""
        self.reads += 1
        keys = msgspec.json.decode(body, type=wire.ReadRows).keys
        return 200, wire.Rows({key: self.table[key] for key in keys if key in self.table})

    def transact(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Apply a transaction if all its conditions hold."""
        self._limit_writes()
        self.writes += 1
        order = msgspec.json.decode(body, type=rows.Transaction)
        conflicts = [c.key for c in order.conditions if self._version(c.key) != c.version]
        if conflicts:
            return 200, rows.TransactionResult(False, conflicts)
        for write in order.writes:
            self.table[write.key] = rows.Row(self._version(write.key) + 1, write.value)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return 500, {"error": "lost"}
        return 200, rows.TransactionResult(True)

    def _version(self, key: str) -> int:
        return self.table[key].version if key in self.table else rows.ABSENT

    def _limit_writes(self) -> None:
        if not self.faults.writes_per_second:
            return
        now = time.monotonic()
        self.next_write = max(self.next_write, now) + 1 / self.faults.writes_per_second
        eventlet.sleep(self.next_write - now)

    def put_object(self, body: bytes, environ: dict[str, Any]) -> tuple[int, Any]:
        """Store an object, unless it exists already."""
        self.objects.setdefault(environ["PATH_INFO"].rpartition("/")[2], body)
        return 201, {}

    def get_object(self, _: bytes, environ: dict[str, Any]) -> tuple[int, Any]:
        """Return an object."""
        content = self.objects.get(environ["PATH_INFO"].rpartition("/")[2])
        return (404, {}) if content is None else (200, content)

    def list_hosts(self, _: bytes, __: dict[str, Any]) -> tuple[int, Any]:
        """Return the host list."""
        return 200, wire.Hosts([msgspec.Raw(msgspec.json.encode(host)) for host in self.hosts.values()])

    def set_host(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Add or replace a host in the list."""
        host = msgspec.json.decode(body, type=wire.Host)
        self.hosts[host.id] = host
        return 200, {}

    def remove_host(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Remove a host from the list."""
        self.hosts.pop(msgspec.json.decode(body, type=str), None)
        return 200, {}

    def set_faults(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Replace the faults."""
        self.faults = msgspec.json.decode(body, type=Faults)
        return 200, {}

    def save(self, _: bytes, __: dict[str, Any]) -> tuple[int, Any]:
        """Copy the table, to be restored later."""
        self.saved = dict(self.table)
        return 200, {}

    def restore(self, _: bytes, __: dict[str, Any]) -> tuple[int, Any]:
        """Restore the table from the saved copy."""
        self.table = dict(self.saved)
        return 200, {}

    def counts(self, _: bytes, __: dict[str, Any]) -> tuple[int, Any]:
        """Return the number of reads, writes and rows."""
        return 200, {"reads": self.reads, "writes": self.writes, "rows": len(self.table)}


def main() -> None:
    """Run the stand-in."""
    arguments = web.parser(__doc__ or "").parse_args()
    table = Table()
    site = web.Site()

    def with_faults(handler: web.Handler) -> web.Handler:
        def run(body: bytes, environ: dict[str, Any]) -> tuple[int, Any]:
            if table.faults.delay:
                eventlet.sleep(table.faults.delay)
            in_table = environ["PATH_INFO"].startswith("/v1/table/")
            if table.faults.out or (table.faults.table_out and in_table):
                return 503, {"error": "out"}
            return handler(body, environ)

        return run

    site.handlers = {
        f"POST {wire.TABLE_READ_PATH}": with_faults(table.read),
        f"POST {wire.TABLE_TRANSACT_PATH}": with_faults(table.transact),
        f"PUT {wire.OBJECT_PATH}": with_faults(table.put_object),
        f"GET {wire.OBJECT_PATH}": with_faults(table.get_object),
        f"GET {wire.HOSTS_PATH}": with_faults(table.list_hosts),
        "POST /standin/hosts": table.set_host,
        "POST /standin/hosts/remove": table.remove_host,
        "POST /standin/faults": table.set_faults,
        "POST /standin/save": table.save,
        "POST /standin/restore": table.restore,
        "GET /standin/counts": table.counts,
    }
    web.serve(site, arguments.listen)


if __name__ == "__main__":
    main()
