"""Peering: the messages that gateways exchange, and how a gateway acts on them.

Addresses come from the roster; the streams are those of :mod:`bayglade.entries`. In a small site
all gateways have streams to each other. In a large one, each has streams to those it polls for the
platform's tables and to those that poll it (:mod:`bayglade.readers`). Serving does not depend on
any of this: a gateway that hears from nobody uses only its own counts.
"""

import random
import socket
from collections.abc import Callable, Sequence, Set
from functools import partial

import eventlet
import msgspec

from bayglade.catchup import CatchUp
from bayglade.clients import HANDSHAKE_SOCKET_FRACTION, host_sockets
from bayglade.clock import now
from bayglade.config import GatewayConfig, parse_address
from bayglade.entries import wire
from bayglade.entries.membership import Membership
from bayglade.entries.ring import FULL_MESH_LIMIT
from bayglade.entries.wire import Findings, ServerLoad
from bayglade.epochs import StoreHistory
from bayglade.exceptions import PlatformUnavailable
from bayglade.fanout import Fanout
from bayglade.feeds import Feed
from bayglade.fingerprints import derive_key
from bayglade.freshness import poll_wait
from bayglade.ids import MemberId
from bayglade.intake import Intake
from bayglade.lending import RetryLending
from bayglade.listener import listen
from bayglade.logs import event
from bayglade.lost_rows import REWRITE_GRACE_SECONDS, merge_restored, rewrite_delay, stored_members
from bayglade.plain_balancing import balanced_services
from bayglade.quotas import Quotas, choose_owner
from bayglade.readers import (
    LOST_AFTER_SECONDS,
    READER_COUNT,
    LostDaemons,
    Ranking,
    ReaderPlan,
    Role,
    needed_streams,
    plan_readers,
)
from bayglade.relay import RelayContext
from bayglade.rendezvous import choose_member
from bayglade.retry_ledger import RetryBound
from bayglade.retry_parts import RetryParts, whole_bound
from bayglade.roster import MemberRow, Roster, apply_rows, join, join_in_epoch, mark_gone
from bayglade.rows import Changes, Position, Table, was_restored
from bayglade.servers import Server
from bayglade.spreading import Spreading
from bayglade.stops import read_stops, remove_stop, write_stop
from bayglade.tasks import keep_running
from bayglade.totals import LoadTotals
from bayglade.usage import Usage

ROSTER_BATCH_DELAY = 1.0
"""Sleep between calls of the roster's feed after a change; nobody waits for the roster."""
START_SECONDS = 2.0
START_BATCH_DELAY = 0.1
"""The same, within this many seconds of a start. In a site that starts for the first time, daemons wait for
those that joined before them, which learn of them only by the roster."""
FETCH_DELAY = 1.5
"""Seconds for which another gateway must have newer settings before they are fetched from it. They usually
arrive from the store or a reader at about the same time, and a large document is costly to send."""
CHECK_INTERVAL = 0.5
"""Interval of the check for silent daemons, in seconds; heartbeats are sent every second."""
GONE_AFTER_SECONDS = 20.0
"""Silence after which a gateway is marked as gone in the roster; restarts take a few seconds."""
GONE_CHECK_INTERVAL = 5.0
"""Interval of the check for such gateways, in seconds."""
STOP_REWRITE_SECONDS = 3.0
"""Seconds after which the row of a quarantined request is written again if it is missing from the store."""
CATCH_UP_CHECK_INTERVAL = 0.05
"""Interval at which a gateway that starts checks whether it has heard enough from the others."""
RETRY_FRACTION = 0.95
"""Fraction of the configured bound on retries that all gateways together use."""


def retry_bound(config: GatewayConfig) -> RetryBound:
    """Return the bound on the retries of all gateways together to one service.

    :param config: the settings of one of them.
    """
    return RetryBound(
        RETRY_FRACTION * config.retry_fraction,
        RETRY_FRACTION * config.retry_floor,
        config.retry_window_seconds,
    )


