"""Admission by urgency: the fraction of requests of each urgency that a saturated service takes on.

Each daemon decides for its own requests, from sums over all daemons that may be seconds old or incomplete.
The decision uses ratios within these sums, so a part of the daemons gives about the same result as all.
"""

from collections.abc import Callable, Iterable, Mapping

from bayglade.calls import Call
from bayglade.clock import now
from bayglade.entries.wire import ServiceReport
from bayglade.ids import ServiceName
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.service_reports import gauge_name
from bayglade.settings import DEFAULT_ADMISSION_FLOOR, Tree, level_at, urgency_of

UPDATE_INTERVAL_SECONDS = 0.2
"""Interval of updates: a fraction of the interval of reports, as nothing changes between two reports."""
OPEN_AFTER_SECONDS = 2.0
"""How long no request may wait or be refused before the service counts as open again: longer than the
interval of reports, so that one report without waiting requests does not open it."""
MIN_REFUSED_PER_SECOND = 0.1
"""Refusals per second that count as none. Rates decay over 3 s, so a single refusal counts for 3.6 s."""
WANTED_WAIT_SECONDS = 0.25
"""Length of the queue to aim for, in seconds of the completion rate: long enough that no slot is idle
between two reports, and half of the usual time to the first event."""
IDLE_FRACTION = 0.3
"""Fraction of the wanted queue below which capacity may be unused."""
WAIT_GAIN_PER_SECOND = 0.4
"""Relative change of what is admitted, per second by which the queue differs from the wanted one. The
queue oscillates if this times the age of the reports (up to 3 s) exceeds pi / 2."""
MIN_CORRECTION = 0.85
"""Least correction for a long queue. Requests that wait too long are refused anyway; a stronger correction
would leave slots idle when the queue has ended and the reports do not show it yet."""
RISE_PER_SECOND = 0.08
"""Relative growth of the admitted share while nothing waits. Its effect shows in the sums after about 4 s.
With 0.5, 200 daemons with sums 3 s old had gone back to admitting everything by then, at twice the
capacity."""
SURE_IDLE_SECONDS = 4.0
"""How long nothing must have waited to show that the last growth did not suffice: the greatest age of the
sums, and the time until a queue forms."""
FAST_RISE_PER_SECOND = 1.0
"""Growth of the admitted share after that, as a part of all requests: everything is admitted 1 s later."""
MAX_DECAY_PER_SECOND = 0.4
"""Greatest relative fall of the offered rate in a second, as rates decay over 3 s. A greater one shows that
the sums have lost daemons."""
FALL_SECONDS = 1.5
"""Time constant with which the admitted share falls to the measured one. The measured one lags by the 3 s
of its decay, so a fall at once would admit less than the capacity after each rise."""
AFTER_LOSS_SECONDS = 3.0
"""For how long after layers had no holder everything is admitted: the decay time of the rates."""
MIN_SHARE = 0.1
"""Least part of all requests that is admitted, so that capacity which returns is noticed."""
MIN_FINISHED_PER_SECOND = 0.1
"""Least completion rate assumed, so that the length of the queue is finite."""
MAX_RETURNING_PART = 0.25
"""Part of the admitted calls of an urgency in which returning callers go before newcomers. Without a bound
nearly all newcomers are refused as soon as many callers return, so that most callers are served at their
second attempt only."""
MIX_WEIGHT = 1 / 16
"""Weight of one call in the part of returning callers: the calls of some seconds at most daemons."""
LOGGED_CHANGE = 0.05
"""Least change of a fraction that is logged."""
LOG_INTERVAL_SECONDS = 1.0

Totals = Mapping[int, ServiceReport]
"""The sums of one service over all daemons, by urgency."""


