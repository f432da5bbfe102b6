"""Readers of a request's output, at this entry and at its peers.

If a peer owns the request, the entry with the reader subscribes to its output
at that peer. A lost subscription or message does no harm: after a gap in the
output, or a time without messages, the entry subscribes again from the offset
that the reader has reached.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from laburnumpin import verdict
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import handover
from laburnumpin.core import ids
from laburnumpin.core import membership
from laburnumpin.core import messages
from laburnumpin.core import requests

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

# A status query fails after this time, however many entries were tried.
STATUS_QUERY_TIMEOUT_MS = 3_000
# A subscription without messages for this time is renewed, since messages may
# have been lost.
SUBSCRIPTION_REFRESH_MS = 2_000
# Minimum time between renewals of a subscription after a gap, since several
# chunks can arrive after one gap.
MIN_RESUBSCRIBE_MS = 200
OWNER_SEARCH_RETRY_MS = 500
# Exceeds the time in which an entry picks up a batch from the object store.
OWNER_SEARCH_TIMEOUT_MS = 12_000
# Failures of a subscription that are not the outcome of its request.
_NOT_OWNER_CODES = ("unknown_request", "owner_unreachable")


@dataclasses.dataclass(slots=True)
class Reader:
    """A caller or a peer that reads a request's output.

    `peer_id` is set if the reader is a subscription of that peer; the reader's
    id is then the subscription's id. `source_entry` is the entry at which this
    entry subscribes for the reader; without it, this entry has the request or
    searches for its owner. `owner_unknown_since_ms` is the start of the search;
    the next output resets it. `retry_at_ms` is the time of the next search, and
    `tried_entries` are the entries that did not have the request or could not
    be reached. `subscribed_ms` and `last_message_ms` are the times of the last
    subscription message and of the last chunk from `source_entry`.
    """

    reader_id: str
    request_id: str
    customer: str | None
    next_offset: int
    peer_id: str | None = None
    source_entry: ids.EntryId | None = None
    subscribed_ms: int = 0
    last_message_ms: int = 0
    owner_unknown_since_ms: int | None = None
    retry_at_ms: int = 0
    tried_entries: set[ids.EntryId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class ForwardedQuery:
    """A status query that was forwarded to a possible owner.

    `tried_entries` are the entries to which it was sent. Once these are all
    possible owners, they are tried again at `retry_at_ms`.
    """

    exchange_id: str
    request_id: str
    customer: str | None
    cancel: bool
    started_ms: int
    tried_entries: set[ids.EntryId] = dataclasses.field(default_factory=set)
    retry_at_ms: int | None = None


class SubscriptionsState:
    """Readers by id and by request, and queries sent to other entries.

    `remote_reader_ids` holds the readers whose request is at another entry.
    """

    __slots__ = (
        "by_id",
        "next_query_number",
        "queries",
        "reader_ids_by_request",
        "remote_reader_ids",
    )

    def __init__(self) -> None:
        self.by_id: dict[str, Reader] = {}
        self.reader_ids_by_request: dict[str, list[str]] = {}
        self.remote_reader_ids: set[str] = set()
        self.queries: dict[str, ForwardedQuery] = {}
        self.next_query_number = 1


def has_remote_readers(state: entry_state.EntryState) -> bool:
    """Return whether a caller reads a request that another entry owns."""
    subscriptions_state = state.subscriptions
    return any(
        subscriptions_state.by_id[i].peer_id is None
        for i in subscriptions_state.remote_reader_ids
    )


def on_reader_opened(
    state: entry_state.EntryState, event: events.ReaderOpened
) -> list[effects.Effect]:
    """Serve a reader from this entry, or subscribe at the owner."""
    reader = Reader(
        event.reader_id, event.request_id, event.customer, event.offset
    )
    return _add_reader(state, reader, event.now_ms)


def on_reader_closed(
    state: entry_state.EntryState, event: events.ReaderClosed
) -> list[effects.Effect]:
    """Drop a reader and its subscription."""
    return _close_reader(state, event.reader_id)


def on_subscribe(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Subscribe,
) -> list[effects.Effect]:
    """Serve a subscription of a peer, or its renewal."""
    reader = Reader(
        message.subscription_id,
        message.request_id,
        message.customer,
        message.offset,
        peer_id=event.peer_id,
    )
    existing = state.subscriptions.by_id.get(reader.reader_id)
    if existing is not None:
        if existing.source_entry is not None:
            # This entry relays the output from a successor, so it renews its
            # own subscription there.
            existing.next_offset = message.offset
            return _subscribe(
                state, existing, existing.source_entry, event.now_ms
            )
        _remove_reader(state, reader.reader_id)
    return _add_reader(state, reader, event.now_ms)


def on_unsubscribe(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Unsubscribe,
) -> list[effects.Effect]:
    """Drop a subscription of a peer."""
    del event
    return _close_reader(state, message.subscription_id)


def on_subscription_chunk(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.SubscriptionChunk,
) -> list[effects.Effect]:
    """Forward a chunk from the owner to the reader."""
    reader = _served_reader(state, event.peer_id, message.subscription_id)
    if reader is None:
        return []
    reader.last_message_ms = event.now_ms
    return _send_chunk(state, reader, message.chunk, event.now_ms)


def on_subscription_end(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.SubscriptionEnd,
) -> list[effects.Effect]:
    """Forward the end of an answer to the reader.

    If the peer does not own the request, another owner is searched for. If
    output is missing, the subscription is renewed.
    """
    reader = _served_reader(state, event.peer_id, message.subscription_id)
    if reader is None:
        return []
    outcome = message.outcome
    failure = outcome.failure
    if failure is not None and failure.code in _NOT_OWNER_CODES:
        if _is_unknown_to_owner(state, reader, failure.code):
            _remove_reader(state, reader.reader_id)
            return _send_end(state, reader, outcome)
        assert reader.source_entry is not None
        reader.tried_entries.add(reader.source_entry)
        return _on_owner_lost(state, reader, event.now_ms)
    if failure is None and outcome.total_offset > reader.next_offset:
        return _renew_after_gap(state, reader, event.now_ms)
    _remove_reader(state, reader.reader_id)
    return _send_end(state, reader, outcome)


def on_status_requested(
    state: entry_state.EntryState, event: events.StatusRequested
) -> list[effects.Effect]:
    """Answer a status query or cancellation, or forward it to the owner."""
    request = state.requests.by_id.get(event.request_id)
    if request is not None and request.phase is not requests.Phase.HANDED_OVER:
        if event.customer is not None and event.customer != request.customer:
            return [_refuse_unknown(event.exchange_id)]
        result: list[effects.Effect] = []
        if event.cancel:
            result.extend(requests.cancel(state, request, event.now_ms))
        result.append(
            effects.AnswerStatus(
                event.exchange_id, requests.status(state, request)
            )
        )
        return result
    accepted_by = ids.accepting_entry(event.request_id)
    if accepted_by is None or (accepted_by == state.entry and request is None):
        return [_refuse_unknown(event.exchange_id)]
    query = ForwardedQuery(
        event.exchange_id,
        event.request_id,
        event.customer,
        event.cancel,
        event.now_ms,
    )
    if request is not None:
        return _send_query(state, query, request.handed_to, event.now_ms)
    return _send_query(state, query, None, event.now_ms)


def on_status_query(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.StatusQuery,
) -> list[effects.Effect]:
    """Answer a peer's status query; the status is None if unknown here."""
    request = state.requests.by_id.get(message.request_id)
    status = None
    result: list[effects.Effect] = []
    if request is not None and message.customer in (None, request.customer):
        if message.cancel:
            result.extend(requests.cancel(state, request, event.now_ms))
        status = requests.status(state, request)
    reply = messages.StatusReply(message.query_id, status)
    result.extend(membership.reply(state, event.peer_id, reply))
    return result


