"""Server-sent events (``text/event-stream``): splitting a body into opaque events with integer ids."""

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id: ?(\d+)", re.MULTILINE)


class EventSplitter:
    """Splits the body of a stream into complete events, buffering an incomplete one."""

    __slots__ = ("buffer",)

    def __init__(self) -> None:
        self.buffer = b""

    def __repr__(self) -> str:
        return f"<EventSplitter {len(self.buffer)} bytes buffered>"

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes of the body.

        :param data: the next bytes as received.
        :return: the events completed by them, each with its terminating blank line.
        """
        data = self.buffer + data
        events, start = [], 0
        for end in EVENT_END.finditer(data):
            events.append(data[start : end.end()])
            start = end.end()
        self.buffer = data[start:]
        return events


def event_id(data: bytes) -> int | None:
    """Return the id of an event, or ``None`` if it has none.

    :param data: a complete event.
    """
    found = EVENT_ID.search(data)
    return int(found.group(1)) if found else None
