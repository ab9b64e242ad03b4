"""Demo of the main features: two daemons, three engines that share a model, one service."""

import signal
import time

import msgspec
import urllib3

from standins.world import CALLER_KEY, Process, World, backend, usual_tree, wait_for

LAYERS = 24
PROMPT = "the way from gate 4 to gate 11"


def main() -> None:
    """Run the demo; raises an error at the first step with an unexpected result."""
    started = time.monotonic()
    with World() as world:
        daemons = _start_world(world)
        _completions(world, daemons)
        _service_calls(world, daemons)
        _change_settings(world, daemons)
        _stop_daemon(world, daemons)
    print(f"done in {time.monotonic() - started:.1f} s; every process is ended")


def _start_world(world: World) -> list[Process]:
    print("starting the stand-in platform, three engines, one service and two daemons")
    world.start_platform()
    engines = {
        "e1": (world.start_engine("e1", 0, 12), 0, 12),
        "e2": (world.start_engine("e2", 8, 24), 8, 24),
        "e3": (world.start_engine("e3", 12, 24), 12, 24),
    }
    service = world.start_service("check-ins")
    tree = usual_tree(
        {name: backend(*engine) for name, engine in engines.items()},
        {"check-ins": {"servers": {"s1": service.address}, "repeatable": False}},
        LAYERS,
    )
    code, output = world.cli("settings", "init", str(world.write_settings(tree)), "-p", world.platform)
    print(f"  $ bayglade settings init tree.yaml: {output.strip()}")
    assert code == 0, output
    daemons = [world.start_daemon("d1"), world.start_daemon("d2")]
    world.wait_ready(*daemons)
    return daemons


def _completions(world: World, daemons: list[Process]) -> None:
    for daemon in daemons:
        body = {"model": "guide", "prompt": PROMPT, "max_tokens": 8, "stream": True}
        response = _post(world, daemon, "/v1/completions", body)
        events = response.data.decode().strip().split("\n\n")
        assert events[-1] == "data: [DONE]", events
        print(
            f"streamed through {daemon.name}: {len(events) - 2} tokens, then an explicit end of the stream"
        )
        body["stream"] = False
        whole = msgspec.json.decode(_post(world, daemon, "/v1/completions", body).data)
        print(f"not streamed, through {daemon.name}: {whole['usage']['completion_tokens']} tokens")
    record = [run for name in ("e1", "e2", "e3") for run in world.record(name)]
    _check_layers(record)
    print(f"the engines' records: each of {LAYERS} layers ran once for each token, in order")


def _check_layers(record: list[list[object]]) -> None:
    tokens: dict[tuple[object, object], list[object]] = {}
    for request, _, index, first, last, _ in record:
        tokens.setdefault((request, index), []).extend(range(int(str(first)), int(str(last))))
    for layers in tokens.values():
        assert sorted(int(str(layer)) for layer in layers) == list(range(LAYERS)), layers


def _service_calls(world: World, daemons: list[Process]) -> None:
    headers = {"Idempotency-Key": "session-1", "Content-Type": "application/json"}
    for daemon in daemons:
        _post(world, daemon, "/services/check-ins/run/pain", {"level": 3}, headers)
    runs = world.get(world.processes["check-ins"].address, "/standin/runs")
    assert len(runs) == 1, runs
    print("the same check-in sent through both daemons: the service ran it once")
    response = _post(world, daemons[0], "/services/check-ins/run/pain", {"level": 5}, headers, 422)
    print(f"the same key with another body: refused with {_code(response)}")


def _change_settings(world: World, daemons: list[Process]) -> None:
    first, second = daemons
    code, text = world.cli("settings", "show", address=first.address)
    assert code == 0, text
    path = world.folder / "edited.yaml"
    path.write_text(text.replace("share: 2.0", "share: 3.0"), encoding="utf-8")
    code, output = world.cli("settings", "apply", str(path), address=first.address)
    print("  $ bayglade settings apply edited.yaml: " + "; ".join(output.strip().split("\n")))
    assert code == 0, output
    code, output = world.cli("settings", "explain", "khangai", "share", "-j", address=second.address)
    print(f"seen through {second.name}: {output.strip()}")
    assert '"value":3.0' in output, output


def _stop_daemon(world: World, daemons: list[Process]) -> None:
    first = daemons[0]
    body = {"model": "guide", "prompt": PROMPT, "max_tokens": 100, "stream": True}
    response = _post(world, first, "/v1/completions", body, stream=True)
    first.signal(signal.SIGTERM)
    events = b"".join(response.stream()).decode().strip().split("\n\n")
    assert len(events) == 102 and events[-1] == "data: [DONE]", events[-2:]
    wait_for(f"{first.name} ends", lambda: first.popen.poll() is not None)
    print(
        f"stopped {first.name} during a stream: all 100 tokens arrived, exit code {first.popen.returncode}"
    )
    assert first.popen.returncode == 0


def _post(
    world: World,
    daemon: Process,
    path: str,
    body: object,
    headers: dict[str, str] | None = None,
    status: int = 200,
    stream: bool = False,
) -> urllib3.BaseHTTPResponse:
    response = world.http.request(
        "POST",
        f"http://{daemon.address}{path}",
        body=msgspec.json.encode(body),
        headers={"Authorization": f"Bearer {CALLER_KEY}", **(headers or {})},
        preload_content=not stream,
    )
    assert response.status == status, (response.status, response.data)
    return response


def _code(response: urllib3.BaseHTTPResponse) -> str:
    return str(msgspec.json.decode(response.data)["error"]["code"])


if __name__ == "__main__":
    main()
