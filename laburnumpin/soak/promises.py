"""Observations of a soak and the guarantees that are checked on them."""

from __future__ import annotations

import bisect
import dataclasses
import enum
import itertools

from laburnumpin.platform import standins

# Wait at the end of a soak, for the arrival of requests that an entry forwarded
# before it rejected them.
LATE_ARRIVAL_WAIT_MS = 1_500
# Time after a fault in which bounds on delays do not apply.
FAULT_RECOVERY_MS = 4_000
# Time after a silence in which entries have to notice it.
CONTACT_MS = 3_000
# Time within which entries stop sending to a leaving upstream.
DRAIN_BOUND_MS = 2_000
# Time within which a new configuration is in force.
CONFIGURATION_BOUND_MS = 2_000
# Time within which all entries serve again after all were killed.
RESTART_BOUND_S = 15.0
# Prefix of the request ids of the customer with a quota.
LIMITED_ID_PREFIX = "limited"
# Window in which the executions for that customer are counted.
QUOTA_WINDOW_MS = 8_000
# Share by which the customer may exceed its quota.
QUOTA_OVERAGE_SHARE = 0.1
# Slack of the quota, in seconds of its rate; as in the deployments.
QUOTA_SLACK_S = 4.0
# Retry budget, as in `standins.settings_text`.
RETRY_WINDOW_MS = 10_000
RETRY_RATIO = 0.2
RETRY_SLACK = 20
# Prefixes of the faults that do not keep an entry from reading the store.
FAULTS_OUTSIDE_STORE = ("runner", "service", "clock")
# Faults that don't keep entries from telling each other what a runner said.
FAULTS_OF_STORE = ("store", "entry_store", "service", "clock", "runner_crash")
# Prefix of the ids of requests that end the runners that answer them. From this
# time after as many ends, only so many of them may reach runners.
CRASHING_ID_PREFIX = "crash"
CRASH_BOUND_ENDS = 5
CRASH_BOUND_MS = 3_000
CRASH_BOUND_ARRIVALS = 3
# Prefix of the ids of requests that stand in the bodies of others.
SMUGGLED_ID_PREFIX = "smuggled"
# From this time after a runner has named a limit, it gets in any window at most
# a multiple of what the limit allows, and some requests.
LIMIT_BOUND_MS = 3_000
LIMIT_WINDOW_MS = 4_000
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
# From this time after a runner has asked an entry for a back-off, it gets at
# most so many requests from it until the end.
BACKOFF_BOUND_MS = 500
BACKOFF_ARRIVALS = 2
# Prefixes of the faults that do not keep entries from learning of each other.
FAULTS_OUTSIDE_ENTRIES = ("runner", "service", "clock", "store", "reload")
# Tolerance for delays of the machine that runs the soak.
DELAY_TOLERANCE_MS = 1_500


class RequestKind(enum.Enum):
    """Kinds of requests; the values are the names of their routes."""

    CALL = "calls"
    READ = "reads"
    DRAFT = "drafts"
    NOTE = "notes"

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may be executed more than once."""
        return self in (RequestKind.READ, RequestKind.NOTE)

    @property
    def service(self) -> str:
        """Return the service that the requests' route leads to."""
        return "engines" if self.is_stream else "desk"

    @property
    def is_stream(self) -> bool:
        """Return whether the response is a stream of events."""
        return self in (RequestKind.DRAFT, RequestKind.NOTE)


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """One request and its response, as the caller observed them.

    `status` is 0 if none arrived; `complete` is true if the response ended
    without an error. `is_open_ended` is whether it had neither a length nor
    chunks.
    """

    request_id: str
    kind: RequestKind
    entry: str
    sent_ms: int
    ended_ms: int
    status: int
    complete: bool
    body: bytes
    is_open_ended: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FaultSpan:
    """The time of a fault or of a planned change.

    Some guarantees apply only outside of these spans. Planned are the exit and
    the reload of an entry and the replacement of a runner; `name` is then that
    of an entry, and otherwise that of the fault.
    """

    name: str
    start_ms: int
    end_ms: int
    planned: bool


