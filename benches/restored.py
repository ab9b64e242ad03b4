"""Cost of a restore of the store from an older copy. Run as ``python -m benches.restored``.

Messages are counted with the real feeds and fan-out in virtual time (tests/fleets.py); bytes and
CPU time come from packing whole tables, as a daemon does for the daemons that poll it.
"""

import random
import sys
import time
from collections import Counter
from importlib import import_module
from typing import Any

import eventlet
import msgspec

from bayglade import epochs, fanout, feeds, readers
from bayglade.entries.wire import Updates
from bayglade.fanout import decode_rows, encode_rows
from bayglade.ids import MemberId, StoreEpoch
from benches.common import print_table
from standins import virtual_time
from standins.users import KEY, configuration

# Imported by name, because these modules are not type-checked as strictly.
fleets = import_module("tests.fleets")
server_rows = import_module("tests.server_rows")

SIZES = ((64, 3), (195, 5), (440, 11))
"""Numbers of daemons and data halls."""
ROUTES, SERVERS = 2000, 1300
SECOND = 1.0


def count_messages(daemons: int, halls: int) -> tuple[int, int, int]:
    """Count the messages in the second after a restore.

    :return: calls to the store, whole tables sent by all daemons, and those sent by the busiest daemon.
    """
    sent: Counter[MemberId] = Counter()
    fleet = fleets.Fleet(daemons, halls, 1)
    fleet.store.epoch = StoreEpoch(1)
    for table in fleet.store.versions:
        for _ in range(10):
            fleet.store.write(table)
    fleet.start()
    eventlet.sleep(8.0)
    for daemon in fleet.daemons.values():
        push = daemon.fanout.send

        def counted(member: MemberId, message: object, me: MemberId = daemon.name, push=push) -> None:  # type: ignore[no-untyped-def]
            if isinstance(message, Updates):
                sent[me] += sum(u.after is None and bool(u.rows) for u in message.tables.values())
            push(member, message)

        daemon.fanout.send = counted
    calls = fleet.store.calls.total()
    fleet.store.restore(5)
    eventlet.sleep(SECOND)
    return fleet.store.calls.total() - calls, sent.total(), max(sent.values(), default=0)


def measure_packing() -> list[list[object]]:
    """Measure packing and unpacking of whole tables."""
    rng = random.Random(1)
    document = configuration(1, (KEY,), {})
    names = [f"{rng.getrandbits(32):08x}" for _ in range(ROUTES)]
    route = document["routes"][0]
    document["routes"] = [{**route, "name": name, "pathPrefix": f"/{name}/"} for name in names]
    servers = [f"i-{rng.getrandbits(40):010x}" for _ in range(SERVERS)]
    rows = {
        "document": {"config": msgspec.Raw(msgspec.json.encode(document))},
        "servers": {name: msgspec.Raw(msgspec.json.encode(_row(rng))) for name in servers},
    }
    found: list[list[object]] = []
    for name, table in rows.items():
        began = time.process_time()
        packed = encode_rows(table)
        middle = time.process_time()
        decode_rows(packed)
        found.append([name, len(packed), 1000 * (middle - began), 1000 * (time.process_time() - middle)])
    return found


def _row(rng: random.Random) -> dict[str, Any]:
    """Return a server row with a random address and random counters."""
    address = f"10.{rng.randrange(256)}.{rng.randrange(256)}.{rng.randrange(256)}:{rng.randrange(65536)}"
    row: dict[str, Any] = server_rows.server_row(
        addr=address, seq=rng.randrange(10_000), born=server_rows.BORN + rng.randrange(10**9)
    )
    return row


def main() -> None:
    """Print both tables."""
    for module in (epochs, fanout, feeds, readers):
        module.now = virtual_time.now  # type: ignore[attr-defined]
    sizes = [tuple(map(int, sys.argv[1:3]))] if len(sys.argv) > 2 else SIZES
    results = [[d, h, *virtual_time.run_virtually(lambda d=d, h=h: count_messages(d, h))] for d, h in sizes]
    names = ["daemons", "halls", "calls to the store", "whole tables sent", "by the busiest"]
    print_table("The second after a restore", names, results)
    print_table("Whole tables", ["table", "bytes packed", "ms to pack", "ms to unpack"], measure_packing())


if __name__ == "__main__":
    main()
