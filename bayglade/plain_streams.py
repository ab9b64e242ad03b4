"""Runs of streams at plain services, which have no layers, reports or reroutes.

A run uses one server. If that breaks off, or does not answer any more, a stream
that may be resumed goes on at another server.
"""

from functools import partial

import eventlet

from bayglade.calls import Call
from bayglade.clock import now
from bayglade.exceptions import BackendError, BackendSilent, BaygladeError
from bayglade.ids import BackendId
from bayglade.models import Route
from bayglade.path_waiting import RETRY_INTERVAL_SECONDS
from bayglade.pathfinding import Path
from bayglade.pipelines import Demand
from bayglade.relay import Attempts, RelayContext
from bayglade.runs import SILENT_CONNECTION_SECONDS, Run, RunPolicy, note_sound_run
from bayglade.servers import Server
from bayglade.wholes import record_failure, reserve_server

NO_ROUTE = Route(())
NO_DEMAND = Demand(0.0, 0.0)


def plain_run_policy(context: RelayContext, call: Call) -> RunPolicy:
    """Return how the runs of a stream at a plain service are placed, watched and recorded.

    :param context: the collaborators of the relay.
    :param call: the call.
    """
    return RunPolicy(
        reserve=partial(_reserve, context, call),
        investigate=partial(_investigate, context, call),
        after_event=partial(note_sound_run, context, call),
        record_failure=partial(_record_failure, context, call),
        final_error=partial(_final_error, context),
        timeouts=context.plain_stall_timeouts,
        forecast=False,
    )


def _reserve(
    context: RelayContext,
    call: Call,
    attempts: Attempts,
    avoided: frozenset[BackendId],
    last_event_at: float | None,
    until_deadline: bool,
) -> Path | None:
    """Reserve a server; a stream that has begun waits for one until its deadline."""
    while True:
        path = reserve_server(context, call, attempts, avoided, _path_to)
        if path is not None or not until_deadline:
            return path
        if call.seconds_left() <= 0 or context.quarantine.is_stopped(call):
            return None
        # Servers that failed may have recovered.
        avoided = frozenset()
        eventlet.sleep(min(RETRY_INTERVAL_SECONDS, max(0.0, call.seconds_left())))


def _path_to(server: Server) -> Path:
    return Path(NO_ROUTE, (server,), 0.0, NO_DEMAND, 0.0)


def _investigate(context: RelayContext, call: Call, run: Run, timeout: float) -> None:
    """Leave the server of a stalled stream if it is gone, or if its connection seems to be silent.

    :param timeout: seconds without an event after which it is investigated.
    :raises BackendError: if the run has to end.
    """
    server = run.path.servers[0]
    if call.seconds_left() <= 0:
        raise BackendSilent("no complete answer in time", step="stream", peer=server.facts.id)
    gone = server.connection_refused
    if not gone and now() >= run.next_probe_at:
        run.note_probed(timeout)
        gone = not context.pool.probe(server.facts.id, server.facts.address)
    silent = now() - run.last_event_at >= SILENT_CONNECTION_SECONDS
    if (gone or silent) and _can_resend(context, call, run):
        reason = "the server is gone" if gone else "the connection is silent"
        raise BackendError(reason, step="stream", peer=server.facts.id)
    if server.connection_refused:
        raise BackendError("the server has ended", step="stream", peer=server.facts.id)


def _can_resend(context: RelayContext, call: Call, run: Run) -> bool:
    """Return whether a call may be sent again, and there is another server for it."""
    if call.at_most_once or not run.attempts.can_retry(context):
        return False
    allowed, current = run.attempts.allowed_servers(), run.path.servers[0]
    return any(
        server is not current and (allowed is None or server.facts.id in allowed)
        for server in context.fleet.usable(call.service)
    )


def _record_failure(
    context: RelayContext, call: Call, run: Run, error: BackendError
) -> frozenset[BackendId]:
    server = run.path.servers[0]
    record_failure(context, call, server, error, run.path_since, run.first_event_at)
    return frozenset({server.facts.id})


def _final_error(context: RelayContext, attempts: Attempts, caller_served: bool) -> BaygladeError:
    return attempts.final_error(context.rng)
