"""The life cycle of a forwarded request: admission, attempts, retries, end."""

from __future__ import annotations

import math

from laburnumpin import verdict as verdicts
from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import selection
from laburnumpin.forwarding import size_classes
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import statements
from laburnumpin.forwarding import withholding
from laburnumpin.forwarding.capacity import learning
from laburnumpin.forwarding.capacity import model
from laburnumpin.forwarding.rollouts import routing

# Requests that arrive later than this after the start of the exit are rejected,
# since the exit could interrupt them.
ACCEPT_WHILE_LEAVING_MS = 3_000
# Time after which a caller should retry a request for which there was no
# upstream or no free slot.
RETRY_AFTER_MS = 150
# A repeatable request is sent to another upstream when its first byte takes
# longer than this many times its objective, and at least this long.
FIRST_BYTE_OBJECTIVE_FACTOR = 2.0
MIN_FIRST_BYTE_TIMEOUT_MS = 400
# Rejections without a run that don't count as attempts of the route: two out of
# three views of a full upstream are outdated.
UNCOUNTED_REJECTIONS = 2
# Share of its objective that a request may wait for an upstream that takes no
# request before, for its limit or its back-off.
MAX_WAIT_SHARE = 0.5
# Streams of a full engine, and how much longer a stream may take than its steps
# there, for the longest time that a request may take during the exit.
BATCH_SIZE = 64
LONGEST_RUN_FACTOR = 1.5
# With less time left until the deadline, a request is not sent again.
MIN_ATTEMPT_MS = 30


def on_arrived(
    state: forwarding_state.ForwardingState, event: events.RequestArrived
) -> list[effects.Effect]:
    """Admit a request and send it to an upstream, or reject it.

    The engine time that its prompt takes is counted as load.
    """
    request = event.request
    now_ms = event.now_ms
    if state.leaving_since_ms is not None:
        is_late = now_ms > state.leaving_since_ms + ACCEPT_WHILE_LEAVING_MS
        if is_late or not _can_end(state, request, now_ms):
            return _reject(state, request.request_id, effects.Reason.LEAVING)
    withheld = withholding.find_withheld(state, request)
    is_trial = withheld is not None and withholding.starts_trial(
        state, withheld, now_ms
    )
    if withheld is not None and not is_trial:
        return _reject(
            state,
            request.request_id,
            effects.Reason.WITHHELD,
            withholding.retry_after_ms(withheld, now_ms),
            withheld,
        )
    customer = request.customer
    if customer is not None:
        wait_ms = state.quotas.admit(customer, request.units, now_ms)
        if wait_ms > 0:
            return _reject(
                state, request.request_id, effects.Reason.OVER_QUOTA, wait_ms
            )
    active = forwarding_state.ActiveRequest(request)
    active.is_trial = is_trial
    state.active[request.request_id] = active
    state.budget.record_request(request.service, now_ms)
    routing.on_arrived(state, request.service, now_ms)
    produced = _send_or_reject(state, active, now_ms, effects.Reason.NO_ROOM)
    if request.prompt is not None:
        tokens = request.prompt.tokens
        if active.choice is not None:
            tokens = active.choice.uncached_tokens
        work_ms = tokens / model.START_TOKENS_PER_MS
        state.add_work(request.service, work_ms)
        counted = state.work_requests.get(request.service, 0)
        state.work_requests[request.service] = counted + 1
        _add_class_work(state, request, work_ms)
    return produced


def on_first_event(
    state: forwarding_state.ForwardingState, event: events.FirstEvent
) -> list[effects.Effect]:
    """Record that the request runs and its prompt has been read.

    The prompt parts count as cached at the engine; all but the last, which no
    other request shares, go into the next digest.
    """
    active = state.active.get(event.request_id)
    if active is None:
        return []
    request = active.request
    if not active.has_started and request.customer is not None:
        state.usage.record(request.customer.name, event.wall_ms)
    active.has_started = True
    choice = active.choice
    if not active.first_event_ms and choice is not None:
        _record_log_ratio(state, active, event.now_ms)
        routing.on_first_event(state, active, event.now_ms)
    active.first_event_ms = active.first_event_ms or event.now_ms
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
    """Retry the request at another upstream if safe and allowed, or end it."""
    active = state.active.get(event.request_id)
    if active is None:
        return []
    now_ms = event.now_ms
    _record_failure(state, active, event)
    reason = effects.Reason.UPSTREAM_FAILED
    if event.verdict is verdicts.Verdict.NOT_RUN:
        reason = effects.Reason.UPSTREAM_REJECTED
    if event.ending is events.Ending.DEADLINE:
        return _end_request(state, active, effects.Reason.DEADLINE)
    if event.answer_started and not active.request.route.is_stream:
        # Only streams can be continued at another upstream.
        return _end_request(state, active, reason)
    withheld = withholding.find_withheld(state, active.request)
    if withheld is not None:
        state.counters.increment("retries_refused", "withheld")
        return _end_request(
            state,
            active,
            effects.Reason.WITHHELD,
            withholding.retry_after_ms(withheld, now_ms),
            withheld,
        )
    if not _can_end(state, active.request, now_ms):
        state.counters.increment("retries_refused", "leaving")
        return _end_request(state, active, effects.Reason.LEAVING)
    is_safe = may_retry(active)
    if not is_safe or now_ms + MIN_ATTEMPT_MS > active.request.deadline_ms:
        return _end_request(state, active, reason)
    if _counted_attempts(active) >= active.request.route.max_attempts:
        state.counters.increment("retries_refused", "max_attempts")
        return _end_without_retry(state, active, reason, now_ms)
    entries = state.members.expected_count(now_ms)
    if active.sends and not state.budget.take(
        active.request.service, now_ms, entries
    ):
        state.counters.increment("retries_refused", "budget")
        return _end_without_retry(state, active, reason, now_ms)
    state.counters.increment("retries", event.ending.value)
    return _send_or_reject(state, active, now_ms, reason)


