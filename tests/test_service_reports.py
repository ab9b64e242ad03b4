"""Reports of demand and coverage: counts, sums over daemons, and input that must change nothing."""

import math
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgpack
import msgspec
import pytest

from bayglade import logs, service_reports
from bayglade.beliefs import demand_beliefs
from bayglade.clock import now
from bayglade.entries import wire
from bayglade.entries.wire import Coverage, Heartbeat, ServiceReport
from bayglade.gateway import Gateway, create_gateway
from bayglade.ids import HallName, MemberId, Revision, ServiceName
from bayglade.readers import Ranking, needed_streams, plan_readers
from bayglade.service_reports import (
    MAX_LINES,
    MAX_SERVICES,
    MAX_URGENCIES,
    MAX_VALUE,
    REPORT_MAX_AGE_SECONDS,
    ServiceReports,
    gauge_name,
)
from tests.clocks import ManualClock

MODEL = ServiceName("model")
A, B, STRANGER = MemberId("a"), MemberId("b"), MemberId("c")


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    made = ManualClock()
    monkeypatch.setattr(service_reports, "now", made.now)
    monkeypatch.setattr(logs, "now", made.now)
    return made


@pytest.fixture
def refused(monkeypatch: pytest.MonkeyPatch) -> list[tuple[object, object]]:
    """Return the peer and field of each logged refusal."""
    lines: list[tuple[object, object]] = []
    monkeypatch.setattr(
        logs, "event", lambda level, text, **fields: lines.append((fields["peer"], fields["field"]))
    )
    return lines


def a_call(urgency: int = 0, tokens: int = 300, deadline: float = math.inf, service: str = MODEL) -> Any:
    head = SimpleNamespace(prompt_tokens=tokens, max_answer_tokens=0)
    return SimpleNamespace(service=service, priority=urgency, deadline=deadline, head=head)


def beat(**lists: Any) -> Heartbeat:
    return Heartbeat(revision=Revision(1), draining=False, usage=[], leaving=[], held=[], **lists)


def line(**fields: Any) -> ServiceReport:
    return ServiceReport(**{"service": MODEL, "urgency": 0, "waiting": 1, **fields})


def test_a_request_is_counted_once_in_each_state(clock: ManualClock) -> None:
    """Guards against waiting requests that are counted twice, or for ever, however a request ends."""
    reports = ServiceReports(A)
    answered, refused_call, left = a_call(), a_call(), a_call()
    for call in (answered, refused_call, left, answered):
        reports.note_offered(call)
    assert reports.totals(MODEL) == {0: line(waiting=3, offered=300)}
    for _ in range(2):
        reports.note_admitted(answered)
    reports.note_refused(refused_call, 0.7)
    for call in (answered, refused_call, left, answered):
        reports.note_finished(call)
    counts = {"returning": 1, "offered": 300, "admitted": 100, "refused": 0.33, "finished": 0.33}
    assert reports.totals(MODEL) == {0: line(waiting=0, **counts)}
    assert not reports.open_calls
    clock.at += 0.8
    assert reports.totals(MODEL)[0].returning == 0


def test_only_callers_who_come_back_are_expected(clock: ManualClock) -> None:
    """Guards against a forecast that counts callers who were told nothing."""
    reports = ServiceReports(A)
    for seconds in (None, 0.0, 5.0):
        reports.note_refused(a_call(), seconds)
    assert reports.totals(MODEL)[0].returning == 1


def test_rates_decay_and_lines_without_demand_end(clock: ManualClock) -> None:
    """Guards against demand that stays in the sums after it has ended, and against growing memory."""
    reports = ServiceReports(A)
    reports.note_refused(a_call(), None)
    assert reports.totals(MODEL)[0].refused == 0.33
    clock.at += 3.0
    assert reports.totals(MODEL)[0].refused == 0.12
    clock.at += 30.0
    assert reports.totals(MODEL) == {}
    reports.update_sums()
    assert not reports.lines


