"""Choice of a plain server by many daemons, with counts of the others that are a second old.

Calls last 0.022 s, or 0.07 s at the median with a tail. One server of three is three times slower, and
the halls take turns in sending most calls.
"""

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple

import pytest

from bayglade import fleet as fleet_module
from bayglade import plain_balancing, wholes
from bayglade.config import GatewayConfig
from bayglade.entries.wire import Heartbeat, ServerLoad
from bayglade.fleet import Fleet
from bayglade.gateway import Gateway
from bayglade.ids import BackendId, HallName, Incarnation, MemberId, Revision, ServerKey, ServiceName
from bayglade.plain_balancing import (
    OtherLoads,
    balanced_services,
    choose_server,
    effective_slots,
    without_recent_refusals,
)
from bayglade.readers import Ranking
from bayglade.servers import Server, ServerFacts
from bayglade.settings import Service, Tree
from tests.server_rows import facts_of

SERVICE = ServiceName("plain")
DAEMONS, HALLS, SLOTS = 130, 3, 6
QUEUE = 3
"""Calls that wait at a server; it refuses those beyond."""
SLOWDOWN = 3.0
WAVE_SECONDS, WAVE_SHARE = 4.0, 0.7
"""The halls take turns in sending this share of all calls."""
REPEATABLE = 0.3
STALE_SECONDS = 1.0
SNAPSHOT_SECONDS = 0.05
RUN_SECONDS = 30.0

Choose = Callable[[Sequence[Server], HallName, OtherLoads, float, random.Random], Server]


def server(number: int, hall: int) -> Server:
    name = BackendId(f"s{number}")
    return Server(ServerFacts(id=name, service=SERVICE, address="", hall=HallName(f"h{hall}"), slots=SLOTS))


def by_own_count(
    servers: Sequence[Server], own: HallName, others: OtherLoads, at: float, rng: random.Random
) -> Server:
    """Choose as daemons do that go by their own counts; see ``wholes``."""

    def load(s: Server) -> float:
        return s.in_flight / SLOTS + (0.5 if s.facts.hall != own else 0.0) + s.refusals.read(at)

    return min(servers, key=lambda s: (load(s), rng.random()))


def least_loaded(
    servers: Sequence[Server], own: HallName, others: OtherLoads, at: float, rng: random.Random
) -> Server:
    """Choose the least loaded server by the counts of all daemons."""

    def load(s: Server) -> float:
        busy = s.in_flight + others.get(s.facts.key, 0) + s.refusals.read(at)
        return (busy + (0.5 if s.facts.hall != own else 0.0)) / SLOTS

    return min(servers, key=lambda s: (load(s), rng.random()))


class Result(NamedTuple):
    """Shares of calls, and the wait of answered ones in seconds."""

    free: float
    refused: float
    lost: float
    wait: float
    latency: float


class Work:
    """One call: who sent it, when, and how long a usual server takes."""

    def __init__(self, daemon: int, at: float, seconds: float, repeatable: bool) -> None:
        self.daemon, self.at, self.seconds, self.repeatable = daemon, at, seconds, repeatable
        self.sent_at = at
        self.tried: set[int] = set()


