"""Steps of the scenarios about version placement."""

import signal
import threading
from typing import Any

from pytest_bdd import parsers, then, when

from standins.engine_tokens import token_text
from standins.world import CALLER_KEY, wait_for
from tests import callers
from tests.steps import Scenario

TOKENS = 6


def versions(scenario: Scenario) -> list[list[str]]:
    return [scenario.world.get(engine.address, "/v1/load")["versions"] for engine in scenario.engines]


def served_by(scenario: Scenario, key: str) -> str:
    """Send one request and return which version answered it, judging by the tokens."""
    status, body = callers.complete(scenario.daemons[-1].address, 2, "which", key)
    assert status == 200, body
    text = body["choices"][0]["text"]
    return next(v for v in ("v1", "v2") if text.startswith(token_text("guide", v, "which", 0)))


@when(parsers.parse("callers go on asking {names}"))
def when_callers_ask(scenario: Scenario, names: str) -> None:
    addresses = [scenario.process(name).address for name in names.split(", ")]

    def ask(number: int) -> None:
        while not scenario.stop_callers.is_set():
            address = addresses[number % len(addresses)]
            scenario.streams.append(callers.stream(address, TOKENS, f"prompt {number}").wait())

    scenario.caller_threads = [threading.Thread(target=ask, args=(n,), daemon=True) for n in range(4)]
    for thread in scenario.caller_threads:
        thread.start()


@when(parsers.parse('an operator sets the version of "{model}" to {version} through {name}'))
def when_version(scenario: Scenario, model: str, version: str, name: str) -> None:
    def edit(document: dict[str, Any]) -> None:
        document["models"][model]["version"] = version

    scenario.world.apply(scenario.process(name).address, edit)


@then(parsers.parse("all engines hold {version}"))
def then_hold(scenario: Scenario, version: str) -> None:
    wait_for(f"all hold {version}", lambda: all(v == [version] for v in versions(scenario)), 60)


@then("some engine holds v1 and some engine holds v2")
def then_both(scenario: Scenario) -> None:
    wait_for("both are held", lambda: {tuple(v) for v in versions(scenario)} == {("v1",), ("v2",)}, 60)


@when(parsers.parse('"{key}" asks until it is served by {version}'))
def when_served(scenario: Scenario, key: str, version: str) -> None:
    wait_for(f"{key} is served by {version}", lambda: served_by(scenario, key) == version, 60)


@then(parsers.parse('"{key}" is served by {version}'))
def then_served(scenario: Scenario, key: str, version: str) -> None:
    assert served_by(scenario, key) == version


@then("every caller had a whole answer of one version")
def then_one_version(scenario: Scenario) -> None:
    assert len(scenario.streams) > 20
    for stream in scenario.streams:
        assert stream.complete and len(stream.tokens) == TOKENS, (stream.error, stream.connection_lost)
        assert stream.is_correct("v1") or stream.is_correct("v2"), stream.tokens
    assert any(stream.is_correct("v2") for stream in scenario.streams)


def _order_sender(scenario: Scenario) -> str:
    """Wait until a daemon has sent an order and return its name."""

    def given() -> str | None:
        logs = {daemon.name: daemon.log.read_text() for daemon in scenario.daemons}
        return next((name for name, text in logs.items() if "order given" in text), None)

    return wait_for("an order is given", given) or ""


@when("the daemon that gives orders is killed")
def when_sender_killed(scenario: Scenario) -> None:
    name = _order_sender(scenario)
    scenario.process(name).kill()
    scenario.daemons = [daemon for daemon in scenario.daemons if daemon.name != name]


@when("the daemon that gives orders is frozen")
def when_sender_frozen(scenario: Scenario) -> None:
    scenario.last = _order_sender(scenario)
    scenario.process(scenario.last).signal(signal.SIGSTOP)


@when("the frozen daemon wakes")
def when_sender_wakes(scenario: Scenario) -> None:
    scenario.process(scenario.last).signal(signal.SIGCONT)
    # Once it answers again, it has had the opportunity to send an outdated order.
    address = scenario.process(scenario.last).address
    wait_for("it answers", lambda: callers.complete(address, 1, key=CALLER_KEY)[0] == 200)


@then("no engine took an order of an older epoch after a newer one")
def then_fenced(scenario: Scenario) -> None:
    for engine in scenario.engines:
        orders = scenario.world.get(engine.address, "/standin/orders")
        epochs = [epoch for epoch, _, taken, _ in orders if taken]
        assert epochs == sorted(epochs), orders
