"""The entry daemon: creates the components, runs their tasks and shuts down gracefully."""

import random
import signal
import socket
from collections.abc import Callable, Iterable

import eventlet
from eventlet.event import Event

from bayglade import callers, logs
from bayglade.allocator import pin_mmap_threshold
from bayglade.claims import Claims
from bayglade.clients import (
    CALLERS_ANSWER_FRACTION,
    CALLERS_REQUEST_FRACTION,
    CALLERS_SOCKET_FRACTION,
    ClientRemoved,
    Clients,
    client_limits,
    host_memory_mb,
    host_sockets,
)
from bayglade.clock import now, use_boottime_timers
from bayglade.config import DEFAULT_MAX_ANSWER_BYTES, Config, parse_address
from bayglade.directory import Directory
from bayglade.disconnects import DisconnectWatcher
from bayglade.engines import create_engines
from bayglade.entries import Membership
from bayglade.entries.membership import LIVE_TIMEOUT
from bayglade.entries.wire import Heartbeat
from bayglade.exceptions import BaygladeError
from bayglade.ids import BackendId, MemberId
from bayglade.leases import Lease
from bayglade.listener import limit_buffers
from bayglade.logs import event
from bayglade.metrics import create_metrics
from bayglade.operators.api import OperatorApi
from bayglade.placement import LEASE_NAME, Placer
from bayglade.responses import (
    CLIENT_KEY,
    DeliveredBody,
    Environ,
    Response,
    StartResponse,
    error_response,
    has_unread_body,
    json_response,
    to_wsgi,
)
from bayglade.revisions import Current, Revisions
from bayglade.router import Router
from bayglade.services import create_services
from bayglade.sockets import ReadTurns
from bayglade.table import create_platform
from bayglade.table.wire import HostKind, HostState
from bayglade.tasks import keep_running
from bayglade.trust import Trust

TICK_INTERVAL = 0.25
PROBES_PER_SECOND = 2.0
"""Rate at which this daemon asks backend servers for their load."""
LATE_TICK_SECONDS = 0.5
"""Delay of a tick above which the event loop is logged as late."""
PLATFORM_POLLS_PER_SECOND = 200.0
"""Upper limit on polls of the platform by all daemons together, for the host list and for the settings
each."""
HOSTS_POLL_FACTOR = 2.0
"""Poll interval of the host list, as a multiple of ``poll_interval``."""
LIVE_PEERS_POLL_FACTOR = 5.0
"""Poll interval of the settings while other daemons are heard, as a multiple of ``poll_interval``."""
DRAIN_POLL_INTERVAL = 0.05
PLACEMENT_INTERVAL = 1.0
HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
ADMIN_PREFIX = "/admin/"
LISTEN_BACKLOG = 1024
WAITING_SOCKET_FRACTION = 0.2
"""Fraction of the sockets for connections of callers without a complete head of a request."""
COPIES_SENT = 2
"""Copies of a response while it is sent: the server joins it with its head."""


