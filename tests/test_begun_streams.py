"""Streams that have begun are retried until their deadline; only new calls are rejected early.

After a release of many servers, daemons cut streams whose callers were still waiting. They applied the
bounds for new calls: 1.5 s of waiting, the expected wait, the number of attempts, and the retry budget. A
new call that is rejected at once can go elsewhere, but a stream that has begun is cut off. Each of these
streams had more than 10 s left until its deadline, and room came moments later. One failed on a dead stage,
was resent after event 81 with 13.6 s left, was rejected with 503, and was cut after 1.5 s without room.
"""

import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import eventlet
import pytest

from bayglade import path_waiting, streams
from bayglade.admission_levels import admit_everything
from bayglade.calls import CallHead
from bayglade.clock import now
from bayglade.disconnects import CallerDisconnected
from bayglade.exceptions import (
    BackendError,
    BackendRefused,
    BaygladeError,
    CutOff,
    DeadlinePassed,
    NoRoute,
    Overloaded,
    Unauthenticated,
)
from bayglade.fleet import Fleet
from bayglade.ids import GroupPath, HallName, RequestId
from bayglade.metrics import create_metrics
from bayglade.paths import PathSelector
from bayglade.quarantine import Quarantine
from bayglade.refusals import Refusals
from bayglade.relay import MAX_SENDS, MAX_UNREACHABLE
from bayglade.retry_ledger import RetryBound, RetryLedger
from bayglade.room_forecast import CapacityEstimates
from bayglade.service_reports import ServiceReports
from bayglade.usage import Usage
from bayglade.wait_queues import WaitQueues
from tests.links import sound_links
from tests.test_tiling import SERVICE, pipeline, place_servers, servers

WAIT = 0.05
"""How long new calls wait for room in these tests, in seconds."""
LATER = 6 * WAIT
FULL = 1e9
"""Cache load, in tokens times layers, that exceeds the capacity of any server."""

Step = Callable[[], None]


