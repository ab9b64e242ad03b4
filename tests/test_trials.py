"""Suspects are sent to different servers: one at a time per server, and not all to the best one."""

import random
from collections import Counter
from types import SimpleNamespace
from typing import Any

import eventlet
import pytest

from bayglade import quarantine as quarantine_module
from bayglade import suspects as suspects_module
from bayglade import trials
from bayglade.fleet import Fleet
from bayglade.quarantine import TRIAL_SECONDS, Quarantine
from bayglade.servers import Server
from bayglade.trials import PROBE_SECONDS, heads_to_avoid, refusing_stages, wait_for_isolated
from standins.virtual_time import now, run_virtually
from tests.test_quarantine import make_call, server_key
from tests.test_tiling import SERVICE, pipeline, place_servers, servers


@pytest.fixture(autouse=True)
def virtual(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (quarantine_module, suspects_module, trials):
        monkeypatch.setattr(module, "now", now)


class Daemon:
    """The part of a daemon that chooses first stages."""

    def __init__(self, seed: int = 1) -> None:
        self.fleet = Fleet()
        held = place_servers(servers(a={"big": 6, "middle": 9, "small": 14}), pipeline())
        self.fleet.apply_changes([server.facts for server in held], [], outage=False)
        rng = random.Random(seed)
        self.quarantine = Quarantine(b"key", rng)
        self.peers: Any = SimpleNamespace(fleet=self.fleet, quarantine=self.quarantine, rng=rng)
        self.heads = [
            s for s in self.fleet.of_service(SERVICE) if s.facts.layer_count and s.facts.first == 0
        ]

    def suspect(self, body: bytes) -> Any:
        request = make_call(body, service=SERVICE, deadline=now() + 20.0)
        self.quarantine.note_interrupted(request, server_key(1), None)
        return request

    def choose(self, request: Any) -> Server | None:
        others = heads_to_avoid(self.peers, request, frozenset())
        left = [head for head in self.heads if head.facts.id not in others]
        if len(left) != 1:
            return None
        self.quarantine.note_sent(request, left[0].facts.id)
        return left[0]


def test_a_call_without_evidence_goes_to_the_best_server() -> None:
    def chosen() -> Server | None:
        daemon = Daemon()
        daemon.suspect(b"another")
        return daemon.choose(make_call(service=SERVICE))

    assert run_virtually(chosen) is None


def test_suspects_of_one_daemon_go_to_different_servers() -> None:
    def chosen() -> tuple[int, int]:
        daemon = Daemon()
        suspects = [daemon.suspect(b"%d" % number) for number in range(len(daemon.heads))]
        ids = {head.facts.id for request in suspects if (head := daemon.choose(request)) is not None}
        return len(ids), len(daemon.heads)

    found, heads = run_virtually(chosen)
    assert found == heads > 1


def test_suspects_of_many_daemons_are_not_all_sent_to_one_server() -> None:
    def chosen() -> Counter[str]:
        made = [Daemon(seed) for seed in range(60)]
        heads = [daemon.choose(daemon.suspect(b"%d" % n)) for n, daemon in enumerate(made)]
        return Counter(head.facts.id for head in heads if head is not None)

    spread = run_virtually(chosen)
    assert sum(spread.values()) == 60
    assert max(spread.values()) < 60 * 0.75


def test_a_suspect_waits_for_a_server_of_its_own_but_not_for_long() -> None:
    def waited() -> tuple[float, int]:
        daemon = Daemon()
        for number, head in enumerate(daemon.heads):
            daemon.quarantine.note_sent(daemon.suspect(b"%d" % number), head.facts.id)
        since = now()
        isolated = wait_for_isolated(daemon.peers, daemon.suspect(b"late"), daemon.heads)
        return now() - since, len(isolated)

    seconds, isolated = run_virtually(waited)
    assert isolated > 0
    assert seconds <= TRIAL_SECONDS + 0.1


def test_a_suspect_does_not_wait_without_servers() -> None:
    def waited() -> float:
        daemon, since = Daemon(), now()
        assert wait_for_isolated(daemon.peers, daemon.suspect(b"x"), []) == []
        return now() - since

    assert run_virtually(waited) == 0.0


class Probes:
    """Connections opened to find out whether a server still listens."""

    def __init__(self, daemon: Daemon, ended: set[str], unresponsive: set[str]) -> None:
        self.daemon = daemon
        self.ended = ended
        self.unresponsive = unresponsive
        self.opened: list[str] = []

    def probe(self, backend: Any, address: str) -> bool:
        self.opened.append(backend)
        if backend in self.unresponsive:
            eventlet.sleep(0.4)
            return False
        server = self.daemon.fleet.servers[backend]
        if backend in self.ended:
            server.connection_refused = True
            self.daemon.quarantine.server_ended(server.facts.key)
        return backend not in self.ended


@pytest.mark.parametrize(("crashes", "probed"), [(0, False), (1, False), (2, True)])
def test_stages_are_probed_if_one_more_crash_would_stop_the_call(crashes: int, probed: bool) -> None:
    def found() -> tuple[frozenset[str], int, float]:
        daemon = Daemon()
        request = make_call(service=SERVICE, deadline=now() + 20.0)
        for number in range(crashes):
            daemon.quarantine.note_interrupted(request, server_key(number), None)
            daemon.quarantine.server_ended(server_key(number))
        path = [server for server in daemon.fleet.of_service(SERVICE) if server.facts.layer_count][:4]
        probes = Probes(daemon, {path[2].facts.id}, {path[3].facts.id})
        daemon.peers.pool = probes
        examined: list[Server] = []
        daemon.peers.diagnosis = SimpleNamespace(probe_again=examined.extend)
        since = now()
        gone = refusing_stages(daemon.peers, request, path)
        seconds = now() - since
        # The earlier crash doesn't count if the call is sent now and interrupted there.
        daemon.quarantine.note_interrupted(request, path[2].facts.key, None, now() + 0.001)
        assert not daemon.quarantine.is_stopped(request)
        assert gone == ({path[2].facts.id} if probed else frozenset())
        eventlet.sleep(0)
        assert examined == (path[2:3] if probed else [])
        return gone, len(probes.opened), seconds

    _, opened, seconds = run_virtually(found)
    assert opened == (4 if probed else 0)
    assert seconds <= (PROBE_SECONDS + 0.01 if probed else 0.0)
