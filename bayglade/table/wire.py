"""Messages between a daemon and the platform's service: JSON over HTTP."""

from enum import Enum

import msgspec

from bayglade.rows import Row

TABLE_READ_PATH = "/v1/table/read"
TABLE_TRANSACT_PATH = "/v1/table/transact"
OBJECT_PATH = "/v1/objects/"
HOSTS_PATH = "/v1/hosts"


class ReadRows(msgspec.Struct, frozen=True):
    """Asks for several rows at once."""

    keys: list[str]


class Rows(msgspec.Struct, frozen=True):
    """The rows that exist among those asked for."""

    rows: dict[str, Row]


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
