"""Relays streams: events are forwarded as they arrive, from one run or several in turn.

How runs are placed and watched depends on the service: servers of a model are
chosen as paths through its layers, those of a plain service one by one
(:mod:`bayglade.plain_streams`). All else is the same. A call gets a path with
room, or waits for one as long as its caller does. If a run ends before the
stream does (see :mod:`bayglade.runs`), another run resumes it after the last
event that was delivered, within the same HTTP answer.
"""

from contextlib import suppress
from functools import partial

import eventlet

from bayglade.calls import AnswerHead, Call, demand_of
from bayglade.clock import now
from bayglade.delivery import Delivery
from bayglade.exceptions import (
    BackendError,
    BackendRefused,
    BackendSilent,
    BackendUnreachable,
    BackendUnwilling,
    CutOff,
    Isolated,
    Outcome,
    PeerRefused,
    Unauthenticated,
)
from bayglade.forwarding import ForwardedExchange
from bayglade.http1 import Message, answer_headers
from bayglade.ids import BackendId
from bayglade.listener import Connection
from bayglade.logs import event
from bayglade.mechanisms import Mechanism
from bayglade.path_waiting import (
    RETRY_INTERVAL_SECONDS,
    final_refusal,
    reserve_path,
    sample_rate,
)
from bayglade.pathfinding import Path
from bayglade.pipelines import Pipeline
from bayglade.plain_streams import plain_run_policy
from bayglade.relay import (
    Attempts,
    RelayContext,
    attempts_at,
    await_crash_reports,
    forward,
    request_fingerprint,
    request_parts,
)
from bayglade.room_forecast import StreamProgress
from bayglade.runs import (
    Run,
    RunPolicy,
    investigate_stall,
    leave_departing_stages,
    note_sound_run,
    record_possible_crash,
)
from bayglade.sending import read_answer_head, send
from bayglade.servers import Server
from bayglade.sse import EventSplitter
from bayglade.trials import refusing_stages
from bayglade.upstream import Exchange

EVENT_STREAM_TYPE = "text/event-stream"
FULL_STAGE_SECONDS = 0.25
"""How long a stage counts as full after it rejected a request. A request ends there every few hundredths
of a second, and if the stage is still full, the next rejection says so."""
STALL_POLL_SECONDS = 0.04
"""How often a waiting stream checks whether a stage of its path is known to be dead: a little longer than
the usual time between events."""


def relay_stream(
    context: RelayContext, call: Call, pipeline: Pipeline | None, connection: Connection
) -> None:
    """Serve a streamed call, or any call to a model.

    :param context: the collaborators of the relay.
    :param call: the call.
    :param pipeline: facts of the model; None for a plain service.
    :param connection: the caller's connection.
    :raises BaygladeError: if the call cannot be answered; ``connection.response_started`` shows whether
        parts of the answer were sent.
    """
    # Only a stream that may be resumed is cut to what its caller lacks.
    last_event = None if call.at_most_once else call.head.last_event
    if pipeline is None:
        delivery = Delivery(connection, last_event, StreamProgress(0.0))
        with attempts_at(context, call) as attempts:
            _serve(context, call, plain_run_policy(context, call), attempts, delivery)
        return
    delivery = Delivery(connection, last_event, StreamProgress(demand_of(call, pipeline).answer))
    context.capacity.note_deadline(call)
    with attempts_at(context, call) as attempts:
        _relay_counted(context, call, _model_run_policy(context, call, pipeline), attempts, delivery)


def _model_run_policy(context: RelayContext, call: Call, pipeline: Pipeline) -> RunPolicy:
    def after_event(run: Run) -> None:
        note_sound_run(context, call, run)
        leave_departing_stages(context, call, pipeline, run)

    return RunPolicy(
        reserve=partial(reserve_path, context, call, pipeline),
        investigate=partial(investigate_stall, context, call, pipeline),
        after_event=after_event,
        record_failure=partial(_record_failure, context, call),
        final_error=partial(final_refusal, context, call),
        timeouts=context.stall_timeouts,
        forecast=True,
    )


def _relay_counted(
    context: RelayContext, call: Call, policy: RunPolicy, attempts: Attempts, delivery: Delivery
) -> None:
    """Relay a call to a model, counting its demand and its share."""
    progress = delivery.progress
    answered = False
    if context.forwarding.is_needed(call):
        # Demand and shares are counted by the daemon that sends the call to a server.
        _serve(context, call, policy, attempts, delivery)
        return
    context.reports.note_offered(call)
    try:
        context.wait_queues.charge(call)
        _serve(context, call, policy, attempts, delivery)
        answered = True
    finally:
        context.reports.note_finished(call, answered)
        if progress.admitted:
            context.capacity.end(call.service, progress, now())
            sample_rate(context, call.service)


