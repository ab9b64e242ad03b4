"""Evidence: what stands against requests under which backend servers ended; plain functions.

A server ends under one request, and others had just begun there as well. One that many
callers ask alike is under many ends, and was answered many times before: of such a
proven request only those ends count that nothing else explains.
"""

from collections.abc import Iterable, Mapping

from bayglade.ids import Fingerprint, ServerKey

MOST_ENDS = 3
"""Starts of servers that end under a request before it is stopped whatever else ran there."""
SUSPECT_SECONDS = 600.0
"""For how long ends count after the last one."""
STOP_SECONDS = 3600.0
"""For how long a request is stopped: servers get another version of the software or weights meanwhile."""
MANY_SECONDS = 0.6
"""Ends within this time may have one cause: a stage behind the first is found dead within some half a
second."""


class Evidence:
    """What is known against one request; times are monotonic seconds."""

    __slots__ = (
        "broke_at",
        "ended_at",
        "ends",
        "in_store",
        "proven",
        "stopped_at",
        "void",
        "write_at",
    )

    def __init__(self, at: float) -> None:
        self.ends: set[ServerKey] = set()
        """Starts of servers that ended while they had just begun to run it."""

        self.broke_at: dict[ServerKey, float] = {}
        """When servers broke it off, where that is known."""

        self.void: set[ServerKey] = set()
        """Ends that no longer count: the request was answered since."""

        self.proven = False
        """Whether it was answered many times before, here or at another daemon."""

        self.ended_at = at
        self.stopped_at: float | None = None
        self.write_at = 0.0
        """When a stop is written to the store unless another daemon has written it."""

        self.in_store = False

    def __repr__(self) -> str:
        return f"<Evidence {len(self.ends)} ends proven={self.proven} stopped_at={self.stopped_at}>"

    def counts_until(self) -> float:
        """Return until when it counts; a stop that lies in the store counts for as long as it does."""
        if self.stopped_at is not None:
            return self.stopped_at + STOP_SECONDS
        return self.ended_at + SUSPECT_SECONDS


def stands(name: Fingerprint, known: Mapping[Fingerprint, Evidence]) -> bool:
    """Tell whether a request is to be stopped, by all that is known.

    It depends on the sets alone and not on the order in which they grew, so that all daemons come to the
    same verdict in the end.

    :param name: the request.
    :param known: the evidence against all requests.
    """
    evidence = known[name]
    if not evidence.proven:
        return len(evidence.ends) >= MOST_ENDS
    if len(evidence.ends) < MOST_ENDS:
        return False
    left = evidence.ends - _explained(name, known)
    return _events(evidence.broke_at.get(end, float("-inf")) for end in left) >= MOST_ENDS


def _explained(name: Fingerprint, known: Mapping[Fingerprint, Evidence]) -> set[ServerKey]:
    """Return the ends under a request that are put down to others.

    Another one explains them that was never seen to be answered, and would be stopped itself: a harmless
    question that all callers ask runs wherever a deadly one does, and would be held back with it.
    """
    ends = known[name].ends
    others = (e for other, e in known.items() if other != name and not e.proven)
    return set().union(*(e.ends & ends for e in others if len(e.ends) >= MOST_ENDS))


def _events(times: Iterable[float]) -> int:
    """Count moments at which servers ended: those that end together have one cause, as when a rack fails.

    :param times: when servers broke the request off; those of which it is not known count one by one.
    """
    count, since = 0, float("-inf")
    for at in sorted(times):
        if at == float("-inf") or at - since > MANY_SECONDS:
            count, since = count + 1, at
    return count
