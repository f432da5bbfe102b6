"""The reducer: applies an event to the state and returns effects."""

from __future__ import annotations

from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import gossip
from laburnumpin.forwarding import lifecycle
from laburnumpin.forwarding import moves
from laburnumpin.forwarding import registry
from laburnumpin.forwarding import state as forwarding_state


def reduce(
    state: forwarding_state.ForwardingState, event: events.Event
) -> list[effects.Effect]:
    """Apply an event; return the effects in the order to carry them out."""
    match event:
        case events.RequestArrived():
            return lifecycle.on_arrived(state, event)
        case events.FirstEvent():
            return lifecycle.on_first_event(state, event)
        case events.AttemptFailed():
            return moves.on_failed(state, event) or lifecycle.on_failed(
                state, event
            )
        case events.StreamMoved():
            return moves.on_moved(state, event)
        case events.RequestEnded():
            return lifecycle.on_ended(state, event)
        case events.DeploymentRead():
            return registry.on_deployment(state, event)
        case events.UpstreamsListed():
            return registry.on_listed(state, event)
        case events.UpstreamChanged():
            produced = registry.on_changed(state, event)
            return produced + moves.on_upstream_changed(state, event)
        case events.UpstreamRemoved():
            return registry.on_removed(state, event)
        case events.DigestReceived():
            return gossip.on_digest(state, event)
        case events.Ticked():
            produced = registry.on_tick(state, event)
            produced += gossip.on_tick(state, event)
            return produced + moves.on_tick(state, event)
