"""The commands of operators, on top of the administration API.

Exit codes: 0 done, 1 failed, 3 another change came first, 4 the settings break
a rule, 5 no answer or the outcome is unknown, 6 kept but not yet in force
everywhere.
"""

import os
import secrets
import time
from collections.abc import Sequence
from hashlib import sha256
from pathlib import Path
from typing import Any, ClassVar

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bayglade import patches
from bayglade.__version__ import __title__, __version__
from bayglade.exceptions import BaygladeError, InvalidSettings
from bayglade.ids import ChangeId, GroupPath, Revision
from bayglade.operators import documents
from bayglade.operators.client import Remote
from bayglade.platform import create_platform
from bayglade.revisions import Author, Change, Current, Revisions

KEY_VARIABLE = "BAYGLADE_KEY"
ADDRESS_VARIABLE = "BAYGLADE_ADDRESS"
DEFAULT_ADDRESS = "127.0.0.1:8080"
EXIT_CODES = {
    "settings_conflict": 3,
    "invalid_settings": 4,
    "platform_unavailable": 5,
    "platform_answer_lost": 5,
}
NOT_YET = 6

ADDRESS = option("address", "a", f"A daemon's address (or ${ADDRESS_VARIABLE}).", flag=False)
JSON = option("json", "j", "Print JSON for programs.")


class RemoteCommand(Command):
    """A command that asks a daemon; errors become exit codes."""

    arguments: ClassVar[list[Argument]] = []
    options: ClassVar[list[Option]] = [ADDRESS, JSON]

    def handle(self) -> int:
        """Run the command."""
        try:
            return self.work()
        except BaygladeError as error:
            where = f" (at {error.step}, {error.peer})" if error.step else ""
            self.line_error(f"<error>{error.code}: {error.message}{where}</error>")
            return EXIT_CODES.get(error.code, 1)

    def work(self) -> int:
        """Do the work of the command.

        :return: the exit code.
        :raises BaygladeError: when it cannot be done.
        """
        raise NotImplementedError

    def remote(self) -> Remote:
        """Return the daemon to ask."""
        address = self.option("address") or os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
        return Remote(address, os.environ.get(KEY_VARIABLE, ""))

    def show(self, value: object, headers: Sequence[str], rows: list[list[str]]) -> int:
        """Print JSON or a table.

        :param value: what ``--json`` prints.
        :param headers: names of the columns.
        :param rows: the cells.
        :return: exit code 0.
        """
        if self.option("json"):
            self.line(msgspec.json.encode(value).decode())
            return 0
        table = self.table()
        table.set_headers(list(headers))
        table.set_rows([list(row) for row in rows])
        table.render()
        return 0


class SettingsShow(RemoteCommand):
    """Print the settings in force as YAML, with their revision in the first line."""

    name = "settings show"
    description = "Print the settings in force."
    help = "  BAYGLADE_KEY=... bayglade settings show > tree.yaml"

    def work(self) -> int:
        """Print the settings."""
        found = self.remote().settings()
        if self.option("json"):
            self.line(msgspec.json.encode(found).decode())
        else:
            self.io.output.write(documents.write(found.document, found.revision))
        return 0


class SettingsCheck(RemoteCommand):
    """Check a settings file by itself, without asking a daemon."""

    name = "settings check"
    description = "Check a settings file; nothing is sent."
    help = "  bayglade settings check tree.yaml"
    arguments: ClassVar[list[Argument]] = [argument("file", "A YAML file of the whole tree.")]

    def work(self) -> int:
        """Check the file."""
        documents.read(_read_file(self.argument("file")))
        self.line("good")
        return 0


class SettingsDiff(RemoteCommand):
    """Show what applying a settings file would change."""

    name = "settings diff"
    description = "Show what a settings file would change."
    help = "  bayglade settings diff tree.yaml"
    arguments: ClassVar[list[Argument]] = [argument("file", "A YAML file.")]

    def work(self) -> int:
        """Show the difference."""
        written = documents.read(_read_file(self.argument("file")), whole=False)
        found = self.remote().settings()
        patch = patches.diff(found.document, written.document)
        rows = _patch_rows(found.document, patch)
        return self.show(patch, ["field", "in force", "in the file"], rows)


