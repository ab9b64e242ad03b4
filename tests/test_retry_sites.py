"""Parts of the bound on retries, in virtual time: their sum never exceeds it, and it can be used.

Daemons divided the bound by those that they had heard lately, and counted from nothing after a start.
"""

import itertools
from collections.abc import Callable, Iterator

import eventlet
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bayglade.ids import MemberId
from bayglade.retry_parts import NO_PART, Part, RetryParts
from standins import retry_site, virtual_time
from standins.retry_failures import (
    FAILURES,
    SIZES,
    callers_at_one_daemon,
    forwarded_calls,
    freeze_halves,
    one_hall,
    play_failures,
    play_local_trouble,
    several_at_once,
)
from standins.retry_site import RetrySite, SiteSize
from standins.virtual_time import run_virtually

LEAST_USE_IN_A_HALL = 0.6
"""Fraction of the bound that can be spent in one hall, while the others need none of it."""
LEAST_USE = 0.5


@pytest.fixture(autouse=True)
def clock() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        for module in retry_site.MODULES:
            patch.setattr(module, "now", virtual_time.now)
        yield


@pytest.mark.parametrize("events", FAILURES)
@pytest.mark.parametrize(("size", "late"), [(SIZES[0], True), (SIZES[1], False)], ids=["9 late", "81"])
def test_all_daemons_together_keep_the_bound(
    size: SiteSize, events: Callable[[RetrySite], None], late: bool
) -> None:
    use = play_failures(size, events, late=late)
    assert LEAST_USE <= use.fraction <= 1.0, use


@pytest.mark.parametrize("events", [freeze_halves, several_at_once])
def test_a_large_site_keeps_the_bound(events: Callable[[RetrySite], None]) -> None:
    use = play_failures(SIZES[2], events)
    assert LEAST_USE <= use.fraction <= 1.0, use


@pytest.mark.parametrize(
    ("size", "trouble"),
    [
        *itertools.product(SIZES, [one_hall]),
        *itertools.product(SIZES[:2], [callers_at_one_daemon, forwarded_calls]),
    ],
)
def test_where_retries_are_wanted_most_of_the_bound_can_be_used(
    size: SiteSize, trouble: Callable[[RetrySite], None]
) -> None:
    use = play_local_trouble(size, trouble)
    assert LEAST_USE_IN_A_HALL <= use.fraction <= 1.0, use


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["freeze", "restart", "add", "cut", "heal", "cut store", "heal store", "wait"]),
        st.integers(0, 8),
        st.floats(0.1, 12.0),
    ),
    min_size=3,
    max_size=12,
)


@settings(max_examples=25, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(actions=ACTIONS, seed=st.integers(0, 1000))
def test_no_series_of_failures_exceeds_the_bound(actions: list[tuple[str, int, float]], seed: int) -> None:
    def act(site: RetrySite) -> None:
        for action, number, seconds in actions:
            members = list(itertools.islice(itertools.cycle(site.daemons), number, number + 4))
            for member in set(members):
                daemon = site.daemons[member]
                if action == "restart":
                    site.restart(member)
                elif action == "add":
                    site.add()
                elif action == "cut":
                    site.side[member] = 1
                elif action == "heal":
                    site.side.pop(member, None)
                elif action in ("cut store", "heal store"):
                    daemon.cut_from_store = action == "cut store"
            if action == "freeze":
                site.freeze(set(members), seconds)
            else:
                eventlet.sleep(seconds)

    use = play_failures(SIZES[0], act, seed=seed)
    assert use.fraction <= 1.0, use


def test_the_part_of_a_first_start_does_not_wait_for_the_first_answer_of_the_feed() -> None:
    """A daemon knows the roster from its join before its feed of that table has been answered."""

    def run() -> list[Part]:
        me = MemberId("d0")
        parts = RetryParts(me, 10.0, 10.0, first_start=True)
        parts.observe(0.0, {me}, {me})
        eventlet.sleep(4.0)
        before = parts.current()
        parts.observe(virtual_time.now(), {me}, {me})
        return [before, parts.current()]

    assert run_virtually(run) == [NO_PART, Part(1.0, 0.9)]
