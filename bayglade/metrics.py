"""Metrics: counters, gauges and timings, sent to statsd and kept in memory for Prometheus.

The metric names are listed in ``docs/operators/metrics.md``.
"""

from bisect import bisect_left
from collections import Counter

import statsd

from bayglade.config import parse_address

PREFIX = "bayglade"
BUCKET_BOUNDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0)
"""Upper bounds of the histogram buckets, in seconds."""


class Histogram:
    """A latency histogram with fixed buckets."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS) + 1)
        self.total = 0.0

    def __repr__(self) -> str:
        return f"<Histogram of {sum(self.counts)}>"

    def observe(self, seconds: float) -> None:
        """Record a latency."""
        self.counts[bisect_left(BUCKET_BOUNDS, seconds)] += 1
        self.total += seconds

    def render_lines(self, name: str) -> list[str]:
        """Render the cumulative buckets, the sum and the count in the Prometheus text format."""
        lines, cumulative = [], 0
        for bound, count in zip((*map(str, BUCKET_BOUNDS), "+Inf"), self.counts, strict=True):
            cumulative += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {cumulative}')
        return [*lines, f"{name}_sum {self.total:.6f}", f"{name}_count {cumulative}"]


class Metrics:
    """Metrics of one daemon; also sent to statsd if a client is given."""

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self.client = client
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, Histogram] = {}

    def __repr__(self) -> str:
        return f"<Metrics {len(self.counts)} counters>"

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self.counts[name] += amount
        if self.client is not None:
            self.client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value
        if self.client is not None:
            self.client.gauge(name, value)

    def observe(self, name: str, seconds: float) -> None:
        """Record a latency in the histogram of that name."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.observe(seconds)

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        lines = [f"{_prometheus_name(n)}_total {v}" for n, v in sorted(self.counts.items())]
        lines += [f"{_prometheus_name(n)} {v:g}" for n, v in sorted(self.gauges.items())]
        for name, histogram in sorted(self.histograms.items()):
            lines += histogram.render_lines(_prometheus_name(name))
        return ("\n".join(lines) + "\n").encode()

    def send_timing(self, name: str, seconds: float) -> None:
        """Send a duration to statsd."""
        if self.client is not None:
            self.client.timing(name, seconds * 1000)


def create_metrics(address: str | None, member: str) -> Metrics:
    """Create the metrics of a daemon.

    :param address: UDP address of the statsd server, or ``None`` for no statsd.
    :param member: the daemon's name, part of every statsd metric name.
    :return: the metrics.
    """
    if address is None:
        return Metrics(None)
    where = parse_address(address)
    return Metrics(statsd.StatsClient(where.host, where.port, prefix=f"{PREFIX}.{member}"))


def _prometheus_name(name: str) -> str:
    return f"{PREFIX}_{name}".replace(".", "_")
