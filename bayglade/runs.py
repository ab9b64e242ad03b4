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
from bayglade.relay import Attempts, Peers
from bayglade.servers import SLOW_PACE, Server
from bayglade.upstream import Exchange

LOOK_FACTOR = 2.0
MAX_LOOK_SECONDS = 0.8
"""Time between questions to the stages of one stream that stands still though all of them answer:
doubled each time up to this bound. Each question is paid for, and a stage that other streams find
dead in the meantime is noticed without one."""
MOVE_PAUSE = 0.3
"""Seconds between two moves of one stream: each has its tokens read anew by the new stages."""
STAY_SECONDS = 0.2
"""Time between looks of a stream that stays on its first stage while nobody else holds the layers of an
ended one: each look is a search for a path."""
SILENT_SECONDS = 1.2
"""A stream that stood still for so long, though nothing at its first stage explains it, is taken to
have lost its connection: an open one may fall silent without a reset. Callers leave after 2 s."""
LEAVE_AGAIN_SECONDS = 0.5
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
        "begun_at",
        "blamed",
        "event_at",
        "exchange",
        "fleet_seen",
        "leave_at",
        "look_at",
        "look_pause",
        "move_at",
        "on_path_at",
        "path",
        "slow_before",
        "stay_until",
        "unread_at",
    )

    def __init__(self, path: Path, attempts: Attempts) -> None:
        self.path = path
        self.attempts = attempts
        self.exchange: Exchange
        """Set once the request is sent."""

        self.slow_before = slow_stages(path)
        """Stages that were known to be slow when the path was taken."""

        self.unread_at: Server | None = None
        """The first stage, until the stream has an event."""

        self.event_at = now()
        """When the last event came, or else when the run began."""

        self.begun = False
        """Whether an event has come of this attempt."""

        self.begun_at: float | None = None
        """When its first event came on its present path."""

        self.on_path_at = now()
        """When its present path was taken, just before the request was sent over it."""

        self.blamed = False
        """Whether the end of a stage of its present path was put down to it."""

        self.avoided: frozenset[BackendId] = frozenset()
        self.fleet_seen = -1
        """State of the fleet for which leaving stages were looked for."""

        self.leave_at: float | None = None
        """When the request is moved off stages that leave."""

        self.move_at = 0.0
        """Not moved again before this time."""

        self.stay_until = 0.0
        """Other stages are not sought for those of an ended one before this time."""

        self.look_at = 0.0
        """Stages that answered are not asked again before this time."""

        self.look_pause = 0.0

    def __repr__(self) -> str:
        return f"<Run on {self.path!r}>"

    def move(self, path: Path, since: float) -> None:
        """Leave the path for another one, which has been taken.

        :param path: the new path.
        :param since: when the first stage was told to, in monotonic seconds.
        """
        self.path.release()
        self.path = path
        self.begun_at, self.blamed, self.on_path_at = None, False, since
        self.slow_before |= slow_stages(path)

    def on_dead_stage(self) -> bool:
        """Tell whether a stage of the path is known to be dead, and the stream may be moved now."""
        may_move = now() >= max(self.move_at, self.stay_until)
        return may_move and any(server.suspect for server in self.path.servers)

    def sent(self, exchange: Exchange) -> None:
        """Note that the request was sent; its first stage has it to read now."""
        self.exchange = exchange
        self.unread_at = self.path.servers[0]
        self.unread_at.unanswered += 1

    def was_read(self) -> None:
        """Note that its first stage has read the request, or will not."""
        if self.unread_at is not None:
            self.unread_at.unanswered -= 1
            self.unread_at = None

    def moved_on(self) -> None:
        """Note that the stream goes on."""
        self.begun = True
        self.was_read()
        self.event_at = now()
        if self.begun_at is None:
            self.begun_at = self.event_at
        self.look_at = 0.0
        self.look_pause = 0.0

    def looked(self, patience: float) -> None:
        """Note that all stages answered though the stream stands still.

        :param patience: seconds without an event after which it was looked into.
        """
        self.look_pause = min(MAX_LOOK_SECONDS, max(patience, LOOK_FACTOR * self.look_pause))
        self.look_at = now() + self.look_pause


