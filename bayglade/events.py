"""Events of a stream: opaque bytes with an id that rises."""

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id: ?(\d+)", re.MULTILINE)


class EventSplitter:
    """Cuts the body of a stream into whole events; a rest without its end is held back."""

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    def __repr__(self) -> str:
        return f"<EventSplitter {len(self.rest)} bytes held back>"

    def feed(self, data: bytes) -> list[bytes]:
        """Take in bytes.

        :param data: a piece of the body.
        :return: the events that are whole now, each with its end.
        """
        data = self.rest + data
        events, start = [], 0
        for end in EVENT_END.finditer(data):
            events.append(data[start : end.end()])
            start = end.end()
        self.rest = data[start:]
        return events


def event_id(data: bytes) -> int | None:
    """Return the id of an event, or nothing.

    :param data: the whole event.
    """
    found = EVENT_ID.search(data)
    return int(found.group(1)) if found else None
