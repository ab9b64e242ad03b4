"""Step definitions of the scenarios about settings, trust in old settings and planned shutdowns."""

import signal
import threading
import time
from typing import Any

from pytest_bdd import given, parsers, then, when

from bayglade.exceptions import BaygladeError
from bayglade.operators.client import AdminClient
from standins.world import HOST, OPERATOR_KEY, Process, free_port, wait_for
from tests import callers
from tests.steps import Scenario


class ChangeAttempt:
    """An operator's change of the settings, and its result."""

    def __init__(self) -> None:
        self.answer: Any = None
        self.error: BaygladeError | None = None


def change_share(
    scenario: Scenario, name: str, group: str, share: float, key: str = OPERATOR_KEY
) -> ChangeAttempt:
    """Change the share of a group through a daemon, based on the settings in force there."""
    attempt = ChangeAttempt()
    remote = AdminClient(scenario.process(name).address, key)
    try:
        found = remote.settings()
        after = {"root": {"groups": {group: {"share": share}}}}
        attempt.answer = remote.change(found.revision, {}, after, "")
    except BaygladeError as error:
        attempt.error = error
    scenario.attempts.append(attempt)
    return attempt


def shares(scenario: Scenario, daemon: Process) -> tuple[int, dict[str, float]]:
    found = AdminClient(daemon.address, OPERATOR_KEY).settings()
    groups = found.document["root"]["groups"]
    return found.revision, {name: group.get("share", 1.0) for name, group in groups.items()}


@given(parsers.parse("daemons {names} that trust old settings for {seconds:g} seconds"))
def given_trusting(scenario: Scenario, names: str, seconds: float) -> None:
    for name in names.split(", "):
        scenario.daemons.append(scenario.world.start_daemon(name, blind_limit=seconds))
    scenario.world.wait_ready(*scenario.daemons)


@when(parsers.parse('{count:d} operators change the share of "{group}" at once through {names}'))
def when_race(scenario: Scenario, count: int, group: str, names: str) -> None:
    daemons = names.split(", ")
    before = [AdminClient(scenario.process(name).address, OPERATOR_KEY) for name in daemons]
    base = before[0].settings().revision

    def race(number: int) -> None:
        attempt = ChangeAttempt()
        remote = AdminClient(scenario.process(daemons[number % len(daemons)]).address, OPERATOR_KEY)
        after = {"root": {"groups": {group: {"share": 10.0 + number}}}}
        try:
            attempt.answer = remote.change(base, {}, after, str(number))
            scenario.expected_shares[group] = 10.0 + number
        except BaygladeError as error:
            attempt.error = error
        scenario.attempts.append(attempt)

    _run_concurrently(race, count)


@when(parsers.parse("{count:d} operators change a group of their own until accepted through {names}"))
def when_race_until(scenario: Scenario, count: int, names: str) -> None:
    daemons = names.split(", ")

    def race(number: int) -> None:
        for _ in range(200):
            name = daemons[number % len(daemons)]
            attempt = change_share(scenario, name, f"new-{number}", 1.0 + number)
            if attempt.error is None:
                scenario.expected_shares[f"new-{number}"] = 1.0 + number
                return
            assert attempt.error.code == "settings_conflict", attempt.error

    _run_concurrently(race, count)
    assert len(scenario.expected_shares) == count


def _run_concurrently(work: Any, count: int) -> None:
    threads = [threading.Thread(target=work, args=(number,)) for number in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)


@when(parsers.parse('an operator sets the share of "{group}" to {share:g} through {name}'))
def when_sets(scenario: Scenario, group: str, share: float, name: str) -> None:
    if change_share(scenario, name, group, share).error is None:
        scenario.expected_shares[group] = share


@when(parsers.parse('the operator of "{own}" sets the share of "{group}" through {name}'))
def when_outsider_sets(scenario: Scenario, own: str, group: str, name: str) -> None:
    change_share(scenario, name, group, 9.0, f"{own}-operator-key")


