"""Import time of a gateway. Run as ``python -m benches.startup``."""

import os
import subprocess
import sys
import time

from benches.common import print_table

RUNS = 15
IMPORTS = {
    "interpreter": "pass",
    "event library": "import eventlet; eventlet.monkey_patch()",
    "gateway": "import eventlet; eventlet.monkey_patch(); import bayglade.gateway",
}


def milliseconds(code: str) -> float:
    """Return the shortest time in which a new process runs some code and exits."""
    environment = {**os.environ, "EVENTLET_NO_GREENDNS": "yes", "PYTHONDONTWRITEBYTECODE": ""}
    command = [sys.executable, "-W", "ignore", "-c", code]
    times = []
    for _ in range(RUNS):
        began = time.perf_counter()
        subprocess.run(command, env=environment, check=True)
        times.append(time.perf_counter() - began)
    return min(times) * 1000


def main() -> None:
    """Measure the steps of a start; each includes those before it."""
    print_table("Start", ["up to", "ms"], [[name, milliseconds(code)] for name, code in IMPORTS.items()])


if __name__ == "__main__":
    main()
