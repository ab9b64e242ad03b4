"""Sending: one call to one server, as far as the head of its answer.

All that callers ask of backend servers goes out here, so what must not be sent any more is stopped here;
and what a server says of itself in an answer is taken in here.
"""

from bayglade.calls import AnswerHead, Call, Sending
from bayglade.clock import now
from bayglade.exceptions import BackendError, BackendRefused, BackendUnwilling
from bayglade.heads import Message, write_head
from bayglade.logs import event
from bayglade.pathfinding import Path
from bayglade.places import Place
from bayglade.relay import RelayContext
from bayglade.servers import Server
from bayglade.upstream import DEFAULT_IDLE_SECONDS, MAX_IDLE_AT_MOST_ONCE, Exchange, open_exchange


def send(
    context: RelayContext,
    call: Call,
    server: Server,
    path: Path | None,
    last_event: int | None,
    place: Place | None = None,
) -> Exchange:
    """Send a call to a server.

    :param peers: what the relay works with.
    :param call: the call.
    :param server: where it goes.
    :param path: the way through the model, for a stream.
    :param last_event: the event after which a stream goes on.
    :param place: what the call has taken of the server; that of the path when left out.
    :return: the exchange, whose answer is still to come.
    :raises CutOff: when the call may no longer be sent.
    :raises BackendUnwilling: when the server said meanwhile that it wants none; nothing was sent.
    :raises BackendUnreachable: when nothing was sent.
    :raises BackendError: when parts may have arrived.
    """
    facts = server.facts
    check_may_send(context, call, server)
    context.quarantine.sent(call, facts.id)
    max_idle = MAX_IDLE_AT_MOST_ONCE if call.at_most_once else DEFAULT_IDLE_SECONDS
    exchange = open_exchange(context.pool, facts.id, facts.address, max_idle)
    try:
        sending = Sending(
            backend=facts.id,
            seconds=call.seconds_left(),
            route=path.route if path is not None else None,
            last_event=last_event,
        )
        headers = context.dialect.request_headers(call, sending)
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(call.body))))
        start = f"{call.method} {call.target.decode('latin-1')} HTTP/1.1"
        # Opening a connection may take as long as a server takes to say that it wants no more.
        check_may_send(context, call, server)
        _confirm_rate_limits(place or path or Place((server,)))
        exchange.send(write_head(start, headers) + call.body, call.deadline)
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
    )
    return exchange


def check_may_send(context: RelayContext, call: Call, server: Server) -> None:
    """Check what may have changed since a server was chosen for a call.

    :raises CutOff: when the call may no longer be sent.
    :raises BackendUnwilling: when the server leaves, or asked for a rest.
    """
    context.check_authorization(call)
    if server.leaving or server.resting(now()):
        raise BackendUnwilling("the server wants no requests now", step="send", peer=server.facts.id)


def _confirm_rate_limits(place: Place) -> None:
    """Check that a request was taken out of the limits of its servers, just before it goes out.

    :raises BackendUnwilling: when one of them has named a limit since it was chosen.
    """
    for server in place.servers:
        if not place.admits(server):
            raise BackendUnwilling("the limit of the server is used up", step="send", peer=server.facts.id)
    place.sent()


def read_answer_head(
    context: RelayContext, call: Call, server: Server, exchange: Exchange, until: float
) -> tuple[Message, AnswerHead]:
    """Wait for the head of the own answer.

    :param peers: what the relay works with.
    :param call: the call.
    :param server: where it was sent.
    :param exchange: the exchange with that server.
    :param until: when to give up, in monotonic seconds.
    :return: the answer and what its head says.
    :raises BackendRefused: when the server says that it did not run the call.
    :raises BackendError: when there is no answer, or none that is the server's own.
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
        raise BackendError("an answer that is not the server's own", step="answer", peer=exchange.backend)
    return message, head


def apply_server_notices(context: RelayContext, server: Server, head: AnswerHead, sent_at: float) -> None:
    """Take in what a server says of itself in an answer.

    One that turns a request away on behalf of a later stage rests as well: it is the one that answered.

    :param sent_at: when the request went out, in monotonic seconds.
    """
    if head.leaving:
        context.fleet.said_leaving(server, "its answer")
    if head.rest_seconds is not None:
        context.fleet.rest(server, head.rest_seconds)
    if head.rate_limit is not None or head.authentic:
        # Only what the server vouches for shows that it names no limit any more.
        context.fleet.rate_limits.answered(server, head.rate_limit, sent_at, "an answer")
