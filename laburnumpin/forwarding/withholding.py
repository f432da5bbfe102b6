"""Withholds requests that end the upstreams that run them.

The end of an upstream is confirmed before it counts: a connection alone may
also be reset by a link, or by an upstream that goes on.
"""

from __future__ import annotations

import zlib

from laburnumpin.forwarding import effects
from laburnumpin.forwarding import events
from laburnumpin.forwarding import part_losses
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import state as forwarding_state
from laburnumpin.forwarding import upstreams

# A request whose stream has gone on for this long did not end its upstream: it
# would when it begins to answer.
SURVIVAL_MS = 250
# Time after broken attempts in which the end of their upstream is confirmed.
CONFIRMATION_MS = 5_000
# Upstreams with broken attempts that are remembered.
MAX_BROKEN_UPSTREAMS = 256
# Requests that are remembered for one of them.
MAX_SUSPECTED_REQUESTS = 32
# Least retry delay of withheld requests, and the one while trials are made.
MIN_RETRY_MS = 5_000
# Trials begin at one entry, and after each further such time at one more, until
# the result of one is known.
TRIAL_STAGGER_MS = 1_000


def on_attempt_failed(
    state: forwarding_state.ForwardingState, event: events.AttemptFailed
) -> list[effects.Effect]:
    """Suspect the request if its upstream may have ended while it ran.

    Called while the request is still assigned to its upstream.
    """
    active = state.active.get(event.request_id)
    if active is None or active.choice is None:
        return []
    upstream = active.choice.upstream
    if event.ending is events.Ending.UNREACHABLE:
        return _confirm(state, upstream.registration, event.now_ms)
    if event.ending is not events.Ending.BROKEN:
        return []
    if event.answer_started and not active.request.route.is_stream:
        return []  # Its upstream had run it to the end.
    suspect = forwarding_state.Suspect(
        active.request.suspects(),
        active.request.service,
        max(0, event.now_ms - active.sent_ms),
    )
    if not suspect.ids or _has_survived(active, event.now_ms):
        return []
    if upstream.registration.lifecycle is upstreams.Lifecycle.LEAVING:
        return []  # It was to end.
    broken = state.broken_upstreams.get(upstream.key)
    if broken is None:
        if len(state.broken_upstreams) >= MAX_BROKEN_UPSTREAMS:
            state.broken_upstreams.pop(next(iter(state.broken_upstreams)))
        broken = forwarding_state.BrokenUpstream(event.now_ms)
        state.broken_upstreams[upstream.key] = broken
        broken.suspects.append(suspect)
        return [effects.CheckUpstream(upstream.registration)]
    if broken.is_confirmed:
        return _record_loss(state, upstream.key, [suspect], event.now_ms)
    if len(broken.suspects) < MAX_SUSPECTED_REQUESTS:
        broken.suspects.append(suspect)
    return []


def on_checked(
    state: forwarding_state.ForwardingState, event: events.UpstreamChecked
) -> list[effects.Effect]:
    """Confirm the end of an upstream that refuses connections."""
    registration = event.registration
    if event.is_refused:
        upstream = state.upstreams.get(registration.upstream_id)
        if upstream is not None and upstream.registration == registration:
            upstream.record_failure(event.now_ms, unreachable=True)
        return _confirm(state, registration, event.now_ms)
    if event.is_open:
        state.broken_upstreams.pop(registration.key, None)
    return []


def on_upstream_ended(
    state: forwarding_state.ForwardingState,
    registration: upstreams.Registration,
    now_ms: int,
) -> list[effects.Effect]:
    """Confirm the end of an upstream whose incarnation is gone."""
    return _confirm(state, registration, now_ms)


def on_answered(
    state: forwarding_state.ForwardingState,
    active: forwarding_state.ActiveRequest,
    now_ms: int,
    *,
    is_complete: bool,
) -> None:
    """Clear a request that an upstream has answered, and its parts."""
    if not active.first_event_ms:
        return
    has_cleared = state.part_losses.record_answer(
        active.request.suspects(),
        now_ms,
        is_complete=is_complete,
        service=active.request.service,
    )
    if has_cleared:
        state.request_early_digest()


def on_tick(
    state: forwarding_state.ForwardingState, event: events.Ticked
) -> list[effects.Effect]:
    """Clear the streams that go on, and drop what has expired."""
    now_ms = event.now_ms
    for key, broken in list(state.broken_upstreams.items()):
        if now_ms > broken.since_ms + CONFIRMATION_MS:
            del state.broken_upstreams[key]
    if not state.part_losses.has_records():
        return []
    if state.part_losses.has_open_losses():
        _clear_parts_of_survivors(state, now_ms)
    state.part_losses.all_report = all(
        peer.reports_losses for peer in state.members.peers()
    )
    state.part_losses.expire(now_ms)
    return _report_changes(state)


def _clear_parts_of_survivors(
    state: forwarding_state.ForwardingState, now_ms: int
) -> None:
    """Clear the requests whose streams go on."""
    for active in state.active.values():
        if _has_survived(active, now_ms):
            on_answered(state, active, now_ms, is_complete=False)


def find_withheld(
    state: forwarding_state.ForwardingState, request: requests.Request
) -> part_losses.Withheld | None:
    """Return why a request must not be sent, None if it may be.

    Asked before each attempt.
    """
    if not state.part_losses.withheld():
        return None
    return state.part_losses.find_withheld(request.suspects())


