"""A gateway with backend servers that restart under their id, and with invalid entries in the store."""

import threading
import time
from collections.abc import Iterator

import pytest

from standins.users import EVENTS, MODEL, PLAIN, Daemon, Replica, UsersSite
from standins.world import wait_for
from tests.gateway_callers import Answer, ask


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=6) as made:
        yield made


def is_served(daemon: Daemon, path: str = "/stream/x") -> bool:
    answer = ask(daemon.callers, path)
    return answer.whole and answer.status == 200


def start_daemon(site: UsersSite) -> Daemon:
    daemon = site.start()
    site.wait_placed()
    wait_for("streams are served", lambda: is_served(daemon))
    return daemon


def gets_request(daemon: Daemon, replica: Replica, path: str = "/safe/x") -> bool:
    before = sum(replica.ran.values())
    ask(daemon.callers, path)
    return sum(replica.ran.values()) > before


def test_a_plain_server_that_left_and_restarts_gets_calls(site: UsersSite) -> None:
    daemon = start_daemon(site)
    plain = site.of(PLAIN)[0]
    plain.leave()
    wait_for("the daemon knows that it is leaving", lambda: daemon.lines("server leaving"))
    plain.restart()
    wait_for("it gets calls", lambda: gets_request(daemon, plain))


def test_a_stage_that_left_and_restarts_gets_layers(site: UsersSite) -> None:
    daemon = start_daemon(site)
    stage = site.of(MODEL)[0]
    stage.leave()
    wait_for("the daemon knows that it is leaving", lambda: daemon.lines("server leaving"))
    stage.restart()
    wait_for("it holds layers", lambda: stage.held != (0, 0))
    assert is_served(daemon)
    assert site.wrong_paths == []


@pytest.mark.parametrize("times", [1, 2])
def test_streams_continue_when_stages_restart(site: UsersSite, times: int) -> None:
    daemon = start_daemon(site)
    answers: list[Answer] = []
    tasks = [
        threading.Thread(target=lambda: answers.append(ask(daemon.callers, "/stream/x"))) for _ in range(3)
    ]
    for task in tasks:
        task.start()
    time.sleep(0.08)
    stage = max(site.of(MODEL), key=lambda r: sum(r.ran.values()))
    for _ in range(times):
        stage.restart()
    for task in tasks:
        task.join(10)
    assert [answer.events for answer in answers] == [list(range(1, EVENTS + 1))] * 3
    assert site.wrong_paths == []


def test_a_stage_that_restarts_during_a_store_outage_gets_no_requests(site: UsersSite) -> None:
    daemon = start_daemon(site)
    site.store.faults.set("busy")
    stage = max(site.of(MODEL), key=lambda r: sum(r.ran.values()))
    stage.restart()
    assert all(is_served(daemon) for _ in range(5))
    site.store.faults.clear()
    wait_for("it holds layers again", lambda: stage.held != (0, 0))
    assert all(is_served(daemon) for _ in range(3))
    assert site.wrong_paths == []


def test_an_outdated_row_that_arrives_late_is_ignored(site: UsersSite) -> None:
    daemon = start_daemon(site)
    plain, other = site.of(PLAIN)
    old = {**plain.row(), "state": "draining"}
    plain.restart()
    wait_for("it gets calls", lambda: gets_request(daemon, plain))
    site.store.put("servers", plain.id, old)
    wait_for("the old row was read", lambda: daemon.lines("older entry ignored"))
    other.leave()
    wait_for("the daemon knows that the other one is leaving", lambda: daemon.lines("server leaving"))
    assert is_served(daemon, "/safe/x")


def test_calls_that_may_run_only_once_do_so_while_servers_restart(site: UsersSite) -> None:
    daemon = start_daemon(site)
    answers: list[Answer] = []
    for number in range(12):
        site.of(PLAIN)[number % 2].faults.set("mute", 1)
        task = threading.Thread(target=lambda: answers.append(ask(daemon.callers, "/once/x")))
        task.start()
        time.sleep(0.05)
        site.of(PLAIN)[number % 2].restart()
        task.join(10)
    assert len(answers) == 12
    for answer in answers:
        assert site.runs(answer.request) <= 1
        assert site.runs(answer.request) == 0 or answer.status not in (408, 421, 429, 503)


@pytest.mark.parametrize(
    "invalid", [b"\xff", b"{}", b'{"service":1}', b""], ids=["bytes", "no fields", "wrong type", "empty"]
)
def test_an_invalid_entry_affects_no_other_server(site: UsersSite, invalid: bytes) -> None:
    daemon = start_daemon(site)
    plain, other = site.of(PLAIN)
    site.store.put_bytes("servers", plain.id, invalid)
    site.store.put_bytes("servers", "i-of-nobody", invalid)
    wait_for("the entry was read", lambda: daemon.lines("entry is not the server's own"))
    before = sum(plain.ran.values())
    assert all(is_served(daemon, "/safe/x") for _ in range(6))
    assert sum(plain.ran.values()) == before
    assert sum(other.ran.values()) >= 6
    plain.register()
    wait_for("it gets calls", lambda: gets_request(daemon, plain))


def test_a_flood_of_invalid_entries_blocks_nothing(site: UsersSite) -> None:
    daemon = start_daemon(site)
    for number in range(3000):
        site.store.put_bytes("servers", f"i-invalid-{number}", b"\xff%d" % number)
    site.of(PLAIN)[0].leave()
    wait_for("the daemon knows of a leaving server", lambda: daemon.lines("server leaving"))
    assert is_served(daemon)
    # The log lines about the flood are limited, so that others are not lost among them.
    assert len(daemon.lines("entry is not the server's own")) < 100


def test_an_invalid_document_is_ignored(site: UsersSite) -> None:
    daemon = start_daemon(site)
    site.store.put_bytes("op", "config", b"\xff")
    wait_for("the document was read", lambda: daemon.lines("settings refused"))
    assert is_served(daemon)
    site.configure()
    wait_for(
        "the next document is in force",
        lambda: daemon.lines("settings in force")[-1]["version"] == site.version,
    )


def test_a_value_that_is_not_base64_does_not_stop_the_feed(
    site: UsersSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    daemon = start_daemon(site)
    row_of = site.store._row

    def broken(key: tuple[str, str]) -> dict[str, object]:
        row = row_of(key)
        return {**row, "value": "!"} if key[1] == "i-odd" else row

    monkeypatch.setattr(site.store, "_row", broken)
    site.store.put("servers", "i-odd", {})
    wait_for("the entry was read", lambda: daemon.lines("entry is not the server's own"))
    site.of(PLAIN)[0].leave()
    wait_for("the daemon knows of a leaving server", lambda: daemon.lines("server leaving"))
