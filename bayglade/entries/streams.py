"""Streams between entry daemons: dialling, accepting, reading and sending."""

import hmac
import socket
from collections.abc import Iterator

import eventlet
import msgpack

from bayglade.config import Address
from bayglade.entries import wire
from bayglade.exceptions import PeerError
from bayglade.ids import MemberId

CONNECT_TIMEOUT = 1.0
HANDSHAKE_TIMEOUT = 2.0
SEND_TIMEOUT = 2.0
USER_TIMEOUT_MS = 2500
"""Milliseconds without an acknowledgement after which the kernel closes a stream. A link that drops all
packets of an open connection causes no error, and nothing is ever sent back on a stream that carries
heartbeats."""
READ_BYTES = 64 * 1024
HANDSHAKE_BYTES = 4096


class OutStream:
    """An outgoing stream: opened by this daemon, which sends on it."""

    def __init__(self, sock: socket.socket, authenticator: wire.FrameAuthenticator) -> None:
        self.sock = sock
        self.authenticator = authenticator
        self.sent_bytes = 0
        self.peer_receives_nothing = False
        """Set when the other side is known to receive nothing: the next send fails."""

    def __repr__(self) -> str:
        return f"<OutStream {self.sent_bytes} bytes sent>"

    def send(self, message: wire.Message) -> None:
        """Send one message.

        :param message: the message.
        :raises OSError: when the stream broke or the send timed out.
        """
        if self.peer_receives_nothing:
            raise ConnectionError("the other side receives nothing on this stream")
        frame = self.authenticator.seal(message)
        self.sock.sendall(frame)
        self.sent_bytes += len(frame)

    def close(self) -> None:
        """Close the stream."""
        self.sock.close()


class InStream:
    """An incoming stream: opened by another daemon, and read here."""

    def __init__(
        self, sock: socket.socket, authenticator: wire.FrameAuthenticator, member: MemberId
    ) -> None:
        self.sock = sock
        self.authenticator = authenticator
        self.member = member
        self.received_bytes = 0

    def __repr__(self) -> str:
        return f"<InStream from {self.member}>"

    def take_received_bytes(self) -> int:
        """Return the bytes received since the last call."""
        taken, self.received_bytes = self.received_bytes, 0
        return taken

    def messages(self, timeout: float) -> Iterator[wire.Message]:
        """Read messages until the stream ends.

        :param timeout: seconds of silence after which the stream is given up.
        :return: messages as they arrive.
        :raises PeerError: when a frame is invalid.
        :raises OSError: when the stream broke or went silent.
        """
        self.sock.settimeout(timeout)
        unpacker = msgpack.Unpacker(max_buffer_size=wire.MAX_FRAME_BYTES, raw=False)
        while chunk := self.sock.recv(READ_BYTES):
            self.received_bytes += len(chunk)
            for frame in _unpack(unpacker, chunk):
                yield self.authenticator.open(frame)
            if len(chunk) == READ_BYTES:
                # More is there. A stream that is read as fast as it is written must let other tasks run.
                eventlet.sleep(0)


def dial(address: Address, me: MemberId, secret: bytes) -> OutStream:
    """Open a stream to another daemon.

    :param address: where it accepts streams of other daemons.
    :param me: this daemon.
    :param secret: the shared secret.
    :return: the stream.
    :raises OSError: when it cannot be reached.
    :raises PeerError: when it does not hold the secret.
    """
    sock = socket.create_connection((address.host, address.port), timeout=CONNECT_TIMEOUT)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        with eventlet.Timeout(HANDSHAKE_TIMEOUT, PeerError("handshake timed out", step="hello")):
            key = _handshake(sock, me, secret)
        sock.settimeout(SEND_TIMEOUT)
    except BaseException:
        sock.close()
        raise
    return OutStream(sock, wire.FrameAuthenticator(key))


def accept(sock: socket.socket, secret: bytes) -> InStream:
    """Perform the handshake with a daemon that dialled.

    :param sock: the new connection.
    :param secret: the shared secret.
    :return: the stream.
    :raises PeerError: when the other side does not hold the secret.
    :raises OSError: when the connection broke.
    """
    with eventlet.Timeout(HANDSHAKE_TIMEOUT, PeerError("handshake timed out", step="hello")):
        mine = wire.new_nonce()
        sock.sendall(mine)
        hello = wire.decode_hello(_read_frame(sock))
        if hello.protocol != wire.PROTOCOL:
            raise PeerError(f"unsupported protocol version {hello.protocol}", step="hello")
        _verify_proof(hello.proof, wire.proof(secret, "dial", mine, hello.nonce, hello.member))
        sock.sendall(wire.proof(secret, "accept", hello.nonce, mine, hello.member))
    key = wire.stream_key(secret, mine, hello.nonce)
    return InStream(sock, wire.FrameAuthenticator(key), hello.member)


def _handshake(sock: socket.socket, me: MemberId, secret: bytes) -> bytes:
    theirs = _read_exactly(sock, wire.NONCE_BYTES)
    mine = wire.new_nonce()
    proof = wire.proof(secret, "dial", theirs, mine, me)
    sock.sendall(wire.encode_hello(wire.Hello(wire.PROTOCOL, me, mine, proof)))
    expected = wire.proof(secret, "accept", mine, theirs, me)
    _verify_proof(_read_exactly(sock, len(expected)), expected)
    return wire.stream_key(secret, theirs, mine)


def _verify_proof(given: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(given, expected):
        raise PeerError("the peer does not hold the shared secret", step="hello")


def _read_exactly(sock: socket.socket, size: int) -> bytes:
    content = b""
    while len(content) < size:
        chunk = sock.recv(size - len(content))
        if not chunk:
            raise PeerError("the stream ended during the handshake", step="hello")
        content += chunk
    return content


def _read_frame(sock: socket.socket) -> object:
    unpacker = msgpack.Unpacker(max_buffer_size=HANDSHAKE_BYTES, raw=False)
    while chunk := sock.recv(HANDSHAKE_BYTES):
        for frame in _unpack(unpacker, chunk):
            return frame
    raise PeerError("the stream ended during the handshake", step="hello")


def _unpack(unpacker: msgpack.Unpacker, chunk: bytes) -> Iterator[object]:
    """Yield the frames that a chunk completes; raises PeerError for data that is not msgpack."""
    try:
        unpacker.feed(chunk)
        yield from unpacker
    except (msgpack.exceptions.UnpackException, ValueError) as error:
        raise PeerError("the stream is not valid msgpack, or a frame is too large", step="read") from error
