"""Evidence that a server has terminated, and what is not evidence of it."""

import random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from bayglade import server_termination
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, Incarnation
from bayglade.quarantine import Quarantine
from bayglade.server_termination import watch_server_termination
from bayglade.servers import Server, ServerFacts
from tests.test_quarantine import make_call
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
    """A daemon one of whose requests was just broken off by a server."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.fleet.apply_changes([FACTS], [], outage=False)
        self.reached = True
        self.pool: Any = SimpleNamespace(probe=lambda backend, address: self.reached)
        self.diagnosis: Any = SimpleNamespace()
        self.quarantine = Quarantine(b"key", random.Random(1))
        watch_server_termination(self.fleet, self.pool, self.diagnosis, self.quarantine)
        self.quarantine.note_interrupted(make_call(), FACTS.key, None)

    @property
    def server(self) -> Server:
        return self.fleet.servers[FACTS.id]

    def ended(self) -> bool:
        return self.quarantine.is_suspect(make_call()) and not self.quarantine.unconfirmed_servers(
            make_call()
        )


@pytest.fixture
def scene(monkeypatch: pytest.MonkeyPatch) -> Scene:
    monkeypatch.setattr(server_termination.eventlet, "spawn_n", lambda act, *arguments: act(*arguments))
    return Scene()


def test_a_refused_connect_is_evidence(scene: Scene) -> None:
    scene.pool.on_refused(FACTS.id, FACTS.address)
    assert scene.ended()
    assert scene.server.has_ended(0.0)


@pytest.mark.parametrize("address", ["10.0.0.1:2"])
def test_a_refused_connect_at_an_earlier_address_is_not_evidence(scene: Scene, address: str) -> None:
    scene.pool.on_refused(FACTS.id, address)
    assert not scene.ended()


def test_a_server_that_announced_to_leave_has_not_crashed(scene: Scene) -> None:
    scene.fleet.mark_leaving(scene.server, "listed")
    scene.pool.on_refused(FACTS.id, FACTS.address)
    assert not scene.ended()


def test_a_restart_is_evidence(scene: Scene) -> None:
    again = msgspec.structs.replace(FACTS, incarnation=Incarnation(6))
    scene.fleet.apply_changes([again], [], outage=False)
    assert scene.ended()


@pytest.mark.parametrize("reached", [True, False])
def test_a_removed_entry_is_evidence_unless_the_server_is_reached(scene: Scene, reached: bool) -> None:
    scene.reached = reached
    scene.fleet.apply_changes([], [FACTS.id], outage=False)
    assert scene.ended() is not reached


def test_an_entry_that_lapsed_in_an_outage_is_not_evidence(scene: Scene) -> None:
    scene.reached = False
    scene.fleet.apply_changes([], [FACTS.id], outage=True)
    assert not scene.ended()


def test_a_report_is_evidence_that_it_lives(scene: Scene) -> None:
    scene.diagnosis.on_answer(scene.server, float("inf"))
    assert not scene.quarantine.is_suspect(make_call())
    scene.pool.on_refused(FACTS.id, FACTS.address)
    assert not scene.quarantine.is_suspect(make_call())
