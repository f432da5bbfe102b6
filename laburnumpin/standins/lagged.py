"""A value whose readers see the past."""

from __future__ import annotations

import collections
import dataclasses
from typing import Generic
from typing import TypeVar

T = TypeVar("T")
MAX_SNAPSHOTS = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot(Generic[T]):
    """A value and when it was true."""

    at_ms: int
    value: T


class Lagged(Generic[T]):
    """Keeps snapshots and returns the newest one of a minimum age."""

    __slots__ = ("_snapshots",)

    def __init__(self, now_ms: int, value: T) -> None:
        self._snapshots = collections.deque(
            [Snapshot(now_ms, value)], maxlen=MAX_SNAPSHOTS
        )

    def record(self, now_ms: int, value: T) -> None:
        """Add the current value."""
        self._snapshots.append(Snapshot(now_ms, value))

    def newest(self) -> Snapshot[T]:
        """Return the last recorded snapshot."""
        return self._snapshots[-1]

    def read(self, now_ms: int, lag_ms: int) -> Snapshot[T]:
        """Return the newest snapshot that is `lag_ms` old, or the oldest."""
        for snapshot in reversed(self._snapshots):
            if snapshot.at_ms <= now_ms - lag_ms:
                return snapshot
        return self._snapshots[0]
