"""Waiting requests get places in order of their shares, and release them if their caller disconnects."""

import random
from types import SimpleNamespace
from typing import Any

import eventlet
import pytest

from bayglade import wait_queues as queues_module
from bayglade.calls import CallHead
from bayglade.clock import now
from bayglade.disconnects import CallerDisconnected
from bayglade.ids import RequestId, ServiceName
from bayglade.usage import Usage
from bayglade.wait_queues import MAX_SKIPPED, WaitQueues

SERVICE = ServiceName("model")
LONG = 5.0


class Place:
    """A path, reduced to what the wait queues use."""

    def __init__(self) -> None:
        self.released = 0

    def release(self) -> None:
        self.released += 1


class Scene:
    """Wait queues, and places that become free as the test specifies."""

    def __init__(self) -> None:
        self.wait_queues = WaitQueues(Usage(), lambda group: (0, 1.0))
        self.free: list[Any] = []
        self.served: list[str] = []
        self.failed_attempts = 0
        """Attempts to reserve a place for restricted requests; none succeeds."""

    def enter(self, name: str, seconds: float = LONG, priority: int = 0, restricted: bool = False) -> Any:
        call: Any = SimpleNamespace(
            service=SERVICE,
            group=None,
            priority=priority,
            head=CallHead(id=RequestId(name), host="h", prompt_tokens=10, max_answer_tokens=10),
        )

        def wait() -> Any:
            try_reserve = self.try_reserve_in_vain if restricted else self.try_reserve
            path = self.wait_queues.wait(call, try_reserve, now() + seconds, restricted)
            if path is not None:
                self.served.append(name)
            return path

        task = eventlet.spawn(wait)
        eventlet.sleep(0)
        return task

    def try_reserve(self) -> Any:
        return self.free.pop(0) if self.free else None

    def try_reserve_in_vain(self) -> Any:
        self.failed_attempts += 1
        return None

    def end(self, places: int = 1) -> None:
        self.free += [Place() for _ in range(places)]
        self.wait_queues.note_completion(SERVICE)
        eventlet.sleep(0)


def test_places_are_granted_in_order_and_a_failed_attempt_loses_no_turn() -> None:
    scene = Scene()
    tasks = [scene.enter(name) for name in "abc"]
    for _ in range(3):
        scene.wait_queues.grant_places(SERVICE)
        eventlet.sleep(0)
    assert scene.served == []
    scene.end()
    assert scene.served == ["a"]
    scene.end(2)
    assert scene.served == ["a", "b", "c"]
    assert all(task.wait() is not None for task in tasks)


def test_a_more_urgent_request_goes_first() -> None:
    scene = Scene()
    scene.enter("usual")
    scene.enter("urgent", priority=1)
    scene.wait_queues.grant_places(SERVICE)
    scene.end()
    assert scene.served == ["urgent"]


def test_a_request_restricted_to_some_servers_does_not_block_others() -> None:
    scene = Scene()
    scene.enter("a", restricted=True)
    assert not scene.wait_queues.has_waiters(SERVICE)
    scene.enter("b")
    assert scene.wait_queues.has_waiters(SERVICE)
    scene.enter("c")
    scene.end()
    assert scene.served == ["b"]
    scene.end()
    assert scene.served == ["b", "c"]


def test_the_restricted_requests_that_one_pass_tries_are_bounded() -> None:
    scene = Scene()
    for number in range(100):
        scene.enter(f"c{number}", restricted=True)
    scene.wait_queues.grant_places(SERVICE)
    assert scene.failed_attempts == MAX_SKIPPED + 1
    assert scene.wait_queues.waiting() == 100


def test_waiting_ends_without_a_place_in_time() -> None:
    scene = Scene()
    assert scene.enter("a", 0.01).wait() is None
    assert not scene.wait_queues.has_waiters(SERVICE)
    scene.end()
    assert len(scene.free) == 1


def test_a_caller_that_leaves_gives_up_its_turn() -> None:
    scene = Scene()
    first, _ = scene.enter("a"), scene.enter("b")
    eventlet.kill(first, CallerDisconnected())
    eventlet.sleep(0)
    scene.end()
    assert scene.served == ["b"]


def test_a_place_granted_just_as_the_caller_leaves_goes_to_the_next() -> None:
    scene = Scene()
    first, _ = scene.enter("a"), scene.enter("b")
    place = Place()
    scene.free.append(place)
    # The place is granted, but the task of the first request has not run yet when its caller leaves.
    scene.wait_queues.grant_places(SERVICE)
    scene.free.append(Place())
    eventlet.kill(first, CallerDisconnected())
    eventlet.sleep(0)
    assert place.released == 1
    assert scene.served == ["b"]


def test_the_expected_wait_follows_the_completion_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene()
    at = now()
    monkeypatch.setattr(queues_module, "now", lambda: at)
    assert scene.wait_queues.expected_wait(SERVICE) == 0.0
    for _ in range(100):
        at += 0.1
        scene.wait_queues.note_completion(SERVICE)
    rng = random.Random(1)
    for number in range(20):
        scene.enter(f"r{number}", 4 * LONG + rng.random())
    assert scene.wait_queues.expected_wait(SERVICE) == pytest.approx(2.0, rel=0.2)
