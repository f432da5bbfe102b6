"""Upstream state: load reports, subsets, leaving marks and stream counts.

Each entry polls the load reports of its subset of the upstreams and sends new
work only to these. A leaving mark excludes one incarnation of an upstream
permanently; marks spread through notices, VM lists, load reports and digests.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from laburnumpin import verdict
from laburnumpin.core import deployment
from laburnumpin.core import effects
from laburnumpin.core import events
from laburnumpin.core import membership
from laburnumpin.core import messages
from laburnumpin.core import pacing
from laburnumpin.core import prefixes
from laburnumpin.core import queues
from laburnumpin.core import subsets

if TYPE_CHECKING:
    from laburnumpin.core import requests
    from laburnumpin.core import state as entry_state

# One poll of a load report takes about 1.5 ms of processor time in the HTTP
# client. With 6 polls per second, fewer than 95% of the inter-token latencies
# were within 36 ms on the Monday trace of the example deployment Luvas.
POLLS_PER_S = 8
MIN_POLL_PERIOD_MS = 1_000
# Shorter than `REPORT_MAX_AGE_MS` by a margin for the lag of the reports.
MAX_POLL_PERIOD_MS = 3_000
# Cache events are polled with every 4th load report only, because they are
# delayed anyway and the index contains this entry's own requests without them.
LOAD_POLLS_PER_CACHE_POLL = 4
POLL_TIMEOUT_MS = 1_000
# A poll for which no event reports a result within this time is repeated.
POLL_ANSWER_TIMEOUT_MS = 3_000
# An upstream whose last report is older gets no new work.
REPORT_MAX_AGE_MS = 4_000
NOTICE_PERIOD_MS = 1_000
# Upstreams that one entry polls and sends work to, for all services together.
SUBSET_SIZE = POLLS_PER_S * MAX_POLL_PERIOD_MS // 1_000
# Spare upstreams of a service, which replace leaving upstreams of its subset
# until the next VM list. Half are in the entry's data centre, half elsewhere in
# case all of its data centre is reclaimed.
MAX_SPARES = 32
# An upstream that is missing from the VM list is removed this long after its
# last report, since the list can lag behind a new upstream.
UNLISTED_TIMEOUT_MS = 30_000
# Leaving marks of upstreams that are listed or known are always kept. Others
# are kept for an hour, after which no list or digest contains the upstream any
# more, or for less while there are more than `MAX_LEAVING_MARKS`.
LEAVING_MARK_RETENTION_MS = 3_600_000
MAX_LEAVING_MARKS = 20_000
# In-flight counts from an older digest of a peer are ignored.
PEER_COUNT_MAX_AGE_MS = 4_000


@dataclasses.dataclass(slots=True)
class Upstream:
    """One upstream VM in one incarnation.

    `reclaim_at_ms` is the time of its reclaim, from a notice, `reported_ms`
    the time that the last report describes, and `overloaded_ms` the time of
    the last rejection for overload. `attempts` maps the ids of this entry's
    attempts in flight to the expected tokens. `sent` holds the times and
    prompt tokens of the attempts sent, and `ended_ms` the times of those that
    ended, after `reported_ms`.
    `cache_sequence` is the next cache event to read. `peers_in_flight` maps
    the VM id of a peer to its attempts in flight and the time of its digest.
    """

    upstream_id: str
    incarnation: int
    service: str
    zone: str
    vm_class: str
    address: str
    leaving: bool = False
    reclaim_at_ms: int | None = None
    listed: bool = True
    in_subset: bool = True
    report: events.LoadReport | None = None
    reported_ms: int = 0
    overloaded_ms: int = -1
    next_poll_ms: int = 0
    polled_ms: int = 0
    poll_count: int = 0
    poll_pending: bool = False
    poll_failed: bool = False
    cache_sequence: int = 0
    attempts: dict[str, int] = dataclasses.field(default_factory=dict)
    sent: collections.deque[tuple[int, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    ended_ms: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    peers_in_flight: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def sent_since_report(self) -> int:
        """Return how many attempts were sent after the last report."""
        return len(self.sent)


class UpstreamsState:
    """Upstreams by id and by service, spare upstreams, and leaving marks.

    `leaving` maps (upstream id, incarnation) to the time of the mark, and
    `leaving_updated_ms` is when the last notice list was requested or the
    last digest arrived. `listed` holds the ids in the VM list, `listed_counts`
    their number by service. `subset_size` is the size of the subset of each
    service. `latency_models` is keyed by (service, VM class).
    """

    __slots__ = (
        "by_id",
        "by_service",
        "entry_count",
        "latency_models",
        "leaving",
        "leaving_updated_ms",
        "listed",
        "listed_counts",
        "next_notices_ms",
        "poll_period_ms",
        "spares",
        "subset_size",
    )

    def __init__(self) -> None:
        self.by_id: dict[str, Upstream] = {}
        self.by_service: dict[str, dict[str, Upstream]] = {}
        self.leaving: dict[tuple[str, int], int] = {}
        self.listed: set[str] = set()
        self.listed_counts: dict[str, int] = {}
        self.entry_count = 1
        self.leaving_updated_ms = 0
        self.next_notices_ms = 0
        self.poll_period_ms = MIN_POLL_PERIOD_MS
        self.subset_size = SUBSET_SIZE
        self.latency_models: dict[tuple[str, str], pacing.LatencyModel] = {}
        self.spares: dict[str, list[events.VmRow]] = {}


def eligible(
    state: entry_state.EntryState, service: str, now_ms: int
) -> list[Upstream]:
    """Return the upstreams of a service that may get new work.

    After a pause of the process the list is empty until a notice list or a
    digest arrives, since upstreams may have got a notice in the meantime.
    """
    result: list[Upstream] = []
    if state.upstreams.leaving_updated_ms <= state.configuration.resumed_ms:
        return result
    model = _model(state, service)
    for upstream in state.upstreams.by_service.get(service, {}).values():
        if upstream.leaving or not upstream.in_subset:
            continue
        if upstream.report is None:
            continue
        if now_ms - upstream.reported_ms > REPORT_MAX_AGE_MS:
            continue
        # A rejection for overload is more recent than the report.
        if upstream.overloaded_ms >= upstream.reported_ms:
            continue
        # An engine with another model gets no work until it has loaded the
        # configured one by order of the lease holder.
        if model is not None and upstream.report.model != model:
            continue
        result.append(upstream)
    return result


def of_service(state: entry_state.EntryState, service: str) -> list[Upstream]:
    """Return the known upstreams of a service, leaving ones included."""
    return list(state.upstreams.by_service.get(service, {}).values())


def mark_leaving(
    state: entry_state.EntryState,
    upstream_id: str,
    incarnation: int,
    now_ms: int,
) -> None:
    """Mark an incarnation of an upstream as leaving; this is final.

    A spare upstream takes its place in the subset.
    """
    upstreams = state.upstreams
    if (upstream_id, incarnation) in upstreams.leaving:
        return
    upstreams.leaving[upstream_id, incarnation] = now_ms
    _trim_leaving_marks(state, now_ms)
    upstream = upstreams.by_id.get(upstream_id)
    if upstream is None or upstream.incarnation > incarnation:
        return
    if upstream.leaving:
        return
    upstream.leaving = True
    if upstream.in_subset:
        _promote_spare(state, upstream.service)


def on_vms_listed(
    state: entry_state.EntryState, event: events.VmsListed
) -> list[effects.Effect]:
    """Choose the subset of each service and remove expired upstreams."""
    upstreams = state.upstreams
    upstreams.listed = set()
    by_service: dict[str, list[events.VmRow]] = {}
    entries = subsets.Entries(state.entry.vm_id)
    data_center = membership.data_center(state, state.zone)
    for row in event.vms:
        if row.role is not events.VmRole.UPSTREAM:
            if membership.data_center(state, row.zone) == data_center:
                entries.add_local(row.vm_id)
            entries.add(row.vm_id)
            continue
        upstreams.listed.add(row.vm_id)
        if row.leaving:
            mark_leaving(state, row.vm_id, row.incarnation, event.now_ms)
        by_service.setdefault(row.service, []).append(row)
    for upstream in upstreams.by_id.values():
        upstream.listed = upstream.upstream_id in upstreams.listed
    upstreams.listed_counts = {}
    upstreams.subset_size = max(1, SUBSET_SIZE // max(1, len(by_service)))
    for service, rows in by_service.items():
        upstreams.listed_counts[service] = len(rows)
        _choose_subset(state, service, rows, entries)
    _remove_expired(state, event.now_ms)
    upstreams.poll_period_ms = _poll_period_ms(state)
    return []


def on_notices(
    state: entry_state.EntryState, event: events.NoticesListed
) -> list[effects.Effect]:
    """Mark the upstreams with a reclaim notice as leaving."""
    for notice in event.notices:
        mark_leaving(state, notice.vm_id, notice.incarnation, event.now_ms)
        upstream = state.upstreams.by_id.get(notice.vm_id)
        if upstream is not None and upstream.incarnation == notice.incarnation:
            upstream.reclaim_at_ms = event.now_ms + notice.remaining_ms
    sent_ms = event.now_ms if event.sent_ms is None else event.sent_ms
    _record_leaving_update(state, sent_ms)
    return []


def on_digest(
    state: entry_state.EntryState,
    event: events.PeerReceived,
    message: messages.Digest,
) -> list[effects.Effect]:
    """Apply the leaving marks and in-flight counts of a peer."""
    for mark in message.leaving:
        mark_leaving(state, mark.upstream_id, mark.incarnation, event.now_ms)
    # Right after a pause, a digest may have been buffered during it.
    if event.now_ms >= state.configuration.ignore_contacts_until_ms:
        _record_leaving_update(state, event.now_ms)
    for load in message.loads:
        upstream = state.upstreams.by_id.get(load.upstream_id)
        if upstream is not None:
            count = (load.in_flight, event.now_ms)
            upstream.peers_in_flight[message.entry.vm_id] = count
    return []


def on_load_reported(
    state: entry_state.EntryState, event: events.LoadReported
) -> list[effects.Effect]:
    """Store a load report unless a newer one is known."""
    upstream = state.upstreams.by_id.get(event.upstream_id)
    if upstream is None:
        return []
    upstream.poll_pending = False
    upstream.poll_failed = False
    report = event.report
    if report.incarnation < upstream.incarnation:
        state.counters.increment("load_reports_ignored", "old_incarnation")
        return []
    reported_ms = event.now_ms - max(0, report.age_ms)
    if report.incarnation > upstream.incarnation:
        _reset_for_incarnation(state, upstream, report.incarnation)
    elif upstream.report is not None and reported_ms < upstream.reported_ms:
        state.counters.increment("load_reports_ignored", "crossed")
        return []
    upstream.report = report
    upstream.reported_ms = reported_ms
    _drop_reported(upstream, reported_ms)
    latency_model(state, upstream).observe_step(report.running, report.step_ms)
    if report.leaving:
        mark_leaving(
            state, upstream.upstream_id, report.incarnation, event.now_ms
        )
    return []


def on_load_poll_failed(
    state: entry_state.EntryState, event: events.LoadPollFailed
) -> list[effects.Effect]:
    """Poll again at once over a new connection after a first timeout.

    A connection can stall while the upstream is healthy, so a single timeout
    is no evidence against the upstream.
    """
    upstream = state.upstreams.by_id.get(event.upstream_id)
    if upstream is None:
        return []
    upstream.poll_pending = False
    if event.timed_out and not upstream.poll_failed:
        upstream.next_poll_ms = event.now_ms
        state.counters.increment("load_polls_failed", "timed_out")
    upstream.poll_failed = True
    return []


def on_tick(
    state: entry_state.EntryState, event: events.Tick
) -> list[effects.Effect]:
    """Request the load reports and reclaim notices that are due."""
    upstreams = state.upstreams
    now_ms = event.now_ms
    result: list[effects.Effect] = []
    if now_ms >= upstreams.next_notices_ms:
        upstreams.next_notices_ms = now_ms + NOTICE_PERIOD_MS
        upstreams.entry_count = membership.entry_count(state)
        result.append(effects.ListNotices())
    for upstream in upstreams.by_id.values():
        if now_ms < upstream.next_poll_ms or not upstream.in_subset:
            continue
        if (
            upstream.poll_pending
            and now_ms < upstream.polled_ms + POLL_ANSWER_TIMEOUT_MS
        ):
            continue
        upstream.poll_pending = True
        upstream.polled_ms = now_ms
        upstream.next_poll_ms = now_ms + upstreams.poll_period_ms
        upstream.poll_count += 1
        result.append(
            effects.PollLoad(
                upstream.upstream_id,
                upstream.address,
                _kind(state, upstream.service),
                upstream.cache_sequence,
                POLL_TIMEOUT_MS,
                upstream.poll_failed,
                upstream.poll_count % LOAD_POLLS_PER_CACHE_POLL == 1,
            )
        )
    return result


def on_dispatched(
    state: entry_state.EntryState,
    upstream: Upstream,
    request: requests.Request,
    now_ms: int,
) -> None:
    """Record an attempt that is about to be sent."""
    assert request.attempt is not None
    expected = request.prompt_tokens + request.max_tokens
    upstream.attempts[request.attempt.attempt_id] = expected
    upstream.sent.append((now_ms, request.prompt_tokens))
    prefixes.on_dispatched(state, upstream.upstream_id, request, now_ms)


def on_attempt_ended(
    state: entry_state.EntryState,
    attempt: requests.Attempt,
    request: requests.Request,
    failure: events.AttemptFailure | None,
    now_ms: int,
) -> None:
    """Record the end of an attempt and update the upstream by its result."""
    upstream = state.upstreams.by_id.get(attempt.upstream_id)
    if upstream is None:
        return
    if upstream.attempts.pop(attempt.attempt_id, None) is None:
        # The attempt went to an earlier incarnation.
        return
    upstream.ended_ms.append(now_ms)
    if failure is None:
        _observe_duration(state, upstream, attempt, request, now_ms)
    if failure is events.AttemptFailure.UPSTREAM_OVERLOADED:
        upstream.overloaded_ms = now_ms
    if failure is events.AttemptFailure.UPSTREAM_LEAVING:
        mark_leaving(state, upstream.upstream_id, upstream.incarnation, now_ms)
    if failure is events.AttemptFailure.CONNECT_FAILED:
        _expire_report(upstream, now_ms)


def streams(
    state: entry_state.EntryState, upstream: Upstream, now_ms: int
) -> float:
    """Estimate the current streams at an upstream, running and waiting.

    The last report is corrected by the attempts sent and ended since. The
    entries that share the upstream get equal parts of the load from the load
    balancer and see the same reports, so each is assumed to have sent and
    ended as many. The result is never below the attempts that this entry and
    its peers have in flight.
    """
    assert upstream.report is not None
    reported = upstream.report.running + upstream.report.waiting
    in_flight = len(upstream.attempts)
    for count, digest_ms in upstream.peers_in_flight.values():
        if now_ms - digest_ms <= PEER_COUNT_MAX_AGE_MS:
            in_flight += count
    net_sent = len(upstream.sent) - len(upstream.ended_ms)
    return max(
        reported + net_sent * entries_per_upstream(state, upstream.service),
        in_flight,
    )


def entries_per_upstream(state: entry_state.EntryState, service: str) -> float:
    """Estimate how many entries send work to one upstream of a service."""
    upstreams = state.upstreams
    total = max(upstreams.listed_counts.get(service, 0), 1)
    return max(
        1.0, upstreams.entry_count * min(1.0, upstreams.subset_size / total)
    )


def latency_model(
    state: entry_state.EntryState, upstream: Upstream
) -> pacing.LatencyModel:
    """Return the latency model of an upstream's service and VM class."""
    key = (upstream.service, upstream.vm_class)
    return state.upstreams.latency_models.setdefault(key, pacing.LatencyModel())


