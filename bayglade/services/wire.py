"""Which headers pass between callers and plain services, and how calls look."""

import msgspec

REQUEST_ID_HEADER = "Bayglade-Request"
GROUP_HEADER = "Bayglade-Group"

REQUEST_HEADERS = frozenset({"accept", "accept-language", "content-type"})
"""Headers of a caller that reach a service; all others stay behind."""

RESPONSE_HEADERS = frozenset({"content-type", "cache-control", "etag", "last-modified"})
"""Headers of a service that reach the caller."""


class ServiceCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call to a plain service, already filtered."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class ServiceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The whole answer of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


def filter_headers(headers: dict[str, str], allowed: frozenset[str]) -> dict[str, str]:
    """Keep only the headers that may pass.

    :param headers: names and values.
    :param allowed: names in lower case.
    :return: the ones that pass.
    """
    return {name: value for name, value in headers.items() if name.lower() in allowed}
