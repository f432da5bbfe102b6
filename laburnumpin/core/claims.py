"""Claims that let a non-idempotent call run at most once.

A row of table `claims` is never deleted by an entry: releasing it writes the
state `released`. A create whose answer was lost and that lands late
therefore finds a row and fails, whatever happened to the claim meanwhile.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import json
from typing import TYPE_CHECKING

from laburnumpin import verdict
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import messages
from laburnumpin.core import requests
from laburnumpin.core import store

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

TABLE = "claims"
GROUP_ROWS = 100
# Bounds the load of one entry on the store when its answers are slow.
MAX_OPERATIONS = 4
BACKOFF_BASE_MS = 50
BACKOFF_CAP_MS = 2_000
HELD_RETRY_AFTER_MS = 1_000
# Answers above this size are recorded by their digest only.
MAX_RECORDED_BYTES = 65_536
# Releases and outcomes that wait for the store. Beyond it the oldest are
# given up; their claims stay held, which is safe.
MAX_SETTLEMENTS = 20_000


class Goal(enum.Enum):
    """State that a job wants its claim row to have; also stored in it."""

    HELD = "held"
    RELEASED = "released"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class Job:
    """A claim row that is to be brought into the state `goal`.

    The next write is conditional on `version`. `written` is the goal of the
    write in flight. With `may_exist` a write by this job has taken effect or
    still may. `prior_tokens` are those under which this entry or its
    predecessors in a handover may hold the claim.
    """

    key: str
    token: str
    body_hash: str
    goal: Goal
    request_id: str
    version: int = 0
    written: Goal = Goal.HELD
    may_exist: bool = False
    prior_tokens: tuple[str, ...] = ()
    record: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimRow:
    """A claim as the store holds it."""

    token: str
    body_hash: str
    goal: Goal
    verdict: verdict.Verdict
    total_offset: int
    text: str | None
    failure_code: str
    failure_message: str


class ClaimsState:
    """Jobs that wait for a write or a read, and operations in flight."""

    __slots__ = (
        "by_request",
        "doubtful",
        "failures",
        "next_token",
        "not_before_ms",
        "operations",
        "waiting",
    )

    def __init__(self) -> None:
        self.by_request: dict[str, Job] = {}
        self.waiting: list[Job] = []
        self.doubtful: list[Job] = []
        self.operations: dict[store.OperationId, tuple[Job, ...]] = {}
        self.next_token = 1
        self.not_before_ms = 0
        self.failures = 0


def has_unfinished(state: entry_state.EntryState) -> bool:
    """Return whether a claim, release or outcome waits for the store."""
    own = state.claims
    return bool(own.waiting or own.doubtful or own.operations)


def claim_key(request: requests.Request) -> str:
    """Return the row key that requests with equal idempotency keys share."""
    key = request.idempotency_key or request.request_id
    return f"{request.customer}/{request.service.name}/{key}"


def body_hash(request: requests.Request) -> str:
    """Return the hash that tells a repeated call from a reused key."""
    parts = [request.operation.name, request.body, request.prompt]
    text = json.dumps([*parts, request.max_tokens])
    return hashlib.sha256(text.encode()).hexdigest()


def claim(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> list[effects.Effect]:
    """Claim the right to run a request.

    Answers later through `requests.on_claimed`, `requests.on_claim_failed`
    or `requests.on_claim_outcome`. Tokens that the request brings along are
    its predecessors'; the claim is transferred from them by a conditional
    write, so that of two successors only one obtains it.
    """
    del now_ms
    own = state.claims
    entry = ids.entry_name(state.entry)
    token = f"{request.request_id}/{entry}/{own.next_token}"
    own.next_token += 1
    job = Job(
        claim_key(request),
        token,
        body_hash(request),
        Goal.HELD,
        request.request_id,
        prior_tokens=request.claim_tokens,
    )
    request.claim_tokens = (*request.claim_tokens, token)
    own.by_request[request.request_id] = job
    own.waiting.append(job)
    return []


def detach(state: entry_state.EntryState, request: requests.Request) -> None:
    """Stop claiming for a request that is offered to a successor.

    The claim is neither used nor released here; its token goes along.
    """
    state.claims.by_request.pop(request.request_id, None)


def on_ended(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> list[effects.Effect]:
    """Record the outcome of a claimed request, or release its claim."""
    del now_ms
    own = state.claims
    job = own.by_request.pop(request.request_id, None)
    if job is not None:
        # The request gave up before the result of its claim was known.
        _set_settlement(request, job)
        state.counters.increment("claims", "abandoned")
        return []
    if not request.claim_tokens:
        return []
    job = Job(
        claim_key(request),
        request.claim_tokens[-1],
        body_hash(request),
        Goal.HELD,
        request.request_id,
        version=request.claim_version,
        may_exist=True,
        prior_tokens=request.claim_tokens[:-1],
    )
    _set_settlement(request, job)
    # The claim of a request that was handed over while its attempt ran is
    # held under a predecessor's token, at a version that is not known here.
    (own.waiting if request.claimed else own.doubtful).append(job)
    request.claimed = False
    _bound_settlements(state)
    return []


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect]:
    """Continue with the claims that an answer of the store concerns."""
    own = state.claims
    jobs = own.operations.pop(event.operation_id, None)
    if jobs is None:
        state.counters.increment("dropped_answers", "unknown_operation")
        return []
    if isinstance(event, events.TransactRefused):
        _back_off(state, event.now_ms, "refused")
        own.waiting.extend(jobs)
        return []
    if isinstance(event, events.TransactUnknown):
        state.counters.increment("claims_store", "unknown")
        for job in jobs:
            job.may_exist = True
        own.doubtful.extend(jobs)
        return []
    if isinstance(event, events.TransactCommitted):
        return _on_committed(state, jobs, event)
    if isinstance(event, events.TransactConflicted):
        return _on_conflicted(state, jobs, event)
    if isinstance(event, events.RowsRead):
        return _on_rows(state, jobs, event)
    _back_off(state, event.now_ms, "read_failed")
    own.doubtful.extend(jobs)
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Send the jobs that wait, in groups."""
    own = state.claims
    result: list[effects.Effect] = []
    if event.now_ms < own.not_before_ms:
        return result
    while own.doubtful and len(own.operations) < MAX_OPERATIONS:
        jobs = _take_group(state, own.doubtful)
        if jobs:
            result.append(_read(state, jobs))
    while own.waiting and len(own.operations) < MAX_OPERATIONS:
        jobs = _take_group(state, own.waiting)
        if jobs:
            result.append(_write(state, jobs))
    return result


