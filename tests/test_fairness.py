"""Fair shares: order of the queue, division of capacity among daemons, limits and retry budgets."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import clock, division, fairness, limits, retries, settings
from bayglade.exceptions import LimitExceeded
from bayglade.fairness import QueuedItem, ShareQueue
from bayglade.ids import GroupPath, MemberId
from bayglade.usage import GroupUsage, Usage

SHARES = {"a": 2.0, "b": 1.0, "a/x": 1.0, "a/y": 3.0}


def share_of(path):
    return 0, SHARES.get(path, 1.0)


def item(group, cost=1.0, priority=0, latest=1e12, entry=None):
    return QueuedItem(GroupPath(group), priority, cost, latest, entry)


def serve(queue, usage, count):
    served = {}
    for _ in range(count):
        taken = queue.pop()
        usage.charge(taken.group, taken.cost)
        served[taken.group] = served.get(taken.group, 0.0) + taken.cost
    return served


def filled_queue(groups, count):
    usage = Usage()
    queue = ShareQueue(usage, share_of)
    for _ in range(count):
        for group in groups:
            queue.push(item(group))
    return queue, usage


def test_groups_that_all_want_more_get_their_shares_at_each_level():
    queue, usage = filled_queue(["a/x", "a/y", "b"], 400)
    served = serve(queue, usage, 360)
    assert served["b"] == pytest.approx(120, abs=3)
    assert served["a/y"] == pytest.approx(180, abs=3)
    assert served["a/x"] == pytest.approx(60, abs=3)


def test_the_share_of_an_idle_group_is_used_by_others_until_it_returns():
    queue, usage = filled_queue(["b"], 100)
    assert serve(queue, usage, 50) == {"b": 50.0}
    for _ in range(50):
        queue.push(item("a/x"))
    assert set(serve(queue, usage, 20)) == {"a/x"}


def test_service_reported_by_another_daemon_counts():
    queue, usage = filled_queue(["a/x", "b"], 100)
    usage.merge_report(MemberId("d2"), [GroupUsage(GroupPath("a/x"), 1000.0, 0.0)])
    assert serve(queue, usage, 50) == {"b": 50.0}
    usage.drop(MemberId("d2"))
    assert usage.total(GroupPath("a"), clock.now()) < 1.0


def test_a_repeated_report_counts_once():
    usage = Usage()
    for _ in range(2):
        usage.merge_report(MemberId("d2"), [GroupUsage(GroupPath("a/x"), 100.0, 50.0)])
    at = clock.now()
    assert usage.total(GroupPath("a"), at) == pytest.approx(100.0, rel=0.01)


def test_a_higher_priority_goes_first_within_a_group():
    queue, _ = filled_queue([], 0)
    queue.push(item("b", priority=0, entry="low"))
    queue.push(item("b", priority=5, entry="high"))
    assert [queue.pop().entry, queue.pop().entry] == ["high", "low"]


def test_while_the_oldest_is_late_the_newest_goes_first(monkeypatch):
    at = clock.now()
    queue, _ = filled_queue([], 0)
    for entry in ("old", "newer", "newest"):
        queue.push(item("b", latest=at + 1.0, entry=entry))
    monkeypatch.setattr(fairness, "now", lambda: at + 0.9)
    assert queue.pop().entry == "newest"


GROUPS = st.sampled_from(["a", "a/x", "a/y", "b", "c/deep/er"])


@given(st.lists(st.tuples(GROUPS, st.booleans()), max_size=40))
def test_a_queue_returns_every_entry_once(steps):
    queue = ShareQueue(Usage(), share_of)
    held = []
    for group, remove in steps:
        if remove and held:
            assert queue.remove(held.pop())
            continue
        entry = item(group, cost=2.0)
        queue.push(entry)
        held.append(entry)
    assert len(queue) == len(held) and queue.cost == pytest.approx(2.0 * len(held))
    taken = [queue.pop() for _ in held]
    assert set(map(id, taken)) == set(map(id, held)) and queue.pop() is None


DEMANDS = st.dictionaries(
    GROUPS.map(GroupPath), st.floats(0.1, 1000, allow_nan=False), min_size=1, max_size=5
)


@given(DEMANDS, st.floats(1, 2000))
def test_division_allocates_everything_and_no_more_than_demanded(demands, capacity):
    allocated = division.divide_by_shares(demands, lambda path: share_of(path)[1], capacity)
    assert set(allocated) == set(demands)
    for path, amount in allocated.items():
        assert amount <= demands[path] * (1 + 1e-9)
    expected = min(capacity, sum(demands.values()))
    assert sum(allocated.values()) == pytest.approx(expected)


def test_division_follows_the_shares_if_all_demand_more():
    demands = {GroupPath(path): 1000.0 for path in ("a/x", "a/y", "b")}
    allocated = division.divide_by_shares(demands, lambda path: share_of(path)[1], 120.0)
    assert allocated == pytest.approx({"a/x": 20.0, "a/y": 60.0, "b": 40.0})


def test_a_daemon_gets_the_fraction_due_to_its_groups():
    demands = {GroupPath("a"): 100.0, GroupPath("b"): 100.0}
    fractions = [
        division.own_fraction(mine, demands, lambda path: share_of(path)[1], 60.0, 2, 2)
        for mine in ({GroupPath("a"): 100.0, GroupPath("b"): 50.0}, {GroupPath("b"): 50.0})
    ]
    assert sum(fractions) == pytest.approx(1.0)
    assert fractions[0] == pytest.approx(0.05 + 0.9 * 5 / 6)


@pytest.mark.parametrize(("heard", "members", "fraction"), [(1, 1, 1.0), (1, 4, 0.25), (4, 4, 0.25)])
def test_silent_daemons_keep_their_part(heard, members, fraction):
    assert division.own_fraction({}, {}, lambda _: 1.0, 0.0, heard, members) == pytest.approx(fraction)


def limited(**fields):
    level = settings.Level(limits=settings.Limits(**fields))
    return settings.Tree(root=settings.Level(groups={"a": level}))


@pytest.mark.parametrize(
    ("fields", "cost", "passed"),
    [
        ({"requests_per_second": 5}, 1.0, 5),
        ({"tokens_per_second": 100}, 20.0, 5),
        ({"in_flight": 3}, 1.0, 3),
    ],
    ids=["requests", "tokens", "in flight"],
)
def test_a_limit_admits_its_burst_and_no_more(monkeypatch, fields, cost, passed):
    at = clock.now()
    monkeypatch.setattr(limits, "now", lambda: at)
    group_limits, tree = limits.GroupLimits(Usage()), limited(**fields)
    for _ in range(passed):
        group_limits.acquire(tree, GroupPath("a"), cost, 1)
    with pytest.raises(LimitExceeded) as caught:
        group_limits.acquire(tree, GroupPath("a"), cost, 1)
    assert caught.value.retry_after > 0
    group_limits.give_back(GroupPath("a"))


def test_a_limit_applies_to_all_levels_below():
    group_limits = limits.GroupLimits(Usage())
    tree = limited(in_flight=1)
    tree.root.groups["a"].groups = {"x": settings.Level(), "y": settings.Level()}
    group_limits.acquire(tree, GroupPath("a/x"), 1.0, 1)
    with pytest.raises(LimitExceeded):
        group_limits.acquire(tree, GroupPath("a/y"), 1.0, 1)


def test_daemons_divide_a_limit_by_need():
    usage = Usage()
    usage.note_demand(GroupPath("a"), 100.0)
    at = clock.now()
    alone = usage.limit_fraction(GroupPath("a"), 2, at)
    assert alone == pytest.approx(0.5, rel=0.02)
    usage.merge_report(MemberId("d2"), [GroupUsage(GroupPath("a"), 0.0, 300.0)])
    assert usage.limit_fraction(GroupPath("a"), 2, at) == pytest.approx(0.25, rel=0.05)


def test_a_retry_budget_is_a_floor_plus_a_tenth_of_the_traffic():
    budget = retries.RetryBudget()
    for _ in range(200):
        budget.note_request()
    allowed = sum(budget.acquire() for _ in range(200))
    assert allowed == pytest.approx(retries.BUDGET_FLOOR + 20, abs=1)


def test_retry_delays_of_refused_clients_are_spread():
    rng = random.Random(1)
    delays = {round(retries.jittered_retry_after(2.0, rng), 3) for _ in range(100)}
    assert len(delays) > 90 and min(delays) >= 2.0 and max(delays) <= 3.0


def by_urgency_queue():
    return ShareQueue(Usage(), share_of, lambda: True)


def drain(queue):
    return [queue.pop().entry for _ in range(len(queue))]


def test_by_urgency_the_most_urgent_goes_first_over_all_groups():
    """Guards against less urgent work that waits ahead of urgent work of another account."""
    queue = by_urgency_queue()
    queue.usage.charge(GroupPath("b"), 1000.0)
    queue.push(item("a/x", priority=-2, entry="least"))
    queue.push(item("a", priority=-1, entry="middle"))
    queue.push(item("b", priority=0, entry="most"))
    assert drain(queue) == ["most", "middle", "least"]


def test_by_urgency_the_priority_of_a_group_does_not_count_twice():
    """Guards against an account's priority that puts its less urgent work before urgent work."""
    queue = ShareQueue(Usage(), lambda path: (5 if path == "a" else 0, 1.0), lambda: True)
    queue.push(item("a", priority=-1, entry="account"))
    queue.push(item("b", priority=0, entry="urgent"))
    assert drain(queue) == ["urgent", "account"]


