"""Computes which layers of a model each backend server should hold.

Within each data hall, the servers form chains that hold all layers, so that no
token has to cross to another hall. Where memory allows, two servers of the same
kind hold the same layers: each usually runs half of the requests for them, and
all of them when the other one is lost. :mod:`bayglade.repair` replaces lost
layers. The functions have no side effects; see ``docs/design/placement.md``.
"""

from collections.abc import Collection, Iterator, Sequence

import msgspec

from bayglade.ids import BackendId, HallName
from bayglade.pipelines import Pipeline
from bayglade.servers import ServerFacts

PAIR_CAPACITY_SHARE = 0.5
"""Share of a pair's requests that each of its servers runs. Only this share is sure to fit when the
other server is lost."""
MIN_PAIRED_CAPACITY = 0.57
"""Minimum token capacity of a layout with pairs, as a fraction of that of the same chain without pairs.
Losing an unpaired server stops all streams of a hall, and losing one of a pair half of them; with less
capacity than this, a hall rejects requests."""
CAPACITY_SHRINK_FACTOR = 0.75
MIN_CAPACITY = 0.1
"""Where the model does not fit otherwise, the token capacity is reduced by ``CAPACITY_SHRINK_FACTOR`` at a
time, down to this fraction of the configured capacity."""
CAPACITY_STEP = 0.95
FAST_CHAIN_CAPACITY = 1.5
"""Token capacity of the chain of the fastest servers, as a multiple of the configured capacity, provided
that a second chain can be formed. Most requests of a hall go to this chain: with less capacity, bursts
fill it and answers begin late; with more, it includes slower servers than necessary."""
SAME_SPEED_RATIO = 1.3
"""Accelerator kinds whose step times differ by less than this factor share layers evenly."""


class Span(msgspec.Struct, frozen=True):
    """The layers ``[first, last)``."""

    first: int
    last: int

    @property
    def length(self) -> int:
        """Return the number of layers."""
        return self.last - self.first


Spans = dict[BackendId, Span]


def tile_fleet(servers: Sequence[ServerFacts], pipeline: Pipeline) -> Spans:
    """Compute a layout for a whole fleet from scratch.

    :param servers: servers that may hold layers.
    :param pipeline: properties of the model.
    :return: the span of each server; servers that no chain can use are left out.
    """
    spans: Spans = {}
    for group in group_servers(servers, pipeline):
        spans.update(tile_group(group, pipeline))
    return spans


def group_servers(
    servers: Sequence[ServerFacts], pipeline: Pipeline, kept: Collection[HallName] = ()
) -> list[list[ServerFacts]]:
    """Divide a fleet into one group per hall that can hold the model alone, and one group of the rest.

    :param servers: servers that may hold layers.
    :param pipeline: properties of the model.
    :param kept: halls that are groups of their own although they cannot hold the model now.
    :return: groups of servers that are to hold the model together.
    """
    able = able_halls(servers, pipeline) | set(kept)
    halls = _servers_by_hall(servers, pipeline)
    rest = [server for hall, listed in halls.items() if hall not in able for server in listed]
    alone = [listed for hall, listed in halls.items() if hall in able]
    return [*alone, rest] if rest else alone


def able_halls(servers: Sequence[ServerFacts], pipeline: Pipeline) -> set[HallName]:
    """Return the halls that can hold the model alone.

    :param servers: servers that may hold layers.
    :param pipeline: properties of the model.
    """
    halls = _servers_by_hall(servers, pipeline)
    return {hall for hall, listed in halls.items() if _feasible_capacity(listed, pipeline) is not None}


def _servers_by_hall(
    servers: Sequence[ServerFacts], pipeline: Pipeline
) -> dict[HallName, list[ServerFacts]]:
    halls: dict[HallName, list[ServerFacts]] = {}
    for server in servers:
        if server.accelerator in pipeline.accelerators:
            halls.setdefault(server.hall, []).append(server)
    return halls


def tile_group(servers: Sequence[ServerFacts], pipeline: Pipeline, pair_servers: bool = True) -> Spans:
    """Compute a layout for one group of servers.

    :param servers: the group.
    :param pipeline: properties of the model.
    :param pair_servers: whether to pair servers if the group forms only one chain.
    :return: the span of each server; empty if the servers cannot hold the model.
    """
    capacity = _feasible_capacity(servers, pipeline)
    if capacity is None:
        return {}
    chains = _split_into_chains(servers, pipeline, capacity)
    if pair_servers and len(chains) == 1:
        return _assign_spans(_choose_pairing(chains[0], pipeline), pipeline)
    spans: Spans = {}
    for chain in chains:
        # The group can lose any one server, because the other chains take over its requests.
        spans.update(_assign_spans(_unpaired_units(chain, pipeline), pipeline))
    return spans


