"""Claims that let a non-idempotent call run at most once.

An entry writes a row of table `claims` before it sends the call. Entries
never delete such a row: releasing a claim writes the state `released`. An
insert whose answer was lost and that takes effect late therefore conflicts
with the existing row, even if the claim was released meanwhile.
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
MAX_GROUP_ROWS = 100
# Bounds the load of one entry on the store when the store is slow.
MAX_OPERATIONS_IN_FLIGHT = 4
BACKOFF_BASE_MS = 50
BACKOFF_CAP_MS = 2_000
CLAIM_HELD_RETRY_AFTER_MS = 1_000
# Of a larger answer, only the digest is recorded.
MAX_RECORDED_ANSWER_BYTES = 65_536
# Settlements (releases and outcomes of claims) that wait to be written. Above
# the limit the oldest are dropped; their claims stay held, which is safe.
MAX_SETTLEMENTS = 20_000


class RowState(enum.Enum):
    """State of a claim row, as stored in it."""

    HELD = "held"
    RELEASED = "released"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class ClaimUpdate:
    """A pending update that brings a claim row into `target_state`.

    The next write is conditional on `version`. `written_state` is the state
    that the write in flight sets. `may_be_stored` means that a write of this
    update has taken effect or still may. `token` is written into the row, and
    `prior_tokens` are those under which this entry or its predecessors in a
    handover may already hold the claim. `record` is the row's document for the
    state `ENDED`.
    """

    key: str
    token: str
    body_hash: str
    target_state: RowState
    request_id: str
    version: int = 0
    written_state: RowState = RowState.HELD
    may_be_stored: bool = False
    prior_tokens: tuple[str, ...] = ()
    record: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimRow:
    """The claim in a stored row.

    The fields from `verdict` on are only stored in the state `ENDED`. `text`
    is None if the answer was too large to be recorded, and `failure_code` ""
    if the request did not fail.
    """

    token: str
    body_hash: str
    state: RowState
    verdict: verdict.Verdict
    total_offset: int
    text: str | None
    failure_code: str
    failure_message: str


class ClaimsState:
    """Pending updates of claim rows, and store operations in flight.

    `update_by_request` has the updates whose request still waits for the
    result of its claim. The updates in `to_write` are written next. For those
    in `to_read` the row is read first, since its version is unknown.
    """

    __slots__ = (
        "backoff_until_ms",
        "consecutive_failures",
        "next_token",
        "to_read",
        "to_write",
        "update_by_request",
        "updates_by_operation",
    )

    def __init__(self) -> None:
        self.update_by_request: dict[str, ClaimUpdate] = {}
        self.to_write: list[ClaimUpdate] = []
        self.to_read: list[ClaimUpdate] = []
        self.updates_by_operation: dict[
            store.OperationId, tuple[ClaimUpdate, ...]
        ] = {}
        self.next_token = 1
        self.backoff_until_ms = 0
        self.consecutive_failures = 0


def has_unfinished(state: entry_state.EntryState) -> bool:
    """Return whether a claim, release or outcome waits for the store."""
    claims_state = state.claims
    return bool(
        claims_state.to_write
        or claims_state.to_read
        or claims_state.updates_by_operation
    )


def claim_key(request: requests.Request) -> str:
    """Return the row key; requests with the same idempotency key share it."""
    key = request.idempotency_key or request.request_id
    return f"{request.customer}/{request.service.name}/{key}"


def body_hash(request: requests.Request) -> str:
    """Return the hash that distinguishes a repeated call from a reused key."""
    parts = [request.operation.name, request.body, request.prompt]
    text = json.dumps([*parts, request.max_tokens])
    return hashlib.sha256(text.encode()).hexdigest()


def claim(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> list[effects.Effect]:
    """Queue a claim of the right to run a request.

    The result arrives later through `requests.on_claimed`,
    `requests.on_claim_failed`, `requests.on_claim_outcome` or
    `requests.on_owned_elsewhere`. `request.claim_tokens` may have tokens of
    predecessors in a handover. The claim is transferred from them by a
    conditional write, so that only one of two successors obtains it.
    """
    del now_ms
    claims_state = state.claims
    entry = ids.entry_name(state.entry)
    token = f"{request.request_id}/{entry}/{claims_state.next_token}"
    claims_state.next_token += 1
    update = ClaimUpdate(
        claim_key(request),
        token,
        body_hash(request),
        RowState.HELD,
        request.request_id,
        prior_tokens=request.claim_tokens,
    )
    request.claim_tokens = (*request.claim_tokens, token)
    claims_state.update_by_request[request.request_id] = update
    claims_state.to_write.append(update)
    return []


def stop_claiming(
    state: entry_state.EntryState, request: requests.Request
) -> None:
    """Stop claiming a request that is offered to a successor.

    The claim is neither used nor released here; the request passes its token
    on to the successor.
    """
    state.claims.update_by_request.pop(request.request_id, None)


def on_ended(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> list[effects.Effect]:
    """Record the outcome of a claimed request, or release its claim."""
    del now_ms
    claims_state = state.claims
    update = claims_state.update_by_request.pop(request.request_id, None)
    if update is not None:
        # The request ended before the result of its claim was known.
        _set_settlement(request, update)
        state.counters.increment("claims", "abandoned")
        return []
    if not request.claim_tokens:
        return []
    update = ClaimUpdate(
        claim_key(request),
        request.claim_tokens[-1],
        body_hash(request),
        RowState.HELD,
        request.request_id,
        version=request.claim_version,
        may_be_stored=True,
        prior_tokens=request.claim_tokens[:-1],
    )
    _set_settlement(request, update)
    # If the request was handed over while its attempt ran, its claim is held
    # under a predecessor's token, and the row's version is unknown here.
    (claims_state.to_write if request.claimed else claims_state.to_read).append(
        update
    )
    request.claimed = False
    _bound_settlements(state)
    return []


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect]:
    """Apply the result of a store operation to its updates."""
    claims_state = state.claims
    updates = claims_state.updates_by_operation.pop(event.operation_id, None)
    if updates is None:
        state.counters.increment("dropped_answers", "unknown_operation")
        return []
    if isinstance(event, events.TransactRefused):
        _back_off(state, event.now_ms, "refused")
        claims_state.to_write.extend(updates)
        return []
    if isinstance(event, events.TransactUnknown):
        state.counters.increment("claims_store", "unknown")
        for update in updates:
            update.may_be_stored = True
        claims_state.to_read.extend(updates)
        return []
    if isinstance(event, events.TransactCommitted):
        return _on_committed(state, updates, event)
    if isinstance(event, events.TransactConflicted):
        return _on_conflicted(state, updates, event)
    if isinstance(event, events.RowsRead):
        return _on_rows(state, updates, event)
    _back_off(state, event.now_ms, "read_failed")
    claims_state.to_read.extend(updates)
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Issue the pending reads and writes in groups, unless backing off."""
    claims_state = state.claims
    result: list[effects.Effect] = []
    if event.now_ms < claims_state.backoff_until_ms:
        return result
    while (
        claims_state.to_read
        and len(claims_state.updates_by_operation) < MAX_OPERATIONS_IN_FLIGHT
    ):
        updates = _take_group(state, claims_state.to_read)
        if updates:
            result.append(_read(state, updates))
    while (
        claims_state.to_write
        and len(claims_state.updates_by_operation) < MAX_OPERATIONS_IN_FLIGHT
    ):
        updates = _take_group(state, claims_state.to_write)
        if updates:
            result.append(_write(state, updates))
    return result


