"""Rendezvous hashing: daemons that know the same members choose the same one for a name."""

import hashlib
from collections.abc import Iterable

from bayglade.ids import MemberId

RANK_BYTES = 8


def choose_member(name: str, members: Iterable[MemberId]) -> MemberId | None:
    """Choose one of the members for a name; many names are spread evenly over them.

    :param name: what the member is chosen for.
    :param members: the members; None is returned if there are none.
    """
    return min(members, key=lambda member: _rank(name, member), default=None)


def _rank(name: str, member: MemberId) -> bytes:
    return hashlib.blake2b(f"{name}|{member}".encode(), digest_size=RANK_BYTES).digest()
