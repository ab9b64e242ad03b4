"""Beliefs: a snapshot of what one gateway assumes about the system, for debugging by operators.

Served as JSON on the metrics address, and shown by ``bayglade beliefs``.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from bayglade.clock import now
from bayglade.evidence import Subject
from bayglade.feeds import ORIGIN, Feed
from bayglade.fleet import Fleet
from bayglade.ids import (
    UNKNOWN_EPOCH,
    BackendId,
    Fingerprint,
    HallName,
    MemberId,
    ServiceName,
    StoreEpoch,
)
from bayglade.metrics import Metrics
from bayglade.pathfinding import Path
from bayglade.quarantine import Quarantine
from bayglade.retry_ledger import RetryLedger
from bayglade.retry_parts import RetryParts
from bayglade.servers import Server
from bayglade.service_reports import ServiceReports, gauge_name


class ServerBelief(msgspec.Struct, frozen=True):
    """A backend server in the view of this daemon."""

    backend: BackendId
    service: ServiceName
    hall: HallName
    first: int
    last: int
    state: str
    in_flight: int
    pace: float
    cached: float
    """Size of the KV cache entries of own requests, in tokens times layers."""

    rest_seconds: float | None
    """Seconds for which it still accepts nothing from this daemon, as it announced; None if it accepts
    requests."""

    rate_limit: float | None
    """Requests a second that it accepts from all daemons together, as it announced."""

    rate_contenders: int | None
    """Number of daemons that share this limit, as its keeper last reported."""


class PathBelief(msgspec.Struct, frozen=True):
    """The path that a typical request would take in a hall."""

    hall: HallName
    cost_ms: float
    use: float
    """Fraction of the KV cache in use on its fullest stage."""

    route: str


class TableBelief(msgspec.Struct, frozen=True):
    """The state of the local copy of one of the platform's tables."""

    table: str
    epoch: StoreEpoch | None
    """None when the store does not name its epochs, or the table is not known."""

    version: int | None
    age: float
    """Seconds since the copy was known to be current."""

    dropped: int
    """Updates rejected since the daemon started."""


class StopBelief(msgspec.Struct, frozen=True):
    """A request, or a part of prompts, that the daemon holds in quarantine."""

    content: Fingerprint
    subject: Subject
    ends: list[BackendId]
    """Servers that crashed while running it."""

    seconds: float
    """Seconds since the quarantine began."""

    in_store: bool


class DemandBelief(msgspec.Struct, frozen=True):
    """Demand for a service at one urgency, over all daemons that this one has heard."""

    service: ServiceName
    urgency: int
    waiting: int
    returning: int
    """Callers that were told to retry and are not due yet."""

    offered: float
    """Tokens per second."""

    admitted: float
    """Tokens per second."""

    refused: float
    """Requests per second refused for lack of capacity."""

    finished: float
    """Requests per second that ended."""

    admission: float | None = None
    """Fraction of new requests that this daemon admits; None if it does not limit them."""

    forecast_seconds: float | None = None
    """Seconds until this daemon expects a free slot; None if it has not computed that."""


class CoverageBelief(msgspec.Struct, frozen=True):
    """When every layer of a service's model is expected to have a holder."""

    service: ServiceName
    seconds: float | None
    """0.0 while covered; None if it is not known."""


class LayoutBelief(msgspec.Struct, frozen=True):
    """The layout steps of this daemon; all zero unless it issues the orders."""

    orders_under_way: int
    steps: int
    """Steps since the daemon started."""

    missing_layers: int
    """Layers without a holder when the daemon last issued orders."""


class RetryBelief(msgspec.Struct, frozen=True):
    """The retries of a daemon to one service within the window, and what it may send."""

    service: str
    used: float
    """Retries of its own part that it sent, holds or lent."""

    part: float
    """Retries that its part allows; zero without a current view of the roster."""

    starting: bool
    """Whether the daemon has started lately, and has a small fraction of its part."""

    divisor: int
    """Number of daemons by which it divides the bound."""

    view_age: float
    """Seconds since its view of the roster was known to be current."""

    counted_seconds: float
    """Seconds for which it has counted as a daemon of the roster."""

    credit: float
    """Retries earned by requests, and not sent yet."""

    lent: float
    borrowed: dict[MemberId, float]
    """Retries that it has borrowed and not sent yet, by lender."""


class Beliefs(msgspec.Struct, frozen=True, kw_only=True):
    """The whole snapshot of one daemon; ages are in seconds."""

    member: MemberId
    ready: bool
    draining: bool
    settings: int
    settings_age: float
    servers_age: float
    caught_up: bool
    """Whether other daemons were asked for newer settings since this one started."""

    tables: list[TableBelief]
    lease: str
    duty: str
    """Its role: it follows the store, polls the readers of the site for its hall, or polls those of its
    hall."""

    asks: list[MemberId]
    """The gateways from which it polls its tables."""

    members: list[MemberId]
    in_flight: int
    waiting: int
    servers: list[ServerBelief]
    paths: list[PathBelief]
    stopped: list[StopBelief]
    demand: list[DemandBelief] = []
    """Empty from a daemon of an earlier version, as the two below."""

    coverage: list[CoverageBelief] = []
    layout: LayoutBelief = LayoutBelief(0, 0, 0)
    isolated: list[ServiceName] = []
    """Services of which it reaches no server; calls to them are forwarded."""

    retry_part: float = 0.0
    """The fraction of the bound on retries that it may use; zero without a current view of the roster."""

    retries: list[RetryBelief] = []
    """Empty from a daemon of an earlier version."""


