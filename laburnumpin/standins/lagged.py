"""Delayed reads of a value that changes over time."""

from __future__ import annotations

import collections
import dataclasses
from typing import Generic
from typing import TypeVar

T = TypeVar("T")
MAX_SNAPSHOTS = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot(Generic[T]):
    """A value and the time at which it was recorded."""

    at_ms: int
    value: T


class LaggedValue(Generic[T]):
    """Keeps the last `MAX_SNAPSHOTS` values and reads one of a given age."""

    __slots__ = ("_snapshots",)

    def __init__(self, now_ms: int, value: T) -> None:
        self._snapshots = collections.deque(
            [Snapshot(now_ms, value)], maxlen=MAX_SNAPSHOTS
        )

    def record(self, now_ms: int, value: T) -> None:
        """Record the current value."""
        self._snapshots.append(Snapshot(now_ms, value))

    def newest(self) -> Snapshot[T]:
        """Return the last recorded snapshot."""
        return self._snapshots[-1]

    def read(self, now_ms: int, lag_ms: int) -> Snapshot[T]:
        """Return the newest snapshot that is at least `lag_ms` old.

        Returns the oldest snapshot if none is that old.
        """
        for snapshot in reversed(self._snapshots):
            if snapshot.at_ms <= now_ms - lag_ms:
                return snapshot
        return self._snapshots[0]
