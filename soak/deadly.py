"""A question that ends each server which begins to run it, asked again and again beside a soak."""

import http.client
import itertools
import threading
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

from soak.callers import ANSWER_SECONDS, Choose
from soak.checks import CONTACT_SECONDS, SLACK_SECONDS
from standins.users import HOST_NAME
from standins.users.site import Ending

QUESTION = b"the question that ends servers"
PAUSE_SECONDS = 0.7
"""Between two tries; a server that ended is back after half a second."""
ENDS = 3
MOST_RETRIES = 3
"""Sendings that may reach servers later than all daemons can know of the third end."""


class Asker:
    """One caller that asks it, with the newest key and at whichever daemon the balancer names."""

    def __init__(self, choose: Choose, key: Callable[[], str], path: str) -> None:
        self.choose = choose
        self.key = key
        """Returns the newest key; all keys of the soak are of one account."""

        self.path = path
        self.numbers = itertools.count(1)
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __repr__(self) -> str:
        return f"<Asker of {self.path}>"

    def start(self) -> None:
        """Ask until told to stop."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the try under way."""
        self.stopping.set()
        self.thread.join(2 * ANSWER_SECONDS)

    def _run(self) -> None:
        while not self.stopping.wait(PAUSE_SECONDS):
            if (chosen := self.choose()) is not None:
                self._ask(chosen[1])

    def _ask(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_SECONDS)
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": f"deadly-{next(self.numbers)}",
            "X-Key": self.key(),
            "X-Deadline-Ms": "4000",
            "X-Token-Counts": "20,24",
        }
        # What it is told is no matter here: servers count.
        with suppress(OSError, http.client.HTTPException):
            connection.request("POST", self.path, QUESTION, headers)
            connection.getresponse().read()
        connection.close()


def late_ends(ends: Iterable[Ending]) -> Iterator[str]:
    """Check that it was not sent on and on.

    :param ends: servers that ended under it.
    :return: what is broken.
    """
    times = sorted(end.at for end in ends)
    if len(times) < ENDS:
        return
    late = [at for at in times if at > times[ENDS - 1] + CONTACT_SECONDS + SLACK_SECONDS]
    if len(late) > MOST_RETRIES:
        yield f"deadly: {len(times)} servers ended, {len(late)} of them late"
