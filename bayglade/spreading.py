"""Exchange of findings among daemons, so that few of them have to probe a server themselves.

A finding is what one daemon learned about a server: dead, back, leaving, crashed or rate-limited. See
:mod:`bayglade.reports` for how many reports it takes before a finding is believed.
"""

import random
from collections.abc import Callable, Iterable

import eventlet

from bayglade.clock import now
from bayglade.diagnosis import Diagnosis
from bayglade.entries.wire import Crash, Finding, Findings, LimitNotice, SoundPart
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, Fingerprint, MemberId, ServerKey
from bayglade.quarantine import Quarantine
from bayglade.reports import PROBING_DAEMONS, HeardFindings
from bayglade.servers import Server

BATCH_SECONDS = 0.01
"""How long reports about requests are collected before they are sent: one message each would fill the
queues."""

Broadcast = Callable[[Findings, MemberId | None], None]
"""Sends findings to all daemons with which this one has a stream, except the one given."""


class Spreading:
    """The findings that one daemon makes, receives and forwards.

    :param me: this daemon.
    :param fleet: the servers, whose state follows from findings.
    :param diagnosis: probes stages, and reports what it found.
    :param broadcast: sends findings to other daemons.
    :param forwards: tells whether this daemon forwards what it receives.
    :param count_daemons: returns the number of daemons.
    :param rng: source of randomness.
    :param quarantine: the requests suspected of crashing servers.
    """

    def __init__(
        self,
        me: MemberId,
        fleet: Fleet,
        diagnosis: Diagnosis,
        broadcast: Broadcast,
        forwards: Callable[[], bool],
        count_daemons: Callable[[], int],
        rng: random.Random,
        quarantine: Quarantine,
    ) -> None:
        self.me = me
        self.fleet = fleet
        self.diagnosis = diagnosis
        self.broadcast = broadcast
        self.forwards = forwards
        self.count_daemons = count_daemons
        self.rng = rng
        self.last_number = 0
        """Number of this daemon's last finding."""

        self.quarantine = quarantine
        self.crashes: list[Crash] = []
        self.cleared: list[Fingerprint] = []
        """Reports about requests that wait for the next batch."""

        self.breaks: list[Crash] = []

        quarantine.on_update = self._queue_update
        quarantine.suspects.on_proven = self._send_proven
        quarantine.on_interrupted = self._queue_interruption
        quarantine.suspects.on_sound = self._send_sound
        fleet.rate_limits.on_update = self._send_limits
        fleet.on_leaving_announced = self._send_leaving
        self.dead = HeardFindings()
        self.back = HeardFindings()
        diagnosis.on_dead = self._on_found_dead
        diagnosis.on_back = self._on_found_back
        fleet.on_restart += [self.dead.server_restarted, self.back.server_restarted]

    def __repr__(self) -> str:
        return f"<Spreading {self.dead!r} {self.back!r}>"

    def merge_findings(self, member: MemberId, found: Findings) -> None:
        """Merge findings of another daemon, and forward those that are new.

        :param member: the daemon.
        :param found: the findings.
        """
        self.probe_restarted([*(finding.key for finding in (*found.dead, *found.back)), *found.leaving])
        dead = self.dead.add(finding for finding in found.dead if self._is_current(finding))
        back = self.back.add(finding for finding in found.back if self._is_current(finding))
        # Proven suspects and sound parts go before crashes, so that none is stopped for these crashes.
        sound = self.quarantine.merge_sound(found.sound)
        proven = self.quarantine.suspects.merge_proven(found.proven)
        crashes, cleared = self.quarantine.merge_crashes(found.crashes, found.cleared)
        leaving = [key for key in found.leaving if self._merge_leaving(key)]
        breaks = self.quarantine.merge_interruptions(found.breaks)
        limits = self.fleet.rate_limits.merge_notices(found.limits)
        news = Findings(dead, back, crashes, cleared, leaving, proven, breaks, limits, sound)
        if self.forwards() and news != Findings():
            self.broadcast(news, member)
        self._apply_dead(finding.backend for finding in dead)
        self._apply_back(finding.backend for finding in back)

    def initial_findings(self) -> list[Findings]:
        """Return the findings for a daemon that has just joined, or was unreachable."""
        crashes, proven = self.quarantine.suspects.snapshot()
        limits = self.fleet.rate_limits.snapshot()
        if not crashes and not limits:
            return []
        sound = self.quarantine.suspects.snapshot_sound(crashes)
        return [Findings(crashes=crashes, proven=proven, limits=limits, sound=sound)]

    def _queue_interruption(self, crash: Crash) -> None:
        """Report an interruption before its cause is known, as this daemon may be stopped before then."""
        self._schedule_batch()
        self.breaks.append(crash)

    def _schedule_batch(self) -> None:
        if not (self.crashes or self.cleared or self.breaks):
            eventlet.spawn_after(BATCH_SECONDS, self._send_batch)

    def _queue_update(self, crashes: list[Crash], cleared: list[Fingerprint]) -> None:
        """Queue reports about requests for the next batch.

        A crash interrupts many requests within some milliseconds.
        """
        self._schedule_batch()
        self.crashes += crashes
        self.cleared += cleared

    def _send_proven(self, names: list[Fingerprint]) -> None:
        self.broadcast(Findings(proven=names), None)

    def _send_sound(self, parts: list[SoundPart]) -> None:
        self.broadcast(Findings(sound=parts), None)

    def _send_batch(self) -> None:
        found = Findings(crashes=self.crashes, cleared=self.cleared, breaks=self.breaks)
        self.crashes, self.cleared, self.breaks = [], [], []
        self.broadcast(found, None)

    def probe_restarted(self, incarnations: Iterable[ServerKey]) -> None:
        """Probe servers of which other daemons know a later incarnation than this one.

        :param incarnations: the incarnations that another daemon reports.
        """
        restarted = [
            server for key in incarnations if (server := self.fleet.find_superseded(key)) is not None
        ]
        if restarted:
            eventlet.spawn_n(self.diagnosis.probe, restarted)

    def _merge_leaving(self, key: ServerKey) -> bool:
        """Record that a server announced that it leaves; tell whether that is new here.

        Only a restart of the server revokes this, so each announcement is forwarded once.
        """
        server = self.fleet.find_current(key)
        if server is None or server.leaving:
            return False
        self.fleet.mark_leaving(server, "others were told so")
        return True

    def _send_leaving(self, server: Server) -> None:
        self.broadcast(Findings(leaving=[server.facts.key]), None)

    def _send_limits(self, limits: list[LimitNotice]) -> None:
        self.broadcast(Findings(limits=limits), None)

    def _is_current(self, finding: Finding) -> bool:
        return self.fleet.find_current(finding.key) is not None

    def _on_found_dead(self, server: Server) -> None:
        self.back.forget(server.facts.id)
        if new := self.dead.add([self._make_finding(server)]):
            self.broadcast(Findings(dead=new), None)

    def _on_found_back(self, server: Server) -> None:
        self.dead.forget(server.facts.id)
        if new := self.back.add([self._make_finding(server)]):
            self.broadcast(Findings(back=new), None)

    def _make_finding(self, server: Server) -> Finding:
        # Numbers follow the clock, so that they keep growing when a daemon restarts.
        self.last_number = max(self.last_number + 1, int(now() * 1000))
        return Finding(server.facts.id, self.me, server.facts.incarnation, self.last_number)

    def _apply_dead(self, backends: Iterable[BackendId]) -> None:
        """Suspect servers that enough daemons found dead, and probe the others with some probability."""
        known = self.fleet.servers
        reported = [
            known[backend] for backend in backends if backend in known and not known[backend].suspect
        ]
        for server in reported:
            self.back.forget(server.facts.id)
            if self.dead.is_believed(server.facts.id):
                self.fleet.mark_suspect(server, "other daemons found it silent")
        probability = PROBING_DAEMONS / self.count_daemons()
        to_probe = [server for server in reported if not server.suspect and self.rng.random() < probability]
        if to_probe:
            eventlet.spawn_n(self.diagnosis.probe, to_probe)

    def _apply_back(self, backends: Iterable[BackendId]) -> None:
        """Trust servers again that are reported back: the reporting daemon has had a response."""
        known = self.fleet.servers
        for server in [known[b] for b in backends if b in known and known[b].suspect]:
            self.dead.forget(server.facts.id)
            self.fleet.clear_suspicion(server, "answered another daemon")
