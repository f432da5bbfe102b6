"""Tests of the counts that versions are compared by, and of their verdicts."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies
import pytest

from laburnumpin.bench import rollout_verdicts
from laburnumpin.forwarding.rollouts import counts as counts_module
from laburnumpin.forwarding.rollouts import evidence
from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.rollouts import verdict

SOUND = model.AnswerOutcome.SOUND
FAILED = model.AnswerOutcome.FAILED


def _new() -> evidence.Evidence:
    return evidence.Evidence(evidence.RowLimit())


def _row(
    answers: int,
    errors: int,
    is_target: bool = True,
    route: str = "/a",
    zone: str = "z",
) -> model.EvidenceRow:
    return model.EvidenceRow(
        "s", 1, 1, is_target, route, zone, 0, answers, errors, 0
    )


def _record(
    counts: evidence.Evidence,
    is_target: bool,
    sound: int,
    failed: int,
    route: str = "/a",
    zone: str = "z",
    load: float = 0.2,
    now_ms: int = 0,
) -> None:
    for outcome, number in ((SOUND, sound), (FAILED, failed)):
        for _ in range(number):
            counts.record(is_target, route, zone, load, outcome, now_ms)


def _judge(counts: evidence.Evidence, now_ms: int = 0) -> verdict.Verdict:
    return verdict.judge(counts, now_ms)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["p", "q"]),  # peer
            strategies.integers(1, 3),  # incarnation
            strategies.booleans(),  # is bad
        ),
        max_size=40,
    ),
    strategies.randoms(use_true_random=False),
)
def test_merged_counts_ignore_order_loss_and_repetition(
    answers: list[tuple[str, int, bool]], generator: random.Random
) -> None:
    """Guards against digests that count twice after a restart or a delay."""
    sums: dict[tuple[str, int], list[int]] = {}
    digests = []
    for peer, incarnation, is_bad in answers:
        known = sums.setdefault((peer, incarnation), [0, 0])
        known[0] += 1
        known[1] += is_bad
        digests.append((peer, incarnation, _row(known[0], known[1])))
    last = [
        (peer, incarnation, _row(known[0], known[1]))
        for (peer, incarnation), known in sums.items()
    ]
    kept = [digest for digest in digests if generator.random() < 0.7]
    sent = kept + kept + last
    generator.shuffle(sent)
    merged = _new()
    for peer, incarnation, row in sent:
        merged.merge(peer, incarnation, [row], 0)
    expected = counts_module.Counts(
        len(answers), sum(is_bad for _, _, is_bad in answers), 0
    )
    found = list(merged.total.values()) or [counts_module.Counts()]
    assert found == [expected]


def test_rows_of_peers_are_bounded_and_given_back() -> None:
    """Guards against memory that grows with peers, restarts and routes."""
    limit = evidence.RowLimit(10)
    counts = evidence.Evidence(limit)
    for number in range(100):
        counts.merge("p", number, [_row(1, 0, route=f"/{number}")], 0)
        counts.merge(f"q{number}", 1, [_row(1, 0)], 0)
        _record(counts, True, 1, 0, route=f"/{number}", zone=str(number))
    assert limit.left == 0
    assert (
        len(list(counts.own_rows())) <= evidence.MAX_ROWS + counts_module.BANDS
    )
    counts.release()
    assert limit.left == 10


def test_malformed_rows_are_left_out() -> None:
    """Guards against a peer's row with more errors than answers."""
    counts = _new()
    counts.merge("p", 1, [_row(1, 2), _row(-1, -1)], 0)
    assert not counts.total


