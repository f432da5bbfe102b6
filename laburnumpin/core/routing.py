"""Choice of the upstream for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumpin.core import deployment
from laburnumpin.core import upstreams

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

# The bound on streams aims below the inter-token target, because steps that
# include prefill take longer than the mean.
STEP_HEADROOM = 0.9
# Bulk requests leave the rest of the streams to interactive ones, which would
# otherwise wait until a long stream ends.
BULK_STREAMS_SHARE = 0.85


def choose(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> upstreams.Upstream | None:
    """Return the best upstream with room, or None to keep waiting."""
    best: upstreams.Upstream | None = None
    best_load = 0.0
    for upstream in upstreams.eligible(state, request.service.name, now_ms):
        load = upstreams.streams(state, upstream, now_ms)
        if load >= max_streams(state, upstream, request):
            continue
        if best is None or load < best_load:
            best = upstream
            best_load = load
    return best


def max_streams(
    state: entry_state.EntryState,
    upstream: upstreams.Upstream,
    request: requests.Request,
) -> float:
    """Return how many streams an upstream may have for a request's class."""
    assert upstream.report is not None
    slots = float(upstream.report.slots)
    if request.service.kind is deployment.ServiceKind.PLAIN:
        return slots
    share = 1.0
    if request.priority is deployment.Priority.BULK:
        share = BULK_STREAMS_SHARE
    policy = request.configuration.deployment.policy
    target_ms = policy.inter_token_target_ms * STEP_HEADROOM
    pace = upstreams.pace(state, upstream)
    return max(1.0, share * min(slots, pace.max_streams(target_ms)))
