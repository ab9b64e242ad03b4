"""Fixtures shared by all tests: worlds of local processes, and a deterministic hypothesis profile."""

from collections.abc import Iterator

import hypothesis
import pytest

from standins.world import World

pytest_plugins = ["tests.steps", "tests.steps_settings", "tests.steps_placement"]

# The same examples in every run, and no failures that depend on timing.
hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("fixed")


@pytest.fixture
def world() -> Iterator[World]:
    with World() as made:
        yield made
