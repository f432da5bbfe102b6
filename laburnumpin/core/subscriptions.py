"""Readers of a request's output, here and at other entries."""

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

# A status query without a reply within this time counts as unknown.
QUERY_TIMEOUT_MS = 3_000


@dataclasses.dataclass(slots=True)
class Reader:
    """A reader of a request's output.

    `peer_id` is set when the reader is a subscription of that peer; the
    reader's id is then the subscription's id.
    """

    reader_id: str
    request_id: str
    customer: str | None
    next_offset: int
    peer_id: str | None = None
    remote: ids.EntryId | None = None


@dataclasses.dataclass(slots=True)
class Query:
    """A status query that was forwarded to the owner."""

    exchange_id: str
    request_id: str
    sent_ms: int


class SubscriptionsState:
    """Readers by id and by request, and queries sent to other entries."""

    __slots__ = ("by_id", "by_request", "next_query", "queries")

    def __init__(self) -> None:
        self.by_id: dict[str, Reader] = {}
        self.by_request: dict[str, list[str]] = {}
        self.queries: dict[str, Query] = {}
        self.next_query = 1


def on_reader_opened(
    state: entry_state.EntryState, event: events.ReaderOpened
) -> list[effects.Effect]:
    """Serve a reader from here, or subscribe at the owner."""
    reader = Reader(
        event.reader_id, event.request_id, event.customer, event.offset
    )
    return _attach(state, reader)


def on_reader_closed(
    state: entry_state.EntryState, event: events.ReaderClosed
) -> list[effects.Effect]:
    """Drop a reader and its subscription."""
    reader = _remove(state, event.reader_id)
    if reader is None or reader.remote is None:
        return []
    return membership.send(
        state, reader.remote, messages.Unsubscribe(reader.reader_id)
    )


def on_subscribe(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Subscribe,
) -> list[effects.Effect]:
    """Serve a subscription of a peer."""
    reader = Reader(
        message.subscription_id,
        message.request_id,
        message.customer,
        message.offset,
        peer_id=event.peer_id,
    )
    return _attach(state, reader)


def on_unsubscribe(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Unsubscribe,
) -> list[effects.Effect]:
    """Drop a subscription of a peer."""
    del event
    _remove(state, message.subscription_id)
    return []


def on_subscription_chunk(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.SubscriptionChunk,
) -> list[effects.Effect]:
    """Pass a chunk from the owner on to the reader."""
    del event
    reader = state.subscriptions.by_id.get(message.subscription_id)
    if reader is None:
        state.counters.increment("dropped_answers", "unknown_subscription")
        return []
    return _send_chunk(state, reader, message.chunk)


def on_subscription_end(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.SubscriptionEnd,
) -> list[effects.Effect]:
    """Pass the end of an answer on to the reader."""
    del event
    reader = _remove(state, message.subscription_id)
    if reader is None:
        state.counters.increment("dropped_answers", "unknown_subscription")
        return []
    return _send_end(state, reader, message.outcome)


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
    owner = handover.owner_of(state, event.request_id)
    if owner is None or owner == state.entry:
        return [_unknown(event.exchange_id)]
    own = state.subscriptions
    query_id = f"{state.entry.vm_id}.{state.entry.incarnation}.{own.next_query}"
    own.next_query += 1
    own.queries[query_id] = Query(
        event.exchange_id, event.request_id, event.now_ms
    )
    query = messages.StatusQuery(
        query_id, event.request_id, event.customer, event.cancel
    )
    return membership.send(state, owner, query)


def on_status_query(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.StatusQuery,
) -> list[effects.Effect]:
    """Answer a peer's query about a request that is owned here."""
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
    """Answer the exchange that caused a query."""
    del event
    query = state.subscriptions.queries.pop(message.query_id, None)
    if query is None:
        return []
    if message.status is None:
        return [_unknown(query.exchange_id)]
    return [effects.AnswerStatus(query.exchange_id, message.status)]


