"""Repair: which layers servers should hold when some came, went or were lost.

Little moves at a time, so that paths in use stay. Plain functions; see
``docs/design/placement.md``.
"""

from collections.abc import Iterable, Sequence

from bayglade.pipelines import Pipeline
from bayglade.servers import ServerFacts
from bayglade.tiling import Span, Spans, count_holders, max_layers

SPARE_ROOM = 0.72
"""Part of the operator's wanted room for tokens that a server which fills a hole keeps."""
STRETCHED_ROOM = 0.5
"""The same for a server that holds more than it otherwise would, as layers beside its own are missing."""
HOLDER_GAINS = (100.0, 1.0, 0.03, 0.001)
"""Gain of holding a layer that nobody, one, two or three servers hold: a layer with fewer holders
goes first, whatever the length of a span."""


def fill(servers: Sequence[ServerFacts], empty: Iterable[ServerFacts], pipeline: Pipeline) -> Spans:
    """Choose spans for empty servers beside those that hold layers.

    :param servers: the servers of the group that hold layers.
    :param empty: servers that hold none.
    :param pipeline: facts of the model.
    :return: a span for each empty server: where layers are missing first, then where
        just one server holds them.
    """
    counts = [0] * pipeline.layers
    for server in servers:
        count_holders(counts, Span(server.first, server.last))
    # Where most layers have several holders, chains were spread: what is longer would have least room.
    spread = sorted(counts)[len(counts) // 2] > 1
    usual = _usual_lengths(servers) if spread else {}
    spans: Spans = {}
    for server in sorted(empty, key=lambda s: (-max_layers(s, pipeline, SPARE_ROOM), s.id)):
        length = min(
            max_layers(server, pipeline, SPARE_ROOM), usual.get(server.accelerator, pipeline.layers)
        )
        if length == 0:
            continue
        starts = range(pipeline.layers - length + 1)
        first = max(starts, key=lambda start: (_gain(counts, start, length), -start))
        spans[server.id] = Span(first, first + length)
        count_holders(counts, spans[server.id])
    return spans


def _usual_lengths(servers: Sequence[ServerFacts]) -> dict[str | None, int]:
    """Return the most layers that a server of each kind holds."""
    lengths: dict[str | None, int] = {}
    for server in servers:
        lengths[server.accelerator] = max(lengths.get(server.accelerator, 0), server.held)
    return lengths


def repair(servers: Sequence[ServerFacts], pipeline: Pipeline) -> Spans:
    """Choose new spans for few servers so that missing layers are held again.

    First servers move of which every layer is held by another one too; then
    neighbours hold more than they otherwise would. Nothing else changes, so
    that paths in use stay.

    :param servers: the servers of a group that hold layers.
    :param pipeline: facts of the model.
    :return: the spans that change; they may not bring all layers back.
    """
    held = {server.id: Span(server.first, server.last) for server in servers}
    counts = [0] * pipeline.layers
    for span in held.values():
        count_holders(counts, span)
    changed: Spans = {}
    while 0 in counts:
        hole = _first_hole(counts)
        server = _spare_for(hole, servers, held, changed, counts, pipeline)
        if server is None:
            break
        changed[server.id] = _over(hole, counts, max_layers(server, pipeline, SPARE_ROOM))
        count_holders(counts, held[server.id], -1)
        count_holders(counts, changed[server.id])
    _stretch(servers, held, changed, counts, pipeline)
    return changed


def missing(servers: Iterable[ServerFacts], layers: int) -> int:
    """Count the layers that no server holds.

    :param servers: the servers.
    :param layers: layers of the model.
    """
    counts = [0] * layers
    for server in servers:
        count_holders(counts, Span(server.first, server.last))
    return counts.count(0)


def _gain(counts: Sequence[int], first: int, length: int) -> float:
    window = counts[first : first + length]
    return sum(gain * window.count(holders) for holders, gain in enumerate(HOLDER_GAINS))


def _first_hole(counts: Sequence[int]) -> Span:
    first = counts.index(0)
    last = first
    while last < len(counts) and counts[last] == 0:
        last += 1
    return Span(first, last)


def _spare_for(
    hole: Span,
    servers: Sequence[ServerFacts],
    held: Spans,
    changed: Spans,
    counts: Sequence[int],
    pipeline: Pipeline,
) -> ServerFacts | None:
    """Choose a server that can leave its layers: the smallest that fills the hole, else the largest."""
    spare = [
        server
        for server in servers
        if server.id not in changed
        and max_layers(server, pipeline, SPARE_ROOM)
        and min(counts[held[server.id].first : held[server.id].last], default=0) > 1
    ]
    if not spare:
        return None

    def fit(server: ServerFacts) -> tuple[bool, int, str]:
        most = max_layers(server, pipeline, SPARE_ROOM)
        return most < hole.length, most if most >= hole.length else -most, server.id

    return min(spare, key=fit)


def _over(hole: Span, counts: Sequence[int], length: int) -> Span:
    """Lay a span over as much of a hole as it covers, and over layers held just once beside it."""
    if length <= hole.length:
        return Span(hole.first, hole.first + length)
    starts = range(max(0, hole.last - length), min(hole.first, len(counts) - length) + 1)
    first = max(starts, key=lambda start: (_gain(counts, start, length), -start))
    return Span(first, first + length)


def _stretch(
    servers: Sequence[ServerFacts],
    held: Spans,
    changed: Spans,
    counts: list[int],
    pipeline: Pipeline,
) -> None:
    """Have neighbours of the holes that are left hold more, down to the room of a pair."""
    for server in servers:
        if 0 not in counts:
            return
        span = changed.get(server.id, held[server.id])
        free = max_layers(server, pipeline, STRETCHED_ROOM) - span.length
        if free <= 0:
            continue
        after = _zeros(counts, range(span.last, len(counts)), free)
        before = _zeros(counts, range(span.first - 1, -1, -1), free - after)
        if after + before:
            changed[server.id] = Span(span.first - before, span.last + after)
            count_holders(counts, Span(span.last, span.last + after))
            count_holders(counts, Span(span.first - before, span.first))


def _zeros(counts: Sequence[int], layers: range, most: int) -> int:
    """Count the layers held by nobody from the start of a range on, up to a number."""
    found = 0
    for layer in layers:
        if found >= most or counts[layer]:
            break
        found += 1
    return found
