"""Moves of running streams off engines whose VM is about to be reclaimed.

If a stream would not end before the reclaim, another engine imports its KV
cache while the old engine still runs, so that the tokens in the cache are not
computed again. The old attempt continues until the import is complete. The new
attempt starts at the offset reached by then, so that the caller receives no
token twice.
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
# Time before the reclaim that the import and the new attempt need.
MOVE_MARGIN_MS = 2_000
# Limits the concurrent imports from one engine by this entry, so that the first
# ones complete early within a short notice.
MAX_IMPORTS_PER_SOURCE = 4
# An import takes seconds. After this time, recomputing the tokens is as fast.
IMPORT_TIMEOUT_MS = 3_000
IMPORT_RETRY_PERIOD_MS = 1_000


class MovesState:
    """When to check for streams to move, and when to repeat failed imports.

    `import_retry_at_ms` maps the id of a request whose import failed to the
    earliest time of the next one.
    """

    __slots__ = ("import_retry_at_ms", "next_check_ms")

    def __init__(self) -> None:
        self.next_check_ms = 0
        self.import_retry_at_ms: dict[str, int] = {}


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Start to move the streams that would not end before the reclaim."""
    moves_state = state.moves
    if event.now_ms < moves_state.next_check_ms:
        return []
    moves_state.next_check_ms = event.now_ms + MOVE_CHECK_PERIOD_MS
    result: list[effects.Effect] = []
    for upstream in state.upstreams.by_id.values():
        if upstream.reclaim_at_ms is None or not upstream.attempts:
            continue
        result.extend(_move_streams(state, upstream, event.now_ms))
    return result


def start_import(
    request: requests.Request,
    source: upstreams.Upstream,
    target: upstreams.Upstream,
) -> effects.Effect:
    """Record the import of a request's KV cache and return its effect."""
    request.importing_to = target.upstream_id
    return effects.ImportCache(
        request.request_id,
        source.address,
        target.upstream_id,
        target.address,
        IMPORT_TIMEOUT_MS,
    )


def on_import_failed(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> None:
    """Delay the next import; the stream continues at its engine."""
    state.moves.import_retry_at_ms[request.request_id] = (
        now_ms + IMPORT_RETRY_PERIOD_MS
    )


def _move_streams(
    state: entry_state.EntryState, source: upstreams.Upstream, now_ms: int
) -> list[effects.Effect]:
    result: list[effects.Effect] = []
    candidates = []
    import_count = 0
    for attempt_id in source.attempts:
        request_id = state.requests.request_id_by_attempt.get(attempt_id)
        if request_id is None:
            continue
        request = state.requests.by_id[request_id]
        if request.importing_to is not None:
            import_count += 1
            continue
        candidates.append(request)
    for request in candidates:
        if import_count >= MAX_IMPORTS_PER_SOURCE:
            break
        if not _must_move(state, request, source, now_ms):
            continue
        target = routing.choose(state, request, now_ms)
        if target is None:
            break
        import_count += 1
        state.counters.increment("moves", "started")
        result.append(start_import(request, source, target))
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
    if now_ms < state.moves.import_retry_at_ms.get(request.request_id, 0):
        return False
    streams = upstreams.streams(state, source, now_ms)
    step_ms = upstreams.latency_model(state, source).step_ms(streams)
    step_ms = max(step_ms, source.report.step_ms)
    tokens = max(0, request.max_tokens - request.next_offset)
    return now_ms + tokens * step_ms + MOVE_MARGIN_MS > source.reclaim_at_ms
