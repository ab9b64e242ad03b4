"""What shows that a server has ended, and what does not."""

import random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from bayglade import ends
from bayglade.ends import watch_ends
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, Incarnation
from bayglade.quarantine import Quarantine
from bayglade.servers import Server, ServerFacts
from tests.test_quarantine import call
from tests.test_tiling import SERVICE

FACTS = ServerFacts(
    id=BackendId("i-1"),
    service=SERVICE,
    address="10.0.0.1:1",
    hall="a",  # type: ignore[arg-type]
    slots=8,
    incarnation=Incarnation(5),
)


class Scene:
    """A daemon whose request was broken off by a server a moment ago."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.fleet.apply_changes([FACTS], [], outage=False)
        self.reached = True
        self.links: Any = SimpleNamespace(probe=lambda backend, address: self.reached)
        self.diagnosis: Any = SimpleNamespace()
        self.quarantine = Quarantine(b"key", random.Random(1))
        watch_ends(self.fleet, self.links, self.diagnosis, self.quarantine)
        self.quarantine.broke_off(call(), FACTS.key, None)

    @property
    def server(self) -> Server:
        return self.fleet.servers[FACTS.id]

    def ended(self) -> bool:
        return self.quarantine.suspects(call()) and not self.quarantine.unsure_of(call())


@pytest.fixture
def scene(monkeypatch: pytest.MonkeyPatch) -> Scene:
    monkeypatch.setattr(ends.eventlet, "spawn_n", lambda act, *arguments: act(*arguments))
    return Scene()


def test_an_address_where_nobody_listens_shows_it(scene: Scene) -> None:
    scene.links.on_refused(FACTS.id, FACTS.address)
    assert scene.ended()
    assert scene.server.has_ended(0.0)


@pytest.mark.parametrize("address", ["10.0.0.1:2"])
def test_an_address_that_it_had_before_shows_nothing(scene: Scene, address: str) -> None:
    scene.links.on_refused(FACTS.id, address)
    assert not scene.ended()


def test_one_that_said_it_leaves_ends_by_itself(scene: Scene) -> None:
    scene.fleet.mark_leaving(scene.server, "listed")
    scene.links.on_refused(FACTS.id, FACTS.address)
    assert not scene.ended()


def test_a_later_start_shows_it(scene: Scene) -> None:
    again = msgspec.structs.replace(FACTS, incarnation=Incarnation(6))
    scene.fleet.apply_changes([again], [], outage=False)
    assert scene.ended()


@pytest.mark.parametrize("reached", [True, False])
def test_an_entry_that_is_gone_shows_it_unless_it_is_reached(scene: Scene, reached: bool) -> None:
    scene.reached = reached
    scene.fleet.apply_changes([], [FACTS.id], outage=False)
    assert scene.ended() is not reached


def test_an_entry_that_lapsed_in_an_outage_shows_nothing(scene: Scene) -> None:
    scene.reached = False
    scene.fleet.apply_changes([], [FACTS.id], outage=True)
    assert not scene.ended()


def test_a_report_shows_that_it_lives(scene: Scene) -> None:
    scene.diagnosis.on_answer(scene.server, float("inf"))
    assert not scene.quarantine.suspects(call())
    scene.links.on_refused(FACTS.id, FACTS.address)
    assert not scene.quarantine.suspects(call())
