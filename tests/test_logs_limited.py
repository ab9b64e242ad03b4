"""Rate-limited log events: floods are suppressed, but at least one line is always logged."""

import pytest

from bayglade import logs


@pytest.mark.parametrize(("per_second", "burst"), [(0.2, 1), (1.0, 1), (5.0, 5)])
def test_at_least_one_line_is_logged_at_any_rate(
    monkeypatch: pytest.MonkeyPatch, per_second: float, burst: int
) -> None:
    at, logged = 100.0, []
    monkeypatch.setattr(logs, "now", lambda: at)
    monkeypatch.setattr(logs, "event", lambda level, message, **fields: logged.append(fields["left_out"]))
    log = logs.rate_limited(per_second)
    for _ in range(10):
        log("INFO", "repeated event")
    assert len(logged) == burst
    at += 1.0 / per_second + 1e-9
    log("INFO", "repeated event")
    assert len(logged) == burst + 1
    assert logged[-1] == 10 - burst
