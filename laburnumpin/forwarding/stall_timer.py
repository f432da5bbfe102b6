"""Detection of attempts that make no progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import anyio

from laburnumpin import clock


class StallTimer:
    """Cancels `scope` when an attempt has made no progress for too long.

    After `limit_ms` without progress, `resend_delay_ms` returns how long
    another upstream is predicted to take for its first byte, None if the
    request cannot be sent to another one. The attempt is given up once it has
    stalled for that long as well; until then, waiting costs no more than
    starting anew.
    """

    __slots__ = (
        "_clock",
        "_handle",
        "_limit_ms",
        "_paused_since_ms",
        "_progress_ms",
        "_resend_delay_ms",
        "scope",
    )

    def __init__(
        self,
        boot_clock: clock.Clock,
        limit_ms: int,
        resend_delay_ms: Callable[[], float | None],
    ) -> None:
        self._clock = boot_clock
        self._limit_ms = limit_ms
        self._resend_delay_ms = resend_delay_ms
        self._progress_ms = boot_clock.now_ms()
        self._handle: asyncio.TimerHandle | None = None
        # Since when this side has been waiting for something else than the
        # upstream; None if it is not.
        self._paused_since_ms: int | None = None
        self.scope = anyio.CancelScope()

    def start(self) -> None:
        """Start to measure."""
        self.record_progress()
        self._arm(self._limit_ms)

    def stop(self) -> None:
        """Stop to measure."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def set_limit(self, limit_ms: int) -> None:
        """Replace the limit, from now on."""
        self._limit_ms = limit_ms
        self.record_progress()
        if self._handle is not None:
            self._handle.cancel()
            self._arm(limit_ms)

    def record_progress(self) -> None:
        """Measure from now on."""
        self._progress_ms = self._clock.now_ms()

    def pause(self) -> None:
        """Do not measure until `resume`, for instance while writing."""
        self._paused_since_ms = self._clock.now_ms()

    def resume(self) -> None:
        """Go on, without the time of the pause."""
        if self._paused_since_ms is not None:
            self._progress_ms += self._clock.now_ms() - self._paused_since_ms
            self._paused_since_ms = None

    def _arm(self, delay_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(max(1.0, delay_ms) / 1_000, self._check)

    def _check(self) -> None:
        self._handle = None
        if self._paused_since_ms is not None:
            self._arm(self._limit_ms)
            return
        stalled_ms = self._clock.now_ms() - self._progress_ms
        if stalled_ms < self._limit_ms:
            self._arm(self._limit_ms - stalled_ms)
            return
        delay_ms = self._resend_delay_ms()
        if delay_ms is None:
            self._arm(self._limit_ms)
            return
        if stalled_ms < delay_ms:
            self._arm(delay_ms - stalled_ms)
            return
        self.scope.cancel()
