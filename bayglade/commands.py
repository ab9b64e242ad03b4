"""The list of all commands, and the commands that need no operator key."""

import os
import secrets
from hashlib import sha256
from pathlib import Path
from typing import ClassVar

import msgspec
import urllib3
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bayglade.__version__ import __title__, __version__
from bayglade.beliefs import Beliefs
from bayglade.exceptions import BaygladeError
from bayglade.operators import changes, commands
from bayglade.operators.commands import DEFAULT_ADDRESS, JSON_OPTION, KEY_VARIABLE
from bayglade.pressure_commands import Pressure, Why
from bayglade.retry_commands import Retries
from bayglade.stop_commands import StopsLift, StopsList


class Load(Command):
    """Send completions at a fixed rate and print the results."""

    name = "load"
    description = "Generate open-loop load on daemons and measure the results."
    help = "  BAYGLADE_KEY=... bayglade load --address 127.0.0.1:8080 --rate 50 --seconds 10"
    options: ClassVar[list[Option]] = [
        option("address", "a", "Address of a daemon; may be repeated.", flag=False, multiple=True),
        option("rate", "r", "Requests per second.", flag=False, default="10"),
        option("seconds", "s", "Duration of the run in seconds.", flag=False, default="10"),
        option("tokens", "t", "Tokens per request.", flag=False, default="16"),
        option("model", "m", "Name of the model.", flag=False, default="guide"),
        option("service", None, "Call a plain service instead, given as NAME/PATH.", flag=False),
        option("deadline", "d", "Deadline of a request in seconds.", flag=False, default="10"),
        option("trace", None, "File to write one line per request to.", flag=False),
        option("seed", None, "Random seed of the arrival times.", flag=False, default="1"),
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Run the load and print the results."""
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
            latencies: loads.Latencies = getattr(result, name)
            self.line(
                f"{name:<12} p50 {latencies.p50:.2f} p95 {latencies.p95:.2f} p99 {latencies.p99:.2f} ms"
            )
        return 0


class GenerateKey(Command):
    """Generate a key, and its digest for the settings."""

    name = "key"
    description = "Generate a new key for a client account or an operator."
    help = "  bayglade key"

    def handle(self) -> int:
        """Generate and print a key."""
        key = secrets.token_urlsafe(32)
        self.line(f"key         {key}")
        self.line(f"key_sha256  {sha256(key.encode()).hexdigest()}")
        return 0


class Entry(Command):
    """Lists ``entry`` in the help; :mod:`bayglade.cli` runs it without this library."""

    name = "entry"
    description = "Run the entry daemon."
    help = "  bayglade entry --config entry.yaml"
    options: ClassVar[list[Option]] = [
        option("config", "c", "The daemon's settings file (YAML).", flag=False),
    ]

    def handle(self) -> int:
        """Never called; see :func:`bayglade.cli.main`."""
        raise NotImplementedError


class Gateway(Command):
    """Lists ``gateway`` in the help; :mod:`bayglade.cli` runs it without this library."""

    name = "gateway"
    description = "Run the daemon on the users' platform."
    help = "  bayglade gateway"

    def handle(self) -> int:
        """Never called; see :func:`bayglade.cli.main`."""
        raise NotImplementedError


class GatewayCheck(Command):
    """Validate the settings file of a gateway."""

    name = "gateway check"
    description = "Validate the settings file of a gateway."
    help = "  bayglade gateway check gateway.yaml"
    arguments: ClassVar[list[Argument]] = [
        argument("file", "The settings file, filled in by the platform.")
    ]

    def handle(self) -> int:
        """Validate the file and print its settings."""
        from bayglade.config import load_gateway_config

        try:
            config = load_gateway_config(Path(self.argument("file")))
        except BaygladeError as error:
            self.line_error(error.message, style="error")
            return 1
        for field in config.__struct_fields__:
            self.line(f"{field:<22} {getattr(config, field)}")
        return 0


class ShowBeliefs(Command):
    """Show a gateway's current view of settings, servers and paths."""

    name = "beliefs"
    description = "Show a gateway's current view of settings, servers and paths."
    help = "  bayglade beliefs 10.1.0.40:9464"
    arguments: ClassVar[list[Argument]] = [
        argument("address", "Address of the gateway's metrics listener.")
    ]
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def handle(self) -> int:
        """Fetch the gateway's view and print it."""
        try:
            response = urllib3.request("GET", f"http://{self.argument('address')}/beliefs", timeout=2.0)
        except urllib3.exceptions.HTTPError as error:
            self.line_error(f"cannot reach the gateway: {error}", style="error")
            return 1
        if self.option("json"):
            self.line(response.data.decode())
            return 0
        self._print(msgspec.json.decode(response.data, type=Beliefs))
        return 0

    def _print(self, view: Beliefs) -> None:
        state = "draining" if view.draining else "ready" if view.ready else "not ready"
        self.line(f"{view.member} {state}, {view.in_flight} in flight, {view.waiting} waiting")
        self.line(f"settings {view.settings}, {view.settings_age} s old; servers {view.servers_age} s old")
        for table in view.tables:
            epoch = "unknown" if table.epoch is None else table.epoch
            self.line(f"  table {table.table}: epoch {epoch}, version {table.version}, {table.age} s old")
        self.line(f"duty {view.duty}; asks {', '.join(view.asks) or 'the store'}")
        self.line(f"lease {view.lease}; hears {', '.join(view.members) or 'nobody'}")
        for server in view.servers:
            layers = f"[{server.first},{server.last})"
            self.line(f"  {server.backend} {server.hall} {layers:<9} {server.state} {server.in_flight}")
        for stop in view.stopped:
            ends = ", ".join(stop.ends)
            self.line(f"  blocked {stop.content} for {stop.seconds} s: {ends} went down while running it")
        for line in view.demand:
            self.line(
                f"  demand for {line.service} at urgency {line.urgency}: {line.waiting} waiting,"
                f" {line.returning} returning, {line.offered:g} tokens/s offered,"
                f" {line.admitted:g} admitted, {line.refused:g} refused/s, {line.finished:g} finished/s"
            )
        for coverage in view.coverage:
            seconds = "not known" if coverage.seconds is None else f"{coverage.seconds:g} s"
            self.line(f"  {coverage.service} covered in: {seconds}")
        for path in view.paths:
            self.line(
                f"  path in {path.hall}, {path.cost_ms} ms a token, {path.use:.0%} full: {path.route}"
            )


class ShowVersion(Command):
    """Print the version."""

    name = "version"
    description = "Print the version."

    def handle(self) -> int:
        """Print the version."""
        self.line(f"{__title__} {__version__}")
        return 0


def create_application() -> Application:
    """Create the command line application with all commands."""
    application = Application(__title__, __version__)
    for command in _commands():
        application.add(command)
    return application


def _commands() -> list[Command]:
    return [
        Entry(),
        Gateway(),
        GatewayCheck(),
        ShowBeliefs(),
        Why(),
        Pressure(),
        Retries(),
        StopsList(),
        StopsLift(),
        ShowVersion(),
        changes.SettingsShow(),
        changes.SettingsCheck(),
        changes.SettingsDiff(),
        changes.SettingsApply(),
        changes.SettingsInit(),
        changes.SettingsHistory(),
        changes.SettingsExplain(),
        commands.Audit(),
        commands.Status(),
        commands.Backends(),
        commands.Groups(),
        Load(),
        GenerateKey(),
    ]