def _take_group(
    state: entry_state.EntryState, jobs: list[Job]
) -> tuple[Job, ...]:
    """Take up to `GROUP_ROWS` jobs with distinct keys out of a list."""
    group: dict[str, Job] = {}
    rest = []
    for job in jobs:
        if not _is_needed(state, job):
            continue
        if job.key in group or len(group) == GROUP_ROWS:
            rest.append(job)
            continue
        group[job.key] = job
    jobs[:] = rest
    return tuple(group.values())


def _is_needed(state: entry_state.EntryState, job: Job) -> bool:
    if job.goal is Goal.HELD:
        return state.claims.by_request.get(job.request_id) is job
    return job.goal is Goal.ENDED or job.may_exist


def _set_settlement(request: requests.Request, job: Job) -> None:
    if request.verdict is verdict.Verdict.NOT_RUN:
        job.goal = Goal.RELEASED
        return
    job.goal = Goal.ENDED
    job.record = _record(request, job)


def _read(
    state: entry_state.EntryState, jobs: tuple[Job, ...]
) -> effects.Effect:
    operation_id = state.new_operation(store.StoreModule.CLAIMS)
    state.claims.operations[operation_id] = jobs
    keys = tuple(job.key for job in jobs)
    return effects.ReadRows(operation_id, TABLE, keys)


def _write(
    state: entry_state.EntryState, jobs: tuple[Job, ...]
) -> effects.Effect:
    operation_id = state.new_operation(store.StoreModule.CLAIMS)
    state.claims.operations[operation_id] = jobs
    conditions = []
    writes = []
    for job in jobs:
        job.written = job.goal
        conditions.append(store.Condition(TABLE, job.key, job.version))
        writes.append(store.Write(TABLE, job.key, _value(job)))
    return effects.Transact(operation_id, tuple(conditions), tuple(writes))


