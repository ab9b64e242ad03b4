"""Stall timeouts follow the measured delays, between bounds set by the latency objective."""

import random

import pytest

from bayglade.stall_timeouts import FIRST_EVENT_FRACTIONS, GAP_FRACTIONS, MIN_TIMEOUT, StallTimeouts

AIM = 0.5
GAP = 0.2


def learned(mean: float, begun: bool, adaptive: bool = True) -> StallTimeouts:
    timeouts = StallTimeouts(adaptive)
    rng = random.Random(1)
    for _ in range(2000):
        timeouts.record(rng.uniform(0.8, 1.2) * mean, begun)
    return timeouts


def test_fast_streams_get_the_least_timeout() -> None:
    assert learned(0.02, begun=True).gap_timeout(GAP) == max(MIN_TIMEOUT, GAP_FRACTIONS[0] * GAP)
    assert learned(0.02, begun=False).first_event_timeout(AIM) == FIRST_EVENT_FRACTIONS[0] * AIM


def test_slow_streams_get_the_greatest_timeout() -> None:
    assert learned(0.4, begun=True).gap_timeout(GAP) == pytest.approx(GAP_FRACTIONS[1] * GAP)
    assert learned(0.9, begun=False).first_event_timeout(AIM) == pytest.approx(
        FIRST_EVENT_FRACTIONS[1] * AIM
    )


def test_in_between_hardly_any_usual_stream_is_investigated() -> None:
    mean = 0.08
    timeout = learned(mean, begun=True).gap_timeout(GAP)
    assert 1.2 * mean < timeout < GAP_FRACTIONS[1] * GAP


def test_first_events_and_gaps_are_measured_separately() -> None:
    timeouts = learned(0.4, begun=True)
    assert timeouts.first_event_timeout(AIM) == FIRST_EVENT_FRACTIONS[0] * AIM


def test_a_delay_of_the_entry_host_itself_does_not_start_an_investigation() -> None:
    assert StallTimeouts().gap_timeout(0.01) == MIN_TIMEOUT


def test_a_timeout_that_is_not_adaptive_stays_the_least() -> None:
    assert learned(0.4, begun=True, adaptive=False).gap_timeout(GAP) == max(
        MIN_TIMEOUT, GAP_FRACTIONS[0] * GAP
    )
