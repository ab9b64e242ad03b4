"""The platform adapter: its translations, and that no other module uses the platform's wire names."""

import re
from pathlib import Path

import msgspec
import pytest

import bayglade
from bayglade.endpoints import Endpoints
from bayglade.exceptions import InvalidMessage, InvalidSettings, NotFound
from bayglade.fleet import Fleet
from bayglade.http1 import Message
from bayglade.ids import BackendId
from bayglade.platform import calls as platform_calls
from bayglade.platform import decode_document, decode_server
from bayglade.platform.calls import MAX_SHARED_PARTS, MAX_UNKNOWN_HEADERS, read_answer, read_call
from standins.users import GROUP, KEY, MODEL, PLAIN, configuration
from tests.server_rows import facts_of

ROOT = Path(bayglade.__file__).parent
ADAPTER = ROOT / "platform"
WIRE_NAMES = re.compile(
    r"rows-(tx|get|feed|parts)|blob-|X-(Response-Seal|Not-Executed|Expect-Instance|Token-Counts|Prompt-Prefix"
    r"|Deadline-Ms|Tenant|Key|Instance-Id|Model)\b|At-Server|targetVersion|expectedRev|afterRev"
    r"|BAYGLADE_NODE_FILE|sloMs|maxAttempts|pathPrefix|apiKeys|healthPath|maxConns|kvCapacity|coldLeftMs"
    r"|/api/(ready|report|order)|Server-(Leaving|Limit)|Store-Era",
    re.IGNORECASE,
)
MAX_ADAPTER_SHARE = 0.1
"""Maximum share of the adapter in the package's lines of code."""


def sources(folder: Path) -> list[Path]:
    return sorted(folder.rglob("*.py"))


def test_nothing_outside_the_adapter_uses_wire_names() -> None:
    outside = [path for path in sources(ROOT) if ADAPTER not in path.parents]
    assert len(outside) > 50
    found = {path.name: WIRE_NAMES.findall(path.read_text(encoding="utf-8")) for path in outside}
    assert {name: names for name, names in found.items() if names} == {}


def test_the_adapter_is_small() -> None:
    lines = {path: len(path.read_text(encoding="utf-8").splitlines()) for path in sources(ROOT)}
    adapter = sum(count for path, count in lines.items() if ADAPTER in path.parents)
    assert adapter < MAX_ADAPTER_SHARE * sum(lines.values())


def document(**changes: object) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(configuration(7, (KEY, "second"), changes)))


def test_a_document_is_decoded_into_settings() -> None:
    version, tree = decode_document(document())
    assert version == 7
    kinds = {e.name: (e.streamed, e.repeatable, e.resumable, e.public) for e in tree.endpoints}
    assert kinds == {
        "s": (True, False, True, False),
        "r": (False, True, False, False),
        "o": (False, False, False, False),
        "p": (False, True, False, True),
    }
    endpoint = tree.endpoints[1]
    assert (endpoint.timeout, endpoint.aim, endpoint.max_attempts, endpoint.priority) == (1.5, 0.3, 2, -1)
    assert tree.services[MODEL].pipeline is not None  # type: ignore[index]
    assert tree.services[PLAIN].pipeline is None  # type: ignore[index]
    assert {account.group for account in tree.accounts.values()} == {GROUP}
    assert len(tree.accounts) == 2
    assert (tree.caller_limits.head_bytes, tree.caller_limits.head_seconds) == (4096, 0.7)


@pytest.mark.parametrize("content", [b"{", b"[]", b'{"version": 1}', b'{"version": "x", "routes": []}'])
def test_a_malformed_document_is_rejected(content: bytes) -> None:
    with pytest.raises(InvalidSettings):
        decode_document(msgspec.Raw(content))


def test_a_server_row_is_decoded_into_facts() -> None:
    layers = {"from": 3, "targetVersion": 9, "version": 2}
    facts = facts_of("i-1", state="draining", layers=layers, more="ignored")
    assert (facts.first, facts.last, facts.weights_version, facts.leaving) == (3, 9, 2, True)
    with pytest.raises(InvalidSettings):
        decode_server("i-1", msgspec.Raw(b'{"service": 1}'))


def message(**headers: str) -> Message:
    made = Message()
    made.headers = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return made


def test_a_request_head_is_parsed() -> None:
    head = read_call(
        message(
            Host="h",
            X_Request_Id="r",
            X_Key="k",
            X_Deadline_Ms="1500",
            X_Token_Counts="800,160",
            last_event_id="7",
        )
    )
    assert (head.id, head.key, head.timeout_seconds) == ("r", "k", 1.5)
    assert (head.prompt_tokens, head.max_answer_tokens, head.last_event) == (800, 160, 7)


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("5c1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
        ("e440:250", ()),
        ("", ()),
        (",,:5, 5c1e:x,e440", ("5c1e",)),
        ("5c1e:1,5c1e:2,e440:3", ("5c1e",)),
        (f"{'f' * 3000}:1,e440:3", ("f" * 3000,)),
        (",".join(f"{n}:1" for n in range(500)), tuple(str(n) for n in range(MAX_SHARED_PARTS))),
    ],
)
def test_the_shared_parts_of_a_prompt_are_parsed(text: str, parts: tuple[str, ...]) -> None:
    head = read_call(message(Host="h", X_Request_Id="r", X_Prompt_Prefix=text))
    assert head.shared_parts == parts


