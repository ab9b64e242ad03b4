"""Peering: what gateways tell each other, and what a gateway does with it.

Addresses come from the roster; the streams are those of :mod:`bayglade.entries`.
Serving waits for none of this: a gateway that hears nobody goes by its own counts.
"""

import random

import eventlet

from bayglade.config import GatewayConfig, parse_address
from bayglade.entries.membership import Membership
from bayglade.entries.wire import Heartbeat, PathLoad
from bayglade.feeds import Feed
from bayglade.fleet import Server
from bayglade.ids import MemberId
from bayglade.intake import Intake
from bayglade.listener import listen
from bayglade.logs import event
from bayglade.relay import Peers
from bayglade.retries import BUDGET_FLOOR, RetryBudget
from bayglade.roster import MemberRow, join, read_members
from bayglade.rows import Changes, Table
from bayglade.usage import Usage

ROSTER_WAIT = 20.0
ROSTER_PAUSE = 1.0
"""Seconds between calls of the roster's feed: nobody waits for it."""
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
            for budget in self.peers.budgets.values():
                budget.floor = self._floor()

    def live(self) -> list[MemberId]:
        """List the other gateways heard lately."""
        return [member.id for member in self.membership.live()] if self.membership is not None else []

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
        if not members:
            # Nobody is known yet; there may be many.
            return min(BUDGET_FLOOR, BUDGET_PART * self.config.retry_floor)
        return BUDGET_PART * self.config.retry_floor / members

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
        self.peers.paths.elsewhere = membership.elsewhere
        self.peers.diagnosis.on_dead = self._tell_dead
        return membership

    def _take_roster(self, changes: Changes, whole: bool) -> None:
        members = read_members(changes.rows)
        if not members and not whole:
            # Most changes of the table are renewals of the lease.
            return
        self.roster |= members
        if self.membership is not None:
            self.membership.sync({name: row.address for name, row in self.roster.items()})

    def _loads(self) -> list[PathLoad]:
        servers = self.peers.fleet.servers.values()
        return [PathLoad(s.facts.id, s.in_flight) for s in servers if s.facts.held and s.in_flight]

    def _tell_dead(self, server: Server) -> None:
        if self.membership is not None:
            self.membership.dead.append(server.facts.id)
            self.membership.beat()

    def _heard(self, beat: Heartbeat) -> None:
        """Look at stages that another gateway found silent, before own streams stand still."""
        servers = self.peers.fleet.servers
        told = [servers[backend] for backend in beat.dead if backend in servers]
        fresh = [server for server in told if not server.suspect]
        if fresh:
            eventlet.spawn_n(self.peers.diagnosis.examine, fresh)