def _take_group(
    state: entry_state.EntryState, updates: list[ClaimUpdate]
) -> tuple[ClaimUpdate, ...]:
    """Remove and return up to `MAX_GROUP_ROWS` updates with distinct keys.

    Also removes the updates that are no longer needed.
    """
    group: dict[str, ClaimUpdate] = {}
    remaining = []
    for update in updates:
        if not _is_needed(state, update):
            continue
        if update.key in group or len(group) == MAX_GROUP_ROWS:
            remaining.append(update)
            continue
        group[update.key] = update
    updates[:] = remaining
    return tuple(group.values())


def _is_needed(state: entry_state.EntryState, update: ClaimUpdate) -> bool:
    if update.target_state is RowState.HELD:
        return state.claims.update_by_request.get(update.request_id) is update
    return update.target_state is RowState.ENDED or update.may_be_stored


def _set_settlement(request: requests.Request, update: ClaimUpdate) -> None:
    if request.verdict is verdict.Verdict.NOT_RUN:
        update.target_state = RowState.RELEASED
        return
    update.target_state = RowState.ENDED
    update.record = _outcome_record(request, update)


def _read(
    state: entry_state.EntryState, updates: tuple[ClaimUpdate, ...]
) -> effects.Effect:
    operation_id = state.new_operation(store.StoreModule.CLAIMS)
    state.claims.updates_by_operation[operation_id] = updates
    keys = tuple(update.key for update in updates)
    return effects.ReadRows(operation_id, TABLE, keys)


def _write(
    state: entry_state.EntryState, updates: tuple[ClaimUpdate, ...]
) -> effects.Effect:
    operation_id = state.new_operation(store.StoreModule.CLAIMS)
    state.claims.updates_by_operation[operation_id] = updates
    conditions = []
    writes = []
    for update in updates:
        update.written_state = update.target_state
        conditions.append(store.Condition(TABLE, update.key, update.version))
        writes.append(store.Write(TABLE, update.key, _row_value(update)))
    return effects.Transact(operation_id, tuple(conditions), tuple(writes))


