"""Streams with neither a length nor chunks end with their connection.

One that ends inside an event was broken off: it is resumed elsewhere, and never looks complete.
"""

from collections.abc import Iterator

import pytest

from standins.users import EVENTS, MODEL, Daemon, UsersSite
from tests.gateway_callers import ask


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=2, stages=4) as made:
        yield made


@pytest.fixture
def daemon(site: UsersSite) -> Daemon:
    made = site.start("hall-0", retry_floor=100.0)
    site.wait_placed()
    return made


def test_a_stream_that_ends_with_its_connection_is_complete(site: UsersSite, daemon: Daemon) -> None:
    for replica in site.of(MODEL):
        replica.faults.set("unframed")
    for _ in range(5):
        answer = ask(daemon.callers, "/stream/x")
        assert (answer.status, answer.whole) == (200, True)
        assert answer.events == list(range(1, EVENTS + 1))
    assert site.wrong_paths == []


def test_a_stream_that_ends_inside_an_event_is_resumed(site: UsersSite, daemon: Daemon) -> None:
    incomplete = 0
    for _ in range(12):
        for replica in site.of(MODEL)[::2]:
            replica.faults.set("unframed_partial", 1)
        answer = ask(daemon.callers, "/stream/x")
        assert answer.events == list(range(1, len(answer.events) + 1))
        assert not answer.whole or len(answer.events) == EVENTS
        incomplete += not answer.whole
        for replica in site.of(MODEL):
            replica.faults.clear()
    assert incomplete == 0
    assert site.wrong_paths == []
