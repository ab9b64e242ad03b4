"""Streams of a model: events pass as they come, over a path of stages that may change.

A stream that stands still is looked into at once. When a stage is dead, its
layers go to another one while the first stage keeps the request; when the
first stage itself is gone, the stream goes on at another one after the last
event that was delivered, inside the same answer.
"""

from collections.abc import Iterable

import eventlet

from bayglade.calls import AnswerHead, Call, demand_of
from bayglade.clock import now
from bayglade.events import EventSplitter, event_id
from bayglade.exceptions import BackendError, BackendRefused, BackendSilent, BackendUnreachable
from bayglade.fleet import SLOW_PACE, Server
from bayglade.heads import Message, end_to_end
from bayglade.ids import BackendId
from bayglade.listener import Connection
from bayglade.logs import event
from bayglade.mechanisms import Mechanism
from bayglade.pathfinding import Path
from bayglade.pipelines import Pipeline
from bayglade.relay import Attempts, Peers, answer_head, send
from bayglade.upstream import Exchange

LOOK_FACTOR = 2.0
MAX_LOOK_SECONDS = 0.8
"""Time between questions to the stages of one stream that stands still though all of them answer:
doubled each time up to this bound. Each question is paid for, and a stage that other streams find
dead in the meantime is noticed without one."""
WAIT_SECONDS = 1.5
"""How long a call waits for room: callers of a stream leave after two seconds without an event."""
SHORT_SECONDS = 0.25
"""How long a stage that turned a request away counts as full: a request ends there every few
hundredths of a second, and the next one that is turned away says so again."""
MOVE_PAUSE = 0.3
"""Seconds between two moves of one stream: each has its tokens read anew by the new stages."""
LEAVE_SPREAD_SECONDS = 1.0
"""Streams are moved off a leaving stage over this time, not all at once: each has its tokens
read anew. A server that leaves serves on for two seconds and more."""
LAST_CHUNK = b"0\r\n\r\n"


class Delivery:
    """What the caller has of a stream."""

    __slots__ = ("begun", "connection", "first_seconds", "last_event", "longest_gap", "sent_at")

    def __init__(self, connection: Connection, last_event: int | None) -> None:
        self.connection = connection
        self.begun = False
        self.sent_at = now()
        self.first_seconds: float | None = None
        self.longest_gap = 0.0
        self.last_event = last_event

    def __repr__(self) -> str:
        return f"<Delivery begun={self.begun} last_event={self.last_event}>"

    def begin(self, message: Message) -> bytes:
        """Return the head of the answer, once; a later run goes on under it."""
        if self.begun:
            return b""
        self.begun = True
        headers = [*end_to_end(message.headers), ("Transfer-Encoding", "chunked")]
        return self.connection.head(message.status, headers)

    def deliver(self, message: Message, events: Iterable[bytes]) -> None:
        """Send the events that the caller does not have yet."""
        fresh = []
        for item in events:
            number = event_id(item)
            if number is not None:
                if self.last_event is not None and number <= self.last_event:
                    continue
                self.last_event = number
            fresh.append(item)
        if fresh:
            self._note_time()
            data = b"".join(fresh)
            self.connection.send(self.begin(message) + b"%x\r\n%b\r\n" % (len(data), data))

    def _note_time(self) -> None:
        at = now()
        if self.first_seconds is None:
            self.first_seconds = at - self.sent_at
        else:
            self.longest_gap = max(self.longest_gap, at - self.sent_at)
        self.sent_at = at

    def end(self, message: Message) -> None:
        """Send the end of a whole answer."""
        self.connection.send(self.begin(message) + LAST_CHUNK)


