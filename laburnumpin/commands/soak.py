"""The `soak` command: real processes under faults, seed after seed."""

from __future__ import annotations

import pathlib
import tempfile

from laburnumpin.soak import run


def soak(first_seed: int, seeds: int, duration_s: float, entries: int) -> bool:
    """Play seeds one after the other; return whether all promises held.

    The logs of a seed with a broken promise are kept, and their folder is
    printed.
    """
    held = True
    for seed in range(first_seed, first_seed + seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = run.run(seed, duration_s, entries, directory)
        print(
            f"seed {seed}: {result.requests} requests, {result.served} "
            f"served, {len(result.faults)} faults, "
            f"{len(result.broken)} broken promises",
            flush=True,
        )
        if not result.broken:
            for path in directory.iterdir():
                path.unlink()
            directory.rmdir()
            continue
        held = False
        for line in result.broken:
            print(f"  {line}")
        print(f"  logs: {directory}; faults: {' '.join(result.faults)}")
    return held
