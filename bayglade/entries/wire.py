"""Messages between entry daemons: sealed msgpack frames on a TCP stream.

A stream is opened by the daemon that sends on it. Both sides prove that they
hold the shared secret; every frame then carries a keyed digest over its place
in the stream and its content, so none can be changed, repeated or left out.
"""

import hashlib
import hmac
import os

import msgpack
import msgspec

from bayglade.exceptions import PeerError
from bayglade.ids import (
    UNKNOWN_INCARNATION,
    BackendId,
    Digest,
    Fingerprint,
    Incarnation,
    MemberId,
    Revision,
    ServerKey,
    Version,
)
from bayglade.rows import Position
from bayglade.usage import GroupUsage

MAX_FRAME_BYTES = 8 * 1024 * 1024
NONCE_BYTES = 16
SEAL_BYTES = 16
PROTOCOL = 6


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Opens a stream: who dials, a nonce, and proof of the secret."""

    protocol: int
    member: MemberId
    nonce: bytes
    proof: bytes


class Held(msgspec.Struct, frozen=True, array_like=True):
    """The version that a server holds since a short while, by an order that was taken."""

    backend: BackendId
    version: Version


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon has under way on a server that holds layers."""

    backend: BackendId
    heads: int
    """Requests whose first stage it is."""

    cached: int
    """What all its requests have in the KV cache there, in tokens times layers."""

    incarnation: Incarnation = UNKNOWN_INCARNATION

    @property
    def key(self) -> ServerKey:
        """Return which start of which server this tells of."""
        return ServerKey(self.backend, self.incarnation)


class Sums(msgspec.Struct, frozen=True):
    """What one daemon tells of requests under way, as of one moment."""

    own: list[ServerLoad] = []
    hall: list[ServerLoad] = []
    """Over its hall, from a reader."""

    everywhere: list[ServerLoad] = []
    """Over all halls, from a reader."""


