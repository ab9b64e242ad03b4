"""Messages between entry daemons: authenticated msgpack frames on a TCP stream.

A stream is opened by the daemon that sends on it. Both sides prove that they hold the shared
secret. Every frame then carries a keyed digest of its sequence number and content, so frames cannot
be modified, replayed or left out.
"""

import hashlib
import hmac
import os
from typing import Any

import msgpack
import msgspec

from bayglade.decoding import reading
from bayglade.exceptions import InvalidSettings, PeerError
from bayglade.ids import (
    UNKNOWN_INCARNATION,
    BackendId,
    Digest,
    Fingerprint,
    Incarnation,
    MemberId,
    Revision,
    ServerKey,
    ServiceName,
    Version,
)
from bayglade.rows import Position
from bayglade.usage import GroupUsage

MAX_FRAME_BYTES = 8 * 1024 * 1024
NONCE_BYTES = 16
FRAME_DIGEST_BYTES = 16
PROTOCOL = 6


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Opens a stream: the dialling daemon, a nonce, and proof of the secret."""

    protocol: int
    member: MemberId
    nonce: bytes
    proof: bytes


class HeldVersion(msgspec.Struct, frozen=True, array_like=True):
    """The version that a server has held for a short while, because of an order that it accepted."""

    backend: BackendId
    version: Version


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """The requests that a daemon has in progress on a server that holds layers."""

    backend: BackendId
    heads: int
    """Requests for which it is the first stage."""

    cached: int
    """Size of the KV cache entries of all its requests there, in tokens times layers."""

    incarnation: Incarnation = UNKNOWN_INCARNATION

    @property
    def key(self) -> ServerKey:
        """Return the server and its incarnation."""
        return ServerKey(self.backend, self.incarnation)


class ServiceReport(msgspec.Struct, frozen=True, array_like=True):
    """Demand for one service at one urgency, as one daemon or a sum of daemons sees it.

    Rates are per second and decay over a few seconds.
    """

    service: ServiceName
    urgency: int
    """The priority of the calls; higher goes first."""

    waiting: int = 0
    """Requests that wait for a place."""

    returning: int = 0
    """Callers that were told to come back and are not due yet."""

    offered: float = 0.0
    """Tokens a second that new and returning requests ask for."""

    admitted: float = 0.0
    """Tokens a second of requests that got a place."""

    refused: float = 0.0
    """Requests a second refused because there was no room."""

    finished: float = 0.0
    """Requests a second that ended."""


class Coverage(msgspec.Struct, frozen=True, array_like=True):
    """When every layer of a service's model has a holder again, by the orders under way."""

    service: ServiceName
    seconds: float
    """Seconds until then, as of ``age`` ago; zero while all have holders, negative if it is not known."""

    age: float = 0.0
    """Seconds since it was computed, as of sending."""


class LoadSums(msgspec.Struct, frozen=True):
    """The requests in progress that one daemon reports, as of one moment."""

    own: list[ServerLoad] = []
    hall: list[ServerLoad] = []
    """Totals of its hall, sent by a reader."""

    everywhere: list[ServerLoad] = []
    """Totals of all halls, sent by a reader."""


class ReportSums(msgspec.Struct, frozen=True):
    """The demand that one daemon reports, as of one moment."""

    own: list[ServiceReport] = []
    hall: list[ServiceReport] = []
    """Totals of its hall, sent by a reader."""

    everywhere: list[ServiceReport] = []
    """Totals of all halls, sent by a reader. Those for a daemon of its hall leave that daemon out."""