@pytest.mark.parametrize(
    "headers",
    [
        {"Host": "h"},
        {"X_Request_Id": "r"},
        {"Host": "h", "X_Request_Id": "r", "X_Deadline_Ms": "soon"},
        {"Host": "h", "X_Request_Id": "r", "X_Token_Counts": "many"},
    ],
)
def test_a_malformed_request_head_is_rejected(headers: dict[str, str]) -> None:
    with pytest.raises(InvalidMessage):
        read_call(message(**headers))


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "authentic"),
    [
        (200, {"X_Request_Id": "r", "X_Response_Seal": "s"}, False, True),
        (500, {"X_Request_Id": "r", "X_Response_Seal": "s"}, False, True),
        (503, {"X_Request_Id": "r"}, False, False),
        (503, {"X_Request_Id": "r", "X_Not_Executed": "1"}, True, False),
        (421, {"X_Instance_Id": "other"}, True, False),
    ],
)
def test_only_the_servers_own_statement_means_that_it_did_not_run(
    status: int, headers: dict[str, str], not_run: bool, authentic: bool
) -> None:
    answer = message(**headers)
    answer.status = status
    head = read_answer(answer)
    assert (head.not_run, head.authentic) == (not_run, authentic)


@pytest.mark.parametrize(
    ("status", "text", "seconds"),
    [
        (503, "3", 3.0),
        (503, " 0.25 ", 0.25),
        (429, "1.5", 1.5),
        (503, "86400", 86400.0),
        (503, None, None),
        (200, "3", None),
        (421, "3", None),
        *((503, text, None) for text in ("0", "-3", "nan", "inf", "1e3", "1_0", "3, 5", "", "soon")),
        (503, "9" * 400, None),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", None),
    ],
)
def test_retry_after_of_a_rejection_is_parsed(status: int, text: str | None, seconds: float | None) -> None:
    answer = message(**({"Retry_After": text} if text is not None else {}))
    answer.status = status
    assert read_answer(answer).rest_seconds == seconds


@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_a_server_may_announce_in_any_answer_that_it_is_leaving(status: int) -> None:
    leaving, staying = message(Server_Leaving="1"), message(Server_Leaving="0")
    leaving.status = staying.status = status
    assert read_answer(leaving).leaving
    assert not read_answer(staying).leaving
    assert not read_answer(message()).leaving


@pytest.mark.parametrize(
    ("target", "name"),
    [("/a/b/c", "ab"), ("/a/x", "a"), ("/a/b/", "ab"), ("/a/b", "a"), ("/a/?q=/a/b/", "a")],
)
def test_the_longest_prefix_of_a_path_wins(target: str, name: str) -> None:
    _, tree = decode_document(document())
    first = tree.endpoints[0]
    replace = msgspec.structs.replace
    endpoints = Endpoints(
        [replace(first, name="a", prefix="/a/"), replace(first, name="ab", prefix="/a/b/")]
    )
    assert endpoints.find("site.example:80", target).name == name
    for host, path in (("site.example", "/b/a/"), ("other", "/a/")):
        with pytest.raises(NotFound):
            endpoints.find(host, path)


def test_a_common_cause_does_not_make_all_servers_suspect() -> None:
    fleet = Fleet()
    listed = [facts_of(f"i-{n}", layers=None) for n in range(6)]
    fleet.apply_changes(listed, [], outage=False)
    marked = [fleet.mark_suspect(server, "silent") for server in list(fleet.servers.values())]
    assert marked == [True, True, True, False, False, False]


def test_rows_that_vanish_in_an_outage_are_kept_for_a_while() -> None:
    fleet = Fleet()
    listed = [facts_of(f"i-{n}", layers=None) for n in range(3)]
    fleet.apply_changes(listed, [], outage=False)
    fleet.apply_snapshot(listed[:1], outage=True)
    assert len(fleet.servers) == 3
    fleet.apply_changes([listed[1]], [], outage=True)
    fleet.drop_lapsed()
    assert set(fleet.servers) == {BackendId("i-0"), BackendId("i-1")}
    fleet.apply_snapshot(listed[:1], outage=False)
    assert set(fleet.servers) == {BackendId("i-0")}


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        ("3", 3.0),
        ("0.25", 0.25),
        (" 1.50 ", 1.5),
        ("0", 0.0),
        (".5", 0.5),
        ("", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1e3", None),
        ("1, 2", None),
        ("many", None),
        ("9" * 400, None),
    ],
)
@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_a_server_may_name_a_rate_limit_in_any_answer(status: int, value: str, rate: float | None) -> None:
    answer = message(Server_Limit=value)
    answer.status = status
    assert read_answer(answer).rate_limit == rate


def test_an_unknown_header_of_an_answer_is_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[str] = []
    monkeypatch.setattr(platform_calls, "_unknown_headers", set())
    monkeypatch.setattr(
        platform_calls, "event", lambda level, message, **fields: logged.append(fields["header"])
    )
    for _ in range(3):
        read_answer(message(Server_Mood="low", Content_Type="text/plain"))
    assert logged == ["server-mood"]
    for number in range(2 * MAX_UNKNOWN_HEADERS):
        read_answer(message(**{f"X_Made_Up_{number}": "1"}))
    assert len(logged) == MAX_UNKNOWN_HEADERS
