"""A daemon that was stopped while it waited for word reads what others told it before it sends.

A soak (focused acts, seed 1003) froze a daemon in that wait for 3.3 s. Its wait was over when it woke, and
it sent the question that ends servers on 24 ms later, with word of two ends still unread:

    1682.689  i-1-1 ended under deadly-2
    1682.786  d2 is frozen
    1686.134  d2 sends deadly-2 to i-0-0
"""

import pytest

from bayglade import relay
from bayglade.quarantine import RESEND_DELAY_SECONDS
from tests.test_quarantine import Clock


@pytest.mark.parametrize(("late", "waits"), [(0.0, 1), (3.0, 2)])
def test_a_daemon_that_was_stopped_in_its_wait_for_word_hears_others_first(
    late: float, waits: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, slept = Clock(), []

    def sleep(seconds: float) -> None:
        clock.at += seconds + (late if not slept else 0.0)
        slept.append(seconds)

    monkeypatch.setattr(relay, "now", clock)
    monkeypatch.setattr(relay.eventlet, "sleep", sleep)
    relay._gather(RESEND_DELAY_SECONDS)
    assert slept == [RESEND_DELAY_SECONDS] * waits
