"""What a daemon accepts as a call that another daemon forwards, and what it tells that daemon."""

from typing import Any

import msgspec
import pytest

from bayglade.entries.forwards import FORWARD_HEADER, ForwardedCall, encode_forwarded
from bayglade.exceptions import (
    BackendError,
    BaygladeError,
    Isolated,
    NoRoute,
    Outcome,
    PeerError,
    SettingsBehind,
    Stopping,
)
from bayglade.forwarded_calls import error_for_sender, read_forwarded_call
from bayglade.http1 import Message
from bayglade.ids import BackendId, MemberId, RequestId, Revision
from tests.test_quarantine import make_call

SECRET = b"secret"
SETTINGS = Revision(7)
ARRIVED = 100.0


class Settings:
    """The settings in force, which let any request in."""

    version = SETTINGS

    def call(self, message: Message) -> Any:
        self.headers = message.headers
        call = make_call()
        call.arrived, call.deadline = ARRIVED, ARRIVED + 20.0
        return call


def read(isolated: bool = False, secret: bytes | None = SECRET, **changes: Any) -> Any:
    """Read a forwarded call; return it, and the headers that reach the intake."""
    header = ForwardedCall(
        MemberId("d0"), make_call().head.id, 3.5, SETTINGS, [BackendId("i-1"), BackendId("i-2")], 4
    )
    message, settings = Message(), Settings()
    header = msgspec.structs.replace(header, **changes)
    message.headers = [("Host", "h"), (FORWARD_HEADER, encode_forwarded(header, SECRET))]
    call = read_forwarded_call(message, secret, settings, lambda service: isolated)  # type: ignore[arg-type]
    return call, settings.headers


def test_a_forwarded_call_has_the_time_servers_and_event_of_its_sender() -> None:
    call, headers = read()
    assert call.forwarded
    assert call.deadline == ARRIVED + 3.5
    assert call.earlier_servers == ["i-1", "i-2"]
    assert call.head.last_event == 4
    assert headers == [("Host", "h")]


def test_a_sender_cannot_extend_a_deadline() -> None:
    call, _ = read(seconds_left=60.0)
    assert call.deadline == ARRIVED + 20.0


@pytest.mark.parametrize(
    ("changes", "error"),
    [
        ({"revision": Revision(8)}, SettingsBehind),
        ({"request": RequestId("another")}, PeerError),
        ({"isolated": True}, Isolated),
        ({"secret": None}, Stopping),
        ({"secret": b"another secret"}, PeerError),
    ],
    ids=["newer settings", "another request", "isolated", "not accepting", "another secret"],
)
def test_a_forwarded_call_that_is_refused_was_not_run(
    changes: dict[str, Any], error: type[BaygladeError]
) -> None:
    with pytest.raises(error) as caught:
        read(**changes)
    assert caught.value.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    ("forwarded", "isolated", "failure", "code"),
    [
        (True, True, NoRoute("none"), "isolated"),
        (True, False, NoRoute("none"), "no_route"),
        (False, True, NoRoute("none"), "no_route"),
        (True, True, BackendError("cut"), "backend_error"),
    ],
    ids=["isolated meanwhile", "not isolated", "own caller", "may have run"],
)
def test_a_sender_is_told_of_isolation_only_if_the_call_was_not_run(
    forwarded: bool, isolated: bool, failure: BaygladeError, code: str
) -> None:
    call = make_call()
    call.forwarded = forwarded
    assert error_for_sender(failure, call, lambda service: isolated).code == code
