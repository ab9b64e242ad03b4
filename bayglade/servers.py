"""Backend servers: what the platform's list says of one, and what a daemon knows of it."""

import msgspec

from bayglade.clock import Decayed, now
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
"""A stage that was silent for so long, though asked again, is taken to have ended. A link that is
busy with a large document holds answers up for some tenths of a second."""
REFUSAL_TIME_CONSTANT = 5.0
"""Time constant in which a refusal is forgotten: longer than the rests that servers ask for, 3 s, or each
rest would end with a call that is lost; short enough that a server is used again some seconds later."""
SLOW_PACE = 1.5
"""A server that says it is so many times slower than usual is asked again whether it still is."""
TOKEN_DELAY_SECONDS = 0.01
"""Until a request to a server with a limit is lent: the way to another daemon and back."""
EXCLUDED_LAYOUT_SECONDS = 3.0
"""For how long a server keeps its layers in layouts while its entry is not its own: it writes its entry
anew within a heartbeat, 1.2 s on the users' platform, and a reload would take longer."""


class ServerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What the platform's list says of a backend server.

    ``first`` and ``last`` are the layers ``[first, last)`` that it holds; a
    server of a plain service, or one that is empty, holds none.
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
    """Version of the weights it holds."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    write_count: int = 0
    """How often this start had written its entry."""

    @property
    def key(self) -> ServerKey:
        """Return which start of which server these tell of."""
        return ServerKey(self.id, self.incarnation)

    @property
    def layer_count(self) -> int:
        """Return how many layers it holds."""
        return self.last - self.first

    def fits(self, pipeline: Pipeline) -> bool:
        """Tell whether its kind and its layers are those of a model."""
        return self.accelerator in pipeline.accelerators and self.last <= pipeline.layers


class RateLimit(msgspec.Struct, frozen=True):
    """What is known of the rate limit of one start of a server."""

    rate: float | None
    """Requests a second from all daemons together; nothing when it names no limit any more."""

    seen_at: float
    """When the answer came that said so, here or at another daemon, in monotonic seconds."""


class Throttle:
    """What this daemon may send to a server that names a limit; times are monotonic seconds."""

    __slots__ = ("contenders", "requesting", "retry_at", "token", "token_expires_at")

    def __init__(self) -> None:
        self.requesting = False
        """Whether a request is being asked for."""

        self.token = False
        """Whether one was lent that is not sent yet."""

        self.token_expires_at = 0.0
        self.retry_at = 0.0
        """When there may be one to lend again."""

        self.contenders = 1
        """Daemons that divide the limit among them, this one included."""

    def __repr__(self) -> str:
        return f"<Throttle token={self.token} retry_at={self.retry_at:.2f}>"

    def has_token(self, at: float) -> bool:
        """Tell whether a request may go out."""
        return self.token and at < self.token_expires_at

    def available_at(self, at: float) -> float:
        """Return when the next request may go out at the earliest."""
        return at if self.has_token(at) else max(self.retry_at, at + TOKEN_DELAY_SECONDS)

    def grant(self, until: float) -> None:
        """Take in a request that may be sent until a time."""
        self.token, self.token_expires_at = True, until

    def take(self, at: float) -> bool:
        """Use the request that was lent; tell whether there was one."""
        had, self.token = self.has_token(at), False
        return had

    def return_token(self) -> None:
        """Note that a request that was taken did not go out."""
        self.token = True


class Server:
    """One backend server as this daemon knows it; times are monotonic seconds."""

    __slots__ = (
        "cached",
        "connection_refused",
        "excluded",
        "excluded_at",
        "facts",
        "failures",
        "full_until",
        "in_flight",
        "leaving",
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
        """Own requests whose first stage it is; for a plain service, all own requests."""

        self.cached = 0.0
        """What own requests have in its KV cache, in tokens times layers, as far as can be told."""

        self.excluded: str | None = None
        """Why its entry names no server to use; nothing while the entry is its own."""

        self.excluded_at = 0.0
        self.unconfirmed_until = 0.0
        """Until when its entry may be one that the platform only has from an older copy of its list."""

        self.unanswered = 0
        """Own requests whose first stage it is, and which it has not begun to answer."""

        self.failures = 0
        self.suspect = False
        """Set for a stage until it answers again."""

        self.connection_refused = False
        """Set when nobody listened at its address, until it answers again."""

        self.suspect_since = 0.0
        self.suspect_until = 0.0
        """Set for a server of a plain service, which has no report to ask for."""

        self.refusals = Decayed(REFUSAL_TIME_CONSTANT)
        """Requests that it turned away lately; a plain server counts as that much busier.

        Calls that may go to one server only are lost when that one refuses, and one that refuses has the
        least under way.
        """

        self.full_until = 0.0
        """Until when it is taken to have no room, after it turned a request away."""

        self.rest_until = 0.0
        """Until when it wants no requests of this daemon, by its own word."""

        self.rate_limit: RateLimit | None = None
        """What is known of its rate limit; nothing when it never named one."""

        self.throttle: Throttle | None = None
        """Set while it names a limit."""

        self.leaving = facts.leaving
        self.pace = 1.0
        """How many times slower than usual it said it is."""

    def __repr__(self) -> str:
        return f"<Server {self.facts.id} {self.facts.first}-{self.facts.last} in_flight={self.in_flight}>"

    def healthy(self, at: float) -> bool:
        """Tell whether nothing is wrong with it; it may take no request now all the same."""
        if self.leaving or self.suspect or self.excluded is not None:
            return False
        return at >= max(self.suspect_until, self.unconfirmed_until)

    def resting(self, at: float) -> bool:
        """Tell whether it asked for a rest that is not over."""
        return at < self.rest_until

    def available_at(self, at: float) -> float:
        """Return when it takes the next request of this daemon, as far as its rest and its limit go."""
        if self.throttle is None:
            return max(at, self.rest_until)
        return max(self.rest_until, self.throttle.available_at(at))

    def usable(self, at: float) -> bool:
        """Tell whether new work may go there."""
        if at < self.rest_until or not self.healthy(at):
            return False
        return self.throttle is None or self.throttle.has_token(at)

    def counts_for_layout(self, at: float) -> bool:
        """Tell whether a layout counts on it and its layers."""
        if self.leaving or self.suspect or at < self.unconfirmed_until:
            return False
        return self.excluded is None or at - self.excluded_at < EXCLUDED_LAYOUT_SECONDS

    def has_ended(self, at: float) -> bool:
        """Tell whether it is surely gone, and not just out of reach for a moment."""
        if self.leaving or self.connection_refused:
            return True
        return self.suspect and at - self.suspect_since >= ENDED_AFTER_SECONDS

    def state(self) -> str:
        """Return in a word how it stands."""
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
