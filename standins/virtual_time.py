"""Virtual time: green threads on a clock that jumps to the next due timer."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

import eventlet
from eventlet.hubs import use_hub
from eventlet.hubs.hub import BaseHub
from eventlet.hubs.timer import Timer

T = TypeVar("T")

TIE_SECONDS = 1e-9
"""Each timer is due this much later than those created before it, because eventlet orders ties randomly."""

START = 100.0
"""Time at the start of each run, in seconds."""


class VirtualHub(BaseHub):
    """An eventlet hub without sockets: where it would sleep, its clock advances instead."""

    def __init__(self) -> None:
        self.at = START
        self.timers_made = 0
        super().__init__(clock=lambda: self.at)

    def add_timer(self, timer: Timer) -> float:
        """Add a timer; timers due at the same time fire in the order of their creation."""
        self.timers_made += 1
        due: float = self.at + timer.seconds + self.timers_made * TIE_SECONDS
        self.next_timers.append((due, timer))
        return due

    @staticmethod
    def is_available() -> bool:
        """Return true; it runs everywhere."""
        return True

    def wait(self, seconds: float | None = None) -> None:
        """Advance the clock."""
        self.at += seconds or 0.0


def now() -> float:
    """Return the virtual time of the calling thread, in seconds."""
    return float(eventlet.hubs.get_hub().clock())


def run_virtually(function: Callable[[], T]) -> T:
    """Call a function in a new thread whose green threads run in virtual time.

    :param function: the function; it may sleep for hours.
    :return: its result.
    """
    # Eventlet keeps one hub per thread, so a new thread leaves the caller's hub alone.
    with ThreadPoolExecutor(1, initializer=use_hub, initargs=(VirtualHub,)) as thread:
        return thread.submit(function).result()
