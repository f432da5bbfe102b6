"""The placement lease, the plan of VMs and orders to engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import messages

if TYPE_CHECKING:
    from laburnumpin.core import state as entry_state


class FleetState:
    """The lease and the plan."""

    __slots__ = ()


def on_vms_listed(
    state: entry_state.EntryState, event: events.VmsListed
) -> list[effects.Effect]:
    """Compare the list with the plan."""
    return []


def on_notices(
    state: entry_state.EntryState, event: events.NoticesListed
) -> list[effects.Effect]:
    """Replace VMs that are reclaimed."""
    return []


def on_vm_start_answered(
    state: entry_state.EntryState, event: events.VmStartAnswered
) -> list[effects.Effect]:
    """Note a started VM, or fall back after a refusal."""
    return []


def on_prices_listed(
    state: entry_state.EntryState, event: events.PricesListed
) -> list[effects.Effect]:
    """Take over the current prices."""
    return []


def on_order_answered(
    state: entry_state.EntryState, event: events.OrderAnswered
) -> list[effects.Effect]:
    """Note how an engine answered an order."""
    return []


def on_digest(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Digest,
) -> list[effects.Effect]:
    """Take over the demand that a peer sees."""
    return []


def on_store_event(
    state: entry_state.EntryState, event: events.StoreEvent
) -> list[effects.Effect]:
    """Continue with the lease and the demand profile."""
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Renew the lease and plan when due."""
    return []
