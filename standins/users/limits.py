"""What a server that names a limit may get: the promise, checked from what servers saw."""

import math
from collections.abc import Callable, Iterable, Mapping
from itertools import pairwise
from typing import NamedTuple

from standins.users.replica import LimitChange, Replica

WINDOW_SECONDS = 4.0
FACTOR = 1.5
EXTRA = 5
"""Requests that may come beside one and a half times the limit."""

TOLD_SECONDS = 0.5
"""How long after an answer its daemon is taken to know of the limit."""


class Excess(NamedTuple):
    """A window in which a server got more than it may."""

    until: float
    got: int
    allowed: float


def allowed(rate: float) -> float:
    """Return how many requests may come in a window.

    :param rate: the limit, in requests a second.
    """
    return FACTOR * WINDOW_SECONDS * rate + EXTRA


def excesses(
    server: Replica,
    daemon_of: Mapping[str, str],
    excused: Callable[[str, float], bool] = lambda daemon, at: False,
    passed_on: Mapping[str, float] | None = None,
) -> list[Excess]:
    """List the windows in which a server got more than the limit that held through them.

    Only daemons count that had passed on an answer with the limit, by which all are bound together.

    :param server: the server.
    :param daemon_of: the daemon that was asked, by request.
    :param excused: tells whether faults kept a daemon from keeping limits at a time.
    :param passed_on: when the answer to each request was passed on; when it was given, when left out.
    """
    found: list[Excess] = []
    for held in _held(server):
        told: dict[str, float] = {}
        for named in server.limits_named:
            at = named.at if passed_on is None else passed_on.get(named.request, math.inf)
            if held.since <= named.at < held.until and (daemon := daemon_of.get(named.request)):
                told[daemon] = min(told.get(daemon, math.inf), at + TOLD_SECONDS)
        counted = [
            at
            for request, at in server.arrived
            if told.get(daemon_of.get(request, ""), math.inf) <= at < held.until
            and not excused(daemon_of[request], at)
        ]
        found += _windows(counted, held.rate)
    return found


class _Held(NamedTuple):
    """A span in which one start of a server named one limit."""

    since: float
    until: float
    rate: float


def _held(server: Replica) -> list[_Held]:
    """List the spans in which a server named limits; each counts by itself."""
    changes = [*server.limit_changes, LimitChange(math.inf, "")]
    spans = []
    for change, following in pairwise(changes):
        if not (rate := _rate(change.value)):
            continue
        starts = [at for at in server.started if change.at < at < following.at]
        for since, until in pairwise([change.at, *starts, following.at]):
            spans.append(_Held(since, until, rate))
    return spans


def _rate(value: str) -> float:
    try:
        return float(value or 0.0)
    except ValueError:
        # Nonsense names no limit.
        return 0.0


def _windows(times: list[float], rate: float) -> Iterable[Excess]:
    first, most = 0, allowed(rate)
    for last, until in enumerate(times):
        while times[first] <= until - WINDOW_SECONDS:
            first += 1
        got = last - first + 1
        if got > most:
            yield Excess(until, got, most)
