"""Forwarding: calls of a daemon that reaches no backend server are served through another daemon.

The other daemon serves such a call as one of its own callers', under the account of the caller, and never
forwards it again. Its answer is relayed as that of a backend server would be. It sends the call only with a
permit of this daemon, for one server at a time. So this daemon knows all servers that the call may have
reached, and a daemon that it has given up, or that wakes from a suspension, sends nothing. A call for which
no permit was given has not run and may be forwarded to a third daemon.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Mapping, Set
from contextlib import suppress

import msgspec

from bayglade.calls import Call
from bayglade.clock import now
from bayglade.decoding import reading, whole_number
from bayglade.entries.forwards import (
    FORWARD_HEADER,
    PERMIT_STATUS,
    SERVER_HEADER,
    SETTINGS_HEADER,
    ForwardedCall,
    encode_forwarded,
    encode_permit,
)
from bayglade.exceptions import (
    BackendError,
    BackendSilent,
    BackendUnreachable,
    BackendUnwilling,
    CutOff,
    InvalidSettings,
    Isolated,
    Outcome,
    PeerRefused,
)
from bayglade.http1 import Message, encode_head, end_to_end_headers
from bayglade.ids import BackendId, MemberId, Revision, ServiceName
from bayglade.logs import event
from bayglade.metrics import Metrics
from bayglade.responses import OUTCOME_HEADER, SENT_HEADER, ErrorAnswer
from bayglade.retries import jittered_retry_after
from bayglade.upstream import (
    DEFAULT_IDLE_SECONDS,
    MAX_CONTROL_BYTES,
    MAX_IDLE_AT_MOST_ONCE,
    ConnectionPool,
    Exchange,
    join_pieces,
    open_exchange,
)

CONNECT_SECONDS = 0.2
"""A connect to another daemon takes about a millisecond."""
SILENT_SECONDS = 0.5
"""Silence after which it is asked whether the other daemon still accepts connections."""
GAP_SECONDS = 1.2
"""Pause between events after which a stream is resumed elsewhere. The other daemon moves its streams off
stalled servers sooner."""
REFUSING_SECONDS = 1.0
"""How long a daemon that refused a forwarded call for its own state is passed over."""
UNREACHED_SECONDS = 3.0
"""How long a daemon that could not be reached is passed over."""
KEEP_SECONDS = 3.0
"""How long an idle connection to another daemon is kept."""
RANDOM_DAEMONS = 2
"""Daemons that one call is offered to before those that accepted other calls are preferred."""
ACCEPTED_SECONDS = 5.0
"""How long a daemon that accepted a call is preferred."""
MAX_DAEMONS = 12
"""Daemons that one call is offered to, at most."""
NO_DAEMON_RETRY_AFTER = 0.5
"""Retry-After in seconds, before jitter, if no daemon can serve the call."""
OWN_STATE_CODES = frozenset(
    {"isolated", "stopping", "cut_off", "settings_behind", "peer_error", "host_full"}
)
"""Codes of refusals that concern the other daemon alone; another one may accept the call."""


class Forwarding:
    """The daemons through which calls are forwarded; times are monotonic seconds.

    :param member: this daemon.
    :param is_isolated: tells whether this daemon reaches no server of a service.
    :param addresses: returns the daemons that may accept calls, with the addresses at which they do.
    :param secret: returns the secret that all daemons share; None before this daemon has joined.
    :param revision: returns the oldest settings by which a call may be served.
    :param request_of: returns the request that an answer names, if it names one.
    :param metrics: receives counters.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        member: MemberId,
        is_isolated: Callable[[ServiceName], bool],
        addresses: Callable[[], Mapping[MemberId, str]],
        secret: Callable[[], bytes | None],
        revision: Callable[[], Revision],
        request_of: Callable[[Message], str | None],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.member = member
        self.is_isolated = is_isolated
        self.addresses = addresses
        self.secret = secret
        self.revision = revision
        self.request_of = request_of
        self.metrics = metrics
        self.rng = rng
        self.enabled = True
        self.check_authorization: Callable[[Call], None] = lambda call: None
        """Raises Unauthenticated if the key of a call was revoked, CutOff if that is not known."""

        self.pool = ConnectionPool()
        self.in_flight: Counter[MemberId] = Counter()
        self.passed_over_until: dict[MemberId, float] = {}
        self.accepted_at: dict[MemberId, float] = {}
        """When each daemon last accepted a call."""

        self.isolated_peers: dict[MemberId, Set[ServiceName]] = {}
        """Services from which other daemons say they are isolated."""

        self.on_settings: Callable[[Revision, MemberId], None] = lambda revision, member: None
        """Called with the settings by which another daemon serves a call, before it sends the call."""

    def __repr__(self) -> str:
        return f"<Forwarding {self.in_flight.total()} in flight>"

    def is_needed(self, call: Call) -> bool:
        """Return whether a call has to be forwarded, for lack of servers or of the settings in force."""
        if not self.enabled or call.forwarded:
            return False
        return call.must_forward or self.is_isolated(call.service)

    def is_possible(self, service: ServiceName) -> bool:
        """Return whether some daemon may accept calls to a service."""
        return self.choose(service, frozenset()) is not None

    def choose(self, service: ServiceName, tried: Set[MemberId]) -> MemberId | None:
        """Choose a daemon: the one with fewer forwarded calls of two random ones.

        After some refusals it is one of those that accepted calls lately, if there are any: most daemons
        may be isolated, and in a large site only some of them are heard.

        :param service: the service of the call.
        :param tried: daemons that are not to be chosen.
        """
        at = now()
        usable = [
            member
            for member in self.addresses()
            if member not in tried
            and self.passed_over_until.get(member, 0.0) <= at
            and service not in self.isolated_peers.get(member, ())
        ]
        if len(tried) >= RANDOM_DAEMONS:
            accepting = [
                member
                for member in usable
                if self.accepted_at.get(member, -math.inf) > at - ACCEPTED_SECONDS
            ]
            usable = accepting or usable
        pair = self.rng.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda member: self.in_flight[member], default=None)

    def pass_over(self, member: MemberId, seconds: float) -> None:
        """Forward no calls to a daemon for a while."""
        self.passed_over_until[member] = now() + seconds

    def note_settings(self, message: Message, member: MemberId) -> None:
        """Note by which settings another daemon serves a call."""
        revision = whole_number(message.header(SETTINGS_HEADER.lower()) or "")
        if revision is not None:
            self.on_settings(Revision(revision), member)

    def prune(self) -> None:
        """Close idle connections that have expired, and forget daemons that are gone."""
        known = self.addresses()
        self.pool.prune({BackendId(member) for member in known})
        for table in (self.passed_over_until, self.isolated_peers, self.accepted_at):
            for member in table.keys() - known.keys():
                del table[member]