@then(parsers.parse('the operator of "{own}" sees nothing of "{group}" through {name}'))
def then_sees_nothing(scenario: Scenario, own: str, group: str, name: str) -> None:
    address = scenario.process(name).address
    for page in ("settings", "audit", "groups"):
        _, body = callers.call(address, f"/admin/v1/{page}", b"", f"{own}-operator-key", "GET")
        assert group not in str(body), (page, body)


@when("the platform's table is out")
def when_table_out(scenario: Scenario) -> None:
    scenario.world.post(scenario.world.platform, "/standin/faults", {"table_out": True})


@when("the platform keeps a copy of its table")
def when_saved(scenario: Scenario) -> None:
    scenario.world.post(scenario.world.platform, "/standin/save", None)


@when("the platform restores its table")
def when_restored(scenario: Scenario) -> None:
    scenario.world.post(scenario.world.platform, "/standin/restore", None)


@when(parsers.parse("daemon {name} starts"))
def when_daemon_starts(scenario: Scenario, name: str) -> None:
    scenario.daemons.append(scenario.world.start_daemon(name))


@when(parsers.parse("{seconds:d} seconds pass"))
def when_time_passes(seconds: int) -> None:
    # The step ages what a daemon knows, so there is no other condition to wait for.
    time.sleep(seconds)


@then(parsers.parse("daemon {name} is ready"))
def then_ready(scenario: Scenario, name: str) -> None:
    wait_for(f"{name} is ready", lambda: _readiness(scenario, name) == 200)


@then(parsers.parse("daemon {name} is not ready"))
def then_not_ready(scenario: Scenario, name: str) -> None:
    wait_for(f"{name} is not ready", lambda: _readiness(scenario, name) == 503)


def _readiness(scenario: Scenario, name: str) -> int:
    try:
        return callers.call(scenario.process(name).address, "/readyz", b"", "", "GET")[0]
    except callers.urllib3.exceptions.HTTPError:
        return 0


@then(parsers.parse("exactly {count:d} change was accepted and the others were told of the conflict"))
def then_accepted(scenario: Scenario, count: int) -> None:
    accepted = [attempt for attempt in scenario.attempts if attempt.error is None]
    refused = {attempt.error.code for attempt in scenario.attempts if attempt.error is not None}
    assert len(accepted) == count, [attempt.error for attempt in scenario.attempts]
    assert refused == {"settings_conflict"}


@then("the change was accepted")
def then_last_accepted(scenario: Scenario) -> None:
    assert scenario.attempts[-1].error is None, scenario.attempts[-1].error


@then(parsers.parse("the change was accepted but is not yet in force on {name}"))
def then_not_yet(scenario: Scenario, name: str) -> None:
    attempt = scenario.attempts[-1]
    assert attempt.error is None and attempt.answer.not_yet == [name], attempt.answer


@then(parsers.parse("the change was refused as {code}"))
def then_refused(scenario: Scenario, code: str) -> None:
    error = scenario.attempts[-1].error
    assert error is not None and error.code == code, error


@then("all daemons have the settings of the accepted changes")
def then_in_force(scenario: Scenario) -> None:
    def agreed() -> bool:
        found = [shares(scenario, daemon) for daemon in scenario.daemons]
        return len({revision for revision, _ in found}) == 1 and all(
            scenario.expected_shares.items() <= groups.items() for _, groups in found
        )

    wait_for("all daemons agree", agreed)


@then("the audit trail names each accepted change once")
def then_audited(scenario: Scenario) -> None:
    entries = AdminClient(scenario.daemons[0].address, OPERATOR_KEY).audit(100)
    accepted = [attempt.answer.revision for attempt in scenario.attempts if attempt.error is None]
    assert [entry.revision for entry in entries if entry.operator == "root"] == accepted[::-1]
    assert len({entry.change for entry in entries}) == len(entries)