def _serve(
    context: RelayContext, call: Call, policy: RunPolicy, attempts: Attempts, delivery: Delivery
) -> None:
    """Relay a call that was admitted, in as many attempts as it takes.

    :raises BaygladeError: if the call cannot be answered.
    """
    avoided: frozenset[BackendId] = frozenset()
    while attempts.can_continue(_kept_until_deadline(context, delivery)):
        if _kept_until_deadline(context, delivery) and not _await_retry(context, call, attempts):
            break
        if context.forwarding.is_needed(call):
            if _relay_forwarded(context, call, policy, attempts, delivery):
                return
            continue
        last_event_at = delivery.last_sent_at if delivery.begun else None
        until_deadline = _kept_until_deadline(context, delivery)
        path = policy.reserve(attempts, avoided, last_event_at, until_deadline)
        if path is None:
            # Servers that failed may have recovered; dead ones are not offered by the fleet.
            if not avoided or attempts.seconds_until_room is not None:
                break
            avoided = frozenset()
            continue
        if ended := refusing_stages(context, call, path.servers):
            path.release()
            # Counted like any unreachable server. Otherwise one that is not suspect yet is chosen forever.
            attempts.unreachable_count += 1
            avoided |= ended
            continue
        run = Run(path, attempts)
        try:
            may_send = attempts.may_send(context, _kept_until_deadline(context, delivery))
            if not may_send or not attempts.hold_retry(context):
                if attempts.stop_error is None and _kept_until_deadline(context, delivery):
                    continue
                break
            if policy.forecast and not delivery.progress.admitted:
                context.capacity.begin(call.service, delivery.progress)
                context.reports.note_admitted(call)
            _attempt(context, call, policy, run, delivery, attempts)
            _record_answer(context, call, delivery, attempts)
            return
        except BackendError as error:
            avoided |= policy.record_failure(run, error)
            if policy.forecast and error.outcome is Outcome.NOT_RUN and not delivery.begun:
                # It waits for a place again.
                context.reports.note_rejected(call)
                context.capacity.withdraw(call.service, delivery.progress)
            if not attempts.note_failure(error):
                break
            context.reachability.await_check(call.service)
        except (CutOff, Unauthenticated):
            # Both errors imply that the call has not run, which is uncertain once it was sent.
            if not attempts.may_have_run:
                raise
            if not _kept_until_deadline(context, delivery):
                break
        finally:
            attempts.release_retry()
            run.path.release()
            context.wait_queues.note_completion(call.service)
        await_crash_reports(context, call)
        if call.forwarded and delivery.begun:
            # No permit can be asked for inside an answer: the daemon that forwarded the call resumes it.
            break
    raise policy.final_error(attempts, delivery.begun)


def _relay_forwarded(
    context: RelayContext, call: Call, policy: RunPolicy, attempts: Attempts, delivery: Delivery
) -> bool:
    """Relay a call through another daemon.

    :return: whether its answer is complete; if not, the call may be tried again.
    :raises BaygladeError: if the call must not be tried again.
    """
    kept = _kept_until_deadline(context, delivery)
    if kept and not context.forwarding.is_possible(call.service):
        _pause(call)
        return False
    if not attempts.may_send(context, kept):
        if attempts.stop_error is None and kept:
            return False
        raise policy.final_error(attempts, delivery.begun)
    try:
        forwarded, message = forward(context, call, attempts, delivery.last_event)
    except (Isolated, PeerRefused) as error:
        if kept and call.seconds_left() > 0:
            _pause(call)
            return False
        if attempts.may_have_run:
            raise policy.final_error(attempts, delivery.begun) from error
        raise
    except BackendError as error:
        _note_forward_failure(call, policy, attempts, delivery, error)
        return False
    try:
        if _is_event_stream(message):
            _forward_peer_events(forwarded, message, delivery, attempts, context.max_event_bytes)
        else:
            _forward_whole(call, forwarded.exchange, message, delivery, context.max_answer_bytes)
    except BackendError as error:
        _note_forward_failure(call, policy, attempts, delivery, error)
        return False
    finally:
        forwarded.close()
    _record_answer(context, call, delivery, attempts)
    return True


def _note_forward_failure(
    call: Call, policy: RunPolicy, attempts: Attempts, delivery: Delivery, error: BackendError
) -> None:
    """Record that another daemon gave no complete answer.

    :raises BaygladeError: if the call must not be tried again.
    """
    event("INFO", "forward failed", request=call.head.id, error=repr(error))
    if not attempts.note_failure(error):
        raise policy.final_error(attempts, delivery.begun)


