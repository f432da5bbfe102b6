"""Requests that verdicts on versions need, and how often verdicts are wrong.

Simulates the counts of one roll-out from a seed: `python -m
laburnumpin.bench.rollout_verdicts` prints a table. Nothing is sent.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import random
import statistics

from laburnumpin.forwarding.rollouts import evidence
from laburnumpin.forwarding.rollouts import exposure
from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.rollouts import stages
from laburnumpin.forwarding.rollouts import verdict

STEP_MS = 100
# Between the answers and the counts of all entries that include them.
DIGEST_DELAY_MS = 1_000
# An answer is slow beyond this multiple of its predicted first byte.
SLOW_MULTIPLE = 2.5
# Spread of the time to the first byte around its prediction (log-normal).
FIRST_BYTE_SIGMA = 0.35
# Routes with their parts of the requests.
ROUTES = (("draft", 0.12), ("note", 0.88))
HIGH_LOAD = 0.8
LOW_LOAD = 0.3
# Part of the requests that meets an upstream above 70% of its slots.
HIGH_LOAD_PART = 0.25
SOUND = model.AnswerOutcome.SOUND
FAILED = model.AnswerOutcome.FAILED
SLOW = model.AnswerOutcome.SLOW

# Whether an answer of the target version is among those that may be bad, by
# age in ms, route, and load share.
Condition = Callable[[int, str, float], bool]


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """A pair of versions.

    `bad_share` of the target's answers under `condition` fail, or come
    `slow_factor` times later where that's above 1.
    """

    name: str
    bad_share: float = 0.0
    slow_factor: float = 1.0
    previous_failures: float = 0.002
    both_fail: float = 0.0
    condition: Condition = lambda age_ms, route, load: True


def cases(duration_ms: int) -> list[Case]:
    """Return the pairs of versions that the table shows."""
    late_ms = duration_ms // 2
    pairs = [Case("good"), Case("good, old fails 10%", previous_failures=0.1)]
    pairs.append(Case("good, old fails 30%", previous_failures=0.3))
    pairs.append(Case("good, both in a failing zone", both_fail=0.5))
    for share in (0.1, 0.2, 0.3, 0.5):
        pairs.append(Case(f"fails {share:.0%}", share))
    for factor in (3.0, 5.0, 8.0):
        pairs.append(Case(f"30% slow x{factor:.0f}", 0.3, factor))
    pairs.append(Case("10% slow x3", 0.1, 3.0))
    pairs.append(Case("fails 30%, old 10%", 0.3, previous_failures=0.1))
    pairs.append(
        Case("fails 30%, on 12% route", 0.3, condition=_on_small_route)
    )
    pairs.append(Case("fails 30%, above 70% load", 0.3, condition=_under_load))
    pairs.append(
        Case(
            "fails 30%, from half time",
            0.3,
            condition=lambda age_ms, route, load: age_ms >= late_ms,
        )
    )
    return pairs


def _on_small_route(age_ms: int, route: str, load: float) -> bool:
    return route == ROUTES[0][0]


def _under_load(age_ms: int, route: str, load: float) -> bool:
    return load > 0.7


@dataclasses.dataclass(slots=True)
class Result:
    """How one simulated roll-out ended; counts are of the target's answers."""

    kind: verdict.Kind
    age_ms: int
    answers: int
    bad: int


def simulate(
    case: Case, requests_per_s: float, duration_ms: int, seed: int
) -> Result:
    """Return the verdict on one pair of versions."""
    generator = random.Random(seed)
    counts = evidence.Evidence(evidence.RowLimit())
    delayed: list[tuple[int, tuple[bool, str, str, float]]] = []
    outcomes: list[model.AnswerOutcome] = []
    share = 0.1 * exposure.SPENT_PART
    answers = 0
    bad = 0
    read = 0
    owed = 0.0
    judgement = verdict.Verdict(verdict.Kind.UNDECIDED)
    for age_ms in range(0, stages.latest_shift_ms(duration_ms), STEP_MS):
        owed += requests_per_s * STEP_MS / 1_000
        while owed >= 1.0:
            owed -= 1.0
            is_target = generator.random() < share
            route = ROUTES[generator.random() > ROUTES[0][1]][0]
            zone = generator.choice("ab")
            is_high = generator.random() < HIGH_LOAD_PART
            load = HIGH_LOAD if is_high else LOW_LOAD
            outcome = _answer(
                generator, case, is_target, age_ms, route, zone, load
            )
            answers += is_target
            bad += is_target and outcome is not SOUND
            delayed.append((age_ms, (is_target, route, zone, load)))
            outcomes.append(outcome)
        while (
            read < len(delayed) and delayed[read][0] <= age_ms - DIGEST_DELAY_MS
        ):
            counts.record(*delayed[read][1], outcomes[read], age_ms)
            read += 1
        judgement = verdict.judge(counts, age_ms)
        is_shift_due = age_ms >= stages.shift_at_ms(duration_ms)
        if judgement.kind is verdict.Kind.BAD:
            return Result(judgement.kind, age_ms, answers, bad)
        if judgement.kind is verdict.Kind.GOOD and is_shift_due:
            return Result(judgement.kind, age_ms, answers, bad)
    return Result(verdict.Kind.UNDECIDED, duration_ms, answers, bad)


def _answer(
    generator: random.Random,
    case: Case,
    is_target: bool,
    age_ms: int,
    route: str,
    zone: str,
    load: float,
) -> model.AnswerOutcome:
    if zone == "a" and generator.random() < case.both_fail:
        return FAILED
    is_bad = is_target and generator.random() < case.bad_share
    is_bad = is_bad and case.condition(age_ms, route, load)
    if is_bad and case.slow_factor <= 1.0:
        return FAILED
    if not is_target and generator.random() < case.previous_failures:
        return FAILED
    multiple = math.exp(generator.gauss(0.0, FIRST_BYTE_SIGMA))
    if is_bad:
        multiple *= case.slow_factor
    return SLOW if multiple > SLOW_MULTIPLE else SOUND


def table(seeds: int, requests_per_s: float, duration_ms: int) -> list[str]:
    """Return the lines of a Markdown table over `seeds` roll-outs a case."""
    lines = [
        "| target version | bad | good | none | answers p50 / p95 | "
        "bad answers p50 / max | s p50 |",
        "|---|---|---|---|---|---|---|",
    ]
    for case in cases(duration_ms):
        results = [
            simulate(case, requests_per_s, duration_ms, seed)
            for seed in range(seeds)
        ]
        lines.append(_line(case, results))
    return lines


def _line(case: Case, results: Sequence[Result]) -> str:
    shares = [
        sum(result.kind is kind for result in results) / len(results)
        for kind in (
            verdict.Kind.BAD,
            verdict.Kind.GOOD,
            verdict.Kind.UNDECIDED,
        )
    ]
    answers = sorted(result.answers for result in results)
    bad = sorted(result.bad for result in results)
    age_s = statistics.median(result.age_ms for result in results) / 1_000
    p95 = answers[int(0.95 * (len(answers) - 1))]
    return (
        f"| {case.name} | "
        + " | ".join(f"{share:.1%}" for share in shares)
        + f" | {statistics.median(answers):.0f} / {p95}"
        + f" | {statistics.median(bad):.0f} / {bad[-1]} | {age_s:.1f} |"
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--requests-per-s", type=float, default=350.0)
    parser.add_argument("--duration-ms", type=int, default=12_000)
    arguments = parser.parse_args()
    lines = table(
        arguments.seeds, arguments.requests_per_s, arguments.duration_ms
    )
    print("\n".join(lines))


if __name__ == "__main__":
    main()
