"""The `capacity` command: measure the costs that the capacity page uses."""

from __future__ import annotations

import dataclasses
import json

from laburnumpin.bench import link_costs
from laburnumpin.bench import slopes
from laburnumpin.core import digests
from laburnumpin.server import codec


@dataclasses.dataclass(slots=True, frozen=True)
class Measurement:
    """Costs per item as fitted lines, and costs that have no item count.

    `resident_bytes` is the resident memory of this process with the entry's
    libraries loaded and without state. `load_poll_bytes` is the size of one
    load poll and its response, headers included.
    """

    resident_bytes: int
    load_poll_bytes: int
    slopes: list[slopes.Slope]


def measure(repetitions: int) -> Measurement:
    """Measure all costs, with `repetitions` runs at each size of a slope."""
    resident_bytes = link_costs.resident_bytes()
    entry = slopes.make_entry()
    digest = digests.build(entry, 1_000)
    measured = [
        slopes.tick_time(repetitions),
        slopes.upstream_memory(repetitions),
        slopes.list_time(repetitions),
        slopes.member_memory(repetitions),
        slopes.digest_time(codec.encode, repetitions),
        slopes.digest_bytes(codec.encode),
        slopes.request_time(repetitions),
        slopes.request_memory(repetitions),
        slopes.document_time(repetitions),
        link_costs.load_poll_time(repetitions),
        link_costs.digest_link_time(digest, repetitions),
    ]
    return Measurement(resident_bytes, link_costs.load_poll_bytes(), measured)


def format_table(measurement: Measurement) -> str:
    """Return a line of text for each cost."""
    lines = [
        f"resident memory  {measurement.resident_bytes} B",
        f"load poll        {measurement.load_poll_bytes} B",
    ]
    for slope in measurement.slopes:
        largest = max(sample.size for sample in slope.samples)
        lines.append(
            f"{slope.name:16} {slope.base:.3g} + {slope.per_item:.3g} "
            f"{slope.unit} per {slope.per}; {slope.at(largest):.3g} "
            f"{slope.unit} at {largest}; spread {slope.spread:.0%}"
        )
    return "\n".join(lines)


def format_json(measurement: Measurement) -> str:
    """Return the measurement with all samples as a JSON document."""
    return json.dumps(dataclasses.asdict(measurement), indent=2)