def _row_value(update: ClaimUpdate) -> str:
    if update.target_state is RowState.ENDED:
        return update.record
    return json.dumps(
        {
            "token": update.token,
            "body_hash": update.body_hash,
            "state": update.target_state.value,
        }
    )


def _on_committed(
    state: entry_state.EntryState,
    updates: tuple[ClaimUpdate, ...],
    event: events.TransactCommitted,
) -> list[effects.Effect]:
    state.claims.consecutive_failures = 0
    result: list[effects.Effect] = []
    for update, version in zip(updates, event.versions, strict=True):
        result.extend(_on_written(state, update, version, event.now_ms))
    return result


def _on_written(
    state: entry_state.EntryState,
    update: ClaimUpdate,
    version: int,
    now_ms: int,
) -> list[effects.Effect]:
    update.may_be_stored = True
    update.version = version
    state.counters.increment("claims", update.written_state.value)
    if update.written_state is not update.target_state:
        # The request ended while the write was in flight.
        state.claims.to_write.append(update)
        return []
    if update.target_state is not RowState.HELD:
        return []
    return _on_claim_obtained(state, update, version, now_ms)


def _on_claim_obtained(
    state: entry_state.EntryState,
    update: ClaimUpdate,
    version: int,
    now_ms: int,
) -> list[effects.Effect]:
    if state.claims.update_by_request.get(update.request_id) is not update:
        return []
    del state.claims.update_by_request[update.request_id]
    request = state.requests.by_id[update.request_id]
    request.claim_version = version
    return requests.on_claimed(state, request, now_ms)


def _on_conflicted(
    state: entry_state.EntryState,
    updates: tuple[ClaimUpdate, ...],
    event: events.TransactConflicted,
) -> list[effects.Effect]:
    rows = {row.key: row for row in event.conflicts if row.table == TABLE}
    result: list[effects.Effect] = []
    resolved = False
    for update in updates:
        row = rows.get(update.key)
        if row is None:
            state.claims.to_write.append(update)
            continue
        resolved = True
        state.counters.increment("claims_store", "conflict")
        result.extend(_resolve_update(state, update, row, event.now_ms))
    if not resolved:
        _back_off(state, event.now_ms, "conflict_without_rows")
    return result


def _on_rows(
    state: entry_state.EntryState,
    updates: tuple[ClaimUpdate, ...],
    event: events.RowsRead,
) -> list[effects.Effect]:
    rows = {row.key: row for row in event.rows}
    result: list[effects.Effect] = []
    for update in updates:
        row = rows.get(update.key, store.Row(TABLE, update.key, 0, None))
        result.extend(_resolve_update(state, update, row, event.now_ms))
    return result


def _resolve_update(
    state: entry_state.EntryState,
    update: ClaimUpdate,
    row: store.Row,
    now_ms: int,
) -> list[effects.Effect]:
    """Continue or finish an update according to the row in the store."""
    if update.target_state is RowState.HELD:
        return _resolve_claim(state, update, row, now_ms)
    stored = _parse_row(row)
    is_own_claim = stored is not None and (
        stored.token == update.token or stored.token in update.prior_tokens
    )
    is_held = (
        is_own_claim and stored is not None and stored.state is RowState.HELD
    )
    # While the row has the version on which an unanswered insert depends,
    # that insert may still take effect. Only another write by this entry
    # rules it out.
    if is_held or (row.version == update.version and not is_own_claim):
        update.version = row.version
        state.claims.to_write.append(update)
        return []
    if update.target_state is RowState.ENDED and not is_own_claim:
        state.counters.increment("claims", "lost")
    return []


def _resolve_claim(
    state: entry_state.EntryState,
    update: ClaimUpdate,
    row: store.Row,
    now_ms: int,
) -> list[effects.Effect]:
    if state.claims.update_by_request.get(update.request_id) is not update:
        return []
    stored = _parse_row(row)
    if stored is not None and stored.token == update.token:
        if stored.state is RowState.HELD:
            return _on_claim_obtained(state, update, row.version, now_ms)
    is_free = row.value is None
    if stored is not None:
        is_prior_claim = (
            stored.state is RowState.HELD
            and stored.token in update.prior_tokens
        )
        is_free = stored.state is RowState.RELEASED or is_prior_claim
    if is_free:
        update.version = row.version
        state.claims.to_write.append(update)
        return []
    del state.claims.update_by_request[update.request_id]
    request = state.requests.by_id[update.request_id]
    holder = _other_successor(state, request, stored)
    if holder is not None:
        return requests.on_owned_elsewhere(state, request, holder, now_ms)
    request.claim_tokens = ()
    if stored is not None and stored.body_hash != update.body_hash:
        return _end_with_failure(state, request, _key_reused_failure(), now_ms)
    if stored is None or stored.state is RowState.HELD:
        return _end_with_failure(state, request, _claim_held_failure(), now_ms)
    return _replay(state, request, stored, now_ms)


