"""Waiting for a path: whether a stream waits for room or is refused, and what a refused caller is told.

The decisions are made by :mod:`bayglade.room_forecast`; this module collects what they need. Where nothing
is known of other daemons, this daemon's own queue and completion rate stand for all.
"""

import math
from collections.abc import Callable

from bayglade.calls import Call, demand_of
from bayglade.clock import now
from bayglade.endpoints import Endpoint
from bayglade.exceptions import BackendRefused, BaygladeError, DeadlinePassed, NoRoute, Overloaded
from bayglade.ids import BackendId, ServiceName
from bayglade.logs import event
from bayglade.mechanisms import Mechanism
from bayglade.pathfinding import Path
from bayglade.paths import NO_LOAD
from bayglade.pipelines import Pipeline
from bayglade.relay import Attempts, RelayContext
from bayglade.room_forecast import (
    ADMISSION_RETRY_SECONDS,
    AFTER_LOSS_SECONDS,
    MEASURE_SECONDS,
    START_SECONDS,
    RoomForecast,
    abandon_seconds,
    completion_rate,
    retry_after,
)
from bayglade.trials import heads_to_avoid

MAX_WAIT_SECONDS = 1.5
"""How long a call waits for room. Callers of a stream disconnect after two seconds without an event."""
WAIT_FRACTION = 0.75
"""Part of the time after which a caller leaves for which its call waits for room; the rest is for the first
event to arrive."""
RETRY_INTERVAL_SECONDS = 0.25
"""Retry interval of a stream that has begun, once it reached the bounds on attempts of a new call, or while
the retry budget is exhausted."""
COVERAGE_NEWS_SECONDS = 0.5
"""How long a daemon expects to miss layers that all have holders by the word of the daemon that issues the
orders: reports of the servers that loaded them arrive a little later."""


def reserve_path(
    context: RelayContext,
    call: Call,
    pipeline: Pipeline,
    attempts: Attempts,
    avoided: frozenset[BackendId],
    last_event_at: float | None,
    until_deadline: bool,
) -> Path | None:
    """Reserve a path, immediately or after a wait.

    :param context: the collaborators of the relay.
    :param call: the call.
    :param pipeline: facts of the model.
    :param attempts: its attempts so far; told the expected time until there is room if there is none.
    :param avoided: servers that must not be used.
    :param last_event_at: when the caller got the last event; None if it has none yet.
    :param until_deadline: whether it waits until its deadline.
    :return: the reserved path, or None if there is none, or no room in time.
    :raises Overloaded: if there is no room, and more urgent requests go first.
    """
    demand = demand_of(call, pipeline)
    attempts.clear_expected()

    def reserve_without(servers: frozenset[BackendId]) -> Path | None:
        path = context.paths.choose(call.service, pipeline, demand, servers, attempts.allowed_servers())
        if path is not None:
            context.paths.reserve(path, pipeline)
        return path

    def try_reserve() -> Path | None:
        return reserve_without(avoided)

    if (others := heads_to_avoid(context, call, avoided)) and (
        path := reserve_without(avoided | others)
    ) is not None:
        return path
    if not context.wait_queues.has_waiters(call.service):
        path = try_reserve()
        if path is not None:
            return path
    if until_deadline:
        return _await_begun(context, call, attempts, reserve_without, avoided)
    coverage = _seconds_until_covered(context, call, pipeline, attempts, avoided)
    if coverage is None and not (attempts.may_have_run and Mechanism.BEGUN_WAIT not in context.without):
        return None
    # Asked only where there is no room, so that admission never refuses while places are free.
    if _asks_admission(call, attempts) and not context.admission.admits(call):
        raise refuse_unadmitted(context, call)
    return _await_path(context, call, pipeline, attempts, avoided, last_event_at, coverage, try_reserve)


def _await_path(
    context: RelayContext,
    call: Call,
    pipeline: Pipeline,
    attempts: Attempts,
    avoided: frozenset[BackendId],
    last_event_at: float | None,
    coverage: float | None,
    try_reserve: Callable[[], Path | None],
) -> Path | None:
    """Wait for a path if the forecast says that there is one in time, and set what a refusal is to tell.

    :param last_event_at: when the caller got the last event; None if it has none yet.
    :param coverage: seconds until servers that the call may use cover all layers; None if not known.
    :param try_reserve: reserves a path if there is room.
    :return: the reserved path, or None if there was none in time.
    """
    # A call that may have run cannot be rejected as not run, so it also waits for layers being loaded.
    covered_in = coverage or 0.0
    since = call.arrived if last_event_at is None else last_event_at
    forecast = forecast_room(context, call.service, covered_in)
    until = min(call.deadline, since + MAX_WAIT_SECONDS)
    if forecast is not None:
        # A first event that comes after the deadline is of no use.
        until = min(call.deadline - call.endpoint.aim, since + max_wait_seconds(call.endpoint))
    expected = _expected_seconds(context, call, forecast, covered_in)
    if now() + expected <= until and Mechanism.WAITING not in context.without:
        path = context.wait_queues.wait(
            call,
            try_reserve,
            until,
            restricted=bool(avoided) or attempts.allowed_servers() is not None,
            is_hopeless=_hopeless_check(
                context, call, attempts, until, lambda: _coverage_expected(context, call, pipeline, avoided)
            ),
        )
        if path is not None:
            return path
        if forecast is not None:
            coverage = _seconds_until_covered(context, call, pipeline, attempts, avoided)
            if coverage is None and not attempts.may_have_run:
                return None
            covered_in = coverage or 0.0
            forecast = forecast_room(context, call.service, covered_in)
            expected = _expected_seconds(context, call, forecast, covered_in)
    attempts.seconds_until_room = expected
    attempts.by_forecast = forecast is not None
    if expected > 0:
        context.wait_queues.note_deferred(call.service, expected)
    event(
        "INFO",
        "no room",
        request=call.head.id,
        expected=round(expected, 2),
        waited=round(now() - since, 3),
        covered_in=round(covered_in, 2),
        rate=None if forecast is None else round(forecast.rate, 1),
    )
    return None


