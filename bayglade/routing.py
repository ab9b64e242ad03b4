"""Choice of the route of a completion: which servers run which layers.

A route covers all layers of a model without gap or overlap. It is the cheapest
one over a random sample of the servers with room; sampling keeps many daemons
from choosing the same server on the same outdated load data.
"""

import random
from collections.abc import Callable, Sequence

from bayglade.backends import BackendState
from bayglade.engines.wire import Stage
from bayglade.ids import HallName

MAX_CANDIDATES = 8
"""Bound on the servers compared at one position; a random sample is taken if there are more."""
COST_JITTER = 0.05
"""Random part of the cost of a stage."""

LinkSeconds = Callable[[HallName, HallName], float]
"""Returns the one-way delay between two data halls, in seconds."""

PartialRoute = tuple[float, tuple[Stage, ...]]
"""Cost in seconds per token, and the stages from a position to the last layer."""


def covers(states: Sequence[BackendState], layers: int) -> bool:
    """Return whether servers cover all layers, whether or not they have room.

    :param states: servers of one version of a model.
    :param layers: the number of layers of the model.
    :return: true if a route exists.
    """
    covered = 0
    while covered < layers:
        extended = max((s.facts.last for s in states if s.facts.first <= covered), default=covered)
        if extended <= covered:
            return False
        covered = extended
    return True


def choose_route(
    states: Sequence[BackendState],
    layers: int,
    hall: HallName,
    link_seconds: LinkSeconds,
    rng: random.Random,
) -> tuple[Stage, ...] | None:
    """Choose the cheapest route among sampled servers.

    :param states: usable servers of one version of a model that have room.
    :param layers: the number of layers of the model.
    :param hall: the data hall of this daemon.
    :param link_seconds: the delay between two data halls.
    :param rng: source of the sample and of the cost jitter, which also breaks ties.
    :return: the stages in order; None if the servers do not cover the model.
    """
    memo: dict[tuple[int, HallName], PartialRoute | None] = {}

    def best(position: int, at: HallName) -> PartialRoute | None:
        if position >= layers:
            return 0.0, ()
        if (position, at) not in memo:
            memo[position, at] = _cheapest(position, at)
        return memo[position, at]

    def _cheapest(position: int, at: HallName) -> PartialRoute | None:
        cheapest: PartialRoute | None = None
        for state in _candidates(states, position, rng):
            remainder = best(state.facts.last, state.facts.hall)
            if remainder is None:
                continue
            cost = remainder[0] + link_seconds(at, state.facts.hall) + _stage_cost(state, position, rng)
            if cheapest is None or cost < cheapest[0]:
                stage = Stage(state.id, state.facts.address, position, state.facts.last)
                cheapest = cost, (stage, *remainder[1])
        return cheapest

    chosen = best(0, hall)
    return chosen[1] if chosen else None


def _candidates(
    states: Sequence[BackendState], position: int, rng: random.Random
) -> Sequence[BackendState]:
    fitting = [s for s in states if s.facts.first <= position < s.facts.last]
    if len(fitting) <= MAX_CANDIDATES:
        return fitting
    return rng.sample(fitting, MAX_CANDIDATES)


def _stage_cost(state: BackendState, position: int, rng: random.Random) -> float:
    seconds = state.seconds_per_layer * (state.facts.last - position)
    crowding = 1.0 + (state.in_flight + 1) / state.limit
    failure_penalty = 1.0 + state.failures
    return seconds * crowding * failure_penalty * (1.0 + COST_JITTER * rng.random())
