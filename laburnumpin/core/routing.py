"""Choice of the upstream for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumpin.core import deployment
from laburnumpin.core import prefixes
from laburnumpin.core import queues
from laburnumpin.core import upstreams

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

# The bound on streams aims below the inter-token target, because steps that
# include prefill take longer than the mean.
INTER_TOKEN_TARGET_SHARE = 0.9
# Bulk requests leave the rest of the streams to interactive ones, which would
# otherwise wait until a long stream ends.
BULK_STREAMS_SHARE = 0.85
# Part of an equal division of the streams that an entry may always have.
GUARANTEED_SHARE = 0.8
# Upstreams whose score is within this share of the best are near-equals.
NEAR_EQUAL_SHARE = 0.1
# How many steps of a stream count as waiting. 60 steps spread the prompts of a
# session over the engines; with 5 they follow their prefix.
WAIT_STEPS = 5
SAME_ZONE_RTT_MS = 1.0
SAME_REGION_RTT_MS = 3.0
OTHER_REGION_RTT_MS = 60.0


def choose(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> upstreams.Upstream | None:
    """Return an upstream with room and about the best score, if any."""
    scored: list[tuple[float, float, upstreams.Upstream]] = []
    for upstream in upstreams.eligible(state, request.service.name, now_ms):
        streams = upstreams.streams(state, upstream, now_ms)
        limit = max_streams(state, upstream, request)
        room = max(limit - streams, _guaranteed_room(state, upstream, limit))
        if room <= 0:
            continue
        score = score_ms(state, upstream, request, streams, now_ms)
        scored.append((score, room, upstream))
    if not scored:
        return None
    best = min(score for score, _, _ in scored)
    near_equal = [s for s in scored if s[0] <= best * (1 + NEAR_EQUAL_SHARE)]
    if len(near_equal) == 1:
        return near_equal[0][2]
    weights = [room for _, room, _ in near_equal]
    return state.random.choices(near_equal, weights)[0][2]


def _guaranteed_room(
    state: entry_state.EntryState, upstream: upstreams.Upstream, limit: float
) -> float:
    """Return how many streams this entry lacks of its guaranteed part.

    A stream that ends is first known to the entry that had it. Without a
    guarantee the entries with most streams refill a full engine, and the
    others wait without end.
    """
    assert upstream.report is not None
    entries_per_upstream = upstreams.entries_per_upstream(
        state, upstream.service
    )
    if entries_per_upstream <= 1.0 or upstream.report.waiting > 0:
        return 0.0
    even_share = limit / entries_per_upstream
    return GUARANTEED_SHARE * even_share - len(upstream.attempts)


def score_ms(
    state: entry_state.EntryState,
    upstream: upstreams.Upstream,
    request: requests.Request,
    streams: float,
    now_ms: int,
) -> float:
    """Return the score of an upstream for a request; the lowest is best."""
    rtt_ms = _rtt_ms(state, upstream)
    latency = upstreams.latency_model(state, upstream)
    assert upstream.report is not None
    if request.service.kind is deployment.ServiceKind.PLAIN:
        return (
            rtt_ms + latency.service_ms * (streams + 1) / upstream.report.slots
        )
    policy = request.configuration.deployment.policy
    cached = prefixes.cached_tokens(
        state, upstream.upstream_id, request.blocks, now_ms
    )
    uncached = max(0, request.prompt_tokens - cached)
    wait_ms = latency.step_ms(streams + 1) * WAIT_STEPS
    prefill_ms = uncached * 1_000 / latency.prefill_tokens_per_s
    return wait_ms + prefill_ms + rtt_ms + policy.recompute_weight * uncached


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
    target_ms = policy.inter_token_target_ms * INTER_TOKEN_TARGET_SHARE
    latency = upstreams.latency_model(state, upstream)
    return max(1.0, share * min(slots, latency.max_streams(target_ms)))


def predicted_run_ms(
    state: entry_state.EntryState, request: requests.Request
) -> float:
    """Predict how long a request runs once it has started; 0 if unknown."""
    for upstream in upstreams.of_service(state, request.service.name):
        latency = upstreams.latency_model(state, upstream)
        if request.service.kind is deployment.ServiceKind.PLAIN:
            return latency.service_ms
        return latency.run_ms_per_token * queues.cost(request)
    return 0.0


def entry_streams(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> float:
    """Return this entry's part of the streams that a service can have."""
    service = request.service.name
    total = 0.0
    for upstream in upstreams.eligible(state, service, now_ms):
        total += max_streams(state, upstream, request)
    return total / upstreams.entries_per_upstream(state, service)


def _rtt_ms(
    state: entry_state.EntryState, upstream: upstreams.Upstream
) -> float:
    if upstream.zone == state.zone:
        return SAME_ZONE_RTT_MS
    current = state.configuration.current
    if current is None:
        return SAME_REGION_RTT_MS
    zones = current.deployment.zones
    own_zone, other_zone = zones.get(state.zone), zones.get(upstream.zone)
    if (
        own_zone is None
        or other_zone is None
        or own_zone.region == other_zone.region
    ):
        return SAME_REGION_RTT_MS
    return OTHER_REGION_RTT_MS
