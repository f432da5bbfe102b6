"""The bytes that an entry keeps of what others send it.

Each reader has a limit of its own. These limits times the number of connections
exceed the memory of a VM, so that faulty upstreams or callers could end an
entry with all its requests. The readers therefore share a budget, which counts
every byte.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses

import anyio

# Requests that keep no more than this may use the whole budget, longer ones
# only a share of it. Most are shorter, so that long ones don't keep them out.
SHORT_BYTES = 16_384
LONG_SHARE = 0.8
DEFAULT_BUDGET_BYTES = 100_000_000
# Time after which a caller should retry a request whose body had no room.
RETRY_AFTER_MS = 500


@dataclasses.dataclass(slots=True, frozen=True)
class BufferSettings:
    """Settings for the bytes that an entry keeps.

    `budget_bytes` is the most that all requests together may keep.
    """

    budget_bytes: int = DEFAULT_BUDGET_BYTES


class BudgetExceededError(Exception):
    """There is no room for further bytes of a request or of its answer."""


class Budget:
    """Counts the bytes that the requests of an entry keep.

    `bytes_by_part` has them by part, such as `head`, `body` and `answer`.
    """

    __slots__ = (
        "_settings",
        "_waiters",
        "bytes_by_part",
        "peak_bytes",
        "used_bytes",
    )

    def __init__(self, settings: BufferSettings | None = None) -> None:
        self._settings = settings or BufferSettings()
        # Tasks that wait for others to return bytes.
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self.bytes_by_part: dict[str, int] = {}
        self.used_bytes = 0
        self.peak_bytes = 0

    def change(self, part: str, change_bytes: int, *, is_long: bool) -> None:
        """Add to the used bytes, or take from them.

        Raises:
            BudgetExceededError: There is no room for that many more.
        """
        used_bytes = self.used_bytes + change_bytes
        if change_bytes > 0:
            limit_bytes = float(self._settings.budget_bytes)
            if is_long:
                limit_bytes *= LONG_SHARE
            if used_bytes > limit_bytes:
                raise BudgetExceededError(
                    f"{self.used_bytes} bytes of requests and answers are kept"
                )
            self.peak_bytes = max(self.peak_bytes, used_bytes)
        self.used_bytes = used_bytes
        self.bytes_by_part[part] = (
            self.bytes_by_part.get(part, 0) + change_bytes
        )
        if change_bytes < 0 and self._waiters:
            self.wake_next()

    async def wait_for_release(self, timeout_s: float) -> None:
        """Wait until bytes were returned, in turn, or until the timeout."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            with anyio.move_on_after(timeout_s):
                await waiter
        finally:
            with contextlib.suppress(ValueError):
                self._waiters.remove(waiter)

    def wake_next(self) -> None:
        """Let the task go on that has waited longest."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


class Account:
    """The bytes that one request keeps, by part."""

    __slots__ = ("_parts", "_total_bytes", "budget")

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self._parts: dict[str, int] = {}
        self._total_bytes = 0

    def hold(self, part: str, size_bytes: int) -> None:
        """Set the number of bytes that are kept of a part.

        Raises:
            BudgetExceededError: There is no room for them; the number stays.
        """
        change_bytes = size_bytes - self._parts.get(part, 0)
        if not change_bytes:
            return
        total_bytes = self._total_bytes + change_bytes
        self.budget.change(
            part, change_bytes, is_long=total_bytes > SHORT_BYTES
        )
        self._total_bytes = total_bytes
        self._parts[part] = size_bytes

    def try_to_hold(self, part: str, size_bytes: int) -> bool:
        """Set the number of bytes of a part if there is room for them."""
        try:
            self.hold(part, size_bytes)
        except BudgetExceededError:
            return False
        return True

    def close(self) -> None:
        """Return all bytes to the budget."""
        for part, size_bytes in self._parts.items():
            self.budget.change(part, -size_bytes, is_long=False)
        self._total_bytes = 0
        self._parts.clear()
