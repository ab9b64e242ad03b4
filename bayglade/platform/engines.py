"""Orders to replicas and their reports."""

from typing import Literal

import msgspec

from bayglade.clock import now
from bayglade.control import OrderOutcome, RerouteOutcome, StageReport
from bayglade.exceptions import BackendError, InvalidSettings
from bayglade.http1 import encode_head
from bayglade.ids import BackendId, RequestId
from bayglade.logs import event
from bayglade.models import Route
from bayglade.platform.calls import read_answer, write_route
from bayglade.platform.documents import (
    NO_LAYERS,
    Layers,
    UnixMilliseconds,
    decode_strictly,
    incarnation_of,
)
from bayglade.upstream import IDLE_SECONDS, Links, open_exchange

REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
ORDER_SECONDS = 1.0
REROUTE_SECONDS = 0.4
"""A moved request is worth little once its caller has waited for another half second."""


class StalledEntry(msgspec.Struct):
    """A request that stands still; the address is that of the stage it waits for."""

    id: str
    addr: str = ""


class Report(msgspec.Struct):
    """A replica's report."""

    seq: int = 0  # orders begun since its start
    busy: bool = False  # an order is in progress, not: requests are
    layers: Layers | None = None
    running: int = 0
    queued: int = 0
    kv_used: float = msgspec.field(name="kvUsed", default=0.0)  # tokens times layers
    kv_total: float = msgspec.field(name="kvTotal", default=0.0)
    pace: float = 1.0  # over 1: slow
    stalled: list[StalledEntry] = []
    born: UnixMilliseconds | msgspec.UnsetType = msgspec.UNSET


class PlaceOrder(msgspec.Struct):
    """Hold these layers; the second bound is excluded and is not a version."""

    first: int = msgspec.field(name="from")
    last: int = msgspec.field(name="targetVersion")
    expected: int = msgspec.field(name="expectedRev")  # orders begun, as reported
    op: Literal["place"] = "place"
    how: Literal["wait", "cut"] = "wait"


class RepathOrder(msgspec.Struct):
    """Go on over another path."""

    id: str
    path: str
    op: Literal["repath"] = "repath"


class Refusal(msgspec.Struct):
    """Why an order was not taken."""

    addr: str | None = None


class Reply(msgspec.Struct, frozen=True):
    """A replica's answer to one call; status 0 when there was no whole one."""

    status: int = 0
    body: bytes = b""
    leaving: bool = False
    rate_limit: float | None = None


def decode_report(
    body: bytes, leaving: bool = False, rate_limit: float | None = None
) -> StageReport | None:
    """Read a replica's report.

    :param body: the answer's body.
    :param leaving: whether the answer's head says that the replica leaves.
    :param rate_limit: the limit that the answer's head names.
    :return: the report; nothing when it makes no sense.
    """
    try:
        report = decode_strictly(body, Report, "a report", "report")
    except InvalidSettings:
        return None
    layers = report.layers or NO_LAYERS
    return StageReport(
        orders_taken=report.seq,
        loading=report.busy,
        first=layers.first,
        last=layers.last,
        running=report.running,
        queued=report.queued,
        cache_used=report.kv_used,
        cache_total=report.kv_total,
        pace=report.pace,
        stalled={RequestId(entry.id): entry.addr for entry in report.stalled},
        incarnation=incarnation_of(report.born),
        leaving=leaving,
        rate_limit=rate_limit,
    )


class Engines:
    """The replicas as reached over the daemon's connections."""

    def __init__(self, links: Links) -> None:
        self.links = links

    def __repr__(self) -> str:
        return f"<Engines {self.links!r}>"

    def report(
        self, backend: BackendId, address: str, timeout: float, anew: bool = False
    ) -> StageReport | None:
        """Ask a replica for its report; see :class:`bayglade.control.Control`."""
        reply = self._ask(backend, address, "GET", REPORT_PATH, b"", timeout, anew)
        if reply.status != 200:
            return None
        report = decode_report(reply.body, reply.leaving, reply.rate_limit)
        if report is None:
            event("WARNING", "report makes no sense", peer=backend, body=reply.body[:200])
        return report

    def place(self, backend: BackendId, address: str, first: int, last: int, after: int) -> OrderOutcome:
        """Order a range of layers; see :class:`bayglade.control.Control`."""
        body = msgspec.json.encode(PlaceOrder(first, last, after))
        status = self._ask(backend, address, "POST", ORDER_PATH, body, ORDER_SECONDS).status
        if status == 202:
            return OrderOutcome.TAKEN
        if status == 200:
            return OrderOutcome.DONE
        return OrderOutcome.REFUSED if status in (400, 409, 412, 421) else OrderOutcome.UNKNOWN

    def reroute(self, backend: BackendId, address: str, request: RequestId, route: Route) -> RerouteOutcome:
        """Move a running request; see :class:`bayglade.control.Control`."""
        body = msgspec.json.encode(RepathOrder(request, write_route(route)))
        reply = self._ask(backend, address, "POST", ORDER_PATH, body, REROUTE_SECONDS)
        if reply.status in (200, 202):
            return RerouteOutcome(True)
        if reply.status == 409 and reply.body:
            try:
                return RerouteOutcome(False, True, msgspec.json.decode(reply.body, type=Refusal).addr)
            except msgspec.DecodeError as error:
                event("WARNING", "refusal makes no sense", peer=backend, error=str(error))
        # Without a body: some part has no room.
        return RerouteOutcome(False, reply.status == 409)

    def _ask(
        self,
        backend: BackendId,
        address: str,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        anew: bool = False,
    ) -> Reply:
        """Make one call."""
        until = now() + timeout
        headers = [("Host", address)]
        if method == "POST":
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        pieces = []
        try:
            max_idle = 0.0 if anew else IDLE_SECONDS
            exchange = open_exchange(self.links, backend, address, max_idle, timeout)
        except BackendError as error:
            event("INFO", "server not reached", peer=backend, path=path, error=repr(error))
            return Reply()
        try:
            exchange.send(encode_head(f"{method} {path} HTTP/1.1", headers) + body, until)
            answer = exchange.head(until, lambda message: True)
            while (piece := exchange.piece(until)) is not None:
                pieces.append(piece)
        except BackendError as error:
            event("INFO", "server did not answer", peer=backend, path=path, error=repr(error))
            return Reply()
        finally:
            exchange.close()
        head = read_answer(answer)
        return Reply(answer.status, b"".join(pieces), head.leaving, head.rate_limit)
