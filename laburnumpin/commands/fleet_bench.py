"""The `bench-fleet` command: replay scenarios under several fleet policies."""

from __future__ import annotations

from collections.abc import Sequence
import concurrent.futures
import dataclasses
import json
import pathlib

from rich import console

from laburnumpin.bench import fleet_demand
from laburnumpin.bench import fleet_policies
from laburnumpin.bench import fleet_replay

DEFAULT_WORKERS = 4
# Title, field of `fleet_replay.Figures` and format of each column.
_COLUMNS = (
    ("$/h", "cost_per_hour", ".2f"),
    ("$/1k min", "cost_per_thousand_min", ".2f"),
    ("at once", "at_once_share", ".4f"),
    ("lowest", "lowest_service_share", ".4f"),
    ("backlog min", "largest_backlog", ".0f"),
    ("drain min", "drain_min", ".1f"),
    ("starts", "starts", ".0f"),
    ("refused", "refused", ".0f"),
    ("stops", "stops", ".0f"),
    ("busy stops", "busy_stops", ".1f"),
    ("wasted min", "wasted_vm_min", ".0f"),
    ("zone wave s", "missed_after_first_wave_s", ".0f"),
    ("any wave s", "missed_after_wave_s", ".0f"),
)
_Job = tuple[str, int, str]


def run_fleet_bench(
    policy_names: Sequence[str] = tuple(fleet_policies.POLICIES),
    sites: Sequence[str] = fleet_demand.SITES,
    hold_out: bool = False,
    json_path: pathlib.Path | None = None,
    workers: int = DEFAULT_WORKERS,
) -> list[fleet_replay.Figures]:
    """Replay all scenarios, print a table of means, return all figures."""
    seeds = fleet_demand.TUNING_SEEDS
    if hold_out:
        seeds = fleet_demand.HOLD_OUT_SEEDS
    jobs: list[_Job] = []
    for site in sites:
        for name in policy_names:
            for seed in seeds:
                jobs.append((site, seed, name))
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        figures = list(pool.map(_run_job, jobs))
    console.Console(width=200).print(table(figures))
    if json_path is not None:
        rows = [dataclasses.asdict(run_figures) for run_figures in figures]
        json_path.write_text(json.dumps(rows, indent=2), encoding="utf-8")
    return figures


def run_scenario(
    site: str, seed: int, policy_name: str
) -> fleet_replay.Figures:
    """Replay one scenario under one policy."""
    scenario = fleet_demand.build(site, seed)
    policy = fleet_policies.POLICIES[policy_name]()
    return fleet_replay.Replay(scenario, policy).run()


def table(figures: Sequence[fleet_replay.Figures]) -> str:
    """Return a Markdown table with the means by site and policy."""
    groups: dict[str, list[fleet_replay.Figures]] = {}
    for run_figures in figures:
        groups.setdefault(
            f"{run_figures.site} {run_figures.policy}", []
        ).append(run_figures)
    titles = " | ".join(title for title, _, _ in _COLUMNS)
    lines = [f"| group | {titles} |", "| --- " * (len(_COLUMNS) + 1) + "|"]
    for name, runs in groups.items():
        cells = []
        for _, field, format_spec in _COLUMNS:
            total = sum(getattr(run_figures, field) for run_figures in runs)
            cells.append(format(total / len(runs), format_spec))
        lines.append(f"| {name} | {' | '.join(cells)} |")
    return "\n".join(lines)


def _run_job(job: _Job) -> fleet_replay.Figures:
    return run_scenario(*job)
