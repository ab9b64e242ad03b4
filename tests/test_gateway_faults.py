"""Failures around a gateway: an unreachable store, dead stages, settings changes and planned shutdowns."""

import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from standins.users import EVENTS, KEY, MODEL, PLAIN, Daemon, UsersSite, false_if_unreachable
from standins.world import wait_for
from tests.gateway_callers import Answer, ask, read_answer, request_bytes

EXPIRY_OUTAGE_SECONDS = 2.0
"""Length of an outage of the store in which entries may expire: more than 1.5 heartbeats of servers."""


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=6) as made:
        yield made


def succeeds(daemon: Daemon, path: str = "/stream/x", **headers: str) -> bool:
    return ask(daemon.callers, path, **headers).whole and ask(daemon.callers, path, **headers).status == 200


def start_stream(daemon: Daemon) -> tuple[list[Answer], threading.Thread]:
    answers: list[Answer] = []
    thread = threading.Thread(target=lambda: answers.append(ask(daemon.callers, "/stream/x")))
    thread.start()
    return answers, thread


def test_a_dead_stage_is_replaced_while_its_stream_runs(site: UsersSite) -> None:
    daemon = site.start()
    site.wait_placed()
    wait_for("streams are served", lambda: succeeds(daemon))
    known = {request for replica in site.of(MODEL) for request in replica.paths}
    answers, thread = start_stream(daemon)
    head = wait_for(
        "the stream runs", lambda: next((r for r in site.of(MODEL) if r.paths.keys() - known), None)
    )
    request = next(iter(head.paths.keys() - known))
    last = head.paths[request][-1][0]
    victim = next(r for r in site.of(MODEL) if r.address == last)
    assert victim is not head
    victim.die()
    thread.join(10)
    assert answers[0].events == list(range(1, EVENTS + 1))
    assert answers[0].whole
    assert sum(r.ran[request] for r in site.of(MODEL)) == 1
    assert daemon.lines("rerouted")[-1]["moved"]
    assert site.wrong_paths == []


def test_a_dead_first_stage_does_not_end_the_response(site: UsersSite) -> None:
    daemon = site.start()
    site.wait_placed()
    wait_for("streams are served", lambda: succeeds(daemon))
    ask(daemon.callers, "/stream/x")
    head = max(site.of(MODEL), key=lambda r: sum(r.ran.values()))
    answers, thread = start_stream(daemon)
    time.sleep(0.12)
    head.die()
    thread.join(10)
    assert answers[0].events == list(range(1, EVENTS + 1))
    assert answers[0].whole


def test_layers_of_lost_servers_are_placed_on_others(site: UsersSite) -> None:
    daemon = site.start()
    site.wait_placed()
    wait_for("streams are served", lambda: succeeds(daemon))
    victim = site.of(MODEL)[0]
    replicas_of_range = [r for r in site.of(MODEL) if r.held == victim.held]
    for replica in replicas_of_range:
        replica.die()
        site.replicas.remove(replica)
        site.store.drop("servers", replica.id)
    wait_for("the layers are placed again", site._placed)
    wait_for("streams are served again", lambda: succeeds(daemon))
    assert site.wrong_paths == []


def test_only_one_daemon_gives_placement_orders(site: UsersSite) -> None:
    daemons = [site.start() for _ in range(3)]
    site.wait_placed()
    for daemon in daemons:
        wait_for("streams are served", lambda daemon=daemon: succeeds(daemon))
    placers = [daemon for daemon in daemons if daemon.lines("order given")]
    assert len(placers) == 1
    refused = [line for line in placers[0].lines("order given") if line["outcome"] == "refused"]
    assert refused == []


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_serving_continues_without_the_store_until_keys_are_too_old(site: UsersSite, fault: str) -> None:
    daemon = site.start(key_trust_ms=4000)
    wait_for("calls are served", lambda: succeeds(daemon, "/once/x"))
    site.store.faults.set(fault)
    assert succeeds(daemon, "/once/x")
    wait_for("keys are no longer trusted", lambda: ask(daemon.callers, "/once/x").status == 503)
    refused = ask(daemon.callers, "/once/x")
    assert site.runs(refused.request) == 0
    assert "retry-after" in refused.headers
    assert ask(daemon.callers, "/open/x", X_Key="").status == 200
    assert not daemon.is_ready()
    site.store.faults.clear()
    wait_for("keyed calls are served again", lambda: succeeds(daemon, "/once/x"))


def test_requests_with_a_revoked_key_are_rejected(site: UsersSite) -> None:
    daemon = site.start()
    wait_for("calls are served", lambda: succeeds(daemon, "/once/x"))
    site.configure(keys=("another",))
    wait_for("the key is refused", lambda: ask(daemon.callers, "/once/x").status == 401, 2.0)
    assert ask(daemon.callers, "/once/x", X_Key="another").status == 200


