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
from laburnumpin.forwarding.rollouts import routing


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
            routing.on_checked(state, event)
            return withholding.on_checked(state, event)
        case events.UpstreamStated():
            return statements.on_stated(state, event)
        case events.DeploymentRead():
            return registry.on_deployment(state, event)
        case events.StoreEraSeen():
            return registry.on_store_era(state, event)
        case (
            events.UpstreamsListed()
            | events.UpstreamChanged()
            | events.UpstreamRemoved()
        ):
            return _on_registry_event(state, event)
        case events.PartLossesRead():
            return withholding.merge(
                state, event.rows, event.request_rows, event.now_ms
            )
        case events.RolloutsOrdered() | events.RolloutsDecided():
            return routing.on_read(state, event)
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
            produced += routing.on_attempt_failed(state, event)
            return produced + (
                moves.on_failed(state, event)
                or lifecycle.on_failed(state, event)
            )
        case events.StreamMoved():
            return moves.on_moved(state, event)
        case events.RequestEnded():
            return lifecycle.on_ended(state, event)


def _on_registry_event(
    state: forwarding_state.ForwardingState,
    event: events.UpstreamsListed
    | events.UpstreamChanged
    | events.UpstreamRemoved,
) -> list[effects.Effect]:
    match event:
        case events.UpstreamsListed():
            produced = registry.on_listed(state, event)
            routing.note_listed(state, event.now_ms)
            return produced
        case events.UpstreamChanged():
            produced = registry.on_changed(state, event)
            routing.note_changed(state, event.registration, event.now_ms)
            return produced + moves.on_upstream_changed(state, event)
        case events.UpstreamRemoved():
            return registry.on_removed(state, event)


def _on_tick(
    state: forwarding_state.ForwardingState, event: events.Ticked
) -> list[effects.Effect]:
    produced = registry.on_tick(state, event)
    produced += withholding.on_tick(state, event)
    upstream_limits.on_tick(state, event)
    produced += routing.on_tick(state, event.now_ms)
    produced += gossip.on_tick(state, event)
    return produced + moves.on_tick(state, event)
