"""A request that crashes each server which starts to run it, sent repeatedly during a soak test."""

import http.client
import itertools
import threading
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

from soak.callers import ANSWER_SECONDS, COMMON_PART, ChooseDaemon
from soak.checks import SLACK_SECONDS, UNDISTURBED_SECONDS
from soak.records import Journal, Record
from soak.site import SoakSite
from standins.users import HOST_NAME, Daemon
from standins.users.site import ServerCrash

CRASHING_BODY = b"the question that ends servers"
CRASHING_PART = "dead"
"""Id of a part of prompts that crashes servers."""
PAUSE_SECONDS = 0.7
"""Between two requests; a server that crashed is back after half a second."""
REQUEST_PREFIX = "deadly-"
LOGGED_EVENTS = (
    "request stopped",
    "request cleared",
    "request let go",
    "server started again",
    "server suspect",
    "server not reached",
    "started",
    "stopping",
)
"""Log events about server crashes and about the daemon's own start and stop."""
CRASHES_TO_STOP = 3
"""Crashes after which daemons must stop the request."""
CRASHES_TO_STOP_PART = 5
"""Crashes after which daemons must stop requests with the part."""
REFUSED = b"request_stopped"
"""Code in the answer to a request that is held back."""
MAX_LATE_CRASHES = 3
"""Crashes allowed after all daemons in contact must know of the third one."""


class RequestSender:
    """A caller that sends crashing requests, with the newest key, to daemons that a balancer picks.

    :param choose: picks a daemon.
    :param key: returns the newest key.
    :param path: the path of the requests.
    :param part: whether the requests share nothing but a part of their prompts.
    """

    def __init__(self, choose: ChooseDaemon, key: Callable[[], str], path: str, part: bool = False) -> None:
        self.part = part
        self.choose = choose
        self.key = key
        """Returns the newest key; all keys of the soak are of one account."""

        self.path = path
        self.numbers = itertools.count(1)
        self.daemon_of: dict[str, str] = {}
        """The daemon that each request was sent to, by name and incarnation."""

        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __repr__(self) -> str:
        return f"<RequestSender {self.path}>"

    def start(self) -> None:
        """Send requests until stopped."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the request in flight."""
        self.stopping.set()
        self.thread.join(2 * ANSWER_SECONDS)

    def _run(self) -> None:
        while not self.stopping.wait(PAUSE_SECONDS):
            if (chosen := self.choose()) is not None:
                self._send(*chosen)

    def _send(self, daemon: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_SECONDS)
        request = f"{REQUEST_PREFIX}{next(self.numbers)}"
        self.daemon_of[request] = daemon
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request,
            "X-Key": self.key(),
            "X-Deadline-Ms": "4000",
            "X-Token-Counts": "20,24",
        }
        body = CRASHING_BODY
        if self.part:
            headers["X-Prompt-Prefix"] = f"{COMMON_PART}:10,{CRASHING_PART}:10,{request}:10"
            body = b"question of " + request.encode()
        # The answer does not matter: the check counts server crashes.
        with suppress(OSError, http.client.HTTPException):
            connection.request("POST", self.path, body, headers)
            connection.getresponse().read()
        connection.close()


def trace_crashes(site: SoakSite) -> Iterator[str]:
    """List server crashes with the daemons' log events about the crashing request, by time.

    :param site: the stand-in; its daemons' logs are read.
    :return: a line for each crash, for each sending of the request and for each related log event.
    """
    events = [event for daemon in site.daemons for event in _log_events(daemon)]
    ends = [(end.at, f"{end.server} crashed while running {end.request}") for end in site.crashes]
    for at, text in sorted(ends + events):
        yield f"{at:.3f} {text}"


def _log_events(daemon: Daemon) -> Iterator[tuple[float, str]]:
    """Return when a daemon sent the request, and its log events about crashes; with their times."""
    for entry in daemon.lines("sent"):
        if entry["request"].startswith(REQUEST_PREFIX):
            yield entry["steady"], f"{daemon.file.stem} sends {entry['request']} to {entry['peer']}"
    for name in LOGGED_EVENTS:
        for entry in daemon.lines(name):
            yield entry["steady"], f"{daemon.file.stem} {name} {entry.get('content', entry.get('peer'))}"


def excess_crashes(
    ends: Iterable[ServerCrash],
    in_touch: Callable[[ServerCrash], bool] = lambda end: True,
    allowed: int = CRASHES_TO_STOP,
) -> Iterator[str]:
    """Check that daemons stopped sending the crashing request after enough crashes.

    :param ends: server crashes caused by it.
    :param in_touch: whether the daemon that caused a crash could have known of the earlier ones.
    :param allowed: crashes after which daemons must have stopped it.
    :return: the violations.
    """
    known = sorted(ends, key=lambda end: end.at)
    if len(known) < allowed:
        return
    oldest = known[allowed - 1].at + UNDISTURBED_SECONDS + SLACK_SECONDS
    late = [end for end in known if end.at > oldest and in_touch(end)]
    if len(late) > MAX_LATE_CRASHES:
        yield f"deadly: {len(known)} servers crashed, {len(late)} of them late"


def wrongly_refused(records: Iterable[Record], ends: Iterable[ServerCrash]) -> Iterator[str]:
    """Check that requests without the crashing part are not held back once it is known.

    :param records: requests as their callers saw them.
    :param ends: server crashes caused by the part.
    :return: the violations.
    """
    known = sorted(end.at for end in ends)[:CRASHES_TO_STOP_PART]
    if not known:
        return
    settled = known[-1] + 2 * (UNDISTURBED_SECONDS + SLACK_SECONDS)
    refused = [r.request for r in records if r.sent_at > settled and REFUSED in r.body]
    if refused:
        yield f"deadly: {len(refused)} sound requests held back, the first {refused[0]}"


def contact_predicate(
    journal: Journal, daemon_of: dict[str, str], store: str
) -> Callable[[ServerCrash], bool]:
    """Return a predicate: whether the daemon that caused a crash could know of earlier crashes.

    It could not if, shortly before, the daemon was stopped, killed or suspended, or the store or the link
    to it failed. Traced late crashes came from daemons that had just started or resumed while the store
    reported no restarts of servers to anybody.

    :param journal: the injected faults with their times.
    :param daemon_of: the daemon that each request was sent to.
    :param store: address of the store.
    """

    def in_touch(end: ServerCrash) -> bool:
        hit = (daemon_of.get(end.request, "").partition(".")[0], "store", store)
        since = end.at - UNDISTURBED_SECONDS
        return not any(f.target in hit and f.at < end.at and f.until > since for f in journal.faults)

    return in_touch
