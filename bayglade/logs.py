"""Logs: one set-up for the process, lines for people or JSON lines.

No prompt, answer text or key is ever logged; a request is named by its id.
JSON lines go to standard output, no more than a set number a second, and never
block: what the pipe does not take is dropped, counted, and told of later.
"""

import os
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from bayglade.clock import now

if TYPE_CHECKING:
    from loguru import Message

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level:<7} {extra[member]} {message} {extra[fields]}"
LINES_PER_SECOND = 300.0
"""Some ten times what a daemon logs at the usual load."""
BURST_LINES = 2000.0
MAX_LINE_BYTES = 4000
"""Short enough that a pipe takes a line whole or not at all."""


class LineWriter:
    """Writes JSON lines to a descriptor, within a rate and without blocking."""

    def __init__(self, descriptor: int, member: str) -> None:
        self.descriptor = descriptor
        self.member = member
        self.allowance = BURST_LINES
        self.at = now()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __repr__(self) -> str:
        return f"<LineWriter {self.dropped} dropped>"

    def write(self, message: "Message") -> None:
        """Write one record, or drop it.

        :param message: the record, as loguru hands it to a sink.
        """
        at = now()
        self.allowance = min(BURST_LINES, self.allowance + (at - self.at) * LINES_PER_SECOND)
        self.at = at
        if self.allowance < 1:
            self.dropped += 1
            return
        self.allowance -= 1
        record = message.record
        fields = {
            "time": round(record["time"].timestamp(), 3),
            "steady": round(at, 3),
            "level": record["level"].name,
            "member": self.member,
            "event": record["message"],
            **{k: v for k, v in record["extra"].items() if k not in ("member", "fields")},
        }
        if self.dropped:
            fields["dropped_before"] = self.dropped
        line = msgspec.json.encode(fields, enc_hook=repr)[:MAX_LINE_BYTES] + b"\n"
        try:
            os.write(self.descriptor, line)
            self.dropped = 0
        except OSError:
            # Nobody reads: there is nowhere to say so but the next line that goes out.
            self.dropped += 1


def set_up(member: str, log_format: str, level: str) -> None:
    """Send logs to standard error as text, or to standard output as JSON lines.

    :param member: the daemon's name, put on every line.
    :param log_format: ``"text"`` or ``"json"``.
    :param level: the least level shown.
    """
    logger.remove()
    logger.configure(extra={"member": member, "fields": ""})
    # Variables in tracebacks could hold prompts and keys, hence diagnose=False.
    if log_format == "json":
        writer = LineWriter(sys.stdout.fileno(), member)
        logger.add(writer.write, format="{message}", level=level, diagnose=False, backtrace=False)
        return
    logger.add(
        sys.stderr,
        format=TEXT_FORMAT,
        level=level,
        diagnose=False,
        backtrace=False,
        enqueue=False,
    )


def event(level: str, message: str, **fields: object) -> None:
    """Log one event with named fields.

    :param level: a loguru level name.
    :param message: what happened, the same words each time.
    :param fields: ids and figures, such as ``request`` and ``peer``.
    """
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    logger.bind(fields=text, **fields).log(level, message)


def limited(per_second: float) -> Callable[..., None]:
    """Return a form of :func:`event` for what others can cause at will, which logs a few lines only.

    A flood of one event would use up the lines of all others.

    :param per_second: lines a second; so many at once after a pause, and one at least.
    :return: takes what :func:`event` takes; a line tells how many were left out before it.
    """
    most = max(1.0, per_second)
    allowance, at, left_out = most, now(), 0

    def limited_event(level: str, message: str, **fields: object) -> None:
        nonlocal allowance, at, left_out
        allowance = min(most, allowance + (now() - at) * per_second)
        at = now()
        if allowance < 1:
            left_out += 1
            return
        allowance -= 1
        event(level, message, **fields, left_out=left_out)
        left_out = 0

    return limited_event
