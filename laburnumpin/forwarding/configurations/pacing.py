"""Runs long computations without blocking the event loop.

A computation is a generator that yields at every point where it may pause.
"""

from __future__ import annotations

from collections.abc import Generator
import time
from typing import TypeVar

import anyio

# Longest time of one slice of a computation, and the pause after it.
SLICE_MS = 3.0
PAUSE_MS = 1.0
# A last slice that took longer is followed by a turn of the event loop.
MIN_LAST_SLICE_MS = 0.5

Result = TypeVar("Result")
Steps = Generator[None, None, Result]


async def run(steps: Steps[Result]) -> Result:
    """Run a computation in slices, between which other tasks run."""
    slice_s = SLICE_MS / 1_000
    started_s = time.perf_counter()
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            break
        if time.perf_counter() >= started_s + slice_s:
            await anyio.sleep(PAUSE_MS / 1_000)
            started_s = time.perf_counter()
    if time.perf_counter() >= started_s + MIN_LAST_SLICE_MS / 1_000:
        await anyio.sleep(0)
    return result


def run_at_once(steps: Steps[Result]) -> Result:
    """Run a computation without a pause."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result
