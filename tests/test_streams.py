"""Streams move off leaving, slow and dead stages, spread over time, and only where others have room."""

import random
from types import SimpleNamespace
from typing import Any

import pytest

from bayglade import path_waiting, runs, streams
from bayglade import paths as paths_module
from bayglade.admission_levels import admit_everything
from bayglade.calls import CallHead
from bayglade.control import RerouteOutcome
from bayglade.exceptions import BackendError, BackendRefused, NoRoute, Overloaded
from bayglade.fleet import Fleet
from bayglade.ids import HallName, RequestId
from bayglade.metrics import create_metrics
from bayglade.paths import PathSelector
from bayglade.quarantine import Quarantine
from bayglade.refusals import Refusals
from bayglade.relay import MAX_UNREACHABLE, Attempts
from bayglade.retry_ledger import RetryBound, RetryLedger
from bayglade.room_forecast import CapacityEstimates
from bayglade.runs import LEAVE_SPREAD_SECONDS, Run, leave_departing_stages
from bayglade.servers import ENDED_AFTER_SECONDS
from bayglade.service_reports import ServiceReports
from bayglade.streams import FULL_STAGE_SECONDS, STALL_POLL_SECONDS, _record_failure
from tests.links import sound_links
from tests.test_tiling import SERVICE, pipeline, place_servers, servers


class Scene:
    """A stream on a path, and a control that accepts or rejects reroutes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, moved: bool = True) -> None:
        self.at = 100.0
        monkeypatch.setattr(runs, "now", lambda: self.at)
        monkeypatch.setattr(streams, "now", lambda: self.at)
        monkeypatch.setattr(path_waiting, "now", lambda: self.at)
        self.model = pipeline()
        self.fleet = Fleet()
        held = place_servers(servers(a={"big": 1, "middle": 5, "small": 8}), self.model)
        self.fleet.apply_changes([server.facts for server in held], [], outage=False)
        self.ledger = RetryLedger(RetryBound(0.1, 100.0, 10.0))
        self.rerouted: list[Any] = []
        control = SimpleNamespace(reroute=self._reroute)
        paths = PathSelector(self.fleet, HallName("a"))
        self.context: Any = SimpleNamespace(
            **sound_links(),
            fleet=self.fleet,
            paths=paths,
            control=control,
            rng=random.Random(1),
            without=frozenset(),
            capacity=CapacityEstimates(),
            reports=ServiceReports(),
            admission=admit_everything(create_metrics(None, "")),
            refusals=Refusals(),
            retry_ledger=lambda service: self.ledger,
            note_request=lambda service: self.ledger.note_request(),
            borrow=lambda service, ledger: None,
            metrics=SimpleNamespace(count=lambda name: None),
        )
        self.context.quarantine = Quarantine(b"key", random.Random(1))
        self.call: Any = SimpleNamespace(
            service=SERVICE,
            endpoint=SimpleNamespace(max_attempts=2, timeout=10.0, name="r"),
            forwarded=False,
            earlier_servers=(),
            sent_before=False,
            must_forward=False,
        )
        self.call.fingerprint, self.call.part_fingerprints, self.call.priority = None, None, 0
        self.call.group, self.call.method, self.call.target, self.call.body = "g", "POST", b"/x", b"prompt"
        self.moved = moved
        path = paths.choose(SERVICE, self.model, self.model.typical_request())
        assert path is not None
        paths.reserve(path, self.model)
        self.call.at_most_once, self.call.trial_of = False, None
        self.call.head = CallHead(id=RequestId("r"), host="h", prompt_tokens=700, max_answer_tokens=100)
        self.run = Run(path, Attempts(self.call))

    def _reroute(self, *arguments: Any) -> RerouteOutcome:
        self.rerouted.append(arguments)
        return RerouteOutcome(self.moved)

    def advance(self, seconds: float = 0.0) -> None:
        self.at += seconds
        leave_departing_stages(self.context, self.call, self.model, self.run)

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
    scene.advance()
    leaving = scene.paired_stage()
    scene.fleet.mark_leaving(leaving, "listed")
    scene.advance()
    scene.advance(LEAVE_SPREAD_SECONDS)
    assert len(scene.rerouted) == 1
    assert leaving not in scene.run.path.servers
    scene.advance(LEAVE_SPREAD_SECONDS)
    assert len(scene.rerouted) == 1


def test_a_stream_that_cannot_be_moved_stays(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch, moved=False)
    before = scene.run.path
    scene.fleet.mark_leaving(scene.paired_stage(), "listed")
    scene.advance()
    for _ in range(3):
        scene.advance(LEAVE_SPREAD_SECONDS)
    assert len(scene.rerouted) == 1
    assert scene.run.path is before


def test_a_stream_is_moved_once_others_hold_the_layers_of_a_leaving_stage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each stage of a release left as the only one with its layers; others had loaded them 2 s later.

    The streams on it searched for a detour once, found none, and stayed until the stage terminated 4 s
    after its notice. Then all searched at the same moment, and some were cut although the release was
    planned.
    """
    scene = Scene(monkeypatch)
    scene.advance()
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
    scene.advance()
    scene.advance(LEAVE_SPREAD_SECONDS)
    scene.advance(LEAVE_SPREAD_SECONDS)
    assert scene.rerouted == []
    for twin in twins:
        twin.excluded = None
    scene.advance(LEAVE_SPREAD_SECONDS)
    assert len(scene.rerouted) == 1
    assert leaving not in scene.run.path.servers


