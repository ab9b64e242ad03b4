"""Nearly all new connections of a site may be handed to one daemon for some seconds.

Retries, rate limits, servers' places and admission are shared among daemons, mostly by demand; a share
that was fixed for each daemon would be too small for the one that gets all callers.
"""

import threading
import time
from collections.abc import Iterator

import pytest

from standins.users import Daemon, UsersSite
from standins.world import wait_for
from tests.gateway_callers import ask
from tests.test_crashing_requests import member_count

DAEMONS = 5
CONNECTIONS = 90
PER_SECOND = 30.0
DUE = 0.95
"""Share of the requests that must be served at the first attempt; three quarters of the usual share are
allowed at least."""


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=2, stages=4, plain=4) as made:
        yield made


def served_share(daemons: list[Daemon]) -> float:
    """Send requests on new connections to these daemons in turn; return the share that was served."""
    served: list[bool] = []

    def send(number: int) -> None:
        daemon = daemons[number % len(daemons)]
        path = ("/stream/x", "/safe/x", "/once/x")[number % 3]
        answer = ask(daemon.callers, path, "POST", b"question %d" % number)
        served.append(answer.whole and answer.status == 200)

    senders = [threading.Thread(target=send, args=(number,)) for number in range(CONNECTIONS)]
    for sender in senders:
        sender.start()
        time.sleep(1.0 / PER_SECOND)
    for sender in senders:
        sender.join(10)
    return sum(served) / CONNECTIONS


def test_one_daemon_serves_the_new_connections_of_all(site: UsersSite) -> None:
    daemons = [site.start(f"hall-{number % 2}") for number in range(DAEMONS)]
    site.wait_placed()
    wait_for("daemons know each other", lambda: all(member_count(d) == DAEMONS for d in daemons))
    assert served_share(daemons) >= DUE
    assert served_share(daemons[:1]) >= DUE
    assert served_share(daemons[1:2]) >= DUE


def test_one_daemon_retries_for_the_callers_of_all(site: UsersSite) -> None:
    daemons = [site.start(f"hall-{number % 2}") for number in range(DAEMONS)]
    site.wait_placed()
    wait_for("daemons know each other", lambda: all(member_count(d) == DAEMONS for d in daemons))
    shares = []
    for reached in (daemons, daemons[:1]):
        for replica in site.replicas:
            if not replica.kind:
                replica.faults.set("reset", CONNECTIONS // 12)
        shares.append(served_share(reached))
    # A request that may not be repeated fails with its server; all others are sent again.
    assert shares[0] >= 0.75
    assert shares[1] >= 0.9 * shares[0]
