"""Streams of a model: events pass as they come, from one run or from several.

A request gets a path with room, or waits for one while its caller does. When a
run ends before the stream does (see :mod:`bayglade.runs`), the stream goes on
in another one after the last event that was delivered, inside the same answer.
"""

from collections.abc import Callable, Iterable

import eventlet

from bayglade.calls import AnswerHead, Call, demand_of
from bayglade.clock import now
from bayglade.exceptions import (
    BackendError,
    BackendRefused,
    BackendSilent,
    BackendUnreachable,
    BackendUnwilling,
    CutOff,
    Unauthenticated,
)
from bayglade.http1 import Message, end_to_end_headers
from bayglade.ids import BackendId
from bayglade.listener import Connection
from bayglade.logs import event
from bayglade.mechanisms import Mechanism
from bayglade.pathfinding import Path
from bayglade.pipelines import Pipeline
from bayglade.relay import Attempts, Peers, await_word, content_of
from bayglade.runs import Run, blame, leave_planned, look_into
from bayglade.sending import answer_head, send
from bayglade.servers import Server
from bayglade.sse import EventSplitter, event_id
from bayglade.trials import ended_stages, heads_to_avoid
from bayglade.upstream import Exchange

WAIT_SECONDS = 1.5
"""How long a call waits for room: callers of a stream leave after two seconds without an event."""
SHORT_SECONDS = 0.25
"""How long a stage that turned a request away counts as full: a request ends there every few
hundredths of a second, and the next one that is turned away says so again."""
RESEND_SECONDS = 0.25
"""Time between tries of a stream that has begun, once it was tried as often as a call that has not, or
while there is no repeat that it may use."""
GLANCE_SECONDS = 0.04
"""How long a stream waits before it looks whether a stage of its path is known to be dead by now: a
little more than the usual time between events."""
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
        headers = [*end_to_end_headers(message.headers), ("Transfer-Encoding", "chunked")]
        return self.connection.response_head(message.status, headers)

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


def relay_stream(peers: Peers, call: Call, pipeline: Pipeline, connection: Connection) -> None:
    """Serve a call to a model.

    :param peers: what the relay works with.
    :param call: the call.
    :param pipeline: facts of the model.
    :param connection: the caller's connection.
    :raises BaygladeError: when it cannot be answered; what was sent to the caller shows in
        ``connection.response_started``.
    """
    attempts = Attempts(call)
    delivery = Delivery(connection, call.head.last_event)
    peers.budget(call.service).request()
    peers.wait_queues.charge(call)
    avoided: frozenset[BackendId] = frozenset()
    while attempts.open(_endures(peers, delivery)):
        if _endures(peers, delivery) and not _await_repeat(peers, call, attempts):
            break
        path = _find_place(peers, call, pipeline, attempts, delivery, avoided)
        if path is None:
            # Servers that failed may do by now; dead ones are left out by the fleet.
            if not avoided or attempts.full_for is not None:
                break
            avoided = frozenset()
            continue
        if ended := ended_stages(peers, call, path.servers):
            path.release()
            # As with any server that is not reached: else one that is not suspect is chosen on and on.
            attempts.unreached += 1
            avoided |= ended
            continue
        run = Run(path, attempts)
        try:
            if not attempts.may_send(peers, _endures(peers, delivery)):
                if attempts.stopped is None and _endures(peers, delivery):
                    continue
                break
            _attempt(peers, call, pipeline, run, delivery, attempts)
            _note_answer(peers, call, delivery, attempts)
            return
        except BackendError as error:
            avoided |= _note_failure(peers, call, run, error)
            if not attempts.failed(error):
                break
        except (CutOff, Unauthenticated):
            # Both say that the call has not run, which is no longer sure of one that was sent.
            if not attempts.unknown:
                raise
            if not _endures(peers, delivery):
                break
        finally:
            run.path.release()
            peers.wait_queues.note_end(call.service)
        await_word(peers, call)
    raise attempts.error(peers.rng)


def _endures(peers: Peers, delivery: Delivery) -> bool:
    """Tell whether a stream is kept for as long as its time lasts.

    A call that has got nothing is best refused early: its caller may ask elsewhere. Of a stream that has
    begun only a broken answer would be left, and its caller knows best for how long to wait: by the bounds
    on new calls it would be cut moments before others hold the layers of a lost server.
    """
    return delivery.begun and Mechanism.BEGUN_WAIT not in peers.without


