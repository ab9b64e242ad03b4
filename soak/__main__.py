"""Runs seeds of the soak, one after the other; ends with status 1 when a promise is broken."""

import argparse
import http.client
import shutil
import sys
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import msgspec

from soak.callers import Callers
from soak.checks import check, stale
from soak.deadly import QUESTION, Asker, late_ends, touched, trace_ends
from soak.faults import ACTS, LIMITED_ACTS, RESTING_ACTS, RESTORED_ACTS, UNSTEADY_ACTS, Act, Faults
from soak.records import Journal, Kind
from soak.site import SoakSite
from standins.users import KEY
from standins.world import wait_for

KEEP = Path("build/soak")
"""Where the logs go when a promise is broken."""
RECOVER_SECONDS = 15.0
"""After the last fault everything has to be served again in this time."""
SETTLE_SECONDS = 0.5


class Result(msgspec.Struct):
    """What came of one seed."""

    seed: int
    broken: list[str]
    requests: int
    statuses: dict[str, int]
    faults: dict[str, int]
    ends: int
    """Servers that ended under the question that ends them."""

    rests: int
    """Rests that servers asked for."""

    limits: int
    """Answers that named a rate limit."""


def run(
    seed: int,
    seconds: float,
    daemons: int,
    callers: int,
    keep: Path = KEEP,
    deadly: str | None = None,
    resting: bool = False,
    unsteady: bool = False,
    limited: bool = False,
    restored: bool = False,
) -> Result:
    """Run one seed.

    :param seed: of all choices of faults and requests.
    :param seconds: how long new faults begin.
    :param daemons: how many daemons there are.
    :param callers: how many callers there are.
    :param keep: where the logs go when a promise is broken.
    :param deadly: path at which a question is asked again and again that ends servers, if one is.
    :param resting: whether servers also ask for rest, and leave without a word but in their answers.
    :param unsteady: whether faults only keep daemons from word of the store and of each other.
    :param limited: whether servers also name rate limits.
    :param restored: whether the store also comes back from older copies.
    :return: what was broken, and figures.
    """
    journal = Journal(key_versions={KEY: 0})
    with SoakSite(daemons) as site:
        for daemon in site.fleet:
            daemon.process.wait_ready()
        site.wait_placed()
        asking = Callers(journal, site.choose, lambda: list(site.keys), lambda: list(site.old_keys), seed)
        wait_for("all is served", lambda: _served(asking, site), RECOVER_SECONDS)
        asking.start(callers)
        asker = Asker(site.choose, lambda: site.keys[-1], deadly or "")
        if deadly is not None:
            site.deadly = {QUESTION}
            asker.start()
        Faults(site, journal, seed, _acts(resting, unsteady, limited, restored)).run(seconds)
        time.sleep(SETTLE_SECONDS)
        asking.stop()
        if deadly is not None:
            asker.stop()
            in_touch = touched(journal, asker.asked, site.store.server.address)
            journal.broken += late_ends(site.ends, in_touch)
        journal.broken += _end(asking, site)
        broken = check(journal, site)
        if broken:
            _keep(keep / str(seed), site, journal, broken)
    return Result(
        seed=seed,
        broken=broken,
        requests=len(journal.records),
        statuses=dict(Counter(str(r.status or r.error) for r in journal.records)),
        faults=dict(Counter(fault.name for fault in journal.faults)),
        ends=len(site.ends),
        rests=sum(len(replica.rests) for replica in site.every_replica),
        limits=sum(len(replica.limits_named) for replica in site.every_replica),
    )


def _acts(resting: bool, unsteady: bool, limited: bool, restored: bool) -> Sequence[Act]:
    if restored:
        return RESTORED_ACTS
    if unsteady:
        return UNSTEADY_ACTS
    if limited:
        return LIMITED_ACTS
    return RESTING_ACTS if resting else ACTS


def _served(asking: Callers, site: SoakSite) -> bool:
    """Tell whether each daemon serves each kind of request."""
    for daemon in site.fleet:
        host, _, port = daemon.callers.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
        for kind in Kind:
            record = asking.ask(connection, daemon.incarnation, kind, site.keys[-1])
            if record.status != 200 or not record.whole:
                connection.close()
                return False
        connection.close()
    return True


def _end(asking: Callers, site: SoakSite) -> list[str]:
    """Look at what is left once all faults have ended."""
    broken = []
    try:
        wait_for("all is served", lambda: _served(asking, site), RECOVER_SECONDS)
    except TimeoutError:
        broken.append("recovery: not all is served after the last fault")
    try:
        wait_for("all know what the store has", lambda: not stale(site), RECOVER_SECONDS)
    except TimeoutError:
        broken += stale(site)
    for daemon in site.fleet:
        if daemon.process.popen.poll() is not None:
            broken.append(f"exit: {daemon.incarnation} ended by itself")
    for log in site.folder.glob("*.log"):
        if b"Traceback" in log.read_bytes():
            broken.append(f"traceback in {log.name}")
    return broken


def _keep(folder: Path, site: SoakSite, journal: Journal, broken: list[str]) -> None:
    shutil.copytree(site.folder, folder, dirs_exist_ok=True)
    lines = [
        *broken,
        "",
        *map(repr, journal.faults),
        "",
        *trace_ends(site),
        "",
        *map(repr, journal.records),
    ]
    (folder / "soak.txt").write_text("\n".join(lines), encoding="utf-8")


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="the first seed; the time of day when left out")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="how long faults begin in each")
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--deadly", metavar="PATH", help="ask a question there that ends servers")
    parser.add_argument("--resting", action="store_true", help="have servers ask for rest as well")
    parser.add_argument("--unsteady", action="store_true", help="only keep daemons from word")
    parser.add_argument("--limited", action="store_true", help="have servers name rate limits as well")
    parser.add_argument("--restored", action="store_true", help="restore the store from older copies too")
    parser.add_argument("--keep", type=Path, default=KEEP, help="where logs of failures go")
    options = parser.parse_args()
    first = options.seed if options.seed is not None else int(time.time())
    failed = 0
    for seed in range(first, first + options.seeds):
        result = run(
            seed,
            options.seconds,
            options.daemons,
            options.callers,
            options.keep,
            options.deadly,
            options.resting,
            options.unsteady,
            options.limited,
            options.restored,
        )
        failed += bool(result.broken)
        print(msgspec.json.encode(result).decode(), flush=True)
    print(f"{options.seeds - failed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
