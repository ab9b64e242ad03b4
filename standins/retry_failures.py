"""Failures of the daemons of a site, in virtual time, and the use of the bound on retries meanwhile."""

from collections.abc import Callable

import eventlet

from bayglade.ids import HallName
from standins.retry_site import RetrySite, SiteSize
from standins.users.retry_use import RetryUse
from standins.virtual_time import run_virtually

SIZES = [
    SiteSize(daemons=9, halls=3, floor=202.0, rate=31.0),
    SiteSize(daemons=81, halls=3, floor=346.0, rate=120.0),
    SiteSize(daemons=440, halls=11, floor=900.0, rate=1200.0),
]
START_SECONDS = 8.0
"""Time in which daemons join and settle."""
CREDIT_SECONDS = 15.0
"""Time in which requests have earned the credit of a whole window."""

Prepare = Callable[[RetrySite], None]
"""Changes a site before its daemons do anything."""


def play_failures(
    size: SiteSize,
    events: Callable[[RetrySite], None],
    seed: int = 1,
    late: bool = False,
    prepare: Prepare = lambda site: None,
) -> RetryUse:
    """Let all daemons of a site want retries while something happens to them.

    :param size: the site.
    :param events: what happens.
    :param seed: seed of all randomness.
    :param late: whether what is sent may arrive late.
    :param prepare: changes the site first.
    :return: the window that uses most of the bound.
    """

    def run() -> RetryUse:
        site = RetrySite(size, seed=seed, late=late)
        prepare(site)
        eventlet.sleep(START_SECONDS)
        site.demanding = True
        eventlet.sleep(2.0)
        events(site)
        eventlet.sleep(5.0)
        return site.use()

    return run_virtually(run)


def play_local_trouble(
    size: SiteSize, trouble: Prepare, seed: int = 1, prepare: Prepare = lambda site: None
) -> RetryUse:
    """Let a few daemons of a site want retries for one window, after a time in which nobody does.

    :param size: the site.
    :param trouble: chooses the daemons.
    :param seed: seed of all randomness.
    :param prepare: changes the site first.
    :return: the window that uses most of the bound.
    """

    def run() -> RetryUse:
        site = RetrySite(size, seed=seed)
        prepare(site)
        trouble(site)
        eventlet.sleep(START_SECONDS + CREDIT_SECONDS)
        site.demanding = True
        eventlet.sleep(10.0)
        return site.use()

    return run_virtually(run)


def calm(site: RetrySite) -> None:
    """Let nothing happen."""


def freeze_halves(site: RetrySite) -> None:
    """Freeze one half of the daemons for some seconds, then the other one."""
    members = list(site.daemons)
    for half in (members[::2], members[1::2]):
        site.freeze(half, 4.5)
        eventlet.sleep(0.5)


def kill_one_by_one(site: RetrySite) -> None:
    """Kill and start daemons in turn."""
    for member in list(site.daemons)[:40]:
        site.restart(member)
        eventlet.sleep(0.3)


def kill_all(site: RetrySite) -> None:
    """Kill and start all daemons at once."""
    for member in list(site.daemons):
        site.restart(member)
    eventlet.sleep(25.0)


def kill_all_again_and_again(site: RetrySite) -> None:
    """Kill and start all daemons several times in a row."""
    for seconds in (1.0, 4.0, 11.5, 14.0, 24.0):
        for member in list(site.daemons):
            site.restart(member)
        eventlet.sleep(seconds)


def double(site: RetrySite) -> None:
    """Add as many daemons as there are."""
    for _ in range(len(site.daemons)):
        site.add()
    eventlet.sleep(40.0)


def cut_in_halves(site: RetrySite) -> None:
    """Cut the daemons into halves that do not reach each other."""
    for number, member in enumerate(list(site.daemons)):
        site.side[member] = number % 2
    eventlet.sleep(15.0)
    site.side.clear()


def cut_off_half_from_the_store_while_others_join(site: RetrySite) -> None:
    """Double the daemons while half of them cannot read the roster."""
    for member in list(site.daemons)[::2]:
        site.daemons[member].cut_from_store = True
    double(site)


def remove_half_that_goes_on(site: RetrySite) -> None:
    """Take half of the daemons out of the roster while their processes go on."""
    members = list(site.daemons)[::2]
    for member in members:
        site.daemons[member].cut_from_store = True
    eventlet.sleep(20.0)
    for member in members:
        site.remove(member)
    eventlet.sleep(45.0)


def several_at_once(site: RetrySite) -> None:
    """Cut, kill, add and freeze daemons within the same windows."""
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
    """Let callers reach one daemon only."""
    site.reached = {next(iter(site.daemons))}
    eventlet.sleep(25.0)


def forward_calls_of_half(site: RetrySite) -> None:
    """Cut half of the daemons off from all servers, so that the others send their calls."""
    site.isolated = set(list(site.daemons)[::2])
    eventlet.sleep(25.0)


FAILURES = [
    calm,
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


def one_hall(site: RetrySite) -> None:
    """Let the daemons of one hall alone want retries."""
    site.troubled = {HallName("h0")}


def callers_at_one_daemon(site: RetrySite) -> None:
    """Let callers reach one daemon only, from the start."""
    site.reached = {next(iter(site.daemons))}


def forwarded_calls(site: RetrySite) -> None:
    """Let callers reach only daemons that reach no server."""
    site.reached = site.isolated = set(list(site.daemons)[::2])
