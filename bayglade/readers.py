"""Readers: which daemons follow the platform's tables, and whom the others ask.

Each call of the store is paid for and draws on a rate that all daemons share, so
its calls must not grow with daemons. Two daemons of the whole site follow the
store, two of each data hall ask these, and all others ask the two of their hall.
Everybody works this out alone, from the same order of names; views may differ for
a while, and then somebody is asked who has to ask others. A daemon only ever asks
daemons before it in the order, so no questions run in a circle.

See ``docs/design/membership.md``.
"""

import hashlib
from collections.abc import Collection, Iterable, Mapping, Sequence
from enum import Enum

import msgspec

from bayglade.clock import now
from bayglade.ids import HallName, MemberId

READERS = 2
"""Readers of the site, and of each hall: the second serves while the first is lost."""
MOST_UNABLE = 3
"""Daemons that are passed over because the store does not answer them. When more say so, the store
itself is taken to be lost: everybody trying for it in turn would call it once a daemon."""
LOST_SECONDS = 1.8
"""A daemon that was not heard for so long is not asked: its heartbeats come each second."""
FORGIVE_SECONDS = 15.0
"""After this time one that fell silent is asked again: it may not know that it should say something."""
RANK_BYTES = 8


class Duty(Enum):
    """What a daemon does for the others."""

    SITE = "site"
    """Follows the store."""

    HALL = "hall"
    """Asks the readers of the site, and is asked by its hall."""

    FOLLOWER = "follower"
    """Asks the readers of its hall."""


class Plan(msgspec.Struct, frozen=True):
    """Who reads, as one daemon sees it."""

    duty: Duty
    asks: tuple[MemberId, ...] = ()
    """The daemons that this one asks; none when it reads the store."""

    readers: dict[HallName, tuple[MemberId, ...]] = {}
    """The readers of each hall."""


class Order:
    """All daemons in the order in which they become readers.

    :param halls: all daemons with their halls.
    :param links: speeds of their hosts' links, in Mbit/s. Quick ones come first: what a
        reader sends to its hall would hold everything else up on a slow link.
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
    """Daemons that fell silent, as one daemon sees it; times are monotonic seconds."""

    def __init__(self) -> None:
        self.since: dict[MemberId, float] = {}

    def __repr__(self) -> str:
        return f"<Lost {sorted(self.since)}>"

    def update(self, silent: Iterable[MemberId], heard: Mapping[MemberId, float]) -> None:
        """Take in who is silent now.

        :param silent: daemons that should have been heard and were not.
        :param heard: when each daemon was heard last.
        """
        at = now()
        for member in silent:
            self.since.setdefault(member, at)
        for member, since in list(self.since.items()):
            if heard.get(member, 0.0) > since or at - since > FORGIVE_SECONDS:
                del self.since[member]


def make_plan(me: MemberId, order: Order, lost: Collection[MemberId], unable: Collection[MemberId]) -> Plan:
    """Work out who reads.

    :param me: this daemon.
    :param order: all daemons.
    :param lost: daemons that fell silent.
    :param unable: daemons that live and get no answer of the store.
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
    """Return the daemons to which a daemon needs a stream: those it asks, and who may ask it."""
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
    # Not by name: daemons of one rack or of one rolling restart often have names in a row.
    return hashlib.blake2b(member.encode(), digest_size=RANK_BYTES).digest()
