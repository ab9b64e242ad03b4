"""Stops: requests that are held back, as rows of the platform's table.

They lie beside the rows of the daemons, so that the one feed that every daemon has of
these brings them too, also to those that start anew. Removing a row lets its request go.
"""

from collections.abc import Iterable, Mapping

import msgspec

from bayglade.ids import BackendId, Fingerprint, Incarnation, ServerKey
from bayglade.logs import event
from bayglade.roster import STOP_PREFIX
from bayglade.rows import ABSENT, Condition, RowStore, Transaction, Write, encode_value


class StopRow(msgspec.Struct, frozen=True):
    """A request that is held back, and what stands against it."""

    ends: list[tuple[BackendId, Incarnation]]
    """Starts of backend servers that ended under it."""


def read_stops(rows: Mapping[str, msgspec.Raw | None]) -> dict[Fingerprint, list[ServerKey] | None]:
    """Find the stops among rows.

    :param rows: rows by key; nothing for those that were removed.
    :return: ends by request; nothing for a stop that was lifted.
    """
    found: dict[Fingerprint, list[ServerKey] | None] = {}
    for key, value in rows.items():
        if not key.startswith(STOP_PREFIX):
            continue
        name = Fingerprint(key.removeprefix(STOP_PREFIX))
        try:
            row = msgspec.json.decode(value, type=StopRow) if value is not None else None
        except (msgspec.DecodeError, RecursionError) as error:
            event("ERROR", "stop row ignored", peer=key, error=str(error))
            continue
        found[name] = None if row is None else [ServerKey(*end) for end in row.ends]
    return found


def write_stop(store: RowStore, name: Fingerprint, ends: Iterable[ServerKey]) -> None:
    """Write a stop unless another daemon has written it.

    :param store: the platform's table.
    :param name: the request.
    :param ends: starts of servers that ended under it.
    :raises PlatformUnavailable: when the table does not answer.
    """
    key = STOP_PREFIX + name
    row = encode_value(StopRow([(end.backend, end.incarnation) for end in sorted(ends)]))
    store.transact(Transaction([Condition(key, ABSENT)], [Write(key, row)]))


def remove_stop(store: RowStore, name: Fingerprint) -> bool:
    """Remove a stop, so that all daemons let the request go.

    :param store: the platform's table.
    :param name: the request.
    :return: whether its row was there, and is removed now.
    :raises PlatformUnavailable: when the table does not answer.
    """
    key = STOP_PREFIX + name
    found = store.read([key]).get(key)
    if found is None:
        return False
    return store.transact(Transaction([found.condition(key)], [], removes=[key])).committed
