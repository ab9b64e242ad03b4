"""Reports of demand: what callers ask of each service, by urgency, over all daemons.

Every daemon counts its own requests and sends the counts with its heartbeats. They are added up as the
loads of servers are (see :mod:`bayglade.totals`): in a small site by every daemon, in a large one by the
readers of each hall. The time until a model is covered again takes the same way, from the daemon that
issues the orders to all others.

See ``docs/design/service_reports.md``.
"""

import heapq
import math
import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import msgspec

from bayglade.calls import Call
from bayglade.clock import DecayingSum, now
from bayglade.entries.wire import Coverage, Heartbeat, ReportSums, ServiceReport
from bayglade.ids import HallName, MemberId, ServiceName
from bayglade.logs import rate_limited

REPORT_MAX_AGE_SECONDS = 3.5
"""How long a report counts: as long as a daemon is considered live without another heartbeat."""
RATE_TIME_CONSTANT = 3.0
"""Time constant of the rates, in seconds: about as long as one request runs."""
MAX_SERVICES = 16
MAX_URGENCIES = 8
MAX_LINES = MAX_SERVICES * MAX_URGENCIES
"""Bound on the lines of one list, so that a heartbeat stays small."""
MAX_VALUE = 1e9
"""Largest credible number in a report: a hundred times what the largest site could serve."""
MAX_SERVICE_CHARS = 200
MAX_RETURNING = 1000
"""Bound on the remembered callers, per service and urgency, that were told to retry."""
MIN_RATE = 0.005
"""Rates below this are sent as zero. A rate of one per second decays to this in 16 s."""
WHOLE_RATE = 10
"""Rates from this on are sent as whole numbers, in 1 to 3 bytes and not 9, with an error below 5 %."""
DEADLINE_GRACE_SECONDS = 5.0
"""Seconds past its deadline after which a request is forgotten whose end was not recorded."""
READER_SUM_SECONDS = 0.5
"""How long a reader uses the sum over other daemons, which report once a second. It hears dozens of
heartbeats a second, and adding up for each would take more processor time than all other messages."""
OVERDUE_SECONDS = 0.1
"""Time until coverage that is stated when the expected moment has passed and the model is not covered."""
MAX_COVERAGE = 2 * MAX_SERVICES
"""Bound on the services whose coverage is remembered; settings may just have replaced all of them."""
COVERAGE_CHANGE_SECONDS = 1.0
"""A change of the expected moment of coverage by more than this is sent at once."""
COVERAGE_MIN_STEP_SECONDS = 0.1
"""Coverage that was computed less than this after the known one is taken for the same message on another
way. Without the bound, the transit time of a message would make it look newer at each hop."""
COVERAGE_MAX_AGE_SECONDS = 7.0
"""Age above which coverage is refused: three hops of a heartbeat interval each, and the time it counts."""
MIN_NOTICE_INTERVAL = 0.25
"""Least seconds between heartbeats sent because coverage changed, so that no daemon can cause a flood."""
COVERED = 0.0

UNKNOWN_MEMBER = MemberId("")

LineKey = tuple[ServiceName, int]
Lines = dict[LineKey, ServiceReport]
"""Reports by service and urgency."""

_WHOLE_FIELDS = ("waiting", "returning")
_RATE_FIELDS = ("offered", "admitted", "refused", "finished")


class _Line:
    """The counters of this daemon for one service and urgency."""

    __slots__ = ("admitted", "finished", "offered", "refused", "returning", "waiting")

    def __init__(self) -> None:
        self.waiting = 0
        self.returning: list[float] = []
        """A heap of the moments at which callers are due, in monotonic seconds."""

        self.offered = DecayingSum(RATE_TIME_CONSTANT)
        self.admitted = DecayingSum(RATE_TIME_CONSTANT)
        self.refused = DecayingSum(RATE_TIME_CONSTANT)
        self.finished = DecayingSum(RATE_TIME_CONSTANT)

    def report(self, key: LineKey, at: float) -> ServiceReport:
        """Return the line as of a moment."""
        while self.returning and self.returning[0] <= at:
            heapq.heappop(self.returning)
        return ServiceReport(
            *key,
            self.waiting,
            len(self.returning),
            *(_rate(sums, at) for sums in (self.offered, self.admitted, self.refused, self.finished)),
        )