class Peering:
    """The view that one gateway has of the others."""

    def __init__(
        self,
        config: GatewayConfig,
        store: Table,
        feeds: dict[str, Feed],
        probe_feed: Feed,
        table: str,
        history: StoreHistory,
        intake: Intake,
        usage: Usage,
        peers: RelayContext,
        rng: random.Random,
    ) -> None:
        self.config = config
        self.store = store
        self.history = history
        self.intake = intake
        self.usage = usage
        self.peers = peers
        self.rng = rng
        self.roster = Roster()
        self.ranking = Ranking({})
        self.plan = ReaderPlan(Role.SITE_READER)
        self.lost_daemons = LostDaemons()
        self.next_gone_check_at = 0.0
        self.roster_position: Position | None = None
        """Position of the roster as last applied; after joining, the beginning of the store's epoch."""

        self.recovering_until = 0.0
        """Until when a whole roster may lack rows that a restored store has lost, in monotonic seconds."""

        self.rewrite_scheduled = False
        """Whether a rewrite of the own row is scheduled."""

        self.roster_feed = Feed(
            store, table, poll_wait(config.roster_seconds), self._apply_roster, START_BATCH_DELAY, history
        )
        self.membership: Membership | None = None
        self.catch_up = CatchUp(intake)
        intake.caught_up = not config.peer_ports
        host = parse_address(config.callers).host
        first_port, _, last_port = config.peer_ports.partition(",")
        self.address = f"{host}:{first_port}"
        self.forward_address = f"{host}:{last_port}" if last_port not in ("", "0", first_port) else ""
        """Where calls that other gateways forward are accepted; empty if none are."""

        self.fanout = Fanout({**feeds, table: self.roster_feed}, probe_feed, self._send, self.address)
        self.totals = LoadTotals(config.member)
        self.retry_parts = RetryParts(
            config.member, config.retry_window_seconds, config.roster_seconds, config.first_start
        )
        self.lending = RetryLending(
            config.member,
            peers.retry_ledger,
            self._lenders,
            self._is_follower,
            self._send,
            peers.metrics,
            rng,
        )
        self.spreading = Spreading(
            config.member,
            peers.fleet,
            peers.diagnosis,
            self._send_findings,
            lambda: self.plan.role is not Role.FOLLOWER,
            self.count,
            rng,
            peers.quarantine,
        )
        peers.retry_part = self.retry_parts.current if config.peer_ports else whole_bound
        peers.borrow = self.lending.borrow
        peers.note_request = self.lending.note_request
        peers.fleet.rate_limits.me = config.member
        self.quotas = Quotas(
            peers.fleet.rate_limits,
            config.member,
            self._limit_keeper,
            self._next_hop,
            self._send,
            peers.wait_queues.grant_places,
            rng,
        )
        if config.peer_ports:
            # Other gateways may relay the tables before the roster is known here.
            self.fanout.set_sources((config.member,))

    def __repr__(self) -> str:
        return f"<Peering {self.plan.role.value} {self.membership!r}>"

    def run(self) -> None:
        """Join the other gateways, then monitor them forever."""
        if not self.config.peer_ports:
            return
        metrics = self.peers.metrics
        eventlet.spawn_n(keep_running, "catch_up", self._catch_up, metrics)
        where = parse_address(self.address)
        listening = listen(where.host, where.port)
        keep_running("join", partial(self._join, listening), metrics)
        keep_running("roster", self._check_forever, metrics)

    def _join(self, listening: socket.socket) -> None:
        """Join the other gateways, and accept their streams.

        :param listening: the socket that they connect to.
        """
        self.roster, epoch = join_in_epoch(
            self.store, self.roster_feed.table, self.config.member, self._row()
        )
        # Other gateways may relay what they read earlier in this epoch.
        self.roster_position = Position(epoch, 0)
        assert self.roster.secret is not None
        self.membership = self._membership(self.roster.secret)
        self.peers.quarantine.use_key(derive_key(self.roster.secret))
        eventlet.spawn_n(self.membership.serve, listening)
        event("INFO", "joined", address=self.address, members=len(self.roster.members))
        self._roster_changed()
        self.roster_feed.start()
        eventlet.spawn_after(START_SECONDS, setattr, self.roster_feed, "batch_delay", ROSTER_BATCH_DELAY)

    def _check_forever(self) -> None:
        """Monitor the other gateways; never returns."""
        while True:
            eventlet.sleep(CHECK_INTERVAL)
            self._check()

    def live(self) -> list[MemberId]:
        """List the other gateways heard from recently."""
        return [member.id for member in self.membership.live()] if self.membership is not None else []

    def reads_store(self) -> bool:
        """Return whether this gateway reads the store, either for others or because no other does."""
        return self.plan.role is Role.SITE_READER

    def announce_stop(self) -> None:
        """Announce to the others that this gateway is stopping."""
        if self.membership is not None:
            self.membership.draining = True
            self.membership.send_heartbeats()

    def count(self) -> int:
        """Return the number of gateways, as far as known here."""
        return max(1, len(self.ranking.ranked))

    def secret(self) -> bytes | None:
        """Return the secret that all gateways share; None before this one has joined."""
        return self.membership.secret if self.membership is not None else None

    def forward_addresses(self) -> dict[MemberId, str]:
        """Return the other gateways that may accept forwarded calls, with their addresses."""
        if self.membership is None:
            return {}
        excluded = self.lost_daemons.since.keys() | self.membership.stopping_members()
        excluded |= {self.config.member}
        return {
            name: row.forwards
            for name, row in self.roster.members.items()
            if row.forwards and name not in excluded
        }

    def announce_isolation(self) -> None:
        """Announce at once which services this gateway no longer reaches, or reaches again."""
        if self.membership is not None:
            self.membership.send_heartbeats()

    def _catch_up(self) -> None:
        """Let this gateway serve once others are known to have no newer settings."""
        while not self.catch_up.check(self._awaited_members()):
            eventlet.sleep(CATCH_UP_CHECK_INTERVAL)
        if self.membership is not None:
            self.membership.fetch_after = FETCH_DELAY

    def _awaited_members(self) -> Set[MemberId] | None:
        """Return the gateways to hear before this one serves; None before it has joined."""
        return self.membership.members.keys() if self.membership is not None else None

    def _limit_keeper(self, server: Server) -> MemberId | None:
        """Choose the gateway that keeps the rate limit of a server; None before this one has joined.

        In a large site it is a reader of the server's hall, to which others have streams.
        """
        if not self.config.peer_ports:
            return self.config.member
        if self.membership is None:
            return None
        hall = server.facts.hall
        if len(self.ranking.ranked) > FULL_MESH_LIMIT:
            readers = self.plan.hall_readers
            return choose_owner(server.facts.key, readers.get(hall) or sum(readers.values(), ()))
        gone = self.lost_daemons.since.keys() | self.membership.stopping_members()
        live = [member for member in self.ranking.ranked if member not in gone]
        near = [member for member in live if self.ranking.halls[member] == hall]
        return choose_owner(server.facts.key, near or live)

    def _next_hop(self, member: MemberId) -> MemberId | None:
        """Return the next hop to another gateway: itself, or a reader of the own hall."""
        known = self.membership.members if self.membership is not None else {}
        readers = self.totals.readers.get(self.config.hall, ())
        return next((name for name in (member, *readers) if name in known), None)

    def _check(self) -> None:
        """Track which gateways are silent and run the periodic tasks."""
        assert self.membership is not None
        self.membership.run_due()
        self.lost_daemons.update(
            self.membership.silent_members(LOST_AFTER_SECONDS), self.membership.last_heard
        )
        self._make_plan()
        self._mark_silent_gone()
        self._sync_stop_rows()
        self.fanout.poll_sources()
        self.peers.reports.check_coverage()
        self.peers.fleet.rate_limits.tidy()
        self.quotas.tidy()
        self._observe_roster()
        self.lending.send_deposits()
        self.peers.metrics.gauge("retry_part", self.retry_parts.current().own)
        self.peers.metrics.gauge("retry_part_divisor", self.retry_parts.divisor())

    def _mark_silent_gone(self) -> None:
        """Mark gateways of the own hall as gone, if this one is the first reader of the hall."""
        assert self.membership is not None
        readers = self.plan.hall_readers.get(self.config.hall, ())
        if now() < self.next_gone_check_at or readers[:1] != (self.config.member,):
            return
        self.next_gone_check_at = now() + GONE_CHECK_INTERVAL
        if self.roster.marked_gone and (
            back := self.roster.marked_gone & stored_members(self.roster_feed.rows).keys()
        ):
            # The store was restored to a state in which these were not marked yet.
            eventlet.spawn_n(self._mark_gone, min(back))
            return
        for member in self.membership.silent_members(GONE_AFTER_SECONDS):
            row = self.roster.members.get(member)
            if row is not None and row.hall == self.config.hall:
                eventlet.spawn_n(self._mark_gone, member)
                return

    def _mark_gone(self, member: MemberId) -> None:
        try:
            mark_gone(self.store, member)
        except PlatformUnavailable as error:
            event("INFO", "roster not written", error=repr(error))

    def _sync_stop_rows(self) -> None:
        """Keep the rows of quarantined requests in the store, and remove those that were lifted or
        expired."""
        quarantine = self.peers.quarantine
        for name, evidence in quarantine.suspects.unwritten():
            evidence.write_at = now() + STOP_REWRITE_SECONDS
            write = partial(
                write_stop,
                self.store,
                name,
                set(evidence.crashed_on),
                evidence.subject,
                quarantine.suspects.required_companions(evidence),
            )
            eventlet.spawn_n(self._change_stop, write)
        over = quarantine.suspects.take_lifts()
        if self.plan.hall_readers.get(self.config.hall, ())[:1] == (self.config.member,):
            over += quarantine.suspects.expired()
        for name in over:
            eventlet.spawn_n(self._change_stop, partial(remove_stop, self.store, name))

    def _has_turn(self, turn: str) -> bool:
        """Tell whether this daemon is the one chosen for a turn."""
        return choose_member(turn, self.roster.members) == self.config.member

    def _change_stop(self, change: Callable[[], object]) -> None:
        try:
            change()
        except PlatformUnavailable as error:
            event("INFO", "stop not written", error=repr(error))

    def _schedule_rewrite(self, reason: str, lost: int = 0) -> None:
        """Write the own row, and the secret, if the store lacks them.

        :param reason: the reason to log.
        :param lost: how many gateways rewrite theirs at the same time.
        """
        if not self.rewrite_scheduled:
            self.rewrite_scheduled = True
            eventlet.spawn_after(rewrite_delay(lost, self.rng), self._rewrite_row, reason)

    def _rewrite_row(self, reason: str) -> None:
        assert self.membership is not None
        try:
            event("WARNING", "own row written again", reason=reason)
            secret = self.membership.secret
            joined = join(self.store, self.roster_feed.table, self.config.member, self._row(), secret)
            members = {**self.roster.members, **joined.members}
            self.roster = msgspec.structs.replace(self.roster, members=members)
            self._roster_changed()
        finally:
            self.rewrite_scheduled = False

    def _row(self) -> MemberRow:
        return MemberRow(
            self.address,
            self.config.hall,
            link_mbps=self.config.link_mbps,
            forwards=self.forward_address,
        )

    def _observe_roster(self) -> None:
        """Derive the own part of the bound on retries from the roster, and how current it is."""
        halls = self.ranking.halls
        lenders = set(halls) if self._is_mesh() else self.ranking.first_of_halls(READER_COUNT)
        self.retry_parts.observe(self.roster_feed.known_at, halls.keys(), lenders)

    def _is_mesh(self) -> bool:
        """Return whether every gateway has a stream to every other."""
        return len(self.ranking.ranked) <= FULL_MESH_LIMIT

    def _is_follower(self) -> bool:
        """Return whether this gateway has streams to the readers of its hall alone."""
        return not self._is_mesh() and self.plan.role is Role.FOLLOWER

    def _lenders(self) -> Sequence[MemberId]:
        """Return the gateways from which retries may be borrowed, and to which there is a stream."""
        if self.membership is None:
            return ()
        live = [member.id for member in self.membership.live()]
        if self._is_mesh():
            return live
        if self._is_follower():
            readers = self.plan.hall_readers.get(self.config.hall, ())
            return [member for member in live if member in readers]
        lenders = self.ranking.first_of_halls(READER_COUNT)
        return [member for member in live if member in lenders]

    def _membership(self, secret: bytes) -> Membership:
        membership = Membership(
            self.config.member,
            secret,
            self.intake,
            self.usage,
            self.peers.metrics,
            list,
            list,
            self._receive_heartbeat,
            self.rng,
        )
        sockets = host_sockets(self.config.max_descriptors)
        membership.max_handshakes = int(HANDSHAKE_SOCKET_FRACTION * sockets)
        membership.before_heartbeats = self._update_sums
        membership.sums_for = self.totals.for_member
        membership.reports_for = self.peers.reports.for_member
        membership.coverage_for = self.peers.reports.coverage_for
        self.peers.reports.on_coverage_change = membership.send_heartbeats
        membership.on_poll = self._receive_poll
        membership.on_updates = self.fanout.receive_updates
        membership.on_store_unreachable = self.fanout.receive_store_unreachable
        membership.on_findings = self.spreading.merge_findings
        membership.first_messages = self.spreading.initial_findings
        membership.on_borrow_request = self.lending.handle_request
        membership.on_borrow_reply = self.lending.handle_reply
        membership.on_borrow_return = self.lending.handle_return
        membership.on_credit_deposit = self.lending.handle_deposit
        membership.on_quota_request = self.quotas.handle_request
        membership.on_quota_reply = self.quotas.handle_reply
        membership.on_quota_return = self.quotas.handle_return
        membership.fetch_after = FETCH_DELAY if self.intake.caught_up else 0.0
        membership.isolated = self.peers.reachability.isolated_services
        membership.caught_up = lambda: self.intake.caught_up
        self.peers.paths.remote_loads = lambda: self.totals.other_daemons(self._loads())
        self.peers.paths.daemon_count = lambda: self.totals.count_hall_peers() + 1
        self.peers.diagnosis.count_daemons = membership.count
        self.peers.quarantine.has_turn = self._has_turn
        self.peers.paths.pipes.daemons = membership.count
        return membership

    def _apply_roster(self, changes: Changes, whole: bool) -> None:
        restored = whole and was_restored(self.roster_position, changes.position)
        self.roster_position = changes.position
        if restored:
            self.recovering_until = now() + REWRITE_GRACE_SECONDS
        # Another gateway may have read the restored table before the lost rows were rewritten.
        recovering = whole and now() < self.recovering_until
        self.peers.quarantine.suspects.merge_stored(read_stops(changes.rows), whole, recovering)
        before, self.roster = self.roster, apply_rows(changes.rows, Roster() if whole else self.roster)
        if self.membership is None:
            return
        if restored:
            self._merge_restored(before)
        elif recovering:
            self.roster = merge_restored(before, self.roster, self.lost_daemons.since)
        elif self.config.member not in self.roster.members:
            self._schedule_rewrite("the own row is missing or marked as gone")
        self._check_secret(self.membership)
        self._roster_changed()

    def _merge_restored(self, before: Roster) -> None:
        """Keep members whose rows a restored store has lost; rewrite the own row if it is among them."""
        lost = before.members.keys() - self.roster.members.keys()
        if self.config.member in lost:
            self._schedule_rewrite("the store was restored", len(lost))
        self.roster = merge_restored(before, self.roster, self.lost_daemons.since)
        event("WARNING", "roster recovered", lost=len(lost), marked=len(self.roster.marked_gone))
        eventlet.spawn_after(REWRITE_GRACE_SECONDS, self._drop_unwritten)

    def _drop_unwritten(self) -> None:
        """Drop gateways whose rows were lost in a restore and that have not rewritten them."""
        stored = stored_members(self.roster_feed.rows)
        gone = self.roster.members.keys() - stored.keys() - {self.config.member}
        if gone:
            members = {name: row for name, row in self.roster.members.items() if name not in gone}
            self.roster = msgspec.structs.replace(self.roster, members=members)
            event("INFO", "unwritten rows dropped", peers=sorted(gone))
            self._roster_changed()

    def _check_secret(self, membership: Membership) -> None:
        """Make the streams and the store use one secret.

        Gateways that were running when the store was restored write their secret again. One that started
        later and found none takes that secret over.
        """
        stored = self.roster.secret
        if stored == membership.secret:
            return
        restored_at = self.history.restored_at
        if stored is None or (restored_at is not None and now() - restored_at < REWRITE_GRACE_SECONDS):
            if self.reads_store():
                self._schedule_rewrite("the secret was lost")
            return
        event("WARNING", "secret changed")
        membership.secret = stored
        self.peers.quarantine.use_key(derive_key(stored))

    def _roster_changed(self) -> None:
        """Apply a changed roster: ranking, plan and streams."""
        rows = self.roster.members
        links = {name: row.link_mbps for name, row in rows.items()}
        self.ranking = Ranking({name: row.hall for name, row in rows.items()}, links)
        self.fanout.forget(self.ranking.halls)
        self._observe_roster()
        self._make_plan(True)

    def _make_plan(self, always: bool = False) -> None:
        """Choose the readers, and act on the plan if it has changed.

        :param always: whether to act even if the plan is the same, because the roster changed.
        """
        assert self.membership is not None
        me = self.config.member
        plan = plan_readers(me, self.ranking, self.lost_daemons.since, self.fanout.without_store(me))
        if plan == self.plan and not always:
            return
        if (plan.role, plan.sources) != (self.plan.role, self.plan.sources):
            event("INFO", "readers chosen", duty=plan.role.value, asks=plan.sources)
        self.plan = plan
        mesh = len(self.ranking.ranked) <= FULL_MESH_LIMIT
        self.totals.assign(self.ranking.halls, {} if mesh else plan.hall_readers)
        self.peers.reports.assign(self.ranking.halls, {} if mesh else plan.hall_readers)
        self.fanout.set_sources(plan.sources)
        self._update_streams()
        self.fanout.poll_sources()

    def _update_streams(self) -> None:
        """Keep streams to the gateways that this one polls, and to those that poll it."""
        assert self.membership is not None
        addresses = {name: row.address for name, row in self.roster.members.items()}
        if len(self.ranking.ranked) <= FULL_MESH_LIMIT:
            self.membership.update_members(addresses)
            return
        wanted = needed_streams(self.config.member, self.ranking, self.plan)
        wanted |= self.fanout.polling_members() & addresses.keys()
        self.membership.update_members(addresses, wanted)

    def _receive_heartbeat(self, member: MemberId, beat: wire.Heartbeat) -> None:
        self.totals.merge_heartbeat(member, beat)
        known = self.peers.forwarding.isolated_peers.get(member, frozenset())
        self.peers.forwarding.isolated_peers[member] = frozenset(beat.isolated)
        self.peers.reachability.check_services(set(beat.isolated) - known)
        self.peers.reports.merge_heartbeat(member, beat)
        self.catch_up.record(member, beat.revision, beat.caught_up)
        self.catch_up.check(self._awaited_members())
        # Plain servers have no report to ask for; the probe would take them for silent.
        servers, pipelines = self.peers.fleet.servers, self.intake.pipelines()
        stages = {name for name, server in servers.items() if server.facts.service in pipelines}
        self.spreading.probe_restarted(load.key for load in beat.loads if load.backend in stages)

    def _receive_poll(self, member: MemberId, poll: wire.Poll) -> None:
        if member not in self.roster.members:
            # It started just now. Its hall only matters for sums, and arrives with its row.
            known = {**self.roster.members, member: MemberRow(poll.address, self.config.hall)}
            self.roster = msgspec.structs.replace(self.roster, members=known)
        # The answer is sent at once if there is news, and without a stream it would be lost.
        self.fanout.polled_at[member] = now()
        if self.membership is not None and member not in self.membership.members:
            self._update_streams()
        self.fanout.receive_poll(member, poll)

    def _send(self, member: MemberId, message: wire.Message) -> None:
        if self.membership is not None:
            self.membership.send(member, message)

    def _send_findings(self, findings: Findings, but: MemberId | None) -> None:
        if self.membership is not None:
            self.membership.broadcast(findings, but)

    def _update_sums(self) -> None:
        """Compute the sums that the next heartbeats carry."""
        self.totals.update_sums(self._loads())
        self.peers.reports.update_sums()

    def _loads(self) -> list[ServerLoad]:
        servers = self.peers.fleet.servers.values()
        plain = balanced_services(self.count(), servers, self.intake.pipelines())
        return [
            ServerLoad(s.facts.id, s.in_flight, int(s.cached), s.facts.incarnation)
            for s in servers
            if (s.facts.layer_count or s.facts.service in plain) and (s.in_flight or s.cached >= 1)
        ]
