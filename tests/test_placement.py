"""Version placement and leases: which orders are sent, by which daemon, and that a suspended lease holder
can do no harm."""

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


def reports_of(tree, version="v1"):
    return {backend: VersionReport((Version(version),)) for backend in tree.backends}


def test_no_orders_when_all_servers_hold_what_is_wanted():
    tree = tree_with(4)
    assert next_orders(tree, reports_of(tree)) == []


def test_orders_respect_the_load_limit_and_keep_routes():
    tree = tree_with(4, ("v2",), loads_at_once=3, keep_part=0.5)
    orders = next_orders(tree, reports_of(tree))
    assert len(orders) == 3 and {order.version for order in orders} == {"v2"}
    first = [order for order in orders if order.backend.endswith("-0")]
    assert len(first) <= 2


def test_each_wanted_version_gets_servers_in_each_range():
    tree = tree_with(4, ("v1", "v2"))
    assigned = assign_versions(tree)
    for first in (0, 4):
        assert {assigned[BackendId(f"e{n}-{first}")] for n in range(4)} == {"v1", "v2"}


@given(st.integers(1, 6), st.integers(1, 4), st.sampled_from([0.0, 0.5, 0.9]))
def test_a_rollout_finishes_and_always_leaves_routes(servers, at_once, keep_part):
    tree = tree_with(servers, ("v2",), loads_at_once=at_once, keep_part=keep_part)
    reports = reports_of(tree)
    for _ in range(100):
        orders = next_orders(tree, reports)
        if not orders:
            break
        for order in orders:
            reports[order.backend] = VersionReport((), loading=True)
        assert sum(r.loading for r in reports.values()) <= at_once
        for first in (0, 4):
            serving = [b for b, r in reports.items() if b.endswith(f"-{first}") and r.versions]
            assert serving or servers == 1
        done = orders[0]
        reports[done.backend] = VersionReport((done.version,))
        for order in orders[1:]:
            reports[order.backend] = VersionReport((order.version,))
    assert all(r.versions == ("v2",) for r in reports.values())


class FakeTable:
    """An in-memory table whose answers can be lost."""

    def __init__(self):
        self.rows = {}
        self.lost_answers = 0

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
        if self.lost_answers:
            self.lost_answers -= 1
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


def test_a_suspended_holder_has_lost_the_lease_before_the_next_one_holds_it(clock):
    _, one, other = two_leases()
    assert one.acquire_or_renew() and not other.acquire_or_renew()
    clock.at += leases.DURATION + leases.TAKEOVER_MARGIN / 2
    assert one.state() is not LeaseState.HELD
    assert not other.acquire_or_renew()
    clock.at += leases.TAKEOVER_MARGIN
    assert other.acquire_or_renew() and other.epoch == one.epoch + 1
    assert not one.acquire_or_renew() and one.seconds_left() < 0


def test_a_lease_that_is_renewed_is_not_taken_over(clock):
    _, one, other = two_leases()
    for _ in range(20):
        assert one.acquire_or_renew() and not other.acquire_or_renew()
        clock.at += leases.RENEW_AFTER + 0.1


def test_a_released_lease_is_free_at_once_and_gets_a_new_epoch(clock):
    _, one, other = two_leases()
    assert one.acquire_or_renew()
    one.release()
    assert other.acquire_or_renew() and other.epoch == 2


def test_a_lost_answer_does_not_leave_two_holders(clock):
    table, one, other = two_leases()
    table.lost_answers = 1
    assert not one.acquire_or_renew()
    assert not other.acquire_or_renew()
    assert one.acquire_or_renew() and not other.acquire_or_renew()


def test_the_version_of_a_group_differs_from_that_of_the_model():
    tree = tree_with(2, ("v1", "v3"))
    assert settings.version_of(tree, GroupPath("khangai"), "guide") == "v3"
