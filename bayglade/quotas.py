"""Quotas: one daemon per server grants the requests that its rate limit allows to all daemons.

All daemons choose the same owner of a server's limit, by hash, among the live daemons. The owner grants
requests out of one token bucket. So the whole limit is available to whichever daemons have clients, and
together they never exceed it.

See ``docs/design/rate_limits.md``.
"""

import math
import random
from collections.abc import Callable, Iterable

import eventlet
import msgspec

from bayglade.buckets import Bucket, capacity
from bayglade.clock import now
from bayglade.entries.wire import LimitNotice, QuotaReply, QuotaRequest, QuotaReturn
from bayglade.fanout import Send
from bayglade.ids import MemberId, ServerKey, ServiceName
from bayglade.pending_replies import PendingReplies
from bayglade.rate_limits import RateLimits, usable_rate
from bayglade.rendezvous import choose_member
from bayglade.servers import Server

GRANT_SECONDS = 1.0
"""How long a granted request may wait to be sent; an unused token is returned after that."""
REPLY_TIMEOUT_SECONDS = 0.05
"""How long to wait for the owner: several times the round trip to another daemon."""
UNREACHABLE_RETRY_SECONDS = 0.25
"""Retry delay if no owner replied: another one is chosen once it has been silent for a while."""
MAX_RETRY_SECONDS = 1.0
"""Maximum retry delay for a daemon if the limit allows a request sooner than that."""
CONTENDER_SECONDS = 2.0
"""How long a daemon counts as a contender for a limit after it asked."""
ASK_AGAIN_GRACE_SECONDS = 0.25
"""How much later than it was told a refused daemon may ask again and still go first: several times the
interval at which waiting calls look for a token."""
MAX_HOPS = 1
"""How often a request for a token may be forwarded: daemons of a large site have no stream to every
owner."""

OwnerOf = Callable[[Server], MemberId | None]
"""Returns the daemon that owns the limit of a server; None while the daemons aren't known."""
NextHop = Callable[[MemberId], MemberId | None]
"""Returns the daemon through which another one is reached; None if it can't be reached."""


class Pool:
    """The tokens left of a server's limit, at its owner; times are in monotonic seconds."""

    __slots__ = ("bucket", "granted_at", "last_asked", "waiting_until")

    def __init__(self, rate: float, at: float) -> None:
        # Starts empty: the previous owner may just have granted what a full bucket holds.
        self.bucket = Bucket(rate, at, 0.0)
        self.last_asked: dict[MemberId, float] = {}
        """When each daemon last asked."""

        self.granted_at: dict[MemberId, float] = {}
        """When each contender last got a token."""

        self.waiting_until: dict[MemberId, float] = {}
        """Until when each contender that was refused is expected to ask again."""

    def __repr__(self) -> str:
        return f"<Pool {self.bucket!r} {len(self.last_asked)} contenders>"

    def count_contenders(self, member: MemberId, at: float) -> int:
        """Record that a daemon asks; return how many have asked recently."""
        self.last_asked[member] = at
        self.last_asked = {
            name: asked for name, asked in self.last_asked.items() if at - asked < CONTENDER_SECONDS
        }
        for times in (self.granted_at, self.waiting_until):
            for name in times.keys() - self.last_asked.keys():
                del times[name]
        return len(self.last_asked)

    def must_yield(self, member: MemberId, rate: float, at: float) -> bool:
        """Return whether another daemon that waits for a token got its last one earlier than this one."""
        # With another token there is one for whoever waits, and a full bucket would lose the next one.
        if member not in self.granted_at or self.bucket.level >= min(2.0, capacity(rate)):
            return False
        last = self.granted_at[member]
        return any(
            until > at and self.granted_at.get(name, -math.inf) < last
            for name, until in self.waiting_until.items()
        )

    def note_granted(self, member: MemberId, at: float) -> None:
        """Record that a daemon got a token."""
        self.granted_at[member] = at
        self.waiting_until.pop(member, None)

    def note_refused(self, member: MemberId, ask_again_at: float) -> None:
        """Record when a daemon was told to ask again."""
        self.waiting_until[member] = ask_again_at + ASK_AGAIN_GRACE_SECONDS


