"""The reducer: dispatches each event to the handlers of the core modules."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

from laburnumpin.core import claims
from laburnumpin.core import configuration
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import fleet
from laburnumpin.core import handover
from laburnumpin.core import lifecycle
from laburnumpin.core import limits
from laburnumpin.core import membership
from laburnumpin.core import messages
from laburnumpin.core import moves
from laburnumpin.core import prefixes
from laburnumpin.core import requests
from laburnumpin.core import store
from laburnumpin.core import subscriptions
from laburnumpin.core import upstreams

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state

_Handler = Callable[..., "list[effects.Effect]"]

# The handlers of an event run in this order. A module whose state other modules
# read, such as the set of upstreams, comes before these.
_EVENT_HANDLERS: dict[type, tuple[_Handler, ...]] = {
    events.RequestArrived: (requests.on_arrived,),
    events.StatusRequested: (subscriptions.on_status_requested,),
    events.ReaderOpened: (subscriptions.on_reader_opened,),
    events.ReaderClosed: (subscriptions.on_reader_closed,),
    events.AttemptOutput: (requests.on_attempt_output,),
    events.AttemptCompleted: (requests.on_attempt_completed,),
    events.AttemptFailed: (requests.on_attempt_failed,),
    events.CacheImported: (requests.on_cache_imported,),
    events.LoadReported: (upstreams.on_load_reported,),
    events.LoadPollFailed: (upstreams.on_load_poll_failed,),
    events.CacheEventsReported: (prefixes.on_cache_events,),
    events.VmsListed: (
        upstreams.on_vms_listed,
        membership.on_vms_listed,
        fleet.on_vms_listed,
    ),
    events.VmListFailed: (membership.on_vm_list_failed,),
    events.NoticesListed: (
        upstreams.on_notices,
        handover.on_notices,
        fleet.on_notices,
    ),
    events.VmStartAnswered: (fleet.on_vm_start_answered,),
    events.PricesListed: (fleet.on_prices_listed,),
    events.OrderAnswered: (fleet.on_order_answered,),
    events.PeerDisconnected: (
        membership.on_peer_disconnected,
        subscriptions.on_peer_disconnected,
        handover.on_peer_disconnected,
    ),
    events.PeerSendFailed: (
        membership.on_peer_send_failed,
        subscriptions.on_peer_send_failed,
        handover.on_peer_send_failed,
    ),
    events.ReclaimNotified: (handover.on_reclaim_notified,),
    events.ShutdownRequested: (lifecycle.on_shutdown_requested,),
    events.Tick: (
        configuration.on_tick,
        membership.on_tick,
        upstreams.on_tick,
        fleet.on_tick,
        claims.on_tick,
        limits.on_tick,
        requests.on_tick,
        moves.on_tick,
        subscriptions.on_tick,
        handover.on_tick,
        lifecycle.on_tick,
    ),
}

_MESSAGE_HANDLERS: dict[type, tuple[_Handler, ...]] = {
    messages.Digest: (
        membership.on_digest,
        upstreams.on_digest,
        handover.on_digest,
        configuration.on_digest,
        fleet.on_digest,
    ),
    messages.ConfigurationPull: (configuration.on_pull,),
    messages.ConfigurationPush: (configuration.on_push,),
    messages.HandoverOffer: (handover.on_offer,),
    messages.HandoverAck: (handover.on_ack,),
    messages.Subscribe: (subscriptions.on_subscribe,),
    messages.Unsubscribe: (subscriptions.on_unsubscribe,),
    messages.SubscriptionChunk: (subscriptions.on_subscription_chunk,),
    messages.SubscriptionEnd: (subscriptions.on_subscription_end,),
    messages.StatusQuery: (subscriptions.on_status_query,),
    messages.StatusReply: (subscriptions.on_status_reply,),
    messages.QuotaRequest: (limits.on_quota_request,),
    messages.QuotaLoan: (limits.on_quota_loan,),
}

_STORE_HANDLERS: dict[store.StoreModule, _Handler] = {
    store.StoreModule.CLAIMS: claims.on_store_event,
    store.StoreModule.CONFIGURATION: configuration.on_store_event,
    store.StoreModule.FLEET: fleet.on_store_event,
    store.StoreModule.HANDOVER: handover.on_store_event,
}


def reduce(
    state: entry_state.EntryState, event: events.Event
) -> list[effects.Effect]:
    """Apply an event to the state and return the resulting effects in order."""
    if isinstance(event, events.PeerReceived):
        handlers = _MESSAGE_HANDLERS[type(event.message)]
    elif isinstance(event, events.StoreEvent):
        handlers = (_STORE_HANDLERS[event.operation_id.module],)
    else:
        handlers = _EVENT_HANDLERS[type(event)]
    result: list[effects.Effect] = []
    for handler in handlers:
        result.extend(_call_handler(handler, state, event))
    return result


def _call_handler(
    handler: _Handler, state: entry_state.EntryState, event: Any
) -> list[effects.Effect]:
    if isinstance(event, events.PeerReceived):
        return handler(state, event, event.message)
    return handler(state, event)
