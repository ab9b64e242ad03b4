"""Rate limits: the requests a second that backend servers take from all daemons together.

A server names its limit in its answers. Whoever passes one on tells the other daemons, so that all
keep it; see :mod:`bayglade.quotas` for who may send the next request.

See ``docs/design/rate_limits.md``.
"""

import math
from collections.abc import Callable, Iterable, Mapping

import msgspec

from bayglade.clock import now
from bayglade.entries.wire import LimitNotice
from bayglade.ids import BackendId, MemberId, ServerKey
from bayglade.logs import event
from bayglade.servers import RateLimit, Server, Throttle

USED_FRACTION = 0.9
"""Fraction of a limit that is used: sendings are late by a little, and a lent one may wait."""
REPEAT_SECONDS = 5.0
"""A limit that holds on is told again after this time: who missed it, or its end, learns of it so."""
LEAST_RATE = 0.02
"""Requests a second to a server that takes none: its answer is the only sign that it takes some again."""


class RateLimits:
    """The limits of servers, as one daemon knows them; times are monotonic seconds.

    :param servers: all servers, by id.
    """

    def __init__(self, servers: Mapping[BackendId, Server]) -> None:
        self.servers = servers
        self.me = MemberId("")
        self.on_news: Callable[[list[LimitNotice]], None] = lambda notices: None
        """Told of what other daemons have to know."""

        self.numbers = 0
        """The number of the last notice of this daemon."""

        self.heard_numbers: dict[ServerKey, dict[MemberId, int]] = {}
        """The number of each daemon's last notice: one that was heard before goes no further."""

        self.told_at: dict[ServerKey, float] = {}
        """When each server's limit was told of last, by whomever."""

        self.on_wanted: Callable[[Server], None] = lambda server: None
        """Told of each server with a limit to which a request could go."""

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

    def heard(self, notices: Iterable[LimitNotice]) -> list[LimitNotice]:
        """Take in what another daemon tells.

        :param notices: limits, or their ends.
        :return: those that are new here and worth passing on.
        """
        return [notice for notice in notices if self._hear(notice)]

    def limited(self) -> list[Server]:
        """List the servers of whose limit something is known, its end included."""
        return [server for server in self.servers.values() if server.rate_limit is not None]

    def known(self) -> list[LimitNotice]:
        """Return all limits that hold, and their ends, for a daemon that has just joined."""
        return [self.notice(server) for server in self.limited()]

    def find(self, key: ServerKey) -> Server | None:
        """Return a server if it is the start that another daemon tells of."""
        server = self.servers.get(key.backend)
        return server if server is not None and server.facts.key == key else None

    def want(self, servers: Iterable[Server]) -> None:
        """Have requests lent to servers that name a limit, as some could go there.

        They are wanted whether or not others have room: the answers tell when a limit ends.
        """
        for server in servers:
            if server.throttle is not None:
                self.on_wanted(server)

    def expected_wait(self, servers: Iterable[Server], ahead: int) -> float | None:
        """Return how long a new request waits for servers all of which name a limit or want a rest.

        :param servers: those that it may go to.
        :param ahead: requests that go before it.
        :return: seconds; nothing where a server takes requests without a limit, or there is none.
        """
        at, opens, rate = now(), math.inf, 0.0
        for server in servers:
            if server.throttle is not None:
                rate += lent_rate(server) / server.throttle.contenders
            elif not server.resting(at):
                return None
            opens = min(opens, server.available_at(at))
        if opens == math.inf:
            return None
        return max(opens - at, ahead / rate if rate else 0.0)

    def tidy(self) -> None:
        """Forget what was heard of servers that are gone."""
        keys = {server.facts.key for server in self.limited()}
        self.heard_numbers = {key: known for key, known in self.heard_numbers.items() if key in keys}
        self.told_at = {key: at for key, at in self.told_at.items() if key in keys}

    def notice(self, server: Server) -> LimitNotice:
        """Return what this daemon knows of the limit of a server, to be told to others."""
        limit, facts = server.rate_limit, server.facts
        assert limit is not None
        # By the clock, so that a daemon which starts again goes on above its earlier numbers.
        self.numbers = max(self.numbers + 1, int(now() * 1000))
        return LimitNotice(
            facts.id, self.me, facts.incarnation, self.numbers, limit.rate, now() - limit.seen_at
        )

    def _hear(self, notice: LimitNotice) -> bool:
        server = self.find(notice.key)
        if server is None or notice.finder == self.me:
            return False
        numbers = self.heard_numbers.setdefault(notice.key, {})
        if notice.number <= numbers.get(notice.finder, -1):
            return False
        numbers[notice.finder] = notice.number
        known, seen_at = server.rate_limit, now() - notice.age
        if known is not None and known.seen_at >= seen_at:
            # Contrary notices would go round for ever if each were passed on.
            return False
        self.told_at[notice.key] = now()
        if known is not None and known.rate == notice.rate:
            server.rate_limit = RateLimit(notice.rate, seen_at)
            return True
        self._set(server, RateLimit(notice.rate, seen_at), f"told by {notice.finder}")
        return True

    def _set(self, server: Server, limit: RateLimit, source: str) -> None:
        before = server.rate_limit.rate if server.rate_limit is not None else None
        server.rate_limit = limit
        if limit.rate is None:
            server.throttle = None
        elif server.throttle is None:
            server.throttle = Throttle()
        event(
            "INFO",
            "server limit",
            peer=server.facts.id,
            rate=limit.rate,
            before=before,
            source=source,
        )

    def _tell(self, server: Server) -> None:
        self.told_at[server.facts.key] = now()
        self.on_news([self.notice(server)])


def lent_rate(server: Server) -> float:
    """Return the requests a second that all daemons together send to a server that names a limit."""
    limit = server.rate_limit
    assert limit is not None and limit.rate is not None
    return USED_FRACTION * max(limit.rate, LEAST_RATE)
