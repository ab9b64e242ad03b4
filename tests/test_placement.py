"""Placement and leases: which orders are given, by whom, and what a frozen holder can do."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import leases, rows, settings
from bayglade.exceptions import PlatformAnswerLost
from bayglade.ids import BackendId, GroupPath, MemberId, Version
from bayglade.leases import Lease, LeaseState
from bayglade.placement import VersionReport, assign_versions, next_orders
from standins.world import usual_tree


def tree_with(servers, versions=("v1",), **placement):
    backends = {
        f"e{n}-{first}": {
            "address": "127.0.0.1:1",
            "hall": "h",
            "accelerator": "l4",
            "model": "guide",
            "version": "v1",
            "first": first,
            "last": first + 4,
        }
        for n in range(servers)
        for first in (0, 4)
    }
    tree = usual_tree(backends, {}, 8)
    tree["models"]["guide"]["version"] = versions[0]
    tree["placement"] = placement
    for group, version in zip(("khangai", "kines"), versions[1:], strict=False):
        tree["root"]["groups"][group]["versions"] = {"guide": version}
    return settings.decode(msgspec.json.encode(tree))


def held(tree, version="v1"):
    return {backend: VersionReport((Version(version),)) for backend in tree.backends}


def test_no_orders_when_all_servers_hold_what_is_wanted():
    tree = tree_with(4)
    assert next_orders(tree, held(tree)) == []


def test_orders_keep_to_the_weight_store_and_to_the_routes():
    tree = tree_with(4, ("v2",), loads_at_once=3, keep_part=0.5)
    orders = next_orders(tree, held(tree))
    assert len(orders) == 3 and {order.version for order in orders} == {"v2"}
    first = [order for order in orders if order.backend.endswith("-0")]
    assert len(first) <= 2


def test_two_wanted_versions_both_get_servers_in_each_range():
    tree = tree_with(4, ("v1", "v2"))
    assigned = assign_versions(tree)
    for first in (0, 4):
        assert {assigned[BackendId(f"e{n}-{first}")] for n in range(4)} == {"v1", "v2"}


@given(st.integers(1, 6), st.integers(1, 4), st.sampled_from([0.0, 0.5, 0.9]))
def test_a_roll_ends_and_always_leaves_routes(servers, at_once, keep_part):
    tree = tree_with(servers, ("v2",), loads_at_once=at_once, keep_part=keep_part)
    holdings = held(tree)
    for _ in range(100):
        orders = next_orders(tree, holdings)
        if not orders:
            break
        for order in orders:
            holdings[order.backend] = VersionReport((), loading=True)
        assert sum(h.loading for h in holdings.values()) <= at_once
        for first in (0, 4):
            serving = [b for b, h in holdings.items() if b.endswith(f"-{first}") and h.versions]
            assert serving or servers == 1
        done = orders[0]
        holdings[done.backend] = VersionReport((done.version,))
        for order in orders[1:]:
            holdings[order.backend] = VersionReport((order.version,))
    assert all(h.versions == ("v2",) for h in holdings.values())


class FakeTable:
    """A table in memory whose answers can be lost."""

    def __init__(self):
        self.rows = {}
        self.lose = 0

    def read(self, keys):
        return {key: self.rows[key] for key in keys if key in self.rows}

    def transact(self, transaction):
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                return rows.TransactionResult(False, [condition.key])
        for write in transaction.writes:
            row = self.rows.get(write.key)
            self.rows[write.key] = rows.Row((row.version if row else 0) + 1, write.value)
        if self.lose:
            self.lose -= 1
            raise PlatformAnswerLost("lost")
        return rows.TransactionResult(True)


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        at = 1000.0

    monkeypatch.setattr(leases, "now", lambda: Clock.at)
    return Clock


def two_leases():
    table = FakeTable()
    return table, Lease(table, "x", MemberId("d1")), Lease(table, "x", MemberId("d2"))


def test_only_one_of_two_holds_a_lease(clock):
    _, one, other = two_leases()
    assert one.acquire_or_renew() and not other.acquire_or_renew()
    assert (one.state(), other.state()) == (LeaseState.HELD, LeaseState.HELD_BY_OTHER)


def test_a_frozen_holder_has_stopped_before_the_next_begins(clock):
    _, one, other = two_leases()
    assert one.acquire_or_renew() and not other.acquire_or_renew()
    clock.at += leases.DURATION + leases.TAKEOVER_MARGIN / 2
    assert one.state() is not LeaseState.HELD
    assert not other.acquire_or_renew()
    clock.at += leases.TAKEOVER_MARGIN
    assert other.acquire_or_renew() and other.epoch == one.epoch + 1
    assert not one.acquire_or_renew() and one.seconds_left() < 0


def test_a_holder_that_renews_is_not_taken_over(clock):
    _, one, other = two_leases()
    for _ in range(20):
        assert one.acquire_or_renew() and not other.acquire_or_renew()
        clock.at += leases.RENEW_AFTER + 0.1


def test_a_released_lease_is_free_at_once_with_a_new_epoch(clock):
    _, one, other = two_leases()
    assert one.acquire_or_renew()
    one.release()
    assert other.acquire_or_renew() and other.epoch == 2


def test_a_lost_answer_does_not_leave_two_holders(clock):
    table, one, other = two_leases()
    table.lose = 1
    assert not one.acquire_or_renew()
    assert not other.acquire_or_renew()
    assert one.acquire_or_renew() and not other.acquire_or_renew()


def test_a_version_of_a_group_is_wanted_beside_the_models_own():
    tree = tree_with(2, ("v1", "v3"))
    assert settings.version_of(tree, GroupPath("khangai"), "guide") == "v3"
