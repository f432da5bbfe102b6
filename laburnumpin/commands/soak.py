"""The `soak` command: test real processes with injected faults."""

from __future__ import annotations

import pathlib
import tempfile

from laburnumpin.soak import run


def soak(
    first_seed: int,
    seeds: int,
    duration_s: float,
    entries: int,
    *,
    inject_faults: bool = True,
) -> bool:
    """Run `seeds` seeds in sequence; return whether all guarantees held.

    The logs of a seed that violates a guarantee are kept, and their directory
    is printed. `duration_s` is the length of each run. Without `inject_faults`,
    requests that end runners and limits of runners are the only troubles.
    """
    all_passed = True
    for seed in range(first_seed, first_seed + seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = run.run(
            seed, duration_s, entries, directory, inject_faults=inject_faults
        )
        print(
            f"seed {seed}: {result.requests} requests, {result.served} "
            f"served, {len(result.faults)} faults, "
            f"{len(result.broken)} violated guarantees",
            flush=True,
        )
        if not result.broken:
            for path in directory.iterdir():
                path.unlink()
            directory.rmdir()
            continue
        all_passed = False
        for line in result.broken:
            print(f"  {line}")
        print(f"  logs: {directory}; faults: {' '.join(result.faults)}")
    return all_passed
