"""The ring: the neighbours with which a daemon exchanges heartbeats, and the byte budget for them."""

from bayglade.ids import MemberId

FULL_MESH_LIMIT = 16
"""Up to this many daemons, all of them exchange heartbeats with each other."""
HEARTBEAT_INTERVAL = 1.0
"""Seconds between heartbeats."""
HEARTBEAT_BYTES_PER_SECOND = 2000.0
"""Budget for the heartbeats of one daemon to all its neighbours together."""
HEARTBEAT_BASE_BYTES = 32
USAGE_ROW_BYTES = 32


def neighbours(me: MemberId, members: list[MemberId]) -> set[MemberId]:
    """Choose the neighbours with which a daemon exchanges heartbeats; the relation is symmetric.

    :param me: the daemon.
    :param members: all daemons, sorted, including this one.
    :return: all others in a small site; beyond that, those at powers of two on the ring.
    """
    others = set(members) - {me}
    if len(members) <= FULL_MESH_LIMIT:
        return others
    place, size = members.index(me), len(members)
    chosen: set[MemberId] = set()
    distance = 1
    while distance <= size // 2:
        chosen.add(members[(place + distance) % size])
        chosen.add(members[(place - distance) % size])
        distance *= 2
    return chosen - {me}


def rows_per_heartbeat(neighbours: int) -> int:
    """Return how many groups a heartbeat may report within the byte budget."""
    allowed = HEARTBEAT_BYTES_PER_SECOND * HEARTBEAT_INTERVAL / max(1, neighbours) - HEARTBEAT_BASE_BYTES
    return max(1, int(allowed / USAGE_ROW_BYTES))
