"""Handover of a leaving entry's work to its successors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import ids
from laburnumpin.core import messages

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state


class HandoverState:
    """Offers in flight and departed entries with their successors."""

    __slots__ = ("departures",)

    def __init__(self) -> None:
        self.departures: dict[ids.EntryId, messages.Departure] = {}


def has_unfinished(state: entry_state.EntryState) -> bool:
    """Return whether an offer waits for its acknowledgement."""
    return False


def owner_of(
    state: entry_state.EntryState, request_id: str
) -> ids.EntryId | None:
    """Return the entry that owns a request now, as far as is known."""
    return ids.owner_of(request_id)


def on_notices(
    state: entry_state.EntryState, event: events.NoticesListed
) -> list[effects.Effect]:
    """Start the handover when a notice names this entry's VM."""
    return []


def on_reclaim_notified(
    state: entry_state.EntryState, event: events.ReclaimNotified
) -> list[effects.Effect]:
    """Start the handover."""
    return []


def on_offer(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.HandoverOffer,
) -> list[effects.Effect]:
    """Take over the requests of a leaving entry."""
    return []


def on_ack(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.HandoverAck,
) -> list[effects.Effect]:
    """Give up what a successor has taken over."""
    return []


def on_digest(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Digest,
) -> list[effects.Effect]:
    """Learn of departed entries."""
    return []


def on_peer_disconnected(
    state: entry_state.EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Offer again what the peer did not acknowledge."""
    return []


def on_peer_send_failed(
    state: entry_state.EntryState, event: events.PeerSendFailed
) -> list[effects.Effect]:
    """Offer again what was not sent."""
    return []


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect]:
    """Continue with batches in the object store."""
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Repeat offers and look for batches to pick up."""
    return []
