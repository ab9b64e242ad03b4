"""Entries that other writers may leave in a table of the store, as no owner of a row writes them."""

import json
import random
from typing import Any

HUGE = 10**400
OUT_OF_RANGE = (HUGE, 2**64, 2**63, 2**53 + 1, -1, 1e300, 0.5)
NO_ADDRESSES = (
    "nowhere",
    "",
    "127.9.9.9",
    "127.9.9.9:" + "9" * 5000,
    "127.9.9.9:70000",
    "127.9.9.9:0",
    "127.9.9.9:008080",
    "127.9.9.9:\uff18080",
    "127.9.9.999:8080",
    "0.0.0.0:8080",
    "224.0.0.1:8080",
    "255.255.255.255:8080",
    "[::1]:8080",
    "127.9.9.9\0:8080",
    "127.9.9.9:8080\r\nX: y",
    "x" * 60_000,
)
OTHER_TYPES: tuple[Any, ...] = (None, True, 7, "text", [], {}, [[1]])
NO_IDS = ("i of nobody", "\u0438\u043c\u044f", "i\r\nX-Tenant: other", "i\0", "i" * 201)
"""Keys that cannot be sent in a header."""
INVALID_KEY_PROBABILITY = 0.2
NESTED = (b"[" * 60_000, b'{"a":' * 10_000 + b"1" + b"}" * 10_000)
NO_JSON = (b"", b"\xff\x00", b"{", b"[]", b"null", b'{"service": "\xff"}', b'"\\ud800"')


def unreadable_values(row: dict[str, Any], address: str = "addr") -> list[bytes]:
    """Return values that no reader can use: without an address of a host, nested too deep, or no JSON.

    :param row: the content of a valid row.
    :param address: the field of its address.
    """
    return [*(json.dumps({**row, address: text}).encode() for text in NO_ADDRESSES), *NESTED, *NO_JSON]


def invalid_values(row: dict[str, Any]) -> list[bytes]:
    """Return unreadable values, and those that differ from a valid row in one field.

    :param row: the content of a valid row with an address and whole numbers.
    """
    changed: list[dict[str, Any]] = []
    for name, value in row.items():
        changed += [{**row, name: other} for other in OTHER_TYPES if type(other) is not type(value)]
        if type(value) is int:
            changed += [{**row, name: number} for number in OUT_OF_RANGE]
        changed.append({field: kept for field, kept in row.items() if field != name})
    return [*unreadable_values(row), *(json.dumps(each).encode() for each in changed)]


def draw_unreadable(row: dict[str, Any], address: str, rng: random.Random) -> tuple[str, bytes]:
    """Draw an unreadable entry.

    :param row: the content of a valid row.
    :param address: the field of its address.
    :param rng: source of randomness.
    :return: the end of its key, and its value.
    """
    if rng.random() < INVALID_KEY_PROBABILITY:
        return rng.choice(NO_IDS), rng.choice(NO_JSON)
    return f"i-invalid-{rng.randrange(1000)}", rng.choice(unreadable_values(row, address))