def test_a_request_whose_end_was_not_recorded_is_forgotten(clock: ManualClock) -> None:
    """Guards against requests that seem to wait for ever if some path through the code loses them."""
    reports = ServiceReports(A)
    reports.note_offered(a_call(deadline=clock.at + 20))
    clock.at += 20 + service_reports.DEADLINE_GRACE_SECONDS + 0.1
    assert reports.totals(MODEL)[0].waiting == 1
    reports.update_sums()
    assert reports.totals(MODEL)[0].waiting == 0
    assert not reports.open_calls


def test_few_daemons_add_up_what_they_hear_until_it_is_old(clock: ManualClock) -> None:
    """Guards against sums that include a daemon which is dead, or was heard before a suspension."""
    reports = ServiceReports(A)
    reports.assign({A: HallName("h"), B: HallName("h")}, {})
    reports.note_offered(a_call())
    reports.merge_heartbeat(B, beat(reports=[line(waiting=4), line(urgency=-1, waiting=2)]))
    assert reports.totals(MODEL)[0].waiting == 5
    assert reports.totals(MODEL)[-1].waiting == 2
    assert reports.daemons() == 2
    clock.at += REPORT_MAX_AGE_SECONDS + 0.1
    assert reports.totals(MODEL)[0].waiting == 1
    assert -1 not in reports.totals(MODEL)
    assert reports.daemons() == 1


@pytest.mark.parametrize("field", ["waiting", "returning", "offered", "admitted", "refused", "finished"])
@pytest.mark.parametrize("value", [-1, math.nan, math.inf, -math.inf, 2e9, 10**12, "many", None, [1]])
def test_absurd_numbers_are_refused(
    clock: ManualClock, refused: list[tuple[object, object]], field: str, value: object
) -> None:
    """Guards against one faulty daemon that stops the admission of a whole site."""
    reports = ServiceReports(A)
    valid = line(urgency=1, waiting=7)
    # As it arrives: an array, not a ServiceReport.
    absurd = list(msgspec.structs.astuple(line()))
    absurd[ServiceReport.__struct_fields__.index(field)] = value
    reports.merge_heartbeat(B, beat(reports=[absurd, valid]))
    assert reports.totals(MODEL) == {1: valid}
    ((peer, named),) = refused
    assert peer == B
    assert named in (f"reports.{field}", "reports.shape")


@pytest.mark.parametrize(
    "content", [None, 7, "lines", {"model": 1}, [None], [7], [[]], [["model"]], [[7, 0]], [["", 0, 1]]]
)
def test_other_shapes_are_refused(
    clock: ManualClock, refused: list[tuple[object, object]], content: object
) -> None:
    """Guards against an error in the reader of a heartbeat, which would end the stream."""
    reports = ServiceReports(A)
    reports.merge_heartbeat(B, beat(reports=content, hall_reports=content, all_reports=content))
    reports.merge_heartbeat(STRANGER, beat(coverage=content))
    assert reports.all_totals() == {}
    assert reports.seconds_until_covered(MODEL) is None
    # One line a second and peer.
    assert [peer for peer, _ in refused] == [B, STRANGER]
    clock.at += 1.1
    reports.merge_heartbeat(B, beat(reports=content))
    assert len(refused) == 3


def test_an_absurd_report_does_not_break_the_stream() -> None:
    """Guards against a daemon that is taken for dead because a line of its report is invalid."""
    payload = msgspec.msgpack.decode(msgspec.msgpack.encode(beat()))
    payload[Heartbeat.__struct_fields__.index("reports") + 1] = {"no": "list"}
    sender, receiver = wire.FrameAuthenticator(b"key"), wire.FrameAuthenticator(b"key")
    content = msgpack.packb(payload)
    opened = receiver.open([sender._digest(content), content])
    assert isinstance(opened, Heartbeat)
    assert opened.revision == 1


def test_daemons_of_the_build_before_understand_heartbeats_and_are_understood() -> None:
    """Guards against an upgrade in which daemons of both builds take each other for dead."""
    fields = Heartbeat.__struct_fields__
    before = fields[: fields.index("reports")]
    new = msgspec.msgpack.decode(msgspec.msgpack.encode(beat(reports=[line()])))
    old = msgspec.msgpack.decode(msgspec.msgpack.encode(beat()))[: len(before) + 1]
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=Heartbeat)
    assert (decoded.reports, decoded.coverage) == ([], [])
    earlier = msgspec.defstruct(
        "Earlier", [(name, Any) for name in before], tag="b", array_like=True, kw_only=True
    )
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=earlier).revision == 1


