"""Fingerprints: name a request by what it asks, as it may come again under another id."""

import hashlib

from bayglade.calls import Call
from bayglade.ids import Fingerprint

DIGEST_BYTES = 8
"""Collisions among the thousands of fingerprints that are kept are out of the question."""
LENGTH_BYTES = 4


def fingerprint_of(call: Call, secret: bytes) -> Fingerprint:
    """Name a request by its client account, method, host, path and body.

    Its id, its deadline and the event that a stream goes on after differ with each try. The digest is
    keyed, so that a log line or a row tells nothing of what a caller sent.

    :param call: the request.
    :param secret: key of the digest, the same for all daemons of a site.
    """
    digest = hashlib.blake2b(key=secret, digest_size=DIGEST_BYTES)
    host = call.head.host.lower()
    texts = (call.group or "", call.method, host)
    for part in (*(text.encode() for text in texts), call.target, call.body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())


def key_of(secret: bytes) -> bytes:
    """Derive the key of fingerprints from the secret that the daemons of a site share."""
    return hashlib.blake2b(secret, person=b"fingerprints", digest_size=32).digest()
