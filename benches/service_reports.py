"""Cost of the reports between daemons: bytes of a heartbeat's fields, and time to make and read them.

Run as ``python -m benches.service_reports``. Bytes do not depend on the machine; times are the best of
several rounds.
"""

import random
import time
from collections.abc import Callable

import msgspec

from bayglade.entries.wire import Coverage, Heartbeat, ReportSums, ServiceReport
from bayglade.ids import HallName, MemberId, Revision, ServiceName
from bayglade.readers import Ranking, ReaderPlan, needed_streams, plan_readers
from bayglade.service_reports import READER_SUM_SECONDS, ServiceReports
from benches.common import print_table, run

SITES = ((81, 3), (130, 3), (195, 5), (440, 11))
"""Numbers of daemons and halls: the deployments of ``docs/design/hard_load.md``, and their growth."""
SERVICES = ("gallery-model", "gallery-search")
ROUNDS = 7
STREAMS_PER_SECOND = 100.0
"""Streams of the whole site; a fast site has more of them per daemon, but not more lines."""
TOKENS = 700.0
SEED = 1
PROTOCOL_FIELDS = ("reports", "hall_reports", "all_reports", "coverage")


def compare_sites() -> None:
    """Print the cost for each size of site and number of urgencies."""
    rows = []
    for daemons, halls in SITES:
        for urgencies in (1, 2, 3):
            rows.append([daemons, halls, urgencies, *_measure(daemons, halls, urgencies)])
    headers = ["daemons", "halls", "urgencies", "lines", "to reader", "to follower", "to hall"]
    headers += ["follower B/s", "reader B/s", "encode", "add up", "decode", "totals", "kept", "reader ms/s"]
    print_table("new fields: bytes of a heartbeat; microseconds; bytes and time a second", headers, rows)


def _measure(daemons: int, halls: int, urgencies: int) -> list[object]:
    rng = random.Random(SEED)
    names = {MemberId(f"front-{n}"): HallName(f"hall-{n % halls}") for n in range(daemons)}
    ranking = Ranking(names)
    plans = {name: plan_readers(name, ranking, (), ()) for name in names}
    site = {name: _counts(name, rng, urgencies, daemons) for name in names}
    for name, reports in site.items():
        reports.assign(names, plans[name].hall_readers)
    # Three rounds: after these every daemon knows the sums of all halls.
    for _ in range(3):
        for reports in site.values():
            reports.update_sums()
        for name, reports in site.items():
            for other in needed_streams(name, ranking, plans[name]):
                site[other].merge_heartbeat(name, _heartbeat(reports, other))
    reader = next(name for name in names if name in plans[name].hall_readers[names[name]])
    near = [name for name in names if names[name] == names[reader] and name != reader]
    follower = next(name for name in near if name not in plans[name].hall_readers[names[name]])
    far = plans[reader].hall_readers[next(hall for hall in ranking.by_hall if hall != names[reader])][0]
    own, to_follower, to_hall = (
        _added_bytes(_heartbeat(site[sender], to))
        for sender, to in ((follower, reader), (reader, follower), (reader, far))
    )
    per_second = [_bytes_per_second(site, name, ranking, plans[name]) for name in (follower, reader)]
    times = _times(site[reader], reader, follower, far, plans, ranking)
    return [
        len(site[follower].own()),
        *(own, to_follower, to_hall),
        *per_second,
        *(1e6 * seconds for seconds in times[:-1]),
        1e3 * times[-1],
    ]


