"""Reports of stages found silent, or answering again, as daemons pass them on.

One daemon finds a stage, and all have to know of it; if each then looked for
itself, one dead server would be asked once a daemon. So a report names who found
it: a few daemons look for themselves, and what two of them found alone is taken
for true by the others.
"""

from collections.abc import Iterable

from bayglade.clock import now
from bayglade.entries.wire import Finding
from bayglade.ids import BackendId, MemberId

LOOKERS = 6
"""Daemons that look for themselves at a stage that one other found silent, on average."""
ENOUGH = 2
"""Daemons that have to find a stage silent before it is believed unseen: the link of one may be full."""
MOST_TOLD = 3
"""Findings of one server that are passed on: one more than is believed, should one get lost."""
REPORT_SECONDS = 2.5
"""How long a report counts."""


class Reports:
    """The reports of one kind that a daemon has heard or made; times are monotonic."""

    def __init__(self) -> None:
        self.heard: dict[BackendId, dict[MemberId, float]] = {}
        """When each daemon reported a server, unless the contrary was found since."""

        self.passed: dict[BackendId, dict[MemberId, tuple[int, float]]] = {}
        """Number and time of each daemon's last report of a server, whatever was found since: one that is
        new again because of a contrary one would be passed on again, and the two would go round for
        ever."""

    def __repr__(self) -> str:
        return f"<Reports of {len(self.heard)} servers>"

    def add(self, findings: Iterable[Finding]) -> list[Finding]:
        """Take in reports.

        :param findings: the reports.
        :return: those that are new here and worth passing on.
        """
        at = now()
        fresh = []
        for finding in findings:
            passed = self.passed.setdefault(finding.backend, {})
            number, passed_at = passed.get(finding.finder, (-1, float("-inf")))
            if finding.number <= number and at - passed_at < REPORT_SECONDS:
                continue
            passed[finding.finder] = (finding.number, at)
            self.heard.setdefault(finding.backend, {})[finding.finder] = at
            if self._count(finding.backend) <= MOST_TOLD:
                fresh.append(finding)
        return fresh

    def enough(self, backend: BackendId) -> bool:
        """Tell whether so many daemons found the same of a server that it is believed."""
        return self._count(backend) >= ENOUGH

    def forget(self, backend: BackendId) -> None:
        """Drop the reports of a server: the contrary was found."""
        self.heard.pop(backend, None)

    def restarted(self, backend: BackendId) -> None:
        """Drop all that was told of a server: it has started again."""
        self.forget(backend)
        self.passed.pop(backend, None)

    def _count(self, backend: BackendId) -> int:
        """Return how many daemons reported a server lately."""
        oldest = now() - REPORT_SECONDS
        return sum(1 for at in self.heard.get(backend, {}).values() if at >= oldest)
