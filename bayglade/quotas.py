"""Quotas: each request to a server that names a rate limit is lent by the one daemon that keeps it.

All daemons choose the same keeper, by hash, from those that live. What others ask it for goes out of one
token bucket, so that whichever daemons have callers get all of the limit, and all together no more.

See ``docs/design/rate_limits.md``.
"""

import hashlib
import random
from collections.abc import Callable, Iterable

import eventlet
import msgspec

from bayglade.buckets import Bucket
from bayglade.clock import now
from bayglade.entries.wire import LimitNotice, QuotaReply, QuotaRequest, QuotaReturn
from bayglade.fanout import Push
from bayglade.ids import MemberId, ServerKey, ServiceName
from bayglade.questions import Questions
from bayglade.rate_limits import RateLimits, lent_rate
from bayglade.servers import Server

LOAN_SECONDS = 1.0
"""How long a request that was lent may wait to be sent; an unused one is returned then."""
ASK_SECONDS = 0.05
"""How long to wait for the keeper: several times the way to another daemon and back."""
UNREACHED_SECONDS = 0.25
"""When to ask again where no keeper answered: another one is chosen once it has been silent for a while."""
MAX_ASK_AGAIN_SECONDS = 1.0
"""The longest time after which a daemon asks again for a limit that has a request to lend sooner."""
CONTENDER_SECONDS = 2.0
"""For how long a daemon that asked counts among those that divide a limit."""
MAX_HOPS = 1
"""How often a question may be passed on: daemons of a large site have no stream to every keeper."""
RANK_BYTES = 8

Keeper = Callable[[Server], MemberId | None]
"""Returns the daemon that keeps the limit of a server; nothing while the daemons are not known."""
Route = Callable[[MemberId], MemberId | None]
"""Returns the daemon over which another one is reached; nothing when it is not reached."""


class Pool:
    """What is left of the limit of a server, at its keeper; times are monotonic seconds."""

    __slots__ = ("askers", "bucket")

    def __init__(self, rate: float, at: float) -> None:
        # Whoever kept the limit before may just have lent what a full bucket holds.
        self.bucket = Bucket(rate, at, 0.0)
        self.askers: dict[MemberId, float] = {}
        """When each daemon asked last."""

    def __repr__(self) -> str:
        return f"<Pool {self.bucket!r} {len(self.askers)} askers>"

    def contenders(self, member: MemberId, at: float) -> int:
        """Note that a daemon asks; return how many did lately."""
        self.askers[member] = at
        self.askers = {name: asked for name, asked in self.askers.items() if at - asked < CONTENDER_SECONDS}
        return len(self.askers)