def test_an_older_configuration_is_never_applied(site: UsersSite) -> None:
    daemon = site.start()
    site.configure(keys=("another",), version=50)
    wait_for("the new key is known", lambda: ask(daemon.callers, "/once/x", X_Key="another").status == 200)
    site.configure(keys=(KEY,), version=49)
    wait_for("the older version was seen", lambda: daemon.lines("older settings ignored"))
    assert ask(daemon.callers, "/once/x").status == 401


def test_a_table_without_history_is_read_in_full(site: UsersSite) -> None:
    daemon = site.start()
    site.store.faults.set("forgotten", 2)
    wait_for("the history is found missing", lambda: daemon.lines("history gone"))
    site.configure(keys=("another",))
    wait_for("the change is known", lambda: ask(daemon.callers, "/once/x", X_Key="another").status == 200)


def test_a_lost_lease_response_does_not_stop_placement(site: UsersSite) -> None:
    site.store.faults.set("lost", 1)
    daemon = site.start()
    wait_for("streams are served", lambda: succeeds(daemon))


def test_a_leaving_server_gets_no_new_requests(site: UsersSite) -> None:
    daemon = site.start()
    wait_for("calls are served", lambda: succeeds(daemon, "/once/x"))
    leaving, staying = site.of(PLAIN)
    leaving.state = "draining"
    leaving.register()
    wait_for("the leaving server is known", lambda: daemon.lines("server leaving"), 2.0)
    before = sum(leaving.ran.values())
    answers = [ask(daemon.callers, "/once/x") for _ in range(8)]
    assert {answer.status for answer in answers} == {200}
    assert sum(leaving.ran.values()) == before
    assert sum(staying.ran[answer.request] for answer in answers) == 8


def test_entries_that_lapse_in_a_store_outage_may_return(site: UsersSite) -> None:
    daemon = site.start()
    wait_for("calls are served", lambda: succeeds(daemon, "/once/x"))
    site.store.faults.set("busy")
    wait_for("the store is found unreachable", lambda: daemon.lines("store lost"))
    time.sleep(EXPIRY_OUTAGE_SECONDS)
    gone, lapsed = site.of(PLAIN)
    for replica in (gone, lapsed):
        site.store.drop("servers", replica.id)
    site.store.faults.clear()
    wait_for("the entries lapsed", lambda: len(daemon.lines("server lapsed")) == 2)
    assert ask(daemon.callers, "/once/x").status == 200
    lapsed.register()
    wait_for("the entry that stays away is removed", lambda: daemon.lines("server gone"))
    assert [line["peer"] for line in daemon.lines("server gone")] == [gone.id]
    assert ask(daemon.callers, "/once/x").status == 200


def test_a_planned_shutdown_aborts_no_request(site: UsersSite) -> None:
    daemon = site.start()
    wait_for("streams are served", lambda: succeeds(daemon))
    host, _, port = daemon.callers.rpartition(":")
    kept = socket.create_connection((host, int(port)), timeout=5)
    kept.sendall(request_bytes("/once/x", "kept-before", "POST", b"body"))
    assert b"200" in kept.recv(65536)
    answers, thread = start_stream(daemon)
    time.sleep(0.05)
    daemon.signal(signal.SIGTERM)
    wait_for("the daemon is not ready", lambda: not false_if_unreachable(daemon.is_ready), 1.0)
    kept.sendall(request_bytes("/once/x", "kept-after", "POST", b"body"))
    late = read_answer("kept-after", kept.recv(65536))
    assert (late.status, late.headers["connection"]) == (200, "close")
    thread.join(10)
    assert answers[0].whole
    # Later requests that might not finish in time are refused without being run; short ones are served.
    late_stream = {"X_Deadline_Ms": "5000"}
    wait_for("streams are refused", lambda: ask(daemon.callers, "/stream/x", **late_stream).status == 503)
    assert ask(daemon.callers, "/once/x").status == 200
    refused = daemon.lines("request failed")[-1]
    assert "stopping" in refused["error"]
    assert site.runs(refused["request"]) == 0
    assert daemon.popen.wait(10) == 0
    assert daemon.lines("stopped")[0]["cut"] == []


def test_an_exhausted_retry_budget_is_logged(site: UsersSite) -> None:
    daemon = site.start(retry_floor=0, retry_fraction=0.0)
    wait_for("streams are served", lambda: succeeds(daemon))
    for replica in site.of(MODEL):
        replica.faults.set("reset")
    cut = ask(daemon.callers, "/stream/x")
    assert not cut.whole
    assert sum(r.ran[cut.request] for r in site.of(MODEL)) == 1
    assert cut.request in [line["request"] for line in daemon.lines("retry budget spent")]


