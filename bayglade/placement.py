"""Placement: which versions each backend server should hold, and the orders for it.

The daemon that holds the placement lease compares what servers say they hold
with what the settings want, and orders the difference: few loads at once, since
the weight store is rate-limited, and never so many that too few servers are
left for a range of layers. Orders name the wanted state, so a repeat is
harmless, and carry the lease's epoch, so that servers can refuse an old holder.
"""

from collections.abc import Mapping, Sequence

import msgspec

from bayglade.backends import Backends
from bayglade.clock import now
from bayglade.engines import Engines
from bayglade.engines.wire import HoldVersion
from bayglade.entries.wire import HeldVersion
from bayglade.ids import BackendId, ModelName, Version
from bayglade.leases import Lease
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.settings import Tree, walk

LEASE_NAME = "placement"
PROBES_A_ROUND = 8
TELL_SECONDS = 30.0
CHECKED_MARGIN = 0.5
UNCHECKED_MARGIN = 2.0
"""Seconds of the lease that must be left: more where a server takes any order."""

Range = tuple[ModelName, int, int]
"""Servers that hold the same layers ``[first, last)`` of a model stand in for each other."""


class Holding(msgspec.Struct, frozen=True):
    """What a server says of itself: the versions it serves, and whether it loads."""

    versions: tuple[Version, ...]
    loading: bool = False


class Order(msgspec.Struct, frozen=True):
    """One server is to hold just one version."""

    backend: BackendId
    version: Version


def wanted_versions(tree: Tree) -> dict[ModelName, list[Version]]:
    """List the versions of each model that any level of the tree wants.

    :param tree: the settings.
    :return: versions by model, the model's own first.
    """
    wanted = {name: [model.version] for name, model in tree.models.items()}
    for _, level in walk(tree.root):
        for model, version in level.versions.items():
            if version not in wanted[model]:
                wanted[model].append(version)
    return wanted


def assign(tree: Tree) -> dict[BackendId, Version]:
    """Assign a version to each server, alike within each range of layers.

    Servers of one range are dealt out to the wanted versions in turn, so every
    version has a server in each range that has servers enough.

    :param tree: the settings.
    :return: the version each server should hold.
    """
    wanted = wanted_versions(tree)
    assigned: dict[BackendId, Version] = {}
    for (model, _, _), servers in ranges(tree).items():
        versions = wanted[model]
        for place, backend in enumerate(servers):
            assigned[backend] = versions[place % len(versions)]
    return assigned


def ranges(tree: Tree) -> dict[Range, list[BackendId]]:
    """Group the servers by what they can hold, in the order of their names."""
    groups: dict[Range, list[BackendId]] = {}
    for backend in sorted(tree.backends):
        facts = tree.backends[backend]
        groups.setdefault((facts.model, facts.first, facts.last), []).append(backend)
    return groups


def next_orders(tree: Tree, holdings: Mapping[BackendId, Holding]) -> list[Order]:
    """Work out which orders may be given now.

    :param tree: the settings.
    :param holdings: what servers said lately; a server that said nothing is left alone.
    :return: orders, few enough for the weight store and for the routes left.
    """
    assigned = assign(tree)
    free = tree.placement.loads_at_once - sum(holding.loading for holding in holdings.values())
    orders: list[Order] = []
    for servers in ranges(tree).values():
        for order in _orders_of_range(servers, assigned, holdings, tree.placement.keep_part):
            if len(orders) >= free:
                return orders
            orders.append(order)
    return orders


def _orders_of_range(
    servers: Sequence[BackendId],
    assigned: Mapping[BackendId, Version],
    holdings: Mapping[BackendId, Holding],
    keep_part: float,
) -> list[Order]:
    serving = sum(1 for backend in servers if backend in holdings and not holdings[backend].loading)
    # One server must be free to go, or a roll would never end.
    keep = min(len(servers) - 1, max(1, round(len(servers) * keep_part)))
    spare = serving - keep
    orders = []
    for backend in servers:
        holding = holdings.get(backend)
        if holding is None or holding.loading or holding.versions == (assigned[backend],):
            continue
        # A server that serves nothing costs no route.
        if holding.versions and spare <= 0:
            continue
        spare -= bool(holding.versions)
        orders.append(Order(backend, assigned[backend]))
    return orders


class Placer:
    """Gives the orders of placement while this daemon holds the lease."""

    def __init__(self, lease: Lease, engines: Engines, backends: Backends, metrics: Metrics) -> None:
        self.lease = lease
        self.engines = engines
        self.backends = backends
        self.metrics = metrics
        self.placed: dict[BackendId, Placed] = {}

    def __repr__(self) -> str:
        return f"<Placer {self.lease!r}>"

    def run_once(self, tree: Tree) -> None:
        """Look at what servers hold and order what is missing.

        :param tree: the settings in force.
        :raises PlatformUnavailable: when the lease cannot be kept.
        """
        late = self._differing(tree)
        if not late:
            self.lease.release()
            return
        if not self.lease.keep():
            return
        self._probe(late[:PROBES_A_ROUND])
        for order in next_orders(tree, self._holdings()):
            self._give(tree, order)

    def recent(self) -> list[HeldVersion]:
        """List the servers that came to hold a version lately, for the other daemons."""
        at = now()
        return [
            HeldVersion(backend, placed.version)
            for backend, placed in self.placed.items()
            if placed.done and at - placed.at < TELL_SECONDS
        ]

    def _differing(self, tree: Tree) -> list[BackendId]:
        assigned = assign(tree)
        states = self.backends.states
        return [b for b, version in assigned.items() if b in states and states[b].versions() != (version,)]

    def _holdings(self) -> dict[BackendId, Holding]:
        return {
            state.id: Holding(tuple(state.reported.versions), state.reported.loading)
            for state in self.backends.states.values()
            if state.reported is not None and not state.leaving
        }

    def _probe(self, backends: Sequence[BackendId]) -> None:
        for backend in backends:
            load = self.engines.load(self.backends.states[backend].facts.address)
            if load is None:
                continue
            self.backends.report(backend, load)
            placed = self.placed.get(backend)
            if placed is not None and tuple(load.versions) == (placed.version,):
                placed.done, placed.at = True, now()

    def _give(self, tree: Tree, order: Order) -> None:
        facts = tree.backends[order.backend]
        # The last look before the send: a holder that was stopped must not act.
        margin = CHECKED_MARGIN if facts.checks_orders else UNCHECKED_MARGIN
        if self.lease.seconds_left() < margin:
            return
        message = HoldVersion(self.lease.epoch, facts.model, order.version)
        taken = self.engines.order(facts.address, message)
        self.metrics.count("orders.taken" if taken else "orders.failed")
        event("INFO", "order given", peer=order.backend, version=order.version, taken=taken)
        if taken:
            self.placed[order.backend] = Placed(order.version)
            self._probe([order.backend])


class Placed:
    """An order that a server took; ``done`` once the server says it holds the version."""

    __slots__ = ("at", "done", "version")

    def __init__(self, version: Version) -> None:
        self.version = version
        self.done = False
        self.at = now()

    def __repr__(self) -> str:
        return f"<Placed {self.version} done={self.done}>"