def _asks_admission(call: Call, attempts: Attempts) -> bool:
    """Return whether admission decides on a call: once, if it is new and was not sent yet."""
    asks = not attempts.admission_asked and attempts.send_count == 0 and call.head.last_event is None
    attempts.admission_asked = True
    return asks


def max_wait_seconds(endpoint: Endpoint) -> float:
    """Return how long a new stream waits for room."""
    return WAIT_FRACTION * abandon_seconds(endpoint)


def forecast_room(context: RelayContext, service: ServiceName, covered_in: float) -> RoomForecast | None:
    """Return the forecast for a service.

    :param context: the collaborators of the relay.
    :param service: the service.
    :param covered_in: seconds until its model is covered.
    :return: the forecast, or None if neither other daemons nor a time of coverage are known.
    """
    reports = context.reports
    loading = reports.seconds_until_covered(service)
    totals = reports.totals(service)
    if (not totals or reports.daemons() <= 1) and not (covered_in and loading):
        return None
    if covered_in:
        context.capacity.uncovered_at[service] = now()
        return RoomForecast(totals, covered_in, context.capacity.remembered_rate(service))
    return RoomForecast(totals, 0.0, _measure_rate(context, service))


def sample_rate(context: RelayContext, service: ServiceName) -> None:
    """Remember the completion rate of a covered model now and then, for when it no longer is covered."""
    at = now()
    if context.capacity.sample_due(service, at) and not context.reports.seconds_until_covered(service):
        context.capacity.note_rate(service, _measure_rate(context, service), at)


def refuse_unadmitted(context: RelayContext, call: Call) -> BaygladeError:
    """Return the error for a call that was not admitted, and count the refusal."""
    covered_in = context.reports.seconds_until_covered(call.service) or 0.0
    forecast = forecast_room(context, call.service, covered_in)
    room = (
        0.0
        if forecast is None
        else forecast.seconds_until_room(call.priority, context.capacity.is_returning(call), counted=True)
    )
    expected = max(ADMISSION_RETRY_SECONDS, room)
    told = retry_after(expected, call.seconds_left(), context.rng)
    error = Overloaded("more urgent requests need all servers", step="admission", retry_after=told)
    _record_refusal(context, call, error, expected)
    return error


def final_refusal(
    context: RelayContext, call: Call, attempts: Attempts, caller_served: bool
) -> BaygladeError:
    """Return the error for a call without an answer, and count it if it was refused for want of room.

    :param context: the collaborators of the relay.
    :param call: the call.
    :param attempts: its attempts.
    :param caller_served: whether its caller already has a part of the answer.
    """
    if attempts.seconds_until_room is None:
        _expect_after_failures(context, call, attempts)
    error = attempts.final_error(context.rng)
    had_no_place = attempts.send_count == 0 and attempts.failure is None
    if caller_served:
        return error
    if isinstance(error, (NoRoute, Overloaded)) or (isinstance(error, DeadlinePassed) and had_no_place):
        _record_refusal(context, call, error, attempts.seconds_until_room)
    return error


def _expect_after_failures(context: RelayContext, call: Call, attempts: Attempts) -> None:
    """Set the expected time until there is room for a call whose attempts all failed."""
    refused = isinstance(attempts.failure, BackendRefused)
    loaded_in = 0.0 if refused else context.reports.seconds_until_covered(call.service) or 0.0
    forecast = forecast_room(context, call.service, loaded_in)
    if forecast is not None and (refused or loaded_in):
        attempts.seconds_until_room = forecast.seconds_until_room(
            call.priority, context.capacity.is_returning(call)
        )
        attempts.by_forecast = True
        attempts.layers_missing = loaded_in > 0


def _record_refusal(
    context: RelayContext, call: Call, error: BaygladeError, expected: float | None
) -> None:
    told = error.retry_after
    # Callers come back once, so one that was refused before is not expected again.
    context.reports.note_refused(call, None if context.capacity.is_returning(call) else told)
    context.refusals.note(call.head.id, reason=error.message, expected_wait=expected)


