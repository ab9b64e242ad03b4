"""Each send of a call beyond its first is charged as a retry, wherever it was sent before.

A send that failed after some bytes had left was not counted, so that the next one was charged as the first.
A call that another daemon had sent to a server and then refused was sent free of charge by the next one.
"""

from types import SimpleNamespace
from typing import Any

import pytest

from bayglade import forwarding
from bayglade.exceptions import BackendError, BackendUnwilling, BaygladeError, Isolated
from bayglade.forwarding import forward_call
from bayglade.relay import Attempts, attempts_at
from bayglade.retry_ledger import ChargeSource, RetryBound, RetryLedger
from bayglade.sending import send
from tests.test_forwarding import Peers, make_call, refusal
from tests.test_relay import a_call
from tests.test_rests import Clock, clock, listed, relaying

__all__ = ["clock"]
NO_RETRIES = RetryBound(0.0, 0.0, 10.0)
ONE_RETRY = RetryBound(0.0, 1.2, 10.0)


def with_ledger(context: Any, bound: RetryBound) -> RetryLedger:
    ledger = RetryLedger(bound)
    context.retry_ledger = lambda service: ledger
    context.borrow = lambda service, ledger: None
    context.without = frozenset()
    context.metrics = SimpleNamespace(count=lambda name: None)
    return ledger


def failing_send(*_: Any) -> None:
    raise BackendError("sending failed", step="receive", peer="s")


def test_a_send_that_failed_midway_counts_as_the_first(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet, server = listed()
    context, connections = relaying(monkeypatch, fleet)
    with_ledger(context, NO_RETRIES)
    call = a_call(2)
    attempts = Attempts(call)
    connections.on_open = lambda: None
    monkeypatch.setattr(connections, "sent", SimpleNamespace(append=failing_send))
    with pytest.raises(BackendError):
        send(context, call, attempts, server, None, None)
    assert attempts.sent
    assert attempts.used_servers == [server]
    assert not attempts.hold_retry(context)


def test_a_retry_is_charged_when_its_bytes_leave(clock: Clock, monkeypatch: pytest.MonkeyPatch) -> None:
    fleet, server = listed()
    context, connections = relaying(monkeypatch, fleet)
    ledger = with_ledger(context, ONE_RETRY)
    call = a_call(2)
    attempts = Attempts(call)
    send(context, call, attempts, server, None, None)
    assert attempts.hold_retry(context)
    assert not ledger.available()
    # The server does not accept it: nothing leaves, and the retry is left.
    connections.on_open = lambda: fleet.announce_leaving(server, "its answer")
    with pytest.raises(BackendUnwilling):
        send(context, call, attempts, server, None, None)
    attempts.release_retry()
    assert ledger.available()
    assert len(connections.sent) == 1


def test_a_retry_that_is_not_held_is_not_sent(clock: Clock, monkeypatch: pytest.MonkeyPatch) -> None:
    fleet, server = listed()
    context, connections = relaying(monkeypatch, fleet)
    with_ledger(context, ONE_RETRY)
    call = a_call(2)
    attempts = Attempts(call)
    send(context, call, attempts, server, None, None)
    with pytest.raises(BackendUnwilling):
        send(context, call, attempts, server, None, None)
    assert attempts.hold_retry(context)
    send(context, call, attempts, server, None, None)
    assert attempts.charged_to is ChargeSource.PART
    assert len(connections.sent) == 2


@pytest.mark.parametrize("sent", [True, False])
def test_a_daemon_is_told_whether_another_one_sent_the_call(
    monkeypatch: pytest.MonkeyPatch, sent: bool
) -> None:
    first = refusal("isolated")
    first.sent = sent
    peers = Peers(monkeypatch, d1=first, d2=None)
    peers.forwarding.in_flight["d2"] = 1  # type: ignore[index]
    told: list[bool] = []
    monkeypatch.setattr(forwarding, "_send", lambda *arguments: told.append(arguments[-1]))
    forward_call(peers.forwarding, make_call(), [], None)
    assert peers.offered == ["d1", "d2"]
    assert told == [False, sent]


def test_a_call_that_no_daemon_accepts_may_have_reached_a_server(monkeypatch: pytest.MonkeyPatch) -> None:
    first = refusal("isolated")
    first.sent = True
    peers = Peers(monkeypatch, d1=first)
    with pytest.raises(Isolated) as raised:
        forward_call(peers.forwarding, make_call(), [], None)
    assert raised.value.sent


@pytest.mark.parametrize("forwarded", [True, False])
def test_a_request_earns_credit_at_the_daemon_that_its_caller_reached(forwarded: bool) -> None:
    counted: list[str] = []
    context: Any = SimpleNamespace(fleet=SimpleNamespace(servers={}), note_request=counted.append)
    call = a_call(2)
    call.forwarded = call.sent_before = forwarded
    with pytest.raises(BaygladeError) as raised, attempts_at(context, call) as attempts:
        assert attempts.sent is forwarded
        raise BaygladeError("it failed", step="test")
    assert raised.value.sent is forwarded
    assert counted == ([] if forwarded else [call.service])
