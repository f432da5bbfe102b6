"""Runs tests with processes concurrently, since they mostly wait.

A scenario is a coroutine function that takes a directory for its files. The
first test that needs a result starts the scenarios of all collected tests in
one background thread; each test then reports the result of its own scenario.
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

# Maximum number of running processes; limits the load on a shared machine.
MAX_PROCESSES = 15
# Far above the total duration of all scenarios.
RESULT_TIMEOUT_S = 900

Scenario = Callable[[pathlib.Path], Awaitable[None]]


class ScenarioResults(Protocol):
    """Gives a test access to the result of its scenario."""

    def check(self, scenario: Scenario) -> None:
        """Wait for a scenario and raise its exception, if any."""


class ScenarioPool:
    """Runs scenarios with at most `MAX_PROCESSES` processes at a time."""

    def __init__(self) -> None:
        self._results: dict[Scenario, futures.Future[None]] = {}
        self._exit_stack = contextlib.ExitStack()
        self._free_slots = MAX_PROCESSES
        self._slots_freed: anyio.Condition | None = None

    def start(
        self,
        planned: Iterable[tuple[Scenario, int]],
        new_directory: Callable[[str], pathlib.Path],
    ) -> None:
        """Start scenarios, given with their numbers of processes.

        The largest are started first; smaller ones fill the remaining slots.
        """
        portal = self._exit_stack.enter_context(
            from_thread.start_blocking_portal()
        )
        self._slots_freed = portal.call(anyio.Condition)
        ordered = sorted(planned, key=lambda pair: pair[1], reverse=True)
        for scenario, process_count in ordered:
            directory = new_directory(scenario.__name__)
            self._results[scenario] = portal.start_task_soon(
                self._run, scenario, process_count, directory
            )

    def check(self, scenario: Scenario) -> None:
        """Wait for a scenario and raise its exception, if any."""
        self._results[scenario].result(RESULT_TIMEOUT_S)

    def close(self) -> None:
        """Cancel the running scenarios and wait until they have ended."""
        for future in self._results.values():
            future.cancel()
        self._exit_stack.close()

    async def _run(
        self, scenario: Scenario, process_count: int, directory: pathlib.Path
    ) -> None:
        assert self._slots_freed is not None
        async with self._slots_freed:
            while self._free_slots < process_count:
                await self._slots_freed.wait()
            self._free_slots -= process_count
        try:
            await scenario(directory)
        finally:
            with anyio.CancelScope(shield=True):
                async with self._slots_freed:
                    self._free_slots += process_count
                    self._slots_freed.notify_all()


def concurrent(
    process_count: int,
) -> Callable[[Scenario], Callable[[ScenarioResults], None]]:
    """Make a test of a scenario that runs `process_count` processes."""

    def decorate(scenario: Scenario) -> Callable[[ScenarioResults], None]:
        def test(scenario_results: ScenarioResults) -> None:
            scenario_results.check(scenario)

        test.__name__ = scenario.__name__
        test.__doc__ = scenario.__doc__
        test.scenario = (scenario, process_count)  # type: ignore[attr-defined]
        return test

    return decorate
