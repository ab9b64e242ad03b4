"""Wait queues: requests that found no room wait here, in the order of their shares.

Whoever waits is given a place and not just a turn to look for one: places
are sought for the request whose turn it is, and it stays first until there is one.
"""

from collections import deque
from collections.abc import Callable
from typing import TypeVar

import eventlet
from eventlet.event import Event

from bayglade.calls import Call
from bayglade.clock import DecayingSum, now
from bayglade.fairness import ShareOf, ShareQueue, Waiting
from bayglade.ids import ServiceName
from bayglade.reservations import Reservation
from bayglade.settings import ROOT
from bayglade.usage import Usage

TURN_SECONDS = 0.06
"""Time between looks while no own request ends: places become free on other daemons' requests too."""
RATE_SECONDS = 3.0
"""Time constant of the rate at which requests end: about as long as one runs."""

MAX_AWAY = 1000
"""Callers that were sent away and are kept in mind, for each service."""
MAX_ASIDE = 4
"""Requests that are passed over in one look for places: each costs a search for a path."""

BEGUN_PRIORITY = 1 << 16
"""Priority of streams that have begun, above those of all calls: their callers wait in mid-answer."""

P = TypeVar("P", bound=Reservation)

Seek = Callable[[], P | None]
"""Returns a place with room that the request has taken, if there is one."""


def _never() -> bool:
    return False


class Turn:
    """A request that waits: how a place is sought for it, and who is told."""

    __slots__ = ("choosy", "granted", "hopeless", "seek")

    def __init__(self, seek: Seek[Reservation], choosy: bool, hopeless: Callable[[], bool]) -> None:
        self.seek = seek
        self.choosy = choosy
        self.hopeless = hopeless
        self.granted = Event()


class WaitQueues:
    """The requests of one daemon that wait, by service.

    :param usage: recent service of each group, here and at other daemons.
    :param share_of: priority and share of each group.
    """

    def __init__(self, usage: Usage, share_of: ShareOf) -> None:
        self.usage = usage
        self.share_of = share_of
        self.queues: dict[ServiceName, ShareQueue[Turn]] = {}
        self.ended: dict[ServiceName, DecayingSum] = {}
        self.away: dict[ServiceName, deque[float]] = {}
        """When callers that were sent away are to come back, in monotonic seconds."""

        self.begun = Event()
        """Sent when a request waits while none did."""

    def __repr__(self) -> str:
        return f"<WaitQueues {self.waiting()} waiting>"

    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self.queues.values())

    def busy(self, service: ServiceName) -> bool:
        """Tell whether requests wait already that a new one goes behind.

        It goes past those that may go to some servers only.
        """
        return any(not waiting.entry.choosy for waiting in self._queue(service).all())

    def ahead(self, service: ServiceName) -> int:
        """Return how many requests go before a new one: waiting ones and some to come back."""
        away = self.away.get(service, deque())
        at = now()
        while away and away[0] <= at:
            away.popleft()
        return len(self._queue(service)) + len(away)

    def sent_away(self, service: ServiceName, seconds: float) -> None:
        """Note that a caller was told to come back, so that the next one is told a later time.

        :param service: the service.
        :param seconds: when it is to come back at the earliest.
        """
        self.away.setdefault(service, deque(maxlen=MAX_AWAY)).append(now() + seconds)

    def expected_seconds(self, service: ServiceName) -> float:
        """Return how long a new request would wait, as requests of this daemon end now."""
        ended = self.ended.get(service)
        rate = ended.rate(now()) if ended is not None else 0.0
        return len(self._queue(service)) / rate if rate > 0 else 0.0

    def wait(
        self,
        call: Call,
        seek: Seek[P],
        until: float,
        choosy: bool = False,
        begun: bool = False,
        hopeless: Callable[[], bool] = _never,
    ) -> P | None:
        """Wait for a place.

        :param call: the request.
        :param seek: looks for a place.
        :param until: when waiting ends, in monotonic seconds.
        :param choosy: whether the request may go to some servers only, so that there may be room for
            others while there is none for it.
        :param begun: whether its caller has a part of the answer: it goes first in its own account.
        :param hopeless: tells whether waiting has become of no use.
        :return: the place, taken; nothing when there was none in time.
        """
        queue = self._queue(call.service)
        turn = Turn(seek, choosy, hopeless)
        priority = BEGUN_PRIORITY if begun else call.priority
        waiting = Waiting(call.group or ROOT, priority, cost(call), until, turn)
        queue.push(waiting)
        if not self.begun.ready():
            self.begun.send()
        granted: P | None = None
        try:
            with eventlet.Timeout(max(0.0, until - now()), False):
                granted = turn.granted.wait()
        except BaseException:
            # The caller left: a place that was found in the same moment is given back.
            if not queue.remove(waiting) and turn.granted.ready():
                if (place := turn.granted.wait()) is not None:
                    place.release()
                self.wake(call.service)
            raise
        if granted is None and not queue.remove(waiting):
            # The place was found, or the wait ended, in the same moment as the time.
            granted = turn.granted.wait()
        return granted

    def note_end(self, service: ServiceName) -> None:
        """Note that a request has ended, and give its place to who waits."""
        if service not in self.ended:
            self.ended[service] = DecayingSum(RATE_SECONDS)
        self.ended[service].add(1.0, now())
        self.wake(service)

    def wake(self, service: ServiceName) -> None:
        """Give places to those who wait, in their order, while there are any.

        Who may go to some servers only is passed over: it would keep the head of the line though others
        have room.
        """
        queue = self._queue(service)
        aside: list[Waiting[Turn]] = []
        while len(aside) <= MAX_ASIDE and (waiting := queue.pop()) is not None:
            if waiting.entry.hopeless():
                waiting.entry.granted.send(None)
                continue
            place = waiting.entry.seek()
            if place is not None:
                waiting.entry.granted.send(place)
                continue
            aside.append(waiting)
            if not waiting.entry.choosy:
                break
        for waiting in reversed(aside):
            queue.restore(waiting)

    def run(self) -> None:
        """Look for places now and then while requests wait, for ever."""
        while True:
            self.begun.wait()
            self.begun = Event()
            while self.waiting():
                eventlet.sleep(TURN_SECONDS)
                self._look()

    def _look(self) -> None:
        for service, queue in list(self.queues.items()):
            if len(queue):
                self.wake(service)

    def charge(self, call: Call) -> None:
        """Count the service of a call to its group."""
        self.usage.charge(call.group or ROOT, cost(call))

    def _queue(self, service: ServiceName) -> ShareQueue[Turn]:
        if service not in self.queues:
            self.queues[service] = ShareQueue(self.usage, self.share_of)
        return self.queues[service]


def cost(call: Call) -> float:
    """Return the tokens that a call may take; at least one."""
    return max(1.0, float(call.head.prompt_tokens + call.head.answer_tokens))