def _expected_seconds(
    context: RelayContext, call: Call, forecast: RoomForecast | None, covered_in: float
) -> float:
    """Return how long a new stream would wait for room."""
    limited = _rate_limit_wait(context, call)
    if forecast is None:
        return max(covered_in, context.wait_queues.expected_wait(call.service), limited)
    return max(
        forecast.seconds_until_room(call.priority, context.capacity.is_returning(call), counted=True),
        limited,
    )


def _hopeless_check(
    context: RelayContext,
    call: Call,
    attempts: Attempts,
    until: float,
    coverage_expected: Callable[[], bool],
) -> Callable[[], bool]:
    """Return a function that returns whether a waiting request certainly gets no place in time.

    :param until: when it stops waiting, in monotonic seconds.
    :param coverage_expected: returns whether all layers have holders or are being loaded.
    """
    # If this daemon saw all layers while the reported coverage was still to come, the report was late.
    layers_missing = attempts.layers_missing
    heeds_coverage = layers_missing or not context.reports.seconds_until_covered(call.service)

    def is_hopeless() -> bool:
        if layers_missing and not attempts.may_have_run and not coverage_expected():
            return True
        covered_in = context.reports.seconds_until_covered(call.service) if heeds_coverage else None
        forecast = forecast_room(context, call.service, covered_in or 0.0)
        return forecast is not None and forecast.is_hopeless(call.priority, until - now())

    return is_hopeless


def _coverage_expected(
    context: RelayContext, call: Call, pipeline: Pipeline, avoided: frozenset[BackendId]
) -> bool:
    """Return whether all layers have holders here or a time is known at which they will."""
    if context.reports.seconds_until_covered(call.service) is not None:
        return True
    return context.paths.seconds_until_covered(call.service, pipeline, avoided) is not None


def _seconds_until_covered(
    context: RelayContext,
    call: Call,
    pipeline: Pipeline,
    attempts: Attempts,
    avoided: frozenset[BackendId],
) -> float | None:
    """Return when servers that the call may use cover all layers; None if it is not known.

    Sets whether layers are missing that are being loaded.
    """
    first_stages = attempts.allowed_servers()
    covered_in = context.paths.seconds_until_covered(call.service, pipeline, avoided, first_stages)
    attempts.layers_missing = False
    if covered_in is not None or avoided or first_stages is not None:
        return covered_in
    loaded_in = context.reports.seconds_until_covered(call.service)
    if loaded_in is None:
        return None
    attempts.layers_missing = True
    return max(loaded_in, COVERAGE_NEWS_SECONDS)


def _measure_rate(context: RelayContext, service: ServiceName) -> float:
    """Return the requests per second that end over all daemons, measured now or a moment ago."""
    at, capacity = now(), context.capacity
    known = capacity.measured.get(service)
    if known is not None and at - known[1] < MEASURE_SECONDS:
        return known[0]
    finished = math.fsum(report.finished for report in context.reports.totals(service).values())
    left = capacity.seconds_left(service, at)
    rate = completion_rate(finished, _count_running(context, service), left)
    remembered = capacity.remembered_rate(service)
    if at - capacity.created_at < START_SECONDS:
        # Nothing has ended yet that could be counted, so the rate is not known.
        rate = 0.0
    if at - capacity.uncovered_at.get(service, -math.inf) < AFTER_LOSS_SECONDS:
        rate = max(rate, remembered)
    capacity.measured[service] = (rate or remembered, at)
    return rate or remembered


def _count_running(context: RelayContext, service: ServiceName) -> int:
    """Return the number of streams that run at all daemons."""
    loads = context.paths.remote_loads()
    servers = context.fleet.of_service(service)
    return sum(server.in_flight + loads.get(server.facts.key, NO_LOAD).heads for server in servers)


def _rate_limit_wait(context: RelayContext, call: Call) -> float:
    """Return the wait of a new stream if all first stages are rate-limited; zero if one is not."""
    first_stages = [
        s for s in context.fleet.healthy(call.service) if s.facts.layer_count and s.facts.first == 0
    ]
    ahead = context.wait_queues.count_ahead(call.service)
    return context.fleet.rate_limits.expected_wait(first_stages, ahead) or 0.0


def _await_begun(
    context: RelayContext,
    call: Call,
    attempts: Attempts,
    reserve_without: Callable[[frozenset[BackendId]], Path | None],
    avoided: frozenset[BackendId],
) -> Path | None:
    """Wait for a place for a stream that has begun, until its deadline.

    Servers that failed or were full may recover after a moment; dead ones are not offered by the fleet.

    :return: the reserved path, or None if there was none in time.
    """
    since = now()

    def try_reserve() -> Path | None:
        return reserve_without(avoided if now() < since + RETRY_INTERVAL_SECONDS else frozenset())

    restricted = bool(avoided) or attempts.allowed_servers() is not None
    path = context.wait_queues.wait(
        call,
        try_reserve,
        call.deadline,
        restricted,
        begun=True,
        should_give_up=lambda: context.quarantine.is_stopped(call),
    )
    event(
        "INFO",
        "stream waited",
        request=call.head.id,
        seconds=round(now() - since, 3),
        found=path is not None,
        left=round(call.seconds_left(), 3),
    )
    return path
