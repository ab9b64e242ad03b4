"""Computes the token capacity of layouts, and how many loads may run together.

A layout that holds every layer may still have room for only a few requests. The
functions have no side effects; see ``docs/design/layout_steps.md``.
"""

from collections.abc import Collection, Iterable

from bayglade.ids import ServerKey
from bayglade.pipelines import Pipeline
from bayglade.repair import EXTENDED_CAPACITY
from bayglade.servers import ServerFacts
from bayglade.tiling import Spans, tile_group

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


LOW_CAPACITY_SHARE = 0.5
"""A group is rebuilt if its token capacity is less than this share of what its servers allow. Repairs keep
half of the configured capacity, and a fresh layout has all of what its servers allow."""
LOW_CAPACITY_SECONDS = 1.5
"""Seconds for which that must last while nothing is loaded in the group. Rows take 1 s to show a load, and
servers that crashed together do not return at the same moment."""


def layout_capacity(
    servers: Iterable[ServerFacts], pipeline: Pipeline, spans: Spans | None = None
) -> float:
    """Return the tokens that a layout has room for: the least sum of the rooms of the holders of a layer.

    :param servers: the servers, of kinds that the model runs on.
    :param pipeline: properties of the model.
    :param spans: the layers that servers hold instead of those that they report; servers that are left
        out hold none.
    :return: tokens; 0.0 if some layer has no holder.
    """
    rooms = [0.0] * pipeline.layers
    for facts in servers:
        if spans is None:
            first, last = facts.first, facts.last
        elif facts.id in spans:
            first, last = spans[facts.id].first, spans[facts.id].last
        else:
            continue
        if last <= first or facts.accelerator not in pipeline.accelerators:
            continue
        room = max(0.0, pipeline.token_room(facts.accelerator, last - first, last - first))
        for layer in range(first, min(last, pipeline.layers)):
            rooms[layer] += room
    return min(rooms)


def is_tiny(capacity: float, pipeline: Pipeline) -> bool:
    """Tell whether a layout has so little room that a group should rather wait for its lost servers.

    :param capacity: its token capacity.
    :param pipeline: properties of the model.
    """
    return capacity < MIN_REBUILT_CAPACITY * pipeline.token_capacity


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


class LowCapacity:
    """Remembers since when groups have far less token capacity than their servers allow."""

    __slots__ = ("allowed", "checked", "pipeline", "since", "tried")

    def __init__(self) -> None:
        self.pipeline: Pipeline | None = None
        """The model for which the results kept were computed."""

        self.since: dict[str, float] = {}
        self.allowed: dict[str, tuple[frozenset[ServerKey], float]] = {}
        """The token capacity of a new layout of each group, and the servers for which it was computed."""

        self.checked: dict[str, tuple[list[ServerFacts], bool]] = {}
        """The result of the last check of each group, and the servers for which it was computed."""

        self.tried: dict[str, frozenset[ServerKey]] = {}
        """The servers for which each group was rebuilt last, with or without success. It is not rebuilt
        again for the same ones, so that a layout that stays low causes no orders forever."""

    def keep(self, names: Collection[str]) -> None:
        """Forget the groups that no longer exist."""
        for known in (self.since, self.allowed, self.checked, self.tried):
            for name in known.keys() - names:
                del known[name]

    def note_tried(self, name: str, members: frozenset[ServerKey]) -> None:
        """Do not rebuild a group for its capacity again until its servers change."""
        self.tried[name] = members
        self.checked.pop(name, None)

    def check(self, name: str, servers: list[ServerFacts], pipeline: Pipeline, pair_servers: bool) -> bool:
        """Tell whether a group holds every layer, has far less capacity than allowed, and may be rebuilt.

        :param name: the group.
        :param servers: its servers.
        :param pipeline: properties of the model.
        :param pair_servers: whether layouts pair servers.
        """
        # A check takes about 1 ms for 100 servers, and most groups have not changed since the last one.
        if pipeline != self.pipeline:
            self.pipeline = pipeline
            self.allowed.clear()
            self.checked.clear()
        checked = self.checked.get(name)
        if checked is None or checked[0] != servers:
            checked = servers, self._is_low(name, servers, pipeline, pair_servers)
            self.checked[name] = checked
        return checked[1]

    def _is_low(
        self, name: str, servers: list[ServerFacts], pipeline: Pipeline, pair_servers: bool
    ) -> bool:
        members = frozenset(facts.key for facts in servers)
        if self.tried.get(name) == members:
            return False
        known = self.allowed.get(name)
        if known is None or known[0] != members:
            wanted = tile_group(servers, pipeline, pair_servers)
            known = self.allowed[name] = (members, layout_capacity(servers, pipeline, wanted))
        return 0.0 < layout_capacity(servers, pipeline) < LOW_CAPACITY_SHARE * known[1]

    def lasts(self, name: str, low: bool, at: float) -> bool:
        """Tell whether the capacity of a group has been low for long enough to rebuild the group.

        :param name: the group.
        :param low: whether its capacity is low now.
        :param at: the time now, in monotonic seconds.
        """
        if not low:
            self.since.pop(name, None)
            return False
        return at - self.since.setdefault(name, at) >= LOW_CAPACITY_SECONDS
