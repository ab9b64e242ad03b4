"""Backend servers: what the platform's list says about one, and the state that a daemon keeps of it."""

import math

import msgspec

from bayglade.clock import DecayingSum, now
from bayglade.ids import (
    UNKNOWN_INCARNATION,
    BackendId,
    HallName,
    Incarnation,
    ServerKey,
    ServiceName,
)
from bayglade.pipelines import Pipeline

ENDED_AFTER_SECONDS = 1.0
"""Seconds of silence, despite repeated probes, after which a stage is considered ended. On a link that is
busy with a large document, answers are delayed by some tenths of a second."""
COUNTED_SILENT_SECONDS = 1.8
"""The same, after which it no longer counts towards the number of servers that a call may be sent to. A
sound server may be silent for a second or so."""
REFUSAL_TIME_CONSTANT = 5.0
"""Time constant, in seconds, with which refusals are forgotten. It is longer than the rest that servers ask
for, 3 s, or each rest would end with a lost call, and short enough that a server is used again some
seconds later."""
LATENCY_TIME_CONSTANT = 3.0
"""Time constant, in seconds, of the mean latency of answers: some heartbeats, and short against the faults
that make a server slow."""
SLOW_PACE = 1.5
"""A server that reports being more than this many times slower than usual is asked for new reports."""
TOKEN_DELAY_SECONDS = 0.01
"""Seconds until a token for a rate-limited server is granted: the round trip to another daemon."""
EXCLUDED_LAYOUT_SECONDS = 3.0
"""For how long layouts still count on a server whose entry is invalid. The server rewrites its entry within
a heartbeat, 1.2 s on the users' platform, and loading its layers elsewhere would take longer."""


class ServerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What the platform's list says about a backend server.

    ``first`` and ``last`` are the layers ``[first, last)`` that it holds; an
    empty server, or one of a plain service, holds none.
    """

    id: BackendId
    service: ServiceName
    address: str
    hall: HallName
    slots: int
    leaving: bool = False
    accelerator: str | None = None
    first: int = 0
    last: int = 0
    weights_version: int = 0
    """Version of the weights that it holds."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    write_count: int = 0
    """How many times this incarnation has written its entry."""

    @property
    def key(self) -> ServerKey:
        """Return the id and the incarnation of the server."""
        return ServerKey(self.id, self.incarnation)

    @property
    def layer_count(self) -> int:
        """Return the number of layers that it holds."""
        return self.last - self.first

    def fits(self, pipeline: Pipeline) -> bool:
        """Tell whether its accelerator and its layers are valid for a model."""
        return self.accelerator in pipeline.accelerators and self.last <= pipeline.layers


class RateLimit(msgspec.Struct, frozen=True):
    """What is known about the rate limit of one incarnation of a server."""

    rate: float | None
    """Requests per second from all daemons together; ``None`` if it no longer names a limit."""

    seen_at: float
    """When the answer that named it arrived, here or at another daemon, in monotonic seconds."""


class Throttle:
    """This daemon's permission to send requests to a rate-limited server; times are monotonic seconds.

    Each request needs a token, which the daemon that keeps the server's limit grants.
    """

    __slots__ = ("contenders", "requesting", "retry_at", "token", "token_expires_at")

    def __init__(self) -> None:
        self.requesting = False
        """Whether a token is being requested."""

        self.token = False
        """Whether a token was granted and not used yet."""

        self.token_expires_at = 0.0
        self.retry_at = 0.0
        """When the next token may be available."""

        self.contenders = 1
        """How many daemons share the limit, including this one."""

    def __repr__(self) -> str:
        return f"<Throttle token={self.token} retry_at={self.retry_at:.2f}>"

    def has_token(self, at: float) -> bool:
        """Tell whether a request may be sent now."""
        return self.token and at < self.token_expires_at

    def available_at(self, at: float) -> float:
        """Return the earliest time at which the next request may be sent."""
        return at if self.has_token(at) else max(self.retry_at, at + TOKEN_DELAY_SECONDS)

    def grant(self, until: float) -> None:
        """Store a token that is valid until a time."""
        self.token, self.token_expires_at = True, until

    def take(self, at: float) -> bool:
        """Use the token; tell whether there was a valid one."""
        had, self.token = self.has_token(at), False
        return had

    def return_token(self) -> None:
        """Return a token that was taken for a request which was not sent."""
        self.token = True