@pytest.mark.parametrize("retries", [0, 4])
def test_a_slow_answer_is_delivered_if_no_retry_is_left(site: UsersSite, retries: int) -> None:
    """A call left a slow server before it was known whether it could be sent to another one."""
    daemon = site.start(retry_floor=retries, retry_fraction=0.0)
    wait_for("calls are served", lambda: succeeds(daemon, "/open/x"))
    wait_for("it has its part of the retries", daemon.has_retry_part)
    for replica in site.of(PLAIN):
        replica.faults.set("slow")
    answers: list[Answer] = []
    threads = [
        threading.Thread(target=lambda: answers.append(ask(daemon.callers, "/open/x"))) for _ in range(8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert [answer.status for answer in answers] == [200] * len(threads)
    repeated = sum(site.runs(answer.request) for answer in answers) - len(threads)
    assert min(1, retries) <= repeated <= retries


def test_a_disconnecting_caller_is_noticed(site: UsersSite) -> None:
    daemon = site.start()
    wait_for("streams are served", lambda: succeeds(daemon))
    host, _, port = daemon.callers.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as caller:
        caller.sendall(request_bytes("/stream/x", "leaver"))
        assert caller.recv(65536)
    wait_for("the disconnect is noticed", lambda: daemon.lines("caller left"), 1.0)


def test_settings_are_reloaded_on_a_signal_and_on_file_changes(site: UsersSite) -> None:
    daemon = site.start()
    daemon.settings["key_trust_ms"] = 9000
    daemon.write()
    wait_for("the change was noticed", lambda: daemon.lines("reloaded"))
    daemon.signal(signal.SIGHUP)
    wait_for("the signal was noticed", lambda: len(daemon.lines("reloaded")) == 2)
    daemon.file.write_text("member: [", encoding="utf-8")
    wait_for("an invalid file is refused", lambda: daemon.lines("reload refused"))
    assert ask(daemon.callers, "/open/x", X_Key="").status == 200


def test_a_daemon_that_is_told_to_reload_while_it_starts_does_not_end(site: UsersSite) -> None:
    daemon = Daemon(site, "d0", "hall-0", {})
    site.daemons.append(daemon)
    libraries = Path(f"/proc/{daemon.popen.pid}/maps")
    wait_for("it imports libraries", lambda: "greenlet" in libraries.read_text(encoding="utf-8"))
    daemon.signal(signal.SIGHUP)
    daemon.wait_ready()


def test_metrics_are_exposed_in_the_prometheus_format(site: UsersSite) -> None:
    daemon = site.start()
    wait_for("calls are served", lambda: succeeds(daemon, "/once/x"))
    text = ask(daemon.metrics, "/metrics").body.decode()
    assert "bayglade_requests_total " in text
    assert 'bayglade_request_seconds_bucket{le="+Inf"} ' in text


def bayglade(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "bayglade", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


def test_commands_validate_settings_and_show_a_daemons_view(site: UsersSite) -> None:
    daemon = site.start()
    wait_for("streams are served", lambda: succeeds(daemon))
    shown = bayglade("beliefs", daemon.metrics)
    assert shown.returncode == 0
    assert "d0 ready" in shown.stdout
    assert " in hall-0, " in shown.stdout
    checked = bayglade("gateway", "check", str(daemon.file))
    assert (checked.returncode, "member" in checked.stdout) == (0, True)
    daemon.file.write_text('{"member": "d0", "hall": 3}', encoding="utf-8")
    refused = bayglade("gateway", "check", str(daemon.file))
    assert refused.returncode == 1
    assert "hall" in refused.stderr
    assert bayglade("beliefs", "127.0.0.1:1").returncode == 1


def test_daemons_list_the_members_that_they_hear(site: UsersSite) -> None:
    first, second = site.start(), site.start()
    wait_for("the daemons hear each other", lambda: all(len(members(d)) == 1 for d in (first, second)))
    assert members(first) == ["d1"]
    first.stop()
    wait_for("the stopped daemon is no longer listed", lambda: members(second) == [])


def members(daemon: Daemon) -> list[str]:
    found: list[str] = daemon.beliefs()["members"]
    return found


def test_all_capacity_is_released_however_a_request_ends(site: UsersSite) -> None:
    daemon = site.start()
    site.wait_placed()
    wait_for("streams are served", lambda: succeeds(daemon))
    heads = [replica for replica in site.of(MODEL) if replica.held[0] == 0]
    for fault in ("refuse", "partial", "reset", "error"):
        for head in heads:
            head.faults.left[fault] = 1
        ask(daemon.callers, "/stream/x")
    # The first stages that a request tries are chosen at random, so some faults may be left.
    for head in heads:
        head.faults.clear()
    # A caller disconnects while its stream runs.
    with socket.create_connection(parse(daemon.callers)) as caller:
        caller.sendall(request_bytes("/stream/x", "one-that-leaves"))
        caller.recv(64)
    known = {request for replica in site.of(MODEL) for request in replica.paths}
    answers, thread = start_stream(daemon)
    head = wait_for("a stream runs", lambda: next((r for r in heads if r.paths.keys() - known), None))
    last = head.paths[next(iter(head.paths.keys() - known))][-1][0]
    next(r for r in site.of(MODEL) if r.address == last).die()
    thread.join(10)
    assert answers[0].whole
    assert daemon.lines("rerouted")[-1]["moved"]

    def all_released() -> bool:
        return all(server["in_flight"] == 0 and server["cached"] == 0 for server in server_beliefs(daemon))

    wait_for("all capacity is released", all_released)


def server_beliefs(daemon: Daemon) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = daemon.beliefs()["servers"]
    return found


def parse(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
