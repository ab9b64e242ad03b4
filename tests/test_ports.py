"""Port allocation for tests: no two processes get the same port, even while nobody listens on it."""

import subprocess
import sys

from standins import world
from standins.users import UsersSite
from standins.world import PORTS_PER_RANGE, free_port

ALLOCATE_SAME_RANGE = """
import sys
from itertools import cycle
from standins import world
first = int(sys.argv[1])
world._ports = cycle(range(first, first + 20))
print(world.free_port())
"""


def test_another_process_does_not_get_an_allocated_port() -> None:
    """Guards against a restarted daemon of a soak run finding its port taken ("Address already in use", 1
    of 32 runs, five at a time): two runs had the same range, and nobody listened on the port during the
    restart."""
    port = free_port()
    found = subprocess.run(
        [sys.executable, "-c", ALLOCATE_SAME_RANGE, str(port)], capture_output=True, text=True, check=True
    )
    assert int(found.stdout) != port


def test_a_range_holds_enough_ports() -> None:
    assert len({free_port() for _ in range(20)}) == 20
    assert PORTS_PER_RANGE > 20


EXHAUST_RANGE = """
from itertools import cycle
from standins import world
world.PORTS_PER_RANGE = 3
world._ports = cycle(range(world.FIRST_PORT + 500, world.FIRST_PORT + 503))
for _ in range(4):
    world.free_port()
"""


def test_a_range_without_a_free_port_is_an_error() -> None:
    """Guards against searching for a free port forever: a soak run of many seeds hung (2 of 2 runs, in the
    24th seed)."""
    found = subprocess.run(
        [sys.executable, "-c", EXHAUST_RANGE], capture_output=True, text=True, timeout=30
    )
    assert "RuntimeError: no free port" in found.stderr


def test_a_stopped_site_releases_its_ports() -> None:
    before = len(world._reserved)
    with UsersSite(halls=1, stages=2, plain=1):
        assert len(world._reserved) > before
    assert len(world._reserved) == before
