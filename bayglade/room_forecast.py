"""Forecast of when there is room for a request, from the reports of all daemons.

The same forecast decides whether a request waits or is refused, and what a refused caller is told. The
functions and :class:`RoomForecast` are pure; :class:`CapacityEstimates` is what one daemon remembers of
its own streams and of the completion rate. See ``docs/design/room_forecast.md``.
"""

import math
import random
from collections.abc import Iterable, Mapping

import msgspec

from bayglade.calls import Call
from bayglade.clock import DecayingSum, now
from bayglade.endpoints import Endpoint
from bayglade.entries.wire import ServiceReport
from bayglade.ids import ServiceName

LENGTH_SPREAD = 0.7
"""Standard deviation of the logarithm of an answer's length around the caller's estimate. The estimate is
right in the median and often far off; this value makes one answer in six more than twice as long."""
MIN_RETRY_AFTER = 0.3
"""Least Retry-After in seconds: about the time until a place is free."""
MAX_RETRY_FRACTION = 0.33
"""Callers honour a Retry-After up to a third of the time left until their deadline. Theirs is a little
shorter than what this daemon knows, by the time that request and answer travel."""
RETRY_SPREAD = 0.1
"""Random part of a Retry-After. Callers are already spread by the requests ahead of each."""
ADMISSION_RETRY_SECONDS = 2.0
"""Least time in seconds after which a call that was not admitted may be: admission opens again after two
seconds in which no request waited or was refused."""
RETURNING_SECONDS = 0.5
"""A call whose deadline is this much shorter than that of others to its endpoint has a caller that was
refused before."""
DEADLINE_WINDOW_SECONDS = 60.0
"""The longest deadline of an endpoint's calls is that of the last one to two windows of this length: long
enough to see first attempts, short enough to follow callers that change theirs."""
REPORT_AGE_SECONDS = 0.5
"""Mean age of the counts of other daemons, which send them each second. What they refused meanwhile is
counted at the reported rate; otherwise all callers refused in that time would be told the same time."""
FEW_FINISHED_FRACTION = 0.6
"""If the reported completions are below this fraction of the rate at which running streams are expected to
end, they are too few to count. After an interruption the decaying sums need some seconds to rise again.
Above it both agree, because the expected rate of streams of all ages is up to a quarter too high."""
RATE_MEMORY_SECONDS = 30.0
"""Time constant with which a remembered completion rate decays while requests are served. Completions
become fewer some seconds before a loss of coverage is known, and must not replace the rate before it."""
SAMPLE_SECONDS = 1.0
"""Interval at which the completion rate is sampled: other daemons report at the same interval."""
RECENT_PACE_SECONDS = 2.0
"""Time constant of the events that a stream got recently. A stream that stands still for about this long is
abandoned by its caller or moved to another stage."""
MIN_PACE_FRACTION = 0.05
"""Least pace of running streams, as a fraction of their usual one, so that the time left stays finite."""
START_SECONDS = 5.0
"""For how long after its start a daemon does not trust the completion rate. After a restart of all daemons,
the first streams take some seconds to end, and callers would be told times ten times too late."""
MEASURE_SECONDS = 0.25
"""For how long a measured completion rate is used again. Measuring takes time in proportion to the number
of servers, 5 ms for 1,300, and the counts of other daemons arrive each second."""
AFTER_LOSS_SECONDS = 4.0
"""For how long after a loss of coverage the rate is at least the remembered one: heartbeats and decaying
sums show the streams that run again some seconds late."""
PACE_SECONDS = 30.0
"""Time constant of the measured seconds per token; it outlasts an interruption of all streams."""


class RoomForecast(msgspec.Struct, frozen=True):
    """When there is room for further requests to one service."""

    totals: Mapping[int, ServiceReport]
    """The sums over all daemons, by urgency."""

    covered_in: float
    """Seconds until every layer has a holder that accepts requests; zero while all have."""

    rate: float
    """Requests per second that end over all daemons once the model is covered; zero if not known."""

    def requests_ahead(self, urgency: int, returned: bool, counted: bool = False) -> float:
        """Return how many requests go before a further one.

        :param urgency: its urgency; higher goes first.
        :param counted: whether the request is among those that wait by the sums.
        :param returned: whether its caller was refused before and has come back. It then goes before those
            of its urgency that have not come back yet, because they were told later times.
        """
        ahead = 0.0
        for other, report in self.totals.items():
            if other < urgency:
                continue
            ahead += report.waiting
            if not returned or other > urgency:
                ahead += report.returning + REPORT_AGE_SECONDS * report.refused
        return max(0.0, ahead - 1.0) if counted else ahead

    def seconds_until_room(self, urgency: int, returned: bool = False, counted: bool = False) -> float:
        """Return when a further request gets a place.

        Nothing ends while the model is not covered, so those ahead are served after that.

        :param urgency: its urgency; higher goes first.
        :param returned: whether its caller was refused before and has come back.
        :param counted: whether the request is among those that wait by the sums.
        :return: seconds; zero if nothing is ahead and the model is covered.
        """
        return self.covered_in + self._seconds_for(self.requests_ahead(urgency, returned, counted))

    def is_hopeless(self, urgency: int, seconds: float) -> bool:
        """Return whether a request that waits already gets no place within some seconds.

        Only what certainly goes before it counts: the sums do not tell which of the requests of its own
        urgency came after it.
        """
        urgent = sum(report.waiting for other, report in self.totals.items() if other > urgency)
        return self.covered_in + self._seconds_for(urgent) > seconds

    def _seconds_for(self, requests: float) -> float:
        return requests / self.rate if self.rate > 0 else 0.0