@dataclasses.dataclass(slots=True, frozen=True)
class LimitSpan:
    """The time in which a runner named a limit on the requests of all."""

    runner_id: str
    limit_per_s: float
    start_ms: int
    end_ms: int


class History:
    """Everything that was observed during a soak."""

    __slots__ = (
        "arrivals",
        "crashes_ms",
        "cut_off_runner_ids",
        "cut_short_ids",
        "executions",
        "fault_spans",
        "leaving_since_ms",
        "limit_spans",
        "open_ended_ids",
        "outcomes",
        "refusals",
        "removed_since_ms",
        "said_leaving_ms",
        "stopped_ids",
        "versions_in_force",
        "versions_not_in_force",
        "violations",
        "written_ms",
    )

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []
        self.executions: list[standins.Execution] = []
        # Requests that reached a runner, whether they were executed or not.
        self.arrivals: list[standins.Arrival] = []
        # Runners whose connections a fault of the network may have closed.
        self.cut_off_runner_ids: set[str] = set()
        # Times at which a runner ended under a request.
        self.crashes_ms: list[int] = []
        self.limit_spans: list[LimitSpan] = []
        # Ids of the requests that a runner answered with neither a length nor
        # chunks, perhaps not to the end.
        self.open_ended_ids: set[str] = set()
        # Those of them that ended early, and the requests whose stream a runner
        # stopped for a move.
        self.cut_short_ids: set[str] = set()
        self.stopped_ids: set[str] = set()
        # Requests that runners turned away, asking for a back-off.
        self.refusals: list[standins.Refusal] = []
        # Violations that were found while the soak ran.
        self.violations: list[str] = []
        self.fault_spans: list[FaultSpan] = []
        # Time at which each runner was registered as leaving.
        self.leaving_since_ms: dict[str, int] = {}
        # Time at which the row of each runner that had not said that it leaves
        # was removed.
        self.removed_since_ms: dict[str, int] = {}
        # Time at which each runner first answered that it leaves.
        self.said_leaving_ms: dict[str, int] = {}
        # Versions that probes found in force:
        # (entry, incarnation, sent_ms, version).
        self.versions_in_force: list[tuple[str, int, int, int]] = []
        # Versions that probes found not in force: (entry, sent_ms, version).
        self.versions_not_in_force: list[tuple[str, int, int]] = []
        # Time at which the operator's write of each version was acknowledged.
        self.written_ms: dict[int, int] = {}

    def is_fault_free(
        self,
        start_ms: int,
        end_ms: int,
        *,
        allow_planned: bool,
        allowed_prefixes: tuple[str, ...] = (),
    ) -> bool:
        """Return whether no fault affects a span of time.

        A fault also affects the `FAULT_RECOVERY_MS` after its end. Faults whose
        names begin with one of `allowed_prefixes` are ignored and, with
        `allow_planned`, planned changes.
        """
        for span in self.fault_spans:
            if allow_planned and span.planned:
                continue
            if span.name.startswith(allowed_prefixes):
                continue
            if (
                span.start_ms <= end_ms
                and start_ms - FAULT_RECOVERY_MS <= span.end_ms
            ):
                return False
        return True


def find_violations(history: History, store: standins.Store) -> list[str]:
    """Return the violations of all guarantees, one line each."""
    lines = list(history.violations)
    executions: dict[str, list[standins.Execution]] = {}
    for execution in history.executions:
        executions.setdefault(execution.request_id, []).append(execution)
    for outcome in history.outcomes:
        request_executions = executions.get(outcome.request_id, [])
        lines.extend(_check_request(history, outcome, request_executions))
    lines.extend(
        _check_leaving(history, history.leaving_since_ms, FAULTS_OUTSIDE_STORE)
    )
    lines.extend(
        _check_leaving(history, history.said_leaving_ms, FAULTS_OF_STORE)
    )
    # A process that starts after the removal does not know of it.
    lines.extend(
        _check_leaving(
            history,
            history.removed_since_ms,
            FAULTS_OUTSIDE_STORE,
            allow_planned=False,
        )
    )
    lines.extend(_check_configuration_order(history))
    lines.extend(_check_configuration_delay(history))
    lines.extend(_check_duties(store))
    lines.extend(_check_quotas(history))
    lines.extend(_check_retries(history))
    lines.extend(_check_crashing_requests(history))
    lines.extend(_check_limits(history))
    lines.extend(_check_backoffs(history))
    lines.extend(_check_smuggled(history))
    return lines


