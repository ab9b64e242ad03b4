"""Suspects are sent on apart: to servers where no other one has just begun, and not all to the best one."""

import random
from collections import Counter
from types import SimpleNamespace
from typing import Any

import eventlet
import pytest

from bayglade import quarantine as quarantine_module
from bayglade import trials
from bayglade.fleet import Fleet
from bayglade.quarantine import TRIAL_SECONDS, Quarantine
from bayglade.servers import Server
from bayglade.trials import ENDED_SECONDS, ended_stages, heads_to_avoid, wait_apart
from tests.test_quarantine import call, start
from tests.test_tiling import SERVICE, pipeline, place_servers, servers
from tests.virtual_time import now, run_virtually


@pytest.fixture(autouse=True)
def virtual(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (quarantine_module, trials):
        monkeypatch.setattr(module, "now", now)


class Daemon:
    """As much of a daemon as chooses first stages."""

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
        asked = call(body, service=SERVICE, deadline=now() + 20.0)
        self.quarantine.broke_off(asked, start(1), None)
        return asked

    def choose(self, asked: Any) -> Server | None:
        others = heads_to_avoid(self.peers, asked, frozenset())
        left = [head for head in self.heads if head.facts.id not in others]
        if len(left) != 1:
            return None
        self.quarantine.sent(asked, left[0].facts.id)
        return left[0]


def test_an_innocent_looking_call_goes_where_it_is_best() -> None:
    def chosen() -> Server | None:
        daemon = Daemon()
        daemon.suspect(b"another")
        return daemon.choose(call(service=SERVICE))

    assert run_virtually(chosen) is None


def test_suspects_of_one_daemon_begin_on_servers_of_their_own() -> None:
    def chosen() -> tuple[int, int]:
        daemon = Daemon()
        suspects = [daemon.suspect(b"%d" % number) for number in range(len(daemon.heads))]
        ids = {head.facts.id for asked in suspects if (head := daemon.choose(asked)) is not None}
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
            daemon.quarantine.sent(daemon.suspect(b"%d" % number), head.facts.id)
        since = now()
        apart = wait_apart(daemon.peers, daemon.suspect(b"late"), daemon.heads)
        return now() - since, len(apart)

    seconds, apart = run_virtually(waited)
    assert apart > 0
    assert seconds <= TRIAL_SECONDS + 0.1


def test_without_servers_it_does_not_wait() -> None:
    def waited() -> float:
        daemon, since = Daemon(), now()
        assert wait_apart(daemon.peers, daemon.suspect(b"x"), []) == []
        return now() - since

    assert run_virtually(waited) == 0.0


class Probes:
    """Connections that are opened to look whether somebody listens."""

    def __init__(self, daemon: Daemon, ended: set[str], dark: set[str]) -> None:
        self.daemon = daemon
        self.ended = ended
        self.dark = dark
        self.opened: list[str] = []

    def probe(self, backend: Any, address: str) -> bool:
        self.opened.append(backend)
        if backend in self.dark:
            eventlet.sleep(0.4)
            return False
        server = self.daemon.fleet.servers[backend]
        if backend in self.ended:
            server.connection_refused = True
            self.daemon.quarantine.server_ended(server.facts.key)
        return backend not in self.ended


@pytest.mark.parametrize(("ends", "looked"), [(0, False), (1, False), (2, True)])
def test_stages_are_looked_at_before_a_call_that_one_more_end_would_stop(ends: int, looked: bool) -> None:
    def found() -> tuple[frozenset[str], int, float]:
        daemon = Daemon()
        asked = call(service=SERVICE, deadline=now() + 20.0)
        for number in range(ends):
            daemon.quarantine.broke_off(asked, start(number), None)
            daemon.quarantine.server_ended(start(number))
        path = [server for server in daemon.fleet.of_service(SERVICE) if server.facts.layer_count][:4]
        probes = Probes(daemon, {path[2].facts.id}, {path[3].facts.id})
        daemon.peers.links = probes
        examined: list[Server] = []
        daemon.peers.diagnosis = SimpleNamespace(examine_anew=examined.extend)
        since = now()
        gone = ended_stages(daemon.peers, asked, path)
        seconds = now() - since
        # What ended before counts no more when the call is sent now and breaks off there.
        daemon.quarantine.broke_off(asked, path[2].facts.key, None, now() + 0.001)
        assert not daemon.quarantine.holds(asked)
        assert gone == ({path[2].facts.id} if looked else frozenset())
        eventlet.sleep(0)
        assert examined == (path[2:3] if looked else [])
        return gone, len(probes.opened), seconds

    _, opened, seconds = run_virtually(found)
    assert opened == (4 if looked else 0)
    assert seconds <= (ENDED_SECONDS + 0.01 if looked else 0.0)
