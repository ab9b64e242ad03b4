"""Rate limits: what backend servers take from all daemons together, and this daemon's share of it.

A server names its limit in its answers. Whoever passes one on tells the other daemons, so that all
keep it. Few daemons share a limit evenly and the others send that server nothing: were it divided
among all, each of many daemons could send the one request that it has saved up in the same second.
All daemons work out the same shares from the same list of daemons, without a message.

See ``docs/design/rate_limits.md``.
"""

import hashlib
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from bayglade.clock import now
from bayglade.entries.wire import NamedLimit
from bayglade.ids import BackendId, HallName, MemberId, ServerKey
from bayglade.logs import event
from bayglade.servers import RateLimit, Server, Throttle

BOUND_SECONDS = 4.0
BOUND_FACTOR = 1.5
BOUND_EXTRA = 5.0
"""What a server bears: in so many seconds so many times its limit, and so many requests more."""
USED_PART = 0.9
"""Part of a limit that is shared out: sendings are late by a little, and clocks differ."""
HOLDERS_PART = 0.75
"""Part of the most daemons that may share a limit: while daemons come and go, their lists differ."""
REPEAT_SECONDS = 5.0
"""A limit that holds on is told again after this time: who missed it, or its end, learns of it so."""
UNHEARD_SECONDS = 30.0
"""When nobody has told of a limit for so long, the daemons that shared it are taken to be lost."""
UNHEARD_SENDINGS = 3.0
"""The same for tiny limits, in sendings of one daemon."""
LEAST_RATE = 0.02
"""Requests a second to a server that takes none: its answer is the only sign that it takes some again."""
RANK_BYTES = 8

Daemons = Mapping[MemberId, HallName]


class RateLimits:
    """The limits of servers, as one daemon knows them; times are monotonic seconds.

    :param servers: all servers, by id.
    """

    def __init__(self, servers: Mapping[BackendId, Server]) -> None:
        self.servers = servers
        self.me = MemberId("")
        self.daemons: Callable[[], Daemons] = lambda: {self.me: HallName("")}
        """Returns all daemons with their halls, this one among them; none while they are not known."""

        self.on_news: Callable[[list[NamedLimit]], None] = lambda words: None
        """Told of what other daemons have to know."""

        self.numbers = 0
        """The number of the last word of this daemon."""

        self.heard_numbers: dict[ServerKey, dict[MemberId, int]] = {}
        """The number of each daemon's last word of a server: one that was heard before goes no further."""

        self.told_at: dict[ServerKey, float] = {}
        """When each server's limit was told of last, by whomever."""

        self.orders: dict[ServerKey, list[MemberId]] = {}
        """Who shares the limit of each server, while the daemons are the same."""

        self.ordered_of: Daemons = {}

    def __repr__(self) -> str:
        return f"<RateLimits of {len(self.limited())} servers>"

    def answered(self, server: Server, rate: float | None, sent_at: float, source: str) -> None:
        """Take in what an answer of a server says of its limit.

        :param server: the start of the server that answered.
        :param rate: requests a second from all daemons; nothing when the answer names no limit.
        :param sent_at: when the request went out. An answer ends a limit only if its request was sent
            after that was last named: answers on different connections may overtake each other.
        :param source: which answer, for the log.
        """
        known = server.rate_limit
        if rate is None and (known is None or known.rate is None or sent_at <= known.seen_at):
            return
        at = now()
        if known is not None and known.rate == rate:
            server.rate_limit = msgspec.structs.replace(known, seen_at=at)
            if at - self.told_at.get(server.facts.key, -math.inf) < REPEAT_SECONDS:
                return
        else:
            self._set(server, RateLimit(rate, at), source)
        self._tell(server)

    def heard(self, words: Iterable[NamedLimit]) -> list[NamedLimit]:
        """Take in what another daemon tells.

        :param words: limits, or their ends.
        :return: those that are new here and worth passing on.
        """
        return [word for word in words if self._hear(word)]

    def limited(self) -> list[Server]:
        """List the servers of whose limit something is known, its end included."""
        return [server for server in self.servers.values() if server.rate_limit is not None]

    def known(self) -> list[NamedLimit]:
        """Return all limits that hold, and their ends, for a daemon that has just joined."""
        return [self._word(server) for server in self.limited()]

    def refresh(self) -> None:
        """Work out this daemon's shares anew; called often, as daemons come and go and words get old."""
        at, servers = now(), self.limited()
        for server in servers:
            self._share(server, at)
        keys = {server.facts.key for server in servers}
        for known in (self.heard_numbers, self.told_at, self.orders):
            for key in known.keys() - keys:
                del known[key]

    def _hear(self, word: NamedLimit) -> bool:
        server = self.servers.get(word.backend)
        if server is None or server.facts.key != word.key or word.finder == self.me:
            return False
        numbers = self.heard_numbers.setdefault(word.key, {})
        if word.number <= numbers.get(word.finder, -1):
            return False
        numbers[word.finder] = word.number
        known, seen_at = server.rate_limit, now() - word.age
        if known is not None and known.seen_at >= seen_at:
            # Contrary words would go round for ever if each were passed on.
            return False
        self.told_at[word.key] = now()
        if known is not None and known.rate == word.rate:
            server.rate_limit = RateLimit(word.rate, seen_at)
            return True
        self._set(server, RateLimit(word.rate, seen_at), f"told by {word.finder}")
        return True

    def _set(self, server: Server, limit: RateLimit, source: str) -> None:
        before = server.rate_limit.rate if server.rate_limit is not None else None
        server.rate_limit = limit
        if limit.rate is None:
            server.throttle = None
        self._share(server, now())
        share = round(server.throttle.rate, 3) if server.throttle is not None else None
        event(
            "INFO",
            "server limit",
            peer=server.facts.id,
            rate=limit.rate,
            before=before,
            share=share,
            source=source,
        )

    def _share(self, server: Server, at: float) -> None:
        """Set what this daemon may send to a server."""
        limit = server.rate_limit
        if limit is None or limit.rate is None:
            return
        daemons = self.daemons()
        if daemons != self.ordered_of:
            self.orders, self.ordered_of = {}, dict(daemons)
        key = server.facts.key
        if key not in self.orders:
            self.orders[key] = sharing_order(server, self.ordered_of)
        rate = share_of(limit.rate, self.me, self.orders[key], at - limit.seen_at)
        if server.throttle is None:
            server.throttle = Throttle()
        server.throttle.set_rate(rate, at)

    def _tell(self, server: Server) -> None:
        self.told_at[server.facts.key] = now()
        self.on_news([self._word(server)])

    def _word(self, server: Server) -> NamedLimit:
        limit, facts = server.rate_limit, server.facts
        assert limit is not None
        # By the clock, so that a daemon which starts again goes on above its earlier numbers.
        self.numbers = max(self.numbers + 1, int(now() * 1000))
        return NamedLimit(
            facts.id, self.me, facts.incarnation, self.numbers, limit.rate, now() - limit.seen_at
        )


