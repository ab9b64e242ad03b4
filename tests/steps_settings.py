"""The words of the scenarios about settings, trust and planned stops."""

import signal
import threading
import time
from typing import Any

from pytest_bdd import given, parsers, then, when

from bayglade.exceptions import BaygladeError
from bayglade.operators.client import Remote
from standins.world import HOST, OPERATOR_KEY, Process, free_port, wait_for
from tests import callers
from tests.steps import Stage


class Ask:
    """One operator's change and what came of it."""

    def __init__(self) -> None:
        self.answer: Any = None
        self.error: BaygladeError | None = None


def change_share(stage: Stage, name: str, group: str, share: float, key: str = OPERATOR_KEY) -> Ask:
    """Change the share of a group through a daemon, from its settings in force."""
    ask = Ask()
    remote = Remote(stage.process(name).address, key)
    try:
        found = remote.settings()
        after = {"root": {"groups": {group: {"share": share}}}}
        ask.answer = remote.change(found.revision, {}, after, "")
    except BaygladeError as error:
        ask.error = error
    stage.asks.append(ask)
    return ask


def shares(stage: Stage, daemon: Process) -> tuple[int, dict[str, float]]:
    found = Remote(daemon.address, OPERATOR_KEY).settings()
    groups = found.document["root"]["groups"]
    return found.revision, {name: group.get("share", 1.0) for name, group in groups.items()}


@given(parsers.parse("daemons {names} that trust old settings for {seconds:g} seconds"))
def given_trusting(stage: Stage, names: str, seconds: float) -> None:
    for name in names.split(", "):
        stage.daemons.append(stage.world.start_daemon(name, blind_limit=seconds))
    stage.world.wait_ready(*stage.daemons)


@when(parsers.parse('{count:d} operators change the share of "{group}" at once through {names}'))
def when_race(stage: Stage, count: int, group: str, names: str) -> None:
    daemons = names.split(", ")
    before = [Remote(stage.process(name).address, OPERATOR_KEY) for name in daemons]
    base = before[0].settings().revision

    def race(number: int) -> None:
        ask = Ask()
        remote = Remote(stage.process(daemons[number % len(daemons)]).address, OPERATOR_KEY)
        after = {"root": {"groups": {group: {"share": 10.0 + number}}}}
        try:
            ask.answer = remote.change(base, {}, after, str(number))
            stage.wanted[group] = 10.0 + number
        except BaygladeError as error:
            ask.error = error
        stage.asks.append(ask)

    _together(race, count)


@when(parsers.parse("{count:d} operators change a group of their own until accepted through {names}"))
def when_race_until(stage: Stage, count: int, names: str) -> None:
    daemons = names.split(", ")

    def race(number: int) -> None:
        for _ in range(200):
            name = daemons[number % len(daemons)]
            ask = change_share(stage, name, f"new-{number}", 1.0 + number)
            if ask.error is None:
                stage.wanted[f"new-{number}"] = 1.0 + number
                return
            assert ask.error.code == "settings_conflict", ask.error

    _together(race, count)
    assert len(stage.wanted) == count


def _together(work: Any, count: int) -> None:
    threads = [threading.Thread(target=work, args=(number,)) for number in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)


@when(parsers.parse('an operator sets the share of "{group}" to {share:g} through {name}'))
def when_sets(stage: Stage, group: str, share: float, name: str) -> None:
    if change_share(stage, name, group, share).error is None:
        stage.wanted[group] = share


@when(parsers.parse('the operator of "{own}" sets the share of "{group}" through {name}'))
def when_outsider_sets(stage: Stage, own: str, group: str, name: str) -> None:
    change_share(stage, name, group, 9.0, f"{own}-operator-key")


@then(parsers.parse('the operator of "{own}" sees nothing of "{group}" through {name}'))
def then_sees_nothing(stage: Stage, own: str, group: str, name: str) -> None:
    address = stage.process(name).address
    for page in ("settings", "audit", "groups"):
        _, body = callers.call(address, f"/admin/v1/{page}", b"", f"{own}-operator-key", "GET")
        assert group not in str(body), (page, body)


@when("the platform's table is out")
def when_table_out(stage: Stage) -> None:
    stage.world.post(stage.world.platform, "/standin/faults", {"table_out": True})


@when("the platform keeps a copy of its table")
def when_saved(stage: Stage) -> None:
    stage.world.post(stage.world.platform, "/standin/save", None)


@when("the platform restores its table")
def when_restored(stage: Stage) -> None:
    stage.world.post(stage.world.platform, "/standin/restore", None)


@when(parsers.parse("daemon {name} starts"))
def when_daemon_starts(stage: Stage, name: str) -> None:
    stage.daemons.append(stage.world.start_daemon(name))


@when(parsers.parse("{seconds:d} seconds pass"))
def when_time_passes(seconds: int) -> None:
    # The point of the step is the age of what a daemon knows, so time itself is the cause.
    time.sleep(seconds)


@then(parsers.parse("daemon {name} is ready"))
def then_ready(stage: Stage, name: str) -> None:
    wait_for(f"{name} is ready", lambda: _readiness(stage, name) == 200)


@then(parsers.parse("daemon {name} is not ready"))
def then_not_ready(stage: Stage, name: str) -> None:
    wait_for(f"{name} is not ready", lambda: _readiness(stage, name) == 503)


def _readiness(stage: Stage, name: str) -> int:
    try:
        return callers.call(stage.process(name).address, "/readyz", b"", "", "GET")[0]
    except callers.urllib3.exceptions.HTTPError:
        return 0