class Quotas:
    """The requests that this daemon lends, as a keeper, and those it borrows.

    :param limits: the limits of servers.
    :param me: this daemon.
    :param keeper: returns the keeper of a server's limit.
    :param route: returns over whom a keeper is reached.
    :param push: sends a message to another daemon.
    :param wake: told of each service that has a request to send now.
    :param rng: source of chance.
    """

    def __init__(
        self,
        limits: RateLimits,
        me: MemberId,
        keeper: Keeper,
        route: Route,
        push: Push,
        wake: Callable[[ServiceName], None],
        rng: random.Random,
    ) -> None:
        self.limits = limits
        self.me = me
        self.keeper = keeper
        self.route = route
        self.push = push
        self.wake = wake
        self.rng = rng
        self.pools: dict[ServerKey, Pool] = {}
        self.questions: Questions[QuotaReply] = Questions()
        limits.on_wanted = self.want

    def __repr__(self) -> str:
        return f"<Quotas of {len(self.pools)} servers>"

    def want(self, server: Server) -> None:
        """Ask for a request to a server, unless one is there or was asked for."""
        throttle, at = server.throttle, now()
        if throttle is None or throttle.requesting or throttle.has_token(at) or at < throttle.retry_at:
            return
        throttle.requesting = True
        eventlet.spawn_n(self._borrow, server)

    def lend(self, server: Server, member: MemberId) -> QuotaReply:
        """Lend a request out of the limit of a server, if this daemon keeps it and there is one.

        :param server: the server.
        :param member: the daemon that wants to send it.
        """
        if server.throttle is None:
            # It names no limit any more, as is known here.
            return QuotaReply(granted=True)
        at, rate = now(), lent_rate(server)
        pool = self.pools.setdefault(server.facts.key, Pool(rate, at))
        contenders = pool.contenders(member, at)
        pool.bucket.refill(rate, at)
        wait = pool.bucket.wait_for(1.0, rate)
        if wait <= 0:
            pool.bucket.level -= 1.0
            return QuotaReply(granted=True, contenders=contenders)
        # Asked by all at the moment of the next request, a keeper would be busy with refusing.
        spread = self.rng.uniform(0.0, (contenders - 1) / rate)
        return QuotaReply(wait=min(wait + spread, max(wait, MAX_ASK_AGAIN_SECONDS)), contenders=contenders)

    def heard_request(self, member: MemberId, message: QuotaRequest) -> None:
        """Answer a daemon that wants to send a request, or ask the keeper for it."""
        self.limits.heard([message.limit])
        server = self.limits.find(message.limit.key)
        if server is None:
            self.push(member, QuotaReply(message.number, wait=UNREACHED_SECONDS))
            return
        if self.keeper(server) == self.me:
            reply = self.lend(server, message.limit.finder)
            self.push(member, msgspec.structs.replace(reply, number=message.number))
        elif message.hops < MAX_HOPS:
            eventlet.spawn_n(self._pass_on, member, message, server)
        else:
            self.push(member, QuotaReply(message.number, wait=UNREACHED_SECONDS))

    def heard_reply(self, member: MemberId, message: QuotaReply) -> None:
        """Take in what a keeper lends; a late answer is lost."""
        self.questions.answered(message.number, message)

    def heard_return(self, member: MemberId, message: QuotaReturn) -> None:
        """Take back a request that was lent and not sent."""
        server = self.limits.find(message.key)
        if server is not None:
            self._return(server, message.hops)

    def tidy(self) -> None:
        """Drop the pools of servers that name no limit any more."""
        keys = {server.facts.key for server in self.limits.limited()}
        self.pools = {key: pool for key, pool in self.pools.items() if key in keys}

    def _borrow(self, server: Server) -> None:
        throttle = server.throttle
        if throttle is None:
            return
        try:
            reply = self._ask(server, self.limits.notice(server), 0)
        finally:
            throttle.requesting = False
        at = now()
        throttle.contenders = max(1, reply.contenders)
        if not reply.granted:
            throttle.retry_at = at + reply.wait
            return
        until = at + LOAN_SECONDS
        throttle.grant(until)
        eventlet.spawn_after(LOAN_SECONDS, self._expire, server, until)
        self.wake(server.facts.service)

    def _ask(self, server: Server, notice: LimitNotice, hops: int) -> QuotaReply:
        """Ask the keeper of a server's limit for a request."""
        keeper = self.keeper(server)
        if keeper == self.me:
            return self.lend(server, notice.finder)
        over = self.route(keeper) if keeper is not None else None
        if over is None:
            return QuotaReply(wait=UNREACHED_SECONDS)
        reply = self.questions.ask(
            lambda number: self.push(over, QuotaRequest(number, notice, hops)), ASK_SECONDS
        )
        return reply or QuotaReply(wait=UNREACHED_SECONDS)

    def _pass_on(self, member: MemberId, message: QuotaRequest, server: Server) -> None:
        reply = self._ask(server, message.limit, message.hops + 1)
        self.push(member, msgspec.structs.replace(reply, number=message.number))

    def _expire(self, server: Server, until: float) -> None:
        throttle = server.throttle
        if throttle is not None and throttle.token and throttle.token_expires_at == until:
            throttle.token = False
            self._return(server, 0)

    def _return(self, server: Server, hops: int) -> None:
        if server.throttle is None:
            return
        keeper = self.keeper(server)
        if keeper == self.me:
            if (pool := self.pools.get(server.facts.key)) is not None:
                pool.bucket.put_back(1.0, lent_rate(server))
            return
        over = self.route(keeper) if keeper is not None else None
        if over is not None and hops <= MAX_HOPS:
            key = server.facts.key
            self.push(over, QuotaReturn(key.backend, key.incarnation, hops + 1))


def choose_keeper(key: ServerKey, members: Iterable[MemberId]) -> MemberId | None:
    """Choose the daemon that keeps the limit of a server: the same at all daemons that know the same ones.

    :param key: the start of the server.
    :param members: the daemons that may keep it.
    """
    return min(members, key=lambda member: _rank(key, member), default=None)


def _rank(key: ServerKey, member: MemberId) -> bytes:
    # By server, so that different daemons keep the limits of many servers.
    name = f"{key.backend}|{key.incarnation}|{member}"
    return hashlib.blake2b(name.encode(), digest_size=RANK_BYTES).digest()