def admitted_fractions(totals: Totals, floor: float, capacity: float | None = None) -> dict[int, float]:
    """Divide the capacity of a saturated service among its urgencies.

    Each urgency gets its floor. The rest goes to the most urgent
    requests first.

    :param totals: the sums of the service, by urgency.
    :param floor: least part that each urgency gets of its proportional share of the capacity, which is
        that of its tokens among all that are asked for.
    :param capacity: tokens per second; what is admitted in total if not given.
    :return: the fraction to admit, by urgency; 1.0 where the urgency gets all that it asks for.
    """
    if capacity is None:
        capacity = sum(report.admitted for report in totals.values())
    offered = {urgency: report.offered for urgency, report in totals.items() if report.offered > 0}
    proportion = min(1.0, capacity / sum(offered.values())) if offered else 0.0
    granted = {urgency: tokens * proportion * min(floor, 1.0) for urgency, tokens in offered.items()}
    left = max(0.0, capacity - sum(granted.values()))
    for urgency in sorted(offered, reverse=True):
        more = min(left, offered[urgency] - granted[urgency])
        granted[urgency] += more
        left -= more
    return {
        urgency: min(1.0, granted[urgency] / offered[urgency]) if urgency in offered else 1.0
        for urgency in totals
    }


def is_pressed(totals: Totals) -> bool:
    """Return whether requests wait, or were refused a moment ago."""
    waiting = sum(report.waiting for report in totals.values())
    return waiting > 0 or sum(report.refused for report in totals.values()) > MIN_REFUSED_PER_SECOND


def queue_seconds(totals: Totals) -> float:
    """Return how long the waiting requests take at the completion rate of all daemons."""
    finished = sum(report.finished for report in totals.values())
    return sum(report.waiting for report in totals.values()) / max(MIN_FINISHED_PER_SECOND, finished)


def split_fraction(fraction: float, returning_part: float, returning: bool) -> float:
    """Return the fraction to admit of returning callers or of newcomers, so that returning ones go first.

    :param fraction: the fraction to admit of both together.
    :param returning_part: the part of returning callers among both.
    :param returning: whether to return the fraction of returning callers.
    """
    if not 0.0 < returning_part < 1.0:
        return fraction
    of_returning = min(1.0, fraction * max(1.0, MAX_RETURNING_PART / returning_part))
    if returning:
        return of_returning
    return max(0.0, fraction - of_returning * returning_part) / (1.0 - returning_part)