def _can_end(
    state: forwarding_state.ForwardingState,
    request: requests.Request,
    now_ms: int,
) -> bool:
    """Return whether a request ends before this entry exits, if it does."""
    if state.exit_by_ms is None:
        return True
    longest_ms = request.deadline_ms - now_ms
    prompt = request.prompt
    if prompt is not None:
        # The caller's limit on the output is tighter than its deadline.
        step_ms = model.step_ms(BATCH_SIZE)
        output_ms = prompt.max_output_tokens * step_ms * LONGEST_RUN_FACTOR
        first_ms = request.route.objective_ms * FIRST_BYTE_OBJECTIVE_FACTOR
        longest_ms = min(longest_ms, math.ceil(first_ms + output_ms))
    return now_ms + longest_ms <= state.exit_by_ms


def _record_failure(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    event: events.AttemptFailed,
) -> None:
    """Record the outcome of a failed attempt, and free its upstream."""
    if event.ending is events.Ending.SILENT and not event.answer_started:
        _record_log_ratio(state, active, event.now_ms)
    _record_outcome(active, event)
    state.counters.increment("attempts_failed", event.ending.value)
    record_verdict(active, event)
    active.answer_started = event.answer_started
    if event.ending in (events.Ending.REJECTED, events.Ending.WRONG_UPSTREAM):
        active.rejections += 1
    if active.choice is not None:
        upstream_id = active.choice.upstream.registration.upstream_id
        active.excluded.add(upstream_id)
    release(active)


def record_verdict(
    active: forwarding_state.ActiveRequest, event: events.AttemptFailed
) -> None:
    """Record whether the attempt that failed may have run the request."""
    if event.verdict is not verdicts.Verdict.NOT_RUN:
        return
    unsent = (events.Ending.UNREACHABLE, events.Ending.WITHDRAWN)
    active.record_not_run(was_sent=event.ending not in unsent)


def _counted_attempts(active: forwarding_state.ActiveRequest) -> int:
    """Return the sends that count as attempts of the route.

    The first rejections don't, as the request has not run; the retry budget
    limits them.
    """
    return active.sends - min(active.rejections, UNCOUNTED_REJECTIONS)


def on_ended(
    state: forwarding_state.ForwardingState, event: events.RequestEnded
) -> list[effects.Effect]:
    """Remove a request that was answered or whose caller has disconnected."""
    active = state.active.pop(event.request_id, None)
    if active is None:
        return []
    _count_slot_time(state, active, event.now_ms)
    routing.on_ended(state, active, event)
    if event.delivered and active.choice is not None:
        active.choice.upstream.record_success()
        withholding.on_answered(state, active, event.now_ms, is_complete=True)
    release(active)
    return []


def may_send(
    state: forwarding_state.ForwardingState,
    effect: effects.Send,
    now_ms: int,
) -> bool:
    """Return whether a request may still be sent, right before it is.

    Since it was decided, its upstream may have said that it leaves or asked for
    a back-off, or requests like it may have been withheld.
    """
    if not statements.may_send(state, effect, now_ms):
        return False
    if not routing.may_send(state, effect):
        return False
    active = state.active.get(effect.request_id)
    if active is None or active.is_trial:
        return True
    return withholding.find_withheld(state, active.request) is None


def may_retry(active: forwarding_state.ActiveRequest) -> bool:
    """Return whether a request may be sent from its start once more.

    It may repeat, or no attempt before has run it.
    """
    return active.request.route.may_repeat or not active.may_have_run