def test_lists_and_sums_stay_within_their_bounds(
    clock: ManualClock, refused: list[tuple[object, object]]
) -> None:
    """Guards against heartbeats that grow with what callers or other daemons make up."""
    reports = ServiceReports(A)
    reports.assign({A: HallName("h"), B: HallName("h")}, {HallName("h"): (A,)})
    for service in range(MAX_SERVICES + 2):
        for urgency in range(MAX_URGENCIES + 2):
            reports.note_offered(a_call(urgency, 10 + service + urgency, service=f"s{service}"))
    own = reports.own()
    assert len(own) == MAX_LINES
    # Those with the most demand stay.
    assert min(int(report.service[1:]) for report in own) == 2
    assert min(report.urgency for report in own) == 2
    many = [line(service=f"x{n}", offered=1e9) for n in range(MAX_LINES + 1)]
    reports.merge_heartbeat(B, beat(reports=[*many[:MAX_LINES], many[0]]))
    assert refused == [(B, "reports")]
    reports.merge_heartbeat(B, beat(reports=[line(offered=MAX_VALUE), line(offered=1)]))
    reports.note_offered(a_call())
    reports.update_sums()
    # One line for this service, the most for all others.
    assert len(reports.sums.everywhere) == MAX_LINES - MAX_URGENCIES + 1
    assert max(report.offered for report in reports.sums.everywhere) == MAX_VALUE


class Site:
    """A large site whose daemons exchange heartbeats; each second is one round."""

    def __init__(self, clock: ManualClock, halls: str = "xyz", daemons: int = 10) -> None:
        self.clock = clock
        self.halls = {MemberId(f"{hall}{n}"): HallName(hall) for hall in halls for n in range(daemons)}
        self.ranking = Ranking(self.halls)
        self.plans = {name: plan_readers(name, self.ranking, (), ()) for name in self.halls}
        self.daemons = {name: ServiceReports(name) for name in self.halls}
        self.heartbeats = 0
        for name, daemon in self.daemons.items():
            daemon.assign(self.halls, self.plans[name].hall_readers)
            daemon.on_coverage_change = lambda name=name: self.send(name)

    def readers(self, hall: str) -> tuple[MemberId, ...]:
        return next(iter(self.plans.values())).hall_readers[HallName(hall)]

    def follower(self, hall: str) -> MemberId:
        return next(n for n, h in self.halls.items() if h == hall and n not in self.readers(hall))

    def send(self, name: MemberId) -> None:
        daemon = self.daemons[name]
        for other in sorted(needed_streams(name, self.ranking, self.plans[name]) & self.daemons.keys()):
            sums = daemon.for_member(other)
            message = beat(
                reports=sums.own,
                hall_reports=sums.hall,
                all_reports=sums.everywhere,
                coverage=daemon.coverage_for(other),
            )
            self.heartbeats += 1
            received = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Heartbeat)
            self.daemons[other].merge_heartbeat(name, received)

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.clock.at += 1.0
            for daemon in self.daemons.values():
                daemon.update_sums()
            for name in list(self.daemons):
                self.send(name)


def test_every_daemon_of_a_large_site_knows_all_demand_and_its_own_once(clock: ManualClock) -> None:
    """Guards against a daemon whose own requests are missing from its totals, or in them twice."""
    site = Site(clock)
    calls = {name: a_call() for name in site.halls}
    for name, daemon in site.daemons.items():
        daemon.note_offered(calls[name])
    site.run(3)
    for name, daemon in site.daemons.items():
        assert daemon.totals(MODEL)[0].waiting == 30
        assert daemon.daemons() == 30
        # What changes here shows at once, before any heartbeat.
        daemon.note_admitted(calls[name])
        assert daemon.totals(MODEL)[0].waiting == 29
    site.run(3)
    assert {daemon.totals(MODEL)[0].waiting for daemon in site.daemons.values()} == {0}


