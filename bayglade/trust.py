"""Trust in the local settings: how old they may be while requests are served.

A daemon that hears neither from the table nor from any other daemon cannot learn of a newer
revision. After a configured time it stops serving, unless it is the only daemon in the host list,
because then nobody else could have accepted a change.
"""

from collections.abc import Callable

from bayglade.clock import now
from bayglade.entries import Membership
from bayglade.exceptions import CutOff
from bayglade.revisions import Revisions


class Trust:
    """Decides whether this daemon may act on its settings.

    :param revisions: the settings in force.
    :param membership: returns the other daemons.
    :param blind_limit: seconds without confirmation after which it may not.
    """

    def __init__(
        self, revisions: Revisions, membership: Callable[[], Membership], blind_limit: float
    ) -> None:
        self.revisions = revisions
        self.membership = membership
        self.blind_limit = blind_limit

    def __repr__(self) -> str:
        return f"<Trust {'good' if self.is_fresh() else 'lost'}>"

    def age(self) -> float:
        """Return the seconds since the table or another daemon last confirmed the settings."""
        return now() - max(self.revisions.known_at, self.membership().heard_at())

    def is_fresh(self) -> bool:
        """Return whether the settings are recent enough to act on."""
        if self.revisions.known_at == 0.0 and not self.revisions.current.revision:
            return False
        return self.member_count() == 1 or self.age() < self.blind_limit

    def check(self) -> None:
        """Refuse to act on outdated settings.

        :raises CutOff: when nothing has confirmed them for too long.
        """
        if not self.is_fresh():
            raise CutOff(
                "this daemon is cut off and may not know the settings in force",
                step="trust",
                retry_after=2.0,
            )

    def member_count(self) -> int:
        """Return how many daemons are in the host list, including this one."""
        return len(self.membership().listed)