def _record_leaving_update(state: entry_state.EntryState, at_ms: int) -> None:
    upstreams = state.upstreams
    upstreams.leaving_updated_ms = max(upstreams.leaving_updated_ms, at_ms)


def _expire_report(upstream: Upstream, now_ms: int) -> None:
    """Stop new work until the upstream reports again, and poll it at once.

    Otherwise the last report of a failed upstream would stay valid for
    seconds, and every attempt of a request could be wasted on it.
    """
    oldest_ms = now_ms - REPORT_MAX_AGE_MS - 1
    upstream.reported_ms = min(upstream.reported_ms, oldest_ms)
    upstream.next_poll_ms = now_ms


def _observe_duration(
    state: entry_state.EntryState,
    upstream: Upstream,
    attempt: requests.Attempt,
    request: requests.Request,
    now_ms: int,
) -> None:
    if request.verdict is not verdict.Verdict.RAN:
        return
    latency = latency_model(state, upstream)
    duration_ms = now_ms - attempt.started_ms
    if request.service.kind is deployment.ServiceKind.PLAIN:
        latency.observe_service(duration_ms)
        return
    if request.attempt_count == 1:
        latency.observe_run(duration_ms, queues.cost(request))


def _drop_reported(upstream: Upstream, reported_ms: int) -> None:
    while upstream.sent and upstream.sent[0][0] <= reported_ms:
        upstream.sent.popleft()
    while upstream.ended_ms and upstream.ended_ms[0] <= reported_ms:
        upstream.ended_ms.popleft()


