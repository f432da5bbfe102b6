"""The stages of a roll-out and what leads from one to the next."""

from __future__ import annotations

import dataclasses

from laburnumpin.forwarding.rollouts import model
from laburnumpin.forwarding.rollouts import verdict

# Part of the time limit that is kept for the shift, and its bounds. The canary
# stage lasts until then, so that a version that turns bad late shows itself.
SHIFT_PART = 0.3
MAX_SHIFT_MS = 30_000
# With less time left than this, no shift begins any more.
MIN_SHIFT_MS = 2_000
# The last decision is made this long before the time limit.
FINAL_RESERVE_MS = 1_000
# Time in which entries learn of the shift before the old upstreams may stop,
# and in which upstreams of another version are seen before an order counts as
# one to the version in force.
SETTLE_MS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class Facts:
    """What the next stage depends on.

    `stage` is None before the first decision; times are milliseconds since the
    order and since the stage was learnt of here.
    """

    stage: model.Stage | None
    age_ms: int
    in_stage_ms: int
    duration_ms: int
    ready_target: int
    ready_previous: int
    judgement: verdict.Verdict
    requests_at_previous: int
    is_withdrawn: bool = False
    is_aborted: bool = False
    is_paused: bool = False
    is_in_force: bool = False
    is_service_known: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """A stage to write, with its coded reason."""

    stage: model.Stage
    reason: str


def shift_at_ms(duration_ms: int) -> int:
    """Return the age at which the shift begins, if the version is good."""
    reserve_ms = min(int(duration_ms * SHIFT_PART), MAX_SHIFT_MS)
    return duration_ms - max(reserve_ms, _min_shift_ms(duration_ms))


def latest_shift_ms(duration_ms: int) -> int:
    """Return the age after which no shift begins."""
    return duration_ms - _min_shift_ms(duration_ms)


def final_at_ms(duration_ms: int) -> int:
    """Return the age at which the last decision is made."""
    return duration_ms - min(FINAL_RESERVE_MS, duration_ms // 10)


def next_step(facts: Facts) -> Step | None:
    """Return the step that follows, or None to stay."""
    if facts.stage is not None and facts.stage.is_final:
        return None
    if facts.is_withdrawn:
        return _roll_back("order_withdrawn")
    if facts.is_aborted:
        return _roll_back("aborted")
    if facts.is_in_force and facts.stage in (None, model.Stage.WAITING):
        if facts.age_ms < SETTLE_MS:
            return None
        return Step(model.Stage.COMPLETED, "already_in_force")
    if facts.judgement.kind is verdict.Kind.BAD:
        return _roll_back(reason_of(facts.judgement))
    if facts.stage is model.Stage.SHIFTING:
        return _after_shifting(facts)
    return _before_shifting(facts)


def reason_of(judgement: verdict.Verdict) -> str:
    """Return the coded reason of a verdict, with its scope."""
    if not judgement.scope:
        return judgement.reason
    return f"{judgement.reason}:{judgement.scope}"


def _before_shifting(facts: Facts) -> Step | None:
    if facts.age_ms >= latest_shift_ms(facts.duration_ms):
        if facts.is_paused:
            return _roll_back("paused_until_limit")
        if not facts.ready_target:
            return _roll_back(_waiting_reason(facts))
        if facts.judgement.kind is not verdict.Kind.GOOD:
            return _roll_back("insufficient_evidence")
    if not facts.ready_target:
        if facts.stage is model.Stage.WAITING:
            return None
        return Step(model.Stage.WAITING, _waiting_reason(facts))
    if facts.stage is not model.Stage.CANARY:
        return Step(model.Stage.CANARY, "upstreams_ready")
    if facts.is_paused or facts.judgement.kind is not verdict.Kind.GOOD:
        return None
    if facts.age_ms < shift_at_ms(facts.duration_ms):
        return None
    return Step(model.Stage.SHIFTING, facts.judgement.reason)


def _after_shifting(facts: Facts) -> Step | None:
    is_due = facts.age_ms >= final_at_ms(facts.duration_ms)
    if facts.is_paused:
        return _roll_back("paused_until_limit") if is_due else None
    if not facts.ready_target:
        return _roll_back("no_ready_upstreams") if is_due else None
    is_settled = facts.in_stage_ms >= SETTLE_MS
    if is_settled and not facts.requests_at_previous:
        return Step(model.Stage.COMPLETED, "previous_finished")
    if is_due:
        return Step(model.Stage.COMPLETED, "limit_reached")
    return None


def _waiting_reason(facts: Facts) -> str:
    if not facts.is_service_known:
        return "service_unknown"
    return "no_ready_upstreams"


def _roll_back(reason: str) -> Step:
    return Step(model.Stage.ROLLED_BACK, reason)


def _min_shift_ms(duration_ms: int) -> int:
    return min(MIN_SHIFT_MS, duration_ms // 4)
