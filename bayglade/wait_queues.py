"""Queues of requests that wait for room on servers, ordered by the fair shares of their groups.

A waiting request is granted a reserved place, not only a turn to look for one.
Places are sought for the request at the head of the queue, and it stays there
until one is found.
"""

from collections import deque
from collections.abc import Callable
from typing import TypeVar

import eventlet
from eventlet.event import Event

from bayglade.calls import Call
from bayglade.clock import DecayingSum, now
from bayglade.fairness import QueuedItem, ShareOf, ShareQueue
from bayglade.ids import ServiceName
from bayglade.reservations import Reservation
from bayglade.settings import ROOT
from bayglade.usage import Usage

POLL_INTERVAL_SECONDS = 0.06
"""Poll interval while no request of this daemon ends: requests of other daemons free places as well."""
RATE_TIME_CONSTANT = 3.0
"""Time constant of the measured completion rate, in seconds: about as long as one request runs."""

HOPELESS_CHECK_SECONDS = 0.5
"""Interval at which waiting requests are checked for having become hopeless: a third of the time that most
of them wait. The counts that the check uses arrive each second."""

MAX_DEFERRED = 1000
"""Bound on the remembered callers, per service, that were rejected and are expected to retry."""
MAX_SKIPPED = 4
"""Bound on the requests that one pass over a queue skips: each costs a search for a path."""

BEGUN_PRIORITY = 1 << 16
"""Priority of streams that have begun, above that of all new calls: their callers wait mid-answer."""

P = TypeVar("P", bound=Reservation)

TryReserve = Callable[[], P | None]
"""Reserves a place with room and returns it, or returns None if there is none."""


def _never() -> bool:
    return False


class Waiter:
    """A waiting request: how to reserve a place for it, and the event that delivers the place."""

    __slots__ = ("granted", "is_hopeless", "restricted", "should_give_up", "try_reserve")

    def __init__(
        self,
        try_reserve: TryReserve[Reservation],
        restricted: bool,
        should_give_up: Callable[[], bool],
        is_hopeless: Callable[[], bool],
    ) -> None:
        self.try_reserve = try_reserve
        self.restricted = restricted
        self.should_give_up = should_give_up
        self.is_hopeless = is_hopeless
        self.granted = Event()