def leave_planned(peers: Peers, call: Call, pipeline: Pipeline, run: Run) -> None:
    """Move a running stream off stages that leave, before they end.

    A stream that cannot be moved stays: such a stage serves on for a while. One for which there is no way
    round looks again: left on its stage to the end, all streams there would seek room at the same moment.
    """
    if run.fleet_seen != peers.fleet.change_count:
        run.fleet_seen = peers.fleet.change_count
        if run.leave_at is None and _leaving(run):
            run.leave_at = now() + peers.rng.uniform(0.0, LEAVE_SPREAD_SECONDS)
    if run.leave_at is None or now() < run.leave_at or Mechanism.LEAVE_PLANNED in peers.without:
        return
    run.leave_at = None
    run.avoided |= _leaving(run)
    if not any(server.leaving for server in run.path.servers[1:]):
        return
    path = _way_round(peers, call, pipeline, run)
    if path is not None:
        _move_to(peers, call, pipeline, run, path, "leaving")
    else:
        run.leave_at = now() + LEAVE_AGAIN_SECONDS * peers.rng.uniform(0.8, 1.2)


def _move(
    peers: Peers, call: Call, pipeline: Pipeline, run: Run, reason: str, across: bool = False
) -> bool:
    """Move a stream off the stages that it avoids, if others have room.

    :param reason: what is wrong with them, for the log.
    :param across: whether stages of other halls may step in.
    :return: whether it was moved.
    """
    if reason == "dead" and Mechanism.LEAVE_DEAD in peers.without:
        return False
    path = _way_round(peers, call, pipeline, run, across)
    return path is not None and _move_to(peers, call, pipeline, run, path, reason)


def _way_round(peers: Peers, call: Call, pipeline: Pipeline, run: Run, across: bool = False) -> Path | None:
    """Find a path with room round the stages that a stream avoids, if it may be moved now.

    :param across: whether stages of other halls may step in.
    """
    if now() < run.move_at or peers.quarantine.holds(call):
        return None
    return peers.paths.detour(run.path, call.service, pipeline, run.avoided, across)


def _move_to(peers: Peers, call: Call, pipeline: Pipeline, run: Run, path: Path, reason: str) -> bool:
    """Have a stream go on over another path; tell whether its first stage took that."""
    since = now()
    run.move_at = since + MOVE_PAUSE
    head = run.path.servers[0].facts
    outcome = peers.control.reroute(head.id, head.address, call.head.id, path.route)
    event(
        "INFO",
        "rerouted",
        request=call.head.id,
        reason=reason,
        off=sorted(run.avoided),
        moved=outcome.moved,
        route=path.text(),
    )
    if outcome.moved:
        peers.paths.take(path, pipeline, run.path)
        path.mark_sent()
        run.move(path, since)
    return outcome.moved


def _leaving(run: Run) -> frozenset[BackendId]:
    """Return the stages behind the first that leave and were not tried to be left before."""
    behind = run.path.servers[1:]
    return frozenset(s.facts.id for s in behind if s.leaving and s.facts.id not in run.avoided)


def look_into(peers: Peers, call: Call, pipeline: Pipeline, run: Run, patience: float) -> None:
    """Find out why a stream stands still, and move it away from a dead stage.

    :param patience: seconds without an event after which it is looked into.
    :raises BackendError: when it has to be sent anew, or its time is over.
    """
    if call.seconds_left() <= 0:
        raise BackendSilent("no whole answer in time", step="stream", peer=run.exchange.backend)
    dead = dead_stages(peers, call, run, patience)
    if dead:
        blame(peers, call, run, next(s for s in run.path.servers if s.facts.id in dead))
    if not dead and connection_silent(peers, call, run):
        peers.links.distrust(run.event_at)
        if _can_resend(peers, call, pipeline, run):
            raise BackendError("the connection is silent", step="stream", peer=run.exchange.backend)
    if not dead and Mechanism.LEAVE_SLOW in peers.without:
        return
    if not dead:
        leave_slow(peers, call, pipeline, run)
        return
    head = run.path.servers[0]
    if head.facts.id in dead:
        _end_or_stay(peers, call, pipeline, run, head, "the first stage is dead")
        return
    if now() < run.stay_until:
        return
    run.avoided |= dead
    if _move(peers, call, pipeline, run, "dead"):
        return
    if not _can_resend(peers, call, pipeline, run) and _move(peers, call, pipeline, run, "dead", True):
        return
    silent = next(server for server in run.path.servers if server.facts.id in dead)
    _end_or_stay(peers, call, pipeline, run, silent, "no other stages for those of a dead one")


