"""Routes cover all layers and prefer near, fast and idle servers; failing servers are ejected."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import backends as backends_module
from bayglade import clock
from bayglade.backends import Backends, BackendState
from bayglade.engines.wire import Load
from bayglade.ids import BackendId, ModelName, Version
from bayglade.routing import choose_route, covers
from bayglade.settings import Backend, Model, Tree

LAYERS = 12


def state(name, first, last, hall="near"):
    facts = Backend("127.0.0.1:1", hall, "l4", ModelName("m"), Version("v1"), first, last)
    return BackendState(BackendId(name), facts)


def route(states, seed=1, link=lambda one, other: 0.0 if one == other else 1.0):
    return choose_route(states, LAYERS, "near", link, random.Random(seed))


RANGES = st.lists(
    st.tuples(st.integers(0, LAYERS - 1), st.integers(1, LAYERS)).filter(lambda r: r[0] < r[1]), max_size=12
)


@given(RANGES, st.integers(0, 5))
def test_a_route_covers_all_layers_or_there_is_none(ranges, seed):
    states = [state(f"e{n}", first, last) for n, (first, last) in enumerate(ranges)]
    found = route(states, seed)
    assert (found is not None) == covers(states, LAYERS)
    if found is not None:
        done = [layer for stage in found for layer in range(stage.first, stage.last)]
        assert done == list(range(LAYERS))
        held = {s.id: s.facts for s in states}
        assert all(held[s.backend].first <= s.first and s.last <= held[s.backend].last for s in found)


def test_a_route_stays_in_the_near_hall():
    states = [state("far", 0, 12, "far"), state("n1", 0, 6), state("n2", 6, 12), state("f2", 6, 12, "far")]
    assert [stage.backend for stage in route(states)] == ["n1", "n2"]


def test_a_busy_server_is_left_for_an_idle_one():
    busy, idle = state("busy", 0, 12), state("idle", 0, 12)
    busy.in_flight = 3
    assert route([busy, idle])[0].backend == "idle"


def test_many_daemons_with_the_same_load_data_do_not_choose_the_same_server():
    states = [state(f"e{n:02}", 0, 12) for n in range(40)]
    chosen = {route(states, seed)[0].backend for seed in range(60)}
    assert len(chosen) > 20


def made(count):
    tree = Tree(models={ModelName("m"): Model(LAYERS, Version("v1"))})
    tree.backends = {BackendId(f"e{n}"): state(f"e{n}", 0, 12).facts for n in range(count)}
    held = Backends(random.Random(1))
    held.sync(tree)
    return held, tree


def test_a_failing_server_is_ejected_and_comes_back_slowly(monkeypatch):
    held, _ = made(4)
    at = clock.now()
    held.record_failure(BackendId("e0"))
    ejected = held.states[BackendId("e0")]
    assert not ejected.usable(at)
    monkeypatch.setattr(backends_module, "now", lambda: at + 60)
    assert ejected.usable(at + 60) and ejected.limit == backends_module.LIMIT_AFTER_EJECTION


def test_a_common_cause_does_not_eject_all():
    held, _ = made(4)
    for backend in list(held.states):
        held.record_failure(backend)
    at = clock.now()
    assert sum(state.usable(at) for state in held.states.values()) >= 2


def test_the_only_server_is_never_ejected():
    held, _ = made(1)
    held.record_failure(BackendId("e0"))
    assert held.states[BackendId("e0")].usable(clock.now())


def test_a_limit_follows_the_slots_and_falls_when_work_waits_there():
    held, _ = made(1)
    one = held.states[BackendId("e0")]
    held.apply_report(one.id, Load(running=0, waiting=0, slots=16))
    assert one.limit == 16
    held.set_share(0.25)
    assert one.limit == 4
    held.apply_report(one.id, Load(running=16, waiting=8, slots=16))
    assert one.limit == pytest.approx(4 * backends_module.LIMIT_DECREASE_FACTOR)


def test_the_measured_speed_of_a_server_outlives_a_new_revision():
    held, tree = made(2)
    held.learn_speed({BackendId("e0"): 12}, 0.5)
    learned = held.states[BackendId("e0")].seconds_per_layer
    held.sync(tree)
    assert held.states[BackendId("e0")].seconds_per_layer == learned


def test_speeds_of_two_servers_are_estimated_separately():
    held, _ = made(2)
    for _ in range(200):
        held.learn_speed({BackendId("e0"): 6, BackendId("e1"): 6}, 6 * 0.004 + 6 * 0.001)
        held.learn_speed({BackendId("e0"): 12}, 12 * 0.004)
    assert held.states[BackendId("e0")].seconds_per_layer == pytest.approx(0.004, rel=0.05)
    assert held.states[BackendId("e1")].seconds_per_layer == pytest.approx(0.001, rel=0.1)
