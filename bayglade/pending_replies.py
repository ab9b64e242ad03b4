"""Requests to other daemons that wait for a reply, matched by number."""

from collections.abc import Callable
from typing import Generic, TypeVar

import eventlet
from eventlet.event import Event

T = TypeVar("T")


class PendingReplies(Generic[T]):
    """Requests of one kind that this daemon has sent to others and that wait for a reply."""

    def __init__(self) -> None:
        self.last_number = 0
        self.waiting: dict[int, Event] = {}

    def __repr__(self) -> str:
        return f"<PendingReplies {len(self.waiting)} waiting>"

    def request(self, send: Callable[[int], None], seconds: float) -> T | None:
        """Send a request and wait for its reply.

        :param send: sends the request under the given number, which the reply repeats.
        :param seconds: how long to wait.
        :return: the reply; None if none arrived in time.
        """
        self.last_number += 1
        number = self.last_number
        event = self.waiting[number] = Event()
        send(number)
        try:
            with eventlet.Timeout(seconds, False):
                reply: T = event.wait()
                return reply
            return None
        finally:
            self.waiting.pop(number, None)

    def resolve(self, number: int, reply: T) -> None:
        """Deliver a reply to the waiting caller; a late one is dropped."""
        event = self.waiting.pop(number, None)
        if event is not None:
            event.send(reply)
