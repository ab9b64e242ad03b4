"""The retries that one daemon may send to one service: its part of the bound, loans, and earned credit.

A retry is charged when its bytes are about to leave. Until then a charge is held, and may be released.
"""

from collections import deque
from enum import Enum
from typing import NamedTuple

from bayglade.clock import now
from bayglade.ids import MemberId
from bayglade.retry_parts import DELIVERY_SECONDS, PartOf, whole_bound

STARTING_FRACTION = 0.1
"""Fraction of a part that is kept for processes that have just started. It accumulates slowly, from
nothing, so that several starts in a row add up to no more than one."""
CREDIT_FRACTION = 0.5
"""Fraction of the allowed retries for each request that becomes credit. Credit of one window may be spent
in the next, so that half of it in each of two windows makes a whole."""
CREDIT_STEP_SECONDS = 0.25
"""Requests within this time make one entry of credit."""
LEAST_LOAN = 0.05
"""Least that is lent, in retries."""
TOLERANCE = 1e-6
WHOLE = 1.0 - TOLERANCE
"""One retry, but for rounding errors of its pieces."""
LOAN_SECONDS = 1.0
"""How long after it was requested a loan may be used."""


class RetryBound(NamedTuple):
    """A bound on the retries of all daemons together to one service, in every window."""

    fraction: float
    """Allowed retries for each request."""

    floor: float
    """Retries allowed in addition."""

    window: float
    """Seconds."""


class ChargeSource(Enum):
    """What a retry is charged to."""

    CREDIT = "credit"
    """Earned by requests."""

    PART = "part"
    """The own part of the bound, after what credit there was."""

    LOAN = "loan"
    """A loan, after what credit and own part there was."""


class Loan:
    """Retries lent by another daemon.

    :param number: identifies the loan at its lender.
    :param lender: the daemon that lent them.
    :param through: the daemon that passed them on; the lender itself if there was none between.
    :param amount: how much is left of them.
    :param expires_at: when they may no longer be used.
    """

    __slots__ = ("amount", "expires_at", "lender", "number", "through")

    def __init__(
        self, number: int, lender: MemberId, through: MemberId, amount: float, expires_at: float
    ) -> None:
        self.number = number
        self.lender = lender
        self.through = through
        self.amount = amount
        self.expires_at = expires_at

    def __repr__(self) -> str:
        return f"<Loan {self.amount:.2f} from {self.lender}>"


class Credit:
    """Fractions of retries that requests have earned, with the time of the earliest of these requests."""

    __slots__ = ("amount", "at")

    def __init__(self, at: float, amount: float) -> None:
        self.at = at
        self.amount = amount

    def __repr__(self) -> str:
        return f"<Credit {self.amount:.2f}>"


class SentRetry(NamedTuple):
    """How much of a retry was charged to the own part, and when it was sent."""

    at: float
    amount: float


class LentRetries:
    """Retries that another daemon may use, or may have used.

    :param amount: how much of them is out of the own part.
    :param credit: the credit that is lent beside it.
    :param counted_until: until when they count against the own part.
    """

    __slots__ = ("amount", "counted_until", "credit")

    def __init__(self, amount: float, credit: Credit, counted_until: float) -> None:
        self.amount = amount
        self.credit = credit
        self.counted_until = counted_until

    def __repr__(self) -> str:
        return f"<LentRetries {self.amount:.2f} credit={self.credit.amount:.2f}>"


class Charge:
    """One retry that is held until it is sent; its pieces add up to one.

    :param ledger: the retries that it belongs to.
    :param loans: the loans that it uses, and how much of each.
    :param credit: the credit that it uses.
    :param part: how much of the own part it uses.
    """

    __slots__ = ("credit", "ledger", "loans", "part")

    def __init__(
        self, ledger: "RetryLedger", loans: list[tuple[Loan, float]], credit: Credit, part: float
    ) -> None:
        self.ledger = ledger
        self.loans = loans
        self.credit = credit
        self.part = part

    def __repr__(self) -> str:
        return f"<Charge to {self.source.value}>"

    @property
    def source(self) -> ChargeSource:
        """Return the source that was needed last."""
        if self.loans:
            return ChargeSource.LOAN
        return ChargeSource.PART if self.part else ChargeSource.CREDIT

    def commit(self) -> bool:
        """Charge the retry, whose bytes leave now.

        :return: false if it may no longer be sent; it is given up then.
        """
        return self.ledger.commit(self)

    def release(self) -> None:
        """Give the retry back: nothing was sent."""
        self.ledger.release(self)