class Server:
    """The state of one incarnation of a backend server; times are monotonic seconds.

    "Own requests" are those that this daemon sent.
    """

    __slots__ = (
        "answer_seconds",
        "answers",
        "cached",
        "connection_refused",
        "excluded",
        "excluded_at",
        "facts",
        "failures",
        "full_until",
        "in_flight",
        "leaving",
        "left",
        "pace",
        "rate_limit",
        "refusals",
        "rest_until",
        "suspect",
        "suspect_since",
        "suspect_until",
        "throttle",
        "unanswered",
        "unconfirmed_until",
    )

    def __init__(self, facts: ServerFacts) -> None:
        self.facts = facts
        self.in_flight = 0
        """Own requests for which it is the first stage; for a plain service, all own requests."""

        self.cached = 0.0
        """Estimated KV cache that own requests use, in tokens times layers."""

        self.excluded: str | None = None
        """Why its entry is invalid; ``None`` while the entry is valid."""

        self.excluded_at = 0.0
        self.unconfirmed_until = 0.0
        """Until when its entry may be a stale one from an older copy of the store."""

        self.unanswered = 0
        """Own requests for which it is the first stage and has not begun to answer."""

        self.failures = 0
        self.suspect = False
        """Set for a stage that failed, until it answers again."""

        self.connection_refused = False
        """Set when its address refused a connection, until it answers again."""

        self.suspect_since = 0.0
        self.suspect_until = 0.0
        """Until when a server of a plain service is suspect, as it has no report to ask for."""

        self.refusals = DecayingSum(REFUSAL_TIME_CONSTANT)
        """Recent requests that it refused. A plain server counts as that much busier, because a call that
        may be tried on only one server is lost when that one refuses it, and a refusing server has the
        fewest requests in flight.
        """

        self.answers = DecayingSum(LATENCY_TIME_CONSTANT)
        """Recent answers to calls of a plain service."""

        self.answer_seconds = DecayingSum(LATENCY_TIME_CONSTANT)
        """The seconds that these answers took."""

        self.full_until = 0.0
        """Until when it is considered full after it refused a request."""

        self.rest_until = 0.0
        """End of the rest that it asked for, a time in which this daemon sends it no requests."""

        self.rate_limit: RateLimit | None = None
        """What is known about its rate limit; ``None`` if it has never named one."""

        self.throttle: Throttle | None = None
        """Set while it names a rate limit."""

        self.leaving = facts.leaving
        self.left = False
        """Whether it has ended as announced, or another server has its address."""

        self.pace = 1.0
        """How many times slower than usual it reported to be."""

    def __repr__(self) -> str:
        return f"<Server {self.facts.id} {self.facts.first}-{self.facts.last} in_flight={self.in_flight}>"

    def note_answer(self, seconds: float, at: float) -> None:
        """Record how long it took to answer a call of a plain service."""
        self.answers.add(1.0, at)
        self.answer_seconds.add(seconds, at)

    def healthy(self, at: float) -> bool:
        """Tell whether no fault of it is known; a rest or a rate limit may still keep requests from it."""
        if self.leaving or self.suspect or self.excluded is not None:
            return False
        return at >= max(self.suspect_until, self.unconfirmed_until)

    def resting(self, at: float) -> bool:
        """Tell whether it asked for a rest that has not ended."""
        return at < self.rest_until

    def available_at(self, at: float) -> float:
        """Return when its rest and its rate limit allow the next request of this daemon."""
        if self.throttle is None:
            return max(at, self.rest_until)
        return max(self.rest_until, self.throttle.available_at(at))

    def usable(self, at: float) -> bool:
        """Tell whether new requests may be sent to it now."""
        if at < self.rest_until or not self.healthy(at):
            return False
        return self.throttle is None or self.throttle.has_token(at)

    def counts_for_layout(self, at: float) -> bool:
        """Tell whether layouts count on it and its layers."""
        if self.leaving or self.suspect or at < self.unconfirmed_until:
            return False
        return self.excluded is None or at - self.excluded_at < EXCLUDED_LAYOUT_SECONDS

    def layout_change_at(self, at: float) -> float:
        """Return when layouts next begin or cease to count on it by themselves; infinity if never."""
        times = [self.unconfirmed_until]
        if self.excluded is not None:
            times.append(self.excluded_at + EXCLUDED_LAYOUT_SECONDS)
        return min((when for when in times if when > at), default=math.inf)

    def has_ended(self, at: float) -> bool:
        """Tell whether it has certainly ended or is leaving, rather than being unreachable for a moment."""
        if self.leaving or self.connection_refused:
            return True
        return self.suspect and at - self.suspect_since >= ENDED_AFTER_SECONDS

    def counts_as_used(self, at: float) -> bool:
        """Tell whether it counts towards the number of servers that a call may be sent to.

        One that is leaving goes on with its requests for a while, even if it is no longer listed.
        """
        return self.not_counted(at) is None

    def not_counted(self, at: float) -> str | None:
        """Return in one word why it does not count towards the number of servers of a call, or None."""
        if self.left:
            return "left"
        if self.connection_refused:
            return "refused"
        silent = self.suspect and at - self.suspect_since >= COUNTED_SILENT_SECONDS
        return "silent" if silent else None

    def state(self) -> str:
        """Return its state as one word."""
        if self.leaving:
            return "leaving"
        if self.excluded is not None:
            return "excluded"
        at = now()
        if at < self.unconfirmed_until:
            return "unconfirmed"
        if not self.healthy(at):
            return "suspect"
        if self.resting(at):
            return "resting"
        return "limited" if self.throttle is not None else "ready"
