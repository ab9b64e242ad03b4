"""The bound on the servers that one call may be sent to."""

import pytest

from bayglade import fleet, relay
from bayglade.calls import Call, CallHead
from bayglade.endpoints import Endpoint, Target
from bayglade.fleet import Fleet
from bayglade.ids import BackendId, HallName, RequestId, ServiceName
from bayglade.relay import Attempts
from bayglade.servers import COUNTED_SILENT_SECONDS, Server, ServerFacts

SERVICE = ServiceName("model")


def a_call(max_attempts: int) -> Call:
    endpoint = Endpoint(
        name="r",
        host="h",
        prefix="/",
        targets=(Target(SERVICE),),
        timeout=9.0,
        aim=0.5,
        max_attempts=max_attempts,
        streamed=True,
        resumable=True,
    )
    return Call(
        head=CallHead(id=RequestId("q"), host="h"),
        endpoint=endpoint,
        service=SERVICE,
        group=None,
        priority=0,
        arrived=0.0,
        deadline=float("inf"),
        method="POST",
        target=b"/",
        headers=[],
        body=b"",
    )


@pytest.fixture
def servers() -> tuple[Fleet, list[Server]]:
    listed = Fleet()
    listed.apply_changes(
        [
            ServerFacts(
                id=BackendId(f"s{n}"),
                service=SERVICE,
                address=f"10.0.0.{n}:1",
                hall=HallName("h"),
                slots=8,
                first=0,
                last=4,
            )
            for n in range(6)
        ],
        [],
        False,
    )
    return listed, list(listed.servers.values())


def test_a_server_unreachable_for_a_moment_counts_towards_the_bound(
    servers: tuple[Fleet, list[Server]], monkeypatch: pytest.MonkeyPatch
) -> None:
    at = 100.0
    monkeypatch.setattr(relay, "now", lambda: at)
    monkeypatch.setattr(fleet, "now", lambda: at)
    listed, (first, second, *_) = servers
    attempts = Attempts(a_call(max_attempts=2))
    attempts.note_sent(first)
    assert attempts.allowed_servers() is None
    listed.mark_suspect(first, "silent")
    attempts.note_sent(second)
    assert attempts.allowed_servers() == {"s0", "s1"}
    at += COUNTED_SILENT_SECONDS * 3 / 4
    listed.mark_suspect(first, "silent")
    assert attempts.allowed_servers() == {"s0", "s1"}
    at += COUNTED_SILENT_SECONDS / 4 + 0.01
    assert attempts.allowed_servers() is None


@pytest.mark.parametrize(
    ("how", "counts"),
    [("leaving", True), ("unlisted", True), ("left", False), ("refuses", False), ("replaced", False)],
)
def test_a_server_counts_until_it_has_ended(
    servers: tuple[Fleet, list[Server]], how: str, counts: bool
) -> None:
    listed, (first, second, *_) = servers
    attempts = Attempts(a_call(max_attempts=2))
    attempts.note_sent(first)
    attempts.note_sent(second)
    if how in ("leaving", "left"):
        listed.mark_leaving(first, "it says so")
    if how in ("unlisted", "left"):
        listed.apply_changes([], [first.facts.id], False)
    if how == "replaced":
        listed.mark_replaced(first)
    first.connection_refused = how == "refuses"
    assert attempts.allowed_servers() == ({"s0", "s1"} if counts else None)
