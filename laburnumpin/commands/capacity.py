"""Measure the slopes on which the capacity page stands."""

from __future__ import annotations

import dataclasses
import json

from laburnumpin.bench import slopes
from laburnumpin.server import codec


def measure_slopes(repetitions: int) -> list[slopes.Slope]:
    """Measure every slope, with `repetitions` runs at each size."""
    return [
        slopes.tick_time(repetitions),
        slopes.upstream_memory(repetitions),
        slopes.list_time(repetitions),
        slopes.member_memory(repetitions),
        slopes.digest_time(codec.encode, repetitions),
        slopes.digest_bytes(codec.encode),
    ]


def format_slopes(measured: list[slopes.Slope]) -> str:
    """Return the slopes as a table."""
    lines = []
    for slope in measured:
        largest = max(sample.size for sample in slope.samples)
        lines.append(
            f"{slope.name:16} {slope.base:.3g} + {slope.per_item:.3g} "
            f"{slope.unit} per {slope.per}; {slope.at(largest):.3g} "
            f"{slope.unit} at {largest}; spread {slope.spread:.0%}"
        )
    return "\n".join(lines)


def format_json(measured: list[slopes.Slope]) -> str:
    """Return the slopes with all samples as a JSON document."""
    return json.dumps(
        [dataclasses.asdict(slope) for slope in measured], indent=2
    )
