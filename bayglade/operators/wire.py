"""Messages of the administration API: JSON over HTTP."""

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
    """The current settings, limited to what the operator may see."""

    revision: Revision
    digest: Digest
    document: dict[str, Any]


class ChangeAnswer(msgspec.Struct):
    """The revision of a stored change, and the daemons that have it in force already or not yet."""

    revision: Revision
    in_force: list[MemberId]
    not_yet: list[MemberId]


class CheckAnswer(msgspec.Struct):
    """Result of a successful check: the revision that the change would create."""

    revision: Revision


class ExplainAnswer(msgspec.Struct):
    """A setting and the level that defines it; no level if it is the default."""

    group: GroupPath
    field: str
    value: str | float | int | None
    level: GroupPath | None


class MemberStatus(msgspec.Struct):
    """State of another daemon as seen by the answering one."""

    member: MemberId
    live: bool
    revision: Revision
    draining: bool


class StatusAnswer(msgspec.Struct):
    """State of a daemon."""

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
    """State of a backend server as seen by the answering daemon."""

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
    """Share and recent throughput of a group over all daemons, as far as the answering one knows."""

    group: GroupPath
    share: float
    priority: int
    tokens_per_second: float
    in_flight: int


class AuditEntry(msgspec.Struct):
    """An accepted change in the audit trail."""

    revision: Revision
    change: str
    operator: str
    address: str
    at: float
    note: str
    patch: Any
    undo: Any
