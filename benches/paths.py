"""CPU time of the search for a path. Run as ``python -m benches.paths``."""

import time
from collections.abc import Callable

from bayglade.paths import PathSelector
from benches.common import print_table
from tests.test_paths import USUAL, Site
from tests.test_tiling import SERVICE

RUNS = 100


def milliseconds(search: Callable[[], object]) -> float:
    """Return the mean CPU time of a call, in milliseconds."""
    began = time.process_time()
    for _ in range(RUNS):
        search()
    return (time.process_time() - began) / RUNS * 1000


def main() -> None:
    """Measure single data halls of growing size, and a path across three."""
    rows: list[list[object]] = []
    for big, middle, small in ((1, 8, 4), (4, 24, 9), (12, 70, 30)):
        site = Site("a", a={"big": big, "middle": middle, "small": small})
        rows.append([f"{big + middle + small} in one hall", milliseconds(site.choose)])
    site = Site(
        "a",
        a={"big": 1, "middle": 10, "small": 4},
        b={"big": 1, "middle": 6, "small": 6},
        c={"big": 2, "middle": 4, "small": 4},
    )
    rows.append(["38 in three halls, crossing", milliseconds(lambda: _crossing(site.paths, site))])
    print_table("Search for one path", ["servers", "ms"], rows)


def _crossing(paths: PathSelector, site: Site) -> object:
    usable = site.fleet.usable(SERVICE)
    return paths._find_across_halls(usable, paths._search_for(site.model, USUAL, {}))


if __name__ == "__main__":
    main()
