"""Attribution: tells which suspects of server crashes to stop, as plain functions.

When a server crashes under one request, others had often just begun there as well, and several requests
that crash servers may have only a part of their prompts in common. The suspects are told apart by what
runs: whatever a server has run since its first crash is no cause of it (see
:meth:`bayglade.quarantine.Quarantine.note_sound`), and what remains is explained by as few suspects as
possible. The verdict depends only on the sets of evidence and not on the order in which they grew, so all
daemons eventually reach the same one.
"""

from collections.abc import Iterable, Mapping, Set
from typing import NamedTuple

from bayglade.evidence import COMMON_CAUSE_SECONDS, CRASHES_TO_STOP, Evidence, Subject
from bayglade.ids import Fingerprint, ServerKey

CRASHES_TO_STOP_PROVEN_PART = 4
"""Crashed server incarnations after which a part is stopped that was answered many times before: servers
may crash under it from now on."""
REQUESTS_TO_STOP_PART = 2
"""Different requests that crashed servers before a part that they share is stopped instead of them."""
MAX_CRASHES_A_MOMENT = 2
"""How many crashes within ``COMMON_CAUSE_SECONDS`` count at most against a part."""
REQUESTS_PER_CRASH = 2.0
"""A part that on average more requests than this had in common in each crash is used widely: it is
running wherever a server crashes."""


class Verdict(NamedTuple):
    """Which suspects to stop."""

    stopped: frozenset[Fingerprint]
    explained: frozenset[ServerKey]
    """Crashes that a stopped part explains; they count against no request."""


class SuspectedPart(NamedTuple):
    """A part of prompts with enough crashes to be stopped."""

    fingerprint: Fingerprint
    evidence: Evidence
    requests: int
    """How many different requests with it were interrupted."""


def judge(known: Mapping[Fingerprint, Evidence]) -> Verdict:
    """Tell which suspects have to be stopped, on all evidence known.

    Parts are judged from the most to the least likely, and the crashes that a stopped one explains count
    against none after it.

    :param known: the evidence against all suspects.
    """
    stopped: set[Fingerprint] = set()
    explained: set[ServerKey] = set()
    parts = [
        SuspectedPart(fingerprint, evidence, len(evidence.contents()))
        for fingerprint, evidence in _suspected(Subject.PROMPT_PART, known)
    ]
    for part in sorted(parts, key=_likelihood_order):
        if _should_stop_part(part, explained):
            stopped.add(part.fingerprint)
            explained |= part.evidence.crashed_on
    stopped.update(
        fingerprint
        for fingerprint, _ in _suspected(Subject.REQUEST, known)
        if _should_stop_request(fingerprint, known, explained)
    )
    return Verdict(frozenset(stopped), frozenset(explained))


def is_widespread(evidence: Evidence) -> bool:
    """Tell whether a part is used so widely that it is running wherever a server crashes."""
    return len(evidence.contents()) > REQUESTS_PER_CRASH * len(evidence.crashed_on)


def required_companions(
    evidence: Evidence, known: Mapping[Fingerprint, Evidence]
) -> frozenset[Fingerprint]:
    """Return the parts that a prompt must have, besides a stopped one, to be refused.

    While all requests that crashed servers have several parts in common, and none of these has been run
    since, any of them may be the cause. Requests with one of them only are sent: they tell which one.

    :param evidence: the evidence against the stopped part.
    :param known: the evidence against all suspects.
    """
    shared = [frozenset(known[content].parts) for content in evidence.contents() if content in known]
    companions = frozenset.intersection(*shared) if shared else evidence.stored_companions or frozenset()
    return frozenset(
        part
        for part in companions
        if part in known and known[part] is not evidence and known[part].crashed_on >= evidence.crashed_on
    )


def _suspected(
    subject: Subject, known: Mapping[Fingerprint, Evidence]
) -> Iterable[tuple[Fingerprint, Evidence]]:
    """Return the requests, or parts, with enough crashes to be stopped."""
    return (
        (fingerprint, evidence)
        for fingerprint, evidence in known.items()
        if evidence.subject is subject and len(evidence.crashed_on) >= CRASHES_TO_STOP
    )


def _likelihood_order(part: SuspectedPart) -> tuple[bool, int, int, Fingerprint]:
    crashes = len(part.evidence.crashed_on)
    return part.requests > REQUESTS_PER_CRASH * crashes, -crashes, part.requests, part.fingerprint


def _should_stop_part(part: SuspectedPart, explained: Set[ServerKey]) -> bool:
    evidence = part.evidence
    if evidence.confirmed_on and evidence.confirmed_on <= evidence.crashed_on:
        return True
    if part.requests < REQUESTS_TO_STOP_PART:
        return False
    needed = CRASHES_TO_STOP_PROVEN_PART if evidence.proven else CRASHES_TO_STOP
    return count_successive(evidence, evidence.crashed_on - explained) >= needed


def count_successive(evidence: Evidence, crashes: Iterable[ServerKey]) -> int:
    """Count crashes of which each interrupted a run that was sent after the one before.

    Servers that crash together have one cause, such as the failure of a rack. Most of the runs that they
    interrupt were sent before; some are sent on until all these crashes are noticed, so that few of them
    count.

    :param evidence: the evidence against the part that was run.
    :param crashes: the crashes to count; one at an unknown time counts by itself.
    """
    count, ended, since, left = 0, float("-inf"), float("-inf"), 0
    at = evidence.interrupted_at
    for crash in sorted(crashes, key=lambda crash: at.get(crash, float("-inf"))):
        if crash not in at:
            count += 1
            continue
        if evidence.sent_at.get(crash, at[crash]) < ended:
            continue
        ended = at[crash]
        if ended - since > COMMON_CAUSE_SECONDS:
            since, left = ended, MAX_CRASHES_A_MOMENT
        if left > 0:
            count, left = count + 1, left - 1
    return count


def _should_stop_request(
    fingerprint: Fingerprint, known: Mapping[Fingerprint, Evidence], explained: Set[ServerKey]
) -> bool:
    """Tell whether a request has to be stopped.

    A request that many clients send is running during many crashes, and was answered many times before.
    Against such a proven request only those crashes count that no other request explains.
    """
    evidence = known[fingerprint]
    left = evidence.crashed_on - explained
    if not evidence.proven or len(left) < CRASHES_TO_STOP:
        return len(left) >= CRASHES_TO_STOP
    left = left - _explained_by_others(fingerprint, known)
    times = (evidence.interrupted_at.get(crash, float("-inf")) for crash in left)
    return _count_incidents(times) >= CRASHES_TO_STOP


def _explained_by_others(fingerprint: Fingerprint, known: Mapping[Fingerprint, Evidence]) -> set[ServerKey]:
    """Return the crashes suspected of a request that another request explains.

    The other request must not be proven, and must have enough crashes to be stopped itself. Otherwise a
    harmless request that all clients send would be stopped together with one that crashes servers,
    since it runs wherever that one does.
    """
    crashes = known[fingerprint].crashed_on
    others = (
        e
        for other, e in known.items()
        if other != fingerprint and e.subject is Subject.REQUEST and not e.proven
    )
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
