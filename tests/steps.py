"""Step definitions of the scenarios: requests, failures of processes, and what must hold."""

import signal
import threading
from typing import Any

from pytest_bdd import given, parsers, then, when

from standins.world import Process, World, backend, usual_tree, wait_for
from tests import callers

NUMBERS = parsers.re


class Scenario:
    """State of a running scenario: its processes, requests and results."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.layers = 0
        self.engines: list[Process] = []
        self.daemons: list[Process] = []
        self.streams: list[callers.Stream] = []
        self.answers: list[tuple[int, Any]] = []
        self.last: Any = None
        self.attempts: list[Any] = []
        self.expected_shares: dict[str, float] = {}
        self.record_lengths: dict[str, int] = {}
        self.caller_threads: list[threading.Thread] = []
        self.stop_callers = threading.Event()

    def process(self, name: str) -> Process:
        return self.world.processes[name]

    def all_records(self) -> list[list[Any]]:
        return [run for engine in self.engines for run in self.world.record(engine.name)]


@given(parsers.parse("a model of {layers:d} layers on engines:"), target_fixture="scenario")
def given_engines(world: World, layers: int, datatable: list[list[str]]) -> Scenario:
    scenario = Scenario(world)
    scenario.layers = layers
    world.start_platform()
    backends = {}
    names = datatable[0]
    for row in datatable[1:]:
        cells = dict(zip(names, row, strict=True))
        first, last = int(cells["first"]), int(cells["last"])
        version = cells.get("version", "v1")
        engine = world.start_engine(cells["engine"], first, last, version=version, step_ms=4)
        scenario.engines.append(engine)
        backends[cells["engine"]] = backend(engine, first, last, version=version)
    service = world.start_service("check-ins")
    services = {
        "check-ins": {"servers": {"s1": service.address}, "repeatable": False},
        "tiles": {"servers": {"s1": service.address}},
    }
    tree = usual_tree(backends, services, layers)
    world.wait_up()
    code, output = world.cli("settings", "init", str(world.write_settings(tree)), "-p", world.platform)
    assert code == 0, output
    return scenario


@given(parsers.parse("daemons {names}"))
def given_daemons(scenario: Scenario, names: str) -> None:
    started = [scenario.world.start_daemon(name) for name in names.split(", ")]
    scenario.daemons.extend(started)
    scenario.world.wait_ready(*scenario.daemons)


@given(parsers.parse('group "{group}" uses version {version}'))
def given_version(scenario: Scenario, group: str, version: str) -> None:
    def edit(document: dict[str, Any]) -> None:
        document["root"]["groups"][group]["versions"] = {"guide": version}

    scenario.world.apply(scenario.daemons[0].address, edit)


@when(parsers.parse("a caller streams {tokens:d} tokens through {name}"))
def when_streams(scenario: Scenario, tokens: int, name: str) -> None:
    made = callers.stream(scenario.process(name).address, tokens, f"prompt {len(scenario.streams)}")
    scenario.streams.append(made)


@when(parsers.parse("{count:d} callers stream {tokens:d} tokens each through {names}"))
def when_many_stream(scenario: Scenario, count: int, tokens: int, names: str) -> None:
    addresses = [scenario.process(name).address for name in names.split(", ")]
    for number in range(count):
        address = addresses[number % len(addresses)]
        scenario.streams.append(callers.stream(address, tokens, f"prompt {number}"))


@when(parsers.parse("{count:d} tokens have come"))
def when_tokens_came(scenario: Scenario, count: int) -> None:
    for stream in scenario.streams:
        stream.wait_tokens(count)


@when(parsers.parse("engine {name} is killed"))
def when_engine_killed(scenario: Scenario, name: str) -> None:
    scenario.process(name).kill()


@when(parsers.parse("the engine in use after the first is killed"))
def when_second_stage_killed(scenario: Scenario) -> None:
    when_engine_killed(scenario, _engine_in_use(scenario, first=False))


@when(parsers.parse("the first engine in use is killed"))
def when_first_stage_killed(scenario: Scenario) -> None:
    when_engine_killed(scenario, _engine_in_use(scenario, first=True))


@when(parsers.parse("the engine in use after the first is frozen"))
def when_second_stage_frozen(scenario: Scenario) -> None:
    scenario.last = _engine_in_use(scenario, first=False)
    scenario.process(scenario.last).signal(signal.SIGSTOP)


@when("the frozen engine wakes")
def when_engine_resumed(scenario: Scenario) -> None:
    scenario.process(scenario.last).signal(signal.SIGCONT)


def _engine_in_use(scenario: Scenario, first: bool) -> str:
    """Return the first engine that ran steps, as the first stage of a route or as a later one."""
    for engine in scenario.engines:
        record = scenario.world.record(engine.name)
        if record and (record[-1][3] == 0) is first:
            return engine.name
    raise AssertionError("no engine is in use")


@when(parsers.parse("engine {name} has the faults {faults}"))
def when_engine_faults(scenario: Scenario, name: str, faults: str) -> None:
    values = {fault.strip(): True for fault in faults.split(",")}
    scenario.world.post(scenario.process(name).address, "/standin/faults", values)


@when(parsers.parse("engine {name} cuts its stream at token {index:d}"))
def when_engine_cuts(scenario: Scenario, name: str, index: int) -> None:
    scenario.world.post(scenario.process(name).address, "/standin/faults", {"cut_after": index})


@when(parsers.parse("engine {name} says that it leaves"))
def when_engine_leaves(scenario: Scenario, name: str) -> None:
    scenario.world.post(scenario.process(name).address, "/standin/leave", None)


@when(parsers.parse("the host list says that engine {name} leaves"))
def when_host_list_leaves(scenario: Scenario, name: str) -> None:
    scenario.world.list_host(name, "backend", scenario.process(name).address, "leaving")


@when(parsers.parse("every daemon knows that {name} leaves"))
def when_known_leaving(scenario: Scenario, name: str) -> None:
    for daemon in scenario.daemons:
        wait_for(
            f"{daemon.name} knows that {name} leaves",
            lambda d=daemon: backend_state(scenario, d, name) == "leaving",
        )


def backend_state(scenario: Scenario, daemon: Process, name: str) -> str:
    code, rows = callers.call(daemon.address, "/admin/v1/backends", b"", "operator-key", "GET")
    assert code == 200
    return next(row["state"] for row in rows if row["backend"] == name)


@when(parsers.parse("daemon {name} is killed"))
def when_daemon_killed(scenario: Scenario, name: str) -> None:
    scenario.process(name).kill()


@when(parsers.parse("daemon {name} is frozen"))
def when_daemon_frozen(scenario: Scenario, name: str) -> None:
    scenario.process(name).signal(signal.SIGSTOP)


@when(parsers.parse("daemon {name} wakes"))
def when_daemon_resumed(scenario: Scenario, name: str) -> None:
    scenario.process(name).signal(signal.SIGCONT)


@when(parsers.parse("daemon {name} is told to stop"))
def when_terminated(scenario: Scenario, name: str) -> None:
    scenario.process(name).signal(signal.SIGTERM)


@when(parsers.parse("daemon {name} has ended with exit code {code:d}"))
@then(parsers.parse("daemon {name} has ended with exit code {code:d}"))
def then_ended(scenario: Scenario, name: str, code: int) -> None:
    popen = scenario.process(name).popen
    wait_for(f"{name} ends", lambda: popen.poll() is not None)
    assert popen.returncode == code


@when("the platform is out")
def when_platform_out(scenario: Scenario) -> None:
    scenario.world.post(scenario.world.platform, "/standin/faults", {"out": True})


@when("the platform is back")
def when_platform_back(scenario: Scenario) -> None:
    scenario.world.post(scenario.world.platform, "/standin/faults", {})


@when(parsers.parse("the platform loses its next {count:d} answers"))
def when_platform_loses(scenario: Scenario, count: int) -> None:
    scenario.world.post(scenario.world.platform, "/standin/faults", {"lose_answers": count})


@when(parsers.parse("the service takes {seconds:g} seconds"))
def when_service_slow(scenario: Scenario, seconds: float) -> None:
    scenario.world.post(scenario.process("check-ins").address, "/standin/faults", {"delay": seconds})


@when("the service cuts its answers")
def when_service_cuts(scenario: Scenario) -> None:
    scenario.world.post(scenario.process("check-ins").address, "/standin/faults", {"cut": True})


@when("the service is well again")
def when_service_well(scenario: Scenario) -> None:
    scenario.world.post(scenario.process("check-ins").address, "/standin/faults", {})


@when(parsers.parse('check-in "{key}" is sent through {name}'))
def when_check_in(scenario: Scenario, key: str, name: str) -> None:
    scenario.answers.append(_check_in(scenario, key, name))


@when(parsers.parse('check-in "{key}" is being sent through {name}'))
def when_check_in_begun(scenario: Scenario, key: str, name: str) -> None:
    def send() -> None:
        try:
            scenario.answers.append(_check_in(scenario, key, name))
        except callers.urllib3.exceptions.HTTPError:
            scenario.answers.append((0, None))

    scenario.last = threading.Thread(target=send, daemon=True)
    scenario.last.start()


@when(parsers.parse('check-in "{key}" is sent {count:d} times at once through {names}'))
def when_check_ins(scenario: Scenario, key: str, count: int, names: str) -> None:
    daemons = names.split(", ")
    threads = [
        threading.Thread(
            target=lambda n=number: scenario.answers.append(
                _check_in(scenario, key, daemons[n % len(daemons)])
            )
        )
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)


def _check_in(scenario: Scenario, key: str, name: str) -> tuple[int, Any]:
    path = "/services/check-ins/run/pain"
    return callers.call(scenario.process(name).address, path, {"level": 3}, Idempotency_Key=key)


@when("the claim is in the table")
def when_claimed(scenario: Scenario) -> None:
    def claimed() -> bool:
        return scenario.world.get(scenario.world.platform, "/standin/counts")["rows"] > 3

    wait_for("the claim is in the table", claimed)


@when("the service has begun")
def when_begun(scenario: Scenario) -> None:
    address = scenario.process("check-ins").address
    wait_for("the service has started a call", lambda: scenario.world.get(address, "/standin/begun"))


@when("the sender has its answer")
def when_answered(scenario: Scenario) -> None:
    scenario.last.join(60)
    assert not scenario.last.is_alive()


@then("the answer is whole and right")
@then("every answer is whole and right")
def then_whole(scenario: Scenario) -> None:
    for stream in scenario.streams:
        stream.wait()
        assert stream.complete, (stream.status, stream.error, len(stream.tokens))
        assert stream.is_correct()


@then(parsers.parse("every answer is whole and right or ends with an explicit error"))
def then_whole_or_error(scenario: Scenario) -> None:
    for stream in scenario.streams:
        stream.wait()
        assert stream.is_correct_or_failed(), (
            stream.prompt,
            stream.status,
            stream.error,
            stream.tokens[-3:],
        )


@then(parsers.parse('the answer ends with the explicit error "{code}"'))
def then_error(scenario: Scenario, code: str) -> None:
    stream = scenario.streams[-1].wait()
    assert stream.error is not None and stream.error["code"] == code, stream.error
    assert stream.is_correct() and not stream.complete


@then(parsers.parse("the caller is told {outcome}"))
def then_outcome(scenario: Scenario, outcome: str) -> None:
    error = scenario.streams[-1].wait().error
    assert error is not None and error["outcome"] == outcome, error


@then("the engines ran each layer once for each token, in order")
def then_layers(scenario: Scenario) -> None:
    callers.assert_each_layer_ran_once(scenario.all_records(), scenario.layers)


@then("no engine ran anything")
def then_nothing_ran(scenario: Scenario) -> None:
    assert scenario.all_records() == []


@then(parsers.parse("the service ran {count:d} time"))
@then(parsers.parse("the service ran {count:d} times"))
def then_service_ran(scenario: Scenario, count: int) -> None:
    runs = _settled_runs(scenario)
    assert len(runs) == count, (runs, scenario.answers)


def _settled_runs(scenario: Scenario) -> Any:
    """Return the runs once every call that the service started has ended."""
    address = scenario.process("check-ins").address

    def settled() -> bool:
        return scenario.world.get(address, "/standin/begun") == len(
            scenario.world.get(address, "/standin/runs")
        )

    wait_for("the service is idle", settled)
    return scenario.world.get(address, "/standin/runs")


@then("the service ran at most 1 time")
def then_service_ran_at_most_once(scenario: Scenario) -> None:
    runs = _settled_runs(scenario)
    assert len(runs) <= 1, (runs, scenario.answers)


@then(parsers.parse("the answers are {statuses}"))
def then_statuses(scenario: Scenario, statuses: str) -> None:
    assert [status for status, _ in scenario.answers] == [int(s) for s in statuses.split(", ")], (
        scenario.answers
    )


@then(parsers.parse("the last answer is {status:d} and says {outcome}"))
def then_last_answer(scenario: Scenario, status: int, outcome: str) -> None:
    found, body = scenario.answers[-1]
    assert (found, body["error"]["outcome"]) == (status, outcome), scenario.answers


@then(parsers.parse("all answers agree or say unknown"))
def then_agree(scenario: Scenario) -> None:
    good = [body for status, body in scenario.answers if status == 200]
    assert good and all(body == good[0] for body in good)
    for status, body in scenario.answers:
        assert status == 200 or body["error"]["outcome"] == "unknown", body
