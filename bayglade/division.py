"""Division: how daemons share out what backend servers can run at once.

Every daemon knows what each group asks for through each daemon, from
heartbeats, and works out by itself which part of the pool it may fill: each
group gets its fair part by the shares of the tree, and enters with it where it
asks. No daemon decides for another; all see nearly the same figures.
"""

from collections.abc import Callable, Mapping

from bayglade.ids import GroupPath
from bayglade.settings import parent_path

EVEN_PART = 0.1
"""Part of the pool that is divided evenly, for requests that nobody foresaw."""

ShareOf = Callable[[GroupPath], float]


def fill(demands: Mapping[GroupPath, float], share_of: ShareOf, capacity: float) -> dict[GroupPath, float]:
    """Divide a capacity over groups by their shares, level by level.

    What a group does not ask for goes to its siblings, by their shares.

    :param demands: what each leaf group asks for, in tokens a second.
    :param share_of: the share of any group.
    :param capacity: tokens a second.
    :return: what each leaf group gets; never more than it asks for.
    """
    children: dict[GroupPath, set[GroupPath]] = {}
    totals: dict[GroupPath, float] = {}
    for leaf, demand in demands.items():
        path = leaf
        totals[path] = totals.get(path, 0.0) + demand
        while path:
            parent = parent_path(path)
            children.setdefault(parent, set()).add(path)
            totals[parent] = totals.get(parent, 0.0) + demand
            path = parent
    given: dict[GroupPath, float] = {}
    waiting = [(GroupPath(""), min(capacity, totals.get(GroupPath(""), 0.0)))]
    while waiting:
        path, amount = waiting.pop()
        # A group may have requests of its own beside the groups below it.
        own = demands.get(path, 0.0) if path in children else 0.0
        wants = {child: totals[child] for child in children.get(path, ())}
        if not wants:
            given[path] = amount
            continue
        if own:
            wants[path] = own
        parts = _fill_level(wants, lambda p, top=path: 1.0 if p == top else share_of(p), amount)
        if own:
            given[path] = parts.pop(path)
        waiting.extend(parts.items())
    return given


def _fill_level(
    wants: Mapping[GroupPath, float], share_of: ShareOf, amount: float
) -> dict[GroupPath, float]:
    """Divide an amount over siblings: who wants less than their part gets all of it."""
    parts: dict[GroupPath, float] = {}
    left = dict(wants)
    while left:
        weight = sum(share_of(path) for path in left)
        small = [path for path, want in left.items() if want <= amount * share_of(path) / weight]
        if not small:
            parts.update({path: amount * share_of(path) / weight for path in left})
            break
        for path in small:
            parts[path] = left.pop(path)
            amount -= parts[path]
    return parts


def own_part(
    mine: Mapping[GroupPath, float],
    all_daemons: Mapping[GroupPath, float],
    share_of: ShareOf,
    capacity: float,
    heard: int,
    members: int,
) -> float:
    """Return the part of every server that this daemon may fill.

    :param mine: what groups ask for through this daemon, in tokens a second.
    :param all_daemons: the same through all daemons heard, this one included.
    :param share_of: the share of any group.
    :param capacity: what all daemons heard together serve, in tokens a second.
    :param heard: how many daemons are heard, this one included.
    :param members: how many the host list names; the part of silent ones is
        left to them.
    :return: between 0 and 1.
    """
    known = heard / max(members, heard)
    even = known / heard
    given = fill(all_daemons, share_of, capacity)
    total = sum(given.values())
    if total <= 0:
        return even
    own = sum(given[path] * mine.get(path, 0.0) / all_daemons[path] for path in given if all_daemons[path])
    return EVEN_PART * even + (1.0 - EVEN_PART) * known * own / total
