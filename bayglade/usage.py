"""Recent service and demand of each group, at this daemon and at all others.

Token counts decay exponentially. Other daemons report theirs as absolute figures, so a lost or repeated
message does no harm.
"""

import msgspec

from bayglade.clock import DecayingSum, now
from bayglade.ids import GroupPath, MemberId
from bayglade.settings import ancestors_and_self, contains

USAGE_TAU = 5.0
"""Time constant of the decay: seconds in which a count falls to 1/e."""

FORGET_BELOW = 0.5


class GroupUsage(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's report about one group: recent tokens served and requested."""

    group: GroupPath
    served: float
    demand: float


class Usage:
    """Recent service and demand of each group, local and reported by other daemons."""

    def __init__(self) -> None:
        self.local: dict[GroupPath, DecayingSum] = {}
        self.local_leaves: dict[GroupPath, DecayingSum] = {}
        self.remote: dict[MemberId, dict[GroupPath, DecayingSum]] = {}
        self.remote_total: dict[GroupPath, DecayingSum] = {}
        self.demand: dict[GroupPath, DecayingSum] = {}
        self.remote_demand: dict[MemberId, dict[GroupPath, DecayingSum]] = {}
        self.report_offset = 0

    def __repr__(self) -> str:
        return f"<Usage {len(self.local)} groups, {len(self.remote)} daemons>"

    def charge(self, path: GroupPath, tokens: float) -> None:
        """Count service of a group at this daemon.

        :param path: the group served.
        :param tokens: tokens; negative to correct an estimate.
        """
        at = now()
        _add(self.local_leaves, path, tokens, at)
        for level in ancestors_and_self(path):
            _add(self.local, level, tokens, at)

    def total(self, path: GroupPath, at: float) -> float:
        """Return recent tokens of a group and its subgroups, over all daemons."""
        return max(0.0, _read(self.local, path, at) + _read(self.remote_total, path, at))

    def note_demand(self, path: GroupPath, tokens: float) -> None:
        """Count a group's demand at this daemon, whether or not it is served."""
        _add(self.demand, path, tokens, now())

    def local_demand(self, at: float) -> dict[GroupPath, float]:
        """Return the demand of each group through this daemon, in tokens per second."""
        return {path: count.read(at) / USAGE_TAU for path, count in self.demand.items()}

    def total_demand(self, at: float) -> dict[GroupPath, float]:
        """Return the demand of each group through all daemons heard from, in tokens per second."""
        total = self.local_demand(at)
        for groups in self.remote_demand.values():
            for path, count in groups.items():
                total[path] = total.get(path, 0.0) + count.read(at) / USAGE_TAU
        return total

    def limit_fraction(self, path: GroupPath, members: int, at: float) -> float:
        """Return the fraction of a group's limit that this daemon may use.

        Daemons that were heard from divide the limit by need; silent ones keep their part.

        :param path: the group.
        :param members: the number of daemons in the host list.
        :param at: monotonic seconds.
        :return: between 0 and 1.
        """
        heard = min(members, len(self.remote) + 1)
        mine = _sum_below(self.demand, path, at)
        total = mine + sum(_sum_below(groups, path, at) for groups in self.remote_demand.values())
        need = (mine + 1.0) / (total + heard)
        return need * heard / max(members, 1)

    def report(self, count: int) -> list[GroupUsage]:
        """Return the local counts of some groups for the other daemons, in rotation.

        :param count: the maximum number of groups.
        :return: absolute counts, in whole tokens.
        """
        at = now()
        self._forget(at)
        groups = sorted(self.local_leaves.keys() | self.demand.keys())
        if len(groups) > count:
            start = self.report_offset % len(groups)
            self.report_offset = start + count
            groups = (groups[start:] + groups[:start])[:count]
        return [
            GroupUsage(path, round(_read(self.local_leaves, path, at)), round(_read(self.demand, path, at)))
            for path in groups
        ]

    def merge_report(self, member: MemberId, rows: list[GroupUsage]) -> None:
        """Replace the counts of another daemon by those that it reports."""
        at = now()
        served = self.remote.setdefault(member, {})
        demand = self.remote_demand.setdefault(member, {})
        for row in rows:
            self._set_remote(served, row.group, row.served, at)
            demand[row.group] = _decayed(row.demand, at)

    def drop(self, member: MemberId) -> None:
        """Drop the counts of a daemon that is gone."""
        at = now()
        served = self.remote.pop(member, {})
        for path in list(served):
            self._set_remote(served, path, 0.0, at)
        self.remote_demand.pop(member, None)

    def _set_remote(
        self, served: dict[GroupPath, DecayingSum], path: GroupPath, amount: float, at: float
    ) -> None:
        """Replace one count of another daemon, and its contribution to all levels above."""
        change = amount - _read(served, path, at)
        served[path] = _decayed(amount, at)
        for level in ancestors_and_self(path):
            _add(self.remote_total, level, change, at)

    def _forget(self, at: float) -> None:
        """Drop counts that have decayed to almost nothing."""
        for counts in (
            self.local_leaves,
            self.demand,
            self.local,
            self.remote_total,
            *self.remote.values(),
        ):
            for path in [path for path, count in counts.items() if abs(count.read(at)) < FORGET_BELOW]:
                del counts[path]


def _decayed(amount: float, at: float) -> DecayingSum:
    count = DecayingSum(USAGE_TAU)
    count.add(amount, at)
    return count


def _read(counts: dict[GroupPath, DecayingSum], path: GroupPath, at: float) -> float:
    return counts[path].read(at) if path in counts else 0.0


def _sum_below(counts: dict[GroupPath, DecayingSum], top: GroupPath, at: float) -> float:
    return sum(count.read(at) for path, count in counts.items() if contains(top, path))


def _add(counts: dict[GroupPath, DecayingSum], path: GroupPath, amount: float, at: float) -> None:
    count = counts.get(path)
    if count is None:
        count = counts[path] = DecayingSum(USAGE_TAU)
    count.add(amount, at)