class Finding(msgspec.Struct, frozen=True, array_like=True):
    """An observation about a server, made by calling it."""

    backend: BackendId
    finder: MemberId
    incarnation: Incarnation = UNKNOWN_INCARNATION
    number: int = 0
    """Increases with each finding of the finder, which distinguishes a new finding from a relayed one."""

    @property
    def key(self) -> ServerKey:
        """Return the server and its incarnation."""
        return ServerKey(self.backend, self.incarnation)


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a server that ended shortly after it began to run a request."""

    fingerprint: Fingerprint
    backend: BackendId
    incarnation: Incarnation = UNKNOWN_INCARNATION
    age: float = 0.0
    """Seconds since the server broke off the request, as of sending."""

    parts: tuple[Fingerprint, ...] = ()
    """The parts of its prompt that other requests may share."""

    ran: float = 0.0
    """Seconds from sending the request to the server until it was broken off."""

    @property
    def key(self) -> ServerKey:
        """Return the server and the incarnation that ended."""
        return ServerKey(self.backend, self.incarnation)


class SoundPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of prompts that a server has run without ending."""

    fingerprint: Fingerprint
    age: float
    """Seconds since the server began to write the answer, as of sending."""


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit that a server announced in an answer, or its removal."""

    backend: BackendId
    finder: MemberId
    """The daemon that received the answer."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    number: int = 0
    """Increases with each notice of the finder."""

    rate: float | None = None
    """Requests a second from all daemons together; None when the server no longer names a limit."""

    age: float = 0.0
    """Seconds since the answer arrived, as of sending."""

    @property
    def key(self) -> ServerKey:
        """Return the server and its incarnation."""
        return ServerKey(self.backend, self.incarnation)


class Heartbeat(msgspec.Struct, frozen=True, tag="b", array_like=True, kw_only=True):
    """Shows that a daemon is alive and reports its state; sent immediately after a change.

    It is the most frequent message, so it repeats nothing that the stream already implies.
    """

    revision: Revision
    draining: bool
    usage: list[GroupUsage]
    leaving: list[BackendId]
    held: list[HeldVersion]
    loads: list[ServerLoad] = []
    hall_loads: list[ServerLoad] = []
    """The same as ``loads`` for all daemons of the sender's hall; sent by its readers."""

    all_loads: list[ServerLoad] = []
    """The same for all halls."""

    heard_age: float = 0.0
    """Seconds since the sender heard the receiver; 0 if it never did. A connection that silently drops
    packets accepts sent data without an error, so only the other side can detect it."""

    caught_up: bool = True
    """Whether the sender has asked others for newer settings since it started."""

    reports: Any = []
    """Demand at the sender, a list of :class:`ServiceReport`. These three lists are relayed in the same way
    as ``loads``. Their shape is checked by :mod:`bayglade.service_reports`: an invalid line must not break
    the stream, because the sender would then be considered dead."""

    hall_reports: Any = []
    all_reports: Any = []
    """Leaves out the receiver's own part."""

    coverage: Any = []
    """A list of :class:`Coverage`, from the daemon that issues the orders or relayed by a reader."""

    isolated: list[ServiceName] = []
    """Services of which the sender reaches no server."""


class Findings(msgspec.Struct, frozen=True, tag="s", array_like=True):
    """Relays observations about servers immediately.

    Kept separate from heartbeats and small, because the sums in heartbeats would delay it on a slow
    link: a crash of several servers is reported in dozens of steps.
    """

    dead: list[Finding] = []
    """Stages that were just found silent."""

    back: list[Finding] = []
    """Stages that were silent and answer again."""

    crashes: list[Crash] = []
    """Servers that ended while running a request."""

    cleared: list[Fingerprint] = []
    """Requests that were answered although servers had ended while running them."""

    leaving: list[ServerKey] = []
    """Server incarnations that announced in an answer that they are leaving."""

    proven: list[Fingerprint] = []
    """Requests under which servers end although the requests were answered many times before."""

    breaks: list[Crash] = []
    """Requests that broke off on servers which may have ended."""

    limits: list[LimitNotice] = []
    """Rate limits that servers announced."""

    sound: list[SoundPart] = []
    """Suspected parts of prompts that servers have run since without ending."""


class Fetch(msgspec.Struct, frozen=True, tag="f", array_like=True):
    """Requests the settings in force if they are newer than a revision."""

    member: MemberId
    have: Revision


