"""Quarantine of requests, and of parts of prompts, that crash backend servers.

A request that crashes a server takes down everything else running there for seconds, and clients retry
it under a new id, at any daemon; requests that differ may crash servers for a part of their prompts that
they share. Crashes are therefore counted by request content and by prompt part (see
:mod:`bayglade.fingerprints`), and by server incarnation, over all daemons. The set of (fingerprint,
incarnation) pairs only grows; daemons exchange additions and may merge them in any order. What explains
enough crashes is stopped (see :mod:`bayglade.attribution`). Stops are also stored in the platform's
store, so that daemons that start later know them.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Set

import msgspec

from bayglade import part_trials, stored_stops
from bayglade.answers import Answers, PartAnswers
from bayglade.attribution import is_widespread, judge, required_companions
from bayglade.calls import Call
from bayglade.clock import now
from bayglade.entries.wire import Crash, SoundPart
from bayglade.evidence import (
    COMMON_CAUSE_SECONDS,
    CRASHES_TO_STOP,
    STOP_SECONDS,
    SUSPECT_SECONDS,
    Evidence,
    Subject,
)
from bayglade.exceptions import RequestStopped
from bayglade.fingerprints import fingerprint_of, part_fingerprints_of
from bayglade.ids import BackendId, Fingerprint, ServerKey
from bayglade.interruptions import Interruption, Interruptions
from bayglade.logs import event, rate_limited
from bayglade.retries import jittered_retry_after
from bayglade.sound_parts import SoundParts
from bayglade.stops import StopRow
from bayglade.stored_stops import StoredStops

SUSPECT_RUN_SECONDS = 1.0
"""A request whose first event is older than this when its server crashes is no suspect: requests that
crash servers do so soon after they start to run."""
SOUND_RUN_SECONDS = 0.5
"""A server that still writes an answer this long after its first event does not crash under it."""
RESEND_DELAY_SECONDS = 0.15
"""Delay before a request that has crashed two servers is sent again. It leaves time for reports of the
other requests that had just begun on those servers, and of a third crash."""
TRIAL_SECONDS = 0.4
"""How long other suspects are kept off a server to which a suspect was sent: longer than a server
survives a request that crashes it, and shorter than clients wait."""
MASS_CRASH_COUNT = 3
"""This many other servers that crash at about the same time indicate a cause other than the request."""
ANSWER_GRACE_SECONDS = 0.5
"""Delay before a stop is written to the store, in which a report that the request was answered cancels
it."""
MAX_SUSPECTS = 4096
"""Maximum number of requests with evidence: each crash adds all requests that had just begun there."""
MAX_SHARED_ON_JOIN = 64
"""Maximum number of these requests that are reported to a daemon that joins."""
MAX_LOGS_PER_SECOND = 5.0
"""Maximum rate of logged refusals: clients may repeat a stopped request at any rate."""


class Trial(msgspec.Struct, frozen=True):
    """The last suspect sent to a server; others stay off that server until it has expired."""

    suspect: Fingerprint
    until: float


class PendingVerdict(msgspec.Struct, frozen=True):
    """Evidence has changed and is to be judged; times are in monotonic seconds."""

    since: float
    write_at: float
    """When to write resulting stops to the store."""


class Quarantine:
    """What one daemon has stopped, and the evidence against other suspects.

    :param key: key of fingerprints; all daemons use the same one once they have joined.
    :param rng: source of randomness.
    """

    def __init__(self, key: bytes, rng: random.Random) -> None:
        self.key = key
        self.rng = rng
        self.evidence: OrderedDict[Fingerprint, Evidence] = OrderedDict()
        """By fingerprint, ordered by last update."""

        self.interruptions = Interruptions()
        """Of requests by servers that may have crashed."""

        self.answers = Answers()
        """Requests answered recently. One that many clients send is answered again and again, and is
        running during many crashes that it didn't cause."""

        self.part_answers = PartAnswers()
        """The same for parts of prompts."""

        self.sound_parts = SoundParts()
        """Recorded while there is evidence against anything."""

        self.pending_verdict: PendingVerdict | None = None
        """Set if the evidence has changed since it was judged."""

        self.stored = StoredStops(rng)
        """What has to be removed from the store."""

        self.trials: dict[BackendId, Trial] = {}
        """By server, the last suspect sent to it."""

        self.on_update: Callable[[list[Crash], list[Fingerprint]], None] = lambda crashes, cleared: None
        """Called with what other daemons don't know yet: new crashes, and requests cleared by an
        answer."""

        self.on_interrupted: Callable[[Crash], None] = lambda crash: None
        """Called for each request that was interrupted by a server which may have crashed."""

        self.on_proven: Callable[[list[Fingerprint]], None] = lambda fingerprints: None
        """Called with suspects that were answered many times before."""

        self.on_sound: Callable[[list[SoundPart]], None] = lambda sound: None
        """Called with suspected parts of prompts that a server has run since."""

        self.has_turn: Callable[[str], bool] = lambda turn: True
        """Tells whether it is this daemon's turn of all daemons to do something."""

        self.log_refusal = rate_limited(MAX_LOGS_PER_SECOND)

    def __repr__(self) -> str:
        return f"<Quarantine {len(self.stopped())} stopped of {len(self.evidence)}>"

    def use_key(self, key: bytes) -> None:
        """Replace the key of fingerprints, and drop everything recorded under the previous key."""
        if key == self.key:
            return
        self.key = key
        self.answers.forget_fingerprints()
        self.part_answers.forget_fingerprints()
        for known in (
            self.sound_parts,
            self.evidence,
            self.interruptions,
            self.trials,
        ):
            known.clear()

    def fingerprint_for(self, call: Call) -> Fingerprint:
        """Return the fingerprint of a call; it is computed once per call."""
        if call.fingerprint is None:
            call.fingerprint = fingerprint_of(call, self.key)
        return call.fingerprint

    def part_fingerprints_for(self, call: Call) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of the shared parts of a prompt; they are computed once per call."""
        if call.part_fingerprints is None:
            call.part_fingerprints = part_fingerprints_of(call, self.key)
        return call.part_fingerprints

    def stopped(self) -> list[tuple[Fingerprint, Evidence]]:
        """List what is stopped, with the evidence against it."""
        self._apply_verdict()
        return self._list_stopped()

    def _list_stopped(self) -> list[tuple[Fingerprint, Evidence]]:
        return [(fingerprint, e) for fingerprint, e in self.evidence.items() if e.stopped_at is not None]

    def is_stopped(self, call: Call) -> bool:
        """Tell whether a call must not be sent."""
        return self._find_stop(call) is not None

    def check_arrival(self, call: Call) -> None:
        """Refuse a new call that must not be sent, unless it may be a trial of a stopped part.

        :raises RequestStopped: as :meth:`check` does.
        """
        fingerprint = self._find_stop(call)
        if fingerprint is not None and not self._start_trial(call, fingerprint):
            self.check(call)

    def check(self, call: Call) -> None:
        """Refuse a call that must not be sent.

        :raises RequestStopped: if too many servers crashed while running this request, or others with a
            part of its prompt.
        """
        fingerprint = self._find_stop(call)
        if fingerprint is None:
            return
        evidence = self.evidence[fingerprint]
        self.log_refusal(
            "WARNING",
            "request held back",
            request=call.head.id,
            content=fingerprint,
            subject=evidence.subject.value,
        )
        left = max(0.0, (evidence.stopped_at or 0.0) + STOP_SECONDS - now())
        ran = (
            "this request" if evidence.subject is Subject.REQUEST else "requests with a part of this prompt"
        )
        raise RequestStopped(
            f"{len(evidence.crashed_on)} servers ended when they ran {ran} ({fingerprint})",
            step="quarantine",
            retry_after=jittered_retry_after(left, self.rng),
        )

    def _find_stop(self, call: Call) -> Fingerprint | None:
        """Return what is stopped of a call: its content, or a part of its prompt."""
        if not self.evidence:
            return None
        self._apply_verdict()
        content, parts = self.fingerprint_for(call), self.part_fingerprints_for(call)
        for fingerprint in (content, *parts):
            evidence = self.evidence.get(fingerprint)
            if evidence is None or evidence.stopped_at is None or fingerprint == call.trial_of:
                continue
            if self.required_companions(evidence) <= set(parts):
                return fingerprint
        return None

    def _start_trial(self, call: Call, fingerprint: Fingerprint) -> bool:
        """Tell whether a call is sent once although a part of its prompt is stopped.

        One daemon at a time may try a part, with one call.
        """
        evidence = self.evidence[fingerprint]
        if evidence.subject is not Subject.PROMPT_PART or call.trial_of is not None:
            return False
        at = now()
        if at < max(part_trials.due_at(evidence), evidence.trial_until):
            return False
        call.trial_of = fingerprint
        turn = part_trials.turn_at(evidence, at)
        if self._find_stop(call) is not None or not self.has_turn(f"{fingerprint}/{turn}"):
            call.trial_of = None
            return False
        evidence.trial_until = at + part_trials.TURN_SECONDS
        event("INFO", "trial of a stopped part", request=call.head.id, content=fingerprint)
        return True

    def end_trial(self, call: Call) -> None:
        """Record that a call was sent; if it was a trial, it is not sent again."""
        call.trial_of = None

    def required_companions(self, evidence: Evidence) -> frozenset[Fingerprint]:
        """Return the parts that a prompt must have, besides a stopped one, to be refused."""
        return required_companions(evidence, self.evidence)

    def is_suspect(self, call: Call) -> bool:
        """Tell whether a server crashed, or may have crashed, shortly after it started to run a call."""
        return (
            call.trial_of is not None
            or self._crash_count(call) > 0
            or len(self.unconfirmed_servers(call)) > 0
        )

    def _crash_count(self, call: Call) -> int:
        """Return how many servers crashed under a call, or under others with a rarely used part."""
        if not self.evidence:
            return 0
        evidence = self.evidence.get(self.fingerprint_for(call))
        crashes = 0 if evidence is None else len(evidence.crashed_on)
        for part in self.part_fingerprints_for(call):
            against = self.evidence.get(part)
            if against is not None and not against.proven and not is_widespread(against):
                # A single crash says little about a part that others have as well.
                crashes = max(crashes, len(against.crashed_on) - 1)
        return crashes

    def unconfirmed_servers(self, call: Call) -> list[ServerKey]:
        """List the server incarnations that interrupted a call and may have crashed."""
        if not self.interruptions.own:
            return []
        return self.interruptions.servers_of(self.fingerprint_for(call))

    def servers_on_trial(self, call: Call) -> frozenset[BackendId]:
        """Return the servers to which a suspect other than this call was sent within the trial period."""
        at, fingerprint = now(), self.fingerprint_for(call)
        return frozenset(b for b, t in self.trials.items() if t.until > at and t.suspect != fingerprint)

    def note_sent(self, call: Call, backend: BackendId) -> None:
        """Record that a call is sent to a server; a suspect starts a trial there."""
        if (self.evidence or self.interruptions.own) and self.is_suspect(call):
            self.trials[backend] = Trial(self.fingerprint_for(call), now() + TRIAL_SECONDS)

    def resend_delay(self, call: Call) -> float:
        """Return how long to wait for crash reports before a call is sent again."""
        unconfirmed = len(self.unconfirmed_servers(call))
        crashes = self._crash_count(call) + unconfirmed
        if crashes >= CRASHES_TO_STOP - 1 or (unconfirmed and self._has_almost_stopped_part(call)):
            return RESEND_DELAY_SECONDS
        return 0.0

    def _has_almost_stopped_part(self, call: Call) -> bool:
        """Tell whether one more crash may stop a part of a call's prompt that was answered before."""
        against = (self.evidence.get(part) for part in self.part_fingerprints_for(call))
        return any(
            e is not None and len(e.crashed_on) >= CRASHES_TO_STOP and not is_widespread(e) for e in against
        )

    def note_interrupted(
        self, call: Call, server_key: ServerKey, begun_at: float | None, sent_at: float = float("-inf")
    ) -> None:
        """Record that a server, which may have crashed, interrupted a call.

        :param call: the call.
        :param server_key: the server incarnation.
        :param begun_at: when the first event of this run arrived, if any.
        :param sent_at: when the call was sent to the server. A crash known before that time isn't
            attributed to the call; otherwise harmless streams would be stopped when many servers crash
            at once.
        """
        if begun_at is not None and now() - begun_at > SUSPECT_RUN_SECONDS:
            return
        times = self.interruptions.ended.get(server_key)
        if times is not None and times.first_at < sent_at:
            return
        at, fingerprint = now(), self.fingerprint_for(call)
        interruption = Interruption(at, sent_at, self.part_fingerprints_for(call))
        if times is not None:
            self._publish(self._add_crashes([interruption.crash(fingerprint, server_key, at)]))
            return
        self.interruptions.add(server_key, fingerprint, interruption)
        self.on_interrupted(interruption.crash(fingerprint, server_key, at))

    def mass_crash(self, call: Call) -> bool:
        """Tell whether several servers crashed just now that this call isn't suspected of.

        They indicate another cause.
        """
        oldest = now() - COMMON_CAUSE_SECONDS
        evidence = self._evidence_for(call)
        suspected = evidence.crashed_on if evidence is not None else frozenset()
        return self.interruptions.count_ended(oldest, suspected) >= MASS_CRASH_COUNT

    def server_ended(self, server_key: ServerKey) -> None:
        """Record that a server incarnation has definitely ended."""
        at = now()
        interrupted = self.interruptions.end(server_key, at)
        # Count all requests interrupted by this crash together, as which of them explains it can be
        # judged only then.
        fresh = self._add_crashes(
            interruption.crash(suspect, server_key, at)
            for suspect, interruption in (interrupted.own | interrupted.remote).items()
        )
        self._publish([crash for crash in fresh if crash.fingerprint in interrupted.own])

    def server_alive(self, server_key: ServerKey, asked_at: float) -> None:
        """Record that a server incarnation responded, and so hasn't crashed before.

        :param server_key: the server incarnation.
        :param asked_at: when the request to which it responded was sent; later interruptions stay
            unconfirmed.
        """
        self.interruptions.refute(server_key, asked_at)

    def note_answered(self, call: Call) -> None:
        """Record a complete answer, which clears the request of all crashes."""
        self.answers.note(call, now())
        self.part_answers.note(call, now())
        if not self.has_suspects:
            return
        fingerprint = self.fingerprint_for(call)
        if cleared := self._clear([fingerprint]):
            self.stored.request_lifts(self.evidence, cleared)
            self.on_update([], cleared)

    @property
    def has_suspects(self) -> bool:
        """Return whether there is evidence against anything."""
        return bool(self.evidence or self.interruptions)

    def note_sound(self, call: Call, begun_at: float) -> None:
        """Record that a server runs a call and has not crashed, which clears the parts of its prompt.

        An earlier crash is not explained by a part that another server has run since. What began before
        the crash says nothing: servers may crash from some moment on under a part that they ran before.

        :param call: the call.
        :param begun_at: when the server began to write the answer, in monotonic seconds.
        """
        if not self.has_suspects:
            return
        cleared = [
            part for part in self.part_fingerprints_for(call) if self._note_sound_part(part, begun_at)
        ]
        self._publish_sound(cleared)

    def merge_sound(self, reports: Iterable[SoundPart]) -> list[SoundPart]:
        """Merge parts that servers ran at other daemons; return those that clear a part here."""
        return [
            report for report in reports if self._note_sound_part(report.fingerprint, now() - report.age)
        ]

    def _note_sound_part(self, part: Fingerprint, begun_at: float) -> bool:
        """Record that a server ran a part; tell whether crashes count against it no longer."""
        self.sound_parts.note(part, begun_at)
        evidence = self.evidence.get(part)
        if evidence is None:
            return False
        before = {
            crash
            for crash in evidence.crashed_on
            if evidence.interrupted_at.get(crash, evidence.last_crash_at) < begun_at
        }
        if not before:
            return False
        evidence.discount(before)
        self._reassess(before)
        return True

    def _publish_sound(self, parts: Iterable[Fingerprint]) -> None:
        if reports := self.sound_parts.reports(parts, now()):
            self.on_sound(reports)

    def merge_crashes(
        self, crashes: Iterable[Crash], cleared: Iterable[Fingerprint]
    ) -> tuple[list[Crash], list[Fingerprint]]:
        """Merge a report of another daemon.

        :param crashes: crashes of servers, with the requests suspected of them.
        :param cleared: requests that were answered since.
        :return: the part of the report that was new here.
        """
        reports = list(crashes)
        answered = {crash.fingerprint for crash in reports if self._answered_since(crash)}
        if answered:
            # The daemons that count this crash have to learn of the answer, which arrived at another
            # daemon.
            self.stored.request_lifts(self.evidence, answered)
            self.on_update([], sorted(answered))
        fresh = self._add_crashes(reports, self.stored.write_delay())
        for crash in reports:
            # The reporting daemon has confirmed that this incarnation has ended.
            self.server_ended(crash.key)
        return fresh, self._clear([*answered, *cleared])

    def merge_interruptions(self, interruptions: Iterable[Crash]) -> list[Crash]:
        """Merge interruptions reported by another daemon, whose servers may have crashed.

        :return: those that were new here.
        """
        at = now()
        fresh = [crash for crash in interruptions if self.interruptions.is_news(crash, at)]
        for crash in fresh:
            if crash.key in self.interruptions.ended:
                self._add_crashes([crash])
            elif not self._answered_since(crash):
                self.interruptions.add_remote(crash, at)
        return fresh

    def snapshot(self) -> tuple[list[Crash], list[Fingerprint]]:
        """Return the crashes that count, and the proven suspects among theirs, for a daemon that joins.

        If there are many, only those of the requests updated last are returned.
        """
        at = now()
        recent = [
            (fingerprint, e)
            for fingerprint, e in self.evidence.items()
            if e.crashed_on and e.subject is Subject.REQUEST
        ][-MAX_SHARED_ON_JOIN:]
        crashes = []
        for fingerprint, evidence in recent:
            for server_key in evidence.crashed_on:
                interrupted_at = evidence.interrupted_at.get(server_key, at)
                sent_at = evidence.sent_at.get(server_key, interrupted_at)
                interruption = Interruption(interrupted_at, sent_at, evidence.parts)
                crashes.append(interruption.crash(fingerprint, server_key, at))
        suspects = {*(fingerprint for fingerprint, _ in recent), *_parts_of(crashes)}
        return crashes, sorted(s for s in suspects if s in self.evidence and self.evidence[s].proven)

    def snapshot_sound(self, crashes: Iterable[Crash]) -> list[SoundPart]:
        """Return which parts of interrupted requests servers have run since, for a daemon that joins."""
        return self.sound_parts.reports(sorted(_parts_of(crashes)), now())

    def merge_stored(
        self, rows: Mapping[Fingerprint, StopRow | None], whole: bool, restored: bool = False
    ) -> None:
        """Merge the stops found in the store.

        :param rows: stops by fingerprint; None for one that was lifted.
        :param whole: whether the rows are the whole table.
        :param restored: whether the store was restored from an older copy, which lacks newer stops.
        """
        lifted = {fingerprint for fingerprint, row in rows.items() if row is None}
        missing = {
            fingerprint
            for fingerprint, e in self.evidence.items()
            if whole and e.in_store and fingerprint not in rows
        }
        if restored:
            self.stored.schedule_rewrite((self.evidence[n] for n in missing), now())
            rows = self.stored.leave_out_lifted(rows)
        else:
            lifted |= missing
        for fingerprint in lifted:
            if fingerprint in self.evidence and self.evidence[fingerprint].in_store:
                event("INFO", "request let go", content=fingerprint, reason="its row was removed")
                self.evidence.pop(fingerprint)
                self.stored.note_lifted(fingerprint, now())
        self._apply_verdict()
        stored = {fingerprint: row for fingerprint, row in rows.items() if row is not None}
        for fingerprint, row in stored.items():
            self._add_stored(fingerprint, row)
        to_stop = judge(self.evidence).stopped if stored else frozenset()
        for fingerprint in stored:
            evidence = self.evidence[fingerprint]
            disproved = evidence.proven or evidence.subject is Subject.PROMPT_PART
            if evidence.crashed_on and not (disproved and fingerprint not in to_stop):
                self._stop(fingerprint, evidence, "the store")
            elif evidence.crashed_on or evidence.subject is Subject.PROMPT_PART:
                self.stored.request_lifts(self.evidence, [fingerprint])

    def _add_stored(self, fingerprint: Fingerprint, row: StopRow) -> None:
        """Add a stop from the store to the evidence."""
        crashes = row.crashes()
        self._add_evidence(fingerprint, crashes, subject=row.subject)
        evidence = self.evidence[fingerprint]
        evidence.in_store = True
        if row.subject is Subject.PROMPT_PART:
            evidence.confirmed_on |= crashes
            evidence.stored_companions = frozenset(row.companions)

    def unwritten(self) -> list[tuple[Fingerprint, Evidence]]:
        """List the stops that are due to be written to the store."""
        return stored_stops.due_to_be_written(self.stopped(), now())

    def expired(self) -> list[Fingerprint]:
        """List the stops in the store whose duration is over."""
        return stored_stops.expired(self.stopped(), now())

    def tidy(self) -> None:
        """Apply pending verdicts and drop expired state; called periodically."""
        self._apply_verdict()
        at = now()
        self.trials = {backend: trial for backend, trial in self.trials.items() if trial.until > at}
        self.interruptions.expire(at)
        self.stored.expire(at)
        for fingerprint in [
            fingerprint
            for fingerprint, e in self.evidence.items()
            if not e.in_store and e.expires_at() < at
        ]:
            self.evidence.pop(fingerprint)
        self.sound_parts.expire(at - SUSPECT_SECONDS)

    def _evidence_for(self, call: Call) -> Evidence | None:
        """Return the evidence against a call, if any.

        Computes no fingerprint while there is no evidence against any request.
        """
        return self.evidence.get(self.fingerprint_for(call)) if self.evidence else None

    def _get_or_create(self, fingerprint: Fingerprint, subject: Subject = Subject.REQUEST) -> Evidence:
        if fingerprint not in self.evidence:
            self._evict_if_full()
            self.evidence[fingerprint] = Evidence(now(), subject)
        self.evidence.move_to_end(fingerprint)
        return self.evidence[fingerprint]

    def _evict_if_full(self) -> None:
        """If the limit is reached, drop the oldest suspect that isn't stopped, or else the oldest stop."""
        if len(self.evidence) < MAX_SUSPECTS:
            return
        self._apply_verdict()
        oldest = next(iter(self.evidence))
        self.evidence.pop(next((n for n, e in self.evidence.items() if e.stopped_at is None), oldest))

    def _add_crashes(self, crashes: Iterable[Crash], write_after: float = 0.0) -> list[Crash]:
        """Add crashes to the evidence; return those that are new here.

        :param write_after: delay in seconds before a resulting stop is written to the store.
        """
        fresh = [
            crash
            for crash in crashes
            if not self._answered_since(crash)
            and self._add_evidence(
                crash.fingerprint, [crash.key], now() - crash.age, now() - crash.age - crash.ran
            )
        ]
        for crash in fresh:
            self._add_parts(crash)
        self._reassess({crash.key for crash in fresh}, write_after)
        return fresh

    def _add_parts(self, crash: Crash) -> None:
        """Add a crash under a request to the evidence against the parts of its prompt."""
        interrupted_at = now() - crash.age
        self.evidence[crash.fingerprint].parts = crash.parts
        sound = []
        for part in crash.parts:
            self._add_evidence(
                part, [crash.key], interrupted_at, interrupted_at - crash.ran, Subject.PROMPT_PART
            )
            self.evidence[part].note_request(crash.key, crash.fingerprint)
            if self.sound_parts.last(part) > interrupted_at:
                self._note_sound_part(part, self.sound_parts.last(part))
                sound.append(part)
        # The daemons that count this crash may not know that the part has run since.
        self._publish_sound(sound)

    def _reassess(self, incarnations: Set[ServerKey], write_after: float = 0.0) -> None:
        """Have suspects stopped or released before the next call is checked.

        When many servers crash at once, each of many daemons reports what each crash interrupted.

        :param incarnations: incarnations with new crashes, or with some that no longer count.
        :param write_after: delay in seconds before a resulting stop is written to the store.
        """
        if not self._may_change(incarnations):
            return
        at = now()
        pending = PendingVerdict(at, at + ANSWER_GRACE_SECONDS + write_after)
        if self.pending_verdict is not None:
            pending = PendingVerdict(
                self.pending_verdict.since, min(pending.write_at, self.pending_verdict.write_at)
            )
        self.pending_verdict = pending

    def _apply_verdict(self) -> None:
        """Stop or release suspects, on all evidence known now, if that has changed."""
        if self.pending_verdict is None:
            return
        pending, self.pending_verdict = self.pending_verdict, None
        verdict = judge(self.evidence)
        for fingerprint in verdict.stopped:
            evidence = self.evidence[fingerprint]
            if evidence.stopped_at is None:
                evidence.write_at = pending.write_at
                self._stop(fingerprint, evidence, "servers ended", pending.since)
        for fingerprint, evidence in self._list_stopped():
            if fingerprint in verdict.stopped:
                continue
            is_part = evidence.subject is Subject.PROMPT_PART
            if evidence.proven or is_part or not verdict.explained.isdisjoint(evidence.crashed_on):
                self._release(fingerprint, evidence)

    def _may_change(self, incarnations: Set[ServerKey]) -> bool:
        """Tell whether other crashes of these incarnations may change a verdict."""
        return bool(incarnations) and any(
            e.stopped_at is not None
            or (len(e.crashed_on) >= CRASHES_TO_STOP and not incarnations.isdisjoint(e.crashed_on))
            for e in self.evidence.values()
        )

    def _release(self, fingerprint: Fingerprint, evidence: Evidence) -> None:
        """Let a stopped suspect run again, as its crashes are explained otherwise."""
        evidence.stopped_at, evidence.failed_trials = None, 0
        self.stored.request_lifts(self.evidence, [fingerprint])
        event(
            "INFO",
            "request let go",
            content=fingerprint,
            subject=evidence.subject.value,
            reason="other requests explain its crashes",
        )

    def merge_proven(self, fingerprints: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Merge requests that were answered many times at other daemons; return those new here."""
        return [fingerprint for fingerprint in fingerprints if self._mark_proven(fingerprint)]

    def _mark_proven(self, fingerprint: Fingerprint) -> bool:
        """Mark a request as answered many times; tell whether that is new here."""
        evidence = self._get_or_create(fingerprint)
        if evidence.proven:
            return False
        evidence.proven = True
        self._reassess(evidence.crashed_on)
        return True

    def _answered_since(self, crash: Crash) -> bool:
        """Tell whether a request was answered here after another daemon's run of it was interrupted."""
        return self.answers.last_answered_at(crash.fingerprint, self.key) > now() - crash.age

    def take_lifts(self) -> list[Fingerprint]:
        """Return the stops that this daemon has to remove from the store, and reset the list."""
        self._apply_verdict()
        return self.stored.take_lifts()

    def _add_evidence(
        self,
        fingerprint: Fingerprint,
        incarnations: Iterable[ServerKey],
        happened_at: float | None = None,
        sent_at: float | None = None,
        subject: Subject = Subject.REQUEST,
    ) -> bool:
        """Add crashed incarnations to the evidence against a suspect; tell whether any of them is new.

        :param happened_at: when these servers interrupted the request, if known.
        :param sent_at: when the request was sent to them, if known.
        :param subject: what is suspected.
        """
        evidence = self._get_or_create(fingerprint, subject)
        # A daemon may learn that a part is proven before it learns what the fingerprint stands for.
        evidence.subject = subject
        answers = self.answers if subject is Subject.REQUEST else self.part_answers
        if (
            not evidence.proven
            and answers.proven(fingerprint, self.key, now())
            and self._mark_proven(fingerprint)
        ):
            self.on_proven([fingerprint])
        new = set(incarnations) - evidence.crashed_on - evidence.discounted
        evidence.crashed_on |= new
        if happened_at is not None:
            evidence.interrupted_at |= dict.fromkeys(new, happened_at)
        if sent_at is not None:
            for crash in incarnations:
                evidence.sent_at[crash] = max(sent_at, evidence.sent_at.get(crash, sent_at))
        if new:
            evidence.last_crash_at = now()
            evidence.failed_trials += part_trials.is_failed_trial(evidence, now())
        return bool(new)

    def _stop(
        self, fingerprint: Fingerprint, evidence: Evidence, source: str, at: float | None = None
    ) -> None:
        if evidence.stopped_at is not None:
            return
        evidence.stopped_at = now() if at is None else at
        event(
            "WARNING",
            "request stopped",
            content=fingerprint,
            subject=evidence.subject.value,
            requests=len(evidence.contents()) or None,
            source=source,
            ends=sorted(server_key.backend for server_key in evidence.crashed_on),
        )

    def _clear(self, fingerprints: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Discount the crashes and interruptions recorded against requests.

        :return: the requests that this changes.
        """
        cleared = []
        for fingerprint in fingerprints:
            was_interrupted = self.interruptions.discard(fingerprint)
            evidence = self.evidence.get(fingerprint)
            if evidence is None or not evidence.crashed_on:
                if was_interrupted:
                    # Other daemons count these interruptions, and don't know of the answer.
                    cleared.append(fingerprint)
                continue
            evidence.discount(set(evidence.crashed_on))
            evidence.stopped_at = None
            cleared.append(fingerprint)
            event("INFO", "request cleared", content=fingerprint, void=len(evidence.discounted))
        return cleared

    def _publish(self, crashes: list[Crash]) -> None:
        if crashes:
            self.on_update(crashes, [])


def _parts_of(crashes: Iterable[Crash]) -> set[Fingerprint]:
    return {part for crash in crashes for part in crash.parts}
