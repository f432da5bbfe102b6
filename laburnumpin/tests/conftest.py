"""Hypothesis profiles and fixtures shared by all tests."""

from __future__ import annotations

from collections.abc import Iterator
import os

import hypothesis
import pytest

from laburnumpin.tests import scenarios

# The default profile is derandomized, so that CI gives the same result on
# every run; `HYPOTHESIS_PROFILE=explore` searches for new failures.
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.register_profile(
    "explore", deadline=None, max_examples=1_000, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture(scope="session")
def scenario_results(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[scenarios.ScenarioPool]:
    """Run the scenarios of all collected tests concurrently."""
    planned = []
    for item in request.session.items:
        function = getattr(item, "function", None)
        if function is not None and hasattr(function, "scenario"):
            planned.append(function.scenario)
    pool = scenarios.ScenarioPool()
    try:
        pool.start(planned, tmp_path_factory.mktemp)
        yield pool
    finally:
        pool.close()
