"""Clocks in milliseconds: system time, boot time and manual time."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of the current time."""

    def now_ms(self) -> int:
        """Return milliseconds; values never decrease within a process."""


class SystemClock:
    """The clock of this process, anchored to the wall clock at its start.

    Between reads it advances with the monotonic clock, so that a correction
    of the wall clock cannot move it backwards.
    """

    __slots__ = ("_anchor_ms",)

    def __init__(self) -> None:
        self._anchor_ms = int(time.time() * 1000 - time.monotonic() * 1000)

    def now_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return self._anchor_ms + int(time.monotonic() * 1000)


class ManualClock:
    """A clock that advances only by `advance`."""

    __slots__ = ("_now_ms",)

    def __init__(self, now_ms: int = 0) -> None:
        self._now_ms = now_ms

    def now_ms(self) -> int:
        """Return the current manual time."""
        return self._now_ms

    def advance(self, duration_ms: int) -> int:
        """Advance by `duration_ms` and return the new time.

        Raises:
            ValueError: `duration_ms` is negative.
        """
        if duration_ms < 0:
            raise ValueError("a clock cannot move backwards")
        self._now_ms += duration_ms
        return self._now_ms


class BootClock:
    """Milliseconds since the VM booted, including time in suspension.

    A lease must expire on a VM that was suspended, and the monotonic clock
    does not count the time in suspension.
    """

    __slots__ = ()

    def now_ms(self) -> int:
        """Return milliseconds since the VM booted."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
