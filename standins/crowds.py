"""Crowds of clients that don't behave, as a process: ``python -m standins.crowds ADDRESS KIND``.

A crowd opens all its connections and sends as fast as it is read, each client a piece in turn. Once nobody
can send any more, or after ``--seconds``, it prints ``settled``. It keeps its connections, and goes on
sending where it can, until its standard input ends.
"""

import argparse
import itertools
import os
import resource
import selectors
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Self

from standins.users.configuration import HOST_NAME, KEY
from standins.world import STOP_TIMEOUT

PIECE_BYTES = 64 * 1024
SLOW_PIECE_BYTES = 2 * 1024
LARGE_CHUNK_BYTES = 256 * 1024
SENT_AHEAD = 64
"""Requests in one piece of a client that sends ahead."""
TINY_FIELD = b"a:\r\n"
SETTLED_SECONDS = 0.7
"""How long nobody could send anything in a crowd that has settled."""
RECEIVE_BYTES = 4096
"""Receive buffer of clients that don't read."""
DRIP_SECONDS = 0.1
"""Interval at which slow readers take a byte."""

_numbers = itertools.count(1)

Pieces = Iterator[bytes]


def head(options: argparse.Namespace, framing: str, method: str = "POST", path: str = "") -> bytes:
    """Return the head of a request.

    :param options: the options of the crowd.
    :param framing: the lines that frame its body, each with its end.
    :param method: the method.
    :param path: its path, if not that of the options.
    """
    key = f"X-Key: {options.key}\r\n" if options.key else ""
    request = f"crowd-{os.getpid()}-{next(_numbers)}"
    start = f"{method} {path or options.path} HTTP/1.1\r\nHost: {options.host}\r\n"
    fields = f"X-Request-Id: {request}\r\nX-Deadline-Ms: 30000\r\n{key}{options.extra}"
    return f"{start}{fields}{framing}\r\n".encode()


def _cut(data: bytes, size: int) -> Pieces:
    return (data[at : at + size] for at in range(0, len(data), size))


def body(options: argparse.Namespace, piece_bytes: int = PIECE_BYTES, missing: int = 1) -> Pieces:
    """Yield a request with a length, but for the last bytes of its body."""
    yield head(options, f"Content-Length: {options.bytes}\r\n")
    yield from _cut(bytes(options.bytes - missing), piece_bytes)


