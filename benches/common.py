"""Helpers for all benchmarks: starting processes, resource usage and tables."""

import sys
from collections.abc import Callable
from datetime import datetime
from typing import Any

import psutil

from standins.world import Process, World, backend, usual_tree


def start(world: World, engines: int, daemons: int, step_ms: float, slots: int) -> list[Process]:
    """Start the platform, engines that each hold the whole model, and daemons that send to them.

    :param world: where to start them; it must be empty.
    :param engines: number of engines.
    :param daemons: number of daemons.
    :param step_ms: milliseconds per token.
    :param slots: requests that an engine runs at once.
    :return: the daemons, which are ready.
    """
    world.start_platform()
    made = {
        f"e{n}": world.start_engine(f"e{n}", 0, 8, step_ms=step_ms, slots=slots) for n in range(engines)
    }
    world.wait_up()
    tree = usual_tree({name: backend(engine, 0, 8) for name, engine in made.items()}, {}, 8)
    world.cli("settings", "init", str(world.write_settings(tree)), "-p", world.platform)
    started = [world.start_daemon(f"d{n}") for n in range(daemons)]
    world.wait_ready(*started)
    return started


def cpu_seconds(process: Process) -> float:
    """Return the CPU time that a process has used so far."""
    times = psutil.Process(process.popen.pid).cpu_times()
    return float(times.user + times.system)


def megabytes(process: Process) -> float:
    """Return the resident memory of a process, in MB."""
    return float(psutil.Process(process.popen.pid).memory_info().rss) / 1e6


def print_table(title: str, headers: list[str], rows: list[list[Any]]) -> None:
    """Print a titled table with right-aligned columns."""
    print(f"\n## {title}")
    cells = [headers, *[[f"{c:.3g}" if isinstance(c, float) else str(c) for c in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headers))]
    for row in cells:
        print("  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)), flush=True)


def run(tables: dict[str, Callable[[], None]]) -> None:
    """Run the tables named on the command line, or all."""
    print(f"measured {datetime.now():%Y-%m-%d}, {psutil.cpu_count()} cores")
    for name in sys.argv[1:] or list(tables):
        tables[name]()
