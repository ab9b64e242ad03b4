"""A server that refuses a request and asks for a rest gets no requests until the rest is over.

Guards against daemons that ignore the rest. A refusal used to count as a quarter of a second without
capacity, and at a plain server not at all. As a refusing server has no requests in flight, it was the least
busy one and was chosen again and again: a first stage that refused everything for nine seconds, with a rest
of three seconds each time, got 39 requests, up to four from one daemon within one rest. A daemon with eight
callers logged 276 refusals by one plain server before the first rest of 1.5 seconds was over.
"""

import threading
import time
from collections.abc import Iterator, Sequence
from typing import Any

import pytest

from standins.users import MODEL, PLAIN, Daemon, Replica, UsersSite, exchange
from standins.world import wait_for
from tests.gateway_callers import Answer, ask

REST = 1.5
"""Seconds of rest that plain servers ask for."""
STAGE_REST = 4.0
"""Seconds of rest that stages ask for. It is much longer than the quarter of a second for which a stage
counts as full after any refusal."""
IN_FLIGHT_SECONDS = 0.5
"""Requests that are in flight when a server asks for a rest may still arrive for this many seconds."""
MAX_REQUESTS_IN_REST = 2
"""Requests that may reach a server during a rest, not counting those that were in flight."""
CALLERS = 8
MIN_SERVED_FRACTION = 0.98
"""Fraction of the requests that must be served while other servers have capacity."""
DRAIN_SECONDS = 2.0
"""Seconds for which a server may still get requests after it announced its leaving."""


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=2, stages=4, plain=4) as made:
        yield made


def start_daemons(site: UsersSite, count: int = 1) -> list[Daemon]:
    daemons = [site.start(f"hall-{n % 2}", retry_floor=1000.0, key_trust_ms=60_000) for n in range(count)]
    site.wait_placed()
    for daemon in daemons:
        wait_for("streams are served", lambda daemon=daemon: ask(daemon.callers, "/stream/x").status == 200)
        wait_for("calls are served", lambda daemon=daemon: ask(daemon.callers, "/safe/x").status == 200)
    return daemons


