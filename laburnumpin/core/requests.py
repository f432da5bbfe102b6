"""Requests that this entry owns, from admission to their outcome.

Handlers move a request through its phases: they queue it, claim it, dispatch
attempts to upstreams, and retry, hand over or end it.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import heapq
from typing import TYPE_CHECKING

from laburnumpin import verdict
from laburnumpin.core import claims
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import lifecycle
from laburnumpin.core import limits
from laburnumpin.core import messages
from laburnumpin.core import moves
from laburnumpin.core import prefixes
from laburnumpin.core import retries
from laburnumpin.core import routing
from laburnumpin.core import subscriptions
from laburnumpin.core import upstreams

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

# An ended request stays readable for this time, unless the answers of all
# ended requests exceed the token limit; then the oldest are dropped first. A
# token takes about 80 bytes, so that the limit is about 40 MB.
RETENTION_MS = 300_000
MAX_RETAINED_TOKENS = 500_000
# A dispatch that the shell has not sent within this time fails as
# `EXPIRED_BEFORE_SEND`, and an upstream is chosen again.
DISPATCH_VALID_MS = 1_000
FIRST_BYTE_TIMEOUT_MS = 10_000
INTER_TOKEN_TIMEOUT_MS = 5_000


# Failures after which the stream is not resumed at its engine: the engine no
# longer has the generation, cannot be reached, or sent invalid output.
_GENERATION_LOST_FAILURES = (
    events.AttemptFailure.UNKNOWN_GENERATION,
    events.AttemptFailure.CONNECT_FAILED,
    events.AttemptFailure.PROTOCOL_ERROR,
)


class Phase(enum.Enum):
    """Phase of a request.

    A `CLAIMING` request waits for its claim row, a `RUNNING` one for an
    attempt or a KV cache import. An `OFFERED` request waits for a successor
    to take it over or for its write to the object store; `HANDED_OVER`
    follows.
    """

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"
    OFFERED = "offered"
    ENDED = "ended"
    HANDED_OVER = "handed_over"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One dispatch of a request to an upstream, until it ends.

    `started_ms` is the time of the dispatch, and `start_offset` the request's
    `next_offset` at that time.
    """

    attempt_id: str
    upstream_id: str
    started_ms: int
    start_offset: int


@dataclasses.dataclass(slots=True)
class Request:
    """A request that this entry owns or owned.

    `configuration` is the version that was in force when this entry accepted
    the request or took it over; later versions do not affect the request.
    `blocks` are the hashes of the prompt's prefix blocks. `not_before_ms`
    delays a retry. `claim_tokens` are the tokens under which the claim may be
    held, the latest last. `claimed` is set while this entry holds the claim,
    whose row then has `claim_version`. `handed_to` is the successor after a
    handover; None if the request went to the object store. The engine
    `generation_upstream_id` has the generation from which a stream can be
    resumed; `importing_to` is the engine that is importing its KV cache.
    """

    request_id: str
    customer: str
    service: deployment.Service
    operation: deployment.Operation
    body: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    blocks: tuple[str, ...]
    idempotency_key: str | None
    accepted_ms: int
    deadline_ms: int
    priority: deployment.Priority
    configuration: deployment.Configuration
    phase: Phase = Phase.QUEUED
    verdict: verdict.Verdict = verdict.Verdict.NOT_RUN
    attempt: Attempt | None = None
    attempt_count: int = 0
    not_before_ms: int = 0
    first_output_ms: int | None = None
    chunks: list[messages.Chunk] = dataclasses.field(default_factory=list)
    outcome: messages.Outcome | None = None
    ended_ms: int = 0
    claim_tokens: tuple[str, ...] = ()
    claimed: bool = False
    claim_version: int = 0
    handed_to: ids.EntryId | None = None
    last_upstream_id: str | None = None
    generation_upstream_id: str | None = None
    importing_to: str | None = None

    @property
    def next_offset(self) -> int:
        """Return the offset that follows the output received so far."""
        return self.chunks[-1].next_offset if self.chunks else 0


