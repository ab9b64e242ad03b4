"""Totals of the requests in flight on each server that holds layers, over all daemons.

Daemons send their own sums with each heartbeat. In large sites, where not every daemon hears from every
other, the readers of a hall (see :mod:`bayglade.readers`) add up what they receive from it, and send
the sums to each other and to their hall. A sum is a few seconds old at most; daemons not heard from
recently are left out.
"""

from collections.abc import Iterable, Mapping, Sequence

from bayglade.clock import now
from bayglade.entries.wire import Heartbeat, LoadSums, ServerLoad
from bayglade.ids import HallName, MemberId, ServerKey

REPORT_MAX_AGE_SECONDS = 3.5
"""How long a daemon's report counts: as long as the daemon is considered live without another one."""

STARTUP_SECONDS = 3.0
"""How long after its start a daemon assumes that every other daemon of its hall has at least as much in
flight as itself. When all restart after a power loss, clients come back before the first sums arrive,
and each daemon would otherwise take the fastest path of its hall to be idle."""

Loads = dict[ServerKey, ServerLoad]
"""Sums by server incarnation: those of earlier incarnations are kept apart."""


class LoadReport:
    """The last report of one daemon, with the monotonic time of its arrival."""

    __slots__ = ("at", "everywhere", "hall", "own")

    def __init__(self, beat: Heartbeat) -> None:
        self.at = now()
        self.own = beat.loads
        self.hall = beat.hall_loads
        self.everywhere = beat.all_loads

    def __repr__(self) -> str:
        return f"<LoadReport {now() - self.at:.1f} s ago>"


class LoadTotals:
    """The sums that one daemon receives and sends.

    :param me: this daemon.
    """

    def __init__(self, me: MemberId) -> None:
        self.me = me
        self.halls: dict[MemberId, HallName] = {}
        self.readers: Mapping[HallName, Sequence[MemberId]] = {}
        self.sums = LoadSums()
        """The sums sent with the last heartbeat."""

        self.reports: dict[MemberId, LoadReport] = {}
        self.started_at = now()

    def __repr__(self) -> str:
        return f"<LoadTotals of {len(self.reports)} daemons>"

    def assign(
        self, daemons: Mapping[MemberId, HallName], readers: Mapping[HallName, Sequence[MemberId]]
    ) -> None:
        """Set the daemons and their roles.

        :param daemons: all daemons with their halls.
        :param readers: the readers of each hall; empty if every daemon hears from every other.
        """
        self.halls = dict(daemons)
        self.readers = readers
        self.reports = {member: report for member, report in self.reports.items() if member in daemons}

    def merge_heartbeat(self, member: MemberId, beat: Heartbeat) -> None:
        """Store the sums that a daemon sent."""
        self.reports[member] = LoadReport(beat)

    def is_reader(self) -> bool:
        """Tell whether this daemon adds up the sums of its hall."""
        return self.me in self.readers.get(self.halls.get(self.me, HallName("")), [])

    def update_sums(self, own: list[ServerLoad]) -> None:
        """Compute the sums to send until the next update.

        :param own: the sums of this daemon.
        """
        if self.is_reader():
            self.sums = LoadSums(own, self.hall_sum(own), self.site_sum(own))
        else:
            self.sums = LoadSums(own)

    def for_member(self, member: MemberId) -> LoadSums:
        """Return the sums that another daemon needs.

        :param member: the daemon.
        """
        if not self.readers:
            return LoadSums(self.sums.own)
        hall = self.halls.get(member, HallName(""))
        if hall == self.halls.get(self.me):
            own = self.sums.own if member in self.readers.get(hall, ()) else []
            return LoadSums(own, [], self.sums.everywhere)
        return LoadSums([], self.sums.hall, [])

    def hall_sum(self, own: Iterable[ServerLoad]) -> list[ServerLoad]:
        """Return the sums of this daemon's hall, including its own.

        :param own: the sums of this daemon.
        """
        hall = self.halls.get(self.me)
        sums = _add({}, own)
        for member, report in self._fresh_reports().items():
            if self.halls.get(member) == hall:
                _add(sums, report.own)
        return list(sums.values())

    def site_sum(self, own: Iterable[ServerLoad]) -> list[ServerLoad]:
        """Return the sums of all halls, as far as readers have reported them.

        :param own: the sums of this daemon.
        """
        sums = _add({}, self.hall_sum(own))
        fresh = self._fresh_reports()
        for hall, readers in self.readers.items():
            if hall == self.halls.get(self.me):
                continue
            # All readers of a hall report on the same daemons: one of them is enough.
            report = next((fresh[reader] for reader in readers if reader in fresh), None)
            if report is not None:
                _add(sums, report.hall)
        return list(sums.values())

    def other_daemons(self, own: Iterable[ServerLoad]) -> Loads:
        """Return what the other daemons have in flight.

        :param own: the sums of this daemon, which the sums of its readers include.
        """
        own = list(own)
        others = self._sum_of_others(own)
        peers = self.count_hall_peers()
        if peers and now() - self.started_at < STARTUP_SECONDS:
            _raise_to_multiple(others, own, peers)
        return others

    def count_hall_peers(self) -> int:
        """Return the number of other daemons in this daemon's hall."""
        own = self.halls.get(self.me)
        return sum(1 for member, hall in self.halls.items() if hall == own and member != self.me)

    def _sum_of_others(self, own: Iterable[ServerLoad]) -> Loads:
        fresh = self._fresh_reports()
        mine = _add({}, own)
        if self.is_reader():
            return _subtract(_add({}, self.site_sum(own)), mine)
        readers = self.readers.get(self.halls.get(self.me, HallName("")), [])
        sums = next((fresh[r].everywhere for r in readers if r in fresh), None)
        if sums is not None:
            return _subtract(_add({}, sums), mine)
        others: Loads = {}
        for report in fresh.values():
            _add(others, report.own)
        return others

    def _fresh_reports(self) -> dict[MemberId, LoadReport]:
        oldest = now() - REPORT_MAX_AGE_SECONDS
        return {member: report for member, report in self.reports.items() if report.at >= oldest}


def _add(sums: Loads, loads: Iterable[ServerLoad]) -> Loads:
    for load in loads:
        known = sums.get(load.key)
        if known is not None:
            load = _with_counts(load, known.heads + load.heads, known.cached + load.cached)
        sums[load.key] = load
    return sums


def _raise_to_multiple(loads: Loads, own: Iterable[ServerLoad], times: int) -> None:
    """Raise sums to at least a multiple of the daemon's own."""
    for load in own:
        known = loads.get(load.key)
        heads, cached = load.heads * times, load.cached * times
        if known is not None:
            heads, cached = max(heads, known.heads), max(cached, known.cached)
        loads[load.key] = _with_counts(load, heads, cached)


def _with_counts(load: ServerLoad, heads: int, cached: int) -> ServerLoad:
    return ServerLoad(load.backend, heads, cached, load.incarnation)


def _subtract(sums: Loads, own: Loads) -> Loads:
    """Subtract a daemon's own part from sums, which may be older than it."""
    left: Loads = {}
    for key, total in sums.items():
        mine = own.get(key)
        if mine is None:
            left[key] = total
            continue
        heads, cached = max(0, total.heads - mine.heads), max(0, total.cached - mine.cached)
        left[key] = _with_counts(total, heads, cached)
    return left
