"""Quarantine: requests under which backend servers ended, each time that they were run.

Such a request takes a server with all that runs there for seconds, and comes again
under another id, at any daemon. So ends are counted by what was asked (see
:mod:`bayglade.fingerprints`) and by start of a server, over all daemons: the set of
(request, start) only grows, daemons tell each other of what is new in it, and may
merge it in any order. A request is stopped once enough starts have ended under it.
What is stopped also lies in the platform's store, for daemons that start anew.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Set

import msgspec

from bayglade.answers import Answers
from bayglade.calls import Call
from bayglade.clock import now
from bayglade.entries.wire import Crash
from bayglade.evidence import MANY_SECONDS, MOST_ENDS, STOP_SECONDS, Evidence, stands
from bayglade.exceptions import RequestStopped
from bayglade.fingerprints import fingerprint_of
from bayglade.ids import BackendId, Fingerprint, ServerKey
from bayglade.logs import event, rate_limited
from bayglade.retries import spread_retry_after

FRESH_SECONDS = 1.0
"""A request whose first event is older when its server ends did not end it: those that do end servers
soon after these begin to run them."""
GATHER_SECONDS = 0.15
"""How long a request waits under which two servers have ended before it is sent once more, for word of
what else was under way there and of a third end."""
TRIAL_SECONDS = 0.4
"""How long another suspect is kept away from a server to which one was sent: longer than servers last
under requests that end them, shorter than callers wait."""
UNSURE_SECONDS = 6.0
"""How long a request whose server broke off waits for word that the server has ended: the entry of one
that fell silent is gone after three of its heartbeats, 3.6 s on the users' platform."""
MANY_ENDED = 3
"""So many other servers that ended at about the same time have a cause of their own."""
WORD_SECONDS = 0.5
"""How long a stop waits for word that its request was answered before it goes to the store."""
WRITE_SECONDS = 2.0
"""Within this time a daemon that was told of the last end writes a stop that nobody else has written."""
LET_GO_SECONDS = 60.0
"""How long a stop that was lifted is remembered: longer than a copy of the store is old."""
MAX_SUSPECTS = 4096
"""Requests that are remembered: each end of a server adds those that had just begun there."""
MAX_TOLD = 64
"""Of them, how many a daemon that joins is told of."""
LOGGED_A_SECOND = 5.0
"""Refusals that are logged: callers may repeat a stopped request at will."""


class Trial(msgspec.Struct, frozen=True):
    """A suspect that has just been sent to a server."""

    suspect: Fingerprint
    until: float


