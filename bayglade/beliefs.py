"""Beliefs: what a gateway takes for true at a moment, for people on call.

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
    """A backend server as the daemon sees it."""

    backend: BackendId
    service: ServiceName
    hall: HallName
    first: int
    last: int
    state: str
    in_flight: int
    pace: float
    cached: float
    """What own requests have in its KV cache, in tokens times layers."""

    rest_seconds: float | None
    """For how long it still wants nothing of this daemon, by its own word."""

    rate_limit: float | None
    """Requests a second that it takes from all daemons together, by its own word."""

    rate_contenders: int | None
    """Daemons that divide it among them, as its keeper said last."""


class PathBelief(msgspec.Struct, frozen=True):
    """The path that a usual request would take in a hall."""

    hall: HallName
    cost_ms: float
    use: float
    """Part of the KV cache of its fullest stage that is taken."""

    route: str


class TableBelief(msgspec.Struct, frozen=True):
    """How far one of the platform's tables is known."""

    table: str
    epoch: StoreEpoch | None
    """Nothing when the store does not name its epochs, or the table is not known."""

    version: int | None
    age: float
    """Seconds since it was surely the newest."""

    dropped: int
    """Updates that were not taken in since the daemon started."""


class StopBelief(msgspec.Struct, frozen=True):
    """A request that the daemon holds back."""

    content: Fingerprint
    ends: list[BackendId]
    """Servers that ended under it."""

    seconds: float
    """For how long it is held back already."""

    in_store: bool


class Beliefs(msgspec.Struct, frozen=True, kw_only=True):
    """All that one daemon takes for true; ages are in seconds."""

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
    """Whether it follows the store, asks for its hall, or asks the readers of its hall."""

    asks: list[MemberId]
    """The gateways from which it has its tables."""

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
    """Describe how far tables are known.

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
    """Describe the requests that are held back.

    :param quarantine: what the daemon knows of them.
    """
    return [
        StopBelief(
            content=name,
            ends=sorted(start.backend for start in evidence.ends),
            seconds=round(now() - (evidence.stopped_at or 0.0), 1),
            in_store=evidence.in_store,
        )
        for name, evidence in quarantine.stopped()
    ]


def path_beliefs(paths: Sequence[Path]) -> list[PathBelief]:
    """Describe paths.

    :param paths: the path of each hall.
    """
    return [
        PathBelief(
            hall=path.hall,
            cost_ms=round(path.cost, 2),
            use=round(path.use, 2),
            route=path.text(),
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
