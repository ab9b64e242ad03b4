"""Tasks that run for the lifetime of a daemon, and are started again if an error ends them."""

import traceback
from collections.abc import Callable

import eventlet

from bayglade.logs import rate_limited
from bayglade.metrics import Metrics

RESTART_SECONDS = 1.0
"""Pause before a task that failed is started again."""
FAILURE_LOGS_PER_SECOND = 0.2


def keep_running(name: str, run: Callable[[], object], metrics: Metrics) -> None:
    """Run a task, and again whenever an error ends it.

    :param name: its name, for the log and the counter.
    :param run: the task.
    :param metrics: counts the failures of the task.
    """
    log_failure = rate_limited(FAILURE_LOGS_PER_SECOND)
    while True:
        try:
            run()
            return
        except Exception as error:  # noqa: BLE001 - no error may end the task for good
            metrics.count(f"task_failures_{name}")
            log_failure("ERROR", "task failed", task=name, error=repr(error), trace=traceback.format_exc())
        eventlet.sleep(RESTART_SECONDS)
