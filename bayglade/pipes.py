"""Pipes: what a hop to another data hall costs, and how busy the way there is.

All requests that cross between two halls share one pipe, in turn. A daemon
knows what it sends over a pipe itself and takes the other daemons to do the
same; a pipe that is busy takes no more.
"""

from collections.abc import Callable, Iterable
from itertools import pairwise

from bayglade.clock import DecayingSum, now
from bayglade.ids import HallName
from bayglade.pipelines import Demand, Pipeline

RATE_SECONDS = 1.0
"""Time constant of the measured traffic: about as long as many streams take to move together."""
MOST_PIPE_USE = 0.6
"""Part of a pipe that is used at most: other daemons' traffic is an estimate, and a queue of
transfers in turn grows without bound as this comes to one."""
UNKNOWN_CROSSING_MS = 20.0
"""Cost of a crossing whose pipe the operator says nothing of: more than any path in a hall takes."""
BITS = 8.0

Pair = frozenset[HallName]


class Pipes:
    """What this daemon sends between data halls."""

    def __init__(self) -> None:
        self.sent: dict[Pair, DecayingSum] = {}
        self.daemons: Callable[[], int] = lambda: 1
        """Returns how many daemons share the pipes."""

    def __repr__(self) -> str:
        return f"<Pipes {sorted(sorted(pair) for pair in self.sent)}>"

    def use(self, pair: Pair, pipeline: Pipeline) -> float:
        """Return which part of a pipe is in use, by the estimate for all daemons."""
        sent = self.sent.get(pair)
        if sent is None or not pipeline.pipe_mbps:
            return 0.0
        return BITS * sent.rate(now()) * max(1, self.daemons()) / pipeline.pipe_mbps

    def crossing_ms(self, one: HallName, other: HallName, pipeline: Pipeline, demand: Demand) -> float:
        """Return what a hop to another hall adds to each token of an answer.

        :param one: the hall that sends.
        :param other: the hall that receives.
        :param pipeline: facts of the model.
        :param demand: the request; its prompt crosses as well, spread here over its answer.
        :return: milliseconds; infinite while the pipe is busy.
        """
        if not pipeline.pipe_mbps:
            return UNKNOWN_CROSSING_MS
        use = self.use(frozenset((one, other)), pipeline)
        if use >= MOST_PIPE_USE:
            return float("inf")
        transfer = BITS * pipeline.hop_mb / pipeline.pipe_mbps * 1000
        tokens_each = 1.0 + demand.prompt / max(1.0, demand.answer)
        return pipeline.delay_ms(one, other) + transfer * tokens_each / (1.0 - use)

    def sends(self, halls: Iterable[HallName], pipeline: Pipeline, demand: Demand) -> None:
        """Count what a request sends over pipes.

        :param halls: the halls of its stages, in order.
        :param pipeline: facts of the model.
        :param demand: the request.
        """
        passed = list(halls)
        # The last stage returns each token to the first, as a token and not as activations.
        for one, other in pairwise(passed):
            if one != other:
                sent = self.sent.setdefault(frozenset((one, other)), DecayingSum(RATE_SECONDS))
                sent.add(pipeline.hop_mb * (demand.prompt + demand.answer), now())