class SettingsApply(RemoteCommand):
    """Apply a settings file that was made from the revision in force."""

    name = "settings apply"
    description = "Put a settings file in force."
    help = "  bayglade settings apply tree.yaml --note 'more for the gates'"
    arguments: ClassVar[list[Argument]] = [argument("file", "A YAML file from `settings show`.")]
    options: ClassVar[list[Option]] = [
        ADDRESS,
        JSON,
        option("note", None, "A word for the audit trail.", flag=False, default=""),
        option("dry-run", None, "Have the daemon check it; keep nothing."),
    ]

    def work(self) -> int:
        """Apply the file."""
        written = documents.read(_read_file(self.argument("file")), whole=False)
        remote = self.remote()
        found = remote.settings()
        if written.base is None:
            raise InvalidSettings(f"the first line must be '{documents.REVISION_MARK}N'", step="apply")
        if written.base != found.revision:
            # The daemon refuses too; asking it gives the list of what changed.
            remote.check(written.base, {}, {})
        if self.option("dry-run"):
            remote.check(written.base, found.document, written.document)
            self.line("good")
            return 0
        return self._apply(remote, found.document, written)

    def _apply(self, remote: Remote, before: dict[str, Any], written: documents.Written) -> int:
        assert written.base is not None
        if not patches.diff(before, written.document):
            self.line("nothing to change")
            return 0
        answer = remote.change(written.base, before, written.document, self.option("note"))
        if self.option("json"):
            self.line(msgspec.json.encode(answer).decode())
        else:
            count = len(answer.in_force) + len(answer.not_yet)
            self.line(f"kept as revision {answer.revision}")
            self.line(f"in force on {len(answer.in_force)} of {count} daemons")
        if answer.not_yet:
            self.line_error(f"not yet on: {', '.join(answer.not_yet)}")
            return NOT_YET
        return 0


class SettingsInit(RemoteCommand):
    """Write the very first revision straight to the platform."""

    name = "settings init"
    description = "Write the first revision to an empty platform."
    help = "  bayglade settings init tree.yaml --platform 10.0.0.5:7000"
    arguments: ClassVar[list[Argument]] = [argument("file", "A YAML file of the whole tree.")]
    options: ClassVar[list[Option]] = [
        option("platform", "p", "The platform's address.", flag=False, value_required=True),
    ]

    def work(self) -> int:
        """Write the first revision."""
        written = documents.read(_read_file(self.argument("file")))
        revisions = Revisions(create_platform(self.option("platform") or ""), _ignore)
        change = Change(
            id=ChangeId(secrets.token_hex(16)),
            base=Revision(0),
            patch=written.document,
            note="first revision",
        )
        after = revisions.accept(change, Author("init", GroupPath(""), ""))
        self.line(f"kept as revision {after.revision}")
        return 0


class SettingsExplain(RemoteCommand):
    """Tell which level of the tree a value comes from."""

    name = "settings explain"
    description = "Tell which level a value comes from."
    help = "  bayglade settings explain khangai/gates limits.in_flight"
    arguments: ClassVar[list[Argument]] = [
        argument("group", "A group, names joined by '/'."),
        argument("field", "share, priority, deadline_seconds, limits.NAME or versions.MODEL."),
    ]

    def work(self) -> int:
        """Explain a value."""
        found = self.remote().explain(self.argument("group"), self.argument("field"))
        level = "the default" if found.level is None else f"level {found.level or 'root'!r}"
        rows = [[found.group, found.field, _text(found.value), level]]
        return self.show(found, ["group", "field", "value", "from"], rows)


class Audit(RemoteCommand):
    """Show the newest accepted changes."""

    name = "audit"
    description = "Show the newest changes: who, when, from where, what."
    help = "  bayglade audit --count 50 --json"
    options: ClassVar[list[Option]] = [
        ADDRESS,
        JSON,
        option("count", "c", "How many changes.", flag=False, default="20"),
    ]

    def work(self) -> int:
        """Show the changes."""
        entries = self.remote().audit(int(self.option("count")))
        rows = [
            [
                str(entry.revision),
                time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.at)),
                entry.operator,
                entry.address,
                ", ".join(".".join(path) for path in patches.touched(entry.patch)),
                entry.note,
            ]
            for entry in entries
        ]
        return self.show(entries, ["revision", "at (UTC)", "operator", "from", "fields", "note"], rows)


class SettingsHistory(Audit):
    """Show the revisions of the settings, the newest first."""

    name = "settings history"
    description = "Show the newest revisions; the same rows as `audit`."
    help = "  bayglade settings history"


class Status(RemoteCommand):
    """Show how a daemon and the others that it hears stand."""

    name = "status"
    description = "Show how a daemon stands."
    help = "  bayglade status --address 10.0.0.7:8080"

    def work(self) -> int:
        """Show the status."""
        found = self.remote().status()
        own = "draining" if found.draining else "ready" if found.ready else "not ready"
        rows = [[found.member, own, str(found.revision), str(found.in_flight), str(found.waiting)]]
        for member in found.members:
            state = "draining" if member.draining else "live" if member.live else "silent"
            rows.append([member.member, state, str(member.revision), "", ""])
        return self.show(found, ["daemon", "state", "revision", "in flight", "waiting"], rows)


class Backends(RemoteCommand):
    """Show the backend servers as a daemon sees them."""

    name = "backends"
    description = "Show the backend servers."
    help = "  bayglade backends --json"

    def work(self) -> int:
        """Show the backend servers."""
        found = self.remote().backends()
        rows = [
            [
                b.backend,
                f"{b.model} {b.version}",
                f"[{b.first}, {b.last})",
                b.hall,
                b.state,
                f"{b.in_flight}/{b.limit}",
            ]
            for b in found
        ]
        return self.show(
            found, ["backend", "model", "layers", "data hall", "state", "in flight/limit"], rows
        )


