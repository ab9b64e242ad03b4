"""Lending of retries: loans never exceed the budget in any window."""

import random

import pytest

from bayglade import lending, retries
from bayglade.entries.wire import BorrowReply, BorrowRequest, Message
from bayglade.ids import MemberId
from bayglade.lending import LOAN_SECONDS, LOAN_SIZE, RetryPools
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


def make_reader(clock: ManualClock) -> tuple[RetryPools, list[Message]]:
    sent: list[Message] = []
    pools = RetryPools(lambda: (), lambda m, message: sent.append(message), WINDOW)
    pools.assign(FLOOR)
    return pools, sent


def test_a_new_reader_lends_nothing_until_older_loans_expire(clock: ManualClock) -> None:
    pools, _ = make_reader(clock)
    assert pools.lend(SERVICE, LOAN_SIZE) == 0
    clock.at += WINDOW + LOAN_SECONDS - 0.1
    assert pools.lend(SERVICE, LOAN_SIZE) == 0
    clock.at += 0.2
    assert pools.lend(SERVICE, LOAN_SIZE) == LOAN_SIZE


def test_a_daemon_that_becomes_reader_again_waits_again(clock: ManualClock) -> None:
    pools, _ = make_reader(clock)
    clock.at += WINDOW + LOAN_SECONDS + 0.1
    pools.assign(0.0)
    pools.assign(FLOOR)
    assert pools.lend(SERVICE, LOAN_SIZE) == 0


def test_a_loan_request_is_granted_from_what_is_left(clock: ManualClock) -> None:
    pools, sent = make_reader(clock)
    clock.at += WINDOW + LOAN_SECONDS + 0.1
    for number in range(8):
        pools.handle_borrow(MemberId("d5"), BorrowRequest(number, SERVICE, LOAN_SIZE))
    assert [message.amount for message in sent if isinstance(message, BorrowReply)] == [LOAN_SIZE] * 5 + [
        0
    ] * 3


def test_a_loan_is_used_after_the_own_budget_and_expires(clock: ManualClock) -> None:
    budget = RetryBudget(0.0, 1.0, WINDOW)
    assert budget.acquire()
    assert not budget.acquire()
    budget.add_loan(2, clock.at + LOAN_SECONDS)
    assert budget.acquire()
    clock.at += LOAN_SECONDS
    assert not budget.acquire()


def test_an_unexpected_loan_is_ignored(clock: ManualClock) -> None:
    pools, _ = make_reader(clock)
    pools.handle_lent(MemberId("d1"), BorrowReply(99, LOAN_SIZE))
    assert pools.pending.waiting == {}


def test_no_window_sees_more_loans_than_the_floor(clock: ManualClock) -> None:
    rng = random.Random(5)
    pools, _ = make_reader(clock)
    clock.at += WINDOW + LOAN_SECONDS + 0.1
    used: list[float] = []
    loans: list[tuple[float, int]] = []
    for _ in range(2000):
        clock.at += rng.expovariate(20.0)
        loans.append((clock.at, pools.lend(SERVICE, rng.randint(1, 6))))
        # The worst borrower uses each loan at the very end of its lifetime.
        used += [clock.at + LOAN_SECONDS] * loans[-1][1]
        early = rng.random() < 0.5
        if early and loans[-1][1]:
            used[-1] = clock.at
    used.sort()
    for first, at in enumerate(used):
        assert sum(1 for other in used[first:] if other < at + WINDOW) <= FLOOR
