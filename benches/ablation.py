"""Ablation study: the effect of each mechanism on the scores of the users' benchmark.

Run as ``python -m benches.ablation --bench PROGRAM --site FILE --scratch FOLDER``.
Each variant runs from a copy of the checkout whose settings disable one mechanism
(:mod:`bayglade.mechanisms`); days, seeds and machine are the same for all variants.
The journal entries of the runs are copied into this checkout.
"""

import argparse
import os
import re
import shutil
import statistics
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from bayglade.mechanisms import Mechanism
from benches.common import print_table

ROOT = Path(__file__).parent.parent
TEMPLATE = Path("deploy/gateway.yaml")
ALL_ON = "all on"
DAYS = ("trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3")
RUN_TIMEOUT = 900
"""Timeout for the run of one day."""

FIGURES = re.compile(r"^(?P<day>\S+)\s+\d+/\d+\s+(?P<score>\S+)\s+(?P<worth>-?\d+\.\d+)", re.MULTILINE)


class BenchRun(msgspec.Struct, frozen=True):
    """A run of the benchmark: one day of a site with one variant."""

    variant: str
    site: Path
    day: str
    seed: int | None


class RunScore(msgspec.Struct, frozen=True):
    """Outcome of a run: its score, or None if it did not finish."""

    play: BenchRun
    worth: float | None


def copy_checkout(variant: str, scratch: Path) -> Path:
    """Copy the files of this checkout, and disable a mechanism in the copy.

    :param variant: the name of a mechanism, or ``all on``.
    :param scratch: the folder for copies.
    :return: the copy, a repository of its own.
    """
    folder = scratch / variant.replace(" ", "-")
    shutil.rmtree(folder, ignore_errors=True)
    listed = _run(["git", "ls-files", "--cached", "--others", "--exclude-standard"], ROOT)
    for name in listed.splitlines():
        if not name.startswith("journal/") and (ROOT / name).is_file():
            (folder / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, folder / name)
    if (ROOT / "target").is_dir():
        # Libraries that an earlier build of the benchmark has installed.
        shutil.copytree(ROOT / "target", folder / "target", dirs_exist_ok=True)
    if variant != ALL_ON:
        template = folder / TEMPLATE
        settings = template.read_text(encoding="utf-8").rstrip().removesuffix("}")
        template.write_text(f'{settings.rstrip()},\n  "without": ["{variant}"]\n}}\n', encoding="utf-8")
    _run(["git", "init", "--quiet"], folder)
    _run(["git", "add", "--all"], folder)
    identity = ["-c", "user.name=ablation", "-c", "user.email=ablation@localhost"]
    _run(["git", *identity, "commit", "--quiet", "--message", variant], folder)
    return folder


def run_day(bench: Path, folder: Path, one: BenchRun) -> RunScore:
    """Run one day, and save the output of the benchmark beside the copy."""
    command = [str(bench), "run", str(one.site), one.day]
    if one.seed is not None:
        command += ["--seed", str(one.seed)]
    command += ["--why", f"trial: ablation, {one.variant}"]
    done = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, timeout=RUN_TIMEOUT, check=False
    )
    log = folder.parent / f"{folder.name}-{one.site.stem}-{one.day}-{one.seed}.txt"
    log.write_text(done.stdout + done.stderr, encoding="utf-8")
    found = FIGURES.search(done.stdout)
    print(f"{one.variant:<14} {one.site.stem} {one.day} {one.seed} {found and found['worth']}", flush=True)
    return RunScore(one, float(found["worth"]) if found is not None else None)


def print_scores(results: Sequence[RunScore], variants: Sequence[str], sites: Sequence[Path]) -> None:
    """Print the mean score of each variant by site, and its mean loss against ``all on``.

    The loss is averaged over pairs of runs with the same day and seed.
    """
    rows = []
    for variant in variants:
        row = [variant]
        for site in sites:
            mine = {(r.play.day, r.play.seed): r.worth for r in results if _matches(r, variant, site)}
            base = {(r.play.day, r.play.seed): r.worth for r in results if _matches(r, ALL_ON, site)}
            pairs = [(mine[k], base[k]) for k in mine if mine[k] is not None and base.get(k) is not None]
            lost = [b - m for m, b in pairs if m is not None and b is not None]
            worths = [w for w in mine.values() if w is not None]
            row += [_mean(worths), _mean(lost), _standard_error(lost), str(len(worths))]
        rows.append(row)
    columns = ["without"]
    for site in sites:
        columns += [site.stem, "worth of it", "standard error", "plays"]
    print_table("Worth of each mechanism", columns, rows)


def main(arguments: Sequence[str]) -> int:
    """Run all variants and print the print_scores."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--site", type=Path, action="append", required=True)
    parser.add_argument("--scratch", type=Path, required=True)
    parser.add_argument("--days", default=",".join(DAYS))
    parser.add_argument("--seeds", default="", help="further seeds besides the day's own, comma-separated")
    parser.add_argument("--without", default=",".join(m.value for m in Mechanism))
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    chosen = parser.parse_args(arguments)
    seeds = [None, *(int(seed) for seed in chosen.seeds.split(",") if seed)]
    variants = [ALL_ON, *(name for name in chosen.without.split(",") if name)]
    sites = [site.resolve() for site in chosen.site]
    folders = {variant: copy_checkout(variant, chosen.scratch.resolve()) for variant in variants}
    for folder in folders.values():
        # Built in advance: concurrent runs of a variant would build the same copy at once.
        _run([str(chosen.bench.resolve()), "build"], folder)
    runs = [
        BenchRun(variant, site, day, seed)
        for site in sites
        for day in chosen.days.split(",")
        for seed in seeds
        for variant in variants
    ]
    with ThreadPoolExecutor(chosen.jobs) as pool:
        results = list(
            pool.map(lambda one: run_day(chosen.bench.resolve(), folders[one.variant], one), runs)
        )
    for folder in folders.values():
        for entry in (folder / "journal").glob("*.json"):
            shutil.copy2(entry, ROOT / "journal" / entry.name)
    print_scores(results, variants, sites)
    return 0


def _matches(result: RunScore, variant: str, site: Path) -> bool:
    return result.play.variant == variant and result.play.site == site


def _mean(figures: Sequence[float]) -> str:
    return f"{statistics.fmean(figures):.3f}" if figures else "-"


def _standard_error(figures: Sequence[float]) -> str:
    return f"{statistics.stdev(figures) / len(figures) ** 0.5:.3f}" if len(figures) > 1 else "-"


def _run(command: Sequence[str], folder: Path) -> str:
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=True).stdout


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
