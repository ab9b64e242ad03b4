"""Base class of the operators' commands, and the commands that show the state of daemons.

Exit codes: 0 success, 1 failure, 3 conflict with another change, 4 invalid
settings, 5 no answer or unknown outcome, 6 change stored but not yet in force
on every daemon.
"""

import os
import time
from collections.abc import Sequence
from typing import ClassVar

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bayglade import patches
from bayglade.exceptions import BaygladeError
from bayglade.operators.client import AdminClient

KEY_VARIABLE = "BAYGLADE_KEY"
ADDRESS_VARIABLE = "BAYGLADE_ADDRESS"
DEFAULT_ADDRESS = "127.0.0.1:8080"
EXIT_CODES = {
    "settings_conflict": 3,
    "invalid_settings": 4,
    "platform_unavailable": 5,
    "platform_answer_lost": 5,
}

ADDRESS_OPTION = option("address", "a", f"A daemon's address (or ${ADDRESS_VARIABLE}).", flag=False)
JSON_OPTION = option("json", "j", "Print JSON.")


class RemoteCommand(Command):
    """A command that sends requests to a daemon; errors are printed and mapped to exit codes."""

    arguments: ClassVar[list[Argument]] = []
    options: ClassVar[list[Option]] = [ADDRESS_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Run the command."""
        try:
            return self.work()
        except BaygladeError as error:
            where = f" (at {error.step}, {error.peer})" if error.step else ""
            self.line_error(f"<error>{error.code}: {error.message}{where}</error>")
            return EXIT_CODES.get(error.code, 1)

    def work(self) -> int:
        """Carry out the command.

        :return: the exit code.
        :raises BaygladeError: if it fails.
        """
        raise NotImplementedError

    def client(self) -> AdminClient:
        """Return a client for the daemon that the option or the environment names."""
        address = self.option("address") or os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
        return AdminClient(address, os.environ.get(KEY_VARIABLE, ""))

    def show(self, value: object, headers: Sequence[str], rows: list[list[str]]) -> int:
        """Print a result as a table, or as JSON with ``--json``.

        :param value: the value to print as JSON.
        :param headers: column names of the table.
        :param rows: cells of the table, by row.
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


class Audit(RemoteCommand):
    """Show the newest entries of the audit trail."""

    name = "audit"
    description = "Show the newest changes: who, when, from where, what."
    help = "  bayglade audit --count 50 --json"
    options: ClassVar[list[Option]] = [
        ADDRESS_OPTION,
        JSON_OPTION,
        option("count", "c", "How many changes.", flag=False, default="20"),
    ]

    def work(self) -> int:
        """Show the changes."""
        entries = self.client().audit(int(self.option("count")))
        rows = [
            [
                str(entry.revision),
                time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.at)),
                entry.operator,
                entry.address,
                ", ".join(".".join(path) for path in patches.touched_paths(entry.patch)),
                entry.note,
            ]
            for entry in entries
        ]
        return self.show(entries, ["revision", "at (UTC)", "operator", "from", "fields", "note"], rows)


class Status(RemoteCommand):
    """Show the state of a daemon and of the other daemons that it knows."""

    name = "status"
    description = "Show the state of a daemon."
    help = "  bayglade status --address 10.0.0.7:8080"

    def work(self) -> int:
        """Show the status."""
        found = self.client().status()
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
        found = self.client().backends()
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
    """Show shares and recent throughput of groups."""

    name = "groups"
    description = "Show groups: share, priority, tokens per second, in flight."
    help = "  bayglade groups"

    def work(self) -> int:
        """Show the groups."""
        found = self.client().groups()
        rows = [
            [
                g.group or "(root)",
                format_cell(g.share),
                str(g.priority),
                format_cell(g.tokens_per_second),
                str(g.in_flight),
            ]
            for g in found
        ]
        return self.show(found, ["group", "share", "priority", "tokens/s", "in flight here"], rows)


def format_cell(value: object) -> str:
    """Format a value as a table cell."""
    return "-" if value is None else str(value)
