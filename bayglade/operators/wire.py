"""Messages between operators' programs and a daemon: JSON over HTTP."""

from typing import Any

import msgspec

from bayglade.ids import BackendId, Digest, GroupPath, MemberId, Revision

SETTINGS_PATH = "/admin/v1/settings"
CHANGES_PATH = "/admin/v1/changes"
CHECK_PATH = "/admin/v1/check"
AUDIT_PATH = "/admin/v1/audit"
EXPLAIN_PATH = "/admin/v1/explain"
STATUS_PATH = "/admin/v1/status"
BACKENDS_PATH = "/admin/v1/backends"
GROUPS_PATH = "/admin/v1/groups"


class SettingsAnswer(msgspec.Struct):
    """The settings in force, as far as the operator may see them."""

    revision: Revision
    digest: Digest
    document: dict[str, Any]


class ChangeAnswer(msgspec.Struct):
    """A change that was kept, and where it is in force by now."""

    revision: Revision
    in_force: list[MemberId]
    not_yet: list[MemberId]


class CheckAnswer(msgspec.Struct):
    """A change that would be taken."""

    revision: Revision


class ExplainAnswer(msgspec.Struct):
    """A value in force and the level it comes from; no level for a default."""

    group: GroupPath
    field: str
    value: str | float | int | None
    level: GroupPath | None


class MemberStatus(msgspec.Struct):
    """Another daemon as seen by the one that answers."""

    member: MemberId
    live: bool
    revision: Revision
    draining: bool


class StatusAnswer(msgspec.Struct):
    """How a daemon stands."""

    member: MemberId
    version: str
    revision: Revision
    ready: bool
    draining: bool
    settings_age_seconds: float
    in_flight: int
    waiting: int
    entries_bytes_out: int
    entries_bytes_in: int
    members: list[MemberStatus]


class BackendStatus(msgspec.Struct):
    """A backend server as seen by the daemon that answers."""

    backend: BackendId
    model: str
    version: str
    first: int
    last: int
    hall: str
    in_flight: int
    limit: float
    failures: int
    state: str


class GroupStatus(msgspec.Struct):
    """A group's recent service over all daemons, as seen by the one that answers."""

    group: GroupPath
    share: float
    priority: int
    tokens_per_second: float
    in_flight: int


class AuditEntry(msgspec.Struct):
    """One accepted change."""

    revision: Revision
    change: str
    operator: str
    address: str
    at: float
    note: str
    patch: Any
    undo: Any
