"""Client for the administration API; the commands use it."""

import uuid
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from bayglade import patches
from bayglade.config import parse_address
from bayglade.decoding import decode_json
from bayglade.exceptions import (
    BaygladeError,
    InvalidSettings,
    Outcome,
    PlatformAnswerLost,
    PlatformUnavailable,
)
from bayglade.ids import ChangeId, Revision
from bayglade.operators import wire
from bayglade.responses import ErrorAnswer
from bayglade.revisions import Change

CONNECT_TIMEOUT = 3.0
READ_TIMEOUT = 30.0

AnswerT = TypeVar("AnswerT")


class AdminClient:
    """HTTP client for the administration API of one daemon."""

    def __init__(self, address: str, key: str) -> None:
        where = parse_address(address)
        self.address = address
        self.headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        self.pool = urllib3.HTTPConnectionPool(
            where.host,
            where.port,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=READ_TIMEOUT),
        )

    def __repr__(self) -> str:
        return f"<AdminClient {self.address}>"

    def settings(self) -> wire.SettingsAnswer:
        """Fetch the current settings."""
        return self._get(wire.SETTINGS_PATH, wire.SettingsAnswer)

    def change(
        self, base: Revision, before: dict[str, Any], after: dict[str, Any], note: str
    ) -> wire.ChangeAnswer:
        """Request a change of the settings.

        The change has an id of its own, by which the daemon applies it only once even if it is sent again.

        :param base: the revision that the change is based on.
        :param before: the document at that revision.
        :param after: the document with the change.
        :param note: a comment for the audit trail.
        :return: the new revision and the daemons that have it in force.
        """
        change = Change(
            id=ChangeId(uuid.uuid4().hex), base=base, patch=patches.diff(before, after), note=note
        )
        return self._post(wire.CHANGES_PATH, change, wire.ChangeAnswer)

    def check(self, base: Revision, before: dict[str, Any], after: dict[str, Any]) -> wire.CheckAnswer:
        """Validate a change without applying it."""
        change = Change(id=ChangeId(""), base=base, patch=patches.diff(before, after))
        return self._post(wire.CHECK_PATH, change, wire.CheckAnswer)

    def audit(self, count: int) -> list[wire.AuditEntry]:
        """Fetch the newest entries of the audit trail."""
        return self._get(f"{wire.AUDIT_PATH}?count={count}", list[wire.AuditEntry])

    def explain(self, group: str, field: str) -> wire.ExplainAnswer:
        """Fetch a setting of a group and the level that defines it."""
        query = urlencode({"group": group, "field": field})
        return self._get(f"{wire.EXPLAIN_PATH}?{query}", wire.ExplainAnswer)

    def status(self) -> wire.StatusAnswer:
        """Fetch the state of the daemon."""
        return self._get(wire.STATUS_PATH, wire.StatusAnswer)

    def backends(self) -> list[wire.BackendStatus]:
        """Fetch the state of the backend servers as the daemon sees them."""
        return self._get(wire.BACKENDS_PATH, list[wire.BackendStatus])

    def groups(self) -> list[wire.GroupStatus]:
        """Fetch shares and recent throughput of the groups."""
        return self._get(wire.GROUPS_PATH, list[wire.GroupStatus])

    def _get(self, path: str, kind: type[AnswerT]) -> AnswerT:
        return self._request("GET", path, None, kind)

    def _post(self, path: str, body: msgspec.Struct, kind: type[AnswerT]) -> AnswerT:
        return self._request("POST", path, msgspec.json.encode(body), kind)

    def _request(self, method: str, path: str, body: bytes | None, kind: type[AnswerT]) -> AnswerT:
        try:
            response = self.pool.urlopen(
                method, path, body=body, headers=self.headers, retries=False, redirect=False
            )
        except HTTPError as error:
            lost = PlatformAnswerLost if method == "POST" else PlatformUnavailable
            raise lost(f"no answer: {error}", step=path, peer=self.address) from error
        if response.status != 200:
            raise _remote_error(response.data, path, self.address)
        return msgspec.json.decode(response.data, type=kind)


def _remote_error(content: bytes, path: str, peer: str) -> BaygladeError:
    try:
        body = decode_json(content, ErrorAnswer, "the answer", path).error
    except InvalidSettings:
        return BaygladeError("malformed answer", step=path, peer=peer)
    error = BaygladeError(
        body.message,
        step=body.step,
        peer=body.peer or peer,
        retry_after=body.retry_after,
        outcome=Outcome(body.outcome),
    )
    error.code = body.code
    return error
