"""Peering: what gateways tell each other, and what a gateway does with it.

Addresses come from the roster; the streams are those of :mod:`bayglade.entries`.
Few gateways all have streams to each other; of many, each has streams to those it
asks for the platform's tables and to those that ask it (:mod:`bayglade.readers`).
Serving waits for none of this: a gateway that hears nobody goes by its own counts.
"""

import random
from collections.abc import Callable, Sequence, Set
from functools import partial

import eventlet
import msgspec

from bayglade.catchup import CatchUp
from bayglade.clock import now
from bayglade.config import GatewayConfig, parse_address
from bayglade.entries import wire
from bayglade.entries.membership import Membership
from bayglade.entries.ring import FULL_MESH
from bayglade.entries.wire import Findings, ServerLoad
from bayglade.epochs import StoreHistory
from bayglade.exceptions import PlatformUnavailable
from bayglade.fanout import Fanout
from bayglade.feeds import Feed
from bayglade.fingerprints import key_of
from bayglade.freshness import wait_within
from bayglade.ids import MemberId
from bayglade.intake import Intake
from bayglade.lending import POOLED_PART, Pools
from bayglade.listener import listen
from bayglade.logs import event
from bayglade.lost_rows import KEEP_SECONDS, recover, stored_members, write_delay
from bayglade.quotas import Quotas, choose_keeper
from bayglade.readers import LOST_SECONDS, Duty, Lost, Order, Plan, make_plan, streams_of
from bayglade.relay import Peers
from bayglade.retries import BUDGET_FLOOR, RetryBudget
from bayglade.roster import MemberRow, Roster, join, mark_gone, read_roster
from bayglade.rows import Changes, Position, Table, was_restored
from bayglade.servers import Server
from bayglade.spreading import Spreading
from bayglade.stops import read_stops, remove_stop, write_stop
from bayglade.totals import Totals
from bayglade.usage import Usage

ROSTER_BOUND = 50.0
"""Seconds within which a new daemon must be known to all: heartbeats and questions tell of it sooner."""
ROSTER_PAUSE = 1.0
"""Seconds between calls of the roster's feed after a change: nobody waits for it."""
FETCH_AFTER_SECONDS = 1.5
"""How long another gateway must be ahead before its settings are asked for: they come from the
store or a reader at about the same time, and a large document is dear to send."""
WATCH_SECONDS = 0.5
"""Time between looks at who is silent; heartbeats go out each second."""
GONE_SECONDS = 20.0
"""A gateway that was silent for so long is taken out of the roster: restarts take a few seconds."""
CLEAN_SECONDS = 5.0
"""Time between looks for these."""
STOP_RETRY_SECONDS = 3.0
"""Time after which the row of a request that is held back is written once more, if it is not there."""
CATCH_UP_LOOK_SECONDS = 0.05
"""Time between looks whether a gateway that starts has heard enough of the others."""
BUDGET_PART = 0.85
"""Part of the users' bound on repeated sendings that all gateways together allow themselves."""


