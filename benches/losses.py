"""Where a day's worth is lost: a table that adds up, by second and by cause, and a plot.

Run as ``python -m benches.losses REPORT LOG [--plot FILE]``, where REPORT is what the users' bench
wrote with ``--report`` and LOG its output with ``--log all``. What became of requests is the bench's
word; why answers were late, and why requests failed here, is read from the daemons' logs.
"""

import argparse
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from benches.account import Loss, Share, account, sum_by
from benches.common import print_table

WINDOW_SECONDS = 2
"""Length of the bench's windows."""
REASON = 60
"""Longest reason that is shown of an error, in characters."""


class Trouble(msgspec.Struct):
    """Something that was done to the site."""

    at_s: float
    to_s: float
    kind: str
    what: str


class Report(msgspec.Struct):
    """The parts of a report that are used here."""

    classes: list[Share]
    zones: list[Share]
    windows: list[Share]
    events: list[Trouble]
    worth: float = msgspec.field(name="G")
    parts: list[tuple[str, float, float]]
    """Name, weight and value."""

    prices: list[tuple[str, float, float]]
    """Name, amount and cost."""


class Line(msgspec.Struct):
    """A log line of a daemon, as far as it is used here."""

    event: str
    request: str = ""
    error: str = ""
    first: float = 0.0
    gap: float = 0.0
    path: str | None = None


class Causes(msgspec.Struct):
    """What the daemons say of each window; requests are counted in the window in which they ended."""

    late_begin: Counter[int] = msgspec.field(default_factory=Counter)
    late_pause: Counter[int] = msgspec.field(default_factory=Counter)
    errors: dict[str, Counter[int]] = {}
    in_flight: Counter[int] = msgspec.field(default_factory=Counter)


def read_log(path: Path) -> Iterator[tuple[float, Line]]:
    """Read the daemons' lines out of the bench's output, with the day's seconds."""
    for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
        at, brace, rest = text.partition("{")
        if brace and at.split():
            try:
                yield float(at.split()[0]), msgspec.json.decode("{" + rest, type=Line)
            except (ValueError, msgspec.DecodeError):
                # Not a line of a daemon, or one that was cut off.
                continue


def read_causes(path: Path, aim: float, gap_aim: float) -> Causes:
    """Find out why answers were late or failed.

    :param path: the bench's output with the daemons' logs.
    :param aim: seconds to the first event of a good answer.
    :param gap_aim: longest pause of a good answer, in seconds.
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
    """Return the words of an error without the ids in it."""
    return error.rpartition("outcome=")[2].rstrip(">")[:REASON]


def print_losses(report: Report, causes: Causes) -> None:
    """Print what became of requests by window, class and hall, then the daemons' reasons."""
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
        "what daemons say, by the second at which requests ended",
        ["cause", "all", "second:count"],
        [
            [name, counts.total(), " ".join(f"{w}:{counts[w]}" for w in windows if counts[w])]
            for name, counts in columns.items()
        ],
    )


def print_account(report: Report, causes: Causes) -> None:
    """Print where the day's worth was lost, by cause and by second."""

    def late(where: str) -> dict[str, float]:
        if not where.isdigit():
            return {}
        window = int(where)
        return {
            name: counts[window]
            for name, counts in (("late begin", causes.late_begin), ("late pause", causes.late_pause))
            if counts[window]
        }

    lines = account(report.parts, report.prices, report.windows, report.classes, late)
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
    """Draw what became of requests by second, with the troubles marked."""
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
    for number, trouble in enumerate(report.events):
        level = max(bottom) * (1.03 + 0.045 * number)
        axes.plot([trouble.at_s, trouble.to_s], [level, level], color="slateblue")
        axes.text(trouble.at_s, level, f"{trouble.kind} {trouble.what}"[:50], fontsize=6, va="bottom")
    axes.set_xlabel("second")
    axes.set_ylabel(f"requests in {WINDOW_SECONDS} s")
    axes.legend(loc="center right", fontsize=7)
    figure.savefig(path, dpi=110, bbox_inches="tight")


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(prog="benches.losses", description=__doc__)
    parser.add_argument("report", type=Path, help="what the bench wrote with --report")
    parser.add_argument("log", type=Path, help="the bench's output with --log all")
    parser.add_argument("--aim", type=float, default=0.5, help="seconds to the first event (0.5)")
    parser.add_argument("--gap-aim", type=float, default=0.25, help="longest good pause (0.25)")
    parser.add_argument("--plot", type=Path, help="draw into this file, PNG or SVG")
    arguments = parser.parse_args()
    report = msgspec.json.decode(arguments.report.read_bytes(), type=Report)
    causes = read_causes(arguments.log, arguments.aim, arguments.gap_aim)
    print_losses(report, causes)
    print_account(report, causes)
    if arguments.plot is not None:
        plot(report, causes, arguments.plot)


if __name__ == "__main__":
    main()
