"""Evidence against requests suspected of crashing backend servers, as plain functions.

When a server crashes under one request, others had often just begun there as well. A request that many
clients send is running during many crashes, and was answered many times before. Such a request is
called proven, and only those crashes count against it that no other request explains.
"""

from collections.abc import Iterable, Mapping

from bayglade.ids import Fingerprint, ServerKey

CRASHES_TO_STOP = 3
"""Crashed server incarnations after which a request is stopped, unless it is proven."""
SUSPECT_SECONDS = 600.0
"""How long crashes count after the last one."""
STOP_SECONDS = 3600.0
"""How long a request stays stopped; by then servers may run another version of the software or the
weights."""
COMMON_CAUSE_SECONDS = 0.6
"""Crashes within this time may have one cause: a stage behind the first is found dead within about half
a second."""


class Evidence:
    """What is known against one request; times are in monotonic seconds."""

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
        """Server incarnations that crashed when they had just begun to run the request."""

        self.interrupted_at: dict[ServerKey, float] = {}
        """When these servers interrupted the request, where that is known."""

        self.discounted: set[ServerKey] = set()
        """Crashed incarnations that no longer count, as the request was answered since."""

        self.proven = False
        """Whether the request was answered many times before, here or at another daemon."""

        self.last_crash_at = at
        self.stopped_at: float | None = None
        self.write_at = 0.0
        """When a stop is written to the store, unless another daemon has written it by then."""

        self.in_store = False

    def __repr__(self) -> str:
        return (
            f"<Evidence {len(self.crashed_on)} crashes proven={self.proven} stopped_at={self.stopped_at}>"
        )

    def expires_at(self) -> float:
        """Return when the evidence stops counting; a stop in the store counts until its row is removed."""
        if self.stopped_at is not None:
            return self.stopped_at + STOP_SECONDS
        return self.last_crash_at + SUSPECT_SECONDS


def should_stop(fingerprint: Fingerprint, known: Mapping[Fingerprint, Evidence]) -> bool:
    """Tell whether a request has to be stopped, on all evidence known.

    The result depends only on the sets and not on the order in which they grew, so all daemons
    eventually reach the same verdict.

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
        _count_incidents(evidence.interrupted_at.get(crash, float("-inf")) for crash in left)
        >= CRASHES_TO_STOP
    )


def _explained_by_others(fingerprint: Fingerprint, known: Mapping[Fingerprint, Evidence]) -> set[ServerKey]:
    """Return the crashes suspected of a request that another request explains.

    The other request must not be proven, and must have enough crashes to be stopped itself. Otherwise a
    harmless request that all clients send would be stopped together with one that crashes servers,
    since it runs wherever that one does.
    """
    crashes = known[fingerprint].crashed_on
    others = (e for other, e in known.items() if other != fingerprint and not e.proven)
    return set().union(*(e.crashed_on & crashes for e in others if len(e.crashed_on) >= CRASHES_TO_STOP))


def _count_incidents(times: Iterable[float]) -> int:
    """Count distinct incidents.

    Servers that crash together have one cause, such as the failure of a rack.

    :param times: when servers interrupted the request; unknown times count as one incident each.
    """
    count, since = 0, float("-inf")
    for at in sorted(times):
        if at == float("-inf") or at - since > COMMON_CAUSE_SECONDS:
            count, since = count + 1, at
    return count