class Scene:
    """A daemon with servers and wait queues, and one stream whose attempts end as the test specifies."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(path_waiting, "MAX_WAIT_SECONDS", WAIT)
        monkeypatch.setattr(streams, "_attempt", self._attempt)
        monkeypatch.setattr(streams, "_record_answer", lambda *_: None)
        self.model = pipeline()
        self.fleet = Fleet()
        held = place_servers(servers(a={"big": 1, "middle": 5, "small": 8}), self.model)
        self.fleet.apply_changes([server.facts for server in held], [], outage=False)
        self.ledger = RetryLedger(RetryBound(0.1, 100.0, 10.0))
        self.wait_queues = WaitQueues(Usage(), lambda group: (0, 1.0))
        self.tasks = [eventlet.spawn(self.wait_queues.run)]
        self.quarantine = Quarantine(b"key", random.Random(1))
        self.context: Any = SimpleNamespace(
            **sound_links(),
            fleet=self.fleet,
            paths=PathSelector(self.fleet, HallName("a")),
            wait_queues=self.wait_queues,
            quarantine=self.quarantine,
            diagnosis=SimpleNamespace(probe=lambda servers: None, probe_again=lambda servers: None),
            rng=random.Random(1),
            without=frozenset(),
            capacity=CapacityEstimates(),
            reports=ServiceReports(),
            admission=admit_everything(create_metrics(None, "")),
            refusals=Refusals(),
            retry_ledger=lambda service: self.ledger,
            note_request=lambda service: self.ledger.note_request(),
            borrow=lambda service, ledger: None,
            check_authorization=lambda call: None,
            metrics=SimpleNamespace(count=lambda name: None, observe=lambda name, seconds: None),
        )
        self.steps: list[Step] = []
        """How each attempt ends; any further one completes the answer."""

        self.attempts = 0
        self.error: BaygladeError | None = None

    def _attempt(self, context: Any, call: Any, model: Any, run: Any, delivery: Any, attempts: Any) -> None:
        attempts.begin_send(context, run.path.servers[0])
        self.attempts += 1
        self.delivery = delivery
        if len(self.steps) >= self.attempts:
            self.steps[self.attempts - 1]()

    def begin(self) -> None:
        """Deliver the first event to the caller."""
        self.delivery.begun = True
        self.delivery.last_sent_at = now()

    def break_off(self) -> None:
        """Fail an attempt of a stream that has begun."""
        self.begin()
        raise BackendError("a stage is dead", step="stream", peer="s")

    def break_off_full(self) -> None:
        """Fail an attempt of a stream that has begun, while no server has room."""
        self.fill()
        self.break_off()

    def refuse(self) -> None:
        """Let the first stage reject an attempt."""
        raise BackendRefused("the server answered 503", step="answer", peer="s")

    def fill(self, tokens: float = FULL) -> None:
        """Fill all servers, or empty them with a negative number."""
        for server in self.fleet.of_service(SERVICE):
            server.cached += tokens

    def unload(self, reason: str | None = "not loaded yet") -> None:
        """Exclude all servers, or include them again if no reason is given."""
        for server in self.fleet.of_service(SERVICE):
            server.excluded = reason

    def call(self, seconds: float = 10.0, group: str = "g") -> Any:
        at = now()
        call: Any = SimpleNamespace(
            service=SERVICE,
            endpoint=SimpleNamespace(max_attempts=2, timeout=10.0, name="r"),
            fingerprint=None,
            part_fingerprints=None,
            trial_of=None,
            group=GroupPath(group),
            priority=0,
            method="POST",
            target=b"/x",
            body=b"prompt",
            at_most_once=False,
            forwarded=False,
            earlier_servers=(),
            sent_before=False,
            must_forward=False,
            arrived=at,
            deadline=at + seconds,
        )
        call.head = CallHead(id=RequestId("r"), host="h", prompt_tokens=700, max_answer_tokens=100)
        call.seconds_left = lambda: call.deadline - now()
        return call

    def start(self, *steps: Step, seconds: float = 10.0) -> Any:
        """Serve a stream in a task of its own."""
        self.steps = list(steps)

        def serve() -> None:
            try:
                streams.relay_stream(
                    self.context,
                    self.call(seconds),
                    self.model,
                    SimpleNamespace(response_started=False),  # type: ignore[arg-type]
                )
            except BaygladeError as error:
                self.error = error

        task = eventlet.spawn(serve)
        self.tasks.append(task)
        return task

    def at_rest(self) -> bool:
        """Return whether all places were released and no request waits."""
        taken = any(server.cached or server.in_flight for server in self.fleet.of_service(SERVICE))
        return not taken and not self.wait_queues.waiting()

    def stop(self) -> None:
        for task in self.tasks:
            task.kill()


@pytest.fixture
def scene(monkeypatch: pytest.MonkeyPatch) -> Any:
    made = Scene(monkeypatch)
    yield made
    made.stop()


def served(scene: Scene, task: Any, seconds: float = 5.0) -> bool:
    with eventlet.Timeout(seconds):
        task.wait()
    return scene.error is None


def test_a_begun_stream_is_resumed_when_room_comes_later_than_new_calls_wait(scene: Scene) -> None:
    task = scene.start(scene.break_off_full)
    eventlet.sleep(LATER)
    assert scene.wait_queues.waiting() == 1
    scene.fill(-FULL)
    assert served(scene, task)
    assert scene.attempts == 2
    assert scene.at_rest()


def test_a_begun_stream_is_resumed_when_layers_are_loaded_again(scene: Scene) -> None:
    def broken_and_empty() -> None:
        scene.unload()
        scene.break_off()

    task = scene.start(broken_and_empty)
    eventlet.sleep(LATER)
    scene.unload(None)
    assert served(scene, task)
    assert scene.attempts == 2
    assert scene.at_rest()


def test_a_begun_stream_is_not_given_up_for_the_wait_that_is_expected(scene: Scene) -> None:
    scene.context.wait_queues.expected_wait = lambda service: 60.0
    task = scene.start(scene.break_off_full)
    eventlet.sleep(WAIT / 2)
    scene.fill(-FULL)
    assert served(scene, task)


def test_a_begun_stream_waits_for_the_retry_budget(scene: Scene) -> None:
    def broken_and_spent() -> None:
        scene.ledger.bound = RetryBound(0.0, 0.0, 10.0)
        scene.break_off()

    task = scene.start(broken_and_spent)
    eventlet.sleep(LATER)
    assert scene.attempts == 1
    # While it has no retry left, it reserves no place.
    assert scene.at_rest()
    scene.ledger.bound = RetryBound(0.0, 2.0, 10.0)
    assert served(scene, task)
    assert scene.attempts == 2


def test_a_begun_stream_is_forwarded_without_a_retry_of_its_own_daemon(scene: Scene) -> None:
    """The daemon that sends it to a server charges the retry."""
    forwarded: list[bool] = []

    def broken_and_isolated() -> None:
        scene.ledger.bound = RetryBound(0.0, 0.0, 10.0)
        scene.context.forwarding = SimpleNamespace(
            is_needed=lambda call: True, is_possible=lambda service: forwarded.append(True) or False
        )
        scene.break_off()

    scene.start(broken_and_isolated)
    eventlet.sleep(LATER)
    assert forwarded


def test_a_begun_stream_is_not_ended_by_the_number_of_rejections(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(streams, "FULL_STAGE_SECONDS", 0.01)
    monkeypatch.setattr(streams, "RETRY_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr(path_waiting, "RETRY_INTERVAL_SECONDS", 0.02)
    refusals = MAX_SENDS + 2
    task = scene.start(scene.break_off, *[scene.refuse] * refusals)
    assert served(scene, task)
    assert scene.attempts == refusals + 2


def test_a_begun_stream_that_is_rejected_repeatedly_pauses(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(streams, "FULL_STAGE_SECONDS", 0.0)
    task = scene.start(scene.break_off, *[scene.refuse] * 1000, seconds=1.0)
    with eventlet.Timeout(5.0):
        task.wait()
    assert isinstance(scene.error, DeadlinePassed)
    assert scene.attempts <= MAX_SENDS + 1.0 / streams.RETRY_INTERVAL_SECONDS + 1
    assert scene.at_rest()


def test_a_begun_stream_is_not_ended_by_stages_found_terminated(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(streams, "RETRY_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr(path_waiting, "RETRY_INTERVAL_SECONDS", 0.02)
    checks = 0

    def ended(context: Any, call: Any, stages: Any) -> frozenset[Any]:
        nonlocal checks
        checks += scene.attempts
        return frozenset({stages[-1].facts.id}) if 0 < checks <= MAX_UNREACHABLE + 3 else frozenset()

    monkeypatch.setattr(streams, "refusing_stages", ended)
    assert served(scene, scene.start(scene.break_off))
    assert checks > MAX_UNREACHABLE + 1
    assert scene.at_rest()


def cut_off(*_: object) -> None:
    raise CutOff("the data about keys is too old", step="intake")


def test_a_begun_stream_waits_while_keys_are_not_trusted(scene: Scene) -> None:
    def broken_and_cut_off() -> None:
        scene.context.check_authorization = cut_off
        scene.break_off()

    task = scene.start(broken_and_cut_off, cut_off)
    eventlet.sleep(LATER)
    assert scene.attempts == 1
    # Meanwhile it reserves no place.
    assert scene.at_rest()
    scene.context.check_authorization = lambda call: None
    assert served(scene, task)
    # The second attempt found the data about keys too old just before it was sent.
    assert scene.attempts == 3


def test_a_begun_stream_whose_key_was_revoked_is_not_resent(scene: Scene) -> None:
    def taken_away(call: Any) -> None:
        raise Unauthenticated("no client account has this key", step="authenticate")

    def broken_and_taken_away() -> None:
        scene.context.check_authorization = taken_away
        scene.break_off()

    task = scene.start(broken_and_taken_away)
    with eventlet.Timeout(2.0):
        task.wait()
    assert scene.error is not None
    assert scene.attempts == 1
    assert scene.at_rest()


def test_a_call_that_may_have_run_is_not_reported_as_not_run(scene: Scene) -> None:
    def broken() -> None:
        raise BackendError("the connection broke", step="receive", peer="s")

    task = scene.start(broken, cut_off)
    with eventlet.Timeout(2.0):
        task.wait()
    assert isinstance(scene.error, BackendError)


def test_a_begun_stream_ends_at_its_deadline(scene: Scene) -> None:
    task = scene.start(scene.break_off_full, seconds=LATER)
    with eventlet.Timeout(5.0):
        task.wait()
    assert isinstance(scene.error, DeadlinePassed)
    scene.fill(-FULL)
    assert scene.at_rest()


def test_a_caller_that_leaves_a_begun_stream_gives_up_its_turn_at_once(scene: Scene) -> None:
    task = scene.start(scene.break_off_full)
    eventlet.sleep(LATER)
    assert scene.wait_queues.waiting() == 1
    eventlet.kill(task, CallerDisconnected())
    eventlet.sleep(0)
    assert scene.wait_queues.waiting() == 0
    scene.fill(-FULL)
    scene.wait_queues.grant_places(SERVICE)
    eventlet.sleep(0)
    assert scene.attempts == 1
    assert scene.at_rest()


def test_a_begun_stream_whose_request_is_stopped_meanwhile_ends_at_once(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    task = scene.start(scene.break_off_full)
    eventlet.sleep(LATER)
    monkeypatch.setattr(scene.quarantine, "is_stopped", lambda call: True)
    with eventlet.Timeout(2.0):
        task.wait()
    assert scene.error is not None
    assert scene.attempts == 1
    assert scene.wait_queues.waiting() == 0


def test_a_stream_that_has_not_begun_is_rejected_early(scene: Scene) -> None:
    scene.fill()
    since = now()
    task = scene.start()
    with eventlet.Timeout(2.0):
        task.wait()
    assert isinstance(scene.error, Overloaded)
    assert now() - since < LATER


def test_a_stream_that_has_not_begun_is_rejected_at_once_if_layers_are_missing(scene: Scene) -> None:
    scene.unload()
    task = scene.start()
    with eventlet.Timeout(WAIT):
        task.wait()
    assert isinstance(scene.error, NoRoute)


def wait_in_queue(scene: Scene, order: list[str], name: str, group: str, begun: bool) -> None:
    def wait() -> None:
        call = scene.call(group=group)
        place = scene.wait_queues.wait(
            call, lambda: places.pop() if places else None, call.deadline, begun=begun
        )
        assert place is not None
        order.append(name)

    places = scene.__dict__.setdefault("places", [])
    scene.tasks.append(eventlet.spawn(wait))
    eventlet.sleep(0)


def test_begun_streams_go_first_in_their_own_account_and_not_before_the_share_of_another(
    scene: Scene,
) -> None:
    order: list[str] = []
    # The streams' account has used more service.
    scene.wait_queues.usage.charge(GroupPath("g"), 1000.0)
    for name, group, begun in [("new", "g", False), ("begun", "g", True), ("other", "h", False)]:
        wait_in_queue(scene, order, name, group, begun)
    for _ in range(3):
        scene.__dict__["places"].append(object())
        scene.wait_queues.grant_places(SERVICE)
        eventlet.sleep(0)
    assert order == ["other", "begun", "new"]
