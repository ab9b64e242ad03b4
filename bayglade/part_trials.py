"""Trials of stopped parts of prompts: when one call with such a part is sent again.

No server runs a stopped part any more, so nothing else would clear one that was stopped wrongly. A trial
of a part that does crash servers costs one of them, so trials become rare quickly.
"""

from bayglade.evidence import Evidence

INTERVAL_SECONDS = 60.0
"""How long after the last crash a part is tried."""
PROVEN_INTERVAL_SECONDS = 4.0
"""The same for a part that was answered many times before: many requests may wait for the outcome."""
BACKOFF = 5.0
"""Factor by which that time grows with each trial that crashed a server."""
GRACE_SECONDS = 2.0
"""Crashes this soon after a stop were caused by calls sent before it."""
TURN_SECONDS = 5.0
"""How long one daemon may try a part before it is the turn of another one."""


def due_at(evidence: Evidence) -> float:
    """Return when a stopped part is tried next, in monotonic seconds.

    :param evidence: the evidence against the part.
    """
    interval = PROVEN_INTERVAL_SECONDS if evidence.proven else INTERVAL_SECONDS
    since = max(evidence.last_crash_at, evidence.stopped_at or 0.0)
    return since + interval * BACKOFF**evidence.failed_trials


def turn_at(evidence: Evidence, at: float) -> int:
    """Return the number of the turn at a time; in each, one daemon may try the part.

    :param evidence: the evidence against the part.
    :param at: a time after the trial is due, in monotonic seconds.
    """
    return int((at - due_at(evidence)) / TURN_SECONDS)


def is_failed_trial(evidence: Evidence, at: float) -> bool:
    """Tell whether a crash at a time, in monotonic seconds, was caused by a trial."""
    return evidence.stopped_at is not None and at - evidence.stopped_at > GRACE_SECONDS
