"""Connections that were accepted before the first configuration keep smaller limits for good."""

import os
import sys
import time
from collections import Counter
from pathlib import Path

from harness import Client, Record, SmallSite, at_once, kill, play, wait_ready

TROUBLE = os.environ.get("TROUBLE") != "0"
DAEMONS = 5
CLIENTS = 100
BODY = b"x" * 2_000_000
"""A proper body: less than half of ``maxBodyBytes``."""
DOWN_SECONDS = 1.0
RETRY_SECONDS = 0.02
CONTACT_SECONDS = 3.0


def main(record: Record) -> int:
    """Play the case; return the exit status of the script."""
    with SmallSite(halls=0, plain=3) as site:
        daemons = [site.launch(f"d{n}") for n in range(DAEMONS)]
        wait_ready(daemons)
        clients = [Client(f"c{n}", daemons[n % DAEMONS].callers, record) for n in range(CLIENTS)]
        if TROUBLE:
            record("all daemons are killed")
            kill(daemons)

        def come_back(client: Client) -> None:
            while not client.connect():
                time.sleep(RETRY_SECONDS)
            client.request("GET", "/safe/small")

        def restart() -> None:
            if TROUBLE:
                time.sleep(DOWN_SECONDS)
                record("all daemons are started again")
                daemons[:] = [site.relaunch(daemon) for daemon in daemons]

        at_once([restart, *(lambda c=client: come_back(c) for client in clients)])
        wait_ready(daemons)
        record("all daemons are ready; nothing more is disturbed")
        time.sleep(CONTACT_SECONDS + 1.0)
        statuses = [client.request("POST", "/once/large", BODY, 10.0) for client in clients]
        ran = sum(sum(replica.ran.values()) for replica in site.every_replica)
        requests = sum(client.sent for client in clients)
        record(f"runs at servers: {ran}")
        for client in clients:
            client.close()
    denied = statuses.count(413)
    allowed = 5 + requests / 500
    counts = dict(Counter(statuses))
    record(f"requests: {requests}; answers to large ones: {counts}")
    record(f"ended with 413 although proper: {denied}, allowed: {allowed:.1f}")
    if denied == 0 and statuses.count(200) < CLIENTS - 5:
        return 2
    return 1 if denied > allowed else 0


if __name__ == "__main__":
    sys.exit(play(main, Path(__file__).with_name("record.txt")))
