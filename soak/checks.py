"""Checks of the guarantees that daemons give, from the records of callers and servers."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from soak.records import PARTITION, Journal, Kind, Record
from soak.site import RETRY_BOUND, SoakSite
from standins.users import EVENTS, Replica, UsersSite
from standins.users.configuration import MAX_ATTEMPTS, MODEL, PLAIN
from standins.users.limits import WINDOW_SECONDS, excesses
from standins.users.retry_use import worst_retry_use

NOT_RUN = (408, 421, 429, 503)
"""Statuses which guarantee that the request has not run and never will."""
KEY_SECONDS = 5.0
"""Time for which a revoked key may still be accepted, as configured in the daemons."""
DRAIN_SECONDS = 2.0
UNDISTURBED_SECONDS = 3.0
"""Time without faults that is required before a bound on time is checked."""
SLACK_SECONDS = 0.3
"""Delay with which a run may be recorded on a busy machine."""
GRACE_SECONDS = 8.0
CONTACT_SECONDS = 3.0
"""Time after the start of a partition from which first tries count, the users' ``contactMs``."""
SERVED_FRACTION = 2 / 3
MIN_TRIES = 6
IN_FLIGHT_SECONDS = 0.5
"""Time for which requests in flight may still arrive at a server that sent ``Retry-After``."""
MAX_REQUESTS_IN_REST = 2
"""Further requests that may reach a server during the pause that it asked for."""


def check(journal: Journal, site: UsersSite) -> list[str]:
    """Check all guarantees.

    :param journal: the injected faults, and the requests as their callers saw them.
    :param site: the stand-in, which recorded what ran.
    :return: the violations, one line each.
    """
    return [
        *journal.violations,
        *_answers(journal.records),
        *_runs(journal.records, site),
        *_servers(journal, site),
        *_keys(journal, site),
        *_settings_regressions(journal),
        *_leaving(journal, site),
        *_planned_stops(journal),
        *_partitions(journal),
        *_rests(journal, site),
        *_leaving_in_answers(journal, site),
        *_limits(journal, site),
        *_retries(journal, site),
        *(f"layers: {path}" for path in site.wrong_paths),
    ]


def _answers(records: Iterable[Record]) -> Iterator[str]:
    """Check that each answer belongs to its request, and is complete if it was framed as complete."""
    for record in records:
        if record.status != 200 or record.error == "left":
            continue
        if record.kind is Kind.STREAM:
            yield from _events(record)
        elif record.whole and record.body != f"answer to {record.request}".encode():
            yield f"answer: {record.request} got {record.body[:60]!r}"


def _events(record: Record) -> Iterator[str]:
    complete = [item for item in record.body.split(b"\n\n") if item.endswith(b"\n") or b"\ndata: " in item]
    numbers = []
    for item in complete:
        first, _, data = item.partition(b"\ndata: ")
        words = data.split()
        # The last event of a truncated answer may be incomplete.
        if len(words) < 3 and not record.whole:
            continue
        numbers.append(int(first.removeprefix(b"id: ")))
        if words[0].decode() != record.request:
            yield f"answer: {record.request} got an event of {words[0].decode()}"
    if numbers != list(range(record.after + 1, record.after + len(numbers) + 1)):
        yield f"order: {record.request} got events {numbers}"
    if record.whole and record.after + len(numbers) != EVENTS:
        yield f"answer: {record.request} ended as complete after {len(numbers)} events"


def _runs(records: Iterable[Record], site: UsersSite) -> Iterator[str]:
    """Check that no request ran twice that must not, or ran in spite of a status that excludes it."""
    for record in records:
        runs = site.runs(record.request)
        if record.kind is Kind.ONCE and runs > 1:
            yield f"once: {record.request} ran {runs} times"
        if record.status in NOT_RUN and runs:
            yield f"not run: {record.request} got {record.status} and ran"


def _servers(journal: Journal, site: UsersSite) -> Iterator[str]:
    """Check that no request ran on more servers than its route allows, whichever daemons sent it.

    Servers that ended, or whose link was disturbed, while it ran are not counted.
    """
    runs: defaultdict[str, list[tuple[Replica, float]]] = defaultdict(list)
    for replica in site.every_replica:
        for request, at in replica.ran_at:
            runs[request].append((replica, at))
    for request, found in runs.items():
        last = max(at for _, at in found)
        counted = {
            replica.id
            for replica, at in found
            if not any(at < start <= last for start in replica.started)
            and not any(
                f.target in (replica.id, replica.listens_at) and f.at <= last and f.until >= at
                for f in journal.faults
            )
        }
        if len(counted) > MAX_ATTEMPTS:
            yield f"servers: {request} ran on {sorted(counted)}, {MAX_ATTEMPTS} allowed"


