"""The bytes that an entry keeps of what others send it.

Each reader has a limit of its own. These limits times the number of connections
exceed the memory of a VM, so that faulty upstreams could end an entry with all
its requests. The readers therefore share a budget.
"""

from __future__ import annotations

import dataclasses

# A reader may keep this much whatever the others keep. Most requests and
# answers are shorter, so that long ones don't keep them out.
FREE_BYTES_PER_REQUEST = 65_536
DEFAULT_BUDGET_BYTES = 100_000_000
# Time after which a caller should retry a request whose body had no room.
RETRY_AFTER_MS = 500


@dataclasses.dataclass(slots=True, frozen=True)
class BufferSettings:
    """Settings for the bytes that an entry keeps.

    `budget_bytes` is the most that all requests together may keep beyond
    `FREE_BYTES_PER_REQUEST` each.
    """

    budget_bytes: int = DEFAULT_BUDGET_BYTES


class BudgetExceededError(Exception):
    """There is no room for further bytes of a request or of its answer."""


class Budget:
    """Counts the bytes that the requests of an entry keep.

    `used_bytes` and `peak_bytes` leave out the free bytes of each request.
    """

    __slots__ = ("_settings", "peak_bytes", "used_bytes")

    def __init__(self, settings: BufferSettings | None = None) -> None:
        self._settings = settings or BufferSettings()
        self.used_bytes = 0
        self.peak_bytes = 0

    def change(self, change_bytes: int) -> None:
        """Add to the used bytes, or take from them.

        Raises:
            BudgetExceededError: There is no room for that many more.
        """
        used_bytes = self.used_bytes + change_bytes
        if change_bytes > 0 and used_bytes > self._settings.budget_bytes:
            raise BudgetExceededError(
                f"{self.used_bytes} bytes of requests and answers are kept"
            )
        self.used_bytes = used_bytes
        self.peak_bytes = max(self.peak_bytes, used_bytes)


class Account:
    """The bytes that one request keeps, by part."""

    __slots__ = ("_budget", "_charged_bytes", "_parts")

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self._parts: dict[str, int] = {}
        # What of the parts is taken from the budget.
        self._charged_bytes = 0

    def hold(self, part: str, size_bytes: int) -> None:
        """Set the number of bytes that are kept of a part.

        Raises:
            BudgetExceededError: There is no room for them; the number stays.
        """
        others = sum(self._parts.values()) - self._parts.get(part, 0)
        charged = max(0, others + size_bytes - FREE_BYTES_PER_REQUEST)
        self._budget.change(charged - self._charged_bytes)
        self._charged_bytes = charged
        self._parts[part] = size_bytes

    def close(self) -> None:
        """Return all bytes to the budget."""
        self._budget.change(-self._charged_bytes)
        self._charged_bytes = 0
        self._parts.clear()