class RequestsState:
    """The requests of this entry, by id, and the attempts in flight.

    `deadlines` is a heap of (deadline in ms, request id). The item of a request
    that ends earlier is removed only at its deadline. `ended_ids` has the ended
    requests and those that another successor claimed, oldest first.
    `retained_tokens_by_id` has the length of each retained answer, and
    `retained_tokens` is their sum. `unfinished` counts the requests that are
    neither ended nor handed over.
    """

    __slots__ = (
        "by_id",
        "deadlines",
        "ended_ids",
        "next_request_number",
        "request_id_by_attempt",
        "retained_tokens",
        "retained_tokens_by_id",
        "unfinished",
    )

    def __init__(self) -> None:
        self.by_id: dict[str, Request] = {}
        self.request_id_by_attempt: dict[str, str] = {}
        self.deadlines: list[tuple[int, str]] = []
        self.ended_ids: collections.deque[str] = collections.deque()
        self.next_request_number = 1
        self.retained_tokens_by_id: dict[str, int] = {}
        self.retained_tokens = 0
        self.unfinished = 0


def has_unfinished(state: entry_state.EntryState) -> bool:
    """Return whether any request is neither ended nor handed over."""
    return state.requests.unfinished > 0


def on_arrived(
    state: entry_state.EntryState, event: events.RequestArrived
) -> list[effects.Effect]:
    """Accept and queue a request, or refuse it with a failure code."""
    refusal_code = lifecycle.refusal_reason(state, event.now_ms)
    if refusal_code is not None:
        return _refuse(
            state,
            event,
            refusal_code,
            "this entry accepts no new requests",
            1_000,
        )
    current = state.configuration.current
    assert current is not None
    service = current.deployment.services.get(event.service)
    if service is None:
        return _refuse(state, event, "unknown_service", "no such service")
    operation = service.operations.get(event.operation)
    if operation is None:
        return _refuse(state, event, "unknown_operation", "no such operation")
    if event.deadline_ms <= event.now_ms:
        return _refuse(state, event, "deadline_passed", "the deadline passed")
    request = Request(
        request_id=ids.request_id(
            state.entry, state.requests.next_request_number
        ),
        customer=event.customer,
        service=service,
        operation=operation,
        body=event.body,
        prompt=event.prompt,
        prompt_tokens=prefixes.count_tokens(event.prompt),
        max_tokens=event.max_tokens,
        blocks=prefixes.block_hashes(event.prompt),
        idempotency_key=event.idempotency_key,
        accepted_ms=event.now_ms,
        deadline_ms=event.deadline_ms,
        priority=event.priority or operation.priority,
        configuration=current,
    )
    failure = limits.admit(state, request, event.now_ms)
    if failure is not None:
        state.counters.increment("refusals", failure.code)
        return [effects.Refuse(event.exchange_id, failure)]
    state.requests.next_request_number += 1
    add(state, request)
    state.counters.increment("accepted", service.name)
    result: list[effects.Effect] = [
        effects.Accept(event.exchange_id, request.request_id)
    ]
    limits.enqueue(state, request, event.now_ms)
    result.extend(dispatch_queued(state, event.now_ms))
    return result


def add(state: entry_state.EntryState, request: Request) -> None:
    """Add an unfinished request, which this entry owns from now on."""
    requests_state = state.requests
    requests_state.by_id[request.request_id] = request
    requests_state.unfinished += 1
    heapq.heappush(
        requests_state.deadlines, (request.deadline_ms, request.request_id)
    )


