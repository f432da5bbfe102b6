"""Estimate how many concurrent streams a service needs.

The estimate is the running streams plus those that serve the queue in time,
extrapolated from the upstreams and peers that this entry observes.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from laburnumpin.core import deployment
from laburnumpin.core import membership
from laburnumpin.core import upstreams

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

# Queued tokens from an older digest are ignored.
PEER_DEMAND_MAX_AGE_MS = 10_000
# Queued bulk requests should be served within this time. Planning one stream
# for each of them would start VMs for a surge that ends soon after they boot.
BACKLOG_DRAIN_MS = 900_000
# Assumed size of peers' queued requests when the local queue is empty.
_TYPICAL_REQUEST_TOKENS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class PeerDemand:
    """Queued tokens of a service at one peer, from its last digest."""

    queued_tokens: int
    received_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class QueueBaseline:
    """When a service's queue was last empty, and the streams running then."""

    empty_ms: int
    running: float


@dataclasses.dataclass(slots=True)
class _QueuedWork:
    """Queued requests, their tokens and the streams that serve them in time."""

    requests: float = 0.0
    tokens: int = 0
    streams: float = 0.0


def concurrent_streams(
    state: entry_state.EntryState, service: str, now_ms: int
) -> float:
    """Estimate the streams that a service needs for running and queued work.

    While requests are queued all slots are busy, so the running streams do
    not reflect the arrival rate. For `BACKLOG_DRAIN_MS` after the queue was
    last empty, the streams running at that time are counted instead.
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
    """Extrapolate the streams at all upstreams from those that are polled.

    The streams at leaving upstreams are added as reported.
    """
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
    """Sum the queued work of this entry and its peers.

    Peers report only tokens; their requests are assumed to have the same mix
    as the local queue.
    """
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
    """Return the streams needed to serve a queued request in time.

    An interactive request needs a whole stream, a bulk request the fraction of
    a stream that completes it within `BACKLOG_DRAIN_MS`.
    """
    if request.priority is deployment.Priority.INTERACTIVE:
        return 1.0
    duration_ms = call_ms
    if request.service.kind is deployment.ServiceKind.MODEL:
        duration_ms = request.max_tokens * step_ms
    # The duration of a request is not known yet.
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
    """Return the ratio of all peers to those with a recent digest, at least 1.

    It scales a sum over the reporting peers up to all peers.
    """
    reporting = 0
    for member in state.membership.by_vm.values():
        reporting += now_ms - member.digest_ms <= PEER_DEMAND_MAX_AGE_MS
    if reporting == 0:
        return 1.0
    peer_count = membership.entry_count(state) - 1
    return max(1.0, peer_count / reporting)