class Quotas:
    """The tokens that this daemon grants as an owner, and those it requests from other owners.

    :param limits: the limits of servers.
    :param me: this daemon.
    :param owner_of: returns the owner of a server's limit.
    :param next_hop: returns the daemon through which an owner is reached.
    :param push: sends a message to another daemon.
    :param wake: called with each service that has a token for a request now.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        limits: RateLimits,
        me: MemberId,
        owner_of: OwnerOf,
        next_hop: NextHop,
        push: Send,
        wake: Callable[[ServiceName], None],
        rng: random.Random,
    ) -> None:
        self.limits = limits
        self.me = me
        self.owner_of = owner_of
        self.next_hop = next_hop
        self.push = push
        self.wake = wake
        self.rng = rng
        self.pools: dict[ServerKey, Pool] = {}
        self.pending: PendingReplies[QuotaReply] = PendingReplies()
        limits.on_needed = self.request_token

    def __repr__(self) -> str:
        return f"<Quotas of {len(self.pools)} servers>"

    def request_token(self, server: Server) -> None:
        """Request a token for a server, unless one is available or requested already."""
        throttle, at = server.throttle, now()
        if throttle is None or throttle.requesting or throttle.has_token(at) or at < throttle.retry_at:
            return
        throttle.requesting = True
        eventlet.spawn_n(self._fetch_token, server)

    def grant(self, server: Server, member: MemberId) -> QuotaReply:
        """Grant a token out of the limit of a server that this daemon owns, if one is available.

        :param server: the server.
        :param member: the daemon that wants to send a request.
        """
        if server.throttle is None:
            # This daemon already knows that the limit has ended.
            return QuotaReply(granted=True)
        at, rate = now(), usable_rate(server)
        pool = self.pools.setdefault(server.facts.key, Pool(rate, at))
        contenders = pool.count_contenders(member, at)
        pool.bucket.refill(rate, at)
        wait = pool.bucket.wait_for(1.0, rate)
        if wait <= 0 and not pool.must_yield(member, rate, at):
            pool.bucket.level -= 1.0
            pool.note_granted(member, at)
            return QuotaReply(granted=True, contenders=contenders)
        # Spreads the retries: if all contenders asked at the moment of the next token, refusing them
        # would keep the owner busy.
        spread = self.rng.uniform(0.0, (contenders - 1) / rate)
        told = min(wait + spread, max(wait, MAX_RETRY_SECONDS))
        pool.note_refused(member, at + told)
        return QuotaReply(wait=told, contenders=contenders)

    def handle_request(self, member: MemberId, message: QuotaRequest) -> None:
        """Reply to a daemon that requests a token, or forward the request to the owner."""
        self.limits.merge_notices([message.limit])
        server = self.limits.find(message.limit.key)
        if server is None:
            self.push(member, QuotaReply(message.number, wait=UNREACHABLE_RETRY_SECONDS))
            return
        if self.owner_of(server) == self.me:
            reply = self.grant(server, message.limit.finder)
            self.push(member, msgspec.structs.replace(reply, number=message.number))
        elif message.hops < MAX_HOPS:
            eventlet.spawn_n(self._forward, member, message, server)
        else:
            self.push(member, QuotaReply(message.number, wait=UNREACHABLE_RETRY_SECONDS))

    def handle_reply(self, member: MemberId, message: QuotaReply) -> None:
        """Deliver an owner's reply; a late one is dropped."""
        self.pending.resolve(message.number, message)

    def handle_return(self, member: MemberId, message: QuotaReturn) -> None:
        """Take back an unused token."""
        server = self.limits.find(message.key)
        if server is not None:
            self._return_token(server, message.hops)

    def tidy(self) -> None:
        """Drop the pools of servers that no longer have a limit."""
        keys = {server.facts.key for server in self.limits.limited()}
        self.pools = {key: pool for key, pool in self.pools.items() if key in keys}

    def _fetch_token(self, server: Server) -> None:
        throttle = server.throttle
        if throttle is None:
            return
        asked_at = now()
        try:
            reply = self._ask_owner(server, self.limits.notice(server), 0)
        finally:
            throttle.requesting = False
        at = now()
        throttle.contenders = max(1, reply.contenders)
        if not reply.granted:
            throttle.retry_at = at + reply.wait
            return
        # Counted from the request: the reply may have waited while this daemon was suspended.
        until = asked_at + GRANT_SECONDS
        throttle.grant(until)
        eventlet.spawn_after(max(0.0, until - at), self._expire, server, until)
        self.wake(server.facts.service)

    def _ask_owner(self, server: Server, notice: LimitNotice, hops: int) -> QuotaReply:
        """Request a token from the owner of a server's limit."""
        owner = self.owner_of(server)
        if owner == self.me:
            return self.grant(server, notice.finder)
        hop = self.next_hop(owner) if owner is not None else None
        if hop is None:
            return QuotaReply(wait=UNREACHABLE_RETRY_SECONDS)
        reply = self.pending.request(
            lambda number: self.push(hop, QuotaRequest(number, notice, hops)), REPLY_TIMEOUT_SECONDS
        )
        return reply or QuotaReply(wait=UNREACHABLE_RETRY_SECONDS)

    def _forward(self, member: MemberId, message: QuotaRequest, server: Server) -> None:
        reply = self._ask_owner(server, message.limit, message.hops + 1)
        self.push(member, msgspec.structs.replace(reply, number=message.number))

    def _expire(self, server: Server, until: float) -> None:
        throttle = server.throttle
        if throttle is not None and throttle.token and throttle.token_expires_at == until:
            throttle.token = False
            self._return_token(server, 0)

    def _return_token(self, server: Server, hops: int) -> None:
        if server.throttle is None:
            return
        owner = self.owner_of(server)
        if owner == self.me:
            if (pool := self.pools.get(server.facts.key)) is not None:
                pool.bucket.put_back(1.0, usable_rate(server))
            return
        hop = self.next_hop(owner) if owner is not None else None
        if hop is not None and hops <= MAX_HOPS:
            key = server.facts.key
            self.push(hop, QuotaReturn(key.backend, key.incarnation, hops + 1))


def choose_owner(key: ServerKey, members: Iterable[MemberId]) -> MemberId | None:
    """Choose the daemon that owns a server's limit.

    The result is the same at all daemons that know the same members.

    :param key: the server incarnation.
    :param members: the daemons that may own it.
    """
    return choose_member(f"{key.backend}|{key.incarnation}", members)
