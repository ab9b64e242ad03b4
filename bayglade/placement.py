"""Decides which weight version each backend server should hold, and sends the orders for it.

The daemon that holds the placement lease compares the versions that servers
report with the ones that the settings want, and orders the difference. It
starts few loads at once, because the weight store is rate-limited, and always
leaves enough servers for each range of layers. An order names the desired
state, so repeating it is harmless, and carries the epoch of the lease, so that
servers can reject orders of an earlier holder.
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
PROBES_PER_ROUND = 8
ANNOUNCE_SECONDS = 30.0
"""For how long other daemons are told that a server holds a new version."""
FENCED_LEASE_MARGIN = 0.5
UNFENCED_LEASE_MARGIN = 2.0
"""Seconds of the lease that must be left when an order is sent. The margin is larger for servers that do
not check the epoch of an order."""

LayerRange = tuple[ModelName, int, int]
"""A model and its layers ``[first, last)``. Servers with the same range can replace each other."""


class VersionReport(msgspec.Struct, frozen=True):
    """What a server reports of itself: the versions it serves, and whether it is loading one."""

    versions: tuple[Version, ...]
    loading: bool = False


class VersionOrder(msgspec.Struct, frozen=True):
    """An order to one server to hold exactly one version."""

    backend: BackendId
    version: Version


def wanted_versions(tree: Tree) -> dict[ModelName, list[Version]]:
    """List the versions of each model that any level of the tree wants.

    :param tree: the settings.
    :return: versions by model, starting with the model's own version.
    """
    wanted = {name: [model.version] for name, model in tree.models.items()}
    for _, level in walk(tree.root):
        for model, version in level.versions.items():
            if version not in wanted[model]:
                wanted[model].append(version)
    return wanted


def assign_versions(tree: Tree) -> dict[BackendId, Version]:
    """Assign a version to each server.

    The servers of each range get the wanted versions in rotation, so that every
    version has a server in each range with enough servers.

    :param tree: the settings.
    :return: the version that each server should hold.
    """
    wanted = wanted_versions(tree)
    assigned: dict[BackendId, Version] = {}
    for (model, _, _), servers in servers_by_range(tree).items():
        versions = wanted[model]
        for index, backend in enumerate(servers):
            assigned[backend] = versions[index % len(versions)]
    return assigned


def servers_by_range(tree: Tree) -> dict[LayerRange, list[BackendId]]:
    """Group the servers by their range of layers, in the order of their names."""
    groups: dict[LayerRange, list[BackendId]] = {}
    for backend in sorted(tree.backends):
        facts = tree.backends[backend]
        groups.setdefault((facts.model, facts.first, facts.last), []).append(backend)
    return groups


def next_orders(tree: Tree, reports: Mapping[BackendId, VersionReport]) -> list[VersionOrder]:
    """Compute the orders that may be sent now.

    :param tree: the settings.
    :param reports: recent reports; a server without one gets no order.
    :return: orders, within the limits on concurrent loads and on servers out of service.
    """
    assigned = assign_versions(tree)
    free = tree.placement.loads_at_once - sum(report.loading for report in reports.values())
    orders: list[VersionOrder] = []
    for servers in servers_by_range(tree).values():
        for order in _orders_of_range(servers, assigned, reports, tree.placement.keep_part):
            if len(orders) >= free:
                return orders
            orders.append(order)
    return orders


def _orders_of_range(
    servers: Sequence[BackendId],
    assigned: Mapping[BackendId, Version],
    reports: Mapping[BackendId, VersionReport],
    keep_part: float,
) -> list[VersionOrder]:
    serving = sum(1 for backend in servers if backend in reports and not reports[backend].loading)
    # At least one server must be allowed to stop serving, or a rollout would never finish.
    keep = min(len(servers) - 1, max(1, round(len(servers) * keep_part)))
    spare = serving - keep
    orders = []
    for backend in servers:
        report = reports.get(backend)
        if report is None or report.loading or report.versions == (assigned[backend],):
            continue
        # Reloading a server that serves no version does not reduce the routes.
        if report.versions and spare <= 0:
            continue
        spare -= bool(report.versions)
        orders.append(VersionOrder(backend, assigned[backend]))
    return orders


class Placer:
    """Sends placement orders while this daemon holds the lease."""

    def __init__(self, lease: Lease, engines: Engines, backends: Backends, metrics: Metrics) -> None:
        self.lease = lease
        self.engines = engines
        self.backends = backends
        self.metrics = metrics
        self.accepted: dict[BackendId, AcceptedOrder] = {}

    def __repr__(self) -> str:
        return f"<Placer {self.lease!r}>"

    def run_once(self, tree: Tree) -> None:
        """Compare what servers hold with the settings, and send the orders that are due.

        :param tree: the settings in force.
        :raises PlatformUnavailable: when the lease cannot be read or written.
        """
        outdated = self._outdated(tree)
        if not outdated:
            self.lease.release()
            return
        if not self.lease.acquire_or_renew():
            return
        self._probe(outdated[:PROBES_PER_ROUND])
        for order in next_orders(tree, self._reports()):
            self._send(tree, order)

    def recently_confirmed(self) -> list[HeldVersion]:
        """List the servers that recently reported holding the ordered version, for the other daemons."""
        at = now()
        return [
            HeldVersion(backend, order.version)
            for backend, order in self.accepted.items()
            if order.confirmed and at - order.at < ANNOUNCE_SECONDS
        ]

    def _outdated(self, tree: Tree) -> list[BackendId]:
        assigned = assign_versions(tree)
        states = self.backends.states
        return [b for b, version in assigned.items() if b in states and states[b].versions() != (version,)]

    def _reports(self) -> dict[BackendId, VersionReport]:
        return {
            state.id: VersionReport(tuple(state.reported.versions), state.reported.loading)
            for state in self.backends.states.values()
            if state.reported is not None and not state.leaving
        }

    def _probe(self, backends: Sequence[BackendId]) -> None:
        for backend in backends:
            load = self.engines.load(self.backends.states[backend].facts.address)
            if load is None:
                continue
            self.backends.apply_report(backend, load)
            order = self.accepted.get(backend)
            if order is not None and tuple(load.versions) == (order.version,):
                order.confirmed, order.at = True, now()

    def _send(self, tree: Tree, order: VersionOrder) -> None:
        facts = tree.backends[order.backend]
        # Checked right before sending: a process that was suspended may have lost the lease meanwhile.
        margin = FENCED_LEASE_MARGIN if facts.checks_orders else UNFENCED_LEASE_MARGIN
        if self.lease.seconds_left() < margin:
            return
        message = HoldVersion(self.lease.epoch, facts.model, order.version)
        taken = self.engines.order(facts.address, message)
        self.metrics.count("orders.taken" if taken else "orders.failed")
        event("INFO", "order given", peer=order.backend, version=order.version, taken=taken)
        if taken:
            self.accepted[order.backend] = AcceptedOrder(order.version)
            self._probe([order.backend])


class AcceptedOrder:
    """An order that a server accepted; ``confirmed`` once the server reports holding the version."""

    __slots__ = ("at", "confirmed", "version")

    def __init__(self, version: Version) -> None:
        self.version = version
        self.confirmed = False
        self.at = now()

    def __repr__(self) -> str:
        return f"<AcceptedOrder {self.version} confirmed={self.confirmed}>"
