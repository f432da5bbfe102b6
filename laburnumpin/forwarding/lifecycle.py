"""The life of a forwarded request: admission, attempts and its end."""

from __future__ import annotations

import math

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import size_classes
from laburnumpin.forwarding import state as forwarding_state

# Requests that arrive this long after the start of the exit are rejected: an
# exit must not cut them.
ACCEPT_WHILE_LEAVING_MS = 3_000
# When a caller may return that found no room or no upstream.
RETRY_AFTER_MS = 150
# A repeatable request is sent elsewhere when its first byte takes longer than
# this many times its objective, and at least this long.
SILENCE_OBJECTIVES = 2.0
MIN_SILENCE_MS = 400
# Rejections without a run after which a request is still sent elsewhere, beyond
# the attempts of its route: two of three views of a full upstream are old.
FREE_REJECTIONS = 2
# Time below which another attempt is not worth while.
MIN_ATTEMPT_MS = 30


def on_arrived(
    state: forwarding_state.ForwardingState, event: events.RequestArrived
) -> list[effects.Effect]:
    """Admit a request and send it, or reject it."""
    request = event.request
    now_ms = event.now_ms
    if state.leaving_since_ms is not None:
        if now_ms > state.leaving_since_ms + ACCEPT_WHILE_LEAVING_MS:
            return _reject(state, request.request_id, effects.Reason.LEAVING)
    customer = request.customer
    if customer is not None:
        wait_ms = state.quotas.admit(customer, request.units, now_ms)
        if wait_ms > 0:
            return _reject(
                state, request.request_id, effects.Reason.OVER_QUOTA, wait_ms
            )
    active = forwarding_state.Active(request)
    state.active[request.request_id] = active
    state.budget.record_request(request.service, now_ms)
    produced = _send_or_reject(state, active, now_ms, effects.Reason.NO_ROOM)
    if request.prompt is not None:
        tokens = request.prompt.tokens
        if active.choice is not None:
            tokens = active.choice.uncached_tokens
        work_ms = tokens / selection.PREFILL_TOKENS_PER_MS
        state.add_work(request.service, work_ms)
        _add_class_work(state, request, work_ms)
    return produced


def on_first_event(
    state: forwarding_state.ForwardingState, event: events.FirstEvent
) -> list[effects.Effect]:
    """Note that the request runs and its prompt has been read."""
    active = state.active.get(event.request_id)
    if active is None:
        return []
    request = active.request
    if not active.counted and request.customer is not None:
        state.usage.record(request.customer.name, event.wall_ms)
    active.counted = True
    choice = active.choice
    if not active.first_ms and choice is not None:
        _record_log_ratio(state, active, event.now_ms)
    active.first_ms = active.first_ms or event.now_ms
    release_pending(active)
    if choice is None or request.prompt is None:
        return []
    upstream = choice.upstream
    for part in request.prompt.parts:
        upstream.record_cached_part(part.part_id, event.now_ms)
    for part in request.prompt.parts[:-1]:
        state.new_cached_parts.append(
            (upstream.registration.upstream_id, part.part_id)
        )
    return []


def on_failed(
    state: forwarding_state.ForwardingState, event: events.AttemptFailed
) -> list[effects.Effect]:
    """Send the request elsewhere if that is safe and allowed, else end it."""
    active = state.active.get(event.request_id)
    if active is None:
        return []
    now_ms = event.now_ms
    _note_failure(state, active, event)
    reason = effects.Reason.UPSTREAM_FAILED
    if event.verdict is verdicts.Verdict.NOT_RUN:
        reason = effects.Reason.UPSTREAM_REJECTED
    if event.ending is events.Ending.DEADLINE:
        return _end(state, active, effects.Reason.DEADLINE)
    if event.began and not active.request.route.is_stream:
        return _end(state, active, reason)  # Only streams can go on elsewhere.
    safe = request_may_be_sent(active)
    if not safe or now_ms + MIN_ATTEMPT_MS > active.request.deadline_ms:
        return _end(state, active, reason)
    if _runs(active) >= active.request.route.max_attempts:
        state.counters.increment("retries_refused", "max_attempts")
        return _end(state, active, reason)
    entries = state.members.expected_count(now_ms)
    if active.sends and not state.budget.take(
        active.request.service, now_ms, entries
    ):
        state.counters.increment("retries_refused", "budget")
        return _end(state, active, reason)
    state.counters.increment("retries", event.ending.value)
    return _send_or_reject(state, active, now_ms, reason)


