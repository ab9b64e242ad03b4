"""Fair shares: who is served next, over a tree of groups and over all daemons.

At each level the child with the least recent service for its share goes first,
so an idle group lends its share and has it back within a few time constants.
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
"""Returns priority and share in force for a group."""


class Waiting(Generic[EntryT]):
    """One entry of a queue: whose it is, what it costs and until when it helps."""

    __slots__ = ("cost", "entry", "group", "latest_start", "priority", "queued_at")

    def __init__(
        self, group: GroupPath, priority: int, cost: float, latest_start: float, entry: EntryT
    ) -> None:
        self.group = group
        self.priority = priority
        self.cost = cost
        self.latest_start = latest_start
        self.entry = entry
        self.queued_at = now()

    def __repr__(self) -> str:
        return f"<Waiting {self.group} cost={self.cost}>"

    def late(self, at: float) -> bool:
        """Tell whether it has used up much of the time it had to wait."""
        return at - self.queued_at > LATE_FRACTION * (self.latest_start - self.queued_at)


class _Node(Generic[EntryT]):
    """A group in a queue: its own entries and the groups below it."""

    __slots__ = ("backlog", "children", "cost", "entries", "path")

    def __init__(self, path: GroupPath) -> None:
        self.path = path
        self.children: dict[GroupPath, _Node[EntryT]] = {}
        self.entries: dict[int, deque[Waiting[EntryT]]] = {}
        self.backlog = 0
        self.cost = 0.0


class ShareQueue(Generic[EntryT]):
    """Entries of many groups, taken out in the order of their shares.

    :param usage: recent service.
    :param share_of: priority and share of each group.
    """

    def __init__(self, usage: Usage, share_of: ShareOf) -> None:
        self.usage = usage
        self.share_of = share_of
        self.root: _Node[EntryT] = _Node(GroupPath(""))

    def __repr__(self) -> str:
        return f"<ShareQueue {len(self)} waiting>"

    def __len__(self) -> int:
        return self.root.backlog

    @property
    def cost(self) -> float:
        """Tokens of everything that waits."""
        return self.root.cost

    def push(self, waiting: Waiting[EntryT]) -> None:
        """Add an entry."""
        nodes = self._nodes(waiting.group)
        nodes[-1].entries.setdefault(waiting.priority, deque()).append(waiting)
        _count(nodes, 1, waiting.cost)

    def remove(self, waiting: Waiting[EntryT]) -> bool:
        """Take an entry out before its turn.

        :return: false when it was no longer there.
        """
        nodes = self._nodes(waiting.group)
        entries = nodes[-1].entries.get(waiting.priority)
        if entries is None or waiting not in entries:
            return False
        entries.remove(waiting)
        _count(nodes, -1, -waiting.cost)
        return True

    def pop(self) -> Waiting[EntryT] | None:
        """Take out the entry whose turn it is.

        Between groups the highest priority goes first, then the least service
        for its share. Inside a group the highest priority goes first, oldest
        first; while the oldest is late, the newest goes first instead, so that
        a backlog does not make every answer too late.
        """
        if not self.root.backlog:
            return None
        at = now()
        nodes = [self.root]
        while True:
            node = nodes[-1]
            child = self._next_child(node, at)
            if child is None:
                break
            nodes.append(child)
        waiting = _take(nodes[-1], at)
        _count(nodes, -1, -waiting.cost)
        return waiting

    def restore(self, waiting: Waiting[EntryT]) -> None:
        """Put an entry back that was taken out in vain, at the end where it was taken."""
        nodes = self._nodes(waiting.group)
        entries = nodes[-1].entries.setdefault(waiting.priority, deque())
        if entries and waiting.queued_at > entries[0].queued_at:
            entries.append(waiting)
        else:
            entries.appendleft(waiting)
        _count(nodes, 1, waiting.cost)

    def all(self) -> list[Waiting[EntryT]]:
        """List every entry."""
        found: list[Waiting[EntryT]] = []
        nodes = [self.root]
        while nodes:
            node = nodes.pop()
            nodes.extend(node.children.values())
            for entries in node.entries.values():
                found.extend(entries)
        return found

    def cost_before(self, group: GroupPath) -> float:
        """Estimate the tokens served before a new entry of a group.

        At each level the group waits for its own backlog and, by the shares,
        for the part of its busy siblings.

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

    def _next_child(self, node: _Node[EntryT], at: float) -> _Node[EntryT] | None:
        best: _Node[EntryT] | None = None
        best_rank = (0, 0.0)
        for child in node.children.values():
            if not child.backlog:
                continue
            priority, share = self.share_of(child.path)
            rank = (-priority, self.usage.total(child.path, at) / share)
            if best is None or rank < best_rank:
                best, best_rank = child, rank
        if best is None or not any(node.entries.values()):
            return best
        # Work queued at an inner group itself stands as one more child of share 1.
        below = sum(self.usage.total(child, at) for child in node.children)
        own = max(0.0, self.usage.total(node.path, at) - below)
        return best if best_rank <= (-self.share_of(node.path)[0], own) else None


def _take(node: _Node[EntryT], at: float) -> Waiting[EntryT]:
    priority = max(p for p, entries in node.entries.items() if entries)
    entries = node.entries[priority]
    return entries.pop() if entries[0].late(at) else entries.popleft()


def _count(nodes: list[_Node[EntryT]], backlog: int, cost: float) -> None:
    for node in nodes:
        node.backlog += backlog
        node.cost = node.cost + cost if node.backlog else 0.0
