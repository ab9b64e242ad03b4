"""Control of backend servers that hold layers: the interface for their reports and for orders to them."""

from enum import Enum
from typing import Protocol

import msgspec

from bayglade.ids import UNKNOWN_INCARNATION, BackendId, Incarnation, RequestId
from bayglade.models import Route


class StageReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a server reports about itself; it may be slightly outdated."""

    orders_taken: int
    """Number of orders that it has started to carry out. An order can require this number."""

    loading: bool
    first: int = 0
    last: int = 0
    running: int = 0
    queued: int = 0
    cache_used: float = 0.0
    """Tokens times layers in its KV cache that can't be evicted."""

    cache_total: float = 0.0
    """Capacity of its KV cache, in tokens times layers."""

    pace: float = 1.0
    """How many times slower than usual it is."""

    stalled: dict[RequestId, str] = {}
    """Stalled requests, each with the address of the stage that it is waiting for."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    """The incarnation of the server that answered."""

    leaving: bool = False
    """Whether it announces that it is leaving."""

    rate_limit: float | None = None
    """Requests per second that it accepts from all daemons together, if it names a limit."""


class OrderOutcome(Enum):
    """Outcome of an order."""

    TAKEN = "taken"
    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """There was no answer; the order may still be carried out."""


class RerouteOutcome(msgspec.Struct, frozen=True):
    """Outcome of moving a running request to other stages."""

    moved: bool
    known: bool = True
    """False if the server no longer runs the request, or did not answer."""

    at_fault: str | None = None
    """Address of the stage that refused."""


class Control(Protocol):
    """Sends orders about layers to backend servers and asks for their reports."""

    def report(
        self, backend: BackendId, address: str, timeout: float, anew: bool = False
    ) -> StageReport | None:
        """Ask a server for its report; ``None`` if it does not answer in time.

        :param anew: whether to open a new connection even if an idle one exists.
        """

    def place(self, backend: BackendId, address: str, first: int, last: int, after: int) -> OrderOutcome:
        """Order a server to hold exactly the layers ``[first, last)``.

        :param after: the number of orders that it has taken, from its report. The server refuses the order
            if it has taken another one since.
        """

    def reroute(self, backend: BackendId, address: str, request: RequestId, route: Route) -> RerouteOutcome:
        """Ask the first stage of a running request to continue it on other stages."""
