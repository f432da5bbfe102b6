"""Choice of the upstream for a forwarded request."""

from __future__ import annotations

import dataclasses
import math
import random
import zlib

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import size_classes
from laburnumpin.forwarding import upstreams

# Prompt tokens that an engine reads in a millisecond, and the time of a step;
# both from the deployments' data sheets.
PREFILL_TOKENS_PER_MS = 68.2
STEP_MS = 3.82
STEP_MS_PER_STREAM = 0.0227
# Time to the first token beside reading the prompt (data sheet).
FIRST_TOKEN_OVERHEAD_MS = 36.0
# Mean service time of a plain service's request (data sheet).
PLAIN_SERVICE_MS = 45.0
# Score of a round trip to another zone; it also stands for the price of bytes
# between zones.
OTHER_ZONE_SCORE_MS = 6.0
# Score that is added for a failure rate of 1.
FAILURE_SCORE_MS = 2_000.0
# Factor on the score of an upstream that has just started, as the deployments'
# data sheets give it for their plain services.
COLD_FACTOR = 1.6
# Score of preferring the engine that the other entries prefer too for the
# same leading part, while none is known to have it.
PREFIX_AFFINITY_SCORE_MS = 10.0
# Score of an engine that is for prompts of another size: the time to read a
# prompt of middle size.
OTHER_CLASS_SCORE_MS = 150.0
# An upstream whose times are this many times those of the others, compared with
# what was predicted, counts as slow; up to the second factor.
SLOW_RATIO = 2.0
MAX_SLOW_RATIO = 10.0
# How long a prompt part counts as cached after its last use.
PREFIX_CACHE_TTL_MS = 30_000


# Up to this many entries each looks at all upstreams. With more of them a view
# that is a digest old would send all entries to the same upstream, so each
# looks at a random few; two serve best with old views (power of two choices).
SMALL_FLEET_ENTRIES = 12
SAMPLE_SIZE = 2
# Of those for other sizes it looks at this many.
OTHER_CLASS_SAMPLE_SIZE = 1


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceView:
    """What is known of all upstreams of a service together.

    `shares` are the parts of the work of the classes of prompt sizes, None if
    not known; `mean_log_ratio` is the logarithm of observed to predicted times.
    """

    entries: int = 1
    shares: list[float] | None = None
    mean_log_ratio: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """An upstream with the figures that decided."""

    upstream: upstreams.Upstream
    score_ms: float
    predicted_ms: float
    uncached_tokens: int
    streams: int


def choose(
    candidates: list[upstreams.Upstream],
    request: requests.Request,
    service: deployment.Service,
    zone: str,
    excluded: set[str],
    now_ms: int,
    generator: random.Random,
    view: ServiceView,
) -> Choice | None:
    """Return the candidate with the lowest score, None if all are full."""
    best: Choice | None = None
    own, others = _split_by_class(candidates, request, service, view)
    # The preferred one is the same at all entries, so it may be full.
    preferred = _preferred_engine_id(own, request)
    own = _with_free_slots(own, service, excluded)
    others = _with_free_slots(others, service, excluded)
    if view.entries > SMALL_FLEET_ENTRIES and service.engine is not None:
        own = _sample(own, preferred, generator, SAMPLE_SIZE)
        others = _sample(others, "", generator, OTHER_CLASS_SAMPLE_SIZE)
    for place, upstream in enumerate(own + others):
        registration = upstream.registration
        streams = upstream.streams()
        if service.engine is None:
            predicted_ms = _plain_service_ms(upstream, streams)
            uncached = 0
        else:
            uncached = uncached_tokens(upstream, request, now_ms)
            predicted_ms = first_token_ms(upstream, uncached, streams)
        score_ms = predicted_ms * _slowness_factor(upstream, view, now_ms)
        if now_ms < upstream.cold_until_ms:
            score_ms *= COLD_FACTOR
        score_ms += upstream.failure_rate * FAILURE_SCORE_MS
        if registration.zone != zone:
            score_ms += OTHER_ZONE_SCORE_MS
        if registration.upstream_id == preferred:
            score_ms -= PREFIX_AFFINITY_SCORE_MS
        if place >= len(own):
            score_ms += OTHER_CLASS_SCORE_MS
        score_ms += generator.random()
        if best is None or score_ms < best.score_ms:
            best = Choice(upstream, score_ms, predicted_ms, uncached, streams)
    return best


