"""Handover of a leaving entry's requests to its successors.

A leaving entry offers its requests in batches to its peers. It writes a batch
to the object store if every peer is leaving, refused it or did not acknowledge
it. A successor acknowledges an offer, or claims the pickup of a stored batch,
and then owns its requests. It writes a departure row, by which other entries
find the owner of such a request.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
from typing import TYPE_CHECKING

from laburnumpin import exceptions
from laburnumpin import verdict
from laburnumpin.core import claims
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import lifecycle
from laburnumpin.core import limits
from laburnumpin.core import membership
from laburnumpin.core import messages
from laburnumpin.core import requests
from laburnumpin.core import store
from laburnumpin.core import subscriptions
from laburnumpin.core import transfers

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

MAX_BATCH_REQUESTS = 200
# Below the usual limit of 1 MiB for a WebSocket message.
MAX_BATCH_BYTES = 524_288
# An offer that was not acknowledged is repeated after this time.
OFFER_RESEND_MS = 500
# The answer to a non-idempotent call in flight is awaited until this long
# before the reclaim; then the call is offered without it.
CALL_WAIT_MARGIN_MS = 1_000
BATCH_LIST_PERIOD_MS = 5_000
# The object store serves about 2,000 reads per second to all entries together.
# This keeps the listings of any number of entries below a tenth of that.
BATCH_LIST_PERIOD_PER_ENTRY_MS = 5
DEPARTURE_RETENTION_MS = 3_600_000
# Between reads of an entry's departure rows, and between writes of a row.
DEPARTURE_RETRY_MS = 2_000
# Successors that are recorded for one departed entry.
MAX_SUCCESSORS = 8
# Entries that are considered as owners of one request.
MAX_CHAIN_ENTRIES = 16
MAX_SEEN_BATCHES = 10_000
# If the entry that claimed a batch's pickup is not a member, the pickup may be
# claimed again this long after the batch was first listed. The time exceeds the
# lag of the VM list.
PICKUP_TIMEOUT_MS = 20_000
BATCH_KEY_PREFIX = "handover/"
PICKUPS_TABLE = "handover_pickups"
DEPARTURES_TABLE = "departures"


@dataclasses.dataclass(slots=True)
class Batch:
    """Requests that are offered together, always under the same id.

    `target` is the entry to which the batch is offered now, `sent_ms` the time
    of the last offer or write, and `tried` the entries to which it was offered
    before in this round. `refused` has the VM ids of the peers that refused
    it. `offers_by_vm` counts the offers that each peer may have received.
    """

    offer: messages.HandoverOffer
    target: ids.EntryId | None = None
    sent_ms: int = 0
    offers_by_vm: dict[str, int] = dataclasses.field(default_factory=dict)
    tried: set[ids.EntryId] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    is_being_stored: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class StoreOperation:
    """A store operation in flight, by its purpose.

    `kind` and `key` are:

    - "departure": the write of the departure row `key`.
    - "scan": the read of an entry's departure rows.
    - "store": the write of the batch with the id `key` to the object store.
    - "list": the listing of the stored batches.
    - "pickup": the claim of the pickup of the stored batch `key`.
    - "fetch", "delete": the read or deletion of the stored batch `key`.
    """

    kind: str
    key: str = ""


class HandoverState:
    """Offers in flight, departed entries, and batches to pick up.

    `departures` has the known successors of departed entries.
    `departure_learned_ms` is the time at which the last of them was added, and
    `departure_read_ms` the time of the last read of an entry's departure rows.
    The VM of this entry is reclaimed at `reclaim_ms`; None before a notice.
    Until shortly before, the non-idempotent calls in `awaited_call_ids` may
    still be answered. Those that were offered unanswered are in
    `unanswered_call_ids`. `unbatched_ids` are the requests to be put into the
    next batches, and `batch_count_by_target` counts the batches offered to each
    peer. `seen_batches` maps the ids of received offers to whether they were
    accepted. `key_first_seen_ms` is the time at which a batch was first listed
    in the object store; `picked_up_keys` are the batches that this entry
    fetched.
    """

    __slots__ = (
        "awaited_call_ids",
        "batch_count_by_target",
        "batches",
        "departure_learned_ms",
        "departure_read_ms",
        "departure_write_due_ms",
        "departures",
        "key_first_seen_ms",
        "next_batch_number",
        "next_list_ms",
        "operations",
        "picked_up_keys",
        "reclaim_ms",
        "seen_batches",
        "unanswered_call_ids",
        "unbatched_ids",
    )

    def __init__(self) -> None:
        self.departures: dict[ids.EntryId, messages.Departure] = {}
        self.departure_learned_ms: dict[ids.EntryId, int] = {}
        self.departure_read_ms: dict[ids.EntryId, int] = {}
        # When to write each departure row that is not yet written, by key.
        self.departure_write_due_ms: dict[str, int] = {}
        self.reclaim_ms: int | None = None
        self.awaited_call_ids: list[str] = []
        self.unbatched_ids: list[str] = []
        self.unanswered_call_ids: set[str] = set()
        self.batches: dict[str, Batch] = {}
        self.next_batch_number = 1
        self.batch_count_by_target: dict[ids.EntryId, int] = {}
        self.seen_batches: dict[str, bool] = {}
        self.operations: dict[store.OperationId, StoreOperation] = {}
        self.next_list_ms = 0
        self.key_first_seen_ms: dict[str, int] = {}
        self.picked_up_keys: set[str] = set()


def has_unfinished(state: entry_state.EntryState) -> bool:
    """Return whether requests or outcomes still wait to be handed over."""
    handover_state = state.handover
    return bool(
        handover_state.unbatched_ids
        or handover_state.batches
        or handover_state.awaited_call_ids
    )


def owner_of(
    state: entry_state.EntryState, request_id: str
) -> ids.EntryId | None:
    """Return the most likely owner of a request; None for a malformed id."""
    owners = possible_owners(state, request_id)
    return owners[0] if owners else None


def possible_owners(
    state: entry_state.EntryState, request_id: str
) -> list[ids.EntryId]:
    """Return the entries that may own a request, the likeliest first.

    Departed entries come last. While one still runs, its status reply contains
    the successor to which it handed the request.
    """
    accepted_by = ids.accepting_entry(request_id)
    if accepted_by is None:
        return []
    live: list[ids.EntryId] = []
    departed: list[ids.EntryId] = []
    chain = [accepted_by]
    for entry in chain:
        departure = state.handover.departures.get(entry)
        if departure is None:
            live.append(entry)
            continue
        departed.append(entry)
        for successor in departure.successors:
            if successor not in chain and len(chain) < MAX_CHAIN_ENTRIES:
                chain.append(successor)
    return live + departed


def look_up_successors(
    state: entry_state.EntryState, request_id: str, now_ms: int
) -> list[effects.Effect]:
    """Read the departure rows of a request's possible owners when due."""
    result: list[effects.Effect] = []
    handover_state = state.handover
    for entry in possible_owners(state, request_id):
        last_read_ms = handover_state.departure_read_ms.get(entry)
        if (
            last_read_ms is not None
            and now_ms < last_read_ms + DEPARTURE_RETRY_MS
        ):
            continue
        handover_state.departure_read_ms[entry] = now_ms
        operation_id = _new_operation(state, "scan")
        prefix = f"{ids.entry_name(entry)}/"
        result.append(
            effects.ScanRows(
                operation_id, DEPARTURES_TABLE, prefix, MAX_SUCCESSORS
            )
        )
    return result