def _other_successor(
    state: entry_state.EntryState,
    request: requests.Request,
    stored: ClaimRow | None,
) -> ids.EntryId | None:
    """Return another entry that holds the claim for the same request.

    This happens after a handover in which two successors accepted the request.
    """
    if stored is None or stored.state is not RowState.HELD:
        return None
    request_id, _, entry_and_number = stored.token.partition("/")
    if request_id != request.request_id:
        return None
    holder = ids.parse_entry(entry_and_number.partition("/")[0])
    return None if holder == state.entry else holder


def _replay(
    state: entry_state.EntryState,
    request: requests.Request,
    stored: ClaimRow,
    now_ms: int,
) -> list[effects.Effect]:
    """End a request with the outcome recorded for its idempotency key."""
    state.counters.increment("claims", "replayed")
    if stored.failure_code:
        failure = messages.Failure(
            stored.failure_code, stored.failure_message, stored.verdict
        )
        return _end_with_failure(state, request, failure, now_ms)
    if stored.text is None:
        failure = messages.Failure(
            "outcome_not_kept",
            "the call ran, but its answer was too large to be kept",
            verdict.Verdict.RAN,
        )
        return _end_with_failure(state, request, failure, now_ms)
    chunks: tuple[messages.Chunk, ...] = ()
    if stored.total_offset > 0:
        chunks = (messages.Chunk(0, stored.total_offset, stored.text),)
    outcome = messages.Outcome(stored.total_offset)
    return requests.on_claim_outcome(state, request, chunks, outcome, now_ms)


def _end_with_failure(
    state: entry_state.EntryState,
    request: requests.Request,
    failure: messages.Failure,
    now_ms: int,
) -> list[effects.Effect]:
    return requests.on_claim_failed(state, request, failure, now_ms)


def _key_reused_failure() -> messages.Failure:
    return messages.Failure(
        "idempotency_key_reused",
        "the idempotency key was used with another body",
        verdict.Verdict.NOT_RUN,
    )


def _claim_held_failure() -> messages.Failure:
    return messages.Failure(
        "claim_held",
        "another request with this idempotency key has not ended",
        verdict.Verdict.MAY_HAVE_RUN,
        CLAIM_HELD_RETRY_AFTER_MS,
    )


def _outcome_record(request: requests.Request, update: ClaimUpdate) -> str:
    outcome = request.outcome
    assert outcome is not None
    text = "".join(chunk.text for chunk in request.chunks)
    digest = hashlib.sha256(text.encode()).hexdigest()
    fits = len(text.encode()) <= MAX_RECORDED_ANSWER_BYTES
    failure = outcome.failure
    return json.dumps(
        {
            "token": update.token,
            "body_hash": update.body_hash,
            "state": RowState.ENDED.value,
            "verdict": request.verdict.value,
            "total_offset": outcome.total_offset,
            "text": text if fits else None,
            "text_hash": digest,
            "failure_code": "" if failure is None else failure.code,
            "failure_message": "" if failure is None else failure.message,
        }
    )


def _parse_row(row: store.Row) -> ClaimRow | None:
    """Return the claim in a row; None if the row is absent or malformed."""
    if row.value is None:
        return None
    try:
        value = json.loads(row.value)
        return ClaimRow(
            str(value["token"]),
            str(value["body_hash"]),
            RowState(value["state"]),
            verdict.Verdict(value.get("verdict", "not_run")),
            int(value.get("total_offset", 0)),
            value.get("text"),
            str(value.get("failure_code", "")),
            str(value.get("failure_message", "")),
        )
    except (ValueError, KeyError, TypeError):
        return None


def _back_off(state: entry_state.EntryState, now_ms: int, reason: str) -> None:
    claims_state = state.claims
    state.counters.increment("claims_store", reason)
    ceiling_ms = min(
        BACKOFF_BASE_MS * 2 ** min(claims_state.consecutive_failures, 10),
        BACKOFF_CAP_MS,
    )
    claims_state.consecutive_failures += 1
    # The base delay is always added, since otherwise each refusal could
    # cause a write on the next tick.
    delay_ms = BACKOFF_BASE_MS + state.random.randint(0, ceiling_ms)
    claims_state.backoff_until_ms = now_ms + min(delay_ms, BACKOFF_CAP_MS)


def _bound_settlements(state: entry_state.EntryState) -> None:
    to_write = state.claims.to_write
    if len(to_write) <= MAX_SETTLEMENTS:
        return
    for index, update in enumerate(to_write):
        if update.target_state is not RowState.HELD:
            del to_write[index]
            state.counters.increment("claims", "settlement_given_up")
            return
