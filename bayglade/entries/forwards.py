"""What daemons tell each other about a call that one of them forwards to another one.

The request itself is passed on unchanged, with a header that is sealed with the secret that all daemons
share, so that callers cannot send one. Before the other daemon sends the call to a backend server, it names
the server in an interim response (RFC 9110, 15.2). The daemon that forwarded the call answers with a permit
on the same connection, or closes it.
"""

import base64
import binascii
import hashlib
import hmac
import struct

import msgspec

from bayglade.exceptions import Outcome, PeerError
from bayglade.ids import BackendId, MemberId, RequestId, Revision

FORWARD_HEADER = "Bayglade-Forwarded"
SETTINGS_HEADER = "Bayglade-Settings"
"""Header of the answer: the revision of the settings under which the call was served."""
PERMIT_STATUS = 102
"""Status of the interim response that asks for a permit."""
SERVER_HEADER = "Bayglade-Server"
"""Header of the interim response: the server to which the call is to be sent."""
FORWARD_VERSION = 2
"""Version of this exchange. It is sealed with the header, so that a daemon of another version, which would
send without a permit, refuses the call."""
PERMIT = struct.Struct("!d")
"""A permit: the seconds left for the call."""
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
    """Servers that the call may have been sent to before, by any daemon."""

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


def encode_permit(seconds_left: float) -> bytes:
    """Encode the permit to send a call to the server that was named.

    :param seconds_left: seconds until the deadline of the call, as of sending the permit.
    """
    return PERMIT.pack(seconds_left)


def decode_permit(data: bytes) -> float:
    """Return the seconds until the deadline of the call, as of sending the permit.

    :param data: the permit, of ``PERMIT.size`` bytes.
    """
    seconds: float = PERMIT.unpack(data)[0]
    return seconds


def _rejection(message: str) -> PeerError:
    return PeerError(message, step="forward", outcome=Outcome.NOT_RUN)


def _seal(content: bytes, secret: bytes) -> bytes:
    context = f"{FORWARD_HEADER} {FORWARD_VERSION}".encode()
    return hmac.digest(secret, context + content, hashlib.sha256)[:SEAL_BYTES]
