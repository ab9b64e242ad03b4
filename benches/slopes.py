"""Costs by size for ``docs/CAPACITY.md``: how the cost of each part grows.

Run as ``python -m benches.slopes [NAME ...]``; each name is one table. All load
stays on the loopback interface, and every process is ended.
"""

import random
import threading
import time
import tracemalloc
from datetime import datetime
from functools import partial
from typing import Any

import msgspec
import numpy as np

from bayglade import patches, settings
from bayglade.backends import Backends
from bayglade.directory import Directory
from bayglade.entries import wire as entries_wire
from bayglade.entries.ring import neighbours
from bayglade.exceptions import BaygladeError
from bayglade.ids import GroupPath, MemberId, ModelName
from bayglade.operators.client import AdminClient
from bayglade.routing import choose_route
from bayglade.usage import Usage
from benches.common import cpu_seconds, megabytes, print_table, run, start
from standins.world import (
    CALLER_KEY,
    OPERATOR_KEY,
    Process,
    World,
    backend,
    digest,
    usual_tree,
    wait_for,
)

IDLE_SECONDS = 10.0
LOAD_SECONDS = 8
REPEATS = 20


def daemons_slope(counts: tuple[int, ...] = (1, 2, 8, 16, 32, 64)) -> None:
    """Measure idle cost, propagation of a change and detection of a lost daemon, by number of daemons."""
    rows = []
    for count in counts:
        with World() as world:
            rows.append(_daemons_row(world, count))
    headers = [
        "daemons",
        "neighbours",
        "CPU % median",
        "CPU % worst",
        "MB",
        "bytes out/s",
        "bytes in/s",
        "change in force s (median of 5)",
        "worst",
        "kill noticed s",
    ]
    print_table("Daemons at rest", headers, rows)


def _daemons_row(world: World, count: int) -> list[Any]:
    world.start_platform()
    engine = world.start_engine("e1", 0, 8)
    world.wait_up()
    tree = usual_tree({f"e{n}": backend(engine, 0, 8) for n in range(40)}, {}, 8)
    world.cli("settings", "init", str(world.write_settings(tree)), "-p", world.platform)
    daemons = [world.start_daemon(f"d{n:03}", poll_interval=1.0) for n in range(count)]
    names = [MemberId(daemon.name) for daemon in daemons]
    degree = len(neighbours(names[0], names))
    world.wait_up()
    for daemon in daemons:
        wait_for("neighbours live", lambda d=daemon: _count_live(d) >= degree, 60)
    out_before, in_before = _peer_bytes(daemons[0])
    before = [cpu_seconds(daemon) for daemon in daemons]
    time.sleep(IDLE_SECONDS)
    cpu = [(cpu_seconds(d) - b) / IDLE_SECONDS * 100 for d, b in zip(daemons, before, strict=True)]
    out_after, in_after = _peer_bytes(daemons[0])
    propagation = sorted(_propagation_seconds(world, daemons, revision) for revision in range(2, 7))
    return [
        count,
        degree,
        float(np.median(cpu)),
        max(cpu),
        megabytes(daemons[0]),
        (out_after - out_before) / IDLE_SECONDS,
        (in_after - in_before) / IDLE_SECONDS,
        propagation[2],
        propagation[-1],
        _detection_seconds(daemons) if count > 1 else 0.0,
    ]


def _count_live(daemon: Process) -> int:
    try:
        return sum(m.live for m in AdminClient(daemon.address, OPERATOR_KEY).status().members)
    except BaygladeError:
        # The daemon has no settings yet, so it rejects the operator's key.
        return 0


def _peer_bytes(daemon: Process) -> tuple[int, int]:
    status = AdminClient(daemon.address, OPERATOR_KEY).status()
    return status.entries_bytes_out, status.entries_bytes_in


