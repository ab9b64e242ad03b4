"""Trials: suspects of a crash are sent again to different servers, isolated from each other.

All requests that had just begun where a server crashed are suspects, and all but one of them are
innocent. If they were sent again together, to the one server that is best, they would all be running
there at the next crash too, and the one that causes it couldn't be told apart.
"""

from collections.abc import Sequence

import eventlet

from bayglade.calls import Call
from bayglade.clock import now
from bayglade.ids import BackendId
from bayglade.quarantine import TRIAL_SECONDS
from bayglade.relay import RelayContext, probe_server
from bayglade.servers import Server

TRIAL_POLL_SECONDS = 0.05
PROBE_SECONDS = 0.1
"""How long stages may take to accept a connection when they are probed."""


def heads_to_avoid(peers: RelayContext, call: Call, avoided: frozenset[BackendId]) -> frozenset[BackendId]:
    """Choose the first stage for a suspect, and return all others.

    A stage is eligible when no other suspect of this daemon is on trial there; the call waits a moment
    for one. Of two random candidates, the one with less load is chosen. Daemons choose without knowing
    each other's choices, and what runs beside a suspect may be lost with it.

    :param peers: what the relay works with.
    :param call: the call.
    :param avoided: servers to which it doesn't go in any case.
    :return: all other first stages; empty if the call is no suspect, or no stage is eligible.
    """
    if not peers.quarantine.is_suspect(call):
        return frozenset()
    heads = [
        server
        for server in peers.fleet.usable(call.service)
        if server.facts.layer_count and server.facts.first == 0 and server.facts.id not in avoided
    ]
    isolated = wait_for_isolated(peers, call, heads)
    if not isolated:
        return frozenset()
    chosen = min(peers.rng.sample(isolated, min(2, len(isolated))), key=lambda server: server.cached)
    return frozenset(server.facts.id for server in heads if server is not chosen)


def wait_for_isolated(peers: RelayContext, call: Call, servers: Sequence[Server]) -> list[Server]:
    """Return the servers on which no other suspect of this daemon is on trial.

    :param peers: what the relay works with.
    :param call: a suspect.
    :param servers: candidates; while other suspects are on trial on all of them, the call waits.
    """
    until = min(call.deadline, now() + TRIAL_SECONDS)
    while True:
        others = peers.quarantine.servers_on_trial(call)
        isolated = [server for server in servers if server.facts.id not in others]
        if isolated or not servers or now() >= until:
            return isolated
        eventlet.sleep(TRIAL_POLL_SECONDS)


def refusing_stages(peers: RelayContext, call: Call, servers: Sequence[Server]) -> frozenset[BackendId]:
    """Return the servers of a path that refuse connections, if one more crash would stop the call.

    When several servers crash at once, some of them aren't known to be gone yet. A call sent over one
    of those would be stopped for a crash that it didn't cause.

    :param peers: what the relay works with.
    :param call: the call.
    :param servers: the servers of its path.
    :return: those that refuse connections; empty if one more interruption wouldn't stop the call.
    """
    if peers.quarantine.resend_delay(call) <= 0:
        return frozenset()
    probes = [eventlet.spawn(probe_server, peers, server) for server in servers]
    with eventlet.Timeout(PROBE_SECONDS, False):
        for probe in probes:
            probe.wait()
    refusing = [server for server in servers if server.connection_refused]
    if unknown := [server for server in refusing if not server.suspect]:
        eventlet.spawn_n(peers.diagnosis.probe_again, unknown)
    return frozenset(server.facts.id for server in refusing)
