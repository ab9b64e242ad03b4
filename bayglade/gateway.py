"""The daemon on the users' platform: creates the components, runs their tasks and shuts down gracefully."""

import random
import secrets
import signal
import socket
from collections.abc import Callable
from functools import partial
from pathlib import Path
from urllib.parse import unquote_to_bytes

import eventlet
import msgspec
from eventlet.event import Event

from bayglade import logs, platform
from bayglade.admission_levels import AdmissionLevels, urgencies_in_force
from bayglade.allocator import pin_mmap_threshold
from bayglade.beliefs import (
    Beliefs,
    coverage_beliefs,
    demand_beliefs,
    layout_belief,
    path_beliefs,
    retry_beliefs,
    server_beliefs,
    stop_beliefs,
    table_beliefs,
)
from bayglade.calls import Call
from bayglade.clients import (
    CALLERS_ANSWER_FRACTION,
    CALLERS_REQUEST_FRACTION,
    CALLERS_SOCKET_FRACTION,
    FORWARDED_ANSWER_FRACTION,
    FORWARDED_REQUEST_FRACTION,
    FORWARDED_SOCKET_FRACTION,
    RETRY_AFTER_SECONDS,
    ClientLimits,
    Clients,
    client_limits,
    create_internal_clients,
    host_memory_mb,
    host_sockets,
)
from bayglade.clock import SuspensionDetector, now, use_boottime_timers
from bayglade.config import GatewayConfig, load_gateway_config, parse_address
from bayglade.diagnosis import Diagnosis
from bayglade.disconnects import CallerDisconnected, DisconnectWatcher
from bayglade.entries.forwards import SETTINGS_HEADER, SETTINGS_REQUEST_HEADER, SETTINGS_TARGET
from bayglade.epochs import EpochGuardedTable, StoreHistory
from bayglade.evidence import Subject
from bayglade.exceptions import (
    BaygladeError,
    InvalidSettings,
    Outcome,
    Stopping,
)
from bayglade.feeds import Feed, link_feeds
from bayglade.fleet import Fleet
from bayglade.forwarded_calls import check_sender, error_for_sender, obtain_permit, read_forwarded_call
from bayglade.forwarding import Forwarding
from bayglade.freshness import (
    MIN_BOUND_SECONDS,
    answer_timeout,
    batch_delay,
    document_bound,
    poll_wait,
)
from bayglade.http1 import Message
from bayglade.ids import BackendId, RequestId
from bayglade.intake import Intake
from bayglade.leases import Lease
from bayglade.listener import Connection, Handler, Prepare, listen, serve
from bayglade.listing import Listing
from bayglade.loading import LEASE_MARGIN, LEASE_NAME, LEASE_SECONDS, Loader
from bayglade.logs import event
from bayglade.mechanisms import Mechanism
from bayglade.metrics import create_metrics
from bayglade.newer_settings import NewerSettings, serve_settings
from bayglade.paths import PathSelector
from bayglade.peering import Peering, retry_bound
from bayglade.quarantine import Quarantine
from bayglade.reachability import Reachability
from bayglade.readers import Role
from bayglade.refusals import Refusals
from bayglade.relay import RelayContext
from bayglade.responses import JSON_TYPE
from bayglade.retries import jittered_retry_after, retry_elsewhere
from bayglade.rows import Changes
from bayglade.server_termination import watch_server_termination
from bayglade.servers import Server
from bayglade.service_reports import ServiceReports, gauge_name
from bayglade.settings import CallerLimits
from bayglade.sockets import ReadTurns, is_closed
from bayglade.streams import relay_stream
from bayglade.tasks import keep_running
from bayglade.upstream import CONNECT_SECONDS, ConnectionPool
from bayglade.usage import Usage
from bayglade.wait_queues import WaitQueues
from bayglade.wholes import relay_buffered