def _counts(name: MemberId, rng: random.Random, urgencies: int, daemons: int) -> ServiceReports:
    """Return the counts of a daemon in a busy site."""
    reports = ServiceReports(name)
    rate = STREAMS_PER_SECOND / daemons
    moment = time.clock_gettime(time.CLOCK_BOOTTIME)
    reports.own_coverage = lambda: {ServiceName(SERVICES[0]): moment + 7.5} if name == "front-0" else {}
    fixed = [
        ServiceReport(
            ServiceName(service),
            -urgency,
            rng.randrange(1, 4),
            rng.randrange(1, 4),
            round(rate * TOKENS * rng.uniform(0.5, 1.5)),
            round(rate * TOKENS * rng.uniform(0.3, 1.0)),
            round(rate * rng.uniform(0.05, 0.4), 2),
            round(rate * rng.uniform(0.3, 1.0), 2),
        )
        for service in SERVICES
        for urgency in range(urgencies)
    ]
    lines = {(line.service, line.urgency): line for line in fixed}
    reports._own_lines = lambda: lines  # type: ignore[method-assign]
    return reports


def _heartbeat(reports: ServiceReports, member: MemberId) -> Heartbeat:
    sums: ReportSums = reports.for_member(member)
    return _beat(sums, reports.coverage_for(member))


def _beat(sums: ReportSums, coverage: list[Coverage]) -> Heartbeat:
    return Heartbeat(
        revision=Revision(7),
        draining=False,
        usage=[],
        leaving=[],
        held=[],
        reports=sums.own,
        hall_reports=sums.hall,
        all_reports=sums.everywhere,
        coverage=coverage,
    )


def _added_bytes(beat: Heartbeat) -> int:
    """Return the bytes that the new fields add to a heartbeat."""
    whole = msgspec.msgpack.encode(beat)
    before = msgspec.msgpack.decode(whole)[: -len(PROTOCOL_FIELDS)]
    return len(whole) - len(msgspec.msgpack.encode(before))


def _bytes_per_second(
    site: dict[MemberId, ServiceReports], name: MemberId, ranking: Ranking, plan: ReaderPlan
) -> int:
    """Return what the new fields add to all heartbeats that a daemon sends in a second."""
    others = needed_streams(name, ranking, plan)
    return sum(_added_bytes(_heartbeat(site[name], other)) for other in others)


def _times(
    reports: ServiceReports,
    reader: MemberId,
    follower: MemberId,
    far: MemberId,
    plans: dict[MemberId, ReaderPlan],
    ranking: Ranking,
) -> tuple[float, ...]:
    """Return the seconds that a reader takes for each step, and in all for one second.

    The steps are: to encode a heartbeat to a follower, to add up before a round of heartbeats, to decode
    and merge the heartbeat of a follower, and to get totals, with a new sum over other daemons and with
    the last one.
    """
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(Heartbeat)
    empty = encoder.encode(_beat(ReportSums(), []))
    content = encoder.encode(_beat(ReportSums(reports.own()), []))
    far_content = encoder.encode(_beat(ReportSums([], reports.for_member(far).hall), []))

    def totals() -> None:
        reports.others_at -= READER_SUM_SECONDS
        reports.totals(ServiceName(SERVICES[0]))

    encode = _best(lambda: encoder.encode(_heartbeat(reports, follower)))
    encode -= _best(lambda: encoder.encode(_beat(ReportSums(), [])))
    base = _best(lambda: decoder.decode(empty))
    decode = _best(lambda: reports.merge_heartbeat(follower, decoder.decode(content))) - base
    decode_far = _best(lambda: reports.merge_heartbeat(far, decoder.decode(far_content))) - base
    update, total = _best(reports.update_sums), _best(totals)
    kept = _best(lambda: reports.totals(ServiceName(SERVICES[0])))
    streams = needed_streams(reader, ranking, plans[reader])
    near = sum(1 for name in streams if ranking.halls[name] == ranking.halls[reader])
    second = len(streams) * encode + near * decode + (len(streams) - near) * decode_far
    return encode, update, decode, total, kept, second + update + total / READER_SUM_SECONDS


def _best(act: Callable[[], object]) -> float:
    """Return the least mean time of a call over several rounds."""
    times = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(200):
            act()
        times.append((time.perf_counter() - began) / 200)
    return min(times)


if __name__ == "__main__":
    run({"sites": compare_sites})