def retry_after(seconds: float, seconds_left: float, rng: random.Random) -> float:
    """Return the Retry-After for a refused caller.

    :param seconds: when there is room, in seconds.
    :param seconds_left: time left until its deadline.
    :param rng: source of the spread.
    """
    spread = max(MIN_RETRY_AFTER, seconds) * (1.0 + RETRY_SPREAD * rng.random())
    return min(spread, MAX_RETRY_FRACTION * max(0.0, seconds_left))


def abandon_seconds(endpoint: Endpoint) -> float:
    """Return after which time without an event the caller of a stream leaves."""
    return max(2.0, 4.0 * endpoint.aim, 8.0 * endpoint.gap_aim)


def expected_remaining(hint: float, made: float) -> float:
    """Return how many tokens an answer is expected to have left.

    Lengths are log-normal with the median at the hint. For those that outlast it, the expected rest grows.

    :param hint: the caller's estimate of the whole length, in tokens.
    :param made: tokens made so far.
    """
    hint = max(1.0, hint)
    mean = hint * math.exp(LENGTH_SPREAD**2 / 2)
    if made <= 0:
        return mean
    distance = math.log(made / hint) / LENGTH_SPREAD
    longer = math.erfc(distance / math.sqrt(2))
    if longer < 1e-250:
        # The probability of such a length is not representable; this is the limit of the quotient.
        return made * LENGTH_SPREAD / distance
    return max(0.0, mean * math.erfc((distance - LENGTH_SPREAD) / math.sqrt(2)) / longer - made)


def completion_rate(finished: float, running: int, seconds_left: float | None) -> float:
    """Estimate how many requests per second end over all daemons while the model is covered.

    :param finished: reported requests per second that ended.
    :param running: requests that run, at all daemons.
    :param seconds_left: mean expected time left of a running request, if it is known.
    """
    if not running or not seconds_left:
        return finished
    expected = running / seconds_left
    return finished if finished >= FEW_FINISHED_FRACTION * expected else expected


class StreamProgress:
    """How far one stream is, in tokens and monotonic seconds.

    :param hint: expected tokens of its answer.
    """

    __slots__ = ("admitted", "begun_at", "hint", "made", "recent")

    def __init__(self, hint: float) -> None:
        self.admitted = False
        """Whether it had a place."""

        self.hint = hint
        self.made = 0
        self.begun_at: float | None = None
        """When its first event arrived."""

        self.recent = DecayingSum(RECENT_PACE_SECONDS)

    def __repr__(self) -> str:
        return f"<StreamProgress {self.made} of {self.hint}>"

    def recent_pace(self, at: float) -> float | None:
        """Return the tokens per second of the last seconds; None until it has run for as long."""
        if self.begun_at is None or at - self.begun_at < RECENT_PACE_SECONDS:
            return None
        seen = 1.0 - math.exp(-(at - self.begun_at) / RECENT_PACE_SECONDS)
        return self.recent.read(at) / (RECENT_PACE_SECONDS * seen)

    def note(self, events: int, at: float) -> None:
        """Record that events arrived."""
        if self.begun_at is None:
            self.begun_at = at
        self.made += events
        self.recent.add(float(events), at)


class LongestDeadline:
    """The longest time until the deadline of recent calls to one endpoint, in seconds."""

    __slots__ = ("before", "current", "since")

    def __init__(self) -> None:
        self.before = 0.0
        self.current = 0.0
        self.since = -math.inf

    def __repr__(self) -> str:
        return f"<LongestDeadline {self.seconds():.1f}>"

    def note(self, seconds: float, at: float) -> None:
        """Record a call."""
        if at - self.since >= DEADLINE_WINDOW_SECONDS:
            self.before, self.current, self.since = self.current, 0.0, at
        self.current = max(self.current, seconds)

    def seconds(self) -> float:
        """Return the longest time."""
        return max(self.before, self.current)


