"""Refusals: operators can find out why a request was refused, and see the demand for services."""

import subprocess
import sys
from pathlib import Path

import msgspec

from bayglade.beliefs import Beliefs, CoverageBelief, DemandBelief, LayoutBelief, RetryBelief
from bayglade.exceptions import CutOff, Outcome
from bayglade.gateway import create_gateway
from bayglade.http1 import Message
from bayglade.ids import MemberId, RequestId, ServiceName
from bayglade.pressure_commands import describe_pressure
from bayglade.refusals import MAX_ID_CHARS, MAX_REFUSALS, Refusals, describe_refusal
from bayglade.retry_commands import describe_retries
from standins.users import MODEL as SITE_MODEL
from standins.users import UsersSite
from standins.world import wait_for
from tests.gateway_callers import ask

MODEL = ServiceName("model")


def test_the_deciding_and_the_answering_place_complete_one_record() -> None:
    """Guards against a record that lacks the forecast, or what the caller was told."""
    refusals = Refusals(MemberId("d0"))
    refusals.note(RequestId("q"), reason="no slot in time", expected_wait=1.5634)
    refusals.note(
        RequestId("q"), code="overloaded", reason="all servers are full", urgency=-1, retry_after=0.7
    )
    found = refusals.find("q")
    assert found is not None
    assert (found.reason, found.expected_wait, found.retry_after) == ("no slot in time", 1.563, 0.7)
    text = "\n".join(describe_refusal(found))
    for part in ("q refused by d0", "urgency -1", "no slot in time", "1.563 s", "to retry after 0.7 s"):
        assert part in text


def test_the_record_is_bounded() -> None:
    """Guards against memory that grows with refused requests, or with the ids that callers choose."""
    refusals = Refusals()
    for n in range(MAX_REFUSALS + 5):
        refusals.note(RequestId(f"q{n}"), reason="r" * 10_000)
    refusals.note(RequestId("x" * 10_000))
    refusals.note(RequestId(""))
    assert len(refusals.records) == MAX_REFUSALS
    assert refusals.find("q5") is None
    assert refusals.find("") is None
    last = refusals.find("x" * 10_000)
    assert last is not None
    assert len(last.request) == MAX_ID_CHARS
    assert max(len(record.reason) for record in refusals.records.values()) == MAX_ID_CHARS


def a_view(member: str, admission: float | None, orders: int, seconds: float | None) -> Beliefs:
    demand = DemandBelief(MODEL, -1, 3, 2, 900.0, 450.0, 1.5, 2.5, admission, 0.8)
    base: dict[str, object] = {name: [] for name in Beliefs.__struct_fields__}
    base |= {"member": member, "lease": "", "duty": "", "demand": [demand]}
    base |= dict.fromkeys(("ready", "draining", "caught_up"), False)
    base |= dict.fromkeys(("settings", "settings_age", "servers_age", "in_flight", "waiting"), 0)
    base |= {"retry_part": 0.0}
    base |= {"coverage": [CoverageBelief(MODEL, seconds)], "layout": LayoutBelief(orders, 5, 4)}
    return msgspec.convert(msgspec.to_builtins(base), Beliefs)


def test_pressure_shows_the_views_of_all_daemons() -> None:
    """Guards against an operator who sees one daemon's admission and takes it for that of all."""
    lines = describe_pressure([a_view("d0", 0.25, 0, None), a_view("d1", 0.5, 2, 3.5)])
    assert lines[1].split() == ["model", "-1", "3", "2", "900", "450", "1.5", "2.5", "25%..50%", "0.80"]
    assert lines[2:] == [
        "layout orders under way: 2; layers without a holder: 4",
        "model covered: in 3.5 s",
        "as seen by d0, of 2 asked",
    ]


def test_beliefs_of_the_build_before_are_understood() -> None:
    """Guards against commands that fail in the middle of an upgrade."""
    fields = msgspec.to_builtins(a_view("d0", None, 0, None))
    for name in ("demand", "coverage", "layout"):
        del fields[name]
    assert describe_pressure([msgspec.convert(fields, Beliefs)])[0] == "no demand in the last seconds"


def test_a_refusal_before_the_settings_are_known_is_recorded(tmp_path: Path) -> None:
    """Guards against refusals at the start of a daemon that nobody can explain, as there is no call yet."""
    addresses = dict.fromkeys(("callers", "ready", "metrics", "store"), "127.0.0.1:1")
    file = tmp_path / "d0.yaml"
    settings = {"member": "d0", "hall": "h", "peer_ports": "1,0", **addresses}
    file.write_text(msgspec.json.encode(settings).decode(), encoding="utf-8")
    gateway = create_gateway(file)
    message = Message()
    message.headers = [("Host", "h"), ("X-Request-Id", "early")]
    error = CutOff("no settings are known yet", step="intake", retry_after=0.4)
    gateway._record_refusal(error, message, None, 0.0)
    found = gateway.peers.refusals.find("early")
    assert found is not None
    assert (found.reason, found.retry_after, found.service) == ("no settings are known yet", 0.4, "")
    # The answer does not promise that it has not run, so it was not refused.
    message.headers = [("Host", "h"), ("X-Request-Id", "late")]
    unknown = CutOff("cut", step="relay", outcome=Outcome.UNKNOWN)
    gateway._record_refusal(unknown, message, None, 0.0)
    assert gateway.peers.refusals.find("late") is None


def bayglade(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "bayglade", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


def test_commands_ask_daemons_for_refusals_and_demand() -> None:
    """Guards against refusals that a running daemon does not record or serve."""
    with UsersSite(halls=1, stages=2) as site:
        daemon = site.start()
        wait_for("streams are served", lambda: ask(daemon.callers, "/stream/x").status == 200)
        for replica in site.of(SITE_MODEL):
            replica.die()
        refused = wait_for(
            "a request is refused",
            lambda: next((a for a in [ask(daemon.callers, "/stream/x")] if a.status == 503), None),
        )
        why = bayglade("why", refused.request, "-a", daemon.metrics, "-a", "127.0.0.1:1")
        assert why.returncode == 0, why.stderr
        assert f"{refused.request} refused by d0" in why.stdout
        assert "no server can run this request now" in why.stdout
        assert "to retry after" in why.stdout
        assert "cannot reach 127.0.0.1:1" in why.stderr
        unknown = bayglade("why", "a/strange id", "-a", daemon.metrics)
        assert (unknown.returncode, unknown.stdout) == (1, "")
        pressure = bayglade("pressure", "-a", daemon.metrics)
        assert pressure.returncode == 0, pressure.stderr
        assert "as seen by d0, of 1 asked" in pressure.stdout
        assert daemon.beliefs()["layout"]["orders_under_way"] >= 0


def test_retries_show_who_has_spent_them() -> None:
    """Guards against an operator who sees that no retry is left, and not where they went."""
    spent = RetryBelief("model", 20.0, 21.3, False, 9, 1.2, 60.0, 0.5, 4.0, {})
    started = RetryBelief("model", 1.0, 21.3, True, 9, 0.4, 7.0, 0.0, 0.0, {MemberId("d0"): 2.0})
    views = [
        msgspec.structs.replace(a_view(name, None, 0, None), retries=[belief])
        for name, belief in (("d1", started), ("d0", spent))
    ]
    lines = describe_retries(views)
    assert [line.split()[1] for line in lines[1:3]] == ["d0", "d1"]
    assert lines[2].endswith("started 7 s ago")
    assert lines[3:] == ["model: 21.0 of 43 used, and credit of 0", "as seen by 2 asked"]
