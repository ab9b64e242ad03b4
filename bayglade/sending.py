"""Sends one call to one server, and reads the head of its answer.

Every request of a caller to a backend server passes through here, so the checks on what may no longer be
sent are made here. Notices that a server attaches to an answer are applied here as well.
"""

from bayglade.calls import AnswerHead, Call, Sending
from bayglade.clock import now
from bayglade.disconnects import CallerDisconnected
from bayglade.exceptions import BackendError, BackendRefused, BackendUnwilling
from bayglade.http1 import Message, encode_head
from bayglade.ids import BackendId
from bayglade.logs import event
from bayglade.pathfinding import Path
from bayglade.relay import Attempts, RelayContext
from bayglade.reservations import Reservation
from bayglade.servers import Server
from bayglade.upstream import (
    CONNECT_SECONDS,
    DEFAULT_IDLE_SECONDS,
    MAX_IDLE_AT_MOST_ONCE,
    Exchange,
    open_exchange,
)


def send(
    context: RelayContext,
    call: Call,
    attempts: Attempts,
    server: Server,
    path: Path | None,
    last_event: int | None,
    place: Reservation | None = None,
) -> Exchange:
    """Send a call to a server.

    :param context: the collaborators of the relay.
    :param call: the call.
    :param attempts: its attempts; a retry is charged here.
    :param server: the server to send it to.
    :param path: the path of a stream.
    :param last_event: the event after which a stream is resumed.
    :param place: what the call has reserved on the server; the path if omitted.
    :return: the exchange; its answer has not been read yet.
    :raises CutOff: if the call may no longer be sent.
    :raises CallerDisconnected: if nobody waits for its answer; nothing was sent.
    :raises BackendUnwilling: if the server stopped accepting requests meanwhile, the deadline has passed
        or no retry is left; nothing was sent.
    :raises BackendUnreachable: if nothing was sent.
    :raises BackendError: if parts of the request may have arrived.
    """
    facts = server.facts
    check_may_send(context, call, server)
    context.quarantine.note_sent(call, facts.id)
    max_idle = MAX_IDLE_AT_MOST_ONCE if call.at_most_once else DEFAULT_IDLE_SECONDS
    request = call.head.id if call.at_most_once else None
    exchange = open_exchange(context.pool, facts.id, facts.address, max_idle, CONNECT_SECONDS, request)
    try:
        _confirm_send(context, call, facts.id)
        sending = Sending(
            backend=facts.id,
            seconds=call.seconds_left(),
            route=path.route if path is not None and path.route.stages else None,
            last_event=last_event,
        )
        headers = context.dialect.request_headers(call, sending)
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(call.body))))
        start = f"{call.method} {call.target.decode('latin-1')} HTTP/1.1"
        # Meanwhile the server may have announced that it accepts no more requests.
        check_may_send(context, call, server)
        reserved = place or path or Reservation((server,))
        _confirm_rate_limits(reserved)
        attempts.begin_send(context, server)
        if len(attempts.used_ids()) > call.endpoint.max_attempts:
            context.metrics.count("sends_to_further_servers")
        reserved.mark_sent()
        exchange.send(encode_head(start, headers), call.body, call.deadline)
        context.quarantine.end_trial(call)
    except BaseException:
        exchange.connection.sock.close()
        raise
    event(
        "INFO",
        "sent",
        request=call.head.id,
        peer=facts.id,
        path=path.describe() if path is not None else None,
        use=round(path.cache_use, 2) if path is not None else None,
        after=last_event,
        left=round(call.seconds_left(), 3),
        charge=attempts.charged_to.value if attempts.charged_to is not None else None,
        servers=len(attempts.used_ids()),
        max_servers=call.endpoint.max_attempts,
        not_counted=attempts.not_counted() or None,
    )
    return exchange


def _confirm_send(context: RelayContext, call: Call, backend: BackendId) -> None:
    """Check that somebody waits for the answer to a call, and has time left.

    :raises CallerDisconnected: if nobody waits.
    :raises BackendUnwilling: if the deadline has passed.
    """
    try:
        call.confirm_send(backend)
    except CallerDisconnected:
        context.metrics.count("sends_abandoned")
        raise
    if call.seconds_left() <= 0:
        raise BackendUnwilling("the deadline has passed", step="send", peer=backend)


def check_may_send(context: RelayContext, call: Call, server: Server) -> None:
    """Check conditions that may have changed since a server was chosen for a call.

    :raises CutOff: if the call may no longer be sent.
    :raises BackendUnwilling: if the server is leaving, or asked for a pause, or the call is stopped.
    """
    context.check_authorization(call)
    if context.quarantine.is_stopped(call):
        raise BackendUnwilling("servers ended under this request", step="send", peer=server.facts.id)
    if server.leaving or server.resting(now()):
        raise BackendUnwilling("the server accepts no requests now", step="send", peer=server.facts.id)


def _confirm_rate_limits(place: Reservation) -> None:
    """Check, just before a request is sent, that it was charged to the rate limits of its servers.

    :raises BackendUnwilling: if one of them has announced a limit since it was chosen.
    """
    for server in place.servers:
        if not place.admits(server):
            raise BackendUnwilling("the server's rate limit is used up", step="send", peer=server.facts.id)


def read_answer_head(
    context: RelayContext, call: Call, server: Server, exchange: Exchange, until: float
) -> tuple[Message, AnswerHead]:
    """Wait for the head of the answer to this call.

    :param context: the collaborators of the relay.
    :param call: the call.
    :param server: the server that it was sent to.
    :param exchange: the exchange with that server.
    :param until: when to give up, in monotonic seconds.
    :return: the answer, and the parsed content of its head.
    :raises BackendRefused: if the server says that it did not run the call.
    :raises BackendError: if there is no answer, or none that the server vouches for.
    """

    def is_own(message: Message) -> bool:
        request = context.dialect.read_answer(message).request
        return request is None or request == call.head.id

    message = exchange.read_head(until, is_own)
    head = context.dialect.read_answer(message)
    misdirected = head.instance_id is not None and head.instance_id != exchange.backend
    if not misdirected:
        apply_server_notices(context, server, head, exchange.sent_at)
    if head.not_run:
        raise BackendRefused(
            f"the server answered {message.status}",
            step="answer",
            peer=exchange.backend,
            misdirected=misdirected,
            at_fault=head.at_fault,
            rest_seconds=head.rest_seconds,
        )
    if not head.authentic or head.request is None:
        raise BackendError("the server does not vouch for the answer", step="answer", peer=exchange.backend)
    return message, head


def apply_server_notices(context: RelayContext, server: Server, head: AnswerHead, sent_at: float) -> None:
    """Apply what a server says about itself in an answer.

    A server that rejects a request on behalf of a later stage is paused too, because it sent the answer.

    :param sent_at: when the request was sent, in monotonic seconds.
    """
    if head.leaving:
        context.fleet.announce_leaving(server, "its answer")
    if head.rest_seconds is not None:
        context.fleet.set_rest(server, head.rest_seconds)
    if head.rate_limit is not None or head.authentic:
        # A missing limit counts only in an answer that the server vouches for.
        context.fleet.rate_limits.note_answer(server, head.rate_limit, sent_at, "an answer")
