"""Parts of the bound on retries, in virtual time: their sum never exceeds it, and it can be used.

Daemons divided the bound by those that they had heard lately, and counted from nothing after a start.
"""

import itertools
from collections.abc import Callable, Iterator

import eventlet
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bayglade.ids import HallName, MemberId
from bayglade.retry_parts import NO_PART, Part, RetryParts
from standins.users.retry_use import RetryUse
from tests import retry_site, virtual_time
from tests.retry_site import RetrySite, run_virtually

SIZES = [(9, 3, 202.0, 31.0), (81, 3, 346.0, 120.0), (440, 11, 900.0, 1200.0)]
"""Daemons, halls, floor of the bound and requests a second."""
LEAST_USE_IN_A_HALL = 0.6
"""Fraction of the bound that can be spent in one hall, while the others need none of it."""
LEAST_USE = 0.5
START_SECONDS = 8.0


@pytest.fixture(autouse=True)
def clock() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        for module in retry_site.MODULES:
            patch.setattr(module, "now", virtual_time.now)
        yield


def play(
    size: tuple[int, int, float, float],
    events: Callable[[RetrySite], None],
    seed: int = 1,
    late: bool = False,
) -> RetryUse:
    """Let all daemons of a site want retries while something happens to them; return the worst window."""

    def run() -> RetryUse:
        site = RetrySite(*size, seed=seed, late=late)
        eventlet.sleep(START_SECONDS)
        site.demanding = True
        eventlet.sleep(2.0)
        events(site)
        eventlet.sleep(5.0)
        return site.use()

    return run_virtually(run)


def freeze_halves(site: RetrySite) -> None:
    members = list(site.daemons)
    for half in (members[::2], members[1::2]):
        site.freeze(half, 4.5)
        eventlet.sleep(0.5)


def kill_one_by_one(site: RetrySite) -> None:
    for member in list(site.daemons)[:40]:
        site.restart(member)
        eventlet.sleep(0.3)


def kill_all(site: RetrySite) -> None:
    for member in list(site.daemons):
        site.restart(member)
    eventlet.sleep(25.0)


def kill_all_again_and_again(site: RetrySite) -> None:
    for seconds in (1.0, 4.0, 11.5, 14.0, 24.0):
        for member in list(site.daemons):
            site.restart(member)
        eventlet.sleep(seconds)


def double(site: RetrySite) -> None:
    for _ in range(len(site.daemons)):
        site.add()
    eventlet.sleep(40.0)


def cut_in_halves(site: RetrySite) -> None:
    for number, member in enumerate(list(site.daemons)):
        site.side[member] = number % 2
    eventlet.sleep(15.0)
    site.side.clear()


def cut_off_half_from_the_store_while_others_join(site: RetrySite) -> None:
    for member in list(site.daemons)[::2]:
        site.daemons[member].cut_from_store = True
    double(site)


def remove_half_that_goes_on(site: RetrySite) -> None:
    members = list(site.daemons)[::2]
    for member in members:
        site.daemons[member].cut_from_store = True
    eventlet.sleep(20.0)
    for member in members:
        site.remove(member)
    eventlet.sleep(45.0)


def several_at_once(site: RetrySite) -> None:
    members = list(site.daemons)
    cut_in_halves(site)
    for member in members[1::4]:
        site.restart(member)
    for _ in range(len(members) // 3):
        site.add()
    site.freeze(members[::2], 6.0)
    for member in members[::3]:
        site.restart(member)
    eventlet.sleep(15.0)


def herd_callers_at_one(site: RetrySite) -> None:
    site.reached = {next(iter(site.daemons))}
    eventlet.sleep(25.0)


def forward_calls_of_half(site: RetrySite) -> None:
    site.isolated = set(list(site.daemons)[::2])
    eventlet.sleep(25.0)


EVENTS = [
    lambda site: None,
    freeze_halves,
    kill_one_by_one,
    kill_all,
    kill_all_again_and_again,
    double,
    cut_in_halves,
    cut_off_half_from_the_store_while_others_join,
    remove_half_that_goes_on,
    several_at_once,
    herd_callers_at_one,
    forward_calls_of_half,
]
NAMES = ["calm", *(event.__name__ for event in EVENTS[1:])]


@pytest.mark.parametrize("events", EVENTS, ids=NAMES)
@pytest.mark.parametrize(("size", "late"), [(SIZES[0], True), (SIZES[1], False)], ids=["9 late", "81"])
def test_all_daemons_together_keep_the_bound(
    size: tuple[int, int, float, float], events: Callable[[RetrySite], None], late: bool
) -> None:
    use = play(size, events, late=late)
    assert LEAST_USE <= use.fraction <= 1.0, use


@pytest.mark.parametrize("events", [freeze_halves, several_at_once])
def test_a_large_site_keeps_the_bound(events: Callable[[RetrySite], None]) -> None:
    use = play(SIZES[2], events)
    assert LEAST_USE <= use.fraction <= 1.0, use


def one_hall(site: RetrySite) -> None:
    site.troubled = {HallName("h0")}


def callers_at_one_daemon(site: RetrySite) -> None:
    site.reached = {next(iter(site.daemons))}


def forwarded_calls(site: RetrySite) -> None:
    site.reached = site.isolated = set(list(site.daemons)[::2])


@pytest.mark.parametrize(
    ("size", "trouble"),
    [
        *itertools.product(SIZES, [one_hall]),
        *itertools.product(SIZES[:2], [callers_at_one_daemon, forwarded_calls]),
    ],
)
def test_where_retries_are_wanted_most_of_the_bound_can_be_used(
    size: tuple[int, int, float, float], trouble: Callable[[RetrySite], None]
) -> None:
    def run() -> RetryUse:
        site = RetrySite(*size)
        trouble(site)
        # Its requests have earned the credit of a whole window.
        eventlet.sleep(START_SECONDS + 15.0)
        site.demanding = True
        eventlet.sleep(10.0)
        return site.use()

    use = run_virtually(run)
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

    use = play(SIZES[0], act, seed=seed)
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
