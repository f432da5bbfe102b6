"""Moves of running streams off engines whose VM is about to be reclaimed.

A stream that would not end before the reclaim is moved together with its KV
cache while the engine still runs, so that no token is computed twice. The old
attempt continues until the copy is complete. The tokens that it delivers
meanwhile are not generated again at the new engine.
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

MOVE_CHECK_PERIOD_MS = 200
# Time before the reclaim that the copy and the new attempt need.
MOVE_MARGIN_MS = 2_000
# Limits the concurrent copies off one engine by this entry, so that the first
# ones complete early within a short notice.
MAX_COPIES_PER_ENGINE = 4
# A copy takes seconds. After this time, recomputing the tokens is as fast.
IMPORT_TIMEOUT_MS = 3_000
COPY_RETRY_PERIOD_MS = 1_000


class MovesState:
    """When to check for streams to move, and when to repeat failed copies.

    `copy_retry_at_ms` maps request ids to the time of the next copy.
    """

    __slots__ = ("copy_retry_at_ms", "next_check_ms")

    def __init__(self) -> None:
        self.next_check_ms = 0
        self.copy_retry_at_ms: dict[str, int] = {}


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Start copies of streams that would not end before the reclaim."""
    moves_state = state.moves
    if event.now_ms < moves_state.next_check_ms:
        return []
    moves_state.next_check_ms = event.now_ms + MOVE_CHECK_PERIOD_MS
    result: list[effects.Effect] = []
    for upstream in state.upstreams.by_id.values():
        if upstream.reclaim_at_ms is None or not upstream.attempts:
            continue
        result.extend(_copy_streams(state, upstream, event.now_ms))
    return result


def start_copy(
    request: requests.Request,
    source: upstreams.Upstream,
    target: upstreams.Upstream,
) -> effects.Effect:
    """Record the copy of a request's KV cache and return its effect."""
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
    """Delay the next copy; the stream continues at its engine."""
    state.moves.copy_retry_at_ms[request.request_id] = (
        now_ms + COPY_RETRY_PERIOD_MS
    )


def _copy_streams(
    state: entry_state.EntryState, source: upstreams.Upstream, now_ms: int
) -> list[effects.Effect]:
    result: list[effects.Effect] = []
    uncopied = []
    copy_count = 0
    for attempt_id in source.attempts:
        request_id = state.requests.request_id_by_attempt.get(attempt_id)
        if request_id is None:
            continue
        request = state.requests.by_id[request_id]
        if request.importing_to is not None:
            copy_count += 1
            continue
        uncopied.append(request)
    for request in uncopied:
        if copy_count >= MAX_COPIES_PER_ENGINE:
            break
        if not _must_move(state, request, source, now_ms):
            continue
        target = routing.choose(state, request, now_ms)
        if target is None:
            break
        copy_count += 1
        state.counters.increment("moves", "started")
        result.append(start_copy(request, source, target))
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
    if now_ms < state.moves.copy_retry_at_ms.get(request.request_id, 0):
        return False
    streams = upstreams.streams(state, source, now_ms)
    step_ms = upstreams.latency_model(state, source).step_ms(streams)
    step_ms = max(step_ms, source.report.step_ms)
    tokens = max(0, request.max_tokens - request.next_offset)
    return now_ms + tokens * step_ms + MOVE_MARGIN_MS > source.reclaim_at_ms
