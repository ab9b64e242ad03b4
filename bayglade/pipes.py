"""Pipes: the network links between data halls, how busy they are, and what crossing them costs.

All requests that cross between two halls share one pipe, which carries their
transfers one after another. A daemon knows what it sends over a pipe itself,
and assumes that the other daemons send as much; a busy pipe gets no further
requests.
"""

from collections.abc import Callable, Iterable
from itertools import pairwise

from bayglade.clock import DecayingSum, now
from bayglade.ids import HallName
from bayglade.pipelines import Demand, Pipeline

RATE_TIME_CONSTANT = 1.0
"""Seconds over which traffic is averaged: about as long as it takes many streams to move together."""
MAX_PIPE_USE = 0.6
"""Utilization above which a pipe gets no further requests. The traffic of other daemons is an estimate,
and the queue of transfers grows without bound as the utilization approaches 1."""
UNKNOWN_CROSSING_MS = 20.0
"""Cost of crossing a pipe whose rate is not configured: more than any path within a hall takes."""
BITS = 8.0

Pair = frozenset[HallName]


class Pipes:
    """The traffic that this daemon sends between data halls."""

    def __init__(self) -> None:
        self.sent: dict[Pair, DecayingSum] = {}
        self.daemons: Callable[[], int] = lambda: 1
        """Returns how many daemons share the pipes."""

    def __repr__(self) -> str:
        return f"<Pipes {sorted(sorted(pair) for pair in self.sent)}>"

    def use(self, pair: Pair, pipeline: Pipeline) -> float:
        """Return the estimated utilization of a pipe by all daemons, as a fraction of its rate."""
        sent = self.sent.get(pair)
        if sent is None or not pipeline.pipe_mbps:
            return 0.0
        return BITS * sent.rate(now()) * max(1, self.daemons()) / pipeline.pipe_mbps

    def crossing_cost_ms(self, one: HallName, other: HallName, pipeline: Pipeline, demand: Demand) -> float:
        """Return what a hop to another hall adds to each token of an answer.

        :param one: the sending hall.
        :param other: the receiving hall.
        :param pipeline: properties of the model.
        :param demand: the request; its prompt crosses too, and is spread over the tokens of its answer.
        :return: milliseconds; infinite while the pipe is busy.
        """
        if not pipeline.pipe_mbps:
            return UNKNOWN_CROSSING_MS
        use = self.use(frozenset((one, other)), pipeline)
        if use >= MAX_PIPE_USE:
            return float("inf")
        transfer = BITS * pipeline.hop_mb / pipeline.pipe_mbps * 1000
        tokens_each = 1.0 + demand.prompt / max(1.0, demand.answer)
        return pipeline.delay_ms(one, other) + transfer * tokens_each / (1.0 - use)

    def record(self, halls: Iterable[HallName], pipeline: Pipeline, demand: Demand) -> None:
        """Record what a request sends over pipes.

        :param halls: the halls of its stages, in order.
        :param pipeline: properties of the model.
        :param demand: the request.
        """
        passed = list(halls)
        # The way back from the last stage to the first is left out: it carries tokens, not activations.
        for one, other in pairwise(passed):
            if one != other:
                sent = self.sent.setdefault(frozenset((one, other)), DecayingSum(RATE_TIME_CONSTANT))
                sent.add(pipeline.hop_mb * (demand.prompt + demand.answer), now())
