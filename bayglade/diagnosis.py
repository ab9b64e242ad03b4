"""Diagnosis of stalled paths: which stage is dead, slow or cut off.

A stalled stream shows only that some stage is missing or slow. A probe asks its first stage, which
names the stage for which the request waits, and some of the other stages in rotation. A stage that
doesn't answer while others do becomes suspect, until it answers again.
"""

import random
from collections.abc import Callable, Iterable, Sequence

import eventlet

from bayglade.clock import now
from bayglade.control import Control, StageReport
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, RequestId
from bayglade.logs import event
from bayglade.servers import SLOW_PACE, Server

ANSWER_SECONDS = 0.08
"""Time limit for the answer of a stage."""
IDLE_ANSWER_SECONDS = 0.03
"""Time limit for an answer on an idle connection before a new connection is opened in parallel. First
stages have idle connections; if both were tried one after the other, a dead first stage would be found
later than any other stage."""
REUSE_SECONDS = 0.15
"""How long a result serves all streams that probe the stage; reports lag behind by more than that."""
RECHECK_SECONDS = 0.4
"""Interval at which suspect stages are probed, if few daemons do so."""
RECHECK_DAEMONS = 8
"""With more daemons than this, each probes less often; whichever finds a stage back reports it to the
others."""
RECHECK_JITTER = 0.2
"""Relative jitter of the interval, so that daemons don't probe all at once."""
STAGES_PER_PROBE = 2
"""Number of stages behind the first that each probe of a path asks. Each request costs something, and a
slow stage that the first stage doesn't name is still found after a few probes."""
MAX_SILENT_FRACTION = 0.5
"""If more than this fraction of stages is silent, the fault is more likely local."""
RECENT_SECONDS = 0.4
"""How long results of all streams are evaluated together. A link that is busy with a large document
delays answers by some tenths of a second, and one probe alone asks too few stages to recognize that."""
LOCAL_FAULT_SILENT = 3
"""This many silent stages in all recent results can't be explained by the end of a single stage."""


class ProbeResult:
    """The last report of a stage; ``report`` is None if the stage was silent."""

    __slots__ = ("asked_at", "refused", "report")

    def __init__(self, report: StageReport | None, refused: bool = False) -> None:
        self.report = report
        self.refused = refused
        """Whether its address refused the connection, so that no process listens there any more."""

        self.asked_at = now()

    def __repr__(self) -> str:
        return f"<ProbeResult {self.report!r}>"


