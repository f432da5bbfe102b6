"""Estimates of the concurrent streams that a service needs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from laburnumpin.core import deployment
from laburnumpin.core import membership
from laburnumpin.core import upstreams

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

PEER_DEMAND_MAX_AGE_MS = 10_000
# Waiting bulk work is to be served within this time. One stream for each
# waiting request starts VMs for a surge that ends soon after they are up.
BACKLOG_DRAIN_MS = 900_000
_TYPICAL_REQUEST_TOKENS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class PeerDemand:
    """Queued tokens at a peer for a service, from its digest."""

    queued_tokens: int
    received_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class QueueBaseline:
    """When a service's queue was last empty, and what ran at that time."""

    empty_ms: int
    running: float


@dataclasses.dataclass(slots=True)
class _QueuedWork:
    """Waiting requests, and the streams that serve them in time."""

    requests: float = 0.0
    tokens: int = 0
    streams: float = 0.0


def concurrent_streams(
    state: entry_state.EntryState, service: str, now_ms: int
) -> float:
    """Estimate the streams that a service needs: running and waiting.

    While a queue is served all slots are busy, so that what runs says nothing
    about the arrivals. Until the queue should be gone, the streams from before
    it count instead of those that run.
    """
    running = _running_streams(state, service)
    queued = _queued_work(state, service, now_ms)
    if queued.requests == 0:
        state.fleet.queue_baselines[service] = QueueBaseline(now_ms, running)
        return running
    baseline = state.fleet.queue_baselines.setdefault(
        service, QueueBaseline(now_ms, running)
    )
    upper_bound = running + queued.requests
    if now_ms - baseline.empty_ms > BACKLOG_DRAIN_MS:
        return min(upper_bound, running + queued.streams)
    return min(upper_bound, baseline.running + queued.streams)


def _running_streams(state: entry_state.EntryState, service: str) -> float:
    """Estimate what runs at all upstreams from those that this entry polls."""
    leaving = 0.0
    polled = 0
    streams = 0.0
    for upstream in upstreams.of_service(state, service):
        report = upstream.report
        running = 0 if report is None else report.running + report.waiting
        if upstream.leaving:
            leaving += running
        elif upstream.in_subset:
            polled += 1
            streams += running
    if polled == 0:
        return leaving
    listed = 0
    for row in state.fleet.listed.values():
        if row.service != service or row.leaving:
            continue
        listed += (row.vm_id, row.incarnation) not in state.upstreams.leaving
    return leaving + streams * max(1.0, listed / polled)


def _queued_work(
    state: entry_state.EntryState, service: str, now_ms: int
) -> _QueuedWork:
    """Sum the own queue; peers are taken to have the same mix."""
    local = _QueuedWork()
    step_ms = _slowest_step_ms(state, service)
    call_ms = _slowest_call_ms(state, service)
    for request in state.limits.queue.values():
        if request.service.name != service:
            continue
        local.requests += 1
        local.tokens += request.prompt_tokens + request.max_tokens
        local.streams += _required_streams(request, step_ms, call_ms)
    peer_tokens = _peer_queued_tokens(state, service, now_ms)
    if peer_tokens == 0:
        return local
    if local.tokens == 0:
        count = peer_tokens / _TYPICAL_REQUEST_TOKENS
        return _QueuedWork(
            local.requests + count, peer_tokens, local.streams + count
        )
    factor = 1 + peer_tokens / local.tokens
    return _QueuedWork(
        local.requests * factor,
        local.tokens + peer_tokens,
        local.streams * factor,
    )


def _required_streams(
    request: requests.Request, step_ms: float, call_ms: float
) -> float:
    """Return the share of a stream that serves a request in time."""
    if request.priority is deployment.Priority.INTERACTIVE:
        return 1.0
    duration_ms = call_ms
    if request.service.kind is deployment.ServiceKind.MODEL:
        duration_ms = request.max_tokens * step_ms
    # Nothing is known of the time that it takes.
    if duration_ms <= 0:
        return 1.0
    return min(1.0, duration_ms / BACKLOG_DRAIN_MS)


def _slowest_step_ms(state: entry_state.EntryState, service: str) -> float:
    slowest_ms = 0.0
    for upstream in upstreams.of_service(state, service):
        if upstream.report is not None:
            slowest_ms = max(slowest_ms, upstream.report.step_ms)
    return slowest_ms


def _slowest_call_ms(state: entry_state.EntryState, service: str) -> float:
    slowest_ms = 0.0
    for (name, _), latency in state.upstreams.latency_models.items():
        if name == service:
            slowest_ms = max(slowest_ms, latency.service_ms)
    return slowest_ms


def _peer_queued_tokens(
    state: entry_state.EntryState, service: str, now_ms: int
) -> int:
    tokens = 0
    for (_, name), peer in state.fleet.peer_demand.items():
        if name != service:
            continue
        if now_ms - peer.received_ms <= PEER_DEMAND_MAX_AGE_MS:
            tokens += peer.queued_tokens
    return int(tokens * _peer_scale_factor(state, now_ms))


def _peer_scale_factor(state: entry_state.EntryState, now_ms: int) -> float:
    """Return how many other entries there are for each that is heard."""
    reporting = 0
    for member in state.membership.by_vm.values():
        reporting += now_ms - member.digest_ms <= PEER_DEMAND_MAX_AGE_MS
    if reporting == 0:
        return 1.0
    peer_count = membership.entry_count(state) - 1
    return max(1.0, peer_count / reporting)
