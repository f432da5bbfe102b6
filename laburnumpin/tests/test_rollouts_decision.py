"""Tests of roll-outs: exposure, stages, holders and restarts."""

from __future__ import annotations

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from laburnumpin.forwarding.rollouts import exposure
from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.rollouts import rollouts
from laburnumpin.forwarding.rollouts import stages

SETTINGS = model.RolloutSettings(0.1, 50, 5_000)
ORDER = model.Order("s", "v2", 12_000, 1, 5)
SOUND = model.AnswerOutcome.SOUND
FAILED = model.AnswerOutcome.FAILED
WALL_MS = 1_700_000_000_000


def _entry(
    order: model.Order | None = ORDER,
    target: int = 6,
    settings: model.RolloutSettings | None = SETTINGS,
) -> rollouts.Rollouts:
    entry = rollouts.Rollouts(settings, random.Random(1))
    entry.note_upstreams("s", {"v1": 6}, 0)
    if order is not None:
        entry.apply_order(order, 0)
    if target:
        entry.note_upstreams("s", {"v1": 6, "v2": target}, 0)
    return entry


def _decide(
    entry: rollouts.Rollouts, now_ms: int, token: int = 1, at_old: int = 1
) -> model.Decision | None:
    return entry.next_decision("s", now_ms, WALL_MS + now_ms, token, at_old)


def _advance(
    entry: rollouts.Rollouts, now_ms: int, token: int = 1, at_old: int = 1
) -> model.Decision:
    decision = _decide(entry, now_ms, token, at_old)
    assert decision is not None
    assert entry.apply_decision(decision, now_ms)
    return decision


def _answer(
    entry: rollouts.Rollouts,
    number: int,
    now_ms: int,
    failed_target: int = 0,
    failed_previous: int = 0,
) -> None:
    """Record `number` answers of the target and nine times as many old ones."""
    for version, count, failed in (
        ("v1", 9 * number, failed_previous),
        ("v2", number, failed_target),
    ):
        for index in range(count):
            outcome = FAILED if index < failed else SOUND
            entry.record_answer("s", version, "/a", 0.2, outcome, now_ms)


def _serve(
    entry: rollouts.Rollouts, requests: int, now_ms: int, step_ms: int = 3
) -> int:
    """Send requests where they may go and return how many got to v2."""
    sent = 0
    for index in range(requests):
        time_ms = now_ms + index * step_ms
        entry.record_request("s", time_ms)
        allowed = entry.allowed_versions("s", "/a", time_ms)
        version = "v2" if allowed and "v2" in allowed else "v1"
        entry.record_sent("s", version, time_ms)
        sent += version == "v2"
    return sent


def _in_canary() -> rollouts.Rollouts:
    entry = _entry()
    assert _advance(entry, 0).stage is model.Stage.CANARY
    return entry


def _in_shifting() -> rollouts.Rollouts:
    entry = _in_canary()
    _answer(entry, 100, 5_000)
    assert _advance(entry, 9_000).stage is model.Stage.SHIFTING
    return entry


@hypothesis.given(
    strategies.lists(strategies.integers(0, 200), min_size=1, max_size=40),
    strategies.integers(0, 50),
)
def test_exposure_holds_for_any_split_of_the_load(
    splits: list[int], slack: int
) -> None:
    """Guards the sum over entries and restarts, without any message."""
    settings = model.RolloutSettings(0.1, slack, 5_000)
    sent = 0
    for seed, requests in enumerate(splits):
        budget = exposure.ExposureBudget(settings, random.Random(seed), 0)
        for number in range(requests):
            budget.record_request()
            is_target = budget.try_offer(number)
            budget.record_sent(is_target)
            sent += is_target
    assert sent <= 0.1 * sum(splits) + slack


def test_share_is_used_by_entries_with_few_requests() -> None:
    """Guards against 600 entries that each round their share down to none."""
    sent = 0
    for seed in range(600):
        budget = exposure.ExposureBudget(SETTINGS, random.Random(seed), 0)
        for number in range(6):
            budget.record_request()
            is_target = budget.try_offer(number)
            budget.record_sent(is_target)
            sent += is_target
    assert 200 <= sent <= 0.1 * 3_600


