"""Attribution of the losses in the score ("worth") of a day of the users' benchmark.

The score is a weighted sum of parts (the whole day, its worst windows, its worst class and so on) minus
prices. The loss in each part is attributed to windows of the day or to a class, and there to causes in
proportion to the affected requests; so all lines add up to 1 minus the score.
"""

from collections import Counter
from collections.abc import Callable, Mapping

import msgspec

LATE_LOSS_FRACTION = 0.75
"""Fraction of its credit that a late answer loses, about the same for all kinds in the users' rules.
Weighs late requests against those that were not served, within one window."""
WORST_WINDOWS = 2
"""Number of windows whose mean is the part "worst windows"."""
UNATTRIBUTED = "not attributed"


class Outcomes(msgspec.Struct):
    """Counts of the outcomes of requests in one window, class or hall."""

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
        """Return the number of requests that were owed an answer."""
        return self.n - self.not_owed

    @property
    def lost(self) -> float:
        """Return the fraction of the credit that was lost."""
        return 1.0 - self.worth


class Loss(msgspec.Struct, frozen=True):
    """A part of the loss with its cause."""

    part: str
    where: str
    """The second at which the window begins, the class, or the price."""

    cause: str
    amount: float
    """Loss in the score of the day."""


LateCauses = Callable[[str], Mapping[str, float]]
"""Returns the causes of late answers in a window with their weights; empty if none are known."""


def causes_of(outcomes: Outcomes, late: Mapping[str, float]) -> dict[str, float]:
    """Split the loss of a window or class by cause.

    :param outcomes: outcomes in the window or class.
    :param late: weights of the causes of late answers.
    :return: fractions by cause, which add up to one.
    """
    others = max(0, outcomes.owed - outcomes.in_aim - outcomes.late - outcomes.refused - outcomes.failed)
    weights: dict[str, float] = {
        "refused": outcomes.refused,
        "failed": outcomes.failed,
        "no answer": others,
    }
    known = sum(late.values())
    for cause, weight in late.items():
        weights[cause] = outcomes.late * LATE_LOSS_FRACTION * weight / known
    if not known:
        weights["late"] = outcomes.late * LATE_LOSS_FRACTION
    total = sum(weights.values())
    if not total:
        return {"no request": 1.0}
    return {cause: weight / total for cause, weight in weights.items() if weight}


def attribute_losses(
    parts: list[tuple[str, float, float]],
    prices: list[tuple[str, float, float]],
    windows: list[Outcomes],
    classes: list[Outcomes],
    late: LateCauses = lambda where: {},
) -> list[Loss]:
    """Attribute the losses of a day.

    :param parts: name, weight and value of each part of the score.
    :param prices: name, amount and cost of each price.
    :param windows: outcomes of requests by window.
    :param classes: outcomes of requests by class.
    :param late: the causes of late answers by window.
    :return: the losses; they add up to 1 minus the score if the weights add up to 1.
    """
    lines = [Loss("price", name, name, cost) for name, _, cost in prices if cost]
    for name, weight, value in parts:
        weighted = _weighted_outcomes(name, windows, classes)
        total = sum(lost for _, lost in weighted)
        if not total:
            lines.append(Loss(name, UNATTRIBUTED, UNATTRIBUTED, weight * (1.0 - value)))
            continue
        for outcomes, lost in weighted:
            amount = weight * (1.0 - value) * lost / total
            for cause, part in causes_of(outcomes, late(outcomes.name)).items():
                lines.append(Loss(name, outcomes.name, cause, amount * part))
    return [line for line in lines if line.amount]


def _weighted_outcomes(
    part: str, windows: list[Outcomes], classes: list[Outcomes]
) -> list[tuple[Outcomes, float]]:
    """Return the windows or classes to which the loss in a part is attributed, each with its weight."""
    if part == "worst windows":
        return [(s, s.lost) for s in sorted(windows, key=lambda s: s.worth)[:WORST_WINDOWS]]
    if part == "worst class":
        return [(s, s.lost) for s in sorted(classes, key=lambda s: s.worth)[:1]]
    return [(s, s.lost * s.owed) for s in windows]


def sum_by(lines: list[Loss], key: Callable[[Loss], str]) -> Counter[str]:
    """Sum the amounts of losses by a key function."""
    sums: Counter[str] = Counter()
    for line in lines:
        sums[key(line)] += line.amount  # type: ignore[assignment]
    return sums