def _forward_peer_events(
    forwarded: ForwardedExchange,
    message: Message,
    delivery: Delivery,
    attempts: Attempts,
    max_event_bytes: int,
) -> None:
    splitter = EventSplitter(max_event_bytes)
    last_event_at = now() if delivery.begun else None
    while (piece := forwarded.read_piece(last_event_at)) is not None:
        if events := splitter.feed(piece):
            last_event_at = now()
        delivery.deliver(message, events)
        attempts.resumable = delivery.numbered
    if splitter.buffer:
        raise BackendError("the stream ended inside an event", step="stream", peer=forwarded.member)
    delivery.finish(message)


def _kept_until_deadline(context: RelayContext, delivery: Delivery) -> bool:
    """Return whether a stream is retried until its deadline.

    A call without any event is best rejected early, because its caller can try elsewhere. A stream that
    has begun could only be cut off, and its caller knows best how long to wait. Under the bounds for new
    calls it would be cut moments before other servers have loaded the layers of a lost one.
    """
    return delivery.begun and Mechanism.BEGUN_WAIT not in context.without


def _await_retry(context: RelayContext, call: Call, attempts: Attempts) -> bool:
    """Wait until a stream that has begun may be sent again, before it reserves a place.

    :return: false if its deadline passed, or if it must not be sent any more.
    """
    if attempts.exhausted():
        _pause(call)
    logged = False
    while call.seconds_left() > 0 and not attempts.check_stopped(context):
        # A forwarded call is charged by the daemon that sends it to a server.
        spent = not context.forwarding.is_needed(call) and not attempts.has_retry_budget(context)
        if not spent and _is_authorized(context, call):
            return True
        if spent and not logged:
            attempts.log_retries_spent(context)
            logged = True
        _pause(call)
    return False


def _is_authorized(context: RelayContext, call: Call) -> bool:
    """Return whether the data about keys is fresh enough to send a call.

    :raises Unauthenticated: if its key was revoked.
    """
    try:
        context.check_authorization(call)
    except CutOff:
        return False
    return True


def _pause(call: Call) -> None:
    eventlet.sleep(max(0.0, min(RETRY_INTERVAL_SECONDS, call.seconds_left())))


def _record_answer(context: RelayContext, call: Call, delivery: Delivery, attempts: Attempts) -> None:
    context.quarantine.note_answered(call)
    if delivery.first_event_seconds is not None:
        context.metrics.observe("first_event_seconds", delivery.first_event_seconds)
        context.metrics.observe("longest_gap_seconds", delivery.longest_gap)
    event(
        "INFO",
        "answered",
        request=call.head.id,
        sent=attempts.send_count,
        last=delivery.last_event,
        first=round(delivery.first_event_seconds or 0.0, 3),
        gap=round(delivery.longest_gap, 3),
    )


def _attempt(
    context: RelayContext, call: Call, policy: RunPolicy, run: Run, delivery: Delivery, attempts: Attempts
) -> None:
    """Make one attempt, up to the end of the stream."""
    head = run.path.servers[0]
    keep_seconds = None
    exchange = send(context, call, attempts, head, run.path, delivery.last_event)
    run.start(exchange)
    try:
        message, answer = _await_head(context, call, policy, run)
        if _is_event_stream(message):
            _forward_events(context, call, policy, run, message, delivery)
        else:
            _forward_whole(call, exchange, message, delivery, context.max_answer_bytes)
        keep_seconds = answer.keep_alive_seconds
    finally:
        run.note_read()
        exchange.close(keep_seconds)
    for server in run.path.servers:
        context.fleet.record_success(server)
    if run.begun_at is not None:
        context.quarantine.note_sound(call, run.begun_at)


def _await_head(
    context: RelayContext, call: Call, policy: RunPolicy, run: Run
) -> tuple[Message, AnswerHead]:
    since = now()
    head = run.path.servers[0]
    while True:
        timeout = policy.timeouts.first_event_timeout(call.endpoint.aim)
        try:
            return read_answer_head(context, call, head, run.exchange, _next_poll_at(call, since, timeout))
        except BackendSilent:
            since = _check_stall(context, call, policy, run, since, timeout)


def _check_stall(
    context: RelayContext, call: Call, policy: RunPolicy, run: Run, since: float, timeout: float
) -> float:
    """Investigate a stream that has been without an event for the timeout, or that has a dead stage.

    :param since: when it stalled, or when it was last investigated.
    :return: the same, as of now.
    :raises BackendError: if the run has to end.
    """
    if not run.should_leave_dead_stage() and not _stalled(call, since, timeout):
        return since
    _leave_if_isolated(context, call)
    policy.investigate(run, timeout)
    _leave_if_isolated(context, call)
    return now()


def _leave_if_isolated(context: RelayContext, call: Call) -> None:
    """End a stalled run of a daemon that reaches no server, so that another daemon resumes the stream.

    :raises BackendError: if the daemon is isolated and the call may be run again.
    """
    if context.forwarding.is_needed(call) and not call.at_most_once:
        raise BackendError("no server is in reach", step="stream")


