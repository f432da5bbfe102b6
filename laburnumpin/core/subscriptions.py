"""Readers of a request's output, here and at other entries.

A reader whose request is owned elsewhere subscribes at the owner. The owner
keeps no state that matters: a subscriber that misses something, or hears
nothing for a while, subscribes again from the offset that it has.
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

# A status query without a reply within this time fails.
QUERY_TIMEOUT_MS = 3_000
# A silent subscription is renewed, since messages to it may have been lost.
REFRESH_MS = 2_000
# Answers that were on their way must not cause one subscription each.
RESUBSCRIBE_MS = 200
RETRY_MS = 500
# Longer than it takes another entry to pick up a batch from the object store.
OWNER_TIMEOUT_MS = 12_000
# These outcomes of a subscription say nothing about the request.
_NOT_THERE = ("unknown_request", "owner_unreachable")


@dataclasses.dataclass(slots=True)
class Reader:
    """A reader of a request's output.

    `peer_id` is set when the reader is a subscription of that peer; the
    reader's id is then the subscription's id. `remote` is the entry where
    the output is read; without it, the request is here or, with
    `lost_since_ms`, its owner is being looked for. `tried` holds the entries
    that did not know the request.
    """

    reader_id: str
    request_id: str
    customer: str | None
    next_offset: int
    peer_id: str | None = None
    remote: ids.EntryId | None = None
    subscribed_ms: int = 0
    heard_ms: int = 0
    lost_since_ms: int | None = None
    retry_ms: int = 0
    tried: set[ids.EntryId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Query:
    """A status query that was forwarded to an entry that may know."""

    exchange_id: str
    request_id: str
    customer: str | None
    cancel: bool
    sent_ms: int
    tried: set[ids.EntryId] = dataclasses.field(default_factory=set)
    retry_ms: int | None = None


class SubscriptionsState:
    """Readers by id and by request, and queries sent to other entries.

    `elsewhere` holds the ids of the readers whose request is not here.
    """

    __slots__ = ("by_id", "by_request", "elsewhere", "next_query", "queries")

    def __init__(self) -> None:
        self.by_id: dict[str, Reader] = {}
        self.by_request: dict[str, list[str]] = {}
        self.elsewhere: set[str] = set()
        self.queries: dict[str, Query] = {}
        self.next_query = 1


def has_remote_readers(state: entry_state.EntryState) -> bool:
    """Return whether a caller reads from here what another entry owns."""
    own = state.subscriptions
    return any(own.by_id[i].peer_id is None for i in own.elsewhere)


def on_reader_opened(
    state: entry_state.EntryState, event: events.ReaderOpened
) -> list[effects.Effect]:
    """Serve a reader from here, or subscribe at the owner."""
    reader = Reader(
        event.reader_id, event.request_id, event.customer, event.offset
    )
    return _attach(state, reader, event.now_ms)


def on_reader_closed(
    state: entry_state.EntryState, event: events.ReaderClosed
) -> list[effects.Effect]:
    """Drop a reader and its subscription."""
    return _close(state, event.reader_id)


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
    known = state.subscriptions.by_id.get(reader.reader_id)
    if known is not None:
        if known.remote is not None:
            # A relay renews its own subscription when it misses something.
            known.next_offset = message.offset
            return _subscribe(state, known, known.remote, event.now_ms)
        _remove(state, reader.reader_id)
    return _attach(state, reader, event.now_ms)


def on_unsubscribe(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Unsubscribe,
) -> list[effects.Effect]:
    """Drop a subscription of a peer."""
    del event
    return _close(state, message.subscription_id)


def on_subscription_chunk(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.SubscriptionChunk,
) -> list[effects.Effect]:
    """Pass a chunk from the owner on to the reader."""
    reader = _subscriber(state, event.peer_id, message.subscription_id)
    if reader is None:
        return []
    reader.heard_ms = event.now_ms
    return _send_chunk(state, reader, message.chunk, event.now_ms)


def on_subscription_end(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.SubscriptionEnd,
) -> list[effects.Effect]:
    """Pass the end of an answer on to the reader."""
    reader = _subscriber(state, event.peer_id, message.subscription_id)
    if reader is None:
        return []
    outcome = message.outcome
    failure = outcome.failure
    if failure is not None and failure.code in _NOT_THERE:
        if _is_unknown_to_owner(state, reader, failure.code):
            _remove(state, reader.reader_id)
            return _send_end(state, reader, outcome)
        assert reader.remote is not None
        reader.tried.add(reader.remote)
        return _lose(state, reader, event.now_ms)
    if failure is None and outcome.total_offset > reader.next_offset:
        return _renew(state, reader, event.now_ms)
    _remove(state, reader.reader_id)
    return _send_end(state, reader, outcome)


def on_status_requested(
    state: entry_state.EntryState, event: events.StatusRequested
) -> list[effects.Effect]:
    """Answer from here, or ask the owner."""
    request = state.requests.by_id.get(event.request_id)
    if request is not None and request.phase is not requests.Phase.HANDED_OVER:
        if event.customer is not None and event.customer != request.customer:
            return [_unknown(event.exchange_id)]
        result: list[effects.Effect] = []
        if event.cancel:
            result.extend(requests.cancel(state, request, event.now_ms))
        result.append(
            effects.AnswerStatus(
                event.exchange_id, requests.status(state, request)
            )
        )
        return result
    first = ids.accepting_entry(event.request_id)
    if first is None or (first == state.entry and request is None):
        return [_unknown(event.exchange_id)]
    query = Query(
        event.exchange_id,
        event.request_id,
        event.customer,
        event.cancel,
        event.now_ms,
    )
    if request is not None:
        return _ask(state, query, request.handed_to, event.now_ms)
    return _ask(state, query, None, event.now_ms)


def on_status_query(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.StatusQuery,
) -> list[effects.Effect]:
    """Answer a peer's query about a request that is known here."""
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
    """Answer the exchange that caused a query, or ask the next entry."""
    query = state.subscriptions.queries.pop(message.query_id, None)
    if query is None:
        return []
    status = message.status
    handed_over = requests.Phase.HANDED_OVER.value
    if status is not None and status.phase != handed_over:
        return [effects.AnswerStatus(query.exchange_id, status)]
    if status is not None and status.owner not in query.tried:
        return _ask(state, query, status.owner, event.now_ms)
    first = ids.accepting_entry(query.request_id)
    departed = first in state.handover.departures
    if status is None and first in query.tried and not departed:
        if first is not None and first.vm_id == event.peer_id:
            return [_unknown(query.exchange_id)]
    return _ask(state, query, None, event.now_ms)


