"""Lending of retries: loans never exceed the part of the lender in any window, and unused ones return."""

import random
from collections.abc import Iterator

import eventlet
import pytest

from bayglade import lending, retry_ledger, retry_parts
from bayglade.entries.wire import BorrowReply, BorrowRequest, BorrowReturn, Message
from bayglade.ids import MemberId
from bayglade.lending import LOAN_SIZE, RetryLending
from bayglade.metrics import create_metrics
from bayglade.retry_ledger import LOAN_SECONDS, STARTING_FRACTION, RetryBound, RetryLedger
from bayglade.retry_parts import DELIVERY_SECONDS, NO_PART, Part
from standins import virtual_time
from tests.clocks import ManualClock

WINDOW = 10.0
FLOOR = 20.0
ALLOWED = int((1 - STARTING_FRACTION) * FLOOR)
SERVICE = "model"
ALL_LENDABLE = Part(1.0, 1.0)
LENDER, BORROWER = MemberId("d1"), MemberId("d2")


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[ManualClock]:
    made = ManualClock()
    monkeypatch.setattr(retry_ledger, "now", made.now)
    yield made


def test_pieces_add_up_to_a_retry(clock: ManualClock) -> None:
    ledger = make_ledger(Part(0.4 / ALLOWED, 0.0), fraction=0.2)
    for _ in range(4):
        ledger.note_request()
    assert ledger.acquire() is None
    ledger.loans.append(retry_ledger.Loan(1, LENDER, LENDER, 0.2, clock.at + LOAN_SECONDS))
    charge = ledger.acquire()
    assert charge is not None and ledger.acquire() is None
    charge.release()
    charge = ledger.acquire()
    assert charge is not None and charge.commit()
    assert ledger.count_used(clock.at) == pytest.approx(0.4)
    assert ledger.acquire() is None


def make_ledger(part: Part = ALL_LENDABLE, fraction: float = 0.0) -> RetryLedger:
    return RetryLedger(RetryBound(fraction, FLOOR, WINDOW), lambda: part)


def test_no_window_sees_more_loans_than_the_part(clock: ManualClock) -> None:
    rng = random.Random(5)
    ledger = make_ledger()
    used: list[float] = []
    for number in range(2000):
        clock.at += rng.expovariate(20.0)
        amount = int(ledger.lend(number, rng.randint(1, 6)))
        # The worst borrower uses a loan at the end of its lifetime, and its bytes arrive late.
        used += [clock.at + LOAN_SECONDS + DELIVERY_SECONDS] * amount
        if amount and rng.random() < 0.5:
            used[-1] = clock.at
    used.sort()
    for first, at in enumerate(used):
        assert sum(1 for other in used[first:] if other < at + WINDOW) <= ALLOWED


def test_a_lender_and_its_borrowers_share_one_part(clock: ManualClock) -> None:
    ledger = make_ledger(Part(1.0, 0.5))
    assert ledger.lend(1, 100) == ALLOWED // 2
    charges = [charge for _ in range(100) if (charge := ledger.acquire()) is not None]
    assert len(charges) == ALLOWED - ALLOWED // 2
    assert all(charge.commit() for charge in charges)


def test_a_daemon_that_has_started_lends_nothing(clock: ManualClock) -> None:
    assert make_ledger(Part(1.0, 0.0, starting=True)).lend(1, 1) == 0
    assert make_ledger(NO_PART).lend(1, 1) == 0


def test_returned_retries_can_be_lent_again(clock: ManualClock) -> None:
    ledger = make_ledger()
    assert ledger.lend(1, 100) == ALLOWED
    ledger.take_back(1, 3)
    ledger.take_back(99, 5)
    assert ledger.lend(2, 100) == 3


def test_returned_credit_can_be_spent(clock: ManualClock) -> None:
    ledger = make_ledger(Part(0.5 / ALLOWED, 0.5 / ALLOWED), fraction=0.2)
    for _ in range(30):
        ledger.note_request()
    assert ledger.lend(1, 100) == pytest.approx(2.5)
    ledger.take_back(1, 1.5)
    assert ledger.count_missing(100) == pytest.approx(100 - 2.5)
    assert ledger.lend(2, 100) == pytest.approx(1.5)


def test_a_loan_is_not_used_after_it_expired(clock: ManualClock) -> None:
    ledger = make_ledger(NO_PART)
    ledger.loans.append(retry_ledger.Loan(1, LENDER, LENDER, 2, clock.at + LOAN_SECONDS))
    early, late = ledger.acquire(), ledger.acquire()
    assert early is not None and late is not None and early.commit()
    clock.at += LOAN_SECONDS
    assert not late.commit()
    assert ledger.acquire() is None