class RetryLedger:
    """Counts the retries of one daemon to one service; times are monotonic seconds.

    :param bound: the bound on all daemons together.
    :param part_of: returns this daemon's part of the floor.
    """

    def __init__(self, bound: RetryBound, part_of: PartOf = whole_bound) -> None:
        self.bound = bound
        self.part_of = part_of
        self.counted_seconds = bound.window + DELIVERY_SECONDS
        """How long a retry counts: it may arrive late, and the window begins when it arrives."""

        self.sent: deque[SentRetry] = deque()
        """What was charged to the own part."""

        self.sent_total = 0.0
        self.held = 0.0
        """Retries of the own part that are held, and not sent yet."""

        self.starting_level = 0.0
        """Retries accumulated since this process started; unused once it has its whole part."""

        self.starting_at = now()
        self.loans: deque[Loan] = deque()
        self.lent: dict[int, LentRetries] = {}
        self.credits: deque[Credit] = deque()
        self.credit_total = 0.0

    def __repr__(self) -> str:
        at, part = now(), self.part_of()
        return (
            f"<RetryLedger {self.count_used(at):.1f} of {part.own * self.bound.floor:.1f}"
            f"{' starting' if part.starting else ''} credit={self.credit_total:.1f}"
            f" lent={self.count_lent(at):.1f} borrowed={self._borrowed(at):.1f}>"
        )

    def note_request(self) -> None:
        """Count a request that a caller sent."""
        self.add_credit(self.request_credit(), now())

    def request_credit(self) -> float:
        """Return the credit for one request, in retries."""
        return CREDIT_FRACTION * self.bound.fraction

    def withdraw(self, amount: float) -> bool:
        """Take credit that goes to another daemon, the latest; return false if that is less."""
        if not self.credits or self.credits[-1].amount < amount:
            return False
        self.credits[-1].amount -= amount
        self.credit_total -= amount
        return True

    def add_credit(self, amount: float, since: float) -> None:
        """Add credit for requests.

        :param amount: retries.
        :param since: when the earliest of these requests was sent.
        """
        self.credit_total += amount
        last = self.credits[-1] if self.credits else None
        if last is not None and 0.0 <= since - last.at < CREDIT_STEP_SECONDS:
            last.amount += amount
            return
        place = len(self.credits)
        while place and self.credits[place - 1].at > since:
            place -= 1
        self.credits.insert(place, Credit(since, amount))

    def available(self) -> bool:
        """Return whether a retry could be held now."""
        return self.count_missing(WHOLE) <= 0.0

    def count_missing(self, wanted: float) -> float:
        """Return how much is missing to hold this many retries now."""
        at = now()
        self._drop_expired(at)
        return max(0.0, wanted - self.credit_total - self._part_left(at) - self._borrowed(at))

    def acquire(self) -> Charge | None:
        """Hold one retry, to be committed when it is sent, or released.

        :return: the charge; None if there is none left.
        """
        if not self.available():
            return None
        at = now()
        credit = self._take_credit(min(1.0, self.credit_total))
        part = min(1.0 - credit.amount, self._part_left(at))
        self.held += part
        return Charge(self, self._take_loans(1.0 - credit.amount - part, at), credit, part)

    def commit(self, charge: Charge) -> bool:
        """Charge a held retry; see :meth:`Charge.commit`."""
        at = now()
        self.held = max(0.0, self.held - charge.part)
        expired = any(loan.expires_at <= at for loan, _ in charge.loans)
        if expired or (charge.credit.amount and at - charge.credit.at >= self.bound.window):
            return False
        # The part may have shrunk meanwhile.
        if charge.part > self._part_left(at) + TOLERANCE:
            return False
        if charge.part:
            self.starting_level = max(0.0, self.starting_level - charge.part)
            self.sent.append(SentRetry(at, charge.part))
            self.sent_total += charge.part
        return True

    def release(self, charge: Charge) -> None:
        """Give back a held retry; see :meth:`Charge.release`."""
        self.held = max(0.0, self.held - charge.part)
        for loan, amount in charge.loans:
            loan.amount += amount
        if charge.credit.amount:
            self.credits.appendleft(charge.credit)
            self.credit_total += charge.credit.amount

    def lend(self, number: int, wanted: float) -> float:
        """Lend retries to another daemon, which uses them within :data:`LOAN_SECONDS` of its request.

        :param number: identifies the loan.
        :param wanted: how much is requested.
        :return: how much is granted.
        """
        at = now()
        self._drop_expired(at)
        part = self.part_of()
        most = (1.0 - STARTING_FRACTION) * self.bound.floor
        left = min(most * part.lendable - self.count_lent(at), most * part.own - self.count_used(at))
        amount = 0.0 if part.starting or left < LEAST_LOAN else min(wanted, left)
        # The borrower may use it at the end of the loan; one retry is left for this daemon.
        not_before = at + LOAN_SECONDS - self.bound.window
        lasting = sum(credit.amount for credit in self.credits if credit.at > not_before)
        from_credit = min(wanted - amount, lasting - 1.0)
        credit = self._take_credit(from_credit if from_credit >= LEAST_LOAN else 0.0, not_before)
        lent = amount + credit.amount
        if lent:
            self.lent[number] = LentRetries(amount, credit, at + LOAN_SECONDS + self.counted_seconds)
        return lent

    def take_back(self, number: int, amount: float) -> None:
        """Take back retries of a loan that were not used and no longer can be."""
        lent = self.lent.get(number)
        if lent is None:
            return
        of_part = min(lent.amount, amount)
        of_credit = min(lent.credit.amount, amount - of_part)
        lent.amount -= of_part
        lent.credit.amount -= of_credit
        if of_credit:
            self.add_credit(of_credit, lent.credit.at)

    def take_unused_loans(self) -> list[tuple[Loan, float]]:
        """Take what is left of all loans, to be returned to their lenders.

        :return: the loans, and how much of each is returned.
        """
        unused = [(loan, loan.amount) for loan in self.loans if loan.amount]
        for loan, _ in unused:
            loan.amount = 0.0
        return unused

    def take_expired_loans(self) -> list[tuple[Loan, float]]:
        """Take what is left of the loans that have expired; as :meth:`take_unused_loans`."""
        at = now()
        expired = [loan for loan in self.loans if loan.expires_at <= at]
        self.loans = deque(loan for loan in self.loans if loan.expires_at > at)
        return [(loan, loan.amount) for loan in expired if loan.amount]

    def count_lent(self, at: float) -> float:
        """Return how many retries of the own part others may have used within the window."""
        self.lent = {number: lent for number, lent in self.lent.items() if lent.counted_until > at}
        return sum(lent.amount for lent in self.lent.values())

    def count_used(self, at: float) -> float:
        """Return how many retries of the own part were sent within the window, are held or lent."""
        while self.sent and self.sent[0].at <= at - self.counted_seconds:
            self.sent_total -= self.sent.popleft().amount
        if not self.sent:
            self.sent_total = 0.0
        return self.sent_total + self.held + self.count_lent(at)

    def _part_left(self, at: float) -> float:
        """Return how much of the own part is left."""
        part = self.part_of()
        whole = part.own * self.bound.floor
        elapsed, self.starting_at = at - self.starting_at, at
        if part.starting:
            most = STARTING_FRACTION * whole
            self.starting_level = min(most, self.starting_level + elapsed * most / self.counted_seconds)
            return max(0.0, self.starting_level - self.held)
        self.starting_level = 0.0
        return max(0.0, (1.0 - STARTING_FRACTION) * whole - self.count_used(at))

    def _borrowed(self, at: float) -> float:
        return sum(loan.amount for loan in self.loans if loan.expires_at > at)

    def _take_loans(self, amount: float, at: float) -> list[tuple[Loan, float]]:
        """Take this much from loans, those that expire first."""
        taken = []
        for loan in self.loans:
            piece = min(amount, loan.amount) if loan.expires_at > at else 0.0
            if piece > 0.0:
                loan.amount -= piece
                amount -= piece
                taken.append((loan, piece))
        return taken

    def _take_credit(self, amount: float, not_before: float = float("-inf")) -> Credit:
        """Take credit that is not older than a time, the oldest first; it counts as old as the oldest."""
        taken = Credit(0.0, 0.0)
        for credit in self.credits:
            if credit.at <= not_before or not credit.amount:
                continue
            taken.at = taken.at or credit.at
            piece = min(amount - taken.amount, credit.amount)
            credit.amount -= piece
            taken.amount += piece
            if taken.amount >= amount:
                break
        self.credit_total = max(0.0, self.credit_total - taken.amount)
        while self.credits and not self.credits[0].amount:
            self.credits.popleft()
        return taken

    def _drop_expired(self, at: float) -> None:
        while self.credits and self.credits[0].at <= at - self.bound.window:
            self.credit_total -= self.credits.popleft().amount
        if not self.credits:
            self.credit_total = 0.0
        while self.loans and self.loans[0].expires_at <= at and not self.loans[0].amount:
            self.loans.popleft()
