"""Lines: requests that found the servers full wait here, in the order of their shares."""

import eventlet
from eventlet.event import Event

from bayglade.calls import Call
from bayglade.clock import now
from bayglade.fairness import ShareOf, ShareQueue, Waiting
from bayglade.ids import ServiceName
from bayglade.settings import ROOT
from bayglade.usage import Usage

TURN_SECONDS = 0.06
"""Time between turns while no own request ends: places become free on other daemons' requests too."""
TURNS = 2
"""Requests that get a turn at once: more would find the place of the first taken."""


class Lines:
    """The requests of one daemon that wait, by service.

    :param usage: recent service of each group, here and at other daemons.
    :param share_of: priority and share of each group.
    """

    def __init__(self, usage: Usage, share_of: ShareOf) -> None:
        self.usage = usage
        self.share_of = share_of
        self.queues: dict[ServiceName, ShareQueue[Event]] = {}

    def __repr__(self) -> str:
        return f"<Lines {self.waiting()} waiting>"

    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self.queues.values())

    def wait(self, call: Call, until: float) -> bool:
        """Wait for a turn.

        :param call: the request.
        :param until: when waiting ends, in monotonic seconds.
        :return: whether its turn came.
        """
        queue = self._queue(call.service)
        turn = Event()
        waiting = Waiting(call.group or ROOT, call.priority, cost(call), until, turn)
        queue.push(waiting)
        try:
            with eventlet.Timeout(max(0.0, until - now()), False):
                turn.wait()
                return True
            return False
        finally:
            queue.remove(waiting)

    def wake(self, service: ServiceName) -> None:
        """Give turns: a place may be free."""
        queue = self.queues.get(service)
        for _ in range(TURNS):
            waiting = queue.pop() if queue is not None else None
            if waiting is None:
                return
            waiting.entry.send(None)

    def run(self) -> None:
        """Give turns now and then, for ever."""
        while True:
            eventlet.sleep(TURN_SECONDS)
            for service, queue in self.queues.items():
                if len(queue):
                    self.wake(service)

    def charge(self, call: Call) -> None:
        """Count the service of a call to its group."""
        self.usage.charge(call.group or ROOT, cost(call))

    def _queue(self, service: ServiceName) -> ShareQueue[Event]:
        if service not in self.queues:
            self.queues[service] = ShareQueue(self.usage, self.share_of)
        return self.queues[service]


def cost(call: Call) -> float:
    """Return the tokens that a call may take; at least one."""
    return max(1.0, float(call.head.prompt_tokens + call.head.answer_tokens))
