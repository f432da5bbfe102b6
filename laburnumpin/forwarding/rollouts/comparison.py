"""Comparison of the target version with the previous one at the same time."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

from laburnumpin.forwarding.rollouts import counts

# Previous answers of the same time that a cell is compared with, at least.
MIN_NEAR_ANSWERS = 3
# Levels of widening that answers of the same time are looked for in.
NEAR_LEVELS = 3
# Previous answers since the order that a cell is compared with otherwise.
MIN_EARLIER_ANSWERS = 10
# Above this rate of bad previous answers, a comparison shows little.
MAX_STEADY_RATE = 0.2

Name = tuple[object, ...]


class Part(NamedTuple):
    """A route and a load band, apart while the previous version fails there."""

    route: str
    band: int
    is_steady: bool


@dataclasses.dataclass(slots=True)
class KindTally:
    """Bad answers of one kind.

    `bad` are the target's, `all_bad` those of both versions. `expected` is what
    the target would have of all, were the versions equal; `baseline` what it
    would have at the previous version's rate.
    """

    bad: int = 0
    all_bad: int = 0
    expected: float = 0.0
    baseline: float = 0.0

    def add(self, other: KindTally) -> None:
        """Add another tally."""
        self.bad += other.bad
        self.all_bad += other.all_bad
        self.expected += other.expected
        self.baseline += other.baseline


@dataclasses.dataclass(slots=True)
class Tally:
    """The target's answers that had something to be compared with."""

    answers: int = 0
    errors: KindTally = dataclasses.field(default_factory=KindTally)
    slow: KindTally = dataclasses.field(default_factory=KindTally)

    def add(self, other: Tally) -> None:
        """Add another tally."""
        self.answers += other.answers
        self.errors.add(other.errors)
        self.slow.add(other.slow)


Tallies = dict[Part, Tally]


def add_tallies(sums: Tallies, others: Tallies) -> None:
    """Add `others` to `sums`."""
    for part, tally in others.items():
        sums.setdefault(part, Tally()).add(tally)


def compare(now: counts.Table, earlier: counts.Table) -> Tallies:
    """Return tallies of the target's answers in `now`, a short time's counts.

    Previous answers of the same time and zone come first, so that an outage or
    a failing zone is compared with itself; among them those of the same route
    and load band. Only where there are none, those since the order (`earlier`)
    are taken.
    """
    near = _sums(now)
    wider: dict[Name, counts.Counts] | None = None
    strata: dict[tuple[Part, int], tuple[counts.Counts, counts.Counts]] = {}
    for key, target in now.items():
        if not key.is_target:
            continue
        names = _widening(key.cell)
        previous = _find(near, names[:NEAR_LEVELS], MIN_NEAR_ANSWERS)
        if previous is None:
            if wider is None:
                wider = _sums(earlier)
            previous = _find(wider, names, MIN_EARLIER_ANSWERS)
        if previous is None:
            continue
        part = Part(key.cell.route, key.cell.band, _is_steady(previous))
        stratum = strata.setdefault(
            (part, id(previous)), (counts.Counts(), previous)
        )
        stratum[0].add_counts(target)
    tallies: Tallies = {}
    for (part, _), (target, previous) in strata.items():
        tallies.setdefault(part, Tally()).add(_tally(target, previous))
    return tallies


def _is_steady(previous: counts.Counts) -> bool:
    bad = previous.errors + previous.slow
    return bad <= MAX_STEADY_RATE * previous.answers


def _tally(target: counts.Counts, previous: counts.Counts) -> Tally:
    return Tally(
        target.answers,
        _kind(target, target.errors, previous, previous.errors),
        _kind(target, target.slow, previous, previous.slow),
    )


def _kind(
    target: counts.Counts,
    target_bad: int,
    previous: counts.Counts,
    previous_bad: int,
) -> KindTally:
    all_bad = target_bad + previous_bad
    answers = target.answers + previous.answers
    return KindTally(
        target_bad,
        all_bad,
        all_bad * target.answers / answers,
        target.answers * previous_bad / previous.answers,
    )


def _find(
    sums: dict[Name, counts.Counts], names: Iterable[Name], least: int
) -> counts.Counts | None:
    for name in names:
        known = sums.get(name)
        if known is not None and known.answers >= least:
            return known
    return None


def _sums(table: counts.Table) -> dict[Name, counts.Counts]:
    sums: dict[Name, counts.Counts] = {}
    for key, known in table.items():
        if key.is_target:
            continue
        for name in _widening(key.cell):
            sums.setdefault(name, counts.Counts()).add_counts(known)
    return sums


def _widening(cell: counts.Cell) -> tuple[Name, ...]:
    return (
        ("cell", cell),
        ("route and zone", cell.route, cell.zone),
        ("zone", cell.zone),
        ("route", cell.route),
        ("all",),
    )
