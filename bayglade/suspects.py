"""Suspects of server crashes: the evidence against requests and prompt parts, and which are stopped.

The set of (fingerprint, incarnation) pairs only grows, so daemons may merge additions in any order.
Evidence is judged once before the next call is checked, however many reports of a crash arrive (see
:mod:`bayglade.attribution`).
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Set

import msgspec

from bayglade import part_trials, stored_stops
from bayglade.answers import Answers, PartAnswers
from bayglade.attribution import judge, required_companions
from bayglade.clock import now
from bayglade.entries.wire import Crash, SoundPart
from bayglade.evidence import CRASHES_TO_STOP, SUSPECT_SECONDS, Evidence, Subject
from bayglade.ids import Fingerprint, ServerKey
from bayglade.interruptions import Interruption
from bayglade.logs import event
from bayglade.sound_parts import SoundParts
from bayglade.stops import StopRow
from bayglade.stored_stops import StoredStops

ANSWER_GRACE_SECONDS = 0.5
"""Delay before a stop is written to the store, in which a report that the request was answered cancels
it."""
MAX_SUSPECTS = 4096
"""Maximum number of requests with evidence: each crash adds all requests that had just begun there."""
MAX_SHARED_ON_JOIN = 64
"""Maximum number of these requests that are reported to a daemon that joins."""


class PendingVerdict(msgspec.Struct, frozen=True):
    """Evidence has changed and is to be judged; times are in monotonic seconds."""

    since: float
    write_at: float
    """When to write resulting stops to the store."""


class Suspects:
    """The evidence that one daemon has against requests and parts of prompts, and what is stopped on it.

    :param key: key of fingerprints.
    :param stored: what has to be written to, and removed from, the store.
    """

    def __init__(self, key: bytes, stored: StoredStops) -> None:
        self.key = key
        self.stored = stored
        self.evidence: OrderedDict[Fingerprint, Evidence] = OrderedDict()
        """By fingerprint, ordered by last update."""

        self.answers = Answers()
        """Requests answered recently. One that many clients send is answered again and again, and is
        running during many crashes that it didn't cause."""

        self.part_answers = PartAnswers()
        """The same for parts of prompts."""

        self.sound_parts = SoundParts()
        """Recorded while there is evidence against anything."""

        self.pending_verdict: PendingVerdict | None = None
        """Set if the evidence has changed since it was judged."""

        self.on_proven: Callable[[list[Fingerprint]], None] = lambda fingerprints: None
        """Called with suspects that were answered many times before."""

        self.on_sound: Callable[[list[SoundPart]], None] = lambda sound: None
        """Called with suspected parts of prompts that a server has run since."""

    def __repr__(self) -> str:
        return f"<Suspects {len(self.stopped())} stopped of {len(self.evidence)}>"

    def __bool__(self) -> bool:
        """Return whether there is evidence against anything."""
        return bool(self.evidence)

    def use_key(self, key: bytes) -> None:
        """Replace the key of fingerprints, and drop all evidence recorded under the previous key."""
        self.key = key
        self.answers.forget_fingerprints()
        self.part_answers.forget_fingerprints()
        self.sound_parts.clear()
        self.evidence.clear()

    def get(self, fingerprint: Fingerprint) -> Evidence | None:
        """Return the evidence against a request or part, if any."""
        return self.evidence.get(fingerprint)

    def stopped(self) -> list[tuple[Fingerprint, Evidence]]:
        """List what is stopped, with the evidence against it."""
        self.apply_verdict()
        return self._list_stopped()

    def _list_stopped(self) -> list[tuple[Fingerprint, Evidence]]:
        return [(fingerprint, e) for fingerprint, e in self.evidence.items() if e.stopped_at is not None]

    def required_companions(self, evidence: Evidence) -> frozenset[Fingerprint]:
        """Return the parts that a prompt must have, besides a stopped one, to be refused."""
        return required_companions(evidence, self.evidence)

    def add_crashes(self, crashes: Iterable[Crash], write_after: float = 0.0) -> list[Crash]:
        """Add crashes to the evidence; return those that are new here.

        :param write_after: delay in seconds before a resulting stop is written to the store.
        """
        fresh = [
            crash
            for crash in crashes
            if not self.answered_since(crash)
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
                self.note_sound(part, self.sound_parts.last(part))
                sound.append(part)
        # The daemons that count this crash may not know that the part has run since.
        self.publish_sound(sound)

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

    def note_sound(self, part: Fingerprint, begun_at: float) -> bool:
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

    def publish_sound(self, parts: Iterable[Fingerprint]) -> None:
        """Tell other daemons of the last known runs of some parts."""
        if reports := self.sound_parts.reports(parts, now()):
            self.on_sound(reports)

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

    def answered_since(self, crash: Crash) -> bool:
        """Tell whether a request was answered here after another daemon's run of it was interrupted."""
        return self.answers.last_answered_at(crash.fingerprint, self.key) > now() - crash.age

    def clear_request(self, fingerprint: Fingerprint) -> bool:
        """Discount the crashes of a request that was answered; tell whether any counted."""
        evidence = self.evidence.get(fingerprint)
        if evidence is None or not evidence.crashed_on:
            return False
        evidence.discount(set(evidence.crashed_on))
        evidence.stopped_at = None
        event("INFO", "request cleared", content=fingerprint, void=len(evidence.discounted))
        return True

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
        :param restored: whether the store was restored lately from an older copy, which lacks newer stops.
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
        self.apply_verdict()
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

    def take_lifts(self) -> list[Fingerprint]:
        """Return the stops that this daemon has to remove from the store, and reset the list."""
        self.apply_verdict()
        return self.stored.take_lifts()

    def expire(self, at: float) -> None:
        """Apply the pending verdict, and drop evidence that has expired as of a time."""
        self.apply_verdict()
        self.stored.expire(at)
        for fingerprint in [
            fingerprint
            for fingerprint, e in self.evidence.items()
            if not e.in_store and e.expires_at() < at
        ]:
            self.evidence.pop(fingerprint)
        self.sound_parts.expire(at - SUSPECT_SECONDS)

    def apply_verdict(self) -> None:
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

    def _may_change(self, incarnations: Set[ServerKey]) -> bool:
        """Tell whether other crashes of these incarnations may change a verdict."""
        return bool(incarnations) and any(
            e.stopped_at is not None
            or (len(e.crashed_on) >= CRASHES_TO_STOP and not incarnations.isdisjoint(e.crashed_on))
            for e in self.evidence.values()
        )

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
        self.apply_verdict()
        oldest = next(iter(self.evidence))
        self.evidence.pop(next((n for n, e in self.evidence.items() if e.stopped_at is None), oldest))


def _parts_of(crashes: Iterable[Crash]) -> set[Fingerprint]:
    return {part for crash in crashes for part in crash.parts}