def _check_request(
    history: History, outcome: Outcome, executions: list[standins.Execution]
) -> list[str]:
    lines = []
    name = f"{outcome.kind.value} {outcome.request_id} at {outcome.entry}"
    fresh_executions = [
        execution for execution in executions if execution.first_event == 1
    ]
    if not outcome.kind.may_repeat and len(fresh_executions) > 1:
        lines.append(f"{name}: ran {len(executions)} times")
    if outcome.status in (429, 503, 408, 421) and executions:
        if not outcome.kind.may_repeat:
            lines.append(f"{name}: answered {outcome.status}, but ran")
    if outcome.status == 200 and outcome.complete:
        runner_ids = {execution.runner_id for execution in executions}
        lines.extend(_check_end(history, outcome, name, runner_ids))
    if outcome.status == 200 and not outcome.complete:
        if outcome.kind.is_stream:
            if not _expected_body(outcome).startswith(outcome.body):
                lines.append(f"{name}: incomplete response has wrong events")
    had_planned_exit = any(
        span.planned and span.name == outcome.entry
        for span in history.fault_spans
        if span.start_ms <= outcome.ended_ms
    )
    if had_planned_exit and executions and not outcome.complete:
        if history.is_fault_free(
            outcome.sent_ms, outcome.ended_ms, allow_planned=True
        ):
            lines.append(f"{name}: connection closed by a planned exit")
    return lines


def _check_end(
    history: History, outcome: Outcome, name: str, runner_ids: set[str]
) -> list[str]:
    """Check a response that ended without an error.

    Only one without length or chunks may be short: if the answer of a runner
    was, or a fault of the network has closed its connection. `runner_ids` are
    the runners that executed the request.
    """
    expected = _expected_body(outcome)
    if not outcome.is_open_ended:
        if outcome.body != expected:
            return [f"{name}: complete response has a wrong body"]
        return []
    lines = []
    if outcome.request_id not in history.open_ended_ids:
        lines.append(f"{name}: lost the length of its answer")
    if not outcome.body or not expected.startswith(outcome.body):
        lines.append(f"{name}: response without length has a wrong body")
    if outcome.body == expected or outcome.request_id in history.cut_short_ids:
        return lines
    if outcome.request_id in history.stopped_ids:
        lines.append(f"{name}: response ends where its stream was stopped")
    elif not runner_ids & history.cut_off_runner_ids:
        lines.append(f"{name}: response ends where its runner ended")
    return lines


def _expected_body(outcome: Outcome) -> bytes:
    if not outcome.kind.is_stream:
        return standins.answer_body(outcome.request_id)
    events = []
    for number in range(1, standins.event_count(outcome.request_id) + 1):
        events.append(standins.event(outcome.request_id, number))
    return b"".join(events)


def _check_leaving(
    history: History,
    since_ms: dict[str, int],
    allowed_prefixes: tuple[str, ...],
    *,
    allow_planned: bool = True,
) -> list[str]:
    """Check that runners get nothing new some time after they leave.

    `since_ms` is when that was known, by runner; faults with one of the
    prefixes excuse nothing.
    """
    lines = []
    for execution in history.executions:
        leaving_since_ms = since_ms.get(execution.runner_id)
        if leaving_since_ms is None or execution.first_event > 1:
            continue
        late_ms = execution.at_ms - leaving_since_ms - DRAIN_BOUND_MS
        fault_free = history.is_fault_free(
            leaving_since_ms,
            execution.at_ms,
            allow_planned=allow_planned,
            allowed_prefixes=allowed_prefixes,
        )
        if late_ms > DELAY_TOLERANCE_MS and fault_free:
            lines.append(
                f"{execution.request_id}: sent to leaving "
                f"{execution.runner_id}, {late_ms} ms late"
            )
    return lines