class _OpenCall:
    """A request that was offered and has not ended."""

    __slots__ = ("admitted", "call", "line")

    def __init__(self, call: Call, line: _Line) -> None:
        self.call = call
        """Keeps the call alive, so that no other call gets its identity."""

        self.line = line
        self.admitted = False


class _HeardReport:
    """The last reports of one daemon, with the monotonic time of their arrival."""

    __slots__ = ("at", "everywhere", "hall", "own")

    def __init__(self, own: Lines, hall: Lines, everywhere: Lines) -> None:
        self.at = now()
        self.own = own
        self.hall = hall
        self.everywhere = everywhere


class _HeardCoverage:
    """When a service's model is expected to be covered, as another daemon reported it."""

    __slots__ = ("computed_at", "moment", "received_at", "source")

    def __init__(self, moment: float | None, computed_at: float, source: MemberId) -> None:
        self.moment = moment
        """Monotonic seconds; 0.0 while covered, None if it is not known."""

        self.computed_at = computed_at
        self.received_at = now()
        self.source = source


class ServiceReports:
    """The demand that this daemon counts, and that of all others as far as it has heard.

    :param me: this daemon.
    """

    def __init__(self, me: MemberId = UNKNOWN_MEMBER) -> None:
        self.me = me
        self.halls: dict[MemberId, HallName] = {}
        self.readers: Mapping[HallName, Sequence[MemberId]] = {}
        self.own_coverage: Callable[[], Mapping[ServiceName, float | None]] = dict
        """Returns the moment of expected coverage of each service, if this daemon issues the orders."""

        self.on_coverage_change: Callable[[], None] = lambda: None
        """Called when coverage changed so much that others should hear of it at once."""

        self.lines: dict[LineKey, _Line] = {}
        self.open_calls: dict[int, _OpenCall] = {}
        """Requests under way, by the identity of the call."""

        self.heard: dict[MemberId, _HeardReport] = {}
        self.coverage: dict[ServiceName, _HeardCoverage] = {}
        self.sent_coverage: dict[ServiceName, float | None] = {}
        """The own coverage as last sent."""

        self.noticed_at = 0.0
        """When others were last told of a change at once."""

        self.sums = ReportSums()
        """The sums sent with the last heartbeat."""

        self.summed: dict[MemberId, Lines] = {}
        """The lines of each daemon of the hall that are part of these sums."""

        self.others: Lines = {}
        self.others_at = 0.0
        self.others_outdated = True
        self.refused_lines: dict[MemberId, Callable[..., None]] = {}
        """Writes the log lines on refused reports, for each daemon with its own rate limit."""

    def __repr__(self) -> str:
        return f"<ServiceReports of {len(self.heard)} other daemons, {len(self.lines)} lines>"

    def note_offered(self, call: Call) -> None:
        """Count a request that asks for a slot; it waits until it is admitted, refused or finished."""
        if id(call) in self.open_calls:
            return
        line = self._line(call)
        self.open_calls[id(call)] = _OpenCall(call, line)
        line.waiting += 1
        line.offered.add(_tokens(call), now())

    def note_admitted(self, call: Call) -> None:
        """Count a request that got a slot; further slots of the same request do not count."""
        known = self.open_calls.get(id(call))
        if known is None:
            known = self.open_calls[id(call)] = _OpenCall(call, self._line(call))
        elif known.admitted:
            return
        else:
            known.line.waiting -= 1
        known.admitted = True
        known.line.admitted.add(_tokens(call), now())

    def note_refused(self, call: Call, return_in: float | None) -> None:
        """Count a request that was refused for lack of capacity.

        :param call: the request.
        :param return_in: seconds after which its caller was told to retry; None if it will not.
        """
        self._close(call)
        line, at = self._line(call), now()
        line.refused.add(1.0, at)
        if return_in is not None and return_in > 0 and len(line.returning) < MAX_RETURNING:
            heapq.heappush(line.returning, at + return_in)

    def note_rejected(self, call: Call) -> None:
        """Count that a server rejected a request which had got a slot, so that it waits again."""
        known = self.open_calls.get(id(call))
        if known is not None and known.admitted:
            known.admitted = False
            known.line.waiting += 1
            known.line.admitted.add(-_tokens(call), now())

    def note_finished(self, call: Call, answered: bool = True) -> None:
        """Count the end of a request; one that never got a slot only ceases to wait.

        :param call: the request.
        :param answered: whether its answer was complete. Callers that leave a stream which stands still
            do not show how many requests the servers complete.
        """
        known = self._close(call)
        if known is not None and known.admitted and answered:
            known.line.finished.add(1.0, now())

    def own(self) -> list[ServiceReport]:
        """Return the counts of this daemon that are not all zero, the busiest services first."""
        return list(self._own_lines().values())

    def totals(self, service: ServiceName) -> dict[int, ServiceReport]:
        """Return the demand for a service at all daemons heard recently and at this one.

        :param service: the service.
        :return: a line for each urgency with any demand; this daemon's part is as of now.
        """
        return {urgency: line for (name, urgency), line in self.all_totals().items() if name == service}

    def all_totals(self) -> Lines:
        """Return the demand for all services, by service and urgency."""
        return _add_all(self._others(), self._own_lines())

    def daemons(self) -> int:
        """Return the number of daemons whose counts the totals include, with this one.

        Of a hall that is known by the sums of its readers, all daemons in the roster count.
        """
        fresh = self._fresh()
        if not self.readers:
            return len(fresh) + 1
        if not self.is_reader():
            heard = any(reader in fresh for reader in self._hall_readers())
            return max(1, len(self.halls)) if heard else 1
        own_hall = self.halls.get(self.me)
        near = sum(1 for member in fresh if self.halls.get(member) == own_hall)
        far = {h for h, names in self.readers.items() if h != own_hall and any(n in fresh for n in names)}
        return 1 + near + sum(1 for hall in self.halls.values() if hall in far)

    def seconds_until_covered(self, service: ServiceName) -> float | None:
        """Return the expected seconds until every layer of a service's model has a holder.

        :param service: the service.
        :return: 0.0 while covered; None if it is not known.
        """
        own = self.own_coverage()
        if service in own:
            return _seconds_until(own[service])
        known = self._fresh_coverage().get(service)
        return _seconds_until(known.moment) if known is not None else None

    def is_reader(self) -> bool:
        """Return whether this daemon adds up the reports of its hall for others."""
        return self.me in self._hall_readers()

    def assign(
        self, daemons: Mapping[MemberId, HallName], readers: Mapping[HallName, Sequence[MemberId]]
    ) -> None:
        """Set the daemons and their roles.

        :param daemons: all daemons with their halls.
        :param readers: the readers of each hall; empty if every daemon hears from every other.
        """
        self.halls = dict(daemons)
        self.readers = readers
        self.heard = {member: report for member, report in self.heard.items() if member in daemons}
        self.refused_lines = {m: write for m, write in self.refused_lines.items() if m in daemons}
        self.others_outdated = True

    def merge_heartbeat(self, member: MemberId, beat: Heartbeat) -> None:
        """Take in the reports and the coverage that a daemon sent, as far as they are valid."""
        lists = (
            self._read_lines(member, name, getattr(beat, name))
            for name in ("reports", "hall_reports", "all_reports")
        )
        self.heard[member] = _HeardReport(*lists)
        self.others_outdated = True
        self._merge_coverage(member, beat.coverage)

    def update_sums(self) -> None:
        """Compute the sums to send until the next update; called before each round of heartbeats."""
        self._forget_overdue()
        own = self._own_lines()
        if not self.is_reader():
            self.sums, self.summed = ReportSums(list(own.values())), {}
            return
        self.summed = self._hall_lines()
        hall = _add_all(own, *self.summed.values())
        everywhere = _add_all(hall, *self._other_halls())
        self.sums = ReportSums(list(own.values()), _bounded(hall), _bounded(everywhere))

    def for_member(self, member: MemberId) -> ReportSums:
        """Return the sums that another daemon needs.

        The totals for a daemon of the own hall leave out that daemon's own part, which it knows better.

        :param member: the daemon.
        """
        if not self.readers:
            return ReportSums(self.sums.own)
        hall = self.halls.get(member, HallName(""))
        if hall != self.halls.get(self.me):
            return ReportSums([], self.sums.hall, [])
        own = self.sums.own if member in self.readers.get(hall, ()) else []
        everywhere = self.sums.everywhere
        if member in self.summed:
            everywhere = _subtract(everywhere, self.summed[member])
        return ReportSums(own, [], everywhere)

    def coverage_for(self, member: MemberId) -> list[Coverage]:
        """Return the coverage to send to another daemon: the own one, and what a reader forwards.

        Coverage from another hall is forwarded only within the own one, and none to other readers of
        the hall, which get it themselves. So messages do not circulate.

        :param member: the daemon.
        """
        own = self.own_coverage()
        self.sent_coverage = dict(own)
        lines = [Coverage(name, _sent_seconds(moment)) for name, moment in own.items()]
        if not self.is_reader() or member in self._hall_readers():
            return lines[:MAX_SERVICES]
        hall, at = self.halls.get(self.me), now()
        near = self.halls.get(member) == hall
        for name, known in self._fresh_coverage().items():
            forwards = near or self.halls.get(known.source) == hall
            if name not in own and forwards and member != known.source:
                age = max(0.0, at - known.computed_at)
                # Seconds are stated as of the computation, so the receiver subtracts the age again.
                seconds = _sent_seconds(known.moment)
                if seconds > 0:
                    seconds += age
                lines.append(Coverage(name, round(seconds, 2), round(age, 2)))
        return lines[:MAX_SERVICES]

    def check_coverage(self) -> None:
        """Have the own coverage sent at once if it changed; called often."""
        own = self.own_coverage()
        if any(
            name not in self.sent_coverage or _differs(moment, self.sent_coverage[name])
            for name, moment in own.items()
        ):
            self._notify()

    def _line(self, call: Call) -> _Line:
        key = (call.service, call.priority)
        if key not in self.lines:
            self.lines[key] = _Line()
        return self.lines[key]

    def _close(self, call: Call) -> _OpenCall | None:
        known = self.open_calls.pop(id(call), None)
        if known is not None and not known.admitted:
            known.line.waiting -= 1
        return known

    def _forget_overdue(self) -> None:
        """Forget requests whose end was not recorded, and lines without any demand."""
        at = now()
        for known in list(self.open_calls.values()):
            if known.call.deadline + DEADLINE_GRACE_SECONDS < at:
                self._close(known.call)
        used = {id(known.line) for known in self.open_calls.values()}
        for key, line in list(self.lines.items()):
            if id(line) not in used and _is_zero(line.report(key, at)):
                del self.lines[key]

    def _own_lines(self) -> Lines:
        at = now()
        reports = (line.report(key, at) for key, line in self.lines.items())
        lines = {_key(report): report for report in reports if not _is_zero(report)}
        return lines if len(lines) <= MAX_URGENCIES else _busiest(lines)

    def _hall_readers(self) -> Sequence[MemberId]:
        return self.readers.get(self.halls.get(self.me, HallName("")), ())

    def _fresh(self) -> dict[MemberId, _HeardReport]:
        oldest = now() - REPORT_MAX_AGE_SECONDS
        return {member: report for member, report in self.heard.items() if report.at >= oldest}

    def _hall_lines(self) -> dict[MemberId, Lines]:
        """Return the lines of each other daemon of the own hall."""
        hall = self.halls.get(self.me)
        return {m: report.own for m, report in self._fresh().items() if self.halls.get(m) == hall}

    def _other_halls(self) -> list[Lines]:
        """Return the sums of the other halls, as their readers reported them."""
        fresh, sums = self._fresh(), []
        for hall, readers in self.readers.items():
            if hall != self.halls.get(self.me):
                # All readers of a hall report on the same daemons: one of them is enough.
                sums += [fresh[reader].hall for reader in readers if reader in fresh][:1]
        return sums

    def _others(self) -> Lines:
        """Return the sum over all other daemons."""
        age = now() - self.others_at
        outdated = self.others_outdated and not self.is_reader()
        if outdated or age >= READER_SUM_SECONDS:
            self.others, self.others_at, self.others_outdated = self._sum_others(), now(), False
        return self.others

    def _sum_others(self) -> Lines:
        if self.is_reader():
            return _add_all(*self._hall_lines().values(), *self._other_halls())
        fresh = self._fresh()
        if not self.readers:
            return _add_all(*(report.own for report in fresh.values()))
        return next((dict(fresh[r].everywhere) for r in self._hall_readers() if r in fresh), {})

    def _fresh_coverage(self) -> dict[ServiceName, _HeardCoverage]:
        oldest = now() - REPORT_MAX_AGE_SECONDS
        return {name: known for name, known in self.coverage.items() if known.received_at >= oldest}

    def _read_lines(self, member: MemberId, field: str, content: Any) -> Lines:
        """Return the valid lines of a list; the others are refused with a log line."""
        if not isinstance(content, list):
            self._refuse(member, field, "not a list")
            return {}
        lines: Lines = {}
        for item in content[:MAX_LINES]:
            line = _convert(item, ServiceReport)
            wrong = _invalid_field(line) if line is not None else "shape"
            if line is None or wrong is not None:
                self._refuse(member, f"{field}.{wrong}", item)
            elif _key(line) in lines:
                self._refuse(member, f"{field}.urgency", "repeated")
            else:
                lines[_key(line)] = line
        if len(content) > MAX_LINES:
            self._refuse(member, field, f"{len(content)} lines")
        return lines

    def _merge_coverage(self, member: MemberId, content: Any) -> None:
        if not isinstance(content, list):
            self._refuse(member, "coverage", "not a list")
            return
        # Expired coverage is kept while a copy of it on another way would still be taken in.
        oldest = now() - COVERAGE_MAX_AGE_SECONDS
        self.coverage = {
            name: known for name, known in self.coverage.items() if known.received_at >= oldest
        }
        for item in content[:MAX_SERVICES]:
            line = _convert(item, Coverage)
            wrong = _invalid_coverage_field(line) if line is not None else "shape"
            if line is None or wrong is not None:
                self._refuse(member, f"coverage.{wrong}", item)
                continue
            computed_at = now() - line.age
            moment: float | None = computed_at + line.seconds
            if line.seconds <= 0:
                moment = COVERED if line.seconds == 0 else None
            known = self.coverage.get(line.service)
            if known is None and len(self.coverage) >= MAX_COVERAGE:
                self._refuse(member, "coverage", f"{len(self.coverage)} services")
                continue
            if known is not None and computed_at < known.computed_at + COVERAGE_MIN_STEP_SECONDS:
                continue
            self.coverage[line.service] = _HeardCoverage(moment, computed_at, member)
            if self.is_reader() and (known is None or _differs(moment, known.moment)):
                self._notify()

    def _notify(self) -> None:
        """Send coverage at once, unless that happened just now: the next heartbeat has it anyway."""
        if now() - self.noticed_at >= MIN_NOTICE_INTERVAL:
            self.noticed_at = now()
            self.sent_coverage = dict(self.own_coverage())
            self.on_coverage_change()

    def _refuse(self, member: MemberId, field: str, content: object) -> None:
        if member not in self.refused_lines:
            self.refused_lines[member] = rate_limited(1.0)
        self.refused_lines[member](
            "WARNING", "report refused", peer=member, field=field, content=repr(content)[:MAX_SERVICE_CHARS]
        )


