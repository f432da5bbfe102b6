"""A token bucket over time that is passed in."""

from __future__ import annotations


class TokenBucket:
    """Admits `rate_per_s` units per second and bursts of `capacity`."""

    __slots__ = ("_capacity", "_level", "_rate_per_s", "_updated_ms")

    def __init__(
        self, rate_per_s: float, capacity: float, now_ms: int = 0
    ) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._level = capacity
        self._updated_ms = now_ms

    def take(self, amount: float, now_ms: int) -> bool:
        """Take `amount` if that much is there."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        filled = self._level + elapsed_ms * self._rate_per_s / 1_000
        self._level = min(self._capacity, filled)
        if self._level < amount:
            return False
        self._level -= amount
        return True
