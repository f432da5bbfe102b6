"""Whether the target version answers worse than the previous one beside it."""

from __future__ import annotations

import dataclasses
import enum
import math

from laburnumpin.forwarding.rollouts import comparison
from laburnumpin.forwarding.rollouts import counts
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
# Answers beside sound previous ones are enough for a good version if they are
# this part at least, so that a failing zone doesn't hide that it's good.
MIN_STEADY_PART = 0.3
# Routes and load bands with at least this part of the previous version's
# answers have to be good on their own.
MIN_PART = 0.1


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


_REASONS = ("target_errors", "target_slow")


def judge(counted: evidence.Evidence, now_ms: int) -> Verdict:
    """Judge by the answers since the order and by the latest ones.

    The latest ones show a version that turns bad after many good answers.
    """
    since_order = _View(counted.tallies())
    recent = _View(counted.recent_tallies(now_ms))
    for view in (since_order, recent):
        verdict = _find_bad(view)
        if verdict is not None:
            return verdict
    return _find_good(since_order, recent, counted.total)


class _View:
    """Sums over all, by route and by load band, and those of steady parts."""

    __slots__ = ("scopes", "steady")

    def __init__(self, tallies: comparison.Tallies) -> None:
        self.scopes = {"": comparison.Tally()}
        self.steady = {"": comparison.Tally()}
        for part, tally in tallies.items():
            for scope in ("", f"route={part.route}", f"band={part.band}"):
                self.scopes.setdefault(scope, comparison.Tally()).add(tally)
                if part.is_steady:
                    self.steady.setdefault(scope, comparison.Tally()).add(tally)

    def is_as_good(self, scope: str, excess: float, nats: float) -> bool:
        """Return whether all answers, or enough steady ones, are as good."""
        tally = self.scopes.get(scope, comparison.Tally())
        if _is_as_good(tally, excess, nats):
            return True
        steady = self.steady.get(scope, comparison.Tally())
        if steady.answers < MIN_STEADY_PART * tally.answers:
            return False
        return _is_as_good(steady, excess, nats)


def _kinds(
    tally: comparison.Tally,
) -> tuple[comparison.KindTally, comparison.KindTally]:
    return (tally.errors, tally.slow)


def _find_bad(view: _View) -> Verdict | None:
    for scope, tally in view.scopes.items():
        for reason, kind in zip(_REASONS, _kinds(tally), strict=True):
            if _is_worse(tally.answers, kind):
                return Verdict(Kind.BAD, reason, scope)
    return None


def _is_worse(answers: int, kind: comparison.KindTally) -> bool:
    """Return whether the target version has more of them than chance allows.

    Given all bad answers of a stratum, an equal version would get its part of
    them by its part of the answers (hypergeometric). The sum over the strata is
    bounded by the binomial of the same mean (Hoeffding, "Probability
    inequalities for sums of bounded random variables", 1963).
    """
    if kind.bad < MIN_BAD_ANSWERS:
        return False
    if kind.bad - kind.baseline < MIN_EXCESS * answers:
        return False
    probability = kind.expected / kind.all_bad
    return chernoff_nats(kind.bad, kind.all_bad, probability) >= BAD_NATS


def _find_good(
    since_order: _View, recent: _View, total: counts.Table
) -> Verdict:
    has_recent = bool(recent.scopes[""].answers)
    if has_recent and not recent.is_as_good("", GOOD_EXCESS, 0.0):
        return Verdict(Kind.UNDECIDED, "recently_worse")
    if not since_order.is_as_good("", GOOD_EXCESS, GOOD_NATS):
        return Verdict(Kind.UNDECIDED, "insufficient_evidence")
    for scope in _large_scopes(total):
        if not since_order.is_as_good(scope, GOOD_PART_EXCESS, GOOD_PART_NATS):
            return Verdict(Kind.UNDECIDED, "insufficient_evidence", scope)
    return Verdict(Kind.GOOD, "as_good_as_previous")


def _is_as_good(tally: comparison.Tally, excess: float, nats: float) -> bool:
    answers = tally.answers
    if not answers:
        return False
    for kind in _kinds(tally):
        bad_rate = min(1.0, kind.baseline / answers + excess)
        if kind.bad >= bad_rate * answers:
            return False
        sound = answers - kind.bad
        if chernoff_nats(sound, answers, 1.0 - bad_rate) < nats:
            return False
    return True


def _large_scopes(total: counts.Table) -> list[str]:
    """Return the routes and bands with a large part of previous answers."""
    sizes: dict[str, int] = {}
    answers = 0
    for key, known in total.items():
        if key.is_target:
            continue
        answers += known.answers
        for name in (f"route={key.cell.route}", f"band={key.cell.band}"):
            sizes[name] = sizes.get(name, 0) + known.answers
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
