"""Runs soak tests by seed, one after the other; exits with status 1 when a guarantee was violated."""

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
from soak.checks import KEY_SECONDS, check, stale_beliefs
from soak.crashing_requests import (
    CRASHES_TO_STOP,
    CRASHES_TO_STOP_PART,
    CRASHING_BODY,
    CRASHING_PART,
    RequestSender,
    contact_predicate,
    excess_crashes,
    trace_crashes,
    wrongly_refused,
)
from soak.faults import (
    BEHIND_ACTIONS,
    CROWDED_ACTIONS,
    DEFAULT_ACTIONS,
    INVALID_ACTIONS,
    LIMITED_ACTIONS,
    PARTITIONED_ACTIONS,
    PRESSED_ACTIONS,
    RESTING_ACTIONS,
    RESTORED_ACTIONS,
    UNSTEADY_ACTIONS,
    FaultAction,
    FaultInjector,
)
from soak.pressure import (
    PressedCallers,
    check_pressure,
    served_parts,
    watch_site,
    write_configuration,
)
from soak.records import Journal, Kind
from soak.site import SoakSite
from standins.users import KEY
from standins.users.configuration import MODEL, PLAIN
from standins.world import wait_for

FAILURE_FOLDER = Path("build/soak")
"""Directory for the logs of failed seeds."""
RECOVER_SECONDS = 15.0
"""Time after the last fault within which all requests must be served again."""
SETTLE_SECONDS = 0.5
WITHOUT_KEYS_SECONDS = 2.0
"""How much longer than revoked keys may be accepted there is no key."""


class Result(msgspec.Struct):
    """Outcome of one seed, printed as a line of JSON."""

    seed: int
    broken: list[str]
    requests: int
    statuses: dict[str, int]
    faults: dict[str, int]
    ends: int
    """Server crashes caused by the crashing request."""

    rests: int
    """Answers in which servers asked daemons to pause, with a ``Retry-After`` header."""

    limits: int
    """Answers that announced a rate limit."""

    served: dict[int, tuple[int, int]]
    """Attempts that were served and that were made, by urgency on the wire, under pressure."""

    resumed: int
    """Streams that callers took up after their connection had broken."""

    gaps: list[float]
    """Seconds for which the model was complete nowhere, under pressure, each time."""


def run(
    seed: int,
    seconds: float,
    daemons: int,
    callers: int,
    keep: Path = FAILURE_FOLDER,
    deadly: str | None = None,
    resting: bool = False,
    unsteady: bool = False,
    limited: bool = False,
    restored: bool = False,
    pressed: bool = False,
    partitioned: bool = False,
    part: bool = False,
    shared: bool = False,
    emptied: bool = False,
    behind: bool = False,
    crowded: bool = False,
    invalid: bool = False,
) -> Result:
    """Run one seed.

    :param seed: seed of all random choices of faults and requests.
    :param seconds: how long new faults are started.
    :param daemons: number of daemons.
    :param callers: number of concurrent callers.
    :param keep: directory for the logs if a guarantee is violated.
    :param deadly: path to which a request that crashes servers is sent repeatedly, if any.
    :param resting: whether servers also refuse requests with ``Retry-After``, and leave with a notice in
        their answers only.
    :param unsteady: whether to inject only faults that keep daemons from the store and from each other.
    :param limited: whether servers also announce rate limits.
    :param restored: whether the store is also restored from older copies.
    :param pressed: whether callers of three urgencies ask for more than the model servers can run, which
        crash together.
    :param partitioned: whether to cut daemons off from all backend servers, in series and over restarts.
    :param part: whether the requests that crash servers differ in all but a part of their prompts.
    :param shared: whether the model and the plain service share the streams, which callers take up.
    :param emptied: whether all keys are taken away for a while after the last fault.
    :param behind: whether to cut daemons off from the store and one service's servers while keys change.
    :param crowded: whether crowds of clients that don't behave come beside the faults.
    :param invalid: whether another writer also leaves unreadable entries in the store, and servers send
        invalid statuses and answers without an end.
    :return: the violations found, and counts.
    """
    journal = Journal(key_versions={KEY: 0})
    with SoakSite(daemons, proxied=not pressed, partitionable=partitioned or behind) as site:
        if pressed:
            write_configuration(site)
        if shared:
            site.share_streams({MODEL: 1.0, PLAIN: 1.0})
        if crowded:
            site.admit_crowds()
        for daemon in site.fleet:
            daemon.process.wait_ready()
        site.wait_placed()
        pool = Callers(
            journal, site.choose_daemon, lambda: list(site.keys), lambda: list(site.old_keys), seed
        )
        wait_for("all requests are served", lambda: _all_served(pool, site), RECOVER_SECONDS)
        pool.resume_streams = shared
        pool.start(callers)
        pressure, watch = PressedCallers(pool, site, seed), watch_site(site)
        if pressed:
            pressure.start()
            watch.start()
        sender = RequestSender(site.choose_daemon, lambda: site.keys[-1], deadly or "", part)
        if deadly is not None:
            site.deadly, site.deadly_parts = {CRASHING_BODY}, {CRASHING_PART}
            sender.start()
        actions = _select_actions(resting, unsteady, limited, restored, pressed)
        if partitioned or behind:
            actions = BEHIND_ACTIONS if behind else PARTITIONED_ACTIONS
        if crowded or invalid:
            actions = CROWDED_ACTIONS if crowded else INVALID_ACTIONS
        FaultInjector(site, journal, seed, actions).run(seconds)
        if emptied:
            _revoke_all_keys(journal, site)
        time.sleep(SETTLE_SECONDS)
        if pressed:
            pressure.stop()
            watch.stop()
            journal.violations += check_pressure(journal, watch)
        pool.stop()
        if deadly is not None:
            sender.stop()
            in_touch = contact_predicate(journal, sender.daemon_of, site.store.server.address)
            allowed = CRASHES_TO_STOP_PART if part else CRASHES_TO_STOP
            journal.violations += excess_crashes(site.crashes, in_touch, allowed)
            if part:
                journal.violations += wrongly_refused(journal.records, site.crashes)
        journal.violations += _check_recovery(pool, site)
        if crowded:
            journal.violations += site.memory_violations()
        broken = check(journal, site)
        if broken:
            _save_logs(keep / str(seed), site, journal, broken)
    return Result(
        seed=seed,
        broken=broken,
        requests=len(journal.records),
        statuses=dict(Counter(str(r.status or r.error) for r in journal.records)),
        faults=dict(Counter(fault.name for fault in journal.faults)),
        ends=len(site.crashes),
        rests=sum(len(replica.retry_after_sent) for replica in site.every_replica),
        limits=sum(len(replica.limits_announced) for replica in site.every_replica),
        served=served_parts(journal.records),
        resumed=sum(1 for record in journal.records if record.after),
        gaps=[round(until - since, 2) for since, until in watch.gaps],
    )


