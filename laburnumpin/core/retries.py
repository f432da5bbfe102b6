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
# About the streams of one engine, so that they can be resumed when it fails.
BUDGET_CAP = 32.0
OVERLOADED_RETRY_AFTER_MS = 1_000

# The stream ended although the engine did nothing wrong that is known.
_BROKEN_STREAM = (
    events.AttemptFailure.CONNECTION_LOST,
    events.AttemptFailure.INTER_TOKEN_TIMEOUT,
    events.AttemptFailure.TRUNCATED,
)

# A stream that has output meets these when its engine is gone or full. None
# can repeat at once: the upstream gets no work until it reports again, and the
# next attempt recomputes.
_ENGINE_UNUSABLE = (
    events.AttemptFailure.CONNECT_FAILED,
    events.AttemptFailure.UNKNOWN_GENERATION,
    events.AttemptFailure.UPSTREAM_OVERLOADED,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """Retry at `not_before_ms`, or give up with `failure`."""

    not_before_ms: int = 0
    failure: messages.Failure | None = None


class RetriesState:
    """The retry budget, in attempts; negative when moves overdrew it."""

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
    upstream_leaving: bool,
    progressed: bool,
    now_ms: int,
) -> Decision:
    """Decide on a retry after an attempt failed.

    Two kinds are charged to the budget, but not refused when it is empty. A
    move away from a leaving upstream, since accepted work survives an
    announced reclaim; there is at most one per request and leaving upstream.
    The continuation of a stream whose attempt `progressed`, or which found
    its engine gone. It cannot become a storm, since every one needs output of
    the one before, or an engine that reported since. An
    attempt that expired in this process is not charged, since the upstream
    saw nothing of it.
    """
    not_run = attempt_verdict is verdict.Verdict.NOT_RUN
    if not (request.operation.idempotent or not_run):
        return _give_up(state, request, failure, "not_repeatable")
    if failure is events.AttemptFailure.REJECTED:
        return _give_up(state, request, failure, "rejected")
    moves = (
        upstream_leaving or failure is events.AttemptFailure.UPSTREAM_LEAVING
    )
    expired = failure is events.AttemptFailure.EXPIRED_BEFORE_SEND
    budget = state.retries.budget
    continues = (
        progressed
        and failure in _BROKEN_STREAM
        and attempt_verdict is verdict.Verdict.MAY_HAVE_RUN
    )
    if request.chunks and failure in _ENGINE_UNUSABLE:
        continues = True
    if budget < 1.0 and not (moves or continues or expired):
        return _give_up(state, request, failure, "budget_exhausted")
    delay_ms = 0 if moves or expired else _backoff_ms(state, request)
    if now_ms + delay_ms >= request.deadline_ms:
        return _give_up(state, request, failure, "deadline_passed")
    if not expired:
        state.retries.budget = max(budget - 1.0, -BUDGET_CAP)
    state.counters.increment("retries", failure.value)
    return Decision(not_before_ms=now_ms + delay_ms)


def _backoff_ms(
    state: entry_state.EntryState, request: requests.Request
) -> int:
    ceiling_ms = BACKOFF_BASE_MS * 2 ** min(request.attempt_count - 1, 10)
    return state.random.randint(0, min(ceiling_ms, BACKOFF_CAP_MS))


def _give_up(
    state: entry_state.EntryState,
    request: requests.Request,
    failure: events.AttemptFailure,
    reason: str,
) -> Decision:
    state.counters.increment("retries_refused", reason)
    retry_after_ms = None
    if failure is events.AttemptFailure.UPSTREAM_OVERLOADED:
        retry_after_ms = OVERLOADED_RETRY_AFTER_MS
    return Decision(
        failure=messages.Failure(
            failure.value,
            f"the attempt failed ({reason})",
            request.verdict,
            retry_after_ms,
        )
    )
