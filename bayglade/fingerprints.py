"""Fingerprints: identify a request by its content, as clients may retry it under another id."""

import hashlib
from typing import NamedTuple

from bayglade.calls import Call
from bayglade.ids import Fingerprint, GroupPath

DIGEST_BYTES = 8
"""Long enough to make collisions among the thousands of fingerprints kept at a time negligible."""
LENGTH_BYTES = 4


class RequestContent(NamedTuple):
    """The content of a request.

    It leaves out the id, the deadline and the event after which a stream resumes.
    """

    group: GroupPath | None
    method: str
    host: str
    target: bytes
    body: bytes


def request_content(call: Call) -> RequestContent:
    """Return the content of a request."""
    return RequestContent(call.group, call.method, call.head.host.lower(), call.target, call.body)


def fingerprint_of(call: Call, secret: bytes) -> Fingerprint:
    """Return the fingerprint of a request: a digest of its client account, method, host, path and body.

    :param call: the request.
    :param secret: key of the digest, the same for all daemons of a site.
    """
    return fingerprint_of_content(request_content(call), secret)


def fingerprint_of_content(content: RequestContent, secret: bytes) -> Fingerprint:
    """Return the fingerprint of a request's content.

    The digest is keyed, so that a log line or a stored row reveals nothing of what a client sent.

    :param content: the request's content.
    :param secret: key of the digest, the same for all daemons of a site.
    """
    digest = hashlib.blake2b(key=secret, digest_size=DIGEST_BYTES)
    texts = (content.group or "", content.method, content.host)
    for part in (*(text.encode() for text in texts), content.target, content.body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())


def derive_key(secret: bytes) -> bytes:
    """Derive the key of fingerprints from the secret shared by the daemons of a site."""
    return hashlib.blake2b(secret, person=b"fingerprints", digest_size=32).digest()
