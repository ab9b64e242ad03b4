"""A stream whose stage ends goes on, though its daemon learns a second later who else holds the layers.

A stream was cut after 1 of 12 events when a stage behind the first ended: a second server held the same
layers, but the daemon had not read its row yet. With these rows held back for a second, 3 of 3 streams
were cut, each with 3 s of its time left: a stage that has surely ended, with no other one known, ended the
stream at once.
"""

import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from standins.users import EVENTS, MODEL, UsersSite
from standins.users.configuration import EVENT_SECONDS, LAYERS
from standins.world import wait_for
from tests.test_gateway_faults import start_stream, succeeds

HELD_SECONDS = 1.0


class HeldBack:
    """Rows of servers that hold layers which a row tells of already: shown when they are let go."""

    def __init__(self, site: UsersSite, monkeypatch: pytest.MonkeyPatch) -> None:
        self.lock = threading.Lock()
        self.put = site.store.put
        self.shown: dict[str, set[int]] = {}
        self.rows: dict[str, Any] | None = {}
        monkeypatch.setattr(site.store, "put", self.take)

    def take(self, table: str, key: str, value: Any) -> None:
        """Write a row, or keep it back."""
        layers = value.get("layers") if table == "servers" else None
        held = set(range(layers["from"], layers["targetVersion"])) if layers else set()
        with self.lock:
            others = set().union(*(span for name, span in self.shown.items() if name != key))
            if self.rows is not None and held and held <= others:
                self.rows[key] = value
                return
            if layers:
                self.shown[key] = held
        self.put(table, key, value)

    def let_go(self) -> None:
        """Write what was kept back, and keep nothing back any more."""
        with self.lock:
            rows, self.rows = self.rows or {}, None
        for key, value in rows.items():
            self.put("servers", key, value)

    def whole(self) -> bool:
        """Tell whether the rows that are shown tell of all layers."""
        with self.lock:
            return len(set().union(*self.shown.values())) == LAYERS


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=6) as made:
        yield made


@pytest.mark.parametrize("events", [0, 4])
def test_a_stream_goes_on_once_others_are_known_to_hold_the_layers_of_a_dead_stage(
    events: int, site: UsersSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    held_back = HeldBack(site, monkeypatch)
    daemon = site.start()
    wait_for("all layers are shown", held_back.whole)
    wait_for("streams are served", lambda: succeeds(daemon))
    wait_for("second holders are held back", lambda: held_back.rows)
    known = {request for replica in site.of(MODEL) for request in replica.paths}
    answers, thread = start_stream(daemon)
    head = wait_for(
        "the stream runs", lambda: next((r for r in site.of(MODEL) if r.paths.keys() - known), None)
    )
    request = next(iter(head.paths.keys() - known))
    last = head.paths[request][-1][0]
    victim = next(r for r in site.of(MODEL) if r.address == last)
    assert victim is not head
    time.sleep(events * EVENT_SECONDS)
    victim.die()
    time.sleep(HELD_SECONDS)
    held_back.let_go()
    thread.join(10)
    assert answers[0].events == list(range(1, EVENTS + 1))
    assert answers[0].whole
    assert site.wrong_paths == []
    if events:
        # What its first stage has read is not read anew.
        assert sum(r.ran[request] for r in site.of(MODEL)) == 1
        assert daemon.lines("rerouted")[-1]["moved"]
