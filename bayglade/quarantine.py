"""Quarantine of requests, and of parts of prompts, that crash backend servers.

A request that crashes a server takes down everything else running there for seconds, and clients retry
it under a new id, at any daemon; requests that differ may crash servers for a part of their prompts that
they share. Crashes are therefore counted by request content and by prompt part (see
:mod:`bayglade.fingerprints`), and by server incarnation, over all daemons, which exchange what is new. What
explains enough crashes is stopped (see :mod:`bayglade.suspects`). Stops are also stored in the platform's
store, so that daemons that start later know them.
"""

import random
from collections.abc import Callable, Iterable

import msgspec

from bayglade import part_trials
from bayglade.attribution import is_widespread
from bayglade.calls import Call
from bayglade.clock import now
from bayglade.entries.wire import Crash, SoundPart
from bayglade.evidence import (
    COMMON_CAUSE_SECONDS,
    CRASHES_TO_STOP,
    STOP_SECONDS,
    Evidence,
    Subject,
)
from bayglade.exceptions import RequestStopped
from bayglade.fingerprints import fingerprint_of, part_fingerprints_of
from bayglade.ids import BackendId, Fingerprint, ServerKey
from bayglade.interruptions import Interruption, Interruptions
from bayglade.logs import event, rate_limited
from bayglade.retries import jittered_retry_after
from bayglade.stored_stops import StoredStops
from bayglade.suspects import Suspects

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
MAX_LOGS_PER_SECOND = 5.0
"""Maximum rate of logged refusals: clients may repeat a stopped request at any rate."""


class Trial(msgspec.Struct, frozen=True):
    """The last suspect sent to a server; others stay off that server until it has expired."""

    suspect: Fingerprint
    until: float


