"""Routing: choose the upstream for a request.

Upstreams with free streams are scored by expected waiting and prefill time,
round-trip time and recomputed prompt tokens. The choice among near-equal ones
is random, weighted by their free streams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumpin.core import deployment
from laburnumpin.core import prefixes
from laburnumpin.core import queues
from laburnumpin.core import upstreams

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

# Share of the inter-token target that the mean step time may reach, because
# steps that include prefill take longer than the mean.
INTER_TOKEN_TARGET_SHARE = 0.9
# Share of the streams available to bulk requests. The rest is reserved for
# interactive ones, which would otherwise wait until a long stream ends.
BULK_STREAMS_SHARE = 0.85
# Part of an entry's equal share of an upstream's streams that it may use even
# when the upstream is full, as long as no stream waits there.
GUARANTEED_SHARE = 0.8
# Upstreams whose score is within this share of the best count as equal.
NEAR_EQUAL_SHARE = 0.1
# Steps that count as waiting time in the score. With 60 steps the prompts of a
# session spread over the engines; with 5 they follow their cached prefix.
WAIT_STEPS = 5
SAME_ZONE_RTT_MS = 1.0
SAME_REGION_RTT_MS = 3.0
OTHER_REGION_RTT_MS = 60.0


def choose(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> upstreams.Upstream | None:
    """Return an upstream with free streams and about the best score.

    None when no eligible upstream has a free stream.
    """
    scored: list[tuple[float, float, upstreams.Upstream]] = []
    for upstream in upstreams.eligible(state, request.service.name, now_ms):
        streams = upstreams.streams(state, upstream, now_ms)
        limit = max_streams(state, upstream, request)
        free_streams = max(
            limit - streams, _guaranteed_streams(state, upstream, limit)
        )
        if free_streams <= 0:
            continue
        score = score_ms(state, upstream, request, streams, now_ms)
        scored.append((score, free_streams, upstream))
    if not scored:
        return None
    best = min(score for score, _, _ in scored)
    near_equal = [s for s in scored if s[0] <= best * (1 + NEAR_EQUAL_SHARE)]
    if len(near_equal) == 1:
        return near_equal[0][2]
    weights = [free_streams for _, free_streams, _ in near_equal]
    return state.random.choices(near_equal, weights)[0][2]


def _guaranteed_streams(
    state: entry_state.EntryState, upstream: upstreams.Upstream, limit: float
) -> float:
    """Return the streams that this entry lacks of its guaranteed share.

    A slot that becomes free is visible first to the entry whose stream ended.
    Without a guarantee, the entries with the most streams would refill a full
    engine and the other entries would starve. The guarantee is suspended while
    streams wait at the upstream.
    """
    assert upstream.report is not None
    entries_per_upstream = upstreams.entries_per_upstream(
        state, upstream.service
    )
    if entries_per_upstream <= 1.0 or upstream.report.waiting > 0:
        return 0.0
    equal_share = limit / entries_per_upstream
    return GUARANTEED_SHARE * equal_share - len(upstream.attempts)


def score_ms(
    state: entry_state.EntryState,
    upstream: upstreams.Upstream,
    request: requests.Request,
    streams: float,
    now_ms: int,
) -> float:
    """Return the score of an upstream for a request; lower is better."""
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
    """Return how many streams an upstream may run for a request's class.

    Engines are limited by their slots and by the inter-token target, and bulk
    requests to a share of that. Plain services are limited by their slots.
    """
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
    """Predict the run time of a request once it has started; 0 if unknown."""
    for upstream in upstreams.of_service(state, request.service.name):
        latency = upstreams.latency_model(state, upstream)
        if request.service.kind is deployment.ServiceKind.PLAIN:
            return latency.service_ms
        return latency.run_ms_per_token * queues.cost(request)
    return 0.0


def entry_streams(
    state: entry_state.EntryState, request: requests.Request, now_ms: int
) -> float:
    """Return this entry's equal share of the streams of a service."""
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