class Daemon:
    """An entry daemon."""

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
            self._reported_leaving,
            self.placer.recently_confirmed,
            self._apply_heartbeat,
            self.rng,
        )
        self.presence = DisconnectWatcher(self.metrics)
        self.callers = callers.CallerApi(
            self.router, self.presence, config.max_body_bytes, config.body_timeout
        )
        sockets = host_sockets(config.max_descriptors)
        self.max_requests = min(config.max_connections, int(CALLERS_SOCKET_FRACTION * sockets))
        self.max_waiting = min(config.max_connections, int(WAITING_SOCKET_FRACTION * sockets))
        limits = client_limits(
            self.max_requests,
            host_memory_mb(config.memory_mb),
            CALLERS_REQUEST_FRACTION,
            CALLERS_ANSWER_FRACTION,
            config.max_body_bytes,
            DEFAULT_MAX_ANSWER_BYTES,
        )
        self.clients = Clients("callers", lambda: limits, ReadTurns(), self.metrics)
        self.operators = OperatorApi(
            config.member, self.router, self.revisions, self.membership, self.ready
        )
        self.previous_settings: Current = self.revisions.current
        self.shutdown_requested = Event()
        self.reported_leaving: set[BackendId] = set()
        self.listed_leaving: set[BackendId] = set()
        self.heard_leaving: dict[BackendId, float] = {}

    def __repr__(self) -> str:
        return f"<Daemon {self.config.member} {self.router!r}>"

    def run(self) -> None:
        """Serve until a termination signal, then drain and exit.

        :raises OSError: if a listening address can't be bound.
        """
        logs.configure_logging(self.config.member, self.config.log_format, self.config.log_level)
        use_boottime_timers()
        pin_mmap_threshold()
        callers_socket = _listen(self.config.callers, for_clients=True)
        entries_socket = _listen(self.config.entries)
        self._install_signal_handlers()
        tasks = {
            "hosts": self._poll_hosts,
            "settings": self._poll_settings,
            "probes": self._probe_loads,
            "tick": self._tick,
            "placement": self._run_placement,
            "presence": self.presence.run,
        }
        for name, task in tasks.items():
            eventlet.spawn_n(keep_running, name, task, self.metrics)
        eventlet.spawn_n(self.membership.serve, entries_socket)
        server = eventlet.spawn(self._serve, callers_socket)
        event("INFO", "started", callers=self.config.callers, entries=self.config.entries)
        self.shutdown_requested.wait()
        self._drain(server)

    def ready(self) -> bool:
        """Return whether the balancer should send callers to this daemon."""
        return not self.membership.draining and self.trust.is_fresh()

    def application(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one HTTP request (WSGI, PEP 3333)."""
        started = now()
        try:
            client = self.clients.add(environ["REMOTE_ADDR"])
        except ClientRemoved:
            return to_wsgi(error_response(self.clients.refusal()), environ, start_response, True)
        environ[CLIENT_KEY] = client
        try:
            response = self._respond(environ)
            client.hold_answer(COPIES_SENT * len(response.content))
        except BaygladeError as error:
            response = error_response(error)
            self.metrics.count(f"errors.{error.code}")
            event("INFO", "request failed", path=environ["PATH_INFO"], error=repr(error))
        except Exception as error:  # noqa: BLE001 - callers must not see a traceback
            event("ERROR", "unexpected error in a request", path=environ["PATH_INFO"], error=repr(error))
            response = error_response(BaygladeError("internal error of the daemon", step="respond"))
        self.metrics.count("requests")
        self.metrics.send_timing("request.first_byte", now() - started)
        # The unread rest of a body would be parsed as the next request, or be read however long it is.
        close = self.membership.draining or response.status in (400, 413) or has_unread_body(environ)
        return DeliveredBody(to_wsgi(response, environ, start_response, close), client)

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
        callers.serve(
            sock, self.application, self.max_requests, self.max_waiting, self.config.header_timeout
        )

    def _install_signal_handlers(self) -> None:
        def schedule_shutdown(_: int, __: object) -> None:
            # A signal interrupts the code at any point, so the handler only schedules the action.
            eventlet.hubs.get_hub().schedule_call_global(0, self._handle_termination)

        signal.signal(signal.SIGTERM, schedule_shutdown)
        signal.signal(signal.SIGINT, schedule_shutdown)

    def _handle_termination(self) -> None:
        if not self.shutdown_requested.ready():
            self.shutdown_requested.send()
            return
        event(
            "WARNING", "second termination signal, exiting at once", cut=list(self.router.active_requests)
        )
        raise SystemExit(1)

    def _drain(self, server: eventlet.greenthread.GreenThread) -> None:
        """Fail readiness, stop accepting connections, then wait for requests in flight."""
        self.membership.draining = True
        self.membership.send_heartbeats()
        event("INFO", "stopping", in_flight=len(self.router.active_requests))
        eventlet.sleep(self.config.balancer_delay)
        server.kill()
        drain_deadline = now() + self.config.drain_limit
        while self.router.active_requests and now() < drain_deadline:
            eventlet.sleep(DRAIN_POLL_INTERVAL)
        if self.router.active_requests:
            event("WARNING", "drain timed out, aborting requests", cut=list(self.router.active_requests))
        # Finished answers may still be being sent, and their claims stored.
        with eventlet.Timeout(max(0.1, drain_deadline - now()), False):
            server.wait()
            self._wait_for_claims()
        event("INFO", "stopped")

    def _wait_for_claims(self) -> None:
        while self.router.claims.is_writing():
            eventlet.sleep(DRAIN_POLL_INTERVAL)

    def _settings_changed(self, current: Current) -> None:
        previous, self.previous_settings = self.previous_settings, current
        self.router.sync(current.tree)
        directory = Directory(current.tree)
        self.callers.directory = directory
        self.operators.directory = directory
        self.engines.close_unlisted({backend.address for backend in current.tree.backends.values()})
        self._update_leaving()
        self.membership.announce_revision(previous, current)
        self.metrics.gauge("settings.revision", current.revision)

    def _poll_hosts(self) -> None:
        """Poll the platform's host list; never returns."""
        while True:
            self._log_platform_errors("hosts", self._sync_hosts)
            self._sleep_until_next_poll(HOSTS_POLL_FACTOR)

    def _poll_settings(self) -> None:
        """Poll the head of the settings; less often while other daemons would announce a new one."""
        while True:
            self._log_platform_errors("settings", self.revisions.poll)
            has_live_peers = self.membership.live() and self.revisions.current.revision
            self._sleep_until_next_poll(LIVE_PEERS_POLL_FACTOR if has_live_peers else 1.0)

    def _sleep_until_next_poll(self, factor: float) -> None:
        """Sleep until the next poll; the interval grows with the number of daemons on the platform."""
        min_interval = len(self.membership.listed) / PLATFORM_POLLS_PER_SECOND
        interval = max(self.config.poll_interval * factor, min_interval)
        eventlet.sleep(interval * self.rng.uniform(0.8, 1.2))

    def _log_platform_errors(self, what: str, operation: Callable[[], None]) -> None:
        try:
            operation()
        except BaygladeError as error:
            self.metrics.count(f"platform.{what}_failed")
            event("WARNING", "platform request failed", what=what, error=repr(error))

    def _sync_hosts(self) -> None:
        hosts = self.platform.hosts()
        entries = {h.id: h.address for h in hosts if h.kind is HostKind.ENTRY}
        self.membership.update_members(entries)  # type: ignore[arg-type]
        leaving_hosts = {h.id for h in hosts if h.kind is HostKind.BACKEND and h.state is HostState.LEAVING}
        self.listed_leaving = {BackendId(host) for host in leaving_hosts}
        self._update_leaving()

    def _reported_leaving(self) -> list[BackendId]:
        """Return the servers that reported to this daemon that they are leaving, for the other daemons."""
        return sorted(self.reported_leaving)

    def _apply_heartbeat(self, member: MemberId, beat: Heartbeat) -> None:
        """Apply what another daemon's heartbeat says about backend servers."""
        states = self.router.backends.states
        for backend in beat.leaving:
            self.heard_leaving[backend] = now()
            if backend in states:
                states[backend].leaving = True
        for held in beat.held:
            if held.backend in states:
                states[held.backend].set_version(held.version)

    def _run_placement(self) -> None:
        """Run placement, giving the orders that fall to this daemon; never returns."""
        while True:
            eventlet.sleep(PLACEMENT_INTERVAL * self.rng.uniform(0.8, 1.2))
            if self.trust.is_fresh() and not self.membership.draining:
                self._log_platform_errors("placement", lambda: self.placer.run_once(self.router.tree))

    def _update_leaving(self) -> None:
        """Mark servers as leaving by the host list, other daemons' heartbeats and their own reports."""
        cutoff = now() - LIVE_TIMEOUT
        self.heard_leaving = {b: at for b, at in self.heard_leaving.items() if at > cutoff}
        elsewhere = self.listed_leaving | self.heard_leaving.keys()
        self.router.leaving = elsewhere
        for state in self.router.backends.states.values():
            reports_leaving = state.reported is not None and state.reported.leaving
            if reports_leaving:
                self.reported_leaving.add(state.id)
            state.leaving = reports_leaving or state.id in elsewhere

    def _probe_loads(self) -> None:
        """Ask the servers for their load in turn, at a bounded rate; never returns."""
        while True:
            for state in list(self.router.backends.states.values()):
                eventlet.sleep(1.0 / PROBES_PER_SECOND)
                load = self.engines.load(state.facts.address)
                if load is not None:
                    self.router.backends.apply_report(state.id, load)
                if load is not None and load.leaving:
                    self.reported_leaving.add(state.id)
                elif load is not None:
                    self.reported_leaving.discard(state.id)
            eventlet.sleep(1.0 / PROBES_PER_SECOND)

    def _tick(self) -> None:
        """Run the periodic work that depends on time alone; never returns."""
        while True:
            due = now() + TICK_INTERVAL
            eventlet.sleep(TICK_INTERVAL)
            late = now() - due
            self.metrics.gauge("loop.late_seconds", late)
            if late > LATE_TICK_SECONDS:
                event("WARNING", "event loop is late", seconds=round(late, 3))
            self.membership.run_due()
            self.clients.update_gauges()
            self._update_leaving()
            self.router.update_capacity_fraction(len(self.membership.live()) + 1)
            self.router.admission.reject_uncovered()
            self.router.admission.dispatch_all()


def create_daemon(config: Config) -> Daemon:
    """Create a daemon, without starting it.

    :param config: the daemon's local settings.
    :return: the daemon; :meth:`Daemon.run` starts it.
    """
    return Daemon(config)


def _listen(address: str, for_clients: bool = False) -> socket.socket:
    listen_on = parse_address(address)
    # With eventlet's default of reuse_port, two daemons could silently share a port.
    sock: socket.socket = eventlet.listen(
        (listen_on.host, listen_on.port), backlog=LISTEN_BACKLOG, reuse_port=False
    )
    if for_clients:
        limit_buffers(sock)
    # Inherited by accepted connections: Nagle's algorithm would delay tokens until an acknowledgement.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
