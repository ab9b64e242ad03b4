"""Limits of servers among many daemons: never exceeded, used by whoever has callers, whoever is lost.

The limits and the lending are the product's own; servers, streams between daemons and what a daemon
notices of others are simulated, in virtual time.
"""

import random
from collections.abc import Callable, Sequence

import eventlet
import pytest

from bayglade import fleet as fleet_module
from bayglade import quotas, rate_limits
from bayglade.entries.wire import Findings, LimitNotice, Message, QuotaReply, QuotaRequest, QuotaReturn
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, MemberId
from bayglade.quotas import LOAN_SECONDS, Quotas, choose_keeper
from bayglade.servers import Server
from standins.limit_sharing import allowed, worst_window
from tests.server_rows import facts_of
from tests.virtual_time import now, run_virtually

SERVER = BackendId("s")
WAY_SECONDS = 0.001
SILENT_SECONDS = 1.8
"""After this time a daemon is known to be lost."""

TOLD_SECONDS = 0.5
TURN_SECONDS = 0.06
"""Time between a daemon's looks for a request that it may send."""

ANSWER_SECONDS = 0.05
MESH = 16


class Backend:
    """The server: what reached it, and the limit that its answers name."""

    def __init__(self, rate: float | None) -> None:
        self.rate = rate
        self.arrived: list[tuple[float, Daemon]] = []


class Daemon:
    """One daemon: it knows limits, borrows, keeps, and has callers."""

    def __init__(self, name: str, site: "Site") -> None:
        self.name = MemberId(name)
        self.site = site
        self.fleet = Fleet()
        self.fleet.apply_changes([facts_of(layers=None, kind=None)], [], outage=False)
        self.limits = self.fleet.rate_limits
        self.limits.me = self.name
        self.limits.on_news = self._tell
        self.quotas = Quotas(
            self.limits,
            self.name,
            self._keeper,
            self._route,
            lambda to, message: site.deliver(self, to, message),
            lambda service: self.serve(),
            random.Random(name),
        )
        self.callers: list[float] = []
        self.served = 0
        self.told_at: float | None = None
        """When it first passed on an answer that named a limit."""

        self.alive = True
        self.frozen_until = 0.0

    @property
    def server(self) -> Server:
        return self.fleet.servers[SERVER]

    def serve(self) -> None:
        """Send what callers wait for, as far as the limit allows."""
        if not self.alive or now() < self.frozen_until:
            return
        self.callers = [until for until in self.callers if until > now()]
        while self.callers:
            throttle = self.server.throttle
            self.limits.want([self.server])
            if throttle is not None and not throttle.take(now()):
                return
            self.callers.pop(0)
            self.send()

    def send(self) -> None:
        """Send a request to the server and take in its answer."""
        at, backend = now(), self.site.backend
        backend.arrived.append((at, self))
        self.served += 1
        rate = backend.rate
        eventlet.spawn_after(ANSWER_SECONDS, self._answered, at, rate)

    def hear(self, sender: MemberId, message: Message) -> None:
        if not self.alive:
            return
        if now() < self.frozen_until:
            eventlet.spawn_after(self.frozen_until - now() + WAY_SECONDS, self.hear, sender, message)
            return
        if isinstance(message, Findings):
            news = self.limits.heard(message.limits)
            if news and self.name in self.site.readers():
                self.site.tell(self, Findings(limits=news), but=sender)
        elif isinstance(message, QuotaRequest):
            self.quotas.heard_request(sender, message)
        elif isinstance(message, QuotaReply):
            self.quotas.heard_reply(sender, message)
        elif isinstance(message, QuotaReturn):
            self.quotas.heard_return(sender, message)

    def _answered(self, sent_at: float, rate: float | None) -> None:
        if not self.alive:
            return
        if rate is not None and self.told_at is None:
            self.told_at = now()
        self.limits.answered(self.server, rate, sent_at, "an answer")

    def _tell(self, notices: list[LimitNotice]) -> None:
        self.site.tell(self, Findings(limits=notices))

    def _keeper(self, server: Server) -> MemberId | None:
        return choose_keeper(server.facts.key, self.site.readers(self) or self.site.names(self))

    def _route(self, member: MemberId) -> MemberId | None:
        readers = self.site.readers(self)
        known = self.site.streams(self.name)
        return next((name for name in (member, *readers) if name in known), None)


