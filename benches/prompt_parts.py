"""Compares ways to stop parts of prompts that crash servers, on the same traffic and seeds.

    python -m benches.prompt_parts [--seeds 10]

Daemons with real quarantines serve streams on first stages in simulated time. On some days a share of the
requests has a part that crashes each server which begins to write an answer to it; on others servers
crash for another cause. Counted are crashes, requests with the part that were sent too late, and sound
requests that were refused because something of theirs was stopped.
"""

import argparse
import heapq
import itertools
import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from loguru import logger

from bayglade import quarantine as quarantine_module
from bayglade import suspects as suspects_module
from bayglade.attribution import Verdict, judge
from bayglade.calls import Call, CallHead
from bayglade.evidence import COMMON_CAUSE_SECONDS, CRASHES_TO_STOP, Evidence, Subject
from bayglade.exceptions import RequestStopped
from bayglade.ids import (
    BackendId,
    Fingerprint,
    GroupPath,
    Incarnation,
    PromptPartId,
    RequestId,
    ServerKey,
    ServiceName,
)
from bayglade.quarantine import SOUND_RUN_SECONDS, Quarantine

DAY_SECONDS = 60.0
DAEMONS = 9
FIRST_STAGES = 8
REQUESTS_PER_SECOND = 31.0
DOWN_SECONDS = 4.0
NOTICE_SECONDS = 0.02
"""Time until a daemon learns that a server has ended, and until another daemon has its message."""
CRASH_SECONDS = 0.05
"""Time from the first event to the crash."""
RETRY_SECONDS = 0.25
DEADLINE_SECONDS = 20.0
MAX_SENDS = 8
CONTACT_SECONDS = 3.0
CRASHES_ALLOWED = 5
ROUTES = ("r0", "r1", "r2")
MIDDLE_PARTS = 60
CRASHING_PART = "dead"

Judge = Callable[[Mapping[Fingerprint, Evidence]], Verdict]


class Day(NamedTuple):
    """What happens on a day."""

    name: str
    crashing_share: float = 0.0
    """Share of the requests of the first route that have the part which crashes servers."""

    since: float = 10.0
    """When servers begin to crash under it."""

    before: bool = False
    """Whether requests had the part before, and were answered."""

    outages: int = 0
    """How often half of the first stages crash for another cause."""


DAYS = (
    Day("a part of 3 in 100 requests", 0.06),
    Day("the same part, answered before", 0.06, before=True),
    Day("a part of 15 in 100 requests", 0.3),
    Day("half of all servers end, 4 times", outages=4),
    Day("both", 0.06, outages=4),
)


class Outcome:
    """The counts of one day."""

    def __init__(self) -> None:
        self.crashes: list[float] = []
        """When servers crashed under the part."""

        self.sent: list[float] = []
        """When requests with the part were sent."""

        self.sound = 0
        self.refused = 0
        self.late_refused = 0
        """Sound requests that were refused later than twice the contact time after the fifth crash."""

    def late_sends(self) -> int:
        """Count the sends of the part later than the contact time after the fifth crash."""
        if len(self.crashes) < CRASHES_ALLOWED:
            return 0
        return sum(at > self.crashes[CRASHES_ALLOWED - 1] + CONTACT_SECONDS for at in self.sent)


class Run:
    """One attempt at a request on a server."""

    def __init__(self, daemon: Quarantine, call: Call, server: int, at: float) -> None:
        self.daemon = daemon
        self.call = call
        self.server = server
        self.sent_at = at
        self.begun_at: float | None = None
        self.ended = False


