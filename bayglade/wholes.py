"""Relays calls to plain services: an answer is read completely before any byte goes to the caller.

Streams of plain services are relayed by :mod:`bayglade.streams`.
"""

from collections.abc import Callable, Sequence, Set
from typing import TypeVar

import eventlet

from bayglade.calls import AnswerHead, Call
from bayglade.clock import now
from bayglade.exceptions import (
    BackendError,
    BackendRefused,
    BackendSilent,
    BackendUnreachable,
    BackendUnwilling,
    CutOff,
    Isolated,
    PeerRefused,
    Unauthenticated,
)
from bayglade.http1 import Headers, Message, answer_headers
from bayglade.ids import BackendId
from bayglade.listener import Connection
from bayglade.logs import event
from bayglade.plain_balancing import balanced_services, choose_server, without_recent_refusals
from bayglade.relay import (
    Attempts,
    RelayContext,
    attempts_at,
    await_crash_reports,
    forward,
    probe_server,
    request_fingerprint,
    request_parts,
)
from bayglade.reservations import Reservation
from bayglade.sending import read_answer_head, send
from bayglade.servers import Server
from bayglade.trials import wait_for_isolated
from bayglade.upstream import Exchange

ANSWER_TIMEOUT_FRACTION = 0.6
"""Fraction of the latency objective after which a repeatable call is tried at another server."""
BODY_TIMEOUT_FRACTION = 0.5
"""Fraction of the time left that a body may take, if the call can then be tried elsewhere."""
RETRY_CHECK_SECONDS = 0.1
"""Interval at which a call that waits for a slow server checks whether it may be tried at another one."""
MAX_WAIT_SECONDS = 1.5
"""How long a call waits for a rate-limited server."""
ReservationT = TypeVar("ReservationT", bound=Reservation)

REMOTE_HALL_PENALTY = 0.5
"""Added to the load of a server in another hall, because its answers take longer."""


class BufferedAnswer:
    """A complete answer of a server."""

    __slots__ = ("content", "headers", "status")

    def __init__(self, message: Message, content: bytes) -> None:
        self.status = message.status
        self.headers: Headers = answer_headers(message.headers)
        self.content = content

    def __repr__(self) -> str:
        return f"<BufferedAnswer {self.status} {len(self.content)} bytes>"


def relay_buffered(context: RelayContext, call: Call, connection: Connection) -> None:
    """Serve a call to a plain service.

    :param context: the collaborators of the relay.
    :param call: the call.
    :param connection: the caller's connection.
    :raises BaygladeError: if there is no answer to forward; nothing was sent to the caller.
    """
    with attempts_at(context, call) as attempts:
        _relay_buffered(context, call, connection, attempts)


def _relay_buffered(context: RelayContext, call: Call, connection: Connection, attempts: Attempts) -> None:
    answer: BufferedAnswer | None = None
    while attempts.may_send(context):
        if context.forwarding.is_needed(call):
            answer = _relay_forwarded(context, call, attempts)
            if answer is not None:
                break
            continue
        if attempts.sent and not attempts.has_retry_budget(context):
            attempts.log_retries_spent(context)
            break
        place = reserve_server(context, call, attempts, attempts.tried, _make_reservation)
        if place is None:
            break
        if not attempts.hold_retry(context):
            place.release()
            break
        server = place.servers[0]
        try:
            answer = _attempt(context, call, place, attempts)
        except BackendError as error:
            record_failure(context, call, server, error, attempts.last_sent_at)
            if not attempts.note_failure(error):
                break
            context.reachability.await_check(call.service)
            await_crash_reports(context, call)
            continue
        except (CutOff, Unauthenticated):
            # Both errors imply that the call has not run, which is uncertain once it was sent.
            if not attempts.may_have_run and answer is None:
                raise
            break
        # An error that the server vouches for is final unless another server may do better.
        if answer.status < 500 or not call.endpoint.repeatable:
            break
    if answer is None:
        raise attempts.final_error(context.rng)
    if answer.status < 500:
        context.quarantine.note_answered(call)
        if not context.forwarding.is_needed(call):
            context.quarantine.note_sound(call, attempts.last_sent_at)
    connection.send_response(answer.status, answer.headers, answer.content)
    event("INFO", "answered", request=call.head.id, status=answer.status, sent=attempts.send_count)


