"""The forecast of room: who waits, who is refused at once, and what a refused caller is told.

After a loss of coverage, callers were told to come back in half a second, whenever that was, or after the
queue of one daemon of many. They come back once, so most of them were lost.
"""

import math
import random
from types import SimpleNamespace
from typing import Any

import eventlet
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade import path_waiting, room_forecast, streams
from bayglade.clock import now
from bayglade.entries.wire import ServiceReport
from bayglade.exceptions import BackendError, BaygladeError, NoRoute, Overloaded
from bayglade.relay import MAX_SENDS
from bayglade.retries import jittered_retry_after
from bayglade.room_forecast import (
    CapacityEstimates,
    RoomForecast,
    StreamProgress,
    completion_rate,
    expected_remaining,
    retry_after,
)
from tests.room_replay import Replay
from tests.test_begun_streams import Scene
from tests.test_tiling import SERVICE

SEEDS = 3


def report(urgency: int = 0, waiting: int = 0, returning: int = 0, finished: float = 0.0) -> ServiceReport:
    return ServiceReport(SERVICE, urgency, waiting=waiting, returning=returning, finished=finished)


def forecast(*reports: ServiceReport, covered_in: float = 0.0, rate: float = 10.0) -> RoomForecast:
    return RoomForecast({item.urgency: item for item in reports}, covered_in, rate)


def test_there_is_room_at_once_where_nothing_is_ahead() -> None:
    """Guards against waits and refusals while the model is covered and nobody waits."""
    assert forecast().seconds_until_room(0) == 0.0
    assert forecast(report(-1, waiting=50)).seconds_until_room(0) == 0.0
    assert forecast(report(0, waiting=50), rate=0.0).seconds_until_room(0) == 0.0


def test_promised_returns_and_more_urgent_requests_are_ahead() -> None:
    """Guards against telling later callers a time that was promised to earlier or more urgent ones."""
    site = forecast(report(0, 10, 20), report(-1, 30, 40), covered_in=4.0)
    assert site.seconds_until_room(0) == 7.0
    assert site.seconds_until_room(-1) == 14.0


def test_a_caller_that_comes_back_goes_before_those_told_later_times() -> None:
    """Guards against refusing a caller at the very time it was told."""
    site = forecast(report(0, 10, 500), report(-1, 5, 500))
    assert site.seconds_until_room(0, returned=True) == 1.0
    assert site.seconds_until_room(-1, returned=True) == 51.5


@pytest.mark.parametrize(
    ("aim", "gap_aim", "seconds"), [(0.5, 0.25, 1.5), (1.0, 0.25, 3.0), (0.5, 0.5, 3.0)]
)
def test_a_request_waits_for_three_quarters_of_its_callers_patience(
    aim: float, gap_aim: float, seconds: float
) -> None:
    """Guards against refusing callers that stay longer, and against waits after they left."""
    endpoint: Any = SimpleNamespace(aim=aim, gap_aim=gap_aim)
    assert path_waiting.max_wait_seconds(endpoint) == seconds


@given(st.floats(0.0, 1e6), st.floats(0.0, 1e6), st.integers())
def test_a_retry_after_is_one_that_callers_honour(seconds: float, left: float, seed: int) -> None:
    """Guards against times that callers ignore, and against returns before there is room."""
    told = retry_after(seconds, left, random.Random(seed))
    assert told <= left / 3
    assert told >= min(0.33 * left, max(0.3, seconds))
    assert told <= 1.1 * max(0.3, seconds)


@given(st.floats(1.0, 1e4), st.floats(0.0, 1e7), st.floats(1.0, 2.0))
def test_the_expected_rest_of_an_answer_is_finite_and_the_total_grows(
    hint: float, made: float, factor: float
) -> None:
    """Guards against overflow far out in the tail, and against answers that are expected to shrink."""
    rest = expected_remaining(hint, made)
    assert 0.0 <= rest < math.inf
    assert factor * made + expected_remaining(hint, factor * made) >= (made + rest) * (1 - 1e-9)