def test_one_reader_of_each_hall_is_enough(clock: ManualClock) -> None:
    """Guards against sums that lack a hall, or count it twice, after a reader was lost."""
    site = Site(clock)
    for hall in "xyz":
        del site.daemons[site.readers(hall)[0]]
    for daemon in site.daemons.values():
        daemon.note_offered(a_call())
    site.run(3)
    assert {daemon.totals(MODEL)[0].waiting for daemon in site.daemons.values()} == {27}


def test_silent_daemons_leave_the_sums_and_followers_without_readers_use_their_own(
    clock: ManualClock,
) -> None:
    """Guards against decisions by the demand of daemons that have died, or of a hall that is cut off."""
    site = Site(clock)
    for daemon in site.daemons.values():
        daemon.note_offered(a_call())
    site.run(3)
    del site.daemons[site.follower("x")]
    # 3.5 s until its reader leaves it out, and a heartbeat each to the other readers and their followers.
    site.run(6)
    assert {daemon.totals(MODEL)[0].waiting for daemon in site.daemons.values()} == {29}
    for reader in site.readers("y"):
        del site.daemons[reader]
    left = site.daemons[site.follower("y")]
    site.run(3)
    assert left.totals(MODEL)[0].waiting == 29
    site.run(1)
    assert left.totals(MODEL)[0].waiting == 1
    assert left.daemons() == 1


@pytest.mark.parametrize("role", ["follower", "reader"])
def test_coverage_reaches_all_daemons_and_ends_with_its_source(clock: ManualClock, role: str) -> None:
    """Guards against callers who are told a time that nobody computes any more."""
    site = Site(clock)
    source = site.follower("x") if role == "follower" else site.readers("x")[1]
    orders: dict[ServiceName, float | None] = {MODEL: clock.at + 20}
    site.daemons[source].own_coverage = lambda: orders
    site.run(1)
    seconds = [daemon.seconds_until_covered(MODEL) for daemon in site.daemons.values()]
    assert seconds == [pytest.approx(19, abs=0.02)] * 30
    # A change that callers would notice is not held back until the next heartbeat.
    orders[MODEL] = clock.at + 5
    clock.at += 0.4
    site.daemons[source].check_coverage()
    seconds = [daemon.seconds_until_covered(MODEL) for daemon in site.daemons.values()]
    assert seconds == [pytest.approx(4.6, abs=0.02)] * 30
    for moment, expected in ((None, None), (0.0, 0.0)):
        orders[MODEL] = moment
        site.run(1)
        assert {daemon.seconds_until_covered(MODEL) for daemon in site.daemons.values()} == {expected}
    orders.clear()
    site.run(3)
    assert site.daemons[source].seconds_until_covered(MODEL) is None
    site.run(1)
    assert {daemon.seconds_until_covered(MODEL) for daemon in site.daemons.values()} == {None}


def test_a_time_that_has_passed_does_not_count_as_covered(clock: ManualClock) -> None:
    """Guards against callers who are told that the model is covered because loads took longer."""
    reports = ServiceReports(A)
    reports.merge_heartbeat(B, beat(coverage=[Coverage(MODEL, 1.0)]))
    clock.at += 2.0
    assert reports.seconds_until_covered(MODEL) == service_reports.OVERDUE_SECONDS


def test_a_late_copy_does_not_renew_coverage(clock: ManualClock) -> None:
    """Guards against a time that lives on because a second reader forwards it later than the first."""
    reports = ServiceReports(A)
    reports.merge_heartbeat(B, beat(coverage=[Coverage(MODEL, 30.0)]))
    for _ in range(7):
        clock.at += 1.0
        reports.merge_heartbeat(STRANGER, beat(coverage=[Coverage(MODEL, 30.0, clock.at - 100.0)]))
        expected = pytest.approx(130 - clock.at) if clock.at - 100 <= REPORT_MAX_AGE_SECONDS else None
        assert reports.seconds_until_covered(MODEL) == expected
    many = [Coverage(ServiceName(f"s{n}"), 1.0) for n in range(3 * MAX_SERVICES)]
    for start in range(0, len(many), MAX_SERVICES):
        reports.merge_heartbeat(B, beat(coverage=many[start : start + MAX_SERVICES]))
    assert len(reports.coverage) == service_reports.MAX_COVERAGE


