"""Daemons that start together: when they have settings, which store calls they make, and held calls."""

import random
import statistics
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import eventlet
import pytest

from bayglade import intake as intake_module
from bayglade.exceptions import CutOff, PlatformUnavailable
from bayglade.intake import HOLD_FRACTION, HOLD_SECONDS, MAX_HELD, Intake
from bayglade.settings import Tree
from standins.virtual_time import now, run_virtually
from tests import starts
from tests.starts import MEMBERS, Site

SETTINGS_SECONDS = 0.15
"""Required median from listening, or from when the document is in the store, to settings in force."""
RUN_SECONDS = 6.0
REST_SECONDS = 2.0
READS_AT_REST = 12
"""Reads of two readers of the site in that time, of all tables but the roster; the same before starts were
made faster."""
ROSTER_READS_AT_REST = 4
"""Reads of the roster by them in that time: each waits several seconds, and one wait may be cut short, so
that it ends together with those of the other tables."""
START_SECONDS = 2.0
"""After that, the roster is only read to keep its copies current."""
WRITTEN_AFTER = 0.6
"""When the document is written in runs that reproduce a late start. The daemons have read the table before,
found no document, and all but the readers had settings 1.0 to 1.1 s after they began to listen."""


def start_site(
    monkeypatch: pytest.MonkeyPatch,
    daemons: int,
    halls: int,
    known: bool = True,
    written_after: float = 0.0,
    refused_reads: int = 0,
) -> tuple[Site, float]:
    """Start daemons together; return them and when the document was written."""
    starts.patch_clock(monkeypatch)

    def run() -> tuple[Site, float]:
        site = Site(daemons, halls, known, spread=0.1)
        starts.patch_start(monkeypatch, site)
        site.store.refused_reads = refused_reads
        if not written_after:
            site.store.put_document()
        site.start()
        eventlet.sleep(written_after)
        written = now()
        if written_after:
            site.store.put_document()
        eventlet.sleep(RUN_SECONDS)
        site.ended_at = now()
        return site, written

    return run_virtually(run)


def check_reads_at_rest(site: Site) -> None:
    tables = [table for at, table in site.store.reads if at >= site.ended_at - REST_SECONDS]
    assert len(tables) - tables.count(MEMBERS) <= READS_AT_REST
    assert tables.count(MEMBERS) <= ROSTER_READS_AT_REST


def reads_of_the_start(site: Site) -> int:
    later = site.ended_at - RUN_SECONDS + START_SECONDS
    return sum(table != MEMBERS or at < later for at, table in site.store.reads)


@pytest.mark.parametrize(("daemons", "halls"), [(81, 3), (195, 5)])
@pytest.mark.parametrize("known", [True, False], ids=["power loss", "first start"])
def test_settings_are_in_force_soon_after_all_daemons_start(
    monkeypatch: pytest.MonkeyPatch, daemons: int, halls: int, known: bool
) -> None:
    """Guards against refusals of all callers in the first second after a power loss."""
    site, _ = start_site(monkeypatch, daemons, halls, known)
    waits = site.waits()
    assert len(waits) == daemons
    assert statistics.median(waits) <= SETTINGS_SECONDS
    confirmed = sorted(site.confirmed_at[member] - at for member, at in site.listening_at.items())
    assert statistics.median(confirmed) <= SETTINGS_SECONDS
    assert confirmed[-1] <= (SETTINGS_SECONDS if known else 1.0)
    # Three tables and the roster for each daemon, and in a first start its retries after a conflict.
    assert reads_of_the_start(site) <= (4.5 if known else 5.5) * daemons
    assert len(site.store.writes) <= 2 * daemons
    check_reads_at_rest(site)