class Pool:
    """Servers, one in each hall, the last of them slow, and the daemons that share them."""

    def __init__(self, choose: Choose, seed: int, slow: float = SLOWDOWN) -> None:
        self.choose = choose
        self.rng = random.Random(seed)
        self.paces = [1.0] * (HALLS - 1) + [slow]
        self.seen = [[server(n, n) for n in range(HALLS)] for _ in range(DAEMONS)]
        self.running: list[list[Work]] = [[] for _ in range(HALLS)]
        self.queues: list[deque[Work]] = [deque() for _ in range(HALLS)]
        self.past: deque[tuple[float, list[list[int]]]] = deque()
        """Counts of each daemon at the last snapshots, by time."""

        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.made = self.calls = self.found_free = self.refused = self.lost = 0
        self.waits: list[float] = []
        self.latencies: list[float] = []

    def play(self, per_second: float, seconds: Callable[[random.Random], float]) -> Result:
        at, until = 100.0, 100.0 + RUN_SECONDS
        self.after(at, self.snapshot)
        while at < until:
            at += self.rng.expovariate(per_second)
            self.run_until(at)
            wave = int((at - 100.0) / WAVE_SECONDS) % HALLS
            hall = wave if self.rng.random() < WAVE_SHARE else self.rng.randrange(HALLS)
            daemon = self.rng.randrange(hall, DAEMONS, HALLS)
            self.calls += 1
            self.send(at, Work(daemon, at, seconds(self.rng), self.rng.random() < REPEATABLE))
        waits, latencies = sorted(self.waits), sorted(self.latencies)
        last = int(0.99 * (len(waits) - 1))
        shares = (count / self.calls for count in (self.found_free, self.refused, self.lost))
        return Result(*shares, waits[last], latencies[int(0.99 * (len(latencies) - 1))])

    def after(self, at: float, act: Callable[[float], None]) -> None:
        self.made += 1
        heapq.heappush(self.events, (at, self.made, act))

    def run_until(self, at: float) -> None:
        while self.events[0][0] <= at:
            due, _, act = heapq.heappop(self.events)
            act(due)

    def snapshot(self, at: float) -> None:
        self.past.append((at, [[s.in_flight for s in seen] for seen in self.seen]))
        while self.past[0][0] < at - STALE_SECONDS - 1e-6:
            self.past.popleft()
        self.after(at + SNAPSHOT_SECONDS, self.snapshot)

    def others(self, daemon: int) -> dict[ServerKey, int]:
        counts = self.past[0][1]
        totals = [sum(row[n] for row in counts) - counts[daemon][n] for n in range(HALLS)]
        return {s.facts.key: total for s, total in zip(self.seen[daemon], totals, strict=True)}

    def send(self, at: float, work: Work) -> None:
        seen = self.seen[work.daemon]
        usable = [s for n, s in enumerate(seen) if n not in work.tried]
        others = self.others(work.daemon) if self.choose is not by_own_count else {}
        if self.choose is choose_server and not work.repeatable:
            usable = list(without_recent_refusals(usable, at))
        number = seen.index(self.choose(usable, HallName(f"h{work.daemon % HALLS}"), others, at, self.rng))
        work.tried.add(number)
        work.sent_at = at
        if len(self.running[number]) < SLOTS:
            self.found_free += len(work.tried) == 1
            seen[number].in_flight += 1
            self.begin(at, work, number)
        elif len(self.queues[number]) < QUEUE:
            seen[number].in_flight += 1
            self.queues[number].append(work)
        else:
            self.refused += 1
            seen[number].refusals.add(1.0, at)
            if work.repeatable and len(work.tried) < 2:
                self.send(at, work)
            else:
                self.lost += 1

    def begin(self, at: float, work: Work, number: int) -> None:
        self.running[number].append(work)
        self.waits.append(at - work.at)
        self.after(at + work.seconds * self.paces[number], lambda due: self.end(due, work, number))

    def end(self, at: float, work: Work, number: int) -> None:
        self.running[number].remove(work)
        seen = self.seen[work.daemon][number]
        seen.in_flight -= 1
        seen.note_answer(at - work.sent_at, at)
        self.latencies.append(at - work.at)
        if self.queues[number]:
            self.begin(at, self.queues[number].popleft(), number)


def short(rng: random.Random) -> float:
    return 0.022


def tailed(rng: random.Random) -> float:
    """Return the length of a call of 70 ms at the median, with a log-normal tail."""
    return 0.07 * math.exp(rng.gauss(0.0, 0.8))


USUAL_SECONDS = {short: 0.022, tailed: 0.07 * math.exp(0.8**2 / 2)}
CAPACITY_SLOTS = SLOTS * (HALLS - 1) + SLOTS / SLOWDOWN


def play(choose: Choose, seconds: Callable[[random.Random], float], busy: float) -> Result:
    """Play calls that keep a part of the capacity busy."""
    return Pool(choose, 1).play(busy * CAPACITY_SLOTS / USUAL_SECONDS[seconds], seconds)


@pytest.mark.parametrize("seconds", [short, tailed])
@pytest.mark.parametrize("busy", [0.1, 0.4, 0.7])
def test_fewer_calls_are_lost_than_by_own_counts_or_by_old_ones(
    seconds: Callable[[random.Random], float], busy: float
) -> None:
    """Guards against overloading the server of the hall that sends most, or all daemons' favourite."""
    new, own = play(choose_server, seconds, busy), play(by_own_count, seconds, busy)
    old = play(least_loaded, seconds, busy)
    assert new.lost <= min(own.lost, old.lost) + 0.0005
    assert new.free >= max(own.free, old.free) - 0.01


