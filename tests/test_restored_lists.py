"""A store restored from an older copy lists outdated entries, which must not undo newer knowledge."""

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


def test_an_older_entry_of_a_known_server_is_ignored(fleet: Fleet) -> None:
    fleet.apply_changes([facts_of("a", seq=9, layers=LAYERS)], [], outage=False)
    fleet.apply_snapshot([facts_of("a", seq=5), facts_of("b", seq=5)], outage=True, restored=True)
    assert fleet.servers[BackendId("a")].facts.last == 8


def test_an_older_entry_does_not_undo_that_a_server_is_leaving(fleet: Fleet) -> None:
    fleet.apply_changes([facts_of("a", seq=6, state="draining")], [], outage=False)
    fleet.apply_snapshot([facts_of("a", seq=5), facts_of("b", seq=5)], outage=True, restored=True)
    assert fleet.servers[BackendId("a")].leaving


def test_a_server_missing_in_the_copy_stays_for_the_grace_period(fleet: Fleet) -> None:
    fleet.apply_snapshot([facts_of("b", seq=5)], outage=True, restored=True)
    assert fleet.servers[BackendId("a")].healthy(fleets.now())
    fleet.apply_changes([facts_of("a", seq=6)], [], outage=True)
    fleet.drop_lapsed()
    assert BackendId("a") in fleet.servers


def remove_and_restore(fleet: Fleet) -> fleets.Server:
    fleet.apply_changes([], [BackendId("a")], outage=False)
    fleet.apply_snapshot([facts_of("a", seq=5), facts_of("b", seq=5)], outage=True, restored=True)
    return fleet.servers[BackendId("a")]


def test_a_removed_server_that_is_in_the_copy_gets_no_requests(fleet: Fleet, clock: ManualClock) -> None:
    server = remove_and_restore(fleet)
    assert not server.healthy(clock.at)
    assert not server.counts_for_layout(clock.at)
    assert server.state() == "unconfirmed"


def test_a_removed_server_is_used_again_once_it_writes_its_entry(fleet: Fleet, clock: ManualClock) -> None:
    server = remove_and_restore(fleet)
    fleet.apply_changes([facts_of("a", seq=6)], [], outage=False)
    assert server.healthy(clock.at)


def test_a_removed_server_is_used_again_if_its_entry_does_not_expire(
    fleet: Fleet, clock: ManualClock
) -> None:
    server = remove_and_restore(fleet)
    clock.at += EXPIRY
    assert server.healthy(clock.at)


def test_a_later_incarnation_of_a_removed_server_is_used_at_once(fleet: Fleet, clock: ManualClock) -> None:
    remove_and_restore(fleet)
    fleet.apply_changes([facts_of("a", seq=1, born=BORN + 1)], [], outage=False)
    assert fleet.servers[BackendId("a")].healthy(clock.at)


def test_a_server_first_seen_in_the_copy_is_used_at_once(fleet: Fleet, clock: ManualClock) -> None:
    fleet.apply_snapshot([facts_of(name, seq=5) for name in "abc"], outage=True, restored=True)
    assert fleet.servers[BackendId("c")].healthy(clock.at)
