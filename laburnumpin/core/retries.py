"""Whether and when a failed attempt is retried."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from laburnumpin import verdict
from laburnumpin.core import events
from laburnumpin.core import messages

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

BACKOFF_BASE_MS = 50
BACKOFF_CAP_MS = 2_000
BUDGET_CAP = 10.0


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """Retry at `not_before_ms`, or give up with `failure`."""

    not_before_ms: int = 0
    failure: messages.Failure | None = None


class RetriesState:
    """The retry budget, in attempts."""

    __slots__ = ("budget",)

    def __init__(self) -> None:
        self.budget = 0.0


def on_first_attempt(
    state: entry_state.EntryState, request: requests.Request
) -> None:
    """Fill the budget by the configured share of a first attempt."""
    share = request.configuration.deployment.policy.retry_share
    state.retries.budget = min(state.retries.budget + share, BUDGET_CAP)


def decide(
    state: entry_state.EntryState,
    request: requests.Request,
    attempt_verdict: verdict.Verdict,
    failure: events.AttemptFailure,
    now_ms: int,
) -> Decision:
    """Decide on a retry after an attempt failed."""
    safe = (
        request.operation.idempotent
        or attempt_verdict is verdict.Verdict.NOT_RUN
    )
    if not safe:
        return _give_up(request, failure, "not_repeatable")
    if state.retries.budget < 1.0:
        return _give_up(request, failure, "retry_budget_exhausted")
    ceiling_ms = BACKOFF_BASE_MS * 2 ** min(request.attempt_count, 10)
    delay_ms = state.random.randint(0, min(ceiling_ms, BACKOFF_CAP_MS))
    if now_ms + delay_ms >= request.deadline_ms:
        return _give_up(request, failure, "deadline_passed")
    state.retries.budget -= 1.0
    state.counters.increment("retries", failure.value)
    return Decision(not_before_ms=now_ms + delay_ms)


def _give_up(
    request: requests.Request, failure: events.AttemptFailure, why: str
) -> Decision:
    return Decision(
        failure=messages.Failure(
            failure.value, f"the attempt failed ({why})", request.verdict
        )
    )
