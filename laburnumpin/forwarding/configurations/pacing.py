"""Runs long computations without blocking the event loop.

A computation is a generator that yields at every point where it may pause.
"""

from __future__ import annotations

from collections.abc import Generator
import time
from typing import TypeVar

import anyio

# Longest time of one slice of a computation, and the pause after it.
SLICE_MS = 4.0
PAUSE_MS = 1.0

Result = TypeVar("Result")
Steps = Generator[None, None, Result]


async def run(steps: Steps[Result]) -> Result:
    """Run a computation in slices, between which other tasks run."""
    slice_s = SLICE_MS / 1_000
    ends_s = time.perf_counter() + slice_s
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result
        if time.perf_counter() >= ends_s:
            await anyio.sleep(PAUSE_MS / 1_000)
            ends_s = time.perf_counter() + slice_s


def run_at_once(steps: Steps[Result]) -> Result:
    """Run a computation without a pause."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result
