"""Runs: attempts at a stream, and what keeps one going that stands still.

A run that stands still is looked into. When a stage behind the first is dead,
slow or about to leave, others take its layers while the first stage keeps the
request; when the first stage is dead, or nobody in its halls has the layers,
the run ends and the stream goes on in another one.
"""

from bayglade.calls import Call, demand_of
from bayglade.clock import now
from bayglade.exceptions import BackendError, BackendSilent
from bayglade.ids import BackendId
from bayglade.logs import event
from bayglade.mechanisms import Mechanism
from bayglade.pathfinding import Path
from bayglade.pipelines import Pipeline
from bayglade.relay import Attempts, RelayContext
from bayglade.servers import SLOW_PACE, Server
from bayglade.upstream import Exchange

PROBE_BACKOFF = 2.0
MAX_PROBE_INTERVAL = 0.8
"""Time between questions to the stages of one stream that stands still though all of them answer:
doubled each time up to this bound. Each question is paid for, and a stage that other streams find
dead in the meantime is noticed without one."""
MIN_MOVE_INTERVAL = 0.3
"""Seconds between two moves of one stream: each has its tokens read anew by the new stages."""
DETOUR_RETRY_SECONDS = 0.2
"""Time between looks of a stream that stays on its first stage while nobody else holds the layers of an
ended one: each look is a search for a path."""
SILENT_CONNECTION_SECONDS = 1.2
"""A stream that stood still for so long, though nothing at its first stage explains it, is taken to
have lost its connection: an open one may fall silent without a reset. Callers leave after 2 s."""
LEAVE_RETRY_SECONDS = 0.5
"""Time until a stream that found no way round a leaving stage looks for one again: others load its layers
within a second or two, and it serves on for longer."""
LEAVE_SPREAD_SECONDS = 1.0
"""Streams are moved off a leaving stage over this time, not all at once: each has its tokens
read anew. A server that leaves serves on for two seconds and more."""


class Run:
    """One attempt at a stream: the path that it has taken and the exchange with its first stage."""

    __slots__ = (
        "attempts",
        "avoided",
        "begun",
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
        "unread_server",
    )

    def __init__(self, path: Path, attempts: Attempts) -> None:
        self.path = path
        self.attempts = attempts
        self.exchange: Exchange
        """Set once the request is sent."""

        self.known_slow = slow_stages(path)
        """Stages that were known to be slow when the path was taken."""

        self.unread_server: Server | None = None
        """The first stage, until the stream has an event."""

        self.last_event_at = now()
        """When the last event came, or else when the run began."""

        self.begun = False
        """Whether an event has come of this attempt."""

        self.first_event_at: float | None = None
        """When its first event came on its present path."""

        self.path_since = now()
        """When its present path was taken, just before the request was sent over it."""

        self.crash_recorded = False
        """Whether the end of a stage of its present path was put down to it."""

        self.avoided: frozenset[BackendId] = frozenset()
        self.fleet_version = -1
        """State of the fleet for which leaving stages were looked for."""

        self.leave_at: float | None = None
        """When the request is moved off stages that leave."""

        self.next_move_at = 0.0
        """Not moved again before this time."""

        self.next_detour_at = 0.0
        """Other stages are not sought for those of an ended one before this time."""

        self.next_probe_at = 0.0
        """Stages that answered are not asked again before this time."""

        self.probe_interval = 0.0

    def __repr__(self) -> str:
        return f"<Run on {self.path!r}>"

    def move(self, path: Path, since: float) -> None:
        """Leave the path for another one, which has been taken.

        :param path: the new path.
        :param since: when the first stage was told to, in monotonic seconds.
        """
        self.path.release()
        self.path = path
        self.first_event_at, self.crash_recorded, self.path_since = None, False, since
        self.known_slow |= slow_stages(path)

    def should_leave_dead_stage(self) -> bool:
        """Tell whether a stage of the path is known to be dead, and the stream may be moved now."""
        may_move = now() >= max(self.next_move_at, self.next_detour_at)
        return may_move and any(server.suspect for server in self.path.servers)

    def start(self, exchange: Exchange) -> None:
        """Note that the request was sent; its first stage has it to read now."""
        self.exchange = exchange
        self.unread_server = self.path.servers[0]
        self.unread_server.unread += 1

    def note_read(self) -> None:
        """Note that its first stage has read the request, or will not."""
        if self.unread_server is not None:
            self.unread_server.unread -= 1
            self.unread_server = None

    def note_event(self) -> None:
        """Note that the stream goes on."""
        self.begun = True
        self.note_read()
        self.last_event_at = now()
        if self.first_event_at is None:
            self.first_event_at = self.last_event_at
        self.next_probe_at = 0.0
        self.probe_interval = 0.0

    def note_probed(self, timeout: float) -> None:
        """Note that all stages answered though the stream stands still.

        :param patience: seconds without an event after which it was looked into.
        """
        self.probe_interval = min(MAX_PROBE_INTERVAL, max(timeout, PROBE_BACKOFF * self.probe_interval))
        self.next_probe_at = now() + self.probe_interval


def leave_departing_stages(context: RelayContext, call: Call, pipeline: Pipeline, run: Run) -> None:
    """Move a running stream off stages that leave, before they end.

    A stream that cannot be moved stays: such a stage serves on for a while. One for which there is no way
    round looks again: left on its stage to the end, all streams there would seek room at the same moment.
    """
    if run.fleet_version != context.fleet.changed:
        run.fleet_version = context.fleet.changed
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
    """Move a stream off the stages that it avoids, if others have room.

    :param reason: what is wrong with them, for the log.
    :param across: whether stages of other halls may step in.
    :return: whether it was moved.
    """
    if reason == "dead" and Mechanism.LEAVE_DEAD in context.without:
        return False
    path = _find_detour(context, call, pipeline, run, across_halls)
    return path is not None and _reroute(context, call, pipeline, run, path, reason)


