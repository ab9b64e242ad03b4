"""Revisions of the settings: the one in force, and how a new one is accepted.

Documents are kept in the object store under their digest. One transaction moves the head row from
revision n to n+1 and adds the audit row. A daemon only applies a higher revision; a head that moved
backwards is logged and raises an error.
"""

import time
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec

from bayglade import patches, rows, settings
from bayglade.clock import now
from bayglade.decoding import decode_each, decode_json
from bayglade.exceptions import (
    Forbidden,
    InvalidSettings,
    NotFound,
    PlatformAnswerLost,
    PlatformUnavailable,
    SettingsConflict,
    SettingsWentBack,
)
from bayglade.ids import ChangeId, Digest, GroupPath, Revision
from bayglade.logs import event
from bayglade.settings import Tree
from bayglade.table import Platform

HEAD_KEY = "settings/head"
COMMIT_ATTEMPTS = 20
COMMIT_RETRY_DELAY = 0.25
MAX_HISTORY = 100


class Head(msgspec.Struct, frozen=True):
    """The row that names the latest revision of the settings."""

    revision: Revision
    digest: Digest


class AuditRow(msgspec.Struct, frozen=True, kw_only=True):
    """Who changed what, when and from where; ``at`` is a Unix time in seconds."""

    revision: Revision
    change: ChangeId
    operator: str
    address: str
    at: float
    note: str
    digest: Digest
    patch: msgspec.Raw
    undo: msgspec.Raw


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change that an operator requests."""

    id: ChangeId
    base: Revision
    patch: dict[str, Any]
    note: str = ""


class Author(msgspec.Struct, frozen=True):
    """Who requests a change: the operator's name, their subtree and the address of the request."""

    operator: str
    subtree: GroupPath
    address: str


class Current(msgspec.Struct, frozen=True):
    """A revision: its number, digest, document and tree."""

    revision: Revision
    digest: Digest
    document: bytes
    tree: Tree

    def __repr__(self) -> str:
        return f"<Current revision {self.revision}>"


EMPTY = Current(Revision(0), Digest(""), b"{}", Tree())


