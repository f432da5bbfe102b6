"""Background tasks whose failure does not end the process."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVarTuple
from typing import Unpack

import anyio
from anyio import abc

from laburnumpin.server import logs

_Arguments = TypeVarTuple("_Arguments")

# Pause before a loop that has failed is started again.
RESTART_PAUSE_S = 0.2


class TaskRunner:
    """Starts tasks in a task group and logs the exceptions they raise.

    An exception that reaches the task group would cancel all other tasks.
    """

    __slots__ = ("_task_group",)

    def __init__(self, task_group: abc.TaskGroup) -> None:
        self._task_group = task_group

    def start(
        self,
        function: Callable[[Unpack[_Arguments]], Awaitable[None]],
        *arguments: *_Arguments,
    ) -> None:
        """Start a task; logs its exception as `task_error`."""
        self._task_group.start_soon(self._run, function, arguments)

    def keep_running(
        self,
        function: Callable[[Unpack[_Arguments]], Awaitable[None]],
        *arguments: *_Arguments,
    ) -> None:
        """Start a loop; logs its exceptions, and starts it again after each.

        The process depends on the loop: without it, the process would go on
        with what it knew when the loop ended.
        """
        self._task_group.start_soon(self._run_again, function, arguments)

    async def _run_again(
        self,
        function: Callable[[Unpack[_Arguments]], Awaitable[None]],
        arguments: tuple[*_Arguments],
    ) -> None:
        while True:
            await self._run(function, arguments)
            await anyio.sleep(RESTART_PAUSE_S)

    async def _run(
        self,
        function: Callable[[Unpack[_Arguments]], Awaitable[None]],
        arguments: tuple[*_Arguments],
    ) -> None:
        try:
            await function(*arguments)
        except Exception:
            logs.write_exception("task_error", {"task": function.__qualname__})
