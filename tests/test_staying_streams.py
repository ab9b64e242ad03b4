"""A begun stream stays on its first stage while nobody else holds the layers of a stage that has ended."""

from typing import Any

import pytest

from bayglade import runs
from bayglade.exceptions import BackendError
from bayglade.runs import MOVE_PAUSE, STAY_SECONDS
from tests.test_streams import Scene, look_into


@pytest.fixture
def scene(monkeypatch: pytest.MonkeyPatch) -> Scene:
    made = Scene(monkeypatch)
    made.call.seconds_left = lambda: 10.0
    made.run.begun = True
    made.budget.floor = made.budget.fraction = 0.0
    return made


def end(scene: Scene, stage: Any) -> None:
    """Let a stage be known to have ended, and nobody else have its layers."""
    assert scene.fleet.mark_suspect(stage, "ended")
    stage.connection_refused = True
    for other in others(scene):
        other.excluded = "not loaded yet"


def others(scene: Scene) -> list[Any]:
    return [server for server in scene.fleet.servers.values() if server not in scene.run.path.servers]


def load(scene: Scene) -> None:
    for other in others(scene):
        other.excluded = None


def test_it_goes_on_once_others_hold_the_layers(scene: Scene) -> None:
    end(scene, ended := scene.paired_stage())
    look_into(scene)
    assert scene.rerouted == []
    load(scene)
    scene.at += STAY_SECONDS
    look_into(scene)
    assert len(scene.rerouted) == 1
    assert ended not in scene.run.path.servers


def test_it_does_not_seek_others_all_the_time(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
    end(scene, scene.paired_stage())
    look_into(scene)
    monkeypatch.setattr(scene.peers.paths, "detour", lambda *_: pytest.fail("it looked again at once"))
    scene.at += STAY_SECONDS / 2
    assert not scene.run.on_dead_stage()
    look_into(scene)
    scene.at += STAY_SECONDS
    assert scene.run.on_dead_stage()


def test_it_ends_when_its_first_stage_has_ended_too(scene: Scene) -> None:
    end(scene, scene.paired_stage())
    end(scene, scene.run.path.servers[0])
    with pytest.raises(BackendError):
        look_into(scene)


def test_it_ends_when_it_has_no_event_yet(scene: Scene) -> None:
    scene.run.begun = False
    end(scene, scene.paired_stage())
    with pytest.raises(BackendError):
        look_into(scene)


def test_it_ends_when_its_request_is_stopped(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
    end(scene, scene.paired_stage())
    look_into(scene)
    monkeypatch.setattr(scene.peers.quarantine, "holds", lambda call: True)
    scene.at += STAY_SECONDS
    with pytest.raises(BackendError):
        look_into(scene)


def test_a_move_that_its_first_stage_refused_is_tried_again(scene: Scene) -> None:
    end(scene, scene.paired_stage())
    load(scene)
    scene.moved = False
    look_into(scene)
    assert len(scene.rerouted) == 1
    scene.moved = True
    scene.at += max(MOVE_PAUSE, STAY_SECONDS)
    runs.look_into(scene.peers, scene.call, scene.model, scene.run, 0.1)
    assert len(scene.rerouted) == 2