def forwarding_off(
    is_isolated: Callable[[ServiceName], bool], metrics: Metrics, rng: random.Random
) -> Forwarding:
    """Return a forwarding that knows no other daemon."""
    return Forwarding(
        MemberId(""),
        is_isolated,
        dict,
        lambda: None,
        lambda: Revision(0),
        lambda message: None,
        metrics,
        rng,
    )


class ForwardedExchange:
    """A call in progress at another daemon."""

    __slots__ = ("call", "exchange", "forwarding", "member", "note_permitted", "permitted")

    def __init__(self, forwarding: Forwarding, member: MemberId, exchange: Exchange, call: Call) -> None:
        self.forwarding = forwarding
        self.member = member
        self.exchange = exchange
        self.call = call
        self.note_permitted: Callable[[BackendId], None] = lambda backend: None
        """Called with each server to which the other daemon is permitted to send the call."""

        self.permitted = False
        """Whether the other daemon was permitted to send the call to a server."""

        forwarding.in_flight[member] += 1

    def __repr__(self) -> str:
        return f"<ForwardedExchange at {self.member}>"

    def read_head(self) -> Message:
        """Wait for the head of the answer.

        :return: the answer of a server, as the other daemon relays it.
        :raises PeerRefused: if the other daemon answers with an error of its own.
        :raises BackendError: if there is no answer.
        """
        while True:
            try:
                message = self.exchange.read_head(self._next_check_at(), self._is_own, self._permit)
                break
            except BackendSilent:
                self._check_silence(None)
        self.forwarding.note_settings(message, self.member)
        outcome = message.header(OUTCOME_HEADER.lower())
        if outcome is not None:
            raise self._refusal(message, Outcome(outcome))
        message.headers = [(n, v) for n, v in message.headers if n.lower() != SETTINGS_HEADER.lower()]
        return message

    def read_piece(self, last_event_at: float | None = None) -> bytes | None:
        """Wait for the next piece of the answer; None at its end.

        :param last_event_at: when the last event of a stream arrived.
        :raises BackendError: if the answer breaks off.
        """
        while True:
            try:
                return self.exchange.read_piece(self._next_check_at())
            except BackendSilent:
                self._check_silence(last_event_at)

    def read_body(self, max_bytes: int) -> bytes:
        """Read the whole body of the answer.

        :param max_bytes: size limit of the body.
        :raises BackendError: if the answer breaks off or exceeds the limit.
        """
        return join_pieces(self.read_piece, max_bytes, self.member, self.call.hold_answer)

    def close(self) -> None:
        """Return or close the connection."""
        self.exchange.close(KEEP_SECONDS)
        self.forwarding.in_flight[self.member] -= 1

    def _permit(self, message: Message) -> None:
        """Permit the other daemon to send the call to the server that it names.

        :raises BackendError: if the permit cannot be sent.
        :raises Unauthenticated: if the key of the call was revoked.
        """
        backend = message.header(SERVER_HEADER.lower())
        if message.status != PERMIT_STATUS or backend is None:
            return
        self.forwarding.note_settings(message, self.member)
        left = self.call.seconds_left()
        if left <= 0:
            raise BackendSilent("no answer in time", step="forward", peer=self.member)
        # If the settings here are too old to tell, the other daemon's are newer.
        with suppress(CutOff):
            self.forwarding.check_authorization(self.call)
        self.permitted = True
        self.note_permitted(BackendId(backend))
        event("INFO", "send permitted", request=self.call.head.id, peer=self.member, server=backend)
        try:
            self.exchange.connection.sock.sendall(encode_permit(left))
        except OSError as error:
            raise BackendError(f"sending failed: {error}", step="forward", peer=self.member) from error

    def _is_own(self, message: Message) -> bool:
        return self.forwarding.request_of(message) in (None, self.call.head.id)

    def _next_check_at(self) -> float:
        return min(self.call.deadline, now() + SILENT_SECONDS)

    def _check_silence(self, last_event_at: float | None) -> None:
        """Give up on a daemon that is silent, if the call may be sent again.

        :raises BackendSilent: if it does not accept connections, or its stream has stalled.
        """
        if now() >= self.call.deadline:
            raise BackendSilent("no answer in time", step="forward", peer=self.member)
        if self.call.at_most_once and self.permitted:
            return
        if last_event_at is not None and now() - last_event_at > GAP_SECONDS:
            raise BackendSilent("the forwarded stream stalled", step="forward", peer=self.member)
        address = self.forwarding.addresses().get(self.member)
        if address is None or not self.forwarding.pool.probe(BackendId(self.member), address):
            self.forwarding.pass_over(self.member, UNREACHED_SECONDS)
            raise BackendSilent("the other daemon is gone", step="forward", peer=self.member)

    def _refusal(self, message: Message, outcome: Outcome) -> PeerRefused:
        body = self.exchange.read_body(self.call.deadline, MAX_CONTROL_BYTES)
        retry_after = message.header("retry-after")
        try:
            with reading("an error", "forward"):
                error = msgspec.json.decode(body, type=ErrorAnswer).error
                retry_seconds = float(retry_after) if retry_after is not None else None
        except InvalidSettings as failure:
            raise BackendError("malformed answer", step="forward", peer=self.member) from failure
        refusal = PeerRefused(
            error.message,
            code=error.code,
            status=message.status,
            peer=self.member,
            retry_after=retry_seconds,
            outcome=outcome,
        )
        # An older daemon does not tell.
        refusal.sent = message.header(SENT_HEADER.lower()) != "0"
        return refusal


