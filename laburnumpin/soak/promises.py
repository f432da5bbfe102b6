"""What callers and upstreams saw, and the promises that must hold of it."""

from __future__ import annotations

import bisect
import dataclasses
import enum
import itertools

from laburnumpin.platform import standins

# Time for a request that was sent on before its rejection to show up.
SETTLE_MS = 1_500
# Time without faults after which bounds in time hold.
CALM_MS = 4_000
DRAIN_MS = 2_000
CONFIG_MS = 2_000
RECOVER_S = 15.0
# The bounds of the settings and of the customer that has a quota.
LIMITED = "limited"
QUOTA_WINDOW_MS = 8_000
QUOTA_OVERAGE = 0.1
# Slack of the quota in seconds of its rate, as the deployments have it.
QUOTA_SLACK_S = 4.0
REPEAT_WINDOW_MS = 10_000
REPEAT_RATIO = 0.2
REPEAT_SLACK = 20
# Faults that do not keep an entry from what the store says.
NOT_OF_STORE = ("runner", "service", "clock")
# Room for the machine that plays the soak.
SLACK_MS = 1_500


class Kind(enum.Enum):
    """Kinds of requests, named as the routes that they take."""

    CALL = "calls"
    READ = "reads"
    DRAFT = "drafts"
    NOTE = "notes"

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may run more than once."""
        return self in (Kind.READ, Kind.NOTE)

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self in (Kind.DRAFT, Kind.NOTE)


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """One request as its caller saw it; `status` 0 where none came.

    `complete` tells whether the answer ended in order.
    """

    request_id: str
    kind: Kind
    entry: str
    sent_ms: int
    ended_ms: int
    status: int
    complete: bool
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """A fault or a planned exit, for the checks that hold only without."""

    name: str
    start_ms: int
    end_ms: int
    planned: bool


class History:
    """All that was seen during a soak."""

    __slots__ = (
        "arrivals",
        "configs",
        "found",
        "leaving",
        "missing",
        "outcomes",
        "runs",
        "spans",
        "written",
    )

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []
        self.runs: list[standins.Execution] = []
        # Requests that reached a runner, whether they ran or not.
        self.arrivals: list[standins.Arrival] = []
        # Promises that were seen broken while the soak ran.
        self.found: list[str] = []
        self.spans: list[Span] = []
        # When each runner was registered as leaving.
        self.leaving: dict[str, int] = {}
        # Version that each entry's incarnation showed, with the time of the
        # probe's sending: (entry, incarnation, sent_ms, version).
        self.configs: list[tuple[str, int, int, int]] = []
        # Probes of a version that was not in force: entry, time, version.
        self.missing: list[tuple[str, int, int]] = []
        # When the operator's write of each version was acknowledged.
        self.written: dict[int, int] = {}

    def calm(
        self,
        start_ms: int,
        end_ms: int,
        *,
        planned: bool,
        allowed: tuple[str, ...] = (),
    ) -> bool:
        """Return whether no fault touches a span.

        With `planned` planned exits are allowed, and faults whose names begin
        with one of `allowed`.
        """
        for span in self.spans:
            if planned and span.planned:
                continue
            if span.name.startswith(allowed):
                continue
            if span.start_ms <= end_ms and start_ms - CALM_MS <= span.end_ms:
                return False
        return True


def broken(history: History, store: standins.Store) -> list[str]:
    """Return the broken promises, one line each."""
    lines = list(history.found)
    runs: dict[str, list[standins.Execution]] = {}
    for run in history.runs:
        runs.setdefault(run.request_id, []).append(run)
    for outcome in history.outcomes:
        own = runs.get(outcome.request_id, [])
        lines.extend(_of_request(history, outcome, own))
    lines.extend(_of_leaving(history))
    lines.extend(_of_configurations(history))
    lines.extend(_of_late_configurations(history))
    lines.extend(_of_duties(store))
    lines.extend(_of_quotas(history))
    lines.extend(_of_repeats(history))
    return lines


def _of_request(
    history: History, outcome: Outcome, runs: list[standins.Execution]
) -> list[str]:
    lines = []
    name = f"{outcome.kind.value} {outcome.request_id} at {outcome.entry}"
    begun = [run for run in runs if run.first_event == 1]
    if not outcome.kind.may_repeat and len(begun) > 1:
        lines.append(f"{name}: ran {len(runs)} times")
    if outcome.status in (429, 503, 408, 421) and runs:
        if not outcome.kind.may_repeat:
            lines.append(f"{name}: answered {outcome.status}, and ran")
    if outcome.status == 200 and outcome.complete:
        if outcome.body != _expected(outcome):
            lines.append(f"{name}: complete with a wrong body")
    if outcome.status == 200 and not outcome.complete:
        if outcome.kind.is_stream:
            if not _expected(outcome).startswith(outcome.body):
                lines.append(f"{name}: cut with wrong events")
    exits = any(
        span.planned and span.name == outcome.entry
        for span in history.spans
        if span.start_ms <= outcome.ended_ms
    )
    if exits and runs and not outcome.complete:
        if history.calm(outcome.sent_ms, outcome.ended_ms, planned=True):
            lines.append(f"{name}: cut by a planned exit")
    return lines


def _expected(outcome: Outcome) -> bytes:
    if not outcome.kind.is_stream:
        return standins.answer_body(outcome.request_id)
    events = []
    for number in range(1, standins.event_count(outcome.request_id) + 1):
        events.append(standins.event(outcome.request_id, number))
    return b"".join(events)


def _of_leaving(history: History) -> list[str]:
    lines = []
    for run in history.runs:
        left_ms = history.leaving.get(run.runner_id)
        if left_ms is None or run.first_event > 1:
            continue
        late_ms = run.at_ms - left_ms - DRAIN_MS
        calm = history.calm(
            left_ms, run.at_ms, planned=True, allowed=NOT_OF_STORE
        )
        if late_ms > SLACK_MS and calm:
            lines.append(
                f"{run.request_id}: sent to leaving {run.runner_id}, "
                f"{late_ms} ms late"
            )
    return lines


def _of_configurations(history: History) -> list[str]:
    lines = []
    highest: dict[tuple[str, int], tuple[int, int]] = {}
    for entry, incarnation, sent_ms, version in history.configs:
        key = (entry, incarnation)
        seen_ms, seen = highest.get(key, (0, 0))
        if version < seen and sent_ms > seen_ms + SLACK_MS:
            lines.append(
                f"{entry}: configuration {version} in force after {seen}"
            )
        if version > seen:
            highest[key] = (sent_ms, version)
    return lines


def _of_late_configurations(history: History) -> list[str]:
    lines = []
    newest = sorted(history.written)
    following = dict(itertools.pairwise(newest))
    for entry, sent_ms, version in history.missing:
        late_ms = sent_ms - history.written[version] - CONFIG_MS
        replaced_ms = history.written.get(following.get(version, 0))
        if replaced_ms is not None and replaced_ms <= sent_ms + SLACK_MS:
            continue
        calm = history.calm(
            sent_ms, sent_ms, planned=False, allowed=NOT_OF_STORE
        )
        if late_ms > SLACK_MS and calm:
            lines.append(
                f"{entry}: configuration {version} not in force, "
                f"{late_ms} ms late"
            )
    return lines


def _of_duties(store: standins.Store) -> list[str]:
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


def _of_quotas(history: History) -> list[str]:
    times = []
    for run in history.runs:
        if run.request_id.startswith(LIMITED):
            times.append(run.at_ms)
    times.sort()
    rate = standins.LIMITED_RATE_PER_S
    allowed = rate * QUOTA_WINDOW_MS / 1_000 + standins.LIMITED_BURST
    allowed = allowed * (1 + QUOTA_OVERAGE) + rate * QUOTA_SLACK_S
    counts = [_count(times, end - QUOTA_WINDOW_MS, end) for end in times]
    most = max(counts, default=0)
    if most <= allowed:
        return []
    return [f"quota: {most} runs in a window, {allowed:.0f} allowed"]


def _of_repeats(history: History) -> list[str]:
    lines = []
    by_service: dict[str, list[standins.Arrival]] = {}
    for arrival in history.arrivals:
        by_service.setdefault(arrival.service, []).append(arrival)
    for service, arrivals in by_service.items():
        first: list[int] = []
        repeated: list[int] = []
        seen: set[str] = set()
        for arrival in sorted(arrivals, key=lambda a: a.at_ms):
            if arrival.request_id in seen:
                repeated.append(arrival.at_ms)
                continue
            seen.add(arrival.request_id)
            first.append(arrival.at_ms)
        for end_ms in repeated:
            window = REPEAT_WINDOW_MS
            count = _count(repeated, end_ms - window, end_ms)
            requests = 0
            # The platform takes the best of three windows.
            for back_ms in (0, window // 2, window):
                until_ms = end_ms - back_ms
                requests = max(
                    requests, _count(first, until_ms - window, until_ms)
                )
            allowed = requests * REPEAT_RATIO + REPEAT_SLACK
            if count > allowed:
                lines.append(
                    f"{service}: {count} repeated sends in a window, "
                    f"{allowed:.0f} allowed"
                )
                break
    return lines


def _count(ordered_ms: list[int], after_ms: int, until_ms: int) -> int:
    """Return how many times lie in a span that begins after `after_ms`."""
    end = bisect.bisect_right(ordered_ms, until_ms)
    return end - bisect.bisect_right(ordered_ms, after_ms)
