"""Chooses the server for a call to a plain service whose servers many daemons share.

Where more daemons share a service than its servers have slots, a daemon's own count of a server is
nearly always 0 and says nothing about how busy it is. The counts of the other daemons arrive with
heartbeats and are a second old or more. Always taking the server that is least busy by such counts
would send all daemons to the same one, so each takes the better one of two that it draws.
"""

import math
import random
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

from bayglade.ids import HallName, ServerKey, ServiceName
from bayglade.servers import Server

REMOTE_HALL_SLOTS = 0.5
"""Slots by which a server of another hall must be freer, because its answers take longer."""
MIN_WEIGHT = 0.25
"""Smallest weight of a server that is drawn, in slots: counts are old, and a server that was full may be
free again."""
PRIOR_ANSWERS = 1.0
"""Weight of the mean over all servers in the mean latency of one, in answers. A single long answer would
otherwise make a server look slow to a daemon that sends it a call every few seconds."""
OLD_COUNT_WEIGHT = 0.1
"""Weight of the counts of other daemons. They are a second old or more, and calls last a few hundredths of
a second: they show where the load was, not which slots are free. With a weight of 1 the daemons overloaded
one server after the other; see docs/design/plain_balancing.md."""
RECENT_REFUSAL = math.exp(-1.0)
"""What is left of one refusal after its time constant, 5 s."""

OtherLoads = Mapping[ServerKey, int]
"""Calls that the other daemons have in flight, by server incarnation."""


def balanced_services(
    daemons: int, servers: Iterable[Server], pipelines: Collection[ServiceName]
) -> set[ServiceName]:
    """Return the plain services that more daemons share than their servers have slots together.

    :param daemons: the number of daemons.
    :param servers: all known servers.
    :param pipelines: the services that run a model as a pipeline, which are left out.
    """
    slots: Counter[ServiceName] = Counter()
    for server in servers:
        slots[server.facts.service] += server.facts.slots
    return {name for name, total in slots.items() if name not in pipelines and daemons > total}


def choose_server(
    servers: Sequence[Server], own: HallName, others: OtherLoads, at: float, rng: random.Random
) -> Server:
    """Choose a server by the counts of all daemons: the better one of two drawn at random.

    :param servers: the servers that may be used; at least one.
    :param own: the hall of this daemon.
    :param others: what other daemons have in flight.
    :param at: the time, in monotonic seconds.
    :param rng: random number generator.
    :return: a server of the own hall, unless one of another hall has more than half a slot more room.
    """
    slots = effective_slots(servers, at)
    free = {
        key: slots[key] - _busy(server, own, others, at)
        for key, server in ((server.facts.key, server) for server in servers)
    }
    chosen = _better_of_two(servers, slots, free, rng)
    near = [server for server in servers if server.facts.hall == own]
    if chosen in near or not near:
        return chosen
    # The penalty of another hall is part of what is free there.
    if free[chosen.facts.key] > max(free[server.facts.key] for server in near):
        return chosen
    return _better_of_two(near, slots, free, rng)


def without_recent_refusals(servers: Sequence[Server], at: float) -> Sequence[Server]:
    """Return the servers that refused no call in the last 5 s, or all if each of them did.

    :param servers: the servers that may be used.
    :param at: the time, in monotonic seconds.
    """
    return [server for server in servers if server.refusals.read(at) < RECENT_REFUSAL] or servers


def effective_slots(servers: Sequence[Server], at: float) -> dict[ServerKey, float]:
    """Return the slots of each server, divided by how much slower than the fastest one it answers.

    :param servers: the servers to compare.
    :param at: the time, in monotonic seconds.
    """
    answers = {server.facts.key: server.answers.read(at) for server in servers}
    seconds = {server.facts.key: server.answer_seconds.read(at) for server in servers}
    total = sum(answers.values())
    mean = sum(seconds.values()) / total if total > 0 else 0.0
    if mean <= 0:
        return {server.facts.key: float(max(1, server.facts.slots)) for server in servers}
    latency = {
        key: (seconds[key] + PRIOR_ANSWERS * mean) / (answers[key] + PRIOR_ANSWERS) for key in answers
    }
    fastest = min(latency.values())
    return {
        server.facts.key: max(1, server.facts.slots) * fastest / latency[server.facts.key]
        for server in servers
    }


def _busy(server: Server, own: HallName, others: OtherLoads, at: float) -> float:
    """Return how many slots of a server count as busy."""
    remote = REMOTE_HALL_SLOTS if server.facts.hall != own else 0.0
    sent = server.in_flight + OLD_COUNT_WEIGHT * others.get(server.facts.key, 0)
    # A refusal or a failure counts as all slots, as where daemons go by their own counts: a server that
    # refuses has the fewest calls in flight.
    return sent + remote + (server.refusals.read(at) + server.failures) * max(1, server.facts.slots)


def _better_of_two(
    servers: Sequence[Server],
    slots: Mapping[ServerKey, float],
    free: Mapping[ServerKey, float],
    rng: random.Random,
) -> Server:
    """Draw two servers, weighted by their free slots, and return the one with more of its slots free."""
    weights = [max(MIN_WEIGHT, free[server.facts.key]) for server in servers]
    first, second = rng.choices(servers, weights, k=2)
    share = {s.facts.key: free[s.facts.key] / slots[s.facts.key] for s in (first, second)}
    return first if share[first.facts.key] >= share[second.facts.key] else second
