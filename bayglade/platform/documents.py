"""Decodes the operator's configuration document and the rows of servers into Bayglade's own types."""

from hashlib import sha256
from typing import Annotated, Literal

import msgspec

from bayglade.config import parse_host_address
from bayglade.decoding import Count, Integer, Name, Number, UnixMilliseconds, decode_json, reading
from bayglade.endpoints import Endpoint, Target
from bayglade.exceptions import InvalidSettings
from bayglade.ids import (
    UNKNOWN_INCARNATION,
    AccountName,
    BackendId,
    GroupPath,
    HallName,
    Incarnation,
    ModelName,
    ServiceName,
)
from bayglade.pipelines import Accelerator, Pipeline
from bayglade.servers import ServerFacts
from bayglade.settings import Account, CallerLimits, Level, Service, Tree

OPERATOR_TABLE = "op"
DOCUMENT_KEY = "config"
SERVERS_TABLE = "servers"

MAX_KEY_BYTES = 200
"""Limit on the length of a row's key, as stated by the users."""
MAX_SLOTS = 2**31 - 1
Slots = Annotated[int, msgspec.Meta(gt=0, le=MAX_SLOTS)]


class SplitEntry(msgspec.Struct):
    """A service that gets a share of a route's requests, in proportion to its weight."""

    service: str
    weight: float


class RouteEntry(msgspec.Struct, rename="camel"):
    """A route. Its ``kind`` tells whether requests can be repeated and whether answers are streamed."""

    name: str
    host: str
    path_prefix: str
    kind: Literal["safe", "unsafe", "stream"]
    timeout_ms: float
    slo_ms: float
    priority: int = 0  # 0 is the most urgent
    service: str | None = None
    split: list[SplitEntry] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = msgspec.field(name="gap_aim_ms", default=0.0)


class KindEntry(msgspec.Struct):
    """A kind of accelerator."""

    name: str
    mb: float
    pace: float  # factor on the duration of a token step, not a speed
    read_x: float  # factor on the duration of prompt processing


class ModelEntry(msgspec.Struct):
    """A model that the servers of a service can load."""

    name: str
    load_s: float = 0.0


class DelayEntry(msgspec.Struct):
    """One-way delay between two zones. ``targetVersion`` holds the second zone, not a version."""

    one: str = msgspec.field(name="from")
    other: str = msgspec.field(name="targetVersion")
    delay_ms: float = 0.0


class EngineEntry(msgspec.Struct):
    """Performance and capacity of the servers of a model."""

    models: Annotated[list[ModelEntry], msgspec.Meta(min_length=1)]
    kv_capacity: int = msgspec.field(name="kvCapacity", default=0)
    kv_token_bytes: float = msgspec.field(name="kvTokenBytes", default=0.0)
    step_ms: float = 0.0
    per_seq_ms: float = 0.0  # added to each step by every request that generates tokens
    context_per_k: float = 0.0  # added as well, per 1,000 tokens of its context; in ms
    act_bytes: float = 0.0  # sent per token from one stage to the next
    pipe_mbps: float = 0.0  # bandwidth between two zones, shared by all requests
    delays: list[DelayEntry] = []
    read_per_s: float = 0.0
    loads_at_once: int = 1
    usual: dict[str, float] = {}
    layers: int = 0
    layer_mb: float = 0.0
    kinds: list[KindEntry] = []


class ServiceEntry(msgspec.Struct, rename="camel"):
    """A service that routes can name as their target."""

    name: str
    health_path: str | None = None
    max_conns: int | None = None
    engine: EngineEntry | None = None


class LimitsEntry(msgspec.Struct, rename="camel"):
    """Size limits and timeouts of callers' connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class TenantEntry(msgspec.Struct, rename="camel"):
    """A client account with its API keys; its priority overrides that of a route."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class Document(msgspec.Struct):
    """The whole configuration document."""

    version: int
    routes: list[RouteEntry]
    services: list[ServiceEntry]
    limits: LimitsEntry | None = None
    tenants: list[TenantEntry] | None = None  # if absent, no request needs a key; unlike an empty list


class Layers(msgspec.Struct):
    """The layers that a server holds. ``targetVersion`` is the excluded upper bound, not a version."""

    first: Count = msgspec.field(name="from")
    last: Count = msgspec.field(name="targetVersion")
    version: Integer = 0

    def __post_init__(self) -> None:
        if self.last < self.first:
            raise ValueError("the upper bound of the layers is below the lower bound")


NO_LAYERS = Layers(0, 0)


class ServerRow(msgspec.Struct, rename="camel"):
    """The row that a server writes about itself.

    Unused fields are validated too: if one is missing or has the wrong type, something other than a
    server wrote the row.
    """

    service: Name
    addr: str
    zone: Name
    version: str  # of its software
    slots: Slots
    state: Literal["ready", "draining"]
    cold_left_ms: Number
    seq: Count  # number of writes of the row; in a report it counts orders
    born: UnixMilliseconds | msgspec.UnsetType = msgspec.UNSET
    kind: str | None = None
    layers: Layers | None = None