def on_peer_disconnected(
    state: entry_state.EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """End the readers that depended on the peer; they may come back."""
    result: list[effects.Effect] = []
    for reader in list(state.subscriptions.by_id.values()):
        if reader.peer_id == event.peer_id:
            _remove(state, reader.reader_id)
            continue
        if reader.remote is None or reader.remote.vm_id != event.peer_id:
            continue
        _remove(state, reader.reader_id)
        result.extend(_send_end(state, reader, _owner_lost(reader)))
    return result


def on_peer_send_failed(
    state: entry_state.EntryState, event: events.PeerSendFailed
) -> list[effects.Effect]:
    """Fail a subscription or query that did not reach the owner."""
    if isinstance(event.message, messages.Subscribe):
        reader = _remove(state, event.message.subscription_id)
        if reader is None:
            return []
        return _send_end(state, reader, _owner_lost(reader))
    if isinstance(event.message, messages.StatusQuery):
        query = state.subscriptions.queries.pop(event.message.query_id, None)
        if query is not None:
            return [_unreachable(query.exchange_id)]
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Fail queries without a reply."""
    result: list[effects.Effect] = []
    for query_id, query in list(state.subscriptions.queries.items()):
        if event.now_ms < query.sent_ms + QUERY_TIMEOUT_MS:
            continue
        del state.subscriptions.queries[query_id]
        result.append(_unreachable(query.exchange_id))
    return result


def deliver(
    state: entry_state.EntryState,
    request: requests.Request,
    chunk: messages.Chunk,
) -> list[effects.Effect]:
    """Send a new chunk to all readers of a request."""
    result: list[effects.Effect] = []
    own = state.subscriptions
    for reader_id in own.by_request.get(request.request_id, []):
        result.extend(_send_chunk(state, own.by_id[reader_id], chunk))
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
    successor: ids.EntryId,
) -> list[effects.Effect]:
    """Subscribe the readers of a handed over request at its successor."""
    result: list[effects.Effect] = []
    own = state.subscriptions
    for reader_id in own.by_request.get(request.request_id, []):
        reader = own.by_id[reader_id]
        reader.remote = successor
        result.extend(_subscribe(state, reader, successor))
    return result


def _attach(
    state: entry_state.EntryState, reader: Reader
) -> list[effects.Effect]:
    own = state.subscriptions
    request = state.requests.by_id.get(reader.request_id)
    here = (
        request is not None and request.phase is not requests.Phase.HANDED_OVER
    )
    if request is not None and reader.customer not in (None, request.customer):
        return _send_end(state, reader, _unknown_outcome())
    if not here:
        owner = handover.owner_of(state, reader.request_id)
        if owner is None or owner == state.entry:
            return _send_end(state, reader, _unknown_outcome())
        reader.remote = owner
    own.by_id[reader.reader_id] = reader
    own.by_request.setdefault(reader.request_id, []).append(reader.reader_id)
    if reader.remote is not None:
        return _subscribe(state, reader, reader.remote)
    assert request is not None
    result: list[effects.Effect] = []
    for chunk in request.chunks:
        result.extend(_send_chunk(state, reader, chunk))
    if request.outcome is not None:
        _remove(state, reader.reader_id)
        result.extend(_send_end(state, reader, request.outcome))
    return result


def _subscribe(
    state: entry_state.EntryState, reader: Reader, owner: ids.EntryId
) -> list[effects.Effect]:
    message = messages.Subscribe(
        reader.reader_id, reader.request_id, reader.customer, reader.next_offset
    )
    return membership.send(state, owner, message)


def _send_chunk(
    state: entry_state.EntryState, reader: Reader, chunk: messages.Chunk
) -> list[effects.Effect]:
    if chunk.next_offset <= reader.next_offset:
        return []
    reader.next_offset = chunk.next_offset
    if reader.peer_id is None:
        return [effects.SendChunk(reader.reader_id, chunk)]
    message = messages.SubscriptionChunk(reader.reader_id, chunk)
    return membership.reply(state, reader.peer_id, message)


def _send_end(
    state: entry_state.EntryState, reader: Reader, outcome: messages.Outcome
) -> list[effects.Effect]:
    if reader.peer_id is None:
        return [effects.EndReader(reader.reader_id, outcome)]
    message = messages.SubscriptionEnd(reader.reader_id, outcome)
    return membership.reply(state, reader.peer_id, message)


def _remove(state: entry_state.EntryState, reader_id: str) -> Reader | None:
    own = state.subscriptions
    reader = own.by_id.pop(reader_id, None)
    if reader is None:
        return None
    readers = own.by_request[reader.request_id]
    readers.remove(reader_id)
    if not readers:
        del own.by_request[reader.request_id]
    return reader


def _owner_lost(reader: Reader) -> messages.Outcome:
    failure = messages.Failure(
        "owner_unreachable",
        "the entry that owns the request cannot be reached; try again",
        verdict.Verdict.MAY_HAVE_RUN,
        1_000,
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


def _unreachable(exchange_id: str) -> effects.Refuse:
    failure = messages.Failure(
        "owner_unreachable",
        "the entry that owns the request cannot be reached; try again",
        verdict.Verdict.MAY_HAVE_RUN,
        1_000,
    )
    return effects.Refuse(exchange_id, failure)