def _note_failure(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.Active,
    event: events.AttemptFailed,
) -> None:
    """Take over what the end of an attempt tells."""
    if event.ending is events.Ending.SILENT and not event.began:
        _record_log_ratio(state, active, event.now_ms)
    _record_outcome(active, event)
    state.counters.increment("attempts_failed", event.ending.value)
    if event.verdict is not verdicts.Verdict.NOT_RUN:
        active.may_have_run = True
    active.began = event.began
    if event.ending is events.Ending.UNREACHABLE:
        active.sends -= 1  # Nothing was sent.
    if event.ending is events.Ending.REJECTED:
        active.rejections += 1
    if active.choice is not None:
        upstream_id = active.choice.upstream.registration.upstream_id
        active.excluded.add(upstream_id)
    release(active)


def _runs(active: forwarding_state.Active) -> int:
    """Return the sends that count as attempts of the route.

    What was rejected has not run; the bound on repeated sends limits it too.
    """
    return active.sends - min(active.rejections, FREE_REJECTIONS)


def on_ended(
    state: forwarding_state.ForwardingState, event: events.RequestEnded
) -> list[effects.Effect]:
    """Forget a request whose answer was delivered or whose caller is gone."""
    active = state.active.pop(event.request_id, None)
    if active is None:
        return []
    _count_slot_time(state, active, event.now_ms)
    if event.delivered and active.choice is not None:
        active.choice.upstream.record_success()
    release(active)
    return []


def request_may_be_sent(active: forwarding_state.Active) -> bool:
    """Return whether another attempt cannot run the request twice."""
    return active.request.route.may_repeat or not active.may_have_run


def _send_or_reject(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.Active,
    now_ms: int,
    reason: effects.Reason,
) -> list[effects.Effect]:
    request = active.request
    service = state.service(request.service)
    candidates = state.upstreams.usable(request.service, now_ms)
    choice = None
    if service is not None and candidates:
        choice = selection.choose(
            candidates,
            request,
            service,
            state.zone,
            active.excluded,
            now_ms,
            state.random,
            state.view(request.service),
        )
    if choice is None:
        if not candidates:
            reason = effects.Reason.NO_UPSTREAM
            if not state.registry_read:
                reason = effects.Reason.NOT_READY
        return _end(state, active, reason)
    late_ms = math.ceil(choice.predicted_ms) - (request.deadline_ms - now_ms)
    if late_ms > 0:
        # Even the best upstream would answer after the deadline. What waits
        # there has been worked off by as much when the caller returns.
        retry_after_ms = max(RETRY_AFTER_MS, late_ms)
        return _end(state, active, effects.Reason.TOO_LATE, retry_after_ms)
    first_byte_timeout_ms = request.deadline_ms - now_ms
    attempts = request.route.max_attempts
    if request.route.may_repeat and _runs(active) + 1 < attempts:
        patience = request.route.objective_ms * SILENCE_OBJECTIVES
        first_byte_timeout_ms = min(
            first_byte_timeout_ms, max(MIN_SILENCE_MS, int(patience))
        )
    return [attach(active, choice, now_ms, first_byte_timeout_ms)]


