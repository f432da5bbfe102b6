"""Settings shared by all tests."""

from __future__ import annotations

import os

import hypothesis

# The default profile is derandomized, so that CI gives the same verdict on
# every run; `HYPOTHESIS_PROFILE=explore` looks for new failures.
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.register_profile(
    "explore", deadline=None, max_examples=1_000, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
