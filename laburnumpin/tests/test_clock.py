"""Tests of the clocks."""

from __future__ import annotations

import pytest

from laburnumpin import clock


def test_manual_clock_rejects_going_backwards() -> None:
    """Guards against timers that fire twice after a backwards step."""
    manual = clock.ManualClock(100)
    with pytest.raises(ValueError, match="backwards"):
        manual.advance(-1)
    assert manual.advance(5) == 105


def test_system_clock_never_decreases() -> None:
    """Guards against deadlines that move when the wall clock is corrected."""
    system = clock.SystemClock()
    first_ms = system.now_ms()
    assert system.now_ms() >= first_ms