def attach(
    active: forwarding_state.Active,
    choice: selection.Choice,
    now_ms: int,
    first_byte_timeout_ms: int,
    kv_source: str | None = None,
) -> effects.Send:
    """Put a request on an upstream; return the effect that sends it there."""
    request, upstream = active.request, choice.upstream
    active.choice = choice
    active.sends += 1
    active.sent_ms = now_ms
    upstream.own_streams += 1
    active.pending_tokens = choice.uncached_tokens
    upstream.own_pending_tokens += choice.uncached_tokens
    return effects.Send(
        request_id=request.request_id,
        upstream_id=upstream.registration.upstream_id,
        registration=upstream.registration,
        priority=request.priority(),
        first_byte_timeout_ms=first_byte_timeout_ms,
        predicted_ms=choice.predicted_ms,
        attempt=active.sends,
        kv_source=kv_source,
    )


def _end(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.Active,
    reason: effects.Reason,
    retry_after_ms: int = RETRY_AFTER_MS,
) -> list[effects.Effect]:
    request = active.request
    state.active.pop(request.request_id, None)
    if active.began:
        state.counters.increment("answers_cut", reason.value)
        return [effects.Abort(request.request_id)]
    if active.may_have_run:
        state.counters.increment("failed", reason.value)
        return [effects.Reject(request.request_id, reason, False, None)]
    if request.customer is not None:
        state.quotas.refund(request.customer, request.units)
    return _reject(state, request.request_id, reason, retry_after_ms)


def _reject(
    state: forwarding_state.ForwardingState,
    request_id: str,
    reason: effects.Reason,
    retry_after_ms: int = RETRY_AFTER_MS,
) -> list[effects.Effect]:
    state.counters.increment("rejected", reason.value)
    return [effects.Reject(request_id, reason, True, retry_after_ms)]


def _record_outcome(
    active: forwarding_state.Active, event: events.AttemptFailed
) -> None:
    if active.choice is None:
        return
    upstream = active.choice.upstream
    match event.ending:
        case events.Ending.REJECTED:
            upstream.record_full(event.now_ms)  # It is sound.
        case events.Ending.DEADLINE if event.began:
            return
        case events.Ending.ERROR_STATUS:
            upstream.record_error()
        case events.Ending.UNREACHABLE | events.Ending.WRONG_UPSTREAM:
            upstream.record_failure(event.now_ms, unreachable=True)
        case _:
            upstream.record_failure(event.now_ms, unreachable=False)


def _count_slot_time(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.Active,
    now_ms: int,
) -> None:
    """Count an engine's slot as the part of its time that it stands for."""
    request, choice = active.request, active.choice
    if request.prompt is None or choice is None or not active.first_ms:
        return
    slots = max(1, choice.upstream.registration.slots)
    _add_class_work(state, request, (now_ms - active.first_ms) / slots)


def _add_class_work(
    state: forwarding_state.ForwardingState,
    request: requests.Request,
    work_ms: float,
) -> None:
    """Count engine time for the class of a request's prompt size."""
    number = size_classes.class_of(request)
    name = forwarding_state.class_name(request.service, number)
    state.add_work(name, work_ms)


def _record_log_ratio(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.Active,
    now_ms: int,
) -> None:
    """Compare the time to the first byte with what was predicted."""
    choice = active.choice
    if choice is None or choice.predicted_ms <= 0:
        return
    taken_ms = max(1, now_ms - active.sent_ms)
    log_ratio = math.log(taken_ms / choice.predicted_ms)
    choice.upstream.record_log_ratio(log_ratio, 1, now_ms)
    upstream_id = choice.upstream.registration.upstream_id
    answers, total = state.new_log_ratios.get(upstream_id, (0, 0.0))
    state.new_log_ratios[upstream_id] = (answers + 1, total + log_ratio)


def release_pending(active: forwarding_state.Active) -> None:
    """Take off the prompt tokens that the upstream no longer has to read."""
    if active.choice is not None:
        active.choice.upstream.own_pending_tokens -= active.pending_tokens
    active.pending_tokens = 0


def release(active: forwarding_state.Active) -> None:
    """Take the request off its upstream."""
    release_pending(active)
    if active.choice is not None:
        active.choice.upstream.own_streams -= 1
    active.choice = None