def _value(job: Job) -> str:
    if job.goal is Goal.ENDED:
        return job.record
    return json.dumps(
        {
            "token": job.token,
            "body_hash": job.body_hash,
            "state": job.goal.value,
        }
    )


def _on_committed(
    state: entry_state.EntryState,
    jobs: tuple[Job, ...],
    event: events.TransactCommitted,
) -> list[effects.Effect]:
    state.claims.failures = 0
    result: list[effects.Effect] = []
    for job, version in zip(jobs, event.versions, strict=True):
        result.extend(_on_written(state, job, version, event.now_ms))
    return result


def _on_written(
    state: entry_state.EntryState, job: Job, version: int, now_ms: int
) -> list[effects.Effect]:
    job.may_exist = True
    job.version = version
    state.counters.increment("claims", job.written.value)
    if job.written is not job.goal:
        # Abandoned while the write was in flight.
        state.claims.waiting.append(job)
        return []
    if job.goal is not Goal.HELD:
        return []
    return _on_held(state, job, version, now_ms)


def _on_held(
    state: entry_state.EntryState, job: Job, version: int, now_ms: int
) -> list[effects.Effect]:
    if state.claims.by_request.get(job.request_id) is not job:
        return []
    del state.claims.by_request[job.request_id]
    request = state.requests.by_id[job.request_id]
    request.claim_version = version
    return requests.on_claimed(state, request, now_ms)


def _on_conflicted(
    state: entry_state.EntryState,
    jobs: tuple[Job, ...],
    event: events.TransactConflicted,
) -> list[effects.Effect]:
    rows = {row.key: row for row in event.conflicts if row.table == TABLE}
    result: list[effects.Effect] = []
    resolved = False
    for job in jobs:
        row = rows.get(job.key)
        if row is None:
            state.claims.waiting.append(job)
            continue
        resolved = True
        state.counters.increment("claims_store", "conflict")
        result.extend(_observe(state, job, row, event.now_ms))
    if not resolved:
        _back_off(state, event.now_ms, "conflict_without_rows")
    return result


def _on_rows(
    state: entry_state.EntryState,
    jobs: tuple[Job, ...],
    event: events.RowsRead,
) -> list[effects.Effect]:
    rows = {row.key: row for row in event.rows}
    result: list[effects.Effect] = []
    for job in jobs:
        row = rows.get(job.key, store.Row(TABLE, job.key, 0, None))
        result.extend(_observe(state, job, row, event.now_ms))
    return result


def _observe(
    state: entry_state.EntryState, job: Job, row: store.Row, now_ms: int
) -> list[effects.Effect]:
    """Continue a job from what the store holds under its key."""
    if job.goal is Goal.HELD:
        return _observe_claim(state, job, row, now_ms)
    found = _parse(row)
    own = found is not None and (
        found.token == job.token or found.token in job.prior_tokens
    )
    held = own and found is not None and found.goal is Goal.HELD
    # While the row has the version on which an unanswered create depends,
    # that create may still land. Only a write of our own rules it out.
    if held or (row.version == job.version and not own):
        job.version = row.version
        state.claims.waiting.append(job)
        return []
    if job.goal is Goal.ENDED and not own:
        state.counters.increment("claims", "lost")
    return []


def _observe_claim(
    state: entry_state.EntryState, job: Job, row: store.Row, now_ms: int
) -> list[effects.Effect]:
    if state.claims.by_request.get(job.request_id) is not job:
        return []
    found = _parse(row)
    if found is not None and found.token == job.token:
        if found.goal is Goal.HELD:
            return _on_held(state, job, row.version, now_ms)
    free = row.value is None
    if found is not None:
        prior = found.goal is Goal.HELD and found.token in job.prior_tokens
        free = found.goal is Goal.RELEASED or prior
    if free:
        job.version = row.version
        state.claims.waiting.append(job)
        return []
    del state.claims.by_request[job.request_id]
    request = state.requests.by_id[job.request_id]
    holder = _other_successor(state, request, found)
    if holder is not None:
        return requests.on_owned_elsewhere(state, request, holder, now_ms)
    request.claim_tokens = ()
    if found is not None and found.body_hash != job.body_hash:
        return _fail(state, request, _key_reused(), now_ms)
    if found is None or found.goal is Goal.HELD:
        return _fail(state, request, _claim_held(), now_ms)
    return _replay(state, request, found, now_ms)


