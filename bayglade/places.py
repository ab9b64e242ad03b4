"""Places: what a request takes of servers, from when they are chosen until it leaves them."""

from collections.abc import Sequence

from bayglade.clock import now
from bayglade.servers import Server, Throttle


class Place:
    """The servers that a request goes over, and what was taken of their limits for it.

    :param servers: the servers; it is sent to the first.
    """

    __slots__ = ("reserved", "servers")

    def __init__(self, servers: tuple[Server, ...]) -> None:
        self.servers = servers
        self.reserved: list[Throttle] = []
        """Limits out of which the request was taken, until it goes out."""

    def __repr__(self) -> str:
        return f"<Place on {[server.facts.id for server in self.servers]}>"

    def take(self, before: Sequence[Server] = ()) -> None:
        """Take the request out of the limits of its servers.

        :param before: servers that run it already.
        """
        at = now()
        throttles = [server.throttle for server in self.servers if server not in before]
        self.reserved = [throttle for throttle in throttles if throttle is not None and throttle.take(at)]

    def release(self) -> None:
        """Leave the servers; a request that did not go out is given back to their limits."""
        for throttle in self.reserved:
            throttle.give_back()
        self.reserved = []

    def admits(self, server: Server) -> bool:
        """Tell whether the request may go out over a server, as far as the server's limit goes."""
        return server.throttle is None or server.throttle in self.reserved

    def sent(self) -> None:
        """Note that the request went out."""
        self.reserved = []