def max_layers(server: ServerFacts, pipeline: Pipeline, capacity: float) -> int:
    """Return how many layers a server may hold.

    :param server: the server, of a kind that the model runs on.
    :param pipeline: properties of the model.
    :param capacity: token capacity to keep, as a fraction of the configured one.
    """
    assert server.accelerator is not None
    return pipeline.max_layers(server.accelerator, capacity * pipeline.token_capacity)


def _feasible_capacity(servers: Sequence[ServerFacts], pipeline: Pipeline) -> float | None:
    """Return the largest token capacity, as a fraction of the configured one, at which the model fits."""
    capacity = 1.0
    while capacity >= MIN_CAPACITY:
        if sum(max_layers(server, pipeline, capacity) for server in servers) >= pipeline.layers:
            return capacity
        capacity *= CAPACITY_SHRINK_FACTOR
    return None


def _split_into_chains(
    servers: Sequence[ServerFacts], pipeline: Pipeline, capacity: float
) -> list[list[ServerFacts]]:
    """Divide a group into chains that each hold the model.

    If the kinds differ in speed and more than one chain results, the fastest servers form a chain of their
    own; otherwise as many chains as possible are formed, of about equal size.

    Requests of a hall are distributed over its servers by path cost. If fast and slow kinds were mixed in
    each chain, every path would have stages of both, and each token would take as long as on the slow
    ones: 65 to 95 ms for an event of five tokens, against 30 to 41 ms with the fastest servers in a chain
    of their own (three halls of three kinds, step factors 2.4, 5.3 and 16). A path then has 3 to 6 stages
    instead of 7 to 12, each of which may fail, and fewer streams run when one does.
    """
    fast = _fast_chains(servers, pipeline, FAST_CHAIN_CAPACITY * capacity)
    if len(fast) > 1:
        return fast
    most = {server.id: max_layers(server, pipeline, capacity) for server in servers}
    ordered = sorted((s for s in servers if most[s.id]), key=lambda s: (-most[s.id], s.id))
    count = sum(most.values()) // pipeline.layers
    while count > 1:
        chains: list[list[ServerFacts]] = [[] for _ in range(count)]
        sums = [0] * count
        for server in ordered:
            least = sums.index(min(sums))
            chains[least].append(server)
            sums[least] += most[server.id]
        if min(sums) >= pipeline.layers:
            return chains
        count -= 1
    return [ordered]


def _fast_chains(
    servers: Sequence[ServerFacts], pipeline: Pipeline, capacity: float
) -> list[list[ServerFacts]]:
    """Divide a group into chains, starting with the fastest servers.

    :return: chains that hold the model, with the leftover servers added to the last, slowest one; empty
        if all servers have about the same speed.
    """

    def factor(server: ServerFacts) -> float:
        return pipeline.accelerators[server.accelerator or ""].step_factor

    if max(map(factor, servers)) < SAME_SPEED_RATIO * min(map(factor, servers)):
        return []
    chains: list[list[ServerFacts]] = []
    chain: list[ServerFacts] = []
    layers = 0
    for server in sorted(servers, key=lambda s: (factor(s), -max_layers(s, pipeline, capacity), s.id)):
        chain.append(server)
        layers += max_layers(server, pipeline, capacity)
        if layers >= pipeline.layers:
            chains.append(chain)
            chain, layers = [], 0
    if chains:
        chains[-1].extend(chain)
    return chains


class _Unit:
    """One server, or a pair of servers that hold the same layers so that either can be lost."""

    __slots__ = ("max_layers", "servers")

    def __init__(self, servers: tuple[ServerFacts, ...], max_layers: int) -> None:
        self.servers = servers
        self.max_layers = max_layers

    def current_midpoint(self) -> float:
        """Return the midpoint of the layers that its servers hold now."""
        return sum(s.first + s.last for s in self.servers) / (2 * len(self.servers))


def _unpaired_units(chain: Sequence[ServerFacts], pipeline: Pipeline) -> list[_Unit]:
    """Make a unit of each server, with the fewest layers per server, so that the most requests fit."""
    for capacity in _candidate_capacities(chain, pipeline):
        most = [max_layers(server, pipeline, capacity) for server in chain]
        if sum(most) >= pipeline.layers:
            return [_Unit((server,), bound) for server, bound in zip(chain, most, strict=True)]
    return []