METRICS_PATH = b"/metrics"
BELIEFS_PATH = b"/beliefs"
REFUSALS_PATH = b"/refusals/"
LIMIT_STATUSES = (413, 431)
"""Statuses of requests that exceed a limit; callers don't send them again."""
REFUSING_STATUSES = (408, 421, 429, 503)
"""Statuses which promise that the request has not run: such answers are recorded as refusals."""
DEMAND_GAUGES = ("waiting", "offered", "refused")
DOCUMENT_POLL_DELAY = 0.2
"""Seconds to wait after a change of the operator's document before the next request for changes: changes
come in bursts and each request has a cost. At most a tenth of the time allowed for a change to take
effect."""
HEARTBEATS_MISSED = 3
"""Heartbeats that a backend server has to miss before the platform removes its entry."""
MIN_OUTAGE_HEARTBEATS = 1.5
"""Heartbeats for which the store must not have answered for entries to expire although their servers run: a
server that misses one writes the next in time."""
EXPIRY_MARGIN_SECONDS = 1.0
"""Seconds for the removal of an entry to become known to this daemon."""
HOUSEKEEPING_INTERVAL = 1.0
"""Interval of housekeeping: checks the daemon's settings file for changes, drops expired idle
connections and updates the gauges."""
DRAIN_POLL_INTERVAL = 0.05
BALANCER_REMOVAL_SECONDS = 3.5
"""The balancer probes readiness every second and removes a daemon after two failed probes; connections
already under way still arrive after that."""
DRAIN_ACCEPT_SECONDS = 2.8
"""How long after the termination signal every request is still accepted; later ones only if their
deadline passes before the daemon exits."""
EXIT_MARGIN_SECONDS = 0.6
"""Seconds before the platform would kill the daemon at which it ends what is still in service."""
CLOSING_SECONDS = 0.25
"""How long a daemon closes its connections before it exits; meanwhile it refuses all requests."""
REFUSED_AT_CLOSING_SECONDS = 0.1
"""The first part of that time, in which requests that were under way arrive and are refused."""
SETTINGS_EXPECTED_SECONDS = 2.0
"""How long after a start the first settings are expected. The operator may not have written any, and then a
refusal at once is better than one after a wait."""
FINGERPRINT_KEY_BYTES = 32
INTERNAL_CLIENT_LIMITS = CallerLimits(body_bytes=0)
"""Limits for clients of the readiness and metrics listeners."""


def internal_client_limits() -> CallerLimits:
    """Return the limits for a client of the readiness or metrics listener."""
    return INTERNAL_CLIENT_LIMITS