class Finding(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon found out about a server, by asking it."""

    backend: BackendId
    finder: MemberId
    incarnation: Incarnation = UNKNOWN_INCARNATION
    number: int = 0
    """Grows with each finding of the finder: one that is passed on is told from one that is new."""

    @property
    def key(self) -> ServerKey:
        """Return which start of which server this tells of."""
        return ServerKey(self.backend, self.incarnation)


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A start of a server that ended while it had just begun to run a request."""

    fingerprint: Fingerprint
    backend: BackendId
    incarnation: Incarnation = UNKNOWN_INCARNATION
    age: float = 0.0
    """Seconds since the server broke the request off, when this was told."""

    @property
    def key(self) -> ServerKey:
        """Return which start of which server ended."""
        return ServerKey(self.backend, self.incarnation)


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit that a server named in an answer, or its end."""

    backend: BackendId
    finder: MemberId
    """The daemon that had the answer."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    number: int = 0
    """Grows with each notice of the finder."""

    rate: float | None = None
    """Requests a second from all daemons together; nothing when it names no limit any more."""

    age: float = 0.0
    """Seconds since the answer came, when this was told."""

    @property
    def key(self) -> ServerKey:
        """Return which start of which server this tells of."""
        return ServerKey(self.backend, self.incarnation)


class Heartbeat(msgspec.Struct, frozen=True, tag="b", array_like=True, kw_only=True):
    """Tells that a daemon lives and what it knows; sent at once on a change.

    It is sent most often of all, so it says nothing that the stream says already.
    """

    revision: Revision
    draining: bool
    usage: list[GroupUsage]
    leaving: list[BackendId]
    held: list[Held]
    loads: list[ServerLoad] = []
    hall_loads: list[ServerLoad] = []
    """The same as ``loads`` for all daemons of the sender's hall; told by its readers."""

    all_loads: list[ServerLoad] = []
    """The same for all halls."""

    heard_age: float = 0.0
    """Seconds since the sender heard the receiver; 0 when it never did. A stream whose connection
    fell silent takes what is sent on it without an error, and only the other side can tell."""

    caught_up: bool = True
    """Whether the sender, since it started, asked others for newer settings than it has."""


class Findings(msgspec.Struct, frozen=True, tag="s", array_like=True):
    """Passes on what was found out about servers, at once.

    Small, beside the heartbeats, whose sums would hold up a slow link: a crash of several servers is
    told in dozens of steps.
    """

    dead: list[Finding] = []
    """Stages that were found silent just now."""

    back: list[Finding] = []
    """Stages that were silent and answer again."""

    crashes: list[Crash] = []
    """Servers that ended under requests."""

    cleared: list[Fingerprint] = []
    """Requests that were answered though servers had ended under them."""

    leaving: list[ServerKey] = []
    """Starts of servers that said in an answer that they leave."""

    proven: list[Fingerprint] = []
    """Requests under which servers end though they were answered many times before."""

    breaks: list[Crash] = []
    """Requests that broke off on servers which may have ended."""

    limits: list[LimitNotice] = []
    """Rate limits that servers named."""


class Fetch(msgspec.Struct, frozen=True, tag="f", array_like=True):
    """Asks for the settings in force, newer than a revision."""

    member: MemberId
    have: Revision


class Document(msgspec.Struct, frozen=True, tag="d", array_like=True):
    """The settings in force, whole."""

    revision: Revision
    digest: Digest
    document: bytes


class Patch(msgspec.Struct, frozen=True, tag="p", array_like=True):
    """The settings in force, as a merge patch against the revision before."""

    revision: Revision
    digest: Digest
    patch: bytes


class Poll(msgspec.Struct, frozen=True, tag="a", array_like=True):
    """Asks a reader of the platform's tables for updates, to be answered when there is any."""

    number: int
    have: dict[str, Position]
    """Up to where each table is known; one that is left out is wanted whole."""

    address: str
    """Where the sender takes streams: it may have started so lately that nobody knows of it."""


class TableUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Rows of one table."""

    after: Position | None
    """The position they changed after; nothing when they are the whole table."""

    position: Position
    age: float
    """Seconds since they were surely the newest, when this was written."""

    rows: bytes
    """Packed."""

    recovered_age: float | None = None
    """Seconds since the store was back for whoever read the rows; nothing when it was never lost."""


class Updates(msgspec.Struct, frozen=True, tag="n", array_like=True):
    """Answers a poll."""

    number: int
    """That of the question."""

    waited: float
    """Seconds for which the question lay here."""

    tables: dict[str, TableUpdate]
    """Those that the sender has; one that the store does not answer for is not among them."""

    store_unreachable: bool = False
    """Whether the store does not answer the sender itself, which has all this from others."""


class StoreUnreachable(msgspec.Struct, frozen=True, tag="u", array_like=True):
    """Says that the sender lives and gets no answer of the store itself; the poll keeps waiting."""

    number: int
    """That of the question."""


class Borrow(msgspec.Struct, frozen=True, tag="w", array_like=True):
    """Asks a reader for retries that are left in its hall."""

    number: int
    service: str
    wanted: int


class Lent(msgspec.Struct, frozen=True, tag="l", array_like=True):
    """Answers a wish to borrow; the number is that of the wish."""

    number: int
    amount: int


class QuotaRequest(msgspec.Struct, frozen=True, tag="q", array_like=True):
    """Asks the keeper of a server's rate limit for one request to it."""

    number: int
    limit: LimitNotice
    """As the asker knows it, who is its finder: the keeper may not have heard of it."""

    hops: int = 0
    """How often it was passed on."""


class QuotaReply(msgspec.Struct, frozen=True, tag="y", array_like=True):
    """Answers a request for a quota; the number is that of the request."""

    number: int = 0
    granted: bool = False
    wait: float = 0.0
    """Seconds until asking again may help."""

    contenders: int = 1
    """Daemons that asked lately, the receiver among them."""


class QuotaReturn(msgspec.Struct, frozen=True, tag="z", array_like=True):
    """Returns a request that was lent and not sent."""

    backend: BackendId
    incarnation: Incarnation = UNKNOWN_INCARNATION
    hops: int = 0

    @property
    def key(self) -> ServerKey:
        """Return the start of the server whose limit it is."""
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
    | Borrow
    | Lent
    | QuotaRequest
    | QuotaReply
    | QuotaReturn
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_hello_decoder: msgspec.msgpack.Decoder[Hello] = msgspec.msgpack.Decoder(Hello)


class Sealer:
    """Seals or opens the frames of one direction of one stream, in order."""

    def __init__(self, key: bytes) -> None:
        self.key = key
        self.count = 0

    def __repr__(self) -> str:
        return f"<Sealer {self.count} frames>"

    def seal(self, message: Message) -> bytes:
        """Encode the next message of the stream."""
        payload = _encoder.encode(message)
        return msgpack.packb([self._digest(payload), payload])  # type: ignore[no-any-return]

    def open(self, frame: object) -> Message:
        """Check and decode the next frame of the stream.

        :param frame: what the unpacker gave.
        :return: the message.
        :raises PeerError: when the frame is not the next one of this stream.
        """
        if not isinstance(frame, list) or len(frame) != 2:
            raise PeerError("a frame has the wrong shape", step="open")
        seal, payload = frame
        if not isinstance(seal, bytes) or not isinstance(payload, bytes):
            raise PeerError("a frame has the wrong types", step="open")
        if not hmac.compare_digest(seal, self._digest(payload)):
            raise PeerError("a frame's seal is wrong", step="open")
        try:
            return _decoder.decode(payload)
        except msgspec.DecodeError as error:
            raise PeerError(f"a message makes no sense: {error}", step="open") from error

    def _digest(self, payload: bytes) -> bytes:
        self.count += 1
        place = self.count.to_bytes(8, "big")
        return hashlib.blake2b(place + payload, key=self.key, digest_size=SEAL_BYTES).digest()


def new_nonce() -> bytes:
    """Return fresh random bytes."""
    return os.urandom(NONCE_BYTES)


def proof(secret: bytes, side: str, first: bytes, second: bytes, member: MemberId) -> bytes:
    """Prove that a side holds the secret, bound to both nonces.

    :param secret: the shared secret.
    :param side: ``"dial"`` or ``"accept"``, so that no proof can be sent back.
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
    """Read the frame that opens a stream.

    :param frame: what the unpacker gave.
    :return: the greeting; its proof is not yet checked.
    :raises PeerError: when it is none.
    """
    if not isinstance(frame, list) or len(frame) != 1 or not isinstance(frame[0], bytes):
        raise PeerError("no greeting", step="hello")
    try:
        return _hello_decoder.decode(frame[0])
    except msgspec.DecodeError as error:
        raise PeerError("no greeting", step="hello") from error
