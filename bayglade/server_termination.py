"""Detection of backend servers that have certainly terminated, or are alive."""

import eventlet

from bayglade.diagnosis import Diagnosis
from bayglade.fleet import Fleet
from bayglade.ids import BackendId
from bayglade.quarantine import Quarantine
from bayglade.servers import Server
from bayglade.upstream import ConnectionPool


def watch_server_termination(
    fleet: Fleet, pool: ConnectionPool, diagnosis: Diagnosis, quarantine: Quarantine
) -> None:
    """Report servers that terminated, and servers that respond, to the quarantine.

    :param fleet: reports restarted servers, and servers that are no longer listed.
    :param pool: reports addresses at which connects are refused.
    :param diagnosis: reports servers that answer a probe.
    :param quarantine: the receiver of these reports.
    """

    def refused(backend: BackendId, address: str) -> None:
        server = fleet.servers.get(backend)
        if server is None or server.facts.address != address:
            return
        if fleet.is_isolated(server.facts.service):
            # The links of this daemon are at fault, and what is reported here spreads to all daemons.
            return
        # A stream that two servers cut within a second can then be resumed at once. Otherwise it would wait
        # until the second server has been silent for long enough to be considered terminated.
        server.connection_refused = True
        if not server.leaving:
            quarantine.server_ended(server.facts.key)

    def unlisted(server: Server) -> None:
        facts = server.facts
        if facts.key in quarantine.interruptions.own:
            eventlet.spawn_n(probe_unlisted, server)

    def probe_unlisted(server: Server) -> None:
        # Some servers leave by removing only their entry, and continue to serve for a while.
        reached = pool.probe(server.facts.id, server.facts.address)
        if not reached and not fleet.is_isolated(server.facts.service):
            quarantine.server_ended(server.facts.key)

    def answered(server: Server, asked_at: float) -> None:
        server.connection_refused = False
        quarantine.server_alive(server.facts.key, asked_at)

    fleet.on_ended = quarantine.server_ended
    fleet.on_unlisted = unlisted
    pool.on_refused = refused
    diagnosis.on_answer = answered
