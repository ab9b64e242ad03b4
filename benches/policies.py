"""Behaviour of real daemons under load: group shares, floods, overload, limits and recovery.

Run as ``python -m benches.policies [NAME ...]``. Arrivals are generated from fixed seeds.
"""

import os
import signal
import subprocess
import sys
import threading
import time
from typing import Any

import msgspec
import numpy as np

from benches.common import print_table, run, start
from standins.world import (
    CALLER_KEY,
    HOST,
    Process,
    World,
    free_port,
    wait_for,
)

TOKENS = 20
STEP_MS = 25.0
SLOTS = 8
SECONDS = 10
RECOVERY_SECONDS = 6
LOAD_FRACTION = 0.4


def capacity(engines: int) -> float:
    """Return the maximum throughput of a number of stand-in engines, in requests a second."""
    return engines * SLOTS / (TOKENS * STEP_MS / 1000)


def build(world: World, engines: int, daemons: int) -> list[Process]:
    """Start engines and daemons, and wait until the daemons have polled every engine for its slots."""
    started = start(world, engines, daemons, STEP_MS, SLOTS)
    time.sleep(engines / 2.0 + 1.0)
    return started


def load(
    world: World, addresses: list[str], key: str, rate: float, seconds: float = SECONDS, **options: Any
) -> dict[str, Any]:
    """Run the load generator in a process of its own.

    :param options: ``deadline`` and ``seed``.
    :return: its result.
    """
    arguments = ["load", "-r", str(rate), "-s", str(seconds), "-t", str(TOKENS), "--json"]
    for address in addresses:
        arguments += ["-a", address]
    for name, value in options.items():
        arguments += [f"--{name}", str(value)]
    code, output = world.cli(*arguments, key=key)
    assert code == 0, output
    found: dict[str, Any] = msgspec.json.decode(output.splitlines()[-1])
    return found


