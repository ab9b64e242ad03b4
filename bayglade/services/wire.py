"""Calls to plain services and their answers, and the headers that are forwarded in either direction."""

import msgspec

from bayglade.upstream import HoldBytes, hold_freely

REQUEST_ID_HEADER = "Bayglade-Request"
GROUP_HEADER = "Bayglade-Group"

REQUEST_HEADERS = frozenset({"accept", "accept-language", "content-type"})
"""Headers of a caller that are forwarded to a service; all others are dropped."""

RESPONSE_HEADERS = frozenset({"content-type", "cache-control", "etag", "last-modified"})
"""Headers of a service that are forwarded to the caller."""


class ServiceCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call to a plain service, with its headers already filtered."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    hold_answer: HoldBytes = hold_freely
    """Called with the bytes that are kept of the answer."""


class ServiceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


def filter_headers(headers: dict[str, str], allowed: frozenset[str]) -> dict[str, str]:
    """Return only the headers that are allowed.

    :param headers: header values by name.
    :param allowed: allowed names, in lower case.
    """
    return {name: value for name, value in headers.items() if name.lower() in allowed}