def forward_call(
    forwarding: Forwarding,
    call: Call,
    servers: list[BackendId],
    last_event: int | None,
    sent_before: bool = False,
    note_permitted: Callable[[BackendId], None] = lambda backend: None,
) -> tuple[ForwardedExchange, Message]:
    """Forward a call to a daemon that accepts it.

    :param forwarding: the daemons.
    :param call: the call.
    :param servers: servers that it was sent to before.
    :param last_event: the event after which a stream is resumed.
    :param sent_before: whether it may have reached a server; the errors below tell the same at the end.
    :param note_permitted: called with each server to which a daemon is permitted to send the call.
    :return: the exchange, whose caller closes it, and the answer.
    :raises Isolated: if no daemon accepts it; it was not run by any of them.
    :raises PeerRefused: if a daemon refuses it for a reason that holds at the others too.
    :raises BackendError: if a daemon gave no answer; its outcome is ``NOT_RUN`` if that daemon was not
        permitted to send the call.
    """
    tried: set[MemberId] = set()
    while len(tried) < MAX_DAEMONS and call.seconds_left() > 0:
        member = forwarding.choose(call.service, tried)
        if member is None:
            break
        tried.add(member)
        try:
            exchange = _open(forwarding, member, call)
        except (BackendUnreachable, BackendUnwilling) as error:
            event("INFO", "daemon not reached", request=call.head.id, peer=member, error=repr(error))
            forwarding.pass_over(member, UNREACHED_SECONDS)
            continue
        exchange.note_permitted = note_permitted
        try:
            _send(forwarding, exchange, call, servers, last_event, sent_before)
            message = exchange.read_head()
            forwarding.accepted_at[member] = now()
            return exchange, message
        except PeerRefused as error:
            exchange.close()
            event("INFO", "forward refused", request=call.head.id, peer=member, error=repr(error))
            sent_before = error.sent = sent_before or error.sent
            if error.code not in OWN_STATE_CODES or error.outcome is not Outcome.NOT_RUN:
                raise
            forwarding.metrics.count("forwards_refused")
            forwarding.pass_over(member, REFUSING_SECONDS)
        except BackendError as error:
            exchange.close()
            if not exchange.permitted:
                error.outcome = Outcome.NOT_RUN
            raise
        except BaseException:
            exchange.close()
            raise
    forwarding.metrics.count("forwards_failed")
    again = jittered_retry_after(NO_DAEMON_RETRY_AFTER, forwarding.rng)
    error = Isolated(
        "no server is in reach, and no daemon that reaches one", step="forward", retry_after=again
    )
    error.sent = sent_before
    raise error


