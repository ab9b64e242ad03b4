"""Messages between a daemon and the platform's service: JSON over HTTP."""

from enum import Enum

import msgspec

TABLE_READ_PATH = "/v1/table/read"
TABLE_TRANSACT_PATH = "/v1/table/transact"
OBJECT_PATH = "/v1/objects/"
HOSTS_PATH = "/v1/hosts"

ABSENT = 0
"""The version of a row that does not exist."""


class Row(msgspec.Struct, frozen=True):
    """A row of the table: its version, which grows with each write, and its value."""

    version: int
    value: msgspec.Raw


class ReadRows(msgspec.Struct, frozen=True):
    """Asks for several rows at once."""

    keys: list[str]


class Rows(msgspec.Struct, frozen=True):
    """The rows that exist among those asked for."""

    rows: dict[str, Row]


class Condition(msgspec.Struct, frozen=True):
    """Holds when the row has just this version."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Sets the value of a row."""

    key: str
    value: msgspec.Raw


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together, when all conditions hold."""

    conditions: list[Condition]
    writes: list[Write]


class TransactionResult(msgspec.Struct, frozen=True):
    """Whether a transaction took effect, and the rows that stood against it."""

    committed: bool
    conflicts: list[str] = []


class HostState(Enum):
    """What the host list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class HostKind(Enum):
    """What runs on a host."""

    ENTRY = "entry"
    BACKEND = "backend"


class Host(msgspec.Struct, frozen=True):
    """One line of the host list; the address of an entry host is for peer streams."""

    id: str
    kind: HostKind
    address: str
    hall: str
    state: HostState = HostState.LIVE


class Hosts(msgspec.Struct, frozen=True):
    """The host list, which lags."""

    hosts: list[Host]


def raw(value: object) -> msgspec.Raw:
    """Encode a value as it lies in a row."""
    return msgspec.Raw(msgspec.json.encode(value))
