"""Calls forwarded to other daemons: which daemon gets them, and what its refusals and silence mean."""

import random
from types import SimpleNamespace
from typing import Any

import pytest

from bayglade import forwarding
from bayglade.clock import now
from bayglade.entries.forwards import ForwardedCall, decode_forwarded, encode_forwarded
from bayglade.exceptions import (
    BackendSilent,
    BackendUnreachable,
    Isolated,
    Outcome,
    PeerError,
    PeerRefused,
)
from bayglade.forwarding import (
    KEEP_SECONDS,
    MAX_DAEMONS,
    RANDOM_DAEMONS,
    ForwardedExchange,
    Forwarding,
    forward_call,
)
from bayglade.ids import BackendId, MemberId, RequestId, Revision, ServiceName
from bayglade.metrics import Metrics
from tests.forwarding_site import simulate

SERVICE = ServiceName("model")
SECRET = b"secret"
TOLD = ForwardedCall(MemberId("d0"), RequestId("r"), 3.5, Revision(7), [BackendId("i-1")], 4)


class Peers:
    """Other daemons, with what each does with a call."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, **outcomes: Any) -> None:
        self.outcomes = outcomes
        self.offered: list[str] = []
        self.forwarding = Forwarding(
            MemberId("d0"),
            lambda service: True,
            lambda: {MemberId(name): "10.0.0.1:1" for name in outcomes},
            lambda: SECRET,
            lambda: 0,
            lambda message: None,
            Metrics(None),
            random.Random(1),
        )
        monkeypatch.setattr(forwarding, "_open", self._open)
        monkeypatch.setattr(forwarding, "_send", lambda *_: None)

    def forward(self) -> str:
        """Forward a call; return the daemon that accepted it."""
        exchange, _ = forward_call(self.forwarding, make_call(), [], None)
        return exchange.member

    def _open(self, sender: Forwarding, member: MemberId, call: Any) -> Any:
        self.offered.append(member)
        outcome = self.outcomes[member]
        if isinstance(outcome, BackendUnreachable):
            raise outcome

        def read_head() -> None:
            if outcome is not None:
                raise outcome

        return SimpleNamespace(member=member, read_head=read_head, close=lambda: None)


def make_call(at_most_once: bool = False) -> Any:
    return SimpleNamespace(
        service=SERVICE,
        head=SimpleNamespace(id=RequestId("r")),
        seconds_left=lambda: 5.0,
        at_most_once=at_most_once,
        must_forward=False,
        deadline=float("inf"),
    )


def refusal(code: str, outcome: Outcome = Outcome.NOT_RUN) -> PeerRefused:
    return PeerRefused("no", code=code, status=503, peer="p", retry_after=0.5, outcome=outcome)


@pytest.mark.parametrize("code", ["isolated", "stopping", "cut_off", "settings_behind", "peer_error"])
def test_a_refusal_for_a_daemons_own_state_leads_to_another(
    monkeypatch: pytest.MonkeyPatch, code: str
) -> None:
    peers = Peers(monkeypatch, d1=refusal(code), d2=refusal(code), d3=None)
    assert peers.forward() == "d3"
    assert [peers.forward() for _ in range(5)] == ["d3"] * 5


@pytest.mark.parametrize("code", ["overloaded", "request_stopped", "unauthenticated", "not_found"])
def test_a_refusal_that_holds_everywhere_is_passed_on(monkeypatch: pytest.MonkeyPatch, code: str) -> None:
    peers = Peers(monkeypatch, d1=refusal(code), d2=refusal(code))
    with pytest.raises(PeerRefused) as caught:
        peers.forward()
    assert (caught.value.code, caught.value.status, caught.value.retry_after) == (code, 503, 0.5)
    assert len(peers.offered) == 1


def test_a_call_that_may_have_run_is_not_offered_to_a_third_daemon(monkeypatch: pytest.MonkeyPatch) -> None:
    peers = Peers(monkeypatch, d1=refusal("isolated", Outcome.UNKNOWN), d2=None)
    peers.forwarding.in_flight[MemberId("d2")] = 1
    with pytest.raises(PeerRefused):
        peers.forward()
    assert peers.offered == ["d1"]


def test_a_daemon_that_cannot_be_reached_is_passed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    peers = Peers(monkeypatch, d1=BackendUnreachable("no", step="connect", peer="d1"), d2=None)
    assert [peers.forward() for _ in range(20)] == ["d2"] * 20
    assert peers.offered.count("d1") <= 1


def test_a_daemon_that_says_it_is_isolated_is_not_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    peers = Peers(monkeypatch, d1=refusal("isolated"), d2=None)
    peers.forwarding.isolated_peers[MemberId("d1")] = {SERVICE}
    assert [peers.forward() for _ in range(5)] == ["d2"] * 5
    assert "d1" not in peers.offered


def test_a_daemon_that_accepted_a_call_is_preferred_after_some_refusals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    peers = Peers(monkeypatch, **{f"d{n}": refusal("isolated") for n in range(1, 60)}, d60=None)
    peers.forwarding.accepted_at[MemberId("d60")] = now()
    assert peers.forward() == "d60"
    assert len(peers.offered) <= RANDOM_DAEMONS + 1


def test_a_forwarded_call_is_not_forwarded_again(monkeypatch: pytest.MonkeyPatch) -> None:
    peers, call = Peers(monkeypatch, d1=None), make_call()
    call.forwarded = False
    assert peers.forwarding.is_needed(call)
    call.forwarded = True
    assert not peers.forwarding.is_needed(call)


def test_the_connection_of_a_finished_call_is_kept_for_the_next(monkeypatch: pytest.MonkeyPatch) -> None:
    peers, kept = Peers(monkeypatch, d1=None), []
    connection: Any = SimpleNamespace(close=kept.append)
    exchange = ForwardedExchange(peers.forwarding, MemberId("d1"), connection, make_call())
    assert peers.forwarding.in_flight[MemberId("d1")] == 1
    exchange.close()
    assert kept == [KEEP_SECONDS]
    assert peers.forwarding.in_flight[MemberId("d1")] == 0


def test_a_call_that_no_daemon_accepts_was_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    peers = Peers(monkeypatch, **{f"d{n}": refusal("isolated") for n in range(1, 40)})
    with pytest.raises(Isolated) as caught:
        peers.forward()
    assert caught.value.outcome is Outcome.NOT_RUN
    assert caught.value.retry_after is not None
    assert len(peers.offered) == MAX_DAEMONS


@pytest.mark.parametrize(("at_most_once", "permitted"), [(True, True), (True, False), (False, True)])
def test_a_call_is_given_up_for_silence_only_if_it_has_not_run_or_may_be_repeated(
    monkeypatch: pytest.MonkeyPatch, at_most_once: bool, permitted: bool
) -> None:
    peers = Peers(monkeypatch, d1=None)
    monkeypatch.setattr(peers.forwarding.pool, "probe", lambda backend, address: False)
    exchange = ForwardedExchange(
        peers.forwarding,
        MemberId("d1"),
        None,  # type: ignore[arg-type]
        make_call(at_most_once),
    )
    exchange.permitted = permitted
    if at_most_once and permitted:
        exchange._check_silence(None)
    else:
        with pytest.raises(BackendSilent):
            exchange._check_silence(None)


def test_the_header_of_a_forwarded_call_is_read_back() -> None:
    assert decode_forwarded(encode_forwarded(TOLD, SECRET), SECRET) == TOLD


@pytest.mark.parametrize(
    "text",
    [
        "",
        "?",
        "AAAA",
        "A" * 5000,
        encode_forwarded(TOLD, b"another secret"),
        encode_forwarded(TOLD, SECRET)[:-4] + "AAAA",
    ],
    ids=["empty", "not base64", "short", "large", "another secret", "changed"],
)
def test_a_header_that_no_daemon_sealed_is_rejected_as_not_run(text: str) -> None:
    with pytest.raises(PeerError) as caught:
        decode_forwarded(text, SECRET)
    assert caught.value.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(("daemons", "isolated"), [(81, 27), (195, 175), (440, 40)])
def test_calls_of_isolated_daemons_are_served_at_size(daemons: int, isolated: int) -> None:
    result = simulate(daemons, isolated, seconds=1.5)
    assert result.served_late >= 2 / 3
    assert result.offers < MAX_DAEMONS / 2
