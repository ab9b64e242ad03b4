"""Readers: which daemons follow the platform's tables in the store, and which daemons the others poll.

Each call of the store costs money and counts against a rate limit that all daemons share, so the
number of calls must not grow with the number of daemons. Two daemons of the whole site follow the
store, two of each data hall poll these, and all others poll the two of their hall. Each daemon
computes this locally from the same ranking. Views may differ for a while, and then a daemon may be
polled that has to poll others itself. A daemon only polls daemons ranked before it, so polls never
form a cycle.

See ``docs/design/membership.md``.
"""

import hashlib
from collections.abc import Collection, Iterable, Mapping, Sequence
from enum import Enum

import msgspec

from bayglade.clock import now
from bayglade.ids import HallName, MemberId

READER_COUNT = 2
"""Readers of the site, and of each hall: the second one serves while the first is lost."""
MAX_PASSED_OVER = 3
"""How many daemons may be passed over because the store does not answer them. If more report that, the
store itself is considered unavailable: otherwise every daemon in turn would become a reader and call it."""
LOST_AFTER_SECONDS = 1.8
"""A daemon that has been silent for this long is no longer polled; heartbeats arrive every second."""
LOST_EXPIRY_SECONDS = 15.0
"""A silent daemon becomes eligible again after this time, as it may not know that others wait for it."""
RANK_DIGEST_BYTES = 8


class Role(Enum):
    """The part that a daemon plays in reading the platform's tables."""

    SITE_READER = "site"
    """Follows the store."""

    HALL_READER = "hall"
    """Polls the readers of the site, and is polled by its hall."""

    FOLLOWER = "follower"
    """Polls the readers of its hall."""


class ReaderPlan(msgspec.Struct, frozen=True):
    """Which daemons are readers, in the view of one daemon."""

    role: Role
    sources: tuple[MemberId, ...] = ()
    """The daemons that this one polls; none when it follows the store."""

    hall_readers: dict[HallName, tuple[MemberId, ...]] = {}
    """The readers of each hall."""


class Ranking:
    """All daemons, ranked by the order in which they become readers.

    :param halls: all daemons with their halls.
    :param links: link speeds of their hosts, in Mbit/s. Daemons on fast links rank first: on a slow link,
        relaying a table to a hall would delay all other traffic.
    """

    __slots__ = ("by_hall", "halls", "ranked")

    def __init__(
        self, halls: Mapping[MemberId, HallName], links: Mapping[MemberId, float] | None = None
    ) -> None:
        speeds = links or {}
        self.halls = dict(halls)
        self.ranked = sorted(halls, key=lambda member: (-speeds.get(member, 0.0), _rank(member)))
        self.by_hall: dict[HallName, list[MemberId]] = {}
        for member in self.ranked:
            self.by_hall.setdefault(halls[member], []).append(member)

    def __repr__(self) -> str:
        return f"<Ranking of {len(self.ranked)} daemons>"

    def first_of_halls(self, count: int) -> set[MemberId]:
        """Return the daemons that rank first in each hall, whether or not they are live.

        :param count: their number for each hall.
        """
        return {member for members in self.by_hall.values() for member in members[:count]}


class LostDaemons:
    """Daemons that have gone silent, in the view of one daemon; times are monotonic seconds."""

    def __init__(self) -> None:
        self.since: dict[MemberId, float] = {}

    def __repr__(self) -> str:
        return f"<LostDaemons {sorted(self.since)}>"

    def update(self, silent: Iterable[MemberId], heard: Mapping[MemberId, float]) -> None:
        """Update the set of silent daemons.

        :param silent: daemons that should have been heard and were not.
        :param heard: when each daemon was last heard.
        """
        at = now()
        for member in silent:
            self.since.setdefault(member, at)
        for member, since in list(self.since.items()):
            if heard.get(member, 0.0) > since or at - since > LOST_EXPIRY_SECONDS:
                del self.since[member]


def plan_readers(
    me: MemberId, ranking: Ranking, lost: Collection[MemberId], without_store: Collection[MemberId]
) -> ReaderPlan:
    """Choose the readers.

    :param me: this daemon.
    :param ranking: the ranking of all daemons.
    :param lost: daemons that have gone silent.
    :param without_store: daemons that are alive but get no answer from the store.
    """
    hall = ranking.halls.get(me)
    if hall is None:
        return ReaderPlan(Role.SITE_READER)
    readers = {name: _choose(members, lost, without_store) for name, members in ranking.by_hall.items()}
    if me not in readers[hall]:
        return ReaderPlan(Role.FOLLOWER, readers[hall], readers)
    site = _choose(ranking.ranked, lost, without_store)
    if me not in site:
        return ReaderPlan(Role.HALL_READER, site, readers)
    return ReaderPlan(Role.SITE_READER, (), readers)


def needed_streams(me: MemberId, ranking: Ranking, plan: ReaderPlan) -> set[MemberId]:
    """Return the daemons to which a daemon needs a stream: those it polls, and those that may poll it."""
    if plan.role is Role.FOLLOWER:
        return set(plan.sources)
    hall = set(ranking.by_hall.get(ranking.halls.get(me, HallName("")), ()))
    others = {name for names in plan.hall_readers.values() for name in names}
    return (hall | others | set(plan.sources)) - {me}


def _choose(
    members: Sequence[MemberId], lost: Collection[MemberId], without_store: Collection[MemberId]
) -> tuple[MemberId, ...]:
    live = [member for member in members if member not in lost]
    able = [member for member in live[: READER_COUNT + MAX_PASSED_OVER] if member not in without_store]
    return tuple((able if len(able) >= READER_COUNT else live)[:READER_COUNT])


def _rank(member: MemberId) -> bytes:
    # Ranked by hash rather than by name: daemons of one rack or of one rolling restart often have
    # consecutive names.
    return hashlib.blake2b(member.encode(), digest_size=RANK_DIGEST_BYTES).digest()
