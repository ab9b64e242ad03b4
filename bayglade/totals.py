"""Totals: what all daemons have under way on each server that holds layers.

Daemons tell their own sums with each heartbeat. Where there are too many for
everybody to hear everybody, the readers of a hall (see :mod:`bayglade.readers`)
add up what they hear of it and tell each other and their hall the sums. A sum
is some seconds old at most; whoever was not heard lately is left out.
"""

from collections.abc import Iterable, Mapping, Sequence

from bayglade.clock import now
from bayglade.entries.wire import Heartbeat, LoadSums, ServerLoad
from bayglade.ids import HallName, MemberId, ServerKey

FRESH_SECONDS = 3.5
"""How long what a daemon told sums: as long as it is taken to live."""

UNHEARD_SECONDS = 3.0
"""For how long after its start a daemon takes the others of its hall to have at least as much under way
as itself. After a loss of power of all, callers come back before the first sums do, and each daemon would
find the quickest way of its hall empty."""

Loads = dict[ServerKey, ServerLoad]
"""Sums by server; those of an earlier start of a server stand apart from those of the next."""


class Told:
    """What one daemon told last; the time is monotonic."""

    __slots__ = ("at", "everywhere", "hall", "own")

    def __init__(self, beat: Heartbeat) -> None:
        self.at = now()
        self.own = beat.loads
        self.hall = beat.hall_loads
        self.everywhere = beat.all_loads

    def __repr__(self) -> str:
        return f"<Told {now() - self.at:.1f} s ago>"


class Totals:
    """The sums as one daemon hears and tells them.

    :param me: this daemon.
    """

    def __init__(self, me: MemberId) -> None:
        self.me = me
        self.halls: dict[MemberId, HallName] = {}
        self.readers: Mapping[HallName, Sequence[MemberId]] = {}
        self.sums = LoadSums()
        """What was told with the last heartbeat."""

        self.told: dict[MemberId, Told] = {}
        self.started_at = now()

    def __repr__(self) -> str:
        return f"<Totals of {len(self.told)} daemons>"

    def assign(
        self, daemons: Mapping[MemberId, HallName], readers: Mapping[HallName, Sequence[MemberId]]
    ) -> None:
        """Take in who the daemons are.

        :param daemons: all daemons with their halls.
        :param readers: the readers of each hall; none where everybody hears everybody.
        """
        self.halls = dict(daemons)
        self.readers = readers
        self.told = {member: told for member, told in self.told.items() if member in daemons}

    def hear(self, member: MemberId, beat: Heartbeat) -> None:
        """Take in what a daemon tells."""
        self.told[member] = Told(beat)

    def reading(self) -> bool:
        """Tell whether this daemon adds up the sums of its hall."""
        return self.me in self.readers.get(self.halls.get(self.me, HallName("")), [])

    def add_up(self, own: list[ServerLoad]) -> None:
        """Work out what to tell until the next time.

        :param own: the sums of this daemon.
        """
        if self.reading():
            self.sums = LoadSums(own, self.hall_sum(own), self.everywhere(own))
        else:
            self.sums = LoadSums(own)

    def for_member(self, member: MemberId) -> LoadSums:
        """Return what another daemon needs of the sums.

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
        """Return the sum over this daemon's hall, its own sums among it.

        :param own: the sums of this daemon.
        """
        hall = self.halls.get(self.me)
        sums = _add({}, own)
        for member, told in self._fresh().items():
            if self.halls.get(member) == hall:
                _add(sums, told.own)
        return list(sums.values())

    def everywhere(self, own: Iterable[ServerLoad]) -> list[ServerLoad]:
        """Return the sum over all halls, as far as readers tell of them.

        :param own: the sums of this daemon.
        """
        sums = _add({}, self.hall_sum(own))
        fresh = self._fresh()
        for hall, readers in self.readers.items():
            if hall == self.halls.get(self.me):
                continue
            # Readers of one hall tell of the same daemons: one of them is enough.
            heard = next((fresh[reader] for reader in readers if reader in fresh), None)
            if heard is not None:
                _add(sums, heard.hall)
        return list(sums.values())

    def elsewhere(self, own: Iterable[ServerLoad]) -> Loads:
        """Return what the other daemons have under way.

        :param own: the sums of this daemon, which the sums of its readers contain.
        """
        own = list(own)
        heard = self._heard(own)
        neighbours = self.neighbours()
        if neighbours and now() - self.started_at < UNHEARD_SECONDS:
            _raise_to(heard, own, neighbours)
        return heard

    def neighbours(self) -> int:
        """Return how many other daemons the own hall has."""
        own = self.halls.get(self.me)
        return sum(1 for member, hall in self.halls.items() if hall == own and member != self.me)

    def _heard(self, own: Iterable[ServerLoad]) -> Loads:
        fresh = self._fresh()
        mine = _add({}, own)
        if self.reading():
            return _without(_add({}, self.everywhere(own)), mine)
        readers = self.readers.get(self.halls.get(self.me, HallName("")), [])
        sums = next((fresh[r].everywhere for r in readers if r in fresh), None)
        if sums is not None:
            return _without(_add({}, sums), mine)
        heard: Loads = {}
        for told in fresh.values():
            _add(heard, told.own)
        return heard

    def _fresh(self) -> dict[MemberId, Told]:
        oldest = now() - FRESH_SECONDS
        return {member: told for member, told in self.told.items() if told.at >= oldest}


def _add(sums: Loads, loads: Iterable[ServerLoad]) -> Loads:
    for load in loads:
        known = sums.get(load.key)
        if known is not None:
            load = _with_counts(load, known.heads + load.heads, known.cached + load.cached)
        sums[load.key] = load
    return sums


def _raise_to(loads: Loads, own: Iterable[ServerLoad], times: int) -> None:
    """Raise sums to at least so many times the own ones."""
    for load in own:
        known = loads.get(load.key)
        heads, cached = load.heads * times, load.cached * times
        if known is not None:
            heads, cached = max(heads, known.heads), max(cached, known.cached)
        loads[load.key] = _with_counts(load, heads, cached)


def _with_counts(load: ServerLoad, heads: int, cached: int) -> ServerLoad:
    return ServerLoad(load.backend, heads, cached, load.incarnation)


def _without(sums: Loads, own: Loads) -> Loads:
    """Take the own part out of sums, which may be older than it."""
    left: Loads = {}
    for key, total in sums.items():
        mine = own.get(key)
        if mine is None:
            left[key] = total
            continue
        heads, cached = max(0, total.heads - mine.heads), max(0, total.cached - mine.cached)
        left[key] = _with_counts(total, heads, cached)
    return left
