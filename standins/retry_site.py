"""A site in virtual time whose daemons want retries all the time, with the parts and loans of the product.

Daemons see the roster late, and may be frozen, killed, cut off from the store or from each other, started
anew or added. What they send is counted over all of them.
"""

import random
from collections.abc import Callable, Iterable
from itertools import count
from typing import NamedTuple

import eventlet

from bayglade import lending, retry_ledger, retry_parts
from bayglade.entries.wire import BorrowReply, BorrowRequest, BorrowReturn, CreditDeposit, Message
from bayglade.ids import HallName, MemberId
from bayglade.lending import RetryLending
from bayglade.metrics import create_metrics
from bayglade.peering import RETRY_FRACTION
from bayglade.readers import READER_COUNT, Ranking
from bayglade.retry_ledger import Charge, RetryBound, RetryLedger
from bayglade.retry_parts import RetryParts
from standins.users.retry_use import RetryBound as Allowed
from standins.users.retry_use import RetryUse, worst_retry_use
from standins.virtual_time import now

SERVICE = "model"
WINDOW = 10.0
FRACTION = 0.2
ROSTER_SECONDS = 10.0
ROSTER_READ_SECONDS = 4.0
MESSAGE_SECONDS = 0.001
STEP_SECONDS = 0.1
"""How often a daemon looks whether it wants retries, in a site of up to ten; less often in larger ones."""
MESH = 16
"""Sites of up to this many daemons have streams between all of them."""
MODULES = (lending, retry_ledger, retry_parts)
"""The modules that read the clock."""


class SiteSize(NamedTuple):
    """The size of a site."""

    daemons: int
    halls: int
    floor: float
    """Retries allowed in a window, besides those for requests."""

    rate: float
    """Requests a second at all daemons together."""


class RetryDaemon:
    """One process of a daemon: its view of the roster, its retries and its loans."""

    def __init__(self, site: "RetrySite", member: MemberId, first_start: bool) -> None:
        self.site = site
        self.member = member
        self.hall = site.halls[member]
        self.parts = RetryParts(member, WINDOW, ROSTER_SECONDS, first_start)
        bound = RetryBound(RETRY_FRACTION * FRACTION, RETRY_FRACTION * site.floor, WINDOW)
        self.ledger = RetryLedger(bound, self.parts.current)
        self.lending = RetryLending(
            member,
            lambda service: self.ledger,
            self._lenders,
            self._is_follower,
            self._push,
            create_metrics(None, ""),
            site.rng,
        )
        self.ranking = Ranking({})
        self.alive = True
        self.frozen = False
        self.cut_from_store = False
        self.held_messages: list[tuple[MemberId, Message]] = []
        site.on_start(self)
        eventlet.spawn_n(self._follow_roster)
        eventlet.spawn_n(self._work)

    @property
    def runs(self) -> bool:
        """Whether its process is neither killed nor frozen."""
        return self.alive and not self.frozen

    def receive(self, sender: MemberId, message: Message) -> None:
        """Handle a message of another daemon, once this one runs."""
        if self.frozen:
            self.held_messages.append((sender, message))
        elif self.alive:
            if isinstance(message, BorrowRequest):
                self.lending.handle_request(sender, message)
            elif isinstance(message, BorrowReply):
                self.lending.handle_reply(sender, message)
            elif isinstance(message, BorrowReturn):
                self.lending.handle_return(sender, message)
            elif isinstance(message, CreditDeposit):
                self.lending.handle_deposit(sender, message)

    def wake(self) -> None:
        """Go on after a freeze."""
        self.frozen = False
        held, self.held_messages = self.held_messages, []
        # It may send before it has read anything that arrived meanwhile.
        self._send_wanted()
        for sender, message in held:
            self.receive(sender, message)

    def _follow_roster(self) -> None:
        eventlet.sleep(self.site.rng.uniform(0.0, 0.3))
        known_at = float("-inf")
        while self.alive:
            if self.runs:
                if not self.cut_from_store:
                    known_at = now()
                    self.ranking = Ranking(dict(self.site.roster))
                lenders = (
                    set(self.ranking.halls)
                    if self._is_mesh()
                    else self.ranking.first_of_halls(READER_COUNT)
                )
                self.parts.observe(known_at, self.ranking.halls.keys(), lenders)
                self.lending.send_deposits()
            eventlet.sleep(self.site.rng.uniform(0.5, 1.0) * ROSTER_READ_SECONDS if known_at > 0 else 0.5)

    def _work(self) -> None:
        while self.alive:
            eventlet.sleep(self.site.step)
            if self.runs:
                for _ in range(self.site.take_requests(self)):
                    self.site.requests.append(now())
                    self.lending.note_request(SERVICE)
                if self.site.wants(self):
                    self._send_wanted()

    def _send_wanted(self) -> None:
        """Send retries until there is none left, with loans if this daemon can get any."""
        for borrowed in (False, True):
            while self.runs and (charge := self.ledger.acquire()) is not None:
                self._send(charge)
            if not borrowed and self.runs and self.site.wants(self):
                eventlet.spawn_n(self._borrow)

    def _borrow(self) -> None:
        while self.runs and self.site.wants(self):
            self.lending.waiting[SERVICE] += 3
            self.lending.borrow(SERVICE, self.ledger)
            self.lending.waiting[SERVICE] -= 3
            charge = self.ledger.acquire() if self.runs else None
            if charge is None:
                return
            while charge is not None:
                self._send(charge)
                charge = self.ledger.acquire() if self.runs else None

    def _send(self, charge: Charge) -> None:
        if charge.commit():
            late = self.site.rng.uniform(0.0, retry_parts.DELIVERY_SECONDS) if self.site.late else 0.0
            self.site.retries.append(now() + late)

    def _is_mesh(self) -> bool:
        return len(self.ranking.halls) <= MESH

    def _is_follower(self) -> bool:
        return not self._is_mesh() and self.member not in self.ranking.first_of_halls(READER_COUNT)

    def _lenders(self) -> list[MemberId]:
        if self._is_mesh():
            known: Iterable[MemberId] = self.ranking.halls
        elif self._is_follower():
            known = self.ranking.by_hall.get(self.hall, [])[:READER_COUNT]
        else:
            known = self.ranking.first_of_halls(READER_COUNT)
        return sorted(member for member in known if member != self.member)

    def _push(self, to: MemberId, message: Message) -> None:
        self.site.deliver(self.member, to, message)