def _next_poll_at(call: Call, since: float, timeout: float) -> float:
    """Return when to check next whether a waiting stream needs investigation.

    :param since: when the stream stalled, or when it was last investigated.
    :param timeout: seconds without an event after which it is investigated.
    """
    return min(call.deadline, since + timeout, now() + STALL_POLL_SECONDS)


def _stalled(call: Call, since: float, timeout: float) -> bool:
    """Return whether a stream has been without an event for the timeout, or its deadline passed."""
    at = now()
    return at >= since + timeout or at >= call.deadline


def _is_event_stream(message: Message) -> bool:
    """Return whether an answer consists of events; one that does not name its type is taken to."""
    content_type = message.header("content-type")
    return message.status == 200 and (
        content_type is None or content_type.lower().startswith(EVENT_STREAM_TYPE)
    )


def _forward_whole(
    call: Call, exchange: Exchange, message: Message, delivery: Delivery, max_bytes: int
) -> None:
    """Forward an answer that is no event stream, mostly an error, once it is complete."""
    content = exchange.read_body(call.deadline, max_bytes, call.hold_answer)
    if delivery.begun:
        raise BackendError(
            "cannot resume the stream: the server failed", step="stream", peer=exchange.backend
        )
    delivery.connection.send_response(message.status, answer_headers(message.headers), content)


def _forward_events(
    context: RelayContext, call: Call, policy: RunPolicy, run: Run, message: Message, delivery: Delivery
) -> None:
    splitter, held = EventSplitter(context.max_event_bytes), 0
    since = now()
    while True:
        if delivery.begun:
            timeout = policy.timeouts.gap_timeout(call.endpoint.gap_aim)
        else:
            timeout = policy.timeouts.first_event_timeout(call.endpoint.aim)
        piece: bytes | None = b""
        with suppress(BackendSilent):
            piece = run.exchange.read_piece(_next_poll_at(call, since, timeout))
        if piece is None:
            break
        events = splitter.feed(piece) if piece else []
        if len(splitter.buffer) != held:
            held = len(splitter.buffer)
            call.hold_answer(held)
        if not events:
            # A server may also send bytes without end that complete no event.
            since = _check_stall(context, call, policy, run, since, timeout)
            continue
        since = now()
        policy.timeouts.record(now() - run.last_event_at, run.begun)
        run.note_event()
        delivery.deliver(message, events)
        run.attempts.resumable = delivery.numbered
        policy.after_event(run)
    if splitter.buffer:
        raise BackendError("the stream ended inside an event", step="stream", peer=run.exchange.backend)
    delivery.finish(message)


def _record_failure(
    context: RelayContext, call: Call, run: Run, error: BackendError
) -> frozenset[BackendId]:
    """Update the state of the servers of a failed attempt, and return those to avoid now."""
    path, head = run.path, run.path.servers[0]
    server = _server_at_fault(path, error.at_fault) if isinstance(error, BackendRefused) else head
    event(
        "INFO",
        "attempt failed",
        request=call.head.id,
        peer=head.facts.id,
        at_fault=server.facts.id,
        error=repr(error),
        content=request_fingerprint(context, call, error),
        parts=request_parts(context, call, error),
        rest=error.rest_seconds if isinstance(error, BackendRefused) else None,
        begun=None if run.first_event_at is None else round(now() - run.first_event_at, 3),
    )
    if context.reachability.is_isolated(call.service) and not isinstance(error, BackendRefused):
        # The failure is one of this daemon's own links.
        return frozenset()
    if isinstance(error, BackendRefused):
        if error.misdirected:
            context.fleet.mark_replaced(head)
            return frozenset({server.facts.id})
        server.full_until = now() + FULL_STAGE_SECONDS
        if server is not head:
            if error.rest_seconds is not None:
                context.fleet.set_rest(server, error.rest_seconds)
            # The answer names the stage that did not take part, but not why: it may be dead.
            eventlet.spawn_n(context.diagnosis.probe, [server])
        return frozenset({server.facts.id})
    if isinstance(error, BackendUnwilling):
        return frozenset({BackendId(error.peer)})
    if not isinstance(error, BackendUnreachable):
        record_possible_crash(context, call, run, head)
    if isinstance(error, BackendUnreachable):
        context.fleet.mark_suspect(head, error.code)
    elif not head.suspect:
        # A terminating server breaks off its connections. Probe it now, before others run into it.
        eventlet.spawn_n(context.diagnosis.probe_again, [head])
    dead = {server.facts.id for server in path.servers if server.suspect}
    return frozenset(dead) or frozenset({head.facts.id})


def _server_at_fault(path: Path, address: str | None) -> Server:
    for server in path.servers:
        if server.facts.address == address:
            return server
    return path.servers[0]