def on_notices(
    state: entry_state.EntryState, event: events.NoticesListed
) -> list[effects.Effect]:
    """Start the handover when a notice names this entry's VM."""
    for notice in event.notices:
        if notice.vm_id != state.entry.vm_id:
            continue
        if notice.incarnation == state.entry.incarnation:
            return _start_handover(state, notice.remaining_ms, event.now_ms)
    return []


def on_reclaim_notified(
    state: entry_state.EntryState, event: events.ReclaimNotified
) -> list[effects.Effect]:
    """Start the handover when this entry's VM is being reclaimed."""
    return _start_handover(state, event.remaining_ms, event.now_ms)


def offer_ended(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    """Offer the ended requests, whose outcomes may still be requested."""
    handover_state = state.handover
    handover_state.unbatched_ids.extend(_ended_request_ids(state))
    return _offer_batches(state, now_ms)


def on_offer(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.HandoverOffer,
) -> list[effects.Effect]:
    """Accept or refuse an offer; a repeated one gets the same answer."""
    handover_state = state.handover
    accepted = handover_state.seen_batches.get(message.batch_id)
    result: list[effects.Effect] = []
    if accepted is None:
        accepted = state.lifecycle.phase is lifecycle.Phase.SERVING
        _record_offer(state, message.batch_id, accepted)
        label = "taken" if accepted else "refused"
        state.counters.increment("handover", label)
        if accepted:
            result.extend(_accept_batch(state, message, event.now_ms))
    else:
        state.counters.increment("handover", "duplicate_offer")
    ack = messages.HandoverAck(message.batch_id, accepted)
    return membership.reply(state, event.peer_id, ack) + result


def on_ack(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.HandoverAck,
) -> list[effects.Effect]:
    """Complete an accepted batch, or offer a refused one to the next peer.

    If the batch was transferred or stored before, the peer may own requests of
    it as well and is recorded as a further successor.
    """
    batch = state.handover.batches.get(message.batch_id)
    if batch is None:
        member = state.membership.by_vm.get(event.peer_id)
        if message.accepted and member is not None:
            _record_successor(state, state.entry, member.entry, event.now_ms)
        return []
    if message.accepted:
        successor = _offered_entry(state, batch, event.peer_id)
        return _on_batch_transferred(state, batch, successor, event.now_ms)
    batch.refused.add(event.peer_id)
    batch.offers_by_vm.pop(event.peer_id, None)
    state.counters.increment("handover", "offer_refused")
    return _offer_to_next(state, batch, event.peer_id, event.now_ms)


def on_digest(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Digest,
) -> list[effects.Effect]:
    """Record the departed entries and their successors."""
    for departure in message.departures:
        for successor in departure.successors:
            _record_successor(state, departure.entry, successor, event.now_ms)
    return []


def on_peer_disconnected(
    state: entry_state.EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Offer the batches that a lost peer did not acknowledge to other peers."""
    result: list[effects.Effect] = []
    for batch in list(state.handover.batches.values()):
        result.extend(_offer_to_next(state, batch, event.peer_id, event.now_ms))
    return result


def on_peer_send_failed(
    state: entry_state.EntryState, event: events.PeerSendFailed
) -> list[effects.Effect]:
    """Offer a batch to the next peer after its offer could not be sent."""
    if not isinstance(event.message, messages.HandoverOffer):
        return []
    batch = state.handover.batches.get(event.message.batch_id)
    if batch is None:
        return []
    batch.offers_by_vm[event.peer_id] = (
        batch.offers_by_vm.get(event.peer_id, 1) - 1
    )
    return _offer_to_next(state, batch, event.peer_id, event.now_ms)


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect]:
    """Apply the result of a store operation by its kind."""
    operation = state.handover.operations.pop(event.operation_id, None)
    if operation is None:
        state.counters.increment("dropped_answers", "unknown_operation")
        return []
    if isinstance(event, events.RowsRead):
        _record_departure_rows(state, event)
        return []
    if operation.kind == "departure":
        if isinstance(event, events.TransactCommitted):
            state.handover.departure_write_due_ms.pop(operation.key, None)
        return []
    if operation.kind == "store":
        return _on_batch_stored(state, operation.key, event)
    if operation.kind == "pickup":
        return _on_pickup_claimed(state, operation.key, event)
    if operation.kind == "fetch" and isinstance(event, events.ObjectRead):
        return _on_fetched(state, operation.key, event)
    if isinstance(event, events.ObjectsListed):
        return _on_listed(state, event)
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Write departures, offer and re-offer batches, list stored batches."""
    now_ms = event.now_ms
    handover_state = state.handover
    result = _write_departures(state, now_ms)
    if handover_state.reclaim_ms is not None:
        _release_awaited_calls(state, now_ms)
        result.extend(_offer_batches(state, now_ms))
    for batch in list(handover_state.batches.values()):
        if now_ms >= batch.sent_ms + OFFER_RESEND_MS:
            result.extend(_send_batch(state, batch, now_ms))
    if state.lifecycle.phase is not lifecycle.Phase.SERVING:
        return result
    if now_ms >= handover_state.next_list_ms:
        per_entry_ms = (
            membership.entry_count(state) * BATCH_LIST_PERIOD_PER_ENTRY_MS
        )
        handover_state.next_list_ms = now_ms + max(
            BATCH_LIST_PERIOD_MS, per_entry_ms
        )
        _expire_departures(state, now_ms)
        operation_id = _new_operation(state, "list")
        result.append(effects.ListObjects(operation_id, BATCH_KEY_PREFIX))
    return result


# Functions of the leaving entry.


def _start_handover(
    state: entry_state.EntryState, remaining_ms: int, now_ms: int
) -> list[effects.Effect]:
    handover_state = state.handover
    reclaim_ms = now_ms + remaining_ms
    if handover_state.reclaim_ms is not None:
        handover_state.reclaim_ms = min(handover_state.reclaim_ms, reclaim_ms)
        return []
    handover_state.reclaim_ms = reclaim_ms
    result = lifecycle.start_leaving(state, now_ms)
    unfinished = []
    for request in state.requests.by_id.values():
        if request.phase in (requests.Phase.ENDED, requests.Phase.HANDED_OVER):
            continue
        if request.attempt is not None and not request.operation.idempotent:
            handover_state.awaited_call_ids.append(request.request_id)
            continue
        unfinished.append(request)
    for request in unfinished:
        requests.suspend(state, request, now_ms)
        handover_state.unbatched_ids.append(request.request_id)
    # Ended requests follow, since their outcomes may still be requested.
    handover_state.unbatched_ids.extend(_ended_request_ids(state))
    result.extend(_offer_batches(state, now_ms))
    return result


def _ended_request_ids(state: entry_state.EntryState) -> list[str]:
    result = []
    for request in state.requests.by_id.values():
        if request.phase is requests.Phase.ENDED:
            result.append(request.request_id)
    return result


def _release_awaited_calls(state: entry_state.EntryState, now_ms: int) -> None:
    """Add the awaited calls that are no longer in flight to the next batches.

    From `CALL_WAIT_MARGIN_MS` before the reclaim on, adds the others as well.
    """
    handover_state = state.handover
    assert handover_state.reclaim_ms is not None
    time_is_up = now_ms >= handover_state.reclaim_ms - CALL_WAIT_MARGIN_MS
    still_awaited = []
    for request_id in handover_state.awaited_call_ids:
        request = state.requests.by_id[request_id]
        if request.attempt is not None and not time_is_up:
            still_awaited.append(request_id)
            continue
        if request.phase is not requests.Phase.ENDED:
            if requests.suspend(state, request, now_ms):
                handover_state.unanswered_call_ids.add(request_id)
        handover_state.unbatched_ids.append(request_id)
    handover_state.awaited_call_ids = still_awaited


def _offer_batches(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    handover_state = state.handover
    result: list[effects.Effect] = []
    while handover_state.unbatched_ids:
        handed: list[messages.HandedRequest] = []
        size_bytes = 0
        while handover_state.unbatched_ids and len(handed) < MAX_BATCH_REQUESTS:
            item = transfers.to_message(
                state, state.requests.by_id[handover_state.unbatched_ids[0]]
            )
            item_bytes = transfers.size_bytes(item)
            if handed and size_bytes + item_bytes > MAX_BATCH_BYTES:
                break
            handover_state.unbatched_ids.pop(0)
            handed.append(item)
            size_bytes += item_bytes
        batch_id = (
            f"{ids.entry_name(state.entry)}/{handover_state.next_batch_number}"
        )
        handover_state.next_batch_number += 1
        offer = messages.HandoverOffer(batch_id, state.entry, tuple(handed))
        batch = Batch(offer)
        handover_state.batches[batch_id] = batch
        result.extend(_send_batch(state, batch, now_ms))
    return result


def _send_batch(
    state: entry_state.EntryState, batch: Batch, now_ms: int
) -> list[effects.Effect]:
    """Offer a batch to a peer, or write it to the object store.

    The object store is used if every peer is leaving, refused the batch or was
    tried. Afterwards all but those that refused it are tried again, until the
    write has succeeded or a peer has accepted.
    """
    batch.sent_ms = now_ms
    if batch.target is None:
        batch.target = _choose_target(state, batch)
    if batch.target is None:
        batch.tried.clear()
        if batch.is_being_stored:
            return []
        batch.is_being_stored = True
        operation_id = _new_operation(state, "store", batch.offer.batch_id)
        key = f"{BATCH_KEY_PREFIX}{batch.offer.batch_id}"
        body = transfers.encode(batch.offer)
        return [effects.PutObject(operation_id, key, body)]
    vm_id = batch.target.vm_id
    batch.offers_by_vm[vm_id] = batch.offers_by_vm.get(vm_id, 0) + 1
    return membership.send(state, batch.target, batch.offer)


def _choose_target(
    state: entry_state.EntryState, batch: Batch
) -> ids.EntryId | None:
    """Return the next peer to which a batch is offered, or None.

    Prefers other zones, then the zone and entry with the fewest batches.
    """
    handover_state = state.handover
    by_zone: dict[str, int] = {}
    candidates = []
    for member in state.membership.by_vm.values():
        by_zone[member.zone] = by_zone.get(
            member.zone, 0
        ) + handover_state.batch_count_by_target.get(member.entry, 0)
        if member.leaving or member.entry in handover_state.departures:
            continue
        if member.entry in batch.tried or member.entry.vm_id in batch.refused:
            continue
        candidates.append(member)
    if not candidates:
        return None

    def rank(member: membership.Member) -> tuple[bool, int, int, bytes]:
        text = f"{batch.offer.batch_id}/{member.entry.vm_id}"
        return (
            member.zone == state.zone,
            by_zone[member.zone],
            handover_state.batch_count_by_target.get(member.entry, 0),
            hashlib.blake2b(text.encode(), digest_size=8).digest(),
        )

    target = min(candidates, key=rank).entry
    handover_state.batch_count_by_target[target] = (
        handover_state.batch_count_by_target.get(target, 0) + 1
    )
    return target


def _offer_to_next(
    state: entry_state.EntryState, batch: Batch, peer_id: str, now_ms: int
) -> list[effects.Effect]:
    if batch.target is None or batch.target.vm_id != peer_id:
        return []
    batch.tried.add(batch.target)
    batch.target = None
    return _send_batch(state, batch, now_ms)


def _offered_entry(
    state: entry_state.EntryState, batch: Batch, peer_id: str
) -> ids.EntryId | None:
    if batch.target is not None and batch.target.vm_id == peer_id:
        return batch.target
    for entry in batch.tried:
        if entry.vm_id == peer_id:
            return entry
    member = state.membership.by_vm.get(peer_id)
    return None if member is None else member.entry


def _on_batch_transferred(
    state: entry_state.EntryState,
    batch: Batch,
    successor: ids.EntryId | None,
    now_ms: int,
) -> list[effects.Effect]:
    del state.handover.batches[batch.offer.batch_id]
    state.counters.increment("handover", "offered", len(batch.offer.requests))
    if successor is not None:
        _record_successor(state, state.entry, successor, now_ms)
    result: list[effects.Effect] = []
    for handed in batch.offer.requests:
        request = state.requests.by_id.get(handed.request_id)
        if request is None:
            continue
        result.extend(
            requests.on_handed_over(state, request, successor, now_ms)
        )
    return result


def _on_batch_stored(
    state: entry_state.EntryState, batch_id: str, event: events.StoreEvent
) -> list[effects.Effect]:
    batch = state.handover.batches.get(batch_id)
    if batch is None:
        return []
    batch.is_being_stored = False
    if not isinstance(event, events.ObjectStored):
        state.counters.increment("handover", "store_failed")
        return []
    state.counters.increment("handover", "stored")
    return _on_batch_transferred(state, batch, None, event.now_ms)


# Functions of the successor.


def _accept_batch(
    state: entry_state.EntryState, offer: messages.HandoverOffer, now_ms: int
) -> list[effects.Effect]:
    result: list[effects.Effect] = []
    _record_successor(state, offer.source, state.entry, now_ms)
    successor_name = ids.entry_name(state.entry)
    key = f"{ids.entry_name(offer.source)}/{successor_name}"
    state.handover.departure_write_due_ms[key] = now_ms
    for handed in offer.requests:
        local_copy = state.requests.by_id.get(handed.request_id)
        if local_copy is not None:
            if not requests.discard_copy(state, local_copy, now_ms):
                state.counters.increment("handover", "duplicate_request")
                continue
            # The claim may be held under a token of either entry.
            tokens = (*local_copy.claim_tokens, *handed.claim_tokens)
            handed = dataclasses.replace(handed, claim_tokens=tokens)
        result.extend(_accept_request(state, handed, now_ms))
    result.extend(_write_departures(state, now_ms))
    result.extend(requests.dispatch_queued(state, now_ms))
    return result


def _accept_request(
    state: entry_state.EntryState, handed: messages.HandedRequest, now_ms: int
) -> list[effects.Effect]:
    request = transfers.from_message(state, handed)
    result: list[effects.Effect] = []
    if handed.outcome is not None:
        requests.add_ended(state, request, now_ms)
        # The source may stop before it has recorded the outcome in the claim.
        result.extend(claims.on_ended(state, request, now_ms))
        result.extend(subscriptions.serve_locally(state, request, now_ms))
        return result
    requests.add(state, request)
    result.extend(subscriptions.serve_locally(state, request, now_ms))
    if handed.sent:
        failure = messages.Failure(
            "owner_left",
            "the entry that sent the call left before it was answered",
            verdict.Verdict.MAY_HAVE_RUN,
        )
        # `QUEUED` would be wrong, since the request was not enqueued.
        request.phase = requests.Phase.RUNNING
        result.extend(requests.end(state, request, failure, now_ms))
        return result
    limits.enqueue(state, request, now_ms)
    return result


def _record_offer(
    state: entry_state.EntryState, batch_id: str, accepted: bool
) -> None:
    seen = state.handover.seen_batches
    seen[batch_id] = accepted
    if len(seen) > MAX_SEEN_BATCHES:
        del seen[next(iter(seen))]


# Batches in the object store.


def _on_listed(
    state: entry_state.EntryState, event: events.ObjectsListed
) -> list[effects.Effect]:
    handover_state = state.handover
    keys_in_progress = {
        o.key for o in handover_state.operations.values() if o.kind == "pickup"
    }
    result: list[effects.Effect] = []
    for key in event.keys:
        handover_state.key_first_seen_ms.setdefault(key, event.now_ms)
        if key in handover_state.picked_up_keys:
            # The deletion failed, or a late write came after it.
            result.append(
                effects.DeleteObject(_new_operation(state, "delete", key), key)
            )
            continue
        if key not in keys_in_progress:
            result.append(_claim_pickup(state, key, 0))
    for key in set(handover_state.key_first_seen_ms) - set(event.keys):
        del handover_state.key_first_seen_ms[key]
    return result


def _claim_pickup(
    state: entry_state.EntryState, key: str, version: int
) -> effects.Effect:
    value = json.dumps({"entry": ids.entry_name(state.entry)})
    return effects.Transact(
        _new_operation(state, "pickup", key),
        (store.Condition(PICKUPS_TABLE, key, version),),
        (store.Write(PICKUPS_TABLE, key, value),),
    )


def _on_pickup_claimed(
    state: entry_state.EntryState, key: str, event: events.StoreEvent
) -> list[effects.Effect]:
    if state.lifecycle.phase is not lifecycle.Phase.SERVING:
        return []
    if isinstance(event, events.TransactCommitted):
        return [_fetch(state, key)]
    if not isinstance(event, events.TransactConflicted):
        return []
    for row in event.conflicts:
        if row.value is None:
            continue
        holder = ids.parse_entry(str(json.loads(row.value)["entry"]))
        if holder == state.entry:
            return [_fetch(state, key)]
        if _is_pickup_abandoned(state, holder, key, event.now_ms):
            return [_claim_pickup(state, key, row.version)]
    return []


def _fetch(state: entry_state.EntryState, key: str) -> effects.Effect:
    return effects.GetObject(_new_operation(state, "fetch", key), key)


def _is_pickup_abandoned(
    state: entry_state.EntryState,
    holder: ids.EntryId | None,
    key: str,
    now_ms: int,
) -> bool:
    handover_state = state.handover
    seen_ms = handover_state.key_first_seen_ms.get(key, now_ms)
    if now_ms < seen_ms + PICKUP_TIMEOUT_MS:
        return False
    if holder is None:
        return True
    member = state.membership.by_vm.get(holder.vm_id)
    return member is None or member.entry != holder


def _on_fetched(
    state: entry_state.EntryState, key: str, event: events.ObjectRead
) -> list[effects.Effect]:
    # An entry that received a reclaim notice meanwhile must not take over the
    # batch, which stays in the object store.
    if state.lifecycle.phase is not lifecycle.Phase.SERVING:
        return []
    handover_state = state.handover
    if event.body is None or key in handover_state.picked_up_keys:
        return []
    handover_state.picked_up_keys.add(key)
    try:
        offer = transfers.decode(event.body)
    except exceptions.MessageError as error:
        # The object stays for an operator to inspect, but only until the next
        # listing, which deletes it because its key is in `picked_up_keys`.
        return [
            effects.Log(
                "handover_object_malformed",
                "error",
                {"key": key, "error": error.message},
            )
        ]
    result: list[effects.Effect] = []
    if not handover_state.seen_batches.get(offer.batch_id, False):
        _record_offer(state, offer.batch_id, True)
        state.counters.increment("handover", "picked_up")
        result.extend(_accept_batch(state, offer, event.now_ms))
    result.append(
        effects.DeleteObject(_new_operation(state, "delete", key), key)
    )
    return result


# Departures.


def _record_successor(
    state: entry_state.EntryState,
    entry: ids.EntryId,
    successor: ids.EntryId,
    now_ms: int,
) -> None:
    handover_state = state.handover
    departure = handover_state.departures.get(entry)
    successors = () if departure is None else departure.successors
    if successor in successors or len(successors) >= MAX_SUCCESSORS:
        return
    handover_state.departures[entry] = messages.Departure(
        entry, (*successors, successor)
    )
    handover_state.departure_learned_ms[entry] = now_ms


def _record_departure_rows(
    state: entry_state.EntryState, event: events.RowsRead
) -> None:
    for row in event.rows:
        source_name, _, successor_name = row.key.partition("/")
        entry = ids.parse_entry(source_name)
        successor = ids.parse_entry(successor_name)
        if entry is not None and successor is not None:
            _record_successor(state, entry, successor, event.now_ms)


def _write_departures(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    """Write the departure rows that are due.

    There is one row per departed entry and successor, so that no write has
    to change a row of another entry.
    """
    handover_state = state.handover
    result: list[effects.Effect] = []
    for key, due_ms in handover_state.departure_write_due_ms.items():
        if now_ms < due_ms:
            continue
        handover_state.departure_write_due_ms[key] = now_ms + DEPARTURE_RETRY_MS
        write = store.Write(
            DEPARTURES_TABLE, key, json.dumps({"at_ms": now_ms})
        )
        result.append(
            effects.Transact(
                _new_operation(state, "departure", key), (), (write,)
            )
        )
    return result


def _expire_departures(state: entry_state.EntryState, now_ms: int) -> None:
    handover_state = state.handover
    for entry, learned_ms in list(handover_state.departure_learned_ms.items()):
        if now_ms >= learned_ms + DEPARTURE_RETENTION_MS:
            del handover_state.departure_learned_ms[entry]
            del handover_state.departures[entry]
    for entry, read_ms in list(handover_state.departure_read_ms.items()):
        if now_ms >= read_ms + DEPARTURE_RETRY_MS:
            del handover_state.departure_read_ms[entry]


def _new_operation(
    state: entry_state.EntryState, kind: str, key: str = ""
) -> store.OperationId:
    operation_id = state.new_operation(store.StoreModule.HANDOVER)
    state.handover.operations[operation_id] = StoreOperation(kind, key)
    return operation_id
