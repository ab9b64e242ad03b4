"""A starting daemon serves only once others have confirmed its settings or cannot be asked."""

import random
from types import SimpleNamespace
from typing import Any

import eventlet
import pytest

from bayglade import catchup
from bayglade.catchup import CATCH_UP_TIMEOUT, MOST_HEARD_SECONDS, CatchUp
from bayglade.exceptions import CutOff
from bayglade.ids import MemberId, Revision
from bayglade.intake import Intake
from bayglade.settings import Tree
from tests.clocks import ManualClock

A, B, C = MemberId("a"), MemberId("b"), MemberId("c")


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    made = ManualClock()
    monkeypatch.setattr(catchup, "now", made.now)
    return made


@pytest.fixture
def intake(clock: ManualClock) -> Intake:
    made = Intake(SimpleNamespace(), lambda: 0.0, 5.0, random.Random(1))  # type: ignore[arg-type]
    made.caught_up = False
    made.apply(7, Tree(), b"7")
    return made


def test_no_call_is_served_before_settings_are_confirmed(intake: Intake) -> None:
    intake.dialect = SimpleNamespace(read_call=lambda message: None)  # type: ignore[assignment]
    message: Any = None
    with pytest.raises(CutOff) as refused:
        intake.call(message)
    assert refused.value.retry_after is not None


def test_a_call_is_held_while_others_confirm_the_settings(intake: Intake) -> None:
    held = eventlet.spawn(intake._await_confirmation)
    eventlet.sleep(0)
    CatchUp(intake).check(set())
    assert held.wait()


def test_two_daemons_that_have_caught_up_are_enough(intake: Intake) -> None:
    catch_up = CatchUp(intake)
    catch_up.record(A, Revision(7), True)
    assert not catch_up.check({A, B, C})
    catch_up.record(B, Revision(6), True)
    assert catch_up.check({A, B, C})


def test_newer_settings_are_waited_for(intake: Intake) -> None:
    catch_up = CatchUp(intake)
    for member in (A, B, C):
        catch_up.record(member, Revision(9 if member == C else 7), True)
    assert not catch_up.check({A, B, C})
    intake.apply(9, Tree(), b"9")
    assert catch_up.check({A, B, C})


def test_daemons_that_all_start_together_confirm_each_other(intake: Intake) -> None:
    catch_up = CatchUp(intake)
    catch_up.record(A, Revision(7), False)
    assert not catch_up.check({A, B})
    catch_up.record(B, Revision(0), False)
    assert catch_up.check({A, B})


def test_a_daemon_without_others_serves_at_once(intake: Intake) -> None:
    assert not CatchUp(intake).check(None)
    assert CatchUp(intake).check(set())


@pytest.mark.parametrize("others", [None, {A, B}])
def test_waiting_for_unreachable_daemons_times_out(
    intake: Intake, clock: ManualClock, others: set[MemberId] | None
) -> None:
    catch_up = CatchUp(intake)
    assert not catch_up.check(others)
    clock.at += CATCH_UP_TIMEOUT
    assert catch_up.check(others)


@pytest.mark.parametrize(("heard", "confirmed"), [(6, True), (4, False), (2, False)])
def test_a_few_silent_daemons_do_not_hold_up_a_restart_of_all(
    intake: Intake, clock: ManualClock, heard: int, confirmed: bool
) -> None:
    """Guards against two seconds of refusals because one host of a restarted site is gone for good."""
    others = {MemberId(name) for name in "abcdefg"}
    catch_up = CatchUp(intake)
    for member in sorted(others)[:heard]:
        catch_up.record(member, Revision(7), False)
    assert not catch_up.check(others)
    clock.at += MOST_HEARD_SECONDS + 0.01
    assert catch_up.check(others) == confirmed
    clock.at += CATCH_UP_TIMEOUT
    assert catch_up.check(others)
