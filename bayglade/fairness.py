"""Fair queueing over a tree of groups and over all daemons.

At each level the child with the least recent service relative to its share goes first. So an idle group
leaves its share to others, and gets it back within a few time constants.

A queue may also be ordered by urgency over all groups; the shares then decide among entries of equal
urgency.
"""

from collections import deque
from collections.abc import Callable
from itertools import pairwise
from typing import Generic, TypeVar

from bayglade.clock import now
from bayglade.ids import GroupPath
from bayglade.settings import ancestors_and_self
from bayglade.usage import Usage

LATE_FRACTION = 0.5

EntryT = TypeVar("EntryT")

ShareOf = Callable[[GroupPath], tuple[int, float]]
"""Returns the priority and the share in force for a group."""


def _never() -> bool:
    return False


class QueuedItem(Generic[EntryT]):
    """One queued entry with its group, its cost and the latest time at which it is worth starting."""

    __slots__ = ("cost", "entry", "group", "latest_start", "priority", "queued_at")

    def __init__(
        self,
        group: GroupPath,
        priority: int,
        cost: float,
        latest_start: float,
        entry: EntryT,
    ) -> None:
        self.group = group
        self.priority = priority
        self.cost = cost
        self.latest_start = latest_start
        self.entry = entry
        self.queued_at = now()

    def __repr__(self) -> str:
        return f"<Waiting {self.group} cost={self.cost}>"

    def is_late(self, at: float) -> bool:
        """Tell whether the entry has waited for a large part of the time it may wait."""
        return at - self.queued_at > LATE_FRACTION * (self.latest_start - self.queued_at)


class _Node(Generic[EntryT]):
    """A group in a queue: its own entries and its subgroups."""

    __slots__ = ("backlog", "backlog_by_priority", "children", "cost", "entries", "path")

    def __init__(self, path: GroupPath) -> None:
        self.path = path
        self.children: dict[GroupPath, _Node[EntryT]] = {}
        self.entries: dict[int, deque[QueuedItem[EntryT]]] = {}
        self.backlog = 0
        self.backlog_by_priority: dict[int, int] = {}
        """Number of entries here and below, by priority; without zeros."""

        self.cost = 0.0

    def has_backlog(self, priority: int | None) -> bool:
        """Return whether entries wait here or below: any, or only those of one priority."""
        return self.backlog > 0 if priority is None else priority in self.backlog_by_priority

    def has_own(self, priority: int | None) -> bool:
        """Return whether entries of the group itself wait: any, or only those of one priority."""
        return any(self.entries.values()) if priority is None else bool(self.entries.get(priority))


