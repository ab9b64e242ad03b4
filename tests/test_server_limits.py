"""Rate-limited servers get no more requests than their limit from all daemons together."""

import signal
import threading
import time
from collections.abc import Iterator, Sequence

import pytest

from standins.users import MODEL, PLAIN, Daemon, Replica, UsersSite
from standins.users.limits import WINDOW_SECONDS, allowed, excesses
from standins.world import wait_for
from tests.gateway_callers import Answer, ask

CLIENTS = 8
SECONDS = 6.0
"""How long clients send: one window, and the time before it in which daemons learn of the limit."""

SERVED_FRACTION = 0.98
"""Fraction of requests that has to be served while other servers have room."""


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
            "it knows the others",
            lambda daemon=daemon: len(daemon.beliefs()["members"]) == count - 1,
        )
    return daemons


class Load:
    """Clients that send requests to daemons continuously, and their results."""

    def __init__(self, daemons: Sequence[Daemon], path: str, pause: float = 0.0) -> None:
        self.daemons = daemons
        self.path = path
        self.pause = pause
        self.answers: list[Answer] = []
        self.daemon_of: dict[str, str] = {}

    def run(self, seconds: float = SECONDS) -> None:
        until = time.monotonic() + seconds
        threads = [threading.Thread(target=self._call, args=(n, until)) for n in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def served_fraction(self) -> float:
        return sum(answer.status == 200 and answer.whole for answer in self.answers) / len(self.answers)

    def _call(self, number: int, until: float) -> None:
        daemon = self.daemons[number % len(self.daemons)]
        while time.monotonic() < until:
            answer = ask(daemon.callers, self.path)
            self.daemon_of[answer.request] = daemon.settings["member"]
            self.answers.append(answer)
            time.sleep(self.pause)


def excesses_under(load: Load, servers: Sequence[Replica]) -> list[object]:
    """Return by how much the requests of a load exceeded the limits of servers."""
    for server in servers:
        server.arrived = [(request, at) for request, at in server.arrived if request in load.daemon_of]
        server.limits_announced = [
            named for named in server.limits_announced if named.request in load.daemon_of
        ]
    return [excess for server in servers for excess in excesses(server, load.daemon_of)]


def first_stages(site: UsersSite) -> list[Replica]:
    return [replica for replica in site.of(MODEL) if replica.held[0] == 0]


def servers_of(site: UsersSite, path: str) -> list[Replica]:
    return first_stages(site) if path == "/stream/x" else site.of(PLAIN)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
@pytest.mark.parametrize("count", [1, 3])
def test_all_daemons_together_respect_the_limit_of_a_server(site: UsersSite, path: str, count: int) -> None:
    daemons = started(site, count)
    limited = servers_of(site, path)[0]
    limited.rate_limit = "1"
    load = Load(daemons, path)
    load.run()
    assert limited.limits_announced
    assert excesses_under(load, [limited]) == []
    assert load.served_fraction() >= SERVED_FRACTION


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
def test_limits_are_respected_if_all_servers_have_one(site: UsersSite, path: str) -> None:
    daemons = started(site, 3)
    limited = servers_of(site, path)
    for server in limited:
        server.rate_limit = "4"
    load = Load(daemons, path)
    load.run(WINDOW_SECONDS + 2.0)
    assert all(server.limits_announced for server in limited)
    assert excesses_under(load, limited) == []


def belief_of(daemon: Daemon, server: Replica) -> dict[str, object]:
    found: dict[str, object] = next(b for b in daemon.beliefs()["servers"] if b["backend"] == server.id)
    return found


def wait_known(daemons: Sequence[Daemon], server: Replica, rate: float | None) -> None:
    wait_for(
        f"all daemons know of the limit {rate}",
        lambda: all(belief_of(daemon, server)["rate_limit"] == rate for daemon in daemons),
    )


@pytest.mark.parametrize("answer", ["200", "500", "503", "stream"])
def test_a_limit_named_by_any_response_reaches_all(site: UsersSite, answer: str) -> None:
    daemons = started(site, 3)
    path = "/stream/x" if answer == "stream" else "/safe/x"
    limited = servers_of(site, path)[0]
    limited.rate_limit = "0.5"
    if answer in ("500", "503"):
        limited.faults.set("error" if answer == "500" else "refuse")
    wait_for(
        "it has named the limit", lambda: ask(daemons[0].callers, path).status and limited.limits_announced
    )
    wait_known(daemons, limited, 0.5)
    assert {named.request for named in limited.limits_announced} <= {
        line["request"] for line in daemons[0].lines("sent")
    }


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
@pytest.mark.parametrize("end", ["no longer named", "a restart"])
def test_a_limit_holds_no_longer_than_its_server_names_it(site: UsersSite, path: str, end: str) -> None:
    daemons = started(site, 2)
    limited = servers_of(site, path)[0]
    limited.rate_limit = "1"
    Load(daemons, path).run(1.5)
    wait_known(daemons, limited, 1.0)
    limited.rate_limit = ""
    if end == "a restart":
        limited.restart()
    load = Load(daemons, path)
    wait_for(
        "all daemons know of its end",
        lambda: load.run(0.2) or all(belief_of(d, limited)["rate_limit"] is None for d in daemons),
    )


def test_an_invalid_limit_is_ignored(site: UsersSite) -> None:
    daemons = started(site, 1)
    for server, value in zip(site.of(PLAIN), ("-1", "many", "nan", "1, 2"), strict=True):
        server.rate_limit = value
    load = Load(daemons, "/safe/x")
    load.run(2.0)
    assert load.served_fraction() >= SERVED_FRACTION
    assert all(belief_of(daemons[0], server)["rate_limit"] is None for server in site.of(PLAIN))
    assert len(daemons[0].lines("rate limit makes no sense")) == 1


USED_FRACTION = 0.75
"""Fraction of all limits together that has to be used while clients demand more."""


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
def test_limits_are_used_and_clients_refused_if_all_servers_have_one(site: UsersSite, path: str) -> None:
    daemons = started(site, 3)
    limited = servers_of(site, path)
    for server in limited:
        server.rate_limit = "4"
    Load(daemons, path).run(2.0)
    since = time.monotonic()
    load = Load(daemons, path, pause=0.02)
    load.run(6.0)
    arrived = sum(at >= since for server in limited for _, at in server.arrived)
    assert arrived >= USED_FRACTION * 4.0 * len(limited) * 6.0
    assert excesses_under(load, limited) == []
    refused = [answer for answer in load.answers if answer.status != 200]
    assert {answer.status for answer in refused} <= {503}
    assert all(float(answer.headers["retry-after"]) > 0 for answer in refused)
    assert all(site.runs(answer.request) == 0 for answer in refused)


def test_limits_hold_when_an_owner_is_killed(site: UsersSite) -> None:
    daemons = started(site, 3)
    limited = site.of(PLAIN)
    for server in limited:
        server.rate_limit = "4"
    Load(daemons, "/safe/x").run(2.0)
    daemons[0].stop()
    load = Load(daemons[1:], "/safe/x", pause=0.02)
    load.run(4.0)
    since = time.monotonic()
    load.run(4.0)
    assert excesses_under(load, limited) == []
    arrived = sum(at >= since for server in limited for _, at in server.arrived)
    assert arrived >= USED_FRACTION * 4.0 * len(limited) * 4.0


def test_the_limit_of_a_later_stage_is_respected(site: UsersSite) -> None:
    daemons = started(site, 2)
    later = next(replica for replica in site.of(MODEL) if replica.held[0] > 0)
    later.rate_limit = "1"
    # Reports of stages are requested when one is suspect.
    later.faults.set("stall")
    wait_for(
        "its report has named the limit",
        lambda: (
            ask(daemons[0].callers, "/stream/x").status
            and belief_of(daemons[0], later)["rate_limit"] == 1.0
        ),
    )
    later.faults.clear()
    wait_known(daemons, later, 1.0)
    since = time.monotonic()
    load = Load(daemons, "/stream/x")
    load.run(6.0)
    over = [
        at
        for head in first_stages(site)
        for request, at in head.arrived
        if at >= since and later.address in head.tried_paths[request]
    ]
    assert len(over) <= allowed(1.0)
    assert load.served_fraction() >= SERVED_FRACTION


@pytest.mark.parametrize("store", ["available", "unavailable"])
def test_limits_hold_while_daemons_freeze_and_join(site: UsersSite, store: str) -> None:
    daemons = started(site, 8)
    limited = site.of(PLAIN)
    for server in limited:
        server.rate_limit = "2"
    Load(daemons, "/safe/x").run(1.5)
    if store == "unavailable":
        site.store.faults.set("busy")
    frozen = daemons[0]
    frozen.signal(signal.SIGSTOP)
    load = Load(daemons[1:], "/safe/x", pause=0.05)
    load.run(3.0)
    frozen.signal(signal.SIGCONT)
    site.store.faults.clear()
    joined = site.start("hall-0", retry_floor=1000.0, key_trust_ms=60_000)
    load.daemons = [joined, *daemons[1:]]
    load.run(5.0)
    assert excesses_under(load, limited) == []
    senders = {load.daemon_of[request] for server in limited for request, _ in server.arrived}
    assert joined.settings["member"] in senders
