"""Runs are attempts at a stream; this module keeps a stalled run going where possible.

A run that stalls is investigated. If a stage behind the first is dead, slow or
about to leave, other servers take over its layers while the first stage keeps
the request. If the first stage is dead, or no server in the halls of the path
holds the layers, the run fails and the stream is resumed in another run.
"""

from collections.abc import Callable
from typing import NamedTuple

from bayglade.calls import Call, demand_of
from bayglade.clock import now
from bayglade.exceptions import BackendError, BackendSilent, BaygladeError
from bayglade.ids import BackendId
from bayglade.logs import event
from bayglade.mechanisms import Mechanism
from bayglade.pathfinding import Path
from bayglade.pipelines import Pipeline
from bayglade.quarantine import SOUND_RUN_SECONDS
from bayglade.relay import Attempts, RelayContext
from bayglade.servers import SLOW_PACE, Server
from bayglade.stall_timeouts import StallTimeouts
from bayglade.upstream import Exchange

PROBE_BACKOFF = 2.0
MAX_PROBE_INTERVAL = 0.8
"""The interval between probes of a stalled stream whose stages all respond doubles up to this bound, in
seconds. Each probe is billed, and a stage that other streams find dead meanwhile is noticed without one."""
MIN_MOVE_INTERVAL = 0.3
"""Least number of seconds between two moves of a stream: after each, the new stages prefill its tokens."""
DETOUR_RETRY_SECONDS = 0.2
"""Time between detour searches of a stream that stays on its first stage while no other server holds the
layers of a terminated one: each is a path search."""
SILENT_CONNECTION_SECONDS = 1.2
"""A stream that stalled this long although its first stage does not explain it is assumed to have lost its
connection: an open connection may fall silent without a reset. Callers disconnect after 2 s."""
LEAVE_RETRY_SECONDS = 0.5
"""Time until a stream that found no detour around a leaving stage searches again. Other servers load its
layers within a second or two, and the stage continues to serve for longer."""
LEAVE_SPREAD_SECONDS = 1.0
"""Streams are moved off a leaving stage spread over this time, because after each move its tokens have to
be prefilled again. A leaving server continues to serve for at least two seconds."""


class RunPolicy(NamedTuple):
    """How the runs of a stream are placed, watched and recorded, which depends on its service."""

    reserve: Callable[[Attempts, frozenset[BackendId], float | None, bool], Path | None]
    """Reserves a path; called with the attempts, the servers to avoid, when the caller got the last event,
    and whether to wait until the deadline."""

    investigate: Callable[["Run", float], None]
    """Called with a run that has had no event for the given seconds. Raises BackendError to end it."""

    after_event: Callable[["Run"], None]
    record_failure: Callable[["Run", BackendError], frozenset[BackendId]]
    """Returns the servers to avoid in the next run."""

    final_error: Callable[[Attempts, bool], BaygladeError]
    """Returns the error if no run completed the answer; called with whether the caller has a part of it."""

    timeouts: StallTimeouts
    forecast: bool
    """Whether demand and completions are counted for the forecast of room."""