def test_answers_beyond_the_rows_still_count() -> None:
    """Guards against a bad version that hides behind many routes and zones."""
    counts = _new()
    for number in range(800):
        route, zone = f"/{number % 40}", str(number // 80)
        load = 0.1 + 0.8 * (number // 40 % 2)
        _record(counts, number % 3 == 0, 1, 0, route, zone, load)
    assert sum(known.answers for known in counts.total.values()) == 800
    rows = list(counts.own_rows())
    assert len(rows) <= evidence.MAX_ROWS + 2 * counts_module.BANDS


@pytest.mark.parametrize(
    ("target", "previous", "kind"),
    [
        ((90, 10), (900, 0), verdict.Kind.BAD),
        ((100, 0), (900, 0), verdict.Kind.GOOD),
        ((70, 30), (630, 270), verdict.Kind.UNDECIDED),
        ((210, 90), (1_890, 810), verdict.Kind.GOOD),
        ((20, 0), (200, 0), verdict.Kind.UNDECIDED),
        ((7, 13), (630, 270), verdict.Kind.UNDECIDED),
        ((0, 4), (100, 0), verdict.Kind.UNDECIDED),
        ((970, 30), (9_000, 0), verdict.Kind.GOOD),
    ],
)
def test_versions_are_compared_with_each_other(
    target: tuple[int, int], previous: tuple[int, int], kind: verdict.Kind
) -> None:
    """Guards against fixed limits: the previous version may fail as well."""
    counts = _new()
    _record(counts, True, *target)
    _record(counts, False, *previous)
    assert _judge(counts).kind is kind


def test_without_previous_answers_nothing_is_decided() -> None:
    """Guards against blame, or praise, without anything beside it."""
    counts = _new()
    _record(counts, True, 100, 100)
    assert _judge(counts).kind is verdict.Kind.UNDECIDED


def test_version_bad_on_one_small_route_is_found() -> None:
    """Guards against a bad route that many good answers cover."""
    counts = _new()
    _record(counts, True, 900, 0)
    _record(counts, True, 15, 9, route="/b")
    _record(counts, False, 8_000, 400)
    _record(counts, False, 280, 0, route="/b")
    found = _judge(counts)
    assert found == verdict.Verdict(
        verdict.Kind.BAD, "target_errors", "route=/b"
    )


def test_version_bad_only_under_load_is_found_or_waited_for() -> None:
    """Guards against a verdict from lightly loaded upstreams alone."""
    counts = _new()
    _record(counts, True, 900, 0)
    _record(counts, False, 8_000, 400)
    _record(counts, False, 1_500, 0, load=0.8)
    assert _judge(counts).scope == "band=1"
    assert _judge(counts).kind is verdict.Kind.UNDECIDED
    _record(counts, True, 15, 9, load=0.8)
    found = _judge(counts)
    assert (found.kind, found.scope) == (verdict.Kind.BAD, "band=1")


def test_version_that_turns_bad_late_is_found_by_recent_answers() -> None:
    """Guards against a late failure that earlier good answers cover."""
    counts = _new()
    _record(counts, True, 2_000, 0)
    _record(counts, False, 18_000, 600)
    assert _judge(counts).kind is verdict.Kind.GOOD
    late_ms = 20_000
    _record(counts, True, 20, 4, now_ms=late_ms)
    _record(counts, False, 260, 8, now_ms=late_ms)
    found = _judge(counts, late_ms)
    assert (found.kind, found.reason) == (
        verdict.Kind.UNDECIDED,
        "recently_worse",
    )
    _record(counts, True, 20, 9, now_ms=late_ms)
    _record(counts, False, 260, 8, now_ms=late_ms)
    assert _judge(counts, late_ms).kind is verdict.Kind.BAD


def test_failures_that_begin_for_both_at_once_are_no_ones_fault() -> None:
    """Guards against a store outage that is counted against new answers."""
    counts = _new()
    _record(counts, True, 100, 0)
    _record(counts, False, 20_000, 0)
    outage_ms = 20_000
    _record(counts, True, 15, 15, now_ms=outage_ms)
    _record(counts, False, 150, 150, now_ms=outage_ms)
    assert _judge(counts, outage_ms).kind is not verdict.Kind.BAD
    later_ms = 40_000
    _record(counts, True, 30, 0, now_ms=later_ms)
    _record(counts, False, 300, 0, now_ms=later_ms)
    assert _judge(counts, later_ms).kind is verdict.Kind.GOOD


def test_good_version_beside_a_failing_zone_is_not_blamed() -> None:
    """Guards against a zone's failures where most target upstreams are."""
    counts = _new()
    _record(counts, True, 30, 30, zone="failing")
    _record(counts, True, 60, 0, zone="sound")
    _record(counts, False, 60, 60, zone="failing")
    _record(counts, False, 4_000, 0, zone="sound")
    assert _judge(counts).kind is verdict.Kind.GOOD
    # Also where the previous version has only other routes in that zone.
    _record(counts, True, 30, 30, route="/b", zone="failing")
    _record(counts, False, 600, 0, route="/b", zone="sound")
    assert _judge(counts).kind is not verdict.Kind.BAD


def test_few_answers_beside_sound_ones_do_not_make_a_version_good() -> None:
    """Guards against a verdict from the one small zone that doesn't fail."""
    counts = _new()
    _record(counts, True, 100, 130, zone="failing")
    _record(counts, True, 40, 0, zone="sound")
    _record(counts, False, 1_000, 1_000, zone="failing")
    _record(counts, False, 800, 0, zone="sound")
    assert _judge(counts).kind is verdict.Kind.UNDECIDED


def test_lost_answers_never_count() -> None:
    """Guards against a reclaim that is counted against a version."""
    counts = _new()
    counts.record(True, "/a", "z", 0.2, model.AnswerOutcome.LOST, 0)
    assert not counts.total


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("good", verdict.Kind.GOOD),
        ("good, old fails 30%", verdict.Kind.GOOD),
        ("fails 10%", verdict.Kind.BAD),
        ("30% slow x3", verdict.Kind.BAD),
        ("fails 30%, above 70% load", verdict.Kind.BAD),
    ],
)
def test_simulated_versions_get_their_verdict(
    name: str, kind: verdict.Kind
) -> None:
    """Guards the stated error rates, at 350 requests a second."""
    case = next(
        case for case in rollout_verdicts.cases(12_000) if case.name == name
    )
    results = [
        rollout_verdicts.simulate(case, 350.0, 12_000, seed)
        for seed in range(5)
    ]
    assert [result.kind for result in results] == [kind] * 5
    if kind is verdict.Kind.BAD:
        assert max(result.bad for result in results) < 50
