"""Lending of retries: no more than the bound in any window, whoever borrows and whenever readers come."""

import random

import pytest

from bayglade import lending, retries
from bayglade.entries.wire import BorrowReply, BorrowRequest, Message
from bayglade.ids import MemberId
from bayglade.lending import LOAN, LOAN_SECONDS, Pools
from bayglade.retries import RetryBudget
from tests.clocks import ManualClock

WINDOW = 10.0
FLOOR = 20.0
SERVICE = "model"


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    made = ManualClock()
    for module in (lending, retries):
        monkeypatch.setattr(module, "now", made.now)
    return made


def a_reader(clock: ManualClock) -> tuple[Pools, list[Message]]:
    sent: list[Message] = []
    pools = Pools(lambda: (), lambda m, message: sent.append(message), WINDOW)
    pools.assign(FLOOR)
    return pools, sent


def test_a_new_reader_lends_nothing_until_older_loans_are_over(clock: ManualClock) -> None:
    pools, _ = a_reader(clock)
    assert pools.lend(SERVICE, LOAN) == 0
    clock.at += WINDOW + LOAN_SECONDS - 0.1
    assert pools.lend(SERVICE, LOAN) == 0
    clock.at += 0.2
    assert pools.lend(SERVICE, LOAN) == LOAN


def test_a_daemon_that_was_no_reader_for_a_while_begins_anew(clock: ManualClock) -> None:
    pools, _ = a_reader(clock)
    clock.at += WINDOW + LOAN_SECONDS + 0.1
    pools.assign(0.0)
    pools.assign(FLOOR)
    assert pools.lend(SERVICE, LOAN) == 0


def test_a_wish_to_borrow_is_answered_with_what_is_left(clock: ManualClock) -> None:
    pools, sent = a_reader(clock)
    clock.at += WINDOW + LOAN_SECONDS + 0.1
    for number in range(8):
        pools.heard_borrow(MemberId("d5"), BorrowRequest(number, SERVICE, LOAN))
    assert [message.amount for message in sent if isinstance(message, BorrowReply)] == [LOAN] * 5 + [0] * 3


def test_a_loan_is_used_after_the_own_budget_and_ends(clock: ManualClock) -> None:
    budget = RetryBudget(0.0, 1.0, WINDOW)
    assert budget.retry()
    assert not budget.retry()
    budget.borrowed(2, clock.at + LOAN_SECONDS)
    assert budget.retry()
    clock.at += LOAN_SECONDS
    assert not budget.retry()


def test_an_answer_that_nobody_waits_for_is_passed_over(clock: ManualClock) -> None:
    pools, _ = a_reader(clock)
    pools.heard_lent(MemberId("d1"), BorrowReply(99, LOAN))
    assert pools.questions.waiting == {}


def test_no_window_sees_more_loans_than_the_floor(clock: ManualClock) -> None:
    rng = random.Random(5)
    pools, _ = a_reader(clock)
    clock.at += WINDOW + LOAN_SECONDS + 0.1
    used: list[float] = []
    loans: list[tuple[float, int]] = []
    for _ in range(2000):
        clock.at += rng.expovariate(20.0)
        loans.append((clock.at, pools.lend(SERVICE, rng.randint(1, 6))))
        # The worst borrower uses each loan at the very end of its life.
        used += [clock.at + LOAN_SECONDS] * loans[-1][1]
        early = rng.random() < 0.5
        if early and loans[-1][1]:
            used[-1] = clock.at
    used.sort()
    for first, at in enumerate(used):
        assert sum(1 for other in used[first:] if other < at + WINDOW) <= FLOOR