class CapacityEstimates:
    """What one daemon knows of the running streams and of the completion rate of each service."""

    def __init__(self) -> None:
        self.created_at = now()
        self.streams: dict[ServiceName, set[StreamProgress]] = {}
        self.seconds: dict[ServiceName, DecayingSum] = {}
        self.tokens: dict[ServiceName, DecayingSum] = {}
        """Time and tokens of streams that ended lately; their ratio is the time that a token takes."""

        self.left: dict[ServiceName, float] = {}
        """The last estimate of the time left of a running stream, for when none runs at this daemon."""

        self.rates: dict[ServiceName, tuple[float, float]] = {}
        """The remembered completion rate, and when it was sampled."""

        self.measured: dict[ServiceName, tuple[float, float]] = {}
        """The completion rate as measured last, and when."""

        self.uncovered_at: dict[ServiceName, float] = {}
        """When the model was last known to lack layers."""

        self.longest: dict[str, LongestDeadline] = {}
        """By name of the endpoint."""

    def __repr__(self) -> str:
        return f"<CapacityEstimates {self.rates}>"

    def note_deadline(self, call: Call) -> None:
        """Record the time that a new call has until its deadline."""
        longest = self.longest.setdefault(call.endpoint.name, LongestDeadline())
        longest.note(call.deadline - call.arrived, call.arrived)

    def is_returning(self, call: Call) -> bool:
        """Return whether the caller was probably refused before: its deadline is that of its first attempt.

        Callers may state shorter deadlines than their endpoint allows, so calls are compared with others.
        """
        longest = self.longest.get(call.endpoint.name)
        usual = call.endpoint.timeout if longest is None else longest.seconds()
        return usual - (call.deadline - call.arrived) > RETURNING_SECONDS

    def begin(self, service: ServiceName, progress: StreamProgress) -> None:
        """Record that a stream got its first place."""
        progress.admitted = True
        self.streams.setdefault(service, set()).add(progress)

    def withdraw(self, service: ServiceName, progress: StreamProgress) -> None:
        """Record that a server rejected a stream which had got a place."""
        if progress.admitted:
            progress.admitted = False
            self.streams[service].discard(progress)

    def end(self, service: ServiceName, progress: StreamProgress, at: float) -> None:
        """Record that a stream ended."""
        self.streams[service].discard(progress)
        if progress.begun_at is not None and progress.made > 1:
            for sums, amount in (
                (self.seconds, at - progress.begun_at),
                (self.tokens, progress.made - 1.0),
            ):
                if service not in sums:
                    sums[service] = DecayingSum(PACE_SECONDS)
                sums[service].add(amount, at)

    def seconds_left(self, service: ServiceName, at: float) -> float | None:
        """Return the mean expected time left of this daemon's running streams; None if it is not known."""
        streams = self.streams.get(service)
        if streams and service in self.tokens and (tokens := self.tokens[service].read(at)) > 0:
            token_seconds = self.seconds[service].read(at) / tokens
            fraction = _pace_fraction(streams, token_seconds, at)
            self.left[service] = mean_tokens_left(streams) * token_seconds / fraction
        return self.left.get(service)

    def sample_due(self, service: ServiceName, at: float) -> bool:
        """Return whether the completion rate was not sampled for a while."""
        return service not in self.rates or at - self.rates[service][1] >= SAMPLE_SECONDS

    def note_rate(self, service: ServiceName, rate: float, at: float) -> None:
        """Remember a completion rate that was measured while the model was covered."""
        known, sampled_at = self.rates.get(service, (0.0, at))
        decayed = known * math.exp(-(at - sampled_at) / RATE_MEMORY_SECONDS)
        self.rates[service] = (max(rate, decayed), at)

    def remembered_rate(self, service: ServiceName) -> float:
        """Return the completion rate of the last time that the model was covered; zero if not known."""
        return self.rates[service][0] if service in self.rates else 0.0


def _pace_fraction(streams: Iterable[StreamProgress], token_seconds: float, at: float) -> float:
    """Return the recent pace of running streams as a fraction of the usual one, at most 1.

    Streams that stand still behind a lost or slow server would otherwise count as about to end, and
    requests would wait for their places in vain.
    """
    paces = [pace for stream in streams if (pace := stream.recent_pace(at)) is not None]
    if not paces or token_seconds <= 0:
        return 1.0
    return min(1.0, max(MIN_PACE_FRACTION, sum(paces) / len(paces) * token_seconds))


def mean_tokens_left(streams: Iterable[StreamProgress]) -> float:
    """Return the mean of the tokens that streams are expected to have left; zero if there is none."""
    left = [expected_remaining(stream.hint, stream.made) for stream in streams]
    return sum(left) / len(left) if left else 0.0
