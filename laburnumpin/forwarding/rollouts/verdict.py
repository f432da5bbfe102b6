"""Whether the target version answers worse than the previous one beside it."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import math

from laburnumpin.forwarding.rollouts import evidence

# A version is bad where chance alone explains its counts with a probability of
# at most exp(-BAD_NATS), by Chernoff's bound.
BAD_NATS = 8.0
MIN_BAD_ANSWERS = 5
# Differences of the rates below this aren't called bad.
MIN_EXCESS = 0.04
# A version is good where one with this much more errors or slow answers would
# show so few with a probability of at most exp(-nats).
GOOD_EXCESS = 0.1
GOOD_NATS = 3.0
GOOD_PART_EXCESS = 0.2
GOOD_PART_NATS = 1.5
# Routes and load bands with at least this part of the previous version's
# answers have to be good on their own.
MIN_PART = 0.1
# Fewer previous answers in a cell are taken from a wider one.
MIN_BASELINE_ANSWERS = 10
# Levels of widening within which answers of the same time are preferred.
NEAR_LEVELS = 3


class Kind(enum.Enum):
    """What the counts say."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """What the counts say, and why.

    `reason` is a code; `scope` names the route or load band, if it is one.
    """

    kind: Kind
    reason: str = ""
    scope: str = ""


@dataclasses.dataclass(slots=True)
class Stratum:
    """The counts of one cell, the previous version's perhaps of a wider one."""

    cell: evidence.Cell
    target: evidence.Counts
    previous: evidence.Counts


Counter = Callable[[evidence.Counts], int]


def _errors(counts: evidence.Counts) -> int:
    return counts.errors


def _slow(counts: evidence.Counts) -> int:
    return counts.slow


_COUNTERS: tuple[tuple[str, Counter], ...] = (
    ("target_errors", _errors),
    ("target_slow", _slow),
)


def judge(total: evidence.Table, recent: evidence.Table) -> Verdict:
    """Judge by the counts since the order and by the latest ones.

    The latest counts show a version that turns bad; where they hold too few
    previous answers, those since the order are compared.
    """
    total_strata = _strata(total, total)
    for strata in (total_strata, _strata(recent, total)):
        verdict = _find_bad(strata)
        if verdict is not None:
            return verdict
    return _find_good(total_strata, _strata(recent, total), total)


def _strata(target: evidence.Table, wider: evidence.Table) -> list[Stratum]:
    """Return the target's counts beside previous ones, each of these once."""
    baseline = Baseline(target, wider)
    strata: dict[tuple[int, str, int], Stratum] = {}
    for key, counts in target.items():
        if not key.is_target:
            continue
        previous = baseline.find(key.cell)
        if previous is None:
            continue
        name = (id(previous), key.cell.route, key.cell.band)
        stratum = strata.get(name)
        if stratum is None:
            stratum = Stratum(key.cell, evidence.Counts(), previous)
            strata[name] = stratum
        stratum.target.add(counts.answers, counts.errors, counts.slow)
    return list(strata.values())


class Baseline:
    """Finds previous answers that compare with a cell of the target version.

    Answers of the same time and zone come first, so that a failing zone is
    compared with itself, and among them those of the same route and band.
    """

    __slots__ = ("_near", "_wider")

    def __init__(self, near: evidence.Table, wider: evidence.Table) -> None:
        self._near = _sums(near)
        self._wider = _sums(wider)

    def find(self, cell: evidence.Cell) -> evidence.Counts | None:
        """Return the nearest counts with enough answers, or None."""
        names = _widening(cell)
        for name in names[:NEAR_LEVELS]:
            counts = self._near.get(name)
            if counts and counts.answers >= MIN_BASELINE_ANSWERS:
                return counts
        for name in names:
            counts = self._wider.get(name)
            if counts and counts.answers >= MIN_BASELINE_ANSWERS:
                return counts
        return None


def _sums(table: evidence.Table) -> dict[tuple[object, ...], evidence.Counts]:
    sums: dict[tuple[object, ...], evidence.Counts] = {}
    for key, counts in table.items():
        if key.is_target:
            continue
        for name in _widening(key.cell):
            known = sums.setdefault(name, evidence.Counts())
            known.add(counts.answers, counts.errors, counts.slow)
    return sums


def _widening(cell: evidence.Cell) -> tuple[tuple[object, ...], ...]:
    return (
        ("cell", cell),
        ("route and zone", cell.route, cell.zone),
        ("zone", cell.zone),
        ("route", cell.route),
        ("all",),
    )


