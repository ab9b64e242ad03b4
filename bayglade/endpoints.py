"""Endpoints: the service and the request policy for a host name and a path prefix."""

import random
from collections.abc import Iterable

import msgspec

from bayglade.exceptions import NoRoute, NotFound
from bayglade.ids import ServiceName


class Target(msgspec.Struct, frozen=True):
    """A service that receives a weighted share of an endpoint's requests."""

    service: ServiceName
    weight: float = 1.0


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """A host name and a path prefix, with the policy for requests to them.

    Times are in seconds. ``repeatable`` requests may run more than once;
    ``resumable`` streams may continue on another backend server after the last
    event that was delivered. ``aim`` is the operator's target for the time to
    the answer, or to the first event; ``gap_aim`` that for the longest pause
    between events.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    timeout: float
    aim: float
    gap_aim: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    repeatable: bool = False
    streamed: bool = False
    resumable: bool = False
    public: bool = False

    def choose(self, rng: random.Random) -> ServiceName:
        """Choose the service for a request, at random by weight.

        :param rng: the source of randomness.
        :return: the chosen service.
        :raises NoRoute: if no service has a share of its requests.
        """
        targets = [target for target in self.targets if target.weight > 0]
        if not targets:
            raise NoRoute("no service is configured for this endpoint", step="route")
        if len(targets) == 1:
            return targets[0].service
        return rng.choices(targets, [target.weight for target in targets])[0].service


class Endpoints:
    """The endpoints of one settings revision, indexed by host name and prefix."""

    def __init__(self, endpoints: Iterable[Endpoint]) -> None:
        self.by_host: dict[str, dict[str, Endpoint]] = {}
        for endpoint in endpoints:
            self.by_host.setdefault(endpoint.host, {})[endpoint.prefix] = endpoint

    def __repr__(self) -> str:
        return f"<Endpoints of {len(self.by_host)} hosts>"

    def find(self, host: str, target: str) -> Endpoint:
        """Find the endpoint with the longest prefix that matches a path.

        :param host: the requested host name; a port is ignored.
        :param target: the request target: the path, and the query if any.
        :return: the endpoint.
        :raises NotFound: if no endpoint matches.
        """
        prefixes = self.by_host.get(host.partition(":")[0].lower())
        path = target.partition("?")[0]
        while prefixes and path:
            # Prefixes end with a slash, so shorten the path to its last slash.
            path = path[: path.rfind("/") + 1]
            if path in prefixes:
                return prefixes[path]
            path = path[:-1]
        raise NotFound("no endpoint for this host and path", step="route", peer="caller")