class Gateway:
    """One daemon on the users' platform."""

    def __init__(self, config: GatewayConfig, path: Path) -> None:
        self.config = config
        self.config_path = path
        self.config_mtime_ns = _mtime_ns(path)
        self.rng = random.Random()
        self.metrics = create_metrics(None, config.member)
        key_trust, servers_bound = config.key_trust_ms / 1000, config.drain_ms / 1000
        settings_bound = document_bound(config.config_ms / 1000, key_trust)
        self.min_staleness_bound = min(settings_bound, servers_bound)
        answer_seconds = answer_timeout(self.min_staleness_bound)
        self.history = StoreHistory()
        self.store = platform.Store(parse_address(config.store), answer_seconds, self.history.observe)
        rows = EpochGuardedTable(self.store, self.history)
        self.fleet = Fleet(HEARTBEATS_MISSED * config.server_heartbeat_ms / 1000 + EXPIRY_MARGIN_SECONDS)
        self.links = ConnectionPool()
        self.reachability = Reachability(self.fleet, self._server_answers, self.metrics, self.rng)
        self.links.on_connect = self.reachability.note_connect
        self.fleet.is_isolated = self.reachability.is_isolated
        self.fleet.on_restart.append(self.links.close_idle)
        self.control = platform.ControlClient(self.links)
        self.diagnosis = Diagnosis(self.fleet, self.control, self.rng)
        self.diagnosis.has_idle = self.links.has_idle
        self.diagnosis.close_idle = self.links.close_idle
        self.diagnosis.distrust_idle = self.links.distrust_before
        self.diagnosis.in_rotation = Mechanism.TURNS not in config.without
        self.document_feed = Feed(
            self.store,
            platform.OPERATOR_TABLE,
            poll_wait(settings_bound),
            self._apply_document,
            DOCUMENT_POLL_DELAY,
            self.history,
        )
        self.listing = Listing(self.fleet, platform.decode_server, servers_bound, self.metrics)
        self.servers_feed = Feed(
            self.store,
            platform.SERVERS_TABLE,
            poll_wait(servers_bound),
            self.listing.apply_changes,
            batch_delay(servers_bound),
            self.history,
        )
        self.listing.feed = self.servers_feed
        self.servers_feed.min_outage = MIN_OUTAGE_HEARTBEATS * config.server_heartbeat_ms / 1000
        dialect = platform.create_dialect()
        self.intake = Intake(dialect, self.document_feed.age, key_trust, self.rng)
        self.intake.decode = platform.decode_document
        self.usage = Usage()
        self.wait_queues = WaitQueues(self.usage, self.intake.share_of)
        self.quarantine = Quarantine(secrets.token_bytes(FINGERPRINT_KEY_BYTES), self.rng)
        watch_server_termination(self.fleet, self.links, self.diagnosis, self.quarantine)
        self.peers = RelayContext(
            fleet=self.fleet,
            paths=PathSelector(self.fleet, config.hall, config.without, self.rng),
            pool=self.links,
            dialect=dialect,
            control=self.control,
            diagnosis=self.diagnosis,
            check_authorization=self.intake.check,
            wait_queues=self.wait_queues,
            quarantine=self.quarantine,
            retry_bound=retry_bound(config),
            metrics=self.metrics,
            rng=self.rng,
            without=config.without,
            reports=ServiceReports(config.member),
            refusals=Refusals(config.member),
        )
        self.peers.max_answer_bytes = config.max_answer_bytes
        self.peers.max_event_bytes = config.max_event_bytes
        self.peers.reachability = self.reachability
        self.peers.forwarding = Forwarding(
            config.member,
            self.reachability.is_isolated,
            lambda: self.peering.forward_addresses(),
            lambda: self.peering.secret(),
            self.intake.oldest_allowed,
            lambda message: dialect.read_answer(message).request,
            self.metrics,
            self.rng,
        )
        self.peers.forwarding.check_authorization = self.intake.check
        self.newer_settings = NewerSettings(self.intake, self.peers.forwarding, self.rng)
        self.peers.forwarding.on_settings = self.newer_settings.note
        self.peers.forwarding.enabled = Mechanism.FORWARDING not in config.without
        self.peers.paths.has_idle_connection = self.links.has_idle
        self.peers.admission = AdmissionLevels(
            self.peers.reports.totals,
            urgencies_in_force(lambda: self.intake.tree),
            lambda: self.intake.tree.admission.floor,
            self.metrics,
            self.rng.random(),
        )
        self.peers.admission.is_covered = lambda service: (
            not self.peers.reports.seconds_until_covered(service)
        )
        self.peers.admission.is_returning = self.peers.capacity.is_returning
        self.wait_queues.by_urgency = self.peers.admission.is_active
        self.loader = Loader(
            self.fleet,
            self.control,
            Lease(rows, LEASE_NAME, config.member, LEASE_SECONDS, LEASE_MARGIN, self.history),
            self.intake.pipelines,
            self.metrics,
            self.rng,
            pair_servers=Mechanism.PAIRS not in config.without,
            tries_first=lambda: self.peering.reads_store() and self.document_feed.failing_since is None,
        )
        self.loader.is_isolated = lambda: any(map(self.reachability.is_isolated, self.intake.pipelines()))
        self.peers.reports.own_coverage = lambda: getattr(self.loader, "coverage", {})
        self.peering = Peering(
            config,
            rows,
            {platform.OPERATOR_TABLE: self.document_feed, platform.SERVERS_TABLE: self.servers_feed},
            self.document_feed,
            platform.MEMBERS_TABLE,
            self.history,
            self.intake,
            self.usage,
            self.peers,
            self.rng,
        )
        self.loader.daemons = self.peering.count
        self.reachability.on_change = self.peering.announce_isolation
        link_feeds(self._feeds())
        self.presence = DisconnectWatcher(self.metrics)
        self.memory_mb = host_memory_mb(config.memory_mb)
        self.sockets = host_sockets(config.max_descriptors)
        turns, retry_after = ReadTurns(), partial(jittered_retry_after, RETRY_AFTER_SECONDS, self.rng)
        callers_limits = partial(
            self._client_limits, CALLERS_SOCKET_FRACTION, CALLERS_REQUEST_FRACTION, CALLERS_ANSWER_FRACTION
        )
        forwarded_limits = partial(
            self._client_limits,
            FORWARDED_SOCKET_FRACTION,
            FORWARDED_REQUEST_FRACTION,
            FORWARDED_ANSWER_FRACTION,
        )
        self.clients = (
            create_internal_clients("ready", turns, self.metrics),
            create_internal_clients("metrics", turns, self.metrics),
            Clients("callers", callers_limits, turns, self.metrics, retry_after),
            Clients("forwarded", forwarded_limits, turns, self.metrics, retry_after),
        )
        """The clients of each listener."""

        self.was_ready = False
        """Whether the last readiness probe was answered with success."""

        self.demand_gauges: set[str] = set()
        """Names of the gauges of demand that are set."""

        self.active_requests: set[RequestId] = set()
        self.started_at = now()
        self.intake.expects_settings = self._expects_settings
        self.draining = False
        self.draining_since = 0.0
        self.closing = False
        """Whether this daemon is about to exit and serves no more requests."""

        self.listening: list[socket.socket] = []
        """The sockets at which requests to servers arrive."""

        self.shutdown_requested = Event()

    def __repr__(self) -> str:
        return f"<Gateway {self.config.member} {self.intake!r} {len(self.active_requests)} active>"

    def run(self) -> None:
        """Serve until a termination signal, then drain and exit.

        :raises OSError: if a listening address can't be bound.
        """
        logs.configure_logging(self.config.member, "json", self.config.log_level)
        use_boottime_timers()
        if self.min_staleness_bound < MIN_BOUND_SECONDS:
            event(
                "WARNING",
                "staleness bound is too short",
                bound=self.min_staleness_bound,
                least=MIN_BOUND_SECONDS,
            )
        self._install_signal_handlers()
        ready, metrics, callers, forwarded = self.clients
        self._start_listener(self.config.ready, ready, internal_client_limits, self._serve_readiness)
        self._start_listener(self.config.metrics, metrics, internal_client_limits, self._serve_metrics)
        listening = self._start_listener(
            self.config.callers, callers, self.intake.limits, self._serve_caller, self._prepare_caller
        )
        self.listening.append(listening)
        if self.peering.forward_address:
            address = self.peering.forward_address
            listening = self._start_listener(
                address, forwarded, self.intake.limits, self._serve_forwarded, self._prepare_forwarded
            )
            self.listening.append(listening)
        self.document_feed.start()
        self.servers_feed.start()
        tasks = {
            "peering": self.peering.run,
            "loader": self.loader.run,
            "diagnosis": self.diagnosis.recheck_forever,
            "presence": self.presence.run,
            "wait_queues": self.wait_queues.run,
            "housekeeping": self._run_housekeeping,
        }
        for name, task in tasks.items():
            eventlet.spawn_n(keep_running, name, task, self.metrics)
        event("INFO", "started", callers=self.config.callers, hall=self.config.hall)
        self.shutdown_requested.wait()
        self._drain()

    def ready(self) -> bool:
        """Return whether the balancer should send callers to this daemon."""
        return (
            not self.draining
            and self.intake.version > 0
            and self.intake.caught_up
            and bool(self.fleet.servers)
            and self.intake.keys_trusted()
            and not self._withdrawn()
        )

    def _withdrawn(self) -> bool:
        """Return whether callers are better sent to other daemons.

        That is so if this one reaches no server of a service, and knows no daemon that may take its calls.
        """
        if Mechanism.WITHDRAWAL in self.config.without:
            return False
        forwarding = self.peers.forwarding
        return any(
            not forwarding.enabled or not forwarding.is_possible(service)
            for service in self.reachability.isolated_services()
        )

    def _expects_settings(self) -> bool:
        """Return whether the first settings are expected shortly.

        One failed call may be a refusal for the rate of all daemons that start; two show that the store is
        unavailable.
        """
        return self.document_feed.failures < 2 and now() - self.started_at < SETTINGS_EXPECTED_SECONDS

    def _feeds(self) -> tuple[Feed, ...]:
        """Return the feeds of all tables; the first probes most often while the store is unreachable."""
        return self.document_feed, self.servers_feed, self.peering.roster_feed

    def beliefs(self) -> Beliefs:
        """Return this daemon's current view of settings, members, servers and paths."""
        paths = [
            path
            for service, pipeline in self.intake.pipelines().items()
            for path in self.peers.paths.typical_by_hall(service, pipeline)
        ]
        return Beliefs(
            member=self.config.member,
            ready=self.ready(),
            draining=self.draining,
            settings=self.intake.version,
            settings_age=round(self.document_feed.age(), 2),
            servers_age=round(self.servers_feed.age(), 2),
            caught_up=self.intake.caught_up,
            tables=table_beliefs(self._feeds()),
            lease=self.loader.lease.state().value,
            duty=self.peering.plan.role.value,
            asks=list(self.peering.plan.sources),
            members=self.peering.live(),
            in_flight=len(self.active_requests),
            waiting=self.wait_queues.waiting(),
            servers=server_beliefs(self.fleet),
            stopped=stop_beliefs(self.quarantine),
            paths=path_beliefs(paths),
            demand=demand_beliefs(self.peers.reports, self.metrics.gauges),
            coverage=coverage_beliefs(self.peers.reports, self.intake.pipelines()),
            isolated=self.reachability.isolated_services(),
            retry_part=round(self.peering.retry_parts.current().own, 4),
            retries=retry_beliefs(self.peers.retry_ledgers, self.peering.retry_parts),
            layout=layout_belief(self.metrics, len(self.loader.pending_orders)),
        )

    def _client_limits(
        self, socket_fraction: float, request_fraction: float, answer_fraction: float
    ) -> ClientLimits:
        limits = self.intake.limits()
        return client_limits(
            int(socket_fraction * self.sockets),
            self.memory_mb,
            request_fraction,
            answer_fraction,
            limits.head_bytes + limits.body_bytes,
            self.config.max_answer_bytes,
        )

    def _server_answers(self, server: Server) -> bool:
        """Return whether a server answers on a new connection."""
        facts = server.facts
        if facts.accelerator is None:
            return self.links.probe(facts.id, facts.address)
        return self.control.report(facts.id, facts.address, CONNECT_SECONDS, anew=True) is not None

    def _serve_readiness(self, connection: Connection, message: Message) -> None:
        if message.target != platform.READY_PATH:
            connection.send_response(404, [], b"")
            return
        ready = self.ready()
        if ready is not self.was_ready:
            self.was_ready = ready
            event("INFO", "readiness changed", ready=ready)
        connection.send_response(200 if ready else 503, [], b"ready" if ready else b"not ready")

    def _serve_metrics(self, connection: Connection, message: Message) -> None:
        if message.target == BELIEFS_PATH:
            connection.send_response(
                200, [("Content-Type", JSON_TYPE)], msgspec.json.encode(self.beliefs())
            )
            return
        if message.target.startswith(REFUSALS_PATH):
            name = unquote_to_bytes(message.target[len(REFUSALS_PATH) :]).decode("utf-8", "replace")
            refusal = self.peers.refusals.find(name)
            body = b"" if refusal is None else msgspec.json.encode(refusal)
            connection.send_response(404 if refusal is None else 200, [("Content-Type", JSON_TYPE)], body)
            return
        if message.target != METRICS_PATH:
            connection.send_response(404, [], b"")
            return
        connection.send_response(
            200, [("Content-Type", "text/plain; version=0.0.4")], self.metrics.render()
        )

    def _serve_caller(self, connection: Connection, message: Message) -> None:
        def confirm_send(call: Call, backend: BackendId) -> None:
            if is_closed(connection.sock):
                raise CallerDisconnected()

        self._serve_call(connection, message, self.intake.call, confirm_send)

    def _prepare_caller(self, connection: Connection) -> None:
        connection.replace_rejection = self._replace_rejection

        def note_rejected(message: Message, error: BaygladeError) -> None:
            self.metrics.count(f"errors_{error.code}")
            self._record_refusal(error, message, None, now())

        connection.note_rejected = note_rejected

    def _replace_rejection(self, error: BaygladeError) -> BaygladeError:
        """Return the rejection of a request that is not read completely, as its caller gets it."""
        if self.intake.version or error.status not in LIMIT_STATUSES:
            return error
        # The limits that the request exceeds are not those that the operator wrote.
        return self.intake.unknown_settings()

    def _prepare_forwarded(self, connection: Connection) -> None:
        connection.peer_headers = [(SETTINGS_HEADER, str(self.intake.version))]
        connection.check_head = lambda message: check_sender(message, self.peering.secret())

    def _serve_forwarded(self, connection: Connection, message: Message) -> None:
        """Serve a call that another daemon forwards, as one of this daemon's own callers'."""
        connection.peer_headers = [(SETTINGS_HEADER, str(self.intake.version))]
        if message.header(SETTINGS_REQUEST_HEADER.lower()) and message.target == SETTINGS_TARGET:
            serve_settings(connection, message, self.peering.secret(), self.intake)
            return

        def read_call(message: Message) -> Call:
            call = self._read_forwarded_call(message)
            # Newer settings may have come into force while it was held.
            connection.peer_headers = [(SETTINGS_HEADER, str(call.revision))]
            return call

        self._serve_call(connection, message, read_call, partial(obtain_permit, connection))

    def _read_forwarded_call(self, message: Message) -> Call:
        secret = None if self.draining else self.peering.secret()
        return read_forwarded_call(message, secret, self.intake, self.reachability.is_isolated)

    def _serve_call(
        self,
        connection: Connection,
        message: Message,
        read_call: Callable[[Message], Call],
        confirm_send: Callable[[Call, BackendId], None],
    ) -> None:
        leaving = self.draining or (self._withdrawn() and not connection.peer_headers)
        connection.close_after_response = connection.close_after_response or leaving
        started = now()
        request, call = RequestId(""), None
        try:
            call = read_call(message)
            request = call.head.id
            call.confirm_send = partial(confirm_send, call)
            call.hold_answer = connection.client.hold_answer
            connection.answer_until = call.deadline
            self._check_draining(call)
            self.quarantine.check_arrival(call)
            self.active_requests.add(request)
            with self.presence.watch(connection.sock):
                self._relay_call(call, connection)
        except BaygladeError as failure:
            # Its traceback refers to this call's body and answer, and to itself through this variable.
            error = error_for_sender(failure, call, self.reachability.is_isolated).with_traceback(None)
            self._report_failure(connection, error, request, started)
            self._record_refusal(error, message, call, started)
        except (CallerDisconnected, OSError):
            # Detected while waiting, or by a failed send.
            event("INFO", "caller left", request=request, after=round(now() - started, 3))
            raise
        finally:
            self.active_requests.discard(request)
            self.metrics.observe("request_seconds", now() - started)

    def _check_draining(self, call: Call) -> None:
        """Refuse a request that might not finish before this daemon exits."""
        if not self.draining or (not self.closing and now() - self.draining_since < DRAIN_ACCEPT_SECONDS):
            return
        if self.closing or call.deadline > self._exit_time():
            raise self._stopping()

    def _stopping(self) -> Stopping:
        """Return the refusal of a request that another daemon can serve at once."""
        return Stopping(
            "this daemon is shutting down", step="intake", retry_after=retry_elsewhere(self.rng)
        )

    def _exit_time(self) -> float:
        """Return until when this daemon serves requests, given that it is draining."""
        return self.draining_since + self.config.grace_seconds - EXIT_MARGIN_SECONDS

    def _relay_call(self, call: Call, connection: Connection) -> None:
        service = self.intake.tree.services.get(call.service)
        self.metrics.count("requests")
        pipeline = service.pipeline if service is not None else None
        if pipeline is not None or call.endpoint.streamed:
            relay_stream(self.peers, call, pipeline, connection)
        else:
            relay_buffered(self.peers, call, connection)

    def _report_failure(
        self, connection: Connection, error: BaygladeError, request: RequestId, started: float
    ) -> None:
        self.metrics.count(f"errors_{error.code}")
        event(
            "INFO",
            "request failed",
            request=request,
            error=repr(error),
            cut=connection.response_started,
            after=round(now() - started, 3),
            settings=self.intake.version,
            age=round(self.document_feed.age(), 2),
        )
        if connection.response_started:
            # Part of the answer was sent: only closing the connection shows that it is incomplete.
            connection.close_after_response = True
            return
        connection.send_error(error, request)

    def _record_refusal(
        self, error: BaygladeError, message: Message, call: Call | None, started: float
    ) -> None:
        """Record a refusal, if the answer promises that the request has not run."""
        if error.status not in REFUSING_STATUSES or error.outcome is not Outcome.NOT_RUN:
            return
        try:
            head = call.head if call is not None else self.intake.dialect.read_call(message)
        except BaygladeError:
            # The refusal itself is logged; without an id, nobody can ask for its reason.
            return
        self.peers.refusals.note(
            head.id,
            code=error.code,
            reason=error.message,
            service=call.service if call is not None else None,
            urgency=call.priority if call is not None else None,
            waited=now() - started,
            retry_after=error.retry_after,
        )

    def _apply_document(self, changes: Changes, whole: bool) -> None:
        value = changes.rows.get(platform.DOCUMENT_KEY)
        if value is None:
            return
        try:
            version, tree = platform.decode_document(value)
        except InvalidSettings as error:
            event("ERROR", "settings refused", error=repr(error), in_force=self.intake.version)
            return
        self.intake.apply(version, tree, bytes(value))

    def _run_housekeeping(self) -> None:
        """Run periodic housekeeping; never returns."""
        suspensions = SuspensionDetector()
        eventlet.sleep(HOUSEKEEPING_INTERVAL)
        pin_mmap_threshold()
        while True:
            eventlet.sleep(HOUSEKEEPING_INTERVAL)
            if (seconds := suspensions.suspended_seconds()) > 0:
                event("WARNING", "host was suspended", seconds=round(seconds, 2))
            self.links.prune(set(self.fleet.servers))
            self.peers.forwarding.prune()
            self.quarantine.tidy()
            self._update_gauges()
            self.listing.log_staleness(self.document_feed.age())
            if _mtime_ns(self.config_path) != self.config_mtime_ns:
                self.reload("the file changed")

    def _update_gauges(self) -> None:
        self.metrics.gauge("in_flight", len(self.active_requests))
        self.reachability.update_gauges()
        self.peers.admission.refresh()
        self.metrics.gauge("waiting", self.wait_queues.waiting())
        self.metrics.gauge("settings_version", self.intake.version)
        self.metrics.gauge("settings_age_seconds", self.document_feed.age())
        self.metrics.gauge("servers_age_seconds", self.servers_feed.age())
        for feed in self._feeds():
            if feed.position is not None:
                self.metrics.gauge(f"table_{feed.table}_version", feed.position.version)
            self.metrics.gauge(f"table_{feed.table}_updates_dropped", feed.dropped)
            self.metrics.gauge(f"table_{feed.table}_errors", feed.errors)
            self.metrics.gauge(f"table_{feed.table}_stopped", float(feed.stopped_since is not None))
        self.metrics.gauge("store_epoch", self.history.epoch)
        self.metrics.gauge("ready", float(self.ready()))
        self.metrics.gauge("servers_listed", len(self.fleet.servers))
        states = [server.state() for server in self.fleet.servers.values()]
        self.metrics.gauge("servers_suspect", states.count("suspect"))
        self.metrics.gauge("servers_resting", states.count("resting"))
        limited = sum(1 for server in self.fleet.servers.values() if server.throttle is not None)
        self.metrics.gauge("servers_limited", limited)
        stopped = [evidence.subject for _, evidence in self.quarantine.suspects.stopped()]
        self.metrics.gauge("requests_stopped", stopped.count(Subject.REQUEST))
        self.metrics.gauge("parts_stopped", stopped.count(Subject.PROMPT_PART))
        self.metrics.gauge("connections_opened", self.links.opened)
        for clients in self.clients:
            clients.update_gauges()
        self._update_demand_gauges()

    def _update_demand_gauges(self) -> None:
        """Set the gauges of demand on readers, and remove those without demand or of other daemons.

        All daemons know the same sums, so those of the readers are enough.
        """
        shown = {}
        if self.peering.plan.role is not Role.FOLLOWER:
            for (service, urgency), line in self.peers.reports.all_totals().items():
                for kind in DEMAND_GAUGES:
                    shown[gauge_name(kind, service, urgency)] = getattr(line, kind)
        for name in self.demand_gauges - shown.keys():
            self.metrics.gauges.pop(name, None)
        for name, value in shown.items():
            self.metrics.gauge(name, value)
        self.demand_gauges = set(shown)

    def reload(self, cause: str) -> None:
        """Read the daemon's settings file again; an invalid file is logged and ignored.

        :param cause: what triggered the reload, for the log.
        """
        self.config_mtime_ns = _mtime_ns(self.config_path)
        try:
            self.config = load_gateway_config(self.config_path)
        except InvalidSettings as error:
            event("ERROR", "reload refused", cause=cause, error=repr(error))
            return
        self.intake.key_trust = self.config.key_trust_ms / 1000
        self.memory_mb = host_memory_mb(self.config.memory_mb)
        self.sockets = host_sockets(self.config.max_descriptors)
        event("INFO", "reloaded", cause=cause)

    def _start_listener(
        self,
        address: str,
        clients: Clients,
        limits: Callable[[], CallerLimits],
        handler: Handler,
        prepare: Prepare = lambda connection: None,
    ) -> socket.socket:
        listen_on = parse_address(address)
        listening = listen(listen_on.host, listen_on.port, for_clients=True)
        eventlet.spawn_n(serve, listening, clients, limits, handler, prepare)
        return listening

    def _install_signal_handlers(self) -> None:
        def deferred(act: Callable[[], None]) -> Callable[[int, object], None]:
            # A signal interrupts the code at any point, so the handler only schedules the action.
            return lambda *_: eventlet.hubs.get_hub().schedule_call_global(0, act)

        signal.signal(signal.SIGTERM, deferred(self._begin_shutdown))
        signal.signal(signal.SIGINT, deferred(self._begin_shutdown))
        signal.signal(signal.SIGHUP, deferred(lambda: self.reload("SIGHUP")))

    def _begin_shutdown(self) -> None:
        if not self.draining:
            self.draining_since = now()
        self.draining = True
        self.peering.announce_stop()
        if not self.shutdown_requested.ready():
            self.shutdown_requested.send()

    def _drain(self) -> None:
        """Fail readiness, wait until the balancer has noticed, then wait for requests in flight."""
        event("INFO", "stopping", active=len(self.active_requests))
        exit_time = self._exit_time()
        eventlet.sleep(min(BALANCER_REMOVAL_SECONDS, exit_time - now()))
        while self.active_requests and now() < exit_time:
            eventlet.sleep(DRAIN_POLL_INTERVAL)
        cut = sorted(self.active_requests)
        self._close_connections()
        event("INFO", "stopped", cut=cut, after=round(now() - self.draining_since, 2))

    def _close_connections(self) -> None:
        """Answer all requests that are here, and close the connections to callers in order.

        A connection that is closed with unread data is reset, and its caller does not know whether a
        request that it has just sent has run.
        """
        self.closing = True
        self.presence.end_service()
        eventlet.sleep(REFUSED_AT_CLOSING_SECONDS)
        for listening in self.listening:
            listening.close()
        *_, callers, forwarded = self.clients
        for clients in (callers, forwarded):
            clients.refuse_incomplete(self._stopping)
            clients.close_idle()
        eventlet.sleep(CLOSING_SECONDS - REFUSED_AT_CLOSING_SECONDS)


def create_gateway(path: Path) -> Gateway:
    """Create a daemon from its settings file, without starting it.

    :param path: a YAML file.
    :return: the daemon.
    :raises InvalidSettings: if the file is unreadable or invalid.
    """
    return Gateway(load_gateway_config(path), path)


def _mtime_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file may be missing for a moment while it is replaced.
        return 0
