"""Retry decisions: retry budget, backoff and retryable failures."""

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
# About the streams of one engine, so that all can be resumed when it fails.
MAX_BUDGET_ATTEMPTS = 32.0
OVERLOADED_RETRY_AFTER_MS = 1_000

# Failures that break a stream, but are no evidence of a fault of the engine.
_BROKEN_STREAM_FAILURES = (
    events.AttemptFailure.CONNECTION_LOST,
    events.AttemptFailure.INTER_TOKEN_TIMEOUT,
    events.AttemptFailure.TRUNCATED,
)

# Failures of a stream that has output if its engine has stopped, is full, or no
# longer has the generation. None of them can recur immediately: a stopped or
# full upstream gets no requests until it reports its load again, and without a
# generation the next attempt recomputes the tokens.
_ENGINE_UNAVAILABLE_FAILURES = (
    events.AttemptFailure.CONNECT_FAILED,
    events.AttemptFailure.UNKNOWN_GENERATION,
    events.AttemptFailure.UPSTREAM_OVERLOADED,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """Retry no earlier than `not_before_ms`, or end with `failure` if set."""

    not_before_ms: int = 0
    failure: messages.Failure | None = None


class RetriesState:
    """The retry budget, in attempts.

    It is negative after more retries off leaving upstreams and continued
    streams than it covers.
    """

    __slots__ = ("budget",)

    def __init__(self) -> None:
        self.budget = 0.0


def on_first_attempt(
    state: entry_state.EntryState, request: requests.Request
) -> None:
    """Add the configured share of an attempt to the budget."""
    share = request.configuration.deployment.policy.retry_share
    state.retries.budget = min(
        state.retries.budget + share, MAX_BUDGET_ATTEMPTS
    )


def decide(
    state: entry_state.EntryState,
    request: requests.Request,
    attempt_verdict: verdict.Verdict,
    failure: events.AttemptFailure,
    upstream_leaving: bool,
    progressed: bool,
    now_ms: int,
) -> Decision:
    """Return whether and when to retry after an attempt failed.

    Two kinds of retries are charged to the budget, but allowed even when it
    is exhausted:

    - A retry off a leaving upstream, since an announced reclaim must not fail
      accepted requests. There is at most one per request and leaving upstream.
    - The continuation of a stream whose attempt `progressed`, or whose engine
      was unavailable. It cannot cause a retry storm, since each such retry
      requires output from the attempt before, or an engine that has reported
      its load since.

    An attempt that expired before it was sent is not charged, since the
    upstream received nothing.
    """
    not_run = attempt_verdict is verdict.Verdict.NOT_RUN
    if not (request.operation.idempotent or not_run):
        return _give_up(state, request, failure, "not_repeatable")
    if failure is events.AttemptFailure.REJECTED:
        return _give_up(state, request, failure, "rejected")
    off_leaving_upstream = (
        upstream_leaving or failure is events.AttemptFailure.UPSTREAM_LEAVING
    )
    was_not_sent = failure is events.AttemptFailure.EXPIRED_BEFORE_SEND
    budget = state.retries.budget
    continues_stream = (
        progressed
        and failure in _BROKEN_STREAM_FAILURES
        and attempt_verdict is verdict.Verdict.MAY_HAVE_RUN
    )
    if request.chunks and failure in _ENGINE_UNAVAILABLE_FAILURES:
        continues_stream = True
    if budget < 1.0 and not (
        off_leaving_upstream or continues_stream or was_not_sent
    ):
        return _give_up(state, request, failure, "budget_exhausted")
    delay_ms = (
        0
        if off_leaving_upstream or was_not_sent
        else _backoff_ms(state, request)
    )
    if now_ms + delay_ms >= request.deadline_ms:
        return _give_up(state, request, failure, "deadline_passed")
    if not was_not_sent:
        state.retries.budget = max(budget - 1.0, -MAX_BUDGET_ATTEMPTS)
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
