"""Lending of retry budget: unused retries of a data hall go to the daemons that need them.

The users limit the retries of all daemons together. Divided evenly among many daemons, this leaves a
few for each, while the loss of a backend server affects the requests of only some daemons. So most of
the budget is held by the readers of the halls (see :mod:`bayglade.readers`), and daemons borrow from
the readers of their hall. A loan counts as used at once, for the window of the budget plus the lifetime
of the loan.
"""

from collections.abc import Callable, Sequence

from bayglade.clock import now
from bayglade.entries.wire import BorrowReply, BorrowRequest
from bayglade.fanout import Send
from bayglade.ids import MemberId
from bayglade.pending_replies import PendingReplies
from bayglade.retries import RetryBudget

POOLED_FRACTION = 0.7
"""Fraction of the budget held by the readers; the rest is divided among all daemons."""
LOAN_SIZE = 4
"""Retries borrowed at once: about as many as streams of one daemon that the loss of one server
interrupts."""
LOAN_SECONDS = 2.0
"""How long a loan may be used."""
BORROW_TIMEOUT_SECONDS = 0.05
"""How long a request waits for a loan."""


class RetryPools:
    """The retries that this daemon lends, as a reader, and those it borrows.

    :param readers: returns the readers from which this daemon may borrow.
    :param push: sends a message to another daemon.
    :param window: the window in seconds over which the budget is counted.
    """

    def __init__(self, readers: Callable[[], Sequence[MemberId]], push: Send, window: float) -> None:
        self.readers = readers
        self.push = push
        self.window = window
        self.floor = 0.0
        """Retries that this reader may lend per service and window."""

        self.opens_at: float | None = None
        """When a reader may start to lend: loans of its predecessor count until then."""

        self.lent: dict[str, RetryBudget] = {}
        self.pending: PendingReplies[int] = PendingReplies()

    def __repr__(self) -> str:
        return f"<RetryPools {self.floor:.0f} to lend>"

    def assign(self, floor: float) -> None:
        """Set how much this daemon may lend.

        :param floor: retries per service and window; zero unless it is a reader.
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

        :param service: the service whose requests are retried.
        :param wanted: the number requested.
        :return: the number granted.
        """
        if self.opens_at is None or now() < self.opens_at:
            return 0
        if service not in self.lent:
            self.lent[service] = RetryBudget(0.0, self.floor, self.window + LOAN_SECONDS)
        budget = self.lent[service]
        return sum(budget.acquire() for _ in range(wanted))

    def handle_borrow(self, member: MemberId, message: BorrowRequest) -> None:
        """Reply to a daemon that requests a loan."""
        self.push(member, BorrowReply(message.number, self.lend(message.service, message.wanted)))

    def handle_lent(self, member: MemberId, message: BorrowReply) -> None:
        """Deliver a loan to the request that waits for it; a late one is dropped."""
        self.pending.resolve(message.number, message.amount)

    def borrow(self, service: str, budget: RetryBudget) -> None:
        """Borrow retries for an exhausted budget; returns at once if there is no lender.

        :param service: the service whose requests are retried.
        :param budget: this daemon's own budget for that service.
        """
        amount = self.lend(service, LOAN_SIZE)
        if not amount and (readers := self.readers()):
            amount = self._ask_reader(readers, service)
        if amount:
            budget.add_loan(amount, now() + LOAN_SECONDS)

    def _ask_reader(self, readers: Sequence[MemberId], service: str) -> int:
        reader = readers[self.pending.last_number % len(readers)]
        return (
            self.pending.request(
                lambda number: self.push(reader, BorrowRequest(number, service, LOAN_SIZE)),
                BORROW_TIMEOUT_SECONDS,
            )
            or 0
        )
