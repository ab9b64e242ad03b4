"""A request runs on no more servers than its route allows, whichever daemons send it, and in time."""

import random
import threading
import time

import pytest

from standins.users import Daemon, UsersSite
from standins.users.configuration import MAX_ATTEMPTS
from standins.world import wait_for
from tests.test_partitioned_daemons import Stream, isolate, start_daemons

LATE_SECONDS = 1.0
"""Time in which a resumed daemon would have sent what it read then."""

CALLS_AT_ONCE = 8
"""Calls of which at least one goes to each of two daemons."""

SUSPENSIONS_SECONDS = 8.0


@pytest.fixture
def site(partitionable_site: UsersSite) -> UsersSite:
    return partitionable_site


def servers_of(site: UsersSite, request: str) -> set[str]:
    return {replica.id for replica in site.every_replica if replica.ran[request]}


def daemons_given(sender: Daemon, request: str) -> list[str]:
    return [line["peer"] for line in sender.lines("forwarded") if line["request"] == request]


def forwarded_to_suspended(sender: Daemon, suspended: Daemon, path: str) -> Stream:
    """Suspend a daemon, and return a request that is forwarded to it first."""
    # The daemon that forwards then has open connections to all others.
    for call in [Stream(sender, path) for _ in range(CALLS_AT_ONCE)]:
        assert call.result().whole
    suspended.suspend()
    calls = [Stream(sender, path) for _ in range(CALLS_AT_ONCE)]
    chosen = None
    for call in calls:
        given = wait_for("it is forwarded", lambda call=call: daemons_given(sender, call.request))
        if given[0] == suspended.settings["member"]:
            chosen = call
    assert chosen is not None
    for call in calls:
        if call is not chosen:
            call.leave()
    return chosen


def resume_late(helper: Daemon) -> None:
    helper.resume()
    time.sleep(LATE_SECONDS)


def start_with_one_isolated(site: UsersSite, count: int, **routes: int) -> list[Daemon]:
    """Start daemons, of which the first one reaches no server."""
    site.configure(**routes)
    daemons = start_daemons(site, count)
    isolate(daemons[0])
    return daemons


@pytest.mark.parametrize("path", ["/stream/x", "/safe/x"])
def test_a_call_that_its_sender_gave_up_is_not_sent_by_a_resumed_daemon(site: UsersSite, path: str) -> None:
    sender, suspended, _ = start_with_one_isolated(site, 3, maxAttempts=1, timeoutMs=5000)
    call = forwarded_to_suspended(sender, suspended, path)
    answer = call.result()
    ran_before = site.runs(call.request)
    resume_late(suspended)
    assert answer.status == 200 and answer.whole
    assert site.runs(call.request) == ran_before
    assert len(servers_of(site, call.request)) == 1


@pytest.mark.parametrize("loss", ["killed", "suspended"])
def test_the_servers_that_a_lost_daemon_used_count_at_the_next_one(site: UsersSite, loss: str) -> None:
    # Daemons of different halls choose different servers.
    sender, *helpers = start_with_one_isolated(site, 3, maxAttempts=1)
    stream = Stream(sender)
    wait_for("it has begun", lambda: site.runs(stream.request))
    first = wait_for("it is logged", lambda: daemons_given(sender, stream.request))[0]
    lost = next(helper for helper in helpers if helper.settings["member"] == first)
    lost.stop() if loss == "killed" else lost.suspend()
    answer = stream.result()
    if loss == "suspended":
        resume_late(lost)
    assert answer.whole
    assert len(servers_of(site, stream.request)) == 1


def test_a_forwarded_call_is_not_sent_after_the_deadline_of_its_caller(site: UsersSite) -> None:
    sender, helper = start_with_one_isolated(site, 2)
    helper.suspend()
    call = Stream(sender, "/once/x")
    answer = call.result()
    resume_late(helper)
    assert answer.status in (503, 504)
    assert site.runs(call.request) == 0


@pytest.mark.parametrize("path", ["/stream/x", "/safe/x", "/once/x"])
def test_a_call_whose_caller_left_is_not_sent_by_a_resumed_daemon(site: UsersSite, path: str) -> None:
    daemon = start_daemons(site, 1)[0]
    daemon.suspend()
    call = Stream(daemon, path)
    call.leave()
    resume_late(daemon)
    assert site.runs(call.request) == 0


class Caller:
    def __init__(self, daemon: Daemon, path: str) -> None:
        self.call = Stream(daemon, path)
        self.whole = False
        self.ended_at = 0.0
        self.thread = threading.Thread(target=self._read)
        self.thread.start()

    def _read(self) -> None:
        try:
            self.whole = self.call.result().whole
        except OSError:
            self.call.leave()
        self.ended_at = time.monotonic()


def lose_in_turn(helpers: list[Daemon], rng: random.Random, until: float) -> None:
    while time.monotonic() < until:
        helper = rng.choice(helpers)
        helper.suspend()
        time.sleep(rng.uniform(0.3, 2.5))
        helper.resume()
        time.sleep(rng.uniform(0.0, 0.3))


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_exceeds_its_servers_or_its_time_while_daemons_are_suspended(
    site: UsersSite, seed: int
) -> None:
    sender, *helpers = start_with_one_isolated(site, 4)
    for server in site.replicas:
        server.event_seconds = 0.1
    until = time.monotonic() + SUSPENSIONS_SECONDS
    losses = threading.Thread(target=lose_in_turn, args=(helpers, random.Random(seed), until))
    losses.start()
    callers = []
    while time.monotonic() < until:
        callers += [Caller(sender, path) for path in ("/stream/x", "/safe/x", "/once/x")]
        time.sleep(0.15)
    losses.join()
    for caller in callers:
        caller.thread.join()
    time.sleep(LATE_SECONDS)
    ended_at = {caller.call.request: caller.ended_at for caller in callers}
    ran = [run for replica in site.replicas for run in replica.ran_at]
    assert [request for request in ended_at if len(servers_of(site, request)) > MAX_ATTEMPTS] == []
    assert [at for request, at in ran if request in ended_at and at > ended_at[request] + 0.5] == []
    assert sum(caller.whole for caller in callers) >= len(callers) / 2
