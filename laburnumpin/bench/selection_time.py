"""Benchmark of the time to choose an upstream, by the number of upstreams.

Run with `python -m laburnumpin.bench.selection_time`.
"""

from __future__ import annotations

import random
import time

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import upstreams

UPSTREAM_COUNTS = (10, 100, 1_000, 10_000)
ENTRIES = 2_600
# Choices for each number of upstreams are as many as take about this many
# upstreams in total.
RATED_UPSTREAMS = 50_000
_ROUTE = deployment.Route(
    "benchmark", "", "/", True, False, 15_000, 1_000, 0, 1, (), 1, False
)
_SERVICE = deployment.Service(
    "engines", 300, deployment.EngineProfile(64, False), None
)


def choice_us(upstream_count: int) -> float:
    """Return the mean time of a choice in microseconds."""
    generator = random.Random(1)
    candidates = []
    for number in range(upstream_count):
        registration = upstreams.Registration(
            f"u{number}",
            1,
            _SERVICE.name,
            "10.0.0.1:80",
            "abc"[number % 3],
            64,
            upstreams.Lifecycle.READY,
            False,
            0,
            None,
        )
        upstream = upstreams.Upstream(registration, 0)
        upstream.slowness.observe(generator.uniform(-0.5, 0.5), 50, 0)
        candidates.append(upstream)
    parts = (requests.PromptPart(1, 6_000), requests.PromptPart(2, 6_000))
    request = requests.Request(
        "r1",
        _ROUTE,
        _SERVICE.name,
        None,
        requests.Prompt(12_000, 100, parts),
        1.0,
        0,
        15_000,
    )
    view = selection.ServiceView(entries=ENTRIES)
    choices = max(5, RATED_UPSTREAMS // upstream_count)
    started_s = time.perf_counter()
    for _ in range(choices):
        selection.choose(
            candidates, request, _SERVICE, "a", set(), 0, generator, view
        )
    return (time.perf_counter() - started_s) / choices * 1e6


def main() -> None:
    """Print the time of a choice for each number of upstreams."""
    for upstream_count in UPSTREAM_COUNTS:
        print(f"{upstream_count:6} {choice_us(upstream_count):8.0f} us")


if __name__ == "__main__":
    main()