def on_status_reply(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.StatusReply,
) -> list[effects.Effect]:
    """Answer the exchange that caused a query, or query the next entry.

    The exchange is refused if the entry that accepted the request does not have
    it and has not departed.
    """
    query = state.subscriptions.queries.pop(message.query_id, None)
    if query is None:
        return []
    status = message.status
    handed_over = requests.Phase.HANDED_OVER.value
    if status is not None and status.phase != handed_over:
        return [effects.AnswerStatus(query.exchange_id, status)]
    if status is not None and status.owner not in query.tried_entries:
        return _send_query(state, query, status.owner, event.now_ms)
    accepted_by = ids.accepting_entry(query.request_id)
    departed = accepted_by in state.handover.departures
    if status is None and accepted_by in query.tried_entries and not departed:
        if accepted_by is not None and accepted_by.vm_id == event.peer_id:
            return [_refuse_unknown(query.exchange_id)]
    return _send_query(state, query, None, event.now_ms)


def on_peer_disconnected(
    state: entry_state.EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Drop the peer's subscriptions and the subscriptions at the peer.

    For the latter, the owners of the requests are searched for again.
    """
    result: list[effects.Effect] = []
    for reader in list(state.subscriptions.by_id.values()):
        if reader.peer_id == event.peer_id:
            result.extend(_close_reader(state, reader.reader_id))
            continue
        if (
            reader.source_entry is None
            or reader.source_entry.vm_id != event.peer_id
        ):
            continue
        result.extend(_on_owner_lost(state, reader, event.now_ms))
    return result


def on_peer_send_failed(
    state: entry_state.EntryState, event: events.PeerSendFailed
) -> list[effects.Effect]:
    """Try another possible owner, or drop the subscription of the peer.

    The peer subscribes again when the message is missing.
    """
    message = event.message
    subscriptions_state = state.subscriptions
    if isinstance(message, messages.Subscribe):
        reader = _served_reader(state, event.peer_id, message.subscription_id)
        if reader is None or reader.source_entry is None:
            return []
        reader.tried_entries.add(reader.source_entry)
        return _on_owner_lost(state, reader, event.now_ms)
    if isinstance(message, messages.StatusQuery):
        query = subscriptions_state.queries.pop(message.query_id, None)
        if query is not None:
            return _send_query(state, query, None, event.now_ms)
    if isinstance(
        message, messages.SubscriptionChunk | messages.SubscriptionEnd
    ):
        return _close_reader(state, message.subscription_id)
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Renew idle subscriptions, search for owners, time out queries."""
    now_ms = event.now_ms
    subscriptions_state = state.subscriptions
    result: list[effects.Effect] = []
    for reader_id in sorted(subscriptions_state.remote_reader_ids):
        reader = subscriptions_state.by_id.get(reader_id)
        if reader is None:
            continue
        if reader.source_entry is None:
            if now_ms >= reader.retry_at_ms:
                result.extend(_find_owner(state, reader, now_ms))
            continue
        last_message_ms = max(reader.last_message_ms, reader.subscribed_ms)
        if now_ms >= last_message_ms + SUBSCRIPTION_REFRESH_MS:
            result.extend(
                _subscribe(state, reader, reader.source_entry, now_ms)
            )
    for query_id, query in list(subscriptions_state.queries.items()):
        if now_ms >= query.started_ms + STATUS_QUERY_TIMEOUT_MS:
            del subscriptions_state.queries[query_id]
            result.append(_refuse_unreachable(query.exchange_id))
            continue
        if query.retry_at_ms is not None and now_ms >= query.retry_at_ms:
            del subscriptions_state.queries[query_id]
            query.tried_entries.clear()
            result.extend(_send_query(state, query, None, now_ms))
    return result


def send_to_readers(
    state: entry_state.EntryState,
    request: requests.Request,
    chunk: messages.Chunk,
    now_ms: int,
) -> list[effects.Effect]:
    """Send a new chunk to all readers of a request."""
    result: list[effects.Effect] = []
    subscriptions_state = state.subscriptions
    for reader_id in list(
        subscriptions_state.reader_ids_by_request.get(request.request_id, [])
    ):
        reader = subscriptions_state.by_id[reader_id]
        result.extend(_send_chunk(state, reader, chunk, now_ms))
    return result


def end_readers(
    state: entry_state.EntryState,
    request: requests.Request,
    outcome: messages.Outcome,
) -> list[effects.Effect]:
    """Send the end of an answer to all readers and drop them."""
    result: list[effects.Effect] = []
    subscriptions_state = state.subscriptions
    for reader_id in list(
        subscriptions_state.reader_ids_by_request.get(request.request_id, [])
    ):
        reader = _remove_reader(state, reader_id)
        if reader is not None:
            result.extend(_send_end(state, reader, outcome))
    return result


def redirect(
    state: entry_state.EntryState,
    request: requests.Request,
    successor: ids.EntryId | None,
    now_ms: int,
) -> list[effects.Effect]:
    """Subscribe at the successor for the readers of a handed over request.

    Without a successor, the entry that picks the request up is searched for.
    """
    result: list[effects.Effect] = []
    subscriptions_state = state.subscriptions
    for reader_id in list(
        subscriptions_state.reader_ids_by_request.get(request.request_id, [])
    ):
        reader = subscriptions_state.by_id[reader_id]
        subscriptions_state.remote_reader_ids.add(reader_id)
        if successor is None:
            result.extend(_on_owner_lost(state, reader, now_ms))
            continue
        result.extend(_subscribe(state, reader, successor, now_ms))
    return result


def serve_locally(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> list[effects.Effect]:
    """Serve the readers of a request that this entry took over.

    Ends the subscriptions of this entry at the former owner.
    """
    result: list[effects.Effect] = []
    subscriptions_state = state.subscriptions
    for reader_id in list(
        subscriptions_state.reader_ids_by_request.get(request.request_id, [])
    ):
        reader = _remove_reader(state, reader_id)
        if reader is None:
            continue
        if reader.source_entry is not None:
            result.extend(_unsubscribe(state, reader, reader.source_entry))
        reader.source_entry = None
        reader.owner_unknown_since_ms = None
        result.extend(_add_reader(state, reader, now_ms))
    return result


def _add_reader(
    state: entry_state.EntryState, reader: Reader, now_ms: int
) -> list[effects.Effect]:
    subscriptions_state = state.subscriptions
    request = state.requests.by_id.get(reader.request_id)
    if request is not None and reader.customer not in (None, request.customer):
        return _send_end(state, reader, _unknown_outcome())
    subscriptions_state.by_id[reader.reader_id] = reader
    subscriptions_state.reader_ids_by_request.setdefault(
        reader.request_id, []
    ).append(reader.reader_id)
    if request is None:
        return _add_remote_reader(state, reader, now_ms)
    if request.phase is requests.Phase.HANDED_OVER:
        subscriptions_state.remote_reader_ids.add(reader.reader_id)
        if request.handed_to is None:
            return _on_owner_lost(state, reader, now_ms)
        return _subscribe(state, reader, request.handed_to, now_ms)
    result: list[effects.Effect] = []
    for chunk in request.chunks:
        if reader.reader_id in subscriptions_state.by_id:
            result.extend(_send_chunk(state, reader, chunk, now_ms))
    if request.outcome is not None:
        if _remove_reader(state, reader.reader_id) is not None:
            result.extend(_send_end(state, reader, request.outcome))
    return result


def _add_remote_reader(
    state: entry_state.EntryState, reader: Reader, now_ms: int
) -> list[effects.Effect]:
    accepted_by = ids.accepting_entry(reader.request_id)
    # A peer's subscription is not forwarded to a merely likely owner. Two
    # entries that take each other for the owner would forward it forever.
    if (
        accepted_by is None
        or accepted_by == state.entry
        or reader.peer_id is not None
    ):
        _remove_reader(state, reader.reader_id)
        return _send_end(state, reader, _unknown_outcome())
    state.subscriptions.remote_reader_ids.add(reader.reader_id)
    return _find_owner(state, reader, now_ms)


def _find_owner(
    state: entry_state.EntryState, reader: Reader, now_ms: int
) -> list[effects.Effect]:
    """Subscribe at the likeliest owner not yet tried, or retry later.

    After `OWNER_SEARCH_TIMEOUT_MS` the reader ends with a failure.
    """
    for owner in handover.possible_owners(state, reader.request_id):
        if owner == state.entry or owner in reader.tried_entries:
            continue
        return _subscribe(state, reader, owner, now_ms)
    reader.tried_entries.clear()
    if reader.owner_unknown_since_ms is None:
        reader.owner_unknown_since_ms = now_ms
    if now_ms >= reader.owner_unknown_since_ms + OWNER_SEARCH_TIMEOUT_MS:
        _remove_reader(state, reader.reader_id)
        return _send_end(state, reader, _unreachable_outcome(reader))
    reader.retry_at_ms = now_ms + OWNER_SEARCH_RETRY_MS
    return handover.look_up_successors(state, reader.request_id, now_ms)


def _on_owner_lost(
    state: entry_state.EntryState, reader: Reader, now_ms: int
) -> list[effects.Effect]:
    """Search for the owner again, or end a peer's subscription.

    The peer searches for the owner itself.
    """
    reader.source_entry = None
    if reader.peer_id is not None:
        _remove_reader(state, reader.reader_id)
        return _send_end(state, reader, _unreachable_outcome(reader))
    if reader.owner_unknown_since_ms is None:
        reader.owner_unknown_since_ms = now_ms
    return _find_owner(state, reader, now_ms)


def _subscribe(
    state: entry_state.EntryState,
    reader: Reader,
    owner: ids.EntryId,
    now_ms: int,
) -> list[effects.Effect]:
    reader.source_entry = owner
    reader.subscribed_ms = now_ms
    message = messages.Subscribe(
        _subscription_id(state, reader),
        reader.request_id,
        reader.customer,
        reader.next_offset,
    )
    return membership.send(state, owner, message)


def _unsubscribe(
    state: entry_state.EntryState, reader: Reader, owner: ids.EntryId
) -> list[effects.Effect]:
    message = messages.Unsubscribe(_subscription_id(state, reader))
    return membership.send(state, owner, message)


def _renew_after_gap(
    state: entry_state.EntryState, reader: Reader, now_ms: int
) -> list[effects.Effect]:
    state.counters.increment("subscription_gaps")
    if reader.source_entry is None:
        return []
    if now_ms < reader.subscribed_ms + MIN_RESUBSCRIBE_MS:
        return []
    return _subscribe(state, reader, reader.source_entry, now_ms)


def _subscription_id(state: entry_state.EntryState, reader: Reader) -> str:
    # Reader ids are unique within one entry only.
    return f"{ids.entry_name(state.entry)}/{reader.reader_id}"


def _served_reader(
    state: entry_state.EntryState, peer_id: str, subscription_id: str
) -> Reader | None:
    """Return the reader of a subscription if `peer_id` is its source now."""
    _, _, reader_id = subscription_id.partition("/")
    reader = state.subscriptions.by_id.get(reader_id)
    if reader is None or reader.source_entry is None:
        state.counters.increment("dropped_answers", "unknown_subscription")
        return None
    if reader.source_entry.vm_id != peer_id:
        state.counters.increment("dropped_answers", "former_owner")
        return None
    return reader


def _is_unknown_to_owner(
    state: entry_state.EntryState, reader: Reader, code: str
) -> bool:
    """Return whether the entry that accepted a request does not have it.

    False if that entry departed, since its successors may have the request.
    """
    accepted_by = ids.accepting_entry(reader.request_id)
    if code != "unknown_request" or reader.source_entry != accepted_by:
        return False
    return accepted_by not in state.handover.departures


def _send_query(
    state: entry_state.EntryState,
    query: ForwardedQuery,
    owner: ids.EntryId | None,
    now_ms: int,
) -> list[effects.Effect]:
    """Query `owner`, or if it is None the likeliest owner not yet tried.

    Without such an entry, looks up the successors and retries later.
    """
    subscriptions_state = state.subscriptions
    query_id = (
        f"{ids.entry_name(state.entry)}.{subscriptions_state.next_query_number}"
    )
    subscriptions_state.next_query_number += 1
    subscriptions_state.queries[query_id] = query
    query.retry_at_ms = None
    owners = handover.possible_owners(state, query.request_id)
    for candidate in owners if owner is None else [owner]:
        if candidate == state.entry or candidate in query.tried_entries:
            continue
        query.tried_entries.add(candidate)
        message = messages.StatusQuery(
            query_id, query.request_id, query.customer, query.cancel
        )
        return membership.send(state, candidate, message)
    query.retry_at_ms = now_ms + OWNER_SEARCH_RETRY_MS
    return handover.look_up_successors(state, query.request_id, now_ms)


def _send_chunk(
    state: entry_state.EntryState,
    reader: Reader,
    chunk: messages.Chunk,
    now_ms: int,
) -> list[effects.Effect]:
    if chunk.next_offset <= reader.next_offset:
        return []
    if chunk.offset > reader.next_offset:
        return _renew_after_gap(state, reader, now_ms)
    if chunk.offset < reader.next_offset:
        # The text of a chunk cannot be split at an offset within it.
        _remove_reader(state, reader.reader_id)
        return _send_end(state, reader, _offset_outcome(reader))
    reader.next_offset = chunk.next_offset
    reader.owner_unknown_since_ms = None
    if reader.peer_id is None:
        return [effects.SendChunk(reader.reader_id, chunk)]
    message = messages.SubscriptionChunk(reader.reader_id, chunk)
    return membership.reply(state, reader.peer_id, message)


def _send_end(
    state: entry_state.EntryState, reader: Reader, outcome: messages.Outcome
) -> list[effects.Effect]:
    if outcome.failure is None and outcome.total_offset != reader.next_offset:
        outcome = _offset_outcome(reader)
    if reader.peer_id is None:
        return [effects.EndReader(reader.reader_id, outcome)]
    message = messages.SubscriptionEnd(reader.reader_id, outcome)
    return membership.reply(state, reader.peer_id, message)


def _close_reader(
    state: entry_state.EntryState, reader_id: str
) -> list[effects.Effect]:
    reader = _remove_reader(state, reader_id)
    if reader is None or reader.source_entry is None:
        return []
    return _unsubscribe(state, reader, reader.source_entry)


def _remove_reader(
    state: entry_state.EntryState, reader_id: str
) -> Reader | None:
    subscriptions_state = state.subscriptions
    reader = subscriptions_state.by_id.pop(reader_id, None)
    if reader is None:
        return None
    subscriptions_state.remote_reader_ids.discard(reader_id)
    readers = subscriptions_state.reader_ids_by_request[reader.request_id]
    readers.remove(reader_id)
    if not readers:
        del subscriptions_state.reader_ids_by_request[reader.request_id]
    return reader


def _unreachable_outcome(reader: Reader) -> messages.Outcome:
    return messages.Outcome(reader.next_offset, _unreachable_failure())


def _offset_outcome(reader: Reader) -> messages.Outcome:
    failure = messages.Failure(
        "offset_unavailable",
        "the answer cannot be read from this offset; read from the start",
        verdict.Verdict.MAY_HAVE_RUN,
    )
    return messages.Outcome(reader.next_offset, failure)


def _unknown_outcome() -> messages.Outcome:
    return messages.Outcome(0, _unknown_failure())


def _unknown_failure() -> messages.Failure:
    # The request may have been running at an entry that crashed, so that the
    # verdict cannot be "not run".
    return messages.Failure(
        "unknown_request", "no such request", verdict.Verdict.MAY_HAVE_RUN
    )


def _refuse_unknown(exchange_id: str) -> effects.Refuse:
    return effects.Refuse(exchange_id, _unknown_failure())


def _unreachable_failure() -> messages.Failure:
    return messages.Failure(
        "owner_unreachable",
        "the entry that owns the request cannot be reached; try again",
        verdict.Verdict.MAY_HAVE_RUN,
        1_000,
    )


def _refuse_unreachable(exchange_id: str) -> effects.Refuse:
    return effects.Refuse(exchange_id, _unreachable_failure())
