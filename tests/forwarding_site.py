"""Forwarding at size, in virtual time: offers a call, and the load of the daemons that help.

Run it with ``python -m tests.forwarding_site``. Choosing daemons is the production code; the daemons and
their answers are simulated. No daemon hears from which services others are isolated, as in a large site.
"""

import random
import statistics
from collections import Counter
from types import SimpleNamespace
from typing import Any

import eventlet
import msgspec

from bayglade import forwarding
from bayglade.exceptions import Isolated, Outcome, PeerRefused
from bayglade.forwarding import Forwarding, forward_call
from bayglade.ids import MemberId, RequestId, ServiceName
from bayglade.metrics import Metrics
from standins.virtual_time import now, run_virtually

SERVICE = ServiceName("model")
OFFER_SECONDS = 0.002
"""A connect and a refusal, between halls."""
ANSWER_SECONDS = 1.0
CALLS_PER_SECOND = 27.0
"""Calls a daemon takes at the peak of the target size: 12,000 a second over 440 daemons."""


class Result(msgspec.Struct, frozen=True):
    """What the calls of the isolated daemons met."""

    daemons: int
    isolated: int
    served: float
    """Fraction of the calls that some daemon accepted."""

    served_late: float
    """The same for calls after the first second."""

    offers: float
    """Mean number of daemons that a call was offered to."""

    busiest: float
    """Calls in progress at the busiest helping daemon, relative to their mean."""


class SimulatedSite:
    """Daemons some of which are isolated from all servers.

    :param daemons: their number.
    :param isolated: how many of them are isolated.
    """

    def __init__(self, daemons: int, isolated: int) -> None:
        self.names = [MemberId(f"d{n}") for n in range(daemons)]
        self.isolated = set(self.names[:isolated])
        self.in_progress: Counter[MemberId] = Counter()
        self.peak: Counter[MemberId] = Counter()
        self.offers: list[int] = []
        self.outcomes: list[tuple[float, bool]] = []
        """When each call came, in seconds from the start, and whether it was accepted."""

        self.senders = [self._sender(name) for name in sorted(self.isolated)]

    def run(self, seconds: float) -> Result:
        """Send calls to all isolated daemons.

        :param seconds: for how long.
        """
        started = now()
        for number, sender in enumerate(self.senders):
            eventlet.spawn_n(self._send_calls, sender, random.Random(number), started, seconds)
        eventlet.sleep(seconds + 2 * ANSWER_SECONDS)
        late = [accepted for at, accepted in self.outcomes if at > 1.0]
        peaks = [self.peak[name] for name in self.names if name not in self.isolated]
        return Result(
            daemons=len(self.names),
            isolated=len(self.isolated),
            served=round(statistics.mean(accepted for _, accepted in self.outcomes), 3),
            served_late=round(statistics.mean(late), 3),
            offers=round(statistics.mean(self.offers), 2),
            busiest=round(max(peaks) / statistics.mean(peaks), 2),
        )

    def _sender(self, name: MemberId) -> Forwarding:
        addresses = {member: member for member in self.names if member != name}
        return Forwarding(
            name,
            lambda service: True,
            lambda: addresses,
            lambda: b"secret",
            lambda: 0,
            lambda message: None,
            Metrics(None),
            random.Random(name),
        )

    def _send_calls(self, sender: Forwarding, rng: random.Random, started: float, seconds: float) -> None:
        while now() - started < seconds:
            eventlet.sleep(rng.expovariate(CALLS_PER_SECOND))
            eventlet.spawn_n(self._call, sender, now() - started)

    def _call(self, sender: Forwarding, at: float) -> None:
        call: Any = SimpleNamespace(
            service=SERVICE,
            head=SimpleNamespace(id=RequestId("r")),
            seconds_left=lambda: 10.0,
            offers=0,
        )
        try:
            accepted, _ = forward_call(sender, call, [], None)
        except Isolated:
            self.outcomes.append((at, False))
            self.offers.append(call.offers)
            return
        self.outcomes.append((at, True))
        self.offers.append(call.offers)
        eventlet.sleep(ANSWER_SECONDS)
        accepted.close()

    def offer(self, sender: Forwarding, member: MemberId, call: Any) -> Any:
        """Offer a call to a daemon, in place of a connection to it."""
        call.offers += 1
        eventlet.sleep(OFFER_SECONDS)
        sender.in_flight[member] += 1
        if member not in self.isolated:
            self.in_progress[member] += 1
            self.peak[member] = max(self.peak[member], self.in_progress[member])

        def read_head() -> None:
            if member in self.isolated:
                raise PeerRefused(
                    "isolated",
                    code="isolated",
                    status=503,
                    peer=member,
                    retry_after=None,
                    outcome=Outcome.NOT_RUN,
                )

        def close() -> None:
            sender.in_flight[member] -= 1
            self.in_progress[member] -= member not in self.isolated

        return SimpleNamespace(read_head=read_head, close=close)


def simulate(daemons: int, isolated: int, seconds: float = 4.0) -> Result:
    """Return what the calls of isolated daemons meet.

    :param daemons: number of daemons.
    :param isolated: how many of them reach no server.
    :param seconds: for how long calls are sent.
    """
    site = SimulatedSite(daemons, isolated)
    replaced: dict[str, Any] = {
        "_open": site.offer,
        "_send": lambda *_: None,
        "now": now,
        "event": lambda *_, **__: None,
    }
    before = {name: getattr(forwarding, name) for name in replaced}
    for name, value in replaced.items():
        setattr(forwarding, name, value)
    try:
        return run_virtually(lambda: site.run(seconds))
    finally:
        for name, value in before.items():
            setattr(forwarding, name, value)


def main() -> None:
    """Print the results for several sizes."""
    for daemons, isolated in ((81, 27), (195, 39), (440, 40), (440, 220), (440, 400), (440, 436)):
        print(msgspec.json.encode(simulate(daemons, isolated)).decode())


if __name__ == "__main__":
    main()
