"""Handover of a leaving entry's work to its successors."""

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

BATCH_REQUESTS = 200
# Below the usual limit of 1 MiB for a message of a websocket.
BATCH_BYTES = 524_288
RESEND_MS = 500
# A sent non-idempotent call is awaited until this long before the end.
LAST_CALLS_MS = 1_000
LIST_PERIOD_MS = 5_000
# The object store gives about 2,000 reads per second to all entries; this
# keeps the listings of any number of entries below a tenth of it.
LIST_PERIOD_PER_ENTRY_MS = 5
DEPARTURE_MS = 3_600_000
LOOK_UP_PERIOD_MS = 2_000
MAX_SUCCESSORS = 8
MAX_CHAIN = 16
MAX_BATCHES_KNOWN = 10_000
# A pickup whose entry is not a member may be repeated after this time,
# which is longer than the VM list lags.
PICKUP_TIMEOUT_MS = 20_000
OBJECT_PREFIX = "handover/"
PICKUPS_TABLE = "handover_pickups"
DEPARTURES_TABLE = "departures"


@dataclasses.dataclass(slots=True)
class Batch:
    """Requests that are offered together, always under the same id.

    `sends` counts the offers that each peer may have received.
    """

    offer: messages.HandoverOffer
    target: ids.EntryId | None = None
    sent_ms: int = 0
    sends: dict[str, int] = dataclasses.field(default_factory=dict)
    tried: set[ids.EntryId] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    storing: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Operation:
    """What a store operation in flight is about."""

    kind: str
    key: str = ""


class HandoverState:
    """Offers in flight, departed entries, and batches to pick up."""

    __slots__ = (
        "assigned",
        "awaited_call_ids",
        "batches",
        "departures",
        "first_seen_ms",
        "learned_ms",
        "looked_up_ms",
        "next_batch",
        "next_list_ms",
        "operations",
        "picked_up",
        "reclaim_ms",
        "seen_batches",
        "sent",
        "unbatched_ids",
        "unwritten",
    )

    def __init__(self) -> None:
        self.departures: dict[ids.EntryId, messages.Departure] = {}
        self.learned_ms: dict[ids.EntryId, int] = {}
        self.looked_up_ms: dict[ids.EntryId, int] = {}
        # Keys of departure rows still to be written, and when to try.
        self.unwritten: dict[str, int] = {}
        self.reclaim_ms: int | None = None
        self.awaited_call_ids: list[str] = []
        self.unbatched_ids: list[str] = []
        self.sent: set[str] = set()
        self.batches: dict[str, Batch] = {}
        self.next_batch = 1
        self.assigned: dict[ids.EntryId, int] = {}
        self.seen_batches: dict[str, bool] = {}
        self.operations: dict[store.OperationId, Operation] = {}
        self.next_list_ms = 0
        self.first_seen_ms: dict[str, int] = {}
        self.picked_up: set[str] = set()


def has_unfinished(state: entry_state.EntryState) -> bool:
    """Return whether work or outcomes still wait to go over."""
    own = state.handover
    return bool(own.unbatched_ids or own.batches or own.awaited_call_ids)


def owner_of(
    state: entry_state.EntryState, request_id: str
) -> ids.EntryId | None:
    """Return the entry that owns a request now, as far as is known."""
    owners = owners_of(state, request_id)
    return owners[0] if owners else None


def owners_of(
    state: entry_state.EntryState, request_id: str
) -> list[ids.EntryId]:
    """Return the entries that may own a request, the likeliest first.

    Departed entries come last: until they are gone, they know to whom they
    handed each request.
    """
    first = ids.accepting_entry(request_id)
    if first is None:
        return []
    live: list[ids.EntryId] = []
    departed: list[ids.EntryId] = []
    chain = [first]
    for entry in chain:
        departure = state.handover.departures.get(entry)
        if departure is None:
            live.append(entry)
            continue
        departed.append(entry)
        for successor in departure.successors:
            if successor not in chain and len(chain) < MAX_CHAIN:
                chain.append(successor)
    return live + departed


def look_up(
    state: entry_state.EntryState, request_id: str, now_ms: int
) -> list[effects.Effect]:
    """Read the successors of a request's owner from the store when due."""
    result: list[effects.Effect] = []
    own = state.handover
    for entry in owners_of(state, request_id):
        last_ms = own.looked_up_ms.get(entry)
        if last_ms is not None and now_ms < last_ms + LOOK_UP_PERIOD_MS:
            continue
        own.looked_up_ms[entry] = now_ms
        operation_id = _operation(state, "scan")
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
            return _start(state, notice.remaining_ms, event.now_ms)
    return []


