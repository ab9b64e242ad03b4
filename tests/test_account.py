"""Tests of the attribution of losses in the score of a benchmark day."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benches.account import Outcomes, attribute_losses, causes_of, sum_by

counts = st.integers(0, 50)
outcomes = st.builds(
    lambda name, in_aim, late, refused, failed, rest, worth: Outcomes(
        str(name), in_aim + late + refused + failed + rest, in_aim, late, refused, failed, 0, worth
    ),
    st.integers(0, 60),
    counts,
    counts,
    counts,
    counts,
    counts,
    st.floats(0.0, 1.0),
)


@given(
    st.lists(outcomes, min_size=2, max_size=8),
    st.lists(outcomes, min_size=1, max_size=4),
    st.floats(0.0, 1.0),
    st.floats(0.0, 1.0),
    st.floats(0.0, 0.2),
)
def test_losses_add_up_to_one_minus_the_score(
    windows: list[Outcomes], classes: list[Outcomes], day: float, worst: float, price: float
) -> None:
    parts = [("whole day", 0.35, day), ("worst windows", 0.5, worst), ("worst class", 0.15, 0.5)]
    worth = sum(weight * value for _, weight, value in parts) - price
    lines = attribute_losses(parts, [("orders", 3.0, price)], windows, classes)
    assert sum(line.amount for line in lines) == pytest.approx(1.0 - worth, abs=0.001)
    assert all(line.amount > 0 for line in lines)


def test_losses_in_the_worst_windows_are_attributed_to_seconds_and_causes() -> None:
    windows = [
        Outcomes("0", 10, 10, 0, 0, 0, 0, 1.0),
        Outcomes("2", 10, 0, 10, 0, 0, 0, 0.3),
        Outcomes("4", 10, 5, 0, 5, 0, 0, 0.5),
    ]
    late = {"2": {"late begin": 3.0, "late pause": 1.0}}
    lines = attribute_losses(
        [("worst windows", 1.0, 0.4)], [], windows, [], lambda where: late.get(where, {})
    )
    by_cause = sum_by(lines, lambda line: line.cause)
    assert by_cause["late begin"] == pytest.approx(0.6 * 0.7 / 1.2 * 0.75)
    assert by_cause["late pause"] == pytest.approx(0.6 * 0.7 / 1.2 * 0.25)
    assert by_cause["refused"] == pytest.approx(0.6 * 0.5 / 1.2)
    assert set(sum_by(lines, lambda line: line.where)) == {"2", "4"}


def test_requests_without_an_answer_are_a_separate_cause() -> None:
    assert causes_of(Outcomes("0", 10, 6, 0, 0, 0, 2, 0.5), {}) == {"no answer": 1.0}
    assert causes_of(Outcomes("0", 0, 0, 0, 0, 0, 0, 1.0), {}) == {"no request": 1.0}
