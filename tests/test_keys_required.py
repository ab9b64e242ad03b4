"""Which requests need a key, and that no key opens what needs one."""

import random
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayglade.directory import Directory
from bayglade.endpoints import Endpoint, Target
from bayglade.exceptions import BaygladeError, CutOff, InvalidSettings, NoRoute, Unauthenticated
from bayglade.http1 import Message, MessageParser
from bayglade.ids import AccountName, GroupPath, ServiceName
from bayglade.intake import Intake
from bayglade.platform import create_dialect, decode_document
from bayglade.settings import EMPTY_SHA256, Account, Tree, check
from standins.users import KEY, UsersSite
from standins.users.configuration import configuration
from standins.world import wait_for
from tests.gateway_callers import ask, request_bytes
from tests.server_rows import packed

NEVER_HELD = "a-key-that-nobody-had"
KEY_TRUST = 5.0


def document(version: int, tenants: Any, public: bool = False) -> Any:
    """Make a configuration; it has no tenants if they are None."""
    made = configuration(version, (), {"public": public})
    made["tenants"] = tenants
    if tenants is None:
        del made["tenants"]
    return made


class Scene:
    """An intake, and the age of its settings."""

    def __init__(self) -> None:
        self.age = 0.0
        self.version = 0
        self.intake = Intake(create_dialect(), lambda: self.age, KEY_TRUST, random.Random(1))

    def configure(self, tenants: Any, public: bool = False) -> None:
        self.version += 1
        row = packed(document(self.version, tenants, public))
        self.intake.apply(*decode_document(row), bytes(row))

    def call(self, key: str | None) -> Any:
        parser = MessageParser(False, 4096, 4096)
        parser.feed(request_bytes("/safe/x", "r", X_Key=key or ""))
        message: Message = parser.messages[0]
        if key == "":
            message.headers.append(("X-Key", ""))
        return self.intake.call(message)


EMPTIED = {
    "no tenants in the list": [],
    "tenants without keys": [{"name": "clinic"}, {"name": "school", "apiKeys": []}],
    "a tenant with the empty key": [{"name": "clinic", "apiKeys": [""]}],
}


# A configuration whose last key was taken away was taken for one without tenants, and let everybody in.
@pytest.mark.parametrize("tenants", EMPTIED.values(), ids=EMPTIED)
@pytest.mark.parametrize("key", [KEY, NEVER_HELD, "", None])
def test_tenants_without_any_key_let_nobody_in(tenants: Any, key: str | None) -> None:
    scene = Scene()
    scene.configure(tenants)
    with pytest.raises(Unauthenticated):
        scene.call(key)
    scene.age = KEY_TRUST
    with pytest.raises(CutOff):
        scene.call(key)


def test_a_configuration_without_tenants_needs_no_key() -> None:
    scene = Scene()
    scene.configure(None)
    assert scene.call(None).group is None


# A waiting call of an open configuration was sent without a key after one was needed.
def test_a_call_that_needs_a_key_meanwhile_is_sent_only_with_one() -> None:
    scene = Scene()
    scene.configure(None)
    without, keyed = scene.call(None), scene.call(KEY)
    scene.configure([{"name": "clinic", "apiKeys": [KEY]}])
    with pytest.raises(Unauthenticated):
        scene.intake.check(without)
    scene.intake.check(keyed)
    assert keyed.group == "clinic"


# A waiting call was sent for as long as the settings had no key at all.
def test_a_waiting_call_is_not_sent_once_the_last_key_is_taken_away() -> None:
    scene = Scene()
    scene.configure([{"name": "clinic", "apiKeys": [KEY]}])
    call = scene.call(KEY)
    scene.configure([{"name": "clinic", "apiKeys": []}])
    with pytest.raises(Unauthenticated):
        scene.intake.check(call)


KEYS = st.sampled_from(["", "k1", "k2", "k3"])
TENANTS = st.none() | st.lists(
    st.builds(lambda name, keys: {"name": name, "apiKeys": keys}, st.sampled_from("abc"), st.lists(KEYS)),
    max_size=3,
    unique_by=lambda tenant: tenant["name"],
)


@given(before=TENANTS, after=TENANTS, public=st.tuples(st.booleans(), st.booleans()), key=st.none() | KEYS)
def test_what_is_sent_is_allowed_by_the_settings_in_force(
    before: Any, after: Any, public: tuple[bool, bool], key: str | None
) -> None:
    scene = Scene()
    scene.configure(before, public[0])
    try:
        call = scene.call(key)
        scene.configure(after, public[1])
        scene.intake.check(call)
    except BaygladeError:
        return
    if after is None or public[1]:
        return
    holders = [tenant["name"] for tenant in after if key and key in tenant["apiKeys"]]
    assert call.group in holders


# A missing key was looked up as the empty one.
def test_the_empty_key_belongs_to_nobody() -> None:
    tree = Tree(accounts={AccountName("a"): Account(GroupPath(""), EMPTY_SHA256)})
    with pytest.raises(Unauthenticated):
        Directory(tree).account("")
    with pytest.raises(InvalidSettings, match="empty key"):
        check(tree)


# A route whose weights are all zero ended the task of the caller's connection.
@pytest.mark.parametrize("weights", [[], [0.0], [0.0, 0.0]])
def test_a_route_without_a_share_for_any_service_is_refused(weights: list[float]) -> None:
    targets = tuple(Target(ServiceName(f"s{n}"), weight) for n, weight in enumerate(weights))
    endpoint = Endpoint(name="r", host="h", prefix="/", targets=targets, timeout=1.0, aim=0.1)
    with pytest.raises(NoRoute):
        endpoint.choose(random.Random(1))


@pytest.fixture
def site() -> Iterator[UsersSite]:
    with UsersSite(halls=1, stages=0, plain=2) as made:
        yield made


def test_daemons_refuse_all_keys_once_the_last_one_is_taken_away(site: UsersSite) -> None:
    daemons = [site.start(), site.start()]
    assert all(ask(daemon.callers, "/safe/x").status == 200 for daemon in daemons)
    site.configure(keys=())
    daemons.append(site.start())
    for daemon in daemons:
        wait_for("it knows", lambda daemon=daemon: ask(daemon.callers, "/safe/x").status == 401)
        statuses = {ask(daemon.callers, path, X_Key=NEVER_HELD).status for path in ("/safe/x", "/once/x")}
        assert statuses == {401}
        assert ask(daemon.callers, "/safe/x", X_Key="").status == 401
        assert ask(daemon.callers, "/open/x", X_Key="").status == 200
