"""Commands that explain a refusal, and show the demand for services and what is done about it."""

from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import ClassVar
from urllib.parse import quote

import msgspec
import urllib3
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bayglade.beliefs import Beliefs, DemandBelief
from bayglade.operators.commands import JSON_OPTION
from bayglade.refusals import Refusal, describe_refusal

REQUEST_SECONDS = 2.0
CONCURRENT_REQUESTS = 16
"""Daemons queried at once, so that a few that do not answer hardly delay the command."""
ADDRESSES = option(
    "address", "a", "Address of a gateway's metrics listener; may be repeated.", flag=False, multiple=True
)
JSON_FIELDS = ("member", "demand", "coverage", "layout")
HEADERS = (
    "service",
    "urgency",
    "waiting",
    "returning",
    "offered/s",
    "admitted/s",
    "refused/s",
    "finished/s",
    "admission",
    "forecast s",
)


class Why(Command):
    """Explain why a request was refused."""

    name = "why"
    description = "Explain why gateways refused a request, and what its caller was told."
    help = "  bayglade why 490b63b950d1e675 --address 10.1.0.40:9464 --address 10.1.0.41:9464"
    arguments: ClassVar[list[Argument]] = [argument("request", "The request id, as in the logs.")]
    options: ClassVar[list[Option]] = [ADDRESSES, JSON_OPTION]

    def handle(self) -> int:
        """Ask each gateway and print the refusals that they remember."""
        path = f"/refusals/{quote(self.argument('request'), safe='')}"
        bodies, errors = fetch_all(self.option("address"), path)
        for error in errors:
            self.line_error(error, style="error")
        if not bodies:
            self.line_error("none of the gateways that answered remembers a refusal", style="error")
            return 1
        for body in bodies:
            if self.option("json"):
                self.line(body.decode())
                continue
            for line in describe_refusal(msgspec.json.decode(body, type=Refusal)):
                self.line(line)
        return 0


class Pressure(Command):
    """Show the demand for each service by urgency."""

    name = "pressure"
    description = "Show demand by service and urgency, admission, forecast, layout steps and coverage."
    help = "  bayglade pressure --address 10.1.0.40:9464"
    options: ClassVar[list[Option]] = [ADDRESSES, JSON_OPTION]

    def handle(self) -> int:
        """Fetch the view of each gateway and print them as one."""
        if not (views := fetch_views(self)):
            return 1
        if self.option("json"):
            chosen = [{name: getattr(v, name) for name in JSON_FIELDS} for v in views]
            self.line(msgspec.json.encode(chosen).decode())
            return 0
        for line in describe_pressure(views):
            self.line(line)
        return 0


def fetch_views(command: Command) -> list[Beliefs]:
    """Fetch the views of the gateways whose addresses a command was given, and print which failed.

    :param command: a command with :data:`ADDRESSES` among its options.
    """
    bodies, errors = fetch_all(command.option("address"), "/beliefs")
    for error in errors:
        command.line_error(error, style="error")
    if not bodies:
        command.line_error("no gateway answered", style="error")
    return [msgspec.json.decode(body, type=Beliefs) for body in bodies]


def fetch_all(addresses: Sequence[str], path: str) -> tuple[list[bytes], list[str]]:
    """Fetch a path from the metrics listeners of daemons.

    :param addresses: addresses of the listeners.
    :param path: the path.
    :return: the bodies found, and messages on daemons that could not be queried. A daemon that has
        nothing under the path adds to neither.
    """
    bodies, errors = [], []
    with ThreadPoolExecutor(CONCURRENT_REQUESTS) as pool:
        for body, error in pool.map(lambda address: _fetch(address, path), addresses):
            bodies += [body] if body is not None else []
            errors += [error] if error is not None else []
    return bodies, errors


def _fetch(address: str, path: str) -> tuple[bytes | None, str | None]:
    try:
        response = urllib3.request("GET", f"http://{address}{path}", timeout=REQUEST_SECONDS, retries=False)
    except urllib3.exceptions.HTTPError as error:
        return None, f"cannot reach {address}: {error}"
    if response.status == 200:
        return response.data, None
    return None, None if response.status == 404 else f"{address} answered {response.status}"


def describe_pressure(views: Sequence[Beliefs]) -> list[str]:
    """Return lines that show demand and what is done about it.

    All daemons know about the same demand, so that of the first view is shown. Admission and forecast are
    each daemon's own: the lowest and the highest are shown.

    :param views: the views of daemons, at least one.
    """
    rows = [HEADERS, *(_demand_row(line, views) for line in views[0].demand)]
    widths = [max(len(row[i]) for row in rows) for i in range(len(HEADERS))]
    lines = ["  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
    if not views[0].demand:
        lines = ["no demand in the last seconds"]
    under_way = sum(view.layout.orders_under_way for view in views)
    missing = max(view.layout.missing_layers for view in views)
    lines.append(f"layout orders under way: {under_way}; layers without a holder: {missing}")
    for name in sorted({line.service for view in views for line in view.coverage}):
        told = [line.seconds for view in views for line in view.coverage if line.service == name]
        known = [seconds for seconds in told if seconds is not None]
        state = "not known" if not known else "now" if max(known) == 0 else f"in {max(known):g} s"
        lines.append(f"{name} covered: {state}")
    return [*lines, f"as seen by {views[0].member}, of {len(views)} asked"]


def _demand_row(line: DemandBelief, views: Sequence[Beliefs]) -> tuple[str, ...]:
    same = [
        other
        for view in views
        for other in view.demand
        if (other.service, other.urgency) == (line.service, line.urgency)
    ]
    numbers = (line.waiting, line.returning, line.offered, line.admitted, line.refused, line.finished)
    return (
        line.service,
        str(line.urgency),
        *(f"{number:g}" for number in numbers),
        _range([other.admission for other in same], lambda value: f"{value:.0%}"),
        _range([other.forecast_seconds for other in same], lambda value: f"{value:.2f}"),
    )


def _range(values: Sequence[float | None], form: Callable[[float], str]) -> str:
    known = [value for value in values if value is not None]
    if not known:
        return "-"
    least, greatest = form(min(known)), form(max(known))
    return least if least == greatest else f"{least}..{greatest}"