def _relay_forwarded(context: RelayContext, call: Call, attempts: Attempts) -> BufferedAnswer | None:
    """Relay a call through another daemon.

    :return: its answer; None if the call may be tried again.
    :raises BaygladeError: if it must not be tried again.
    """
    forwarded = None
    try:
        forwarded, message = forward(context, call, attempts, None)
        return BufferedAnswer(message, forwarded.read_body(context.max_answer_bytes))
    except BackendError as error:
        event("INFO", "forward failed", request=call.head.id, error=repr(error))
        if not attempts.note_failure(error):
            raise attempts.final_error(context.rng) from error
        return None
    except (Isolated, PeerRefused) as error:
        if attempts.may_have_run:
            raise attempts.final_error(context.rng) from error
        raise
    finally:
        if forwarded is not None:
            forwarded.close()


def _make_reservation(server: Server) -> Reservation:
    return Reservation((server,))


def reserve_server(
    context: RelayContext,
    call: Call,
    attempts: Attempts,
    excluded: Set[BackendId],
    make_place: Callable[[Server], ReservationT],
) -> ReservationT | None:
    """Choose a server, or wait until a rate-limited one accepts another request.

    :param context: the collaborators of the relay.
    :param call: the call.
    :param attempts: its attempts so far; told the expected time until there is room if there is none.
    :param excluded: servers that must not be used.
    :param make_place: creates the reservation of a server.
    :return: the reserved place, or None if there is none in time.
    """

    def try_reserve() -> ReservationT | None:
        server = _choose_server(context, call, attempts, excluded)
        if server is None:
            return None
        place = make_place(server)
        place.take()
        return place

    attempts.seconds_until_room = None
    no_queue = not context.wait_queues.has_waiters(call.service)
    if no_queue and (place := try_reserve()) is not None:
        return place
    servers = [s for s in context.fleet.healthy(call.service) if s.facts.id not in excluded]
    expected = context.fleet.rate_limits.expected_wait(
        servers, context.wait_queues.count_ahead(call.service)
    )
    if expected is None and not no_queue and (place := try_reserve()) is not None:
        # There is a server without a rate limit, so the requests that wait are about to be granted places.
        return place
    if expected is None:
        attempts.seconds_until_room = context.fleet.seconds_until_available(call.service)
        return None
    # A request granted later could not be answered before its deadline.
    until = min(call.deadline - call.endpoint.aim, call.arrived + MAX_WAIT_SECONDS)
    if now() + expected <= until and any(server.throttle is not None for server in servers):
        place = context.wait_queues.wait(call, try_reserve, until, restricted=bool(excluded))
        if place is not None:
            return place
    attempts.seconds_until_room = expected
    context.wait_queues.note_deferred(call.service, expected)
    event("INFO", "no room", request=call.head.id, expected=round(expected, 2))
    return None


def _attempt(context: RelayContext, call: Call, place: Reservation, attempts: Attempts) -> BufferedAnswer:
    server = place.servers[0]
    attempts.tried.add(server.facts.id)
    server.in_flight += 1
    keep_seconds, began = None, now()
    try:
        exchange = send(context, call, attempts, server, None, None, place)
        try:
            message, head = _await_answer_head(context, call, server, exchange, attempts)
            until = _body_deadline(context, call, attempts)
            content = exchange.read_body(until, context.max_answer_bytes, call.hold_answer)
            keep_seconds = head.keep_alive_seconds
        finally:
            exchange.close(keep_seconds)
    finally:
        server.in_flight -= 1
        place.release()
    if message.status < 500:
        context.fleet.record_success(server)
        server.note_answer(now() - began, now())
    return BufferedAnswer(message, content)


def _await_answer_head(
    context: RelayContext, call: Call, server: Server, exchange: Exchange, attempts: Attempts
) -> tuple[Message, AnswerHead]:
    """Wait for the head of an answer, or until a repeatable call can be tried at another server.

    It stays until a retry is held: without one, the late answer is all that its caller can get.

    :raises BackendError: as :func:`read_answer_head`.
    """
    until = call.deadline
    if call.endpoint.repeatable:
        until = min(until, now() + ANSWER_TIMEOUT_FRACTION * call.endpoint.aim)
    logged = False
    while True:
        try:
            return read_answer_head(context, call, server, exchange, until)
        except BackendSilent:
            if now() >= call.deadline or attempts.charge is not None:
                raise
        until = min(call.deadline, now() + RETRY_CHECK_SECONDS)
        if not _has_other_server(context, call, attempts):
            continue
        if attempts.can_retry(context) and attempts.hold_retry(context):
            # The answer may have arrived while retries were borrowed.
            until = now()
        elif not logged:
            attempts.log_retries_spent(context)
            logged = True


