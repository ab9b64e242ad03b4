"""The settings tree: its types, validation and inheritance.

A revision of the tree is one document. It is stored and distributed as canonical JSON; operators
write it as YAML (see :mod:`bayglade.operators.documents`).
"""

import hashlib
from collections.abc import Iterator
from typing import cast

import msgspec

from bayglade.decoding import decode_json
from bayglade.endpoints import Endpoint
from bayglade.exceptions import InvalidSettings, NotFound
from bayglade.ids import (
    AccountName,
    BackendId,
    Digest,
    GroupPath,
    HallName,
    ModelName,
    ServiceName,
    Version,
)
from bayglade.pipelines import Pipeline

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 16
EMPTY_SHA256 = hashlib.sha256().hexdigest()
DEFAULT_DEADLINE_SECONDS = 30.0
DEFAULT_PRIORITY = 0
PRIORITY_LEVELS = 16
"""Number of different priorities of endpoints that are told apart; the users' platform has ten."""
DEFAULT_ADMISSION_FLOOR = 0.3
"""Users require that no kind of request is served less than a quarter as often as all."""
MAX_ADMISSION_FLOOR = 1.0
"""With this, all urgencies are treated alike."""
ROOT = GroupPath("")


class Limits(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """Upper bounds for a level and everything below it, across all daemons."""

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    in_flight: int | None = None


class Level(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One level of the tree of groups.

    ``share`` is the weight of a level relative to its siblings. ``priority``, ``versions`` and
    ``deadline_seconds`` are inherited unless a lower level overrides them. ``limits`` apply to the
    level together with everything below it.
    """

    share: float = 1.0
    priority: int | None = None
    deadline_seconds: float | None = None
    limits: Limits = Limits()
    versions: dict[ModelName, Version] = msgspec.field(default_factory=dict)
    groups: dict[str, "Level"] = msgspec.field(default_factory=dict)


class Model(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A model: its number of layers and the version served by default."""

    layers: int
    version: Version


class Backend(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A backend server that holds layers ``[first, last)`` of a model."""

    address: str
    hall: HallName
    accelerator: str
    model: ModelName
    version: Version
    first: int
    last: int
    checks_orders: bool = True


class Service(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A plain service and the servers that provide it."""

    servers: dict[BackendId, str]
    repeatable: bool = True
    timeout_seconds: float = 5.0
    max_connections: int | None = None
    """Maximum number of connections to one server from all daemons together."""

    health_path: str | None = None
    pipeline: Pipeline | None = None
    """Set if the service is a model whose layers are distributed over its servers."""


class Account(msgspec.Struct, forbid_unknown_fields=True):
    """A client account: its group and the SHA-256 of its key, in hex."""

    group: GroupPath
    key_sha256: str


class Operator(msgspec.Struct, forbid_unknown_fields=True):
    """An operator: the subtree they may change and the SHA-256 of their key, in hex."""

    subtree: GroupPath
    key_sha256: str


class Placement(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """How servers are moved to other versions.

    ``loads_at_once`` limits concurrent loads, to respect the rate of the weight store. ``keep_part`` is
    the fraction of the servers of a layer range that keeps serving meanwhile.
    """

    loads_at_once: int = 2
    keep_part: float = 0.5


class Admission(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """How requests are admitted by urgency while a service is saturated.

    ``floor`` is the least part that the requests of an urgency get of their proportional share of the
    capacity, which is what they would get if all were treated alike.
    """

    floor: float = DEFAULT_ADMISSION_FLOOR


class CallerLimits(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True, frozen=True):
    """Limits on the requests of one caller, in bytes and seconds."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    head_seconds: float = 10.0
    idle_seconds: float = 60.0


class Tree(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One revision of everything that operators configure."""

    root: Level = msgspec.field(default_factory=Level)
    models: dict[ModelName, Model] = msgspec.field(default_factory=dict)
    backends: dict[BackendId, Backend] = msgspec.field(default_factory=dict)
    services: dict[ServiceName, Service] = msgspec.field(default_factory=dict)
    accounts: dict[AccountName, Account] = msgspec.field(default_factory=dict)
    operators: dict[str, Operator] = msgspec.field(default_factory=dict)
    placement: Placement = Placement()
    admission: Admission = Admission()
    links: dict[str, float] = msgspec.field(default_factory=dict)
    """One-way delay between two data halls in milliseconds, keyed ``"a b"`` in alphabetical order."""

    keys_required: bool = True
    """Whether calls to endpoints that are not public need the key of an account. Without any account, such
    calls are refused."""

    endpoints: list[Endpoint] = msgspec.field(default_factory=list)
    caller_limits: CallerLimits = CallerLimits()


Value = str | float | int | None
"""The value of a field of a level."""


class Explanation(msgspec.Struct, frozen=True):
    """A value in force for a group and the level that defines it."""

    field: str
    value: Value
    level: GroupPath | None


def parent_path(path: GroupPath) -> GroupPath:
    """Return the parent of a group; the root for a top-level group.

    :param path: a group.
    :return: the path without its last name.
    """
    return GroupPath(path.rpartition("/")[0])


def ancestors_and_self(path: GroupPath) -> list[GroupPath]:
    """List a group and all levels above it, starting at the root.

    :param path: a group.
    :return: paths from the root down to the group.
    """
    names = path.split("/") if path else []
    return [GroupPath("/".join(names[:depth])) for depth in range(len(names) + 1)]


def contains(subtree: GroupPath, path: GroupPath) -> bool:
    """Return whether a group is in a subtree.

    :param subtree: the top of the subtree.
    :param path: the group to check.
    :return: true for the top itself and everything below it.
    """
    return not subtree or path == subtree or path.startswith(subtree + "/")


def level_at(tree: Tree, path: GroupPath) -> Level:
    """Find the level of a group.

    :param tree: the settings.
    :param path: the group.
    :return: its level.
    :raises NotFound: when no such group exists.
    """
    level = tree.root
    for name in path.split("/") if path else []:
        if name not in level.groups:
            raise NotFound(f"no such group: {path!r}", step="settings")
        level = level.groups[name]
    return level


def walk(level: Level, path: GroupPath = ROOT) -> Iterator[tuple[GroupPath, Level]]:
    """Iterate over a level and all levels below it, parents before children.

    :param level: where to start.
    :param path: the path of that level.
    :return: pairs of path and level.
    """
    yield path, level
    for name, child in level.groups.items():
        yield from walk(child, GroupPath(f"{path}/{name}" if path else name))


def explain(tree: Tree, path: GroupPath, field: str) -> Explanation:
    """Return the value of a field that is in force for a group, and the level that defines it.

    :param tree: the settings.
    :param path: the group.
    :param field: ``share``, ``priority``, ``deadline_seconds``, a limit such as
        ``limits.in_flight``, ``versions.MODEL``, or ``admission.floor``, which is the same for all groups.
    :return: the value and its level; the level is None for a default value.
    :raises NotFound: when the group or the field does not exist.
    """
    if field == "share":
        return Explanation(field, level_at(tree, path).share, path)
    if field == "admission.floor":
        level_at(tree, path)
        floor = tree.admission.floor
        return Explanation(field, floor, None if floor == DEFAULT_ADMISSION_FLOOR else ROOT)
    for candidate in reversed(ancestors_and_self(path)):
        value = _own_value(level_at(tree, candidate), field)
        if value is not None:
            return Explanation(field, value, candidate)
    return Explanation(field, _default_value(tree, field), None)


def _own_value(level: Level, field: str) -> Value:
    head, _, rest = field.partition(".")
    if head in ("priority", "deadline_seconds") and not rest:
        return cast(Value, getattr(level, head))
    if head == "limits" and rest in Limits.__struct_fields__:
        return cast(Value, getattr(level.limits, rest))
    if head == "versions" and rest:
        return level.versions.get(ModelName(rest))
    raise NotFound(f"a level has no field {field!r}", step="settings")


def _default_value(tree: Tree, field: str) -> Value:
    if field == "priority":
        return DEFAULT_PRIORITY
    if field == "deadline_seconds":
        return DEFAULT_DEADLINE_SECONDS
    head, _, rest = field.partition(".")
    if head != "versions":
        return None
    model = tree.models.get(ModelName(rest))
    if model is None:
        raise NotFound(f"no such model: {rest!r}", step="settings")
    return model.version


def urgency_of(account_priority: int | None, endpoint_priority: int) -> int:
    """Return the urgency of a request: by the priority of its account first, then by that of its endpoint.

    An account without a priority counts like its endpoint. Requests of one account still differ by their
    endpoints; otherwise accounts that all have a priority would make all endpoints equally urgent.

    :param account_priority: the priority in force for the account's group, if any; higher goes first.
    :param endpoint_priority: the priority of the endpoint.
    """
    own = endpoint_priority if account_priority is None else account_priority
    return PRIORITY_LEVELS * own + endpoint_priority


def priority_of(tree: Tree, path: GroupPath) -> int:
    """Return the priority in force for a group; higher values are served first."""
    return int(explain(tree, path, "priority").value)  # type: ignore[arg-type]


def deadline_of(tree: Tree, path: GroupPath) -> float:
    """Return the default deadline of a group's requests, in seconds; a request may set a shorter one."""
    return float(explain(tree, path, "deadline_seconds").value)  # type: ignore[arg-type]


def version_of(tree: Tree, path: GroupPath, model: ModelName) -> Version:
    """Return the version of a model in force for a group."""
    return Version(str(explain(tree, path, f"versions.{model}").value))


def link_milliseconds(tree: Tree, one: HallName, other: HallName) -> float:
    """Return the one-way delay between two data halls.

    :param tree: the settings.
    :param one: a data hall.
    :param other: a data hall.
    :return: milliseconds; zero within a hall or when not configured.
    """
    if one == other:
        return 0.0
    return tree.links.get(" ".join(sorted((one, other))), 0.0)


def encode(tree: Tree) -> bytes:
    """Encode a tree as canonical JSON: sorted keys, defaults left out."""
    return msgspec.json.encode(tree, order="sorted")


def digest_of(document: bytes) -> Digest:
    """Return the SHA-256 of a canonical document, in hex."""
    return Digest(hashlib.sha256(document).hexdigest())


def decode(document: bytes) -> Tree:
    """Decode and validate a tree.

    :param document: JSON.
    :return: the validated tree.
    :raises InvalidSettings: when a rule is broken; the message names the field.
    """
    if len(document) > MAX_DOCUMENT_BYTES:
        raise InvalidSettings(f"settings document exceeds {MAX_DOCUMENT_BYTES} bytes", step="settings")
    tree = decode_json(document, Tree, "the settings document", "settings")
    check(tree)
    return tree


def check(tree: Tree) -> None:
    """Validate the rules that types alone do not express.

    :param tree: the tree.
    :raises InvalidSettings: at the first broken rule; the message names the field.
    """
    for path, level in walk(tree.root):
        _check_level(tree, path, level)
    _ensure(tree.placement.loads_at_once > 0, "placement.loads_at_once", "must be above zero")
    _ensure(0 <= tree.placement.keep_part < 1, "placement.keep_part", "must be in [0, 1)")
    _ensure(
        0 <= tree.admission.floor <= MAX_ADMISSION_FLOOR,
        "admission.floor",
        f"must be in [0, {MAX_ADMISSION_FLOOR}]",
    )
    for name, model in tree.models.items():
        _ensure(model.layers > 0, f"models.{name}.layers", "must be above zero")
    for backend_id, backend in tree.backends.items():
        _check_backend(tree, backend_id, backend)
    for service_name, service in tree.services.items():
        _ensure(bool(service.servers), f"services.{service_name}.servers", "must not be empty")
        _ensure(
            service.timeout_seconds > 0, f"services.{service_name}.timeout_seconds", "must be above zero"
        )
    for account_name, account in tree.accounts.items():
        _check_group_exists(tree, account.group, f"accounts.{account_name}.group")
        _check_sha256(account.key_sha256, f"accounts.{account_name}.key_sha256")
    for operator_name, operator in tree.operators.items():
        _check_group_exists(tree, operator.subtree, f"operators.{operator_name}.subtree")
        _check_sha256(operator.key_sha256, f"operators.{operator_name}.key_sha256")
    _check_keys_unique(tree)


def _check_level(tree: Tree, path: GroupPath, level: Level) -> None:
    where = "root" + "".join(f".groups.{name}" for name in path.split("/") if name)
    _ensure(path.count("/") < MAX_DEPTH, where, f"is nested deeper than {MAX_DEPTH}")
    _ensure(0 < level.share < float("inf"), f"{where}.share", "must be above zero and finite")
    if level.deadline_seconds is not None:
        _ensure(level.deadline_seconds > 0, f"{where}.deadline_seconds", "must be above zero")
    for field in Limits.__struct_fields__:
        value = getattr(level.limits, field)
        _ensure(value is None or value >= 0, f"{where}.limits.{field}", "must not be negative")
    for model in level.versions:
        _ensure(model in tree.models, f"{where}.versions.{model}", "refers to an unknown model")
    for name in level.groups:
        _ensure(bool(name) and "/" not in name, f"{where}.groups.{name}", "must be a name without '/'")


def _check_backend(tree: Tree, backend_id: BackendId, backend: Backend) -> None:
    where = f"backends.{backend_id}"
    _ensure(
        backend.model in tree.models, f"{where}.model", f"refers to an unknown model: {backend.model!r}"
    )
    layers = tree.models[backend.model].layers
    _ensure(
        0 <= backend.first < backend.last <= layers,
        f"{where}.first",
        f"layers [{backend.first}, {backend.last}) are not within [0, {layers})",
    )


def _check_group_exists(tree: Tree, path: GroupPath, where: str) -> None:
    try:
        level_at(tree, path)
    except NotFound as error:
        raise InvalidSettings(f"{where}: refers to an unknown group: {path!r}", step="settings") from error


def _check_sha256(text: str, where: str) -> None:
    good = len(text) == 64 and all(c in "0123456789abcdef" for c in text)
    _ensure(good, where, "must be 64 lowercase hexadecimal digits")
    _ensure(text != EMPTY_SHA256, where, "must not be that of the empty key")


def _check_keys_unique(tree: Tree) -> None:
    seen: dict[str, str] = {}
    holders = [(f"accounts.{n}", a.key_sha256) for n, a in tree.accounts.items()]
    holders += [(f"operators.{n}", o.key_sha256) for n, o in tree.operators.items()]
    for where, key in holders:
        _ensure(key not in seen, f"{where}.key_sha256", f"is also the key of {seen.get(key)}")
        seen[key] = where


def _ensure(condition: bool, where: str, what: str) -> None:
    if not condition:
        raise InvalidSettings(f"{where}: {what}", step="settings")
