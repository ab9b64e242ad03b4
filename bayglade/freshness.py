"""Freshness: how old what is known of a table may get, and the times that follow from that.

A rule gives a bound: a change must be known everywhere so many seconds after the
platform took it in. The times below are all worked out from that bound, so that
their sum stays within it whichever single thing fails:

- an own connection falls silent: the wait of its call, the time for an answer, a
  pause, and a call on a new connection;
- whoever tells of the table falls silent: the time for which its word is enough,
  and an own call.

One table says nothing of another: each has times of its own.
"""

WAIT_PART = 0.4
"""Part of the bound for which a call waits for changes."""

ANSWER_PART = 0.45
"""Part of the bound in which an answer must come, beside that wait."""

LONGEST_ANSWER_SECONDS = 1.0
"""No answer is waited for longer, however long the bound: a store in trouble may take some tenths."""

REST_PART = 0.7
"""Part of the bound for which what others told is enough; then the store is asked."""

GATHER_PART = 0.25
LONGEST_GATHER_SECONDS = 0.5
"""Part of the bound, and the longest time, in which changes gather after one: each call is paid for."""

LEAST_BOUND_SECONDS = 0.7
"""A shorter bound leaves no time for a pause and a second call beside the parts above; it is taken for
this one."""

KEY_TRUST_PART = 0.9
"""Part of the trust in old keys within which a change of the document must be known: a call that fails
then leaves time for another before keys are no longer trusted."""


def document_bound(config_seconds: float, key_trust_seconds: float) -> float:
    """Return within how many seconds a change of the operator's document must be known.

    :param config_seconds: time in which a change must be in force.
    :param key_trust_seconds: how old the knowledge of keys may be.
    """
    return min(config_seconds, KEY_TRUST_PART * key_trust_seconds)


def wait_within(bound: float) -> float:
    """Return how long a call waits for changes, in seconds.

    :param bound: seconds within which a change must be known.
    """
    return WAIT_PART * max(LEAST_BOUND_SECONDS, bound)


def answer_within(bound: float) -> float:
    """Return how long an answer is waited for beside the wait for changes, in seconds.

    :param bound: seconds within which a change must be known; the shortest of all tables.
    """
    return min(LONGEST_ANSWER_SECONDS, ANSWER_PART * max(LEAST_BOUND_SECONDS, bound))


def gather_within(bound: float) -> float:
    """Return for how long changes gather before the next call, in seconds.

    :param bound: seconds within which a change must be known.
    """
    return min(LONGEST_GATHER_SECONDS, GATHER_PART * max(LEAST_BOUND_SECONDS, bound))


def rest_after(wait: float) -> float:
    """Return for how long the word of others is enough, in seconds since it was surely the newest.

    :param wait: how long calls for the table wait, in seconds.
    """
    return wait / WAIT_PART * REST_PART
