"""The `bench` command: replays decisions and reports their figures."""

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

DEFAULT_JOBS = 4
# Share of the requests for which a latency target must hold.
PERCENTILE = 0.95
SITES = {"rigsafe": traces.rigsafe, "luvas": traces.luvas}
_Job = tuple[str, traces.Day, traces.Fault, int, str]


def run_bench(
    policy_names: Sequence[str] = tuple(policies.POLICIES),
    sites: Sequence[str] = tuple(SITES),
    hold_out: bool = False,
    json_path: pathlib.Path | None = None,
    plot_path: pathlib.Path | None = None,
    jobs: int = DEFAULT_JOBS,
) -> list[report.Figures]:
    """Replay all traces under the policies, print a table, return figures."""
    todo: list[_Job] = []
    for site in sites:
        for day, seed in _days(hold_out):
            for fault in traces.Fault:
                for name in policy_names:
                    todo.append((site, day, fault, seed, name))
    figures = _run_all(todo, jobs)
    console.Console(width=200).print(report.table(group(figures)))
    if json_path is not None:
        json_path.write_text(report.to_json(figures), encoding="utf-8")
    if plot_path is not None:
        report.plot(group(figures), plot_path)
    return figures


def group(
    figures: Sequence[report.Figures],
) -> dict[str, list[report.Figures]]:
    """Group figures by site, day and policy; the faults are averaged."""
    groups: dict[str, list[report.Figures]] = {}
    for one in figures:
        site, day, _ = one.trace.split("/")
        groups.setdefault(f"{site} {day} {one.policy}", []).append(one)
    return groups


def run_fleets(
    policy_names: Sequence[str] = tuple(policies.POLICIES),
    sites: Sequence[str] = tuple(SITES),
    seeds: Sequence[int] = traces.HOLD_OUT_SEEDS,
    jobs: int = DEFAULT_JOBS,
) -> dict[str, tuple[int, float]]:
    """Return the smallest fleet that meets the targets, and its cost.

    Keys are `<site> <policy>`; values are the engines, and the mean cost per
    thousand requests of an ordinary day without faults. Both targets must
    hold for 95% of the requests of each seed.
    """
    result: dict[str, tuple[int, float]] = {}
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for site in sites:
            for name in policy_names:
                result[f"{site} {name}"] = _smallest_fleet(
                    pool, site, name, seeds
                )
    return result


def run_one(
    site: str,
    day: traces.Day,
    fault: traces.Fault,
    seed: int,
    policy_name: str,
    duration_ms: float = traces.DURATION_MS,
    engines: int | None = None,
) -> report.Figures:
    """Replay one trace under one policy, optionally with fewer engines."""
    built = SITES[site]()
    if engines is not None:
        built = traces.with_engines(built, engines)
    trace = traces.build(built, day, fault, seed, duration_ms)
    policy = policies.POLICIES[policy_name]()
    return report.summarize(replay.Replay(trace, policy).run())


def _smallest_fleet(
    pool: concurrent.futures.Executor,
    site: str,
    policy_name: str,
    seeds: Sequence[int],
) -> tuple[int, float]:
    most = traces.count_engines(SITES[site]())
    cost = float("inf")
    for engines in range(most, 0, -1):
        todo = [(site, seed, policy_name, engines) for seed in seeds]
        figures = list(pool.map(_run_fleet, todo))
        for one in figures:
            if min(one.first_token_share, one.inter_token_share) < PERCENTILE:
                return engines + 1, cost
        cost = report.mean(figures).cost_per_thousand_requests
    return 1, cost


def _run_fleet(job: tuple[str, int, str, int]) -> report.Figures:
    site, seed, policy_name, engines = job
    return run_one(
        site,
        traces.Day.ORDINARY,
        traces.Fault.NONE,
        seed,
        policy_name,
        engines=engines,
    )


def _days(hold_out: bool) -> list[tuple[traces.Day, int]]:
    days = (traces.Day.ORDINARY, traces.Day.MONDAY)
    seeds: tuple[int, ...] = traces.TUNING_SEEDS
    if hold_out:
        days = (traces.Day.MIDWEEK, traces.Day.MONDAY)
        seeds = traces.HOLD_OUT_SEEDS
    return [(day, seed) for day in days for seed in seeds]


def _run_all(todo: Sequence[_Job], jobs: int) -> list[report.Figures]:
    figures = []
    with (
        concurrent.futures.ProcessPoolExecutor(jobs) as pool,
        progress.Progress(console=console.Console(stderr=True)) as bar,
    ):
        task = bar.add_task("replay", total=len(todo))
        for one in pool.map(_run_job, todo):
            figures.append(one)
            bar.advance(task)
    return figures


def _run_job(job: _Job) -> report.Figures:
    return run_one(*job)