class Site:
    """The daemons before one server, and the streams between them."""

    def __init__(self, count: int, rate: float | None) -> None:
        self.rng = random.Random(count)
        self.backend = Backend(rate)
        self.daemons: dict[MemberId, Daemon] = {}
        self.lost_at: dict[MemberId, float] = {}
        self.messages = 0
        self.made = 0
        for _ in range(count):
            self.add()

    def add(self) -> Daemon:
        daemon = Daemon(f"d{self.made}", self)
        self.made += 1
        for other in self.daemons.values():
            # A daemon that joins is told what holds.
            if (known := other.limits.known()) and other.name in self.readers() | self.streams(daemon.name):
                eventlet.spawn_after(WAY_SECONDS, daemon.hear, other.name, Findings(limits=known))
        self.daemons[daemon.name] = daemon
        return daemon

    def keeper(self) -> Daemon:
        """Return the daemon that keeps the limit."""
        viewer = next(daemon for daemon in self.daemons.values() if daemon.alive)
        name = viewer._keeper(viewer.server)
        assert name is not None
        return self.daemons[name]

    def kill(self, daemon: Daemon) -> None:
        daemon.alive = False
        self.lost_at[daemon.name] = now()

    def names(self, viewer: Daemon | None = None) -> list[MemberId]:
        """List the daemons that are taken to live."""
        return [
            name for name in self.daemons if now() - self.lost_at.get(name, float("inf")) < SILENT_SECONDS
        ]

    def readers(self, viewer: Daemon | None = None) -> set[MemberId]:
        """Return who reads for the others in a large site; nobody in a small one."""
        return set(sorted(self.names())[:2]) if len(self.daemons) > MESH else set()

    def streams(self, name: MemberId) -> set[MemberId]:
        readers = self.readers()
        if not readers or name in readers:
            return set(self.daemons) - {name}
        return readers

    def deliver(self, sender: Daemon, to: MemberId, message: Message) -> None:
        self.messages += 1
        if to in self.daemons and sender.alive and to in self.streams(sender.name):
            eventlet.spawn_after(WAY_SECONDS, self.daemons[to].hear, sender.name, message)

    def tell(self, sender: Daemon, findings: Findings, but: MemberId | None = None) -> None:
        for name in self.streams(sender.name):
            if name != but:
                self.deliver(sender, name, findings)

    def run(self, seconds: float, callers_per_second: float, some: Sequence[Daemon] = ()) -> None:
        """Have callers come to all daemons, or to some, for a while."""
        until = now() + seconds
        due = now()
        while now() < until:
            eventlet.sleep(TURN_SECONDS)
            while due < now():
                due += self.rng.expovariate(callers_per_second)
                live = [d for d in (some or list(self.daemons.values())) if d.alive]
                self.rng.choice(live).callers.append(now() + 1.5)
            for daemon in list(self.daemons.values()):
                daemon.serve()

    def worst(self, since: float = 0.0, excused: Sequence[Daemon] = ()) -> int:
        """Return the most requests in a window, of daemons that knew the limit by their own answers."""
        times = [
            at
            for at, daemon in self.backend.arrived
            if daemon not in excused
            and daemon.told_at is not None
            and at >= max(since, daemon.told_at + TOLD_SECONDS)
        ]
        return worst_window(times)

    def got(self, since: float) -> int:
        return sum(1 for at, _ in self.backend.arrived if at >= since)


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (quotas, rate_limits, fleet_module):
        monkeypatch.setattr(module, "now", now)


def play(scenario: Callable[[], None]) -> None:
    run_virtually(scenario)


