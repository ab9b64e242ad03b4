"""Daemons partitioned from all backend servers, while callers and other daemons still reach them."""

import itertools
import socket
import time

import pytest

from standins.users import EVENTS, PLAIN, Daemon, Partition, UsersSite
from standins.users.daemon import is_complete
from standins.world import wait_for
from tests.gateway_callers import Answer, ask, read_answer, request_bytes

_numbers = itertools.count(1)
CUTS = [Partition.SILENT, Partition.RESET, Partition.REFUSED]
CONTACT_SECONDS = 3.0
"""From this long after a cut, callers have to be served at the first try (the users' ``contactMs``)."""


@pytest.fixture
def site(partitionable_site: UsersSite) -> UsersSite:
    return partitionable_site


def start_daemons(site: UsersSite, count: int) -> list[Daemon]:
    daemons = [site.start(f"hall-{n % 2}", key_trust_ms=60_000, retry_floor=1000.0) for n in range(count)]
    site.wait_placed()
    for daemon in daemons:
        wait_for(
            "it knows the others",
            lambda daemon=daemon: len(daemon.beliefs()["members"]) == count - 1,
        )
        for path in ("/stream/x", "/safe/x"):
            wait_for("it serves", lambda daemon=daemon, path=path: is_served(ask(daemon.callers, path)))
    return daemons


def is_served(answer: Answer) -> bool:
    return answer.status == 200 and answer.whole


def first_tries(daemon: Daemon, seconds: float) -> list[Answer]:
    """Send requests of all kinds, one after the other and each once."""
    answers, until = [], time.monotonic() + seconds
    while time.monotonic() < until:
        answers += [ask(daemon.callers, path) for path in ("/stream/x", "/safe/x", "/once/x")]
    return answers


class Stream:
    """A request in progress on a connection of its own."""

    def __init__(self, daemon: Daemon, path: str = "/stream/x") -> None:
        self.request = f"stream-{next(_numbers)}"
        host, _, port = daemon.callers.partition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=10.0)
        self.sock.sendall(request_bytes(path, self.request))

    def result(self) -> Answer:
        """Read the rest of the answer."""
        data = b""
        while not is_complete(data) and (piece := self.sock.recv(65536)):
            data += piece
        self.sock.close()
        return read_answer(self.request, data)

    def leave(self) -> None:
        self.sock.close()


@pytest.mark.parametrize("cut", CUTS, ids=lambda cut: cut.value)
@pytest.mark.parametrize(("count", "cut_off"), [(3, 1), (3, 2)])
def test_a_daemon_partitioned_from_all_servers_serves_first_tries(
    site: UsersSite, cut: Partition, count: int, cut_off: int
) -> None:
    daemons = start_daemons(site, count)
    for daemon in daemons[:cut_off]:
        daemon.partition(cut)
    first_tries(daemons[0], CONTACT_SECONDS)
    for daemon in daemons:
        answers = first_tries(daemon, 1.0)
        assert [answer for answer in answers if not is_served(answer)] == []
        assert all(site.runs(answer.request) == 1 for answer in answers)


def forwards(daemon: Daemon) -> int:
    return len(daemon.lines("forwarded"))


def wait_isolated(daemon: Daemon) -> None:
    """Wait until a daemon knows that it reaches no server; its requests show it."""
    services = 2

    def isolated() -> bool:
        first_tries(daemon, 0.1)
        return len(daemon.lines("service isolated")) >= services

    wait_for("it knows that it is isolated", isolated)


def isolate(daemon: Daemon, cut: Partition = Partition.RESET) -> None:
    """Cut a daemon off from all servers, and wait until it knows."""
    daemon.partition(cut)
    wait_isolated(daemon)


def test_one_daemon_with_links_serves_the_callers_of_all(site: UsersSite) -> None:
    daemons = start_daemons(site, 4)
    for daemon in daemons[1:]:
        daemon.partition(Partition.SILENT)
    for daemon in daemons[1:]:
        wait_isolated(daemon)
    answers = [answer for daemon in daemons for answer in first_tries(daemon, 0.5)]
    assert all(is_served(answer) for answer in answers)
    assert all(site.runs(answer.request) == 1 for answer in answers)