def on_reclaim_notified(
    state: entry_state.EntryState, event: events.ReclaimNotified
) -> list[effects.Effect]:
    """Start the handover."""
    return _start(state, event.remaining_ms, event.now_ms)


def offer_ended(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    """Offer the outcomes that callers may still ask for, before an exit."""
    own = state.handover
    own.unbatched_ids.extend(_ended(state))
    return _offer_pool(state, now_ms)


def on_offer(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.HandoverOffer,
) -> list[effects.Effect]:
    """Take over the requests of a leaving entry, or refuse them for good."""
    own = state.handover
    known = own.seen_batches.get(message.batch_id)
    result: list[effects.Effect] = []
    if known is None:
        known = state.lifecycle.phase is lifecycle.Phase.SERVING
        _remember_batch(state, message.batch_id, known)
        label = "taken" if known else "refused"
        state.counters.increment("handover", label)
        if known:
            result.extend(_take_batch(state, message, event.now_ms))
    else:
        state.counters.increment("handover", "duplicate_offer")
    ack = messages.HandoverAck(message.batch_id, known)
    return membership.reply(state, event.peer_id, ack) + result


def on_ack(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.HandoverAck,
) -> list[effects.Effect]:
    """Give up what a successor has taken over, or ask the next one."""
    batch = state.handover.batches.get(message.batch_id)
    if batch is None:
        member = state.membership.by_vm.get(event.peer_id)
        if message.accepted and member is not None:
            _learn(state, state.entry, member.entry, event.now_ms)
        return []
    if message.accepted:
        successor = _sent_to(state, batch, event.peer_id)
        return _on_batch_taken(state, batch, successor, event.now_ms)
    batch.refused.add(event.peer_id)
    batch.sends.pop(event.peer_id, None)
    state.counters.increment("handover", "offer_refused")
    return _next_target(state, batch, event.peer_id, event.now_ms)


def on_digest(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Digest,
) -> list[effects.Effect]:
    """Learn of departed entries."""
    for departure in message.departures:
        for successor in departure.successors:
            _learn(state, departure.entry, successor, event.now_ms)
    return []


def on_peer_disconnected(
    state: entry_state.EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Offer to others what the peer did not acknowledge."""
    result: list[effects.Effect] = []
    for batch in list(state.handover.batches.values()):
        result.extend(_next_target(state, batch, event.peer_id, event.now_ms))
    return result


def on_peer_send_failed(
    state: entry_state.EntryState, event: events.PeerSendFailed
) -> list[effects.Effect]:
    """Offer to others what was not sent."""
    if not isinstance(event.message, messages.HandoverOffer):
        return []
    batch = state.handover.batches.get(event.message.batch_id)
    if batch is None:
        return []
    batch.sends[event.peer_id] = batch.sends.get(event.peer_id, 1) - 1
    return _next_target(state, batch, event.peer_id, event.now_ms)


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect]:
    """Continue with departures and with batches in the object store."""
    operation = state.handover.operations.pop(event.operation_id, None)
    if operation is None:
        state.counters.increment("dropped_answers", "unknown_operation")
        return []
    if isinstance(event, events.RowsRead):
        _learn_rows(state, event)
        return []
    if operation.kind == "departure":
        if isinstance(event, events.TransactCommitted):
            state.handover.unwritten.pop(operation.key, None)
        return []
    if operation.kind == "store":
        return _on_batch_stored(state, operation.key, event)
    if operation.kind == "pickup":
        return _on_pickup(state, operation.key, event)
    if operation.kind == "fetch" and isinstance(event, events.ObjectRead):
        return _on_fetched(state, operation.key, event)
    if isinstance(event, events.ObjectsListed):
        return _on_listed(state, event)
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Repeat offers and look for batches to pick up."""
    now_ms = event.now_ms
    own = state.handover
    result = _write_departures(state, now_ms)
    if own.reclaim_ms is not None:
        _release_staying(state, now_ms)
        result.extend(_offer_pool(state, now_ms))
    for batch in list(own.batches.values()):
        if now_ms >= batch.sent_ms + RESEND_MS:
            result.extend(_send(state, batch, now_ms))
    if state.lifecycle.phase is not lifecycle.Phase.SERVING:
        return result
    if now_ms >= own.next_list_ms:
        per_entry_ms = membership.entry_count(state) * LIST_PERIOD_PER_ENTRY_MS
        own.next_list_ms = now_ms + max(LIST_PERIOD_MS, per_entry_ms)
        _forget_departures(state, now_ms)
        operation_id = _operation(state, "list")
        result.append(effects.ListObjects(operation_id, OBJECT_PREFIX))
    return result


# The leaving entry.


def _start(
    state: entry_state.EntryState, remaining_ms: int, now_ms: int
) -> list[effects.Effect]:
    own = state.handover
    reclaim_ms = now_ms + remaining_ms
    if own.reclaim_ms is not None:
        own.reclaim_ms = min(own.reclaim_ms, reclaim_ms)
        return []
    own.reclaim_ms = reclaim_ms
    result = lifecycle.leave(state, now_ms)
    unfinished = []
    for request in state.requests.by_id.values():
        if request.phase in (requests.Phase.ENDED, requests.Phase.HANDED_OVER):
            continue
        if request.attempt is not None and not request.operation.idempotent:
            own.awaited_call_ids.append(request.request_id)
            continue
        unfinished.append(request)
    for request in unfinished:
        requests.suspend(state, request, now_ms)
        own.unbatched_ids.append(request.request_id)
    # Outcomes follow, for callers that come back for them.
    own.unbatched_ids.extend(_ended(state))
    result.extend(_offer_pool(state, now_ms))
    return result


def _ended(state: entry_state.EntryState) -> list[str]:
    result = []
    for request in state.requests.by_id.values():
        if request.phase is requests.Phase.ENDED:
            result.append(request.request_id)
    return result


def _release_staying(state: entry_state.EntryState, now_ms: int) -> None:
    """Offer sent calls once they ended, were rejected or time runs out."""
    own = state.handover
    assert own.reclaim_ms is not None
    last = now_ms >= own.reclaim_ms - LAST_CALLS_MS
    rest = []
    for request_id in own.awaited_call_ids:
        request = state.requests.by_id[request_id]
        if request.attempt is not None and not last:
            rest.append(request_id)
            continue
        if request.phase is not requests.Phase.ENDED:
            if requests.suspend(state, request, now_ms):
                own.sent.add(request_id)
        own.unbatched_ids.append(request_id)
    own.awaited_call_ids = rest


def _offer_pool(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    own = state.handover
    result: list[effects.Effect] = []
    while own.unbatched_ids:
        handed: list[messages.HandedRequest] = []
        size_bytes = 0
        while own.unbatched_ids and len(handed) < BATCH_REQUESTS:
            item = transfers.pack(
                state, state.requests.by_id[own.unbatched_ids[0]]
            )
            item_bytes = transfers.size_bytes(item)
            if handed and size_bytes + item_bytes > BATCH_BYTES:
                break
            own.unbatched_ids.pop(0)
            handed.append(item)
            size_bytes += item_bytes
        batch_id = f"{ids.entry_name(state.entry)}/{own.next_batch}"
        own.next_batch += 1
        offer = messages.HandoverOffer(batch_id, state.entry, tuple(handed))
        batch = Batch(offer)
        own.batches[batch_id] = batch
        result.extend(_send(state, batch, now_ms))
    return result


def _send(
    state: entry_state.EntryState, batch: Batch, now_ms: int
) -> list[effects.Effect]:
    """Offer a batch, or write it to the object store without a peer."""
    batch.sent_ms = now_ms
    if batch.target is None:
        batch.target = _choose_target(state, batch)
    if batch.target is None:
        batch.tried.clear()
        if batch.storing:
            return []
        batch.storing = True
        operation_id = _operation(state, "store", batch.offer.batch_id)
        key = f"{OBJECT_PREFIX}{batch.offer.batch_id}"
        body = transfers.encode(batch.offer)
        return [effects.PutObject(operation_id, key, body)]
    vm_id = batch.target.vm_id
    batch.sends[vm_id] = batch.sends.get(vm_id, 0) + 1
    return membership.send(state, batch.target, batch.offer)


def _choose_target(
    state: entry_state.EntryState, batch: Batch
) -> ids.EntryId | None:
    """Prefer other zones, then the zone and entry with the fewest batches."""
    own = state.handover
    by_zone: dict[str, int] = {}
    candidates = []
    for member in state.membership.by_vm.values():
        by_zone[member.zone] = by_zone.get(member.zone, 0) + own.assigned.get(
            member.entry, 0
        )
        if member.leaving or member.entry in own.departures:
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
            own.assigned.get(member.entry, 0),
            hashlib.blake2b(text.encode(), digest_size=8).digest(),
        )

    target = min(candidates, key=rank).entry
    own.assigned[target] = own.assigned.get(target, 0) + 1
    return target


def _next_target(
    state: entry_state.EntryState, batch: Batch, peer_id: str, now_ms: int
) -> list[effects.Effect]:
    if batch.target is None or batch.target.vm_id != peer_id:
        return []
    batch.tried.add(batch.target)
    batch.target = None
    return _send(state, batch, now_ms)


def _sent_to(
    state: entry_state.EntryState, batch: Batch, peer_id: str
) -> ids.EntryId | None:
    if batch.target is not None and batch.target.vm_id == peer_id:
        return batch.target
    for entry in batch.tried:
        if entry.vm_id == peer_id:
            return entry
    member = state.membership.by_vm.get(peer_id)
    return None if member is None else member.entry


def _on_batch_taken(
    state: entry_state.EntryState,
    batch: Batch,
    successor: ids.EntryId | None,
    now_ms: int,
) -> list[effects.Effect]:
    del state.handover.batches[batch.offer.batch_id]
    state.counters.increment("handover", "offered", len(batch.offer.requests))
    if successor is not None:
        _learn(state, state.entry, successor, now_ms)
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
    batch.storing = False
    if not isinstance(event, events.ObjectStored):
        state.counters.increment("handover", "store_failed")
        return []
    state.counters.increment("handover", "stored")
    return _on_batch_taken(state, batch, None, event.now_ms)


# The successor.


def _take_batch(
    state: entry_state.EntryState, offer: messages.HandoverOffer, now_ms: int
) -> list[effects.Effect]:
    result: list[effects.Effect] = []
    _learn(state, offer.source, state.entry, now_ms)
    name = ids.entry_name(state.entry)
    key = f"{ids.entry_name(offer.source)}/{name}"
    state.handover.unwritten[key] = now_ms
    for handed in offer.requests:
        known = state.requests.by_id.get(handed.request_id)
        if known is not None:
            if not requests.discard_copy(state, known, now_ms):
                state.counters.increment("handover", "duplicate_request")
                continue
            # The claim may be held under a token of either entry.
            tokens = (*known.claim_tokens, *handed.claim_tokens)
            handed = dataclasses.replace(handed, claim_tokens=tokens)
        result.extend(_take(state, handed, now_ms))
    result.extend(_write_departures(state, now_ms))
    result.extend(requests.dispatch_queued(state, now_ms))
    return result


def _take(
    state: entry_state.EntryState, handed: messages.HandedRequest, now_ms: int
) -> list[effects.Effect]:
    request = transfers.unpack(state, handed)
    result: list[effects.Effect] = []
    if handed.outcome is not None:
        requests.add_ended(state, request, now_ms)
        # The source may be gone before it has recorded the outcome.
        result.extend(claims.on_ended(state, request, now_ms))
        result.extend(subscriptions.adopt(state, request, now_ms))
        return result
    requests.add(state, request)
    result.extend(subscriptions.adopt(state, request, now_ms))
    if handed.sent:
        failure = messages.Failure(
            "owner_left",
            "the entry that sent the call left before it was answered",
            verdict.Verdict.MAY_HAVE_RUN,
        )
        # It is not in the queue, so the phase must not say so.
        request.phase = requests.Phase.RUNNING
        result.extend(requests.end(state, request, failure, now_ms))
        return result
    limits.enqueue(state, request, now_ms)
    return result


def _remember_batch(
    state: entry_state.EntryState, batch_id: str, accepted: bool
) -> None:
    seen = state.handover.seen_batches
    seen[batch_id] = accepted
    if len(seen) > MAX_BATCHES_KNOWN:
        del seen[next(iter(seen))]


# Batches in the object store.


def _on_listed(
    state: entry_state.EntryState, event: events.ObjectsListed
) -> list[effects.Effect]:
    own = state.handover
    busy = {o.key for o in own.operations.values() if o.kind == "pickup"}
    result: list[effects.Effect] = []
    for key in event.keys:
        own.first_seen_ms.setdefault(key, event.now_ms)
        if key in own.picked_up:
            # The deletion failed, or a late write came after it.
            result.append(
                effects.DeleteObject(_operation(state, "delete", key), key)
            )
            continue
        if key not in busy:
            result.append(_pick_up(state, key, 0))
    for key in set(own.first_seen_ms) - set(event.keys):
        del own.first_seen_ms[key]
    return result


def _pick_up(
    state: entry_state.EntryState, key: str, version: int
) -> effects.Effect:
    value = json.dumps({"entry": ids.entry_name(state.entry)})
    return effects.Transact(
        _operation(state, "pickup", key),
        (store.Condition(PICKUPS_TABLE, key, version),),
        (store.Write(PICKUPS_TABLE, key, value),),
    )


def _on_pickup(
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
        if _is_gone(state, holder, key, event.now_ms):
            return [_pick_up(state, key, row.version)]
    return []


def _fetch(state: entry_state.EntryState, key: str) -> effects.Effect:
    return effects.GetObject(_operation(state, "fetch", key), key)


def _is_gone(
    state: entry_state.EntryState,
    holder: ids.EntryId | None,
    key: str,
    now_ms: int,
) -> bool:
    own = state.handover
    seen_ms = own.first_seen_ms.get(key, now_ms)
    if now_ms < seen_ms + PICKUP_TIMEOUT_MS:
        return False
    if holder is None:
        return True
    member = state.membership.by_vm.get(holder.vm_id)
    return member is None or member.entry != holder


def _on_fetched(
    state: entry_state.EntryState, key: str, event: events.ObjectRead
) -> list[effects.Effect]:
    # An entry that got a notice meanwhile leaves the batch in the store.
    if state.lifecycle.phase is not lifecycle.Phase.SERVING:
        return []
    own = state.handover
    if event.body is None or key in own.picked_up:
        return []
    own.picked_up.add(key)
    try:
        offer = transfers.decode(event.body)
    except exceptions.MessageError as error:
        # The object stays in the store, where an operator can look at it.
        return [
            effects.Log(
                "handover_object_malformed",
                "error",
                {"key": key, "error": error.message},
            )
        ]
    result: list[effects.Effect] = []
    if not own.seen_batches.get(offer.batch_id, False):
        _remember_batch(state, offer.batch_id, True)
        state.counters.increment("handover", "picked_up")
        result.extend(_take_batch(state, offer, event.now_ms))
    result.append(effects.DeleteObject(_operation(state, "delete", key), key))
    return result


# Departures.


def _learn(
    state: entry_state.EntryState,
    entry: ids.EntryId,
    successor: ids.EntryId,
    now_ms: int,
) -> None:
    own = state.handover
    known = own.departures.get(entry)
    successors = () if known is None else known.successors
    if successor in successors or len(successors) >= MAX_SUCCESSORS:
        return
    own.departures[entry] = messages.Departure(entry, (*successors, successor))
    own.learned_ms[entry] = now_ms


def _learn_rows(state: entry_state.EntryState, event: events.RowsRead) -> None:
    for row in event.rows:
        source, _, name = row.key.partition("/")
        entry = ids.parse_entry(source)
        successor = ids.parse_entry(name)
        if entry is not None and successor is not None:
            _learn(state, entry, successor, event.now_ms)


def _write_departures(
    state: entry_state.EntryState, now_ms: int
) -> list[effects.Effect]:
    """Write one row per departed entry and successor; no row changes."""
    own = state.handover
    result: list[effects.Effect] = []
    for key, due_ms in own.unwritten.items():
        if now_ms < due_ms:
            continue
        own.unwritten[key] = now_ms + LOOK_UP_PERIOD_MS
        write = store.Write(
            DEPARTURES_TABLE, key, json.dumps({"at_ms": now_ms})
        )
        result.append(
            effects.Transact(_operation(state, "departure", key), (), (write,))
        )
    return result


def _forget_departures(state: entry_state.EntryState, now_ms: int) -> None:
    own = state.handover
    for entry, learned_ms in list(own.learned_ms.items()):
        if now_ms >= learned_ms + DEPARTURE_MS:
            del own.learned_ms[entry]
            del own.departures[entry]
    for entry, looked_up_ms in list(own.looked_up_ms.items()):
        if now_ms >= looked_up_ms + LOOK_UP_PERIOD_MS:
            del own.looked_up_ms[entry]


def _operation(
    state: entry_state.EntryState, kind: str, key: str = ""
) -> store.OperationId:
    operation_id = state.new_operation(store.StoreModule.HANDOVER)
    state.handover.operations[operation_id] = Operation(kind, key)
    return operation_id