class Revisions:
    """The revision in force in this daemon.

    :param platform: the platform that keeps revisions.
    :param on_change: called with each revision that comes into force.
    """

    def __init__(self, platform: Platform, on_change: Callable[[Current], None]) -> None:
        self.platform = platform
        self.on_change = on_change
        self.current = EMPTY
        self.known_at = 0.0
        self.head_went_back = False

    def __repr__(self) -> str:
        return f"<Revisions {self.current.revision}>"

    def poll(self) -> None:
        """Read the head from the table and apply a newer revision.

        :raises PlatformUnavailable: when the table does not answer.
        :raises SettingsWentBack: when the head is older than the revision in force.
        :raises InvalidSettings: when the head cannot be read.
        """
        asked, known = now(), self.current
        row = self.platform.read([HEAD_KEY]).get(HEAD_KEY)
        head = (
            decode_json(row.value, Head, "the head of the settings", "settings")
            if row
            else Head(Revision(0), Digest(""))
        )
        self._check_head_not_behind(head, known)
        if head.revision > self.current.revision:
            self.offer(head.revision, head.digest, self.platform.get_object(head.digest))
        self.known_at = max(self.known_at, asked)

    def offer(self, revision: Revision, digest: Digest, document: bytes) -> bool:
        """Apply a revision if it is newer than the one in force.

        :param revision: its number.
        :param digest: the expected digest of the document.
        :param document: canonical JSON.
        :return: whether it was newer.
        :raises InvalidSettings: when the document does not match the digest.
        """
        if revision <= self.current.revision:
            return False
        if settings.digest_of(document) != digest:
            raise InvalidSettings("the document does not match its digest", step="settings")
        self.current = Current(revision, digest, document, settings.decode(document))
        event("INFO", "settings in force", revision=revision)
        self.on_change(self.current)
        return True

    def accept(self, change: Change, author: Author) -> Current:
        """Check a change, store it in the platform and apply it here.

        :param change: the change.
        :param author: who requests it.
        :return: the revision that contains the change.
        :raises SettingsConflict: when the head is not the change's base.
        :raises InvalidSettings: when the result breaks a rule.
        :raises Forbidden: when the change reaches outside the author's subtree.
        :raises PlatformUnavailable: when nothing was stored.
        :raises PlatformAnswerLost: when the change may have been stored.
        """
        self.poll()
        # All of the following uses this revision: another one may come into force meanwhile.
        before = self.current
        if change.base != before.revision:
            return self._already_applied(change) or self._conflict(change)
        after = _derive_revision(before, change, author)
        self.platform.put_object(after.digest, after.document)
        if self._commit(change, author, before, after):
            self.offer(after.revision, after.digest, after.document)
            return after
        self.poll()
        return self._already_applied(change) or self._conflict(change)

    def check(self, change: Change, author: Author) -> Current:
        """Check a change against the settings in force without storing it.

        :param change: the change.
        :param author: who requests it.
        :return: the revision that it would create.
        :raises SettingsConflict: when another change came first.
        :raises InvalidSettings: when the result breaks a rule.
        :raises Forbidden: when the change reaches outside the author's subtree.
        """
        before = self.current
        if change.base != before.revision:
            return self._conflict(change)
        return _derive_revision(before, change, author)

    def history(self, count: int) -> list[AuditRow]:
        """Read the latest audit rows, newest first.

        :param count: the maximum number of rows.
        :return: the rows.
        :raises PlatformUnavailable: when the table does not answer.
        """
        newest = self.current.revision
        oldest = max(0, newest - min(count, MAX_HISTORY))
        keys = [_revision_key(Revision(n)) for n in range(newest, oldest, -1)]
        rows = self.platform.read(keys)
        found = {key: rows[key].value for key in keys if key in rows}
        decoded = decode_each(found, lambda key, value: msgspec.json.decode(value, type=AuditRow))
        for key, reason in decoded.invalid.items():
            event("ERROR", "audit row ignored", key=key, error=reason)
        return list(decoded.found.values())

    def _check_head_not_behind(self, head: Head, known: Current) -> None:
        """Check that the head is not behind what was in force before it was read."""
        older = head.revision < known.revision
        other = head.revision == known.revision and head.digest != known.digest
        self.head_went_back = older or other
        if not self.head_went_back:
            return
        event("ERROR", "settings went back", head=head.revision, in_force=known.revision)
        raise SettingsWentBack(
            f"the head row has revision {head.revision}, but revision {known.revision} is in force",
            step="settings",
            peer="platform",
        )

    def _commit(self, change: Change, author: Author, before: Current, after: Current) -> bool:
        transaction = _change_transaction(change, author, before, after)
        lost = False
        for _ in range(COMMIT_ATTEMPTS):
            try:
                return self.platform.transact(transaction).committed
            except PlatformAnswerLost:
                lost = True
            except PlatformUnavailable:
                if not lost:
                    raise
            # The conditions are the same when it is sent again, so it is committed at most once.
            eventlet.sleep(COMMIT_RETRY_DELAY)
        raise PlatformAnswerLost("the change may have been committed", step="apply", retry_after=2.0)

    def _already_applied(self, change: Change) -> Current | None:
        """Return the revision in force if this change was committed by an earlier request."""
        row = self.platform.read([_change_key(change.id)]).get(_change_key(change.id))
        return self.current if row is not None else None

    def _conflict(self, change: Change) -> Current:
        names = [
            f"{row.revision} by {row.operator}: "
            + ", ".join(".".join(path) for path in patches.touched_paths(msgspec.json.decode(row.patch)))
            for row in self.history(MAX_HISTORY)
            if row.revision > change.base
        ]
        raise SettingsConflict(
            f"change is based on revision {change.base}, but {self.current.revision} is in force;"
            f" changes since: {'; '.join(names)}",
            step="apply",
        )


