"""The promises as a soak checks them, from what callers and servers saw."""

from collections.abc import Iterable, Iterator

from soak.records import Journal, Kind, Record
from soak.site import SoakSite
from standins.users import EVENTS, UsersSite
from standins.users.limits import WINDOW_SECONDS, excesses

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that the request has not run and never will."""
KEY_SECONDS = 5.0
"""Bound on old keys, as the daemons' settings say it."""
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
"""How long all must have been well before a bound on time holds."""
SLACK_SECONDS = 0.3
"""What a run may be noted late on a busy machine."""
GRACE_SECONDS = 8.0
UNDER_WAY_SECONDS = 0.5
"""What was under way when a server asked for rest may arrive for so long."""
MOST_IN_REST = 2
"""Requests that may reach a server in a rest, those left out."""


def check(journal: Journal, site: UsersSite) -> list[str]:
    """Check all promises.

    :param journal: what was done and seen.
    :param site: the stand-in, which recorded what ran.
    :return: what is broken, a line each.
    """
    return [
        *journal.broken,
        *_answers(journal.records),
        *_runs(journal.records, site),
        *_keys(journal, site),
        *_never_back(journal),
        *_leaving(journal, site),
        *_planned_stops(journal),
        *_rests(journal, site),
        *_unheard(journal, site),
        *_limits(journal, site),
        *(f"layers: {path}" for path in site.wrong_paths),
    ]


def _answers(records: Iterable[Record]) -> Iterator[str]:
    """Check that each answer is the request's own, and whole when it says so."""
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
        # The last event of a cut answer may lack its end.
        if len(words) < 3 and not record.whole:
            continue
        numbers.append(int(first.removeprefix(b"id: ")))
        if words[0].decode() != record.request:
            yield f"answer: {record.request} got an event of {words[0].decode()}"
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"order: {record.request} got events {numbers}"
    if record.whole and len(numbers) != EVENTS:
        yield f"answer: {record.request} ended as whole after {len(numbers)} events"


def _runs(records: Iterable[Record], site: UsersSite) -> Iterator[str]:
    for record in records:
        runs = site.runs(record.request)
        if record.kind is Kind.ONCE and runs > 1:
            yield f"once: {record.request} ran {runs} times"
        if record.status in NOT_RUN and runs:
            yield f"not run: {record.request} got {record.status} and ran"


def _keys(journal: Journal, site: UsersSite) -> Iterator[str]:
    """Check that no request runs long after its key was taken away.

    One that went out in time may reach its server late, where the link to that was harmed.
    """
    records = {record.request: record for record in journal.records}
    for replica in site.every_replica:
        for request, at in replica.ran_at:
            record = records.get(request)
            revoked = journal.revoked.get(record.key) if record is not None else None
            if record is None or revoked is None or at <= revoked + KEY_SECONDS + SLACK_SECONDS:
                continue
            in_time = record.sent_at <= revoked + KEY_SECONDS
            if not (in_time and _link_harmed(journal, replica.listens_at, record.sent_at, at)):
                yield f"keys: {request} ran {at - revoked:.2f} s after its key was taken away"


def _link_harmed(journal: Journal, link: str, since: float, until: float) -> bool:
    """Tell whether a link to a server was harmed for all but the slack of a span."""
    return any(
        f.name.startswith("link") and f.target == link and f.at < until and f.until > until - SLACK_SECONDS
        for f in journal.faults
        if f.at <= since + SLACK_SECONDS
    )


def _never_back(journal: Journal) -> Iterator[str]:
    """Check that a daemon which knew settings does not act by older ones."""
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
                yield f"settings: {record.daemon} refused {record.request} by settings older than {newest}"


def _leaving(journal: Journal, site: UsersSite) -> Iterator[str]:
    for replica in site.every_replica:
        said = journal.leaving.get(replica.id)
        if said is None or not journal.calm(said - CONTACT_SECONDS, said + DRAIN_SECONDS):
            continue
        for request, at in replica.ran_at:
            sent = next((r.sent_at for r in journal.records if r.request == request), 0.0)
            late = at > said + DRAIN_SECONDS + SLACK_SECONDS
            if late and journal.calm(said, at) and sent > said:
                yield f"leaving: {request} reached {replica.id} {at - said:.2f} s after its word"


