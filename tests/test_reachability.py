"""A daemon tells the loss of its own links to all servers from the end of some servers."""

import random
from collections.abc import Callable, Iterable

import eventlet
import pytest

from bayglade.fleet import Fleet
from bayglade.ids import BackendId, HallName, ServiceName
from bayglade.loading import Loader
from bayglade.metrics import Metrics
from bayglade.reachability import RETURN_INTERVAL, RETURN_ROUNDS, Reachability
from bayglade.servers import Server, ServerFacts
from standins.virtual_time import run_virtually
from tests.fleets import patch_clock
from tests.test_ends import Scene
from tests.test_ends import scene as scene

MODEL, TILES = ServiceName("model"), ServiceName("tiles")
ANSWER_SECONDS = 0.004
SILENT_SECONDS = 0.4


class Daemon:
    """A daemon whose connects to servers fail as a test sets it."""

    def __init__(self, servers: int = 6) -> None:
        self.fleet = Fleet()
        self.unreachable: set[str] = set()
        self.asked: list[str] = []
        for service in (MODEL, TILES):
            self.fleet.apply_changes(
                [
                    ServerFacts(
                        id=BackendId(f"{service}-{n}"),
                        service=service,
                        address=f"10.0.0.{n}:1",
                        hall=HallName("h"),
                        slots=8,
                        last=12 if service == MODEL else 0,
                    )
                    for n in range(servers)
                ],
                [],
                outage=False,
            )
        self.reach = Reachability(self.fleet, self.answers, Metrics(None), random.Random(1))
        self.fleet.is_isolated = self.reach.is_isolated

    def answers(self, server: Server) -> bool:
        self.asked.append(server.facts.id)
        lost = server.facts.id in self.unreachable
        eventlet.sleep(SILENT_SECONDS if lost else ANSWER_SECONDS)
        self.reach.note_connect(server.facts.id, TimeoutError() if lost else None)
        return not lost

    def lose(self, service: ServiceName, numbers: Iterable[int]) -> None:
        self.unreachable |= {f"{service}-{n}" for n in numbers}

    def call(self, service: ServiceName, numbers: Iterable[int]) -> None:
        """Fail to connect to servers, as calls do."""
        for n in numbers:
            backend = BackendId(f"{service}-{n}")
            self.reach.note_connect(backend, TimeoutError())
            self.fleet.mark_suspect(self.fleet.servers[backend], "backend_unreachable")
        self.reach.await_check(service)


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    patch_clock(monkeypatch)


def run(scenario: Callable[[Daemon], None], servers: int = 6) -> None:
    run_virtually(lambda: scenario(Daemon(servers)))


def test_a_daemon_that_reaches_no_server_is_isolated_from_that_service_only() -> None:
    def scenario(daemon: Daemon) -> None:
        daemon.lose(MODEL, range(6))
        daemon.call(MODEL, [0, 1])
        assert daemon.reach.isolated_services() == [MODEL]

    run(scenario)


def test_a_daemon_that_loses_one_service_checks_the_others_at_once() -> None:
    """A call that must not be repeated waits on a silent connection, and shows nothing until it ends."""

    def scenario(daemon: Daemon) -> None:
        daemon.lose(MODEL, range(6))
        daemon.lose(TILES, range(6))
        daemon.call(MODEL, [0, 1])
        eventlet.sleep(2 * SILENT_SECONDS)
        assert set(daemon.reach.isolated_services()) == {MODEL, TILES}

    run(scenario)


def test_one_failed_server_is_not_checked() -> None:
    def scenario(daemon: Daemon) -> None:
        daemon.lose(MODEL, [0])
        daemon.call(MODEL, [0, 0, 0])
        assert daemon.asked == []

    run(scenario)


@pytest.mark.parametrize("lost", [2, 3, 5])
def test_a_daemon_that_reaches_some_servers_is_not_isolated(lost: int) -> None:
    def scenario(daemon: Daemon) -> None:
        daemon.lose(MODEL, range(lost))
        daemon.call(MODEL, range(lost))
        assert daemon.reach.isolated_services() == []

    run(scenario)