def test_by_urgency_groups_of_equal_urgency_still_get_their_shares():
    """Guards against the order by urgency replacing the shares of accounts."""
    usage = Usage()
    queue = ShareQueue(usage, share_of, lambda: True)
    for _ in range(200):
        for group in ("a/x", "a/y", "b"):
            queue.push(item(group, priority=-1))
    served = serve(queue, usage, 180)
    assert served["b"] == pytest.approx(60, abs=3) and served["a/y"] == pytest.approx(90, abs=3)


@pytest.mark.parametrize(("waited", "order"), [(0.1, ["old", "new"]), (0.9, ["new", "old"])])
def test_by_urgency_the_newest_goes_first_while_the_oldest_is_late(monkeypatch, waited, order):
    """Guards against a backlog that makes every answer late: earliest deadline first did so in overload."""
    at = fairness.now()
    monkeypatch.setattr(fairness, "now", lambda: at)
    queue = by_urgency_queue()
    queue.push(item("b", priority=-1, entry="less urgent"))
    queue.push(item("b", latest=at + 1.0, priority=0, entry="old"))
    monkeypatch.setattr(fairness, "now", lambda: at + waited)
    queue.push(item("b", priority=0, entry="new"))
    assert drain(queue) == [*order, "less urgent"]


PRIORITIES = st.integers(-2, 1)


