"""A sound server that falls silent for a second and goes on has not ended."""

import time
from collections.abc import Iterator

import pytest

from bayglade import servers
from bayglade.ids import BackendId, HallName, ServiceName
from bayglade.servers import Server, ServerFacts
from soak.proxy import Proxies
from standins.users import EVENTS, MODEL, PLAIN, Daemon, Replica, UsersSite
from standins.world import wait_for
from tests.gateway_callers import ask
from tests.test_partitioned_daemons import Stream, is_served

SILENT_SECONDS = 1.2


@pytest.fixture
def proxies() -> Iterator[Proxies]:
    made = Proxies()
    yield made
    made.stop()


@pytest.fixture
def site(proxies: Proxies) -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=6, plain=3, front=proxies.front) as made:
        yield made


def started(site: UsersSite) -> Daemon:
    daemon = site.start(key_trust_ms=60_000)
    site.wait_placed()
    for path in ("/stream/x", "/safe/x"):
        wait_for("it serves", lambda path=path: is_served(ask(daemon.callers, path)))
    return daemon


def silence(proxies: Proxies, replicas: list[Replica], silent: bool) -> None:
    for replica in replicas:
        link = proxies.links[replica.listens_at]
        link.mute_up = link.mute_down = silent


def test_a_call_that_must_not_be_repeated_is_answered_after_a_silence(
    site: UsersSite, proxies: Proxies
) -> None:
    daemon = started(site)
    silence(proxies, site.of(PLAIN), True)
    call = Stream(daemon, "/once/x")
    time.sleep(SILENT_SECONDS)
    silence(proxies, site.of(PLAIN), False)
    assert is_served(call.result())
    assert site.runs(call.request) == 1


def test_a_stream_survives_the_silence_of_its_first_stage(site: UsersSite, proxies: Proxies) -> None:
    daemon = started(site)
    stream = Stream(daemon)
    first = wait_for(
        "it has begun", lambda: next((r for r in site.of(MODEL) if r.ran[stream.request]), None)
    )
    silence(proxies, [first], True)
    time.sleep(SILENT_SECONDS)
    silence(proxies, [first], False)
    answer = stream.result()
    assert answer.whole
    assert answer.events == list(range(1, EVENTS + 1))
    assert not daemon.lines("service isolated")


def test_a_server_that_was_silent_for_a_second_counts_towards_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(servers, "now", lambda: 100.0)
    facts = ServerFacts(
        id=BackendId("i-1"),
        service=ServiceName("model"),
        address="10.0.0.1:1",
        hall=HallName("h"),
        slots=8,
        last=4,
    )
    server = Server(facts)
    server.suspect, server.suspect_since = True, 100.0
    assert server.counts_as_used(100.0 + SILENT_SECONDS)
    assert not server.counts_as_used(103.0)