@then(parsers.parse("exactly {count:d} change was accepted and the others were told of the conflict"))
def then_accepted(stage: Stage, count: int) -> None:
    accepted = [ask for ask in stage.asks if ask.error is None]
    refused = {ask.error.code for ask in stage.asks if ask.error is not None}
    assert len(accepted) == count, [ask.error for ask in stage.asks]
    assert refused == {"settings_conflict"}


@then("the change was accepted")
def then_last_accepted(stage: Stage) -> None:
    assert stage.asks[-1].error is None, stage.asks[-1].error


@then(parsers.parse("the change was accepted but is not yet in force on {name}"))
def then_not_yet(stage: Stage, name: str) -> None:
    ask = stage.asks[-1]
    assert ask.error is None and ask.answer.not_yet == [name], ask.answer


@then(parsers.parse("the change was refused as {code}"))
def then_refused(stage: Stage, code: str) -> None:
    error = stage.asks[-1].error
    assert error is not None and error.code == code, error


@then("all daemons have the settings of the accepted changes")
def then_in_force(stage: Stage) -> None:
    def agreed() -> bool:
        found = [shares(stage, daemon) for daemon in stage.daemons]
        return len({revision for revision, _ in found}) == 1 and all(
            stage.wanted.items() <= groups.items() for _, groups in found
        )

    wait_for("all daemons agree", agreed)


@then("the audit trail names each accepted change once")
def then_audited(stage: Stage) -> None:
    entries = Remote(stage.daemons[0].address, OPERATOR_KEY).audit(100)
    accepted = [ask.answer.revision for ask in stage.asks if ask.error is None]
    assert [entry.revision for entry in entries if entry.operator == "root"] == accepted[::-1]
    assert len({entry.change for entry in entries}) == len(entries)


@when("the records begin anew")
def when_records_anew(stage: Stage) -> None:
    stage.marks = {engine.name: _steps(stage, engine) for engine in stage.engines}


@then(parsers.parse("engine {name} ran nothing since"))
def then_nothing_since(stage: Stage, name: str) -> None:
    assert _steps(stage, stage.process(name)) == stage.marks[name]


def _steps(stage: Stage, engine: Process) -> int:
    return len(stage.world.record(engine.name))


@given("a balancer before all daemons")
def given_balancer(stage: Stage) -> None:
    address = f"{HOST}:{free_port()}"
    daemons = [daemon.address for daemon in stage.daemons]
    arguments = ["-m", "standins.balancer", "--listen", address, *daemons]
    stage.world.start("balancer", arguments, address, "/readyz")
    stage.world.wait_up()


@when("callers keep asking through the balancer")
def when_callers_ask(stage: Stage) -> None:
    stage.stop_asking = threading.Event()
    address = stage.process("balancer").address

    def ask(number: int) -> None:
        while not stage.stop_asking.is_set():
            stage.streams.append(callers.stream(address, 10, f"prompt {number}").wait())

    stage.askers = [threading.Thread(target=ask, args=(n,), daemon=True) for n in range(8)]
    for asker in stage.askers:
        asker.start()


@when("each daemon in turn is told to stop and started again")
def when_rolling(stage: Stage) -> None:
    for place, daemon in enumerate(stage.daemons):
        seen = len(stage.streams)
        daemon.signal(signal.SIGTERM)
        wait_for(f"{daemon.name} ends", lambda d=daemon: d.popen.poll() is not None)
        assert daemon.popen.returncode == 0
        stage.daemons[place] = stage.world.start_daemon(daemon.name, callers=daemon.address)
        stage.world.wait_ready(*stage.daemons)
        wait_for("callers were served meanwhile", lambda n=seen: len(stage.streams) > n + 20)


@when("the callers have stopped")
def when_callers_stopped(stage: Stage) -> None:
    stage.stop_asking.set()
    for asker in stage.askers:
        asker.join(60)


@then("no caller saw a failure")
def then_no_failure(stage: Stage) -> None:
    failed = [s for s in stage.streams if not s.whole or not s.right()]
    assert not failed, (len(failed), len(stage.streams), failed[0].error, failed[0].cut)


@when(parsers.parse('an operator is setting the share of "{group}" to {share:g} through {name}'))
def when_setting(stage: Stage, group: str, share: float, name: str) -> None:
    work = threading.Thread(target=change_share, args=(stage, name, group, share), daemon=True)
    work.start()


@when(parsers.parse("the platform holds revision {revision:d}"))
def when_held(stage: Stage, revision: int) -> None:
    def held() -> bool:
        body = b'{"keys":["settings/head"]}'
        url = f"http://{stage.world.platform}/v1/table/read"
        rows = callers.HTTP.request("POST", url, body=body).json()["rows"]
        return bool(rows["settings/head"]["value"]["revision"] == revision)

    wait_for(f"revision {revision} is in the table", held)


@then(parsers.parse('the other daemons come to have share {share:g} of "{group}"'))
def then_others_have(stage: Stage, share: float, group: str) -> None:
    others = [daemon for daemon in stage.daemons if daemon.popen.poll() is None]
    assert len(others) == len(stage.daemons) - 1
    for daemon in others:
        wait_for(f"{daemon.name} has it", lambda d=daemon: shares(stage, d)[1].get(group) == share)


@when(parsers.parse("the platform takes {seconds:g} seconds to answer"))
def when_platform_slow(stage: Stage, seconds: float) -> None:
    stage.world.post(stage.world.platform, "/standin/faults", {"delay": seconds})
