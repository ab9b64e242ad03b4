"""Losses in the score ("worth") of a benchmark day: tables by second and by cause, and a plot.

Run as ``python -m benches.losses REPORT LOG [--plot FILE]``, where REPORT is the file that the users'
benchmark wrote with ``--report`` and LOG its output with ``--log all``. The outcomes of requests come
from the report; the causes of late answers and failures come from the daemons' logs.
"""

import argparse
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from benches.account import Loss, Outcomes, attribute_losses, sum_by
from benches.common import print_table

WINDOW_SECONDS = 2
"""Length of the windows in the report."""
MAX_REASON_LENGTH = 60
"""Length to which the reasons of errors are cut, in characters."""


class InjectedFault(msgspec.Struct):
    """A fault that the benchmark injected."""

    at_s: float
    to_s: float
    kind: str
    what: str


class Report(msgspec.Struct):
    """The fields of the report that are used here."""

    classes: list[Outcomes]
    zones: list[Outcomes]
    windows: list[Outcomes]
    events: list[InjectedFault]
    worth: float = msgspec.field(name="G")
    parts: list[tuple[str, float, float]]
    """Name, weight and value."""

    prices: list[tuple[str, float, float]]
    """Name, amount and cost."""


class Line(msgspec.Struct):
    """The fields of a daemon's log line that are used here."""

    event: str
    request: str = ""
    error: str = ""
    first: float = 0.0
    gap: float = 0.0
    path: str | None = None


class Causes(msgspec.Struct):
    """Causes from the daemons' logs by window; requests count in the window in which they ended."""

    late_begin: Counter[int] = msgspec.field(default_factory=Counter)
    late_pause: Counter[int] = msgspec.field(default_factory=Counter)
    errors: dict[str, Counter[int]] = {}
    in_flight: Counter[int] = msgspec.field(default_factory=Counter)


def read_log(path: Path) -> Iterator[tuple[float, Line]]:
    """Read the daemons' log lines from the benchmark's output, with the second of the day of each."""
    for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
        at, brace, rest = text.partition("{")
        if brace and at.split():
            try:
                yield float(at.split()[0]), msgspec.json.decode("{" + rest, type=Line)
            except (ValueError, msgspec.DecodeError):
                # Not a line of a daemon, or a truncated one.
                continue


def read_causes(path: Path, aim: float, gap_aim: float) -> Causes:
    """Read why answers were late or failed.

    :param path: the benchmark's output with the daemons' logs.
    :param aim: target for the time to the first event, in seconds.
    :param gap_aim: target for the longest gap between events, in seconds.
    """
    causes = Causes()
    begun: dict[str, int] = {}
    for at, line in read_log(path):
        window = int(at) // WINDOW_SECONDS * WINDOW_SECONDS
        if line.event == "sent" and line.path:
            begun.setdefault(line.request, window)
        elif line.event in ("answered", "request failed"):
            since = begun.pop(line.request, None)
            if since is not None:
                causes.in_flight.update(range(since, window + 1, WINDOW_SECONDS))
        if line.event == "answered":
            causes.late_begin[window] += line.first > aim
            causes.late_pause[window] += line.first <= aim and line.gap > gap_aim
        elif line.event == "request failed":
            causes.errors.setdefault(_reason(line.error), Counter())[window] += 1
    return causes


def _reason(error: str) -> str:
    """Return the text of an error without its ids."""
    return error.rpartition("outcome=")[2].rstrip(">")[:MAX_REASON_LENGTH]


def print_losses(report: Report, causes: Causes) -> None:
    """Print the outcomes of requests by window, class and hall, then the causes from the logs."""
    header = ["of", "asked", "in aim", "late", "refused", "failed", "not owed", "credit"]
    for title, shares in (("second", report.windows), ("class", report.classes), ("hall", report.zones)):
        counts = [[s.n, s.in_aim, s.late, s.refused, s.failed, s.not_owed] for s in shares]
        rows = [[s.name, *row, f"{s.worth:.3f}"] for s, row in zip(shares, counts, strict=True)]
        sums = [sum(column) for column in zip(*counts, strict=True)]
        print_table(f"by {title}", header, [*rows, ["all", *sums, ""]])
    windows = [int(share.name) for share in report.windows]
    reasons = sorted(causes.errors, key=lambda reason: -causes.errors[reason].total())
    columns = {
        "late begin": causes.late_begin,
        "late pause": causes.late_pause,
        **{reason: causes.errors[reason] for reason in reasons},
    }
    print_table(
        "causes from the daemons' logs, by the second at which requests ended",
        ["cause", "all", "second:count"],
        [
            [name, counts.total(), " ".join(f"{w}:{counts[w]}" for w in windows if counts[w])]
            for name, counts in columns.items()
        ],
    )


