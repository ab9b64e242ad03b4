"""Replay of a loss of coverage in simulated ticks: callers, daemons and places, without a network."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bayglade.entries.wire import ServiceReport
from bayglade.ids import ServiceName
from bayglade.retries import jittered_retry_after
from bayglade.room_forecast import RoomForecast, completion_rate, expected_remaining, retry_after

SERVICE = ServiceName("model")
TICK = 0.01
WAIT = 1.5
DEADLINE = 20.1
TAU = 3.0


@dataclass
class Caller:
    """A caller; times are in seconds from the loss."""

    deadline: float
    urgency: int = 0
    refused: int = 0
    until: float = 0.0


@dataclass
class Daemon:
    """One daemon: its queue, its counts, and the sums of the others as of its last report."""

    queue: list[Caller] = field(default_factory=list)
    returns: list[tuple[float, int]] = field(default_factory=list)
    """Times at which callers refused here come back, and their urgency."""

    refused: dict[int, float] = field(default_factory=dict)
    completed: float = 0.0
    heard: dict[int, ServiceReport] = field(default_factory=dict)

    def report(self, at: float, urgency: int) -> ServiceReport:
        return ServiceReport(
            SERVICE,
            urgency,
            waiting=sum(caller.urgency == urgency for caller in self.queue),
            returning=sum(due > at and other == urgency for due, other in self.returns),
            refused=self.refused.get(urgency, 0.0) / TAU,
            finished=self.completed / TAU if urgency == 0 else 0.0,
        )


def add(one: ServiceReport, other: ServiceReport) -> ServiceReport:
    return ServiceReport(
        SERVICE,
        one.urgency,
        one.waiting + other.waiting,
        one.returning + other.returning,
        refused=one.refused + other.refused,
        finished=one.finished + other.finished,
    )


class Replay:
    """A site whose model is covered again after some seconds.

    :param use_forecast: whether daemons use the forecast, or what they used before it.
    :param remembered: completion rate before the loss, as daemons remember it.
    """

    def __init__(
        self,
        use_forecast: bool,
        seed: int,
        daemons: int = 20,
        covered_at: float = 4.0,
        rate: float = 25.0,
        seconds: float = 3.0,
        remembered: float = 25.0,
        urgencies: tuple[int, ...] = (0,),
    ) -> None:
        self.use_forecast, self.covered_at, self.remembered = use_forecast, covered_at, remembered
        self.rng = random.Random(seed)
        self.places, self.seconds, self.urgencies = round(rate * seconds), seconds, urgencies
        self.daemons = [Daemon() for _ in range(daemons)]
        self.running: list[tuple[float, float]] = []
        """Start and end of what runs."""

        self.comebacks: list[tuple[float, Caller]] = []
        self.served: dict[int, int] = dict.fromkeys(urgencies, 0)
        self.callers: dict[int, int] = dict.fromkeys(urgencies, 0)
        self.refused_again = 0
        self.gone_in_wait = 0
        self.at = 0.0

    def run(self, arrivals: Callable[[float], float], until: float) -> None:
        """Run the replay.

        :param arrivals: new callers per second at a time.
        :param until: when the replay ends.
        """
        steps = round(until / TICK)
        for step in range(steps):
            self.at = step * TICK
            self._end_runs()
            for daemon in self.daemons:
                daemon.completed *= math.exp(-TICK / TAU)
                for urgency in daemon.refused:
                    daemon.refused[urgency] *= math.exp(-TICK / TAU)
            self._exchange_reports(step)
            for caller in [caller for due, caller in self.comebacks if due <= self.at]:
                self._arrive(caller)
            self.comebacks = [entry for entry in self.comebacks if entry[0] > self.at]
            if self.rng.random() < arrivals(self.at) * TICK:
                urgency = self.rng.choice(self.urgencies)
                self.callers[urgency] += 1
                self._arrive(Caller(self.at + DEADLINE, urgency))
            if step % 6 == 0:
                self._serve_queues()

    def share(self, urgency: int = 0) -> float:
        """Return the share of callers that were served."""
        return self.served[urgency] / self.callers[urgency]

    def _exchange_reports(self, step: int) -> None:
        for number, daemon in enumerate(self.daemons):
            if (step + 5 * number) % 100 == 0:
                for urgency in self.urgencies:
                    total = ServiceReport(SERVICE, urgency)
                    for other in self.daemons:
                        if other is not daemon:
                            total = add(total, other.report(self.at, urgency))
                    daemon.heard[urgency] = total

    def _end_runs(self) -> None:
        for entry in [entry for entry in self.running if entry[1] <= self.at]:
            self.running.remove(entry)
            self.rng.choice(self.daemons).completed += 1.0

    def _take_place(self, caller: Caller) -> bool:
        if self.at < self.covered_at or len(self.running) >= self.places:
            return False
        self.running.append((self.at, self.at + self.seconds * self.rng.uniform(0.5, 1.5)))
        self.served[caller.urgency] += 1
        return True

    def _serve_queues(self) -> None:
        for daemon in self.rng.sample(self.daemons, len(self.daemons)):
            for caller in [caller for caller in daemon.queue if caller.until <= self.at]:
                daemon.queue.remove(caller)
                self.gone_in_wait += 1
                self._refuse(daemon, caller, self._expected(daemon, caller))
            daemon.queue.sort(key=lambda caller: (-caller.urgency, caller.deadline))
            while daemon.queue and self._take_place(daemon.queue[0]):
                daemon.queue.pop(0)

    def _arrive(self, caller: Caller) -> None:
        daemon = self.rng.choice(self.daemons)
        if not daemon.queue and self._take_place(caller):
            return
        expected = self._expected(daemon, caller)
        if expected is not None and expected <= WAIT:
            caller.until = self.at + WAIT
            daemon.queue.append(caller)
        else:
            self._refuse(daemon, caller, expected)

    def _expected(self, daemon: Daemon, caller: Caller) -> float | None:
        """Return the expected seconds until there is room; None if that is not known."""
        if not self.use_forecast:
            if self.at < self.covered_at:
                return None
            rate = daemon.completed / TAU
            return len(daemon.queue) / rate if rate else 0.0
        totals = {u: add(daemon.heard[u], daemon.report(self.at, u)) for u in daemon.heard}
        covered_in = max(0.0, self.covered_at - self.at)
        rate = self.remembered
        if not covered_in:
            pace = self.seconds / expected_remaining(1.0, 0.0)
            left = [pace * expected_remaining(1.0, (self.at - since) / pace) for since, _ in self.running]
            finished = sum(report.finished for report in totals.values())
            rate = completion_rate(finished, len(left), sum(left) / len(left) if left else None)
        forecast = RoomForecast(totals, covered_in, rate)
        return forecast.seconds_until_room(caller.urgency, caller.refused > 0)

    def _refuse(self, daemon: Daemon, caller: Caller, expected: float | None) -> None:
        daemon.refused[caller.urgency] = daemon.refused.get(caller.urgency, 0.0) + 1.0
        if caller.refused:
            self.refused_again += 1
            return
        caller.refused = 1
        left = caller.deadline - self.at
        if self.use_forecast:
            told = retry_after(expected or 0.0, left, self.rng)
            daemon.returns.append((self.at + told, caller.urgency))
        else:
            told = jittered_retry_after(0.5 if expected is None else max(0.3, expected), self.rng)
        self.comebacks.append((self.at + min(told, left / 3), caller))