def test_servers_do_not_stay_suspect_because_the_daemon_is_isolated() -> None:
    def scenario(daemon: Daemon) -> None:
        daemon.lose(MODEL, range(6))
        daemon.call(MODEL, [0, 1])
        daemon.call(MODEL, [2, 3])
        assert not any(server.suspect for server in daemon.fleet.of_service(MODEL))

    run(scenario)


def test_a_server_that_was_suspect_before_stays_so() -> None:
    def scenario(daemon: Daemon) -> None:
        daemon.fleet.mark_suspect(daemon.fleet.servers[BackendId("model-5")], "silent")
        eventlet.sleep(1.0)
        daemon.lose(MODEL, range(6))
        daemon.call(MODEL, [0, 1])
        assert [s.facts.id for s in daemon.fleet.of_service(MODEL) if s.suspect] == ["model-5"]

    run(scenario)


def test_an_isolated_daemon_returns_once_servers_answer_repeatedly() -> None:
    def scenario(daemon: Daemon) -> None:
        daemon.lose(MODEL, range(6))
        daemon.call(MODEL, [0, 1])
        eventlet.sleep(5.0)
        assert daemon.reach.is_isolated(MODEL)
        daemon.unreachable.clear()
        eventlet.sleep(RETURN_INTERVAL)
        assert daemon.reach.is_isolated(MODEL)
        eventlet.sleep((RETURN_ROUNDS + 1) * RETURN_INTERVAL + SILENT_SECONDS)
        assert not daemon.reach.is_isolated(MODEL)

    run(scenario)


def test_all_servers_failing_with_few_listed_is_isolation() -> None:
    def scenario(daemon: Daemon) -> None:
        daemon.lose(TILES, [0])
        daemon.call(TILES, [0])
        assert daemon.reach.is_isolated(TILES)

    run(scenario, servers=1)


def test_checks_of_a_service_are_limited_in_rate() -> None:
    def scenario(daemon: Daemon) -> None:
        daemon.lose(MODEL, [0, 1])
        for _ in range(10):
            daemon.call(MODEL, [0, 1])
            eventlet.sleep(0.05)
        assert len(daemon.asked) <= 3

    run(scenario)


@pytest.mark.parametrize("isolated", [True, False])
def test_a_refused_connect_of_an_isolated_daemon_is_no_evidence(scene: Scene, isolated: bool) -> None:
    scene.fleet.is_isolated = lambda service: isolated
    scene.pool.on_refused(scene.server.facts.id, scene.server.facts.address)
    assert scene.ended() is not isolated


def test_an_unlisted_server_that_an_isolated_daemon_cannot_reach_has_not_ended(scene: Scene) -> None:
    scene.fleet.is_isolated = lambda service: True
    scene.reached = False
    scene.fleet.apply_changes([], [scene.server.facts.id], outage=False)
    assert not scene.ended()


def test_the_end_of_a_server_counts_although_no_other_server_answers() -> None:
    """All servers of a small service may end under one request; a fourth one did."""

    def scenario(_: Daemon) -> None:
        scene = Scene()
        reach = Reachability(scene.fleet, lambda server: False, Metrics(None), random.Random(1))
        scene.fleet.is_isolated = reach.is_isolated
        facts = scene.server.facts
        reach.note_connect(facts.id, ConnectionRefusedError())
        scene.pool.on_refused(facts.id, facts.address)
        assert scene.ended()

    run(scenario)


def test_an_isolated_daemon_gives_up_the_lease_and_its_orders() -> None:
    released = []

    class Lease:
        def release(self) -> None:
            released.append(True)

    loader = Loader(Fleet(), None, Lease(), dict, Metrics(None), random.Random(1))  # type: ignore[arg-type]
    loader.coverage[MODEL] = 3.0
    loader.is_isolated = lambda: True
    assert not loader.step()
    assert released
    assert not loader.coverage
