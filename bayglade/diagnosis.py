"""Diagnosis: which stage of a path that stands still is dead, slow or cut off.

A stalled stream tells only that some stage is missing or slow. Its first stage
is asked, which names the stage that a request stands still for, and by turns
the others; a stage that does not answer while others do is suspect, and stays
so until it answers again.
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
"""How long a stage may take to answer."""
KEPT_ANSWER_SECONDS = 0.03
"""How long an answer may take on a connection that rested, before a new one is opened beside it: asked
one after the other, dark first stages, to which one rests, would be found later than other stages."""
FRESH_SECONDS = 0.15
"""How long an answer serves all streams that ask; reports lag by more than that."""
RECHECK_SECONDS = 0.4
"""Time between questions to a suspect stage while few daemons ask."""
RECHECK_DAEMONS = 8
"""With more daemons than this each asks less often, and whoever finds a stage back tells the others."""
SPREAD = 0.2
"""Part by which the time between questions varies, so that daemons do not ask all at once."""
ASKED_BY_TURNS = 2
"""Stages behind the first that are asked at each look. Each question is paid for, and a stream that
stands still for a slow stage, which the first does not name, has found it after a few looks."""
MAX_SILENT_PART = 0.5
"""When more stages than this are silent, the fault is more likely on this side."""
LATELY_SECONDS = 0.4
"""Looks of all streams count together for so long: a link that is busy with a large document holds
up answers by some tenths of a second, and each look alone asks too few stages to tell."""
MANY_SILENT = 3
"""Silent stages of all looks together that are more than one stage's end."""


class Finding:
    """What a stage said when it was last asked; ``report`` is nothing when it was silent."""

    __slots__ = ("asked_at", "refused", "report")

    def __init__(self, report: StageReport | None, refused: bool = False) -> None:
        self.report = report
        self.refused = refused
        """Whether its address refused the connection: nobody listens there any more."""

        self.asked_at = now()

    def __repr__(self) -> str:
        return f"<Finding {self.report!r}>"