def _planned_stops(journal: Journal) -> Iterator[str]:
    """Check that nobody is cut by a stop around which nothing else happened."""
    for record in journal.records:
        stopped = journal.stopped.get(record.daemon)
        if stopped is None or record.whole or record.error != "cut":
            continue
        until = min(record.ended_at, stopped + GRACE_SECONDS)
        near = record.ended_at >= stopped and record.sent_at < stopped + GRACE_SECONDS
        if near and journal.calm(min(stopped, record.sent_at) - CONTACT_SECONDS, until):
            yield f"stop: {record.request} was cut {record.ended_at - stopped:.2f} s after the signal"


def _held_up(journal: Journal, since: float, until: float) -> bool:
    """Tell whether a daemon may have been frozen, or cut off, in a span."""
    faults = (fault for fault in journal.faults if fault.name.startswith(("pause", "link")))
    return any(fault.at < until and fault.until > since for fault in faults)


def _rests(journal: Journal, site: UsersSite) -> Iterator[str]:
    """Check that a server got no more than what was under way from a daemon of which it asked rest."""
    daemons = {record.request: record.daemon for record in journal.records}
    for replica in site.every_replica:
        for asked in replica.rests:
            daemon, until = daemons.get(asked.request), asked.at + asked.seconds
            if daemon is None or _held_up(journal, asked.at, until):
                continue
            late = [
                request
                for request, at in replica.arrived
                if asked.at + UNDER_WAY_SECONDS < at < until and daemons.get(request) == daemon
            ]
            if len(late) > MOST_IN_REST:
                yield f"rest: {replica.id} got {len(late)} requests of {daemon} in {asked.seconds} s"


def _limits(journal: Journal, site: UsersSite) -> Iterator[str]:
    """Check that a server got no more than its rate limit, of all daemons that it had told of it.

    A daemon that was frozen, and a server whose link held requests up, are excused for a while.
    """
    daemons = {record.request: record.daemon for record in journal.records}
    passed_on = {record.request: record.ended_at for record in journal.records if record.whole}
    for replica in site.every_replica:

        def excused(daemon: str, at: float, link: str = replica.listens_at) -> bool:
            hit = (daemon.partition(".")[0], link)
            since = at - CONTACT_SECONDS
            return any(f.target in hit and f.at < at and f.until > since for f in journal.faults)

        for excess in excesses(replica, daemons, excused, passed_on):
            yield f"limit: {replica.id} got {excess.got} in {WINDOW_SECONDS} s, {excess.allowed} may come"


def _unheard(journal: Journal, site: UsersSite) -> Iterator[str]:
    """Check that a daemon stops sending to a server that told it in an answer that it leaves."""
    records = {record.request: record for record in journal.records}
    for replica in site.every_replica:
        told: dict[str, float] = {}
        for request, at in replica.said_leaving:
            record = records.get(request)
            # An answer that did not come through told nobody.
            if record is not None and record.whole:
                told.setdefault(record.daemon, max(at, record.ended_at))
        for request, at in replica.arrived:
            record = records.get(request)
            since = told.get(record.daemon) if record is not None else None
            if record is None or since is None or _held_up(journal, since, at):
                continue
            if record.sent_at > since + DRAIN_SECONDS:
                yield f"unheard: {request} reached {replica.id} {at - since:.2f} s after its word"


def stale(site: SoakSite) -> list[str]:
    """List what daemons take for true at rest and the store does not have.

    :param site: the stand-in, at which nothing goes wrong any more.
    """
    found = []
    rows = {key for (table, key), (_, value) in site.store.rows.items() if table == "servers" and value}
    for daemon in site.fleet:
        try:
            beliefs = daemon.process.beliefs()
        except OSError as error:
            found.append(f"stale: {daemon.incarnation} cannot be asked: {error!r}")
            continue
        if beliefs["settings"] != site.version:
            found.append(
                f"stale: {daemon.incarnation} has settings {beliefs['settings']}, not {site.version}"
            )
        known = {server["backend"] for server in beliefs["servers"]}
        if known != rows:
            found.append(f"stale: {daemon.incarnation} differs in servers {sorted(known ^ rows)}")
    return found
