"""Peering: what gateways tell each other, and what a gateway does with it.

Addresses come from the roster; the streams are those of :mod:`bayglade.entries`.
Serving waits for none of this: a gateway that hears nobody goes by its own counts.
"""

import random

import eventlet

from bayglade.config import GatewayConfig, parse_address
from bayglade.entries import wire
from bayglade.entries.membership import Membership
from bayglade.entries.wire import Heartbeat, ServerLoad
from bayglade.fanout import FOLLOWER_REST_PART, READER_WAIT_PART, Fanout
from bayglade.feeds import Feed
from bayglade.fleet import Server
from bayglade.ids import MemberId
from bayglade.intake import Intake
from bayglade.lending import POOLED_PART, Pools
from bayglade.listener import listen
from bayglade.logs import event
from bayglade.relay import Peers
from bayglade.retries import BUDGET_FLOOR, RetryBudget
from bayglade.roster import MemberRow, join, read_members
from bayglade.rows import Changes, Table
from bayglade.totals import Totals
from bayglade.usage import Usage

ROSTER_WAIT = 20.0
ROSTER_PAUSE = 1.0
"""Seconds between calls of the roster's feed: nobody waits for it."""
FETCH_AFTER_SECONDS = 0.5
"""How long another gateway must be ahead before its settings are asked for: they come from the
store or a reader at about the same time, and a large document is dear to send."""
WATCH_SECONDS = 0.25
"""Time between looks at who is silent; heartbeats go out each second."""
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
        intake: Intake,
        usage: Usage,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        self.config = config
        self.store = store
        self.intake = intake
        self.usage = usage
        self.peers = peers
        self.rng = rng
        self.roster: dict[MemberId, MemberRow] = {}
        self.feed = Feed(store, table, ROSTER_WAIT, self._take_roster, ROSTER_PAUSE)
        self.membership: Membership | None = None
        self.fanout = Fanout({**feeds, table: self.feed}, proof, self._push)
        self.proof_wait = proof.wait
        self.totals = Totals(config.member)
        self.pools = Pools(self.fanout, self._push, config.retry_window_seconds)
        peers.borrow = self.pools.borrow

    def __repr__(self) -> str:
        return f"<Peering {self.membership!r}>"

    def run(self) -> None:
        """Join the other gateways, then watch them for ever."""
        if not self.config.peer_ports:
            return
        host = parse_address(self.config.callers).host
        port = int(self.config.peer_ports.partition(",")[0])
        listening = listen(host, port)
        secret = join(self.store, self.config.member, f"{host}:{port}", self.config.hall)
        membership = self.membership = self._membership(secret)
        eventlet.spawn_n(membership.serve, listening)
        self.feed.start()
        event("INFO", "joined", address=f"{host}:{port}")
        while True:
            eventlet.sleep(WATCH_SECONDS)
            membership.watch()
            self.fanout.watch()
            for budget in self.peers.budgets.values():
                budget.floor = self._floor()

    def live(self) -> list[MemberId]:
        """List the other gateways heard lately."""
        return [member.id for member in self.membership.live()] if self.membership is not None else []

    def reads(self) -> bool:
        """Tell whether this gateway reads the store for others, or there are no others that do."""
        return self.fanout.reading or not self.fanout.readers

    def leave(self) -> None:
        """Tell the others that this gateway stops."""
        if self.membership is not None:
            self.membership.draining = True
            self.membership.beat()

    def new_budget(self) -> RetryBudget:
        """Make the budget of a service: this gateway's part of the bound on all of them."""
        fraction = BUDGET_PART * self.config.retry_fraction
        return RetryBudget(fraction, self._floor(), self.config.retry_window_seconds)

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
        if not self.fanout.reading:
            return 0.0
        readers = sum(len(names) for names in self.totals.readers.values())
        return POOLED_PART * BUDGET_PART * self.config.retry_floor / readers

    def _membership(self, secret: bytes) -> Membership:
        membership = Membership(
            self.config.member,
            secret,
            self.intake,
            self.usage,
            self.peers.metrics,
            list,
            list,
            self._heard,
            self.rng,
        )
        membership.loads = self._loads
        membership.on_poll = self.fanout.heard_poll
        membership.on_updates = self.fanout.heard_updates
        membership.on_borrow = self.pools.heard_borrow
        membership.on_lent = self.pools.heard_lent
        membership.fetch_after = FETCH_AFTER_SECONDS
        membership.sums = self._sums
        self.peers.paths.elsewhere = lambda: self.totals.elsewhere(self._loads())
        self.peers.diagnosis.on_dead = self._tell_dead
        self.peers.diagnosis.on_back = self._tell_back
        self.peers.diagnosis.daemons = membership.count
        self.peers.paths.pipes.daemons = membership.count
        return membership

    def _take_roster(self, changes: Changes, whole: bool) -> None:
        members = read_members(changes.rows)
        if not members and not whole:
            return
        self.roster |= members
        if self.membership is None:
            return
        halls = {name: row.hall for name, row in self.roster.items()}
        also = self.fanout.assign(self.config.member, halls)
        self.totals.assign(halls)
        self.pools.assign(self._pooled())
        drain = self.config.drain_ms / 1000
        self.fanout.rest(FOLLOWER_REST_PART * drain)
        reader_wait = READER_WAIT_PART * drain if self.fanout.reading else self.proof_wait
        self.fanout.proof.wait = min(self.proof_wait, reader_wait)
        self.membership.sync({name: row.address for name, row in self.roster.items()}, frozenset(also))

    def _push(self, member: MemberId, message: wire.Message) -> None:
        if self.membership is not None:
            self.membership.push(member, message)

    def _loads(self) -> list[ServerLoad]:
        servers = self.peers.fleet.servers.values()
        return [
            ServerLoad(s.facts.id, s.in_flight, int(s.cached))
            for s in servers
            if s.facts.held and (s.in_flight or s.cached >= 1)
        ]

    def _sums(self) -> tuple[list[ServerLoad], list[ServerLoad]]:
        if not self.totals.reading():
            return [], []
        own = self._loads()
        return self.totals.hall_sum(own), self.totals.everywhere(own)

    def _tell_dead(self, server: Server) -> None:
        if self.membership is not None:
            self.membership.dead.append(server.facts.id)
            self.membership.beat()

    def _tell_back(self, server: Server) -> None:
        if self.membership is not None:
            self.membership.back.append(server.facts.id)
            self.membership.beat()

    def _heard(self, member: MemberId, beat: Heartbeat) -> None:
        """Look at stages that another gateway found silent or back, before own streams stand still."""
        self.totals.hear(member, beat)
        servers = self.peers.fleet.servers
        told = [servers[backend] for backend in beat.dead if backend in servers]
        fresh = [server for server in told if not server.suspect]
        if fresh:
            eventlet.spawn_n(self.peers.diagnosis.examine, fresh)
        back = [servers[backend] for backend in beat.back if backend in servers]
        suspects = [server for server in back if server.suspect]
        if suspects:
            eventlet.spawn_n(self.peers.diagnosis.look_again, suspects)
