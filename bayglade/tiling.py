"""Tiling: which layers each backend server should hold.

In each data hall the servers form chains that hold all layers, so that no
token crosses to another hall. Where memory allows, two servers of a kind hold
the same layers: each usually runs half of them, and all of them when the other
is gone. Losses are made good in :mod:`bayglade.repair`. Plain functions; see
``docs/design/placement.md``.
"""

from collections.abc import Iterator, Sequence

import msgspec

from bayglade.ids import BackendId, HallName
from bayglade.pipelines import Pipeline
from bayglade.servers import ServerFacts

PAIR_LEFT = 0.5
"""Part of the requests of a pair that each of the two runs, and that fits when the other is gone."""
KEPT_ROOM = 0.57
"""Part of the room of a layout without pairs that one with pairs keeps. A loss stops all streams of
a hall on a server that is alone, and half of them on one of a pair; with less room a hall turns
requests away."""
TIGHTER = 0.75
LEAST_ROOM = 0.1
"""Where the model does not fit otherwise, the room for tokens shrinks in these steps, to this part."""
ROOM_STEP = 0.95
QUICK_ROOM = 1.5
"""Room for tokens of the chain of the quickest servers, as a part of the wanted one, if that leaves
another chain: most requests of a hall go there. With less room bursts fill it and
answers begin late; with more it has slower servers than need be."""
SAME_SPEED = 1.3
"""Kinds whose step times differ by less than this share layers evenly."""


class Span(msgspec.Struct, frozen=True):
    """Layers ``[first, last)``."""

    first: int
    last: int

    @property
    def length(self) -> int:
        """Return how many layers these are."""
        return self.last - self.first


Spans = dict[BackendId, Span]


def tile(servers: Sequence[ServerFacts], pipeline: Pipeline) -> Spans:
    """Lay out a whole fleet anew.

    :param servers: servers that may hold layers.
    :param pipeline: facts of the model.
    :return: the span of each server; empty for servers that no chain can use.
    """
    spans: Spans = {}
    for group in groups(servers, pipeline):
        spans.update(tile_group(group, pipeline))
    return spans


def groups(servers: Sequence[ServerFacts], pipeline: Pipeline) -> list[list[ServerFacts]]:
    """Divide a fleet into halls that hold the model alone, and one group of all others.

    :param servers: servers that may hold layers.
    :param pipeline: facts of the model.
    :return: groups of servers that together hold the model.
    """
    halls: dict[HallName, list[ServerFacts]] = {}
    for server in servers:
        if server.accelerator in pipeline.accelerators:
            halls.setdefault(server.hall, []).append(server)
    able = [hall for hall in halls.values() if _room_for(hall, pipeline) is not None]
    rest = [server for hall in halls.values() if hall not in able for server in hall]
    return [*able, rest] if rest else able


def tile_group(servers: Sequence[ServerFacts], pipeline: Pipeline, pairs: bool = True) -> Spans:
    """Lay out one group of servers as chains.

    :param servers: the group.
    :param pipeline: facts of the model.
    :param pairs: whether servers of a chain that is alone are paired.
    :return: the span of each server; empty when they cannot hold the model.
    """
    room = _room_for(servers, pipeline)
    if room is None:
        return {}
    chains = _chains(servers, pipeline, room)
    if pairs and len(chains) == 1:
        return _lay(_best_pairs(chains[0], pipeline), pipeline)
    spans: Spans = {}
    for chain in chains:
        # Each can do without any one server: the others take its requests.
        spans.update(_lay(_spread(chain, pipeline), pipeline))
    return spans


def most_layers(server: ServerFacts, pipeline: Pipeline, part: float) -> int:
    """Return how many layers a server may hold.

    :param server: the server, of a kind that the model runs on.
    :param pipeline: facts of the model.
    :param part: the room for tokens to keep, as a part of the wanted one.
    """
    assert server.accelerator is not None
    return pipeline.most_layers(server.accelerator, part * pipeline.token_capacity)


def _room_for(servers: Sequence[ServerFacts], pipeline: Pipeline) -> float | None:
    """Return the largest room for tokens, as a part of the wanted one, with which the model fits."""
    part = 1.0
    while part >= LEAST_ROOM:
        if sum(most_layers(server, pipeline, part) for server in servers) >= pipeline.layers:
            return part
        part *= TIGHTER
    return None


def _chains(servers: Sequence[ServerFacts], pipeline: Pipeline, room: float) -> list[list[ServerFacts]]:
    """Divide a group into chains that hold the model: the quickest servers by themselves, where their
    kinds differ in speed and more than one chain comes of it, else as many as can be, of about equal size.

    Requests of a hall share its servers by the cost of their ways. Where quick and slow kinds stand in
    each chain, every way has stages of both, and a token takes as long as on the slow ones: 65 to 95 ms
    for an event of five tokens, 30 to 41 with the quickest by themselves (three halls of three kinds,
    step factors 2.4, 5.3 and 16). A way then has 3 to 6 stages instead of 7 to 12, each of which may
    fail, and fewer streams run when something does.
    """
    quick = _quick_chains(servers, pipeline, QUICK_ROOM * room)
    if len(quick) > 1:
        return quick
    most = {server.id: most_layers(server, pipeline, room) for server in servers}
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


