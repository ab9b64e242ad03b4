"""Beliefs: a snapshot of what one gateway assumes about the system, for debugging by operators.

Served as JSON on the metrics address, and shown by ``bayglade beliefs``.
"""

from collections.abc import Iterable, Sequence

import msgspec

from bayglade.clock import now
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
from bayglade.pathfinding import Path
from bayglade.quarantine import Quarantine
from bayglade.servers import Server


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
    """A request that the daemon holds in quarantine."""

    content: Fingerprint
    ends: list[BackendId]
    """Servers that crashed while running it."""

    seconds: float
    """Seconds since the quarantine began."""

    in_store: bool


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
            ends=sorted(start.backend for start in evidence.crashed_on),
            seconds=round(now() - (evidence.stopped_at or 0.0), 1),
            in_store=evidence.in_store,
        )
        for name, evidence in quarantine.stopped()
    ]


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
