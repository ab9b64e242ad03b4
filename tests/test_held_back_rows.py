"""A stream continues after a stage ends, even if its daemon learns of another holder only a second later.

Guards against streams that are cut although another server holds the layers of the ended stage, because the
daemon has not read that server's row yet. A stream was cut after 1 of 12 events this way. With such rows
delayed by a second, 3 of 3 streams were cut with 3 s left until their deadline, because an ended stage
without another known holder ended the stream at once.
"""

import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from standins.users import EVENTS, MODEL, UsersSite
from standins.users.configuration import LAYERS
from standins.world import wait_for
from tests.test_gateway_faults import start_stream, succeeds

DELAY_SECONDS = 1.0
UNBEGUN_DELAY_SECONDS = 0.5
"""The same for a stream without an event, which waits for a path for 1.5 s after its arrival at most."""


class DelayedRows:
    """Delays the rows of servers whose layers are all named by other rows, until they are delivered."""

    def __init__(self, site: UsersSite, monkeypatch: pytest.MonkeyPatch) -> None:
        self.lock = threading.Lock()
        self.put = site.store.put
        self.shown: dict[str, set[int]] = {}
        self.delayed: dict[str, Any] | None = {}
        monkeypatch.setattr(site.store, "put", self.put_or_delay)

    def put_or_delay(self, table: str, key: str, value: Any) -> None:
        """Write a row, or delay it."""
        layers = value.get("layers") if table == "servers" else None
        held = set(range(layers["from"], layers["targetVersion"])) if layers else set()
        with self.lock:
            others = set().union(*(span for name, span in self.shown.items() if name != key))
            if self.delayed is not None and held and held <= others:
                self.delayed[key] = value
                return
            if layers:
                self.shown[key] = held
        self.put(table, key, value)

    def deliver(self) -> None:
        """Write the delayed rows, and delay no further ones."""
        with self.lock:
            rows, self.delayed = self.delayed or {}, None
        for key, value in rows.items():
            self.put("servers", key, value)

    def shows_all_layers(self) -> bool:
        """Tell whether the rows that were written name all layers."""
        with self.lock:
            return len(set().union(*self.shown.values())) == LAYERS


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=6) as made:
        yield made


@pytest.mark.parametrize("events", [0, 1, 5])
def test_a_stream_continues_once_another_holder_of_a_dead_stages_layers_is_known(
    events: int, site: UsersSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    delayed_rows = DelayedRows(site, monkeypatch)
    daemon = site.start()
    wait_for("the written rows name all layers", delayed_rows.shows_all_layers)
    wait_for("streams are served", lambda: succeeds(daemon))
    wait_for("it has its part of the retries", daemon.has_retry_part)
    wait_for("rows of second holders are delayed", lambda: delayed_rows.delayed)
    known = {request for replica in site.of(MODEL) for request in replica.paths}
    victim = next(r for r in site.of(MODEL) if r.id in delayed_rows.shown and r.held[1] == LAYERS)
    if not events:
        victim.faults.set("stall")
    answers, thread = start_stream(daemon)
    head = wait_for(
        "the stream runs", lambda: next((r for r in site.of(MODEL) if r.paths.keys() - known), None)
    )
    assert victim is not head
    request = next(iter(head.paths.keys() - known))
    assert head.paths[request][-1][0] == victim.address
    wait_for("its first events are sent", lambda: head.events_sent[request] >= events)
    victim.die()
    time.sleep(DELAY_SECONDS if events else UNBEGUN_DELAY_SECONDS)
    delayed_rows.deliver()
    thread.join(10)
    assert answers[0].events == list(range(1, EVENTS + 1))
    assert answers[0].whole
    assert site.wrong_paths == []
    if events:
        # The first stage keeps its KV cache and does not process the prompt again.
        assert sum(r.ran[request] for r in site.of(MODEL)) == 1
        assert daemon.lines("rerouted")[-1]["moved"]