class Quarantine:
    """What one daemon has stopped, and the evidence against other suspects.

    :param key: key of fingerprints; all daemons use the same one once they have joined.
    :param rng: source of randomness.
    """

    def __init__(self, key: bytes, rng: random.Random) -> None:
        self.key = key
        self.rng = rng
        self.suspects = Suspects(key, StoredStops(rng))
        self.interruptions = Interruptions()
        """Of requests by servers that may have crashed."""

        self.trials: dict[BackendId, Trial] = {}
        """By server, the last suspect sent to it."""

        self.on_update: Callable[[list[Crash], list[Fingerprint]], None] = lambda crashes, cleared: None
        """Called with what other daemons don't know yet: new crashes, and requests cleared by an
        answer."""

        self.on_interrupted: Callable[[Crash], None] = lambda crash: None
        """Called for each request that was interrupted by a server which may have crashed."""

        self.has_turn: Callable[[str], bool] = lambda turn: True
        """Tells whether it is this daemon's turn of all daemons to do something."""

        self.log_refusal = rate_limited(MAX_LOGS_PER_SECOND)

    def __repr__(self) -> str:
        return f"<Quarantine {len(self.suspects.stopped())} stopped of {len(self.suspects.evidence)}>"

    def use_key(self, key: bytes) -> None:
        """Replace the key of fingerprints, and drop everything recorded under the previous key."""
        if key == self.key:
            return
        self.key = key
        self.suspects.use_key(key)
        self.interruptions.clear()
        self.trials.clear()

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
        evidence = self.suspects.evidence[fingerprint]
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
        if not self.suspects:
            return None
        self.suspects.apply_verdict()
        content, parts = self.fingerprint_for(call), self.part_fingerprints_for(call)
        for fingerprint in (content, *parts):
            evidence = self.suspects.get(fingerprint)
            if evidence is None or evidence.stopped_at is None or fingerprint == call.trial_of:
                continue
            if self.suspects.required_companions(evidence) <= set(parts):
                return fingerprint
        return None

    def _start_trial(self, call: Call, fingerprint: Fingerprint) -> bool:
        """Tell whether a call is sent once although a part of its prompt is stopped.

        One daemon at a time may try a part, with one call.
        """
        evidence = self.suspects.evidence[fingerprint]
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

    def is_suspect(self, call: Call) -> bool:
        """Tell whether a server crashed, or may have crashed, shortly after it started to run a call."""
        return (
            call.trial_of is not None
            or self._crash_count(call) > 0
            or len(self.unconfirmed_servers(call)) > 0
        )

    def _crash_count(self, call: Call) -> int:
        """Return how many servers crashed under a call, or under others with a rarely used part."""
        if not self.suspects:
            return 0
        evidence = self.suspects.get(self.fingerprint_for(call))
        crashes = 0 if evidence is None else len(evidence.crashed_on)
        for part in self.part_fingerprints_for(call):
            against = self.suspects.get(part)
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
        if (self.suspects or self.interruptions.own) and self.is_suspect(call):
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
        against = (self.suspects.get(part) for part in self.part_fingerprints_for(call))
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
            self._publish(self.suspects.add_crashes([interruption.crash(fingerprint, server_key, at)]))
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
        fresh = self.suspects.add_crashes(
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
        self.suspects.answers.note(call, now())
        self.suspects.part_answers.note(call, now())
        if not self.has_suspects:
            return
        fingerprint = self.fingerprint_for(call)
        if cleared := self._clear([fingerprint]):
            self.suspects.stored.request_lifts(self.suspects.evidence, cleared)
            self.on_update([], cleared)

    @property
    def has_suspects(self) -> bool:
        """Return whether there is evidence against anything."""
        return bool(self.suspects or self.interruptions)

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
            part for part in self.part_fingerprints_for(call) if self.suspects.note_sound(part, begun_at)
        ]
        self.suspects.publish_sound(cleared)

    def merge_sound(self, reports: Iterable[SoundPart]) -> list[SoundPart]:
        """Merge parts that servers ran at other daemons; return those that clear a part here."""
        return [
            report for report in reports if self.suspects.note_sound(report.fingerprint, now() - report.age)
        ]

    def merge_crashes(
        self, crashes: Iterable[Crash], cleared: Iterable[Fingerprint]
    ) -> tuple[list[Crash], list[Fingerprint]]:
        """Merge a report of another daemon.

        :param crashes: crashes of servers, with the requests suspected of them.
        :param cleared: requests that were answered since.
        :return: the part of the report that was new here.
        """
        reports = list(crashes)
        answered = {crash.fingerprint for crash in reports if self.suspects.answered_since(crash)}
        if answered:
            # The daemons that count this crash have to learn of the answer, which arrived at another
            # daemon.
            self.suspects.stored.request_lifts(self.suspects.evidence, answered)
            self.on_update([], sorted(answered))
        fresh = self.suspects.add_crashes(reports, self.suspects.stored.write_delay())
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
                self.suspects.add_crashes([crash])
            elif not self.suspects.answered_since(crash):
                self.interruptions.add_remote(crash, at)
        return fresh

    def tidy(self) -> None:
        """Apply pending verdicts and drop expired state; called periodically."""
        at = now()
        self.suspects.expire(at)
        self.trials = {backend: trial for backend, trial in self.trials.items() if trial.until > at}
        self.interruptions.expire(at)

    def _evidence_for(self, call: Call) -> Evidence | None:
        """Return the evidence against a call, if any.

        Computes no fingerprint while there is no evidence against any request.
        """
        return self.suspects.get(self.fingerprint_for(call)) if self.suspects else None

    def _clear(self, fingerprints: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Discount the crashes and interruptions recorded against requests.

        :return: the requests that this changes.
        """
        cleared = []
        for fingerprint in fingerprints:
            was_interrupted = self.interruptions.discard(fingerprint)
            # Other daemons count interruptions alone too, and don't know of the answer.
            if self.suspects.clear_request(fingerprint) or was_interrupted:
                cleared.append(fingerprint)
        return cleared

    def _publish(self, crashes: list[Crash]) -> None:
        if crashes:
            self.on_update(crashes, [])