def _reset_for_incarnation(
    state: entry_state.EntryState, upstream: Upstream, incarnation: int
) -> None:
    """Reset the state for a new process on the same VM."""
    upstream.incarnation = incarnation
    upstream.reclaim_at_ms = None
    marks = state.upstreams.leaving
    upstream.leaving = (upstream.upstream_id, incarnation) in marks
    upstream.report = None
    upstream.overloaded_ms = -1
    upstream.cache_sequence = 0
    upstream.attempts.clear()
    upstream.sent.clear()
    upstream.ended_ms.clear()
    upstream.peers_in_flight.clear()
    prefixes.drop(state, upstream.upstream_id)


def _choose_subset(
    state: entry_state.EntryState,
    service: str,
    rows: list[events.VmRow],
    entries: subsets.Entries,
) -> None:
    upstreams = state.upstreams
    local: list[events.VmRow] = []
    remote: list[events.VmRow] = []
    data_center = membership.data_center(state, state.zone)
    for row in rows:
        if (row.vm_id, row.incarnation) in upstreams.leaving:
            existing = upstreams.by_id.get(row.vm_id)
            if existing is not None and existing.incarnation <= row.incarnation:
                existing.leaving = True
            continue
        is_local = membership.data_center(state, row.zone) == data_center
        (local if is_local else remote).append(row)
    size = upstreams.subset_size
    local = entries.window(local, size + MAX_SPARES, local=True)
    remote = entries.window(remote, size + MAX_SPARES, local=False)
    chosen = (local + remote)[:size]
    local_spares = local[size:]
    remote_spares = remote[max(0, size - len(local)) :]
    half = MAX_SPARES // 2
    upstreams.spares[service] = local_spares[:half] + remote_spares[:half]
    chosen_ids = {row.vm_id for row in chosen}
    for upstream in upstreams.by_service.get(service, {}).values():
        # Unlisted upstreams stay, since the list may lag behind a new one.
        # Leaving ones stay, since their KV cache is exported while they
        # report.
        upstream.in_subset = (
            upstream.upstream_id in chosen_ids
            or upstream.leaving
            or not upstream.listed
        )
    for row in chosen:
        _add_to_subset(state, row)