def starts_trial(
    state: forwarding_state.ForwardingState,
    withheld: part_losses.Withheld,
    now_ms: int,
) -> bool:
    """Return whether a withheld request is sent all the same.

    Once its time is over, single requests are sent to find out whether they
    still end upstreams.
    """
    if now_ms < withheld.until_ms + _trial_delay_ms(state, withheld, now_ms):
        return False
    if not state.part_losses.start_trial(withheld, now_ms):
        return False
    state.counters.increment("withholding_trials")
    return True


def retry_after_ms(withheld: part_losses.Withheld, now_ms: int) -> int:
    """Return when a withheld request may be tried again.

    A doubt about requests ends soon.
    """
    least_ms = MIN_RETRY_MS
    if min(withheld.part_ids) < 0:
        least_ms = TRIAL_STAGGER_MS
    return max(least_ms, withheld.until_ms - now_ms)


def merge(
    state: forwarding_state.ForwardingState,
    rows: tuple[part_losses.Row, ...],
    request_rows: tuple[part_losses.RequestRow, ...],
    now_ms: int,
) -> list[effects.Effect]:
    """Add what a peer knows of losses."""
    state.part_losses.merge(rows, now_ms)
    state.part_losses.merge_requests(request_rows, now_ms)
    return _report_changes(state)


def _trial_delay_ms(
    state: forwarding_state.ForwardingState,
    withheld: part_losses.Withheld,
    now_ms: int,
) -> int:
    """Return how long other entries make trials before this one does."""
    part_id = min(withheld.part_ids)

    def rank(name: str) -> int:
        return zlib.crc32(f"{part_id:x}/{name}".encode())

    own_rank = rank(state.name)
    earlier = [
        peer
        for peer in state.members.live(now_ms)
        if rank(peer.name) < own_rank
    ]
    return len(earlier) * TRIAL_STAGGER_MS


def _has_survived(active: forwarding_state.ActiveRequest, now_ms: int) -> bool:
    """Return whether the request's upstream has gone on after its start."""
    first_ms = active.first_event_ms
    return bool(first_ms) and now_ms >= first_ms + SURVIVAL_MS


def _confirm(
    state: forwarding_state.ForwardingState,
    registration: upstreams.Registration,
    now_ms: int,
) -> list[effects.Effect]:
    """Count the end of an upstream for the requests that it ran."""
    key = registration.key
    broken = state.broken_upstreams.get(key)
    if broken is None or broken.is_confirmed:
        return []
    broken.is_confirmed = True
    suspects, broken.suspects = broken.suspects, []
    return _record_loss(state, key, suspects, broken.since_ms)


def _record_loss(
    state: forwarding_state.ForwardingState,
    key: tuple[str, int],
    suspects: list[forwarding_state.Suspect],
    at_ms: int,
) -> list[effects.Effect]:
    identifier = part_losses.loss_id(*key)
    is_new = False
    for suspect in suspects:
        if state.part_losses.record_loss(
            identifier,
            suspect.ids,
            at_ms,
            service=suspect.service,
            ran_ms=suspect.ran_ms,
        ):
            is_new = True
    if not is_new:
        return []
    state.counters.increment("engine_losses_suspected")
    state.request_early_digest()
    named = {identity for suspect in suspects for identity in suspect.ids}
    fields = {"upstream": key[0], **_named(named)}
    report = effects.Report("requests_suspected", fields)
    if max(named) >= 0:
        report = effects.Report("prompt_parts_suspected", fields)
    return [report, *_report_changes(state)]


def _named(
    suspects: set[int] | frozenset[int],
) -> dict[str, str | int | float | bool | None]:
    """Return the fields of a log line that name suspects, at most some."""
    most = part_losses.MAX_SUSPECTS_PER_LOSS
    parts = sorted(suspect for suspect in suspects if suspect >= 0)[:most]
    keys = sorted(suspect for suspect in suspects if suspect < 0)[:most]
    return {
        "request_keys": part_losses.format_keys(keys) or None,
        "prompt_parts": part_losses.format_parts(parts) or None,
    }


def _report_changes(
    state: forwarding_state.ForwardingState,
) -> list[effects.Effect]:
    """Log which requests are withheld from now on, and which no longer are."""
    before = state.reported_withheld
    after = state.part_losses.withheld()
    state.reported_withheld = after
    if after == before:
        return []
    produced: list[effects.Effect] = []
    old_ids = {withheld.part_ids for withheld in before}
    new_ids = {withheld.part_ids for withheld in after}
    for withheld in after:
        if withheld.part_ids in old_ids:
            continue
        fields = {
            **_named(withheld.part_ids),
            "engine_losses": withheld.losses,
        }
        if min(withheld.part_ids) < 0:
            state.counters.increment("requests_withheld")
            produced.append(effects.Report("requests_withheld", fields))
            continue
        state.counters.increment("prompt_parts_withheld")
        produced.append(effects.Report("prompt_parts_withheld", fields))
    for part_ids in old_ids - new_ids:
        fields = _named(part_ids)
        if min(part_ids) < 0:
            produced.append(effects.Report("requests_released", fields))
            continue
        produced.append(effects.Report("prompt_parts_released", fields))
    return produced
