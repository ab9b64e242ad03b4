"""Streams on leaving stages search for a detour repeatedly, but not at every event."""

from typing import Any

import pytest

from bayglade.runs import LEAVE_RETRY_SECONDS, LEAVE_SPREAD_SECONDS
from tests.test_streams import Scene


def leave_without_replacement(scene: Scene) -> Any:
    """Let a stage leave whose layers no other server holds yet."""
    scene.advance()
    leaving = scene.paired_stage()
    for server in scene.fleet.servers.values():
        if server not in scene.run.path.servers:
            server.excluded = "not loaded yet"
    scene.fleet.mark_leaving(leaving, "listed")
    scene.advance()
    scene.advance(LEAVE_SPREAD_SECONDS)
    return leaving


def count_searches(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> list[float]:
    searched: list[float] = []
    detour = scene.context.paths.detour

    def count(*arguments: Any) -> Any:
        searched.append(scene.at)
        return detour(*arguments)

    monkeypatch.setattr(scene.context.paths, "detour", count)
    return searched


def test_a_stream_without_a_detour_searches_twice_a_second(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    leave_without_replacement(scene)
    searched = count_searches(scene, monkeypatch)
    for _ in range(100):
        scene.advance(LEAVE_RETRY_SECONDS / 25)
    assert 2 <= len(searched) <= 6


def test_searches_end_when_the_stage_no_longer_leaves(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    leaving = leave_without_replacement(scene)
    searched = count_searches(scene, monkeypatch)
    leaving.leaving = False
    for _ in range(10):
        scene.advance(LEAVE_RETRY_SECONDS)
    assert searched == []
