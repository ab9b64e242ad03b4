"""Questions to other daemons that are answered at once or not at all."""

from collections.abc import Callable
from typing import Generic, TypeVar

import eventlet
from eventlet.event import Event

T = TypeVar("T")


class PendingReplies(Generic[T]):
    """The questions of one kind that this daemon waits for answers to."""

    def __init__(self) -> None:
        self.last_number = 0
        self.waiting: dict[int, Event] = {}

    def __repr__(self) -> str:
        return f"<Questions {len(self.waiting)} waiting>"

    def request(self, send: Callable[[int], None], seconds: float) -> T | None:
        """Ask, and wait for the answer.

        :param send: sends the question with the number that its answer will bear.
        :param seconds: how long to wait.
        :return: the answer; nothing when none came in time.
        """
        self.last_number += 1
        number = self.last_number
        event = self.waiting[number] = Event()
        send(number)
        try:
            with eventlet.Timeout(seconds, False):
                answer: T = event.wait()
                return answer
            return None
        finally:
            self.waiting.pop(number, None)

    def resolve(self, number: int, answer: T) -> None:
        """Hand an answer to whoever waits for it; a late one is lost."""
        event = self.waiting.pop(number, None)
        if event is not None:
            event.send(answer)
