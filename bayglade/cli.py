"""The program ``bayglade``: the daemon and the commands of operators."""

import os
import sys
import warnings
from pathlib import Path
from typing import ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from bayglade.__version__ import __title__, __version__

GREEN_COMMANDS = (["entry"], ["load"])
"""Commands that serve many connections at once."""


class Entry(Command):
    """Run the entry daemon until it is told to stop."""

    name = "entry"
    description = "Run the entry daemon."
    help = "  bayglade entry --config entry.yaml"
    options: ClassVar[list[Option]] = [
        option("config", "c", "The daemon's own settings, a YAML file.", flag=False),
    ]

    def handle(self) -> int:
        """Run the daemon."""
        from bayglade.config import load_config
        from bayglade.daemon import create_daemon
        from bayglade.exceptions import BaygladeError

        try:
            daemon = create_daemon(load_config(Path(self.option("config") or "entry.yaml")))
            daemon.run()
        except (BaygladeError, OSError) as error:
            self.line_error(f"<error>{error}</error>")
            return 1
        return 0


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
    from bayglade.operators.commands import commands

    application = Application(__title__, __version__)
    application.add(Entry())
    application.add(ShowVersion())
    for command in commands():
        application.add(command)
    return application


def main() -> None:
    """Run the program; the green commands get green sockets before anything is imported."""
    # The library says at import that it only mends bugs by now (docs/design/clashes.md).
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    if sys.argv[1:2] in GREEN_COMMANDS:
        # Addresses are IP numbers: green name look-ups would cost 12 MB for nothing.
        os.environ["EVENTLET_NO_GREENDNS"] = "yes"
        _patch()
    sys.exit(create_application().run())


def _patch() -> None:
    import eventlet

    eventlet.monkey_patch()
