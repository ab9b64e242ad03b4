"""Daemons partitioned from all backend servers, while callers and other daemons still reach them."""

import time
from collections.abc import Iterator

import pytest

from standins.users import Daemon, Partition, UsersSite
from standins.world import wait_for
from tests.gateway_callers import Answer, ask

CUTS = [Partition.SILENT, Partition.RESET, Partition.REFUSED]
CONTACT_SECONDS = 3.0
"""From this long after a cut, callers have to be served at the first try (the users' ``contactMs``)."""


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=2, stages=4, plain=4, partitionable=True) as made:
        yield made


def start_daemons(site: UsersSite, count: int) -> list[Daemon]:
    daemons = [site.start(f"hall-{n % 2}", key_trust_ms=60_000, retry_floor=1000.0) for n in range(count)]
    site.wait_placed()
    for daemon in daemons:
        wait_for(
            "it knows the others",
            lambda daemon=daemon: len(daemon.beliefs()["members"]) == count - 1,
        )
        for path in ("/stream/x", "/safe/x"):
            wait_for("it serves", lambda daemon=daemon, path=path: is_served(ask(daemon.callers, path)))
    return daemons


def is_served(answer: Answer) -> bool:
    return answer.status == 200 and answer.whole


def first_tries(daemon: Daemon, seconds: float) -> list[Answer]:
    """Send requests of all kinds, one after the other and each once."""
    answers, until = [], time.monotonic() + seconds
    while time.monotonic() < until:
        answers += [ask(daemon.callers, path) for path in ("/stream/x", "/safe/x", "/once/x")]
    return answers


@pytest.mark.parametrize("cut", CUTS, ids=lambda cut: cut.value)
@pytest.mark.parametrize(("count", "cut_off"), [(3, 1), (3, 2)])
def test_a_daemon_partitioned_from_all_servers_serves_first_tries(
    site: UsersSite, cut: Partition, count: int, cut_off: int
) -> None:
    daemons = start_daemons(site, count)
    for daemon in daemons[:cut_off]:
        daemon.partition(cut)
    first_tries(daemons[0], CONTACT_SECONDS)
    for daemon in daemons:
        answers = first_tries(daemon, 1.0)
        assert all(is_served(answer) for answer in answers)
        assert all(site.runs(answer.request) == 1 for answer in answers)
