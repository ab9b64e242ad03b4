"""Quarantine: requests under which backend servers ended, each time that they were run.

Such a request takes a server with all that runs there for seconds, and comes again
under another id, at any daemon. So ends are counted by what was asked (see
:mod:`bayglade.fingerprints`) and by server_key of a server, over all daemons: the set of
(request, server_key) only grows, daemons tell each other of what is new in it, and may
merge it in any order. A request is stopped once enough starts have ended under it.
What is stopped also lies in the platform's store, for daemons that server_key anew.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Set

import msgspec

from bayglade.answers import Answers
from bayglade.calls import Call
from bayglade.clock import now
from bayglade.entries.wire import Crash
from bayglade.evidence import COMMON_CAUSE_SECONDS, CRASHES_TO_STOP, STOP_SECONDS, Evidence, should_stop
from bayglade.exceptions import RequestStopped
from bayglade.fingerprints import fingerprint_of
from bayglade.ids import BackendId, Fingerprint, ServerKey
from bayglade.logs import event, limited
from bayglade.retries import spread_retry_after

SUSPECT_RUN_SECONDS = 1.0
"""A request whose first event is older when its server ends did not end it: those that do end servers
soon after these begin to run them."""
RESEND_DELAY_SECONDS = 0.15
"""How long a request waits under which two servers have ended before it is sent once more, for word of
what else was under way there and of a third end."""
TRIAL_SECONDS = 0.4
"""How long another suspect is kept away from a server to which one was sent: longer than servers last
under requests that end them, shorter than callers wait."""
UNCONFIRMED_SECONDS = 6.0
"""How long a request whose server broke off waits for word that the server has ended: the entry of one
that fell silent is gone after three of its heartbeats, 3.6 s on the users' platform."""
MASS_CRASH_COUNT = 3
"""So many other servers that ended at about the same time have a cause of their own."""
ANSWER_GRACE_SECONDS = 0.5
"""How long a stop waits for word that its request was answered before it goes to the store."""
WRITE_SPREAD_SECONDS = 2.0
"""Within this time a daemon that was told of the last end writes a stop that nobody else has written."""
LIFTED_SECONDS = 60.0
"""How long a stop that was lifted is remembered: longer than a copy of the store is old."""
MAX_SUSPECTS = 4096
"""Requests that are remembered: each end of a server adds those that had just begun there."""
MAX_SHARED_ON_JOIN = 64
"""Of them, how many a daemon that joins is told of."""
MAX_LOGS_PER_SECOND = 5.0
"""Refusals that are logged: callers may repeat a stopped request at will."""


class Trial(msgspec.Struct, frozen=True):
    """A suspect that has just been sent to a server."""

    suspect: Fingerprint
    until: float


class CrashTimes(msgspec.Struct, frozen=True):
    """When this daemon had word that a server_key of a server has ended, in monotonic seconds."""

    first_at: float
    last_at: float


