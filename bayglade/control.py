"""Control of backend servers that hold layers: what they report and which orders they take."""

from enum import Enum
from typing import Protocol

import msgspec

from bayglade.ids import UNKNOWN_INCARNATION, BackendId, Incarnation, RequestId
from bayglade.models import Route


class StageReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a server says of itself, a moment late."""

    orders_taken: int
    """Orders that it began; an order may be tied to this number."""

    loading: bool
    first: int = 0
    last: int = 0
    running: int = 0
    queued: int = 0
    used: float = 0.0
    """Tokens times layers that lie in its KV cache and cannot give way."""

    total: float = 0.0
    """Tokens times layers that its KV cache can hold."""

    pace: float = 1.0
    """How many times slower than usual it is."""

    stalled: dict[RequestId, str] = {}
    """Requests that stand still, and the address of the stage that each waits for."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    """Which start of the server speaks."""

    leaving: bool = False
    """Whether it says that it is about to end."""

    rate_limit: float | None = None
    """Requests a second that it takes from all daemons together, where it names a limit."""


class OrderOutcome(Enum):
    """What came of an order."""

    TAKEN = "taken"
    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer: it may still be carried out."""


class RerouteOutcome(msgspec.Struct, frozen=True):
    """What came of moving a running request to other stages."""

    moved: bool
    known: bool = True
    """False when the server no longer runs the request, or did not answer."""

    at_fault: str | None = None
    """Address of the stage that refused."""


class Control(Protocol):
    """Whoever speaks to backend servers about their layers."""

    def report(
        self, backend: BackendId, address: str, timeout: float, anew: bool = False
    ) -> StageReport | None:
        """Ask a server for its report; nothing when it does not answer in time.

        :param anew: whether to open a connection though one rests.
        """

    def place(self, backend: BackendId, address: str, first: int, last: int, after: int) -> OrderOutcome:
        """Order a server to hold just the layers ``[first, last)``.

        :param after: the number of orders it has taken, as it reported.
        """

    def reroute(self, backend: BackendId, address: str, request: RequestId, route: Route) -> RerouteOutcome:
        """Have the first stage of a running request go on over other stages."""
