"""A daemon that learns of newer settings serves no call by older ones, and fetches them at once."""

import random
import socket
import threading
import time
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

import eventlet
import eventlet.green.socket
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import newer_settings, upstream
from bayglade.clients import create_internal_clients
from bayglade.entries.forwards import (
    PERMIT,
    PERMIT_STATUS,
    SERVER_HEADER,
    SETTINGS_HEADER,
    encode_permit,
)
from bayglade.exceptions import CutOff
from bayglade.forwarded_calls import obtain_permit
from bayglade.forwarding import ForwardedExchange, Forwarding
from bayglade.http1 import Message, answer_headers
from bayglade.ids import BackendId, MemberId, Revision
from bayglade.intake import Intake
from bayglade.listener import Connection, serve
from bayglade.metrics import Metrics
from bayglade.newer_settings import NewerSettings, serve_settings
from bayglade.platform import decode_document
from bayglade.readers import Ranking
from bayglade.settings import CallerLimits
from bayglade.sockets import ReadTurns
from soak.proxy import Proxies
from standins.users import MODEL, PLAIN, Partition, UsersSite
from standins.world import wait_for
from tests.gateway_callers import ask
from tests.test_keys_required import Scene as Settings

SECRET = b"secret"
TENANTS = [{"name": "clinic", "apiKeys": ["k"]}]


@pytest.fixture(autouse=True)
def green_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "socket", eventlet.green.socket)


class Peer:
    """Another daemon that provides its settings, after some seconds."""

    def __init__(self, secret: bytes = SECRET, seconds: float = 0.0) -> None:
        self.settings = Settings()
        self.asked = 0
        self.listening = eventlet.listen(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listening.getsockname())

        def handle(connection: Connection, message: Message) -> None:
            self.asked += 1
            eventlet.sleep(seconds)
            serve_settings(connection, message, secret, self.settings.intake)

        clients = create_internal_clients("forwarded", ReadTurns(), Metrics(None))
        self.task = eventlet.spawn(serve, self.listening, clients, CallerLimits, handle)


class Daemon:
    """A daemon with settings of its own, and others that may have newer ones."""

    def __init__(self, **peers: Peer) -> None:
        self.settings = Settings()
        self.intake = self.settings.intake
        self.intake.decode = decode_document
        self.forwarding = Forwarding(
            MemberId("d0"),
            lambda service: False,
            lambda: {MemberId(name): peer.address for name, peer in peers.items()},
            lambda: SECRET,
            self.intake.oldest_allowed,
            lambda message: None,
            Metrics(None),
            random.Random(1),
        )
        self.newer = NewerSettings(self.intake, self.forwarding, random.Random(1))
        self.forwarding.on_settings = self.newer.note


def configure(version: int, *settings: Settings) -> None:
    for each in settings:
        each.version = version - 1
        each.configure(TENANTS)


# A daemon used what forwarded answers told it of newer settings for later forwards alone.
def test_calls_are_read_by_the_settings_that_another_daemon_showed() -> None:
    peer = Peer()
    daemon = Daemon(d1=peer)
    configure(3, daemon.settings, peer.settings)
    configure(7, peer.settings)
    daemon.newer.note(Revision(7), MemberId("d1"))
    call = daemon.settings.call("k")
    assert (call.revision, call.must_forward, peer.asked) == (7, False, 1)


def test_the_settings_come_from_another_daemon_if_the_one_that_showed_them_is_gone() -> None:
    gone, peer = Peer(), Peer()
    gone.listening.close()
    daemon = Daemon(d1=gone, d2=peer)
    configure(3, daemon.settings, gone.settings)
    configure(7, peer.settings)
    daemon.newer.note(Revision(7), MemberId("d1"))
    assert daemon.settings.call("k").revision == 7


@pytest.mark.parametrize("peer", [lambda: Peer(seconds=0.7), lambda: Peer(secret=b"other")])
def test_calls_are_forwarded_while_the_newer_settings_do_not_come(peer: Callable[[], Peer]) -> None:
    made = peer()
    daemon = Daemon(d1=made)
    configure(3, daemon.settings)
    configure(7, made.settings)
    daemon.newer.note(Revision(7), MemberId("d1"))
    call = daemon.settings.call("k")
    assert call.must_forward
    assert daemon.forwarding.is_needed(call)
    with pytest.raises(CutOff):
        daemon.settings.call("unknown here, maybe known there")
    assert daemon.forwarding.revision() == 7


# Without a bound, one proof that nobody can meet would end all serving.
def test_settings_that_nobody_provides_are_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(newer_settings, "GIVE_UP_SECONDS", 0.1)
    daemon = Daemon(d1=Peer())
    configure(3, daemon.settings)
    daemon.newer.note(Revision(7), MemberId("d1"))
    wait_for("it gives up", lambda: eventlet.sleep(0.01) or not daemon.intake.is_behind())
    daemon.newer.note(Revision(7), MemberId("d1"))
    assert not daemon.settings.call("k").must_forward
    daemon.newer.note(Revision(8), MemberId("d1"))
    assert daemon.intake.is_behind()


