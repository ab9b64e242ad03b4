"""Pauses and leaving notices of servers: how long they hold, what ends them, and what they affect."""

import random
from types import SimpleNamespace
from typing import Any

import pytest

from bayglade import fleet as fleet_module
from bayglade import paths as paths_module
from bayglade import sending
from bayglade.calls import AnswerHead
from bayglade.entries.wire import Findings
from bayglade.exceptions import BackendRefused, BackendUnwilling, Outcome
from bayglade.fleet import Fleet
from bayglade.http1 import Message
from bayglade.ids import BackendId, Incarnation, MemberId, ServerKey
from bayglade.quarantine import Quarantine
from bayglade.relay import Attempts
from bayglade.sending import check_may_send, read_answer_head, send
from bayglade.servers import Server
from bayglade.spreading import Spreading
from bayglade.tombstones import MAX_TOMBSTONES
from tests.server_rows import BORN, facts_of
from tests.test_diagnosis import make_diagnosis
from tests.test_paths import SERVICE, Site
from tests.test_relay import a_call

ID = BackendId("s")
REST = 3.0


class Clock:
    """The clock of the modules under test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.at = 100.0
        for module in (fleet_module, paths_module, sending):
            monkeypatch.setattr(module, "now", lambda: self.at)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


def listed() -> tuple[Fleet, Server]:
    fleet = Fleet()
    fleet.apply_changes([facts_of()], [], outage=False)
    return fleet, fleet.servers[ID]


@pytest.mark.parametrize(("then", "ends"), [(1.0, REST), (10.0, 11.0)])
def test_a_later_pause_extends_an_earlier_one_and_never_shortens_it(
    clock: Clock, then: float, ends: float
) -> None:
    fleet, server = listed()
    fleet.set_rest(server, REST)
    clock.at += 1.0
    fleet.set_rest(server, then)
    assert server.rest_until == 100.0 + ends


def test_a_paused_server_is_healthy(clock: Clock) -> None:
    fleet, server = listed()
    changed = fleet.change_count
    fleet.set_rest(server, REST)
    assert not server.usable(clock.at)
    assert server.healthy(clock.at)
    assert server.counts_for_layout(clock.at)
    assert not server.has_ended(clock.at)
    assert fleet.change_count == changed
    assert fleet.usable(server.facts.service) == []
    assert fleet.seconds_until_available(server.facts.service) == REST
    clock.at += REST
    assert server.usable(clock.at)
    assert fleet.seconds_until_available(server.facts.service) is None


def test_paused_servers_do_not_keep_others_from_being_suspect(clock: Clock) -> None:
    fleet = Fleet()
    fleet.apply_changes([facts_of(f"s{n}") for n in range(4)], [], outage=False)
    first, second, third, _ = fleet.servers.values()
    fleet.set_rest(first, REST)
    fleet.set_rest(second, REST)
    assert fleet.mark_suspect(third, "silent")


@pytest.mark.parametrize("outage", [False, True])
@pytest.mark.parametrize("state", ["ready", "draining"])
def test_notices_of_a_server_outlast_its_row(clock: Clock, outage: bool, state: str) -> None:
    fleet, server = listed()
    fleet.set_rest(server, REST)
    fleet.announce_leaving(server, "its answer")
    fleet.apply_changes([facts_of(seq=2, state=state)], [], outage=False)
    assert (server.leaving, server.rest_until) == (True, 100.0 + REST)
    fleet.apply_changes([], [ID], outage)
    fleet.drop_lapsed()
    fleet.apply_changes([facts_of(seq=3, state=state)], [], outage=False)
    again = fleet.servers[ID]
    assert again is not server
    assert (again.leaving, again.rest_until) == (True, 100.0 + REST)


def test_a_restart_ends_the_notices_of_a_server(clock: Clock) -> None:
    fleet, server = listed()
    fleet.set_rest(server, 3600.0)
    fleet.announce_leaving(server, "its answer")
    fleet.apply_changes([facts_of(born=BORN + 1)], [], outage=False)
    again = fleet.servers[ID]
    assert again.usable(clock.at)
    # A notice of the earlier incarnation does not apply to this one.
    fleet.set_rest(server, REST)
    assert again.usable(clock.at)


def test_the_number_of_kept_notices_is_bounded(clock: Clock) -> None:
    fleet = Fleet()
    for number in range(MAX_TOMBSTONES + 10):
        backend = BackendId(f"s{number}")
        fleet.apply_changes([facts_of(backend)], [], outage=False)
        fleet.set_rest(fleet.servers[backend], REST)
        fleet.apply_changes([], [backend], outage=False)
    assert len(fleet.tombstones.by_incarnation) == MAX_TOMBSTONES


class Connections:
    """Connections to servers, and a hook that runs while one is opened."""

    def __init__(self) -> None:
        self.on_open: Any = lambda: None
        self.sent: list[bytes] = []

    def open(self, *_: Any) -> Any:
        self.on_open()
        sock = SimpleNamespace(close=lambda: None)
        return SimpleNamespace(
            send=lambda head, body, until: self.sent.append(head + body),
            connection=SimpleNamespace(sock=sock),
        )


def relaying(monkeypatch: pytest.MonkeyPatch, fleet: Fleet) -> tuple[Any, Connections]:
    connections = Connections()
    monkeypatch.setattr(sending, "open_exchange", connections.open)
    context = SimpleNamespace(
        fleet=fleet,
        check_authorization=lambda call: None,
        quarantine=Quarantine(b"key", random.Random(1)),
        pool=None,
        dialect=SimpleNamespace(request_headers=lambda call, sending: []),
    )
    return context, connections


@pytest.mark.parametrize("word", ["rest", "leaving"])
@pytest.mark.parametrize("when", ["before", "while a connection is opened"])
def test_nothing_is_sent_after_a_server_announced_that_it_accepts_nothing(
    clock: Clock, monkeypatch: pytest.MonkeyPatch, word: str, when: str
) -> None:
    fleet, server = listed()
    context, connections = relaying(monkeypatch, fleet)
    call = a_call(2)

    def announce() -> None:
        if word == "rest":
            fleet.set_rest(server, REST)
        else:
            fleet.announce_leaving(server, "its answer")

    if when == "before":
        announce()
    else:
        connections.on_open = announce
    with pytest.raises(BackendUnwilling) as raised:
        send(context, call, Attempts(call), server, None, None)
    assert connections.sent == []
    assert raised.value.outcome is Outcome.NOT_RUN
    attempts = Attempts(call)
    assert attempts.note_failure(raised.value)
    assert (attempts.send_count, attempts.unreachable_count, attempts.may_have_run) == (0, 0, False)


def test_a_server_gets_requests_again_at_the_end_of_its_pause(
    clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet, server = listed()
    context, connections = relaying(monkeypatch, fleet)
    fleet.set_rest(server, REST)
    clock.at += REST
    call = a_call(2)
    send(context, call, Attempts(call), server, None, None)
    assert len(connections.sent) == 1


def answered(head: AnswerHead, status: int, fleet: Fleet, server: Server) -> None:
    message = Message()
    message.status = status
    exchange: Any = SimpleNamespace(
        backend=server.facts.id, sent_at=0.0, read_head=lambda until, is_own: message
    )
    context: Any = SimpleNamespace(fleet=fleet, dialect=SimpleNamespace(read_answer=lambda message: head))
    read_answer_head(context, a_call(2), server, exchange, 0.0)


@pytest.mark.parametrize("instance", [None, ID])
def test_a_rejection_says_how_long_to_wait(clock: Clock, instance: str | None) -> None:
    fleet, server = listed()
    head = AnswerHead(request="q", authentic=False, not_run=True, instance_id=instance, rest_seconds=REST)
    with pytest.raises(BackendRefused) as raised:
        answered(head, 503, fleet, server)
    assert raised.value.rest_seconds == REST
    assert server.rest_until == 100.0 + REST


def test_an_answer_of_another_server_does_not_apply_to_this_one(clock: Clock) -> None:
    fleet, server = listed()
    head = AnswerHead(
        request="q", authentic=False, not_run=True, instance_id="other", leaving=True, rest_seconds=REST
    )
    with pytest.raises(BackendRefused):
        answered(head, 421, fleet, server)
    assert server.usable(clock.at)


def test_any_complete_answer_may_announce_that_the_server_leaves(clock: Clock) -> None:
    fleet, server = listed()
    answered(AnswerHead(request="q", authentic=True, not_run=False, leaving=True), 200, fleet, server)
    assert server.leaving
    with pytest.raises(BackendUnwilling):
        context: Any = SimpleNamespace(
            check_authorization=lambda call: None, quarantine=Quarantine(b"key", random.Random(1))
        )
        check_may_send(context, a_call(2), server)


def test_a_path_excludes_paused_stages_but_a_running_stream_stays_on_them(clock: Clock) -> None:
    site = Site("a", a={"big": 4, "middle": 9, "small": 14})
    path = site.serve()
    resting, dead = path.servers[1], path.servers[2]
    site.fleet.set_rest(resting, REST)
    chosen = [site.serve() for _ in range(30)]
    assert all(resting not in other.servers for other in chosen)
    detour = site.paths.detour(path, SERVICE, site.model, frozenset({dead.facts.id}))
    assert detour is not None
    assert resting in detour.servers
    assert dead not in detour.servers
    # A stream that is not on the paused stage is not moved to it.
    for other in chosen:
        moved = site.paths.detour(other, SERVICE, site.model, frozenset({other.servers[1].facts.id}))
        assert moved is None or resting not in moved.servers


def test_the_end_of_pauses_depends_on_the_servers_that_are_needed(clock: Clock) -> None:
    site = Site("a", a={"big": 4, "middle": 9, "small": 14})
    first_stages = [s for s in site.fleet.of_service(SERVICE) if s.facts.layer_count and s.facts.first == 0]
    assert len(first_stages) > 1
    for number, server in enumerate(first_stages):
        site.fleet.set_rest(server, REST + number)
    assert site.choose() is None
    assert site.paths.seconds_until_covered(SERVICE, site.model) == REST
    last = first_stages[-1].facts.id
    assert (
        site.paths.seconds_until_covered(SERVICE, site.model, first_stages=frozenset({last}))
        == REST + len(first_stages) - 1
    )
    assert (
        site.paths.seconds_until_covered(
            SERVICE, site.model, excluded=frozenset({last}), first_stages=frozenset({last})
        )
        is None
    )
    clock.at += REST
    assert site.paths.seconds_until_covered(SERVICE, site.model) == 0.0


def daemons(count: int) -> tuple[dict[MemberId, Spreading], list[tuple[MemberId, MemberId, Findings]]]:
    """Create connected daemons, and the list of messages in transit between them."""
    names = [MemberId(f"d{number}") for number in range(count)]
    made: dict[MemberId, Spreading] = {}
    on_way: list[tuple[MemberId, MemberId, Findings]] = []
    for name in names:
        diagnosis, _, _ = make_diagnosis(set())
        made[name] = Spreading(
            name,
            diagnosis.fleet,
            diagnosis,
            lambda found, but, me=name: on_way.extend(  # type: ignore[misc]
                (me, other, found) for other in names if other not in (me, but)
            ),
            lambda: True,
            lambda: count,
            random.Random(1),
            Quarantine(b"key", random.Random(1)),
        )
    return made, on_way


@pytest.mark.parametrize("seed", range(5))
def test_notice_of_a_leaving_server_reaches_all_daemons_and_then_stops(seed: int) -> None:
    rng = random.Random(seed)
    made, on_way = daemons(9)
    # Several daemons learn it from the server at the same time.
    for name in list(made)[:3]:
        spreading = made[name]
        spreading.fleet.announce_leaving(spreading.fleet.servers[BackendId("s1")], "its answer")
    told = 0
    while on_way and told < 1000:
        sender, to, found = on_way.pop(rng.randrange(len(on_way)))
        made[to].merge_findings(sender, found)
        told += 1
    assert all(spreading.fleet.servers[BackendId("s1")].leaving for spreading in made.values())
    # Each daemon tells every other one at most once.
    assert told <= 9 * 8


def test_a_notice_of_another_incarnation_is_ignored() -> None:
    made, on_way = daemons(2)
    one = made[MemberId("d0")]
    earlier = ServerKey(BackendId("s1"), Incarnation(-5))
    one.merge_findings(MemberId("d1"), Findings(leaving=[earlier]))
    assert not one.fleet.servers[BackendId("s1")].leaving
    assert on_way == []