@pytest.mark.parametrize(("daemons", "halls"), [(81, 3), (195, 5)])
@pytest.mark.parametrize("known", [True, False], ids=["power loss", "first start"])
def test_a_document_that_is_written_after_the_start_reaches_all_at_once(
    monkeypatch: pytest.MonkeyPatch, daemons: int, halls: int, known: bool
) -> None:
    """Guards against polls that wait for a periodic check, and against answers without a stream.

    Either of them left all but the readers to the store call that ends the rest after a snapshot.
    """
    site, written = start_site(monkeypatch, daemons, halls, known, WRITTEN_AFTER)
    waits = [at - written for at in site.settings_at.values()]
    assert len(waits) == daemons
    assert statistics.median(waits) <= SETTINGS_SECONDS
    assert max(waits) <= SETTINGS_SECONDS
    assert reads_of_the_start(site) <= (4.5 if known else 5.5) * daemons
    check_reads_at_rest(site)


def test_settings_arrive_soon_when_the_store_refuses_each_first_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the long retry delay of followers where others relay the settings meanwhile."""
    site, _ = start_site(monkeypatch, 81, 3, refused_reads=81)
    assert statistics.median(site.waits()) <= SETTINGS_SECONDS
    assert site.waits()[-1] <= 2 * SETTINGS_SECONDS


@pytest.fixture
def intake(monkeypatch: pytest.MonkeyPatch) -> Intake:
    monkeypatch.setattr(intake_module, "now", now)
    made = Intake(SimpleNamespace(), lambda: 0.0, 5.0, random.Random(1))  # type: ignore[arg-type]
    made.expects_settings = lambda: True
    return made


def held_seconds(intake: Intake, timeout_seconds: float | None) -> float:
    """Return for how long a call is held before it is refused for lack of settings."""
    head = SimpleNamespace(timeout_seconds=timeout_seconds)
    intake.dialect = SimpleNamespace(read_call=lambda message: head)  # type: ignore[assignment]
    message: Any = None
    began = now()
    with pytest.raises(CutOff) as refused:
        intake.call(message)
    assert "no settings" in str(refused.value)
    return now() - began


@pytest.mark.parametrize(
    ("expected", "timeout", "seconds"),
    [(True, None, HOLD_SECONDS), (True, 0.6, HOLD_FRACTION * 0.6), (False, None, 0.0)],
)
def test_a_call_without_settings_is_held_for_a_limited_time(
    intake: Intake, expected: bool, timeout: float | None, seconds: float
) -> None:
    """Guards against calls held past their deadline, and against holding those that are hopeless."""
    intake.expects_settings = lambda: expected
    assert run_virtually(lambda: held_seconds(intake, timeout)) == pytest.approx(seconds, abs=1e-3)
    assert intake.held == 0


def in_virtual_time(intake: Intake, scenario: Callable[[], None]) -> None:
    """Run a scenario that settings in force end after 0.1 s."""

    def run() -> None:
        eventlet.spawn_after(0.1, intake.apply, 7, Tree(), b"7")
        scenario()

    run_virtually(run)


def test_held_calls_continue_once_settings_are_in_force(intake: Intake) -> None:
    """Guards against a refusal, which costs the caller its one retry, just before settings arrive."""

    def scenario() -> None:
        began = now()
        assert intake._await_settings(began + HOLD_SECONDS)
        assert now() - began == pytest.approx(0.1, abs=1e-3)

    in_virtual_time(intake, scenario)


def test_the_number_of_held_calls_is_limited(intake: Intake) -> None:
    """Guards against a daemon that runs out of memory while callers arrive and no settings do."""

    def scenario() -> None:
        until = now() + HOLD_SECONDS
        held = [eventlet.spawn(intake._await_settings, until) for _ in range(MAX_HELD)]
        eventlet.sleep(0)
        assert not intake._await_settings(until)
        assert intake.held == MAX_HELD
        assert all(task.wait() for task in held)

    in_virtual_time(intake, scenario)


def test_settings_are_not_expected_from_a_store_that_failed_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls held in vain while the store is unavailable, or before a document is written."""
    starts.patch_clock(monkeypatch)

    def run() -> None:
        gateway = Site(1, 1, known=True, spread=0.0).gateways[0]
        assert gateway.intake.expects_settings()
        for expected in (True, False):
            gateway.document_feed._record_failure(PlatformUnavailable("503", step="read", peer="store"))
            assert gateway.intake.expects_settings() is expected
        gateway.document_feed.failures = 0
        eventlet.sleep(2.5)
        assert not gateway.intake.expects_settings()

    run_virtually(run)
