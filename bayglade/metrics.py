"""Metrics: counters, timers and gauges over statsd, kept in memory as well.

The names are listed in ``docs/operators/metrics.md``.
"""

from collections import Counter

import statsd

from bayglade.config import parse_address

PREFIX = "bayglade"


class Metrics:
    """Counts and gauges of one daemon; statsd gets them when it is configured."""

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self.client = client
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"<Metrics {len(self.counts)} counters>"

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += amount
        if self.client is not None:
            self.client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value
        if self.client is not None:
            self.client.gauge(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Record how long something took."""
        if self.client is not None:
            self.client.timing(name, seconds * 1000)


def create_metrics(address: str | None, member: str) -> Metrics:
    """Build the metrics of a daemon.

    :param address: where statsd listens on UDP, or nothing.
    :param member: the daemon's name, part of every metric's name.
    :return: the metrics.
    """
    if address is None:
        return Metrics(None)
    where = parse_address(address)
    return Metrics(statsd.StatsClient(where.host, where.port, prefix=f"{PREFIX}.{member}"))
