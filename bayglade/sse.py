"""Server-sent events (``text/event-stream``): splitting a body into opaque events with integer ids."""

import re

from bayglade.exceptions import AnswerTooLarge

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_DATA = re.compile(rb"^data:", re.MULTILINE)
EVENT_ID = re.compile(rb"^id: ?(\d{1,18})(?!\d)", re.MULTILINE)
"""Ids fit into 64 bits."""


DEFAULT_MAX_EVENT_BYTES = 256 * 1024


class EventSplitter:
    """Splits the body of a stream into complete events, buffering an incomplete one.

    :param max_event_bytes: size limit of an event.
    """

    __slots__ = ("buffer", "max_event_bytes")

    def __init__(self, max_event_bytes: int = DEFAULT_MAX_EVENT_BYTES) -> None:
        self.buffer = b""
        self.max_event_bytes = max_event_bytes

    def __repr__(self) -> str:
        return f"<EventSplitter {len(self.buffer)} bytes buffered>"

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes of the body.

        :param data: the next bytes as received.
        :return: the events completed by them, each with its terminating blank line.
        :raises AnswerTooLarge: if an incomplete event exceeds the limit.
        """
        data = self.buffer + data
        events, start = [], 0
        for end in EVENT_END.finditer(data):
            events.append(data[start : end.end()])
            start = end.end()
        self.buffer = data[start:]
        if len(self.buffer) > self.max_event_bytes:
            raise AnswerTooLarge(f"an event exceeds {self.max_event_bytes} bytes", step="stream")
        return events


def has_data(data: bytes) -> bool:
    """Return whether an event carries data; comments, which keep connections open, do not.

    :param data: a complete event.
    """
    return EVENT_DATA.search(data) is not None


def event_id(data: bytes) -> int | None:
    """Return the id of an event, or ``None`` if it has none.

    :param data: a complete event.
    """
    found = EVENT_ID.search(data)
    return int(found.group(1)) if found else None
