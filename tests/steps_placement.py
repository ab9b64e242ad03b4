"""Steps of the scenarios about version placement."""

import signal
import threading
from typing import Any

from pytest_bdd import parsers, then, when

from standins.engine_tokens import token_text
from standins.world import CALLER_KEY, wait_for
from tests import callers
from tests.steps import Stage

TOKENS = 6


def versions(stage: Stage) -> list[list[str]]:
    return [stage.world.get(engine.address, "/v1/load")["versions"] for engine in stage.engines]


def served_by(stage: Stage, key: str) -> str:
    """Send one request and return which version answered it, judging by the tokens."""
    status, body = callers.complete(stage.daemons[-1].address, 2, "which", key)
    assert status == 200, body
    text = body["choices"][0]["text"]
    return next(v for v in ("v1", "v2") if text.startswith(token_text("guide", v, "which", 0)))


@when(parsers.parse("callers go on asking {names}"))
def when_callers_ask(stage: Stage, names: str) -> None:
    addresses = [stage.process(name).address for name in names.split(", ")]

    def ask(number: int) -> None:
        while not stage.stop_asking.is_set():
            address = addresses[number % len(addresses)]
            stage.streams.append(callers.stream(address, TOKENS, f"prompt {number}").wait())

    stage.askers = [threading.Thread(target=ask, args=(n,), daemon=True) for n in range(4)]
    for asker in stage.askers:
        asker.start()


@when(parsers.parse('an operator sets the version of "{model}" to {version} through {name}'))
def when_version(stage: Stage, model: str, version: str, name: str) -> None:
    def edit(document: dict[str, Any]) -> None:
        document["models"][model]["version"] = version

    stage.world.apply(stage.process(name).address, edit)


@then(parsers.parse("all engines hold {version}"))
def then_hold(stage: Stage, version: str) -> None:
    wait_for(f"all hold {version}", lambda: all(v == [version] for v in versions(stage)), 60)


@then("some engine holds v1 and some engine holds v2")
def then_both(stage: Stage) -> None:
    wait_for("both are held", lambda: {tuple(v) for v in versions(stage)} == {("v1",), ("v2",)}, 60)


@when(parsers.parse('"{key}" asks until it is served by {version}'))
def when_served(stage: Stage, key: str, version: str) -> None:
    wait_for(f"{key} is served by {version}", lambda: served_by(stage, key) == version, 60)


@then(parsers.parse('"{key}" is served by {version}'))
def then_served(stage: Stage, key: str, version: str) -> None:
    assert served_by(stage, key) == version


@then("every caller had a whole answer of one version")
def then_one_version(stage: Stage) -> None:
    assert len(stage.streams) > 20
    for stream in stage.streams:
        assert stream.whole and len(stream.tokens) == TOKENS, (stream.error, stream.cut)
        assert stream.right("v1") or stream.right("v2"), stream.tokens
    assert any(stream.right("v2") for stream in stage.streams)


def _order_sender(stage: Stage) -> str:
    """Wait until a daemon has sent an order and return its name."""

    def given() -> str | None:
        logs = {daemon.name: daemon.log.read_text() for daemon in stage.daemons}
        return next((name for name, text in logs.items() if "order given" in text), None)

    return wait_for("an order is given", given) or ""


@when("the daemon that gives orders is killed")
def when_sender_killed(stage: Stage) -> None:
    name = _order_sender(stage)
    stage.process(name).kill()
    stage.daemons = [daemon for daemon in stage.daemons if daemon.name != name]


@when("the daemon that gives orders is frozen")
def when_sender_frozen(stage: Stage) -> None:
    stage.last = _order_sender(stage)
    stage.process(stage.last).signal(signal.SIGSTOP)


@when("the frozen daemon wakes")
def when_sender_wakes(stage: Stage) -> None:
    stage.process(stage.last).signal(signal.SIGCONT)
    # Once it answers again, it has had the opportunity to send an outdated order.
    address = stage.process(stage.last).address
    wait_for("it answers", lambda: callers.complete(address, 1, key=CALLER_KEY)[0] == 200)


@then("no engine took an order of an older epoch after a newer one")
def then_fenced(stage: Stage) -> None:
    for engine in stage.engines:
        orders = stage.world.get(engine.address, "/standin/orders")
        epochs = [epoch for epoch, _, taken, _ in orders if taken]
        assert epochs == sorted(epochs), orders
