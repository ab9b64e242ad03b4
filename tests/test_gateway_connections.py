"""A gateway with a single failing table, or with established connections that stop carrying data."""

import threading
from collections.abc import Callable, Iterator

import pytest

from soak.proxy import Proxies
from standins.users import EVENTS, KEY, MODEL, PLAIN, Daemon, Replica, UsersSite, false_if_unreachable
from standins.world import wait_for
from tests.gateway_callers import Answer, ask

DRAIN_SECONDS = 2.0
RECOVERY_SECONDS = 3.0
"""Time in which a daemon must be up to date again after its connections fell silent."""

STREAMS = 3


@pytest.fixture
def proxies() -> Iterator[Proxies]:
    made = Proxies()
    yield made
    made.stop()


def succeeds(daemon: Daemon, path: str) -> bool:
    return false_if_unreachable(lambda: ask(daemon.callers, path).status == 200)


def start_leaving(replica: Replica) -> None:
    replica.state = "draining"
    replica.register()


def logged_leaving(daemon: Daemon, replica: Replica) -> Callable[[], bool]:
    return lambda: any(line["peer"] == replica.id for line in daemon.lines("server leaving"))


@pytest.mark.parametrize("fault", ["busy servers", "silent servers"])
def test_a_single_failing_table_is_up_to_date_soon_after_recovery(fault: str) -> None:
    with UsersSite(halls=1, stages=6) as site:
        daemon = site.start()
        wait_for("calls are served", lambda: succeeds(daemon, "/once/x"))
        site.store.faults.set(fault)
        # The daemon continues with what it knows, and logs that the list is outdated.
        wait_for("the server list is logged as behind", lambda: daemon.lines("servers behind"), 10.0)
        assert ask(daemon.callers, "/once/x").status == 200
        site.store.faults.clear()
        start_leaving(site.of(PLAIN)[0])
        wait_for("the leaving server is known", logged_leaving(daemon, site.of(PLAIN)[0]), RECOVERY_SECONDS)
        wait_for("the server list has caught up", lambda: daemon.lines("servers caught up"), 10.0)
        start_leaving(site.of(PLAIN)[1])
        wait_for("the other one is known as well", logged_leaving(daemon, site.of(PLAIN)[1]), DRAIN_SECONDS)


def test_silent_store_connections_are_detected_in_time(proxies: Proxies) -> None:
    with UsersSite(halls=1, stages=6) as site:
        daemon = site.start(store=proxies.front(site.store.server.address))
        wait_for("calls are served", lambda: succeeds(daemon, "/once/x"))
        proxies.links[site.store.server.address].silence()
        start_leaving(site.of(PLAIN)[0])
        site.configure(keys=(KEY, "another"))
        wait_for("the leaving server is known", logged_leaving(daemon, site.of(PLAIN)[0]), RECOVERY_SECONDS)
        wait_for(
            "the new key is known",
            lambda: ask(daemon.callers, "/once/x", X_Key="another").status == 200,
            RECOVERY_SECONDS,
        )
        assert daemon.is_ready()


def test_streams_on_connections_that_fall_silent_continue_elsewhere(proxies: Proxies) -> None:
    with UsersSite(halls=1, stages=6, front=proxies.front) as site:
        daemon = site.start()
        site.wait_placed()
        wait_for("streams are served", lambda: succeeds(daemon, "/stream/x"))
        answers: list[Answer] = []

        def stream() -> None:
            answers.append(ask(daemon.callers, "/stream/x"))

        def running_requests() -> set[str]:
            return {request for replica in site.of(MODEL) for request in replica.paths}

        before = running_requests()
        threads = [threading.Thread(target=stream) for _ in range(STREAMS)]
        for thread in threads:
            thread.start()
        wait_for("the streams run", lambda: len(running_requests() - before) == STREAMS)
        for link in proxies.links.values():
            link.silence()
        for thread in threads:
            thread.join(15)
        assert daemon.lines("rerouted") or daemon.lines("attempt failed")
        assert [answer.events for answer in answers] == [list(range(1, EVENTS + 1))] * STREAMS
        assert succeeds(daemon, "/stream/x")
        assert site.wrong_paths == []
