"""A server that asks for rest when it turns a request away gets none until the rest is over.

A first stage turned everything away with 503 for nine seconds, and asked each time for three seconds of
rest. Nothing read that: the refusal counted as a quarter of a second without room, and at a plain server
as nothing at all. Having nothing under way, such a server was the least busy one, so it was chosen again
and again: it got 39 requests, up to four of one daemon within one rest. When the log of a refusal said
what was asked for, a daemon with eight callers logged of one plain server:

    attempt failed  the server answered 503  rest 1.5  steady 322.708
    attempt failed  the server answered 503  rest 1.5  steady 322.717

and 274 more such lines before the first rest was over. So it did not forget a rest; it never knew of one.
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
"""Seconds of rest that stages ask for: a refusal counts for a quarter of a second anyway."""
UNDER_WAY_SECONDS = 0.5
"""What is under way when a server asks for rest may still arrive for so long."""
MOST_IN_REST = 2
"""Requests that may reach a server in a rest, those that were under way left out."""
CALLERS = 8
SERVED_PART = 0.98
"""Part of the requests that is to be served while other servers have room."""
DRAIN_SECONDS = 2.0
"""How long after it said so a leaving server may still get requests."""


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=2, stages=4, plain=4) as made:
        yield made


def started(site: UsersSite, count: int = 1) -> list[Daemon]:
    daemons = [site.start(f"hall-{n % 2}", retry_floor=1000.0, key_trust_ms=60_000) for n in range(count)]
    site.wait_placed()
    for daemon in daemons:
        wait_for("streams are served", lambda daemon=daemon: ask(daemon.callers, "/stream/x").status == 200)
        wait_for("calls are served", lambda daemon=daemon: ask(daemon.callers, "/safe/x").status == 200)
    return daemons


def ask_all_the_time(daemons: Sequence[Daemon], path: str, seconds: float) -> list[list[Answer]]:
    """Have callers ask daemons without a pause; return the answers of each daemon."""
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


def most_in_a_rest(server: Replica, answers: Sequence[Answer], rest: float = REST) -> int:
    """Return the most requests of one daemon that reached a server within one rest."""
    own = {answer.request for answer in answers}
    asked = [at for request, at in server.turned_away if request in own]
    arrived = [at for request, at in server.arrived if request in own]
    return max((sum(t + UNDER_WAY_SECONDS < at < t + rest for at in arrived) for t in asked), default=0)


def served_part(answers: Sequence[Answer]) -> float:
    return sum(answer.status == 200 and answer.whole for answer in answers) / len(answers)


def turn_away(servers: Sequence[Replica], rest: float = REST) -> None:
    for server in servers:
        server.rest = str(rest)
        server.faults.set("refuse")


def first_stages(site: UsersSite) -> list[Replica]:
    return [replica for replica in site.of(MODEL) if replica.held[0] == 0]


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
@pytest.mark.parametrize("count", [1, 2])
def test_a_plain_server_at_rest_gets_nothing(site: UsersSite, path: str, count: int) -> None:
    daemons = started(site, count)
    resting = site.of(PLAIN)[:2]
    turn_away(resting)
    answers = ask_all_the_time(daemons, path, 2 * REST)
    assert all(server.turned_away for server in resting)
    assert all(most_in_a_rest(server, own) <= MOST_IN_REST for server in resting for own in answers)
    assert all(served_part(own) >= SERVED_PART for own in answers)


@pytest.mark.parametrize("count", [1, 2])
def test_a_first_stage_at_rest_gets_nothing(site: UsersSite, count: int) -> None:
    daemons = started(site, count)
    resting = used_stage(site, daemons[0], 0)
    turn_away([resting], STAGE_REST)
    answers = ask_all_the_time(daemons, "/stream/x", STAGE_REST + 1.0)
    assert resting.turned_away
    assert all(most_in_a_rest(resting, own, STAGE_REST) <= MOST_IN_REST for own in answers)
    assert all(served_part(own) >= SERVED_PART for own in answers)


def test_a_later_stage_that_is_named_rests(site: UsersSite) -> None:
    daemon = started(site)[0]
    later = used_stage(site, daemon, 1)
    heads = first_stages(site)
    for head in heads:
        head.rest, head.resting_stage = str(STAGE_REST), later
    answers = ask_all_the_time([daemon], "/stream/x", STAGE_REST + 1.0)[0]
    told = [at for head in heads for _, at in head.turned_away]
    over = [at for head in heads for r, at in head.arrived if later.address in head.tried_paths[r]]
    assert told
    for start in told:
        since, until = start + UNDER_WAY_SECONDS, start + STAGE_REST
        assert sum(since < at < until for at in over) <= MOST_IN_REST
    assert served_part(answers) >= SERVED_PART


def used_stage(site: UsersSite, daemon: Daemon, number: int) -> Replica:
    """Return a stage of the path that streams of a daemon take now."""

    def seek() -> Replica | None:
        request = ask(daemon.callers, "/stream/x").request
        paths = [head.paths[request] for head in first_stages(site) if request in head.paths]
        if not paths or len(paths[0]) <= number:
            return None
        address = paths[0][number][0]
        return next(replica for replica in site.of(MODEL) if replica.address == address)

    return wait_for("a path goes over that stage", seek)  # type: ignore[return-value]


def test_all_plain_servers_at_rest_are_not_asked_and_callers_told_when(site: UsersSite) -> None:
    daemon = started(site)[0]
    turn_away(site.of(PLAIN))
    wait_for("all rest", lambda: ask(daemon.callers, "/safe/x").status and all_turned_away(site))
    before = sum(len(server.arrived) for server in site.of(PLAIN))
    ends = min(server.turned_away[-1][1] for server in site.of(PLAIN)) + REST
    asked_at = time.monotonic()
    answers = [ask(daemon.callers, path) for path in ("/safe/x", "/once/x")]
    assert [answer.status for answer in answers] == [503, 503]
    assert sum(len(server.arrived) for server in site.of(PLAIN)) == before
    assert all(float(answer.headers["retry-after"]) >= ends - time.monotonic() for answer in answers)
    assert time.monotonic() < asked_at + REST
    for server in site.of(PLAIN):
        server.faults.clear()
    wait_for("calls are served", lambda: ask(daemon.callers, "/safe/x").status == 200)


def all_turned_away(site: UsersSite) -> bool:
    return all(server.turned_away for server in site.of(PLAIN))


def test_a_stream_waits_for_the_end_of_a_short_rest(site: UsersSite) -> None:
    daemon = started(site)[0]
    heads = first_stages(site)
    turn_away(heads, 0.8)
    for head in heads:
        head.faults.left["refuse"] = 1
    answers = ask_all_the_time([daemon], "/stream/x", 0.5)[0]
    assert all(head.turned_away for head in heads)
    assert served_part(answers) == 1.0
    assert all(most_in_a_rest(head, answers, 0.8) == 0 for head in heads)


def test_a_rest_shows_and_ends_with_the_start_that_asked_for_it(site: UsersSite) -> None:
    daemon = started(site)[0]
    server = site.of(PLAIN)[0]
    server.rest = "3600"
    server.faults.set("refuse", 1)
    wait_for("it rests", lambda: ask(daemon.callers, "/safe/x").status and server.turned_away)
    seconds = rest_of(daemon, server)
    assert seconds is not None and 3500 < seconds <= 3600
    assert "servers_resting 1" in metrics(daemon)
    server.restart()
    arrived = len(server.arrived)
    wait_for(
        "it is asked again", lambda: ask(daemon.callers, "/safe/x").status and len(server.arrived) > arrived
    )
    assert rest_of(daemon, server) is None


def rest_of(daemon: Daemon, server: Replica) -> float | None:
    """Return for how long a daemon says that it gives a server nothing."""
    rest: float | None = belief_of(daemon, server).get("rest_seconds")
    return rest


def metrics(daemon: Daemon) -> str:
    time.sleep(1.1)  # gauges are set each second
    return exchange(daemon.metrics, b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").decode()


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
@pytest.mark.parametrize("store", ["well", "away"])
def test_a_server_that_says_in_answers_that_it_leaves_gets_nothing_more(
    site: UsersSite, path: str, store: str
) -> None:
    daemon = started(site)[0]
    leaving = site.of(PLAIN)[0] if path != "/stream/x" else used_stage(site, daemon, 0)
    if store == "away":
        site.store.faults.set("busy")
    leaving.says_leaving = True
    said = time.monotonic()
    wait_for("it has said so", lambda: ask(daemon.callers, path).status and asked_since(leaving, said))
    # Its row is written anew, as with each heartbeat, and says that it is ready.
    leaving.register()
    told = time.monotonic()
    answers = ask_all_the_time([daemon], path, DRAIN_SECONDS + 1.0)[0]
    assert [at for _, at in leaving.arrived if at > told + DRAIN_SECONDS] == []
    assert served_part(answers) >= SERVED_PART


def asked_since(server: Replica, at: float) -> bool:
    return any(arrived > at for _, arrived in server.arrived)


def test_others_are_told_of_a_server_that_says_it_leaves(site: UsersSite) -> None:
    daemons = started(site, 2)
    wait_for("daemons hear each other", lambda: all(hears(daemon) for daemon in daemons))
    leaving = used_stage(site, daemons[0], 0)
    leaving.says_leaving = True
    said = time.monotonic()
    wait_for(
        "it has said so", lambda: ask(daemons[0].callers, "/stream/x").status and asked_since(leaving, said)
    )
    wait_for("both know", lambda: all(state_of(daemon, leaving) == "leaving" for daemon in daemons))


def belief_of(daemon: Daemon, server: Replica) -> Any:
    return next(belief for belief in daemon.beliefs()["servers"] if belief["backend"] == server.id)


def state_of(daemon: Daemon, server: Replica) -> str:
    state: str = belief_of(daemon, server)["state"]
    return state


def hears(daemon: Daemon) -> bool:
    return bool(daemon.beliefs()["members"])
