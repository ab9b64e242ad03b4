"""The daemon on the users' platform: puts the parts together, runs their tasks, stops in order."""

import random
import secrets
import signal
from collections.abc import Callable
from pathlib import Path

import eventlet
import msgspec
from eventlet.event import Event

from bayglade import logs, platform
from bayglade.beliefs import Beliefs, path_beliefs, server_beliefs, stop_beliefs, table_beliefs
from bayglade.calls import Call
from bayglade.clock import Suspensions, keep_timers, now
from bayglade.config import GatewayConfig, load_gateway_config, parse_address
from bayglade.diagnosis import Diagnosis
from bayglade.ends import watch_ends
from bayglade.epochs import EpochGuardedTable, StoreHistory
from bayglade.exceptions import BaygladeError, InvalidSettings, Stopping
from bayglade.feeds import Feed, link_feeds
from bayglade.fleet import Fleet
from bayglade.freshness import (
    MIN_BOUND_SECONDS,
    answer_timeout,
    batch_delay,
    document_bound,
    poll_wait,
)
from bayglade.heads import Message
from bayglade.ids import RequestId
from bayglade.intake import RETRY_ELSEWHERE_SECONDS, Intake
from bayglade.leases import Lease
from bayglade.listener import Connection, Handler, listen, serve
from bayglade.listing import Listing
from bayglade.loading import LEASE_MARGIN, LEASE_NAME, LEASE_SECONDS, Loader
from bayglade.logs import event
from bayglade.mechanisms import Mechanism
from bayglade.metrics import create_metrics
from bayglade.paths import Paths
from bayglade.peering import Peering
from bayglade.presence import CallerLeft, Presence
from bayglade.quarantine import Quarantine
from bayglade.relay import Peers
from bayglade.responses import JSON_TYPE
from bayglade.retries import spread_retry_after
from bayglade.rows import Changes
from bayglade.settings import CallerLimits
from bayglade.streams import relay_stream
from bayglade.upstream import Links
from bayglade.usage import Usage
from bayglade.wait_queues import WaitQueues
from bayglade.wholes import relay_whole

METRICS_PATH = b"/metrics"
BELIEFS_PATH = b"/beliefs"
DOCUMENT_PAUSE = 0.2
"""Seconds after a change of the document before the next call: changes come in storms, each call
is paid for, and a tenth of the time in which a change must be in force is spent at most."""
HEARTBEATS_MISSED = 3
"""Heartbeats that a backend server misses before the platform removes its entry."""
EXPIRY_MARGIN = 1.0
"""Seconds for the removal to be known here."""
TIDY_SECONDS = 1.0
"""Seconds between looks at the own settings file and at connections that rested too long."""
DRAIN_POLL = 0.05
BALANCER_SECONDS = 3.5
"""The balancer asks each second and takes a daemon out after two misses; then connections
that are on their way still come."""
ACCEPT_SECONDS = 2.8
"""How long after the signal to stop all requests are still taken; later ones only if they are
over in time for sure."""
STOP_MARGIN = 0.6
"""Seconds before the end by force at which the daemon ends by itself."""
FINGERPRINT_KEY_BYTES = 32
LOCAL_LIMITS = CallerLimits()
"""Bounds for whoever asks for readiness and metrics."""


