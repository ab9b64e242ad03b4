"""Crowds of clients that don't behave, at the project's own interface: an entry daemon over WSGI."""

from collections.abc import Iterator

import psutil
import pytest

from standins.crowds import Crowd
from standins.world import CALLER_KEY, Process, World, backend, usual_tree
from tests import callers
from tests.crowds.bounds import (
    BODY_BYTES,
    CLIENTS,
    DESCRIPTORS,
    FILE_DESCRIPTORS,
    MACHINE_MB,
    SILENT_CLIENTS,
    watched,
)

SECONDS = 30.0
"""Time limits on heads and bodies: longer than any crowd stays."""


@pytest.fixture
def daemon(world: World) -> Iterator[Process]:
    world.start_platform()
    engine = world.start_engine("e1", 0, 8, step_ms=1)
    service = world.start_service("s1")
    services = {"tiles": {"servers": {"s1": service.address}}}
    tree = usual_tree({"e1": backend(engine, 0, 8)}, services, 8)
    world.wait_up()
    world.cli("settings", "init", str(world.write_settings(tree)), "-p", world.platform)
    made = world.start_daemon(
        "d1",
        memory_mb=MACHINE_MB,
        max_descriptors=DESCRIPTORS,
        max_body_bytes=BODY_BYTES,
        header_timeout=SECONDS,
        body_timeout=SECONDS,
    )
    world.wait_ready(made)
    yield made


def port(process: Process) -> int:
    return int(process.address.rpartition(":")[2])


@pytest.mark.parametrize("path", ["/v1/completions", "/services/tiles/x"])
@pytest.mark.parametrize("kind", ["bodies", "slow_bodies", "large_chunks", "small_chunks"])
def test_bodies_that_never_end_fit_into_memory(daemon: Process, kind: str, path: str) -> None:
    authorization = f"Authorization: Bearer {CALLER_KEY}\r\n"
    with (
        Crowd(daemon.address, kind, CLIENTS, bytes=BODY_BYTES, path=path, extra=authorization) as crowd,
        watched(daemon.popen.pid, [port(daemon)]),
    ):
        crowd.wait_settled()
        assert callers.complete(daemon.address)[0] == 200
        crowd.leave()
        assert callers.complete(daemon.address)[0] == 200


def test_complete_bodies_that_servers_do_not_take_fit_into_memory(world: World, daemon: Process) -> None:
    world.http.request(
        "POST", f"http://{world.processes['s1'].address}/standin/faults", body=b'{"delay": 5}'
    )
    authorization = f"Authorization: Bearer {CALLER_KEY}\r\n"
    options = {"bytes": BODY_BYTES, "path": "/services/tiles/run/x", "extra": authorization}
    with (
        Crowd(daemon.address, "whole_bodies", CLIENTS, **options) as crowd,
        watched(daemon.popen.pid, [port(daemon)], [port(world.processes["s1"])]),
    ):
        crowd.wait_settled()
        assert callers.complete(daemon.address)[0] == 200
        crowd.leave()
        assert callers.complete(daemon.address)[0] == 200


def test_connections_do_not_use_up_the_descriptors(daemon: Process) -> None:
    process = psutil.Process(daemon.popen.pid)
    process.rlimit(psutil.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    with (
        Crowd(daemon.address, "silent", SILENT_CLIENTS) as crowd,
        watched(daemon.popen.pid, [port(daemon)]) as watch,
    ):
        crowd.wait_settled()
        assert callers.complete(daemon.address)[0] == 200
        crowd.leave()
        assert callers.complete(daemon.address)[0] == 200
    assert watch.peak_descriptors <= DESCRIPTORS - FILE_DESCRIPTORS
