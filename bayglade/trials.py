"""Trials: requests that had just begun where a server ended are sent on apart from each other.

All but one of them are innocent. Sent anew together, to the one server that is best, they
would all be there when it ends as well, and could not be told from the one that ends it.
"""

from collections.abc import Sequence

import eventlet

from bayglade.calls import Call
from bayglade.clock import now
from bayglade.ids import BackendId
from bayglade.quarantine import TRIAL_SECONDS
from bayglade.relay import Peers, look_at
from bayglade.servers import Server

TRIAL_POLL = 0.05
ENDED_SECONDS = 0.1
"""How long stages may take to accept a connection when they are looked at."""


def heads_to_avoid(peers: Peers, call: Call, avoided: frozenset[BackendId]) -> frozenset[BackendId]:
    """Choose the first stage on which a suspect runs apart; wait a moment for one where no other does.

    Of two that chance names it gets the one with less under way: daemons choose without
    word of each other, and what runs beside it may end with it.

    :param peers: what the relay works with.
    :param call: the call.
    :param avoided: servers that it does not go to anyway.
    :return: all other first stages; nothing when the call is no suspect, or there is none apart.
    """
    if not peers.quarantine.suspects(call):
        return frozenset()
    heads = [
        server
        for server in peers.fleet.usable(call.service)
        if server.facts.layer_count and server.facts.first == 0 and server.facts.id not in avoided
    ]
    apart = wait_apart(peers, call, heads)
    if not apart:
        return frozenset()
    chosen = min(peers.rng.sample(apart, min(2, len(apart))), key=lambda server: server.cached)
    return frozenset(server.facts.id for server in heads if server is not chosen)


def wait_apart(peers: Peers, call: Call, servers: Sequence[Server]) -> list[Server]:
    """Return the servers on which no other suspect of this daemon has just begun.

    :param peers: what the relay works with.
    :param call: a suspect.
    :param servers: those that could run it; while others are on trial on all of them, it waits.
    """
    until = min(call.deadline, now() + TRIAL_SECONDS)
    while True:
        others = peers.quarantine.on_trial(call)
        apart = [server for server in servers if server.facts.id not in others]
        if apart or not servers or now() >= until:
            return apart
        eventlet.sleep(TRIAL_POLL)


def ended_stages(peers: Peers, call: Call, servers: Sequence[Server]) -> frozenset[BackendId]:
    """Return the servers of a path that have ended already, before a call that one more end would stop.

    Of servers that end at once some are not known to have ended yet; a call that was sent over one would
    be stopped for an end that was not its own.

    :param peers: what the relay works with.
    :param call: the call.
    :param servers: the servers that it would go to.
    :return: those that refuse connections; nothing when the call may still break off once more.
    """
    if peers.quarantine.gather_seconds(call) <= 0:
        return frozenset()
    looks = [eventlet.spawn(look_at, peers, server) for server in servers]
    with eventlet.Timeout(ENDED_SECONDS, False):
        for look in looks:
            look.wait()
    ended = [server for server in servers if server.connection_refused]
    if unknown := [server for server in ended if not server.suspect]:
        eventlet.spawn_n(peers.diagnosis.examine_anew, unknown)
    return frozenset(server.facts.id for server in ended)
