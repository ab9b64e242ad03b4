"""Client for orders to backend servers and for their reports."""

from typing import Literal

import msgspec

from bayglade.clock import now
from bayglade.control import OrderOutcome, RerouteOutcome, StageReport
from bayglade.decoding import Amount, Count, UnixMilliseconds, decode_json
from bayglade.exceptions import BackendError, InvalidSettings
from bayglade.http1 import encode_head
from bayglade.ids import BackendId, RequestId
from bayglade.logs import event
from bayglade.models import Route
from bayglade.platform.calls import EXPECTED_INSTANCE_HEADER, read_answer, write_route
from bayglade.platform.documents import NO_LAYERS, Layers, incarnation_of
from bayglade.upstream import DEFAULT_IDLE_SECONDS, MAX_CONTROL_BYTES, ConnectionPool, open_exchange

REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
ORDER_TIMEOUT = 1.0
REROUTE_TIMEOUT = 0.4
"""Rerouting a request is of little use once its caller has waited another half second."""


class StalledEntry(msgspec.Struct):
    """A stalled request, with the address of the stage that it is waiting for."""

    id: str
    addr: str = ""


class Report(msgspec.Struct):
    """A server's report about itself."""

    seq: Count = 0  # orders begun since the server started
    busy: bool = False  # an order is in progress; does not refer to requests
    layers: Layers | None = None
    running: Count = 0
    queued: Count = 0
    kv_used: Amount = msgspec.field(name="kvUsed", default=0.0)  # tokens times layers
    kv_total: Amount = msgspec.field(name="kvTotal", default=0.0)
    pace: Amount = 1.0  # times slower than usual
    stalled: list[StalledEntry] = []
    born: UnixMilliseconds | msgspec.UnsetType = msgspec.UNSET


class PlaceOrder(msgspec.Struct):
    """Order to hold a range of layers. ``targetVersion`` is the excluded upper bound, not a version."""

    first: int = msgspec.field(name="from")
    last: int = msgspec.field(name="targetVersion")
    expected: int = msgspec.field(name="expectedRev")  # orders begun, as reported
    op: Literal["place"] = "place"
    how: Literal["wait", "cut"] = "wait"


class RepathOrder(msgspec.Struct):
    """Order to continue a running request on another path of stages."""

    id: str
    path: str
    op: Literal["repath"] = "repath"


class RerouteRefusal(msgspec.Struct):
    """Body of a refused reroute: the address of the stage at fault."""

    addr: str | None = None


class Reply(msgspec.Struct, frozen=True):
    """A server's answer to one request; status 0 if no complete answer arrived."""

    status: int = 0
    body: bytes = b""
    leaving: bool = False
    rate_limit: float | None = None


def decode_report(
    body: bytes, leaving: bool = False, rate_limit: float | None = None
) -> StageReport | None:
    """Decode a server's report.

    :param body: the answer's body.
    :param leaving: whether the answer's headers announce that the server is leaving.
    :param rate_limit: the rate limit in the answer's headers.
    :return: the report, or None if it is malformed.
    """
    try:
        report = decode_json(body, Report, "a report", "report")
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


class ControlClient:
    """Sends orders to backend servers and fetches their reports over pooled connections."""

    def __init__(self, links: ConnectionPool) -> None:
        self.links = links

    def __repr__(self) -> str:
        return f"<ControlClient {self.links!r}>"

    def report(
        self, backend: BackendId, address: str, timeout: float, anew: bool = False
    ) -> StageReport | None:
        """Fetch a server's report; see :class:`bayglade.control.Control`."""
        reply = self._request(backend, address, "GET", REPORT_PATH, b"", timeout, anew)
        if reply.status != 200:
            return None
        report = decode_report(reply.body, reply.leaving, reply.rate_limit)
        if report is None:
            event("WARNING", "malformed report", peer=backend, body=reply.body[:200])
        return report

    def place(self, backend: BackendId, address: str, first: int, last: int, after: int) -> OrderOutcome:
        """Order a server to hold a range of layers; see :class:`bayglade.control.Control`."""
        body = msgspec.json.encode(PlaceOrder(first, last, after))
        status = self._request(backend, address, "POST", ORDER_PATH, body, ORDER_TIMEOUT).status
        if status == 202:
            return OrderOutcome.TAKEN
        if status == 200:
            return OrderOutcome.DONE
        return OrderOutcome.REFUSED if status in (400, 409, 412, 421) else OrderOutcome.UNKNOWN

    def reroute(self, backend: BackendId, address: str, request: RequestId, route: Route) -> RerouteOutcome:
        """Move a running request to another route; see :class:`bayglade.control.Control`."""
        body = msgspec.json.encode(RepathOrder(request, write_route(route)))
        reply = self._request(backend, address, "POST", ORDER_PATH, body, REROUTE_TIMEOUT)
        if reply.status in (200, 202):
            return RerouteOutcome(True)
        if reply.status == 409 and reply.body:
            try:
                refusal = decode_json(reply.body, RerouteRefusal, "a refusal", "reroute")
                return RerouteOutcome(False, True, refusal.addr)
            except InvalidSettings as error:
                event("WARNING", "malformed refusal of a reroute", peer=backend, error=error.message)
        # A refusal without a body means that some stage has no room.
        return RerouteOutcome(False, reply.status == 409)

    def _request(
        self,
        backend: BackendId,
        address: str,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        anew: bool = False,
    ) -> Reply:
        """Send one request and read the whole answer; errors are logged and yield status 0."""
        until = now() + timeout
        headers = [("Host", address)]
        if method == "POST":
            # Another server may have the address by now.
            headers += [(EXPECTED_INSTANCE_HEADER, backend)]
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        try:
            max_idle = 0.0 if anew else DEFAULT_IDLE_SECONDS
            exchange = open_exchange(self.links, backend, address, max_idle, timeout)
        except BackendError as error:
            event("INFO", "server not reached", peer=backend, path=path, error=repr(error))
            return Reply()
        try:
            exchange.send(encode_head(f"{method} {path} HTTP/1.1", headers), body, until)
            answer = exchange.read_head(until, lambda message: True)
            content = exchange.read_body(until, MAX_CONTROL_BYTES)
        except BackendError as error:
            event("INFO", "server did not answer", peer=backend, path=path, error=repr(error))
            return Reply()
        finally:
            exchange.close()
        head = read_answer(answer)
        return Reply(answer.status, content, head.leaving, head.rate_limit)
