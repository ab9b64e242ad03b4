"""The entry daemon: puts the parts together, runs their tasks, stops in order."""

import random
import signal
import socket
from collections.abc import Callable, Iterable

import eventlet
from eventlet.event import Event

from bayglade import callers, logs
from bayglade.claims import Claims
from bayglade.clock import keep_timers, now
from bayglade.config import Config, parse_address
from bayglade.directory import Directory
from bayglade.engines import create_engines
from bayglade.entries import Membership
from bayglade.entries.membership import LIVE_TIMEOUT
from bayglade.entries.wire import Heartbeat
from bayglade.exceptions import BaygladeError
from bayglade.ids import BackendId, MemberId
from bayglade.leases import Lease
from bayglade.logs import event
from bayglade.metrics import create_metrics
from bayglade.operators.api import Operators
from bayglade.placement import LEASE_NAME, Placer
from bayglade.presence import Presence
from bayglade.responses import (
    Environ,
    Response,
    StartResponse,
    error_response,
    json_response,
    start,
)
from bayglade.revisions import Current, Revisions
from bayglade.router import Router
from bayglade.services import create_services
from bayglade.table import create_platform
from bayglade.table.wire import HostKind, HostState
from bayglade.trust import Trust

TICK_INTERVAL = 0.25
PROBES_PER_SECOND = 2.0
LATE_TICK = 0.5
PLATFORM_POLLS_PER_SECOND = 200.0
"""Polls of the platform that all daemons together allow themselves, of either kind."""
HOSTS_POLL_FACTOR = 2.0
HEARD_POLL_FACTOR = 5.0
DRAIN_POLL = 0.05
PLACE_INTERVAL = 1.0
HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
ADMIN_PREFIX = "/admin/"
LISTEN_BACKLOG = 1024


