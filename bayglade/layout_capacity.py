"""Computes the token capacity of layouts, and how many loads may run together.

A layout that holds every layer may still have room for only a few requests. The
functions have no side effects; see ``docs/design/layout_steps.md``.
"""

from collections.abc import Iterable

from bayglade.pipelines import Pipeline
from bayglade.repair import EXTENDED_CAPACITY
from bayglade.servers import ServerFacts
from bayglade.tiling import Spans

MIN_REBUILT_CAPACITY = EXTENDED_CAPACITY
"""Least token capacity, as a fraction of the configured one, of a layout for which a group gives up its
layers while another group serves. A hall that was rebuilt without its lost servers had room for 7 requests
and refused nearly all others."""
MIN_CAPACITY_SECONDS = 8.0
"""Seconds for which a group that misses layers waits for servers instead of being rebuilt below that
capacity. Crashed servers are back after 3 s, listed within 1 s and loaded after 3.5 s more."""
MAX_LOADS_FACTOR = 4
"""Loads under way while every layer has a holder, as a multiple of ``loads_at_once``. Further loads share
the same rate, so a rebuild started at once takes no longer in total, and saves the 1 s or more after each
round until the rows of the servers show it. Four times the three loads of a site with 26 servers covers
the nine servers of a hall; more would only lengthen the time for which loading servers may be lost."""


def layout_capacity(
    servers: Iterable[ServerFacts], pipeline: Pipeline, spans: Spans | None = None
) -> float:
    """Return the tokens that a layout has room for: the least sum of the rooms of the holders of a layer.

    :param servers: the servers, of kinds that the model runs on.
    :param pipeline: properties of the model.
    :param spans: the layers that servers hold instead of those that they report.
    :return: tokens; 0.0 if some layer has no holder.
    """
    rooms = [0.0] * pipeline.layers
    for facts in servers:
        span = spans.get(facts.id) if spans is not None else None
        first, last = (span.first, span.last) if span is not None else (facts.first, facts.last)
        if last <= first or facts.accelerator not in pipeline.accelerators:
            continue
        room = max(0.0, pipeline.token_room(facts.accelerator, last - first, last - first))
        for layer in range(first, min(last, pipeline.layers)):
            rooms[layer] += room
    return min(rooms)


def waits_for_servers(capacity: float, missing_seconds: float, pipeline: Pipeline) -> bool:
    """Tell whether a group that misses layers should wait for its servers instead of being rebuilt.

    :param capacity: token capacity of the layout that it would get.
    :param missing_seconds: for how long it has missed layers.
    :param pipeline: properties of the model.
    """
    return (
        capacity < MIN_REBUILT_CAPACITY * pipeline.token_capacity and missing_seconds < MIN_CAPACITY_SECONDS
    )


def may_load(urgent: bool, loads: int, urgent_loads: int, complete: bool, pipeline: Pipeline) -> bool:
    """Tell whether one more load may start.

    :param urgent: whether it brings a layer that the site lacks.
    :param loads: number of loads under way or chosen.
    :param urgent_loads: how many of these bring a layer that the site lacks.
    :param complete: whether every layer has a holder in the site.
    :param pipeline: properties of the model.
    """
    # Loads that bring lacking layers are not slowed by others, nor do they wait for loads begun before.
    bound = max(1, pipeline.loads_at_once)
    if urgent:
        return urgent_loads < bound and loads < MAX_LOADS_FACTOR * bound
    return loads < (MAX_LOADS_FACTOR * bound if complete else bound)