def blame(peers: Peers, call: Call, run: Run, stage: Server) -> None:
    """Note that a stage may have ended under a call.

    It ends one of its stages at most, and one behind the first may have ended before the request was sent,
    as is likely where several end at once: innocent requests would be held back for such ends.
    """
    if run.blamed or (stage is not run.path.servers[0] and peers.quarantine.many_ended(call)):
        return
    run.blamed = True
    peers.quarantine.broke_off(call, stage.facts.key, run.begun_at, run.on_path_at)


def _end_or_stay(
    peers: Peers, call: Call, pipeline: Pipeline, run: Run, stage: Server, reason: str
) -> None:
    """End a run that a stage keeps from going on, if the call can go on elsewhere.

    A stage that is silent may be out of reach for a moment, so a stream that cannot
    go on elsewhere stays until the stage is surely gone: ended by this daemon, it
    would be lost although its server lives. One that has begun stays even then, while
    its first stage lives: that one keeps what it has read, and others may hold the
    layers in a moment.

    :raises BackendError: when the run is to end.
    """
    if _can_resend(peers, call, pipeline, run):
        raise BackendError(reason, step="stream", peer=stage.facts.id)
    if not stage.has_ended(now()):
        return
    if stage is run.path.servers[0] or not run.begun or not _may_stay(peers, call):
        raise BackendError(reason, step="stream", peer=stage.facts.id)
    run.stay_until = now() + STAY_SECONDS


def _may_stay(peers: Peers, call: Call) -> bool:
    """Tell whether a begun stream may wait until others hold the layers of an ended stage."""
    return Mechanism.BEGUN_WAIT not in peers.without and not peers.quarantine.holds(call)


def _can_resend(peers: Peers, call: Call, pipeline: Pipeline, run: Run) -> bool:
    """Tell whether a call may be sent anew, and has a place elsewhere."""
    if call.once or not run.attempts.may_repeat(peers):
        return False
    silent = frozenset(s.facts.id for s in run.path.servers if s.suspect)
    avoided = silent | {run.path.servers[0].facts.id}
    demand = demand_of(call, pipeline)
    return peers.paths.choose(call.service, pipeline, demand, avoided, run.attempts.only()) is not None


def leave_slow(peers: Peers, call: Call, pipeline: Pipeline, run: Run) -> None:
    """Move a stream that is waited for off stages that turned slow, if there are others with room.

    Stages that were known to be slow when the path was chosen were the best there were.

    :raises BackendError: when its first stage is one, and another can begin the answer.
    """
    head = run.path.servers[0]
    slow = slow_stages(run.path) - run.slow_before
    if head.facts.id in slow and not run.begun and _can_resend(peers, call, pipeline, run):
        raise BackendError("the first stage has turned slow", step="stream", peer=head.facts.id)
    behind = slow - {head.facts.id}
    if behind:
        # Others may have no room now and have some at the next look.
        run.avoided |= behind
        _move(peers, call, pipeline, run, "slow")


def connection_silent(peers: Peers, call: Call, run: Run) -> bool:
    """Tell whether a stream stands still though its first stage neither waits nor lets it wait."""
    if now() - run.event_at < SILENT_SECONDS:
        return False
    finding = peers.diagnosis.findings.get(run.path.servers[0].facts.id)
    report = finding.report if finding is not None else None
    return report is not None and report.queued == 0 and call.head.id not in report.stalled


def slow_stages(path: Path) -> frozenset[BackendId]:
    """Return the stages of a path that say they are a good deal slower than usual."""
    return frozenset(s.facts.id for s in path.servers if s.pace > SLOW_PACE)


def dead_stages(peers: Peers, call: Call, run: Run, patience: float) -> frozenset[BackendId]:
    """Return the stages of a stream that are dead, by what is known or else by asking them."""
    known = frozenset(s.facts.id for s in run.path.servers if s.suspect)
    if known or now() < run.look_at:
        return known
    dead = peers.diagnosis.look(run.path.servers, call.head.id)
    if not dead:
        run.looked(patience)
    return dead
