"""What an entry knows of each upstream."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import messages

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

POLL_PERIOD_MS = 1_000
POLL_TIMEOUT_MS = 1_000
# No new work goes to an upstream that has not reported for this long.
REPORT_MAX_AGE_MS = 4_000
NOTICE_PERIOD_MS = 1_000


@dataclasses.dataclass(slots=True)
class Upstream:
    """One upstream VM in one incarnation.

    `attempts` maps the attempts in flight from this entry to the number of
    tokens expected of them.
    """

    upstream_id: str
    incarnation: int
    service: str
    zone: str
    vm_class: str
    address: str
    leaving: bool = False
    report: events.LoadReport | None = None
    reported_ms: int = 0
    next_poll_ms: int = 0
    poll_pending: bool = False
    poll_failed: bool = False
    cache_sequence: int = 0
    attempts: dict[str, int] = dataclasses.field(default_factory=dict)
    sent_since_report: int = 0
    peers_in_flight: dict[str, int] = dataclasses.field(default_factory=dict)


class UpstreamsState:
    """Upstreams by id, and the leaving marks, which are never removed."""

    __slots__ = ("by_id", "leaving", "next_notices_ms")

    def __init__(self) -> None:
        self.by_id: dict[str, Upstream] = {}
        self.leaving: dict[tuple[str, int], int] = {}
        self.next_notices_ms = 0


def eligible(
    state: entry_state.EntryState, service: str, now_ms: int
) -> list[Upstream]:
    """Return the upstreams of a service that may get new work."""
    result = []
    for upstream in state.upstreams.by_id.values():
        if upstream.service != service or upstream.leaving:
            continue
        if upstream.report is None:
            continue
        if now_ms - upstream.reported_ms > REPORT_MAX_AGE_MS:
            continue
        result.append(upstream)
    return result


def of_service(state: entry_state.EntryState, service: str) -> list[Upstream]:
    """Return the known upstreams of a service, leaving ones included."""
    result = []
    for upstream in state.upstreams.by_id.values():
        if upstream.service == service:
            result.append(upstream)
    return result


def mark_leaving(
    state: entry_state.EntryState,
    upstream_id: str,
    incarnation: int,
    now_ms: int,
) -> None:
    """Mark an incarnation of an upstream as leaving, for good."""
    state.upstreams.leaving.setdefault((upstream_id, incarnation), now_ms)
    upstream = state.upstreams.by_id.get(upstream_id)
    if upstream is not None and upstream.incarnation <= incarnation:
        upstream.leaving = True


def on_vms_listed(
    state: entry_state.EntryState, event: events.VmsListed
) -> list[effects.Effect]:
    """Add new upstreams and mark those that are leaving."""
    for row in event.vms:
        if row.role is not events.VmRole.UPSTREAM:
            continue
        known = state.upstreams.by_id.get(row.vm_id)
        if known is None or known.incarnation < row.incarnation:
            _add(state, row)
        if row.leaving:
            mark_leaving(state, row.vm_id, row.incarnation, event.now_ms)
    return []


def on_notices(
    state: entry_state.EntryState, event: events.NoticesListed
) -> list[effects.Effect]:
    """Mark the upstreams with a reclaim notice as leaving."""
    for notice in event.notices:
        mark_leaving(state, notice.vm_id, notice.incarnation, event.now_ms)
    return []


def on_digest(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Digest,
) -> list[effects.Effect]:
    """Take over leaving marks and in-flight counts from a peer."""
    for mark in message.leaving:
        mark_leaving(state, mark.upstream_id, mark.incarnation, event.now_ms)
    for load in message.loads:
        upstream = state.upstreams.by_id.get(load.upstream_id)
        if upstream is not None:
            upstream.peers_in_flight[message.entry.vm_id] = load.in_flight
    return []


def on_load_reported(
    state: entry_state.EntryState, event: events.LoadReported
) -> list[effects.Effect]:
    """Take over a load report."""
    upstream = state.upstreams.by_id.get(event.upstream_id)
    if upstream is None:
        return []
    upstream.poll_pending = False
    upstream.poll_failed = False
    report = event.report
    if report.incarnation < upstream.incarnation:
        return []
    if report.incarnation > upstream.incarnation:
        upstream.incarnation = report.incarnation
        upstream.leaving = False
        upstream.cache_sequence = 0
    upstream.report = report
    upstream.reported_ms = event.now_ms - report.age_ms
    upstream.sent_since_report = 0
    if report.leaving:
        mark_leaving(
            state, upstream.upstream_id, report.incarnation, event.now_ms
        )
    return []


def on_load_poll_failed(
    state: entry_state.EntryState, event: events.LoadPollFailed
) -> list[effects.Effect]:
    """Ask again over a new connection at once after a timeout."""
    upstream = state.upstreams.by_id.get(event.upstream_id)
    if upstream is None:
        return []
    upstream.poll_pending = False
    if event.timed_out and not upstream.poll_failed:
        upstream.next_poll_ms = event.now_ms
    upstream.poll_failed = True
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Poll the load reports that are due."""
    own = state.upstreams
    result: list[effects.Effect] = []
    if event.now_ms >= own.next_notices_ms:
        own.next_notices_ms = event.now_ms + NOTICE_PERIOD_MS
        result.append(effects.ListNotices())
    for upstream in own.by_id.values():
        if upstream.poll_pending or event.now_ms < upstream.next_poll_ms:
            continue
        upstream.poll_pending = True
        upstream.next_poll_ms = event.now_ms + POLL_PERIOD_MS
        result.append(
            effects.PollLoad(
                upstream.upstream_id,
                upstream.address,
                _kind(state, upstream.service),
                upstream.cache_sequence,
                POLL_TIMEOUT_MS,
                upstream.poll_failed,
            )
        )
    return result


def on_dispatched(
    state: entry_state.EntryState,
    upstream: Upstream,
    request: requests.Request,
    now_ms: int,
) -> None:
    """Count an attempt that is about to be sent."""
    del state, now_ms
    assert request.attempt is not None
    expected = request.prompt_tokens + request.max_tokens
    upstream.attempts[request.attempt.attempt_id] = expected
    upstream.sent_since_report += 1


def on_attempt_ended(
    state: entry_state.EntryState,
    attempt: requests.Attempt,
    request: requests.Request,
    failure: events.AttemptFailure | None,
    now_ms: int,
) -> None:
    """Count an attempt as ended and learn from its failure."""
    del request
    upstream = state.upstreams.by_id.get(attempt.upstream_id)
    if upstream is None:
        return
    upstream.attempts.pop(attempt.attempt_id, None)
    if failure is events.AttemptFailure.UPSTREAM_LEAVING:
        mark_leaving(state, upstream.upstream_id, upstream.incarnation, now_ms)


def _add(state: entry_state.EntryState, row: events.VmRow) -> None:
    upstream = Upstream(
        row.vm_id,
        row.incarnation,
        row.service,
        row.zone,
        row.vm_class,
        row.address,
    )
    marks = state.upstreams.leaving
    upstream.leaving = (row.vm_id, row.incarnation) in marks
    state.upstreams.by_id[row.vm_id] = upstream


def _kind(
    state: entry_state.EntryState, service_name: str
) -> deployment.ServiceKind:
    current = state.configuration.current
    if current is None:
        return deployment.ServiceKind.PLAIN
    service = current.deployment.services.get(service_name)
    return deployment.ServiceKind.PLAIN if service is None else service.kind
