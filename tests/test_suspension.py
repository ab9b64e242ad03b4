"""A suspended host: time spent suspended counts, although the monotonic clock stops meanwhile."""

import random
import re
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import eventlet
import pytest

from bayglade import clock
from bayglade.clock import SuspensionDetector, now, use_boottime_timers
from bayglade.exceptions import CutOff
from bayglade.feeds import Feed
from bayglade.ids import MemberId
from bayglade.intake import Intake
from bayglade.leases import Lease, LeaseState
from bayglade.retries import RetryBudget
from bayglade.rows import Changes
from standins.virtual_time import run_virtually
from tests.test_roster import Rows

KEY_TRUST = 5.0

Suspend = Callable[[float], None]


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Suspend:
    """Simulate a suspension of the host: CLOCK_BOOTTIME jumps, the monotonic clock does not."""
    suspended = 0.0
    read = time.clock_gettime

    def leap(seconds: float) -> None:
        nonlocal suspended
        suspended += seconds

    def clock_gettime(which: int) -> float:
        return read(which) + (suspended if which == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)
    return leap


def test_the_monotonic_clock_stops_in_a_suspension_and_ours_does_not(suspend: Suspend) -> None:
    usual, ours = time.monotonic(), now()
    suspend(30.0)
    assert time.monotonic() - usual < 10.0
    assert now() - ours >= 30.0


def test_keys_are_too_old_after_a_suspension(suspend: Suspend) -> None:
    feed = Feed(SimpleNamespace(snapshot=lambda table: Changes({}, 1)), "op", 1.0, lambda *_: None)  # type: ignore[arg-type]
    feed.known_at = now()
    intake = Intake(SimpleNamespace(), feed.age, KEY_TRUST, random.Random(1))  # type: ignore[arg-type]
    keyed: Any = SimpleNamespace(group="clinic", revision=0)
    intake.check(keyed)
    suspend(KEY_TRUST)
    assert not intake.keys_trusted()
    with pytest.raises(CutOff):
        intake.check(keyed)


def test_a_lease_is_lost_in_a_suspension(suspend: Suspend) -> None:
    lease = Lease(Rows(), "place", MemberId("me"), duration=6.0)
    assert lease.acquire_or_renew()
    assert lease.state() is LeaseState.HELD
    suspend(6.0)
    assert lease.state() is not LeaseState.HELD


def test_retries_before_a_suspension_no_longer_count(suspend: Suspend) -> None:
    budget = RetryBudget(fraction=0.0, floor=2.0, window=10.0)
    assert [budget.acquire() for _ in range(3)] == [True, True, False]
    suspend(10.0)
    assert budget.acquire()


def test_a_suspension_is_reported_once(suspend: Suspend) -> None:
    suspensions = SuspensionDetector()
    assert suspensions.suspended_seconds() == 0.0
    suspend(7.5)
    assert suspensions.suspended_seconds() == pytest.approx(7.5, abs=0.05)
    assert suspensions.suspended_seconds() == 0.0


def test_timers_due_in_a_suspension_fire_after_it(suspend: Suspend) -> None:
    def fires() -> bool:
        use_boottime_timers()
        fired = eventlet.event.Event()
        eventlet.spawn_after(20.0, fired.send)
        suspend(20.0)
        eventlet.sleep(0.0)
        eventlet.sleep(0.01)
        return bool(fired.ready())

    assert run_virtually(fires)


def test_no_module_reads_the_monotonic_clock() -> None:
    package = Path(clock.__file__).parent
    sources = {path.relative_to(package): path.read_text() for path in package.rglob("*.py")}
    reads = re.compile(r"time\.(monotonic|perf_counter)\(")
    assert [str(path) for path, text in sources.items() if reads.search(text)] == ["clock.py"]