def test_changes_of_coverage_cannot_cause_a_flood_of_heartbeats(clock: ManualClock) -> None:
    """Guards against heartbeats to the whole hall for each message of one faulty daemon."""
    site = Site(clock)
    reader = site.readers("x")[0]
    site.run(1)
    before = site.heartbeats
    for n in range(100):
        clock.at += 0.01
        site.daemons[reader].merge_heartbeat(
            site.follower("x"), beat(coverage=[Coverage(MODEL, 50.0 * (n % 2) + 1)])
        )
    rounds = (site.heartbeats - before) / len(needed_streams(reader, site.ranking, site.plans[reader]))
    # The other readers forward each of these once to their followers.
    assert rounds <= 4 * 5


@pytest.mark.parametrize(
    "absurd",
    [[MODEL, math.nan], [MODEL, math.inf], [MODEL, 2e9], [MODEL, 1.0, -1.0], [MODEL, 1.0, 60.0], [1, 1]],
)
def test_absurd_coverage_is_refused(
    clock: ManualClock, refused: list[tuple[object, object]], absurd: list[object]
) -> None:
    """Guards against Retry-After times made of nonsense."""
    reports = ServiceReports(A)
    reports.merge_heartbeat(B, beat(coverage=[Coverage(MODEL, 2.0)]))
    clock.at += 0.5
    reports.merge_heartbeat(B, beat(coverage=[absurd]))
    assert reports.seconds_until_covered(MODEL) == pytest.approx(1.5)
    assert len(refused) == 1


def test_beliefs_show_demand_with_the_admission_gauges(clock: ManualClock) -> None:
    """Guards against gauge names that Prometheus refuses, which would hide all metrics of the daemon."""
    reports = ServiceReports(A)
    service = ServiceName("art-trail")
    reports.note_offered(a_call(-1, service=service))
    name = gauge_name("admission", service, -1)
    assert name == "admission.art_trail.minus1"
    (shown,) = demand_beliefs(reports, {name: 0.25})
    assert (shown.urgency, shown.waiting, shown.admission) == (-1, 1, 0.25)
    assert shown.forecast_seconds is None


def a_gateway(folder: Path, name: str) -> Gateway:
    addresses = dict.fromkeys(("callers", "ready", "metrics", "store"), "127.0.0.1:1")
    settings = {"member": name, "hall": "h", "peer_ports": "1,0", **addresses}
    file = folder / f"{name}.yaml"
    file.write_text(msgspec.json.encode(settings).decode(), encoding="utf-8")
    return create_gateway(file)


def test_the_heartbeats_of_gateways_carry_reports_and_coverage(tmp_path: Path) -> None:
    """Guards against counts that are kept, but never sent or never read."""
    first, second = a_gateway(tmp_path, "a"), a_gateway(tmp_path, "b")
    membership = first.peering._membership(b"secret")
    first.peers.reports.note_offered(a_call())
    first.loader.coverage = {MODEL: now() + 9}  # type: ignore[attr-defined, unused-ignore]
    membership.before_heartbeats()
    message = membership._heartbeat(B)
    second.peering._receive_heartbeat(
        A, msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Heartbeat)
    )
    second.peers.reports.note_offered(a_call(-1))
    assert {u: report.waiting for u, report in second.peers.reports.totals(MODEL).items()} == {0: 1, -1: 1}
    assert second.peers.reports.seconds_until_covered(MODEL) == pytest.approx(9, abs=0.5)
    # Both are readers of their site of one, so they set the gauges, and remove those without demand.
    second._update_demand_gauges()
    assert second.metrics.gauges["waiting.model.0"] == 1
    second.peers.reports.heard.clear()
    second.peers.reports.others_at = 0.0
    second._update_demand_gauges()
    assert "waiting.model.0" not in second.metrics.gauges
    assert second.metrics.gauges["waiting.model.minus1"] == 1
    assert [(d.urgency, d.waiting) for d in second.beliefs().demand] == [(-1, 1)]