class Groups(RemoteCommand):
    """Show the recent service of groups."""

    name = "groups"
    description = "Show groups: share, priority, tokens a second, in flight."
    help = "  bayglade groups"

    def work(self) -> int:
        """Show the groups."""
        found = self.remote().groups()
        rows = [
            [
                g.group or "(root)",
                _text(g.share),
                str(g.priority),
                _text(g.tokens_per_second),
                str(g.in_flight),
            ]
            for g in found
        ]
        return self.show(found, ["group", "share", "priority", "tokens/s", "in flight here"], rows)


class Load(Command):
    """Send completions at a set rate and print what came of it."""

    name = "load"
    description = "Send load to daemons, open loop, and measure."
    help = "  BAYGLADE_KEY=... bayglade load --address 127.0.0.1:8080 --rate 50 --seconds 10"
    options: ClassVar[list[Option]] = [
        option("address", "a", "A daemon's address; may be repeated.", flag=False, multiple=True),
        option("rate", "r", "Requests a second.", flag=False, default="10"),
        option("seconds", "s", "How long to send.", flag=False, default="10"),
        option("tokens", "t", "Tokens a request.", flag=False, default="16"),
        option("model", "m", "The model.", flag=False, default="guide"),
        option("service", None, "Call a plain service instead: NAME/PATH.", flag=False),
        option("deadline", "d", "Seconds a request may take.", flag=False, default="10"),
        option("trace", None, "File for one line a request.", flag=False),
        option("seed", None, "Seed of the arrivals.", flag=False, default="1"),
        JSON,
    ]

    def handle(self) -> int:
        """Run the load."""
        from bayglade import loads

        plan = loads.Plan(
            addresses=self.option("address") or [DEFAULT_ADDRESS],
            key=os.environ.get(KEY_VARIABLE, ""),
            model=self.option("model"),
            service=self.option("service"),
            trace=self.option("trace"),
            rate=float(self.option("rate")),
            seconds=float(self.option("seconds")),
            max_tokens=int(self.option("tokens")),
            deadline=float(self.option("deadline")),
            seed=int(self.option("seed")),
        )
        result = loads.run(plan)
        if self.option("json"):
            self.line(msgspec.json.encode(result).decode())
            return 0
        self.line(f"sent {result.sent}, good {result.good}, errors {result.errors}")
        self.line(f"{result.good / result.seconds:.1f} good/s, {result.tokens_per_second:.0f} tokens/s")
        for name in ("first_token", "token_gap", "whole"):
            found: loads.Latencies = getattr(result, name)
            self.line(f"{name:<12} p50 {found.p50:.2f} p95 {found.p95:.2f} p99 {found.p99:.2f} ms")
        return 0


class NewKey(Command):
    """Make a key and the digest that goes into the settings."""

    name = "key"
    description = "Make a new key for an account or an operator."
    help = "  bayglade key"

    def handle(self) -> int:
        """Make a key."""
        key = secrets.token_urlsafe(32)
        self.line(f"key         {key}")
        self.line(f"key_sha256  {sha256(key.encode()).hexdigest()}")
        return 0


class Entry(Command):
    """Names the daemon among the commands; the program runs it before this library loads."""

    name = "entry"
    description = "Run the entry daemon."
    help = "  bayglade entry --config entry.yaml"
    options: ClassVar[list[Option]] = [
        option("config", "c", "The daemon's own settings, a YAML file.", flag=False),
    ]

    def handle(self) -> int:
        """Never reached: see :func:`bayglade.cli.main`."""
        raise NotImplementedError


class ShowVersion(Command):
    """Print the version."""

    name = "version"
    description = "Print the version."

    def handle(self) -> int:
        """Print the version."""
        self.line(f"{__title__} {__version__}")
        return 0


def create_application() -> Application:
    """Build the command line program."""
    application = Application(__title__, __version__)
    for command in _commands():
        application.add(command)
    return application


def _commands() -> list[Command]:
    return [
        Entry(),
        ShowVersion(),
        SettingsShow(),
        SettingsCheck(),
        SettingsDiff(),
        SettingsApply(),
        SettingsInit(),
        SettingsHistory(),
        SettingsExplain(),
        Audit(),
        Status(),
        Backends(),
        Groups(),
        Load(),
        NewKey(),
    ]


def _read_file(name: str) -> str:
    try:
        return Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings(f"cannot read {name}: {error}", step="read") from error


def _patch_rows(document: dict[str, Any], patch: dict[str, Any]) -> list[list[str]]:
    rows = []
    for path in patches.touched(patch):
        old: Any = document
        new: Any = patch
        for name in path:
            old = old.get(name) if isinstance(old, dict) else None
            new = new.get(name) if isinstance(new, dict) else None
        rows.append([".".join(path), _text(old), _text(new)])
    return rows


def _text(value: object) -> str:
    return "-" if value is None else str(value)


def _ignore(_: Current) -> None:
    """Take no notice of a revision: this program only writes it."""
