"""Which part of the bound on retries a daemon may use, so that all parts together never exceed it.

The users bound the retries of all daemons together, in every window. Daemons divide that bound without
asking each other, by the roster, which all read from the store. Who was heard lately plays no part: a
daemon that is frozen or cut off keeps its part. Views of the roster differ for a while after it changes, so

- a daemon has no part unless its view was current lately;
- it divides by the largest roster that it has seen lately;
- a process that has just started has little of its part until all others count it and whatever an earlier
  process of the same daemon sent has left the window.

See ``docs/design/retry_bound.md``.
"""

from collections import deque
from collections.abc import Callable, Collection
from typing import NamedTuple

from bayglade.clock import now
from bayglade.ids import MemberId

VIEW_VALID_FACTOR = 1.1
"""Age of a view of the roster up to which its daemon has a part, in multiples of the time within which a
change of the roster must be known."""
OUTAGE_SECONDS = 15.0
"""Time without a current view after which a daemon waits like one that has just started. Shorter than the
time after which a silent daemon is taken out of the roster."""
DELIVERY_SECONDS = 2.0
"""How long after it was sent a request may still arrive: the kernel gives up a connection after that."""
JOIN_SECONDS = 1.5
FIRST_START_SECONDS = 2.0
"""When a site starts for the first time, no part was used before. A daemon that has joined within the first
of these times has its part as soon as its view is current as of the second, after its start."""
RESERVED_FRACTION = 0.1
"""Fraction of the bound that is divided among all daemons and never lent. The rest is divided among
lenders, which lend it."""


class Part(NamedTuple):
    """A part of the bound, as fractions of it."""

    own: float
    """What the daemon may use, including what it may lend."""

    lendable: float
    starting: bool = False
    """Whether the daemon has started lately: it has a small fraction of its part, and lends nothing."""


NO_PART = Part(0.0, 0.0)
PartOf = Callable[[], Part]
"""Returns the part of a daemon at this moment."""


class View(NamedTuple):
    """The size of the roster in one daemon's view, from a time on."""

    since: float
    daemons: int
    lenders: int


class RetryParts:
    """The part of one daemon, derived from its views of the roster; times are monotonic seconds.

    :param member: this daemon.
    :param window: seconds over which retries are counted.
    :param roster_seconds: seconds within which a change of the roster must be known.
    :param first_start: whether the site starts for the first time.
    """

    def __init__(
        self, member: MemberId, window: float, roster_seconds: float, first_start: bool = False
    ) -> None:
        self.member = member
        self.valid_seconds = VIEW_VALID_FACTOR * roster_seconds
        """Age of a view up to which this daemon has a part."""

        self.settle_seconds = window + DELIVERY_SECONDS + self.valid_seconds
        """Time in the roster after which a daemon has its whole part."""

        self.history_seconds = self.settle_seconds + OUTAGE_SECONDS
        self.started_at = now()
        self.first_start = first_start
        self.known_at = 0.0
        """Every change of the roster accepted before this time is in the view; zero if unknown."""

        self.member_since: float | None = None
        self.lender_since: float | None = None
        self.views: deque[View] = deque()

    def __repr__(self) -> str:
        return f"<RetryParts {self.current()} of {self.divisor()}>"

    def observe(
        self, known_at: float, daemons: Collection[MemberId], lenders: Collection[MemberId]
    ) -> None:
        """Take note of the roster as this daemon sees it.

        :param known_at: a time such that every change accepted before it is included; zero if unknown.
        :param daemons: all daemons in the roster.
        :param lenders: those that lend retries to others.
        """
        at = now()
        if 0.0 < self.known_at < known_at - OUTAGE_SECONDS:
            self.member_since = self.lender_since = None
        self.known_at = max(self.known_at, known_at)
        self.member_since = _since(self.member_since, self.member in daemons, at)
        self.lender_since = _since(self.lender_since, self.member in lenders, at)
        if not self.views or self.views[-1][1:] != (len(daemons), len(lenders)):
            self.views.append(View(at, len(daemons), len(lenders)))
        while len(self.views) > 1 and self.views[1].since < at - self.history_seconds:
            self.views.popleft()

    def divisor(self) -> int:
        """Return the number of daemons by which this one divides the bound."""
        return max((view.daemons for view in self.views), default=0)

    def age(self) -> float:
        """Return the seconds for which this process has counted as a daemon of the roster."""
        return now() - self.member_since if self.member_since is not None else 0.0

    def current(self) -> Part:
        """Return the part that this daemon has now."""
        at = now()
        if self.member_since is None or at - self.known_at > self.valid_seconds:
            return NO_PART
        reserved = RESERVED_FRACTION / self.divisor()
        lendable = 0.0
        if self.lender_since is not None and self._is_settled(self.lender_since, at):
            lendable = (1.0 - RESERVED_FRACTION) / max(view.lenders for view in self.views)
        if self._is_settled(self.member_since, at):
            return Part(reserved + lendable, lendable)
        if at - self.member_since < self.valid_seconds:
            return NO_PART
        if self.lender_since is not None:
            reserved += (1.0 - RESERVED_FRACTION) / max(view.lenders for view in self.views)
        return Part(reserved, 0.0, starting=True)

    def _is_settled(self, since: float, at: float) -> bool:
        """Return whether all others count this daemon, and its earlier retries are out of the window."""
        if self.first_start and since - self.started_at <= JOIN_SECONDS:
            return self.known_at - self.started_at >= FIRST_START_SECONDS
        return at - since >= self.settle_seconds


def whole_bound() -> Part:
    """Return the part of a daemon that has no others beside it."""
    return Part(1.0, 0.0)


def _since(since: float | None, holds: bool, at: float) -> float | None:
    """Return since when a condition holds; None while it does not."""
    if not holds:
        return None
    return at if since is None else since
