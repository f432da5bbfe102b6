"""Moves of running streams from engines that are about to shut down.

The engine stops the stream and copies its KV cache to another engine, which
continues the stream.
"""

from __future__ import annotations

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import lifecycle
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.rollouts import routing

# A stream is moved this long before its engine shuts down. Most streams end
# before that, and each moved one takes capacity from those at its target.
MOVE_MARGIN_MS = 600


def on_upstream_changed(
    state: forwarding_state.ForwardingState, event: events.UpstreamChanged
) -> list[effects.Effect]:
    """Record when a leaving engine will shut down."""
    registration = event.registration
    if registration.lifecycle is not upstreams.Lifecycle.LEAVING:
        return []
    upstream = state.upstreams.get(registration.upstream_id)
    if upstream is not None:
        upstream.note_leaving(registration.leaves_in_ms, event.now_ms)
    return []


def on_tick(
    state: forwarding_state.ForwardingState, event: events.Ticked
) -> list[effects.Effect]:
    """Move the streams whose engine is about to shut down.

    Those at the previous version of a roll-out are moved ahead of its end.
    """
    produced: list[effects.Effect] = []
    for active in list(state.active.values()):
        if active.choice is None or not active.has_started:
            continue
        if routing.must_move(state, active, event.now_ms):
            produced.extend(_request_move(state, active, event.now_ms))
            # Tried again until there is room at the target version.
            active.move_requested = active.move_target is not None
            continue
        leaves_at_ms = active.choice.upstream.leaves_at_ms
        if leaves_at_ms is None:
            continue
        if event.now_ms >= leaves_at_ms - MOVE_MARGIN_MS:
            produced.extend(_request_move(state, active, event.now_ms))
    return produced


def on_moved(
    state: forwarding_state.ForwardingState, event: events.StreamMoved
) -> list[effects.Effect]:
    """Continue a stream at the engine that received its KV cache."""
    active = state.active.get(event.request_id)
    if active is None or active.move_target is None:
        return []
    active.kv_source = event.kv_source
    target, active.move_target = active.move_target, None
    active.move_requested = False
    if active.choice is not None:
        active.move_fallback = active.choice.upstream
    return _resume(state, active, target, event.now_ms)


def on_failed(
    state: forwarding_state.ForwardingState, event: events.AttemptFailed
) -> list[effects.Effect]:
    """Continue a stream at its former engine if the target rejects it.

    Returns no effects for a failure that is not the rejection of a move.
    """
    active = state.active.get(event.request_id)
    if active is None or active.move_fallback is None:
        return []
    fallback, active.move_fallback = active.move_fallback, None
    if event.verdict is not verdicts.Verdict.NOT_RUN:
        return []
    lifecycle.record_verdict(active, event)
    return _resume(state, active, fallback, event.now_ms)


def _request_move(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    now_ms: int,
) -> list[effects.Effect]:
    """Request the move of a stream, once per engine, if there is a target."""
    request, choice = active.request, active.choice
    service = state.service(request.service)
    if service is None or service.engine is None or choice is None:
        return []
    is_movable = service.engine.moves_streams and request.prompt is not None
    is_movable &= request.route.is_stream  # Only events can be continued.
    # A stream that may be resumed is sent again when it breaks off, at little
    # cost.
    if not is_movable or request.route.may_repeat or active.move_requested:
        return []
    active.move_requested = True
    excluded = _reclaimed_with(state, choice.upstream.registration)
    versions, *fallbacks = routing.choices(state, active, now_ms)
    usable = routing.usable(state, request.service, now_ms, 0, versions)
    if (
        fallbacks
        and not usable
        and not routing.must_move(state, active, now_ms)
    ):
        usable = routing.usable(state, request.service, now_ms, 0, fallbacks[0])
    target = selection.choose(
        usable,
        request,
        service,
        choice.upstream.registration.zone,
        excluded,
        now_ms,
        state.random,
        state.view(request.service),
    )
    entries = state.members.expected_count(now_ms)
    if target is None or not state.budget.take(
        request.service, now_ms, entries, is_move=True
    ):
        state.counters.increment("moves_refused", "no_room_or_budget")
        return []
    active.move_target = target.upstream
    state.counters.increment("moves")
    return [
        effects.MoveStream(
            request.request_id,
            choice.upstream.registration,
            target.upstream.registration,
        )
    ]


def _reclaimed_with(
    state: forwarding_state.ForwardingState, source: upstreams.Registration
) -> set[str]:
    """Return the ids of the engines that are probably reclaimed with this one.

    A reclaim takes all reclaimable engines of a zone, but their notices arrive
    one after the other.
    """
    leaving = {source.upstream_id}
    if not source.reclaimable:
        return leaving
    for upstream in state.upstreams.of_service(source.service):
        registration = upstream.registration
        if registration.reclaimable and registration.zone == source.zone:
            leaving.add(registration.upstream_id)
    return leaving


def _resume(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    upstream: upstreams.Upstream,
    now_ms: int,
) -> list[effects.Effect]:
    """Send a stopped stream to an engine to continue from its KV cache."""
    lifecycle.release(active)
    choice = selection.Choice(upstream, 0.0, 0.0, 0, upstream.streams())
    first_byte_timeout_ms = max(0, active.request.deadline_ms - now_ms)
    return [
        lifecycle.assign(
            state,
            active,
            choice,
            now_ms,
            first_byte_timeout_ms,
            active.kv_source,
        )
    ]
