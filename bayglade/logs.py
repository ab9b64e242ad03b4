"""Logs: one set-up for the process, human lines or JSON lines.

No prompt, answer text or key is ever logged; a request is named by its id.
"""

import sys

from loguru import logger

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level:<7} {extra[member]} {message} {extra[fields]}"


def set_up(member: str, log_format: str, level: str) -> None:
    """Send logs to standard error.

    :param member: the daemon's name, put on every line.
    :param log_format: ``"text"`` or ``"json"``.
    :param level: the least level shown.
    """
    logger.remove()
    logger.configure(extra={"member": member, "fields": ""})
    # Variables in tracebacks could hold prompts and keys, hence diagnose=False.
    logger.add(
        sys.stderr,
        format=TEXT_FORMAT,
        level=level,
        serialize=log_format == "json",
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