class Document(msgspec.Struct, frozen=True, tag="d", array_like=True):
    """The complete settings in force."""

    revision: Revision
    digest: Digest
    document: bytes


class Patch(msgspec.Struct, frozen=True, tag="p", array_like=True):
    """The settings in force, as a merge patch against the previous revision."""

    revision: Revision
    digest: Digest
    patch: bytes


class Poll(msgspec.Struct, frozen=True, tag="a", array_like=True):
    """Long-polls a reader for updates of the platform's tables; answered once there are any."""

    number: int
    have: dict[str, Position]
    """The position of each table; a table that is left out is requested as a snapshot."""

    address: str
    """Where the sender accepts streams; it may have started so recently that nobody knows it."""


class TableUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Rows of one table."""

    after: Position | None
    """The position they changed after; None when they are a snapshot of the whole table."""

    position: Position
    age: float
    """Seconds since they were known to be current, as of sending."""

    rows: bytes
    """Compressed, see :mod:`bayglade.fanout`."""

    recovered_age: float | None = None
    """Seconds since the store recovered for the daemon that read the rows; None when it was never lost."""


class Updates(msgspec.Struct, frozen=True, tag="n", array_like=True):
    """Answers a poll."""

    number: int
    """The number of the poll."""

    waited: float
    """Seconds for which the poll was pending."""

    tables: dict[str, TableUpdate]
    """The tables that the sender knows; one for which its store calls fail is left out."""

    store_unreachable: bool = False
    """Whether the store does not answer the sender, which then has all of this from others."""


class StoreUnreachable(msgspec.Struct, frozen=True, tag="u", array_like=True):
    """Reports that the sender is alive but gets no answer from the store; the poll stays pending."""

    number: int
    """The number of the poll."""


class BorrowRequest(msgspec.Struct, frozen=True, tag="w", array_like=True):
    """Asks for retries that the receiver does not need."""

    number: int
    service: str
    wanted: float
    hops: int = 0
    """Number of times it was passed on."""


class BorrowReply(msgspec.Struct, frozen=True, tag="l", array_like=True):
    """Answers a request to borrow; the number is that of the request."""

    number: int
    amount: float
    lender: MemberId = MemberId("")
    """The daemon whose retries they are."""

    loan: int = 0
    """Identifies the loan at its lender."""


class BorrowReturn(msgspec.Struct, frozen=True, tag="o", array_like=True):
    """Returns borrowed retries that were not used in time, to their lender or by way of another daemon."""

    service: str
    lender: MemberId
    loan: int
    amount: float
    hops: int = 0
    """Number of times it was passed on."""


class CreditDeposit(msgspec.Struct, frozen=True, tag="k", array_like=True):
    """Leaves retries that the sender's requests have earned to a reader of its hall, which lends them."""

    service: str
    amount: float
    age: float
    """Seconds since the earliest of these requests, as of sending."""


class QuotaRequest(msgspec.Struct, frozen=True, tag="q", array_like=True):
    """Asks the keeper of a server's rate limit for permission to send it one request."""

    number: int
    limit: LimitNotice
    """The limit as known to the sender, which is its finder here: the keeper may not know it yet."""

    hops: int = 0
    """Number of times it was forwarded."""


class QuotaReply(msgspec.Struct, frozen=True, tag="y", array_like=True):
    """Answers a quota request; the number is that of the request."""

    number: int = 0
    granted: bool = False
    wait: float = 0.0
    """Seconds until asking again may succeed."""

    contenders: int = 1
    """Number of daemons that asked recently, including the receiver."""


class QuotaReturn(msgspec.Struct, frozen=True, tag="z", array_like=True):
    """Returns a granted request that was not sent."""

    backend: BackendId
    incarnation: Incarnation = UNKNOWN_INCARNATION
    hops: int = 0

    @property
    def key(self) -> ServerKey:
        """Return the server and the incarnation whose limit it is."""
        return ServerKey(self.backend, self.incarnation)


