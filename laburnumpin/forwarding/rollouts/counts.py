"""Counts of answers that are compared with each other."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

# Lower bounds of the load bands above the first, in streams for each slot.
BAND_LIMITS = (0.6,)
BANDS = len(BAND_LIMITS) + 1


class Cell(NamedTuple):
    """Answers that are compared with each other."""

    route: str
    zone: str
    band: int


class RowKey(NamedTuple):
    """One cell's answers of the target version or of the previous one."""

    is_target: bool
    cell: Cell


@dataclasses.dataclass(slots=True)
class Counts:
    """Answers, and those among them that failed or were slow."""

    answers: int = 0
    errors: int = 0
    slow: int = 0

    def add(self, answers: int, errors: int, slow: int) -> None:
        """Add to each count."""
        self.answers += answers
        self.errors += errors
        self.slow += slow

    def add_counts(self, other: Counts) -> None:
        """Add other counts."""
        self.add(other.answers, other.errors, other.slow)


Table = dict[RowKey, Counts]


def band_of(load_share: float) -> int:
    """Return the index of the load band of `load_share` (streams / slots)."""
    band = 0
    for limit in BAND_LIMITS:
        if load_share < limit:
            break
        band += 1
    return band
