"""Admission by urgency on the counts of real reports: idle sites, losses of coverage, rejected requests."""

import heapq
import math
import random
from types import SimpleNamespace
from typing import Any

import pytest

from bayglade import admission_levels, service_reports
from bayglade.admission_levels import AdmissionLevels
from bayglade.ids import MemberId, ServiceName
from bayglade.metrics import create_metrics
from bayglade.room_forecast import RoomForecast
from bayglade.service_reports import ServiceReports
from tests.clocks import ManualClock

MODEL = ServiceName("model")
URGENCIES = (0, -1, -2)


def a_call(urgency: int) -> Any:
    head = SimpleNamespace(prompt_tokens=300, max_answer_tokens=100)
    return SimpleNamespace(service=MODEL, priority=urgency, deadline=math.inf, head=head)


class LoneDaemon:
    """A daemon that admits calls by its own counts, before servers with room for all of them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = ManualClock()
        monkeypatch.setattr(service_reports, "now", self.clock.now)
        monkeypatch.setattr(admission_levels, "now", self.clock.now)
        self.reports = ServiceReports(MemberId("a"))
        self.covered = True
        self.admission = AdmissionLevels(
            self.reports.totals, lambda service: URGENCIES, lambda: 0.05, create_metrics(None, "")
        )
        self.admission.is_covered = lambda service: self.covered
        self.running: list[tuple[float, int, Any]] = []
        self.rng = random.Random(1)

    def play(self, seconds: float, calls_per_second: float) -> int:
        """Offer calls, and return how many admission refused."""
        refused, until = 0, self.clock.at + seconds
        while self.clock.at < until:
            self.clock.at += self.rng.expovariate(calls_per_second)
            while self.running and self.running[0][0] <= self.clock.at:
                self.reports.note_finished(heapq.heappop(self.running)[2])
            call = a_call(self.rng.choice(URGENCIES))
            admitted = self.admission.admits(call)
            self.reports.note_offered(call)
            if admitted and self.covered:
                self.reports.note_admitted(call)
                heapq.heappush(self.running, (self.clock.at + 2.0, id(call), call))
            else:
                self.reports.note_refused(call, 1.0)
                refused += self.covered
        return refused


@pytest.mark.parametrize("calls_per_second", [0.5, 2.0, 60.0])
def test_an_idle_service_refuses_nothing(monkeypatch: pytest.MonkeyPatch, calls_per_second: float) -> None:
    """Guards against calls that take themselves for a queue: at 2 a second, 45 of 130 were refused."""
    assert LoneDaemon(monkeypatch).play(120.0, calls_per_second) == 0


def test_refusals_for_missing_layers_do_not_close_admission(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against admission that takes a loss of coverage for overload and stays closed for seconds."""
    daemon = LoneDaemon(monkeypatch)
    daemon.play(10.0, 30.0)
    daemon.covered = False
    daemon.play(5.0, 30.0)
    daemon.covered = True
    assert daemon.play(10.0, 30.0) == 0


def test_a_request_that_a_server_rejects_waits_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against overload that shows in no count, because rejected requests count as admitted."""
    reports = LoneDaemon(monkeypatch).reports
    call = a_call(0)
    reports.note_offered(call)
    reports.note_admitted(call)
    reports.note_rejected(call)
    found = reports.totals(MODEL)[0]
    assert (found.waiting, found.admitted) == (1, 0)
    reports.note_admitted(call)
    reports.note_finished(call, answered=False)
    found = reports.totals(MODEL)[0]
    assert (found.waiting, found.finished) == (0, 0)
    assert found.admitted > 0


def test_a_request_is_not_ahead_of_itself(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against refusing a lone request because of a queue that consists of it."""
    reports = LoneDaemon(monkeypatch).reports
    reports.note_offered(a_call(0))
    forecast = RoomForecast(reports.totals(MODEL), 0.0, 0.3)
    assert forecast.seconds_until_room(0, counted=True) == 0.0