@given(st.lists(st.tuples(GROUPS, PRIORITIES, st.booleans()), max_size=40))
def test_by_urgency_every_entry_is_returned_once_in_order(steps):
    """Guards against counts by priority that miss entries removed or put back before their turn."""
    queue = by_urgency_queue()
    held = []
    for group, priority, take_back in steps:
        entry = item(group, cost=2.0, priority=priority)
        queue.push(entry)
        held.append(entry)
        if take_back and (taken := queue.pop()) is not None:
            queue.put_back(taken)
            assert queue.remove(entry)
            held.pop()
    taken = [queue.pop() for _ in held]
    assert set(map(id, taken)) == set(map(id, held)) and queue.pop() is None
    assert [entry.priority for entry in taken] == sorted((e.priority for e in held), reverse=True)


def test_the_order_by_urgency_may_begin_while_entries_wait():
    """Guards against settings that add an urgency to a service whose requests wait already."""
    by_urgency = False
    queue = ShareQueue(Usage(), lambda path: (1 if path == "a" else 0, 1.0), lambda: by_urgency)
    for _ in range(2):
        queue.push(item("a", priority=0, entry="low"))
        queue.push(item("b", priority=3, entry="high"))
    assert queue.pop().entry == "low"
    by_urgency = True
    assert drain(queue) == ["high", "high", "low"]