def chunks(options: argparse.Namespace, chunk_bytes: int) -> Pieces:
    """Yield a request in chunks, but for the last byte of the last one."""
    yield head(options, "Transfer-Encoding: chunked\r\n")
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))
    count = max(1, PIECE_BYTES // len(chunk))
    for _ in range(options.bytes // chunk_bytes // count):
        yield chunk * count
    yield chunk[:-3]


def tiny_fields(options: argparse.Namespace) -> Pieces:
    """Yield a head of tiny fields that never ends."""
    start = head(options, "")[:-2]
    yield start
    yield TINY_FIELD * ((options.bytes - len(start)) // len(TINY_FIELD) - 1)


def sent_ahead(options: argparse.Namespace) -> Pieces:
    """Yield small requests without end; nobody reads their answers."""
    while True:
        yield b"".join(head(options, "", "GET") for _ in range(SENT_AHEAD))


def after_rejection(options: argparse.Namespace) -> Pieces:
    """Yield a malformed request, and bytes without end behind it."""
    yield b"GET / HTTP/1.1\r\nno field\r\n\r\n"
    while True:
        yield bytes(PIECE_BYTES)


def one_get(options: argparse.Namespace) -> Pieces:
    """Yield one small request."""
    yield head(options, "", "GET")


KINDS: dict[str, Callable[[argparse.Namespace], Pieces]] = {
    "bodies": body,
    "slow_bodies": lambda options: body(options, SLOW_PIECE_BYTES),
    "whole_bodies": lambda options: body(options, missing=0),
    "large_chunks": lambda options: chunks(options, LARGE_CHUNK_BYTES),
    "small_chunks": lambda options: chunks(options, 2),
    "tiny_fields": tiny_fields,
    "sent_ahead": sent_ahead,
    "after_rejection": after_rejection,
    "unread_answers": one_get,
    "slow_answers": one_get,
    "silent": lambda options: iter(()),
}
"""What one client of each kind sends."""

UNREAD = ("whole_bodies", "sent_ahead", "unread_answers", "slow_answers")
"""Kinds with a small receive buffer, whose answers stay with the daemon."""


class Client:
    """One client: its connection, and what it still sends."""

    def __init__(self, sock: socket.socket, pieces: Pieces) -> None:
        self.sock = sock
        self.pieces = pieces
        self.unsent = b""

    def send(self) -> bool:
        """Send a piece; return false if there is nothing left to send."""
        if not self.unsent:
            self.unsent = next(self.pieces, b"")
        if not self.unsent:
            return False
        sent = self.sock.send(self.unsent)
        self.unsent = self.unsent[sent:]
        return True


def connect(options: argparse.Namespace) -> list[Client]:
    """Open all connections of a crowd; those that the daemon doesn't accept stay out."""
    host, _, port = options.address.rpartition(":")
    clients = []
    for _ in range(options.clients):
        sock = socket.socket()
        if options.kind in UNREAD:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.settimeout(1.0)
        try:
            sock.connect((host, int(port)))
        except OSError:
            sock.close()
            continue
        sock.setblocking(False)
        clients.append(Client(sock, KINDS[options.kind](options)))
    return clients


def run(options: argparse.Namespace) -> None:
    """Run a crowd until standard input ends."""
    selector = selectors.DefaultSelector()
    selector.register(sys.stdin, selectors.EVENT_READ)
    clients = connect(options)
    for client in clients:
        selector.register(client.sock, selectors.EVENT_WRITE, client)
    until, sent_at, settled = time.monotonic() + options.seconds, time.monotonic(), False
    dripped_at = 0.0
    while True:
        for key, _ in selector.select(0.05):
            client = key.data
            if client is None:
                return
            try:
                if not client.send():
                    selector.unregister(client.sock)
                sent_at = time.monotonic()
            except BlockingIOError:
                pass
            except OSError:
                selector.unregister(client.sock)
                client.sock.close()
        at = time.monotonic()
        if options.kind == "slow_answers" and at - dripped_at > DRIP_SECONDS:
            dripped_at = at
            for client in clients:
                with suppress(OSError):
                    client.sock.recv(1)
        if not settled and (at > until or at - sent_at > SETTLED_SECONDS):
            settled = True
            print("settled", flush=True)


class Crowd:
    """A crowd in a process of its own.

    :param address: the address that it connects to.
    :param kind: one of KINDS.
    :param clients: their number.
    :param options: further options of the program, such as ``bytes``, ``path`` and ``key``.
    """

    def __init__(self, address: str, kind: str, clients: int, **options: object) -> None:
        arguments = [sys.executable, "-m", "standins.crowds", address, kind, "--clients", str(clients)]
        for name, value in options.items():
            arguments += [f"--{name}", str(value)]
        self.popen = subprocess.Popen(arguments, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.leave()

    def wait_settled(self) -> None:
        """Wait until nobody can send any more, or the time for sending is over."""
        assert self.popen.stdout is not None
        assert self.popen.stdout.readline() == b"settled\n"

    def leave(self) -> None:
        """Have all clients close their connections."""
        if self.popen.stdin is not None and not self.popen.stdin.closed:
            self.popen.stdin.close()
            self.popen.wait(STOP_TIMEOUT)


def main() -> None:
    """Run the crowd that the command line describes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("--clients", type=int, default=100)
    parser.add_argument("--bytes", type=int, default=1024 * 1024, help="of each body or head")
    parser.add_argument("--seconds", type=float, default=4.0, help="for sending until it counts as settled")
    parser.add_argument("--path", default="/safe/x")
    parser.add_argument("--key", default=KEY)
    parser.add_argument("--host", default=HOST_NAME)
    parser.add_argument("--extra", default="", help="further fields of each head")
    options = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    run(options)


if __name__ == "__main__":
    main()
