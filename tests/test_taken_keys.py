"""A waiting request is not sent any more once its key is known to be revoked."""

import random
from types import SimpleNamespace
from typing import Any

import pytest

from bayglade import wholes
from bayglade.calls import CallHead
from bayglade.exceptions import BackendError, BaygladeError, CutOff, Unauthenticated
from bayglade.ids import RequestId
from bayglade.intake import Intake
from bayglade.platform import decode_document
from standins.users import GROUP, HOST_NAME, KEY
from standins.users.configuration import configuration
from tests.server_rows import packed
from tests.test_begun_streams import Scene as StreamScene


def intake() -> Intake:
    return Intake(SimpleNamespace(), lambda: 0.0, 5.0, random.Random(1))  # type: ignore[arg-type]


def keyed(key: str, group: str | None = GROUP) -> Any:
    return SimpleNamespace(
        group=group,
        head=CallHead(id=RequestId("r"), host=HOST_NAME, key=key),
        target=b"/safe/x" if group else b"/open/x",
        endpoint=SimpleNamespace(public=group is None),
        revision=0,
    )


def configure(made: Intake, version: int, *keys: str) -> None:
    document = packed(configuration(version, keys, {}))
    made.apply(*decode_document(document), bytes(document))


def test_a_key_that_was_revoked_meanwhile_is_rejected_before_the_request_is_sent() -> None:
    made = intake()
    configure(made, 1, KEY)
    made.check(keyed(KEY))
    configure(made, 2, "another")
    made.check(keyed("another"))
    with pytest.raises(Unauthenticated):
        made.check(keyed(KEY))


def test_a_key_that_went_to_another_account_is_rejected() -> None:
    made = intake()
    configure(made, 1, KEY)
    with pytest.raises(Unauthenticated):
        made.check(keyed(KEY, "another-clinic"))


def test_a_call_that_needs_no_key_is_not_asked_for_one() -> None:
    made = intake()
    configure(made, 1, KEY)
    made.check(keyed("", None))


def buffered(
    monkeypatch: pytest.MonkeyPatch, first: Any, second: BaygladeError
) -> tuple[list[int], BaygladeError | None]:
    """Serve a call to a plain service; return the statuses that its caller got, and the error if any."""
    scene = StreamScene(monkeypatch)
    outcomes, told = [first, second], []

    def attempt(*_: Any) -> Any:
        outcome = outcomes.pop(0)
        if isinstance(outcome, BaygladeError):
            raise outcome
        return outcome

    monkeypatch.setattr(wholes, "_attempt", attempt)
    monkeypatch.setattr(wholes, "_least_busy", lambda *_: SimpleNamespace(throttle=None))
    monkeypatch.setattr(wholes, "record_failure", lambda *_: None)
    scene.context.diagnosis = SimpleNamespace(count_daemons=lambda: 1)
    call = scene.call()
    call.endpoint = SimpleNamespace(max_attempts=2, repeatable=True)
    connection: Any = SimpleNamespace(send_response=lambda status, headers, body: told.append(status))
    try:
        wholes.relay_buffered(scene.context, call, connection)
    except BaygladeError as error:
        return told, error
    finally:
        scene.stop()
    return told, None


@pytest.mark.parametrize("second", [CutOff("old", step="intake"), Unauthenticated("gone", step="intake")])
def test_a_call_that_may_have_run_is_not_reported_as_not_run(
    monkeypatch: pytest.MonkeyPatch, second: BaygladeError
) -> None:
    broke = BackendError("the connection broke", step="receive", peer="s")
    told, error = buffered(monkeypatch, broke, second)
    assert told == []
    assert isinstance(error, BackendError)


def test_an_authentic_failure_is_forwarded_if_keys_are_no_longer_trusted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    failed = SimpleNamespace(status=500, headers=[], content=b"broken")
    told, error = buffered(monkeypatch, failed, CutOff("old", step="intake"))
    assert (told, error) == ([500], None)
