"""The roster: which daemons exist, kept as rows of the platform's table.

Each daemon writes one row when it starts, unless the row is there already. Rows do not show which
daemons are alive; heartbeats do. The shared secret of the streams between daemons is in a row of
the same table, written once by whichever daemon comes first. A start costs one read and one write.
"""

import secrets
from collections.abc import Mapping

import eventlet
import msgspec

from bayglade.config import parse_address
from bayglade.decoding import Amount, decode_each
from bayglade.exceptions import HistoryGone, PlatformUnavailable
from bayglade.ids import HallName, MemberId, StoreEpoch
from bayglade.logs import event, rate_limited
from bayglade.rows import ABSENT, Condition, RowStore, Table, Transaction, Write, encode_value

MEMBER_PREFIX = "members/"
SECRET_KEY = MEMBER_PREFIX + "#secret"
"""Kept among the rows of the daemons so that one read returns both; no daemon's name begins like this."""
STOP_PREFIX = MEMBER_PREFIX + "#stopped/"
"""Prefix of the keys of quarantined requests, see :mod:`bayglade.stops`."""
SECRET_BYTES = 32
RETRY_DELAY = 1.0
"""Delay after a failed call; only the sharing of state between daemons waits for it."""
SECRET_READ_ATTEMPTS = 3
"""Number of reads after which a malformed secret is replaced: its writer may still correct it."""


IGNORED_ROW_LOGS_PER_SECOND = 1.0

_log_ignored_row = rate_limited(IGNORED_ROW_LOGS_PER_SECOND)


class MemberRow(msgspec.Struct, frozen=True):
    """The row of a daemon."""

    address: str
    hall: HallName
    gone: bool = False
    """Set by others once the daemon was silent for long; a daemon that finds its own row marked writes it
    again."""

    link_mbps: Amount = 0.0
    """Link speed of its host; 0 when unknown."""

    forwards: str = ""
    """Address at which it accepts calls that other daemons forward; empty if it accepts none."""


class Roster(msgspec.Struct, frozen=True):
    """All daemons and the shared secret of their streams; None before any daemon has written one."""

    members: dict[MemberId, MemberRow] = {}
    secret: bytes | None = None
    marked_gone: frozenset[MemberId] = frozenset()
    """Daemons whose rows are marked as gone."""

    malformed: frozenset[str] = frozenset()
    """Keys of malformed rows, as another writer may leave them."""


def join(store: Table, table: str, member: MemberId, row: MemberRow, secret: bytes | None = None) -> Roster:
    """Read the roster and write the missing rows; see :func:`join_in_epoch`."""
    return join_in_epoch(store, table, member, row, secret)[0]


def join_in_epoch(
    store: Table, table: str, member: MemberId, row: MemberRow, secret: bytes | None = None
) -> tuple[Roster, StoreEpoch]:
    """Read the roster and write the missing rows; retries until both have succeeded.

    :param store: the platform's table.
    :param table: the table that holds the roster.
    :param member: the daemon's name.
    :param row: its address for streams of other daemons, and its data hall.
    :param secret: the secret that its streams use already; None if there are no streams yet.
    :return: the roster, with this daemon and the secret, and the epoch of the store in which it was read.
    """
    tries = 0
    while True:
        try:
            changes = store.snapshot(table)
            known = apply_rows(changes.rows, Roster())
            tries += 1
            if SECRET_KEY in known.malformed and tries < SECRET_READ_ATTEMPTS:
                eventlet.sleep(RETRY_DELAY)
                continue
            if (joined := _write_missing(store, member, row, known, secret)) is not None:
                return joined, changes.epoch
        except (PlatformUnavailable, HistoryGone) as error:
            event("INFO", "roster not written", error=repr(error))
            eventlet.sleep(RETRY_DELAY)


def mark_gone(store: RowStore, member: MemberId) -> None:
    """Mark a daemon as gone in the roster, unless its row has changed meanwhile.

    Otherwise every daemon that starts would first poll daemons that no longer exist.

    :param store: the platform's table.
    :param member: the daemon.
    :raises PlatformUnavailable: when the table does not answer.
    """
    key = MEMBER_PREFIX + member
    found = store.read([key]).get(key)
    if found is None:
        return
    row = apply_rows({key: found.value}, Roster()).members.get(member)
    if row is None:
        return
    gone = Write(key, encode_value(msgspec.structs.replace(row, gone=True)))
    committed = store.transact(Transaction([found.condition(key)], [gone])).committed
    event("INFO", "daemon taken out of the roster", peer=member, committed=committed)


def _write_missing(
    store: RowStore, member: MemberId, row: MemberRow, known: Roster, in_use: bytes | None
) -> Roster | None:
    """Write the own row and the secret where they are missing from the roster.

    :param in_use: the secret that streams use already, if there are any.
    :return: the resulting roster; None when another daemon wrote meanwhile.
    """
    conditions, writes, secret = [], [], in_use or known.secret
    if known.members.get(member) != row:
        key = MEMBER_PREFIX + member
        written = member in known.members or member in known.marked_gone or key in known.malformed
        conditions.append(_condition(store, key) if written else Condition(key, ABSENT))
        writes.append(Write(key, encode_value(row)))
    if secret is None or secret != known.secret:
        text = secrets.token_hex(SECRET_BYTES) if secret is None else secret.decode()
        secret = text.encode()
        written = SECRET_KEY in known.malformed or known.secret is not None
        conditions.append(_condition(store, SECRET_KEY) if written else Condition(SECRET_KEY, ABSENT))
        writes.append(Write(SECRET_KEY, encode_value(text)))
    if writes and not store.transact(Transaction(conditions, writes)).committed:
        return None
    return Roster({**known.members, member: row}, secret)


def _condition(store: RowStore, key: str) -> Condition:
    found = store.read([key]).get(key)
    return found.condition(key) if found is not None else Condition(key, ABSENT)


def apply_rows(rows: Mapping[str, msgspec.Raw | None], before: Roster) -> Roster:
    """Return the roster with changed rows of the table applied.

    :param rows: rows by key; None for removed rows.
    :param before: the roster before.
    """
    members, secret, marked = dict(before.members), before.secret, set(before.marked_gone)
    own = {key: value for key, value in rows.items() if not key.startswith(STOP_PREFIX)}
    decoded = decode_each(own, _decode_row)
    for key in own.keys() - {SECRET_KEY}:
        members.pop(_member_of(key), None)
        marked.discard(_member_of(key))
    for key, row in decoded.found.items():
        if isinstance(row, bytes):
            secret = row
        elif row.gone:
            marked.add(_member_of(key))
        else:
            members[_member_of(key)] = row
    for key, reason in decoded.invalid.items():
        _log_ignored_row("ERROR", "member row ignored", peer=key, error=reason)
    malformed = (before.malformed - own.keys()) | decoded.invalid.keys()
    return Roster(members, secret, frozenset(marked), frozenset(malformed))


def _member_of(key: str) -> MemberId:
    return MemberId(key.removeprefix(MEMBER_PREFIX))


def _decode_row(key: str, value: msgspec.Raw) -> MemberRow | bytes:
    """Decode the row of a daemon, or the secret."""
    if key == SECRET_KEY:
        return msgspec.json.decode(value, type=str).encode()
    row = msgspec.json.decode(value, type=MemberRow)
    if not row.gone:
        parse_address(row.address)
        if row.forwards:
            parse_address(row.forwards)
    return row
