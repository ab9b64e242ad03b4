"""Streams of plain services come event by event, and are resumed like those of a model."""

from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade.calls import Sending
from bayglade.ids import BackendId
from bayglade.platform.calls import request_headers
from standins.users import EVENTS, MODEL, PLAIN, Daemon, Partition, UsersSite
from standins.world import wait_for
from tests.gateway_callers import Answer, ask
from tests.test_partitioned_daemons import Stream

ALL = list(range(1, EVENTS + 1))
AFTER = 5
STREAMS = 12


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=0, plain=3, partitionable=True) as made:
        made.share_streams({PLAIN: 1.0})
        yield made


def start(site: UsersSite) -> Daemon:
    daemon = site.start(retry_floor=1000.0)
    wait_for("it may send retries", daemon.has_retry_part)
    wait_for("it serves", lambda: ask(daemon.callers, "/stream/x").events == ALL)
    return daemon


def is_in_order(answer: Answer) -> bool:
    return answer.status == 200 and answer.whole and answer.events == ALL


# The server did not get Last-Event-Id, and the caller got the whole stream once more.
def test_a_stream_taken_up_at_a_plain_service_goes_on_after_the_last_event(site: UsersSite) -> None:
    daemon = start(site)
    answer = ask(daemon.callers, "/stream/x", Last_Event_Id=str(AFTER))
    assert (answer.whole, answer.events) == (True, ALL[AFTER:])


def test_a_forwarded_stream_of_a_plain_service_goes_on_after_the_last_event(site: UsersSite) -> None:
    first, second = start(site), start(site)
    wait_for("it knows the other", lambda: first.beliefs()["members"])
    first.partition(Partition.RESET)
    wait_for("it is isolated", lambda: ask(first.callers, "/safe/x").whole and first.lines("forwarded"))
    answers = [ask(first.callers, "/stream/x", Last_Event_Id=str(after)) for after in (0, AFTER)]
    assert [answer.events for answer in answers] == [ALL, ALL[AFTER:]]
    assert second.lines("forward accepted")


# The answer was read to its end before its first event was passed on.
def test_the_first_event_of_a_plain_stream_comes_before_the_last_is_sent(site: UsersSite) -> None:
    for replica in site.replicas:
        replica.event_seconds = 0.2
    daemon = site.start()
    stream = Stream(daemon)
    data = b""
    while b"id: 2\n" not in data:
        data += stream.sock.recv(65536)
    assert sum(replica.events_sent[stream.request] for replica in site.replicas) < EVENTS
    stream.leave()


@pytest.mark.parametrize("fault", ["reset", "partial", "unframed_partial", "silent"])
def test_a_plain_stream_that_breaks_off_is_resumed_at_another_server(site: UsersSite, fault: str) -> None:
    # A stream that falls silent at one server after the other takes 2.4 s longer.
    site.configure(timeoutMs=12_000)
    daemon = start(site)
    for replica in site.replicas[:2]:
        replica.faults.set(fault, 1)
    answers = [ask(daemon.callers, "/stream/x", X_Deadline_Ms="12000") for _ in range(STREAMS)]
    assert [answer.events for answer in answers if not is_in_order(answer)] == []
    assert any(replica.faults.left[fault] == 0 for replica in site.replicas[:2])
    assert any(site.runs(answer.request) > 1 for answer in answers)


def test_a_plain_stream_that_may_not_be_resumed_is_cut_and_runs_once(site: UsersSite) -> None:
    site.configure(resumable=False)
    daemon = start(site)
    for replica in site.replicas:
        replica.faults.set("reset", 1)
    answers = [ask(daemon.callers, "/stream/x") for _ in range(STREAMS)]
    cut = [answer for answer in answers if not answer.whole]
    assert len(cut) == len(site.replicas)
    assert all(answer.events == ALL[: len(answer.events)] for answer in answers)
    assert all(site.runs(answer.request) == 1 for answer in answers)


# Sent again without a number to go on after, a stream would bring its first events once more.
def test_a_stream_whose_events_carry_no_numbers_is_not_repeated(site: UsersSite) -> None:
    daemon = start(site)
    for replica in site.replicas:
        replica.numbers_events = False
        replica.faults.set("reset", 1)
    answers = [ask(daemon.callers, "/stream/x") for _ in range(STREAMS)]
    assert sum(not answer.whole for answer in answers) == len(site.replicas)
    assert all(answer.body.count(b"data:") <= EVENTS for answer in answers)
    assert all(site.runs(answer.request) == 1 for answer in answers)


def test_a_stream_shared_by_a_model_and_a_plain_service_goes_on_at_either() -> None:
    with UsersSite(halls=1, stages=4, plain=2) as site:
        site.share_streams({MODEL: 1.0, PLAIN: 1.0})
        daemon = site.start()
        site.wait_placed()
        wait_for("streams are served", lambda: is_in_order(ask(daemon.callers, "/stream/x")))
        answers = [ask(daemon.callers, "/stream/x", Last_Event_Id=str(AFTER)) for _ in range(STREAMS)]
        assert [answer.events for answer in answers] == [ALL[AFTER:]] * STREAMS
        services = {replica.kind for replica in site.replicas for a in answers if replica.ran[a.request]}
        assert len(services) == 2


OWN = {"x-deadline-ms", "x-key", "x-tenant", "x-expect-instance", "path", "priority", "expect-version"}
"""Headers that the router sets itself, or that only it may set."""
NAMES = st.sampled_from(["Last-Event-Id", "last-event-id", "X-Model", "Accept", "X-Other", "Path"])
HEADERS = st.lists(st.tuples(NAMES, st.text("abc0123456789", min_size=1, max_size=6)), max_size=6)


# A caller's Last-Event-Id was dropped wherever the router set none of its own.
@given(headers=HEADERS, last_event=st.none() | st.integers(0, 99))
def test_a_server_gets_the_headers_of_the_caller_but_those_the_router_sets(
    headers: list[tuple[str, str]], last_event: int | None
) -> None:
    call: Any = SimpleNamespace(headers=headers, group=None)
    sending = Sending(backend=BackendId("i-1"), seconds=1.0, last_event=last_event)
    passed = request_headers(call, sending)
    names = [name.lower() for name, _ in passed]
    own = OWN if last_event is None else OWN | {"last-event-id"}
    assert [h for h in passed if h in headers and h[0].lower() not in own] == [
        h for h in headers if h[0].lower() not in own
    ]
    if last_event is not None:
        assert [value for name, value in passed if name.lower() == "last-event-id"] == [str(last_event)]
    assert "path" not in names
