"""Check that servers get no more requests than the rate limit they announce, from their own records."""

import math
from collections.abc import Callable, Iterable, Mapping
from itertools import pairwise
from typing import NamedTuple

from standins.users.replica import LimitChange, Replica

WINDOW_SECONDS = 4.0
WINDOW_FACTOR = 1.5
EXTRA_REQUESTS = 5
"""Requests allowed in a window in addition to one and a half times the limit."""

NOTICE_SECONDS = 0.5
"""Time after an answer from which its daemon must respect the limit in it."""


class Excess(NamedTuple):
    """A window in which a server got more requests than allowed."""

    until: float
    got: int
    allowed: float


def allowed(rate: float) -> float:
    """Return how many requests a server may get in a window.

    :param rate: the limit, in requests a second.
    """
    return WINDOW_FACTOR * WINDOW_SECONDS * rate + EXTRA_REQUESTS


def excesses(
    server: Replica,
    daemon_of: Mapping[str, str],
    excused: Callable[[str, float], bool] = lambda daemon, at: False,
    passed_on: Mapping[str, float] | None = None,
) -> list[Excess]:
    """List the windows in which a server got more requests than the limit in force allows.

    Only requests of daemons that have passed on an answer with the limit count, all of them together.

    :param server: the server.
    :param daemon_of: the daemon that handled each request.
    :param excused: whether faults kept a daemon from respecting limits at a time.
    :param passed_on: when the answer to each request reached its caller; by default, when it was sent.
    """
    found: list[Excess] = []
    for span in _limit_spans(server):
        bound_from: dict[str, float] = {}
        for named in server.limits_announced:
            at = named.at if passed_on is None else passed_on.get(named.request, math.inf)
            if span.since <= named.at < span.until and (daemon := daemon_of.get(named.request)):
                bound_from[daemon] = min(bound_from.get(daemon, math.inf), at + NOTICE_SECONDS)
        counted = [
            at
            for request, at in server.arrived
            if bound_from.get(daemon_of.get(request, ""), math.inf) <= at < span.until
            and not excused(daemon_of[request], at)
        ]
        found += _windows(counted, span.rate)
    return found


class _LimitSpan(NamedTuple):
    """A span in which one incarnation of a server announced one limit."""

    since: float
    until: float
    rate: float


def _limit_spans(server: Replica) -> list[_LimitSpan]:
    """List the spans in which a server announced a limit; each is checked separately."""
    changes = [*server.limit_changes, LimitChange(math.inf, "")]
    spans = []
    for change, following in pairwise(changes):
        if not (rate := _rate(change.value)):
            continue
        starts = [at for at in server.started if change.at < at < following.at]
        for since, until in pairwise([change.at, *starts, following.at]):
            spans.append(_LimitSpan(since, until, rate))
    return spans


def _rate(value: str) -> float:
    try:
        return float(value or 0.0)
    except ValueError:
        # A value that is no number announces no limit.
        return 0.0


def _windows(times: list[float], rate: float) -> Iterable[Excess]:
    first, most = 0, allowed(rate)
    for last, until in enumerate(times):
        while times[first] <= until - WINDOW_SECONDS:
            first += 1
        got = last - first + 1
        if got > most:
            yield Excess(until, got, most)