def gauge_name(kind: str, service: ServiceName, urgency: int) -> str:
    """Return the name of a gauge for a service and an urgency.

    Characters that Prometheus does not allow in names are replaced.

    :param kind: what is measured, such as ``"waiting"``.
    :param service: the service.
    :param urgency: the urgency; ``-1`` is written as ``minus1``.
    """
    sign = "minus" if urgency < 0 else ""
    return f"{kind}.{re.sub(r'[^A-Za-z0-9_]', '_', service)}.{sign}{abs(urgency)}"


def _tokens(call: Call) -> float:
    # Imported here: modules that wait_queues uses may import this one.
    from bayglade.wait_queues import token_cost

    return token_cost(call)


def _rate(sums: DecayingSum, at: float) -> float:
    """Return a rate per second, short enough to be sent.

    There is no correction for the time since the first event (see :meth:`DecayingSum.rate`): a line is
    often new, and its first request would count as hundreds per second.
    """
    return _short(sums.read(at) / RATE_TIME_CONSTANT)


def _short(value: float) -> float:
    if value < MIN_RATE:
        return 0
    return round(value) if value >= WHOLE_RATE else round(value, 2)


def _key(line: ServiceReport) -> LineKey:
    return line.service, line.urgency


def _is_zero(line: ServiceReport) -> bool:
    return not any(getattr(line, field) for field in (*_WHOLE_FIELDS, *_RATE_FIELDS))