def _propagation_seconds(world: World, daemons: list[Process], revision: int) -> float:
    """Return the seconds from the request for a change until the last daemon logged it."""

    def edit(document: dict[str, Any]) -> None:
        document["root"]["groups"]["khangai"]["share"] = float(revision)

    asked = datetime.now()
    world.apply(daemons[0].address, edit)
    mark = f"settings in force revision={revision}"

    def logged() -> list[str] | None:
        lines = [_find_line(daemon, mark) for daemon in daemons]
        return lines if all(lines) else None  # type: ignore[return-value]

    lines = wait_for("the change is in force", logged, 60) or []
    times = [datetime.strptime(line[:12], "%H:%M:%S.%f") for line in lines]
    last = max(times).replace(year=asked.year, month=asked.month, day=asked.day)
    return (last - asked).total_seconds()


def _find_line(daemon: Process, mark: str) -> str | None:
    lines = [line for line in daemon.log.read_text().splitlines() if line.endswith(mark)]
    return lines[0] if lines else None


def _detection_seconds(daemons: list[Process]) -> float:
    """Return the seconds until a neighbour reports a killed daemon as not live."""
    victim, other = daemons[1], daemons[0]
    victim.kill()
    killed = time.monotonic()

    def silent() -> bool:
        members = AdminClient(other.address, OPERATOR_KEY).status().members
        return any(m.member == victim.name and not m.live for m in members)

    wait_for("the loss is noticed", silent, 60)
    return time.monotonic() - killed


def requests_slope() -> None:
    """Measure the CPU time of one daemon, by requests and by tokens a second."""
    rows, points = [], []
    with World() as world:
        (daemon,) = start(world, engines=4, daemons=1, step_ms=10, slots=256)
        for rate, tokens in ((10, 1), (40, 1), (80, 1), (10, 32), (20, 32), (30, 32), (5, 128), (10, 128)):
            row = _load_row(world, daemon, rate, tokens)
            rows.append(row)
            points.append((row[2], row[3], row[4]))
    headers = ["asked/s", "tokens each", "good/s", "tokens/s", "CPU s/s", "first p50 ms", "gap p50", "MB"]
    print_table("One daemon under load", headers, rows)
    sizes = np.array([(1.0, requests, tokens) for requests, tokens, _ in points])
    slope = np.linalg.lstsq(sizes, np.array([cpu for _, _, cpu in points]), rcond=None)[0]
    print(f"fit: {slope[0]:.4f} + {slope[1] * 1e3:.3f} ms a request + {slope[2] * 1e6:.1f} us a token")


def _load_row(world: World, daemon: Process, rate: int, tokens: int) -> list[Any]:
    before = cpu_seconds(daemon)
    started = time.monotonic()
    arguments = ["load", "-a", daemon.address, "-r", str(rate), "-t", str(tokens)]
    code, output = world.cli(*arguments, "-s", str(LOAD_SECONDS), "--json", key=CALLER_KEY)
    assert code == 0, output
    elapsed = time.monotonic() - started
    found = msgspec.json.decode(output.splitlines()[-1])
    assert not found["errors"], found["errors"]
    cpu = cpu_seconds(daemon) - before
    return [
        rate,
        tokens,
        found["good"] / elapsed,
        found["tokens"] / elapsed,
        cpu / elapsed,
        found["first_token"]["p50"],
        found["token_gap"]["p50"],
        megabytes(daemon),
    ]


def streams_slope() -> None:
    """Measure the memory of a daemon, by number of open streams."""
    rows = []
    with World() as world:
        (daemon,) = start(world, engines=2, daemons=1, step_ms=500, slots=400)
        # True once the daemon has polled both engines for their slots.
        wait_for("limits follow slots", lambda: _least_limit(daemon) >= 400)
        for count in (0, 100, 200, 400, 700):
            rows.append([count, *_stream_memory(world, daemon, count)])
    headers = ["streams asked", "open", "MB", "CPU s/s", "tokens/s"]
    print_table("Open streams, a token each 0.5 s", headers, rows)


def _least_limit(daemon: Process) -> float:
    return min(state.limit for state in AdminClient(daemon.address, OPERATOR_KEY).backends())


