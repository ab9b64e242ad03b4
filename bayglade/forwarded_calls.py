"""Calls that another daemon forwards to this one: verified, read like those of callers, sent by permit."""

from collections.abc import Callable

import msgspec

from bayglade.calls import Call
from bayglade.clock import now
from bayglade.disconnects import CallerDisconnected
from bayglade.entries.forwards import (
    FORWARD_HEADER,
    PERMIT,
    PERMIT_STATUS,
    SERVER_HEADER,
    SETTINGS_HEADER,
    SETTINGS_REQUEST_HEADER,
    SettingsRequest,
    decode_forwarded,
    decode_permit,
    decode_sealed,
)
from bayglade.exceptions import BaygladeError, Isolated, Outcome, PeerError, SettingsBehind, Stopping
from bayglade.http1 import Message, encode_head
from bayglade.ids import BackendId, ServiceName
from bayglade.intake import Intake
from bayglade.listener import Connection
from bayglade.logs import event
from bayglade.sockets import is_closed, receive

PERMIT_SECONDS = 1.0
"""Time limit for a permit; between data halls it takes a few milliseconds."""


def check_sender(message: Message, secret: bytes | None) -> None:
    """Check, before the body of a request is read, that another daemon sends it.

    :param message: the request, of which the head is complete.
    :param secret: the secret that all daemons share; None before this daemon has joined.
    :raises BaygladeError: if it is not from a daemon, or that cannot be told.
    """
    if secret is None:
        raise Stopping("this daemon accepts no forwarded calls", step="forward")
    asked = message.header(SETTINGS_REQUEST_HEADER.lower())
    if asked is not None:
        decode_sealed(asked, SettingsRequest, SETTINGS_REQUEST_HEADER, secret)
    else:
        decode_forwarded(message.header(FORWARD_HEADER.lower()) or "", secret)


def read_forwarded_call(
    message: Message, secret: bytes | None, intake: Intake, is_isolated: Callable[[ServiceName], bool]
) -> Call:
    """Verify and authorise a call that another daemon forwards.

    :param message: the complete request.
    :param secret: the secret that all daemons share; None if this daemon accepts no such calls now.
    :param intake: the settings in force.
    :param is_isolated: tells whether this daemon reaches no server of a service.
    :return: the call to relay.
    :raises BaygladeError: when it is refused; nothing was run.
    """
    if secret is None:
        raise Stopping("this daemon accepts no forwarded calls", step="forward")
    header = decode_forwarded(message.header(FORWARD_HEADER.lower()) or "", secret)
    if header.revision > intake.version:
        raise SettingsBehind("the settings here are older than the sender's", step="forward")
    message.headers = [(n, v) for n, v in message.headers if n.lower() != FORWARD_HEADER.lower()]
    call = intake.call(message)
    if call.must_forward:
        raise SettingsBehind("newer settings are in force than those known here", step="forward")
    if call.head.id != header.request:
        raise PeerError(
            "the header belongs to another request",
            step="forward",
            peer=header.sender,
            outcome=Outcome.NOT_RUN,
        )
    if header.last_event is not None:
        call.head = msgspec.structs.replace(call.head, last_event=header.last_event)
    call.deadline = min(call.deadline, call.arrived + header.seconds_left)
    call.forwarded, call.earlier_servers = True, header.servers
    call.sent_before = header.sent_before
    event("INFO", "forward accepted", request=call.head.id, peer=header.sender, after=header.last_event)
    if is_isolated(call.service):
        raise _isolated()
    return call


def obtain_permit(connection: Connection, call: Call, backend: BackendId) -> None:
    """Ask the daemon that forwards a call for permission to send it to a server.

    The deadline is set anew, because the call may have been read long after it was forwarded.

    :param connection: the connection on which the call came.
    :param call: the call.
    :param backend: the server.
    :raises CallerDisconnected: if the other daemon does not wait for the answer any more.
    """
    asked_at = now()
    told = [(SERVER_HEADER, backend), (SETTINGS_HEADER, str(call.revision))]
    head = encode_head(f"HTTP/1.1 {PERMIT_STATUS} Processing", told)
    permit = b""
    try:
        connection.sock.sendall(head)
        while len(permit) < PERMIT.size:
            data = receive(connection.sock, asked_at + PERMIT_SECONDS)
            if not data:
                raise CallerDisconnected()
            permit += data
    except OSError as error:
        raise CallerDisconnected() from error
    # The permit may have waited in the socket while this daemon was suspended.
    if len(permit) > PERMIT.size or is_closed(connection.sock):
        raise CallerDisconnected()
    call.deadline = min(call.deadline, asked_at + decode_permit(permit))


def error_for_sender(
    error: BaygladeError, call: Call | None, is_isolated: Callable[[ServiceName], bool]
) -> BaygladeError:
    """Return the error for a forwarded call that failed because this daemon became isolated meanwhile.

    The daemon that forwarded it then tries another one. Other errors are returned as they are.
    """
    if call is None or not call.forwarded or error.outcome is not Outcome.NOT_RUN:
        return error
    if not is_isolated(call.service):
        return error
    isolated = _isolated()
    isolated.sent = error.sent
    return isolated


def _isolated() -> Isolated:
    return Isolated("no server is in reach here", step="forward")