def _check_configuration_order(history: History) -> list[str]:
    lines = []
    highest: dict[tuple[str, int], tuple[int, int]] = {}
    for entry, incarnation, sent_ms, version in history.versions_in_force:
        key = (entry, incarnation)
        seen_ms, newest_seen = highest.get(key, (0, 0))
        if version < newest_seen and sent_ms > seen_ms + DELAY_TOLERANCE_MS:
            lines.append(
                f"{entry}: configuration {version} in force after {newest_seen}"
            )
        if version > newest_seen:
            highest[key] = (sent_ms, version)
    return lines


def _check_configuration_delay(history: History) -> list[str]:
    lines = []
    versions = sorted(history.written_ms)
    next_version = dict(itertools.pairwise(versions))
    for entry, sent_ms, version in history.versions_not_in_force:
        late_ms = sent_ms - history.written_ms[version] - CONFIGURATION_BOUND_MS
        replaced_ms = history.written_ms.get(next_version.get(version, 0))
        if (
            replaced_ms is not None
            and replaced_ms <= sent_ms + DELAY_TOLERANCE_MS
        ):
            continue
        fault_free = history.is_fault_free(
            sent_ms,
            sent_ms,
            allow_planned=False,
            allowed_prefixes=FAULTS_OUTSIDE_STORE,
        )
        if late_ms > DELAY_TOLERANCE_MS and fault_free:
            lines.append(
                f"{entry}: configuration {version} not in force, "
                f"{late_ms} ms late"
            )
    return lines


def _check_duties(store: standins.Store) -> list[str]:
    lines = []
    for token, holders in store.holders_by_token.items():
        if len(holders) > 1:
            lines.append(f"fencing token {token}: holders {sorted(holders)}")
    by_window: dict[int, dict[str, int]] = {}
    for report in store.reports:
        counts = by_window.setdefault(report.window, report.counts)
        if counts != report.counts:
            lines.append(f"window {report.window}: two different reports")
    return lines


def _check_quotas(history: History) -> list[str]:
    times_ms = []
    for execution in history.executions:
        if execution.request_id.startswith(LIMITED_ID_PREFIX):
            times_ms.append(execution.at_ms)
    times_ms.sort()
    rate = standins.LIMITED_RATE_PER_S
    max_allowed = rate * QUOTA_WINDOW_MS / 1_000 + standins.LIMITED_BURST
    max_allowed = max_allowed * (1 + QUOTA_OVERAGE_SHARE) + rate * QUOTA_SLACK_S
    counts = [
        _count_in_span(times_ms, end - QUOTA_WINDOW_MS, end) for end in times_ms
    ]
    max_count = max(counts, default=0)
    if max_count <= max_allowed:
        return []
    return [
        f"quota: {max_count} executions in a window, {max_allowed:.0f} allowed"
    ]