class Peering:
    """The other gateways as one of them knows them."""

    def __init__(
        self,
        config: GatewayConfig,
        store: Table,
        feeds: dict[str, Feed],
        proof: Feed,
        table: str,
        history: StoreHistory,
        intake: Intake,
        usage: Usage,
        peers: Peers,
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
        self.order = Order({})
        self.plan = Plan(Duty.SITE)
        self.lost = Lost()
        self.clean_at = 0.0
        self.roster_position: Position | None = None
        """Up to where the roster was taken in."""

        self.writing = False
        """Whether the own row is about to be written again."""

        self.feed = Feed(store, table, wait_within(ROSTER_BOUND), self._take_roster, ROSTER_PAUSE, history)
        self.membership: Membership | None = None
        self.catch_up = CatchUp(intake)
        intake.caught_up = not config.peer_ports
        host = parse_address(config.callers).host
        self.address = f"{host}:{config.peer_ports.partition(',')[0]}"
        self.fanout = Fanout({**feeds, table: self.feed}, proof, self._push, self.address)
        self.totals = Totals(config.member)
        self.pools = Pools(self._readers, self._push, config.retry_window_seconds)
        self.spreading = Spreading(
            config.member,
            peers.fleet,
            peers.diagnosis,
            self._tell,
            lambda: self.plan.duty is not Duty.FOLLOWER,
            self.count,
            rng,
            peers.quarantine,
        )
        peers.borrow = self.pools.borrow
        peers.fleet.rate_limits.me = config.member
        self.quotas = Quotas(
            peers.fleet.rate_limits,
            config.member,
            self._keeper,
            self._route,
            self._push,
            peers.wait_queues.wake,
            rng,
        )
        if config.peer_ports:
            # Others may tell of the tables before the roster is known here.
            self.fanout.assign((config.member,))

    def __repr__(self) -> str:
        return f"<Peering {self.plan.duty.value} {self.membership!r}>"

    def run(self) -> None:
        """Join the other gateways, then watch them for ever."""
        if not self.config.peer_ports:
            return
        eventlet.spawn_n(self._catch_up)
        where = parse_address(self.address)
        listening = listen(where.host, where.port)
        self.roster = join(self.store, self.feed.table, self.config.member, self._row())
        assert self.roster.secret is not None
        self.membership = self._membership(self.roster.secret)
        self.peers.quarantine.use_key(key_of(self.roster.secret))
        eventlet.spawn_n(self.membership.serve, listening)
        event("INFO", "joined", address=self.address, members=len(self.roster.members))
        self._assign()
        self.feed.start()
        while True:
            eventlet.sleep(WATCH_SECONDS)
            self._watch()

    def live(self) -> list[MemberId]:
        """List the other gateways heard lately."""
        return [member.id for member in self.membership.live()] if self.membership is not None else []

    def reads(self) -> bool:
        """Tell whether this gateway reads the store for others, or there are no others that do."""
        return self.plan.duty is Duty.SITE

    def leave(self) -> None:
        """Tell the others that this gateway stops."""
        if self.membership is not None:
            self.membership.draining = True
            self.membership.beat()

    def count(self) -> int:
        """Return how many gateways there are, as far as known here."""
        return max(1, len(self.order.site))

    def _catch_up(self) -> None:
        """Have this gateway serve once it knows that others have no newer settings."""
        while not self.catch_up.check(self._expected()):
            eventlet.sleep(CATCH_UP_LOOK_SECONDS)
        if self.membership is not None:
            self.membership.fetch_after = FETCH_AFTER_SECONDS

    def _expected(self) -> Set[MemberId] | None:
        """Return the gateways that are to be heard before this one serves."""
        return self.membership.members.keys() if self.membership is not None else None

    def _keeper(self, server: Server) -> MemberId | None:
        """Choose the gateway that keeps the rate limit of a server; none before this one has joined.

        In a large site it is a reader of the server's hall, to which others have streams.
        """
        if not self.config.peer_ports:
            return self.config.member
        if self.membership is None:
            return None
        hall = server.facts.hall
        if len(self.order.site) > FULL_MESH:
            readers = self.plan.readers
            return choose_keeper(server.facts.key, readers.get(hall) or sum(readers.values(), ()))
        gone = self.lost.since.keys() | self.membership.stopping()
        live = [member for member in self.order.site if member not in gone]
        near = [member for member in live if self.order.halls[member] == hall]
        return choose_keeper(server.facts.key, near or live)

    def _route(self, member: MemberId) -> MemberId | None:
        """Return the gateway over which another one is reached: itself, or a reader of the own hall."""
        known = self.membership.members if self.membership is not None else {}
        readers = self.totals.readers.get(self.config.hall, ())
        return next((name for name in (member, *readers) if name in known), None)

    def new_budget(self) -> RetryBudget:
        """Make the budget of a service: this gateway's part of the bound on all of them."""
        fraction = BUDGET_PART * self.config.retry_fraction
        return RetryBudget(fraction, self._floor(), self.config.retry_window_seconds)

    def _watch(self) -> None:
        """Notice who fell silent and who is back, and do what is due."""
        assert self.membership is not None
        self.membership.watch()
        self.lost.update(self.membership.silent(LOST_SECONDS), self.membership.heard)
        self._make_plan()
        self._clean_roster()
        self._keep_stops()
        self.fanout.watch()
        self.peers.fleet.rate_limits.tidy()
        self.quotas.tidy()
        for budget in self.peers.budgets.values():
            budget.floor = self._floor()

    def _clean_roster(self) -> None:
        """Take gateways of the own hall that are gone out of the roster, as its first reader."""
        assert self.membership is not None
        readers = self.plan.readers.get(self.config.hall, ())
        if now() < self.clean_at or readers[:1] != (self.config.member,):
            return
        self.clean_at = now() + CLEAN_SECONDS
        if self.roster.marked and (back := self.roster.marked & stored_members(self.feed.rows).keys()):
            # A restored store has lost that these are gone.
            eventlet.spawn_n(self._mark_gone, min(back))
            return
        for member in self.membership.silent(GONE_SECONDS):
            row = self.roster.members.get(member)
            if row is not None and row.hall == self.config.hall:
                eventlet.spawn_n(self._mark_gone, member)
                return

    def _mark_gone(self, member: MemberId) -> None:
        try:
            mark_gone(self.store, member)
        except PlatformUnavailable as error:
            event("INFO", "roster not written", error=repr(error))

    def _keep_stops(self) -> None:
        """Have requests that are held back lie in the store, and remove those that were for long."""
        quarantine = self.peers.quarantine
        for name, evidence in quarantine.unwritten():
            evidence.write_at = now() + STOP_RETRY_SECONDS
            eventlet.spawn_n(self._change_stop, partial(write_stop, self.store, name, set(evidence.ends)))
        over = quarantine.take_lifts()
        if self.plan.readers.get(self.config.hall, ())[:1] == (self.config.member,):
            over += quarantine.expired()
        for name in over:
            eventlet.spawn_n(self._change_stop, partial(remove_stop, self.store, name))

    def _change_stop(self, change: Callable[[], object]) -> None:
        try:
            change()
        except PlatformUnavailable as error:
            event("INFO", "stop not written", error=repr(error))

    def _write_again(self, reason: str, lost: int = 0) -> None:
        """Write the own row, and the secret, where the store lacks them.

        :param reason: why, for the log.
        :param lost: how many gateways write theirs at the same moment.
        """
        if not self.writing:
            self.writing = True
            eventlet.spawn_after(write_delay(lost, self.rng), self._rejoin, reason)

    def _rejoin(self, reason: str) -> None:
        assert self.membership is not None
        try:
            event("WARNING", "own row written again", reason=reason)
            secret = self.membership.secret
            joined = join(self.store, self.feed.table, self.config.member, self._row(), secret)
            members = {**self.roster.members, **joined.members}
            self.roster = msgspec.structs.replace(self.roster, members=members)
            self._assign()
        finally:
            self.writing = False

    def _row(self) -> MemberRow:
        return MemberRow(self.address, self.config.hall, link_mbps=self.config.link_mbps)

    def _floor(self) -> float:
        members = self.membership.count() if self.membership is not None else 0
        bound = BUDGET_PART * self.config.retry_floor
        if not members:
            # Nobody is known yet; there may be many.
            return min(BUDGET_FLOOR, bound)
        kept = 1.0 - POOLED_PART if self.totals.readers else 1.0
        return kept * bound / members

    def _pooled(self) -> float:
        """Return the part of the bound that this gateway lends, as a reader."""
        if not self.totals.reading():
            return 0.0
        readers = sum(len(names) for names in self.totals.readers.values())
        return POOLED_PART * BUDGET_PART * self.config.retry_floor / readers

    def _readers(self) -> Sequence[MemberId]:
        """Return the readers from whom retries are borrowed: those of the own hall."""
        return () if self.totals.reading() else self.totals.readers.get(self.config.hall, ())

    def _membership(self, secret: bytes) -> Membership:
        membership = Membership(
            self.config.member,
            secret,
            self.intake,
            self.usage,
            self.peers.metrics,
            list,
            list,
            self._heard_beat,
            self.rng,
        )
        membership.on_due = lambda: self.totals.add_up(self._loads())
        membership.sums_for = self.totals.for_member
        membership.on_poll = self._heard_poll
        membership.on_updates = self.fanout.heard_updates
        membership.on_unable = self.fanout.heard_unable
        membership.on_findings = self.spreading.heard
        membership.greet = self.spreading.greeting
        membership.on_borrow = self.pools.heard_borrow
        membership.on_lent = self.pools.heard_lent
        membership.on_quota_request = self.quotas.heard_request
        membership.on_quota_reply = self.quotas.heard_reply
        membership.on_quota_return = self.quotas.heard_return
        membership.fetch_after = FETCH_AFTER_SECONDS if self.intake.caught_up else 0.0
        membership.caught_up = lambda: self.intake.caught_up
        self.peers.paths.elsewhere = lambda: self.totals.elsewhere(self._loads())
        self.peers.paths.daemons = lambda: self.totals.neighbours() + 1
        self.peers.diagnosis.daemons = membership.count
        self.peers.paths.pipes.daemons = membership.count
        return membership

    def _take_roster(self, changes: Changes, whole: bool) -> None:
        restored = whole and was_restored(self.roster_position, changes.position)
        self.roster_position = changes.position
        self.peers.quarantine.take_stored(read_stops(changes.rows), whole, restored)
        before, self.roster = self.roster, read_roster(changes.rows, Roster() if whole else self.roster)
        if self.membership is None:
            return
        if restored:
            self._recover(before)
        elif self.config.member not in self.roster.members:
            self._write_again("others took this gateway for gone")
        self._check_secret(self.membership)
        self._assign()

    def _recover(self, before: Roster) -> None:
        """Keep what a restored store has lost of the roster, and have it written again."""
        lost = before.members.keys() - self.roster.members.keys()
        if self.config.member in lost:
            self._write_again("the store was restored", len(lost))
        self.roster = recover(before, self.roster, self.lost.since)
        event("WARNING", "roster recovered", lost=len(lost), marked=len(self.roster.marked))
        eventlet.spawn_after(KEEP_SECONDS, self._drop_unwritten)

    def _drop_unwritten(self) -> None:
        """Drop gateways whose rows a restored store has lost and that have not written them again."""
        stored = stored_members(self.feed.rows)
        gone = self.roster.members.keys() - stored.keys() - {self.config.member}
        if gone:
            members = {name: row for name, row in self.roster.members.items() if name not in gone}
            self.roster = msgspec.structs.replace(self.roster, members=members)
            event("INFO", "unwritten rows dropped", peers=sorted(gone))
            self._assign()

    def _check_secret(self, membership: Membership) -> None:
        """Have the streams and the store agree on one secret.

        Gateways that ran when the store was restored write theirs again; one that
        started since, and found none, takes that.
        """
        stored = self.roster.secret
        if stored == membership.secret:
            return
        restored_at = self.history.restored_at
        if stored is None or (restored_at is not None and now() - restored_at < KEEP_SECONDS):
            if self.reads():
                self._write_again("the secret was lost")
            return
        event("WARNING", "secret changed")
        membership.secret = stored
        self.peers.quarantine.use_key(key_of(stored))

    def _assign(self) -> None:
        """Take in who the other gateways are."""
        rows = self.roster.members
        links = {name: row.link_mbps for name, row in rows.items()}
        self.order = Order({name: row.hall for name, row in rows.items()}, links)
        self.fanout.forget(self.order.halls)
        self._make_plan(True)

    def _make_plan(self, always: bool = False) -> None:
        """Work out who reads, and act on it where it changed.

        :param always: whether to act on it though it is the same: the roster changed.
        """
        assert self.membership is not None
        me = self.config.member
        plan = make_plan(me, self.order, self.lost.since, self.fanout.without_store(me))
        if plan == self.plan and not always:
            return
        if (plan.duty, plan.asks) != (self.plan.duty, self.plan.asks):
            event("INFO", "readers chosen", duty=plan.duty.value, asks=plan.asks)
        self.plan = plan
        mesh = len(self.order.site) <= FULL_MESH
        self.totals.assign(self.order.halls, {} if mesh else plan.readers)
        self.pools.assign(self._pooled())
        self.fanout.assign(plan.asks)
        self._keep_streams()

    def _keep_streams(self) -> None:
        """Keep streams to those whom this gateway asks, and to those who ask it."""
        assert self.membership is not None
        addresses = {name: row.address for name, row in self.roster.members.items()}
        if len(self.order.site) <= FULL_MESH:
            self.membership.sync(addresses)
            return
        wanted = streams_of(self.config.member, self.order, self.plan)
        wanted |= self.fanout.waiting.keys() & addresses.keys()
        self.membership.sync(addresses, wanted)

    def _heard_beat(self, member: MemberId, beat: wire.Heartbeat) -> None:
        self.totals.hear(member, beat)
        self.catch_up.hear(member, beat.revision, beat.caught_up)
        self.spreading.heard_of(load.key for load in beat.loads)

    def _heard_poll(self, member: MemberId, poll: wire.Poll) -> None:
        if member not in self.roster.members:
            # It started just now. Its hall matters for sums only, and comes with its row.
            known = {**self.roster.members, member: MemberRow(poll.address, self.config.hall)}
            self.roster = msgspec.structs.replace(self.roster, members=known)
        self.fanout.heard_poll(member, poll)
        if self.membership is not None and member not in self.membership.members:
            self._keep_streams()

    def _push(self, member: MemberId, message: wire.Message) -> None:
        if self.membership is not None:
            self.membership.push(member, message)

    def _tell(self, findings: Findings, but: MemberId | None) -> None:
        if self.membership is not None:
            self.membership.push_all(findings, but)

    def _loads(self) -> list[ServerLoad]:
        servers = self.peers.fleet.servers.values()
        return [
            ServerLoad(s.facts.id, s.in_flight, int(s.cached), s.facts.incarnation)
            for s in servers
            if s.facts.layer_count and (s.in_flight or s.cached >= 1)
        ]
