"""Fingerprints: identify requests across retries and daemons.

Clients may retry a request under another id, so it is identified by its content. Requests with different
contents may still have parts of their prompts in common, which are identified by themselves.
"""

import hashlib
from typing import NamedTuple

from bayglade.calls import Call
from bayglade.ids import Fingerprint, GroupPath, PromptPartId, ServiceName

DIGEST_BYTES = 8
"""Long enough to make collisions among the thousands of fingerprints kept at a time negligible."""
LENGTH_BYTES = 4
PART_PERSON = b"prompt part"
"""Keeps the digests of parts apart from those of contents."""


class RequestContent(NamedTuple):
    """The content of a request.

    It leaves out the id, the deadline and the event after which a stream resumes.
    """

    group: GroupPath | None
    method: str
    host: str
    target: bytes
    body: bytes

    def size(self) -> int:
        """Return about how many bytes it takes: of what a client chooses."""
        return len(self.method) + len(self.host) + len(self.target) + len(self.body)


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


def part_fingerprints_of(call: Call, secret: bytes) -> tuple[Fingerprint, ...]:
    """Return the fingerprints of the parts of a call's prompt that other requests may share.

    :param call: the request.
    :param secret: key of the digest, the same for all daemons of a site.
    """
    return tuple(part_fingerprint(call.service, part, secret) for part in call.head.shared_parts)


def part_fingerprint(service: ServiceName, part: PromptPartId, secret: bytes) -> Fingerprint:
    """Return the fingerprint of a part of prompts.

    It leaves out the client account and the endpoint: all prompts of a service may share parts.

    :param service: the service that runs the prompt.
    :param part: the part.
    :param secret: key of the digest, the same for all daemons of a site.
    """
    digest = hashlib.blake2b(key=secret, digest_size=DIGEST_BYTES, person=PART_PERSON)
    name = service.encode()
    digest.update(len(name).to_bytes(LENGTH_BYTES, "big") + name + part.encode())
    return Fingerprint(digest.hexdigest())


def derive_key(secret: bytes) -> bytes:
    """Derive the key of fingerprints from the secret shared by the daemons of a site."""
    return hashlib.blake2b(secret, person=b"fingerprints", digest_size=32).digest()