def _keys(journal: Journal, site: UsersSite) -> Iterator[str]:
    """Check that no request runs long after its key was revoked.

    A request that was sent in time may arrive late if the link to its server was disturbed.
    """
    records = {record.request: record for record in journal.records}
    for replica in site.every_replica:
        for request, at in replica.ran_at:
            record = records.get(request)
            revoked = journal.revoked.get(record.key) if record is not None else None
            if record is None or revoked is None or at <= revoked + KEY_SECONDS + SLACK_SECONDS:
                continue
            in_time = record.sent_at <= revoked + KEY_SECONDS
            if not (in_time and _link_disturbed(journal, replica.listens_at, record.sent_at, at)):
                yield f"keys: {request} ran {at - revoked:.2f} s after its key was revoked"


def _link_disturbed(journal: Journal, link: str, since: float, until: float) -> bool:
    """Return whether a link to a server was disturbed for all of a span but the slack."""
    return any(
        f.name.startswith("link") and f.target == link and f.at < until and f.until > until - SLACK_SECONDS
        for f in journal.faults
        if f.at <= since + SLACK_SECONDS
    )


def _settings_regressions(journal: Journal) -> Iterator[str]:
    """Check that a daemon never goes back to settings older than those it has used."""
    known: dict[str, tuple[int, float]] = {}
    for record in sorted(journal.records, key=lambda r: r.ended_at):
        version = journal.key_versions.get(record.key, 0)
        if record.status == 200:
            before = known.get(record.daemon, (0, 0.0))
            if version > before[0]:
                known[record.daemon] = (version, record.ended_at)
        elif record.status == 401:
            newest, since = known.get(record.daemon, (0, 0.0))
            revoked = journal.revoked.get(record.key)
            if (
                version <= newest
                and record.sent_at > since
                and (revoked is None or record.ended_at < revoked)
            ):
                yield f"settings: {record.daemon} refused {record.request} by settings before {newest}"


def _leaving(journal: Journal, site: UsersSite) -> Iterator[str]:
    """Check that a server gets no new requests some time after its row says that it leaves."""
    for replica in site.every_replica:
        said = journal.leaving.get(replica.id)
        if said is None or not journal.undisturbed(said - UNDISTURBED_SECONDS, said + DRAIN_SECONDS):
            continue
        for request, at in replica.ran_at:
            sent = next((r.sent_at for r in journal.records if r.request == request), 0.0)
            late = at > said + DRAIN_SECONDS + SLACK_SECONDS
            if late and journal.undisturbed(said, at) and sent > said:
                yield f"leaving: {request} reached {replica.id} {at - said:.2f} s after it said it leaves"


def _planned_stops(journal: Journal) -> Iterator[str]:
    """Check that a graceful stop cuts no request, unless another fault was near."""
    for record in journal.records:
        stopped = journal.stopped.get(record.daemon)
        if stopped is None or record.whole or record.error != "cut":
            continue
        until = min(record.ended_at, stopped + GRACE_SECONDS)
        near = record.ended_at >= stopped and record.sent_at < stopped + GRACE_SECONDS
        if near and journal.undisturbed(min(stopped, record.sent_at) - UNDISTURBED_SECONDS, until):
            yield f"stop: {record.request} was cut {record.ended_at - stopped:.2f} s after the signal"


def _partitions(journal: Journal) -> Iterator[str]:
    """Check that daemons partitioned from all backend servers serve first tries nearly as others do."""
    others = Journal(faults=[fault for fault in journal.faults if fault.name != PARTITION])
    for fault in journal.faults:
        if fault.name != PARTITION:
            continue
        tries = [
            record
            for record in journal.records
            if record.daemon.partition(".")[0] == fault.target
            and fault.at + CONTACT_SECONDS <= record.sent_at
            and record.ended_at <= fault.until
            and record.error != "left"
            and record.key not in journal.revoked
            and others.undisturbed(record.sent_at - UNDISTURBED_SECONDS, record.ended_at)
            and record.daemon not in journal.stopped
        ]
        served = sum(record.status == 200 and record.whole for record in tries)
        if len(tries) >= MIN_TRIES and served < SERVED_FRACTION * len(tries):
            yield f"partition: {fault.target} served {served} of {len(tries)} first tries"


def _suspended_or_cut_off(journal: Journal, since: float, until: float) -> bool:
    """Return whether a daemon may have been suspended or cut off in a span."""
    faults = (fault for fault in journal.faults if fault.name.startswith(("pause", "link")))
    return any(fault.at < until and fault.until > since for fault in faults)