def send_continuously(daemons: Sequence[Daemon], path: str, seconds: float) -> list[list[Answer]]:
    """Have callers send requests to daemons without a pause; return the answers of each daemon."""
    answers: list[list[Answer]] = [[] for _ in daemons]
    until = time.monotonic() + seconds

    def call(number: int) -> None:
        while time.monotonic() < until:
            answers[number].append(ask(daemons[number].callers, path))

    threads = [threading.Thread(target=call, args=(n % len(daemons),)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def max_requests_in_a_rest(server: Replica, answers: Sequence[Answer], rest: float = REST) -> int:
    """Return the largest number of one daemon's requests that reached a server within one rest."""
    own = {answer.request for answer in answers}
    asked = [at for request, at in server.refused if request in own]
    arrived = [at for request, at in server.arrived if request in own]
    return max((sum(t + IN_FLIGHT_SECONDS < at < t + rest for at in arrived) for t in asked), default=0)


def served_fraction(answers: Sequence[Answer]) -> float:
    return sum(answer.status == 200 and answer.whole for answer in answers) / len(answers)


def refuse_requests(servers: Sequence[Replica], rest: float = REST) -> None:
    for server in servers:
        server.retry_after = str(rest)
        server.faults.set("refuse")


def first_stages(site: UsersSite) -> list[Replica]:
    return [replica for replica in site.of(MODEL) if replica.held[0] == 0]


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
@pytest.mark.parametrize("count", [1, 2])
def test_a_plain_server_at_rest_gets_no_requests(site: UsersSite, path: str, count: int) -> None:
    daemons = start_daemons(site, count)
    resting = site.of(PLAIN)[:2]
    refuse_requests(resting)
    answers = send_continuously(daemons, path, 2 * REST)
    assert all(server.refused for server in resting)
    assert all(
        max_requests_in_a_rest(server, own) <= MAX_REQUESTS_IN_REST for server in resting for own in answers
    )
    assert all(served_fraction(own) >= MIN_SERVED_FRACTION for own in answers)


@pytest.mark.parametrize("count", [1, 2])
def test_a_first_stage_at_rest_gets_no_requests(site: UsersSite, count: int) -> None:
    daemons = start_daemons(site, count)
    resting = find_used_stage(site, daemons[0], 0)
    refuse_requests([resting], STAGE_REST)
    answers = send_continuously(daemons, "/stream/x", STAGE_REST + 1.0)
    assert resting.refused
    assert all(max_requests_in_a_rest(resting, own, STAGE_REST) <= MAX_REQUESTS_IN_REST for own in answers)
    assert all(served_fraction(own) >= MIN_SERVED_FRACTION for own in answers)


def test_a_later_stage_named_in_a_refusal_is_at_rest(site: UsersSite) -> None:
    daemon = start_daemons(site)[0]
    later = find_used_stage(site, daemon, 1)
    heads = first_stages(site)
    for head in heads:
        head.retry_after, head.paused_stage = str(STAGE_REST), later
    answers = send_continuously([daemon], "/stream/x", STAGE_REST + 1.0)[0]
    told = [at for head in heads for _, at in head.refused]
    over = [at for head in heads for r, at in head.arrived if later.address in head.tried_paths[r]]
    assert told
    for start in told:
        since, until = start + IN_FLIGHT_SECONDS, start + STAGE_REST
        assert sum(since < at < until for at in over) <= MAX_REQUESTS_IN_REST
    assert served_fraction(answers) >= MIN_SERVED_FRACTION


def find_used_stage(site: UsersSite, daemon: Daemon, number: int) -> Replica:
    """Return one stage of the path that a daemon's streams currently take."""

    def seek() -> Replica | None:
        request = ask(daemon.callers, "/stream/x").request
        paths = [head.paths[request] for head in first_stages(site) if request in head.paths]
        if not paths or len(paths[0]) <= number:
            return None
        address = paths[0][number][0]
        return next(replica for replica in site.of(MODEL) if replica.address == address)

    return wait_for("a path includes that stage", seek)  # type: ignore[return-value]


def test_callers_are_told_when_to_retry_while_all_plain_servers_are_at_rest(site: UsersSite) -> None:
    daemon = start_daemons(site)[0]
    refuse_requests(site.of(PLAIN))
    wait_for("all are at rest", lambda: ask(daemon.callers, "/safe/x").status and all_have_refused(site))
    before = sum(len(server.arrived) for server in site.of(PLAIN))
    ends = min(server.refused[-1][1] for server in site.of(PLAIN)) + REST
    asked_at = time.monotonic()
    answers = [ask(daemon.callers, path) for path in ("/safe/x", "/once/x")]
    assert [answer.status for answer in answers] == [503, 503]
    assert sum(len(server.arrived) for server in site.of(PLAIN)) == before
    assert all(float(answer.headers["retry-after"]) >= ends - time.monotonic() for answer in answers)
    assert time.monotonic() < asked_at + REST
    for server in site.of(PLAIN):
        server.faults.clear()
    wait_for("calls are served", lambda: ask(daemon.callers, "/safe/x").status == 200)


def all_have_refused(site: UsersSite) -> bool:
    return all(server.refused for server in site.of(PLAIN))


def test_a_stream_waits_for_the_end_of_a_short_rest(site: UsersSite) -> None:
    daemon = start_daemons(site)[0]
    heads = first_stages(site)
    refuse_requests(heads, 0.8)
    for head in heads:
        head.faults.left["refuse"] = 1
    answers = send_continuously([daemon], "/stream/x", 0.5)[0]
    assert all(head.refused for head in heads)
    assert served_fraction(answers) == 1.0
    assert all(max_requests_in_a_rest(head, answers, 0.8) == 0 for head in heads)


def test_a_rest_is_reported_and_ends_when_the_server_restarts(site: UsersSite) -> None:
    daemon = start_daemons(site)[0]
    server = site.of(PLAIN)[0]
    server.retry_after = "3600"
    server.faults.set("refuse", 1)
    wait_for("it is at rest", lambda: ask(daemon.callers, "/safe/x").status and server.refused)
    seconds = rest_seconds_of(daemon, server)
    assert seconds is not None and 3500 < seconds <= 3600
    assert "servers_resting 1" in metrics(daemon)
    server.restart()
    arrived = len(server.arrived)
    wait_for(
        "it gets requests again",
        lambda: ask(daemon.callers, "/safe/x").status and len(server.arrived) > arrived,
    )
    assert rest_seconds_of(daemon, server) is None


def rest_seconds_of(daemon: Daemon, server: Replica) -> float | None:
    """Return for how many seconds, according to a daemon, a server is at rest."""
    rest: float | None = belief_of(daemon, server).get("rest_seconds")
    return rest


def metrics(daemon: Daemon) -> str:
    time.sleep(1.1)  # gauges are updated once per second
    return exchange(daemon.metrics, b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").decode()


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
@pytest.mark.parametrize("store", ["well", "away"])
def test_a_server_that_announces_its_leaving_in_answers_gets_no_more_requests(
    site: UsersSite, path: str, store: str
) -> None:
    daemon = start_daemons(site)[0]
    leaving = site.of(PLAIN)[0] if path != "/stream/x" else find_used_stage(site, daemon, 0)
    if store == "away":
        site.store.faults.set("busy")
    leaving.says_leaving = True
    said = time.monotonic()
    wait_for(
        "it has announced its leaving",
        lambda: ask(daemon.callers, path).status and got_request_since(leaving, said),
    )
    # The server rewrites its row, as with each heartbeat, and the row says that it is ready.
    leaving.register()
    told = time.monotonic()
    answers = send_continuously([daemon], path, DRAIN_SECONDS + 1.0)[0]
    assert [at for _, at in leaving.arrived if at > told + DRAIN_SECONDS] == []
    assert served_fraction(answers) >= MIN_SERVED_FRACTION


def got_request_since(server: Replica, at: float) -> bool:
    return any(arrived > at for _, arrived in server.arrived)


def test_other_daemons_are_told_of_a_server_that_announces_its_leaving(site: UsersSite) -> None:
    daemons = start_daemons(site, 2)
    wait_for("daemons know of each other", lambda: all(has_peers(daemon) for daemon in daemons))
    leaving = find_used_stage(site, daemons[0], 0)
    leaving.says_leaving = True
    said = time.monotonic()
    wait_for(
        "it has announced its leaving",
        lambda: ask(daemons[0].callers, "/stream/x").status and got_request_since(leaving, said),
    )
    wait_for(
        "both daemons know of it", lambda: all(state_of(daemon, leaving) == "leaving" for daemon in daemons)
    )


def belief_of(daemon: Daemon, server: Replica) -> Any:
    return next(belief for belief in daemon.beliefs()["servers"] if belief["backend"] == server.id)


def state_of(daemon: Daemon, server: Replica) -> str:
    state: str = belief_of(daemon, server)["state"]
    return state


def has_peers(daemon: Daemon) -> bool:
    return bool(daemon.beliefs()["members"])
