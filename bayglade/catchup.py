"""Catching up: a daemon that starts doesn't serve with older settings than other daemons have.

The store may have been restored from an older backup, and the operator may not have repeated the
changes that were lost; daemons that were running before still have them.
"""

from collections.abc import Set

from bayglade.clock import now
from bayglade.ids import MemberId, Revision
from bayglade.intake import Intake
from bayglade.logs import event

CATCH_UP_TIMEOUT = 2.0
"""Seconds after which a daemon that got no answer from others serves with the settings in the store,
because the others may be gone."""
MOST_HEARD_SECONDS = 0.6
"""Seconds after which a daemon no longer waits for a few that are silent while most others were heard. Live
daemons answer within some tenths of a second. Hosts that were replaced stay listed for some 20 s, and with
one such row every daemon of a site that restarts as a whole refused all calls for the full time-out."""
MOST_FRACTION = 2 / 3
"""Fraction of the other daemons that most of them means. Fewer may be one side of a partition."""
CONFIRMING_DAEMONS = 2
"""Once this many daemons that have caught up have nothing newer, no others are waited for."""


class CatchUp:
    """Tracks which settings other daemons have while this one starts; times are monotonic seconds.

    :param intake: the settings in force here.
    """

    def __init__(self, intake: Intake) -> None:
        self.intake = intake
        self.known_since: float | None = None
        """When settings first became known here."""

        self.revisions: dict[MemberId, Revision] = {}
        self.confirming: set[MemberId] = set()
        """Daemons that have caught up themselves."""

    def __repr__(self) -> str:
        return f"<CatchUp members={sorted(self.revisions)}>"

    def record(self, member: MemberId, revision: Revision, caught_up: bool) -> None:
        """Record the settings that another daemon reports.

        :param member: the daemon.
        :param revision: the revision of its settings.
        :param caught_up: whether it has caught up itself.
        """
        self.revisions[member] = revision
        if caught_up:
            self.confirming.add(member)

    def check(self, others: Set[MemberId] | None) -> bool:
        """Let this daemon serve once its settings are confirmed or the wait for others has expired.

        :param others: the daemons it has streams to; None while they are not known.
        :return: whether it may serve.
        """
        if self.intake.caught_up or not self.intake.version:
            return self.intake.caught_up
        if self.known_since is None:
            self.known_since = now()
        late = now() - self.known_since >= CATCH_UP_TIMEOUT
        if not late and not self._confirmed(others):
            return False
        self.intake.confirm_settings()
        event(
            "WARNING" if late else "INFO",
            "settings not confirmed" if late else "settings confirmed",
            version=self.intake.version,
            by=sorted(self.revisions),
            after=round(now() - self.known_since, 2),
        )
        return True

    def _confirmed(self, others: Set[MemberId] | None) -> bool:
        if self.intake.version < max(self.revisions.values(), default=0):
            return False
        if len(self.confirming) >= CONFIRMING_DAEMONS:
            return True
        if others is None:
            return False
        silent = others - self.revisions.keys()
        if not silent:
            return True
        waited = now() - (self.known_since or now())
        most = len(silent) < (1 - MOST_FRACTION) * len(others)
        return most and waited >= MOST_HEARD_SECONDS