def _other_successor(
    state: entry_state.EntryState,
    request: requests.Request,
    found: ClaimRow | None,
) -> ids.EntryId | None:
    """Return the entry that claimed the same request after a handover."""
    if found is None or found.goal is not Goal.HELD:
        return None
    request_id, _, rest = found.token.partition("/")
    if request_id != request.request_id:
        return None
    holder = ids.parse_entry(rest.partition("/")[0])
    return None if holder == state.entry else holder


def _replay(
    state: entry_state.EntryState,
    request: requests.Request,
    found: ClaimRow,
    now_ms: int,
) -> list[effects.Effect]:
    """End a request with what an earlier one recorded under its key."""
    state.counters.increment("claims", "replayed")
    if found.failure_code:
        failure = messages.Failure(
            found.failure_code, found.failure_message, found.verdict
        )
        return _fail(state, request, failure, now_ms)
    if found.text is None:
        failure = messages.Failure(
            "outcome_not_kept",
            "the call ran, but its answer was too large to be kept",
            verdict.Verdict.RAN,
        )
        return _fail(state, request, failure, now_ms)
    chunks: tuple[messages.Chunk, ...] = ()
    if found.total_offset > 0:
        chunks = (messages.Chunk(0, found.total_offset, found.text),)
    outcome = messages.Outcome(found.total_offset)
    return requests.on_claim_outcome(state, request, chunks, outcome, now_ms)


def _fail(
    state: entry_state.EntryState,
    request: requests.Request,
    failure: messages.Failure,
    now_ms: int,
) -> list[effects.Effect]:
    return requests.on_claim_failed(state, request, failure, now_ms)


def _key_reused() -> messages.Failure:
    return messages.Failure(
        "idempotency_key_reused",
        "the idempotency key was used with another body",
        verdict.Verdict.NOT_RUN,
    )


def _claim_held() -> messages.Failure:
    return messages.Failure(
        "claim_held",
        "another request with this idempotency key has not ended",
        verdict.Verdict.MAY_HAVE_RUN,
        HELD_RETRY_AFTER_MS,
    )


def _record(request: requests.Request, job: Job) -> str:
    outcome = request.outcome
    assert outcome is not None
    text = "".join(chunk.text for chunk in request.chunks)
    digest = hashlib.sha256(text.encode()).hexdigest()
    kept = len(text.encode()) <= MAX_RECORDED_BYTES
    failure = outcome.failure
    return json.dumps(
        {
            "token": job.token,
            "body_hash": job.body_hash,
            "state": Goal.ENDED.value,
            "verdict": request.verdict.value,
            "total_offset": outcome.total_offset,
            "text": text if kept else None,
            "text_hash": digest,
            "failure_code": "" if failure is None else failure.code,
            "failure_message": "" if failure is None else failure.message,
        }
    )


def _parse(row: store.Row) -> ClaimRow | None:
    """Return the claim in a row; None when there is none to be read."""
    if row.value is None:
        return None
    try:
        value = json.loads(row.value)
        return ClaimRow(
            str(value["token"]),
            str(value["body_hash"]),
            Goal(value["state"]),
            verdict.Verdict(value.get("verdict", "not_run")),
            int(value.get("total_offset", 0)),
            value.get("text"),
            str(value.get("failure_code", "")),
            str(value.get("failure_message", "")),
        )
    except (ValueError, KeyError, TypeError):
        return None


def _back_off(state: entry_state.EntryState, now_ms: int, reason: str) -> None:
    own = state.claims
    state.counters.increment("claims_store", reason)
    ceiling_ms = min(
        BACKOFF_BASE_MS * 2 ** min(own.failures, 10), BACKOFF_CAP_MS
    )
    own.failures += 1
    # Never at once: a refusal must not cause a write on every tick.
    delay_ms = BACKOFF_BASE_MS + state.random.randint(0, ceiling_ms)
    own.not_before_ms = now_ms + min(delay_ms, BACKOFF_CAP_MS)


def _bound_settlements(state: entry_state.EntryState) -> None:
    waiting = state.claims.waiting
    if len(waiting) <= MAX_SETTLEMENTS:
        return
    for index, job in enumerate(waiting):
        if job.goal is not Goal.HELD:
            del waiting[index]
            state.counters.increment("claims", "settlement_given_up")
            return
