"""A token bucket whose callers pass the current time."""

from __future__ import annotations


class TokenBucket:
    """Admits `rate_per_s` units per second and bursts of `capacity`."""

    __slots__ = ("_available", "_capacity", "_rate_per_s", "_updated_ms")

    def __init__(
        self, rate_per_s: float, capacity: float, now_ms: int = 0
    ) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._available = capacity
        self._updated_ms = now_ms

    def take(self, amount: float, now_ms: int) -> bool:
        """Remove `amount` units if available; return whether they were."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        refilled = self._available + elapsed_ms * self._rate_per_s / 1_000
        self._available = min(self._capacity, refilled)
        if self._available < amount:
            return False
        self._available -= amount
        return True
