"""Fixtures shared by all tests: worlds of local processes, and a deterministic hypothesis profile."""

from collections.abc import Iterator

import hypothesis
import pytest

from standins.users import UsersSite
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


@pytest.fixture
def partitionable_site() -> Iterator[UsersSite]:
    with UsersSite(halls=2, stages=4, plain=4, partitionable=True) as made:
        yield made
