"""The roster: which daemons there are, kept as rows of the platform's table.

Each daemon writes one row when it starts, unless it is there; who still lives is
told by their heartbeats, not by the rows. The secret of the streams between daemons
lies in a row of the same table, written once by whoever comes first. A start costs
one read and one write.
"""

import secrets
from collections.abc import Mapping

import eventlet
import msgspec

from bayglade.config import parse_address
from bayglade.exceptions import HistoryGone, InvalidSettings, PlatformUnavailable
from bayglade.ids import HallName, MemberId
from bayglade.logs import event
from bayglade.rows import ABSENT, Condition, RowStore, Table, Transaction, Write, encode_value

MEMBER_PREFIX = "members/"
SECRET_KEY = MEMBER_PREFIX + "#secret"
"""Among the rows of the daemons, so that one read brings both; no daemon's name begins so."""
STOP_PREFIX = MEMBER_PREFIX + "#stopped/"
"""Keys of requests that are held back, see :mod:`bayglade.stops`."""
SECRET_BYTES = 32
RETRY_SECONDS = 1.0
"""Pause after a call that failed: nothing waits for it but sharing."""
SECRET_TRIES = 3
"""Readings after which a secret that makes no sense is written anew: whoever wrote it may mend it."""


class MemberRow(msgspec.Struct, frozen=True):
    """A daemon as its row tells of it."""

    address: str
    hall: HallName
    gone: bool = False
    """Set by others when it was silent for long; a daemon that finds itself so writes its row anew."""

    link_mbps: float = 0.0
    """Speed of its host's link; 0 when it is not known."""


class Roster(msgspec.Struct, frozen=True):
    """All daemons, and the secret of their streams; nothing before somebody has written it."""

    members: dict[MemberId, MemberRow] = {}
    secret: bytes | None = None
    marked: frozenset[MemberId] = frozenset()
    """Daemons whose rows say that they are gone."""

    strange: frozenset[str] = frozenset()
    """Keys of rows that make no sense: another writer left them."""


def join(store: Table, table: str, member: MemberId, row: MemberRow, secret: bytes | None = None) -> Roster:
    """Read the roster and write what is missing of it; tries until both are done.

    :param store: the platform's table.
    :param table: where the roster lies.
    :param member: the daemon's name.
    :param row: where it takes streams of other daemons, and its data hall.
    :param secret: the secret that its streams have; nothing when there are none yet.
    :return: the roster, with this daemon and the secret.
    """
    tries = 0
    while True:
        try:
            known = read_roster(store.snapshot(table).rows, Roster())
            tries += 1
            if SECRET_KEY in known.strange and tries < SECRET_TRIES:
                eventlet.sleep(RETRY_SECONDS)
                continue
            if (joined := _write_missing(store, member, row, known, secret)) is not None:
                return joined
        except (PlatformUnavailable, HistoryGone) as error:
            event("INFO", "roster not written", error=repr(error))
            eventlet.sleep(RETRY_SECONDS)


def mark_gone(store: RowStore, member: MemberId) -> None:
    """Take a daemon out of the roster, unless its row has changed meanwhile.

    Rows of daemons that are gone would be asked first by every daemon that starts.

    :param store: the platform's table.
    :param member: the daemon.
    :raises PlatformUnavailable: when the table does not answer.
    """
    key = MEMBER_PREFIX + member
    found = store.read([key]).get(key)
    if found is None:
        return
    row = read_roster({key: found.value}, Roster()).members.get(member)
    if row is None:
        return
    gone = Write(key, encode_value(msgspec.structs.replace(row, gone=True)))
    committed = store.transact(Transaction([found.condition(key)], [gone])).committed
    event("INFO", "daemon taken out of the roster", peer=member, committed=committed)


def _write_missing(
    store: RowStore, member: MemberId, row: MemberRow, known: Roster, in_use: bytes | None
) -> Roster | None:
    """Write the own row and the secret where they are not in the roster.

    :param in_use: the secret that streams have already, if there are any.
    :return: the roster afterwards; nothing when another daemon wrote meanwhile.
    """
    conditions, writes, secret = [], [], in_use or known.secret
    if known.members.get(member) != row:
        key = MEMBER_PREFIX + member
        written = member in known.members or member in known.marked or key in known.strange
        conditions.append(_condition(store, key) if written else Condition(key, ABSENT))
        writes.append(Write(key, encode_value(row)))
    if secret is None or secret != known.secret:
        text = secrets.token_hex(SECRET_BYTES) if secret is None else secret.decode()
        secret = text.encode()
        written = SECRET_KEY in known.strange or known.secret is not None
        conditions.append(_condition(store, SECRET_KEY) if written else Condition(SECRET_KEY, ABSENT))
        writes.append(Write(SECRET_KEY, encode_value(text)))
    if writes and not store.transact(Transaction(conditions, writes)).committed:
        return None
    return Roster({**known.members, member: row}, secret)


def _condition(store: RowStore, key: str) -> Condition:
    found = store.read([key]).get(key)
    return found.condition(key) if found is not None else Condition(key, ABSENT)


def read_roster(rows: Mapping[str, msgspec.Raw | None], before: Roster) -> Roster:
    """Take rows of the table in.

    :param rows: rows by key; nothing for those that were removed.
    :param before: the roster before.
    """
    members, secret, marked = dict(before.members), before.secret, set(before.marked)
    strange = set(before.strange)
    for key, value in rows.items():
        if key.startswith(STOP_PREFIX):
            continue
        member = MemberId(key.removeprefix(MEMBER_PREFIX))
        strange.discard(key)
        try:
            if key == SECRET_KEY:
                secret = secret if value is None else msgspec.json.decode(value, type=str).encode()
                continue
            members.pop(member, None)
            marked.discard(member)
            row = msgspec.json.decode(value, type=MemberRow) if value is not None else None
            if row is not None and row.gone:
                marked.add(member)
            elif row is not None:
                parse_address(row.address)
                members[member] = row
        except (msgspec.DecodeError, RecursionError, InvalidSettings) as error:
            strange.add(key)
            event("ERROR", "member row ignored", peer=key, error=str(error))
    return Roster(members, secret, frozenset(marked), frozenset(strange))