def test_the_expected_rest_is_the_mean_of_the_answers_that_last_so_long() -> None:
    """Guards against taking an answer that outlasts its estimate for one that is nearly done."""
    rng = random.Random(1)
    lengths = [100.0 * math.exp(rng.gauss(0.0, room_forecast.LENGTH_SPREAD)) for _ in range(100_000)]
    for made in (0.0, 50.0, 100.0, 300.0):
        rests = [length - made for length in lengths if length > made]
        assert expected_remaining(100.0, made) == pytest.approx(sum(rests) / len(rests), rel=0.05)
    assert expected_remaining(100.0, 1000.0) > expected_remaining(100.0, 300.0)


def test_the_rate_follows_running_streams_when_few_finish() -> None:
    """Guards against rates near zero after an interruption, when all servers are busy again."""
    assert completion_rate(24.0, 75, 3.0) == 24.0
    assert completion_rate(1.0, 75, 3.0) == 25.0
    assert completion_rate(1.0, 0, 3.0) == 1.0
    assert completion_rate(1.0, 75, None) == 1.0


def test_streams_that_stand_still_do_not_count_as_about_to_end() -> None:
    """Guards against requests that wait in vain for the places of streams behind a lost server."""
    capacity, at = CapacityEstimates(), now()
    done = StreamProgress(100.0)
    capacity.begin(SERVICE, done)
    done.note(1, at)
    done.note(100, at + 3.0)
    capacity.end(SERVICE, done, at + 3.0)
    stuck, running = StreamProgress(1000.0), StreamProgress(1000.0)
    for stream in (stuck, running):
        capacity.begin(SERVICE, stream)
    for step in range(100):
        running.note(1, at + 0.03 * step)
        if step < 50:
            stuck.note(1, at + 0.03 * step)
    usual = capacity.seconds_left(SERVICE, at + 1.5)
    for step in range(200):
        running.note(1, at + 3.0 + 0.03 * step)
    late = capacity.seconds_left(SERVICE, at + 9.0)
    assert usual is not None and late is not None
    assert late > 1.5 * usual


def test_the_rate_and_the_pace_outlast_an_interruption() -> None:
    """Guards against forgetting the rate when all streams break off before the loss is known."""
    capacity = CapacityEstimates()
    at = now()
    for _ in range(10):
        stream = StreamProgress(100.0)
        capacity.begin(SERVICE, stream)
        stream.note(1, at)
        stream.note(100, at + 3.0)
        capacity.end(SERVICE, stream, at + 3.0)
    capacity.begin(SERVICE, StreamProgress(100.0))
    assert capacity.seconds_left(SERVICE, at) == pytest.approx(0.03 * expected_remaining(100.0, 0.0))
    for seconds, rate in enumerate((30.0, 30.0, 20.0, 5.0)):
        capacity.note_rate(SERVICE, rate, at + seconds)
    assert capacity.remembered_rate(SERVICE) == pytest.approx(30.0, rel=0.1)


def replay(use_forecast: bool, arrivals_end: float, **options: Any) -> tuple[float, float]:
    """Return the share of callers served at the first or second attempt, and the second refusals."""
    served = callers = refused_again = 0
    for seed in range(SEEDS):
        made = Replay(use_forecast, seed, **options)
        made.run(lambda at: 50.0 if at < arrivals_end else 0.0, arrivals_end + 14.0)
        served += sum(made.served.values())
        callers += sum(made.callers.values())
        refused_again += made.refused_again
    return served / callers, refused_again / SEEDS


@pytest.mark.parametrize(
    ("arrivals_end", "remembered", "least", "most_again"),
    [(4.0, 25.0, 0.93, 20), (4.0, 50.0, 0.65, 80), (12.0, 25.0, 0.66, 220)],
    ids=["rate known", "rate halved by the loss", "overload after it"],
)
def test_callers_refused_during_a_loss_come_back_when_there_is_room(
    arrivals_end: float, remembered: float, least: float, most_again: float
) -> None:
    """Guards against losing the callers of a loss: 4 s without coverage, 50 arrivals a second, 20 daemons.

    Afterwards 25 requests a second end. In the last case callers exceed the capacity: 0.71 can be served.
    """
    before, again_before = replay(False, arrivals_end, remembered=remembered)
    share, again = replay(True, arrivals_end, remembered=remembered)
    assert share >= max(least, before + 0.1)
    assert again <= min(most_again, again_before)


