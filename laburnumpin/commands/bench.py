"""The `bench` command: replay traces under several routing policies."""

from __future__ import annotations

from collections.abc import Sequence
import concurrent.futures
import pathlib

from rich import console
from rich import progress

from laburnumpin.bench import policies
from laburnumpin.bench import replay
from laburnumpin.bench import report
from laburnumpin.bench import traces

DEFAULT_WORKERS = 4
# Share of the requests for which each latency target must hold.
REQUIRED_SHARE = 0.95
SITES = {"rigsafe": traces.rigsafe, "luvas": traces.luvas}
_Job = tuple[str, traces.Day, traces.Fault, int, str]


def run_bench(
    policy_names: Sequence[str] = tuple(policies.POLICIES),
    sites: Sequence[str] = tuple(SITES),
    hold_out: bool = False,
    json_path: pathlib.Path | None = None,
    plot_path: pathlib.Path | None = None,
    workers: int = DEFAULT_WORKERS,
) -> list[report.Figures]:
    """Replay all traces under the policies, print a table, return figures."""
    jobs: list[_Job] = []
    for site in sites:
        for day, seed in _days_with_seeds(hold_out):
            for fault in traces.Fault:
                for name in policy_names:
                    jobs.append((site, day, fault, seed, name))
    figures = _run_all(jobs, workers)
    console.Console(width=200).print(report.table(group(figures)))
    if json_path is not None:
        json_path.write_text(report.to_json(figures), encoding="utf-8")
    if plot_path is not None:
        report.plot(group(figures), plot_path)
    return figures


def group(
    figures: Sequence[report.Figures],
) -> dict[str, list[report.Figures]]:
    """Group figures by site, day and policy, with all faults in one group."""
    groups: dict[str, list[report.Figures]] = {}
    for run_figures in figures:
        site, day, _ = run_figures.trace.split("/")
        groups.setdefault(f"{site} {day} {run_figures.policy}", []).append(
            run_figures
        )
    return groups


def find_smallest_fleets(
    policy_names: Sequence[str] = tuple(policies.POLICIES),
    sites: Sequence[str] = tuple(SITES),
    seeds: Sequence[int] = traces.HOLD_OUT_SEEDS,
    workers: int = DEFAULT_WORKERS,
) -> dict[str, tuple[int, float]]:
    """Return the smallest number of engines that meets both targets.

    Keys are `<site> <policy>`. Values are the number of engines and the mean
    cost per thousand requests, on an ordinary day without faults. The targets
    for time to first token and inter-token latency must each hold for 95% of
    the requests of each seed. If all engines together miss a target, the
    values are one engine more than the site has and infinity.
    """
    result: dict[str, tuple[int, float]] = {}
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for site in sites:
            for name in policy_names:
                result[f"{site} {name}"] = _smallest_fleet(
                    pool, site, name, seeds
                )
    return result


def run_trace(
    site: str,
    day: traces.Day,
    fault: traces.Fault,
    seed: int,
    policy_name: str,
    duration_ms: float = traces.DURATION_MS,
    engines: int | None = None,
) -> report.Figures:
    """Replay one trace under one policy.

    `engines` limits how many of the site's engines run; None runs all.
    """
    chosen_site = SITES[site]()
    if engines is not None:
        chosen_site = traces.with_engines(chosen_site, engines)
    trace = traces.build(chosen_site, day, fault, seed, duration_ms)
    policy = policies.POLICIES[policy_name]()
    return report.summarize(replay.Replay(trace, policy).run())


def _smallest_fleet(
    pool: concurrent.futures.Executor,
    site: str,
    policy_name: str,
    seeds: Sequence[int],
) -> tuple[int, float]:
    engine_count = traces.count_engines(SITES[site]())
    cost = float("inf")
    for engines in range(engine_count, 0, -1):
        jobs = [(site, seed, policy_name, engines) for seed in seeds]
        figures = list(pool.map(_run_fleet_size, jobs))
        for run_figures in figures:
            if (
                min(
                    run_figures.first_token_share, run_figures.inter_token_share
                )
                < REQUIRED_SHARE
            ):
                return engines + 1, cost
        cost = report.mean(figures).cost_per_thousand_requests
    return 1, cost


def _run_fleet_size(job: tuple[str, int, str, int]) -> report.Figures:
    site, seed, policy_name, engines = job
    return run_trace(
        site,
        traces.Day.ORDINARY,
        traces.Fault.NONE,
        seed,
        policy_name,
        engines=engines,
    )


def _days_with_seeds(hold_out: bool) -> list[tuple[traces.Day, int]]:
    days = (traces.Day.ORDINARY, traces.Day.MONDAY)
    seeds: tuple[int, ...] = traces.TUNING_SEEDS
    if hold_out:
        days = (traces.Day.MIDWEEK, traces.Day.MONDAY)
        seeds = traces.HOLD_OUT_SEEDS
    return [(day, seed) for day in days for seed in seeds]


def _run_all(jobs: Sequence[_Job], workers: int) -> list[report.Figures]:
    figures = []
    with (
        concurrent.futures.ProcessPoolExecutor(workers) as pool,
        progress.Progress(console=console.Console(stderr=True)) as bar,
    ):
        task = bar.add_task("replay", total=len(jobs))
        for run_figures in pool.map(_run_job, jobs):
            figures.append(run_figures)
            bar.advance(task)
    return figures


def _run_job(job: _Job) -> report.Figures:
    return run_trace(*job)