class AdmissionLevel:
    """The admitted fractions of one service, and the spread of admitted requests.

    :param phase: where the spread begins, from 0 to 1. Daemons with equal phases would admit their
        requests at the same moments after a restart of all.
    """

    def __init__(self, phase: float = 0.5) -> None:
        self.phase = phase
        self.saturated = False
        self.share = 1.0
        """Part of all tokens asked for that the service is assumed to have capacity for."""

        self.fractions: dict[int, float] = {}
        """The admitted fraction, by urgency; 1.0 for others."""

        self.credits: dict[tuple[int, bool], float] = {}
        """By urgency and whether callers return, the sum of the fractions of calls less those admitted."""

        self.returning: dict[int, float] = {}
        """The part of returning callers among the recent calls of this daemon, by urgency."""

        self.pressed_at = float("-inf")
        self.uncovered_at = float("-inf")
        self.updated_at = float("-inf")
        self.offered = 0.0
        """Tokens per second asked for at the last update while saturated."""

        self.idle_seconds = 0.0
        """For how long almost nothing has waited."""

    def __repr__(self) -> str:
        return f"<AdmissionLevel saturated={self.saturated} share={self.share:.2f}>"

    def update(
        self,
        totals: Totals,
        at: float,
        floor: float = DEFAULT_ADMISSION_FLOOR,
        covered: bool = True,
    ) -> None:
        """Compute the fractions from new sums.

        Refusals for layers that nobody holds say nothing of the capacity, so everything is admitted until
        the rates have forgotten them.

        :param totals: the sums of the service, by urgency.
        :param at: monotonic seconds.
        :param floor: least part that each urgency gets of its proportional share of the capacity.
        :param covered: whether every layer of the service's model has a holder, as far as is known.
        """
        if not covered:
            self.uncovered_at = at
        if at - self.uncovered_at < AFTER_LOSS_SECONDS:
            self.share, self.idle_seconds, self.fractions = 1.0, 0.0, {}
            self.saturated, self.pressed_at, self.updated_at = False, float("-inf"), at
            return
        elapsed = min(max(0.0, at - self.updated_at), 1.0)
        self.updated_at = at
        if is_pressed(totals):
            self.pressed_at = at
        self.saturated = at - self.pressed_at < OPEN_AFTER_SECONDS
        offered = sum(report.offered for report in totals.values())
        if not self.saturated or len(totals) < 2 or offered <= 0:
            self.share, self.idle_seconds, self.fractions = 1.0, 0.0, {}
            return
        admitted = sum(report.admitted for report in totals.values())
        wait = queue_seconds(totals)
        self._follow(offered, min(1.0, admitted / offered), wait, elapsed)
        correction = max(MIN_CORRECTION, 1.0 + WAIT_GAIN_PER_SECOND * (WANTED_WAIT_SECONDS - wait))
        share = min(1.0, max(MIN_SHARE, self.share * correction))
        self.fractions = admitted_fractions(totals, floor, share * offered)

    def _follow(self, offered: float, measured: float, wait: float, elapsed: float) -> None:
        """Move the share to the measured one, or upwards while capacity may be unused.

        The measured share alone is no estimate of the capacity: with unused capacity it is the result of
        the fractions themselves, which could then only fall.
        """
        if wait < IDLE_FRACTION * WANTED_WAIT_SECONDS:
            self.idle_seconds += elapsed
            if self.offered * (1.0 - MAX_DECAY_PER_SECOND * elapsed) <= offered < self.offered:
                # The same capacity is a larger share of a lower demand.
                self.share *= self.offered / offered
            if self.idle_seconds < SURE_IDLE_SECONDS:
                self.share += RISE_PER_SECOND * self.share * elapsed
            else:
                self.share += FAST_RISE_PER_SECOND * elapsed
        else:
            self.idle_seconds = 0.0
            self.share += (measured - self.share) * min(1.0, elapsed / FALL_SECONDS)
        self.share = min(1.0, max(MIN_SHARE, measured, self.share))
        self.offered = offered

    def admits(self, urgency: int, returning: bool) -> bool:
        """Return whether to admit a call, and count it.

        Admitted calls are spread evenly: each call adds its fraction to a credit, and an admitted one takes
        1 from it.

        :param urgency: its urgency.
        :param returning: whether it is the second attempt of its caller, who has no further one.
        """
        part = self.returning.get(urgency, 0.0)
        self.returning[urgency] = part + (float(returning) - part) * MIX_WEIGHT
        fraction = self.fractions.get(urgency, 1.0)
        if fraction >= 1.0:
            return True
        key = urgency, returning
        credit = self.credits.get(key, self.phase) + split_fraction(fraction, part, returning)
        admitted = credit >= 1.0
        self.credits[key] = credit - 1.0 if admitted else credit
        return admitted


