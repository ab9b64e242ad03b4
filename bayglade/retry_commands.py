"""The command that shows which daemons have spent the retries of a site."""

from collections.abc import Sequence
from typing import ClassVar

import msgspec
from cleo.commands.command import Command
from cleo.io.inputs.option import Option

from bayglade.beliefs import Beliefs, RetryBelief
from bayglade.ids import MemberId
from bayglade.operators.commands import JSON_OPTION
from bayglade.pressure_commands import ADDRESSES, fetch_views

HEADERS = (
    "service",
    "daemon",
    "used",
    "part",
    "divided by",
    "view s",
    "credit",
    "lent",
    "borrowed",
    "note",
)


class Retries(Command):
    """Show the retries of each daemon to each service."""

    name = "retries"
    description = "Show which gateways have spent the retries of the last seconds, and what they may send."
    help = "  bayglade retries --address 10.1.0.40:9464 --address 10.1.0.41:9464"
    options: ClassVar[list[Option]] = [ADDRESSES, JSON_OPTION]

    def handle(self) -> int:
        """Fetch the view of each gateway and print one line for each service."""
        if not (views := fetch_views(self)):
            return 1
        if self.option("json"):
            chosen = [{"member": view.member, "retries": view.retries} for view in views]
            self.line(msgspec.json.encode(chosen).decode())
            return 0
        for line in describe_retries(views):
            self.line(line)
        return 0


def describe_retries(views: Sequence[Beliefs]) -> list[str]:
    """Return lines that show the retries of each daemon, those that used most first, and their sums.

    :param views: the views of daemons, at least one.
    """
    found = [(belief, view.member) for view in views for belief in view.retries]
    found.sort(key=lambda item: (item[0].service, -item[0].used))
    if not found:
        return [f"no retries in the last seconds, at {len(views)} asked"]
    rows = [HEADERS, *(_row(belief, member) for belief, member in found)]
    widths = [max(len(row[i]) for row in rows) for i in range(len(HEADERS))]
    lines = ["  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
    for service in sorted({belief.service for belief, _ in found}):
        of_service = [belief for belief, _ in found if belief.service == service]
        used, allowed = sum(b.used for b in of_service), sum(b.part for b in of_service)
        credit = sum(b.credit for b in of_service)
        lines.append(f"{service}: {used:.1f} of {allowed:.0f} used, and credit of {credit:.0f}")
    return [*lines, f"as seen by {len(views)} asked"]


def _row(belief: RetryBelief, member: MemberId) -> tuple[str, ...]:
    return (
        belief.service,
        member,
        f"{belief.used:.1f}",
        f"{belief.part:.1f}",
        str(belief.divisor),
        f"{belief.view_age:.1f}",
        f"{belief.credit:.1f}",
        f"{belief.lent:.1f}",
        f"{sum(belief.borrowed.values()):.1f}",
        _note(belief),
    )


def _note(belief: RetryBelief) -> str:
    """Return why a daemon has less than its part; empty if it has all of it."""
    if not belief.part:
        return "no current view of the roster"
    return f"started {belief.counted_seconds:.0f} s ago" if belief.starting else ""
