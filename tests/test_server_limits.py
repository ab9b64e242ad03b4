"""Servers that name a limit get no more than that of all daemons together."""

import threading
import time
from collections.abc import Iterator, Sequence

import pytest

from standins.users import MODEL, PLAIN, Daemon, Replica, UsersSite
from standins.users.limits import WINDOW_SECONDS, excesses
from standins.world import wait_for
from tests.gateway_callers import Answer, ask

CALLERS = 8
SECONDS = 6.0
"""How long callers ask: a window, and a time before it in which daemons come to know."""

SERVED_PART = 0.98
"""Part of the requests that is to be served while other servers have room."""


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=2, stages=4, plain=4) as made:
        yield made


def started(site: UsersSite, count: int) -> list[Daemon]:
    daemons = [site.start(f"hall-{n % 2}", retry_floor=1000.0, key_trust_ms=60_000) for n in range(count)]
    site.wait_placed()
    for daemon in daemons:
        wait_for("streams are served", lambda daemon=daemon: ask(daemon.callers, "/stream/x").status == 200)
        wait_for("calls are served", lambda daemon=daemon: ask(daemon.callers, "/safe/x").status == 200)
        wait_for(
            "it hears the others",
            lambda daemon=daemon: len(daemon.beliefs()["members"]) == count - 1,
        )
    return daemons


class Load:
    """Callers that ask daemons without a pause, and what came of it."""

    def __init__(self, daemons: Sequence[Daemon], path: str, pause: float = 0.0) -> None:
        self.daemons = daemons
        self.path = path
        self.pause = pause
        self.answers: list[Answer] = []
        self.daemon_of: dict[str, str] = {}

    def run(self, seconds: float = SECONDS) -> None:
        until = time.monotonic() + seconds
        threads = [threading.Thread(target=self._call, args=(n, until)) for n in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def served_part(self) -> float:
        return sum(answer.status == 200 and answer.whole for answer in self.answers) / len(self.answers)

    def _call(self, number: int, until: float) -> None:
        daemon = self.daemons[number % len(self.daemons)]
        while time.monotonic() < until:
            answer = ask(daemon.callers, self.path)
            self.daemon_of[answer.request] = daemon.settings["member"]
            self.answers.append(answer)
            time.sleep(self.pause)


def excesses_under(load: Load, servers: Sequence[Replica]) -> list[object]:
    """Return what servers got beyond their limits of the requests of a load."""
    for server in servers:
        server.arrived = [(request, at) for request, at in server.arrived if request in load.daemon_of]
        server.limits_named = [named for named in server.limits_named if named.request in load.daemon_of]
    return [excess for server in servers for excess in excesses(server, load.daemon_of)]


def first_stages(site: UsersSite) -> list[Replica]:
    return [replica for replica in site.of(MODEL) if replica.held[0] == 0]


def servers_of(site: UsersSite, path: str) -> list[Replica]:
    return first_stages(site) if path == "/stream/x" else site.of(PLAIN)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
@pytest.mark.parametrize("count", [1, 3])
def test_a_server_gets_no_more_than_its_limit_of_all_daemons(
    site: UsersSite, path: str, count: int
) -> None:
    daemons = started(site, count)
    limited = servers_of(site, path)[0]
    limited.rate_limit = "1"
    load = Load(daemons, path)
    load.run()
    assert limited.limits_named
    assert excesses_under(load, [limited]) == []
    assert load.served_part() >= SERVED_PART


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
def test_no_server_gets_more_than_its_limit_when_all_name_one(site: UsersSite, path: str) -> None:
    daemons = started(site, 3)
    limited = servers_of(site, path)
    for server in limited:
        server.rate_limit = "4"
    load = Load(daemons, path)
    load.run(WINDOW_SECONDS + 2.0)
    assert all(server.limits_named for server in limited)
    assert excesses_under(load, limited) == []