class Diagnosis:
    """What stages said lately, and the questions under way."""

    def __init__(self, fleet: Fleet, control: Control, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.control = control
        self.findings: dict[BackendId, Finding] = {}
        self.on_dead: Callable[[Server], None] | None = None
        """Told of each stage that is found silent."""

        self.on_back: Callable[[Server], None] | None = None
        """Told of each stage that answers again."""

        self.on_answer: Callable[[Server, float], None] = lambda server, asked_at: None
        """Told of each stage that answered, and when it was asked."""

        self.daemons: Callable[[], int] = lambda: 1
        """Returns how many daemons ask."""

        self.rests: Callable[[BackendId], bool] = lambda backend: False
        """Tells whether a connection to a server rests here."""

        self.drop: Callable[[BackendId], None] = lambda backend: None
        """Closes all connections that rest to a server."""

        self.distrust: Callable[[float], None] = lambda before: None
        """Ends the use of connections that rest since before a time."""

        self.by_turns = True
        """Whether a look asks a few stages of a path only."""

        self.asking: dict[BackendId, eventlet.greenthread.GreenThread] = {}
        fleet.on_restart.append(self._forget)

    def __repr__(self) -> str:
        return f"<Diagnosis {len(self.findings)} findings>"

    def look(self, servers: Sequence[Server], request: RequestId) -> frozenset[BackendId]:
        """Find out which stage of a path a request stands still for.

        :param servers: the servers of the path.
        :param request: the request.
        :return: the stages that are dead, as far as can be told.
        """
        behind = sorted(servers[1:], key=lambda server: self._asked_at(server.facts.id))
        if not self.by_turns:
            return self.examine(servers)
        dead = self.examine([servers[0], *behind[:ASKED_BY_TURNS]])
        report = self.finding_of(servers[0]).report
        address = report.stalled.get(request) if report is not None else None
        named = [server for server in behind[ASKED_BY_TURNS:] if server.facts.address == address]
        return dead | self.examine(named) if named else dead

    def finding_of(self, server: Server) -> "Finding":
        """Return what a server said last; nothing when it has started again since, or was not asked."""
        known = self.findings.get(server.facts.id)
        if known is None or self.fleet.servers.get(server.facts.id, server) is not server:
            return Finding(None)
        return known

    def _forget(self, backend: BackendId) -> None:
        self.findings.pop(backend, None)
        self.asking.pop(backend, None)

    def _asked_at(self, backend: BackendId) -> float:
        finding = self.findings.get(backend)
        return finding.asked_at if finding is not None else 0.0

    def examine_anew(self, servers: Iterable[Server]) -> frozenset[BackendId]:
        """Ask stages whose connections have just broken, whatever they said a moment before."""
        stages = list(servers)
        for server in stages:
            self.findings.pop(server.facts.id, None)
        return self.examine(stages)

    def examine(self, servers: Iterable[Server]) -> frozenset[BackendId]:
        """Ask stages, and suspect those that are silent.

        :param servers: the servers to ask.
        :return: the stages that are dead, as far as can be told.
        """
        stages = list(servers)
        findings = self._ask_all(stages)
        silent = [server for server in stages if findings[server.facts.id].report is None]
        lately = [f for f in self.findings.values() if now() - f.asked_at < LATELY_SECONDS]
        gone = _gone(silent, lately)
        dark = [server for server in silent if server not in gone]
        if _own_fault(len(dark), len(stages) - len(gone), lately):
            event("WARNING", "stages silent", silent=len(dark), of=len(stages), outcome="own fault")
            dark = []
        dead = [*gone, *dark]
        for server in dead:
            if (
                not server.suspect
                and self.fleet.mark_suspect(server, "silent")
                and self.on_dead is not None
            ):
                self.on_dead(server)
        return frozenset(server.facts.id for server in dead)

    def recheck(self) -> None:
        """Ask suspect and slow stages now and then whether they are back, for ever."""
        while True:
            crowd = max(1.0, self.daemons() / RECHECK_DAEMONS)
            eventlet.sleep(RECHECK_SECONDS * crowd * self.rng.uniform(1 - SPREAD, 1 + SPREAD))
            stages = [s for s in self.fleet.servers.values() if s.facts.layer_count]
            # Requests go round a slow stage, so none would notice that it is quick again.
            self.look_again(s for s in stages if s.suspect or s.pace > SLOW_PACE)

    def look_again(self, servers: Iterable[Server]) -> None:
        """Ask stages whether they are back.

        :param servers: stages that are suspect or slow.
        """
        suspects = list(servers)
        findings = self._ask_all(suspects)
        for server in suspects:
            report = findings[server.facts.id].report
            if report is None or not server.suspect or not _as_listed(server, report):
                continue
            self.fleet.clear_suspicion(server, "answers again")
            if self.on_back is not None:
                self.on_back(server)

    def _ask_all(self, servers: list[Server]) -> dict[BackendId, Finding]:
        at = now()
        tasks = {}
        for server in servers:
            backend = server.facts.id
            if self.fleet.servers.get(backend, server) is not server:
                # What started again under its id says nothing of the earlier start, which is dead.
                continue
            known = self.findings.get(backend)
            if known is not None and at - known.asked_at < FRESH_SECONDS:
                continue
            if backend not in self.asking:
                self.asking[backend] = eventlet.spawn(self._ask, server)
            tasks[backend] = self.asking[backend]
        for task in tasks.values():
            task.wait()
        return {server.facts.id: self.finding_of(server) for server in servers}

    def _report(self, backend: BackendId, address: str) -> StageReport | None:
        """Ask a server, on a connection that rests and soon on a new one too: the first may have fallen
        silent though the server is well."""
        if not self.rests(backend):
            return self.control.report(backend, address, ANSWER_SECONDS)
        asked_at, silent = now(), True
        kept = eventlet.spawn(self.control.report, backend, address, ANSWER_SECONDS)
        with eventlet.Timeout(KEPT_ANSWER_SECONDS, False):
            answer: StageReport | None = kept.wait()
            # A connection that breaks at once says nothing of its server, which may be well.
            silent = False
            if answer is not None:
                return answer
        anew = self.control.report(backend, address, ANSWER_SECONDS, anew=True)
        report = kept.wait()
        if report is None:
            self.drop(backend)
            if silent and anew is not None:
                self.distrust(asked_at)
        return report or anew

    def _ask(self, server: Server) -> None:
        facts, asked_at = server.facts, now()
        try:
            report = self._report(facts.id, facts.address)
            if report is not None and not self.fleet.accept_report(
                server, report.incarnation, report.first, report.last
            ):
                report = None
            if self.fleet.servers.get(facts.id, server) is not server:
                return
            self.findings[facts.id] = Finding(report, report is None and server.connection_refused)
            if report is not None:
                self.on_answer(server, asked_at)
                if report.leaving:
                    self.fleet.announce_leaving(server, "its report")
                if report.rate_limit is not None:
                    self.fleet.rate_limits.answered(server, report.rate_limit, asked_at, "a report")
                self.fleet.update_pace(server, report.pace)
        finally:
            if self.asking.get(facts.id) is eventlet.getcurrent():
                del self.asking[facts.id]


def _gone(silent: list[Server], lately: list[Finding]) -> list[Server]:
    """Return the silent servers at whose addresses nobody listens.

    That is proof unless nobody else answers either: without it several stages that end at
    once would be taken for a fault of this side, and found dead much later.
    """
    if not any(finding.report is not None for finding in lately):
        return []
    return [server for server in silent if server.connection_refused]


def _own_fault(silent: int, asked: int, lately: list[Finding]) -> bool:
    """Tell whether so much is silent that the fault is likely on this side.

    :param silent: stages of one look that did not answer, those left out that are surely gone.
    :param asked: stages of that look, those left out too.
    :param lately: findings of all looks just now.
    """
    if not silent:
        return False
    unsure = [finding for finding in lately if not finding.refused]
    none = sum(1 for finding in unsure if finding.report is None)
    if none >= MANY_SILENT and none > len(unsure) * MAX_SILENT_PART:
        return True
    return silent > max(1.0, asked * MAX_SILENT_PART)


def _as_listed(server: Server, report: StageReport) -> bool:
    """Tell whether a server holds the layers that its row names.

    One that comes back empty while the store is away would be sent requests by its old row, and turn
    them all away.
    """
    return (report.first, report.last) == (server.facts.first, server.facts.last)
