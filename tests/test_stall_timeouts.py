"""Stall timeouts: learned from what is usual, between bounds that the aim sets."""

import random

import pytest

from bayglade.stall_timeouts import FIRST_EVENT_FRACTIONS, GAP_FRACTIONS, MIN_TIMEOUT, StallTimeouts

AIM = 0.5
GAP = 0.2


def learned(mean: float, begun: bool, learns: bool = True) -> StallTimeouts:
    patience = StallTimeouts(learns)
    rng = random.Random(1)
    for _ in range(2000):
        patience.record(rng.uniform(0.8, 1.2) * mean, begun)
    return patience


def test_quick_streams_leave_the_least_patience() -> None:
    assert learned(0.02, begun=True).gap_timeout(GAP) == max(MIN_TIMEOUT, GAP_FRACTIONS[0] * GAP)
    assert learned(0.02, begun=False).first_event_timeout(AIM) == FIRST_EVENT_FRACTIONS[0] * AIM


def test_slow_streams_leave_the_most_patience() -> None:
    assert learned(0.4, begun=True).gap_timeout(GAP) == pytest.approx(GAP_FRACTIONS[1] * GAP)
    assert learned(0.9, begun=False).first_event_timeout(AIM) == pytest.approx(
        FIRST_EVENT_FRACTIONS[1] * AIM
    )


def test_in_between_nearly_no_usual_stream_is_looked_into() -> None:
    mean = 0.08
    patience = learned(mean, begun=True).gap_timeout(GAP)
    assert 1.2 * mean < patience < GAP_FRACTIONS[1] * GAP


def test_first_events_and_gaps_are_learned_apart() -> None:
    patience = learned(0.4, begun=True)
    assert patience.first_event_timeout(AIM) == FIRST_EVENT_FRACTIONS[0] * AIM


def test_an_entry_host_late_by_itself_is_no_reason_to_look() -> None:
    assert StallTimeouts().gap_timeout(0.01) == MIN_TIMEOUT


def test_patience_that_does_not_learn_stays_the_least() -> None:
    assert learned(0.4, begun=True, learns=False).gap_timeout(GAP) == max(
        MIN_TIMEOUT, GAP_FRACTIONS[0] * GAP
    )