def run_loads(
    world: World, requests: list[tuple[list[str], str, float, dict[str, Any]]]
) -> list[dict[str, Any]]:
    """Run several loads at once, each given as addresses, key, rate and options."""
    results: list[dict[str, Any]] = [{} for _ in requests]

    def run_one(place: int) -> None:
        addresses, key, rate, options = requests[place]
        results[place] = load(world, addresses, key, rate, **options)

    threads = [threading.Thread(target=run_one, args=(place,)) for place in range(len(requests))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def shares() -> None:
    """Measure the shares of groups under overload, entering through one daemon or several."""
    rows = []
    for name, routes in (
        ("both through both daemons", ([0, 1], [0, 1])),
        ("khangai through d0 only", ([0], [0, 1])),
        ("kines through d1 only", ([0, 1], [1])),
    ):
        with World() as world:
            daemons = build(world, 2, 2)
            full = capacity(2)
            requests = [
                ([daemons[i].address for i in routes[0]], CALLER_KEY, full * 1.5, {"deadline": 3}),
                ([daemons[i].address for i in routes[1]], "plateau-key", full * 1.5, {"deadline": 3}),
            ]
            first, second = run_loads(world, requests)
            total = first["good"] + second["good"]
            rows.append(
                [
                    name,
                    first["good"] / total * 100,
                    200 / 3,
                    total / SECONDS / full * 100,
                    first["whole"]["p95"],
                    second["whole"]["p95"],
                ]
            )
    headers = ["entering", "khangai %", "its share %", "good % of bound", "khangai p95 ms", "kines p95 ms"]
    print_table("Shares 2:1, each group offers 1.5 times the bound", headers, rows)


def flood() -> None:
    """Measure how a flood from one account affects the latency of another."""
    rows = []
    for flooding in (False, True):
        with World() as world:
            daemons = build(world, 2, 2)
            addresses = [daemon.address for daemon in daemons]
            full = capacity(2)
            requests = [(addresses, "plateau-key", full * 0.2, {"deadline": 3})]
            if flooding:
                requests.append((addresses, CALLER_KEY, full * 4, {"deadline": 3, "seed": 2}))
            found = run_loads(world, requests)[0]
            rows.append(
                [
                    "flood" if flooding else "calm",
                    found["sent"],
                    found["good"],
                    found["first_token"]["p50"],
                    found["first_token"]["p95"],
                    found["whole"]["p95"],
                ]
            )
    headers = ["other account", "sent", "good", "first p50 ms", "first p95 ms", "whole p95 ms"]
    print_table("A calm account at 20% of the bound while another floods with 400%", headers, rows)


def overload() -> None:
    """Measure goodput from half the capacity to five times it."""
    rows = []
    for times in (0.5, 0.8, 0.95, 1.1, 2.0, 5.0):
        with World() as world:
            daemons = build(world, 2, 2)
            full = capacity(2)
            found = load(world, [d.address for d in daemons], CALLER_KEY, full * times, deadline=2)
            refused = sum(n for name, n in found["errors"].items() if "not_run" in name)
            rows.append(
                [
                    times,
                    found["sent"] / SECONDS,
                    found["good"] / SECONDS,
                    found["good"] / SECONDS / full * 100,
                    refused,
                    sum(found["errors"].values()) - refused,
                    found["first_token"]["p50"],
                    found["first_token"]["p95"],
                ]
            )
    headers = [
        "times the bound",
        "asked/s",
        "good/s",
        "good % of bound",
        "refused",
        "other errors",
        "first p50 ms",
        "first p95 ms",
    ]
    print_table(f"Overload, deadline 2 s, answers take {TOKENS * STEP_MS / 1000} s", headers, rows)


def overshoot() -> None:
    """Measure by how much a group exceeds its rate limit through several daemons."""
    allowed, rows = 20.0, []
    for count, entering in ((2, 2), (2, 1), (8, 8), (8, 1)):
        with World() as world:
            daemons = build(world, 4, count)

            def edit(document: dict[str, Any]) -> None:
                document["root"]["groups"]["khangai"]["limits"] = {"requests_per_second": allowed}

            world.apply(daemons[0].address, edit)
            addresses = [daemon.address for daemon in daemons[:entering]]
            found = load(world, addresses, CALLER_KEY, allowed * 2, deadline=3)
            good = found["good"] / SECONDS
            refused = found["errors"].get("429 not_run", 0)
            rows.append(
                [count, entering, allowed, found["sent"] / SECONDS, good, good / allowed * 100, refused]
            )
    headers = ["daemons", "entered through", "limit/s", "asked/s", "good/s", "% of limit", "refused 429"]
    print_table("A limit of requests a second, 10 s, burst of one second included", headers, rows)


def recovery(runs: int = 10) -> None:
    """Measure the time from a fault until requests succeed again, under partial load."""
    rows = []
    for name in ("engine killed", "engine frozen", "2 of 4 engines killed", "daemon killed"):
        found = [_measure_recovery(name, seed) for seed in range(runs)]
        first = [one[0] for one in found]
        steady = [one[1] for one in found]
        rows.append(
            [
                name,
                runs,
                float(np.median(first)),
                max(first),
                float(np.median(steady)),
                max(steady),
                sum(one[2] for one in found),
                sum(one[3] for one in found),
            ]
        )
    headers = [
        "fault",
        "runs",
        "first good s",
        "worst",
        "99 in 100 good s",
        "worst",
        "failed in flight",
        "of sent",
    ]
    title = (
        f"Recovery, 4 engines, 2 daemons, {LOAD_FRACTION:.0%} load, streams of {TOKENS * STEP_MS / 1000} s"
    )
    print_table(title, headers, rows)


def _measure_recovery(name: str, seed: int) -> tuple[float, float, int, int]:
    """Inject a fault; return seconds to the first and to steady success, failures and requests."""
    with World() as world:
        daemons = build(world, 4, 2)
        balancer = _balancer(world, daemons)
        rate = capacity(4) * LOAD_FRACTION
        trace = world.folder / "trace"
        arguments = [
            "load",
            "-a",
            balancer,
            "-r",
            str(rate),
            "-s",
            str(RECOVERY_SECONDS),
            "-t",
            str(TOKENS),
        ]
        arguments += ["--seed", str(seed), "--trace", str(trace)]
        environment = {**os.environ, "BAYGLADE_KEY": CALLER_KEY}
        sender = subprocess.Popen(
            [sys.executable, "-m", "bayglade", *arguments], env=environment, stdout=subprocess.DEVNULL
        )
        wait_for("load runs", lambda: len(world.record("e0")) > rate * 2)
        at = time.monotonic()
        _inject_fault(world, name)
        sender.wait(60)
        return _recovery_times(trace.read_text(), at)


def _balancer(world: World, daemons: list[Process]) -> str:
    address = f"{HOST}:{free_port()}"
    arguments = ["-m", "standins.balancer", "--listen", address, *[d.address for d in daemons]]
    world.start("balancer", arguments, address, "/readyz")
    world.wait_up()
    return address


def _inject_fault(world: World, name: str) -> None:
    if name == "engine killed":
        world.processes["e0"].kill()
    elif name == "engine frozen":
        world.processes["e0"].signal(signal.SIGSTOP)
    elif name == "daemon killed":
        world.processes["d0"].kill()
    else:
        world.processes["e0"].kill()
        world.processes["e1"].kill()


def _recovery_times(trace: str, at: float) -> tuple[float, float, int, int]:
    """Compute the results from a trace with due time, end time and outcome of each request."""
    rows = [line.split() for line in trace.splitlines()]
    requests = sorted((float(due), float(end), word == "good") for due, end, word in rows)
    after = [request for request in requests if request[0] >= at]
    first = next((end - at for _, end, good in after if good), float("inf"))
    failed = [due for due, _, good in requests if not good]
    # Steady success starts where at least 99 % of the later requests succeed.
    bad_after = sorted(due for due in failed if due >= at)
    steady = 0.0
    for place, due in enumerate(bad_after):
        rest = [request for request in after if request[0] >= due]
        if len(bad_after) - place > len(rest) / 100:
            steady = due - at
    return first, max(steady, first), len(failed), len(requests)


TABLES = {
    "shares": shares,
    "flood": flood,
    "overload": overload,
    "overshoot": overshoot,
    "recovery": recovery,
}


if __name__ == "__main__":
    run(TABLES)
