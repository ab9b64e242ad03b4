"""The headers with which a daemon forwards a caller's request to another one.

The request itself is passed on unchanged. Its header is sealed with the secret that all daemons share, so
that callers cannot send one.
"""

import base64
import binascii
import hashlib
import hmac

import msgspec

from bayglade.exceptions import Outcome, PeerError
from bayglade.ids import BackendId, MemberId, RequestId, Revision

FORWARD_HEADER = "Bayglade-Forwarded"
SETTINGS_HEADER = "Bayglade-Settings"
"""Header of the answer: the revision of the settings under which the call was served."""
SEAL_BYTES = 16
MAX_HEADER_CHARS = 4096


class ForwardedCall(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon tells another one about a call that it forwards."""

    sender: MemberId
    request: RequestId
    seconds_left: float
    """Seconds until the deadline, as of sending."""

    revision: Revision
    """The oldest settings under which the call may be served."""

    servers: list[BackendId] = []
    """Servers that the call was sent to before."""

    last_event: int | None = None
    """The event after which a stream is resumed."""

    sent_before: bool = False
    """Whether it may have reached a server: its next send is a retry."""


def encode_forwarded(call: ForwardedCall, secret: bytes) -> str:
    """Encode and seal the header.

    :param call: what to tell.
    :param secret: the secret that all daemons share.
    """
    content = msgspec.msgpack.encode(call)
    return base64.urlsafe_b64encode(_seal(content, secret) + content).decode()


def decode_forwarded(text: str, secret: bytes) -> ForwardedCall:
    """Verify and decode the header.

    :param text: the value of the header.
    :param secret: the secret that all daemons share.
    :return: what the other daemon tells.
    :raises PeerError: if it is malformed, or the sender does not hold the secret.
    """
    if len(text) > MAX_HEADER_CHARS:
        raise _rejection("the header of a forwarded call is too large")
    try:
        data = base64.urlsafe_b64decode(text)
    except (binascii.Error, ValueError) as error:
        raise _rejection("the header of a forwarded call is malformed") from error
    seal, content = data[:SEAL_BYTES], data[SEAL_BYTES:]
    if not hmac.compare_digest(seal, _seal(content, secret)):
        raise _rejection("the header of a forwarded call is not sealed by a daemon")
    try:
        return msgspec.msgpack.decode(content, type=ForwardedCall)
    except msgspec.DecodeError as error:
        raise _rejection("the header of a forwarded call is malformed") from error


def _rejection(message: str) -> PeerError:
    return PeerError(message, step="forward", outcome=Outcome.NOT_RUN)


def _seal(content: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, FORWARD_HEADER.encode() + content, hashlib.sha256)[:SEAL_BYTES]
