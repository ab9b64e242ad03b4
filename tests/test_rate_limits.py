"""Rate limits as daemons know them: which responses count, and how notices spread and end."""

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import fleet as fleet_module
from bayglade import quotas, rate_limits
from bayglade.entries.wire import LimitNotice
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, Incarnation, MemberId
from bayglade.quotas import choose_owner
from bayglade.rate_limits import ANNOUNCE_SECONDS
from bayglade.servers import Server
from tests.server_rows import BORN, facts_of

ID = BackendId("s")
SOURCE = "an answer"


class Clock:
    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.at = 100.0
        for module in (fleet_module, quotas, rate_limits):
            monkeypatch.setattr(module, "now", lambda: self.at)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


def listed(name: str = "d0") -> tuple[Fleet, Server, list[LimitNotice]]:
    fleet, announced = Fleet(), []
    fleet.apply_changes([facts_of()], [], outage=False)
    fleet.rate_limits.me = MemberId(name)
    fleet.rate_limits.on_update = announced.extend
    return fleet, fleet.servers[ID], announced


def rate_of(server: Server) -> float | None:
    return server.rate_limit.rate if server.rate_limit is not None else None


def test_a_response_ends_a_limit_only_if_its_request_was_sent_after_it_was_named(clock: Clock) -> None:
    fleet, server, announced = listed()
    fleet.rate_limits.note_answer(server, 2.0, 99.0, SOURCE)
    clock.at += 1.0
    fleet.rate_limits.note_answer(server, None, 99.9, SOURCE)
    assert rate_of(server) == 2.0
    fleet.rate_limits.note_answer(server, None, 100.5, SOURCE)
    assert rate_of(server) is None
    assert server.usable(clock.at)
    assert [notice.rate for notice in announced] == [2.0, None]


def test_a_persistent_limit_is_announced_at_an_interval(clock: Clock) -> None:
    fleet, server, announced = listed()
    for _ in range(int(4 * ANNOUNCE_SECONDS)):
        fleet.rate_limits.note_answer(server, 2.0, clock.at, SOURCE)
        clock.at += 1.0
    assert len(announced) == 4


@pytest.mark.parametrize("outage", [False, True])
def test_a_limit_outlasts_the_row_of_its_server(clock: Clock, outage: bool) -> None:
    fleet, server, _ = listed()
    fleet.rate_limits.note_answer(server, 2.0, 99.0, SOURCE)
    fleet.apply_changes([], [ID], outage)
    fleet.drop_lapsed()
    fleet.apply_changes([facts_of(seq=2)], [], outage=False)
    assert rate_of(fleet.servers[ID]) == 2.0
    assert not fleet.servers[ID].usable(clock.at)


def test_a_new_incarnation_has_no_limit_and_ignores_old_notices(clock: Clock) -> None:
    fleet, server, _ = listed()
    fleet.rate_limits.note_answer(server, 2.0, 99.0, SOURCE)
    fleet.apply_changes([facts_of(born=BORN + 1)], [], outage=False)
    again = fleet.servers[ID]
    assert again.usable(clock.at)
    old = LimitNotice(ID, MemberId("d1"), Incarnation(BORN), 1, 2.0, 0.0)
    assert fleet.rate_limits.merge_notices([old]) == []
    assert again.usable(clock.at)


def test_a_rate_limited_server_is_healthy(clock: Clock) -> None:
    fleet, server, _ = listed()
    changed = fleet.change_count
    fleet.rate_limits.note_answer(server, 0.0, 99.0, SOURCE)
    assert server.healthy(clock.at)
    assert server.counts_for_layout(clock.at)
    assert not server.has_ended(clock.at)
    assert not server.usable(clock.at)
    assert server.state() == "limited"
    assert fleet.change_count == changed


def test_a_token_is_used_once_or_given_back(clock: Clock) -> None:
    fleet, server, _ = listed()
    fleet.rate_limits.note_answer(server, 2.0, 99.0, SOURCE)
    assert server.throttle is not None
    server.throttle.grant(clock.at + 1.0)
    assert server.usable(clock.at)
    assert server.throttle.take(clock.at)
    assert not server.throttle.take(clock.at)
    server.throttle.return_token()
    assert server.throttle.take(clock.at + 0.5)
    server.throttle.return_token()
    assert not server.throttle.take(clock.at + 1.0)


def test_limits_are_spread_over_owners() -> None:
    members = [MemberId(f"d{n}") for n in range(8)]
    keys = [facts_of(f"s{n}").key for n in range(400)]
    owners = [choose_owner(key, members) for key in keys]
    assert all(20 <= owners.count(member) <= 90 for member in members)
    # A daemon that leaves changes the owners of its own servers only.
    remaining = [choose_owner(key, members[1:]) for key in keys]
    assert all(
        after == before for before, after in zip(owners, remaining, strict=True) if before != members[0]
    )


class Daemons:
    """Daemons that all report to each other, and the notices in transit."""

    def __init__(self, count: int) -> None:
        self.fleets: list[Fleet] = []
        self.in_transit: list[tuple[int, list[LimitNotice]]] = []
        self.messages = 0
        for number in range(count):
            fleet, _, _ = listed(f"d{number}")
            fleet.rate_limits.on_update = self._sender_of(number)
            self.fleets.append(fleet)

    def _sender_of(self, sender: int) -> Callable[[list[LimitNotice]], None]:
        return lambda notices: self.send(sender, notices)

    def send(self, sender: int, notices: list[LimitNotice]) -> None:
        for number in range(len(self.fleets)):
            if number != sender:
                self.messages += 1
                self.in_transit.append((number, notices))

    def deliver(self, place: int) -> None:
        number, notices = self.in_transit.pop(place % len(self.in_transit))
        if new := self.fleets[number].rate_limits.merge_notices(notices):
            self.send(number, new)


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.sampled_from([None, 0.0, 1.0, 4.0]), st.integers(0, 9)), max_size=12
    ),
    st.lists(st.integers(0, 1000), min_size=1, max_size=20),
)
def test_notices_in_any_order_end_and_the_last_response_reaches_all(
    answers: list[tuple[int, float | None, int]], order: list[int]
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        clock, daemons = Clock(patch), Daemons(4)
        for number, rate, delivered in answers:
            clock.at += 0.01
            fleet = daemons.fleets[number]
            fleet.rate_limits.note_answer(fleet.servers[ID], rate, clock.at, SOURCE)
            for step in range(min(delivered, len(daemons.in_transit))):
                clock.at += 0.001
                daemons.deliver(order[step % len(order)])
        for step in range(10_000):
            if not daemons.in_transit:
                break
            clock.at += 0.001
            daemons.deliver(order[step % len(order)])
        assert not daemons.in_transit
        assert daemons.messages <= 12 * len(answers)
        clock.at += 1.0
        last = daemons.fleets[0]
        last.rate_limits.note_answer(last.servers[ID], 2.0, clock.at, SOURCE)
        while daemons.in_transit:
            clock.at += 0.001
            daemons.deliver(0)
        assert {rate_of(fleet.servers[ID]) for fleet in daemons.fleets} == {2.0}