class Diagnosis:
    """The recent results of probes, and the probes in progress."""

    def __init__(self, fleet: Fleet, control: Control, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.control = control
        self.results: dict[BackendId, ProbeResult] = {}
        self.on_dead: Callable[[Server], None] | None = None
        """Called with each stage that is found silent."""

        self.on_back: Callable[[Server], None] | None = None
        """Called with each stage that answers again."""

        self.on_answer: Callable[[Server, float], None] = lambda server, asked_at: None
        """Called with each stage that answered, and with the time of the probe."""

        self.count_daemons: Callable[[], int] = lambda: 1
        """Returns the number of daemons that probe."""

        self.has_idle: Callable[[BackendId], bool] = lambda backend: False
        """Tells whether this daemon has an idle connection to a server."""

        self.close_idle: Callable[[BackendId], None] = lambda backend: None
        """Closes all idle connections to a server."""

        self.distrust_idle: Callable[[float], None] = lambda before: None
        """Stops the use of connections that have been idle since before a time."""

        self.in_rotation = True
        """Whether a probe of a path asks only some of its stages."""

        self.probes: dict[BackendId, eventlet.greenthread.GreenThread] = {}
        fleet.on_restart.append(self._on_restart)

    def __repr__(self) -> str:
        return f"<Diagnosis {len(self.results)} results>"

    def diagnose(self, servers: Sequence[Server], request: RequestId) -> frozenset[BackendId]:
        """Find the stage of a path for which a request waits.

        :param servers: the servers of the path.
        :param request: the request.
        :return: the stages that are dead, as far as can be told.
        """
        behind = sorted(servers[1:], key=lambda server: self._asked_at(server.facts.id))
        if not self.in_rotation:
            return self.probe(servers)
        dead = self.probe([servers[0], *behind[:STAGES_PER_PROBE]])
        report = self.result_of(servers[0]).report
        address = report.stalled.get(request) if report is not None else None
        named = [server for server in behind[STAGES_PER_PROBE:] if server.facts.address == address]
        return dead | self.probe(named) if named else dead

    def result_of(self, server: Server) -> "ProbeResult":
        """Return the last result for a server; empty if it has restarted since or wasn't probed."""
        known = self.results.get(server.facts.id)
        if known is None or self.fleet.servers.get(server.facts.id, server) is not server:
            return ProbeResult(None)
        return known

    def _on_restart(self, backend: BackendId) -> None:
        self.results.pop(backend, None)
        self.probes.pop(backend, None)

    def _asked_at(self, backend: BackendId) -> float:
        result = self.results.get(backend)
        return result.asked_at if result is not None else 0.0

    def probe_again(self, servers: Iterable[Server]) -> frozenset[BackendId]:
        """Probe stages whose connections have just broken, ignoring earlier results."""
        stages = list(servers)
        for server in stages:
            self.results.pop(server.facts.id, None)
        return self.probe(stages)

    def probe(self, servers: Iterable[Server]) -> frozenset[BackendId]:
        """Probe stages, and suspect those that are silent.

        :param servers: the servers to probe.
        :return: the stages that are dead, as far as can be told.
        """
        stages = list(servers)
        results = self._probe_all(stages)
        silent = [server for server in stages if results[server.facts.id].report is None]
        recent = [f for f in self.results.values() if now() - f.asked_at < RECENT_SECONDS]
        refusing = _refusing(silent, recent)
        unresponsive = [server for server in silent if server not in refusing]
        if _is_local_fault(len(unresponsive), len(stages) - len(refusing), recent):
            event("WARNING", "stages silent", silent=len(unresponsive), of=len(stages), outcome="own fault")
            unresponsive = []
        dead = [*refusing, *unresponsive]
        for server in dead:
            if (
                not server.suspect
                and self.fleet.mark_suspect(server, "silent")
                and self.on_dead is not None
            ):
                self.on_dead(server)
        return frozenset(server.facts.id for server in dead)

    def recheck_forever(self) -> None:
        """Probe suspect and slow stages periodically to find out whether they have recovered."""
        while True:
            factor = max(1.0, self.count_daemons() / RECHECK_DAEMONS)
            eventlet.sleep(
                RECHECK_SECONDS * factor * self.rng.uniform(1 - RECHECK_JITTER, 1 + RECHECK_JITTER)
            )
            stages = [s for s in self.fleet.servers.values() if s.facts.layer_count]
            # Requests avoid a slow stage, so none would notice its recovery.
            self.probe_suspects(s for s in stages if s.suspect or s.pace > SLOW_PACE)

    def probe_suspects(self, servers: Iterable[Server]) -> None:
        """Probe stages that may have recovered.

        :param servers: stages that are suspect or slow.
        """
        suspects = list(servers)
        results = self._probe_all(suspects)
        for server in suspects:
            report = results[server.facts.id].report
            if report is None or not server.suspect or not _matches_row(server, report):
                continue
            self.fleet.clear_suspicion(server, "answers again")
            if self.on_back is not None:
                self.on_back(server)

    def _probe_all(self, servers: list[Server]) -> dict[BackendId, ProbeResult]:
        at = now()
        tasks = {}
        for server in servers:
            backend = server.facts.id
            if self.fleet.servers.get(backend, server) is not server:
                # A later incarnation under the same id says nothing about this one, which is dead.
                continue
            known = self.results.get(backend)
            if known is not None and at - known.asked_at < REUSE_SECONDS:
                continue
            if backend not in self.probes:
                self.probes[backend] = eventlet.spawn(self._probe_stage, server)
            tasks[backend] = self.probes[backend]
        for task in tasks.values():
            task.wait()
        return {server.facts.id: self.result_of(server) for server in servers}

    def _request_report(self, backend: BackendId, address: str) -> StageReport | None:
        """Request a report on an idle connection, and soon on a new one too.

        The idle connection may have failed silently though the server is well.
        """
        if not self.has_idle(backend):
            return self.control.report(backend, address, ANSWER_SECONDS)
        asked_at, silent = now(), True
        idle = eventlet.spawn(self.control.report, backend, address, ANSWER_SECONDS)
        with eventlet.Timeout(IDLE_ANSWER_SECONDS, False):
            answer: StageReport | None = idle.wait()
            # A connection that breaks at once says nothing about its server, which may be well.
            silent = False
            if answer is not None:
                return answer
        fresh = self.control.report(backend, address, ANSWER_SECONDS, anew=True)
        report = idle.wait()
        if report is None:
            self.close_idle(backend)
            if silent and fresh is not None:
                self.distrust_idle(asked_at)
        return report or fresh

    def _probe_stage(self, server: Server) -> None:
        facts, asked_at = server.facts, now()
        try:
            report = self._request_report(facts.id, facts.address)
            if report is not None and not self.fleet.accept_report(
                server, report.incarnation, report.first, report.last
            ):
                report = None
            if self.fleet.servers.get(facts.id, server) is not server:
                return
            self.results[facts.id] = ProbeResult(report, report is None and server.connection_refused)
            if report is not None:
                self.on_answer(server, asked_at)
                if report.leaving:
                    self.fleet.announce_leaving(server, "its report")
                if report.rate_limit is not None:
                    self.fleet.rate_limits.note_answer(server, report.rate_limit, asked_at, "a report")
                self.fleet.update_pace(server, report.pace)
        finally:
            if self.probes.get(facts.id) is eventlet.getcurrent():
                del self.probes[facts.id]


def _refusing(silent: list[Server], recent: list[ProbeResult]) -> list[Server]:
    """Return the silent servers whose addresses refuse connections.

    That proves that they are dead, unless no other stage answers either. Without this rule, several
    stages that end at once would be taken for a local fault, and would be found dead much later.
    """
    if not any(result.report is not None for result in recent):
        return []
    return [server for server in silent if server.connection_refused]


def _is_local_fault(silent: int, asked: int, recent: list[ProbeResult]) -> bool:
    """Tell whether so many stages are silent that the fault is likely on this daemon's side.

    :param silent: silent stages of one probe, without those that refuse connections.
    :param asked: stages of that probe, also without those.
    :param recent: all recent results.
    """
    if not silent:
        return False
    unsure = [result for result in recent if not result.refused]
    none = sum(1 for result in unsure if result.report is None)
    if none >= LOCAL_FAULT_SILENT and none > len(unsure) * MAX_SILENT_FRACTION:
        return True
    return silent > max(1.0, asked * MAX_SILENT_FRACTION)


def _matches_row(server: Server, report: StageReport) -> bool:
    """Tell whether a server holds the layers that its row names.

    A server that restarts empty while the store is unavailable would otherwise get requests by its old
    row, and refuse them all.
    """
    return (report.first, report.last) == (server.facts.first, server.facts.last)
