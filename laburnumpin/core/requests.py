"""The life of a request, from its arrival to its outcome."""

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

# How long an ended request can still be read, and how many tokens of answers
# are kept for it at most. A token takes about 80 bytes, so this bounds them
# to about 40 MB.
RETENTION_MS = 300_000
MAX_RETAINED_TOKENS = 500_000
# A dispatch that the shell has not started by then is decided anew.
DISPATCH_VALID_MS = 1_000
FIRST_BYTE_TIMEOUT_MS = 10_000
INTER_TOKEN_TIMEOUT_MS = 5_000


# After these the engine has no generation that could be resumed, or it
# cannot be reached to resume it.
_GENERATION_LOST = (
    events.AttemptFailure.UNKNOWN_GENERATION,
    events.AttemptFailure.CONNECT_FAILED,
    events.AttemptFailure.PROTOCOL_ERROR,
)


class Phase(enum.Enum):
    """Phase of a request."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"
    OFFERED = "offered"
    ENDED = "ended"
    HANDED_OVER = "handed_over"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try of a request at one upstream."""

    attempt_id: str
    upstream_id: str
    started_ms: int
    start_offset: int


@dataclasses.dataclass(slots=True)
class Request:
    """A request that this entry owns or owned.

    `configuration` is the version that was in force at the arrival; it
    applies until the end. `not_before_ms` delays a retry. The engine
    `generation_upstream_id` keeps the generation from which a stream can be
    resumed; `importing_to` is the engine to which it is being copied.
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

    `deadlines` is a heap of (deadline, request id) with one item for each
    request, whatever its phase.
    """

    __slots__ = (
        "by_attempt",
        "by_id",
        "deadlines",
        "ended",
        "next_counter",
        "retained",
        "retained_tokens",
        "unfinished",
    )

    def __init__(self) -> None:
        self.by_id: dict[str, Request] = {}
        self.by_attempt: dict[str, str] = {}
        self.deadlines: list[tuple[int, str]] = []
        self.ended: collections.deque[str] = collections.deque()
        self.next_counter = 1
        self.retained: dict[str, int] = {}
        self.retained_tokens = 0
        self.unfinished = 0


def has_unfinished(state: entry_state.EntryState) -> bool:
    """Return whether any request is neither ended nor handed over."""
    return state.requests.unfinished > 0