class Quarantine:
    """The requests that one daemon holds back, and what it knows of others.

    :param key: key of fingerprints; the same for all daemons once they have joined.
    :param rng: source of chance.
    """

    def __init__(self, key: bytes, rng: random.Random) -> None:
        self.key = key
        self.rng = rng
        self.evidence: OrderedDict[Fingerprint, Evidence] = OrderedDict()
        """By request, the one heard of last at the end."""

        self.unconfirmed: dict[ServerKey, dict[Fingerprint, float]] = {}
        """Requests that broke off on a server which may have ended, and since when."""

        self.remote_unconfirmed: dict[ServerKey, dict[Fingerprint, float]] = {}
        """The same of requests that other daemons sent: they may be gone when word of the end comes."""

        self.seen_interruptions: dict[tuple[Fingerprint, ServerKey], float] = {}
        """Which breaks other daemons told of, and when: each is passed on once."""

        self.recent_crashes: dict[ServerKey, CrashTimes] = {}
        """Starts of servers that ended lately."""

        self.answers = Answers()
        """Those that many ask alike are answered again and again, and are under many ends."""

        self.pending_lifts: set[Fingerprint] = set()
        """Stops in the store that this daemon knows to be wrong."""

        self.recently_lifted: dict[Fingerprint, float] = {}
        """Stops whose rows were removed lately, and when: a restored store may have them again."""

        self.trials: dict[BackendId, Trial] = {}
        """The suspect that was sent last to each server."""

        self.on_update: Callable[[list[Crash], list[Fingerprint]], None] = lambda crashes, cleared: None
        """Told what other daemons do not know: ends, and requests that were answered."""

        self.on_interrupted: Callable[[Crash], None] = lambda crash: None
        """Told of requests that broke off on servers which may have ended."""

        self.on_proven: Callable[[list[Fingerprint]], None] = lambda fingerprints: None
        """Told of requests under which servers end though they were answered many times before."""

        self.log_refusal = limited(MAX_LOGS_PER_SECOND)

    def __repr__(self) -> str:
        return f"<Quarantine {len(self.stopped())} stopped of {len(self.evidence)}>"

    def use_key(self, key: bytes) -> None:
        """Name requests as the other daemons do; what was named otherwise is forgotten."""
        if key == self.key:
            return
        self.key = key
        self.answers.forget_fingerprints()
        for known in (
            self.evidence,
            self.unconfirmed,
            self.remote_unconfirmed,
            self.seen_interruptions,
            self.trials,
        ):
            known.clear()

    def fingerprint_for(self, call: Call) -> Fingerprint:
        """Return the fingerprint of a call, which is worked out once."""
        if call.fingerprint is None:
            call.fingerprint = fingerprint_of(call, self.key)
        return call.fingerprint

    def stopped(self) -> list[tuple[Fingerprint, Evidence]]:
        """List the requests that are held back."""
        return [(fingerprint, e) for fingerprint, e in self.evidence.items() if e.stopped_at is not None]

    def is_stopped(self, call: Call) -> bool:
        """Tell whether a call must not be sent."""
        evidence = self._evidence_for(call)
        return evidence is not None and evidence.stopped_at is not None

    def check(self, call: Call) -> None:
        """Refuse a call that must not be sent.

        :raises RequestStopped: when servers ended each time that it was run.
        """
        evidence = self._evidence_for(call)
        if evidence is None or evidence.stopped_at is None:
            return
        fingerprint = self.fingerprint_for(call)
        self.log_refusal("WARNING", "request held back", request=call.head.id, content=fingerprint)
        left = max(0.0, evidence.stopped_at + STOP_SECONDS - now())
        raise RequestStopped(
            f"{len(evidence.crashed_on)} servers ended when they ran this request ({fingerprint})",
            step="quarantine",
            retry_after=spread_retry_after(left, self.rng),
        )

    def is_suspect(self, call: Call) -> bool:
        """Tell whether a server ended, or may have, when it had just begun to run a call."""
        evidence = self._evidence_for(call)
        return (evidence is not None and len(evidence.crashed_on) > 0) or len(
            self.unconfirmed_servers(call)
        ) > 0

    def unconfirmed_servers(self, call: Call) -> list[ServerKey]:
        """List the starts of servers that broke a call off, of which it is not known whether they ended."""
        if not self.unconfirmed:
            return []
        fingerprint = self.fingerprint_for(call)
        return [
            server_key
            for server_key, fingerprints in self.unconfirmed.items()
            if fingerprint in fingerprints
        ]

    def servers_on_trial(self, call: Call) -> frozenset[BackendId]:
        """Return the servers to which other suspects than a call were sent just now."""
        at, fingerprint = now(), self.fingerprint_for(call)
        return frozenset(b for b, t in self.trials.items() if t.until > at and t.suspect != fingerprint)

    def note_sent(self, call: Call, backend: BackendId) -> None:
        """Note that a call is sent to a server: a suspect is on trial there."""
        if (self.evidence or self.unconfirmed) and self.is_suspect(call):
            self.trials[backend] = Trial(self.fingerprint_for(call), now() + TRIAL_SECONDS)

    def resend_delay(self, call: Call) -> float:
        """Return how long to wait before a call is sent once more, for word of its servers' ends."""
        evidence = self._evidence_for(call)
        ends = len(evidence.crashed_on) if evidence is not None else 0
        ends += len(self.unconfirmed_servers(call))
        return RESEND_DELAY_SECONDS if ends >= CRASHES_TO_STOP - 1 else 0.0

    def note_interrupted(
        self, call: Call, server_key: ServerKey, begun_at: float | None, sent_at: float = float("-inf")
    ) -> None:
        """Note that a server broke a call off, and may have ended.

        :param call: the call.
        :param server_key: the server_key of the server.
        :param begun_at: when the first event of this run came, if one came.
        :param sent_at: when the call was sent to the server. One known to have ended before did not end
            under it; where many end at once, harmless streams would be held back for such ends.
        """
        if begun_at is not None and now() - begun_at > SUSPECT_RUN_SECONDS:
            return
        end = self.recent_crashes.get(server_key)
        if end is not None and end.first_at < sent_at:
            return
        fingerprint = self.fingerprint_for(call)
        if end is not None:
            self._publish(self._add_crashes([Crash(fingerprint, *server_key)]))
            return
        self.unconfirmed.setdefault(server_key, {})[fingerprint] = now()
        self.on_interrupted(Crash(fingerprint, *server_key))

    def mass_crash(self, call: Call) -> bool:
        """Tell whether several servers ended just now but for those under a call: a cause of their own."""
        oldest = now() - COMMON_CAUSE_SECONDS
        evidence = self._evidence_for(call)
        under_it = evidence.crashed_on if evidence is not None else frozenset()
        others = [end for server_key, end in self.recent_crashes.items() if server_key not in under_it]
        return sum(end.last_at >= oldest for end in others) >= MASS_CRASH_COUNT

    def server_ended(self, server_key: ServerKey) -> None:
        """Take in that a server_key of a server has surely ended."""
        at = now()
        known = self.recent_crashes.get(server_key)
        self.recent_crashes[server_key] = CrashTimes(known.first_at if known is not None else at, at)
        suspects = self.unconfirmed.pop(server_key, {})
        told = {
            suspect: since
            for suspect, since in self.remote_unconfirmed.pop(server_key, {}).items()
            if suspect not in suspects
        }
        # Those of one end together: which of them explains it shows only then.
        fresh = self._add_crashes(
            Crash(suspect, *server_key, round(at - since, 3))
            for suspect, since in (suspects | told).items()
        )
        self._publish([crash for crash in fresh if crash.fingerprint in suspects])

    def server_alive(self, server_key: ServerKey, asked_at: float) -> None:
        """Take in that a server_key of a server answers: what broke off there before did not end it.

        :param server_key: the server_key.
        :param asked_at: when it was asked.
        """
        for known in (self.unconfirmed, self.remote_unconfirmed):
            if (fingerprints := known.get(server_key)) is not None:
                known[server_key] = {
                    fingerprint: since for fingerprint, since in fingerprints.items() if since > asked_at
                }

    def note_answered(self, call: Call) -> None:
        """Note a whole answer: the request ends no server."""
        self.answers.note(call, now())
        if not (self.evidence or self.unconfirmed or self.remote_unconfirmed):
            return
        fingerprint = self.fingerprint_for(call)
        if cleared := self._clear([fingerprint]):
            self._request_lift(cleared)
            self.on_update([], cleared)

    def merge_crashes(
        self, crashes: Iterable[Crash], cleared: Iterable[Fingerprint]
    ) -> tuple[list[Crash], list[Fingerprint]]:
        """Take in what another daemon tells.

        :param crashes: ends under requests.
        :param cleared: requests that were answered since.
        :return: what of it was not known here.
        """
        told = list(crashes)
        answered = {crash.fingerprint for crash in told if self._answered_since(crash)}
        if answered:
            # Whoever counts that end has to hear of the answer, which came to another daemon.
            self._request_lift(answered)
            self.on_update([], sorted(answered))
        fresh = self._add_crashes(told, self.rng.uniform(0.0, WRITE_SPREAD_SECONDS))
        for crash in told:
            # Whoever tells of it knows that this server_key has ended.
            self.server_ended(crash.key)
        return fresh, self._clear([*answered, *cleared])

    def merge_interruptions(self, breaks: Iterable[Crash]) -> list[Crash]:
        """Take in which requests broke off at other daemons, whose servers may have ended.

        :return: what was not heard before.
        """
        fresh = [crash for crash in breaks if self._note_remote_interruption(crash)]
        for crash in fresh:
            if crash.key in self.recent_crashes:
                self._add_crashes([crash])
            elif not self._answered_since(crash):
                self.remote_unconfirmed.setdefault(crash.key, {})[crash.fingerprint] = now() - crash.age
        return fresh

    def _note_remote_interruption(self, crash: Crash) -> bool:
        """Tell whether word of a break is new and of use; it dies out, as nobody passes it on twice."""
        mark = (crash.fingerprint, crash.key)
        if (
            crash.age > UNCONFIRMED_SECONDS
            or mark in self.seen_interruptions
            or len(self.seen_interruptions) >= MAX_SUSPECTS
        ):
            return False
        self.seen_interruptions[mark] = now()
        return True

    def snapshot(self) -> tuple[list[Crash], list[Fingerprint]]:
        """Return the ends that count, and which of their requests are proven, for a daemon that joins.

        Those heard of last, where there are many.
        """
        at = now()
        lately = [(fingerprint, e) for fingerprint, e in self.evidence.items() if e.crashed_on][
            -MAX_SHARED_ON_JOIN:
        ]
        crashes = [
            Crash(fingerprint, *end, round(at - e.interrupted_at.get(end, at), 3))
            for fingerprint, e in lately
            for end in e.crashed_on
        ]
        return crashes, [fingerprint for fingerprint, e in lately if e.proven]

    def merge_stored(
        self, rows: dict[Fingerprint, list[ServerKey] | None], whole: bool, restored: bool = False
    ) -> None:
        """Take in stops as they lie in the store.

        :param rows: ends by request; nothing for a stop that was lifted.
        :param whole: whether these are all there are.
        :param restored: whether the store came back from an older copy, which lacks newer stops.
        """
        lifted = {fingerprint for fingerprint, ends in rows.items() if ends is None}
        missing = {
            fingerprint
            for fingerprint, e in self.evidence.items()
            if whole and e.in_store and fingerprint not in rows
        }
        if restored:
            self._schedule_rewrite(missing)
            self.pending_lifts |= {
                fingerprint for fingerprint in rows if fingerprint in self.recently_lifted
            }
            rows = {
                fingerprint: ends
                for fingerprint, ends in rows.items()
                if fingerprint not in self.recently_lifted
            }
        else:
            lifted |= missing
        for fingerprint in lifted:
            if fingerprint in self.evidence and self.evidence[fingerprint].in_store:
                event("INFO", "request let go", content=fingerprint, reason="its row was removed")
                self.evidence.pop(fingerprint)
                self.recently_lifted[fingerprint] = now()
        stored = {fingerprint: ends for fingerprint, ends in rows.items() if ends is not None}
        for fingerprint, ends in stored.items():
            self._add_evidence(fingerprint, ends)
            self.evidence[fingerprint].in_store = True
        for fingerprint in stored:
            evidence = self.evidence[fingerprint]
            if evidence.crashed_on and not (
                evidence.proven and not should_stop(fingerprint, self.evidence)
            ):
                self._stop(fingerprint, evidence, "the store")
            elif evidence.crashed_on:
                self._request_lift([fingerprint])

    def _schedule_rewrite(self, fingerprints: Iterable[Fingerprint]) -> None:
        """Have the rows of stops written that a restored store has lost."""
        for fingerprint in fingerprints:
            evidence = self.evidence[fingerprint]
            evidence.in_store = False
            evidence.write_at = now() + self.rng.uniform(0.0, WRITE_SPREAD_SECONDS)

    def unwritten(self) -> list[tuple[Fingerprint, Evidence]]:
        """List the stops that are due to be written to the store."""
        at = now()
        return [
            (fingerprint, e) for fingerprint, e in self.stopped() if not e.in_store and at >= e.write_at
        ]

    def expired(self) -> list[Fingerprint]:
        """List the stops in the store that have lasted long enough."""
        oldest = now() - STOP_SECONDS
        return [n for n, e in self.stopped() if e.in_store and (e.stopped_at or 0.0) < oldest]

    def tidy(self) -> None:
        """Forget what no longer counts; called now and then."""
        at = now()
        self.trials = {backend: trial for backend, trial in self.trials.items() if trial.until > at}
        for server_key in [
            s for s, end in self.recent_crashes.items() if at - end.last_at > UNCONFIRMED_SECONDS
        ]:
            del self.recent_crashes[server_key]
        self.seen_interruptions = {
            mark: since
            for mark, since in self.seen_interruptions.items()
            if at - since <= UNCONFIRMED_SECONDS
        }
        self.recently_lifted = {
            fingerprint: since
            for fingerprint, since in self.recently_lifted.items()
            if at - since <= LIFTED_SECONDS
        }
        for known in (self.unconfirmed, self.remote_unconfirmed):
            for server_key, fingerprints in list(known.items()):
                known[server_key] = {
                    n: since for n, since in fingerprints.items() if at - since <= UNCONFIRMED_SECONDS
                }
                if not known[server_key]:
                    del known[server_key]
        for fingerprint in [
            fingerprint
            for fingerprint, e in self.evidence.items()
            if not e.in_store and e.expires_at() < at
        ]:
            self.evidence.pop(fingerprint)

    def _evidence_for(self, call: Call) -> Evidence | None:
        """Return what is known against a call; costs nothing while nothing is known of any."""
        return self.evidence.get(self.fingerprint_for(call)) if self.evidence else None

    def _get_or_create(self, fingerprint: Fingerprint) -> Evidence:
        if fingerprint not in self.evidence:
            self._evict_if_full()
            self.evidence[fingerprint] = Evidence(now())
        self.evidence.move_to_end(fingerprint)
        return self.evidence[fingerprint]

    def _evict_if_full(self) -> None:
        """Forget the oldest request that is not stopped, else the oldest stop, where there are too many."""
        if len(self.evidence) < MAX_SUSPECTS:
            return
        oldest = next(iter(self.evidence))
        self.evidence.pop(next((n for n, e in self.evidence.items() if e.stopped_at is None), oldest))

    def _add_crashes(self, crashes: Iterable[Crash], write_after: float = 0.0) -> list[Crash]:
        """Count ends; return those that are new here.

        :param write_after: seconds after which a stop that follows is written to the store.
        """
        fresh = [
            crash
            for crash in crashes
            if not self._answered_since(crash)
            and self._add_evidence(crash.fingerprint, [crash.key], now() - crash.age)
        ]
        self._reassess({crash.key for crash in fresh}, write_after)
        return fresh

    def _reassess(self, ends: Set[ServerKey], write_after: float = 0.0) -> None:
        """Stop the requests that are to be stopped by all that is known now, and let others go.

        :param ends: what is new: only requests under these are looked at.
        :param write_after: seconds after which a stop that follows is written to the store.
        """
        for fingerprint in [n for n, e in self.evidence.items() if not ends.isdisjoint(e.crashed_on)]:
            evidence = self.evidence[fingerprint]
            if should_stop(fingerprint, self.evidence):
                if evidence.stopped_at is None:
                    evidence.write_at = now() + ANSWER_GRACE_SECONDS + write_after
                self._stop(fingerprint, evidence, "servers ended")
            elif evidence.proven and evidence.stopped_at is not None:
                evidence.stopped_at = None
                self._request_lift([fingerprint])
                event("INFO", "request let go", content=fingerprint, reason="others explain its ends")

    def merge_proven(self, fingerprints: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Take in which requests were answered many times at other daemons; return those new here."""
        return [fingerprint for fingerprint in fingerprints if self._mark_proven(fingerprint)]

    def _mark_proven(self, fingerprint: Fingerprint) -> bool:
        """Note that a request was answered many times; tell whether that is new here."""
        evidence = self._get_or_create(fingerprint)
        if evidence.proven:
            return False
        evidence.proven = True
        self._reassess(evidence.crashed_on)
        return True

    def _answered_since(self, crash: Crash) -> bool:
        """Tell whether a request was answered here after it had been broken off elsewhere."""
        return self.answers.last_answered_at(crash.fingerprint, self.key) > now() - crash.age

    def _request_lift(self, fingerprints: Iterable[Fingerprint]) -> None:
        """Have the rows of stops removed, as their requests were answered."""
        known = [(fingerprint, self.evidence.get(fingerprint)) for fingerprint in fingerprints]
        self.pending_lifts |= {
            fingerprint for fingerprint, evidence in known if evidence is not None and evidence.in_store
        }

    def take_lifts(self) -> list[Fingerprint]:
        """Return the stops whose rows this daemon is to remove, once."""
        lifts, self.pending_lifts = sorted(self.pending_lifts), set()
        return lifts

    def _add_evidence(
        self, fingerprint: Fingerprint, starts: Iterable[ServerKey], broke_at: float | None = None
    ) -> bool:
        """Add ends to the evidence; tell whether one of them is new.

        :param broke_at: when these servers broke the request off, if that is known.
        """
        evidence = self._get_or_create(fingerprint)
        if (
            not evidence.proven
            and self.answers.proven(fingerprint, self.key, now())
            and self._mark_proven(fingerprint)
        ):
            self.on_proven([fingerprint])
        new = set(starts) - evidence.crashed_on - evidence.discounted
        evidence.crashed_on |= new
        if broke_at is not None:
            evidence.interrupted_at |= dict.fromkeys(new, broke_at)
        if new:
            evidence.last_crash_at = now()
        return bool(new)

    def _stop(self, fingerprint: Fingerprint, evidence: Evidence, source: str) -> None:
        if evidence.stopped_at is not None:
            return
        evidence.stopped_at = now()
        event(
            "WARNING",
            "request stopped",
            content=fingerprint,
            source=source,
            ends=sorted(server_key.backend for server_key in evidence.crashed_on),
        )

    def _clear(self, fingerprints: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Let what ended and broke off under requests count no more; return those that this changes."""
        cleared = []
        for fingerprint in fingerprints:
            broke = [
                breaks.pop(fingerprint, None)
                for breaks in (*self.unconfirmed.values(), *self.remote_unconfirmed.values())
            ]
            evidence = self.evidence.get(fingerprint)
            if evidence is None or not evidence.crashed_on:
                if any(since is not None for since in broke):
                    # Others count what broke off here, and do not know of the answer.
                    cleared.append(fingerprint)
                continue
            evidence.discounted |= evidence.crashed_on
            evidence.crashed_on = set()
            evidence.stopped_at = None
            cleared.append(fingerprint)
            event("INFO", "request cleared", content=fingerprint, void=len(evidence.discounted))
        return cleared

    def _publish(self, crashes: list[Crash]) -> None:
        if crashes:
            self.on_update(crashes, [])