Message = (
    Heartbeat
    | Findings
    | Fetch
    | Document
    | Patch
    | Poll
    | Updates
    | StoreUnreachable
    | BorrowRequest
    | BorrowReply
    | BorrowReturn
    | CreditDeposit
    | QuotaRequest
    | QuotaReply
    | QuotaReturn
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_hello_decoder: msgspec.msgpack.Decoder[Hello] = msgspec.msgpack.Decoder(Hello)


class FrameAuthenticator:
    """Authenticates the frames of one direction of one stream, in order."""

    def __init__(self, key: bytes) -> None:
        self.key = key
        self.count = 0

    def __repr__(self) -> str:
        return f"<FrameAuthenticator {self.count} frames>"

    def seal(self, message: Message) -> bytes:
        """Encode and authenticate the next message of the stream."""
        payload = _encoder.encode(message)
        return msgpack.packb([self._digest(payload), payload])  # type: ignore[no-any-return]

    def open(self, frame: object) -> Message:
        """Verify and decode the next frame of the stream.

        :param frame: the unpacked frame.
        :return: the message.
        :raises PeerError: when the frame is not the next one of this stream.
        """
        if not isinstance(frame, list) or len(frame) != 2:
            raise PeerError("a frame is not a pair of digest and payload", step="open")
        seal, payload = frame
        if not isinstance(seal, bytes) or not isinstance(payload, bytes):
            raise PeerError("digest or payload of a frame is not binary", step="open")
        if not hmac.compare_digest(seal, self._digest(payload)):
            raise PeerError("the digest of a frame does not match", step="open")
        try:
            with reading("a message", "open"):
                return _decoder.decode(payload)
        except InvalidSettings as error:
            raise PeerError(f"malformed message: {error.message}", step="open") from error

    def _digest(self, payload: bytes) -> bytes:
        self.count += 1
        place = self.count.to_bytes(8, "big")
        return hashlib.blake2b(place + payload, key=self.key, digest_size=FRAME_DIGEST_BYTES).digest()


def new_nonce() -> bytes:
    """Return fresh random bytes."""
    return os.urandom(NONCE_BYTES)


def proof(secret: bytes, side: str, first: bytes, second: bytes, member: MemberId) -> bytes:
    """Compute the proof that one side holds the secret, bound to both nonces.

    :param secret: the shared secret.
    :param side: ``"dial"`` or ``"accept"``, so that a proof cannot be reflected.
    :param first: the nonce of the other side.
    :param second: the nonce of this side.
    :param member: the daemon that dials.
    :return: the proof.
    """
    content = b"|".join((side.encode(), first, second, member.encode()))
    return hashlib.blake2b(content, key=_key(secret), digest_size=32).digest()


def stream_key(secret: bytes, accepting: bytes, dialing: bytes) -> bytes:
    """Derive the key of one stream from the secret and both nonces."""
    return hashlib.blake2b(accepting + dialing, key=_key(secret), digest_size=32).digest()


def _key(secret: bytes) -> bytes:
    return hashlib.blake2b(secret, digest_size=32).digest()


def encode_hello(hello: Hello) -> bytes:
    """Encode the frame that opens a stream."""
    return msgpack.packb([_encoder.encode(hello)])  # type: ignore[no-any-return]


def decode_hello(frame: object) -> Hello:
    """Decode the frame that opens a stream.

    :param frame: the unpacked frame.
    :return: the greeting; its proof is not verified yet.
    :raises PeerError: when the frame is not a valid greeting.
    """
    if not isinstance(frame, list) or len(frame) != 1 or not isinstance(frame[0], bytes):
        raise PeerError("the first frame is not a valid greeting", step="hello")
    try:
        with reading("a greeting", "hello"):
            return _hello_decoder.decode(frame[0])
    except InvalidSettings as error:
        raise PeerError("malformed greeting", step="hello") from error
