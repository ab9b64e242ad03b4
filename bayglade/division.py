"""Division of server capacity among daemons.

Every daemon knows from heartbeats the demand of each group through each daemon, and computes on its own
which fraction of the capacity it may fill. Each group gets its fair share by the shares of the settings
tree, at the daemons through which its requests come. No daemon decides for another; all compute with
nearly the same figures.
"""

from collections.abc import Callable, Mapping

from bayglade.ids import GroupPath
from bayglade.settings import parent_path

EVEN_FRACTION = 0.1
"""Fraction of the capacity divided evenly, for requests that the known demand doesn't predict."""

ShareOf = Callable[[GroupPath], float]


def divide_by_shares(
    demands: Mapping[GroupPath, float], share_of: ShareOf, capacity: float
) -> dict[GroupPath, float]:
    """Divide a capacity among groups by their shares, level by level.

    Capacity that a group doesn't demand goes to its siblings, in proportion to their shares.

    :param demands: the demand of each leaf group, in tokens per second.
    :param share_of: the share of any group.
    :param capacity: tokens per second.
    :return: the allocation of each leaf group; never more than its demand.
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
    allocated: dict[GroupPath, float] = {}
    waiting = [(GroupPath(""), min(capacity, totals.get(GroupPath(""), 0.0)))]
    while waiting:
        path, amount = waiting.pop()
        # An inner group may have requests of its own besides those of its subgroups.
        own = demands.get(path, 0.0) if path in children else 0.0
        wants = {child: totals[child] for child in children.get(path, ())}
        if not wants:
            allocated[path] = amount
            continue
        if own:
            wants[path] = own
        allocations = _divide_among_siblings(
            wants, lambda p, top=path: 1.0 if p == top else share_of(p), amount
        )
        if own:
            allocated[path] = allocations.pop(path)
        waiting.extend(allocations.items())
    return allocated


def _divide_among_siblings(
    wants: Mapping[GroupPath, float], share_of: ShareOf, amount: float
) -> dict[GroupPath, float]:
    """Divide an amount among siblings: those that want less than their share get all they want."""
    allocations: dict[GroupPath, float] = {}
    left = dict(wants)
    while left:
        weight = sum(share_of(path) for path in left)
        small = [path for path, want in left.items() if want <= amount * share_of(path) / weight]
        if not small:
            allocations.update({path: amount * share_of(path) / weight for path in left})
            break
        for path in small:
            allocations[path] = left.pop(path)
            amount -= allocations[path]
    return allocations


def own_fraction(
    local_demand: Mapping[GroupPath, float],
    total_demand: Mapping[GroupPath, float],
    share_of: ShareOf,
    capacity: float,
    heard: int,
    members: int,
) -> float:
    """Return the fraction of every server that this daemon may fill.

    :param local_demand: the demand of groups through this daemon, in tokens per second.
    :param total_demand: the same through all daemons heard from, this one included.
    :param share_of: the share of any group.
    :param capacity: what all daemons heard from serve together, in tokens per second.
    :param heard: the number of daemons heard from, this one included.
    :param members: the number of daemons in the host list; silent ones keep their part.
    :return: between 0 and 1.
    """
    known = heard / max(members, heard)
    even = known / heard
    allocated = divide_by_shares(total_demand, share_of, capacity)
    total = sum(allocated.values())
    if total <= 0:
        return even
    own = sum(
        allocated[path] * local_demand.get(path, 0.0) / total_demand[path]
        for path in allocated
        if total_demand[path]
    )
    return EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * known * own / total
