"""A whole gateway whose tables fail one by one, or whose open connections fall silent for good."""

import threading
from collections.abc import Callable, Iterator

import pytest

from soak.proxy import Proxies
from standins.users import EVENTS, KEY, MODEL, PLAIN, Daemon, Replica, UsersSite, quietly
from standins.world import wait_for
from tests.gateway_callers import Answer, ask

DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
"""A daemon whose connections fell silent has so long to know again what it must know."""

STREAMS = 3


@pytest.fixture
def proxies() -> Iterator[Proxies]:
    made = Proxies()
    yield made
    made.stop()


def is_served(daemon: Daemon, path: str) -> bool:
    return quietly(lambda: ask(daemon.callers, path).status == 200)


def leave(replica: Replica) -> None:
    replica.state = "draining"
    replica.register()


def known_to_leave(daemon: Daemon, replica: Replica) -> Callable[[], bool]:
    return lambda: any(line["peer"] == replica.id for line in daemon.lines("server leaving"))


@pytest.mark.parametrize("fault", ["busy servers", "silent servers"])
def test_a_list_that_alone_is_not_answered_for_is_soon_known_again(fault: str) -> None:
    with UsersSite(halls=1, stages=6) as site:
        daemon = site.start()
        wait_for("calls are served", lambda: is_served(daemon, "/once/x"))
        site.store.faults.set(fault)
        # It goes on by what it knows, and says that this is old.
        wait_for("the list is said to be behind", lambda: daemon.lines("servers behind"), 10.0)
        assert ask(daemon.callers, "/once/x").status == 200
        site.store.faults.clear()
        leave(site.of(PLAIN)[0])
        wait_for("it is known to leave", known_to_leave(daemon, site.of(PLAIN)[0]), CONTACT_SECONDS)
        wait_for("the list is not behind", lambda: daemon.lines("servers caught up"), 10.0)
        leave(site.of(PLAIN)[1])
        wait_for("the other too", known_to_leave(daemon, site.of(PLAIN)[1]), DRAIN_SECONDS)


def test_silent_connections_to_the_store_are_found_in_time(proxies: Proxies) -> None:
    with UsersSite(halls=1, stages=6) as site:
        daemon = site.start(store=proxies.front(site.store.server.address))
        wait_for("calls are served", lambda: is_served(daemon, "/once/x"))
        proxies.links[site.store.server.address].silence()
        leave(site.of(PLAIN)[0])
        site.configure(keys=(KEY, "another"))
        wait_for("it is known to leave", known_to_leave(daemon, site.of(PLAIN)[0]), CONTACT_SECONDS)
        wait_for(
            "the new key is known",
            lambda: ask(daemon.callers, "/once/x", X_Key="another").status == 200,
            CONTACT_SECONDS,
        )
        assert daemon.is_ready()


def test_streams_on_connections_that_fall_silent_go_on_elsewhere(proxies: Proxies) -> None:
    with UsersSite(halls=1, stages=6, front=proxies.front) as site:
        daemon = site.start()
        site.wait_placed()
        wait_for("streams are served", lambda: is_served(daemon, "/stream/x"))
        answers: list[Answer] = []

        def stream() -> None:
            answers.append(ask(daemon.callers, "/stream/x"))

        def under_way() -> set[str]:
            return {request for replica in site.of(MODEL) for request in replica.paths}

        before = under_way()
        threads = [threading.Thread(target=stream) for _ in range(STREAMS)]
        for thread in threads:
            thread.start()
        wait_for("the streams run", lambda: len(under_way() - before) == STREAMS)
        for link in proxies.links.values():
            link.silence()
        for thread in threads:
            thread.join(15)
        assert daemon.lines("rerouted") or daemon.lines("attempt failed")
        assert [answer.events for answer in answers] == [list(range(1, EVENTS + 1))] * STREAMS
        assert is_served(daemon, "/stream/x")
        assert site.wrong_paths == []
