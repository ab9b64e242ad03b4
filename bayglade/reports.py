"""Reports among daemons, called findings, that a stage is silent or that it answers again.

One daemon detects this first, and all have to know of it. If each of them then
probed the stage itself, a dead server would get one probe per daemon. So a
finding names the daemon that made it: a few daemons probe the stage themselves,
and what two daemons found independently is believed by all others.
"""

from collections.abc import Iterable

from bayglade.clock import now
from bayglade.entries.wire import Finding
from bayglade.ids import BackendId, MemberId

PROBING_DAEMONS = 6
"""Average number of daemons that probe a stage themselves after another daemon found it silent."""
FINDERS_TO_BELIEVE = 2
"""Number of daemons that must find a stage silent before others believe it without a probe. One alone may
have a congested link."""
MAX_FORWARDED = 3
"""Number of findings about one server that are forwarded: one more than needed, in case one gets lost."""
FINDING_SECONDS = 2.5
"""Seconds for which a finding counts."""


class HeardFindings:
    """The findings of one kind that a daemon has received or made; times are monotonic seconds."""

    def __init__(self) -> None:
        self.heard: dict[BackendId, dict[MemberId, float]] = {}
        """When each daemon's finding about a server arrived, unless the opposite was found since."""

        self.last_numbers: dict[BackendId, dict[MemberId, tuple[int, float]]] = {}
        """Number and time of each daemon's last finding about a server, whatever was found since. Without
        them, a finding would seem new again after its opposite and be forwarded again, and the two would
        circulate forever."""

    def __repr__(self) -> str:
        return f"<HeardFindings of {len(self.heard)} servers>"

    def add(self, findings: Iterable[Finding]) -> list[Finding]:
        """Add findings.

        :param findings: the findings.
        :return: those that are new here and should be forwarded.
        """
        at = now()
        fresh = []
        for finding in findings:
            numbers = self.last_numbers.setdefault(finding.backend, {})
            number, received_at = numbers.get(finding.finder, (-1, float("-inf")))
            if finding.number <= number and at - received_at < FINDING_SECONDS:
                continue
            numbers[finding.finder] = (finding.number, at)
            self.heard.setdefault(finding.backend, {})[finding.finder] = at
            if self._count(finding.backend) <= MAX_FORWARDED:
                fresh.append(finding)
        return fresh

    def is_believed(self, backend: BackendId) -> bool:
        """Tell whether enough daemons have found the same about a server."""
        return self._count(backend) >= FINDERS_TO_BELIEVE

    def forget(self, backend: BackendId) -> None:
        """Drop the findings about a server, because the opposite was found."""
        self.heard.pop(backend, None)

    def server_restarted(self, backend: BackendId) -> None:
        """Drop everything known about a server, because it has restarted."""
        self.forget(backend)
        self.last_numbers.pop(backend, None)

    def _count(self, backend: BackendId) -> int:
        """Return how many daemons have a recent finding about a server."""
        oldest = now() - FINDING_SECONDS
        return sum(1 for at in self.heard.get(backend, {}).values() if at >= oldest)
