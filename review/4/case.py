"""A daemon is killed; clients take up their streams elsewhere, on a route that two services share."""

import re
import signal
import threading
import time
from pathlib import Path
from typing import Any

from review.support import BROKEN, HELD, NOT_RUN, TROUBLE, Client, Record, ending, play, start_daemons
from standins.users import Daemon, Replica, UsersSite
from standins.users.configuration import EVENTS, KEY, MODEL, PLAIN
from standins.users.web import Handler

STREAMS = 24
EVENT_SECONDS = 0.1
KILL_AFTER_SECONDS = 0.5
"""Time after which about a third of the events has arrived."""
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class StreamingReplica(Replica):
    """A server of a service without an engine that answers streams, and goes on at ``Last-Event-Id``."""

    def __init__(self, site: UsersSite, name: str, record: Record) -> None:
        self.record = record
        super().__init__(site, name, "hall-0", None)

    def _plain(self, handler: Handler, request: str, head: dict[str, str]) -> None:
        if not handler.path.startswith("/stream/"):
            super()._plain(handler, request, head)
            return
        after = int(handler.headers.get("Last-Event-Id") or 0)
        self.record.note("ran", request, "at", self.id, f"after={after}")
        fields = {**head, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields.items()), "", ""]
        handler.wfile.write("\r\n".join(lines).encode())
        for number in range(after + 1, EVENTS + 1):
            data = f"id: {number}\ndata: piece {number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            time.sleep(EVENT_SECONDS)
        handler.wfile.write(b"0\r\n\r\n")


class Viewer:
    """A client that shows one stream, and takes it up once if its connection breaks."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.ids: list[int] = []
        self.resumed = False

    def watch(self, first: Daemon, second: Daemon) -> None:
        """Read the stream from one daemon and, if that breaks off, the rest from another one."""
        if self._read(first, "a") or not self.ids:
            return
        self.resumed = True
        self._read(second, "b")

    def _read(self, daemon: Daemon, attempt: str) -> bool:
        after = {"Last-Event-Id": str(self.ids[-1])} if self.ids else {}
        client = Client(daemon.callers, self.record)
        answer = client.ask(f"{self.name}-{attempt}", "/stream/x", KEY, headers=after)
        client.close()
        # A client passes on whole events only.
        whole = answer.body[: answer.body.rfind(b"\n\n") + 2] if answer.status == 200 else b""
        got = [int(number) for number in EVENT_ID.findall(whole)]
        self.ids += got
        self.record.note("events", f"{self.name}-{attempt}", after or "", got)
        return answer.whole


def configure(site: UsersSite) -> None:
    """Have the streamed route shared by the model's service and one without an engine."""
    site.configure()
    route: dict[str, Any] = next(r for r in site.configuration["routes"] if r["kind"] == "stream")
    route["split"] = [{"service": MODEL, "weight": 50}, {"service": PLAIN, "weight": 50}]
    del route["service"]
    site.configuration["version"] += 1
    site.store.put("op", "config", site.configuration)


def case(record: Record) -> int:
    """Return whether a client got a piece of a stream twice."""
    with ending(UsersSite(halls=1, stages=4, plain=0)) as site:
        for number in range(2):
            site.add(StreamingReplica(site, f"stream-{number}", record))
        configure(site)
        for replica in site.of(MODEL):
            replica.event_seconds = EVENT_SECONDS
        daemons = start_daemons(site, 3)
        site.wait_placed()
        time.sleep(2.0)
        viewers = [Viewer(f"stream-{number}", record) for number in range(STREAMS)]
        threads = [threading.Thread(target=viewer.watch, args=daemons[:2]) for viewer in viewers]
        for thread in threads:
            thread.start()
        if TROUBLE:
            time.sleep(KILL_AFTER_SECONDS)
            daemons[0].signal(signal.SIGKILL)
            record.note("killed", daemons[0].settings["member"])
        for thread in threads:
            thread.join()
        return judge(viewers, record)


def judge(viewers: list[Viewer], record: Record) -> int:
    """Look for pieces that came twice or out of order."""
    resumed = [viewer for viewer in viewers if viewer.resumed]
    wrong = [v for v in viewers if v.ids != sorted(set(v.ids)) or v.ids != list(range(1, len(v.ids) + 1))]
    record.note("streams:", len(viewers), "taken up again:", len(resumed), "wrong:", len(wrong))
    for viewer in wrong:
        record.note("wrong order", viewer.name, viewer.ids)
    if TROUBLE and not resumed:
        return NOT_RUN
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    play(case, Path(__file__).parent)