def resend_delay_ms(
    state: forwarding_state.ForwardingState, request_id: str, now_ms: int
) -> float | None:
    """Predict the time to the first byte if a request were sent elsewhere.

    None if it may not be sent again, or no other upstream could answer in time.
    An attempt that is given up here has to be one that `on_failed` sends again.
    """
    active = state.active.get(request_id)
    if active is None or active.choice is None or not may_retry(active):
        return None
    request = active.request
    if not _can_end(state, request, now_ms):
        return None
    if withholding.find_withheld(state, request) is not None:
        return None
    if _counted_attempts(active) >= request.route.max_attempts:
        return None
    entries = state.members.expected_count(now_ms)
    if not state.budget.has_room(request.service, now_ms, entries):
        return None
    current_id = active.choice.upstream.registration.upstream_id
    choice = _choose(state, active, active.excluded | {current_id}, now_ms)
    if choice is None:
        return None
    delay_ms = choice.wait_ms + choice.predicted_ms
    if now_ms + delay_ms > request.deadline_ms:
        return None
    return delay_ms


def _choose(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    excluded: set[str],
    now_ms: int,
) -> selection.Choice | None:
    """Choose an upstream that is not excluded; None if there is none."""
    choice = _choose_by_version(state, active, excluded, now_ms)
    if choice is not None:
        return choice
    if not routing.note_again(state, active.request.service, now_ms):
        return None
    return _choose_by_version(state, active, excluded, now_ms)


def _choose_by_version(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    excluded: set[str],
    now_ms: int,
) -> selection.Choice | None:
    """Choose an upstream of the first version that has one."""
    request = active.request
    service = state.service(request.service)
    max_wait_ms = int(request.route.objective_ms * MAX_WAIT_SHARE)
    if service is None:
        return None
    for versions in routing.choices(state, active, now_ms):
        candidates = routing.usable(
            state, request.service, now_ms, max_wait_ms, versions
        )
        if not candidates:
            continue
        choice = selection.choose(
            candidates,
            request,
            service,
            state.zone,
            excluded,
            now_ms,
            state.random,
            state.view(request.service),
        )
        if choice is not None:
            return choice
    return None


def _send_or_reject(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    now_ms: int,
    reason: effects.Reason,
) -> list[effects.Effect]:
    """Send the request to the best upstream, or end it.

    It is ended if no upstream can take it, or if even the best one is predicted
    to answer after the deadline. `reason` applies when there are upstreams, but
    all are full or excluded.
    """
    request = active.request
    choice = _choose(state, active, active.excluded, now_ms)
    if choice is None:
        rejection = statements.reject(state, request.service, now_ms)
        if rejection is not None:
            said_reason, retry_after_ms = rejection
            return _end_request(state, active, said_reason, retry_after_ms)
        if not state.upstreams.usable(request.service, now_ms):
            reason = effects.Reason.NO_UPSTREAM
            if not state.registry_read:
                reason = effects.Reason.NOT_READY
        return _end_request(state, active, reason)
    answer_ms = now_ms + choice.wait_ms + math.ceil(choice.predicted_ms)
    late_ms = answer_ms - request.deadline_ms
    if late_ms > 0:
        # Even the best upstream would answer after the deadline. By the time of
        # the retry, its queue is shorter by as much.
        retry_after_ms = max(RETRY_AFTER_MS, late_ms)
        return _end_request(
            state, active, effects.Reason.TOO_LATE, retry_after_ms
        )
    first_byte_timeout_ms = request.deadline_ms - now_ms
    attempts = request.route.max_attempts
    if request.route.may_repeat and _counted_attempts(active) + 1 < attempts:
        timeout_ms = request.route.objective_ms * FIRST_BYTE_OBJECTIVE_FACTOR
        first_byte_timeout_ms = min(
            first_byte_timeout_ms,
            max(MIN_FIRST_BYTE_TIMEOUT_MS, int(timeout_ms)),
        )
    return [assign(state, active, choice, now_ms, first_byte_timeout_ms)]


def assign(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    choice: selection.Choice,
    now_ms: int,
    first_byte_timeout_ms: int,
    kv_source: str | None = None,
) -> effects.Send:
    """Assign a request to an upstream; return the effect that sends it."""
    request, upstream = active.request, choice.upstream
    active.choice = choice
    active.sends += 1
    active.sent_ms = now_ms + choice.wait_ms
    upstream.own_streams += 1
    upstream.take(now_ms)
    active.pending_tokens = choice.uncached_tokens
    upstream.own_pending_tokens += choice.uncached_tokens
    routing.on_assigned(state, active, now_ms)
    return effects.Send(
        request_id=request.request_id,
        upstream_id=upstream.registration.upstream_id,
        registration=upstream.registration,
        priority=request.priority(),
        first_byte_timeout_ms=first_byte_timeout_ms,
        predicted_ms=choice.predicted_ms,
        attempt=active.sends,
        kv_source=kv_source,
        wait_ms=choice.wait_ms,
        load=choice.load,
    )


