"""TCP proxies on the loopback interface that delay, reset or silence connections."""

import asyncio
import struct
import threading
from contextlib import suppress
from socket import SO_LINGER, SOL_SOCKET

HOST = "127.0.0.1"
READ_BYTES = 64 * 1024
HOLD_POLL_SECONDS = 0.02


class Link:
    """The faults of one proxied address; they apply to all connections, including open ones."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay = 0.0
        """Delay in seconds, in each direction."""

        self.mute_up = False
        """Whether bytes towards the target are held back."""

        self.mute_down = False
        """Whether bytes from the target are held back."""

        self.opened = 0
        """Number of connections so far."""

        self.silenced = 0
        """Connections up to this number stay open but pass no more bytes."""

        self.writers: set[asyncio.StreamWriter] = set()

    def __repr__(self) -> str:
        return f"<Link {self.address} to {self.target}>"

    def silence(self) -> None:
        """Silence all open connections for good; later ones are not affected."""
        self.silenced = self.opened

    def heal(self) -> None:
        """End delays and silence, except on connections silenced for good."""
        self.delay = 0.0
        self.mute_up = self.mute_down = False


class Proxies:
    """A set of proxies that share one thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.links: dict[str, Link] = {}
        """By target, the one opened last."""

        self.by_address: dict[str, Link] = {}

    def __repr__(self) -> str:
        return f"<Proxies {len(self.links)} links>"

    def front(self, target: str) -> str:
        """Open a proxy in front of an address.

        :param target: the address, as ``host:port``.
        :return: the address of the proxy.
        """
        link = Link(target)
        asyncio.run_coroutine_threadsafe(self._open(link), self.loop).result(10)
        self.links[target] = self.by_address[link.address] = link
        return link.address

    def reset(self, link: Link) -> None:
        """Reset all connections of a link."""
        self.loop.call_soon_threadsafe(_reset_all, link)

    def stop(self) -> None:
        """Close all proxies."""
        asyncio.run_coroutine_threadsafe(_cancel_all(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()

    async def _open(self, link: Link) -> None:
        server = await asyncio.start_server(lambda r, w: _serve(link, r, w), HOST, 0, backlog=256)
        host, port = server.sockets[0].getsockname()
        link.address = f"{host}:{port}"


async def _serve(link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    host, _, port = link.target.rpartition(":")
    while link.mute_up:
        await asyncio.sleep(HOLD_POLL_SECONDS)
    try:
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
    except OSError:
        _reset(writer)
        return
    link.opened += 1
    number = link.opened
    both = {writer, target_writer}
    link.writers |= both
    try:
        await asyncio.gather(
            _pump(link, number, reader, target_writer, upwards=True),
            _pump(link, number, target_reader, writer, upwards=False),
        )
    except asyncio.CancelledError:
        # The proxies are being closed; nothing awaits this task.
        return
    finally:
        link.writers -= both
        for each in both:
            each.close()


async def _pump(
    link: Link, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, upwards: bool
) -> None:
    try:
        while data := await reader.read(READ_BYTES):
            if link.delay:
                await asyncio.sleep(link.delay)
            while number <= link.silenced or (link.mute_up if upwards else link.mute_down):
                await asyncio.sleep(HOLD_POLL_SECONDS)
            writer.write(data)
            await writer.drain()
        with suppress(OSError):
            writer.write_eof()
    except (OSError, RuntimeError):
        # A reset of one side is passed on to the other.
        _reset(writer)


async def _cancel_all() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _reset_all(link: Link) -> None:
    for writer in list(link.writers):
        _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