def _find_detour(
    context: RelayContext, call: Call, pipeline: Pipeline, run: Run, across_halls: bool = False
) -> Path | None:
    """Find a path with room round the stages that a stream avoids, if it may be moved now.

    :param across: whether stages of other halls may step in.
    """
    if now() < run.next_move_at or context.quarantine.holds(call):
        return None
    return context.paths.detour(run.path, call.service, pipeline, run.avoided, across_halls)


def _reroute(
    context: RelayContext, call: Call, pipeline: Pipeline, run: Run, path: Path, reason: str
) -> bool:
    """Have a stream go on over another path; tell whether its first stage took that."""
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
        context.paths.take(path, pipeline, run.path)
        path.sent()
        run.move(path, since)
    return outcome.moved


def _departing_stages(run: Run) -> frozenset[BackendId]:
    """Return the stages behind the first that leave and were not tried to be left before."""
    behind = run.path.servers[1:]
    return frozenset(s.facts.id for s in behind if s.leaving and s.facts.id not in run.avoided)


def investigate_stall(
    context: RelayContext, call: Call, pipeline: Pipeline, run: Run, timeout: float
) -> None:
    """Find out why a stream stands still, and move it away from a dead stage.

    :param patience: seconds without an event after which it is looked into.
    :raises BackendError: when it has to be sent anew, or its time is over.
    """
    if call.seconds_left() <= 0:
        raise BackendSilent("no whole answer in time", step="stream", peer=run.exchange.backend)
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
    _fail_or_stay(context, call, pipeline, run, silent, "no other stages for those of a dead one")


def record_possible_crash(context: RelayContext, call: Call, run: Run, stage: Server) -> None:
    """Note that a stage may have ended under a call.

    It ends one of its stages at most, and one behind the first may have ended before the request was sent,
    as is likely where several end at once: innocent requests would be held back for such ends.
    """
    if run.crash_recorded or (stage is not run.path.servers[0] and context.quarantine.many_ended(call)):
        return
    run.crash_recorded = True
    context.quarantine.broke_off(call, stage.facts.key, run.first_event_at, run.path_since)


def _fail_or_stay(
    context: RelayContext, call: Call, pipeline: Pipeline, run: Run, stage: Server, reason: str
) -> None:
    """End a run that a stage keeps from going on, if the call can go on elsewhere.

    A stage that is silent may be out of reach for a moment, so a stream that cannot
    go on elsewhere stays until the stage is surely gone: ended by this daemon, it
    would be lost although its server lives. One that has begun stays even then, while
    its first stage lives: that one keeps what it has read, and others may hold the
    layers in a moment.

    :raises BackendError: when the run is to end.
    """
    if _can_resend(context, call, pipeline, run):
        raise BackendError(reason, step="stream", peer=stage.facts.id)
    if not stage.ended(now()):
        return
    if stage is run.path.servers[0] or not run.begun or not _may_stay(context, call):
        raise BackendError(reason, step="stream", peer=stage.facts.id)
    run.next_detour_at = now() + DETOUR_RETRY_SECONDS


def _may_stay(context: RelayContext, call: Call) -> bool:
    """Tell whether a begun stream may wait until others hold the layers of an ended stage."""
    return Mechanism.BEGUN_WAIT not in context.without and not context.quarantine.holds(call)


def _can_resend(context: RelayContext, call: Call, pipeline: Pipeline, run: Run) -> bool:
    """Tell whether a call may be sent anew, and has a place elsewhere."""
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
    """Move a stream that is waited for off stages that turned slow, if there are others with room.

    Stages that were known to be slow when the path was chosen were the best there were.

    :raises BackendError: when its first stage is one, and another can begin the answer.
    """
    head = run.path.servers[0]
    slow = slow_stages(run.path) - run.known_slow
    if head.facts.id in slow and not run.begun and _can_resend(context, call, pipeline, run):
        raise BackendError("the first stage has turned slow", step="stream", peer=head.facts.id)
    behind = slow - {head.facts.id}
    if behind:
        # Others may have no room now and have some at the next look.
        run.avoided |= behind
        _leave_avoided_stages(context, call, pipeline, run, "slow")


def is_connection_silent(context: RelayContext, call: Call, run: Run) -> bool:
    """Tell whether a stream stands still though its first stage neither waits nor lets it wait."""
    if now() - run.last_event_at < SILENT_CONNECTION_SECONDS:
        return False
    finding = context.diagnosis.findings.get(run.path.servers[0].facts.id)
    report = finding.report if finding is not None else None
    return report is not None and report.queued == 0 and call.head.id not in report.stalled


def slow_stages(path: Path) -> frozenset[BackendId]:
    """Return the stages of a path that say they are a good deal slower than usual."""
    return frozenset(s.facts.id for s in path.servers if s.pace > SLOW_PACE)


def find_dead_stages(context: RelayContext, call: Call, run: Run, timeout: float) -> frozenset[BackendId]:
    """Return the stages of a stream that are dead, by what is known or else by asking them."""
    known = frozenset(s.facts.id for s in run.path.servers if s.suspect)
    if known or now() < run.next_probe_at:
        return known
    dead = context.diagnosis.look(run.path.servers, call.head.id)
    if not dead:
        run.note_probed(timeout)
    return dead