def _scopes(strata: list[Stratum]) -> dict[str, list[Stratum]]:
    scopes: dict[str, list[Stratum]] = {"": strata}
    for stratum in strata:
        names = (f"route={stratum.cell.route}", f"band={stratum.cell.band}")
        for name in names:
            scopes.setdefault(name, []).append(stratum)
    return scopes


def _find_bad(strata: list[Stratum]) -> Verdict | None:
    for scope, members in _scopes(strata).items():
        for reason, counter in _COUNTERS:
            if _is_worse(members, counter):
                return Verdict(Kind.BAD, reason, scope)
    return None


def _is_worse(strata: Iterable[Stratum], counter: Counter) -> bool:
    """Return whether the target version has more of them than chance allows.

    Given all bad answers of a stratum, an equal version would get its part of
    them by its part of the answers (hypergeometric). The sum over the strata is
    bounded by the binomial of the same mean (Hoeffding, "Probability
    inequalities for sums of bounded random variables", 1963).
    """
    bad = 0
    answers = 0
    expected = 0.0
    total_bad = 0
    baseline = 0.0
    for stratum in _by_baseline(strata):
        target_bad = counter(stratum.target)
        previous_bad = counter(stratum.previous)
        size = stratum.target.answers
        all_answers = size + stratum.previous.answers
        bad += target_bad
        answers += size
        total_bad += target_bad + previous_bad
        expected += (target_bad + previous_bad) * size / all_answers
        baseline += size * previous_bad / stratum.previous.answers
    if bad < MIN_BAD_ANSWERS or bad - baseline < MIN_EXCESS * answers:
        return False
    return chernoff_nats(bad, total_bad, expected / total_bad) >= BAD_NATS


def _by_baseline(strata: Iterable[Stratum]) -> Iterable[Stratum]:
    """Join strata that are compared with the same previous answers."""
    joined: dict[int, Stratum] = {}
    for stratum in strata:
        known = joined.get(id(stratum.previous))
        if known is None:
            known = Stratum(stratum.cell, evidence.Counts(), stratum.previous)
            joined[id(stratum.previous)] = known
        counts = stratum.target
        known.target.add(counts.answers, counts.errors, counts.slow)
    return joined.values()


def _find_good(
    strata: list[Stratum], recent: list[Stratum], total: evidence.Table
) -> Verdict:
    if recent and not _is_as_good(recent, GOOD_EXCESS, 0.0):
        return Verdict(Kind.UNDECIDED, "recently_worse")
    scopes = _scopes(strata)
    if not _is_as_good(scopes[""], GOOD_EXCESS, GOOD_NATS):
        return Verdict(Kind.UNDECIDED, "insufficient_evidence")
    for scope in _large_scopes(total):
        if not _is_as_good(
            scopes.get(scope, []), GOOD_PART_EXCESS, GOOD_PART_NATS
        ):
            return Verdict(Kind.UNDECIDED, "insufficient_evidence", scope)
    return Verdict(Kind.GOOD, "as_good_as_previous")


def _is_as_good(strata: list[Stratum], excess: float, nats: float) -> bool:
    answers = sum(stratum.target.answers for stratum in strata)
    if not answers:
        return False
    for _, counter in _COUNTERS:
        bad = 0
        baseline = 0.0
        for stratum in strata:
            bad += counter(stratum.target)
            baseline += (
                stratum.target.answers
                * counter(stratum.previous)
                / stratum.previous.answers
            )
        bad_rate = min(1.0, baseline / answers + excess)
        if bad >= bad_rate * answers:
            return False
        sound = answers - bad
        if chernoff_nats(sound, answers, 1.0 - bad_rate) < nats:
            return False
    return True


def _large_scopes(total: evidence.Table) -> list[str]:
    sizes: dict[str, int] = {}
    answers = 0
    for key, counts in total.items():
        if key.is_target:
            continue
        answers += counts.answers
        for name in (f"route={key.cell.route}", f"band={key.cell.band}"):
            sizes[name] = sizes.get(name, 0) + counts.answers
    return [name for name, size in sizes.items() if size >= MIN_PART * answers]


def chernoff_nats(successes: int, trials: int, probability: float) -> float:
    """Return -log of Chernoff's bound on at least `successes` of `trials`.

    It is 0 where so many are expected anyway.
    """
    share = successes / trials
    if share <= probability:
        return 0.0
    if probability <= 0.0:
        return math.inf
    nats = share * math.log(share / probability)
    if share < 1.0:
        nats += (1.0 - share) * math.log((1.0 - share) / (1.0 - probability))
    return trials * nats
