"""What daemons tell each other about a call that one of them forwards to another one.

The daemon that forwards a call learns by which settings it is served, and may ask for these settings at the
same address.

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
from typing import TypeVar

import msgspec

from bayglade.decoding import reading
from bayglade.exceptions import InvalidSettings, Outcome, PeerError
from bayglade.ids import BackendId, Digest, MemberId, RequestId, Revision

FORWARD_HEADER = "Bayglade-Forwarded"
SETTINGS_HEADER = "Bayglade-Settings"
"""Header of the answer and of the interim response: the revision of the settings by which the call is
served."""
SETTINGS_TARGET = b"/bayglade/settings"
"""Request target of the settings in force."""
SETTINGS_REQUEST_HEADER = "Bayglade-Settings-Request"
SETTINGS_OFFER_HEADER = "Bayglade-Settings-Offer"
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

SealedT = TypeVar("SealedT", bound=msgspec.Struct)


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


class SettingsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a daemon for the settings in force there."""

    sender: MemberId
    have: Revision
    """The revision in force at the sender, which wants a newer one."""


class SettingsOffer(msgspec.Struct, frozen=True, array_like=True):
    """Describes the settings in the body of the answer."""

    revision: Revision
    digest: Digest


def encode_forwarded(call: ForwardedCall, secret: bytes) -> str:
    """Encode and seal the header of a forwarded call.

    :param call: what to tell.
    :param secret: the secret that all daemons share.
    """
    return encode_sealed(call, FORWARD_HEADER, secret)


def decode_forwarded(text: str, secret: bytes) -> ForwardedCall:
    """Verify and decode the header of a forwarded call.

    :param text: the value of the header.
    :param secret: the secret that all daemons share.
    :return: what the other daemon tells.
    :raises PeerError: if it is malformed, or the sender does not hold the secret.
    """
    return decode_sealed(text, ForwardedCall, FORWARD_HEADER, secret)


def encode_sealed(value: msgspec.Struct, name: str, secret: bytes) -> str:
    """Encode and seal a header.

    :param value: what to tell.
    :param name: the name of the header.
    :param secret: the secret that all daemons share.
    """
    content = msgspec.msgpack.encode(value)
    return base64.urlsafe_b64encode(_seal(content, name, secret) + content).decode()


def decode_sealed(text: str, kind: type[SealedT], name: str, secret: bytes) -> SealedT:
    """Verify and decode a header.

    :param text: the value of the header.
    :param kind: what it holds.
    :param name: the name of the header.
    :param secret: the secret that all daemons share.
    :raises PeerError: if it is malformed, or the sender does not hold the secret.
    """
    if len(text) > MAX_HEADER_CHARS:
        raise _rejection("the header of a forwarded call is too large")
    try:
        data = base64.urlsafe_b64decode(text)
    except (binascii.Error, ValueError) as error:
        raise _rejection("the header of a forwarded call is malformed") from error
    seal, content = data[:SEAL_BYTES], data[SEAL_BYTES:]
    if not hmac.compare_digest(seal, _seal(content, name, secret)):
        raise _rejection("the header of a forwarded call is not sealed by a daemon")
    try:
        with reading(name, "forward"):
            return msgspec.msgpack.decode(content, type=kind)
    except InvalidSettings as error:
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


def _seal(content: bytes, name: str, secret: bytes) -> bytes:
    context = f"{name} {FORWARD_VERSION}".encode()
    return hmac.digest(secret, context + content, hashlib.sha256)[:SEAL_BYTES]
