"""Streams: moved off stages that leave, spread over time, and only where that can be done."""

import random
from types import SimpleNamespace
from typing import Any

import pytest

from bayglade import paths as paths_module
from bayglade import runs, streams
from bayglade.calls import CallHead
from bayglade.control import RerouteOutcome
from bayglade.exceptions import BackendError, BackendRefused, NoRoute, Overloaded
from bayglade.fleet import Fleet
from bayglade.ids import HallName, RequestId
from bayglade.paths import Paths
from bayglade.quarantine import Quarantine
from bayglade.relay import MAX_UNREACHED, Attempts
from bayglade.retries import RetryBudget
from bayglade.runs import LEAVE_SPREAD_SECONDS, Run, leave_planned
from bayglade.servers import ENDED_AFTER_SECONDS
from bayglade.streams import GLANCE_SECONDS, SHORT_SECONDS, _note_failure
from tests.test_tiling import SERVICE, pipeline, place_servers, servers


class Scene:
    """A stream on a path, and a control that takes reroutes or refuses them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, moved: bool = True) -> None:
        self.at = 100.0
        monkeypatch.setattr(runs, "now", lambda: self.at)
        monkeypatch.setattr(streams, "now", lambda: self.at)
        self.model = pipeline()
        self.fleet = Fleet()
        held = place_servers(servers(a={"big": 1, "middle": 5, "small": 8}), self.model)
        self.fleet.apply_changes([server.facts for server in held], [], outage=False)
        self.budget = RetryBudget(floor=100.0)
        self.rerouted: list[Any] = []
        control = SimpleNamespace(reroute=self._reroute)
        paths = Paths(self.fleet, HallName("a"))
        self.peers: Any = SimpleNamespace(
            fleet=self.fleet,
            paths=paths,
            control=control,
            rng=random.Random(1),
            without=frozenset(),
            budget=lambda service: self.budget,
            borrow=lambda service, budget: None,
            metrics=SimpleNamespace(count=lambda name: None),
        )
        self.peers.quarantine = Quarantine(b"key", random.Random(1))
        self.call: Any = SimpleNamespace(service=SERVICE, endpoint=SimpleNamespace(max_attempts=2))
        self.call.fingerprint = None
        self.call.group, self.call.method, self.call.target, self.call.body = "g", "POST", b"/x", b"prompt"
        self.moved = moved
        path = paths.choose(SERVICE, self.model, self.model.typical_request())
        assert path is not None
        paths.take(path, self.model)
        self.call.once = False
        self.call.head = CallHead(id=RequestId("r"), host="h", prompt_tokens=700, answer_tokens=100)
        self.run = Run(path, Attempts(self.call))

    def _reroute(self, *arguments: Any) -> RerouteOutcome:
        self.rerouted.append(arguments)
        return RerouteOutcome(self.moved)

    def look(self, seconds: float = 0.0) -> None:
        self.at += seconds
        leave_planned(self.peers, self.call, self.model, self.run)

    def paired_stage(self) -> Any:
        """Return a stage behind the first whose layers another server holds as well."""
        for server in self.run.path.servers[1:]:
            twins = [
                other
                for other in self.fleet.of_service(SERVICE)
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


def test_a_stream_is_moved_once_others_hold_the_layers_of_a_leaving_stage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Stages of a release left one after the other, each the only one with its layers until others had
    loaded them, two seconds later. The streams there sought another way once, found none, and stayed until
    the stage ended; then all sought one at the same time, and some were cut though the release was planned:

        26.228  server leaving  i-7ccb2fee22  listed
        26.240  order given  i-410caf4511  41 to 47
        30.195  attempt failed  no other stages for those of a dead one
        31.607  request failed  cut true
    """
    scene = Scene(monkeypatch)
    scene.look()
    leaving = scene.paired_stage()
    twins = [
        server
        for server in scene.fleet.of_service(SERVICE)
        if server is not leaving
        and (server.facts.first, server.facts.last) == (leaving.facts.first, leaving.facts.last)
    ]
    for twin in twins:
        twin.excluded = "not loaded yet"
    scene.fleet.mark_leaving(leaving, "listed")
    scene.look()
    scene.look(LEAVE_SPREAD_SECONDS)
    scene.look(LEAVE_SPREAD_SECONDS)
    assert scene.rerouted == []
    for twin in twins:
        twin.excluded = None
    scene.look(LEAVE_SPREAD_SECONDS)
    assert len(scene.rerouted) == 1
    assert leaving not in scene.run.path.servers


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

    def by(self, server: Any) -> frozenset[Any]:
        error = BackendRefused("full", step="answer", peer="p", at_fault=server.facts.address)
        return _note_failure(self.scene.peers, self.scene.call, self.scene.run, error)


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


