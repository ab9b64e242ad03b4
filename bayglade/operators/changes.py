"""Commands that show, validate and change the settings."""

import secrets
from pathlib import Path
from typing import Any, ClassVar

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bayglade import patches
from bayglade.exceptions import InvalidSettings
from bayglade.ids import ChangeId, GroupPath, Revision
from bayglade.operators import documents
from bayglade.operators.client import AdminClient
from bayglade.operators.commands import ADDRESS_OPTION, JSON_OPTION, Audit, RemoteCommand, format_cell
from bayglade.revisions import Author, Change, Current, Revisions
from bayglade.table import create_platform

EXIT_NOT_IN_FORCE = 6
"""Exit code for a change that was stored but is not yet in force on every daemon."""


class SettingsShow(RemoteCommand):
    """Print the current settings as YAML, with their revision in the first line."""

    name = "settings show"
    description = "Print the current settings."
    help = "  BAYGLADE_KEY=... bayglade settings show > tree.yaml"

    def work(self) -> int:
        """Print the settings."""
        found = self.client().settings()
        if self.option("json"):
            self.line(msgspec.json.encode(found).decode())
        else:
            self.io.output.write(documents.write(found.document, found.revision))
        return 0


class SettingsCheck(RemoteCommand):
    """Validate a settings file locally, without contacting a daemon."""

    name = "settings check"
    description = "Validate a settings file without contacting a daemon."
    help = "  bayglade settings check tree.yaml"
    arguments: ClassVar[list[Argument]] = [argument("file", "A YAML file of the whole tree.")]

    def work(self) -> int:
        """Validate the file."""
        documents.read(_read_file(self.argument("file")))
        self.line("good")
        return 0


class SettingsDiff(RemoteCommand):
    """Show the changes that applying a settings file would make."""

    name = "settings diff"
    description = "Show what a settings file would change."
    help = "  bayglade settings diff tree.yaml"
    arguments: ClassVar[list[Argument]] = [argument("file", "A YAML file.")]

    def work(self) -> int:
        """Show the difference."""
        parsed = documents.read(_read_file(self.argument("file")), whole=False)
        found = self.client().settings()
        patch = patches.diff(found.document, parsed.document)
        rows = _patch_rows(found.document, patch)
        return self.show(patch, ["field", "in force", "in the file"], rows)


class SettingsApply(RemoteCommand):
    """Apply a settings file that was edited from the current revision."""

    name = "settings apply"
    description = "Apply a settings file."
    help = "  bayglade settings apply tree.yaml --note 'more for the gates'"
    arguments: ClassVar[list[Argument]] = [argument("file", "A YAML file from `settings show`.")]
    options: ClassVar[list[Option]] = [
        ADDRESS_OPTION,
        JSON_OPTION,
        option("note", None, "A comment for the audit trail.", flag=False, default=""),
        option("dry-run", None, "Have the daemon validate the file without storing it."),
    ]

    def work(self) -> int:
        """Apply the file."""
        parsed = documents.read(_read_file(self.argument("file")), whole=False)
        client = self.client()
        found = client.settings()
        if parsed.base is None:
            raise InvalidSettings(f"the first line must be '{documents.REVISION_PREFIX}N'", step="apply")
        if parsed.base != found.revision:
            # The daemon rejects an outdated base as well, and its error lists what has changed since.
            client.check(parsed.base, {}, {})
        if self.option("dry-run"):
            client.check(parsed.base, found.document, parsed.document)
            self.line("good")
            return 0
        return self._apply(client, found.document, parsed)

    def _apply(self, client: AdminClient, before: dict[str, Any], parsed: documents.SettingsFile) -> int:
        assert parsed.base is not None
        if not patches.diff(before, parsed.document):
            self.line("nothing to change")
            return 0
        answer = client.change(parsed.base, before, parsed.document, self.option("note"))
        if self.option("json"):
            self.line(msgspec.json.encode(answer).decode())
        else:
            count = len(answer.in_force) + len(answer.not_yet)
            self.line(f"kept as revision {answer.revision}")
            self.line(f"in force on {len(answer.in_force)} of {count} daemons")
        if answer.not_yet:
            self.line_error(f"not yet on: {', '.join(answer.not_yet)}")
            return EXIT_NOT_IN_FORCE
        return 0


class SettingsInit(RemoteCommand):
    """Write the first revision directly to the platform, without a daemon."""

    name = "settings init"
    description = "Write the first revision to an empty platform."
    help = "  bayglade settings init tree.yaml --platform 10.0.0.5:7000"
    arguments: ClassVar[list[Argument]] = [argument("file", "A YAML file of the whole tree.")]
    options: ClassVar[list[Option]] = [
        option("platform", "p", "The platform's address.", flag=False, value_required=True),
    ]

    def work(self) -> int:
        """Write the first revision."""
        parsed = documents.read(_read_file(self.argument("file")))
        revisions = Revisions(create_platform(self.option("platform") or ""), _ignore)
        change = Change(
            id=ChangeId(secrets.token_hex(16)),
            base=Revision(0),
            patch=parsed.document,
            note="first revision",
        )
        after = revisions.accept(change, Author("init", GroupPath(""), ""))
        self.line(f"kept as revision {after.revision}")
        return 0


class SettingsExplain(RemoteCommand):
    """Show which level of the tree defines a value."""

    name = "settings explain"
    description = "Show which level defines a value."
    help = "  bayglade settings explain clinics/gates limits.in_flight"
    arguments: ClassVar[list[Argument]] = [
        argument("group", "A group, as names joined by '/'."),
        argument("field", "share, priority, deadline_seconds, limits.NAME or versions.MODEL."),
    ]

    def work(self) -> int:
        """Show the value and the level that defines it."""
        found = self.client().explain(self.argument("group"), self.argument("field"))
        level = "the default" if found.level is None else f"level {found.level or 'root'!r}"
        rows = [[found.group, found.field, format_cell(found.value), level]]
        return self.show(found, ["group", "field", "value", "from"], rows)


class SettingsHistory(Audit):
    """Show the revisions of the settings, newest first."""

    name = "settings history"
    description = "Show the newest revisions; the same rows as `audit`."
    help = "  bayglade settings history"


def _read_file(name: str) -> str:
    try:
        return Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings(f"cannot read {name}: {error}", step="read") from error


def _patch_rows(document: dict[str, Any], patch: dict[str, Any]) -> list[list[str]]:
    rows = []
    for path in patches.touched_paths(patch):
        old: Any = document
        new: Any = patch
        for name in path:
            old = old.get(name) if isinstance(old, dict) else None
            new = new.get(name) if isinstance(new, dict) else None
        rows.append([".".join(path), format_cell(old), format_cell(new)])
    return rows


def _ignore(_: Current) -> None:
    """Ignore a new revision: this command only writes it and does not use the settings."""
