"""Ports of test processes: one that was handed out is not handed out to another run while it is free."""

import subprocess
import sys

from standins import world
from standins.users import UsersSite
from standins.world import PORTS_A_RANGE, free_port

TAKE_AGAIN = """
import sys
from itertools import cycle
from standins import world
first = int(sys.argv[1])
world._ports = cycle(range(first, first + 20))
print(world.free_port())
"""


def test_another_process_does_not_get_a_port_that_was_handed_out() -> None:
    """A daemon of a soak that came back found its port taken: two runs had the same range, and nobody
    listened there between the two processes ("Address already in use", 1 of 32 runs, five at a time)."""
    port = free_port()
    found = subprocess.run(
        [sys.executable, "-c", TAKE_AGAIN, str(port)], capture_output=True, text=True, check=True
    )
    assert int(found.stdout) != port


def test_ports_do_not_run_out_within_a_range() -> None:
    assert len({free_port() for _ in range(20)}) == 20
    assert PORTS_A_RANGE > 20


TAKE_ALL = """
from itertools import cycle
from standins import world
world.PORTS_A_RANGE = 3
world._ports = cycle(range(world.FIRST_PORT + 500, world.FIRST_PORT + 503))
for _ in range(4):
    world.free_port()
"""


def test_a_range_without_a_free_port_is_an_error() -> None:
    """A soak of many seeds hung: it looked for a free port for ever (2 of 2 runs, in the 24th seed)."""
    found = subprocess.run([sys.executable, "-c", TAKE_ALL], capture_output=True, text=True, timeout=30)
    assert "RuntimeError: no free port" in found.stderr


def test_a_site_that_stops_gives_its_ports_back() -> None:
    before = len(world._reserved)
    with UsersSite(halls=1, stages=2, plain=1):
        assert len(world._reserved) > before
    assert len(world._reserved) == before