def _poll_period_ms(state: entry_state.EntryState) -> int:
    polled = 0
    for upstream in state.upstreams.by_id.values():
        polled += upstream.in_subset
    period_ms = polled * 1_000 // POLLS_PER_S
    return min(max(period_ms, MIN_POLL_PERIOD_MS), MAX_POLL_PERIOD_MS)


def _promote_spare(state: entry_state.EntryState, service: str) -> None:
    upstreams = state.upstreams
    spares = upstreams.spares.get(service, [])
    while spares:
        row = spares.pop(0)
        if (row.vm_id, row.incarnation) not in upstreams.leaving:
            _add_to_subset(state, row)
            return


def _add_to_subset(state: entry_state.EntryState, row: events.VmRow) -> None:
    upstreams = state.upstreams
    existing = upstreams.by_id.get(row.vm_id)
    if existing is not None and existing.incarnation >= row.incarnation:
        existing.in_subset = True
        return
    if existing is not None:
        prefixes.drop(state, row.vm_id)
        upstreams.by_service[existing.service].pop(row.vm_id, None)
    upstream = Upstream(
        row.vm_id,
        row.incarnation,
        row.service,
        row.zone,
        row.vm_class,
        row.address,
    )
    upstream.leaving = (row.vm_id, row.incarnation) in upstreams.leaving
    upstreams.by_id[row.vm_id] = upstream
    _set_prefill_rate(state, upstream)
    upstreams.by_service.setdefault(row.service, {})[row.vm_id] = upstream