def _await_repeat(peers: Peers, call: Call, attempts: Attempts) -> bool:
    """Wait until a stream that has begun may be sent once more, before it takes a place from others.

    :return: false when its time is over, or it must not be sent any more.
    """
    if attempts.exhausted():
        _pause(call)
    told = False
    while call.seconds_left() > 0 and not attempts.held(peers):
        spent = not attempts.has_budget(peers)
        if not spent and _trusted(peers, call):
            return True
        if spent and not told:
            attempts.tell_spent(peers)
            told = True
        _pause(call)
    return False


def _trusted(peers: Peers, call: Call) -> bool:
    """Tell whether what is known of keys is fresh enough to send a call.

    :raises Unauthenticated: when its key was taken away.
    """
    try:
        peers.check(call)
    except CutOff:
        return False
    return True


def _pause(call: Call) -> None:
    eventlet.sleep(max(0.0, min(RESEND_SECONDS, call.seconds_left())))


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

    def seek_without(servers: frozenset[BackendId]) -> Path | None:
        path = peers.paths.choose(call.service, pipeline, demand, servers, attempts.only())
        if path is not None:
            peers.paths.take(path, pipeline)
        return path

    def seek() -> Path | None:
        return seek_without(avoided)

    if (others := heads_to_avoid(peers, call, avoided)) and (
        path := seek_without(avoided | others)
    ) is not None:
        return path
    if not peers.wait_queues.busy(call.service):
        path = seek()
        if path is not None:
            return path
    if _endures(peers, delivery):
        return _await_place(peers, call, attempts, seek_without, avoided)
    heads = attempts.only()
    rest = peers.paths.covered_in(call.service, pipeline, avoided, heads)
    if rest is None and not (attempts.unknown and Mechanism.BEGUN_WAIT not in peers.without):
        return None
    since = delivery.sent_at if delivery.begun else call.arrived
    until = min(call.deadline, since + WAIT_SECONDS)
    # What may have run cannot be refused as not run: it waits for layers that are being loaded as well.
    expected = max(
        rest or 0.0, peers.wait_queues.expected_seconds(call.service), _limited_seconds(peers, call)
    )
    if now() + expected <= until and Mechanism.WAITING not in peers.without:
        path = peers.wait_queues.wait(call, seek, until, choosy=bool(avoided) or heads is not None)
        if path is not None:
            return path
    attempts.full_for = expected
    if expected > 0:
        peers.wait_queues.sent_away(call.service, expected)
    event(
        "INFO", "no room", request=call.head.id, expected=round(expected, 2), waited=round(now() - since, 3)
    )
    return None


def _limited_seconds(peers: Peers, call: Call) -> float:
    """Return how long a new stream waits where all first stages name limits; zero where one does not."""
    heads = [s for s in peers.fleet.healthy(call.service) if s.facts.layer_count and s.facts.first == 0]
    ahead = peers.wait_queues.ahead(call.service)
    return peers.fleet.rate_limits.expected_wait(heads, ahead) or 0.0