def on_peer_disconnected(
    state: entry_state.EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Drop the peer's subscriptions and look for the owners it served."""
    result: list[effects.Effect] = []
    for reader in list(state.subscriptions.by_id.values()):
        if reader.peer_id == event.peer_id:
            result.extend(_close(state, reader.reader_id))
            continue
        if reader.remote is None or reader.remote.vm_id != event.peer_id:
            continue
        result.extend(_lose(state, reader, event.now_ms))
    return result


def on_peer_send_failed(
    state: entry_state.EntryState, event: events.PeerSendFailed
) -> list[effects.Effect]:
    """Look for another owner, or wait for the peer to subscribe again."""
    message = event.message
    own = state.subscriptions
    if isinstance(message, messages.Subscribe):
        reader = _subscriber(state, event.peer_id, message.subscription_id)
        if reader is None or reader.remote is None:
            return []
        reader.tried.add(reader.remote)
        return _lose(state, reader, event.now_ms)
    if isinstance(message, messages.StatusQuery):
        query = own.queries.pop(message.query_id, None)
        if query is not None:
            return _ask(state, query, None, event.now_ms)
    if isinstance(
        message, messages.SubscriptionChunk | messages.SubscriptionEnd
    ):
        return _close(state, message.subscription_id)
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Renew silent subscriptions, look for owners, fail old queries."""
    now_ms = event.now_ms
    own = state.subscriptions
    result: list[effects.Effect] = []
    for reader_id in sorted(own.elsewhere):
        reader = own.by_id.get(reader_id)
        if reader is None:
            continue
        if reader.remote is None:
            if now_ms >= reader.retry_ms:
                result.extend(_find_owner(state, reader, now_ms))
            continue
        heard_ms = max(reader.heard_ms, reader.subscribed_ms)
        if now_ms >= heard_ms + REFRESH_MS:
            result.extend(_subscribe(state, reader, reader.remote, now_ms))
    for query_id, query in list(own.queries.items()):
        if now_ms >= query.sent_ms + QUERY_TIMEOUT_MS:
            del own.queries[query_id]
            result.append(_unreachable(query.exchange_id))
            continue
        if query.retry_ms is not None and now_ms >= query.retry_ms:
            del own.queries[query_id]
            query.tried.clear()
            result.extend(_ask(state, query, None, now_ms))
    return result


def deliver(
    state: entry_state.EntryState,
    request: requests.Request,
    chunk: messages.Chunk,
    now_ms: int,
) -> list[effects.Effect]:
    """Send a new chunk to all readers of a request."""
    result: list[effects.Effect] = []
    own = state.subscriptions
    for reader_id in list(own.by_request.get(request.request_id, [])):
        reader = own.by_id[reader_id]
        result.extend(_send_chunk(state, reader, chunk, now_ms))
    return result


def end(
    state: entry_state.EntryState,
    request: requests.Request,
    outcome: messages.Outcome,
) -> list[effects.Effect]:
    """Send the end of an answer to all readers and drop them."""
    result: list[effects.Effect] = []
    own = state.subscriptions
    for reader_id in list(own.by_request.get(request.request_id, [])):
        reader = _remove(state, reader_id)
        if reader is not None:
            result.extend(_send_end(state, reader, outcome))
    return result


def move(
    state: entry_state.EntryState,
    request: requests.Request,
    successor: ids.EntryId | None,
    now_ms: int,
) -> list[effects.Effect]:
    """Subscribe the readers of a handed over request at its successor."""
    result: list[effects.Effect] = []
    own = state.subscriptions
    for reader_id in list(own.by_request.get(request.request_id, [])):
        reader = own.by_id[reader_id]
        own.elsewhere.add(reader_id)
        if successor is None:
            result.extend(_lose(state, reader, now_ms))
            continue
        result.extend(_subscribe(state, reader, successor, now_ms))
    return result


def adopt(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> list[effects.Effect]:
    """Serve the readers of a request that this entry has taken over."""
    result: list[effects.Effect] = []
    own = state.subscriptions
    for reader_id in list(own.by_request.get(request.request_id, [])):
        reader = _remove(state, reader_id)
        if reader is None:
            continue
        if reader.remote is not None:
            result.extend(_unsubscribe(state, reader, reader.remote))
        reader.remote = None
        reader.lost_since_ms = None
        result.extend(_attach(state, reader, now_ms))
    return result


def _attach(
    state: entry_state.EntryState, reader: Reader, now_ms: int
) -> list[effects.Effect]:
    own = state.subscriptions
    request = state.requests.by_id.get(reader.request_id)
    if request is not None and reader.customer not in (None, request.customer):
        return _send_end(state, reader, _unknown_outcome())
    own.by_id[reader.reader_id] = reader
    own.by_request.setdefault(reader.request_id, []).append(reader.reader_id)
    if request is None:
        return _attach_elsewhere(state, reader, now_ms)
    if request.phase is requests.Phase.HANDED_OVER:
        own.elsewhere.add(reader.reader_id)
        if request.handed_to is None:
            return _lose(state, reader, now_ms)
        return _subscribe(state, reader, request.handed_to, now_ms)
    result: list[effects.Effect] = []
    for chunk in request.chunks:
        if reader.reader_id in own.by_id:
            result.extend(_send_chunk(state, reader, chunk, now_ms))
    if request.outcome is not None:
        if _remove(state, reader.reader_id) is not None:
            result.extend(_send_end(state, reader, request.outcome))
    return result


def _attach_elsewhere(
    state: entry_state.EntryState, reader: Reader, now_ms: int
) -> list[effects.Effect]:
    first = ids.accepting_entry(reader.request_id)
    # A peer's subscription is not passed on by guess: two entries that each
    # take the other for the owner would send it around.
    if first is None or first == state.entry or reader.peer_id is not None:
        _remove(state, reader.reader_id)
        return _send_end(state, reader, _unknown_outcome())
    state.subscriptions.elsewhere.add(reader.reader_id)
    return _find_owner(state, reader, now_ms)


def _find_owner(
    state: entry_state.EntryState, reader: Reader, now_ms: int
) -> list[effects.Effect]:
    """Subscribe at the likeliest owner that was not yet asked."""
    for owner in handover.possible_owners(state, reader.request_id):
        if owner == state.entry or owner in reader.tried:
            continue
        return _subscribe(state, reader, owner, now_ms)
    reader.tried.clear()
    if reader.lost_since_ms is None:
        reader.lost_since_ms = now_ms
    if now_ms >= reader.lost_since_ms + OWNER_TIMEOUT_MS:
        _remove(state, reader.reader_id)
        return _send_end(state, reader, _owner_lost(reader))
    reader.retry_ms = now_ms + RETRY_MS
    return handover.look_up_successors(state, reader.request_id, now_ms)


def _lose(
    state: entry_state.EntryState, reader: Reader, now_ms: int
) -> list[effects.Effect]:
    """Look for the owner again; a peer does so itself."""
    reader.remote = None
    if reader.peer_id is not None:
        _remove(state, reader.reader_id)
        return _send_end(state, reader, _owner_lost(reader))
    if reader.lost_since_ms is None:
        reader.lost_since_ms = now_ms
    return _find_owner(state, reader, now_ms)


def _subscribe(
    state: entry_state.EntryState,
    reader: Reader,
    owner: ids.EntryId,
    now_ms: int,
) -> list[effects.Effect]:
    reader.remote = owner
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


def _renew(
    state: entry_state.EntryState, reader: Reader, now_ms: int
) -> list[effects.Effect]:
    state.counters.increment("subscription_gaps")
    if reader.remote is None:
        return []
    if now_ms < reader.subscribed_ms + RESUBSCRIBE_MS:
        return []
    return _subscribe(state, reader, reader.remote, now_ms)


def _subscription_id(state: entry_state.EntryState, reader: Reader) -> str:
    # Reader ids are unique within one entry only.
    return f"{ids.entry_name(state.entry)}/{reader.reader_id}"


def _subscriber(
    state: entry_state.EntryState, peer_id: str, subscription_id: str
) -> Reader | None:
    """Return the reader of a subscription, if `peer_id` serves it now."""
    _, _, reader_id = subscription_id.partition("/")
    reader = state.subscriptions.by_id.get(reader_id)
    if reader is None or reader.remote is None:
        state.counters.increment("dropped_answers", "unknown_subscription")
        return None
    if reader.remote.vm_id != peer_id:
        state.counters.increment("dropped_answers", "former_owner")
        return None
    return reader


def _is_unknown_to_owner(
    state: entry_state.EntryState, reader: Reader, code: str
) -> bool:
    """Return whether the entry that accepted a request does not know it."""
    first = ids.accepting_entry(reader.request_id)
    if code != "unknown_request" or reader.remote != first:
        return False
    return first not in state.handover.departures


def _ask(
    state: entry_state.EntryState,
    query: Query,
    owner: ids.EntryId | None,
    now_ms: int,
) -> list[effects.Effect]:
    """Ask `owner`, or else the likeliest owner that was not yet asked."""
    own = state.subscriptions
    query_id = f"{ids.entry_name(state.entry)}.{own.next_query}"
    own.next_query += 1
    own.queries[query_id] = query
    query.retry_ms = None
    owners = handover.possible_owners(state, query.request_id)
    for candidate in owners if owner is None else [owner]:
        if candidate == state.entry or candidate in query.tried:
            continue
        query.tried.add(candidate)
        message = messages.StatusQuery(
            query_id, query.request_id, query.customer, query.cancel
        )
        return membership.send(state, candidate, message)
    query.retry_ms = now_ms + RETRY_MS
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
        return _renew(state, reader, now_ms)
    if chunk.offset < reader.next_offset:
        # The text of a chunk cannot be cut at an offset within it.
        _remove(state, reader.reader_id)
        return _send_end(state, reader, _offset_unavailable(reader))
    reader.next_offset = chunk.next_offset
    reader.lost_since_ms = None
    if reader.peer_id is None:
        return [effects.SendChunk(reader.reader_id, chunk)]
    message = messages.SubscriptionChunk(reader.reader_id, chunk)
    return membership.reply(state, reader.peer_id, message)


def _send_end(
    state: entry_state.EntryState, reader: Reader, outcome: messages.Outcome
) -> list[effects.Effect]:
    if outcome.failure is None and outcome.total_offset != reader.next_offset:
        outcome = _offset_unavailable(reader)
    if reader.peer_id is None:
        return [effects.EndReader(reader.reader_id, outcome)]
    message = messages.SubscriptionEnd(reader.reader_id, outcome)
    return membership.reply(state, reader.peer_id, message)


def _close(
    state: entry_state.EntryState, reader_id: str
) -> list[effects.Effect]:
    reader = _remove(state, reader_id)
    if reader is None or reader.remote is None:
        return []
    return _unsubscribe(state, reader, reader.remote)


def _remove(state: entry_state.EntryState, reader_id: str) -> Reader | None:
    own = state.subscriptions
    reader = own.by_id.pop(reader_id, None)
    if reader is None:
        return None
    own.elsewhere.discard(reader_id)
    readers = own.by_request[reader.request_id]
    readers.remove(reader_id)
    if not readers:
        del own.by_request[reader.request_id]
    return reader


def _owner_lost(reader: Reader) -> messages.Outcome:
    return messages.Outcome(reader.next_offset, _unreachable_failure())


def _offset_unavailable(reader: Reader) -> messages.Outcome:
    failure = messages.Failure(
        "offset_unavailable",
        "the answer cannot be read from this offset; read from the start",
        verdict.Verdict.MAY_HAVE_RUN,
    )
    return messages.Outcome(reader.next_offset, failure)


def _unknown_outcome() -> messages.Outcome:
    return messages.Outcome(0, _unknown_failure())


def _unknown_failure() -> messages.Failure:
    # An id that no entry knows may belong to an entry that died while the
    # request was running, so this verdict cannot be "not run".
    return messages.Failure(
        "unknown_request", "no such request", verdict.Verdict.MAY_HAVE_RUN
    )


def _unknown(exchange_id: str) -> effects.Refuse:
    return effects.Refuse(exchange_id, _unknown_failure())


def _unreachable_failure() -> messages.Failure:
    return messages.Failure(
        "owner_unreachable",
        "the entry that owns the request cannot be reached; try again",
        verdict.Verdict.MAY_HAVE_RUN,
        1_000,
    )


def _unreachable(exchange_id: str) -> effects.Refuse:
    return effects.Refuse(exchange_id, _unreachable_failure())
