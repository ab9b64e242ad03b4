"""Routing mechanisms can be switched off by the settings and then have no effect."""

from pathlib import Path

import pytest

from bayglade.config import load_gateway_config
from bayglade.exceptions import InvalidSettings
from bayglade.ids import BackendId
from bayglade.mechanisms import Mechanism
from bayglade.pipelines import Demand
from bayglade.tiling import tile_group
from benches.ablation import FIGURES
from tests.test_paths import USUAL, Site
from tests.test_tiling import pipeline, servers

SETTINGS = """
member: d1
hall: a
callers: "127.0.0.1:1"
ready: "127.0.0.1:2"
metrics: "127.0.0.1:3"
store: "127.0.0.1:4"
"""


def settings(folder: Path, line: str) -> Path:
    path = folder / "gateway.yaml"
    path.write_text(SETTINGS + line, encoding="utf-8")
    return path


@pytest.mark.parametrize("mechanism", list(Mechanism))
def test_settings_switch_off_a_mechanism(mechanism: Mechanism, tmp_path: Path) -> None:
    config = load_gateway_config(settings(tmp_path, f"without: [{mechanism.value}]"))
    assert config.without == {mechanism}


def test_mechanisms_are_on_by_default_and_unknown_names_are_rejected(tmp_path: Path) -> None:
    assert load_gateway_config(settings(tmp_path, "")).without == frozenset()
    with pytest.raises(InvalidSettings):
        load_gateway_config(settings(tmp_path, "without: [magic]"))


def test_without_crossing_no_path_leaves_its_hall() -> None:
    site = Site("a")
    lost = frozenset(
        s.facts.id
        for s in site.fleet.servers.values()
        for hall, layer in (("a", 20), ("b", 60))
        if s.facts.hall == hall and s.facts.first <= layer < s.facts.last
    )
    assert site.choose(excluded=lost) is not None
    site.paths.without = frozenset({Mechanism.CROSSING})
    assert site.choose(excluded=lost) is None


def test_without_spill_the_local_hall_is_filled_first() -> None:
    def count_served_locally(without: frozenset[Mechanism]) -> int:
        site = Site("b")
        site.paths.without = without
        count = 0
        while site.serve().hall == "b":
            count += 1
        return count

    assert count_served_locally(frozenset({Mechanism.SPILL})) > count_served_locally(frozenset())


def test_without_crowding_a_fuller_server_costs_no_more() -> None:
    site = Site("a")
    site.paths.without = frozenset({Mechanism.CROWDING})
    without = site.serve().cost
    site.paths.without = frozenset()
    site.fleet.servers[BackendId("a-big-0")].cached += 1.0
    assert site.serve(Demand(USUAL.prompt, USUAL.answer)).cost > without


def test_without_pairs_fewer_layers_are_held() -> None:
    model = pipeline()
    fleet = servers(a={"big": 3, "middle": 3, "small": 5})
    spread = tile_group(fleet, model, pair_servers=False)
    paired = tile_group(fleet, model)
    assert sum(s.length for s in spread.values()) < sum(s.length for s in paired.values())


def test_the_ablation_bench_parses_the_scores() -> None:
    text = (
        "day                  own/srv  score  worth served refused failed  weakest part\n"
        "trouble-2               6/41   1.00  0.439  0.686   0.009  0.035  worst windows 0.30\n"
    )
    found = FIGURES.search(text)
    assert found is not None
    assert (found["day"], found["worth"]) == ("trouble-2", "0.439")
