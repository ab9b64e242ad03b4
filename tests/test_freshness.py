"""The timeouts derived from a bound add up to less than the bound when any single thing fails."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bayglade.feeds import INITIAL_RETRY_DELAY, RETRY_JITTER
from bayglade.freshness import (
    MIN_BOUND_SECONDS,
    answer_timeout,
    batch_delay,
    document_bound,
    poll_wait,
    relay_validity,
)

CALL_SECONDS = 0.02
"""A connection and a call of the store at 4 ms an answer, and two hops between daemons."""


@given(st.floats(MIN_BOUND_SECONDS, 60.0))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_silent_connection_is_replaced_within_the_bound(bound: float) -> None:
    pause = INITIAL_RETRY_DELAY * (1 + RETRY_JITTER)
    assert poll_wait(bound) + answer_timeout(bound) + pause + CALL_SECONDS <= bound


@given(st.floats(MIN_BOUND_SECONDS, 60.0))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_silent_reader_is_replaced_by_own_calls_within_the_bound(bound: float) -> None:
    assert relay_validity(poll_wait(bound)) + CALL_SECONDS <= bound


@given(st.floats(MIN_BOUND_SECONDS, 60.0))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_batched_changes_are_known_within_the_bound(bound: float) -> None:
    assert batch_delay(bound) + CALL_SECONDS <= bound / 2


@pytest.mark.parametrize("bound", [0.0, 0.3])
def test_a_bound_that_is_too_short_is_raised_to_the_minimum(bound: float) -> None:
    assert poll_wait(bound) == poll_wait(MIN_BOUND_SECONDS) > 0
    assert answer_timeout(bound) == answer_timeout(MIN_BOUND_SECONDS) > 0


def test_documents_are_known_before_keys_are_no_longer_trusted() -> None:
    assert document_bound(2.0, 5.0) == 2.0
    assert document_bound(10.0, 5.0) < 5.0
