"""Who waits is given a place in the order of shares, and gives it back when its caller leaves."""

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
    """A path as far as a line knows it."""

    def __init__(self) -> None:
        self.released = 0

    def release(self) -> None:
        self.released += 1


class Scene:
    """A line, and places that become free as told."""

    def __init__(self) -> None:
        self.wait_queues = WaitQueues(Usage(), lambda group: (0, 1.0))
        self.free: list[Any] = []
        self.served: list[str] = []
        self.sought = 0
        """Looks for a place for requests that there is none for."""

    def enter(self, name: str, seconds: float = LONG, priority: int = 0, choosy: bool = False) -> Any:
        call: Any = SimpleNamespace(
            service=SERVICE,
            group=None,
            priority=priority,
            head=CallHead(id=RequestId(name), host="h", prompt_tokens=10, max_answer_tokens=10),
        )

        def wait() -> Any:
            seek = self.seek_in_vain if choosy else self.seek
            path = self.wait_queues.wait(call, seek, now() + seconds, choosy)
            if path is not None:
                self.served.append(name)
            return path

        task = eventlet.spawn(wait)
        eventlet.sleep(0)
        return task

    def seek(self) -> Any:
        return self.free.pop(0) if self.free else None

    def seek_in_vain(self) -> Any:
        self.sought += 1
        return None

    def end(self, places: int = 1) -> None:
        self.free += [Place() for _ in range(places)]
        self.wait_queues.note_completion(SERVICE)
        eventlet.sleep(0)


def test_places_are_given_in_order_and_nobody_loses_its_place_by_a_look_in_vain() -> None:
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


def test_one_that_may_go_to_some_servers_only_holds_nobody_back() -> None:
    scene = Scene()
    scene.enter("a", choosy=True)
    assert not scene.wait_queues.has_waiters(SERVICE)
    scene.enter("b")
    assert scene.wait_queues.has_waiters(SERVICE)
    scene.enter("c")
    scene.end()
    assert scene.served == ["b"]
    scene.end()
    assert scene.served == ["b", "c"]


def test_few_that_may_go_to_some_servers_only_are_looked_at_each_time() -> None:
    scene = Scene()
    for number in range(100):
        scene.enter(f"c{number}", choosy=True)
    scene.wait_queues.grant_places(SERVICE)
    assert scene.sought == MAX_SKIPPED + 1
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


def test_a_place_that_came_as_the_caller_left_goes_to_the_next() -> None:
    scene = Scene()
    first, _ = scene.enter("a"), scene.enter("b")
    place = Place()
    scene.free.append(place)
    # Granted, but its task has not run yet when the caller leaves.
    scene.wait_queues.grant_places(SERVICE)
    scene.free.append(Place())
    eventlet.kill(first, CallerDisconnected())
    eventlet.sleep(0)
    assert place.released == 1
    assert scene.served == ["b"]


def test_the_expected_wait_follows_the_rate_at_which_requests_end(monkeypatch: pytest.MonkeyPatch) -> None:
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