def _end_without_retry(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    reason: effects.Reason,
    now_ms: int,
) -> list[effects.Effect]:
    """End a request whose attempts or retry budget are used up.

    If all of its upstreams back off, the caller should return after that.
    """
    if reason is not effects.Reason.UPSTREAM_REJECTED:
        return _end_request(state, active, reason)
    rejection = statements.reject(state, active.request.service, now_ms)
    if rejection is None or rejection[0] is effects.Reason.UPSTREAM_LIMIT:
        return _end_request(state, active, reason)
    return _end_request(state, active, *rejection)


def _end_request(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    reason: effects.Reason,
    retry_after_ms: int = RETRY_AFTER_MS,
    withheld: part_losses.Withheld | None = None,
) -> list[effects.Effect]:
    """End a request without an upstream's answer.

    An answer that has begun is aborted. A request that may have run is
    rejected without a promise; any other one gets its quota units back.
    """
    request = active.request
    state.active.pop(request.request_id, None)
    if active.answer_started:
        state.counters.increment("answers_cut", reason.value)
        return [effects.Abort(request.request_id)]
    if active.may_have_run:
        state.counters.increment("failed", reason.value)
        return [
            effects.Reject(request.request_id, reason, False, None, withheld)
        ]
    if request.customer is not None:
        state.quotas.refund(request.customer, request.units)
    return _reject(state, request.request_id, reason, retry_after_ms, withheld)


def _reject(
    state: forwarding_state.ForwardingState,
    request_id: str,
    reason: effects.Reason,
    retry_after_ms: int = RETRY_AFTER_MS,
    withheld: part_losses.Withheld | None = None,
) -> list[effects.Effect]:
    state.counters.increment("rejected", reason.value)
    return [effects.Reject(request_id, reason, True, retry_after_ms, withheld)]


def _record_outcome(
    active: forwarding_state.ActiveRequest, event: events.AttemptFailed
) -> None:
    if active.choice is None:
        return
    upstream = active.choice.upstream
    match event.ending:
        case events.Ending.REJECTED:
            upstream.record_full(event.now_ms)  # Full, but healthy.
        case events.Ending.WITHDRAWN | events.Ending.NO_ROOM:
            return
        case events.Ending.DEADLINE if event.answer_started:
            return
        case events.Ending.ERROR_STATUS:
            upstream.record_error()
        case events.Ending.UNREACHABLE | events.Ending.WRONG_UPSTREAM:
            upstream.record_failure(event.now_ms, unreachable=True)
        case _:
            upstream.record_failure(event.now_ms, unreachable=False)


def _count_slot_time(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    now_ms: int,
) -> None:
    """Count the time since the first event as engine time of the size class.

    A slot counts as an equal share of its engine.
    """
    request, choice = active.request, active.choice
    if request.prompt is None or choice is None or not active.first_event_ms:
        return
    slots = max(1, choice.upstream.registration.slots)
    _add_class_work(state, request, (now_ms - active.first_event_ms) / slots)


def _add_class_work(
    state: forwarding_state.ForwardingState,
    request: requests.Request,
    work_ms: float,
) -> None:
    """Count engine time for the size class of a request's prompt."""
    class_index = size_classes.size_class(request)
    name = forwarding_state.class_work_key(request.service, class_index)
    state.add_work(name, work_ms)


def _record_log_ratio(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    now_ms: int,
) -> None:
    """Learn from the time to the first byte, and note it for the peers."""
    choice = active.choice
    if choice is None or choice.load is None:
        return
    log_ratio = learning.observe(
        state.service_model(active.request.service),
        choice.upstream.slowness,
        choice.load,
        now_ms - active.sent_ms,
        now_ms,
    )
    if log_ratio is None:
        state.counters.increment("measurements_dropped", "out_of_range")
        return
    upstream_id = choice.upstream.registration.upstream_id
    answers, total = state.new_log_ratios.get(upstream_id, (0, 0.0))
    state.new_log_ratios[upstream_id] = (answers + 1, total + log_ratio)


def release_pending(active: forwarding_state.ActiveRequest) -> None:
    """Remove the request's prompt tokens from its upstream's queue."""
    if active.choice is not None:
        active.choice.upstream.own_pending_tokens -= active.pending_tokens
    active.pending_tokens = 0


def release(active: forwarding_state.ActiveRequest) -> None:
    """Remove the request from its upstream's load."""
    release_pending(active)
    if active.choice is not None:
        active.choice.upstream.own_streams -= 1
    active.choice = None