def _open(forwarding: Forwarding, member: MemberId, call: Call) -> ForwardedExchange:
    max_idle = MAX_IDLE_AT_MOST_ONCE if call.at_most_once else DEFAULT_IDLE_SECONDS
    address = forwarding.addresses()[member]
    exchange = open_exchange(forwarding.pool, BackendId(member), address, max_idle, CONNECT_SECONDS)
    return ForwardedExchange(forwarding, member, exchange, call)


def _send(
    forwarding: Forwarding,
    forwarded: ForwardedExchange,
    call: Call,
    servers: list[BackendId],
    last_event: int | None,
    sent_before: bool,
) -> None:
    secret = forwarding.secret()
    assert secret is not None
    header = ForwardedCall(
        sender=forwarding.member,
        request=call.head.id,
        seconds_left=call.seconds_left(),
        revision=forwarding.revision(),
        servers=servers,
        last_event=last_event,
        sent_before=sent_before,
    )
    headers = [(n, v) for n, v in end_to_end_headers(call.headers) if n.lower() != FORWARD_HEADER.lower()]
    headers.append((FORWARD_HEADER, encode_forwarded(header, secret)))
    if call.body or call.method not in ("GET", "HEAD"):
        headers.append(("Content-Length", str(len(call.body))))
    start = f"{call.method} {call.target.decode('latin-1')} HTTP/1.1"
    forwarded.exchange.send(encode_head(start, headers), call.body, call.deadline)
    forwarding.metrics.count("forwards")
    event(
        "INFO",
        "forwarded",
        request=call.head.id,
        peer=forwarded.member,
        after=last_event,
        left=round(call.seconds_left(), 3),
    )
