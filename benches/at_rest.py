"""Cost of idle gateways: wake-ups, CPU time and calls to the store.

``python -m benches.at_rest [daemons] [halls] [seconds]`` starts gateways on the
stand-in for the users' platform, sends no requests, and prints a line for each duty.
"""

import sys
import time
from collections import defaultdict

import msgspec
import psutil

from bayglade.readers import Ranking, plan_readers
from standins.users import UsersSite

SETTLE_SECONDS = 8.0
"""Time for layers to be loaded and for daemons to find each other."""


class ResourceUsage(msgspec.Struct):
    """Resources that a process has used so far."""

    wakeups: int
    cpu_seconds: float


def read_usage(pid: int) -> ResourceUsage:
    """Read the resources that a process has used so far."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return ResourceUsage(process.num_ctx_switches().voluntary, times.user + times.system)


def main() -> None:
    """Run the measurement."""
    numbers = [int(text) for text in sys.argv[1:]]
    daemons, halls, seconds = (numbers + [20, 2, 20][len(numbers) :])[:3]
    with UsersSite(halls=halls, plain=1) as site:
        started = [site.start(f"hall-{n % halls}") for n in range(daemons)]
        site.wait_placed()
        time.sleep(SETTLE_SECONDS)
        calls = sum(site.store.calls.values())
        before = [read_usage(daemon.popen.pid) for daemon in started]
        time.sleep(seconds)
        after = [read_usage(daemon.popen.pid) for daemon in started]
        calls = sum(site.store.calls.values()) - calls
    print(f"{daemons} daemons in {halls} halls, {seconds} s: {calls / seconds:.1f} calls a second")
    print("duty       daemons  wake-ups/s  CPU %")
    order = Ranking({daemon.settings["member"]: daemon.settings["hall"] for daemon in started})
    rows = defaultdict(list)
    for daemon, old, new in zip(started, before, after, strict=True):
        duty = plan_readers(daemon.settings["member"], order, (), ()).role
        rows[duty.value].append(
            ((new.wakeups - old.wakeups) / seconds, 100 * (new.cpu_seconds - old.cpu_seconds) / seconds)
        )
    for name, found in rows.items():
        wakeups, cpu = (sum(column) / len(found) for column in zip(*found, strict=True))
        print(f"{name:<9} {len(found):>8} {wakeups:>11.1f} {cpu:>6.2f}")


if __name__ == "__main__":
    main()