def _set_prefill_rate(
    state: entry_state.EntryState, upstream: Upstream
) -> None:
    current = state.configuration.current
    if current is None:
        return
    for placement in current.deployment.placements:
        if placement.service != upstream.service:
            continue
        if placement.vm_class == upstream.vm_class:
            rate = float(placement.prefill_tokens_per_s)
            latency_model(state, upstream).prefill_tokens_per_s = rate
            return


def _remove_expired(state: entry_state.EntryState, now_ms: int) -> None:
    upstreams = state.upstreams
    for upstream in list(upstreams.by_id.values()):
        if upstream.attempts:
            continue
        if upstream.listed and upstream.in_subset and not upstream.leaving:
            continue
        if now_ms - upstream.reported_ms < UNLISTED_TIMEOUT_MS:
            continue
        del upstreams.by_id[upstream.upstream_id]
        upstreams.by_service[upstream.service].pop(upstream.upstream_id, None)
        prefixes.drop(state, upstream.upstream_id)


def _trim_leaving_marks(state: entry_state.EntryState, now_ms: int) -> None:
    """Drop the oldest leaving marks that are no longer needed.

    Marks are in the order in which they were added, except that needed ones
    move to the end while there are too many. Each call examines two marks, so
    that marks are removed at least as fast as they are added.
    """
    upstreams = state.upstreams
    for _ in range(2):
        oldest = next(iter(upstreams.leaving))
        marked_ms = upstreams.leaving[oldest]
        needed = oldest[0] in upstreams.listed or oldest[0] in upstreams.by_id
        if not needed and now_ms - marked_ms > LEAVING_MARK_RETENTION_MS:
            del upstreams.leaving[oldest]
            continue
        if len(upstreams.leaving) <= MAX_LEAVING_MARKS:
            return
        del upstreams.leaving[oldest]
        if needed:
            upstreams.leaving[oldest] = marked_ms
            continue
        state.counters.increment("leaving_marks_dropped")


def _model(state: entry_state.EntryState, service_name: str) -> str | None:
    """Return the model that a service's engines must have; None for plain."""
    current = state.configuration.current
    if current is None:
        return None
    service = current.deployment.services.get(service_name)
    if service is None or service.kind is deployment.ServiceKind.PLAIN:
        return None
    return service.model


def _kind(
    state: entry_state.EntryState, service_name: str
) -> deployment.ServiceKind:
    current = state.configuration.current
    if current is None:
        return deployment.ServiceKind.PLAIN
    service = current.deployment.services.get(service_name)
    return deployment.ServiceKind.PLAIN if service is None else service.kind