class Run:
    """One attempt at a stream: its path, and the exchange with the first stage."""

    __slots__ = (
        "attempts",
        "avoided",
        "begun",
        "begun_at",
        "crash_recorded",
        "exchange",
        "first_event_at",
        "fleet_version",
        "known_slow",
        "last_event_at",
        "leave_at",
        "next_detour_at",
        "next_move_at",
        "next_probe_at",
        "path",
        "path_since",
        "probe_interval",
        "sound_noted",
        "unread_server",
    )

    def __init__(self, path: Path, attempts: Attempts) -> None:
        self.path = path
        self.attempts = attempts
        self.exchange: Exchange
        """Set when the request is sent."""

        self.known_slow = slow_stages(path)
        """Stages that were known to be slow when the path was chosen."""

        self.unread_server: Server | None = None
        """The first stage until it has read the prompt, as shown by the first event."""

        self.last_event_at = now()
        """When the last event arrived, or when the run was created."""

        self.begun = False
        """Whether an event of this run has arrived."""

        self.begun_at: float | None = None
        """When the first event of this run arrived."""

        self.sound_noted = False
        """Whether it was recorded that the server did not crash when it began to write the answer."""

        self.first_event_at: float | None = None
        """When the first event on the current path arrived."""

        self.path_since = now()
        """When the current path was chosen, just before the request was sent over it."""

        self.crash_recorded = False
        """Whether a possible crash of a stage of the current path was recorded against the request."""

        self.avoided: frozenset[BackendId] = frozenset()
        self.fleet_version = -1
        """Version of the fleet for which leaving stages were last looked up."""

        self.leave_at: float | None = None
        """When the request is to be moved off leaving stages."""

        self.next_move_at = 0.0
        """The request is not moved again before this time."""

        self.next_detour_at = 0.0
        """A detour around a terminated stage is not searched for before this time."""

        self.next_probe_at = 0.0
        """Stages that responded are not probed again before this time."""

        self.probe_interval = 0.0

    def __repr__(self) -> str:
        return f"<Run on {self.path!r}>"

    def move(self, path: Path, since: float) -> None:
        """Replace the path by another one that is already reserved.

        :param path: the new path.
        :param since: when the first stage was told to change the path, in monotonic seconds.
        """
        self.path.release()
        self.path = path
        self.first_event_at, self.crash_recorded, self.path_since = None, False, since
        self.known_slow |= slow_stages(path)

    def should_leave_dead_stage(self) -> bool:
        """Return whether a stage of the path is known to be dead and the stream may be moved now."""
        may_move = now() >= max(self.next_move_at, self.next_detour_at)
        return may_move and any(server.suspect for server in self.path.servers)

    def start(self, exchange: Exchange) -> None:
        """Record that the request was sent; its first stage now has to read the prompt."""
        self.exchange = exchange
        self.unread_server = self.path.servers[0]
        self.unread_server.unanswered += 1

    def note_read(self) -> None:
        """Record that the first stage has read the prompt, or will not."""
        if self.unread_server is not None:
            self.unread_server.unanswered -= 1
            self.unread_server = None

    def note_event(self) -> None:
        """Record that an event arrived."""
        self.begun = True
        self.note_read()
        self.last_event_at = now()
        if self.first_event_at is None:
            self.first_event_at = self.last_event_at
        if self.begun_at is None:
            self.begun_at = self.last_event_at
        self.next_probe_at = 0.0
        self.probe_interval = 0.0

    def note_probed(self, timeout: float) -> None:
        """Record that all stages responded although the stream is stalled.

        :param timeout: seconds without an event after which it was investigated.
        """
        self.probe_interval = min(MAX_PROBE_INTERVAL, max(timeout, PROBE_BACKOFF * self.probe_interval))
        self.next_probe_at = now() + self.probe_interval


def leave_departing_stages(context: RelayContext, call: Call, pipeline: Pipeline, run: Run) -> None:
    """Move a running stream off leaving stages before they terminate.

    A stream that cannot be moved stays, because a leaving stage continues to serve for a while. If there is
    no detour yet, it searches again later. If all streams stayed on the stage until it terminates, they
    would all look for room at the same moment.
    """
    if run.fleet_version != context.fleet.change_count:
        run.fleet_version = context.fleet.change_count
        if run.leave_at is None and _departing_stages(run):
            run.leave_at = now() + context.rng.uniform(0.0, LEAVE_SPREAD_SECONDS)
    if run.leave_at is None or now() < run.leave_at or Mechanism.LEAVE_PLANNED in context.without:
        return
    run.leave_at = None
    run.avoided |= _departing_stages(run)
    if not any(server.leaving for server in run.path.servers[1:]):
        return
    path = _find_detour(context, call, pipeline, run)
    if path is not None:
        _reroute(context, call, pipeline, run, path, "leaving")
    else:
        run.leave_at = now() + LEAVE_RETRY_SECONDS * context.rng.uniform(0.8, 1.2)


