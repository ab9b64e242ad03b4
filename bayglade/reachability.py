"""Reachability: whether this daemon can open connections to the backend servers.

A daemon that is partitioned from all servers sees the same as one whose servers have all ended, but
other daemons still reach them.
"""

from collections import deque

from bayglade.clock import now
from bayglade.fleet import Fleet
from bayglade.ids import BackendId
from bayglade.metrics import Metrics

GAUGE_SECONDS = 5.0
"""The gauges count the servers to which connections were opened, or failed, within this time."""


class Reachability:
    """The outcomes of recent connects to backend servers.

    :param fleet: the servers.
    :param metrics: receives counters and gauges.
    """

    def __init__(self, fleet: Fleet, metrics: Metrics) -> None:
        self.fleet = fleet
        self.metrics = metrics
        self.recent: deque[tuple[float, BackendId, bool]] = deque()
        """Time, server and success of recent connects, oldest first."""

    def __repr__(self) -> str:
        return f"<Reachability of {len(self.fleet.servers)} servers>"

    def note_connect(self, backend: BackendId, error: OSError | None) -> None:
        """Record the outcome of a connect.

        :param backend: the server.
        :param error: why it failed; None if it succeeded.
        """
        self.recent.append((now(), backend, error is None))
        if error is not None:
            self.metrics.count(f"connects_failed_{failure_kind(error)}")

    def update_gauges(self) -> None:
        """Update the numbers of servers that were reached and that were not reached."""
        oldest = now() - GAUGE_SECONDS
        while self.recent and self.recent[0][0] < oldest:
            self.recent.popleft()
        reached = {backend for _, backend, success in self.recent if success}
        failed = {backend for _, backend, success in self.recent if not success}
        self.metrics.gauge("servers_reached", len(reached))
        self.metrics.gauge("servers_not_reached", len(failed - reached))


def failure_kind(error: OSError) -> str:
    """Return how a connect failed, as part of a metric's name."""
    if isinstance(error, TimeoutError):
        return "timeout"
    if isinstance(error, ConnectionRefusedError):
        return "refused"
    return "reset" if isinstance(error, ConnectionError) else "other"
