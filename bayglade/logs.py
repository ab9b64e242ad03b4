"""Log configuration of the process, and structured log events.

Prompts, answer texts and keys are never logged; requests are identified by their ids. JSON lines go to
standard output at a limited rate and without blocking: lines that the pipe doesn't accept are dropped and
counted, and the next line that is written states the count.
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
"""About ten times the number of lines that a daemon logs under usual load."""
BURST_LINES = 2000.0
MAX_LINE_BYTES = 4000
"""Short enough for a write to a pipe to be atomic."""


class LineWriter:
    """Writes JSON lines to a file descriptor, rate-limited by a token bucket and without blocking."""

    def __init__(self, descriptor: int, member: str) -> None:
        self.descriptor = descriptor
        self.member = member
        self.available_lines = BURST_LINES
        self.refilled_at = now()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __repr__(self) -> str:
        return f"<LineWriter {self.dropped} dropped>"

    def write(self, message: "Message") -> None:
        """Write a record, or drop it if the rate is exceeded or the descriptor would block.

        :param message: the record, as loguru passes it to a sink.
        """
        at = now()
        self.available_lines = min(
            BURST_LINES, self.available_lines + (at - self.refilled_at) * LINES_PER_SECOND
        )
        self.refilled_at = at
        if self.available_lines < 1:
            self.dropped += 1
            return
        self.available_lines -= 1
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
            # The reader is gone or too slow; the next line that is written reports the drop.
            self.dropped += 1


def configure_logging(member: str, log_format: str, level: str) -> None:
    """Send logs to standard error as text, or to standard output as JSON lines.

    :param member: the daemon's name, added to every line.
    :param log_format: ``"text"`` or ``"json"``.
    :param level: the lowest level that is logged.
    """
    logger.remove()
    logger.configure(extra={"member": member, "fields": ""})
    # With diagnose=True, tracebacks would show variables, which may hold prompts and keys.
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
    """Log an event with structured fields.

    :param level: a loguru level name.
    :param message: constant description of the event; variable parts go into the fields.
    :param fields: ids and values, such as ``request`` and ``peer``.
    """
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    logger.bind(fields=text, **fields).log(level, message)


def rate_limited(per_second: float) -> Callable[..., None]:
    """Return a variant of :func:`event` with its own rate limit, for events that peers can trigger at will.

    A flood of one event would otherwise use up the line rate of all others.

    :param per_second: lines per second, and the largest burst; a burst is at least one line.
    :return: a function with the parameters of :func:`event`; each line states how many were suppressed
        before it, as ``left_out``.
    """
    capacity = max(1.0, per_second)
    available, refilled_at, left_out = capacity, now(), 0

    def limited_event(level: str, message: str, **fields: object) -> None:
        nonlocal available, refilled_at, left_out
        available = min(capacity, available + (now() - refilled_at) * per_second)
        refilled_at = now()
        if available < 1:
            left_out += 1
            return
        available -= 1
        event(level, message, **fields, left_out=left_out)
        left_out = 0

    return limited_event
