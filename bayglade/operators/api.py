"""The administration API, by which operators read and change the settings tree over HTTP."""

from collections.abc import Callable
from typing import TypeVar
from urllib.parse import parse_qs

import eventlet
import msgspec

from bayglade import patches, settings
from bayglade.__version__ import __version__
from bayglade.clock import now
from bayglade.directory import Directory, OperatorHolder
from bayglade.entries import Membership
from bayglade.exceptions import Forbidden, InvalidRequest, MethodNotAllowed, NotFound
from bayglade.ids import GroupPath, MemberId, Revision
from bayglade.operators import wire
from bayglade.responses import Environ, Response, bearer_key, json_response, read_body
from bayglade.revisions import AuditRow, Author, Change, Revisions, scoped_document
from bayglade.router import Router
from bayglade.usage import USAGE_TAU

MAX_CHANGE_BYTES = settings.MAX_DOCUMENT_BYTES
BODY_TIMEOUT = 30.0
IN_FORCE_WAIT = 5.0
IN_FORCE_POLL = 0.02
DEFAULT_AUDIT_ROWS = 20

BodyT = TypeVar("BodyT")
Handler = Callable[[Environ, OperatorHolder], Response]


class OperatorApi:
    """Authenticates operators and answers their requests."""

    def __init__(
        self,
        member: MemberId,
        router: Router,
        revisions: Revisions,
        membership: Membership,
        ready: Callable[[], bool],
    ) -> None:
        self.member = member
        self.router = router
        self.revisions = revisions
        self.membership = membership
        self.ready = ready
        self.directory = Directory(router.tree)
        self.handlers: dict[str, Handler] = {
            f"GET {wire.SETTINGS_PATH}": self.settings,
            f"POST {wire.CHANGES_PATH}": self.change,
            f"POST {wire.CHECK_PATH}": self.check,
            f"GET {wire.AUDIT_PATH}": self.audit,
            f"GET {wire.EXPLAIN_PATH}": self.explain,
            f"GET {wire.STATUS_PATH}": self.status,
            f"GET {wire.BACKENDS_PATH}": self.backends,
            f"GET {wire.GROUPS_PATH}": self.groups,
        }

    def __repr__(self) -> str:
        return f"<OperatorApi {self.directory!r}>"

    def handle(self, environ: Environ) -> Response:
        """Handle one request of an operator.

        :param environ: the WSGI environment of the request.
        :return: the response.
        :raises BaygladeError: if the request is rejected or fails.
        """
        holder = self.directory.operator(bearer_key(environ))
        path = environ["PATH_INFO"]
        handler = self.handlers.get(f"{environ['REQUEST_METHOD']} {path}")
        if handler is not None:
            return handler(environ, holder)
        if any(name.endswith(" " + path) for name in self.handlers):
            raise MethodNotAllowed("method not supported", step="read", peer="operator")
        raise NotFound(f"no such path: {path!r}", step="read", peer="operator")

    def settings(self, _: Environ, holder: OperatorHolder) -> Response:
        """Return the current settings, limited to what the operator may see."""
        current = self.revisions.current
        document = scoped_document(current.document, holder.subtree)
        return json_response(wire.SettingsAnswer(current.revision, current.digest, document))

    def change(self, environ: Environ, holder: OperatorHolder) -> Response:
        """Apply a change, then return which daemons have it in force."""
        requested = _decode_body(environ, Change)
        author = Author(holder.name, holder.subtree, environ.get("REMOTE_ADDR", ""))
        after = self.revisions.accept(requested, author)
        in_force, not_yet = self._wait_in_force(after.revision)
        return json_response(wire.ChangeAnswer(after.revision, in_force, not_yet))

    def check(self, environ: Environ, holder: OperatorHolder) -> Response:
        """Validate a change without storing it."""
        requested = _decode_body(environ, Change)
        author = Author(holder.name, holder.subtree, environ.get("REMOTE_ADDR", ""))
        return json_response(wire.CheckAnswer(self.revisions.check(requested, author).revision))

    def audit(self, environ: Environ, holder: OperatorHolder) -> Response:
        """Return the newest changes, without those that reach outside the operator's subtree."""
        count = _query_value(environ, "count") or str(DEFAULT_AUDIT_ROWS)
        if not count.isdigit():
            raise InvalidRequest("count must be a number", step="read", peer="operator")
        rows = self.revisions.history(int(count))
        return json_response([_audit_entry(row) for row in rows if _visible(row, holder.subtree)])

    def explain(self, environ: Environ, holder: OperatorHolder) -> Response:
        """Return a setting of a group and the level of the tree that defines it."""
        group = GroupPath(_query_value(environ, "group"))
        field = _query_value(environ, "field")
        _require_in_subtree(holder, group)
        found = settings.explain(self.router.tree, group, field)
        return json_response(wire.ExplainAnswer(group, field, found.value, found.level))

    def status(self, _: Environ, __: OperatorHolder) -> Response:
        """Return the state of this daemon and of the other daemons that it knows."""
        at = now()
        members = [
            wire.MemberStatus(m.id, m.is_live(at), m.revision, m.draining)
            for m in self.membership.members.values()
        ]
        return json_response(
            wire.StatusAnswer(
                member=self.member,
                version=__version__,
                revision=self.revisions.current.revision,
                ready=self.ready(),
                draining=self.membership.draining,
                settings_age_seconds=round(self.router.trust.age(), 3),
                in_flight=len(self.router.active_requests),
                waiting=self.router.admission.waiting(),
                entries_bytes_out=self.membership.bytes_out,
                entries_bytes_in=self.membership.bytes_in,
                members=members,
            )
        )

    def backends(self, _: Environ, __: OperatorHolder) -> Response:
        """Return the state of the backend servers as this daemon sees them."""
        at = now()
        rows = []
        for state in self.router.backends.states.values():
            facts = state.facts
            condition = "leaving" if state.leaving else "live" if state.usable(at) else "ejected"
            rows.append(
                wire.BackendStatus(
                    state.id,
                    facts.model,
                    facts.version,
                    facts.first,
                    facts.last,
                    facts.hall,
                    state.in_flight,
                    round(state.limit, 1),
                    state.failures,
                    condition,
                )
            )
        return json_response(rows)

    def groups(self, _: Environ, holder: OperatorHolder) -> Response:
        """Return shares and recent throughput of the groups in the operator's subtree."""
        at = now()
        tree = self.router.tree
        rows = [
            wire.GroupStatus(
                path,
                level.share,
                settings.priority_of(tree, path),
                round(self.router.usage.total(path, at) / USAGE_TAU, 1),
                self.router.limits.in_flight.get(path, 0),
            )
            for path, level in settings.walk(tree.root)
            if settings.contains(holder.subtree, path)
        ]
        return json_response(rows)

    def _wait_in_force(self, revision: Revision) -> tuple[list[MemberId], list[MemberId]]:
        """Wait until every daemon of the host list has confirmed a revision, but not beyond the time limit.

        :return: the daemons that have confirmed it, and those that have not.
        """
        until = now() + IN_FORCE_WAIT
        while True:
            in_force = [m.id for m in self.membership.live() if m.revision >= revision]
            confirmed = {self.member, *in_force}
            not_yet = sorted(self.membership.listed - confirmed)
            if not not_yet or now() > until:
                return sorted(confirmed), not_yet
            eventlet.sleep(IN_FORCE_POLL)


def _decode_body(environ: Environ, kind: type[BodyT]) -> BodyT:
    body = read_body(environ, MAX_CHANGE_BYTES, BODY_TIMEOUT)
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidRequest(str(error), step="read", peer="operator") from error


def _query_value(environ: Environ, name: str) -> str:
    query: str = environ.get("QUERY_STRING", "")
    return parse_qs(query).get(name, [""])[0]


def _require_in_subtree(holder: OperatorHolder, group: GroupPath) -> None:
    if not settings.contains(holder.subtree, group):
        raise Forbidden(f"{group!r} is outside {holder.subtree!r}", step="read", peer="operator")


def _visible(row: AuditRow, subtree: GroupPath) -> bool:
    if not subtree:
        return True
    top = ("root", *(part for name in subtree.split("/") for part in ("groups", name)))
    return all(path[: len(top)] == top for path in patches.touched_paths(msgspec.json.decode(row.patch)))


def _audit_entry(row: AuditRow) -> wire.AuditEntry:
    return wire.AuditEntry(
        revision=row.revision,
        change=row.change,
        operator=row.operator,
        address=row.address,
        at=row.at,
        note=row.note,
        patch=msgspec.json.decode(row.patch),
        undo=msgspec.json.decode(row.undo),
    )
