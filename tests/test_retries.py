"""Retry budgets hold in every time window, and grow with the requests."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import clock, retries
from bayglade.retries import RetryBudget

WINDOW = 10.0


class Clock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.at = 1000.0

    def __call__(self) -> float:
        return self.at


@given(st.lists(st.floats(0.0, 3.0), min_size=1, max_size=200))
def test_no_window_sees_more_retries_than_the_floor(pauses: list[float]) -> None:
    time = Clock()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(retries, "now", time)
        patch.setattr(clock, "now", time)
        budget = RetryBudget(fraction=0.0, floor=8.0, window=WINDOW)
        taken = []
        for pause in pauses:
            time.at += pause
            if budget.acquire():
                taken.append(time.at)
    for start in taken:
        assert sum(1 for at in taken if start <= at < start + WINDOW) <= 8


def test_requests_add_retries_to_the_budget() -> None:
    budget = RetryBudget(fraction=0.5, floor=1.0, window=WINDOW)
    assert [budget.acquire() for _ in range(2)] == [True, False]
    for _ in range(10):
        budget.note_request()
    assert [budget.acquire() for _ in range(6)].count(True) >= 4
