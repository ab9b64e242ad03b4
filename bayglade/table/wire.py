"""Messages between a daemon and the platform service: JSON over HTTP."""

from enum import Enum

import msgspec

from bayglade.rows import Row

TABLE_READ_PATH = "/v1/table/read"
TABLE_TRANSACT_PATH = "/v1/table/transact"
OBJECT_PATH = "/v1/objects/"
HOSTS_PATH = "/v1/hosts"


class ReadRows(msgspec.Struct, frozen=True):
    """Request to read several rows."""

    keys: list[str]


class Rows(msgspec.Struct, frozen=True):
    """The requested rows that exist, by key."""

    rows: dict[str, Row]


class HostState(Enum):
    """State of a host in the host list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostKind(Enum):
    """What a host runs: a daemon (``ENTRY``) or a backend server."""

    ENTRY = "entry"
    BACKEND = "backend"


class Host(msgspec.Struct, frozen=True):
    """An entry of the host list. The address of an entry host is the one for streams between daemons."""

    id: str
    kind: HostKind
    address: str
    hall: str
    state: HostState = HostState.LIVE


class Hosts(msgspec.Struct, frozen=True):
    """The host list; it may be outdated."""

    hosts: list[msgspec.Raw]
    """The entries, each a :class:`Host`; other writers may have left entries that are none."""
