"""What upstreams say of themselves in their answers.

An answer may name a limit, say that its upstream leaves, or ask this entry for
a back-off. All of this belongs to one registration and bears on one decision:
when the upstream may get a request (`Upstream.wait_ms`).
"""

from __future__ import annotations

from laburnumpin.forwarding import backoff
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import leaving
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstream_limits
from laburnumpin.forwarding import upstreams

# Least delay after which a caller should retry, and the longest for a limit,
# also for upstreams that only other entries use.
MIN_RETRY_MS = 150
MAX_LIMIT_RETRY_MS = 5_000


def is_news(
    state: forwarding_state.ForwardingState,
    registration: upstreams.Registration,
    statement: upstreams.Statement,
) -> bool:
    """Return whether a statement can change anything.

    That an answer names no limit is news only of an upstream with a limit.
    """
    if statement.says_anything:
        return True
    upstream = state.upstreams.get(registration.upstream_id)
    return upstream is not None and upstream.limit_share is not None


def on_stated(
    state: forwarding_state.ForwardingState, event: events.UpstreamStated
) -> list[effects.Effect]:
    """Apply what an answer says of its upstream."""
    produced: list[effects.Effect] = []
    if event.statement.is_leaving:
        produced += leaving.on_said(state, event.registration, event.now_ms)
    if event.sent_ms is not None:
        produced += upstream_limits.on_named(state, event, event.sent_ms)
    if event.statement.backoff_ms:
        produced += _on_backoff(state, event)
    return produced


def may_send(
    state: forwarding_state.ForwardingState, effect: effects.Send, now_ms: int
) -> bool:
    """Return whether a request may still be sent to the chosen upstream.

    Since it was decided, an answer to another request may have said otherwise.
    """
    if not leaving.may_send(state, effect):
        return False
    upstream = state.upstreams.get(effect.registration.upstream_id)
    if upstream is None or upstream.backoff is None:
        return True
    is_continuation = effect.kv_source is not None
    return upstream.backoff.may_send(now_ms, is_continuation=is_continuation)


def reject(
    state: forwarding_state.ForwardingState, service: str, now_ms: int
) -> tuple[effects.Reason, int] | None:
    """Return why no upstream takes a request, if it is for what they said.

    The second value is the time in ms after which the caller should return.
    """
    waiting = []
    is_limited = False
    has_room = False
    for upstream in state.upstreams.of_service(service):
        if upstream.registration.lifecycle is not upstreams.Lifecycle.READY:
            continue
        if upstream.wait_ms(now_ms) == 0:
            has_room = True
            continue
        is_limited = is_limited or upstream.limit_wait_ms(now_ms) != 0
        waiting.append(upstream)
    if not waiting or (has_room and not is_limited):
        return None
    first = min(waiting, key=lambda upstream: _return_in_ms(upstream, now_ms))
    retry_after_ms = _return_in_ms(first, now_ms)
    if first.backoff is not None:
        promised_ms = first.backoff.promise_in_ms(now_ms)
        retry_after_ms = max(retry_after_ms, promised_ms)
    reason = effects.Reason.UPSTREAM_BACKOFF
    if is_limited:
        reason = effects.Reason.UPSTREAM_LIMIT
    return reason, max(MIN_RETRY_MS, retry_after_ms)


def _return_in_ms(upstream: upstreams.Upstream, now_ms: int) -> int:
    """Return when an upstream may take a request again.

    Its limit can change at any time, and a share that other entries use can
    pass to this one, so the wait for it is bounded.
    """
    limit_wait_ms = upstream.limit_wait_ms(now_ms)
    if limit_wait_ms is None:
        limit_wait_ms = MAX_LIMIT_RETRY_MS
    wait_ms = min(limit_wait_ms, MAX_LIMIT_RETRY_MS)
    if upstream.backoff is not None:
        wait_ms = max(wait_ms, upstream.backoff.room_in_ms(now_ms))
    return wait_ms


def _on_backoff(
    state: forwarding_state.ForwardingState, event: events.UpstreamStated
) -> list[effects.Effect]:
    """Send nothing to an upstream for the time that it has asked for."""
    settings = state.backoff_settings
    registration = event.registration
    asked_ms = event.statement.backoff_ms
    kept_ms = min(asked_ms, settings.max_ms)
    state.counters.increment("upstream_backoffs")
    if asked_ms > kept_ms:
        state.counters.increment("upstream_backoffs_shortened")
    if not kept_ms:
        return []
    delay_ms = backoff.draw_delay_ms(
        min(settings.spread_ms, kept_ms), state.members.count(), state.random
    )
    is_new = state.upstreams.back_off(
        registration.key,
        event.now_ms,
        event.now_ms + kept_ms + delay_ms,
        settings.return_ms,
    )
    if not is_new:
        return []
    return [
        effects.Report(
            "upstream_backoff_started",
            {
                "upstream": registration.upstream_id,
                "incarnation": registration.incarnation_ms,
                "service": registration.service,
                "asked_ms": asked_ms,
                "kept_ms": kept_ms,
                "delay_ms": delay_ms,
            },
        )
    ]
