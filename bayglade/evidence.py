"""Evidence: what stands against requests under which backend servers ended; plain functions.

A server ends under one request, and others had just begun there as well. One that many
callers ask alike is under many ends, and was answered many times before: of such a
proven request only those ends count that nothing else explains.
"""

from collections.abc import Iterable, Mapping

from bayglade.ids import Fingerprint, ServerKey

CRASHES_TO_STOP = 3
"""Starts of servers that end under a request before it is stopped whatever else ran there."""
SUSPECT_SECONDS = 600.0
"""For how long ends count after the last one."""
STOP_SECONDS = 3600.0
"""For how long a request is stopped: servers get another version of the software or weights meanwhile."""
COMMON_CAUSE_SECONDS = 0.6
"""Ends within this time may have one cause: a stage behind the first is found dead within some half a
second."""


class Evidence:
    """What is known against one request; times are monotonic seconds."""

    __slots__ = (
        "crashed_on",
        "discounted",
        "in_store",
        "interrupted_at",
        "last_crash_at",
        "proven",
        "stopped_at",
        "write_at",
    )

    def __init__(self, at: float) -> None:
        self.crashed_on: set[ServerKey] = set()
        """Starts of servers that ended while they had just begun to run it."""

        self.interrupted_at: dict[ServerKey, float] = {}
        """When servers broke it off, where that is known."""

        self.discounted: set[ServerKey] = set()
        """Ends that no longer count: the request was answered since."""

        self.proven = False
        """Whether it was answered many times before, here or at another daemon."""

        self.last_crash_at = at
        self.stopped_at: float | None = None
        self.write_at = 0.0
        """When a stop is written to the store unless another daemon has written it."""

        self.in_store = False

    def __repr__(self) -> str:
        return f"<Evidence {len(self.crashed_on)} ends proven={self.proven} stopped_at={self.stopped_at}>"

    def expires_at(self) -> float:
        """Return until when it counts; a stop that lies in the store counts for as long as it does."""
        if self.stopped_at is not None:
            return self.stopped_at + STOP_SECONDS
        return self.last_crash_at + SUSPECT_SECONDS


def should_stop(fingerprint: Fingerprint, known: Mapping[Fingerprint, Evidence]) -> bool:
    """Tell whether a request is to be stopped, by all that is known.

    It depends on the sets alone and not on the order in which they grew, so that all daemons come to the
    same verdict in the end.

    :param fingerprint: the request.
    :param known: the evidence against all requests.
    """
    evidence = known[fingerprint]
    if not evidence.proven:
        return len(evidence.crashed_on) >= CRASHES_TO_STOP
    if len(evidence.crashed_on) < CRASHES_TO_STOP:
        return False
    left = evidence.crashed_on - _explained_by_others(fingerprint, known)
    return (
        _count_incidents(evidence.interrupted_at.get(end, float("-inf")) for end in left) >= CRASHES_TO_STOP
    )


def _explained_by_others(fingerprint: Fingerprint, known: Mapping[Fingerprint, Evidence]) -> set[ServerKey]:
    """Return the ends under a request that are put down to others.

    Another one explains them that was never seen to be answered, and would be stopped itself: a harmless
    question that all callers ask runs wherever a deadly one does, and would be held back with it.
    """
    ends = known[fingerprint].crashed_on
    others = (e for other, e in known.items() if other != fingerprint and not e.proven)
    return set().union(*(e.crashed_on & ends for e in others if len(e.crashed_on) >= CRASHES_TO_STOP))


def _count_incidents(times: Iterable[float]) -> int:
    """Count moments at which servers ended: those that end together have one cause, as when a rack fails.

    :param times: when servers broke the request off; those of which it is not known count one by one.
    """
    count, since = 0, float("-inf")
    for at in sorted(times):
        if at == float("-inf") or at - since > COMMON_CAUSE_SECONDS:
            count, since = count + 1, at
    return count