def test_share_counts_offers_retries_and_rejected_requests() -> None:
    """Guards against choices in flight and requests that were never sent."""
    budget = exposure.ExposureBudget(
        model.RolloutSettings(0.1, 0, 5_000), random.Random(1), 0
    )
    for _ in range(1_000):
        budget.record_request()
    assert not budget.try_offer(0)  # None was sent to an upstream.
    for _ in range(15):
        budget.record_sent(is_target=False)
    assert budget.try_offer(0)
    for _ in range(8):
        budget.record_sent(is_target=False)
    assert not budget.try_offer(0)  # The first is still on its way.
    budget.record_sent(is_target=True)
    budget.record_sent(is_target=True)  # A retry.
    assert not budget.try_offer(2 * exposure.OFFER_WINDOW_MS)


def test_retries_never_go_to_the_target_version_in_the_canary_stage() -> None:
    """Guards a caller from two bad answers in a row."""
    entry = _in_canary()
    assert _serve(entry, 300, 0) > 0
    _serve(entry, 40, 2_000)
    for now_ms in range(3_000, 6_000, 100):
        entry.record_request("s", now_ms)
        entry.record_sent("s", "v1", now_ms)
        allowed = entry.allowed_versions("s", "/a", now_ms, is_retry=True)
        assert allowed == frozenset(["v1"])


def test_digest_rows_take_turns_beyond_their_number() -> None:
    """Guards digests against many roll-outs at once."""
    entry = rollouts.Rollouts(SETTINGS)
    for service in range(8):
        name = f"s{service}"
        entry.apply_order(model.Order(name, "v2", 12_000, 1, 5), 0)
        entry.note_upstreams(name, {"v1": 1, "v2": 1}, 0)
        for number in range(50):
            zone, route = str(number % 5), f"/{number // 5}"
            entry.record_answer(name, "v1", route, 0.1, SOUND, 0, zone)
    first, second = entry.evidence_rows(), entry.evidence_rows()
    assert len(first) == len(second) == rollouts.MAX_DIGEST_ROWS
    assert len(set(first + second)) == 400


def test_offers_that_are_not_taken_up_lapse() -> None:
    """Guards against a share that busy target upstreams use up."""
    budget = exposure.ExposureBudget(SETTINGS, random.Random(1), 0)
    for _ in range(30):
        budget.record_request()
        budget.record_sent(is_target=False)
    granted = 0
    for now_ms in range(0, 10_000, 100):
        granted += budget.try_offer(now_ms)
        budget.record_request()
        budget.record_sent(is_target=False)
    assert granted > 0.1 * 130


def test_saved_share_is_spent_at_a_bounded_pace() -> None:
    """Guards against a burst after a long wait for upstreams."""
    entry = _entry(target=0)
    _serve(entry, 2_000, 0, step_ms=1)
    entry.note_upstreams("s", {"v1": 6, "v2": 6}, 3_000)
    _advance(entry, 3_000)
    assert 0 < _serve(entry, 100, 3_000) <= 18


def test_without_settings_nothing_changes() -> None:
    """Guards deployments without roll-outs."""
    entry = _entry(settings=None)
    assert entry.allowed_versions("s", "/a", 0) is None
    assert _decide(entry, 0) is None
    assert not entry.apply_order(ORDER, 0)
    assert not entry.evidence_rows()
    assert not entry.decisions()


def test_good_version_is_shifted_late_and_completed_in_time() -> None:
    """Guards the usual way: canary until the shift, then to the end."""
    entry = _in_canary()
    assert entry.allowed_versions("s", "/a", 1) == frozenset(["v1"])
    _answer(entry, 100, 5_000)
    assert _decide(entry, stages.shift_at_ms(12_000) - 1) is None
    assert _advance(entry, 8_400).stage is model.Stage.SHIFTING
    assert entry.allowed_versions("s", "/a", 8_500) == frozenset(["v2"])
    assert _decide(entry, 8_500, at_old=0) is None  # Others don't know yet.
    assert _decide(entry, 10_900, at_old=3) is None
    done = _advance(entry, 11_000, at_old=3)
    assert (done.stage, done.reason) == (
        model.Stage.COMPLETED,
        "limit_reached",
    )
    assert entry.allowed_versions("s", "/a", 11_100) == frozenset(["v2"])
    assert _decide(entry, 11_100) is None


