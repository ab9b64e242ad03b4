"""Lost rows: the roster that a restored store has, and what daemons know that it has lost."""

import random
from collections.abc import Container, Mapping

import msgspec

from bayglade.ids import MemberId
from bayglade.roster import MemberRow, Roster, read_roster

WRITES_PER_SECOND = 100.0
"""Rows that all daemons together write again: servers and operators write at the same moment."""
KEEP_SECONDS = 10.0
"""How long a daemon whose row was lost counts as there: it writes its row again in this time."""


def recover(before: Roster, stored: Roster, lost: Container[MemberId]) -> Roster:
    """Return the roster with what was known before the store was restored.

    Daemons whose rows it has lost stay; those that were taken out since the copy stay out.

    :param before: what was known.
    :param stored: what the restored store has.
    :param lost: daemons that fell silent, as far as known here.
    """
    taken_out = before.marked & stored.members.keys()
    members = {name: row for name, row in stored.members.items() if name not in taken_out}
    missing = before.members.keys() - stored.members.keys() - stored.marked
    members |= {name: before.members[name] for name in missing if name not in lost}
    return msgspec.structs.replace(stored, members=members, marked=stored.marked | taken_out)


def stored_members(rows: Mapping[str, tuple[object, msgspec.Raw | None]]) -> dict[MemberId, MemberRow]:
    """Return the daemons whose rows are in the store.

    :param rows: rows by key, with the position that each came with.
    """
    return read_roster({key: value for key, (_, value) in rows.items()}, Roster()).members


def write_delay(lost: int, rng: random.Random) -> float:
    """Return after how many seconds a daemon writes its row again.

    :param lost: how many daemons have to.
    :param rng: source of chance.
    """
    return rng.uniform(0.0, lost / WRITES_PER_SECOND)
