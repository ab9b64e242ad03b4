"""Whole answers of plain services: read to their end before a byte goes to the caller."""

import eventlet

from bayglade.calls import Call
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
from bayglade.http1 import Headers, Message, end_to_end_headers
from bayglade.listener import Connection
from bayglade.logs import event
from bayglade.relay import Attempts, Peers, await_word, content_of, look_at
from bayglade.reservations import Reservation
from bayglade.sending import answer_head, send
from bayglade.servers import Server
from bayglade.trials import wait_apart

PATIENCE_OF_AIM = 0.6
"""Part of the aim after which a repeatable call is tried at another server."""
WAIT_SECONDS = 1.5
"""How long a call waits for a server that names a limit."""
AWAY_COST = 0.5
"""A server of another hall counts as this much busier, as its answer takes longer."""


class Answer:
    """A whole answer of a server."""

    __slots__ = ("content", "headers", "status")

    def __init__(self, message: Message, content: bytes) -> None:
        self.status = message.status
        self.headers: Headers = end_to_end_headers(message.headers)
        self.content = content

    def __repr__(self) -> str:
        return f"<Answer {self.status} {len(self.content)} bytes>"


def relay_whole(peers: Peers, call: Call, connection: Connection) -> None:
    """Serve a call to a plain service.

    :param peers: what the relay works with.
    :param call: the call.
    :param connection: the caller's connection.
    :raises BaygladeError: when there is no answer to pass on; nothing was sent to the caller.
    """
    attempts = Attempts(call)
    peers.budget(call.service).request()
    answer: Answer | None = None
    while attempts.may_send(peers):
        place = _find_place(peers, call, attempts)
        if place is None:
            break
        server = place.servers[0]
        try:
            answer = _attempt(peers, call, place, attempts)
        except BackendError as error:
            _note_failure(peers, call, server, error)
            if not attempts.failed(error):
                break
            await_word(peers, call)
            continue
        except (CutOff, Unauthenticated):
            # Both say that the call has not run, which is no longer sure of one that was sent.
            if not attempts.unknown and answer is None:
                raise
            break
        # A failure that the server vouches for goes on only when no other server may do better.
        if answer.status < 500 or not call.endpoint.repeatable:
            break
    if answer is None:
        raise attempts.error(peers.rng)
    if answer.status < 500:
        peers.quarantine.answered(call)
    connection.send_response(answer.status, answer.headers, answer.content)
    event("INFO", "answered", request=call.head.id, status=answer.status, sent=attempts.sent)


def _find_place(peers: Peers, call: Call, attempts: Attempts) -> Reservation | None:
    """Choose a server, or wait until one that names a limit takes another request.

    :return: the place there, taken; nothing when there is none in time.
    """

    def seek() -> Reservation | None:
        server = _least_busy(peers, call, attempts)
        if server is None:
            return None
        place = Reservation((server,))
        place.take()
        return place

    attempts.full_for = None
    in_turn = not peers.wait_queues.busy(call.service)
    if in_turn and (place := seek()) is not None:
        return place
    servers = [s for s in peers.fleet.healthy(call.service) if s.facts.id not in attempts.tried]
    expected = peers.fleet.rate_limits.expected_wait(servers, peers.wait_queues.ahead(call.service))
    if expected is None and not in_turn and (place := seek()) is not None:
        # Those that wait are about to be let go: there is a server without a limit.
        return place
    if expected is None:
        attempts.full_for = peers.fleet.seconds_until_available(call.service)
        return None
    # Later it could not be answered before its deadline.
    until = min(call.deadline - call.endpoint.aim, call.arrived + WAIT_SECONDS)
    if now() + expected <= until and any(server.throttle is not None for server in servers):
        place = peers.wait_queues.wait(call, seek, until, choosy=bool(attempts.tried))
        if place is not None:
            return place
    attempts.full_for = expected
    peers.wait_queues.sent_away(call.service, expected)
    event("INFO", "no room", request=call.head.id, expected=round(expected, 2))
    return None


def _attempt(peers: Peers, call: Call, place: Reservation, attempts: Attempts) -> Answer:
    server = place.servers[0]
    attempts.tried.add(server.facts.id)
    server.in_flight += 1
    keep_seconds = None
    try:
        exchange = send(peers, call, server, None, None, place)
        attempts.note(server)
        try:
            until = _patience(peers, call, attempts)
            message, head = answer_head(peers, call, server, exchange, until)
            pieces = []
            while (piece := exchange.piece(call.deadline)) is not None:
                pieces.append(piece)
            keep_seconds = head.keep_seconds
        finally:
            exchange.close(keep_seconds)
    finally:
        server.in_flight -= 1
        place.release()
    if message.status < 500:
        peers.fleet.record_success(server)
    return Answer(message, b"".join(pieces))


def _patience(peers: Peers, call: Call, attempts: Attempts) -> float:
    """Return until when to wait for the head of an answer."""
    endpoint = call.endpoint
    others = [s for s in peers.fleet.usable(call.service) if s.facts.id not in attempts.tried]
    if not endpoint.repeatable or not others or len(attempts.heads) >= endpoint.max_attempts:
        return call.deadline
    return min(call.deadline, now() + PATIENCE_OF_AIM * endpoint.aim)


def _least_busy(peers: Peers, call: Call, attempts: Attempts) -> Server | None:
    """Choose a server that was not tried, the least busy by this daemon's own count."""
    at = now()
    servers = [s for s in peers.fleet.healthy(call.service) if s.facts.id not in attempts.tried]
    peers.fleet.rate_limits.want(servers)
    fitting = [server for server in servers if server.available_at(at) <= at]
    if not fitting or attempts.only() is not None:
        return None
    if peers.quarantine.suspects(call):
        fitting = wait_apart(peers, call, fitting) or fitting
    own = peers.paths.hall
    return min(
        fitting,
        key=lambda s: (
            s.in_flight / max(1, s.facts.slots)
            + (AWAY_COST if s.facts.hall != own else 0.0)
            + s.failures
            + s.refusals.read(at),
            peers.rng.random(),
        ),
    )


def _note_failure(peers: Peers, call: Call, server: Server, error: BackendError) -> None:
    event(
        "INFO",
        "attempt failed",
        request=call.head.id,
        peer=server.facts.id,
        error=repr(error),
        content=content_of(peers, call, error),
        rest=error.rest_seconds if isinstance(error, BackendRefused) else None,
    )
    if isinstance(error, BackendRefused):
        server.refusals.add(1.0, now())
        if error.misdirected:
            peers.fleet.mark_leaving(server, "another server has its address")
        return
    if isinstance(error, BackendUnwilling):
        return
    if not isinstance(error, BackendUnreachable):
        _note_break(peers, call, server, error)
    peers.fleet.mark_suspect(server, error.code)


def _note_break(peers: Peers, call: Call, server: Server, error: BackendError) -> None:
    """Note that a server may have ended while it ran a call, and look whether it has."""
    peers.quarantine.broke_off(call, server.facts.key, None)
    if not isinstance(error, BackendSilent):
        eventlet.spawn_n(look_at, peers, server)
