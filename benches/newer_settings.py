"""Callers of a daemon that is cut off from the store and from one service while the settings change.

``python -m benches.newer_settings`` prints how many calls were served, ran by older settings after newer
ones had been shown, and how long they took.
"""

import http.client
import statistics
import threading
import time

from bayglade.ids import HallName, MemberId
from bayglade.readers import Ranking
from soak.proxy import Proxies
from standins.users import MODEL, PLAIN, Daemon, Partition, UsersSite
from standins.users.configuration import HOST_NAME, KEY
from standins.world import wait_for

DAEMONS = 4
SECONDS = 3.0
ROUNDS = 2
PAUSE_SECONDS = 0.03
REVERT_SECONDS = 0.25
"""Time after which a request may no longer be handled by older settings, the users' ``revertMs``."""


class Caller:
    """Sends requests on one path to one daemon, one after the other."""

    def __init__(self, daemon: Daemon, path: str) -> None:
        self.daemon = daemon
        self.path = path
        self.statuses: list[int] = []
        self.seconds: list[float] = []
        self.sent: dict[str, float] = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def stop(self) -> None:
        """Stop after the request in flight."""
        self.stopping.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.stopping.is_set():
            request, at = f"{self.path}-{len(self.sent)}", time.monotonic()
            self.sent[request] = at
            connection = http.client.HTTPConnection(self.daemon.callers, timeout=6.0)
            headers = {"Host": HOST_NAME, "X-Request-Id": request, "X-Key": KEY, "X-Deadline-Ms": "3000"}
            try:
                connection.request("GET", self.path, headers=headers)
                answer = connection.getresponse()
                answer.read()
                self.statuses.append(answer.status)
            except OSError:
                self.statuses.append(0)
            connection.close()
            self.seconds.append(time.monotonic() - at)
            time.sleep(PAUSE_SECONDS)


def measure(slow: bool) -> None:
    """Print what callers of the daemon got, with plain servers that answer at once or after 0.4 s."""
    proxies = Proxies()
    with UsersSite(halls=1, stages=4, plain=3, partitionable=True) as site:
        store = site.store.server.address
        ranked = Ranking({MemberId(f"d{n}"): HallName("hall-0") for n in range(DAEMONS)}).ranked
        daemons = [
            site.start(store=proxies.front(store) if f"d{n}" == ranked[0] else store, retry_floor=1000.0)
            for n in range(DAEMONS)
        ]
        cut = daemons[int(ranked[0][1:])]
        site.wait_placed()
        callers = [Caller(cut, path) for path in ("/stream/x", "/safe/x")]
        time.sleep(1.0)
        link = proxies.links[store]
        link.mute_up = link.mute_down = True
        cut.partition(Partition.RESET, [replica.address for replica in site.of(MODEL)])
        wait_for("it is isolated", lambda: cut.lines("forwarded"))
        if slow:
            for replica in site.of(PLAIN):
                replica.faults.set("slow", 10_000)
        site.share_streams({PLAIN: 1.0})
        others = [daemon for daemon in daemons if daemon is not cut]
        wait_for("others have them", lambda: all(d.beliefs()["settings"] == site.version for d in others))
        shown = time.monotonic()
        time.sleep(SECONDS)
        for caller in callers:
            caller.stop()
        streams, _ = callers
        ran_old = [q for r in site.of(MODEL) for q, _ in r.ran_at if q in streams.sent]
        late = [q for q in ran_old if streams.sent[q] > shown + REVERT_SECONDS]
        statuses = [status for caller in callers for status in caller.statuses]
        seconds = [seconds for caller in callers for seconds in caller.seconds]
        print(
            f"slow={slow}: {statuses.count(200)} of {len(statuses)} served,",
            f"{len(late)} by older settings more than {REVERT_SECONDS} s after all others had newer ones,",
            f"median {statistics.median(seconds):.3f} s, longest {max(seconds):.3f} s",
            flush=True,
        )
        link.mute_up = link.mute_down = False
    proxies.stop()


def main() -> None:
    """Measure with servers that answer at once and with slow ones."""
    for slow in (False, True):
        for _ in range(ROUNDS):
            measure(slow)


if __name__ == "__main__":
    main()
