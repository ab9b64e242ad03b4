"""An account of a day's worth that adds up: what each part of it and each price took, and by which cause.

The worth of a day is a weighted sum of parts (the whole day, its worst windows, its worst class and so on)
less prices. Each part's loss is put down to windows of the day or to a class, and there to causes in the
proportion of the requests that had them; so the lines add up to 1 minus the worth.
"""

from collections import Counter
from collections.abc import Callable, Mapping

import msgspec

LATE_LOSS = 0.75
"""Part of its credit that a late answer loses, about the same for all kinds on the users' sheets: sets
late ones against those that were not served, within one window."""
WORST_WINDOWS = 2
"""Windows whose mean is the part of the worst ones."""
OWED_ELSEWHERE = "not told by window or class"


class Share(msgspec.Struct):
    """What became of the requests of one window, class or hall."""

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    not_owed: int
    worth: float

    @property
    def owed(self) -> int:
        """Return how many requests were owed an answer."""
        return self.n - self.not_owed

    @property
    def lost(self) -> float:
        """Return the part of the credit that was not earned."""
        return 1.0 - self.worth


class Loss(msgspec.Struct, frozen=True):
    """A line of the account."""

    part: str
    where: str
    """The second at which a window begins, the class, or the price."""

    cause: str
    amount: float
    """Of the day's worth."""


LateCauses = Callable[[str], Mapping[str, float]]
"""Returns the causes of late answers in a window, by weight; empty where none are known."""


def causes_of(share: Share, late: Mapping[str, float]) -> dict[str, float]:
    """Split what a window or class lost by cause.

    :param share: the window or class.
    :param late: weights of the causes of late answers.
    :return: parts by cause that add up to one.
    """
    others = max(0, share.owed - share.in_aim - share.late - share.refused - share.failed)
    weights: dict[str, float] = {"refused": share.refused, "failed": share.failed, "no answer": others}
    known = sum(late.values())
    for cause, weight in late.items():
        weights[cause] = share.late * LATE_LOSS * weight / known
    if not known:
        weights["late"] = share.late * LATE_LOSS
    total = sum(weights.values())
    if not total:
        return {"no request": 1.0}
    return {cause: weight / total for cause, weight in weights.items() if weight}


def account(
    parts: list[tuple[str, float, float]],
    prices: list[tuple[str, float, float]],
    windows: list[Share],
    classes: list[Share],
    late: LateCauses = lambda where: {},
) -> list[Loss]:
    """Make the account of a day.

    :param parts: name, weight and value of each part of the worth.
    :param prices: name, amount and cost of each price.
    :param windows: what became of requests by window.
    :param classes: the same by class.
    :param late: the causes of late answers by window.
    :return: its lines; they add up to 1 minus the worth where the weights add up to 1.
    """
    lines = [Loss("price", name, name, cost) for name, _, cost in prices if cost]
    for name, weight, value in parts:
        shares = _shares_of(name, windows, classes)
        total = sum(lost for _, lost in shares)
        if not total:
            lines.append(Loss(name, OWED_ELSEWHERE, OWED_ELSEWHERE, weight * (1.0 - value)))
            continue
        for share, lost in shares:
            amount = weight * (1.0 - value) * lost / total
            for cause, part in causes_of(share, late(share.name)).items():
                lines.append(Loss(name, share.name, cause, amount * part))
    return [line for line in lines if line.amount]


def _shares_of(part: str, windows: list[Share], classes: list[Share]) -> list[tuple[Share, float]]:
    """Return the windows or classes to which a part's loss is put down, and by how much of each."""
    if part == "worst windows":
        return [(s, s.lost) for s in sorted(windows, key=lambda s: s.worth)[:WORST_WINDOWS]]
    if part == "worst class":
        return [(s, s.lost) for s in sorted(classes, key=lambda s: s.worth)[:1]]
    return [(s, s.lost * s.owed) for s in windows]


def sum_by(lines: list[Loss], key: Callable[[Loss], str]) -> Counter[str]:
    """Add lines up by what a function tells of each."""
    sums: Counter[str] = Counter()
    for line in lines:
        sums[key(line)] += line.amount  # type: ignore[assignment]
    return sums
