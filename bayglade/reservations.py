"""Reservations: the servers chosen for a request, and the rate-limit tokens taken from them."""

from collections.abc import Sequence

from bayglade.clock import now
from bayglade.servers import Server, Throttle


class Reservation:
    """The servers that a request runs on, and the rate-limit tokens taken from them for it.

    :param servers: the servers; the request is sent to the first one.
    """

    __slots__ = ("reserved", "servers")

    def __init__(self, servers: tuple[Server, ...]) -> None:
        self.servers = servers
        self.reserved: list[Throttle] = []
        """Rate limits from which a token was taken; empty once the request has been sent."""

    def __repr__(self) -> str:
        return f"<Reservation on {[server.facts.id for server in self.servers]}>"

    def take(self, before: Sequence[Server] = ()) -> None:
        """Take a token from the rate limit of each server that has one.

        :param before: servers that run it already.
        """
        at = now()
        throttles = [server.throttle for server in self.servers if server not in before]
        self.reserved = [throttle for throttle in throttles if throttle is not None and throttle.take(at)]

    def release(self) -> None:
        """Release the servers, and return the tokens if the request was not sent."""
        for throttle in self.reserved:
            throttle.return_token()
        self.reserved = []

    def admits(self, server: Server) -> bool:
        """Tell whether the rate limit of a server allows the request to be sent through it."""
        return server.throttle is None or server.throttle in self.reserved

    def mark_sent(self) -> None:
        """Note that the request has been sent, so that its tokens are used up."""
        self.reserved = []
