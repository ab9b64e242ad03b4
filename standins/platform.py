"""Stand-in of the platform: table service, object store and host list.

Faults are set with ``POST /standin/faults``: ``out`` refuses everything,
``delay`` slows every answer, ``lose_answers`` drops the next answers of writes
after they took effect, ``restore`` puts the table back to a saved copy.
"""

import time
from typing import Any

import eventlet
import msgspec

from bayglade import rows
from bayglade.table import wire
from standins import web


class Faults(msgspec.Struct):
    """What the stand-in does wrong just now."""

    out: bool = False
    table_out: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    writes_per_second: float = 0.0


class Table:
    """Rows, objects and hosts, in memory."""

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
        """Apply a transaction when all its conditions hold."""
        self._pace()
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

    def _pace(self) -> None:
        if not self.faults.writes_per_second:
            return
        now = time.monotonic()
        self.next_write = max(self.next_write, now) + 1 / self.faults.writes_per_second
        eventlet.sleep(self.next_write - now)

    def put_object(self, body: bytes, environ: dict[str, Any]) -> tuple[int, Any]:
        """Keep an object, unless it is there already."""
        self.objects.setdefault(environ["PATH_INFO"].rpartition("/")[2], body)
        return 201, {}

    def get_object(self, _: bytes, environ: dict[str, Any]) -> tuple[int, Any]:
        """Answer with an object."""
        content = self.objects.get(environ["PATH_INFO"].rpartition("/")[2])
        return (404, {}) if content is None else (200, content)

    def list_hosts(self, _: bytes, __: dict[str, Any]) -> tuple[int, Any]:
        """Answer with the host list."""
        return 200, wire.Hosts(list(self.hosts.values()))

    def set_host(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Add or change one host of the list."""
        host = msgspec.json.decode(body, type=wire.Host)
        self.hosts[host.id] = host
        return 200, {}

    def remove_host(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Take one host off the list."""
        self.hosts.pop(msgspec.json.decode(body, type=str), None)
        return 200, {}

    def set_faults(self, body: bytes, _: dict[str, Any]) -> tuple[int, Any]:
        """Replace the faults."""
        self.faults = msgspec.json.decode(body, type=Faults)
        return 200, {}

    def save(self, _: bytes, __: dict[str, Any]) -> tuple[int, Any]:
        """Keep a copy of the table to restore later."""
        self.saved = dict(self.table)
        return 200, {}

    def restore(self, _: bytes, __: dict[str, Any]) -> tuple[int, Any]:
        """Put the table back to the saved copy."""
        self.table = dict(self.saved)
        return 200, {}

    def counts(self, _: bytes, __: dict[str, Any]) -> tuple[int, Any]:
        """Tell how many reads and writes there were."""
        return 200, {"reads": self.reads, "writes": self.writes, "rows": len(self.table)}


def main() -> None:
    """Run the stand-in."""
    arguments = web.parser(__doc__ or "").parse_args()
    table = Table()
    site = web.Site()

    def guarded(handler: web.Handler) -> web.Handler:
        def run(body: bytes, environ: dict[str, Any]) -> tuple[int, Any]:
            if table.faults.delay:
                eventlet.sleep(table.faults.delay)
            in_table = environ["PATH_INFO"].startswith("/v1/table/")
            if table.faults.out or (table.faults.table_out and in_table):
                return 503, {"error": "out"}
            return handler(body, environ)

        return run

    site.handlers = {
        f"POST {wire.TABLE_READ_PATH}": guarded(table.read),
        f"POST {wire.TABLE_TRANSACT_PATH}": guarded(table.transact),
        f"PUT {wire.OBJECT_PATH}": guarded(table.put_object),
        f"GET {wire.OBJECT_PATH}": guarded(table.get_object),
        f"GET {wire.HOSTS_PATH}": guarded(table.list_hosts),
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