def _body_deadline(context: RelayContext, call: Call, attempts: Attempts) -> float:
    """Return when to give up reading the body of an answer, in monotonic seconds."""
    if not call.endpoint.repeatable or not _has_other_server(context, call, attempts):
        return call.deadline
    if not context.retry_ledger(call.service).available():
        return call.deadline
    return now() + BODY_TIMEOUT_FRACTION * call.seconds_left()


def _has_other_server(context: RelayContext, call: Call, attempts: Attempts) -> bool:
    """Return whether a call that was sent may be sent to another server as well."""
    if len(attempts.used_servers) >= call.endpoint.max_attempts:
        return False
    return any(server.facts.id not in attempts.tried for server in context.fleet.usable(call.service))


def _choose_server(
    context: RelayContext, call: Call, attempts: Attempts, excluded: Set[BackendId]
) -> Server | None:
    """Choose a server, by the counts of all daemons where many of them share a few slots."""
    service = context.fleet.of_service(call.service)
    if not balanced_services(context.diagnosis.count_daemons(), service, ()):
        return _least_busy(context, call, attempts, excluded)
    at = now()
    fitting = _fitting_servers(context, call, attempts, excluded)
    if not fitting:
        return None
    if call.at_most_once:
        fitting = without_recent_refusals(fitting, at)
    others = {key: load.heads for key, load in context.paths.remote_loads().items()}
    return choose_server(fitting, context.paths.hall, others, at, context.rng)


def _least_busy(
    context: RelayContext, call: Call, attempts: Attempts, excluded: Set[BackendId]
) -> Server | None:
    """Choose the server that is least busy by this daemon's own count, of those not excluded."""
    at, own = now(), context.paths.hall
    return min(
        _fitting_servers(context, call, attempts, excluded),
        key=lambda s: (
            s.in_flight / max(1, s.facts.slots)
            + (REMOTE_HALL_PENALTY if s.facts.hall != own else 0.0)
            + s.failures
            + s.refusals.read(at),
            context.rng.random(),
        ),
        default=None,
    )


def _fitting_servers(
    context: RelayContext, call: Call, attempts: Attempts, excluded: Set[BackendId]
) -> Sequence[Server]:
    """Return the servers to which a call may be sent now, of those not excluded."""
    at = now()
    servers = [s for s in context.fleet.healthy(call.service) if s.facts.id not in excluded]
    context.fleet.rate_limits.request_tokens(servers)
    fitting = [server for server in servers if server.available_at(at) <= at]
    allowed = attempts.allowed_servers()
    if allowed is not None:
        # Left are servers to which only other daemons have sent the call.
        fitting = [server for server in fitting if server.facts.id in allowed]
    if not fitting:
        return []
    if context.quarantine.is_suspect(call):
        fitting = wait_for_isolated(context, call, fitting) or fitting
    return fitting


def record_failure(
    context: RelayContext,
    call: Call,
    server: Server,
    error: BackendError,
    sent_at: float = float("-inf"),
    begun_at: float | None = None,
) -> None:
    """Update the state of a server after a failed attempt.

    :param context: the collaborators of the relay.
    :param call: the call.
    :param server: the server.
    :param error: how the attempt failed.
    :param sent_at: when the call was sent, in monotonic seconds.
    :param begun_at: when the first event of its answer arrived, in monotonic seconds.
    """
    event(
        "INFO",
        "attempt failed",
        request=call.head.id,
        peer=server.facts.id,
        error=repr(error),
        content=request_fingerprint(context, call, error),
        parts=request_parts(context, call, error),
        rest=error.rest_seconds if isinstance(error, BackendRefused) else None,
    )
    if isinstance(error, BackendRefused):
        server.refusals.add(1.0, now())
        if error.misdirected:
            context.fleet.mark_replaced(server)
        return
    if isinstance(error, BackendUnwilling):
        return
    if isinstance(error, BackendSilent):
        context.reachability.note_failure(server.facts.id)
    if context.reachability.is_isolated(call.service):
        # The failure is one of this daemon's own links.
        return
    if not isinstance(error, BackendUnreachable):
        _record_possible_crash(context, call, server, error, sent_at, begun_at)
    context.fleet.mark_suspect(server, error.code)


def _record_possible_crash(
    context: RelayContext,
    call: Call,
    server: Server,
    error: BackendError,
    sent_at: float,
    begun_at: float | None,
) -> None:
    """Record that a server may have crashed while it ran a call, and probe whether it has."""
    context.quarantine.note_interrupted(call, server.facts.key, begun_at, sent_at)
    if not isinstance(error, BackendSilent):
        eventlet.spawn_n(probe_server, context, server)
