"""Computes which layers servers should hold after some were added, removed or lost.

Each change moves as few layers as possible, so that paths in use remain. The
functions have no side effects; see ``docs/design/placement.md``.
"""

from collections.abc import Collection, Iterable, Sequence

from bayglade.ids import BackendId
from bayglade.pipelines import Pipeline
from bayglade.servers import ServerFacts
from bayglade.tiling import Span, Spans, count_holders, max_layers

REPAIR_CAPACITY = 0.72
"""Token capacity that a server which fills a gap keeps, as a fraction of the configured capacity."""
EXTENDED_CAPACITY = 0.5
"""The same for a server that holds more layers than it otherwise would, because layers next to its own
are missing."""
GAIN_BY_HOLDERS = (100.0, 1.0, 0.03, 0.001)
"""Gain of holding a layer that has no, one, two or three holders. The steps are so large that layers with
fewer holders come first, whatever the length of the span."""
SITE_GAIN = 100_000.0
"""Gain of holding a layer that no server of the site holds. It exceeds the gain of a whole span in its
hall: without that layer no request runs anywhere."""


def fill_empty(
    servers: Sequence[ServerFacts],
    empty: Iterable[ServerFacts],
    pipeline: Pipeline,
    site_counts: list[int] | None = None,
) -> Spans:
    """Choose spans for empty servers, given the servers that hold layers.

    :param servers: the servers of the group that hold layers.
    :param empty: servers that hold none.
    :param pipeline: properties of the model.
    :param site_counts: number of holders of each layer in the whole site, if known; the chosen
        spans are added to it.
    :return: a span for each empty server that can hold layers: first where layers are
        missing in the site, then where they are missing in the group, then where only
        one server holds them.
    """
    site = site_counts if site_counts is not None else [1] * pipeline.layers
    counts = [0] * pipeline.layers
    for server in servers:
        count_holders(counts, Span(server.first, server.last))
    # If most layers have several holders, the layout has several chains with few layers per server;
    # a server with a longer span than its peers would have the least token capacity.
    several_chains = sorted(counts)[len(counts) // 2] > 1
    longest = _longest_by_kind(servers) if several_chains else {}
    spans: Spans = {}
    for server in sorted(empty, key=lambda s: (-max_layers(s, pipeline, REPAIR_CAPACITY), s.id)):
        length = min(
            max_layers(server, pipeline, REPAIR_CAPACITY), longest.get(server.accelerator, pipeline.layers)
        )
        if length == 0:
            continue
        starts = range(pipeline.layers - length + 1)
        first = max(
            starts,
            key=lambda start: (_gain(counts, start, length) + _site_gain(site, start, length), -start),
        )
        spans[server.id] = Span(first, first + length)
        count_holders(counts, spans[server.id])
        count_holders(site, spans[server.id])
    return spans


def _longest_by_kind(servers: Sequence[ServerFacts]) -> dict[str | None, int]:
    """Return the largest number of layers that a server of each kind holds."""
    lengths: dict[str | None, int] = {}
    for server in servers:
        lengths[server.accelerator] = max(lengths.get(server.accelerator, 0), server.layer_count)
    return lengths


def repair(
    servers: Sequence[ServerFacts],
    pipeline: Pipeline,
    extended_capacity: float = EXTENDED_CAPACITY,
    fixed: Collection[BackendId] = (),
    served: Sequence[int] | None = None,
    only_gaps: bool = False,
) -> Spans:
    """Change the spans of a few servers so that missing layers are held again.

    First, servers are moved whose layers are all held by other servers as well.
    Then servers next to a remaining gap get more layers than they otherwise
    would. All other servers keep their layers, so that paths in use remain.

    :param servers: the servers of a group that hold layers.
    :param pipeline: properties of the model.
    :param extended_capacity: token capacity that servers next to a gap keep, as a fraction of the
        configured capacity.
    :param fixed: servers that keep their spans.
    :param served: number of servers that serve each layer now. If given, servers are moved only if all
        moves can be ordered at once, without waiting for loads.
    :param only_gaps: whether servers that are moved hold only the layers of a gap, which load sooner,
        and not as many as fit.
    :return: the spans that change; some layers may still be missing.
    """
    held = {server.id: Span(server.first, server.last) for server in servers}
    counts = [0] * pipeline.layers
    for span in held.values():
        count_holders(counts, span)
    movable = [server for server in servers if server.id not in fixed]
    changed: Spans = {}
    left = list(served) if served is not None else counts
    while 0 in counts:
        gap = _first_gap(counts)
        server = _redundant_server(gap, movable, held, changed, left, pipeline)
        if server is None:
            break
        most = max_layers(server, pipeline, REPAIR_CAPACITY)
        length = min(most, gap.length) if only_gaps else most
        changed[server.id] = _span_over(gap, counts, length)
        if left is not counts:
            count_holders(left, held[server.id], -1)
        count_holders(counts, held[server.id], -1)
        count_holders(counts, changed[server.id])
    _extend_neighbours(movable, held, changed, counts, pipeline, extended_capacity)
    return changed


def count_missing(servers: Iterable[ServerFacts], layers: int) -> int:
    """Count the layers that no server holds.

    :param servers: the servers.
    :param layers: number of layers of the model.
    """
    counts = [0] * layers
    for server in servers:
        count_holders(counts, Span(server.first, server.last))
    return counts.count(0)


def _gain(counts: Sequence[int], first: int, length: int) -> float:
    """Return the gain of a server holding a span, given the number of holders of each layer."""
    window = counts[first : first + length]
    return sum(gain * window.count(holders) for holders, gain in enumerate(GAIN_BY_HOLDERS))


def _site_gain(counts: Sequence[int], first: int, length: int) -> float:
    """Return the additional gain of a span for the layers that no server of the site holds."""
    return SITE_GAIN * counts[first : first + length].count(0)


def _first_gap(counts: Sequence[int]) -> Span:
    first = counts.index(0)
    last = first
    while last < len(counts) and counts[last] == 0:
        last += 1
    return Span(first, last)


def _redundant_server(
    gap: Span,
    servers: Sequence[ServerFacts],
    held: Spans,
    changed: Spans,
    counts: Sequence[int],
    pipeline: Pipeline,
) -> ServerFacts | None:
    """Choose a server whose layers all have other holders.

    The smallest one that fills the gap is preferred; if none does, the largest.
    """
    redundant = [
        server
        for server in servers
        if server.id not in changed
        and max_layers(server, pipeline, REPAIR_CAPACITY)
        and min(counts[held[server.id].first : held[server.id].last], default=0) > 1
    ]
    if not redundant:
        return None

    def rank(server: ServerFacts) -> tuple[bool, int, str]:
        most = max_layers(server, pipeline, REPAIR_CAPACITY)
        return most < gap.length, most if most >= gap.length else -most, server.id

    return min(redundant, key=rank)


def _span_over(gap: Span, counts: Sequence[int], length: int) -> Span:
    """Return a span over as much of a gap as possible, extended over adjacent layers with few holders."""
    if length <= gap.length:
        return Span(gap.first, gap.first + length)
    starts = range(max(0, gap.last - length), min(gap.first, len(counts) - length) + 1)
    first = max(starts, key=lambda start: (_gain(counts, start, length), -start))
    return Span(first, first + length)


def _extend_neighbours(
    servers: Sequence[ServerFacts],
    held: Spans,
    changed: Spans,
    counts: list[int],
    pipeline: Pipeline,
    capacity: float,
) -> None:
    """Extend the spans of servers next to remaining gaps, down to a token capacity."""
    for server in servers:
        if 0 not in counts:
            return
        span = changed.get(server.id, held[server.id])
        free = max_layers(server, pipeline, capacity) - span.length
        if free <= 0:
            continue
        after = _count_leading_gap(counts, range(span.last, len(counts)), free)
        before = _count_leading_gap(counts, range(span.first - 1, -1, -1), free - after)
        if after + before:
            changed[server.id] = Span(span.first - before, span.last + after)
            count_holders(counts, Span(span.last, span.last + after))
            count_holders(counts, Span(span.first - before, span.first))


def _count_leading_gap(counts: Sequence[int], layers: range, limit: int) -> int:
    """Count the consecutive layers without a holder at the start of a range, up to a limit."""
    found = 0
    for layer in layers:
        if found >= limit or counts[layer]:
            break
        found += 1
    return found