def server_beliefs(fleet: Fleet) -> list[ServerBelief]:
    """Describe all servers.

    :param fleet: the servers as known.
    """
    return [_server(server) for server in fleet.servers.values()]


def table_beliefs(feeds: Iterable[Feed]) -> list[TableBelief]:
    """Describe the local copies of tables.

    :param feeds: the feeds of the tables.
    """
    return [_table(feed) for feed in feeds]


def _table(feed: Feed) -> TableBelief:
    position = feed.position or ORIGIN
    return TableBelief(
        table=feed.table,
        epoch=None if position.epoch == UNKNOWN_EPOCH else position.epoch,
        version=None if feed.position is None else position.version,
        age=round(feed.age(), 2),
        dropped=feed.dropped,
    )


def stop_beliefs(quarantine: Quarantine) -> list[StopBelief]:
    """Describe the quarantined requests.

    :param quarantine: the daemon's quarantine.
    """
    return [
        StopBelief(
            content=name,
            subject=evidence.subject,
            ends=sorted(start.backend for start in evidence.crashed_on),
            seconds=round(now() - (evidence.stopped_at or 0.0), 1),
            in_store=evidence.in_store,
        )
        for name, evidence in quarantine.suspects.stopped()
    ]


def demand_beliefs(reports: ServiceReports, gauges: Mapping[str, float]) -> list[DemandBelief]:
    """Describe the demand over all daemons, the most urgent first.

    :param reports: the reports of demand.
    :param gauges: the daemon's gauges, which hold the admission and the forecast by service and urgency.
    """
    lines = sorted(reports.all_totals().items(), key=lambda item: (item[0][0], -item[0][1]))
    return [
        DemandBelief(
            service=service,
            urgency=urgency,
            waiting=line.waiting,
            returning=line.returning,
            offered=round(line.offered, 2),
            admitted=round(line.admitted, 2),
            refused=round(line.refused, 2),
            finished=round(line.finished, 2),
            admission=_find_gauge(gauges, "admission", service, urgency),
            forecast_seconds=_find_gauge(gauges, "forecast", service, urgency),
        )
        for (service, urgency), line in lines
    ]


def _find_gauge(gauges: Mapping[str, float], kind: str, service: ServiceName, urgency: int) -> float | None:
    return gauges.get(gauge_name(kind, service, urgency), gauges.get(f"{kind}.{service}.{urgency}"))


def coverage_beliefs(reports: ServiceReports, services: Iterable[ServiceName]) -> list[CoverageBelief]:
    """Describe when models are expected to be covered.

    :param reports: the reports of coverage.
    :param services: the services with a model.
    """
    return [CoverageBelief(name, _rounded(reports.seconds_until_covered(name))) for name in services]


def layout_belief(metrics: Metrics, orders_under_way: int) -> LayoutBelief:
    """Describe the layout steps of a daemon.

    :param metrics: the daemon's metrics.
    :param orders_under_way: orders whose effect is not visible yet.
    """
    missing = int(metrics.gauges.get("layout.missing_layers", 0))
    return LayoutBelief(orders_under_way, metrics.counts["layout.steps"], missing)


def retry_beliefs(ledgers: Mapping[str, RetryLedger], parts: RetryParts) -> list[RetryBelief]:
    """Describe the retries to each service.

    :param ledgers: the daemon's retries, by service.
    :param parts: the daemon's part of the bound.
    """
    at, part = now(), parts.current()
    return [
        RetryBelief(
            service=service,
            used=round(ledger.count_used(at), 2),
            part=round(part.own * ledger.bound.floor, 2),
            starting=part.starting,
            divisor=parts.divisor(),
            view_age=round(min(at, at - parts.known_at), 2),
            counted_seconds=round(parts.age(), 2),
            credit=round(ledger.credit_total, 2),
            lent=round(ledger.count_lent(at), 2),
            borrowed={loan.lender: round(loan.amount, 2) for loan in ledger.loans if loan.amount},
        )
        for service, ledger in ledgers.items()
    ]


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)


def path_beliefs(paths: Sequence[Path]) -> list[PathBelief]:
    """Describe the paths of a typical request.

    :param paths: the path of each hall.
    """
    return [
        PathBelief(
            hall=path.hall,
            cost_ms=round(path.cost, 2),
            use=round(path.cache_use, 2),
            route=path.describe(),
        )
        for path in paths
    ]


def _server(server: Server) -> ServerBelief:
    facts, rest = server.facts, server.rest_until - now()
    return ServerBelief(
        backend=facts.id,
        service=facts.service,
        hall=facts.hall,
        first=facts.first,
        last=facts.last,
        state=server.state(),
        in_flight=server.in_flight,
        pace=server.pace,
        cached=round(server.cached, 1),
        rest_seconds=round(rest, 2) if rest > 0 else None,
        rate_limit=server.rate_limit.rate if server.rate_limit is not None else None,
        rate_contenders=server.throttle.contenders if server.throttle is not None else None,
    )