def on_arrived(
    state: entry_state.EntryState, event: events.RequestArrived
) -> list[effects.Effect]:
    """Accept a request or refuse it with a coded failure."""
    refused = lifecycle.refusal_reason(state, event.now_ms)
    if refused is not None:
        return _refuse(
            state, event, refused, "this entry accepts no new requests", 1_000
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
        request_id=ids.request_id(state.entry, state.requests.next_counter),
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
    state.requests.next_counter += 1
    add(state, request)
    state.counters.increment("accepted", service.name)
    result: list[effects.Effect] = [
        effects.Accept(event.exchange_id, request.request_id)
    ]
    limits.enqueue(state, request, event.now_ms)
    result.extend(dispatch_queued(state, event.now_ms))
    return result


def add(state: entry_state.EntryState, request: Request) -> None:
    """Make this entry the owner of a request that has not ended."""
    own = state.requests
    own.by_id[request.request_id] = request
    own.unfinished += 1
    heapq.heappush(own.deadlines, (request.deadline_ms, request.request_id))


def add_ended(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> None:
    """Keep a request that ended at another entry, for its readers."""
    request.phase = Phase.ENDED
    request.ended_ms = now_ms
    state.requests.by_id[request.request_id] = request
    _retain(state, request)


def suspend(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> bool:
    """Stop working on a request that is to be offered to a successor.

    Nothing is cancelled at an engine, so that the successor can resume.
    Returns whether an attempt was in flight.
    """
    if request.phase is Phase.QUEUED:
        limits.dequeue(state, request, now_ms)
    sent = request.attempt is not None
    if sent:
        request.verdict = verdict.combine(
            request.verdict, verdict.Verdict.MAY_HAVE_RUN
        )
    _close_attempt(state, request, now_ms, None)
    claims.detach(state, request)
    request.claimed = False
    request.importing_to = None
    request.phase = Phase.OFFERED
    limits.on_ended(state, request, now_ms)
    return sent


def on_handed_over(
    state: entry_state.EntryState,
    request: Request,
    successor: ids.EntryId | None,
    now_ms: int,
) -> list[effects.Effect]:
    """Send the readers of a request to its successor.

    Without a successor the request lies in the object store.
    """
    if request.phase is not Phase.OFFERED:
        return []
    request.phase = Phase.HANDED_OVER
    request.handed_to = successor
    state.requests.unfinished -= 1
    return subscriptions.move(state, request, successor, now_ms)


def withdraw(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> bool:
    """Drop a request that another entry hands over, unless it runs here.

    Without this, an entry that refers a request to the holder of its claim
    would ignore the request when that holder leaves in turn.
    """
    if request.phase is Phase.HANDED_OVER:
        return True
    waits = request.phase in (Phase.QUEUED, Phase.CLAIMING)
    if request.operation.idempotent or request.claimed or not waits:
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
    """Leave a request to the other successor that claimed it first."""
    state.counters.increment("handover", "owned_elsewhere")
    suspend(state, request, now_ms)
    request.ended_ms = now_ms
    state.requests.ended.append(request.request_id)
    return on_handed_over(state, request, holder, now_ms)


def dispatch_queued(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    """Start the queued requests for which an upstream has room."""
    result: list[effects.Effect] = []
    for request in limits.candidates(state, now_ms):
        if request.not_before_ms > now_ms or request.deadline_ms <= now_ms:
            continue
        if _choose(state, request, now_ms) is None:
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
    """Continue with a request whose claim is committed."""
    request.claimed = True
    if now_ms >= request.deadline_ms:
        return end(state, request, _deadline_passed(request), now_ms)
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
        result.extend(subscriptions.deliver(state, request, chunk, now_ms))
    result.extend(_finish(state, request, outcome, now_ms))
    return result


def on_attempt_output(
    state: entry_state.EntryState, event: events.AttemptOutput
) -> list[effects.Effect]:
    """Append output of the current attempt; drop what belongs elsewhere."""
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
            _attempt_failed(
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
    result.extend(subscriptions.deliver(state, request, chunk, event.now_ms))
    return result


def on_attempt_completed(
    state: entry_state.EntryState, event: events.AttemptCompleted
) -> list[effects.Effect]:
    """End a request whose answer is whole."""
    request = _request_of_attempt(state, event.attempt_id)
    if request is None:
        state.counters.increment("dropped_answers", "unknown_attempt")
        return []
    if event.total_offset != request.next_offset:
        state.counters.increment("dropped_answers", "truncated")
        return _attempt_failed(
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
    return _attempt_failed(
        state, request, event.verdict, event.failure, event.now_ms
    )


def on_cache_imported(
    state: entry_state.EntryState, event: events.CacheImported
) -> list[effects.Effect]:
    """Resume the stream where its KV cache now is, or compute it anew."""
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
            moves.on_copy_failed(state, request, event.now_ms)
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
    """Expire deadlines, dispatch what waits, forget ended requests."""
    result = _expire(state, event.now_ms)
    result.extend(dispatch_queued(state, event.now_ms))
    _forget_ended(state, event.now_ms)
    return result


def _retain(state: entry_state.EntryState, request: Request) -> None:
    own = state.requests
    own.ended.append(request.request_id)
    known = own.retained.get(request.request_id, 0)
    own.retained[request.request_id] = request.next_offset
    own.retained_tokens += request.next_offset - known


def _forget_ended(state: entry_state.EntryState, now_ms: int) -> None:
    own = state.requests
    while own.ended:
        oldest = own.by_id.get(own.ended[0])
        if oldest is not None:
            expired = now_ms >= oldest.ended_ms + RETENTION_MS
            if not expired and own.retained_tokens <= MAX_RETAINED_TOKENS:
                return
            if not expired:
                state.counters.increment("answers_forgotten_early")
            if oldest.phase in (Phase.ENDED, Phase.HANDED_OVER):
                del own.by_id[oldest.request_id]
        request_id = own.ended.popleft()
        own.retained_tokens -= own.retained.pop(request_id, 0)


def cancel(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> list[effects.Effect]:
    """End a request on its caller's wish.

    A request that is being offered to a successor is not cancelled.
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
    """End a request with a failure; without effect once it has ended."""
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
    """Return what callers and operators may see of a request."""
    owner = state.entry
    known = request.verdict
    if request.phase in (Phase.OFFERED, Phase.HANDED_OVER):
        # A successor may have started it.
        known = verdict.combine(known, verdict.Verdict.MAY_HAVE_RUN)
        owner = request.handed_to or owner
    return messages.RequestStatus(
        request.request_id,
        request.phase.value,
        request.next_offset,
        known,
        owner,
        request.outcome,
    )


def _expire(state: entry_state.EntryState, now_ms: int) -> list[effects.Effect]:
    result: list[effects.Effect] = []
    deadlines = state.requests.deadlines
    while deadlines and deadlines[0][0] <= now_ms:
        request = state.requests.by_id.get(heapq.heappop(deadlines)[1])
        if request is None:
            continue
        if request.phase in (Phase.ENDED, Phase.OFFERED, Phase.HANDED_OVER):
            continue
        # An attempt at a non-idempotent call is bounded by its timeouts. Its
        # late answer is worth more to the caller than "may have run".
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


def _choose(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> upstreams.Upstream | None:
    """Prefer the engine that keeps the generation; it holds a slot there."""
    kept = request.generation_upstream_id
    if kept is not None:
        for upstream in upstreams.eligible(state, request.service.name, now_ms):
            if upstream.upstream_id == kept:
                return upstream
    return routing.choose(state, request, now_ms)


def _start_import(
    state: entry_state.EntryState,
    request: Request,
    target: upstreams.Upstream,
    now_ms: int,
) -> effects.Effect | None:
    """Copy the KV cache of a broken stream, if its engine still answers."""
    kept = request.generation_upstream_id
    if kept is None or kept == target.upstream_id or not request.chunks:
        return None
    source = state.upstreams.by_id.get(kept)
    if source is None or source.report is None or source.poll_failed:
        return None
    if now_ms - source.reported_ms > upstreams.REPORT_MAX_AGE_MS:
        return None
    request.phase = Phase.RUNNING
    return moves.copy(request, source, target)


def _start_attempt(
    state: entry_state.EntryState, request: Request, now_ms: int
) -> list[effects.Effect]:
    upstream = _choose(state, request, now_ms)
    if upstream is None:
        request.phase = Phase.QUEUED
        limits.enqueue(state, request, now_ms)
        return []
    copying = _start_import(state, request, upstream, now_ms)
    if copying is not None:
        return [copying]
    kept = request.generation_upstream_id == upstream.upstream_id
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
    state.requests.by_attempt[attempt.attempt_id] = request.request_id
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
            recompute=bool(request.chunks) and not kept,
            idempotency_key=request.idempotency_key,
            valid_until_ms=min(now_ms + DISPATCH_VALID_MS, request.deadline_ms),
            first_byte_timeout_ms=FIRST_BYTE_TIMEOUT_MS,
            inter_token_timeout_ms=INTER_TOKEN_TIMEOUT_MS,
        )
    ]


def _attempt_failed(
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
    if failure in _GENERATION_LOST:
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
    state.moves.retry_ms.pop(request.request_id, None)
    state.requests.by_attempt.pop(attempt.attempt_id, None)
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
    _retain(state, request)
    state.requests.unfinished -= 1
    limits.on_ended(state, request, now_ms)
    result: list[effects.Effect] = [
        effects.ObserveLatency("request", now_ms - request.accepted_ms)
    ]
    result.extend(claims.on_ended(state, request, now_ms))
    result.extend(subscriptions.end(state, request, outcome))
    return result


def _request_of_attempt(
    state: entry_state.EntryState, attempt_id: str
) -> Request | None:
    request_id = state.requests.by_attempt.get(attempt_id)
    if request_id is None:
        return None
    return state.requests.by_id[request_id]


def _deadline_passed(request: Request) -> messages.Failure:
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
