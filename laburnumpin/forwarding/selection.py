"""Load balancing: the choice of the upstream for a forwarded request.

Each candidate gets a score in milliseconds: the predicted time to the first
byte, with factors and penalties on top. The lowest score wins.
"""

from __future__ import annotations

import dataclasses
import random
import zlib

from laburnumpin.forwarding import deployment
from laburnumpin.forwarding import requests
from laburnumpin.forwarding import size_classes
from laburnumpin.forwarding import upstreams
from laburnumpin.forwarding.capacity import model

# Penalty for a round trip to another zone, which includes the price of traffic
# between zones.
OTHER_ZONE_SCORE_MS = 6.0
# Penalty for a failure rate of 1.
FAILURE_SCORE_MS = 2_000.0
# Factor on the score of an upstream that has just started; from the
# deployments' data sheets, which give it for plain services.
COLD_FACTOR = 1.6
# Bonus of the engine that all entries prefer for the same leading prompt part,
# so that they choose the same one before any is known to have it cached.
PREFIX_AFFINITY_SCORE_MS = 10.0
# Penalty for an engine of another prompt size class: the time to read a prompt
# of medium size.
OTHER_CLASS_SCORE_MS = 150.0
# Time after its last use for which a prompt part counts as cached.
PREFIX_CACHE_TTL_MS = 30_000


# Up to this many entries, each considers all upstreams. In larger fleets, views
# that are one digest old would send the requests of all entries to the same
# upstream, so each request considers a random sample; two candidates work best
# with outdated views (power of two choices).
SMALL_FLEET_ENTRIES = 12
SAMPLE_SIZE = 2
# Candidates from other prompt size classes.
OTHER_CLASS_SAMPLE_SIZE = 1


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceView:
    """Statistics of a service that the choice of an upstream depends on.

    `entries` is the number of entries. `shares` are the shares of the prompt
    size classes in the work, None if unknown. `model` has the times of the
    service's typical upstream.
    """

    entries: int = 1
    shares: list[float] | None = None
    model: model.ServiceModel = dataclasses.field(
        default_factory=model.ServiceModel
    )


@dataclasses.dataclass(slots=True)
class Choice:
    """The chosen upstream and the figures that led to the choice.

    `predicted_ms` is the predicted time to the first byte, `uncached_tokens`
    the prompt tokens to read, and `streams` the number of requests that run
    there without this one. The request is to be sent after `wait_ms`, when the
    upstream's limit and its back-off allow it. `load` is the load that the
    prediction is from, None if there was no prediction, and `typical_ms` what
    it would be at a typical upstream of the service.
    """

    upstream: upstreams.Upstream
    score_ms: float
    predicted_ms: float
    uncached_tokens: int
    streams: int
    wait_ms: int = 0
    load: model.Load | None = None
    typical_ms: float = 0.0


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
    """Return the candidate with the lowest score; None if all are full.

    `zone` is the preferred zone; `excluded` are ids of upstreams to skip.
    """
    own_class, other_classes = _split_by_class(
        candidates, request, service, view
    )
    # Chosen from full engines too, so that all entries agree on it.
    preferred_id = _preferred_engine_id(own_class, request)
    own_class = _with_free_slots(own_class, service, excluded)
    other_classes = _with_free_slots(other_classes, service, excluded)
    if view.entries > SMALL_FLEET_ENTRIES and service.engine is not None:
        own_class = _sample(own_class, preferred_id, generator, SAMPLE_SIZE)
        other_classes = _sample(
            other_classes, "", generator, OTHER_CLASS_SAMPLE_SIZE
        )
    best: Choice | None = None
    for position, upstream in enumerate(own_class + other_classes):
        choice = _rate(upstream, request, service, now_ms, view)
        registration = upstream.registration
        if registration.zone != zone:
            choice.score_ms += OTHER_ZONE_SCORE_MS
        if registration.upstream_id == preferred_id:
            choice.score_ms -= PREFIX_AFFINITY_SCORE_MS
        if position >= len(own_class):
            choice.score_ms += OTHER_CLASS_SCORE_MS
        choice.score_ms += generator.random()
        if best is None or choice.score_ms < best.score_ms:
            best = choice
    return best


