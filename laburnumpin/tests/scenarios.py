"""Tests that mostly wait, run at the same time.

A scenario is a coroutine function that gets a directory. The first test that
needs a result starts the scenarios of all collected tests in one background
thread; each test then reports the result of its own.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import contextlib
import pathlib
from typing import Protocol

import anyio
from anyio import from_thread

# At most so many processes run at a time, for the sake of other users of the
# machine.
MAX_PROCESSES = 15
# Far above what all scenarios take together.
RESULT_TIMEOUT_S = 900

Scenario = Callable[[pathlib.Path], Awaitable[None]]


class Results(Protocol):
    """What a test needs of a pool."""

    def check(self, scenario: Scenario) -> None:
        """Raise what the scenario raised."""


class Pool:
    """Runs scenarios within the limit of processes."""

    def __init__(self) -> None:
        self._results: dict[Scenario, futures.Future[None]] = {}
        self._exits = contextlib.ExitStack()
        self._free = MAX_PROCESSES
        self._changed: anyio.Condition | None = None

    def start(
        self,
        planned: Iterable[tuple[Scenario, int]],
        new_directory: Callable[[str], pathlib.Path],
    ) -> None:
        """Start scenarios; each comes with its number of processes.

        The largest start first, which packs them best.
        """
        portal = self._exits.enter_context(from_thread.start_blocking_portal())
        self._changed = portal.call(anyio.Condition)
        ordered = sorted(planned, key=lambda pair: pair[1], reverse=True)
        for scenario, count in ordered:
            directory = new_directory(scenario.__name__)
            self._results[scenario] = portal.start_task_soon(
                self._run, scenario, count, directory
            )

    def check(self, scenario: Scenario) -> None:
        """Raise what the scenario raised."""
        self._results[scenario].result(RESULT_TIMEOUT_S)

    def close(self) -> None:
        """Cancel the scenarios that still run and wait for their end."""
        for result in self._results.values():
            result.cancel()
        self._exits.close()

    async def _run(
        self, scenario: Scenario, count: int, directory: pathlib.Path
    ) -> None:
        assert self._changed is not None
        async with self._changed:
            while self._free < count:
                await self._changed.wait()
            self._free -= count
        try:
            await scenario(directory)
        finally:
            with anyio.CancelScope(shield=True):
                async with self._changed:
                    self._free += count
                    self._changed.notify_all()


def concurrent(
    process_count: int,
) -> Callable[[Scenario], Callable[[Results], None]]:
    """Make a scenario with so many processes a test."""

    def decorate(scenario: Scenario) -> Callable[[Results], None]:
        def test(scenario_results: Results) -> None:
            scenario_results.check(scenario)

        test.__name__ = scenario.__name__
        test.__doc__ = scenario.__doc__
        test.scenario = (scenario, process_count)  # type: ignore[attr-defined]
        return test

    return decorate