class Daemon:
    """One entry daemon."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.rng = random.Random()
        self.metrics = create_metrics(config.statsd, config.member)
        self.platform = create_platform(config.platform)
        self.engines = create_engines()
        self.revisions = Revisions(self.platform, self._settings_changed)
        self.trust = Trust(self.revisions, lambda: self.membership, config.blind_limit)
        self.router = Router(
            self.engines,
            create_services(),
            Claims(self.platform, config.member, self.metrics),
            self.trust,
            self.metrics,
            config.hall,
            self.rng,
        )
        self.placer = Placer(
            Lease(self.platform, LEASE_NAME, config.member),
            self.engines,
            self.router.backends,
            self.metrics,
        )
        self.membership = Membership(
            config.member,
            config.entry_secret.encode(),
            self.revisions,
            self.router.usage,
            self.metrics,
            self._leaving,
            self.placer.recent,
            self._heard,
            self.rng,
        )
        self.presence = Presence(self.metrics)
        self.callers = callers.Callers(
            self.router, self.presence, config.max_body_bytes, config.body_timeout
        )
        self.operators = Operators(config.member, self.router, self.revisions, self.membership, self.ready)
        self.before: Current = self.revisions.current
        self.stopping = Event()
        self.own_leaving: set[BackendId] = set()
        self.listed_leaving: set[BackendId] = set()
        self.heard_leaving: dict[BackendId, float] = {}

    def __repr__(self) -> str:
        return f"<Daemon {self.config.member} {self.router!r}>"

    def run(self) -> None:
        """Serve until told to stop, then stop in order.

        :raises OSError: when an address cannot be listened on.
        """
        logs.set_up(self.config.member, self.config.log_format, self.config.log_level)
        keep_timers()
        callers_socket = _listen(self.config.callers)
        entries_socket = _listen(self.config.entries)
        self._on_signals()
        tasks = (self._poll_hosts, self._poll_settings, self._probe, self._tick, self._place)
        for task in (*tasks, self.presence.run):
            eventlet.spawn_n(task)
        eventlet.spawn_n(self.membership.serve, entries_socket)
        server = eventlet.spawn(self._serve, callers_socket)
        event("INFO", "started", callers=self.config.callers, entries=self.config.entries)
        self.stopping.wait()
        self._drain(server)

    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return not self.membership.draining and self.trust.is_fresh()

    def application(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one HTTP request (PEP 3333)."""
        started = now()
        try:
            response = self._respond(environ)
        except BaygladeError as error:
            response = error_response(error)
            self.metrics.count(f"errors.{error.code}")
            event("INFO", "request failed", path=environ["PATH_INFO"], error=repr(error))
        except Exception as error:  # noqa: BLE001 - no traceback may reach a caller
            event("ERROR", "request broke", path=environ["PATH_INFO"], error=repr(error))
            response = error_response(BaygladeError("an error inside the daemon", step="respond"))
        self.metrics.count("requests")
        self.metrics.time("request.first_byte", now() - started)
        # A body that was not read to its end would be taken for the next request.
        close = self.membership.draining or response.status in (400, 413)
        return start(response, environ, start_response, close)

    def _respond(self, environ: Environ) -> Response:
        path = environ["PATH_INFO"]
        if path == HEALTH_PATH:
            return json_response("alive")
        if path == READY_PATH:
            return json_response("ready") if self.ready() else json_response("not ready", 503)
        if path.startswith(ADMIN_PREFIX):
            return self.operators.handle(environ)
        return self.callers.handle(environ)

    def _serve(self, sock: socket.socket) -> None:
        callers.serve(sock, self.application, self.config.max_connections, self.config.header_timeout)

    def _on_signals(self) -> None:
        def told(_: int, __: object) -> None:
            # A signal arrives between any two steps: only pass it on.
            eventlet.hubs.get_hub().schedule_call_global(0, self._stop)

        signal.signal(signal.SIGTERM, told)
        signal.signal(signal.SIGINT, told)

    def _stop(self) -> None:
        if not self.stopping.ready():
            self.stopping.send()
            return
        event("WARNING", "told twice to stop", cut=list(self.router.active))
        raise SystemExit(1)

    def _drain(self, server: eventlet.greenthread.GreenThread) -> None:
        """Stop in order: unready first, then no new connections, then wait for answers."""
        self.membership.draining = True
        self.membership.send_heartbeats()
        event("INFO", "stopping", in_flight=len(self.router.active))
        eventlet.sleep(self.config.balancer_delay)
        server.kill()
        until = now() + self.config.drain_limit
        while self.router.active and now() < until:
            eventlet.sleep(DRAIN_POLL)
        if self.router.active:
            event("WARNING", "stopping cuts requests", cut=list(self.router.active))
        # Answers that are made are still being written, and claims kept.
        with eventlet.Timeout(max(0.1, until - now()), False):
            server.wait()
            self._wait_for_claims()
        event("INFO", "stopped")

    def _wait_for_claims(self) -> None:
        while self.router.claims.busy():
            eventlet.sleep(DRAIN_POLL)

    def _settings_changed(self, current: Current) -> None:
        before, self.before = self.before, current
        self.router.sync(current.tree)
        directory = Directory(current.tree)
        self.callers.directory = directory
        self.operators.directory = directory
        self.engines.forget({backend.address for backend in current.tree.backends.values()})
        self._mark_leaving()
        self.membership.announce_revision(before, current)
        self.metrics.gauge("settings.revision", current.revision)

    def _poll_hosts(self) -> None:
        """Ask the platform for the host list now and then."""
        while True:
            self._try("hosts", self._take_hosts)
            self._pause(HOSTS_POLL_FACTOR)

    def _poll_settings(self) -> None:
        """Ask the platform for the head: seldom while other daemons would tell of it."""
        while True:
            self._try("settings", self.revisions.poll)
            heard = self.membership.live() and self.revisions.current.revision
            self._pause(HEARD_POLL_FACTOR if heard else 1.0)

    def _pause(self, factor: float) -> None:
        """Wait for the next poll, longer the more daemons share the platform."""
        crowd = len(self.membership.listed) / PLATFORM_POLLS_PER_SECOND
        interval = max(self.config.poll_interval * factor, crowd)
        eventlet.sleep(interval * self.rng.uniform(0.8, 1.2))

    def _try(self, what: str, ask: Callable[[], None]) -> None:
        try:
            ask()
        except BaygladeError as error:
            self.metrics.count(f"platform.{what}_failed")
            event("WARNING", "platform failed", what=what, error=repr(error))

    def _take_hosts(self) -> None:
        hosts = self.platform.hosts()
        entries = {h.id: h.address for h in hosts if h.kind is HostKind.ENTRY}
        self.membership.update_members(entries)  # type: ignore[arg-type]
        gone = {h.id for h in hosts if h.kind is HostKind.BACKEND and h.state is HostState.LEAVING}
        self.listed_leaving = {BackendId(host) for host in gone}
        self._mark_leaving()

    def _leaving(self) -> list[BackendId]:
        """List the servers that said here that they leave, for the other daemons."""
        return sorted(self.own_leaving)

    def _heard(self, member: MemberId, beat: Heartbeat) -> None:
        """Take in what another daemon says of backend servers."""
        states = self.router.backends.states
        for backend in beat.leaving:
            self.heard_leaving[backend] = now()
            if backend in states:
                states[backend].leaving = True
        for held in beat.held:
            if held.backend in states:
                states[held.backend].hold(held.version)

    def _place(self) -> None:
        """Give the orders of placement that fall to this daemon, for ever."""
        while True:
            eventlet.sleep(PLACE_INTERVAL * self.rng.uniform(0.8, 1.2))
            if self.trust.is_fresh() and not self.membership.draining:
                self._try("placement", lambda: self.placer.run_once(self.router.tree))

    def _mark_leaving(self) -> None:
        """Bring together what the host list, other daemons and the servers say."""
        since = now() - LIVE_TIMEOUT
        self.heard_leaving = {b: at for b, at in self.heard_leaving.items() if at > since}
        elsewhere = self.listed_leaving | self.heard_leaving.keys()
        self.router.leaving = elsewhere
        for state in self.router.backends.states.values():
            said = state.reported is not None and state.reported.leaving
            if said:
                self.own_leaving.add(state.id)
            state.leaving = said or state.id in elsewhere

    def _probe(self) -> None:
        """Ask servers for their load in turn, a bounded number a second."""
        while True:
            for state in list(self.router.backends.states.values()):
                eventlet.sleep(1.0 / PROBES_PER_SECOND)
                load = self.engines.load(state.facts.address)
                if load is not None:
                    self.router.backends.report(state.id, load)
                if load is not None and load.leaving:
                    self.own_leaving.add(state.id)
                elif load is not None:
                    self.own_leaving.discard(state.id)
            eventlet.sleep(1.0 / PROBES_PER_SECOND)

    def _tick(self) -> None:
        """Look after what depends on time alone."""
        while True:
            due = now() + TICK_INTERVAL
            eventlet.sleep(TICK_INTERVAL)
            late = now() - due
            self.metrics.gauge("loop.late_seconds", late)
            if late > LATE_TICK:
                event("WARNING", "the loop was late", seconds=round(late, 3))
            self.membership.run_due()
            self._mark_leaving()
            self.router.divide(len(self.membership.live()) + 1)
            self.router.admission.fail_uncovered()
            self.router.admission.dispatch_all()


def create_daemon(config: Config) -> Daemon:
    """Build a daemon; it does nothing until :meth:`Daemon.run`.

    :param config: the daemon's own settings.
    :return: the daemon.
    """
    return Daemon(config)


def _listen(address: str) -> socket.socket:
    where = parse_address(address)
    # Without reuse_port=False two daemons could share a port without a word.
    sock: socket.socket = eventlet.listen(
        (where.host, where.port), backlog=LISTEN_BACKLOG, reuse_port=False
    )
    # Accepted connections take this over: a token must not wait for an acknowledgement.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
