"""Connections to backend servers: kept, looked at before use, and used by one call at a time."""

import socket
from collections import deque
from collections.abc import Callable

from bayglade.clock import now
from bayglade.config import parse_address
from bayglade.exceptions import BackendError, BackendSilent, BackendUnreachable, InvalidMessage
from bayglade.http1 import Message, MessageParser
from bayglade.ids import BackendId
from bayglade.logs import event
from bayglade.sockets import is_idle, receive

CONNECT_SECONDS = 0.4
"""A connect takes about two milliseconds on the users' links; a lost packet adds 0.2 s or more."""
USER_TIMEOUT_MS = 2000
"""After this time without an acknowledgement the kernel gives a connection up."""
IDLE_SECONDS = 20.0
"""How long a connection is kept where the server does not say."""
IDLE_MARGIN = 0.5
"""Seconds before the server's own end of an idle connection at which it is no longer used."""
FRESH_SECONDS = 1.0
"""A call that must not be repeated takes only a connection used this lately: one that was
closed in the meantime would leave it open whether the call ran."""
MAX_STRAYS = 2
"""Answers to earlier calls that are read away before the own one."""


class Link:
    """One connection to a backend server; times are monotonic seconds."""

    __slots__ = ("expires_at", "reader", "sock", "used_at")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.reader = MessageParser(True)
        self.used_at = now()
        self.expires_at = self.used_at + IDLE_SECONDS

    def __repr__(self) -> str:
        return f"<Link idle={now() - self.used_at:.1f}>"

    def quiet(self) -> bool:
        """Tell whether nothing came in while it rested: neither its end nor stray bytes."""
        return is_idle(self.sock)


