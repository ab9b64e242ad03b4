"""A begun stream stays on its first stage while no other server holds the layers of a terminated stage."""

from typing import Any

import pytest

from bayglade import runs
from bayglade.exceptions import BackendError
from bayglade.retry_ledger import RetryBound
from bayglade.runs import DETOUR_RETRY_SECONDS, MIN_MOVE_INTERVAL
from tests.test_streams import Scene, investigate


@pytest.fixture
def scene(monkeypatch: pytest.MonkeyPatch) -> Scene:
    made = Scene(monkeypatch)
    made.call.seconds_left = lambda: 10.0
    made.run.begun = True
    made.ledger.bound = RetryBound(0.0, 0.0, 10.0)
    return made


def terminate(scene: Scene, stage: Any) -> None:
    """Let a stage be known as terminated, while no other server holds its layers."""
    assert scene.fleet.mark_suspect(stage, "ended")
    stage.connection_refused = True
    for other in others(scene):
        other.excluded = "not loaded yet"


def others(scene: Scene) -> list[Any]:
    return [server for server in scene.fleet.servers.values() if server not in scene.run.path.servers]


def load(scene: Scene) -> None:
    for other in others(scene):
        other.excluded = None


def test_it_continues_once_others_hold_the_layers(scene: Scene) -> None:
    terminate(scene, terminated := scene.paired_stage())
    investigate(scene)
    assert scene.rerouted == []
    load(scene)
    scene.at += DETOUR_RETRY_SECONDS
    investigate(scene)
    assert len(scene.rerouted) == 1
    assert terminated not in scene.run.path.servers


def test_it_does_not_search_for_a_detour_all_the_time(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    terminate(scene, scene.paired_stage())
    investigate(scene)
    monkeypatch.setattr(scene.context.paths, "detour", lambda *_: pytest.fail("searched again at once"))
    scene.at += DETOUR_RETRY_SECONDS / 2
    assert not scene.run.should_leave_dead_stage()
    investigate(scene)
    scene.at += DETOUR_RETRY_SECONDS
    assert scene.run.should_leave_dead_stage()


def test_it_fails_if_its_first_stage_has_terminated_too(scene: Scene) -> None:
    terminate(scene, scene.paired_stage())
    terminate(scene, scene.run.path.servers[0])
    with pytest.raises(BackendError):
        investigate(scene)


def test_it_fails_if_it_has_no_event_yet(scene: Scene) -> None:
    scene.run.begun = False
    terminate(scene, scene.paired_stage())
    with pytest.raises(BackendError):
        investigate(scene)


def test_it_fails_if_its_request_is_stopped(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
    terminate(scene, scene.paired_stage())
    investigate(scene)
    monkeypatch.setattr(scene.context.quarantine, "is_stopped", lambda call: True)
    scene.at += DETOUR_RETRY_SECONDS
    with pytest.raises(BackendError):
        investigate(scene)


def test_a_move_that_its_first_stage_rejected_is_retried(scene: Scene) -> None:
    terminate(scene, scene.paired_stage())
    load(scene)
    scene.moved = False
    investigate(scene)
    assert len(scene.rerouted) == 1
    scene.moved = True
    scene.at += max(MIN_MOVE_INTERVAL, DETOUR_RETRY_SECONDS)
    runs.investigate_stall(scene.context, scene.call, scene.model, scene.run, 0.1)
    assert len(scene.rerouted) == 2
