"""Times that follow from a bound add up to less than it, whichever single thing fails."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bayglade.feeds import INITIAL_RETRY_DELAY, RETRY_JITTER
from bayglade.freshness import (
    LEAST_BOUND_SECONDS,
    answer_within,
    document_bound,
    gather_within,
    rest_after,
    wait_within,
)

CALL_SECONDS = 0.02
"""A connect and a call of the store at 4 ms an answer, and two steps between daemons."""


@given(st.floats(LEAST_BOUND_SECONDS, 60.0))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_silent_connection_is_replaced_within_the_bound(bound: float) -> None:
    pause = INITIAL_RETRY_DELAY * (1 + RETRY_JITTER)
    assert wait_within(bound) + answer_within(bound) + pause + CALL_SECONDS <= bound


@given(st.floats(LEAST_BOUND_SECONDS, 60.0))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_silent_reader_is_done_without_within_the_bound(bound: float) -> None:
    assert rest_after(wait_within(bound)) + CALL_SECONDS <= bound


@given(st.floats(LEAST_BOUND_SECONDS, 60.0))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_changes_that_gather_are_known_within_the_bound(bound: float) -> None:
    assert gather_within(bound) + CALL_SECONDS <= bound / 2


@pytest.mark.parametrize("bound", [0.0, 0.3])
def test_a_bound_that_cannot_be_held_is_taken_for_the_least(bound: float) -> None:
    assert wait_within(bound) == wait_within(LEAST_BOUND_SECONDS) > 0
    assert answer_within(bound) == answer_within(LEAST_BOUND_SECONDS) > 0


def test_documents_are_known_before_keys_are_no_longer_trusted() -> None:
    assert document_bound(2.0, 5.0) == 2.0
    assert document_bound(10.0, 5.0) < 5.0
