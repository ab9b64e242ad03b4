"""Backend servers that start again under their id, and entries of other writers, before a whole gateway."""

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


def served(daemon: Daemon, path: str = "/stream/x") -> bool:
    answer = ask(daemon.callers, path)
    return answer.whole and answer.status == 200


def started(site: UsersSite) -> Daemon:
    daemon = site.start()
    site.wait_placed()
    wait_for("streams are served", lambda: served(daemon))
    return daemon


def used_again(daemon: Daemon, replica: Replica, path: str = "/safe/x") -> bool:
    before = sum(replica.ran.values())
    ask(daemon.callers, path)
    return sum(replica.ran.values()) > before


def test_a_plain_server_that_left_and_starts_again_gets_calls(site: UsersSite) -> None:
    daemon = started(site)
    plain = site.of(PLAIN)[0]
    plain.leave()
    wait_for("it is known to leave", lambda: daemon.lines("server leaving"))
    plain.restart()
    wait_for("it gets calls", lambda: used_again(daemon, plain))


def test_a_stage_that_left_and_starts_again_gets_layers(site: UsersSite) -> None:
    daemon = started(site)
    stage = site.of(MODEL)[0]
    stage.leave()
    wait_for("it is known to leave", lambda: daemon.lines("server leaving"))
    stage.restart()
    wait_for("it holds layers", lambda: stage.held != (0, 0))
    assert served(daemon)
    assert site.wrong_paths == []


@pytest.mark.parametrize("times", [1, 2])
def test_streams_go_on_when_stages_start_again(site: UsersSite, times: int) -> None:
    daemon = started(site)
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


def test_a_stage_that_starts_again_while_the_store_is_away_is_not_sent_to(site: UsersSite) -> None:
    daemon = started(site)
    site.store.faults.set("busy")
    stage = max(site.of(MODEL), key=lambda r: sum(r.ran.values()))
    stage.restart()
    assert all(served(daemon) for _ in range(5))
    site.store.faults.clear()
    wait_for("it holds layers again", lambda: stage.held != (0, 0))
    assert all(served(daemon) for _ in range(3))
    assert site.wrong_paths == []


def test_an_old_row_that_comes_late_changes_nothing(site: UsersSite) -> None:
    daemon = started(site)
    plain, other = site.of(PLAIN)
    old = {**plain.row(), "state": "draining"}
    plain.restart()
    wait_for("it gets calls", lambda: used_again(daemon, plain))
    site.store.put("servers", plain.id, old)
    wait_for("the old row was read", lambda: daemon.lines("older entry ignored"))
    other.leave()
    wait_for("the other is known to leave", lambda: daemon.lines("server leaving"))
    assert served(daemon, "/safe/x")


def test_calls_that_may_run_once_run_once_though_servers_start_again(site: UsersSite) -> None:
    daemon = started(site)
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
    "strange", [b"\xff", b"{}", b'{"service":1}', b""], ids=["bytes", "nothing", "number", "empty"]
)
def test_an_entry_of_another_writer_harms_no_other(site: UsersSite, strange: bytes) -> None:
    daemon = started(site)
    plain, other = site.of(PLAIN)
    site.store.put_bytes("servers", plain.id, strange)
    site.store.put_bytes("servers", "i-of-nobody", strange)
    wait_for("the entry was read", lambda: daemon.lines("entry is not the server's own"))
    before = sum(plain.ran.values())
    assert all(served(daemon, "/safe/x") for _ in range(6))
    assert sum(plain.ran.values()) == before
    assert sum(other.ran.values()) >= 6
    plain.register()
    wait_for("it gets calls", lambda: used_again(daemon, plain))


def test_a_flood_of_strange_entries_stops_nothing(site: UsersSite) -> None:
    daemon = started(site)
    for number in range(3000):
        site.store.put_bytes("servers", f"i-strange-{number}", b"\xff%d" % number)
    site.of(PLAIN)[0].leave()
    wait_for("a leaving server is known", lambda: daemon.lines("server leaving"))
    assert served(daemon)
    # The lines of the flood leave room for all others.
    assert len(daemon.lines("entry is not the server's own")) < 100


def test_a_document_of_another_writer_changes_nothing(site: UsersSite) -> None:
    daemon = started(site)
    site.store.put_bytes("op", "config", b"\xff")
    wait_for("the document was read", lambda: daemon.lines("settings refused"))
    assert served(daemon)
    site.configure()
    wait_for(
        "the next one is in force", lambda: daemon.lines("settings in force")[-1]["version"] == site.version
    )


def test_a_value_that_is_no_base64_stops_no_feed(site: UsersSite, monkeypatch: pytest.MonkeyPatch) -> None:
    daemon = started(site)
    row_of = site.store._row

    def broken(key: tuple[str, str]) -> dict[str, object]:
        row = row_of(key)
        return {**row, "value": "!"} if key[1] == "i-odd" else row

    monkeypatch.setattr(site.store, "_row", broken)
    site.store.put("servers", "i-odd", {})
    wait_for("the entry was read", lambda: daemon.lines("entry is not the server's own"))
    site.of(PLAIN)[0].leave()
    wait_for("a leaving server is known", lambda: daemon.lines("server leaving"))
