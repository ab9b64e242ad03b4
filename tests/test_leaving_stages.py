"""Streams on stages that leave look again for a way round them, and not at every event."""

from typing import Any

import pytest

from bayglade.runs import LEAVE_RETRY_SECONDS, LEAVE_SPREAD_SECONDS
from tests.test_streams import Scene


def leave_alone(scene: Scene) -> Any:
    """Have a stage leave whose layers nobody else holds yet."""
    scene.look()
    leaving = scene.paired_stage()
    for server in scene.fleet.servers.values():
        if server not in scene.run.path.servers:
            server.excluded = "not loaded yet"
    scene.fleet.mark_leaving(leaving, "listed")
    scene.look()
    scene.look(LEAVE_SPREAD_SECONDS)
    return leaving


def count_searches(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> list[float]:
    searched: list[float] = []
    detour = scene.context.paths.detour

    def count(*arguments: Any) -> Any:
        searched.append(scene.at)
        return detour(*arguments)

    monkeypatch.setattr(scene.context.paths, "detour", count)
    return searched


def test_a_stream_that_finds_no_way_round_looks_twice_a_second(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    leave_alone(scene)
    searched = count_searches(scene, monkeypatch)
    for _ in range(100):
        scene.look(LEAVE_RETRY_SECONDS / 25)
    assert 2 <= len(searched) <= 6


def test_looks_end_when_the_stream_has_left_the_stage_otherwise(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    leaving = leave_alone(scene)
    searched = count_searches(scene, monkeypatch)
    leaving.leaving = False
    for _ in range(10):
        scene.look(LEAVE_RETRY_SECONDS)
    assert searched == []
