"""The command line program ``bayglade``: runs the daemons and the operators' commands."""

import argparse
import os
import signal
import sys
import warnings
from pathlib import Path

GREEN_SOCKET_COMMANDS = ("entry", "gateway", "load")
"""Commands that serve many connections at once and therefore run on eventlet's green sockets."""


def main() -> None:
    """Run the program, patching the socket module before other imports for commands that need it."""
    # eventlet warns on import that it is in maintenance mode; see docs/design/clashes.md.
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    command, arguments = (sys.argv[1:] or [""])[0], sys.argv[2:]
    if command == "gateway" and arguments:
        # `gateway check` is a separate command, which needs no green sockets.
        command = "gateway check"
    if command == "gateway":
        # Told to reload while it starts, it would end: that is what the signal does by default. It notices
        # changes of its settings file by itself too.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if command in GREEN_SOCKET_COMMANDS:
        # Addresses are IP literals; eventlet's green DNS resolver would take 12 MB and never be used.
        os.environ["EVENTLET_NO_GREENDNS"] = "yes"
        _monkey_patch()
    if command == "entry":
        # Daemons parse their arguments themselves: the command line library would take 4 MB of memory.
        sys.exit(run_entry(arguments))
    if command == "gateway":
        sys.exit(run_gateway())
    from bayglade.commands import create_application

    sys.exit(create_application().run())


def run_entry(arguments: list[str]) -> int:
    """Run the entry daemon until a termination signal.

    :param arguments: the arguments after ``bayglade entry``.
    :return: the exit code.
    """
    from bayglade.config import load_config
    from bayglade.daemon import create_daemon
    from bayglade.exceptions import BaygladeError

    parser = argparse.ArgumentParser(prog="bayglade entry", description="Run the entry daemon.")
    parser.add_argument(
        "-c", "--config", type=Path, required=True, help="settings file of the daemon (YAML)"
    )
    try:
        create_daemon(load_config(parser.parse_args(arguments).config)).run()
    except (BaygladeError, OSError) as error:
        print(f"bayglade entry: {error}", file=sys.stderr)
        return 1
    return 0


def run_gateway() -> int:
    """Run the daemon on the users' platform until a termination signal.

    :return: the exit code.
    """
    from bayglade.exceptions import BaygladeError
    from bayglade.gateway import create_gateway
    from bayglade.platform import settings_path

    try:
        create_gateway(settings_path(dict(os.environ))).run()
    except (BaygladeError, OSError) as error:
        print(f"bayglade gateway: {error}", file=sys.stderr)
        return 1
    return 0


def _monkey_patch() -> None:
    import eventlet

    eventlet.monkey_patch()