@pytest.mark.parametrize("cut", [Partition.SILENT, Partition.RESET], ids=lambda cut: cut.value)
def test_a_begun_stream_of_a_partitioned_daemon_goes_on(site: UsersSite, cut: Partition) -> None:
    daemons = start_daemons(site, 2)
    stream = Stream(daemons[0])
    wait_for("it has begun", lambda: site.runs(stream.request))
    daemons[0].partition(cut)
    answer = stream.result()
    assert answer.whole
    assert answer.events == list(range(1, EVENTS + 1))


def test_a_stream_goes_on_when_the_daemon_that_relays_it_is_killed(site: UsersSite) -> None:
    daemons = start_daemons(site, 3)
    isolate(daemons[0])
    stream = Stream(daemons[0])
    wait_for("it has begun", lambda: site.runs(stream.request))
    # The line is written after the call was sent, and the server may count the run before that.
    helper = wait_for(
        "the daemon logs where it was forwarded",
        lambda: [
            line["peer"] for line in daemons[0].lines("forwarded") if line["request"] == stream.request
        ],
    )[0]
    next(daemon for daemon in daemons if daemon.settings["member"] == helper).stop()
    answer = stream.result()
    assert answer.whole
    assert answer.events == list(range(1, EVENTS + 1))


def test_a_call_that_must_not_be_repeated_runs_once_when_its_relaying_daemon_is_killed(
    site: UsersSite,
) -> None:
    daemons = start_daemons(site, 3)
    isolate(daemons[0])
    for server in site.of(PLAIN):
        server.faults.set("mute")
    call = Stream(daemons[0], "/once/x")
    wait_for("it runs", lambda: site.runs(call.request))
    for daemon in daemons[1:]:
        daemon.stop()
    assert call.result().status in (502, 504)
    assert site.runs(call.request) == 1


def test_a_partitioned_daemon_uses_its_own_links_again_once_they_are_back(site: UsersSite) -> None:
    daemons = start_daemons(site, 2)
    isolate(daemons[0], Partition.SILENT)
    daemons[0].partition(Partition.NONE)
    wait_for("its links are back", lambda: len(daemons[0].lines("service reached again")) >= 2)
    before = forwards(daemons[0])
    assert all(is_served(answer) for answer in first_tries(daemons[0], 0.5))
    assert forwards(daemons[0]) == before


def test_no_call_is_forwarded_while_nobody_is_cut_off(site: UsersSite) -> None:
    daemons = start_daemons(site, 3)
    first_tries(daemons[0], 1.0)
    assert not any(daemon.lines("forwarded") or daemon.lines("service isolated") for daemon in daemons)


def test_requests_are_refused_at_once_when_all_daemons_are_partitioned(site: UsersSite) -> None:
    daemons = start_daemons(site, 2)
    for daemon in daemons:
        daemon.partition(Partition.RESET)
    for daemon in daemons:
        wait_isolated(daemon)
    wait_for("it withdraws", lambda: not daemons[0].is_ready())
    since = time.monotonic()
    answer = ask(daemons[0].callers, "/stream/x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert time.monotonic() - since < 0.3
    assert site.runs(answer.request) == 0


def test_servers_learn_that_the_caller_of_a_forwarded_stream_has_left(site: UsersSite) -> None:
    daemons = start_daemons(site, 2)
    isolate(daemons[0])
    stream = Stream(daemons[0])
    wait_for("it has begun", lambda: site.runs(stream.request))
    stream.leave()
    wait_for(
        "both daemons know",
        lambda: all(
            stream.request in [line["request"] for line in daemon.lines("caller left")]
            for daemon in daemons
        ),
    )
    accepted, left = (daemons[1].lines(name)[-1]["steady"] for name in ("forward accepted", "caller left"))
    assert left - accepted < 1.0


def test_a_caller_cannot_send_a_forwarded_call(site: UsersSite) -> None:
    daemon = start_daemons(site, 1)[0]
    port = daemon.settings["peer_ports"].partition(",")[2]
    answer = ask(f"127.0.0.1:{port}", "/stream/x", Bayglade_Forwarded="AAAA")
    assert answer.status == 500
    assert site.runs(answer.request) == 0