class Reports:
    """Reports of other daemons, as the test sets them, and what this daemon counted."""

    def __init__(self) -> None:
        self.sums: dict[int, ServiceReport] = {}
        self.covered_in: float | None = 0.0
        self.counted: list[str] = []
        self.returns: list[float] = []
        self.recorded: list[tuple[str, float | None]] = []

    def note_offered(self, call: Any) -> None:
        self.counted.append("offered")

    def note_admitted(self, call: Any) -> None:
        self.counted.append("admitted")

    def note_rejected(self, call: Any) -> None:
        self.counted.append("rejected")

    def note_finished(self, call: Any, answered: bool = True) -> None:
        if "admitted" in self.counted:
            self.counted.append("finished")

    def note_refused(self, call: Any, return_in: float | None) -> None:
        self.counted.append("refused")
        self.returns.append(return_in)

    def totals(self, service: Any) -> dict[int, ServiceReport]:
        return self.sums

    def daemons(self) -> int:
        return 20

    def seconds_until_covered(self, service: Any) -> float | None:
        return self.covered_in

    def note(self, request: Any, *, reason: str, expected_wait: float | None) -> None:
        self.recorded.append((reason, expected_wait))


class Site(Scene):
    """A daemon that hears of others."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__(monkeypatch)
        self.reports = Reports()
        self.reports.sums = {0: report(finished=10.0)}
        self.context.reports = self.context.refusals = self.reports
        self.context.capacity.created_at -= 60.0
        self.resumed = False

    def call(self, seconds: float = 10.0, group: str = "g") -> Any:
        call = super().call(seconds, group)
        call.endpoint.aim, call.endpoint.gap_aim = 0.5, 0.25
        if self.resumed:
            call.head = msgspec.structs.replace(call.head, last_event=3)
        return call

    def refusal(self, task: Any, within: float) -> BaygladeError:
        with eventlet.Timeout(within):
            task.wait()
        assert self.error is not None
        return self.error


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Any:
    made = Site(monkeypatch)
    yield made
    made.stop()


def test_a_request_waits_for_layers_that_come_within_its_callers_wait(site: Site) -> None:
    """Guards against refusing callers moments before the model is covered."""
    site.unload()
    site.reports.covered_in = 0.6
    task = site.start()
    eventlet.sleep(0.1)
    assert site.error is None
    site.unload(None)
    with eventlet.Timeout(2.0):
        task.wait()
    assert site.error is None
    assert site.reports.counted == ["offered", "admitted", "finished"]


def test_a_request_is_told_when_layers_come_that_its_caller_cannot_wait_for(site: Site) -> None:
    """Guards against Retry-After times of half a second while the layers take four."""
    site.unload()
    site.reports.covered_in = 4.0
    error = site.refusal(site.start(seconds=20.0), 0.5)
    assert isinstance(error, NoRoute)
    assert error.retry_after is not None
    assert 4.0 <= error.retry_after <= 4.4
    assert site.reports.returns == [error.retry_after]
    assert site.reports.recorded == [("no server can run this request now", 4.0)]
    assert site.reports.counted == ["offered", "refused"]


def test_a_request_behind_a_long_queue_of_the_site_is_refused_at_once(site: Site) -> None:
    """Guards against waits in vain behind the queues of other daemons, and times beyond a third."""
    site.fill()
    site.reports.sums = {0: report(waiting=40, returning=20, finished=10.0)}
    error = site.refusal(site.start(seconds=9.0), 0.5)
    assert isinstance(error, Overloaded)
    assert error.retry_after == pytest.approx(2.97, abs=0.03)


def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once(site: Site) -> None:
    """Guards against holding a request until its deadline."""
    site.fill()
    error = site.refusal(site.start(seconds=0.4), 0.2)
    assert isinstance(error, Overloaded)


def test_a_waiting_request_is_refused_when_it_becomes_hopeless(site: Site) -> None:
    """Guards against waits to the end in vain: the layers take longer than was expected."""
    site.unload()
    site.reports.covered_in = 1.0
    since = now()
    task = site.start(seconds=20.0)
    eventlet.sleep(0.1)
    assert site.wait_queues.waiting() == 1
    site.reports.covered_in = 5.0
    error = site.refusal(task, 1.4)
    assert now() - since < 1.3
    assert isinstance(error, NoRoute)
    assert error.retry_after is not None and error.retry_after >= 5.0


def test_a_request_that_all_servers_refuse_is_told_the_forecast(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the least Retry-After where servers refuse what daemons took for free."""
    monkeypatch.setattr(streams, "FULL_STAGE_SECONDS", 0.0)

    def refuse_and_hear() -> None:
        site.reports.sums = {0: report(waiting=20, finished=10.0)}
        site.refuse()

    error = site.refusal(site.start(*[refuse_and_hear] * MAX_SENDS), 2.0)
    assert isinstance(error, Overloaded)
    assert error.retry_after is not None and 2.0 <= error.retry_after <= 2.2