def test_a_daemon_asks_once_for_settings_that_many_calls_show() -> None:
    peer = Peer(seconds=0.05)
    daemon = Daemon(d1=peer)
    configure(3, daemon.settings)
    configure(7, peer.settings)
    for _ in range(20):
        daemon.newer.note(Revision(7), MemberId("d1"))
        eventlet.sleep(0.001)
    assert daemon.settings.call("k").revision == 7
    assert peer.asked == 1


# The head of an answer comes seconds after the server saw the effect of newer settings.
def test_the_settings_are_shown_before_the_call_is_sent() -> None:
    near, far = (eventlet.greenio.GreenSocket(sock) for sock in socket.socketpair())
    call: Any = SimpleNamespace(revision=7, deadline=1e9, head=SimpleNamespace(id="r"))
    near.sendall(encode_permit(1.0))
    obtain_permit(SimpleNamespace(sock=far), call, BackendId("i-1"))  # type: ignore[arg-type]
    assert f"{SETTINGS_HEADER}: 7".encode() in near.recv(1000)

    daemon = Daemon()
    configure(3, daemon.settings)
    shown_before: list[int] = []
    sock = SimpleNamespace(sendall=lambda data: shown_before.append(daemon.intake.required))
    exchange: Any = SimpleNamespace(connection=SimpleNamespace(sock=sock))
    call = daemon.settings.call("k")
    forwarded = ForwardedExchange(daemon.forwarding, MemberId("d1"), exchange, call)
    interim = Message()
    interim.status = PERMIT_STATUS
    interim.headers = [(SERVER_HEADER, "i-1"), (SETTINGS_HEADER, "7")]
    forwarded._permit(interim)
    assert shown_before == [7]
    assert PERMIT.size == len(encode_permit(1.0))


def test_a_server_cannot_speak_for_a_daemon() -> None:
    told = [("Bayglade-Settings", "99"), ("bayglade-outcome", "x"), ("X-Other", "1")]
    assert answer_headers(told) == [("X-Other", "1")]


STEPS = st.lists(st.tuples(st.sampled_from(["shown", "applied", "waived"]), st.integers(1, 9)), max_size=12)


@given(steps=STEPS)
def test_no_call_is_served_by_settings_older_than_shown_ones(steps: list[tuple[str, int]]) -> None:
    settings = Settings()
    intake: Intake = settings.intake
    configure(1, settings)
    shown = waived = 0
    for step, revision in steps:
        if step == "shown":
            intake.require(Revision(revision))
            shown = max(shown, revision)
        elif step == "applied":
            configure(revision, settings)
        elif intake.is_behind():
            intake.waive()
            waived = shown
        intake.behind_since = -1e9
        call = settings.call("k")
        assert call.must_forward or call.revision >= shown or waived >= shown
        assert not (call.must_forward and call.revision >= shown)


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=4, plain=2, partitionable=True) as made:
        yield made


@pytest.mark.parametrize("fault", ["", "slow"])
def test_a_daemon_cut_off_from_the_store_and_one_service_does_not_undo_a_change(
    site: UsersSite, fault: str
) -> None:
    proxies = Proxies()
    try:
        store = site.store.server.address
        first = Ranking({MemberId(f"d{n}"): "hall-0" for n in range(3)}).ranked[0]  # type: ignore[dict-item]
        daemons = [
            site.start(store=proxies.front(store) if f"d{n}" == first else store, retry_floor=1000.0)
            for n in range(3)
        ]
        cut, other = daemons[int(first[1:])], daemons[int(first[1:]) - 1]
        site.wait_placed()
        wait_for("it reads the store", lambda: cut.beliefs()["duty"] == "site")
        for path in ("/stream/x", "/safe/x"):
            wait_for("it serves", lambda path=path: ask(cut.callers, path).status == 200)
        link = proxies.links[store]
        link.mute_up = link.mute_down = True
        cut.partition(Partition.RESET, [replica.address for replica in site.of(MODEL)])
        wait_for("it is isolated", lambda: ask(cut.callers, "/safe/x") and cut.lines("forwarded"))
        site.share_streams({PLAIN: 1.0})
        wait_for("another has them", lambda: other.beliefs()["settings"] == site.version)
        if fault:
            for replica in site.of(PLAIN):
                replica.faults.set(fault, 100)
        shown = threading.Thread(target=ask, args=(cut.callers, "/safe/x"))
        shown.start()
        if not fault:
            shown.join()
        time.sleep(0.25)
        answers = [ask(cut.callers, "/stream/x") for _ in range(4)]
        shown.join()
        assert [answer.status for answer in answers] == [200] * 4
        assert [a.request for a in answers if any(r.ran[a.request] for r in site.of(MODEL))] == []
    finally:
        proxies.stop()