class Run:
    """One attempt at a stream: the path that it has taken and the exchange with its first stage."""

    __slots__ = (
        "attempts",
        "avoided",
        "begun",
        "event_at",
        "exchange",
        "fleet_seen",
        "leave_at",
        "look_at",
        "look_pause",
        "move_at",
        "path",
        "slow_before",
    )

    def __init__(self, path: Path, attempts: Attempts) -> None:
        self.path = path
        self.attempts = attempts
        self.exchange: Exchange
        """Set once the request is sent."""

        self.slow_before = _slow(path)
        """Stages that were known to be slow when the path was taken."""

        self.event_at = now()
        """When the last event came, or else when the run began."""

        self.begun = False
        """Whether an event has come of this attempt."""

        self.avoided: frozenset[BackendId] = frozenset()
        self.fleet_seen = -1
        """State of the fleet for which leaving stages were looked for."""

        self.leave_at: float | None = None
        """When the request is moved off stages that leave."""

        self.move_at = 0.0
        """Not moved again before this time."""

        self.look_at = 0.0
        """Stages that answered are not asked again before this time."""

        self.look_pause = 0.0

    def __repr__(self) -> str:
        return f"<Run on {self.path!r}>"

    def move(self, path: Path) -> None:
        """Leave the path for another one, which has been taken."""
        self.path.release()
        self.path = path
        self.slow_before |= _slow(path)

    def moved_on(self) -> None:
        """Note that the stream goes on."""
        self.begun = True
        self.event_at = now()
        self.look_at = 0.0
        self.look_pause = 0.0

    def looked(self, patience: float) -> None:
        """Note that all stages answered though the stream stands still.

        :param patience: seconds without an event after which it was looked into.
        """
        self.look_pause = min(MAX_LOOK_SECONDS, max(patience, LOOK_FACTOR * self.look_pause))
        self.look_at = now() + self.look_pause


def relay_stream(peers: Peers, call: Call, pipeline: Pipeline, connection: Connection) -> None:
    """Serve a call to a model.

    :param peers: what the relay works with.
    :param call: the call.
    :param pipeline: facts of the model.
    :param connection: the caller's connection.
    :raises BaygladeError: when it cannot be answered; what was sent to the caller shows in
        ``connection.sent``.
    """
    attempts = Attempts(call)
    delivery = Delivery(connection, call.head.last_event)
    peers.budget(call.service).request()
    peers.lines.charge(call)
    avoided: frozenset[BackendId] = frozenset()
    while attempts.open():
        path = _find_place(peers, call, pipeline, attempts, delivery, avoided)
        if path is None:
            # Servers that failed may do by now; dead ones are left out by the fleet.
            if not avoided or attempts.full_for is not None:
                break
            avoided = frozenset()
            continue
        run = Run(path, attempts)
        try:
            if not attempts.may_send(peers):
                break
            _attempt(peers, call, pipeline, run, delivery, attempts)
            _note_answer(peers, call, delivery, attempts)
            return
        except BackendError as error:
            avoided |= _note_failure(peers, call, run.path, error)
            if not attempts.failed(error):
                break
        finally:
            run.path.release()
            peers.lines.note_end(call.service)
    raise attempts.error(peers.rng)


def _find_place(
    peers: Peers,
    call: Call,
    pipeline: Pipeline,
    attempts: Attempts,
    delivery: Delivery,
    avoided: frozenset[BackendId],
) -> Path | None:
    """Take a place on a path, at once or after a wait.

    :return: the path, taken; nothing when there is none, or no room in time.
    """
    demand = demand_of(call, pipeline)
    attempts.full_for = None

    def seek() -> Path | None:
        path = peers.paths.choose(call.service, pipeline, demand, avoided, attempts.only())
        if path is not None:
            peers.paths.take(path, pipeline)
        return path

    if not peers.lines.busy(call.service):
        path = seek()
        if path is not None:
            return path
    if not peers.paths.covered(call.service, pipeline, avoided):
        return None
    since = delivery.sent_at if delivery.begun else call.arrived
    until = min(call.deadline, since + WAIT_SECONDS)
    expected = peers.lines.expected_seconds(call.service)
    if now() + expected <= until and Mechanism.WAITING not in peers.without:
        path = peers.lines.wait(call, seek, until)
        if path is not None:
            return path
    attempts.full_for = expected
    event(
        "INFO", "no room", request=call.head.id, expected=round(expected, 2), waited=round(now() - since, 3)
    )
    return None


def _note_answer(peers: Peers, call: Call, delivery: Delivery, attempts: Attempts) -> None:
    if delivery.first_seconds is not None:
        peers.metrics.observe("first_event_seconds", delivery.first_seconds)
        peers.metrics.observe("longest_gap_seconds", delivery.longest_gap)
    event(
        "INFO",
        "answered",
        request=call.head.id,
        sent=attempts.sent,
        last=delivery.last_event,
        first=round(delivery.first_seconds or 0.0, 3),
        gap=round(delivery.longest_gap, 3),
    )


