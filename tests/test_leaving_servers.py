"""A server that leaves must be known to leave within the bound, whatever the store did before.

The store answered nobody for seven seconds. When it was back, the feed of the operator's
document had an answer within 0.5 s and woke the feed of servers, which was in a call that it had
sent while the store was away: the wake-up was lost. That call ran into its time-out, and then the
feed paused for 4 s more, since another feed was to look for the store. For 5.7 s after the store's
return no daemon heard of servers; one left in that time and got requests for two seconds and more.

    12.2531 store regained table=op out=4.48
    17.4473 store regained table=servers out=9.68
"""

import random
from functools import partial

import eventlet
import pytest

from bayglade import feeds
from bayglade.exceptions import PlatformUnavailable
from bayglade.feeds import Feed, look_together
from bayglade.rows import Changes, raw
from tests.virtual_time import START, now, run_virtually

BOUND = 2.0
"""Seconds within which a leaving server must be known, as on the deployment of the incident."""
ANSWER_SECONDS = 1.0
"""How long a call waits for an answer beside the wait that it asks for."""
ROUND_TRIP = 0.004
LEAVES_AFTER_SECONDS = 2.53
"""How long after the store's return the server left in the incident."""

SECONDS_AWAY = (1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 6.77, 8.0, 9.0, 10.0, 12.0, 15.0)
SEEDS = 8
DOCUMENT, SERVERS, MEMBERS = "document", "servers", "members"
WAITS = {DOCUMENT: 0.8, SERVERS: 8.0, MEMBERS: 20.0}


class Store:
    """A store in virtual time that answers nobody while it is away; times count from the start."""

    def __init__(self, away_from: float, away_until: float) -> None:
        self.away_from = START + away_from
        self.away_until = START + away_until
        self.versions = dict.fromkeys(WAITS, 1)

    def away(self) -> bool:
        return self.away_from <= now() < self.away_until

    def snapshot(self, table: str) -> Changes:
        return self.changes(table, 0, 0.0)

    def changes(self, table: str, after: int, wait: float) -> Changes:
        sent, silent = now(), self.away()
        while not silent and self.versions[table] <= after and now() < sent + wait:
            eventlet.sleep(0.01)
            # A call that is under way when the store goes away is never answered.
            silent = self.away()
        if silent:
            eventlet.sleep(sent + wait + ANSWER_SECONDS - now())
            raise PlatformUnavailable("no answer", step="read", peer="store")
        eventlet.sleep(ROUND_TRIP)
        version = self.versions[table]
        rows = {"row": raw(version)} if version > after else {}
        return Changes(rows, version)


def known_after(seconds_away: float, seed: int) -> float:
    """Return how long after a server left a daemon knows of it, when the store was away before."""
    store = Store(away_from=5.0, away_until=5.0 + seconds_away)
    joined = [Feed(store, table, wait, lambda *_: None) for table, wait in WAITS.items()]
    look_together(joined)
    for number, feed in enumerate(joined):
        feed.rng = random.Random(100 * seed + number)
        feed.start()
    eventlet.sleep(5.0 + seconds_away + LEAVES_AFTER_SECONDS)
    store.versions[SERVERS] += 1
    left = now()
    while joined[1].version != store.versions[SERVERS]:
        eventlet.sleep(0.01)
    return round(now() - left, 2)


def test_a_server_that_leaves_after_an_outage_is_known_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(feeds, "now", now)
    found = {
        (seconds, seed): run_virtually(partial(known_after, seconds, seed))
        for seconds in SECONDS_AWAY
        for seed in range(SEEDS)
    }
    assert {case: after for case, after in found.items() if after > BOUND} == {}