def _split_by_class(
    candidates: list[upstreams.Upstream],
    request: requests.Request,
    service: deployment.Service,
    view: ServiceView,
) -> tuple[list[upstreams.Upstream], list[upstreams.Upstream]]:
    """Return the engines for the request's size, and the others.

    A few entries know of each other's requests in time, and need no classes.
    """
    if service.engine is None or view.shares is None:
        return candidates, []
    if view.entries <= SMALL_FLEET_ENTRIES:
        return candidates, []
    if len(candidates) < size_classes.MIN_DIVIDED_ENGINES:
        return candidates, []
    own: list[upstreams.Upstream] = []
    others: list[upstreams.Upstream] = []
    number = size_classes.size_class(request)
    for place, found in enumerate(
        size_classes.divide_engines(candidates, view.shares)
    ):
        (own if place == number else others).extend(found)
    return own, others


def _slowness_factor(
    upstream: upstreams.Upstream, view: ServiceView, now_ms: int
) -> float:
    """Return how many times slower than the others an upstream is."""
    ratio = math.exp(upstream.log_ratio(now_ms) - view.mean_log_ratio)
    if ratio < SLOW_RATIO:
        return 1.0
    return min(ratio, MAX_SLOW_RATIO)


def _with_free_slots(
    candidates: list[upstreams.Upstream],
    service: deployment.Service,
    excluded: set[str],
) -> list[upstreams.Upstream]:
    """Return the candidates that can take the request."""
    found = []
    for upstream in candidates:
        if upstream.registration.upstream_id in excluded:
            continue
        engine = service.engine
        if engine is not None and upstream.streams() >= _slots(
            upstream, engine
        ):
            continue
        found.append(upstream)
    return found


def _sample(
    candidates: list[upstreams.Upstream],
    preferred: str,
    generator: random.Random,
    most: int,
) -> list[upstreams.Upstream]:
    """Return a random few candidates, and the preferred one."""
    sampled = []
    rest = []
    for upstream in candidates:
        if upstream.registration.upstream_id == preferred:
            sampled.append(upstream)
            continue
        rest.append(upstream)
    return sampled + generator.sample(rest, min(most, len(rest)))


def uncached_tokens(
    upstream: upstreams.Upstream, request: requests.Request, now_ms: int
) -> int:
    """Return the prompt tokens that the engine has to read."""
    if request.prompt is None:
        return 0
    cached = 0
    for part in request.prompt.parts:
        used_ms = upstream.cached_parts.get(part.part_id)
        if used_ms is None or now_ms > used_ms + PREFIX_CACHE_TTL_MS:
            break
        cached += part.tokens
    return max(0, request.prompt.tokens - cached)


def first_token_ms(
    upstream: upstreams.Upstream, uncached: int, streams: int
) -> float:
    """Predict the time to the first token at an engine."""
    step_ms = STEP_MS + STEP_MS_PER_STREAM * streams
    read_ms = (uncached + upstream.pending_tokens()) / PREFILL_TOKENS_PER_MS
    return FIRST_TOKEN_OVERHEAD_MS + read_ms + 2 * step_ms


def _plain_service_ms(upstream: upstreams.Upstream, streams: int) -> float:
    slots = max(1, upstream.registration.slots)
    rounds = max(0, streams + 1 - slots) / slots
    # A fuller upstream loses against an emptier one before any request waits.
    return PLAIN_SERVICE_MS * (1 + rounds + 0.2 * streams / slots)


def _slots(
    upstream: upstreams.Upstream, engine: deployment.EngineProfile
) -> int:
    slots = upstream.registration.slots
    return slots if slots > 0 else engine.slots


def _preferred_engine_id(
    candidates: list[upstreams.Upstream], request: requests.Request
) -> str:
    """Return the candidate with the highest hash with the shared part."""
    if request.prompt is None or len(request.prompt.parts) < 2:
        return ""
    # The last part belongs to the request itself; the one before it is the
    # most specific part that other requests share.
    part_id = request.prompt.parts[-2].part_id
    best_id, best_hash = "", -1
    for upstream in candidates:
        upstream_id = upstream.registration.upstream_id
        value = zlib.crc32(f"{part_id:x}/{upstream_id}".encode())
        if value > best_hash:
            best_id, best_hash = upstream_id, value
    return best_id