class RetrySite:
    """Daemons of one site; create it within virtual time.

    :param size: how large it is.
    :param seed: seed of all randomness.
    :param late: whether what is sent may arrive as late as a connection lasts without an acknowledgement.
    """

    def __init__(self, size: SiteSize, seed: int = 1, late: bool = False) -> None:
        self.rng = random.Random(seed)
        self.floor = size.floor
        self.rate = size.rate
        self.step = STEP_SECONDS * max(1.0, size.daemons / 40)
        self.late = late
        self.numbers = count()
        self.halls: dict[MemberId, HallName] = {}
        self.hall_count = size.halls
        self.roster: dict[MemberId, HallName] = {}
        self.daemons: dict[MemberId, RetryDaemon] = {}
        self.parted: set[frozenset[MemberId]] = set()
        self.side: dict[MemberId, int] = {}
        """Daemons on different sides do not reach each other."""

        self.troubled: set[HallName] | None = None
        """Halls whose daemons want retries; None if all do."""

        self.reached: set[MemberId] | None = None
        """The daemons that callers reach; None if they reach all."""

        self.isolated: set[MemberId] = set()
        """Daemons that reach no server, so that others send their calls."""

        self.on_start: Callable[[RetryDaemon], None] = lambda daemon: None
        """Called with each process that starts."""

        self.on_message: Callable[[MemberId, Message], None] = lambda to, message: None
        """Called with each message between daemons and its receiver."""

        self.demanding = False
        self.backlog: dict[MemberId, float] = {}
        self.requests: list[float] = []
        self.retries: list[float] = []
        for _ in range(size.daemons):
            self.add(first_start=True)

    def add(self, first_start: bool = False) -> MemberId:
        """Start a daemon that was not there before; return its name."""
        number = next(self.numbers)
        member = MemberId(f"d{number}")
        self.halls[member] = self.roster[member] = HallName(f"h{number % self.hall_count}")
        self.daemons[member] = RetryDaemon(self, member, first_start)
        return member

    def restart(self, member: MemberId) -> None:
        """Kill a daemon and start it again at once."""
        self.daemons[member].alive = False
        self.daemons[member] = RetryDaemon(self, member, first_start=False)

    def remove(self, member: MemberId) -> None:
        """Take a daemon out of the roster, as others do after a long silence; its process goes on."""
        del self.roster[member]

    def freeze(self, members: Iterable[MemberId], seconds: float) -> None:
        """Freeze daemons for some seconds."""
        frozen = [self.daemons[member] for member in members]
        for daemon in frozen:
            daemon.frozen = True
        eventlet.sleep(seconds)
        for daemon in frozen:
            daemon.wake()

    def deliver(self, sender: MemberId, to: MemberId, message: Message) -> None:
        """Deliver a message a little later, if the daemons reach each other."""
        self.on_message(to, message)
        if self.side.get(sender, 0) == self.side.get(to, 0) and to in self.daemons:
            delay = MESSAGE_SECONDS * self.rng.uniform(0.5, 2.0)
            eventlet.spawn_after(delay, self._arrive, sender, to, message)

    def wants(self, daemon: RetryDaemon) -> bool:
        """Return whether a daemon wants retries now."""
        if not self.demanding or daemon.member in self.isolated:
            return False
        if self.reached is not None and not self.isolated and daemon.member not in self.reached:
            return False
        return self.troubled is None or daemon.hall in self.troubled

    def take_requests(self, daemon: RetryDaemon) -> int:
        """Return the requests that a daemon has received since it last looked."""
        if self.reached is not None and daemon.member not in self.reached:
            return 0
        due = self.backlog.get(daemon.member, self.rng.random())
        due += self.rate / len(self.reached or self.daemons) * self.step
        self.backlog[daemon.member] = due % 1.0
        return int(due)

    def use(self) -> RetryUse:
        """Return the use of the bound in the window that uses most of it."""
        arrivals = [("request", float("-inf")), *(("request", at) for at in self.retries)]
        return worst_retry_use(arrivals, self.requests, Allowed(FRACTION, self.floor, WINDOW))

    def _arrive(self, sender: MemberId, to: MemberId, message: Message) -> None:
        self.daemons[to].receive(sender, message)
