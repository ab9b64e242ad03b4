"""Stops: what daemons refuse to run because servers ended under it, as rows in the store.

A row is about one request, by its content, or about a part of prompts.

They are in the same table as the rows of the daemons, so that the feed of that table, which
every daemon follows, delivers them too, also to daemons that start later. Removing a row
allows its request to run again.
"""

from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec

from bayglade.decoding import WHOLE_NUMBER, decode_each
from bayglade.evidence import Subject
from bayglade.ids import BackendId, Fingerprint, Incarnation, ServerKey
from bayglade.logs import event
from bayglade.roster import STOP_PREFIX
from bayglade.rows import ABSENT, Condition, RowStore, Transaction, Write, encode_value


class StopRow(msgspec.Struct, frozen=True):
    """A request or part that is stopped, with the evidence against it."""

    ends: list[tuple[BackendId, Annotated[Incarnation, WHOLE_NUMBER]]]
    """The backend servers, by id and incarnation, that ended while they ran it."""

    subject: Subject = Subject.REQUEST
    companions: list[Fingerprint] = []
    """The other parts of prompts without which a part is not refused."""

    def crashes(self) -> set[ServerKey]:
        """Return the incarnations that ended."""
        return {ServerKey(*end) for end in self.ends}


def read_stops(rows: Mapping[str, msgspec.Raw | None]) -> dict[Fingerprint, StopRow | None]:
    """Find the stops among the rows of the table.

    :param rows: rows by key; ``None`` for a row that was removed.
    :return: the stops by fingerprint; ``None`` for one that was lifted.
    """
    stops = {key: value for key, value in rows.items() if key.startswith(STOP_PREFIX)}
    decoded = decode_each(stops, lambda key, value: msgspec.json.decode(value, type=StopRow))
    for key, reason in decoded.invalid.items():
        event("ERROR", "stop row ignored", peer=key, error=reason)
    found: dict[Fingerprint, StopRow | None] = {_fingerprint_of(key): None for key in decoded.removed}
    return found | {_fingerprint_of(key): row for key, row in decoded.found.items()}


def _fingerprint_of(key: str) -> Fingerprint:
    return Fingerprint(key.removeprefix(STOP_PREFIX))


def write_stop(
    store: RowStore,
    fingerprint: Fingerprint,
    ends: Iterable[ServerKey],
    subject: Subject = Subject.REQUEST,
    companions: Iterable[Fingerprint] = (),
) -> None:
    """Write a stop unless another daemon has already written it.

    :param store: the platform's table.
    :param fingerprint: the fingerprint of the request or part.
    :param ends: the servers that ended while they ran it.
    :param subject: what is stopped.
    :param companions: the other parts without which a part is not refused.
    :raises PlatformUnavailable: when the store does not answer.
    """
    key = STOP_PREFIX + fingerprint
    keys = [(end.backend, end.incarnation) for end in sorted(ends)]
    row = encode_value(StopRow(keys, subject, sorted(companions)))
    store.transact(Transaction([Condition(key, ABSENT)], [Write(key, row)]))


def remove_stop(store: RowStore, fingerprint: Fingerprint) -> bool:
    """Remove a stop, so that all daemons run the request again.

    :param store: the platform's table.
    :param fingerprint: the fingerprint of the request.
    :return: whether its row existed and was removed.
    :raises PlatformUnavailable: when the store does not answer.
    """
    key = STOP_PREFIX + fingerprint
    found = store.read([key]).get(key)
    if found is None:
        return False
    return store.transact(Transaction([found.condition(key)], [], removes=[key])).committed