class ShareQueue(Generic[EntryT]):
    """A queue of entries of many groups, served in the order of their shares.

    :param usage: recent service.
    :param share_of: priority and share of each group.
    :param by_urgency: returns whether the highest priority goes first over all groups, rather than within
        each group only. It may change while entries wait.
    """

    def __init__(self, usage: Usage, share_of: ShareOf, by_urgency: Callable[[], bool] = _never) -> None:
        self.usage = usage
        self.share_of = share_of
        self.by_urgency = by_urgency
        self.root: _Node[EntryT] = _Node(GroupPath(""))

    def __repr__(self) -> str:
        return f"<ShareQueue {len(self)} waiting>"

    def __len__(self) -> int:
        return self.root.backlog

    @property
    def cost(self) -> float:
        """Total tokens of all queued entries."""
        return self.root.cost

    def push(self, item: QueuedItem[EntryT]) -> None:
        """Add an entry."""
        nodes = self._nodes(item.group)
        nodes[-1].entries.setdefault(item.priority, deque()).append(item)
        _add_to_totals(nodes, item)

    def remove(self, item: QueuedItem[EntryT]) -> bool:
        """Remove an entry before its turn.

        :return: False if it was no longer in the queue.
        """
        nodes = self._nodes(item.group)
        entries = nodes[-1].entries.get(item.priority)
        if entries is None or item not in entries:
            return False
        entries.remove(item)
        _subtract_from_totals(nodes, item)
        return True

    def pop(self) -> QueuedItem[EntryT] | None:
        """Take out the entry whose turn it is; None if the queue is empty.

        Among groups the highest priority goes first, then the least service relative to the share.
        Within a group the highest priority goes first, then the oldest entry. While the oldest is late,
        the newest goes first instead, so that a backlog doesn't make every answer too late.

        In the order by urgency the highest priority over all groups goes first, then the group with the
        least service relative to its share, then entries as above. The priorities of groups do not count
        then, as those of the entries include them.
        """
        if not self.root.backlog:
            return None
        at = now()
        priority = max(self.root.backlog_by_priority) if self.by_urgency() else None
        nodes = [self.root]
        while True:
            node = nodes[-1]
            child = self._next_child(node, at, priority)
            if child is None:
                break
            nodes.append(child)
        item = _take_entry(nodes[-1], at, priority)
        _subtract_from_totals(nodes, item)
        return item

    def put_back(self, item: QueuedItem[EntryT]) -> None:
        """Put back an entry that couldn't be served, at the end of the queue from which it was taken."""
        nodes = self._nodes(item.group)
        entries = nodes[-1].entries.setdefault(item.priority, deque())
        if entries and item.queued_at > entries[0].queued_at:
            entries.append(item)
        else:
            entries.appendleft(item)
        _add_to_totals(nodes, item)

    def all(self) -> list[QueuedItem[EntryT]]:
        """List every entry."""
        found: list[QueuedItem[EntryT]] = []
        nodes = [self.root]
        while nodes:
            node = nodes.pop()
            nodes.extend(node.children.values())
            for entries in node.entries.values():
                found.extend(entries)
        return found

    def cost_before(self, group: GroupPath) -> float:
        """Estimate the tokens served before a new entry of a group.

        At each level the group waits for its own backlog and, in proportion to the shares, for its busy
        siblings.

        :param group: the group of the new entry.
        :return: tokens.
        """
        nodes = self._nodes(group)
        ahead = nodes[-1].cost
        for parent, node in reversed(list(pairwise(nodes))):
            others = parent.cost - node.cost
            share = self.share_of(node.path)[1]
            busy = sum(
                self.share_of(child.path)[1]
                for child in parent.children.values()
                if child.backlog and child is not node
            )
            ahead = ahead + min(others, max(ahead, 1.0) * busy / share)
        return ahead

    def _nodes(self, group: GroupPath) -> list[_Node[EntryT]]:
        nodes = [self.root]
        for path in ancestors_and_self(group)[1:]:
            children = nodes[-1].children
            if path not in children:
                children[path] = _Node(path)
            nodes.append(children[path])
        return nodes

    def _next_child(
        self, node: _Node[EntryT], at: float, only_priority: int | None
    ) -> _Node[EntryT] | None:
        """Return the child whose turn it is, or None if it is the turn of the group's own entries.

        :param only_priority: the priority of the entries to consider, whatever that of their groups; None
            for all entries.
        """
        best: _Node[EntryT] | None = None
        best_rank = (0, 0.0)
        for child in node.children.values():
            if not child.has_backlog(only_priority):
                continue
            priority, share = self._rank_facts(child, only_priority)
            rank = (-priority, self.usage.total(child.path, at) / share)
            if best is None or rank < best_rank:
                best, best_rank = child, rank
        if best is None or not node.has_own(only_priority):
            return best
        # Entries of an inner group itself count as one more child, with a share of 1.
        below = sum(self.usage.total(child, at) for child in node.children)
        own = max(0.0, self.usage.total(node.path, at) - below)
        return best if best_rank <= (-self._rank_facts(node, only_priority)[0], own) else None

    def _rank_facts(self, node: _Node[EntryT], only_priority: int | None) -> tuple[int, float]:
        priority, share = self.share_of(node.path)
        return (priority, share) if only_priority is None else (0, share)


def _take_entry(node: _Node[EntryT], at: float, priority: int | None) -> QueuedItem[EntryT]:
    """Take the next entry of a group, of one priority or of its highest one.

    :param priority: the priority; None for the highest.
    """
    if priority is None:
        priority = max(key for key, entries in node.entries.items() if entries)
    entries = node.entries[priority]
    return entries.pop() if entries[0].is_late(at) else entries.popleft()


def _add_to_totals(nodes: list[_Node[EntryT]], item: QueuedItem[EntryT]) -> None:
    for node in nodes:
        node.backlog += 1
        node.backlog_by_priority[item.priority] = node.backlog_by_priority.get(item.priority, 0) + 1
        node.cost += item.cost


def _subtract_from_totals(nodes: list[_Node[EntryT]], item: QueuedItem[EntryT]) -> None:
    for node in nodes:
        node.backlog -= 1
        node.backlog_by_priority[item.priority] -= 1
        if not node.backlog_by_priority[item.priority]:
            del node.backlog_by_priority[item.priority]
        node.cost = node.cost - item.cost if node.backlog else 0.0
