"""The words of the scenarios: what is given, what happens, what must hold."""

import signal
import threading
from typing import Any

from pytest_bdd import given, parsers, then, when

from standins.world import Process, World, backend, usual_tree, wait_for
from tests import callers

NUMBERS = parsers.re


class Stage:
    """What one scenario has set up and what has happened so far."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.layers = 0
        self.engines: list[Process] = []
        self.daemons: list[Process] = []
        self.streams: list[callers.Stream] = []
        self.answers: list[tuple[int, Any]] = []
        self.last: Any = None
        self.asks: list[Any] = []
        self.wanted: dict[str, float] = {}
        self.marks: dict[str, int] = {}
        self.askers: list[threading.Thread] = []
        self.stop_asking = threading.Event()

    def process(self, name: str) -> Process:
        return self.world.processes[name]

    def all_records(self) -> list[list[Any]]:
        return [run for engine in self.engines for run in self.world.record(engine.name)]


@given(parsers.parse("a model of {layers:d} layers on engines:"), target_fixture="stage")
def given_engines(world: World, layers: int, datatable: list[list[str]]) -> Stage:
    stage = Stage(world)
    stage.layers = layers
    world.start_platform()
    backends = {}
    names = datatable[0]
    for row in datatable[1:]:
        cells = dict(zip(names, row, strict=True))
        first, last = int(cells["first"]), int(cells["last"])
        version = cells.get("version", "v1")
        engine = world.start_engine(cells["engine"], first, last, version=version, step_ms=4)
        stage.engines.append(engine)
        backends[cells["engine"]] = backend(engine, first, last, version=version)
    service = world.start_service("check-ins")
    services = {
        "check-ins": {"servers": {"s1": service.address}, "repeatable": False},
        "tiles": {"servers": {"s1": service.address}},
    }
    tree = usual_tree(backends, services, layers)
    world.wait_up()
    code, said = world.cli("settings", "init", str(world.write_settings(tree)), "-p", world.platform)
    assert code == 0, said
    return stage


@given(parsers.parse("daemons {names}"))
def given_daemons(stage: Stage, names: str) -> None:
    started = [stage.world.start_daemon(name) for name in names.split(", ")]
    stage.daemons.extend(started)
    stage.world.wait_ready(*stage.daemons)


@given(parsers.parse('group "{group}" uses version {version}'))
def given_version(stage: Stage, group: str, version: str) -> None:
    def edit(document: dict[str, Any]) -> None:
        document["root"]["groups"][group]["versions"] = {"guide": version}

    stage.world.apply(stage.daemons[0].address, edit)


@when(parsers.parse("a caller streams {tokens:d} tokens through {name}"))
def when_streams(stage: Stage, tokens: int, name: str) -> None:
    made = callers.stream(stage.process(name).address, tokens, f"prompt {len(stage.streams)}")
    stage.streams.append(made)


@when(parsers.parse("{count:d} callers stream {tokens:d} tokens each through {names}"))
def when_many_stream(stage: Stage, count: int, tokens: int, names: str) -> None:
    addresses = [stage.process(name).address for name in names.split(", ")]
    for number in range(count):
        address = addresses[number % len(addresses)]
        stage.streams.append(callers.stream(address, tokens, f"prompt {number}"))


@when(parsers.parse("{count:d} tokens have come"))
def when_tokens_came(stage: Stage, count: int) -> None:
    for stream in stage.streams:
        stream.wait_tokens(count)


@when(parsers.parse("engine {name} is killed"))
def when_engine_killed(stage: Stage, name: str) -> None:
    stage.process(name).kill()


@when(parsers.parse("the engine in use after the first is killed"))
def when_second_stage_killed(stage: Stage) -> None:
    when_engine_killed(stage, _busiest(stage, first=False))


@when(parsers.parse("the first engine in use is killed"))
def when_first_stage_killed(stage: Stage) -> None:
    when_engine_killed(stage, _busiest(stage, first=True))


@when(parsers.parse("the engine in use after the first is frozen"))
def when_second_stage_frozen(stage: Stage) -> None:
    stage.last = _busiest(stage, first=False)
    stage.process(stage.last).signal(signal.SIGSTOP)


@when("the frozen engine wakes")
def when_engine_wakes(stage: Stage) -> None:
    stage.process(stage.last).signal(signal.SIGCONT)


def _busiest(stage: Stage, first: bool) -> str:
    """Find the engine that ran most steps, at the start of the route or after it."""
    for engine in stage.engines:
        record = stage.world.record(engine.name)
        if record and (record[-1][3] == 0) is first:
            return engine.name
    raise AssertionError("no engine is in use")


@when(parsers.parse("engine {name} has the faults {faults}"))
def when_engine_faults(stage: Stage, name: str, faults: str) -> None:
    values = {fault.strip(): True for fault in faults.split(",")}
    stage.world.post(stage.process(name).address, "/standin/faults", values)


@when(parsers.parse("engine {name} cuts its stream at token {index:d}"))
def when_engine_cuts(stage: Stage, name: str, index: int) -> None:
    stage.world.post(stage.process(name).address, "/standin/faults", {"cut_after": index})


@when(parsers.parse("engine {name} says that it leaves"))
def when_engine_leaves(stage: Stage, name: str) -> None:
    stage.world.post(stage.process(name).address, "/standin/leave", None)


@when(parsers.parse("the host list says that engine {name} leaves"))
def when_host_list_leaves(stage: Stage, name: str) -> None:
    stage.world.list_host(name, "backend", stage.process(name).address, "leaving")


@when(parsers.parse("every daemon knows that {name} leaves"))
def when_known_leaving(stage: Stage, name: str) -> None:
    for daemon in stage.daemons:
        wait_for(f"{daemon.name} knows", lambda d=daemon: backend_state(stage, d, name) == "leaving")


def backend_state(stage: Stage, daemon: Process, name: str) -> str:
    code, rows = callers.call(daemon.address, "/admin/v1/backends", b"", "operator-key", "GET")
    assert code == 200
    return next(row["state"] for row in rows if row["backend"] == name)


@when(parsers.parse("daemon {name} is killed"))
def when_daemon_killed(stage: Stage, name: str) -> None:
    stage.process(name).kill()


@when(parsers.parse("daemon {name} is frozen"))
def when_frozen(stage: Stage, name: str) -> None:
    stage.process(name).signal(signal.SIGSTOP)


@when(parsers.parse("daemon {name} wakes"))
def when_wakes(stage: Stage, name: str) -> None:
    stage.process(name).signal(signal.SIGCONT)


@when(parsers.parse("daemon {name} is told to stop"))
def when_told(stage: Stage, name: str) -> None:
    stage.process(name).signal(signal.SIGTERM)


@when(parsers.parse("daemon {name} has ended with exit code {code:d}"))
@then(parsers.parse("daemon {name} has ended with exit code {code:d}"))
def then_ended(stage: Stage, name: str, code: int) -> None:
    popen = stage.process(name).popen
    wait_for(f"{name} ends", lambda: popen.poll() is not None)
    assert popen.returncode == code


@when("the platform is out")
def when_platform_out(stage: Stage) -> None:
    stage.world.post(stage.world.platform, "/standin/faults", {"out": True})


@when("the platform is back")
def when_platform_back(stage: Stage) -> None:
    stage.world.post(stage.world.platform, "/standin/faults", {})


@when(parsers.parse("the platform loses its next {count:d} answers"))
def when_platform_loses(stage: Stage, count: int) -> None:
    stage.world.post(stage.world.platform, "/standin/faults", {"lose_answers": count})


@when(parsers.parse("the service takes {seconds:g} seconds"))
def when_service_slow(stage: Stage, seconds: float) -> None:
    stage.world.post(stage.process("check-ins").address, "/standin/faults", {"delay": seconds})


@when("the service cuts its answers")
def when_service_cuts(stage: Stage) -> None:
    stage.world.post(stage.process("check-ins").address, "/standin/faults", {"cut": True})


@when("the service is well again")
def when_service_well(stage: Stage) -> None:
    stage.world.post(stage.process("check-ins").address, "/standin/faults", {})


@when(parsers.parse('check-in "{key}" is sent through {name}'))
def when_check_in(stage: Stage, key: str, name: str) -> None:
    stage.answers.append(_check_in(stage, key, name))


@when(parsers.parse('check-in "{key}" is being sent through {name}'))
def when_check_in_begun(stage: Stage, key: str, name: str) -> None:
    def send() -> None:
        try:
            stage.answers.append(_check_in(stage, key, name))
        except callers.urllib3.exceptions.HTTPError:
            stage.answers.append((0, None))

    stage.last = threading.Thread(target=send, daemon=True)
    stage.last.start()


@when(parsers.parse('check-in "{key}" is sent {count:d} times at once through {names}'))
def when_check_ins(stage: Stage, key: str, count: int, names: str) -> None:
    daemons = names.split(", ")
    threads = [
        threading.Thread(
            target=lambda n=number: stage.answers.append(_check_in(stage, key, daemons[n % len(daemons)]))
        )
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)


def _check_in(stage: Stage, key: str, name: str) -> tuple[int, Any]:
    path = "/services/check-ins/run/pain"
    return callers.call(stage.process(name).address, path, {"level": 3}, Idempotency_Key=key)


@when("the claim is in the table")
def when_claimed(stage: Stage) -> None:
    def claimed() -> bool:
        return stage.world.get(stage.world.platform, "/standin/counts")["rows"] > 3

    wait_for("the claim is in the table", claimed)


@when("the service has begun")
def when_begun(stage: Stage) -> None:
    address = stage.process("check-ins").address
    wait_for("the service has begun", lambda: stage.world.get(address, "/standin/begun"))


@when("the sender has its answer")
def when_answered(stage: Stage) -> None:
    stage.last.join(60)
    assert not stage.last.is_alive()


@then("the answer is whole and right")
@then("every answer is whole and right")
def then_whole(stage: Stage) -> None:
    for stream in stage.streams:
        stream.wait()
        assert stream.whole, (stream.status, stream.error, len(stream.tokens))
        assert stream.right()


@then(parsers.parse("every answer is whole and right or ends with an explicit error"))
def then_honest(stage: Stage) -> None:
    for stream in stage.streams:
        stream.wait()
        assert stream.honest(), (stream.prompt, stream.status, stream.error, stream.tokens[-3:])


@then(parsers.parse('the answer ends with the explicit error "{code}"'))
def then_error(stage: Stage, code: str) -> None:
    stream = stage.streams[-1].wait()
    assert stream.error is not None and stream.error["code"] == code, stream.error
    assert stream.right() and not stream.whole


@then(parsers.parse("the caller is told {outcome}"))
def then_told(stage: Stage, outcome: str) -> None:
    error = stage.streams[-1].wait().error
    assert error is not None and error["outcome"] == outcome, error


@then("the engines ran each layer once for each token, in order")
def then_layers(stage: Stage) -> None:
    callers.check_record(stage.all_records(), stage.layers)


@then("no engine ran anything")
def then_nothing_ran(stage: Stage) -> None:
    assert stage.all_records() == []


@then(parsers.parse("the service ran {count:d} time"))
@then(parsers.parse("the service ran {count:d} times"))
def then_service_ran(stage: Stage, count: int) -> None:
    runs = _settled_runs(stage)
    assert len(runs) == count, (runs, stage.answers)


def _settled_runs(stage: Stage) -> Any:
    """Return the runs once every call that the service began has ended."""
    address = stage.process("check-ins").address

    def settled() -> bool:
        return stage.world.get(address, "/standin/begun") == len(stage.world.get(address, "/standin/runs"))

    wait_for("the service is idle", settled)
    return stage.world.get(address, "/standin/runs")


@then("the service ran at most 1 time")
def then_service_ran_at_most_once(stage: Stage) -> None:
    runs = _settled_runs(stage)
    assert len(runs) <= 1, (runs, stage.answers)


@then(parsers.parse("the answers are {statuses}"))
def then_statuses(stage: Stage, statuses: str) -> None:
    assert [status for status, _ in stage.answers] == [int(s) for s in statuses.split(", ")], stage.answers


@then(parsers.parse("the last answer is {status:d} and says {outcome}"))
def then_last_answer(stage: Stage, status: int, outcome: str) -> None:
    found, body = stage.answers[-1]
    assert (found, body["error"]["outcome"]) == (status, outcome), stage.answers


@then(parsers.parse("all answers agree or say unknown"))
def then_agree(stage: Stage) -> None:
    good = [body for status, body in stage.answers if status == 200]
    assert good and all(body == good[0] for body in good)
    for status, body in stage.answers:
        assert status == 200 or body["error"]["outcome"] == "unknown", body
