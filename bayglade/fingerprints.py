"""Fingerprints: name a request by what it asks, as it may come again under another id."""

import hashlib
from typing import NamedTuple

from bayglade.calls import Call
from bayglade.ids import Fingerprint, GroupPath

DIGEST_BYTES = 8
"""Collisions among the thousands of fingerprints that are kept are out of the question."""
LENGTH_BYTES = 4


class RequestContent(NamedTuple):
    """What a request asks: all but its id, its deadline and the event that a stream goes on after."""

    group: GroupPath | None
    method: str
    host: str
    target: bytes
    body: bytes


def request_content(call: Call) -> RequestContent:
    """Return what a request asks."""
    return RequestContent(call.group, call.method, call.head.host.lower(), call.target, call.body)


def fingerprint_of(call: Call, secret: bytes) -> Fingerprint:
    """Name a request by its client account, method, host, path and body.

    :param call: the request.
    :param secret: key of the digest, the same for all daemons of a site.
    """
    return fingerprint_of_content(request_content(call), secret)


def fingerprint_of_content(content: RequestContent, secret: bytes) -> Fingerprint:
    """Name what a request asks.

    The digest is keyed, so that a log line or a row tells nothing of what a caller sent.

    :param content: what it asks.
    :param secret: key of the digest, the same for all daemons of a site.
    """
    digest = hashlib.blake2b(key=secret, digest_size=DIGEST_BYTES)
    texts = (content.group or "", content.method, content.host)
    for part in (*(text.encode() for text in texts), content.target, content.body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())


def derive_key(secret: bytes) -> bytes:
    """Derive the key of fingerprints from the secret that the daemons of a site share."""
    return hashlib.blake2b(secret, person=b"fingerprints", digest_size=32).digest()
