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
            found = store.read([SECRET_KEY, MEMBER_PREFIX + member])
            if SECRET_KEY not in found:
                _put(store, SECRET_KEY, ABSENT, secrets.token_hex(SECRET_BYTES))
                continue
            own = found.get(MEMBER_PREFIX + member)
            row = raw(MemberRow(address, hall))
            if own is None or bytes(own.value) != bytes(row):
                _put(
                    store, MEMBER_PREFIX + member, own.version if own else ABSENT, MemberRow(address, hall)
                )
                continue
            return msgspec.json.decode(found[SECRET_KEY].value, type=str).encode()
        except PlatformUnavailable as error:
            event("INFO", "roster not written", error=repr(error))
            eventlet.sleep(RETRY_SECONDS)


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


def _put(store: RowStore, key: str, version: int, value: object) -> None:
    """Write a row; whether it took effect shows at the next read."""
    store.transact(Transaction([Condition(key, version)], [Write(key, raw(value))]))
