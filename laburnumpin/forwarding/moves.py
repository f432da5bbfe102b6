"""Moves of streams off engines that leave before the streams end."""

from __future__ import annotations

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import lifecycle
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams

# Time that a leaving engine serves where it does not tell how long.
NOTICE_MS = 2_000
# Part of the notice within which a stream has to end to be left where it is.
NOTICE_SHARE = 0.6
# Time for an output token while prompts of other requests are read between
# the steps: about twice a step of the data sheets.
TOKEN_MS = 8.0


def on_upstream_changed(
    state: forwarding_state.ForwardingState, event: events.UpstreamChanged
) -> list[effects.Effect]:
    """Move the streams off an engine that has announced that it leaves."""
    if event.registration.lifecycle is not upstreams.Lifecycle.LEAVING:
        return []
    produced: list[effects.Effect] = []
    for active in list(state.active.values()):
        choice = active.choice
        if choice is None or not active.counted:
            continue
        registration = choice.upstream.registration
        if registration.upstream_id == event.registration.upstream_id:
            produced.extend(_move(state, active, event.now_ms))
    return produced


def on_first_event(
    state: forwarding_state.ForwardingState, event: events.FirstEvent
) -> list[effects.Effect]:
    """Move a stream that starts on an engine that is leaving already."""
    active = state.active.get(event.request_id)
    if active is None or active.choice is None:
        return []
    registration = active.choice.upstream.registration
    if registration.lifecycle is not upstreams.Lifecycle.LEAVING:
        return []
    return _move(state, active, event.now_ms)


def on_moved(
    state: forwarding_state.ForwardingState, event: events.StreamMoved
) -> list[effects.Effect]:
    """Continue a stream at the engine that has its memory."""
    active = state.active.get(event.request_id)
    if active is None or active.move_target is None:
        return []
    active.kv_source = event.kv_source
    target, active.move_target = active.move_target, None
    if active.choice is not None:
        active.move_fallback = active.choice.upstream
    return _continue(state, active, target, event.now_ms)


def on_failed(
    state: forwarding_state.ForwardingState, event: events.AttemptFailed
) -> list[effects.Effect]:
    """Continue where the stream stopped if the other engine rejects it."""
    active = state.active.get(event.request_id)
    if active is None or active.move_fallback is None:
        return []
    fallback, active.move_fallback = active.move_fallback, None
    if event.verdict is not verdicts.Verdict.NOT_RUN:
        return []
    return _continue(state, active, fallback, event.now_ms)


def _move(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.Active,
    now_ms: int,
) -> list[effects.Effect]:
    request, choice = active.request, active.choice
    service = _service(state, request.service)
    if service is None or service.engine is None or choice is None:
        return []
    movable = service.engine.moves_streams and request.prompt is not None
    # A stream that may be resumed is read again at little cost.
    if not movable or request.route.may_repeat or active.move_target:
        return []
    if _ends_in_time(active, now_ms):
        return []
    excluded = {choice.upstream.registration.upstream_id}
    target = selection.choose(
        state.upstreams.usable(request.service, now_ms),
        request,
        service,
        choice.upstream.registration.zone,
        excluded,
        now_ms,
        state.random,
    )
    entries = state.members.count()
    if target is None or not state.budget.take(
        request.service, now_ms, entries
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


def _ends_in_time(active: forwarding_state.Active, now_ms: int) -> bool:
    assert active.choice is not None
    assert active.request.prompt is not None
    notice_ms = active.choice.upstream.registration.leaves_in_ms
    if notice_ms is None:
        notice_ms = NOTICE_MS
    whole_ms = active.request.prompt.max_output_tokens * TOKEN_MS
    left_ms = whole_ms - (now_ms - active.first_ms)
    return left_ms <= notice_ms * NOTICE_SHARE


def _continue(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.Active,
    upstream: upstreams.Upstream,
    now_ms: int,
) -> list[effects.Effect]:
    lifecycle.release(active)
    active.choice = selection.Choice(upstream, 0.0, 0.0, 0, upstream.streams())
    upstream.own_streams += 1
    active.sends += 1
    request = active.request
    return [
        effects.Send(
            request_id=request.request_id,
            upstream_id=upstream.registration.upstream_id,
            registration=upstream.registration,
            priority=request.priority(),
            silence_ms=max(0, request.deadline_ms - now_ms),
            predicted_ms=0.0,
            attempt=active.sends,
            kv_source=active.kv_source,
        )
    ]


def _service(
    state: forwarding_state.ForwardingState, name: str
) -> deployment.Service | None:
    if state.deployment is None:
        return None
    return state.deployment.services.get(name)