def test_a_stage_that_turned_a_call_away_counts_as_full_for_a_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    refused = Refused(scene, monkeypatch)
    full = scene.run.path.servers[-1]

    def chosen() -> Any:
        return scene.peers.paths.choose(SERVICE, scene.model, scene.model.typical_request())

    assert full in chosen().servers
    refused.by(full)
    path = chosen()
    assert path is None or full not in path.servers
    scene.at += SHORT_SECONDS
    assert full in chosen().servers


def test_a_stream_leaves_a_stage_that_turned_slow_and_gives_its_place_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    slow = scene.paired_stage()
    scene.fleet.update_pace(slow, 12.0)
    runs.leave_slow(scene.peers, scene.call, scene.model, scene.run)
    assert slow not in scene.run.path.servers
    assert slow.cached == 0
    assert all(server.cached > 0 for server in scene.run.path.servers)
    scene.run.path.release()
    assert all(server.cached == 0 and server.in_flight == 0 for server in scene.fleet.of_service(SERVICE))


def test_a_stream_stays_on_a_stage_that_was_slow_when_it_came(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    scene.fleet.update_pace(scene.paired_stage(), 12.0)
    scene.run = Run(scene.run.path, Attempts(scene.call))
    runs.leave_slow(scene.peers, scene.call, scene.model, scene.run)
    assert scene.rerouted == []


@pytest.mark.parametrize(
    ("begun", "once", "leaves"), [(False, False, True), (True, False, False), (False, True, False)]
)
def test_a_request_leaves_a_first_stage_that_turned_slow_only_before_its_first_event(
    begun: bool, once: bool, leaves: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    scene = Scene(monkeypatch)
    # Another hall can begin the answer.
    held = place_servers(servers(b={"big": 3, "middle": 3, "small": 5}), scene.model)
    scene.fleet.apply_changes([server.facts for server in held], [], outage=False)
    scene.call.once = once
    scene.run.begun = begun
    scene.fleet.update_pace(scene.run.path.servers[0], 12.0)
    if leaves:
        with pytest.raises(BackendError):
            runs.leave_slow(scene.peers, scene.call, scene.model, scene.run)
    else:
        runs.leave_slow(scene.peers, scene.call, scene.model, scene.run)


def dead_head(scene: Scene, begun: bool = True) -> None:
    """Let the first stage of the stream be found silent."""
    held = place_servers(servers(b={"big": 3, "middle": 3, "small": 5}), scene.model)
    scene.fleet.apply_changes([server.facts for server in held], [], outage=False)
    scene.call.seconds_left = lambda: 10.0
    scene.run.begun = begun
    head = scene.run.path.servers[0]
    assert scene.fleet.mark_suspect(head, "silent")
    head.suspect_since = scene.at


def look_into(scene: Scene) -> None:
    runs.look_into(scene.peers, scene.call, scene.model, scene.run, 0.1)


def test_a_stream_whose_first_stage_is_silent_goes_on_elsewhere(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    dead_head(scene)
    with pytest.raises(BackendError):
        look_into(scene)


def test_a_stream_that_cannot_be_sent_again_is_not_ended_for_a_moment_of_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    dead_head(scene)
    scene.budget.floor = scene.budget.fraction = 0.0
    look_into(scene)
    scene.at += ENDED_AFTER_SECONDS
    with pytest.raises(BackendError):
        look_into(scene)


def test_a_stream_with_no_room_elsewhere_is_not_ended_for_a_moment_of_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    dead_head(scene)
    for server in scene.fleet.of_service(SERVICE):
        server.cached += 1e9
    look_into(scene)


def test_a_stream_that_no_other_stage_can_take_is_not_ended_for_a_moment_of_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch, moved=False)
    scene.call.seconds_left = lambda: 10.0
    scene.budget.floor = scene.budget.fraction = 0.0
    silent = scene.paired_stage()
    assert scene.fleet.mark_suspect(silent, "silent")
    silent.suspect_since = scene.at
    look_into(scene)
    assert len(scene.rerouted) == 1
    scene.at += ENDED_AFTER_SECONDS
    with pytest.raises(BackendError):
        look_into(scene)


def test_a_stream_that_stands_still_looks_for_dead_stages_before_its_patience_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    scene.call.deadline = scene.at + 10.0
    patience = 3 * GLANCE_SECONDS
    since = scene.at
    glances = []
    while not streams._waited(scene.call, since, patience):
        scene.at = streams._glance_until(scene.call, since, patience)
        glances.append(scene.at - since)
    assert glances == pytest.approx([GLANCE_SECONDS, 2 * GLANCE_SECONDS, patience])
    assert not scene.run.on_dead_stage()
    scene.run.path.servers[-1].suspect = True
    assert scene.run.on_dead_stage()
    # One that was moved just now is left alone for a moment.
    scene.run.move_at = scene.at + 0.1
    assert not scene.run.on_dead_stage()


def test_a_first_stage_whose_connection_broke_is_asked_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    asked: list[Any] = []
    scene.peers.diagnosis = SimpleNamespace(examine_anew=asked.append)
    monkeypatch.setattr(streams.eventlet, "spawn_n", lambda act, servers: act(servers))
    error = BackendError("the connection broke", step="receive", peer="s")
    _note_failure(scene.peers, scene.call, scene.run, error)
    assert asked == [[scene.run.path.servers[0]]]


def test_a_stream_whose_stages_turn_out_to_have_ended_is_given_up_soon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    scene.run.path.release()
    looks = 0

    def ended(peers: Any, call: Any, stages: Any) -> frozenset[Any]:
        nonlocal looks
        looks += 1
        assert looks < 50
        return frozenset({stages[-1].facts.id})

    monkeypatch.setattr(streams, "ended_stages", ended)
    scene.call.seconds_left, scene.call.deadline, scene.call.arrived = lambda: 10.0, 1000.0, scene.at
    scene.peers.wait_queues = SimpleNamespace(
        charge=lambda call: None,
        busy=lambda service: False,
        expected_seconds=lambda service: 0.0,
        wait=lambda *_, **options: None,
    )
    with pytest.raises((NoRoute, Overloaded)):
        streams.relay_stream(scene.peers, scene.call, scene.model, SimpleNamespace(response_started=False))  # type: ignore[arg-type]
    assert looks <= MAX_UNREACHED + 1
    assert all(server.in_flight == 0 and server.cached == 0 for server in scene.fleet.of_service(SERVICE))


def test_a_stage_that_ends_while_a_stream_is_moved_to_it_ends_under_that_stream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    moved_at = scene.at

    def reroute(*_: Any) -> RerouteOutcome:
        # Some of such requests end a server within 35 ms; the answer to the order may take longer.
        scene.at += 0.3
        return RerouteOutcome(True)

    scene.peers.control = SimpleNamespace(reroute=reroute)
    scene.run.avoided = frozenset({scene.run.path.servers[1].facts.id})
    assert runs._move(scene.peers, scene.call, scene.model, scene.run, "dead")
    assert scene.run.on_path_at <= moved_at
