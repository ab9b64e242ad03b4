"""Whole daemons never send more retries together than the bound allows, whichever of them fail.

Daemons divided the bound by those that they had heard lately, and forgot what they had sent when they were
killed. While servers broke off streams everywhere, those that were not frozen took the parts of the frozen
ones, and those that were started again spent theirs anew: up to 1.2 times the bound reached the servers.
"""

import itertools
import signal
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from standins.users import Daemon, UsersSite
from standins.users.configuration import MODEL
from standins.users.partitions import Partition
from standins.users.retry_use import RetryBound, RetryUse, worst_retry_use
from tests.gateway_callers import ask
from tests.test_crashing_requests import member_count, served, wait_for

BOUND = RetryBound(fraction=0.1, floor=40.0, window=6.0)
DAEMONS = 6
CALLERS_PER_DAEMON = 4
LEAST_USE = 0.25
"""Fraction of the bound that must be in use for a case to show anything."""


SETTINGS = {
    "retry_fraction": BOUND.fraction,
    "retry_floor": BOUND.floor,
    "retry_window_seconds": BOUND.window,
    "key_trust_ms": 60_000,
}


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=2, stages=4, partitionable=True) as made:
        yield made


def started(site: UsersSite, count: int) -> list[Daemon]:
    daemons = [site.start(f"hall-{number % 2}", **SETTINGS) for number in range(count)]
    site.wait_placed()
    for daemon in daemons:
        wait_for("streams are served", lambda daemon=daemon: served(daemon))
    wait_for("daemons know each other", lambda: all(member_count(daemon) == count for daemon in daemons))
    return daemons


class Callers:
    """Callers of streams at all daemons; every stream is broken off half of the way, again and again.

    No two requests have the same content: one that was running on three servers when they crashed is
    stopped, whoever sends it.
    """

    def __init__(self, site: UsersSite, reached: int = DAEMONS) -> None:
        self.site = site
        self.reached = reached
        """Number of daemons that callers reach."""

        self.sent: list[float] = []
        self.questions = itertools.count()
        self.stopping = False
        self.threads = [
            threading.Thread(target=self._call, args=(number,))
            for number in range(CALLERS_PER_DAEMON * DAEMONS)
        ]
        for server in site.of(MODEL):
            server.faults.set("reset")

    def __enter__(self) -> "Callers":
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping = True
        for thread in self.threads:
            thread.join()

    def _call(self, number: int) -> None:
        while not self.stopping:
            daemon = self.site.daemons[number % self.reached]
            self.sent.append(time.monotonic())
            try:
                ask(daemon.callers, f"/stream/x?question={next(self.questions)}", X_Deadline_Ms="2500")
            except OSError:
                # The daemon is down or does not answer at the moment.
                time.sleep(0.1)

    def use(self) -> RetryUse:
        arrivals = [
            arrival for server in self.site.every_replica if server.kind for arrival in server.arrived
        ]
        return worst_retry_use(arrivals, self.sent, BOUND)


def freeze_half(site: UsersSite) -> None:
    half = site.daemons[::2]
    for daemon in half:
        daemon.signal(signal.SIGSTOP)
    time.sleep(5.0)
    for daemon in half:
        daemon.signal(signal.SIGCONT)
    time.sleep(2.0)


def kill_half(site: UsersSite) -> None:
    for _ in range(3):
        for number in range(0, len(site.daemons), 2):
            restart(site, number)
        time.sleep(2.0)


def kill_all(site: UsersSite) -> None:
    for number in range(len(site.daemons)):
        site.daemons[number].signal(signal.SIGKILL)
    for number in range(len(site.daemons)):
        restart(site, number)
    time.sleep(3.0)


def restart(site: UsersSite, number: int) -> None:
    killed = site.daemons[number]
    killed.stop()
    settings = {**killed.settings, "first_start": False}
    again = Daemon(site, settings["member"], settings["hall"], settings, f"{killed.file.stem}-again")
    site.daemons[number] = again


def join(site: UsersSite) -> None:
    for number in range(DAEMONS):
        site.start(f"hall-{number % 2}", first_start=False, **SETTINGS)
    time.sleep(3.0)


def cut_half_off_from_servers(site: UsersSite) -> None:
    for daemon in site.daemons[::2]:
        daemon.partition(Partition.RESET)
    time.sleep(5.0)
    for daemon in site.daemons[::2]:
        daemon.partition(Partition.NONE)
    time.sleep(1.0)


def crash_servers_by_requests(site: UsersSite) -> None:
    site.deadly_parts = {"dead"}
    until = time.monotonic() + 5.0
    while time.monotonic() < until:
        headers = {"X_Prompt_Prefix": f"dead:10,{time.monotonic_ns():x}:10", "X_Token_Counts": "30,24"}
        ask(site.daemons[0].callers, "/stream/x", "POST", b"a question", **headers)
        time.sleep(0.1)


def fail_in_several_ways(site: UsersSite) -> None:
    for daemon in site.daemons[3:5]:
        daemon.partition(Partition.SILENT)
    restart(site, 1)
    freeze_half(site)
    restart(site, 0)
    time.sleep(2.0)


@pytest.mark.parametrize(
    "fail",
    [
        freeze_half,
        kill_half,
        kill_all,
        join,
        cut_half_off_from_servers,
        crash_servers_by_requests,
        fail_in_several_ways,
    ],
)
def test_daemons_that_fail_do_not_add_to_the_retries(
    site: UsersSite, fail: Callable[[UsersSite], None]
) -> None:
    started(site, DAEMONS)
    with Callers(site) as callers:
        time.sleep(2.0)
        fail(site)
    assert LEAST_USE <= callers.use().fraction <= 1.0, callers.use()


def test_one_daemon_that_gets_most_connections_keeps_and_uses_the_bound(site: UsersSite) -> None:
    started(site, DAEMONS)
    with Callers(site, reached=1) as callers:
        time.sleep(5.0)
    # It borrows what the others do not need.
    assert 0.5 <= callers.use().fraction <= 1.0, callers.use()