def test_every_entry_stops_on_merged_evidence_before_the_decision() -> None:
    """Guards against bad answers until the holder's row is known."""
    first, second = _in_canary(), _in_canary()
    for number, entry in enumerate((first, second)):
        _answer(entry, 40, 1_000 + number, failed_target=4)
        assert _serve(entry, 40, 1_500) > 0
    second.merge_evidence("first", 1, first.evidence_rows(), 2_000)
    assert _serve(second, 500, 2_100) == 0
    assert _advance(second, 2_200).reason == "target_errors"
    assert _serve(second, 500, 2_300) == 0


def test_bad_version_stays_stopped_when_good_answers_come_late() -> None:
    """Guards against late digests that cover what was found."""
    entry, peer = _in_canary(), _in_canary()
    _answer(entry, 40, 1_000, failed_target=8)
    assert _serve(entry, 300, 1_500) == 0
    _answer(peer, 3_000, 1_000)
    entry.merge_evidence("peer", 1, peer.evidence_rows(), 2_500)
    entry.record_answer("s", "v2", "/a", 0.2, FAILED, 2_600)
    assert _serve(entry, 300, 2_700) == 0


def test_share_ends_at_the_time_limit() -> None:
    """Guards against an entry that no decision reaches any more."""
    entry = _in_canary()
    assert _serve(entry, 300, 11_000) > 0
    assert _serve(entry, 300, 12_000) == 0


def test_bad_version_in_the_shift_is_rolled_back() -> None:
    """Guards against a version that turns bad after the verdict."""
    entry = _in_shifting()
    for _ in range(30):
        entry.record_answer("s", "v2", "/a", 0.2, FAILED, 9_500)
    assert entry.allowed_versions("s", "/a", 9_600) == frozenset(["v1"])
    assert _advance(entry, 9_600).stage is model.Stage.ROLLED_BACK


def test_lost_decision_is_made_again_by_the_next_holder() -> None:
    """Guards against a holder that is killed between verdict and row."""
    holder, successor = _in_canary(), _in_canary()
    _answer(holder, 40, 1_000, failed_target=20)
    successor.merge_evidence("holder", 1, holder.evidence_rows(), 1_100)
    lost = _decide(holder, 1_200, token=1)
    again = _decide(successor, 4_000, token=2)
    assert lost is not None
    assert again is not None
    assert lost.stage is again.stage is model.Stage.ROLLED_BACK
    assert successor.apply_decision(again, 4_100)
    assert _decide(successor, 4_200, token=2) is None


def test_frozen_holder_never_replaces_a_newer_decision() -> None:
    """Guards against a holder that wakes past its lease."""
    entry = _in_canary()
    _answer(entry, 100, 5_000)
    stale = _decide(entry, 9_000, token=1)
    assert stale is not None
    written = dataclasses.replace(stale, fencing_token=3)
    assert entry.apply_decision(written, 9_000)
    late = dataclasses.replace(stale, sequence=9, stage=model.Stage.WAITING)
    assert not entry.apply_decision(late, 9_100)
    assert not entry.apply_decision(written, 9_100)
    assert _decide(entry, 11_500, token=2) is None
    assert _advance(entry, 11_500, token=3).stage is model.Stage.COMPLETED


def test_final_stage_is_never_replaced() -> None:
    """Guards against a roll-out that ends twice."""
    entry = _in_canary()
    entry.abort("s")
    done = _advance(entry, 100)
    other = dataclasses.replace(
        done, stage=model.Stage.COMPLETED, fencing_token=9
    )
    assert not entry.apply_decision(other, 200)
    assert entry.decisions() == (done,)


