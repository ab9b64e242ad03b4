"""Loading of layers: which daemons check the placement lease, and when."""

import random
from types import SimpleNamespace
from typing import Any

import pytest

from bayglade import loading
from bayglade.fleet import Fleet
from bayglade.loading import FALLBACK_DAEMONS_PER_CHECK, FALLBACK_DELAY, SILENT_SECONDS, Loader
from bayglade.metrics import create_metrics
from bayglade.servers import EXCLUDED_LAYOUT_SECONDS
from tests.test_tiling import SERVICE, pipeline, place_servers, servers


class Site:
    """A loader with empty servers, and a lease that another daemon holds."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, first: bool) -> None:
        self.at = 100.0
        monkeypatch.setattr(loading, "now", lambda: self.at)
        self.lease_checks = 0
        self.lease_seconds_left = 0.0
        fleet = Fleet()
        fleet.apply_changes(servers(a={"big": 3, "middle": 3, "small": 5}), [], outage=False)
        fleet.last_added_at = 0.0
        lease: Any = SimpleNamespace(
            acquire_or_renew=self._check_lease,
            seconds_left=lambda: self.lease_seconds_left,
            release=lambda: None,
        )
        self.loader = Loader(
            fleet,
            SimpleNamespace(),  # type: ignore[arg-type]
            lease,
            lambda: {SERVICE: pipeline()},
            create_metrics(None, "d"),  # type: ignore[arg-type]
            random.Random(1),
            tries_first=lambda: first,
        )

    def _check_lease(self) -> bool:
        self.lease_checks += 1
        return False


def test_a_daemon_that_reads_the_store_checks_the_lease_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    site = Site(monkeypatch, first=True)
    site.loader.step()
    assert site.lease_checks == 1


def test_other_daemons_check_the_lease_after_a_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    site = Site(monkeypatch, first=False)
    site.loader.step()
    site.at += FALLBACK_DELAY
    site.loader.step()
    assert site.lease_checks == 0
    site.at += 0.1
    site.loader.step()
    assert site.lease_checks == 1


def test_few_of_many_other_daemons_check_the_lease_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    site = Site(monkeypatch, first=False)
    site.loader.daemons = lambda: 100
    site.loader.step()
    site.at += FALLBACK_DELAY + 0.1
    for _ in range(500):
        site.loader.step()
    assert 0 < site.lease_checks < 500 * 4 * FALLBACK_DAEMONS_PER_CHECK / 100


def test_a_daemon_that_holds_the_lease_renews_it(monkeypatch: pytest.MonkeyPatch) -> None:
    site = Site(monkeypatch, first=False)
    site.lease_seconds_left = 1.0
    site.loader.step()
    assert site.lease_checks == 1


def test_the_delay_restarts_after_nothing_was_missing(monkeypatch: pytest.MonkeyPatch) -> None:
    site = Site(monkeypatch, first=False)
    site.loader.step()
    wanted = site.loader.wanted_spans
    site.loader.wanted_spans = lambda service, model: {}  # type: ignore[method-assign]
    site.loader.step()
    site.loader.wanted_spans = wanted  # type: ignore[method-assign]
    site.at += FALLBACK_DELAY + 0.1
    site.loader.step()
    assert site.lease_checks == 0


def complete_but_for_one(monkeypatch: pytest.MonkeyPatch) -> Site:
    """Return a site in which all servers but the last, which is empty, hold their layers."""
    site = Site(monkeypatch, first=True)
    fleet = site.loader.fleet
    *others, _ = list(fleet.servers.values())
    placed = place_servers([server.facts for server in others], pipeline())
    fleet.apply_changes([server.facts for server in placed], [], outage=False)
    return site


def test_an_empty_server_that_was_silent_gets_layers_when_it_counts_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against servers without layers until something else changes."""
    site = complete_but_for_one(monkeypatch)
    silent = list(site.loader.fleet.servers.values())[-1]
    site.loader._note_silent(silent)
    site.loader.step()
    assert site.lease_checks == 0
    site.at += SILENT_SECONDS + 0.1
    site.loader.step()
    assert site.lease_checks == 1


def test_an_empty_server_with_an_unconfirmed_entry_gets_layers_when_it_counts_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = complete_but_for_one(monkeypatch)
    list(site.loader.fleet.servers.values())[-1].unconfirmed_until = site.at + 2.0
    site.loader.step()
    assert site.lease_checks == 0
    site.at += 2.1
    site.loader.step()
    assert site.lease_checks == 1


def test_layers_of_an_excluded_server_are_loaded_elsewhere_when_it_counts_no_longer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = complete_but_for_one(monkeypatch)
    *others, spare = list(site.loader.fleet.servers.values())
    site.loader.fleet.apply_changes([], [spare.facts.id], outage=False)
    others[0].excluded, others[0].excluded_at = "no valid entry", site.at
    site.loader.step()
    assert site.lease_checks == 0
    # Missing layers are ordered a moment after they are first seen to be missing.
    for _ in range(2):
        site.at += EXCLUDED_LAYOUT_SECONDS + 0.1
        site.loader.step()
    assert site.lease_checks == 1