def _choose_pairing(chain: Sequence[ServerFacts], pipeline: Pipeline) -> list[_Unit]:
    """Pair as many servers of a chain as possible without reducing its token capacity too far."""
    found: list[_Unit] = []
    most_paired, least = -1, 0.0
    for capacity in _candidate_capacities(chain, pipeline):
        units = _pair_servers(chain, pipeline, capacity)
        if not units:
            continue
        least = least or MIN_PAIRED_CAPACITY * capacity
        if capacity < least:
            break
        paired = sum(len(unit.servers) > 1 for unit in units)
        if paired > most_paired:
            most_paired, found = paired, units
    return found


def _candidate_capacities(chain: Sequence[ServerFacts], pipeline: Pipeline) -> Iterator[float]:
    """Yield token capacities, as fractions of the configured one, in descending order.

    The first is the largest that the servers' slots can use, but not less than the configured capacity.
    """
    slots = min(server.slots for server in chain)
    capacity = max(1.0, slots * pipeline.typical_tokens / pipeline.token_capacity)
    while capacity > MIN_CAPACITY:
        yield capacity
        capacity *= CAPACITY_STEP


def _pair_servers(chain: Sequence[ServerFacts], pipeline: Pipeline, capacity: float) -> list[_Unit]:
    """Pair as many servers of a chain as the remaining memory allows, cheapest kinds first.

    :return: the units; empty if the chain cannot hold the model with this token capacity.
    """
    by_kind: dict[str, list[ServerFacts]] = {}
    for server in sorted(chain, key=lambda s: ((s.first + s.last) / 2, s.id)):
        by_kind.setdefault(server.accelerator or "", []).append(server)
    alone = {kind: max_layers(servers[0], pipeline, capacity) for kind, servers in by_kind.items()}
    paired = {
        kind: max_layers(servers[0], pipeline, capacity * PAIR_CAPACITY_SHARE)
        for kind, servers in by_kind.items()
    }
    slack = sum(alone[kind] * len(servers) for kind, servers in by_kind.items()) - pipeline.layers
    if slack < 0:
        return []
    units: list[_Unit] = []
    for kind in sorted(by_kind, key=lambda kind: (2 * alone[kind] - paired[kind], kind)):
        servers = by_kind[kind]
        cost = 2 * alone[kind] - paired[kind]
        while len(servers) >= 2 and cost <= slack:
            units.append(_Unit((servers.pop(), servers.pop()), paired[kind]))
            slack -= cost
        units.extend(_Unit((server,), alone[kind]) for server in servers)
    return units


def _assign_spans(units: Sequence[_Unit], pipeline: Pipeline) -> Spans:
    """Assign consecutive spans to the units of a chain, covering all layers."""
    lengths = _layer_counts(units, pipeline)
    # Keeping the order of what they hold now moves the fewest layers.
    order = sorted(range(len(units)), key=lambda i: (units[i].current_midpoint(), i))
    spans: Spans = {}
    position = 0
    for i in order:
        span = Span(position, position + lengths[i])
        position = span.last
        if span.length:
            spans.update((server.id, span) for server in units[i].servers)
    return spans


def _layer_counts(units: Sequence[_Unit], pipeline: Pipeline) -> list[int]:
    """Return the number of layers of each unit.

    The fastest kinds get as many layers as they can hold; kinds of about the same speed share evenly.
    """
    left = pipeline.layers
    lengths = [0] * len(units)
    for tier in _speed_tiers(units, pipeline):
        most = [units[i].max_layers for i in tier]
        assigned = min(left, sum(most))
        for i, length in zip(tier, _apportion(assigned, most), strict=True):
            lengths[i] = length
        left -= assigned
    return lengths


def _speed_tiers(units: Sequence[_Unit], pipeline: Pipeline) -> list[list[int]]:
    def factor(i: int) -> float:
        return pipeline.accelerators[units[i].servers[0].accelerator or ""].step_factor

    tiers: list[list[int]] = []
    for i in sorted(range(len(units)), key=lambda i: (factor(i), i)):
        if tiers and factor(i) < SAME_SPEED_RATIO * factor(tiers[-1][0]):
            tiers[-1].append(i)
        else:
            tiers.append([i])
    return tiers


def _apportion(total: int, bounds: Sequence[int]) -> list[int]:
    """Divide a number in proportion to upper bounds, by the largest-remainder method."""
    whole = sum(bounds)
    exact = [total * bound / whole for bound in bounds]
    parts = [int(value) for value in exact]
    by_remainder = sorted(range(len(bounds)), key=lambda i: parts[i] - exact[i])
    for i in by_remainder[: total - sum(parts)]:
        parts[i] += 1
    return parts


def count_holders(counts: list[int], span: Span, by: int = 1) -> None:
    """Add holders of a span to the number of holders of each layer.

    :param counts: number of holders by layer; changed in place.
    :param span: the layers held.
    :param by: number of holders to add; negative to remove them.
    """
    for layer in range(span.first, min(span.last, len(counts))):
        counts[layer] += by
