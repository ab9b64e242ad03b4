"""Usage: recent service of each group and what it asked for, here and elsewhere.

Tokens are counted and forgotten exponentially. Other daemons tell their counts
as absolute figures, so a lost or repeated message does no harm.
"""

import msgspec

from bayglade.clock import DecayingSum, now
from bayglade.ids import GroupPath, MemberId
from bayglade.settings import contains, lineage

USAGE_TAU = 5.0
"""Seconds in which a count falls to 1/e."""

FORGET_BELOW = 0.5


class GroupUsage(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon tells of a group: recent tokens served and asked for."""

    group: GroupPath
    served: float
    asked: float


class Usage:
    """Recent service of each group, here and as told by other daemons."""

    def __init__(self) -> None:
        self.local: dict[GroupPath, DecayingSum] = {}
        self.own_leaves: dict[GroupPath, DecayingSum] = {}
        self.remote: dict[MemberId, dict[GroupPath, DecayingSum]] = {}
        self.remote_total: dict[GroupPath, DecayingSum] = {}
        self.asked: dict[GroupPath, DecayingSum] = {}
        self.remote_asked: dict[MemberId, dict[GroupPath, DecayingSum]] = {}
        self.told = 0

    def __repr__(self) -> str:
        return f"<Usage {len(self.local)} groups, {len(self.remote)} daemons>"

    def charge(self, path: GroupPath, tokens: float) -> None:
        """Count service of a group here.

        :param path: the group served.
        :param tokens: tokens; negative when an estimate is corrected.
        """
        at = now()
        _add(self.own_leaves, path, tokens, at)
        for level in lineage(path):
            _add(self.local, level, tokens, at)

    def total(self, path: GroupPath, at: float) -> float:
        """Return recent tokens of a group and all below it, over all daemons."""
        return max(0.0, _read(self.local, path, at) + _read(self.remote_total, path, at))

    def ask(self, path: GroupPath, tokens: float) -> None:
        """Count what a group asks for here, whether or not it is served."""
        _add(self.asked, path, tokens, now())

    def asked_here(self, at: float) -> dict[GroupPath, float]:
        """Return what groups ask for through this daemon, in tokens a second."""
        return {path: count.read(at) / USAGE_TAU for path, count in self.asked.items()}

    def asked_everywhere(self, at: float) -> dict[GroupPath, float]:
        """Return what groups ask for through all daemons heard, in tokens a second."""
        total = self.asked_here(at)
        for groups in self.remote_asked.values():
            for path, count in groups.items():
                total[path] = total.get(path, 0.0) + count.read(at) / USAGE_TAU
        return total

    def fraction(self, path: GroupPath, members: int, at: float) -> float:
        """Return the part of a group's limit that this daemon may use.

        Daemons that were heard divide by need; the part of silent ones is
        left to them.

        :param path: the group.
        :param members: how many daemons the host list names.
        :param at: monotonic seconds.
        :return: between 0 and 1.
        """
        heard = min(members, len(self.remote) + 1)
        mine = _below(self.asked, path, at)
        total = mine + sum(_below(groups, path, at) for groups in self.remote_asked.values())
        need = (mine + 1.0) / (total + heard)
        return need * heard / max(members, 1)

    def tell(self, count: int) -> list[GroupUsage]:
        """List the own counts of the next groups in turn, for the other daemons.

        :param count: how many groups at most.
        :return: absolute counts, in whole tokens.
        """
        at = now()
        self._forget(at)
        groups = sorted(self.own_leaves.keys() | self.asked.keys())
        if len(groups) > count:
            start = self.told % len(groups)
            self.told = start + count
            groups = (groups[start:] + groups[:start])[:count]
        return [
            GroupUsage(path, round(_read(self.own_leaves, path, at)), round(_read(self.asked, path, at)))
            for path in groups
        ]

    def hear(self, member: MemberId, rows: list[GroupUsage]) -> None:
        """Take in counts of another daemon, each in place of its earlier one."""
        at = now()
        served = self.remote.setdefault(member, {})
        asked = self.remote_asked.setdefault(member, {})
        for row in rows:
            self._set_remote(served, row.group, row.served, at)
            asked[row.group] = _decayed(row.asked, at)

    def drop(self, member: MemberId) -> None:
        """Forget a daemon that is gone."""
        at = now()
        served = self.remote.pop(member, {})
        for path in list(served):
            self._set_remote(served, path, 0.0, at)
        self.remote_asked.pop(member, None)

    def _set_remote(
        self, served: dict[GroupPath, DecayingSum], path: GroupPath, amount: float, at: float
    ) -> None:
        """Replace one count of another daemon, and what the levels above have of it."""
        change = amount - _read(served, path, at)
        served[path] = _decayed(amount, at)
        for level in lineage(path):
            _add(self.remote_total, level, change, at)

    def _forget(self, at: float) -> None:
        """Drop counts that have faded away."""
        for counts in (self.own_leaves, self.asked, self.local, self.remote_total, *self.remote.values()):
            for path in [path for path, count in counts.items() if abs(count.read(at)) < FORGET_BELOW]:
                del counts[path]


def _decayed(amount: float, at: float) -> DecayingSum:
    count = DecayingSum(USAGE_TAU)
    count.add(amount, at)
    return count


def _read(counts: dict[GroupPath, DecayingSum], path: GroupPath, at: float) -> float:
    return counts[path].read(at) if path in counts else 0.0


def _below(counts: dict[GroupPath, DecayingSum], top: GroupPath, at: float) -> float:
    return sum(count.read(at) for path, count in counts.items() if contains(top, path))


def _add(counts: dict[GroupPath, DecayingSum], path: GroupPath, amount: float, at: float) -> None:
    count = counts.get(path)
    if count is None:
        count = counts[path] = DecayingSum(USAGE_TAU)
    count.add(amount, at)