def _rests(journal: Journal, site: UsersSite) -> Iterator[str]:
    """Check that a server which sent ``Retry-After`` gets only what was in flight until the pause ends."""
    daemons = {record.request: record.daemon for record in journal.records}
    for replica in site.every_replica:
        for asked in replica.retry_after_sent:
            daemon, until = daemons.get(asked.request), asked.at + asked.seconds
            if daemon is None or _suspended_or_cut_off(journal, asked.at, until):
                continue
            late = [
                request
                for request, at in replica.arrived
                if asked.at + IN_FLIGHT_SECONDS < at < until and daemons.get(request) == daemon
            ]
            if len(late) > MAX_REQUESTS_IN_REST:
                yield f"rest: {replica.id} got {len(late)} requests of {daemon} in {asked.seconds} s"


def _limits(journal: Journal, site: UsersSite) -> Iterator[str]:
    """Check that a server gets no more than its rate limit from all daemons that know of it.

    Requests are not counted near a fault of their daemon or of the link to the server.
    """
    daemons = {record.request: record.daemon for record in journal.records}
    passed_on = {record.request: record.ended_at for record in journal.records if record.whole}
    for replica in site.every_replica:

        def excused(daemon: str, at: float, link: str = replica.listens_at) -> bool:
            hit = (daemon.partition(".")[0], link)
            since = at - UNDISTURBED_SECONDS
            return any(f.target in hit and f.at < at and f.until > since for f in journal.faults)

        for excess in excesses(replica, daemons, excused, passed_on):
            yield f"limit: {replica.id} got {excess.got} in {WINDOW_SECONDS} s, {excess.allowed} allowed"


def _retries(journal: Journal, site: UsersSite) -> Iterator[str]:
    """Check that the daemons together send no more retries to a service than their bound allows."""
    sent_at = {record.request: record.sent_at for record in journal.records}
    for service in (MODEL, PLAIN):
        replicas = [r for r in site.every_replica if bool(r.kind) == (service == MODEL)]
        arrivals = [arrival for replica in replicas for arrival in replica.arrived]
        kinds = (Kind.STREAM,) if service == MODEL else (Kind.REPEATABLE, Kind.ONCE)
        requests = [record.sent_at for record in journal.records if record.kind in kinds]
        # Requests outside the journal count from their first arrival.
        first_seen: dict[str, float] = {}
        for request, at in sorted(arrivals, key=lambda arrival: arrival[1]):
            if request not in sent_at:
                first_seen.setdefault(request, at)
        use = worst_retry_use(arrivals, [*requests, *first_seen.values()], RETRY_BOUND)
        if use.fraction > 1.0:
            yield f"retries: {service} got {use.retries}, {use.allowed:.1f} allowed, from {use.since:.2f}"


def _leaving_in_answers(journal: Journal, site: UsersSite) -> Iterator[str]:
    """Check that a daemon stops sending to a server that announced in an answer that it leaves."""
    records = {record.request: record for record in journal.records}
    for replica in site.every_replica:
        informed_at: dict[str, float] = {}
        for request, at in replica.said_leaving:
            record = records.get(request)
            # Only an answer that arrived complete is known to have reached the daemon.
            if record is not None and record.whole:
                informed_at.setdefault(record.daemon, max(at, record.ended_at))
        for request, at in replica.arrived:
            record = records.get(request)
            since = informed_at.get(record.daemon) if record is not None else None
            if record is None or since is None or _suspended_or_cut_off(journal, since, at):
                continue
            if record.sent_at > since + DRAIN_SECONDS:
                yield f"unheard: {request} reached {replica.id} {at - since:.2f} s after it said it leaves"


def stale_beliefs(site: SoakSite) -> list[str]:
    """List daemons whose settings or servers differ from the store's when no fault is active.

    :param site: the stand-in, after all faults have ended.
    """
    found = []
    rows = {key for (table, key), (_, value) in site.store.rows.items() if table == "servers" and value}
    rows -= site.foreign_keys
    for daemon in site.fleet:
        try:
            beliefs = daemon.process.beliefs()
        except OSError as error:
            found.append(f"stale: {daemon.incarnation} does not answer: {error!r}")
            continue
        if beliefs["settings"] != site.version:
            found.append(
                f"stale: {daemon.incarnation} has settings {beliefs['settings']}, not {site.version}"
            )
        known = {server["backend"] for server in beliefs["servers"]}
        if known != rows:
            found.append(
                f"stale: {daemon.incarnation} and the store differ in servers {sorted(known ^ rows)}"
            )
    return found