def test_a_leaving_first_stage_keeps_its_streams(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    scene.fleet.mark_leaving(scene.run.path.servers[0], "listed")
    scene.advance()
    scene.advance(LEAVE_SPREAD_SECONDS)
    assert scene.rerouted == []


class Refused:
    """A call that a stage of its path rejected."""

    def __init__(self, scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
        self.scene = scene
        self.examined: list[Any] = []
        diagnosis = SimpleNamespace(probe=self.examined.append)
        scene.context.diagnosis = diagnosis
        monkeypatch.setattr(streams.eventlet, "spawn_n", lambda act, *arguments: act(*arguments))
        monkeypatch.setattr(paths_module, "now", lambda: scene.at)

    def by(self, server: Any) -> frozenset[Any]:
        error = BackendRefused("full", step="answer", peer="p", at_fault=server.facts.address)
        return _record_failure(self.scene.context, self.scene.call, self.scene.run, error)


def test_a_stage_that_did_not_take_part_is_probed(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    refused = Refused(scene, monkeypatch)
    behind = scene.run.path.servers[2]
    assert refused.by(behind) == {behind.facts.id}
    assert refused.examined == [[behind]]


def test_a_first_stage_that_rejects_a_call_is_not_probed(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    refused = Refused(scene, monkeypatch)
    refused.by(scene.run.path.servers[0])
    assert refused.examined == []


def test_a_stage_that_rejected_a_call_counts_as_full_for_a_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    refused = Refused(scene, monkeypatch)
    full = scene.run.path.servers[-1]

    def chosen() -> Any:
        return scene.context.paths.choose(SERVICE, scene.model, scene.model.typical_request())

    assert full in chosen().servers
    refused.by(full)
    path = chosen()
    assert path is None or full not in path.servers
    scene.at += FULL_STAGE_SECONDS
    assert full in chosen().servers


def test_a_stream_leaves_a_stage_that_became_slow_and_releases_its_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    slow = scene.paired_stage()
    scene.fleet.update_pace(slow, 12.0)
    runs.leave_slow_stages(scene.context, scene.call, scene.model, scene.run)
    assert slow not in scene.run.path.servers
    assert slow.cached == 0
    assert all(server.cached > 0 for server in scene.run.path.servers)
    scene.run.path.release()
    assert all(server.cached == 0 and server.in_flight == 0 for server in scene.fleet.of_service(SERVICE))


def test_a_stream_stays_on_a_stage_that_was_slow_from_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    scene.fleet.update_pace(scene.paired_stage(), 12.0)
    scene.run = Run(scene.run.path, Attempts(scene.call))
    runs.leave_slow_stages(scene.context, scene.call, scene.model, scene.run)
    assert scene.rerouted == []


@pytest.mark.parametrize(
    ("begun", "at_most_once", "leaves"), [(False, False, True), (True, False, False), (False, True, False)]
)
def test_a_request_leaves_a_first_stage_that_became_slow_only_before_its_first_event(
    begun: bool, at_most_once: bool, leaves: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    scene = Scene(monkeypatch)
    # Another hall can begin the answer.
    held = place_servers(servers(b={"big": 3, "middle": 3, "small": 5}), scene.model)
    scene.fleet.apply_changes([server.facts for server in held], [], outage=False)
    scene.call.at_most_once = at_most_once
    scene.run.begun = begun
    scene.fleet.update_pace(scene.run.path.servers[0], 12.0)
    if leaves:
        with pytest.raises(BackendError):
            runs.leave_slow_stages(scene.context, scene.call, scene.model, scene.run)
    else:
        runs.leave_slow_stages(scene.context, scene.call, scene.model, scene.run)


def silence_first_stage(scene: Scene, begun: bool = True) -> None:
    """Let the first stage of the stream be found silent."""
    held = place_servers(servers(b={"big": 3, "middle": 3, "small": 5}), scene.model)
    scene.fleet.apply_changes([server.facts for server in held], [], outage=False)
    scene.call.seconds_left = lambda: 10.0
    scene.run.begun = begun
    head = scene.run.path.servers[0]
    assert scene.fleet.mark_suspect(head, "silent")
    head.suspect_since = scene.at


def investigate(scene: Scene) -> None:
    runs.investigate_stall(scene.context, scene.call, scene.model, scene.run, 0.1)


def test_a_stream_whose_first_stage_is_silent_continues_elsewhere(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    silence_first_stage(scene)
    with pytest.raises(BackendError):
        investigate(scene)


def test_a_stream_that_cannot_be_resent_survives_a_moment_of_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    silence_first_stage(scene)
    scene.ledger.bound = RetryBound(0.0, 0.0, 10.0)
    investigate(scene)
    scene.at += ENDED_AFTER_SECONDS
    with pytest.raises(BackendError):
        investigate(scene)


def test_a_stream_with_no_room_elsewhere_survives_a_moment_of_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    silence_first_stage(scene)
    for server in scene.fleet.of_service(SERVICE):
        server.cached += 1e9
    investigate(scene)


def test_a_stream_that_no_other_stage_can_take_survives_a_moment_of_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch, moved=False)
    scene.call.seconds_left = lambda: 10.0
    scene.ledger.bound = RetryBound(0.0, 0.0, 10.0)
    silent = scene.paired_stage()
    assert scene.fleet.mark_suspect(silent, "silent")
    silent.suspect_since = scene.at
    investigate(scene)
    assert len(scene.rerouted) == 1
    scene.at += ENDED_AFTER_SECONDS
    with pytest.raises(BackendError):
        investigate(scene)


def test_a_stalled_stream_checks_for_dead_stages_before_its_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    scene.call.deadline = scene.at + 10.0
    timeout = 3 * STALL_POLL_SECONDS
    since = scene.at
    polls = []
    while not streams._stalled(scene.call, since, timeout):
        scene.at = streams._next_poll_at(scene.call, since, timeout)
        polls.append(scene.at - since)
    assert polls == pytest.approx([STALL_POLL_SECONDS, 2 * STALL_POLL_SECONDS, timeout])
    assert not scene.run.should_leave_dead_stage()
    scene.run.path.servers[-1].suspect = True
    assert scene.run.should_leave_dead_stage()
    # A stream that was just moved is not moved again for a moment.
    scene.run.next_move_at = scene.at + 0.1
    assert not scene.run.should_leave_dead_stage()


def test_a_first_stage_whose_connection_broke_is_probed_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    probed: list[Any] = []
    scene.context.diagnosis = SimpleNamespace(probe_again=probed.append)
    monkeypatch.setattr(streams.eventlet, "spawn_n", lambda act, servers: act(servers))
    error = BackendError("the connection broke", step="receive", peer="s")
    _record_failure(scene.context, scene.call, scene.run, error)
    assert probed == [[scene.run.path.servers[0]]]


def test_a_stream_whose_stages_are_found_terminated_is_given_up_soon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    scene.run.path.release()
    checks = 0

    def ended(context: Any, call: Any, stages: Any) -> frozenset[Any]:
        nonlocal checks
        checks += 1
        assert checks < 50
        return frozenset({stages[-1].facts.id})

    monkeypatch.setattr(streams, "refusing_stages", ended)
    scene.call.seconds_left, scene.call.deadline, scene.call.arrived = lambda: 10.0, 1000.0, scene.at
    scene.context.wait_queues = SimpleNamespace(
        charge=lambda call: None,
        has_waiters=lambda service: False,
        expected_wait=lambda service: 0.0,
        wait=lambda *_, **options: None,
    )
    with pytest.raises((NoRoute, Overloaded)):
        streams.relay_stream(
            scene.context, scene.call, scene.model, SimpleNamespace(response_started=False)
        )  # type: ignore[arg-type]
    assert checks <= MAX_UNREACHABLE + 1
    assert all(server.in_flight == 0 and server.cached == 0 for server in scene.fleet.of_service(SERVICE))


def test_a_stage_that_crashes_while_a_stream_is_moved_to_it_crashes_under_that_stream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    moved_at = scene.at

    def reroute(*_: Any) -> RerouteOutcome:
        # Some requests crash a server within 35 ms, and the answer to the order may take longer.
        scene.at += 0.3
        return RerouteOutcome(True)

    scene.context.control = SimpleNamespace(reroute=reroute)
    scene.run.avoided = frozenset({scene.run.path.servers[1].facts.id})
    assert runs._leave_avoided_stages(scene.context, scene.call, scene.model, scene.run, "dead")
    assert scene.run.path_since <= moved_at
