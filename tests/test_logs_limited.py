"""Events that others can cause at will are logged at a bounded rate, and never not at all."""

import pytest

from bayglade import logs


@pytest.mark.parametrize(("per_second", "at_once"), [(0.2, 1), (1.0, 1), (5.0, 5)])
def test_a_rate_below_one_a_second_logs_as_well(
    monkeypatch: pytest.MonkeyPatch, per_second: float, at_once: int
) -> None:
    at, logged = 100.0, []
    monkeypatch.setattr(logs, "now", lambda: at)
    monkeypatch.setattr(logs, "event", lambda level, message, **fields: logged.append(fields["left_out"]))
    log = logs.rate_limited(per_second)
    for _ in range(10):
        log("INFO", "it happens")
    assert len(logged) == at_once
    at += 1.0 / per_second + 1e-9
    log("INFO", "it happens")
    assert len(logged) == at_once + 1
    assert logged[-1] == 10 - at_once
