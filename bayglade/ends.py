"""Ends: how a daemon finds out that a backend server has surely ended, or lives."""

import eventlet

from bayglade.diagnosis import Diagnosis
from bayglade.fleet import Fleet
from bayglade.ids import BackendId
from bayglade.quarantine import Quarantine
from bayglade.servers import Server
from bayglade.upstream import Links


def watch_ends(fleet: Fleet, links: Links, diagnosis: Diagnosis, quarantine: Quarantine) -> None:
    """Have the quarantine told of servers that ended, and of those that answer.

    :param fleet: tells of later starts, and of servers that are no longer listed.
    :param links: tells of addresses at which nobody listens.
    :param diagnosis: tells of reports.
    :param quarantine: told of all this.
    """

    def refused(backend: BackendId, address: str) -> None:
        server = fleet.servers.get(backend)
        if server is None or server.facts.address != address or server.leaving:
            return
        # A stream that two servers cut within a second may go on at once, and need not wait until the
        # last one has been silent for long enough.
        server.connection_refused = True
        quarantine.server_ended(server.facts.key)

    def unlisted(server: Server) -> None:
        facts = server.facts
        if facts.key in quarantine.unsure:
            eventlet.spawn_n(look, server)

    def look(server: Server) -> None:
        # Some servers leave by losing their entry only, and serve on for a while.
        if not links.probe(server.facts.id, server.facts.address):
            quarantine.server_ended(server.facts.key)

    def answered(server: Server, asked_at: float) -> None:
        server.connection_refused = False
        quarantine.server_lives(server.facts.key, asked_at)

    fleet.on_ended = quarantine.server_ended
    fleet.on_unlisted = unlisted
    links.on_refused = refused
    diagnosis.on_answer = answered