def _attempt(
    peers: Peers, call: Call, pipeline: Pipeline, run: Run, delivery: Delivery, attempts: Attempts
) -> None:
    """Make one attempt, to the end of the stream."""
    head = run.path.servers[0]
    keep_seconds = None
    exchange = run.exchange = send(peers, call, head, run.path, delivery.last_event)
    attempts.note(head)
    try:
        message, answer = _await_head(peers, call, pipeline, run)
        if message.status != 200:
            _pass_on(call, exchange, message, delivery)
        else:
            _pass_events(peers, call, pipeline, run, message, delivery)
        keep_seconds = answer.keep_seconds
    finally:
        exchange.close(keep_seconds)
    for server in run.path.servers:
        peers.fleet.succeeded(server)


def _await_head(peers: Peers, call: Call, pipeline: Pipeline, run: Run) -> tuple[Message, AnswerHead]:
    while True:
        patience = peers.patience.first(call.endpoint.aim)
        try:
            return answer_head(peers, call, run.exchange, min(call.deadline, now() + patience))
        except BackendSilent:
            _look_into(peers, call, pipeline, run, patience)


def _pass_on(call: Call, exchange: Exchange, message: Message, delivery: Delivery) -> None:
    """Pass on a failure that the server vouches for, as a whole answer."""
    pieces = []
    while (piece := exchange.piece(call.deadline)) is not None:
        pieces.append(piece)
    if delivery.begun:
        raise BackendError("a stream cannot go on: the server failed", step="stream", peer=exchange.backend)
    delivery.connection.answer(message.status, end_to_end(message.headers), b"".join(pieces))


def _pass_events(
    peers: Peers, call: Call, pipeline: Pipeline, run: Run, message: Message, delivery: Delivery
) -> None:
    splitter = EventSplitter()
    while True:
        if delivery.begun:
            patience = peers.patience.gap(call.endpoint.gap_aim)
        else:
            patience = peers.patience.first(call.endpoint.aim)
        try:
            piece = run.exchange.piece(min(call.deadline, now() + patience))
        except BackendSilent:
            _look_into(peers, call, pipeline, run, patience)
            continue
        if piece is None:
            break
        peers.patience.note(now() - run.event_at, run.begun)
        run.moved_on()
        delivery.deliver(message, splitter.feed(piece))
        _leave_stages(peers, call, pipeline, run)
    if splitter.rest:
        raise BackendError("the stream ended inside an event", step="stream", peer=run.exchange.backend)
    delivery.end(message)


def _leave_stages(peers: Peers, call: Call, pipeline: Pipeline, run: Run) -> None:
    """Move a running stream off stages that leave, before they end.

    A stream that cannot be moved stays: such a stage serves on for a while.
    """
    if run.fleet_seen != peers.fleet.changed:
        run.fleet_seen = peers.fleet.changed
        if run.leave_at is None and _leaving(run):
            run.leave_at = now() + peers.rng.uniform(0.0, LEAVE_SPREAD_SECONDS)
    if run.leave_at is None or now() < run.leave_at or Mechanism.LEAVE_PLANNED in peers.without:
        return
    run.leave_at = None
    run.avoided |= _leaving(run)
    _move(peers, call, pipeline, run, "leaving")


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
    if now() < run.move_at:
        return False
    path = peers.paths.detour(run.path, call.service, pipeline, run.avoided, across)
    if path is None:
        return False
    run.move_at = now() + MOVE_PAUSE
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
        peers.paths.take(path, pipeline)
        run.move(path)
    return outcome.moved


def _leaving(run: Run) -> frozenset[BackendId]:
    """Return the stages behind the first that leave and were not tried to be left before."""
    behind = run.path.servers[1:]
    return frozenset(s.facts.id for s in behind if s.leaving and s.facts.id not in run.avoided)


