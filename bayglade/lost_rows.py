"""Lost rows: merging the roster of a restored store with the newer one that daemons remember."""

import random
from collections.abc import Container, Mapping

import msgspec

from bayglade.ids import MemberId
from bayglade.roster import MemberRow, Roster, apply_rows

REWRITES_PER_SECOND = 100.0
"""Rate at which all daemons together rewrite lost rows, in rows a second: servers and operators write to
the store at the same time."""
REWRITE_GRACE_SECONDS = 10.0
"""Seconds for which a daemon whose row was lost still counts as a member; it rewrites its row in this
time."""


def merge_restored(before: Roster, stored: Roster, lost: Container[MemberId]) -> Roster:
    """Return the restored roster together with what was known before the restore.

    Daemons whose rows were lost stay members; those that were marked gone since the backup stay so.

    :param before: the roster known before the restore.
    :param stored: the roster in the restored store.
    :param lost: daemons that have gone silent, as far as known here.
    """
    taken_out = before.marked_gone & stored.members.keys()
    members = {name: row for name, row in stored.members.items() if name not in taken_out}
    missing = before.members.keys() - stored.members.keys() - stored.marked_gone
    members |= {name: before.members[name] for name in missing if name not in lost}
    return msgspec.structs.replace(stored, members=members, marked_gone=stored.marked_gone | taken_out)


def stored_members(rows: Mapping[str, tuple[object, msgspec.Raw | None]]) -> dict[MemberId, MemberRow]:
    """Return the daemons whose rows are in the store.

    :param rows: rows by key, each with the position it came with.
    """
    return apply_rows({key: value for key, (_, value) in rows.items()}, Roster()).members


def rewrite_delay(lost: int, rng: random.Random) -> float:
    """Return the random delay before a daemon rewrites its row, in seconds.

    :param lost: how many daemons rewrite theirs.
    :param rng: random number generator.
    """
    return rng.uniform(0.0, lost / REWRITES_PER_SECOND)