def test_a_request_becomes_hopeless_wherever_in_the_queue_it_is(site: Site) -> None:
    """Guards against checks of the first in the queue only."""
    calls = [site.call() for _ in range(3)]
    tasks = [
        eventlet.spawn(
            site.wait_queues.wait, call, lambda: None, now() + 5.0, is_hopeless=lambda n=number: n == 1
        )
        for number, call in enumerate(calls)
    ]
    site.tasks += tasks
    eventlet.sleep(0)
    site.wait_queues.give_up_hopeless()
    eventlet.sleep(0)
    assert [task.dead for task in tasks] == [False, True, False]
    assert site.wait_queues.waiting() == 2


def test_a_caller_that_came_back_is_not_expected_again(site: Site) -> None:
    """Guards against keeping room for callers that retry no more."""
    site.fill()
    site.reports.sums = {0: report(waiting=60, finished=10.0)}
    first = site.refusal(site.start(seconds=9.0), 0.5)
    site.refusal(site.start(seconds=9.0), 0.5)
    site.refusal(site.start(seconds=8.0), 0.5)
    assert site.reports.returns == [first.retry_after, pytest.approx(2.97, abs=0.03), None]


def test_a_change_of_deadlines_is_followed(site: Site) -> None:
    """Guards against taking all callers for returning ones once they state shorter deadlines."""
    capacity, at = CapacityEstimates(), now()
    for seconds, deadline in ((0.0, 20.0), (10.0, 5.0), (70.0, 5.0), (140.0, 5.0)):
        call = site.call(deadline)
        call.arrived, call.deadline = at + seconds, at + seconds + deadline
        capacity.note_deadline(call)
        assert capacity.is_returning(call) == (seconds in (10.0, 70.0))


def test_a_call_that_may_have_run_is_not_refused_as_not_run(site: Site) -> None:
    """Guards against promising that a request has not run after a connection broke."""

    def break_and_unload() -> None:
        site.unload()
        site.reports.covered_in = 4.0
        raise BackendError("the connection broke", step="receive", peer="s")

    error = site.refusal(site.start(break_and_unload), 2.0)
    assert type(error) is BackendError
    assert site.reports.counted == ["offered", "admitted", "finished"]


def test_a_call_that_is_not_admitted_is_refused_where_there_is_no_room(site: Site) -> None:
    """Guards against less urgent calls in the queue, refusals beside free places, and resumed streams."""
    asked: list[Any] = []

    class Nobody:
        def admits(self, call: Any) -> bool:
            asked.append(call)
            return False

    site.context.admission = Nobody()
    task = site.start()
    with eventlet.Timeout(2.0):
        task.wait()
    assert (site.error, site.attempts, len(asked)) == (None, 1, 0)
    site.fill()
    site.reports.counted.clear()
    error = site.refusal(site.start(), 0.5)
    assert isinstance(error, Overloaded)
    assert error.retry_after is not None and 2.0 <= error.retry_after <= 2.2
    assert (site.attempts, len(asked)) == (1, 1)
    assert site.reports.counted == ["offered", "refused"]
    site.error, site.resumed = None, True
    site.refusal(site.start(), 3.0)
    assert len(asked) == 1


@pytest.mark.parametrize("layers", [True, False])
def test_without_sums_a_refusal_is_as_before(site: Site, layers: bool) -> None:
    """Guards against guesses where nothing is known of other daemons or of coverage."""
    site.reports.sums, site.reports.covered_in = {}, None
    if layers:
        site.fill()
    else:
        site.unload()
    error = site.refusal(site.start(), 0.5)
    expected = jittered_retry_after(0.3 if layers else 0.5, random.Random(1))
    assert type(error) is (Overloaded if layers else NoRoute)
    assert error.retry_after == pytest.approx(expected)