def _add_all(*parts: Lines) -> Lines:
    """Add up lines by service and urgency, within the valid range."""
    # Lists, because a new ServiceReport for each addition would take four times as long.
    sums: dict[LineKey, list[float]] = {}
    for part in parts:
        for key, line in part.items():
            known = sums.get(key)
            if known is None:
                sums[key] = _numbers(line)
                continue
            known[0] += line.waiting
            known[1] += line.returning
            known[2] += line.offered
            known[3] += line.admitted
            known[4] += line.refused
            known[5] += line.finished
    return {key: _make_line(key, numbers) for key, numbers in sums.items()}


def _numbers(line: ServiceReport) -> list[float]:
    return [line.waiting, line.returning, line.offered, line.admitted, line.refused, line.finished]


def _make_line(key: LineKey, numbers: Iterable[float]) -> ServiceReport:
    waiting, returning, *rates = [n if n < MAX_VALUE else MAX_VALUE for n in numbers]
    return ServiceReport(*key, int(waiting), int(returning), *rates)


def _subtract(lines: list[ServiceReport], part: Lines) -> list[ServiceReport]:
    """Return sums without one daemon's part, short enough to be sent."""
    left = []
    for line in lines:
        key = line.service, line.urgency
        known = part.get(key)
        if known is None:
            left.append(line)
            continue
        pairs = zip(_numbers(line), _numbers(known), strict=True)
        rest = [_short(whole - mine) for whole, mine in pairs]
        if any(rest):
            left.append(_make_line(key, rest))
    return left