def _await_place(
    peers: Peers,
    call: Call,
    attempts: Attempts,
    seek_without: Callable[[frozenset[BackendId]], Path | None],
    avoided: frozenset[BackendId],
) -> Path | None:
    """Wait for a place for a stream that has begun, until its time is over.

    Servers that failed or were full may do after a moment; dead ones are left out by the fleet.

    :return: the path, taken; nothing when there was none in time.
    """
    since = now()

    def seek() -> Path | None:
        return seek_without(avoided if now() < since + RESEND_SECONDS else frozenset())

    choosy = bool(avoided) or attempts.only() is not None
    path = peers.wait_queues.wait(
        call, seek, call.deadline, choosy, begun=True, hopeless=lambda: peers.quarantine.holds(call)
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


def _note_answer(peers: Peers, call: Call, delivery: Delivery, attempts: Attempts) -> None:
    peers.quarantine.answered(call)
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
    exchange = send(peers, call, head, run.path, delivery.last_event)
    run.sent(exchange)
    attempts.note(head)
    try:
        message, answer = _await_head(peers, call, pipeline, run)
        if message.status != 200:
            _pass_on(call, exchange, message, delivery)
        else:
            _pass_events(peers, call, pipeline, run, message, delivery)
        keep_seconds = answer.keep_seconds
    finally:
        run.was_read()
        exchange.close(keep_seconds)
    for server in run.path.servers:
        peers.fleet.record_success(server)


def _await_head(peers: Peers, call: Call, pipeline: Pipeline, run: Run) -> tuple[Message, AnswerHead]:
    since = now()
    head = run.path.servers[0]
    while True:
        patience = peers.stall_timeouts.first(call.endpoint.aim)
        try:
            return answer_head(peers, call, head, run.exchange, _glance_until(call, since, patience))
        except BackendSilent:
            if run.on_dead_stage() or _waited(call, since, patience):
                look_into(peers, call, pipeline, run, patience)
                since = now()


def _glance_until(call: Call, since: float, patience: float) -> float:
    """Return until when to wait before looking whether there is a reason to look into a stream.

    :param since: since when it stands still, or was looked into last.
    :param patience: seconds for which it may stand still.
    """
    return min(call.deadline, since + patience, now() + GLANCE_SECONDS)


def _waited(call: Call, since: float, patience: float) -> bool:
    """Tell whether a stream stood still for all of the patience, or its time is over."""
    at = now()
    return at >= since + patience or at >= call.deadline


def _pass_on(call: Call, exchange: Exchange, message: Message, delivery: Delivery) -> None:
    """Pass on a failure that the server vouches for, as a whole answer."""
    pieces = []
    while (piece := exchange.piece(call.deadline)) is not None:
        pieces.append(piece)
    if delivery.begun:
        raise BackendError("a stream cannot go on: the server failed", step="stream", peer=exchange.backend)
    delivery.connection.send_response(message.status, end_to_end_headers(message.headers), b"".join(pieces))


def _pass_events(
    peers: Peers, call: Call, pipeline: Pipeline, run: Run, message: Message, delivery: Delivery
) -> None:
    splitter = EventSplitter()
    since = now()
    while True:
        if delivery.begun:
            patience = peers.stall_timeouts.gap(call.endpoint.gap_aim)
        else:
            patience = peers.stall_timeouts.first(call.endpoint.aim)
        try:
            piece = run.exchange.piece(_glance_until(call, since, patience))
        except BackendSilent:
            if run.on_dead_stage() or _waited(call, since, patience):
                look_into(peers, call, pipeline, run, patience)
                since = now()
            continue
        if piece is None:
            break
        since = now()
        peers.stall_timeouts.note(now() - run.event_at, run.begun)
        run.moved_on()
        delivery.deliver(message, splitter.feed(piece))
        leave_planned(peers, call, pipeline, run)
    if splitter.buffer:
        raise BackendError("the stream ended inside an event", step="stream", peer=run.exchange.backend)
    delivery.end(message)


def _note_failure(peers: Peers, call: Call, run: Run, error: BackendError) -> frozenset[BackendId]:
    """Judge the servers of a failed attempt; return those to avoid now."""
    path, head = run.path, run.path.servers[0]
    server = _at_fault(path, error.at_fault) if isinstance(error, BackendRefused) else head
    event(
        "INFO",
        "attempt failed",
        request=call.head.id,
        peer=head.facts.id,
        at_fault=server.facts.id,
        error=repr(error),
        content=content_of(peers, call, error),
        rest=error.rest_seconds if isinstance(error, BackendRefused) else None,
        begun=None if run.begun_at is None else round(now() - run.begun_at, 3),
    )
    if isinstance(error, BackendRefused):
        if error.misdirected:
            peers.fleet.mark_leaving(head, "another server has its address")
            return frozenset({server.facts.id})
        server.full_until = now() + SHORT_SECONDS
        if server is not head:
            if error.rest_seconds is not None:
                peers.fleet.set_rest(server, error.rest_seconds)
            # The head says which stage did not take part, not why: one that is dead has to be known.
            eventlet.spawn_n(peers.diagnosis.examine, [server])
        return frozenset({server.facts.id})
    if isinstance(error, BackendUnwilling):
        return frozenset({BackendId(error.peer)})
    if not isinstance(error, BackendUnreachable):
        blame(peers, call, run, head)
    if isinstance(error, BackendUnreachable):
        peers.fleet.mark_suspect(head, error.code)
    elif not head.suspect:
        # A server that ends breaks its connections off: others have to know before they find out.
        eventlet.spawn_n(peers.diagnosis.examine_anew, [head])
    dead = {server.facts.id for server in path.servers if server.suspect}
    return frozenset(dead) or frozenset({head.facts.id})


def _at_fault(path: Path, address: str | None) -> Server:
    for server in path.servers:
        if server.facts.address == address:
            return server
    return path.servers[0]