class Gateway:
    """One daemon on the users' platform."""

    def __init__(self, config: GatewayConfig, path: Path) -> None:
        self.config = config
        self.path = path
        self.changed_at = _changed_at(path)
        self.rng = random.Random()
        self.metrics = create_metrics(None, config.member)
        key_trust, servers_bound = config.key_trust_ms / 1000, config.drain_ms / 1000
        settings_bound = document_bound(config.config_ms / 1000, key_trust)
        self.shortest_bound = min(settings_bound, servers_bound)
        answer_seconds = answer_timeout(self.shortest_bound)
        self.history = StoreHistory()
        self.store = platform.Store(parse_address(config.store), answer_seconds, self.history.observe)
        rows = EpochGuardedTable(self.store, self.history)
        self.fleet = Fleet(HEARTBEATS_MISSED * config.server_heartbeat_ms / 1000 + EXPIRY_MARGIN)
        self.links = Links()
        self.fleet.on_restart.append(self.links.drop)
        self.control = platform.Engines(self.links)
        self.diagnosis = Diagnosis(self.fleet, self.control, self.rng)
        self.diagnosis.rests = self.links.rests
        self.diagnosis.drop = self.links.drop
        self.diagnosis.distrust = self.links.distrust
        self.diagnosis.by_turns = Mechanism.TURNS not in config.without
        self.document_feed = Feed(
            self.store,
            platform.OPERATOR_TABLE,
            poll_wait(settings_bound),
            self._take_document,
            DOCUMENT_PAUSE,
            self.history,
        )
        self.listing = Listing(self.fleet, platform.decode_server, servers_bound, self.metrics)
        self.servers_feed = Feed(
            self.store,
            platform.SERVERS_TABLE,
            poll_wait(servers_bound),
            self.listing.take,
            batch_delay(servers_bound),
            self.history,
        )
        self.listing.feed = self.servers_feed
        dialect = platform.create_dialect()
        self.intake = Intake(dialect, self.document_feed.age, key_trust, self.rng)
        self.intake.decode = platform.decode_document
        self.usage = Usage()
        self.wait_queues = WaitQueues(self.usage, self.intake.share_of)
        self.quarantine = Quarantine(secrets.token_bytes(FINGERPRINT_KEY_BYTES), self.rng)
        watch_ends(self.fleet, self.links, self.diagnosis, self.quarantine)
        self.peers = Peers(
            fleet=self.fleet,
            paths=Paths(self.fleet, config.hall, config.without, self.rng),
            links=self.links,
            dialect=dialect,
            control=self.control,
            diagnosis=self.diagnosis,
            check=self.intake.check,
            wait_queues=self.wait_queues,
            quarantine=self.quarantine,
            new_budget=lambda: self.peering.new_budget(),
            metrics=self.metrics,
            rng=self.rng,
            without=config.without,
        )
        self.peers.paths.warm = self.links.rests
        self.loader = Loader(
            self.fleet,
            self.control,
            Lease(rows, LEASE_NAME, config.member, LEASE_SECONDS, LEASE_MARGIN, self.history),
            self.intake.pipelines,
            self.metrics,
            self.rng,
            pairs=Mechanism.PAIRS not in config.without,
            first=lambda: self.peering.reads_store() and self.document_feed.failing_since is None,
        )
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
        link_feeds(self._feeds())
        self.presence = Presence(self.metrics)
        self.active: set[RequestId] = set()
        self.draining = False
        self.draining_since = 0.0
        self.stopping = Event()

    def __repr__(self) -> str:
        return f"<Gateway {self.config.member} {self.intake!r} {len(self.active)} active>"

    def run(self) -> None:
        """Serve until told to stop, then stop in order.

        :raises OSError: when an address cannot be listened on.
        """
        logs.set_up(self.config.member, "json", self.config.log_level)
        keep_timers()
        if self.shortest_bound < MIN_BOUND_SECONDS:
            event("WARNING", "bound too short", bound=self.shortest_bound, least=MIN_BOUND_SECONDS)
        self._on_signals()
        self._listen(self.config.ready, lambda: LOCAL_LIMITS, self._answer_ready)
        self._listen(self.config.metrics, lambda: LOCAL_LIMITS, self._answer_metrics)
        self._listen(self.config.callers, self.intake.limits, self._answer_caller)
        self.document_feed.start()
        self.servers_feed.start()
        for task in (
            self.peering.run,
            self.loader.run,
            self.diagnosis.recheck,
            self.presence.run,
            self.wait_queues.run,
            self._tidy,
        ):
            eventlet.spawn_n(task)
        event("INFO", "started", callers=self.config.callers, hall=self.config.hall)
        self.stopping.wait()
        self._drain()

    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return (
            not self.draining
            and self.intake.version > 0
            and self.intake.caught_up
            and bool(self.fleet.servers)
            and self.intake.keys_trusted()
        )

    def _feeds(self) -> tuple[Feed, ...]:
        """Return the feeds of all tables; the first looks most often for a store that is lost."""
        return self.document_feed, self.servers_feed, self.peering.roster_feed

    def beliefs(self) -> Beliefs:
        """Return what this daemon takes for true at this moment."""
        paths = [
            path
            for service, pipeline in self.intake.pipelines().items()
            for path in self.peers.paths.of_halls(service, pipeline)
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
            in_flight=len(self.active),
            waiting=self.wait_queues.waiting(),
            servers=server_beliefs(self.fleet),
            stopped=stop_beliefs(self.quarantine),
            paths=path_beliefs(paths),
        )

    def _answer_ready(self, connection: Connection, message: Message) -> None:
        if message.target != platform.READY_PATH:
            connection.answer(404, [], b"")
            return
        ready = self.ready()
        connection.answer(200 if ready else 503, [], b"ready" if ready else b"not ready")

    def _answer_metrics(self, connection: Connection, message: Message) -> None:
        if message.target == BELIEFS_PATH:
            connection.answer(200, [("Content-Type", JSON_TYPE)], msgspec.json.encode(self.beliefs()))
            return
        if message.target != METRICS_PATH:
            connection.answer(404, [], b"")
            return
        connection.answer(200, [("Content-Type", "text/plain; version=0.0.4")], self.metrics.text())

    def _answer_caller(self, connection: Connection, message: Message) -> None:
        connection.closing = connection.closing or self.draining
        started = now()
        request = RequestId("")
        try:
            call = self.intake.call(message)
            request = call.head.id
            self._check_stopping(call)
            self.quarantine.check(call)
            self.active.add(request)
            with self.presence.watching(connection.sock):
                self._relay(call, connection)
        except BaygladeError as error:
            self._fail(connection, error, request, started)
        except (CallerLeft, OSError):
            # Noticed while waiting, or by a send.
            event("INFO", "caller left", request=request, after=round(now() - started, 3))
            raise
        finally:
            self.active.discard(request)
            self.metrics.observe("request_seconds", now() - started)

    def _check_stopping(self, call: Call) -> None:
        """Refuse a request that may not be over before this daemon ends."""
        if not self.draining or now() - self.draining_since < ACCEPT_SECONDS:
            return
        if call.deadline > self._ends_at():
            again = spread_retry_after(RETRY_ELSEWHERE_SECONDS, self.rng, RETRY_ELSEWHERE_SECONDS)
            raise Stopping("this daemon stops", step="intake", retry_after=again)

    def _ends_at(self) -> float:
        """Return when this daemon ends by itself, once it was told to stop."""
        return self.draining_since + self.config.grace_seconds - STOP_MARGIN

    def _relay(self, call: Call, connection: Connection) -> None:
        service = self.intake.tree.services.get(call.service)
        self.metrics.count("requests")
        if service is not None and service.pipeline is not None:
            relay_stream(self.peers, call, service.pipeline, connection)
        else:
            relay_whole(self.peers, call, connection)

    def _fail(
        self, connection: Connection, error: BaygladeError, request: RequestId, started: float
    ) -> None:
        self.metrics.count(f"errors_{error.code}")
        event(
            "INFO",
            "request failed",
            request=request,
            error=repr(error),
            cut=connection.sent,
            after=round(now() - started, 3),
            settings=self.intake.version,
            age=round(self.document_feed.age(), 2),
        )
        if connection.sent:
            # Part of the answer is out: only the end of the connection says that it is not whole.
            connection.closing = True
            return
        connection.refuse(error, request)

    def _take_document(self, changes: Changes, whole: bool) -> None:
        value = changes.rows.get(platform.DOCUMENT_KEY)
        if value is None:
            return
        try:
            version, tree = platform.decode_document(value)
        except InvalidSettings as error:
            event("ERROR", "settings refused", error=repr(error), in_force=self.intake.version)
            return
        self.intake.apply(version, tree, bytes(value))

    def _tidy(self) -> None:
        """Do what is due now and then, for ever."""
        suspensions = Suspensions()
        while True:
            eventlet.sleep(TIDY_SECONDS)
            if (seconds := suspensions.lately()) > 0:
                event("WARNING", "host was suspended", seconds=round(seconds, 2))
            self.links.forget(set(self.fleet.servers))
            self.quarantine.tidy()
            self._gauge()
            self.listing.tell_behind(self.document_feed.age())
            if _changed_at(self.path) != self.changed_at:
                self.reload("the file changed")

    def _gauge(self) -> None:
        self.metrics.gauge("in_flight", len(self.active))
        self.metrics.gauge("waiting", self.wait_queues.waiting())
        self.metrics.gauge("settings_version", self.intake.version)
        self.metrics.gauge("settings_age_seconds", self.document_feed.age())
        self.metrics.gauge("servers_age_seconds", self.servers_feed.age())
        for feed in self._feeds():
            if feed.position is not None:
                self.metrics.gauge(f"table_{feed.table}_version", feed.position.version)
            self.metrics.gauge(f"table_{feed.table}_updates_dropped", feed.dropped)
        self.metrics.gauge("store_epoch", self.history.epoch)
        self.metrics.gauge("ready", float(self.ready()))
        self.metrics.gauge("servers_listed", len(self.fleet.servers))
        states = [server.state() for server in self.fleet.servers.values()]
        self.metrics.gauge("servers_suspect", states.count("suspect"))
        self.metrics.gauge("servers_resting", states.count("resting"))
        limited = sum(1 for server in self.fleet.servers.values() if server.throttle is not None)
        self.metrics.gauge("servers_limited", limited)
        self.metrics.gauge("requests_stopped", len(self.quarantine.stopped()))
        self.metrics.gauge("connections_opened", self.links.opened)

    def reload(self, cause: str) -> None:
        """Read the daemon's own settings again; what makes no sense changes nothing.

        :param cause: why, for the log.
        """
        self.changed_at = _changed_at(self.path)
        try:
            self.config = load_gateway_config(self.path)
        except InvalidSettings as error:
            event("ERROR", "reload refused", cause=cause, error=repr(error))
            return
        self.intake.key_trust = self.config.key_trust_ms / 1000
        event("INFO", "reloaded", cause=cause)

    def _listen(self, address: str, limits: Callable[[], CallerLimits], handler: Handler) -> None:
        where = parse_address(address)
        eventlet.spawn_n(serve, listen(where.host, where.port), limits, handler)

    def _on_signals(self) -> None:
        def pass_on(act: Callable[[], None]) -> Callable[[int, object], None]:
            # A signal arrives between any two steps: only pass it on.
            return lambda *_: eventlet.hubs.get_hub().schedule_call_global(0, act)

        signal.signal(signal.SIGTERM, pass_on(self._stop))
        signal.signal(signal.SIGINT, pass_on(self._stop))
        signal.signal(signal.SIGHUP, pass_on(lambda: self.reload("SIGHUP")))

    def _stop(self) -> None:
        if not self.draining:
            self.draining_since = now()
        self.draining = True
        self.peering.announce_stop()
        if not self.stopping.ready():
            self.stopping.send()

    def _drain(self) -> None:
        """Stop in order: unready first, then wait for the balancer and for answers."""
        event("INFO", "stopping", active=len(self.active))
        until = self._ends_at()
        eventlet.sleep(min(BALANCER_SECONDS, until - now()))
        while self.active and now() < until:
            eventlet.sleep(DRAIN_POLL)
        event("INFO", "stopped", cut=sorted(self.active), after=round(now() - self.draining_since, 2))


def create_gateway(path: Path) -> Gateway:
    """Build a daemon from its settings.

    :param path: a YAML file.
    :return: the daemon; nothing runs yet.
    :raises InvalidSettings: when the settings are unreadable or wrong.
    """
    return Gateway(load_gateway_config(path), path)


def _changed_at(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # Between two versions of the file there may be none for a moment.
        return 0
