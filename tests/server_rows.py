"""Builds rows as servers write them to the store, for tests that decode them."""

from typing import Any

import msgspec

from bayglade.platform import decode_server
from bayglade.servers import ServerFacts

BORN = 1_788_000_000_000
"""Start time of a server, in Unix milliseconds."""


def server_row(**changes: Any) -> dict[str, Any]:
    """Return a complete row of a server that holds layers, with some fields changed."""
    return {
        "service": "model",
        "addr": "10.0.0.1:8080",
        "zone": "hall",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": BORN,
        "kind": "card",
        "layers": {"from": 0, "targetVersion": 4, "version": 1},
        **changes,
    }


def without(name: str) -> dict[str, Any]:
    """Return a row without one of its fields."""
    return {key: value for key, value in server_row().items() if key != name}


def packed(row: Any) -> msgspec.Raw:
    """Encode a row as it is stored."""
    return msgspec.Raw(msgspec.json.encode(row))


def facts_of(server: str = "s", **changes: Any) -> ServerFacts:
    """Decode a row with some fields changed."""
    return decode_server(server, packed(server_row(**changes)))