class Links:
    """Connections at rest, by backend server."""

    def __init__(self) -> None:
        self.idle: dict[BackendId, deque[Link]] = {}
        self.opened = 0
        self.on_refused: Callable[[BackendId, str], None] = lambda backend, address: None
        """Told of each server that nobody listens for at its address."""

        self.trusted_from = 0.0
        """Connections that were used last before this time are not used again."""

    def __repr__(self) -> str:
        return f"<Links {sum(len(links) for links in self.idle.values())} idle>"

    def rests(self, backend: BackendId) -> bool:
        """Tell whether a connection to a server rests that may be used."""
        links = self.idle.get(backend)
        return links is not None and len(links) > 0 and self._usable(links[-1])

    def take(
        self,
        backend: BackendId,
        address: str,
        max_idle: float = IDLE_SECONDS,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> Link:
        """Take a connection that rests, or open one.

        :param backend: the server.
        :param address: where it listens.
        :param max_idle: how long the connection may have rested, in seconds; 0 to open one.
        :param connect_seconds: how long opening one may take.
        :return: the connection.
        :raises BackendUnreachable: when none can be opened.
        """
        links = self.idle.get(backend)
        while links and max_idle > 0:
            link = links.pop()
            if self._usable(link) and now() - link.used_at < max_idle and link.quiet():
                return link
            link.sock.close()
        return self._open(backend, address, connect_seconds)

    def probe(self, backend: BackendId, address: str) -> bool:
        """Look whether anybody listens for a server, on a connection that rests afterwards.

        :param backend: the server.
        :param address: where it listens.
        :return: whether somebody does.
        """
        try:
            link = self._open(backend, address, CONNECT_SECONDS)
        except BackendUnreachable as error:
            event("INFO", "server not reached", peer=backend, error=repr(error))
            return False
        self.give_back(backend, link, None)
        return True

    def give_back(self, backend: BackendId, link: Link, keep_seconds: float | None) -> None:
        """Let a connection rest after a whole answer.

        :param backend: the server.
        :param link: the connection.
        :param keep_seconds: how long the server keeps it, if it said so.
        """
        link.used_at = now()
        seconds = IDLE_SECONDS if keep_seconds is None else keep_seconds - IDLE_MARGIN
        link.expires_at = link.used_at + seconds
        self.idle.setdefault(backend, deque()).append(link)

    def distrust(self, before: float) -> None:
        """Use no connection any more that rests since before a time: another one fell silent then.

        What makes one silent without an end, a middlebox that forgot them, say, hits others as well.
        A stream sent anew onto the next silent one runs out of time.

        :param before: when the silent connection was heard last, in monotonic seconds.
        """
        self.trusted_from = max(self.trusted_from, before)

    def _usable(self, link: Link) -> bool:
        return now() < link.expires_at and link.used_at > self.trusted_from

    def drop(self, backend: BackendId) -> None:
        """Close all connections that rest to a server: one of them was silent."""
        for link in self.idle.pop(backend, ()):
            link.sock.close()

    def forget(self, backends: set[BackendId]) -> None:
        """Close connections that rest to servers that are gone, and those past their time.

        :param backends: the servers to keep.
        """
        at = now()
        for backend in list(self.idle):
            links = self.idle[backend]
            keep = deque(link for link in links if backend in backends and at < link.expires_at)
            for link in links:
                if link not in keep:
                    link.sock.close()
            if keep:
                self.idle[backend] = keep
            else:
                del self.idle[backend]

    def _open(self, backend: BackendId, address: str, seconds: float) -> Link:
        where = parse_address(address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            sock.settimeout(seconds)
            sock.connect((where.host, where.port))
        except OSError as error:
            sock.close()
            if isinstance(error, ConnectionRefusedError):
                self.on_refused(backend, address)
            raise BackendUnreachable(f"cannot connect: {error}", step="connect", peer=backend) from error
        except BaseException:
            sock.close()
            raise
        self.opened += 1
        return Link(sock)


class Exchange:
    """One call on a connection: sent, then its answer read piece by piece."""

    __slots__ = ("answer", "backend", "dirty", "link", "links", "sent_at")

    def __init__(self, links: Links, backend: BackendId, link: Link) -> None:
        self.links = links
        self.backend = backend
        self.link = link
        self.answer: Message | None = None
        self.sent_at = 0.0
        """When the request went out, in monotonic seconds."""

        self.dirty = False
        """Whether the connection holds something that belongs to no call."""

    def __repr__(self) -> str:
        return f"<Exchange with {self.backend} {self.answer!r}>"

    def send(self, data: bytes, until: float) -> None:
        """Send the request.

        :param data: head and body.
        :param until: when to give up, in monotonic seconds.
        :raises BackendError: when it broke; parts of it may have arrived.
        """
        self.sent_at = now()
        try:
            self.link.sock.settimeout(max(0.001, until - self.sent_at))
            self.link.sock.sendall(data)
        except OSError as error:
            raise self._broken(f"the send broke: {error}") from error

    def head(self, until: float, own: Callable[[Message], bool]) -> Message:
        """Wait for the head of the answer.

        :param until: when to give up, in monotonic seconds.
        :param own: tells whether an answer belongs to this call.
        :return: the answer, whose body may still be on its way.
        :raises BackendSilent: when it did not come in time.
        :raises BackendError: when the connection broke or holds no answer.
        """
        strays = 0
        while True:
            message = self._first()
            if message is not None and (message.status < 200 or not own(message)):
                # An interim answer, or one to an earlier call: read it away.
                strays += message.status >= 200
                if strays > MAX_STRAYS or message.delimited_by_close:
                    raise self._broken("an answer to another call")
                self._read_away(message, until)
                continue
            if message is not None:
                self.answer = message
                self.dirty = strays > 0
                return message
            if not self.receive(until):
                raise self._broken("the connection ended before an answer")

    def piece(self, until: float) -> bytes | None:
        """Wait for the next piece of the body.

        :param until: when to give up, in monotonic seconds.
        :return: bytes; nothing at the end of the answer.
        :raises BackendSilent: when nothing came in time; one may go on waiting.
        :raises BackendError: when the answer was cut or makes no sense.
        """
        answer = self.answer
        assert answer is not None
        while True:
            if answer.pieces:
                data = b"".join(answer.pieces)
                answer.pieces.clear()
                return data
            if answer.complete:
                return None
            if not self.receive(until):
                if not answer.delimited_by_close:
                    raise self._broken("the answer was cut")
                answer.complete = True
                self.dirty = True

    def close(self, keep_seconds: float | None = None) -> None:
        """Let the connection rest if the answer was read to its end, else close it.

        :param keep_seconds: how long the server keeps it, if it said so.
        """
        answer = self.answer
        whole = answer is not None and answer.complete and not answer.pieces
        clean = whole and not self.dirty and len(self.link.reader.messages) == 1
        if clean and answer is not None and answer.keep_alive and self.link.quiet():
            self.link.reader.messages.clear()
            self.links.give_back(self.backend, self.link, keep_seconds)
        else:
            self.link.sock.close()

    def receive(self, until: float) -> bool:
        """Read once from the connection; tell whether it goes on."""
        try:
            data = receive(self.link.sock, until)
        except TimeoutError as error:
            raise self._silent() from error
        except OSError as error:
            raise self._broken(f"the connection broke: {error}") from error
        if not data:
            return False
        try:
            self.link.reader.feed(data)
        except InvalidMessage as error:
            if self.answer is None or not self.answer.complete:
                raise self._broken(f"no answer in HTTP: {error.message}") from error
            # What follows a whole answer belongs to no request.
            self.dirty = True
        return True

    def _first(self) -> Message | None:
        messages = self.link.reader.messages
        return messages[0] if messages and messages[0].head_complete else None

    def _read_away(self, message: Message, until: float) -> None:
        while not message.complete:
            if not self.receive(until):
                raise self._broken("the connection ended inside an answer to another call")
        self.link.reader.messages.popleft()

    def _silent(self) -> BackendSilent:
        return BackendSilent("no answer in time", step="receive", peer=self.backend)

    def _broken(self, message: str) -> BackendError:
        return BackendError(message, step="receive", peer=self.backend)


def open_exchange(
    links: Links,
    backend: BackendId,
    address: str,
    max_idle: float = IDLE_SECONDS,
    connect_seconds: float = CONNECT_SECONDS,
) -> Exchange:
    """Take a connection for one call.

    :param links: connections at rest.
    :param backend: the server.
    :param address: where it listens.
    :param max_idle: how long a kept connection may have rested, in seconds.
    :param connect_seconds: how long opening one may take.
    :return: the exchange; nothing is sent yet.
    :raises BackendUnreachable: when the server cannot be reached.
    """
    return Exchange(links, backend, links.take(backend, address, max_idle, connect_seconds))