def add_ended(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> None:
    """Retain a request that ended at another entry, for later reads."""
    request.phase = Phase.ENDED
    request.ended_ms = now_ms
    state.requests.by_id[request.request_id] = request
    _retain_ended(state, request)


def suspend(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> bool:
    """Stop processing a request that is to be offered to a successor.

    The attempt is not cancelled at the engine, so that the successor can
    resume the stream. Returns whether an attempt was in flight.
    """
    if request.phase is Phase.QUEUED:
        limits.dequeue(state, request, now_ms)
    was_in_flight = request.attempt is not None
    if was_in_flight:
        request.verdict = verdict.combine(
            request.verdict, verdict.Verdict.MAY_HAVE_RUN
        )
    _close_attempt(state, request, now_ms, None)
    claims.stop_claiming(state, request)
    request.claimed = False
    request.importing_to = None
    request.phase = Phase.OFFERED
    limits.on_ended(state, request, now_ms)
    return was_in_flight


def on_handed_over(
    state: entry_state.EntryState,
    request: Request,
    successor: ids.EntryId | None,
    now_ms: int,
) -> list[effects.Effect]:
    """Mark a request as handed over and redirect its readers.

    `successor` is None if the request was written to the object store.
    """
    if request.phase is not Phase.OFFERED:
        return []
    request.phase = Phase.HANDED_OVER
    request.handed_to = successor
    state.requests.unfinished -= 1
    return subscriptions.redirect(state, request, successor, now_ms)


def discard_copy(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> bool:
    """Give up the local copy of a request that a peer offers to this entry.

    Returns whether it was given up. That is so if it was handed over, or is a
    non-idempotent call that waits and does not hold its claim; otherwise it is
    kept. An entry that referred a request to the holder of its claim still has
    a copy. Without this, it would ignore the request as a duplicate when the
    holder leaves in turn and offers it.
    """
    if request.phase is Phase.HANDED_OVER:
        return True
    is_waiting = request.phase in (Phase.QUEUED, Phase.CLAIMING)
    if request.operation.idempotent or request.claimed or not is_waiting:
        return False
    suspend(state, request, now_ms)
    state.requests.unfinished -= 1
    return True


def on_owned_elsewhere(
    state: entry_state.EntryState,
    request: Request,
    holder: ids.EntryId,
    now_ms: int,
) -> list[effects.Effect]:
    """Mark a request as handed over to `holder`, which claimed it first.

    Both entries are successors that received it in a handover.
    """
    state.counters.increment("handover", "owned_elsewhere")
    suspend(state, request, now_ms)
    request.ended_ms = now_ms
    state.requests.ended_ids.append(request.request_id)
    return on_handed_over(state, request, holder, now_ms)


def dispatch_queued(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    """Claim or dispatch the queued requests for which an upstream has room."""
    result: list[effects.Effect] = []
    for request in limits.candidates(state, now_ms):
        if request.not_before_ms > now_ms or request.deadline_ms <= now_ms:
            continue
        if _choose_upstream(state, request, now_ms) is None:
            continue
        limits.dequeue(state, request, now_ms)
        if request.operation.idempotent or request.claimed:
            result.extend(_start_attempt(state, request, now_ms))
            continue
        request.phase = Phase.CLAIMING
        result.extend(claims.claim(state, request, now_ms))
    return result


def on_claimed(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> list[effects.Effect]:
    """Dispatch a request whose claim was committed, or end it if too late."""
    request.claimed = True
    if now_ms >= request.deadline_ms:
        return end(state, request, _deadline_failure(request), now_ms)
    return _start_attempt(state, request, now_ms)


def on_claim_failed(
    state: entry_state.EntryState,
    request: Request,
    failure: messages.Failure,
    now_ms: int,
) -> list[effects.Effect]:
    """End a request whose claim was not obtained."""
    request.verdict = verdict.combine(request.verdict, failure.verdict)
    failure = dataclasses.replace(failure, verdict=request.verdict)
    return end(state, request, failure, now_ms)


def on_claim_outcome(
    state: entry_state.EntryState,
    request: Request,
    chunks: tuple[messages.Chunk, ...],
    outcome: messages.Outcome,
    now_ms: int,
) -> list[effects.Effect]:
    """End a request with the outcome recorded for its idempotency key."""
    if request.outcome is not None:
        return []
    request.verdict = verdict.Verdict.RAN
    result: list[effects.Effect] = []
    for chunk in chunks:
        request.chunks.append(chunk)
        result.extend(
            subscriptions.send_to_readers(state, request, chunk, now_ms)
        )
    result.extend(_finish(state, request, outcome, now_ms))
    return result


def on_attempt_output(
    state: entry_state.EntryState, event: events.AttemptOutput
) -> list[effects.Effect]:
    """Append output of the current attempt and send it to the readers.

    Output of unknown attempts and repeated output are dropped. A gap cancels
    the attempt and counts as its failure.
    """
    request = _request_of_attempt(state, event.attempt_id)
    if request is None:
        state.counters.increment("dropped_answers", "unknown_attempt")
        return []
    chunk = event.chunk
    if chunk.next_offset <= request.next_offset:
        state.counters.increment("dropped_answers", "duplicate")
        return []
    if chunk.offset != request.next_offset:
        state.counters.increment("dropped_answers", "gap")
        result: list[effects.Effect] = [effects.CancelAttempt(event.attempt_id)]
        result.extend(
            _handle_attempt_failure(
                state,
                request,
                verdict.Verdict.MAY_HAVE_RUN,
                events.AttemptFailure.PROTOCOL_ERROR,
                event.now_ms,
            )
        )
        return result
    request.verdict = verdict.combine(
        request.verdict, verdict.Verdict.MAY_HAVE_RUN
    )
    request.chunks.append(chunk)
    result = []
    if request.first_output_ms is None:
        request.first_output_ms = event.now_ms
        result.append(
            effects.ObserveLatency(
                "first_token", event.now_ms - request.accepted_ms
            )
        )
    result.extend(
        subscriptions.send_to_readers(state, request, chunk, event.now_ms)
    )
    return result


def on_attempt_completed(
    state: entry_state.EntryState, event: events.AttemptCompleted
) -> list[effects.Effect]:
    """End a request whose answer is complete, or fail a truncated attempt."""
    request = _request_of_attempt(state, event.attempt_id)
    if request is None:
        state.counters.increment("dropped_answers", "unknown_attempt")
        return []
    if event.total_offset != request.next_offset:
        state.counters.increment("dropped_answers", "truncated")
        return _handle_attempt_failure(
            state,
            request,
            verdict.Verdict.RAN,
            events.AttemptFailure.TRUNCATED,
            event.now_ms,
        )
    request.verdict = verdict.Verdict.RAN
    prefixes.on_completed(state, request, event.now_ms)
    outcome = messages.Outcome(event.total_offset)
    return _finish(state, request, outcome, event.now_ms)


def on_attempt_failed(
    state: entry_state.EntryState, event: events.AttemptFailed
) -> list[effects.Effect]:
    """Retry a failed attempt where that is safe, or end the request."""
    request = _request_of_attempt(state, event.attempt_id)
    if request is None:
        state.counters.increment("dropped_answers", "unknown_attempt")
        return []
    return _handle_attempt_failure(
        state, request, event.verdict, event.failure, event.now_ms
    )


def on_cache_imported(
    state: entry_state.EntryState, event: events.CacheImported
) -> list[effects.Effect]:
    """Resume the stream at the engine that imported its KV cache.

    After a failed import, an attempt in flight continues at the old engine.
    Without one, the answer is recomputed.
    """
    label = "succeeded" if event.succeeded else "failed"
    state.counters.increment("cache_imports", label)
    request = state.requests.by_id.get(event.request_id)
    if request is None or request.importing_to != event.upstream_id:
        state.counters.increment("dropped_answers", "unknown_import")
        return []
    request.importing_to = None
    result: list[effects.Effect] = []
    if request.attempt is not None:
        if not event.succeeded:
            moves.on_import_failed(state, request, event.now_ms)
            return []
        result.append(effects.CancelAttempt(request.attempt.attempt_id))
        _close_attempt(state, request, event.now_ms, None)
    request.generation_upstream_id = None
    if event.succeeded:
        request.generation_upstream_id = event.upstream_id
    result.extend(_start_attempt(state, request, event.now_ms))
    return result


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """End expired requests, dispatch queued ones, drop old ended ones."""
    result = _expire_requests(state, event.now_ms)
    result.extend(dispatch_queued(state, event.now_ms))
    _evict_ended(state, event.now_ms)
    return result


def _retain_ended(state: entry_state.EntryState, request: Request) -> None:
    requests_state = state.requests
    requests_state.ended_ids.append(request.request_id)
    retained_before = requests_state.retained_tokens_by_id.get(
        request.request_id, 0
    )
    requests_state.retained_tokens_by_id[request.request_id] = (
        request.next_offset
    )
    requests_state.retained_tokens += request.next_offset - retained_before


def _evict_ended(state: entry_state.EntryState, now_ms: int) -> None:
    requests_state = state.requests
    while requests_state.ended_ids:
        oldest = requests_state.by_id.get(requests_state.ended_ids[0])
        if oldest is not None:
            expired = now_ms >= oldest.ended_ms + RETENTION_MS
            if (
                not expired
                and requests_state.retained_tokens <= MAX_RETAINED_TOKENS
            ):
                return
            if not expired:
                state.counters.increment("answers_forgotten_early")
            if oldest.phase in (Phase.ENDED, Phase.HANDED_OVER):
                del requests_state.by_id[oldest.request_id]
        request_id = requests_state.ended_ids.popleft()
        requests_state.retained_tokens -= (
            requests_state.retained_tokens_by_id.pop(request_id, 0)
        )


def cancel(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> list[effects.Effect]:
    """End a request that its caller cancelled.

    No effect if it has ended, was handed over or is offered to a successor.
    """
    if request.phase in (Phase.ENDED, Phase.OFFERED, Phase.HANDED_OVER):
        return []
    return _abort(
        state, request, "cancelled", "the caller cancelled the request", now_ms
    )


def end(
    state: entry_state.EntryState,
    request: Request,
    failure: messages.Failure,
    now_ms: int,
) -> list[effects.Effect]:
    """End a request with a failure.

    No effect if it has ended or was handed over.
    """
    if request.outcome is not None or request.phase is Phase.HANDED_OVER:
        return []
    if request.phase is Phase.QUEUED:
        limits.dequeue(state, request, now_ms)
    state.counters.increment("failures", failure.code)
    outcome = messages.Outcome(request.next_offset, failure)
    return _finish(state, request, outcome, now_ms)


def status(
    state: entry_state.EntryState, request: Request
) -> messages.RequestStatus:
    """Return the status of a request for callers, operators and peers."""
    owner = state.entry
    reported_verdict = request.verdict
    if request.phase in (Phase.OFFERED, Phase.HANDED_OVER):
        # A successor may have started it.
        reported_verdict = verdict.combine(
            reported_verdict, verdict.Verdict.MAY_HAVE_RUN
        )
        owner = request.handed_to or owner
    return messages.RequestStatus(
        request.request_id,
        request.phase.value,
        request.next_offset,
        reported_verdict,
        owner,
        request.outcome,
    )


def _expire_requests(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    result: list[effects.Effect] = []
    deadlines = state.requests.deadlines
    while deadlines and deadlines[0][0] <= now_ms:
        request = state.requests.by_id.get(heapq.heappop(deadlines)[1])
        if request is None:
            continue
        if request.phase in (Phase.ENDED, Phase.OFFERED, Phase.HANDED_OVER):
            continue
        # An attempt of a non-idempotent call ends at its own timeouts. A late
        # answer helps the caller more than the verdict "may have run".
        if request.attempt is not None and not request.operation.idempotent:
            continue
        result.extend(
            _abort(
                state,
                request,
                "deadline_passed",
                "the deadline passed before the request ended",
                now_ms,
            )
        )
    return result


def _abort(
    state: entry_state.EntryState,
    request: Request,
    code: str,
    message: str,
    now_ms: int,
) -> list[effects.Effect]:
    result: list[effects.Effect] = []
    if request.attempt is not None:
        result.append(effects.CancelAttempt(request.attempt.attempt_id))
        request.verdict = verdict.combine(
            request.verdict, verdict.Verdict.MAY_HAVE_RUN
        )
    failure = messages.Failure(code, message, request.verdict)
    result.extend(end(state, request, failure, now_ms))
    return result


def _choose_upstream(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> upstreams.Upstream | None:
    """Return the upstream for the next attempt, or None without a free one.

    Prefers the engine that has the generation of the request, which already
    occupies a slot there.
    """
    generation_holder_id = request.generation_upstream_id
    if generation_holder_id is not None:
        for upstream in upstreams.eligible(state, request.service.name, now_ms):
            if upstream.upstream_id == generation_holder_id:
                return upstream
    return routing.choose(state, request, now_ms)


def _start_import(
    state: entry_state.EntryState,
    request: Request,
    target: upstreams.Upstream,
    now_ms: int,
) -> effects.Effect | None:
    """Start the import of a broken stream's KV cache at `target`.

    Returns its effect, or None if there is nothing to import or the engine
    that has the generation does not report its load.
    """
    generation_holder_id = request.generation_upstream_id
    if (
        generation_holder_id is None
        or generation_holder_id == target.upstream_id
        or not request.chunks
    ):
        return None
    source = state.upstreams.by_id.get(generation_holder_id)
    if source is None or source.report is None or source.poll_failed:
        return None
    if now_ms - source.reported_ms > upstreams.REPORT_MAX_AGE_MS:
        return None
    request.phase = Phase.RUNNING
    return moves.start_import(request, source, target)


def _start_attempt(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> list[effects.Effect]:
    upstream = _choose_upstream(state, request, now_ms)
    if upstream is None:
        request.phase = Phase.QUEUED
        limits.enqueue(state, request, now_ms)
        return []
    import_effect = _start_import(state, request, upstream, now_ms)
    if import_effect is not None:
        return [import_effect]
    resumes = request.generation_upstream_id == upstream.upstream_id
    request.attempt_count += 1
    if request.attempt_count == 1:
        retries.on_first_attempt(state, request)
    request.phase = Phase.RUNNING
    attempt = Attempt(
        ids.attempt_id(request.request_id, state.entry, request.attempt_count),
        upstream.upstream_id,
        now_ms,
        request.next_offset,
    )
    request.attempt = attempt
    request.last_upstream_id = upstream.upstream_id
    if request.service.kind is deployment.ServiceKind.MODEL:
        request.generation_upstream_id = upstream.upstream_id
    state.requests.request_id_by_attempt[attempt.attempt_id] = (
        request.request_id
    )
    upstreams.on_dispatched(state, upstream, request, now_ms)
    return [
        effects.Dispatch(
            attempt_id=attempt.attempt_id,
            request_id=request.request_id,
            upstream_id=upstream.upstream_id,
            address=upstream.address,
            kind=request.service.kind,
            operation=request.operation.name,
            body=request.body,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.priority,
            offset=request.next_offset,
            recompute=bool(request.chunks) and not resumes,
            idempotency_key=request.idempotency_key,
            valid_until_ms=min(now_ms + DISPATCH_VALID_MS, request.deadline_ms),
            first_byte_timeout_ms=FIRST_BYTE_TIMEOUT_MS,
            inter_token_timeout_ms=INTER_TOKEN_TIMEOUT_MS,
        )
    ]


def _handle_attempt_failure(
    state: entry_state.EntryState,
    request: Request,
    attempt_verdict: verdict.Verdict,
    failure: events.AttemptFailure,
    now_ms: int,
) -> list[effects.Effect]:
    attempt = request.attempt
    assert attempt is not None
    _close_attempt(state, request, now_ms, failure)
    request.verdict = verdict.combine(request.verdict, attempt_verdict)
    if failure in _GENERATION_LOST_FAILURES:
        request.generation_upstream_id = None
    upstream = state.upstreams.by_id.get(attempt.upstream_id)
    leaving = upstream is not None and upstream.leaving
    decision = retries.decide(
        state,
        request,
        attempt_verdict,
        failure,
        upstream_leaving=leaving,
        progressed=request.next_offset > attempt.start_offset,
        now_ms=now_ms,
    )
    if decision.failure is not None:
        return end(state, request, decision.failure, now_ms)
    request.phase = Phase.QUEUED
    request.not_before_ms = decision.not_before_ms
    limits.enqueue(state, request, now_ms)
    return dispatch_queued(state, now_ms)


def _close_attempt(
    state: entry_state.EntryState,
    request: Request,
    now_ms: int,
    failure: events.AttemptFailure | None,
) -> None:
    attempt = request.attempt
    if attempt is None:
        return
    request.attempt = None
    request.importing_to = None
    state.moves.import_retry_at_ms.pop(request.request_id, None)
    state.requests.request_id_by_attempt.pop(attempt.attempt_id, None)
    upstreams.on_attempt_ended(state, attempt, request, failure, now_ms)


def _finish(
    state: entry_state.EntryState,
    request: Request,
    outcome: messages.Outcome,
    now_ms: int,
) -> list[effects.Effect]:
    _close_attempt(state, request, now_ms, None)
    request.importing_to = None
    request.phase = Phase.ENDED
    request.outcome = outcome
    request.ended_ms = now_ms
    _retain_ended(state, request)
    state.requests.unfinished -= 1
    limits.on_ended(state, request, now_ms)
    result: list[effects.Effect] = [
        effects.ObserveLatency("request", now_ms - request.accepted_ms)
    ]
    result.extend(claims.on_ended(state, request, now_ms))
    result.extend(subscriptions.end_readers(state, request, outcome))
    return result


def _request_of_attempt(
    state: entry_state.EntryState, attempt_id: str
) -> Request | None:
    request_id = state.requests.request_id_by_attempt.get(attempt_id)
    if request_id is None:
        return None
    return state.requests.by_id[request_id]


def _deadline_failure(request: Request) -> messages.Failure:
    return messages.Failure(
        "deadline_passed",
        "the deadline passed before an upstream had room",
        request.verdict,
    )


def _refuse(
    state: entry_state.EntryState,
    event: events.RequestArrived,
    code: str,
    message: str,
    retry_after_ms: int | None = None,
) -> list[effects.Effect]:
    state.counters.increment("refusals", code)
    failure = messages.Failure(
        code, message, verdict.Verdict.NOT_RUN, retry_after_ms
    )
    return [effects.Refuse(event.exchange_id, failure)]