def _quick_chains(
    servers: Sequence[ServerFacts], pipeline: Pipeline, room: float
) -> list[list[ServerFacts]]:
    """Divide a group into chains from the quickest servers down; none where all are of like speed.

    :return: chains that hold the model; what is left over stands with the last, slowest one.
    """

    def factor(server: ServerFacts) -> float:
        return pipeline.accelerators[server.accelerator or ""].step_factor

    if max(map(factor, servers)) < SAME_SPEED * min(map(factor, servers)):
        return []
    chains: list[list[ServerFacts]] = []
    chain: list[ServerFacts] = []
    layers = 0
    for server in sorted(servers, key=lambda s: (factor(s), -most_layers(s, pipeline, room), s.id)):
        chain.append(server)
        layers += most_layers(server, pipeline, room)
        if layers >= pipeline.layers:
            chains.append(chain)
            chain, layers = [], 0
    if chains:
        chains[-1].extend(chain)
    return chains


class _Unit:
    """A server, or two that hold the same layers so that either can do without the other."""

    __slots__ = ("most", "servers")

    def __init__(self, servers: tuple[ServerFacts, ...], most: int) -> None:
        self.servers = servers
        self.most = most

    def middle(self) -> float:
        """Return the middle of what its servers hold now."""
        return sum(s.first + s.last for s in self.servers) / (2 * len(self.servers))


def _spread(chain: Sequence[ServerFacts], pipeline: Pipeline) -> list[_Unit]:
    """Have all servers of a chain hold as few layers as the model allows, so that most requests fit."""
    for part in _rooms(chain, pipeline):
        most = [most_layers(server, pipeline, part) for server in chain]
        if sum(most) >= pipeline.layers:
            return [_Unit((server,), bound) for server, bound in zip(chain, most, strict=True)]
    return []


def _best_pairs(chain: Sequence[ServerFacts], pipeline: Pipeline) -> list[_Unit]:
    """Pair as many servers of a chain as leave enough of the room that it can have."""
    found: list[_Unit] = []
    most_paired, least = -1, 0.0
    for part in _rooms(chain, pipeline):
        units = _pairs(chain, pipeline, part)
        if not units:
            continue
        least = least or KEPT_ROOM * part
        if part < least:
            break
        paired = sum(len(unit.servers) > 1 for unit in units)
        if paired > most_paired:
            most_paired, found = paired, units
    return found


def _rooms(chain: Sequence[ServerFacts], pipeline: Pipeline) -> Iterator[float]:
    """Go through rooms for tokens, as parts of the wanted one, from the most that can be used down."""
    slots = min(server.slots for server in chain)
    part = max(1.0, slots * pipeline.usual_tokens / pipeline.token_capacity)
    while part > LEAST_ROOM:
        yield part
        part *= ROOM_STEP


def _pairs(chain: Sequence[ServerFacts], pipeline: Pipeline, room: float) -> list[_Unit]:
    """Pair as many servers of a chain as the memory left allows, cheapest kinds first.

    :return: the units; none when the chain does not hold the model with this room.
    """
    by_kind: dict[str, list[ServerFacts]] = {}
    for server in sorted(chain, key=lambda s: ((s.first + s.last) / 2, s.id)):
        by_kind.setdefault(server.accelerator or "", []).append(server)
    alone = {kind: most_layers(servers[0], pipeline, room) for kind, servers in by_kind.items()}
    paired = {
        kind: most_layers(servers[0], pipeline, room * PAIR_LEFT) for kind, servers in by_kind.items()
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


def _lay(units: Sequence[_Unit], pipeline: Pipeline) -> Spans:
    """Lay the units of a chain side by side over all layers."""
    lengths = _lengths(units, pipeline)
    # In the order of what they hold already, so that few layers move.
    order = sorted(range(len(units)), key=lambda i: (units[i].middle(), i))
    spans: Spans = {}
    position = 0
    for i in order:
        span = Span(position, position + lengths[i])
        position = span.last
        if span.length:
            spans.update((server.id, span) for server in units[i].servers)
    return spans


def _lengths(units: Sequence[_Unit], pipeline: Pipeline) -> list[int]:
    """Share out the layers: fast kinds take all they can, kinds of like speed the rest evenly."""
    left = pipeline.layers
    lengths = [0] * len(units)
    for tier in _tiers(units, pipeline):
        most = [units[i].most for i in tier]
        take = min(left, sum(most))
        for i, length in zip(tier, _divide(take, most), strict=True):
            lengths[i] = length
        left -= take
    return lengths


def _tiers(units: Sequence[_Unit], pipeline: Pipeline) -> list[list[int]]:
    def factor(i: int) -> float:
        return pipeline.accelerators[units[i].servers[0].accelerator or ""].step_factor

    tiers: list[list[int]] = []
    for i in sorted(range(len(units)), key=lambda i: (factor(i), i)):
        if tiers and factor(i) < SAME_SPEED * factor(tiers[-1][0]):
            tiers[-1].append(i)
        else:
            tiers.append([i])
    return tiers


def _divide(total: int, most: Sequence[int]) -> list[int]:
    """Divide a number in proportion to bounds, none above its bound, by largest remainders."""
    whole = sum(most)
    exact = [total * bound / whole for bound in most]
    parts = [int(value) for value in exact]
    by_rest = sorted(range(len(most)), key=lambda i: parts[i] - exact[i])
    for i in by_rest[: total - sum(parts)]:
        parts[i] += 1
    return parts


def count_holders(counts: list[int], span: Span, by: int = 1) -> None:
    """Add the holders of a span to the number of holders of each layer.

    :param counts: holders by layer; changed in place.
    :param span: the layers.
    :param by: how many more hold them; negative for fewer.
    """
    for layer in range(span.first, min(span.last, len(counts))):
        counts[layer] += by