def _check_retries(history: History) -> list[str]:
    lines = []
    by_service: dict[str, list[standins.Arrival]] = {}
    for arrival in history.arrivals:
        by_service.setdefault(arrival.service, []).append(arrival)
    for service, arrivals in by_service.items():
        # The platform counts requests whether they arrive or not; while runners
        # are down, many don't.
        first_ms: list[int] = []
        sent_ids: set[str] = set()
        for outcome in history.outcomes:
            if outcome.kind.service == service:
                first_ms.append(outcome.sent_ms)
                sent_ids.add(outcome.request_id)
        retried_ms: list[int] = []
        seen: set[str] = set()
        for arrival in sorted(arrivals, key=lambda a: a.at_ms):
            if arrival.request_id in seen:
                retried_ms.append(arrival.at_ms)
                continue
            seen.add(arrival.request_id)
            if arrival.request_id not in sent_ids:
                first_ms.append(arrival.at_ms)
        first_ms.sort()
        for end_ms in retried_ms:
            window_ms = RETRY_WINDOW_MS
            count = _count_in_span(retried_ms, end_ms - window_ms, end_ms)
            requests = 0
            # The platform counts the requests of three windows and takes the
            # largest count.
            for back_ms in (0, window_ms // 2, window_ms):
                until_ms = end_ms - back_ms
                requests = max(
                    requests,
                    _count_in_span(first_ms, until_ms - window_ms, until_ms),
                )
            max_allowed = requests * RETRY_RATIO + RETRY_SLACK
            if count > max_allowed:
                lines.append(
                    f"{service}: {count} retries in a window, "
                    f"{max_allowed:.0f} allowed"
                )
                break
    return lines


def _check_crashing_requests(history: History) -> list[str]:
    if len(history.crashes_ms) < CRASH_BOUND_ENDS:
        return []
    since_ms = sorted(history.crashes_ms)[CRASH_BOUND_ENDS - 1] + CRASH_BOUND_MS
    late_ids = []
    for arrival in history.arrivals:
        if not arrival.request_id.startswith(CRASHING_ID_PREFIX):
            continue
        late_ms = arrival.at_ms - since_ms
        if late_ms > DELAY_TOLERANCE_MS and history.is_fault_free(
            since_ms,
            arrival.at_ms,
            allow_planned=True,
            allowed_prefixes=FAULTS_OUTSIDE_ENTRIES,
        ):
            late_ids.append(arrival.request_id)
    if len(late_ids) <= CRASH_BOUND_ARRIVALS:
        return []
    return [
        f"{len(late_ids)} requests that end runners reached them after "
        f"{len(history.crashes_ms)} ends: {', '.join(late_ids[:5])}"
    ]


def _check_smuggled(history: History) -> list[str]:
    """Check that no request runs that stands in the body of another one."""
    return [
        f"{arrival.request_id}: reached {arrival.runner_id}"
        for arrival in history.arrivals
        if arrival.request_id.startswith(SMUGGLED_ID_PREFIX)
    ]


def _check_limits(history: History) -> list[str]:
    lines = []
    for span in history.limit_spans:
        since_ms = span.start_ms + LIMIT_BOUND_MS
        times_ms = []
        for arrival in history.arrivals:
            if arrival.runner_id != span.runner_id:
                continue
            if since_ms <= arrival.at_ms <= span.end_ms:
                times_ms.append(arrival.at_ms)
        times_ms.sort()
        max_allowed = LIMIT_FACTOR * span.limit_per_s * LIMIT_WINDOW_MS / 1_000
        max_allowed += LIMIT_EXTRA
        for end_ms in times_ms:
            start_ms = end_ms - LIMIT_WINDOW_MS
            count = _count_in_span(times_ms, start_ms, end_ms)
            if count > max_allowed and history.is_fault_free(
                max(since_ms, start_ms),
                end_ms,
                allow_planned=False,
                allowed_prefixes=FAULTS_OUTSIDE_ENTRIES,
            ):
                lines.append(
                    f"{span.runner_id}: {count} requests in a window with a "
                    f"limit of {span.limit_per_s} a second"
                )
                break
    return lines


def _check_backoffs(history: History) -> list[str]:
    """Check that entries send little to runners that asked for a back-off.

    Only what happens to the entry itself excuses it, a restart or a pause.
    """
    entries = {o.request_id: o.entry for o in history.outcomes}
    arrivals_ms: dict[tuple[str, str], list[int]] = {}
    for arrival in history.arrivals:
        entry = entries.get(arrival.request_id, "")
        key = (entry, arrival.runner_id)
        arrivals_ms.setdefault(key, []).append(arrival.at_ms)
    lines = []
    for refusal in history.refusals:
        entry = entries.get(refusal.request_id, "")
        after_ms = refusal.at_ms + BACKOFF_BOUND_MS
        times_ms = arrivals_ms.get((entry, refusal.runner_id), [])
        count = sum(after_ms < at < refusal.until_ms for at in times_ms)
        if not entry or count <= BACKOFF_ARRIVALS:
            continue
        if history.is_fault_free(
            refusal.at_ms,
            refusal.until_ms,
            allow_planned=False,
            allowed_prefixes=FAULTS_OUTSIDE_ENTRIES,
        ):
            lines.append(
                f"{entry}: {count} requests to {refusal.runner_id}, which had "
                f"asked it for a back-off"
            )
    return lines


def _count_in_span(ordered_ms: list[int], after_ms: int, until_ms: int) -> int:
    """Return how many times are after `after_ms`, up to `until_ms`."""
    end = bisect.bisect_right(ordered_ms, until_ms)
    return end - bisect.bisect_right(ordered_ms, after_ms)