def decode_document(value: msgspec.Raw) -> tuple[int, Tree]:
    """Decode the operator's document.

    :param value: the row's value.
    :return: its version and the settings tree that it describes.
    :raises InvalidSettings: if it is malformed.
    """
    document = decode_json(value, Document, "the operator's document", "settings")
    with reading("the operator's document", "settings"):
        tree = Tree(
            services={ServiceName(s.name): _service(s) for s in document.services},
            endpoints=[_endpoint(route) for route in document.routes],
            keys_required=document.tenants is not None,
        )
        if document.limits is not None:
            tree.caller_limits = _limits(document.limits)
        for tenant in document.tenants or ():
            _add_account(tree, tenant)
    return document.version, tree


def decode_server(key: str, value: msgspec.Raw) -> ServerFacts:
    """Decode a server's row.

    :param key: the row's key, which is the server's id.
    :param value: the row's value.
    :raises InvalidSettings: if it is not a row that a server would write.
    """
    _check_id(key)
    row = decode_json(value, ServerRow, f"row of server {key}", "fleet")
    parse_host_address(row.addr)
    layers = row.layers or NO_LAYERS
    return ServerFacts(
        id=BackendId(key),
        service=ServiceName(row.service),
        address=row.addr,
        hall=HallName(row.zone),
        slots=row.slots,
        leaving=row.state != "ready",
        accelerator=row.kind,
        first=layers.first,
        last=layers.last,
        weights_version=layers.version,
        incarnation=incarnation_of(row.born),
        write_count=row.seq,
    )


def _check_id(key: str) -> None:
    """Check that a key can be the id of a server, which is sent in headers.

    :raises InvalidSettings: if it can't.
    """
    if not 0 < len(key) <= MAX_KEY_BYTES or not (key.isascii() and key.isprintable()) or " " in key:
        raise InvalidSettings(f"{key[:MAX_KEY_BYTES]!r} is not the id of a server", step="fleet")


def incarnation_of(born: int | msgspec.UnsetType) -> Incarnation:
    """Return the incarnation of a server: its start time, or unknown if the server does not send it."""
    return UNKNOWN_INCARNATION if isinstance(born, msgspec.UnsetType) else Incarnation(born)


def _endpoint(route: RouteEntry) -> Endpoint:
    targets = [Target(ServiceName(part.service), part.weight) for part in route.split]
    if route.service is not None:
        targets = [Target(ServiceName(route.service))]
    return Endpoint(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        targets=tuple(targets),
        timeout=route.timeout_ms / 1000,
        aim=route.slo_ms / 1000,
        gap_aim=route.gap_aim_ms / 1000,
        priority=-route.priority,
        max_attempts=route.max_attempts,
        repeatable=route.kind == "safe",
        streamed=route.kind == "stream",
        resumable=route.resumable,
        public=route.public,
    )


def _service(entry: ServiceEntry) -> Service:
    engine = entry.engine
    return Service(
        servers={},
        max_connections=entry.max_conns,
        health_path=entry.health_path,
        pipeline=_pipeline(engine) if engine is not None and engine.layers else None,
    )


def _pipeline(engine: EngineEntry) -> Pipeline:
    model = engine.models[0]
    prompt, answer = engine.usual.get("prompt", 0.0), engine.usual.get("answer", 0.0)
    context = prompt + answer / 2
    return Pipeline(
        model=ModelName(model.name),
        layers=engine.layers,
        layer_mb=engine.layer_mb,
        token_mb=engine.kv_token_bytes / 1e6,
        token_capacity=engine.kv_capacity,
        step_ms=engine.step_ms,
        read_ms=1000 / engine.read_per_s if engine.read_per_s else 0.0,
        load_seconds=model.load_s,
        loads_at_once=engine.loads_at_once,
        accelerators={
            kind.name: Accelerator(memory_mb=kind.mb, step_factor=kind.pace, read_factor=kind.read_x)
            for kind in engine.kinds
        },
        typical_prompt=int(prompt),
        typical_answer=int(answer),
        request_ms=engine.per_seq_ms + engine.context_per_k * context / 1000,
        hop_mb=engine.act_bytes / 1e6,
        pipe_mbps=engine.pipe_mbps,
        delays={
            frozenset((HallName(entry.one), HallName(entry.other))): entry.delay_ms
            for entry in engine.delays
        },
    )


def _limits(entry: LimitsEntry) -> CallerLimits:
    return CallerLimits(
        head_bytes=entry.max_header_bytes,
        body_bytes=entry.max_body_bytes,
        head_seconds=entry.header_timeout_ms / 1000,
        idle_seconds=entry.idle_timeout_ms / 1000,
    )


def _add_account(tree: Tree, tenant: TenantEntry) -> None:
    group = GroupPath(tenant.name)
    priority = None if tenant.priority is None else -tenant.priority
    tree.root.groups[tenant.name] = Level(priority=priority)
    for number, key in enumerate(filter(None, tenant.api_keys)):
        account = Account(group, sha256(key.encode()).hexdigest())
        tree.accounts[AccountName(f"{tenant.name}.{number}")] = account
