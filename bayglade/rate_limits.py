"""Rate limits: the requests per second that backend servers accept from all daemons together.

A server names its limit in its responses. The daemon that receives one reports it to the other daemons,
so that all of them respect it; :mod:`bayglade.quotas` decides which of them may send the next request.

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
"""Fraction of a limit that is used: requests arrive a little late, and a granted one may wait before it
is sent."""
ANNOUNCE_SECONDS = 5.0
"""Interval at which a limit that persists is announced again, for daemons that missed it or its end."""
MIN_RATE = 0.02
"""Rate in requests per second for a server that accepts none: only a response can tell that it accepts
requests again."""


class RateLimits:
    """The limits of servers as known to one daemon; times are in monotonic seconds.

    :param servers: all servers, by id.
    """

    def __init__(self, servers: Mapping[BackendId, Server]) -> None:
        self.servers = servers
        self.me = MemberId("")
        self.on_update: Callable[[list[LimitNotice]], None] = lambda notices: None
        """Called with notices that other daemons need."""

        self.last_number = 0
        """Number of the last notice of this daemon."""

        self.last_numbers_seen: dict[ServerKey, dict[MemberId, int]] = {}
        """Number of the last notice seen from each daemon; older notices aren't forwarded."""

        self.announced_at: dict[ServerKey, float] = {}
        """When any daemon last announced the limit of each server."""

        self.on_needed: Callable[[Server], None] = lambda server: None
        """Called for each rate-limited server to which a request could be sent."""

    def __repr__(self) -> str:
        return f"<RateLimits of {len(self.limited())} servers>"

    def note_answer(self, server: Server, rate: float | None, sent_at: float, source: str) -> None:
        """Record the limit that a response of a server names.

        :param server: the server incarnation that responded.
        :param rate: requests per second from all daemons; None if the response names no limit.
        :param sent_at: when the request was sent. A response ends a limit only if its request was sent
            after a response last named the limit, as responses on different connections may overtake
            each other.
        :param source: which response it was, for the log.
        """
        known = server.rate_limit
        if rate is None and (known is None or known.rate is None or sent_at <= known.seen_at):
            return
        at = now()
        if known is not None and known.rate == rate:
            server.rate_limit = msgspec.structs.replace(known, seen_at=at)
            if at - self.announced_at.get(server.facts.key, -math.inf) < ANNOUNCE_SECONDS:
                return
        else:
            self._set_limit(server, RateLimit(rate, at), source)
        self._announce(server)

    def merge_notices(self, notices: Iterable[LimitNotice]) -> list[LimitNotice]:
        """Merge notices of another daemon.

        :param notices: limits, or their ends.
        :return: those that are new here and have to be forwarded.
        """
        return [notice for notice in notices if self._merge_notice(notice)]

    def limited(self) -> list[Server]:
        """List the servers with a known limit, including limits that have ended."""
        return [server for server in self.servers.values() if server.rate_limit is not None]

    def snapshot(self) -> list[LimitNotice]:
        """Return all known limits, and their ends, for a daemon that has just joined."""
        return [self.notice(server) for server in self.limited()]

    def find(self, key: ServerKey) -> Server | None:
        """Return the server with this key, or None if another incarnation of it is known."""
        server = self.servers.get(key.backend)
        return server if server is not None and server.facts.key == key else None

    def request_tokens(self, servers: Iterable[Server]) -> None:
        """Request tokens for those of these servers that are rate-limited, as requests could go there.

        Tokens are requested even if other servers have room: only responses tell when a limit ends.
        """
        for server in servers:
            if server.throttle is not None:
                self.on_needed(server)

    def expected_wait(self, servers: Iterable[Server], ahead: int) -> float | None:
        """Estimate how long a new request waits if all its servers are rate-limited or resting.

        :param servers: those to which it may go.
        :param ahead: requests that go before it.
        :return: seconds; None if a server takes requests without a limit, or there is no server.
        """
        at, opens, rate = now(), math.inf, 0.0
        for server in servers:
            if server.throttle is not None:
                rate += usable_rate(server) / server.throttle.contenders
            elif not server.resting(at):
                return None
            opens = min(opens, server.available_at(at))
        if opens == math.inf:
            return None
        return max(opens - at, ahead / rate if rate else 0.0)

    def tidy(self) -> None:
        """Drop state about servers that are gone."""
        keys = {server.facts.key for server in self.limited()}
        self.last_numbers_seen = {
            key: known for key, known in self.last_numbers_seen.items() if key in keys
        }
        self.announced_at = {key: at for key, at in self.announced_at.items() if key in keys}

    def notice(self, server: Server) -> LimitNotice:
        """Return a notice of a server's limit as this daemon knows it."""
        limit, facts = server.rate_limit, server.facts
        assert limit is not None
        # Numbers follow the clock, so that they keep growing when a daemon restarts.
        self.last_number = max(self.last_number + 1, int(now() * 1000))
        return LimitNotice(
            facts.id, self.me, facts.incarnation, self.last_number, limit.rate, now() - limit.seen_at
        )

    def _merge_notice(self, notice: LimitNotice) -> bool:
        server = self.find(notice.key)
        if server is None or notice.finder == self.me:
            return False
        numbers = self.last_numbers_seen.setdefault(notice.key, {})
        if notice.number <= numbers.get(notice.finder, -1):
            return False
        numbers[notice.finder] = notice.number
        known, seen_at = server.rate_limit, now() - notice.age
        if known is not None and known.seen_at >= seen_at:
            # Conflicting notices would circulate forever if each were forwarded.
            return False
        self.announced_at[notice.key] = now()
        if known is not None and known.rate == notice.rate:
            server.rate_limit = RateLimit(notice.rate, seen_at)
            return True
        self._set_limit(server, RateLimit(notice.rate, seen_at), f"reported by {notice.finder}")
        return True

    def _set_limit(self, server: Server, limit: RateLimit, source: str) -> None:
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

    def _announce(self, server: Server) -> None:
        self.announced_at[server.facts.key] = now()
        self.on_update([self.notice(server)])


def usable_rate(server: Server) -> float:
    """Return the requests per second that all daemons together send to a rate-limited server."""
    limit = server.rate_limit
    assert limit is not None and limit.rate is not None
    return USED_FRACTION * max(limit.rate, MIN_RATE)
