"""Streams: moved off stages that leave, spread over time, and only where that can be done."""

import random
from types import SimpleNamespace
from typing import Any

import pytest

from bayglade import pathfinding, streams
from bayglade import paths as paths_module
from bayglade.control import RerouteOutcome
from bayglade.exceptions import BackendRefused
from bayglade.fleet import Fleet
from bayglade.ids import HallName
from bayglade.paths import Paths
from bayglade.streams import LEAVE_SPREAD_SECONDS, SHORT_SECONDS, Run, _leave_stages, _note_failure
from tests.test_tiling import SERVICE, pipeline, placed, servers


class Scene:
    """A stream on a path, and a control that takes reroutes or refuses them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, moved: bool = True) -> None:
        self.at = 100.0
        monkeypatch.setattr(streams, "now", lambda: self.at)
        self.model = pipeline()
        self.fleet = Fleet()
        held = placed(servers(a={"big": 1, "middle": 5, "small": 8}), self.model)
        self.fleet.take([server.facts for server in held], [], outage=False)
        self.rerouted: list[Any] = []
        control = SimpleNamespace(reroute=self._reroute)
        paths = Paths(self.fleet, HallName("a"))
        self.peers: Any = SimpleNamespace(
            fleet=self.fleet, paths=paths, control=control, rng=random.Random(1)
        )
        self.call: Any = SimpleNamespace(service=SERVICE, head=SimpleNamespace(id="r"))
        self.moved = moved
        path = paths.choose(SERVICE, self.model)
        assert path is not None
        self.run = Run(path, exchange=None)  # type: ignore[arg-type]

    def _reroute(self, *arguments: Any) -> RerouteOutcome:
        self.rerouted.append(arguments)
        return RerouteOutcome(self.moved)

    def look(self, seconds: float = 0.0) -> None:
        self.at += seconds
        _leave_stages(self.peers, self.call, self.model, self.run)

    def paired_stage(self) -> Any:
        """Return a stage behind the first whose layers another server holds as well."""
        for server in self.run.path.servers[1:]:
            twins = [
                other
                for other in self.fleet.of(SERVICE)
                if other not in (server, self.run.path.servers[0])
                and (other.facts.first, other.facts.last) == (server.facts.first, server.facts.last)
            ]
            if twins:
                return server
        raise AssertionError("no pair on the path")


def test_a_stream_is_moved_off_a_leaving_stage_within_the_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    scene.look()
    leaving = scene.paired_stage()
    scene.fleet.mark_leaving(leaving, "listed")
    scene.look()
    scene.look(LEAVE_SPREAD_SECONDS)
    assert len(scene.rerouted) == 1
    assert leaving not in scene.run.path.servers
    scene.look(LEAVE_SPREAD_SECONDS)
    assert len(scene.rerouted) == 1


def test_a_stream_that_cannot_be_moved_stays(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch, moved=False)
    before = scene.run.path
    scene.fleet.mark_leaving(scene.paired_stage(), "listed")
    scene.look()
    for _ in range(3):
        scene.look(LEAVE_SPREAD_SECONDS)
    assert len(scene.rerouted) == 1
    assert scene.run.path is before


def test_a_leaving_first_stage_keeps_its_streams(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    scene.fleet.mark_leaving(scene.run.path.servers[0], "listed")
    scene.look()
    scene.look(LEAVE_SPREAD_SECONDS)
    assert scene.rerouted == []


class Refused:
    """A call whose sending was turned away by a stage of its path."""

    def __init__(self, scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
        self.scene = scene
        self.examined: list[Any] = []
        diagnosis = SimpleNamespace(examine=self.examined.append)
        scene.peers.diagnosis = diagnosis
        monkeypatch.setattr(streams.eventlet, "spawn_n", lambda act, *arguments: act(*arguments))
        monkeypatch.setattr(paths_module, "now", lambda: scene.at)
        monkeypatch.setattr(pathfinding, "now", lambda: scene.at)

    def by(self, server: Any) -> frozenset[Any]:
        error = BackendRefused("full", step="answer", peer="p", at_fault=server.facts.address)
        return _note_failure(self.scene.peers, self.scene.call, self.scene.run.path, error)


def test_a_stage_that_did_not_take_part_is_asked_whether_it_lives(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    refused = Refused(scene, monkeypatch)
    behind = scene.run.path.servers[2]
    assert refused.by(behind) == {behind.facts.id}
    assert refused.examined == [[behind]]


def test_a_first_stage_that_refuses_has_answered_and_is_not_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    refused = Refused(scene, monkeypatch)
    refused.by(scene.run.path.servers[0])
    assert refused.examined == []


def test_a_path_whose_stage_turned_a_call_away_counts_as_full_for_a_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    refused = Refused(scene, monkeypatch)
    assert not scene.peers.paths.full(scene.run.path)
    refused.by(scene.run.path.servers[2])
    assert scene.peers.paths.full(scene.run.path)
    scene.at += SHORT_SECONDS
    assert not scene.peers.paths.full(scene.run.path)
