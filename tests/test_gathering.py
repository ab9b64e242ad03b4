"""A daemon that was suspended while it waited for crash reports reads them before it sends a request.

A soak test (seed 1003) suspended a daemon for 3.3 s during that wait. When it resumed, the wait was over.
It sent on a request that crashes servers 24 ms later, with the reports of two crashes still unread.
"""

import pytest

from bayglade import relay
from bayglade.quarantine import RESEND_DELAY_SECONDS
from tests.test_quarantine import Clock


@pytest.mark.parametrize(("late", "waits"), [(0.0, 1), (3.0, 2)])
def test_a_daemon_suspended_while_it_waits_for_reports_reads_them_first(
    late: float, waits: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, slept = Clock(), []

    def sleep(seconds: float) -> None:
        clock.at += seconds + (late if not slept else 0.0)
        slept.append(seconds)

    monkeypatch.setattr(relay, "now", clock)
    monkeypatch.setattr(relay.eventlet, "sleep", sleep)
    relay._wait_for_reports(RESEND_DELAY_SECONDS)
    assert slept == [RESEND_DELAY_SECONDS] * waits
