"""Lending: retries that are left in a data hall go to the daemon that needs them.

The users bound the repeated sendings of all daemons together. Divided among
many daemons that is a few for each, while a lost backend server hits the
requests of some. So most of the bound lies with the readers of the halls (see
:mod:`bayglade.readers`), and daemons borrow from theirs. What is lent counts as
used at once, for as long as the bound's window and the life of the loan.
"""

from collections.abc import Callable, Sequence

from bayglade.clock import now
from bayglade.entries.wire import BorrowReply, BorrowRequest
from bayglade.fanout import Send
from bayglade.ids import MemberId
from bayglade.questions import Questions
from bayglade.retries import RetryBudget

POOLED_PART = 0.7
"""Part of the bound that lies with the readers; the rest is divided among all daemons."""
LOAN = 4
"""Retries borrowed at once: about as many as streams of one daemon that one server's loss hits."""
LOAN_SECONDS = 2.0
"""How long a loan may be used."""
BORROW_SECONDS = 0.05
"""How long a request waits for a loan."""


class Pools:
    """The retries that this daemon lends, as a reader, and those it borrows.

    :param readers: returns the readers that this daemon may borrow from.
    :param push: sends a message to another daemon.
    :param window: seconds over which the bound counts.
    """

    def __init__(self, readers: Callable[[], Sequence[MemberId]], push: Send, window: float) -> None:
        self.readers = readers
        self.push = push
        self.window = window
        self.floor = 0.0
        """Retries that this reader may lend within a window, for each service."""

        self.opens_at: float | None = None
        """A reader lends nothing before: what was lent by one before it still counts."""

        self.lent: dict[str, RetryBudget] = {}
        self.questions: Questions[int] = Questions()

    def __repr__(self) -> str:
        return f"<Pools {self.floor:.0f} to lend>"

    def assign(self, floor: float) -> None:
        """Take in how much this daemon may lend.

        :param floor: retries of each service in a window; nothing unless it is a reader.
        """
        self.floor = floor
        if not floor:
            self.opens_at = None
        elif self.opens_at is None:
            self.opens_at = now() + self.window + LOAN_SECONDS
        for budget in self.lent.values():
            budget.floor = floor

    def lend(self, service: str, wanted: int) -> int:
        """Take retries out of the pool.

        :param service: the service whose requests are sent again.
        :param wanted: how many.
        :return: how many were left.
        """
        if self.opens_at is None or now() < self.opens_at:
            return 0
        if service not in self.lent:
            self.lent[service] = RetryBudget(0.0, self.floor, self.window + LOAN_SECONDS)
        budget = self.lent[service]
        return sum(budget.retry() for _ in range(wanted))

    def heard_borrow(self, member: MemberId, message: BorrowRequest) -> None:
        """Answer a daemon that wants to borrow."""
        self.push(member, BorrowReply(message.number, self.lend(message.service, message.wanted)))

    def heard_lent(self, member: MemberId, message: BorrowReply) -> None:
        """Hand a loan to the request that waits for it; a late one is lost."""
        self.questions.answered(message.number, message.amount)

    def borrow(self, service: str, budget: RetryBudget) -> None:
        """Borrow for a budget that is spent; returns at once where nobody lends.

        :param service: the service whose requests are sent again.
        :param budget: this daemon's own for that service.
        """
        amount = self.lend(service, LOAN)
        if not amount and (readers := self.readers()):
            amount = self._ask(readers, service)
        if amount:
            budget.borrowed(amount, now() + LOAN_SECONDS)

    def _ask(self, readers: Sequence[MemberId], service: str) -> int:
        reader = readers[self.questions.numbers % len(readers)]
        return (
            self.questions.ask(
                lambda number: self.push(reader, BorrowRequest(number, service, LOAN)), BORROW_SECONDS
            )
            or 0
        )