def test_lent_credit_is_spent(clock: ManualClock) -> None:
    ledger = make_ledger(NO_PART, fraction=0.2)
    for _ in range(51):
        ledger.note_request()
    # One is left for the lender itself.
    assert ledger.lend(1, 100) == pytest.approx(4.1)
    assert ledger.acquire() is not None
    assert ledger.acquire() is None


class Pair:
    """A lender and a borrower, whose messages take a while."""

    def __init__(
        self, delay: float = 0.001, lendable: Part = ALL_LENDABLE, borrower: Part = NO_PART
    ) -> None:
        self.delay = delay
        self.ledgers = {LENDER: make_ledger(lendable), BORROWER: make_ledger(borrower)}
        self.ends = {
            member: RetryLending(
                member,
                lambda service, member=member: self.ledgers[member],
                lambda other=other: [other],
                lambda: False,
                lambda to, message, member=member: self.push(member, to, message),
                create_metrics(None, ""),
                random.Random(1),
            )
            for member, other in ((LENDER, BORROWER), (BORROWER, LENDER))
        }

    def push(self, sender: MemberId, to: MemberId, message: Message) -> None:
        eventlet.spawn_after(self.delay, self.deliver, sender, to, message)

    def deliver(self, sender: MemberId, to: MemberId, message: Message) -> None:
        end = self.ends[to]
        if isinstance(message, BorrowRequest):
            end.handle_request(sender, message)
        elif isinstance(message, BorrowReply):
            end.handle_reply(sender, message)
        elif isinstance(message, BorrowReturn):
            end.handle_return(sender, message)


@pytest.fixture
def virtually(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (lending, retry_ledger, retry_parts):
        monkeypatch.setattr(module, "now", virtual_time.now)


def test_what_a_borrower_does_not_use_returns_to_the_lender(virtually: None) -> None:
    def run() -> tuple[int, int, int]:
        pair = Pair()
        ledger = pair.ledgers[BORROWER]
        pair.ends[BORROWER].waiting[SERVICE] = LOAN_SIZE
        pair.ends[BORROWER].borrow(SERVICE, ledger)
        charge = ledger.acquire()
        assert charge is not None and charge.commit()
        before = pair.ledgers[LENDER].count_lent(virtual_time.now())
        eventlet.sleep(LOAN_SECONDS + 0.1)
        after = pair.ledgers[LENDER].count_lent(virtual_time.now())
        eventlet.sleep(WINDOW + DELIVERY_SECONDS)
        return before, after, pair.ledgers[LENDER].count_lent(virtual_time.now())

    assert virtual_time.run_virtually(run) == (LOAN_SIZE, 1, 0)


def test_a_daemon_borrows_only_what_it_lacks(virtually: None) -> None:
    def run() -> float:
        pair = Pair(borrower=Part(0.7 / ALLOWED, 0.0))
        pair.ends[BORROWER].borrow(SERVICE, pair.ledgers[BORROWER])
        assert pair.ledgers[BORROWER].acquire() is not None
        return pair.ledgers[LENDER].count_lent(virtual_time.now())

    assert virtual_time.run_virtually(run) == pytest.approx(0.3)


def test_a_loan_that_completes_no_retry_returns_at_once(virtually: None) -> None:
    def run() -> tuple[float, float]:
        lendable = 0.8 / ALLOWED
        pair = Pair(lendable=Part(lendable, lendable))
        ledger = pair.ledgers[BORROWER]
        pair.ends[BORROWER].borrow(SERVICE, ledger)
        assert ledger.acquire() is None
        eventlet.sleep(0.01)
        return pair.ledgers[LENDER].count_lent(virtual_time.now()), ledger.count_missing(1)

    assert virtual_time.run_virtually(run) == pytest.approx((0.0, 1.0))


def test_each_request_that_waits_for_a_loan_gets_a_retry(virtually: None) -> None:
    def run() -> int:
        pair = Pair()
        ledger = pair.ledgers[BORROWER]

        def hold() -> bool:
            pair.ends[BORROWER].borrow(SERVICE, ledger)
            return ledger.acquire() is not None

        return sum(waiting.wait() for waiting in [eventlet.spawn(hold) for _ in range(3 * LOAN_SIZE)])

    assert virtual_time.run_virtually(run) == 3 * LOAN_SIZE


def test_a_loan_that_arrives_late_is_not_used(virtually: None) -> None:
    def run() -> int:
        pair = Pair(delay=lending.REPLY_SECONDS)
        ledger = pair.ledgers[BORROWER]
        pair.ends[BORROWER].borrow(SERVICE, ledger)
        eventlet.sleep(1.0)
        return len(ledger.loans)

    assert virtual_time.run_virtually(run) == 0
