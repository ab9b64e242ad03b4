"""The roster: which daemons there are, kept as rows of the platform's table.

Each daemon writes one row when it starts; who still lives is told by their
heartbeats, not by the rows. The secret of the streams between daemons lies in
a row as well, written once by whoever comes first.
"""

import secrets

import eventlet
import msgspec

from bayglade.exceptions import PlatformUnavailable
from bayglade.ids import HallName, MemberId
from bayglade.logs import event
from bayglade.rows import ABSENT, Condition, RowStore, Transaction, Write, raw

SECRET_KEY = "peers/secret"
MEMBER_PREFIX = "members/"
SECRET_BYTES = 32
RETRY_SECONDS = 1.0
"""Pause after a failed write: nothing waits for it but sharing."""


class MemberRow(msgspec.Struct, frozen=True):
    """A daemon as its row tells of it."""

    address: str
    hall: HallName


def join(store: RowStore, member: MemberId, address: str, hall: HallName) -> bytes:
    """Write the own row and learn the secret; tries until both are done.

    :param store: the platform's table.
    :param member: the daemon's name.
    :param address: where it takes streams of other daemons.
    :param hall: its data hall.
    :return: the secret that all daemons share.
    """
    while True:
        try:
            _write_own(store, MEMBER_PREFIX + member, MemberRow(address, hall))
            return _read_secret(store)
        except PlatformUnavailable as error:
            event("INFO", "roster not written", error=repr(error))
            eventlet.sleep(RETRY_SECONDS)


def _write_own(store: RowStore, key: str, row: MemberRow) -> None:
    """Write the own row; at a first start nothing has to be read before."""
    version = ABSENT
    while not _put(store, key, version, row):
        found = store.read([key]).get(key)
        if found is not None and bytes(found.value) == bytes(raw(row)):
            return
        version = found.version if found is not None else ABSENT


def _read_secret(store: RowStore) -> bytes:
    """Read the secret, or write it when nobody has."""
    while True:
        found = store.read([SECRET_KEY]).get(SECRET_KEY)
        if found is not None:
            return msgspec.json.decode(found.value, type=str).encode()
        _put(store, SECRET_KEY, ABSENT, secrets.token_hex(SECRET_BYTES))


def read_members(rows: dict[str, msgspec.Raw | None]) -> dict[MemberId, MemberRow]:
    """Pick the daemons out of rows of the table.

    :param rows: rows by key.
    :return: the daemons; rows of other matters are passed over.
    """
    members: dict[MemberId, MemberRow] = {}
    for key, value in rows.items():
        if not key.startswith(MEMBER_PREFIX) or value is None:
            continue
        try:
            members[MemberId(key.removeprefix(MEMBER_PREFIX))] = msgspec.json.decode(value, type=MemberRow)
        except msgspec.DecodeError as error:
            event("ERROR", "member row ignored", peer=key, error=str(error))
    return members


def _put(store: RowStore, key: str, version: int, value: object) -> bool:
    """Write a row that has a version; tell whether it took effect."""
    return store.transact(Transaction([Condition(key, version)], [Write(key, raw(value))])).committed
