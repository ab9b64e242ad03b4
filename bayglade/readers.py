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

READERS = 2
"""Readers of the site, and of each hall: the second one serves while the first is lost."""
MOST_UNABLE = 3
"""How many daemons may be passed over because the store does not answer them. If more report that, the
store itself is considered unavailable: otherwise every daemon in turn would become a reader and call it."""
LOST_SECONDS = 1.8
"""A daemon that has been silent for so long is no longer polled; heartbeats arrive every second."""
FORGIVE_SECONDS = 15.0
"""A silent daemon becomes eligible again after this time: it may not know that others expect messages from
it."""
RANK_BYTES = 8


class Duty(Enum):
    """The part that a daemon plays in reading the platform's tables."""

    SITE = "site"
    """Follows the store."""

    HALL = "hall"
    """Polls the readers of the site, and is polled by its hall."""

    FOLLOWER = "follower"
    """Polls the readers of its hall."""


class Plan(msgspec.Struct, frozen=True):
    """Which daemons are readers, in the view of one daemon."""

    duty: Duty
    asks: tuple[MemberId, ...] = ()
    """The daemons that this one polls; none when it follows the store."""

    readers: dict[HallName, tuple[MemberId, ...]] = {}
    """The readers of each hall."""


class Order:
    """All daemons, ranked by the order in which they become readers.

    :param halls: all daemons with their halls.
    :param links: link speeds of their hosts, in Mbit/s. Daemons on fast links rank first: on a slow link,
        relaying a table to a hall would delay all other traffic.
    """

    __slots__ = ("by_hall", "halls", "site")

    def __init__(
        self, halls: Mapping[MemberId, HallName], links: Mapping[MemberId, float] | None = None
    ) -> None:
        speeds = links or {}
        self.halls = dict(halls)
        self.site = sorted(halls, key=lambda member: (-speeds.get(member, 0.0), _rank(member)))
        self.by_hall: dict[HallName, list[MemberId]] = {}
        for member in self.site:
            self.by_hall.setdefault(halls[member], []).append(member)

    def __repr__(self) -> str:
        return f"<Order of {len(self.site)} daemons>"


class Lost:
    """Daemons that have gone silent, in the view of one daemon; times are monotonic seconds."""

    def __init__(self) -> None:
        self.since: dict[MemberId, float] = {}

    def __repr__(self) -> str:
        return f"<Lost {sorted(self.since)}>"

    def update(self, silent: Iterable[MemberId], heard: Mapping[MemberId, float]) -> None:
        """Update the set of silent daemons.

        :param silent: daemons that should have been heard and were not.
        :param heard: when each daemon was last heard.
        """
        at = now()
        for member in silent:
            self.since.setdefault(member, at)
        for member, since in list(self.since.items()):
            if heard.get(member, 0.0) > since or at - since > FORGIVE_SECONDS:
                del self.since[member]


def make_plan(me: MemberId, order: Order, lost: Collection[MemberId], unable: Collection[MemberId]) -> Plan:
    """Choose the readers.

    :param me: this daemon.
    :param order: the ranking of all daemons.
    :param lost: daemons that have gone silent.
    :param unable: daemons that are alive but get no answer from the store.
    """
    hall = order.halls.get(me)
    if hall is None:
        return Plan(Duty.SITE)
    readers = {name: _first(members, lost, unable) for name, members in order.by_hall.items()}
    if me not in readers[hall]:
        return Plan(Duty.FOLLOWER, readers[hall], readers)
    site = _first(order.site, lost, unable)
    if me not in site:
        return Plan(Duty.HALL, site, readers)
    return Plan(Duty.SITE, (), readers)


def streams_of(me: MemberId, order: Order, plan: Plan) -> set[MemberId]:
    """Return the daemons to which a daemon needs a stream: those it polls, and those that may poll it."""
    if plan.duty is Duty.FOLLOWER:
        return set(plan.asks)
    hall = set(order.by_hall.get(order.halls.get(me, HallName("")), ()))
    others = {name for names in plan.readers.values() for name in names}
    return (hall | others | set(plan.asks)) - {me}


def _first(
    members: Sequence[MemberId], lost: Collection[MemberId], unable: Collection[MemberId]
) -> tuple[MemberId, ...]:
    live = [member for member in members if member not in lost]
    able = [member for member in live[: READERS + MOST_UNABLE] if member not in unable]
    return tuple((able if len(able) >= READERS else live)[:READERS])


def _rank(member: MemberId) -> bytes:
    # Ranked by hash rather than by name: daemons of one rack or of one rolling restart often have
    # consecutive names.
    return hashlib.blake2b(member.encode(), digest_size=RANK_BYTES).digest()
