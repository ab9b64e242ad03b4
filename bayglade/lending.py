"""Lending of retries: those that a daemon does not need go to the daemons that do.

The bound on retries is divided among daemons that do not ask each other (see
:mod:`bayglade.retry_parts`), while the loss of backend servers affects the requests of only some of them.
So a daemon whose own part is used borrows. In a small site it asks the others directly; in a large one it
asks a reader of its hall, which lends or asks the lenders of other halls. What the borrower does not use in
time it returns.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence

import eventlet
import msgspec
from eventlet.event import Event

from bayglade.clock import now
from bayglade.entries.wire import BorrowReply, BorrowRequest, BorrowReturn, CreditDeposit
from bayglade.fanout import Send
from bayglade.ids import MemberId
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.pending_replies import PendingReplies
from bayglade.retry_ledger import LEAST_LOAN, LOAN_SECONDS, TOLERANCE, Loan, RetryLedger

LOAN_SIZE = 4
"""Retries borrowed at once, at most: about as many as streams of one daemon that the loss of one server
interrupts."""
REPLY_SECONDS = 0.05
"""How long to wait for a lender: several times the round trip to another daemon."""
RELAYED_REPLY_SECONDS = 0.2
"""The same if the daemon that is asked may ask others in turn."""
MAX_ASKED = 4
"""Daemons asked for one loan, at most."""
EMPTY_SECONDS = 1.0
"""How long a daemon that had less to lend than it was asked for is not asked again."""
MAX_HOPS = 1
"""How often a request for a loan may be passed on."""
DEPOSIT_FRACTION = 0.85
"""Fraction of the credit for its requests that a daemon of a large site leaves to a reader of its hall."""
DEPOSIT_MARGIN_SECONDS = 1.0
"""How long a deposit may be on its way; its credit counts as that much older."""


class Deposit:
    """Credit that is about to be left to a reader, and when the earliest of its requests was sent."""

    __slots__ = ("amount", "since")

    def __init__(self) -> None:
        self.amount = 0.0
        self.since = now()

    def __repr__(self) -> str:
        return f"<Deposit {self.amount:.2f}>"


class RetryLending:
    """The retries that this daemon lends, borrows and passes on; times are monotonic seconds.

    :param member: this daemon.
    :param ledger_of: returns the retries of a service.
    :param lenders: returns the daemons that this one may ask.
    :param is_follower: returns whether those it asks may ask others, as in a large site.
    :param push: sends a message to another daemon.
    :param metrics: receives counters.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        member: MemberId,
        ledger_of: Callable[[str], RetryLedger],
        lenders: Callable[[], Sequence[MemberId]],
        is_follower: Callable[[], bool],
        push: Send,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.member = member
        self.ledger_of = ledger_of
        self.lenders = lenders
        self.is_follower = is_follower
        self.push = push
        self.metrics = metrics
        self.rng = rng
        self.pending: PendingReplies[BorrowReply] = PendingReplies()
        # Loans of an earlier process of this daemon must not be taken for those of this one.
        self.last_loan = rng.getrandbits(48)
        self.empty_until: dict[tuple[MemberId, str], float] = {}
        self.last_lender: dict[str, MemberId] = {}
        """The daemon that lent last, by service."""

        self.borrowing: dict[str, Event] = {}
        """By service, set once the loan that is being asked for has arrived or was refused."""

        self.waiting: Counter[str] = Counter()
        """Requests that wait for a loan, by service."""

        self.deposits: dict[str, Deposit] = {}

    def __repr__(self) -> str:
        return f"<RetryLending {len(self.borrowing)} borrowing>"

    def borrow(self, service: str, ledger: RetryLedger) -> None:
        """Borrow retries until one is available, or none of the daemons asked has any.

        One request at a time borrows for all that wait; those that get nothing of it borrow in turn.

        :param service: the service whose requests are retried.
        :param ledger: this daemon's retries for it.
        """
        self.waiting[service] += 1
        try:
            while (underway := self.borrowing.get(service)) is not None:
                underway.wait()
                if ledger.available():
                    return
            done = self.borrowing[service] = Event()
            try:
                self._ask_others(service, ledger)
            finally:
                del self.borrowing[service]
                done.send()
        finally:
            self.waiting[service] -= 1

    def handle_request(self, member: MemberId, message: BorrowRequest) -> None:
        """Reply to a daemon that requests a loan, or pass the request on."""
        reply = self._lend(message)
        if not reply.amount and message.hops < MAX_HOPS and not self.is_follower():
            eventlet.spawn_n(self._relay, member, message)
        else:
            self.push(member, reply)

    def handle_reply(self, member: MemberId, message: BorrowReply) -> None:
        """Deliver a loan to the request that waits for it; a late one is dropped, and counts as used."""
        self.pending.resolve(message.number, message)

    def handle_return(self, member: MemberId, message: BorrowReturn) -> None:
        """Take back retries that were not used, or pass them on to their lender."""
        if message.lender == self.member:
            self.ledger_of(message.service).take_back(message.loan, message.amount)
        elif message.hops < MAX_HOPS:
            returned = BorrowReturn(
                message.service, message.lender, message.loan, message.amount, message.hops + 1
            )
            self.push(message.lender, returned)

    def handle_deposit(self, member: MemberId, message: CreditDeposit) -> None:
        """Take over the credit that another daemon leaves to this one."""
        since = now() - message.age - DEPOSIT_MARGIN_SECONDS
        self.ledger_of(message.service).add_credit(message.amount, since)

    def note_request(self, service: str) -> None:
        """Count a request that a caller sent; in a large site a reader gets a part of the credit."""
        ledger = self.ledger_of(service)
        ledger.note_request()
        if not self.is_follower():
            return
        deposit = self.deposits.setdefault(service, Deposit())
        share = DEPOSIT_FRACTION * ledger.request_credit()
        if ledger.withdraw(share):
            deposit.since = deposit.since if deposit.amount else now()
            deposit.amount += share

    def send_deposits(self) -> None:
        """Leave the credit that has gathered to a reader; called about once a second."""
        readers = self.lenders()
        for service, deposit in self.deposits.items():
            if not deposit.amount:
                continue
            if readers:
                age = now() - deposit.since
                self.push(self.rng.choice(readers), CreditDeposit(service, deposit.amount, age))
            else:
                self.ledger_of(service).add_credit(deposit.amount, deposit.since)
            deposit.amount = 0.0

    def _lend(self, message: BorrowRequest) -> BorrowReply:
        self.last_loan += 1
        amount = self.ledger_of(message.service).lend(self.last_loan, message.wanted)
        self.metrics.count("loans_given" if amount else "loans_refused")
        return BorrowReply(message.number, amount, self.member, self.last_loan)

    def _ask_others(self, service: str, ledger: RetryLedger) -> None:
        """Ask some daemons in turn, until one retry is complete."""
        hops = 0 if self.is_follower() else MAX_HOPS
        for lender in self._choose(service, None):
            missing = ledger.count_missing(self.waiting[service])
            wanted = min(LOAN_SIZE, max(LEAST_LOAN, missing))
            # The lender counts the loan from when it lends it, which is later.
            expires_at = now() + LOAN_SECONDS
            reply = self._ask(lender, service, wanted, hops)
            if reply is None:
                continue
            if now() >= expires_at:
                self.push(lender, BorrowReturn(service, reply.lender, reply.loan, reply.amount))
                continue
            ledger.loans.append(Loan(reply.loan, reply.lender, lender, reply.amount, expires_at))
            self.metrics.count("loans_taken")
            event("INFO", "retries borrowed", service=service, peer=reply.lender, amount=reply.amount)
            eventlet.spawn_after(max(0.0, expires_at - now()), self._return_expired, service, ledger)
            if ledger.available():
                return
        self.metrics.count("loans_not_found")
        # Pieces of a retry that lie at several daemons complete none.
        self._return_loans(service, ledger.take_unused_loans())

    def _relay(self, member: MemberId, message: BorrowRequest) -> None:
        """Ask the lenders of other halls on behalf of another daemon."""
        for lender in self._choose(message.service, member):
            reply = self._ask(lender, message.service, message.wanted, message.hops + 1)
            if reply is not None:
                self.push(member, msgspec.structs.replace(reply, number=message.number))
                return
        self.push(member, BorrowReply(message.number, 0.0))

    def _ask(self, lender: MemberId, service: str, wanted: float, hops: int) -> BorrowReply | None:
        """Ask a daemon for a loan; return its reply, or None if it lends nothing."""
        seconds = RELAYED_REPLY_SECONDS if hops < MAX_HOPS else REPLY_SECONDS
        reply = self.pending.request(
            lambda number: self.push(lender, BorrowRequest(number, service, wanted, hops)), seconds
        )
        if reply is None or reply.amount < wanted - TOLERANCE:
            self.empty_until[lender, service] = now() + EMPTY_SECONDS
        if reply is None or not reply.amount:
            return None
        self.last_lender[service] = lender
        return reply

    def _choose(self, service: str, but: MemberId | None) -> list[MemberId]:
        """Choose the daemons to ask: the one that lent last, then others in random order."""
        at = now()
        usable = [
            member
            for member in self.lenders()
            if member != but and self.empty_until.get((member, service), 0.0) <= at
        ]
        self.rng.shuffle(usable)
        usable.sort(key=lambda member: member != self.last_lender.get(service))
        return usable[:MAX_ASKED]

    def _return_expired(self, service: str, ledger: RetryLedger) -> None:
        self._return_loans(service, ledger.take_expired_loans())

    def _return_loans(self, service: str, returned: Sequence[tuple[Loan, float]]) -> None:
        for loan, amount in returned:
            self.push(loan.through, BorrowReturn(service, loan.lender, loan.number, amount))