def most_holders(rate: float) -> int:
    """Return among how many daemons a limit is shared at most.

    Each of them may have saved one request up, and all of these may go out in the same second, beside
    what the limit allows.

    :param rate: the limit, in requests a second.
    """
    spare = BOUND_SECONDS * (BOUND_FACTOR - USED_PART) * rate + BOUND_EXTRA
    return max(1, int(HOLDERS_PART * spare))


def share_of(rate: float, member: MemberId, order: Sequence[MemberId], age: float) -> float:
    """Return the requests a second that a daemon may send to a server.

    :param rate: the limit of the server.
    :param member: the daemon.
    :param order: all daemons that may share the limit, in the order in which they do.
    :param age: seconds since the limit was known to hold. When it is old, those that share it may be
        lost, and the next ones take their place: else nobody would learn of its end.
    """
    if member not in order:
        return 0.0
    rate = max(rate, LEAST_RATE)
    holders = min(most_holders(rate), len(order))
    share = USED_PART * rate / holders
    turn = int(age / max(UNHEARD_SECONDS, UNHEARD_SENDINGS / share))
    first = turn * holders % len(order)
    return share if first <= order.index(member) < first + holders else 0.0


def sharing_order(server: Server, daemons: Daemons) -> list[MemberId]:
    """Order the daemons that may share the limit of a server: those of its hall, which use it most.

    Calls to plain services cross halls, so the others come after these; a first stage in another hall is
    the last resort.

    :param server: the server.
    :param daemons: all daemons with their halls.
    """
    facts = server.facts
    order = sorted(daemons, key=lambda member: (daemons[member] != facts.hall, _rank(facts.key, member)))
    near = sum(1 for hall in daemons.values() if hall == facts.hall)
    return order[:near] if facts.held and near else order


def _rank(key: ServerKey, member: MemberId) -> bytes:
    # By server, so that the limits of many servers are shared by different daemons.
    name = f"{key.backend}|{key.incarnation}|{member}"
    return hashlib.blake2b(name.encode(), digest_size=RANK_BYTES).digest()
