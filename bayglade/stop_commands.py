"""Commands that list stopped requests and allow one to run again."""

from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bayglade.exceptions import BaygladeError
from bayglade.ids import Fingerprint

STORE = option("store", "s", "Address of the platform's store.", flag=False, default="127.0.0.1:7000")


class StopsList(Command):
    """List the requests that daemons refuse to run."""

    name = "stops list"
    description = "List the requests that are stopped because servers ended each time that they ran."
    help = "  bayglade stops list --store 10.0.0.5:7000"
    options: ClassVar[list[Option]] = [STORE]

    def handle(self) -> int:
        """Read the rows and print them."""
        from bayglade import platform
        from bayglade.config import parse_address
        from bayglade.stops import read_stops

        try:
            store = platform.Store(parse_address(self.option("store")))
            found = read_stops(store.snapshot(platform.MEMBERS_TABLE).rows)
        except BaygladeError as error:
            self.line_error(error.message, style="error")
            return 1
        for content, row in sorted(found.items()):
            if row is not None:
                ends = " ".join(sorted(crash.backend for crash in row.crashes()))
                self.line(f"{content} {row.subject.value} {ends}")
        return 0


class StopsLift(Command):
    """Allow a stopped request to run again."""

    name = "stops lift"
    description = "Lift the stop of a request, so that all daemons send it again."
    help = "  bayglade stops lift 9fa537c94997f0d1 --store 10.0.0.5:7000"
    arguments: ClassVar[list[Argument]] = [
        argument("content", "Fingerprint of the request, as shown in logs and in the list.")
    ]
    options: ClassVar[list[Option]] = [STORE]

    def handle(self) -> int:
        """Remove the row of the request."""
        from bayglade import platform
        from bayglade.config import parse_address
        from bayglade.epochs import EpochGuardedTable, StoreHistory
        from bayglade.stops import remove_stop

        content = Fingerprint(self.argument("content"))
        try:
            history = StoreHistory()
            store = platform.Store(parse_address(self.option("store")), on_epoch=history.observe)
            removed = remove_stop(EpochGuardedTable(store, history), content)
        except BaygladeError as error:
            self.line_error(error.message, style="error")
            return 1
        if not removed:
            self.line_error(f"{content} is not stopped, or its row has just changed", style="error")
            return 1
        self.line(f"{content} may run again")
        return 0
