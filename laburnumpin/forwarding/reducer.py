"""The reducer: applies an event to the state and returns effects."""

from __future__ import annotations

from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import gossip
from laburnumpin.forwarding import lifecycle
from laburnumpin.forwarding import moves
from laburnumpin.forwarding import registry
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import statements
from laburnumpin.forwarding import upstream_limits
from laburnumpin.forwarding import withholding


def reduce(
    state: forwarding_state.ForwardingState, event: events.Event
) -> list[effects.Effect]:
    """Apply an event; return the effects in the order to carry them out."""
    match event:
        case (
            events.RequestArrived()
            | events.FirstEvent()
            | events.AttemptFailed()
            | events.StreamMoved()
            | events.RequestEnded()
        ):
            return _on_request_event(state, event)
        case events.UpstreamChecked():
            return withholding.on_checked(state, event)
        case events.UpstreamStated():
            return statements.on_stated(state, event)
        case events.DeploymentRead():
            return registry.on_deployment(state, event)
        case events.StoreEraSeen():
            return registry.on_store_era(state, event)
        case events.UpstreamsListed():
            return registry.on_listed(state, event)
        case events.UpstreamChanged():
            return _on_upstream_changed(state, event)
        case events.UpstreamRemoved():
            return registry.on_removed(state, event)
        case events.PartLossesRead():
            return withholding.merge(
                state, event.rows, event.request_rows, event.now_ms
            )
        case events.DigestReceived():
            return gossip.on_digest(state, event)
        case events.Ticked():
            return _on_tick(state, event)


def _on_request_event(
    state: forwarding_state.ForwardingState,
    event: events.RequestArrived
    | events.FirstEvent
    | events.AttemptFailed
    | events.StreamMoved
    | events.RequestEnded,
) -> list[effects.Effect]:
    match event:
        case events.RequestArrived():
            return lifecycle.on_arrived(state, event)
        case events.FirstEvent():
            return lifecycle.on_first_event(state, event)
        case events.AttemptFailed():
            produced = withholding.on_attempt_failed(state, event)
            return produced + (
                moves.on_failed(state, event)
                or lifecycle.on_failed(state, event)
            )
        case events.StreamMoved():
            return moves.on_moved(state, event)
        case events.RequestEnded():
            return lifecycle.on_ended(state, event)


def _on_upstream_changed(
    state: forwarding_state.ForwardingState, event: events.UpstreamChanged
) -> list[effects.Effect]:
    produced = registry.on_changed(state, event)
    return produced + moves.on_upstream_changed(state, event)


def _on_tick(
    state: forwarding_state.ForwardingState, event: events.Ticked
) -> list[effects.Effect]:
    produced = registry.on_tick(state, event)
    produced += withholding.on_tick(state, event)
    upstream_limits.on_tick(state, event)
    produced += gossip.on_tick(state, event)
    return produced + moves.on_tick(state, event)
