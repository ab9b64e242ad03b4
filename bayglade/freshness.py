"""Freshness: how old the copy of a table may get, and the timeouts that follow from that.

A bound says within how many seconds after the platform accepted a change it must be known
everywhere. The times below are all derived from that bound so that their sum stays within it when
any single thing fails:

- an own connection goes silent: the wait of its call, the time for an answer, a retry delay, and a
  call on a new connection;
- the daemon that relays the table goes silent: the time for which relayed updates count as fresh,
  and an own call.

Each table has timeouts of its own: that one is fresh says nothing about another.
"""

WAIT_FRACTION = 0.4
"""Fraction of the bound for which a call waits for changes."""

ANSWER_FRACTION = 0.45
"""Fraction of the bound within which an answer must arrive, in addition to that wait."""

MAX_ANSWER_SECONDS = 1.0
"""Upper limit of that time, however long the bound: a degraded store may take some tenths of a
second."""

RELAY_VALID_FRACTION = 0.7
"""Fraction of the bound for which relayed updates count as fresh; after that the store is called."""

BATCH_FRACTION = 0.25
MAX_BATCH_SECONDS = 0.5
"""Fraction of the bound, and upper limit, of the sleep after a change. More changes gather in it for one
call, because each call costs money."""

MIN_BOUND_SECONDS = 0.7
"""Lower limit of the bound; a shorter one is raised to it, because it would leave no time for a retry delay
and a second call beside the fractions above."""

KEY_TRUST_FRACTION = 0.9
"""Fraction of the validity of cached keys within which a change of the document must be known. This leaves
time for another call after a failed one before keys are no longer trusted."""


def document_bound(config_seconds: float, key_trust_seconds: float) -> float:
    """Return within how many seconds a change of the operator's document must be known.

    :param config_seconds: seconds within which a change must be in force.
    :param key_trust_seconds: how old the copy of the keys may be.
    """
    return min(config_seconds, KEY_TRUST_FRACTION * key_trust_seconds)


def poll_wait(bound: float) -> float:
    """Return how long a call waits for changes, in seconds.

    :param bound: seconds within which a change must be known.
    """
    return WAIT_FRACTION * max(MIN_BOUND_SECONDS, bound)


def answer_timeout(bound: float) -> float:
    """Return how long to wait for an answer beyond the wait for changes, in seconds.

    :param bound: seconds within which a change must be known; the shortest of all tables.
    """
    return min(MAX_ANSWER_SECONDS, ANSWER_FRACTION * max(MIN_BOUND_SECONDS, bound))


def batch_delay(bound: float) -> float:
    """Return how long to let changes gather before the next call, in seconds.

    :param bound: seconds within which a change must be known.
    """
    return min(MAX_BATCH_SECONDS, BATCH_FRACTION * max(MIN_BOUND_SECONDS, bound))


def relay_validity(wait: float) -> float:
    """Return for how many seconds after they were current relayed updates make a call unnecessary.

    :param wait: how long calls for the table wait, in seconds.
    """
    return wait / WAIT_FRACTION * RELAY_VALID_FRACTION