def _stream_memory(world: World, daemon: Process, count: int) -> list[Any]:
    """Open streams within two seconds, and measure the daemon while they are open."""
    if not count:
        return [0, megabytes(daemon), 0.0, 0.0]
    arguments = ["load", "-a", daemon.address, "-r", str(count / 2), "-s", "2", "-t", "24", "-d", "60"]
    sender = threading.Thread(target=world.cli, args=arguments, kwargs={"key": CALLER_KEY})
    sender.start()
    remote = AdminClient(daemon.address, OPERATOR_KEY)
    wait_for("most are open", lambda: remote.status().in_flight >= count * 0.8, 60)
    before = cpu_seconds(daemon)
    time.sleep(3.0)
    opened = remote.status().in_flight
    row = [opened, megabytes(daemon), (cpu_seconds(daemon) - before) / 3.0, opened / 0.5]
    sender.join()
    return row


def tree_slope() -> None:
    """Measure bytes, memory and the time to apply a revision, by size of the settings tree."""
    rows = []
    for backends, accounts, models in ((40, 10, 2), (325, 75, 6), (650, 150, 9), (1300, 300, 18)):
        rows.append(_tree_row(backends, accounts, models))
    headers = [
        "backends",
        "accounts",
        "models",
        "document kB",
        "state kB",
        "decode+check ms",
        "take in ms",
        "one change ms",
        "patch bytes",
        "route ms",
    ]
    print_table("The settings tree", headers, rows)


def big_tree(backends: int, accounts: int, models: int) -> dict[str, Any]:
    """Build a settings tree of a given size, with the layers of each model in four stages."""
    tree = usual_tree({}, {}, 80)
    tree["models"] = {f"m{n}": {"layers": 80, "version": "v1"} for n in range(models)}
    for n in range(backends):
        stage = n // models % 4
        tree["backends"][f"server-{n:05}"] = {
            "address": f"10.{n % 11}.{n // 256}.{n % 256}:9000",
            "hall": f"hall-{n % 11}",
            "accelerator": f"kind-{n % 6}",
            "model": f"m{n % models}",
            "version": "v1",
            "first": stage * 20,
            "last": stage * 20 + 20,
        }
    for n in range(accounts):
        tree["root"]["groups"]["khangai"]["groups"][f"airport-{n}"] = {"share": 1.0 + n % 5}
        account = {"group": f"khangai/airport-{n}", "key_sha256": digest(f"key-{n}")}
        tree["accounts"][f"account-{n}"] = account
    return tree


def _tree_row(backends: int, accounts: int, models: int) -> list[Any]:
    document = settings.encode(settings.decode(msgspec.json.encode(big_tree(backends, accounts, models))))
    rng = random.Random(1)
    tracemalloc.start()
    tree = settings.decode(document)
    backend_states, directory = Backends(rng), Directory(tree)
    backend_states.sync(tree)
    state, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    changed = msgspec.json.decode(document)
    changed["root"]["groups"]["khangai"]["groups"]["airport-1"]["share"] = 9.0
    before = msgspec.json.decode(document)
    patch = msgspec.json.encode(patches.diff(before, changed))

    def apply_revision() -> None:
        backend_states.sync(tree)
        Directory(tree)

    def one_change() -> None:
        after = patches.apply(msgspec.json.decode(document), msgspec.json.decode(patch))
        content = msgspec.json.encode(after, order="sorted")
        settings.digest_of(content)
        settings.decode(content)

    states = backend_states.of_model(ModelName("m0"), tree.models[ModelName("m0")].version)

    def route() -> None:
        assert choose_route(states, 80, states[0].facts.hall, lambda a, b: 0.0 if a == b else 0.001, rng)

    return [
        len(tree.backends),
        len(directory.accounts),
        models,
        len(document) / 1000,
        state / 1000,
        _milliseconds(lambda: settings.decode(document)),
        _milliseconds(apply_revision),
        _milliseconds(one_change),
        len(patch),
        _milliseconds(route),
    ]