def _leave_avoided_stages(
    context: RelayContext, call: Call, pipeline: Pipeline, run: Run, reason: str, across_halls: bool = False
) -> bool:
    """Move a stream off the stages that it avoids, if other servers have room.

    :param reason: what is wrong with these stages, for the log.
    :param across_halls: whether servers of other halls may be used.
    :return: whether it was moved.
    """
    if reason == "dead" and Mechanism.LEAVE_DEAD in context.without:
        return False
    path = _find_detour(context, call, pipeline, run, across_halls)
    return path is not None and _reroute(context, call, pipeline, run, path, reason)


def _find_detour(
    context: RelayContext, call: Call, pipeline: Pipeline, run: Run, across_halls: bool = False
) -> Path | None:
    """Find a path with room that bypasses the avoided stages, if the stream may be moved now.

    :param across_halls: whether servers of other halls may be used.
    """
    if now() < run.next_move_at or context.quarantine.is_stopped(call):
        return None
    return context.paths.detour(run.path, call.service, pipeline, run.avoided, across_halls)


def _reroute(
    context: RelayContext, call: Call, pipeline: Pipeline, run: Run, path: Path, reason: str
) -> bool:
    """Reroute a running stream to another path; return whether its first stage accepted that."""
    since = now()
    run.next_move_at = since + MIN_MOVE_INTERVAL
    head = run.path.servers[0].facts
    outcome = context.control.reroute(head.id, head.address, call.head.id, path.route)
    event(
        "INFO",
        "rerouted",
        request=call.head.id,
        reason=reason,
        off=sorted(run.avoided),
        moved=outcome.moved,
        route=path.describe(),
    )
    if outcome.moved:
        context.paths.reserve(path, pipeline, run.path)
        path.mark_sent()
        run.move(path, since)
    return outcome.moved


def _departing_stages(run: Run) -> frozenset[BackendId]:
    """Return the stages behind the first that are leaving and that the run does not avoid yet."""
    behind = run.path.servers[1:]
    return frozenset(s.facts.id for s in behind if s.leaving and s.facts.id not in run.avoided)


def investigate_stall(
    context: RelayContext, call: Call, pipeline: Pipeline, run: Run, timeout: float
) -> None:
    """Find out why a stream is stalled, and move it off a dead stage.

    :param timeout: seconds without an event after which it is investigated.
    :raises BackendError: if it has to be sent again, or its deadline passed.
    """
    if call.seconds_left() <= 0:
        raise BackendSilent("no complete answer in time", step="stream", peer=run.exchange.backend)
    dead = find_dead_stages(context, call, run, timeout)
    if dead:
        record_possible_crash(context, call, run, next(s for s in run.path.servers if s.facts.id in dead))
    if not dead and is_connection_silent(context, call, run):
        context.pool.distrust_before(run.last_event_at)
        if _can_resend(context, call, pipeline, run):
            raise BackendError("the connection is silent", step="stream", peer=run.exchange.backend)
    if not dead and Mechanism.LEAVE_SLOW in context.without:
        return
    if not dead:
        leave_slow_stages(context, call, pipeline, run)
        return
    head = run.path.servers[0]
    if head.facts.id in dead:
        _fail_or_stay(context, call, pipeline, run, head, "the first stage is dead")
        return
    if now() < run.next_detour_at:
        return
    run.avoided |= dead
    if _leave_avoided_stages(context, call, pipeline, run, "dead"):
        return
    if not _can_resend(context, call, pipeline, run) and _leave_avoided_stages(
        context, call, pipeline, run, "dead", True
    ):
        return
    silent = next(server for server in run.path.servers if server.facts.id in dead)
    _fail_or_stay(
        context, call, pipeline, run, silent, "no other server can take over the layers of a dead stage"
    )


def record_possible_crash(context: RelayContext, call: Call, run: Run, stage: Server) -> None:
    """Record that a stage may have crashed under a call.

    A call crashes at most one of its stages. Where several servers crash at once, a stage behind the first
    has probably crashed before the request was sent, and recording it would hold back innocent requests.
    """
    if run.crash_recorded or (stage is not run.path.servers[0] and context.quarantine.mass_crash(call)):
        return
    run.crash_recorded = True
    context.quarantine.note_interrupted(call, stage.facts.key, run.first_event_at, run.path_since)