def _revoke_all_keys(journal: Journal, site: SoakSite) -> None:
    """Take all keys away while callers go on with them, for longer than they may be accepted."""
    for key in site.remove_all_keys():
        journal.revoked[key] = time.monotonic()
    time.sleep(KEY_SECONDS + WITHOUT_KEYS_SECONDS)
    journal.key_versions[site.add_key()] = site.version


def _select_actions(
    resting: bool, unsteady: bool, limited: bool, restored: bool, pressed: bool
) -> Sequence[FaultAction]:
    if pressed:
        return PRESSED_ACTIONS
    if restored:
        return RESTORED_ACTIONS
    if unsteady:
        return UNSTEADY_ACTIONS
    if limited:
        return LIMITED_ACTIONS
    return RESTING_ACTIONS if resting else DEFAULT_ACTIONS


def _all_served(pool: Callers, site: SoakSite) -> bool:
    """Return whether each daemon serves each kind of request."""
    for daemon in site.fleet:
        host, _, port = daemon.callers.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
        for kind in Kind:
            record = pool.send(connection, daemon.incarnation, kind, site.keys[-1])
            if record.status != 200 or not record.whole:
                connection.close()
                return False
        connection.close()
    return True


def _check_recovery(pool: Callers, site: SoakSite) -> list[str]:
    """Return violations found after all faults have ended: failed requests, stale state, exits."""
    broken = []
    try:
        wait_for("all requests are served", lambda: _all_served(pool, site), RECOVER_SECONDS)
    except TimeoutError:
        broken.append("recovery: some requests still fail after the last fault")
    try:
        wait_for("all daemons agree with the store", lambda: not stale_beliefs(site), RECOVER_SECONDS)
    except TimeoutError:
        broken += stale_beliefs(site)
    for daemon in site.fleet:
        if daemon.process.popen.poll() is not None:
            broken.append(f"exit: {daemon.incarnation} exited unexpectedly")
    for log in site.folder.glob("*.log"):
        if b"Traceback" in log.read_bytes():
            broken.append(f"traceback in {log.name}")
    return broken


def _save_logs(folder: Path, site: SoakSite, journal: Journal, broken: list[str]) -> None:
    shutil.copytree(site.folder, folder, dirs_exist_ok=True)
    lines = [
        *broken,
        "",
        *map(repr, journal.faults),
        "",
        *trace_crashes(site),
        "",
        *map(repr, journal.records),
    ]
    (folder / "soak.txt").write_text("\n".join(lines), encoding="utf-8")


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed (default: the current time)")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="how long faults are started in each seed"
    )
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--deadly", metavar="PATH", help="send requests there that crash servers")
    parser.add_argument(
        "--part", action="store_true", help="let these requests share only a part of their prompts"
    )
    parser.add_argument(
        "--resting", action="store_true", help="have servers answer with Retry-After as well"
    )
    parser.add_argument(
        "--unsteady", action="store_true", help="only cut daemons off from the store and peers"
    )
    parser.add_argument("--limited", action="store_true", help="have servers announce rate limits as well")
    parser.add_argument(
        "--restored", action="store_true", help="restore the store from older copies as well"
    )
    parser.add_argument(
        "--pressed",
        action="store_true",
        help="ask for more than the model servers can run, by three urgencies, while they crash together",
    )
    parser.add_argument(
        "--partitioned", action="store_true", help="cut daemons off from all backend servers as well"
    )
    parser.add_argument(
        "--shared",
        action="store_true",
        help="let the model and the plain service share the streams, and take up those that break",
    )
    parser.add_argument(
        "--emptied", action="store_true", help="take all keys away for a while after the last fault"
    )
    parser.add_argument(
        "--behind",
        action="store_true",
        help="cut daemons off from the store and one service's servers while keys change",
    )
    parser.add_argument(
        "--crowded", action="store_true", help="let crowds of clients that don't behave come as well"
    )
    parser.add_argument(
        "--invalid",
        action="store_true",
        help="leave unreadable entries, and have servers send invalid answers as well",
    )
    parser.add_argument(
        "--keep", type=Path, default=FAILURE_FOLDER, help="directory for logs of failed seeds"
    )
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
            options.pressed,
            options.partitioned,
            options.part,
            options.shared,
            options.emptied,
            options.behind,
            options.crowded,
            options.invalid,
        )
        failed += bool(result.broken)
        print(msgspec.json.encode(result).decode(), flush=True)
    print(f"{options.seeds - failed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
