"""Choice of the server for calls to plain services, some of which allow only one attempt."""

import random
from types import SimpleNamespace
from typing import Any

import pytest

from bayglade import fleet as fleet_module
from bayglade import wholes
from bayglade.exceptions import BackendRefused
from bayglade.fleet import Fleet
from bayglade.ids import HallName
from bayglade.servers import Server
from bayglade.wholes import _least_busy, record_failure
from tests.server_rows import facts_of

SERVICE = "plain"
CALLS_PER_SECOND = 4.0
CALL_SECONDS = 0.09
SHED_SECONDS = 30.0
SHED_PART = 0.6


class Load:
    """Single calls that arrive at a daemon one by one; each may be sent to one server only."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, halls: list[str], seed: int) -> None:
        self.at = 100.0
        for module in (wholes, fleet_module):
            monkeypatch.setattr(module, "now", lambda: self.at)
        self.rng = random.Random(seed)
        self.fleet = Fleet()
        rows = [
            facts_of(f"s{n}", service=SERVICE, zone=hall, layers=None, kind=None)
            for n, hall in enumerate(halls)
        ]
        self.fleet.apply_changes(rows, [], outage=False)
        self.servers = list(self.fleet.servers.values())
        self.running: list[tuple[float, Server]] = []
        self.context: Any = SimpleNamespace(
            fleet=self.fleet,
            rng=self.rng,
            paths=SimpleNamespace(hall=HallName("hall")),
            quarantine=SimpleNamespace(is_suspect=lambda call: False),
        )
        self.call: Any = SimpleNamespace(service=SERVICE, head=SimpleNamespace(id="r"))

    def play(self, seconds: float, sheds: Server | None = None) -> tuple[int, int, int]:
        """Return how many calls came, how many were lost, and how many the first server got."""
        came = lost = got = 0
        until = self.at + seconds
        while self.at < until:
            self.at += self.rng.expovariate(CALLS_PER_SECOND)
            self.end_calls()
            came += 1
            attempts: Any = SimpleNamespace(tried=set(), allowed_servers=lambda: None)
            server = _least_busy(self.context, self.call, attempts, attempts.tried)
            assert server is not None
            got += server is self.servers[0]
            if server is sheds and self.rng.random() < SHED_PART:
                lost += 1
                record_failure(self.context, self.call, server, BackendRefused("full", step="answer"))
                continue
            server.in_flight += 1
            self.running.append((self.at + CALL_SECONDS, server))
        return came, lost, got

    def end_calls(self) -> None:
        for _, server in [entry for entry in self.running if entry[0] <= self.at]:
            server.in_flight -= 1
        self.running = [entry for entry in self.running if entry[0] > self.at]


@pytest.mark.parametrize("halls", [["hall", "hall", "hall"], ["hall", "away", "away"]])
@pytest.mark.parametrize("seed", range(3))
def test_a_server_that_rejects_most_calls_gets_few(
    monkeypatch: pytest.MonkeyPatch, halls: list[str], seed: int
) -> None:
    load = Load(monkeypatch, halls, seed)
    came, lost, _ = load.play(SHED_SECONDS, load.servers[0])
    assert came > 80
    # If rejections were ignored, it would lose a fifth of all calls, or over half if alone in its hall.
    assert lost <= 0.08 * came


@pytest.mark.parametrize("seed", range(3))
def test_a_server_that_accepts_calls_again_gets_its_share(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    load = Load(monkeypatch, ["hall", "away", "away"], seed)
    load.play(SHED_SECONDS, load.servers[0])
    load.play(10.0)
    came, _, got = load.play(SHED_SECONDS)
    assert got >= 0.8 * came