def _milliseconds(function: Any) -> float:
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        function()
        times.append(time.perf_counter() - started)
    return float(np.median(times)) * 1000


def heartbeat_slope() -> None:
    """Measure heartbeats and the state kept for a neighbour, by number of groups."""
    rows = []
    sealer = entries_wire.FrameAuthenticator(b"k" * 32)
    for groups in (0, 8, 16, 32, 64):
        usage = Usage()
        for n in range(groups):
            usage.charge(GroupPath(f"khangai/airport-{n:03}"), 1000.0 + n)
            usage.note_demand(GroupPath(f"khangai/airport-{n:03}"), 1000.0 + n)
        heartbeat = _heartbeat(usage)
        tracemalloc.start()
        heard = Usage()
        heard.merge_report(MemberId("d1"), heartbeat.usage)
        state, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        rows.append(
            [
                groups,
                len(sealer.seal(heartbeat)),
                state,
                _milliseconds(partial(sealer.seal, heartbeat)),
                _milliseconds(partial(heard.merge_report, MemberId("d1"), heartbeat.usage)),
            ]
        )
    print_table("Heartbeats", ["groups", "bytes", "state bytes", "seal ms", "hear ms"], rows)


def _heartbeat(usage: Usage) -> entries_wire.Heartbeat:
    return entries_wire.Heartbeat(
        revision=1234,  # type: ignore[arg-type]
        draining=False,
        usage=usage.report(64),
        leaving=[],
        held=[],
    )


def claims_slope() -> None:
    """Measure the throughput of claims against a table limited to 100 writes a second."""
    rows = []
    with World() as world:
        world.start_platform()
        service = world.start_service("s1")
        world.wait_up()
        tree = usual_tree({}, {"s": {"servers": {"s1": service.address}, "repeatable": False}}, 8)
        world.cli("settings", "init", str(world.write_settings(tree)), "-p", world.platform)
        daemons = [world.start_daemon(f"d{n}") for n in range(4)]
        world.wait_ready(*daemons)
        world.post(world.platform, "/standin/faults", {"writes_per_second": 100.0})
        for rate in (20, 50, 100, 200, 300):
            rows.append(_claims_row(world, daemons, rate))
    headers = [
        "asked/s",
        "good/s",
        "errors",
        "p50 ms",
        "p95 ms",
        "writes/s",
        "rows/write",
        "CPU s/s a daemon",
    ]
    print_table("Claims through 4 daemons, table at 100 writes/s", headers, rows)


def _claims_row(world: World, daemons: list[Process], rate: int) -> list[Any]:
    before = world.get(world.platform, "/standin/counts")
    cpu = cpu_seconds(daemons[0])
    started = time.monotonic()
    arguments = ["load", "-r", str(rate), "-s", str(LOAD_SECONDS), "--service", "s/run/x", "--json"]
    for daemon in daemons:
        arguments += ["-a", daemon.address]
    code, output = world.cli(*arguments, "--seed", str(rate), key=CALLER_KEY)
    assert code == 0, output
    found = msgspec.json.decode(output.splitlines()[-1])
    elapsed = time.monotonic() - started
    after = world.get(world.platform, "/standin/counts")
    writes = after["writes"] - before["writes"]
    return [
        rate,
        found["good"] / found["seconds"],
        sum(found["errors"].values()),
        found["whole"]["p50"],
        found["whole"]["p95"],
        writes / found["seconds"],
        # Each good request writes two rows: its claim and the stored answer.
        2 * found["good"] / max(1, writes),
        (cpu_seconds(daemons[0]) - cpu) / elapsed,
    ]


TABLES = {
    "tree": tree_slope,
    "heartbeat": heartbeat_slope,
    "requests": requests_slope,
    "streams": streams_slope,
    "claims": claims_slope,
    "daemons": daemons_slope,
}


if __name__ == "__main__":
    run(TABLES)