class Simulation:
    """One day with one way to judge."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day = day
        self.rng = random.Random(seed)
        self.at = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.outcome = Outcome()
        self.up = dict.fromkeys(range(FIRST_STAGES), 1)
        """The incarnations of the first stages that are up."""

        self.born = dict.fromkeys(range(FIRST_STAGES), 1)
        self.running: list[Run] = []
        self.daemons = [Quarantine(b"key", random.Random(n)) for n in range(DAEMONS)]
        for daemon in self.daemons:
            self._connect(daemon)

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.queue, (self.at + seconds, next(self.numbers), act))

    def play(self) -> Outcome:
        """Play the day."""
        self.later(0.0, self._arrive)
        for number in range(self.day.outages):
            self.later(12.0 + 9.0 * number, self._outage)
        while self.queue and self.queue[0][0] < DAY_SECONDS:
            self.at, _, act = heapq.heappop(self.queue)
            act()
        return self.outcome

    def _connect(self, daemon: Quarantine) -> None:
        others = [other for other in self.daemons if other is not daemon]

        def send(act: Callable[[Quarantine], Any]) -> None:
            for other in others:
                self.later(NOTICE_SECONDS, lambda other=other: act(other))

        daemon.on_update = lambda crashes, cleared: send(lambda o: o.merge_crashes(crashes, cleared))
        daemon.suspects.on_sound = lambda sound: send(lambda o: o.merge_sound(sound))
        daemon.suspects.on_proven = lambda proven: send(lambda o: o.suspects.merge_proven(proven))

    def _arrive(self) -> None:
        self.later(self.rng.expovariate(REQUESTS_PER_SECOND), self._arrive)
        route = self.rng.choices(ROUTES, (3, 2, 1))[0]
        middle = f"m{int(MIDDLE_PARTS * self.rng.random() ** 1.5)}"
        parts = [route, middle]
        present = self.day.before or self.at >= self.day.since
        if route == ROUTES[0] and present and self.rng.random() < self.day.crashing_share:
            parts[1] = CRASHING_PART
        number = next(self.numbers)
        head = CallHead(
            id=RequestId(f"{number}"),
            host="site",
            shared_parts=tuple(PromptPartId(part) for part in parts),
        )
        call = Call(
            head=head,
            endpoint=None,  # type: ignore[arg-type]
            service=ServiceName("s"),
            group=GroupPath("g"),
            priority=0,
            arrived=self.at,
            deadline=self.at + DEADLINE_SECONDS,
            method="POST",
            target=b"/x",
            headers=[],
            body=b"%d" % number,
        )
        daemon = self.rng.choice(self.daemons)
        self.outcome.sound += not self._crashes(call)
        try:
            daemon.check_arrival(call)
        except RequestStopped:
            self._note_refusal(call)
            return
        self._send(daemon, call, 0)

    def _crashes(self, call: Call) -> bool:
        return CRASHING_PART in call.head.shared_parts and self.at >= self.day.since

    def _note_refusal(self, call: Call) -> None:
        if self._crashes(call):
            return
        self.outcome.refused += 1
        crashes = self.outcome.crashes
        settled = crashes[min(len(crashes), CRASHES_ALLOWED) - 1] if crashes else 0.0
        self.outcome.late_refused += self.at > settled + 2 * CONTACT_SECONDS

    def _send(self, daemon: Quarantine, call: Call, sends: int) -> None:
        if daemon.is_stopped(call):
            self._note_refusal(call)
            return
        if sends >= MAX_SENDS or self.at > call.deadline:
            return
        if not self.up:
            self.later(RETRY_SECONDS, lambda: self._send(daemon, call, sends))
            return
        run = Run(daemon, call, self.rng.choice(sorted(self.up)), self.at)
        daemon.end_trial(call)
        self.running.append(run)
        if self._crashes(call):
            self.outcome.sent.append(self.at)
        self.later(self.rng.uniform(0.05, 0.3), lambda: self._begin(run, sends))

    def _begin(self, run: Run, sends: int) -> None:
        if run.ended:
            self.later(NOTICE_SECONDS, lambda: self._send_again(run, sends))
            return
        run.begun_at = self.at
        if self._crashes(run.call):
            self.later(CRASH_SECONDS, lambda: self._crash(run.server, run, sends))
            return
        self.later(SOUND_RUN_SECONDS, lambda: None if run.ended else self._note_sound(run))
        self.later(self.rng.uniform(1.5, 4.0), lambda: self._end(run, sends))

    def _note_sound(self, run: Run) -> None:
        assert run.begun_at is not None
        run.daemon.note_sound(run.call, run.begun_at)

    def _end(self, run: Run, sends: int) -> None:
        if run.ended:
            self._send_again(run, sends)
            return
        run.ended = True
        self.running.remove(run)
        run.daemon.note_answered(run.call)

    def _send_again(self, run: Run, sends: int) -> None:
        delay = run.daemon.resend_delay(run.call)
        self.later(delay, lambda: self._send(run.daemon, run.call, sends + 1))

    def _crash(self, server: int, cause: Run | None, sends: int = 0) -> None:
        if server not in self.up or (cause is not None and cause.ended):
            if cause is not None:
                self._send_again(cause, sends)
            return
        key = ServerKey(BackendId(f"i-{server}"), Incarnation(self.up.pop(server)))
        if cause is not None:
            self.outcome.crashes.append(self.at)
            self.later(NOTICE_SECONDS, lambda: self._send_again(cause, sends))
        cut = [run for run in self.running if run.server == server]
        self.running = [run for run in self.running if run.server != server]
        for run in cut:
            run.ended = True
            run.daemon.note_interrupted(run.call, key, run.begun_at, run.sent_at)
        for daemon in {id(run.daemon): run.daemon for run in cut}.values():
            self.later(NOTICE_SECONDS, lambda daemon=daemon: daemon.server_ended(key))
        self.born[server] += 1
        self.later(DOWN_SECONDS, lambda: self.up.update({server: self.born[server]}))

    def _outage(self) -> None:
        for server in self.rng.sample(range(FIRST_STAGES), FIRST_STAGES // 2):
            self.later(self.rng.uniform(0.0, 1.0), lambda server=server: self._crash(server, None))


def judge_by_count(known: Mapping[Fingerprint, Evidence]) -> Verdict:
    """Stop each part with enough crashes since it last ran."""
    return Verdict(
        judge(known).stopped
        | {
            name
            for name, evidence in known.items()
            if evidence.subject is Subject.PROMPT_PART and len(evidence.crashed_on) >= CRASHES_TO_STOP
        },
        frozenset(),
    )


def judge_by_incidents(known: Mapping[Fingerprint, Evidence]) -> Verdict:
    """Stop each part with enough crashes that are apart in time."""
    stopped = set(judge_requests_alone(known).stopped)
    for name, evidence in known.items():
        count, since = 0, float("-inf")
        for at in sorted(evidence.interrupted_at[crash] for crash in evidence.crashed_on):
            if at - since > COMMON_CAUSE_SECONDS:
                count, since = count + 1, at
        if evidence.subject is Subject.PROMPT_PART and count >= CRASHES_TO_STOP:
            stopped.add(name)
    return Verdict(frozenset(stopped), frozenset())


def judge_requests_alone(known: Mapping[Fingerprint, Evidence]) -> Verdict:
    """Stop requests only, by their whole content."""
    return judge({name: e for name, e in known.items() if e.subject is Subject.REQUEST})


WAYS: dict[str, Judge] = {
    "requests alone": judge_requests_alone,
    "count": judge_by_count,
    "count apart in time": judge_by_incidents,
    "attribution": judge,
}


def compare(seeds: int) -> None:
    """Print the counts of all days and ways, as means over seeds."""
    print("| day | way | crashes | sent late (worst) | sound refused | of these late | of |")
    print("|---|---|---|---|---|---|---|")
    for day, (way, chosen) in itertools.product(DAYS, WAYS.items()):
        vars(suspects_module)["judge"] = chosen
        outcomes = []
        for seed in range(1, seeds + 1):
            simulation = Simulation(day, seed)
            for module in (quarantine_module, suspects_module):
                vars(module)["now"] = lambda simulation=simulation: simulation.at
            outcomes.append(simulation.play())
        late = [outcome.late_sends() for outcome in outcomes]
        mean = [
            sum(values) / seeds
            for values in (
                [len(outcome.crashes) for outcome in outcomes],
                late,
                [outcome.refused for outcome in outcomes],
                [outcome.late_refused for outcome in outcomes],
                [outcome.sound for outcome in outcomes],
            )
        ]
        print(
            f"| {day.name} | {way} | {mean[0]:.1f} | {mean[1]:.1f} ({max(late)}) | {mean[2]:.1f}"
            f" | {mean[3]:.1f} | {mean[4]:.0f} |",
            flush=True,
        )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=10)
    logger.remove()
    compare(parser.parse_args().seeds)
