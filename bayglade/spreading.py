"""Spreading: what one daemon found out of a stage reaches all, and few look for themselves.

See :mod:`bayglade.reports` for how often something has to be found to be believed.
"""

import random
from collections.abc import Callable, Iterable

import eventlet

from bayglade.clock import now
from bayglade.diagnosis import Diagnosis
from bayglade.entries.wire import Crash, Finding, Findings, LimitNotice
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, Fingerprint, MemberId, ServerKey
from bayglade.quarantine import Quarantine
from bayglade.reports import PROBING_DAEMONS, HeardFindings
from bayglade.servers import Server

NEWS_SECONDS = 0.01
"""Time in which word of requests gathers before it goes out: a message each would fill the queues."""

Tell = Callable[[Findings, MemberId | None], None]
"""Tells the daemons that this one has streams to, but for the one that is named."""


class Spreading:
    """The findings that one daemon makes, hears and passes on.

    :param me: this daemon.
    :param fleet: the servers, whose state follows from findings.
    :param diagnosis: asks stages, and tells of what it found.
    :param tell: tells other daemons.
    :param passes_on: tells whether this daemon passes on what it hears.
    :param daemons: returns how many daemons there are.
    :param rng: source of chance.
    :param quarantine: the requests under which servers ended.
    """

    def __init__(
        self,
        me: MemberId,
        fleet: Fleet,
        diagnosis: Diagnosis,
        tell: Tell,
        passes_on: Callable[[], bool],
        daemons: Callable[[], int],
        rng: random.Random,
        quarantine: Quarantine,
    ) -> None:
        self.me = me
        self.fleet = fleet
        self.diagnosis = diagnosis
        self.tell = tell
        self.passes_on = passes_on
        self.daemons = daemons
        self.rng = rng
        self.numbers = 0
        """The number of the last own finding."""

        self.quarantine = quarantine
        self.crashes: list[Crash] = []
        self.cleared: list[Fingerprint] = []
        """Word of requests that is about to go out."""

        self.breaks: list[Crash] = []

        quarantine.on_news = self._tell_soon
        quarantine.on_proven = self._tell_proven
        quarantine.on_break = self._tell_break
        fleet.rate_limits.on_news = self._tell_limits
        fleet.on_leaving_announced = self._tell_leaving
        self.dead = HeardFindings()
        self.back = HeardFindings()
        diagnosis.on_dead = self._found_dead
        diagnosis.on_back = self._found_back
        fleet.on_restart += [self.dead.server_restarted, self.back.server_restarted]

    def __repr__(self) -> str:
        return f"<Spreading {self.dead!r} {self.back!r}>"

    def heard(self, member: MemberId, found: Findings) -> None:
        """Take in what another daemon tells, and pass on what is new.

        :param member: the daemon.
        :param found: the findings.
        """
        self.heard_of([*(finding.key for finding in (*found.dead, *found.back)), *found.leaving])
        dead = self.dead.add(finding for finding in found.dead if self._present(finding))
        back = self.back.add(finding for finding in found.back if self._present(finding))
        # Before the ends, so that nothing proven is held back for these.
        proven = self.quarantine.hear_proven(found.proven)
        crashes, cleared = self.quarantine.hear(found.crashes, found.cleared)
        leaving = [key for key in found.leaving if self._take_leaving(key)]
        breaks = self.quarantine.hear_breaks(found.breaks)
        limits = self.fleet.rate_limits.heard(found.limits)
        news = Findings(dead, back, crashes, cleared, leaving, proven, breaks, limits)
        if self.passes_on() and news != Findings():
            self.tell(news, member)
        self._take_dead(finding.backend for finding in dead)
        self._take_back(finding.backend for finding in back)

    def greeting(self) -> list[Findings]:
        """Return what a daemon is to know that has just joined, or was out of reach."""
        crashes, proven = self.quarantine.known()
        limits = self.fleet.rate_limits.known()
        if not crashes and not limits:
            return []
        return [Findings(crashes=crashes, proven=proven if crashes else [], limits=limits)]

    def _tell_break(self, crash: Crash) -> None:
        """Tell of a break before its cause is known: this daemon may end or be stopped until then."""
        self._tell_in_a_moment()
        self.breaks.append(crash)

    def _tell_in_a_moment(self) -> None:
        if not (self.crashes or self.cleared or self.breaks):
            eventlet.spawn_after(NEWS_SECONDS, self._tell_news)

    def _tell_soon(self, crashes: list[Crash], cleared: list[Fingerprint]) -> None:
        """Tell of requests in a moment: a server's end breaks off many within some milliseconds."""
        self._tell_in_a_moment()
        self.crashes += crashes
        self.cleared += cleared

    def _tell_proven(self, names: list[Fingerprint]) -> None:
        self.tell(Findings(proven=names), None)

    def _tell_news(self) -> None:
        found = Findings(crashes=self.crashes, cleared=self.cleared, breaks=self.breaks)
        self.crashes, self.cleared, self.breaks = [], [], []
        self.tell(found, None)

    def heard_of(self, starts: Iterable[ServerKey]) -> None:
        """Ask servers that others know to have started later than is known here.

        :param starts: the starts that another daemon tells of.
        """
        later = [server for key in starts if (server := self.fleet.find_superseded(key)) is not None]
        if later:
            eventlet.spawn_n(self.diagnosis.examine, later)

    def _take_leaving(self, key: ServerKey) -> bool:
        """Take in that a server said that it leaves; tell whether that is new here.

        Nothing takes it back but a new start, so it is passed on once and dies out.
        """
        server = self.fleet.find_current(key)
        if server is None or server.leaving:
            return False
        self.fleet.mark_leaving(server, "others were told so")
        return True

    def _tell_leaving(self, server: Server) -> None:
        self.tell(Findings(leaving=[server.facts.key]), None)

    def _tell_limits(self, limits: list[LimitNotice]) -> None:
        self.tell(Findings(limits=limits), None)

    def _present(self, finding: Finding) -> bool:
        return self.fleet.find_current(finding.key) is not None

    def _found_dead(self, server: Server) -> None:
        self.back.forget(server.facts.id)
        if new := self.dead.add([self._finding(server)]):
            self.tell(Findings(dead=new), None)

    def _found_back(self, server: Server) -> None:
        self.dead.forget(server.facts.id)
        if new := self.back.add([self._finding(server)]):
            self.tell(Findings(back=new), None)

    def _finding(self, server: Server) -> Finding:
        # By the clock, so that a daemon which starts again goes on above its earlier numbers.
        self.numbers = max(self.numbers + 1, int(now() * 1000))
        return Finding(server.facts.id, self.me, server.facts.incarnation, self.numbers)

    def _take_dead(self, backends: Iterable[BackendId]) -> None:
        """Believe what enough daemons found, else look with some likelihood."""
        known = self.fleet.servers
        told = [known[backend] for backend in backends if backend in known and not known[backend].suspect]
        for server in told:
            self.back.forget(server.facts.id)
            if self.dead.is_believed(server.facts.id):
                self.fleet.mark_suspect(server, "others found it silent")
        likely = PROBING_DAEMONS / self.daemons()
        looked_at = [server for server in told if not server.suspect and self.rng.random() < likely]
        if looked_at:
            eventlet.spawn_n(self.diagnosis.examine, looked_at)

    def _take_back(self, backends: Iterable[BackendId]) -> None:
        """Believe that a stage answers again: whoever says so had an answer."""
        known = self.fleet.servers
        for server in [known[b] for b in backends if b in known and known[b].suspect]:
            self.dead.forget(server.facts.id)
            self.fleet.clear_suspicion(server, "answers others again")