def test_new_holder_goes_on_from_the_row_after_all_were_killed() -> None:
    """Guards against starting over, and against completing unseen."""
    shifting = _in_shifting().decisions()[0]
    entry = rollouts.Rollouts(SETTINGS, random.Random(1))
    entry.note_upstreams("s", {"v1": 6, "v2": 6}, 0)
    assert entry.apply_decision(shifting, 0)
    assert entry.allowed_versions("s", "/a", 0) == frozenset(["v2"])
    done = entry.next_decision("s", 1_500, WALL_MS + 11_500, 2, 1)
    assert done is not None
    assert done.stage is model.Stage.COMPLETED

    canary = _in_canary().decisions()[0]
    entry = rollouts.Rollouts(SETTINGS, random.Random(1))
    entry.note_upstreams("s", {"v1": 6, "v2": 6}, 0)
    assert entry.apply_decision(canary, 0)
    assert entry.next_decision("s", 500, WALL_MS + 9_000, 2, 1) is None
    done = entry.next_decision("s", 1_500, WALL_MS + 10_500, 2, 1)
    assert done is not None
    assert done.stage is model.Stage.ROLLED_BACK
    assert done.reason == "insufficient_evidence"


def test_unaware_entries_send_nothing_to_a_version_they_see_appear() -> None:
    """Guards against half of the entries that haven't read the order."""
    entry = _entry(order=None)
    hold_ms = SETTINGS.unknown_version_hold_ms
    assert entry.allowed_versions("s", "/a", hold_ms - 1) == frozenset(["v1"])
    assert entry.allowed_versions("s", "/a", hold_ms) is None


def test_order_known_without_a_decision_sends_nothing() -> None:
    """Guards against a restarted entry that has not read the row yet."""
    entry = _entry()
    assert _serve(entry, 500, 0) == 0


def test_restarted_entry_takes_the_target_for_no_established_version() -> None:
    """Guards against an entry that starts when most upstreams are new."""
    entry = rollouts.Rollouts(SETTINGS, random.Random(1))
    entry.note_upstreams("s", {"v1": 2, "v2": 6}, 0)
    entry.apply_order(ORDER, 100)
    assert entry.allowed_versions("s", "/a", 100) == frozenset(["v1"])


def test_without_ready_target_upstreams_it_waits_and_says_so() -> None:
    """Guards against a platform that gives no new VMs."""
    entry = _entry(target=0)
    waiting = _advance(entry, 0)
    assert (waiting.stage, waiting.reason) == (
        model.Stage.WAITING,
        "no_ready_upstreams",
    )
    assert _decide(entry, 9_000) is None
    assert _advance(entry, 10_000).reason == "no_ready_upstreams"


def test_last_target_upstream_reclaimed_goes_back_to_waiting() -> None:
    """Guards against a canary, or a shift, without upstreams."""
    entry = _in_canary()
    entry.note_upstreams("s", {"v1": 6}, 1_000)
    assert _serve(entry, 300, 1_000) == 0
    assert _advance(entry, 1_100).stage is model.Stage.WAITING
    entry = _in_shifting()
    entry.note_upstreams("s", {"v1": 6}, 9_500)
    assert entry.allowed_versions("s", "/a", 9_500) == frozenset(["v1"])
    assert _advance(entry, 11_500).stage is model.Stage.ROLLED_BACK


def test_second_order_replaces_the_first() -> None:
    """Guards against two orders for one service at once."""
    entry = _in_shifting()
    second = model.Order("s", "v3", 12_000, 1, 8)
    assert entry.apply_order(second, 9_500)
    assert not entry.apply_order(ORDER, 9_600)
    entry.note_upstreams("s", {"v1": 6, "v2": 6, "v3": 6}, 9_700)
    assert entry.allowed_versions("s", "/a", 9_700) == frozenset(["v1"])
    assert _advance(entry, 9_700).order == second
    entry.note_upstreams("s", {"v1": 6, "v2": 6}, 9_800)
    assert entry.allowed_versions("s", "/a", 30_000) == frozenset(["v1"])


@pytest.mark.parametrize("is_known", [True, False])
def test_restored_store_orders_nothing_again(is_known: bool) -> None:
    """Guards against a bad version that comes back with the store's era."""
    again = dataclasses.replace(ORDER, era=2)
    entry = _entry(ORDER if is_known else again)
    canary = model.Decision(ORDER, model.Stage.CANARY, 1, 1, WALL_MS, "ready")
    assert entry.apply_decision(canary, 500)
    _answer(entry, 1, 600)
    # Peers merge the rows of one order.
    assert {row.era for row in entry.evidence_rows()} == {ORDER.era}
    rolled_back = model.Decision(
        ORDER, model.Stage.ROLLED_BACK, 1, 2, WALL_MS, "target_errors"
    )
    assert entry.apply_decision(rolled_back, 1_000)
    assert not entry.apply_order(again, 2_000)
    assert not entry.services()
    assert _decide(entry, 3_000, token=2) is None
    assert entry.allowed_versions("s", "/a", 3_000) == frozenset(["v1"])
    newer = dataclasses.replace(again, row_version=6)
    assert entry.apply_order(newer, 4_000)


