"""Ends the tasks of requests in service: of callers that disconnect, and of all when the daemon exits."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import eventlet
import greenlet
from eventlet.event import Event

from bayglade.metrics import Metrics
from bayglade.sockets import is_closed

if TYPE_CHECKING:
    from eventlet.greenio import GreenSocket

CHECK_INTERVAL = 0.2
"""Interval between checks of the callers' connections, in seconds. Servers must be told within half a
second that a caller has disconnected, and each check wakes the process."""


class CallerDisconnected(greenlet.GreenletExit):
    """Raised in the task of a request whose caller disconnected."""


class ServiceEnded(greenlet.GreenletExit):
    """Raised in the task of a request that is still in service when the daemon exits."""


class DisconnectWatcher:
    """Watches the connections of requests that are being served."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.watched: dict[greenlet.greenlet, GreenSocket] = {}
        self.became_nonempty = Event()

    def __repr__(self) -> str:
        return f"<DisconnectWatcher {len(self.watched)} watched>"

    @contextmanager
    def watch(self, connection: "GreenSocket") -> Iterator[None]:
        """Watch the connection of a request while its task works on it.

        :param connection: the caller's green socket.
        """
        task = eventlet.getcurrent()
        if not self.watched and not self.became_nonempty.ready():
            self.became_nonempty.send()
        self.watched[task] = connection
        try:
            yield
        finally:
            self.watched.pop(task, None)

    def end_service(self) -> None:
        """End all requests in service; their callers are told whether they may have run."""
        for task in list(self.watched):
            self.watched.pop(task, None)
            self.metrics.count("requests.ended_at_exit")
            eventlet.kill(task, ServiceEnded())

    def run(self) -> None:
        """Check the watched connections periodically; never returns."""
        while True:
            self.became_nonempty.wait()
            self.became_nonempty = Event()
            while self.watched:
                self._check_connections()

    def _check_connections(self) -> None:
        eventlet.sleep(CHECK_INTERVAL)
        for task, sock in list(self.watched.items()):
            if is_closed(sock):
                self.watched.pop(task, None)
                self.metrics.count("callers.left")
                eventlet.kill(task, CallerDisconnected())