def test_trusting_old_counts_fully_overloads_one_server_after_the_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a larger weight of old counts: with 1, more calls are lost than by own counts."""
    monkeypatch.setattr(plain_balancing, "OLD_COUNT_WEIGHT", 1.0)
    assert play(choose_server, short, 0.4).lost > play(by_own_count, short, 0.4).lost


AT = 100.0
HOME = HallName("h0")


def shares(servers: Sequence[Server], others: OtherLoads) -> list[float]:
    """Return the share of calls of the first hall that each server gets."""
    rng = random.Random(1)
    chosen = [choose_server(servers, HOME, others, AT, rng) for _ in range(2000)]
    return [chosen.count(s) / len(chosen) for s in servers]


@pytest.fixture
def pool() -> list[Server]:
    return [server(n, n) for n in range(HALLS)]


@pytest.mark.parametrize(("excess", "remote"), [(0, False), (5, False), (6, True)])
def test_another_hall_is_used_when_it_has_half_a_slot_more_room(
    pool: list[Server], excess: int, remote: bool
) -> None:
    """Guards against answers from afar while the own hall has room. Five old calls count as half a slot."""
    home = shares(pool, {pool[0].facts.key: excess})[0]
    assert (home < 1.0) is remote


def test_a_slow_server_gets_fewer_calls() -> None:
    """Guards against filling a server that takes three times as long."""
    near = [server(n, 0) for n in range(2)]
    for s, pace in zip(near, (1.0, 3.0), strict=True):
        s.answers.created_at = s.answers.updated_at = s.answer_seconds.updated_at = AT
        for _ in range(5):
            s.note_answer(0.02 * pace, AT)
    fast, slow = effective_slots(near, AT).values()
    assert slow < 0.5 * fast
    assert shares(near, {})[1] < 0.3


def test_a_call_that_may_run_once_avoids_servers_that_refused_recently(pool: list[Server]) -> None:
    """Guards against losing calls that have one attempt only."""
    for s in pool:
        s.refusals.updated_at = AT
    pool[0].refusals.add(1.0, AT)
    assert without_recent_refusals(pool, AT + 4.9) == pool[1:]
    assert without_recent_refusals(pool, AT + 5.1) == pool
    for s in pool[1:]:
        s.refusals.add(1.0, AT)
    assert without_recent_refusals(pool, AT + 1.0) == pool


@pytest.mark.parametrize(("daemons", "balanced"), [(18, set()), (19, {SERVICE})])
def test_only_services_with_fewer_slots_than_daemons_are_balanced(
    pool: list[Server], daemons: int, balanced: set[ServiceName]
) -> None:
    """Guards against a change of choice where the own counts carry information."""
    assert balanced_services(daemons, pool, ()) == balanced
    assert balanced_services(daemons, pool, {SERVICE}) == set()


@pytest.mark.parametrize(("daemons", "others_seen"), [(18, False), (130, True)])
def test_a_call_is_sent_by_the_counts_of_all_daemons_where_many_share_a_service(
    monkeypatch: pytest.MonkeyPatch, daemons: int, others_seen: bool
) -> None:
    """Guards against a choice that ignores the counts, and one that uses them in a small site."""
    monkeypatch.setattr(wholes, "now", lambda: AT)
    monkeypatch.setattr(fleet_module, "now", lambda: AT)
    fleet = Fleet()
    rows = [
        facts_of(f"s{n}", service=SERVICE, zone="h0", slots=6, layers=None, kind=None) for n in range(3)
    ]
    fleet.apply_changes(rows, [], outage=False)
    full = rows[0].key
    context: Any = SimpleNamespace(
        fleet=fleet,
        rng=random.Random(1),
        paths=SimpleNamespace(
            hall=HOME, remote_loads=lambda: {full: ServerLoad(full.backend, 60, 0, full.incarnation)}
        ),
        quarantine=SimpleNamespace(is_suspect=lambda call: False),
        diagnosis=SimpleNamespace(count_daemons=lambda: daemons),
    )
    call: Any = SimpleNamespace(service=SERVICE, at_most_once=True)
    attempts: Any = SimpleNamespace(tried=set(), allowed_servers=lambda: None)
    chosen = [wholes._choose_server(context, call, attempts, attempts.tried) for _ in range(300)]
    got = sum(s is not None and s.facts.key == full for s in chosen)
    assert (got < 10) is others_seen


def plain_gateway() -> tuple[Gateway, ServerFacts]:
    """Return a gateway that has two calls in flight on a plain server."""
    config = GatewayConfig(
        member=MemberId("a"),
        hall=HOME,
        callers="127.0.0.1:1",
        ready="127.0.0.1:2",
        metrics="127.0.0.1:3",
        store="127.0.0.1:4",
    )
    gateway = Gateway(config, Path("/nonexistent"))
    rows = [facts_of("s", service=SERVICE, zone="h0", slots=6, layers=None, kind=None)]
    gateway.fleet.apply_changes(rows, [], outage=False)
    gateway.fleet.servers[rows[0].id].in_flight = 2
    return gateway, rows[0]


@pytest.mark.parametrize(("daemons", "told"), [(6, False), (7, True)])
def test_other_daemons_are_told_of_plain_servers_only_where_many_share_them(
    daemons: int, told: bool
) -> None:
    """Guards against larger heartbeats in sites where nobody uses the counts."""
    gateway, facts = plain_gateway()
    gateway.peering.ranking = Ranking({MemberId(f"d{n}"): HOME for n in range(daemons)})
    expected = [ServerLoad(facts.id, 2, 0, facts.incarnation)] if told else []
    assert gateway.peering._loads() == expected


def test_a_restarted_plain_server_is_not_probed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against suspecting a plain server, which has no report, because others know a later start."""
    gateway, facts = plain_gateway()
    probed: list[ServerKey] = []
    monkeypatch.setattr(gateway.peering.spreading, "probe_restarted", probed.extend)
    later = ServerLoad(facts.id, 1, 0, Incarnation(facts.incarnation + 1))
    beat = Heartbeat(revision=Revision(1), draining=False, usage=[], leaving=[], held=[], loads=[later])
    gateway.peering._receive_heartbeat(MemberId("b"), beat)
    assert probed == []
    gateway.intake.tree = Tree(services={SERVICE: Service({}, pipeline=object())})  # type: ignore[arg-type]
    gateway.peering._receive_heartbeat(MemberId("b"), beat)
    assert probed == [later.key]