@pytest.mark.parametrize("count", [1, 8, 14, 64, 200])
@pytest.mark.parametrize("rate", [0.25, 1.0, 4.0, 16.0])
def test_a_limit_is_kept_and_used_by_whoever_has_callers(count: int, rate: float) -> None:
    def scenario() -> None:
        site = Site(count, rate)
        site.run(5.0, 4 * rate)
        since = now()
        site.run(30.0, 4 * rate)
        assert site.worst() <= allowed(rate)
        assert site.got(since) >= 0.75 * rate * 30.0 - 1
        few = list(site.daemons.values())[: max(1, count // 10)]
        since = now()
        site.run(30.0, 4 * rate, few)
        assert site.worst() <= allowed(rate)
        assert site.got(since) >= 0.75 * rate * 30.0 - 1

    play(scenario)


@pytest.mark.parametrize("count", [8, 200])
@pytest.mark.parametrize("rate", [1.0, 4.0])
def test_a_limit_holds_when_all_ask_at_once_after_a_silence(count: int, rate: float) -> None:
    def scenario() -> None:
        site = Site(count, rate)
        site.run(3.0, 4 * rate)
        for _ in range(4):
            eventlet.sleep(6.0)
            for daemon in site.daemons.values():
                daemon.callers.append(now() + 1.5)
            site.run(2.0, 0.001)
        assert site.worst() <= allowed(rate)

    play(scenario)


@pytest.mark.parametrize("count", [8, 14, 200])
def test_a_limit_holds_while_keepers_are_lost_and_daemons_come(count: int) -> None:
    def scenario() -> None:
        site = Site(count, 2.0)
        site.run(5.0, 8.0)
        for _ in range(4):
            site.kill(site.keeper())
            site.run(1.0, 8.0)
            site.add()
            site.run(4.0, 8.0)
        since = now()
        site.run(10.0, 8.0)
        assert site.worst() <= allowed(2.0)
        assert site.got(since) >= 0.7 * 2.0 * 10.0

    play(scenario)


@pytest.mark.parametrize("count", [8, 200])
def test_a_frozen_daemon_sends_nothing_that_was_lent_long_ago(count: int) -> None:
    def scenario() -> None:
        site = Site(count, 2.0)
        site.run(5.0, 8.0)
        for daemon in list(site.daemons.values())[: count // 2]:
            daemon.frozen_until = now() + 5.0
        site.run(12.0, 8.0)
        assert site.worst() <= allowed(2.0)

    play(scenario)


@pytest.mark.parametrize("count", [2, 8, 200])
def test_the_end_of_a_limit_reaches_all_and_notices_die_out(count: int) -> None:
    def scenario() -> None:
        site = Site(count, 2.0)
        site.run(8.0, 8.0)
        assert all(daemon.server.throttle is not None for daemon in site.daemons.values())
        site.backend.rate = None
        site.run(3.0, 8.0)
        assert all(daemon.server.throttle is None for daemon in site.daemons.values())
        eventlet.sleep(2 * LOAN_SECONDS)
        before = site.messages
        eventlet.sleep(60.0)
        assert site.messages == before

    play(scenario)


@pytest.mark.parametrize("count", [2, 8, 200])
def test_a_change_of_a_limit_reaches_all(count: int) -> None:
    def scenario() -> None:
        site = Site(count, 8.0)
        site.run(6.0, 32.0)
        site.backend.rate = 1.0
        site.run(3.0, 32.0)
        since = now()
        site.run(10.0, 32.0)
        assert site.worst(since) <= allowed(1.0)
        rates = {
            daemon.server.rate_limit and daemon.server.rate_limit.rate for daemon in site.daemons.values()
        }
        assert rates == {1.0}

    play(scenario)


def test_a_server_that_takes_none_is_asked_very_seldom() -> None:
    def scenario() -> None:
        site = Site(8, 0.0)
        site.run(5.0, 8.0)
        since = now()
        site.run(200.0, 8.0)
        assert 1 <= site.got(since) <= 5
        site.backend.rate = None
        site.run(120.0, 8.0)
        assert all(daemon.server.throttle is None for daemon in site.daemons.values())

    play(scenario)


def test_messages_do_not_grow_with_the_calls_that_find_nothing() -> None:
    def scenario() -> None:
        site = Site(8, 1.0)
        site.run(5.0, 4.0)
        before = site.messages
        site.run(20.0, 400.0)
        assert site.messages - before <= 20.0 * 8 * 8

    play(scenario)


def test_what_was_lent_is_sent_within_a_second_or_returned() -> None:
    def scenario() -> None:
        site = Site(2, 1.0)
        site.run(5.0, 4.0)
        daemon, server = next((d, d.server) for d in site.daemons.values() if d is not site.keeper())
        eventlet.sleep(3.0)
        daemon.limits.want([server])
        eventlet.sleep(0.1)
        assert server.usable(now())
        eventlet.sleep(LOAN_SECONDS)
        assert server.throttle is not None
        assert not server.usable(now())
        assert not server.throttle.take(now())
        # The keeper has it back, and lends it to the next who asks.
        other = site.keeper()
        other.limits.want([other.server])
        eventlet.sleep(0.1)
        assert other.server.usable(now())

    play(scenario)