class WaitQueues:
    """The waiting requests of one daemon, by service.

    :param usage: recent usage of each group, at this and at other daemons.
    :param share_of: returns the priority and the share of a group.
    """

    def __init__(self, usage: Usage, share_of: ShareOf) -> None:
        self.usage = usage
        self.share_of = share_of
        self.queues: dict[ServiceName, ShareQueue[Waiter]] = {}
        self.completed: dict[ServiceName, DecayingSum] = {}
        self.expected_retries: dict[ServiceName, deque[float]] = {}
        """When rejected callers are expected to retry, in monotonic seconds."""

        self.by_urgency: Callable[[ServiceName], bool] = lambda service: False
        """Returns whether the most urgent requests of a service go first over all groups."""

        self.became_nonempty = Event()
        """Sent when a first request starts to wait."""

    def __repr__(self) -> str:
        return f"<WaitQueues {self.waiting()} waiting>"

    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self.queues.values())

    def has_waiters(self, service: ServiceName) -> bool:
        """Return whether a new request has to queue behind others.

        Requests that are restricted to some servers do not hold it up.
        """
        return any(not waiting.entry.restricted for waiting in self._queue(service).all())

    def count_ahead(self, service: ServiceName) -> int:
        """Return how many requests precede a new one: waiting ones and expected retries."""
        expected_retries = self.expected_retries.get(service, deque())
        at = now()
        while expected_retries and expected_retries[0] <= at:
            expected_retries.popleft()
        return len(self._queue(service)) + len(expected_retries)

    def note_deferred(self, service: ServiceName, seconds: float) -> None:
        """Record that a caller was told to retry later, so that the next one is told a later time.

        :param service: the service.
        :param seconds: the earliest time of the retry, in seconds from now.
        """
        self.expected_retries.setdefault(service, deque(maxlen=MAX_DEFERRED)).append(now() + seconds)

    def expected_wait(self, service: ServiceName) -> float:
        """Return how long a new request would wait at the current completion rate of this daemon."""
        completed = self.completed.get(service)
        rate = completed.rate(now()) if completed is not None else 0.0
        return len(self._queue(service)) / rate if rate > 0 else 0.0

    def wait(
        self,
        call: Call,
        try_reserve: TryReserve[P],
        until: float,
        restricted: bool = False,
        begun: bool = False,
        should_give_up: Callable[[], bool] = _never,
        is_hopeless: Callable[[], bool] = _never,
    ) -> P | None:
        """Wait for a place.

        :param call: the request.
        :param try_reserve: tries to reserve a place.
        :param until: when to stop waiting, in monotonic seconds.
        :param restricted: whether the request may use some servers only, so that others may find room
            while it does not.
        :param begun: whether its caller already has a part of the answer; such a request goes first
            within its group.
        :param should_give_up: returns whether waiting has become pointless; asked before a place is sought.
        :param is_hopeless: returns whether it certainly gets no place in time; asked now and then, wherever
            in the queue it is.
        :return: the reserved place, or None if there was none in time.
        """
        queue = self._queue(call.service)
        waiter = Waiter(try_reserve, restricted, should_give_up, is_hopeless)
        priority = BEGUN_PRIORITY if begun else call.priority
        waiting = QueuedItem(call.group or ROOT, priority, token_cost(call), until, waiter)
        queue.push(waiting)
        if not self.became_nonempty.ready():
            self.became_nonempty.send()
        granted: P | None = None
        try:
            with eventlet.Timeout(max(0.0, until - now()), False):
                granted = waiter.granted.wait()
        except BaseException:
            # The caller disconnected: release a place that was granted at the same moment.
            if not queue.remove(waiting) and waiter.granted.ready():
                if (place := waiter.granted.wait()) is not None:
                    place.release()
                self.grant_places(call.service)
            raise
        if granted is None and not queue.remove(waiting):
            # The place was granted, or the wait given up, at the same moment as the timeout.
            granted = waiter.granted.wait()
        return granted

    def note_completion(self, service: ServiceName) -> None:
        """Record that a request has ended, and grant its place to a waiting one."""
        if service not in self.completed:
            self.completed[service] = DecayingSum(RATE_TIME_CONSTANT)
        self.completed[service].add(1.0, now())
        self.grant_places(service)

    def grant_places(self, service: ServiceName) -> None:
        """Grant places to waiting requests in order, as long as there are any.

        Restricted requests that find no place are skipped; at the head of the queue they would block
        others that have room.
        """
        queue = self._queue(service)
        skipped: list[QueuedItem[Waiter]] = []
        while len(skipped) <= MAX_SKIPPED and (waiting := queue.pop()) is not None:
            if waiting.entry.should_give_up():
                waiting.entry.granted.send(None)
                continue
            place = waiting.entry.try_reserve()
            if place is not None:
                waiting.entry.granted.send(place)
                continue
            skipped.append(waiting)
            if not waiting.entry.restricted:
                break
        for waiting in reversed(skipped):
            queue.put_back(waiting)

    def run(self) -> None:
        """Poll for places while requests wait; never returns."""
        while True:
            self.became_nonempty.wait()
            self.became_nonempty = Event()
            checked_at = now()
            while self.waiting():
                eventlet.sleep(POLL_INTERVAL_SECONDS)
                self._grant_all()
                if now() - checked_at >= HOPELESS_CHECK_SECONDS:
                    checked_at = now()
                    self.give_up_hopeless()

    def _grant_all(self) -> None:
        for service, queue in list(self.queues.items()):
            if len(queue):
                self.grant_places(service)

    def give_up_hopeless(self) -> None:
        """End the wait of all requests that certainly get no place in time."""
        for queue in list(self.queues.values()):
            for waiting in queue.all():
                if waiting.entry.is_hopeless() and queue.remove(waiting):
                    waiting.entry.granted.send(None)

    def charge(self, call: Call) -> None:
        """Charge the cost of a call to its group."""
        self.usage.charge(call.group or ROOT, token_cost(call))

    def _queue(self, service: ServiceName) -> ShareQueue[Waiter]:
        if service not in self.queues:
            self.queues[service] = ShareQueue(self.usage, self.share_of, lambda: self.by_urgency(service))
        return self.queues[service]


def token_cost(call: Call) -> float:
    """Return the most tokens that a call can use; at least one."""
    return max(1.0, float(call.head.prompt_tokens + call.head.max_answer_tokens))