class AdmissionLevels:
    """The admission levels of all services of one daemon.

    :param totals: returns the sums of a service over all daemons, by urgency. ``offered`` has to include
        the calls that admission refuses, and ``finished`` only requests that had a slot.
    :param urgencies_of: returns the urgencies that the settings give to requests of a service.
    :param floor: returns the setting ``admission.floor``.
    :param phase: see :class:`AdmissionLevel`.
    """

    def __init__(
        self,
        totals: Callable[[ServiceName], Totals],
        urgencies_of: Callable[[ServiceName], Iterable[int]],
        floor: Callable[[], float],
        metrics: Metrics,
        phase: float = 0.5,
    ) -> None:
        self.totals = totals
        self.urgencies_of = urgencies_of
        self.floor = floor
        self.metrics = metrics
        self.phase = phase
        self.is_returning: Callable[[Call], bool] = lambda call: False
        """Returns whether a call is the second attempt of its caller."""

        self.is_covered: Callable[[ServiceName], bool] = lambda service: True
        """Returns whether every layer of a service's model has a holder, as far as is known."""

        self.levels: dict[ServiceName, AdmissionLevel] = {}
        self.logged: dict[ServiceName, tuple[float, bool, dict[int, float]]] = {}
        """When a change was last logged, and what was logged, by service."""

    def __repr__(self) -> str:
        return f"<AdmissionLevels of {len(self.levels)} services>"

    def is_active(self, service: ServiceName) -> bool:
        """Return whether the settings give the requests of a service more than one urgency."""
        return len(set(self.urgencies_of(service))) > 1

    def admits(self, call: Call) -> bool:
        """Return whether to admit a new call now. Don't ask for a stream that has begun.

        :param call: a call of a caller who has no part of the answer yet.
        """
        level = self._current(call.service)
        return level is None or level.admits(call.priority, self.is_returning(call))

    def fractions(self, service: ServiceName) -> dict[int, float]:
        """Return the admitted fractions of a service by urgency; empty if everything is admitted."""
        level = self._current(service)
        return {} if level is None else dict(level.fractions)

    def refresh(self) -> None:
        """Update the levels of services that had requests, so that their gauges do not stay behind."""
        for service in list(self.levels):
            self._current(service)

    def _current(self, service: ServiceName) -> AdmissionLevel | None:
        if not self.is_active(service):
            if self.levels.pop(service, None) is not None:
                self._report(service, AdmissionLevel(), now())
            return None
        level = self.levels.get(service)
        if level is None:
            level = self.levels[service] = AdmissionLevel(self.phase)
        at = now()
        if at - level.updated_at >= UPDATE_INTERVAL_SECONDS:
            level.update(self.totals(service), at, self.floor(), self.is_covered(service))
            self._report(service, level, at)
        return level

    def _report(self, service: ServiceName, level: AdmissionLevel, at: float) -> None:
        logged_at, saturated, fractions = self.logged.get(service, (float("-inf"), False, {}))
        for urgency in fractions.keys() | level.fractions.keys() | set(self.urgencies_of(service)):
            self.metrics.gauge(gauge_name("admission", service, urgency), level.fractions.get(urgency, 1.0))
        changed = level.saturated != saturated or any(
            abs(level.fractions.get(urgency, 1.0) - fractions.get(urgency, 1.0)) >= LOGGED_CHANGE
            for urgency in fractions.keys() | level.fractions.keys()
        )
        if not changed or at - logged_at < LOG_INTERVAL_SECONDS:
            return
        self.logged[service] = (at, level.saturated, dict(level.fractions))
        event(
            "INFO",
            "admission level changed",
            service=service,
            fractions={urgency: round(part, 3) for urgency, part in sorted(level.fractions.items())},
            saturated=level.saturated,
        )


def admit_everything(metrics: Metrics) -> AdmissionLevels:
    """Create admission levels that admit every call."""
    return AdmissionLevels(lambda service: {}, lambda service: (), lambda: DEFAULT_ADMISSION_FLOOR, metrics)


def service_urgencies(tree: Tree) -> dict[ServiceName, frozenset[int]]:
    """Return the urgencies that requests of each service can have.

    Accounts whose groups set a priority go by that first, and by the priority of the endpoint then.
    """
    own = {level_at(tree, account.group).priority for account in tree.accounts.values()}
    found: dict[ServiceName, set[int]] = {}
    for endpoint in tree.endpoints:
        given = own if tree.keys_required and not endpoint.public else {None}
        urgencies = {urgency_of(priority, endpoint.priority) for priority in given}
        for target in endpoint.targets:
            found.setdefault(target.service, set()).update(urgencies)
    return {service: frozenset(urgencies) for service, urgencies in found.items()}


def urgencies_in_force(tree: Callable[[], Tree]) -> Callable[[ServiceName], frozenset[int]]:
    """Return a function from a service to its urgencies in the settings in force, computed once per tree.

    :param tree: returns the settings in force.
    """
    known: Tree | None = None
    urgencies: dict[ServiceName, frozenset[int]] = {}

    def urgencies_of(service: ServiceName) -> frozenset[int]:
        nonlocal known, urgencies
        if (current := tree()) is not known:
            known, urgencies = current, service_urgencies(current)
        return urgencies.get(service, frozenset())

    return urgencies_of
