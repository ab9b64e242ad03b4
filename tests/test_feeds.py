"""Feeds: the age of the local copy, and recovery after failures."""

from collections import Counter

import eventlet
import msgspec
import pytest

from bayglade import feeds
from bayglade.exceptions import HistoryGone, PlatformUnavailable
from bayglade.feeds import MAX_AGE_IN_WAITS, MAX_RETRY_DELAY, SECONDARY_RETRY_DELAY, Feed, link_feeds
from bayglade.rows import Changes, Position

WAIT = 2.0
ROUND_TRIP = 0.001
ROW = {"key": msgspec.Raw(b"1")}


class ScriptedStore:
    """A store that gives scripted answers, and the clock that they advance.

    An answer is the seconds it takes (None for the whole wait) and its content.
    """

    def __init__(self, *answers: tuple[float | None, object]) -> None:
        self.at = 100.0
        self.answers = list(answers)
        self.waits: list[float] = []
        self.snapshots = 0

    def now(self) -> float:
        return self.at

    def snapshot(self, table: str) -> Changes:
        self.snapshots += 1
        return Changes({}, 1)

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        self.waits.append(wait)
        seconds, content = self.answers.pop(0)
        self.at += wait + ROUND_TRIP if seconds is None else seconds
        if isinstance(content, Exception):
            raise content
        return Changes(content, after.version + 1)  # type: ignore[arg-type]


@pytest.fixture
def follow(monkeypatch: pytest.MonkeyPatch):  # type: ignore[no-untyped-def]
    def start(*answers: tuple[float | None, object]) -> tuple[Feed, ScriptedStore]:
        script = ScriptedStore(*answers)
        monkeypatch.setattr(feeds, "now", script.now)
        feed = Feed(script, "t", WAIT, lambda changes, whole: None)
        feed._poll()
        for _ in answers:
            try:
                feed._poll()
            except PlatformUnavailable as error:
                feed._record_failure(error)
            except HistoryGone:
                feed.position = None
        return feed, script

    return start


def test_a_wait_without_changes_confirms_the_copy_up_to_its_end(follow) -> None:  # type: ignore[no-untyped-def]
    feed, _ = follow((None, {}))
    assert feed.age() == pytest.approx(ROUND_TRIP)


def test_an_early_answer_confirms_the_copy_as_of_when_the_call_was_sent(follow) -> None:  # type: ignore[no-untyped-def]
    feed, _ = follow((0.5, {}))
    assert feed.age() == pytest.approx(0.5)


def test_after_a_late_change_the_next_wait_is_shorter(follow) -> None:  # type: ignore[no-untyped-def]
    # Without the shorter wait, settings grew too old for keys after each such change on khangai scale-1.
    feed, script = follow((1.9, ROW), (None, {}))
    assert script.waits[1] == pytest.approx(MAX_AGE_IN_WAITS * WAIT - 1.9)
    assert feed.age() == pytest.approx(ROUND_TRIP)


def test_the_age_stays_within_its_bound_while_the_store_answers(follow) -> None:  # type: ignore[no-untyped-def]
    answers = [(seconds, ROW) for seconds in (1.9, 0.6, 0.05, 1.8, 0.7, 1.99, 0.5)]
    for count in range(1, len(answers) + 1):
        feed, script = follow(*answers[:count])
        assert all(wait <= WAIT for wait in script.waits)
        assert feed.age() <= MAX_AGE_IN_WAITS * WAIT


def test_failed_calls_do_not_reset_the_age(follow) -> None:  # type: ignore[no-untyped-def]
    feed, _ = follow((1.0, PlatformUnavailable("busy")), (1.0, PlatformUnavailable("busy")))
    assert feed.age() == pytest.approx(2.0)
    assert feed.failing_since is not None


def test_a_snapshot_is_read_when_the_history_is_gone(follow) -> None:  # type: ignore[no-untyped-def]
    feed, script = follow((0.1, HistoryGone("gone")), (0.1, {}))
    assert script.snapshots == 2
    assert feed.position is not None
    assert feed.position.version == 1


class LostStore:
    """A store that is unavailable at first and then recovers."""

    def __init__(self) -> None:
        self.lost = True
        self.calls: Counter[str] = Counter()

    def snapshot(self, table: str) -> Changes:
        self.calls[table] += 1
        if self.lost:
            raise PlatformUnavailable("no answer", step="read", peer="store")
        return Changes({}, 1)

    def changes(self, table: str, after: Position, wait: float) -> Changes:
        eventlet.sleep(wait)
        return Changes({}, after.version)


def test_one_feed_probes_a_lost_store_and_wakes_the_others() -> None:
    store = LostStore()
    linked = [Feed(store, name, WAIT, lambda changes, whole: None) for name in ("first", "b", "c")]
    link_feeds(linked)
    for feed in linked:
        feed.start()
    eventlet.sleep(SECONDARY_RETRY_DELAY * 0.6)
    assert store.calls["first"] >= 4
    # Each called once when the store was lost, and once more because another feed found it lost too.
    assert max(store.calls["b"], store.calls["c"]) <= 3
    store.lost = False
    eventlet.sleep(MAX_RETRY_DELAY + 0.2)
    assert [feed.failing_since for feed in linked] == [None] * 3
    for feed in linked:
        assert feed.task is not None
        feed.task.kill()


OUTAGE_SECONDS = 1.8


def outage_noted(*answers: tuple[float | None, object], follow, told: float | None = None) -> bool:  # type: ignore[no-untyped-def]
    feed, script = follow((None, {}))
    feed.min_outage = OUTAGE_SECONDS
    script.answers = list(answers)
    for _ in answers:
        try:
            feed._poll()
        except PlatformUnavailable as error:
            feed._record_failure(error)
    if told is not None:
        feed.receive(Changes({}, 9), feed.position, script.at, script.at - told)
    return feed.recovered_at > 0


DOWN = PlatformUnavailable("the connection was reset")


def test_one_connection_that_breaks_is_no_outage_of_the_store(follow) -> None:  # type: ignore[no-untyped-def]
    # A server that left was kept in use for 2 s by all daemons, because one had lost a connection.
    assert not outage_noted((0.7, DOWN), (0.05, ROW), follow=follow)


def test_an_outage_in_which_entries_may_expire_is_noted(follow) -> None:  # type: ignore[no-untyped-def]
    assert outage_noted((0.7, DOWN), (0.5, DOWN), (0.7, ROW), follow=follow)


@pytest.mark.parametrize(("silent_seconds", "noted"), [(0.6, False), (3.0, True)])
def test_an_outage_that_another_daemon_tells_of_counts_if_nothing_was_heard_meanwhile(  # type: ignore[no-untyped-def]
    follow, silent_seconds: float, noted: bool
) -> None:
    assert outage_noted((silent_seconds, DOWN), follow=follow, told=0.1) is noted
