"""Snapshots of the formats that callers and operators' programs rely on."""

import msgspec
import pytest

from bayglade import exceptions, responses, settings
from bayglade.callers import wire
from bayglade.exceptions import BaygladeError
from bayglade.operators import documents
from standins.world import usual_tree


def all_errors(base=BaygladeError):
    for kind in base.__subclasses__():
        yield kind
        yield from all_errors(kind)


def writer(chat):
    made = wire.AnswerWriter("request-1", wire.CompletionParams("guide", "p", 2, True, chat))
    made.created = 0
    return made


@pytest.mark.parametrize("chat", [False, True], ids=["completion", "chat"])
def test_answers_keep_their_shape(snapshot, chat):
    made = writer(chat)
    pieces = [made.token("left "), made.end("length"), made.whole(["left ", "then"], "length")]
    assert [piece.decode() for piece in pieces] == snapshot


def test_errors_keep_their_shape(snapshot):
    error = exceptions.Overloaded("too much", step="admission", peer="caller", retry_after=1.5)
    response = responses.error_response(error, "request-1")
    assert (response.status, response.headers, response.content.decode()) == snapshot


def test_error_codes_keep_their_status_and_outcome(snapshot):
    rows = [(kind.code, kind.status, kind.default_outcome.value) for kind in all_errors()]
    assert sorted(rows) == snapshot


def test_error_codes_are_documented():
    with open("docs/operators/errors.md", encoding="utf-8") as page:
        text = page.read()
    internal = {"internal", "peer_error"}
    assert {kind.code for kind in all_errors()} - internal <= set(text.split("`"))


def test_a_settings_file_keeps_its_shape(snapshot):
    tree = settings.decode(msgspec.json.encode(usual_tree({}, {}, 8)))
    assert documents.write(msgspec.json.decode(settings.encode(tree)), 3) == snapshot


def test_the_example_settings_are_good():
    with open("examples/tree.yaml", encoding="utf-8") as file:
        assert documents.read(file.read()).base == 0