def print_attribution(report: Report, causes: Causes) -> None:
    """Print the losses of the day by cause, and by second or class."""

    def late(where: str) -> dict[str, float]:
        if not where.isdigit():
            return {}
        window = int(where)
        return {
            name: counts[window]
            for name, counts in (("late begin", causes.late_begin), ("late pause", causes.late_pause))
            if counts[window]
        }

    lines = attribute_losses(report.parts, report.prices, report.windows, report.classes, late)
    names = [name for name, _, _ in report.parts] + ["price"]
    _print_sums("lost, by cause", lines, names, lambda line: line.cause)
    _print_sums("lost, by second or class", lines, names, lambda line: line.where)
    total = sum(line.amount for line in lines)
    print(f"\nall lines {total:.4f}, 1 minus the worth {1 - report.worth:.4f}")


def _print_sums(title: str, lines: list[Loss], parts: list[str], key: Callable[[Loss], str]) -> None:
    by_part = {part: sum_by([line for line in lines if line.part == part], key) for part in parts}
    rows = [
        [name, f"{amount:.4f}", *(f"{by_part[part][name]:.4f}" for part in parts)]
        for name, amount in sum_by(lines, key).most_common()
    ]
    print_table(title, ["of", "all", *parts], rows)


def plot(report: Report, causes: Causes, path: Path) -> None:
    """Plot the outcomes of requests by second, with the injected faults marked."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(13, 6))
    at = [int(share.name) for share in report.windows]
    bottom = [0] * len(at)
    for name, colour in (
        ("in_aim", "seagreen"),
        ("late", "gold"),
        ("refused", "orangered"),
        ("failed", "darkred"),
        ("not_owed", "lightgrey"),
    ):
        heights = [getattr(share, name) for share in report.windows]
        axes.bar(at, heights, WINDOW_SECONDS * 0.9, bottom, align="edge", color=colour, label=name)
        bottom = [low + height for low, height in zip(bottom, heights, strict=True)]
    axes.plot(at, [causes.in_flight[w] for w in at], color="black", label="in flight, streams")
    for number, fault in enumerate(report.events):
        level = max(bottom) * (1.03 + 0.045 * number)
        axes.plot([fault.at_s, fault.to_s], [level, level], color="slateblue")
        axes.text(fault.at_s, level, f"{fault.kind} {fault.what}"[:50], fontsize=6, va="bottom")
    axes.set_xlabel("second")
    axes.set_ylabel(f"requests in {WINDOW_SECONDS} s")
    axes.legend(loc="center right", fontsize=7)
    figure.savefig(path, dpi=110, bbox_inches="tight")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="benches.losses", description=__doc__)
    parser.add_argument("report", type=Path, help="file that the benchmark wrote with --report")
    parser.add_argument("log", type=Path, help="output of the benchmark with --log all")
    parser.add_argument("--aim", type=float, default=0.5, help="target seconds to the first event (0.5)")
    parser.add_argument(
        "--gap-aim", type=float, default=0.25, help="target for the longest gap, in seconds (0.25)"
    )
    parser.add_argument("--plot", type=Path, help="write a plot to this file, PNG or SVG")
    arguments = parser.parse_args()
    report = msgspec.json.decode(arguments.report.read_bytes(), type=Report)
    causes = read_causes(arguments.log, arguments.aim, arguments.gap_aim)
    print_losses(report, causes)
    print_attribution(report, causes)
    if arguments.plot is not None:
        plot(report, causes, arguments.plot)


if __name__ == "__main__":
    main()