def note_sound_run(context: RelayContext, call: Call, run: Run) -> None:
    """Record that a server goes on writing an answer, which requests that crash servers do not get."""
    if run.sound_noted or run.begun_at is None or not context.quarantine.has_suspects:
        return
    if now() - run.begun_at >= SOUND_RUN_SECONDS:
        run.sound_noted = True
        context.quarantine.note_sound(call, run.begun_at)


def _fail_or_stay(
    context: RelayContext, call: Call, pipeline: Pipeline, run: Run, stage: Server, reason: str
) -> None:
    """Fail a run that a dead stage holds up, if the call can be resumed elsewhere.

    A silent stage may only be unreachable for a moment. If the stream cannot be resumed
    elsewhere, it stays until the stage has certainly terminated; failed by this daemon, it
    would be lost although the server may live. A stream that has begun stays even longer if
    its first stage lives, because that stage keeps what it has read and other servers may
    soon hold the missing layers.

    :raises BackendError: if the run has to end.
    """
    if _can_resend(context, call, pipeline, run):
        raise BackendError(reason, step="stream", peer=stage.facts.id)
    if not stage.has_ended(now()):
        return
    if stage is run.path.servers[0] or not run.begun or not _may_stay(context, call):
        raise BackendError(reason, step="stream", peer=stage.facts.id)
    run.next_detour_at = now() + DETOUR_RETRY_SECONDS


def _may_stay(context: RelayContext, call: Call) -> bool:
    """Return whether a stream that has begun may wait until others hold a terminated stage's layers."""
    return Mechanism.BEGUN_WAIT not in context.without and not context.quarantine.is_stopped(call)


def _can_resend(context: RelayContext, call: Call, pipeline: Pipeline, run: Run) -> bool:
    """Return whether a call may be sent again, and there is a path with room elsewhere."""
    if call.at_most_once or not run.attempts.can_retry(context):
        return False
    silent = frozenset(s.facts.id for s in run.path.servers if s.suspect)
    avoided = silent | {run.path.servers[0].facts.id}
    demand = demand_of(call, pipeline)
    return (
        context.paths.choose(call.service, pipeline, demand, avoided, run.attempts.allowed_servers())
        is not None
    )


def leave_slow_stages(context: RelayContext, call: Call, pipeline: Pipeline, run: Run) -> None:
    """Move a stalled stream off stages that have become slow, if others have room.

    Stages that were already known to be slow when the path was chosen were the best available.

    :raises BackendError: if the first stage has become slow, and another one can begin the answer.
    """
    head = run.path.servers[0]
    slow = slow_stages(run.path) - run.known_slow
    if head.facts.id in slow and not run.begun and _can_resend(context, call, pipeline, run):
        raise BackendError("the first stage has become slow", step="stream", peer=head.facts.id)
    behind = slow - {head.facts.id}
    if behind:
        # Other servers that have no room now may have some at the next attempt.
        run.avoided |= behind
        _leave_avoided_stages(context, call, pipeline, run, "slow")


def is_connection_silent(context: RelayContext, call: Call, run: Run) -> bool:
    """Return whether a stream is stalled although its first stage reports no queue and no stall of it."""
    if now() - run.last_event_at < SILENT_CONNECTION_SECONDS:
        return False
    finding = context.diagnosis.results.get(run.path.servers[0].facts.id)
    report = finding.report if finding is not None else None
    return report is not None and report.queued == 0 and call.head.id not in report.stalled


def slow_stages(path: Path) -> frozenset[BackendId]:
    """Return the stages of a path that report that they are much slower than usual."""
    return frozenset(s.facts.id for s in path.servers if s.pace > SLOW_PACE)


def find_dead_stages(context: RelayContext, call: Call, run: Run, timeout: float) -> frozenset[BackendId]:
    """Return the stages of a stream that are known to be dead, or are found dead by probing them."""
    known = frozenset(s.facts.id for s in run.path.servers if s.suspect)
    if known or now() < run.next_probe_at:
        return known
    dead = context.diagnosis.diagnose(run.path.servers, call.head.id)
    if not dead:
        run.note_probed(timeout)
    return dead
