"""Delivery of a stream to its caller, from one run or several in turn."""

from collections.abc import Iterable

from bayglade.clock import now
from bayglade.http1 import Message, answer_headers
from bayglade.listener import Connection
from bayglade.room_forecast import StreamProgress
from bayglade.sse import event_id, has_data

LAST_CHUNK = b"0\r\n\r\n"


class Delivery:
    """The part of a stream that the caller has received."""

    __slots__ = (
        "begun",
        "connection",
        "first_event_seconds",
        "last_event",
        "last_sent_at",
        "longest_gap",
        "numbered",
        "progress",
    )

    def __init__(self, connection: Connection, last_event: int | None, progress: StreamProgress) -> None:
        self.connection = connection
        self.progress = progress
        self.begun = False
        self.last_sent_at = now()
        self.first_event_seconds: float | None = None
        self.longest_gap = 0.0
        self.last_event = last_event
        self.numbered = True
        """Whether all events with data had a number; otherwise it is not known where to resume."""

    def __repr__(self) -> str:
        return f"<Delivery begun={self.begun} last_event={self.last_event}>"

    def start_answer(self, message: Message) -> bytes:
        """Return the head of the answer the first time; later runs continue under the same head."""
        if self.begun:
            return b""
        self.begun = True
        headers = [*answer_headers(message.headers), ("Transfer-Encoding", "chunked")]
        return self.connection.response_head(message.status, headers)

    def deliver(self, message: Message, events: Iterable[bytes]) -> None:
        """Send the events that the caller has not received yet."""
        fresh = []
        for item in events:
            number = event_id(item)
            if number is not None:
                if self.last_event is not None and number <= self.last_event:
                    continue
                self.last_event = number
            elif has_data(item):
                self.numbered = False
            fresh.append(item)
        if fresh:
            self._record_gap()
            self.progress.note(len(fresh), self.last_sent_at)
            data = b"".join(fresh)
            self.connection.send(self.start_answer(message) + b"%x\r\n%b\r\n" % (len(data), data))

    def _record_gap(self) -> None:
        at = now()
        if self.first_event_seconds is None:
            self.first_event_seconds = at - self.last_sent_at
        else:
            self.longest_gap = max(self.longest_gap, at - self.last_sent_at)
        self.last_sent_at = at

    def finish(self, message: Message) -> None:
        """Send the end of a complete answer."""
        self.connection.send(self.start_answer(message) + LAST_CHUNK)
