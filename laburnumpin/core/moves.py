"""Moves of running streams off engines whose VM is about to be reclaimed.

A stream that would not end within the notice is moved with its KV cache while
the engine still runs, so that no token is computed twice. The old attempt goes
on until the copy is complete; what it delivers meanwhile is not generated for
the caller again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import routing
from laburnumpin.core import upstreams

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

CHECK_PERIOD_MS = 200
# Time that the copy and the switch need before the VM is gone.
MARGIN_MS = 2_000
# Copies off one engine at a time from this entry, so that the first ones
# complete early in a short notice.
MAX_COPIES = 4
# A copy takes seconds; beyond it, computing anew is as fast.
IMPORT_TIMEOUT_MS = 3_000
RETRY_PERIOD_MS = 1_000


class MovesState:
    """When to look for streams to move, and which were tried lately."""

    __slots__ = ("next_check_ms", "retry_ms")

    def __init__(self) -> None:
        self.next_check_ms = 0
        self.retry_ms: dict[str, int] = {}


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Start copies of streams that would not end within the notice."""
    own = state.moves
    if event.now_ms < own.next_check_ms:
        return []
    own.next_check_ms = event.now_ms + CHECK_PERIOD_MS
    result: list[effects.Effect] = []
    for upstream in state.upstreams.by_id.values():
        if upstream.reclaim_at_ms is None or not upstream.attempts:
            continue
        result.extend(_leave(state, upstream, event.now_ms))
    return result


def copy(
    request: requests.Request,
    source: upstreams.Upstream,
    target: upstreams.Upstream,
) -> effects.Effect:
    """Return the effect that copies a request's KV cache."""
    request.importing_to = target.upstream_id
    return effects.ImportCache(
        request.request_id,
        source.address,
        target.upstream_id,
        target.address,
        IMPORT_TIMEOUT_MS,
    )


def on_copy_failed(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> None:
    """Let the stream run on and try again later."""
    state.moves.retry_ms[request.request_id] = now_ms + RETRY_PERIOD_MS


def _leave(
    state: entry_state.EntryState, source: upstreams.Upstream, now_ms: int
) -> list[effects.Effect]:
    result: list[effects.Effect] = []
    running = []
    copies = 0
    for attempt_id in source.attempts:
        request_id = state.requests.by_attempt.get(attempt_id)
        if request_id is None:
            continue
        request = state.requests.by_id[request_id]
        if request.importing_to is not None:
            copies += 1
            continue
        running.append(request)
    for request in running:
        if copies >= MAX_COPIES:
            break
        if not _must_move(state, request, source, now_ms):
            continue
        target = routing.choose(state, request, now_ms)
        if target is None:
            break
        copies += 1
        state.counters.increment("moves", "started")
        result.append(copy(request, source, target))
    return result


def _must_move(
    state: entry_state.EntryState,
    request: requests.Request,
    source: upstreams.Upstream,
    now_ms: int,
) -> bool:
    if request.service.kind is not deployment.ServiceKind.MODEL:
        return False
    if not request.chunks or source.reclaim_at_ms is None:
        return False
    if source.report is None or now_ms >= source.reclaim_at_ms:
        return False
    if now_ms < state.moves.retry_ms.get(request.request_id, 0):
        return False
    streams = upstreams.streams(state, source, now_ms)
    step_ms = upstreams.latency_model(state, source).step_ms(streams)
    step_ms = max(step_ms, source.report.step_ms)
    tokens = max(0, request.max_tokens - request.next_offset)
    return now_ms + tokens * step_ms + MARGIN_MS > source.reclaim_at_ms
