"""What a daemon has to write to, and remove from, the stops in the store (see :mod:`bayglade.stops`)."""

import random
from collections.abc import Iterable, Mapping

from bayglade.evidence import STOP_SECONDS, Evidence
from bayglade.ids import Fingerprint
from bayglade.stops import StopRow

WRITE_SPREAD_SECONDS = 2.0
"""A daemon that learns of the deciding crash from another one writes the stop after a random delay of
up to this, unless another daemon has written it by then."""
LIFTED_SECONDS = 60.0
"""How long a lifted stop is remembered: longer than the age that a restored copy of the store may have."""


class StoredStops:
    """The stops that this daemon has to remove from the store, and those that were removed lately.

    Times are in monotonic seconds.

    :param rng: source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.pending_lifts: set[Fingerprint] = set()
        """Stops in the store that this daemon knows to be wrong and is going to remove."""

        self.recently_lifted: dict[Fingerprint, float] = {}
        """When stops were removed from the store: a restored store may contain them again."""

    def __repr__(self) -> str:
        return f"<StoredStops {len(self.pending_lifts)} to remove>"

    def write_delay(self) -> float:
        """Return a random delay before a stop is written, in seconds."""
        return self.rng.uniform(0.0, WRITE_SPREAD_SECONDS)

    def request_lifts(
        self, known: Mapping[Fingerprint, Evidence], fingerprints: Iterable[Fingerprint]
    ) -> None:
        """Schedule stops to be removed, as far as the store contains them.

        :param known: the evidence against all suspects.
        :param fingerprints: what is stopped wrongly.
        """
        self.pending_lifts |= {n for n in fingerprints if n in known and known[n].in_store}

    def take_lifts(self) -> list[Fingerprint]:
        """Return the stops that have to be removed, and reset the list."""
        lifts, self.pending_lifts = sorted(self.pending_lifts), set()
        return lifts

    def leave_out_lifted(
        self, rows: Mapping[Fingerprint, StopRow | None]
    ) -> dict[Fingerprint, StopRow | None]:
        """Return the rows of a restored store without lifted ones, which are to be removed again."""
        self.pending_lifts |= {fingerprint for fingerprint in rows if fingerprint in self.recently_lifted}
        return {n: row for n, row in rows.items() if n not in self.recently_lifted}

    def note_lifted(self, fingerprint: Fingerprint, at: float) -> None:
        """Record that a stop was removed from the store."""
        self.recently_lifted[fingerprint] = at

    def schedule_rewrite(self, lost: Iterable[Evidence], at: float) -> None:
        """Schedule stops to be written again that a restored store has lost, as of a time."""
        for evidence in lost:
            evidence.in_store = False
            evidence.write_at = at + self.write_delay()

    def expire(self, at: float) -> None:
        """Forget stops that were lifted long ago."""
        self.recently_lifted = {
            fingerprint: since
            for fingerprint, since in self.recently_lifted.items()
            if at - since <= LIFTED_SECONDS
        }


def due_to_be_written(
    stopped: Iterable[tuple[Fingerprint, Evidence]], at: float
) -> list[tuple[Fingerprint, Evidence]]:
    """Return the stops that are due to be written to the store."""
    return [(fingerprint, e) for fingerprint, e in stopped if not e.in_store and at >= e.write_at]


def expired(stopped: Iterable[tuple[Fingerprint, Evidence]], at: float) -> list[Fingerprint]:
    """Return the stops in the store whose duration is over."""
    oldest = at - STOP_SECONDS
    return [fingerprint for fingerprint, e in stopped if e.in_store and (e.stopped_at or 0.0) < oldest]
