"""Sending: one call to one server, as far as the head of its answer.

All that callers ask of backend servers goes out here, so what must not be sent any more is stopped here;
and what a server says of itself in an answer is taken in here.
"""

from bayglade.calls import AnswerHead, Call, Sending
from bayglade.clock import now
from bayglade.exceptions import BackendError, BackendRefused, BackendUnwilling
from bayglade.http1 import Message, encode_head
from bayglade.logs import event
from bayglade.pathfinding import Path
from bayglade.relay import Peers
from bayglade.reservations import Reservation
from bayglade.servers import Server
from bayglade.upstream import FRESH_SECONDS, IDLE_SECONDS, Exchange, open_exchange


def send(
    peers: Peers,
    call: Call,
    server: Server,
    path: Path | None,
    last_event: int | None,
    place: Reservation | None = None,
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
    check_sending(peers, call, server)
    peers.quarantine.sent(call, facts.id)
    max_idle = FRESH_SECONDS if call.once else IDLE_SECONDS
    exchange = open_exchange(peers.links, facts.id, facts.address, max_idle)
    try:
        sending = Sending(
            backend=facts.id,
            seconds=call.seconds_left(),
            route=path.route if path is not None else None,
            last_event=last_event,
        )
        headers = peers.dialect.request_headers(call, sending)
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(call.body))))
        start = f"{call.method} {call.target.decode('latin-1')} HTTP/1.1"
        # Opening a connection may take as long as a server takes to say that it wants no more.
        check_sending(peers, call, server)
        _keep_limits(place or path or Reservation((server,)))
        exchange.send(encode_head(start, headers) + call.body, call.deadline)
    except BaseException:
        exchange.link.sock.close()
        raise
    event(
        "INFO",
        "sent",
        request=call.head.id,
        peer=facts.id,
        path=path.text() if path is not None else None,
        use=round(path.use, 2) if path is not None else None,
        after=last_event,
        left=round(call.seconds_left(), 3),
    )
    return exchange


def check_sending(peers: Peers, call: Call, server: Server) -> None:
    """Check what may have changed since a server was chosen for a call.

    :raises CutOff: when the call may no longer be sent.
    :raises BackendUnwilling: when the server leaves, or asked for a rest.
    """
    peers.check(call)
    if server.leaving or server.resting(now()):
        raise BackendUnwilling("the server wants no requests now", step="send", peer=server.facts.id)


def _keep_limits(place: Reservation) -> None:
    """Check that a request was taken out of the limits of its servers, just before it goes out.

    :raises BackendUnwilling: when one of them has named a limit since it was chosen.
    """
    for server in place.servers:
        if not place.admits(server):
            raise BackendUnwilling("the limit of the server is used up", step="send", peer=server.facts.id)
    place.mark_sent()


def answer_head(
    peers: Peers, call: Call, server: Server, exchange: Exchange, until: float
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

    def own(message: Message) -> bool:
        request = peers.dialect.read_answer(message).request
        return request is None or request == call.head.id

    message = exchange.head(until, own)
    head = peers.dialect.read_answer(message)
    misdirected = head.instance is not None and head.instance != exchange.backend
    if not misdirected:
        take_word(peers, server, head, exchange.sent_at)
    if head.not_run:
        raise BackendRefused(
            f"the server answered {message.status}",
            step="answer",
            peer=exchange.backend,
            misdirected=misdirected,
            at_fault=head.at_fault,
            rest_seconds=head.rest_seconds,
        )
    if not head.genuine or head.request is None:
        raise BackendError("an answer that is not the server's own", step="answer", peer=exchange.backend)
    return message, head


def take_word(peers: Peers, server: Server, head: AnswerHead, sent_at: float) -> None:
    """Take in what a server says of itself in an answer.

    One that turns a request away on behalf of a later stage rests as well: it is the one that answered.

    :param sent_at: when the request went out, in monotonic seconds.
    """
    if head.leaving:
        peers.fleet.announce_leaving(server, "its answer")
    if head.rest_seconds is not None:
        peers.fleet.set_rest(server, head.rest_seconds)
    if head.rate_limit is not None or head.genuine:
        # Only what the server vouches for shows that it names no limit any more.
        peers.fleet.rate_limits.answered(server, head.rate_limit, sent_at, "an answer")
