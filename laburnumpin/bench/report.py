"""Figures of replays, as JSON, as a Markdown table and as a plot."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses
import json
import pathlib

from laburnumpin.bench import replay
from laburnumpin.bench import traces

_MS_PER_HOUR = 3_600_000.0


@dataclasses.dataclass(slots=True)
class Figures:
    """Results of one replay, or the means of several.

    Shares are of all requests that arrived, so that a refused or failed
    request counts as outside its target. The inter-token latency of a request
    is its mean, interruptions included. `plain_share` is the share of calls of
    plain services that meet the target for the first token.
    `worst_customer_share` is the lowest share of a customer's requests in
    target. `reasons` has the core's counters of refusals, retries and failures.
    """

    trace: str
    policy: str
    seed: int
    arrived: int
    completed: int
    refused: int
    failed: int
    unfinished: int
    cost: float
    cost_per_thousand_requests: float
    cost_per_thousand_in_target: float
    cost_per_million_tokens: float
    first_token_share: float
    interactive_first_token_share: float
    inter_token_share: float
    in_target_share: float
    plain_share: float
    worst_customer_share: float
    prompt_tokens_computed: int
    prompt_tokens_recomputed: int
    generated_tokens: int
    generated_tokens_recomputed: int
    mean_duration_ms: float
    end_ms: float
    control_messages_per_entry_s: float
    control_bytes_per_entry_s: float
    dispatches: int
    max_dispatch_after_notice_ms: float
    reasons: dict[str, int]


@dataclasses.dataclass(slots=True)
class _Tally:
    """Counts over the requests of one replay.

    `by_customer` has the requests in target and all requests.
    """

    completed: int = 0
    refused: int = 0
    failed: int = 0
    unfinished: int = 0
    model: int = 0
    interactive: int = 0
    first_in_target: int = 0
    interactive_in_target: int = 0
    inter_in_target: int = 0
    in_target: int = 0
    plain: int = 0
    plain_in_target: int = 0
    delivered_tokens: int = 0
    duration_ms: float = 0.0
    by_customer: dict[str, list[int]] = dataclasses.field(default_factory=dict)


def summarize(result: replay.Result) -> Figures:
    """Compute the figures of one replay."""
    tally = _Tally()
    for record in result.records:
        _count(tally, result, record)
    cost = _cost(result)
    seconds = max(result.end_ms, 1.0) / 1_000 * traces.ENTRY_COUNT
    worst = 1.0
    for customer_in_target, total in tally.by_customer.values():
        worst = min(worst, customer_in_target / total)
    tokens = result.tokens
    return Figures(
        trace=result.trace.name,
        policy=result.policy,
        seed=result.trace.seed,
        arrived=len(result.records),
        completed=tally.completed,
        refused=tally.refused,
        failed=tally.failed,
        unfinished=tally.unfinished,
        cost=cost,
        cost_per_thousand_requests=1_000 * cost / max(tally.completed, 1),
        cost_per_thousand_in_target=1_000 * cost / max(tally.in_target, 1),
        cost_per_million_tokens=1e6 * cost / max(tally.delivered_tokens, 1),
        first_token_share=tally.first_in_target / max(tally.model, 1),
        interactive_first_token_share=(
            tally.interactive_in_target / max(tally.interactive, 1)
        ),
        inter_token_share=tally.inter_in_target / max(tally.model, 1),
        in_target_share=tally.in_target / max(len(result.records), 1),
        plain_share=tally.plain_in_target / max(tally.plain, 1),
        worst_customer_share=worst,
        prompt_tokens_computed=tokens.prompt_tokens,
        prompt_tokens_recomputed=tokens.prompt_recomputed,
        generated_tokens=tokens.generated_tokens,
        generated_tokens_recomputed=tokens.generated_recomputed,
        mean_duration_ms=tally.duration_ms / max(tally.completed, 1),
        end_ms=result.end_ms,
        control_messages_per_entry_s=result.peer_messages / seconds,
        control_bytes_per_entry_s=result.peer_bytes / seconds,
        dispatches=result.dispatches,
        max_dispatch_after_notice_ms=result.max_dispatch_after_notice_ms,
        reasons=_reasons(result),
    )


def mean(figures: Sequence[Figures]) -> Figures:
    """Return the means of several figures; reasons are summed.

    Names and seed are those of the first.
    """
    first = figures[0]
    values: dict[str, object] = {}
    for field in dataclasses.fields(Figures):
        first_value = getattr(first, field.name)
        if isinstance(first_value, str) or field.name in ("seed", "reasons"):
            values[field.name] = first_value
            continue
        total = sum(getattr(run_figures, field.name) for run_figures in figures)
        values[field.name] = total / len(figures)
    reasons: collections.Counter[str] = collections.Counter()
    for run_figures in figures:
        reasons.update(run_figures.reasons)
    values["reasons"] = dict(reasons)
    return Figures(**values)  # type: ignore[arg-type]


def to_json(figures: Sequence[Figures]) -> str:
    """Return the figures as a JSON document."""
    rows = [dataclasses.asdict(run_figures) for run_figures in figures]
    return json.dumps(rows, indent=1, sort_keys=True)


def table(groups: dict[str, list[Figures]]) -> str:
    """Return a Markdown table with the mean of each group."""
    lines = [
        "| group | $/1k req | $/1k in target | $/M tok | ttft | ttft int. "
        "| itl | plain | worst cust. | prompt recomp. | gen. recomp. "
        "| refused | failed | B/s |",
        "| --- " * 14 + "|",
    ]
    for name, runs in groups.items():
        average = mean(runs)
        lines.append(
            f"| {name} | {average.cost_per_thousand_requests:.3f} "
            f"| {average.cost_per_thousand_in_target:.3f} "
            f"| {average.cost_per_million_tokens:.3f} "
            f"| {average.first_token_share:.3f} "
            f"| {average.interactive_first_token_share:.3f} "
            f"| {average.inter_token_share:.3f} | {average.plain_share:.3f} "
            f"| {average.worst_customer_share:.3f} "
            f"| {average.prompt_tokens_recomputed:.0f} "
            f"| {average.generated_tokens_recomputed:.0f} "
            f"| {average.refused:.1f} | {average.failed:.1f} "
            f"| {average.control_bytes_per_entry_s:.0f} |"
        )
    return "\n".join(lines)


def plot(groups: dict[str, list[Figures]], path: pathlib.Path) -> None:
    """Plot cost against the share in target, one point per group.

    Raises:
        ImportError: matplotlib is not installed.
    """
    import matplotlib.figure

    figure = matplotlib.figure.Figure(figsize=(8, 5))
    axes = figure.add_subplot()
    for name, runs in groups.items():
        average = mean(runs)
        axes.scatter(
            average.in_target_share,
            average.cost_per_thousand_requests,
            label=name,
        )
    axes.set_xlabel("share of requests in target")
    axes.set_ylabel("cost per thousand requests")
    axes.legend()
    figure.savefig(path)


def _count(tally: _Tally, result: replay.Result, record: replay.Record) -> None:
    arrival = record.arrival
    policy = result.trace.deployment.policy
    customer_counts = tally.by_customer.setdefault(arrival.customer, [0, 0])
    customer_counts[1] += 1
    is_model = arrival.output_tokens > 0
    operations = result.trace.deployment.services[arrival.service].operations
    is_interactive = (
        operations[arrival.operation].priority.value == "interactive"
    )
    tally.model += is_model
    tally.plain += not is_model
    tally.interactive += is_model and is_interactive
    request = record.request
    if request is None:
        tally.refused += 1
        return
    outcome = request.outcome
    if outcome is None:
        tally.unfinished += 1
        return
    if outcome.failure is not None:
        tally.failed += 1
        return
    tally.completed += 1
    duration_ms = request.ended_ms - arrival.arrival_ms
    tally.duration_ms += duration_ms
    first_ms = (request.first_output_ms or 0) - arrival.arrival_ms
    first_ms += replay.CLIENT_LATENCY_MS
    first_token_met = first_ms <= policy.first_token_target_ms
    if not is_model:
        tally.plain_in_target += first_token_met
        tally.in_target += first_token_met
        customer_counts[0] += first_token_met
        return
    tally.delivered_tokens += arrival.output_tokens
    inter_token_ms = (duration_ms - first_ms) / max(
        arrival.output_tokens - 1, 1
    )
    inter_token_met = inter_token_ms <= policy.inter_token_target_ms
    tally.first_in_target += first_token_met
    tally.interactive_in_target += first_token_met and is_interactive
    tally.inter_in_target += inter_token_met
    tally.in_target += first_token_met and inter_token_met
    customer_counts[0] += first_token_met and inter_token_met


def _cost(result: replay.Result) -> float:
    total = (
        traces.ENTRY_COUNT * traces.ENTRY_PRICE_PER_HOUR * result.end_ms
    ) / _MS_PER_HOUR
    for vm in result.vms:
        stopped_ms = result.end_ms if vm.stopped_ms is None else vm.stopped_ms
        paid_ms = max(0.0, stopped_ms - vm.started_ms)
        total += vm.spec.price_per_hour * paid_ms / _MS_PER_HOUR
    return total


def _reasons(result: replay.Result) -> dict[str, int]:
    reasons = {}
    for key, value in result.counters.items():
        if key.split("/")[0] in ("refusals", "retries", "failures"):
            reasons[key] = value
    return reasons