def _rate(
    upstream: upstreams.Upstream,
    request: requests.Request,
    service: deployment.Service,
    now_ms: int,
    view: ServiceView,
) -> Choice:
    """Return an upstream's prediction and its score without preferences."""
    streams = upstream.streams()
    uncached = 0
    if service.engine is not None:
        uncached = uncached_tokens(upstream, request, now_ms)
    load = _load(upstream, service, uncached, streams)
    typical_ms = view.model.predict_ms(load)
    predicted_ms = typical_ms * upstream.slowness.factor(now_ms)
    score_ms = predicted_ms
    if now_ms < upstream.cold_until_ms:
        score_ms *= COLD_FACTOR
    score_ms += upstream.failure_rate * FAILURE_SCORE_MS
    wait_ms = upstream.wait_ms(now_ms) or 0
    return Choice(
        upstream,
        score_ms + wait_ms,
        predicted_ms,
        uncached,
        streams,
        wait_ms,
        load,
        typical_ms,
    )


def _split_by_class(
    candidates: list[upstreams.Upstream],
    request: requests.Request,
    service: deployment.Service,
    view: ServiceView,
) -> tuple[list[upstreams.Upstream], list[upstreams.Upstream]]:
    """Return the engines of the request's size class and those of all others.

    Small fleets are not divided into classes, since digests report the peers'
    requests in time.
    """
    if service.engine is None or view.shares is None:
        return candidates, []
    if view.entries <= SMALL_FLEET_ENTRIES:
        return candidates, []
    if len(candidates) < size_classes.MIN_DIVIDED_ENGINES:
        return candidates, []
    own_class: list[upstreams.Upstream] = []
    other_classes: list[upstreams.Upstream] = []
    class_index = size_classes.size_class(request)
    for position, engines in enumerate(
        size_classes.divide_engines(candidates, view.shares)
    ):
        (own_class if position == class_index else other_classes).extend(
            engines
        )
    return own_class, other_classes


def _with_free_slots(
    candidates: list[upstreams.Upstream],
    service: deployment.Service,
    excluded: set[str],
) -> list[upstreams.Upstream]:
    """Return the candidates that are neither excluded nor full.

    Only engines count as full; plain services queue requests.
    """
    usable = []
    for upstream in candidates:
        if upstream.registration.upstream_id in excluded:
            continue
        engine = service.engine
        if engine is not None and upstream.streams() >= _slots(
            upstream, engine
        ):
            continue
        usable.append(upstream)
    return usable


def _sample(
    candidates: list[upstreams.Upstream],
    preferred_id: str,
    generator: random.Random,
    sample_count: int,
) -> list[upstreams.Upstream]:
    """Return a random sample, and the preferred candidate if there is one."""
    sampled = []
    remaining = []
    for upstream in candidates:
        if upstream.registration.upstream_id == preferred_id:
            sampled.append(upstream)
            continue
        remaining.append(upstream)
    return sampled + generator.sample(
        remaining, min(sample_count, len(remaining))
    )


def uncached_tokens(
    upstream: upstreams.Upstream, request: requests.Request, now_ms: int
) -> int:
    """Return the prompt tokens that are not in the engine's prefix cache."""
    if request.prompt is None:
        return 0
    cached = 0
    for part in request.prompt.parts:
        used_ms = upstream.cached_parts.get(part.part_id)
        if used_ms is None or now_ms > used_ms + PREFIX_CACHE_TTL_MS:
            break
        cached += part.tokens
    return max(0, request.prompt.tokens - cached)


def _load(
    upstream: upstreams.Upstream,
    service: deployment.Service,
    uncached: int,
    streams: int,
) -> model.Load:
    """Return what is known of the load that a request meets."""
    if service.engine is None:
        return model.Load(0, streams, max(1, upstream.registration.slots))
    return model.Load(uncached + upstream.pending_tokens(), streams)


def _slots(
    upstream: upstreams.Upstream, engine: deployment.EngineProfile
) -> int:
    """Return an engine's registered slots, by default those of its profile."""
    slots = upstream.registration.slots
    return slots if slots > 0 else engine.slots


def _preferred_engine_id(
    candidates: list[upstreams.Upstream], request: requests.Request
) -> str:
    """Return the id of the preferred engine, or "" if there is none.

    It has the highest hash of its id with the last shared prompt part
    (rendezvous hashing).
    """
    if request.prompt is None or len(request.prompt.parts) < 2:
        return ""
    # The last part is specific to the request; the one before it is the longest
    # prefix that other requests share.
    part_id = request.prompt.parts[-2].part_id
    best_id, best_hash = "", -1
    for upstream in candidates:
        upstream_id = upstream.registration.upstream_id
        value = zlib.crc32(f"{part_id:x}/{upstream_id}".encode())
        if value > best_hash:
            best_id, best_hash = upstream_id, value
    return best_id