def _look_into(peers: Peers, call: Call, pipeline: Pipeline, run: Run, patience: float) -> None:
    """Find out why a stream stands still, and move it away from a dead stage.

    :param patience: seconds without an event after which it is looked into.
    :raises BackendError: when it has to be sent anew, or its time is over.
    """
    if call.seconds_left() <= 0:
        raise BackendSilent("no whole answer in time", step="stream", peer=run.exchange.backend)
    dead = _dead_stages(peers, call, run, patience)
    if not dead and Mechanism.LEAVE_SLOW in peers.without:
        return
    if not dead:
        _leave_slow(peers, call, pipeline, run)
        return
    head = run.path.servers[0]
    if head.facts.id in dead:
        _leave(peers, call, pipeline, run, head, "the first stage is dead")
        return
    run.avoided |= dead
    if _move(peers, call, pipeline, run, "dead"):
        return
    if not _can_resend(peers, call, pipeline, run) and _move(peers, call, pipeline, run, "dead", True):
        return
    silent = next(server for server in run.path.servers if server.facts.id in dead)
    _leave(peers, call, pipeline, run, silent, "no other stages for those of a dead one")


def _leave(peers: Peers, call: Call, pipeline: Pipeline, run: Run, stage: Server, reason: str) -> None:
    """End a run that a stage keeps from going on, if the call can go on elsewhere.

    A stage that is silent may be out of reach for a moment, so a stream that cannot
    go on elsewhere stays until the stage is surely gone: ended by this daemon, it
    would be lost although its server lives.

    :raises BackendError: when the run is to end.
    """
    if stage.ended(now()) or _can_resend(peers, call, pipeline, run):
        raise BackendError(reason, step="stream", peer=stage.facts.id)


def _can_resend(peers: Peers, call: Call, pipeline: Pipeline, run: Run) -> bool:
    """Tell whether a call may be sent anew, and has a place elsewhere."""
    if call.once or not run.attempts.may_repeat(peers):
        return False
    silent = frozenset(s.facts.id for s in run.path.servers if s.suspect)
    avoided = silent | {run.path.servers[0].facts.id}
    demand = demand_of(call, pipeline)
    return peers.paths.choose(call.service, pipeline, demand, avoided, run.attempts.only()) is not None


def _leave_slow(peers: Peers, call: Call, pipeline: Pipeline, run: Run) -> None:
    """Move a stream that is waited for off stages that turned slow, if there are others with room.

    Stages that were known to be slow when the path was chosen were the best there were.

    :raises BackendError: when its first stage is one, and another can begin the answer.
    """
    head = run.path.servers[0]
    slow = _slow(run.path) - run.slow_before
    if head.facts.id in slow and not run.begun and _can_resend(peers, call, pipeline, run):
        raise BackendError("the first stage has turned slow", step="stream", peer=head.facts.id)
    behind = slow - {head.facts.id}
    if behind:
        # Others may have no room now and have some at the next look.
        run.avoided |= behind
        _move(peers, call, pipeline, run, "slow")


def _slow(path: Path) -> frozenset[BackendId]:
    return frozenset(s.facts.id for s in path.servers if s.pace > SLOW_PACE)


def _dead_stages(peers: Peers, call: Call, run: Run, patience: float) -> frozenset[BackendId]:
    """Return the stages of a stream that are dead, by what is known or else by asking them."""
    known = frozenset(s.facts.id for s in run.path.servers if s.suspect)
    if known or now() < run.look_at:
        return known
    dead = peers.diagnosis.look(run.path.servers, call.head.id)
    if not dead:
        run.looked(patience)
    return dead


def _note_failure(peers: Peers, call: Call, path: Path, error: BackendError) -> frozenset[BackendId]:
    """Judge the servers of a failed attempt; return those to avoid now."""
    head = path.servers[0]
    server = _at_fault(path, error.at_fault) if isinstance(error, BackendRefused) else head
    event(
        "INFO",
        "attempt failed",
        request=call.head.id,
        peer=head.facts.id,
        at_fault=server.facts.id,
        error=repr(error),
    )
    if isinstance(error, BackendRefused):
        if error.misdirected:
            peers.fleet.mark_leaving(head, "another server has its address")
            return frozenset({server.facts.id})
        server.short_until = now() + SHORT_SECONDS
        if server is not head:
            # The head says which stage did not take part, not why: one that is dead has to be known.
            eventlet.spawn_n(peers.diagnosis.examine, [server])
        return frozenset({server.facts.id})
    if isinstance(error, BackendUnreachable):
        peers.fleet.suspect(head, error.code)
    dead = {server.facts.id for server in path.servers if server.suspect}
    return frozenset(dead) or frozenset({head.facts.id})


def _at_fault(path: Path, address: str | None) -> Server:
    for server in path.servers:
        if server.facts.address == address:
            return server
    return path.servers[0]