def _derive_revision(before: Current, change: Change, author: Author) -> Current:
    """Compute the revision that results from a change."""
    _check_scope(change.patch, author.subtree)
    document = msgspec.json.decode(before.document)
    tree = settings.decode(msgspec.json.encode(patches.apply(document, change.patch)))
    _check_account_scope(before.tree, tree, change.patch, author.subtree)
    content = settings.encode(tree)
    return Current(Revision(before.revision + 1), settings.digest_of(content), content, tree)


def _change_transaction(
    change: Change, author: Author, before: Current, after: Current
) -> rows.Transaction:
    """Build the transaction that moves the head and adds the audit row atomically."""
    old, new = msgspec.json.decode(before.document), msgspec.json.decode(after.document)
    audit = AuditRow(
        revision=after.revision,
        change=change.id,
        operator=author.operator,
        address=author.address,
        at=time.time(),
        note=change.note,
        digest=after.digest,
        patch=rows.encode_value(patches.diff(old, new)),
        undo=rows.encode_value(patches.diff(new, old)),
    )
    head = Head(after.revision, after.digest)
    change_key = _change_key(change.id)
    return rows.Transaction(
        conditions=[
            # The head is written once per revision, so its row version equals the revision.
            rows.Condition(HEAD_KEY, before.revision),
            rows.Condition(change_key, rows.ABSENT),
        ],
        writes=[
            rows.Write(HEAD_KEY, rows.encode_value(head)),
            rows.Write(change_key, rows.encode_value(after.revision)),
            rows.Write(_revision_key(after.revision), rows.encode_value(audit)),
        ],
    )


def _revision_key(revision: Revision) -> str:
    return f"settings/revision/{revision}"


def _change_key(change: ChangeId) -> str:
    return f"settings/change/{change}"


def _check_scope(patch: dict[str, Any], subtree: GroupPath) -> None:
    if not subtree:
        return
    top = ("root", *(part for name in subtree.split("/") for part in ("groups", name)))
    own = {"groups", "versions", "deadline_seconds"}
    for path in patches.touched_paths(patch):
        inside = path[: len(top)] == top and len(path) > len(top) and path[len(top)] in own
        if not inside and not (path[0] == "accounts" and len(path) > 1):
            raise Forbidden(f"{'.'.join(path)} is outside {subtree!r}", step="apply", peer="operator")


def _check_account_scope(before: Tree, after: Tree, patch: dict[str, Any], subtree: GroupPath) -> None:
    """Check that accounts which a change touches are in the author's subtree before and after."""
    accounts = patch.get("accounts") or {}
    for name in accounts:
        for tree in (before, after):
            account = tree.accounts.get(name)
            if account is not None and not settings.contains(subtree, account.group):
                raise Forbidden(f"accounts.{name} is outside {subtree!r}", step="apply", peer="operator")


def scoped_document(document: bytes, subtree: GroupPath) -> dict[str, Any]:
    """Return the part of a document that an operator may see.

    Keys of accounts are included as digests; those of operators only for the root subtree.

    :param document: canonical JSON.
    :param subtree: the operator's subtree.
    :return: the document without all other groups and accounts.
    """
    whole: dict[str, Any] = msgspec.json.decode(document)
    if not subtree:
        return whole
    kept = {name: whole[name] for name in ("models",) if name in whole}
    kept["accounts"] = {
        name: account
        for name, account in whole.get("accounts", {}).items()
        if settings.contains(subtree, GroupPath(account["group"]))
    }
    level: dict[str, Any] = whole.get("root", {})
    branch: dict[str, Any] = {}
    kept["root"] = branch
    for name in subtree.split("/"):
        level = level.get("groups", {}).get(name)
        if level is None:
            raise NotFound(f"no such group: {subtree!r}", step="settings")
        branch["groups"] = {name: {}}
        branch = branch["groups"][name]
    branch.update(level)
    return kept