def _shorten(line: ServiceReport) -> ServiceReport:
    return _make_line((line.service, line.urgency), [_short(number) for number in _numbers(line)])


def _bounded(lines: Lines) -> list[ServiceReport]:
    kept = lines if len(lines) <= MAX_URGENCIES else _busiest(lines)
    return [_shorten(line) for line in kept.values()]


def _busiest(lines: Lines) -> Lines:
    """Return the lines of the services and urgencies with the most demand, within the bounds."""
    by_service: dict[ServiceName, list[ServiceReport]] = {}
    for line in lines.values():
        by_service.setdefault(line.service, []).append(line)
    services = sorted(by_service.values(), key=lambda group: -sum(line.offered for line in group))
    return {
        _key(line): line
        for group in services[:MAX_SERVICES]
        for line in sorted(group, key=lambda line: -line.offered)[:MAX_URGENCIES]
    }


def _convert(item: Any, shape: type[Any]) -> Any:
    """Return an element of a list as a line, or None if it has another shape."""
    try:
        return item if isinstance(item, shape) else msgspec.convert(item, shape)
    except msgspec.ValidationError:
        return None


def _invalid_field(line: ServiceReport) -> str | None:
    """Return the name of the first field with an impossible value."""
    if not 0 < len(line.service) <= MAX_SERVICE_CHARS:
        return "service"
    if abs(line.urgency) > MAX_VALUE:
        return "urgency"
    for field in (*_WHOLE_FIELDS, *_RATE_FIELDS):
        # Comparisons with NaN are false.
        if not 0 <= getattr(line, field) <= MAX_VALUE:
            return field
    return None


def _invalid_coverage_field(line: Coverage) -> str | None:
    if not 0 < len(line.service) <= MAX_SERVICE_CHARS:
        return "service"
    if not math.isfinite(line.seconds) or abs(line.seconds) > MAX_VALUE:
        return "seconds"
    if not 0 <= line.age <= COVERAGE_MAX_AGE_SECONDS:
        return "age"
    return None


def _seconds_until(moment: float | None) -> float | None:
    if moment is None or moment == COVERED:
        return moment
    return max(OVERDUE_SECONDS, moment - now())


def _sent_seconds(moment: float | None) -> float:
    seconds = _seconds_until(moment)
    return -1.0 if seconds is None else round(seconds, 2)


def _differs(moment: float | None, before: float | None) -> bool:
    """Return whether coverage changed so much that it is sent at once."""
    if moment is None or before is None or COVERED in (moment, before):
        return moment != before
    return abs(moment - before) > COVERAGE_CHANGE_SECONDS
