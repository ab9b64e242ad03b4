"""A request that ends each server which begins to run it is stopped before it ends a fourth.

A caller sent the same question again and again, at any daemon. Each server that began to run it crashed
within 35 to 110 ms, with all other streams that it ran. Daemons counted servers for each try alone, by an
id that is new each time, so none knew that this question had ended servers before: 11 and 18 servers ended
under one question, which was sent 4 and 7 times more after the third. The log of one such try:

    attempt failed  error "backend_error step='receive' outcome=unknown: the answer was cut"
    request failed  error "backend_error step='relay' outcome=unknown: no whole answer: the answer was cut"

No daemon had a line that said that ten servers had ended under the same body before.
"""

import itertools
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from standins.users import EVENTS, Daemon, UsersSite
from standins.world import wait_for
from tests.gateway_callers import Answer, ask

DEADLY, HARMLESS = b"the question that ends servers", b"a question"
MOST_ENDS = 3
"""Servers that may end under one request before it is stopped."""
TRIES = 8


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=2, stages=4) as made:
        made.deadly = {DEADLY}
        yield made


def send(daemon: Daemon, body: bytes, path: str = "/stream/x") -> Answer:
    return ask(daemon.callers, path, "POST", body)


def stopped(answer: Answer) -> bool:
    return answer.status == 503 and b"request_stopped" in answer.body


def served(daemon: Daemon, path: str = "/stream/x", body: bytes = HARMLESS) -> bool:
    answer = send(daemon, body, path)
    return answer.whole and answer.status == 200


def started(site: UsersSite, count: int = 1, **settings: Any) -> list[Daemon]:
    daemons = [site.start(f"hall-{n % 2}", retry_floor=100.0, **settings) for n in range(count)]
    site.wait_placed()
    for daemon in daemons:
        wait_for("streams are served", lambda daemon=daemon: served(daemon))
        wait_for("calls are served", lambda daemon=daemon: served(daemon, "/safe/x"))
    wait_for("daemons hear each other", lambda: all(hears(daemon) == count for daemon in daemons))
    return daemons


def hears(daemon: Daemon) -> int:
    return 1 + len(daemon.beliefs()["members"])


def all_back(site: UsersSite) -> None:
    wait_for("the servers are back", lambda: not any(replica.down for replica in site.replicas))


def ask_again_and_again(site: UsersSite, daemons: list[Daemon], path: str) -> list[Answer]:
    """Ask the deadly question at one daemon after the other, each time once all servers are back."""
    answers = []
    for daemon in itertools.islice(itertools.cycle(daemons), TRIES):
        answers.append(send(daemon, DEADLY, path))
        all_back(site)
        wait_for("the others are served", lambda daemon=daemon: served(daemon, path))
    return answers


@pytest.mark.parametrize("path", ["/stream/x", "/safe/x", "/once/x"])
@pytest.mark.parametrize("count", [1, 3])
def test_no_fourth_server_ends(site: UsersSite, path: str, count: int) -> None:
    daemons = started(site, count)
    answers = ask_again_and_again(site, daemons, path)
    assert len(site.crashes) <= MOST_ENDS
    assert all(stopped(answer) for answer in answers[-2:])
    assert "retry-after" in answers[-1].headers
    assert site.runs(answers[-1].request) == 0


def test_a_later_stage_that_ends_counts(site: UsersSite) -> None:
    site.deadly_stage = -1
    daemons = started(site, 2)
    answers = ask_again_and_again(site, daemons, "/stream/x")
    assert len(site.crashes) <= MOST_ENDS
    assert stopped(answers[-1])


def test_daemons_that_all_end_still_know(site: UsersSite) -> None:
    daemons = started(site, 2)
    ask_again_and_again(site, daemons, "/stream/x")
    ended = len(site.crashes)
    for daemon in daemons:
        daemon.signal(signal.SIGKILL)
    again = started(site, 2)
    assert all(stopped(send(daemon, DEADLY)) for daemon in again)
    assert len(site.crashes) == ended
    assert served(again[0])


