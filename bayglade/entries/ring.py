"""The ring: whom a daemon of many exchanges heartbeats with, and how much it may tell them."""

from bayglade.ids import MemberId

FULL_MESH = 16
"""Up to so many daemons everybody exchanges heartbeats with everybody."""
BEAT_INTERVAL = 1.0
"""Seconds between heartbeats."""
BYTES_A_SECOND = 2000.0
"""What a daemon allows itself for heartbeats to all neighbours together."""
BEAT_BYTES = 32
ROW_BYTES = 32


def neighbours(me: MemberId, members: list[MemberId]) -> set[MemberId]:
    """Choose whom a daemon exchanges heartbeats with; the relation is mutual.

    :param me: the daemon.
    :param members: all daemons, sorted, this one included.
    :return: all others while few; those at powers of two on the ring beyond.
    """
    others = set(members) - {me}
    if len(members) <= FULL_MESH:
        return others
    place, size = members.index(me), len(members)
    chosen: set[MemberId] = set()
    distance = 1
    while distance <= size // 2:
        chosen.add(members[(place + distance) % size])
        chosen.add(members[(place - distance) % size])
        distance *= 2
    return chosen - {me}


def rows_a_beat(neighbours: int) -> int:
    """Return how many groups a heartbeat may tell of within the budget of bytes."""
    allowed = BYTES_A_SECOND * BEAT_INTERVAL / max(1, neighbours) - BEAT_BYTES
    return max(1, int(allowed / ROW_BYTES))