@when("the records begin anew")
def when_records_restart(scenario: Scenario) -> None:
    scenario.record_lengths = {engine.name: _steps(scenario, engine) for engine in scenario.engines}


@then(parsers.parse("engine {name} ran nothing since"))
def then_nothing_since(scenario: Scenario, name: str) -> None:
    assert _steps(scenario, scenario.process(name)) == scenario.record_lengths[name]


def _steps(scenario: Scenario, engine: Process) -> int:
    return len(scenario.world.record(engine.name))


@given("a balancer before all daemons")
def given_balancer(scenario: Scenario) -> None:
    address = f"{HOST}:{free_port()}"
    daemons = [daemon.address for daemon in scenario.daemons]
    arguments = ["-m", "standins.balancer", "--listen", address, *daemons]
    scenario.world.start("balancer", arguments, address, "/readyz")
    scenario.world.wait_up()


@when("callers keep asking through the balancer")
def when_callers_ask(scenario: Scenario) -> None:
    scenario.stop_callers = threading.Event()
    address = scenario.process("balancer").address

    def send_requests(number: int) -> None:
        while not scenario.stop_callers.is_set():
            scenario.streams.append(callers.stream(address, 10, f"prompt {number}").wait())

    scenario.caller_threads = [
        threading.Thread(target=send_requests, args=(n,), daemon=True) for n in range(8)
    ]
    for thread in scenario.caller_threads:
        thread.start()


@when("each daemon in turn is told to stop and started again")
def when_rolling(scenario: Scenario) -> None:
    for place, daemon in enumerate(scenario.daemons):
        seen = len(scenario.streams)
        daemon.signal(signal.SIGTERM)
        wait_for(f"{daemon.name} ends", lambda d=daemon: d.popen.poll() is not None)
        assert daemon.popen.returncode == 0
        scenario.daemons[place] = scenario.world.start_daemon(daemon.name, callers=daemon.address)
        scenario.world.wait_ready(*scenario.daemons)
        wait_for("callers were served during the restart", lambda n=seen: len(scenario.streams) > n + 20)


@when("the callers have stopped")
def when_callers_stopped(scenario: Scenario) -> None:
    scenario.stop_callers.set()
    for thread in scenario.caller_threads:
        thread.join(60)


@then("no caller saw a failure")
def then_no_failure(scenario: Scenario) -> None:
    failed = [s for s in scenario.streams if not s.complete or not s.is_correct()]
    assert not failed, (len(failed), len(scenario.streams), failed[0].error, failed[0].connection_lost)


@when(parsers.parse('an operator is setting the share of "{group}" to {share:g} through {name}'))
def when_setting(scenario: Scenario, group: str, share: float, name: str) -> None:
    work = threading.Thread(target=change_share, args=(scenario, name, group, share), daemon=True)
    work.start()


@when(parsers.parse("the platform holds revision {revision:d}"))
def when_platform_holds(scenario: Scenario, revision: int) -> None:
    def held() -> bool:
        body = b'{"keys":["settings/head"]}'
        url = f"http://{scenario.world.platform}/v1/table/read"
        rows = callers.HTTP.request("POST", url, body=body).json()["rows"]
        return bool(rows["settings/head"]["value"]["revision"] == revision)

    wait_for(f"revision {revision} is in the table", held)


@then(parsers.parse('the other daemons come to have share {share:g} of "{group}"'))
def then_others_have(scenario: Scenario, share: float, group: str) -> None:
    others = [daemon for daemon in scenario.daemons if daemon.popen.poll() is None]
    assert len(others) == len(scenario.daemons) - 1
    for daemon in others:
        wait_for(
            f"{daemon.name} has share {share}", lambda d=daemon: shares(scenario, d)[1].get(group) == share
        )


@when(parsers.parse("the platform takes {seconds:g} seconds to answer"))
def when_platform_slow(scenario: Scenario, seconds: float) -> None:
    scenario.world.post(scenario.world.platform, "/standin/faults", {"delay": seconds})