def test_order_to_the_version_in_force_completes() -> None:
    """Guards against a service that stops for an order to what it has."""
    order = model.Order("s", "v1", 12_000, 1, 5)
    entry = _entry(order, target=0)
    assert entry.allowed_versions("s", "/a", 100) in (None, frozenset(["v1"]))
    assert _decide(entry, 100) is None
    assert _advance(entry, 1_000).reason == "already_in_force"


def test_order_for_an_unknown_service_is_rolled_back() -> None:
    """Guards against an order that never ends."""
    entry = rollouts.Rollouts(SETTINGS)
    entry.apply_order(ORDER, 0)
    assert _advance(entry, 0).reason == "service_unknown"
    assert _advance(entry, 10_000).reason == "service_unknown"
    assert entry.decisions()[0].stage is model.Stage.ROLLED_BACK


def test_withdrawn_order_goes_back() -> None:
    """Guards against a roll-out that goes on after its row is gone."""
    entry = _in_shifting()
    assert entry.withdraw_order("s", 9_100)
    assert not entry.withdraw_order("s", 9_100)
    assert entry.allowed_versions("s", "/a", 9_100) == frozenset(["v1"])
    done = _advance(entry, 9_200)
    assert (done.stage, done.reason) == (
        model.Stage.ROLLED_BACK,
        "order_withdrawn",
    )
    assert entry.allowed_versions("s", "/a", 99_000) == frozenset(["v1"])
    assert not entry.withdraw_order("s", 99_000)


def test_version_that_was_left_is_used_again_if_nothing_else_is_there() -> None:
    """Guards against a service that an old decision stops for good."""
    entry = _in_canary()
    entry.abort("s")
    _advance(entry, 100)
    entry.note_upstreams("s", {"v2": 6}, 1_000)
    assert entry.allowed_versions("s", "/a", 60_999) == frozenset(["v1"])
    entry.note_upstreams("s", {"v2": 6}, 30_000)
    assert entry.allowed_versions("s", "/a", 61_000) is None


def test_pause_holds_the_stage_and_resume_goes_on() -> None:
    """Guards against a promotion that the operator stopped."""
    entry = _in_canary()
    _answer(entry, 100, 5_000)
    entry.pause("s", is_paused=True)
    assert _advance(entry, 6_000).is_paused
    assert _decide(entry, 9_000) is None
    entry.pause("s", is_paused=False)
    resumed = _advance(entry, 9_100)
    assert (resumed.stage, resumed.is_paused) == (
        model.Stage.SHIFTING,
        False,
    )
    paused = _in_canary()
    paused.pause("s", is_paused=True)
    _advance(paused, 1_000)
    assert _advance(paused, 10_000).reason == "paused_until_limit"


@pytest.mark.parametrize(("now_ms", "limit"), [(0, 2), (3_000, 1), (8_000, 1)])
def test_canary_requests_gather_at_few_upstreams(
    now_ms: int, limit: int
) -> None:
    """Guards against a canary that never sees load."""
    entry = _in_canary()
    assert entry.canary_limit("s", now_ms) == limit
    assert _in_shifting().canary_limit("s", 9_000) is None


def test_evidence_of_an_earlier_order_does_not_count() -> None:
    """Guards against counts of another target version."""
    entry, peer = _in_canary(), _in_canary()
    _answer(peer, 40, 1_000, failed_target=20)
    entry.apply_order(model.Order("s", "v3", 12_000, 1, 8), 2_000)
    entry.merge_evidence("peer", 1, peer.evidence_rows(), 2_100)
    status = entry.status("s", 2_100)
    assert status is not None
    assert status.target_answers == 0