def test_daemons_tell_each_other_while_the_store_is_away(site: UsersSite) -> None:
    # Keys stay trusted for as long as a slow machine may need: else all is refused before a server ends.
    daemons = started(site, 3, key_trust_ms=60_000)
    site.store.faults.set("busy")
    for number, daemon in enumerate(daemons):
        wait_for("a server has ended", lambda n=number, d=daemon: send(d, DEADLY) and len(site.crashes) > n)
    wait_for("all refuse it", lambda: all(stopped(send(daemon, DEADLY)) for daemon in daemons))
    assert len(site.crashes) <= MOST_ENDS
    site.store.faults.clear()


def test_streams_beside_it_are_served(site: UsersSite) -> None:
    daemons = started(site, 2)
    answers, tasks = ask_six_questions(daemons)
    send(daemons[0], DEADLY)
    for task in tasks:
        task.join(10)
    assert [answer.events for answer in answers] == [list(range(1, EVENTS + 1))] * 6
    assert site.wrong_paths == []


def test_a_request_whose_answers_break_is_not_held_back(site: UsersSite) -> None:
    (daemon,) = started(site)
    for replica in site.replicas:
        replica.faults.set("reset")
    for path in ("/stream/x", "/safe/x", "/once/x"):
        for _ in range(TRIES):
            assert not stopped(send(daemon, HARMLESS, path))
    for replica in site.replicas:
        replica.faults.clear()
    for path in ("/stream/x", "/safe/x", "/once/x"):
        wait_for(f"{path} is served", lambda path=path: served(daemon, path))
    assert daemon.lines("request stopped") == []


def test_servers_that_end_at_once_hold_no_request_back(site: UsersSite) -> None:
    daemons = started(site, 2)
    _, tasks = ask_six_questions(daemons)
    for replica in site.replicas[::2]:
        replica.crash(site.down_seconds)
    for task in tasks:
        task.join(10)
    all_back(site)
    for number in range(6):
        body = b"question %d" % number
        wait_for("it is served", lambda n=number, body=body: served(daemons[n % 2], body=body))
    assert [line for daemon in daemons for line in daemon.lines("request stopped")] == []


def test_an_operator_lets_a_request_go(site: UsersSite) -> None:
    daemons = started(site, 2)
    ask_again_and_again(site, daemons, "/safe/x")
    key = wait_for("the stop is written", lambda: stop_key(site))
    wait_for("all know its row", lambda: all(in_store(daemon) for daemon in daemons))
    site.deadly.clear()
    assert stopped(send(daemons[0], DEADLY, "/safe/x"))
    content, store = key.rpartition("/")[2], site.store.server.address
    assert bayglade("stops", "list", "--store", store).stdout.startswith(content)
    assert bayglade("stops", "lift", content, "--store", store).returncode == 0
    assert bayglade("stops", "lift", content, "--store", store).returncode == 1
    for daemon in daemons:
        wait_for("it is let go", lambda daemon=daemon: served(daemon, "/safe/x", DEADLY))


@pytest.mark.parametrize("command", [("stops", "list"), ("stops", "lift", "aa")])
def test_a_store_that_cannot_be_reached_is_told_in_one_line(command: tuple[str, ...]) -> None:
    done = bayglade(*command, "--store", "127.0.0.1:1")
    assert done.returncode == 1
    assert "the store cannot be reached" in done.stderr
    assert "Traceback" not in done.stderr


def bayglade(*words: str) -> "subprocess.CompletedProcess[str]":
    command = [sys.executable, "-m", "bayglade", *words]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


def ask_six_questions(daemons: list[Daemon]) -> tuple[list[Answer], list[threading.Thread]]:
    """Ask harmless questions beside each other, and return once their streams have begun."""
    answers: list[Answer] = []
    tasks = [
        threading.Thread(target=lambda n=n: answers.append(send(daemons[n % 2], b"question %d" % n)))
        for n in range(6)
    ]
    for task in tasks:
        task.start()
    time.sleep(0.05)
    return answers, tasks


def stop_key(site: UsersSite) -> str:
    return next((key for _, key in site.store.rows if "#stopped/" in key), "")


def in_store(daemon: Daemon) -> bool:
    return any(stop["in_store"] for stop in daemon.beliefs()["stopped"])