class End(msgspec.Struct, frozen=True):
    """When this daemon had word that a start of a server has ended, in monotonic seconds."""

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

        self.unsure: dict[ServerKey, dict[Fingerprint, float]] = {}
        """Requests that broke off on a server which may have ended, and since when."""

        self.told: dict[ServerKey, dict[Fingerprint, float]] = {}
        """The same of requests that other daemons sent: they may be gone when word of the end comes."""

        self.heard: dict[tuple[Fingerprint, ServerKey], float] = {}
        """Which breaks other daemons told of, and when: each is passed on once."""

        self.ended: dict[ServerKey, End] = {}
        """Starts of servers that ended lately."""

        self.answers = Answers()
        """Those that many ask alike are answered again and again, and are under many ends."""

        self.lifts: set[Fingerprint] = set()
        """Stops in the store that this daemon knows to be wrong."""

        self.let_go: dict[Fingerprint, float] = {}
        """Stops whose rows were removed lately, and when: a restored store may have them again."""

        self.trials: dict[BackendId, Trial] = {}
        """The suspect that was sent last to each server."""

        self.on_news: Callable[[list[Crash], list[Fingerprint]], None] = lambda crashes, cleared: None
        """Told what other daemons do not know: ends, and requests that were answered."""

        self.on_break: Callable[[Crash], None] = lambda crash: None
        """Told of requests that broke off on servers which may have ended."""

        self.on_proven: Callable[[list[Fingerprint]], None] = lambda names: None
        """Told of requests under which servers end though they were answered many times before."""

        self.log_refusal = rate_limited(LOGGED_A_SECOND)

    def __repr__(self) -> str:
        return f"<Quarantine {len(self.stopped())} stopped of {len(self.evidence)}>"

    def use_key(self, key: bytes) -> None:
        """Name requests as the other daemons do; what was named otherwise is forgotten."""
        if key == self.key:
            return
        self.key = key
        self.answers.rename()
        for known in (self.evidence, self.unsure, self.told, self.heard, self.trials):
            known.clear()

    def name(self, call: Call) -> Fingerprint:
        """Return the fingerprint of a call, which is worked out once."""
        if call.fingerprint is None:
            call.fingerprint = fingerprint_of(call, self.key)
        return call.fingerprint

    def stopped(self) -> list[tuple[Fingerprint, Evidence]]:
        """List the requests that are held back."""
        return [(name, e) for name, e in self.evidence.items() if e.stopped_at is not None]

    def holds(self, call: Call) -> bool:
        """Tell whether a call must not be sent."""
        evidence = self._of(call)
        return evidence is not None and evidence.stopped_at is not None

    def check(self, call: Call) -> None:
        """Refuse a call that must not be sent.

        :raises RequestStopped: when servers ended each time that it was run.
        """
        evidence = self._of(call)
        if evidence is None or evidence.stopped_at is None:
            return
        name = self.name(call)
        self.log_refusal("WARNING", "request held back", request=call.head.id, content=name)
        left = max(0.0, evidence.stopped_at + STOP_SECONDS - now())
        raise RequestStopped(
            f"{len(evidence.ends)} servers ended when they ran this request ({name})",
            step="quarantine",
            retry_after=spread_retry_after(left, self.rng),
        )

    def suspects(self, call: Call) -> bool:
        """Tell whether a server ended, or may have, when it had just begun to run a call."""
        evidence = self._of(call)
        return (evidence is not None and len(evidence.ends) > 0) or len(self.unsure_of(call)) > 0

    def unsure_of(self, call: Call) -> list[ServerKey]:
        """List the starts of servers that broke a call off, of which it is not known whether they ended."""
        if not self.unsure:
            return []
        name = self.name(call)
        return [start for start, names in self.unsure.items() if name in names]

    def on_trial(self, call: Call) -> frozenset[BackendId]:
        """Return the servers to which other suspects than a call were sent just now."""
        at, name = now(), self.name(call)
        return frozenset(b for b, t in self.trials.items() if t.until > at and t.suspect != name)

    def sent(self, call: Call, backend: BackendId) -> None:
        """Note that a call is sent to a server: a suspect is on trial there."""
        if (self.evidence or self.unsure) and self.suspects(call):
            self.trials[backend] = Trial(self.name(call), now() + TRIAL_SECONDS)

    def gather_seconds(self, call: Call) -> float:
        """Return how long to wait before a call is sent once more, for word of its servers' ends."""
        evidence = self._of(call)
        ends = len(evidence.ends) if evidence is not None else 0
        ends += len(self.unsure_of(call))
        return GATHER_SECONDS if ends >= MOST_ENDS - 1 else 0.0

    def broke_off(
        self, call: Call, start: ServerKey, begun_at: float | None, sent_at: float = float("-inf")
    ) -> None:
        """Note that a server broke a call off, and may have ended.

        :param call: the call.
        :param start: the start of the server.
        :param begun_at: when the first event of this run came, if one came.
        :param sent_at: when the call was sent to the server. One known to have ended before did not end
            under it; where many end at once, harmless streams would be held back for such ends.
        """
        if begun_at is not None and now() - begun_at > FRESH_SECONDS:
            return
        end = self.ended.get(start)
        if end is not None and end.first_at < sent_at:
            return
        name = self.name(call)
        if end is not None:
            self._tell(self._count([Crash(name, *start)]))
            return
        self.unsure.setdefault(start, {})[name] = now()
        self.on_break(Crash(name, *start))

    def many_ended(self, call: Call) -> bool:
        """Tell whether several servers ended just now but for those under a call: a cause of their own."""
        oldest = now() - MANY_SECONDS
        evidence = self._of(call)
        under_it = evidence.ends if evidence is not None else frozenset()
        others = [end for start, end in self.ended.items() if start not in under_it]
        return sum(end.last_at >= oldest for end in others) >= MANY_ENDED

    def server_ended(self, start: ServerKey) -> None:
        """Take in that a start of a server has surely ended."""
        at = now()
        known = self.ended.get(start)
        self.ended[start] = End(known.first_at if known is not None else at, at)
        names = self.unsure.pop(start, {})
        told = {name: since for name, since in self.told.pop(start, {}).items() if name not in names}
        # Those of one end together: which of them explains it shows only then.
        fresh = self._count(
            Crash(name, *start, round(at - since, 3)) for name, since in (names | told).items()
        )
        self._tell([crash for crash in fresh if crash.fingerprint in names])

    def server_lives(self, start: ServerKey, asked_at: float) -> None:
        """Take in that a start of a server answers: what broke off there before did not end it.

        :param start: the start.
        :param asked_at: when it was asked.
        """
        for known in (self.unsure, self.told):
            if (names := known.get(start)) is not None:
                known[start] = {name: since for name, since in names.items() if since > asked_at}

    def answered(self, call: Call) -> None:
        """Note a whole answer: the request ends no server."""
        self.answers.note(call, now())
        if not (self.evidence or self.unsure or self.told):
            return
        name = self.name(call)
        if cleared := self._clear([name]):
            self._lift(cleared)
            self.on_news([], cleared)

    def hear(
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
            self._lift(answered)
            self.on_news([], sorted(answered))
        fresh = self._count(told, self.rng.uniform(0.0, WRITE_SECONDS))
        for crash in told:
            # Whoever tells of it knows that this start has ended.
            self.server_ended(crash.key)
        return fresh, self._clear([*answered, *cleared])

    def hear_breaks(self, breaks: Iterable[Crash]) -> list[Crash]:
        """Take in which requests broke off at other daemons, whose servers may have ended.

        :return: what was not heard before.
        """
        fresh = [crash for crash in breaks if self._note_break(crash)]
        for crash in fresh:
            if crash.key in self.ended:
                self._count([crash])
            elif not self._answered_since(crash):
                self.told.setdefault(crash.key, {})[crash.fingerprint] = now() - crash.age
        return fresh

    def _note_break(self, crash: Crash) -> bool:
        """Tell whether word of a break is new and of use; it dies out, as nobody passes it on twice."""
        mark = (crash.fingerprint, crash.key)
        if crash.age > UNSURE_SECONDS or mark in self.heard or len(self.heard) >= MAX_SUSPECTS:
            return False
        self.heard[mark] = now()
        return True

    def known(self) -> tuple[list[Crash], list[Fingerprint]]:
        """Return the ends that count, and which of their requests are proven, for a daemon that joins.

        Those heard of last, where there are many.
        """
        at = now()
        lately = [(name, e) for name, e in self.evidence.items() if e.ends][-MAX_TOLD:]
        crashes = [
            Crash(name, *end, round(at - e.broke_at.get(end, at), 3))
            for name, e in lately
            for end in e.ends
        ]
        return crashes, [name for name, e in lately if e.proven]

    def take_stored(
        self, rows: dict[Fingerprint, list[ServerKey] | None], whole: bool, restored: bool = False
    ) -> None:
        """Take in stops as they lie in the store.

        :param rows: ends by request; nothing for a stop that was lifted.
        :param whole: whether these are all there are.
        :param restored: whether the store came back from an older copy, which lacks newer stops.
        """
        lifted = {name for name, ends in rows.items() if ends is None}
        missing = {name for name, e in self.evidence.items() if whole and e.in_store and name not in rows}
        if restored:
            self._write_again(missing)
            self.lifts |= {name for name in rows if name in self.let_go}
            rows = {name: ends for name, ends in rows.items() if name not in self.let_go}
        else:
            lifted |= missing
        for name in lifted:
            if name in self.evidence and self.evidence[name].in_store:
                event("INFO", "request let go", content=name, reason="its row was removed")
                self.evidence.pop(name)
                self.let_go[name] = now()
        stored = {name: ends for name, ends in rows.items() if ends is not None}
        for name, ends in stored.items():
            self._add(name, ends)
            self.evidence[name].in_store = True
        for name in stored:
            evidence = self.evidence[name]
            if evidence.ends and not (evidence.proven and not stands(name, self.evidence)):
                self._stop(name, evidence, "the store")
            elif evidence.ends:
                self._lift([name])

    def _write_again(self, names: Iterable[Fingerprint]) -> None:
        """Have the rows of stops written that a restored store has lost."""
        for name in names:
            evidence = self.evidence[name]
            evidence.in_store = False
            evidence.write_at = now() + self.rng.uniform(0.0, WRITE_SECONDS)

    def unwritten(self) -> list[tuple[Fingerprint, Evidence]]:
        """List the stops that are due to be written to the store."""
        at = now()
        return [(name, e) for name, e in self.stopped() if not e.in_store and at >= e.write_at]

    def expired(self) -> list[Fingerprint]:
        """List the stops in the store that have lasted long enough."""
        oldest = now() - STOP_SECONDS
        return [n for n, e in self.stopped() if e.in_store and (e.stopped_at or 0.0) < oldest]

    def tidy(self) -> None:
        """Forget what no longer counts; called now and then."""
        at = now()
        self.trials = {backend: trial for backend, trial in self.trials.items() if trial.until > at}
        for start in [s for s, end in self.ended.items() if at - end.last_at > UNSURE_SECONDS]:
            del self.ended[start]
        self.heard = {mark: since for mark, since in self.heard.items() if at - since <= UNSURE_SECONDS}
        self.let_go = {name: since for name, since in self.let_go.items() if at - since <= LET_GO_SECONDS}
        for known in (self.unsure, self.told):
            for start, names in list(known.items()):
                known[start] = {n: since for n, since in names.items() if at - since <= UNSURE_SECONDS}
                if not known[start]:
                    del known[start]
        for name in [name for name, e in self.evidence.items() if not e.in_store and e.counts_until() < at]:
            self.evidence.pop(name)

    def _of(self, call: Call) -> Evidence | None:
        """Return what is known against a call; costs nothing while nothing is known of any."""
        return self.evidence.get(self.name(call)) if self.evidence else None

    def _known(self, name: Fingerprint) -> Evidence:
        if name not in self.evidence:
            self._make_room()
            self.evidence[name] = Evidence(now())
        self.evidence.move_to_end(name)
        return self.evidence[name]

    def _make_room(self) -> None:
        """Forget the oldest request that is not stopped, else the oldest stop, where there are too many."""
        if len(self.evidence) < MAX_SUSPECTS:
            return
        oldest = next(iter(self.evidence))
        self.evidence.pop(next((n for n, e in self.evidence.items() if e.stopped_at is None), oldest))

    def _count(self, crashes: Iterable[Crash], write_after: float = 0.0) -> list[Crash]:
        """Count ends; return those that are new here.

        :param write_after: seconds after which a stop that follows is written to the store.
        """
        fresh = [
            crash
            for crash in crashes
            if not self._answered_since(crash)
            and self._add(crash.fingerprint, [crash.key], now() - crash.age)
        ]
        self._judge({crash.key for crash in fresh}, write_after)
        return fresh

    def _judge(self, ends: Set[ServerKey], write_after: float = 0.0) -> None:
        """Stop the requests that are to be stopped by all that is known now, and let others go.

        :param ends: what is new: only requests under these are looked at.
        :param write_after: seconds after which a stop that follows is written to the store.
        """
        for name in [n for n, e in self.evidence.items() if not ends.isdisjoint(e.ends)]:
            evidence = self.evidence[name]
            if stands(name, self.evidence):
                if evidence.stopped_at is None:
                    evidence.write_at = now() + WORD_SECONDS + write_after
                self._stop(name, evidence, "servers ended")
            elif evidence.proven and evidence.stopped_at is not None:
                evidence.stopped_at = None
                self._lift([name])
                event("INFO", "request let go", content=name, reason="others explain its ends")

    def hear_proven(self, names: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Take in which requests were answered many times at other daemons; return those new here."""
        return [name for name in names if self._prove(name)]

    def _prove(self, name: Fingerprint) -> bool:
        """Note that a request was answered many times; tell whether that is new here."""
        evidence = self._known(name)
        if evidence.proven:
            return False
        evidence.proven = True
        self._judge(evidence.ends)
        return True

    def _answered_since(self, crash: Crash) -> bool:
        """Tell whether a request was answered here after it had been broken off elsewhere."""
        return self.answers.last_at(crash.fingerprint, self.key) > now() - crash.age

    def _lift(self, names: Iterable[Fingerprint]) -> None:
        """Have the rows of stops removed, as their requests were answered."""
        known = [(name, self.evidence.get(name)) for name in names]
        self.lifts |= {name for name, evidence in known if evidence is not None and evidence.in_store}

    def take_lifts(self) -> list[Fingerprint]:
        """Return the stops whose rows this daemon is to remove, once."""
        lifts, self.lifts = sorted(self.lifts), set()
        return lifts

    def _add(self, name: Fingerprint, starts: Iterable[ServerKey], broke_at: float | None = None) -> bool:
        """Add ends to the evidence; tell whether one of them is new.

        :param broke_at: when these servers broke the request off, if that is known.
        """
        evidence = self._known(name)
        if not evidence.proven and self.answers.proven(name, self.key, now()) and self._prove(name):
            self.on_proven([name])
        new = set(starts) - evidence.ends - evidence.void
        evidence.ends |= new
        if broke_at is not None:
            evidence.broke_at |= dict.fromkeys(new, broke_at)
        if new:
            evidence.ended_at = now()
        return bool(new)

    def _stop(self, name: Fingerprint, evidence: Evidence, source: str) -> None:
        if evidence.stopped_at is not None:
            return
        evidence.stopped_at = now()
        event(
            "WARNING",
            "request stopped",
            content=name,
            source=source,
            ends=sorted(start.backend for start in evidence.ends),
        )

    def _clear(self, names: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Let what ended and broke off under requests count no more; return those that this changes."""
        cleared = []
        for name in names:
            broke = [breaks.pop(name, None) for breaks in (*self.unsure.values(), *self.told.values())]
            evidence = self.evidence.get(name)
            if evidence is None or not evidence.ends:
                if any(since is not None for since in broke):
                    # Others count what broke off here, and do not know of the answer.
                    cleared.append(name)
                continue
            evidence.void |= evidence.ends
            evidence.ends = set()
            evidence.stopped_at = None
            cleared.append(name)
            event("INFO", "request cleared", content=name, void=len(evidence.void))
        return cleared

    def _tell(self, crashes: list[Crash]) -> None:
        if crashes:
            self.on_news(crashes, [])
