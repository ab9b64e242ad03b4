"""The list of servers of a store that came back from an older copy takes nothing back of what is known."""

import pytest

from bayglade import fleet as fleets
from bayglade import servers
from bayglade.fleet import Fleet
from bayglade.ids import BackendId
from tests.clocks import ManualClock
from tests.server_rows import BORN, facts_of

EXPIRY = 4.6
LAYERS = {"from": 0, "targetVersion": 8, "version": 1}


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    made = ManualClock()
    monkeypatch.setattr(fleets, "now", made.now)
    monkeypatch.setattr(servers, "now", made.now)
    return made


@pytest.fixture
def fleet(clock: ManualClock) -> Fleet:
    made = Fleet(EXPIRY)
    made.apply_changes([facts_of("a", seq=5), facts_of("b", seq=5)], [], outage=False)
    return made


def test_an_older_entry_of_a_known_server_changes_nothing(fleet: Fleet) -> None:
    fleet.apply_changes([facts_of("a", seq=9, layers=LAYERS)], [], outage=False)
    fleet.apply_snapshot([facts_of("a", seq=5), facts_of("b", seq=5)], outage=True, restored=True)
    assert fleet.servers[BackendId("a")].facts.last == 8


def test_a_server_that_said_it_leaves_is_not_taken_back_by_an_older_entry(fleet: Fleet) -> None:
    fleet.apply_changes([facts_of("a", seq=6, state="draining")], [], outage=False)
    fleet.apply_snapshot([facts_of("a", seq=5), facts_of("b", seq=5)], outage=True, restored=True)
    assert fleet.servers[BackendId("a")].leaving


def test_a_server_that_the_copy_lacks_stays_for_the_grace_of_an_outage(fleet: Fleet) -> None:
    fleet.apply_snapshot([facts_of("b", seq=5)], outage=True, restored=True)
    assert fleet.servers[BackendId("a")].healthy(fleets.now())
    fleet.apply_changes([facts_of("a", seq=6)], [], outage=True)
    fleet.drop_lapsed()
    assert BackendId("a") in fleet.servers


def gone_and_back(fleet: Fleet) -> fleets.Server:
    fleet.apply_changes([], [BackendId("a")], outage=False)
    fleet.apply_snapshot([facts_of("a", seq=5), facts_of("b", seq=5)], outage=True, restored=True)
    return fleet.servers[BackendId("a")]


def test_a_server_that_was_gone_and_is_in_the_copy_gets_nothing(fleet: Fleet, clock: ManualClock) -> None:
    server = gone_and_back(fleet)
    assert not server.healthy(clock.at)
    assert not server.counts_for_layout(clock.at)
    assert server.state() == "unconfirmed"


def test_it_is_used_again_once_it_has_written_its_entry(fleet: Fleet, clock: ManualClock) -> None:
    server = gone_and_back(fleet)
    fleet.apply_changes([facts_of("a", seq=6)], [], outage=False)
    assert server.healthy(clock.at)


def test_it_is_used_again_when_the_platform_keeps_its_entry(fleet: Fleet, clock: ManualClock) -> None:
    server = gone_and_back(fleet)
    clock.at += EXPIRY
    assert server.healthy(clock.at)


def test_a_later_start_of_it_is_used_at_once(fleet: Fleet, clock: ManualClock) -> None:
    gone_and_back(fleet)
    fleet.apply_changes([facts_of("a", seq=1, born=BORN + 1)], [], outage=False)
    assert fleet.servers[BackendId("a")].healthy(clock.at)


def test_a_server_that_is_new_in_the_copy_is_used_at_once(fleet: Fleet, clock: ManualClock) -> None:
    fleet.apply_snapshot([facts_of(name, seq=5) for name in "abc"], outage=True, restored=True)
    assert fleet.servers[BackendId("c")].healthy(clock.at)
